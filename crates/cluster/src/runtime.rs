//! The member's thread. It drives the core: persists records before it sends frames, maintains the connections and reads
//! the clock. It makes no decisions of its own, and the dispatcher never blocks on it.

use crate::clock::now;
use crate::config::FleetConfig;
use crate::connections::{Connection, Connections, Event, MAX_PENDING_CONNECTIONS};
use crate::core::{Core, CoreError, bootstrap_records};
use crate::identity::Identity;
use crate::logging::{self, RateLimitedLog};
use crate::state_machine::StateMachine;
use crate::store::{self, OpenedStore, Store, StoreError};
use crate::wire::{Hello, LocalMember, Rejection, VERSION};
use crate::{MemberId, Seconds};
use futures_util::FutureExt;
use std::collections::BTreeMap;
use std::panic::AssertUnwindSafe;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout, timeout_at};

/// Size of the thread's stack.
const STACK_BYTES: usize = 512 << 10;
/// Delay before another attempt to open a store that another process has open, or to listen on the address.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Delay before a store is opened again after an error.
const ERROR_RETRY_DELAY: Duration = Duration::from_secs(1);
/// How long a stopping member may take to hand over its duties and the leadership.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);
/// File descriptors of the thread besides its connections with members and callers: listener, log, runtime, and
/// connections that are just opening or closing.
pub const DESCRIPTORS: usize = 16;

/// How a member is run.
pub struct Settings {
    /// The fleet's configuration.
    pub config: FleetConfig,
    /// The dispatcher's name.
    pub name: String,
    /// The dispatcher's state directory.
    pub state_dir: PathBuf,
}

/// A command to the member's thread.
enum Command<I> {
    Input(I),
    Status(oneshot::Sender<String>),
    /// Hand over duties and leadership, then stop.
    Leave(oneshot::Sender<()>),
    /// Stop at once: another process of this member takes over.
    Stop,
}

/// A handle to the member's thread. The thread stops once all handles are dropped.
pub struct MemberHandle<I> {
    commands: UnboundedSender<Command<I>>,
}

impl<I> Clone for MemberHandle<I> {
    fn clone(&self) -> MemberHandle<I> {
        MemberHandle { commands: self.commands.clone() }
    }
}

impl<I> MemberHandle<I> {
    /// Sends an input to the state machine without waiting. It is lost if the thread has stopped.
    pub fn send(&self, input: I) {
        let _ = self.commands.send(Command::Input(input));
    }

    /// The member's state as JSON; nothing if the thread does not answer within the timeout.
    pub async fn status(&self, answer_timeout: Duration) -> Option<String> {
        let (reply, received_reply) = oneshot::channel();
        self.commands.send(Command::Status(reply)).ok()?;
        timeout(answer_timeout, received_reply).await.ok()?.ok()
    }

    /// Hands over the member's duties and leadership and stops it. Returns once that is done, or after 0.3 s.
    pub async fn leave(&self) {
        let (reply, received_reply) = oneshot::channel();
        if self.commands.send(Command::Leave(reply)).is_ok() {
            let _ = timeout(LEAVE_TIMEOUT, received_reply).await;
        }
    }

    /// Closes the store for another process of this member. Does not wait: that process retries until it is closed.
    pub fn stop(&self) {
        let _ = self.commands.send(Command::Stop);
    }
}

/// Starts a member on a thread of its own. `create_state_machine` is called each time that the store is opened.
///
/// # Errors
/// If the thread can't be started.
pub fn spawn<S, F>(
    settings: Settings, create_state_machine: F, state_machine_events: UnboundedSender<S::Event>,
) -> std::io::Result<MemberHandle<S::Input>>
where
    S: StateMachine + 'static,
    S::Input: Send + Clone + 'static,
    S::Event: Send + 'static,
    F: Fn() -> S + Send + 'static,
{
    let (commands, command_receiver) = unbounded_channel();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("fleet".into()).stack_size(STACK_BYTES).spawn(move || {
        LocalSet::new()
            .block_on(&runtime, run(settings, create_state_machine, state_machine_events, command_receiver));
    })?;
    Ok(MemberHandle { commands })
}

/// Bootstraps a fleet with this member as its first voter.
///
/// # Errors
/// If the state directory can't be written, or was a member's before. That member is left unchanged but for its start
/// count.
pub fn bootstrap(settings: &Settings, state_machine: &impl StateMachine) -> Result<Identity, String> {
    let OpenedStore { mut store, identity, records, .. } =
        Store::open(&settings.state_dir, &settings.name, max_disk_bytes(&settings.config))
            .map_err(|error| error.to_string())?;
    if identity.start_count > 1 || !records.is_empty() {
        return Err(format!(
            "{}: has been a member already",
            settings.state_dir.join(store::DIRECTORY).display()
        ));
    }
    let records = bootstrap_records(&identity, state_machine).map_err(|error| error.to_string())?;
    store.append(&records, true).map_err(|error| error.to_string())?;
    Ok(identity)
}

/// Maximum number of file descriptors that the member of this name uses.
pub fn max_descriptors(config: &FleetConfig, name: &str) -> usize {
    let peers = config.member.keys().filter(|other| config.dials(name, other) || config.dials(other, name));
    DESCRIPTORS + MAX_PENDING_CONNECTIONS + peers.count()
}

/// Maximum size of the member's log on disk.
pub fn max_disk_bytes(config: &FleetConfig) -> u64 {
    (config.disk_mb * 1e6) as u64
}

/// Why a session ended.
enum SessionEnd {
    /// The member has to stop.
    Stop,
    /// An error after which the store has to be opened again.
    Reopen(String),
    /// The state directory is an older copy: the member has to rejoin with a new id.
    OlderCopy,
}

async fn run<S, F>(
    settings: Settings, create_state_machine: F, state_machine_events: UnboundedSender<S::Event>,
    mut commands: UnboundedReceiver<Command<S::Input>>,
) where
    S: StateMachine,
    S::Input: Clone,
    F: Fn() -> S,
{
    let (event_sender, mut events) = unbounded_channel();
    let connections = Connections::new(Rc::new(settings.config.clone()), &settings.name, event_sender);
    let (mut listening, mut limited_log, mut last_error) = (false, RateLimitedLog::default(), String::new());
    let mut delay = Duration::ZERO;
    loop {
        if !discard_commands(&mut commands, std::mem::take(&mut delay)).await {
            return;
        }
        let opened = match Store::open(&settings.state_dir, &settings.name, max_disk_bytes(&settings.config))
        {
            Ok(opened) => opened,
            Err(error) => {
                let locked = matches!(error, StoreError::Locked(_));
                let text = error.to_string();
                if text != last_error {
                    let consequence = if locked {
                        "waiting for it"
                    } else {
                        "this dispatcher is not a member until it can be opened"
                    };
                    logging::log_line(format_args!("fleet: {text}; {consequence}"));
                }
                last_error = text;
                delay = if locked { RETRY_DELAY } else { ERROR_RETRY_DELAY };
                continue;
            }
        };
        last_error.clear();
        if !listening {
            match connections.open().await {
                Ok(address) => {
                    listening = true;
                    address.inspect(|address| {
                        logging::log_line(format_args!("fleet: members are heard at {address}"))
                    });
                }
                // The previous process may still listen on it for a moment.
                Err(error) => {
                    limited_log.line(now(), format_args!("can't listen for members: {error}"));
                    delay = RETRY_DELAY;
                    continue;
                }
            }
        }
        let OpenedStore { store, identity, records, torn_bytes } = opened;
        if torn_bytes > 0 {
            logging::log_line(format_args!("fleet: {torn_bytes} bytes of a torn record dropped"));
        }
        logging::log_line(format_args!(
            "fleet: {} of {}, birth {:016x}, life {}",
            settings.name, settings.config.cluster, identity.id, identity.start_count
        ));
        let core = Core::new(
            Arc::new(settings.config.clone()),
            identity,
            records,
            create_state_machine(),
            now(),
            fastrand::u64(..),
        );
        let end = match core {
            Ok(core) => {
                let mut session = Session {
                    settings: &settings,
                    core,
                    store,
                    connections: &connections,
                    open_connections: BTreeMap::new(),
                    state_machine_events: &state_machine_events,
                    logged_leader: None,
                    limited_log: RateLimitedLog::default(),
                };
                // The Raft library panics where a peer violates the protocol. That must not stop this member for good.
                let result = AssertUnwindSafe(session.run(&mut commands, &mut events)).catch_unwind().await;
                result.unwrap_or_else(|_| {
                    SessionEnd::Reopen(
                        "the Raft library panicked, probably because a peer violated the protocol".into(),
                    )
                })
            }
            Err(error) => SessionEnd::Reopen(error.to_string()),
        };
        match end {
            SessionEnd::Stop => return,
            SessionEnd::Reopen(error) => {
                logging::log_line(format_args!("fleet: {error}; the log is opened again"));
                delay = ERROR_RETRY_DELAY;
            }
            SessionEnd::OlderCopy => {
                logging::log_line(format_args!(
                    "fleet: the state directory is an older copy of this member's; it rejoins with a new id"
                ));
                if let Err(error) = store::discard_identity(&settings.state_dir) {
                    logging::log_line(format_args!("fleet: {error}"));
                    delay = ERROR_RETRY_DELAY;
                }
            }
        }
    }
}

/// Discards commands for the length of the delay, while this process has no open store: inputs are sent again after the
/// next start, and status requests time out. Returns `false` if the member has to stop.
async fn discard_commands<I>(commands: &mut UnboundedReceiver<Command<I>>, delay: Duration) -> bool {
    let until = tokio::time::Instant::now() + delay;
    loop {
        // Queued commands come first, however short the delay, so that a stop precedes the next attempt to open the
        // store.
        match timeout_at(until, commands.recv()).await {
            Ok(Some(Command::Input(_) | Command::Status(_))) => {}
            Ok(Some(Command::Leave(_) | Command::Stop) | None) => return false,
            Err(_) => return true,
        }
    }
}

/// One run of the core, from opening the store to closing it.
struct Session<'a, S: StateMachine> {
    settings: &'a Settings,
    core: Core<S>,
    store: Store,
    connections: &'a Connections,
    open_connections: BTreeMap<MemberId, Connection>,
    state_machine_events: &'a UnboundedSender<S::Event>,
    /// The leader that was logged last.
    logged_leader: Option<Option<MemberId>>,
    limited_log: RateLimitedLog,
}

impl<S: StateMachine> Drop for Session<'_, S> {
    fn drop(&mut self) {
        self.open_connections.values().for_each(Connection::close);
    }
}

impl<S: StateMachine> Session<'_, S> {
    async fn run(
        &mut self, commands: &mut UnboundedReceiver<Command<S::Input>>, events: &mut UnboundedReceiver<Event>,
    ) -> SessionEnd {
        loop {
            if let Err(error) = self.process_output() {
                return SessionEnd::Reopen(error);
            }
            self.update_hello();
            let wait = Duration::from_secs_f64((self.core.next_tick_at() - now()).clamp(0.0, 1.0));
            // The clock is read after a command or an event has arrived, so it is never earlier than what that reports.
            tokio::select! {
                biased;
                command = commands.recv() => match command {
                    Some(Command::Input(input)) => self.core.handle_input(now(), input),
                    Some(Command::Status(reply)) => drop(reply.send(self.core.status(now()).to_string())),
                    Some(Command::Leave(reply)) => {
                        self.leave(events).await;
                        let _ = reply.send(());
                        return SessionEnd::Stop;
                    }
                    Some(Command::Stop) | None => return SessionEnd::Stop,
                },
                Some(event) = events.recv() => {
                    if let Some(end) = self.handle_event(event) {
                        return end;
                    }
                }
                () = sleep(wait) => self.core.tick(now()),
            }
        }
    }

    /// Persists records, applies entries and sends frames until the core has no more output.
    fn process_output(&mut self) -> Result<(), String> {
        while let Some((records, sync)) = self.core.take_records() {
            if !records.is_empty() {
                self.store.append(&records, sync).map_err(|error| format!("can't write the log: {error}"))?;
            }
            self.core.records_persisted(now()).map_err(|error: CoreError| error.to_string())?;
        }
        if let Some(records) =
            self.core.compact(self.store.needs_compaction()).map_err(|error| error.to_string())?
        {
            self.store.replace(&records).map_err(|error| format!("can't write the log: {error}"))?;
        }
        for (to, frame) in self.core.take_frames() {
            if let (Some(connection), Ok(packet)) =
                (self.open_connections.get(&to), fawnspoke_frames::encode(&frame))
            {
                connection.send(packet);
            }
        }
        for event in self.core.take_events() {
            // Fails only if the dispatcher no longer receives them.
            let _ = self.state_machine_events.send(event);
        }
        let leader = self.core.leader();
        if self.logged_leader.replace(leader) != Some(leader) {
            let name = leader.and_then(|id| self.core.members().0.get(&id)).map(|member| &*member.name);
            logging::log_line(format_args!(
                "fleet: {:.6} term {}: {} leads",
                now(),
                self.core.term(),
                name.unwrap_or("nobody known")
            ));
        }
        Ok(())
    }

    /// Sets the hello for the next connections to this member's current state.
    fn update_hello(&self) {
        self.connections.set_hello(self.hello(None));
    }

    fn hello(&self, rejection: Option<Rejection>) -> Hello {
        let Identity { name, id, start_count } = self.core.identity().clone();
        let cluster = self.settings.config.cluster.clone();
        let (versions, position) = ((VERSION, VERSION), self.core.log_position());
        Hello { versions, cluster, name, to: String::new(), id, start_count, position, rejection }
    }

    fn handle_event(&mut self, event: Event) -> Option<SessionEnd> {
        match event {
            Event::Hello { hello, outgoing, reply, connection } => {
                let own = self.core.identity();
                let local =
                    LocalMember { cluster: &self.settings.config.cluster, name: &own.name, id: own.id };
                // The reply of an accepting member names no receiver.
                let hello =
                    Box::new(Hello { to: if outgoing { own.name.clone() } else { hello.to }, ..*hello });
                let checked = hello.check(&local, |name| self.settings.config.member.contains_key(name));
                let checked = checked.and_then(|()| {
                    self.core.peer_connected(hello.id, &hello.name, hello.start_count, &hello.position)
                });
                if let Err(rejection) = checked {
                    let (name, id) = (&hello.name, hello.id);
                    self.limited_log.line(
                        now(),
                        format_args!("rejected a connection with {name} ({id:016x}): {rejection}"),
                    );
                    let _ = reply.send((self.hello(Some(rejection)), false));
                    return None;
                }
                if reply.send((self.hello(None), true)).is_err() {
                    if !self.open_connections.contains_key(&hello.id) {
                        self.core.peer_disconnected(hello.id);
                    }
                    return None;
                }
                if let Ok(Some(previous)) = checked {
                    self.open_connections.remove(&previous).inspect(Connection::close);
                    self.core.peer_disconnected(previous);
                }
                self.open_connections.insert(hello.id, connection).inspect(Connection::close);
                if outgoing {
                    self.core.peer_accepted(hello.id);
                }
            }
            Event::Frame { from, connection, frame, _receive_permit } => {
                if self.open_connections.get(&from).is_some_and(|current| current.number == connection) {
                    self.core.receive_frame(now(), from, frame);
                }
            }
            Event::Closed(id, number) => {
                if self.open_connections.get(&id).is_some_and(|current| current.number == number) {
                    self.open_connections.remove(&id);
                    self.core.peer_disconnected(id);
                }
            }
            Event::Rejected { name, rejected_id, hello } => {
                let rejection = hello.rejection?;
                self.limited_log.line(now(), format_args!("{name} rejected a connection: {rejection}"));
                // Several members may reject the same id; it is discarded only once.
                if rejection == Rejection::OlderCopy && rejected_id == self.core.identity().id {
                    return Some(SessionEnd::OlderCopy);
                }
            }
        }
        None
    }

    /// Hands over duties, then the leadership, until [`LEAVE_TIMEOUT`].
    async fn leave(&mut self, events: &mut UnboundedReceiver<Event>) {
        let until: Seconds = now() + LEAVE_TIMEOUT.as_secs_f64();
        self.core.release_all(now());
        let _ = self.process_output();
        while (self.core.is_leader() || !self.core.has_released_all()) && now() < until {
            if self.core.has_released_all() {
                self.core.transfer_leadership();
            }
            let wait = Duration::from_secs_f64((self.core.next_tick_at() - now()).clamp(0.0, 0.02));
            tokio::select! {
                Some(event) = events.recv() => drop(self.handle_event(event)),
                () = sleep(wait) => self.core.tick(now()),
            }
            if self.process_output().is_err() {
                return;
            }
        }
        // Gives the connections time to write what was queued.
        sleep(Duration::from_millis(5)).await;
    }
}
