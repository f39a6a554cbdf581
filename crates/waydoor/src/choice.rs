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
            (self.stalled_at, self.timer) = (now, None);
        }
        match event {
            Event::Accepted(message) => self.take(now, message, true),
            Event::Recovered { message, accepted_at: taken, attempts, may_have_run } => {
                // What a repeat does is not known where its class is not: its refusal would promise too much.
                if may_have_run.is_some() && message.class >= self.settings.classes.len() {
                    return self.decided.push(Action::Fail(message.id));
                }
                self.take(now, message, false);
                self.recalled(message.id, taken, attempts, may_have_run);
                self.pace_backlog(now, message.destination);
            }
            Event::OutageRecovered(destination) => {
                self.recalled.insert(destination);
                self.recall(now, destination);
            }
            Event::EndpointRestored(endpoint) => self.restarted(now, endpoint),
            Event::QuotaRecovered { tenant, remaining: left, at } => self.counted(now, tenant, left, at),
            Event::ShutdownAt(at) => (self.closing_at, self.answer_at) = (at, now),
            Event::AttemptEnded(end) => self.attempt_ended(now, end),
            Event::RetryAfter { endpoint, delay: wait } => self.heed(now, endpoint, wait),
            Event::Withdrawn(id) => self.withdrawn(id, ENDED_KEPT),
            Event::ListUpdate(entries) => self.list(now, entries, false),
            Event::ListSnapshot(entries) => self.list(now, entries, true),
            Event::ListFailed => {
                (self.asks, self.asked) = (self.asks + 1, false);
                let wait = (ASK * 2f64.powi(self.asks.min(8) as i32 - 1))
                    .min(ASK_MOST * self.settings.discovery_mode.ask_within());
                self.ask_at = now + wait * (0.5 + self.rng.f64()) + self.ask_turn();
            }
            Event::ListKeepAlive => self.subscribed(now),
            Event::TimerFired(token) => self.timer = self.timer.filter(|(set, _)| *set != token),
            Event::ProbeEnded { endpoint, outcome, latency, rate_limit_report: allowance } => {
                self.observe(now, endpoint, outcome, latency, allowance, true);
            }
        }
    }

    /// `new`: it came now, and tells of the demand.
    fn take(&mut self, now: Seconds, message: Message, new: bool) {
        if self.parcels.contains_key(&message.id) || self.ended.0.contains(&message.id) {
            return;
        }
        let Some(class) = self.settings.classes.get(message.class) else {
            self.decided.push(Action::Reject(message.id));
            return;
        };
        if let Some(key) = message.key.filter(|_| class.ordered) {
            self.lines.entry(key).or_default().queue.push_back(message.id);
        }
        let destination = self.destinations.entry(message.destination).or_insert_with(Destination::unlisted);
        if new {
            destination.demand.count(now, DEMAND_TIME);
        }
        self.refresh(now, message.destination);
        self.all_lanes(message.destination, |lane, rule, rng| lane.chance(now, rule, rng));
        let over_share = message.over_quota.unwrap_or_else(|| new && self.counts_over(now, message.tenant));
        self.parcels.insert(message.id, Parcel::new(message, now, over_share));
        self.hold(&message);
    }

    /// Feeds the end of a call or probe to its lanes.
    #[allow(clippy::too_many_arguments)]
    fn observe(
        &mut self, now: Seconds, id: EndpointId, outcome: Outcome, latency: f64,
        allowance: Option<RateLimitReport>, probe: bool,
    ) {
        if let Some(endpoint) = self.endpoints.get(&id) {
            self.refresh(now, endpoint.destination);
        }
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let Some(destination) = self.destinations.get_mut(&endpoint.destination) else { return };
        let rule = &self.settings.slow_start;
        // What was found after an own stall is as old as the stall: its time tells nothing.
        let late = self.stalled_at == now && outcome == Outcome::Served;
        let latency = if late { latency.min(destination.lane.service.latency(now)) } else { latency };
        let apart = destination.apart;
        let limited = if apart { &mut endpoint.lane } else { &mut destination.lane };
        if let Some(told) = allowance {
            limited.pace.told(now, told);
        }
        if probe && outcome == Outcome::Served {
            // A probe shows that the process runs, not that it serves: it vouches for one real trial.
            for lane in [&mut endpoint.lane, &mut destination.lane] {
                (lane.outage.vouched, lane.outage.trial_at) = (true, now);
            }
            return;
        }
        // Short of connections: the connect failed while other calls were out. Guards against taking a full
        // table for an outage. Harm: after a crash it may seem so for a while.
        let busy = endpoint.lane.out > 0 && endpoint.lane.outage.fails == 0 && !probe;
        if outcome == Outcome::ConnectFailed && busy {
            endpoint.lane.refusals.pause_until = now + FULL_PAUSE;
            return;
        }
        let before = (endpoint.lane.outage.health, destination.lane.outage.health);
        endpoint.lane.learn(now, outcome, latency, apart, rule, &mut self.rng);
        // One bad endpoint among good ones is not an outage of the destination.
        let known_bad =
            before.0 != Health::Healthy && outcome != Outcome::Served && outcome != Outcome::Overloaded;
        if !(known_bad && destination.endpoints.len() > 1 && before.1 == Health::Healthy) {
            destination.lane.learn(now, outcome, latency, !apart, rule, &mut self.rng);
        }
        let (whole, after) =
            (endpoint.destination, (endpoint.lane.outage.health, destination.lane.outage.health));
        let (was, is) = if apart { (before.0, after.0) } else { (before.1, after.1) };
        let (place, number) = if apart { ("route", id.0) } else { ("destination", whole.0.into()) };
        self.note(NOTES_MOST, place, number, was, is, outcome);
        self.remember(whole);
    }

    /// Decides once for a round, after all its events.
    pub fn decide(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        let mut wake = f64::INFINITY;
        self.keep_list(now, actions, &mut wake);
        self.suspect_silence(now);
        self.answer(now, actions);
        self.release(now, actions, &mut wake);
        self.break_off(now, actions);
        self.keep_room(now, actions);
        self.close_idle(now, actions, &mut wake);
        self.lines.retain(|_, line| !line.queue.is_empty() || line.rest_until > now);
        actions.extend(self.notes.drain(..).map(Action::Log));
        wake = wake.min(self.silent_at).min(self.answer_at);
        actions.extend(self.wake_at(now, wake));
    }

    /// The own part of a destination's capacity, by the own demand. A return ends with its cold time.
    fn refresh(&mut self, now: Seconds, number: DestinationId) {
        let Some(destination) = self.destinations.get_mut(&number) else { return };
        let even = 1.0 / f64::from(self.settings.dispatcher_count);
        // A young measure of demand lacks what came before it.
        let young = (-(now - *self.started.get_or_insert(now)) / DEMAND_TIME).exp();
        let calls = destination.demand.now(now, DEMAND_TIME) / destination.batch as f64;
        let own = destination.lane.pace.capacity.map(|c| calls / c);
        let part = own.map_or(even, |own| own + young * even).clamp(PART_LEAST * even, 0.5 + 0.5 * even);
        let (rule, rng) = (&self.settings.slow_start, &mut self.rng);
        let mut renew = |lane: &mut Lane, limited: bool| {
            let new = limited && lane.pace.even != even;
            (lane.pace.part, lane.pace.even, lane.pace.limited) = (part, even, limited);
            if new {
                lane.pace.phase(now, rng);
            }
            let warm =
                matches!(lane.outage.health, Health::Returning(since) if now - since >= rule.warm_up_time);
            if warm && !lane.may_be_cold(now, rule) {
                lane.outage.health = Health::Healthy;
            }
        };
        renew(&mut destination.lane, !destination.apart);
        for id in &destination.endpoints {
            self.endpoints.entry(*id).and_modify(|e| renew(&mut e.lane, destination.apart));
        }
        self.remember(number);
    }
}
