//! Soak test by seed: endpoints end messages by every response that can (200, 410, 504; alone, in a batch, in half), and
//! reject, fail, delay or copy others, while the dispatcher gets signals in series, kills and chains of upgrades. Clients
//! use their connections until the kill, and some runs have a crowd of idle clients.
//!
//! `CALLS_AFTER_END_SEEDS=100..150 cargo test --release -p fawnspoke --test sockets calls_after_end::soak -- --nocapture`
//! runs more seeds and prints the result of each.

use crate::misplaced_responses::endpoint::{Call, Endpoint, Extra, Request, Script};
use crate::soak::{
    NOTICE_GRACE, READY_GRACE, RandomRequest, RequestResult, START_AFTER_KILL, end_process, send_request,
    take_or_connect,
};
use crate::support::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SEEDS_IN_CI: Range<u64> = 1..7;
const SEEDS_AT_ONCE: usize = 6;
const CLIENTS: u64 = 4;
const KEY_WINDOW: Duration = Duration::from_secs(4);
/// Tolerance of time limits because of the sockets' latency. A response that was written this long before a call or a kill may
/// not have been read.
const TOLERANCE: Duration = Duration::from_millis(50);
const PROCESS_RUNS: usize = 2;
const RUN_TIME: Duration = Duration::from_secs(4);
/// Messages that are over, or have used up their attempts, whenever they are called: one in so many.
const OVER_INTERVAL: u64 = 8;
const SPENT_INTERVAL: u64 = 16;
/// Share of the responses that are copied in the seeds with copies, in percent.
const COPIED_PERCENT: u32 = 25;

/// A message that a client submitted.
struct SubmittedMessage {
    id: String,
    status: u16,
    expires: Instant,
}

/// How a call ended for one of its messages, by the endpoint's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Delivered,
    /// 410, or `over` in a batch.
    Over,
    /// 504, or `spent` in a batch.
    Spent,
    /// It never ran.
    Rejected,
    MayHaveRun,
}

impl Ending {
    fn of_status(status: u16) -> Ending {
        match status {
            200 => Ending::Delivered,
            410 => Ending::Over,
            504 => Ending::Spent,
            429 | 503 => Ending::Rejected,
            _ => Ending::MayHaveRun,
        }
    }

    fn of_result(result: &str) -> Ending {
        match result {
            "delivered" => Ending::Delivered,
            "over" => Ending::Over,
            "spent" => Ending::Spent,
            "refused" => Ending::Rejected,
            _ => Ending::MayHaveRun,
        }
    }

    fn may_have_run(self) -> bool {
        matches!(self, Ending::Delivered | Ending::MayHaveRun)
    }
}

/// An attempt of one message, by the endpoint's record.
struct Attempt {
    received_at: Instant,
    /// When the response was written, if it was.
    answered_at: Option<Instant>,
    ending: Ending,
    /// The whole response was written.
    is_whole: bool,
}

/// The attempts of each message, in the order of their arrival.
fn attempts(calls: &[Call]) -> BTreeMap<String, Vec<Attempt>> {
    let mut attempts: BTreeMap<String, Vec<Attempt>> = BTreeMap::new();
    for call in calls {
        let (head, body) = call.response.split_once("\r\n\r\n").unwrap_or((&call.response, ""));
        let length = head.split("Content-Length: ").nth(1).and_then(|text| text.lines().next()?.parse().ok());
        let is_whole = length == Some(body.len());
        for id in call.message_ids() {
            let is_batch = call.path == "/receive-many" && call.status == 200;
            let mut results = body.split_inclusive('\n').filter(|line| line.ends_with('\n'));
            let result = results.find_map(|line| line.trim().strip_prefix(&format!("{id} ")));
            let ending = match result {
                // A half response of a batch delivers nothing.
                Some("delivered") if !is_whole => Ending::MayHaveRun,
                Some(result) => Ending::of_result(result),
                None if is_batch => Ending::MayHaveRun,
                None => Ending::of_status(call.status),
            };
            let (received_at, answered_at) = (call.received_at, call.answered_at);
            attempts.entry(id).or_default().push(Attempt { received_at, answered_at, ending, is_whole });
        }
    }
    attempts.values_mut().for_each(|attempts| attempts.sort_by_key(|attempt| attempt.received_at));
    attempts
}

/// What the endpoint always answers for a message, if it does so at all: decided by its id, so that each call gets it.
fn fixed_ending(seed: u64, id: &str) -> Option<Ending> {
    let hash = id.bytes().fold(seed, |hash, byte| {
        hash.wrapping_mul(0x0100_0000_01b3).wrapping_add(u64::from(byte)) ^ (hash >> 29)
    });
    match (hash % OVER_INTERVAL, (hash / OVER_INTERVAL) % SPENT_INTERVAL) {
        (0, _) => Some(Ending::Over),
        (_, 0) => Some(Ending::Spent),
        _ => None,
    }
}

fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A random response to a call with one message, by what the endpoint always answers for it.
fn single_response(rng: &mut fastrand::Rng, fixed: Option<Ending>) -> Option<String> {
    let text = match fixed {
        Some(Ending::Over) => response("410 Gone", "", "over"),
        Some(_) => response("504 Gateway Timeout", "", "spent"),
        None => match rng.u32(..100) {
            0..6 => response("503 Full", "", ""),
            6..9 => response("429 Full", "Retry-After: 0.3\r\n", ""),
            9..12 => response("500 No", "", ""),
            12..16 => return None,
            _ => response("200 OK", "", "ok"),
        },
    };
    // Half of the body doesn't come.
    let kept = if rng.u32(..20) == 0 { text.len() - 1 } else { text.len() };
    Some(text[..kept].to_string())
}

/// A random response to a batch.
fn batch_response(rng: &mut fastrand::Rng, seed: u64, ids: &[String]) -> Option<String> {
    match rng.u32(..100) {
        0..6 => return Some(response("503 Full", "", "")),
        6..9 => return Some(response("429 Full", "Retry-After: 0.3\r\n", "")),
        9..12 => return None,
        _ => {}
    }
    let mut body = String::new();
    for id in ids {
        let result = match (fixed_ending(seed, id), rng.u32(..12)) {
            (Some(Ending::Over), _) => "over",
            (Some(_), _) => "spent",
            (None, 0) => "refused",
            (None, 1) => "failed",
            (None, _) => "delivered",
        };
        body.push_str(&format!("{id} {result}\r\n"));
    }
    let text = response("200 OK", "", &body);
    let kept = if rng.u32(..15) == 0 { text.len() - body.len() / 2 } else { text.len() };
    Some(text[..kept].to_string())
}

fn start_endpoint(seed: u64, with_copies: bool) -> Endpoint {
    let rng = Mutex::new(fastrand::Rng::with_seed(seed));
    Endpoint::start(move |request: &Request| {
        let rng = &mut *rng.lock().unwrap();
        let ids = request.message_ids();
        let answer = match &*request.path {
            "/receive" => single_response(rng, fixed_ending(seed, &request.id)),
            "/receive-many" => batch_response(rng, seed, &ids),
            _ => Some(response("200 OK", "", "")),
        };
        let service = if rng.u32(..25) == 0 { rng.u64(300..1500) } else { rng.u64(5..50) };
        let Some(answer) = answer else { return Script::disconnect() };
        let script = Script::respond(answer.clone()).after(Duration::from_millis(service));
        match with_copies && rng.u32(..100) < COPIED_PERCENT {
            true => script.followed_by(Extra::new(Duration::from_millis(rng.u64(..200)), answer)),
            false => script,
        }
    })
}

fn start_platform(seed: u64) -> Endpoint {
    let rng = Mutex::new(fastrand::Rng::with_seed(!seed));
    Endpoint::start(move |request: &Request| {
        let is_rejected = rng.lock().unwrap().u32(..5) == 0;
        match &*request.path {
            "/status" if is_rejected => Script::respond(response("503 Full", "", "")),
            "/status" => Script::respond("HTTP/1.1 204 No Content\r\n\r\n"),
            _ => Script::respond(response("404 Not Found", "", "")),
        }
    })
}

/// Sends messages on each connection for as long as it stays open.
fn run_client(
    number: u64, seed: u64, address: SocketAddr, submitted: &Mutex<Vec<SubmittedMessage>>, stop: &AtomicBool,
) {
    let mut rng = fastrand::Rng::with_seed(seed * 1013 + number);
    let (mut stream, mut count): (Option<TcpStream>, u32) = (None, 0);
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(rng.u64(20..140)));
        let Some(mut socket) = take_or_connect(&mut stream, address) else { continue };
        count += 1;
        let RandomRequest { id, timeout, bytes } = RandomRequest::new(&mut rng, number, count, 1500..5000);
        let expires = Instant::now() + timeout;
        if let RequestResult::Status(status, stays_open) = send_request(&mut socket, &bytes) {
            submitted.lock().unwrap().push(SubmittedMessage { id, status, expires });
            stream = stays_open.then_some(socket);
        }
    }
}

/// The notices that the platform acknowledged: message, outcome, and when.
pub fn acknowledged_notices(platform: &Endpoint) -> Vec<(String, String, Instant)> {
    let mut notices = Vec::new();
    for request in platform.all_calls() {
        let Some(at) = request.answered_at.filter(|_| request.status == 204) else { continue };
        for line in request.body.lines() {
            let notice: Value = serde_json::from_str(line).expect("a notice");
            let field = |name: &str| notice[name].as_str().unwrap_or_default().to_string();
            notices.push((field("message"), field("outcome"), at));
        }
    }
    notices
}

/// Checks the calls, notices and submitted messages against the protocol's rules.
fn audit(
    submitted: &[SubmittedMessage], endpoints: &[Endpoint], platform: &Endpoint, kills: &[Instant],
) -> Vec<String> {
    let calls: Vec<Call> = endpoints.iter().flat_map(Endpoint::all_calls).collect();
    let (attempts, notices) = (attempts(&calls), acknowledged_notices(platform));
    let has_notice = |id: &str, outcome: &str| {
        notices.iter().any(|(message, told, _)| message == id && told.contains(outcome))
    };
    let mut violations = Vec::new();
    for SubmittedMessage { id, status, .. } in submitted {
        let own = attempts.get(id).map(Vec::as_slice).unwrap_or_default();
        let is_over = own.iter().any(|attempt| {
            attempt.answered_at.is_some() && matches!(attempt.ending, Ending::Delivered | Ending::Over)
        });
        match status {
            200 | 202 if !is_over && !has_notice(id, "") => {
                violations.push(format!("{id}: lost: neither delivered nor ended by a notice"));
            }
            429 | 503 if !own.is_empty() => violations.push(format!("{id}: called though it was refused")),
            _ => {}
        }
    }
    for (id, attempts) in &attempts {
        for (number, attempt) in attempts.iter().enumerate() {
            for earlier in &attempts[..number] {
                violations.extend(call_after(id, earlier, attempt, kills));
            }
            let told_at = notices.iter().filter(|(message, ..)| message == id).map(|(_, _, at)| *at).min();
            if told_at.is_some_and(|at| at + TOLERANCE < attempt.received_at) {
                violations.push(format!("{id}: called after its notice"));
            }
            let runs = &attempts[..number];
            let first_run = runs.iter().find(|other| other.ending.may_have_run());
            let Some(first_run) = first_run else { continue };
            if id.starts_with('u') {
                violations.push(format!("{id}: called again after a call that may have run"));
            }
            if id.starts_with('k') && attempt.received_at > first_run.received_at + KEY_WINDOW + TOLERANCE {
                violations.push(format!("{id}: called again after its key had expired"));
            }
        }
        let has_run = attempts.iter().any(|attempt| attempt.ending.may_have_run());
        if id.starts_with('u') && has_run && has_notice(id, "handed_back") {
            violations.push(format!("{id}: handed back though it may have run"));
        }
    }
    violations
}

/// A violation if an attempt began although the response to an earlier one had ended the message.
fn call_after(id: &str, earlier: &Attempt, attempt: &Attempt, kills: &[Instant]) -> Option<String> {
    let answered_at = earlier.answered_at?;
    // The process may have ended before it read the response.
    let is_unread =
        kills.iter().any(|kill| *kill + TOLERANCE >= answered_at && *kill <= answered_at + TOLERANCE);
    let is_ended = matches!(earlier.ending, Ending::Delivered | Ending::Over | Ending::Spent);
    let is_later = attempt.received_at > answered_at + TOLERANCE;
    (is_ended && is_later && !is_unread).then(|| {
        let part = if earlier.is_whole { "" } else { " (half a response)" };
        format!("{id}: called {:?} after {:?}{part}", attempt.received_at - answered_at, earlier.ending)
    })
}

/// Writes what a failed run observed, for its analysis.
fn write_trace(seed: u64, violations: &[String], dispatcher: &Dispatcher, endpoints: &[Endpoint]) {
    let mut lines = violations.to_vec();
    let calls: Vec<Call> = endpoints.iter().flat_map(Endpoint::all_calls).collect();
    let begin = calls.iter().map(|call| call.received_at).min().unwrap_or_else(Instant::now);
    let seconds = |at: Instant| at.saturating_duration_since(begin).as_secs_f64();
    lines.extend(calls.iter().map(|call| {
        format!(
            "{:.3} {} {:?} connection {} answered {:?} abandoned {:?} {:?}",
            seconds(call.received_at),
            call.address,
            call.message_ids(),
            call.connection,
            call.answered_at.map(seconds),
            call.abandoned_at.map(seconds),
            call.response
        )
    }));
    lines.extend(dispatcher.log());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("calls-after-end-{seed}.log"));
    // The trace is only an aid: the violations are reported in any case.
    let _ = std::fs::write(&path, lines.join("\n"));
    println!("seed {seed}: trace in {}", path.display());
}

/// Hands over up to three times, a short while after each other.
fn upgrade_in_series(dispatcher: &mut Dispatcher, rng: &mut fastrand::Rng) {
    for _ in 0..rng.u32(..4) {
        let mut previous = dispatcher.upgrade();
        thread::spawn(move || previous.wait());
        thread::sleep(Duration::from_millis([200, 500, 1000][rng.usize(..3)]));
    }
}

/// What a seed found.
struct RunResult {
    accepted: usize,
    calls: usize,
    violations: Vec<String>,
}

fn run_seed(seed: u64) -> RunResult {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (with_copies, platform) = (rng.u32(..3) == 0, start_platform(seed));
    let endpoints = [0, 1].map(|number| start_endpoint(seed * 31 + number, with_copies));
    let known: Vec<_> = [(7, "single"), (8, "many")]
        .into_iter()
        .zip(&endpoints)
        .map(|((destination, kind), endpoint)| {
            list_entry(&format!("e{destination}"), endpoint.address, destination, kind, "up")
        })
        .collect();
    let mut dispatcher = Dispatcher::new(&Platform::start(), &known);
    let address = free_address();
    dispatcher.config["listen"] = address.to_string().into();
    dispatcher.config["discovery"] = platform.address.to_string().into();
    // The platform answers no watch, and the list of an earlier process serves for so long.
    dispatcher.config["settings"]["safety"]["stop_sending_within"] = 600.0.into();
    dispatcher.config["settings"]["grades"][1]["repeat_window"] = KEY_WINDOW.as_secs_f64().into();
    dispatcher.start();
    let (submitted, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (submitted, stop) = (submitted.clone(), stop.clone());
            thread::spawn(move || run_client(number, seed, address, &submitted, &stop))
        })
        .collect();
    let (mut kills, alive) = (Vec::new(), AtomicBool::new(true));
    for run in 0..PROCESS_RUNS {
        let crowd: Vec<_> =
            (0..if rng.u32(..4) == 0 { 120 } else { 0 }).map(|_| TcpStream::connect(address)).collect();
        thread::sleep(RUN_TIME / 2);
        if rng.bool() {
            upgrade_in_series(&mut dispatcher, &mut rng);
        }
        thread::sleep(RUN_TIME / 2);
        drop(crowd);
        if run + 1 < PROCESS_RUNS {
            let killed_at = end_process(&mut dispatcher, &alive, &mut rng);
            kills.push(killed_at);
            thread::sleep(START_AFTER_KILL.saturating_sub(killed_at.elapsed()));
            dispatcher.start();
        }
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let submitted = std::mem::take(&mut *submitted.lock().unwrap());
    let last_deadline = submitted.iter().map(|message| message.expires).max().unwrap_or_else(Instant::now);
    // The platform rejects some notices, each of which is repeated after the dispatcher's backoff.
    thread::sleep((last_deadline + NOTICE_GRACE).saturating_duration_since(Instant::now()).max(READY_GRACE));
    let rejected_until = Instant::now() + Duration::from_secs(20);
    let mut violations = audit(&submitted, &endpoints, &platform, &kills);
    while violations.iter().any(|violation| violation.contains("lost")) && Instant::now() < rejected_until {
        thread::sleep(Duration::from_millis(500));
        violations = audit(&submitted, &endpoints, &platform, &kills);
    }
    if !violations.is_empty() {
        write_trace(seed, &violations, &dispatcher, &endpoints);
    }
    let accepted = submitted.iter().filter(|message| matches!(message.status, 200 | 202)).count();
    let calls = endpoints.iter().map(|endpoint| endpoint.all_calls().len()).sum();
    RunResult { accepted, calls, violations }
}

#[test]
fn no_message_is_called_after_its_end() {
    let requested_seeds = std::env::var("CALLS_AFTER_END_SEEDS").ok();
    let range = requested_seeds.as_deref().map_or(SEEDS_IN_CI, |text| {
        let (first, end) = text.split_once("..").expect("CALLS_AFTER_END_SEEDS: FROM..UNTIL");
        first.parse().expect("a seed")..end.parse().expect("a seed")
    });
    let seeds: Vec<u64> = range.collect();
    let mut failed_seeds = Vec::new();
    for batch in seeds.chunks(SEEDS_AT_ONCE) {
        let runs: Vec<_> =
            batch.iter().copied().map(|seed| (seed, thread::spawn(move || run_seed(seed)))).collect();
        for (seed, run) in runs {
            let RunResult { accepted, calls, violations } = run.join().expect("the run ends: see above");
            println!("seed {seed}: {accepted} accepted, {calls} calls, {} violations", violations.len());
            failed_seeds.extend((!violations.is_empty()).then_some((seed, violations)));
        }
    }
    assert!(failed_seeds.is_empty(), "{failed_seeds:#?}");
}
