//! The record on disk: who the member is, and what of the log it has answered for. Synced before it is answered for,
//! whatever the journal's own durability.

use crate::identity::Identity;
use crate::raft_types::{Entry, HardState, Snapshot};
use fawnspoke_handover::lock::{Lock, try_lock};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The folder in the dispatcher's own that lasts.
pub const DIRECTORY: &str = "fleet";
const IDENTITY: &str = "identity.json";
const LOG: &str = "log";
/// What a log begins with.
const MAGIC: &[u8; 8] = b"fwnlog1\n";
/// A record's length and checksum.
const HEAD: usize = 8;
/// No record is longer, in bytes.
const RECORD_MOST: usize = 1 << 20;
/// Share of what may be on disk after which the log is cut, keeper or none: a cut writes a second file.
const CUT_SHARE: f64 = 0.4;

/// One record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// What a voter must not forget.
    HardState(HardState),
    /// An entry; all from its place on are gone.
    Entry(Entry),
    /// The state at a place; all up to it is in it.
    Snapshot(Snapshot),
}

/// Why a record can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has it.
    #[error("{0}: another process of this member has it")]
    Locked(PathBuf),
    /// The folder or a file in it.
    #[error("{path}: {source}")]
    Io {
        /// Which.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// It was written whole and does not read so.
    #[error("{path}: damaged at byte {at}; remove the folder to come back as a new member")]
    Damaged {
        /// Which file.
        path: PathBuf,
        /// Where.
        at: usize,
    },
}

/// The record of one member, held alone.
#[derive(Debug)]
pub struct Store {
    folder: PathBuf,
    log: File,
    size: u64,
    most: u64,
    _lock: Lock,
}

/// What a store held when it was opened.
#[derive(Debug)]
pub struct OpenedStore {
    /// The store.
    pub store: Store,
    /// Who the member is, in a life that no earlier process had.
    pub identity: Identity,
    /// Its records, in their order.
    pub records: Vec<Record>,
    /// Bytes of a last record that was not whole: it was never answered for.
    pub torn_bytes: usize,
}

impl Store {
    /// Opens the record below a dispatcher's folder; a new one draws a birth.
    ///
    /// # Errors
    /// [`StoreError::Locked`] where another process has it; else what is wrong with the folder.
    pub fn open(state: &Path, name: &str, disk_most: u64) -> Result<OpenedStore, StoreError> {
        let folder = state.join(DIRECTORY);
        let io = |path: &Path| {
            let path = path.to_path_buf();
            move |source| StoreError::Io { path, source }
        };
        fs::create_dir_all(&folder).map_err(io(&folder))?;
        let lock =
            try_lock(&folder).map_err(io(&folder))?.ok_or_else(|| StoreError::Locked(folder.clone()))?;
        let (who, path) = (folder.join(IDENTITY), folder.join(LOG));
        let identity = match fs::read(&who) {
            Ok(bytes) => serde_json::from_slice::<Identity>(&bytes)
                .ok()
                .filter(|identity| identity.id != 0 && identity.name == name)
                .ok_or_else(|| StoreError::Damaged { path: who.clone(), at: 0 })?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                // A log without its owner's name can't be answered for.
                if path.exists() {
                    return Err(StoreError::Damaged { path, at: 0 });
                }
                Identity { name: name.into(), id: fastrand::u64(1..), start_count: 0 }
            }
            Err(source) => return Err(StoreError::Io { path: who, source }),
        };
        let identity = Identity { start_count: identity.start_count + 1, ..identity };
        let text = serde_json::to_vec(&identity).unwrap_or_default();
        replace(&folder, IDENTITY, &text).map_err(io(&who))?;
        let bytes = match fs::read(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                replace(&folder, LOG, MAGIC).map_err(io(&path))?;
                MAGIC.to_vec()
            }
            read => read.map_err(io(&path))?,
        };
        let (records, whole) = read(&bytes).map_err(|at| StoreError::Damaged { path: path.clone(), at })?;
        let log = OpenOptions::new().append(true).open(&path).map_err(io(&path))?;
        if whole < bytes.len() {
            log.set_len(whole as u64).and_then(|()| log.sync_all()).map_err(io(&path))?;
        }
        let store = Store { folder, log, size: whole as u64, most: disk_most, _lock: lock };
        Ok(OpenedStore { store, identity, records, torn_bytes: bytes.len() - whole })
    }

    /// Adds records, and has them outlast the machine where `sync`. After an error the store is of no more use: what is
    /// on disk is known only by opening it anew.
    ///
    /// # Errors
    /// Those of the file; `StorageFull` where it would take more than it may.
    pub fn append(&mut self, records: &[Record], sync: bool) -> io::Result<()> {
        let mut bytes = Vec::new();
        records.iter().try_for_each(|record| write(record, &mut bytes))?;
        if self.size + bytes.len() as u64 > self.most {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "over the bound of disk_mb"));
        }
        self.log.write_all(&bytes)?;
        self.size += bytes.len() as u64;
        if sync { self.log.sync_data() } else { Ok(()) }
    }

    /// Writes a log anew that holds these records and no others.
    ///
    /// # Errors
    /// Those of the folder; the old log is as it was then.
    pub fn replace(&mut self, records: &[Record]) -> io::Result<()> {
        let mut bytes = MAGIC.to_vec();
        records.iter().try_for_each(|record| write(record, &mut bytes))?;
        replace(&self.folder, LOG, &bytes)?;
        self.log = OpenOptions::new().append(true).open(self.folder.join(LOG))?;
        self.size = bytes.len() as u64;
        Ok(())
    }

    /// Whether the log is to be cut, whatever its keeper says.
    pub fn needs_compaction(&self) -> bool {
        self.size as f64 > CUT_SHARE * self.most as f64
    }

    /// Bytes of the log.
    pub fn size(&self) -> u64 {
        self.size
    }
}

/// The member of this folder is no more: what it knew is moved aside, and the next start draws a new birth. One old
/// folder is kept.
///
/// # Errors
/// Those of the folder.
pub fn discard_identity(state: &Path) -> io::Result<()> {
    let folder = state.join(DIRECTORY);
    for name in [IDENTITY, LOG] {
        match fs::rename(folder.join(name), folder.join(format!("{name}.old"))) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
    }
    File::open(&folder)?.sync_all()
}

/// Writes a file in place of another at one go, and has it outlast the machine.
fn replace(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let next = folder.join(format!("{name}.next"));
    let mut file = File::create(&next)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(next, folder.join(name))?;
    File::open(folder)?.sync_all()
}

fn write(record: &Record, into: &mut Vec<u8>) -> io::Result<()> {
    let payload = postcard::to_stdvec(record).map_err(io::Error::other)?;
    if payload.len() > RECORD_MOST {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "a record that is too long"));
    }
    into.extend((payload.len() as u32).to_le_bytes());
    into.extend(crc32fast::hash(&payload).to_le_bytes());
    into.extend(payload);
    Ok(())
}

/// The records, and the bytes that they take; a last one that is not whole is left out. The error is the place of one
/// that was whole once: something follows it.
fn read(bytes: &[u8]) -> Result<(Vec<Record>, usize), usize> {
    if bytes.get(..MAGIC.len()) != Some(&MAGIC[..]) {
        return Err(0);
    }
    let (mut records, mut at) = (Vec::new(), MAGIC.len());
    while let Some(head) = bytes.get(at..at + HEAD) {
        let number = |bytes: &[u8]| bytes.iter().rev().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte));
        let (length, crc) = (number(&head[..4]) as usize, number(&head[4..]));
        let end = at + HEAD + length;
        let payload = bytes.get(at + HEAD..end).filter(|_| length <= RECORD_MOST);
        let record = payload
            .filter(|payload| crc32fast::hash(payload) == crc)
            .and_then(|payload| postcard::from_bytes(payload).ok());
        match record {
            Some(record) => records.push(record),
            // A write that was cut off leaves its end missing, or as zeros.
            None if payload.is_none()
                || bytes[at..].iter().rev().skip_while(|b| **b == 0).count() <= HEAD + length =>
            {
                return Ok((records, at));
            }
            None => return Err(at),
        }
        at = end;
    }
    Ok((records, at))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("fawnspoke-store-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        folder
    }

    fn entry(index: u64) -> Record {
        Record::Entry(Entry { term: 1, index, change: None, data: vec![7; 20] })
    }

    #[test]
    fn what_was_written_is_read_in_the_next_life() {
        let state = folder("lives");
        let mut first = Store::open(&state, "a", 10_000).unwrap();
        assert_eq!((first.identity.start_count, first.records.len()), (1, 0));
        assert!(matches!(Store::open(&state, "a", 10_000), Err(StoreError::Locked(_))));
        first.store.append(&[entry(1), entry(2)], true).unwrap();
        drop(first.store);
        let second = Store::open(&state, "a", 10_000).unwrap();
        assert_eq!((second.identity.start_count, second.identity.id), (2, first.identity.id));
        assert_eq!(second.records, [entry(1), entry(2)]);
        drop(second.store);
        assert!(matches!(Store::open(&state, "b", 10_000), Err(StoreError::Damaged { .. })));
        discard_identity(&state).unwrap();
        let third = Store::open(&state, "a", 10_000).unwrap();
        assert!(third.identity.id != first.identity.id && third.records.is_empty());
        fs::remove_dir_all(state).unwrap();
    }

    #[test]
    fn a_torn_end_never_was_and_damage_before_it_is_said() {
        let state = folder("torn");
        let mut opened = Store::open(&state, "a", 10_000).unwrap();
        opened.store.append(&[entry(1), entry(2)], true).unwrap();
        drop(opened.store);
        let log = state.join(DIRECTORY).join(LOG);
        let whole = fs::read(&log).unwrap();
        for cut in 1..30 {
            fs::write(&log, &whole[..whole.len() - cut]).unwrap();
            let opened = Store::open(&state, "a", 10_000).unwrap();
            assert_eq!(opened.records, [entry(1)], "{cut}");
            assert!(opened.torn_bytes > 0);
        }
        let mut damaged = whole.clone();
        damaged[MAGIC.len() + HEAD + 3] ^= 1;
        fs::write(&log, &damaged).unwrap();
        assert!(matches!(Store::open(&state, "a", 10_000), Err(StoreError::Damaged { at: 8, .. })));
        fs::remove_dir_all(state).unwrap();
    }

    #[test]
    fn it_takes_no_more_than_it_may_and_a_cut_makes_room() {
        let state = folder("room");
        let mut store = Store::open(&state, "a", 400).unwrap().store;
        let mut at = 1;
        while store.append(&[entry(at)], false).is_ok() {
            at += 1;
        }
        assert!(at > 5 && store.size() <= 400 && store.needs_compaction());
        store.replace(&[entry(at)]).unwrap();
        store.append(&[entry(at + 1)], true).unwrap();
        assert!(!store.needs_compaction());
        drop(store);
        assert_eq!(Store::open(&state, "a", 400).unwrap().records, [entry(at), entry(at + 1)]);
        fs::remove_dir_all(state).unwrap();
    }
}
