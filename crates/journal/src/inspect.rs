//! What operators ask of a journal without starting a dispatcher: `fawnspoke journal show|verify|dump|repair`.
//!
//! All but [`repair`] only read, also beside a dispatcher that is running; `repair` writes to a new folder alone.

use crate::files::{Disk, Files};
use crate::format::{Notice, Record, Start, UnixMicros};
use crate::journal::{Durability, Journal, OpenError, Options};
use crate::ledger::Kept;
use crate::plan::{Limits, blocks};
use crate::survey::{Survey, survey, visit};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, Write};
use std::path::Path;
use std::time::{Duration, UNIX_EPOCH};

/// Begins each line about something that no crash leaves behind.
pub const DAMAGED: &str = "damaged: ";
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
fn read(folder: &Path, seen: &mut dyn FnMut(u64, u64, &Record)) -> Result<Survey, InspectError> {
    let files = Disk::new(folder);
    let told = || folder.display().to_string();
    let failed = |error| InspectError::Open { folder: told(), error };
    // The folder itself must be there: that error is final.
    files.list().map_err(|error| failed(error.into()))?;
    let mut tries = 1;
    let survey = loop {
        match visit(&files, 0, seen) {
            Err(error) if is_gone(&error) && tries < TRIES => tries += 1,
            other => break other.map_err(failed)?,
        }
    };
    if survey.old.is_some() {
        return Err(InspectError::Old(told()));
    }
    if survey.identity.is_none() && survey.recovery.damage.is_empty() {
        return Err(InspectError::Nothing(told()));
    }
    Ok(survey)
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

fn by_destination(survey: &Survey) -> BTreeMap<u32, Owed> {
    let mut all: BTreeMap<u32, Owed> = BTreeMap::new();
    for (_, kept) in survey.ledger.iter() {
        let at = all.entry(kept.handed.dest).or_insert(Owed {
            oldest: UnixMicros::MAX,
            first_deadline: UnixMicros::MAX,
            ..Owed::default()
        });
        at.messages += u64::from(kept.notice.is_none());
        at.notices += u64::from(kept.notice.is_some());
        at.may_have_run += u64::from(kept.may_have_run.or(kept.out).is_some());
        at.bytes += kept.size();
        at.oldest = at.oldest.min(kept.handed.taken);
        at.first_deadline = at.first_deadline.min(kept.handed.deadline);
    }
    all
}

/// Lines about damage, the torn tail and files that are not the journal's.
fn problems(survey: &Survey) -> Vec<String> {
    let mut lines: Vec<String> =
        survey.recovery.damage.iter().map(|damage| format!("{DAMAGED}{damage}")).collect();
    if survey.recovery.torn > 0 {
        lines.push(format!(
            "torn: {} bytes of a last write that was cut short: it never happened",
            survey.recovery.torn
        ));
    }
    lines
}

/// What is owed, to whom, since when, and what the segments hold. `now`: ages count from it.
///
/// # Errors
/// Where the folder holds no journal that can be read.
pub fn show(folder: &Path, now: UnixMicros) -> Result<String, InspectError> {
    let survey = read(folder, &mut |_, _, _| ())?;
    let mut text = String::new();
    let owed = by_destination(&survey);
    let sum = |of: fn(&Owed) -> u64| owed.values().map(of).sum::<u64>();
    let bytes: u64 = survey.segments.values().map(|segment| blocks(segment.on_file)).sum();
    let live: u64 = survey.segments.keys().map(|segment| survey.ledger.weight(*segment)).sum();
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "journal {:032x}: {} segments, {bytes} bytes, {live} live",
        survey.identity.unwrap_or_default(),
        survey.segments.len()
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
    for (dest, owed) in &owed {
        let age = now.saturating_sub(owed.oldest) as f64 / 1e6;
        let _ = writeln!(
            text,
            "{dest:>11}  {:>8}  {:>7}  {:>12}  {:>10}  {:<27}  {age:>8.1}  {}",
            owed.messages,
            owed.notices,
            owed.may_have_run,
            owed.bytes,
            when(owed.oldest),
            when(owed.first_deadline)
        );
    }
    let out: Vec<String> = survey.ledger.outages().iter().map(u32::to_string).collect();
    if !out.is_empty() {
        let _ = writeln!(text, "\nout or cold: {}", out.join(", "));
    }
    let _ = writeln!(text, "\n         segment       bytes        live  share  records  begun");
    for (number, segment) in &survey.segments {
        let live = survey.ledger.weight(*number);
        let share = live as f64 / segment.length.max(1) as f64;
        let _ = writeln!(
            text,
            "{number:016x}  {:>10}  {live:>10}  {share:>5.2}  {:>7}  {}",
            segment.on_file,
            segment.records,
            when(segment.created)
        );
    }
    for line in problems(&survey) {
        let _ = writeln!(text, "{line}");
    }
    if survey.foreign > 0 {
        let _ = writeln!(text, "other files: {} bytes, which count against the budget", survey.foreign);
    }
    Ok(text)
}

/// Whether the journal is sound, and a line for each thing that is not.
///
/// # Errors
/// Where the folder holds no journal that can be read.
pub fn verify(folder: &Path) -> Result<(bool, String), InspectError> {
    let survey = read(folder, &mut |_, _, _| ())?;
    let mut text = String::new();
    for line in problems(&survey) {
        let _ = writeln!(text, "{line}");
    }
    let records: u64 = survey.segments.values().map(|segment| segment.records).sum();
    let sound = survey.recovery.damage.is_empty();
    let _ = writeln!(
        text,
        "{} segments, {records} records, {} messages: {}",
        survey.segments.len(),
        survey.ledger.len(),
        if sound { "sound" } else { "damaged" }
    );
    Ok((sound, text))
}

fn start(start: Option<Start>) -> Value {
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

fn message(number: u64, kept: &Kept, bodies: bool) -> Value {
    let handed = &kept.handed;
    let mut value = json!({
        "number": number, "id": handed.id, "class": handed.class, "dest": handed.dest,
        "taken": when(handed.taken), "deadline": when(handed.deadline), "key": handed.key,
        "attempts": kept.attempts, "may_have_run": start(kept.may_have_run), "out": start(kept.out),
        "notice": notice(kept.notice), "body_bytes": handed.body.len(),
    });
    if let Some((name, share)) = &handed.customer {
        (value["customer"], value["over_share"]) = (name.as_str().into(), share.over.into());
    }
    if bodies {
        value["body_base64"] = STANDARD.encode(&handed.body).into();
    }
    value
}

fn record(segment: u64, offset: u64, record: &Record, bodies: bool) -> Value {
    let mut value = match record {
        Record::Taken { number, id, class, dest, taken, deadline, key, customer, body, progress } => {
            let mut value = json!({"record": "taken", "number": number, "id": id, "class": class, "dest": dest,
                "taken": when(*taken), "deadline": when(*deadline), "key": key, "body_bytes": body.len()});
            if let Some((name, share)) = customer {
                (value["customer"], value["over_share"]) = ((*name).into(), share.over.into());
                value["share_left"] = (f64::from(share.left) / 1000.0).into();
            }
            if let Some(progress) = progress {
                value["attempts"] = progress.attempts.into();
                value["may_have_run"] = start(progress.may_have_run);
                value["out"] = start(progress.out);
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
            "out": start(progress.out), "notice": notice(progress.notice)}),
        Record::Outage { dest, out } => json!({"record": "outage", "dest": dest, "out": out}),
        Record::Opening { sealed, outages, next, levels } => {
            let sealed: Vec<Value> = sealed.iter().map(|s| json!([s.segment, s.length])).collect();
            let levels = levels.iter().map(|l| json!([l.customer, f64::from(l.left) / 1000.0, when(l.at)]));
            let levels: Vec<Value> = levels.collect();
            json!({"record": "opening", "sealed": sealed, "outages": outages, "next": next, "levels": levels})
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
    let survey = read(folder, &mut |_, _, _| ())?;
    for (number, kept) in survey.ledger.iter() {
        writeln!(out, "{}", message(number, kept, bodies))?;
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
pub struct Repaired {
    /// Messages that stand in the new journal.
    pub messages: usize,
    /// Those of them that count as ones that may have run since they were taken, because records are lost.
    pub doubted: usize,
    /// What was wrong, a line each.
    pub problems: Vec<String>,
}

/// Writes all that can be read of a journal to a new folder, and never touches the old one. No dispatcher may run
/// on it meanwhile.
///
/// # Errors
/// Where the folder holds no journal that can be read, or the new one is not empty or can't be written.
pub fn repair(folder: &Path, to: &Path, now: UnixMicros) -> Result<Repaired, InspectError> {
    let mut found = {
        let files = Disk::new(folder);
        let failed = |error| InspectError::Open { folder: folder.display().to_string(), error };
        survey(&files, 0).map_err(failed)?
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
    let doubted = found.ledger.doubted().len();
    found.ledger.settle();
    let options = Options {
        limits: Limits::of(u64::MAX),
        durability: Durability::Always,
        now: now.max(found.recovery.latest),
        identity,
        ends: 0,
    };
    let failed = |error| InspectError::Open { folder: to.display().to_string(), error };
    let (mut journal, _) = Journal::recover(files, options).map_err(failed)?;
    let messages = found.ledger.iter().map(|(number, kept)| (number, kept.handed.clone(), kept.progress()));
    journal.adopt(found.ledger.outages().iter().copied(), messages)?;
    Ok(Repaired { messages: found.ledger.len(), doubted, problems: problems(&found) })
}
