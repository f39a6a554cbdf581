//! What is on record, in the form of the decisions; what an earlier process left.

use crate::calls::Item;
use crate::{Node, log};
use fawnspoke_control::metrics::CountedOutcome;
use fawnspoke_journal::{AttemptStart, QuotaLevel, UNKNOWN_ZONE};
use std::time::Instant;
use waydoor::{DestinationId, Effect, Event, Message, MessageId, Outcome, Seconds};

/// The customer of a message is not told or has no share.
const NO_TENANT: usize = usize::MAX;

impl Node {
    /// A record that could not be written is in memory all the same, and is written before any other. The log tells
    /// when writes begin to fail and when they succeed again.
    pub fn observe_journal_write(&self, written: std::io::Result<()>) {
        match (written, self.journal_failing_since.get()) {
            (Err(error), None) => {
                self.journal_failing_since.set(Some(Instant::now()));
                log::info_limited(format_args!(
                    "journal: {error}; new messages are turned away until writes succeed"
                ));
            }
            (Ok(()), Some(at)) => {
                self.journal_failing_since.set(None);
                log::info_limited(format_args!(
                    "journal: writes succeed again after {:.3} s",
                    at.elapsed().as_secs_f64()
                ));
            }
            _ => {}
        }
    }

    /// What a repeat of a message of this class would do, where the class is configured.
    pub fn class_effect(&self, class: &str) -> Option<Effect> {
        let index = self.config.classes.iter().position(|known| known == class)?;
        self.config.settings.classes.get(index).map(|class| class.effect)
    }

    /// Puts the start of a call on record, before its first byte: it may run from then on. Where a repeat does no harm, a
    /// folder that refuses writes holds nothing up.
    ///
    /// # Errors
    /// [`Outcome::NotRecorded`], where the call must not begin.
    pub fn record_call_start(&self, items: &[Item], zone: u16) -> Result<(), Outcome> {
        let start = AttemptStart { at: self.unix_now(), zone };
        let mut journal = self.journal.borrow_mut();
        for item in items {
            let Err(error) = journal.attempt_started(item.number, start) else { continue };
            self.observe_journal_write(Err(error));
            if self.class_effect(&item.handed.class) != Some(Effect::Safe) {
                return Err(Outcome::NotRecorded);
            }
            journal.attempt_started_unrecorded(item.number, start);
        }
        Ok(())
    }

    /// A message that was taken has ended.
    pub fn count_message_end(&self, number: u64, end: CountedOutcome) {
        let journal = self.journal.borrow();
        let Some(kept) = journal.get(number) else { return };
        if let Some(class) = self.config.classes.iter().position(|class| *class == kept.message.class) {
            self.metrics.count_outcome(class, end);
        }
    }

    /// The customer of a name, where that one has a share.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.config.tenants.iter().position(|known| known == name)
    }

    pub fn journaled_message(&self, number: u64) -> Option<Message> {
        let journal = self.journal.borrow();
        let handed = &journal.get(number)?.message;
        // A class that is no longer configured is one that the decisions do not know either.
        let class = self.config.classes.iter().position(|class| *class == handed.class);
        let customer = handed.tenant.as_ref();
        Some(Message {
            id: MessageId(number),
            class: class.unwrap_or(usize::MAX),
            destination: DestinationId(handed.destination),
            deadline: self.to_monotonic(handed.deadline),
            key: None,
            tenant: customer.and_then(|(name, _)| self.tenant_index(name)).unwrap_or(NO_TENANT),
            over_quota: Some(customer.is_some_and(|(_, share)| share.exceeded)),
        })
    }

    /// When and where a call was sent that may have run. Where keys are kept by zone and nobody knows the zone any
    /// more, no endpoint can be trusted to know the key: it is as if its time were over.
    pub fn first_attempt(&self, class: usize, start: AttemptStart) -> (Seconds, u16) {
        let effect = self.config.settings.classes.get(class).map(|class| class.effect);
        let lost = start.zone == UNKNOWN_ZONE && matches!(effect, Some(Effect::Keyed { by_zone: true, .. }));
        (if lost { f64::NEG_INFINITY } else { self.to_monotonic(start.at) }, start.zone)
    }

    /// Takes up what an earlier process left.
    pub fn restore_from_journal(&self) {
        let journal = self.journal.borrow();
        let open: Vec<_> = journal.iter().filter(|(_, kept)| kept.notice.is_none()).collect();
        log::info(format_args!(
            "journal: {} messages and {} notices taken up",
            open.len(),
            journal.pending_notices(usize::MAX).len()
        ));
        for destination in journal.outages().filter(|_| !self.adopted_state) {
            self.send_event(Event::OutageRecovered(DestinationId(destination)));
        }
        for destination in journal.outages() {
            self.fleet.set_unavailable(self, destination, true);
        }
        for QuotaLevel { tenant: customer, remaining_thousandths: left, at } in
            journal.quota_levels().filter(|_| !self.adopted_state)
        {
            let Some(tenant) = self.tenant_index(&customer) else { continue };
            self.send_event(Event::QuotaRecovered {
                tenant,
                remaining: f64::from(left) / 1000.0,
                at: self.to_monotonic(at),
            });
        }
        for (number, kept) in open {
            // What came with the decisions' state is known there.
            if self.dispatcher.borrow().is_active(MessageId(number)) {
                continue;
            }
            let Some(message) = self.journaled_message(number) else { continue };
            self.send_event(Event::Recovered {
                message,
                accepted_at: self.to_monotonic(kept.message.accepted_at),
                attempts: kept.attempts,
                may_have_run: kept.may_have_run.map(|start| self.first_attempt(message.class, start)),
            });
        }
    }
}
