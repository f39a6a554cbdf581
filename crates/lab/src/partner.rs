//! A stand-in for a partner: its rate limit, its capacity, its memory of idempotency keys, its faults, and its recovery
//! from an outage.

use crate::endpoint::{Call, CallHandler, EndpointResponse, Reply};
use crate::http;
use crate::message_registry::MessageRegistry;
use crate::misplaced::MisplacedResponses;
use crate::record::{CallEnd, Effect, Event, Item, MessageResult, Recorder};
use crate::scenario::{self, RateLimit, Recovery};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Minimum share of calls that fail during an error fault.
const FAULT_ERROR_SHARE: f64 = 0.8;
/// Minimum share of responses that are truncated or malformed during such a fault.
const FAULT_RESPONSE_SHARE: f64 = 0.5;
/// A burst that a rate limit permits, in seconds of the rate.
const BURST_SECONDS: f64 = 0.25;
/// Calls that a cold partner tolerates beyond its budget, for random variation.
const COLD_CALL_TOLERANCE: f64 = 3.0;
/// Maximum number of remembered keys; the oldest are dropped first.
const MAX_KEYS: usize = 200_000;

/// A fault of a partner whose sockets work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum PartnerFault {
    /// None.
    #[default]
    None,
    /// It accepts calls and never responds.
    Hang,
    /// It rejects all calls.
    RejectAll,
    /// It fails most calls.
    Errors,
    /// It takes longer by this factor.
    Slow(f64),
    /// Responses are truncated.
    TruncatedResponses,
    /// Responses are malformed.
    MalformedResponses,
}

struct State {
    fault: PartnerFault,
    rng: fastrand::Rng,
    /// When the queue will be empty, by endpoint.
    free_at: Vec<Instant>,
    /// Tokens of the token bucket, and when they were counted.
    tokens: (f64, Instant),
    /// Index of the fixed window, and the calls in it.
    window: (u64, f64),
    /// When it recovered from its last outage.
    recovered_at: Option<Instant>,
    /// Calls and probes within the overload window.
    arrivals: VecDeque<Instant>,
    collapsed: bool,
    keys: HashMap<String, Instant>,
    key_order: VecDeque<String>,
    misplaced: MisplacedResponses,
}

/// A partner; its endpoints share it.
pub struct Partner {
    spec: scenario::Partner,
    recovery: Recovery,
    destination: u32,
    max_attempts: u32,
    registry: Arc<MessageRegistry>,
    recorder: Recorder,
    started_at: Instant,
    state: Mutex<State>,
}

/// The call handler of one endpoint: the partner and the endpoint's index.
pub struct PartnerEndpoint(pub Arc<Partner>, pub usize);

impl Partner {
    /// A partner that is warm and has no fault.
    pub fn new(
        spec: scenario::Partner, recovery: Recovery, destination: u32, max_attempts: u32, seed: u64,
        registry: Arc<MessageRegistry>, recorder: Recorder,
    ) -> Partner {
        let now = Instant::now();
        let state = State {
            fault: PartnerFault::None,
            rng: fastrand::Rng::with_seed(seed ^ u64::from(destination)),
            free_at: vec![now; spec.endpoints],
            tokens: (spec.limit_per_s * BURST_SECONDS, now),
            window: (0, 0.0),
            recovered_at: None,
            arrivals: VecDeque::new(),
            collapsed: false,
            keys: HashMap::new(),
            key_order: VecDeque::new(),
            misplaced: MisplacedResponses::default(),
        };
        Partner {
            spec,
            recovery,
            destination,
            max_attempts,
            registry,
            recorder,
            started_at: now,
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its destination number.
    pub fn destination(&self) -> u32 {
        self.destination
    }

    /// Sets its fault from now on.
    pub fn set_fault(&self, fault: PartnerFault) {
        self.state().fault = fault;
    }

    /// Ends an outage: the partner serves again, cold.
    pub fn recover(&self) {
        let mut state = self.state();
        state.fault = PartnerFault::None;
        state.recovered_at = Some(Instant::now());
        state.arrivals.clear();
        // Recorded while the state is locked: all later calls meet a cold partner.
        self.recorder.add(Event::OutageEnded { destination: self.destination });
    }

    /// Whether it collapsed under load while it was cold.
    pub fn has_collapsed(&self) -> bool {
        self.state().collapsed
    }

    /// The share of its capacity that is available at a time.
    fn capacity_share(&self, state: &State, at: Instant) -> f64 {
        let Some(recovered_at) = state.recovered_at else { return 1.0 };
        let warmth = at.saturating_duration_since(recovered_at).as_secs_f64() / self.recovery.warm_up_s;
        self.recovery.initial_capacity_share + (1.0 - self.recovery.initial_capacity_share) * warmth.min(1.0)
    }

    /// Counts an arrival at a cold partner, which collapses when it is overloaded.
    fn count_arrival(&self, state: &mut State, now: Instant) {
        let Some(recovered_at) = state.recovered_at else { return };
        if now.saturating_duration_since(recovered_at).as_secs_f64() > self.recovery.warm_up_s {
            return;
        }
        let overload_time = Duration::from_secs_f64(self.recovery.overload_s);
        state.arrivals.push_back(now);
        while state.arrivals.front().is_some_and(|at| now.saturating_duration_since(*at) > overload_time) {
            state.arrivals.pop_front();
        }
        let window_start = now
            .checked_sub(overload_time)
            .map_or(recovered_at, |window_start| window_start.max(recovered_at));
        let mean_capacity = (self.capacity_share(state, window_start)
            + self.capacity_share(state, window_start + overload_time))
            / 2.0
            * self.spec.capacity_per_s;
        let budget =
            self.recovery.overload_multiple * mean_capacity * self.recovery.overload_s + COLD_CALL_TOLERANCE;
        state.collapsed |= state.arrivals.len() as f64 > budget;
    }

    /// How long until the rate limit permits a call; `None` where it does now.
    fn rate_limit_delay(&self, state: &mut State, now: Instant) -> Option<Duration> {
        let rate = self.spec.limit_per_s;
        match self.spec.rate_limit {
            RateLimit::None => None,
            RateLimit::Rate => {
                let (tokens, counted_at) = state.tokens;
                let tokens = tokens + now.saturating_duration_since(counted_at).as_secs_f64() * rate;
                let tokens = tokens.min((rate * BURST_SECONDS).max(1.0));
                state.tokens = (if tokens >= 1.0 { tokens - 1.0 } else { tokens }, now);
                (tokens < 1.0).then(|| Duration::from_secs_f64((1.0 - tokens) / rate))
            }
            RateLimit::Window => {
                let elapsed_s = now.saturating_duration_since(self.started_at).as_secs_f64();
                let window_index = (elapsed_s / self.spec.limit_window_s) as u64;
                if state.window.0 != window_index {
                    state.window = (window_index, 0.0);
                }
                // Rejected calls count against the limit as well.
                state.window.1 += 1.0;
                let remaining_s = (window_index + 1) as f64 * self.spec.limit_window_s - elapsed_s;
                (state.window.1 > rate * self.spec.limit_window_s)
                    .then(|| Duration::from_secs_f64(remaining_s.max(0.001)))
            }
        }
    }

    /// The header that reports the remaining share of the rate limit, and the limit.
    fn load_report(&self, state: &State) -> String {
        let rate = if self.spec.rate_limit == RateLimit::None { 0.0 } else { self.spec.limit_per_s };
        let remaining = match self.spec.rate_limit {
            RateLimit::None => 1.0,
            RateLimit::Rate => state.tokens.0 / (rate * BURST_SECONDS).max(1.0),
            RateLimit::Window => 1.0 - state.window.1 / (rate * self.spec.limit_window_s),
        };
        format!("Server-Load: {{\"x0\":{:.3},\"x1\":{rate}}}\r\n", remaining.clamp(0.0, 1.0))
    }

    fn reject(&self, state: &State, retry_after: Option<Duration>) -> Reply {
        let report = self.load_report(state);
        match retry_after.filter(|_| self.spec.sends_retry_after) {
            Some(retry_after) => {
                // Whole milliseconds, rounded up: the header is never less than the recorded period.
                let ms = retry_after.as_secs_f64() * 1000.0;
                let headers = format!("Retry-After: {:.3}\r\n{report}", ms.ceil() / 1000.0);
                Reply {
                    retry_after: Some(retry_after),
                    ..Reply::immediate(EndpointResponse::Complete(429, headers, Vec::new()))
                }
            }
            None => Reply::immediate(EndpointResponse::Complete(503, report, Vec::new())),
        }
    }

    /// Why a message is not processed, if so: the status for a single call, and the result within a batch.
    fn rejection(&self, item: &Item) -> Option<(u16, MessageResult)> {
        match self.registry.record_attempt(&item.id, self.destination, self.recorder.now(), self.max_attempts)
        {
            crate::message_registry::AttemptCheck::Allowed => None,
            crate::message_registry::AttemptCheck::Unknown => Some((400, MessageResult::Rejected)),
            crate::message_registry::AttemptCheck::Expired => Some((410, MessageResult::Expired)),
            crate::message_registry::AttemptCheck::AttemptsExhausted => {
                Some((504, MessageResult::AttemptsExhausted))
            }
        }
    }

    fn respond(&self, endpoint: usize, call: &Call) -> Reply {
        let now = Instant::now();
        let mut state = self.state();
        let state = &mut *state;
        self.count_arrival(state, now);
        match state.fault {
            PartnerFault::Hang => return Reply::immediate(EndpointResponse::Hang),
            PartnerFault::RejectAll => return self.reject(state, None),
            _ => {}
        }
        if state.collapsed {
            return Reply::immediate(EndpointResponse::Hang);
        }
        if let Some(retry_after) = self.rate_limit_delay(state, now) {
            return self.reject(state, Some(retry_after));
        }
        let slowdown = if let PartnerFault::Slow(factor) = state.fault { factor } else { 1.0 };
        let capacity = self.spec.capacity_per_s / self.spec.endpoints as f64
            * self.capacity_share(state, now)
            / slowdown;
        let Some(free_at) = state.free_at.get(endpoint).copied() else { return Reply::status(503) };
        let work_start = free_at.max(now);
        let queued = work_start.saturating_duration_since(now);
        if queued.as_secs_f64() * 1000.0 > self.spec.max_queue_ms * slowdown {
            return self.reject(state, None);
        }
        let work_time = Duration::from_secs_f64((1.0 / capacity).min(60.0));
        if let Some(free_at) = state.free_at.get_mut(endpoint) {
            *free_at = work_start + work_time;
        }
        if call.probe {
            return Reply::immediate(EndpointResponse::Complete(200, self.load_report(state), Vec::new()));
        }
        let [min_ms, max_ms] = self.spec.service_ms;
        let service =
            Duration::from_secs_f64((min_ms + (max_ms - min_ms) * state.rng.f64()) * slowdown / 1000.0);
        let delay = queued + service;
        let rejections: Vec<_> = call.items.iter().map(|item| self.rejection(item)).collect();
        if let ([_], [Some((status, _))]) = (&call.items[..], &rejections[..]) {
            return Reply::status(*status);
        }
        self.process(state, call, &rejections, delay)
    }

    /// Processes a call and chooses its response.
    fn process(
        &self, state: &mut State, call: &Call, rejections: &[Option<(u16, MessageResult)>], delay: Duration,
    ) -> Reply {
        let processed: Vec<bool> = rejections.iter().map(Option::is_none).collect();
        let results: Vec<MessageResult> = rejections
            .iter()
            .map(|rejection| rejection.as_ref().map_or(MessageResult::Delivered, |(_, result)| *result))
            .collect();
        let report = self.load_report(state);
        let fault = state.fault;
        let rng = &mut state.rng;
        let reply = |response, processed, results| Reply {
            delay,
            response,
            results,
            retry_after: None,
            processed,
            misplaced: Vec::new(),
        };
        let spec = &self.spec;
        let draw = rng.f64();
        let share =
            |normal: f64, active: bool, minimum: f64| if active { normal.max(minimum) } else { normal };
        let error_limit = share(spec.error_probability, fault == PartnerFault::Errors, FAULT_ERROR_SHARE);
        let reset_limit = error_limit + spec.reset_probability;
        let truncation_limit = reset_limit
            + share(
                spec.truncation_probability,
                fault == PartnerFault::TruncatedResponses,
                FAULT_RESPONSE_SHARE,
            );
        let malformed_limit = truncation_limit
            + share(
                spec.malformed_probability,
                fault == PartnerFault::MalformedResponses,
                FAULT_RESPONSE_SHARE,
            );
        if draw < error_limit {
            let was_processed = rng.bool();
            let processed = processed.iter().map(|is_processed| *is_processed && was_processed).collect();
            return reply(EndpointResponse::Complete(500, report, Vec::new()), processed, Vec::new());
        }
        if draw < reset_limit {
            return reply(EndpointResponse::Reset, processed, Vec::new());
        }
        if draw < truncation_limit {
            return reply(EndpointResponse::Truncated(200, rng.usize(0..60)), processed, Vec::new());
        }
        if draw < malformed_limit {
            let (bytes, end): (&[u8], CallEnd) = match rng.u8(..6) {
                0 => (b"\x00\x17\xff noise\r\n\r\n", CallEnd::Broken),
                1 => (b"HTTP/1.1 2zz OK\r\n\r\n", CallEnd::Broken),
                2 => (b"HTTP/1.1 200 OK\r\n\x00\x01 bad\r\n\r\n", CallEnd::Truncated(200)),
                3 => {
                    (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand on", CallEnd::Truncated(200))
                }
                4 => (b"HTTP/1.1 200 OK\r\nX-Without-End: x", CallEnd::Truncated(200)),
                _ => (b"HTTP/1.1 500 No\r\nContent-Length: minus\r\n\r\n", CallEnd::Truncated(500)),
            };
            return reply(EndpointResponse::Raw(bytes.to_vec(), end), processed, Vec::new());
        }
        let extra = (draw < malformed_limit + spec.extra_data_probability).then(|| rng.u8(..4));
        let is_single = call.items.len() == 1;
        let mut body = String::new();
        for (item, result) in call.items.iter().zip(&results) {
            let word = match result {
                MessageResult::Delivered => "delivered",
                MessageResult::Failed => "failed",
                MessageResult::Rejected => "refused",
                MessageResult::Expired => "over",
                MessageResult::AttemptsExhausted => "spent",
            };
            body.push_str(&format!("{} {word}\r\n", item.id));
        }
        let (body, results) = if is_single { (Vec::new(), Vec::new()) } else { (body.into_bytes(), results) };
        let complete = http::response_bytes(200, &report, &body);
        let response = match extra {
            None => EndpointResponse::Complete(200, report, body),
            Some(0) => {
                let interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
                EndpointResponse::Raw([interim, &complete[..]].concat(), CallEnd::Answered(200))
            }
            Some(1) => EndpointResponse::Raw([&complete[..], b"\x00 noise"].concat(), CallEnd::Answered(200)),
            Some(2) => EndpointResponse::Raw([&complete[..], &complete[..]].concat(), CallEnd::Answered(200)),
            Some(_) => EndpointResponse::Complete(200, "Server-Load: {x1:\r\n".into(), body),
        };
        reply(response, processed, results)
    }

    /// Whether a message takes effect: not where its key was known when its call arrived. The time that a call then
    /// waits here doesn't count, since a sender can't know it.
    fn takes_effect(&self, arrived_at: Instant, item: &Item) -> bool {
        let Some((Effect::Keyed, key_window)) = self.registry.effect(&item.id) else { return true };
        let Some(key) = &item.key else { return true };
        let mut state = self.state();
        let now = Instant::now();
        let key_window = Duration::from_micros(key_window);
        if state
            .keys
            .get(key)
            .is_some_and(|remembered_at| arrived_at.saturating_duration_since(*remembered_at) < key_window)
        {
            return false;
        }
        state.keys.insert(key.clone(), now);
        state.key_order.push_back(key.clone());
        if state.key_order.len() > MAX_KEYS
            && let Some(oldest) = state.key_order.pop_front()
        {
            state.keys.remove(&oldest);
        }
        true
    }
}

impl CallHandler for PartnerEndpoint {
    fn resets_request(&self) -> bool {
        let share = self.0.spec.request_reset_probability;
        share > 0.0 && self.0.state().rng.f64() < share
    }

    fn handle(&self, call: &Call) -> Reply {
        let reply = self.0.respond(self.1, call);
        if call.probe {
            return reply;
        }
        let State { misplaced, rng, .. } = &mut *self.0.state();
        let misplaced = misplaced.following(rng, self.0.spec.misplaced_probability, &reply.response);
        Reply { misplaced, ..reply }
    }

    fn processed(&self, call: &Call, reply: &Reply) {
        for (item, _) in call.items.iter().zip(&reply.processed).filter(|(_, was_processed)| **was_processed)
        {
            let took_effect = self.0.takes_effect(call.request.last_byte_at, item);
            self.0.recorder.add(Event::MessageProcessed {
                call: call.number,
                id: item.id.clone(),
                took_effect,
            });
        }
    }
}
