//! Endpoints that come and go.

use crate::support::*;
use std::thread;
use std::time::Duration;

#[test]
fn an_address_changes_hands() {
    // One endpoint stands for two: the list alone tells whose address it is.
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[endpoint.host("old", 7, "up"), held(8)]);
    assert_eq!(dispatcher.hand_in("safe", "before", 7), 202);
    eventually("the first call", || endpoint.seen().len() == 1);
    // The newcomer is listed before anything is said of the one whose place it takes.
    platform.push(2, &[endpoint.host("new", 8, "up")]);
    assert_eq!(dispatcher.hand_in("safe", "for-new", 8), 202);
    eventually("the newcomer's call", || endpoint.ids().contains(&"for-new".to_string()));
    assert_eq!(dispatcher.hand_in("safe", "for-old", 7), 202);
    thread::sleep(Duration::from_millis(200));
    assert_eq!(endpoint.ids(), ["before", "for-new"], "nothing for the old one's destination goes there");
    assert_ne!(endpoint.seen()[0].connection, endpoint.seen()[1].connection, "nor over its connection");
    // The word that the old one is gone says nothing of the newcomer.
    platform.push(3, &[endpoint.host("old", 7, "removed")]);
    let other = Endpoint::start(|_, _| Reply::status(200));
    platform.push(4, &[other.host("other", 7, "up")]);
    eventually("what was held", || other.ids() == ["for-old"]);
    assert_eq!(dispatcher.hand_in("safe", "last", 8), 202);
    eventually("the newcomer's next call", || endpoint.ids().contains(&"last".to_string()));
}

#[test]
fn connections_to_what_has_left_are_closed() {
    let first = Endpoint::start(|n, _| match n {
        0 => Reply::status(200),
        _ => Reply::Late(Duration::from_millis(600), 200),
    });
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[first.host("e", 7, "up")]);
    assert_eq!(dispatcher.hand_in("safe", "m1", 7), 202);
    eventually("the first call", || first.seen().len() == 1);
    eventually("an idle connection", || first.open() == 1);
    assert_eq!(dispatcher.hand_in("safe", "m2", 7), 202);
    eventually("the second call", || first.seen().len() == 2);
    platform.push(2, &[first.host("e", 7, "removed")]);
    // The call that is out ends well, and its connection is not kept either.
    eventually("no connection", || first.open() == 0);
    assert!(platform.notices().is_empty());
}
