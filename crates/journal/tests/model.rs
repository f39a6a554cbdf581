//! Runs a seeded workload that crashes at each file-system call, and compares the recovered state to a model.

mod common;

use common::model::*;
use common::*;
use fawnspoke_journal::journal::Counters;
use fawnspoke_journal::{Durability, Journal};

/// The states that may be found after a crash: before the last operation, or after it.
struct Run {
    before: Model,
    after: Model,
    counters: Counters,
}

/// Runs a workload to its end, or until the file system crashes.
fn run_workload(files: &MemoryFiles, seed: u64, operations: u64, durability: Durability) -> Run {
    let mut rng = fastrand::Rng::with_seed(seed);
    let Ok((mut journal, _)) = Journal::recover(files.clone(), options(durability)) else {
        return Run { before: Model::default(), after: Model::default(), counters: Counters::default() };
    };
    // The state that an earlier process left, if any.
    let mut model = Model::from_journal(&journal);
    for count in 0..operations {
        let operation = random_operation(&mut rng, &model, count);
        let before = model.clone();
        let (accepted, succeeded) = execute(&mut journal, &operation);
        // For this durability level, each operation is synced before the next one.
        let succeeded = succeeded && (durability != Durability::Always || journal.sync().is_ok());
        if files.crashed() || !succeeded {
            assert!(files.crashed(), "seed {seed}: {operation:?} failed without an injected fault");
            let mut after = before.clone();
            // The number of a message that was being accepted is unknown; `matches_model` finds the message by its id.
            after.apply(&operation, accepted.or(Some(u64::MAX)));
            return Run { before, after, counters: journal.counters() };
        }
        model.apply(&operation, accepted);
        assert_eq!(Model::from_journal(&journal), model, "seed {seed}, after {operation:?}");
    }
    Run { before: model.clone(), after: model, counters: journal.counters() }
}

/// Whether the recovered state is that of the model. A message that was being accepted may have any number.
fn matches_model(found: &Model, model: &Model) -> bool {
    let mut model = model.after_restart();
    if let Some(new_message) = model.messages.remove(&u64::MAX) {
        let Some((number, _)) =
            found.messages.iter().find(|(_, (message, _))| message.id == new_message.0.id)
        else {
            return false;
        };
        model.messages.insert(*number, new_message);
    }
    *found == model
}

fn assert_recovers(files: MemoryFiles, run: &Run, durability: Durability, context: &str) {
    let (journal, recovery) = Journal::recover(files, options(durability)).expect(context);
    assert!(recovery.damage.is_empty(), "{context}: {:?}", recovery.damage);
    let found = Model::from_journal(&journal);
    if !matches_model(&found, &run.before) && !matches_model(&found, &run.after) {
        let describe = |model: &Model| {
            let model = model.after_restart();
            model
                .messages
                .iter()
                .map(|(number, (message, progress))| format!("{number} {} {progress:?}", message.id))
                .collect::<Vec<_>>()
        };
        let (found, before, after) = (describe(&found), describe(&run.before), describe(&run.after));
        let unexpected: Vec<_> =
            found.iter().filter(|line| !before.contains(line) && !after.contains(line)).collect();
        let missing: Vec<_> =
            before.iter().filter(|line| !found.contains(line) && after.contains(line)).collect();
        panic!("{context}: found unexpectedly: {unexpected:?}, missing: {missing:?}");
    }
}

/// Crashes a workload at every `step`-th call and returns the number of crashes.
fn crash_at_each_call(seed: u64, operations: u64, durability: Durability, step: usize) -> u64 {
    let files = MemoryFiles::new(seed);
    let Counters { segments_removed: removed, bytes_copied: copied, .. } =
        run_workload(&files, seed, operations, durability).counters;
    assert!(removed > 0 && copied > 0, "seed {seed}: no segment was compacted, so the test proves nothing");
    let calls = files.calls();
    let mut crashes = 0;
    for call in (1..=calls).step_by(step) {
        let files = MemoryFiles::new(seed ^ call);
        files.inject_fault(call, Fault::Crash);
        let run = run_workload(&files, seed, operations, durability);
        let context = format!("seed {seed}, crash at call {call}, {durability:?}");
        assert_recovers(files.after_process_crash(), &run, durability, &context);
        if durability == Durability::Always {
            assert_recovers(
                files.after_power_failure(seed ^ call),
                &run,
                durability,
                &format!("{context}, power failure"),
            );
        }
        // Crash again during recovery.
        let recovered = files.after_process_crash();
        recovered.inject_fault(1 + call % 9, Fault::Crash);
        drop(Journal::recover(recovered.clone(), options(durability)));
        let recovered = recovered.after_process_crash();
        assert_recovers(recovered.clone(), &run, durability, &format!("{context}, again during recovery"));
        // The next process continues from this state and crashes as well.
        if call % 4 == 0 {
            let run = run_workload(&recovered, seed ^ call, 60, durability);
            assert_recovers(
                recovered.after_process_crash(),
                &run,
                durability,
                &format!("{context}, again in the next process"),
            );
        }
        crashes += 1;
    }
    crashes
}

#[test]
fn every_process_crash_preserves_open_messages() {
    let crashes: u64 = (1..=8).map(|seed| crash_at_each_call(seed, 400, Durability::None, 2)).sum();
    assert!(crashes > 1000, "{crashes} crashes");
}

#[test]
fn every_power_failure_preserves_synced_state() {
    let crashes: u64 = (11..=14).map(|seed| crash_at_each_call(seed, 300, Durability::Always, 3)).sum();
    assert!(crashes > 500, "{crashes} crashes");
}

/// The exhaustive variant with more than 10,000 crashes.
#[test]
#[ignore = "takes a minute; run with --ignored in a release build"]
fn ten_thousand_crashes() {
    let mut crashes = 0;
    for seed in 100..120 {
        crashes += crash_at_each_call(seed, 600, Durability::None, 1);
        crashes += crash_at_each_call(seed, 300, Durability::Always, 1);
    }
    println!("{crashes} crashes");
    assert!(crashes >= 10_000, "{crashes} crashes");
}
