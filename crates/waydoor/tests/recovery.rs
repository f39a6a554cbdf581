//! A destination recovers from an outage, cold, while a fleet holds a backlog for it. The tests measure how
//! much of its capacity is used, and check that the fleet does not overload it. `RETURN_SEEDS` sets the
//! number of seeds and prints the measurements.

mod common;

use common::fleet::*;
use common::*;
use std::collections::{BTreeSet, VecDeque};
use waydoor::*;

const MAX_CALLS_PER_SECOND: f64 = 60.0;
/// Capacity of a warm destination relative to its rate limit.
const CAPACITY_OVER_LIMIT: f64 = 1.25;
/// Maximum length of the destination's queue, in seconds of its present capacity.
const MAX_QUEUE_SECONDS: f64 = 0.6;
/// Start and end of the outage.
const OUTAGE: (f64, f64) = (8.0, 14.0);

/// A destination with outages after which it is cold; too many calls while it is cold make it crash.
struct ColdDestination {
    slow_start: SlowStart,
    /// Rate limit in calls per second.
    rate: f64,
    /// Start and end of each outage.
    outages: Vec<(f64, f64)>,
    /// Calls in its queue.
    queue: f64,
    /// Time at which `queue` and `tokens` were last updated.
    updated_at: f64,
    /// Tokens of its rate limit.
    tokens: f64,
    /// Time and dispatcher of each call in the last window.
    calls: VecDeque<(f64, usize)>,
    /// Dispatchers whose calls failed during the outage.
    observers: BTreeSet<usize>,
    /// It has crashed under too many calls and rejects all connections.
    crashed: bool,
    /// The limit that it reports, if it reports one.
    reported_limit: Option<f64>,
}

impl ColdDestination {
    fn new(rate: f64, outages: &[(f64, f64)]) -> Self {
        let (queue, updated_at, tokens, calls) = (0.0, 0.0, rate, VecDeque::new());
        let (slow_start, observers, outages) = (settings().slow_start, BTreeSet::new(), outages.to_vec());
        ColdDestination {
            slow_start,
            rate,
            outages,
            queue,
            updated_at,
            tokens,
            calls,
            observers,
            crashed: false,
            reported_limit: Some(rate),
        }
    }

    /// End of the latest outage.
    fn recovered_at(&self, now: f64) -> f64 {
        self.outages
            .iter()
            .rev()
            .find(|(start, _)| now >= *start)
            .map_or(f64::NEG_INFINITY, |outage| outage.1)
    }

    /// Capacity at a time, in calls per second.
    fn capacity(&self, now: f64) -> f64 {
        let recovered_at = self.recovered_at(now);
        if now < recovered_at {
            return 0.0;
        }
        let warm_share = ((now - recovered_at) / self.slow_start.warm_up_time).min(1.0);
        self.rate
            * CAPACITY_OVER_LIMIT
            * (self.slow_start.cold_capacity_share + (1.0 - self.slow_start.cold_capacity_share) * warm_share)
    }

    /// Handles a call of a dispatcher.
    fn call(&mut self, now: f64, from: usize) -> (Outcome, Option<RateLimitReport>) {
        let (recovered_at, capacity) = (self.recovered_at(now), self.capacity(now));
        if capacity == 0.0 || self.crashed {
            self.observers.insert(from);
            return (Outcome::ConnectFailed, None);
        }
        let elapsed = now - self.updated_at;
        self.queue = (self.queue - elapsed * capacity).max(0.0);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate);
        self.updated_at = now;
        self.calls.push_back((now, from));
        while self.calls.front().is_some_and(|(at, _)| *at <= now - self.slow_start.overload_window) {
            self.calls.pop_front();
        }
        // The capacity summed over the window, for the budget.
        let steps = 30;
        let step = self.slow_start.overload_window / f64::from(steps);
        let capacity_in_window: f64 =
            (0..steps).map(|i| self.capacity(now - f64::from(i) * step) * step).sum();
        let calls = self.calls.len() as f64;
        let calls_by_observers =
            self.calls.iter().filter(|(_, from)| self.observers.contains(from)).count() as f64;
        let cold = now - recovered_at < self.slow_start.warm_up_time;
        self.crashed |= cold
            && calls > max_cold_calls(self.slow_start.overload_multiple * capacity_in_window)
            && calls_by_observers > calls * 2.0 / 3.0;
        let rejected = self.tokens < 1.0 || self.queue >= MAX_QUEUE_SECONDS * capacity;
        self.tokens = (self.tokens - 1.0).max(0.0);
        self.queue += if rejected { 0.0 } else { 1.0 };
        let report = self
            .reported_limit
            .map(|rate| RateLimitReport { rate, remaining_share: Some(self.tokens / self.rate) });
        (if rejected { Outcome::Overloaded } else { Outcome::Served }, report)
    }
}

/// Returns the served share of the destination's capacity within its limit from its recovery until it is
/// warm, the rejected share of all calls, and whether the destination crashed.
fn simulate_recovery(fleet_size: usize, rate: f64, seed: u64, load: f64) -> (f64, f64, bool) {
    let mut destination = ColdDestination::new(rate, &[OUTAGE]);
    let warm_at = OUTAGE.1 + destination.slow_start.warm_up_time;
    let always = |_: f64, _: usize| true;
    let totals =
        simulate(fleet_size, seed, (load * rate, rate), (OUTAGE.1, warm_at), &always, &mut |now, i| {
            destination.call(now, i)
        });
    let step = 0.01;
    let max_served: f64 = (0..)
        .map(|i| OUTAGE.1 + f64::from(i) * step)
        .take_while(|at| *at < warm_at)
        .map(|at| destination.capacity(at).min(rate) * step)
        .sum();
    (
        totals.served as f64 / max_served,
        totals.overloaded as f64 / totals.calls.max(1) as f64,
        destination.crashed,
    )
}

#[test]
fn a_recovering_destination_is_used_to_capacity_and_never_overloaded() {
    let requested_seeds: Option<u64> =
        std::env::var("RETURN_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for (fleet_size, min_share) in [(2, 0.84), (10, 0.85), (100, 0.76), (200, 0.62)] {
        for load in [0.6, 1.1] {
            let mut worst = (1.0, 0);
            let (mut share_sum, mut rejected_sum) = (0.0, 0.0);
            let seeds = requested_seeds.unwrap_or(if fleet_size > 10 { 2 } else { 8 });
            for seed in 0..seeds {
                let (share, rejected, crashed) =
                    simulate_recovery(fleet_size, MAX_CALLS_PER_SECOND, seed, load);
                assert!(
                    !crashed,
                    "{fleet_size} dispatchers, load {load}, seed {seed}: the destination crashed"
                );
                (share_sum, rejected_sum) = (share_sum + share, rejected_sum + rejected);
                worst = if share < worst.0 { (share, seed) } else { worst };
            }
            let mean = share_sum / seeds as f64;
            if requested_seeds.is_some() {
                let rejected = rejected_sum / seeds as f64;
                println!(
                    "{fleet_size} dispatchers, load {load}: {mean:.3} of the capacity used, \
                     worst {worst:.3?}, {rejected:.3} rejected"
                );
            }
            assert!(
                mean >= min_share,
                "{fleet_size} dispatchers, load {load}: {mean:.3} of the capacity used, worst {worst:?}"
            );
        }
    }
}

/// Covers small and large fleets, and small and large destinations.
#[test]
fn no_destination_is_overloaded_by_a_fleet_of_any_size() {
    let seeds = std::env::var("RETURN_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(2);
    let mut crashes = Vec::new();
    for fleet_size in [1, 2, 3, 6, 20, 100] {
        for rate in [1.5, 5.0, 20.0, 60.0] {
            for load in [0.6, 1.1, 1.5] {
                let count =
                    (0..seeds).filter(|seed| simulate_recovery(fleet_size, rate, *seed, load).2).count();
                crashes.extend((count > 0).then_some((fleet_size, rate, load, count)));
            }
        }
    }
    assert!(
        crashes.is_empty(),
        "crashes out of {seeds} seeds as (dispatchers, rate, load, crashes): {crashes:?}"
    );
}
