//! Reads a folder of segments and changes nothing: what is owed, what is damaged, which files are of no account.
//! Recovery begins with it, and so do the operators' commands. One segment is in memory at a time.

use crate::compaction::round_up_to_block;
use crate::files::Files;
use crate::format::{
    self, FRAME_BYTES, HEADER_BYTES, Header, HeaderError, MAX_RECORD_BYTES, Record, SealedSegment, UnixMicros,
};
use crate::index::MessageIndex;
use crate::journal::{Damage, OpenError, Recovery, file_name, parse_file_name};
use crate::legacy;
use std::collections::BTreeMap;

/// A segment that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScannedSegment {
    /// How many of its bytes count.
    pub length: u64,
    /// Its length on file.
    pub bytes_on_disk: u64,
    /// When it was begun.
    pub created_at: UnixMicros,
    /// Sound records in it.
    pub records: u64,
}

/// What a folder holds.
#[derive(Debug)]
pub struct ScanResult {
    /// Whose journal it is; none where there is none of this format.
    pub identity: Option<u128>,
    /// Its segments that count, by number.
    pub segments: BTreeMap<u64, ScannedSegment>,
    /// What they say; calls without an end are out in it still.
    pub index: MessageIndex,
    /// What was found wrong.
    pub recovery: Recovery,
    /// Files that are not the journal's, in bytes of whole blocks.
    pub foreign_bytes: u64,
    /// Files of no account: what a crash left of a segment that was being begun or removed.
    pub obsolete_files: Vec<String>,
    /// No segment has this number, or a higher one.
    pub next_segment: u64,
    /// A file of the format before is there: it holds, and the segments are copies of it that were not finished.
    pub(crate) legacy: Option<legacy::LegacyJournal>,
}

/// Segments by number, and how many of their bytes count.
type SegmentLengths = BTreeMap<u64, u64>;

/// Reads the headers: the segments of this journal, and all else by what is wrong with it.
struct Headers {
    found: BTreeMap<u64, (Header, u64)>,
    incomplete: Vec<String>,
    has_legacy_file: bool,
}

/// Surveys the files of a folder; so many messages that are over are remembered.
///
/// # Errors
/// Where a file was written by a newer program, where journals of two formats stand side by side, or where a file
/// can't be read. [`OpenError`].
pub fn scan<F: Files>(files: &F, remembered_outcomes: usize) -> Result<ScanResult, OpenError> {
    scan_records(files, remembered_outcomes, &mut |_, _, _| ())
}

/// Surveys the files of a folder, and shows each sound record with its segment and offset as it is read.
///
/// # Errors
/// As for [`scan`].
pub fn scan_records<F: Files>(
    files: &F, remembered_outcomes: usize, on_record: &mut dyn FnMut(u64, u64, &Record),
) -> Result<ScanResult, OpenError> {
    let mut scan = ScanResult {
        identity: None,
        segments: BTreeMap::new(),
        index: MessageIndex::new(remembered_outcomes),
        recovery: Recovery::default(),
        foreign_bytes: 0,
        obsolete_files: Vec::new(),
        next_segment: 1,
        legacy: None,
    };
    let Headers { mut found, incomplete, has_legacy_file } = scan.read_headers(files)?;
    scan.obsolete_files = incomplete;
    if has_legacy_file {
        // It is removed last: what else is there are copies of it that were not finished. They bear the mark of
        // that file; others are a journal that an older program did not see.
        let bytes = files.read(legacy::FILE_NAME, 0, usize::MAX)?;
        let identity = legacy::derive_identity(&bytes);
        if found.values().any(|(header, _)| header.identity != identity) {
            return Err(OpenError::TwoFormats);
        }
        let legacy = legacy::parse(&bytes);
        scan.identity = Some(identity);
        scan.obsolete_files.extend(found.keys().map(|segment| file_name(*segment)));
        scan.recovery.torn_bytes = legacy.torn_bytes as u64;
        scan.recovery.migrated_messages = Some(legacy.messages.len());
        scan.legacy = Some(legacy);
        return Ok(scan);
    }
    scan.obsolete_files.push(legacy::TEMP_FILE_NAME.into());
    let Some((newest, listed)) = scan.find_newest(files, &mut found)? else { return Ok(scan) };
    for segment in found.keys() {
        scan.index.add_segment(*segment);
    }
    let mut removed = Vec::new();
    for (segment, (header, _)) in &found {
        let listed = listed.as_ref().and_then(|listed| listed.get(segment)).copied();
        let bytes = files.read(&file_name(*segment), 0, usize::MAX)?;
        scan.scan_segment(*segment, header, &bytes, (listed, *segment == newest), &mut removed, on_record);
    }
    let mut missing: Vec<u64> =
        listed.iter().flatten().map(|(segment, _)| *segment).filter(|s| !found.contains_key(s)).collect();
    for segment in removed {
        missing.retain(|other| *other != segment);
        // All that counted of it stands in later segments. Its file is back after a power cut, or never went.
        if scan.segments.remove(&segment).is_some() {
            scan.obsolete_files.push(file_name(segment));
        }
    }
    for segment in missing {
        scan.recovery.damage.push(Damage::MissingSegment { segment });
        scan.index.assume_run(segment);
    }
    scan.recovery.latest_timestamp = scan.recovery.latest_timestamp.max(scan.index.latest_timestamp());
    Ok(scan)
}

impl ScanResult {
    /// Whether the last life ended while it won room back: a segment is half emptied, or emptied and there still, or
    /// one was being begun.
    pub fn interrupted_compaction(&self) -> bool {
        self.index.partly_compacted().is_some()
            || self.obsolete_files.iter().any(|name| parse_file_name(name).is_some())
    }

    fn read_headers<F: Files>(&mut self, files: &F) -> Result<Headers, OpenError> {
        let mut headers = Headers { found: BTreeMap::new(), incomplete: Vec::new(), has_legacy_file: false };
        for (name, length) in files.list()? {
            headers.has_legacy_file |= name == legacy::FILE_NAME;
            let Some(number) = parse_file_name(&name) else {
                let known = name == legacy::FILE_NAME || name == legacy::TEMP_FILE_NAME;
                self.foreign_bytes += round_up_to_block(length) * u64::from(!known);
                continue;
            };
            self.next_segment = self.next_segment.max(number.saturating_add(1));
            let problem = match Header::parse(&files.read(&name, 0, HEADER_BYTES)?) {
                Ok(header) if header.segment == number => {
                    headers.found.insert(number, (header, length));
                    continue;
                }
                Ok(header) => format!("it holds segment {}", header.segment),
                Err(HeaderError::Newer(version)) => return Err(OpenError::Newer { file: name, version }),
                // No byte of it was promised to anybody.
                Err(HeaderError::Truncated) => {
                    headers.incomplete.push(name);
                    continue;
                }
                Err(error) => error.to_string(),
            };
            self.report_foreign_file(name, length, problem);
        }
        Ok(headers)
    }

    fn report_foreign_file(&mut self, file: String, length: u64, problem: String) {
        self.foreign_bytes += round_up_to_block(length);
        self.recovery.damage.push(Damage::ForeignFile { file, problem });
    }

    /// The newest segment whose first record is whole, and what that lists: the lengths of those that count.
    /// Leaves in `found` what is of account.
    fn find_newest<F: Files>(
        &mut self, files: &F, found: &mut BTreeMap<u64, (Header, u64)>,
    ) -> Result<Option<(u64, Option<SegmentLengths>)>, OpenError> {
        let first = loop {
            let Some(last) = found.last_entry() else { return Ok(None) };
            let name = file_name(*last.key());
            let first = files.read(&name, HEADER_BYTES as u64, FRAME_BYTES + MAX_RECORD_BYTES)?;
            if !format::is_truncated(&first) {
                break first;
            }
            // It was being begun.
            last.remove();
            self.obsolete_files.push(name);
        };
        let Some((newest, (header, _))) = found.last_key_value() else { return Ok(None) };
        let (newest, identity) = (*newest, header.identity);
        self.identity = Some(identity);
        let listed = match format::decode_record(newest, &first) {
            Some((Record::SegmentOpened { sealed, .. }, _)) => Some(sealed),
            _ => None,
        };
        let listed: Option<SegmentLengths> = listed.map(|sealed| {
            sealed.into_iter().map(|SealedSegment { segment, length }| (segment, length)).collect()
        });
        found.retain(|segment, (header, length)| {
            let own = header.identity == identity;
            if !own {
                self.report_foreign_file(file_name(*segment), *length, "it is of another journal".into());
            }
            own
        });
        found.retain(|segment, _| {
            // What is not listed is of no account: its removal failed, or it never was whole.
            let counters =
                *segment == newest || listed.as_ref().is_none_or(|listed| listed.contains_key(segment));
            if !counters {
                self.obsolete_files.push(file_name(*segment));
            }
            counters
        });
        Ok(Some((newest, listed)))
    }

    /// Reads one segment into the ledger. `listed`: how many of its bytes count, where a later one says so;
    /// `last`: bytes at its end that are no record were being written.
    fn scan_segment(
        &mut self, segment: u64, header: &Header, bytes: &[u8], (listed, last): (Option<u64>, bool),
        removed: &mut Vec<u64>, on_record: &mut dyn FnMut(u64, u64, &Record),
    ) {
        let bytes_on_disk = bytes.len() as u64;
        let listed = listed.unwrap_or(bytes_on_disk);
        if bytes_on_disk < listed {
            self.recovery.damage.push(Damage::Truncated {
                segment,
                length: bytes_on_disk,
                listed_length: listed,
            });
        }
        let bytes = &bytes[..listed.min(bytes_on_disk) as usize];
        let (mut position, mut records) = (HEADER_BYTES.min(bytes.len()), 0);
        while position < bytes.len() {
            if let Some((record, length)) = format::decode_record(segment, &bytes[position..]) {
                if let Record::SegmentRemoved { segment } = record {
                    removed.push(segment);
                }
                on_record(segment, position as u64, &record);
                self.index.replay(segment, &record);
                (position, records) = (position + length, records + 1);
                continue;
            }
            let next = format::find_next_record(segment, bytes, position + 1);
            if next.is_none() && last {
                self.recovery.torn_bytes = (bytes.len() - position) as u64;
                break;
            }
            let end = next.unwrap_or(bytes.len());
            let (offset, length) = (position as u64, (end - position) as u64);
            self.recovery.damage.push(Damage::InvalidBytes { segment, offset, length });
            self.index.assume_run(segment);
            position = end;
        }
        if bytes_on_disk < listed {
            self.index.assume_run(segment);
        }
        self.recovery.latest_timestamp = self.recovery.latest_timestamp.max(header.created_at);
        self.segments.insert(
            segment,
            ScannedSegment { length: position as u64, bytes_on_disk, created_at: header.created_at, records },
        );
    }
}
