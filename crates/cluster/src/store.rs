//! The member's persistent state: its identity and its log. Log records are synced before they are acknowledged to
//! other members, whatever durability the journal is configured for.

use crate::identity::Identity;
use crate::raft_types::{Entry, HardState, Snapshot};
use fawnspoke_handover::lock::{Lock, try_lock};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The fleet's directory within the dispatcher's state directory.
pub const DIRECTORY: &str = "fleet";
const IDENTITY: &str = "identity.json";
const LOG: &str = "log";
/// The first bytes of a log file.
const MAGIC: &[u8; 8] = b"fwnlog1\n";
/// Length of a record's header: its length and its checksum.
const RECORD_HEADER_BYTES: usize = 8;
/// Maximum length of a record.
const MAX_RECORD_BYTES: usize = 1 << 20;
/// Fraction of the allowed size at which the log is compacted even if no holder of the log maintenance duty requests
/// it. It is below one half because the compacted log is written next to the old one.
const COMPACTION_SHARE: f64 = 0.4;

/// One record of the log file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The term, vote and commit index.
    HardState(HardState),
    /// An entry. It replaces all entries from its own index on.
    Entry(Entry),
    /// The state at an index. It replaces all entries up to there.
    Snapshot(Snapshot),
}

/// Why the persistent state can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has it open.
    #[error("{0}: another process of this member has it")]
    Locked(PathBuf),
    /// An error of the directory or of a file in it.
    #[error("{path}: {source}")]
    Io {
        /// The file or directory.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A record that was once written completely can't be read.
    #[error("{path}: damaged at byte {at}; remove the folder to come back as a new member")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// The offset in it.
        at: usize,
    },
}

/// The open log of one member, locked for this process.
#[derive(Debug)]
pub struct Store {
    directory: PathBuf,
    log: File,
    size: u64,
    max_bytes: u64,
    _lock: Lock,
}

/// A store with what it contained when it was opened.
#[derive(Debug)]
pub struct OpenedStore {
    /// The store.
    pub store: Store,
    /// The member's identity, with a start count that no earlier process has had.
    pub identity: Identity,
    /// The records in the order in which they were written.
    pub records: Vec<Record>,
    /// Length of an incomplete last record. It was never acknowledged, and is removed.
    pub torn_bytes: usize,
}

impl Store {
    /// Opens the store in a dispatcher's state directory. A new store gets a new member id.
    ///
    /// # Errors
    /// [`StoreError::Locked`] if another process has it open; otherwise the fault of the directory or its files.
    pub fn open(state_dir: &Path, name: &str, max_disk_bytes: u64) -> Result<OpenedStore, StoreError> {
        let directory = state_dir.join(DIRECTORY);
        let io_error = |path: &Path| {
            let path = path.to_path_buf();
            move |source| StoreError::Io { path, source }
        };
        fs::create_dir_all(&directory).map_err(io_error(&directory))?;
        let lock = try_lock(&directory)
            .map_err(io_error(&directory))?
            .ok_or_else(|| StoreError::Locked(directory.clone()))?;
        let (identity_path, log_path) = (directory.join(IDENTITY), directory.join(LOG));
        let identity = match fs::read(&identity_path) {
            Ok(bytes) => serde_json::from_slice::<Identity>(&bytes)
                .ok()
                .filter(|identity| identity.id != 0 && identity.name == name)
                .ok_or_else(|| StoreError::Damaged { path: identity_path.clone(), at: 0 })?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                // Without an identity it is unknown whose votes and acknowledgements the log contains.
                if log_path.exists() {
                    return Err(StoreError::Damaged { path: log_path, at: 0 });
                }
                Identity { name: name.into(), id: fastrand::u64(1..), start_count: 0 }
            }
            Err(source) => return Err(StoreError::Io { path: identity_path, source }),
        };
        let identity = Identity { start_count: identity.start_count + 1, ..identity };
        let text = serde_json::to_vec(&identity).unwrap_or_default();
        replace_file(&directory, IDENTITY, &text).map_err(io_error(&identity_path))?;
        let bytes = match fs::read(&log_path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                replace_file(&directory, LOG, MAGIC).map_err(io_error(&log_path))?;
                MAGIC.to_vec()
            }
            read => read.map_err(io_error(&log_path))?,
        };
        let (records, valid_bytes) =
            decode_log(&bytes).map_err(|at| StoreError::Damaged { path: log_path.clone(), at })?;
        let log = OpenOptions::new().append(true).open(&log_path).map_err(io_error(&log_path))?;
        if valid_bytes < bytes.len() {
            log.set_len(valid_bytes as u64).and_then(|()| log.sync_all()).map_err(io_error(&log_path))?;
        }
        let store =
            Store { directory, log, size: valid_bytes as u64, max_bytes: max_disk_bytes, _lock: lock };
        Ok(OpenedStore { store, identity, records, torn_bytes: bytes.len() - valid_bytes })
    }

    /// Appends records, and syncs them if `sync` is set. After an error the store must not be used any more: what is on
    /// disk is known only after opening it again.
    ///
    /// # Errors
    /// Those of the file; `StorageFull` if the log would exceed its maximum size.
    pub fn append(&mut self, records: &[Record], sync: bool) -> io::Result<()> {
        let mut bytes = Vec::new();
        records.iter().try_for_each(|record| encode_record(record, &mut bytes))?;
        if self.size + bytes.len() as u64 > self.max_bytes {
            return Err(io::Error::new(io::ErrorKind::StorageFull, "over the bound of disk_mb"));
        }
        self.log.write_all(&bytes)?;
        self.size += bytes.len() as u64;
        if sync { self.log.sync_data() } else { Ok(()) }
    }

    /// Replaces the log by a new one that contains exactly these records.
    ///
    /// # Errors
    /// Those of the directory; the old log is unchanged then.
    pub fn replace(&mut self, records: &[Record]) -> io::Result<()> {
        let mut bytes = MAGIC.to_vec();
        records.iter().try_for_each(|record| encode_record(record, &mut bytes))?;
        replace_file(&self.directory, LOG, &bytes)?;
        self.log = OpenOptions::new().append(true).open(self.directory.join(LOG))?;
        self.size = bytes.len() as u64;
        Ok(())
    }

    /// Whether the log has reached the size at which it is compacted in any case.
    pub fn needs_compaction(&self) -> bool {
        self.size as f64 > COMPACTION_SHARE * self.max_bytes as f64
    }

    /// Size of the log in bytes.
    pub fn size(&self) -> u64 {
        self.size
    }
}

/// Discards this directory's identity and log, so that the next start gets a new member id. The files are renamed; one
/// old copy of each remains.
///
/// # Errors
/// Those of the directory.
pub fn discard_identity(state_dir: &Path) -> io::Result<()> {
    let directory = state_dir.join(DIRECTORY);
    for name in [IDENTITY, LOG] {
        match fs::rename(directory.join(name), directory.join(format!("{name}.old"))) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
    }
    File::open(&directory)?.sync_all()
}

/// Replaces a file atomically and syncs it and its directory.
fn replace_file(directory: &Path, name: &str, bytes: &[u8]) -> io::Result<()> {
    let next = directory.join(format!("{name}.next"));
    let mut file = File::create(&next)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(next, directory.join(name))?;
    File::open(directory)?.sync_all()
}

fn encode_record(record: &Record, output: &mut Vec<u8>) -> io::Result<()> {
    let payload = postcard::to_stdvec(record).map_err(io::Error::other)?;
    if payload.len() > MAX_RECORD_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "the record is too long"));
    }
    output.extend((payload.len() as u32).to_le_bytes());
    output.extend(crc32fast::hash(&payload).to_le_bytes());
    output.extend(payload);
    Ok(())
}

/// Decodes a log: returns its records and the length of their bytes. An incomplete last record is left out. The error
/// is the offset of a damaged record that was once complete, as shown by the bytes after it.
fn decode_log(bytes: &[u8]) -> Result<(Vec<Record>, usize), usize> {
    if bytes.get(..MAGIC.len()) != Some(&MAGIC[..]) {
        return Err(0);
    }
    let (mut records, mut at) = (Vec::new(), MAGIC.len());
    while let Some(header) = bytes.get(at..at + RECORD_HEADER_BYTES) {
        let little_endian =
            |bytes: &[u8]| bytes.iter().rev().fold(0u32, |value, byte| value << 8 | u32::from(*byte));
        let (length, checksum) = (little_endian(&header[..4]) as usize, little_endian(&header[4..]));
        let end = at + RECORD_HEADER_BYTES + length;
        let payload = bytes.get(at + RECORD_HEADER_BYTES..end).filter(|_| length <= MAX_RECORD_BYTES);
        let record = payload
            .filter(|payload| crc32fast::hash(payload) == checksum)
            .and_then(|payload| postcard::from_bytes(payload).ok());
        match record {
            Some(record) => records.push(record),
            // An interrupted write leaves the end of the record missing, or filled with zeros.
            None if payload.is_none()
                || bytes[at..].iter().rev().skip_while(|byte| **byte == 0).count()
                    <= RECORD_HEADER_BYTES + length =>
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

    fn create_state_dir(name: &str) -> PathBuf {
        let path = std::env::temp_dir().join(format!("fawnspoke-store-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        path
    }

    fn entry(index: u64) -> Record {
        Record::Entry(Entry { term: 1, index, change: None, data: vec![7; 20] })
    }

    #[test]
    fn records_and_identity_outlast_a_restart() {
        let state_dir = create_state_dir("restart");
        let mut first = Store::open(&state_dir, "a", 10_000).unwrap();
        assert_eq!((first.identity.start_count, first.records.len()), (1, 0));
        assert!(matches!(Store::open(&state_dir, "a", 10_000), Err(StoreError::Locked(_))));
        first.store.append(&[entry(1), entry(2)], true).unwrap();
        drop(first.store);
        let second = Store::open(&state_dir, "a", 10_000).unwrap();
        assert_eq!((second.identity.start_count, second.identity.id), (2, first.identity.id));
        assert_eq!(second.records, [entry(1), entry(2)]);
        drop(second.store);
        assert!(matches!(Store::open(&state_dir, "b", 10_000), Err(StoreError::Damaged { .. })));
        discard_identity(&state_dir).unwrap();
        let third = Store::open(&state_dir, "a", 10_000).unwrap();
        assert!(third.identity.id != first.identity.id && third.records.is_empty());
        fs::remove_dir_all(state_dir).unwrap();
    }

    #[test]
    fn a_torn_last_record_is_dropped_and_damage_before_it_is_an_error() {
        let state_dir = create_state_dir("torn");
        let mut opened = Store::open(&state_dir, "a", 10_000).unwrap();
        opened.store.append(&[entry(1), entry(2)], true).unwrap();
        drop(opened.store);
        let log = state_dir.join(DIRECTORY).join(LOG);
        let complete = fs::read(&log).unwrap();
        for missing_bytes in 1..30 {
            fs::write(&log, &complete[..complete.len() - missing_bytes]).unwrap();
            let opened = Store::open(&state_dir, "a", 10_000).unwrap();
            assert_eq!(opened.records, [entry(1)], "{missing_bytes}");
            assert!(opened.torn_bytes > 0);
        }
        let mut damaged = complete.clone();
        damaged[MAGIC.len() + RECORD_HEADER_BYTES + 3] ^= 1;
        fs::write(&log, &damaged).unwrap();
        assert!(matches!(Store::open(&state_dir, "a", 10_000), Err(StoreError::Damaged { at: 8, .. })));
        fs::remove_dir_all(state_dir).unwrap();
    }

    #[test]
    fn appending_stops_at_the_maximum_size_until_the_log_is_compacted() {
        let state_dir = create_state_dir("size");
        let mut store = Store::open(&state_dir, "a", 400).unwrap().store;
        let mut index = 1;
        while store.append(&[entry(index)], false).is_ok() {
            index += 1;
        }
        assert!(index > 5 && store.size() <= 400 && store.needs_compaction());
        store.replace(&[entry(index)]).unwrap();
        store.append(&[entry(index + 1)], true).unwrap();
        assert!(!store.needs_compaction());
        drop(store);
        assert_eq!(Store::open(&state_dir, "a", 400).unwrap().records, [entry(index), entry(index + 1)]);
        fs::remove_dir_all(state_dir).unwrap();
    }
}
