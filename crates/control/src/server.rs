//! The control server. It runs on a thread of its own, so that a response does not wait for the dispatcher's event
//! loop, for the journal or for the start of the process.

use crate::disconnections::{DisconnectionCause, DisconnectionCounts};
use crate::metrics::Metrics;
use crate::overrides::{OverrideKey, OverrideKind};
use crate::protocol::{Decoder, END_OF_METRICS, Request, failure, success};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, oneshot};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Most file descriptors of the control server: its clients', its listener's and its runtime's.
pub const MAX_DESCRIPTORS: usize = MAX_CLIENTS + MAX_ANSWERING_CLIENTS + 6;
/// Most clients at a time. The oldest one without a complete request is disconnected when another connects.
pub const MAX_CLIENTS: usize = 16;
/// Most clients beyond those, while all others have sent their request and are being answered.
const MAX_ANSWERING_CLIENTS: usize = 16;
/// Maximum number of times that the server yields to its clients' tasks to get below [`MAX_CLIENTS`] before it accepts
/// one more.
const MAX_YIELDS: usize = 4;
/// Time limit for receiving a complete request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the dispatcher's thread to answer a command. After it the client gets a failure response, although
/// the command may still be carried out.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(800);
/// Time limit for the client to read the response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The thread's stack size.
const STACK_BYTES: usize = 256 << 10;
/// Disconnected callers are counted for this long before one line of the log tells of them.
const DISCONNECTION_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A command for the dispatcher's thread.
#[derive(Debug)]
pub enum ControlCommand {
    /// Add or remove an operator override.
    Override(OverrideCommand),
    /// Report the fleet's status.
    FleetStatus(oneshot::Sender<Result<String, String>>),
}

/// A command to add or remove an operator override.
#[derive(Debug)]
pub struct OverrideCommand {
    /// The override.
    pub key: OverrideKey,
    /// Whether to add the override or to remove it.
    pub activate: bool,
    /// Receives the result: the text of the response, as a success or a failure.
    pub reply: oneshot::Sender<Result<String, String>>,
}

/// Starts the control server and returns its address. It runs until the process exits.
///
/// # Errors
/// Where the address can't be bound or the thread can't be started.
pub fn start(
    address: SocketAddr, metrics: Arc<Metrics>, commands: UnboundedSender<ControlCommand>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("door".into()).stack_size(STACK_BYTES).spawn(move || {
        let server = Rc::new(Server {
            metrics,
            commands,
            idle_clients: RefCell::default(),
            client_count: Cell::new(0),
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
    /// Clients without a complete request, the oldest first; notifying one disconnects it.
    idle_clients: RefCell<VecDeque<Rc<Notify>>>,
    client_count: Cell<usize>,
    disconnections: RefCell<DisconnectionCounts>,
}

impl Server {
    async fn serve(self: Rc<Self>, listener: tokio::net::TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // Disconnects the oldest clients without a complete request, to stay below the limit. If there are
                    // none, all clients are being answered and finish soon.
                    for _ in 0..MAX_YIELDS {
                        if self.client_count.get() < MAX_CLIENTS {
                            break;
                        }
                        if let Some(oldest) = self.idle_clients.borrow_mut().pop_front() {
                            oldest.notify_one();
                        }
                        yield_now().await;
                    }
                    if self.client_count.get() >= MAX_CLIENTS + MAX_ANSWERING_CLIENTS {
                        continue;
                    }
                    // Counted here and not in its task: more clients may be accepted before the task runs.
                    let disconnect = Rc::new(Notify::new());
                    self.idle_clients.borrow_mut().push_back(disconnect.clone());
                    self.client_count.set(self.client_count.get() + 1);
                    let server = self.clone();
                    spawn_local(async move {
                        // A failed connection concerns only its client.
                        let _ = server.handle_client(stream, disconnect).await;
                        server.client_count.set(server.client_count.get() - 1);
                    });
                }
                Err(error) => {
                    log_line(format_args!("control port: accept: {error}"));
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn handle_client(self: &Rc<Self>, mut stream: TcpStream, disconnect: Rc<Notify>) -> io::Result<()> {
        let (connected_at, mut decoder) = (Instant::now(), Decoder::default());
        let received = tokio::select! {
            // A complete request is answered even if the client was to be disconnected.
            biased;
            request = timeout(REQUEST_TIMEOUT, read_request(&mut stream, &mut decoder)) => Some(request),
            () = disconnect.notified() => None,
        };
        let cause = match &received {
            None => Some(DisconnectionCause::Evicted),
            Some(Err(_)) => Some(DisconnectionCause::TimedOut),
            Some(Ok(_)) => None,
        };
        if let Some(cause) = cause {
            self.count_disconnection(cause, connected_at.elapsed(), decoder.received_bytes());
        }
        self.idle_clients.borrow_mut().retain(|other| !Rc::ptr_eq(other, &disconnect));
        let response = match received {
            None => failure("too many callers that say nothing"),
            Some(Err(_)) => failure("no whole line within 2 s"),
            Some(Ok(request)) => match request? {
                Ok(request) => self.respond(request).await,
                Err(error) => failure(error),
            },
        };
        timeout(RESPONSE_TIMEOUT, async {
            stream.write_all(response.as_bytes()).await?;
            stream.shutdown().await
        })
        .await?
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

    async fn respond(&self, request: Request) -> String {
        let (reply, result) = oneshot::channel();
        let command = match request {
            Request::Status if self.metrics.ready() => return success("serving"),
            Request::Status => return failure("not serving"),
            Request::Metrics => return format!("{}{END_OF_METRICS}\n", self.metrics.statsd_lines()),
            Request::Suspend(id) => {
                ControlCommand::Override(OverrideCommand { key: suspend_key(id), activate: true, reply })
            }
            Request::Restore(id) => {
                ControlCommand::Override(OverrideCommand { key: suspend_key(id), activate: false, reply })
            }
            Request::Fleet => ControlCommand::FleetStatus(reply),
        };
        if self.commands.send(command).is_err() {
            return failure("this process takes no orders any more");
        }
        match timeout(COMMAND_TIMEOUT, result).await {
            Ok(Ok(Ok(text))) => success(text),
            Ok(Ok(Err(text))) => failure(text),
            Ok(Err(_)) => failure("this process takes no orders any more"),
            Err(_) => failure("not carried out within 0.8 s; it may be yet"),
        }
    }
}

fn suspend_key(endpoint_id: String) -> OverrideKey {
    OverrideKey { kind: OverrideKind::Suspend, endpoint_id }
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
