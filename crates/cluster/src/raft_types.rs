//! The agreement library's messages and records in a form of our own. What comes from a link or a file is decoded as
//! these types and turned into the library's by hand; the library's own decoder sees nothing from outside.

use crate::MemberId;
use raft::prelude::{
    ConfState, Entry as LibEntry, EntryType, HardState as LibHardState, Message as LibMessage, MessageType,
    Snapshot as LibSnapshot,
};
use serde::{Deserialize, Serialize};

/// Entries in one message at most; the library is told to send fewer bytes than this many entries have.
pub const ENTRIES_MOST: usize = 4096;

/// No term or place is higher: a thousand a second reach it in ten thousand years.
const COUNT_MOST: u64 = 1 << 48;

/// The kinds of message that a link may bring.
const KINDS: [MessageType; 12] = [
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

/// What can't be turned into the library's form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormError {
    /// A kind of message that no link brings.
    #[error("a message of kind {0}, which no link brings")]
    Kind(u8),
    /// More entries than any member sends.
    #[error("{0} entries in a message")]
    Entries(usize),
    /// A term or a place that no fleet reaches: the library counts on from them.
    #[error("a term or a place that no fleet reaches")]
    Range,
    /// Places that do not follow each other.
    #[error("entries out of order")]
    Order,
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term in which it was proposed.
    pub term: u64,
    /// Its place in the log.
    pub index: u64,
    /// It changes the members: the library's own form of it, read by none but the one that made it.
    pub change: Option<Vec<u8>>,
    /// What it says.
    pub data: Vec<u8>,
}

/// What a voter must not forget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term.
    pub term: u64,
    /// Whom it voted for in that term; 0 for nobody.
    pub vote: MemberId,
    /// All up to this place is agreed.
    pub commit: u64,
}

/// Who votes and who follows, as the library counts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conf {
    /// The voters.
    pub voters: Vec<MemberId>,
    /// The observers.
    pub learners: Vec<MemberId>,
}

/// The state at one place of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The place.
    pub index: u64,
    /// The term of the entry there.
    pub term: u64,
    /// The members, for the library.
    pub conf: Conf,
    /// The state.
    pub data: Vec<u8>,
}

/// A message of the library's protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    kind: u8,
    /// To whom.
    pub to: MemberId,
    /// From whom.
    pub from: MemberId,
    /// The sender's term.
    pub term: u64,
    log_term: u64,
    /// The place that it is about.
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
    /// From the library's form.
    pub fn of(entry: &LibEntry) -> Entry {
        let changes = entry.get_entry_type() != EntryType::EntryNormal;
        let (data, change) = match changes {
            true => (entry.context.to_vec(), Some(entry.data.to_vec())),
            false => (entry.data.to_vec(), None),
        };
        Entry { term: entry.term, index: entry.index, change, data }
    }

    /// In the library's form.
    pub fn lib(&self) -> LibEntry {
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
    /// From the library's form.
    pub fn of(hard: &LibHardState) -> HardState {
        HardState { term: hard.term, vote: hard.vote, commit: hard.commit }
    }

    /// In the library's form.
    pub fn lib(&self) -> LibHardState {
        LibHardState { term: self.term, vote: self.vote, commit: self.commit, ..LibHardState::default() }
    }
}

impl Conf {
    /// From the library's form.
    pub fn of(conf: &ConfState) -> Conf {
        Conf { voters: conf.voters.clone(), learners: conf.learners.clone() }
    }

    /// In the library's form.
    pub fn lib(&self) -> ConfState {
        ConfState { voters: self.voters.clone(), learners: self.learners.clone(), ..ConfState::default() }
    }
}

impl Snapshot {
    /// From the library's form.
    pub fn of(snapshot: &LibSnapshot) -> Snapshot {
        let about = snapshot.get_metadata();
        let conf = Conf::of(about.get_conf_state());
        Snapshot { index: about.index, term: about.term, conf, data: snapshot.data.to_vec() }
    }

    /// In the library's form.
    pub fn lib(&self) -> LibSnapshot {
        let mut snapshot = LibSnapshot { data: self.data.clone().into(), ..LibSnapshot::default() };
        let about = snapshot.mut_metadata();
        (about.index, about.term) = (self.index, self.term);
        about.set_conf_state(self.conf.lib());
        snapshot
    }
}

impl Message {
    /// From the library's form.
    pub fn of(message: &LibMessage) -> Message {
        Message {
            kind: message.get_msg_type() as u8,
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(Entry::of).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: message.snapshot.as_ref().map(Snapshot::of),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        }
    }

    /// In the library's form.
    ///
    /// # Errors
    /// Where no member that follows the protocol sends such a message.
    pub fn lib(&self) -> Result<LibMessage, FormError> {
        let kind =
            KINDS.into_iter().find(|kind| *kind as u8 == self.kind).ok_or(FormError::Kind(self.kind))?;
        if self.entries.len() > ENTRIES_MOST {
            return Err(FormError::Entries(self.entries.len()));
        }
        let places = self.entries.iter().flat_map(|entry| [entry.term, entry.index]);
        let snapshot = self.snapshot.iter().flat_map(|snapshot| [snapshot.term, snapshot.index]);
        let own = [self.term, self.log_term, self.index, self.commit, self.commit_term];
        if own.into_iter().chain(places).chain(snapshot).any(|count| count > COUNT_MOST) {
            return Err(FormError::Range);
        }
        let follows = |pair: &[Entry]| Some(pair[1].index) == pair[0].index.checked_add(1);
        let after = self.entries.first().is_none_or(|first| Some(first.index) == self.index.checked_add(1));
        if !after || !self.entries.windows(2).all(follows) {
            return Err(FormError::Order);
        }
        let mut message = LibMessage::default();
        message.set_msg_type(kind);
        (message.to, message.from, message.term) = (self.to, self.from, self.term);
        (message.log_term, message.index) = (self.log_term, self.index);
        message.entries = self.entries.iter().map(Entry::lib).collect::<Vec<_>>().into();
        (message.commit, message.commit_term) = (self.commit, self.commit_term);
        if let Some(snapshot) = &self.snapshot {
            message.set_snapshot(snapshot.lib());
        }
        message.request_snapshot = self.request_snapshot;
        (message.reject, message.reject_hint) = (self.reject, self.reject_hint);
        (message.context, message.priority) = (self.context.clone().into(), self.priority);
        Ok(message)
    }

    /// What the sender says to have on record for good, where it says so: term, whether it voted, a place up to which
    /// its log is the leader's.
    pub fn acknowledges(&self) -> Option<(u64, bool, u64)> {
        if self.reject {
            return None;
        }
        let is = |kind: MessageType| self.kind == kind as u8;
        match self.kind {
            _ if is(MessageType::MsgAppendResponse) => Some((self.term, false, self.index)),
            _ if is(MessageType::MsgRequestVoteResponse) => Some((self.term, true, 0)),
            // Who asks for votes has voted for itself.
            _ if is(MessageType::MsgRequestVote) => Some((self.term, true, 0)),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn forms_keep_all_that_the_library_says() {
        let entry =
            |index, change: Option<Vec<u8>>| Entry { term: 3, index, change, data: vec![1, index as u8] };
        let conf = Conf { voters: vec![1, 2], learners: vec![9] };
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
            snapshot: Some(Snapshot { index: 4, term: 1, conf, data: vec![0] }),
            request_snapshot: 1,
            reject: true,
            reject_hint: 4,
            context: vec![7],
            priority: -1,
        };
        assert_eq!(Message::of(&message.lib().unwrap()), message);
        let hard = HardState { term: 1, vote: 2, commit: 3 };
        assert_eq!(HardState::of(&hard.lib()), hard);
        let bad = |change: &dyn Fn(&mut Message)| {
            let mut message = message.clone();
            change(&mut message);
            message.lib().unwrap_err()
        };
        assert_eq!(bad(&|m| m.kind = MessageType::MsgPropose as u8), FormError::Kind(2));
        assert_eq!(bad(&|m| m.kind = 200), FormError::Kind(200));
        assert_eq!(bad(&|m| m.entries[1].index = 9), FormError::Order);
        assert_eq!(bad(&|m| m.index = u64::MAX), FormError::Range);
        assert_eq!(bad(&|m| m.term = 1 << 49), FormError::Range);
        assert_eq!(bad(&|m| m.entries[0].term = 1 << 60), FormError::Range);
        assert_eq!(bad(&|m| m.entries = vec![entry(1, None); 5000]), FormError::Entries(5000));
    }
}
