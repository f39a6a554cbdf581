//! What is on record, in the form of the decisions; what an earlier process left.

use crate::calls::Item;
use crate::{Node, log};
use fawnspoke_control::figures::End;
use fawnspoke_journal::{Level, Start, UNKNOWN_ZONE};
use std::time::Instant;
use waydoor::{DestinationId, Effect, Event, Message, MessageId, Outcome, Seconds};

/// The customer of a message is not told or has no share.
const NO_TENANT: usize = usize::MAX;

impl Node {
    /// A record that could not be written is in memory all the same, and is written before any other. The log tells
    /// when writes begin to fail and when they succeed again.
    pub fn record(&self, written: std::io::Result<()>) {
        match (written, self.storage_failed_at.get()) {
            (Err(error), None) => {
                self.storage_failed_at.set(Some(Instant::now()));
                log::line(format_args!(
                    "journal: {error}; new messages are turned away until writes succeed"
                ));
            }
            (Ok(()), Some(at)) => {
                self.storage_failed_at.set(None);
                log::line(format_args!(
                    "journal: writes succeed again after {:.3} s",
                    at.elapsed().as_secs_f64()
                ));
            }
            _ => {}
        }
    }

    /// What a repeat of a message of this class would do, where the class is configured.
    pub fn effect(&self, class: &str) -> Option<Effect> {
        let index = self.config.classes.iter().position(|known| known == class)?;
        self.config.settings.classes.get(index).map(|class| class.effect)
    }

    /// Puts the start of a call on record, before its first byte: it may run from then on. Where a repeat does no harm, a
    /// folder that refuses writes holds nothing up.
    ///
    /// # Errors
    /// [`Outcome::NotRecorded`], where the call must not begin.
    pub fn record_start(&self, items: &[Item], zone: u16) -> Result<(), Outcome> {
        let start = Start { at: self.unix_now(), zone };
        let mut journal = self.journal.borrow_mut();
        for item in items {
            let Err(error) = journal.started(item.number, start) else { continue };
            self.record(Err(error));
            if self.effect(&item.handed.class) != Some(Effect::Safe) {
                return Err(Outcome::NotRecorded);
            }
            journal.started_without_record(item.number, start);
        }
        Ok(())
    }

    /// A message that was taken has ended.
    pub fn count_end(&self, number: u64, end: End) {
        let journal = self.journal.borrow();
        let Some(kept) = journal.get(number) else { return };
        if let Some(class) = self.config.classes.iter().position(|class| *class == kept.handed.class) {
            self.figures.ended(class, end);
        }
    }

    /// The customer of a name, where that one has a share.
    pub fn tenant(&self, name: &str) -> Option<usize> {
        self.config.tenants.iter().position(|known| known == name)
    }

    pub fn message(&self, number: u64) -> Option<Message> {
        let journal = self.journal.borrow();
        let handed = &journal.get(number)?.handed;
        // A class that is no longer configured is one that the decisions do not know either.
        let class = self.config.classes.iter().position(|class| *class == handed.class);
        let customer = handed.customer.as_ref();
        Some(Message {
            id: MessageId(number),
            class: class.unwrap_or(usize::MAX),
            destination: DestinationId(handed.dest),
            deadline: self.seconds(handed.deadline),
            key: None,
            tenant: customer.and_then(|(name, _)| self.tenant(name)).unwrap_or(NO_TENANT),
            over_quota: Some(customer.is_some_and(|(_, share)| share.over)),
        })
    }

    /// When and where a call was sent that may have run. Where keys are kept by zone and nobody knows the zone any
    /// more, no endpoint can be trusted to know the key: it is as if its time were over.
    pub fn first_run(&self, class: usize, start: Start) -> (Seconds, u16) {
        let effect = self.config.settings.classes.get(class).map(|class| class.effect);
        let lost = start.zone == UNKNOWN_ZONE && matches!(effect, Some(Effect::Keyed { by_zone: true, .. }));
        (if lost { f64::NEG_INFINITY } else { self.seconds(start.at) }, start.zone)
    }

    /// Takes up what an earlier process left.
    pub fn resume(&self) {
        let journal = self.journal.borrow();
        let open: Vec<_> = journal.iter().filter(|(_, kept)| kept.notice.is_none()).collect();
        log::say(format_args!(
            "journal: {} messages and {} notices taken up",
            open.len(),
            journal.owed(usize::MAX).len()
        ));
        for destination in journal.outages().filter(|_| !self.adopted) {
            self.tell(Event::OutageRecovered(DestinationId(destination)));
        }
        for destination in journal.outages() {
            self.bounds.out(self, destination, true);
        }
        for Level { customer, left, at } in journal.levels().filter(|_| !self.adopted) {
            let Some(tenant) = self.tenant(&customer) else { continue };
            self.tell(Event::QuotaUpdate {
                tenant,
                remaining: f64::from(left) / 1000.0,
                at: self.seconds(at),
            });
        }
        for (number, kept) in open {
            // What came with the decisions' state is known there.
            if self.dispatcher.borrow().is_active(MessageId(number)) {
                continue;
            }
            let Some(message) = self.message(number) else { continue };
            self.tell(Event::Recovered {
                message,
                accepted_at: self.seconds(kept.handed.taken),
                attempts: kept.attempts,
                may_have_run: kept.may_have_run.map(|start| self.first_run(message.class, start)),
            });
        }
    }
}
