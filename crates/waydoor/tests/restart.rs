//! State recovered from the previous process, and the shutdown of this one.

mod common;

use common::*;
use waydoor::*;

/// Recovers a message that the previous process accepted 11 s ago.
fn recover(
    harness: &mut Harness, id: u64, class: usize, attempts: u32, may_have_run_seconds_ago: Option<f64>,
) {
    let (id, destination) = (MessageId(id), DESTINATION_1);
    let message = Message {
        id,
        class,
        destination,
        deadline: harness.now + 9.0,
        key: None,
        tenant: 0,
        over_quota: None,
    };
    let may_have_run = may_have_run_seconds_ago.map(|seconds_ago| (harness.now - seconds_ago, 0));
    let accepted_at = harness.now - 11.0;
    harness.handle(Event::Recovered(MessageProgress { message, accepted_at, attempts, may_have_run }));
}

#[test]
fn a_recovered_message_continues_with_its_next_attempt() {
    let mut harness = Harness::new(settings());
    recover(&mut harness, 1, 1, 2, Some(5.0));
    let sent = harness.run_round();
    assert_eq!(sent.len(), 1, "the destination still remembers the key");
    harness.now += 0.2;
    harness.end_attempt(1, sent[0].endpoint, 2, Outcome::Served, 0.2);
    assert!(harness.run_round().is_empty());
    assert!(!harness.is_rejected(1) && !harness.is_failed(1));
}

#[test]
fn recovered_messages_that_may_have_run_end_by_their_class() {
    let mut harness = Harness::new(settings());
    recover(&mut harness, 1, 2, 1, Some(1.0));
    recover(&mut harness, 2, 2, 1, None);
    recover(&mut harness, 3, 1, 1, Some(11.9));
    recover(&mut harness, 4, 99, 1, Some(1.0));
    recover(&mut harness, 5, 99, 0, None);
    let sent: Vec<u64> = harness.run_round().iter().map(|sent| sent.id).collect();
    assert_eq!(sent, [2], "the unsafe message that surely never ran");
    assert!(harness.is_failed(1), "an unsafe message that may have run");
    assert!(harness.is_rejected(3), "its key may expire before the attempt arrives");
    assert!(harness.is_failed(4), "the effect of a repeat is unknown");
    assert!(harness.is_rejected(5));
}

#[test]
fn a_keyed_message_whose_key_may_be_unknown_fails_at_once() {
    let mut settings = settings();
    settings.classes[1].effect = Effect::Keyed { window: 12.0, by_zone: true };
    let mut harness = Harness::new(settings);
    recover(&mut harness, 1, 1, 1, Some(f64::INFINITY));
    assert!(harness.run_round().is_empty());
    assert!(harness.is_failed(1), "it may have run in an unknown zone");
}

#[test]
fn recovered_attempts_count_against_the_maximum() {
    let mut harness = Harness::new(settings());
    recover(&mut harness, 1, 0, 6, None);
    assert!(harness.run_round().is_empty());
    assert!(harness.is_rejected(1));
}

#[test]
fn no_call_outlasts_the_shutdown() {
    let mut harness = Harness::new(settings());
    harness.handle(Event::ShutdownAt(harness.now + 3.0));
    harness.accept(1, 0, 1);
    let sent = harness.run_round();
    assert!(sent.len() == 1 && sent[0].timeout <= 3.0);
    harness.now += 2.5;
    harness.end_attempt(1, sent[0].endpoint, 0, Outcome::Served, 0.2);
    harness.accept(2, 0, 1);
    assert!(harness.run_round().is_empty(), "queued for the next process");
    assert!(!harness.is_rejected(2) && !harness.is_failed(2));
}

#[test]
fn suggested_retry_delay_grows_with_the_backlog() {
    let mut harness = Harness::new(settings());
    let delay_without_backlog = harness.dispatcher.retry_after(harness.now, DESTINATION_1);
    for id in 1..=40 {
        harness.accept(id, 0, 1);
    }
    harness.run_round();
    let delay_with_backlog = harness.dispatcher.retry_after(harness.now, DESTINATION_1);
    assert!(
        delay_without_backlog > 0.0 && delay_with_backlog > delay_without_backlog,
        "{delay_without_backlog} {delay_with_backlog}"
    );
}

/// Number of attempts in the first 3 s of a process with a recovered backlog, each served at once.
fn attempts_after_start(outage_recovered: bool) -> usize {
    let mut harness = Harness::new(settings());
    if outage_recovered {
        harness.handle(Event::OutageRestored(DESTINATION_1));
    }
    for id in 1..=60 {
        recover(&mut harness, id, 1, 0, None);
    }
    let (end, mut attempts) = (harness.now + 3.0, 0);
    while harness.now < end {
        for sent in harness.run_round() {
            attempts += 1;
            harness.end_attempt(sent.id, sent.endpoint, 0, Outcome::Served, 0.01);
        }
        harness.now += 0.05;
    }
    attempts
}

#[test]
fn an_outage_in_the_previous_process_is_followed_by_slow_start() {
    // multiple x mean share over the window x rate x window.
    let budget = (1.5 * (0.25 + 0.75 * 0.15) * 8.0 * 3.0) as usize;
    let (with_outage, without_outage) = (attempts_after_start(true), attempts_after_start(false));
    // One of two dispatchers may use half of the budget.
    assert!((1..=budget / 2 + 1).contains(&with_outage), "{with_outage} attempts, budget {budget}");
    assert!(
        without_outage > budget / 2 + 1,
        "only {without_outage} attempts without a recorded outage: the comparison shows nothing"
    );
}

#[test]
fn a_recovered_backlog_is_sent_at_the_dispatchers_part_of_the_rate() {
    let expected = 8.0 * 3.0 / 2.0;
    let sent = attempts_after_start(false) as f64;
    // Half of the capacity for one of two dispatchers, a burst of two calls, and the growth of the send rate.
    assert!(
        (0.8 * expected..1.5 * expected + 3.0).contains(&sent),
        "{sent} attempts, the part of one dispatcher is {expected}"
    );
}

/// Whether the outage is ongoing, for each record that the last round wrote.
fn recorded_outages(harness: &Harness) -> Vec<bool> {
    let outages = harness.actions.iter().filter_map(|action| match action {
        Action::RecordOutage { destination: DESTINATION_1, ongoing } => Some(*ongoing),
        _ => None,
    });
    outages.collect()
}

#[test]
fn an_outage_is_recorded_until_the_destination_is_warm() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    let (mut attempts, mut recorded) = (std::collections::BTreeMap::new(), Vec::new());
    let (recovers_at, start) = (harness.now + 4.0, harness.now);
    for id in 100..102 {
        harness.accept(id, 0, 1);
    }
    while harness.now < start + 18.0 {
        // Messages keep arriving, as the end of the cold time is only detected by calls.
        harness.accept(1_000 + (harness.now * 20.0) as u64, 0, 1);
        for sent in harness.run_round() {
            let attempt = attempts.entry(sent.id).or_insert(0);
            let outcome = if harness.now < recovers_at { Outcome::Error } else { Outcome::Served };
            harness.end_attempt(sent.id, sent.endpoint, *attempt, outcome, 0.01);
            *attempt += 1;
        }
        recorded.extend(recorded_outages(&harness).into_iter().map(|ongoing| (ongoing, harness.now - start)));
        harness.now += 0.05;
    }
    let [(true, unavailable_at), (false, warm_at)] = recorded[..] else { panic!("{recorded:?}") };
    assert!(unavailable_at < 4.0 && warm_at >= 4.0 + 10.0, "{recorded:?}");
}

#[test]
fn a_recovered_outage_applies_once_the_endpoint_is_listed() {
    let mut harness = Harness::new(settings());
    harness.handle(Event::ListSnapshot(Vec::new()));
    harness.handle(Event::OutageRestored(DESTINATION_1));
    for id in 1..=5 {
        harness.accept(id, 0, 1);
    }
    assert!(harness.run_round().is_empty());
    harness.handle(Event::ListSnapshot(vec![entry(1, 1)]));
    assert_eq!(harness.run_round().len(), 1, "only a trial");
}

#[test]
fn a_quota_balance_continues_from_the_previous_process() {
    let tenants = vec![Tenant { quota: 2.0 }];
    let settings = Settings { tenants, over_quota_value: 0.05, max_concurrent_calls: 1, ..settings() };
    let mut harness = Harness::new(settings.clone());
    let quota = harness.dispatcher.quota_status(harness.now, 0).unwrap();
    assert_eq!(
        (quota.over, quota.remaining),
        (false, 9.0),
        "the balance of ten seconds of an even part of the quota"
    );
    assert_eq!(harness.dispatcher.quota_status(harness.now, 7), None, "a tenant that is not in the settings");
    harness.handle(Event::QuotaUpdate { tenant: 0, remaining: 0.25, at: harness.now });
    assert!(harness.dispatcher.quota_status(harness.now, 0).unwrap().over);
    // Three seconds later in the next process; a clock that went back counts as no time passed.
    let mut next_process = Harness::new(settings);
    next_process.handle(Event::QuotaUpdate { tenant: 0, remaining: 0.25, at: next_process.now - 3.0 });
    let quota = next_process.dispatcher.quota_status(next_process.now, 0).unwrap();
    assert_eq!((quota.over, quota.remaining), (false, 2.25));
    next_process.handle(Event::QuotaUpdate { tenant: 0, remaining: 0.25, at: next_process.now + 50.0 });
    assert!(next_process.dispatcher.quota_status(next_process.now, 0).unwrap().over, "no time has passed");
    next_process.handle(Event::QuotaUpdate { tenant: 9, remaining: 0.25, at: next_process.now });
    next_process.handle(Event::QuotaUpdate { tenant: 0, remaining: f64::NAN, at: next_process.now });
    assert_eq!(next_process.dispatcher.quota_status(next_process.now, 9), None);
}

#[test]
fn over_quota_messages_stay_over_quota_after_a_restart() {
    let tenants = vec![Tenant { quota: 1000.0 }];
    let mut harness =
        Harness::new(Settings { tenants, over_quota_value: 0.05, max_concurrent_calls: 1, ..settings() });
    for (id, over_quota) in [(1, true), (2, false), (3, true)] {
        let (id, destination, deadline) = (MessageId(id), DESTINATION_1, harness.now + 9.0);
        let (class, key, tenant, over_quota) = (0, None, 0, Some(over_quota));
        let message = Message { id, class, destination, deadline, key, tenant, over_quota };
        harness.handle(Event::Recovered(MessageProgress {
            message,
            accepted_at: harness.now - 1.0,
            attempts: 0,
            may_have_run: None,
        }));
    }
    assert_eq!(harness.run_round()[0].id, 2, "the message within its quota is sent first");
}

#[test]
fn recovered_untried_messages_are_sent_before_new_ones() {
    let mut harness = Harness::new(Settings { max_concurrent_calls: 1, ..settings() });
    for id in 1..=4 {
        recover(&mut harness, id, 0, 0, None);
    }
    // Attempted once before: it has no priority.
    recover(&mut harness, 5, 0, 1, None);
    let mut order = Vec::new();
    for new_id in 6..=12 {
        harness.accept(new_id, 0, 1);
        for sent in harness.run_round() {
            order.push(sent.id);
            harness.end_attempt(sent.id, sent.endpoint, 0, Outcome::Served, 0.05);
        }
        // The rate limit admits one call per second.
        harness.now += 1.0;
    }
    let mut first_sent = order[..4].to_vec();
    first_sent.sort_unstable();
    assert_eq!(first_sent, [1, 2, 3, 4], "{order:?}");
    assert!(order[4..].iter().all(|id| *id > 5), "then the new ones, by rank: {order:?}");
}

#[test]
fn recovered_untried_messages_are_not_rejected_for_new_ones() {
    let mut harness = Harness::new(Settings { max_concurrent_calls: 1, max_messages: 5, ..settings() });
    harness.accept(1, 0, 1);
    assert_eq!(harness.run_round().len(), 1, "it occupies the slot");
    for id in 2..=4 {
        recover(&mut harness, id, 0, 0, None);
    }
    harness.accept(5, 0, 1);
    harness.run_round();
    assert!(
        harness.is_rejected(5),
        "the dispatcher is at capacity, and the recovered messages were accepted earlier"
    );
    assert!((2..=4).all(|id| !harness.is_rejected(id)));
}
