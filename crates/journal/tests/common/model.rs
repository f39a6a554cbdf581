//! What a journal should know, and a seeded workload for it.

use super::Memory;
use bytes::Bytes;
use fawnspoke_journal::compaction::Limits;
use fawnspoke_journal::format::Progress;
use fawnspoke_journal::{AcceptedMessage, AttemptStart, Durability, Journal, Notice, Options, QuotaStatus};
use std::collections::{BTreeMap, BTreeSet};

/// Small enough for a workload to fill it several times, and for a message to outlast many segments.
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
    /// By customer: what was left of its share when its last message was taken, and when that was.
    pub quota_levels: BTreeMap<String, (u32, u64)>,
}

impl Model {
    pub fn of(journal: &Journal<Memory>) -> Model {
        let messages = journal.iter().map(|(number, kept)| (number, (kept.message.clone(), kept.progress())));
        let quota_levels =
            journal.quota_levels().map(|level| (level.tenant, (level.remaining_thousandths, level.at)));
        Model {
            messages: messages.collect(),
            outages: journal.outages().collect(),
            quota_levels: quota_levels.collect(),
        }
    }

    /// What the next life makes of it: a call whose end is not on record may have run.
    pub fn settled(&self) -> Model {
        let mut model = self.clone();
        for (_, progress) in model.messages.values_mut() {
            let out = progress.in_flight.take();
            progress.may_have_run = progress.may_have_run.or(out);
        }
        model
    }

    pub fn apply(&mut self, op: &Op, taken: Option<u64>) {
        let progress = |model: &mut Model, number: u64, with: &dyn Fn(&mut Progress)| {
            if let Some((_, progress)) = model.messages.get_mut(&number) {
                with(progress);
            }
        };
        match op {
            Op::Take(message) => {
                if let Some(number) = taken {
                    self.messages.insert(number, (message.clone(), Progress::default()));
                    if let Some((name, share)) = &message.tenant {
                        // The latest one holds; times of the next life of a test may be earlier ones.
                        let level = self.quota_levels.entry(name.clone()).or_default();
                        if message.accepted_at >= level.1 {
                            *level = (share.remaining_thousandths, message.accepted_at);
                        }
                    }
                }
            }
            Op::Started(number, start) => progress(self, *number, &|p| {
                p.may_have_run = p.may_have_run.or(p.in_flight);
                (p.attempts, p.in_flight) = (p.attempts + 1, Some(*start));
            }),
            Op::Ended(number, ran) => progress(self, *number, &|p| {
                let out = p.in_flight.take().filter(|_| *ran);
                p.may_have_run = p.may_have_run.or(out);
            }),
            Op::Owe(number, notice) => {
                if let Some((message, progress)) = self.messages.get_mut(number) {
                    (progress.notice, message.body) = (Some(*notice), Bytes::new());
                }
            }
            Op::Over(number) => _ = self.messages.remove(number),
            Op::Outage(destination, true) => _ = self.outages.insert(*destination),
            Op::Outage(destination, false) => _ = self.outages.remove(destination),
            Op::Step | Op::Sync => {}
        }
    }
}

#[derive(Clone, Debug)]
pub enum Op {
    Take(AcceptedMessage),
    Started(u64, AttemptStart),
    Ended(u64, bool),
    Owe(u64, Notice),
    Over(u64),
    Outage(u32, bool),
    Step,
    Sync,
}

pub fn draw(rng: &mut fastrand::Rng, model: &Model, count: u64) -> Op {
    let messages: Vec<u64> = model.messages.keys().copied().collect();
    let any = (!messages.is_empty()).then(|| messages[rng.usize(..messages.len())]);
    let at = 1_000_000 + count;
    match (rng.u32(..100), any) {
        (0..30, _) | (_, None) => Op::Take(AcceptedMessage {
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
            // Now and then one as long as they get, beside tiny ones.
            body: vec![rng.u8(..); if rng.u32(..20) == 0 { 1_800 } else { rng.usize(..400) }].into(),
        }),
        (30..50, Some(number)) => Op::Started(number, AttemptStart { at, zone: rng.u16(..3) }),
        (50..62, Some(number)) => Op::Ended(number, rng.bool()),
        (62..68, Some(number)) => Op::Owe(number, Notice::HandedBack { retry_in_ms: rng.u64(..5000) }),
        (68..84, Some(number)) => Op::Over(number),
        (84..88, _) => Op::Outage(rng.u32(1..9), rng.bool()),
        (88..96, _) => Op::Step,
        _ => Op::Sync,
    }
}

pub fn options(durability: Durability) -> Options {
    Options { limits: LIMITS, durability, now: 1_000_000, identity: 7, remembered_outcomes: 100 }
}

/// Does one thing; tells the number of a message that was taken, and whether it went well.
pub fn act(journal: &mut Journal<Memory>, op: &Op) -> (Option<u64>, bool) {
    let done = match op {
        Op::Take(message) => match journal.accept(message) {
            Ok(number) => return (number, true),
            Err(error) => Err(error),
        },
        Op::Started(number, start) => journal.attempt_started(*number, *start),
        Op::Ended(number, ran) => journal.attempt_ended(*number, *ran),
        Op::Owe(number, notice) => journal.notice_due(*number, *notice),
        Op::Over(number) => journal.close(*number),
        Op::Outage(destination, out) => journal.set_outage(*destination, *out),
        Op::Step => journal.compact_step().map(drop),
        Op::Sync => journal.sync(),
    };
    (None, done.is_ok())
}
