//! Judges a record by the six rules.
//!
//! It goes by what the stand-ins saw alone and shares no code with the dispatcher: what a client was answered,
//! what an endpoint received and did, what the platform told and was told. Figures come from the record's first
//! entry. Where a record leaves a doubt (an answer on its way while the other side closed), the doubt is the
//! dispatcher's for as long as [`Rules::slack`].

use crate::record::{
    CallEnd, Effect, EndpointState, Entry, Event, MessageResult, Micros, Outcome, ProcessSignal, Rules,
};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

/// Calls of one window that are let through on top of the budget of a cold place: chance, and calls on their way.
const COLD_SLACK: f64 = 3.0;
/// An answer that was written this long after another call had begun was not crossed by it.
const CROSSING: Micros = 10_000;
/// A message that a restart found untried had time left if it had so much at readiness.
const TIME_LEFT: Micros = 500_000;
/// So many of them say something; of fewer over half may be chance.
const FOUND_LEAST: u64 = 10;
/// Breaches that are kept; more are counted.
const BREACHES_KEPT: usize = 200;

/// The rules, and what every record must keep on top of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// What was taken on gets its end in time.
    Lost,
    /// One final answer, and nothing is sent after it.
    SingleAnswer,
    /// Nothing takes effect twice.
    Duplicate,
    /// Never two attempts of one message at once.
    ConcurrentAttempts,
    /// Nothing new goes to an endpoint that drains or is gone.
    Drain,
    /// A destination that comes back cold is not pushed over.
    ColdStart,
    /// Order, where a class asks for it.
    Order,
    /// A told wait is kept.
    RetryAfter,
    /// A message goes to its own destination, unchanged.
    Altered,
    /// No process ends that was not told to.
    Crash,
    /// What a restart finds taken on and untried is still tried.
    NeverCalled,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Lost => "nothing is lost",
            Rule::SingleAnswer => "one final answer",
            Rule::Duplicate => "nothing takes effect twice",
            Rule::ConcurrentAttempts => "no two attempts at once",
            Rule::Drain => "drains are kept",
            Rule::ColdStart => "a returning destination is not pushed over",
            Rule::Order => "order is kept",
            Rule::RetryAfter => "waits are heeded",
            Rule::Altered => "messages go unchanged to their own destination",
            Rule::Crash => "no dispatcher crashes",
            Rule::NeverCalled => "what a restart finds untried is tried",
        })
    }
}

/// One breach.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// The message, or what else broke it.
    pub subject: String,
    /// What happened, with times in seconds of the run.
    pub text: String,
    /// When, on the record's clock.
    pub at: Micros,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:9.3}  {}  {}: {}", seconds(self.at), self.rule, self.subject, self.text)
    }
}

/// Counts of one class. A message that is handed in again under a new id counts once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassCounts {
    /// Messages that clients had.
    pub messages: u64,
    /// Taken on under at least one id.
    pub accepted: u64,
    /// Delivered, and their clients had heard that they were taken on.
    pub delivered: u64,
    /// Those of them within the aim.
    pub within_target: u64,
    /// Ended by a notice that promises nothing, and not delivered.
    pub given_up: u64,
    /// Ended by a notice that coming again is harmless, and not delivered.
    pub handed_back: u64,
    /// Turned away each time.
    pub rejected: u64,
    /// No answer was heard, or another than taken or refused.
    pub unanswered: u64,
    /// Lost: the rule is broken.
    pub lost: u64,
    /// Took effect twice though its class forbids it, by the dispatchers' doing.
    pub duplicated: u64,
    /// Took effect under two ids, since its client had handed it in twice: no rule is broken.
    pub duplicated_by_clients: u64,
    /// Hand-ins that a later process found taken on and never called, with time left once it was ready.
    pub recovered: u64,
    /// Those of them that never were called.
    pub never_called: u64,
    /// Time from the first hand-in to the delivery of each delivered message, in microseconds.
    pub latencies: Vec<Micros>,
}

/// What a record amounts to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    /// The breaches, by time; at most so many are kept.
    pub breaches: Vec<Breach>,
    /// How many there were of each rule.
    pub breach_counts: BTreeMap<Rule, u64>,
    /// Counts by class.
    pub classes: BTreeMap<String, ClassCounts>,
    /// Calls that endpoints got, and probes.
    pub calls: u64,
    /// Probes that endpoints got.
    pub probes: u64,
    /// Messages whose end was not yet due when the record ended.
    pub open: u64,
}

impl Verdict {
    /// Whether no rule was broken.
    pub fn is_clean(&self) -> bool {
        self.breach_counts.is_empty()
    }
}

fn seconds(at: Micros) -> f64 {
    at as f64 / 1e6
}

struct Message {
    asked: Micros,
    origin: String,
    class: usize,
    dest: u32,
    key: Option<String>,
    body: u64,
    deadline: Micros,
    dispatcher: usize,
    fresh: bool,
    status: Option<(Micros, u16)>,
    left: bool,
    order: Option<String>,
    /// Its calls, by their numbers, and those of them that surely never ran.
    calls: Vec<u64>,
    never: Vec<u64>,
    /// An endpoint has told that nothing more is owed.
    over: Option<Micros>,
    /// First call that may have run: when its last byte came.
    may_have_run: Option<Micros>,
    delivered: Option<Micros>,
    notices: Vec<(Micros, Outcome, u16)>,
    effects: u32,
    doubled: bool,
}

impl Message {
    fn taken(&self) -> bool {
        matches!(self.status, Some((_, 200 | 202)))
    }

    /// When the dispatcher was done with it.
    fn ended(&self) -> Option<Micros> {
        let noticed = self.notices.first().map(|(at, ..)| *at);
        self.delivered.into_iter().chain(noticed).chain(self.over).min()
    }
}

struct Call {
    at: Micros,
    endpoint: String,
    dispatcher: usize,
    dest: u32,
    ids: Vec<String>,
    ended: Option<Micros>,
}

/// The life of one dispatcher's processes.
#[derive(Default)]
struct Lives {
    /// From a signal that ends it until it is ready again.
    restarts: Vec<(Micros, Option<Micros>)>,
    kills: Vec<Micros>,
    started: Vec<Micros>,
    ready: Vec<Micros>,
}

struct Outage {
    from: Micros,
    back: Option<Micros>,
    refusing: bool,
    informed: HashSet<usize>,
    /// Arrivals since it came back: when, and from whom.
    arrivals: Vec<(Micros, usize)>,
    judged: bool,
}

#[derive(Default)]
struct Audit {
    rules: Rules,
    messages: HashMap<String, Message>,
    /// Ids in the order of the record.
    order: Vec<String>,
    calls: HashMap<u64, Call>,
    lives: BTreeMap<usize, Lives>,
    /// When a dispatcher was told that an endpoint drains or is gone.
    drains: HashMap<(usize, String), Micros>,
    /// Changes that must be told to all by some time, where the platform spoke all the while.
    pending: Vec<(Micros, String, EndpointState)>,
    silent: bool,
    silences: Vec<(Micros, Option<Micros>)>,
    waits: HashMap<(usize, u32), Vec<(Micros, Micros)>>,
    outages: HashMap<u32, Vec<Outage>>,
    /// For order: ids taken by a dispatcher under a key of order.
    lines: HashMap<(usize, String), Vec<String>>,
    done: Micros,
    verdict: Verdict,
}

/// Judges a record.
pub fn audit(entries: &[Entry]) -> Verdict {
    let mut audit = Audit::default();
    for entry in entries {
        audit.done = audit.done.max(entry.at);
        audit.hear(entry.at, &entry.event);
    }
    audit.finish();
    audit.verdict
}

impl Audit {
    fn breach(&mut self, rule: Rule, subject: impl Into<String>, at: Micros, text: String) {
        *self.verdict.breach_counts.entry(rule).or_default() += 1;
        if self.verdict.breaches.len() < BREACHES_KEPT {
            self.verdict.breaches.push(Breach { rule, subject: subject.into(), text, at });
        }
    }

    fn effect(&self, message: &Message) -> (Effect, Micros) {
        let class = self.rules.classes.get(message.class);
        class.map_or((Effect::Unsafe, 0), |class| (class.effect, class.key_window))
    }

    fn hear(&mut self, at: Micros, what: &Event) {
        match what {
            Event::Rules(rules) => self.rules = rules.clone(),
            Event::Submitted { .. } => self.asked(at, what),
            Event::Answered { id, status } => self.answered(at, id, *status),
            Event::ClientTimedOut { id } => {
                if let Some(message) = self.messages.get_mut(id) {
                    message.left = true;
                }
            }
            Event::ConnectionLost { id } => self.dropped(at, id),
            Event::Call { call, endpoint, destination: dest, dispatcher, first_byte_at: first, items } => {
                self.verdict.calls += 1;
                self.drained(*dispatcher, endpoint, *first);
                self.waited(at, *dispatcher, *dest);
                self.arrived(at, *dispatcher, *dest);
                for item in items {
                    self.called(at, *call, endpoint, *dest, item);
                }
                let ids = items.iter().map(|item| item.id.clone()).collect();
                let (endpoint, dispatcher, dest) = (endpoint.clone(), *dispatcher, *dest);
                self.calls.insert(*call, Call { at, endpoint, dispatcher, dest, ids, ended: None });
            }
            Event::Probe { endpoint, destination: dest, dispatcher, healthy: well } => {
                self.verdict.probes += 1;
                self.drained(*dispatcher, endpoint, at);
                self.waited(at, *dispatcher, *dest);
                self.arrived(at, *dispatcher, *dest);
                if !well {
                    self.informed(at, *dispatcher, *dest);
                }
            }
            Event::MessageProcessed { call, id, took_effect: effect } => self.ran(at, *call, id, *effect),
            Event::CallEnded { call, end: how, results: fates, retry_after: wait } => {
                self.ended(at, *call, *how, fates, *wait)
            }
            Event::OutageStarted { destination: dest, refuses_connections: refusing } => {
                let outage = Outage {
                    from: at,
                    back: None,
                    refusing: *refusing,
                    informed: HashSet::new(),
                    arrivals: Vec::new(),
                    judged: false,
                };
                self.outages.entry(*dest).or_default().push(outage);
            }
            Event::OutageEnded { destination: dest } => {
                let outage = self.outages.get_mut(dest).and_then(|all| all.last_mut());
                let Some(outage) = outage.filter(|outage| outage.back.is_none()) else { return };
                outage.back = Some(at);
                if outage.refusing {
                    // No endpoint sees a refused connection. Who held messages for it meanwhile has tried.
                    let (from, slack) = (outage.from, self.rules.tolerance);
                    let held = self.messages.values().filter(|m| {
                        m.dest == *dest
                            && m.taken()
                            && m.asked + slack < at
                            && m.ended().is_none_or(|end| end > from)
                    });
                    outage.informed.extend(held.map(|m| m.dispatcher));
                }
            }
            Event::EndpointChanged { endpoint, state } => {
                self.pending.push((at, endpoint.clone(), *state));
            }
            Event::ChangeDelivered { dispatcher, endpoint, state } => {
                self.told(at, *dispatcher, endpoint, *state)
            }
            Event::PlatformSilent { silent: on } => {
                self.silent = *on;
                match on {
                    true => self.silences.push((at, None)),
                    false => self.silences.iter_mut().for_each(|s| s.1 = s.1.or(Some(at))),
                }
            }
            Event::Notice { id, outcome, status, .. } => self.noticed(at, id, *outcome, *status),
            Event::ProcessStarted { dispatcher } => {
                self.lives.entry(*dispatcher).or_default().started.push(at)
            }
            Event::ProcessReady { dispatcher } => {
                let lives = self.lives.entry(*dispatcher).or_default();
                lives.ready.push(at);
                lives.restarts.iter_mut().for_each(|restart| restart.1 = restart.1.or(Some(at)));
            }
            Event::SignalSent { dispatcher, signal } => {
                let lives = self.lives.entry(*dispatcher).or_default();
                match signal {
                    // The process that is told to stop and then killed is one restart.
                    ProcessSignal::Kill | ProcessSignal::Term => {
                        if lives.restarts.last().is_none_or(|last| last.1.is_some()) {
                            lives.restarts.push((at, None));
                        }
                        if *signal == ProcessSignal::Kill {
                            lives.kills.push(at);
                        }
                    }
                    // A process that stands still is late with all that it owes.
                    ProcessSignal::Stop => lives.restarts.push((at, None)),
                    ProcessSignal::Cont => {
                        if let Some(last) = lives.restarts.last_mut() {
                            last.1 = last.1.or(Some(at));
                        }
                    }
                    ProcessSignal::Hup => {}
                }
            }
            Event::ProcessExited { dispatcher, expected: asked } => {
                if !asked {
                    let text = "its process ended and nobody had told it to".to_string();
                    self.breach(Rule::Crash, format!("dispatcher {dispatcher}"), at, text);
                }
            }
            Event::RunEnded => {}
        }
    }

    fn asked(&mut self, at: Micros, what: &Event) {
        let Event::Submitted {
            id,
            origin,
            class,
            destination: dest,
            key,
            order,
            body_digest: body,
            deadline,
            dispatcher,
            new_connection: fresh,
        } = what
        else {
            return;
        };
        let class = self.rules.classes.iter().position(|c| c.name == *class).unwrap_or(usize::MAX);
        if let Some(message) = self.messages.get_mut(id) {
            // Once more on a new connection: the old one was closed just then.
            (message.asked, message.fresh) = (at, *fresh);
            return;
        }
        let order = order.clone().filter(|_| self.rules.classes.get(class).is_some_and(|c| c.ordered));
        if let Some(order) = &order {
            self.lines.entry((*dispatcher, order.clone())).or_default().push(id.clone());
        }
        let message = Message {
            asked: at,
            origin: origin.clone(),
            class,
            dest: *dest,
            key: key.clone(),
            body: *body,
            deadline: *deadline,
            dispatcher: *dispatcher,
            fresh: *fresh,
            status: None,
            left: false,
            order,
            calls: Vec::new(),
            never: Vec::new(),
            over: None,
            may_have_run: None,
            delivered: None,
            notices: Vec::new(),
            effects: 0,
            doubled: false,
        };
        self.messages.insert(id.clone(), message);
        self.order.push(id.clone());
    }

    fn answered(&mut self, at: Micros, id: &str, status: u16) {
        let Some(message) = self.messages.get_mut(id) else { return };
        message.status = Some((at, status));
        let refused = matches!(status, 429 | 503);
        if refused && let Some(call) = message.calls.first() {
            let call = *call;
            let text = format!("refused with {status}, but call {call} had gone out with it");
            self.breach(Rule::SingleAnswer, id, at, text);
        }
    }

    fn dropped(&mut self, at: Micros, id: &str) {
        let slack = self.rules.tolerance * 2;
        let Some(message) = self.messages.get(id) else { return };
        let (asked, dispatcher, fresh) = (message.asked, message.dispatcher, message.fresh);
        let killed = self.lives.get(&dispatcher).is_some_and(|lives| {
            lives.kills.iter().any(|kill| *kill + slack >= asked && *kill <= at + slack)
        });
        // On a kept connection the close may have crossed the request; its client sends it once more.
        if fresh && !killed {
            let text = format!(
                "asked at {:.3} on a new connection, which dispatcher {dispatcher} ended with no answer",
                seconds(asked)
            );
            self.breach(Rule::Lost, id, at, text);
        }
    }

    fn drained(&mut self, dispatcher: usize, endpoint: &str, first: Micros) {
        let limit = self.rules.drain_grace + self.rules.tolerance;
        let told = self.drains.get(&(dispatcher, endpoint.to_string())).copied();
        // Told by the clock alone, unless the platform was silent meanwhile.
        let by_clock =
            self.pending.iter().rev().find(|(_, changed, _)| changed == endpoint).and_then(|change| {
                let due = change.0 + self.rules.max_update_delay;
                let silent =
                    self.silences.iter().any(|(from, to)| *from < due && to.is_none_or(|to| to > change.0));
                (change.2 != EndpointState::Up && !silent).then_some(due)
            });
        let Some(told) = told.into_iter().chain(by_clock).min() else { return };
        if first > told + limit {
            let text = format!(
                "dispatcher {dispatcher} was told at {:.3} that it drains or is gone, and sent to it at {:.3}",
                seconds(told),
                seconds(first)
            );
            self.breach(Rule::Drain, endpoint, first, text);
        }
    }

    fn told(&mut self, at: Micros, dispatcher: usize, endpoint: &str, state: EndpointState) {
        let key = (dispatcher, endpoint.to_string());
        match state {
            EndpointState::Up => {
                self.drains.remove(&key);
                // Listed anew: what was said of it before holds no longer.
                self.pending.retain(|(changed, name, _)| name != endpoint || *changed > at);
            }
            EndpointState::Draining | EndpointState::Removed => {
                self.drains.entry(key).or_insert(at);
            }
        }
    }

    fn waited(&mut self, at: Micros, dispatcher: usize, dest: u32) {
        let started =
            self.lives.get(&dispatcher).and_then(|lives| lives.started.last()).copied().unwrap_or(0);
        let grace = self.rules.retry_after_grace + self.rules.tolerance;
        let Some(waits) = self.waits.get_mut(&(dispatcher, dest)) else { return };
        waits.retain(|(told, until)| *until > at && *told >= started);
        let Some((told, until)) = waits.iter().find(|(told, _)| at > *told + grace).copied() else { return };
        let text = format!(
            "dispatcher {dispatcher} was told at {:.3} to wait until {:.3}, and called at {:.3}",
            seconds(told),
            seconds(until),
            seconds(at)
        );
        self.breach(Rule::RetryAfter, format!("destination {dest}"), at, text);
    }

    /// A call or probe that pushes a place that may be cold.
    fn arrived(&mut self, at: Micros, dispatcher: usize, dest: u32) {
        let rules = &self.rules;
        let Some(capacity) = rules.capacities.iter().find(|p| p.destination == dest).map(|p| p.capacity)
        else {
            return;
        };
        let Some(outage) = self.outages.get_mut(&dest).and_then(|all| all.last_mut()) else { return };
        let Some(back) = outage.back else { return };
        if at > back + rules.warm_up || outage.judged {
            return;
        }
        outage.arrivals.push((at, dispatcher));
        // Over the window that ends now, or the first one where less time has passed.
        let from = at.saturating_sub(rules.overload_time).max(back);
        let present = |at: Micros| {
            let warm = (at - back) as f64 / rules.warm_up as f64;
            capacity * (rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * warm.min(1.0))
        };
        let mean = (present(from) + present(from + rules.overload_time)) / 2.0;
        let budget = rules.overload_multiple * mean * seconds(rules.overload_time) + COLD_SLACK;
        let window = || outage.arrivals.iter().filter(|(at, _)| *at >= from);
        let pushed = window().count();
        let informed = window().filter(|(_, from)| outage.informed.contains(from)).count();
        if pushed as f64 > budget && 3 * informed >= 2 * pushed {
            outage.judged = true;
            let text = format!(
                "back at {:.3}, it got {pushed} calls from {:.3} to {:.3}, {informed} of them from dispatchers \
                 that had seen it fail; its budget there is {budget:.1}",
                seconds(back),
                seconds(from),
                seconds(at)
            );
            self.breach(Rule::ColdStart, format!("destination {dest}"), at, text);
        }
    }

    fn informed(&mut self, at: Micros, dispatcher: usize, dest: u32) {
        if let Some(outage) = self.outages.get_mut(&dest).and_then(|all| all.last_mut())
            && outage.back.is_none()
            && at >= outage.from
        {
            outage.informed.insert(dispatcher);
        }
    }

    fn called(&mut self, at: Micros, call: u64, endpoint: &str, dest: u32, item: &crate::record::Item) {
        let Some(message) = self.messages.get(&item.id) else {
            let text = format!("call {call} to {endpoint} holds an id that no client had handed in");
            return self.breach(Rule::Altered, &item.id, at, text);
        };
        let (effect, window) = self.effect(message);
        let slack = self.rules.tolerance;
        let mut found = Vec::new();
        if dest != message.dest {
            let text =
                format!("for destination {}, sent to {endpoint} of {dest} in call {call}", message.dest);
            found.push((Rule::Altered, text));
        }
        if item.key != message.key || item.body_digest != message.body {
            found.push((Rule::Altered, format!("its key or body was changed in call {call} to {endpoint}")));
        }
        if let Some((when, status @ (429 | 503))) = message.status {
            let text = format!("refused with {status} at {:.3}, but sent in call {call}", seconds(when));
            found.push((Rule::SingleAnswer, text));
        }
        if let Some((when, outcome, _)) =
            message.notices.iter().find(|(when, _, status)| *status == 204 && at > *when + slack)
        {
            let text = format!("ended by {outcome:?} at {:.3}, but sent in call {call}", seconds(*when));
            found.push((Rule::SingleAnswer, text));
        }
        if let Some(first) = message.may_have_run {
            match effect {
                Effect::Unsafe => {
                    let text = format!(
                        "not to be repeated, it may have run at {:.3}, and went out again in call {call} to {endpoint}",
                        seconds(first)
                    );
                    found.push((Rule::Duplicate, text));
                }
                Effect::Keyed if at > first + window + slack => {
                    let text = format!(
                        "its key is remembered for {:.1} s from {:.3}, and it went out again in call {call} to {endpoint}",
                        seconds(window),
                        seconds(first)
                    );
                    found.push((Rule::Duplicate, text));
                }
                Effect::Keyed | Effect::Safe => {}
            }
        }
        let doubled = found.iter().any(|(rule, _)| *rule == Rule::Duplicate);
        for (rule, text) in found {
            self.breach(rule, &item.id, at, text);
        }
        self.in_turn(at, call, &item.id);
        if let Some(message) = self.messages.get_mut(&item.id) {
            message.calls.push(call);
            message.doubled |= doubled;
            // Until its end shows that it never ran.
            message.may_have_run = message.may_have_run.or(Some(at));
        }
    }

    /// Order: no call while one that was taken earlier under the same key is not over.
    fn in_turn(&mut self, at: Micros, call: u64, id: &str) {
        let Some(message) = self.messages.get(id) else { return };
        let Some(order) = message.order.clone() else { return };
        let line = self.lines.get(&(message.dispatcher, order)).map_or(&[][..], |line| &line[..]);
        let before = line.iter().take_while(|other| *other != id);
        let before =
            before.filter(|other| self.messages[*other].taken() && self.messages[*other].ended().is_none());
        let before = before.last();
        if let Some(before) = before.cloned() {
            let text =
                format!("sent in call {call} while {before}, taken earlier under its key, was not over");
            self.breach(Rule::Order, id, at, text);
        }
    }

    fn ran(&mut self, at: Micros, call: u64, id: &str, effect: bool) {
        let Some(message) = self.messages.get_mut(id) else { return };
        message.effects += u32::from(effect);
        let (count, doubled) = (message.effects, message.doubled);
        let (class, _) =
            self.rules.classes.get(message.class).map_or((Effect::Unsafe, 0), |c| (c.effect, c.key_window));
        if effect && count > 1 && class != Effect::Safe && !doubled {
            message.doubled = true;
            let text = format!("took effect {count} times, the last time in call {call}");
            self.breach(Rule::Duplicate, id, at, text);
        }
    }

    fn ended(
        &mut self, at: Micros, number: u64, how: CallEnd, fates: &[MessageResult], wait: Option<Micros>,
    ) {
        let Some(call) = self.calls.get_mut(&number) else { return };
        if call.ended.is_some() {
            return;
        }
        call.ended = Some(at);
        let (begun, dispatcher, dest, ids) = (call.at, call.dispatcher, call.dest, call.ids.clone());
        if let Some(wait) = wait {
            self.waits.entry((dispatcher, dest)).or_default().push((at, at + wait));
        }
        let failed = !matches!(how, CallEnd::Answered(200) | CallEnd::Truncated(200) | CallEnd::Closed);
        if failed {
            self.informed(at, dispatcher, dest);
        }
        // Given up for want of an answer.
        if how == CallEnd::Closed && at > begun + self.rules.tolerance {
            self.informed(at, dispatcher, dest);
        }
        for (i, id) in ids.iter().enumerate() {
            let fate = match (how, fates.get(i)) {
                (CallEnd::Answered(200), Some(fate)) if ids.len() > 1 => *fate,
                (CallEnd::Answered(200), None) if ids.len() > 1 => MessageResult::Failed,
                // A first line with 200 is true of the one message that it answers.
                (CallEnd::Answered(200) | CallEnd::Truncated(200), _) if ids.len() == 1 => {
                    MessageResult::Delivered
                }
                (CallEnd::Answered(429 | 503 | 400 | 413), _) => MessageResult::Rejected,
                (CallEnd::Answered(504), _) => MessageResult::AttemptsExhausted,
                (CallEnd::Answered(410), _) => MessageResult::Expired,
                _ => MessageResult::Failed,
            };
            self.settle(at, number, id, fate);
            self.crossed(at, number, id, how);
        }
    }

    fn settle(&mut self, at: Micros, number: u64, id: &str, fate: MessageResult) {
        let calls = &self.calls;
        let Some(message) = self.messages.get_mut(id) else { return };
        match fate {
            MessageResult::Delivered => message.delivered = message.delivered.or(Some(at)),
            // Nothing is owed any more.
            MessageResult::Expired => {
                message.over = message.over.or(Some(at));
                message.never.push(number);
            }
            MessageResult::Failed => {}
            MessageResult::Rejected | MessageResult::AttemptsExhausted => {
                // It never ran: what may have run is the first of the others.
                message.never.push(number);
                let others = message.calls.iter().filter(|other| !message.never.contains(other));
                message.may_have_run = others.filter_map(|other| calls.get(other)).map(|call| call.at).min();
            }
        }
    }

    /// Whether another call of the message had begun well before this one ended.
    fn crossed(&mut self, at: Micros, number: u64, id: &str, how: CallEnd) {
        let Some(message) = self.messages.get(id) else { return };
        // The dispatcher's own close takes its time to be seen, and an answer may cross it.
        let limit = if how == CallEnd::Closed { self.rules.tolerance } else { CROSSING };
        let Some(begun) = self.calls.get(&number).map(|call| call.at) else { return };
        let other = message.calls.iter().filter(|other| **other != number).find_map(|other| {
            let call = self.calls.get(other)?;
            (call.at >= begun && call.at + limit < at).then_some((*other, call.at, call.endpoint.clone()))
        });
        if let Some((other, when, endpoint)) = other {
            let text = format!(
                "call {other} to {endpoint} began at {:.3}, while call {number} was out until {:.3}",
                seconds(when),
                seconds(at)
            );
            self.breach(Rule::ConcurrentAttempts, id, at, text);
        }
    }

    fn noticed(&mut self, at: Micros, id: &str, outcome: Outcome, status: u16) {
        let Some(message) = self.messages.get_mut(id) else { return };
        let other =
            message.notices.iter().find(|(_, told, status)| *told != outcome && *status != 0).copied();
        message.notices.push((at, outcome, status));
        let ran = message.may_have_run;
        let message = &self.messages[id];
        let (effect, _) = self.effect(message);
        if let Some((when, told, _)) = other {
            let text = format!("ended by {told:?} at {:.3} and by {outcome:?} once more", seconds(when));
            self.breach(Rule::SingleAnswer, id, at, text);
        }
        if let (Outcome::HandedBack, Effect::Unsafe, Some(ran)) = (outcome, effect, ran) {
            let text = format!(
                "handed back as harmless to repeat, though it may have run at {:.3} and must not be",
                seconds(ran)
            );
            self.breach(Rule::Duplicate, id, at, text);
        }
    }

    /// Until when the end of a message may come: no notice is overdue while its dispatcher restarts.
    fn due(&self, message: &Message) -> Micros {
        let rules = &self.rules;
        let mut due = message.deadline + rules.answer_grace + rules.tolerance;
        let Some(lives) = self.lives.get(&message.dispatcher) else { return due };
        for (from, ready) in &lives.restarts {
            let until = ready.map_or(Micros::MAX, |ready| ready + rules.restart_grace + rules.tolerance);
            if *from <= due && until > due {
                due = until;
            }
        }
        due
    }

    fn finish(&mut self) {
        // Calls that were still out when others of the same message had begun.
        let mut out: Vec<_> = self.calls.iter().filter(|(_, call)| call.ended.is_none()).collect();
        out.sort_by_key(|(number, _)| **number);
        let out: Vec<_> = out.into_iter().map(|(number, call)| (*number, call.ids.clone())).collect();
        for (number, ids) in out {
            ids.iter().for_each(|id| self.crossed(self.done, number, id, CallEnd::Closed));
        }
        let mut found = Vec::new();
        let mut lost = HashSet::new();
        for id in &self.order {
            let message = &self.messages[id];
            if !message.taken() {
                continue;
            }
            let due = self.due(message);
            match message.ended() {
                Some(end) if end <= due => {}
                None if due > self.done => self.verdict.open += 1,
                end => {
                    let end = end
                        .map_or("nothing came".into(), |end| format!("its end came at {:.3}", seconds(end)));
                    let text = format!(
                        "taken by dispatcher {} at {:.3}, its end was due by {:.3}; {end}",
                        message.dispatcher,
                        seconds(message.status.map_or(message.asked, |(at, _)| at)),
                        seconds(due)
                    );
                    found.push((id.clone(), due, text));
                    lost.insert(id.clone());
                }
            }
        }
        for (id, at, text) in found {
            self.breach(Rule::Lost, id, at, text);
        }
        self.tally(&lost);
        self.untried();
        self.verdict.breaches.sort_by_key(|breach| breach.at);
    }

    /// Whether a process that began later found the message taken on and never called, with time left.
    fn found(&self, message: &Message) -> bool {
        let Some((taken, _)) = message.status.filter(|_| message.taken()) else { return false };
        let Some(lives) = self.lives.get(&message.dispatcher) else { return false };
        let called = message.calls.iter().filter_map(|call| self.calls.get(call)).map(|call| call.at).min();
        lives.started.iter().any(|started| {
            let ready = lives.ready.iter().find(|ready| *ready > started);
            taken < *started
                && called.is_none_or(|called| called > *started)
                && message.ended().is_none_or(|end| end > *started)
                && ready.is_some_and(|ready| ready + TIME_LEFT < message.deadline)
        })
    }

    fn untried(&mut self) {
        let (mut found, mut untried) = (0, 0);
        for id in &self.order {
            let message = &self.messages[id];
            let Some(class) = self.rules.classes.get(message.class) else { continue };
            // Its client broke off, or the record ends before its time does: nobody can say.
            if message.left || !self.found(message) || (message.calls.is_empty() && message.ended().is_none())
            {
                continue;
            }
            let tally = self.verdict.classes.entry(class.name.clone()).or_default();
            let never = u64::from(message.calls.is_empty());
            (tally.recovered, tally.never_called) = (tally.recovered + 1, tally.never_called + never);
            (found, untried) = (found + 1, untried + never);
        }
        if found >= FOUND_LEAST && 2 * untried > found {
            let text = format!("of {found} that restarts found with time left, {untried} were never called");
            self.breach(Rule::NeverCalled, "all dispatchers", self.done, text);
        }
    }

    fn tally(&mut self, lost: &HashSet<String>) {
        let mut origins: HashMap<&str, Vec<&Message>> = HashMap::new();
        let mut firsts = Vec::new();
        for id in &self.order {
            let message = &self.messages[id];
            let ids = origins.entry(&message.origin).or_default();
            if ids.is_empty() {
                firsts.push(&message.origin);
            }
            ids.push(message);
        }
        for class in &self.rules.classes {
            self.verdict.classes.entry(class.name.clone()).or_default();
        }
        for origin in firsts {
            let ids = &origins[&**origin];
            let Some(class) = self.rules.classes.get(ids[0].class) else { continue };
            let tally = self.verdict.classes.entry(class.name.clone()).or_default();
            tally.messages += 1;
            let taken = || ids.iter().filter(|m| m.taken());
            tally.accepted += u64::from(taken().next().is_some());
            tally.duplicated += ids.iter().filter(|m| m.doubled).count() as u64;
            let effects: u32 = ids.iter().map(|m| m.effects.min(1)).sum();
            tally.duplicated_by_clients += u64::from(class.effect != Effect::Safe && effects > 1);
            let told = |outcome| taken().any(|m| m.notices.iter().any(|(_, told, _)| *told == outcome));
            if let Some(at) = taken().filter_map(|m| m.delivered).min() {
                let latency = at.saturating_sub(ids[0].asked);
                tally.delivered += 1;
                tally.within_target += u64::from(latency <= class.target_latency);
                tally.latencies.push(latency);
            } else if told(Outcome::GivenUp) {
                tally.given_up += 1;
            } else if told(Outcome::HandedBack) {
                tally.handed_back += 1;
            } else if taken().next().is_none() {
                let refused = ids.iter().any(|m| matches!(m.status, Some((_, 429 | 503))));
                *(if refused { &mut tally.rejected } else { &mut tally.unanswered }) += 1;
            }
        }
        for id in lost {
            if let Some(class) = self.rules.classes.get(self.messages[id].class) {
                self.verdict.classes.entry(class.name.clone()).or_default().lost += 1;
            }
        }
    }
}
