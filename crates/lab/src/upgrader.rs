//! Upgrades dispatchers over and over: a second process beside the first, the word to stop once the second says yes, and
//! in some of them a kill of the old one, the new one or both at a moment that a seed draws.

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

/// The second process has said yes by then, as the platform has it.
const YES_MOST: Duration = Duration::from_secs(6);
/// From the word to stop on, the first one has ended by then.
const END_MOST: Duration = Duration::from_millis(3700);
/// After a kill, whoever is left serves by then.
const LEFT_MOST: Duration = Duration::from_secs(6);
/// A process that was killed is gone by then.
const GONE: Duration = Duration::from_secs(10);
const LOOK: Duration = Duration::from_millis(5);

/// Who is killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Victim {
    Old,
    New,
    Both,
}

/// What came of the upgrades of a run.
#[derive(Default)]
pub struct Upgrades {
    begun: usize,
    /// Upgrades that came to an end.
    pub count: usize,
    /// Of these, how many had a kill of the old process, of the new one, of both.
    pub kills: [usize; 3],
    /// After a kill of the new one alone, how often the old one served on.
    pub served_on: usize,
    /// Second processes that did not say yes in time, though nobody killed them.
    pub never: usize,
    /// First processes that had not ended 3.7 s after the word.
    pub stayed: usize,
    /// From the start to the yes, in milliseconds.
    yes_ms: Option<Histogram<u64>>,
    /// From the freeze to the word that it is taken, in microseconds, as the old processes logged it.
    pause_us: Option<Histogram<u64>>,
    /// Resident memory of both together, at most, in KB.
    pub resident_kb: u64,
    /// Descriptors of both together, at most.
    pub descriptors: usize,
}

fn note(to: &mut Option<Histogram<u64>>, value: u64) {
    // Three digits, up to a minute in microseconds: the bounds are sound.
    let histogram = to.get_or_insert_with(|| Histogram::new_with_max(60_000_000, 3).expect("sound bounds"));
    histogram.saturating_record(value);
}

impl Upgrades {
    /// Whether one more is due.
    pub fn begin(this: &Mutex<Upgrades>, spec: &UpgraderSettings) -> bool {
        let mut this = this.lock().unwrap_or_else(PoisonError::into_inner);
        this.begun += 1;
        this.begun <= spec.upgrades
    }

    /// Takes from a dispatcher's log how long nobody served.
    pub fn read_log(&mut self, log: &Path) {
        let Ok(text) = std::fs::read_to_string(log) else { return };
        for line in text.lines() {
            let taken =
                line.split_once("handover: taken after ").and_then(|(_, rest)| rest.split_once(" s;"));
            if let Some(seconds) = taken.and_then(|(seconds, _)| seconds.parse::<f64>().ok()) {
                note(&mut self.pause_us, (seconds * 1e6) as u64);
            }
        }
    }

    /// From the start to the yes, in milliseconds, at a quantile.
    pub fn yes_ms(&self, quantile: f64) -> Option<u64> {
        self.yes_ms.as_ref().map(|yes| yes.value_at_quantile(quantile))
    }
}

impl fmt::Display for Upgrades {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [old, new, both] = self.kills;
        writeln!(
            f,
            "{} upgrades, with kills of the old process {old}, of the new one {new} (the old one served on in {}), of both \
             {both}; no yes in time: {}; old ones that stayed too long: {}",
            self.count, self.served_on, self.never, self.stayed
        )?;
        let told = |of: &Option<Histogram<u64>>, by: f64| {
            let of = of.as_ref().map(|h| (h.value_at_quantile(0.5) as f64 / by, h.max() as f64 / by));
            of.map_or("not seen".to_string(), |(median, most)| {
                format!("{median:.1} ms median, {most:.1} ms worst")
            })
        };
        writeln!(
            f,
            "from start to yes {}; nobody served for {}; both together {:.1} MB and {} descriptors at most",
            told(&self.yes_ms, 1.0),
            told(&self.pause_us, 1000.0),
            self.resident_kb as f64 / 1024.0,
            self.descriptors
        )
    }
}

/// Upgrades one dispatcher. False where no process is left, and one is to be started.
///
/// # Errors
/// Those of starting the second process.
pub async fn upgrade(
    spec: &UpgraderSettings, process: &Process, recorder: &Recorder,
    (discovery, control): (SocketAddr, SocketAddr), to: &Mutex<Upgrades>, rng: &mut fastrand::Rng,
) -> io::Result<bool> {
    let Some(first) = process.pid() else { return Ok(false) };
    let door = process.control_address();
    let victim = (rng.f64() < spec.kill_probability)
        .then(|| [Victim::Old, Victim::New, Victim::Both][rng.usize(0..3)]);
    let kill_at = Duration::from_micros(rng.u64(0..=spec.max_kill_delay_ms * 1000));
    let began = Instant::now();
    let second = process.spawn(discovery, Some(control))?;
    if let Some(victim) = victim {
        sleep(kill_at).await;
        return Ok(killed(victim, process, recorder, (first, door), &second, to).await);
    }
    let mut said = false;
    while began.elapsed() < YES_MOST && !second.has_exited() {
        measure(to, first, second.pid);
        if is_serving(second.control).await {
            said = true;
            break;
        }
        sleep(LOOK).await;
    }
    let took = began.elapsed().as_millis() as u64;
    {
        let mut to = to.lock().unwrap_or_else(PoisonError::into_inner);
        to.count += 1;
        match said {
            true => note(&mut to.yes_ms, took),
            false => to.never += 1,
        }
    }
    if !said {
        second.kill();
        return Ok(process.pid().is_some());
    }
    measure(to, first, second.pid);
    process.expect_exit();
    process.switch_to(&second);
    signal(first, rustix::process::Signal::TERM);
    let told = Instant::now();
    while alive(first) && told.elapsed() < END_MOST {
        sleep(LOOK).await;
    }
    if alive(first) {
        to.lock().unwrap_or_else(PoisonError::into_inner).stayed += 1;
        signal(first, rustix::process::Signal::KILL);
    }
    Ok(true)
}

/// An upgrade with a kill: whoever is left has to serve. False where nobody is left.
async fn killed(
    victim: Victim, process: &Process, recorder: &Recorder, (first, door): (u32, Option<SocketAddr>),
    second: &SpawnedProcess, to: &Mutex<Upgrades>,
) -> bool {
    let dispatcher = process.index();
    // On record first, as any kill: whoever is left may be late with its notices, and clients of the dead one try again.
    recorder.add(Event::SignalSent { dispatcher, signal: ProcessSignal::Kill });
    process.expect_exit();
    if victim != Victim::New {
        signal(first, rustix::process::Signal::KILL);
    }
    if victim != Victim::Old {
        second.kill();
    }
    {
        let mut to = to.lock().unwrap_or_else(PoisonError::into_inner);
        to.count += 1;
        to.kills[victim as usize] += 1;
    }
    if victim == Victim::Both {
        let gone = Instant::now();
        while (alive(first) || !second.has_exited()) && gone.elapsed() < GONE {
            sleep(LOOK).await;
        }
        return false;
    }
    let left = if victim == Victim::Old { Some(second.control) } else { door };
    let since = Instant::now();
    while let Some(left) = left
        && since.elapsed() < LEFT_MOST
    {
        let serving = match Some(left) == Some(process.listen_address()) {
            true => process.is_ready().await,
            false => is_serving(left).await,
        };
        if serving {
            if victim == Victim::Old {
                process.switch_to(second);
            } else {
                to.lock().unwrap_or_else(PoisonError::into_inner).served_on += 1;
            }
            recorder.add(Event::ProcessReady { dispatcher });
            return true;
        }
        sleep(LOOK).await;
    }
    to.lock().unwrap_or_else(PoisonError::into_inner).never += 1;
    second.kill();
    signal(first, rustix::process::Signal::KILL);
    false
}

fn signal(id: u32, signal: rustix::process::Signal) {
    if let Some(pid) = rustix::process::Pid::from_raw(id as i32) {
        let _ = rustix::process::kill_process(pid, signal);
    }
}

fn alive(id: u32) -> bool {
    std::fs::read_to_string(format!("/proc/{id}/stat"))
        .is_ok_and(|stat| stat.rsplit_once(')').is_some_and(|(_, rest)| !rest.trim_start().starts_with('Z')))
}

/// Notes what both take together.
fn measure(to: &Mutex<Upgrades>, first: u32, second: u32) {
    let memory: u64 = [first, second].iter().filter_map(|id| crate::process::resident_kb(*id)).sum();
    let descriptors = |id: u32| std::fs::read_dir(format!("/proc/{id}/fd")).map_or(0, Iterator::count);
    let descriptors = descriptors(first) + descriptors(second);
    let mut to = to.lock().unwrap_or_else(PoisonError::into_inner);
    to.resident_kb = to.resident_kb.max(memory);
    to.descriptors = to.descriptors.max(descriptors);
}
