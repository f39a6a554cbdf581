//! A fleet of the real module against one destination, in simulated time.

use super::*;
use std::collections::BTreeMap;

pub const SIZES: [usize; 4] = [2, 10, 100, 200];
pub const STEP: f64 = 0.02;
pub const LATENCY: f64 = 0.1;

/// What all dispatchers together did.
#[derive(Debug, Default, PartialEq)]
pub struct Sums {
    pub calls: usize,
    pub served: usize,
    pub full: usize,
    pub connects: usize,
    /// Most and mean idle connections at the place.
    pub idle_most: usize,
    pub idle_mean: f64,
    /// Messages that came, and those that ended undelivered.
    pub taken: usize,
    pub ended: usize,
}

/// A call as the place sees it: when, by which dispatcher.
pub type Place<'a> = &'a mut dyn FnMut(f64, usize) -> (Outcome, Option<RateLimitReport>);

/// Plays a fleet of `n` against one destination of two endpoints; messages come evenly to all that live, at random
/// times. `alive`: whether a dispatcher lives then. Sums are taken from `from` on.
pub fn play(
    n: usize, seed: u64, (rate, listed): (f64, f64), span: (f64, f64), alive: &dyn Fn(f64, usize) -> bool,
    place: Place,
) -> Sums {
    play_load(n, seed, (&|_| rate, listed), span, alive, place)
}

/// The same with messages at a rate that changes with time.
pub fn play_load(
    n: usize, seed: u64, (rate, listed): (&dyn Fn(f64) -> f64, f64), (from, until): (f64, f64),
    alive: &dyn Fn(f64, usize) -> bool, place: Place,
) -> Sums {
    let own = Settings {
        dispatcher_count: n as u32,
        max_concurrent_calls: 40,
        keepalive: Some(15.0),
        ..settings()
    };
    let entries: Vec<_> = (1..=2).map(|id| EndpointEntry { rate: listed, ..entry(id, 1) }).collect();
    let mut fleet: Vec<Dispatcher> = (0..n)
        .map(|i| {
            let mut d = Dispatcher::new(own.clone(), seed * 1000 + i as u64).unwrap();
            d.handle(0.0, Event::ListSnapshot(entries.clone()));
            d
        })
        .collect();
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut sums, mut id, mut steps) = (Sums::default(), 0, 0);
    let mut idle: BTreeMap<(usize, u64), usize> = BTreeMap::new();
    let mut out: Vec<(f64, usize, u64, AttemptEnd)> = Vec::new();
    let mut attempts: BTreeMap<MessageId, u32> = BTreeMap::new();
    for step in 1..(until / STEP) as u64 {
        let now = step as f64 * STEP;
        let counted = now >= from;
        let living: Vec<usize> = (0..n).filter(|i| alive(now, *i)).collect();
        let mut due = rate(now) * STEP;
        while rng.f64() < due {
            due -= 1.0;
            id += 1;
            sums.taken += usize::from(counted);
            let to = living[rng.usize(..living.len())];
            let message = Message {
                id: MessageId(id),
                class: 0,
                destination: HOME,
                deadline: now + 12.0,
                key: None,
                tenant: 0,
                over_quota: None,
            };
            fleet[to].handle(now, Event::Accepted(message));
        }
        let (ended, rest): (Vec<_>, Vec<_>) = out.into_iter().partition(|(at, ..)| *at <= now);
        out = rest;
        for (_, to, endpoint, end) in ended {
            *idle.entry((to, endpoint)).or_default() += usize::from(end.connection_kept);
            fleet[to].handle(now, Event::AttemptEnded(end));
        }
        for i in living {
            let mut actions = Vec::new();
            fleet[i].decide(now, &mut actions);
            for action in actions {
                match action {
                    Action::Send { id, endpoint, .. } => {
                        let links = idle.entry((i, endpoint.0)).or_default();
                        let reused = *links > 0;
                        *links -= usize::from(reused);
                        let (outcome, allowance) = place(now, i);
                        let attempt = attempts.entry(id).or_default();
                        let end = AttemptEnd {
                            id,
                            endpoint,
                            attempt: *attempt,
                            outcome,
                            retry_after: None,
                            settled: outcome == Outcome::Served,
                            latency: LATENCY,
                            rate_limit_report: allowance,
                            connection_reused: reused,
                            connection_kept: outcome.answered(),
                        };
                        *attempt += 1;
                        out.push((now + LATENCY, i, endpoint.0, end));
                        if counted {
                            sums.calls += 1;
                            sums.served += usize::from(outcome == Outcome::Served);
                            sums.full += usize::from(outcome == Outcome::Overloaded);
                            sums.connects += usize::from(!reused);
                        }
                    }
                    Action::CloseIdle(endpoint) => drop(idle.remove(&(i, endpoint.0))),
                    Action::Reject(_) | Action::Fail(_) => sums.ended += usize::from(counted),
                    _ => {}
                }
            }
        }
        if counted {
            steps += 1;
            let open: usize = idle.values().sum();
            sums.idle_most = sums.idle_most.max(open);
            sums.idle_mean += open as f64;
        }
    }
    sums.idle_mean /= f64::from(steps);
    sums
}
