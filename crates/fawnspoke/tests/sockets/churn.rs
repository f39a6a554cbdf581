//! Endpoints that come and go.

use crate::support::*;
use std::thread;
use std::time::Duration;

#[test]
fn an_address_changes_hands() {
    // One endpoint stands for two: the list alone tells whose address it is.
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let dispatcher =
        Dispatcher::started(&platform, &[endpoint.list_entry("old", 7, "up"), draining_endpoint(8)]);
    assert_eq!(dispatcher.submit("safe", "before", 7), 202);
    eventually("the first call", || endpoint.requests().len() == 1);
    // The newcomer is listed before anything is said of the one whose place it takes.
    platform.push_changes(2, &[endpoint.list_entry("new", 8, "up")]);
    assert_eq!(dispatcher.submit("safe", "for-new", 8), 202);
    eventually("the newcomer's call", || endpoint.message_ids().contains(&"for-new".to_string()));
    assert_eq!(dispatcher.submit("safe", "for-old", 7), 202);
    thread::sleep(Duration::from_millis(200));
    assert_eq!(
        endpoint.message_ids(),
        ["before", "for-new"],
        "nothing for the old one's destination goes there"
    );
    assert_ne!(
        endpoint.requests()[0].connection,
        endpoint.requests()[1].connection,
        "nor over its connection"
    );
    // The word that the old one is gone says nothing of the newcomer.
    platform.push_changes(3, &[endpoint.list_entry("old", 7, "removed")]);
    let other = Endpoint::start(|_, _| Reply::status(200));
    platform.push_changes(4, &[other.list_entry("other", 7, "up")]);
    eventually("what was held", || other.message_ids() == ["for-old"]);
    assert_eq!(dispatcher.submit("safe", "last", 8), 202);
    eventually("the newcomer's next call", || endpoint.message_ids().contains(&"last".to_string()));
}

#[test]
fn connections_to_what_has_left_are_closed() {
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
    // The call that is out ends well, and its connection is not kept either.
    eventually("no connection", || first.open_connections() == 0);
    assert!(platform.notices().is_empty());
}
