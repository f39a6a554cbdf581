//! Failing file-system calls, single and lasting ones: no message is accepted without a record, and no event is lost.

mod common;

use common::model::*;
use common::*;
use fawnspoke_journal::{AcceptedMessage, Durability, Journal};

/// Runs operations despite failures. The model follows the journal's results.
fn run_operations(
    journal: &mut Journal<MemoryFiles>, model: &mut Model, rng: &mut fastrand::Rng,
    operations: std::ops::Range<u64>,
) {
    for count in operations {
        let operation = random_operation(rng, model, count);
        let (accepted, succeeded) = execute(journal, &operation);
        // An attempt without a record of its start must not be sent, so it does not count as started.
        if succeeded || !matches!(operation, Operation::AttemptStarted(..)) {
            model.apply(&operation, accepted);
        }
        assert_eq!(Model::from_journal(journal), *model, "after {operation:?}");
    }
}

fn flush_until_written(journal: &mut Journal<MemoryFiles>, context: &str) {
    for _ in 0..3 {
        if journal.flush_pending().is_ok() && journal.is_fully_written() {
            return;
        }
    }
    panic!("{context}: pending records were never written");
}

fn assert_single_fault_loses_nothing(seed: u64, call: u64, fault: Fault, durability: Durability) {
    let context = format!("seed {seed}, {fault:?} at call {call}, {durability:?}");
    let files = MemoryFiles::new(seed);
    files.inject_fault(call, fault);
    let Ok((mut journal, _)) = Journal::recover(files.clone(), options(durability)) else {
        // A failed start leaves the directory without any visible change.
        let (journal, recovery) =
            Journal::recover(files.after_process_crash(), options(durability)).expect(&context);
        assert!(journal.iter().next().is_none() && recovery.damage.is_empty(), "{context}: {recovery:?}");
        return;
    };
    let (mut model, mut rng) = (Model::default(), fastrand::Rng::with_seed(seed));
    run_operations(&mut journal, &mut model, &mut rng, 0..200);
    flush_until_written(&mut journal, &context);
    if durability == Durability::Always {
        journal.sync().expect(&context);
    }
    let (after, recovery) =
        Journal::recover(files.after_process_crash(), options(durability)).expect(&context);
    assert!(recovery.damage.is_empty(), "{context}: {:?}", recovery.damage);
    assert_eq!(Model::from_journal(&after), model.after_restart(), "{context}");
}

#[test]
fn no_single_fault_loses_data() {
    for durability in [Durability::None, Durability::Always] {
        for seed in 1..=4 {
            let files = MemoryFiles::new(seed);
            let (mut journal, _) = Journal::recover(files.clone(), options(durability)).unwrap();
            run_operations(&mut journal, &mut Model::default(), &mut fastrand::Rng::with_seed(seed), 0..200);
            assert!(
                journal.counters().segments_removed > 0,
                "seed {seed}: no segment was compacted, so the test proves nothing"
            );
            for call in (1 + seed..=files.calls()).step_by(5) {
                for fault in [
                    Fault::Error(EIO),
                    Fault::Error(ENOSPC),
                    Fault::ShortWrite,
                    Fault::ShortWriteThenError(ENOSPC),
                ] {
                    assert_single_fault_loses_nothing(seed, call, fault, durability);
                }
            }
        }
    }
}

/// Every call of one kind fails for a while.
#[test]
fn the_journal_recovers_from_lasting_faults() {
    for kind in ["create", "append", "truncate", "sync", "sync_directory", "remove"] {
        for (seed, durability) in [(1, Durability::None), (2, Durability::Always), (3, Durability::None)] {
            let context = format!("seed {seed}, every {kind} fails, {durability:?}");
            let files = MemoryFiles::new(seed);
            let (mut journal, _) = Journal::recover(files.clone(), options(durability)).unwrap();
            let (mut model, mut rng) = (Model::default(), fastrand::Rng::with_seed(seed));
            run_operations(&mut journal, &mut model, &mut rng, 0..150);
            files.fail_every(Some((kind, ENOSPC)));
            if kind == "truncate" {
                // The journal only truncates a file after a failed append.
                let next = files.calls() + 3;
                files.inject_fault(next, Fault::ShortWriteThenError(EIO));
            }
            let open_messages = model.messages.len();
            run_operations(&mut journal, &mut model, &mut rng, 150..300);
            if kind == "append" {
                assert!(
                    model.messages.len() <= open_messages,
                    "{context}: a message was accepted without a record"
                );
                assert!(
                    !journal.is_fully_written(),
                    "{context}: nothing is pending, so the test proves nothing"
                );
            }
            files.fail_every(None);
            flush_until_written(&mut journal, &context);
            run_operations(&mut journal, &mut model, &mut rng, 300..450);
            flush_until_written(&mut journal, &context);
            let (after, recovery) =
                Journal::recover(files.after_process_crash(), options(durability)).expect(&context);
            assert!(recovery.damage.is_empty(), "{context}: {:?}", recovery.damage);
            assert_eq!(Model::from_journal(&after), model.after_restart(), "{context}");
        }
    }
}

/// Other files fill the disk before the journal's budget is used up.
#[test]
fn a_full_disk_rejects_messages_and_recovers() {
    for seed in 1..=5 {
        let files = MemoryFiles::new(seed);
        let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
        let (mut model, mut rng) = (Model::default(), fastrand::Rng::with_seed(seed));
        run_operations(&mut journal, &mut model, &mut rng, 0..120);
        files.limit_space(Some(files.bytes_on_disk() + 300));
        run_operations(&mut journal, &mut model, &mut rng, 120..240);
        assert!(
            journal.counters().failed_calls > 0,
            "seed {seed}: the disk was never full, so the test proves nothing"
        );
        files.limit_space(None);
        flush_until_written(&mut journal, "after space was freed");
        let before = model.messages.keys().last().copied();
        run_operations(&mut journal, &mut model, &mut rng, 240..400);
        assert!(
            model.messages.keys().last().copied() > before,
            "seed {seed}: no message was accepted after space was freed"
        );
        let (after, _) = Journal::recover(files.after_process_crash(), options(Durability::None)).unwrap();
        assert_eq!(Model::from_journal(&after), model.after_restart(), "seed {seed}");
    }
}

/// The journal never exceeds its budget, rejects messages at once when it is full, and always has space for records
/// that close messages.
#[test]
fn the_budget_holds_and_closing_records_always_fit() {
    for seed in 1..=5u64 {
        let files = MemoryFiles::new(seed);
        let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut model = Model::default();
        for round in 0..4 {
            // Fill the journal ...
            let mut rejected = 0;
            while rejected < 20 {
                let operation = random_operation(&mut rng, &Model::default(), 0);
                let (accepted, succeeded) = execute(&mut journal, &operation);
                assert!(succeeded, "seed {seed}: {operation:?} failed");
                model.apply(&operation, accepted);
                rejected += u32::from(accepted.is_none());
                assert!(
                    files.bytes_on_disk() <= LIMITS.budget_bytes,
                    "seed {seed}, round {round}: {}",
                    files.bytes_on_disk()
                );
            }
            assert!(journal.counters().rejected_messages >= 20);
            // ... and run many attempts while it is full, without closing any message.
            let numbers: Vec<u64> = model.messages.keys().copied().collect();
            for _ in 0..10 {
                for number in &numbers {
                    for operation in [
                        Operation::AttemptStarted(
                            *number,
                            fawnspoke_journal::AttemptStart { at: 5, zone: 0 },
                        ),
                        Operation::AttemptEnded(*number, true),
                    ] {
                        assert!(execute(&mut journal, &operation).1, "seed {seed}: {operation:?} failed");
                        model.apply(&operation, None);
                        assert!(
                            files.bytes_on_disk() <= LIMITS.budget_bytes,
                            "seed {seed}, round {round}: {}",
                            files.bytes_on_disk()
                        );
                    }
                }
            }
            let (after, _) =
                Journal::recover(files.after_process_crash(), options(Durability::None)).unwrap();
            assert_eq!(Model::from_journal(&after), model.after_restart(), "seed {seed}, round {round}");
            // Close most messages to make space again.
            for number in numbers.iter().filter(|_| rng.u32(..10) > 0) {
                for operation in [
                    Operation::NoticeDue(*number, fawnspoke_journal::Notice::GivenUp),
                    Operation::Close(*number),
                ] {
                    assert!(execute(&mut journal, &operation).1, "seed {seed}: {operation:?} failed");
                    model.apply(&operation, None);
                    assert!(
                        files.bytes_on_disk() <= LIMITS.budget_bytes,
                        "seed {seed}, round {round}: {}",
                        files.bytes_on_disk()
                    );
                }
            }
        }
    }
}

/// After a crash during compaction, the partly copied segment has to go first. If the segment with the closing records
/// went first, the stale copies would bring closed messages back.
#[test]
fn an_interrupted_compaction_is_completed_first() {
    // One of these messages is in the first segment and was not copied before the crash.
    (10..=20).for_each(check_interrupted_compaction);
}

fn check_interrupted_compaction(uncopied: u64) {
    let files = MemoryFiles::new(1);
    let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    let mut model = Model::default();
    let close = |journal: &mut Journal<MemoryFiles>, model: &mut Model, number: u64| {
        assert!(execute(journal, &Operation::Close(number)).1);
        model.apply(&Operation::Close(number), None);
    };
    for i in 0..60 {
        // Close most messages of the first segment, so that it is worth compacting and takes two steps.
        if i == 20 {
            (1..=9).for_each(|number| close(&mut journal, &mut model, number));
        }
        let body = vec![7; 100].into();
        let (id, class) = (format!("m{i:03}"), "safe".into());
        let operation = Operation::Accept(AcceptedMessage {
            id,
            class,
            destination: 1,
            accepted_at: 1,
            deadline: 2,
            key: None,
            tenant: None,
            body,
        });
        let (accepted, _) = execute(&mut journal, &operation);
        assert!(accepted.is_some());
        model.apply(&operation, accepted);
    }
    let (copied, removed) = (journal.counters().bytes_copied, journal.counters().segments_removed);
    while journal.counters().bytes_copied == copied {
        assert!(journal.compact_step().unwrap(), "there is nothing to compact, so the test proves nothing");
    }
    assert_eq!(
        journal.counters().segments_removed,
        removed,
        "it was compacted in one step, so the test proves nothing"
    );
    let files = files.after_process_crash();
    let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    // Close all messages that were copied, and keep the one that was not.
    for number in model.messages.keys().copied().filter(|number| *number != uncopied).collect::<Vec<_>>() {
        close(&mut journal, &mut model, number);
    }
    // Close further messages, so that the segment with the closing records becomes removable.
    for i in 0..40 {
        let body = vec![7; 100].into();
        let (id, class) = (format!("n{i:03}"), "safe".into());
        let operation = Operation::Accept(AcceptedMessage {
            id,
            class,
            destination: 1,
            accepted_at: 1,
            deadline: 2,
            key: None,
            tenant: None,
            body,
        });
        let (accepted, _) = execute(&mut journal, &operation);
        model.apply(&operation, accepted);
        close(&mut journal, &mut model, accepted.unwrap());
    }
    loop {
        let (after, recovery) =
            Journal::recover(files.after_process_crash(), options(Durability::None)).unwrap();
        assert!(recovery.damage.is_empty(), "{recovery:?}");
        assert_eq!(Model::from_journal(&after), model.after_restart(), "a closed message has reappeared");
        if !journal.compact_step().unwrap() {
            break;
        }
    }
}

/// A segment could neither be started nor removed again, and a later one was started after it.
#[test]
fn a_segment_that_failed_to_start_is_ignored() {
    let files = MemoryFiles::new(2);
    let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    let (mut model, mut rng) = (Model::default(), fastrand::Rng::with_seed(2));
    run_operations(&mut journal, &mut model, &mut rng, 0..120);
    let file_names = files.file_names();
    let unused_name =
        (1..).map(fawnspoke_journal::journal::file_name).find(|name| !file_names.contains(name)).unwrap();
    assert!(
        unused_name < *file_names.last().unwrap(),
        "no lower segment number is unused, so the test proves nothing"
    );
    let segment = u64::from_str_radix(&unused_name[..16], 16).unwrap();
    let identity =
        fawnspoke_journal::format::Header::parse(&files.file_bytes(&file_names[0])).unwrap().identity;
    let header = fawnspoke_journal::format::Header { identity, segment, created_at: 0 };
    let restarted = files.after_process_crash();
    restarted.put_file(&unused_name, [&header.to_bytes()[..], b"\xa7\xff\x00\x00 half of a record"].concat());
    let (after, recovery) = Journal::recover(restarted.clone(), options(Durability::None)).unwrap();
    assert!(recovery.damage.is_empty(), "{recovery:?}");
    assert_eq!(Model::from_journal(&after), model.after_restart());
    assert!(!restarted.file_names().contains(&unused_name), "the file was not removed");
}
