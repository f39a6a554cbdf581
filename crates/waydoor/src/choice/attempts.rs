//! Attempts: the endpoint for a message, how long a call may take, whether there is another, the end.
//! Guards against calls where none may go, twice, or without an end. Harm: some are given up too early.

use super::answers::ANSWER_MARGIN;
use super::connections::{CONNECT_COST, IDLE_UNSAFE};
use super::order::SAMPLE;
use super::outage::{SILENT_LEAST, SILENT_MEANS, TRIAL, TRIAL_MOST};
use super::*;

/// Calls vary widely around their mean; one in hundreds lasts longer than this many means.
pub(super) const TIMEOUT_MEANS: f64 = 8.0;
/// No time-out is shorter: connecting and one pause of the other side fit into it.
pub(super) const TIMEOUT_LEAST: f64 = 0.8;
/// Share of `TIMEOUT_LEAST` for a call that takes the last slot. Guards against silent ones. Harm: repeats.
const TIMEOUT_BUSY: f64 = 0.5;
/// Each failure in a row doubles the time-out, up to this often: slow is told from silent by waiting longer.
const TIMEOUT_DOUBLES: u32 = 3;
/// A call is broken off after this many means and this time, where others overtook it and its slot is wanted.
const OVERTAKEN_MEANS: f64 = 7.0;
const OVERTAKEN_LEAST: f64 = 0.3;
/// Share of failures above which nothing unsafe is risked.
const UNSAFE_SHARE: f64 = 0.3;
/// Time that a send takes to arrive, kept before the end of a key's memory.
const KEY_MARGIN: f64 = 0.25;

impl Dispatcher {
    pub(super) fn attempt_ended(&mut self, now: Seconds, end: AttemptEnd) {
        let Some(parcel) = self.parcels.get_mut(&end.id) else { return };
        let Some(flight) = parcel.out.filter(|_| parcel.attempts == end.attempt + 1) else { return };
        parcel.out = None;
        if end.outcome == Outcome::NotRecorded {
            parcel.attempts -= 1;
            self.storage.failed(now);
        }
        let (sent_at, messages) =
            self.calls.get(&flight.call).map_or((now, 1), |call| (call.sent_at, call.messages));
        if end.outcome == Outcome::InvalidRequest {
            // One bad message turns away its whole call.
            (parcel.alone, parcel.unusable) = (true, messages == 1);
        } else if !end.outcome.never_ran() {
            let zone = self.endpoints.get(&flight.endpoint).map_or(0, |e| e.zone);
            parcel.may_have_run.get_or_insert((sent_at, zone));
        }
        parcel.over |= end.settled || end.outcome == Outcome::Served;
        if matches!(end.outcome, Outcome::TimedOut | Outcome::ConnectionReset | Outcome::Cancelled)
            && let Some(line) = parcel.message.key.and_then(|key| self.lines.get_mut(&key))
        {
            line.rest_until = line.rest_until.max(now + self.settings.order_key_cooldown);
        }
        let (over, message) = (parcel.over, parcel.message);
        if over {
            self.settle(end.id, ENDED_KEPT)
        } else {
            self.hold(&message)
        }
        self.heed(now, flight.endpoint, end.retry_after.unwrap_or(0.0));
        let Some(Call { idle, cut, .. }) = self.landed(flight) else { return };
        if end.outcome == Outcome::Served && self.stalled_at != now {
            self.usual_latency += SAMPLE * (end.latency - self.usual_latency) * 0.5;
        }
        // An endpoint may close what is idle. Guards against taking closed connections for an outage.
        let closed_idle = end.connection_reused && end.outcome == Outcome::ConnectionReset;
        let unsent = matches!(end.outcome, Outcome::ConnectFailed | Outcome::NotSent | Outcome::NotRecorded);
        if closed_idle || unsent {
            self.each_lane(flight.endpoint, |lane, rule, _| lane.unbook(now, rule));
        }
        if end.outcome == Outcome::NotSent && end.settled || end.outcome == Outcome::NotRecorded {
            self.each_lane(flight.endpoint, |lane, _, _| lane.try_again(now));
        }
        // What its message's time cut off was not given the time that the place is due. Harm: others tell.
        let outcome = if cut && end.outcome == Outcome::TimedOut { Outcome::Cancelled } else { end.outcome };
        if self.judge_connection(now, flight.endpoint, end.outcome, idle, end.connection_kept) && !closed_idle
        {
            self.observe(now, flight.endpoint, outcome, end.latency, end.rate_limit_report, false);
        }
        self.forget(flight.endpoint);
    }

    /// A call that later ones overtook is broken off for its slot. Harm: what was only slow goes twice.
    pub(super) fn break_off(&mut self, now: Seconds, actions: &mut Vec<Action>) {
        if !self.settings.cancel
            || self.calls.len() < self.settings.max_concurrent_calls
            || self.waiting.is_empty()
        {
            return;
        }
        for (id, attempt, call, Lane { service, outage, .. }) in self.sole_calls() {
            let long = (OVERTAKEN_MEANS * service.latency(now)).max(OVERTAKEN_LEAST);
            let passed = outage.overtook_at - call.sent_at;
            let overtaken = now - call.sent_at >= long && passed >= long / 2.0;
            if overtaken && !call.risky && !std::mem::replace(&mut call.broken_off, true) {
                actions.push(Action::CancelAttempt { id, attempt });
            }
        }
    }

    /// How long an attempt at an endpoint may take.
    fn timeout(&self, now: Seconds, class: usize, endpoint: EndpointId) -> Seconds {
        let known = |e: &Endpoint| (e.lane.service.latency(now), e.lane.outage.fails);
        let (latency, fails) = self.endpoints.get(&endpoint).map_or((UNKNOWN_LATENCY, 0), known);
        let busy = match self.settings.classes[class].effect {
            // Its time-out would be its end, and an answer may come while it lives. Harm: a slot is kept.
            Effect::Unsafe => return self.settings.classes[class].deadline,
            _ if self.calls.len() >= self.settings.max_concurrent_calls => TIMEOUT_BUSY,
            _ => 1.0,
        };
        let stretch = 2f64.powi(fails.min(TIMEOUT_DOUBLES) as i32);
        stretch * (TIMEOUT_MEANS * latency).max(TIMEOUT_LEAST * busy)
    }

    pub(super) fn send(
        &mut self, now: Seconds, id: MessageId, endpoint: EndpointId, call: u64, actions: &mut Vec<Action>,
    ) {
        self.release_hold(id);
        let Some(class) = self.parcels.get(&id).map(|parcel| parcel.message.class) else { return };
        let timeout = self.timeout(now, class, endpoint);
        let Some(parcel) = self.parcels.get_mut(&id) else { return };
        let left = (parcel.message.deadline - ANSWER_MARGIN - now).max(0.001);
        let attempt = parcel.attempts;
        (parcel.attempts, parcel.out) = (attempt + 1, Some(Flight { endpoint, call }));
        if let Some(call) = self.calls.get_mut(&call) {
            (call.messages, call.pending, call.last) = (call.messages + 1, call.pending + 1, id);
            call.cut |= left < timeout;
        }
        let (timeout, alone) = (timeout.min(left), parcel.alone);
        actions.push(Action::Send { id, endpoint, attempt, timeout, unbatched: alone });
    }

    pub(super) fn open_call(
        &mut self, now: Seconds, endpoint: EndpointId, risky: bool, actions: &mut Vec<Action>,
    ) -> u64 {
        self.each_lane(endpoint, |lane, rule, rng| lane.book(now, rule, rng));
        let (mut idle, mut at) = (0.0, SILENT_LEAST);
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            idle = e.idle_since.take().filter(|_| e.lane.out == 0).map_or(0.0, |since| now - since);
            (e.lane.out, e.used_at) = (e.lane.out + 1, now);
            at = at.max(SILENT_MEANS * e.lane.service.latency(now));
            if let Some(destination) = self.destinations.get_mut(&e.destination) {
                destination.lane.out += 1;
                at = at.min(SILENT_LEAST.max(SILENT_MEANS * destination.lane.service.latency(now)));
            }
        }
        if risky && idle > IDLE_UNSAFE {
            actions.push(Action::CloseIdle(endpoint));
            idle = 0.0;
        }
        self.silent_at = self.silent_at.min(now + at);
        self.counter += 1;
        self.calls.insert(self.counter, Call::new(endpoint, now, idle, risky));
        self.counter
    }

    /// The endpoint for a message, and whether it is a trial; or when to look again, and what to probe.
    pub(super) fn place(
        &self, now: Seconds, parcel: &Parcel,
    ) -> Result<(EndpointId, bool), (Seconds, Option<EndpointId>)> {
        let rule = &self.settings.slow_start;
        let destination = self.destinations.get(&parcel.message.destination);
        let Some(destination) = destination else { return Err((f64::INFINITY, None)) };
        let risky = self.settings.classes[parcel.message.class].effect == Effect::Unsafe;
        let alone_at = if risky { self.tried_alone_at(parcel, destination) } else { 0.0 };
        let mut whole_trial = false;
        if !destination.apart {
            match destination.lane.gate(now, rule) {
                Gate::Closed(until) => return Err((until, None)),
                Gate::Trial => whole_trial = true,
                Gate::Open => {}
            }
        }
        let mut best: Option<(bool, f64, EndpointId)> = None;
        let mut wake = f64::INFINITY;
        let mut probe = None;
        for id in &destination.endpoints {
            let Some(endpoint) = self.endpoints.get(id).filter(|_| self.fits(parcel, *id)) else { continue };
            // A call that outlives this process may have run and nobody knows: it is left to the next life.
            if now + self.timeout(now, parcel.message.class, *id) > self.closing_at {
                continue;
            }
            // Where the place as a whole is out or cold, its own budget binds; endpoints only pause.
            let whole = !destination.apart && destination.lane.outage.health != Health::Healthy;
            let paused = endpoint.lane.refusals.pause_until.max(endpoint.lane.refusals.wait_until);
            let gate = match endpoint.lane.gate(now, rule) {
                Gate::Closed(_) if whole && now >= paused => Gate::Open,
                Gate::Closed(_) if whole => Gate::Closed(paused),
                other => other,
            };
            let trial = match gate {
                Gate::Closed(until) => {
                    wake = wake.min(until);
                    continue;
                }
                Gate::Trial => true,
                Gate::Open => whole_trial,
            };
            let lane = if destination.apart { &endpoint.lane } else { &destination.lane };
            let Lane { outage, service, out, .. } = &endpoint.lane;
            if risky && trial && !outage.vouched && now < alone_at {
                // An unsafe message is no trial: a probe goes first.
                probe = Some(*id).filter(|_| self.settings.probes);
                wake = wake.min(alone_at);
                continue;
            }
            if risky && lane.service.failing(now) > UNSAFE_SHARE && !outage.vouched && now < alone_at {
                wake = wake.min(alone_at).min(now + TRIAL);
                continue;
            }
            let idle = endpoint.idle_since.is_some() && *out == 0;
            let cost = service.latency(now) * (1.0 + *out as f64)
                + if idle { 0.0 } else { CONNECT_COST }
                + if endpoint.zone == self.settings.zone { 0.0 } else { CONNECT_COST };
            // Trials of a place as a whole go round its endpoints: some may be back before others.
            let cost = if whole_trial { endpoint.used_at } else { cost };
            let cost = if whole && outage.health == Health::Shut { cost + TRIAL_MOST } else { cost };
            // A due trial of one endpoint goes first, or its recovery would never be seen.
            let trial = trial && !whole;
            if best.is_none_or(|(t, c, _)| (trial && !t) || (trial == t && cost < c)) {
                best = Some((trial, cost, *id));
            }
        }
        best.map(|(trial, _, id)| (id, trial || whole_trial)).ok_or((wake, probe))
    }

    /// From when on an unsafe message is a trial after all, where nothing else opens a place. Harm: its loss.
    fn tried_alone_at(&self, parcel: &Parcel, destination: &Destination) -> Seconds {
        let only = !self.settings.probes && destination.risky == destination.held.len();
        if only {
            parcel.taken + self.settings.classes[parcel.message.class].target_latency
        } else {
            f64::INFINITY
        }
    }

    /// Whether a call may begin now that its connection is up. Guards waits, ends, times that came meanwhile.
    pub fn may_start_call(&self, now: Seconds, endpoint: EndpointId, ids: &[MessageId]) -> bool {
        let waits = self.limited_lane(endpoint).is_some_and(|lane| lane.refusals.wait_until > now);
        let in_time = |p: &Parcel| !p.over && now < p.message.deadline.min(self.key_ends(p));
        !waits && ids.iter().all(|id| self.parcels.get(id).is_some_and(in_time))
    }

    /// Until when a message may go out by the memory of its key.
    pub(super) fn key_ends(&self, parcel: &Parcel) -> Seconds {
        match (self.settings.classes[parcel.message.class].effect, parcel.may_have_run) {
            (Effect::Keyed { window, .. }, Some((first, _))) => first + window - KEY_MARGIN,
            _ => f64::INFINITY,
        }
    }

    /// Whether the list and the memory of keys let a message go to an endpoint.
    pub(super) fn fits(&self, parcel: &Parcel, endpoint: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(&endpoint).filter(|e| e.ready) else { return false };
        match (self.settings.classes[parcel.message.class].effect, parcel.may_have_run) {
            (Effect::Keyed { by_zone: true, .. }, Some((_, zone))) => zone == endpoint.zone,
            _ => true,
        }
    }
}
