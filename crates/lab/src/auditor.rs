//! Judges a record by the six rules.
//!
//! The auditor relies only on what the stand-ins observed and shares no code with the dispatcher: the responses that
//! clients got, what endpoints received and did, what the platform sent and received. The parameters of the rules come
//! from the record's first entry. Where a record is ambiguous (a response in flight while the other side closed), the
//! dispatcher gets the benefit of the doubt for as long as [`Rules::tolerance`].

use crate::record::{
    CallEnd, Effect, EndpointState, Entry, Event, MessageResult, Micros, Outcome, ProcessSignal, Rules,
};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

/// Calls of one window that are tolerated beyond the budget of a cold destination, for random variation and calls that
/// were already in flight.
const COLD_CALL_TOLERANCE: f64 = 3.0;
/// A response written this long after another call had begun does not count as in flight at that time.
const RESPONSE_IN_FLIGHT: Micros = 10_000;
/// A recovered message that was never called had time left if its deadline was this long after readiness.
const MIN_TIME_LEFT: Micros = 500_000;
/// With fewer recovered messages than this, a majority that was never called may be chance.
const MIN_RECOVERED: u64 = 10;
/// Maximum number of violations that are recorded with their text; further ones are only counted.
const MAX_RECORDED_VIOLATIONS: usize = 200;

/// The six rules, and what every record must satisfy besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// Each accepted message is delivered or ended in time.
    Lost,
    /// Each message gets one final answer, and is not sent after it.
    SingleAnswer,
    /// No message takes effect twice.
    Duplicate,
    /// No message has two attempts in flight at once.
    ConcurrentAttempts,
    /// An endpoint that is draining or removed gets no new calls.
    Drain,
    /// A destination that recovers cold is not overloaded.
    ColdStart,
    /// Messages with the same order key are delivered in order, where their class requires it.
    Order,
    /// A Retry-After is honoured.
    RetryAfter,
    /// A message goes to its own destination, unchanged.
    Altered,
    /// No process ends unless it was asked to.
    Crash,
    /// Accepted messages that a restart recovers before their first attempt are still attempted.
    NeverCalled,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Lost => "nothing is lost",
            Rule::SingleAnswer => "one final answer",
            Rule::Duplicate => "nothing takes effect twice",
            Rule::ConcurrentAttempts => "no two attempts at once",
            Rule::Drain => "draining endpoints get no new calls",
            Rule::ColdStart => "a recovering destination is not overloaded",
            Rule::Order => "order is kept",
            Rule::RetryAfter => "Retry-After is honoured",
            Rule::Altered => "messages go unchanged to their own destination",
            Rule::Crash => "no dispatcher crashes",
            Rule::NeverCalled => "messages recovered before their first attempt are attempted",
        })
    }
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The message, destination, endpoint or dispatcher concerned.
    pub subject: String,
    /// What happened, with times in seconds of the run.
    pub text: String,
    /// When it happened, on the record's clock.
    pub at: Micros,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:9.3}  {}  {}: {}", seconds(self.at), self.rule, self.subject, self.text)
    }
}

/// Counts for one class. A message that is submitted again under a new id counts once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassCounts {
    /// Messages that clients submitted.
    pub messages: u64,
    /// Accepted under at least one id.
    pub accepted: u64,
    /// Delivered under an id whose acceptance the client had read.
    pub delivered: u64,
    /// Delivered messages that met the target latency.
    pub within_target: u64,
    /// Ended by a given-up notice and not delivered.
    pub given_up: u64,
    /// Ended by a handed-back notice and not delivered.
    pub handed_back: u64,
    /// Rejected at each submission.
    pub rejected: u64,
    /// The client read no response, or one that neither accepts nor rejects.
    pub unanswered: u64,
    /// Lost, which violates the rule.
    pub lost: u64,
    /// Took effect twice because of the dispatchers, though the class forbids it.
    pub duplicated: u64,
    /// Took effect under two ids because the client submitted the message twice: not a violation.
    pub duplicated_by_clients: u64,
    /// Accepted submissions that a restarted process recovered without a call so far, with time left once it was ready.
    pub recovered: u64,
    /// Recovered submissions that were never called.
    pub never_called: u64,
    /// Time from the first submission to the delivery of each delivered message, in microseconds.
    pub latencies: Vec<Micros>,
}

/// The result of an audit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// The violations by time, up to a maximum number.
    pub violations: Vec<Violation>,
    /// The number of violations of each rule.
    pub violation_counts: BTreeMap<Rule, u64>,
    /// Counts by class.
    pub classes: BTreeMap<String, ClassCounts>,
    /// Calls that endpoints received.
    pub calls: u64,
    /// Probes that endpoints received.
    pub probes: u64,
    /// Messages whose end was not yet due when the record ended.
    pub open: u64,
}

impl Verdict {
    /// Whether there was no violation.
    pub fn is_clean(&self) -> bool {
        self.violation_counts.is_empty()
    }
}

fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

struct Message {
    submitted_at: Micros,
    origin: String,
    class: usize,
    destination: u32,
    key: Option<String>,
    body_digest: u64,
    deadline: Micros,
    dispatcher: usize,
    new_connection: bool,
    response: Option<(Micros, u16)>,
    client_timed_out: bool,
    order_key: Option<String>,
    /// Its calls, by number, and those of them that certainly did not run it.
    calls: Vec<u64>,
    not_run_calls: Vec<u64>,
    /// When an endpoint reported that it had expired.
    expired_at: Option<Micros>,
    /// When the last byte of the first call that may have run it arrived.
    may_have_run_at: Option<Micros>,
    delivered_at: Option<Micros>,
    notices: Vec<(Micros, Outcome, u16)>,
    effect_count: u32,
    duplicated: bool,
}

impl Message {
    fn is_accepted(&self) -> bool {
        matches!(self.response, Some((_, 200 | 202)))
    }

    /// When the message was delivered, given up, handed back or expired.
    fn ended_at(&self) -> Option<Micros> {
        let first_notice = self.notices.first().map(|(at, ..)| *at);
        self.delivered_at.into_iter().chain(first_notice).chain(self.expired_at).min()
    }
}

struct Call {
    arrived_at: Micros,
    endpoint: String,
    dispatcher: usize,
    destination: u32,
    ids: Vec<String>,
    ended_at: Option<Micros>,
}

/// The history of one dispatcher's processes.
#[derive(Default)]
struct ProcessHistory {
    /// Times without service: from a signal that stops the process until it is ready or continues.
    restarts: Vec<(Micros, Option<Micros>)>,
    kills: Vec<Micros>,
    starts: Vec<Micros>,
    readiness: Vec<Micros>,
}

struct Outage {
    started_at: Micros,
    recovered_at: Option<Micros>,
    refuses_connections: bool,
    /// The dispatchers that have observed the outage.
    informed_dispatchers: HashSet<usize>,
    /// Calls and probes since the recovery: when, and from which dispatcher.
    arrivals: Vec<(Micros, usize)>,
    violation_reported: bool,
}

#[derive(Default)]
struct Audit {
    rules: Rules,
    messages: HashMap<String, Message>,
    /// Message ids in the order of the record.
    message_ids: Vec<String>,
    calls: HashMap<u64, Call>,
    processes: BTreeMap<usize, ProcessHistory>,
    /// When a dispatcher was informed that an endpoint is draining or removed.
    informed_of_drain: HashMap<(usize, String), Micros>,
    /// Changes of the list, which all dispatchers have to apply after some time unless the platform was silent.
    list_changes: Vec<(Micros, String, EndpointState)>,
    silent: bool,
    silences: Vec<(Micros, Option<Micros>)>,
    /// The Retry-After periods by dispatcher and destination: sent at, valid until.
    retry_afters: HashMap<(usize, u32), Vec<(Micros, Micros)>>,
    outages: HashMap<u32, Vec<Outage>>,
    /// The per-key queues: ids submitted to a dispatcher under an order key.
    key_queues: HashMap<(usize, String), Vec<String>>,
    record_end: Micros,
    verdict: Verdict,
}

/// Judges a record.
pub fn audit(entries: &[Entry]) -> Verdict {
    let mut audit = Audit::default();
    for entry in entries {
        audit.record_end = audit.record_end.max(entry.at);
        audit.apply(entry.at, &entry.event);
    }
    audit.finish();
    audit.verdict
}

impl Audit {
    fn report(&mut self, rule: Rule, subject: impl Into<String>, at: Micros, text: String) {
        *self.verdict.violation_counts.entry(rule).or_default() += 1;
        if self.verdict.violations.len() < MAX_RECORDED_VIOLATIONS {
            self.verdict.violations.push(Violation { rule, subject: subject.into(), text, at });
        }
    }

    fn effect_of(&self, message: &Message) -> (Effect, Micros) {
        let class = self.rules.classes.get(message.class);
        class.map_or((Effect::Unsafe, 0), |class| (class.effect, class.key_window))
    }

    fn apply(&mut self, at: Micros, event: &Event) {
        match event {
            Event::Rules(rules) => self.rules = rules.clone(),
            Event::Submitted { .. } => self.on_submitted(at, event),
            Event::Answered { id, status } => self.on_answered(at, id, *status),
            Event::ClientTimedOut { id } => {
                if let Some(message) = self.messages.get_mut(id) {
                    message.client_timed_out = true;
                }
            }
            Event::ConnectionLost { id } => self.on_connection_lost(at, id),
            Event::Call { call, endpoint, destination, dispatcher, first_byte_at, items } => {
                self.verdict.calls += 1;
                self.check_drain(*dispatcher, endpoint, *first_byte_at);
                self.check_retry_after(at, *dispatcher, *destination);
                self.check_cold_start(at, *dispatcher, *destination);
                for item in items {
                    self.on_message_called(at, *call, endpoint, *destination, item);
                }
                let ids = items.iter().map(|item| item.id.clone()).collect();
                let (endpoint, dispatcher, destination) = (endpoint.clone(), *dispatcher, *destination);
                self.calls.insert(
                    *call,
                    Call { arrived_at: at, endpoint, dispatcher, destination, ids, ended_at: None },
                );
            }
            Event::Probe { endpoint, destination, dispatcher, healthy } => {
                self.verdict.probes += 1;
                self.check_drain(*dispatcher, endpoint, at);
                self.check_retry_after(at, *dispatcher, *destination);
                self.check_cold_start(at, *dispatcher, *destination);
                if !healthy {
                    self.mark_informed(at, *dispatcher, *destination);
                }
            }
            Event::MessageProcessed { call, id, took_effect } => {
                self.on_processed(at, *call, id, *took_effect)
            }
            Event::CallEnded { call, end, results, retry_after } => {
                self.on_call_ended(at, *call, *end, results, *retry_after)
            }
            Event::OutageStarted { destination, refuses_connections } => {
                let outage = Outage {
                    started_at: at,
                    recovered_at: None,
                    refuses_connections: *refuses_connections,
                    informed_dispatchers: HashSet::new(),
                    arrivals: Vec::new(),
                    violation_reported: false,
                };
                self.outages.entry(*destination).or_default().push(outage);
            }
            Event::OutageEnded { destination } => {
                let outage = self.outages.get_mut(destination).and_then(|all| all.last_mut());
                let Some(outage) = outage.filter(|outage| outage.recovered_at.is_none()) else { return };
                outage.recovered_at = Some(at);
                if outage.refuses_connections {
                    // No endpoint observes a refused connection. A dispatcher that had messages pending for the
                    // destination in the meantime has tried to connect.
                    let (started_at, tolerance) = (outage.started_at, self.rules.tolerance);
                    let pending = self.messages.values().filter(|message| {
                        message.destination == *destination
                            && message.is_accepted()
                            && message.submitted_at + tolerance < at
                            && message.ended_at().is_none_or(|end| end > started_at)
                    });
                    outage.informed_dispatchers.extend(pending.map(|message| message.dispatcher));
                }
            }
            Event::EndpointChanged { endpoint, state } => {
                self.list_changes.push((at, endpoint.clone(), *state));
            }
            Event::ChangeDelivered { dispatcher, endpoint, state } => {
                self.on_change_delivered(at, *dispatcher, endpoint, *state)
            }
            Event::PlatformSilent { silent } => {
                self.silent = *silent;
                match silent {
                    true => self.silences.push((at, None)),
                    false => self.silences.iter_mut().for_each(|silence| silence.1 = silence.1.or(Some(at))),
                }
            }
            Event::Notice { id, outcome, status, .. } => self.on_notice(at, id, *outcome, *status),
            Event::ProcessStarted { dispatcher } => {
                self.processes.entry(*dispatcher).or_default().starts.push(at)
            }
            Event::ProcessReady { dispatcher } => {
                let history = self.processes.entry(*dispatcher).or_default();
                history.readiness.push(at);
                history.restarts.iter_mut().for_each(|restart| restart.1 = restart.1.or(Some(at)));
            }
            Event::SignalSent { dispatcher, signal } => {
                let history = self.processes.entry(*dispatcher).or_default();
                match signal {
                    // A process that is asked to stop and then killed counts as one restart.
                    ProcessSignal::Kill | ProcessSignal::Term => {
                        if history.restarts.last().is_none_or(|last| last.1.is_some()) {
                            history.restarts.push((at, None));
                        }
                        if *signal == ProcessSignal::Kill {
                            history.kills.push(at);
                        }
                    }
                    // A suspended process is late with everything that is due.
                    ProcessSignal::Stop => history.restarts.push((at, None)),
                    ProcessSignal::Cont => {
                        if let Some(last) = history.restarts.last_mut() {
                            last.1 = last.1.or(Some(at));
                        }
                    }
                    ProcessSignal::Hup => {}
                }
            }
            Event::ProcessExited { dispatcher, expected } => {
                if !expected {
                    let text = "its process ended although it had not been asked to stop".to_string();
                    self.report(Rule::Crash, format!("dispatcher {dispatcher}"), at, text);
                }
            }
            Event::RunEnded => {}
        }
    }

    fn on_submitted(&mut self, at: Micros, event: &Event) {
        let Event::Submitted {
            id,
            origin,
            class,
            destination,
            key,
            order,
            body_digest,
            deadline,
            dispatcher,
            new_connection,
        } = event
        else {
            return;
        };
        let class = self.rules.classes.iter().position(|known| known.name == *class).unwrap_or(usize::MAX);
        if let Some(message) = self.messages.get_mut(id) {
            // The client submits again on a new connection because the reused one was closed at that moment.
            (message.submitted_at, message.new_connection) = (at, *new_connection);
            return;
        }
        let order_key =
            order.clone().filter(|_| self.rules.classes.get(class).is_some_and(|class| class.ordered));
        if let Some(order_key) = &order_key {
            self.key_queues.entry((*dispatcher, order_key.clone())).or_default().push(id.clone());
        }
        let message = Message {
            submitted_at: at,
            origin: origin.clone(),
            class,
            destination: *destination,
            key: key.clone(),
            body_digest: *body_digest,
            deadline: *deadline,
            dispatcher: *dispatcher,
            new_connection: *new_connection,
            response: None,
            client_timed_out: false,
            order_key,
            calls: Vec::new(),
            not_run_calls: Vec::new(),
            expired_at: None,
            may_have_run_at: None,
            delivered_at: None,
            notices: Vec::new(),
            effect_count: 0,
            duplicated: false,
        };
        self.messages.insert(id.clone(), message);
        self.message_ids.push(id.clone());
    }

    fn on_answered(&mut self, at: Micros, id: &str, status: u16) {
        let Some(message) = self.messages.get_mut(id) else { return };
        message.response = Some((at, status));
        let rejected = matches!(status, 429 | 503);
        if rejected && let Some(call) = message.calls.first() {
            let call = *call;
            let text = format!("rejected with {status}, but call {call} had already been made");
            self.report(Rule::SingleAnswer, id, at, text);
        }
    }

    fn on_connection_lost(&mut self, at: Micros, id: &str) {
        let tolerance = self.rules.tolerance * 2;
        let Some(message) = self.messages.get(id) else { return };
        let (submitted_at, dispatcher, new_connection) =
            (message.submitted_at, message.dispatcher, message.new_connection);
        let killed = self.processes.get(&dispatcher).is_some_and(|history| {
            history.kills.iter().any(|kill| *kill + tolerance >= submitted_at && *kill <= at + tolerance)
        });
        // A reused connection may be closed while the request is in flight; the client then sends it again.
        if new_connection && !killed {
            let text = format!(
                "submitted at {:.3} on a new connection, which dispatcher {dispatcher} closed without a response",
                seconds(submitted_at)
            );
            self.report(Rule::Lost, id, at, text);
        }
    }

    fn check_drain(&mut self, dispatcher: usize, endpoint: &str, first_byte_at: Micros) {
        let grace = self.rules.drain_grace + self.rules.tolerance;
        let informed_at = self.informed_of_drain.get(&(dispatcher, endpoint.to_string())).copied();
        // The dispatcher has to apply a change after the maximum delay, unless the platform was silent in between.
        let known_by =
            self.list_changes.iter().rev().find(|(_, changed, _)| changed == endpoint).and_then(|change| {
                let due = change.0 + self.rules.max_update_delay;
                let silent =
                    self.silences.iter().any(|(from, to)| *from < due && to.is_none_or(|to| to > change.0));
                (change.2 != EndpointState::Up && !silent).then_some(due)
            });
        let Some(informed_at) = informed_at.into_iter().chain(known_by).min() else { return };
        if first_byte_at > informed_at + grace {
            let text = format!(
                "dispatcher {dispatcher} was informed at {:.3} that the endpoint is draining or removed, and called it at {:.3}",
                seconds(informed_at),
                seconds(first_byte_at)
            );
            self.report(Rule::Drain, endpoint, first_byte_at, text);
        }
    }

    fn on_change_delivered(&mut self, at: Micros, dispatcher: usize, endpoint: &str, state: EndpointState) {
        let key = (dispatcher, endpoint.to_string());
        match state {
            EndpointState::Up => {
                self.informed_of_drain.remove(&key);
                // The endpoint is listed again: earlier changes of it no longer apply.
                self.list_changes.retain(|(changed_at, name, _)| name != endpoint || *changed_at > at);
            }
            EndpointState::Draining | EndpointState::Removed => {
                self.informed_of_drain.entry(key).or_insert(at);
            }
        }
    }

    fn check_retry_after(&mut self, at: Micros, dispatcher: usize, destination: u32) {
        let process_start =
            self.processes.get(&dispatcher).and_then(|history| history.starts.last()).copied().unwrap_or(0);
        let grace = self.rules.retry_after_grace + self.rules.tolerance;
        let Some(active) = self.retry_afters.get_mut(&(dispatcher, destination)) else { return };
        active.retain(|(sent, until)| *until > at && *sent >= process_start);
        let Some((sent, until)) = active.iter().find(|(sent, _)| at > *sent + grace).copied() else { return };
        let text = format!(
            "dispatcher {dispatcher} received a Retry-After at {:.3} that lasts to {:.3}, and called at {:.3}",
            seconds(sent),
            seconds(until),
            seconds(at)
        );
        self.report(Rule::RetryAfter, format!("destination {destination}"), at, text);
    }

    /// Counts a call or probe towards the load of a destination that may be cold, and reports an overload that
    /// dispatchers with knowledge of the outage caused.
    fn check_cold_start(&mut self, at: Micros, dispatcher: usize, destination: u32) {
        let rules = &self.rules;
        let Some(capacity) = rules
            .capacities
            .iter()
            .find(|known| known.destination == destination)
            .map(|known| known.capacity)
        else {
            return;
        };
        let Some(outage) = self.outages.get_mut(&destination).and_then(|all| all.last_mut()) else { return };
        let Some(recovered_at) = outage.recovered_at else { return };
        if at > recovered_at + rules.warm_up || outage.violation_reported {
            return;
        }
        outage.arrivals.push((at, dispatcher));
        // The window that ends now, or the one that starts at the recovery where less time has passed.
        let window_start = at.saturating_sub(rules.overload_time).max(recovered_at);
        let capacity_at = |at: Micros| {
            let warmth = (at - recovered_at) as f64 / rules.warm_up as f64;
            capacity * (rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * warmth.min(1.0))
        };
        let mean_capacity =
            (capacity_at(window_start) + capacity_at(window_start + rules.overload_time)) / 2.0;
        let budget =
            rules.overload_multiple * mean_capacity * seconds(rules.overload_time) + COLD_CALL_TOLERANCE;
        let arrivals_in_window = || outage.arrivals.iter().filter(|(at, _)| *at >= window_start);
        let call_count = arrivals_in_window().count();
        let informed_count = arrivals_in_window()
            .filter(|(_, dispatcher)| outage.informed_dispatchers.contains(dispatcher))
            .count();
        if call_count as f64 > budget && 3 * informed_count >= 2 * call_count {
            outage.violation_reported = true;
            let text = format!(
                "recovered at {:.3}, it got {call_count} calls from {:.3} to {:.3}, {informed_count} of them from dispatchers \
                 that had observed its outage; the budget for this window is {budget:.1}",
                seconds(recovered_at),
                seconds(window_start),
                seconds(at)
            );
            self.report(Rule::ColdStart, format!("destination {destination}"), at, text);
        }
    }

    fn mark_informed(&mut self, at: Micros, dispatcher: usize, destination: u32) {
        if let Some(outage) = self.outages.get_mut(&destination).and_then(|all| all.last_mut())
            && outage.recovered_at.is_none()
            && at >= outage.started_at
        {
            outage.informed_dispatchers.insert(dispatcher);
        }
    }

    fn on_message_called(
        &mut self, at: Micros, call: u64, endpoint: &str, destination: u32, item: &crate::record::Item,
    ) {
        let Some(message) = self.messages.get(&item.id) else {
            let text = format!("call {call} to {endpoint} contains an id that no client had submitted");
            return self.report(Rule::Altered, &item.id, at, text);
        };
        let (effect, key_window) = self.effect_of(message);
        let tolerance = self.rules.tolerance;
        let mut violations = Vec::new();
        if destination != message.destination {
            let text = format!(
                "for destination {}, sent to {endpoint} of {destination} in call {call}",
                message.destination
            );
            violations.push((Rule::Altered, text));
        }
        if item.key != message.key || item.body_digest != message.body_digest {
            violations
                .push((Rule::Altered, format!("its key or body was changed in call {call} to {endpoint}")));
        }
        if let Some((answered_at, status @ (429 | 503))) = message.response {
            let text =
                format!("rejected with {status} at {:.3}, but sent in call {call}", seconds(answered_at));
            violations.push((Rule::SingleAnswer, text));
        }
        if let Some((noticed_at, outcome, _)) = message
            .notices
            .iter()
            .find(|(noticed_at, _, status)| *status == 204 && at > *noticed_at + tolerance)
        {
            let text =
                format!("ended by {outcome:?} at {:.3}, but sent in call {call}", seconds(*noticed_at));
            violations.push((Rule::SingleAnswer, text));
        }
        if let Some(may_have_run_at) = message.may_have_run_at {
            match effect {
                Effect::Unsafe => {
                    let text = format!(
                        "must not be repeated and may have run at {:.3}, but was sent again in call {call} to {endpoint}",
                        seconds(may_have_run_at)
                    );
                    violations.push((Rule::Duplicate, text));
                }
                Effect::Keyed if at > may_have_run_at + key_window + tolerance => {
                    let text = format!(
                        "its key is remembered for {:.1} s from {:.3}, and it was sent again in call {call} to {endpoint}",
                        seconds(key_window),
                        seconds(may_have_run_at)
                    );
                    violations.push((Rule::Duplicate, text));
                }
                Effect::Keyed | Effect::Safe => {}
            }
        }
        let duplicated = violations.iter().any(|(rule, _)| *rule == Rule::Duplicate);
        for (rule, text) in violations {
            self.report(rule, &item.id, at, text);
        }
        self.check_order(at, call, &item.id);
        if let Some(message) = self.messages.get_mut(&item.id) {
            message.calls.push(call);
            message.duplicated |= duplicated;
            // Assumed until the end of the call shows that the message never ran.
            message.may_have_run_at = message.may_have_run_at.or(Some(at));
        }
    }

    /// Reports a call that is made while an earlier accepted message with the same order key is still pending.
    fn check_order(&mut self, at: Micros, call: u64, id: &str) {
        let Some(message) = self.messages.get(id) else { return };
        let Some(order_key) = message.order_key.clone() else { return };
        let queue = self.key_queues.get(&(message.dispatcher, order_key)).map_or(&[][..], |queue| &queue[..]);
        let predecessor = queue.iter().take_while(|earlier| *earlier != id);
        let predecessor = predecessor.filter(|earlier| {
            self.messages[*earlier].is_accepted() && self.messages[*earlier].ended_at().is_none()
        });
        let predecessor = predecessor.last();
        if let Some(predecessor) = predecessor.cloned() {
            let text = format!(
                "sent in call {call} while {predecessor}, accepted earlier with the same order key, was still pending"
            );
            self.report(Rule::Order, id, at, text);
        }
    }

    fn on_processed(&mut self, at: Micros, call: u64, id: &str, took_effect: bool) {
        let Some(message) = self.messages.get_mut(id) else { return };
        message.effect_count += u32::from(took_effect);
        let (count, already_reported) = (message.effect_count, message.duplicated);
        let (class_effect, _) = self
            .rules
            .classes
            .get(message.class)
            .map_or((Effect::Unsafe, 0), |class| (class.effect, class.key_window));
        if took_effect && count > 1 && class_effect != Effect::Safe && !already_reported {
            message.duplicated = true;
            let text = format!("took effect {count} times, the last time in call {call}");
            self.report(Rule::Duplicate, id, at, text);
        }
    }

    fn on_call_ended(
        &mut self, at: Micros, call_number: u64, end: CallEnd, results: &[MessageResult],
        retry_after: Option<Micros>,
    ) {
        let Some(call) = self.calls.get_mut(&call_number) else { return };
        if call.ended_at.is_some() {
            return;
        }
        call.ended_at = Some(at);
        let (arrived_at, dispatcher, destination, ids) =
            (call.arrived_at, call.dispatcher, call.destination, call.ids.clone());
        if let Some(retry_after) = retry_after {
            self.retry_afters.entry((dispatcher, destination)).or_default().push((at, at + retry_after));
        }
        let failed = !matches!(end, CallEnd::Answered(200) | CallEnd::Truncated(200) | CallEnd::Closed);
        if failed {
            self.mark_informed(at, dispatcher, destination);
        }
        // The dispatcher timed out while it waited for the response.
        if end == CallEnd::Closed && at > arrived_at + self.rules.tolerance {
            self.mark_informed(at, dispatcher, destination);
        }
        for (index, id) in ids.iter().enumerate() {
            let result = match (end, results.get(index)) {
                (CallEnd::Answered(200), Some(result)) if ids.len() > 1 => *result,
                (CallEnd::Answered(200), None) if ids.len() > 1 => MessageResult::Failed,
                // A status line with 200 is conclusive for a call with a single message.
                (CallEnd::Answered(200) | CallEnd::Truncated(200), _) if ids.len() == 1 => {
                    MessageResult::Delivered
                }
                (CallEnd::Answered(429 | 503 | 400 | 413), _) => MessageResult::Rejected,
                (CallEnd::Answered(504), _) => MessageResult::AttemptsExhausted,
                (CallEnd::Answered(410), _) => MessageResult::Expired,
                _ => MessageResult::Failed,
            };
            self.apply_result(at, call_number, id, result);
            self.check_concurrency(at, call_number, id, end);
        }
    }

    fn apply_result(&mut self, at: Micros, call_number: u64, id: &str, result: MessageResult) {
        let calls = &self.calls;
        let Some(message) = self.messages.get_mut(id) else { return };
        match result {
            MessageResult::Delivered => message.delivered_at = message.delivered_at.or(Some(at)),
            // The message is over: no notice is due.
            MessageResult::Expired => {
                message.expired_at = message.expired_at.or(Some(at));
                message.not_run_calls.push(call_number);
            }
            MessageResult::Failed => {}
            MessageResult::Rejected | MessageResult::AttemptsExhausted => {
                // This call did not run it; the earliest of the other calls may have.
                message.not_run_calls.push(call_number);
                let others = message.calls.iter().filter(|other| !message.not_run_calls.contains(other));
                message.may_have_run_at =
                    others.filter_map(|other| calls.get(other)).map(|call| call.arrived_at).min();
            }
        }
    }

    /// Reports another call of the message that began well before this one ended.
    fn check_concurrency(&mut self, at: Micros, call_number: u64, id: &str, end: CallEnd) {
        let Some(message) = self.messages.get(id) else { return };
        // The endpoint observes the dispatcher's close with a delay, and a response may be in flight meanwhile.
        let overlap_limit = if end == CallEnd::Closed { self.rules.tolerance } else { RESPONSE_IN_FLIGHT };
        let Some(arrived_at) = self.calls.get(&call_number).map(|call| call.arrived_at) else { return };
        let concurrent = message.calls.iter().filter(|other_number| **other_number != call_number).find_map(
            |other_number| {
                let call = self.calls.get(other_number)?;
                (call.arrived_at >= arrived_at && call.arrived_at + overlap_limit < at).then_some((
                    *other_number,
                    call.arrived_at,
                    call.endpoint.clone(),
                ))
            },
        );
        if let Some((other_number, other_arrived_at, endpoint)) = concurrent {
            let text = format!(
                "call {other_number} to {endpoint} began at {:.3}, while call {call_number} was in flight until {:.3}",
                seconds(other_arrived_at),
                seconds(at)
            );
            self.report(Rule::ConcurrentAttempts, id, at, text);
        }
    }

    fn on_notice(&mut self, at: Micros, id: &str, outcome: Outcome, status: u16) {
        let Some(message) = self.messages.get_mut(id) else { return };
        let contradicting = message
            .notices
            .iter()
            .find(|(_, earlier_outcome, status)| *earlier_outcome != outcome && *status != 0)
            .copied();
        message.notices.push((at, outcome, status));
        let may_have_run_at = message.may_have_run_at;
        let message = &self.messages[id];
        let (effect, _) = self.effect_of(message);
        if let Some((noticed_at, earlier_outcome, _)) = contradicting {
            let text = format!(
                "ended by {earlier_outcome:?} at {:.3} and by {outcome:?} afterwards",
                seconds(noticed_at)
            );
            self.report(Rule::SingleAnswer, id, at, text);
        }
        if let (Outcome::HandedBack, Effect::Unsafe, Some(may_have_run_at)) =
            (outcome, effect, may_have_run_at)
        {
            let text = format!(
                "handed back as safe to repeat, though it may have run at {:.3} and must not be repeated",
                seconds(may_have_run_at)
            );
            self.report(Rule::Duplicate, id, at, text);
        }
    }

    /// The time by which a message has to end: no notice is overdue while its dispatcher restarts.
    fn end_due_by(&self, message: &Message) -> Micros {
        let rules = &self.rules;
        let mut due = message.deadline + rules.answer_grace + rules.tolerance;
        let Some(history) = self.processes.get(&message.dispatcher) else { return due };
        for (stopped_at, ready_at) in &history.restarts {
            let grace_end =
                ready_at.map_or(Micros::MAX, |ready_at| ready_at + rules.restart_grace + rules.tolerance);
            if *stopped_at <= due && grace_end > due {
                due = grace_end;
            }
        }
        due
    }

    fn finish(&mut self) {
        // Calls that were still in flight when others of the same message had begun.
        let mut open_calls: Vec<_> = self.calls.iter().filter(|(_, call)| call.ended_at.is_none()).collect();
        open_calls.sort_by_key(|(number, _)| **number);
        let open_calls: Vec<_> =
            open_calls.into_iter().map(|(number, call)| (*number, call.ids.clone())).collect();
        for (number, ids) in open_calls {
            ids.iter().for_each(|id| self.check_concurrency(self.record_end, number, id, CallEnd::Closed));
        }
        let mut lost_messages = Vec::new();
        let mut lost = HashSet::new();
        for id in &self.message_ids {
            let message = &self.messages[id];
            if !message.is_accepted() {
                continue;
            }
            let due = self.end_due_by(message);
            match message.ended_at() {
                Some(end) if end <= due => {}
                None if due > self.record_end => self.verdict.open += 1,
                end => {
                    let end = end.map_or("no end was observed".into(), |end| {
                        format!("it ended at {:.3}", seconds(end))
                    });
                    let text = format!(
                        "accepted by dispatcher {} at {:.3}, its end was due by {:.3}; {end}",
                        message.dispatcher,
                        seconds(message.response.map_or(message.submitted_at, |(at, _)| at)),
                        seconds(due)
                    );
                    lost_messages.push((id.clone(), due, text));
                    lost.insert(id.clone());
                }
            }
        }
        for (id, at, text) in lost_messages {
            self.report(Rule::Lost, id, at, text);
        }
        self.count_classes(&lost);
        self.check_never_called();
        self.verdict.violations.sort_by_key(|violation| violation.at);
    }

    /// Whether a process that started later recovered the accepted message before its first call, with time left.
    fn was_recovered_uncalled(&self, message: &Message) -> bool {
        let Some((accepted_at, _)) = message.response.filter(|_| message.is_accepted()) else { return false };
        let Some(history) = self.processes.get(&message.dispatcher) else { return false };
        let first_call_at =
            message.calls.iter().filter_map(|call| self.calls.get(call)).map(|call| call.arrived_at).min();
        history.starts.iter().any(|started_at| {
            let ready_at = history.readiness.iter().find(|ready_at| *ready_at > started_at);
            accepted_at < *started_at
                && first_call_at.is_none_or(|first_call_at| first_call_at > *started_at)
                && message.ended_at().is_none_or(|end| end > *started_at)
                && ready_at.is_some_and(|ready_at| ready_at + MIN_TIME_LEFT < message.deadline)
        })
    }

    fn check_never_called(&mut self) {
        let (mut recovered, mut never_called) = (0, 0);
        for id in &self.message_ids {
            let message = &self.messages[id];
            let Some(class) = self.rules.classes.get(message.class) else { continue };
            // Undecided where the client timed out, or the record ends before the deadline.
            if message.client_timed_out
                || !self.was_recovered_uncalled(message)
                || (message.calls.is_empty() && message.ended_at().is_none())
            {
                continue;
            }
            let counts = self.verdict.classes.entry(class.name.clone()).or_default();
            let uncalled = u64::from(message.calls.is_empty());
            (counts.recovered, counts.never_called) = (counts.recovered + 1, counts.never_called + uncalled);
            (recovered, never_called) = (recovered + 1, never_called + uncalled);
        }
        if recovered >= MIN_RECOVERED && 2 * never_called > recovered {
            let text = format!(
                "of {recovered} messages that restarts recovered with time left, {never_called} were never called"
            );
            self.report(Rule::NeverCalled, "all dispatchers", self.record_end, text);
        }
    }

    fn count_classes(&mut self, lost: &HashSet<String>) {
        let mut by_origin: HashMap<&str, Vec<&Message>> = HashMap::new();
        let mut origins = Vec::new();
        for id in &self.message_ids {
            let message = &self.messages[id];
            let submissions = by_origin.entry(&message.origin).or_default();
            if submissions.is_empty() {
                origins.push(&message.origin);
            }
            submissions.push(message);
        }
        for class in &self.rules.classes {
            self.verdict.classes.entry(class.name.clone()).or_default();
        }
        for origin in origins {
            let submissions = &by_origin[&**origin];
            let Some(class) = self.rules.classes.get(submissions[0].class) else { continue };
            let counts = self.verdict.classes.entry(class.name.clone()).or_default();
            counts.messages += 1;
            let accepted = || submissions.iter().filter(|message| message.is_accepted());
            counts.accepted += u64::from(accepted().next().is_some());
            counts.duplicated += submissions.iter().filter(|message| message.duplicated).count() as u64;
            let effect_total: u32 = submissions.iter().map(|message| message.effect_count.min(1)).sum();
            counts.duplicated_by_clients += u64::from(class.effect != Effect::Safe && effect_total > 1);
            let has_notice = |outcome| {
                accepted().any(|message| message.notices.iter().any(|(_, noticed, _)| *noticed == outcome))
            };
            if let Some(at) = accepted().filter_map(|message| message.delivered_at).min() {
                let latency = at.saturating_sub(submissions[0].submitted_at);
                counts.delivered += 1;
                counts.within_target += u64::from(latency <= class.target_latency);
                counts.latencies.push(latency);
            } else if has_notice(Outcome::GivenUp) {
                counts.given_up += 1;
            } else if has_notice(Outcome::HandedBack) {
                counts.handed_back += 1;
            } else if accepted().next().is_none() {
                let rejected =
                    submissions.iter().any(|message| matches!(message.response, Some((_, 429 | 503))));
                *(if rejected { &mut counts.rejected } else { &mut counts.unanswered }) += 1;
            }
        }
        for id in lost {
            if let Some(class) = self.rules.classes.get(self.messages[id].class) {
                self.verdict.classes.entry(class.name.clone()).or_default().lost += 1;
            }
        }
    }
}
