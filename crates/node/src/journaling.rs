//! Connects the journal with the decision core: reports write errors, converts journaled messages to the core's form,
//! and restores the state that an earlier process left.

use crate::call::CallMessage;
use crate::{Node, log};
use fawnspoke_control::metrics::CountedOutcome;
use fawnspoke_journal::{AttemptStart, Notice, QuotaLevel, UNKNOWN_ZONE};
use std::time::Instant;
use waydoor::{DestinationId, Effect, Event, Message, MessageId, MessageProgress, Outcome, Seconds};

/// Tenant index of a message whose tenant is unknown or has no quota.
const NO_TENANT: usize = usize::MAX;

impl Node {
    /// Tracks the result of a journal write and logs when writes begin to fail and when they succeed again. The journal
    /// keeps a record that could not be written in memory and writes it before any other.
    pub fn observe_journal_write(&self, result: std::io::Result<()>) {
        match (result, self.journal_failing_since.get()) {
            (Err(error), None) => {
                self.journal_failing_since.set(Some(Instant::now()));
                log::info_limited(format_args!(
                    "journal: {error}; rejecting new messages until writes succeed"
                ));
            }
            (Ok(()), Some(failing_since)) => {
                self.journal_failing_since.set(None);
                log::info_limited(format_args!(
                    "journal: writes succeed again after {:.3} s",
                    failing_since.elapsed().as_secs_f64()
                ));
            }
            _ => {}
        }
    }

    /// The effect of repeating a message of this class, if the class is configured.
    pub fn class_effect(&self, class: &str) -> Option<Effect> {
        let index = self.config.classes.iter().position(|configured| configured == class)?;
        self.config.settings.classes.get(index).map(|class| class.effect)
    }

    /// Ends a message undelivered: journals the notice and wakes the task that sends it.
    pub fn end_undelivered(&self, number: u64, notice: Notice) {
        self.observe_journal_write(self.journal.borrow_mut().notice_due(number, notice));
        self.notice_due.notify_one();
    }

    /// Journals the start of a call before its first byte is sent, since the call may run from then on. If the write
    /// fails, only messages that are safe to repeat are sent.
    ///
    /// # Errors
    /// [`Outcome::NotRecorded`] if the call must not begin.
    pub fn record_call_start(&self, messages: &[CallMessage], zone: u16) -> Result<(), Outcome> {
        let start = AttemptStart { at: self.unix_now(), zone };
        let mut journal = self.journal.borrow_mut();
        for message in messages {
            let Err(error) = journal.attempt_started(message.number, start) else { continue };
            self.observe_journal_write(Err(error));
            if self.class_effect(&message.content.class) != Some(Effect::Safe) {
                return Err(Outcome::NotRecorded);
            }
            journal.attempt_started_unrecorded(message.number, start);
        }
        Ok(())
    }

    /// Counts the end of an accepted message in the metrics of its class.
    pub fn count_message_end(&self, number: u64, end: CountedOutcome) {
        let journal = self.journal.borrow();
        let Some(entry) = journal.get(number) else { return };
        if let Some(class) = self.config.classes.iter().position(|class| *class == entry.message.class) {
            self.metrics.count_outcome(class, end);
        }
    }

    /// The index of a tenant by its name, if it has a quota.
    pub fn tenant_index(&self, name: &str) -> Option<usize> {
        self.config.tenants.iter().position(|tenant| tenant == name)
    }

    /// A journaled message in the form of the decision core.
    pub fn journaled_message(&self, number: u64) -> Option<Message> {
        let journal = self.journal.borrow();
        let accepted = &journal.get(number)?.message;
        // A class that is no longer configured has no index; the decision core handles that.
        let class = self.config.classes.iter().position(|class| *class == accepted.class);
        let tenant = accepted.tenant.as_ref();
        Some(Message {
            id: MessageId(number),
            class: class.unwrap_or(usize::MAX),
            destination: DestinationId(accepted.destination),
            deadline: self.to_monotonic(accepted.deadline),
            key: None,
            tenant: tenant.and_then(|(name, _)| self.tenant_index(name)).unwrap_or(NO_TENANT),
            over_quota: Some(tenant.is_some_and(|(_, quota)| quota.exceeded)),
        })
    }

    /// The time and zone of the first attempt that may have run. If keys are remembered per zone and the zone is
    /// unknown, no endpoint can be relied on to know the key, so the key counts as expired.
    pub fn first_attempt(&self, class: usize, start: AttemptStart) -> (Seconds, u16) {
        let effect = self.config.settings.classes.get(class).map(|class| class.effect);
        let key_lost =
            start.zone == UNKNOWN_ZONE && matches!(effect, Some(Effect::Keyed { by_zone: true, .. }));
        (if key_lost { f64::NEG_INFINITY } else { self.to_monotonic(start.at) }, start.zone)
    }

    /// A journaled message with what was done for it so far, in the form of the decision core.
    pub fn message_progress(&self, number: u64) -> Option<MessageProgress> {
        let message = self.journaled_message(number)?;
        let journal = self.journal.borrow();
        let entry = journal.get(number)?;
        Some(MessageProgress {
            message,
            accepted_at: self.to_monotonic(entry.message.accepted_at),
            attempts: entry.attempts,
            may_have_run: entry.may_have_run.map(|start| self.first_attempt(message.class, start)),
        })
    }

    /// Restores messages, outages and quota levels that an earlier process journaled.
    pub fn restore_from_journal(&self) {
        let journal = self.journal.borrow();
        let open_messages: Vec<_> = journal.iter().filter(|(_, entry)| entry.notice.is_none()).collect();
        log::info(format_args!(
            "journal: restored {} messages and {} notices",
            open_messages.len(),
            journal.pending_notices().count()
        ));
        for destination in journal.outages().filter(|_| !self.adopted_state) {
            self.send_event(Event::OutageRestored(DestinationId(destination)));
        }
        for destination in journal.outages() {
            self.fleet.set_unavailable(self, destination, true);
        }
        for QuotaLevel { tenant, remaining_thousandths, at } in
            journal.quota_levels().filter(|_| !self.adopted_state)
        {
            let Some(tenant) = self.tenant_index(&tenant) else { continue };
            self.send_event(Event::QuotaUpdate {
                tenant,
                remaining: f64::from(remaining_thousandths) / 1000.0,
                at: self.to_monotonic(at),
            });
        }
        for (number, _) in open_messages {
            // The state of the decision core that was handed over includes this message.
            if self.dispatcher.borrow().is_active(MessageId(number)) {
                continue;
            }
            self.message_progress(number).inspect(|progress| self.send_event(Event::Recovered(*progress)));
        }
    }
}
