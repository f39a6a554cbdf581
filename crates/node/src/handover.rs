//! Where the hand-over of an upgrade meets the dispatcher: what the two sides of `fawnspoke_handover` ask for is done
//! here. Nothing is decided here.

use crate::actions::complete_call;
use crate::calls::{self, CallEnd, MessageEnd};
use crate::config::Config;
use crate::directory::Directory;
use crate::serving::Phase;
use crate::startup::open_journal;
use crate::stream::SharedStream;
use crate::transfer::{Completion, Transfer};
use crate::{Node, clients, control, log, requests};
use fawnspoke_control::figures::Gauges;
use fawnspoke_control::orders::{Kind, Subject};
use fawnspoke_handover::frames::{self, CHUNK, FromGiver, FromTaker, Hello, STATE_MOST, VERSION};
use fawnspoke_handover::giver::{Action, Event, Giver};
use fawnspoke_handover::link::{Link, Listener};
use fawnspoke_handover::lock::{self, Lock};
use fawnspoke_handover::taker::{self, Taker};
use fawnspoke_journal::OpenError;
use fawnspoke_journal::recent_outcomes::RecentOutcomes;
use rustix::time::{ClockId, clock_gettime};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Semaphore, oneshot};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};
use waydoor::{Dispatcher, EndpointId, Event as Happened, InFlightAttempt, Outcome};

/// How often the giver looks at the time while it hands over.
const LOOK: Duration = Duration::from_millis(10);
/// Takers that have not said yet what they want; more are hung up on, and come again.
const UNHEARD_MOST: usize = 4;
/// A taker says what it wants by then.
const HELLO_TIME: Duration = Duration::from_secs(1);
/// A packet of the state has gone, or come, by then.
const PACKET_TIME: Duration = Duration::from_secs(1);

/// All that the dispatcher knows and that is not on record.
#[derive(Deserialize)]
pub struct State {
    /// When the dispatcher's clock began, on the system's monotonic one, in seconds.
    started: f64,
    /// What the decisions hold in mind.
    pub decisions: Dispatcher,
    /// The list.
    pub directory: Directory,
    /// Messages that have ended.
    pub ended: RecentOutcomes,
}

/// The same, where it is.
#[derive(Serialize)]
struct Known<'a> {
    started: f64,
    decisions: &'a Dispatcher,
    directory: &'a Directory,
    ended: &'a RecentOutcomes,
}

/// The system's monotonic clock, which both processes read, in seconds.
fn monotonic() -> f64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

impl State {
    /// When the dispatcher's clock began.
    pub fn started(&self) -> Instant {
        let now = Instant::now();
        let age = Duration::try_from_secs_f64(monotonic() - self.started).unwrap_or_default();
        now.checked_sub(age).unwrap_or(now)
    }
}

// ---- the old process ----------------------------------------------------------------------------------------------

/// Orders that the other process carries out, by number, and who waits for it.
type Orders = BTreeMap<u32, oneshot::Sender<Result<String, String>>>;

/// A taker that asks.
pub struct Asked {
    link: Link,
    hello: Hello,
}

/// Hears takers for as long as this process owns.
pub struct Doorstep {
    folder: PathBuf,
    asked: UnboundedSender<Asked>,
    listening: RefCell<Option<AbortHandle>>,
}

impl Doorstep {
    /// For the folder that lasts; takers come to the receiver.
    pub fn new(folder: &Path) -> (Doorstep, UnboundedReceiver<Asked>) {
        let (asked, receiver) = unbounded_channel();
        (Doorstep { folder: folder.to_path_buf(), asked, listening: RefCell::default() }, receiver)
    }

    /// Listens from now on, in the place of whoever did. Where that can't be, upgrades are restarts.
    pub fn open(&self) {
        self.close();
        let listener = match Listener::bind(&self.folder) {
            Ok(listener) => listener,
            Err(error) => {
                return log::info_limited(format_args!(
                    "handover: no socket: {error}; an upgrade is a restart"
                ));
            }
        };
        let asked = self.asked.clone();
        let unheard = Arc::new(Semaphore::new(UNHEARD_MOST));
        let task = spawn_local(async move {
            while let Ok(link) = listener.accept().await {
                let Ok(permit) = unheard.clone().try_acquire_owned() else { continue };
                let asked = asked.clone();
                spawn_local(async move {
                    let _permit = permit;
                    let hello = timeout(HELLO_TIME, link.receive()).await;
                    if let Ok(Ok(Some((packet, _)))) = hello
                        && let Ok(hello) = Hello::read(&packet)
                    {
                        let _ = asked.send(Asked { link, hello });
                    }
                });
            }
        });
        self.listening.replace(Some(task.abort_handle()));
    }

    fn close(&self) {
        if let Some(listening) = self.listening.take() {
            listening.abort();
        }
    }
}

/// What becomes of the process that gave.
pub enum After {
    /// It goes on as before; told to stop meanwhile, or not.
    Resumed { stopping: bool },
    /// It ends.
    Ended,
    /// It begins anew, from what is on record.
    Restart,
}

async fn refuse(link: &Link, why: &str) {
    log::info_limited(format_args!("handover: refused: {why}"));
    if let Ok(packet) = frames::packet(&FromGiver::Refused(why.into())) {
        let _ = timeout(PACKET_TIME, link.send(&packet, None)).await;
    }
}

/// Hands the dispatcher over to a process that asks, and sees it through to its end.
pub async fn give(
    node: &Rc<Node>, stopping: bool, first: Asked, asked: &mut UnboundedReceiver<Asked>,
    (terminate, interrupt): (&mut Signal, &mut Signal), rest: &mut UnboundedReceiver<Transfer>,
) -> After {
    if first.hello.version != VERSION {
        refuse(&first.link, &format!("version {VERSION} of the frames here, {} there", first.hello.version))
            .await;
        return After::Resumed { stopping };
    }
    let began = Instant::now();
    let (mut giver, mut link) = (Giver::Owner { stopping }, Some(first.link));
    let (mut event, mut finished) = (Event::Asked, false);
    let (mut orders, mut counted) = (Orders::new(), 0);
    let mut other: Option<Asked> = None;
    loop {
        // What an action brings about is heard before anything else.
        let mut next = None;
        for action in giver.step(node.now(), event) {
            match action {
                Action::Refuse(why) => {
                    // The first one, where this process is stopping, or one that came meanwhile.
                    if let Some(refused) = other.take().map(|other| other.link).or_else(|| link.take()) {
                        refuse(&refused, why).await;
                    }
                }
                Action::Give => {
                    log::info_limited(format_args!("handover: asked; giving"));
                    if !first.hello.decisions {
                        // Who begins from the record takes them for ended.
                        node.abort_calls().await;
                    }
                    node.serving_state.set_phase(Phase::HandingOver);
                    for number in node.clients.leave_unheard() {
                        requests::withdraw(node, number);
                    }
                    // The decisions' state goes over without what others have bound.
                    node.fleet.give(node);
                    node.owner_lock.replace(None);
                    let given = match &link {
                        Some(link) => send_all(node, link, first.hello.decisions).await,
                        None => Ok(()),
                    };
                    if let Err(error) = given {
                        log::info_limited(format_args!("handover: {error}"));
                        next = Some(Event::Broken);
                    }
                }
                Action::TryLock => {
                    let lock = lock::try_lock(&node.config.state).unwrap_or_else(|error| {
                        log::info_limited(format_args!("handover: lock: {error}"));
                        None
                    });
                    next = Some(Event::Locked(lock.is_some()));
                    if lock.is_some() {
                        node.owner_lock.replace(lock);
                    }
                }
                Action::Resume => {
                    link = None;
                    // The one that died may have begun on it.
                    if let Err(error) = reopen(node) {
                        log::info_limited(format_args!("handover: {error}; beginning anew"));
                        return After::Restart;
                    }
                    node.handover_socket.open();
                    node.serving_state.set_phase(Phase::Serving);
                    node.fleet.resume(node);
                    let took = began.elapsed().as_secs_f64();
                    log::info_limited(format_args!("handover: not taken; serving again after {took:.3} s"));
                }
                Action::HandRest => {
                    node.handover_socket.close();
                    node.metrics.set_ready(false);
                    node.metrics.set(Gauges::default());
                    node.serving_state.set_phase(Phase::HandedOver);
                    for (endpoint, link) in node.pool.take_reusable() {
                        node.transfer(Transfer::IdleConnection { endpoint, connection: link });
                    }
                    let took = began.elapsed().as_secs_f64();
                    let out = node.calls_in_flight.get();
                    log::info_limited(format_args!("handover: taken after {took:.3} s; {out} calls out"));
                }
                Action::Cut => {
                    node.abort_calls().await;
                    node.calls_lock.replace(None);
                }
                Action::Restart => {
                    log::info_limited(format_args!(
                        "handover: the process that took over has died; beginning anew"
                    ));
                    return After::Restart;
                }
                Action::Exit => {
                    log::info_limited(format_args!("handover: done; ending"));
                    return After::Ended;
                }
            }
        }
        if let Giver::Owner { stopping } = giver {
            return After::Resumed { stopping };
        }
        if let Some(next) = next {
            event = next;
            continue;
        }
        let over = node.serving_state.phase() == Phase::HandedOver;
        if over
            && !finished
            && node.calls_in_flight.get() == 0
            && node.clients.count() == 0
            && rest.is_empty()
        {
            finished = true;
            node.calls_lock.replace(None);
            event = Event::Finished;
            continue;
        }
        event = tokio::select! {
            frame = hear(link.as_ref()) => match frame {
                Some(FromTaker::Mine) => Event::Mine,
                Some(FromTaker::Unusable(why)) => {
                    log::info_limited(format_args!("handover: what was given is of no use there: {why}"));
                    link = None;
                    Event::Unusable
                }
                Some(FromTaker::Carried { number, yes, text }) => {
                    if let Some(answer) = orders.remove(&number) {
                        let _ = answer.send(if yes { Ok(text) } else { Err(text) });
                    }
                    continue;
                }
                None => {
                    link = None;
                    Event::Broken
                }
            },
            Some(asked) = asked.recv() => {
                other = Some(asked);
                Event::Asked
            }
            Some(rest) = rest.recv(), if over => {
                let Some(link) = &link else { continue };
                if let Err(error) = hand(link, rest, &mut orders, &mut counted).await {
                    log::info_limited(format_args!("handover: {error}"));
                }
                continue;
            }
            _ = terminate.recv() => Event::Terminate,
            _ = interrupt.recv() => Event::Terminate,
            () = sleep(LOOK) => Event::Tick,
        };
    }
}

/// The next frame; none once the link has ended. Without a link it never comes.
async fn hear(link: Option<&Link>) -> Option<FromTaker> {
    let Some(link) = link else { return std::future::pending().await };
    let (packet, _) = link.receive().await.ok()??;
    frames::read(&packet).ok()
}

type Failure = Box<dyn std::error::Error>;

/// Opens the journal anew; the messages that ended in this life are remembered.
fn reopen(node: &Node) -> Result<(), OpenError> {
    let (mut journal, _) = open_journal(&node.config)?;
    journal.restore_recent_outcomes(node.journal.borrow().recent_outcomes().clone());
    node.journal.replace(journal);
    Ok(())
}

/// Sends all that is known and not on record.
async fn send_all(node: &Node, link: &Link, decisions: bool) -> Result<(), Failure> {
    let mut state = Vec::new();
    if decisions {
        let (decisions, directory, journal) =
            (node.dispatcher.borrow(), node.directory.borrow(), node.journal.borrow());
        let started = monotonic() - node.now();
        let (decisions, directory, ended) = (&*decisions, &*directory, journal.recent_outcomes());
        ciborium::into_writer(&Known { started, decisions, directory, ended }, &mut state)?;
    }
    for piece in state.chunks(CHUNK) {
        let packet = frames::packet(&FromGiver::State(piece.to_vec()))?;
        timeout(PACKET_TIME, link.send(&packet, None)).await??;
    }
    let packet = frames::packet(&FromGiver::State(Vec::new()))?;
    timeout(PACKET_TIME, link.send(&packet, Some(node.listener.as_fd()))).await??;
    Ok(())
}

/// Hands one thing over, or tells it; what was handed is closed here.
async fn hand(link: &Link, rest: Transfer, orders: &mut Orders, counted: &mut u32) -> Result<(), Failure> {
    let mut connection = None;
    let (frame, stream) = match rest {
        Transfer::Client { stream, read, asked_ms } => (FromGiver::Client { read, asked_ms }, Some(stream)),
        Transfer::IdleConnection { endpoint, connection: link } => {
            let idle_ms = link.idle_since.elapsed().as_millis() as u32;
            let frame = FromGiver::Idle { endpoint: endpoint.0, at: link.address, idle_ms };
            let stream = link.stream.clone();
            connection = Some(link);
            (frame, Some(stream))
        }
        Transfer::Completion(told) => (FromGiver::Ended(frames::packet(&told)?), None),
        Transfer::Order(order) => {
            *counted += 1;
            orders.insert(*counted, order.answer);
            (FromGiver::Order { number: *counted, given: order.given, id: order.subject.id }, None)
        }
    };
    let packet = frames::packet(&frame)?;
    timeout(PACKET_TIME, link.send(&packet, stream.as_ref().map(SharedStream::descriptor))).await??;
    drop(connection);
    Ok(())
}

// ---- the new process ----------------------------------------------------------------------------------------------

/// What came from the process before.
pub struct Taken {
    link: Link,
    /// What it knew; none where that is of no use here.
    pub state: Option<State>,
    /// The clients' listening socket.
    pub listener: Option<OwnedFd>,
}

/// What a process holds that owns the folder; none of it where the file system knows no locks.
#[derive(Default)]
pub struct Locks {
    pub owner: Option<Lock>,
    pub calls: Option<Lock>,
}

/// Waits until this process owns the folder: at once where no other does, else by a hand-over, or when the other ends.
pub async fn arrive(config: &Config) -> (Locks, Option<Taken>) {
    use taker::{Action, Event};
    let (mut taker, mut link, mut held) = (Taker::default(), None, Locks::default());
    let (mut without, mut state, mut listener) = (false, None, None);
    let mut event = Event::Begin;
    let (mut told, mut refused) = (false, false);
    loop {
        let mut next = None;
        for action in taker.step(event) {
            match action {
                Action::Connect => {
                    link = None;
                    next = Some(match Link::connect(&config.state) {
                        Ok(Some(there)) => {
                            link = Some(there);
                            Event::Connected
                        }
                        Ok(None) => Event::Nobody,
                        // Many ask at once.
                        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Event::Refused,
                        Err(error) => {
                            log::info_limited(format_args!("handover: no socket: {error}"));
                            Event::Nobody
                        }
                    });
                }
                Action::Ask { decisions } => {
                    without = !decisions;
                    next = Some(match &link {
                        Some(link) => {
                            ask(link, config, decisions, &mut state, &mut listener, &mut told).await
                        }
                        None => Event::Broken,
                    });
                }
                Action::SayUnusable => {
                    let frame = FromTaker::Unusable("another program's, or other settings".into());
                    if let (Some(link), Ok(packet)) = (link.take(), frames::packet(&frame)) {
                        let _ = timeout(PACKET_TIME, link.send(&packet, None)).await;
                    }
                    (state, listener) = (None, None);
                }
                Action::TryLock => match lock::try_lock(&config.state) {
                    Ok(lock) => {
                        next = Some(Event::Locked(lock.is_some()));
                        held.owner = lock;
                    }
                    Err(error) if lock::is_unknown(&error) => {
                        log::info_limited(format_args!("handover: lock: {error}; going on without"));
                        next = Some(Event::Locked(true));
                    }
                    // Somebody may hold it.
                    Err(error) => {
                        if !std::mem::replace(&mut refused, true) {
                            log::info_limited(format_args!("handover: lock: {error}; trying again"));
                        }
                        next = Some(Event::Locked(false));
                    }
                },
                Action::Confirm => {
                    let linked = link.as_ref().is_some_and(|link| !link.has_ended());
                    next = Some(Event::Linked(linked));
                }
                Action::Unlock => held = Locks::default(),
                Action::TryQuiet => {
                    let quiet = lock::quiet_calls(&config.state);
                    let unknown = quiet.as_ref().is_err_and(lock::is_unknown);
                    held.calls = quiet.unwrap_or_default();
                    next = Some(Event::Quiet(held.calls.is_some() || unknown));
                }
                Action::Drop => (link, state, listener) = (None, None, None),
                Action::Wait => {
                    next = Some(tokio::select! {
                        true = ended(link.as_ref()) => Event::Broken,
                        () = sleep(Duration::from_secs_f64(taker::AGAIN)) => Event::Again,
                    });
                }
                Action::Own => {
                    let taken = link.take().map(|link| Taken {
                        link,
                        state: state.take(),
                        listener: listener.take(),
                    });
                    let how = if without { "what is on record" } else { "all that it knew" };
                    // Whoever looks just now whether anybody has calls out is done in a moment.
                    held.calls = loop {
                        match lock::share_calls(&config.state) {
                            Ok(None) => sleep(Duration::from_millis(1)).await,
                            Err(error) if !lock::is_unknown(&error) => sleep(LOOK).await,
                            shared => break shared.unwrap_or_default(),
                        }
                    };
                    log::info(format_args!("handover: taken from the process before, with {how}"));
                    return (held, taken);
                }
                Action::Begin => return (held, None),
            }
        }
        match next {
            Some(next) => event = next,
            None => {
                // No state waits for nothing; should one, it looks again.
                sleep(Duration::from_secs_f64(taker::AGAIN)).await;
                event = Event::Again;
            }
        }
    }
}

/// Comes back once the link has ended.
async fn ended(link: Option<&Link>) -> bool {
    let Some(link) = link else { return std::future::pending().await };
    while let Ok(Some(_)) = link.receive().await {}
    true
}

/// Asks for all that the giver knows.
async fn ask(
    link: &Link, config: &Config, decisions: bool, state: &mut Option<State>, listener: &mut Option<OwnedFd>,
    told: &mut bool,
) -> taker::Event {
    use taker::Event;
    let Ok(hello) = (Hello { version: VERSION, decisions }).packet() else { return Event::Broken };
    if link.send(&hello, None).await.is_err() {
        return Event::Broken;
    }
    let mut bytes = Vec::new();
    loop {
        let Ok(Ok(Some((packet, descriptor)))) = timeout(PACKET_TIME, link.receive()).await else {
            return Event::Broken;
        };
        match frames::read(&packet) {
            Ok(FromGiver::State(piece)) if piece.is_empty() => {
                *listener = descriptor;
                break;
            }
            Ok(FromGiver::State(piece)) if bytes.len() + piece.len() <= STATE_MOST => bytes.extend(piece),
            Ok(FromGiver::Refused(why)) => {
                if !std::mem::replace(told, true) {
                    log::info_limited(format_args!("handover: not yet: {why}"));
                }
                return Event::Refused;
            }
            _ => return Event::Broken,
        }
    }
    if !decisions {
        return Event::Given(true);
    }
    match ciborium::from_reader::<State, _>(&bytes[..]) {
        Ok(given) if *given.decisions.settings() == config.settings => {
            *state = Some(given);
            Event::Given(true)
        }
        Ok(_) => {
            log::info_limited(format_args!(
                "handover: the process before has other settings; only what is on record is taken"
            ));
            Event::Given(false)
        }
        Err(error) => {
            log::info_limited(format_args!("handover: {error}; only what is on record is taken"));
            Event::Given(false)
        }
    }
}

/// Tells the giver that this process owns, and takes the rest: connections, and how the calls end that are out there.
pub async fn own(node: Rc<Node>, taken: Taken) {
    let link = taken.link;
    let mut out: HashMap<(u64, u32), InFlightAttempt> = HashMap::new();
    if node.adopted_state {
        let outstanding = node.dispatcher.borrow().in_flight();
        out.extend(outstanding.into_iter().map(|one| ((one.id.0, one.attempt), one)));
    }
    let mine = frames::packet(&FromTaker::Mine);
    let told = match &mine {
        Ok(packet) => timeout(PACKET_TIME, link.send(packet, None)).await,
        Err(_) => Ok(Err(std::io::ErrorKind::InvalidData.into())),
    };
    if matches!(told, Ok(Ok(()))) {
        while let Ok(Some((packet, descriptor))) = link.receive().await {
            match frames::read(&packet) {
                Ok(frame) => take(&node, &link, frame, descriptor, &mut out).await,
                Err(error) => log::info_limited(format_args!("handover: {error}")),
            }
        }
    }
    // Its sockets closed with it: what it had out may have run, and no more can come of it.
    if !out.is_empty() {
        log::info_limited(format_args!("handover: the process before ended with {} messages out", out.len()));
    }
    for one in out.into_values() {
        let end = MessageEnd {
            number: one.id.0,
            attempt: one.attempt,
            outcome: Outcome::ConnectionReset,
            settled: false,
        };
        let dest = node.directory.borrow().place(one.endpoint).map_or(0, |place| place.dest);
        complete_call(&node, one.endpoint, dest, one.sent_at, CallEnd::without_report(vec![end], false));
    }
}

async fn take(
    node: &Rc<Node>, link: &Link, frame: FromGiver, descriptor: Option<OwnedFd>,
    out: &mut HashMap<(u64, u32), InFlightAttempt>,
) {
    let stream =
        descriptor.and_then(|descriptor| TcpStream::from_std(std::net::TcpStream::from(descriptor)).ok());
    match (frame, stream) {
        (FromGiver::Client { read, asked_ms }, Some(stream)) => {
            if let Err(error) = clients::adopt(node, stream, read, asked_ms) {
                log::info_limited(format_args!("handover: a client's connection: {error}"));
            }
        }
        (FromGiver::Idle { endpoint, at, idle_ms }, Some(stream)) => {
            let now = tokio::time::Instant::now();
            let since = now.checked_sub(Duration::from_millis(idle_ms.into())).unwrap_or(now);
            let endpoint = EndpointId(endpoint);
            // It is of use as long as the list says that it leads there.
            if node.directory.borrow().ready_at(endpoint) == Some(at)
                && let Ok(link) = calls::wrap_stream(stream, at, since).await
            {
                node.pool.add_idle(endpoint, link);
            }
        }
        (FromGiver::Ended(bytes), _) => match frames::read(&bytes) {
            Ok(Completion::Call { endpoint, destination, sent_at, mut end }) => {
                end.ends.retain(|end| out.remove(&(end.number, end.attempt)).is_some());
                if !end.ends.is_empty() {
                    complete_call(node, EndpointId(endpoint), destination, sent_at, end);
                }
            }
            Ok(Completion::Probe { endpoint, outcome, latency, rate_limit_report }) => {
                node.send_event(Happened::ProbeEnded {
                    endpoint: EndpointId(endpoint),
                    outcome,
                    latency,
                    rate_limit_report,
                });
            }
            Err(error) => log::info_limited(format_args!("handover: {error}")),
        },
        (FromGiver::Order { number, given, id }, _) => {
            let carried = control::carry_out(node, &Subject { kind: Kind::Hold, id }, given);
            let (yes, text) = carried.map_or_else(|text| (false, text), |text| (true, text));
            if let Ok(packet) = frames::packet(&FromTaker::Carried { number, yes, text }) {
                let _ = timeout(PACKET_TIME, link.send(&packet, None)).await;
            }
        }
        (other, _) => log::info_limited(format_args!("handover: out of place: {other:?}")),
    }
}
