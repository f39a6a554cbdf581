//! A file system in memory that fails where it is told to, and forgets what a crash would lose.
#![allow(dead_code)]

pub mod model;

use fawnspoke_journal::Files;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;

#[derive(Clone, Debug, Default)]
struct Entry {
    bytes: Vec<u8>,
    /// Bytes that were synced.
    synced: usize,
    /// Its name was synced.
    named: bool,
}

/// What goes wrong at a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It fails, and nothing was done.
    Fails(i32),
    /// An append writes some bytes only.
    Short,
    /// An append writes some bytes and fails at the next call.
    ShortThenFails(i32),
    /// The machine or process stops in it; an append may have written any part.
    Stop,
}

#[derive(Default)]
struct State {
    files: BTreeMap<String, Entry>,
    removed: Vec<(String, Entry)>,
    calls: u64,
    /// Faults by the number of the call.
    faults: BTreeMap<u64, Fault>,
    /// Fails each call of this kind.
    failing: Option<(&'static str, i32)>,
    stopped: bool,
    /// Bytes of all files at most.
    space: Option<u64>,
    rng: Option<fastrand::Rng>,
    log: Vec<&'static str>,
}

/// The folder; clones are the same one.
#[derive(Clone, Default)]
pub struct Memory(Rc<RefCell<State>>);

pub const EIO: i32 = 5;
pub const ENOSPC: i32 = 28;

fn error(code: i32) -> io::Error {
    io::Error::from_raw_os_error(code)
}

impl Memory {
    pub fn new(seed: u64) -> Memory {
        let memory = Memory::default();
        memory.0.borrow_mut().rng = Some(fastrand::Rng::with_seed(seed));
        memory
    }

    pub fn calls(&self) -> u64 {
        self.0.borrow().calls
    }

    pub fn fault(&self, call: u64, fault: Fault) {
        self.0.borrow_mut().faults.insert(call, fault);
    }

    /// Every call of a kind fails from now on, or none.
    pub fn failing(&self, failing: Option<(&'static str, i32)>) {
        self.0.borrow_mut().failing = failing;
    }

    pub fn space(&self, space: Option<u64>) {
        self.0.borrow_mut().space = space;
    }

    pub fn stopped(&self) -> bool {
        self.0.borrow().stopped
    }

    /// What the next life finds after the process stopped: all that was written.
    pub fn revived(&self) -> Memory {
        let state = self.0.borrow();
        let next = Memory::new(state.calls ^ 0x5eed);
        next.0.borrow_mut().files = state.files.clone();
        next
    }

    /// What the next life finds after the power went: what was synced, and by chance some of the rest.
    pub fn after_power_cut(&self, seed: u64) -> Memory {
        let mut rng = fastrand::Rng::with_seed(seed);
        let state = self.0.borrow();
        let next = Memory::new(seed);
        let mut files = BTreeMap::new();
        for (name, entry) in &state.files {
            if !entry.named && rng.bool() {
                continue;
            }
            let kept = rng.usize(entry.synced..=entry.bytes.len());
            files.insert(
                name.clone(),
                Entry { bytes: entry.bytes[..kept].to_vec(), synced: kept, named: true },
            );
        }
        // A removal that was not synced may not have happened.
        for (name, entry) in &state.removed {
            if rng.bool() && !files.contains_key(name) {
                files.insert(name.clone(), entry.clone());
            }
        }
        next.0.borrow_mut().files = files;
        next
    }

    pub fn names(&self) -> Vec<String> {
        self.0.borrow().files.keys().cloned().collect()
    }

    pub fn bytes(&self, name: &str) -> Vec<u8> {
        self.0.borrow().files[name].bytes.clone()
    }

    pub fn put(&self, name: &str, bytes: Vec<u8>) {
        let synced = bytes.len();
        self.0.borrow_mut().files.insert(name.into(), Entry { bytes, synced, named: true });
    }

    pub fn drop_file(&self, name: &str) {
        self.0.borrow_mut().files.remove(name);
    }

    pub fn bytes_on_disk(&self) -> u64 {
        self.0.borrow().files.values().map(|entry| (entry.bytes.len() as u64).div_ceil(512) * 512).sum()
    }

    /// Counts a call; tells what goes wrong.
    fn call(&self, kind: &'static str) -> io::Result<Option<Fault>> {
        let mut state = self.0.borrow_mut();
        if state.stopped {
            return Err(error(EIO));
        }
        state.calls += 1;
        state.log.push(kind);
        if let Some((_, code)) = state.failing.filter(|(failing, _)| *failing == kind) {
            return Err(error(code));
        }
        let calls = state.calls;
        let fault = state.faults.get(&calls).copied();
        match fault {
            Some(Fault::Fails(code)) => Err(error(code)),
            Some(Fault::Stop) => {
                state.stopped = true;
                if kind == "append" { Ok(fault) } else { Err(error(EIO)) }
            }
            // Only an append can be short.
            Some(_) if kind != "append" => Err(error(EIO)),
            fault => Ok(fault),
        }
    }
}

impl Files for Memory {
    type Handle = String;

    fn list(&self) -> io::Result<Vec<(String, u64)>> {
        self.call("list")?;
        Ok(self
            .0
            .borrow()
            .files
            .iter()
            .map(|(name, entry)| (name.clone(), entry.bytes.len() as u64))
            .collect())
    }

    fn read(&self, name: &str, from: u64, most: usize) -> io::Result<Vec<u8>> {
        self.call("read")?;
        let state = self.0.borrow();
        let bytes = state.files.get(name).map(|entry| &entry.bytes).ok_or(error(2))?;
        let from = bytes.len().min(from as usize);
        Ok(bytes[from..from.saturating_add(most).min(bytes.len())].to_vec())
    }

    fn create(&self, name: &str) -> io::Result<String> {
        self.call("create")?;
        let mut state = self.0.borrow_mut();
        assert!(!state.files.contains_key(name), "{name} is there already");
        state.files.insert(name.into(), Entry::default());
        Ok(name.into())
    }

    fn append(&self, handle: &mut String, bytes: &[u8]) -> io::Result<usize> {
        let fault = self.call("append")?;
        let mut guard = self.0.borrow_mut();
        let state = &mut *guard;
        let used: u64 = state.files.values().map(|entry| entry.bytes.len() as u64).sum();
        let room = state.space.map_or(u64::MAX, |space| space.saturating_sub(used));
        if room == 0 {
            return Err(error(ENOSPC));
        }
        let rng = state.rng.as_mut().expect("a seed");
        let part =
            rng.usize(0..=bytes.len()).clamp(usize::from(fault != Some(Fault::Stop)), bytes.len().max(1));
        let written = match fault {
            None => bytes.len(),
            Some(_) => part,
        };
        let written = written.min(usize::try_from(room).unwrap_or(usize::MAX)).min(bytes.len());
        let entry = state.files.get_mut(handle).expect("an open file");
        entry.bytes.extend_from_slice(&bytes[..written]);
        match fault {
            Some(Fault::Stop) => Err(error(EIO)),
            Some(Fault::ShortThenFails(code)) => {
                let next = state.calls + 1;
                state.faults.insert(next, Fault::Fails(code));
                Ok(written)
            }
            _ => Ok(written),
        }
    }

    fn truncate(&self, handle: &mut String, length: u64) -> io::Result<()> {
        self.call("truncate")?;
        let mut state = self.0.borrow_mut();
        let entry = state.files.get_mut(handle).expect("an open file");
        entry.bytes.truncate(length as usize);
        entry.synced = entry.synced.min(length as usize);
        Ok(())
    }

    fn sync(&self, handle: &String) -> io::Result<()> {
        self.call("sync")?;
        let mut state = self.0.borrow_mut();
        let entry = state.files.get_mut(handle).expect("an open file");
        entry.synced = entry.bytes.len();
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.call("sync_folder")?;
        let mut state = self.0.borrow_mut();
        state.files.values_mut().for_each(|entry| entry.named = true);
        state.removed.clear();
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.call("remove")?;
        let mut state = self.0.borrow_mut();
        if let Some(entry) = state.files.remove(name) {
            state.removed.push((name.into(), entry));
        }
        Ok(())
    }
}
