//! Attempts: selects the endpoint for a message, limits the time of a call, and handles the end of an
//! attempt.
//!
//! Prevents calls to endpoints that must get none, second calls that could take effect twice, and calls
//! without an end. The cost is that some calls are given up too early.

use super::connections::{CONNECT_COST_SECONDS, MAX_IDLE_FOR_UNSAFE_SECONDS};
use super::recovery_budget::{FIRST_TRIAL_INTERVAL_SECONDS, MAX_TRIAL_INTERVAL_SECONDS};
use super::scheduling::SAMPLE_WEIGHT;
use super::silence::{MIN_SILENCE_SECONDS, SILENCE_LATENCY_MULTIPLE};
use super::undelivered::ANSWER_MARGIN_SECONDS;
use super::*;

/// Latencies vary widely around their mean; one call in some hundreds takes longer than this many means.
pub(super) const TIMEOUT_LATENCY_MULTIPLE: f64 = 8.0;
/// Shortest timeout: it leaves time for connecting and for one pause of the endpoint.
pub(super) const MIN_TIMEOUT_SECONDS: f64 = 0.8;
/// Share of the shortest timeout for a call that takes the last slot, so that unanswered calls do not fill
/// the slots. The cost is repeated calls.
const LAST_SLOT_TIMEOUT_SHARE: f64 = 0.5;
/// Each consecutive failure doubles the timeout, at most this often: waiting longer tells a slow endpoint
/// from one that does not answer.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
/// No unsafe message is sent to a target with a larger share of failures.
const MAX_FAILURE_SHARE_FOR_UNSAFE: f64 = 0.3;
/// Time reserved for the request to arrive before its idempotency key expires.
const KEY_EXPIRY_MARGIN_SECONDS: f64 = 0.25;

impl Dispatcher {
    pub(super) fn attempt_ended(&mut self, now: Seconds, end: AttemptEnd) {
        let Some(state) = self.messages.get_mut(&end.id) else { return };
        let Some(attempt) = state.call.filter(|_| state.attempts == end.attempt + 1) else { return };
        state.call = None;
        if end.outcome == Outcome::NotRecorded {
            state.attempts -= 1;
            self.journal.write_failed(now);
        }
        let (sent_at, message_count) =
            self.calls.get(&attempt.call).map_or((now, 1), |call| (call.sent_at, call.message_count));
        if end.outcome == Outcome::InvalidRequest {
            // One invalid message causes the rejection of its whole call.
            (state.unbatched, state.undeliverable) = (true, message_count == 1);
        } else if !end.outcome.never_ran() {
            let zone = self.endpoints.get(&attempt.endpoint).map_or(0, |e| e.zone);
            state.may_have_run.get_or_insert((sent_at, zone));
        }
        if end.outcome == Outcome::AttemptsExhausted {
            state.attempts = state.attempts.max(self.settings.max_attempts);
        }
        state.done |= end.settled || end.outcome == Outcome::Served;
        if matches!(end.outcome, Outcome::TimedOut | Outcome::ConnectionReset | Outcome::Cancelled)
            && let Some(queue) = state.message.key.and_then(|key| self.key_queues.get_mut(&key))
        {
            queue.cooldown_until = queue.cooldown_until.max(now + self.settings.order_key_cooldown);
        }
        let (done, message) = (state.done, state.message);
        if done {
            self.remove_if_settled(end.id, MAX_ENDED_MESSAGES)
        } else {
            self.enqueue(&message)
        }
        self.apply_retry_after(now, attempt.endpoint, end.retry_after.unwrap_or(0.0));
        let Some(Call { connection_idle, deadline_limited, .. }) = self.leave_call(attempt) else { return };
        if end.outcome == Outcome::Served && self.last_stall_at != now {
            self.mean_latency += SAMPLE_WEIGHT * (end.latency - self.mean_latency) * 0.5;
        }
        // An endpoint may close an idle connection; that is not an outage.
        let idle_connection_closed = end.connection_reused && end.outcome == Outcome::ConnectionReset;
        let unsent = matches!(
            end.outcome,
            Outcome::ConnectFailed | Outcome::NotSent | Outcome::NotRecorded | Outcome::AttemptsExhausted
        );
        if idle_connection_closed || unsent {
            self.for_each_call_target(attempt.endpoint, |target, slow_start, _| {
                target.refund_call(now, slow_start)
            });
        }
        let used_no_trial = match end.outcome {
            Outcome::NotSent => end.settled,
            outcome => matches!(outcome, Outcome::NotRecorded | Outcome::AttemptsExhausted),
        };
        if used_no_trial {
            self.for_each_call_target(attempt.endpoint, |target, _, _| target.allow_trial_now(now));
        }
        // A call that ended early at its message's deadline did not get its full timeout, so it is no
        // evidence of an outage; other calls are.
        let outcome = if deadline_limited && end.outcome == Outcome::TimedOut {
            Outcome::Cancelled
        } else {
            end.outcome
        };
        if self.track_idle_connection(
            now,
            attempt.endpoint,
            end.outcome,
            connection_idle,
            end.connection_kept,
        ) && !idle_connection_closed
        {
            self.record_outcome(now, attempt.endpoint, outcome, end.latency, end.rate_limit_report, false);
        }
        self.remove_if_unlisted(attempt.endpoint);
    }

    /// How long an attempt at an endpoint may take.
    fn call_timeout(&self, now: Seconds, class: usize, endpoint: EndpointId) -> Seconds {
        let stats =
            |e: &Endpoint| (e.target.stats.expected_latency(now), e.target.outage.consecutive_failures);
        let (latency, failures) = self.endpoints.get(&endpoint).map_or((DEFAULT_LATENCY_SECONDS, 0), stats);
        let slot_factor = match self.settings.classes[class].effect {
            // A timeout would end the message for good, while an answer may still come before the deadline.
            // The cost is an occupied slot.
            Effect::Unsafe => return self.settings.classes[class].deadline,
            _ if self.calls.len() >= self.settings.max_concurrent_calls => LAST_SLOT_TIMEOUT_SHARE,
            _ => 1.0,
        };
        let retry_factor = 2f64.powi(failures.min(MAX_TIMEOUT_DOUBLINGS) as i32);
        retry_factor * (TIMEOUT_LATENCY_MULTIPLE * latency).max(MIN_TIMEOUT_SECONDS * slot_factor)
    }

    pub(super) fn send(
        &mut self, now: Seconds, id: MessageId, endpoint: EndpointId, call: u64, actions: &mut Vec<Action>,
    ) {
        self.dequeue(id);
        let Some(class) = self.messages.get(&id).map(|state| state.message.class) else { return };
        let timeout = self.call_timeout(now, class, endpoint);
        let Some(state) = self.messages.get_mut(&id) else { return };
        let remaining = (state.message.deadline - ANSWER_MARGIN_SECONDS - now).max(0.001);
        let attempt = state.attempts;
        (state.attempts, state.call) = (attempt + 1, Some(CallRef { endpoint, call }));
        if let Some(call) = self.calls.get_mut(&call) {
            (call.message_count, call.pending_messages, call.last_message) =
                (call.message_count + 1, call.pending_messages + 1, id);
            call.deadline_limited |= remaining < timeout;
        }
        let (timeout, unbatched) = (timeout.min(remaining), state.unbatched);
        actions.push(Action::Send { id, endpoint, attempt, timeout, unbatched });
    }

    pub(super) fn open_call(
        &mut self, now: Seconds, endpoint: EndpointId, carries_unsafe: bool, actions: &mut Vec<Action>,
    ) -> u64 {
        self.for_each_call_target(endpoint, |target, slow_start, rng| target.book_call(now, slow_start, rng));
        let (mut connection_idle, mut silence_limit) = (0.0, MIN_SILENCE_SECONDS);
        if let Some(e) = self.endpoints.get_mut(&endpoint) {
            connection_idle =
                e.idle_since.take().filter(|_| e.target.in_flight == 0).map_or(0.0, |since| now - since);
            (e.target.in_flight, e.last_call_at) = (e.target.in_flight + 1, now);
            silence_limit =
                silence_limit.max(SILENCE_LATENCY_MULTIPLE * e.target.stats.expected_latency(now));
            if let Some(destination) = self.destinations.get_mut(&e.destination) {
                destination.target.in_flight += 1;
                silence_limit = silence_limit.min(
                    MIN_SILENCE_SECONDS
                        .max(SILENCE_LATENCY_MULTIPLE * destination.target.stats.expected_latency(now)),
                );
            }
        }
        if carries_unsafe && connection_idle > MAX_IDLE_FOR_UNSAFE_SECONDS {
            actions.push(Action::AvoidIdle(endpoint));
            connection_idle = 0.0;
        }
        self.next_silence_check_at = self.next_silence_check_at.min(now + silence_limit);
        self.last_number += 1;
        self.calls.insert(self.last_number, Call::new(endpoint, now, connection_idle, carries_unsafe));
        self.last_number
    }

    /// Selects the endpoint for a message and returns whether the call is a trial; otherwise returns when to
    /// try again and which endpoint to probe.
    pub(super) fn select_endpoint(
        &self, now: Seconds, state: &MessageState,
    ) -> Result<(EndpointId, bool), (Seconds, Option<EndpointId>)> {
        let slow_start = &self.settings.slow_start;
        let destination = self.destinations.get(&state.message.destination);
        let Some(destination) = destination else { return Err((f64::INFINITY, None)) };
        let is_unsafe = self.settings.classes[state.message.class].effect == Effect::Unsafe;
        let unsafe_trial_at = if is_unsafe { self.unsafe_trial_at(state, destination) } else { 0.0 };
        let mut destination_trial = false;
        if !destination.independent_endpoints {
            match destination.target.admission(now, slow_start) {
                Admission::ClosedUntil(until) => return Err((until, None)),
                Admission::TrialOnly => destination_trial = true,
                Admission::Open => {}
            }
        }
        let mut best: Option<(bool, f64, EndpointId)> = None;
        let mut wake_at = f64::INFINITY;
        let mut probe = None;
        for id in &destination.endpoints {
            let Some(endpoint) = self.endpoints.get(id).filter(|_| self.allows(state, *id)) else { continue };
            // The end of a call that outlasts this process would not be recorded, so the message is left to
            // the next process.
            if now + self.call_timeout(now, state.message.class, *id) > self.shutdown_at {
                continue;
            }
            // While the destination as a whole is unavailable or recovering, its own budget applies, and an
            // endpoint is excluded only by its backoff or retry-after.
            let destination_unhealthy =
                !destination.independent_endpoints && destination.target.outage.health != Health::Healthy;
            let paused_until =
                endpoint.target.backoff.backoff_until.max(endpoint.target.backoff.retry_after_until);
            let admission = match endpoint.target.admission(now, slow_start) {
                Admission::ClosedUntil(_) if destination_unhealthy && now >= paused_until => Admission::Open,
                Admission::ClosedUntil(_) if destination_unhealthy => Admission::ClosedUntil(paused_until),
                other => other,
            };
            let is_trial = match admission {
                Admission::ClosedUntil(until) => {
                    wake_at = wake_at.min(until);
                    continue;
                }
                Admission::TrialOnly => true,
                Admission::Open => destination_trial,
            };
            let limited =
                if destination.independent_endpoints { &endpoint.target } else { &destination.target };
            let TargetState { outage, stats, in_flight, .. } = &endpoint.target;
            if is_unsafe && is_trial && !outage.probe_succeeded && now < unsafe_trial_at {
                // An unsafe message must not be the trial: a probe is sent first.
                probe = Some(*id).filter(|_| self.settings.probes);
                wake_at = wake_at.min(unsafe_trial_at);
                continue;
            }
            if is_unsafe
                && limited.stats.expected_failure_share(now) > MAX_FAILURE_SHARE_FOR_UNSAFE
                && !outage.probe_succeeded
                && now < unsafe_trial_at
            {
                wake_at = wake_at.min(unsafe_trial_at).min(now + FIRST_TRIAL_INTERVAL_SECONDS);
                continue;
            }
            let has_idle_connection = endpoint.idle_since.is_some() && *in_flight == 0;
            let cost = stats.expected_latency(now) * (1.0 + *in_flight as f64)
                + if has_idle_connection { 0.0 } else { CONNECT_COST_SECONDS }
                + if endpoint.zone == self.settings.zone { 0.0 } else { CONNECT_COST_SECONDS };
            // Trials of a destination rotate over its endpoints, since some may recover before others.
            let cost = if destination_trial { endpoint.last_call_at } else { cost };
            let cost = if destination_unhealthy && outage.health == Health::Unavailable {
                cost + MAX_TRIAL_INTERVAL_SECONDS
            } else {
                cost
            };
            // A due trial of one endpoint has precedence; otherwise its recovery would never be noticed.
            let is_trial = is_trial && !destination_unhealthy;
            if best.is_none_or(|(t, c, _)| (is_trial && !t) || (is_trial == t && cost < c)) {
                best = Some((is_trial, cost, *id));
            }
        }
        best.map(|(is_trial, _, id)| (id, is_trial || destination_trial)).ok_or((wake_at, probe))
    }

    /// From when on an unsafe message may be the trial after all, if no other message and no probe can be.
    /// The cost is that it may be lost.
    fn unsafe_trial_at(&self, state: &MessageState, destination: &Destination) -> Seconds {
        let only_unsafe_queued =
            !self.settings.probes && destination.queued_unsafe == destination.queued.len();
        if only_unsafe_queued {
            state.accepted_at + self.settings.classes[state.message.class].target_latency
        } else {
            f64::INFINITY
        }
    }

    /// Whether a call may still start, now that its connection is open: retry-after, ends and deadlines may
    /// have changed meanwhile.
    pub fn may_start_call(&self, now: Seconds, endpoint: EndpointId, ids: &[MessageId]) -> bool {
        let must_wait = self.list_confirmation.holds_calls(now)
            || self.limited_target(endpoint).is_some_and(|target| target.backoff.retry_after_until > now);
        let in_time = |state: &MessageState| {
            !state.done && now < state.message.deadline.min(self.key_expires_at(state))
        };
        !must_wait && ids.iter().all(|id| self.messages.get(id).is_some_and(in_time))
    }

    /// Until when a message may be sent again before the receiver forgets its key.
    pub(super) fn key_expires_at(&self, state: &MessageState) -> Seconds {
        match (self.settings.classes[state.message.class].effect, state.may_have_run) {
            (Effect::Keyed { window, .. }, Some((first, _))) => first + window - KEY_EXPIRY_MARGIN_SECONDS,
            _ => f64::INFINITY,
        }
    }

    /// Whether the list of endpoints and the zone that remembers the message's key allow a call to an
    /// endpoint.
    pub(super) fn allows(&self, state: &MessageState, endpoint: EndpointId) -> bool {
        let Some(endpoint) = self.endpoints.get(&endpoint).filter(|e| e.ready) else { return false };
        match (self.settings.classes[state.message.class].effect, state.may_have_run) {
            (Effect::Keyed { by_zone: true, .. }, Some((_, zone))) => zone == endpoint.zone,
            _ => true,
        }
    }
}
