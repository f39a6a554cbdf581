//! Journals of the format before are carried over, whatever stops that on the way.

mod common;

use bytes::Bytes;
use common::model::*;
use common::*;
use fawnspoke_journal::format::{Header, Record, frame as frame_of};
use fawnspoke_journal::{AcceptedMessage, AttemptStart, Durability, Journal, Notice, OpenError, QuotaStatus};
use serde::Serialize;

/// The records of the format before.
#[derive(Serialize)]
enum Old<'a> {
    Taken {
        number: u64,
        id: &'a str,
        class: &'a str,
        destination: u32,
        accepted_at: u64,
        deadline: u64,
        key: Option<&'a str>,
        body: &'a [u8],
    },
    Past {
        number: u64,
        attempts: u32,
        may_have_run: Option<AttemptStart>,
    },
    Started {
        number: u64,
        start: AttemptStart,
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
        destination: u32,
        ongoing: bool,
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
            &Old::Taken { number, id, class: "c", destination: 3, accepted_at: 10, deadline: 99, key, body },
        );
    }
    let start = AttemptStart { at: 20, zone: 1 };
    frame(&mut bytes, &Old::Past { number: 1, attempts: 2, may_have_run: Some(start) });
    frame(&mut bytes, &Old::Started { number: 2, start });
    frame(&mut bytes, &Old::Started { number: 3, start });
    frame(&mut bytes, &Old::Ended { number: 3, may_have_run: false });
    frame(&mut bytes, &Old::Owed { number: 4, notice: Notice::GivenUp });
    frame(&mut bytes, &Old::Over { number: 5 });
    frame(&mut bytes, &Old::Outage { destination: 3, ongoing: true });
    frame(&mut bytes, &Old::Outage { destination: 4, ongoing: true });
    frame(&mut bytes, &Old::Outage { destination: 4, ongoing: false });
    bytes.extend_from_slice(&[200, 0, 0, 0, 1, 2]);
    bytes
}

fn check(journal: &Journal<Memory>) {
    let start = Some(AttemptStart { at: 20, zone: 1 });
    let about: Vec<_> = journal
        .iter()
        .map(|(number, k)| (number, k.attempts, k.may_have_run, k.in_flight, k.notice))
        .collect();
    let expected = [
        (1, 2, start, None, None),
        (2, 1, start, None, None),
        (3, 1, None, None, None),
        (4, 0, None, None, Some(Notice::GivenUp)),
    ];
    assert_eq!(about, expected);
    assert_eq!(journal.outages().collect::<Vec<_>>(), [3]);
    let second = &journal.get(2).unwrap().message;
    assert_eq!((second.id.as_str(), second.key.as_deref(), second.body.len()), ("m2", Some("key"), 300));
}

#[test]
fn an_old_journal_is_carried_over_once() {
    let files = Memory::new(1);
    files.put("journal", file());
    files.put("journal.next", b"half of one that was written anew".to_vec());
    let (mut journal, recovery) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    assert_eq!((recovery.migrated_messages, recovery.torn_bytes, recovery.damage.len()), (Some(4), 6, 0));
    check(&journal);
    assert!(files.names().iter().all(|name| name.ends_with(".journal")), "{:?}", files.names());
    // Numbers go on behind the old ones.
    let mut message = journal.get(2).unwrap().message.clone();
    message.id = "new".into();
    assert_eq!(journal.accept(&message).unwrap(), Some(5));
    let (again, recovery) = Journal::recover(files.revived(), options(Durability::None)).unwrap();
    assert_eq!(recovery.migrated_messages, None);
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
        destination: 3,
        accepted_at: 10,
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
        Record::Started { number: 2, start: AttemptStart { at: 20, zone: 1 } },
    ];
    records.iter().for_each(|record| _ = frame_of(&mut bytes, 1, record).unwrap());
    bytes
}

#[test]
fn a_journal_of_version_1_goes_on_in_this_one() {
    let files = Memory::new(4);
    files.put("0000000000000001.journal", version_1());
    let (mut journal, recovery) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    assert_eq!((recovery.damage.len(), recovery.torn_bytes), (0, 0));
    let kept: Vec<_> = journal.iter().map(|(number, k)| (number, k.message.tenant.clone())).collect();
    assert_eq!(kept, [(2, None)]);
    assert_eq!(journal.get(2).unwrap().may_have_run, Some(AttemptStart { at: 20, zone: 1 }));
    assert_eq!(journal.outages().collect::<Vec<_>>(), [4]);
    let mut message = journal.get(2).unwrap().message.clone();
    (message.id, message.accepted_at) = ("m3".into(), 30);
    message.tenant = Some(("kilima".into(), QuotaStatus { exceeded: true, remaining_thousandths: 250 }));
    assert_eq!(journal.accept(&message).unwrap(), Some(3));
    // Segments of both versions stand side by side, and the next life reads them.
    let (next, recovery) = Journal::recover(files.revived(), options(Durability::None)).unwrap();
    assert!(recovery.damage.is_empty(), "{:?}", recovery.damage);
    assert_eq!(next.iter().count(), 2);
    assert_eq!(next.get(3).unwrap().message, message);
    let quota_levels: Vec<_> =
        next.quota_levels().map(|level| (level.tenant, level.remaining_thousandths, level.at)).collect();
    assert_eq!(quota_levels, [("kilima".to_string(), 250, 30)]);
}

/// What a customer had left outlasts the message that told it, and one that is copied later tells nothing new.
#[test]
fn what_is_left_of_a_share_outlasts_its_messages() {
    let files = Memory::new(5);
    let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    let mut message = AcceptedMessage {
        id: "a".into(),
        class: "c".into(),
        destination: 1,
        accepted_at: 10,
        deadline: 99,
        key: None,
        tenant: Some(("kilima".into(), QuotaStatus { exceeded: false, remaining_thousandths: 9000 })),
        body: vec![1; 300].into(),
    };
    journal.accept(&message).unwrap();
    (message.id, message.accepted_at) = ("b".into(), 20);
    message.tenant = Some(("kilima".into(), QuotaStatus { exceeded: true, remaining_thousandths: 400 }));
    let last = journal.accept(&message).unwrap().unwrap();
    journal.close(last).unwrap();
    for life in 0..3 {
        // Segments fill and are emptied: the records of both are copied or go.
        message.tenant = None;
        for i in 0..60 {
            message.id = format!("{life}-{i}");
            let number = journal.accept(&message).unwrap().unwrap();
            journal.close(number).unwrap();
            journal.compact_step().unwrap();
        }
        let quota_levels: Vec<_> =
            journal.quota_levels().map(|level| (level.remaining_thousandths, level.at)).collect();
        assert_eq!(quota_levels, [(400, 20)], "life {life}");
        journal = Journal::recover(files.revived(), options(Durability::None)).unwrap().0;
    }
    assert!(
        journal.counters().segments_removed > 0
            || !files.names().contains(&"0000000000000001.journal".to_string())
    );
}

#[test]
fn names_of_customers_without_end_are_bounded() {
    let files = Memory::new(6);
    let mut limits = options(Durability::None);
    limits.limits = fawnspoke_journal::compaction::Limits::for_budget(10_000_000);
    let (mut journal, _) = Journal::recover(files, limits).unwrap();
    for i in 0..3000u64 {
        let message = AcceptedMessage {
            id: i.to_string(),
            class: "c".into(),
            destination: 1,
            accepted_at: i,
            deadline: 99_999,
            key: None,
            tenant: Some((
                format!("customer {i}"),
                QuotaStatus { exceeded: false, remaining_thousandths: 1 },
            )),
            body: Bytes::new(),
        };
        let number = journal.accept(&message).unwrap().unwrap();
        journal.close(number).unwrap();
    }
    let quota_levels: Vec<_> = journal.quota_levels().collect();
    assert_eq!(quota_levels.len(), 1024);
    assert!(quota_levels.iter().all(|level| level.at >= 3000 - 1024), "the latest stay");
}
