//! `fawnspoke journal`, on folders that the journal's own package wrote.

use fawnspoke_journal::compaction::Limits;
use fawnspoke_journal::{AcceptedMessage, AttemptStart, Durability, Journal, Notice, Options, QuotaStatus};
use serde_json::Value;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A folder of a test, removed with it.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder =
            PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }

    fn state(&self) -> PathBuf {
        self.0.join("state")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn open(state: &Path) -> Journal {
    let limits = Limits { segment_bytes: 4_000, ..Limits::for_budget(3_000_000) };
    let options = Options {
        limits,
        durability: Durability::None,
        now: 1_700_000_000_000_000,
        identity: 0xfeed,
        remembered_outcomes: 0,
    };
    Journal::open(state, options).unwrap().0
}

/// Sixty messages to three destinations in several segments: of each three one has a call out, one is owed a notice.
fn written(state: &Path) {
    fs::create_dir_all(state).unwrap();
    let mut journal = open(state);
    for i in 0..80u64 {
        let handed = AcceptedMessage {
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
        let number = journal.accept(&handed).unwrap().unwrap();
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

fn run(arguments: &[&str], folder: &Path) -> (Option<i32>, String, String) {
    let Output { status, stdout, stderr } = Command::new(env!("CARGO_BIN_EXE_fawnspoke"))
        .arg("journal")
        .args(arguments)
        .arg(folder)
        .output()
        .unwrap();
    (status.code(), String::from_utf8(stdout).unwrap(), String::from_utf8(stderr).unwrap())
}

fn bytes(state: &Path) -> Vec<(PathBuf, Vec<u8>)> {
    let mut files: Vec<_> = fs::read_dir(state)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .map(|path| (path.clone(), fs::read(path).unwrap()))
        .collect();
    files.sort();
    files
}

/// Flips a bit in the middle of the first segment.
fn hurt(state: &Path) {
    let (path, mut bytes) = bytes(state).remove(0);
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    fs::write(path, bytes).unwrap();
}

#[test]
fn show_tells_what_is_owed_and_changes_nothing() {
    let folder = Folder::new("show");
    written(&folder.state());
    let before = bytes(&folder.state());
    assert!(before.len() > 3, "several segments");
    let (code, text, _) = run(&["show"], &folder.state());
    assert_eq!(code, Some(0));
    assert!(text.starts_with("journal 0000000000000000000000000000feed: "), "{text}");
    assert!(text.contains("owed: 40 messages and 20 notices at 3 destinations; 20 may have run"), "{text}");
    assert!(text.contains("out or cold: 2"), "{text}");
    assert!(text.contains("2023-11-14T22:13:20.000000Z"), "{text}");
    for (path, _) in &before {
        let name = path.file_stem().unwrap().to_str().unwrap();
        assert!(text.contains(name), "{name} in {text}");
    }
    assert!(!text.contains("secret"), "no body");
    assert_eq!(bytes(&folder.state()), before);
}

#[test]
fn verify_finds_a_flipped_bit_and_passes_a_torn_tail() {
    let folder = Folder::new("verify");
    written(&folder.state());
    let (code, text, _) = run(&["verify"], &folder.state());
    assert_eq!((code, text.contains("60 messages: sound")), (Some(0), true), "{text}");
    let (last, bytes) = bytes(&folder.state()).pop().unwrap();
    fs::write(&last, &bytes[..bytes.len() - 3]).unwrap();
    let (code, text, _) = run(&["verify"], &folder.state());
    assert_eq!((code, text.contains("torn: ")), (Some(0), true), "{text}");
    hurt(&folder.state());
    let (code, text, _) = run(&["verify"], &folder.state());
    assert_eq!(code, Some(1));
    assert!(text.contains("damaged: segment 1: ") && text.contains("are no record"), "{text}");
}

#[test]
fn dump_holds_bodies_only_where_they_are_asked_for() {
    let folder = Folder::new("dump");
    written(&folder.state());
    let (code, text, _) = run(&["dump"], &folder.state());
    assert_eq!(code, Some(0));
    let lines: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 60);
    assert!(lines.iter().all(|line| line.get("body_base64").is_none() && line["key"].is_string()));
    let out = lines.iter().find(|line| line["id"] == "id-1").unwrap();
    assert_eq!((&out["out"]["zone"], &out["attempts"]), (&2.into(), &1.into()), "{out}");
    let owed = lines.iter().find(|line| line["id"] == "id-2").unwrap();
    assert_eq!(owed["notice"]["retry_in_ms"], 250, "{owed}");
    let (_, text, _) = run(&["dump", "--bodies"], &folder.state());
    let first: Value = serde_json::from_str(text.lines().next().unwrap()).unwrap();
    assert!(first["body_base64"].as_str().unwrap().starts_with("c2VjcmV0LT"), "{first}");
    let (_, text, _) = run(&["dump", "--records"], &folder.state());
    let kinds =
        |kind: &str| text.lines().filter(|line| line.contains(&format!("\"record\":\"{kind}\""))).count();
    assert_eq!((kinds("over"), kinds("outage")), (20, 1));
    assert!(kinds("taken") >= 80 && kinds("opening") > 3, "{text}");
}

#[test]
fn repair_writes_a_sound_journal_and_never_touches_the_old_one() {
    let folder = Folder::new("repair");
    written(&folder.state());
    let whole = run(&["dump", "--bodies"], &folder.state()).1;
    let to = folder.0.join("new");
    let path = folder.state();
    let (code, text, _) = run(&["repair", path.to_str().unwrap()], &to);
    assert_eq!(code, Some(0), "{text}");
    // A call without an end may have run: that is all that differs from the journal of a dispatcher that is stopped.
    let expected: Vec<Value> = whole
        .lines()
        .map(|line| {
            let mut line: Value = serde_json::from_str(line).unwrap();
            if !line["out"].is_null() {
                line["may_have_run"] = line["out"].take();
            }
            line
        })
        .collect();
    let (_, text, _) = run(&["dump", "--bodies"], &to);
    let found: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(found, expected);

    hurt(&folder.state());
    let before = bytes(&folder.state());
    let again = folder.0.join("again");
    let (code, text, _) = run(&["repair", path.to_str().unwrap()], &again);
    assert_eq!(code, Some(1), "something is lost: {text}");
    assert_eq!(bytes(&folder.state()), before);
    assert_eq!(run(&["verify"], &again).0, Some(0));
    // A dispatcher takes it up: what stands behind the damage may have run.
    let journal = open(&again);
    assert!(journal.iter().count() >= 55);
    assert!(
        journal
            .iter()
            .any(|(_, kept)| kept.may_have_run.is_some_and(|start| start.at == kept.message.accepted_at))
    );
    assert_eq!(journal.outages().collect::<Vec<_>>(), [2]);
    let (code, _, error) = run(&["repair", path.to_str().unwrap()], &again);
    assert_eq!((code, error.contains("not empty")), (Some(2), true), "{error}");
}

#[test]
fn what_is_no_journal_is_named_in_one_line() {
    let folder = Folder::new("nothing");
    for command in ["show", "verify", "dump"] {
        let (code, out, error) = run(&[command], &folder.0);
        assert_eq!((code, out.as_str(), error.lines().count()), (Some(2), "", 1), "{error}");
        assert!(error.contains("no journal there"), "{error}");
        let (code, _, error) = run(&[command], &folder.0.join("missing"));
        assert_eq!((code, error.lines().count()), (Some(2), 1), "{error}");
    }
    written(&folder.state());
    let (newest, mut bytes) = bytes(&folder.state()).pop().unwrap();
    bytes[8] = 9;
    fs::write(&newest, bytes).unwrap();
    let (code, _, error) = run(&["verify"], &folder.state());
    assert_eq!((code, error.contains("format 9")), (Some(2), true), "{error}");
}
