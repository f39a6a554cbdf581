//! Soak test with endpoints and a platform that write responses which belong to no request, by seed: copies of the last
//! response or an earlier one, other responses, halves, at any distance. Clients use their connections until the kill.
//!
//! `MISPLACED_SEEDS=100..150 cargo test --release -p fawnspoke --test sockets misplaced_responses::soak -- --nocapture`
//! runs more seeds and prints the result of each.

use super::endpoint::{Call, Endpoint, Extra, Request, Script, calls_inside_waits, overlapping_attempts};
use crate::soak::{
    NOTICE_GRACE, READY_GRACE, RandomRequest, RequestResult, START_AFTER_KILL, end_process, send_request,
    take_or_connect,
};
use crate::support::*;
use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SEEDS_IN_CI: Range<u64> = 1..7;
const SEEDS_AT_ONCE: usize = 6;
const CLIENTS: u64 = 4;
const DESTINATIONS: [u32; 2] = [7, 8];
const KEY_WINDOW: Duration = Duration::from_secs(4);
const TOLERANCE: Duration = Duration::from_millis(50);
/// Longest distance of a misplaced response from the response before it.
const MAX_DISTANCE: Duration = Duration::from_secs(2);
/// Share of the responses that others follow, in percent.
const MISPLACED_PERCENT: u32 = 60;
const MAX_NOTICE_RETRY_TIME: Duration = Duration::from_secs(20);
const PROCESS_RUNS: usize = 2;
const RUN_TIME: Duration = Duration::from_secs(4);

/// A message that a client submitted and the dispatcher accepted.
struct AcceptedMessage {
    id: String,
    expires: Instant,
}

/// A delay between 0.1 ms and the longest distance; each order of magnitude is equally likely.
fn random_distance(rng: &mut fastrand::Rng) -> Duration {
    let (shortest, longest) = (1e-4f64, MAX_DISTANCE.as_secs_f64());
    Duration::from_secs_f64(shortest * (longest / shortest).powf(rng.f64()))
}

/// What follows a response, given it and the one before it from the same endpoint.
fn misplaced(rng: &mut fastrand::Rng, own: &[u8], earlier: &[u8]) -> Vec<Extra> {
    let delay = random_distance(rng);
    let extra = |bytes: &[u8]| Extra::new(delay, bytes);
    match rng.u32(..8) {
        0..3 => vec![extra(own)],
        3 => vec![extra(earlier)],
        4 => vec![extra(own), Extra::new(delay * 2, own)],
        5 => vec![extra(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")],
        6 => {
            let (first, rest) = own.split_at(own.len() / 2);
            vec![Extra { rest: Some((delay, rest.into())), ..Extra::new(Duration::ZERO, first) }]
        }
        _ => vec![extra(b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")],
    }
}

/// Decides a response at random, and what follows it.
fn respond(rng: &mut fastrand::Rng, earlier: &Mutex<Vec<u8>>, response: String, delay: Duration) -> Script {
    let own = response.into_bytes();
    let earlier = std::mem::replace(&mut *earlier.lock().unwrap(), own.clone());
    let script = Script::respond(own.clone()).after(delay);
    if rng.u32(..100) >= MISPLACED_PERCENT || earlier.is_empty() {
        return script;
    }
    misplaced(rng, &own, &earlier).into_iter().fold(script, Script::followed_by)
}

fn start_endpoint(seed: u64) -> Endpoint {
    let (rng, earlier) = (Mutex::new(fastrand::Rng::with_seed(seed)), Mutex::default());
    Endpoint::start(move |_: &Request| {
        let rng = &mut *rng.lock().unwrap();
        let service = if rng.u32(..20) == 0 { rng.u64(300..1500) } else { rng.u64(20..70) };
        let response = match rng.u32(..100) {
            0..6 => "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n".to_string(),
            6..12 => {
                let seconds = 0.3 + 0.5 * rng.f64();
                format!("HTTP/1.1 429 Full\r\nRetry-After: {seconds:.3}\r\nContent-Length: 0\r\n\r\n")
            }
            12..15 => "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_string(),
            number => {
                let report = format!("{{\"x0\":0.{number},\"x1\":0}}");
                format!("HTTP/1.1 200 OK\r\nServer-Load: {report}\r\nContent-Length: 2\r\n\r\nok")
            }
        };
        respond(rng, &earlier, response, Duration::from_millis(service))
    })
}

/// A platform that rejects some notices.
fn start_platform(seed: u64) -> Endpoint {
    let (rng, earlier) = (Mutex::new(fastrand::Rng::with_seed(!seed)), Mutex::default());
    Endpoint::start(move |request: &Request| {
        if request.path != "/status" {
            return Script::respond("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        }
        let rng = &mut *rng.lock().unwrap();
        let response = match rng.u32(..3) {
            0 => "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
            _ => "HTTP/1.1 204 No Content\r\n\r\n",
        };
        respond(rng, &earlier, response.into(), Duration::ZERO)
    })
}

/// Sends messages on each connection for as long as it stays open.
fn run_client(
    number: u64, seed: u64, address: SocketAddr, accepted: &Mutex<Vec<AcceptedMessage>>, stop: &AtomicBool,
) {
    let mut rng = fastrand::Rng::with_seed(seed * 1009 + number);
    let (mut stream, mut count): (Option<TcpStream>, u32) = (None, 0);
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(rng.u64(40..160)));
        let Some(mut socket) = take_or_connect(&mut stream, address) else { continue };
        count += 1;
        let RandomRequest { id, timeout, bytes } = RandomRequest::new(&mut rng, number, count, 1500..5000);
        let expires = Instant::now() + timeout;
        if let RequestResult::Status(status, stays_open) = send_request(&mut socket, &bytes) {
            if matches!(status, 200 | 202) {
                accepted.lock().unwrap().push(AcceptedMessage { id, expires });
            }
            stream = stays_open.then_some(socket);
        }
    }
}

/// Checks the calls, notices and accepted messages against the protocol's rules.
fn audit(
    accepted: &[AcceptedMessage], endpoints: &[Endpoint], platform: &Endpoint, restarts: &[Instant],
) -> Vec<String> {
    let mut violations = Vec::new();
    let mut all_calls: Vec<Call> = endpoints.iter().flat_map(Endpoint::all_calls).collect();
    all_calls.sort_by_key(|call| call.received_at);
    let notices = platform.all_calls();
    let has_notice = |id: &str, outcome: &str| {
        notices.iter().any(|notice| {
            notice.status == 204
                && notice
                    .body
                    .lines()
                    .any(|line| line.contains(&format!("\"{id}\"")) && line.contains(outcome))
        })
    };
    for AcceptedMessage { id, .. } in accepted {
        let is_delivered =
            all_calls.iter().any(|call| call.id == *id && call.status == 200 && call.answered_at.is_some());
        if !is_delivered && !has_notice(id, "") {
            violations.push(format!("{id}: lost: neither delivered nor ended by a notice"));
        }
    }
    for (number, call) in all_calls.iter().enumerate() {
        let first_run = all_calls[..number].iter().find(|other| other.id == call.id && other.may_have_run());
        let Some(first_run) = first_run else { continue };
        if call.id.starts_with('u') {
            violations.push(format!("{}: called again after a call that may have run", call.id));
        }
        if call.id.starts_with('k') && call.received_at - first_run.received_at > KEY_WINDOW + TOLERANCE {
            violations.push(format!("{}: called again after its key had expired", call.id));
        }
    }
    let unsafe_runs = all_calls.iter().filter(|call| call.id.starts_with('u') && call.may_have_run());
    for call in unsafe_runs.filter(|call| has_notice(&call.id, "handed_back")) {
        violations.push(format!("{}: handed back though it may have run", call.id));
    }
    violations.extend(overlapping_attempts(&all_calls));
    for endpoint in endpoints {
        // A restart ends the waits.
        let calls = endpoint.all_calls();
        let mut begin = None;
        for end in restarts.iter().copied().map(Some).chain([None]) {
            let run = calls.iter().filter(|call| {
                begin.is_none_or(|begin| call.received_at >= begin)
                    && end.is_none_or(|end| call.received_at < end)
            });
            violations.extend(calls_inside_waits(&run.cloned().collect::<Vec<_>>()));
            begin = end;
        }
    }
    violations
}

/// Whether a line of a trace names a message.
fn names_message(line: &str, id: &str) -> bool {
    line.split(|c: char| !c.is_alphanumeric() && c != '-').any(|word| word == id)
}

/// Writes what a failed run observed, for its analysis, and prints what concerns the violations.
fn write_trace(
    seed: u64, violations: &[String], dispatcher: &Dispatcher, endpoints: &[Endpoint], platform: &Endpoint,
) {
    let mut lines = violations.to_vec();
    let calls: Vec<Call> = endpoints.iter().flat_map(Endpoint::all_calls).collect();
    let begin = calls.iter().map(|call| call.received_at).min().unwrap_or_else(Instant::now);
    let seconds = |at: Option<Instant>| {
        at.map_or("-".into(), |at| format!("{:.3}", at.saturating_duration_since(begin).as_secs_f64()))
    };
    lines.extend(calls.iter().map(|call| {
        format!(
            "{} {} {} connection {} status {} answered {} abandoned {} wait {:?}",
            seconds(Some(call.received_at)),
            call.address,
            call.id,
            call.connection,
            call.status,
            seconds(call.answered_at),
            seconds(call.abandoned_at),
            call.retry_after
        )
    }));
    let notices = platform.all_calls().into_iter().filter(|notice| !notice.body.is_empty());
    lines.extend(notices.map(|notice| {
        let answered_at = seconds(notice.answered_at);
        format!(
            "{} notice {} answered {answered_at}: {}",
            seconds(Some(notice.received_at)),
            notice.status,
            notice.body
        )
    }));
    lines.extend(dispatcher.log());
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("misplaced-{seed}.log"));
    // The trace is only an aid: the violations are reported in any case.
    let _ = std::fs::write(&path, lines.join("\n"));
    println!("seed {seed}: trace in {}; of it:", path.display());
    // CI keeps only the output.
    let ids: Vec<&str> = violations
        .iter()
        .flat_map(|violation| violation.split([' ', ':']).filter(|word| word.matches('-').count() == 2))
        .collect();
    let is_relevant =
        |line: &&String| line.contains("handover: ") || ids.iter().any(|id| names_message(line, id));
    lines.iter().filter(is_relevant).for_each(|line| println!("{line}"));
}

/// What a seed found.
struct RunResult {
    accepted: usize,
    calls: usize,
    violations: Vec<String>,
}

fn run_seed(seed: u64) -> RunResult {
    let mut rng = fastrand::Rng::with_seed(seed);
    let platform = start_platform(seed);
    let endpoints = DESTINATIONS.map(|destination| start_endpoint(seed * 31 + u64::from(destination)));
    let known: Vec<_> = endpoints
        .iter()
        .zip(DESTINATIONS)
        .map(|(endpoint, destination)| {
            list_entry(&format!("e{destination}"), endpoint.address, destination, "single", "up")
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
    let (accepted, stop) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (accepted, stop) = (accepted.clone(), stop.clone());
            thread::spawn(move || run_client(number, seed, address, &accepted, &stop))
        })
        .collect();
    let (mut restarts, alive) = (Vec::new(), AtomicBool::new(true));
    for run in 0..PROCESS_RUNS {
        let crowd: Vec<_> =
            (0..if rng.u32(..4) == 0 { 120 } else { 0 }).map(|_| TcpStream::connect(address)).collect();
        thread::sleep(RUN_TIME / 2);
        if rng.u32(..3) == 0 {
            let mut previous = dispatcher.upgrade();
            thread::spawn(move || previous.wait());
        }
        thread::sleep(RUN_TIME / 2);
        drop(crowd);
        if run + 1 < PROCESS_RUNS {
            let killed_at = end_process(&mut dispatcher, &alive, &mut rng);
            // The process that it took over from may still run, and restarts now.
            restarts.push(killed_at);
            thread::sleep(START_AFTER_KILL.saturating_sub(killed_at.elapsed()));
            restarts.push(Instant::now());
            dispatcher.start();
        }
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    let accepted = std::mem::take(&mut *accepted.lock().unwrap());
    let last_deadline = accepted.iter().map(|message| message.expires).max().unwrap_or_else(Instant::now);
    thread::sleep((last_deadline + NOTICE_GRACE).saturating_duration_since(Instant::now()).max(READY_GRACE));
    // This platform rejects some notices, each of which is repeated after the dispatcher's backoff.
    let rejected_until = Instant::now() + MAX_NOTICE_RETRY_TIME;
    let mut violations = audit(&accepted, &endpoints, &platform, &restarts);
    while violations.iter().any(|violation| violation.contains("lost")) && Instant::now() < rejected_until {
        thread::sleep(Duration::from_millis(500));
        violations = audit(&accepted, &endpoints, &platform, &restarts);
    }
    let calls = endpoints.iter().map(|endpoint| endpoint.all_calls().len()).sum();
    if !violations.is_empty() {
        write_trace(seed, &violations, &dispatcher, &endpoints, &platform);
    }
    RunResult { accepted: accepted.len(), calls, violations }
}

#[test]
fn responses_that_belong_to_no_request_lose_and_repeat_no_message() {
    let requested_seeds = std::env::var("MISPLACED_SEEDS").ok();
    let range = requested_seeds.as_deref().map_or(SEEDS_IN_CI, |text| {
        let (first, end) = text.split_once("..").expect("MISPLACED_SEEDS: FROM..UNTIL");
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
