//! Limits: rate limits reported by endpoints, the dispatcher's own call slots, and the quotas of tenants.

use crate::support::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

fn reply_with_limit(status: u16, limit: f64) -> Reply {
    Reply::Answer(status, format!("Server-Load: {{\"x0\":0.5,\"x1\":{limit}}}\r\n"), String::new())
}

fn send_messages(dispatcher: &Dispatcher, prefix: &str, count: usize) {
    let mut client = dispatcher.connect();
    for i in 0..count {
        let status = client.submit("safe", &format!("{prefix}{i}"), 7, 20_000, b"x").status();
        assert_eq!(status, 202);
    }
}

#[test]
fn the_send_rate_follows_the_reported_limit_up_and_down() {
    // The limit starts at 4 calls a second; one 503 makes the dispatcher apply it.
    let limit = Arc::new(AtomicU32::new(4));
    let reported = limit.clone();
    let endpoint = Endpoint::start(move |n, _| {
        reply_with_limit(if n == 1 { 503 } else { 200 }, reported.load(Ordering::SeqCst).into())
    });
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.config["settings"]["limits"]["open_cap"] = 500.into();
    dispatcher.start();
    let call_count = || endpoint.requests().len();
    send_messages(&dispatcher, "m", 200);
    eventually("some calls at the low limit", || call_count() >= 6);
    // A limit 100 times as high: a send rate that only grows by steps would need half a minute, and deadlines
    // would pass.
    limit.store(400, Ordering::SeqCst);
    let raised_at = Instant::now();
    eventually("the remaining calls", || call_count() > 200);
    assert!(raised_at.elapsed() < Duration::from_secs(10), "{:?}", raised_at.elapsed());
    // Back down: the last responses reported the high limit, the first of the next ones reports the low one.
    limit.store(4, Ordering::SeqCst);
    send_messages(&dispatcher, "n", 1);
    eventually("the response with the low limit", || call_count() >= 202);
    send_messages(&dispatcher, "o", 100);
    let before = call_count();
    std::thread::sleep(Duration::from_secs(2));
    assert!(call_count() - before < 40, "{} calls in two seconds", call_count() - before);
    assert!(platform.notices().is_empty());
}

#[test]
fn a_call_lost_with_a_reused_connection_consumes_no_rate_budget() {
    // The limit is one call in two seconds; once it has been reported, every second request finds its connection
    // broken. The rejection comes on a reused connection, which closes it, so the one after it opens another.
    let endpoint = Endpoint::start(|n, _| match n {
        1 => reply_with_limit(503, 0.5),
        n if n > 1 && n % 2 == 1 => Reply::Disconnect,
        _ => reply_with_limit(200, 0.5),
    });
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.config["settings"]["family_info"]["call_slots"] = 1.into();
    dispatcher.start();
    for id in ["first", "rejected"] {
        let before = endpoint.requests().len();
        send_messages(&dispatcher, id, 1);
        eventually("the call", || endpoint.requests().len() > before);
    }
    send_messages(&dispatcher, "m", 7);
    eventually("some calls", || endpoint.requests().len() >= 11);
    let requests = endpoint.requests();
    // Holds until the dispatcher has detected that reused connections break at this endpoint.
    for lost in [3, 5, 7] {
        assert!(requests[..lost].iter().any(|s| s.connection == requests[lost].connection));
        let gap = requests[lost + 1].received_at - requests[lost].received_at;
        assert!(gap < Duration::from_secs(1), "{gap:?} from a lost call to the next");
    }
    assert!(
        requests[10].received_at - requests[4].received_at > Duration::from_secs(1),
        "the limit applies to the calls that arrived"
    );
}

#[test]
fn the_last_slot_gets_a_shorter_timeout() {
    let shortest = |slots: u32, class: &str, target_ms: u64| {
        let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
        let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
        dispatcher.config["settings"]["family_info"]["call_slots"] = slots.into();
        dispatcher.start();
        let mut client = dispatcher.connect();
        let mut shortest = u64::MAX;
        // The timeout shrinks as the endpoint proves fast.
        for i in 0..200 {
            assert_eq!(client.submit(class, &format!("m{i}"), 7, 15_000, b"x").status(), 202);
            eventually("the call", || endpoint.requests().len() > i);
            let timeout_ms =
                endpoint.requests()[i].request.header("request-timeout-ms").unwrap().parse().unwrap();
            shortest = shortest.min(timeout_ms);
            if shortest <= target_ms {
                break;
            }
        }
        shortest
    };
    let usual = shortest(8, "safe", 800);
    assert!((700..=800).contains(&usual), "{usual} ms");
    assert!(
        shortest(1, "keyed", 500) <= 500,
        "the timeout is shorter because other messages wait for the slot"
    );
    // An unsafe message is lost when its call times out, so it keeps its full timeout.
    assert!(shortest(1, "unsafe", 800) > 800);
}

/// A dispatcher with one call slot and a queue of `capacity` messages; the quota of the tenant `small` is almost zero.
fn dispatcher_with_quotas(platform: &Platform, endpoint: &Endpoint, capacity: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(platform, &[endpoint.list_entry("e", 7, "up")]);
    let settings = &mut dispatcher.config["settings"];
    settings["family_info"]["call_slots"] = 1.into();
    settings["limits"]["open_cap"] = capacity.into();
    settings["orgs"] = serde_json::json!([{"name": "small", "quota_per_s": 0.01, "share": 0.1},
        {"name": "large", "quota_per_s": 1000.0, "share": 0.9}]);
    settings["over_share_worth"] = 0.05.into();
    dispatcher.start();
    dispatcher
}

fn send_for_tenant(client: &mut Client, id: &str, tenant: &str) {
    let message = format!(
        "POST /safe HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: safe\r\n\
         Tenant: {tenant}\r\nRequest-Timeout-Ms: 20000\r\nContent-Length: 1\r\nX-Consignee: dest=7\r\n\r\nx"
    );
    // One entry of the queue stays free; each round of the event loop evicts a message to make space for the next.
    eventually("space in the queue", || {
        client.write(message.as_bytes());
        client.read_response().status() == 202
    });
}

#[test]
fn messages_beyond_their_tenants_quota_are_evicted_first() {
    let endpoint = Endpoint::start(|_, _| Reply::Hang);
    let platform = Platform::start();
    let dispatcher = dispatcher_with_quotas(&platform, &endpoint, 6);
    let mut client = dispatcher.connect();
    send_for_tenant(&mut client, "in-flight", "large");
    eventually("the call that occupies the slot", || !endpoint.requests().is_empty());
    for (id, tenant) in [("a", "small"), ("b", "small"), ("c", "small"), ("d", "large"), ("e", "large")] {
        send_for_tenant(&mut client, id, tenant);
    }
    send_for_tenant(&mut client, "f", "large");
    eventually("two evicted messages", || platform.notices().len() >= 2);
    for id in ["b", "c"] {
        assert_eq!(
            platform.outcomes(id),
            ["handed_back"],
            "{id} is beyond the quota: {:?}",
            platform.notices()
        );
    }
}

#[test]
fn a_restart_does_not_refill_a_tenants_quota() {
    let endpoint = Endpoint::start(|_, _| Reply::Hang);
    let platform = Platform::start();
    let mut dispatcher = dispatcher_with_quotas(&platform, &endpoint, 8);
    let mut client = dispatcher.connect();
    send_for_tenant(&mut client, "in-flight", "large");
    eventually("the call that occupies the slot", || !endpoint.requests().is_empty());
    // The first message is within the quota and uses it up.
    for id in ["a", "b", "c"] {
        send_for_tenant(&mut client, id, "small");
    }
    dispatcher.kill();
    dispatcher.start();
    let mut client = dispatcher.connect();
    // The next process grants `small` only what its quota has regained in the meantime.
    send_for_tenant(&mut client, "d", "small");
    for id in ["e", "f", "g", "h", "i"] {
        send_for_tenant(&mut client, id, "large");
    }
    let is_evicted = |id: &str| !platform.outcomes(id).is_empty();
    eventually("three evicted messages", || ["b", "c", "d"].iter().all(|id| is_evicted(id)));
    for id in ["b", "c", "d"] {
        assert_eq!(
            platform.outcomes(id),
            ["handed_back"],
            "{id} is beyond the quota: {:?}",
            platform.notices()
        );
    }
    assert!(platform.outcomes("a").is_empty(), "it was within the quota and still is");
}
