//! A stand-in for the platform: discovery with the list of endpoints and watches of it, and the receiver of notices.
//!
//! Each dispatcher has an agent of its own, at an address of its own, as in production. Notices are answered even while
//! discovery is down.

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

/// Interval of the empty lines on an idle watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of pushed lines that a slow watch may lag behind.
const MAX_PUSHED_LINES: usize = 1024;
/// Time from the move of an agent until its old address closes the open connections.
const OLD_ADDRESS_LINGER: Duration = Duration::from_millis(1500);

/// An endpoint in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Its id.
    pub name: String,
    /// Its address, by dispatcher.
    pub addresses: Vec<SocketAddr>,
    /// Its zone.
    pub zone: String,
    /// The kind of its destination.
    pub destination_kind: String,
    /// Its destination.
    pub destination: u32,
    /// Its state.
    pub state: EndpointState,
    /// Calls a second that its destination accepts from all dispatchers together.
    pub rate_limit_per_s: f64,
}

impl EndpointEntry {
    fn to_json(&self, dispatcher: usize) -> Value {
        let health = match self.state {
            EndpointState::Up => "up",
            EndpointState::Draining => "draining",
            EndpointState::Removed => "removed",
        };
        json!({"host": self.name, "dial": self.addresses.get(dispatcher), "site": self.zone, "class": self.destination_kind,
            "block": self.destination, "health": health, "share": self.rate_limit_per_s, "born_ms": 0})
    }
}

/// A notice as received.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Notice {
    /// The message.
    pub message: String,
    /// How it ended.
    pub outcome: Outcome,
    /// When the client may submit it again, in milliseconds.
    pub retry_in_ms: Option<u64>,
}

/// How the platform behaves.
#[derive(Clone, Debug, PartialEq)]
pub struct PlatformBehavior {
    /// It accepts connections and answers only notices; watches stay open without output.
    pub silent: bool,
    /// Delay with which a change reaches watches.
    pub update_delay: Duration,
    /// The next updates are truncated in the middle of a line, and their watch is closed.
    pub truncate_updates: bool,
    /// The status with which a notice is answered.
    pub notice_status: u16,
    /// The number of requests with notices that are read but not answered, on a connection that stays open.
    pub unanswered_notices: usize,
    /// Watches get an empty line at each heartbeat interval.
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
    entry: EndpointEntry,
}

#[derive(Default)]
struct Discovery {
    seq: u64,
    entries: BTreeMap<String, EndpointEntry>,
    changes: Vec<Change>,
    /// Versions of the list that were written to watches unchanged.
    pushed_changes: Vec<(u64, String)>,
    notices: Vec<(usize, Notice)>,
    /// Request lines of the watches, by dispatcher.
    watch_requests: Vec<(usize, String)>,
    /// The list as each dispatcher has received it in full, with its version.
    known: BTreeMap<usize, (u64, BTreeMap<String, EndpointEntry>)>,
}

impl Discovery {
    fn pushed_changes_after(&self, written_seq: u64) -> Vec<String> {
        let later = self.pushed_changes.iter().filter(|(seq, _)| *seq > written_seq);
        later.map(|(_, line)| line.clone()).collect()
    }
}

struct Shared {
    discovery: Mutex<Discovery>,
    behavior: watch::Sender<PlatformBehavior>,
    latest_seq: watch::Sender<u64>,
    recorder: Recorder,
    /// Lines that are written unchanged to watches.
    pushed_lines: broadcast::Sender<String>,
    /// The number of open watches.
    open_watches: watch::Sender<usize>,
    /// Accepted notices, for the clients.
    accepted_notices: mpsc::UnboundedSender<Notice>,
}

/// A running platform. It ends when it is dropped.
pub struct Platform {
    shared: Arc<Shared>,
    agents: Mutex<BTreeMap<usize, Agent>>,
}

/// A dispatcher's agent: its address, its accept task, and the signal that closes its connections.
type Agent = (SocketAddr, JoinHandle<()>, watch::Sender<bool>);

impl Shared {
    fn discovery(&self) -> MutexGuard<'_, Discovery> {
        self.discovery.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Platform {
    /// A platform with this list. The receiver gets the notices that it accepts.
    pub fn new(
        entries: Vec<EndpointEntry>, recorder: Recorder,
    ) -> (Platform, mpsc::UnboundedReceiver<Notice>) {
        let (accepted_notices, receiver) = mpsc::unbounded_channel();
        let entries = entries.into_iter().map(|entry| (entry.name.clone(), entry)).collect();
        let discovery = Discovery { seq: 1, entries, ..Discovery::default() };
        let shared = Shared {
            discovery: Mutex::new(discovery),
            behavior: watch::Sender::new(PlatformBehavior::default()),
            latest_seq: watch::Sender::new(1),
            recorder,
            pushed_lines: broadcast::Sender::new(MAX_PUSHED_LINES),
            open_watches: watch::Sender::new(0),
            accepted_notices,
        };
        (Platform { shared: Arc::new(shared), agents: Mutex::default() }, receiver)
    }

    /// Starts a dispatcher's agent at an address (port 0: any), or moves it there: the old address accepts no new
    /// connections, and closes the open ones after 1.5 s.
    ///
    /// # Errors
    /// The address can't be listened at.
    pub async fn start_agent(&self, dispatcher: usize, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (close_sender, close_receiver) = watch::channel(false);
        let shared = self.shared.clone();
        let task = tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(5)).await;
                    continue;
                };
                let (shared, mut close_receiver) = (shared.clone(), close_receiver.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        // Errors need no handling here: the other side notices them, or the record shows them.
                        _ = serve_connection(&shared, dispatcher, stream) => {}
                        _ = close_receiver.wait_for(|is_closed| *is_closed) => {}
                    }
                });
            }
        });
        let mut agents = self.agents.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, old_task, close_sender)) = agents.insert(dispatcher, (address, task, close_sender)) {
            old_task.abort();
            tokio::spawn(async move {
                sleep(OLD_ADDRESS_LINGER).await;
                close_sender.send_replace(true);
            });
        }
        Ok(address)
    }

    /// The address of a dispatcher's agent.
    pub fn agent_address(&self, dispatcher: usize) -> Option<SocketAddr> {
        let agents = self.agents.lock().unwrap_or_else(PoisonError::into_inner);
        agents.get(&dispatcher).map(|(address, ..)| *address)
    }

    /// Changes the behavior.
    pub fn set_behavior(&self, change: impl FnOnce(&mut PlatformBehavior)) {
        let was_silent = self.shared.behavior.borrow().silent;
        self.shared.behavior.send_modify(change);
        let is_silent = self.shared.behavior.borrow().silent;
        if was_silent != is_silent {
            self.shared.recorder.add(Event::PlatformSilent { silent: is_silent });
        }
    }

    /// Changes an endpoint's entry in the list, or adds it.
    pub fn update_entry(&self, entry: EndpointEntry) {
        let mut discovery = self.shared.discovery();
        discovery.seq += 1;
        let seq = discovery.seq;
        self.shared.recorder.add(Event::EndpointChanged { endpoint: entry.name.clone(), state: entry.state });
        match entry.state {
            EndpointState::Removed => drop(discovery.entries.remove(&entry.name)),
            _ => drop(discovery.entries.insert(entry.name.clone(), entry.clone())),
        }
        discovery.changes.push(Change { seq, at: Instant::now(), entry });
        drop(discovery);
        self.shared.latest_seq.send_replace(seq);
    }

    /// Writes a line unchanged to each open watch. Waits until there is a watch. `seq`: the line is this version of the
    /// list, which each later watch of an earlier version gets too.
    pub async fn push_line(&self, seq: Option<u64>, line: &str) {
        // Can't fail: the sender lives as long as `self`.
        let _ = self.shared.open_watches.subscribe().wait_for(|open| *open > 0).await;
        // Locked until the line is sent: a watch that begins meanwhile gets it once.
        let mut discovery = self.shared.discovery();
        if let Some(seq) = seq {
            discovery.seq = discovery.seq.max(seq);
            discovery.pushed_changes.push((seq, line.into()));
        }
        // Fails only where the last watch ends at this moment.
        let _ = self.shared.pushed_lines.send(line.into());
    }

    /// An endpoint's entry.
    pub fn entry(&self, name: &str) -> Option<EndpointEntry> {
        self.shared.discovery().entries.get(name).cloned()
    }

    /// The list as a dispatcher has it: its state at the first request, with the changes delivered since.
    pub fn known_list(&self, dispatcher: usize) -> Value {
        let mut discovery = self.shared.discovery();
        let Discovery { known, entries, seq, .. } = &mut *discovery;
        let (seq, entries) = known.entry(dispatcher).or_insert_with(|| (*seq, entries.clone()));
        let entries: Vec<_> = entries.values().map(|entry| entry.to_json(dispatcher)).collect();
        json!({"seq": seq, "whole": true, "hosts": entries})
    }

    /// The notices so far, each with its dispatcher.
    pub fn notices(&self) -> Vec<(usize, Notice)> {
        self.shared.discovery().notices.clone()
    }

    /// The request lines of the watches, each with its dispatcher.
    pub fn watch_requests(&self) -> Vec<(usize, String)> {
        self.shared.discovery().watch_requests.clone()
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let agents = std::mem::take(&mut *self.agents.lock().unwrap_or_else(PoisonError::into_inner));
        for (_, task, close_sender) in agents.into_values() {
            task.abort();
            close_sender.send_replace(true);
        }
    }
}

async fn serve_connection(shared: &Shared, dispatcher: usize, stream: TcpStream) -> io::Result<()> {
    let mut connection = HttpConnection::new(stream);
    while let Some(request) = connection.read_request().await? {
        match request.target() {
            ("POST", "/status") => receive_notices(shared, dispatcher, &mut connection, &request).await?,
            ("GET", path) if path.starts_with("/registry/instances") => {
                if path.contains("stream=1") {
                    shared.discovery().watch_requests.push((dispatcher, request.start_line.clone()));
                }
                if shared.behavior.borrow().silent {
                    let mut behavior = shared.behavior.subscribe();
                    let _ = behavior.wait_for(|behavior| !behavior.silent).await;
                    // No dispatcher still waits for this response.
                    return Ok(());
                }
                if path.contains("stream=1") {
                    return serve_watch(shared, dispatcher, &mut connection, path).await;
                }
                let (body, entries, seq) = {
                    let discovery = shared.discovery();
                    (
                        full_list(&discovery, dispatcher).to_string(),
                        discovery.entries.values().cloned().collect(),
                        discovery.seq,
                    )
                };
                connection.write(&http::response_bytes(200, "", body.as_bytes())).await?;
                record_delivery(shared, dispatcher, entries, seq, true);
            }
            _ => connection.write(&http::response_bytes(404, "", b"")).await?,
        }
    }
    Ok(())
}

fn full_list(discovery: &Discovery, dispatcher: usize) -> Value {
    let entries: Vec<_> = discovery.entries.values().map(|entry| entry.to_json(dispatcher)).collect();
    json!({"seq": discovery.seq, "whole": true, "hosts": entries})
}

/// Records the entries that have been written to a dispatcher in full. Endpoints that a complete list doesn't name count
/// as removed.
fn record_delivery(
    shared: &Shared, dispatcher: usize, entries: Vec<EndpointEntry>, seq: u64, is_complete: bool,
) {
    let mut discovery = shared.discovery();
    let Discovery { known, entries: current_entries, .. } = &mut *discovery;
    let known = known.entry(dispatcher).or_insert_with(|| (seq, current_entries.clone()));
    known.0 = seq;
    let old = if is_complete { std::mem::take(&mut known.1) } else { BTreeMap::new() };
    let removed = old.into_values().filter(|old| !entries.iter().any(|entry| entry.name == old.name));
    let removed: Vec<EndpointEntry> =
        removed.map(|old| EndpointEntry { state: EndpointState::Removed, ..old }).collect();
    for entry in removed.into_iter().chain(entries) {
        shared.recorder.add(Event::ChangeDelivered {
            dispatcher,
            endpoint: entry.name.clone(),
            state: entry.state,
        });
        match entry.state {
            EndpointState::Removed => drop(known.1.remove(&entry.name)),
            _ => drop(known.1.insert(entry.name.clone(), entry)),
        }
    }
}

async fn receive_notices(
    shared: &Shared, dispatcher: usize, connection: &mut HttpConnection, request: &HttpMessage,
) -> io::Result<()> {
    if shared.behavior.borrow().unanswered_notices > 0 {
        shared.behavior.send_modify(|behavior| {
            behavior.unanswered_notices = behavior.unanswered_notices.saturating_sub(1)
        });
        return Ok(());
    }
    let text = request.text();
    let parsed: Result<Vec<Notice>, _> =
        text.lines().filter(|line| !line.trim().is_empty()).map(serde_json::from_str).collect();
    let status = match &parsed {
        Ok(notices) if !notices.is_empty() => shared.behavior.borrow().notice_status,
        _ => 400,
    };
    // Recorded before the response: the notice counts even if the dispatcher dies in the meantime.
    for notice in parsed.into_iter().flatten() {
        let Notice { message: id, outcome, retry_in_ms: retry_ms } = notice.clone();
        shared.recorder.add(Event::Notice { dispatcher, id, outcome, retry_ms, status });
        shared.discovery().notices.push((dispatcher, notice.clone()));
        if status == 204 {
            // Fails only where the receiver was dropped, as it is when there are no clients.
            let _ = shared.accepted_notices.send(notice);
        }
    }
    connection.write(&http::response_bytes(status, "", b"")).await
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

/// Writes a line to a watch, as a chunk of its response.
async fn write_line(connection: &mut HttpConnection, line: &str) -> io::Result<()> {
    connection.write(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await
}

/// Serves a watch: the changes after the version that it asks for, then each later change.
async fn serve_watch(
    shared: &Shared, dispatcher: usize, connection: &mut HttpConnection, path: &str,
) -> io::Result<()> {
    let index = path.split(['?', '&']).find_map(|pair| pair.strip_prefix("index=")).unwrap_or("0");
    let mut written_seq: u64 = index.parse().unwrap_or(0);
    let (mut latest_seq, mut behavior) = (shared.latest_seq.subscribe(), shared.behavior.subscribe());
    let (mut pushed_lines, mut missed_changes) = {
        let discovery = shared.discovery();
        (shared.pushed_lines.subscribe(), discovery.pushed_changes_after(written_seq))
    };
    let _open_watch = OpenWatch::new(&shared.open_watches);
    connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
    let mut is_first = true;
    loop {
        let _ = latest_seq.borrow_and_update();
        let update_delay = behavior.borrow_and_update().update_delay;
        let (update, entries, seq, next_due) = {
            let discovery = shared.discovery();
            let now = Instant::now();
            let pending_changes = || discovery.changes.iter().filter(|change| change.seq > written_seq);
            if is_first && (written_seq > discovery.seq || written_seq == 0) {
                let entries: Vec<EndpointEntry> = discovery.entries.values().cloned().collect();
                (Some((full_list(&discovery, dispatcher), true)), entries, discovery.seq, None)
            } else {
                let due_changes: Vec<_> =
                    pending_changes().take_while(|change| change.at + update_delay <= now).collect();
                let next_due =
                    pending_changes().nth(due_changes.len()).map(|change| change.at + update_delay);
                match due_changes.last() {
                    Some(last) => {
                        let changed_entries: Vec<_> =
                            due_changes.iter().map(|change| change.entry.to_json(dispatcher)).collect();
                        let update = json!({"seq": last.seq, "whole": false, "hosts": changed_entries});
                        let entries = due_changes.iter().map(|change| change.entry.clone()).collect();
                        (Some((update, false)), entries, last.seq, next_due)
                    }
                    None => (None, Vec::new(), written_seq, next_due),
                }
            }
        };
        let silent = behavior.borrow().silent;
        if let Some((update, is_complete)) = update.filter(|_| !silent) {
            let text = format!("{update}\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if behavior.borrow().truncate_updates {
                // Half of the chunk, and the connection is closed.
                connection.write(&chunk.as_bytes()[..chunk.len() / 2]).await?;
                return Ok(());
            }
            connection.write(chunk.as_bytes()).await?;
            written_seq = seq;
            record_delivery(shared, dispatcher, entries, seq, is_complete);
            is_first = false;
            continue;
        }
        if !silent && !missed_changes.is_empty() {
            for line in missed_changes.drain(..) {
                write_line(connection, &line).await?;
            }
            written_seq = written_seq.max(shared.discovery().seq);
        }
        is_first &= silent;
        let next_due = next_due
            .unwrap_or_else(|| Instant::now() + HEARTBEAT_INTERVAL)
            .min(Instant::now() + HEARTBEAT_INTERVAL);
        tokio::select! {
            _ = latest_seq.changed() => {}
            _ = behavior.changed() => {}
            () = sleep_until(next_due) => {
                let suppressed = behavior.borrow().silent || !behavior.borrow().heartbeats;
                if !suppressed {
                    timeout(HEARTBEAT_INTERVAL, connection.write(b"1\r\n\n\r\n")).await??;
                }
            }
            update = pushed_lines.recv() => {
                if let Ok(update) = update {
                    write_line(connection, &update).await?;
                    written_seq = written_seq.max(shared.discovery().seq);
                }
            }
            () = connection.wait_closed() => return Ok(()),
        }
    }
}
