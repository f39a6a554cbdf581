//! Interim responses (1xx): a few before the final response are ordinary; an endpoint that sends nothing else must cost
//! other messages no time.

use crate::manual_endpoint::ManualEndpoint;
use crate::run_alone;
use crate::support::*;
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const INTERIM_RESPONSE: &str = "HTTP/1.1 103 Early Hints\r\nLink: </a.css>; rel=preload\r\n\r\n";
/// A message is lost if its final answer comes later than this after its time is up.
const MAX_NOTICE_DELAY: Duration = Duration::from_millis(500);
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Calls that may be in flight at a time.
const CALL_SLOTS: usize = 24;

/// A flood: the first bytes of the response to each call, then interim responses until the dispatcher closes.
fn endless(first: &str) -> Reply {
    Reply::Endless(first.into(), INTERIM_RESPONSE.repeat(600).into_bytes())
}

/// A dispatcher with `CALL_SLOTS` slots, a sound endpoint for destination 7 and a spoilt one for destination 8.
fn start_beside_flood(first: &'static str) -> (Endpoint, Endpoint, Platform, Dispatcher) {
    let (sound, spoilt) =
        (Endpoint::start(|_, _| Reply::status(200)), Endpoint::start(move |_, _| endless(first)));
    let platform = Platform::start();
    let known = [sound.list_entry("sound", 7, "up"), spoilt.list_entry("spoilt", 8, "up")];
    let mut dispatcher = Dispatcher::new(&platform, &known);
    dispatcher.config["settings"]["family_info"]["call_slots"] = CALL_SLOTS.into();
    dispatcher.start();
    (sound, spoilt, platform, dispatcher)
}

/// Sends messages for destination 8 and returns by how much the latest notice came after the time of its message.
fn latest_notice_delay(platform: &Platform, dispatcher: &Dispatcher) -> Duration {
    let mut client = dispatcher.connect();
    let mut due: BTreeMap<String, Instant> = BTreeMap::new();
    let mut latest = Duration::ZERO;
    let mut take_notices = |due: &mut BTreeMap<String, Instant>| {
        for notice in platform.notices() {
            if let Some(due_at) = notice["message"].as_str().and_then(|id| due.remove(id)) {
                latest = latest.max(due_at.elapsed());
            }
        }
    };
    let timeout_ms = MESSAGE_TIMEOUT.as_millis() as u32;
    let mut accepted = 0;
    for number in 0..4 * CALL_SLOTS {
        let id = format!("m{number}");
        let due_at = Instant::now() + MESSAGE_TIMEOUT;
        // The dispatcher may refuse messages for an endpoint that delivers nothing.
        if client.submit("safe", &id, 8, timeout_ms, b"x").status() == 202 {
            accepted += 1;
            due.insert(id, due_at);
        }
        take_notices(&mut due);
        thread::sleep(Duration::from_millis(10));
    }
    assert!(accepted >= CALL_SLOTS, "only {accepted} messages were accepted");
    eventually("a notice for each message", || {
        take_notices(&mut due);
        due.is_empty()
    });
    latest
}

/// Guards against interim responses without end that keep the thread busy: notices came up to 2 s late (review/6).
#[test]
fn endless_interim_responses_delay_no_notice() {
    let _running = run_alone();
    let (_sound, spoilt, platform, dispatcher) = start_beside_flood("");
    let latest = latest_notice_delay(&platform, &dispatcher);
    println!("latest notice {latest:?} after its message's time; {:?}", loop_delays(&dispatcher));
    assert!(spoilt.abandoned_calls() > 0, "no call was answered without end");
    assert!(latest <= MAX_NOTICE_DELAY, "the latest notice came {latest:?} after its message's time");
}

/// The lines of the log on an event loop that was late.
fn loop_delays(dispatcher: &Dispatcher) -> Vec<String> {
    dispatcher.log().into_iter().filter(|line| line.contains("event loop:")).collect()
}

/// Guards against retries at once, which use up all attempts of a message while its endpoint is in trouble for a moment.
#[test]
fn a_message_outlasts_endless_interim_responses_of_its_endpoint() {
    let _running = run_alone();
    let started_at = Instant::now();
    let endpoint = Endpoint::start(move |_, _| match started_at.elapsed() < Duration::from_secs(3) {
        true => endless(""),
        false => Reply::status(200),
    });
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let ids: Vec<String> = (0..10).map(|number| format!("m{number}")).collect();
    ids.iter().for_each(|id| assert_eq!(dispatcher.submit("safe", id, 7), 202));
    eventually("the end of all messages", || dispatcher.open_journal_messages() == 0);
    assert!(platform.notices().is_empty(), "all were delivered: {:?}", platform.notices());
}

/// The longest turn of the event loop while many calls get interim responses without end at once; started by hand.
#[test]
#[ignore = "a measurement"]
fn measure_many_endless_calls_at_once() {
    let _running = run_alone();
    const CALLS: usize = 200;
    let spoilt = Endpoint::start(|_, _| endless(""));
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[draining_endpoint(8)]);
    dispatcher.config["settings"]["family_info"]["call_slots"] = CALLS.into();
    dispatcher.config["settings"]["limits"]["open_cap"] = (2 * CALLS).into();
    dispatcher.start();
    let mut client = dispatcher.connect();
    for number in 0..CALLS {
        assert_eq!(client.submit("safe", &format!("m{number}"), 8, 10_000, b"x").status(), 202);
    }
    let mut entry = spoilt.list_entry("spoilt", 8, "up");
    entry["share"] = 100_000.0.into();
    platform.push_changes(2, &[entry]);
    thread::sleep(Duration::from_secs(5));
    println!("{} calls without an end; {:?}", spoilt.abandoned_calls(), loop_delays(&dispatcher));
}

/// Guards against a call that lasts for as long as interim responses arrive: it held its slot until its own time-out.
#[test]
fn endless_interim_responses_end_their_call() {
    let _running = run_alone();
    let endpoint = Endpoint::start(|_, request| match request.header("request-id") {
        Some("bad") => endless(""),
        _ => Reply::status(200),
    });
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    let sent_at = Instant::now();
    assert_eq!(dispatcher.submit("unsafe", "bad", 7), 202);
    eventually("the notice", || platform.outcomes("bad") == ["given_up"]);
    // Its deadline is 15 s away. It may have run, so it is not called again.
    assert!(sent_at.elapsed() < Duration::from_secs(3), "the call lasted {:?}", sent_at.elapsed());
    assert_eq!(endpoint.requests().len(), 1);
    assert_eq!(dispatcher.submit("safe", "good", 7), 202);
    eventually("the call of the good message", || endpoint.message_ids().contains(&"good".to_string()));
}

/// Guards against a bound that ordinary interim responses reach, and against doubt about their connection.
#[test]
fn a_few_interim_responses_cost_nothing() {
    let _running = run_alone();
    let response =
        format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n{}", INTERIM_RESPONSE.repeat(8));
    let response = response + OK_RESPONSE;
    let endpoint = Endpoint::start(move |_, _| Reply::Raw(response.clone().into_bytes()));
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    for number in 0..5 {
        let id = format!("m{number}");
        assert_eq!(dispatcher.submit("safe", &id, 7), 202);
        eventually("the call", || endpoint.message_ids().contains(&id));
        // The response has been read and its connection is idle.
        eventually("the end of the message", || dispatcher.open_journal_messages() == 0);
    }
    assert_eq!(endpoint.requests().len(), 5);
    assert!(
        endpoint.requests().iter().all(|request| request.connection == 0),
        "one connection serves all calls"
    );
    assert!(platform.notices().is_empty());
}

/// Guards against an interim response in two pieces being taken for the final one: the call was given up 0.3 s later.
#[test]
fn an_interim_response_in_two_pieces_does_not_shorten_its_call() {
    let _running = run_alone();
    let (endpoint, platform) = (ManualEndpoint::start(), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7)]);
    assert_eq!(dispatcher.submit("unsafe", "m1", 7), 202);
    let mut peer = endpoint.accept();
    peer.read_request().expect("a request");
    peer.write(b"HTTP/1.1 103 Early");
    thread::sleep(Duration::from_millis(100));
    peer.write(b" Hints\r\n\r\n");
    thread::sleep(Duration::from_millis(700));
    assert!(peer.is_open_and_quiet(), "the call was given up");
    peer.write(OK_RESPONSE.as_bytes());
    eventually("the end of the message", || dispatcher.open_journal_messages() == 0);
    assert!(platform.notices().is_empty(), "{:?}", platform.notices());
}

/// Guards against interim responses behind a final one, which belong to no request and were read without a pause.
#[test]
fn interim_responses_behind_a_final_one_delay_no_delivery() {
    let _running = run_alone();
    let (sound, _spoilt, platform, dispatcher) = start_beside_flood(OK_RESPONSE);
    let mut client = dispatcher.connect();
    let mut longest = Duration::ZERO;
    for number in 0..30 {
        for spoilt in 0..4 {
            assert_eq!(
                client.submit("safe", &format!("bad{number}-{spoilt}"), 8, 15_000, b"x").status(),
                202
            );
        }
        let sent_at = Instant::now();
        assert_eq!(client.submit("safe", &format!("m{number}"), 7, 15_000, b"x").status(), 202);
        eventually("the delivery", || sound.requests().len() > number);
        longest = longest.max(sent_at.elapsed());
    }
    println!("longest delivery {longest:?}; {:?}", loop_delays(&dispatcher));
    assert!(longest <= MAX_NOTICE_DELAY, "a delivery took {longest:?}");
    assert!(
        platform
            .notices()
            .iter()
            .all(|notice| notice["message"].as_str().is_some_and(|id| id.starts_with("bad")))
    );
}
