//! Endpoints that are added, removed and replaced.

use crate::support::*;
use std::thread;
use std::time::Duration;

#[test]
fn an_address_is_reassigned_to_another_endpoint() {
    // One server stands in for two endpoints: only the list says which of them has the address.
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let dispatcher = Dispatcher::started(&platform, &[endpoint.host("old", 7, "up"), held(8)]);
    assert_eq!(dispatcher.hand_in("safe", "before", 7), 202);
    eventually("the first call", || endpoint.seen().len() == 1);
    // The new endpoint is listed before the old one is reported as removed.
    platform.push(2, &[endpoint.host("new", 8, "up")]);
    assert_eq!(dispatcher.hand_in("safe", "for-new", 8), 202);
    eventually("the call to the new endpoint", || endpoint.ids().contains(&"for-new".to_string()));
    assert_eq!(dispatcher.hand_in("safe", "for-old", 7), 202);
    thread::sleep(Duration::from_millis(200));
    assert_eq!(
        endpoint.ids(),
        ["before", "for-new"],
        "no message for the old destination is sent to the new endpoint"
    );
    assert_ne!(
        endpoint.seen()[0].connection,
        endpoint.seen()[1].connection,
        "the connection of the old endpoint is not reused"
    );
    // The removal of the old endpoint doesn't affect the new one.
    platform.push(3, &[endpoint.host("old", 7, "removed")]);
    let other = Endpoint::start(|_, _| Reply::status(200));
    platform.push(4, &[other.host("other", 7, "up")]);
    eventually("the queued message", || other.ids() == ["for-old"]);
    assert_eq!(dispatcher.hand_in("safe", "last", 8), 202);
    eventually("the next call to the new endpoint", || endpoint.ids().contains(&"last".to_string()));
}

#[test]
fn connections_to_a_removed_endpoint_are_closed() {
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
    // The call in flight completes, and its connection is closed too.
    eventually("no connection", || first.open() == 0);
    assert!(platform.notices().is_empty());
}
