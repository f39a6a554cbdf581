//! A stand-in for the platform: the list of endpoints, watches of it, and the place where notices go.
//!
//! Each dispatcher has an agent of its own, at an address of its own, as in service. Notices are answered also
//! while discovery is down.

use crate::http::{self, HttpConnection, HttpMessage};
use crate::record::{EndpointState, Event, Outcome, Recorder};
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{broadcast, mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// A watch gets an empty line in this time.
const HEARTBEAT: Duration = Duration::from_secs(2);
/// Lines that a slow watch may be behind.
const LINES_MOST: usize = 1024;
/// An old address closes its connections so long after it was moved.
const MOVED: Duration = Duration::from_millis(1500);

/// An endpoint in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Its id.
    pub name: String,
    /// Its address, by dispatcher.
    pub addresses: Vec<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// Its destination's kind.
    pub destination_kind: String,
    /// Its destination.
    pub destination: u32,
    /// Its state.
    pub state: EndpointState,
    /// Calls a second that its destination takes from all dispatchers.
    pub rate_limit_per_s: f64,
}

impl EndpointEntry {
    fn line(&self, dispatcher: usize) -> Value {
        let health = match self.state {
            EndpointState::Up => "up",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "removed",
        };
        json!({"host": self.name, "dial": self.addresses.get(dispatcher), "site": self.zone, "class": self.destination_kind,
            "block": self.destination, "health": health, "share": self.rate_limit_per_s, "born_ms": 0})
    }
}

/// A notice, as it came.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Notice {
    /// The message.
    pub message: String,
    /// How it ended.
    pub outcome: Outcome,
    /// When its client may come again, in milliseconds.
    pub retry_in_ms: Option<u64>,
}

/// How the platform behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformBehavior {
    /// It accepts and answers nothing but notices; watches stay open and silent.
    pub silent: bool,
    /// A change reaches watches so much later.
    pub update_delay: Duration,
    /// The next lines are cut in half, and their watch is ended.
    pub truncate_updates: bool,
    /// What a notice is answered.
    pub notice_status: u16,
    /// So many requests with notices are lost: read, and never answered on a connection that stays open.
    pub unanswered_notices: usize,
    /// Watches get an empty line every 2 s.
    pub heartbeats: bool,
}

impl Default for PlatformBehavior {
    fn default() -> PlatformBehavior {
        let (silent, torn, deaf, heartbeats) = (false, false, 0, true);
        PlatformBehavior {
            silent,
            update_delay: Duration::ZERO,
            truncate_updates: torn,
            notice_status: 204,
            unanswered_notices: deaf,
            heartbeats,
        }
    }
}

struct Change {
    seq: u64,
    at: Instant,
    host: EndpointEntry,
}

#[derive(Default)]
struct List {
    seq: u64,
    hosts: BTreeMap<String, EndpointEntry>,
    changes: Vec<Change>,
    notices: Vec<(usize, Notice)>,
    /// First lines of the requests for watches, by dispatcher.
    watched: Vec<(usize, String)>,
    /// What each dispatcher has been told in full.
    known: BTreeMap<usize, (u64, BTreeMap<String, EndpointEntry>)>,
}

struct Shared {
    list: Mutex<List>,
    mood: watch::Sender<PlatformBehavior>,
    changed: watch::Sender<u64>,
    recorder: Recorder,
    /// Lines that watches are told as they are.
    said: broadcast::Sender<String>,
    /// Watches that are open.
    watches: watch::Sender<usize>,
    /// Notices that a client is to hear of.
    heard: mpsc::UnboundedSender<Notice>,
}

/// A running platform. It ends when it is dropped.
pub struct Platform {
    shared: Arc<Shared>,
    agents: Mutex<BTreeMap<usize, Agent>>,
}

/// A dispatcher's agent: where it listens, its task, and what closes its connections.
type Agent = (SocketAddr, JoinHandle<()>, watch::Sender<bool>);

impl Shared {
    fn list(&self) -> MutexGuard<'_, List> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Platform {
    /// A platform with this list; what it hears of notices goes to the receiver as well.
    pub fn new(hosts: Vec<EndpointEntry>, recorder: Recorder) -> (Platform, mpsc::UnboundedReceiver<Notice>) {
        let (heard, hearing) = mpsc::unbounded_channel();
        let hosts = hosts.into_iter().map(|host| (host.name.clone(), host)).collect();
        let list = List { seq: 1, hosts, ..List::default() };
        let shared = Shared {
            list: Mutex::new(list),
            mood: watch::Sender::new(PlatformBehavior::default()),
            changed: watch::Sender::new(1),
            recorder,
            said: broadcast::Sender::new(LINES_MOST),
            watches: watch::Sender::new(0),
            heard,
        };
        (Platform { shared: Arc::new(shared), agents: Mutex::default() }, hearing)
    }

    /// Starts a dispatcher's agent at an address (port 0: any), or moves it there: the old address takes no new
    /// connection, and closes what is open after 1.5 s.
    ///
    /// # Errors
    /// Those of listening.
    pub async fn start_agent(&self, dispatcher: usize, at: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(at).await?;
        let at = listener.local_addr()?;
        let (closing, closed) = watch::channel(false);
        let shared = self.shared.clone();
        let task = tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(5)).await;
                    continue;
                };
                let (shared, mut closed) = (shared.clone(), closed.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        // Its end is the other side's, or in the record.
                        _ = serve(&shared, dispatcher, stream) => {}
                        _ = closed.wait_for(|closed| *closed) => {}
                    }
                });
            }
        });
        let mut agents = self.agents.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, old, closing)) = agents.insert(dispatcher, (at, task, closing)) {
            old.abort();
            tokio::spawn(async move {
                sleep(MOVED).await;
                closing.send_replace(true);
            });
        }
        Ok(at)
    }

    /// Where a dispatcher's agent is.
    pub fn agent_address(&self, dispatcher: usize) -> Option<SocketAddr> {
        let agents = self.agents.lock().unwrap_or_else(PoisonError::into_inner);
        agents.get(&dispatcher).map(|(at, ..)| *at)
    }

    /// Changes the mood.
    pub fn set_behavior(&self, change: impl FnOnce(&mut PlatformBehavior)) {
        let was = self.shared.mood.borrow().silent;
        self.shared.mood.send_modify(change);
        let now = self.shared.mood.borrow().silent;
        if was != now {
            self.shared.recorder.add(Event::PlatformSilent { silent: now });
        }
    }

    /// Changes an endpoint's entry, or adds it.
    pub fn update_entry(&self, host: EndpointEntry) {
        let mut list = self.shared.list();
        list.seq += 1;
        let seq = list.seq;
        self.shared.recorder.add(Event::EndpointChanged { endpoint: host.name.clone(), state: host.state });
        match host.state {
            EndpointState::Removed => drop(list.hosts.remove(&host.name)),
            _ => drop(list.hosts.insert(host.name.clone(), host.clone())),
        }
        list.changes.push(Change { seq, at: Instant::now(), host });
        drop(list);
        self.shared.changed.send_replace(seq);
    }

    /// Writes a line, whatever it is, to each watch that is open, as version `seq` of the list; waits until there
    /// is a watch.
    pub async fn push_line(&self, seq: Option<u64>, line: &str) {
        // The sender lives as long as this does.
        let _ = self.shared.watches.subscribe().wait_for(|watches| *watches > 0).await;
        if let Some(seq) = seq {
            let mut list = self.shared.list();
            list.seq = list.seq.max(seq);
        }
        // Each watch reads it by itself; one that ends just now does not.
        let _ = self.shared.said.send(line.into());
    }

    /// An endpoint's entry.
    pub fn entry(&self, name: &str) -> Option<EndpointEntry> {
        self.shared.list().hosts.get(name).cloned()
    }

    /// The list as a dispatcher has it: as it stood when it was asked for first, with what it was told since.
    pub fn known_list(&self, dispatcher: usize) -> Value {
        let mut list = self.shared.list();
        let List { known, hosts, seq, .. } = &mut *list;
        let (seq, hosts) = known.entry(dispatcher).or_insert_with(|| (*seq, hosts.clone()));
        let hosts: Vec<_> = hosts.values().map(|host| host.line(dispatcher)).collect();
        json!({"seq": seq, "whole": true, "hosts": hosts})
    }

    /// The notices so far, and from whom.
    pub fn notices(&self) -> Vec<(usize, Notice)> {
        self.shared.list().notices.clone()
    }

    /// The first lines of the requests for watches.
    pub fn watch_requests(&self) -> Vec<(usize, String)> {
        self.shared.list().watched.clone()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let agents = std::mem::take(&mut *self.agents.lock().unwrap_or_else(PoisonError::into_inner));
        for (_, task, closing) in agents.into_values() {
            task.abort();
            closing.send_replace(true);
        }
    }
}

async fn serve(shared: &Shared, dispatcher: usize, stream: TcpStream) -> io::Result<()> {
    let mut wire = HttpConnection::new(stream);
    while let Some(request) = wire.read_request().await? {
        match request.target() {
            ("POST", "/status") => notices(shared, dispatcher, &mut wire, &request).await?,
            ("GET", path) if path.starts_with("/registry/instances") => {
                if path.contains("stream=1") {
                    shared.list().watched.push((dispatcher, request.start_line.clone()));
                }
                if shared.mood.borrow().silent {
                    let mut mood = shared.mood.subscribe();
                    let _ = mood.wait_for(|mood| !mood.silent).await;
                    // Nobody waits that long.
                    return Ok(());
                }
                if path.contains("stream=1") {
                    return follow(shared, dispatcher, &mut wire, path).await;
                }
                let (body, hosts, seq) = {
                    let list = shared.list();
                    (whole(&list, dispatcher).to_string(), list.hosts.values().cloned().collect(), list.seq)
                };
                wire.write(&http::response_bytes(200, "", body.as_bytes())).await?;
                told(shared, dispatcher, hosts, seq, true);
            }
            _ => wire.write(&http::response_bytes(404, "", b"")).await?,
        }
    }
    Ok(())
}

fn whole(list: &List, dispatcher: usize) -> Value {
    let hosts: Vec<_> = list.hosts.values().map(|host| host.line(dispatcher)).collect();
    json!({"seq": list.seq, "whole": true, "hosts": hosts})
}

/// Keeps what a dispatcher has been told in full; what a whole list does not name is gone.
fn told(shared: &Shared, dispatcher: usize, hosts: Vec<EndpointEntry>, seq: u64, all: bool) {
    let mut list = shared.list();
    let List { known, hosts: present, .. } = &mut *list;
    let known = known.entry(dispatcher).or_insert_with(|| (seq, present.clone()));
    known.0 = seq;
    let old = if all { std::mem::take(&mut known.1) } else { BTreeMap::new() };
    let gone = old.into_values().filter(|old| !hosts.iter().any(|host| host.name == old.name));
    let gone: Vec<EndpointEntry> =
        gone.map(|old| EndpointEntry { state: EndpointState::Removed, ..old }).collect();
    for host in gone.into_iter().chain(hosts) {
        shared.recorder.add(Event::ChangeDelivered {
            dispatcher,
            endpoint: host.name.clone(),
            state: host.state,
        });
        match host.state {
            EndpointState::Removed => drop(known.1.remove(&host.name)),
            _ => drop(known.1.insert(host.name.clone(), host)),
        }
    }
}

async fn notices(
    shared: &Shared, dispatcher: usize, wire: &mut HttpConnection, request: &HttpMessage,
) -> io::Result<()> {
    if shared.mood.borrow().unanswered_notices > 0 {
        shared.mood.send_modify(|mood| mood.unanswered_notices = mood.unanswered_notices.saturating_sub(1));
        return Ok(());
    }
    let text = request.text();
    let read: Result<Vec<Notice>, _> =
        text.lines().filter(|line| !line.trim().is_empty()).map(serde_json::from_str).collect();
    let status = match &read {
        Ok(notices) if !notices.is_empty() => shared.mood.borrow().notice_status,
        _ => 400,
    };
    // On record before the answer: a dispatcher that dies meanwhile has told it all the same.
    for notice in read.into_iter().flatten() {
        let Notice { message: id, outcome, retry_in_ms: retry_ms } = notice.clone();
        shared.recorder.add(Event::Notice { dispatcher, id, outcome, retry_ms, status });
        shared.list().notices.push((dispatcher, notice.clone()));
        if status == 204 {
            // Where nobody listens nobody wants to know.
            let _ = shared.heard.send(notice);
        }
    }
    wire.write(&http::response_bytes(status, "", b"")).await
}

/// Counts a watch for as long as it is open.
struct OpenWatch<'a>(&'a watch::Sender<usize>);

impl OpenWatch<'_> {
    fn new(watches: &watch::Sender<usize>) -> OpenWatch<'_> {
        watches.send_modify(|count| *count += 1);
        OpenWatch(watches)
    }
}

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// A watch: what changed after the version that it asks for, then each change.
async fn follow(shared: &Shared, dispatcher: usize, wire: &mut HttpConnection, path: &str) -> io::Result<()> {
    let index = path.split(['?', '&']).find_map(|pair| pair.strip_prefix("index=")).unwrap_or("0");
    let mut seen: u64 = index.parse().unwrap_or(0);
    let (mut changed, mut mood, mut said) =
        (shared.changed.subscribe(), shared.mood.subscribe(), shared.said.subscribe());
    let _open = OpenWatch::new(&shared.watches);
    wire.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut first = true;
    loop {
        let _ = changed.borrow_and_update();
        let late = mood.borrow_and_update().update_delay;
        let (line, hosts, seq, due) = {
            let list = shared.list();
            let now = Instant::now();
            let after = || list.changes.iter().filter(|change| change.seq > seen);
            if first && (seen > list.seq || seen == 0) {
                let hosts: Vec<EndpointEntry> = list.hosts.values().cloned().collect();
                (Some((whole(&list, dispatcher), true)), hosts, list.seq, None)
            } else {
                let ripe: Vec<_> = after().take_while(|change| change.at + late <= now).collect();
                let due = after().nth(ripe.len()).map(|change| change.at + late);
                match ripe.last() {
                    Some(last) => {
                        let lines: Vec<_> = ripe.iter().map(|change| change.host.line(dispatcher)).collect();
                        let line = json!({"seq": last.seq, "whole": false, "hosts": lines});
                        let hosts = ripe.iter().map(|change| change.host.clone()).collect();
                        (Some((line, false)), hosts, last.seq, due)
                    }
                    None => (None, Vec::new(), seen, due),
                }
            }
        };
        let silent = mood.borrow().silent;
        if let Some((line, all)) = line.filter(|_| !silent) {
            let text = format!("{line}\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if mood.borrow().truncate_updates {
                // Half a line, and the end.
                wire.write(&chunk.as_bytes()[..chunk.len() / 2]).await?;
                return Ok(());
            }
            wire.write(chunk.as_bytes()).await?;
            seen = seq;
            told(shared, dispatcher, hosts, seq, all);
            first = false;
            continue;
        }
        first &= silent;
        let due = due.unwrap_or_else(|| Instant::now() + HEARTBEAT).min(Instant::now() + HEARTBEAT);
        tokio::select! {
            _ = changed.changed() => {}
            _ = mood.changed() => {}
            () = sleep_until(due) => {
                let quiet = mood.borrow().silent || !mood.borrow().heartbeats;
                if !quiet {
                    timeout(HEARTBEAT, wire.write(b"1\r\n\n\r\n")).await??;
                }
            }
            line = said.recv() => {
                if let Ok(line) = line {
                    wire.write(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await?;
                    seen = seen.max(shared.list().seq);
                }
            }
            () = wire.wait_closed() => return Ok(()),
        }
    }
}
