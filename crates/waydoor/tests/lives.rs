//! What an earlier life left, and the end of this one.

mod common;

use common::*;
use waydoor::*;

fn resumed(stage: &mut Stage, id: u64, class: usize, attempts: u32, ran_ago: Option<f64>) {
    let (id, destination) = (MessageId(id), HOME);
    let message =
        Message { id, class, destination, deadline: stage.now + 9.0, key: None, tenant: 0, over_quota: None };
    let may_have_run = ran_ago.map(|ago| (stage.now - ago, 0));
    let taken = stage.now - 11.0;
    stage.event(Event::Recovered { message, accepted_at: taken, attempts, may_have_run });
}

#[test]
fn a_resumed_message_goes_on_with_its_next_attempt() {
    let mut stage = Stage::new(settings());
    resumed(&mut stage, 1, 1, 2, Some(5.0));
    let sent = stage.round();
    assert_eq!(sent.len(), 1, "the key is still remembered");
    stage.now += 0.2;
    stage.end(1, sent[0].endpoint, 2, Outcome::Served, 0.2);
    assert!(stage.round().is_empty());
    assert!(!stage.refused(1) && !stage.failed(1));
}

#[test]
fn what_may_have_run_is_ended_by_its_class() {
    let mut stage = Stage::new(settings());
    resumed(&mut stage, 1, 2, 1, Some(1.0));
    resumed(&mut stage, 2, 2, 1, None);
    resumed(&mut stage, 3, 1, 1, Some(11.9));
    resumed(&mut stage, 4, 99, 1, Some(1.0));
    resumed(&mut stage, 5, 99, 0, None);
    let sent: Vec<u64> = stage.round().iter().map(|sent| sent.id).collect();
    assert_eq!(sent, [2], "one unsafe message surely never ran");
    assert!(stage.failed(1), "the other may have");
    assert!(stage.refused(3), "its key may be forgotten before it arrives");
    assert!(stage.failed(4), "nobody knows what its repeat would do");
    assert!(stage.refused(5));
}

#[test]
fn a_key_that_nobody_can_be_trusted_to_know_ends_its_message_at_once() {
    let mut own = settings();
    own.classes[1].effect = Effect::Keyed { window: 12.0, by_zone: true };
    let mut stage = Stage::new(own);
    resumed(&mut stage, 1, 1, 1, Some(f64::INFINITY));
    assert!(stage.round().is_empty());
    assert!(stage.failed(1), "it may have run in a zone that nobody knows");
}

#[test]
fn used_attempts_stay_used() {
    let mut stage = Stage::new(settings());
    resumed(&mut stage, 1, 0, 6, None);
    assert!(stage.round().is_empty());
    assert!(stage.refused(1));
}

#[test]
fn no_call_outlives_the_dispatcher() {
    let mut stage = Stage::new(settings());
    stage.event(Event::ShutdownAt(stage.now + 3.0));
    stage.take(1, 0, 1);
    let sent = stage.round();
    assert!(sent.len() == 1 && sent[0].timeout <= 3.0);
    stage.now += 2.5;
    stage.end(1, sent[0].endpoint, 0, Outcome::Served, 0.2);
    stage.take(2, 0, 1);
    assert!(stage.round().is_empty(), "held for the next life");
    assert!(!stage.refused(2) && !stage.failed(2));
}

#[test]
fn who_is_told_to_come_again_waits_for_those_before() {
    let mut stage = Stage::new(settings());
    let alone = stage.dispatcher.retry_after(stage.now, HOME);
    for id in 1..=40 {
        stage.take(id, 0, 1);
    }
    stage.round();
    let behind = stage.dispatcher.retry_after(stage.now, HOME);
    assert!(alone > 0.0 && behind > alone, "{alone} {behind}");
}

/// Sends to a destination in the first 3 s of a life, each served at once, where much is held for it.
fn sent_at_start(remembered: bool) -> usize {
    let mut stage = Stage::new(settings());
    if remembered {
        stage.event(Event::OutageRecovered(HOME));
    }
    for id in 1..=60 {
        resumed(&mut stage, id, 1, 0, None);
    }
    let (end, mut all) = (stage.now + 3.0, 0);
    while stage.now < end {
        for sent in stage.round() {
            all += 1;
            stage.end(sent.id, sent.endpoint, 0, Outcome::Served, 0.01);
        }
        stage.now += 0.05;
    }
    all
}

#[test]
fn a_place_that_was_out_in_an_earlier_life_returns_cold() {
    // multiple x mean share over the window x rate x window.
    let budget = (1.5 * (0.25 + 0.75 * 0.15) * 8.0 * 3.0) as usize;
    let (knowing, ignorant) = (sent_at_start(true), sent_at_start(false));
    // One of two: half of the budget is its own.
    assert!((1..=budget / 2 + 1).contains(&knowing), "{knowing} sent, budget {budget}");
    assert!(ignorant > budget / 2 + 1, "{ignorant} sent where nothing is known: the test shows nothing");
}

#[test]
fn a_backlog_goes_at_the_own_pace() {
    let own = 8.0 * 3.0 / 2.0;
    let sent = sent_at_start(false) as f64;
    // Half of the capacity for one of two dispatchers, two calls at once, and the growth of the pace.
    assert!((0.8 * own..1.5 * own + 3.0).contains(&sent), "{sent} sent, the own part is {own}");
}

fn remembers(stage: &Stage) -> Vec<bool> {
    let outages = stage.actions.iter().filter_map(|action| match action {
        Action::RecordOutage { destination: HOME, ongoing: out } => Some(*out),
        _ => None,
    });
    outages.collect()
}

#[test]
fn an_outage_is_remembered_until_the_place_is_warm() {
    let mut stage = Stage::new(settings());
    stage.serve(1, 1);
    let (mut attempts, mut told) = (std::collections::BTreeMap::new(), Vec::new());
    let (back, start) = (stage.now + 4.0, stage.now);
    for id in 100..102 {
        stage.take(id, 0, 1);
    }
    while stage.now < start + 18.0 {
        // Something always comes, as the end of the cold time is seen by what passes.
        stage.take(1_000 + (stage.now * 20.0) as u64, 0, 1);
        for sent in stage.round() {
            let attempt = attempts.entry(sent.id).or_insert(0);
            let outcome = if stage.now < back { Outcome::Error } else { Outcome::Served };
            stage.end(sent.id, sent.endpoint, *attempt, outcome, 0.01);
            *attempt += 1;
        }
        told.extend(remembers(&stage).into_iter().map(|out| (out, stage.now - start)));
        stage.now += 0.05;
    }
    let [(true, out), (false, warm)] = told[..] else { panic!("{told:?}") };
    assert!(out < 4.0 && warm >= 4.0 + 10.0, "{told:?}");
}

#[test]
fn what_is_remembered_waits_for_the_list() {
    let mut stage = Stage::new(settings());
    stage.event(Event::ListSnapshot(Vec::new()));
    stage.event(Event::OutageRecovered(HOME));
    for id in 1..=5 {
        stage.take(id, 0, 1);
    }
    assert!(stage.round().is_empty());
    stage.event(Event::ListSnapshot(vec![entry(1, 1)]));
    assert_eq!(stage.round().len(), 1, "a trial only");
}

#[test]
fn a_customers_share_goes_on_where_the_life_before_left_it() {
    let tenants = vec![Tenant { quota: 2.0 }];
    let own = Settings { tenants, over_quota_value: 0.05, max_concurrent_calls: 1, ..settings() };
    let mut stage = Stage::new(own.clone());
    let share = stage.dispatcher.quota_status(stage.now, 0).unwrap();
    assert_eq!((share.over, share.remaining), (false, 9.0), "ten seconds of an even part");
    assert_eq!(stage.dispatcher.quota_status(stage.now, 7), None, "a customer that no settings name");
    stage.event(Event::QuotaRecovered { tenant: 0, remaining: 0.25, at: stage.now });
    assert!(stage.dispatcher.quota_status(stage.now, 0).unwrap().over);
    // Three seconds later in a next life; of the clock's going back only that it did not go on is known.
    let mut next = Stage::new(own);
    next.event(Event::QuotaRecovered { tenant: 0, remaining: 0.25, at: next.now - 3.0 });
    let share = next.dispatcher.quota_status(next.now, 0).unwrap();
    assert_eq!((share.over, share.remaining), (false, 2.25));
    next.event(Event::QuotaRecovered { tenant: 0, remaining: 0.25, at: next.now + 50.0 });
    assert!(next.dispatcher.quota_status(next.now, 0).unwrap().over, "no time has passed");
    next.event(Event::QuotaRecovered { tenant: 9, remaining: 0.25, at: next.now });
    next.event(Event::QuotaRecovered { tenant: 0, remaining: f64::NAN, at: next.now });
    assert_eq!(next.dispatcher.quota_status(next.now, 9), None);
}

#[test]
fn what_was_beyond_a_share_is_beyond_it_in_the_next_life() {
    let tenants = vec![Tenant { quota: 1000.0 }];
    let mut stage =
        Stage::new(Settings { tenants, over_quota_value: 0.05, max_concurrent_calls: 1, ..settings() });
    for (id, over) in [(1, true), (2, false), (3, true)] {
        let (id, destination, deadline) = (MessageId(id), HOME, stage.now + 9.0);
        let (class, key, tenant, over_share) = (0, None, 0, Some(over));
        let message = Message { id, class, destination, deadline, key, tenant, over_quota: over_share };
        stage.event(Event::Recovered {
            message,
            accepted_at: stage.now - 1.0,
            attempts: 0,
            may_have_run: None,
        });
    }
    assert_eq!(stage.round()[0].id, 2, "what is inside its share goes first");
}

#[test]
fn what_a_restart_found_untried_goes_before_fresh_ones() {
    let mut stage = Stage::new(Settings { max_concurrent_calls: 1, ..settings() });
    for id in 1..=4 {
        resumed(&mut stage, id, 0, 0, None);
    }
    // Tried once before: it has no right of way.
    resumed(&mut stage, 5, 0, 1, None);
    let mut order = Vec::new();
    for fresh in 6..=12 {
        stage.take(fresh, 0, 1);
        for sent in stage.round() {
            order.push(sent.id);
            stage.end(sent.id, sent.endpoint, 0, Outcome::Served, 0.05);
        }
        // The pace lets one go.
        stage.now += 1.0;
    }
    let mut found = order[..4].to_vec();
    found.sort_unstable();
    assert_eq!(found, [1, 2, 3, 4], "{order:?}");
    assert!(order[4..].iter().all(|id| *id > 5), "then the fresh ones, by rank: {order:?}");
}

#[test]
fn what_a_restart_found_untried_makes_no_place_for_fresh_ones() {
    let mut stage = Stage::new(Settings { max_concurrent_calls: 1, max_messages: 5, ..settings() });
    stage.take(1, 0, 1);
    assert_eq!(stage.round().len(), 1, "it holds the slot");
    for id in 2..=4 {
        resumed(&mut stage, id, 0, 0, None);
    }
    stage.take(5, 0, 1);
    stage.round();
    assert!(stage.refused(5), "the room is full, and the others were promised before");
    assert!((2..=4).all(|id| !stage.refused(id)));
}
