//! Passes the event records of a batch to the dispatcher instances and encodes their actions as a reply.

use crate::settings;
use crate::wire::{Batch, Reader, WireError, Writer, put_endpoint};
use bytes::BufMut;
use std::collections::{BTreeMap, BTreeSet};
use std::panic::{AssertUnwindSafe, catch_unwind};
use waydoor::{
    Action, AttemptEnd, DestinationId, Dispatcher, EndpointEntry, EndpointId, EndpointState, Event, Message,
    MessageId, OrderKey, Outcome, RateLimitReport,
};

/// A dispatcher and the positions of its rate limit fields in load reports.
struct Instance {
    dispatcher: Dispatcher,
    rate_limit_fields: RateLimitFields,
}

/// All dispatcher instances of this process, and the endpoint lists by number.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    endpoint_lists: BTreeMap<u16, Vec<EndpointEntry>>,
}

fn read_outcome(reader: &mut Reader) -> Result<Outcome, WireError> {
    Ok(match reader.u8()? {
        1 => Outcome::Served,
        2 => Outcome::Error,
        3 => Outcome::Overloaded,
        4 => Outcome::TimedOut,
        5 => Outcome::ConnectFailed,
        6 => Outcome::ConnectionReset,
        7 => Outcome::Cancelled,
        8 => Outcome::NotSent,
        other => {
            return Err(reader.error(format!("an outcome from 1 to 8 expected before here, got {other}")));
        }
    })
}

/// The positions, in a load report, of the rate limit and of the share of it that is left.
type RateLimitFields = (Option<usize>, Option<usize>);

fn read_rate_limit(
    reader: &mut Reader, (rate_field, share_field): RateLimitFields,
) -> Result<Option<RateLimitReport>, WireError> {
    let count = reader.u8()?;
    let values = (0..count).map(|_| reader.f32().map(f64::from)).collect::<Result<Vec<_>, _>>()?;
    let remaining_share = share_field.and_then(|i| values.get(i)).filter(|share| share.is_finite());
    let remaining_share = remaining_share.map(|share| share.clamp(0.0, 1.0));
    // A rate limit that is not finite counts as no report.
    let rate = rate_field.and_then(|i| values.get(i)).filter(|rate| rate.is_finite());
    Ok(rate.map(|rate| RateLimitReport { rate: *rate, remaining_share }))
}

fn read_endpoint_list(reader: &mut Reader) -> Result<Vec<EndpointEntry>, WireError> {
    let count = reader.u32()?;
    let mut list = Vec::new();
    for _ in 0..count {
        let endpoint = EndpointId(reader.endpoint()?);
        let state = match reader.u8()? {
            2 => EndpointState::Ready,
            1 => EndpointState::Draining,
            0 => EndpointState::Removed,
            other => {
                return Err(
                    reader.error(format!("a condition from 0 to 2 expected before here, got {other}"))
                );
            }
        };
        let (zone, kind) = (reader.u16()?, usize::from(reader.u16()?));
        let rate = f64::from(reader.f32()?);
        let destination = DestinationId(reader.u16()?.into());
        reader.f64()?;
        list.push(EndpointEntry { endpoint, destination, kind, zone, rate, state });
    }
    Ok(list)
}

impl Host {
    /// Creates an instance from its seed and settings.
    fn create_instance(&mut self, reader: &mut Reader, instance_id: u32) -> Result<(), WireError> {
        let seed = reader.u64()?;
        let length = reader.u32()? as usize;
        let text = reader.bytes(length)?;
        let settings = settings::parse(reader.record, text)?;
        let lossy_text = String::from_utf8_lossy(text);
        let field_names = lossy_text.lines().find_map(|line| line.trim().strip_prefix("report.fields="));
        let position = |name| field_names.and_then(|names| names.split(',').position(|field| field == name));
        let rate_limit_fields = (position("x1"), position("x0"));
        let record = reader.record;
        let dispatcher = Dispatcher::new(settings, seed).map_err(|error| WireError::Settings {
            record,
            key: error.name,
            expected: error.problem,
        })?;
        self.instances.insert(instance_id, Instance { dispatcher, rate_limit_fields });
        Ok(())
    }

    /// Reads one record and passes its event to the instance. Instances that are to be asked for actions go into
    /// `updated`.
    fn handle_record(
        &mut self, reader: &mut Reader, clock: f64, updated: &mut BTreeSet<u32>,
    ) -> Result<(), WireError> {
        let code = reader.u8()?;
        // An endpoint list, which later records refer to by its number.
        if code == 40 {
            let list_id = reader.u16()?;
            let list = read_endpoint_list(reader)?;
            self.endpoint_lists.insert(list_id, list);
            return Ok(());
        }
        if !matches!(code, 10 | 20 | 30 | 50 | 60 | 70 | 80 | 90 | 100 | 110) {
            return Err(reader.error(format!("a known event code expected before here, got {code}")));
        }
        let instance_id = reader.u32()?;
        let rate_limit_fields =
            self.instances.get(&instance_id).map_or((None, None), |instance| instance.rate_limit_fields);
        let event = match code {
            // Create an instance.
            60 => {
                self.create_instance(reader, instance_id)?;
                updated.insert(instance_id);
                return Ok(());
            }
            // Remove an instance.
            50 => {
                self.instances.remove(&instance_id);
                updated.remove(&instance_id);
                return Ok(());
            }
            // An attempt has ended.
            10 => {
                let id = MessageId(reader.u64()?);
                let endpoint = EndpointId(reader.endpoint()?);
                let outcome = read_outcome(reader)?;
                let attempt = reader.u16()?.into();
                let settled = reader.u8()? != 0;
                let retry_after_ms = reader.u32()?;
                let latency = reader.f64()?;
                let rate_limit_report = read_rate_limit(reader, rate_limit_fields)?;
                let retry_after = (outcome == Outcome::Overloaded && retry_after_ms > 0)
                    .then(|| f64::from(retry_after_ms) / 1000.0);
                let connection_kept = outcome.answered();
                Event::AttemptEnded(AttemptEnd {
                    id,
                    endpoint,
                    attempt,
                    outcome,
                    retry_after,
                    settled,
                    latency,
                    rate_limit_report,
                    // Not reported on the wire.
                    connection_reused: false,
                    connection_kept,
                })
            }
            // The start of a response stream, which this kind of service does not have.
            20 => {
                reader.bytes(8 + 2 + 6 + 8)?;
                return Ok(());
            }
            // A message has been accepted.
            30 => {
                let id = MessageId(reader.u64()?);
                reader.u8()?;
                let deadline = reader.f64()?;
                let key = Some(reader.u64()?).filter(|key| *key != 0).map(OrderKey);
                let class = reader.u8()?.into();
                let destination = DestinationId(reader.f32()? as u32);
                reader.bytes(8)?;
                let tenant = reader.u16()?.into();
                let over_quota = None;
                Event::Accepted(Message { id, class, destination, deadline, key, tenant, over_quota })
            }
            // A probe has ended.
            70 => {
                let endpoint = EndpointId(reader.endpoint()?);
                let outcome = read_outcome(reader)?;
                let latency = reader.f64()?;
                let rate_limit_report = read_rate_limit(reader, rate_limit_fields)?;
                Event::ProbeEnded { endpoint, outcome, latency, rate_limit_report }
            }
            // An update of the endpoint list.
            80 => {
                let kind = reader.u8()?;
                let list_id = reader.u16()?;
                reader.u32()?;
                let list = || self.endpoint_lists.get(&list_id).cloned();
                let missing = || reader.error(format!("a roster numbered {list_id} expected earlier"));
                match kind {
                    0 => Event::ListUpdate(list().ok_or_else(missing)?),
                    1 | 2 => Event::ListSnapshot(list().ok_or_else(missing)?),
                    3 => Event::ListFailed,
                    other => {
                        return Err(reader.error(format!("a list kind from 0 to 3 expected, got {other}")));
                    }
                }
            }
            // A timer has fired.
            90 => Event::TimerFired(reader.u32()?),
            // The client has withdrawn a message.
            100 => Event::Withdrawn(MessageId(reader.u64()?)),
            // 110: a message between instances; these dispatchers send none.
            _ => {
                reader.u16()?;
                let length = reader.u16()?.into();
                reader.bytes(length)?;
                return Ok(());
            }
        };
        if let Some(instance) = self.instances.get_mut(&instance_id) {
            instance.dispatcher.handle(clock, event);
            updated.insert(instance_id);
        }
        Ok(())
    }

    /// Handles the records of a batch and returns the reply with the resulting actions.
    pub fn handle_batch(&mut self, batch: &Batch) -> Result<Vec<u8>, WireError> {
        let mut reader = Reader::new(&batch.body);
        let mut updated = BTreeSet::new();
        let mut writer = Writer::default();
        for record in 0..batch.record_count {
            reader.record = record;
            let result =
                catch_unwind(AssertUnwindSafe(|| self.handle_record(&mut reader, batch.clock, &mut updated)));
            match result {
                Ok(result) => result?,
                Err(panic) => {
                    writer.text(40, 0, &panic_text(&*panic));
                    return Ok(writer.reply());
                }
            }
        }
        reader.finish()?;
        let mut actions = Vec::new();
        for instance_id in updated {
            let Some(instance) = self.instances.get_mut(&instance_id) else { continue };
            actions.clear();
            let result =
                catch_unwind(AssertUnwindSafe(|| instance.dispatcher.decide(batch.clock, &mut actions)));
            match result {
                Ok(()) => actions.iter().for_each(|action| write_action(&mut writer, instance_id, action)),
                Err(panic) => writer.text(40, instance_id, &panic_text(&*panic)),
            }
        }
        Ok(writer.reply())
    }
}

/// The message of a panic, for the reply.
fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()))
        .unwrap_or_else(|| "a panic without a text".into())
}

/// Encodes an action as a record of the reply.
fn write_action(writer: &mut Writer, instance_id: u32, action: &Action) {
    match action {
        Action::Send { id, endpoint, timeout, .. } => {
            let body = writer.record(10, instance_id);
            body.put_u64(id.0);
            put_endpoint(body, endpoint.0);
            body.put_f64(*timeout);
        }
        Action::Reject(id) => {
            let body = writer.record(20, instance_id);
            body.put_u64(id.0);
            body.put_f64(0.0);
        }
        Action::CancelAttempt { id, attempt } => {
            let body = writer.record(90, instance_id);
            body.put_u64(id.0);
            body.put_u16(*attempt as u16);
        }
        Action::Fail(id) => writer.record(30, instance_id).put_u64(id.0),
        Action::SetTimer { token, at } => {
            let body = writer.record(60, instance_id);
            body.put_u32(*token);
            body.put_f64(*at);
        }
        Action::Probe(endpoint) => put_endpoint(writer.record(70, instance_id), endpoint.0),
        Action::CloseIdle(endpoint) | Action::AvoidIdle(endpoint) => {
            put_endpoint(writer.record(100, instance_id), endpoint.0)
        }
        Action::Subscribe => writer.record(110, instance_id).put_u8(1),
        // The simulator does not keep a dispatcher's state beyond its end.
        Action::RecordOutage { .. } => {}
        Action::Log(text) => writer.text(80, instance_id, text),
    }
}
