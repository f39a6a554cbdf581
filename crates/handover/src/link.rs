//! The link between sender and receiver: a Unix `SOCK_SEQPACKET` socket, which keeps message boundaries and carries
//! file descriptors.

use crate::frames::MAX_PACKET_BYTES;
use rustix::cmsg_space;
use rustix::io::Errno;
use rustix::net::{
    AddressFamily, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketAddrUnix, SocketFlags, SocketType, bind, connect, listen, recv,
    recvmsg, sendmsg, socket_with,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::path::{Path, PathBuf};
use tokio::io::Interest;
use tokio::net::{UnixListener, UnixStream};

/// The socket's file name in the state directory.
const FILE_NAME: &str = "handover";
/// The kernel's limit for the path of a Unix socket.
const MAX_PATH_BYTES: usize = 107;
/// Receivers that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 64;

fn new_socket() -> io::Result<OwnedFd> {
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    Ok(socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

/// The address of a socket in the state directory, with a directory handle that must stay open while the address is
/// used. A path that is too long for a socket address goes through `/proc/self/fd`.
fn address(state_dir: &Path, name: &str) -> io::Result<(SocketAddrUnix, Option<std::fs::File>)> {
    let path = state_dir.join(name);
    if path.as_os_str().len() <= MAX_PATH_BYTES {
        return Ok((SocketAddrUnix::new(&path)?, None));
    }
    let directory = std::fs::File::open(state_dir)?;
    let number = std::os::fd::AsRawFd::as_raw_fd(&directory);
    Ok((SocketAddrUnix::new(format!("/proc/self/fd/{number}/{name}"))?, Some(directory)))
}

/// The socket on which a sender accepts receivers.
#[derive(Debug)]
pub struct Listener {
    socket: UnixListener,
    path: PathBuf,
}

impl Listener {
    /// Binds the socket of a state directory, in place of any earlier listener. Only the owner may call this.
    ///
    /// # Errors
    /// I/O errors of the socket and the directory.
    pub fn bind(state_dir: &Path) -> io::Result<Listener> {
        let next = format!("{FILE_NAME}.{}", std::process::id());
        let _ = std::fs::remove_file(state_dir.join(&next));
        let socket = new_socket()?;
        let (address, _directory) = address(state_dir, &next)?;
        bind(&socket, &address)?;
        listen(&socket, LISTEN_BACKLOG)?;
        let path = state_dir.join(FILE_NAME);
        std::fs::rename(state_dir.join(next), &path)?;
        Ok(Listener { socket: UnixListener::from_std(socket.into())?, path })
    }

    /// Accepts the next receiver. The wrapped socket keeps message boundaries, although its type is a stream's.
    ///
    /// # Errors
    /// I/O errors of the socket.
    pub async fn accept(&self) -> io::Result<Link> {
        let (socket, _) = self.socket.accept().await?;
        Ok(Link { socket })
    }

    /// Removes the socket's file, so that no receiver connects any more.
    pub fn remove(&self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// A connection between sender and receiver.
#[derive(Debug)]
pub struct Link {
    socket: UnixStream,
}

impl Link {
    /// Connects to the sender of a state directory; `None` where nothing listens.
    ///
    /// # Errors
    /// I/O errors of the socket.
    pub fn connect(state_dir: &Path) -> io::Result<Option<Link>> {
        let socket = new_socket()?;
        let (address, _directory) = address(state_dir, FILE_NAME)?;
        match connect(&socket, &address) {
            Ok(()) => Ok(Some(Link { socket: UnixStream::from_std(socket.into())? })),
            Err(Errno::NOENT | Errno::CONNREFUSED) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// Whether the peer has closed the connection. A link with a packet still to be read counts as open.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        match recv(&self.socket, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT) {
            Ok((_, read)) => read == 0,
            Err(error) => error != Errno::WOULDBLOCK,
        }
    }

    /// Sends a packet, optionally with a file descriptor.
    ///
    /// # Errors
    /// `BrokenPipe` where the peer has closed the connection; `InvalidInput` where the packet is empty or too long.
    pub async fn send(&self, packet: &[u8], descriptor: Option<BorrowedFd<'_>>) -> io::Result<()> {
        if packet.is_empty() || packet.len() > MAX_PACKET_BYTES {
            return Err(io::ErrorKind::InvalidInput.into());
        }
        let descriptors: Vec<BorrowedFd> = descriptor.into_iter().collect();
        let send = || {
            let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(1))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            if !descriptors.is_empty() {
                control.push(SendAncillaryMessage::ScmRights(&descriptors));
            }
            sendmsg(&self.socket, &[IoSlice::new(packet)], &mut control, SendFlags::NOSIGNAL)?;
            Ok(())
        };
        self.socket.async_io(Interest::WRITABLE, send).await
    }

    /// Receives the next packet and the file descriptor that came with it; `None` once the peer has closed the
    /// connection.
    ///
    /// # Errors
    /// I/O errors of the socket; `InvalidData` where a packet is longer than [`MAX_PACKET_BYTES`].
    pub async fn receive(&self) -> io::Result<Option<(Vec<u8>, Option<OwnedFd>)>> {
        let receive = || {
            let mut packet = vec![0; MAX_PACKET_BYTES];
            let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let parts = &mut [IoSliceMut::new(&mut packet)];
            let received = recvmsg(&self.socket, parts, &mut control, RecvFlags::CMSG_CLOEXEC)?;
            let descriptor = control.drain().find_map(|message| match message {
                RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
                _ => None,
            });
            if received.flags.contains(rustix::net::ReturnFlags::TRUNC) {
                return Err(io::ErrorKind::InvalidData.into());
            }
            packet.truncate(received.bytes);
            Ok((packet, descriptor))
        };
        match self.socket.async_io(Interest::READABLE, receive).await {
            Ok((packet, _)) if packet.is_empty() => Ok(None),
            Ok(received) => Ok(Some(received)),
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => Ok(None),
            Err(error) => Err(error),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};
    use std::os::fd::AsFd;

    fn state_dir(name: &str) -> PathBuf {
        let state_dir = std::env::temp_dir().join(format!("fawnspoke-link-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&state_dir).unwrap();
        state_dir
    }

    #[tokio::test]
    async fn transfers_packets_and_descriptors() {
        let state_dir = state_dir("pass");
        assert!(Link::connect(&state_dir).unwrap().is_none());
        let listener = Listener::bind(&state_dir).unwrap();
        let receiver = Link::connect(&state_dir).unwrap().unwrap();
        let sender = listener.accept().await.unwrap();
        let tcp_listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = std::net::TcpStream::connect(tcp_listener.local_addr().unwrap()).unwrap();
        let (served, _) = tcp_listener.accept().unwrap();
        assert!(!receiver.is_closed());
        sender.send(b"first", None).await.unwrap();
        assert!(!receiver.is_closed());
        sender.send(&vec![7; MAX_PACKET_BYTES], Some(served.as_fd())).await.unwrap();
        // The sender closes its copy of the connection; the receiver's copy keeps it open.
        drop(served);
        drop(sender);
        assert_eq!(receiver.receive().await.unwrap().unwrap().0, b"first");
        let (packet, descriptor) = receiver.receive().await.unwrap().unwrap();
        assert_eq!(packet.len(), MAX_PACKET_BYTES);
        assert!(receiver.is_closed());
        assert!(receiver.receive().await.unwrap().is_none());
        let mut moved = std::net::TcpStream::from(descriptor.unwrap());
        moved.write_all(b"hello").unwrap();
        drop(moved);
        let mut received = String::new();
        client.read_to_string(&mut received).unwrap();
        assert_eq!(received, "hello");
        std::fs::remove_dir_all(state_dir).unwrap();
    }

    #[tokio::test]
    async fn a_later_listener_replaces_the_first_and_a_closed_one_is_not_found() {
        let state_dir = state_dir(&"deep-".repeat(30));
        let first = Listener::bind(&state_dir).unwrap();
        let second = Listener::bind(&state_dir).unwrap();
        let receiver = Link::connect(&state_dir).unwrap().unwrap();
        receiver.send(b"ping", None).await.unwrap();
        assert_eq!(second.accept().await.unwrap().receive().await.unwrap().unwrap().0, b"ping");
        drop((first, second));
        assert!(Link::connect(&state_dir).unwrap().is_none());
        std::fs::remove_dir_all(state_dir).unwrap();
    }
}
