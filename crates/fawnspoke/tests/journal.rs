//! Tests of `fawnspoke journal` on state directories written by the journal package.

use fawnspoke_journal::compaction::Limits;
use fawnspoke_journal::{AcceptedMessage, AttemptStart, Durability, Journal, Notice, Options, QuotaStatus};
use serde_json::Value;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A temporary directory that is removed when the test ends.
struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        TempDir(path)
    }

    fn state_dir(&self) -> PathBuf {
        self.0.join("state")
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn open(state_dir: &Path) -> Journal {
    let limits = Limits { segment_bytes: 4_000, ..Limits::for_budget(3_000_000) };
    let options = Options {
        limits,
        durability: Durability::None,
        now: 1_700_000_000_000_000,
        identity: 0xfeed,
        remembered_outcomes: 0,
    };
    Journal::open(state_dir, options).unwrap().0
}

/// Writes 60 pending messages to three destinations, in several segments: a third of them have a call in flight, a third a
/// pending notice.
fn write_journal(state_dir: &Path) {
    fs::create_dir_all(state_dir).unwrap();
    let mut journal = open(state_dir);
    for i in 0..80u64 {
        let message = AcceptedMessage {
            id: format!("id-{i}"),
            class: "charge-post".into(),
            destination: 1 + i as u32 % 3,
            accepted_at: 1_700_000_000_000_000 + i,
            deadline: 1_700_000_020_000_000 + i,
            key: Some(format!("key-{i}")),
            tenant: (i % 2 == 0).then(|| {
                ("kilima".into(), QuotaStatus { exceeded: i % 4 == 2, remaining_thousandths: 1500 })
            }),
            body: format!("secret-{i}").repeat(20).into_bytes().into(),
        };
        let number = journal.accept(&message).unwrap().unwrap();
        if i % 4 == 3 {
            journal.close(number).unwrap();
        } else if i % 3 == 1 {
            journal.attempt_started(number, AttemptStart { at: 1_700_000_001_000_000, zone: 2 }).unwrap();
        } else if i % 3 == 2 {
            journal.notice_due(number, Notice::HandedBack { retry_in_ms: 250 }).unwrap();
        }
    }
    journal.set_outage(2, true).unwrap();
}

/// Runs `fawnspoke journal` on a directory; returns the exit code, standard output and standard error.
fn run(arguments: &[&str], directory: &Path) -> (Option<i32>, String, String) {
    let Output { status, stdout, stderr } = Command::new(env!("CARGO_BIN_EXE_fawnspoke"))
        .arg("journal")
        .args(arguments)
        .arg(directory)
        .output()
        .unwrap();
    (status.code(), String::from_utf8(stdout).unwrap(), String::from_utf8(stderr).unwrap())
}

/// The path and contents of each file of the journal.
fn read_files(state_dir: &Path) -> Vec<(PathBuf, Vec<u8>)> {
    let mut files: Vec<_> = fs::read_dir(state_dir)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .map(|path| (path.clone(), fs::read(path).unwrap()))
        .collect();
    files.sort();
    files
}

/// Flips a bit in the middle of the first segment.
fn damage_first_segment(state_dir: &Path) {
    let (path, mut bytes) = read_files(state_dir).remove(0);
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(path, bytes).unwrap();
}

#[test]
fn show_summarises_pending_messages_and_is_read_only() {
    let directory = TempDir::new("show");
    write_journal(&directory.state_dir());
    let before = read_files(&directory.state_dir());
    assert!(before.len() > 3, "the journal has several segments");
    let (code, text, _) = run(&["show"], &directory.state_dir());
    assert_eq!(code, Some(0));
    assert!(text.starts_with("journal 0000000000000000000000000000feed: "), "{text}");
    assert!(text.contains("owed: 40 messages and 20 notices at 3 destinations; 20 may have run"), "{text}");
    assert!(text.contains("out or cold: 2"), "{text}");
    assert!(text.contains("2023-11-14T22:13:20.000000Z"), "{text}");
    for (path, _) in &before {
        let name = path.file_stem().unwrap().to_str().unwrap();
        assert!(text.contains(name), "{name} in {text}");
    }
    assert!(!text.contains("secret"), "bodies are not shown");
    assert_eq!(read_files(&directory.state_dir()), before);
}

#[test]
fn verify_detects_a_flipped_bit_and_accepts_a_torn_tail() {
    let directory = TempDir::new("verify");
    write_journal(&directory.state_dir());
    let (code, text, _) = run(&["verify"], &directory.state_dir());
    assert_eq!((code, text.contains("60 messages: sound")), (Some(0), true), "{text}");
    let (last, bytes) = read_files(&directory.state_dir()).pop().unwrap();
    fs::write(&last, &bytes[..bytes.len() - 3]).unwrap();
    let (code, text, _) = run(&["verify"], &directory.state_dir());
    assert_eq!((code, text.contains("torn: ")), (Some(0), true), "{text}");
    damage_first_segment(&directory.state_dir());
    let (code, text, _) = run(&["verify"], &directory.state_dir());
    assert_eq!(code, Some(1));
    assert!(text.contains("damaged: segment 1: ") && text.contains("are no record"), "{text}");
}

#[test]
fn dump_contains_bodies_only_on_request() {
    let directory = TempDir::new("dump");
    write_journal(&directory.state_dir());
    let (code, text, _) = run(&["dump"], &directory.state_dir());
    assert_eq!(code, Some(0));
    let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 60);
    assert!(lines.iter().all(|line| line.get("body_base64").is_none() && line["key"].is_string()));
    let in_flight = lines.iter().find(|line| line["id"] == "id-1").unwrap();
    assert_eq!((&in_flight["out"]["zone"], &in_flight["attempts"]), (&2.into(), &1.into()), "{in_flight}");
    let with_notice = lines.iter().find(|line| line["id"] == "id-2").unwrap();
    assert_eq!(with_notice["notice"]["retry_in_ms"], 250, "{with_notice}");
    let (_, text, _) = run(&["dump", "--bodies"], &directory.state_dir());
    let first: Value = serde_json::from_str(text.lines().next().unwrap()).unwrap();
    assert!(first["body_base64"].as_str().unwrap().starts_with("c2VjcmV0LT"), "{first}");
    let (_, text, _) = run(&["dump", "--records"], &directory.state_dir());
    let count_records =
        |kind: &str| text.lines().filter(|line| line.contains(&format!("\"record\":\"{kind}\""))).count();
    assert_eq!((count_records("over"), count_records("outage")), (20, 1));
    assert!(count_records("taken") >= 80 && count_records("opening") > 3, "{text}");
}

#[test]
fn repair_writes_an_intact_journal_and_leaves_the_old_one_unchanged() {
    let directory = TempDir::new("repair");
    write_journal(&directory.state_dir());
    let original_dump = run(&["dump", "--bodies"], &directory.state_dir()).1;
    let repaired = directory.0.join("new");
    let path = directory.state_dir();
    let (code, text, _) = run(&["repair", path.to_str().unwrap()], &repaired);
    assert_eq!(code, Some(0), "{text}");
    // The only difference to the journal of the stopped dispatcher: a call without a recorded end may have run.
    let expected: Vec<Value> = original_dump
        .lines()
        .map(|line| {
            let mut line: Value = serde_json::from_str(line).unwrap();
            if !line["out"].is_null() {
                line["may_have_run"] = line["out"].take();
            }
            line
        })
        .collect();
    let (_, text, _) = run(&["dump", "--bodies"], &repaired);
    let found: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(found, expected);

    damage_first_segment(&directory.state_dir());
    let before = read_files(&directory.state_dir());
    let repaired_again = directory.0.join("again");
    let (code, text, _) = run(&["repair", path.to_str().unwrap()], &repaired_again);
    assert_eq!(code, Some(1), "data was lost: {text}");
    assert_eq!(read_files(&directory.state_dir()), before);
    assert_eq!(run(&["verify"], &repaired_again).0, Some(0));
    // A dispatcher can open the repaired journal; messages whose records follow the damage may have run.
    let journal = open(&repaired_again);
    assert!(journal.iter().count() >= 55);
    assert!(journal.iter().any(|(_, journaled)| {
        journaled.may_have_run.is_some_and(|start| start.at == journaled.message.accepted_at)
    }));
    assert_eq!(journal.outages().collect::<Vec<_>>(), [2]);
    let (code, _, error) = run(&["repair", path.to_str().unwrap()], &repaired_again);
    assert_eq!((code, error.contains("not empty")), (Some(2), true), "{error}");
}

#[test]
fn a_directory_without_a_journal_is_a_one_line_error() {
    let directory = TempDir::new("nothing");
    for command in ["show", "verify", "dump"] {
        let (code, output, error) = run(&[command], &directory.0);
        assert_eq!((code, output.as_str(), error.lines().count()), (Some(2), "", 1), "{error}");
        assert!(error.contains("no journal there"), "{error}");
        let (code, _, error) = run(&[command], &directory.0.join("missing"));
        assert_eq!((code, error.lines().count()), (Some(2), 1), "{error}");
    }
    write_journal(&directory.state_dir());
    let (newest_segment, mut bytes) = read_files(&directory.state_dir()).pop().unwrap();
    bytes[8] = 9;
    fs::write(&newest_segment, bytes).unwrap();
    let (code, _, error) = run(&["verify"], &directory.state_dir());
    assert_eq!((code, error.contains("format 9")), (Some(2), true), "{error}");
}
