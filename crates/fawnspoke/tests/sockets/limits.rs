//! Limits: those that places tell, and the dispatcher's own slots.

use crate::support::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

fn answer(status: u16, limit: f64) -> Reply {
    Reply::Answer(status, format!("Server-Load: {{\"x0\":0.5,\"x1\":{limit}}}\r\n"), String::new())
}

fn hand_in(dispatcher: &Dispatcher, prefix: &str, count: usize) {
    let mut client = dispatcher.connect();
    for i in 0..count {
        let status = client.submit("safe", &format!("{prefix}{i}"), 7, 20_000, b"x").status();
        assert_eq!(status, 202);
    }
}

#[test]
fn the_pace_follows_the_told_limit_up_and_down() {
    // A limit that starts at 4 calls a second, with one refusal that makes the pace known.
    let limit = Arc::new(AtomicU32::new(4));
    let told = limit.clone();
    let endpoint = Endpoint::start(move |n, _| {
        answer(if n == 1 { 503 } else { 200 }, told.load(Ordering::SeqCst).into())
    });
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.config["settings"]["limits"]["open_cap"] = 500.into();
    dispatcher.start();
    let seen = || endpoint.requests().len();
    hand_in(&dispatcher, "m", 200);
    eventually("some calls at the low limit", || seen() >= 6);
    // A hundred times as much: a pace that only grew would need half a minute for this, deadlines pass.
    limit.store(400, Ordering::SeqCst);
    let raised = Instant::now();
    eventually("the rest", || seen() > 200);
    assert!(raised.elapsed() < Duration::from_secs(10), "{:?}", raised.elapsed());
    // And back: the last answers told the high limit, the first of the next ones tells the low one.
    limit.store(4, Ordering::SeqCst);
    hand_in(&dispatcher, "n", 1);
    eventually("the news", || seen() >= 202);
    hand_in(&dispatcher, "o", 100);
    let before = seen();
    std::thread::sleep(Duration::from_secs(2));
    assert!(seen() - before < 40, "{} calls in two seconds", seen() - before);
    assert!(platform.notices().is_empty());
}

#[test]
fn a_kept_connection_that_was_lost_costs_no_turn() {
    // One call in two seconds; once that is known, each second request finds its connection broken.
    let endpoint = Endpoint::start(|n, _| match n {
        1 => answer(503, 0.5),
        n if n > 0 && n % 2 == 0 => Reply::Disconnect,
        _ => answer(200, 0.5),
    });
    let platform = Platform::start();
    let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
    dispatcher.config["settings"]["family_info"]["call_slots"] = 1.into();
    dispatcher.start();
    for id in ["first", "refused"] {
        let before = endpoint.requests().len();
        hand_in(&dispatcher, id, 1);
        eventually("its call", || endpoint.requests().len() > before);
    }
    hand_in(&dispatcher, "m", 7);
    eventually("some calls", || endpoint.requests().len() >= 10);
    let seen = endpoint.requests();
    // Until it is learned that kept connections break here.
    for lost in [2, 4, 6] {
        assert!(seen[..lost].iter().any(|s| s.connection == seen[lost].connection));
        let gap = seen[lost + 1].received_at - seen[lost].received_at;
        assert!(gap < Duration::from_secs(1), "{gap:?} from a lost call to the next");
    }
    assert!(
        seen[9].received_at - seen[3].received_at > Duration::from_secs(1),
        "the limit holds for those that came"
    );
}

#[test]
fn the_last_slot_waits_for_a_shorter_time() {
    let shortest = |slots: u32, class: &str, until: u64| {
        let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
        let mut dispatcher = Dispatcher::new(&platform, &[endpoint.list_entry("e", 7, "up")]);
        dispatcher.config["settings"]["family_info"]["call_slots"] = slots.into();
        dispatcher.start();
        let mut client = dispatcher.connect();
        let mut shortest = u64::MAX;
        // The time-out shrinks while the place proves quick.
        for i in 0..200 {
            assert_eq!(client.submit(class, &format!("m{i}"), 7, 15_000, b"x").status(), 202);
            eventually("the call", || endpoint.requests().len() > i);
            let told = endpoint.requests()[i].request.header("request-timeout-ms").unwrap().parse().unwrap();
            shortest = shortest.min(told);
            if shortest <= until {
                break;
            }
        }
        shortest
    };
    let usual = shortest(8, "safe", 800);
    assert!((700..=800).contains(&usual), "{usual} ms");
    assert!(shortest(1, "keyed", 500) <= 500, "others wait for the slot");
    // What is lost by its time-out keeps its time.
    assert!(shortest(1, "unsafe", 800) > 800);
}

/// One slot, taken by a call that hangs; room for so many; `small` has a share of next to nothing.
fn with_shares(platform: &Platform, endpoint: &Endpoint, room: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(platform, &[endpoint.list_entry("e", 7, "up")]);
    let settings = &mut dispatcher.config["settings"];
    settings["family_info"]["call_slots"] = 1.into();
    settings["limits"]["open_cap"] = room.into();
    settings["orgs"] = serde_json::json!([{"name": "small", "quota_per_s": 0.01, "share": 0.1},
        {"name": "large", "quota_per_s": 1000.0, "share": 0.9}]);
    settings["over_share_worth"] = 0.05.into();
    dispatcher.start();
    dispatcher
}

fn hand_in_for(client: &mut Client, id: &str, tenant: &str) {
    let message = format!(
        "POST /safe HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: safe\r\n\
         Tenant: {tenant}\r\nRequest-Timeout-Ms: 20000\r\nContent-Length: 1\r\nX-Consignee: dest=7\r\n\r\nx"
    );
    // One place is kept free, and in a round one that is held makes place for the next.
    eventually("a place", || {
        client.write(message.as_bytes());
        client.read_response().status() == 202
    });
}

#[test]
fn what_is_beyond_its_customers_share_makes_place_first() {
    let endpoint = Endpoint::start(|_, _| Reply::Hang);
    let platform = Platform::start();
    let dispatcher = with_shares(&platform, &endpoint, 6);
    let mut client = dispatcher.connect();
    hand_in_for(&mut client, "out", "large");
    eventually("the call that holds the slot", || !endpoint.requests().is_empty());
    for (id, tenant) in [("a", "small"), ("b", "small"), ("c", "small"), ("d", "large"), ("e", "large")] {
        hand_in_for(&mut client, id, tenant);
    }
    hand_in_for(&mut client, "f", "large");
    eventually("two that made place", || platform.notices().len() >= 2);
    for id in ["b", "c"] {
        assert_eq!(
            platform.outcomes(id),
            ["handed_back"],
            "{id} is beyond the share: {:?}",
            platform.notices()
        );
    }
}

#[test]
fn a_kill_gives_no_customer_its_share_anew() {
    let endpoint = Endpoint::start(|_, _| Reply::Hang);
    let platform = Platform::start();
    let mut dispatcher = with_shares(&platform, &endpoint, 8);
    let mut client = dispatcher.connect();
    hand_in_for(&mut client, "out", "large");
    eventually("the call that holds the slot", || !endpoint.requests().is_empty());
    // The first one is inside the share, and uses it up.
    for id in ["a", "b", "c"] {
        hand_in_for(&mut client, id, "small");
    }
    dispatcher.kill();
    dispatcher.start();
    let mut client = dispatcher.connect();
    // The next life gives `small` nothing but what has come back meanwhile.
    hand_in_for(&mut client, "d", "small");
    for id in ["e", "f", "g", "h", "i"] {
        hand_in_for(&mut client, id, "large");
    }
    let gone = |id: &str| !platform.outcomes(id).is_empty();
    eventually("three that made place", || ["b", "c", "d"].iter().all(|id| gone(id)));
    for id in ["b", "c", "d"] {
        assert_eq!(
            platform.outcomes(id),
            ["handed_back"],
            "{id} is beyond the share: {:?}",
            platform.notices()
        );
    }
    assert!(platform.outcomes("a").is_empty(), "it was inside the share and is");
}
