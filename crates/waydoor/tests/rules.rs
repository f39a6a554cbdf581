//! The delivery rules and ordinary operation, through the public interface.
//!
//! Prefixes of test names give the rule: a final outcome before the deadline (`deadline`), no unsafe repeat
//! (`repeat`), calls only to listed endpoints (`listing`), slow start after an outage (`recovery`), one
//! message of an order key at a time (`ordering`), and honoured retry-after (`retry_after`). Tests without a
//! prefix cover ordinary operation: ranking, slots, quotas, batches, and the detection of outages.

mod common;

use common::*;
use waydoor::*;

#[test]
fn deadline_message_without_an_endpoint_is_rejected_in_time() {
    let mut harness = Harness::new(settings());
    harness.accept(1, 0, 99);
    assert!(harness.run_round().is_empty());
    harness.now += 19.0;
    harness.run_round();
    assert!(!harness.is_rejected(1), "an endpoint may still appear before the deadline");
    harness.now = 1019.99;
    harness.run_round();
    assert!(harness.is_rejected(1));
}

#[test]
fn deadline_timer_is_set_for_the_rejection() {
    let mut harness = Harness::new(settings());
    harness.accept(1, 0, 99);
    harness.run_round();
    let timer = harness.actions.iter().find_map(|a| match a {
        Action::SetTimer { at, .. } => Some(*at),
        _ => None,
    });
    assert!(timer.is_some_and(|at| at < 1020.0), "{timer:?}");
}

#[test]
fn deadline_no_attempt_outlasts_its_message() {
    let mut harness = Harness::new(settings());
    for class in 0..3 {
        harness.accept(class as u64, class, 1 + class as u32);
    }
    harness.now += 19.0;
    for sent in harness.run_round() {
        assert!(sent.timeout < 1.0, "{sent:?}");
    }
}

#[test]
fn repeat_unsafe_message_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::ConnectionReset, Outcome::Cancelled] {
        let mut harness = Harness::new(settings());
        harness.accept(1, 2, 1);
        assert_eq!(harness.run_round().len(), 1);
        harness.end_attempt(1, 1, 0, outcome, 0.2);
        assert!(harness.run_round().is_empty());
        assert!(harness.is_failed(1), "{outcome:?}");
    }
}

#[test]
fn repeat_unsafe_message_that_never_ran_is_retried() {
    let mut harness = Harness::new(settings());
    harness.accept(1, 2, 1);
    assert_eq!(harness.run_round().len(), 1);
    harness.end_attempt(1, 1, 0, Outcome::Overloaded, 0.05);
    let later = harness.run_until(1005.0);
    assert_eq!(later.len(), 1);
    assert_eq!(later[0].1.id, 1);
}

#[test]
fn a_message_that_has_used_up_its_attempts_is_ended_and_not_called_again() {
    for class in 0..3 {
        let mut harness = Harness::new(settings());
        harness.accept(1, class, 1);
        assert_eq!(harness.run_round().len(), 1);
        harness.end_attempt(1, 1, 0, Outcome::AttemptsExhausted, 0.05);
        assert!(harness.run_round().is_empty());
        assert!(harness.is_rejected(1), "class {class}: it never ran");
    }
}

#[test]
fn repeat_keyed_message_is_retried_only_within_its_window() {
    let mut harness = Harness::new(settings());
    harness.accept(1, 1, 1);
    assert_eq!(harness.run_round().len(), 1);
    harness.now += 11.9;
    harness.end_attempt(1, 1, 0, Outcome::TimedOut, 11.9);
    assert!(harness.run_round().is_empty());
    assert!(
        harness.is_rejected(1),
        "all endpoints share the record of keys, so the client may safely send it again"
    );
}

#[test]
fn repeat_keyed_message_whose_rejection_is_unproven_is_retried_only_within_its_window() {
    let mut harness = Harness::new(settings());
    harness.accept(1, 1, 1);
    assert_eq!(harness.run_round().len(), 1);
    harness.handle(Event::AttemptMayHaveRun { id: MessageId(1), attempt: 0 });
    harness.now += 11.9;
    harness.end_attempt(1, 1, 0, Outcome::Overloaded, 11.9);
    assert!(harness.run_round().is_empty());
    assert!(harness.is_rejected(1));
}

#[test]
fn repeat_keyed_message_stays_in_its_zone_and_fails_where_keys_are_per_zone() {
    let mut settings = settings();
    settings.classes[1].effect = Effect::Keyed { window: 12.0, by_zone: true };
    let mut harness = Harness::new(settings);
    let other = EndpointEntry { zone: 1, ..entry(11, 1) };
    harness.handle(Event::ListUpdate(vec![other]));
    harness.accept(1, 1, 1);
    let first = harness.run_round();
    harness.now += 0.2;
    harness.end_attempt(1, first[0].endpoint, 0, Outcome::Error, 0.2);
    let again = harness.run_until(1001.5);
    assert!(!again.is_empty());
    assert_eq!(again[0].1.endpoint, first[0].endpoint);
    harness.end_attempt(1, first[0].endpoint, 1, Outcome::TimedOut, 0.2);
    harness.now = 1012.0;
    harness.run_round();
    assert!(harness.is_failed(1));
}

#[test]
fn listing_draining_or_gone_endpoint_gets_no_calls() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut harness = Harness::new(settings());
        harness.handle(Event::ListUpdate(vec![EndpointEntry { state, ..entry(1, 1) }]));
        harness.accept(1, 0, 1);
        assert!(harness.run_until(1010.0).is_empty());
        harness.handle(Event::ListUpdate(vec![entry(1, 1)]));
        assert_eq!(harness.run_round().len(), 1, "the endpoint is ready again");
    }
}

#[test]
fn listing_snapshot_replaces_the_previous_list() {
    let mut harness = Harness::new(settings());
    harness.handle(Event::ListSnapshot(vec![entry(2, 2)]));
    harness.accept(1, 0, 1);
    assert!(harness.run_until(1005.0).is_empty());
}

#[test]
fn listing_subscription_is_retried_after_each_failure() {
    let mut on_request = settings();
    on_request.discovery_mode = DiscoveryMode::Subscription { max_renewal_interval: 10.0 };
    let mut harness = Harness::new(on_request);
    harness.dispatcher = Dispatcher::new(
        Settings { discovery_mode: DiscoveryMode::Subscription { max_renewal_interval: 10.0 }, ..settings() },
        1,
    )
    .unwrap();
    let mut subscriptions = 0;
    let end = harness.now + 10.0;
    while harness.now < end {
        harness.run_round();
        if harness.actions.contains(&Action::Subscribe) {
            subscriptions += 1;
            harness.handle(Event::ListFailed);
        }
        harness.now += 0.05;
    }
    assert!((4..30).contains(&subscriptions), "{subscriptions}");
}

/// Number of calls to a destination in the first seconds after an outage in which calls end with `outcome`,
/// with a large backlog.
fn calls_after_outage(outcome: Outcome) -> usize {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    for id in 100..140 {
        harness.accept(id, 0, 1);
    }
    let mut attempts = std::collections::BTreeMap::new();
    let recovers_at = harness.now + 8.0;
    let mut calls_after = 0;
    let mut first_served = None;
    while first_served.is_none_or(|at| harness.now < at + 3.0) && harness.now < 1018.0 {
        for sent in harness.run_round() {
            let attempt = attempts.entry(sent.id).or_insert(0);
            let outcome = if harness.now < recovers_at { outcome } else { Outcome::Served };
            calls_after += usize::from(harness.now >= recovers_at);
            harness.end_attempt(sent.id, sent.endpoint, *attempt, outcome, 0.01);
            *attempt += 1;
            if outcome == Outcome::Served {
                first_served.get_or_insert(harness.now);
            }
        }
        for action in harness.actions.clone() {
            if let Action::Probe(endpoint) = action {
                calls_after += usize::from(harness.now >= recovers_at);
                harness.handle(Event::ProbeEnded {
                    endpoint,
                    outcome,
                    latency: 0.01,
                    rate_limit_report: None,
                });
            }
        }
        harness.now += 0.05;
    }
    assert!(first_served.is_some(), "the recovery is detected after {outcome:?}");
    calls_after
}

#[test]
fn recovery_calls_stay_within_the_slow_start_budget() {
    for outcome in [
        Outcome::Error,
        Outcome::ConnectFailed,
        Outcome::ConnectionReset,
        Outcome::TimedOut,
        Outcome::Overloaded,
    ] {
        let sent = calls_after_outage(outcome);
        // multiple x mean share over the window x rate x window; one of two dispatchers may use it all.
        let budget = 1.5 * (0.25 + 0.75 * 0.15) * 8.0 * 3.0;
        assert!((1..=budget as usize).contains(&sent), "{sent} calls after {outcome:?}, budget {budget}");
    }
}

/// A dispatcher that rarely calls a destination sees only a few calls fail in a short outage.
#[test]
fn recovery_two_failures_and_a_gap_count_as_an_outage() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    for id in [2, 3] {
        harness.accept(id, 1, 1);
    }
    let sent = harness.run_round();
    assert_eq!(sent.len(), 2);
    harness.now += 0.8;
    for sent in sent {
        harness.end_attempt(sent.id, sent.endpoint, 0, Outcome::TimedOut, 0.8);
        harness.handle(Event::Withdrawn(MessageId(sent.id)));
    }
    harness.run_round();
    // The destination is back 3 s after the last served call, with a large backlog.
    harness.now += 2.0;
    for id in 100..160 {
        harness.accept(id, 0, 1);
    }
    let (end, mut sent_count) = (harness.now + 3.0, 0);
    while harness.now < end {
        for sent in harness.run_round() {
            sent_count += 1;
            harness.end_attempt(sent.id, sent.endpoint, 0, Outcome::Served, 0.01);
        }
        harness.now += 0.05;
    }
    let budget = 1.5 * (0.25 + 0.75 * 0.15) * 8.0 * 3.0;
    assert!((1..=budget as usize).contains(&sent_count), "{sent_count} calls, budget {budget}");
}

#[test]
fn ordering_messages_of_a_key_are_sent_one_at_a_time_with_a_pause_after_an_uncertain_end() {
    let mut harness = Harness::new(settings());
    for id in 1..=3 {
        harness.accept_ordered(id, 3, 1, Some(7));
    }
    harness.accept_ordered(4, 3, 2, Some(8));
    let sent: Vec<_> = harness.run_round().iter().map(|s| s.id).collect();
    assert_eq!(sent.len(), 2);
    assert!(sent.contains(&1) && sent.contains(&4));
    harness.now += 0.2;
    harness.end_attempt(1, 1, 0, Outcome::Served, 0.2);
    let sent = harness.run_round();
    assert_eq!(sent.iter().map(|s| s.id).collect::<Vec<_>>(), [2]);
    // The second message ends while its attempt may still run: the key is paused before the third.
    harness.now += 0.2;
    let ended = harness.now;
    harness.handle(Event::AttemptEnded(AttemptEnd {
        id: MessageId(2),
        endpoint: EndpointId(1),
        attempt: 0,
        outcome: Outcome::ConnectionReset,
        retry_after: None,
        settled: true,
        latency: 0.2,
        rate_limit_report: None,
        connection_reused: false,
        connection_kept: true,
    }));
    let later = harness.run_until(ended + 6.0);
    assert_eq!(later.len(), 1);
    assert_eq!(later[0].1.id, 3);
    assert!(later[0].0 >= ended + 2.0);
}

#[test]
fn retry_after_applies_to_all_messages_of_the_destination() {
    let mut harness = Harness::new(settings());
    harness.accept(1, 0, 1);
    harness.run_round();
    harness.end_with_retry_after(1, 1, 0, Outcome::Overloaded, 0.05, Some(3.0));
    harness.accept(2, 2, 1);
    harness.accept(3, 0, 2);
    assert_eq!(
        harness.run_round().iter().map(|s| s.id).collect::<Vec<_>>(),
        [3],
        "the retry-after does not apply to other destinations"
    );
    let later = harness.run_until(1006.0);
    assert!(!later.is_empty());
    assert!(later.iter().all(|(at, _)| *at >= 1003.0), "{later:?}");
    assert!(!harness.actions.iter().any(|a| matches!(a, Action::Probe(_))));
}

#[test]
fn retry_after_applies_to_one_endpoint_where_endpoints_are_independent() {
    let mut harness = Harness::new(settings());
    let independent_endpoint = |id| EndpointEntry { kind: 1, ..entry(id, 5) };
    harness.handle(Event::ListUpdate(vec![independent_endpoint(51), independent_endpoint(52)]));
    harness.accept(1, 0, 5);
    let first = harness.run_round()[0].endpoint;
    harness.end_with_retry_after(1, first, 0, Outcome::Overloaded, 0.05, Some(3.0));
    let later = harness.run_until(1002.0);
    assert!(!later.is_empty(), "the other endpoint is available");
    assert!(later.iter().all(|(_, sent)| sent.endpoint != first));
}

#[test]
fn a_message_has_at_most_one_attempt_in_flight() {
    let mut harness = Harness::new(settings());
    harness.accept(1, 0, 1);
    assert_eq!(harness.run_round().len(), 1);
    assert!(harness.run_until(1015.0).is_empty());
}

#[test]
fn the_highest_ranked_message_is_sent_first_when_slots_are_full() {
    let mut settings = settings();
    settings.max_concurrent_calls = 1;
    settings.classes[1].value = 5.0;
    let mut harness = Harness::new(settings);
    harness.accept(1, 0, 1);
    assert_eq!(harness.run_round().len(), 1);
    harness.accept(2, 0, 2);
    harness.now += 1.0;
    harness.accept(3, 0, 2);
    harness.accept(4, 1, 2);
    assert!(harness.run_round().is_empty(), "all slots are full");
    let mut send_order = Vec::new();
    let mut in_flight = (1, 1);
    for _ in 0..3 {
        harness.end_attempt(in_flight.0, in_flight.1, 0, Outcome::Served, 0.2);
        let sent = harness.run_round();
        in_flight = (sent[0].id, sent[0].endpoint);
        send_order.push(in_flight.0);
    }
    assert_eq!(send_order, [4, 3, 2], "by value, then the newest first");
}

/// The order in which three messages are sent that were accepted a second apart during a retry-after of their
/// destination.
fn send_order_after_retry_after(decay: ValueDecay, max_concurrent_calls: usize) -> Vec<u64> {
    let mut harness = Harness::new(Settings { decay, max_concurrent_calls, ..settings() });
    harness.accept(1, 0, 1);
    assert_eq!(harness.run_round().len(), 1);
    harness.end_with_retry_after(1, 1, 0, Outcome::Overloaded, 0.05, Some(4.0));
    harness.run_until(harness.now + 1.0);
    harness.accept(2, 0, 1);
    harness.run_until(harness.now + 1.0);
    harness.accept(3, 0, 1);
    let mut send_order = Vec::new();
    while send_order.len() < 3 && harness.now < 1015.0 {
        harness.now += 0.05;
        for sent in harness.run_round() {
            send_order.push(sent.id);
            harness.end_attempt(sent.id, sent.endpoint, u32::from(sent.id == 1), Outcome::Served, 0.05);
        }
    }
    send_order
}

#[test]
fn backlog_of_a_blocked_destination_is_sent_by_deadline_under_linear_decay() {
    assert_eq!(
        send_order_after_retry_after(ValueDecay::Linear, 8),
        [1, 2, 3],
        "free slots: the earliest deadline first, so that none expires"
    );
    assert_eq!(send_order_after_retry_after(ValueDecay::Linear, 1), [3, 2, 1], "a single slot: by rank");
    assert_eq!(
        send_order_after_retry_after(ValueDecay::Exponential, 8),
        [3, 2, 1],
        "the newest loses most value by waiting"
    );
}

/// A harness with a quota of one message per second at this dispatcher for tenant 0; tenant 1 is practically
/// unlimited.
fn harness_with_quotas(decay: ValueDecay, max_messages: usize) -> Harness {
    let tenants = vec![Tenant { quota: 2.0 }, Tenant { quota: 1e6 }];
    Harness::new(Settings {
        tenants,
        over_quota_value: 0.05,
        decay,
        max_messages,
        max_concurrent_calls: 1,
        ..settings()
    })
}

fn accept_for_tenant(harness: &mut Harness, id: u64, tenant: usize) {
    let (id, destination) = (MessageId(id), DESTINATION_1);
    let deadline = harness.now + 20.0;
    let (key, over_quota) = (None, None);
    harness.handle(Event::Accepted(Message { id, class: 0, destination, deadline, key, tenant, over_quota }));
}

#[test]
fn over_quota_messages_are_rejected_first_at_capacity() {
    for decay in [ValueDecay::Linear, ValueDecay::Exponential] {
        let mut harness = harness_with_quotas(decay, 31);
        // The first ten messages fit the quota balance of ten seconds, and one message is in flight.
        for id in 0..30 {
            accept_for_tenant(&mut harness, id, 0);
        }
        harness.run_round();
        for id in 30..45 {
            accept_for_tenant(&mut harness, id, 1);
        }
        harness.run_round();
        let rejected: Vec<_> = (0..45).filter(|id| harness.is_rejected(*id)).collect();
        assert_eq!(rejected.len(), 15, "{rejected:?}");
        assert!(
            rejected.iter().all(|id| (10..30).contains(id)),
            "only messages over the quota: {rejected:?}"
        );
    }
}

#[test]
fn a_quota_refills_over_time_and_unknown_tenants_have_none() {
    let mut harness = harness_with_quotas(ValueDecay::Linear, 40);
    for id in 0..10 {
        accept_for_tenant(&mut harness, id, 0);
    }
    harness.now += 5.0;
    for id in 10..20 {
        accept_for_tenant(&mut harness, id, 0);
    }
    for id in 20..45 {
        accept_for_tenant(&mut harness, id, 7);
    }
    harness.run_round();
    let rejected: Vec<_> = (0..45).filter(|id| harness.is_rejected(*id)).collect();
    assert_eq!(
        rejected,
        [0, 15, 16, 17, 18, 19],
        "five more were within the quota; then the oldest message of all is rejected"
    );
}

#[test]
fn an_unsafe_attempt_times_out_only_at_its_deadline() {
    let mut harness = Harness::new(settings());
    harness.accept(1, 2, 1);
    harness.accept(2, 0, 2);
    let sent = harness.run_round();
    let timeout = |id: u64| sent.iter().find(|sent| sent.id == id).map_or(0.0, |sent| sent.timeout);
    assert!((19.5..20.0).contains(&timeout(1)), "a timeout ends the message as failed: {sent:?}");
    assert!(timeout(2) < 5.0, "a safe message can be retried: {sent:?}");
}

#[test]
fn a_destination_uses_at_most_three_quarters_of_the_slots() {
    let mut harness = Harness::new(settings());
    for id in 0..20 {
        harness.accept(id, 0, 1);
    }
    assert_eq!(harness.run_round().len(), 6);
    harness.accept(30, 0, 2);
    assert_eq!(harness.run_round().len(), 1);
}

#[test]
fn a_message_that_cannot_meet_its_deadline_is_rejected_without_an_attempt() {
    let mut harness = Harness::new(settings());
    let (id, destination) = (MessageId(1), DestinationId(1));
    harness.handle(Event::Accepted(Message {
        id,
        class: 0,
        destination,
        deadline: harness.now + 0.1,
        key: None,
        tenant: 0,
        over_quota: None,
    }));
    assert!(harness.run_round().is_empty());
    assert!(harness.is_rejected(1));
}

#[test]
fn batched_messages_share_one_call() {
    let mut settings = settings();
    settings.max_concurrent_calls = 2;
    settings.kinds[0].max_batch = 3;
    let mut harness = Harness::new(settings);
    for id in 0..3 {
        harness.accept(id, 0, 1);
    }
    assert_eq!(harness.run_round().len(), 3);
    harness.accept(9, 0, 2);
    assert_eq!(harness.run_round().len(), 1, "the three messages occupy one slot");
    harness.accept(10, 0, 3);
    assert!(harness.run_round().is_empty(), "two calls are in flight");
}

#[test]
fn listing_restored_list_does_not_count_as_a_subscription() {
    // Incident i01344f: a list of the previous process was mistaken for the answer to a subscription.
    let settings =
        Settings { discovery_mode: DiscoveryMode::Subscription { max_renewal_interval: 10.0 }, ..settings() };
    let mut harness = Harness::new(settings);
    harness.run_round();
    assert!(harness.actions.contains(&Action::Subscribe));
    // Once answered, the subscription is active; it is renewed within `max_renewal_interval`.
    harness.handle(Event::ListUpdate(vec![]));
    let mut subscribed_at = Vec::new();
    while harness.now < 1030.0 {
        harness.now += 0.05;
        harness.run_round();
        if harness.actions.contains(&Action::Subscribe) {
            subscribed_at.push(harness.now);
            harness.handle(Event::ListUpdate(vec![]));
        }
    }
    assert!(subscribed_at[0] < 1010.0 && subscribed_at[0] > 1003.0, "{subscribed_at:?}");
    assert!(subscribed_at.windows(2).all(|pair| pair[1] - pair[0] < 10.0), "{subscribed_at:?}");
}

#[test]
fn many_dispatchers_stay_below_a_small_limit_that_counts_rejected_calls() {
    // Incident i7b7f9f: twelve dispatchers retried at a limit of four calls per second, none was ever served.
    let settings = Settings { dispatcher_count: 12, ..settings() };
    let mut harness = Harness::new(settings);
    harness.handle(Event::ListUpdate(vec![EndpointEntry { rate: 4.0, ..entry(1, 1) }]));
    let mut attempts = std::collections::BTreeMap::new();
    let mut late_calls = 0;
    for step in 0..600 {
        if step % 20 == 0 {
            harness.accept(step, 0, 1);
        }
        for sent in harness.run_round() {
            let attempt = attempts.entry(sent.id).or_insert(0);
            harness.end_attempt(sent.id, sent.endpoint, *attempt, Outcome::Overloaded, 0.03);
            *attempt += 1;
            late_calls += usize::from(step >= 300);
        }
        harness.now += 0.05;
    }
    // Twelve such dispatchers together must stay below the 60 calls that the limit admits in 15 s.
    assert!((1..=5).contains(&late_calls), "{late_calls} calls of one dispatcher");
}

#[test]
fn lost_calls_do_not_make_a_destination_unavailable() {
    // Incident if48d6a: a quarter of the calls got no answer, the others were served at the usual latency.
    let mut harness = Harness::new(settings());
    let mut in_flight: Vec<(u64, u64, f64, f64)> = Vec::new();
    let (mut served, mut accepted) = (0, 0);
    for step in 0..800u64 {
        if step % 10 == 0 {
            accepted += 1;
            harness.accept(step, 0, 1);
        }
        for sent in harness.run_round() {
            in_flight.push((sent.id, sent.endpoint, harness.now, sent.timeout));
        }
        harness.now += 0.05;
        let now = harness.now;
        let mut still_in_flight = Vec::new();
        for (id, endpoint, sent_at, timeout) in std::mem::take(&mut in_flight) {
            let lost = (id / 10) % 4 == 3;
            if lost && now - sent_at >= timeout {
                harness.end_attempt(id, endpoint, 0, Outcome::TimedOut, now - sent_at);
                // Its next attempts would also be lost; the client gives up.
                harness.handle(Event::Withdrawn(MessageId(id)));
            } else if !lost && now - sent_at >= 0.2 {
                served += 1;
                harness.end_attempt(id, endpoint, 0, Outcome::Served, 0.2);
            } else {
                still_in_flight.push((id, endpoint, sent_at, timeout));
            }
        }
        in_flight = still_in_flight;
    }
    assert!(served as f64 > 0.7 * accepted as f64, "{served} of {accepted}");
}

#[test]
fn malformed_responses_prevent_unsafe_repeats_but_do_not_affect_health() {
    let mut harness = Harness::new(settings());
    harness.accept(1, 2, 1);
    assert_eq!(harness.run_round().len(), 1);
    harness.end_attempt(1, 1, 0, Outcome::MalformedResponse, 0.1);
    harness.run_round();
    assert!(harness.is_failed(1), "an unsafe message that may have run fails");
    // As many errors would have made the destination unavailable.
    for attempt in 0..5 {
        if attempt == 0 {
            harness.accept(2, 0, 1);
        }
        assert_eq!(harness.run_round().len(), 1, "attempt {attempt} is sent at once");
        harness.end_attempt(2, 1, attempt, Outcome::MalformedResponse, 0.1);
    }
}

#[test]
fn a_batch_rejected_as_invalid_is_split_into_single_calls() {
    let mut settings = settings();
    settings.kinds[0].max_batch = 5;
    let mut harness = Harness::new(settings);
    for id in 1..=3 {
        harness.accept(id, 2, 1);
    }
    assert_eq!(harness.run_round().len(), 3);
    for id in 1..=3 {
        harness.end_attempt(id, 1, 0, Outcome::InvalidRequest, 0.01);
    }
    // None of them ran: each is sent once more, in a call of its own.
    let retried = harness.run_round();
    assert_eq!(retried.len(), 3);
    assert!(harness.actions.iter().all(|a| !matches!(a, Action::Send { unbatched: false, .. })));
    harness.end_attempt(1, 1, 1, Outcome::Served, 0.1);
    harness.end_attempt(2, 1, 1, Outcome::InvalidRequest, 0.01);
    harness.end_attempt(3, 1, 1, Outcome::Served, 0.1);
    assert!(harness.run_round().is_empty());
    assert!(harness.is_failed(2), "another attempt would be rejected as well");
}

#[test]
fn concurrency_without_a_rate_limit_adapts_to_what_was_accepted() {
    let mut harness = Harness::new(Settings { max_concurrent_calls: 100, ..settings() });
    let unlimited = Some(RateLimitReport { rate: 0.0, remaining_share: None });
    let end = |harness: &mut Harness, sent: &StartedAttempt, attempt, outcome, latency| {
        harness.handle(Event::AttemptEnded(AttemptEnd {
            id: MessageId(sent.id),
            endpoint: EndpointId(sent.endpoint),
            attempt,
            outcome,
            retry_after: None,
            settled: outcome == Outcome::Served,
            latency,
            rate_limit_report: unlimited,
            connection_reused: false,
            connection_kept: true,
        }));
    };
    harness.accept(1, 0, 1);
    let first = harness.run_round();
    end(&mut harness, &first[0], 0, Outcome::Served, 0.1);
    for id in 2..42 {
        harness.accept(id, 0, 1);
    }
    let burst = harness.run_round();
    assert_eq!(burst.len(), 40, "its concurrency limit is unknown");
    // It accepts five and rejects the others; all rejections arrive in one round.
    harness.now += 0.02;
    burst[5..].iter().for_each(|sent| end(&mut harness, sent, 0, Outcome::Overloaded, 0.02));
    harness.run_round();
    harness.now += 0.08;
    burst[..5].iter().for_each(|sent| end(&mut harness, sent, 0, Outcome::Served, 0.1));
    let later = harness.run_until(harness.now + 3.0);
    assert!((5..10).contains(&later.len()), "{} calls at once", later.len());
}

#[test]
fn resets_of_idle_connections_are_not_an_outage() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    harness.accept(2, 0, 1);
    let reset = |harness: &mut Harness, attempt, connection_reused| {
        harness.now += 0.1;
        assert_eq!(harness.run_round().len(), 1, "attempt {attempt} is sent at once");
        harness.handle(Event::AttemptEnded(AttemptEnd {
            id: MessageId(2),
            endpoint: EndpointId(1),
            attempt,
            outcome: Outcome::ConnectionReset,
            retry_after: None,
            settled: false,
            latency: 0.001,
            rate_limit_report: None,
            connection_reused,
            connection_kept: false,
        }));
    };
    (0..3).for_each(|attempt| reset(&mut harness, attempt, true));
    // Resets of new connections count against the destination.
    (3..5).for_each(|attempt| reset(&mut harness, attempt, false));
    assert!(harness.run_round().is_empty());
}

#[test]
fn unsafe_messages_share_no_call_with_other_classes() {
    let mut settings = settings();
    (settings.kinds[0].max_batch, settings.max_concurrent_calls) = (5, 1);
    let mut harness = Harness::new(settings);
    for (id, class) in [(1, 2), (2, 2), (3, 0), (4, 0)] {
        harness.accept(id, class, 1);
    }
    let sent: Vec<_> = harness.run_round().into_iter().map(|sent| sent.id).collect();
    assert!(sent == [1, 2] || sent == [2, 1] || sent == [3, 4] || sent == [4, 3], "{sent:?}");
}

/// Destination 1 fails two unsafe messages, which makes it unavailable; probes are disabled.
fn unavailable_destination_without_probes() -> Harness {
    let mut harness = Harness::new(Settings { probes: false, ..settings() });
    for id in 1..3 {
        harness.accept(id, 2, 1);
        assert_eq!(harness.run_round().len(), 1);
        harness.now += 0.1;
        harness.end_attempt(id, 1, 0, Outcome::Error, 0.1);
    }
    harness.run_round();
    harness
}

#[test]
fn an_unsafe_message_is_the_trial_when_nothing_else_is_available() {
    let mut harness = unavailable_destination_without_probes();
    harness.accept(3, 2, 1);
    let accepted_at = harness.now;
    let sent = harness.run_until(accepted_at + 6.0);
    let (at, first) = sent[0];
    assert!(first.id == 3 && at >= accepted_at + 2.0, "not before its target latency has passed: {sent:?}");
    let mut harness = unavailable_destination_without_probes();
    harness.accept(3, 2, 1);
    harness.accept(4, 0, 1);
    let sent = harness.run_until(harness.now + 1.9);
    assert!(sent.iter().all(|(_, sent)| sent.id == 4), "the safe message is the trial: {sent:?}");
    assert!(!sent.is_empty());
}

#[test]
fn unanswered_unsafe_calls_do_not_block_trials() {
    let mut harness = Harness::new(Settings { probes: false, ..settings() });
    for id in 1..4 {
        harness.accept(id, 2, 1);
    }
    assert_eq!(harness.run_round().len(), 3, "none of the three is ever answered");
    // By now the destination is suspect, and the three calls count as all the trials that may be in flight.
    assert!(harness.run_until(harness.now + 1.5).is_empty());
    harness.accept(4, 0, 1);
    let sent = harness.run_until(harness.now + 6.0);
    assert!(
        sent.iter().any(|(_, sent)| sent.id == 4),
        "a trial is sent once the three calls are overdue: {sent:?}"
    );
}

#[test]
fn a_long_retry_after_is_followed_by_slow_start() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    for id in 2..40 {
        harness.accept(id, 0, 1);
    }
    let first_sends = harness.run_round();
    harness.now += 0.05;
    harness.end_with_retry_after(first_sends[0].id, 1, 0, Outcome::Overloaded, 0.05, Some(6.0));
    // A call admitted earlier is served; that does not show that the destination is available.
    harness.end_attempt(first_sends[1].id, 1, 0, Outcome::Served, 0.05);
    for sent in &first_sends[2..] {
        harness.end_attempt(sent.id, 1, 0, Outcome::Overloaded, 0.05);
    }
    let retry_at = harness.now + 6.0;
    let mut send_times = Vec::new();
    let mut attempts = std::collections::BTreeMap::from([(first_sends[0].id, 1)]);
    first_sends[2..].iter().for_each(|sent| _ = attempts.insert(sent.id, 1));
    while harness.now < retry_at + 3.0 {
        harness.now += 0.05;
        for sent in harness.run_round() {
            assert!(harness.now >= retry_at, "sent during the retry-after");
            send_times.push(harness.now);
            let attempt = attempts.entry(sent.id).or_insert(0);
            let (number, _) = (*attempt, *attempt += 1);
            harness.end_attempt(sent.id, 1, number, Outcome::Served, 0.04);
        }
    }
    // Slow-start budget: 1.5 times a quarter of 8 calls per second, for 3 s.
    assert!((1..=9).contains(&send_times.len()), "{} calls in 3 s: {send_times:?}", send_times.len());
}

#[test]
fn occasional_connection_resets_are_not_an_outage() {
    let unavailable_log_lines = |loss_interval: u64| {
        let mut harness = Harness::new(settings());
        let mut log_lines = 0;
        for id in 0..400 {
            harness.accept(id, 0, 1);
            while let Some(sent) = harness.run_round().first().copied() {
                harness.now += 0.05;
                // The destination loses one call of `loss_interval`, and now and then two in a row.
                let lost = id % loss_interval == 0 || (id % 40 == 1 && id > 100);
                let outcome = if lost { Outcome::ConnectionReset } else { Outcome::Served };
                harness.end_attempt(sent.id, 1, 0, outcome, 0.05);
                harness.dispatcher.handle(harness.now, Event::Withdrawn(MessageId(id)));
            }
            log_lines += harness
                .actions
                .iter()
                .filter(|a| matches!(a, Action::Log(t) if t.contains("Unavailable")))
                .count();
            harness.now += 0.5;
        }
        log_lines
    };
    assert_eq!(unavailable_log_lines(10), 0, "two resets in a row are chance where one call of ten is lost");
    assert!(unavailable_log_lines(u64::MAX) == 0, "a single reset is no outage");
    let mut harness = Harness::new(settings());
    harness.deliver_one(500, 1);
    for id in 1..3 {
        harness.accept(id, 0, 1);
        let sent = harness.run_round();
        harness.now += 0.05;
        harness.end_attempt(id, sent[0].endpoint, 0, Outcome::ConnectionReset, 0.05);
    }
    harness.run_round();
    let logged_unavailable =
        harness.actions.iter().any(|a| matches!(a, Action::Log(t) if t.contains("Unavailable")));
    assert!(
        logged_unavailable,
        "two resets in a row are an outage at a destination that loses no calls otherwise"
    );
}

#[test]
fn an_unsent_trial_is_replaced_at_once() {
    let mut harness = Harness::new(Settings { probes: false, ..settings() });
    for id in 1..8 {
        harness.accept(id, 0, 1);
    }
    let sent_messages = harness.run_round();
    harness.now += 0.05;
    sent_messages.iter().for_each(|sent| harness.end_attempt(sent.id, 1, 0, Outcome::Error, 0.05));
    let mut first = harness.run_until(harness.now + 0.3);
    while first.is_empty() {
        first = harness.run_until(harness.now + 0.05);
    }
    let (at, trial) = first[0];
    harness.handle(Event::AttemptEnded(AttemptEnd {
        id: MessageId(trial.id),
        endpoint: EndpointId(1),
        attempt: 1,
        outcome: Outcome::NotSent,
        retry_after: None,
        settled: true,
        latency: 0.01,
        rate_limit_report: None,
        connection_reused: false,
        connection_kept: false,
    }));
    let next = harness.run_until(at + 0.2);
    assert!(!next.is_empty(), "the next trial is sent at once");
}

#[test]
fn timeouts_shortened_by_the_deadline_are_not_an_outage() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(100, 1);
    for id in 1..6 {
        let deadline = harness.now + 0.5;
        let (id, class, destination) = (MessageId(id), 0, DESTINATION_1);
        let (key, tenant, over_quota) = (None, 0, None);
        harness.handle(Event::Accepted(Message {
            id,
            class,
            destination,
            deadline,
            key,
            tenant,
            over_quota,
        }));
        let sent = harness.run_round();
        assert!(sent.len() == 1 && sent[0].timeout < 0.5);
        harness.now += sent[0].timeout;
        harness.end_attempt(sent[0].id, 1, 0, Outcome::TimedOut, sent[0].timeout);
        harness.run_round();
        assert!(!harness.actions.iter().any(|a| matches!(a, Action::Log(_))), "{:?}", harness.actions);
    }
}

#[test]
fn retry_after_applies_from_the_first_result_of_a_batch() {
    let mut settings = settings();
    settings.kinds[0].max_batch = 5;
    let mut harness = Harness::new(settings);
    (1..4).for_each(|id| harness.accept(id, 0, 1));
    assert_eq!(harness.run_round().len(), 3, "one call");
    harness.now += 0.05;
    harness.end_with_retry_after(1, 1, 0, Outcome::Overloaded, 0.05, Some(2.0));
    let received_at = harness.now;
    harness.now += 0.02;
    harness.end_attempt(2, 1, 0, Outcome::Served, 0.07);
    harness.accept(9, 0, 1);
    assert!(harness.run_until(received_at + 1.95).is_empty());
    assert!(!harness.run_until(received_at + 4.0).is_empty());
}

#[test]
fn a_message_unlikely_to_meet_its_deadline_is_sent_after_the_others() {
    let mut harness = Harness::new(Settings { decay: ValueDecay::Linear, ..settings() });
    harness.accept(100, 0, 1);
    assert_eq!(harness.run_round().len(), 1);
    harness.end_with_retry_after(100, 1, 0, Outcome::Overloaded, 0.05, Some(1.0));
    harness.handle(Event::Withdrawn(MessageId(100)));
    let retry_at = harness.now + 1.0;
    for (id, seconds_left) in [(1, 0.4), (2, 3.0), (3, 2.0)] {
        let (id, class, destination, deadline) = (MessageId(id), 0, DESTINATION_1, retry_at + seconds_left);
        let (key, tenant, over_quota) = (None, 0, None);
        harness.handle(Event::Accepted(Message {
            id,
            class,
            destination,
            deadline,
            key,
            tenant,
            over_quota,
        }));
    }
    let sent: Vec<_> = harness.run_until(retry_at + 0.5).into_iter().map(|(_, sent)| sent.id).collect();
    assert_eq!(sent.first(), Some(&3), "the first of those that have the time: {sent:?}");
}

#[test]
fn unsafe_messages_are_sent_soon_after_recovery() {
    // Only unsafe messages are sent there: no other call would lower the failure rate.
    let mut harness = Harness::new(Settings { probes: false, ..settings() });
    for id in 1..9 {
        harness.accept(id, 2, 1);
    }
    let sent_messages = harness.run_round();
    harness.now += 0.1;
    sent_messages.iter().for_each(|sent| harness.end_attempt(sent.id, 1, 0, Outcome::Error, 0.1));
    harness.run_round();
    // The next one is the trial and is served: the destination has recovered.
    harness.accept(20, 2, 1);
    let (at, trial) = harness.run_until(harness.now + 6.0)[0];
    harness.now = at + 0.1;
    harness.end_attempt(trial.id, 1, 0, Outcome::Served, 0.1);
    harness.accept(21, 2, 1);
    let accepted_at = harness.now;
    let sent = harness.run_until(accepted_at + 6.0);
    assert!(
        sent.first().is_some_and(|(at, _)| *at < accepted_at + 3.0),
        "its target latency is 2 s: {sent:?}"
    );
}

#[test]
fn the_tolerated_loss_rate_is_at_most_a_fifth() {
    let mut harness = Harness::new(settings());
    let mut id = 0;
    let mut send_one = |harness: &mut Harness, outcome: Outcome| {
        id += 1;
        harness.accept(id, 0, 1);
        let accepted_at = harness.now;
        while harness.run_round().is_empty() {
            harness.now += 0.05;
            assert!(harness.now < accepted_at + 6.0, "message {id}");
        }
        let waited = harness.now - accepted_at;
        harness.now += 0.1;
        harness.end_attempt(id, 1, 0, outcome, 0.1);
        harness.handle(Event::Withdrawn(MessageId(id)));
        harness.run_round();
        // An unavailable destination gets a trial only after a while.
        waited > 0.2
    };
    // It loses more and more calls, so slowly that each loss rate comes to look normal.
    for served in [9, 6, 4, 3, 2, 2, 1, 1] {
        for _ in 0..120 {
            for _ in 0..served {
                send_one(&mut harness, Outcome::Served);
            }
            send_one(&mut harness, Outcome::Error);
        }
    }
    send_one(&mut harness, Outcome::Served);
    harness.now += 15.0;
    send_one(&mut harness, Outcome::Served);
    send_one(&mut harness, Outcome::Served);
    let failures = (0..20).find(|_| send_one(&mut harness, Outcome::Error));
    assert!(
        failures.is_some_and(|failures| failures <= 4),
        "unavailable after at most four failures in a row: {failures:?}"
    );
}

/// One call at destination 1 is never answered; with `overtaken`, a later call there is. Then all slots are
/// occupied and one message is queued. Returns whether the first call is cancelled.
fn first_call_is_cancelled(class: usize, overtaken: bool, cancel: bool) -> (bool, Harness) {
    let mut harness = Harness::new(Settings { max_concurrent_calls: 2, cancel, ..settings() });
    harness.accept(1, class, 1);
    assert_eq!(harness.run_round().len(), 1);
    harness.now += 1.0;
    if overtaken {
        harness.accept(2, 0, 1);
        assert_eq!(harness.run_round().len(), 1);
        harness.now += 0.1;
        harness.end_attempt(2, 1, 0, Outcome::Served, 0.1);
    }
    // After more than seven mean latencies, also of the default latency, and before the timeout.
    harness.now += 0.85;
    harness.accept(3, 0, 2);
    assert_eq!(harness.run_round().len(), 1);
    harness.accept(4, 0, 2);
    assert!(harness.run_round().is_empty(), "all slots are occupied");
    let cancel = Action::CancelAttempt { id: MessageId(1), attempt: 0 };
    (harness.actions.contains(&cancel), harness)
}

#[test]
fn an_overtaken_call_is_cancelled_and_retried() {
    let (cancelled, mut harness) = first_call_is_cancelled(1, true, true);
    assert!(cancelled);
    harness.run_round();
    assert!(
        !harness.actions.iter().any(|action| matches!(action, Action::CancelAttempt { .. })),
        "it is cancelled only once"
    );
    harness.end_attempt(1, 1, 0, Outcome::Cancelled, 1.8);
    let sent: Vec<u64> = harness.run_until(harness.now + 1.0).into_iter().map(|(_, sent)| sent.id).collect();
    assert!(sent.contains(&1) || sent.contains(&4), "the slot is used again: {sent:?}");
    // Not cancelled: an unsafe message; a call that may just be slow; where cancelling is disabled.
    assert!(!first_call_is_cancelled(2, true, true).0);
    assert!(!first_call_is_cancelled(1, false, true).0);
    assert!(!first_call_is_cancelled(1, true, false).0);
}

#[test]
fn an_endpoint_restored_by_an_operator_gets_one_trial_then_slow_start() {
    let list_update = |state| Event::ListUpdate(vec![EndpointEntry { state, ..entry(1, 1) }]);
    let sends_after_draining = |restored: bool| {
        let mut harness = Harness::new(settings());
        harness.deliver_one(1, 1);
        harness.handle(list_update(EndpointState::Draining));
        for id in 10..16 {
            harness.accept(id, 0, 1);
        }
        assert!(harness.run_until(harness.now + 1.0).is_empty(), "a draining endpoint gets no calls");
        harness.handle(list_update(EndpointState::Ready));
        if restored {
            harness.handle(Event::EndpointRestored(EndpointId(1)));
        }
        let first = harness.run_round().len();
        harness.now += 0.1;
        harness.end_attempt(if first == 1 { sent_message(&harness) } else { 10 }, 1, 0, Outcome::Served, 0.1);
        (first, harness.run_until(harness.now + 0.5).len())
    };
    let (first, then) = sends_after_draining(true);
    assert_eq!(first, 1, "one trial");
    assert!(then <= 2, "{then} calls in half a second to a cold endpoint");
    let (first, then) = sends_after_draining(false);
    assert!(
        first > 1,
        "{first} calls at once, {then} in the next half second to an endpoint that only drained"
    );
}

/// The message that was sent in the last round.
fn sent_message(harness: &Harness) -> u64 {
    let sent = harness.actions.iter().find_map(|action| match action {
        Action::Send { id, .. } => Some(id.0),
        _ => None,
    });
    sent.unwrap()
}
