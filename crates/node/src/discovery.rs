//! The platform: the list of endpoints comes from it, notices go to it.

use crate::calls::{self, Connection};
use crate::{Node, control, log};
use fawnspoke_journal::Notice;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use waydoor::{DiscoveryMode, Event};

/// A watch that is silent for two heartbeats and more is broken, though its connection may look well.
const SILENCE: Duration = Duration::from_millis(4500);
/// An agent on this machine answers at once or is down, and so does the platform when a notice comes.
const ANSWER: Duration = Duration::from_secs(1);
/// The first notice that is not answered by then goes again, on another connection: the one that is kept may have died
/// unseen, and a notice is overdue 0.3 s after its message's time. Each failure doubles it up to `ANSWER`. Once more does
/// no harm.
const NOTICE_ANSWER: Duration = Duration::from_millis(200);
const BACKOFF: Duration = Duration::from_millis(100);
const BACKOFF_MOST: Duration = Duration::from_secs(1);
/// A longer value is no list.
const VALUE_MOST: usize = 4 << 20;
/// A value that is shorter is read anew with each piece of it that comes.
const REREAD_MOST: usize = 64 << 10;
/// Before notices that wait for their records are looked at again.
const UNRECORDED_PAUSE: Duration = Duration::from_millis(20);
/// Notices in one request.
const NOTICES: usize = 64;

/// Takes a list in discovery's form.
///
/// # Errors
/// Where it can't be read as one: the list stays as it was.
pub fn list(node: &Node, value: &[u8]) -> Result<(), Failure> {
    match serde_json::from_slice(value) {
        Ok(list) => {
            let (kinds, zones) = (&node.config.kinds, &node.config.zones);
            let held = |host: &str| node.overrides.holds(host);
            let (event, left) = node.directory.borrow_mut().enrol(list, kinds, zones, &held);
            // Nothing goes there any more, and somebody else may come to the address.
            left.into_iter().for_each(|endpoint| node.pool.close_idle(endpoint));
            node.send_event(event);
            node.fleet.list_came(node.directory.borrow().seq());
            control::restarted(node);
        }
        Err(error) => return Err(format!("no list: {error}").into()),
    }
    Ok(())
}

/// Watches the list for as long as the process runs. Where all dispatchers ask one discovery, it is the decisions
/// that say when to ask: nothing here begins by itself.
pub async fn watch(node: Rc<Node>) {
    node.serving_state.run_while_serving(|| watching(node.clone())).await;
}

async fn watching(node: Rc<Node>) {
    let mut moved = node.discovery_address.subscribe();
    let mut backoff = BACKOFF;
    let asked = asked(&node);
    if asked {
        node.resubscribe.notified().await;
    }
    loop {
        let (at, seq) = (*moved.borrow_and_update(), node.directory.borrow().seq());
        let began = Instant::now();
        tokio::select! {
            heard = follow(&node, at, seq) => {
                log::info_limited(format_args!("discovery: watch ended: {}", heard.unwrap_or_else(|error| error.to_string())));
                node.send_event(Event::ListFailed);
                node.fleet.list_failed();
            }
            () = node.resubscribe.notified() => {
                if asked {
                    continue;
                }
            }
            // The sender lives as long as the node.
            _ = moved.changed() => {
                backoff = BACKOFF;
                continue;
            }
        }
        if asked {
            // A new address is not known to be short of time.
            tokio::select! {
                () = node.resubscribe.notified() => {}
                _ = moved.changed() => {}
            }
            continue;
        }
        // A watch that brought something or lasted was a good one: after its end there is no time to lose.
        let good = node.directory.borrow().seq() != seq || began.elapsed() >= SILENCE;
        backoff = if good { BACKOFF } else { (backoff * 2).min(BACKOFF_MOST) };
        // A new address is tried at once, and so is the known one where another dispatcher has heard it answer.
        let pause = node.fleet.slowly().map_or(backoff, |slow| slow.max(backoff));
        tokio::select! {
            _ = timeout(pause, moved.wait_for(|now| *now != at)) => {}
            () = node.resubscribe.notified() => {}
        }
    }
}

/// Whether the list must be asked for, at one discovery for all dispatchers.
fn asked(node: &Node) -> bool {
    node.config.settings.discovery_mode != DiscoveryMode::Pushed
}

/// What ends a watch, or a request.
pub type Failure = Box<dyn std::error::Error>;

/// One watch, from the connection to its end.
async fn follow(node: &Node, at: SocketAddr, seq: u64) -> Result<String, Failure> {
    let mut link = timeout(ANSWER, calls::connect(at)).await??;
    let request = Request::get(format!("/registry/instances?stream=1&index={seq}"))
        .header("Host", at.to_string())
        .body(Full::default())?;
    // Where many ask, calls wait in line: one that is given up early is served for nothing, and made again.
    let patience = if asked(node) { SILENCE } else { ANSWER };
    let answer = timeout(patience, link.sender.send_request(request)).await??;
    if answer.status() != StatusCode::OK {
        return Ok(format!("answered {}", answer.status()));
    }
    let mut body = answer.into_body();
    let mut stream = Values::default();
    loop {
        // A value that has begun comes at once; between two of them the heartbeats count.
        let until = stream.whole_by.unwrap_or_else(|| Instant::now() + SILENCE);
        let Ok(frame) = timeout_at(until, body.frame()).await else { return Ok("silent".into()) };
        let Some(frame) = frame else { return Ok("closed".into()) };
        let Ok(data) = frame?.into_data() else { continue };
        if !stream.add(&data, |value| list(node, value))? {
            node.send_event(Event::ListKeepAlive);
            node.fleet.list_alive(node.directory.borrow().seq());
        }
    }
}

/// Whether a value may only lack what has not come yet. A number that ends behind its point is told as a wrong one, at
/// the very end of what is there.
fn is_cut_short(read: &[u8], error: &serde_json::Error) -> bool {
    let last_line = read.rsplit(|byte| *byte == b'\n').next().map_or(0, <[u8]>::len);
    let lines = read.split(|byte| *byte == b'\n').count();
    error.is_eof() || (error.line(), error.column()) == (lines, last_line)
}

/// A stream of JSON values, one after the other, with any white space between and in them.
#[derive(Default)]
struct Values {
    read: Vec<u8>,
    /// How much of it was looked at when its value was found not to be whole.
    tried: usize,
    /// A value that has begun is whole by then, or the stream has broken off.
    whole_by: Option<Instant>,
}

impl Values {
    /// Takes what has come and gives each value that is whole; whether anything but white space came.
    fn add(
        &mut self, data: &[u8], mut take: impl FnMut(&[u8]) -> Result<(), Failure>,
    ) -> Result<bool, Failure> {
        self.read.extend_from_slice(data);
        let some = !self.read.trim_ascii_start().is_empty();
        // A long value that comes in many pieces is not read anew for each of them.
        let ends = self.read.trim_ascii_end().ends_with(b"}");
        if self.tried > REREAD_MOST && !ends && self.read.len() < 2 * self.tried {
            return self.bounded(some);
        }
        let mut values = serde_json::Deserializer::from_slice(&self.read).into_iter::<&RawValue>();
        let mut whole = 0;
        loop {
            match values.next() {
                Some(Ok(value)) => take(value.get().as_bytes())?,
                Some(Err(error)) if is_cut_short(&self.read, &error) => break,
                Some(Err(error)) => return Err(error.into()),
                None => {
                    whole = self.read.len();
                    break;
                }
            }
            whole = values.byte_offset();
        }
        self.read.drain(..whole);
        if whole > 0 || self.read.trim_ascii_start().is_empty() {
            self.whole_by = None;
        }
        self.tried = self.read.len();
        self.bounded(some)
    }

    fn bounded(&mut self, some: bool) -> Result<bool, Failure> {
        if self.read.len() > VALUE_MOST {
            return Err("a value without an end".into());
        }
        match self.read.trim_ascii_start().is_empty() {
            true => self.read.clear(),
            false => self.whole_by = self.whole_by.or_else(|| Some(Instant::now() + ANSWER)),
        }
        Ok(some)
    }
}

/// Brings notices to the platform until it has heard each.
pub async fn notices(node: Rc<Node>) {
    node.serving_state.run_while_serving(|| bring(node.clone())).await;
}

async fn bring(node: Rc<Node>) {
    let mut moved = node.discovery_address.subscribe();
    let mut link = None;
    let mut backoff = BACKOFF;
    let mut at_once = NOTICES;
    let mut patience = NOTICE_ANSWER;
    loop {
        let owed = node.journal.borrow().due_notices(node.unix_now(), at_once);
        if owed.is_empty() {
            // One that is not on record yet may go out a little later: a kill would forget it.
            let waits = !node.journal.borrow().pending_notices(1).is_empty();
            if waits {
                sleep(UNRECORDED_PAUSE).await;
            } else {
                node.notice_due.notified().await;
            }
            continue;
        }
        let at = *moved.borrow_and_update();
        let kept = link.is_some();
        let answered = tokio::select! {
            answered = post(at, &mut link, &owed, patience) => answered,
            // What the old address has heard already does no harm at the new one.
            _ = moved.changed() => {
                (link, backoff, patience) = (None, BACKOFF, NOTICE_ANSWER);
                continue;
            }
        };
        match answered {
            Ok(StatusCode::NO_CONTENT) => {
                (backoff, at_once, patience) = (BACKOFF, NOTICES, NOTICE_ANSWER);
                for (number, ..) in owed {
                    node.observe_journal_write(node.journal.borrow_mut().close(number));
                }
                continue;
            }
            // One that cannot be read must not keep the others from being heard.
            Ok(StatusCode::BAD_REQUEST) if owed.len() > 1 => {
                at_once = 1;
                continue;
            }
            Ok(StatusCode::BAD_REQUEST) => {
                log::info_limited(format_args!(
                    "notice for {}: the platform cannot read it; left out",
                    owed[0].1
                ));
                node.observe_journal_write(node.journal.borrow_mut().close(owed[0].0));
                continue;
            }
            Ok(status) => log::info_limited(format_args!("notices: answered {status}")),
            Err(error) => {
                log::info_limited(format_args!("notices: {error}"));
                patience = (patience * 2).min(ANSWER);
                // A new connection may do at once what the kept one did not.
                if kept {
                    link = None;
                    continue;
                }
            }
        }
        link = None;
        let _ = timeout(backoff, moved.wait_for(|now| *now != at)).await;
        backoff = (backoff * 2).min(BACKOFF_MOST);
    }
}

/// One request with notices, over the connection that is kept from the last one where it is to the same
/// address.
async fn post(
    at: SocketAddr, kept: &mut Option<(SocketAddr, Connection)>, owed: &[(u64, String, Notice)],
    patience: Duration,
) -> Result<StatusCode, Failure> {
    let mut lines = Vec::new();
    for (_, id, notice) in owed {
        let line = match notice {
            Notice::GivenUp => serde_json::json!({"message": id, "outcome": "given_up"}),
            Notice::HandedBack { retry_in_ms } => {
                serde_json::json!({"message": id, "outcome": "handed_back", "retry_in_ms": retry_in_ms})
            }
        };
        serde_json::to_writer(&mut lines, &line)?;
        lines.push(b'\n');
    }
    let until = Instant::now() + patience;
    let mut link = match kept.take() {
        Some((to, link)) if to == at && link.is_reusable() => link,
        _ => timeout_at(until, calls::connect(at)).await??,
    };
    let request = Request::builder()
        .method(Method::POST)
        .uri("/status")
        .header("Host", at.to_string())
        .body(Full::new(Bytes::from(lines)))?;
    timeout_at(until, link.sender.ready()).await??;
    let answer = timeout_at(until, link.sender.send_request(request)).await??;
    let status = answer.status();
    timeout_at(until, answer.into_body().collect()).await??;
    *kept = Some((at, link));
    Ok(status)
}
