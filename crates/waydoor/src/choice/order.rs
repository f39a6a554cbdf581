//! The order of release: the paper's rank among held messages, and what may not go by it.
//! Guards slots and room against what earns little, a sick or greedy destination, who is over a share.
//! Harm: what ranks low waits, and is refused where room runs out.

use super::outage::SICK_SHARE;
use super::*;

/// Weight of a new sample in a decayed mean: about the last five calls count.
pub(super) const SAMPLE: f64 = 0.2;
/// Learned latency and failure shares fall back by half in this time: no old reading freezes anyone out.
pub(super) const FORGET: f64 = 8.0;
/// A destination is skipped once it holds this share of the slots (design page) ...
const SLOT_SHARE: f64 = 0.75;
/// ... or this one, if it fails or is slow.
const SICK_SLOT_SHARE: f64 = 0.5;
/// Slow is this many times the mean of all destinations: well outside the spread of healthy ones.
const SLOW_TIMES: f64 = 3.0;
/// What has less time left than this many means of a call may well not end in it.
pub(super) const LAST_CALL: f64 = 2.0;
/// Places kept free for new messages: those refused at the door are not chosen by rank.
const ROOM_KEPT: usize = 1;
/// A customer's share is counted over this time: clumps that are no more than that are inside it.
const SHARE_TIME: f64 = 10.0;

impl Service {
    fn aged(&self, now: Seconds) -> f64 {
        0.5f64.powf((now - self.learned_at).max(0.0) / FORGET)
    }

    /// Expected service time; old readings age back to the unknown one.
    pub(super) fn latency(&self, now: Seconds) -> f64 {
        UNKNOWN_LATENCY + (self.latency - UNKNOWN_LATENCY) * self.aged(now)
    }

    pub(super) fn failing(&self, now: Seconds) -> f64 {
        self.failing * self.aged(now)
    }

    pub(super) fn sample(&mut self, now: Seconds, latency: Option<f64>, failed: f64) {
        let (old, share) = (self.latency(now), self.failing(now));
        self.latency = latency.map_or(old, |l| old + SAMPLE * (l - old));
        self.failing = share + SAMPLE * (failed - share);
        self.learned_at = now;
    }
}

impl Dispatcher {
    /// The rank of a held message: worth x decayed freshness x expected rate of (successful) service.
    fn rank(&self, now: Seconds, parcel: &Parcel, rate: f64) -> f64 {
        let Some(class) = self.settings.classes.get(parcel.message.class) else { return 0.0 };
        let decay = match self.settings.decay {
            ValueDecay::Exponential => std::f64::consts::LN_2 / class.target_latency,
            ValueDecay::Linear => {
                std::f64::consts::LN_2 * (1.0 - class.late_value_share)
                    / (class.deadline - class.target_latency).max(class.target_latency)
            }
        };
        let life = parcel.message.deadline - parcel.taken;
        let worth = class.value * if parcel.over_share { self.settings.over_quota_value } else { 1.0 };
        worth * (-decay.max(std::f64::consts::LN_2 / life) * (now - parcel.taken)).exp() * rate
    }

    /// The expected rate of successful service.
    fn service(&self, now: Seconds, destination: &Destination) -> f64 {
        (1.0 - destination.lane.service.failing(now)) / destination.lane.service.latency(now)
    }

    /// Gives free slots to the held messages of highest rank that may go.
    pub(super) fn release(&mut self, now: Seconds, actions: &mut Vec<Action>, wake: &mut Seconds) {
        if self.calls.len() >= self.settings.max_concurrent_calls {
            return;
        }
        let (mut held, mut open) = (Vec::new(), 0);
        for number in self.waiting.clone() {
            self.refresh(now, number);
            let Some(destination) = self.destinations.get(&number) else { continue };
            let gate = destination.lane.gate(now, &self.settings.slow_start);
            if let Gate::Closed(until) = gate
                && !destination.apart
            {
                *wake = wake.min(until);
            } else if !self.over_share(now, destination) {
                let rate = self.service(now, destination);
                let parcels = destination.held.iter().filter_map(|id| self.parcels.get(id));
                let usual = LAST_CALL * destination.lane.service.latency(now);
                held.extend(parcels.map(|p| {
                    let late = p.message.deadline - now < usual;
                    (self.rank(now, p, rate), p.taken, (!p.untried(), p.over_share, late), p.message)
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
            let Some(parcel) = self.parcels.get(&id) else { continue };
            if closed.contains(&parcel.message.destination) || !self.has_turn(now, parcel, wake) {
                continue;
            }
            let Some(destination) = self.destinations.get(&parcel.message.destination) else { continue };
            let batch = destination.batch;
            let effect = self.settings.classes[parcel.message.class].effect;
            let risky = effect == Effect::Unsafe;
            if let Some(until) = self.storage.waits(now, effect) {
                *wake = wake.min(until);
                continue;
            }
            // An unsafe one is waited for, and so shares its call with its like alone.
            let joined = open_calls.iter().find(|((endpoint, alike), call)| {
                !parcel.alone
                    && *alike == risky
                    && destination.endpoints.contains(endpoint)
                    && self.calls.get(call).is_some_and(|c| c.pending < batch)
                    && self.fits(parcel, *endpoint)
            });
            let (endpoint, call) = if let Some(((endpoint, _), call)) = joined {
                (*endpoint, *call)
            } else if self.calls.len() >= self.settings.max_concurrent_calls
                || self.over_share(now, destination)
            {
                closed.extend((batch == 1).then_some(parcel.message.destination));
                continue;
            } else {
                match self.place(now, parcel) {
                    Ok((endpoint, trial)) => {
                        let alone = parcel.alone;
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
                            self.each_lane(endpoint, |lane, rule, rng| lane.book(now, rule, rng));
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
    fn over_share(&self, now: Seconds, destination: &Destination) -> bool {
        let lane = &destination.lane;
        let slots = self.settings.max_concurrent_calls as f64;
        let slow = lane.service.latency(now) > SLOW_TIMES * self.usual_latency.max(UNKNOWN_LATENCY);
        if slow || lane.service.failing(now) > SICK_SHARE || lane.outage.health != Health::Healthy {
            lane.out > 0 && (lane.out + 1) as f64 > SICK_SLOT_SHARE * slots
        } else {
            lane.out as f64 >= SLOT_SHARE * slots
        }
    }

    /// Order by key: one at a time, in the order taken, with a rest after what may still run.
    fn has_turn(&self, now: Seconds, parcel: &Parcel, wake: &mut Seconds) -> bool {
        let key = parcel.message.key.filter(|_| self.settings.classes[parcel.message.class].ordered);
        let Some(line) = key.and_then(|key| self.lines.get(&key)) else { return true };
        if line.queue.front() != Some(&parcel.message.id) {
            return false;
        }
        let resting = parcel.attempts == 0 && now < line.rest_until;
        *wake = if resting { wake.min(line.rest_until) } else { *wake };
        !resting
    }

    /// When the room is almost full, the message of lowest rank makes place: the door can't choose by rank.
    pub(super) fn keep_room(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        if self.storage.is_failing(now) {
            // No new message is taken on, and an end that is not on record is forgotten by a kill.
            return;
        }
        let excess = (self.parcels.len() + ROOM_KEPT).saturating_sub(self.settings.max_messages);
        let mut ranked = Vec::new();
        for number in self.waiting.iter().filter(|_| excess > 0) {
            let Some(destination) = self.destinations.get(number) else { continue };
            let rate = self.service(now, destination);
            let held = |id| self.parcels.get(id).filter(|parcel| !parcel.untried() || parcel.over_share);
            let parcels = destination.held.iter().filter_map(held);
            ranked.extend(parcels.map(|p| (self.rank(now, p, rate), p.message.id)));
        }
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        for (_, id) in ranked.into_iter().take(excess) {
            self.end(id, actions);
        }
    }

    /// How a message would stand with its customer's share, evenly divided; none where no share binds.
    pub fn quota_status(&self, now: Seconds, tenant: usize) -> Option<QuotaStatus> {
        let own = self.settings.tenants.get(tenant)?.quota / f64::from(self.settings.dispatcher_count);
        let most = (own * SHARE_TIME).max(1.0);
        let purse = self.purses.get(&tenant).copied().unwrap_or(Purse { left: most, at: now });
        let left = (purse.left + own * (now - purse.at).max(0.0)).min(most);
        let over = left < 1.0;
        Some(QuotaStatus { over, remaining: left - f64::from(u8::from(!over)) })
    }
}
