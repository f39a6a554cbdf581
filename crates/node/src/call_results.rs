//! What a response to a call means for each of its messages, without I/O.
//!
//! On a connection that carried requests before, a response may be a copy of an earlier one. What follows from it has to be right
//! in both cases: `docs/design/connections.md` has the table.

use crate::calls::CallMessage;
use fawnspoke_pairing::ResponseProof;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use waydoor::Outcome;

/// What a message is owed once a call of it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resolution {
    /// Another call or a notice, as the decision core decides.
    Open,
    /// Nothing.
    Settled,
    /// Nothing if the response is its own, which is still to be proven. No call may follow.
    UnprovenDelivery,
    /// Nothing if the response is its own, and an end if it is not: a notice, which does no harm to a message that is over. No call
    /// may follow.
    EndByNotice,
}

/// How a call ended for one of its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(from = "MessageEndFrame", into = "MessageEndFrame")]
pub struct MessageEnd {
    /// The message's number in the journal.
    pub number: u64,
    /// The number of the attempt, from 0.
    pub attempt: u32,
    pub outcome: Outcome,
    pub resolution: Resolution,
    /// The response may belong to an earlier request on its connection: the message may have run, whatever the outcome
    /// says.
    pub unproven: bool,
}

impl MessageEnd {
    /// The end of a message that needs another call or a notice.
    pub fn open(number: u64, attempt: u32, outcome: Outcome) -> MessageEnd {
        MessageEnd { number, attempt, outcome, resolution: Resolution::Open, unproven: false }
    }

    /// Whether the message may have run.
    pub fn may_have_run(&self) -> bool {
        self.unproven || !self.outcome.never_ran()
    }
}

/// A [`MessageEnd`] as it is sent to the process that takes over. Earlier versions of the program read and write the same.
#[derive(Deserialize, Serialize)]
struct MessageEndFrame {
    number: u64,
    attempt: u32,
    outcome: Outcome,
    settled: bool,
}

impl From<MessageEnd> for MessageEndFrame {
    fn from(end: MessageEnd) -> MessageEndFrame {
        let MessageEnd { number, attempt, outcome, resolution, unproven } = end;
        let (outcome, settled) = match resolution {
            Resolution::Settled => (outcome, true),
            // Read as a delivery whose connection was not taken over: ended by a notice, and not called again.
            Resolution::UnprovenDelivery | Resolution::EndByNotice => (Outcome::Served, false),
            // Earlier versions don't know this outcome, and would call again.
            Resolution::Open if outcome == Outcome::AttemptsExhausted => (Outcome::Served, false),
            // The outcome alone tells that the message may have run.
            Resolution::Open if unproven && outcome.never_ran() => (Outcome::MalformedResponse, false),
            Resolution::Open => (outcome, false),
        };
        MessageEndFrame { number, attempt, outcome, settled }
    }
}

impl From<MessageEndFrame> for MessageEnd {
    fn from(frame: MessageEndFrame) -> MessageEnd {
        let MessageEndFrame { number, attempt, outcome, settled } = frame;
        let resolution = match (settled, outcome) {
            (true, _) => Resolution::Settled,
            (false, Outcome::Served) => Resolution::UnprovenDelivery,
            (false, _) => Resolution::Open,
        };
        MessageEnd { number, attempt, outcome, resolution, unproven: false }
    }
}

/// A response to a call, as far as it was read.
pub struct CallResponse<'a> {
    pub status: StatusCode,
    /// The response says that all call slots of this dispatcher were taken.
    pub is_line_busy: bool,
    /// None if the response is incomplete, too long or malformed.
    pub body: Option<&'a [u8]>,
    pub proof: ResponseProof,
}

/// What a response means for the messages of its call.
pub struct CallResult {
    /// The last one represents the whole call.
    pub message_ends: Vec<MessageEnd>,
    /// The response names other messages than those of the call.
    pub is_foreign: bool,
}

impl CallResponse<'_> {
    /// What the response means for each message of the call.
    pub fn interpret(&self, messages: &[CallMessage]) -> CallResult {
        if let (StatusCode::OK, true, Some(body)) = (self.status, messages.len() > 1, self.body) {
            return parse_batch_response(messages, body);
        }
        let (outcome, resolution) = self.meaning_for_all(messages.len() == 1);
        let unproven = self.proof == ResponseProof::MayHaveRun;
        let end = |message: &CallMessage| MessageEnd {
            resolution,
            unproven,
            ..MessageEnd::open(message.number, message.attempt, outcome)
        };
        CallResult { message_ends: messages.iter().map(end).collect(), is_foreign: false }
    }

    /// What a response means that says the same of all messages.
    fn meaning_for_all(&self, is_single: bool) -> (Outcome, Resolution) {
        let is_own = self.proof == ResponseProof::Own;
        let delivery = if is_own { Resolution::Settled } else { Resolution::UnprovenDelivery };
        match self.status {
            // The status line alone counts, and only for a single message: for a batch it says nothing about its messages.
            StatusCode::OK if is_single => (Outcome::Served, delivery),
            _ if self.body.is_none() => (Outcome::MalformedResponse, Resolution::Open),
            StatusCode::GONE if is_own => (Outcome::NotSent, Resolution::Settled),
            StatusCode::GONE => (Outcome::NotSent, Resolution::EndByNotice),
            StatusCode::SERVICE_UNAVAILABLE if self.is_line_busy => (Outcome::NotSent, Resolution::Open),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                (Outcome::Overloaded, Resolution::Open)
            }
            StatusCode::GATEWAY_TIMEOUT => (Outcome::AttemptsExhausted, Resolution::Open),
            StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => {
                (Outcome::InvalidRequest, Resolution::Open)
            }
            _ => (Outcome::Error, Resolution::Open),
        }
    }
}

/// Parses the body of a batch response. A message that it does not name may have run.
fn parse_batch_response(messages: &[CallMessage], body: &[u8]) -> CallResult {
    let text = String::from_utf8_lossy(body);
    let results: HashMap<&str, &str> = text.lines().filter_map(|line| line.trim().split_once(' ')).collect();
    let is_foreign = !messages.iter().all(|message| results.contains_key(&*message.content.id));
    let end = |message: &CallMessage| {
        let result = results.get(&*message.content.id).map(|result| result.trim());
        let (outcome, resolution) = meaning_of_batch_result(result);
        MessageEnd { resolution, ..MessageEnd::open(message.number, message.attempt, outcome) }
    };
    let mut message_ends: Vec<MessageEnd> = messages.iter().map(end).collect();
    // The last end represents the whole call: "not sent" is the least informative outcome, a rejection the most.
    message_ends.sort_by_key(|end| match end.outcome {
        Outcome::NotSent | Outcome::AttemptsExhausted => 0,
        Outcome::Served => 1,
        Outcome::Overloaded => 3,
        _ => 2,
    });
    CallResult { message_ends, is_foreign }
}

/// What a batch response says of one message; `None`: it does not name the message.
fn meaning_of_batch_result(result: Option<&str>) -> (Outcome, Resolution) {
    match result {
        Some("delivered") => (Outcome::Served, Resolution::Settled),
        Some("failed") => (Outcome::Error, Resolution::Open),
        Some("refused") => (Outcome::Overloaded, Resolution::Open),
        Some("over") => (Outcome::NotSent, Resolution::Settled),
        Some("spent") => (Outcome::AttemptsExhausted, Resolution::Open),
        _ => (Outcome::ConnectionReset, Resolution::Open),
    }
}
