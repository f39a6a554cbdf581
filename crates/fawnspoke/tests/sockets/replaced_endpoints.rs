//! Another process at the address of one that has gone, and what was kept for the one before it.

use crate::support::*;
use std::process::Command;

/// Guards against a connection that was opened to one endpoint and is used for another one at its address: the new process of
/// an upgrade that starts from the journal numbers the endpoints anew.
#[test]
fn a_connection_of_the_old_process_is_not_used_for_another_endpoint_at_its_address() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("gone", 7, "up")]);
    assert_eq!(dispatcher.submit("safe", "m1", 7), 202);
    eventually("the first call", || endpoint.requests().len() == 1);
    // Other settings make the new process start from the journal.
    dispatcher.config["settings"]["family_info"]["call_slots"] = 9.into();
    dispatcher.config["known"]["hosts"] = serde_json::json!([endpoint.list_entry("new", 8, "up")]);
    let mut old_process = dispatcher.upgrade();
    eventually("the hand-over", || dispatcher.log_contains("calls out"));
    assert!(dispatcher.log_contains("with the journal only"));
    let ended = Command::new("kill").args(["-TERM", &old_process.id().to_string()]).status();
    assert!(ended.is_ok_and(|status| status.success()) && old_process.wait().is_ok());
    assert_eq!(dispatcher.submit("safe", "m2", 8), 202);
    eventually("the second call", || endpoint.requests().len() == 2);
    let requests = endpoint.requests();
    assert_ne!(
        requests[1].connection, requests[0].connection,
        "a connection that was opened to another endpoint"
    );
}
