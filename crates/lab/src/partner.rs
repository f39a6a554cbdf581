//! A stand-in for a partner: its limit, its capacity, its memory of keys, its troubles, and how it comes back.

use crate::endpoint::{Call, CallHandler, EndpointResponse, Reply};
use crate::http;
use crate::message_registry::MessageRegistry;
use crate::record::{CallEnd, Effect, Event, Item, MessageResult, Recorder};
use crate::scenario::{self, RateLimit, Recovery};
use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Share of the calls that fail while a partner fails most of them.
const MOST: f64 = 0.8;
/// Share of the answers that are cut or spoilt while they are so at all.
const SOME: f64 = 0.5;
/// A burst that a rate limit lets through, in seconds of the rate.
const BURST: f64 = 0.25;
/// Calls that chance adds to the budget of a cold partner.
const SLACK: f64 = 3.0;
/// Keys that are remembered at most; the oldest go first.
const KEYS_MOST: usize = 200_000;

/// What ails a partner whose sockets work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum PartnerFault {
    /// Nothing.
    #[default]
    None,
    /// It takes calls and never answers.
    Hang,
    /// It turns all away.
    RejectAll,
    /// It fails most calls.
    Errors,
    /// It takes so many times as long.
    Slow(f64),
    /// Answers are cut.
    TruncatedResponses,
    /// Answers can't be read.
    MalformedResponses,
}

struct State {
    trouble: PartnerFault,
    rng: fastrand::Rng,
    /// When the queue will be empty, by endpoint.
    free_at: Vec<Instant>,
    tokens: (f64, Instant),
    window: (u64, f64),
    /// Since when it is back from an outage.
    back: Option<Instant>,
    arrivals: VecDeque<Instant>,
    fallen: bool,
    keys: HashMap<String, Instant>,
    key_order: VecDeque<String>,
}

/// A partner; its endpoints share it.
pub struct Partner {
    spec: scenario::Partner,
    returning: Recovery,
    dest: u32,
    attempts: u32,
    ledger: Arc<MessageRegistry>,
    recorder: Recorder,
    began: Instant,
    state: Mutex<State>,
}

/// One endpoint's script: the partner and which endpoint it is.
pub struct PartnerEndpoint(pub Arc<Partner>, pub usize);

impl Partner {
    /// A partner that is warm and well.
    pub fn new(
        spec: scenario::Partner, returning: Recovery, dest: u32, attempts: u32, seed: u64,
        ledger: Arc<MessageRegistry>, recorder: Recorder,
    ) -> Partner {
        let now = Instant::now();
        let state = State {
            trouble: PartnerFault::None,
            rng: fastrand::Rng::with_seed(seed ^ u64::from(dest)),
            free_at: vec![now; spec.endpoints],
            tokens: (spec.limit_per_s * BURST, now),
            window: (0, 0.0),
            back: None,
            arrivals: VecDeque::new(),
            fallen: false,
            keys: HashMap::new(),
            key_order: VecDeque::new(),
        };
        Partner { spec, returning, dest, attempts, ledger, recorder, began: now, state: Mutex::new(state) }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its number.
    pub fn destination(&self) -> u32 {
        self.dest
    }

    /// What ails it from now on.
    pub fn set_fault(&self, trouble: PartnerFault) {
        self.state().trouble = trouble;
    }

    /// It serves again, cold.
    pub fn recover(&self) {
        let mut state = self.state();
        state.trouble = PartnerFault::None;
        state.back = Some(Instant::now());
        state.arrivals.clear();
        // On record while it is locked: what comes from here on comes to a cold place.
        self.recorder.add(Event::OutageEnded { destination: self.dest });
    }

    /// Whether it was pushed over while it was cold.
    pub fn has_collapsed(&self) -> bool {
        self.state().fallen
    }

    /// The share of its capacity that it has at a time.
    fn warmth(&self, state: &State, at: Instant) -> f64 {
        let Some(back) = state.back else { return 1.0 };
        let warm = at.saturating_duration_since(back).as_secs_f64() / self.returning.warm_up_s;
        self.returning.initial_capacity_share + (1.0 - self.returning.initial_capacity_share) * warm.min(1.0)
    }

    /// Counts what pushes a cold partner, and pushes it over.
    fn push(&self, state: &mut State, now: Instant) {
        let Some(back) = state.back else { return };
        if now.saturating_duration_since(back).as_secs_f64() > self.returning.warm_up_s {
            return;
        }
        let fall = Duration::from_secs_f64(self.returning.overload_s);
        state.arrivals.push_back(now);
        while state.arrivals.front().is_some_and(|at| now.saturating_duration_since(*at) > fall) {
            state.arrivals.pop_front();
        }
        let from = now.checked_sub(fall).map_or(back, |from| from.max(back));
        let mean =
            (self.warmth(state, from) + self.warmth(state, from + fall)) / 2.0 * self.spec.capacity_per_s;
        let budget = self.returning.overload_multiple * mean * self.returning.overload_s + SLACK;
        state.fallen |= state.arrivals.len() as f64 > budget;
    }

    /// How long until there is room under the limit; none where there is now.
    fn above_limit(&self, state: &mut State, now: Instant) -> Option<Duration> {
        let rate = self.spec.limit_per_s;
        match self.spec.rate_limit {
            RateLimit::None => None,
            RateLimit::Rate => {
                let (tokens, at) = state.tokens;
                let tokens = tokens + now.saturating_duration_since(at).as_secs_f64() * rate;
                let tokens = tokens.min((rate * BURST).max(1.0));
                state.tokens = (if tokens >= 1.0 { tokens - 1.0 } else { tokens }, now);
                (tokens < 1.0).then(|| Duration::from_secs_f64((1.0 - tokens) / rate))
            }
            RateLimit::Window => {
                let since = now.saturating_duration_since(self.began).as_secs_f64();
                let span = (since / self.spec.limit_window_s) as u64;
                if state.window.0 != span {
                    state.window = (span, 0.0);
                }
                // What is turned away uses up the limit too.
                state.window.1 += 1.0;
                let left = (span + 1) as f64 * self.spec.limit_window_s - since;
                (state.window.1 > rate * self.spec.limit_window_s)
                    .then(|| Duration::from_secs_f64(left.max(0.001)))
            }
        }
    }

    /// The share of the limit that is left, and the limit.
    fn report(&self, state: &State) -> String {
        let rate = if self.spec.rate_limit == RateLimit::None { 0.0 } else { self.spec.limit_per_s };
        let left = match self.spec.rate_limit {
            RateLimit::None => 1.0,
            RateLimit::Rate => state.tokens.0 / (rate * BURST).max(1.0),
            RateLimit::Window => 1.0 - state.window.1 / (rate * self.spec.limit_window_s),
        };
        format!("Server-Load: {{\"x0\":{:.3},\"x1\":{rate}}}\r\n", left.clamp(0.0, 1.0))
    }

    fn refuse(&self, state: &State, wait: Option<Duration>) -> Reply {
        let report = self.report(state);
        match wait.filter(|_| self.spec.sends_retry_after) {
            Some(wait) => {
                // Whole milliseconds, rounded up: what is told is never less than what is kept on record.
                let ms = wait.as_secs_f64() * 1000.0;
                let headers = format!("Retry-After: {:.3}\r\n{report}", ms.ceil() / 1000.0);
                Reply {
                    retry_after: Some(wait),
                    ..Reply::immediate(EndpointResponse::Complete(429, headers, Vec::new()))
                }
            }
            None => Reply::immediate(EndpointResponse::Complete(503, report, Vec::new())),
        }
    }

    /// What is known of a message against it: the status, and its word in a call of several.
    fn against(&self, item: &Item) -> Option<(u16, MessageResult)> {
        match self.ledger.record_attempt(&item.id, self.dest, self.recorder.now(), self.attempts) {
            crate::message_registry::AttemptCheck::Allowed => None,
            crate::message_registry::AttemptCheck::Unknown => Some((400, MessageResult::Rejected)),
            crate::message_registry::AttemptCheck::Expired => Some((410, MessageResult::Expired)),
            crate::message_registry::AttemptCheck::AttemptsExhausted => {
                Some((504, MessageResult::AttemptsExhausted))
            }
        }
    }

    fn begin(&self, endpoint: usize, call: &Call) -> Reply {
        let now = Instant::now();
        let mut state = self.state();
        let state = &mut *state;
        self.push(state, now);
        match state.trouble {
            PartnerFault::Hang => return Reply::immediate(EndpointResponse::Hang),
            PartnerFault::RejectAll => return self.refuse(state, None),
            _ => {}
        }
        if state.fallen {
            return Reply::immediate(EndpointResponse::Hang);
        }
        if let Some(wait) = self.above_limit(state, now) {
            return self.refuse(state, Some(wait));
        }
        let slow = if let PartnerFault::Slow(times) = state.trouble { times } else { 1.0 };
        let capacity = self.spec.capacity_per_s / self.spec.endpoints as f64 * self.warmth(state, now) / slow;
        let Some(free_at) = state.free_at.get(endpoint).copied() else { return Reply::status(503) };
        let start = free_at.max(now);
        let queued = start.saturating_duration_since(now);
        if queued.as_secs_f64() * 1000.0 > self.spec.max_queue_ms * slow {
            return self.refuse(state, None);
        }
        let room = Duration::from_secs_f64((1.0 / capacity).min(60.0));
        if let Some(free_at) = state.free_at.get_mut(endpoint) {
            *free_at = start + room;
        }
        if call.probe {
            return Reply::immediate(EndpointResponse::Complete(200, self.report(state), Vec::new()));
        }
        let [least, most] = self.spec.service_ms;
        let service = Duration::from_secs_f64((least + (most - least) * state.rng.f64()) * slow / 1000.0);
        let after = queued + service;
        let against: Vec<_> = call.items.iter().map(|item| self.against(item)).collect();
        if let ([_], [Some((status, _))]) = (&call.items[..], &against[..]) {
            return Reply::status(*status);
        }
        self.work(state, call, &against, after)
    }

    /// A call that is worked on, and what becomes of its answer.
    fn work(
        &self, state: &mut State, call: &Call, against: &[Option<(u16, MessageResult)>], after: Duration,
    ) -> Reply {
        let runs: Vec<bool> = against.iter().map(Option::is_none).collect();
        let fates: Vec<MessageResult> =
            against.iter().map(|a| a.as_ref().map_or(MessageResult::Delivered, |(_, fate)| *fate)).collect();
        let report = self.report(state);
        let trouble = state.trouble;
        let rng = &mut state.rng;
        let reply = |how, runs, fates| Reply {
            delay: after,
            response: how,
            results: fates,
            retry_after: None,
            processed: runs,
        };
        let spec = &self.spec;
        let drawn = rng.f64();
        let share = |usual: f64, now: bool, much: f64| if now { usual.max(much) } else { usual };
        let errors = share(spec.error_probability, trouble == PartnerFault::Errors, MOST);
        let resets = errors + spec.reset_probability;
        let cuts =
            resets + share(spec.truncation_probability, trouble == PartnerFault::TruncatedResponses, SOME);
        let spoilt =
            cuts + share(spec.malformed_probability, trouble == PartnerFault::MalformedResponses, SOME);
        if drawn < errors {
            let ran = rng.bool();
            let runs = runs.iter().map(|run| *run && ran).collect();
            return reply(EndpointResponse::Complete(500, report, Vec::new()), runs, Vec::new());
        }
        if drawn < resets {
            return reply(EndpointResponse::Reset, runs, Vec::new());
        }
        if drawn < cuts {
            return reply(EndpointResponse::Truncated(200, rng.usize(0..60)), runs, Vec::new());
        }
        if drawn < spoilt {
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
            return reply(EndpointResponse::Raw(bytes.to_vec(), end), runs, Vec::new());
        }
        let extra = (drawn < spoilt + spec.extra_data_probability).then(|| rng.u8(..4));
        let one = call.items.len() == 1;
        let mut body = String::new();
        for (item, fate) in call.items.iter().zip(&fates) {
            let word = match fate {
                MessageResult::Delivered => "delivered",
                MessageResult::Failed => "failed",
                MessageResult::Rejected => "refused",
                MessageResult::Expired => "over",
                MessageResult::AttemptsExhausted => "spent",
            };
            body.push_str(&format!("{} {word}\r\n", item.id));
        }
        let (body, fates) = if one { (Vec::new(), Vec::new()) } else { (body.into_bytes(), fates) };
        let whole = http::response_bytes(200, &report, &body);
        let how = match extra {
            None => EndpointResponse::Complete(200, report, body),
            Some(0) => {
                let early = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
                EndpointResponse::Raw([early, &whole[..]].concat(), CallEnd::Answered(200))
            }
            Some(1) => EndpointResponse::Raw([&whole[..], b"\x00 noise"].concat(), CallEnd::Answered(200)),
            Some(2) => EndpointResponse::Raw([&whole[..], &whole[..]].concat(), CallEnd::Answered(200)),
            Some(_) => EndpointResponse::Complete(200, "Server-Load: {x1:\r\n".into(), body),
        };
        reply(how, runs, fates)
    }

    /// A message takes effect, unless its key was remembered when its call came: how long a call waits here is
    /// not what a sender can know or be blamed for.
    fn takes_effect(&self, came: Instant, item: &Item) -> bool {
        let Some((Effect::Keyed, window)) = self.ledger.effect(&item.id) else { return true };
        let Some(key) = &item.key else { return true };
        let mut state = self.state();
        let now = Instant::now();
        let window = Duration::from_micros(window);
        if state.keys.get(key).is_some_and(|at| came.saturating_duration_since(*at) < window) {
            return false;
        }
        state.keys.insert(key.clone(), now);
        state.key_order.push_back(key.clone());
        if state.key_order.len() > KEYS_MOST
            && let Some(old) = state.key_order.pop_front()
        {
            state.keys.remove(&old);
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
        self.0.begin(self.1, call)
    }

    fn processed(&self, call: &Call, reply: &Reply) {
        for (item, _) in call.items.iter().zip(&reply.processed).filter(|(_, ran)| **ran) {
            let effect = self.0.takes_effect(call.request.last_byte_at, item);
            self.0.recorder.add(Event::MessageProcessed {
                call: call.number,
                id: item.id.clone(),
                took_effect: effect,
            });
        }
    }
}
