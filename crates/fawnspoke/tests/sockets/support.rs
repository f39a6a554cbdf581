//! Re-exports the lab's stand-ins and wraps its dispatcher so that it runs this package's program.

pub use fawnspoke_lab::blocking::{
    Client, Endpoint, HttpMessage, Platform, Reply, draining_endpoint, eventually, list_entry,
};
use serde_json::Value;
use std::io::{ErrorKind, Read};
use std::iter;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::{Deref, DerefMut, Range};
use std::path::Path;
use std::process::Command;

/// Ports outside the range from which outgoing connections get theirs.
const FIXED_PORTS: Range<u16> = 20_000..32_000;

/// An unused address for a process that is started several times: no outgoing connection takes it between two starts.
pub fn free_address() -> SocketAddr {
    iter::repeat_with(|| SocketAddr::from((Ipv4Addr::LOCALHOST, fastrand::u16(FIXED_PORTS))))
        .find(|address| TcpListener::bind(address).is_ok())
        .expect("an endless iterator")
}

/// Whether the peer of a non-blocking connection has left it open. What it has sent is read into `received`.
pub fn is_open(connection: &mut impl Read, received: &mut Vec<u8>) -> bool {
    let mut buffer = [0; 512];
    loop {
        match connection.read(&mut buffer) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => return true,
            Ok(length) if length > 0 => received.extend_from_slice(&buffer[..length]),
            _ => return false,
        }
    }
}

/// The program under test, as a process.
pub struct Dispatcher(fawnspoke_lab::blocking::Dispatcher);

impl Dispatcher {
    /// Prepares a dispatcher with `known` as its initial endpoint list; the process is not started yet.
    pub fn new(platform: &Platform, known: &[Value]) -> Dispatcher {
        let program = Path::new(env!("CARGO_BIN_EXE_fawnspoke"));
        let parent_dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
        Dispatcher(fawnspoke_lab::blocking::Dispatcher::new(program, parent_dir, platform, known))
    }

    /// Prepares a dispatcher and starts its process.
    pub fn started(platform: &Platform, known: &[Value]) -> Dispatcher {
        let mut dispatcher = Dispatcher::new(platform, known);
        dispatcher.start();
        dispatcher
    }

    /// Number of file descriptors of its process.
    pub fn open_descriptors(&self) -> usize {
        let process_id = self.process_id().expect("a process");
        std::fs::read_dir(format!("/proc/{process_id}/fd")).expect("its descriptors").count()
    }

    /// The number of messages that the journal on disk holds open, with those that only a notice is due for.
    pub fn open_journal_messages(&self) -> usize {
        let program = env!("CARGO_BIN_EXE_fawnspoke");
        let output = Command::new(program).args(["journal", "show"]).arg(self.state_dir()).output();
        let text = String::from_utf8(output.unwrap().stdout).unwrap();
        let (_, owed) = text.split_once("owed: ").expect("a summary");
        let (messages, rest) = owed.split_once(" messages and ").expect("a count of messages");
        let (notices, _) = rest.split_once(' ').expect("a count of notices");
        [messages, notices].iter().map(|count| count.parse::<usize>().expect("a count")).sum()
    }
}

impl Deref for Dispatcher {
    type Target = fawnspoke_lab::blocking::Dispatcher;

    fn deref(&self) -> &Self::Target {
        &self.0
    }
}

impl DerefMut for Dispatcher {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.0
    }
}
