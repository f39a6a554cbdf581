//! The policy of the delivery service: every decision between the events and actions of `src/interface.rs`,
//! on the state in `src/state.rs`. Each submodule has one part of it.
//!
//! The regular path (`scheduling`) follows Dalal and Jordan: while all slots are in use, a slot that becomes
//! free goes to the queued message with the highest product of value, decayed freshness and service rate;
//! what cannot be delivered is rejected before it is sent. The other submodules handle conditions that the
//! paper does not treat; each says which failure it prevents and what that costs.

mod attempts;
mod cancellation;
mod connections;
mod endpoint_list;
mod health_log;
pub(crate) mod journaling;
pub(crate) mod list_confirmation;
mod outage;
mod outage_record;
mod overload;
mod rate_limit;
mod recovery_budget;
mod scheduling;
mod shutdown;
mod silence;
mod undelivered;

use crate::interface::*;
use crate::state::*;
use health_log::{HealthChangeCause, TargetName};
use outage::CallResult;
use overload::{MIN_OVERLOAD_BACKOFF_SECONDS, OverloadCause};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Latency of a target without measurements: the quarter second that the design assumes.
pub(crate) const DEFAULT_LATENCY_SECONDS: f64 = 0.25;
/// Assumed capacity of a destination without a listed or reported rate, in calls a second: a small one, so
/// that it is not overloaded while it recovers.
const DEFAULT_CAPACITY_PER_SECOND: f64 = 1.0;
/// Time constant of the measured demand; longer than a burst of messages.
const DEMAND_WINDOW_SECONDS: f64 = 10.0;
/// The own share of a shared capacity is never taken to be below this part of an equal share.
const MIN_OWN_SHARE: f64 = 0.5;
/// A timer that fires later than this shows that this process stalled: events that waited meanwhile look slow
/// without being so.
const MIN_STALL_SECONDS: f64 = 0.25;
/// Number of ended message ids that are kept, so that repeated events have no effect.
const MAX_ENDED_MESSAGES: usize = 4096;

impl Dispatcher {
    /// Applies one event. Unknown, late and repeated ids have no effect.
    pub fn handle(&mut self, now: Seconds, event: Event) {
        if self.timer.is_some_and(|(_, at)| now > at + MIN_STALL_SECONDS) {
            (self.last_stall_at, self.timer) = (now, None);
        }
        match event {
            Event::Accepted(message) => self.accept(now, message, true),
            Event::Recovered(progress) => {
                if self.reopen(now, progress) {
                    self.limit_backlog_rate(now, progress.message.destination);
                }
            }
            Event::OutageRestored(destination) => {
                self.recovered_outages.insert(destination);
                self.restore_outage(now, destination);
            }
            Event::EndpointRestored(endpoint) => self.endpoint_restored(now, endpoint),
            Event::QuotaUpdate { tenant, remaining, at } => {
                self.set_quota_balance(now, tenant, remaining, at)
            }
            Event::ShutdownAt(at) => (self.shutdown_at, self.next_review_at) = (at, now),
            Event::AttemptMayHaveRun { id, attempt } => self.attempt_may_have_run(now, id, attempt),
            Event::AttemptEnded(end) => self.attempt_ended(now, end),
            Event::RetryAfter { endpoint, delay } => self.apply_retry_after(now, endpoint, delay),
            Event::Withdrawn(id) => self.withdraw(id, MAX_ENDED_MESSAGES),
            Event::ListUpdate(entries) => self.apply_list(now, entries, false),
            Event::ListSnapshot(entries) => self.apply_list(now, entries, true),
            Event::ListFailed => self.subscription_failed(now),
            Event::ListKeepAlive => self.subscription_confirmed(now),
            Event::ListUnconfirmed { hold_from } => self.list_unconfirmed(hold_from),
            Event::ListConfirmed => self.list_confirmed(now),
            Event::TimerFired(token) => self.timer = self.timer.filter(|(set, _)| *set != token),
            Event::ProbeEnded { endpoint, outcome, latency, rate_limit_report } => {
                self.record_outcome(now, endpoint, outcome, latency, rate_limit_report, true);
            }
        }
    }

    /// Continues a message; returns false if it can only be ended.
    fn reopen(&mut self, now: Seconds, progress: MessageProgress) -> bool {
        let MessageProgress { message, accepted_at, attempts, may_have_run } = progress;
        // Without its class, the effect of a repeat is unknown: a rejection would promise that a
        // repeat is harmless.
        if may_have_run.is_some() && message.class >= self.settings.classes.len() {
            self.pending_actions.push(Action::Fail(message.id));
            return false;
        }
        self.accept(now, message, false);
        self.restore_message(message.id, accepted_at, attempts, may_have_run);
        true
    }

    /// `is_new`: the message arrived now, so it counts as demand.
    fn accept(&mut self, now: Seconds, message: Message, is_new: bool) {
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
        if is_new {
            destination.demand.record_event(now, DEMAND_WINDOW_SECONDS);
        }
        self.update_own_share(now, message.destination);
        if is_new {
            self.for_each_target(message.destination, |target, slow_start, rng| {
                target.admit_by_chance(now, slow_start, rng)
            });
        }
        let over_quota =
            message.over_quota.unwrap_or_else(|| is_new && self.count_against_quota(now, message.tenant));
        self.messages.insert(message.id, MessageState::new(message, now, over_quota));
        self.enqueue(&message);
    }

    /// Applies the end of a call or probe to its endpoint and destination.
    #[allow(clippy::too_many_arguments)]
    fn record_outcome(
        &mut self, now: Seconds, id: EndpointId, outcome: Outcome, latency: f64,
        rate_limit_report: Option<RateLimitReport>, is_probe: bool,
    ) {
        if let Some(endpoint) = self.endpoints.get(&id) {
            self.update_own_share(now, endpoint.destination);
        }
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let Some(destination) = self.destinations.get_mut(&endpoint.destination) else { return };
        let slow_start = &self.settings.slow_start;
        // An answer that was read after a stall of this process waited for as long as the stall: its latency
        // is not the endpoint's.
        let after_stall = self.last_stall_at == now && outcome == Outcome::Served;
        let latency =
            if after_stall { latency.min(destination.target.stats.expected_latency(now)) } else { latency };
        let independent = destination.independent_endpoints;
        let limited_target = if independent { &mut endpoint.target } else { &mut destination.target };
        if let Some(report) = rate_limit_report {
            limited_target.rate_limiter.apply_report(now, report);
        }
        if is_probe && outcome == Outcome::Served {
            // A successful probe proves that the process runs, not that it delivers: it allows one real
            // trial.
            for target in [&mut endpoint.target, &mut destination.target] {
                (target.outage.probe_succeeded, target.outage.next_trial_at) = (true, now);
            }
            return;
        }
        // A failed connect while other calls to the endpoint are in flight and served is a shortage of
        // connections. Taking it for an outage would stop an endpoint whose connection table is full; the
        // cost is that a crash is noticed later.
        let others_in_flight =
            endpoint.target.in_flight > 0 && endpoint.target.outage.consecutive_failures == 0 && !is_probe;
        if outcome == Outcome::ConnectFailed && others_in_flight && endpoint.target.served_recently(now) {
            endpoint.target.backoff.backoff_until = now + MIN_OVERLOAD_BACKOFF_SECONDS;
            return;
        }
        let before = (endpoint.target.outage.health, destination.target.outage.health);
        let overload_cause = OverloadCause::from_report(rate_limit_report);
        let result = CallResult { outcome, latency, overload_cause };
        endpoint.target.record_outcome(now, result, independent, slow_start, &mut self.rng);
        // One failing endpoint among healthy ones is not an outage of the destination.
        let fails_again =
            before.0 != Health::Healthy && outcome != Outcome::Served && outcome != Outcome::Overloaded;
        if !(fails_again && destination.endpoints.len() > 1 && before.1 == Health::Healthy) {
            destination.target.record_outcome(now, result, !independent, slow_start, &mut self.rng);
        }
        let (destination_id, after) =
            (endpoint.destination, (endpoint.target.outage.health, destination.target.outage.health));
        let (target, health_before, health_after) = if independent {
            (TargetName::Endpoint(id), before.0, after.0)
        } else {
            (TargetName::Destination(destination_id), before.1, after.1)
        };
        self.log_health_change(target, health_before, health_after, HealthChangeCause::CallEnded(outcome));
        self.record_outage_change(destination_id);
    }

    /// Makes the decisions of one round, after all events of the round were applied.
    pub fn decide(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let mut wake_at = f64::INFINITY;
        self.renew_subscription(now, actions, &mut wake_at);
        self.suspect_unanswered(now);
        self.end_undeliverable(now, actions);
        self.send_queued(now, actions, &mut wake_at);
        self.cancel_overtaken(now, actions);
        self.shed_excess(now, actions);
        self.close_idle_connections(now, actions, &mut wake_at);
        self.key_queues.retain(|_, queue| !queue.messages.is_empty() || queue.cooldown_until > now);
        actions.extend(self.log_lines.drain(..).map(Action::Log));
        wake_at = wake_at.min(self.next_silence_check_at).min(self.next_review_at);
        actions.extend(self.schedule_timer(now, wake_at));
    }

    /// Updates the share of the destination's capacity that this dispatcher uses, from its part of the
    /// demand, and ends a recovery whose warm-up time has passed.
    fn update_own_share(&mut self, now: Seconds, id: DestinationId) {
        let Some(destination) = self.destinations.get_mut(&id) else { return };
        let even_share = 1.0 / f64::from(self.settings.dispatcher_count);
        // Right after the start, the measured demand lacks the time before it.
        let start_weight = (-(now - *self.started_at.get_or_insert(now)) / DEMAND_WINDOW_SECONDS).exp();
        let own_calls =
            destination.demand.value_at(now, DEMAND_WINDOW_SECONDS) / destination.max_batch as f64;
        let demand_share = destination.target.rate_limiter.capacity.map(|c| own_calls / c);
        let own_share = demand_share
            .map_or(even_share, |demand_share| demand_share + start_weight * even_share)
            .clamp(MIN_OWN_SHARE * even_share, 0.5 + 0.5 * even_share);
        let (slow_start, rng) = (&self.settings.slow_start, &mut self.rng);
        let mut warmed_up: Vec<(TargetName, Health)> = Vec::new();
        let mut update = |name: TargetName, target: &mut TargetState, enforces_limit: bool| {
            let share_changed = enforces_limit && target.rate_limiter.even_share != even_share;
            (
                target.rate_limiter.own_share,
                target.rate_limiter.even_share,
                target.rate_limiter.enforces_limit,
            ) = (own_share, even_share, enforces_limit);
            if share_changed {
                target.rate_limiter.randomize_phase(now, rng);
            }
            let is_warm =
                matches!(target.outage.health, Health::Recovering(at) if now - at >= slow_start.warm_up_time);
            if is_warm && !target.may_be_cold(now, slow_start) {
                if enforces_limit {
                    warmed_up.push((name, target.outage.health));
                }
                target.outage.health = Health::Healthy;
            }
        };
        update(TargetName::Destination(id), &mut destination.target, !destination.independent_endpoints);
        for endpoint in &destination.endpoints {
            self.endpoints.entry(*endpoint).and_modify(|e| {
                update(TargetName::Endpoint(*endpoint), &mut e.target, destination.independent_endpoints)
            });
        }
        for (target, before) in warmed_up {
            self.log_health_change(target, before, Health::Healthy, HealthChangeCause::WarmedUp);
        }
        self.record_outage_change(id);
    }
}
