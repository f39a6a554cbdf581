//! Malformed, truncated and endless responses, and valid ones with trailing bytes.

use crate::support::*;
use std::thread;
use std::time::Duration;

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

fn raw_reply(bytes: impl AsRef<[u8]>) -> Reply {
    Reply::Raw(bytes.as_ref().to_vec())
}

/// Starts an endpoint for destination 7 of this class (`single` receives one message a call, `many` several), a platform
/// and a dispatcher.
fn start(
    class: &str, script: impl Fn(usize, &HttpMessage) -> Reply + Send + Sync + 'static,
) -> (Endpoint, Platform, Dispatcher) {
    let (endpoint, platform) = (Endpoint::start(script), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[list_entry("e", endpoint.address, 7, class, "up")]);
    (endpoint, platform, dispatcher)
}

fn call_count(endpoint: &Endpoint, id: &str) -> usize {
    endpoint
        .requests()
        .iter()
        .filter(|seen| seen.message_id() == id || seen.request.text().contains(id))
        .count()
}

#[test]
fn a_malformed_response_counts_as_possible_execution_not_as_an_outage() {
    // Each malformed response in turn, for a message that may be repeated and for one that may not.
    let malformed = |n: usize| match n {
        0 => raw_reply([0xff; 300]),
        1 => raw_reply("HTTP/1.1 500 Oops\r\nContent-Length: minus one\r\n\r\n"),
        2 => raw_reply("HTTP/1.1 429 Full\r\nRetry-After: 2\r\nContent-Length: 500\r\n\r\nfewer"),
        3 => Reply::Endless(b"HTTP/1.1 503 Full\r\n".to_vec(), b"X-More: and more\r\n".to_vec()),
        _ => raw_reply("HTTP/1.1 2"),
    };
    let (endpoint, platform, dispatcher) = start("single", move |n, request| {
        if request.header("request-id").is_some_and(|id| id.starts_with("good")) {
            return raw_reply(OK_RESPONSE);
        }
        malformed(n)
    });
    assert_eq!(dispatcher.submit("safe", "safe", 7), 202);
    eventually("an attempt for each response", || call_count(&endpoint, "safe") >= 5);
    assert_eq!(dispatcher.submit("unsafe", "unsafe", 7), 202);
    eventually("the notice", || platform.outcomes("unsafe") == ["given_up"]);
    assert_eq!(call_count(&endpoint, "unsafe"), 1);
    // The Retry-After of the truncated 429 counts, because its head is complete; none of the responses is an outage.
    let calls = endpoint.requests();
    let waited = calls[3].received_at - calls[2].received_at;
    assert!(
        waited >= Duration::from_millis(1900),
        "the next call came after {waited:?}, before the Retry-After was over"
    );
    assert_eq!(dispatcher.submit("safe", "good", 7), 202);
    eventually("the call of the good message", || call_count(&endpoint, "good") == 1);
    assert!(!dispatcher.log_contains("Unavailable"), "the endpoint counts as available");
}

#[test]
fn a_200_status_line_settles_a_single_message() {
    let (endpoint, platform, dispatcher) = start("single", |_, request| match request.header("request-id") {
        Some("noise") => raw_reply(b"HTTP/1.1 200 OK\r\n\0\xff: noise\r\n\r\n"),
        Some("open") => raw_reply("HTTP/1.1 200 OK\r\nX-Head: without an end\r\n"),
        Some("short") => raw_reply("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nfewer"),
        Some("lengths") => raw_reply("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        Some("endless") => {
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n";
            Reply::Endless(head.into(), vec![b'x'; 65536])
        }
        Some("early") => {
            raw_reply(format!("HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n{OK_RESPONSE}"))
        }
        _ => raw_reply(OK_RESPONSE),
    });
    let ids = ["noise", "open", "short", "lengths", "endless", "early"];
    for id in ids {
        assert_eq!(dispatcher.submit("unsafe", id, 7), 202);
        eventually("the call", || call_count(&endpoint, id) == 1);
    }
    eventually("the abort of the endless response", || endpoint.abandoned_calls() == 1);
    // Longer than the dispatcher waits for any response.
    thread::sleep(Duration::from_millis(1_500));
    assert!(platform.notices().is_empty(), "all were delivered: {:?}", platform.notices());
    assert!(ids.iter().all(|id| call_count(&endpoint, id) == 1));
}

#[test]
fn a_truncated_batch_response_settles_no_message() {
    let (endpoint, platform) = (
        Endpoint::start(|n, _| match n {
            0 | 1 => raw_reply(
                "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nsafe-a delivered\nunsafe-b delivered\n",
            ),
            // The second attempt of the safe messages gets a complete response.
            _ => {
                raw_reply("HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\nsafe-a delivered\nsafe-c delivered\n")
            }
        }),
        Platform::start(),
    );
    let dispatcher = Dispatcher::started(&platform, &[draining_endpoint(7)]);
    // Two safe and two unsafe messages; those of one effect share a call.
    for id in ["safe-a", "unsafe-b", "safe-c", "unsafe-d"] {
        assert_eq!(dispatcher.submit(id.split('-').next().unwrap(), id, 7), 202);
    }
    platform.push_changes(2, &[list_entry("e", endpoint.address, 7, "many", "up")]);
    let given_up = |id: &str| platform.outcomes(id) == ["given_up"];
    eventually("the notices", || given_up("unsafe-b") && given_up("unsafe-d"));
    eventually("the second attempts of the safe messages", || {
        call_count(&endpoint, "safe-a") == 2 && call_count(&endpoint, "safe-c") == 2
    });
    assert_eq!((call_count(&endpoint, "unsafe-b"), call_count(&endpoint, "unsafe-d")), (1, 1));
    assert_eq!(platform.notices().len(), 2);
}

#[test]
fn bytes_after_a_response_are_not_the_response_of_the_next_call() {
    // A second copy follows the first response, at once or a little later. Read as the response to the next call,
    // which fails, it would count as a delivery.
    let (endpoint, platform, dispatcher) =
        start("single", |n, request| match (n, request.header("request-id")) {
            (0, _) => raw_reply(format!("{OK_RESPONSE}{OK_RESPONSE}")),
            (1, Some("second")) => raw_reply("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
            _ => raw_reply(OK_RESPONSE),
        });
    assert_eq!(dispatcher.submit("unsafe", "first", 7), 202);
    eventually("the first call", || endpoint.requests().len() == 1);
    assert_eq!(dispatcher.submit("unsafe", "second", 7), 202);
    eventually("the failure of the second call", || platform.outcomes("second") == ["given_up"]);
    assert_ne!(endpoint.requests()[0].connection, endpoint.requests()[1].connection);
}

#[test]
fn one_rejected_message_does_not_fail_the_rest_of_its_batch() {
    let endpoint = Endpoint::start(|_, request| match request.text().contains("bad") {
        false if request.start_line.contains("/receive-many") => {
            raw_reply("HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\nsafe-a delivered\nsafe-c delivered\n")
        }
        false => raw_reply(OK_RESPONSE),
        true => raw_reply("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"),
    });
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[draining_endpoint(7)]);
    for (id, body) in [("safe-a", "good"), ("safe-b", "bad"), ("safe-c", "good")] {
        assert_eq!(dispatcher.connect().submit("safe", id, 7, 15_000, body.as_bytes()).status(), 202);
    }
    platform.push_changes(2, &[list_entry("e", endpoint.address, 7, "many", "up")]);
    eventually("the notice of the bad message", || platform.outcomes("safe-b") == ["given_up"]);
    eventually("the calls of the other messages", || {
        ["safe-a", "safe-c"].iter().all(|id| call_count(&endpoint, id) == 2)
    });
    assert_eq!(call_count(&endpoint, "safe-b"), 2, "once in the batch and once by itself");
    assert!(!dispatcher.log_contains("Unavailable"));
    assert_eq!(platform.notices().len(), 1);
}
