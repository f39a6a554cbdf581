//! A stage on loopback sockets: scripted endpoints, a platform, clients, and the dispatcher as a process.

use serde_json::{Value, json};
use std::collections::HashMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Far longer than anything takes that is waited for.
const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until the condition holds.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "never came: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A request or an answer, as read from a connection.
#[derive(Clone, Debug)]
pub struct Http {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Http {
    pub fn read(reader: &mut impl BufRead) -> io::Result<Http> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            match line.trim_end() {
                "" => break,
                line => lines.push(line.to_string()),
            }
        }
        let headers: HashMap<_, _> = lines[1..]
            .iter()
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_lowercase(), value.trim().to_string()))
            .collect();
        let length = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        Ok(Http { first: lines[0].clone(), headers, body })
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// What an endpoint does with a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A status, further header lines, a body.
    Answer(u16, String, String),
    /// The same after a while.
    Late(Duration, u16),
    /// An answer after which the connection is closed without a word of it.
    AnswerAndClose(u16),
    /// Bytes as they are; the connection stays open for more calls.
    Raw(Vec<u8>),
    /// The first bytes, then the second ones over and over until the other side has had enough.
    Endless(Vec<u8>, Vec<u8>),
    /// Breaks the connection.
    Break,
    /// Never answers; reads on until the other side closes.
    Hang,
}

impl Reply {
    pub fn status(status: u16) -> Reply {
        Reply::Answer(status, String::new(), String::new())
    }
}

/// A call as an endpoint saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub request: Http,
    /// The connection it came on, counted from 0.
    pub connection: usize,
    pub at: Instant,
}

impl Seen {
    pub fn id(&self) -> &str {
        self.request.header("request-id").unwrap_or("-")
    }
}

#[derive(Default)]
struct EndpointState {
    seen: Vec<Seen>,
    connections: usize,
    /// Connections that have ended.
    ended: usize,
    /// Connections that the other side closed while a call was out on them.
    given_up: usize,
}

/// A scripted endpoint. The script is asked with the number of the call, from 0.
#[derive(Clone)]
pub struct Endpoint {
    pub at: SocketAddr,
    state: Arc<Mutex<EndpointState>>,
}

impl Endpoint {
    pub fn start(script: impl Fn(usize, &Http) -> Reply + Send + Sync + 'static) -> Endpoint {
        Endpoint::start_at("127.0.0.1:0".parse().unwrap(), script)
    }

    pub fn start_at(
        at: SocketAddr, script: impl Fn(usize, &Http) -> Reply + Send + Sync + 'static,
    ) -> Endpoint {
        let listener = TcpListener::bind(at).unwrap();
        let endpoint = Endpoint { at: listener.local_addr().unwrap(), state: Arc::default() };
        let (state, script) = (endpoint.state.clone(), Arc::new(script));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, script) = (state.clone(), script.clone());
                thread::spawn(move || {
                    let _ = Endpoint::serve(stream, &state, &*script);
                    state.lock().unwrap().ended += 1;
                });
            }
        });
        endpoint
    }

    fn serve(
        mut stream: TcpStream, state: &Mutex<EndpointState>, script: &dyn Fn(usize, &Http) -> Reply,
    ) -> io::Result<()> {
        let connection = {
            let mut state = state.lock().unwrap();
            state.connections += 1;
            state.connections - 1
        };
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let request = Http::read(&mut reader)?;
            let number = {
                let mut state = state.lock().unwrap();
                state.seen.push(Seen { request: request.clone(), connection, at: Instant::now() });
                state.seen.len() - 1
            };
            let mut answer = |status: u16, headers: &str, body: &str| {
                let length = body.len();
                let text = format!("HTTP/1.1 {status} x\r\nContent-Length: {length}\r\n{headers}\r\n{body}");
                stream.write_all(text.as_bytes())
            };
            match script(number, &request) {
                Reply::Answer(status, headers, body) => answer(status, &headers, &body)?,
                Reply::Late(after, status) => {
                    thread::sleep(after);
                    answer(status, "", "")?;
                }
                Reply::AnswerAndClose(status) => return answer(status, "", ""),
                Reply::Raw(bytes) => stream.write_all(&bytes)?,
                Reply::Endless(first, more) => {
                    stream.write_all(&first)?;
                    while stream.write_all(&more).is_ok() {}
                    state.lock().unwrap().given_up += 1;
                    return Ok(());
                }
                Reply::Break => return Ok(()),
                Reply::Hang => {
                    while reader.read(&mut [0; 1024]).is_ok_and(|n| n > 0) {}
                    state.lock().unwrap().given_up += 1;
                    return Ok(());
                }
            }
        }
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.state.lock().unwrap().seen.clone()
    }

    pub fn ids(&self) -> Vec<String> {
        self.seen().iter().map(|seen| seen.id().to_string()).collect()
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        let state = self.state.lock().unwrap();
        state.connections - state.ended
    }

    pub fn given_up(&self) -> usize {
        self.state.lock().unwrap().given_up
    }

    /// Its line in discovery's list.
    pub fn host(&self, name: &str, dest: u32, health: &str) -> Value {
        host(name, self.at, dest, "single", health)
    }
}

pub fn host(name: &str, at: SocketAddr, dest: u32, class: &str, health: &str) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": "a", "class": class, "block": dest,
        "health": health, "share": 50.0, "born_ms": 0})
}

/// An endpoint that gets nothing: what is for its destination is held.
pub fn held(dest: u32) -> Value {
    host("held", "127.0.0.9:9".parse().unwrap(), dest, "single", "draining")
}

#[derive(Default)]
struct PlatformState {
    notices: Vec<Value>,
    watches: Vec<TcpStream>,
    watched_from: Vec<String>,
}

/// Discovery and the place where notices go.
pub struct Platform {
    pub at: SocketAddr,
    state: Arc<Mutex<PlatformState>>,
    /// Connections are taken and nothing is answered.
    pub silent: Arc<AtomicBool>,
    /// What a notice is answered.
    pub answer: Arc<AtomicU32>,
}

impl Platform {
    pub fn start() -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let platform = Platform {
            at: listener.local_addr().unwrap(),
            state: Arc::default(),
            silent: Arc::default(),
            answer: Arc::new(204.into()),
        };
        let (state, silent, answer) =
            (platform.state.clone(), platform.silent.clone(), platform.answer.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (state, silent, answer) = (state.clone(), silent.clone(), answer.clone());
                thread::spawn(move || drop(Platform::serve(stream, &state, &silent, &answer)));
            }
        });
        platform
    }

    fn serve(
        mut stream: TcpStream, state: &Mutex<PlatformState>, silent: &AtomicBool, answer: &AtomicU32,
    ) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let request = Http::read(&mut reader)?;
            if request.first.starts_with("GET /registry/instances?stream=1") {
                let quiet = silent.load(Ordering::SeqCst);
                if !quiet {
                    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
                }
                let mut state = state.lock().unwrap();
                state.watched_from.push(request.first);
                state.watches.push(stream.try_clone()?);
            } else {
                let lines = request.text();
                let lines = lines.lines().map(|line| serde_json::from_str(line).unwrap());
                state.lock().unwrap().notices.extend(lines);
                let status = answer.load(Ordering::SeqCst);
                stream.write_all(format!("HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
            }
        }
    }

    /// Writes a line to all watches, once there is one.
    pub fn push_line(&self, line: &str) {
        eventually("a watch", || !self.state.lock().unwrap().watches.is_empty());
        for watch in &mut self.state.lock().unwrap().watches {
            // A watch of a process that is gone stays in the list.
            let _ = watch.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes());
        }
    }

    pub fn push(&self, seq: u64, hosts: &[Value]) {
        self.push_line(&json!({"seq": seq, "whole": false, "hosts": hosts}).to_string());
    }

    pub fn watched_from(&self) -> Vec<String> {
        self.state.lock().unwrap().watched_from.clone()
    }

    /// The outcomes told for a message.
    pub fn told(&self, id: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let told = state.notices.iter().filter(|notice| notice["message"] == id);
        told.map(|notice| notice["outcome"].as_str().unwrap_or_default().to_string()).collect()
    }

    pub fn notices(&self) -> Vec<Value> {
        self.state.lock().unwrap().notices.clone()
    }
}

/// The dispatcher: its configuration, its folder, and the process while it runs.
pub struct Dispatcher {
    pub config: Value,
    folder: PathBuf,
    child: Option<Child>,
    at: Option<SocketAddr>,
    log: Arc<Mutex<Vec<String>>>,
    /// A shell line that runs before the program.
    pub before: String,
}

impl Dispatcher {
    pub fn new(platform: &Platform, known: &[Value]) -> Dispatcher {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("sockets-{}-{number}", std::process::id()));
        fs::create_dir_all(folder.join("state")).unwrap();
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
            "name": "n0", "listen": "127.0.0.1:0", "discovery": platform.at.to_string(), "seed": "2a",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
            "known": {"seq": 1, "whole": true, "hosts": known}, "settings": settings,
        });
        Dispatcher { config, folder, child: None, at: None, log: Arc::default(), before: String::new() }
    }

    pub fn started(platform: &Platform, known: &[Value]) -> Dispatcher {
        let mut dispatcher = Dispatcher::new(platform, known);
        dispatcher.start();
        dispatcher
    }

    pub fn state(&self) -> PathBuf {
        self.folder.join("state")
    }

    pub fn journal(&self) -> PathBuf {
        self.state().join("journal")
    }

    /// Writes the file of the configuration.
    pub fn configure(&self, text: &str) -> PathBuf {
        let config = self.folder.join("config.json");
        fs::write(&config, text).unwrap();
        config
    }

    /// Whether a line of the log holds the text.
    pub fn logged(&self, text: &str) -> bool {
        self.log.lock().unwrap().iter().any(|line| line.contains(text))
    }

    /// The command that runs it, with its configuration written.
    pub fn command(&self) -> Command {
        let config = self.configure(&self.config.to_string());
        let mut command = Command::new("sh");
        command
            .arg("-c")
            .arg(format!("{} exec \"$0\"", self.before))
            .arg(env!("CARGO_BIN_EXE_fawnspoke"))
            .env("GW_CONFIG", config)
            .env("GW_STATE", self.state())
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        command
    }

    /// Starts the process and waits until it listens.
    pub fn start(&mut self) {
        let mut child = self.command().spawn().unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let at = lines.by_ref().map_while(Result::ok).find_map(|line| {
            let (_, at) = line.split_once("listens at ")?;
            at.parse().ok()
        });
        // The log is read on, or the process would stand still once the pipe is full.
        let log = self.log.clone();
        thread::spawn(move || lines.map_while(Result::ok).for_each(|line| log.lock().unwrap().push(line)));
        (self.child, self.at) = (Some(child), Some(at.expect("the process listens")));
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.as_ref().unwrap().id();
        let done = Command::new("sh").arg("-c").arg(format!("kill -{name} {id}")).status().unwrap();
        assert!(done.success());
    }

    /// SIGKILL, at once.
    pub fn kill(&mut self) {
        let mut child = self.child.take().unwrap();
        child.kill().unwrap();
        child.wait().unwrap();
    }

    /// Waits for the process to end by itself.
    pub fn wait(&mut self) -> bool {
        let mut child = self.child.take().unwrap();
        let mut status = None;
        eventually("the end of the process", || {
            status = child.try_wait().unwrap();
            status.is_some()
        });
        status.is_some_and(|status| status.success())
    }

    pub fn connect(&self) -> Client {
        Client(BufReader::new(TcpStream::connect(self.at.unwrap()).unwrap()))
    }

    /// Hands in a small message as soon as a list that names its destination has come.
    pub fn hand_in_once_listed(&self, class: &str, id: &str, dest: u32) {
        eventually("the list", || self.hand_in(class, id, dest) == 202);
    }

    /// Hands in a small message on a connection of its own; returns the status.
    pub fn hand_in(&self, class: &str, id: &str, dest: u32) -> u16 {
        self.connect().hand_in(class, id, dest, 15_000, b"hello").status()
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

impl Client {
    pub fn write(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).unwrap();
    }

    pub fn send(&mut self, class: &str, id: &str, dest: u32, timeout_ms: u32, body: &[u8]) {
        let head = format!(
            "POST /{class} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {class}\r\n\
             Request-Timeout-Ms: {timeout_ms}\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\n\
             X-Consignee: dest={dest}\r\n\r\n",
            body.len()
        );
        self.write(&[head.as_bytes(), body].concat());
    }

    pub fn answer(&mut self) -> Http {
        self.0.get_ref().set_read_timeout(Some(PATIENCE)).unwrap();
        Http::read(&mut self.0).expect("an answer")
    }

    /// Whether the other side ends the connection; what it still says is passed over.
    pub fn closes(&mut self) -> bool {
        self.0.get_ref().set_read_timeout(Some(PATIENCE)).unwrap();
        loop {
            match self.0.read(&mut [0; 1024]) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(error) => return error.kind() == io::ErrorKind::ConnectionReset,
            }
        }
    }

    pub fn hand_in(&mut self, class: &str, id: &str, dest: u32, timeout_ms: u32, body: &[u8]) -> Http {
        self.send(class, id, dest, timeout_ms, body);
        self.answer()
    }
}
