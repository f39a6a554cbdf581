//! A seeded workload that is stopped at every single call of the file system, against a model of what is owed.

mod common;

use bytes::Bytes;
use common::*;
use fawnspoke_journal::format::Progress;
use fawnspoke_journal::journal::Counts;
use fawnspoke_journal::plan::Limits;
use fawnspoke_journal::{Durability, Handed, Journal, Notice, Options, Start};
use std::collections::{BTreeMap, BTreeSet};

/// Small enough for a workload to fill it several times, and for a message to outlast many segments.
const LIMITS: Limits =
    Limits { budget: 40_000, segment: 2_000, calm_step: 500, hurry_step: 1_500, reserve: 8_000 };

#[derive(Clone, Debug, Default, PartialEq)]
struct Model {
    messages: BTreeMap<u64, (Handed, Progress)>,
    outages: BTreeSet<u32>,
}

impl Model {
    fn of(journal: &Journal<Memory>) -> Model {
        let messages = journal.iter().map(|(number, kept)| (number, (kept.handed.clone(), kept.progress())));
        Model { messages: messages.collect(), outages: journal.outages().collect() }
    }

    /// What the next life makes of it: a call whose end is not on record may have run.
    fn settled(&self) -> Model {
        let mut model = self.clone();
        for (_, progress) in model.messages.values_mut() {
            let out = progress.out.take();
            progress.may_have_run = progress.may_have_run.or(out);
        }
        model
    }

    fn apply(&mut self, op: &Op, taken: Option<u64>) {
        let progress = |model: &mut Model, number: u64, with: &dyn Fn(&mut Progress)| {
            if let Some((_, progress)) = model.messages.get_mut(&number) {
                with(progress);
            }
        };
        match op {
            Op::Take(handed) => {
                if let Some(number) = taken {
                    self.messages.insert(number, (handed.clone(), Progress::default()));
                }
            }
            Op::Started(number, start) => progress(self, *number, &|p| {
                (p.attempts, p.out) = (p.attempts + 1, Some(*start));
            }),
            Op::Ended(number, ran) => progress(self, *number, &|p| {
                let out = p.out.take().filter(|_| *ran);
                p.may_have_run = p.may_have_run.or(out);
            }),
            Op::Owe(number, notice) => {
                if let Some((handed, progress)) = self.messages.get_mut(number) {
                    (progress.notice, handed.body) = (Some(*notice), Bytes::new());
                }
            }
            Op::Over(number) => _ = self.messages.remove(number),
            Op::Outage(dest, true) => _ = self.outages.insert(*dest),
            Op::Outage(dest, false) => _ = self.outages.remove(dest),
            Op::Step | Op::Sync => {}
        }
    }
}

#[derive(Clone, Debug)]
enum Op {
    Take(Handed),
    Started(u64, Start),
    Ended(u64, bool),
    Owe(u64, Notice),
    Over(u64),
    Outage(u32, bool),
    Step,
    Sync,
}

fn draw(rng: &mut fastrand::Rng, model: &Model, count: u64) -> Op {
    let messages: Vec<u64> = model.messages.keys().copied().collect();
    let any = (!messages.is_empty()).then(|| messages[rng.usize(..messages.len())]);
    let at = 1_000_000 + count;
    match (rng.u32(..100), any) {
        (0..30, _) | (_, None) => Op::Take(Handed {
            id: format!("{:016x}", rng.u64(..)),
            class: "charge-post".into(),
            dest: rng.u32(1..9),
            taken: at,
            deadline: at + 8_000_000,
            key: rng.bool().then(|| format!("k{count}")),
            // Now and then one as long as they get, beside tiny ones.
            body: vec![rng.u8(..); if rng.u32(..20) == 0 { 5_000 } else { rng.usize(..400) }].into(),
        }),
        (30..50, Some(number)) => Op::Started(number, Start { at, zone: rng.u16(..3) }),
        (50..62, Some(number)) => Op::Ended(number, rng.bool()),
        (62..68, Some(number)) => Op::Owe(number, Notice::HandedBack { retry_in_ms: rng.u64(..5000) }),
        (68..84, Some(number)) => Op::Over(number),
        (84..88, _) => Op::Outage(rng.u32(1..9), rng.bool()),
        (88..96, _) => Op::Step,
        _ => Op::Sync,
    }
}

fn options(durability: Durability) -> Options {
    Options { limits: LIMITS, durability, now: 1_000_000, identity: 7 }
}

/// Does one thing; tells the number of a message that was taken, and whether it went well.
fn act(journal: &mut Journal<Memory>, op: &Op) -> (Option<u64>, bool) {
    let done = match op {
        Op::Take(handed) => match journal.take(handed) {
            Ok(number) => return (number, true),
            Err(error) => Err(error),
        },
        Op::Started(number, start) => journal.started(*number, *start),
        Op::Ended(number, ran) => journal.ended(*number, *ran),
        Op::Owe(number, notice) => journal.owe(*number, *notice),
        Op::Over(number) => journal.over(*number),
        Op::Outage(dest, out) => journal.outage(*dest, *out),
        Op::Step => journal.step().map(drop),
        Op::Sync => journal.sync(),
    };
    (None, done.is_ok())
}

/// What may be found after a stop: the state before the last operation, or after it.
struct Run {
    before: Model,
    after: Model,
    counts: Counts,
}

/// Plays a workload until the file system stops, or to its end.
fn play(files: &Memory, seed: u64, ops: u64, durability: Durability) -> Run {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut model = Model::default();
    let Ok((mut journal, _)) = Journal::recover(files.clone(), options(durability)) else {
        return Run { before: Model::default(), after: Model::default(), counts: Counts::default() };
    };
    for count in 0..ops {
        let op = draw(&mut rng, &model, count);
        let before = model.clone();
        let (taken, well) = act(&mut journal, &op);
        // With a promise that outlasts the machine, each operation is synced before the next.
        let well = well && (durability != Durability::Always || journal.sync().is_ok());
        if files.stopped() || !well {
            assert!(files.stopped(), "seed {seed}: {op:?} failed with no fault");
            let mut after = before.clone();
            // The number that it would have got is the next one; it is looked up by its id below.
            after.apply(&op, taken.or(Some(u64::MAX)));
            return Run { before, after, counts: journal.counts() };
        }
        model.apply(&op, taken);
        assert_eq!(Model::of(&journal), model, "seed {seed}, after {op:?}");
    }
    Run { before: model.clone(), after: model, counts: journal.counts() }
}

/// Whether what was recovered is the model; a message that was being taken may have any number.
fn is(found: &Model, model: &Model) -> bool {
    let mut model = model.settled();
    if let Some(new) = model.messages.remove(&u64::MAX) {
        let Some((number, _)) = found.messages.iter().find(|(_, (handed, _))| handed.id == new.0.id) else {
            return false;
        };
        model.messages.insert(*number, new);
    }
    *found == model
}

fn check(files: Memory, run: &Run, durability: Durability, what: &str) {
    let (journal, recovery) = Journal::recover(files, options(durability)).expect(what);
    assert!(recovery.damage.is_empty(), "{what}: {:?}", recovery.damage);
    let found = Model::of(&journal);
    if !is(&found, &run.before) && !is(&found, &run.after) {
        let describe = |model: &Model| {
            let model = model.settled();
            model.messages.iter().map(|(n, (h, p))| format!("{n} {} {p:?}", h.id)).collect::<Vec<_>>()
        };
        let (found, before, after) = (describe(&found), describe(&run.before), describe(&run.after));
        let odd: Vec<_> = found.iter().filter(|f| !before.contains(f) && !after.contains(f)).collect();
        let lost: Vec<_> = before.iter().filter(|b| !found.contains(b) && after.contains(b)).collect();
        panic!("{what}: found and not owed {odd:?}, owed and not found {lost:?}");
    }
}

/// Stops a workload at each of its calls, `each`-th by `each`-th; returns how many stops there were.
fn every_stop(seed: u64, ops: u64, durability: Durability, each: usize) -> u64 {
    let files = Memory::new(seed);
    let Counts { removed, copied, .. } = play(&files, seed, ops, durability).counts;
    assert!(removed > 0 && copied > 0, "seed {seed}: no segment was emptied, this shows nothing");
    let calls = files.calls();
    let mut stops = 0;
    for call in (1..=calls).step_by(each) {
        let files = Memory::new(seed ^ call);
        files.fault(call, Fault::Stop);
        let run = play(&files, seed, ops, durability);
        let what = format!("seed {seed}, stopped at call {call}, {durability:?}");
        check(files.revived(), &run, durability, &what);
        if durability == Durability::Always {
            check(files.after_power_cut(seed ^ call), &run, durability, &format!("{what}, power cut"));
        }
        // Once more, and stopped in the recovery itself.
        let again = files.revived();
        again.fault(1 + call % 9, Fault::Stop);
        drop(Journal::recover(again.clone(), options(durability)));
        check(again.revived(), &run, durability, &format!("{what}, and again in recovery"));
        stops += 1;
    }
    stops
}

#[test]
fn every_stop_finds_what_was_owed() {
    let stops: u64 = (1..=8).map(|seed| every_stop(seed, 400, Durability::None, 2)).sum();
    assert!(stops > 1000, "{stops} stops");
}

#[test]
fn every_power_cut_finds_what_was_promised() {
    let stops: u64 = (11..=14).map(|seed| every_stop(seed, 300, Durability::Always, 3)).sum();
    assert!(stops > 500, "{stops} stops");
}

/// The whole of it: more than 10,000 stops.
#[test]
#[ignore = "takes a minute; run it with --ignored in a release build"]
fn ten_thousand_stops() {
    let mut stops = 0;
    for seed in 100..120 {
        stops += every_stop(seed, 600, Durability::None, 1);
        stops += every_stop(seed, 300, Durability::Always, 1);
    }
    println!("{stops} stops");
    assert!(stops >= 10_000, "{stops} stops");
}
