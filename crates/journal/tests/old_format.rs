//! Journals of the format before are carried over, whatever stops that on the way.

mod common;

use bytes::Bytes;
use common::model::*;
use common::*;
use fawnspoke_journal::format::{Header, Record, frame as frame_of};
use fawnspoke_journal::{Durability, Handed, Journal, Notice, OpenError, Share, Start};
use serde::Serialize;

/// The records of the format before.
#[derive(Serialize)]
enum Old<'a> {
    Taken {
        number: u64,
        id: &'a str,
        class: &'a str,
        dest: u32,
        taken: u64,
        deadline: u64,
        key: Option<&'a str>,
        body: &'a [u8],
    },
    Past {
        number: u64,
        attempts: u32,
        may_have_run: Option<Start>,
    },
    Started {
        number: u64,
        start: Start,
    },
    Ended {
        number: u64,
        may_have_run: bool,
    },
    Owed {
        number: u64,
        notice: Notice,
    },
    Over {
        number: u64,
    },
    Outage {
        dest: u32,
        out: bool,
    },
}

fn frame(bytes: &mut Vec<u8>, record: &Old) {
    let payload = postcard::to_stdvec(record).unwrap();
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
}

/// Five messages in all states, a destination that is out, and half a record.
fn file() -> Vec<u8> {
    let mut bytes = Vec::new();
    for number in 1..=5 {
        let (id, body) = (format!("m{number}"), vec![number as u8; 300]);
        let key = (number % 2 == 0).then_some("key");
        let (id, body) = (id.as_str(), &body[..]);
        frame(
            &mut bytes,
            &Old::Taken { number, id, class: "c", dest: 3, taken: 10, deadline: 99, key, body },
        );
    }
    let start = Start { at: 20, zone: 1 };
    frame(&mut bytes, &Old::Past { number: 1, attempts: 2, may_have_run: Some(start) });
    frame(&mut bytes, &Old::Started { number: 2, start });
    frame(&mut bytes, &Old::Started { number: 3, start });
    frame(&mut bytes, &Old::Ended { number: 3, may_have_run: false });
    frame(&mut bytes, &Old::Owed { number: 4, notice: Notice::GivenUp });
    frame(&mut bytes, &Old::Over { number: 5 });
    frame(&mut bytes, &Old::Outage { dest: 3, out: true });
    frame(&mut bytes, &Old::Outage { dest: 4, out: true });
    frame(&mut bytes, &Old::Outage { dest: 4, out: false });
    bytes.extend_from_slice(&[200, 0, 0, 0, 1, 2]);
    bytes
}

fn check(journal: &Journal<Memory>) {
    let start = Some(Start { at: 20, zone: 1 });
    let about: Vec<_> =
        journal.iter().map(|(number, k)| (number, k.attempts, k.may_have_run, k.out, k.notice)).collect();
    let expected = [
        (1, 2, start, None, None),
        (2, 1, start, None, None),
        (3, 1, None, None, None),
        (4, 0, None, None, Some(Notice::GivenUp)),
    ];
    assert_eq!(about, expected);
    assert_eq!(journal.outages().collect::<Vec<_>>(), [3]);
    let second = &journal.get(2).unwrap().handed;
    assert_eq!((second.id.as_str(), second.key.as_deref(), second.body.len()), ("m2", Some("key"), 300));
}

#[test]
fn an_old_journal_is_carried_over_once() {
    let files = Memory::new(1);
    files.put("journal", file());
    files.put("journal.next", b"half of one that was written anew".to_vec());
    let (mut journal, recovery) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    assert_eq!((recovery.carried, recovery.torn, recovery.damage.len()), (Some(4), 6, 0));
    check(&journal);
    assert!(files.names().iter().all(|name| name.ends_with(".journal")), "{:?}", files.names());
    // Numbers go on behind the old ones.
    let mut handed = journal.get(2).unwrap().handed.clone();
    handed.id = "new".into();
    assert_eq!(journal.take(&handed).unwrap(), Some(5));
    let (again, recovery) = Journal::recover(files.revived(), options(Durability::None)).unwrap();
    assert_eq!(recovery.carried, None);
    assert_eq!(again.iter().count(), 5);
}

#[test]
fn a_carrying_over_that_is_stopped_anywhere_is_done_again() {
    let files = Memory::new(2);
    files.put("journal", file());
    let (_, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    let calls = files.calls();
    assert!(calls > 8, "{calls} calls");
    for call in 1..=calls {
        let files = Memory::new(call);
        files.put("journal", file());
        files.fault(call, Fault::Stop);
        assert!(
            Journal::recover(files.clone(), options(Durability::None)).is_err(),
            "stopped at call {call}"
        );
        let next = files.revived();
        let (journal, recovery) = Journal::recover(next, options(Durability::None)).unwrap();
        assert!(recovery.damage.is_empty(), "stopped at call {call}: {:?}", recovery.damage);
        check(&journal);
    }
}

/// An older program ran in the folder since: neither journal is taken for a copy of the other.
#[test]
fn an_old_journal_beside_a_new_one_is_refused_and_untouched() {
    let files = Memory::new(3);
    let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    let mut rng = fastrand::Rng::with_seed(3);
    while !matches!(act(&mut journal, &draw(&mut rng, &Model::default(), 0)), (Some(_), true)) {}
    drop(journal);
    files.put("journal", file());
    let all = |files: &Memory| files.names().iter().map(|name| files.bytes(name)).collect::<Vec<_>>();
    let before = all(&files);
    assert!(matches!(Journal::recover(files.clone(), options(Durability::None)), Err(OpenError::Both)));
    assert!(all(&files) == before);
}

/// A segment as version 1 wrote it: its first record has no shares, its messages no customers.
fn version_1() -> Vec<u8> {
    let mut bytes = Header { identity: 7, segment: 1, created: 5 }.bytes().to_vec();
    bytes[8..10].copy_from_slice(&1u16.to_le_bytes());
    let sum = crc32fast::hash(&bytes[..44]);
    bytes[44..].copy_from_slice(&sum.to_le_bytes());
    let taken = |number, id| Record::Taken1 {
        number,
        id,
        class: "c",
        dest: 3,
        taken: 10,
        deadline: 99,
        key: None,
        body: b"body",
        progress: None,
    };
    let records = [
        Record::Opening1 { sealed: vec![], outages: vec![4], next: 1 },
        taken(1, "m1"),
        taken(2, "m2"),
        Record::Over { number: 1, base: 1 },
        Record::Started { number: 2, start: Start { at: 20, zone: 1 } },
    ];
    records.iter().for_each(|record| _ = frame_of(&mut bytes, 1, record).unwrap());
    bytes
}

#[test]
fn a_journal_of_version_1_goes_on_in_this_one() {
    let files = Memory::new(4);
    files.put("0000000000000001.journal", version_1());
    let (mut journal, recovery) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    assert_eq!((recovery.damage.len(), recovery.torn), (0, 0));
    let kept: Vec<_> = journal.iter().map(|(number, k)| (number, k.handed.customer.clone())).collect();
    assert_eq!(kept, [(2, None)]);
    assert_eq!(journal.get(2).unwrap().may_have_run, Some(Start { at: 20, zone: 1 }));
    assert_eq!(journal.outages().collect::<Vec<_>>(), [4]);
    let mut handed = journal.get(2).unwrap().handed.clone();
    (handed.id, handed.taken) = ("m3".into(), 30);
    handed.customer = Some(("kilima".into(), Share { over: true, left: 250 }));
    assert_eq!(journal.take(&handed).unwrap(), Some(3));
    // Segments of both versions stand side by side, and the next life reads them.
    let (next, recovery) = Journal::recover(files.revived(), options(Durability::None)).unwrap();
    assert!(recovery.damage.is_empty(), "{:?}", recovery.damage);
    assert_eq!(next.iter().count(), 2);
    assert_eq!(next.get(3).unwrap().handed, handed);
    let levels: Vec<_> = next.levels().map(|level| (level.customer, level.left, level.at)).collect();
    assert_eq!(levels, [("kilima".to_string(), 250, 30)]);
}

/// What a customer had left outlasts the message that told it, and one that is copied later tells nothing new.
#[test]
fn what_is_left_of_a_share_outlasts_its_messages() {
    let files = Memory::new(5);
    let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    let mut handed = Handed {
        id: "a".into(),
        class: "c".into(),
        dest: 1,
        taken: 10,
        deadline: 99,
        key: None,
        customer: Some(("kilima".into(), Share { over: false, left: 9000 })),
        body: vec![1; 300].into(),
    };
    journal.take(&handed).unwrap();
    (handed.id, handed.taken) = ("b".into(), 20);
    handed.customer = Some(("kilima".into(), Share { over: true, left: 400 }));
    let last = journal.take(&handed).unwrap().unwrap();
    journal.over(last).unwrap();
    for life in 0..3 {
        // Segments fill and are emptied: the records of both are copied or go.
        handed.customer = None;
        for i in 0..60 {
            handed.id = format!("{life}-{i}");
            let number = journal.take(&handed).unwrap().unwrap();
            journal.over(number).unwrap();
            journal.step().unwrap();
        }
        let levels: Vec<_> = journal.levels().map(|level| (level.left, level.at)).collect();
        assert_eq!(levels, [(400, 20)], "life {life}");
        journal = Journal::recover(files.revived(), options(Durability::None)).unwrap().0;
    }
    assert!(journal.counts().removed > 0 || !files.names().contains(&"0000000000000001.journal".to_string()));
}

#[test]
fn names_of_customers_without_end_are_bounded() {
    let files = Memory::new(6);
    let mut limits = options(Durability::None);
    limits.limits = fawnspoke_journal::plan::Limits::of(10_000_000);
    let (mut journal, _) = Journal::recover(files, limits).unwrap();
    for i in 0..3000u64 {
        let handed = Handed {
            id: i.to_string(),
            class: "c".into(),
            dest: 1,
            taken: i,
            deadline: 99_999,
            key: None,
            customer: Some((format!("customer {i}"), Share { over: false, left: 1 })),
            body: Bytes::new(),
        };
        let number = journal.take(&handed).unwrap().unwrap();
        journal.over(number).unwrap();
    }
    let levels: Vec<_> = journal.levels().collect();
    assert_eq!(levels.len(), 1024);
    assert!(levels.iter().all(|level| level.at >= 3000 - 1024), "the latest stay");
}
