//! End-to-end tests of the dispatcher as a process on loopback sockets, against the lab's stand-ins.
//! Tests wait for conditions with a long timeout, so that they pass on a busy machine.

mod agent_outages;
mod calls_after_end;
mod churn;
mod client_callers;
mod clients;
mod closing;
mod control_callers;
mod departures;
mod discovery_outage;
mod handover_callers;
mod limits;
mod list_confirmation;
mod machine_faults;
mod malformed_responses;
mod manual_endpoint;
mod misplaced_responses;
mod operations;
mod races;
mod reload;
mod replaced_endpoints;
mod settings;
mod shutdown;
mod soak;
mod support;
mod watch;

use std::fs;
use std::io::Write;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;
use support::*;

fn ok() -> Reply {
    Reply::status(200)
}

/// Starts an endpoint of destination 7 that answers by `script`, a platform, and a dispatcher configured with both.
fn start_with_endpoint(
    script: impl Fn(usize, &HttpMessage) -> Reply + Send + Sync + 'static,
) -> (Endpoint, Platform, Dispatcher) {
    let (endpoint, platform) = (Endpoint::start(script), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    (endpoint, platform, dispatcher)
}

#[test]
fn delivers_bodies_unchanged_and_reuses_connections() {
    let (endpoint, platform, dispatcher) = start_with_endpoint(|_, _| ok());
    let mut client = dispatcher.connect();
    client.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.read_response().status(), 200);
    let body: Vec<u8> = (0..=255).collect();
    assert_eq!(client.submit("keyed", "m1", 7, 15_000, &body).status(), 202);
    eventually("the first call", || endpoint.requests().len() == 1);
    assert_eq!(client.submit("safe", "m2", 7, 15_000, b"two").status(), 202);
    eventually("the second call", || endpoint.requests().len() == 2);
    let requests = endpoint.requests();
    assert!(requests[0].request.start_line.starts_with("POST /receive "));
    assert_eq!(
        (requests[0].message_id(), requests[0].request.header("idempotency-key")),
        ("m1", Some("key-m1"))
    );
    assert!(requests[0].request.header("request-timeout-ms").is_some_and(|ms| ms.parse::<u64>().is_ok()));
    assert_eq!(requests[0].request.body, body);
    assert_eq!(requests[1].connection, 0, "the idle connection is reused");
    assert!(platform.notices().is_empty(), "a delivered message needs no notice");
}

#[test]
fn rejects_malformed_and_oversized_requests() {
    let (endpoint, _platform, dispatcher) = start_with_endpoint(|_, _| ok());
    let status = |head: &str| {
        let mut client = dispatcher.connect();
        client.write(format!("{head}\r\nHost: x\r\n\r\n").as_bytes());
        client.read_response().status()
    };
    assert_eq!(status("GET /nowhere HTTP/1.1"), 404);
    assert_eq!(status("GET /safe HTTP/1.1"), 405);
    assert_eq!(status("POST /safe HTTP/1.1\r\nContent-Length: 0"), 400);
    let valid_headers = [
        "Request-Id: m1",
        "Request-Class: safe",
        "Request-Timeout-Ms: 900",
        "X-Consignee: dest=7",
        "Content-Length: 0",
    ];
    let invalid_headers =
        ["Request-Id: two words", "Request-Class: keyed", "Request-Timeout-Ms: soon", "X-Consignee: 7"];
    for (i, invalid) in invalid_headers.iter().enumerate() {
        let mut headers = valid_headers;
        headers[i] = invalid;
        assert_eq!(status(&format!("POST /safe HTTP/1.1\r\n{}", headers.join("\r\n"))), 400, "{invalid}");
    }
    // Without its key, the receiver could not tell a keyed message from a repeat of it.
    let keyed = valid_headers.join("\r\n").replace("safe", "keyed");
    assert_eq!(status(&format!("POST /keyed HTTP/1.1\r\n{keyed}")), 400);
    let oversized = vec![b'x'; 64 * 1024 + 1];
    assert_eq!(dispatcher.connect().submit("safe", "m2", 7, 9000, &oversized).status(), 413);
    assert_eq!(dispatcher.connect().submit("safe", "m3", 7, 9000, &oversized[1..]).status(), 202);
    eventually("the call with the longest allowed body", || endpoint.requests().len() == 1);
    assert_eq!(endpoint.requests()[0].request.body.len(), 64 * 1024);
}

#[test]
fn a_configuration_error_names_the_key() {
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[]);
    for (path, value, key) in [
        ("/settings/limits/open_cap", serde_json::json!(0), "settings.limits.open_cap"),
        ("/settings/family_info/call_slots", serde_json::json!("nine"), "settings.family_info.call_slots"),
        ("/settings/grades/1/repeat_window", serde_json::Value::Null, "settings.grades[1].repeat_window"),
        ("/listen", serde_json::json!("nowhere"), "listen"),
    ] {
        let valid_config = dispatcher.config.clone();
        *dispatcher.config.pointer_mut(path).unwrap() = value;
        let output = dispatcher.command().stderr(Stdio::piped()).output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(key), "{text}");
        dispatcher.config = valid_config;
    }
}

#[test]
fn pending_messages_survive_a_kill() {
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::started(&platform, &[draining_endpoint(7)]);
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    assert_eq!(dispatcher.submit("unsafe", "m2", 7), 202);
    dispatcher.kill();
    let endpoint = Endpoint::start(|_, _| ok());
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("both calls", || endpoint.requests().len() == 2);
    let mut ids = endpoint.message_ids();
    ids.sort();
    assert_eq!(ids, ["m1", "m2"]);
    // The third process doesn't send messages again whose ends the second one has recorded. An end on a reused
    // connection is on record once it is proven.
    eventually("the ends of both calls", || dispatcher.logged_total("served") == 2);
    eventually("both ends on record", || dispatcher.open_journal_messages() == 0);
    dispatcher.kill();
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "m3", 7), 202);
    eventually("the new call", || endpoint.requests().len() == 3);
    assert_eq!(endpoint.message_ids()[2], "m3");
}

#[test]
fn calls_in_flight_at_a_kill_are_retried_or_given_up() {
    let (endpoint, platform, mut dispatcher) =
        start_with_endpoint(|n, _| if n < 2 { Reply::Hang } else { ok() });
    assert_eq!(dispatcher.submit("keyed", "m1", 7), 202);
    eventually("the first call", || endpoint.requests().len() == 1);
    assert_eq!(dispatcher.submit("unsafe", "m2", 7), 202);
    eventually("the second call", || endpoint.requests().len() == 2);
    dispatcher.kill();
    dispatcher.start();
    // The receiver still remembers the key, so the keyed message is retried. The unsafe one may have run: it is given up.
    eventually("the retry of the keyed message", || endpoint.requests().len() == 3);
    let retry = &endpoint.requests()[2];
    assert_eq!((retry.message_id(), retry.request.header("idempotency-key")), ("m1", Some("key-m1")));
    assert_eq!(retry.request.text(), "hello");
    eventually("the notice", || platform.outcomes("m2") == ["given_up"]);
    assert_eq!(endpoint.message_ids().iter().filter(|id| *id == "m2").count(), 1);
}

/// A dispatcher killed during a destination's outage doesn't overload the destination after its restart.
#[test]
fn an_outage_is_remembered_across_a_kill() {
    let unavailable = Arc::new(AtomicBool::new(false));
    let is_unavailable = unavailable.clone();
    // Answers take 5 s, so the number of calls before the first one shows how many trials the dispatcher risks.
    let (endpoint, _platform, mut dispatcher) = start_with_endpoint(move |n, _| match n {
        0 => ok(),
        _ if is_unavailable.load(Ordering::SeqCst) => Reply::status(500),
        _ => Reply::Delayed(Duration::from_secs(5), 200),
    });
    assert_eq!(dispatcher.submit("safe", "m", 7), 202);
    eventually("a successful call", || endpoint.requests().len() == 1);
    unavailable.store(true, Ordering::SeqCst);
    for i in 0..12 {
        assert_eq!(dispatcher.submit("safe", &format!("n{i}"), 7), 202);
    }
    // Trials are further apart than calls to a destination that is believed to be available.
    eventually("the outage is detected", || {
        let requests = endpoint.requests();
        requests.len() >= 4
            && requests.last().is_some_and(|last| last.received_at.elapsed() > Duration::from_millis(200))
    });
    dispatcher.kill();
    unavailable.store(false, Ordering::SeqCst);
    let before = endpoint.requests().len();
    dispatcher.start();
    eventually("a trial", || endpoint.requests().len() > before);
    thread::sleep(Duration::from_millis(300));
    let trials = endpoint.requests().len() - before;
    assert!(trials <= 4, "{trials} calls before the first answer");
}

#[test]
fn attempts_of_previous_processes_count() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::Hang), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.config["settings"]["limits"]["send_cap"] = 2.into();
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    for calls in 1..=2 {
        eventually("a call", || endpoint.requests().len() == calls);
        dispatcher.kill();
        dispatcher.start();
    }
    eventually("the notice", || platform.outcomes("m1") == ["handed_back"]);
    assert_eq!(endpoint.requests().len(), 2);
}

#[test]
fn an_unanswered_notice_is_retried_before_it_is_overdue() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::Disconnect), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    assert_eq!(dispatcher.submit("unsafe", "m1", 7), 202);
    eventually("the first notice", || platform.outcomes("m1") == ["given_up"]);
    // Three notices are lost, the first of them on the reused connection.
    platform.set(|behavior| behavior.unanswered_notices = 3);
    let started_at = std::time::Instant::now();
    assert_eq!(dispatcher.submit("unsafe", "m2", 7), 202);
    eventually("the second notice", || platform.outcomes("m2") == ["given_up"]);
    // Timeouts of 0.2, 0.4 and 0.8 s with short pauses between; a timeout of 1 s each time would add up to 3.3 s.
    assert!(started_at.elapsed().as_secs_f64() < 3.0, "{:?}", started_at.elapsed());
}

#[test]
fn an_unacknowledged_notice_survives_a_kill() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::Disconnect), Platform::start());
    platform.set_notice_status(500);
    let mut dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    assert_eq!(dispatcher.submit("unsafe", "m1", 7), 202);
    // Sent at once, though the message's deadline is far off, and retried until it is acknowledged.
    eventually("the notice, twice", || platform.outcomes("m1").len() >= 2);
    dispatcher.kill();
    let before = platform.outcomes("m1").len();
    platform.set_notice_status(204);
    dispatcher.start();
    eventually("the notice of the second process", || platform.outcomes("m1").len() > before);
    assert!(platform.outcomes("m1").iter().all(|outcome| outcome == "given_up"));
    eventually("the record of the acknowledgement", || {
        let before = platform.outcomes("m1").len();
        dispatcher.kill();
        dispatcher.start();
        assert_eq!(dispatcher.submit("unsafe", &format!("n{before}"), 7), 202);
        eventually("a later notice", || !platform.outcomes(&format!("n{before}")).is_empty());
        platform.outcomes("m1").len() == before
    });
    assert_eq!(endpoint.message_ids().iter().filter(|id| *id == "m1").count(), 1);
}

#[test]
fn a_handed_back_notice_carries_a_retry_delay() {
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[draining_endpoint(7)]);
    // No endpoint may receive the message, and its deadline is close.
    assert_eq!(dispatcher.connect().submit("keyed", "m1", 7, 300, b"x").status(), 202);
    eventually("the notice", || platform.outcomes("m1") == ["handed_back"]);
    assert!(platform.notices()[0]["retry_in_ms"].as_u64().is_some_and(|ms| (1..=3000).contains(&ms)));
}

#[test]
fn a_torn_journal_is_truncated_at_the_last_whole_record() {
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::started(&platform, &[draining_endpoint(7)]);
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    dispatcher.kill();
    let mut bytes = fs::read(dispatcher.last_segment()).unwrap();
    bytes.truncate(bytes.len() - 3);
    fs::write(dispatcher.last_segment(), bytes).unwrap();
    // A partially written replacement file is not mistaken for a journal.
    fs::write(dispatcher.state_dir().join("journal.next"), b"half").unwrap();
    let endpoint = Endpoint::start(|_, _| ok());
    dispatcher.config["known"]["hosts"] =
        serde_json::json!([endpoint.list_entry("e", 7, "up"), draining_endpoint(8)]);
    dispatcher.start();
    eventually("the call of the whole record", || endpoint.message_ids() == ["m1"]);
    // Records written after the truncation are read back.
    assert_eq!(dispatcher.submit("unsafe", "m3", 8), 202);
    dispatcher.kill();
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 8, "up")]);
    dispatcher.start();
    eventually("the call of the record after the truncation", || endpoint.message_ids() == ["m1", "m3"]);
}

#[test]
fn a_full_disk_budget_rejects_messages() {
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[draining_endpoint(7)]);
    dispatcher.config["limits"]["disk_mb"] = 0.8.into();
    dispatcher.start();
    let on_disk = |dispatcher: &Dispatcher| {
        let files = fs::read_dir(dispatcher.state_dir()).unwrap().flatten();
        files.filter_map(|file| file.metadata().ok()).map(|file| file.len().div_ceil(512) * 512).sum::<u64>()
    };
    let mut client = dispatcher.connect();
    let body = vec![b'x'; 60_000];
    let mut accepted = 0;
    let rejected = loop {
        let answer = client.submit("safe", &format!("m{accepted}"), 7, 15_000, &body);
        assert!(on_disk(&dispatcher) <= 800_000);
        if answer.status() != 202 {
            break answer;
        }
        accepted += 1;
        assert!(accepted < 14, "the budget holds fewer messages");
    };
    assert_eq!(rejected.status(), 503);
    assert!(rejected.header("retry-after").is_some_and(|s| s.parse::<f64>().is_ok_and(|s| s > 0.0)));
    assert!(accepted >= 3);
    // Small messages pass meanwhile: the journal is compacted for them, and no accepted message is lost by that.
    let (endpoint, other) = (Endpoint::start(|_, _| ok()), Endpoint::start(|_, _| ok()));
    platform.push_changes(2, &[other.list_entry("o", 8, "up")]);
    for i in 0..10 {
        dispatcher.submit_once_listed("safe", &format!("s{i}"), 8);
        eventually("the call of the small message", || other.requests().len() == i + 1);
    }
    dispatcher.kill();
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("the calls of all accepted messages", || endpoint.requests().len() == accepted);
    assert!(on_disk(&dispatcher) <= 800_000);
}

#[test]
fn a_failed_journal_write_rejects_the_message() {
    let (endpoint, platform) = (Endpoint::start(|_, _| ok()), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[draining_endpoint(8)]);
    // No file may exceed 20 blocks of 512 bytes; with SIGXFSZ ignored, the write fails instead of ending the process.
    dispatcher.shell_prelude = "trap '' XFSZ; ulimit -f 20;".into();
    dispatcher.start();
    let mut client = dispatcher.connect();
    assert_eq!(client.submit("safe", "m1", 8, 15_000, b"fits").status(), 202);
    assert_eq!(client.submit("safe", "m2", 8, 15_000, &vec![b'x'; 30_000]).status(), 503);
    assert_eq!(client.submit("safe", "m3", 8, 15_000, b"fits").status(), 202);
    dispatcher.kill();
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 8, "up")]);
    dispatcher.start();
    eventually("the calls", || endpoint.requests().len() == 2);
    let mut ids = endpoint.message_ids();
    ids.sort();
    assert_eq!(ids, ["m1", "m3"]);
}

#[test]
fn messages_over_the_limit_are_rejected_or_ended() {
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[draining_endpoint(7)]);
    dispatcher.config["settings"]["limits"]["open_cap"] = 3.into();
    dispatcher.start();
    let statuses: Vec<u16> = (0..4).map(|i| dispatcher.submit("safe", &format!("m{i}"), 7)).collect();
    assert!(statuses.iter().all(|status| [202, 503].contains(status)));
    let accepted = statuses.iter().filter(|status| **status == 202).count();
    eventually("the end of each message over the limit", || {
        let ended = (0..4).filter(|i| !platform.outcomes(&format!("m{i}")).is_empty()).count();
        accepted - ended < 3
    });
}

#[test]
fn a_timeout_closes_the_connection() {
    let (endpoint, platform, dispatcher) =
        start_with_endpoint(|n, _| if n == 0 { Reply::Hang } else { ok() });
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    eventually("the end of the first call's connection", || endpoint.abandoned_calls() == 1);
    eventually("the second call", || endpoint.requests().len() == 2);
    let requests = endpoint.requests();
    assert_ne!(requests[0].connection, requests[1].connection);
    assert_eq!(requests[1].message_id(), "m1");
    assert!(platform.notices().is_empty());
}

#[test]
fn after_a_timeout_the_retry_uses_a_new_connection() {
    let (endpoint, _platform, dispatcher) = start_with_endpoint(|n, _| match n {
        0 | 1 => Reply::Delayed(Duration::from_millis(500), 200),
        2 => Reply::Hang,
        _ => ok(),
    });
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    eventually("two calls", || endpoint.requests().len() == 2);
    // Both connections are idle once both answers have arrived; the third call reuses one of them.
    thread::sleep(Duration::from_millis(800));
    assert_eq!(dispatcher.submit("safe", "m3", 7), 202);
    eventually("the retry after the timeout", || endpoint.requests().len() == 4);
    let requests = endpoint.requests();
    assert!(requests[2].connection < 2, "an idle connection is reused");
    assert_eq!(requests[3].connection, 2, "the other idle connection is not reused");
}

#[test]
fn an_answer_that_arrived_during_a_process_stall_counts() {
    let (endpoint, platform, dispatcher) =
        start_with_endpoint(|_, _| Reply::Delayed(Duration::from_millis(700), 200));
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    eventually("the call", || endpoint.requests().len() == 1);
    let timeout: u64 = endpoint.requests()[0].request.header("request-timeout-ms").unwrap().parse().unwrap();
    dispatcher.signal("STOP");
    thread::sleep(Duration::from_millis(timeout + 500));
    dispatcher.signal("CONT");
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    eventually("the next call", || endpoint.message_ids().contains(&"m2".to_string()));
    thread::sleep(Duration::from_millis(300));
    assert_eq!(endpoint.message_ids(), ["m1", "m2"], "the first message counts as delivered");
    assert!(platform.notices().is_empty());
}

#[test]
fn a_call_on_a_broken_connection_may_have_run() {
    let (endpoint, platform, dispatcher) =
        start_with_endpoint(|_, request| match request.header("request-id") {
            Some("m1") => Reply::Disconnect,
            _ => ok(),
        });
    assert_eq!(dispatcher.submit("unsafe", "m1", 7), 202);
    eventually("the notice", || platform.outcomes("m1") == ["given_up"]);
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    eventually("the next call", || endpoint.message_ids().contains(&"m2".to_string()));
    assert_eq!(endpoint.message_ids().iter().filter(|id| *id == "m1").count(), 1);
}

#[test]
fn a_refused_connection_is_retried_for_unsafe_messages() {
    let platform = Platform::start();
    // An IP address that no other test uses, so that none is given the port while it is free.
    let listener = std::net::TcpListener::bind("127.0.0.2:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let dispatcher = Dispatcher::started(&platform, &[list_entry("e", address, 7, "single", "up")]);
    assert_eq!(dispatcher.submit("unsafe", "m1", 7), 202);
    thread::sleep(Duration::from_millis(100));
    let endpoint = Endpoint::start_at(address, |_, _| ok());
    eventually("the call", || endpoint.requests().iter().any(|received| received.message_id() == "m1"));
    assert!(platform.outcomes("m1").is_empty());
}

#[test]
fn a_stale_idle_connection_loses_no_message() {
    // The endpoint closes the connection after its answer. No unsafe message may be sent on it any more.
    let (endpoint, platform, dispatcher) = start_with_endpoint(|_, _| Reply::AnswerAndClose(200));
    for i in 0..4 {
        assert_eq!(dispatcher.submit("unsafe", &format!("m{i}"), 7), 202);
        eventually("the call", || endpoint.requests().len() == i + 1);
        thread::sleep(Duration::from_millis(30));
    }
    assert_eq!(endpoint.message_ids(), ["m0", "m1", "m2", "m3"]);
    assert!(platform.notices().is_empty());
}

#[test]
fn a_batch_with_mixed_outcomes() {
    // Unsafe messages get a call of their own: they are waited for beyond the usual timeout, and a call has one timeout.
    let endpoint = Endpoint::start(|n, request| {
        let text = request.text();
        let has_all =
            |ids: &[&str]| ids.iter().all(|id| text.contains(&format!("{id} key-{id} 5\r\nhello\r\n")));
        let outcomes = if n > 1 {
            "safe-b delivered\nunsafe-d delivered\n"
        } else if has_all(&["safe-a", "safe-b", "safe-e"]) {
            "safe-a delivered\nsafe-b refused\nsafe-e over\n"
        } else {
            assert!(has_all(&["unsafe-c", "unsafe-d"]), "{text}");
            "unsafe-c failed\nunsafe-d refused\n"
        };
        Reply::Answer(200, String::new(), outcomes.into())
    });
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[draining_endpoint(7)]);
    for id in ["safe-a", "safe-b", "unsafe-c", "unsafe-d", "safe-e"] {
        let class = id.split('-').next().unwrap();
        assert_eq!(dispatcher.submit(class, id, 7), 202);
    }
    // All of them are queued; once the endpoint is listed they are sent within one tick.
    platform.push_changes(2, &[list_entry("e", endpoint.address, 7, "many", "up")]);
    eventually("the first two batch calls", || endpoint.requests().len() >= 2);
    assert!(
        endpoint.requests()[..2]
            .iter()
            .all(|received| received.request.start_line.starts_with("POST /receive-many "))
    );
    eventually("the notice", || platform.outcomes("unsafe-c") == ["given_up"]);
    // The rejected messages are retried, separately or together; the others are not.
    let retried = |id: &str| {
        endpoint.requests()[2..]
            .iter()
            .any(|received| received.message_id() == id || received.request.text().contains(id))
    };
    eventually("the retries of the rejected messages", || retried("safe-b") && retried("unsafe-d"));
    assert!(!retried("safe-a") && !retried("unsafe-c") && !retried("safe-e"));
    assert_eq!(platform.notices().len(), 1);
}

#[test]
fn retry_after_is_honoured() {
    let (endpoint, _platform, dispatcher) = start_with_endpoint(|n, _| match n {
        0 => Reply::Answer(429, "Retry-After: 1.25\r\n".into(), String::new()),
        _ => ok(),
    });
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    eventually("the rejected call", || endpoint.requests().len() == 1);
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    eventually("both calls after the Retry-After", || endpoint.requests().len() == 3);
    let requests = endpoint.requests();
    assert!(requests[1].received_at - requests[0].received_at >= Duration::from_millis(1250));
}

#[test]
fn a_draining_endpoint_finishes_its_call_and_gets_no_more() {
    let draining = Endpoint::start(|_, _| Reply::Delayed(Duration::from_millis(400), 200));
    let remaining = Endpoint::start(|_, _| ok());
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[draining.list_entry("e1", 7, "up")]);
    assert_eq!(dispatcher.submit("unsafe", "m1", 7), 202);
    eventually("the first call", || draining.requests().len() == 1);
    platform
        .push_changes(2, &[draining.list_entry("e1", 7, "draining"), remaining.list_entry("e2", 7, "up")]);
    // A call at the second endpoint shows that the dispatcher has received the list.
    for i in 0..4 {
        assert_eq!(dispatcher.submit("safe", &format!("n{i}"), 7), 202);
        eventually("a call", || draining.requests().len() + remaining.requests().len() >= i + 2);
        thread::sleep(Duration::from_millis(30));
    }
    let calls_before = draining.requests().len();
    assert_eq!(dispatcher.submit("safe", "last", 7), 202);
    eventually("the call of the last message", || remaining.message_ids().contains(&"last".to_string()));
    assert_eq!(draining.requests().len(), calls_before);
    thread::sleep(Duration::from_millis(400));
    assert!(platform.notices().is_empty(), "the call in flight was completed");
}

#[test]
fn a_silent_watch_of_discovery_is_reopened() {
    let (endpoint, platform) = (Endpoint::start(|_, _| ok()), Platform::start());
    platform.set_silent(true);
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    // The list of an earlier process serves for so long.
    dispatcher.config["settings"]["safety"]["stop_sending_within"] = 60.0.into();
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    eventually("the call", || endpoint.requests().len() == 1);
    eventually("a second watch", || platform.watch_paths().len() >= 2);
    platform.set_silent(false);
    let unanswered = platform.watch_paths().len();
    eventually("a watch that is answered", || platform.watch_paths().len() > unanswered);
    // A malformed line is ignored and ends its watch.
    let answered = platform.watch_paths().len();
    platform.push_line("this is no list");
    eventually("another watch", || platform.watch_paths().len() > answered);
    platform.push_changes(9, &[serde_json::json!({"host": "no entry"}), endpoint.list_entry("e", 8, "up")]);
    dispatcher.submit_once_listed("safe", "m2", 8);
    eventually("the call to the newly listed endpoint", || endpoint.requests().len() == 2);
    // This watch times out because it is silent; the next one continues from the last version.
    eventually("a watch from the last version", || {
        platform.watch_paths().iter().any(|w| w.contains("index=9 "))
    });
}

/// Subscriptions of many dispatchers load one discovery: each process subscribes once, and doesn't renew a subscription
/// that still receives heartbeats.
#[test]
fn a_live_subscription_is_not_renewed() {
    let (endpoint, platform) = (Endpoint::start(|_, _| ok()), Platform::start());
    platform.set(|behavior| behavior.heartbeats = true);
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.config["settings"]["discovery"] = "subscribe".into();
    dispatcher.config["settings"]["safety"]["must_ask_in"] = 6.0.into();
    dispatcher.start();
    eventually("the subscription", || platform.watch_paths().len() == 1);
    // Longer than the part of `must_ask_in` after which a silent subscription is renewed.
    thread::sleep(Duration::from_millis(7500));
    assert_eq!(platform.watch_paths().len(), 1, "{:?}", platform.watch_paths());
    platform.push_changes(2, &[endpoint.list_entry("e", 8, "up")]);
    dispatcher.submit_once_listed("safe", "m1", 8);
    eventually("the call", || endpoint.message_ids() == ["m1"]);
}

#[test]
fn messages_for_an_unlisted_destination_are_rejected() {
    let (endpoint, platform, dispatcher) = start_with_endpoint(|_, _| ok());
    let answer = dispatcher.connect().submit("safe", "m1", 8, 400, b"x");
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some_and(|s| s.parse::<f64>().is_ok_and(|s| s > 0.0)));
    // A later list may name the destination.
    platform.push_changes(2, &[endpoint.list_entry("e2", 8, "up")]);
    dispatcher.submit_once_listed("safe", "m1", 8);
    eventually("the call", || endpoint.message_ids() == ["m1"]);
}

#[test]
fn stops_gracefully_under_traffic() {
    let (endpoint, _platform, mut dispatcher) =
        start_with_endpoint(|_, _| Reply::Delayed(Duration::from_millis(500), 200));
    let mut kept_client = dispatcher.connect();
    assert_eq!(kept_client.submit("unsafe", "m1", 7, 15_000, b"x").status(), 202);
    eventually("the call", || endpoint.requests().len() == 1);
    dispatcher.signal("TERM");
    // Requests on an open and on a new connection are still answered, with `Connection: close`.
    eventually("the shutdown", || {
        let mut probe = dispatcher.connect();
        probe.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        probe.read_response().status() == 503
    });
    let answer = kept_client.submit("safe", "m2", 7, 15_000, b"x");
    assert_eq!((answer.status(), answer.header("connection")), (202, Some("close")));
    let answer = dispatcher.connect().submit("safe", "m3", 7, 15_000, b"x");
    assert_eq!((answer.status(), answer.header("connection")), (202, Some("close")));
    assert!(dispatcher.wait(), "the process exits by itself with success");
    dispatcher.start();
    eventually("the calls of all accepted messages", || {
        ["m1", "m2", "m3"].iter().all(|id| endpoint.message_ids().contains(&id.to_string()))
    });
    // The end of the unsafe call in flight is on record: the call is not repeated.
    assert_eq!(endpoint.message_ids().iter().filter(|id| *id == "m1").count(), 1);
}

#[test]
fn a_client_that_disconnects_before_its_answer_withdraws_the_message() {
    let (endpoint, platform, dispatcher) = start_with_endpoint(|_, _| ok());
    let mut client = dispatcher.connect();
    dispatcher.signal("STOP");
    client.send("safe", "m1", 7, 15_000, b"x");
    client.disconnect();
    dispatcher.signal("CONT");
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    eventually("the call", || endpoint.message_ids().contains(&"m2".to_string()));
    assert_eq!(endpoint.message_ids(), ["m2"]);
    assert!(platform.notices().is_empty());
}

#[test]
fn a_partial_request_accepts_no_message() {
    let (endpoint, _platform, dispatcher) = start_with_endpoint(|_, _| ok());
    let mut client = dispatcher.connect();
    client.write(
        b"POST /safe HTTP/1.1\r\nHost: x\r\nRequest-Id: m1\r\nRequest-Class: safe\r\n\
          Request-Timeout-Ms: 9000\r\nX-Consignee: dest=7\r\nContent-Length: 10\r\n\r\nhalf",
    );
    drop(client);
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    eventually("the call", || endpoint.requests().len() == 1);
    assert_eq!(endpoint.message_ids(), ["m2"]);
    std::io::stdout().flush().unwrap();
}
