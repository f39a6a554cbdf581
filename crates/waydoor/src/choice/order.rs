//! The order of release: the paper's rank among held messages, and what may not go by it.
//! Guards slots and room against what earns little, a sick or greedy destination, who is over a share.
//! Harm: what ranks low waits, and is refused where room runs out.

use super::outage::UNHEALTHY_FAILURE_SHARE;
use super::*;

/// Weight of a new sample in a decayed mean: about the last five calls count.
pub(super) const SAMPLE_WEIGHT: f64 = 0.2;
/// Learned latency and failure shares fall back by half in this time: no old reading freezes anyone out.
pub(super) const STATS_HALF_LIFE_SECONDS: f64 = 8.0;
/// A destination is skipped once it holds this share of the slots (design page) ...
const MAX_SLOT_SHARE: f64 = 0.75;
/// ... or this one, if it fails or is slow.
const MAX_UNHEALTHY_SLOT_SHARE: f64 = 0.5;
/// Slow is this many times the mean of all destinations: well outside the spread of healthy ones.
const SLOW_LATENCY_MULTIPLE: f64 = 3.0;
/// What has less time left than this many means of a call may well not end in it.
pub(super) const LAST_CALL_LATENCY_MULTIPLE: f64 = 2.0;
/// Places kept free for new messages: those refused at the door are not chosen by rank.
const RESERVED_MESSAGES: usize = 1;
/// A customer's share is counted over this time: clumps that are no more than that are inside it.
const QUOTA_WINDOW_SECONDS: f64 = 10.0;

impl ServiceStats {
    fn age_weight(&self, now: Seconds) -> f64 {
        0.5f64.powf((now - self.updated_at).max(0.0) / STATS_HALF_LIFE_SECONDS)
    }

    /// Expected service time; old readings age back to the unknown one.
    pub(super) fn expected_latency(&self, now: Seconds) -> f64 {
        DEFAULT_LATENCY_SECONDS + (self.mean_latency - DEFAULT_LATENCY_SECONDS) * self.age_weight(now)
    }

    pub(super) fn expected_failure_share(&self, now: Seconds) -> f64 {
        self.failure_share * self.age_weight(now)
    }

    pub(super) fn record_sample(&mut self, now: Seconds, latency: Option<f64>, failed: f64) {
        let (old, share) = (self.expected_latency(now), self.expected_failure_share(now));
        self.mean_latency = latency.map_or(old, |l| old + SAMPLE_WEIGHT * (l - old));
        self.failure_share = share + SAMPLE_WEIGHT * (failed - share);
        self.updated_at = now;
    }
}

impl Dispatcher {
    /// The rank of a held message: worth x decayed freshness x expected rate of (successful) service.
    fn priority(&self, now: Seconds, parcel: &MessageState, rate: f64) -> f64 {
        let Some(class) = self.settings.classes.get(parcel.message.class) else { return 0.0 };
        let decay = match self.settings.decay {
            ValueDecay::Exponential => std::f64::consts::LN_2 / class.target_latency,
            ValueDecay::Linear => {
                std::f64::consts::LN_2 * (1.0 - class.late_value_share)
                    / (class.deadline - class.target_latency).max(class.target_latency)
            }
        };
        let life = parcel.message.deadline - parcel.accepted_at;
        let worth = class.value * if parcel.over_quota { self.settings.over_quota_value } else { 1.0 };
        worth * (-decay.max(std::f64::consts::LN_2 / life) * (now - parcel.accepted_at)).exp() * rate
    }

    /// The expected rate of successful service.
    fn service_rate(&self, now: Seconds, destination: &Destination) -> f64 {
        (1.0 - destination.target.stats.expected_failure_share(now))
            / destination.target.stats.expected_latency(now)
    }

    /// Gives free slots to the held messages of highest rank that may go.
    pub(super) fn send_queued(&mut self, now: Seconds, actions: &mut Vec<Action>, wake: &mut Seconds) {
        if self.calls.len() >= self.settings.max_concurrent_calls {
            return;
        }
        let (mut held, mut open) = (Vec::new(), 0);
        for number in self.queued_destinations.clone() {
            self.update_own_share(now, number);
            let Some(destination) = self.destinations.get(&number) else { continue };
            let gate = destination.target.admission(now, &self.settings.slow_start);
            if let Admission::ClosedUntil(until) = gate
                && !destination.independent_endpoints
            {
                *wake = wake.min(until);
            } else if !self.exceeds_slot_share(now, destination) {
                let rate = self.service_rate(now, destination);
                let parcels = destination.queued.iter().filter_map(|id| self.messages.get(id));
                let usual = LAST_CALL_LATENCY_MULTIPLE * destination.target.stats.expected_latency(now);
                held.extend(parcels.map(|p| {
                    let late = p.message.deadline - now < usual;
                    (
                        self.priority(now, p, rate),
                        p.accepted_at,
                        (!p.is_untried_recovery(), p.over_quota, late),
                        p.message,
                    )
                }));
                open += 1;
            }
        }
        // With slots to spare limits hold them; where worth falls evenly all lose alike by waiting: the first
        // to run out goes first. Harm: where a place stays small, all are late.
        let spare = self.calls.len() + open < self.settings.max_concurrent_calls
            && self.settings.decay == ValueDecay::Linear;
        // What may hardly end in time goes last, what a restart found untried first: fresh ones outrank it.
        held.sort_by(|(rank, taken, last, message), (other, then, least, than)| {
            let first = last.cmp(least).then(message.deadline.total_cmp(&than.deadline));
            let order = if spare { first } else { last.0.cmp(&least.0).then(other.total_cmp(rank)) };
            order.then(then.total_cmp(taken)).then(than.id.cmp(&message.id))
        });
        let mut closed: BTreeSet<DestinationId> = BTreeSet::new();
        let mut open_calls: BTreeMap<(EndpointId, bool), u64> = BTreeMap::new();
        for id in held.into_iter().map(|(.., message)| message.id) {
            let Some(parcel) = self.messages.get(&id) else { continue };
            if closed.contains(&parcel.message.destination) || !self.is_next_for_key(now, parcel, wake) {
                continue;
            }
            let Some(destination) = self.destinations.get(&parcel.message.destination) else { continue };
            let batch = destination.max_batch;
            let effect = self.settings.classes[parcel.message.class].effect;
            let risky = effect == Effect::Unsafe;
            if let Some(until) = self.journal.blocked_until(now, effect) {
                *wake = wake.min(until);
                continue;
            }
            // An unsafe one is waited for, and so shares its call with its like alone.
            let joined = open_calls.iter().find(|((endpoint, alike), call)| {
                !parcel.unbatched
                    && *alike == risky
                    && destination.endpoints.contains(endpoint)
                    && self.calls.get(call).is_some_and(|c| c.pending_messages < batch)
                    && self.allows(parcel, *endpoint)
            });
            let (endpoint, call) = if let Some(((endpoint, _), call)) = joined {
                (*endpoint, *call)
            } else if self.calls.len() >= self.settings.max_concurrent_calls
                || self.exceeds_slot_share(now, destination)
            {
                closed.extend((batch == 1).then_some(parcel.message.destination));
                continue;
            } else {
                match self.select_endpoint(now, parcel) {
                    Ok((endpoint, trial)) => {
                        let alone = parcel.unbatched;
                        let call = self.open_call(now, endpoint, risky, actions);
                        open_calls
                            .extend((batch > 1 && !trial && !alone).then_some(((endpoint, risky), call)));
                        (endpoint, call)
                    }
                    Err((until, probe)) => {
                        *wake = wake.min(until);
                        let all = effect == Effect::Safe && batch == 1;
                        closed.extend(all.then_some(parcel.message.destination));
                        if let Some(endpoint) = probe {
                            self.for_each_call_target(endpoint, |lane, rule, rng| {
                                lane.book_call(now, rule, rng)
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

    /// The share rule: a destination holds at most so many of the slots.
    fn exceeds_slot_share(&self, now: Seconds, destination: &Destination) -> bool {
        let lane = &destination.target;
        let slots = self.settings.max_concurrent_calls as f64;
        let slow = lane.stats.expected_latency(now)
            > SLOW_LATENCY_MULTIPLE * self.mean_latency.max(DEFAULT_LATENCY_SECONDS);
        if slow
            || lane.stats.expected_failure_share(now) > UNHEALTHY_FAILURE_SHARE
            || lane.outage.health != Health::Healthy
        {
            lane.in_flight > 0 && (lane.in_flight + 1) as f64 > MAX_UNHEALTHY_SLOT_SHARE * slots
        } else {
            lane.in_flight as f64 >= MAX_SLOT_SHARE * slots
        }
    }

    /// Order by key: one at a time, in the order taken, with a rest after what may still run.
    fn is_next_for_key(&self, now: Seconds, parcel: &MessageState, wake: &mut Seconds) -> bool {
        let key = parcel.message.key.filter(|_| self.settings.classes[parcel.message.class].ordered);
        let Some(line) = key.and_then(|key| self.key_queues.get(&key)) else { return true };
        if line.messages.front() != Some(&parcel.message.id) {
            return false;
        }
        let resting = parcel.attempts == 0 && now < line.cooldown_until;
        *wake = if resting { wake.min(line.cooldown_until) } else { *wake };
        !resting
    }

    /// When the room is almost full, the message of lowest rank makes place: the door can't choose by rank.
    pub(super) fn shed_excess(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        if self.journal.is_failing(now) {
            // No new message is taken on, and an end that is not on record is forgotten by a kill.
            return;
        }
        let excess = (self.messages.len() + RESERVED_MESSAGES).saturating_sub(self.settings.max_messages);
        let mut ranked = Vec::new();
        for number in self.queued_destinations.iter().filter(|_| excess > 0) {
            let Some(destination) = self.destinations.get(number) else { continue };
            let rate = self.service_rate(now, destination);
            let held = |id| {
                self.messages.get(id).filter(|parcel| !parcel.is_untried_recovery() || parcel.over_quota)
            };
            let parcels = destination.queued.iter().filter_map(held);
            ranked.extend(parcels.map(|p| (self.priority(now, p, rate), p.message.id)));
        }
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id) in ranked.into_iter().take(excess) {
            self.end_message(id, actions);
        }
    }

    /// How a message would stand with its customer's share, evenly divided; none where no share binds.
    pub fn quota_status(&self, now: Seconds, tenant: usize) -> Option<QuotaStatus> {
        let own = self.settings.tenants.get(tenant)?.quota / f64::from(self.settings.dispatcher_count);
        let most = (own * QUOTA_WINDOW_SECONDS).max(1.0);
        let purse = self
            .quota_balances
            .get(&tenant)
            .copied()
            .unwrap_or(QuotaBalance { remaining: most, updated_at: now });
        let left = (purse.remaining + own * (now - purse.updated_at).max(0.0)).min(most);
        let over = left < 1.0;
        Some(QuotaStatus { over, remaining: left - f64::from(u8::from(!over)) })
    }
}
