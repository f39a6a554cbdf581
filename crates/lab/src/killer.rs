//! Kills dispatchers over and over, from outside and at moments that a seed draws, and tells how many of the kills
//! came while the journal was winning room back.

use crate::process::Process;
use crate::record::ProcessSignal;
use crate::scenario::KillerSettings;
use fawnspoke_journal::Disk;
use fawnspoke_journal::scan::scan;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// A process that was killed is gone by then.
const GONE: Duration = Duration::from_secs(10);

/// What the kills met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kills {
    /// Kills of a process that was ready.
    pub count: usize,
    /// Of these, in how many a segment was half emptied, or emptied and not yet removed, or one half begun.
    pub compacting: usize,
    /// Messages that the next lives found.
    pub found: usize,
    /// In how many lives the folder was damaged: no kill may do that.
    pub damaged: usize,
}

/// Counts for all dispatchers of a run.
#[derive(Default)]
pub struct Counter {
    begun: AtomicUsize,
    count: AtomicUsize,
    compacting: AtomicUsize,
    found: AtomicUsize,
    damaged: AtomicUsize,
}

impl Counter {
    /// The kills so far.
    pub fn kills(&self) -> Kills {
        let of = |count: &AtomicUsize| count.load(Ordering::SeqCst);
        Kills {
            count: of(&self.count),
            compacting: of(&self.compacting),
            found: of(&self.found),
            damaged: of(&self.damaged),
        }
    }

    /// Kills a process after a while, where one is due still, and looks at what it left. False where none is.
    pub async fn kill(&self, killer: &KillerSettings, process: &Process, rng: &mut fastrand::Rng) -> bool {
        if self.begun.fetch_add(1, Ordering::SeqCst) >= killer.kills {
            return false;
        }
        let [least, most] = killer.interval_ms;
        sleep(Duration::from_micros(rng.u64(least * 1000..=most * 1000))).await;
        let until = Instant::now() + Duration::from_millis(killer.max_compaction_wait_ms);
        while Instant::now() < until {
            // Held still, so that what is seen is what the kill meets.
            process.signal(ProcessSignal::Stop);
            if scan(&Disk::new(&process.state_dir()), 0).is_ok_and(|scan| scan.interrupted_compaction()) {
                break;
            }
            process.signal(ProcessSignal::Cont);
            sleep(Duration::from_micros(rng.u64(500..5000))).await;
        }
        process.signal(ProcessSignal::Kill);
        process.wait_for_exit(GONE).await;
        self.count.fetch_add(1, Ordering::SeqCst);
        // A folder that can't be read keeps the next life from starting, which the record tells.
        if let Ok(scan) = scan(&Disk::new(&process.state_dir()), 0) {
            self.compacting.fetch_add(usize::from(scan.interrupted_compaction()), Ordering::SeqCst);
            self.found.fetch_add(scan.index.len(), Ordering::SeqCst);
            self.damaged.fetch_add(usize::from(!scan.recovery.damage.is_empty()), Ordering::SeqCst);
        }
        true
    }
}
