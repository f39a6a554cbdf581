//! Scheduling: which queued message is sent next, by the priority of Dalal and Jordan (see the parent
//! module), and the rules that limit it.
//!
//! Prevents messages of low value, destinations that are unhealthy or take too much, and tenants beyond their
//! quota from filling the slots and the queue. The cost is that messages of low priority wait, and are
//! rejected when capacity runs out.

use super::outage::UNHEALTHY_FAILURE_SHARE;
use super::*;

/// Weight of a new sample in a decaying mean: about the last five calls count.
pub(super) const SAMPLE_WEIGHT: f64 = 0.2;
/// Half-life of measured latencies and failure shares, so that old measurements do not exclude a target for
/// good.
pub(super) const STATS_HALF_LIFE_SECONDS: f64 = 8.0;
/// A destination gets no further slot once it holds this share of them ...
const MAX_SLOT_SHARE: f64 = 0.75;
/// ... or this one if it fails or is slow.
const MAX_UNHEALTHY_SLOT_SHARE: f64 = 0.5;
/// A target is slow above this multiple of the mean latency of all destinations, which is well outside the
/// spread of healthy ones.
const SLOW_LATENCY_MULTIPLE: f64 = 3.0;
/// A message with less time left than this multiple of the mean latency may well not be delivered in time.
pub(super) const LAST_CALL_LATENCY_MULTIPLE: f64 = 2.0;
/// Messages by which the queue is kept below its limit: new ones that arrive at the limit are rejected by the
/// caller, without regard to priority.
const RESERVED_MESSAGES: usize = 1;
/// A tenant's quota is averaged over this time, so that shorter bursts do not exceed it.
const QUOTA_WINDOW_SECONDS: f64 = 10.0;

impl ServiceStats {
    fn age_weight(&self, now: Seconds) -> f64 {
        0.5f64.powf((now - self.updated_at).max(0.0) / STATS_HALF_LIFE_SECONDS)
    }

    /// Expected latency: old measurements decay towards the default.
    pub(super) fn expected_latency(&self, now: Seconds) -> f64 {
        DEFAULT_LATENCY_SECONDS + (self.mean_latency - DEFAULT_LATENCY_SECONDS) * self.age_weight(now)
    }

    pub(super) fn expected_failure_share(&self, now: Seconds) -> f64 {
        self.failure_share * self.age_weight(now)
    }

    pub(super) fn record_sample(&mut self, now: Seconds, latency: Option<f64>, failed: f64) {
        let (old_latency, old_share) = (self.expected_latency(now), self.expected_failure_share(now));
        self.mean_latency =
            latency.map_or(old_latency, |sample| old_latency + SAMPLE_WEIGHT * (sample - old_latency));
        self.failure_share = old_share + SAMPLE_WEIGHT * (failed - old_share);
        self.updated_at = now;
    }
}

impl Dispatcher {
    /// Priority of a queued message: value x decayed freshness x expected rate of successful service.
    fn priority(&self, now: Seconds, state: &MessageState, service_rate: f64) -> f64 {
        let Some(class) = self.settings.classes.get(state.message.class) else { return 0.0 };
        let decay_rate = match self.settings.decay {
            ValueDecay::Exponential => std::f64::consts::LN_2 / class.target_latency,
            ValueDecay::Linear => {
                std::f64::consts::LN_2 * (1.0 - class.late_value_share)
                    / (class.deadline - class.target_latency).max(class.target_latency)
            }
        };
        let lifetime = state.message.deadline - state.accepted_at;
        let value = class.value * if state.over_quota { self.settings.over_quota_value } else { 1.0 };
        value
            * (-decay_rate.max(std::f64::consts::LN_2 / lifetime) * (now - state.accepted_at)).exp()
            * service_rate
    }

    /// Expected rate of successful service.
    fn service_rate(&self, now: Seconds, destination: &Destination) -> f64 {
        (1.0 - destination.target.stats.expected_failure_share(now))
            / destination.target.stats.expected_latency(now)
    }

    /// Gives free slots to the queued messages of highest priority that may be sent.
    pub(super) fn send_queued(&mut self, now: Seconds, actions: &mut Vec<Action>, wake_at: &mut Seconds) {
        if self.holds_calls(now) || self.calls.len() >= self.settings.max_concurrent_calls {
            return;
        }
        let (mut candidates, mut open_destinations) = (Vec::new(), 0);
        for destination_id in self.queued_destinations.clone() {
            self.update_own_share(now, destination_id);
            let Some(destination) = self.destinations.get(&destination_id) else { continue };
            let admission = destination.target.admission(now, &self.settings.slow_start);
            if let Admission::ClosedUntil(until) = admission
                && !destination.independent_endpoints
            {
                *wake_at = wake_at.min(until);
            } else if !self.exceeds_slot_share(now, destination) {
                let rate = self.service_rate(now, destination);
                let states = destination.queued.iter().filter_map(|id| self.messages.get(id));
                let min_time_left =
                    LAST_CALL_LATENCY_MULTIPLE * destination.target.stats.expected_latency(now);
                candidates.extend(states.map(|state| {
                    let is_late = state.message.deadline - now < min_time_left;
                    (
                        self.priority(now, state, rate),
                        state.accepted_at,
                        (!state.is_untried_recovery(), state.over_quota, is_late),
                        state.message,
                    )
                }));
                open_destinations += 1;
            }
        }
        // If slots are free, only rate limits delay messages. Where the value falls linearly, all lose the
        // same by waiting, so the one that expires first goes first. The cost is that all are late where
        // capacity stays low.
        let order_by_deadline = self.calls.len() + open_destinations < self.settings.max_concurrent_calls
            && self.settings.decay == ValueDecay::Linear;
        // Messages that may not end in time go last. Recovered messages that were not attempted yet go first:
        // by their age they would have a lower priority than new ones.
        candidates.sort_by(
            |(priority, accepted_at, demotion, message),
             (other_priority, other_accepted_at, other_demotion, other_message)| {
                let by_deadline =
                    demotion.cmp(other_demotion).then(message.deadline.total_cmp(&other_message.deadline));
                let ordering = if order_by_deadline {
                    by_deadline
                } else {
                    demotion.0.cmp(&other_demotion.0).then(other_priority.total_cmp(priority))
                };
                ordering
                    .then(other_accepted_at.total_cmp(accepted_at))
                    .then(other_message.id.cmp(&message.id))
            },
        );
        let mut excluded: BTreeSet<DestinationId> = BTreeSet::new();
        let mut open_calls: BTreeMap<(EndpointId, bool), u64> = BTreeMap::new();
        for id in candidates.into_iter().map(|(.., message)| message.id) {
            let Some(state) = self.messages.get(&id) else { continue };
            if excluded.contains(&state.message.destination) || !self.is_next_for_key(now, state, wake_at) {
                continue;
            }
            let Some(destination) = self.destinations.get(&state.message.destination) else { continue };
            let max_batch = destination.max_batch;
            let effect = self.settings.classes[state.message.class].effect;
            let is_unsafe = effect == Effect::Unsafe;
            if let Some(until) = self.journal.blocked_until(now, effect) {
                *wake_at = wake_at.min(until);
                continue;
            }
            // A call with an unsafe message is awaited until the deadline, so only unsafe ones share it.
            let joinable = open_calls.iter().find(|((endpoint, carries_unsafe), call)| {
                !state.unbatched
                    && *carries_unsafe == is_unsafe
                    && destination.endpoints.contains(endpoint)
                    && self.calls.get(call).is_some_and(|c| c.pending_messages < max_batch)
                    && self.allows(state, *endpoint)
            });
            let (endpoint, call) = if let Some(((endpoint, _), call)) = joinable {
                (*endpoint, *call)
            } else if self.calls.len() >= self.settings.max_concurrent_calls
                || self.exceeds_slot_share(now, destination)
            {
                excluded.extend((max_batch == 1).then_some(state.message.destination));
                continue;
            } else {
                match self.select_endpoint(now, state) {
                    Ok((endpoint, is_trial)) => {
                        let unbatched = state.unbatched;
                        let call = self.open_call(now, endpoint, is_unsafe, actions);
                        open_calls.extend(
                            (max_batch > 1 && !is_trial && !unbatched)
                                .then_some(((endpoint, is_unsafe), call)),
                        );
                        (endpoint, call)
                    }
                    Err((until, probe)) => {
                        *wake_at = wake_at.min(until);
                        let excludes_destination = effect == Effect::Safe && max_batch == 1;
                        excluded.extend(excludes_destination.then_some(state.message.destination));
                        if let Some(endpoint) = probe {
                            self.for_each_call_target(endpoint, |target, slow_start, rng| {
                                target.book_call(now, slow_start, rng)
                            });
                            actions.push(Action::Probe(endpoint));
                        }
                        continue;
                    }
                }
            };
            self.send(now, id, endpoint, call, actions);
        }
    }

    /// Whether the destination holds its largest share of the slots.
    fn exceeds_slot_share(&self, now: Seconds, destination: &Destination) -> bool {
        let target = &destination.target;
        let slots = self.settings.max_concurrent_calls as f64;
        let is_slow = target.stats.expected_latency(now)
            > SLOW_LATENCY_MULTIPLE * self.mean_latency.max(DEFAULT_LATENCY_SECONDS);
        if is_slow
            || target.stats.expected_failure_share(now) > UNHEALTHY_FAILURE_SHARE
            || target.outage.health != Health::Healthy
        {
            target.in_flight > 0 && (target.in_flight + 1) as f64 > MAX_UNHEALTHY_SLOT_SHARE * slots
        } else {
            target.in_flight as f64 >= MAX_SLOT_SHARE * slots
        }
    }

    /// Whether a message is the next one of its order key: one at a time, in the order of acceptance, with a
    /// pause after an attempt that may still run.
    fn is_next_for_key(&self, now: Seconds, state: &MessageState, wake_at: &mut Seconds) -> bool {
        let key = state.message.key.filter(|_| self.settings.classes[state.message.class].ordered);
        let Some(key_queue) = key.and_then(|key| self.key_queues.get(&key)) else { return true };
        if key_queue.messages.front() != Some(&state.message.id) {
            return false;
        }
        let cooling_down = state.attempts == 0 && now < key_queue.cooldown_until;
        *wake_at = if cooling_down { wake_at.min(key_queue.cooldown_until) } else { *wake_at };
        !cooling_down
    }

    /// When the queue is almost full, ends the messages of lowest priority: the caller's limit would reject
    /// whichever messages arrive next.
    pub(super) fn shed_excess(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        if self.journal.is_failing(now) {
            // No new message is accepted meanwhile, and an end that is not recorded would be lost in a crash.
            return;
        }
        let excess = (self.messages.len() + RESERVED_MESSAGES).saturating_sub(self.settings.max_messages);
        let mut by_priority = Vec::new();
        for id in self.queued_destinations.iter().filter(|_| excess > 0) {
            let Some(destination) = self.destinations.get(id) else { continue };
            let rate = self.service_rate(now, destination);
            let sheddable =
                |id| self.messages.get(id).filter(|state| !state.is_untried_recovery() || state.over_quota);
            let states = destination.queued.iter().filter_map(sheddable);
            by_priority.extend(states.map(|state| (self.priority(now, state, rate), state.message.id)));
        }
        by_priority.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id) in by_priority.into_iter().take(excess) {
            self.end_message(id, actions);
        }
    }

    /// How one more message would stand with its tenant's quota, of which each dispatcher has an equal part;
    /// `None` for a tenant without a quota.
    pub fn quota_status(&self, now: Seconds, tenant: usize) -> Option<QuotaStatus> {
        let own_quota = self.settings.tenants.get(tenant)?.quota / f64::from(self.settings.dispatcher_count);
        let max_balance = (own_quota * QUOTA_WINDOW_SECONDS).max(1.0);
        let balance = self
            .quota_balances
            .get(&tenant)
            .copied()
            .unwrap_or(QuotaBalance { remaining: max_balance, updated_at: now });
        let remaining =
            (balance.remaining + own_quota * (now - balance.updated_at).max(0.0)).min(max_balance);
        let over = remaining < 1.0;
        Some(QuotaStatus { over, remaining: remaining - f64::from(u8::from(!over)) })
    }
}
