//! Reads a folder of segments and changes nothing: what is owed, what is damaged, which files are of no account.
//! Recovery begins with it, and so do the operators' commands. One segment is in memory at a time.

use crate::compaction::blocks;
use crate::files::Files;
use crate::format::{self, FRAME, HEADER, Header, HeaderError, RECORD_MOST, Record, Sealed, UnixMicros};
use crate::index::MessageIndex;
use crate::journal::{Damage, OpenError, Recovery, file_name, file_number};
use crate::old;
use std::collections::BTreeMap;

/// A segment that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// How many of its bytes count.
    pub length: u64,
    /// Its length on file.
    pub bytes_on_disk: u64,
    /// When it was begun.
    pub created: UnixMicros,
    /// Sound records in it.
    pub records: u64,
}

/// What a folder holds.
#[derive(Debug)]
pub struct ScanResult {
    /// Whose journal it is; none where there is none of this format.
    pub identity: Option<u128>,
    /// Its segments that count, by number.
    pub segments: BTreeMap<u64, Segment>,
    /// What they say; calls without an end are out in it still.
    pub index: MessageIndex,
    /// What was found wrong.
    pub recovery: Recovery,
    /// Files that are not the journal's, in bytes of whole blocks.
    pub foreign: u64,
    /// Files of no account: what a crash left of a segment that was being begun or removed.
    pub remove: Vec<String>,
    /// No segment has this number, or a higher one.
    pub next: u64,
    /// A file of the format before is there: it holds, and the segments are copies of it that were not finished.
    pub(crate) old: Option<old::Old>,
}

/// Segments by number, and how many of their bytes count.
type Lengths = BTreeMap<u64, u64>;

/// Reads the headers: the segments of this journal, and all else by what is wrong with it.
struct Headers {
    found: BTreeMap<u64, (Header, u64)>,
    unfinished: Vec<String>,
    is_old: bool,
}

/// Surveys the files of a folder; so many messages that are over are remembered.
///
/// # Errors
/// Where a file was written by a newer program, where journals of two formats stand side by side, or where a file
/// can't be read. [`OpenError`].
pub fn scan<F: Files>(files: &F, ends: usize) -> Result<ScanResult, OpenError> {
    scan_records(files, ends, &mut |_, _, _| ())
}

/// Surveys the files of a folder, and shows each sound record with its segment and offset as it is read.
///
/// # Errors
/// As for [`scan`].
pub fn scan_records<F: Files>(
    files: &F, ends: usize, seen: &mut dyn FnMut(u64, u64, &Record),
) -> Result<ScanResult, OpenError> {
    let mut scan = ScanResult {
        identity: None,
        segments: BTreeMap::new(),
        index: MessageIndex::new(ends),
        recovery: Recovery::default(),
        foreign: 0,
        remove: Vec::new(),
        next: 1,
        old: None,
    };
    let Headers { mut found, unfinished, is_old } = scan.headers(files)?;
    scan.remove = unfinished;
    if is_old {
        // It is removed last: what else is there are copies of it that were not finished. They bear the mark of
        // that file; others are a journal that an older program did not see.
        let bytes = files.read(old::FILE, 0, usize::MAX)?;
        let identity = old::identity(&bytes);
        if found.values().any(|(header, _)| header.identity != identity) {
            return Err(OpenError::Both);
        }
        let old = old::read(&bytes);
        scan.identity = Some(identity);
        scan.remove.extend(found.keys().map(|segment| file_name(*segment)));
        scan.recovery.torn_bytes = old.torn_bytes as u64;
        scan.recovery.migrated_messages = Some(old.messages.len());
        scan.old = Some(old);
        return Ok(scan);
    }
    scan.remove.push(old::NEXT_FILE.into());
    let Some((newest, listed)) = scan.newest(files, &mut found)? else { return Ok(scan) };
    for segment in found.keys() {
        scan.index.open(*segment);
    }
    let mut removed = Vec::new();
    for (segment, (header, _)) in &found {
        let listed = listed.as_ref().and_then(|listed| listed.get(segment)).copied();
        let bytes = files.read(&file_name(*segment), 0, usize::MAX)?;
        scan.segment(*segment, header, &bytes, (listed, *segment == newest), &mut removed, seen);
    }
    let mut missing: Vec<u64> =
        listed.iter().flatten().map(|(segment, _)| *segment).filter(|s| !found.contains_key(s)).collect();
    for segment in removed {
        missing.retain(|other| *other != segment);
        // All that counted of it stands in later segments. Its file is back after a power cut, or never went.
        if scan.segments.remove(&segment).is_some() {
            scan.remove.push(file_name(segment));
        }
    }
    for segment in missing {
        scan.recovery.damage.push(Damage::Missing { segment });
        scan.index.assume_run(segment);
    }
    scan.recovery.latest_timestamp = scan.recovery.latest_timestamp.max(scan.index.latest_timestamp());
    Ok(scan)
}

impl ScanResult {
    /// Whether the last life ended while it won room back: a segment is half emptied, or emptied and there still, or
    /// one was being begun.
    pub fn interrupted_compaction(&self) -> bool {
        self.index.unfinished().is_some() || self.remove.iter().any(|name| file_number(name).is_some())
    }

    fn headers<F: Files>(&mut self, files: &F) -> Result<Headers, OpenError> {
        let mut headers = Headers { found: BTreeMap::new(), unfinished: Vec::new(), is_old: false };
        for (name, length) in files.list()? {
            headers.is_old |= name == old::FILE;
            let Some(number) = file_number(&name) else {
                let known = name == old::FILE || name == old::NEXT_FILE;
                self.foreign += blocks(length) * u64::from(!known);
                continue;
            };
            self.next = self.next.max(number.saturating_add(1));
            let problem = match Header::read(&files.read(&name, 0, HEADER)?) {
                Ok(header) if header.segment == number => {
                    headers.found.insert(number, (header, length));
                    continue;
                }
                Ok(header) => format!("it holds segment {}", header.segment),
                Err(HeaderError::Newer(version)) => return Err(OpenError::Newer { file: name, version }),
                // No byte of it was promised to anybody.
                Err(HeaderError::Short) => {
                    headers.unfinished.push(name);
                    continue;
                }
                Err(error) => error.to_string(),
            };
            self.strange(name, length, problem);
        }
        Ok(headers)
    }

    fn strange(&mut self, file: String, length: u64, problem: String) {
        self.foreign += blocks(length);
        self.recovery.damage.push(Damage::Foreign { file, problem });
    }

    /// The newest segment whose first record is whole, and what that lists: the lengths of those that count.
    /// Leaves in `found` what is of account.
    fn newest<F: Files>(
        &mut self, files: &F, found: &mut BTreeMap<u64, (Header, u64)>,
    ) -> Result<Option<(u64, Option<Lengths>)>, OpenError> {
        let first = loop {
            let Some(last) = found.last_entry() else { return Ok(None) };
            let name = file_name(*last.key());
            let first = files.read(&name, HEADER as u64, FRAME + RECORD_MOST)?;
            if !format::cut_short(&first) {
                break first;
            }
            // It was being begun.
            last.remove();
            self.remove.push(name);
        };
        let Some((newest, (header, _))) = found.last_key_value() else { return Ok(None) };
        let (newest, identity) = (*newest, header.identity);
        self.identity = Some(identity);
        let listed = match format::unframe(newest, &first) {
            Some((Record::Opening { sealed, .. }, _)) => Some(sealed),
            _ => None,
        };
        let listed: Option<Lengths> = listed
            .map(|sealed| sealed.into_iter().map(|Sealed { segment, length }| (segment, length)).collect());
        found.retain(|segment, (header, length)| {
            let own = header.identity == identity;
            if !own {
                self.strange(file_name(*segment), *length, "it is of another journal".into());
            }
            own
        });
        found.retain(|segment, _| {
            // What is not listed is of no account: its removal failed, or it never was whole.
            let counters =
                *segment == newest || listed.as_ref().is_none_or(|listed| listed.contains_key(segment));
            if !counters {
                self.remove.push(file_name(*segment));
            }
            counters
        });
        Ok(Some((newest, listed)))
    }

    /// Reads one segment into the ledger. `listed`: how many of its bytes count, where a later one says so;
    /// `last`: bytes at its end that are no record were being written.
    fn segment(
        &mut self, segment: u64, header: &Header, bytes: &[u8], (listed, last): (Option<u64>, bool),
        removed: &mut Vec<u64>, seen: &mut dyn FnMut(u64, u64, &Record),
    ) {
        let bytes_on_disk = bytes.len() as u64;
        let listed = listed.unwrap_or(bytes_on_disk);
        if bytes_on_disk < listed {
            self.recovery.damage.push(Damage::Cut { segment, length: bytes_on_disk, listed });
        }
        let bytes = &bytes[..listed.min(bytes_on_disk) as usize];
        let (mut at, mut records) = (HEADER.min(bytes.len()), 0);
        while at < bytes.len() {
            if let Some((record, length)) = format::unframe(segment, &bytes[at..]) {
                if let Record::Removed { segment } = record {
                    removed.push(segment);
                }
                seen(segment, at as u64, &record);
                self.index.replay(segment, &record);
                (at, records) = (at + length, records + 1);
                continue;
            }
            let next = format::next_sound(segment, bytes, at + 1);
            if next.is_none() && last {
                self.recovery.torn_bytes = (bytes.len() - at) as u64;
                break;
            }
            let end = next.unwrap_or(bytes.len());
            let (offset, length) = (at as u64, (end - at) as u64);
            self.recovery.damage.push(Damage::Bad { segment, offset, length });
            self.index.assume_run(segment);
            at = end;
        }
        if bytes_on_disk < listed {
            self.index.assume_run(segment);
        }
        self.recovery.latest_timestamp = self.recovery.latest_timestamp.max(header.created);
        self.segments
            .insert(segment, Segment { length: at as u64, bytes_on_disk, created: header.created, records });
    }
}
