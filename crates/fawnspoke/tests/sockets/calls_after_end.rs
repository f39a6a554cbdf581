//! Calls of a message after a response that ended it, or that may have.

mod price;
mod soak;

use crate::misplaced_responses::endpoint::{Call, Endpoint, Extra, Request, Script};
use crate::support::*;
use std::thread;
use std::time::Duration;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const GONE: &str = "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
const SPENT: &str = "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n";
/// Longer than a retry takes.
const RETRY_TIME: Duration = Duration::from_millis(1500);

/// Starts an endpoint of destination 7 of this kind (`single`, or `many` messages a call), a platform, and a dispatcher.
fn start(
    kind: &str, script: impl Fn(&Request) -> Script + Send + Sync + 'static,
) -> (Endpoint, Platform, Dispatcher) {
    let (endpoint, platform) = (Endpoint::start(script), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[list_entry("e", endpoint.address, 7, kind, "up")]);
    (endpoint, platform, dispatcher)
}

/// The calls that carried a message.
fn calls_of(endpoint: &Endpoint, id: &str) -> Vec<Call> {
    let calls = endpoint.all_calls().into_iter();
    calls.filter(|call| call.message_ids().iter().any(|other| other == id)).collect()
}

/// Delivers a message, so that the connection has been used, and then submits another one.
fn deliver_then_submit(dispatcher: &Dispatcher, endpoint: &Endpoint, class: &str, id: &str) {
    assert_eq!(dispatcher.submit("safe", "first", 7), 202);
    eventually("the first call's response", || endpoint.answered() == 1);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(dispatcher.submit(class, id, 7), 202);
    eventually("its call", || !calls_of(endpoint, id).is_empty());
}

#[test]
fn a_message_answered_410_on_a_reused_connection_is_not_called_again() {
    for class in ["safe", "keyed"] {
        let (endpoint, platform, dispatcher) = start("single", |request| match &*request.id {
            "over" => Script::respond(GONE),
            _ => Script::respond(OK),
        });
        deliver_then_submit(&dispatcher, &endpoint, class, "over");
        thread::sleep(RETRY_TIME);
        let calls = calls_of(&endpoint, "over");
        assert_eq!(calls[0].connection, endpoint.calls("first")[0].connection);
        assert_eq!(calls.len(), 1, "{class}");
        // The 410 may be another message's: then this one is still owed an end.
        assert_eq!(platform.outcomes("over"), ["given_up"]);
    }
}

#[test]
fn a_message_answered_504_is_ended_by_a_notice_and_not_called_again() {
    for class in ["safe", "keyed", "unsafe"] {
        let (endpoint, platform, dispatcher) = start("single", |request| match &*request.id {
            "spent" => Script::respond(SPENT),
            _ => Script::respond(OK),
        });
        deliver_then_submit(&dispatcher, &endpoint, class, "spent");
        thread::sleep(RETRY_TIME);
        assert_eq!(calls_of(&endpoint, "spent").len(), 1, "{class}");
        assert_eq!(platform.outcomes("spent"), ["handed_back"]);
    }
}

#[test]
fn a_message_answered_by_half_a_410_is_not_called_again_after_a_kill() {
    for status_line in ["410 Gone", "504 Gateway Timeout"] {
        let half = format!("HTTP/1.1 {status_line}\r\nContent-Length: 9\r\n\r\nhalf");
        let (endpoint, _platform, mut dispatcher) = start("single", move |_| Script::respond(half.clone()));
        assert_eq!(dispatcher.submit("safe", "ended", 7), 202);
        eventually("the response", || endpoint.answered() == 1);
        thread::sleep(Duration::from_millis(100));
        dispatcher.kill();
        dispatcher.start();
        thread::sleep(RETRY_TIME);
        assert_eq!(calls_of(&endpoint, "ended").len(), 1, "{status_line}");
    }
}

#[test]
fn a_message_named_spent_in_a_batch_is_ended_by_a_notice_and_not_called_again() {
    let (endpoint, platform) = (
        Endpoint::start(|request| {
            let results: String = request.message_ids().iter().map(|id| format!("{id} spent\r\n")).collect();
            Script::respond(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{results}", results.len()))
        }),
        Platform::start(),
    );
    let dispatcher = Dispatcher::started(&platform, &[draining_endpoint(7)]);
    ["a", "b"].iter().for_each(|id| assert_eq!(dispatcher.submit("safe", id, 7), 202));
    platform.push_changes(2, &[list_entry("e", endpoint.address, 7, "many", "up")]);
    eventually("both notices", || ["a", "b"].iter().all(|id| platform.outcomes(id) == ["handed_back"]));
    thread::sleep(RETRY_TIME);
    assert_eq!(endpoint.all_calls().len(), 1, "both messages in one call");
}

#[test]
fn half_a_response_that_ends_its_message_is_not_followed_by_another_call() {
    // Half of a body, and half of a head.
    for rest in ["Content-Length: 9\r\n\r\nhalf", "Content-Le"] {
        for (status, outcome) in [("410 Gone", "given_up"), ("504 Gateway Timeout", "handed_back")] {
            // On a new connection and on one that was used.
            for is_first in [true, false] {
                let (endpoint, platform, dispatcher) = start("single", move |request| match &*request.id {
                    "half" => Script::respond(format!("HTTP/1.1 {status}\r\n{rest}")),
                    _ => Script::respond(OK),
                });
                match is_first {
                    true => assert_eq!(dispatcher.submit("safe", "half", 7), 202),
                    false => deliver_then_submit(&dispatcher, &endpoint, "safe", "half"),
                }
                thread::sleep(RETRY_TIME);
                assert_eq!(calls_of(&endpoint, "half").len(), 1, "{status} {rest}");
                assert_eq!(platform.outcomes("half"), [outcome]);
            }
        }
    }
}

#[test]
fn a_delivered_message_is_not_called_again_after_a_response_beyond_the_requests() {
    let rejection = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
    let (endpoint, platform, dispatcher) = start("single", move |request| match &*request.id {
        "delivered" => Script::respond(OK).followed_by(Extra::new(Duration::from_millis(30), rejection)),
        _ => Script::respond(OK),
    });
    deliver_then_submit(&dispatcher, &endpoint, "safe", "delivered");
    thread::sleep(RETRY_TIME);
    assert_eq!(calls_of(&endpoint, "delivered").len(), 1);
    // The 503 may be its own, and the 200 a copy: then it is still owed an end.
    assert_eq!(platform.outcomes("delivered"), ["given_up"]);
}

#[test]
fn a_delivery_on_a_reused_connection_is_not_called_again_after_a_kill() {
    let (endpoint, platform, mut dispatcher) = start("single", |_| Script::respond(OK));
    deliver_then_submit(&dispatcher, &endpoint, "keyed", "delivered");
    eventually("its delivery", || endpoint.deliveries("delivered") == 1);
    // Long enough to read the response, and too short to prove that it is its own.
    thread::sleep(Duration::from_millis(50));
    dispatcher.kill();
    dispatcher.start();
    eventually("the notice", || platform.outcomes("delivered") == ["given_up"]);
    thread::sleep(RETRY_TIME);
    assert_eq!(calls_of(&endpoint, "delivered").len(), 1);
}

#[test]
fn a_proven_delivery_is_answered_as_delivered_after_a_restart() {
    let (endpoint, platform, mut dispatcher) = start("single", |_| Script::respond(OK));
    deliver_then_submit(&dispatcher, &endpoint, "safe", "delivered");
    eventually("its proof", || dispatcher.open_journal_messages() == 0);
    dispatcher.kill();
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "delivered", 7), 202);
    thread::sleep(RETRY_TIME);
    assert_eq!((calls_of(&endpoint, "delivered").len(), platform.notices().len()), (1, 0));
}

#[test]
fn a_response_that_ends_its_message_is_seen_behind_a_copy_of_a_rejection() {
    for own in [OK, GONE] {
        let (endpoint, platform, dispatcher) = start("single", move |request| match &*request.id {
            "second" => Script::respond(format!("HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n{own}")),
            _ => Script::respond(OK),
        });
        deliver_then_submit(&dispatcher, &endpoint, "keyed", "second");
        thread::sleep(RETRY_TIME);
        assert_eq!(calls_of(&endpoint, "second").len(), 1, "{own}");
        assert_eq!(platform.outcomes("second"), ["given_up"]);
    }
}

#[test]
fn a_call_that_ends_at_the_first_of_three_processes_is_not_made_again_by_the_third() {
    for response in [OK, GONE] {
        let (endpoint, platform, mut dispatcher) =
            start("single", move |_| Script::respond(response).after(Duration::from_millis(1200)));
        assert_eq!(dispatcher.submit("keyed", "slow", 7), 202);
        eventually("its call", || calls_of(&endpoint, "slow").len() == 1);
        let mut first = dispatcher.upgrade();
        thread::sleep(Duration::from_millis(200));
        let mut second = dispatcher.upgrade();
        eventually("its response", || endpoint.answered() == 1);
        // Both processes have nothing left to do, and end by themselves.
        first.wait().expect("the first process ends");
        second.wait().expect("the second process ends");
        thread::sleep(RETRY_TIME);
        assert_eq!(calls_of(&endpoint, "slow").len(), 1, "{response}");
        assert!(platform.notices().is_empty(), "{:?}", platform.notices());
        assert_eq!(dispatcher.open_journal_messages(), 0);
    }
}
