//! A dispatcher alone whose discovery agent does not answer for a while. What the agent has when it answers again counts as
//! told, and then the grace of a drain runs, of any customer: whenever no watch is open, a request for one begins in time.

use crate::manual_endpoint::{ManualEndpoint, Peer};
use crate::support::*;
use std::net::TcpListener;
use std::thread;
use std::time::{Duration, Instant};

/// The shortest grace of a drain among the customers under `deploy/sites`, without the 0.15 s for which a process may be
/// held up between its decision and the first byte.
const LATEST_REQUEST: Duration = Duration::from_millis(250);
/// Calls begin up to this much later on sockets.
const TOLERANCE: Duration = Duration::from_millis(50);
/// The grace of a drain where the settings name none.
const DEFAULT_GRACE: Duration = Duration::from_millis(500);
/// The begin of a response to a request for a watch, with a heartbeat.
const OPEN_WATCH: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";
/// Requests without an answer after which the pauses between them were at their longest.
const REQUESTS_IN_OUTAGE: usize = 5;

fn watch_ends(dispatcher: &Dispatcher) -> usize {
    dispatcher.log().iter().filter(|line| line.contains("discovery: watch ended")).count()
}

/// Guards against pauses between two requests that are longer than the grace of a drain: an agent that answered again in
/// such a pause was not asked for up to a second, and calls went to an endpoint that it had as draining.
#[test]
fn a_drain_is_heeded_when_the_agent_is_back_after_a_request_was_given_up() {
    thread::scope(|scope| {
        // The customers' settings: `sajha-ktm`, `deploy/sites/short-calls.toml`.
        for grace in [0.5, 0.4] {
            scope.spawn(move || check_drain_after_silence(grace));
        }
    });
}

fn check_drain_after_silence(grace: f64) {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    platform.set(|behavior| behavior.heartbeats = true);
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.config["settings"]["safety"]["stop_sending_within"] = grace.into();
    dispatcher.start();
    eventually("the watch", || !platform.watch_paths().is_empty());
    assert_eq!(dispatcher.submit("safe", "first", 7), 202);
    eventually("a call before the drain", || endpoint.requests().len() == 1);
    platform.set_silent(true);
    eventually("requests without an answer", || watch_ends(&dispatcher) >= REQUESTS_IN_OUTAGE);
    platform.set_silent(false);
    let back_at = Instant::now();
    let calls_until = |until: Instant| {
        for number in 0.. {
            if Instant::now() >= until {
                break;
            }
            dispatcher.submit("safe", &format!("{number}-{:?}", until.elapsed()), 7);
            thread::sleep(Duration::from_millis(10));
        }
        endpoint.requests().len()
    };
    thread::scope(|scope| {
        // Written once a watch is open.
        scope.spawn(|| platform.push_changes(2, &[endpoint.list_entry("e", 7, "draining")]));
        let grace_ends_at = back_at + Duration::from_secs_f64(grace) + TOLERANCE;
        let calls_at_grace = calls_until(grace_ends_at);
        let calls = calls_until(grace_ends_at + Duration::from_secs(2));
        assert_eq!(calls, calls_at_grace, "calls to an endpoint that drains, at a grace of {grace} s");
    });
}

/// A dispatcher whose agent is driven by hand; its first watch is not accepted yet.
fn start_with_agent(agent: &ManualEndpoint) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(&Platform::start(), &[]);
    dispatcher.config["discovery"] = agent.address.to_string().into();
    dispatcher.start();
    dispatcher
}

/// Guards against pauses that grow with each response that brings no watch: an error, a redirect, a list that is malformed,
/// a connection that is closed.
#[test]
fn the_next_request_follows_in_time_whatever_ended_the_one_before() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let malformed_list = format!("{HEAD}2\r\n7\n\r\n");
    for response in [
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n",
        &malformed_list,
        HEAD,
        "",
    ] {
        let agent = ManualEndpoint::start();
        let _dispatcher = start_with_agent(&agent);
        for _ in 0..REQUESTS_IN_OUTAGE {
            let mut request = agent.accept();
            assert!(request.read_request().is_some());
            request.write(response.as_bytes());
            drop(request);
            let ended_at = Instant::now();
            drop(agent.accept_within(2 * LATEST_REQUEST).expect("the next request"));
            assert!(ended_at.elapsed() <= LATEST_REQUEST, "{:?} after {response:?}", ended_at.elapsed());
        }
    }
}

/// Guards against a drain that the agent gets right after a watch has ended, and that is not asked for before the agent falls
/// silent.
#[test]
fn a_watch_that_ended_after_a_while_is_requested_again_at_once() {
    let agent = ManualEndpoint::start();
    let _dispatcher = start_with_agent(&agent);
    let mut watch = agent.accept();
    let mut shortest_pause = Duration::MAX;
    // A pause shows each time, a busy machine does not.
    for _ in 0..3 {
        assert!(watch.read_request().is_some());
        watch.write(OPEN_WATCH);
        thread::sleep(Duration::from_millis(500));
        drop(watch);
        let ended_at = Instant::now();
        watch = agent.accept();
        shortest_pause = shortest_pause.min(ended_at.elapsed());
    }
    assert!(shortest_pause <= TOLERANCE, "requested again after {shortest_pause:?}");
}

/// Guards against pauses that grow while connects are refused.
#[test]
fn an_agent_that_was_not_running_is_asked_in_time_after_its_start() {
    let address = free_address();
    let mut dispatcher = Dispatcher::new(&Platform::start(), &[]);
    dispatcher.config["discovery"] = address.to_string().into();
    dispatcher.start();
    eventually("connects that are refused", || watch_ends(&dispatcher) >= REQUESTS_IN_OUTAGE);
    let agent = TcpListener::bind(address).expect("the address of the agent");
    let started_at = Instant::now();
    let (_request, _) = agent.accept().expect("a request");
    assert!(started_at.elapsed() <= LATEST_REQUEST, "asked after {:?}", started_at.elapsed());
}

/// Guards against a connect that waits for a repeated SYN, a second after the first one was dropped.
#[test]
fn an_agent_that_drops_connects_is_asked_in_time_once_it_accepts_them() {
    let mut agent = ManualEndpoint::with_full_backlog();
    let dispatcher = start_with_agent(&agent);
    eventually("a pending connect", || agent.pending_connects() > 0);
    thread::sleep(Duration::from_millis(1250));
    agent.accept_connects();
    let accepts_at = Instant::now();
    let requested = (0..).find_map(|_| agent.accept().read_request().is_some().then(|| accepts_at.elapsed()));
    assert!(requested.is_some_and(|after| after <= LATEST_REQUEST), "asked after {requested:?}");
    assert!(dispatcher.is_running());
}

/// A dispatcher that has delivered a message while its watch is open.
fn start_with_open_watch(agent: &ManualEndpoint, endpoint: &Endpoint) -> (Dispatcher, Peer) {
    let mut dispatcher = Dispatcher::new(&Platform::start(), &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.config["discovery"] = agent.address.to_string().into();
    dispatcher.start();
    let mut watch = agent.accept();
    assert!(watch.read_request().is_some());
    watch.write(OPEN_WATCH);
    assert_eq!(dispatcher.submit("safe", "first", 7), 202);
    eventually("the first call", || endpoint.requests().len() == 1);
    (dispatcher, watch)
}

/// Guards against calls by a list that lacks what the agent got when the watch closed: the agent fell silent in that moment,
/// and a drain that it had was not heeded for as long as the silence lasted.
#[test]
fn a_watch_that_closes_before_the_agent_falls_silent_holds_calls_after_the_grace() {
    let (agent, endpoint) = (ManualEndpoint::start(), Endpoint::start(|_, _| Reply::status(200)));
    let (dispatcher, watch) = start_with_open_watch(&agent, &endpoint);
    drop(watch);
    thread::sleep(DEFAULT_GRACE + TOLERANCE);
    let calls = endpoint.requests().len();
    for number in 0..5 {
        assert_eq!(dispatcher.submit("safe", &format!("held{number}"), 7), 202);
        thread::sleep(Duration::from_millis(300));
    }
    assert_eq!(endpoint.requests().len(), calls, "calls by a list that may be outdated");
    // The agent answers, and has nothing new. Requests that were given up meanwhile come first.
    eventually("the held messages", || {
        let mut watch = agent.accept();
        watch.read_request().is_some() && watch.try_write(OPEN_WATCH).is_ok() && {
            thread::sleep(Duration::from_secs(2));
            endpoint.requests().len() == calls + 5
        }
    });
}

/// Guards against messages that wait without need: a watch that only falls silent has brought all that the agent had.
#[test]
fn an_agent_that_falls_silent_holds_no_calls() {
    let (agent, endpoint) = (ManualEndpoint::start(), Endpoint::start(|_, _| Reply::status(200)));
    let (dispatcher, _watch) = start_with_open_watch(&agent, &endpoint);
    eventually("requests without an answer", || watch_ends(&dispatcher) >= 2);
    assert_eq!(dispatcher.submit("safe", "second", 7), 202);
    eventually("its call", || endpoint.message_ids().contains(&"second".to_string()));
    assert!(!dispatcher.log_contains("list not confirmed"));
}

/// Guards against a dispatcher that delivers nothing for as long as its agent is not running.
#[test]
fn an_agent_that_ends_holds_no_calls() {
    let (agent, endpoint) = (ManualEndpoint::start(), Endpoint::start(|_, _| Reply::status(200)));
    let (dispatcher, watch) = start_with_open_watch(&agent, &endpoint);
    drop((watch, agent));
    eventually("a connect that is refused", || dispatcher.log_contains("Connection refused"));
    thread::sleep(DEFAULT_GRACE);
    assert_eq!(dispatcher.submit("safe", "second", 7), 202);
    eventually("its call", || endpoint.message_ids().contains(&"second".to_string()));
}
