//! Answers that cannot be read, and good ones with more than belongs to them.

use crate::support::*;
use std::thread;
use std::time::Duration;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

fn raw(bytes: impl AsRef<[u8]>) -> Reply {
    Reply::Raw(bytes.as_ref().to_vec())
}

/// An endpoint for destination 7, of the kind that takes one message a call or several.
fn stage(
    class: &str, script: impl Fn(usize, &HttpMessage) -> Reply + Send + Sync + 'static,
) -> (Endpoint, Platform, Dispatcher) {
    let (endpoint, platform) = (Endpoint::start(script), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[list_entry("e", endpoint.address, 7, class, "up")]);
    (endpoint, platform, dispatcher)
}

fn times(endpoint: &Endpoint, id: &str) -> usize {
    endpoint
        .requests()
        .iter()
        .filter(|seen| seen.message_id() == id || seen.request.text().contains(id))
        .count()
}

#[test]
fn a_spoilt_answer_may_have_run_and_is_no_outage() {
    // All that is spoilt in turn, for a message that may be repeated and one that may not.
    let spoilt = |n: usize| match n {
        0 => raw([0xff; 300]),
        1 => raw("HTTP/1.1 500 Oops\r\nContent-Length: minus one\r\n\r\n"),
        2 => raw("HTTP/1.1 429 Full\r\nRetry-After: 2\r\nContent-Length: 500\r\n\r\nfewer"),
        3 => Reply::Endless(b"HTTP/1.1 503 Full\r\n".to_vec(), b"X-More: and more\r\n".to_vec()),
        _ => raw("HTTP/1.1 2"),
    };
    let (endpoint, platform, dispatcher) = stage("single", move |n, request| {
        if request.header("request-id").is_some_and(|id| id.starts_with("good")) {
            return raw(OK);
        }
        spoilt(n)
    });
    assert_eq!(dispatcher.submit("safe", "safe", 7), 202);
    eventually("a try for each", || times(&endpoint, "safe") >= 5);
    assert_eq!(dispatcher.submit("unsafe", "unsafe", 7), 202);
    eventually("the notice", || platform.outcomes("unsafe") == ["given_up"]);
    assert_eq!(times(&endpoint, "unsafe"), 1);
    // The wait in the spoilt answer was told by its head, which is whole; nothing looks like an outage.
    let calls = endpoint.requests();
    let waited = calls[3].received_at - calls[2].received_at;
    assert!(waited >= Duration::from_millis(1900), "the next call {waited:?} into the wait");
    assert_eq!(dispatcher.submit("safe", "good", 7), 202);
    eventually("the good one", || times(&endpoint, "good") == 1);
    assert!(!dispatcher.log_contains("Unavailable"), "the place lives");
}

#[test]
fn a_first_line_with_200_is_true_of_one_message() {
    let (endpoint, platform, dispatcher) = stage("single", |_, request| match request.header("request-id") {
        Some("noise") => raw(b"HTTP/1.1 200 OK\r\n\0\xff: noise\r\n\r\n"),
        Some("open") => raw("HTTP/1.1 200 OK\r\nX-Head: without an end\r\n"),
        Some("short") => raw("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nfewer"),
        Some("lengths") => raw("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"),
        Some("endless") => {
            let head = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n";
            Reply::Endless(head.into(), vec![b'x'; 65536])
        }
        Some("early") => raw(format!("HTTP/1.1 100 Go\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n{OK}")),
        _ => raw(OK),
    });
    let ids = ["noise", "open", "short", "lengths", "endless", "early"];
    for id in ids {
        assert_eq!(dispatcher.submit("unsafe", id, 7), 202);
        eventually("the call", || times(&endpoint, id) == 1);
    }
    eventually("the end of the endless one", || endpoint.abandoned_calls() == 1);
    // Longer than any answer is waited for.
    thread::sleep(Duration::from_millis(1_500));
    assert!(platform.notices().is_empty(), "all were delivered: {:?}", platform.notices());
    assert!(ids.iter().all(|id| times(&endpoint, id) == 1));
}

#[test]
fn a_spoilt_answer_tells_nothing_of_several() {
    let (endpoint, platform) = (
        Endpoint::start(|n, _| match n {
            0 | 1 => {
                raw("HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nsafe-a delivered\nunsafe-b delivered\n")
            }
            // Told in full: that they went twice stays true.
            _ => raw("HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\nsafe-a delivered\nsafe-c delivered\n"),
        }),
        Platform::start(),
    );
    let dispatcher = Dispatcher::started(&platform, &[draining_endpoint(7)]);
    // Two of each sort, which share calls.
    for id in ["safe-a", "unsafe-b", "safe-c", "unsafe-d"] {
        assert_eq!(dispatcher.submit(id.split('-').next().unwrap(), id, 7), 202);
    }
    platform.push_changes(2, &[list_entry("e", endpoint.address, 7, "many", "up")]);
    let given_up = |id: &str| platform.outcomes(id) == ["given_up"];
    eventually("the notices", || given_up("unsafe-b") && given_up("unsafe-d"));
    eventually("the others once more", || times(&endpoint, "safe-a") == 2 && times(&endpoint, "safe-c") == 2);
    assert_eq!((times(&endpoint, "unsafe-b"), times(&endpoint, "unsafe-d")), (1, 1));
    assert_eq!(platform.notices().len(), 2);
}

#[test]
fn what_comes_behind_an_answer_is_no_other_calls_answer() {
    // The second copy comes at once or a little later; the next call would be refused, not delivered.
    let (endpoint, platform, dispatcher) =
        stage("single", |n, request| match (n, request.header("request-id")) {
            (0, _) => raw(format!("{OK}{OK}")),
            (1, Some("second")) => raw("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"),
            _ => raw(OK),
        });
    assert_eq!(dispatcher.submit("unsafe", "first", 7), 202);
    eventually("the first call", || endpoint.requests().len() == 1);
    assert_eq!(dispatcher.submit("unsafe", "second", 7), 202);
    eventually("the second one's true end", || platform.outcomes("second") == ["given_up"]);
    assert_ne!(endpoint.requests()[0].connection, endpoint.requests()[1].connection);
}

#[test]
fn one_bad_message_does_not_turn_away_the_others() {
    let endpoint = Endpoint::start(|_, request| match request.text().contains("bad") {
        false if request.start_line.contains("/receive-many") => {
            raw("HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\nsafe-a delivered\nsafe-c delivered\n")
        }
        false => raw(OK),
        true => raw("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"),
    });
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[draining_endpoint(7)]);
    for (id, body) in [("safe-a", "good"), ("safe-b", "bad"), ("safe-c", "good")] {
        assert_eq!(dispatcher.connect().submit("safe", id, 7, 15_000, body.as_bytes()).status(), 202);
    }
    platform.push_changes(2, &[list_entry("e", endpoint.address, 7, "many", "up")]);
    eventually("the bad one's end", || platform.outcomes("safe-b") == ["given_up"]);
    eventually("the others' calls", || ["safe-a", "safe-c"].iter().all(|id| times(&endpoint, id) == 2));
    assert_eq!(times(&endpoint, "safe-b"), 2, "with the others and by itself");
    assert!(!dispatcher.log_contains("Unavailable"));
    assert_eq!(platform.notices().len(), 1);
}
