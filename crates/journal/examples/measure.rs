//! What the journal costs, beside a baseline in the same run: one file that is written anew as a whole (two-file
//! swap), as the journal was kept before.
//!
//! `cargo run --release -p fawnspoke-journal --example measure`

use fawnspoke_journal::compaction::Limits;
use fawnspoke_journal::{AcceptedMessage, AttemptStart, Durability, Journal, Options};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The baseline: records of the same sizes, one file, written anew with what is live once it is full.
struct Swap {
    folder: PathBuf,
    file: File,
    length: u64,
    live: u64,
    most: u64,
    kept: BTreeMap<u64, Vec<u8>>,
    written: u64,
}

impl Swap {
    fn open(folder: &Path, most: u64) -> io::Result<Swap> {
        let file = OpenOptions::new().append(true).create(true).open(folder.join("swap"))?;
        let (folder, kept) = (folder.to_path_buf(), BTreeMap::new());
        Ok(Swap { folder, file, length: 0, live: 0, most, kept, written: 0 })
    }

    fn room(&mut self, more: u64, taking: bool) -> io::Result<bool> {
        let need = if taking { 2 * (more + 160) + 128 * 1024 } else { more };
        if self.length + self.live + need <= self.most {
            return Ok(true);
        }
        if taking && 2 * self.live + need > self.most {
            return Ok(false);
        }
        let bytes: Vec<u8> = self.kept.values().flatten().copied().collect();
        fs::write(self.folder.join("swap.next"), &bytes)?;
        self.file = OpenOptions::new().append(true).open(self.folder.join("swap.next"))?;
        fs::rename(self.folder.join("swap.next"), self.folder.join("swap"))?;
        self.length = bytes.len() as u64;
        self.written += self.length;
        Ok(true)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)?;
        (self.length, self.written) = (self.length + bytes.len() as u64, self.written + bytes.len() as u64);
        Ok(())
    }

    fn take(&mut self, number: u64, message: &AcceptedMessage) -> io::Result<bool> {
        let mut bytes = vec![0; 48];
        bytes.extend_from_slice(message.id.as_bytes());
        bytes.extend_from_slice(message.class.as_bytes());
        bytes.extend_from_slice(&message.body);
        if !self.room(bytes.len() as u64, true)? {
            return Ok(false);
        }
        self.append(&bytes)?;
        self.live += bytes.len() as u64 + 160;
        self.kept.insert(number, bytes);
        Ok(true)
    }

    fn note(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.room(bytes.len() as u64, false)?;
        self.append(bytes)
    }

    fn over(&mut self, number: u64) -> io::Result<()> {
        self.note(&[0; 16])?;
        if let Some(bytes) = self.kept.remove(&number) {
            self.live -= bytes.len() as u64 + 160;
        }
        Ok(())
    }
}

fn message(i: u64) -> AcceptedMessage {
    let body = vec![i as u8; 100 + (i * 37 % 400) as usize].into();
    let (id, class) = (format!("{i:016x}"), "charge-post".to_string());
    AcceptedMessage {
        id,
        class,
        destination: 1 + i as u32 % 20,
        accepted_at: i,
        deadline: i + 8_000_000,
        key: None,
        tenant: None,
        body,
    }
}

/// Times of operations, those longest.
#[derive(Default)]
struct Times(Vec<Duration>);

impl Times {
    fn of<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let begun = Instant::now();
        let done = work();
        self.0.push(begun.elapsed());
        done
    }

    fn told(&mut self) -> String {
        self.0.sort();
        let at = |share: f64| self.0[((self.0.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e3;
        format!("p50 {:.4} ms, p99.9 {:.3} ms, longest {:.3} ms", at(0.5), at(0.999), at(1.0))
    }
}

fn options(budget: u64) -> Options {
    Options {
        limits: Limits::for_budget(budget),
        durability: Durability::None,
        now: 1,
        identity: 1,
        remembered_outcomes: 4096,
    }
}

fn open(folder: &Path, budget: u64) -> Journal {
    Journal::open(folder, options(budget)).expect("a journal").0
}

/// Takes, calls and ends messages while `held` are held; each loop is a message and a step.
fn traffic(folder: &Path, held: u64, messages: u64, budget: u64) -> io::Result<()> {
    println!("\n{held} held, {messages} come and go, budget {:.0} MB", budget as f64 / 1e6);
    let at = folder.join("swap");
    fs::create_dir_all(&at)?;
    let mut swap = Swap::open(&at, budget)?;
    for i in 0..held {
        assert!(swap.take(i, &message(i))?, "no room for {i}");
    }
    let (mut times, before, begun) = (Times::default(), swap.written, Instant::now());
    for i in held..held + messages {
        times.of(|| swap.take(i, &message(i)))?;
        times.of(|| swap.note(&[0; 24]))?;
        times.of(|| swap.over(i - held))?;
    }
    let (took, written) = (begun.elapsed().as_secs_f64(), swap.written - before);
    println!("  two-file swap: {}", times.told());
    println!(
        "                 {:.0} messages a second, {} bytes written a message",
        messages as f64 / took,
        written / messages
    );
    drop(swap);
    fs::remove_dir_all(&at)?;

    for steps in [true, false] {
        let at = folder.join(format!("segments-{steps}"));
        fs::create_dir_all(&at)?;
        // Without steps: a budget that needs none, for the rate alone.
        let mut journal = open(&at, if steps { budget } else { 4 * budget });
        for i in 0..held {
            assert!(journal.accept(&message(i))?.is_some(), "no room for {i}");
        }
        let (mut times, before, begun) = (Times::default(), journal.counters().bytes_written, Instant::now());
        let mut refused = 0;
        for i in held..held + messages {
            refused += u64::from(times.of(|| journal.accept(&message(i)))?.is_none());
            times.of(|| journal.attempt_started(i + 1, AttemptStart { at: i, zone: 0 }))?;
            times.of(|| journal.close(i - held + 1))?;
            if steps {
                times.of(|| journal.compact_step())?;
            }
        }
        let took = begun.elapsed().as_secs_f64();
        let counts = journal.counters();
        let name = if steps { "segments:      " } else { "no compaction: " };
        println!("  {name}{}", times.told());
        println!(
            "                 {:.0} messages a second, {} bytes written a message, {} segments removed, {refused} refused",
            messages as f64 / took,
            (counts.bytes_written - before) / messages,
            counts.segments_removed
        );
        drop(journal);
        let begun = Instant::now();
        let journal = open(&at, if steps { budget } else { 4 * budget });
        println!(
            "                 recovery of {}: {:.3} s",
            journal.iter().count(),
            begun.elapsed().as_secs_f64()
        );
        drop(journal);
        fs::remove_dir_all(&at)?;
    }
    Ok(())
}

/// How many messages of a few hundred bytes fit.
fn held_at_most(folder: &Path, budget: u64) -> io::Result<()> {
    let at = folder.join("held");
    fs::create_dir_all(&at)?;
    let mut swap = Swap::open(&at, budget - 4 * 512)?;
    let before = (0..).take_while(|i| swap.take(*i, &message(*i)).unwrap_or(false)).count();
    // Other files in its folder would count against its budget.
    let own = at.join("own");
    fs::create_dir_all(&own)?;
    let mut journal = open(&own, budget - 512);
    let after = (0..).take_while(|i| matches!(journal.accept(&message(*i)), Ok(Some(_)))).count();
    println!("held at {:.0} MB: two-file swap {before}, segments {after}", budget as f64 / 1e6);
    drop((swap, journal));
    fs::remove_dir_all(&at)
}

fn main() -> io::Result<()> {
    let folder = std::env::temp_dir().join(format!("fawnspoke-journal-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    held_at_most(&folder, 3_000_000)?;
    held_at_most(&folder, 300_000_000)?;
    traffic(&folder, 2_000, 50_000, 3_000_000)?;
    traffic(&folder, 10_000, 100_000, 30_000_000)?;
    traffic(&folder, 300_000, 600_000, 400_000_000)?;
    fs::remove_dir_all(&folder)
}
