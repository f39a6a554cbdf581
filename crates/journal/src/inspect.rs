//! The operators' commands `fawnspoke journal show|verify|dump|repair`, which need no running dispatcher.
//!
//! All but [`repair`] only read, and can be used while a dispatcher is running; `repair` only writes to a new
//! directory.

use crate::compaction::{Limits, round_up_to_block};
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

/// Prefix of each output line that reports damage which a crash can't have caused.
pub const DAMAGE_PREFIX: &str = "damaged: ";
/// Maximum number of times that a directory is read. The read is repeated if the compaction of a running dispatcher
/// removes a segment during it.
const MAX_READ_ATTEMPTS: u32 = 5;

/// Why an operators' command failed.
#[derive(Debug, thiserror::Error)]
pub enum InspectError {
    /// The journal can't be read.
    #[error("{directory}: {error}")]
    Open {
        /// The journal's directory.
        directory: String,
        /// Why it can't be read.
        error: OpenError,
    },
    /// There is no journal.
    #[error("{0}: no journal there")]
    NoJournal(String),
    /// The journal has the legacy format: a dispatcher migrates it when it starts.
    #[error("{0}: a journal in the legacy format; the dispatcher migrates it at its next start")]
    LegacyFormat(String),
    /// The target directory is not empty.
    #[error("{0}: not empty; a repaired journal is written to a new directory")]
    TargetNotEmpty(String),
    /// The output can't be written.
    #[error(transparent)]
    Write(#[from] io::Error),
}

/// Formats a timestamp for display (RFC 3339, microseconds, UTC).
fn format_time(at: UnixMicros) -> String {
    // Timestamps beyond the year 9999 are invalid and are shown as numbers.
    const MAX_FORMATTABLE: UnixMicros = 253_402_300_799_000_000;
    if at > MAX_FORMATTABLE {
        return at.to_string();
    }
    humantime::format_rfc3339_micros(UNIX_EPOCH + Duration::from_micros(at)).to_string()
}

fn is_not_found(error: &OpenError) -> bool {
    matches!(error, OpenError::Io(error) if error.kind() == io::ErrorKind::NotFound)
}

/// Scans a directory that a running dispatcher may be writing to.
fn scan_directory(
    directory: &Path, on_record: &mut dyn FnMut(u64, u64, &Record),
) -> Result<ScanResult, InspectError> {
    let files = Disk::new(directory);
    let directory_name = || directory.display().to_string();
    let open_error = |error| InspectError::Open { directory: directory_name(), error };
    // A missing directory is not worth another attempt.
    files.list().map_err(|error| open_error(error.into()))?;
    let mut attempts = 1;
    let scan = loop {
        match scan_records(&files, 0, on_record) {
            Err(error) if is_not_found(&error) && attempts < MAX_READ_ATTEMPTS => attempts += 1,
            other => break other.map_err(open_error)?,
        }
    };
    if scan.legacy.is_some() {
        return Err(InspectError::LegacyFormat(directory_name()));
    }
    if scan.identity.is_none() && scan.recovery.damage.is_empty() {
        return Err(InspectError::NoJournal(directory_name()));
    }
    Ok(scan)
}

/// Totals of the open messages of one destination.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct DestinationSummary {
    messages: u64,
    may_have_run: u64,
    notices: u64,
    bytes: u64,
    oldest: UnixMicros,
    first_deadline: UnixMicros,
}

fn summarize_by_destination(scan: &ScanResult) -> BTreeMap<u32, DestinationSummary> {
    let mut summaries: BTreeMap<u32, DestinationSummary> = BTreeMap::new();
    for (_, journaled) in scan.index.iter() {
        let summary = summaries.entry(journaled.message.destination).or_insert(DestinationSummary {
            oldest: UnixMicros::MAX,
            first_deadline: UnixMicros::MAX,
            ..DestinationSummary::default()
        });
        summary.messages += u64::from(journaled.notice.is_none());
        summary.notices += u64::from(journaled.notice.is_some());
        summary.may_have_run += u64::from(journaled.may_have_run.or(journaled.in_flight).is_some());
        summary.bytes += journaled.max_size();
        summary.oldest = summary.oldest.min(journaled.message.accepted_at);
        summary.first_deadline = summary.first_deadline.min(journaled.message.deadline);
    }
    summaries
}

/// A line for each damage, and one for an incomplete record at the end.
fn describe_problems(scan: &ScanResult) -> Vec<String> {
    let mut lines: Vec<String> =
        scan.recovery.damage.iter().map(|damage| format!("{DAMAGE_PREFIX}{damage}")).collect();
    if scan.recovery.torn_bytes > 0 {
        lines.push(format!(
            "torn: {} bytes of an incomplete last write, which is ignored",
            scan.recovery.torn_bytes
        ));
    }
    lines
}

/// A report on the open messages by destination, and on the segments. `now` is the time that ages refer to.
///
/// # Errors
/// If the directory holds no readable journal.
pub fn show(directory: &Path, now: UnixMicros) -> Result<String, InspectError> {
    let scan = scan_directory(directory, &mut |_, _, _| ())?;
    let mut text = String::new();
    let summaries = summarize_by_destination(&scan);
    let sum = |field: fn(&DestinationSummary) -> u64| summaries.values().map(field).sum::<u64>();
    let bytes: u64 = scan.segments.values().map(|segment| round_up_to_block(segment.bytes_on_disk)).sum();
    let live: u64 = scan.segments.keys().map(|segment| scan.index.live_bytes(*segment)).sum();
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
        sum(|summary| summary.messages),
        sum(|summary| summary.notices),
        summaries.len(),
        sum(|summary| summary.may_have_run)
    );
    if !summaries.is_empty() {
        let _ = writeln!(
            text,
            "\ndestination  messages  notices  may have run       bytes  oldest accepted              age s  first deadline"
        );
    }
    for (destination, summary) in &summaries {
        let age = now.saturating_sub(summary.oldest) as f64 / 1e6;
        let _ = writeln!(
            text,
            "{destination:>11}  {:>8}  {:>7}  {:>12}  {:>10}  {:<27}  {age:>8.1}  {}",
            summary.messages,
            summary.notices,
            summary.may_have_run,
            summary.bytes,
            format_time(summary.oldest),
            format_time(summary.first_deadline)
        );
    }
    let outages: Vec<String> = scan.index.outages().iter().map(u32::to_string).collect();
    if !outages.is_empty() {
        let _ = writeln!(text, "\nout or cold: {}", outages.join(", "));
    }
    let _ = writeln!(text, "\n         segment       bytes        live  share  records  created");
    for (number, segment) in &scan.segments {
        let live = scan.index.live_bytes(*number);
        let live_ratio = live as f64 / segment.length.max(1) as f64;
        let _ = writeln!(
            text,
            "{number:016x}  {:>10}  {live:>10}  {live_ratio:>5.2}  {:>7}  {}",
            segment.bytes_on_disk,
            segment.records,
            format_time(segment.created_at)
        );
    }
    for line in describe_problems(&scan) {
        let _ = writeln!(text, "{line}");
    }
    if scan.foreign_bytes > 0 {
        let _ = writeln!(text, "other files: {} bytes, which count against the budget", scan.foreign_bytes);
    }
    Ok(text)
}

/// Verifies the journal. Returns whether it is free of damage, and a text with a line for each problem.
///
/// # Errors
/// If the directory holds no readable journal.
pub fn verify(directory: &Path) -> Result<(bool, String), InspectError> {
    let scan = scan_directory(directory, &mut |_, _, _| ())?;
    let mut text = String::new();
    for line in describe_problems(&scan) {
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

fn attempt_start_json(start: Option<AttemptStart>) -> Value {
    start.map_or(Value::Null, |start| json!({"at": format_time(start.at), "zone": start.zone}))
}

fn notice_json(notice: Option<Notice>) -> Value {
    match notice {
        None => Value::Null,
        Some(Notice::GivenUp) => json!({"outcome": "given_up"}),
        Some(Notice::HandedBack { retry_in_ms }) => {
            json!({"outcome": "handed_back", "retry_in_ms": retry_in_ms})
        }
    }
}

fn message_json(number: u64, journaled: &JournaledMessage, bodies: bool) -> Value {
    let message = &journaled.message;
    let mut value = json!({
        "number": number, "id": message.id, "class": message.class, "dest": message.destination,
        "taken": format_time(message.accepted_at), "deadline": format_time(message.deadline), "key": message.key,
        "attempts": journaled.attempts, "may_have_run": attempt_start_json(journaled.may_have_run),
        "out": attempt_start_json(journaled.in_flight), "notice": notice_json(journaled.notice), "body_bytes": message.body.len(),
    });
    if let Some((name, quota)) = &message.tenant {
        (value["customer"], value["over_share"]) = (name.as_str().into(), quota.exceeded.into());
    }
    if bodies {
        value["body_base64"] = STANDARD.encode(&message.body).into();
    }
    value
}

fn record_json(segment: u64, offset: u64, record: &Record, bodies: bool) -> Value {
    let mut value = match record {
        Record::Accepted {
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
            let mut value = json!({"record": "taken", "number": number, "id": id, "class": class,
                "dest": destination, "taken": format_time(*accepted_at), "deadline": format_time(*deadline),
                "key": key, "body_bytes": body.len()});
            if let Some((name, quota)) = tenant {
                (value["customer"], value["over_share"]) = ((*name).into(), quota.exceeded.into());
                value["share_left"] = (f64::from(quota.remaining_thousandths) / 1000.0).into();
            }
            if let Some(progress) = progress {
                value["attempts"] = progress.attempts.into();
                value["may_have_run"] = attempt_start_json(progress.may_have_run);
                value["out"] = attempt_start_json(progress.in_flight);
                value["notice"] = notice_json(progress.notice);
            }
            if bodies {
                value["body_base64"] = STANDARD.encode(body).into();
            }
            value
        }
        Record::AttemptStarted { number, start: attempt_start } => {
            json!({"record": "started", "number": number, "start": attempt_start_json(Some(*attempt_start))})
        }
        Record::AttemptEnded { number, may_have_run } => {
            json!({"record": "ended", "number": number, "may_have_run": may_have_run})
        }
        Record::NoticeDue { number, notice: due_notice } => {
            json!({"record": "owed", "number": number, "notice": notice_json(Some(*due_notice))})
        }
        Record::Closed { number, base_segment } => {
            json!({"record": "over", "number": number, "base": base_segment})
        }
        Record::Progress { number, progress } => json!({"record": "progress", "number": number,
            "attempts": progress.attempts, "may_have_run": attempt_start_json(progress.may_have_run),
            "out": attempt_start_json(progress.in_flight), "notice": notice_json(progress.notice)}),
        Record::Outage { destination, ongoing } => {
            json!({"record": "outage", "dest": destination, "out": ongoing})
        }
        Record::SegmentOpened { sealed, outages, next_number, quota_levels } => {
            let sealed: Vec<Value> =
                sealed.iter().map(|segment| json!([segment.segment, segment.length])).collect();
            let quota_levels = quota_levels.iter().map(|level| {
                json!([level.tenant, f64::from(level.remaining_thousandths) / 1000.0, format_time(level.at)])
            });
            let quota_levels: Vec<Value> = quota_levels.collect();
            json!({"record": "opening", "sealed": sealed, "outages": outages, "next": next_number,
                "levels": quota_levels})
        }
        Record::AcceptedV1 { .. } | Record::SegmentOpenedV1 { .. } => json!({"record": "of version 1"}),
        Record::SegmentRemoved { segment } => json!({"record": "removed", "removed": segment}),
    };
    value["segment"] = segment.into();
    value["offset"] = offset.into();
    value
}

/// Writes the open messages as JSON, one per line. Bodies are only included on request, in base64.
///
/// # Errors
/// If the directory holds no readable journal, or `out` can't be written.
pub fn dump(directory: &Path, bodies: bool, out: &mut dyn Write) -> Result<(), InspectError> {
    let scan = scan_directory(directory, &mut |_, _, _| ())?;
    for (number, journaled) in scan.index.iter() {
        writeln!(out, "{}", message_json(number, journaled, bodies))?;
    }
    Ok(())
}

/// Writes every valid record as JSON with its segment and offset, one per line.
///
/// # Errors
/// As for [`dump`]. If a running dispatcher removes a segment during the read, the directory is read again, and
/// records that were already written appear twice.
pub fn dump_records(directory: &Path, bodies: bool, out: &mut dyn Write) -> Result<(), InspectError> {
    let mut written = Ok(());
    scan_directory(directory, &mut |segment, offset, record| {
        if written.is_ok() {
            written = writeln!(out, "{}", record_json(segment, offset, record, bodies));
        }
    })?;
    Ok(written?)
}

/// The result of a repair.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepairReport {
    /// Number of messages in the new journal.
    pub messages: usize,
    /// How many of them count as possibly run since they were accepted, because records are lost.
    pub assumed_run: usize,
    /// What was wrong, a line for each problem.
    pub problems: Vec<String>,
}

/// Writes all readable content of a journal to a new directory and leaves the old one unchanged. No dispatcher may be
/// running on the old one.
///
/// # Errors
/// If the directory holds no readable journal, or if the new one is not empty or can't be written.
pub fn repair(directory: &Path, to: &Path, now: UnixMicros) -> Result<RepairReport, InspectError> {
    let mut found = {
        let files = Disk::new(directory);
        let open_error = |error| InspectError::Open { directory: directory.display().to_string(), error };
        scan(&files, 0).map_err(open_error)?
    };
    if found.legacy.is_some() {
        return Err(InspectError::LegacyFormat(directory.display().to_string()));
    }
    let Some(identity) = found.identity else {
        return Err(InspectError::NoJournal(directory.display().to_string()));
    };
    std::fs::create_dir_all(to)?;
    let files = Disk::new(to);
    if !files.list()?.is_empty() {
        return Err(InspectError::TargetNotEmpty(to.display().to_string()));
    }
    let assumed_run = found.index.take_assumed_run().len();
    found.index.resolve_in_flight();
    let options = Options {
        limits: Limits::for_budget(u64::MAX),
        durability: Durability::Always,
        now: now.max(found.recovery.latest_timestamp),
        identity,
        remembered_outcomes: 0,
    };
    let open_error = |error| InspectError::Open { directory: to.display().to_string(), error };
    let (mut journal, _) = Journal::recover(files, options).map_err(open_error)?;
    let messages = found
        .index
        .iter()
        .map(|(number, journaled)| (number, journaled.message.clone(), journaled.progress()));
    journal.import(found.index.outages().iter().copied(), messages)?;
    Ok(RepairReport { messages: found.index.len(), assumed_run, problems: describe_problems(&found) })
}
