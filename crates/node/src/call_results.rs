//! What a response to a call means for each of its messages, without I/O.
//!
//! On a connection that carried requests before, a response may be a copy of an earlier one. What follows from it has to be right
//! in both cases: `docs/design/connections.md` has the table.

use crate::call::CallMessage;
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

    /// Ends the message by a notice if it may have run and is open: a response arrived that ends it if it is its own.
    pub fn close_if_uncertain(&mut self) {
        // The decision core ends one that has used up its attempts, as it may be handed back.
        let may_be_called = self.resolution == Resolution::Open && self.outcome != Outcome::AttemptsExhausted;
        if may_be_called && self.may_have_run() {
            self.resolution = Resolution::EndByNotice;
        }
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

/// The body of a response, as far as it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseBody<T> {
    Whole(T),
    /// The response is incomplete, too long or malformed.
    Partial(T),
}

impl<T> ResponseBody<T> {
    pub fn is_whole(&self) -> bool {
        matches!(self, ResponseBody::Whole(_))
    }

    pub fn as_deref(&self) -> ResponseBody<&[u8]>
    where
        T: AsRef<[u8]>,
    {
        match self {
            ResponseBody::Whole(bytes) => ResponseBody::Whole(bytes.as_ref()),
            ResponseBody::Partial(bytes) => ResponseBody::Partial(bytes.as_ref()),
        }
    }
}

/// A response to a call, as far as it was read.
pub struct CallResponse<'a> {
    pub status: StatusCode,
    /// The response says that all call slots of this dispatcher were taken.
    pub is_line_busy: bool,
    pub body: ResponseBody<&'a [u8]>,
    pub proof: ResponseProof,
}

/// What a response means for the messages of its call.
pub struct CallResult {
    /// The last one represents the whole call.
    pub message_ends: Vec<MessageEnd>,
    /// The response may be to another call with some of its messages, so the call may still be open.
    pub is_ambiguous: bool,
}

impl CallResponse<'_> {
    /// What the response means for each message of the call.
    pub fn interpret(&self, messages: &[CallMessage]) -> CallResult {
        if self.status == StatusCode::OK && messages.len() > 1 {
            return self.interpret_batch(messages);
        }
        let (outcome, resolution) = self.meaning_for_all(messages.len() == 1);
        let unproven = self.proof == ResponseProof::MayHaveRun || !self.body.is_whole();
        let end = |message: &CallMessage| MessageEnd {
            resolution,
            unproven,
            ..MessageEnd::open(message.number, message.attempt, outcome)
        };
        CallResult { message_ends: messages.iter().map(end).collect(), is_ambiguous: false }
    }

    /// What a response means that says the same of all messages.
    fn meaning_for_all(&self, is_single: bool) -> (Outcome, Resolution) {
        let is_own = self.proof == ResponseProof::Own;
        let delivery = if is_own { Resolution::Settled } else { Resolution::UnprovenDelivery };
        match self.status {
            // The status line alone counts, and only for a single message: for a batch it says nothing about its messages.
            StatusCode::OK if is_single => (Outcome::Served, delivery),
            StatusCode::GONE if is_own && self.body.is_whole() => (Outcome::NotSent, Resolution::Settled),
            StatusCode::GONE => (Outcome::NotSent, Resolution::EndByNotice),
            StatusCode::GATEWAY_TIMEOUT => (Outcome::AttemptsExhausted, Resolution::Open),
            _ if !self.body.is_whole() => (Outcome::MalformedResponse, Resolution::Open),
            StatusCode::SERVICE_UNAVAILABLE if self.is_line_busy => (Outcome::NotSent, Resolution::Open),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                (Outcome::Overloaded, Resolution::Open)
            }
            StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => {
                (Outcome::InvalidRequest, Resolution::Open)
            }
            _ => (Outcome::Error, Resolution::Open),
        }
    }

    /// What a batch response means for each message of the call.
    fn interpret_batch(&self, messages: &[CallMessage]) -> CallResult {
        let (ResponseBody::Whole(body) | ResponseBody::Partial(body)) = self.body;
        let body = BatchBody::parse(body, self.body.is_whole());
        let is_complete = self.body.is_whole() && body.names_only_valid_results && body.names_all(messages);
        let is_first = self.proof == ResponseProof::Own;
        let mut is_ambiguous = self.body.is_whole() && !is_complete;
        let mut message_ends: Vec<MessageEnd> = Vec::new();
        for message in messages {
            let result = body.results.get(&*message.content.id).copied();
            let mut end = MessageEnd::open(message.number, message.attempt, Outcome::MalformedResponse);
            (end.outcome, end.resolution) = match is_complete {
                true => result.map_or((Outcome::ConnectionReset, Resolution::Open), BatchResult::meaning),
                false => BatchResult::meaning_in_incomplete(result, self.body.is_whole()),
            };
            // It may be a copy of the response to an earlier attempt of the message on the same connection.
            let may_be_earlier = !is_first && message.attempt > 0 && end.resolution == Resolution::Open;
            end.unproven = !is_complete || may_be_earlier;
            is_ambiguous |= may_be_earlier && self.body.is_whole();
            message_ends.push(end);
        }
        // The last end represents the whole call: "not sent" is the least informative outcome, a rejection the most.
        message_ends.sort_by_key(|end| match end.outcome {
            Outcome::NotSent | Outcome::AttemptsExhausted => 0,
            Outcome::Served => 1,
            Outcome::Overloaded => 3,
            _ => 2,
        });
        CallResult { message_ends, is_ambiguous }
    }
}

/// What a batch response says of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchResult {
    Delivered,
    Failed,
    Refused,
    Over,
    Spent,
}

impl BatchResult {
    fn parse(word: &str) -> Option<BatchResult> {
        match word.trim() {
            "delivered" => Some(BatchResult::Delivered),
            "failed" => Some(BatchResult::Failed),
            "refused" => Some(BatchResult::Refused),
            "over" => Some(BatchResult::Over),
            "spent" => Some(BatchResult::Spent),
            _ => None,
        }
    }

    /// What it means in a whole response that names all messages of the call.
    fn meaning(self) -> (Outcome, Resolution) {
        match self {
            BatchResult::Delivered => (Outcome::Served, Resolution::Settled),
            BatchResult::Failed => (Outcome::Error, Resolution::Open),
            BatchResult::Refused => (Outcome::Overloaded, Resolution::Open),
            BatchResult::Over => (Outcome::NotSent, Resolution::Settled),
            BatchResult::Spent => (Outcome::AttemptsExhausted, Resolution::Open),
        }
    }

    /// What it means in any other response: a message that is over gets no further call. A delivery counts only with the whole
    /// response; in one that is whole and can't be understood it may be meant.
    fn meaning_in_incomplete(result: Option<BatchResult>, is_whole: bool) -> (Outcome, Resolution) {
        match result {
            Some(BatchResult::Over) => (Outcome::NotSent, Resolution::EndByNotice),
            Some(BatchResult::Spent) => (Outcome::AttemptsExhausted, Resolution::Open),
            Some(BatchResult::Delivered) if is_whole => (Outcome::Served, Resolution::EndByNotice),
            Some(BatchResult::Refused) if is_whole => (Outcome::Overloaded, Resolution::Open),
            Some(BatchResult::Failed) if is_whole => (Outcome::Error, Resolution::Open),
            None if is_whole => (Outcome::ConnectionReset, Resolution::Open),
            _ => (Outcome::MalformedResponse, Resolution::Open),
        }
    }
}

/// The body of a batch response.
struct BatchBody<'a> {
    results: HashMap<&'a str, BatchResult>,
    /// Each line has an id and a result.
    names_only_valid_results: bool,
}

impl BatchBody<'_> {
    /// Parses the lines of a body; where it is not whole, only those that have ended.
    fn parse(body: &[u8], is_whole: bool) -> BatchBody<'_> {
        let end = match is_whole {
            true => body.len(),
            false => body.iter().rposition(|byte| *byte == b'\n').map_or(0, |position| position + 1),
        };
        let (mut results, mut names_only_valid_results) = (HashMap::new(), true);
        for line in body[..end].split(|byte| *byte == b'\n').map(<[u8]>::trim_ascii) {
            let parsed = std::str::from_utf8(line).ok().and_then(|line| {
                let (id, word) = line.split_once(' ')?;
                Some((id, BatchResult::parse(word)?))
            });
            match parsed {
                Some((id, result)) => drop(results.insert(id, result)),
                None => names_only_valid_results &= line.is_empty(),
            }
        }
        BatchBody { results, names_only_valid_results }
    }

    fn names_all(&self, messages: &[CallMessage]) -> bool {
        messages.iter().all(|message| self.results.contains_key(&*message.content.id))
    }
}

#[cfg(test)]
mod tests;
