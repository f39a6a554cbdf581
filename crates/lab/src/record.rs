//! The record of a run: the events that the stand-ins observed, in order.
//!
//! The process that runs the stand-ins keeps the record, so that nothing is lost when a dispatcher dies.
//! A record file holds one JSON object a line; its first entry holds the parameters by which the auditor judges it.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Microseconds since the start of the run.
pub type Micros = u64;

/// What a repeated delivery of a message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// A repeat has no further effect.
    Safe,
    /// The receiver drops a repeat with the same idempotency key, within the class's key window.
    Keyed,
    /// A repeat takes effect again, which must never happen.
    Unsafe,
}

/// A class of messages. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Its name, as in paths and headers.
    pub name: String,
    /// What a repeated delivery does.
    pub effect: Effect,
    /// For keyed classes: how long a receiver remembers a key.
    #[serde(rename = "window")]
    pub key_window: Micros,
    /// Target latency: a message delivered within it counts as on time.
    #[serde(rename = "aim")]
    pub target_latency: Micros,
    /// Messages with the same order key are delivered one at a time, in the order in which they were accepted.
    #[serde(default)]
    pub ordered: bool,
}

/// The capacity of a destination that may fail and recover cold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DestinationCapacity {
    /// Its number.
    #[serde(rename = "dest")]
    pub destination: u32,
    /// Calls a second that it serves once it is warm.
    pub capacity: f64,
}

/// The parameters of the rules (protocol page, "The rules on sockets"). Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Classes of messages.
    pub classes: Vec<Class>,
    /// Destinations whose capacity is known.
    #[serde(rename = "places")]
    pub capacities: Vec<DestinationCapacity>,
    /// A final answer may arrive this long after a message's deadline.
    #[serde(rename = "answer_slack")]
    pub answer_grace: Micros,
    /// After a restart no notice is overdue until this long after readiness.
    pub restart_grace: Micros,
    /// New calls may go to a draining endpoint for this long after the dispatcher was informed.
    #[serde(rename = "drain")]
    pub drain_grace: Micros,
    /// The dispatcher has to apply a change of the list after this time at the latest.
    #[serde(rename = "told_by")]
    pub max_update_delay: Micros,
    /// Calls are tolerated for this long after a Retry-After was sent, and for the tolerance.
    #[serde(rename = "wait_grace")]
    pub retry_after_grace: Micros,
    /// Time that a recovered destination needs to become warm.
    #[serde(rename = "cold")]
    pub warm_up: Micros,
    /// Share of its capacity with which a cold destination starts.
    #[serde(rename = "cold_share")]
    pub initial_capacity_share: f64,
    /// A destination collapses when it gets more than this multiple of its present capacity ...
    #[serde(rename = "multiple")]
    pub overload_multiple: f64,
    /// ... over this time.
    #[serde(rename = "fall")]
    pub overload_time: Micros,
    /// Tolerance that is added to each time limit.
    #[serde(rename = "slack")]
    pub tolerance: Micros,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            classes: Vec::new(),
            capacities: Vec::new(),
            answer_grace: 300_000,
            restart_grace: 1_500_000,
            drain_grace: 1_000_000,
            max_update_delay: 6_000_000,
            retry_after_grace: 50_000,
            warm_up: 9_600_000,
            initial_capacity_share: 0.19,
            overload_multiple: 2.0,
            overload_time: 3_000_000,
            tolerance: 50_000,
        }
    }
}

/// A message in a call, as an endpoint read it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The id of the message.
    pub id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// A digest of its body.
    #[serde(rename = "body")]
    pub body_digest: u64,
}

/// How a call ended at the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallEnd {
    /// A complete response with this status was written.
    Answered(u16),
    /// A status line with this status was written; the rest was truncated or malformed.
    #[serde(rename = "cut")]
    Truncated(u16),
    /// The endpoint closed the connection without a response, or with an unreadable one.
    Broken,
    /// The dispatcher closed the connection.
    Closed,
}

/// The result that the endpoint reported for one message of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MessageResult {
    /// Delivered.
    Delivered,
    /// It failed, and may have run.
    Failed,
    /// It was rejected and never ran.
    #[serde(rename = "refused")]
    Rejected,
    /// Its deadline has passed; no further attempt is due.
    #[serde(rename = "over")]
    Expired,
    /// It has had all its attempts.
    #[serde(rename = "spent")]
    AttemptsExhausted,
}

/// The state of an endpoint in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// In service.
    Up,
    /// It completes pending calls and gets no new ones.
    Draining,
    /// No longer in the list.
    Removed,
}

/// How a dispatcher ended an accepted message that it did not deliver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The message may or may not have taken effect.
    GivenUp,
    /// The client can safely submit it again.
    HandedBack,
}

/// A signal to a dispatcher's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessSignal {
    /// SIGKILL
    Kill,
    /// SIGTERM
    Term,
    /// SIGSTOP
    Stop,
    /// SIGCONT
    Cont,
    /// SIGHUP
    Hup,
}

/// An event that a stand-in observed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Event {
    /// The parameters of the rules: the first entry.
    Rules(Rules),
    /// A client has written the last byte of a message.
    #[serde(rename = "asked")]
    Submitted {
        /// The id, new for each submission.
        id: String,
        /// The id of the message's first submission.
        origin: String,
        /// Its class.
        class: String,
        /// Its destination.
        #[serde(rename = "dest")]
        destination: u32,
        /// Its idempotency key.
        key: Option<String>,
        /// Its order key.
        #[serde(default)]
        order: Option<String>,
        /// A digest of its body.
        #[serde(rename = "body")]
        body_digest: u64,
        /// Until when it may be delivered.
        deadline: Micros,
        /// The dispatcher that received it.
        dispatcher: usize,
        /// It is the first request on its connection.
        #[serde(rename = "fresh")]
        new_connection: bool,
    },
    /// The client has read the response.
    Answered {
        /// The message.
        id: String,
        /// The status of the response.
        status: u16,
    },
    /// The client timed out and closed the connection.
    #[serde(rename = "left")]
    ClientTimedOut {
        /// The message.
        id: String,
    },
    /// The connection ended without a response.
    #[serde(rename = "dropped")]
    ConnectionLost {
        /// The message.
        id: String,
    },
    /// The last byte of a call has arrived at an endpoint.
    Call {
        /// Its number.
        call: u64,
        /// The endpoint.
        endpoint: String,
        /// The endpoint's destination.
        #[serde(rename = "dest")]
        destination: u32,
        /// The dispatcher that made the call.
        dispatcher: usize,
        /// When the first byte arrived.
        #[serde(rename = "first")]
        first_byte_at: Micros,
        /// Its messages.
        items: Vec<Item>,
    },
    /// A probe has arrived at an endpoint.
    Probe {
        /// The endpoint.
        endpoint: String,
        /// The endpoint's destination.
        #[serde(rename = "dest")]
        destination: u32,
        /// The dispatcher that sent it.
        dispatcher: usize,
        /// The endpoint reported itself healthy.
        #[serde(rename = "well")]
        healthy: bool,
    },
    /// The endpoint has processed a message, whatever becomes of its response.
    #[serde(rename = "ran")]
    MessageProcessed {
        /// The call.
        call: u64,
        /// The message.
        id: String,
        /// It took effect: it was not dropped as a repeat.
        #[serde(rename = "effect")]
        took_effect: bool,
    },
    /// A call is over at the endpoint.
    #[serde(rename = "ended")]
    CallEnded {
        /// The call.
        call: u64,
        /// How it ended.
        #[serde(rename = "how")]
        end: CallEnd,
        /// The result of each message, where the call was a batch and its status 200.
        #[serde(default)]
        #[serde(rename = "fates")]
        results: Vec<MessageResult>,
        /// The Retry-After of the response.
        #[serde(default)]
        #[serde(rename = "wait")]
        retry_after: Option<Micros>,
    },
    /// A destination stopped serving.
    #[serde(rename = "out")]
    OutageStarted {
        /// The destination.
        #[serde(rename = "dest")]
        destination: u32,
        /// It refuses new connections, which no endpoint observes.
        #[serde(rename = "refusing")]
        refuses_connections: bool,
    },
    /// A destination serves again, cold.
    #[serde(rename = "back")]
    OutageEnded {
        /// The destination.
        #[serde(rename = "dest")]
        destination: u32,
    },
    /// The platform's list has changed.
    #[serde(rename = "changed")]
    EndpointChanged {
        /// The endpoint.
        endpoint: String,
        /// Its new state.
        state: EndpointState,
    },
    /// A change of the list has been written to a dispatcher in full.
    #[serde(rename = "told")]
    ChangeDelivered {
        /// The dispatcher.
        dispatcher: usize,
        /// The endpoint.
        endpoint: String,
        /// The state that was written.
        state: EndpointState,
    },
    /// The platform stopped or resumed answering requests for the list.
    #[serde(rename = "silent")]
    PlatformSilent {
        /// Whether it is silent now.
        #[serde(rename = "on")]
        silent: bool,
    },
    /// A notice arrived.
    Notice {
        /// The dispatcher that sent it.
        dispatcher: usize,
        /// The message.
        id: String,
        /// How it ended.
        outcome: Outcome,
        /// When the client may submit it again, in milliseconds.
        #[serde(default)]
        retry_ms: Option<u64>,
        /// The status that the platform answered.
        status: u16,
    },
    /// A dispatcher's process was started.
    #[serde(rename = "started")]
    ProcessStarted {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// A dispatcher reported itself ready.
    #[serde(rename = "ready")]
    ProcessReady {
        /// The dispatcher.
        dispatcher: usize,
    },
    /// A dispatcher was sent a signal.
    #[serde(rename = "signalled")]
    SignalSent {
        /// The dispatcher.
        dispatcher: usize,
        /// The signal.
        signal: ProcessSignal,
    },
    /// A dispatcher's process has ended.
    #[serde(rename = "exited")]
    ProcessExited {
        /// The dispatcher.
        dispatcher: usize,
        /// It had been asked to exit, and its exit code was 0 or it was killed on purpose.
        #[serde(rename = "asked")]
        expected: bool,
    },
    /// The run is over: nothing was observed after this.
    #[serde(rename = "done")]
    RunEnded,
}

/// One entry of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When it was observed.
    pub at: Micros,
    /// What was observed.
    #[serde(flatten)]
    pub event: Event,
}

/// A digest of a body: FNV-1a, which needs no key and gives the same result in each run.
pub fn digest(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}

/// Collects the events of one run. Clones share one record.
#[derive(Clone)]
pub struct Recorder {
    started_at: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
    max_entries: usize,
}

impl Recorder {
    /// An empty record that holds at most `max_entries` entries. A run that reaches the limit is reported as an error,
    /// since its record is incomplete.
    pub fn new(max_entries: usize) -> Recorder {
        Recorder { started_at: Instant::now(), entries: Arc::default(), max_entries }
    }

    /// The present time on the record's clock.
    pub fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Converts an instant to the record's clock.
    pub fn micros_at(&self, at: Instant) -> Micros {
        at.saturating_duration_since(self.started_at).as_micros() as Micros
    }

    /// Converts a time on the record's clock to an instant.
    pub fn instant(&self, at: Micros) -> Instant {
        self.started_at + std::time::Duration::from_micros(at)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an event at the present time. The time is taken with the record locked, so that times never decrease.
    pub fn add(&self, event: Event) -> Micros {
        let mut entries = self.lock();
        let at = self.now();
        if entries.len() < self.max_entries {
            entries.push(Entry { at, event });
        }
        at
    }

    /// Whether the record has reached its maximum size.
    pub fn is_full(&self) -> bool {
        self.lock().len() >= self.max_entries
    }

    /// The entries so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().clone()
    }

    /// Passes the entries so far to `read`, without copying them.
    pub fn with_entries<T>(&self, read: impl FnOnce(&[Entry]) -> T) -> T {
        read(&self.lock())
    }
}

/// Writes a record to a file, one entry a line.
///
/// # Errors
/// The file could not be written.
pub fn save(path: &Path, entries: &[Entry]) -> io::Result<()> {
    let mut file = BufWriter::new(File::create(path)?);
    for entry in entries {
        serde_json::to_writer(&mut file, entry)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}

/// Reads a record from a file.
///
/// # Errors
/// The file can't be read or holds an invalid entry; the text names the file, the line and the cause.
pub fn load(path: &Path) -> Result<Vec<Entry>, String> {
    let describe = |line: usize, error: &dyn std::fmt::Display| format!("{}:{line}: {error}", path.display());
    let file = File::open(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let mut entries = Vec::new();
    for (index, line) in BufReader::new(file).lines().enumerate() {
        let line = line.map_err(|error| describe(index + 1, &error))?;
        if !line.trim().is_empty() {
            entries.push(serde_json::from_str(&line).map_err(|error| describe(index + 1, &error))?);
        }
    }
    if !matches!(entries.first(), Some(Entry { event: Event::Rules(_), .. })) {
        return Err(describe(1, &"the parameters of the rules expected as the first entry"));
    }
    Ok(entries)
}
