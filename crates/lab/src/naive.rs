//! A dispatcher that breaks rules on purpose, to show that the auditor detects the violations. It represents a quick
//! implementation: apart from its fault it keeps the rules in the simplest way, with one attempt at a time, no send
//! rate control and no record of which endpoints are healthy.

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

/// The fault of the naive dispatcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// None that shows while nothing else fails.
    Honest,
    /// It keeps no journal.
    Forgets,
    /// It answers 202 and writes the journal record later.
    Early,
    /// It repeats messages that must not be repeated.
    Resends,
    /// It sends a second copy while the first is in flight.
    Doubles,
    /// It does not honour Retry-After.
    Impatient,
    /// It keeps calling endpoints that are draining or removed.
    Stubborn,
}

impl Fault {
    /// The error message for an unknown name.
    pub const EXPECTED: &'static str =
        "honest, forgets, early, resends, doubles, impatient or stubborn expected";
}

impl FromStr for Fault {
    type Err = ();

    fn from_str(name: &str) -> Result<Fault, ()> {
        Ok(match name {
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

/// Delay of the journal record after the answer, for [`Fault::Early`].
const LATE_RECORD_DELAY: Duration = Duration::from_millis(800);
/// Timeout of calls and of requests to the platform.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay of the second copy after the first, for [`Fault::Doubles`].
const SECOND_COPY_DELAY: Duration = Duration::from_millis(30);
/// Maximum number of attempts for one message.
const MAX_ATTEMPTS: u64 = 100;
/// Maximum number of pending messages.
const MAX_PENDING: usize = 2000;

#[derive(Clone)]
struct Message {
    id: String,
    class: String,
    destination: u64,
    key: Option<String>,
    body: Vec<u8>,
    /// Unix time in milliseconds.
    deadline: u64,
}

struct Naive {
    fault: Fault,
    /// Effect of a repeat and key window in seconds, by class.
    effects: HashMap<String, (String, f64)>,
    discovery: SocketAddr,
    /// The endpoints in service: destination and address.
    endpoints: Mutex<Vec<(u64, SocketAddr)>>,
    /// Until when a Retry-After applies, by destination.
    retry_afters: Mutex<HashMap<u64, Instant>>,
    journal: Mutex<File>,
    pending_count: Mutex<usize>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn invalid_setting(name: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, format!("{name}: missing or malformed"))
}

fn endpoints_in_service(list: &Value) -> Vec<(u64, SocketAddr)> {
    let entries = list["hosts"].as_array().into_iter().flatten();
    let in_service = entries.filter(|entry| entry["health"] == "up");
    in_service
        .filter_map(|entry| Some((entry["block"].as_u64()?, entry["dial"].as_str()?.parse().ok()?)))
        .collect()
}

/// Runs the naive dispatcher with the settings in `GW_CONFIG` and `GW_STATE` until it is killed.
///
/// # Errors
/// The configuration is invalid, or the journal or the address can't be opened.
pub async fn serve(fault: Fault) -> io::Result<()> {
    let path = std::env::var("GW_CONFIG").map_err(|_| invalid_setting("GW_CONFIG"))?;
    let config: Value = serde_json::from_slice(&std::fs::read(path)?)?;
    let state: PathBuf = std::env::var_os("GW_STATE").ok_or_else(|| invalid_setting("GW_STATE"))?.into();
    let address =
        |key: &str| config[key].as_str().and_then(|at| at.parse().ok()).ok_or_else(|| invalid_setting(key));
    let (listen, discovery): (SocketAddr, SocketAddr) = (address("listen")?, address("discovery")?);
    let classes =
        config["settings"]["grades"].as_array().ok_or_else(|| invalid_setting("settings.grades"))?;
    let string_of = |value: &Value| value.as_str().unwrap_or_default().to_string();
    let effects = classes
        .iter()
        .map(|class| {
            (
                string_of(&class["name"]),
                (string_of(&class["effect"]), class["repeat_window"].as_f64().unwrap_or(0.0)),
            )
        })
        .collect();
    let path = state.join("naive.jsonl");
    let journal_text = std::fs::read_to_string(&path).unwrap_or_default();
    let journal = OpenOptions::new().append(true).create(true).open(path)?;
    let naive = Arc::new(Naive {
        fault,
        effects,
        discovery,
        endpoints: Mutex::new(endpoints_in_service(&config["known"])),
        retry_afters: Mutex::default(),
        journal: Mutex::new(journal),
        pending_count: Mutex::default(),
    });
    naive.resume(&journal_text);
    let listener = TcpListener::bind(listen).await?;
    println!("naive listens at {}", listener.local_addr()?);
    tokio::spawn(naive.clone().poll_discovery());
    loop {
        let (stream, _) = listener.accept().await?;
        let naive = naive.clone();
        tokio::spawn(async move {
            let mut connection = HttpConnection::new(stream);
            while let Ok(Some(request)) = connection.read_request().await {
                if connection.write(&naive.handle_request(&request)).await.is_err() {
                    return;
                }
            }
        });
    }
}

impl Naive {
    fn append_record(&self, entry: &Value) {
        if self.fault != Fault::Forgets {
            let written = writeln!(lock(&self.journal), "{entry}");
            written.unwrap_or_else(|error| println!("journal: {error}"));
        }
    }

    fn resume(self: &Arc<Naive>, journal_text: &str) {
        let entries: Vec<Value> =
            journal_text.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
        let id_of = |entry: &Value| entry["id"].as_str().unwrap_or_default().to_string();
        let mut pending = HashMap::new();
        for entry in entries.iter().filter(|entry| entry["what"] == "taken") {
            let bytes = entry["body"].as_array().into_iter().flatten();
            let message = Message {
                id: id_of(entry),
                class: entry["class"].as_str().unwrap_or_default().into(),
                destination: entry["dest"].as_u64().unwrap_or(0),
                key: entry["key"].as_str().map(Into::into),
                body: bytes.filter_map(|byte| byte.as_u64().map(|byte| byte as u8)).collect(),
                deadline: entry["deadline"].as_u64().unwrap_or(0),
            };
            pending.insert(id_of(entry), (message, None));
        }
        // The result of a message may be recorded before its acceptance.
        for entry in &entries {
            match entry["what"].as_str() {
                Some("sent") => {
                    if let Some((_, may_have_run_at)) = pending.get_mut(&id_of(entry)) {
                        *may_have_run_at = may_have_run_at.or(entry["at"].as_u64());
                    }
                }
                Some("never") => drop(
                    pending.get_mut(&id_of(entry)).and_then(|(_, may_have_run_at)| may_have_run_at.take()),
                ),
                Some("over") => drop(pending.remove(&id_of(entry))),
                _ => {}
            }
        }
        for (message, may_have_run_at) in pending.into_values() {
            *lock(&self.pending_count) += 1;
            tokio::spawn(self.clone().deliver(message, may_have_run_at));
        }
    }

    /// Polls the complete list.
    async fn poll_discovery(self: Arc<Naive>) {
        loop {
            let exchange = async {
                let mut connection = HttpConnection::connect(self.discovery, CALL_TIMEOUT).await?;
                connection.write(b"GET /registry/instances HTTP/1.1\r\nHost: d\r\n\r\n").await?;
                connection.read_response().await
            };
            if let Ok(Ok(response)) = timeout(CALL_TIMEOUT, exchange).await
                && let Ok(list) = serde_json::from_slice(&response.body)
                && self.fault != Fault::Stubborn
            {
                *lock(&self.endpoints) = endpoints_in_service(&list);
            }
            sleep(Duration::from_millis(300)).await;
        }
    }

    fn handle_request(self: &Arc<Naive>, request: &HttpMessage) -> Vec<u8> {
        let (method, path) = request.target();
        if method == "GET" {
            return http::response_bytes(200, "", b"ok\n");
        }
        let class = path.trim_start_matches('/').to_string();
        let destination =
            request.header("x-consignee").and_then(|text| text.strip_prefix("dest=")?.parse().ok());
        let timeout_ms = request.header("request-timeout-ms").and_then(|ms| ms.parse::<u64>().ok());
        let (Some(id), Some(destination), Some(timeout_ms)) =
            (request.header("request-id"), destination, timeout_ms)
        else {
            return http::response_bytes(400, "", b"");
        };
        if *lock(&self.pending_count) >= MAX_PENDING {
            return http::response_bytes(503, "Retry-After: 1\r\n", b"");
        }
        let message = Message {
            id: id.into(),
            class,
            destination,
            key: request.header("idempotency-key").map(Into::into),
            body: request.body.clone(),
            deadline: unix_ms() + timeout_ms,
        };
        let Message { id, class, key, body, deadline, .. } = &message;
        let entry = json!({"what": "taken", "id": id, "class": class, "dest": destination, "key": key, "body": body,
            "deadline": deadline});
        if self.fault == Fault::Early {
            let naive = self.clone();
            tokio::spawn(async move {
                sleep(LATE_RECORD_DELAY).await;
                naive.append_record(&entry);
            });
        } else {
            self.append_record(&entry);
        }
        *lock(&self.pending_count) += 1;
        tokio::spawn(self.clone().deliver(message, None));
        http::response_bytes(202, "", b"")
    }

    async fn deliver(self: Arc<Naive>, message: Message, mut may_have_run_at: Option<u64>) {
        let (effect, key_window) = self.effects.get(&message.class).cloned().unwrap_or_default();
        let mut delivered = false;
        for attempt in 0..MAX_ATTEMPTS {
            let now = unix_ms();
            let must_not_repeat = match (effect.as_str(), may_have_run_at) {
                (_, None) | ("read_like", _) => false,
                ("idempotency_key", Some(sent_at)) => now > sent_at + (key_window * 1000.0) as u64 - 300,
                _ => self.fault != Fault::Resends,
            };
            if now + 300 > message.deadline || must_not_repeat {
                break;
            }
            if self.fault != Fault::Impatient {
                let max_wait = Duration::from_millis(message.deadline.saturating_sub(now + 300));
                // A message that would have to wait beyond its deadline is given up.
                if timeout(max_wait, self.wait_for_retry_after(message.destination)).await.is_err() {
                    break;
                }
            }
            let addresses: Vec<SocketAddr> = lock(&self.endpoints)
                .iter()
                .filter(|(destination, _)| *destination == message.destination)
                .map(|(_, address)| *address)
                .collect();
            let Some(address) = addresses.get(attempt as usize % addresses.len().max(1)).copied() else {
                sleep(Duration::from_millis(200)).await;
                continue;
            };
            self.append_record(&json!({"what": "sent", "id": message.id, "at": unix_ms()}));
            if self.fault == Fault::Doubles {
                let (naive, message) = (self.clone(), message.clone());
                tokio::spawn(async move {
                    sleep(SECOND_COPY_DELAY).await;
                    let wait_until = lock(&naive.retry_afters).get(&message.destination).copied();
                    if wait_until.is_some_and(|wait_until| wait_until > Instant::now()) {
                        return None;
                    }
                    naive.call(address, &message).await
                });
            }
            match self.call(address, &message).await {
                Some(200) => {
                    delivered = true;
                    break;
                }
                Some(429 | 503) => self.append_record(&json!({"what": "never", "id": message.id})),
                _ => may_have_run_at = may_have_run_at.or(Some(now)),
            }
            sleep(Duration::from_millis(100 << attempt.min(4))).await;
        }
        while !delivered && !self.give_up(&message.id).await {
            sleep(Duration::from_millis(100)).await;
        }
        self.append_record(&json!({"what": "over", "id": message.id}));
        *lock(&self.pending_count) -= 1;
    }

    /// Waits until no Retry-After applies; further ones may arrive in the meantime.
    async fn wait_for_retry_after(&self, destination: u64) {
        loop {
            let wait_until = lock(&self.retry_afters).get(&destination).copied();
            let Some(remaining) =
                wait_until.map(|wait_until| wait_until.saturating_duration_since(Instant::now()))
            else {
                return;
            };
            if remaining.is_zero() {
                return;
            }
            sleep(remaining).await;
        }
    }

    async fn call(&self, address: SocketAddr, message: &Message) -> Option<u16> {
        let mut connection = HttpConnection::connect(address, CALL_TIMEOUT).await.ok()?;
        let remaining_ms = message.deadline.saturating_sub(unix_ms());
        let response_timeout = CALL_TIMEOUT.min(Duration::from_millis(remaining_ms.saturating_sub(250)));
        let key = message.key.as_ref().map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        let head = format!(
            "POST /receive HTTP/1.1\r\nHost: {address}\r\nRequest-Id: {}\r\n{key}Request-Timeout-Ms: {remaining_ms}\r\n\
             Content-Length: {}\r\n\r\n",
            message.id,
            message.body.len()
        );
        connection.write(&[head.as_bytes(), &message.body].concat()).await.ok()?;
        let response = timeout(response_timeout, connection.read_response()).await.ok()?.ok()?;
        if let Some(seconds) = response.header("retry-after").and_then(|text| text.parse::<f64>().ok()) {
            let wait_until = Instant::now() + Duration::from_secs_f64(seconds.clamp(0.0, 60.0));
            lock(&self.retry_afters).insert(message.destination, wait_until);
        }
        Some(response.status())
    }

    async fn give_up(&self, id: &str) -> bool {
        let exchange = async {
            let mut connection = HttpConnection::connect(self.discovery, CALL_TIMEOUT).await?;
            let body = json!({"message": id, "outcome": "given_up"}).to_string();
            let head = format!("POST /status HTTP/1.1\r\nHost: d\r\nContent-Length: {}\r\n\r\n", body.len());
            connection.write(format!("{head}{body}").as_bytes()).await?;
            connection.read_response().await
        };
        matches!(timeout(CALL_TIMEOUT, exchange).await, Ok(Ok(response)) if response.status() == 204)
    }
}
