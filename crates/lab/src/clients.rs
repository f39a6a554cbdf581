//! Stand-ins for clients and the front before the dispatchers: they hand messages in at their own times, wait
//! 400 ms, and come again by habit.

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

/// A message is handed in so often at most, whatever becomes of it.
const HAND_INS_MOST: u32 = 6;

/// A message of a client, through all its ids.
#[derive(Clone)]
struct Errand {
    arrival: Arrival,
    rng: fastrand::Rng,
    /// Hand-ins so far, and refusals after which it came again.
    hand_ins: u32,
    refusals: u32,
    /// A dispatcher has read it at least once.
    reached: bool,
    /// When it was handed in first.
    since: Micros,
    body: Arc<Vec<u8>>,
}

/// All clients of a run.
pub struct SimulatedClients {
    scenario: Scenario,
    recorder: Recorder,
    ledger: Arc<MessageRegistry>,
    at: Vec<SocketAddr>,
    /// Whom the front takes to be alive.
    alive: Mutex<Vec<bool>>,
    kept: Vec<Mutex<Vec<HttpConnection>>>,
    /// Taken on, and not yet known to be over: a notice may send its client once more.
    taken: Mutex<HashMap<String, Errand>>,
    /// Errands under way.
    active: AtomicUsize,
    /// Messages that could be handed in to nobody.
    never: AtomicUsize,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

enum Heard {
    Taken,
    Refused(Option<Duration>),
    Failed,
    /// It may have been taken, or not: handed in again under a new id.
    Nothing,
    /// No connection came up: it was surely not taken.
    Unreached,
}

impl SimulatedClients {
    /// Clients of dispatchers at these addresses.
    pub fn new(
        scenario: Scenario, recorder: Recorder, ledger: Arc<MessageRegistry>, at: Vec<SocketAddr>,
    ) -> Arc<SimulatedClients> {
        let count = at.len();
        Arc::new(SimulatedClients {
            scenario,
            recorder,
            ledger,
            at,
            alive: Mutex::new(vec![true; count]),
            kept: (0..count).map(|_| Mutex::default()).collect(),
            taken: Mutex::default(),
            active: AtomicUsize::new(0),
            never: AtomicUsize::new(0),
        })
    }

    /// What the front thinks of a dispatcher from now on.
    pub fn set_alive(&self, dispatcher: usize, alive: bool) {
        lock(&self.alive)[dispatcher] = alive;
        if !alive {
            lock(&self.kept[dispatcher]).clear();
        }
    }

    /// Errands under way.
    pub fn active_submissions(&self) -> usize {
        self.active.load(Ordering::SeqCst)
    }

    /// Messages that never found a dispatcher that would listen.
    pub fn unreached_messages(&self) -> usize {
        self.never.load(Ordering::SeqCst)
    }

    /// Hands in all arrivals at their times, from `began` on.
    pub async fn submit_arrivals(self: Arc<SimulatedClients>, arrivals: Vec<Arrival>, began: Micros) {
        for arrival in arrivals {
            tokio::time::sleep_until(self.recorder.instant(began + arrival.at).into()).await;
            let mut rng = fastrand::Rng::with_seed(arrival.seed);
            let body = Arc::new((0..arrival.body_bytes).map(|_| rng.u8(..)).collect());
            let since = self.recorder.now();
            self.spawn(
                Errand { arrival, rng, hand_ins: 0, refusals: 0, reached: false, since, body },
                Duration::ZERO,
            );
        }
    }

    /// Hears what the platform was told: a message that is handed back may come again.
    pub async fn handle_notices(self: Arc<SimulatedClients>, mut notices: mpsc::UnboundedReceiver<Notice>) {
        while let Some(notice) = notices.recv().await {
            let Some(mut errand) = lock(&self.taken).remove(&notice.message) else { continue };
            errand.reached = true;
            if notice.outcome == Outcome::HandedBack && self.comes_again(&mut errand) {
                let wait = notice.retry_in_ms.map(Duration::from_millis);
                let wait = wait.unwrap_or_else(|| self.backoff(&mut errand));
                // With a key that may be forgotten by then nobody comes again.
                let class = &self.scenario.classes[errand.arrival.class];
                let then = self.recorder.now() + wait.as_micros() as Micros;
                if class.effect != Effect::Keyed || then < errand.since + (class.key_window_s * 1e6) as Micros
                {
                    self.spawn(errand, wait);
                }
            }
        }
    }

    fn spawn(self: &Arc<SimulatedClients>, errand: Errand, after: Duration) {
        self.active.fetch_add(1, Ordering::SeqCst);
        let crowd = self.clone();
        tokio::spawn(async move {
            sleep(after).await;
            crowd.run(errand).await;
            crowd.active.fetch_sub(1, Ordering::SeqCst);
        });
    }

    /// Whether a message that was turned away comes again: by habit, and once.
    fn comes_again(&self, errand: &mut Errand) -> bool {
        errand.refusals += 1;
        errand.refusals == 1 && errand.rng.f64() < self.scenario.clients.retry_probability
    }

    fn backoff(&self, errand: &mut Errand) -> Duration {
        let [least, most] = self.scenario.clients.backoff_ms;
        Duration::from_millis(errand.rng.u64(least..=most))
    }

    fn choose(&self, errand: &mut Errand) -> usize {
        let alive = lock(&self.alive);
        let up: Vec<usize> = (0..alive.len()).filter(|i| alive[*i]).collect();
        match up.len() {
            0 => errand.rng.usize(..alive.len()),
            count => up[errand.rng.usize(..count)],
        }
    }

    async fn run(self: &Arc<SimulatedClients>, mut errand: Errand) {
        let class = &self.scenario.classes[errand.arrival.class];
        let span = (class.deadline_s * 1e6) as Micros;
        while errand.hand_ins < HAND_INS_MOST {
            let deadline = errand.since + span;
            // What has hardly any time left is not worth a try.
            if self.recorder.now() + 50_000 > deadline {
                break;
            }
            let number = errand.hand_ins;
            errand.hand_ins += 1;
            let id = match number {
                0 => errand.arrival.id.clone(),
                n => format!("{}-{n}", errand.arrival.id),
            };
            let dispatcher = self.choose(&mut errand);
            // On the books first: its end may be known before its answer is read here.
            lock(&self.taken).insert(id.clone(), errand.clone());
            let heard = self.hand_in(&errand, &id, dispatcher, deadline).await;
            errand.reached |= !matches!(heard, Heard::Unreached);
            if !matches!(heard, Heard::Taken) {
                lock(&self.taken).remove(&id);
            }
            match heard {
                Heard::Taken | Heard::Failed => return,
                Heard::Refused(wait) => {
                    if !self.comes_again(&mut errand) {
                        return;
                    }
                    let wait = wait.unwrap_or_else(|| self.backoff(&mut errand));
                    sleep(wait).await;
                }
                Heard::Nothing if class.effect == Effect::Unsafe => return,
                Heard::Nothing | Heard::Unreached => {
                    let wait = self.backoff(&mut errand);
                    sleep(wait).await;
                }
            }
        }
        if !errand.reached {
            self.never.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// One hand-in under one id; once more on a new connection where the close of a kept one crossed it.
    async fn hand_in(&self, errand: &Errand, id: &str, dispatcher: usize, deadline: Micros) -> Heard {
        let arrival = &errand.arrival;
        let class = &self.scenario.classes[arrival.class];
        let dest = arrival.partner as u32 + 1;
        let window = (class.key_window_s * 1e6) as Micros;
        self.ledger.register(id, dest, deadline, class.effect, window);
        let patience = Duration::from_millis(self.scenario.clients.response_timeout_ms);
        let mut fresh = false;
        loop {
            let kept = if fresh { None } else { self.reuse(dispatcher) };
            fresh = kept.is_none();
            let mut wire = match kept {
                Some(wire) => wire,
                None => match HttpConnection::connect(self.at[dispatcher], patience).await {
                    Ok(wire) => wire,
                    Err(_) => return Heard::Unreached,
                },
            };
            let key = (class.effect == Effect::Keyed).then(|| format!("k{}", arrival.id));
            let left = deadline.saturating_sub(self.recorder.now()) / 1000;
            let mut head = format!(
                "POST /{name} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {id}\r\nRequest-Class: {name}\r\n\
                 Request-Timeout-Ms: {left}\r\nContent-Length: {length}\r\nX-Consignee: dest={dest}\r\n",
                name = class.name,
                length = errand.body.len(),
            );
            if let Some(key) = &key {
                head.push_str(&format!("Idempotency-Key: {key}\r\n"));
            }
            if let Some(customer) = &self.scenario.partners[arrival.partner].tenant {
                head.push_str(&format!("Tenant: {customer}\r\n"));
            }
            if errand.hand_ins > 1 {
                head.push_str("Client-Retry: 1\r\n");
            }
            head.push_str("\r\n");
            let mut bytes = head.into_bytes();
            bytes.extend_from_slice(&errand.body);
            if wire.write(&bytes).await.is_err() {
                // Its last byte was never written: nothing was asked.
                match fresh {
                    true => return Heard::Nothing,
                    false => {
                        fresh = true;
                        continue;
                    }
                }
            }
            self.recorder.add(Event::Submitted {
                id: id.into(),
                origin: arrival.id.clone(),
                class: class.name.clone(),
                destination: dest,
                key,
                order: None,
                body_digest: digest(&errand.body),
                deadline,
                dispatcher,
                new_connection: fresh,
            });
            let answer = match timeout(patience, wire.read_response()).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(_)) => {
                    self.recorder.add(Event::ConnectionLost { id: id.into() });
                    if !fresh {
                        fresh = true;
                        continue;
                    }
                    return Heard::Nothing;
                }
                Err(_) => {
                    self.recorder.add(Event::ClientTimedOut { id: id.into() });
                    return Heard::Nothing;
                }
            };
            self.recorder.add(Event::Answered { id: id.into(), status: answer.status() });
            if !answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
                let mut kept = lock(&self.kept[dispatcher]);
                if kept.len() < self.scenario.clients.max_connections {
                    kept.push(wire);
                }
            }
            return match answer.status() {
                200 | 202 => Heard::Taken,
                429 | 503 => {
                    let wait = answer.header("retry-after").and_then(|seconds| seconds.parse::<f64>().ok());
                    let wait = wait.filter(|seconds| (0.0..60.0).contains(seconds));
                    Heard::Refused(wait.map(Duration::from_secs_f64))
                }
                _ => Heard::Failed,
            };
        }
    }

    fn reuse(&self, dispatcher: usize) -> Option<HttpConnection> {
        let mut kept = lock(&self.kept[dispatcher]);
        loop {
            let mut wire = kept.pop()?;
            if !wire.is_stale() {
                return Some(wire);
            }
        }
    }
}
