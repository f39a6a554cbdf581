//! A dispatcher that breaks rules on purpose: it stands for what a hurried bridge does, and shows that the
//! auditor sees it. It keeps the rules as far as its fault lets it, in the plainest way: one try after the other,
//! no pace, no memory of who is well.

use crate::http::{self, HttpConnection, HttpMessage};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// What it does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing that a calm day would show.
    Honest,
    /// It keeps no journal.
    Forgets,
    /// It answers 202 and writes its record a while later.
    Early,
    /// It sends again what must not be repeated.
    Resends,
    /// It sends a second copy while the first is out.
    Doubles,
    /// It does not heed waits.
    Impatient,
    /// It goes on sending to endpoints that drain or are gone.
    Stubborn,
}

impl Fault {
    /// What is expected in place of an unknown word.
    pub const EXPECTED: &'static str =
        "honest, forgets, early, resends, doubles, impatient or stubborn expected";
}

impl FromStr for Fault {
    type Err = ();

    fn from_str(word: &str) -> Result<Fault, ()> {
        Ok(match word {
            "honest" => Fault::Honest,
            "forgets" => Fault::Forgets,
            "early" => Fault::Early,
            "resends" => Fault::Resends,
            "doubles" => Fault::Doubles,
            "impatient" => Fault::Impatient,
            "stubborn" => Fault::Stubborn,
            _ => return Err(()),
        })
    }
}

/// The record is written so much later than the answer.
const EARLY: Duration = Duration::from_millis(800);
/// A call is waited for so long.
const PATIENCE: Duration = Duration::from_secs(2);
/// A second copy follows the first after this time.
const SECOND: Duration = Duration::from_millis(30);
/// Attempts for one message.
const ATTEMPTS: u64 = 100;
/// Messages held at most.
const ROOM: usize = 2000;

#[derive(Clone)]
struct Message {
    id: String,
    class: String,
    dest: u64,
    key: Option<String>,
    body: Vec<u8>,
    /// Unix time in milliseconds.
    deadline: u64,
}

struct Naive {
    fault: Fault,
    effects: HashMap<String, (String, f64)>,
    discovery: SocketAddr,
    list: Mutex<Vec<(u64, SocketAddr)>>,
    waits: Mutex<HashMap<u64, Instant>>,
    journal: Mutex<File>,
    held: Mutex<usize>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn missing(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, format!("{what}: missing or malformed"))
}

fn up(list: &Value) -> Vec<(u64, SocketAddr)> {
    let hosts = list["hosts"].as_array().into_iter().flatten();
    let up = hosts.filter(|host| host["health"] == "up");
    up.filter_map(|host| Some((host["block"].as_u64()?, host["dial"].as_str()?.parse().ok()?))).collect()
}

/// Runs it by `GW_CONFIG` and `GW_STATE` until it is killed.
///
/// # Errors
/// What keeps it from starting.
pub async fn serve(fault: Fault) -> io::Result<()> {
    let path = std::env::var("GW_CONFIG").map_err(|_| missing("GW_CONFIG"))?;
    let config: Value = serde_json::from_slice(&std::fs::read(path)?)?;
    let state: PathBuf = std::env::var_os("GW_STATE").ok_or_else(|| missing("GW_STATE"))?.into();
    let address = |key: &str| config[key].as_str().and_then(|at| at.parse().ok()).ok_or_else(|| missing(key));
    let (listen, discovery): (SocketAddr, SocketAddr) = (address("listen")?, address("discovery")?);
    let grades = config["settings"]["grades"].as_array().ok_or_else(|| missing("settings.grades"))?;
    let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
    let effects = grades
        .iter()
        .map(|g| (text(&g["name"]), (text(&g["effect"]), g["repeat_window"].as_f64().unwrap_or(0.0))))
        .collect();
    let path = state.join("naive.jsonl");
    let old = std::fs::read_to_string(&path).unwrap_or_default();
    let journal = OpenOptions::new().append(true).create(true).open(path)?;
    let naive = Arc::new(Naive {
        fault,
        effects,
        discovery,
        list: Mutex::new(up(&config["known"])),
        waits: Mutex::default(),
        journal: Mutex::new(journal),
        held: Mutex::default(),
    });
    naive.resume(&old);
    let listener = TcpListener::bind(listen).await?;
    println!("naive listens at {}", listener.local_addr()?);
    tokio::spawn(naive.clone().follow());
    loop {
        let (stream, _) = listener.accept().await?;
        let naive = naive.clone();
        tokio::spawn(async move {
            let mut wire = HttpConnection::new(stream);
            while let Ok(Some(request)) = wire.read_request().await {
                if wire.write(&naive.answer(&request)).await.is_err() {
                    return;
                }
            }
        });
    }
}

impl Naive {
    fn record(&self, entry: &Value) {
        if self.fault != Fault::Forgets {
            let written = writeln!(lock(&self.journal), "{entry}");
            written.unwrap_or_else(|error| println!("journal: {error}"));
        }
    }

    fn resume(self: &Arc<Naive>, old: &str) {
        let entries: Vec<Value> = old.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        let id = |entry: &Value| entry["id"].as_str().unwrap_or_default().to_string();
        let mut open = HashMap::new();
        for entry in entries.iter().filter(|entry| entry["what"] == "taken") {
            let bytes = entry["body"].as_array().into_iter().flatten();
            let message = Message {
                id: id(entry),
                class: entry["class"].as_str().unwrap_or_default().into(),
                dest: entry["dest"].as_u64().unwrap_or(0),
                key: entry["key"].as_str().map(Into::into),
                body: bytes.filter_map(|byte| byte.as_u64().map(|byte| byte as u8)).collect(),
                deadline: entry["deadline"].as_u64().unwrap_or(0),
            };
            open.insert(id(entry), (message, None));
        }
        // What became of a message may stand before the record that it was taken.
        for entry in &entries {
            match entry["what"].as_str() {
                Some("sent") => {
                    if let Some((_, ran)) = open.get_mut(&id(entry)) {
                        *ran = ran.or(entry["at"].as_u64());
                    }
                }
                Some("never") => drop(open.get_mut(&id(entry)).and_then(|(_, ran)| ran.take())),
                Some("over") => drop(open.remove(&id(entry))),
                _ => {}
            }
        }
        for (message, ran) in open.into_values() {
            *lock(&self.held) += 1;
            tokio::spawn(self.clone().deliver(message, ran));
        }
    }

    /// Asks for the whole list over and over.
    async fn follow(self: Arc<Naive>) {
        loop {
            let asked = async {
                let mut wire = HttpConnection::connect(self.discovery, PATIENCE).await?;
                wire.write(b"GET /registry/instances HTTP/1.1\r\nHost: d\r\n\r\n").await?;
                wire.read_response().await
            };
            if let Ok(Ok(answer)) = timeout(PATIENCE, asked).await
                && let Ok(list) = serde_json::from_slice(&answer.body)
                && self.fault != Fault::Stubborn
            {
                *lock(&self.list) = up(&list);
            }
            sleep(Duration::from_millis(300)).await;
        }
    }

    fn answer(self: &Arc<Naive>, request: &HttpMessage) -> Vec<u8> {
        let (method, path) = request.target();
        if method == "GET" {
            return http::response_bytes(200, "", b"ok\n");
        }
        let class = path.trim_start_matches('/').to_string();
        let dest = request.header("x-consignee").and_then(|text| text.strip_prefix("dest=")?.parse().ok());
        let span = request.header("request-timeout-ms").and_then(|ms| ms.parse::<u64>().ok());
        let (Some(id), Some(dest), Some(span)) = (request.header("request-id"), dest, span) else {
            return http::response_bytes(400, "", b"");
        };
        if *lock(&self.held) >= ROOM {
            return http::response_bytes(503, "Retry-After: 1\r\n", b"");
        }
        let message = Message {
            id: id.into(),
            class,
            dest,
            key: request.header("idempotency-key").map(Into::into),
            body: request.body.clone(),
            deadline: unix_ms() + span,
        };
        let Message { id, class, key, body, deadline, .. } = &message;
        let entry = json!({"what": "taken", "id": id, "class": class, "dest": dest, "key": key, "body": body,
            "deadline": deadline});
        if self.fault == Fault::Early {
            let naive = self.clone();
            tokio::spawn(async move {
                sleep(EARLY).await;
                naive.record(&entry);
            });
        } else {
            self.record(&entry);
        }
        *lock(&self.held) += 1;
        tokio::spawn(self.clone().deliver(message, None));
        http::response_bytes(202, "", b"")
    }

    async fn deliver(self: Arc<Naive>, message: Message, mut ran: Option<u64>) {
        let (effect, window) = self.effects.get(&message.class).cloned().unwrap_or_default();
        let mut delivered = false;
        for attempt in 0..ATTEMPTS {
            let now = unix_ms();
            let lost = match (effect.as_str(), ran) {
                (_, None) | ("read_like", _) => false,
                ("idempotency_key", Some(at)) => now > at + (window * 1000.0) as u64 - 300,
                _ => self.fault != Fault::Resends,
            };
            if now + 300 > message.deadline || lost {
                break;
            }
            if self.fault != Fault::Impatient {
                let most = Duration::from_millis(message.deadline.saturating_sub(now + 300));
                // What can't wait so long is given up.
                if timeout(most, self.wait(message.dest)).await.is_err() {
                    break;
                }
            }
            let places: Vec<SocketAddr> = lock(&self.list)
                .iter()
                .filter(|(dest, _)| *dest == message.dest)
                .map(|(_, at)| *at)
                .collect();
            let Some(at) = places.get(attempt as usize % places.len().max(1)).copied() else {
                sleep(Duration::from_millis(200)).await;
                continue;
            };
            self.record(&json!({"what": "sent", "id": message.id, "at": unix_ms()}));
            if self.fault == Fault::Doubles {
                let (naive, message) = (self.clone(), message.clone());
                tokio::spawn(async move {
                    sleep(SECOND).await;
                    let until = lock(&naive.waits).get(&message.dest).copied();
                    if until.is_some_and(|until| until > Instant::now()) {
                        return None;
                    }
                    naive.call(at, &message).await
                });
            }
            match self.call(at, &message).await {
                Some(200) => {
                    delivered = true;
                    break;
                }
                Some(429 | 503) => self.record(&json!({"what": "never", "id": message.id})),
                _ => ran = ran.or(Some(now)),
            }
            sleep(Duration::from_millis(100 << attempt.min(4))).await;
        }
        while !delivered && !self.give_up(&message.id).await {
            sleep(Duration::from_millis(100)).await;
        }
        self.record(&json!({"what": "over", "id": message.id}));
        *lock(&self.held) -= 1;
    }

    /// Until no wait is told any more; another may have been told meanwhile.
    async fn wait(&self, dest: u64) {
        loop {
            let until = lock(&self.waits).get(&dest).copied();
            let Some(left) = until.map(|until| until.saturating_duration_since(Instant::now())) else {
                return;
            };
            if left.is_zero() {
                return;
            }
            sleep(left).await;
        }
    }

    async fn call(&self, at: SocketAddr, message: &Message) -> Option<u16> {
        let mut wire = HttpConnection::connect(at, PATIENCE).await.ok()?;
        let left = message.deadline.saturating_sub(unix_ms());
        let patience = PATIENCE.min(Duration::from_millis(left.saturating_sub(250)));
        let key = message.key.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let head = format!(
            "POST /receive HTTP/1.1\r\nHost: {at}\r\nRequest-Id: {}\r\n{key}Request-Timeout-Ms: {left}\r\n\
             Content-Length: {}\r\n\r\n",
            message.id,
            message.body.len()
        );
        wire.write(&[head.as_bytes(), &message.body].concat()).await.ok()?;
        let answer = timeout(patience, wire.read_response()).await.ok()?.ok()?;
        if let Some(seconds) = answer.header("retry-after").and_then(|text| text.parse::<f64>().ok()) {
            let until = Instant::now() + Duration::from_secs_f64(seconds.clamp(0.0, 60.0));
            lock(&self.waits).insert(message.dest, until);
        }
        Some(answer.status())
    }

    async fn give_up(&self, id: &str) -> bool {
        let told = async {
            let mut wire = HttpConnection::connect(self.discovery, PATIENCE).await?;
            let body = json!({"message": id, "outcome": "given_up"}).to_string();
            let head = format!("POST /status HTTP/1.1\r\nHost: d\r\nContent-Length: {}\r\n\r\n", body.len());
            wire.write(format!("{head}{body}").as_bytes()).await?;
            wire.read_response().await
        };
        matches!(timeout(PATIENCE, told).await, Ok(Ok(answer)) if answer.status() == 204)
    }
}
