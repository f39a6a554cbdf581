//! Reads a folder of segments and changes nothing: what is owed, what is damaged, which files are of no account.
//! Recovery begins with it, and so do the operators' commands. One segment is in memory at a time.

use crate::files::Files;
use crate::format::{self, FRAME, HEADER, Header, HeaderError, RECORD_MOST, Record, Sealed, UnixMicros};
use crate::journal::{Damage, OpenError, Recovery, file_name, file_number};
use crate::ledger::Ledger;
use crate::old;
use crate::plan::blocks;
use std::collections::BTreeMap;

/// A segment that counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// How many of its bytes count.
    pub length: u64,
    /// Its length on file.
    pub on_file: u64,
    /// When it was begun.
    pub created: UnixMicros,
    /// Sound records in it.
    pub records: u64,
}

/// What a folder holds.
#[derive(Debug)]
pub struct Survey {
    /// Whose journal it is; none where there is none of this format.
    pub identity: Option<u128>,
    /// Its segments that count, by number.
    pub segments: BTreeMap<u64, Segment>,
    /// What they say; calls without an end are out in it still.
    pub ledger: Ledger,
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
pub fn survey<F: Files>(files: &F, ends: usize) -> Result<Survey, OpenError> {
    visit(files, ends, &mut |_, _, _| ())
}

/// Surveys the files of a folder, and shows each sound record with its segment and offset as it is read.
///
/// # Errors
/// As for [`survey`].
pub fn visit<F: Files>(
    files: &F, ends: usize, seen: &mut dyn FnMut(u64, u64, &Record),
) -> Result<Survey, OpenError> {
    let mut survey = Survey {
        identity: None,
        segments: BTreeMap::new(),
        ledger: Ledger::new(ends),
        recovery: Recovery::default(),
        foreign: 0,
        remove: Vec::new(),
        next: 1,
        old: None,
    };
    let Headers { mut found, unfinished, is_old } = survey.headers(files)?;
    survey.remove = unfinished;
    if is_old {
        // It is removed last: what else is there are copies of it that were not finished. They bear the mark of
        // that file; others are a journal that an older program did not see.
        let bytes = files.read(old::FILE, 0, usize::MAX)?;
        let identity = old::identity(&bytes);
        if found.values().any(|(header, _)| header.identity != identity) {
            return Err(OpenError::Both);
        }
        let old = old::read(&bytes);
        survey.identity = Some(identity);
        survey.remove.extend(found.keys().map(|segment| file_name(*segment)));
        survey.recovery.torn = old.torn as u64;
        survey.recovery.carried = Some(old.messages.len());
        survey.old = Some(old);
        return Ok(survey);
    }
    survey.remove.push(old::NEXT_FILE.into());
    let Some((newest, listed)) = survey.newest(files, &mut found)? else { return Ok(survey) };
    for segment in found.keys() {
        survey.ledger.open(*segment);
    }
    let mut removed = Vec::new();
    for (segment, (header, _)) in &found {
        let listed = listed.as_ref().and_then(|listed| listed.get(segment)).copied();
        let bytes = files.read(&file_name(*segment), 0, usize::MAX)?;
        survey.segment(*segment, header, &bytes, (listed, *segment == newest), &mut removed, seen);
    }
    let mut missing: Vec<u64> =
        listed.iter().flatten().map(|(segment, _)| *segment).filter(|s| !found.contains_key(s)).collect();
    for segment in removed {
        missing.retain(|other| *other != segment);
        // All that counted of it stands in later segments. Its file is back after a power cut, or never went.
        if survey.segments.remove(&segment).is_some() {
            survey.remove.push(file_name(segment));
        }
    }
    for segment in missing {
        survey.recovery.damage.push(Damage::Missing { segment });
        survey.ledger.doubt(segment);
    }
    survey.recovery.latest = survey.recovery.latest.max(survey.ledger.latest());
    Ok(survey)
}

impl Survey {
    /// Whether the last life ended while it won room back: a segment is half emptied, or emptied and there still, or
    /// one was being begun.
    pub fn compacting(&self) -> bool {
        self.ledger.unfinished().is_some() || self.remove.iter().any(|name| file_number(name).is_some())
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
            let counts =
                *segment == newest || listed.as_ref().is_none_or(|listed| listed.contains_key(segment));
            if !counts {
                self.remove.push(file_name(*segment));
            }
            counts
        });
        Ok(Some((newest, listed)))
    }

    /// Reads one segment into the ledger. `listed`: how many of its bytes count, where a later one says so;
    /// `last`: bytes at its end that are no record were being written.
    fn segment(
        &mut self, segment: u64, header: &Header, bytes: &[u8], (listed, last): (Option<u64>, bool),
        removed: &mut Vec<u64>, seen: &mut dyn FnMut(u64, u64, &Record),
    ) {
        let on_file = bytes.len() as u64;
        let listed = listed.unwrap_or(on_file);
        if on_file < listed {
            self.recovery.damage.push(Damage::Cut { segment, length: on_file, listed });
        }
        let bytes = &bytes[..listed.min(on_file) as usize];
        let (mut at, mut records) = (HEADER.min(bytes.len()), 0);
        while at < bytes.len() {
            if let Some((record, length)) = format::unframe(segment, &bytes[at..]) {
                if let Record::Removed { segment } = record {
                    removed.push(segment);
                }
                seen(segment, at as u64, &record);
                self.ledger.replay(segment, &record);
                (at, records) = (at + length, records + 1);
                continue;
            }
            let next = format::next_sound(segment, bytes, at + 1);
            if next.is_none() && last {
                self.recovery.torn = (bytes.len() - at) as u64;
                break;
            }
            let end = next.unwrap_or(bytes.len());
            let (offset, length) = (at as u64, (end - at) as u64);
            self.recovery.damage.push(Damage::Bad { segment, offset, length });
            self.ledger.doubt(segment);
            at = end;
        }
        if on_file < listed {
            self.ledger.doubt(segment);
        }
        self.recovery.latest = self.recovery.latest.max(header.created);
        self.segments
            .insert(segment, Segment { length: at as u64, on_file, created: header.created, records });
    }
}
