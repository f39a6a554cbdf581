//! Responses that arrive on a connection to an endpoint but don't belong to the request that is outstanding there: late
//! copies of earlier responses, and others that no request asked for.

pub mod endpoint;
mod soak;

use crate::soak::NOTICE_GRACE;
use crate::support::*;
use endpoint::{Endpoint, Extra, Request, Script, calls_inside_waits, overlapping_attempts};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const REJECTED: &str = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
const RETRY_LATER: &str = "HTTP/1.1 429 Full\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n";
const NO_CONTENT: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// How long after a request its own response comes, behind the misplaced one.
const OWN_RESPONSE_DELAY: Duration = Duration::from_millis(120);

/// Starts an endpoint of destination 7, a platform, and a dispatcher.
fn start(script: impl Fn(&Request) -> Script + Send + Sync + 'static) -> (Endpoint, Platform, Dispatcher) {
    let (endpoint, platform) = (Endpoint::start(script), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[list_entry("e", endpoint.address, 7, "single", "up")]);
    (endpoint, platform, dispatcher)
}

/// Responds late; on a connection that had a response before, `first` comes right behind the request.
fn misplaced(request: &Request, first: &str, own: &str) -> Script {
    let script = Script::respond(own).after(OWN_RESPONSE_DELAY);
    let is_first = request.index_on_connection == 0;
    if is_first { script } else { script.with_extra(Extra::new(Duration::ZERO, first)) }
}

/// Submits a message once an earlier one has had its response.
fn respond_then_submit(dispatcher: &Dispatcher, endpoint: &Endpoint, class: &str) {
    assert_eq!(dispatcher.submit("safe", "first", 7), 202);
    eventually("the first call's response", || endpoint.answered() == 1);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(dispatcher.submit(class, "second", 7), 202);
}

#[test]
fn a_late_copy_of_a_200_does_not_end_a_message_that_was_rejected() {
    for class in ["safe", "keyed", "unsafe"] {
        let (endpoint, platform, dispatcher) = start(|request| match (request.index, &*request.id) {
            (1, "second") => misplaced(request, OK, REJECTED),
            _ => Script::respond(OK),
        });
        respond_then_submit(&dispatcher, &endpoint, class);
        eventually("a delivery or a notice", || {
            endpoint.deliveries("second") == 1 || !platform.outcomes("second").is_empty()
        });
    }
}

#[test]
fn a_late_copy_of_a_200_leaves_no_notice_overdue() {
    let (endpoint, platform, dispatcher) = start(|request| match (request.index, &*request.id) {
        (1, "second") => misplaced(request, OK, REJECTED).after(Duration::from_secs(2)),
        _ => Script::respond(OK),
    });
    assert_eq!(dispatcher.submit("safe", "first", 7), 202);
    eventually("the first call's response", || endpoint.answered() == 1);
    thread::sleep(Duration::from_millis(50));
    let (submitted_at, timeout) = (Instant::now(), Duration::from_millis(600));
    let response = dispatcher.connect().submit("keyed", "second", 7, timeout.as_millis() as u32, b"x");
    assert_eq!(response.status(), 202);
    eventually("the notice", || !platform.outcomes("second").is_empty());
    assert!(submitted_at.elapsed() < timeout + NOTICE_GRACE, "{:?}", submitted_at.elapsed());
}

#[test]
fn a_delivered_message_with_a_notice_is_answered_as_delivered_when_it_comes_again() {
    let (endpoint, platform, dispatcher) = start(|_| Script::respond(OK));
    assert_eq!(dispatcher.submit("safe", "first", 7), 202);
    eventually("the first call's response", || endpoint.answered() == 1);
    thread::sleep(Duration::from_millis(50));
    let submit = || dispatcher.connect().submit("safe", "second", 7, 600, b"x").status();
    assert_eq!(submit(), 202);
    // Its deadline is too near for a proof that its response on the reused connection is its own.
    eventually("the notice", || !platform.outcomes("second").is_empty());
    thread::sleep(Duration::from_millis(50));
    assert_eq!(submit(), 202);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(endpoint.calls("second").len(), 1);
}

#[test]
fn a_late_copy_of_a_503_does_not_repeat_an_unsafe_message() {
    let (endpoint, _platform, dispatcher) = start(|request| match (request.index, &*request.id) {
        (0, _) => Script::respond(REJECTED),
        (_, "second") => misplaced(request, REJECTED, OK),
        _ => Script::respond(OK).after(Duration::from_millis(300)),
    });
    respond_then_submit(&dispatcher, &endpoint, "unsafe");
    eventually("the response to the second message", || endpoint.deliveries("second") > 0);
    thread::sleep(Duration::from_secs(2));
    assert_eq!(endpoint.calls("second").len(), 1);
}

#[test]
fn a_late_copy_of_a_503_does_not_start_an_attempt_beside_an_open_one() {
    let (endpoint, _platform, dispatcher) = start(|request| match (request.index, &*request.id) {
        (0, _) => Script::respond(REJECTED),
        (_, "second") => misplaced(request, REJECTED, OK).after(Duration::from_millis(2500)),
        _ => Script::respond(OK).after(Duration::from_millis(300)),
    });
    respond_then_submit(&dispatcher, &endpoint, "keyed");
    eventually("a delivery", || endpoint.deliveries("second") > 0);
    assert_eq!(overlapping_attempts(&endpoint.all_calls()), Vec::<String>::new());
}

#[test]
fn a_late_copy_of_a_200_does_not_hide_a_retry_after() {
    let (endpoint, _platform, dispatcher) = start(|request| match (request.index, &*request.id) {
        (1, "second") => misplaced(request, OK, RETRY_LATER),
        _ => Script::respond(OK),
    });
    respond_then_submit(&dispatcher, &endpoint, "keyed");
    eventually("the response to the second message", || endpoint.answered() == 2);
    for i in 0..10 {
        thread::sleep(Duration::from_millis(50));
        assert_eq!(dispatcher.submit("safe", &format!("m{i}"), 7), 202);
    }
    eventually("all deliveries", || (0..10).all(|i| endpoint.deliveries(&format!("m{i}")) == 1));
    assert_eq!(calls_inside_waits(&endpoint.all_calls()), Vec::<String>::new());
}

/// Each call after a hand-over that a Retry-After, written to the previous process meanwhile, forbids.
fn calls_inside_a_wait_told_to_the_previous_process(
    second: impl Fn() -> Script + Send + Sync + 'static,
) -> Vec<String> {
    let (endpoint, _platform, mut dispatcher) = start(move |request| match &*request.id {
        // It keeps the previous process until after the wait was told.
        "long" => Script::respond(OK).after(Duration::from_millis(1900)),
        "second" => second(),
        _ => Script::respond(OK),
    });
    assert_eq!(dispatcher.submit("safe", "first", 7), 202);
    eventually("the first call's response", || endpoint.answered() == 1);
    assert_eq!(dispatcher.submit("unsafe", "long", 7), 202);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(dispatcher.submit("safe", "second", 7), 202);
    eventually("the second call", || endpoint.calls("second").len() == 1);
    let mut previous = dispatcher.upgrade();
    eventually("the response to the second message", || endpoint.calls("second")[0].answered_at.is_some());
    assert_eq!(endpoint.deliveries("long"), 0);
    for i in 0..10 {
        thread::sleep(Duration::from_millis(50));
        assert_eq!(dispatcher.submit("safe", &format!("m{i}"), 7), 202);
    }
    eventually("all deliveries", || (0..10).all(|i| endpoint.deliveries(&format!("m{i}")) == 1));
    previous.wait().expect("the previous process ends");
    calls_inside_waits(&endpoint.all_calls())
}

#[test]
fn a_retry_after_behind_a_copied_200_is_not_lost_in_a_handover() {
    let inside = calls_inside_a_wait_told_to_the_previous_process(|| {
        let copy = Extra::new(Duration::from_millis(700), OK);
        Script::respond(RETRY_LATER).after(Duration::from_millis(900)).with_extra(copy)
    });
    assert_eq!(inside, Vec::<String>::new());
}

#[test]
fn an_endpoint_that_copied_a_response_is_still_distrusted_after_an_upgrade() {
    let (endpoint, _platform, mut dispatcher) = start(|request| match &*request.id {
        "first" => Script::respond(OK).followed_by(Extra::new(Duration::from_millis(20), OK)),
        _ => Script::respond(OK),
    });
    let deliver = |dispatcher: &Dispatcher, id: &str| {
        assert_eq!(dispatcher.submit("safe", id, 7), 202);
        eventually("a delivery", || endpoint.deliveries(id) == 1);
        thread::sleep(Duration::from_millis(50));
    };
    deliver(&dispatcher, "first");
    let mut previous = dispatcher.upgrade();
    previous.wait().expect("the previous process ends");
    let ids = ["second", "third", "fourth"];
    ids.iter().for_each(|id| deliver(&dispatcher, id));
    let mut connections: Vec<u16> = ids.iter().map(|id| endpoint.calls(id)[0].connection).collect();
    connections.sort_unstable();
    connections.dedup();
    assert_eq!(connections.len(), ids.len(), "each call has a connection of its own");
}

#[test]
fn a_late_copy_of_a_204_does_not_end_an_owed_notice() {
    let endpoint = Endpoint::start(|_| Script::disconnect());
    let notices = AtomicUsize::new(0);
    // Accepts the first notice; rejects the second one once, behind a copy of the first response.
    let platform = Endpoint::start(move |request| match &*request.path {
        "/status" if notices.fetch_add(1, Ordering::SeqCst) == 1 => misplaced(request, NO_CONTENT, REJECTED),
        "/status" => Script::respond(NO_CONTENT),
        _ => Script::respond("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"),
    });
    let unused = Platform::start();
    let mut dispatcher = Dispatcher::new(&unused, &[list_entry("e", endpoint.address, 7, "single", "up")]);
    dispatcher.config["discovery"] = platform.address.to_string().into();
    dispatcher.start();
    for id in ["m1", "m2"] {
        assert_eq!(dispatcher.submit("unsafe", id, 7), 202);
        eventually("the notice", || platform.has_answered(id, 204) || platform.has_answered(id, 503));
        thread::sleep(Duration::from_millis(50));
    }
    eventually("an accepted notice for each message", || {
        ["m1", "m2"].iter().all(|id| platform.has_answered(id, 204))
    });
}
