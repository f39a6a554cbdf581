//! Journals of the legacy format and of version 1 are migrated, even if the migration crashes on the way.

mod common;

use bytes::Bytes;
use common::model::*;
use common::*;
use fawnspoke_journal::format::{Header, Record, append_record};
use fawnspoke_journal::{AcceptedMessage, AttemptStart, Durability, Journal, Notice, OpenError, QuotaStatus};
use serde::Serialize;

/// The records of the legacy format.
#[derive(Serialize)]
enum LegacyRecord<'a> {
    Accepted {
        number: u64,
        id: &'a str,
        class: &'a str,
        destination: u32,
        accepted_at: u64,
        deadline: u64,
        key: Option<&'a str>,
        body: &'a [u8],
    },
    History {
        number: u64,
        attempts: u32,
        may_have_run: Option<AttemptStart>,
    },
    AttemptStarted {
        number: u64,
        start: AttemptStart,
    },
    AttemptEnded {
        number: u64,
        may_have_run: bool,
    },
    NoticeDue {
        number: u64,
        notice: Notice,
    },
    Closed {
        number: u64,
    },
    Outage {
        destination: u32,
        ongoing: bool,
    },
}

fn append_legacy_record(bytes: &mut Vec<u8>, record: &LegacyRecord) {
    let payload = postcard::to_stdvec(record).unwrap();
    bytes.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&payload).to_le_bytes());
    bytes.extend_from_slice(&payload);
}

/// A legacy journal with five messages in different states, an outage, and an incomplete record at the end.
fn legacy_journal() -> Vec<u8> {
    let mut bytes = Vec::new();
    for number in 1..=5 {
        let (id, body) = (format!("m{number}"), vec![number as u8; 300]);
        let key = (number % 2 == 0).then_some("key");
        let (id, body) = (id.as_str(), &body[..]);
        append_legacy_record(
            &mut bytes,
            &LegacyRecord::Accepted {
                number,
                id,
                class: "c",
                destination: 3,
                accepted_at: 10,
                deadline: 99,
                key,
                body,
            },
        );
    }
    let start = AttemptStart { at: 20, zone: 1 };
    append_legacy_record(
        &mut bytes,
        &LegacyRecord::History { number: 1, attempts: 2, may_have_run: Some(start) },
    );
    append_legacy_record(&mut bytes, &LegacyRecord::AttemptStarted { number: 2, start });
    append_legacy_record(&mut bytes, &LegacyRecord::AttemptStarted { number: 3, start });
    append_legacy_record(&mut bytes, &LegacyRecord::AttemptEnded { number: 3, may_have_run: false });
    append_legacy_record(&mut bytes, &LegacyRecord::NoticeDue { number: 4, notice: Notice::GivenUp });
    append_legacy_record(&mut bytes, &LegacyRecord::Closed { number: 5 });
    append_legacy_record(&mut bytes, &LegacyRecord::Outage { destination: 3, ongoing: true });
    append_legacy_record(&mut bytes, &LegacyRecord::Outage { destination: 4, ongoing: true });
    append_legacy_record(&mut bytes, &LegacyRecord::Outage { destination: 4, ongoing: false });
    bytes.extend_from_slice(&[200, 0, 0, 0, 1, 2]);
    bytes
}

fn assert_migrated(journal: &Journal<MemoryFiles>) {
    let start = Some(AttemptStart { at: 20, zone: 1 });
    let states: Vec<_> = journal
        .iter()
        .map(|(number, journaled)| {
            (number, journaled.attempts, journaled.may_have_run, journaled.in_flight, journaled.notice)
        })
        .collect();
    let expected = [
        (1, 2, start, None, None),
        (2, 1, start, None, None),
        (3, 1, None, None, None),
        (4, 0, None, None, Some(Notice::GivenUp)),
    ];
    assert_eq!(states, expected);
    assert_eq!(journal.outages().collect::<Vec<_>>(), [3]);
    let second = &journal.get(2).unwrap().message;
    assert_eq!((second.id.as_str(), second.key.as_deref(), second.body.len()), ("m2", Some("key"), 300));
}

#[test]
fn a_legacy_journal_is_migrated_once() {
    let files = MemoryFiles::new(1);
    files.put_file("journal", legacy_journal());
    files.put_file("journal.next", b"an incomplete replacement".to_vec());
    let (mut journal, recovery) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    assert_eq!((recovery.migrated_messages, recovery.torn_bytes, recovery.damage.len()), (Some(4), 6, 0));
    assert_migrated(&journal);
    assert!(files.file_names().iter().all(|name| name.ends_with(".journal")), "{:?}", files.file_names());
    // New messages are numbered after the migrated ones.
    let mut message = journal.get(2).unwrap().message.clone();
    message.id = "new".into();
    assert_eq!(journal.accept(&message).unwrap(), Some(5));
    let (again, recovery) = Journal::recover(files.after_process_crash(), options(Durability::None)).unwrap();
    assert_eq!(recovery.migrated_messages, None);
    assert_eq!(again.iter().count(), 5);
}

#[test]
fn a_migration_that_crashes_anywhere_is_repeated() {
    let files = MemoryFiles::new(2);
    files.put_file("journal", legacy_journal());
    let (_, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    let calls = files.calls();
    assert!(calls > 8, "only {calls} calls");
    for call in 1..=calls {
        let files = MemoryFiles::new(call);
        files.put_file("journal", legacy_journal());
        files.inject_fault(call, Fault::Crash);
        assert!(Journal::recover(files.clone(), options(Durability::None)).is_err(), "crash at call {call}");
        let next = files.after_process_crash();
        let (journal, recovery) = Journal::recover(next, options(Durability::None)).unwrap();
        assert!(recovery.damage.is_empty(), "crash at call {call}: {:?}", recovery.damage);
        assert_migrated(&journal);
    }
}

/// An older program has run in the directory since the migration, so neither journal is a copy of the other.
#[test]
fn a_legacy_journal_beside_a_current_one_is_rejected_and_left_unchanged() {
    let files = MemoryFiles::new(3);
    let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    let mut rng = fastrand::Rng::with_seed(3);
    while !matches!(execute(&mut journal, &random_operation(&mut rng, &Model::default(), 0)), (Some(_), true))
    {
    }
    drop(journal);
    files.put_file("journal", legacy_journal());
    let all_bytes = |files: &MemoryFiles| {
        files.file_names().iter().map(|name| files.file_bytes(name)).collect::<Vec<_>>()
    };
    let before = all_bytes(&files);
    assert!(matches!(Journal::recover(files.clone(), options(Durability::None)), Err(OpenError::TwoFormats)));
    assert!(all_bytes(&files) == before);
}

/// A segment of version 1: its first record has no quota levels, and its messages have no tenants.
fn version_1_segment() -> Vec<u8> {
    let mut bytes = Header { identity: 7, segment: 1, created_at: 5 }.to_bytes().to_vec();
    bytes[8..10].copy_from_slice(&1u16.to_le_bytes());
    let sum = crc32fast::hash(&bytes[..44]);
    bytes[44..].copy_from_slice(&sum.to_le_bytes());
    let accepted_record = |number, id| Record::AcceptedV1 {
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
        Record::SegmentOpenedV1 { sealed: vec![], outages: vec![4], next_number: 1 },
        accepted_record(1, "m1"),
        accepted_record(2, "m2"),
        Record::Closed { number: 1, base_segment: 1 },
        Record::AttemptStarted { number: 2, start: AttemptStart { at: 20, zone: 1 } },
    ];
    records.iter().for_each(|record| _ = append_record(&mut bytes, 1, record).unwrap());
    bytes
}

#[test]
fn a_version_1_journal_is_continued_in_the_current_version() {
    let files = MemoryFiles::new(4);
    files.put_file("0000000000000001.journal", version_1_segment());
    let (mut journal, recovery) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    assert_eq!((recovery.damage.len(), recovery.torn_bytes), (0, 0));
    let tenants: Vec<_> =
        journal.iter().map(|(number, journaled)| (number, journaled.message.tenant.clone())).collect();
    assert_eq!(tenants, [(2, None)]);
    assert_eq!(journal.get(2).unwrap().may_have_run, Some(AttemptStart { at: 20, zone: 1 }));
    assert_eq!(journal.outages().collect::<Vec<_>>(), [4]);
    let mut message = journal.get(2).unwrap().message.clone();
    (message.id, message.accepted_at) = ("m3".into(), 30);
    message.tenant = Some(("kilima".into(), QuotaStatus { exceeded: true, remaining_thousandths: 250 }));
    assert_eq!(journal.accept(&message).unwrap(), Some(3));
    // Segments of both versions coexist, and the next process reads them.
    let (next, recovery) = Journal::recover(files.after_process_crash(), options(Durability::None)).unwrap();
    assert!(recovery.damage.is_empty(), "{:?}", recovery.damage);
    assert_eq!(next.iter().count(), 2);
    assert_eq!(next.get(3).unwrap().message, message);
    let quota_levels: Vec<_> =
        next.quota_levels().map(|level| (level.tenant, level.remaining_thousandths, level.at)).collect();
    assert_eq!(quota_levels, [("kilima".to_string(), 250, 30)]);
}

/// A tenant's quota level outlives the message that reported it. A later copy of an older message does not change it.
#[test]
fn quota_levels_outlive_their_messages() {
    let files = MemoryFiles::new(5);
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
    for run in 0..3 {
        // Fill and compact segments, so that the records of both messages are copied or removed.
        message.tenant = None;
        for i in 0..60 {
            message.id = format!("{run}-{i}");
            let number = journal.accept(&message).unwrap().unwrap();
            journal.close(number).unwrap();
            journal.compact_step().unwrap();
        }
        let quota_levels: Vec<_> =
            journal.quota_levels().map(|level| (level.remaining_thousandths, level.at)).collect();
        assert_eq!(quota_levels, [(400, 20)], "run {run}");
        journal = Journal::recover(files.after_process_crash(), options(Durability::None)).unwrap().0;
    }
    assert!(
        journal.counters().segments_removed > 0
            || !files.file_names().contains(&"0000000000000001.journal".to_string())
    );
}

#[test]
fn the_number_of_quota_levels_is_bounded() {
    let files = MemoryFiles::new(6);
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
            tenant: Some((format!("tenant {i}"), QuotaStatus { exceeded: false, remaining_thousandths: 1 })),
            body: Bytes::new(),
        };
        let number = journal.accept(&message).unwrap().unwrap();
        journal.close(number).unwrap();
    }
    let quota_levels: Vec<_> = journal.quota_levels().collect();
    assert_eq!(quota_levels.len(), 1024);
    assert!(quota_levels.iter().all(|level| level.at >= 3000 - 1024), "the latest levels are kept");
}
