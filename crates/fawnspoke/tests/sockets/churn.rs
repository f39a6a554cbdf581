//! Endpoints that are added, removed and replaced.

use crate::support::*;
use std::thread;
use std::time::Duration;

#[test]
fn an_address_is_reassigned_to_another_endpoint() {
    // One server stands in for two endpoints: only the list says which of them has the address.
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let dispatcher =
        Dispatcher::started(&platform, &[endpoint.list_entry("old", 7, "up"), draining_endpoint(8)]);
    assert_eq!(dispatcher.submit("safe", "before", 7), 202);
    eventually("the first call", || endpoint.requests().len() == 1);
    // The new endpoint is listed before the old one is reported as removed.
    platform.push_changes(2, &[endpoint.list_entry("new", 8, "up")]);
    assert_eq!(dispatcher.submit("safe", "for-new", 8), 202);
    eventually("the call to the new endpoint", || endpoint.message_ids().contains(&"for-new".to_string()));
    assert_eq!(dispatcher.submit("safe", "for-old", 7), 202);
    thread::sleep(Duration::from_millis(200));
    assert_eq!(
        endpoint.message_ids(),
        ["before", "for-new"],
        "no message for the old destination is sent to the new endpoint"
    );
    assert_ne!(
        endpoint.requests()[0].connection,
        endpoint.requests()[1].connection,
        "the connection of the old endpoint is not reused"
    );
    // The removal of the old endpoint doesn't affect the new one.
    platform.push_changes(3, &[endpoint.list_entry("old", 7, "removed")]);
    let other = Endpoint::start(|_, _| Reply::status(200));
    platform.push_changes(4, &[other.list_entry("other", 7, "up")]);
    eventually("the queued message", || other.message_ids() == ["for-old"]);
    assert_eq!(dispatcher.submit("safe", "last", 8), 202);
    eventually("the next call to the new endpoint", || endpoint.message_ids().contains(&"last".to_string()));
}

#[test]
fn connections_to_a_removed_endpoint_are_closed() {
    let first = Endpoint::start(|n, _| match n {
        0 => Reply::status(200),
        _ => Reply::Delayed(Duration::from_millis(600), 200),
    });
    let platform = Platform::start();
    let dispatcher = Dispatcher::started(&platform, &[first.list_entry("e", 7, "up")]);
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    eventually("the first call", || first.requests().len() == 1);
    eventually("an idle connection", || first.open_connections() == 1);
    assert_eq!(dispatcher.submit("safe", "m2", 7), 202);
    eventually("the second call", || first.requests().len() == 2);
    platform.push_changes(2, &[first.list_entry("e", 7, "removed")]);
    // The call in flight completes, and its connection is closed too.
    eventually("no connection", || first.open_connections() == 0);
    assert!(platform.notices().is_empty());
}
