//! Hundreds of dispatchers that each see little traffic: the calls of all of them, counted at one small
//! destination.

mod common;

use common::*;
use waydoor::*;

const FLEET_SIZE: usize = 300;
/// Rate limit and capacity of the destination.
const MAX_CALLS_PER_SECOND: f64 = 6.0;
/// Time between two rounds of every dispatcher.
const STEP_SECONDS: f64 = 0.05;

/// Handles a call at the destination, given its time and the index of the calling dispatcher.
type CallHandler<'a> = &'a mut dyn FnMut(f64, usize) -> Outcome;

/// A call that reached the destination.
struct Call {
    at: f64,
    /// Index of the dispatcher.
    from: usize,
    outcome: Outcome,
}

/// Simulates the fleet and the destination; messages arrive at a fixed rate, most of them at a few of the
/// dispatchers.
fn simulate(messages_per_second: f64, until: f64, slots: usize, handle_call: CallHandler) -> Vec<Call> {
    let settings =
        Settings { dispatcher_count: FLEET_SIZE as u32, max_concurrent_calls: slots, ..settings() };
    let mut fleet: Vec<_> =
        (0..FLEET_SIZE).map(|i| Dispatcher::new(settings.clone(), i as u64).unwrap()).collect();
    let entries = vec![EndpointEntry { rate: MAX_CALLS_PER_SECOND, ..entry(1, 1) }];
    fleet.iter_mut().for_each(|dispatcher| dispatcher.handle(0.0, Event::ListSnapshot(entries.clone())));
    let mut rng = fastrand::Rng::with_seed(5);
    let (mut calls, mut in_flight, mut last_id, mut messages_due) = (Vec::new(), Vec::new(), 0, 0.0);
    let mut attempts = std::collections::BTreeMap::new();
    for step in 1..(until / STEP_SECONDS) as u64 {
        let now = step as f64 * STEP_SECONDS;
        messages_due += messages_per_second * STEP_SECONDS;
        while messages_due >= 1.0 {
            (messages_due, last_id) = (messages_due - 1.0, last_id + 1);
            let receiver = ((rng.f64() * rng.f64()) * FLEET_SIZE as f64) as usize;
            let message = Message {
                id: MessageId(last_id),
                class: 0,
                destination: DESTINATION_1,
                deadline: now + 20.0,
                key: None,
                tenant: 0,
                over_quota: None,
            };
            fleet[receiver].handle(now, Event::Accepted(message));
        }
        in_flight.retain(|(ends_at, from, event): &(f64, usize, Event)| {
            if *ends_at <= now {
                fleet[*from].handle(now, event.clone());
            }
            *ends_at > now
        });
        for (from, dispatcher) in fleet.iter_mut().enumerate() {
            let mut actions = Vec::new();
            dispatcher.decide(now, &mut actions);
            for action in actions {
                let Action::Send { id, endpoint, .. } = action else { continue };
                let outcome = handle_call(now, from);
                let latency = if outcome == Outcome::Served { 0.2 } else { 0.05 };
                let attempt = attempts.entry(id).or_insert(0);
                let settled = outcome == Outcome::Served;
                let (attempt, _) = (*attempt, *attempt += 1);
                let (retry_after, rate_limit_report) = (None, None);
                let connection_kept = outcome.answered();
                let end = AttemptEnd {
                    id,
                    endpoint,
                    attempt,
                    outcome,
                    retry_after,
                    settled,
                    latency,
                    rate_limit_report,
                    connection_reused: false,
                    connection_kept,
                };
                in_flight.push((now + latency, from, Event::AttemptEnded(end)));
                calls.push(Call { at: now, from, outcome });
            }
        }
    }
    calls
}

/// Calls from `from` until before `to`.
fn between(calls: &[Call], from: f64, to: f64) -> impl Iterator<Item = &Call> {
    calls.iter().filter(move |call| call.at >= from && call.at < to)
}

/// Checks the calls during and after an outage in which every call ends with `outage_outcome`.
fn check_outage(slots: usize, outage_outcome: Outcome) {
    let calls = simulate(0.8 * MAX_CALLS_PER_SECOND, 60.0, slots, &mut |now, _| {
        if (8.0..24.0).contains(&now) { outage_outcome } else { Outcome::Served }
    });
    let observers: std::collections::BTreeSet<usize> = between(&calls, 8.0, 24.0)
        .filter(|call| call.outcome != Outcome::Served)
        .map(|call| call.from)
        .collect();
    assert!(observers.len() > 30, "many dispatchers observed the outage: {}", observers.len());
    // Slow-start budget: 1.5 times a quarter of the capacity for 3 s; as much again for random variation.
    let budget = 1.5 * 0.25 * MAX_CALLS_PER_SECOND * 3.0;
    let calls_by_observers =
        between(&calls, 24.0, 27.0).filter(|call| observers.contains(&call.from)).count() as f64;
    assert!(
        calls_by_observers <= 2.0 * budget,
        "{calls_by_observers} calls by dispatchers that observed the outage, budget {budget}"
    );
    let calls_when_warm = between(&calls, 40.0, 60.0).count() as f64;
    assert!(
        calls_when_warm > 0.7 * 0.8 * MAX_CALLS_PER_SECOND * 20.0,
        "the destination is used again: {calls_when_warm}"
    );
}

#[test]
fn a_recovering_destination_is_neither_overloaded_nor_left_unused() {
    // h51afab and icc71c5: every dispatcher of a large fleet sent a trial at the same time, together several
    // times the slow-start budget.
    check_outage(2, Outcome::ConnectFailed);
    check_outage(50, Outcome::ConnectFailed);
    check_outage(4, Outcome::Error);
}

#[test]
fn a_large_fleet_does_not_spend_a_small_limit_on_rejected_calls() {
    // Each second admits `MAX_CALLS_PER_SECOND` calls; all others are rejected.
    let (mut second, mut used) = (0.0, 0.0);
    let calls = simulate(1.2 * MAX_CALLS_PER_SECOND, 60.0, 4, &mut |now, _| {
        if now.floor() != second {
            (second, used) = (now.floor(), 0.0);
        }
        used += 1.0;
        if used > MAX_CALLS_PER_SECOND { Outcome::Overloaded } else { Outcome::Served }
    });
    let calls_sent = between(&calls, 20.0, 60.0).count() as f64;
    let served = between(&calls, 20.0, 60.0).filter(|call| call.outcome == Outcome::Served).count() as f64;
    assert!(served > 0.85 * MAX_CALLS_PER_SECOND * 40.0, "the limit is used: {served} calls served");
    assert!(
        calls_sent < 2.2 * MAX_CALLS_PER_SECOND * 40.0,
        "the limit is not exceeded by much: {calls_sent} calls"
    );
}

/// Accepts a message, waits until it is sent, ends its attempt 0.2 s later; returns the actions of the round
/// after that.
fn send_one(harness: &mut Harness, id: u64, outcome: Outcome) -> Vec<Action> {
    harness.accept(id, 0, 1);
    // Dispatchers of a large fleet send their first calls after random delays.
    let mut sent = harness.run_round();
    let end = harness.now + 15.0;
    while sent.is_empty() && harness.now < end {
        harness.now += 0.05;
        sent = harness.run_round();
    }
    assert_eq!(sent.len(), 1, "message {id}");
    harness.run_until(harness.now + 0.2);
    harness.end_attempt(id, 1, 0, outcome, 0.2);
    harness.handle(Event::Withdrawn(MessageId(id)));
    harness.run_round();
    harness.actions.clone()
}

#[test]
fn a_dispatcher_of_a_large_fleet_closes_connections_it_will_hardly_use() {
    let close = Action::CloseIdle(EndpointId(1));
    let mut harness = Harness::new(Settings { dispatcher_count: FLEET_SIZE as u32, ..settings() });
    assert!(send_one(&mut harness, 1, Outcome::Served).contains(&close));
    // With few dispatchers it is kept: no other dispatcher needs the connection slot.
    let mut harness = Harness::new(settings());
    assert!(!send_one(&mut harness, 1, Outcome::Served).contains(&close));
}

#[test]
fn failures_of_idle_connections_are_not_an_outage_and_lead_to_early_closing() {
    let mut harness = Harness::new(settings());
    let close = Action::CloseIdle(EndpointId(1));
    send_one(&mut harness, 1, Outcome::Served);
    let mut closed_early = false;
    for id in [2, 4, 6, 8] {
        for _ in 0..40 {
            harness.now += 0.05;
            harness.run_round();
            closed_early |= harness.actions.contains(&close);
        }
        // A call on an idle connection fails; the next is sent at once on a new connection, and is served.
        let outcome = if closed_early { Outcome::Served } else { Outcome::ConnectionReset };
        send_one(&mut harness, id, outcome);
        send_one(&mut harness, id + 1, Outcome::Served);
    }
    assert!(closed_early, "idle connections that the other side drops are closed earlier");
}

#[test]
fn unsafe_messages_use_no_long_idle_connections() {
    let mut harness = Harness::new(settings());
    send_one(&mut harness, 1, Outcome::Served);
    harness.run_until(harness.now + 2.0);
    harness.accept(2, 2, 1);
    assert_eq!(harness.run_round().len(), 1);
    let close = harness.actions.iter().position(|a| *a == Action::AvoidIdle(EndpointId(1)));
    let send = harness.actions.iter().position(|a| matches!(a, Action::Send { .. }));
    assert!(close.is_some() && close < send, "{:?}", harness.actions);
}

#[test]
fn a_stall_of_the_process_does_not_count_as_silence_or_latency() {
    let mut harness = Harness::new(settings());
    harness.deliver_one(1, 1);
    harness.accept(2, 0, 1);
    assert_eq!(harness.run_round().len(), 1);
    // No round for two seconds: the timer fires far too late.
    harness.now += 2.0;
    harness.accept(3, 0, 1);
    assert_eq!(harness.run_round().len(), 1, "no endpoint is suspect after a stall of the process");
    harness.end_attempt(2, 1, 0, Outcome::Served, 2.0);
    harness.end_attempt(3, 1, 0, Outcome::Served, 0.1);
    harness.run_round();
    harness.accept(4, 0, 1);
    assert!(harness.run_round()[0].timeout < 2.5, "the two slow seconds were the stall of the process");
}

#[test]
fn memory_stays_bounded_while_endpoints_and_destinations_come_and_go() {
    let mut harness = Harness::new(settings());
    let size = |harness: &Harness| format!("{:?}", harness.dispatcher).len();
    let mut early_size = 0;
    for iteration in 0..3000u64 {
        let (endpoint, destination) = (100 + iteration, 100 + iteration as u32 / 3);
        harness.handle(Event::ListUpdate(vec![entry(endpoint, destination)]));
        harness.accept(iteration, 0, destination);
        harness.accept(1_000_000 + iteration, 0, 900_000 + iteration as u32);
        for sent in harness.run_round() {
            harness.end_attempt(sent.id, sent.endpoint, 0, Outcome::Served, 0.1);
        }
        harness.handle(Event::Withdrawn(MessageId(1_000_000 + iteration)));
        harness.now += 1.0;
        let removed = EndpointEntry { state: EndpointState::Removed, ..entry(endpoint, destination) };
        harness.handle(Event::ListUpdate(vec![removed]));
        harness.run_round();
        if iteration == 2200 {
            // By now the record of ended ids has reached its maximum.
            early_size = size(&harness);
        }
    }
    assert!(size(&harness) < early_size + early_size / 8, "{} from {early_size}", size(&harness));
    // A late event about a forgotten message has no effect.
    harness.end_attempt(1, 101, 0, Outcome::Error, 0.1);
    assert!(harness.run_round().is_empty());
}
