//! The shell: listens on a thread of its own, so that an answer waits for no round, no journal and no start.

use crate::metrics::Metrics;
use crate::overrides::{OverrideKey, OverrideKind};
use crate::protocol::{Decoder, END_OF_METRICS, Request, failure, success};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, oneshot};
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{sleep, timeout};

/// Descriptors of the door: its callers', its listener's and its runtime's.
pub const MAX_DESCRIPTORS: usize = MAX_CLIENTS + ANSWERED_MOST + 6;
/// Callers at once. One that has said nothing whole leaves when the next one comes.
pub const MAX_CLIENTS: usize = 16;
/// Callers beyond those: all of them have said what they want, and are being answered.
const ANSWERED_MOST: usize = 16;
/// How often callers get a turn to leave before one more is accepted.
const YIELDS: usize = 4;
/// A call is whole by then.
const CALL_TIME: Duration = Duration::from_secs(2);
/// The dispatcher's thread has said yes or no to an order by then, or the answer is no: it may be carried out later.
const ORDER_TIME: Duration = Duration::from_millis(800);
/// A caller has read its answer by then.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// The thread's stack, in bytes.
const STACK: usize = 256 << 10;
/// After a failed accept.
const PAUSE: Duration = Duration::from_millis(20);

/// What the dispatcher's thread is asked.
#[derive(Debug)]
pub enum ControlCommand {
    /// To carry out an order.
    Override(OverrideCommand),
    /// How the fleet stands.
    FleetStatus(oneshot::Sender<Result<String, String>>),
}

/// An order for the dispatcher's thread.
#[derive(Debug)]
pub struct OverrideCommand {
    /// What it is about.
    pub key: OverrideKey,
    /// Given, or called back.
    pub activate: bool,
    /// Where the answer goes: a yes or a no with its text.
    pub reply: oneshot::Sender<Result<String, String>>,
}

/// Opens the door; it stays open as long as the process.
///
/// # Errors
/// Where the address can't be listened at, or no thread be started.
pub fn start(
    at: SocketAddr, figures: Arc<Metrics>, orders: UnboundedSender<ControlCommand>,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    let at = listener.local_addr()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::Builder::new().name("door".into()).stack_size(STACK).spawn(move || {
        let door = Rc::new(Door { figures, orders, waiting: RefCell::default(), callers: Cell::new(0) });
        LocalSet::new().block_on(&runtime, async {
            match tokio::net::TcpListener::from_std(listener) {
                Ok(listener) => door.serve(listener).await,
                Err(error) => say(format_args!("door: {error}")),
            }
        });
    })?;
    Ok(at)
}

/// Writes a line to the log; one that takes nothing is no reason to end.
fn say(text: std::fmt::Arguments) {
    let _ = writeln!(io::stdout(), "{text}");
}

struct Door {
    figures: Arc<Metrics>,
    orders: UnboundedSender<ControlCommand>,
    /// Callers that have said nothing whole, the oldest first.
    waiting: RefCell<VecDeque<Rc<Notify>>>,
    callers: Cell<usize>,
}

impl Door {
    async fn serve(self: Rc<Self>, listener: tokio::net::TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    // The oldest that has said nothing is gone before this one counts; where all have said what they want,
                    // they are answered in a moment.
                    for _ in 0..YIELDS {
                        if self.callers.get() < MAX_CLIENTS {
                            break;
                        }
                        if let Some(oldest) = self.waiting.borrow_mut().pop_front() {
                            oldest.notify_one();
                        }
                        yield_now().await;
                    }
                    if self.callers.get() >= MAX_CLIENTS + ANSWERED_MOST {
                        continue;
                    }
                    // It counts from here on: more may be accepted before its task has run.
                    let leave = Rc::new(Notify::new());
                    self.waiting.borrow_mut().push_back(leave.clone());
                    self.callers.set(self.callers.get() + 1);
                    let door = self.clone();
                    spawn_local(async move {
                        // A caller that breaks off is its own affair.
                        let _ = door.caller(stream, leave).await;
                        door.callers.set(door.callers.get() - 1);
                    });
                }
                Err(error) => {
                    say(format_args!("door: accept: {error}"));
                    sleep(PAUSE).await;
                }
            }
        }
    }

    async fn caller(&self, mut stream: TcpStream, leave: Rc<Notify>) -> io::Result<()> {
        let call = tokio::select! {
            // What has said all that it wants is answered, also where it was to leave.
            biased;
            call = timeout(CALL_TIME, read(&mut stream)) => Some(call),
            () = leave.notified() => None,
        };
        self.waiting.borrow_mut().retain(|waiting| !Rc::ptr_eq(waiting, &leave));
        let answer = match call {
            None => failure("too many callers that say nothing"),
            Some(Err(_)) => failure("no whole line within 2 s"),
            Some(Ok(call)) => match call? {
                Ok(call) => self.answer(call).await,
                Err(malformed) => failure(malformed),
            },
        };
        timeout(ANSWER_TIME, async {
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await
        })
        .await?
    }

    async fn answer(&self, call: Request) -> String {
        let (reply, answered) = oneshot::channel();
        let asked = match call {
            Request::Status if self.figures.ready() => return success("serving"),
            Request::Status => return failure("not serving"),
            Request::Metrics => return format!("{}{END_OF_METRICS}\n", self.figures.statsd_lines()),
            Request::Suspend(id) => {
                ControlCommand::Override(OverrideCommand { key: suspend_key(id), activate: true, reply })
            }
            Request::Restore(id) => {
                ControlCommand::Override(OverrideCommand { key: suspend_key(id), activate: false, reply })
            }
            Request::Fleet => ControlCommand::FleetStatus(reply),
        };
        if self.orders.send(asked).is_err() {
            return failure("this process takes no orders any more");
        }
        match timeout(ORDER_TIME, answered).await {
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

type Read = Result<Request, crate::protocol::RequestError>;

async fn read(stream: &mut TcpStream) -> io::Result<Read> {
    let (mut decoder, mut bytes) = (Decoder::default(), [0; 1024]);
    loop {
        let read = stream.read(&mut bytes).await?;
        if read == 0 {
            return Ok(Err(decoder.finish()));
        }
        if let Some(call) = decoder.feed(&bytes[..read]) {
            return Ok(call);
        }
    }
}
