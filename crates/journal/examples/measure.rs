//! Measures the journal's latency, throughput and capacity, and those of a baseline: a single file that is rewritten
//! as a whole and swapped in, as the legacy format was.
//!
//! `cargo run --release -p fawnspoke-journal --example measure`

use fawnspoke_journal::compaction::Limits;
use fawnspoke_journal::{AcceptedMessage, AttemptStart, Durability, Journal, Options};
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The baseline: one file with records of the same sizes, rewritten with the live records once it is full.
struct RewrittenFile {
    directory: PathBuf,
    file: File,
    length: u64,
    live_bytes: u64,
    max_bytes: u64,
    open_records: BTreeMap<u64, Vec<u8>>,
    bytes_written: u64,
}

impl RewrittenFile {
    fn open(directory: &Path, max_bytes: u64) -> io::Result<RewrittenFile> {
        let file = OpenOptions::new().append(true).create(true).open(directory.join("swap"))?;
        let (directory, open_records) = (directory.to_path_buf(), BTreeMap::new());
        Ok(RewrittenFile {
            directory,
            file,
            length: 0,
            live_bytes: 0,
            max_bytes,
            open_records,
            bytes_written: 0,
        })
    }

    fn ensure_space(&mut self, bytes: u64, accepting: bool) -> io::Result<bool> {
        let required = if accepting { 2 * (bytes + 160) + 128 * 1024 } else { bytes };
        if self.length + self.live_bytes + required <= self.max_bytes {
            return Ok(true);
        }
        if accepting && 2 * self.live_bytes + required > self.max_bytes {
            return Ok(false);
        }
        let contents: Vec<u8> = self.open_records.values().flatten().copied().collect();
        fs::write(self.directory.join("swap.next"), &contents)?;
        self.file = OpenOptions::new().append(true).open(self.directory.join("swap.next"))?;
        fs::rename(self.directory.join("swap.next"), self.directory.join("swap"))?;
        self.length = contents.len() as u64;
        self.bytes_written += self.length;
        Ok(true)
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)?;
        (self.length, self.bytes_written) =
            (self.length + bytes.len() as u64, self.bytes_written + bytes.len() as u64);
        Ok(())
    }

    fn accept(&mut self, number: u64, message: &AcceptedMessage) -> io::Result<bool> {
        let mut bytes = vec![0; 48];
        bytes.extend_from_slice(message.id.as_bytes());
        bytes.extend_from_slice(message.class.as_bytes());
        bytes.extend_from_slice(&message.body);
        if !self.ensure_space(bytes.len() as u64, true)? {
            return Ok(false);
        }
        self.append(&bytes)?;
        self.live_bytes += bytes.len() as u64 + 160;
        self.open_records.insert(number, bytes);
        Ok(true)
    }

    fn record(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.ensure_space(bytes.len() as u64, false)?;
        self.append(bytes)
    }

    fn close(&mut self, number: u64) -> io::Result<()> {
        self.record(&[0; 16])?;
        if let Some(bytes) = self.open_records.remove(&number) {
            self.live_bytes -= bytes.len() as u64 + 160;
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

/// Latencies of operations.
#[derive(Default)]
struct Latencies(Vec<Duration>);

impl Latencies {
    fn measure<T>(&mut self, operation: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = operation();
        self.0.push(started.elapsed());
        result
    }

    fn summary(&mut self) -> String {
        self.0.sort();
        let millis_at =
            |quantile: f64| self.0[((self.0.len() - 1) as f64 * quantile) as usize].as_secs_f64() * 1e3;
        format!(
            "p50 {:.4} ms, p99.9 {:.3} ms, longest {:.3} ms",
            millis_at(0.5),
            millis_at(0.999),
            millis_at(1.0)
        )
    }
}

fn options(budget_bytes: u64) -> Options {
    Options {
        limits: Limits::for_budget(budget_bytes),
        durability: Durability::None,
        now: 1,
        identity: 1,
        remembered_outcomes: 4096,
    }
}

fn open(directory: &Path, budget_bytes: u64) -> Journal {
    Journal::open(directory, options(budget_bytes)).expect("a journal").0
}

/// Accepts, attempts and closes messages while `open_messages` others stay open, with one compaction step per message.
fn traffic(directory: &Path, open_messages: u64, messages: u64, budget_bytes: u64) -> io::Result<()> {
    println!(
        "\n{open_messages} open messages, {messages} accepted and closed, budget {:.0} MB",
        budget_bytes as f64 / 1e6
    );
    let path = directory.join("swap");
    fs::create_dir_all(&path)?;
    let mut rewritten = RewrittenFile::open(&path, budget_bytes)?;
    for i in 0..open_messages {
        assert!(rewritten.accept(i, &message(i))?, "no space for message {i}");
    }
    let (mut latencies, before, started) = (Latencies::default(), rewritten.bytes_written, Instant::now());
    for i in open_messages..open_messages + messages {
        latencies.measure(|| rewritten.accept(i, &message(i)))?;
        latencies.measure(|| rewritten.record(&[0; 24]))?;
        latencies.measure(|| rewritten.close(i - open_messages))?;
    }
    let (elapsed, written) = (started.elapsed().as_secs_f64(), rewritten.bytes_written - before);
    println!("  rewritten file: {}", latencies.summary());
    println!(
        "                 {:.0} messages/s, {} bytes written per message",
        messages as f64 / elapsed,
        written / messages
    );
    drop(rewritten);
    fs::remove_dir_all(&path)?;

    for with_compaction in [true, false] {
        let path = directory.join(format!("segments-{with_compaction}"));
        fs::create_dir_all(&path)?;
        // Without compaction, a budget that does not need it: this measures throughput alone.
        let mut journal = open(&path, if with_compaction { budget_bytes } else { 4 * budget_bytes });
        for i in 0..open_messages {
            assert!(journal.accept(&message(i))?.is_some(), "no space for message {i}");
        }
        let (mut latencies, before, started) =
            (Latencies::default(), journal.counters().bytes_written, Instant::now());
        let mut rejected = 0;
        for i in open_messages..open_messages + messages {
            rejected += u64::from(latencies.measure(|| journal.accept(&message(i)))?.is_none());
            latencies.measure(|| journal.attempt_started(i + 1, AttemptStart { at: i, zone: 0 }))?;
            latencies.measure(|| journal.close(i - open_messages + 1))?;
            if with_compaction {
                latencies.measure(|| journal.compact_step())?;
            }
        }
        let elapsed = started.elapsed().as_secs_f64();
        let counters = journal.counters();
        let name = if with_compaction { "segments:       " } else { "no compaction:  " };
        println!("  {name}{}", latencies.summary());
        println!(
            "                 {:.0} messages/s, {} bytes written per message, {} segments removed, {rejected} rejected",
            messages as f64 / elapsed,
            (counters.bytes_written - before) / messages,
            counters.segments_removed
        );
        drop(journal);
        let started = Instant::now();
        let journal = open(&path, if with_compaction { budget_bytes } else { 4 * budget_bytes });
        println!(
            "                 recovery of {} messages: {:.3} s",
            journal.iter().count(),
            started.elapsed().as_secs_f64()
        );
        drop(journal);
        fs::remove_dir_all(&path)?;
    }
    Ok(())
}

/// Compares how many messages of a few hundred bytes fit into a budget.
fn compare_capacity(directory: &Path, budget_bytes: u64) -> io::Result<()> {
    let path = directory.join("held");
    fs::create_dir_all(&path)?;
    let mut rewritten = RewrittenFile::open(&path, budget_bytes - 4 * 512)?;
    let before = (0..).take_while(|i| rewritten.accept(*i, &message(*i)).unwrap_or(false)).count();
    // Other files in the journal's directory would count against its budget.
    let journal_directory = path.join("own");
    fs::create_dir_all(&journal_directory)?;
    let mut journal = open(&journal_directory, budget_bytes - 512);
    let after = (0..).take_while(|i| matches!(journal.accept(&message(*i)), Ok(Some(_)))).count();
    println!(
        "open messages within {:.0} MB: rewritten file {before}, segments {after}",
        budget_bytes as f64 / 1e6
    );
    drop((rewritten, journal));
    fs::remove_dir_all(&path)
}

fn main() -> io::Result<()> {
    let directory = std::env::temp_dir().join(format!("fawnspoke-journal-{}", std::process::id()));
    fs::create_dir_all(&directory)?;
    compare_capacity(&directory, 3_000_000)?;
    compare_capacity(&directory, 300_000_000)?;
    traffic(&directory, 2_000, 50_000, 3_000_000)?;
    traffic(&directory, 10_000, 100_000, 30_000_000)?;
    traffic(&directory, 300_000, 600_000, 400_000_000)?;
    fs::remove_dir_all(&directory)
}
