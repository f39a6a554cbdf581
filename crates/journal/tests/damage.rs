//! Damage that no crash can cause: it is reported, all undamaged records are recovered, and nothing panics.

mod common;

use common::model::*;
use common::*;
use fawnspoke_journal::format::{self, HEADER_BYTES, Header, Record};
use fawnspoke_journal::{Damage, Durability, Journal, OpenError, UNKNOWN_ZONE};
use proptest::prelude::*;

/// A journal with several segments, and the model of its state.
fn journal_after_workload(seed: u64) -> (MemoryFiles, Model) {
    let files = MemoryFiles::new(seed);
    let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    let (mut model, mut rng) = (Model::default(), fastrand::Rng::with_seed(seed));
    for count in 0..120 {
        let operation = random_operation(&mut rng, &model, count);
        let (accepted, _) = execute(&mut journal, &operation);
        model.apply(&operation, accepted);
    }
    (files.after_process_crash(), model)
}

fn sealed_file_names(files: &MemoryFiles) -> Vec<String> {
    let file_names = files.file_names();
    assert!(file_names.len() >= 3, "{file_names:?}: too few segments, so the test proves nothing");
    file_names[..file_names.len() - 1].to_vec()
}

/// Offset and length of each record in a segment.
fn record_ranges(files: &MemoryFiles, name: &str) -> Vec<(usize, usize)> {
    let bytes = files.file_bytes(name);
    let segment = Header::parse(&bytes).unwrap().segment;
    let (mut offset, mut all) = (HEADER_BYTES, Vec::new());
    while let Some((_, length)) = format::decode_record(segment, &bytes[offset..]) {
        all.push((offset, length));
        offset += length;
    }
    all
}

#[test]
fn an_invalid_record_is_reported_and_the_others_are_kept() {
    for seed in 1..=6 {
        let (files, model) = journal_after_workload(seed);
        for name in sealed_file_names(&files) {
            let all = record_ranges(&files, &name);
            let (offset, length) = all[all.len() / 2];
            let mut bytes = files.file_bytes(&name);
            let segment = Header::parse(&bytes).unwrap().segment;
            bytes[offset + length - 1] ^= 0x40;
            let damaged = files.after_process_crash();
            damaged.put_file(&name, bytes.clone());
            let (journal, recovery) = Journal::recover(damaged, options(Durability::None)).unwrap();
            let bad = Damage::InvalidBytes { segment, offset: offset as u64, length: length as u64 };
            assert_eq!(recovery.damage, [bad], "seed {seed}, {name}");
            // At most the message of the damaged record is lost, or open again.
            let found = Model::from_journal(&journal);
            let lost = model.messages.keys().filter(|number| !found.messages.contains_key(number)).count();
            let extra = found.messages.keys().filter(|number| !model.messages.contains_key(number)).count();
            assert!(lost + extra <= 1, "seed {seed}, {name}: {lost} lost, {extra} unexpected");
        }
    }
}

#[test]
fn messages_before_a_lost_record_are_assumed_to_have_run() {
    let (files, model) = journal_after_workload(3);
    // The newest sealed segment: all open messages are based in it or in earlier ones.
    let name = &sealed_file_names(&files)[sealed_file_names(&files).len() - 1];
    let all = record_ranges(&files, name);
    let mut bytes = files.file_bytes(name);
    let (offset, length) = all[all.len() - 1];
    bytes[offset + length - 1] ^= 1;
    let segment = Header::parse(&bytes).unwrap().segment;
    // A sealed segment has no incomplete write at its end, so the invalid bytes there are damage.
    files.put_file(name, bytes);
    let (journal, recovery) = Journal::recover(files, options(Durability::None)).unwrap();
    assert!(matches!(recovery.damage[..], [Damage::InvalidBytes { segment: s, .. }] if s == segment));
    let older = journal.iter().filter(|(number, _)| model.messages.contains_key(number));
    let (mut assumed_run, mut all) = (0, 0);
    for (_, journaled) in older {
        all += 1;
        // Assumed to have been sent when it was accepted, to an unknown zone, unless an earlier attempt is recorded.
        let assumed = journaled.may_have_run.filter(|start| start.at == journaled.message.accepted_at);
        assumed_run += usize::from(assumed.is_some_and(|start| start.zone == UNKNOWN_ZONE));
    }
    assert!(all > 0 && assumed_run > 0, "{assumed_run} of {all}");
}

#[test]
fn a_missing_or_duplicated_segment_is_reported() {
    let (files, _) = journal_after_workload(4);
    let file_names = sealed_file_names(&files);
    let (removed, copied) = (&file_names[0], &file_names[1]);
    let number = |name: &str| u64::from_str_radix(&name[..16], 16).unwrap();
    let damaged = files.after_process_crash();
    damaged.delete_file(removed);
    let (_, recovery) = Journal::recover(damaged, options(Durability::None)).unwrap();
    assert_eq!(recovery.damage, [Damage::MissingSegment { segment: number(removed) }]);
    // A copy under another segment's name is not read, and the segment that it replaced is missing.
    let damaged = files.after_process_crash();
    damaged.put_file(removed, files.file_bytes(copied));
    let (_, recovery) = Journal::recover(damaged, options(Durability::None)).unwrap();
    assert!(recovery.damage.contains(&Damage::MissingSegment { segment: number(removed) }), "{recovery:?}");
    assert!(
        recovery
            .damage
            .iter()
            .any(|damage| matches!(damage, Damage::ForeignFile { file, .. } if file == removed))
    );
    // Of a truncated segment, the remaining part is read.
    let damaged = files.after_process_crash();
    let bytes = files.file_bytes(copied);
    damaged.put_file(copied, bytes[..bytes.len() / 2].to_vec());
    let (_, recovery) = Journal::recover(damaged, options(Durability::None)).unwrap();
    let is_truncated =
        |damage: &Damage| matches!(damage, Damage::Truncated { segment, .. } if *segment == number(copied));
    assert!(recovery.damage.iter().any(is_truncated), "{recovery:?}");
}

#[test]
fn a_segment_of_another_journal_is_left_unchanged() {
    let (files, model) = journal_after_workload(5);
    let (other_files, _) = journal_after_workload(6);
    let foreign_name = sealed_file_names(&other_files).last().unwrap().clone();
    let mut bytes = other_files.file_bytes(&foreign_name);
    // A different identity.
    let header = Header { identity: 99, ..Header::parse(&bytes).unwrap() };
    bytes[..HEADER_BYTES].copy_from_slice(&header.to_bytes());
    let name = "0000000000000000.journal";
    let header = Header { segment: 0, ..header };
    bytes[..HEADER_BYTES].copy_from_slice(&header.to_bytes());
    files.put_file(name, bytes.clone());
    let (journal, recovery) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    assert!(
        recovery
            .damage
            .iter()
            .all(|damage| matches!(damage, Damage::ForeignFile { file, .. } if file == name)),
        "{recovery:?}"
    );
    assert_eq!(Model::from_journal(&journal), model.after_restart());
    assert!(
        !recovery.damage.is_empty() && files.file_bytes(name) == bytes,
        "the file is reported and unchanged"
    );
}

#[test]
fn a_newer_version_is_rejected_and_left_unchanged() {
    let (files, _) = journal_after_workload(7);
    let name = files.file_names().last().unwrap().clone();
    let mut bytes = files.file_bytes(&name);
    bytes[8..10].copy_from_slice(&(format::VERSION + 1).to_le_bytes());
    files.put_file(&name, bytes);
    let before: Vec<_> = files.file_names().iter().map(|name| files.file_bytes(name)).collect();
    let Err(error) = Journal::recover(files.clone(), options(Durability::None)) else {
        panic!("the journal was opened")
    };
    assert!(matches!(&error, OpenError::Newer { version, .. } if *version == format::VERSION + 1));
    assert!(error.to_string().contains("newer program"), "{error}");
    let after: Vec<_> = files.file_names().iter().map(|name| files.file_bytes(name)).collect();
    assert!(before == after);
}

#[test]
fn records_of_another_segment_fail_verification() {
    let mut bytes = Vec::new();
    format::append_record(&mut bytes, 7, &Record::Closed { number: 1, base_segment: 2 }).unwrap();
    assert!(format::decode_record(7, &bytes).is_some());
    assert!(format::decode_record(8, &bytes).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Overwrites, truncates or extends random files with random bytes.
    #[test]
    fn damaged_files_never_cause_a_panic(
        seed in 1u64..40,
        damages in proptest::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), any::<u8>(), 0u8..6), 1..6),
        noise in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let (files, _) = journal_after_workload(seed);
        for (file, offset, byte, kind) in damages {
            let file_names = files.file_names();
            let name = file.get(&file_names);
            let mut bytes = files.file_bytes(name);
            if bytes.is_empty() {
                continue;
            }
            let offset = offset.index(bytes.len());
            match kind {
                0 => bytes[offset] = byte,
                1 => bytes.truncate(offset),
                2 => bytes.extend_from_slice(&noise),
                3 => drop(bytes.splice(offset..offset, noise.iter().copied())),
                4 => bytes[offset..].fill(byte),
                _ => bytes = noise.clone(),
            }
            files.put_file(name, bytes);
        }
        // Twice: the state that the first start leaves behind must be readable as well.
        for _ in 0..2 {
            if let Ok((mut journal, _)) = Journal::recover(files.clone(), options(Durability::None)) {
                let before = Model::from_journal(&journal);
                for _ in 0..50 {
                    prop_assert!(journal.compact_step().is_ok());
                }
                prop_assert_eq!(&before, &Model::from_journal(&journal));
                let (again, _) = Journal::recover(files.after_process_crash(), options(Durability::None)).unwrap();
                prop_assert_eq!(before.after_restart(), Model::from_journal(&again));
            }
        }
    }

    #[test]
    fn decoding_never_reads_past_the_end(bytes in proptest::collection::vec(any::<u8>(), 0..300), segment: u64) {
        let _ = Header::parse(&bytes);
        let _ = format::decode_record(segment, &bytes);
        let _ = format::find_next_record(segment, &bytes, 0);
        let _ = format::is_truncated(&bytes);
    }
}
