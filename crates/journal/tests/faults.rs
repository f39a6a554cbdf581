//! Calls of the file system that fail, one by one and for a while: nothing is taken that is not on file, and nothing
//! that happened is forgotten.

mod common;

use common::model::*;
use common::*;
use fawnspoke_journal::{AcceptedMessage, Durability, Journal};

/// Plays on whatever fails; the model goes by what the journal answered.
fn play(
    journal: &mut Journal<Memory>, model: &mut Model, rng: &mut fastrand::Rng, ops: std::ops::Range<u64>,
) {
    for count in ops {
        let op = draw(rng, model, count);
        let (taken, well) = act(journal, &op);
        // A call whose start is not on record must not go out: it never began.
        if well || !matches!(op, Op::Started(..)) {
            model.apply(&op, taken);
        }
        assert_eq!(Model::of(journal), *model, "after {op:?}");
    }
}

fn caught_up(journal: &mut Journal<Memory>, what: &str) {
    for _ in 0..3 {
        if journal.flush_pending().is_ok() && journal.is_fully_written() {
            return;
        }
    }
    panic!("{what}: never whole again");
}

fn one_fault(seed: u64, call: u64, fault: Fault, durability: Durability) {
    let what = format!("seed {seed}, {fault:?} at call {call}, {durability:?}");
    let files = Memory::new(seed);
    files.fault(call, fault);
    let Ok((mut journal, _)) = Journal::recover(files.clone(), options(durability)) else {
        // A start that fails has changed nothing that matters.
        let (journal, recovery) = Journal::recover(files.revived(), options(durability)).expect(&what);
        assert!(journal.iter().next().is_none() && recovery.damage.is_empty(), "{what}: {recovery:?}");
        return;
    };
    let (mut model, mut rng) = (Model::default(), fastrand::Rng::with_seed(seed));
    play(&mut journal, &mut model, &mut rng, 0..200);
    caught_up(&mut journal, &what);
    if durability == Durability::Always {
        journal.sync().expect(&what);
    }
    let (after, recovery) = Journal::recover(files.revived(), options(durability)).expect(&what);
    assert!(recovery.damage.is_empty(), "{what}: {:?}", recovery.damage);
    assert_eq!(Model::of(&after), model.settled(), "{what}");
}

#[test]
fn no_single_fault_loses_anything() {
    for durability in [Durability::None, Durability::Always] {
        for seed in 1..=4 {
            let files = Memory::new(seed);
            let (mut journal, _) = Journal::recover(files.clone(), options(durability)).unwrap();
            play(&mut journal, &mut Model::default(), &mut fastrand::Rng::with_seed(seed), 0..200);
            assert!(
                journal.counters().segments_removed > 0,
                "seed {seed}: no segment was emptied, this shows nothing"
            );
            for call in (1 + seed..=files.calls()).step_by(5) {
                for fault in
                    [Fault::Fails(EIO), Fault::Fails(ENOSPC), Fault::Short, Fault::ShortThenFails(ENOSPC)]
                {
                    one_fault(seed, call, fault, durability);
                }
            }
        }
    }
}

/// Every call of one kind fails for a while.
#[test]
fn what_fails_for_a_while_works_again() {
    for kind in ["create", "append", "truncate", "sync", "sync_folder", "remove"] {
        for (seed, durability) in [(1, Durability::None), (2, Durability::Always), (3, Durability::None)] {
            let what = format!("seed {seed}, {kind} fails, {durability:?}");
            let files = Memory::new(seed);
            let (mut journal, _) = Journal::recover(files.clone(), options(durability)).unwrap();
            let (mut model, mut rng) = (Model::default(), fastrand::Rng::with_seed(seed));
            play(&mut journal, &mut model, &mut rng, 0..150);
            files.failing(Some((kind, ENOSPC)));
            if kind == "truncate" {
                // It is asked for only after an append that failed.
                let next = files.calls() + 3;
                files.fault(next, Fault::ShortThenFails(EIO));
            }
            let held = model.messages.len();
            play(&mut journal, &mut model, &mut rng, 150..300);
            if kind == "append" {
                assert!(model.messages.len() <= held, "{what}: something was taken that is not on file");
                assert!(!journal.is_fully_written(), "{what}: nothing waits, this shows nothing");
            }
            files.failing(None);
            caught_up(&mut journal, &what);
            play(&mut journal, &mut model, &mut rng, 300..450);
            caught_up(&mut journal, &what);
            let (after, recovery) = Journal::recover(files.revived(), options(durability)).expect(&what);
            assert!(recovery.damage.is_empty(), "{what}: {:?}", recovery.damage);
            assert_eq!(Model::of(&after), model.settled(), "{what}");
        }
    }
}

/// The disk itself is smaller than the budget, as others fill it.
#[test]
fn a_disk_that_others_fill_refuses_and_recovers() {
    for seed in 1..=5 {
        let files = Memory::new(seed);
        let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
        let (mut model, mut rng) = (Model::default(), fastrand::Rng::with_seed(seed));
        play(&mut journal, &mut model, &mut rng, 0..120);
        files.space(Some(files.bytes_on_disk() + 300));
        play(&mut journal, &mut model, &mut rng, 120..240);
        assert!(
            journal.counters().failed_calls > 0,
            "seed {seed}: the disk was never full, this shows nothing"
        );
        files.space(None);
        caught_up(&mut journal, "room again");
        let before = model.messages.keys().last().copied();
        play(&mut journal, &mut model, &mut rng, 240..400);
        assert!(model.messages.keys().last().copied() > before, "seed {seed}: nothing is taken any more");
        let (after, _) = Journal::recover(files.revived(), options(Durability::None)).unwrap();
        assert_eq!(Model::of(&after), model.settled(), "seed {seed}");
    }
}

/// The budget is never passed, messages are refused at once, and ends always have room.
#[test]
fn the_budget_holds_and_ends_have_room() {
    for seed in 1..=5u64 {
        let files = Memory::new(seed);
        let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut model = Model::default();
        for round in 0..4 {
            // Until it is full ...
            let mut refused = 0;
            while refused < 20 {
                let op = draw(&mut rng, &Model::default(), 0);
                let (taken, well) = act(&mut journal, &op);
                assert!(well, "seed {seed}: {op:?} failed");
                model.apply(&op, taken);
                refused += u32::from(taken.is_none());
                assert!(
                    files.bytes_on_disk() <= LIMITS.budget_bytes,
                    "seed {seed}, round {round}: {}",
                    files.bytes_on_disk()
                );
            }
            assert!(journal.counters().rejected_messages >= 20);
            // ... with much that goes on while it is, and nothing that ends.
            let numbers: Vec<u64> = model.messages.keys().copied().collect();
            for _ in 0..10 {
                for number in &numbers {
                    for op in [
                        Op::Started(*number, fawnspoke_journal::AttemptStart { at: 5, zone: 0 }),
                        Op::Ended(*number, true),
                    ] {
                        assert!(act(&mut journal, &op).1, "seed {seed}: {op:?} failed");
                        model.apply(&op, None);
                        assert!(
                            files.bytes_on_disk() <= LIMITS.budget_bytes,
                            "seed {seed}, round {round}: {}",
                            files.bytes_on_disk()
                        );
                    }
                }
            }
            let (after, _) = Journal::recover(files.revived(), options(Durability::None)).unwrap();
            assert_eq!(Model::of(&after), model.settled(), "seed {seed}, round {round}");
            // Most of them end; there is room again.
            for number in numbers.iter().filter(|_| rng.u32(..10) > 0) {
                for op in [Op::Owe(*number, fawnspoke_journal::Notice::GivenUp), Op::Over(*number)] {
                    assert!(act(&mut journal, &op).1, "seed {seed}: {op:?} failed");
                    model.apply(&op, None);
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

/// Stopped while a segment is emptied: its stale copies go before anything that holds the ends of what was copied.
#[test]
fn an_emptying_that_was_cut_off_is_ended_first() {
    // One of these is in the first segment and not copied yet.
    (10..=20).for_each(emptying_cut_off);
}

fn emptying_cut_off(left: u64) {
    let files = Memory::new(1);
    let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    let mut model = Model::default();
    let end = |journal: &mut Journal<Memory>, model: &mut Model, number: u64| {
        assert!(act(journal, &Op::Over(number)).1);
        model.apply(&Op::Over(number), None);
    };
    for i in 0..60 {
        // Most of the first segment's messages end, so that it is worth emptying, and takes two steps.
        if i == 20 {
            (1..=9).for_each(|number| end(&mut journal, &mut model, number));
        }
        let body = vec![7; 100].into();
        let (id, class) = (format!("m{i:03}"), "safe".into());
        let op = Op::Take(AcceptedMessage {
            id,
            class,
            destination: 1,
            accepted_at: 1,
            deadline: 2,
            key: None,
            tenant: None,
            body,
        });
        let (taken, _) = act(&mut journal, &op);
        assert!(taken.is_some());
        model.apply(&op, taken);
    }
    let (copied, removed) = (journal.counters().bytes_copied, journal.counters().segments_removed);
    while journal.counters().bytes_copied == copied {
        assert!(journal.compact_step().unwrap(), "there is nothing to empty, this shows nothing");
    }
    assert_eq!(
        journal.counters().segments_removed,
        removed,
        "it was emptied at one step, this shows nothing"
    );
    let files = files.revived();
    let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    // Now all that was copied ends, and whatever may go goes, step by step.
    // Only the last of the first segment, which was not copied yet, does not.
    for number in model.messages.keys().copied().filter(|number| *number != left).collect::<Vec<_>>() {
        end(&mut journal, &mut model, number);
    }
    // And so does what comes after, so that the records of these ends are in a segment that may go.
    for i in 0..40 {
        let body = vec![7; 100].into();
        let (id, class) = (format!("n{i:03}"), "safe".into());
        let op = Op::Take(AcceptedMessage {
            id,
            class,
            destination: 1,
            accepted_at: 1,
            deadline: 2,
            key: None,
            tenant: None,
            body,
        });
        let (taken, _) = act(&mut journal, &op);
        model.apply(&op, taken);
        end(&mut journal, &mut model, taken.unwrap());
    }
    loop {
        let (after, recovery) = Journal::recover(files.revived(), options(Durability::None)).unwrap();
        assert!(recovery.damage.is_empty(), "{recovery:?}");
        assert_eq!(Model::of(&after), model.settled(), "something that was over is back");
        if !journal.compact_step().unwrap() {
            break;
        }
    }
}

/// A segment that could not be begun, nor removed, with another one begun after it.
#[test]
fn a_beginning_that_failed_is_of_no_account() {
    let files = Memory::new(2);
    let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    let (mut model, mut rng) = (Model::default(), fastrand::Rng::with_seed(2));
    play(&mut journal, &mut model, &mut rng, 0..120);
    let names = files.names();
    let free = (1..).map(fawnspoke_journal::journal::file_name).find(|name| !names.contains(name)).unwrap();
    assert!(free < *names.last().unwrap(), "no number is free below the last one, this shows nothing");
    let segment = u64::from_str_radix(&free[..16], 16).unwrap();
    let identity = fawnspoke_journal::format::Header::read(&files.bytes(&names[0])).unwrap().identity;
    let header = fawnspoke_journal::format::Header { identity, segment, created: 0 };
    let revived = files.revived();
    revived.put(&free, [&header.bytes()[..], b"\xa7\xff\x00\x00 half of a record"].concat());
    let (after, recovery) = Journal::recover(revived.clone(), options(Durability::None)).unwrap();
    assert!(recovery.damage.is_empty(), "{recovery:?}");
    assert_eq!(Model::of(&after), model.settled());
    assert!(!revived.names().contains(&free), "it takes up no room");
}
