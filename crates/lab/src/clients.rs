//! Simulated clients, and the load balancer in front of the dispatchers.
//!
//! The clients submit the messages of a script at their scripted times, wait a limited time for each response, and
//! resubmit messages that were rejected or got no response. Each submission of a message has an id of its own. Requests
//! and responses are recorded for the auditor.

use crate::http::HttpConnection;
use crate::message_registry::MessageRegistry;
use crate::platform::Notice;
use crate::record::{Effect, Event, Micros, Outcome, Recorder, digest};
use crate::scenario::Scenario;
use crate::script::Arrival;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Upper limit on the submissions of one message, whatever their results.
const MAX_SUBMISSIONS: u32 = 6;

/// A client's message with the state of all its submissions.
#[derive(Clone)]
struct ClientMessage {
    arrival: Arrival,
    rng: fastrand::Rng,
    /// Submissions so far.
    submissions: u32,
    /// Rejections so far, by a response or by a notice.
    rejections: u32,
    /// At least one submission reached a dispatcher.
    reached: bool,
    /// Time of the first submission.
    first_submitted_at: Micros,
    body: Arc<Vec<u8>>,
}

/// All clients of a run.
pub struct SimulatedClients {
    scenario: Scenario,
    recorder: Recorder,
    registry: Arc<MessageRegistry>,
    dispatcher_addresses: Vec<SocketAddr>,
    /// The dispatchers that the load balancer considers alive.
    alive: Mutex<Vec<bool>>,
    /// Idle keep-alive connections, by dispatcher.
    idle_connections: Vec<Mutex<Vec<HttpConnection>>>,
    /// Accepted messages without a notice so far, by id: a notice may make the client resubmit.
    accepted: Mutex<HashMap<String, ClientMessage>>,
    /// Messages with a submission or a resubmission delay in progress.
    active: AtomicUsize,
    /// Messages that no dispatcher ever received.
    unreached: AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Result of one submission.
enum SubmitResult {
    Accepted,
    /// Rejected, with the delay from `Retry-After` if the response had one.
    Rejected(Option<Duration>),
    Failed,
    /// No response: the message may or may not have been accepted, so a resubmission gets a new id.
    NoResponse,
    /// The connection could not be established: the message was certainly not accepted.
    Unreached,
}

impl SimulatedClients {
    /// Creates clients of the dispatchers at these addresses.
    pub fn new(
        scenario: Scenario, recorder: Recorder, registry: Arc<MessageRegistry>,
        dispatcher_addresses: Vec<SocketAddr>,
    ) -> Arc<SimulatedClients> {
        let count = dispatcher_addresses.len();
        Arc::new(SimulatedClients {
            scenario,
            recorder,
            registry,
            dispatcher_addresses,
            alive: Mutex::new(vec![true; count]),
            idle_connections: (0..count).map(|_| Mutex::default()).collect(),
            accepted: Mutex::default(),
            active: AtomicUsize::new(0),
            unreached: AtomicUsize::new(0),
        })
    }

    /// Sets whether the load balancer considers a dispatcher alive, and drops the connections to one that is not.
    pub fn set_alive(&self, dispatcher: usize, alive: bool) {
        lock(&self.alive)[dispatcher] = alive;
        if !alive {
            lock(&self.idle_connections[dispatcher]).clear();
        }
    }

    /// Number of messages with a submission or a resubmission delay in progress.
    pub fn active_submissions(&self) -> usize {
        self.active.load(Ordering::SeqCst)
    }

    /// Number of messages that no dispatcher ever received.
    pub fn unreached_messages(&self) -> usize {
        self.unreached.load(Ordering::SeqCst)
    }

    /// Submits all arrivals at their times, which count from `started_at`.
    pub async fn submit_arrivals(self: Arc<SimulatedClients>, arrivals: Vec<Arrival>, started_at: Micros) {
        for arrival in arrivals {
            tokio::time::sleep_until(self.recorder.instant(started_at + arrival.at).into()).await;
            let mut rng = fastrand::Rng::with_seed(arrival.seed);
            let body = Arc::new((0..arrival.body_bytes).map(|_| rng.u8(..)).collect());
            let first_submitted_at = self.recorder.now();
            self.spawn(
                ClientMessage {
                    arrival,
                    rng,
                    submissions: 0,
                    rejections: 0,
                    reached: false,
                    first_submitted_at,
                    body,
                },
                Duration::ZERO,
            );
        }
    }

    /// Handles the notices that the platform receives: a message that was handed back may be resubmitted.
    pub async fn handle_notices(self: Arc<SimulatedClients>, mut notices: mpsc::UnboundedReceiver<Notice>) {
        while let Some(notice) = notices.recv().await {
            let Some(mut message) = lock(&self.accepted).remove(&notice.message) else { continue };
            message.reached = true;
            if notice.outcome == Outcome::HandedBack && self.resubmits(&mut message) {
                let delay = notice.retry_in_ms.map(Duration::from_millis);
                let delay = delay.unwrap_or_else(|| self.backoff(&mut message));
                // A keyed message is not resubmitted once its key may be forgotten: the repeat could take effect twice.
                let class = &self.scenario.classes[message.arrival.class];
                let resubmitted_at = self.recorder.now() + delay.as_micros() as Micros;
                if class.effect != Effect::Keyed
                    || resubmitted_at < message.first_submitted_at + (class.key_window_s * 1e6) as Micros
                {
                    self.spawn(message, delay);
                }
            }
        }
    }

    fn spawn(self: &Arc<SimulatedClients>, message: ClientMessage, delay: Duration) {
        self.active.fetch_add(1, Ordering::SeqCst);
        let clients = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            clients.run(message).await;
            clients.active.fetch_sub(1, Ordering::SeqCst);
        });
    }

    /// Whether the client resubmits a rejected message: only after the first rejection, with the scenario's
    /// probability.
    fn resubmits(&self, message: &mut ClientMessage) -> bool {
        message.rejections += 1;
        message.rejections == 1 && message.rng.f64() < self.scenario.clients.retry_probability
    }

    fn backoff(&self, message: &mut ClientMessage) -> Duration {
        let [min_ms, max_ms] = self.scenario.clients.backoff_ms;
        Duration::from_millis(message.rng.u64(min_ms..=max_ms))
    }

    /// Chooses a dispatcher at random among those considered alive, or among all if there are none.
    fn choose_dispatcher(&self, message: &mut ClientMessage) -> usize {
        let alive = lock(&self.alive);
        let candidates: Vec<usize> = (0..alive.len()).filter(|i| alive[*i]).collect();
        match candidates.len() {
            0 => message.rng.usize(..alive.len()),
            count => candidates[message.rng.usize(..count)],
        }
    }

    /// Submits a message until it is accepted, the client gives up or its deadline is near.
    async fn run(self: &Arc<SimulatedClients>, mut message: ClientMessage) {
        let class = &self.scenario.classes[message.arrival.class];
        let time_limit = (class.deadline_s * 1e6) as Micros;
        while message.submissions < MAX_SUBMISSIONS {
            let deadline = message.first_submitted_at + time_limit;
            // A submission with less than 50 ms left would hardly be delivered in time.
            if self.recorder.now() + 50_000 > deadline {
                break;
            }
            let number = message.submissions;
            message.submissions += 1;
            let id = match number {
                0 => message.arrival.id.clone(),
                n => format!("{}-{n}", message.arrival.id),
            };
            let dispatcher = self.choose_dispatcher(&mut message);
            // Inserted before the submission: the notice may arrive before the response is read here.
            lock(&self.accepted).insert(id.clone(), message.clone());
            let result = self.submit(&message, &id, dispatcher, deadline).await;
            message.reached |= !matches!(result, SubmitResult::Unreached);
            if !matches!(result, SubmitResult::Accepted) {
                lock(&self.accepted).remove(&id);
            }
            match result {
                SubmitResult::Accepted | SubmitResult::Failed => return,
                SubmitResult::Rejected(retry_after) => {
                    if !self.resubmits(&mut message) {
                        return;
                    }
                    let delay = retry_after.unwrap_or_else(|| self.backoff(&mut message));
                    sleep(delay).await;
                }
                SubmitResult::NoResponse if class.effect == Effect::Unsafe => return,
                SubmitResult::NoResponse | SubmitResult::Unreached => {
                    let delay = self.backoff(&mut message);
                    sleep(delay).await;
                }
            }
        }
        if !message.reached {
            self.unreached.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Submits a message once under one id. Repeats the request on a new connection if it failed on a reused one, which
    /// the dispatcher may have closed at the same moment.
    async fn submit(
        &self, message: &ClientMessage, id: &str, dispatcher: usize, deadline: Micros,
    ) -> SubmitResult {
        let arrival = &message.arrival;
        let class = &self.scenario.classes[arrival.class];
        let destination = arrival.partner as u32 + 1;
        let key_window = (class.key_window_s * 1e6) as Micros;
        self.registry.register(id, destination, deadline, class.effect, key_window);
        let response_timeout = Duration::from_millis(self.scenario.clients.response_timeout_ms);
        let mut new_connection = false;
        loop {
            let reused = if new_connection { None } else { self.take_idle_connection(dispatcher) };
            new_connection = reused.is_none();
            let mut connection = match reused {
                Some(connection) => connection,
                None => {
                    match HttpConnection::connect(self.dispatcher_addresses[dispatcher], response_timeout)
                        .await
                    {
                        Ok(connection) => connection,
                        Err(_) => return SubmitResult::Unreached,
                    }
                }
            };
            let key = (class.effect == Effect::Keyed).then(|| format!("k{}", arrival.id));
            let remaining_ms = deadline.saturating_sub(self.recorder.now()) / 1000;
            let mut head = format!(
                "POST /{name} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {name}\r\n\
                 Request-Timeout-Ms: {remaining_ms}\r\nContent-Length: {length}\r\nX-Consignee: dest={destination}\r\n",
                name = class.name,
                length = message.body.len(),
            );
            if let Some(key) = &key {
                head.push_str(&format!("Idempotency-Key: {key}\r\n"));
            }
            if let Some(tenant) = &self.scenario.partners[arrival.partner].tenant {
                head.push_str(&format!("Tenant: {tenant}\r\n"));
            }
            if message.submissions > 1 {
                head.push_str("Client-Retry: 1\r\n");
            }
            head.push_str("\r\n");
            let mut request = head.into_bytes();
            request.extend_from_slice(&message.body);
            if connection.write(&request).await.is_err() {
                // The last byte was not written, so the dispatcher can't have accepted the message.
                match new_connection {
                    true => return SubmitResult::NoResponse,
                    false => {
                        new_connection = true;
                        continue;
                    }
                }
            }
            self.recorder.add(Event::Submitted {
                id: id.into(),
                origin: arrival.id.clone(),
                class: class.name.clone(),
                destination,
                key,
                order: None,
                body_digest: digest(&message.body),
                deadline,
                dispatcher,
                new_connection,
            });
            let response = match timeout(response_timeout, connection.read_response()).await {
                Ok(Ok(response)) => response,
                Ok(Err(_)) => {
                    self.recorder.add(Event::ConnectionLost { id: id.into() });
                    if !new_connection {
                        new_connection = true;
                        continue;
                    }
                    return SubmitResult::NoResponse;
                }
                Err(_) => {
                    self.recorder.add(Event::ClientTimedOut { id: id.into() });
                    return SubmitResult::NoResponse;
                }
            };
            self.recorder.add(Event::Answered { id: id.into(), status: response.status() });
            if !response.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                let mut idle = lock(&self.idle_connections[dispatcher]);
                if idle.len() < self.scenario.clients.max_connections {
                    idle.push(connection);
                }
            }
            return match response.status() {
                200 | 202 => SubmitResult::Accepted,
                429 | 503 => {
                    let retry_after =
                        response.header("retry-after").and_then(|seconds| seconds.parse::<f64>().ok());
                    let retry_after = retry_after.filter(|seconds| (0.0..60.0).contains(seconds));
                    SubmitResult::Rejected(retry_after.map(Duration::from_secs_f64))
                }
                _ => SubmitResult::Failed,
            };
        }
    }

    /// Takes an idle connection to a dispatcher that is still open.
    fn take_idle_connection(&self, dispatcher: usize) -> Option<HttpConnection> {
        let mut idle = lock(&self.idle_connections[dispatcher]);
        loop {
            let mut connection = idle.pop()?;
            if !connection.is_stale() {
                return Some(connection);
            }
        }
    }
}
