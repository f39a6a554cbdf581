//! Bytes that no crash leaves behind: told, worked around, and never a panic.

mod common;

use common::model::*;
use common::*;
use fawnspoke_journal::format::{self, HEADER, Header, Record};
use fawnspoke_journal::{Damage, Durability, Journal, OpenError, UNKNOWN_ZONE};
use proptest::prelude::*;

/// A journal of several segments, its files and what is owed.
fn worked(seed: u64) -> (Memory, Model) {
    let files = Memory::new(seed);
    let (mut journal, _) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    let (mut model, mut rng) = (Model::default(), fastrand::Rng::with_seed(seed));
    for count in 0..120 {
        let op = draw(&mut rng, &model, count);
        let (taken, _) = act(&mut journal, &op);
        model.apply(&op, taken);
    }
    (files.revived(), model)
}

fn sealed(files: &Memory) -> Vec<String> {
    let names = files.names();
    assert!(names.len() >= 3, "{names:?}: too few segments, this shows nothing");
    names[..names.len() - 1].to_vec()
}

/// Where a segment's records begin.
fn records(files: &Memory, name: &str) -> Vec<(usize, usize)> {
    let bytes = files.bytes(name);
    let segment = Header::read(&bytes).unwrap().segment;
    let (mut at, mut all) = (HEADER, Vec::new());
    while let Some((_, length)) = format::unframe(segment, &bytes[at..]) {
        all.push((at, length));
        at += length;
    }
    all
}

#[test]
fn a_bad_record_is_told_and_all_around_it_is_kept() {
    for seed in 1..=6 {
        let (files, model) = worked(seed);
        for name in sealed(&files) {
            let all = records(&files, &name);
            let (at, length) = all[all.len() / 2];
            let mut bytes = files.bytes(&name);
            let segment = Header::read(&bytes).unwrap().segment;
            bytes[at + length - 1] ^= 0x40;
            let hurt = files.revived();
            hurt.put(&name, bytes.clone());
            let (journal, recovery) = Journal::recover(hurt, options(Durability::None)).unwrap();
            let bad = Damage::Bad { segment, offset: at as u64, length: length as u64 };
            assert_eq!(recovery.damage, [bad], "seed {seed}, {name}");
            // At most the message of the bad record is another one than before; what may have run is doubted.
            let found = Model::of(&journal);
            let lost = model.messages.keys().filter(|number| !found.messages.contains_key(number)).count();
            let more = found.messages.keys().filter(|number| !model.messages.contains_key(number)).count();
            assert!(lost + more <= 1, "seed {seed}, {name}: {lost} lost, {more} too many");
        }
    }
}

#[test]
fn what_a_lost_record_may_have_told_is_doubted() {
    let (files, model) = worked(3);
    // The last one that is sealed: messages that are not over have their first records there or before.
    let name = &sealed(&files)[sealed(&files).len() - 1];
    let all = records(&files, name);
    let mut bytes = files.bytes(name);
    let (at, length) = all[all.len() - 1];
    bytes[at + length - 1] ^= 1;
    let segment = Header::read(&bytes).unwrap().segment;
    // Sound bytes after it, or it would be taken for torn: a sealed one has none torn.
    files.put(name, bytes);
    let (journal, recovery) = Journal::recover(files, options(Durability::None)).unwrap();
    assert!(matches!(recovery.damage[..], [Damage::Bad { segment: s, .. }] if s == segment));
    let older = journal.iter().filter(|(number, _)| model.messages.contains_key(number));
    let (mut doubted, mut all) = (0, 0);
    for (_, kept) in older {
        all += 1;
        // Sent since it was taken, to a zone that nobody knows; unless an earlier call is on record.
        let doubt = kept.may_have_run.filter(|start| start.at == kept.message.accepted_at);
        doubted += usize::from(doubt.is_some_and(|start| start.zone == UNKNOWN_ZONE));
    }
    assert!(all > 0 && doubted > 0, "{doubted} of {all}");
}

#[test]
fn a_segment_that_is_missing_or_doubled_is_told() {
    let (files, _) = worked(4);
    let names = sealed(&files);
    let (gone, other) = (&names[0], &names[1]);
    let number = |name: &str| u64::from_str_radix(&name[..16], 16).unwrap();
    let hurt = files.revived();
    hurt.drop_file(gone);
    let (_, recovery) = Journal::recover(hurt, options(Durability::None)).unwrap();
    assert_eq!(recovery.damage, [Damage::Missing { segment: number(gone) }]);
    // A copy under another's name: it is not read twice, and what it replaced is missing.
    let hurt = files.revived();
    hurt.put(gone, files.bytes(other));
    let (_, recovery) = Journal::recover(hurt, options(Durability::None)).unwrap();
    assert!(recovery.damage.contains(&Damage::Missing { segment: number(gone) }), "{recovery:?}");
    assert!(recovery.damage.iter().any(|d| matches!(d, Damage::Foreign { file, .. } if file == gone)));
    // Cut to half: the part that is there is read.
    let hurt = files.revived();
    let bytes = files.bytes(other);
    hurt.put(other, bytes[..bytes.len() / 2].to_vec());
    let (_, recovery) = Journal::recover(hurt, options(Durability::None)).unwrap();
    let cut = |d: &Damage| matches!(d, Damage::Cut { segment, .. } if *segment == number(other));
    assert!(recovery.damage.iter().any(cut), "{recovery:?}");
}

#[test]
fn another_journals_segment_is_left_alone() {
    let (files, model) = worked(5);
    let (others, _) = worked(6);
    let theirs = sealed(&others).last().unwrap().clone();
    let mut bytes = others.bytes(&theirs);
    // The same numbers, another identity.
    let header = Header { identity: 99, ..Header::read(&bytes).unwrap() };
    bytes[..HEADER].copy_from_slice(&header.bytes());
    let name = "0000000000000000.journal";
    let header = Header { segment: 0, ..header };
    bytes[..HEADER].copy_from_slice(&header.bytes());
    files.put(name, bytes.clone());
    let (journal, recovery) = Journal::recover(files.clone(), options(Durability::None)).unwrap();
    assert!(
        recovery.damage.iter().all(|d| matches!(d, Damage::Foreign { file, .. } if file == name)),
        "{recovery:?}"
    );
    assert_eq!(Model::of(&journal), model.settled());
    assert!(!recovery.damage.is_empty() && files.bytes(name) == bytes, "told, and untouched");
}

#[test]
fn a_newer_version_is_refused_and_untouched() {
    let (files, _) = worked(7);
    let name = files.names().last().unwrap().clone();
    let mut bytes = files.bytes(&name);
    bytes[8..10].copy_from_slice(&(format::VERSION + 1).to_le_bytes());
    files.put(&name, bytes);
    let before: Vec<_> = files.names().iter().map(|name| files.bytes(name)).collect();
    let Err(error) = Journal::recover(files.clone(), options(Durability::None)) else {
        panic!("it was opened")
    };
    assert!(matches!(&error, OpenError::Newer { version, .. } if *version == format::VERSION + 1));
    assert!(error.to_string().contains("newer program"), "{error}");
    let after: Vec<_> = files.names().iter().map(|name| files.bytes(name)).collect();
    assert!(before == after);
}

#[test]
fn records_of_another_segment_do_not_pass() {
    let mut bytes = Vec::new();
    format::frame(&mut bytes, 7, &Record::Over { number: 1, base: 2 }).unwrap();
    assert!(format::unframe(7, &bytes).is_some());
    assert!(format::unframe(8, &bytes).is_none());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Any bytes in any file.
    #[test]
    fn no_bytes_make_it_panic(
        seed in 1u64..40,
        hurts in proptest::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), any::<u8>(), 0u8..6), 1..6),
        noise in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let (files, _) = worked(seed);
        for (file, at, byte, kind) in hurts {
            let names = files.names();
            let name = file.get(&names);
            let mut bytes = files.bytes(name);
            if bytes.is_empty() {
                continue;
            }
            let at = at.index(bytes.len());
            match kind {
                0 => bytes[at] = byte,
                1 => bytes.truncate(at),
                2 => bytes.extend_from_slice(&noise),
                3 => drop(bytes.splice(at..at, noise.iter().copied())),
                4 => bytes[at..].fill(byte),
                _ => bytes = noise.clone(),
            }
            files.put(name, bytes);
        }
        // Twice: what the first start left must be readable, too.
        for _ in 0..2 {
            if let Ok((mut journal, _)) = Journal::recover(files.clone(), options(Durability::None)) {
                let before = Model::of(&journal);
                for _ in 0..50 {
                    prop_assert!(journal.compact_step().is_ok());
                }
                prop_assert_eq!(&before, &Model::of(&journal));
                let (again, _) = Journal::recover(files.revived(), options(Durability::None)).unwrap();
                prop_assert_eq!(before.settled(), Model::of(&again));
            }
        }
    }

    #[test]
    fn no_bytes_are_read_beyond_their_end(bytes in proptest::collection::vec(any::<u8>(), 0..300), segment: u64) {
        let _ = Header::read(&bytes);
        let _ = format::unframe(segment, &bytes);
        let _ = format::next_sound(segment, &bytes, 0);
        let _ = format::cut_short(&bytes);
    }
}
