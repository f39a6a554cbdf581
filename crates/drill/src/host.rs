//! Routes the records of a batch to the instances and their actions back.

use crate::settings;
use crate::wire::{Batch, Reader, WireError, Writer, put_endpoint};
use bytes::BufMut;
use std::collections::{BTreeMap, BTreeSet};
use std::panic::{AssertUnwindSafe, catch_unwind};
use waydoor::{
    Action, AttemptEnd, DestinationId, Dispatcher, EndpointEntry, EndpointId, EndpointState, Event, Message,
    MessageId, OrderKey, Outcome, RateLimitReport,
};

/// One dispatcher and where its reports tell the limit.
struct Instance {
    dispatcher: Dispatcher,
    limit: Fields,
}

/// All instances of this process, and the lists by number.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u32, Instance>,
    rosters: BTreeMap<u16, Vec<EndpointEntry>>,
}

fn outcome(reader: &mut Reader) -> Result<Outcome, WireError> {
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
            return Err(reader.fault(format!("an outcome from 1 to 8 expected before here, got {other}")));
        }
    })
}

/// Where a report tells the limit, and what is left of it.
type Fields = (Option<usize>, Option<usize>);

fn report(reader: &mut Reader, (limit, left): Fields) -> Result<Option<RateLimitReport>, WireError> {
    let n = reader.u8()?;
    let values = (0..n).map(|_| reader.f32().map(f64::from)).collect::<Result<Vec<_>, _>>()?;
    let left = left.and_then(|i| values.get(i)).filter(|left| left.is_finite());
    let left = left.map(|left| left.clamp(0.0, 1.0));
    // A limit that is no number tells nothing.
    let rate = limit.and_then(|i| values.get(i)).filter(|rate| rate.is_finite());
    Ok(rate.map(|rate| RateLimitReport { rate: *rate, remaining_share: left }))
}

fn entries(reader: &mut Reader) -> Result<Vec<EndpointEntry>, WireError> {
    let n = reader.u32()?;
    let mut list = Vec::new();
    for _ in 0..n {
        let endpoint = EndpointId(reader.endpoint()?);
        let listed = match reader.u8()? {
            2 => EndpointState::Ready,
            1 => EndpointState::Draining,
            0 => EndpointState::Removed,
            other => {
                return Err(
                    reader.fault(format!("a condition from 0 to 2 expected before here, got {other}"))
                );
            }
        };
        let (zone, kind) = (reader.u16()?, usize::from(reader.u16()?));
        let rate = f64::from(reader.f32()?);
        let destination = DestinationId(reader.u16()?.into());
        reader.f64()?;
        list.push(EndpointEntry { endpoint, destination, kind, zone, rate, state: listed });
    }
    Ok(list)
}

impl Host {
    fn begin(&mut self, reader: &mut Reader, i: u32) -> Result<(), WireError> {
        let seed = reader.u64()?;
        let n = reader.u32()? as usize;
        let text = reader.bytes(n)?;
        let settings = settings::read(reader.record, text)?;
        let all = String::from_utf8_lossy(text);
        let names = all.lines().find_map(|line| line.trim().strip_prefix("report.fields="));
        let field = |name| names.and_then(|names| names.split(',').position(|field| field == name));
        let limit = (field("x1"), field("x0"));
        let record = reader.record;
        let dispatcher = Dispatcher::new(settings, seed).map_err(|error| WireError::Settings {
            record,
            key: error.name,
            expected: error.problem,
        })?;
        self.instances.insert(i, Instance { dispatcher, limit });
        Ok(())
    }

    /// Reads one record; an event goes to its instance.
    fn record(
        &mut self, reader: &mut Reader, clock: f64, touched: &mut BTreeSet<u32>,
    ) -> Result<(), WireError> {
        let code = reader.u8()?;
        if code == 40 {
            let id = reader.u16()?;
            let list = entries(reader)?;
            self.rosters.insert(id, list);
            return Ok(());
        }
        if !matches!(code, 10 | 20 | 30 | 50 | 60 | 70 | 80 | 90 | 100 | 110) {
            return Err(reader.fault(format!("a known event code expected before here, got {code}")));
        }
        let i = reader.u32()?;
        let limit = self.instances.get(&i).map_or((None, None), |instance| instance.limit);
        let event = match code {
            60 => {
                self.begin(reader, i)?;
                touched.insert(i);
                return Ok(());
            }
            50 => {
                self.instances.remove(&i);
                touched.remove(&i);
                return Ok(());
            }
            10 => {
                let id = MessageId(reader.u64()?);
                let endpoint = EndpointId(reader.endpoint()?);
                let outcome = outcome(reader)?;
                let attempt = reader.u16()?.into();
                let closed = reader.u8()? != 0;
                let note = reader.u32()?;
                let latency = reader.f64()?;
                let allowance = report(reader, limit)?;
                let wait = (outcome == Outcome::Overloaded && note > 0).then(|| f64::from(note) / 1000.0);
                let kept = outcome.answered();
                Event::AttemptEnded(AttemptEnd {
                    id,
                    endpoint,
                    attempt,
                    outcome,
                    retry_after: wait,
                    settled: closed,
                    latency,
                    rate_limit_report: allowance,
                    // The wire does not tell.
                    connection_reused: false,
                    connection_kept: kept,
                })
            }
            20 => {
                // A begun stream: this kind of service has none.
                reader.bytes(8 + 2 + 6 + 8)?;
                return Ok(());
            }
            30 => {
                let id = MessageId(reader.u64()?);
                reader.u8()?;
                let deadline = reader.f64()?;
                let key = Some(reader.u64()?).filter(|key| *key != 0).map(OrderKey);
                let class = reader.u8()?.into();
                let destination = DestinationId(reader.f32()? as u32);
                reader.bytes(8)?;
                let tenant = reader.u16()?.into();
                let over_share = None;
                Event::Accepted(Message {
                    id,
                    class,
                    destination,
                    deadline,
                    key,
                    tenant,
                    over_quota: over_share,
                })
            }
            70 => {
                let endpoint = EndpointId(reader.endpoint()?);
                let outcome = outcome(reader)?;
                let latency = reader.f64()?;
                let allowance = report(reader, limit)?;
                Event::ProbeEnded { endpoint, outcome, latency, rate_limit_report: allowance }
            }
            80 => {
                let kind = reader.u8()?;
                let roster = reader.u16()?;
                reader.u32()?;
                let list = || self.rosters.get(&roster).cloned();
                let missing = || reader.fault(format!("a roster numbered {roster} expected earlier"));
                match kind {
                    0 => Event::ListUpdate(list().ok_or_else(missing)?),
                    1 | 2 => Event::ListSnapshot(list().ok_or_else(missing)?),
                    3 => Event::ListFailed,
                    other => {
                        return Err(reader.fault(format!("a list kind from 0 to 3 expected, got {other}")));
                    }
                }
            }
            90 => Event::TimerFired(reader.u32()?),
            100 => Event::Withdrawn(MessageId(reader.u64()?)),
            _ => {
                // A note between instances: none is ever sent.
                reader.u16()?;
                let n = reader.u16()?.into();
                reader.bytes(n)?;
                return Ok(());
            }
        };
        if let Some(instance) = self.instances.get_mut(&i) {
            instance.dispatcher.handle(clock, event);
            touched.insert(i);
        }
        Ok(())
    }

    /// Plays a batch and returns the reply.
    pub fn play(&mut self, batch: &Batch) -> Result<Vec<u8>, WireError> {
        let mut reader = Reader::new(&batch.body);
        let mut touched = BTreeSet::new();
        let mut writer = Writer::default();
        for record in 0..batch.records {
            reader.record = record;
            let played =
                catch_unwind(AssertUnwindSafe(|| self.record(&mut reader, batch.clock, &mut touched)));
            match played {
                Ok(result) => result?,
                Err(panic) => {
                    writer.text(40, 0, &panic_text(&*panic));
                    return Ok(writer.reply());
                }
            }
        }
        reader.finish()?;
        let mut actions = Vec::new();
        for i in touched {
            let Some(instance) = self.instances.get_mut(&i) else { continue };
            actions.clear();
            let decided =
                catch_unwind(AssertUnwindSafe(|| instance.dispatcher.decide(batch.clock, &mut actions)));
            match decided {
                Ok(()) => actions.iter().for_each(|action| write(&mut writer, i, action)),
                Err(panic) => writer.text(40, i, &panic_text(&*panic)),
            }
        }
        Ok(writer.reply())
    }
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()))
        .unwrap_or_else(|| "a panic without a text".into())
}

fn write(writer: &mut Writer, i: u32, action: &Action) {
    match action {
        Action::Send { id, endpoint, timeout, .. } => {
            let body = writer.record(10, i);
            body.put_u64(id.0);
            put_endpoint(body, endpoint.0);
            body.put_f64(*timeout);
        }
        Action::Reject(id) => {
            let body = writer.record(20, i);
            body.put_u64(id.0);
            body.put_f64(0.0);
        }
        Action::CancelAttempt { id, attempt } => {
            let body = writer.record(90, i);
            body.put_u64(id.0);
            body.put_u16(*attempt as u16);
        }
        Action::Fail(id) => writer.record(30, i).put_u64(id.0),
        Action::SetTimer { token, at } => {
            let body = writer.record(60, i);
            body.put_u32(*token);
            body.put_f64(*at);
        }
        Action::Probe(endpoint) => put_endpoint(writer.record(70, i), endpoint.0),
        Action::CloseIdle(endpoint) => put_endpoint(writer.record(100, i), endpoint.0),
        Action::Subscribe => writer.record(110, i).put_u8(1),
        // In the simulation nothing outlasts a dispatcher.
        Action::RecordOutage { .. } => {}
        Action::Log(text) => writer.text(80, i, text),
    }
}
