//! Soak test with random faults, by seed: a dispatcher is restarted several times while clients send requests on each open
//! connection until the kill, which comes as early as the protocol allows (3.7 s after SIGTERM). It receives several signals in
//! a row, endpoints and the machine fail meanwhile, and some runs add many idle client connections. An audit of the calls,
//! answers and notices follows.
//!
//! `SOAK_SEEDS=100..150 cargo test --release -p fawnspoke --test sockets soak:: -- --nocapture` runs more seeds and prints the
//! result of each.

use crate::machine_faults::{FaultInjector, Field};
use crate::support::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Earliest SIGKILL after a SIGTERM, and earliest start after a SIGKILL, by the protocol.
const KILL_AFTER_TERM: Duration = Duration::from_millis(3700);
pub const START_AFTER_KILL: Duration = Duration::from_millis(600);
/// Latest notice after the message's deadline, or after the dispatcher is ready again if that is later.
pub const NOTICE_GRACE: Duration = Duration::from_millis(350);
pub const READY_GRACE: Duration = Duration::from_millis(1550);
/// Repeat window of keyed messages, and the tolerance added to time limits because of the sockets' latency.
const KEY_WINDOW_SECONDS: f64 = 4.0;
const TOLERANCE: Duration = Duration::from_millis(50);
/// Calls that start within this time after a Retry-After answer may have been under way already.
const RETRY_AFTER_GRACE: Duration = Duration::from_millis(150);
/// How long each SIGSTOP lasts.
const STALL: Duration = Duration::from_millis(150);
/// The endpoint that is draining for a while in each run of the process, and how long calls may still arrive there.
const DRAINING_ENDPOINT: u32 = 2;
const DRAIN_GRACE: Duration = Duration::from_millis(1050);
const SEEDS_IN_CI: Range<u64> = 1..7;
const SEEDS_AT_ONCE: usize = 6;
const CLIENTS: u64 = 4;
const PROCESS_RUNS: usize = 3;

/// A call as an endpoint received and answered it.
#[derive(Clone, Debug)]
struct ReceivedCall {
    id: String,
    endpoint: u32,
    destination: u32,
    at: Instant,
    may_have_run: bool,
    delivered: bool,
    retry_after: Option<Duration>,
}

/// A message that a client submitted, and whether the dispatcher accepted it.
struct SentMessage {
    id: String,
    accepted: bool,
    expires: Instant,
}

/// What endpoints and clients observed in one run, and the violations found.
#[derive(Default)]
struct Observations {
    calls: Mutex<Vec<ReceivedCall>>,
    messages: Mutex<Vec<SentMessage>>,
    violations: Mutex<Vec<String>>,
}

impl Observations {
    fn report_violation(&self, text: String) {
        self.violations.lock().unwrap().push(text);
    }
}

/// Starts an endpoint that answers, fails or rejects calls at random.
fn start_endpoint(number: u32, destination: u32, seed: u64, observations: &Arc<Observations>) -> Endpoint {
    let (observations, rng) =
        (observations.clone(), Mutex::new(fastrand::Rng::with_seed(seed * 31 + u64::from(number))));
    Endpoint::start(move |_, request| {
        let at = Instant::now();
        let Some(id) = request.header("request-id") else { return Reply::status(200) };
        let mut rng = rng.lock().unwrap();
        let (mut may_have_run, mut delivered, mut retry_after) = (true, false, None);
        let reply = match rng.u32(..100) {
            0..4 => Reply::Disconnect,
            4..8 => Reply::Hang,
            8..14 => Reply::status(500),
            14..18 => {
                may_have_run = false;
                let seconds = 0.3 + rng.f64();
                retry_after = Some(Duration::from_secs_f64(seconds));
                Reply::Answer(429, format!("Retry-After: {seconds:.3}\r\n"), String::new())
            }
            18..23 => {
                may_have_run = false;
                Reply::status(503)
            }
            // A truncated answer: the call may have run, and the Retry-After was read.
            23 => {
                retry_after = Some(Duration::from_millis(1500));
                Reply::Raw(b"HTTP/1.1 429 Full\r\nRetry-After: 1.5\r\nContent-Length: 9\r\n\r\ncut".to_vec())
            }
            24 => Reply::Raw(b"HTTP/1.1 5".to_vec()),
            _ => {
                delivered = true;
                Reply::Delayed(Duration::from_millis(rng.u64(..60)), 200)
            }
        };
        observations.calls.lock().unwrap().push(ReceivedCall {
            id: id.into(),
            endpoint: number,
            destination,
            at,
            may_have_run,
            delivered,
            retry_after,
        });
        reply
    })
}

/// The result of a request as its client sees it.
pub enum RequestResult {
    /// A status, and whether the connection stays open.
    Status(u16, bool),
    /// The connection was reset: the dispatcher had not read the request.
    Unread,
    /// The connection was closed cleanly without an answer.
    ClosedWithoutAnswer,
    /// No answer arrived within the read timeout, which is longer than any client waits.
    TimedOut,
}

/// Sends a request and reads the head of its answer.
pub fn send_request(stream: &mut TcpStream, request: &[u8]) -> RequestResult {
    if stream.write_all(request).is_err() {
        return RequestResult::Unread;
    }
    let (mut received, mut buffer) = (Vec::new(), [0; 1024]);
    loop {
        match stream.read(&mut buffer) {
            Ok(0) => {
                // The kernel resets a connection that is closed with unread input.
                thread::sleep(Duration::from_millis(30));
                let was_reset =
                    stream.take_error().is_ok_and(|error| error.is_some()) || stream.write_all(b"x").is_err();
                thread::sleep(Duration::from_millis(30));
                return if was_reset || stream.write_all(b"x").is_err() {
                    RequestResult::Unread
                } else {
                    RequestResult::ClosedWithoutAnswer
                };
            }
            Ok(length) => received.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return RequestResult::TimedOut,
            Err(_) => return RequestResult::Unread,
        }
        let text = String::from_utf8_lossy(&received);
        if text.contains("\r\n\r\n") {
            let stays_open = !text.to_ascii_lowercase().contains("connection: close");
            // The body of the previous answer may precede the head.
            let status = text.split("HTTP/1.1 ").nth(1).and_then(|rest| rest.get(..3)?.parse().ok());
            return status.map_or(RequestResult::ClosedWithoutAnswer, |status| {
                RequestResult::Status(status, stays_open)
            });
        }
    }
}

/// A random message of a client, as a request.
pub struct RandomRequest {
    pub id: String,
    /// Time until its message's deadline.
    pub timeout: Duration,
    pub bytes: Vec<u8>,
}

impl RandomRequest {
    /// The client's request of this number, for one of the destinations 7 and 8; the timeout is in milliseconds.
    pub fn new(rng: &mut fastrand::Rng, client: u64, number: u32, timeout_ms: Range<u64>) -> RandomRequest {
        let class = ["safe", "keyed", "unsafe"][rng.usize(..3)];
        let id = format!("{}-{client}-{number}", &class[..1]);
        let timeout = Duration::from_millis(rng.u64(timeout_ms));
        let text = format!(
            "POST /{class} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\nX-Consignee: dest={}\r\n\
             Request-Timeout-Ms: {}\r\nIdempotency-Key: key-{id}\r\nContent-Length: 3\r\n\r\nabc",
            rng.u32(7..9),
            timeout.as_millis()
        );
        RandomRequest { id, timeout, bytes: text.into_bytes() }
    }
}

/// Takes a client's open connection or opens another; none if the dispatcher accepts none.
pub fn take_or_connect(stream: &mut Option<TcpStream>, address: SocketAddr) -> Option<TcpStream> {
    let socket = stream.take().or_else(|| TcpStream::connect(address).ok())?;
    let _ = socket.set_nodelay(true);
    let _ = socket.set_read_timeout(Some(Duration::from_secs(2)));
    Some(socket)
}

/// Runs a client until `stop` is set: it sends requests on each connection for as long as the connection stays open.
fn run_client(
    number: u64, seed: u64, address: SocketAddr, observations: &Observations, alive: &AtomicBool,
    stop: &AtomicBool,
) {
    let mut rng = fastrand::Rng::with_seed(seed * 1009 + number);
    let (mut stream, mut count): (Option<TcpStream>, u32) = (None, 0);
    let mut earlier_requests = 0;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(rng.u64(5..40)));
        earlier_requests = if stream.is_some() { earlier_requests + 1 } else { 0 };
        let Some(mut socket) = take_or_connect(&mut stream, address) else { continue };
        count += 1;
        let RandomRequest { id, timeout, bytes } = RandomRequest::new(&mut rng, number, count, 1500..7000);
        let (sent_at, was_alive) = (Instant::now(), alive.load(Ordering::SeqCst));
        let result = send_request(&mut socket, &bytes);
        let killed = !was_alive || !alive.load(Ordering::SeqCst);
        match result {
            RequestResult::Status(status, stays_open) => {
                let message = SentMessage {
                    id: id.clone(),
                    accepted: status == 202 || status == 200,
                    expires: sent_at + timeout,
                };
                observations.messages.lock().unwrap().push(message);
                if ![200, 202, 429, 503].contains(&status) {
                    observations.report_violation(format!("{id}: a valid request was answered {status}"));
                }
                stream = stays_open.then_some(socket);
            }
            RequestResult::ClosedWithoutAnswer if !killed => observations.report_violation(format!(
                "{id}: read, and its connection closed without an answer (request {} on it)",
                earlier_requests + 1
            )),
            RequestResult::TimedOut if !killed => {
                observations.report_violation(format!(
                    "{id}: no answer in 2 s (request {} on its connection)",
                    earlier_requests + 1
                ));
            }
            RequestResult::ClosedWithoutAnswer | RequestResult::TimedOut | RequestResult::Unread => {}
        }
    }
}

/// Enables a random set of machine faults.
fn inject_faults(faults: &FaultInjector, rng: &mut fastrand::Rng) {
    faults.step_wall_clock([0, 3600, -3600, 5, -5][rng.usize(..5)]);
    let short_transfers = rng.bool();
    faults.set(Field::MaxReadBytes, if short_transfers { rng.i64(1..200) } else { 0 });
    faults.set(Field::MaxWriteBytes, if short_transfers { rng.i64(1..200) } else { 0 });
    faults.set(Field::AcceptError, [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS][rng.usize(..3)].into());
    faults.set(Field::AcceptErrorInterval, if rng.bool() { rng.i64(2..9) } else { 0 });
    faults.set(
        Field::ConnectError,
        [libc::ENETUNREACH, libc::EADDRNOTAVAIL, libc::ETIMEDOUT][rng.usize(..3)].into(),
    );
    faults.set(Field::ConnectErrorInterval, if rng.bool() { rng.i64(3..9) } else { 0 });
    faults.set(Field::InterruptInterval, if rng.bool() { rng.i64(2..20) } else { 0 });
    if rng.u32(..3) == 0 {
        let error = if rng.bool() { libc::EIO } else { libc::ENOSPC };
        faults.fail_writes(error, Duration::from_millis(rng.u64(100..1500)));
    }
}

/// Ends a run of the process with a series of signals, or none, and a kill. Returns the time of the kill.
pub fn end_process(dispatcher: &mut Dispatcher, alive: &AtomicBool, rng: &mut fastrand::Rng) -> Instant {
    let kill_at = Instant::now() + KILL_AFTER_TERM;
    if rng.u32(..3) > 0 {
        for signal in ["HUP", "TERM", "HUP", "TERM", "INT"] {
            dispatcher.signal(signal);
            thread::sleep(Duration::from_millis(rng.u64(..120)));
        }
        thread::sleep(kill_at.saturating_duration_since(Instant::now()));
    }
    alive.store(false, Ordering::SeqCst);
    dispatcher.kill();
    Instant::now()
}

/// Runs one seed and returns the violations.
fn run_seed(seed: u64) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (observations, platform) = (Arc::new(Observations::default()), Platform::start());
    let destinations = [(0, 7), (1, 8), (DRAINING_ENDPOINT, 7)];
    let endpoints =
        destinations.map(|(number, destination)| start_endpoint(number, destination, seed, &observations));
    let known: Vec<Value> = endpoints
        .iter()
        .zip(destinations)
        .map(|(endpoint, (number, destination))| {
            endpoint.list_entry(&format!("e{number}"), destination, "up")
        })
        .collect();
    let mut dispatcher = Dispatcher::new(&platform, &known);
    let address = free_address();
    dispatcher.config["listen"] = address.to_string().into();
    dispatcher.config["limits"]["sockets"] = 200.into();
    dispatcher.config["settings"]["grades"][1]["repeat_window"] = KEY_WINDOW_SECONDS.into();
    let faults = FaultInjector::attach(&mut dispatcher);
    dispatcher.start();
    let (alive, stop) = (Arc::new(AtomicBool::new(true)), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (observations, alive, stop) = (observations.clone(), alive.clone(), stop.clone());
            thread::spawn(move || run_client(number, seed, address, &observations, &alive, &stop))
        })
        .collect();
    // The start of each shutdown and the time when the next process was ready.
    let mut restarts: Vec<(Instant, Instant)> = Vec::new();
    let (with_stalls, mut drains, mut list_version) = (rng.u32(..3) == 0, Vec::new(), 2);
    for _ in 1..PROCESS_RUNS {
        let idle_connections: Vec<_> =
            (0..if rng.u32(..4) == 0 { 120 } else { 0 }).map(|_| TcpStream::connect(address)).collect();
        for _ in 0..2 {
            inject_faults(&faults, &mut rng);
            thread::sleep(Duration::from_millis(rng.u64(300..900)));
        }
        let mut set_health = |health: &str| {
            platform.push_changes(
                list_version,
                &[endpoints[DRAINING_ENDPOINT as usize].list_entry("e2", 7, health)],
            );
            list_version += 1;
            Instant::now()
        };
        let drain_started_at = set_health("draining");
        for _ in 0..rng.u32(2..6) {
            thread::sleep(Duration::from_millis(300));
            if with_stalls {
                dispatcher.signal("STOP");
                thread::sleep(STALL);
                dispatcher.signal("CONT");
            }
        }
        drains.push((drain_started_at, Instant::now()));
        set_health("up");
        let shutdown_started_at = Instant::now();
        let killed_at = end_process(&mut dispatcher, &alive, &mut rng);
        drop(idle_connections);
        thread::sleep(START_AFTER_KILL.saturating_sub(killed_at.elapsed()));
        dispatcher.start();
        alive.store(true, Ordering::SeqCst);
        restarts.push((shutdown_started_at, Instant::now()));
    }
    faults.set(Field::AcceptErrorInterval, 0);
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    audit(
        &observations,
        &platform,
        &restarts,
        if with_stalls { RETRY_AFTER_GRACE + STALL } else { RETRY_AFTER_GRACE },
    );
    let calls = observations.calls.lock().unwrap().clone();
    for (drain_started_at, drain_ended_at) in drains {
        let late = |call: &&ReceivedCall| {
            call.endpoint == DRAINING_ENDPOINT
                && call.at > drain_started_at + DRAIN_GRACE
                && call.at < drain_ended_at
        };
        for call in calls.iter().filter(late) {
            observations.report_violation(format!(
                "{}: drain: called {:?} after the endpoint was listed as draining",
                call.id,
                call.at - drain_started_at
            ));
        }
    }
    drop(dispatcher);
    let mut violations = observations.violations.lock().unwrap().clone();
    violations.sort();
    violations
}

/// Checks what endpoints, clients and the platform observed against the protocol's rules.
fn audit(
    observations: &Observations, platform: &Platform, restarts: &[(Instant, Instant)],
    retry_after_grace: Duration,
) {
    let messages = observations.messages.lock().unwrap();
    let accepted: Vec<&SentMessage> = messages.iter().filter(|message| message.accepted).collect();
    let last_deadline = accepted.iter().map(|message| message.expires).max().unwrap_or_else(Instant::now);
    thread::sleep((last_deadline + NOTICE_GRACE).saturating_duration_since(Instant::now()).max(READY_GRACE));
    let calls = observations.calls.lock().unwrap().clone();
    let mut outcomes: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for notice in platform.notices() {
        let field = |key: &str| notice[key].as_str().unwrap_or_default().to_string();
        outcomes.entry(field("message")).or_default().push(field("outcome"));
    }
    for SentMessage { id, .. } in &accepted {
        let delivered = calls.iter().any(|call| call.id == *id && call.delivered);
        if !delivered && !outcomes.contains_key(id) {
            observations.report_violation(format!(
                "{id}: lost: accepted, but neither delivered nor ended by a notice"
            ));
        }
    }
    for (number, call) in calls.iter().enumerate() {
        let earlier = || calls[..number].iter().filter(|other| other.id == call.id && other.may_have_run);
        if call.id.starts_with('u') && earlier().next().is_some() {
            observations.report_violation(format!(
                "{}: duplicate: called again after a call that may have run",
                call.id
            ));
        }
        let window = Duration::from_secs_f64(KEY_WINDOW_SECONDS) + TOLERANCE;
        if call.id.starts_with('k') && earlier().next().is_some_and(|first| call.at - first.at > window) {
            observations
                .report_violation(format!("{}: duplicate: called again after its key had expired", call.id));
        }
        if call.id.starts_with('u')
            && call.may_have_run
            && outcomes
                .get(&call.id)
                .is_some_and(|outcomes| outcomes.iter().any(|outcome| outcome == "handed_back"))
        {
            observations.report_violation(format!("{}: handed back though it may have run", call.id));
        }
        let Some(retry_after) = call.retry_after else { continue };
        let is_too_early = |other: &&ReceivedCall| {
            let elapsed = other.at.saturating_duration_since(call.at);
            other.destination == call.destination
                && elapsed > retry_after_grace
                && elapsed + TOLERANCE < retry_after
        };
        // A restart ends the wait.
        let restarted = |other: &ReceivedCall| {
            restarts.iter().any(|(shutdown_started_at, ready_at)| {
                call.at <= *ready_at && other.at >= *shutdown_started_at
            })
        };
        for other in calls.iter().filter(is_too_early).filter(|other| !restarted(other)) {
            observations.report_violation(format!(
                "{}: wait: called {:?} into a Retry-After of {retry_after:?}",
                other.id,
                other.at - call.at
            ));
        }
    }
}

#[test]
fn restarts_under_random_faults_break_no_rule() {
    let requested_seeds = std::env::var("SOAK_SEEDS").ok();
    let range = requested_seeds.as_deref().map_or(SEEDS_IN_CI, |text| {
        let (first, end) = text.split_once("..").expect("SOAK_SEEDS: FROM..UNTIL");
        first.parse().expect("a seed")..end.parse().expect("a seed")
    });
    let seeds: Vec<u64> = range.collect();
    let mut failed_seeds = Vec::new();
    for batch in seeds.chunks(SEEDS_AT_ONCE) {
        let runs: Vec<_> = batch
            .iter()
            .map(|seed| {
                (
                    *seed,
                    thread::spawn({
                        let seed = *seed;
                        move || run_seed(seed)
                    }),
                )
            })
            .collect();
        for (seed, run) in runs {
            let violations = run.join().unwrap_or_else(|_| vec!["the run panicked: see above".into()]);
            if requested_seeds.is_some() {
                println!(
                    "seed {seed}: {} violations {:?}",
                    violations.len(),
                    violations.iter().take(4).collect::<Vec<_>>()
                );
            }
            failed_seeds.extend((!violations.is_empty()).then_some((seed, violations)));
        }
    }
    assert!(failed_seeds.is_empty(), "{failed_seeds:#?}");
}
