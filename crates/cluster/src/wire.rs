//! The protocol between members: each side sends a hello in JSON, then frames encoded with postcard.

use crate::identity::LogPosition;
use crate::raft_types::Message;
use crate::{MemberId, Seconds};
use serde::{Deserialize, Serialize};

/// The version of the frames.
pub const VERSION: u32 = 1;
/// Maximum length of a packet; the largest snapshot fits.
pub const MAX_PACKET_BYTES: usize = 1 << 20;
/// A connection is closed unless the hello arrives within this time.
pub const HELLO_TIMEOUT_SECONDS: Seconds = 2.0;

/// The first packet of each side. Later versions may add fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The lowest and the highest version of frames that the sender supports.
    pub versions: (u32, u32),
    /// The sender's fleet.
    pub cluster: String,
    /// The sender's name.
    pub name: String,
    /// The name of the member that it wants to connect to.
    pub to: String,
    /// The sender's id.
    #[serde(rename = "birth")]
    pub id: MemberId,
    /// The sender's start count.
    #[serde(rename = "life")]
    pub start_count: u64,
    /// How far the sender's persisted state reaches.
    #[serde(rename = "mark")]
    pub position: LogPosition,
    /// Why the sender rejects the connection; no frames follow then.
    #[serde(rename = "refused")]
    pub rejection: Option<Rejection>,
}

/// Why a member rejects a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rejection {
    /// The other side belongs to another fleet.
    #[error("it is a member of another fleet")]
    OtherFleet,
    /// The other side wants another member.
    #[error("the member that it calls is not at this address")]
    #[serde(rename = "not_me")]
    WrongMember,
    /// The fleet's configuration does not name the other side.
    #[error("unknown member: the fleet's file does not name it")]
    #[serde(rename = "stranger")]
    UnknownMember,
    /// The two sides have no version of the frames in common.
    #[error("no version of the frames in common")]
    Version,
    /// The other side's state directory is an older copy.
    #[error("its state directory is an older copy of what it was")]
    OlderCopy,
    /// The other side has this member's own id.
    #[error("its id is this member's own: two processes use copies of one state directory")]
    #[serde(rename = "my_birth")]
    OwnId,
}

/// A frame between two members that have exchanged hellos.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// A Raft message.
    Raft(Box<Message>),
    /// The sender opened the connection, and has verified and accepted the receiver's hello.
    HelloVerified,
    /// The sender requests to become a member.
    Join,
    /// A request to confirm that the receiver still leads, with the sender's number for it.
    ConfirmLeadership(u64),
    /// The reply: the sender was still the leader after the request arrived.
    LeadershipConfirmed {
        /// The number of the request.
        request: u64,
        /// Everything that the leader had granted by then is in the log up to this index.
        required_index: u64,
    },
    /// An entry to propose, if the receiver leads.
    Propose(Vec<u8>),
}

/// The member that checks a hello.
pub struct LocalMember<'a> {
    /// Its fleet.
    pub cluster: &'a str,
    /// Its name.
    pub name: &'a str,
    /// Its id.
    pub id: MemberId,
}

impl Hello {
    /// Whether the receiver accepts the sender. `is_configured`: whether the fleet's configuration has a name.
    ///
    /// # Errors
    /// The reason for the rejection.
    pub fn check(&self, local: &LocalMember, is_configured: impl Fn(&str) -> bool) -> Result<(), Rejection> {
        let (min_version, max_version) = self.versions;
        if !(min_version..=max_version).contains(&VERSION) {
            Err(Rejection::Version)
        } else if self.cluster != local.cluster {
            Err(Rejection::OtherFleet)
        } else if self.to != local.name {
            Err(Rejection::WrongMember)
        } else if !is_configured(&self.name) || self.name == local.name || self.id == 0 {
            Err(Rejection::UnknownMember)
        } else if self.id == local.id {
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
    fn each_unacceptable_hello_is_rejected_with_its_reason() {
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
        let check =
            |hello: &Hello| hello.check(&LocalMember { cluster: "m", name: "b", id: 6 }, |name| name < "c");
        assert_eq!(check(&hello), Ok(()));
        let rejection_after = |change: &dyn Fn(&mut Hello)| {
            let mut other = hello.clone();
            change(&mut other);
            check(&other).unwrap_err()
        };
        assert_eq!(rejection_after(&|h| h.versions = (2, 3)), Rejection::Version);
        assert_eq!(rejection_after(&|h| h.cluster = "n".into()), Rejection::OtherFleet);
        assert_eq!(rejection_after(&|h| h.to = "c".into()), Rejection::WrongMember);
        assert_eq!(rejection_after(&|h| h.name = "z".into()), Rejection::UnknownMember);
        assert_eq!(rejection_after(&|h| h.name = "b".into()), Rejection::UnknownMember);
        assert_eq!(rejection_after(&|h| h.id = 6), Rejection::OwnId);
        let read = |text: &str| fawnspoke_frames::decode_hello::<Hello>(text.as_bytes());
        let packet = fawnspoke_frames::encode_hello(&hello).unwrap();
        assert_eq!(fawnspoke_frames::decode_hello::<Hello>(&packet).unwrap(), hello);
        assert!(read("{\"versions\":[1,1]}").is_err());
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_are_at_most_a_decoding_error(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
            if let Ok(Frame::Raft(message)) = fawnspoke_frames::decode::<Frame>(&bytes) {
                let _ = message.to_lib();
            }
            let _ = fawnspoke_frames::decode_hello::<Hello>(&bytes);
        }
    }
}
