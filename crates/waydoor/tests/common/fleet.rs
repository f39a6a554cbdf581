//! Simulates a fleet of real dispatchers that call one destination, in virtual time.

use super::*;
use std::collections::BTreeMap;

/// Numbers of dispatchers that the fleet tests simulate.
pub const FLEET_SIZES: [usize; 4] = [2, 10, 100, 200];
/// Time between two rounds of every dispatcher.
pub const STEP_SECONDS: f64 = 0.02;
/// Time that every call takes.
pub const LATENCY_SECONDS: f64 = 0.1;

/// Totals over all dispatchers of a fleet.
#[derive(Debug, Default, PartialEq)]
pub struct Totals {
    pub calls: usize,
    pub served: usize,
    pub overloaded: usize,
    pub connections_opened: usize,
    /// Maximum and mean number of idle connections to the destination.
    pub max_idle_connections: usize,
    pub mean_idle_connections: f64,
    /// Messages that were accepted, and those that ended undelivered.
    pub accepted: usize,
    pub undelivered: usize,
}

/// Handles a call at the destination, given its time and the index of the calling dispatcher.
pub type CallHandler<'a> = &'a mut dyn FnMut(f64, usize) -> (Outcome, Option<RateLimitReport>);

/// Simulates `fleet_size` dispatchers that call one destination with two endpoints. Messages arrive at random
/// times at `rate`, spread evenly over the dispatchers that run then; `listed_rate` is the rate in the
/// endpoint list. The totals cover the time `measured`, from its start to its end.
pub fn simulate(
    fleet_size: usize, seed: u64, (rate, listed_rate): (f64, f64), measured: (f64, f64),
    is_running: &dyn Fn(f64, usize) -> bool, handle_call: CallHandler,
) -> Totals {
    simulate_with_load(fleet_size, seed, (&|_| rate, listed_rate), measured, is_running, handle_call)
}

/// Like [`simulate`], with an arrival rate that changes over time.
pub fn simulate_with_load(
    fleet_size: usize, seed: u64, (rate, listed_rate): (&dyn Fn(f64) -> f64, f64), (from, until): (f64, f64),
    is_running: &dyn Fn(f64, usize) -> bool, handle_call: CallHandler,
) -> Totals {
    let fleet_settings = Settings {
        dispatcher_count: fleet_size as u32,
        max_concurrent_calls: 40,
        keepalive: Some(15.0),
        ..settings()
    };
    let entries: Vec<_> = (1..=2).map(|id| EndpointEntry { rate: listed_rate, ..entry(id, 1) }).collect();
    let mut fleet: Vec<Dispatcher> = (0..fleet_size)
        .map(|index| {
            let mut dispatcher = Dispatcher::new(fleet_settings.clone(), seed * 1000 + index as u64).unwrap();
            dispatcher.handle(0.0, Event::ListSnapshot(entries.clone()));
            dispatcher
        })
        .collect();
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut totals, mut last_id, mut measured_steps) = (Totals::default(), 0, 0);
    let mut idle_connections: BTreeMap<(usize, u64), usize> = BTreeMap::new();
    let mut in_flight: Vec<(f64, usize, u64, AttemptEnd)> = Vec::new();
    let mut attempts: BTreeMap<MessageId, u32> = BTreeMap::new();
    for step in 1..(until / STEP_SECONDS) as u64 {
        let now = step as f64 * STEP_SECONDS;
        let is_measured = now >= from;
        let running: Vec<usize> = (0..fleet_size).filter(|index| is_running(now, *index)).collect();
        let mut arrivals_due = rate(now) * STEP_SECONDS;
        while rng.f64() < arrivals_due {
            arrivals_due -= 1.0;
            last_id += 1;
            totals.accepted += usize::from(is_measured);
            let receiver = running[rng.usize(..running.len())];
            let message = Message {
                id: MessageId(last_id),
                class: 0,
                destination: DESTINATION_1,
                deadline: now + 12.0,
                key: None,
                tenant: 0,
                over_quota: None,
            };
            fleet[receiver].handle(now, Event::Accepted(message));
        }
        let (ended, remaining): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|(at, ..)| *at <= now);
        in_flight = remaining;
        for (_, receiver, endpoint, end) in ended {
            *idle_connections.entry((receiver, endpoint)).or_default() += usize::from(end.connection_kept);
            fleet[receiver].handle(now, Event::AttemptEnded(end));
        }
        for index in running {
            let mut actions = Vec::new();
            fleet[index].decide(now, &mut actions);
            for action in actions {
                match action {
                    Action::Send { id, endpoint, .. } => {
                        let idle_count = idle_connections.entry((index, endpoint.0)).or_default();
                        let connection_reused = *idle_count > 0;
                        *idle_count -= usize::from(connection_reused);
                        let (outcome, rate_limit_report) = handle_call(now, index);
                        let attempt = attempts.entry(id).or_default();
                        let end = AttemptEnd {
                            id,
                            endpoint,
                            attempt: *attempt,
                            outcome,
                            retry_after: None,
                            settled: outcome == Outcome::Served,
                            latency: LATENCY_SECONDS,
                            rate_limit_report,
                            connection_reused,
                            connection_kept: outcome.answered(),
                        };
                        *attempt += 1;
                        in_flight.push((now + LATENCY_SECONDS, index, endpoint.0, end));
                        if is_measured {
                            totals.calls += 1;
                            totals.served += usize::from(outcome == Outcome::Served);
                            totals.overloaded += usize::from(outcome == Outcome::Overloaded);
                            totals.connections_opened += usize::from(!connection_reused);
                        }
                    }
                    Action::CloseIdle(endpoint) | Action::AvoidIdle(endpoint) => {
                        idle_connections.remove(&(index, endpoint.0));
                    }
                    Action::Reject(_) | Action::Fail(_) => totals.undelivered += usize::from(is_measured),
                    _ => {}
                }
            }
        }
        if is_measured {
            measured_steps += 1;
            let idle_total: usize = idle_connections.values().sum();
            totals.max_idle_connections = totals.max_idle_connections.max(idle_total);
            totals.mean_idle_connections += idle_total as f64;
        }
    }
    totals.mean_idle_connections /= f64::from(measured_steps);
    totals
}
