//! Every decision of waydoor, in rooms by job, between `src/interface.rs` and `src/state.rs`.
//!
//! The ordinary path is Dalal and Jordan's (`order`): when all slots are full, a freed one goes to the held
//! message of highest worth x decayed freshness x service rate; what can't be delivered is refused unsent.
//! All else is an exception for a condition that the paper does not treat; each room says what it guards.

mod answers;
mod attempts;
mod closing;
mod connections;
mod listing;
mod order;
mod outage;
mod pace;
mod refusal;
pub(crate) mod storage;

use crate::interface::*;
use crate::state::*;
use listing::{ASK, ASK_MOST};
use refusal::FULL_PAUSE;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Service time where none is known: the design page's quarter second.
pub(crate) const UNKNOWN_LATENCY: f64 = 0.25;
/// Where no rate is listed or learned, a returning destination is taken to be small (calls a second).
const SMALL_CAPACITY: f64 = 1.0;
/// Time over which the demand is measured: longer than clumps.
const DEMAND_TIME: f64 = 10.0;
/// The own part of a shared capacity is never taken to be below this share of an even split.
const PART_LEAST: f64 = 0.5;
/// A timer that comes later than this tells of an own stall: what came meanwhile looks slow and is not.
const STALL: f64 = 0.25;
/// Ended ids that are remembered, against repeated events.
const ENDED_KEPT: usize = 4096;
/// Log lines in one life.
const NOTES_MOST: u32 = 200;

impl Dispatcher {
    /// Takes note of one event. Unknown, late and repeated ids change nothing.
    pub fn handle(&mut self, now: Seconds, event: Event) {
        if self.timer.is_some_and(|(_, at)| now > at + STALL) {
            (self.last_stall_at, self.timer) = (now, None);
        }
        match event {
            Event::Accepted(message) => self.accept(now, message, true),
            Event::Recovered { message, accepted_at: taken, attempts, may_have_run } => {
                // What a repeat does is not known where its class is not: its refusal would promise too much.
                if may_have_run.is_some() && message.class >= self.settings.classes.len() {
                    return self.pending_actions.push(Action::Fail(message.id));
                }
                self.accept(now, message, false);
                self.restore_message(message.id, taken, attempts, may_have_run);
                self.limit_backlog_rate(now, message.destination);
            }
            Event::OutageRecovered(destination) => {
                self.recovered_outages.insert(destination);
                self.restore_outage(now, destination);
            }
            Event::EndpointRestored(endpoint) => self.endpoint_restored(now, endpoint),
            Event::QuotaUpdate { tenant, remaining: left, at } => {
                self.set_quota_balance(now, tenant, left, at)
            }
            Event::ShutdownAt(at) => (self.shutdown_at, self.next_review_at) = (at, now),
            Event::AttemptEnded(end) => self.attempt_ended(now, end),
            Event::RetryAfter { endpoint, delay: wait } => self.apply_retry_after(now, endpoint, wait),
            Event::Withdrawn(id) => self.withdraw(id, ENDED_KEPT),
            Event::ListUpdate(entries) => self.apply_list(now, entries, false),
            Event::ListSnapshot(entries) => self.apply_list(now, entries, true),
            Event::ListFailed => {
                (self.failed_subscribes, self.subscribe_sent) = (self.failed_subscribes + 1, false);
                let wait = (ASK * 2f64.powi(self.failed_subscribes.min(8) as i32 - 1))
                    .min(ASK_MOST * self.settings.discovery_mode.max_renewal_interval());
                self.next_subscribe_at = now + wait * (0.5 + self.rng.f64()) + self.subscribe_jitter();
            }
            Event::ListKeepAlive => self.subscription_confirmed(now),
            Event::TimerFired(token) => self.timer = self.timer.filter(|(set, _)| *set != token),
            Event::ProbeEnded { endpoint, outcome, latency, rate_limit_report: allowance } => {
                self.record_call_outcome(now, endpoint, outcome, latency, allowance, true);
            }
        }
    }

    /// `new`: it came now, and tells of the demand.
    fn accept(&mut self, now: Seconds, message: Message, new: bool) {
        if self.messages.contains_key(&message.id) || self.ended_messages.0.contains(&message.id) {
            return;
        }
        let Some(class) = self.settings.classes.get(message.class) else {
            self.pending_actions.push(Action::Reject(message.id));
            return;
        };
        if let Some(key) = message.key.filter(|_| class.ordered) {
            self.key_queues.entry(key).or_default().messages.push_back(message.id);
        }
        let destination = self.destinations.entry(message.destination).or_insert_with(Destination::unlisted);
        if new {
            destination.demand.record_event(now, DEMAND_TIME);
        }
        self.update_own_share(now, message.destination);
        self.for_each_target(message.destination, |lane, rule, rng| lane.admit_by_chance(now, rule, rng));
        let over_share =
            message.over_quota.unwrap_or_else(|| new && self.count_against_quota(now, message.tenant));
        self.messages.insert(message.id, MessageState::new(message, now, over_share));
        self.enqueue(&message);
    }

    /// Feeds the end of a call or probe to its lanes.
    #[allow(clippy::too_many_arguments)]
    fn record_call_outcome(
        &mut self, now: Seconds, id: EndpointId, outcome: Outcome, latency: f64,
        allowance: Option<RateLimitReport>, probe: bool,
    ) {
        if let Some(endpoint) = self.endpoints.get(&id) {
            self.update_own_share(now, endpoint.destination);
        }
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let Some(destination) = self.destinations.get_mut(&endpoint.destination) else { return };
        let rule = &self.settings.slow_start;
        // What was found after an own stall is as old as the stall: its time tells nothing.
        let late = self.last_stall_at == now && outcome == Outcome::Served;
        let latency =
            if late { latency.min(destination.target.stats.expected_latency(now)) } else { latency };
        let apart = destination.independent_endpoints;
        let limited = if apart { &mut endpoint.target } else { &mut destination.target };
        if let Some(told) = allowance {
            limited.rate_limiter.apply_report(now, told);
        }
        if probe && outcome == Outcome::Served {
            // A probe shows that the process runs, not that it serves: it vouches for one real trial.
            for lane in [&mut endpoint.target, &mut destination.target] {
                (lane.outage.probe_succeeded, lane.outage.next_trial_at) = (true, now);
            }
            return;
        }
        // Short of connections: the connect failed while other calls were out. Guards against taking a full
        // table for an outage. Harm: after a crash it may seem so for a while.
        let busy =
            endpoint.target.in_flight > 0 && endpoint.target.outage.consecutive_failures == 0 && !probe;
        if outcome == Outcome::ConnectFailed && busy {
            endpoint.target.backoff.backoff_until = now + FULL_PAUSE;
            return;
        }
        let before = (endpoint.target.outage.health, destination.target.outage.health);
        endpoint.target.record_outcome(now, outcome, latency, apart, rule, &mut self.rng);
        // One bad endpoint among good ones is not an outage of the destination.
        let known_bad =
            before.0 != Health::Healthy && outcome != Outcome::Served && outcome != Outcome::Overloaded;
        if !(known_bad && destination.endpoints.len() > 1 && before.1 == Health::Healthy) {
            destination.target.record_outcome(now, outcome, latency, !apart, rule, &mut self.rng);
        }
        let (whole, after) =
            (endpoint.destination, (endpoint.target.outage.health, destination.target.outage.health));
        let (was, is) = if apart { (before.0, after.0) } else { (before.1, after.1) };
        let (place, number) = if apart { ("route", id.0) } else { ("destination", whole.0.into()) };
        self.log_health_change(NOTES_MOST, place, number, was, is, outcome);
        self.record_outage_change(whole);
    }

    /// Decides once for a round, after all its events.
    pub fn decide(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let mut wake = f64::INFINITY;
        self.renew_subscription(now, actions, &mut wake);
        self.suspect_unanswered(now);
        self.end_undeliverable(now, actions);
        self.send_queued(now, actions, &mut wake);
        self.cancel_overtaken(now, actions);
        self.shed_excess(now, actions);
        self.close_idle_connections(now, actions, &mut wake);
        self.key_queues.retain(|_, line| !line.messages.is_empty() || line.cooldown_until > now);
        actions.extend(self.log_lines.drain(..).map(Action::Log));
        wake = wake.min(self.next_silence_check_at).min(self.next_review_at);
        actions.extend(self.schedule_timer(now, wake));
    }

    /// The own part of a destination's capacity, by the own demand. A return ends with its cold time.
    fn update_own_share(&mut self, now: Seconds, number: DestinationId) {
        let Some(destination) = self.destinations.get_mut(&number) else { return };
        let even = 1.0 / f64::from(self.settings.dispatcher_count);
        // A young measure of demand lacks what came before it.
        let young = (-(now - *self.started_at.get_or_insert(now)) / DEMAND_TIME).exp();
        let calls = destination.demand.value_at(now, DEMAND_TIME) / destination.max_batch as f64;
        let own = destination.target.rate_limiter.capacity.map(|c| calls / c);
        let part = own.map_or(even, |own| own + young * even).clamp(PART_LEAST * even, 0.5 + 0.5 * even);
        let (rule, rng) = (&self.settings.slow_start, &mut self.rng);
        let mut renew = |lane: &mut TargetState, limited: bool| {
            let new = limited && lane.rate_limiter.even_share != even;
            (lane.rate_limiter.own_share, lane.rate_limiter.even_share, lane.rate_limiter.enforces_limit) =
                (part, even, limited);
            if new {
                lane.rate_limiter.randomize_phase(now, rng);
            }
            let warm =
                matches!(lane.outage.health, Health::Recovering(since) if now - since >= rule.warm_up_time);
            if warm && !lane.may_be_cold(now, rule) {
                lane.outage.health = Health::Healthy;
            }
        };
        renew(&mut destination.target, !destination.independent_endpoints);
        for id in &destination.endpoints {
            self.endpoints.entry(*id).and_modify(|e| renew(&mut e.target, destination.independent_endpoints));
        }
        self.record_outage_change(number);
    }
}
