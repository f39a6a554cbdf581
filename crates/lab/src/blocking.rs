//! The stand-ins for tests that are not asynchronous themselves: scripted endpoints, a platform, clients, and a
//! dispatcher as a process. They run on one thread of their own, however many tests use them.

use crate::endpoint::{self, Call, ConnectionLimits, EndpointResponse};
use crate::http::HttpConnection;
use crate::platform::{self, PlatformBehavior};
use crate::record::{CallEnd, Recorder};
use fawnspoke_control::protocol::{Request as DoorCall, Response as DoorReply};
use serde_json::{Value, json};
use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use tokio::runtime::Handle;
use tokio::time::timeout;

pub use crate::http::HttpMessage;

/// Far longer than anything takes that is waited for.
const PATIENCE: Duration = Duration::from_secs(30);
/// Entries that a test's record may have.
const ENTRIES_MOST: usize = 100_000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The runtime on which the stand-ins live.
pub(crate) fn runtime_handle() -> &'static Handle {
    static HANDLE: OnceLock<Handle> = OnceLock::new();
    HANDLE.get_or_init(|| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let handle = runtime.handle().clone();
        thread::spawn(move || runtime.block_on(std::future::pending::<()>()));
        handle
    })
}

/// Waits until the condition holds.
///
/// # Panics
/// Where it does not within 30 s.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "never came: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// What a scripted endpoint does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A status, further header lines, a body.
    Answer(u16, String, String),
    /// A bare status after a while.
    Delayed(Duration, u16),
    /// An answer after which the connection is closed without a word of it.
    AnswerAndClose(u16),
    /// Bytes as they are; the connection stays open for more calls.
    Raw(Vec<u8>),
    /// The first bytes, then the second ones over and over until the other side has had enough.
    Endless(Vec<u8>, Vec<u8>),
    /// Breaks the connection.
    Disconnect,
    /// Never answers; reads on until the other side closes.
    Hang,
}

impl Reply {
    /// A bare status.
    pub fn status(status: u16) -> Reply {
        Reply::Answer(status, String::new(), String::new())
    }

    fn carried_out(self) -> endpoint::Reply {
        use endpoint::Reply as Out;
        match self {
            Reply::Answer(status, headers, body) => {
                Out::immediate(EndpointResponse::Complete(status, headers, body.into_bytes()))
            }
            Reply::Delayed(after, status) => Out::status(status).delayed(after),
            Reply::AnswerAndClose(status) => Out::immediate(EndpointResponse::CompleteAndClose(status)),
            // How it counts is of no concern: tests look at what follows.
            Reply::Raw(bytes) => Out::immediate(EndpointResponse::Raw(bytes, CallEnd::Broken)),
            Reply::Endless(first, more) => Out::immediate(EndpointResponse::Endless(first, more)),
            Reply::Disconnect => Out::immediate(EndpointResponse::Disconnect),
            Reply::Hang => Out::immediate(EndpointResponse::Hang),
        }
    }
}

/// A request as an endpoint saw it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The request.
    pub request: HttpMessage,
    /// The connection it came on, counted from 0.
    pub connection: usize,
    /// When it was there in full.
    pub received_at: Instant,
}

impl ReceivedRequest {
    /// The message's id; `-` where it has none.
    pub fn message_id(&self) -> &str {
        self.request.header("request-id").unwrap_or("-")
    }
}

type Decide = dyn Fn(usize, &HttpMessage) -> Reply + Send + Sync;

struct Scripted {
    decide: Box<Decide>,
    seen: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl endpoint::CallHandler for Scripted {
    fn handle(&self, call: &Call) -> endpoint::Reply {
        let number = {
            let mut seen = lock(&self.seen);
            seen.push(ReceivedRequest {
                request: call.request.clone(),
                connection: call.connection,
                received_at: call.request.last_byte_at,
            });
            seen.len() - 1
        };
        (self.decide)(number, &call.request).carried_out()
    }
}

/// A scripted endpoint. Its script is asked with the number of the request, from 0.
#[derive(Clone)]
pub struct Endpoint {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<ReceivedRequest>>>,
    endpoint: Arc<endpoint::Endpoint>,
}

impl Endpoint {
    /// Starts one at an address that is free.
    ///
    /// # Panics
    /// Where there is none.
    pub fn start(script: impl Fn(usize, &HttpMessage) -> Reply + Send + Sync + 'static) -> Endpoint {
        Endpoint::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), script)
    }

    /// Starts one at this address.
    ///
    /// # Panics
    /// Where it can't listen there.
    pub fn start_at(
        at: SocketAddr, script: impl Fn(usize, &HttpMessage) -> Reply + Send + Sync + 'static,
    ) -> Endpoint {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let script = Scripted { decide: Box::new(script), seen: seen.clone() };
        let recorder = Recorder::new(ENTRIES_MOST);
        let started = async {
            endpoint::Endpoint::start(
                "e",
                0,
                &[at],
                ConnectionLimits::default(),
                script,
                recorder,
                Arc::default(),
            )
            .await
        };
        let endpoint = runtime_handle().block_on(started).expect("an endpoint that listens");
        Endpoint { address: endpoint.address(0).expect("its address"), seen, endpoint: Arc::new(endpoint) }
    }

    /// What it has seen.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        lock(&self.seen).clone()
    }

    /// The ids of what it has seen.
    pub fn message_ids(&self) -> Vec<String> {
        self.requests().iter().map(|seen| seen.message_id().to_string()).collect()
    }

    /// Connections that are open.
    pub fn open_connections(&self) -> usize {
        let counters = self.endpoint.counters();
        counters.accepted_connections.load(Ordering::SeqCst)
            - counters.closed_connections.load(Ordering::SeqCst)
    }

    /// Calls that the other side gave up.
    pub fn abandoned_calls(&self) -> usize {
        self.endpoint.counters().abandoned_calls.load(Ordering::SeqCst)
    }

    /// Its line in discovery's list.
    pub fn list_entry(&self, name: &str, dest: u32, health: &str) -> Value {
        list_entry(name, self.address, dest, "single", health)
    }
}

/// A line of discovery's list.
pub fn list_entry(name: &str, at: SocketAddr, dest: u32, class: &str, health: &str) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": "a", "class": class, "block": dest,
        "health": health, "share": 50.0, "born_ms": 0})
}

/// An endpoint that gets nothing: what is for its destination is held.
pub fn draining_endpoint(dest: u32) -> Value {
    list_entry("held", SocketAddr::from(([127, 0, 0, 9], 9)), dest, "single", "draining")
}

/// Discovery and the place where notices go. It says what it is told to say and nothing else.
pub struct Platform {
    /// Where it is.
    pub address: SocketAddr,
    platform: platform::Platform,
}

impl Platform {
    /// Starts one.
    ///
    /// # Panics
    /// Where it can't listen.
    pub fn start() -> Platform {
        let (platform, _) = platform::Platform::new(Vec::new(), Recorder::new(ENTRIES_MOST));
        platform.set_behavior(|mood| mood.heartbeats = false);
        let at = SocketAddr::from(([127, 0, 0, 1], 0));
        let at = runtime_handle().block_on(platform.start_agent(0, at)).expect("a platform that listens");
        Platform { address: at, platform }
    }

    /// Changes its mood.
    pub fn set(&self, change: impl FnOnce(&mut PlatformBehavior)) {
        self.platform.set_behavior(change);
    }

    /// Connections are taken and nothing but notices is answered.
    pub fn set_silent(&self, on: bool) {
        self.set(|mood| mood.silent = on);
    }

    /// What a notice is answered from now on.
    pub fn set_notice_status(&self, status: u16) {
        self.set(|mood| mood.notice_status = status);
    }

    /// Writes a line to all watches, once there is one.
    ///
    /// # Panics
    /// Where there is none in 30 s.
    pub fn push_line(&self, line: &str) {
        self.say(None, line);
    }

    /// Writes changed lines of the list to all watches, once there is one.
    ///
    /// # Panics
    /// Where there is none in 30 s.
    pub fn push_changes(&self, seq: u64, hosts: &[Value]) {
        self.say(Some(seq), &json!({"seq": seq, "whole": false, "hosts": hosts}).to_string());
    }

    fn say(&self, seq: Option<u64>, line: &str) {
        let said = async { timeout(PATIENCE, self.platform.push_line(seq, line)).await };
        runtime_handle().block_on(said).expect("a watch");
    }

    /// The paths of the watches that were asked for.
    pub fn watch_paths(&self) -> Vec<String> {
        self.platform.watch_requests().into_iter().map(|(_, path)| path).collect()
    }

    /// The outcomes told for a message.
    pub fn outcomes(&self, id: &str) -> Vec<String> {
        let notices = self.notices();
        let told = notices.iter().filter(|notice| notice["message"] == id);
        told.map(|notice| notice["outcome"].as_str().unwrap_or_default().to_string()).collect()
    }

    /// All notices.
    pub fn notices(&self) -> Vec<Value> {
        let notices = self.platform.notices().into_iter();
        notices
            .map(|(_, n)| json!({"message": n.message, "outcome": n.outcome, "retry_in_ms": n.retry_in_ms}))
            .collect()
    }
}

/// The dispatcher: its configuration, its folder, and the process while it runs.
pub struct Dispatcher {
    /// Its configuration, written at each start.
    pub config: Value,
    program: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    at: Option<SocketAddr>,
    log: Arc<Mutex<Vec<String>>>,
    /// A shell line that runs before the program.
    pub shell_prelude: String,
    /// Whether it has a door for operators.
    pub control_enabled: bool,
    control: Option<SocketAddr>,
    /// Where other members of its fleet reach it.
    members: Arc<Mutex<Option<SocketAddr>>>,
}

impl Dispatcher {
    /// One that is not started yet, with its folder below `parent`.
    ///
    /// # Panics
    /// Where the folder can't be made.
    pub fn new(program: &Path, parent: &Path, platform: &Platform, known: &[Value]) -> Dispatcher {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let folder = parent.join(format!("sockets-{}-{number}", std::process::id()));
        fs::create_dir_all(folder.join("state")).expect("a folder");
        let class = |name: &str, effect: &str| {
            json!({"name": name, "deadline": 20.0, "effect": effect, "gain": 1.0, "goal_time": 2.0,
                "group": "all", "late_share": 0.3, "repeat_window": 15.0, "stream": false})
        };
        let settings = json!({
            "balancers": 1, "discovery": "automatic", "tick": 0.005, "weights": "nominal", "zone": 0,
            "family_info": {"call_slots": 8, "kind_apart": [false, false], "kind_batch": [1, 5],
                "loses_worth": "by_half"},
            "grades": [class("safe", "read_like"), class("keyed", "idempotency_key"),
                class("unsafe", "non_idempotent")],
            "kinds": ["single", "many"], "zones": ["a"],
            "limits": {"connect_timeout": 1.0, "keepalive": 15.0, "max_retry_after": 3.0, "open_cap": 100,
                "probes": true, "send_cap": 12},
            "report": {"fields": ["x0", "x1"], "source": "inline"},
            "safety": {"cold": 9.6, "cold_share": 0.2, "fall": 3.0, "must_ask_in": 10.0,
                "tip_multiple": 2.0},
        });
        let config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": platform.address.to_string(), "seed": "2a",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {"seq": 1, "whole": true, "hosts": known}, "settings": settings,
        });
        let program = program.to_path_buf();
        Dispatcher {
            config,
            program,
            folder,
            child: None,
            at: None,
            log: Arc::default(),
            shell_prelude: String::new(),
            control_enabled: false,
            control: None,
            members: Arc::default(),
        }
    }

    /// Where other members of its fleet reach it, once it has said so.
    pub fn member_address(&self) -> Arc<Mutex<Option<SocketAddr>>> {
        self.members.clone()
    }

    /// Its log so far, over all its processes.
    pub fn log(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// The id of its process, while it runs.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether it runs, as far as this side has not ended it.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// The folder that outlasts its processes.
    pub fn state_dir(&self) -> PathBuf {
        self.folder.join("state")
    }

    /// The last segment of its journal.
    ///
    /// # Panics
    /// Where there is none.
    pub fn last_segment(&self) -> PathBuf {
        let files = fs::read_dir(self.state_dir()).expect("a folder").flatten().map(|file| file.path());
        let segments = files.filter(|file| file.extension().is_some_and(|end| end == "journal"));
        segments.max().expect("a segment")
    }

    /// Writes the file of the configuration.
    ///
    /// # Panics
    /// Where it can't be written.
    pub fn write_config(&self, text: &str) -> PathBuf {
        let config = self.folder.join("config.json");
        fs::write(&config, text).expect("a file for the configuration");
        config
    }

    /// Whether a line of the log holds the text.
    pub fn log_contains(&self, text: &str) -> bool {
        lock(&self.log).iter().any(|line| line.contains(text))
    }

    /// The command that runs it, with its configuration written.
    pub fn command(&self) -> Command {
        let config = self.write_config(&self.config.to_string());
        let mut command = Command::new("sh");
        command
            .arg("-c")
            .arg(format!("{} exec \"$0\"", self.shell_prelude))
            .arg(&self.program)
            .env("GW_CONFIG", config)
            .env("GW_STATE", self.state_dir())
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        command
    }

    /// Starts the process and waits until it listens.
    ///
    /// # Panics
    /// Where it doesn't.
    pub fn start(&mut self) {
        let command = self.command();
        self.child = Some(self.begin(command));
    }

    /// Starts a process beside the one that runs and waits until it has taken over; the old one.
    ///
    /// # Panics
    /// Where none runs, or the new one doesn't listen.
    pub fn upgrade(&mut self) -> Child {
        let command = self.command();
        let child = self.begin(command);
        self.child.replace(child).expect("a process")
    }

    fn begin(&mut self, mut command: Command) -> Child {
        if self.control_enabled {
            command.env("GW_CONTROL", "127.0.0.1:0");
        }
        let mut child = command.spawn().expect("a process");
        let mut lines = BufReader::new(child.stdout.take().expect("its output")).lines();
        let mut at = None;
        for line in lines.by_ref().map_while(Result::ok) {
            let said = |text: &str| line.split_once(text).and_then(|(_, at)| at.parse().ok());
            self.control = said("answers operators at ").or(self.control);
            at = said("listens at ");
            if at.is_some() {
                break;
            }
            note(&self.members, &line);
            lock(&self.log).push(line);
        }
        // The log is read on, or the process would stand still once the pipe is full.
        let (log, members) = (self.log.clone(), self.members.clone());
        thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| {
                note(&members, &line);
                lock(&log).push(line);
            });
        });
        self.at = Some(at.expect("the process listens"));
        child
    }

    /// Asks its door.
    ///
    /// # Panics
    /// Where it has none, or no answer comes in 30 s.
    pub fn send_control_request(&self, call: &DoorCall) -> DoorReply {
        let at = self.control.expect("a door");
        fawnspoke_control::client::send_request(at, call, PATIENCE).expect("an answer")
    }

    /// Where its door is.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control
    }

    /// Sends it a signal by its short name.
    ///
    /// # Panics
    /// Where it doesn't run.
    pub fn signal(&self, name: &str) {
        let id = self.child.as_ref().expect("a process").id();
        let done = Command::new("sh").arg("-c").arg(format!("kill -{name} {id}")).status();
        assert!(done.is_ok_and(|status| status.success()));
    }

    /// SIGKILL, at once.
    ///
    /// # Panics
    /// Where it doesn't run.
    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("a process");
        child.kill().expect("it can be killed");
        child.wait().expect("it ends");
    }

    /// Waits for the process to end by itself; whether it says that all went well.
    ///
    /// # Panics
    /// Where it doesn't within 30 s.
    pub fn wait(&mut self) -> bool {
        let mut child = self.child.take().expect("a process");
        let mut status = None;
        eventually("the end of the process", || {
            status = child.try_wait().expect("its status");
            status.is_some()
        });
        status.is_some_and(|status| status.success())
    }

    /// A client's connection.
    ///
    /// # Panics
    /// Where it doesn't come up.
    pub fn connect(&self) -> Client {
        let at = self.at.expect("a process that listens");
        let wire = runtime_handle().block_on(async { HttpConnection::connect(at, PATIENCE).await });
        Client(wire.expect("a connection"))
    }

    /// Hands in a small message as soon as a list that names its destination has come.
    pub fn submit_once_listed(&self, class: &str, id: &str, dest: u32) {
        eventually("the list", || self.submit(class, id, dest) == 202);
    }

    /// Hands in a small message on a connection of its own; returns the status.
    pub fn submit(&self, class: &str, id: &str, dest: u32) -> u16 {
        self.connect().submit(class, id, dest, 15_000, b"hello").status()
    }
}

/// Takes note of where other members of a fleet reach a process.
fn note(members: &Mutex<Option<SocketAddr>>, line: &str) {
    if let Some(at) = line.split_once("members are heard at ").and_then(|(_, at)| at.parse().ok()) {
        *lock(members) = Some(at);
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself; and what can't be removed is below the build's own folder.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A client's connection.
pub struct Client(HttpConnection);

impl Client {
    /// Writes bytes.
    ///
    /// # Panics
    /// Where the connection has ended.
    pub fn write(&mut self, bytes: &[u8]) {
        runtime_handle().block_on(self.0.write(bytes)).expect("an open connection");
    }

    /// Ends its sending.
    ///
    /// # Panics
    /// Where the connection has ended.
    pub fn shutdown_write(&mut self) {
        runtime_handle().block_on(self.0.shutdown_write()).expect("an open connection");
    }

    /// Sends a message and doesn't wait.
    pub fn send(&mut self, class: &str, id: &str, dest: u32, timeout_ms: u32, body: &[u8]) {
        let head = format!(
            "POST /{class} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
             Request-Timeout-Ms: {timeout_ms}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\
             X-Consignee: dest={dest}\r\n\r\n",
            body.len()
        );
        self.write(&[head.as_bytes(), body].concat());
    }

    /// The next answer.
    ///
    /// # Panics
    /// Where none comes in 30 s.
    pub fn read_response(&mut self) -> HttpMessage {
        let answered = async { timeout(PATIENCE, self.0.read_response()).await };
        runtime_handle().block_on(answered).expect("an answer in time").expect("an answer")
    }

    /// The next answer; none where the connection ends without one.
    pub fn try_read_response(&mut self) -> Option<HttpMessage> {
        let answered = async { timeout(PATIENCE, self.0.read_response()).await };
        runtime_handle().block_on(answered).ok()?.ok()
    }

    /// Whether the other side ends the connection; what it still says is passed over.
    pub fn is_closed_by_peer(&mut self) -> bool {
        let closed = async {
            loop {
                match self.0.read_available().await {
                    Ok(piece) if piece.is_empty() => return true,
                    Ok(_) => {}
                    Err(error) => return error.kind() == io::ErrorKind::ConnectionReset,
                }
            }
        };
        runtime_handle().block_on(async { timeout(PATIENCE, closed).await }).unwrap_or(false)
    }

    /// Sends a message and waits for its answer.
    pub fn submit(&mut self, class: &str, id: &str, dest: u32, timeout_ms: u32, body: &[u8]) -> HttpMessage {
        self.send(class, id, dest, timeout_ms, body);
        self.read_response()
    }
}
