//! SIGHUP: a new configuration while the process runs.

use crate::support::*;

#[test]
fn discovery_moves_under_traffic() {
    let endpoint = Endpoint::start(|_, request| match request.header("request-id") {
        Some(id) if id.starts_with("broken") => Reply::Disconnect,
        _ => Reply::status(200),
    });
    let (old, new) = (Platform::start(), Platform::start());
    let mut dispatcher = Dispatcher::started(&old, &[endpoint.list_entry("e", 7, "up")]);
    eventually("the first watch", || old.watch_paths().len() == 1);
    // A notice that the old address never answers is owed to the new one.
    old.set_notice_status(500);
    assert_eq!(dispatcher.submit("unsafe", "broken-1", 7), 202);
    eventually("the notice at the old address", || !old.outcomes("broken-1").is_empty());
    dispatcher.config["discovery"] = new.address.to_string().into();
    dispatcher.config["settings"]["limits"]["open_cap"] = 7.into();
    dispatcher.write_config(&dispatcher.config.to_string());
    for i in 0..5 {
        assert_eq!(dispatcher.submit("safe", &format!("m{i}"), 7), 202);
    }
    dispatcher.signal("HUP");
    for i in 5..10 {
        assert_eq!(dispatcher.submit("safe", &format!("m{i}"), 7), 202);
    }
    eventually("the notice at the new address", || new.outcomes("broken-1") == ["given_up"]);
    eventually("the watch at the new address", || new.watch_paths().len() == 1);
    assert!(new.watch_paths()[0].contains("index=1 "), "it goes on from the version that is known");
    assert!(dispatcher.log_contains("restart for settings.limits.open_cap"));
    let later = Endpoint::start(|_, _| Reply::status(200));
    new.push_changes(2, &[later.list_entry("later", 8, "up")]);
    dispatcher.submit_once_listed("safe", "by-new-list", 8);
    eventually("the call by the new list", || later.message_ids() == ["by-new-list"]);
    eventually("all that was taken", || (0..10).all(|i| endpoint.message_ids().contains(&format!("m{i}"))));
}

#[test]
fn a_file_that_cannot_be_read_changes_nothing() {
    let (endpoint, platform) = (Endpoint::start(|_, _| Reply::status(200)), Platform::start());
    let mut dispatcher = Dispatcher::started(&platform, &[endpoint.list_entry("e", 7, "up")]);
    eventually("the watch", || platform.watch_paths().len() == 1);
    let good = dispatcher.config.to_string();
    dispatcher.write_config(&good[..good.len() / 2]);
    dispatcher.signal("HUP");
    eventually("the line in the log", || dispatcher.log_contains("configuration not read"));
    dispatcher.config["discovery"] = "nowhere".into();
    dispatcher.write_config(&dispatcher.config.to_string());
    dispatcher.signal("HUP");
    eventually("the key in the log", || dispatcher.log_contains("old one stays: discovery"));
    platform.push_changes(2, &[endpoint.list_entry("e", 8, "up")]);
    dispatcher.submit_once_listed("safe", "m1", 8);
    eventually("the call", || endpoint.message_ids() == ["m1"]);
    assert_eq!(platform.watch_paths().len(), 1, "the watch went on");
}
