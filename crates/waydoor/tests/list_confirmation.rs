//! Calls by a list that its source has not confirmed.

mod common;

use common::*;
use waydoor::*;

/// Guards against calls by an outdated list, and against calls that are held before they have to be.
#[test]
fn calls_are_held_from_the_given_time_until_the_list_is_confirmed() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    let hold_from = harness.now + 0.5;
    harness.handle(Event::ListUnconfirmed { hold_from });
    harness.accept(2, 0, 1);
    assert_eq!(harness.run_round().len(), 1, "the grace is not over");
    harness.now = hold_from;
    harness.accept(3, 0, 1);
    assert!(harness.run_round().is_empty(), "the list is not confirmed");
    // A later report does not extend the time.
    harness.handle(Event::ListUnconfirmed { hold_from: hold_from + 60.0 });
    // Entries that an operator or the fleet changes confirm nothing.
    harness.handle(Event::ListUpdate(vec![entry(1, 1)]));
    assert!(harness.run_round().is_empty(), "the list is not confirmed");
    harness.handle(Event::ListConfirmed);
    assert_eq!(harness.run_round().len(), 1);
    harness.accept(4, 0, 1);
    harness.now += 100.0;
    harness.accept(5, 0, 1);
    assert!(!harness.run_round().is_empty(), "a confirmed list stays confirmed");
}

/// Guards against a burst of all that was held.
#[test]
fn held_messages_go_out_at_the_pace_of_a_backlog() {
    const RATE: f64 = 10.0;
    let mut harness = Harness::new(settings());
    harness.handle(Event::ListUpdate(vec![EndpointEntry { rate: RATE, ..entry(1, 1) }]));
    harness.deliver_one(1, 1);
    harness.handle(Event::ListUnconfirmed { hold_from: harness.now });
    for id in 10..90 {
        harness.accept(id, 0, 1);
        assert!(harness.run_round().is_empty());
    }
    harness.handle(Event::ListConfirmed);
    let (begin, mut sent) = (harness.now, 0);
    while harness.now < begin + 2.0 {
        for call in harness.run_round() {
            sent += 1;
            harness.end_attempt(call.id, call.endpoint, 0, Outcome::Served, 0.01);
        }
        harness.now += 0.01;
    }
    assert!(sent > 0, "nothing is sent");
    assert!(f64::from(sent) <= 2.0 * RATE + 3.0, "{sent} calls in two seconds at {RATE} a second");
}
