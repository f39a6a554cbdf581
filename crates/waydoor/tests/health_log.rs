//! Each change of a target's health is logged with its cause.

mod common;

use common::*;
use waydoor::*;

/// The log lines of all rounds until `end`.
fn log_until(harness: &mut Harness, end: Seconds) -> Vec<String> {
    let mut lines = Vec::new();
    while harness.now < end {
        harness.now += 0.05;
        harness.run_round();
        lines.extend(harness.actions.iter().filter_map(|action| match action {
            Action::Log(line) => Some(line.clone()),
            _ => None,
        }));
    }
    lines
}

fn harness() -> Harness {
    Harness::new(settings())
}

#[test]
fn an_unanswered_call_is_named_as_the_cause() {
    let mut harness = harness();
    harness.accept(1, 0, 1);
    harness.run_round();
    let end = harness.now + 3.0;
    assert_eq!(log_until(&mut harness, end), ["destination 1: Healthy -> Suspect after NoResponse"]);
}

#[test]
fn a_restored_outage_and_the_end_of_slow_start_are_logged() {
    let mut harness = harness();
    harness.handle(Event::OutageRestored(DESTINATION_1));
    harness.accept(1, 0, 1);
    let start = harness.now;
    let mut lines = log_until(&mut harness, start + 0.1);
    harness.end_attempt(1, 1, 0, Outcome::Served, 0.05);
    lines.extend(log_until(&mut harness, start + 30.0));
    harness.accept(2, 0, 1);
    lines.extend(log_until(&mut harness, start + 31.0));
    assert_eq!(lines[0], "destination 1: Healthy -> Unavailable after OutageRestored");
    assert!(lines[1].starts_with("destination 1: Unavailable -> Recovering("), "{lines:?}");
    assert!(lines[1].ends_with(" after Served"), "{lines:?}");
    assert!(lines[2].ends_with(" -> Healthy after WarmedUp"), "{lines:?}");
}

#[test]
fn a_wait_longer_than_that_of_a_rate_limit_is_named_as_the_cause() {
    let mut harness = harness();
    harness.handle(Event::RetryAfter { endpoint: EndpointId(1), delay: 6.0 });
    let end = harness.now + 1.0;
    let lines = log_until(&mut harness, end);
    assert!(lines[0].ends_with(" after LongRetryAfter"), "{lines:?}");
}

#[test]
fn a_reinstated_endpoint_is_named_as_the_cause() {
    let mut harness = harness();
    harness.handle(Event::EndpointRestored(EndpointId(1)));
    let end = harness.now + 1.0;
    assert_eq!(
        log_until(&mut harness, end),
        ["destination 1: Healthy -> Unavailable after EndpointRestored"]
    );
}
