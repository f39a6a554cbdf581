//! A reference model of the journal's state, and a seeded random workload.

use super::MemoryFiles;
use bytes::Bytes;
use fawnspoke_journal::compaction::Limits;
use fawnspoke_journal::format::Progress;
use fawnspoke_journal::{AcceptedMessage, AttemptStart, Durability, Journal, Notice, Options, QuotaStatus};
use std::collections::{BTreeMap, BTreeSet};

/// Small enough for a workload to fill the journal several times, and for a message to outlive many segments.
pub const LIMITS: Limits = Limits {
    budget_bytes: 40_000,
    segment_bytes: 2_000,
    normal_step_bytes: 500,
    pressure_step_bytes: 1_500,
    reserve_bytes: 8_000,
};

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Model {
    pub messages: BTreeMap<u64, (AcceptedMessage, Progress)>,
    pub outages: BTreeSet<u32>,
    /// Remaining quota by tenant, and the time at which its last message was accepted.
    pub quota_levels: BTreeMap<String, (u32, u64)>,
}

impl Model {
    pub fn from_journal(journal: &Journal<MemoryFiles>) -> Model {
        let messages = journal
            .iter()
            .map(|(number, journaled)| (number, (journaled.message.clone(), journaled.progress())));
        let quota_levels =
            journal.quota_levels().map(|level| (level.tenant, (level.remaining_thousandths, level.at)));
        Model {
            messages: messages.collect(),
            outages: journal.outages().collect(),
            quota_levels: quota_levels.collect(),
        }
    }

    /// The state after a restart: an attempt without an end record may have run.
    pub fn after_restart(&self) -> Model {
        let mut model = self.clone();
        for (_, progress) in model.messages.values_mut() {
            let in_flight = progress.in_flight.take();
            progress.may_have_run = progress.may_have_run.or(in_flight);
        }
        model
    }

    pub fn apply(&mut self, operation: &Operation, accepted: Option<u64>) {
        let update_progress = |model: &mut Model, number: u64, change: &dyn Fn(&mut Progress)| {
            if let Some((_, progress)) = model.messages.get_mut(&number) {
                change(progress);
            }
        };
        match operation {
            Operation::Accept(message) => {
                if let Some(number) = accepted {
                    self.messages.insert(number, (message.clone(), Progress::default()));
                    if let Some((name, quota)) = &message.tenant {
                        // The level with the latest time is kept; a test may restart the journal with an earlier time.
                        let level = self.quota_levels.entry(name.clone()).or_default();
                        if message.accepted_at >= level.1 {
                            *level = (quota.remaining_thousandths, message.accepted_at);
                        }
                    }
                }
            }
            Operation::AttemptStarted(number, start) => update_progress(self, *number, &|progress| {
                progress.may_have_run = progress.may_have_run.or(progress.in_flight);
                (progress.attempts, progress.in_flight) = (progress.attempts + 1, Some(*start));
            }),
            Operation::AttemptEnded(number, may_have_run) => update_progress(self, *number, &|progress| {
                let in_flight = progress.in_flight.take().filter(|_| *may_have_run);
                progress.may_have_run = progress.may_have_run.or(in_flight);
            }),
            Operation::NoticeDue(number, notice) => {
                if let Some((message, progress)) = self.messages.get_mut(number) {
                    (progress.notice, message.body) = (Some(*notice), Bytes::new());
                }
            }
            Operation::Close(number) => _ = self.messages.remove(number),
            Operation::SetOutage(destination, true) => _ = self.outages.insert(*destination),
            Operation::SetOutage(destination, false) => _ = self.outages.remove(destination),
            Operation::CompactStep | Operation::Sync => {}
        }
    }
}

#[derive(Clone, Debug)]
pub enum Operation {
    Accept(AcceptedMessage),
    AttemptStarted(u64, AttemptStart),
    AttemptEnded(u64, bool),
    NoticeDue(u64, Notice),
    Close(u64),
    SetOutage(u32, bool),
    CompactStep,
    Sync,
}

pub fn random_operation(rng: &mut fastrand::Rng, model: &Model, count: u64) -> Operation {
    let messages: Vec<u64> = model.messages.keys().copied().collect();
    let message = (!messages.is_empty()).then(|| messages[rng.usize(..messages.len())]);
    let at = 1_000_000 + count;
    match (rng.u32(..100), message) {
        (0..30, _) | (_, None) => Operation::Accept(AcceptedMessage {
            id: format!("{:016x}", rng.u64(..)),
            class: "charge-post".into(),
            destination: rng.u32(1..9),
            accepted_at: at,
            deadline: at + 8_000_000,
            key: rng.bool().then(|| format!("k{count}")),
            tenant: rng.bool().then(|| {
                (
                    format!("c{}", rng.u32(..3)),
                    QuotaStatus { exceeded: rng.bool(), remaining_thousandths: rng.u32(..9000) },
                )
            }),
            // Mostly small bodies, and a few near the maximum.
            body: vec![rng.u8(..); if rng.u32(..20) == 0 { 1_800 } else { rng.usize(..400) }].into(),
        }),
        (30..50, Some(number)) => Operation::AttemptStarted(number, AttemptStart { at, zone: rng.u16(..3) }),
        (50..62, Some(number)) => Operation::AttemptEnded(number, rng.bool()),
        (62..68, Some(number)) => {
            Operation::NoticeDue(number, Notice::HandedBack { retry_in_ms: rng.u64(..5000) })
        }
        (68..84, Some(number)) => Operation::Close(number),
        (84..88, _) => Operation::SetOutage(rng.u32(1..9), rng.bool()),
        (88..96, _) => Operation::CompactStep,
        _ => Operation::Sync,
    }
}

pub fn options(durability: Durability) -> Options {
    Options { limits: LIMITS, durability, now: 1_000_000, identity: 7, remembered_outcomes: 100 }
}

/// Executes an operation. Returns the number of the message, if one was accepted, and whether the call succeeded.
pub fn execute(journal: &mut Journal<MemoryFiles>, operation: &Operation) -> (Option<u64>, bool) {
    let result = match operation {
        Operation::Accept(message) => match journal.accept(message) {
            Ok(number) => return (number, true),
            Err(error) => Err(error),
        },
        Operation::AttemptStarted(number, start) => journal.attempt_started(*number, *start),
        Operation::AttemptEnded(number, may_have_run) => journal.attempt_ended(*number, *may_have_run),
        Operation::NoticeDue(number, notice) => journal.notice_due(*number, *notice),
        Operation::Close(number) => journal.close(*number),
        Operation::SetOutage(destination, ongoing) => journal.set_outage(*destination, *ongoing),
        Operation::CompactStep => journal.compact_step().map(drop),
        Operation::Sync => journal.sync(),
    };
    (None, result.is_ok())
}
