//! Serializable forms of the Raft library's messages and records. What arrives on a connection or is read from a file
//! is decoded into these types, checked, and then converted to the library's types; the library's own decoder never
//! sees untrusted bytes.

use crate::MemberId;
use raft::prelude::{
    ConfState as LibConfState, Entry as LibEntry, EntryType, HardState as LibHardState,
    Message as LibMessage, MessageType, Snapshot as LibSnapshot,
};
use serde::{Deserialize, Serialize};

/// Maximum number of entries in one message. The library's limit in bytes keeps what is sent below it.
pub const MAX_ENTRIES_PER_MESSAGE: usize = 4096;

/// Upper bound for terms and indexes: at a thousand a second it is reached in about ten thousand years.
const MAX_TERM_OR_INDEX: u64 = 1 << 48;

/// The message types that are accepted from another member.
const ACCEPTED_TYPES: [MessageType; 12] = [
    MessageType::MsgAppend,
    MessageType::MsgAppendResponse,
    MessageType::MsgRequestVote,
    MessageType::MsgRequestVoteResponse,
    MessageType::MsgSnapshot,
    MessageType::MsgHeartbeat,
    MessageType::MsgHeartbeatResponse,
    MessageType::MsgTransferLeader,
    MessageType::MsgTimeoutNow,
    MessageType::MsgRequestPreVote,
    MessageType::MsgRequestPreVoteResponse,
    MessageType::MsgUnreachable,
];

/// Why a message can't be converted to the library's form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConversionError {
    /// A message type that is not accepted from other members.
    #[error("message type {0} is not accepted from a member")]
    Type(u8),
    /// More entries than any member sends.
    #[error("{0} entries in a message")]
    TooManyEntries(usize),
    /// A term or an index over the upper bound. The library does arithmetic on them, which could overflow.
    #[error("a term or an index is out of range")]
    Range,
    /// Entries whose indexes are not consecutive.
    #[error("entries out of order")]
    Order,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which it was proposed.
    pub term: u64,
    /// Its index in the log.
    pub index: u64,
    /// For a membership change: the library's encoding of it, which only the library reads.
    pub change: Option<Vec<u8>>,
    /// Its content.
    pub data: Vec<u8>,
}

/// The Raft state that a voter must not lose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term.
    pub term: u64,
    /// The candidate that it voted for in that term; 0 for none.
    pub vote: MemberId,
    /// The commit index.
    pub commit: u64,
}

/// The voters and learners as the library knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfState {
    /// The voters.
    pub voters: Vec<MemberId>,
    /// The learners.
    pub learners: Vec<MemberId>,
}

/// The state at one index of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index.
    pub index: u64,
    /// The term of the entry at that index.
    pub term: u64,
    /// The voters and learners.
    pub conf_state: ConfState,
    /// The serialized state.
    pub data: Vec<u8>,
}

/// A Raft message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    kind: u8,
    /// The receiver.
    pub to: MemberId,
    /// The sender.
    pub from: MemberId,
    /// The sender's term.
    pub term: u64,
    log_term: u64,
    /// The log index that it refers to.
    pub index: u64,
    entries: Vec<Entry>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<Snapshot>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

impl Entry {
    /// Converts from the library's form.
    pub fn from_lib(entry: &LibEntry) -> Entry {
        let changes_members = entry.get_entry_type() != EntryType::EntryNormal;
        let (data, change) = match changes_members {
            true => (entry.context.to_vec(), Some(entry.data.to_vec())),
            false => (entry.data.to_vec(), None),
        };
        Entry { term: entry.term, index: entry.index, change, data }
    }

    /// Converts to the library's form.
    pub fn to_lib(&self) -> LibEntry {
        let mut entry = LibEntry { term: self.term, index: self.index, ..LibEntry::default() };
        match &self.change {
            Some(change) => {
                entry.set_entry_type(EntryType::EntryConfChange);
                (entry.data, entry.context) = (change.clone().into(), self.data.clone().into());
            }
            None => entry.data = self.data.clone().into(),
        }
        entry
    }
}

impl HardState {
    /// Converts from the library's form.
    pub fn from_lib(state: &LibHardState) -> HardState {
        HardState { term: state.term, vote: state.vote, commit: state.commit }
    }

    /// Converts to the library's form.
    pub fn to_lib(&self) -> LibHardState {
        LibHardState { term: self.term, vote: self.vote, commit: self.commit, ..LibHardState::default() }
    }
}

impl ConfState {
    /// Converts from the library's form.
    pub fn from_lib(state: &LibConfState) -> ConfState {
        ConfState { voters: state.voters.clone(), learners: state.learners.clone() }
    }

    /// Converts to the library's form.
    pub fn to_lib(&self) -> LibConfState {
        LibConfState {
            voters: self.voters.clone(),
            learners: self.learners.clone(),
            ..LibConfState::default()
        }
    }
}

impl Snapshot {
    /// Converts from the library's form.
    pub fn from_lib(snapshot: &LibSnapshot) -> Snapshot {
        let metadata = snapshot.get_metadata();
        let conf_state = ConfState::from_lib(metadata.get_conf_state());
        Snapshot { index: metadata.index, term: metadata.term, conf_state, data: snapshot.data.to_vec() }
    }

    /// Converts to the library's form.
    pub fn to_lib(&self) -> LibSnapshot {
        let mut snapshot = LibSnapshot { data: self.data.clone().into(), ..LibSnapshot::default() };
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (self.index, self.term);
        metadata.set_conf_state(self.conf_state.to_lib());
        snapshot
    }
}

impl Message {
    /// Converts from the library's form.
    pub fn from_lib(message: &LibMessage) -> Message {
        Message {
            kind: message.get_msg_type() as u8,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(Entry::from_lib).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: message.snapshot.as_ref().map(Snapshot::from_lib),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        }
    }

    /// Converts to the library's form.
    ///
    /// # Errors
    /// If no member that follows the protocol sends such a message.
    pub fn to_lib(&self) -> Result<LibMessage, ConversionError> {
        let message_type = ACCEPTED_TYPES
            .into_iter()
            .find(|accepted| *accepted as u8 == self.kind)
            .ok_or(ConversionError::Type(self.kind))?;
        if self.entries.len() > MAX_ENTRIES_PER_MESSAGE {
            return Err(ConversionError::TooManyEntries(self.entries.len()));
        }
        let entries = self.entries.iter().flat_map(|entry| [entry.term, entry.index]);
        let snapshot = self.snapshot.iter().flat_map(|snapshot| [snapshot.term, snapshot.index]);
        let own = [self.term, self.log_term, self.index, self.commit, self.commit_term];
        if own.into_iter().chain(entries).chain(snapshot).any(|value| value > MAX_TERM_OR_INDEX) {
            return Err(ConversionError::Range);
        }
        let consecutive = |pair: &[Entry]| Some(pair[1].index) == pair[0].index.checked_add(1);
        let starts_after_index =
            self.entries.first().is_none_or(|first| Some(first.index) == self.index.checked_add(1));
        if !starts_after_index || !self.entries.windows(2).all(consecutive) {
            return Err(ConversionError::Order);
        }
        let mut message = LibMessage::default();
        message.set_msg_type(message_type);
        (message.to, message.from, message.term) = (self.to, self.from, self.term);
        (message.log_term, message.index) = (self.log_term, self.index);
        message.entries = self.entries.iter().map(Entry::to_lib).collect::<Vec<_>>().into();
        (message.commit, message.commit_term) = (self.commit, self.commit_term);
        if let Some(snapshot) = &self.snapshot {
            message.set_snapshot(snapshot.to_lib());
        }
        message.request_snapshot = self.request_snapshot;
        (message.reject, message.reject_hint) = (self.reject, self.reject_hint);
        (message.context, message.priority) = (self.context.clone().into(), self.priority);
        Ok(message)
    }

    /// What the sender acknowledges to have persisted, if the message acknowledges anything: its term, whether it has
    /// voted, and an index up to which its log matches the leader's.
    pub fn acknowledges(&self) -> Option<(u64, bool, u64)> {
        if self.reject {
            return None;
        }
        let is = |kind: MessageType| self.kind == kind as u8;
        match self.kind {
            _ if is(MessageType::MsgAppendResponse) => Some((self.term, false, self.index)),
            _ if is(MessageType::MsgRequestVoteResponse) => Some((self.term, true, 0)),
            // A candidate has voted for itself.
            _ if is(MessageType::MsgRequestVote) => Some((self.term, true, 0)),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn conversions_are_lossless_and_invalid_messages_are_rejected() {
        let entry =
            |index, change: Option<Vec<u8>>| Entry { term: 3, index, change, data: vec![1, index as u8] };
        let conf_state = ConfState { voters: vec![1, 2], learners: vec![9] };
        let message = Message {
            kind: MessageType::MsgAppend as u8,
            to: 1,
            from: 2,
            term: 3,
            log_term: 2,
            index: 6,
            entries: vec![entry(7, None), entry(8, Some(vec![5]))],
            commit: 5,
            commit_term: 2,
            snapshot: Some(Snapshot { index: 4, term: 1, conf_state, data: vec![0] }),
            request_snapshot: 1,
            reject: true,
            reject_hint: 4,
            context: vec![7],
            priority: -1,
        };
        assert_eq!(Message::from_lib(&message.to_lib().unwrap()), message);
        let hard_state = HardState { term: 1, vote: 2, commit: 3 };
        assert_eq!(HardState::from_lib(&hard_state.to_lib()), hard_state);
        let error_after = |change: &dyn Fn(&mut Message)| {
            let mut message = message.clone();
            change(&mut message);
            message.to_lib().unwrap_err()
        };
        assert_eq!(error_after(&|m| m.kind = MessageType::MsgPropose as u8), ConversionError::Type(2));
        assert_eq!(error_after(&|m| m.kind = 200), ConversionError::Type(200));
        assert_eq!(error_after(&|m| m.entries[1].index = 9), ConversionError::Order);
        assert_eq!(error_after(&|m| m.index = u64::MAX), ConversionError::Range);
        assert_eq!(error_after(&|m| m.term = 1 << 49), ConversionError::Range);
        assert_eq!(error_after(&|m| m.entries[0].term = 1 << 60), ConversionError::Range);
        assert_eq!(
            error_after(&|m| m.entries = vec![entry(1, None); 5000]),
            ConversionError::TooManyEntries(5000)
        );
    }
}
