//! What operators ask of a journal without starting a dispatcher: `fawnspoke journal show|verify|dump|repair`.
//!
//! All but [`repair`] only read, also beside a dispatcher that is running; `repair` writes to a new folder alone.

use crate::compaction::{Limits, blocks};
use crate::files::{Disk, Files};
use crate::format::{AttemptStart, Notice, Record, UnixMicros};
use crate::index::JournaledMessage;
use crate::journal::{Durability, Journal, OpenError, Options};
use crate::scan::{ScanResult, scan, scan_records};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, Write};
use std::path::Path;
use std::time::{Duration, UNIX_EPOCH};

/// Begins each line about something that no crash leaves behind.
pub const DAMAGE_PREFIX: &str = "damaged: ";
/// A segment may go while it is read: a dispatcher that runs wins room back. Then the folder is read again, so often.
const TRIES: u32 = 5;

/// Why an operators' command failed.
#[derive(Debug, thiserror::Error)]
pub enum InspectError {
    /// The journal can't be read.
    #[error("{folder}: {error}")]
    Open {
        /// The folder.
        folder: String,
        /// What is wrong.
        error: OpenError,
    },
    /// There is no journal.
    #[error("{0}: no journal there")]
    Nothing(String),
    /// It is of the format before: the dispatcher carries it over when it starts.
    #[error("{0}: a journal of the format before; the dispatcher carries it over at its next start")]
    Old(String),
    /// The folder to write to is not empty.
    #[error("{0}: not empty; a repaired journal is written to a new folder")]
    Occupied(String),
    /// What was asked for can't be written.
    #[error(transparent)]
    Write(#[from] io::Error),
}

/// A time of a record as people read it (RFC 3339, microseconds, UTC).
fn when(at: UnixMicros) -> String {
    // Times beyond the year 9999 are no times; they are told as they stand.
    const MOST: UnixMicros = 253_402_300_799_000_000;
    if at > MOST {
        return at.to_string();
    }
    humantime::format_rfc3339_micros(UNIX_EPOCH + Duration::from_micros(at)).to_string()
}

fn is_gone(error: &OpenError) -> bool {
    matches!(error, OpenError::Io(error) if error.kind() == io::ErrorKind::NotFound)
}

/// Reads a folder that a dispatcher may be writing to.
fn read(folder: &Path, seen: &mut dyn FnMut(u64, u64, &Record)) -> Result<ScanResult, InspectError> {
    let files = Disk::new(folder);
    let told = || folder.display().to_string();
    let failed = |error| InspectError::Open { folder: told(), error };
    // The folder itself must be there: that error is final.
    files.list().map_err(|error| failed(error.into()))?;
    let mut tries = 1;
    let scan = loop {
        match scan_records(&files, 0, seen) {
            Err(error) if is_gone(&error) && tries < TRIES => tries += 1,
            other => break other.map_err(failed)?,
        }
    };
    if scan.old.is_some() {
        return Err(InspectError::Old(told()));
    }
    if scan.identity.is_none() && scan.recovery.damage.is_empty() {
        return Err(InspectError::Nothing(told()));
    }
    Ok(scan)
}

/// What is owed to one destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Owed {
    messages: u64,
    may_have_run: u64,
    notices: u64,
    bytes: u64,
    oldest: UnixMicros,
    first_deadline: UnixMicros,
}

fn by_destination(scan: &ScanResult) -> BTreeMap<u32, Owed> {
    let mut all: BTreeMap<u32, Owed> = BTreeMap::new();
    for (_, journaled) in scan.index.iter() {
        let at = all.entry(journaled.message.destination).or_insert(Owed {
            oldest: UnixMicros::MAX,
            first_deadline: UnixMicros::MAX,
            ..Owed::default()
        });
        at.messages += u64::from(journaled.notice.is_none());
        at.notices += u64::from(journaled.notice.is_some());
        at.may_have_run += u64::from(journaled.may_have_run.or(journaled.in_flight).is_some());
        at.bytes += journaled.size();
        at.oldest = at.oldest.min(journaled.message.accepted_at);
        at.first_deadline = at.first_deadline.min(journaled.message.deadline);
    }
    all
}

/// Lines about damage, the torn tail and files that are not the journal's.
fn problems(scan: &ScanResult) -> Vec<String> {
    let mut lines: Vec<String> =
        scan.recovery.damage.iter().map(|damage| format!("{DAMAGE_PREFIX}{damage}")).collect();
    if scan.recovery.torn_bytes > 0 {
        lines.push(format!(
            "torn: {} bytes of a last write that was cut short: it never happened",
            scan.recovery.torn_bytes
        ));
    }
    lines
}

/// What is owed, to whom, since when, and what the segments hold. `now`: ages count from it.
///
/// # Errors
/// Where the folder holds no journal that can be read.
pub fn show(folder: &Path, now: UnixMicros) -> Result<String, InspectError> {
    let scan = read(folder, &mut |_, _, _| ())?;
    let mut text = String::new();
    let owed = by_destination(&scan);
    let sum = |of: fn(&Owed) -> u64| owed.values().map(of).sum::<u64>();
    let bytes: u64 = scan.segments.values().map(|segment| blocks(segment.bytes_on_disk)).sum();
    let live: u64 = scan.segments.keys().map(|segment| scan.index.weight(*segment)).sum();
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "journal {:032x}: {} segments, {bytes} bytes, {live} live",
        scan.identity.unwrap_or_default(),
        scan.segments.len()
    );
    let _ = writeln!(
        text,
        "owed: {} messages and {} notices at {} destinations; {} may have run",
        sum(|owed| owed.messages),
        sum(|owed| owed.notices),
        owed.len(),
        sum(|owed| owed.may_have_run)
    );
    if !owed.is_empty() {
        let _ = writeln!(
            text,
            "\ndestination  messages  notices  may have run       bytes  oldest taken                 age s  first deadline"
        );
    }
    for (destination, owed) in &owed {
        let age = now.saturating_sub(owed.oldest) as f64 / 1e6;
        let _ = writeln!(
            text,
            "{destination:>11}  {:>8}  {:>7}  {:>12}  {:>10}  {:<27}  {age:>8.1}  {}",
            owed.messages,
            owed.notices,
            owed.may_have_run,
            owed.bytes,
            when(owed.oldest),
            when(owed.first_deadline)
        );
    }
    let out: Vec<String> = scan.index.outages().iter().map(u32::to_string).collect();
    if !out.is_empty() {
        let _ = writeln!(text, "\nout or cold: {}", out.join(", "));
    }
    let _ = writeln!(text, "\n         segment       bytes        live  share  records  begun");
    for (number, segment) in &scan.segments {
        let live = scan.index.weight(*number);
        let share = live as f64 / segment.length.max(1) as f64;
        let _ = writeln!(
            text,
            "{number:016x}  {:>10}  {live:>10}  {share:>5.2}  {:>7}  {}",
            segment.bytes_on_disk,
            segment.records,
            when(segment.created)
        );
    }
    for line in problems(&scan) {
        let _ = writeln!(text, "{line}");
    }
    if scan.foreign > 0 {
        let _ = writeln!(text, "other files: {} bytes, which count against the budget", scan.foreign);
    }
    Ok(text)
}

/// Whether the journal is sound, and a line for each thing that is not.
///
/// # Errors
/// Where the folder holds no journal that can be read.
pub fn verify(folder: &Path) -> Result<(bool, String), InspectError> {
    let scan = read(folder, &mut |_, _, _| ())?;
    let mut text = String::new();
    for line in problems(&scan) {
        let _ = writeln!(text, "{line}");
    }
    let records: u64 = scan.segments.values().map(|segment| segment.records).sum();
    let sound = scan.recovery.damage.is_empty();
    let _ = writeln!(
        text,
        "{} segments, {records} records, {} messages: {}",
        scan.segments.len(),
        scan.index.len(),
        if sound { "sound" } else { "damaged" }
    );
    Ok((sound, text))
}

fn start(start: Option<AttemptStart>) -> Value {
    start.map_or(Value::Null, |start| json!({"at": when(start.at), "zone": start.zone}))
}

fn notice(notice: Option<Notice>) -> Value {
    match notice {
        None => Value::Null,
        Some(Notice::GivenUp) => json!({"outcome": "given_up"}),
        Some(Notice::HandedBack { retry_in_ms }) => {
            json!({"outcome": "handed_back", "retry_in_ms": retry_in_ms})
        }
    }
}

fn message(number: u64, journaled: &JournaledMessage, bodies: bool) -> Value {
    let message = &journaled.message;
    let mut value = json!({
        "number": number, "id": message.id, "class": message.class, "dest": message.destination,
        "taken": when(message.accepted_at), "deadline": when(message.deadline), "key": message.key,
        "attempts": journaled.attempts, "may_have_run": start(journaled.may_have_run), "out": start(journaled.in_flight),
        "notice": notice(journaled.notice), "body_bytes": message.body.len(),
    });
    if let Some((name, share)) = &message.tenant {
        (value["customer"], value["over_share"]) = (name.as_str().into(), share.exceeded.into());
    }
    if bodies {
        value["body_base64"] = STANDARD.encode(&message.body).into();
    }
    value
}

fn record(segment: u64, offset: u64, record: &Record, bodies: bool) -> Value {
    let mut value = match record {
        Record::Taken {
            number,
            id,
            class,
            destination,
            accepted_at,
            deadline,
            key,
            tenant,
            body,
            progress,
        } => {
            let mut value = json!({"record": "taken", "number": number, "id": id, "class": class, "dest": destination,
                "taken": when(*accepted_at), "deadline": when(*deadline), "key": key, "body_bytes": body.len()});
            if let Some((name, share)) = tenant {
                (value["customer"], value["over_share"]) = ((*name).into(), share.exceeded.into());
                value["share_left"] = (f64::from(share.remaining_thousandths) / 1000.0).into();
            }
            if let Some(progress) = progress {
                value["attempts"] = progress.attempts.into();
                value["may_have_run"] = start(progress.may_have_run);
                value["out"] = start(progress.in_flight);
                value["notice"] = notice(progress.notice);
            }
            if bodies {
                value["body_base64"] = STANDARD.encode(body).into();
            }
            value
        }
        Record::Started { number, start: at } => {
            json!({"record": "started", "number": number, "start": start(Some(*at))})
        }
        Record::Ended { number, may_have_run } => {
            json!({"record": "ended", "number": number, "may_have_run": may_have_run})
        }
        Record::Owed { number, notice: told } => {
            json!({"record": "owed", "number": number, "notice": notice(Some(*told))})
        }
        Record::Over { number, base } => json!({"record": "over", "number": number, "base": base}),
        Record::Progress { number, progress } => json!({"record": "progress", "number": number,
            "attempts": progress.attempts, "may_have_run": start(progress.may_have_run),
            "out": start(progress.in_flight), "notice": notice(progress.notice)}),
        Record::Outage { destination, ongoing } => {
            json!({"record": "outage", "dest": destination, "out": ongoing})
        }
        Record::Opening { sealed, outages, next, quota_levels } => {
            let sealed: Vec<Value> = sealed.iter().map(|s| json!([s.segment, s.length])).collect();
            let quota_levels = quota_levels
                .iter()
                .map(|l| json!([l.tenant, f64::from(l.remaining_thousandths) / 1000.0, when(l.at)]));
            let quota_levels: Vec<Value> = quota_levels.collect();
            json!({"record": "opening", "sealed": sealed, "outages": outages, "next": next, "levels": quota_levels})
        }
        Record::Taken1 { .. } | Record::Opening1 { .. } => json!({"record": "of version 1"}),
        Record::Removed { segment } => json!({"record": "removed", "removed": segment}),
    };
    value["segment"] = segment.into();
    value["offset"] = offset.into();
    value
}

/// Writes what is owed as JSON, one message a line; bodies only where they are asked for, in base64.
///
/// # Errors
/// Where the folder holds no journal that can be read, or `out` can't be written.
pub fn dump(folder: &Path, bodies: bool, out: &mut dyn Write) -> Result<(), InspectError> {
    let scan = read(folder, &mut |_, _, _| ())?;
    for (number, journaled) in scan.index.iter() {
        writeln!(out, "{}", message(number, journaled, bodies))?;
    }
    Ok(())
}

/// Writes every sound record as JSON, one a line, with its segment and offset: what the journal went through.
///
/// # Errors
/// As for [`dump`]. A segment that goes meanwhile, beside a dispatcher that runs, has the folder read again: its
/// records stand twice then.
pub fn dump_records(folder: &Path, bodies: bool, out: &mut dyn Write) -> Result<(), InspectError> {
    let mut written = Ok(());
    read(folder, &mut |segment, offset, seen| {
        if written.is_ok() {
            written = writeln!(out, "{}", record(segment, offset, seen, bodies));
        }
    })?;
    Ok(written?)
}

/// What a repair found and wrote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepairReport {
    /// Messages that stand in the new journal.
    pub messages: usize,
    /// Those of them that count as ones that may have run since they were taken, because records are lost.
    pub assumed_run: usize,
    /// What was wrong, a line each.
    pub problems: Vec<String>,
}

/// Writes all that can be read of a journal to a new folder, and never touches the old one. No dispatcher may run
/// on it meanwhile.
///
/// # Errors
/// Where the folder holds no journal that can be read, or the new one is not empty or can't be written.
pub fn repair(folder: &Path, to: &Path, now: UnixMicros) -> Result<RepairReport, InspectError> {
    let mut found = {
        let files = Disk::new(folder);
        let failed = |error| InspectError::Open { folder: folder.display().to_string(), error };
        scan(&files, 0).map_err(failed)?
    };
    if found.old.is_some() {
        return Err(InspectError::Old(folder.display().to_string()));
    }
    let Some(identity) = found.identity else {
        return Err(InspectError::Nothing(folder.display().to_string()));
    };
    std::fs::create_dir_all(to)?;
    let files = Disk::new(to);
    if !files.list()?.is_empty() {
        return Err(InspectError::Occupied(to.display().to_string()));
    }
    let assumed_run = found.index.assumed_run().len();
    found.index.settle();
    let options = Options {
        limits: Limits::for_budget(u64::MAX),
        durability: Durability::Always,
        now: now.max(found.recovery.latest_timestamp),
        identity,
        remembered_outcomes: 0,
    };
    let failed = |error| InspectError::Open { folder: to.display().to_string(), error };
    let (mut journal, _) = Journal::recover(files, options).map_err(failed)?;
    let messages = found
        .index
        .iter()
        .map(|(number, journaled)| (number, journaled.message.clone(), journaled.progress()));
    journal.adopt(found.index.outages().iter().copied(), messages)?;
    Ok(RepairReport { messages: found.index.len(), assumed_run, problems: problems(&found) })
}
