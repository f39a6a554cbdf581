//! Repeatedly kills dispatchers at random moments, and counts how many of the kills interrupted a journal
//! compaction.

use crate::process::Process;
use crate::record::ProcessSignal;
use crate::scenario::KillerSettings;
use fawnspoke_journal::Disk;
use fawnspoke_journal::scan::scan;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time within which a killed process has exited.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Results of all kills of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kills {
    /// Kills of processes that were ready.
    pub count: usize,
    /// Kills that interrupted a compaction: a segment was partly or fully copied and not yet removed, or a new
    /// one was incomplete.
    pub compacting: usize,
    /// Messages found in the journals after the kills.
    pub recovered: usize,
    /// Kills after which the journal was damaged, which must never happen.
    pub damaged: usize,
}

/// Counters shared by the killers of all dispatchers.
#[derive(Default)]
pub struct KillCounter {
    started: AtomicUsize,
    count: AtomicUsize,
    compacting: AtomicUsize,
    recovered: AtomicUsize,
    damaged: AtomicUsize,
}

impl KillCounter {
    /// The results so far.
    pub fn kills(&self) -> Kills {
        let load = |counter: &AtomicUsize| counter.load(Ordering::SeqCst);
        Kills {
            count: load(&self.count),
            compacting: load(&self.compacting),
            recovered: load(&self.recovered),
            damaged: load(&self.damaged),
        }
    }

    /// Waits a random time, kills the process and examines its journal. Returns false where the requested
    /// number of kills is reached.
    pub async fn kill(&self, killer: &KillerSettings, process: &Process, rng: &mut fastrand::Rng) -> bool {
        if self.started.fetch_add(1, Ordering::SeqCst) >= killer.kills {
            return false;
        }
        let [min, max] = killer.interval_ms;
        sleep(Duration::from_micros(rng.u64(min * 1000..=max * 1000))).await;
        let deadline = Instant::now() + Duration::from_millis(killer.max_compaction_wait_ms);
        while Instant::now() < deadline {
            // Paused, so that the journal does not change between the scan and the kill.
            process.signal(ProcessSignal::Stop);
            if scan(&Disk::new(&process.state_dir()), 0).is_ok_and(|scan| scan.interrupted_compaction()) {
                break;
            }
            process.signal(ProcessSignal::Cont);
            sleep(Duration::from_micros(rng.u64(500..5000))).await;
        }
        process.signal(ProcessSignal::Kill);
        process.wait_for_exit(EXIT_TIMEOUT).await;
        self.count.fetch_add(1, Ordering::SeqCst);
        // An unreadable journal keeps the next process from starting, which shows in the record.
        if let Ok(scan) = scan(&Disk::new(&process.state_dir()), 0) {
            self.compacting.fetch_add(usize::from(scan.interrupted_compaction()), Ordering::SeqCst);
            self.recovered.fetch_add(scan.index.len(), Ordering::SeqCst);
            self.damaged.fetch_add(usize::from(!scan.recovery.damage.is_empty()), Ordering::SeqCst);
        }
        true
    }
}
