//! Distinguishes outages from failures that look like one: lost calls, rate limits, full connection tables,
//! slowness.

mod common;

use common::*;
use waydoor::*;

/// Accepts a safe message and returns whether it is sent at once.
fn is_sent_at_once(harness: &mut Harness, id: u64) -> bool {
    harness.accept(id, 0, 1);
    harness.run_round().iter().any(|sent| sent.id == id)
}

#[test]
fn failures_overtaken_by_a_served_call_are_not_an_outage() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    assert!(is_sent_at_once(&mut harness, 2) && is_sent_at_once(&mut harness, 3));
    harness.now += 0.3;
    assert!(is_sent_at_once(&mut harness, 4));
    harness.now += 0.2;
    harness.end_attempt(4, 1, 0, Outcome::Served, 0.2);
    harness.now += 1.5;
    for lost in [2, 3] {
        harness.end_attempt(lost, 1, 0, Outcome::TimedOut, 2.0);
        harness.handle(Event::Withdrawn(MessageId(lost)));
    }
    assert!(is_sent_at_once(&mut harness, 5));
}

#[test]
fn two_quick_errors_make_a_destination_unavailable() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    for id in [2, 3] {
        assert!(is_sent_at_once(&mut harness, id));
        harness.now += 0.05;
        harness.end_attempt(id, 1, 0, Outcome::Error, 0.05);
        harness.handle(Event::Withdrawn(MessageId(id)));
    }
    assert!(!is_sent_at_once(&mut harness, 4), "only trials are sent");
    assert_eq!(harness.run_until(1003.0).first().map(|(_, sent)| sent.id), Some(4), "a trial follows");
}

#[test]
fn an_unanswered_call_delays_others_before_its_timeout() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    harness.now += 0.5;
    assert!(is_sent_at_once(&mut harness, 2));
    harness.run_until(harness.now + 1.3);
    assert!(!is_sent_at_once(&mut harness, 3), "a call is unanswered for too long");
    harness.end_attempt(2, 1, 0, Outcome::Served, 1.3);
    assert_eq!(harness.run_round().len(), 1, "the destination was only slow");
}

#[test]
fn a_destination_at_its_rate_limit_is_paused_but_not_unavailable() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    assert!(is_sent_at_once(&mut harness, 2));
    harness.end_attempt(2, 1, 0, Outcome::Overloaded, 0.03);
    assert!(harness.run_round().is_empty(), "the destination is paused");
    let later = harness.run_until(1003.0);
    assert_eq!(later.first().map(|(_, sent)| sent.id), Some(2));
    harness.end_attempt(2, 1, 1, Outcome::Served, 0.1);
    harness.now += 1.0;
    assert!(is_sent_at_once(&mut harness, 3), "no slow start after a mere rate limit");
}

#[test]
fn a_full_connection_table_is_not_an_outage() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    assert!(is_sent_at_once(&mut harness, 2));
    for id in [3, 4, 5] {
        assert!(is_sent_at_once(&mut harness, id));
        harness.end_attempt(id, 1, 0, Outcome::ConnectFailed, 0.02);
        harness.handle(Event::Withdrawn(MessageId(id)));
        harness.now += 0.2;
    }
    assert!(is_sent_at_once(&mut harness, 6));
}

#[test]
fn a_slow_destination_stays_available_and_gets_longer_timeouts() {
    let mut harness = Harness::new(settings());
    let mut timeouts = Vec::new();
    for id in 1..6 {
        harness.accept(id, 0, 1);
        let sent = harness.run_round();
        assert_eq!(sent.len(), 1, "message {id}");
        timeouts.push(sent[0].timeout);
        harness.now += 1.1;
        harness.end_attempt(id, 1, 0, Outcome::Served, 1.1);
    }
    assert!(timeouts[4] > 1.5 * timeouts[0], "{timeouts:?}");
}

#[test]
fn a_recovered_destination_gets_full_traffic_again() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    for id in [2, 3] {
        assert!(is_sent_at_once(&mut harness, id));
        harness.now += 0.2;
        harness.end_attempt(id, 1, 0, Outcome::ConnectionReset, 0.1);
        harness.handle(Event::Withdrawn(MessageId(id)));
    }
    harness.now += 20.0;
    assert!(is_sent_at_once(&mut harness, 4), "a trial is sent at once");
    harness.now += 0.2;
    harness.end_attempt(4, 1, 0, Outcome::Served, 0.2);
    harness.now += 10.5;
    for id in 5..10 {
        assert!(is_sent_at_once(&mut harness, id), "warm again");
    }
}

#[test]
fn no_unsafe_message_is_a_trial_unless_a_probe_succeeded() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    for id in [2, 3] {
        assert!(is_sent_at_once(&mut harness, id));
        harness.now += 0.2;
        harness.end_attempt(id, 1, 0, Outcome::Error, 0.1);
        harness.handle(Event::Withdrawn(MessageId(id)));
    }
    harness.accept(4, 2, 1);
    let mut probed = None;
    while probed.is_none() && harness.now < 1010.0 {
        assert!(harness.run_round().is_empty());
        probed = harness.actions.contains(&Action::Probe(EndpointId(1))).then_some(harness.now);
        harness.now += 0.05;
    }
    assert!(probed.is_some());
    let endpoint = EndpointId(1);
    harness.handle(Event::ProbeEnded {
        endpoint,
        outcome: Outcome::Served,
        latency: 0.1,
        rate_limit_report: None,
    });
    assert_eq!(harness.run_until(1010.0).first().map(|(_, sent)| sent.id), Some(4));
}

#[test]
fn trials_of_an_unresponsive_destination_do_not_fill_the_slots() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    harness.now += 0.5;
    for id in 10..30 {
        harness.accept(id, 0, 1);
    }
    // No call is ever answered; each attempt ends at its timeout.
    let mut in_flight: Vec<(StartedAttempt, Seconds, u32)> = Vec::new();
    let mut attempts = std::collections::BTreeMap::new();
    let mut max_in_flight = 0;
    while harness.now < 1015.0 {
        for sent in harness.run_round() {
            let attempt = attempts.entry(sent.id).or_insert(0);
            in_flight.push((sent, harness.now + sent.timeout, *attempt));
            *attempt += 1;
        }
        if harness.now > 1005.0 {
            max_in_flight = max_in_flight.max(in_flight.len());
        }
        harness.now += 0.05;
        let (ended, still_in_flight) = in_flight.into_iter().partition(|(_, at, _)| harness.now >= *at);
        in_flight = still_in_flight;
        for (sent, _, attempt) in ended {
            harness.end_attempt(sent.id, sent.endpoint, attempt, Outcome::TimedOut, sent.timeout);
        }
    }
    assert!((1..=2).contains(&max_in_flight), "{max_in_flight} of 8 slots occupied");
}
