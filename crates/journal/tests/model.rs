//! A seeded workload that is stopped at every single call of the file system, against a model of what is owed.

mod common;

use common::model::*;
use common::*;
use fawnspoke_journal::journal::Counters;
use fawnspoke_journal::{Durability, Journal};

/// What may be found after a stop: the state before the last operation, or after it.
struct Run {
    before: Model,
    after: Model,
    counts: Counters,
}

/// Plays a workload until the file system stops, or to its end.
fn play(files: &Memory, seed: u64, ops: u64, durability: Durability) -> Run {
    let mut rng = fastrand::Rng::with_seed(seed);
    let Ok((mut journal, _)) = Journal::recover(files.clone(), options(durability)) else {
        return Run { before: Model::default(), after: Model::default(), counts: Counters::default() };
    };
    // An earlier life's, where there was one.
    let mut model = Model::of(&journal);
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
            return Run { before, after, counts: journal.counters() };
        }
        model.apply(&op, taken);
        assert_eq!(Model::of(&journal), model, "seed {seed}, after {op:?}");
    }
    Run { before: model.clone(), after: model, counts: journal.counters() }
}

/// Whether what was recovered is the model; a message that was being taken may have any number.
fn is(found: &Model, model: &Model) -> bool {
    let mut model = model.settled();
    if let Some(new) = model.messages.remove(&u64::MAX) {
        let Some((number, _)) = found.messages.iter().find(|(_, (message, _))| message.id == new.0.id) else {
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
    let Counters { segments_removed: removed, bytes_copied: copied, .. } =
        play(&files, seed, ops, durability).counts;
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
        let again = again.revived();
        check(again.clone(), &run, durability, &format!("{what}, and again in recovery"));
        // The next life works on with what is there, and ends as suddenly.
        if call % 4 == 0 {
            let run = play(&again, seed ^ call, 60, durability);
            check(again.revived(), &run, durability, &format!("{what}, and in the next life"));
        }
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
