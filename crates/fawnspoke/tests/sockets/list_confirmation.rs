//! A dispatcher whose list may be outdated while its discovery agent is silent: after a restart, an upgrade, and a new
//! address.

use crate::support::*;
use std::thread;
use std::time::{Duration, Instant};

/// The grace of a drain where the settings name none, and time to spare.
const GRACE: Duration = Duration::from_millis(700);
/// After SIGHUP a change that the new address has counts as told 4 s later; then the grace, and time to spare.
const NEW_ADDRESS_GRACE: Duration = Duration::from_millis(4700);

struct Fixture {
    drained: Endpoint,
    stays: Endpoint,
    platform: Platform,
    dispatcher: Dispatcher,
}

impl Fixture {
    /// A dispatcher that has delivered a message to one of two endpoints of destination 7.
    fn start() -> Fixture {
        let endpoint = || Endpoint::start(|_, _| Reply::status(200));
        let (drained, stays, platform) = (endpoint(), endpoint(), Platform::start());
        let known = [drained.list_entry("e1", 7, "up"), stays.list_entry("e2", 7, "up")];
        let dispatcher = Dispatcher::started(&platform, &known);
        let fixture = Fixture { drained, stays, platform, dispatcher };
        assert_eq!(fixture.dispatcher.submit("safe", "first", 7), 202);
        eventually("the first call", || fixture.calls() == 1);
        // Its watch has begun, and brings nothing.
        eventually("the watch", || !fixture.platform.watch_paths().is_empty());
        thread::sleep(Duration::from_millis(500));
        fixture
    }

    fn calls(&self) -> usize {
        self.drained.requests().len() + self.stays.requests().len()
    }

    /// Submits messages of all classes; each is accepted.
    fn submit(&self, prefix: &str, count: usize) {
        for number in 0..count {
            let class = ["safe", "keyed", "unsafe"][number % 3];
            assert_eq!(self.dispatcher.submit(class, &format!("{prefix}{number}"), 7), 202);
        }
    }

    /// The agent answers again, and tells of the drain: the messages are delivered, and none at the draining endpoint.
    fn answer_and_check(&self, platform: &Platform, messages: usize) {
        let (drained_before, stays_before) = (self.drained.requests().len(), self.stays.requests().len());
        platform.set_silent(false);
        platform.push_changes(2, &[self.drained.list_entry("e1", 7, "draining")]);
        eventually("the calls", || self.stays.requests().len() >= stays_before + messages);
        eventually("the end of all messages", || self.dispatcher.open_journal_messages() == 0);
        assert_eq!(self.stays.requests().len(), stays_before + messages, "one call a message");
        assert_eq!(self.drained.requests().len(), drained_before, "no call at the draining endpoint");
        // A delivery that could not be proven is ended by a notice, which does no harm.
        let called = [self.drained.message_ids(), self.stays.message_ids()].concat();
        let is_called = |notice: &serde_json::Value| called.iter().any(|id| notice["message"] == **id);
        assert!(platform.notices().iter().all(is_called), "{:?}", platform.notices());
    }
}

/// Guards against calls by the list of an earlier process for as long as the agent is silent (review/9). What is handed in
/// meanwhile is accepted, and nothing is given up for it.
#[test]
fn a_restart_with_a_silent_agent_holds_its_calls_after_the_grace() {
    let mut fixture = Fixture::start();
    fixture.platform.set_silent(true);
    fixture.dispatcher.kill();
    fixture.dispatcher.start();
    thread::sleep(GRACE);
    let before = fixture.calls();
    fixture.submit("m", 9);
    thread::sleep(Duration::from_secs(2));
    assert_eq!(fixture.calls(), before, "calls by a list that may be outdated");
    assert!(fixture.dispatcher.log_contains("list not confirmed"));
    fixture.answer_and_check(&fixture.platform, 9);
    eventually("the line in the log", || fixture.dispatcher.log_contains("list confirmed: calls were held"));
}

/// Guards against held messages without a final answer in time, and against one that is given up early.
#[test]
fn a_held_message_ends_at_its_deadline() {
    let mut fixture = Fixture::start();
    fixture.platform.set_silent(true);
    fixture.dispatcher.kill();
    fixture.dispatcher.start();
    thread::sleep(GRACE);
    let mut client = fixture.dispatcher.connect();
    let due_at = Instant::now() + Duration::from_millis(2500);
    assert_eq!(client.submit("unsafe", "short", 7, 2500, b"x").status(), 202);
    eventually("the notice", || !fixture.platform.outcomes("short").is_empty());
    let now = Instant::now();
    assert!(now <= due_at + Duration::from_millis(300), "the notice came {:?} late", now - due_at);
    assert!(now + Duration::from_secs(1) >= due_at, "given up {:?} early", due_at - now);
    assert_eq!(fixture.platform.outcomes("short"), ["handed_back"], "it was never called");
}

/// Guards against held messages that are lost or called twice when the process is killed once more.
#[test]
fn held_messages_outlast_a_kill() {
    let mut fixture = Fixture::start();
    fixture.platform.set_silent(true);
    fixture.dispatcher.kill();
    fixture.dispatcher.start();
    thread::sleep(GRACE);
    fixture.submit("m", 6);
    fixture.dispatcher.kill();
    fixture.dispatcher.start();
    thread::sleep(GRACE);
    // Some may be called within the grace of the new process.
    let called = fixture.calls() - 1;
    fixture.answer_and_check(&fixture.platform, 6 - called);
}

/// Guards against an upgrade that holds calls although the old process had the agent's list, or that forgets that they
/// are held.
#[test]
fn an_upgrade_with_a_silent_agent_goes_on_as_the_old_process_did() {
    let mut fixture = Fixture::start();
    fixture.platform.set_silent(true);
    let mut old = fixture.dispatcher.upgrade();
    thread::sleep(GRACE);
    let before = fixture.calls();
    fixture.submit("confirmed", 3);
    eventually("the calls by the list of the old process", || fixture.calls() == before + 3);
    eventually("their ends", || fixture.dispatcher.open_journal_messages() == 0);
    let _ = (old.kill(), old.wait());
    // A process that starts from the journal holds its calls, and so does the one that takes over from it.
    fixture.dispatcher.kill();
    fixture.dispatcher.start();
    let mut old = fixture.dispatcher.upgrade();
    thread::sleep(GRACE);
    let before = fixture.calls();
    fixture.submit("held", 6);
    thread::sleep(Duration::from_secs(1));
    assert_eq!(fixture.calls(), before, "calls by a list that may be outdated");
    fixture.answer_and_check(&fixture.platform, 6);
    let _ = (old.kill(), old.wait());
}

/// Guards against calls by the list of the old address for as long as a new one is silent.
#[test]
fn a_silent_new_address_holds_calls_once_its_list_counts_as_told() {
    let mut fixture = Fixture::start();
    let silent = Platform::start();
    silent.set_silent(true);
    fixture.dispatcher.config["discovery"] = silent.address.to_string().into();
    fixture.dispatcher.write_config(&fixture.dispatcher.config.to_string());
    let signalled_at = Instant::now();
    fixture.dispatcher.signal("HUP");
    let before = fixture.calls();
    fixture.submit("before", 3);
    eventually("the calls before the list counts as told", || fixture.calls() == before + 3);
    thread::sleep(NEW_ADDRESS_GRACE.saturating_sub(signalled_at.elapsed()));
    let before = fixture.calls();
    fixture.submit("held", 6);
    thread::sleep(Duration::from_secs(1));
    assert_eq!(fixture.calls(), before, "calls by a list that may be outdated");
    fixture.answer_and_check(&silent, 6);
}

/// Guards against a hold without need: the agent answers, and has nothing new to tell.
#[test]
fn a_restart_with_an_agent_that_answers_holds_no_calls() {
    let mut fixture = Fixture::start();
    fixture.dispatcher.kill();
    fixture.dispatcher.start();
    thread::sleep(GRACE);
    let before = fixture.calls();
    fixture.submit("m", 6);
    eventually("the calls", || fixture.calls() == before + 6);
    assert!(!fixture.dispatcher.log_contains("list not confirmed"));
}
