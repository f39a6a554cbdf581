//! What passes between members: a hello of each side, then frames.

use crate::identity::LogPosition;
use crate::raft_types::Message;
use crate::{MemberId, Seconds};
use serde::{Deserialize, Serialize};

/// The version of the frames.
pub const VERSION: u32 = 1;
/// The longest packet, in bytes: a snapshot fits.
pub const PACKET_MOST: usize = 1 << 20;
/// A hello is there by then, or the link ends, in seconds.
pub const HELLO_TIME: Seconds = 2.0;

/// The first word of each side. Later versions may say more.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The versions of frames that it knows, from and to.
    pub versions: (u32, u32),
    /// Its fleet.
    pub cluster: String,
    /// Its name.
    pub name: String,
    /// Whom it wants to speak with.
    pub to: String,
    /// Its birth.
    #[serde(rename = "birth")]
    pub id: MemberId,
    /// Its life.
    #[serde(rename = "life")]
    pub start_count: u64,
    /// How far its record goes.
    #[serde(rename = "mark")]
    pub position: LogPosition,
    /// Why it does not speak with the other side; nothing follows then.
    #[serde(rename = "refused")]
    pub rejection: Option<Rejection>,
}

/// Why a member is not spoken with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// Another fleet's.
    #[error("a member of another fleet")]
    OtherFleet,
    /// It wants somebody else.
    #[error("whom it calls is not here")]
    #[serde(rename = "not_me")]
    WrongMember,
    /// The file does not name it.
    #[error("a stranger: the file does not name it")]
    #[serde(rename = "stranger")]
    UnknownMember,
    /// No version of frames in common.
    #[error("no version of the frames in common")]
    Version,
    /// Its folder is an older copy.
    #[error("its folder is an older copy of what it was")]
    OlderCopy,
    /// Its birth is here.
    #[error("its birth is this member's own: two processes of one folder")]
    #[serde(rename = "my_birth")]
    OwnId,
}

/// A frame between two members that have said hello.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Of the library's protocol.
    Raft(Box<Message>),
    /// The caller has looked at the hello of the called one, and speaks with it.
    HelloVerified,
    /// The sender is to be a member.
    Join,
    /// A member's question whether this one leads.
    ConfirmLeadership(u64),
    /// The answer: it led after the question had come.
    LeadershipConfirmed {
        /// The question.
        request: u64,
        /// What it gave away by then lies in the log up to here.
        required_index: u64,
    },
    /// To be agreed, if the receiver leads.
    Propose(Vec<u8>),
}

/// Who a member is when it judges a hello.
pub struct Me<'a> {
    /// Its fleet.
    pub cluster: &'a str,
    /// Its name.
    pub name: &'a str,
    /// Its birth.
    pub id: MemberId,
}

impl Hello {
    /// Whether the sender is one to speak with. `named`: whether the file has a name.
    ///
    /// # Errors
    /// Why not.
    pub fn judge(&self, me: &Me, named: impl Fn(&str) -> bool) -> Result<(), Rejection> {
        let (from, to) = self.versions;
        if !(from..=to).contains(&VERSION) {
            Err(Rejection::Version)
        } else if self.cluster != me.cluster {
            Err(Rejection::OtherFleet)
        } else if self.to != me.name {
            Err(Rejection::WrongMember)
        } else if !named(&self.name) || self.name == me.name || self.id == 0 {
            Err(Rejection::UnknownMember)
        } else if self.id == me.id {
            Err(Rejection::OwnId)
        } else {
            Ok(())
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn each_stranger_gets_one_reason() {
        let hello = Hello {
            versions: (1, 3),
            cluster: "m".into(),
            name: "a".into(),
            to: "b".into(),
            id: 5,
            start_count: 1,
            position: LogPosition::default(),
            rejection: None,
        };
        let judged = |hello: &Hello| hello.judge(&Me { cluster: "m", name: "b", id: 6 }, |name| name < "c");
        assert_eq!(judged(&hello), Ok(()));
        let with = |change: &dyn Fn(&mut Hello)| {
            let mut other = hello.clone();
            change(&mut other);
            judged(&other).unwrap_err()
        };
        assert_eq!(with(&|h| h.versions = (2, 3)), Rejection::Version);
        assert_eq!(with(&|h| h.cluster = "n".into()), Rejection::OtherFleet);
        assert_eq!(with(&|h| h.to = "c".into()), Rejection::WrongMember);
        assert_eq!(with(&|h| h.name = "z".into()), Rejection::UnknownMember);
        assert_eq!(with(&|h| h.name = "b".into()), Rejection::UnknownMember);
        assert_eq!(with(&|h| h.id = 6), Rejection::OwnId);
        let read = |text: &str| fawnspoke_frames::decode_hello::<Hello>(text.as_bytes());
        let packet = fawnspoke_frames::encode_hello(&hello).unwrap();
        assert_eq!(fawnspoke_frames::decode_hello::<Hello>(&packet).unwrap(), hello);
        assert!(read("{\"versions\":[1,1]}").is_err());
    }

    proptest! {
        #[test]
        fn bytes_that_are_no_frame_are_an_error_and_no_more(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            if let Ok(Frame::Raft(message)) = fawnspoke_frames::decode::<Frame>(&bytes) {
                let _ = message.lib();
            }
            let _ = fawnspoke_frames::decode_hello::<Hello>(&bytes);
        }
    }
}
