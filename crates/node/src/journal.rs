//! The journal: what this dispatcher owes, in one file that outlasts the process.
//!
//! Records are appended as things happen, each framed by its length and a checksum; a torn last record is
//! one that never happened. Nothing is synced: the file has to survive the process, not the machine. When
//! the budget of the disk nears its end, the file is written anew with only what is still owed.

use hyper::body::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Microseconds of Unix time: the only clock that means the same to the next process.
pub type UnixMicros = u64;

const FILE: &str = "journal";
const NEXT_FILE: &str = "journal.next";
/// Length and checksum before each record.
const FRAME: usize = 8;
/// Counted for each message on top of its record: its progress and a call that is out.
const OVERHEAD: u64 = 160;
/// Counted for each outage that is remembered.
const OUTAGE: u64 = 16;
/// Kept for the records that end what was taken: these must not fail for want of room.
const RESERVE: u64 = 128 * 1024;
/// Files count in blocks: two of them are lost to rounding.
const BLOCK: u64 = 512;

/// When and where a call was started.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start {
    pub at: UnixMicros,
    pub zone: u16,
}

/// How a message ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Notice {
    GivenUp,
    HandedBack { retry_in_ms: u64 },
}

/// A message as it was handed in.
#[derive(Clone, Debug, PartialEq)]
pub struct Handed {
    pub id: String,
    pub class: String,
    pub dest: u32,
    pub taken: UnixMicros,
    pub deadline: UnixMicros,
    pub key: Option<String>,
    pub body: Bytes,
}

/// A message that is not over.
#[derive(Clone, Debug)]
pub struct Kept {
    pub handed: Handed,
    /// Calls that were started.
    pub attempts: u32,
    /// The first call that may have run.
    pub may_have_run: Option<Start>,
    /// The call that is out.
    pub out: Option<Start>,
    /// The notice that is owed to the platform.
    pub notice: Option<Notice>,
}

impl Kept {
    /// Whether this is what is handed in once more; the body is gone once a notice is owed.
    pub fn is(&self, handed: &Handed) -> bool {
        let Handed { class, dest, key, body, .. } = &self.handed;
        (class, dest, key) == (&handed.class, &handed.dest, &handed.key)
            && (self.notice.is_some() || *body == handed.body)
    }
}

#[derive(Serialize, Deserialize)]
enum Record<'a> {
    Taken {
        number: u64,
        id: &'a str,
        class: &'a str,
        dest: u32,
        taken: UnixMicros,
        deadline: UnixMicros,
        key: Option<&'a str>,
        body: &'a [u8],
    },
    /// What came before this file was written anew.
    Past {
        number: u64,
        attempts: u32,
        may_have_run: Option<Start>,
    },
    Started {
        number: u64,
        start: Start,
    },
    Ended {
        number: u64,
        may_have_run: bool,
    },
    Owed {
        number: u64,
        notice: Notice,
    },
    Over {
        number: u64,
    },
    /// A destination is out or comes back cold; or it is as usual again.
    Outage {
        dest: u32,
        out: bool,
    },
}

fn taken(number: u64, handed: &Handed) -> Record<'_> {
    Record::Taken {
        number,
        id: &handed.id,
        class: &handed.class,
        dest: handed.dest,
        taken: handed.taken,
        deadline: handed.deadline,
        key: handed.key.as_deref(),
        body: &handed.body,
    }
}

fn frame(record: &Record) -> io::Result<Vec<u8>> {
    let mut bytes = postcard::to_extend(record, vec![0; FRAME]).map_err(io::Error::other)?;
    let (length, sum) = ((bytes.len() - FRAME) as u32, crc32fast::hash(&bytes[FRAME..]));
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes[4..FRAME].copy_from_slice(&sum.to_le_bytes());
    Ok(bytes)
}

/// The first record of `bytes` and how long it is with its frame; none where it is torn.
fn unframe(bytes: &[u8]) -> Option<(Record<'_>, usize)> {
    let (length, rest) = bytes.split_first_chunk::<4>()?;
    let (sum, rest) = rest.split_first_chunk::<4>()?;
    let length = u32::from_le_bytes(*length) as usize;
    let body = rest.get(..length)?;
    let whole = crc32fast::hash(body) == u32::from_le_bytes(*sum);
    Some((postcard::from_bytes(body).ok().filter(|_| whole)?, FRAME + length))
}

/// What is owed, in memory and on disk.
pub struct Journal {
    folder: PathBuf,
    file: File,
    /// Length of the file.
    length: u64,
    /// What a file written anew would hold at most.
    live: u64,
    most: u64,
    next: u64,
    kept: BTreeMap<u64, Kept>,
    numbers: HashMap<String, u64>,
    owed: BTreeSet<u64>,
    /// Destinations that are out or come back cold.
    outages: BTreeSet<u32>,
}

impl Journal {
    /// Replays the journal of the folder and writes it anew; its files stay under `most` bytes.
    pub fn open(folder: &Path, most: u64) -> io::Result<Journal> {
        let path = folder.join(FILE);
        // What an earlier process was writing anew when it was killed is no journal yet.
        match fs::remove_file(folder.join(NEXT_FILE)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
        let file = OpenOptions::new().append(true).create(true).open(&path)?;
        let mut journal = Journal {
            folder: folder.to_path_buf(),
            file,
            length: 0,
            live: 0,
            most: most.saturating_sub(4 * BLOCK),
            next: 1,
            kept: BTreeMap::new(),
            numbers: HashMap::new(),
            owed: BTreeSet::new(),
            outages: BTreeSet::new(),
        };
        let bytes = fs::read(&path)?;
        let mut rest = &bytes[..];
        while let Some((record, length)) = unframe(rest) {
            journal.apply(record);
            rest = &rest[length..];
        }
        if !rest.is_empty() {
            println!("journal: {} bytes of a torn record left out", rest.len());
        }
        // A call whose end was not recorded may have run.
        for kept in journal.kept.values_mut() {
            kept.may_have_run = kept.may_have_run.or(kept.out.take());
        }
        journal.compact()?;
        Ok(journal)
    }

    pub fn get(&self, number: u64) -> Option<&Kept> {
        self.kept.get(&number)
    }

    pub fn number(&self, id: &str) -> Option<u64> {
        self.numbers.get(id).copied()
    }

    pub fn iter(&self) -> impl Iterator<Item = (u64, &Kept)> {
        self.kept.iter().map(|(number, kept)| (*number, kept))
    }

    /// Destinations that were out, or back and cold, when this was last known.
    pub fn outages(&self) -> impl Iterator<Item = u32> {
        self.outages.iter().copied()
    }

    /// Messages that are neither delivered nor ended.
    pub fn open_messages(&self) -> usize {
        self.kept.len() - self.owed.len()
    }

    /// The first notices that are owed.
    pub fn owed(&self, most: usize) -> Vec<(u64, String, Notice)> {
        let kept = self.owed.iter().filter_map(|number| Some((*number, self.kept.get(number)?)));
        let owed = kept.filter_map(|(number, kept)| Some((number, kept.handed.id.clone(), kept.notice?)));
        owed.take(most).collect()
    }

    /// Takes a message on; none where there is no room for it.
    pub fn take(&mut self, handed: &Handed) -> io::Result<Option<u64>> {
        let number = self.next;
        let bytes = frame(&taken(number, handed))?;
        // Written anew, this file and the next must fit side by side.
        let need = 2 * (bytes.len() as u64 + OVERHEAD) + RESERVE;
        if self.length + self.live + need > self.most {
            if 2 * self.live + need > self.most {
                return Ok(None);
            }
            self.compact()?;
        }
        self.append(&bytes)?;
        self.apply(taken(number, handed));
        // The record that was applied copies the body; the one that came in is shared.
        if let Some(kept) = self.kept.get_mut(&number) {
            kept.handed.body = handed.body.clone();
        }
        Ok(Some(number))
    }

    /// A call is about to go out.
    pub fn started(&mut self, number: u64, start: Start) -> io::Result<()> {
        self.write(Record::Started { number, start })
    }

    /// A call has ended and the message is not delivered.
    pub fn ended(&mut self, number: u64, may_have_run: bool) -> io::Result<()> {
        self.write(Record::Ended { number, may_have_run })
    }

    /// The message ends undelivered; the platform has yet to hear.
    pub fn owe(&mut self, number: u64, notice: Notice) -> io::Result<()> {
        self.write(Record::Owed { number, notice })
    }

    /// Nothing more is owed for the message.
    pub fn over(&mut self, number: u64) -> io::Result<()> {
        self.write(Record::Over { number })
    }

    /// A destination is out or comes back cold; or it is as usual again.
    pub fn outage(&mut self, dest: u32, out: bool) -> io::Result<()> {
        self.write(Record::Outage { dest, out })
    }

    /// What happened is true even where it cannot be written: memory follows in any case.
    fn write(&mut self, record: Record) -> io::Result<()> {
        let bytes = frame(&record)?;
        let room =
            if self.length + self.live + bytes.len() as u64 > self.most { self.compact() } else { Ok(()) };
        let written = room.and_then(|()| self.append(&bytes));
        self.apply(record);
        written
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if let Err(error) = self.file.write_all(bytes) {
            // Half a record would hide all that comes after it.
            self.file.set_len(self.length)?;
            return Err(error);
        }
        self.length += bytes.len() as u64;
        Ok(())
    }

    fn apply(&mut self, record: Record) {
        match record {
            Record::Taken { number, id, class, dest, taken, deadline, key, body } => {
                let handed = Handed {
                    id: id.into(),
                    class: class.into(),
                    dest,
                    taken,
                    deadline,
                    key: key.map(Into::into),
                    body: Bytes::copy_from_slice(body),
                };
                self.next = self.next.max(number + 1);
                self.live += size(&handed);
                self.numbers.insert(id.into(), number);
                let kept = Kept { handed, attempts: 0, may_have_run: None, out: None, notice: None };
                self.kept.insert(number, kept);
            }
            Record::Past { number, attempts, may_have_run } => {
                if let Some(kept) = self.kept.get_mut(&number) {
                    (kept.attempts, kept.may_have_run) = (attempts, may_have_run);
                }
            }
            Record::Started { number, start } => {
                if let Some(kept) = self.kept.get_mut(&number) {
                    (kept.attempts, kept.out) = (kept.attempts + 1, Some(start));
                }
            }
            Record::Ended { number, may_have_run } => {
                if let Some(kept) = self.kept.get_mut(&number) {
                    let out = kept.out.take().filter(|_| may_have_run);
                    kept.may_have_run = kept.may_have_run.or(out);
                }
            }
            Record::Owed { number, notice } => {
                if let Some(kept) = self.kept.get_mut(&number) {
                    self.live -= size(&kept.handed);
                    (kept.notice, kept.handed.body) = (Some(notice), Bytes::new());
                    self.live += size(&kept.handed);
                    self.owed.insert(number);
                }
            }
            Record::Over { number } => {
                if let Some(kept) = self.kept.remove(&number) {
                    self.live -= size(&kept.handed);
                    self.owed.remove(&number);
                    if self.numbers.get(&kept.handed.id) == Some(&number) {
                        self.numbers.remove(&kept.handed.id);
                    }
                }
            }
            Record::Outage { dest, out } => {
                let changed = if out { self.outages.insert(dest) } else { self.outages.remove(&dest) };
                match (changed, out) {
                    (true, true) => self.live += OUTAGE,
                    (true, false) => self.live -= OUTAGE,
                    (false, _) => {}
                }
            }
        }
    }

    /// Writes the file anew with what is still owed. The old one stays until the new one is whole.
    fn compact(&mut self) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(self.live as usize);
        for (number, kept) in self.iter() {
            bytes.extend(frame(&taken(number, &kept.handed))?);
            let (attempts, may_have_run) = (kept.attempts - u32::from(kept.out.is_some()), kept.may_have_run);
            if attempts > 0 {
                bytes.extend(frame(&Record::Past { number, attempts, may_have_run })?);
            }
            if let Some(start) = kept.out {
                bytes.extend(frame(&Record::Started { number, start })?);
            }
            if let Some(notice) = kept.notice {
                bytes.extend(frame(&Record::Owed { number, notice })?);
            }
        }
        for dest in self.outages() {
            bytes.extend(frame(&Record::Outage { dest, out: true })?);
        }
        let next = self.folder.join(NEXT_FILE);
        let written = fs::write(&next, &bytes)
            .and_then(|()| OpenOptions::new().append(true).open(&next))
            .and_then(|file| fs::rename(&next, self.folder.join(FILE)).map(|()| file));
        match written {
            Ok(file) => (self.file, self.length) = (file, bytes.len() as u64),
            // Half a file would only take up room.
            Err(error) => return fs::remove_file(&next).and(Err(error)),
        }
        Ok(())
    }
}

/// What a message takes of a file written anew, at most.
fn size(handed: &Handed) -> u64 {
    let key = handed.key.as_ref().map_or(0, String::len);
    (handed.id.len() + handed.class.len() + key + handed.body.len()) as u64 + OVERHEAD
}
