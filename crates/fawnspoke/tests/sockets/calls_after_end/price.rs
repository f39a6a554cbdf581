//! What it costs to doubt responses, measured at an endpoint that copies none: deliveries of which the platform is told that they
//! were given up, and connections made for each call.
//!
//! `PRICE_RUNS=5:1,37:5,200:20 cargo test --release -p fawnspoke --test sockets calls_after_end::price -- --nocapture` measures
//! other runs (messages a second, percent rejected).

use super::soak::acknowledged_notices;
use crate::misplaced_responses::endpoint::{Endpoint, Script};
use crate::soak::{NOTICE_GRACE, RandomRequest, RequestResult, send_request, take_or_connect};
use crate::support::*;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const DEFAULT_RUNS: &str = "37:5";
const RUN_TIME: Duration = Duration::from_secs(9);
const REJECTED: &str = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// What one run cost.
struct Price {
    delivered: usize,
    /// Delivered, and told as given up or handed back.
    told_otherwise: usize,
    calls: usize,
    connections: usize,
    lost: usize,
}

/// An endpoint that serves in 15 to 50 ms and rejects some calls.
fn start_endpoint(rejected_percent: u32) -> Endpoint {
    let rng = Mutex::new(fastrand::Rng::with_seed(7));
    Endpoint::start(move |_| {
        let rng = &mut *rng.lock().unwrap();
        let response = if rng.u32(..100) < rejected_percent { REJECTED } else { OK };
        Script::respond(response).after(Duration::from_millis(rng.u64(15..50)))
    })
}

fn measure(messages_per_second: u32, rejected_percent: u32) -> Price {
    let endpoints = [7, 8].map(|destination| (destination, start_endpoint(rejected_percent)));
    let platform = Endpoint::start(|request| match &*request.path {
        "/status" => Script::respond("HTTP/1.1 204 No Content\r\n\r\n"),
        _ => Script::respond("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"),
    });
    let entries = endpoints.clone().map(|(destination, endpoint)| {
        list_entry(&format!("e{destination}"), endpoint.address, destination, "single", "up")
    });
    let mut dispatcher = Dispatcher::new(&Platform::start(), &entries);
    dispatcher.config["discovery"] = platform.address.to_string().into();
    // The platform answers no watch, and the list of an earlier process serves for so long.
    dispatcher.config["settings"]["safety"]["stop_sending_within"] = 600.0.into();
    dispatcher.config["settings"]["family_info"]["call_slots"] = 64.into();
    dispatcher.config["settings"]["limits"]["open_cap"] = 2000.into();
    dispatcher.start();
    let (mut rng, mut stream) = (fastrand::Rng::with_seed(3), None);
    let (mut accepted, mut last_deadline) = (Vec::new(), Instant::now());
    let begin = Instant::now();
    for number in 0..(messages_per_second * RUN_TIME.as_secs() as u32) {
        let due = begin + Duration::from_secs(1) * number / messages_per_second;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let Some(mut socket) = take_or_connect(&mut stream, dispatcher.client_address()) else { continue };
        let RandomRequest { id, timeout, bytes } = RandomRequest::new(&mut rng, 0, number, 2_000..5_000);
        if let RequestResult::Status(202, stays_open) = send_request(&mut socket, &bytes) {
            accepted.push(id);
            last_deadline = last_deadline.max(Instant::now() + timeout);
            stream = stays_open.then_some(socket);
        }
    }
    let delivered_ids = || -> BTreeSet<String> {
        let calls = endpoints.iter().flat_map(|(_, endpoint)| endpoint.all_calls());
        let delivered = calls.filter(|call| call.status == 200 && call.answered_at.is_some());
        delivered.map(|call| call.id).collect()
    };
    let told_ids =
        || -> BTreeSet<String> { acknowledged_notices(&platform).into_iter().map(|(id, ..)| id).collect() };
    let open_messages = || {
        let (delivered, told) = (delivered_ids(), told_ids());
        accepted.iter().filter(|id| !delivered.contains(*id) && !told.contains(*id)).count()
    };
    eventually("the ends of all messages", || {
        open_messages() == 0 || Instant::now() > last_deadline + NOTICE_GRACE
    });
    // Deliveries are proven within this time, or never.
    thread::sleep(Duration::from_secs(6));
    let (delivered, told) = (delivered_ids(), told_ids());
    let calls: Vec<_> = endpoints.iter().flat_map(|(_, endpoint)| endpoint.all_calls()).collect();
    let connections: BTreeSet<_> = calls.iter().map(|call| (call.address, call.connection)).collect();
    Price {
        delivered: delivered.len(),
        told_otherwise: delivered.intersection(&told).count(),
        calls: calls.len(),
        connections: connections.len(),
        lost: open_messages(),
    }
}

#[test]
fn price_at_an_endpoint_that_copies_nothing() {
    let runs = std::env::var("PRICE_RUNS").unwrap_or_else(|_| DEFAULT_RUNS.into());
    let runs = runs.split(',').map(|run| {
        let (rate, rejected) = run.split_once(':').expect("PRICE_RUNS: RATE:PERCENT,...");
        let (rate, rejected) = (rate.parse().expect("a rate"), rejected.parse().expect("a percentage"));
        (rate, rejected, thread::spawn(move || measure(rate, rejected)))
    });
    for (rate, rejected, run) in runs.collect::<Vec<_>>() {
        let Price { delivered, told_otherwise, calls, connections, lost } = run.join().expect("a price");
        println!(
            "{rate}/s, {rejected}% rejected: {told_otherwise} of {delivered} delivered told otherwise; {connections} \
             connections for {calls} calls ({:.2} a call); {lost} lost",
            connections as f64 / calls as f64
        );
        assert_eq!(lost, 0);
    }
}
