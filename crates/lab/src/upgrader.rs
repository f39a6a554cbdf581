//! Repeatedly upgrades dispatchers: starts a second process beside the first and stops the first once the
//! second is serving. In some upgrades the old process, the new one or both are killed at a random moment.

use crate::process::{Process, SpawnedProcess, is_serving};
use crate::record::{Event, ProcessSignal, Recorder};
use crate::scenario::UpgraderSettings;
use hdrhistogram::Histogram;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time within which the new process has to report that it is serving, as on the platform.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
/// Time within which the old process has to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_millis(3700);
/// Time within which the surviving process has to serve after a kill.
const SURVIVOR_TIMEOUT: Duration = Duration::from_secs(6);
/// Time within which a killed process has exited.
const KILL_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Which process is killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Victim {
    Old,
    New,
    Both,
}

/// Results of all upgrades of a run.
#[derive(Default)]
pub struct Upgrades {
    started: usize,
    /// Upgrades that were completed or killed.
    pub count: usize,
    /// Upgrades with a kill of the old process, of the new one, of both.
    pub kills: [usize; 3],
    /// Kills of the new process alone after which the old one continued to serve.
    pub old_continued: usize,
    /// Processes that did not serve in time: new ones that were not killed, and survivors of a kill.
    pub not_ready: usize,
    /// Old processes that had not exited 3.7 s after SIGTERM.
    pub not_exited: usize,
    /// From the start of the new process until it serves, in milliseconds.
    ready_ms: Option<Histogram<u64>>,
    /// From the freeze of the state until the new process has taken over, in microseconds, as the old
    /// processes logged it.
    pause_us: Option<Histogram<u64>>,
    /// Peak resident memory of both processes together, in KB.
    pub resident_kb: u64,
    /// Peak number of file descriptors of both processes together.
    pub descriptors: usize,
}

fn record_value(slot: &mut Option<Histogram<u64>>, value: u64) {
    // Three significant digits, up to a minute in microseconds: valid bounds.
    let histogram = slot.get_or_insert_with(|| Histogram::new_with_max(60_000_000, 3).expect("valid bounds"));
    histogram.saturating_record(value);
}

impl Upgrades {
    /// Whether one more upgrade may start.
    pub fn try_start(upgrades: &Mutex<Upgrades>, settings: &UpgraderSettings) -> bool {
        let mut upgrades = upgrades.lock().unwrap_or_else(PoisonError::into_inner);
        upgrades.started += 1;
        upgrades.started <= settings.upgrades
    }

    /// Reads from a dispatcher's log for how long no process was serving.
    pub fn read_log(&mut self, log: &Path) {
        let Ok(text) = std::fs::read_to_string(log) else { return };
        for line in text.lines() {
            let pause =
                line.split_once("handover: taken after ").and_then(|(_, rest)| rest.split_once(" s;"));
            if let Some(seconds) = pause.and_then(|(seconds, _)| seconds.parse::<f64>().ok()) {
                record_value(&mut self.pause_us, (seconds * 1e6) as u64);
            }
        }
    }

    /// From the start of the new process until it serves, in milliseconds, at a quantile.
    pub fn ready_ms(&self, quantile: f64) -> Option<u64> {
        self.ready_ms.as_ref().map(|histogram| histogram.value_at_quantile(quantile))
    }
}

impl fmt::Display for Upgrades {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [old, new, both] = self.kills;
        writeln!(
            f,
            "{} upgrades, with kills of the old process {old}, of the new one {new} (the old one served on in {}), of both \
             {both}; not ready in time: {}; old processes that exited too late: {}",
            self.count, self.old_continued, self.not_ready, self.not_exited
        )?;
        let format_times = |histogram: &Option<Histogram<u64>>, divisor: f64| {
            let histogram = histogram
                .as_ref()
                .map(|h| (h.value_at_quantile(0.5) as f64 / divisor, h.max() as f64 / divisor));
            histogram.map_or("not observed".to_string(), |(median, max)| {
                format!("{median:.1} ms median, {max:.1} ms worst")
            })
        };
        writeln!(
            f,
            "new process ready after {}; no process serving for {}; both together at most {:.1} MB and {} descriptors",
            format_times(&self.ready_ms, 1.0),
            format_times(&self.pause_us, 1000.0),
            self.resident_kb as f64 / 1024.0,
            self.descriptors
        )
    }
}

/// Upgrades one dispatcher. Returns false where no process is left and one has to be started.
///
/// # Errors
/// Those of starting the new process.
pub async fn upgrade(
    settings: &UpgraderSettings, process: &Process, recorder: &Recorder,
    (discovery, control): (SocketAddr, SocketAddr), upgrades: &Mutex<Upgrades>, rng: &mut fastrand::Rng,
) -> io::Result<bool> {
    let Some(old_pid) = process.pid() else { return Ok(false) };
    let old_control = process.control_address();
    let victim = (rng.f64() < settings.kill_probability)
        .then(|| [Victim::Old, Victim::New, Victim::Both][rng.usize(0..3)]);
    let kill_delay = Duration::from_micros(rng.u64(0..=settings.max_kill_delay_ms * 1000));
    let started = Instant::now();
    let new_process = process.spawn(discovery, Some(control))?;
    if let Some(victim) = victim {
        sleep(kill_delay).await;
        return Ok(kill_during_upgrade(
            victim,
            process,
            recorder,
            (old_pid, old_control),
            &new_process,
            upgrades,
        )
        .await);
    }
    let mut serving = false;
    while started.elapsed() < READY_TIMEOUT && !new_process.has_exited() {
        record_usage(upgrades, old_pid, new_process.pid);
        if is_serving(new_process.control).await {
            serving = true;
            break;
        }
        sleep(POLL_INTERVAL).await;
    }
    let ready_ms = started.elapsed().as_millis() as u64;
    {
        let mut upgrades = upgrades.lock().unwrap_or_else(PoisonError::into_inner);
        upgrades.count += 1;
        match serving {
            true => record_value(&mut upgrades.ready_ms, ready_ms),
            false => upgrades.not_ready += 1,
        }
    }
    if !serving {
        new_process.kill();
        return Ok(process.pid().is_some());
    }
    record_usage(upgrades, old_pid, new_process.pid);
    process.expect_exit();
    process.switch_to(&new_process);
    signal(old_pid, rustix::process::Signal::TERM);
    let stop_sent = Instant::now();
    while is_alive(old_pid) && stop_sent.elapsed() < EXIT_TIMEOUT {
        sleep(POLL_INTERVAL).await;
    }
    if is_alive(old_pid) {
        upgrades.lock().unwrap_or_else(PoisonError::into_inner).not_exited += 1;
        signal(old_pid, rustix::process::Signal::KILL);
    }
    Ok(true)
}

/// An upgrade with a kill: the surviving process has to serve. Returns false where none survives.
async fn kill_during_upgrade(
    victim: Victim, process: &Process, recorder: &Recorder,
    (old_pid, old_control): (u32, Option<SocketAddr>), new_process: &SpawnedProcess,
    upgrades: &Mutex<Upgrades>,
) -> bool {
    let dispatcher = process.index();
    // Recorded first, as for any kill: the survivor's notices may be late, and clients of the killed process
    // retry.
    recorder.add(Event::SignalSent { dispatcher, signal: ProcessSignal::Kill });
    process.expect_exit();
    if victim != Victim::New {
        signal(old_pid, rustix::process::Signal::KILL);
    }
    if victim != Victim::Old {
        new_process.kill();
    }
    {
        let mut upgrades = upgrades.lock().unwrap_or_else(PoisonError::into_inner);
        upgrades.count += 1;
        upgrades.kills[victim as usize] += 1;
    }
    if victim == Victim::Both {
        let killed_at = Instant::now();
        while (is_alive(old_pid) || !new_process.has_exited()) && killed_at.elapsed() < KILL_TIMEOUT {
            sleep(POLL_INTERVAL).await;
        }
        return false;
    }
    let survivor_control = if victim == Victim::Old { Some(new_process.control) } else { old_control };
    let wait_started = Instant::now();
    while let Some(survivor_control) = survivor_control
        && wait_started.elapsed() < SURVIVOR_TIMEOUT
    {
        let serving = match Some(survivor_control) == Some(process.listen_address()) {
            true => process.is_ready().await,
            false => is_serving(survivor_control).await,
        };
        if serving {
            if victim == Victim::Old {
                process.switch_to(new_process);
            } else {
                upgrades.lock().unwrap_or_else(PoisonError::into_inner).old_continued += 1;
            }
            recorder.add(Event::ProcessReady { dispatcher });
            return true;
        }
        sleep(POLL_INTERVAL).await;
    }
    upgrades.lock().unwrap_or_else(PoisonError::into_inner).not_ready += 1;
    new_process.kill();
    signal(old_pid, rustix::process::Signal::KILL);
    false
}

fn signal(raw_pid: u32, signal: rustix::process::Signal) {
    if let Some(pid) = rustix::process::Pid::from_raw(raw_pid as i32) {
        let _ = rustix::process::kill_process(pid, signal);
    }
}

fn is_alive(pid: u32) -> bool {
    std::fs::read_to_string(format!("/proc/{pid}/stat"))
        .is_ok_and(|stat| stat.rsplit_once(')').is_some_and(|(_, rest)| !rest.trim_start().starts_with('Z')))
}

/// Updates the peak resource usage of both processes together.
fn record_usage(upgrades: &Mutex<Upgrades>, old_pid: u32, new_pid: u32) {
    let memory_kb: u64 = [old_pid, new_pid].iter().filter_map(|pid| crate::process::resident_kb(*pid)).sum();
    let descriptors = |pid: u32| std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
    let descriptors = descriptors(old_pid) + descriptors(new_pid);
    let mut upgrades = upgrades.lock().unwrap_or_else(PoisonError::into_inner);
    upgrades.resident_kb = upgrades.resident_kb.max(memory_kb);
    upgrades.descriptors = upgrades.descriptors.max(descriptors);
}
