//! An in-memory file system that injects faults and discards what a crash would lose.
#![allow(dead_code)]

pub mod model;

use fawnspoke_journal::Files;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

#[derive(Clone, Debug, Default)]
struct MemoryFile {
    bytes: Vec<u8>,
    /// Length of the synced data.
    synced_length: usize,
    /// Whether the directory entry was synced.
    name_synced: bool,
}

/// What goes wrong during a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails with this error code and has no effect.
    Error(i32),
    /// An append writes only a part of its data.
    ShortWrite,
    /// An append writes only a part of its data, and the next call fails.
    ShortWriteThenError(i32),
    /// The process or machine crashes during the call; an append may have written any part of its data.
    Crash,
}

#[derive(Default)]
struct State {
    files: BTreeMap<String, MemoryFile>,
    unsynced_removals: Vec<(String, MemoryFile)>,
    calls: u64,
    /// Faults by the number of the call.
    faults: BTreeMap<u64, Fault>,
    /// Kind of the calls that all fail, and their error code.
    failing_call: Option<(&'static str, i32)>,
    crashed: bool,
    /// Limit for the bytes of all files.
    capacity: Option<u64>,
    rng: Option<fastrand::Rng>,
    log: Vec<&'static str>,
}

/// The directory. Clones share their state.
#[derive(Clone, Default)]
pub struct MemoryFiles(Rc<RefCell<State>>);

pub const EIO: i32 = 5;
pub const ENOSPC: i32 = 28;

fn os_error(code: i32) -> io::Error {
    io::Error::from_raw_os_error(code)
}

impl MemoryFiles {
    pub fn new(seed: u64) -> MemoryFiles {
        let files = MemoryFiles::default();
        files.0.borrow_mut().rng = Some(fastrand::Rng::with_seed(seed));
        files
    }

    pub fn calls(&self) -> u64 {
        self.0.borrow().calls
    }

    pub fn inject_fault(&self, call: u64, fault: Fault) {
        self.0.borrow_mut().faults.insert(call, fault);
    }

    /// From now on, fails every call of the given kind with the given error code; `None` ends that.
    pub fn fail_every(&self, failing_call: Option<(&'static str, i32)>) {
        self.0.borrow_mut().failing_call = failing_call;
    }

    pub fn limit_space(&self, capacity: Option<u64>) {
        self.0.borrow_mut().capacity = capacity;
    }

    pub fn crashed(&self) -> bool {
        self.0.borrow().crashed
    }

    /// The directory after a process crash: everything that was written.
    pub fn after_process_crash(&self) -> MemoryFiles {
        let state = self.0.borrow();
        let next = MemoryFiles::new(state.calls ^ 0x5eed);
        next.0.borrow_mut().files = state.files.clone();
        next
    }

    /// The directory after a power failure: everything that was synced, and a random part of the rest.
    pub fn after_power_failure(&self, seed: u64) -> MemoryFiles {
        let mut rng = fastrand::Rng::with_seed(seed);
        let state = self.0.borrow();
        let next = MemoryFiles::new(seed);
        let mut files = BTreeMap::new();
        for (name, file) in &state.files {
            if !file.name_synced && rng.bool() {
                continue;
            }
            let surviving_length = rng.usize(file.synced_length..=file.bytes.len());
            files.insert(
                name.clone(),
                MemoryFile {
                    bytes: file.bytes[..surviving_length].to_vec(),
                    synced_length: surviving_length,
                    name_synced: true,
                },
            );
        }
        // A removal that was not synced may be undone.
        for (name, file) in &state.unsynced_removals {
            if rng.bool() && !files.contains_key(name) {
                files.insert(name.clone(), file.clone());
            }
        }
        next.0.borrow_mut().files = files;
        next
    }

    pub fn file_names(&self) -> Vec<String> {
        self.0.borrow().files.keys().cloned().collect()
    }

    pub fn file_bytes(&self, name: &str) -> Vec<u8> {
        self.0.borrow().files[name].bytes.clone()
    }

    pub fn put_file(&self, name: &str, bytes: Vec<u8>) {
        let synced_length = bytes.len();
        self.0.borrow_mut().files.insert(name.into(), MemoryFile { bytes, synced_length, name_synced: true });
    }

    pub fn delete_file(&self, name: &str) {
        self.0.borrow_mut().files.remove(name);
    }

    pub fn bytes_on_disk(&self) -> u64 {
        self.0.borrow().files.values().map(|file| (file.bytes.len() as u64).div_ceil(512) * 512).sum()
    }

    /// Counts a call and returns the fault to apply to it.
    fn begin_call(&self, kind: &'static str) -> io::Result<Option<Fault>> {
        let mut state = self.0.borrow_mut();
        if state.crashed {
            return Err(os_error(EIO));
        }
        state.calls += 1;
        state.log.push(kind);
        if let Some((_, code)) = state.failing_call.filter(|(failing_kind, _)| *failing_kind == kind) {
            return Err(os_error(code));
        }
        let call = state.calls;
        let fault = state.faults.get(&call).copied();
        match fault {
            Some(Fault::Error(code)) => Err(os_error(code)),
            Some(Fault::Crash) => {
                state.crashed = true;
                if kind == "append" { Ok(fault) } else { Err(os_error(EIO)) }
            }
            // Only an append can be short; any other call fails instead.
            Some(_) if kind != "append" => Err(os_error(EIO)),
            fault => Ok(fault),
        }
    }
}

impl Files for MemoryFiles {
    type Handle = String;

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        self.begin_call("list")?;
        Ok(self.0.borrow().files.iter().map(|(name, file)| (name.clone(), file.bytes.len() as u64)).collect())
    }

    fn read(&self, name: &str, from: u64, max_bytes: usize) -> io::Result<Vec<u8>> {
        self.begin_call("read")?;
        let state = self.0.borrow();
        let bytes = state.files.get(name).map(|file| &file.bytes).ok_or(os_error(2))?;
        let from = bytes.len().min(from as usize);
        Ok(bytes[from..from.saturating_add(max_bytes).min(bytes.len())].to_vec())
    }

    fn create(&self, name: &str) -> io::Result<String> {
        self.begin_call("create")?;
        let mut state = self.0.borrow_mut();
        assert!(!state.files.contains_key(name), "{name} already exists");
        state.files.insert(name.into(), MemoryFile::default());
        Ok(name.into())
    }

    fn append(&self, handle: &mut String, bytes: &[u8]) -> io::Result<usize> {
        let fault = self.begin_call("append")?;
        let mut guard = self.0.borrow_mut();
        let state = &mut *guard;
        let used: u64 = state.files.values().map(|file| file.bytes.len() as u64).sum();
        let available = state.capacity.map_or(u64::MAX, |capacity| capacity.saturating_sub(used));
        if available == 0 {
            return Err(os_error(ENOSPC));
        }
        let rng = state.rng.as_mut().expect("a random generator");
        let part_length =
            rng.usize(0..=bytes.len()).clamp(usize::from(fault != Some(Fault::Crash)), bytes.len().max(1));
        let written = match fault {
            None => bytes.len(),
            Some(_) => part_length,
        };
        let written = written.min(usize::try_from(available).unwrap_or(usize::MAX)).min(bytes.len());
        let file = state.files.get_mut(handle).expect("an open file");
        file.bytes.extend_from_slice(&bytes[..written]);
        match fault {
            Some(Fault::Crash) => Err(os_error(EIO)),
            Some(Fault::ShortWriteThenError(code)) => {
                let next = state.calls + 1;
                state.faults.insert(next, Fault::Error(code));
                Ok(written)
            }
            _ => Ok(written),
        }
    }

    fn truncate(&self, handle: &mut String, length: u64) -> io::Result<()> {
        self.begin_call("truncate")?;
        let mut state = self.0.borrow_mut();
        let file = state.files.get_mut(handle).expect("an open file");
        file.bytes.truncate(length as usize);
        file.synced_length = file.synced_length.min(length as usize);
        Ok(())
    }

    fn sync(&self, handle: &String) -> io::Result<()> {
        self.begin_call("sync")?;
        let mut state = self.0.borrow_mut();
        let file = state.files.get_mut(handle).expect("an open file");
        file.synced_length = file.bytes.len();
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.begin_call("sync_directory")?;
        let mut state = self.0.borrow_mut();
        state.files.values_mut().for_each(|file| file.name_synced = true);
        state.unsynced_removals.clear();
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.begin_call("remove")?;
        let mut state = self.0.borrow_mut();
        if let Some(file) = state.files.remove(name) {
            state.unsynced_removals.push((name.into(), file));
        }
        Ok(())
    }
}
