//! Reads a journal directory without changing it: which messages are open, what is damaged and which files are
//! obsolete. Recovery and the operators' commands start with it. Only one segment is in memory at a time.

use crate::compaction::round_up_to_block;
use crate::files::Files;
use crate::format::{
    self, FRAME_BYTES, HEADER_BYTES, Header, HeaderError, MAX_RECORD_BYTES, Record, SealedSegment, UnixMicros,
};
use crate::index::MessageIndex;
use crate::journal::{Damage, OpenError, Recovery, file_name, parse_file_name};
use crate::legacy;
use std::collections::BTreeMap;

/// A segment that is part of the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ScannedSegment {
    /// Its valid length in bytes.
    pub length: u64,
    /// Length of its file.
    pub bytes_on_disk: u64,
    /// When it was started.
    pub created_at: UnixMicros,
    /// Number of valid records.
    pub records: u64,
}

/// The content of a journal directory.
#[derive(Debug)]
pub struct ScanResult {
    /// The journal's identity; `None` if there is no journal of the current format.
    pub identity: Option<u128>,
    /// The segments of the journal, by number.
    pub segments: BTreeMap<u64, ScannedSegment>,
    /// The state after all records. Attempts without an end record are still in flight in it.
    pub index: MessageIndex,
    /// What was found wrong.
    pub recovery: Recovery,
    /// Bytes of files that are not part of the journal, each rounded up to whole blocks.
    pub foreign_bytes: u64,
    /// Files to remove: leftovers of a crash while a segment was being started or removed.
    pub obsolete_files: Vec<String>,
    /// The lowest number above those of all segments.
    pub next_segment: u64,
    /// A journal of the legacy format. It is still authoritative, as any segments are copies of it from a migration
    /// that was not completed.
    pub(crate) legacy: Option<legacy::LegacyJournal>,
}

/// Valid lengths of segments in bytes, by number.
type SegmentLengths = BTreeMap<u64, u64>;

/// The headers of all segment files, and what else the directory holds.
struct Headers {
    /// Valid headers and file lengths by segment number.
    found: BTreeMap<u64, (Header, u64)>,
    /// Segment files with an incomplete header.
    incomplete: Vec<String>,
    has_legacy_file: bool,
}

/// Scans the files of a directory, remembering up to `remembered_outcomes` final outcomes of messages.
///
/// # Errors
/// If a newer program wrote a file, if there are journals of two formats, or if a file can't be read. See
/// [`OpenError`].
pub fn scan<F: Files>(files: &F, remembered_outcomes: usize) -> Result<ScanResult, OpenError> {
    scan_records(files, remembered_outcomes, &mut |_, _, _| ())
}

/// Scans the files of a directory and passes each valid record, with its segment and offset, to `on_record`.
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
        // A migration removes this file last, so segments with the identity derived from it are incomplete copies.
        // Any other identity is that of a journal which an older program, knowing only this file, did not read.
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
    let mut missing: Vec<u64> = listed
        .iter()
        .flatten()
        .map(|(segment, _)| *segment)
        .filter(|segment| !found.contains_key(segment))
        .collect();
    for segment in removed {
        missing.retain(|other| *other != segment);
        // Its live records are all in later segments. The removal failed or was undone by a power failure.
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
    /// Whether the last process stopped during compaction: a segment was partly copied, or copied and not yet removed,
    /// or a segment was being started.
    pub fn interrupted_compaction(&self) -> bool {
        self.index.partly_compacted().is_some()
            || self.obsolete_files.iter().any(|name| parse_file_name(name).is_some())
    }

    /// Reads the headers of all segment files.
    fn read_headers<F: Files>(&mut self, files: &F) -> Result<Headers, OpenError> {
        let mut headers = Headers { found: BTreeMap::new(), incomplete: Vec::new(), has_legacy_file: false };
        for (name, length) in files.list()? {
            headers.has_legacy_file |= name == legacy::FILE_NAME;
            let Some(number) = parse_file_name(&name) else {
                let is_legacy_file = name == legacy::FILE_NAME || name == legacy::TEMP_FILE_NAME;
                self.foreign_bytes += round_up_to_block(length) * u64::from(!is_legacy_file);
                continue;
            };
            self.next_segment = self.next_segment.max(number.saturating_add(1));
            let problem = match Header::parse(&files.read(&name, 0, HEADER_BYTES)?) {
                Ok(header) if header.segment == number => {
                    headers.found.insert(number, (header, length));
                    continue;
                }
                Ok(header) => format!("contains segment {}", header.segment),
                Err(HeaderError::Newer(version)) => return Err(OpenError::Newer { file: name, version }),
                // Nothing in this file was ever acknowledged.
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

    /// Reports a file with the name of a segment that is not part of this journal.
    fn report_foreign_file(&mut self, file: String, length: u64, problem: String) {
        self.foreign_bytes += round_up_to_block(length);
        self.recovery.damage.push(Damage::ForeignFile { file, problem });
    }

    /// Finds the newest segment whose first record is complete, and the lengths of the earlier segments that this
    /// record lists. Leaves only valid segments in `found`.
    fn find_newest<F: Files>(
        &mut self, files: &F, found: &mut BTreeMap<u64, (Header, u64)>,
    ) -> Result<Option<(u64, Option<SegmentLengths>)>, OpenError> {
        let first_record = loop {
            let Some(last) = found.last_entry() else { return Ok(None) };
            let name = file_name(*last.key());
            let first_record = files.read(&name, HEADER_BYTES as u64, FRAME_BYTES + MAX_RECORD_BYTES)?;
            if !format::is_truncated(&first_record) {
                break first_record;
            }
            // The process stopped while it was starting this segment.
            last.remove();
            self.obsolete_files.push(name);
        };
        let Some((newest, (header, _))) = found.last_key_value() else { return Ok(None) };
        let (newest, identity) = (*newest, header.identity);
        self.identity = Some(identity);
        let listed = match format::decode_record(newest, &first_record) {
            Some((Record::SegmentOpened { sealed, .. }, _)) => Some(sealed),
            _ => None,
        };
        let listed: Option<SegmentLengths> = listed.map(|sealed| {
            sealed.into_iter().map(|SealedSegment { segment, length }| (segment, length)).collect()
        });
        found.retain(|segment, (header, length)| {
            let is_own = header.identity == identity;
            if !is_own {
                self.report_foreign_file(file_name(*segment), *length, "belongs to another journal".into());
            }
            is_own
        });
        found.retain(|segment, _| {
            // An unlisted segment is obsolete: its removal failed, or it was never complete.
            let is_valid =
                *segment == newest || listed.as_ref().is_none_or(|listed| listed.contains_key(segment));
            if !is_valid {
                self.obsolete_files.push(file_name(*segment));
            }
            is_valid
        });
        Ok(Some((newest, listed)))
    }

    /// Reads one segment into the index. `listed` is its valid length according to a later segment. In the `last` one,
    /// invalid bytes at the end are an incomplete write and not damage.
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
