//! Blocking API of the stand-ins for tests that are not asynchronous: scripted endpoints, a platform, clients,
//! and a dispatcher as a process. All stand-ins run on one shared background thread.

use crate::endpoint::{self, Call, ConnectionLimits, EndpointResponse};
use crate::http::HttpConnection;
use crate::platform::{self, PlatformBehavior};
use crate::record::{CallEnd, Recorder};
use fawnspoke_control::protocol::{Request as ControlRequest, Response as ControlResponse};
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

/// Timeout of every wait; much longer than any of them takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of entries of a test's record.
const MAX_RECORD_ENTRIES: usize = 100_000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The runtime on which the stand-ins run.
pub(crate) fn runtime_handle() -> &'static Handle {
    static HANDLE: OnceLock<Handle> = OnceLock::new();
    HANDLE.get_or_init(|| {
        let runtime =
            tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
        let handle = runtime.handle().clone();
        thread::spawn(move || runtime.block_on(std::future::pending::<()>()));
        handle
    })
}

/// Waits until the condition holds.
///
/// # Panics
/// Where it does not hold within 30 s.
pub fn eventually(condition: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "timed out waiting for: {condition}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// How a scripted endpoint responds to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A response with a status, header lines and a body.
    Answer(u16, String, String),
    /// A response with this status and nothing else, after a delay.
    Delayed(Duration, u16),
    /// A response after which the connection is closed without a `Connection: close`.
    AnswerAndClose(u16),
    /// These bytes as they are; the connection stays open for more calls.
    Raw(Vec<u8>),
    /// The first bytes, then the second ones repeatedly until the peer closes the connection.
    Endless(Vec<u8>, Vec<u8>),
    /// Closes the connection.
    Disconnect,
    /// Never responds, and reads until the peer closes the connection.
    Hang,
}

impl Reply {
    /// A response with this status and nothing else.
    pub fn status(status: u16) -> Reply {
        Reply::Answer(status, String::new(), String::new())
    }

    fn into_endpoint_reply(self) -> endpoint::Reply {
        use endpoint::Reply as EndpointReply;
        match self {
            Reply::Answer(status, headers, body) => {
                EndpointReply::immediate(EndpointResponse::Complete(status, headers, body.into_bytes()))
            }
            Reply::Delayed(delay, status) => EndpointReply::status(status).delayed(delay),
            Reply::AnswerAndClose(status) => {
                EndpointReply::immediate(EndpointResponse::CompleteAndClose(status))
            }
            // The recorded end of the call does not matter: tests check what follows it.
            Reply::Raw(bytes) => EndpointReply::immediate(EndpointResponse::Raw(bytes, CallEnd::Broken)),
            Reply::Endless(first, more) => EndpointReply::immediate(EndpointResponse::Endless(first, more)),
            Reply::Disconnect => EndpointReply::immediate(EndpointResponse::Disconnect),
            Reply::Hang => EndpointReply::immediate(EndpointResponse::Hang),
        }
    }
}

/// A request that an endpoint has received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The request.
    pub request: HttpMessage,
    /// Number of its connection, counted from 0.
    pub connection: usize,
    /// When its last byte was received.
    pub received_at: Instant,
}

impl ReceivedRequest {
    /// The message's id; `-` where the request has none.
    pub fn message_id(&self) -> &str {
        self.request.header("request-id").unwrap_or("-")
    }
}

type DecideReply = dyn Fn(usize, &HttpMessage) -> Reply + Send + Sync;

struct ScriptedHandler {
    decide: Box<DecideReply>,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
}

impl endpoint::CallHandler for ScriptedHandler {
    fn handle(&self, call: &Call) -> endpoint::Reply {
        let index = {
            let mut requests = lock(&self.requests);
            requests.push(ReceivedRequest {
                request: call.request.clone(),
                connection: call.connection,
                received_at: call.request.last_byte_at,
            });
            requests.len() - 1
        };
        (self.decide)(index, &call.request).into_endpoint_reply()
    }
}

/// A scripted endpoint. Its script receives the number of each request, from 0, and the request.
#[derive(Clone)]
pub struct Endpoint {
    /// The address at which it listens.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<ReceivedRequest>>>,
    endpoint: Arc<endpoint::Endpoint>,
}

impl Endpoint {
    /// Starts an endpoint at a free address.
    ///
    /// # Panics
    /// Where there is none.
    pub fn start(script: impl Fn(usize, &HttpMessage) -> Reply + Send + Sync + 'static) -> Endpoint {
        Endpoint::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), script)
    }

    /// Starts an endpoint at this address.
    ///
    /// # Panics
    /// Where it can't listen there.
    pub fn start_at(
        address: SocketAddr, script: impl Fn(usize, &HttpMessage) -> Reply + Send + Sync + 'static,
    ) -> Endpoint {
        let requests = Arc::new(Mutex::new(Vec::new()));
        let script = ScriptedHandler { decide: Box::new(script), requests: requests.clone() };
        let recorder = Recorder::new(MAX_RECORD_ENTRIES);
        let starting = async {
            endpoint::Endpoint::start(
                "e",
                0,
                &[address],
                ConnectionLimits::default(),
                script,
                recorder,
                Arc::default(),
            )
            .await
        };
        let endpoint = runtime_handle().block_on(starting).expect("the endpoint listens");
        Endpoint {
            address: endpoint.address(0).expect("the endpoint's address"),
            requests,
            endpoint: Arc::new(endpoint),
        }
    }

    /// All requests so far.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        lock(&self.requests).clone()
    }

    /// The message ids of all requests so far.
    pub fn message_ids(&self) -> Vec<String> {
        self.requests().iter().map(|request| request.message_id().to_string()).collect()
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        let counters = self.endpoint.counters();
        counters.accepted_connections.load(Ordering::SeqCst)
            - counters.closed_connections.load(Ordering::SeqCst)
    }

    /// Number of calls that the peer abandoned.
    pub fn abandoned_calls(&self) -> usize {
        self.endpoint.counters().abandoned_calls.load(Ordering::SeqCst)
    }

    /// Its entry in discovery's list.
    pub fn list_entry(&self, name: &str, destination: u32, health: &str) -> Value {
        list_entry(name, self.address, destination, "single", health)
    }
}

/// An entry of discovery's list.
pub fn list_entry(name: &str, address: SocketAddr, destination: u32, class: &str, health: &str) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": "a", "class": class, "block": destination,
        "health": health, "share": 50.0, "born_ms": 0})
}

/// The entry of an endpoint that is draining: it receives no calls, so messages for its destination stay
/// pending.
pub fn draining_endpoint(destination: u32) -> Value {
    list_entry("held", SocketAddr::from(([127, 0, 0, 9], 9)), destination, "single", "draining")
}

/// Discovery, and the receiver of notices. It sends only what a test requests.
pub struct Platform {
    /// Its address.
    pub address: SocketAddr,
    platform: platform::Platform,
}

impl Platform {
    /// Starts a platform.
    ///
    /// # Panics
    /// Where it can't listen.
    pub fn start() -> Platform {
        let (platform, _) = platform::Platform::new(Vec::new(), Recorder::new(MAX_RECORD_ENTRIES));
        platform.set_behavior(|behavior| behavior.heartbeats = false);
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let address =
            runtime_handle().block_on(platform.start_agent(0, address)).expect("the platform listens");
        Platform { address, platform }
    }

    /// Changes its behavior.
    pub fn set(&self, change: impl FnOnce(&mut PlatformBehavior)) {
        self.platform.set_behavior(change);
    }

    /// Whether it leaves everything but notices unanswered.
    pub fn set_silent(&self, on: bool) {
        self.set(|behavior| behavior.silent = on);
    }

    /// Sets the status with which it responds to notices.
    pub fn set_notice_status(&self, status: u16) {
        self.set(|behavior| behavior.notice_status = status);
    }

    /// Writes a line to all watches, once there is one.
    ///
    /// # Panics
    /// Where there is none within 30 s.
    pub fn push_line(&self, line: &str) {
        self.push_to_watches(None, line);
    }

    /// Writes changed entries of the list to all watches, once there is one.
    ///
    /// # Panics
    /// Where there is none within 30 s.
    pub fn push_changes(&self, seq: u64, hosts: &[Value]) {
        self.push_to_watches(Some(seq), &json!({"seq": seq, "whole": false, "hosts": hosts}).to_string());
    }

    fn push_to_watches(&self, seq: Option<u64>, line: &str) {
        let pushed = async { timeout(WAIT_TIMEOUT, self.platform.push_line(seq, line)).await };
        runtime_handle().block_on(pushed).expect("a watch");
    }

    /// The paths of all requests for a watch.
    pub fn watch_paths(&self) -> Vec<String> {
        self.platform.watch_requests().into_iter().map(|(_, path)| path).collect()
    }

    /// The outcomes that were reported for a message.
    pub fn outcomes(&self, id: &str) -> Vec<String> {
        let notices = self.notices();
        let matching = notices.iter().filter(|notice| notice["message"] == id);
        matching.map(|notice| notice["outcome"].as_str().unwrap_or_default().to_string()).collect()
    }

    /// All notices so far.
    pub fn notices(&self) -> Vec<Value> {
        let notices = self.platform.notices().into_iter();
        notices
            .map(|(_, n)| json!({"message": n.message, "outcome": n.outcome, "retry_in_ms": n.retry_in_ms}))
            .collect()
    }
}

/// A dispatcher under test: its configuration, its directory, and its process while it runs.
pub struct Dispatcher {
    /// Its configuration, written at each start.
    pub config: Value,
    program: PathBuf,
    dir: PathBuf,
    child: Option<Child>,
    listen_address: Option<SocketAddr>,
    log: Arc<Mutex<Vec<String>>>,
    /// Shell commands that run before the program.
    pub shell_prelude: String,
    /// Whether it opens a control port.
    pub control_enabled: bool,
    control: Option<SocketAddr>,
    /// The address at which other members of its fleet reach it.
    member_address: Arc<Mutex<Option<SocketAddr>>>,
}

impl Dispatcher {
    /// A dispatcher that is not started yet, with its directory below `parent`.
    ///
    /// # Panics
    /// Where the directory can't be created.
    pub fn new(program: &Path, parent: &Path, platform: &Platform, known: &[Value]) -> Dispatcher {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let dir = parent.join(format!("sockets-{}-{number}", std::process::id()));
        fs::create_dir_all(dir.join("state")).expect("the directory");
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
            dir,
            child: None,
            listen_address: None,
            log: Arc::default(),
            shell_prelude: String::new(),
            control_enabled: false,
            control: None,
            member_address: Arc::default(),
        }
    }

    /// The address at which other members of its fleet reach it, once it has logged it.
    pub fn member_address(&self) -> Arc<Mutex<Option<SocketAddr>>> {
        self.member_address.clone()
    }

    /// Its log so far, over all its processes.
    pub fn log(&self) -> Vec<String> {
        lock(&self.log).clone()
    }

    /// The id of its process, while it runs.
    pub fn process_id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether it was started and has not been killed or waited for.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// The directory that persists across its processes.
    pub fn state_dir(&self) -> PathBuf {
        self.dir.join("state")
    }

    /// The last segment of its journal.
    ///
    /// # Panics
    /// Where there is none.
    pub fn last_segment(&self) -> PathBuf {
        let files = fs::read_dir(self.state_dir()).expect("the directory").flatten().map(|file| file.path());
        let segments = files.filter(|file| file.extension().is_some_and(|end| end == "journal"));
        segments.max().expect("a journal segment")
    }

    /// Writes the configuration file.
    ///
    /// # Panics
    /// Where it can't be written.
    pub fn write_config(&self, text: &str) -> PathBuf {
        let config = self.dir.join("config.json");
        fs::write(&config, text).expect("the configuration file");
        config
    }

    /// Whether a line of the log contains the text.
    pub fn log_contains(&self, text: &str) -> bool {
        lock(&self.log).iter().any(|line| line.contains(text))
    }

    /// The sum of a traffic counter over all destinations and lines of the log.
    pub fn logged_total(&self, counter: &str) -> u64 {
        let log = lock(&self.log);
        let fields =
            log.iter().filter(|line| line.contains(" counts ")).flat_map(|line| line.split([' ', ':', ',']));
        let values = fields.filter_map(|field| field.split_once('=')).filter(|(name, _)| *name == counter);
        values.filter_map(|(_, value)| value.parse::<u64>().ok()).sum()
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
        self.child = Some(self.spawn_process(command));
    }

    /// Starts a second process, waits until it has taken over, and returns the first one.
    ///
    /// # Panics
    /// Where none runs, or the new one doesn't listen.
    pub fn upgrade(&mut self) -> Child {
        let command = self.command();
        let child = self.spawn_process(command);
        self.child.replace(child).expect("a process")
    }

    /// Spawns a process, waits until it logs its listen address, and collects its log in the background.
    fn spawn_process(&mut self, mut command: Command) -> Child {
        if self.control_enabled {
            command.env("GW_CONTROL", "127.0.0.1:0");
        }
        let mut child = command.spawn().expect("a process");
        let mut lines = BufReader::new(child.stdout.take().expect("its standard output")).lines();
        let mut listen_address = None;
        for line in lines.by_ref().map_while(Result::ok) {
            let parse_address =
                |text: &str| line.split_once(text).and_then(|(_, address)| address.parse().ok());
            self.control = parse_address("answers operators at ").or(self.control);
            listen_address = parse_address("listens at ");
            if listen_address.is_some() {
                break;
            }
            record_member_address(&self.member_address, &line);
            lock(&self.log).push(line);
        }
        // Keeps reading the log: the process would block once the pipe is full.
        let (log, member_address) = (self.log.clone(), self.member_address.clone());
        thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| {
                record_member_address(&member_address, &line);
                lock(&log).push(line);
            });
        });
        self.listen_address = Some(listen_address.expect("the process listens"));
        child
    }

    /// Sends a request to its control port.
    ///
    /// # Panics
    /// Where it has none, or does not respond within 30 s.
    pub fn send_control_request(&self, call: &ControlRequest) -> ControlResponse {
        let address = self.control.expect("the control port is enabled");
        fawnspoke_control::client::send_request(address, call, WAIT_TIMEOUT).expect("a response")
    }

    /// The address of its control port.
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control
    }

    /// Sends it a signal by its short name.
    ///
    /// # Panics
    /// Where it doesn't run.
    pub fn signal(&self, name: &str) {
        let process_id = self.child.as_ref().expect("a process").id();
        let result = Command::new("sh").arg("-c").arg(format!("kill -{name} {process_id}")).status();
        assert!(result.is_ok_and(|status| status.success()));
    }

    /// Kills it with SIGKILL.
    ///
    /// # Panics
    /// Where it doesn't run.
    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("a process");
        child.kill().expect("the process is killed");
        child.wait().expect("the process exits");
    }

    /// Waits for the process to exit by itself; returns whether it succeeded.
    ///
    /// # Panics
    /// Where it doesn't exit within 30 s.
    pub fn wait(&mut self) -> bool {
        let mut child = self.child.take().expect("a process");
        let mut status = None;
        eventually("the process to exit", || {
            status = child.try_wait().expect("the exit status");
            status.is_some()
        });
        status.is_some_and(|status| status.success())
    }

    /// Opens a client connection.
    ///
    /// # Panics
    /// Where it can't connect.
    pub fn connect(&self) -> Client {
        let address = self.client_address();
        let connection =
            runtime_handle().block_on(async { HttpConnection::connect(address, WAIT_TIMEOUT).await });
        Client(connection.expect("a connection"))
    }

    /// The address at which it accepts clients.
    ///
    /// # Panics
    /// Where it was not started.
    pub fn client_address(&self) -> SocketAddr {
        self.listen_address.expect("the process listens")
    }

    /// Submits a small message as soon as the dispatcher knows an endpoint of its destination.
    pub fn submit_once_listed(&self, class: &str, id: &str, destination: u32) {
        eventually("the endpoint list", || self.submit(class, id, destination) == 202);
    }

    /// Submits a small message on a connection of its own; returns the status.
    pub fn submit(&self, class: &str, id: &str, destination: u32) -> u16 {
        self.connect().submit(class, id, destination, 15_000, b"hello").status()
    }
}

/// Stores the address for other members when a log line reports it.
fn record_member_address(member_address: &Mutex<Option<SocketAddr>>, line: &str) {
    if let Some(address) =
        line.split_once("members are heard at ").and_then(|(_, address)| address.parse().ok())
    {
        *lock(member_address) = Some(address);
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have exited already; a directory that can't be removed lies within the build
            // directory.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// A client connection.
pub struct Client(HttpConnection);

impl Client {
    /// Writes bytes.
    ///
    /// # Panics
    /// Where the connection is closed.
    pub fn write(&mut self, bytes: &[u8]) {
        runtime_handle().block_on(self.0.write(bytes)).expect("an open connection");
    }

    /// Shuts down the writing side.
    ///
    /// # Panics
    /// Where the connection is closed.
    pub fn shutdown_write(&mut self) {
        runtime_handle().block_on(self.0.shutdown_write()).expect("an open connection");
    }

    /// Closes the connection, also for a child process that has just been forked and still holds the socket.
    ///
    /// # Panics
    /// Where the connection is closed.
    pub fn disconnect(mut self) {
        self.shutdown_write();
    }

    /// Sends a message and doesn't wait for the response.
    pub fn send(&mut self, class: &str, id: &str, destination: u32, timeout_ms: u32, body: &[u8]) {
        let head = format!(
            "POST /{class} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
             Request-Timeout-Ms: {timeout_ms}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\
             X-Consignee: dest={destination}\r\n\r\n",
            body.len()
        );
        self.write(&[head.as_bytes(), body].concat());
    }

    /// Reads the next response.
    ///
    /// # Panics
    /// Where none arrives within 30 s.
    pub fn read_response(&mut self) -> HttpMessage {
        let response = async { timeout(WAIT_TIMEOUT, self.0.read_response()).await };
        runtime_handle().block_on(response).expect("a response in time").expect("a response")
    }

    /// Reads the next response; none where the connection ends without one.
    pub fn try_read_response(&mut self) -> Option<HttpMessage> {
        let response = async { timeout(WAIT_TIMEOUT, self.0.read_response()).await };
        runtime_handle().block_on(response).ok()?.ok()
    }

    /// Waits for the peer to close the connection; whatever it still sends is discarded.
    pub fn is_closed_by_peer(&mut self) -> bool {
        let closing = async {
            loop {
                match self.0.read_available().await {
                    Ok(chunk) if chunk.is_empty() => return true,
                    Ok(_) => {}
                    Err(error) => return error.kind() == io::ErrorKind::ConnectionReset,
                }
            }
        };
        runtime_handle().block_on(async { timeout(WAIT_TIMEOUT, closing).await }).unwrap_or(false)
    }

    /// Sends a message and waits for its response.
    pub fn submit(
        &mut self, class: &str, id: &str, destination: u32, timeout_ms: u32, body: &[u8],
    ) -> HttpMessage {
        self.send(class, id, destination, timeout_ms, body);
        self.read_response()
    }
}
