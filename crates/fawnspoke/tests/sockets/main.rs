//! The dispatcher as a process, on loopback sockets. Each test waits on conditions, never on a tight time.

mod churn;
mod clients;
mod closing;
mod limits;
mod machine_faults;
mod malformed_responses;
mod manual_endpoint;
mod operations;
mod races;
mod reload;
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

/// An endpoint for destination 7 that answers by the script, a platform, a dispatcher that knows both.
fn one(
    script: impl Fn(usize, &HttpMessage) -> Reply + Send + Sync + 'static,
) -> (Endpoint, Platform, Dispatcher) {
    let (endpoint, platform) = (Endpoint::start(script), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    (endpoint, platform, dispatcher)
}

#[test]
fn delivers_unchanged_over_kept_connections() {
    let (endpoint, platform, dispatcher) = one(|_, _| ok());
    let mut client = dispatcher.connect();
    client.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(client.read_response().status(), 200);
    let body: Vec<u8> = (0..=255).collect();
    assert_eq!(client.submit("keyed", "m1", 7, 15_000, &body).status(), 202);
    eventually("the first call", || endpoint.requests().len() == 1);
    assert_eq!(client.submit("safe", "m2", 7, 15_000, b"two").status(), 202);
    eventually("the second call", || endpoint.requests().len() == 2);
    let seen = endpoint.requests();
    assert!(seen[0].request.start_line.starts_with("POST /receive "));
    assert_eq!((seen[0].message_id(), seen[0].request.header("idempotency-key")), ("m1", Some("key-m1")));
    assert!(seen[0].request.header("request-timeout-ms").is_some_and(|ms| ms.parse::<u64>().is_ok()));
    assert_eq!(seen[0].request.body, body);
    assert_eq!(seen[1].connection, 0, "the idle connection is used again");
    assert!(platform.notices().is_empty(), "what is delivered needs no notice");
}

#[test]
fn refuses_what_is_malformed_or_too_long() {
    let (endpoint, _platform, dispatcher) = one(|_, _| ok());
    let status = |head: &str| {
        let mut client = dispatcher.connect();
        client.write(format!("{head}\r\nHost: x\r\n\r\n").as_bytes());
        client.read_response().status()
    };
    assert_eq!(status("GET /nowhere HTTP/1.1"), 404);
    assert_eq!(status("GET /safe HTTP/1.1"), 405);
    assert_eq!(status("POST /safe HTTP/1.1\r\nContent-Length: 0"), 400);
    let good = [
        "Request-Id: m1",
        "Request-Class: safe",
        "Request-Timeout-Ms: 900",
        "X-Consignee: dest=7",
        "Content-Length: 0",
    ];
    let wrong =
        ["Request-Id: two words", "Request-Class: keyed", "Request-Timeout-Ms: soon", "X-Consignee: 7"];
    for (i, wrong) in wrong.iter().enumerate() {
        let mut lines = good;
        lines[i] = wrong;
        assert_eq!(status(&format!("POST /safe HTTP/1.1\r\n{}", lines.join("\r\n"))), 400, "{wrong}");
    }
    // A keyed message without its key could not be told from its repeat.
    let keyed = good.join("\r\n").replace("safe", "keyed");
    assert_eq!(status(&format!("POST /keyed HTTP/1.1\r\n{keyed}")), 400);
    let long = vec![b'x'; 64 * 1024 + 1];
    assert_eq!(dispatcher.connect().submit("safe", "m2", 7, 9000, &long).status(), 413);
    assert_eq!(dispatcher.connect().submit("safe", "m3", 7, 9000, &long[1..]).status(), 202);
    eventually("the longest body that is allowed", || endpoint.requests().len() == 1);
    assert_eq!(endpoint.requests()[0].request.body.len(), 64 * 1024);
}

#[test]
fn bad_configuration_names_the_key() {
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[]);
    for (path, value, key) in [
        ("/settings/limits/open_cap", serde_json::json!(0), "settings.limits.open_cap"),
        ("/settings/family_info/call_slots", serde_json::json!("nine"), "settings.family_info.call_slots"),
        ("/settings/grades/1/repeat_window", serde_json::Value::Null, "settings.grades[1].repeat_window"),
        ("/listen", serde_json::json!("nowhere"), "listen"),
    ] {
        let good = dispatcher.config.clone();
        *dispatcher.config.pointer_mut(path).unwrap() = value;
        let output = dispatcher.command().stderr(Stdio::piped()).output().unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(!output.status.success());
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(key), "{text}");
        dispatcher.config = good;
    }
}

#[test]
fn killed_with_messages_held() {
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
    // What was delivered is over for a third life, too.
    dispatcher.kill();
    dispatcher.start();
    assert_eq!(dispatcher.submit("safe", "m3", 7), 202);
    eventually("the new call", || endpoint.requests().len() == 3);
    assert_eq!(endpoint.message_ids()[2], "m3");
}

#[test]
fn killed_with_calls_out() {
    let (endpoint, platform, mut dispatcher) = one(|n, _| if n < 2 { Reply::Hang } else { ok() });
    assert_eq!(dispatcher.submit("keyed", "m1", 7), 202);
    eventually("the first call", || endpoint.requests().len() == 1);
    assert_eq!(dispatcher.submit("unsafe", "m2", 7), 202);
    eventually("the second call", || endpoint.requests().len() == 2);
    dispatcher.kill();
    dispatcher.start();
    // The key is still remembered: sent again, the same. The unsafe one may have run: it is given up.
    eventually("the keyed message again", || endpoint.requests().len() == 3);
    let again = &endpoint.requests()[2];
    assert_eq!((again.message_id(), again.request.header("idempotency-key")), ("m1", Some("key-m1")));
    assert_eq!(again.request.text(), "hello");
    eventually("the notice", || platform.outcomes("m2") == ["given_up"]);
    assert_eq!(endpoint.message_ids().iter().filter(|id| *id == "m2").count(), 1);
}

/// A dispatcher that was killed while a place was out does not push it over in its next life.
#[test]
fn killed_while_a_place_was_out() {
    let out = Arc::new(AtomicBool::new(false));
    let is_out = out.clone();
    // An answer that takes long: what is sent before the first one shows how much is risked.
    let (endpoint, _platform, mut dispatcher) = one(move |n, _| match n {
        0 => ok(),
        _ if is_out.load(Ordering::SeqCst) => Reply::status(500),
        _ => Reply::Delayed(Duration::from_secs(5), 200),
    });
    assert_eq!(dispatcher.submit("safe", "m", 7), 202);
    eventually("a served call", || endpoint.requests().len() == 1);
    out.store(true, Ordering::SeqCst);
    for i in 0..12 {
        assert_eq!(dispatcher.submit("safe", &format!("n{i}"), 7), 202);
    }
    // Trials are further apart than what is sent to a place that is thought well.
    eventually("the outage is seen", || {
        let seen = endpoint.requests();
        seen.len() >= 4
            && seen.last().is_some_and(|last| last.received_at.elapsed() > Duration::from_millis(200))
    });
    dispatcher.kill();
    out.store(false, Ordering::SeqCst);
    let before = endpoint.requests().len();
    dispatcher.start();
    eventually("a trial", || endpoint.requests().len() > before);
    thread::sleep(Duration::from_millis(300));
    let trials = endpoint.requests().len() - before;
    assert!(trials <= 4, "{trials} calls before the first answer");
}

#[test]
fn attempts_of_an_earlier_life_count() {
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
fn a_notice_that_nobody_answers_goes_again_before_it_is_overdue() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::Disconnect), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    assert_eq!(dispatcher.submit("unsafe", "m1", 7), 202);
    eventually("the first notice", || platform.outcomes("m1") == ["given_up"]);
    // Three are lost, the first of them on the connection that is kept.
    platform.set(|mood| mood.unanswered_notices = 3);
    let begun = std::time::Instant::now();
    assert_eq!(dispatcher.submit("unsafe", "m2", 7), 202);
    eventually("the second notice", || platform.outcomes("m2") == ["given_up"]);
    // 0.2, 0.4 and 0.8 s, with short pauses; a second each time would be 3.3 s.
    assert!(begun.elapsed().as_secs_f64() < 3.0, "{:?}", begun.elapsed());
}

#[test]
fn killed_with_a_notice_unanswered() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::Disconnect), Platform::start());
    platform.set_notice_status(500);
    let mut dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    assert_eq!(dispatcher.submit("unsafe", "m1", 7), 202);
    // At once, though the message had much time left; and again until it is heard.
    eventually("the notice, twice", || platform.outcomes("m1").len() >= 2);
    dispatcher.kill();
    let before = platform.outcomes("m1").len();
    platform.set_notice_status(204);
    dispatcher.start();
    eventually("the notice of the second life", || platform.outcomes("m1").len() > before);
    assert!(platform.outcomes("m1").iter().all(|outcome| outcome == "given_up"));
    eventually("the record that it was heard", || {
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
fn hands_back_with_a_time_to_come_again() {
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[draining_endpoint(7)]);
    // No endpoint may get it and the time is short.
    assert_eq!(dispatcher.connect().submit("keyed", "m1", 7, 300, b"x").status(), 202);
    eventually("the notice", || platform.outcomes("m1") == ["handed_back"]);
    assert!(platform.notices()[0]["retry_in_ms"].as_u64().is_some_and(|ms| (1..=3000).contains(&ms)));
}

#[test]
fn torn_journal() {
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::started(&platform, &[draining_endpoint(7)]);
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    dispatcher.kill();
    let mut bytes = fs::read(dispatcher.last_segment()).unwrap();
    bytes.truncate(bytes.len() - 3);
    fs::write(dispatcher.last_segment(), bytes).unwrap();
    // Half of a file that was being written anew is no journal.
    fs::write(dispatcher.state_dir().join("journal.next"), b"half").unwrap();
    let endpoint = Endpoint::start(|_, _| ok());
    dispatcher.config["known"]["hosts"] =
        serde_json::json!([endpoint.list_entry("e", 7, "up"), draining_endpoint(8)]);
    dispatcher.start();
    eventually("the whole record's call", || endpoint.message_ids() == ["m1"]);
    // What comes after the torn place is read again.
    assert_eq!(dispatcher.submit("unsafe", "m3", 8), 202);
    dispatcher.kill();
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 8, "up")]);
    dispatcher.start();
    eventually("the call after the tear", || endpoint.message_ids() == ["m1", "m3"]);
}

#[test]
fn full_disk_budget() {
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
    let mut taken = 0;
    let refused = loop {
        let answer = client.submit("safe", &format!("m{taken}"), 7, 15_000, &body);
        assert!(on_disk(&dispatcher) <= 800_000);
        if answer.status() != 202 {
            break answer;
        }
        taken += 1;
        assert!(taken < 14, "there is no room for so many");
    };
    assert_eq!(refused.status(), 503);
    assert!(refused.header("retry-after").is_some_and(|s| s.parse::<f64>().is_ok_and(|s| s > 0.0)));
    assert!(taken >= 3);
    // Small ones come and go all along; the file is written anew and no message is lost by that.
    let (endpoint, other) = (Endpoint::start(|_, _| ok()), Endpoint::start(|_, _| ok()));
    platform.push_changes(2, &[other.list_entry("o", 8, "up")]);
    for i in 0..10 {
        dispatcher.submit_once_listed("safe", &format!("s{i}"), 8);
        eventually("the small one's call", || other.requests().len() == i + 1);
    }
    dispatcher.kill();
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("e", 7, "up")]);
    dispatcher.start();
    eventually("all that was taken", || endpoint.requests().len() == taken);
    assert!(on_disk(&dispatcher) <= 800_000);
}

#[test]
fn failed_write_is_no_taking() {
    let (endpoint, platform) = (Endpoint::start(|_, _| ok()), Platform::start());
    let mut dispatcher = Dispatcher::new(&platform, &[draining_endpoint(8)]);
    // No file may pass 20 blocks of 512 bytes; the write fails instead of ending the process.
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
fn more_than_the_room_is_refused() {
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[draining_endpoint(7)]);
    dispatcher.config["settings"]["limits"]["open_cap"] = 3.into();
    dispatcher.start();
    let statuses: Vec<u16> = (0..4).map(|i| dispatcher.submit("safe", &format!("m{i}"), 7)).collect();
    assert!(statuses.iter().all(|status| [202, 503].contains(status)));
    let taken = statuses.iter().filter(|status| **status == 202).count();
    eventually("each beyond the room ends", || {
        let ended = (0..4).filter(|i| !platform.outcomes(&format!("m{i}")).is_empty()).count();
        taken - ended < 3
    });
}

#[test]
fn time_out_closes_the_connection() {
    let (endpoint, platform, dispatcher) = one(|n, _| if n == 0 { Reply::Hang } else { ok() });
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    eventually("the first call's connection closes", || endpoint.abandoned_calls() == 1);
    eventually("the second call", || endpoint.requests().len() == 2);
    let seen = endpoint.requests();
    assert_ne!(seen[0].connection, seen[1].connection);
    assert_eq!(seen[1].message_id(), "m1");
    assert!(platform.notices().is_empty());
}

#[test]
fn a_silent_endpoint_is_tried_on_a_new_connection() {
    let (endpoint, _platform, dispatcher) = one(|n, _| match n {
        0 | 1 => Reply::Delayed(Duration::from_millis(500), 200),
        2 => Reply::Hang,
        _ => ok(),
    });
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    eventually("two calls", || endpoint.requests().len() == 2);
    // Both connections are idle once both answers are in; the third call takes one of them.
    thread::sleep(Duration::from_millis(800));
    assert_eq!(dispatcher.submit("safe", "m3", 7), 202);
    eventually("the time-out and another try", || endpoint.requests().len() == 4);
    let seen = endpoint.requests();
    assert!(seen[2].connection < 2, "an idle connection is used");
    assert_eq!(seen[3].connection, 2, "the other idle one is not trusted any more");
}

#[test]
fn an_answer_that_came_during_a_stall_counts() {
    let (endpoint, platform, dispatcher) = one(|_, _| Reply::Delayed(Duration::from_millis(700), 200));
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    eventually("the call", || endpoint.requests().len() == 1);
    let timeout: u64 = endpoint.requests()[0].request.header("request-timeout-ms").unwrap().parse().unwrap();
    dispatcher.signal("STOP");
    thread::sleep(Duration::from_millis(timeout + 500));
    dispatcher.signal("CONT");
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    eventually("the next call", || endpoint.message_ids().contains(&"m2".to_string()));
    thread::sleep(Duration::from_millis(300));
    assert_eq!(endpoint.message_ids(), ["m1", "m2"], "the first one was delivered");
    assert!(platform.notices().is_empty());
}

#[test]
fn a_broken_connection_may_have_run() {
    let (endpoint, platform, dispatcher) = one(|_, request| match request.header("request-id") {
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
fn a_refused_connection_never_ran() {
    let platform = Platform::start();
    // An address of its own, or another test may be given the port while it is free.
    let gone = std::net::TcpListener::bind("127.0.0.2:0").unwrap();
    let at = gone.local_addr().unwrap();
    drop(gone);
    let dispatcher = Dispatcher::started(&platform, &[list_entry("e", at, 7, "single", "up")]);
    assert_eq!(dispatcher.submit("unsafe", "m1", 7), 202);
    thread::sleep(Duration::from_millis(100));
    let endpoint = Endpoint::start_at(at, |_, _| ok());
    eventually("the call", || endpoint.requests().iter().any(|seen| seen.message_id() == "m1"));
    assert!(platform.outcomes("m1").is_empty());
}

#[test]
fn a_stale_idle_connection_costs_no_message() {
    // The connection is closed behind the answer. An unsafe message must not be risked on it.
    let (endpoint, platform, dispatcher) = one(|_, _| Reply::AnswerAndClose(200));
    for i in 0..4 {
        assert_eq!(dispatcher.submit("unsafe", &format!("m{i}"), 7), 202);
        eventually("the call", || endpoint.requests().len() == i + 1);
        thread::sleep(Duration::from_millis(30));
    }
    assert_eq!(endpoint.message_ids(), ["m0", "m1", "m2", "m3"]);
    assert!(platform.notices().is_empty());
}

#[test]
fn a_batch_with_mixed_ends() {
    // Those that may not run twice are waited for, and go in a call of their own.
    let endpoint = Endpoint::start(|n, request| {
        let text = request.text();
        let all = |ids: &[&str]| ids.iter().all(|id| text.contains(&format!("{id} key-{id} 5\r\nhello\r\n")));
        let ends = if n > 1 {
            "safe-b delivered\nunsafe-d delivered\n"
        } else if all(&["safe-a", "safe-b", "safe-e"]) {
            "safe-a delivered\nsafe-b refused\nsafe-e over\n"
        } else {
            assert!(all(&["unsafe-c", "unsafe-d"]), "{text}");
            "unsafe-c failed\nunsafe-d refused\n"
        };
        Reply::Answer(200, String::new(), ends.into())
    });
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[draining_endpoint(7)]);
    for id in ["safe-a", "safe-b", "unsafe-c", "unsafe-d", "safe-e"] {
        let class = id.split('-').next().unwrap();
        assert_eq!(dispatcher.submit(class, id, 7), 202);
    }
    // All are held; once the endpoint is listed they go in one round.
    platform.push_changes(2, &[list_entry("e", endpoint.address, 7, "many", "up")]);
    eventually("the calls with all", || endpoint.requests().len() >= 2);
    assert!(
        endpoint.requests()[..2]
            .iter()
            .all(|seen| seen.request.start_line.starts_with("POST /receive-many "))
    );
    eventually("the notice", || platform.outcomes("unsafe-c") == ["given_up"]);
    // The refused ones come again, by themselves or together; the others do not.
    let later = |id: &str| {
        endpoint.requests()[2..]
            .iter()
            .any(|seen| seen.message_id() == id || seen.request.text().contains(id))
    };
    eventually("those refused", || later("safe-b") && later("unsafe-d"));
    assert!(!later("safe-a") && !later("unsafe-c") && !later("safe-e"));
    assert_eq!(platform.notices().len(), 1);
}

#[test]
fn a_told_wait_is_kept() {
    let (endpoint, _platform, dispatcher) = one(|n, _| match n {
        0 => Reply::Answer(429, "Retry-After: 1.25\r\n".into(), String::new()),
        _ => ok(),
    });
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    eventually("the refusal", || endpoint.requests().len() == 1);
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    eventually("both after the wait", || endpoint.requests().len() == 3);
    let seen = endpoint.requests();
    assert!(seen[1].received_at - seen[0].received_at >= Duration::from_millis(1250));
}

#[test]
fn drained_while_calling() {
    let first = Endpoint::start(|_, _| Reply::Delayed(Duration::from_millis(400), 200));
    let second = Endpoint::start(|_, _| ok());
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[first.list_entry("e1", 7, "up")]);
    assert_eq!(dispatcher.submit("unsafe", "m1", 7), 202);
    eventually("the first call", || first.requests().len() == 1);
    platform.push_changes(2, &[first.list_entry("e1", 7, "draining"), second.list_entry("e2", 7, "up")]);
    // Once the second one gets a call, the list has come.
    for i in 0..4 {
        assert_eq!(dispatcher.submit("safe", &format!("n{i}"), 7), 202);
        eventually("a call", || first.requests().len() + second.requests().len() >= i + 2);
        thread::sleep(Duration::from_millis(30));
    }
    let drained_from = first.requests().len();
    assert_eq!(dispatcher.submit("safe", "last", 7), 202);
    eventually("the last one's call", || second.message_ids().contains(&"last".to_string()));
    assert_eq!(first.requests().len(), drained_from);
    thread::sleep(Duration::from_millis(400));
    assert!(platform.notices().is_empty(), "the call that was out has ended well");
}

#[test]
fn silent_discovery_is_watched_anew() {
    let (endpoint, platform) = (Endpoint::start(|_, _| ok()), Platform::start());
    platform.set_silent(true);
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    eventually("the call", || endpoint.requests().len() == 1);
    eventually("a second watch", || platform.watch_paths().len() >= 2);
    platform.set_silent(false);
    let silent = platform.watch_paths().len();
    eventually("a watch that is answered", || platform.watch_paths().len() > silent);
    // What is no list counts for nothing, and ends its watch.
    let answered = platform.watch_paths().len();
    platform.push_line("this is no list");
    eventually("another watch", || platform.watch_paths().len() > answered);
    platform.push_changes(9, &[serde_json::json!({"host": "no entry"}), endpoint.list_entry("e", 8, "up")]);
    dispatcher.submit_once_listed("safe", "m2", 8);
    eventually("the call by the new list", || endpoint.requests().len() == 2);
    // This one breaks off by its silence; the next goes on from the last version.
    eventually("a watch from there", || platform.watch_paths().iter().any(|w| w.contains("index=9 ")));
}

/// Where all dispatchers ask one discovery, each call for the list costs it time: a start asks once, and a watch that
/// lives is not asked for again.
#[test]
fn a_list_that_must_be_asked_for_is_asked_for_once() {
    let (endpoint, platform) = (Endpoint::start(|_, _| ok()), Platform::start());
    platform.set(|mood| mood.heartbeats = true);
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.config["settings"]["discovery"] = "subscribe".into();
    dispatcher.config["settings"]["safety"]["must_ask_in"] = 6.0.into();
    dispatcher.start();
    eventually("the watch", || platform.watch_paths().len() == 1);
    // Longer than the share of the rule's time after which a silent watch is asked for anew.
    thread::sleep(Duration::from_millis(7500));
    assert_eq!(platform.watch_paths().len(), 1, "{:?}", platform.watch_paths());
    platform.push_changes(2, &[endpoint.list_entry("e", 8, "up")]);
    dispatcher.submit_once_listed("safe", "m1", 8);
    eventually("the call", || endpoint.message_ids() == ["m1"]);
}

#[test]
fn a_destination_that_no_list_names_is_refused() {
    let (endpoint, platform, dispatcher) = one(|_, _| ok());
    let answer = dispatcher.connect().submit("safe", "m1", 8, 400, b"x");
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some_and(|s| s.parse::<f64>().is_ok_and(|s| s > 0.0)));
    // It may come with a later list.
    platform.push_changes(2, &[endpoint.list_entry("e2", 8, "up")]);
    dispatcher.submit_once_listed("safe", "m1", 8);
    eventually("the call", || endpoint.message_ids() == ["m1"]);
}

#[test]
fn stops_under_traffic() {
    let (endpoint, _platform, mut dispatcher) = one(|_, _| Reply::Delayed(Duration::from_millis(500), 200));
    let mut kept = dispatcher.connect();
    assert_eq!(kept.submit("unsafe", "m1", 7, 15_000, b"x").status(), 202);
    eventually("the call", || endpoint.requests().len() == 1);
    dispatcher.signal("TERM");
    // A kept connection and a new one are answered still, and told to close.
    eventually("the word to close", || {
        let mut probe = dispatcher.connect();
        probe.write(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        probe.read_response().status() == 503
    });
    let answer = kept.submit("safe", "m2", 7, 15_000, b"x");
    assert_eq!((answer.status(), answer.header("connection")), (202, Some("close")));
    let answer = dispatcher.connect().submit("safe", "m3", 7, 15_000, b"x");
    assert_eq!((answer.status(), answer.header("connection")), (202, Some("close")));
    assert!(dispatcher.wait(), "it ends by itself and without fault");
    dispatcher.start();
    eventually("all that was taken", || {
        ["m1", "m2", "m3"].iter().all(|id| endpoint.message_ids().contains(&id.to_string()))
    });
    // The unsafe call that was out has ended on record: it is not made again.
    assert_eq!(endpoint.message_ids().iter().filter(|id| *id == "m1").count(), 1);
}

#[test]
fn a_client_that_left_before_its_answer_withdraws() {
    let (endpoint, platform, dispatcher) = one(|_, _| ok());
    let mut client = dispatcher.connect();
    dispatcher.signal("STOP");
    client.send("safe", "m1", 7, 15_000, b"x");
    drop(client);
    dispatcher.signal("CONT");
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    eventually("the call", || endpoint.message_ids().contains(&"m2".to_string()));
    assert_eq!(endpoint.message_ids(), ["m2"]);
    assert!(platform.notices().is_empty());
}

#[test]
fn half_a_request_takes_nothing() {
    let (endpoint, _platform, dispatcher) = one(|_, _| ok());
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
