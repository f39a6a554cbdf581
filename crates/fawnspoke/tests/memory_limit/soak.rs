//! Crowds of part-requests beside sound clients, by seed: little memory and few descriptors, upgrades, signals in series and
//! kills, which come as early as the protocol allows. The sound clients use each connection for as long as it stays open.
//!
//! `MEMORY_SEEDS=100..150 cargo test --release -p fawnspoke --test memory_limit soak -- --nocapture` runs more seeds.

use crate::crowd::{Part, head, hold};
use crate::process_memory::resident_bytes;
use crate::{new_dispatcher, run_alone};
use fawnspoke_lab::blocking::{Dispatcher, Endpoint, Platform, Reply};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::process::Child;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Earliest SIGKILL after a SIGTERM, and earliest start after a SIGKILL, by the protocol.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3700);
const START_AFTER_KILL: Duration = Duration::from_millis(600);
/// Latest notice after the message's deadline, or after the dispatcher is ready again if that is later.
const NOTICE_GRACE: Duration = Duration::from_millis(350);
const READY_GRACE: Duration = Duration::from_millis(1550);
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1000);
/// A client waits this long for its response; on sockets each limit is 50 ms longer.
const RESPONSE_LIMIT: Duration = Duration::from_millis(450);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
const SEEDS_IN_CI: Range<u64> = 1..4;
const SOUND_CLIENTS: usize = 3;
const CROWD_THREADS: usize = 2;

/// What sound clients observed.
#[derive(Default)]
struct Observations {
    /// The messages that were accepted, and when each expires.
    accepted: Mutex<Vec<(String, Instant)>>,
    violations: Mutex<Vec<String>>,
    answered: AtomicUsize,
    late: AtomicUsize,
}

/// The state of the dispatcher as a run has brought it about.
#[derive(Default)]
struct RunState {
    stop: AtomicBool,
    /// The number of kills so far, twice that and one while no process runs: an answer may be missing around a kill.
    kills: AtomicUsize,
    crowd_stop: AtomicBool,
    processes: Mutex<Vec<u32>>,
    peak: AtomicU64,
}

/// What became of a request.
enum Answer {
    Status(u16),
    /// The dispatcher had not read it: the connection was reset, or closed before it.
    Unread,
    Closed,
    Nothing,
}

fn exchange(stream: &mut TcpStream, bytes: &[u8]) -> Answer {
    if stream.write_all(bytes).is_err() {
        return Answer::Unread;
    }
    let mut response = [0; 512];
    match stream.read(&mut response) {
        Ok(0) => Answer::Closed,
        Ok(_) => {
            let status = std::str::from_utf8(&response[9..12]).ok().and_then(|text| text.parse().ok());
            Answer::Status(status.unwrap_or(0))
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => Answer::Nothing,
        Err(_) => Answer::Unread,
    }
}

/// Submits small messages, one after another, on each connection for as long as it stays open.
fn run_sound_client(
    number: usize, seed: u64, address: SocketAddr, state: &RunState, observations: &Observations,
) {
    let mut rng = fastrand::Rng::with_seed(seed * 101 + number as u64);
    let (mut kept, mut count, mut on_connection): (Option<TcpStream>, u32, u32) = (None, 0, 0);
    while !state.stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(rng.u64(5..50)));
        let kills = state.kills.load(Ordering::SeqCst);
        on_connection = if kept.is_some() { on_connection + 1 } else { 0 };
        let connect = || TcpStream::connect_timeout(&address, RESPONSE_LIMIT).ok();
        let Some(mut stream) = kept.take().or_else(connect) else { continue };
        let _ = stream.set_nodelay(true);
        stream.set_read_timeout(Some(4 * RESPONSE_LIMIT)).expect("a socket");
        count += 1;
        let class = ["keyed", "unsafe"][rng.usize(..2)];
        let id = format!("{class}-{seed}-{number}-{count}");
        let sent_at = Instant::now();
        let answer = exchange(&mut stream, format!("{}x", head(class, &id, "", 1)).as_bytes());
        let latency = sent_at.elapsed();
        let undisturbed = kills == state.kills.load(Ordering::SeqCst) && kills % 2 == 0;
        let report = |what: &str| {
            if undisturbed {
                let text =
                    format!("{id}: {what} after {latency:?}, request {on_connection} on its connection");
                observations.violations.lock().unwrap().push(text);
            }
        };
        match answer {
            Answer::Status(status) => {
                observations.answered.fetch_add(1, Ordering::SeqCst);
                observations
                    .late
                    .fetch_add(usize::from(latency > RESPONSE_LIMIT && undisturbed), Ordering::SeqCst);
                match status {
                    202 => observations.accepted.lock().unwrap().push((id, sent_at + MESSAGE_TIMEOUT)),
                    503 => {}
                    other => report(&format!("answered {other}")),
                }
                kept = Some(stream);
            }
            Answer::Nothing => report("no answer"),
            // A request that crosses the close of a kept connection was not read.
            Answer::Closed if on_connection == 0 => report("closed without an answer"),
            Answer::Closed | Answer::Unread => {}
        }
    }
}

/// Samples the memory of all processes until the run stops.
fn sample_memory(state: &RunState) {
    while !state.stop.load(Ordering::SeqCst) {
        let resident: u64 = state.processes.lock().unwrap().iter().map(|id| resident_bytes(*id)).sum();
        state.peak.fetch_max(resident, Ordering::SeqCst);
        thread::sleep(SAMPLE_INTERVAL);
    }
}

/// Sends a series of stop signals and kills the process at the earliest.
fn end_process(dispatcher: &mut Dispatcher, state: &RunState, rng: &mut fastrand::Rng) -> Instant {
    let kill_at = Instant::now() + KILL_AFTER_TERM;
    if rng.u32(..3) > 0 {
        for signal in ["HUP", "TERM", "HUP", "TERM", "INT"] {
            dispatcher.signal(signal);
            thread::sleep(Duration::from_millis(rng.u64(..120)));
        }
        thread::sleep(kill_at.saturating_duration_since(Instant::now()));
    }
    state.kills.fetch_add(1, Ordering::SeqCst);
    dispatcher.kill();
    Instant::now()
}

/// Ends the old process of an upgrade: SIGTERM, and SIGKILL at the earliest.
fn end_old_process(mut old: Child) {
    let _ = std::process::Command::new("kill").args(["-TERM", &old.id().to_string()]).status();
    thread::sleep(KILL_AFTER_TERM);
    let _ = old.kill();
    old.wait().expect("a process");
}

/// Runs one seed and returns a summary and the violations.
fn run_seed(seed: u64) -> (String, Vec<String>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let memory_mb = [32, 32, 48, 64][rng.usize(..4)];
    let sockets = [1024, 1024, 512][rng.usize(..3)];
    let crowd = [0, 300, 600, 900][rng.usize(..4)];
    let parts = [Part::HalfBody, Part::ShortFields, Part::LongFields, Part::EndlessHead, Part::SecondRequest];
    let part = parts[rng.usize(..parts.len())];
    let mut dispatcher = new_dispatcher(memory_mb, &platform, &[endpoint.list_entry("e", 7, "up")]);
    let address: SocketAddr =
        format!("127.77.{}.1:{}", seed % 250, 8000 + seed / 250).parse().expect("an address");
    dispatcher.config["listen"] = address.to_string().into();
    dispatcher.config["limits"]["sockets"] = sockets.into();
    dispatcher.start();
    let (state, observations) = (RunState::default(), Observations::default());
    let set_processes = |ids: &[u32]| *state.processes.lock().unwrap() = ids.to_vec();
    let process_id = |dispatcher: &Dispatcher| dispatcher.process_id().expect("a process");
    set_processes(&[process_id(&dispatcher)]);
    let ids = AtomicUsize::new(0);
    let mut ready_at = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| sample_memory(&state));
        for number in 0..SOUND_CLIENTS {
            let (state, observations) = (&state, &observations);
            scope.spawn(move || run_sound_client(number, seed, address, state, observations));
        }
        for _ in 0..CROWD_THREADS {
            scope.spawn(|| hold(address, part, crowd / CROWD_THREADS, &ids, &state.crowd_stop));
        }
        thread::sleep(Duration::from_millis(rng.u64(500..1500)));
        if rng.bool() {
            let old = dispatcher.upgrade();
            set_processes(&[old.id(), process_id(&dispatcher)]);
            thread::sleep(Duration::from_millis(rng.u64(..500)));
            end_old_process(old);
            set_processes(&[process_id(&dispatcher)]);
        }
        let killed_at = end_process(&mut dispatcher, &state, &mut rng);
        thread::sleep(START_AFTER_KILL.saturating_sub(killed_at.elapsed()));
        dispatcher.start();
        set_processes(&[process_id(&dispatcher)]);
        ready_at = Instant::now();
        state.kills.fetch_add(1, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(rng.u64(1000..2000)));
        state.crowd_stop.store(true, Ordering::SeqCst);
        state.stop.store(true, Ordering::SeqCst);
    });
    let mut violations = observations.violations.into_inner().unwrap();
    let (answered, late) = (observations.answered.into_inner(), observations.late.into_inner());
    // Other processes of the machine may delay some responses.
    if late * 10 > answered {
        violations.push(format!("{late} of {answered} answers after more than {RESPONSE_LIMIT:?}"));
    }
    let peak = state.peak.load(Ordering::SeqCst);
    if peak > memory_mb * 1_000_000 {
        violations.push(format!("{peak} bytes at a limit of {memory_mb} MB"));
    }
    if resident_bytes(process_id(&dispatcher)) == 0 {
        violations.push("the last process ended by itself".into());
    }
    let accepted = observations.accepted.into_inner().unwrap();
    violations.extend(audit(&accepted, &endpoint, &platform, ready_at));
    let summary = format!(
        "seed {seed}: {memory_mb} MB, {sockets} descriptors, {crowd} x {part:?}: peak {:.1} MB, {answered} answers \
         ({late} late), {} accepted, {} connections of the crowd",
        peak as f64 / 1e6,
        accepted.len(),
        ids.into_inner()
    );
    (summary, violations)
}

/// Checks that each accepted message was delivered once, or ended by a notice.
fn audit(
    accepted: &[(String, Instant)], endpoint: &Endpoint, platform: &Platform, ready_at: Instant,
) -> Vec<String> {
    let last = accepted.iter().map(|(_, expires)| *expires + NOTICE_GRACE).max().unwrap_or(ready_at);
    thread::sleep(last.max(ready_at + READY_GRACE).saturating_duration_since(Instant::now()));
    let mut calls: BTreeMap<String, usize> = BTreeMap::new();
    endpoint.message_ids().into_iter().for_each(|id| *calls.entry(id).or_default() += 1);
    let notices = platform.notices();
    let has_notice = |id: &str| notices.iter().any(|notice| notice["message"] == id);
    let lost = accepted.iter().filter(|(id, _)| !calls.contains_key(id) && !has_notice(id));
    let lost =
        lost.map(|(id, _)| format!("{id}: lost: accepted, but neither delivered nor ended by a notice"));
    let repeated = calls.iter().filter(|(id, count)| id.starts_with("unsafe") && **count > 1);
    lost.chain(repeated.map(|(id, count)| format!("{id}: duplicate: called {count} times"))).collect()
}

#[test]
fn crowds_restarts_and_upgrades_stay_within_the_memory_limit() {
    let _alone = run_alone();
    let requested_seeds = std::env::var("MEMORY_SEEDS").ok();
    let seeds = requested_seeds.as_deref().map_or(SEEDS_IN_CI, |text| {
        let (first, end) = text.split_once("..").expect("MEMORY_SEEDS: FROM..UNTIL");
        first.parse().expect("a seed")..end.parse().expect("a seed")
    });
    let mut failed_seeds = Vec::new();
    for seed in seeds {
        let (summary, violations) = run_seed(seed);
        println!(
            "{summary}; {} violations {:?}",
            violations.len(),
            violations.iter().take(4).collect::<Vec<_>>()
        );
        failed_seeds.extend((!violations.is_empty()).then_some((seed, violations)));
    }
    assert!(failed_seeds.is_empty(), "{failed_seeds:#?}");
}
