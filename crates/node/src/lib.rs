//! One dispatcher on sockets: feeds the decisions of the library and carries them out.
//!
//! All runs on one thread. What happens goes into one queue; once a tick the queue goes to the decisions,
//! and what they ask for is done. Nothing is decided here.

mod calls;
mod clients;
mod config;
mod control;
mod counts;
mod directory;
mod discovery;
mod gate;
mod handover;
mod inherited;
mod intake;
mod log;
mod wire;

mod space;

use calls::{Call, CallEnd, Item, Pool};
use clients::Clients;
use config::Config;
use directory::Directory;
use fawnspoke_control::door;
use fawnspoke_control::figures::{End, Figures};
use fawnspoke_handover::lock::Lock;
use fawnspoke_journal::plan::{self, Limits};
use fawnspoke_journal::{
    Durability, Journal, Level, Notice, Options, Recovery, Start, UNKNOWN_ZONE, UnixMicros,
};
use gate::{Gate, Phase};
use handover::{After, Rest, Told};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Command, ExitCode};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep_until;
use waydoor::{
    Action, AttemptEnd, DestinationId, Dispatcher, Effect, EndpointId, Event, Message, MessageId, Outcome,
    Seconds,
};

/// From SIGTERM on: no call may be out later than this ...
const CALLS_END: Seconds = 3.0;
/// ... and the process ends by then, before the platform kills it.
const EXIT: Seconds = 3.3;
/// New connections come for up to 0.4 s; no sooner than this the process ends.
const EXIT_LEAST: Seconds = 0.8;

/// What passed is told so often.
const COUNT_EVERY: Seconds = 1.0;

/// Less is no clock that was set back, but one that is read by two processes; in microseconds.
const CLOCK_SLACK: u64 = 1000;

/// The customer of a message is not told or has no share.
const NO_TENANT: usize = usize::MAX;

/// Messages that are over and remembered as such, some 200 KB: a client that comes again does so within seconds.
const ENDS: usize = 4096;

/// What the round loop hears of.
enum Input {
    Event(Event),
    /// The client was told that the message is taken.
    Taken {
        number: u64,
    },
    Ended {
        endpoint: EndpointId,
        sent_at: Seconds,
        end: CallEnd,
    },
}

/// What the parts of the dispatcher share.
struct Node {
    config: Config,
    started: Instant,
    /// Microseconds by which the system's clock is behind the latest time that an earlier life saw.
    behind: u64,
    inbox: UnboundedSender<Input>,
    dispatcher: RefCell<Dispatcher>,
    journal: RefCell<Journal>,
    directory: RefCell<Directory>,
    pool: Pool,
    counts: counts::Counts,
    /// What operators are shown.
    figures: Arc<Figures>,
    /// What operators have ordered.
    control: control::Control,
    /// Where discovery is now; a new configuration may move it.
    discovery: watch::Sender<SocketAddr>,
    /// Taken in the journal, but the 202 is not written yet.
    unheard: RefCell<HashSet<u64>>,
    clients: Clients,
    /// Calls begun of which not all is done yet, and those of them that may have a connection open.
    calls_out: Cell<usize>,
    calls_open: Cell<usize>,
    closing: Cell<bool>,
    /// A notice is owed.
    notices: Notify,
    /// The watch is to begin anew.
    resubscribe: Notify,
    /// Idle connections of clients close.
    stopping: Notify,
    listener: Rc<TcpListener>,
    /// Whether this process serves, or hands over.
    gate: Gate,
    /// Who holds it owns the folder that lasts.
    lock: RefCell<Option<Lock>>,
    /// Shared by all processes that may have calls out.
    calls_lock: RefCell<Option<Lock>>,
    /// Where a process comes that is to take over.
    doorstep: handover::Doorstep,
    /// What goes over to it.
    rest: UnboundedSender<handover::Rest>,
    /// Calls that are out break off: all of them, ...
    cut: Notify,
    /// ... or that of one message.
    breaks: RefCell<HashMap<u64, Rc<Notify>>>,
    /// The decisions' state came from the process before.
    adopted: bool,
}

/// The system's clock. What is journaled goes by [`Node::unix_now`].
fn clock() -> UnixMicros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as UnixMicros)
}

impl Node {
    fn now(&self) -> Seconds {
        self.started.elapsed().as_secs_f64()
    }

    fn send(&self, input: Input) {
        // The loop that reads it lives as long as the process.
        let _ = self.inbox.send(input);
    }

    /// Breaks off all calls; when this returns none has a connection open.
    async fn cut_calls(&self) {
        while self.calls_open.get() > 0 {
            self.cut.notify_waiters();
            tokio::task::yield_now().await;
        }
    }

    /// Gives something to the process that has taken over.
    fn hand(&self, rest: handover::Rest) {
        let _ = self.rest.send(rest);
    }

    fn tell(&self, event: Event) {
        self.send(Input::Event(event));
    }

    /// A record that could not be written is in memory all the same; the next life will know less.
    fn record(&self, written: std::io::Result<()>) {
        if let Err(error) = written {
            log::line(format_args!("journal: {error}"));
        }
    }

    /// Unix time that never falls behind what an earlier life saw: a clock that was set back between two lives
    /// lets no message's time grow. How long this dispatcher was down can't be known then; it counts as no time.
    fn unix_now(&self) -> UnixMicros {
        clock().saturating_add(self.behind)
    }

    /// A point of Unix time on the decisions' clock.
    fn seconds(&self, at: UnixMicros) -> Seconds {
        self.now() + (at as f64 - self.unix_now() as f64) / 1e6
    }

    fn come_back(&self, destination: DestinationId) -> Seconds {
        let at = self.dispatcher.borrow().come_back(self.now(), destination);
        at.min(self.config.max_retry_after)
    }

    /// A message that was taken has ended.
    fn count_end(&self, number: u64, end: End) {
        let journal = self.journal.borrow();
        let Some(kept) = journal.get(number) else { return };
        if let Some(class) = self.config.classes.iter().position(|class| *class == kept.handed.class) {
            self.figures.ended(class, end);
        }
    }

    /// The customer of a name, where that one has a share.
    fn tenant(&self, name: &str) -> Option<usize> {
        self.config.tenants.iter().position(|known| known == name)
    }

    fn message(&self, number: u64) -> Option<Message> {
        let journal = self.journal.borrow();
        let handed = &journal.get(number)?.handed;
        // A class that is no longer configured is one that the decisions do not know either.
        let class = self.config.classes.iter().position(|class| *class == handed.class);
        let customer = handed.customer.as_ref();
        Some(Message {
            id: MessageId(number),
            class: class.unwrap_or(usize::MAX),
            destination: DestinationId(handed.dest),
            deadline: self.seconds(handed.deadline),
            key: None,
            tenant: customer.and_then(|(name, _)| self.tenant(name)).unwrap_or(NO_TENANT),
            over_share: Some(customer.is_some_and(|(_, share)| share.over)),
        })
    }

    /// When and where a call was sent that may have run. Where keys are kept by zone and nobody knows the zone any
    /// more, no endpoint can be trusted to know the key: it is as if its time were over.
    fn first_run(&self, class: usize, start: Start) -> (Seconds, u16) {
        let effect = self.config.settings.classes.get(class).map(|class| class.effect);
        let lost = start.zone == UNKNOWN_ZONE && matches!(effect, Some(Effect::Keyed { by_zone: true, .. }));
        (if lost { f64::NEG_INFINITY } else { self.seconds(start.at) }, start.zone)
    }

    /// Takes up what an earlier process left.
    fn resume(&self) {
        let journal = self.journal.borrow();
        let open: Vec<_> = journal.iter().filter(|(_, kept)| kept.notice.is_none()).collect();
        println!("journal: {} messages and {} notices taken up", open.len(), journal.owed(usize::MAX).len());
        for destination in journal.outages().filter(|_| !self.adopted) {
            self.tell(Event::Remembered(DestinationId(destination)));
        }
        for Level { customer, left, at } in journal.levels().filter(|_| !self.adopted) {
            let Some(tenant) = self.tenant(&customer) else { continue };
            self.tell(Event::Counted { tenant, left: f64::from(left) / 1000.0, at: self.seconds(at) });
        }
        for (number, kept) in open {
            // What came with the decisions' state is known there.
            if self.dispatcher.borrow().holds(MessageId(number)) {
                continue;
            }
            let Some(message) = self.message(number) else { continue };
            self.tell(Event::Resumed {
                message,
                taken: self.seconds(kept.handed.taken),
                attempts: kept.attempts,
                may_have_run: kept.may_have_run.map(|start| self.first_run(message.class, start)),
            });
        }
    }
}

/// Hands one input to the decisions.
fn hear(node: &Node, now: Seconds, input: Input) {
    let mut dispatcher = node.dispatcher.borrow_mut();
    match input {
        Input::Event(event) => dispatcher.handle(now, event),
        Input::Taken { number } => {
            if let Some(message) = node.message(number) {
                node.counts.count(message.destination.0, |count| count.taken += 1);
                dispatcher.handle(now, Event::Taken(message));
            }
        }
        Input::Ended { endpoint, sent_at, end } => {
            let CallEnd { ends, wait, allowance, reused, kept } = end;
            let latency = now - sent_at;
            for end in ends {
                let calls::End { number, attempt, outcome, closed } = end;
                let id = MessageId(number);
                dispatcher.handle(
                    now,
                    Event::Ended(AttemptEnd {
                        id,
                        endpoint,
                        attempt,
                        outcome,
                        wait,
                        closed,
                        latency,
                        allowance,
                        reused,
                        kept,
                    }),
                );
            }
        }
    }
}

/// Records how a call ended as soon as that is known, then tells the round loop.
fn call_ended(node: &Node, endpoint: EndpointId, dest: u32, sent_at: Seconds, end: CallEnd) {
    for end in end.ends.iter().filter(|end| end.outcome == Outcome::Served) {
        node.count_end(end.number, End::Fulfilled);
    }
    {
        let mut journal = node.journal.borrow_mut();
        for end in &end.ends {
            let never = matches!(
                end.outcome,
                Outcome::Full | Outcome::NoConnection | Outcome::Moot | Outcome::Rejected
            );
            node.record(match end.closed {
                true => journal.over(end.number),
                false => journal.ended(end.number, !never),
            });
        }
    }
    node.counts.ended(dest, &end);
    node.send(Input::Ended { endpoint, sent_at, end });
}

/// Makes a call, and sees to it that its end is known to whoever owns by then.
async fn make_call(node: Rc<Node>, call: Call, sent_at: Seconds) {
    let one = call.items.first().filter(|_| call.items.len() == 1).map(|item| item.number);
    let broken_off = Rc::new(Notify::new());
    one.inspect(|number| drop(node.breaks.borrow_mut().insert(*number, broken_off.clone())));
    let ended = |outcome: Outcome| {
        let end =
            |item: &Item| calls::End { number: item.number, attempt: item.attempt, outcome, closed: false };
        CallEnd::bare(call.items.iter().map(end).collect(), false)
    };
    let (mut end, cut) = tokio::select! {
        end = calls::call(&node, &call) => (end, false),
        () = broken_off.notified() => (ended(Outcome::Cancelled), false),
        () = node.cut.notified() => (ended(Outcome::Reset), true),
    };
    node.calls_open.set(node.calls_open.get() - 1);
    one.inspect(|number| drop(node.breaks.borrow_mut().remove(number)));
    let (endpoint, dest) = (call.endpoint, call.dest);
    match node.gate.settled().await {
        Phase::Over if cut => {}
        Phase::Over => {
            // Its connection stays behind.
            end.kept = false;
            node.hand(Rest::Told(Told::Call { endpoint: endpoint.0, dest, sent_at, end }));
        }
        _ => call_ended(&node, endpoint, dest, sent_at, end),
    }
    node.calls_out.set(node.calls_out.get() - 1);
}

/// The sends of one round, as calls: those to one endpoint share a call as far as its kind allows.
#[derive(Default)]
struct Calls {
    calls: Vec<Call>,
    /// The call with room for more, by endpoint and by whether its messages may never run twice: those are waited
    /// for, and a call has one time-out.
    open: BTreeMap<(EndpointId, bool), usize>,
}

impl Calls {
    fn add(&mut self, node: &Node, number: u64, endpoint: EndpointId, timeout: Seconds, alone: bool) {
        let mut journal = node.journal.borrow_mut();
        let Some(kept) = journal.get(number) else { return };
        let item = Item { number, attempt: kept.attempts, handed: kept.handed.clone() };
        let place = node.directory.borrow().place(endpoint).filter(|p| p.dest == item.handed.dest);
        let zone = place.map_or(0, |place| place.zone);
        // On record before its first byte, or a call might run that no later life knows of.
        let recorded = journal.started(number, Start { at: node.unix_now(), zone });
        let (Some(place), Ok(())) = (place, &recorded) else {
            node.record(recorded.and(journal.ended(number, false)));
            let ends =
                vec![calls::End { number, attempt: item.attempt, outcome: Outcome::Moot, closed: false }];
            let end = CallEnd::bare(ends, false);
            node.send(Input::Ended { endpoint, sent_at: node.now(), end });
            return;
        };
        let batch = node.config.settings.kinds.get(place.kind).map_or(1, |kind| kind.batch);
        let class = node.config.classes.iter().position(|class| *class == item.handed.class);
        let effect =
            class.and_then(|class| node.config.settings.classes.get(class)).map(|class| class.effect);
        let alike = (endpoint, effect == Some(Effect::Unsafe));
        if !alone
            && let Some(call) = self.open.get(&alike).and_then(|at| self.calls.get_mut(*at))
            && call.items.len() < batch
        {
            call.items.push(item);
            call.timeout = call.timeout.min(timeout);
            return;
        }
        if !alone {
            self.open.insert(alike, self.calls.len());
        }
        self.calls.push(Call { endpoint, at: place.dial, dest: place.dest, items: vec![item], timeout });
    }
}

/// Carries out what the decisions ask for.
fn act(node: &Rc<Node>, now: Seconds, actions: &[Action], timer: &mut Option<(u32, Seconds)>) {
    let mut sends = Calls::default();
    for action in actions {
        match action {
            Action::Send { id, endpoint, timeout, alone } => {
                sends.add(node, id.0, *endpoint, *timeout, *alone);
            }
            Action::Refuse(id) => {
                let dest = node.journal.borrow().get(id.0).map(|kept| DestinationId(kept.handed.dest));
                dest.inspect(|dest| node.counts.count(dest.0, |count| count.back += 1));
                let retry_in_ms = dest.map_or(0.0, |dest| node.come_back(dest) * 1000.0).ceil() as u64;
                node.count_end(id.0, End::Throttled);
                end(node, id.0, Notice::HandedBack { retry_in_ms });
            }
            Action::Fail(id) => {
                let dest = node.journal.borrow().get(id.0).map(|kept| kept.handed.dest);
                dest.inspect(|dest| node.counts.count(*dest, |count| count.given_up += 1));
                node.count_end(id.0, End::Faulted);
                end(node, id.0, Notice::GivenUp);
            }
            Action::SetTimer { token, at } => *timer = Some((*token, *at)),
            Action::BreakOff { id, .. } => {
                if let Some(out) = node.breaks.borrow().get(&id.0) {
                    out.notify_one();
                }
            }
            Action::Probe(endpoint) => {
                let (node, endpoint) = (node.clone(), *endpoint);
                if let Some(place) = node.directory.borrow().place(endpoint) {
                    node.counts.count(place.dest, |count| count.probes += 1);
                }
                spawn_local(async move {
                    let (outcome, allowance) = calls::probe(&node, endpoint).await;
                    let latency = node.now() - now;
                    match node.gate.settled().await {
                        Phase::Over => {
                            let endpoint = endpoint.0;
                            node.hand(Rest::Told(Told::Probe { endpoint, outcome, latency, allowance }));
                        }
                        _ => node.tell(Event::Probed { endpoint, outcome, latency, allowance }),
                    }
                });
            }
            Action::CloseIdle(endpoint) => {
                node.pool.close(*endpoint);
            }
            Action::Subscribe => node.resubscribe.notify_one(),
            Action::Remember { destination, out } => {
                node.record(node.journal.borrow_mut().outage(destination.0, *out));
            }
            Action::Note(text) => println!("{now:.3} {text}"),
        }
    }
    for call in sends.calls {
        node.counts.count(call.dest, |count| {
            count.calls += 1;
            count.messages += call.items.len() as u64;
        });
        node.calls_out.set(node.calls_out.get() + 1);
        node.calls_open.set(node.calls_open.get() + 1);
        spawn_local(make_call(node.clone(), call, now));
    }
}

fn end(node: &Node, number: u64, notice: Notice) {
    node.record(node.journal.borrow_mut().owe(number, notice));
    node.notices.notify_one();
}

/// Reads the configuration anew at each SIGHUP. Discovery's address is followed at once; all else is what
/// this process was started with. A file that is no configuration changes nothing.
async fn reload(node: Rc<Node>, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        match Config::from_environment() {
            Ok(config) => {
                let kept = node.config.differences(&config);
                let kept = if kept.is_empty() {
                    String::new()
                } else {
                    format!("; restart for {}", kept.join(", "))
                };
                println!("configuration read anew: discovery at {}{kept}", config.discovery);
                node.discovery
                    .send_if_modified(|at| std::mem::replace(at, config.discovery) != config.discovery);
            }
            Err(error) => println!("configuration not read, the old one stays: {error}"),
        }
    }
}

/// The signals that the process heeds. They are asked for before clients can know of it.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn heed() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// What the rounds hear from outside of them.
struct Ears {
    inbox: UnboundedReceiver<Input>,
    terminate: Signal,
    interrupt: Signal,
    /// Processes that are to take over.
    asked: UnboundedReceiver<handover::Asked>,
    rest: UnboundedReceiver<handover::Rest>,
}

/// What the process does when the rounds have ended.
enum Finish {
    End,
    /// It begins anew.
    Again,
}

/// Rounds, until the process is told to stop and has nothing out any more, or another one has taken over.
async fn rounds(node: Rc<Node>, ears: Ears) -> Finish {
    let Ears { mut inbox, mut terminate, mut interrupt, mut asked, mut rest } = ears;
    let tick = Duration::from_secs_f64(node.config.tick);
    let at = |seconds: Seconds| -> tokio::time::Instant {
        (node.started + Duration::from_secs_f64(seconds.clamp(0.0, 1e9))).into()
    };
    let mut timer = None;
    let mut sweep_at = 0.0;
    let mut space = space::Space::default();
    let mut told_at = None;
    let mut counted_at = 0.0;
    let mut actions = Vec::new();
    loop {
        let due = timer.map_or(sweep_at, |(_, at): (u32, Seconds)| at.min(sweep_at));
        let mut stop = false;
        let mut taker = None;
        let first = tokio::select! {
            Some(asks) = asked.recv() => { taker = Some(asks); None }
            input = inbox.recv() => input,
            () = sleep_until(at(due)) => None,
            _ = terminate.recv() => { stop = true; None }
            _ = interrupt.recv() => { stop = true; None }
        };
        // What happens within a tick is one round.
        let next = (node.started.elapsed().as_nanos() / tick.as_nanos() + 1) * tick.as_nanos();
        sleep_until((node.started + Duration::from_nanos(next as u64)).into()).await;
        if let Some(taker) = taker {
            let stopping = told_at.is_some();
            std::iter::from_fn(|| inbox.try_recv().ok()).for_each(|input| hear(&node, node.now(), input));
            let signals = (&mut terminate, &mut interrupt);
            match handover::give(&node, stopping, taker, &mut asked, signals, &mut rest).await {
                After::Resumed { stopping } => stop |= stopping,
                After::Ended => return Finish::End,
                After::Restart => return Finish::Again,
            }
        }
        let now = node.now();
        if stop && told_at.is_none() {
            println!("{now:.3} told to stop");
            told_at = Some(now);
            node.closing.set(true);
            node.figures.set_ready(false);
            node.dispatcher.borrow_mut().handle(now, Event::Closing(now + CALLS_END));
        }
        let rest = std::iter::from_fn(|| inbox.try_recv().ok());
        first.into_iter().chain(rest).for_each(|input| hear(&node, now, input));
        if let Some((token, _)) = timer.take_if(|(_, at)| *at <= now) {
            node.dispatcher.borrow_mut().handle(now, Event::Timer(token));
        }
        actions.clear();
        node.dispatcher.borrow_mut().decide(now, &mut actions);
        act(&node, now, &actions, &mut timer);
        space.work(&node);
        node.figures.set(control::gauges(&node));
        if now >= counted_at + COUNT_EVERY {
            counted_at = now;
            let journal = node.journal.borrow();
            let open = journal.iter().filter(|(_, kept)| kept.notice.is_none());
            let ages = open.map(|(_, kept)| (kept.handed.dest, -node.seconds(kept.handed.taken) + now));
            node.counts.line(now, ages).inspect(|line| log::line(line));
        }
        if now >= sweep_at {
            sweep_at = now + if told_at.is_some() { 0.05 } else { 0.5 };
            node.pool.sweep(calls::keepalive(&node), node.config.limits.idle(node.config.settings.slots));
        }
        if let Some(told_at) = told_at {
            let journal = node.journal.borrow();
            let idle = journal.iter().next().is_none() && now - told_at >= EXIT_LEAST;
            let quiet = node.calls_out.get() == 0 && (idle || now - told_at >= CALLS_END);
            if quiet || now - told_at >= EXIT {
                return Finish::End;
            }
        }
    }
}

/// Opens the journal and tells what was found; with it, by how many microseconds the clock is behind.
fn open_journal(config: &Config) -> Result<(Journal, u64), String> {
    let now = clock();
    let options = Options {
        // The platform's own count may have a block more than ours.
        limits: Limits::of(config.limits.journal().saturating_sub(plan::BLOCK)),
        durability: Durability::None,
        now,
        identity: u128::from(config.seed) << 64 | u128::from(now),
        ends: ENDS,
    };
    let (journal, recovery) = Journal::open(&config.state, options)
        .map_err(|error| format!("GW_STATE: {}: {error}", config.state.display()))?;
    let Recovery { torn, damage, carried, latest } = recovery;
    if torn > 0 {
        println!("journal: {torn} bytes of a torn record left out");
    }
    if let Some(messages) = carried {
        println!("journal: {messages} messages carried over from the format before");
    }
    for damage in damage {
        println!("journal: damaged: {damage}");
    }
    let behind = latest.saturating_sub(now);
    if behind > CLOCK_SLACK {
        println!(
            "clock: {:.3} s behind what an earlier life saw; counted on from there",
            behind as f64 / 1e6
        );
    }
    Ok((journal, behind))
}

async fn run(config: Config) -> Result<Finish, String> {
    let mut signals = Signals::heed().map_err(|error| format!("signals: {error}"))?;
    let figures = Arc::new(Figures::new(&config.classes));
    let (asked, orders) = unbounded_channel();
    if let Some(control) = config.control {
        // Operators are answered from now on, while the journal is read too.
        let at = door::open(control, figures.clone(), asked);
        let at = at.map_err(|error| format!("control: {control}: {error}"))?;
        println!("{} answers operators at {at}", config.name);
    }
    let (locks, taken) = tokio::select! {
        arrived = handover::arrive(&config) => arrived,
        // It owns nothing yet.
        _ = signals.terminate.recv() => return Ok(Finish::End),
        _ = signals.interrupt.recv() => return Ok(Finish::End),
    };
    let (mut journal, behind) = open_journal(&config)?;
    let (state, given) = taken.map_or((None, None), |mut taken| (taken.state.take(), Some(taken)));
    let adopted = state.is_some();
    let (started, dispatcher, directory) = match state {
        Some(mut state) => {
            let started = state.started();
            journal.recall(state.ended);
            state.decisions.moved();
            (started, state.decisions, state.directory)
        }
        None => {
            let dispatcher = Dispatcher::new(config.settings.clone(), config.seed);
            (Instant::now(), dispatcher.map_err(|error| error.to_string())?, Directory::default())
        }
    };
    let (given, passed) = given.map_or((None, None), |mut given| (given.listener.take(), Some(given)));
    let listener = inherited::listener(config.listen, given).await?;
    println!("{} listens at {}", config.name, listener.local_addr().map_err(|e| e.to_string())?);
    let (sender, mut inbox) = unbounded_channel();
    let (doorstep, asked) = handover::Doorstep::new(&config.state);
    let (rest, handed) = unbounded_channel();
    let node = Rc::new(Node {
        started,
        behind,
        inbox: sender,
        dispatcher: RefCell::new(dispatcher),
        journal: RefCell::new(journal),
        directory: RefCell::new(directory),
        pool: Pool::default(),
        counts: counts::Counts::default(),
        figures,
        control: control::Control::open(&config.state),
        discovery: watch::Sender::new(config.discovery),
        unheard: RefCell::default(),
        clients: Clients::default(),
        calls_out: Cell::new(0),
        calls_open: Cell::new(0),
        closing: Cell::new(false),
        notices: Notify::new(),
        resubscribe: Notify::new(),
        stopping: Notify::new(),
        listener: Rc::new(listener),
        gate: Gate::default(),
        lock: RefCell::new(locks.owner),
        calls_lock: RefCell::new(locks.calls),
        doorstep,
        rest,
        cut: Notify::new(),
        breaks: RefCell::default(),
        adopted,
        config,
    });
    if !adopted {
        discovery::list(&node, node.config.file["known"].to_string().as_bytes());
    }
    node.resume();
    // The decisions know the list and what is owed before the first client is heard.
    std::iter::from_fn(|| inbox.try_recv().ok()).for_each(|input| hear(&node, node.now(), input));
    if let Some(passed) = passed {
        spawn_local(handover::own(node.clone(), passed));
    }
    node.doorstep.open();
    spawn_local(discovery::watch(node.clone()));
    spawn_local(discovery::notices(node.clone()));
    // Clients come once all that was owed is taken up again; nothing here waits for discovery.
    spawn_local(clients::serve(node.clone()));
    spawn_local(control::obey(node.clone(), orders));
    node.figures.set(control::gauges(&node));
    node.figures.set_ready(true);
    spawn_local(reload(node.clone(), signals.hangup));
    let Signals { terminate, interrupt, .. } = signals;
    let finish = rounds(node.clone(), Ears { inbox, terminate, interrupt, asked, rest: handed }).await;
    // Idle clients hear that the connection ends; a request that is being answered is still answered.
    node.stopping.notify_waiters();
    tokio::time::sleep(Duration::from_millis(50)).await;
    Ok(finish)
}

/// Runs the dispatcher that `GW_CONFIG` and `GW_STATE` describe until it is told to stop. A configuration that
/// is wrong ends the start with one line that names the key, and exit code 2; a start that fails for another
/// cause (an address in use, a folder that can't be written) with exit code 1.
pub fn serve() -> ExitCode {
    let config = match Config::from_environment() {
        Ok(config) => config,
        Err(error) => {
            eprintln!("fawnspoke: {error}");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ran = runtime
        .map_err(|error| format!("runtime: {error}"))
        .and_then(|runtime| LocalSet::new().block_on(&runtime, run(config)));
    match ran {
        Ok(Finish::End) => ExitCode::SUCCESS,
        Ok(Finish::Again) => {
            // All that this process had open closes with it; what is on record is taken up as after a kill.
            let error = Command::new("/proc/self/exe").args(std::env::args_os().skip(1)).exec();
            eprintln!("fawnspoke: beginning anew: {error}");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("fawnspoke: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads a configuration without starting anything.
///
/// # Errors
/// One line that names the file, the key and what is wrong with it.
pub fn check(file: &Path) -> Result<String, String> {
    let config = Config::from_file(file).map_err(|error| format!("{}: {error}", file.display()))?;
    Ok(format!(
        "{}: {}: {} classes, {} kinds of destination, {} slots, room for {} messages",
        file.display(),
        config.name,
        config.classes.len(),
        config.kinds.len(),
        config.settings.slots,
        config.settings.room
    ))
}
