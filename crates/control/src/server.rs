//! The control server. It runs on a thread of its own, so that a response does not wait for the dispatcher's event
//! loop, for the journal or for the start of the process.

use crate::disconnections::{DisconnectionCause, DisconnectionCounts, DisconnectionReason};
use crate::metrics::Metrics;
use crate::overrides::{OverrideKey, OverrideKind};
use crate::protocol::{Decoder, END_OF_METRICS, Request, failure, success};
use fawnspoke_admission::LISTEN_BACKLOG;
use fawnspoke_admission::gate::{AdmissionGate, AdmissionSlot};
use fawnspoke_admission::table::AdmissionLimits;
use rustix::net::{RecvFlags, recv};
use std::cell::RefCell;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, sleep_until, timeout, timeout_at};

/// File descriptors of the control server besides its callers': a caller that waits to be admitted, the listener and the
/// runtime.
const OWN_DESCRIPTORS: usize = 7;
/// While all connections are in use, a caller without a whole line keeps its connection for this long.
const MIN_PENDING_TIME: Duration = Duration::from_millis(100);
/// Most commands that the dispatcher's thread has been given and has not answered. Further ones wait.
const MAX_COMMANDS: usize = 16;
/// Time limit for receiving a complete request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for a command, from its whole line to the answer of the dispatcher's thread. After it the client gets a
/// failure response, although the command may still be carried out.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit for the client to read the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The thread's stack size.
const STACK_BYTES: usize = 256 << 10;
/// Disconnected callers are counted for this long before one line of the log tells of them.
const DISCONNECTION_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The text of a response, as a success or a failure.
pub type CommandResult = Result<String, String>;

/// Receives the result of a command. The command counts as one that is being carried out until this is dropped.
#[derive(Debug)]
pub struct CommandReply {
    sender: oneshot::Sender<CommandResult>,
    _permit: OwnedSemaphorePermit,
}

impl CommandReply {
    /// Answers the command. A client whose time limit has passed was told that the command may still be carried out.
    pub fn send(self, result: CommandResult) {
        let _ = self.sender.send(result);
    }
}

/// A command for the dispatcher's thread.
#[derive(Debug)]
pub enum ControlCommand {
    /// Add or remove an operator override.
    Override(OverrideCommand),
    /// Report the fleet's status.
    FleetStatus(CommandReply),
}

/// A command to add or remove an operator override.
#[derive(Debug)]
pub struct OverrideCommand {
    /// The override.
    pub key: OverrideKey,
    /// Whether to add the override or to remove it.
    pub activate: bool,
    /// Receives the result.
    pub reply: CommandReply,
}

/// Maximum number of file descriptors of a control server with this many callers.
pub fn max_descriptors(max_callers: usize) -> usize {
    max_callers + OWN_DESCRIPTORS
}

/// Starts the control server, for at most `max_callers` at a time, and returns its address. It runs until the process
/// exits.
///
/// # Errors
/// Where the address can't be bound or the thread can't be started.
pub fn start(
    address: SocketAddr, max_callers: usize, metrics: Arc<Metrics>, commands: UnboundedSender<ControlCommand>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    // The standard library's queue is shorter.
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("door".into()).stack_size(STACK_BYTES).spawn(move || {
        let server = Rc::new(Server {
            metrics,
            commands,
            command_permits: Arc::new(Semaphore::new(MAX_COMMANDS)),
            callers: AdmissionGate::new(AdmissionLimits { max_callers, min_time: MIN_PENDING_TIME }),
            disconnections: RefCell::default(),
        });
        LocalSet::new().block_on(&runtime, async {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => server.serve(listener).await,
                Err(error) => log_line(format_args!("control port: {error}")),
            }
        });
    })?;
    Ok(address)
}

/// Writes a line to the log. A failed write is ignored: it is no reason to stop serving.
fn log_line(text: std::fmt::Arguments) {
    let _ = writeln!(io::stdout(), "{text}");
}

struct Server {
    metrics: Arc<Metrics>,
    commands: UnboundedSender<ControlCommand>,
    command_permits: Arc<Semaphore>,
    callers: Rc<AdmissionGate>,
    disconnections: RefCell<DisconnectionCounts>,
}

impl Server {
    async fn serve(self: Rc<Self>, listener: tokio::net::TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, address)) => {
                    let slot = self.callers.admit(address.ip()).await;
                    let server = self.clone();
                    spawn_local(async move {
                        // A failed connection concerns only its client.
                        let _ = server.handle_client(stream, &slot).await;
                    });
                }
                Err(error) => {
                    log_line(format_args!("control port: accept: {error}"));
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn handle_client(self: &Rc<Self>, mut stream: TcpStream, slot: &AdmissionSlot) -> io::Result<()> {
        let mut decoder = Decoder::default();
        let response = match self.receive_request(&mut stream, slot, &mut decoder).await? {
            Received::Request(Ok(request)) => self.respond(request, slot).await,
            Received::Request(Err(error)) => failure(error),
            Received::Disconnected(cause) => {
                self.count_disconnection(cause, slot.age(), decoder.received_bytes());
                failure(DisconnectionReason { cause, connected_for: slot.age() })
            }
        };
        timeout(RESPONSE_TIMEOUT, async {
            stream.write_all(response.as_bytes()).await?;
            stream.shutdown().await
        })
        .await?
    }

    /// Receives a request until its line is complete, its time is over, or its connection is needed for another caller.
    async fn receive_request(
        &self, stream: &mut TcpStream, slot: &AdmissionSlot, decoder: &mut Decoder,
    ) -> io::Result<Received> {
        let cause = tokio::select! {
            biased;
            request = read_request(stream, decoder) => return Ok(Received::Request(request?)),
            () = sleep(REQUEST_TIMEOUT) => DisconnectionCause::TimedOut,
            () = slot.evicted() => DisconnectionCause::Evicted,
        };
        // The line may have become complete since the runtime looked last: this thread may have been stopped meanwhile.
        Ok(read_arrived(stream, decoder).map_or(Received::Disconnected(cause), Received::Request))
    }

    /// Counts a caller that is disconnected before its request was complete.
    fn count_disconnection(
        self: &Rc<Self>, cause: DisconnectionCause, connected_for: Duration, bytes: usize,
    ) {
        if !self.disconnections.borrow_mut().add(cause, connected_for, bytes) {
            return;
        }
        let server = self.clone();
        spawn_local(async move {
            sleep(DISCONNECTION_LOG_INTERVAL).await;
            log_line(format_args!("control port: {}", server.disconnections.take()));
        });
    }

    async fn respond(&self, request: Request, slot: &AdmissionSlot) -> String {
        match request {
            Request::Status if self.metrics.ready() => success("serving"),
            Request::Status => failure("not serving"),
            Request::Metrics => format!("{}{END_OF_METRICS}\n", self.metrics.statsd_lines()),
            Request::Suspend(id) => self.send_override(id, true, slot).await,
            Request::Restore(id) => self.send_override(id, false, slot).await,
            Request::Fleet => self.send_command(ControlCommand::FleetStatus, slot).await,
        }
    }

    async fn send_override(&self, endpoint_id: String, activate: bool, slot: &AdmissionSlot) -> String {
        let key = OverrideKey { kind: OverrideKind::Suspend, endpoint_id };
        let command = |reply| ControlCommand::Override(OverrideCommand { key, activate, reply });
        self.send_command(command, slot).await
    }

    /// Has the dispatcher's thread carry out a command; returns the response.
    async fn send_command(
        &self, command: impl FnOnce(CommandReply) -> ControlCommand, slot: &AdmissionSlot,
    ) -> String {
        let deadline = tokio::time::Instant::now() + COMMAND_TIMEOUT;
        let permit = tokio::select! {
            biased;
            permit = self.command_permits.clone().acquire_owned() => permit.ok(),
            () = sleep_until(deadline) => None,
            () = slot.evicted() => None,
        };
        let Some(permit) = permit else {
            return failure("too many commands at a time; this one is not carried out");
        };
        slot.mark_handled();
        let (sender, result) = oneshot::channel();
        if self.commands.send(command(CommandReply { sender, _permit: permit })).is_err() {
            return failure("this process takes no orders any more");
        }
        match timeout_at(deadline, result).await {
            Ok(Ok(Ok(text))) => success(text),
            Ok(Ok(Err(text))) => failure(text),
            Ok(Err(_)) => failure("this process takes no orders any more"),
            Err(_) => failure("not carried out within 0.8 s; it may be yet"),
        }
    }
}

/// What came of receiving a request.
enum Received {
    /// A line, or the end of the input.
    Request(ParseResult),
    /// No whole line.
    Disconnected(DisconnectionCause),
}

type ParseResult = Result<Request, crate::protocol::RequestError>;

async fn read_request(stream: &mut TcpStream, decoder: &mut Decoder) -> io::Result<ParseResult> {
    let mut buffer = [0; 1024];
    loop {
        let length = stream.read(&mut buffer).await?;
        if length == 0 {
            return Ok(Err(decoder.finish()));
        }
        if let Some(request) = decoder.feed(&buffer[..length]) {
            return Ok(request);
        }
    }
}

/// Reads what has arrived already, without the runtime; returns the request if its line is complete.
fn read_arrived(stream: &TcpStream, decoder: &mut Decoder) -> Option<ParseResult> {
    let mut buffer = [0; 1024];
    loop {
        match recv(stream, &mut buffer, RecvFlags::DONTWAIT) {
            Ok((_, length)) if length > 0 => {
                if let Some(request) = decoder.feed(&buffer[..length]) {
                    return Some(request);
                }
            }
            _ => return None,
        }
    }
}
