//! Hundreds of dispatchers that each see a little: what they send together, counted at one small place.

mod common;

use common::*;
use waydoor::*;

const CROWD: usize = 300;
const RATE: f64 = 6.0;
const STEP: f64 = 0.05;

/// What the place does with a call at a time; how many were let through this second.
type Place<'a> = &'a mut dyn FnMut(f64, usize) -> Outcome;

/// A call that reached the place: when, from whom, how it ended.
struct Call {
    at: f64,
    from: usize,
    outcome: Outcome,
}

/// Plays a crowd against the place; messages come at a rate, most to a few of the dispatchers.
fn play(per_second: f64, until: f64, slots: usize, place: Place) -> Vec<Call> {
    let settings = Settings { dispatcher_count: CROWD as u32, max_concurrent_calls: slots, ..settings() };
    let mut crowd: Vec<_> =
        (0..CROWD).map(|i| Dispatcher::new(settings.clone(), i as u64).unwrap()).collect();
    let listed = vec![EndpointEntry { rate: RATE, ..entry(1, 1) }];
    crowd.iter_mut().for_each(|d| d.handle(0.0, Event::ListSnapshot(listed.clone())));
    let mut rng = fastrand::Rng::with_seed(5);
    let (mut calls, mut out, mut id, mut owed) = (Vec::new(), Vec::new(), 0, 0.0);
    let mut attempts = std::collections::BTreeMap::new();
    for step in 1..(until / STEP) as u64 {
        let now = step as f64 * STEP;
        owed += per_second * STEP;
        while owed >= 1.0 {
            (owed, id) = (owed - 1.0, id + 1);
            let to = ((rng.f64() * rng.f64()) * CROWD as f64) as usize;
            let message = Message {
                id: MessageId(id),
                class: 0,
                destination: HOME,
                deadline: now + 20.0,
                key: None,
                tenant: 0,
                over_quota: None,
            };
            crowd[to].handle(now, Event::Accepted(message));
        }
        out.retain(|(end, from, event): &(f64, usize, Event)| {
            if *end <= now {
                crowd[*from].handle(now, event.clone());
            }
            *end > now
        });
        for (from, dispatcher) in crowd.iter_mut().enumerate() {
            let mut actions = Vec::new();
            dispatcher.decide(now, &mut actions);
            for action in actions {
                let Action::Send { id, endpoint, .. } = action else { continue };
                let outcome = place(now, from);
                let latency = if outcome == Outcome::Served { 0.2 } else { 0.05 };
                let attempt = attempts.entry(id).or_insert(0);
                let closed = outcome == Outcome::Served;
                let (attempt, _) = (*attempt, *attempt += 1);
                let (wait, allowance) = (None, None);
                let kept = outcome.answered();
                let end = AttemptEnd {
                    id,
                    endpoint,
                    attempt,
                    outcome,
                    retry_after: wait,
                    settled: closed,
                    latency,
                    rate_limit_report: allowance,
                    connection_reused: false,
                    connection_kept: kept,
                };
                out.push((now + latency, from, Event::AttemptEnded(end)));
                calls.push(Call { at: now, from, outcome });
            }
        }
    }
    calls
}

fn between(calls: &[Call], from: f64, to: f64) -> impl Iterator<Item = &Call> {
    calls.iter().filter(move |c| c.at >= from && c.at < to)
}

fn outage(slots: usize, kind: Outcome) {
    let calls = play(0.8 * RATE, 60.0, slots, &mut |now, _| {
        if (8.0..24.0).contains(&now) { kind } else { Outcome::Served }
    });
    let informed: std::collections::BTreeSet<usize> =
        between(&calls, 8.0, 24.0).filter(|c| c.outcome != Outcome::Served).map(|c| c.from).collect();
    assert!(informed.len() > 30, "many saw the outage: {}", informed.len());
    // The rule: 1.5 times a quarter of the capacity for 3 s; as much again for chance.
    let budget = 1.5 * 0.25 * RATE * 3.0;
    let after = between(&calls, 24.0, 27.0).filter(|c| informed.contains(&c.from)).count() as f64;
    assert!(after <= 2.0 * budget, "{after} calls by those who knew, {budget} allowed");
    let warm = between(&calls, 40.0, 60.0).count() as f64;
    assert!(warm > 0.7 * 0.8 * RATE * 20.0, "the place is used again: {warm}");
}

#[test]
fn a_returning_place_is_not_swamped_and_not_left_unused() {
    // h51afab and icc71c5: each of a crowd tried once more at once, together several times the cold budget.
    outage(2, Outcome::ConnectFailed);
    outage(50, Outcome::ConnectFailed);
    outage(4, Outcome::Error);
}

#[test]
fn a_crowd_at_a_small_limit_does_not_spend_it_on_refusals() {
    // Each second has room for so many calls; all others are refused.
    let (mut second, mut used) = (0.0, 0.0);
    let calls = play(1.2 * RATE, 60.0, 4, &mut |now, _| {
        if now.floor() != second {
            (second, used) = (now.floor(), 0.0);
        }
        used += 1.0;
        if used > RATE { Outcome::Overloaded } else { Outcome::Served }
    });
    let all = between(&calls, 20.0, 60.0).count() as f64;
    let served = between(&calls, 20.0, 60.0).filter(|c| c.outcome == Outcome::Served).count() as f64;
    assert!(served > 0.85 * RATE * 40.0, "the limit is used: {served}");
    assert!(all < 2.2 * RATE * 40.0, "and not overrun: {all} calls");
}

/// One of a crowd: takes a message, sends it, gets its end after some time; returns what it did then.
fn visit(stage: &mut Stage, id: u64, outcome: Outcome) -> Vec<Action> {
    stage.take(id, 0, 1);
    // The first turns of a crowd come at random.
    let mut sent = stage.round();
    let end = stage.now + 15.0;
    while sent.is_empty() && stage.now < end {
        stage.now += 0.05;
        sent = stage.round();
    }
    assert_eq!(sent.len(), 1, "message {id}");
    stage.until(stage.now + 0.2);
    stage.end(id, 1, 0, outcome, 0.2);
    stage.event(Event::Withdrawn(MessageId(id)));
    stage.round();
    stage.actions.clone()
}

#[test]
fn one_of_a_crowd_closes_a_connection_that_it_will_hardly_use() {
    let close = Action::CloseIdle(EndpointId(1));
    let mut stage = Stage::new(Settings { dispatcher_count: CROWD as u32, ..settings() });
    assert!(visit(&mut stage, 1, Outcome::Served).contains(&close));
    // With few dispatchers it is kept: nobody else needs the place.
    let mut stage = Stage::new(settings());
    assert!(!visit(&mut stage, 1, Outcome::Served).contains(&close));
}

#[test]
fn idle_connections_that_fail_in_a_row_are_no_outage_and_are_closed_early() {
    let mut stage = Stage::new(settings());
    let close = Action::CloseIdle(EndpointId(1));
    visit(&mut stage, 1, Outcome::Served);
    let mut closed = false;
    for id in [2, 4, 6, 8] {
        for _ in 0..40 {
            stage.now += 0.05;
            stage.round();
            closed |= stage.actions.contains(&close);
        }
        // On a new connection it is served; on an idle one it fails, and the next goes at once over a new one.
        let outcome = if closed { Outcome::Served } else { Outcome::ConnectionReset };
        visit(&mut stage, id, outcome);
        visit(&mut stage, id + 1, Outcome::Served);
    }
    assert!(closed, "what is dropped unseen is closed before");
}

#[test]
fn an_unsafe_message_goes_on_no_connection_that_was_idle_for_long() {
    let mut stage = Stage::new(settings());
    visit(&mut stage, 1, Outcome::Served);
    stage.until(stage.now + 2.0);
    stage.take(2, 2, 1);
    assert_eq!(stage.round().len(), 1);
    let close = stage.actions.iter().position(|a| *a == Action::CloseIdle(EndpointId(1)));
    let send = stage.actions.iter().position(|a| matches!(a, Action::Send { .. }));
    assert!(close.is_some() && close < send, "{:?}", stage.actions);
}

#[test]
fn what_an_own_stall_held_back_is_no_silence_and_no_slowness() {
    let mut stage = Stage::new(settings());
    stage.serve(1, 1);
    stage.take(2, 0, 1);
    assert_eq!(stage.round().len(), 1);
    // No round for two seconds: the timer comes far too late.
    stage.now += 2.0;
    stage.take(3, 0, 1);
    assert_eq!(stage.round().len(), 1, "nothing is suspect after an own stall");
    stage.end(2, 1, 0, Outcome::Served, 2.0);
    stage.end(3, 1, 0, Outcome::Served, 0.1);
    stage.round();
    stage.take(4, 0, 1);
    assert!(stage.round()[0].timeout < 2.5, "two slow seconds were the own ones");
}

#[test]
fn memory_stays_bounded_while_endpoints_and_destinations_come_and_go() {
    let mut stage = Stage::new(settings());
    let size = |stage: &Stage| format!("{:?}", stage.dispatcher).len();
    let mut early = 0;
    for turn in 0..3000u64 {
        let (endpoint, destination) = (100 + turn, 100 + turn as u32 / 3);
        stage.event(Event::ListUpdate(vec![entry(endpoint, destination)]));
        stage.take(turn, 0, destination);
        stage.take(1_000_000 + turn, 0, 900_000 + turn as u32);
        for sent in stage.round() {
            stage.end(sent.id, sent.endpoint, 0, Outcome::Served, 0.1);
        }
        stage.event(Event::Withdrawn(MessageId(1_000_000 + turn)));
        stage.now += 1.0;
        let gone = EndpointEntry { state: EndpointState::Removed, ..entry(endpoint, destination) };
        stage.event(Event::ListUpdate(vec![gone]));
        stage.round();
        if turn == 2200 {
            // By now as many ended ids are kept as ever will be.
            early = size(&stage);
        }
    }
    assert!(size(&stage) < early + early / 8, "{} from {early}", size(&stage));
    // Late word of what was forgotten changes nothing.
    stage.end(1, 101, 0, Outcome::Error, 0.1);
    assert!(stage.round().is_empty());
}
