//! The link: a Unix socket that keeps packets apart and carries descriptors.

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

/// Its name in the folder that lasts.
const FILE: &str = "handover";
/// The kernel's limit of a socket's path.
const PATH_MOST: usize = 107;
/// Takers that wait to be heard.
const BACKLOG: i32 = 8;

fn unix() -> io::Result<OwnedFd> {
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    Ok(socket_with(AddressFamily::UNIX, SocketType::SEQPACKET, flags, None)?)
}

/// Where givers listen. A path that is too long for a socket goes by the folder's own descriptor.
fn address(folder: &Path, name: &str) -> io::Result<(SocketAddrUnix, Option<std::fs::File>)> {
    let path = folder.join(name);
    if path.as_os_str().len() <= PATH_MOST {
        return Ok((SocketAddrUnix::new(&path)?, None));
    }
    let held = std::fs::File::open(folder)?;
    let number = std::os::fd::AsRawFd::as_raw_fd(&held);
    Ok((SocketAddrUnix::new(format!("/proc/self/fd/{number}/{name}"))?, Some(held)))
}

/// Where takers come.
#[derive(Debug)]
pub struct Listener {
    socket: UnixListener,
    path: PathBuf,
}

impl Listener {
    /// Takes the place of whoever listened in this folder before; only the owner may.
    ///
    /// # Errors
    /// Those of the socket and the folder.
    pub fn bind(folder: &Path) -> io::Result<Listener> {
        let next = format!("{FILE}.{}", std::process::id());
        let _ = std::fs::remove_file(folder.join(&next));
        let socket = unix()?;
        let (at, _held) = address(folder, &next)?;
        bind(&socket, &at)?;
        listen(&socket, BACKLOG)?;
        let path = folder.join(FILE);
        std::fs::rename(folder.join(next), &path)?;
        Ok(Listener { socket: UnixListener::from_std(socket.into())?, path })
    }

    /// The next taker. What is wrapped here keeps packets apart, though its type speaks of a stream.
    ///
    /// # Errors
    /// Those of the socket.
    pub async fn accept(&self) -> io::Result<Link> {
        let (socket, _) = self.socket.accept().await?;
        Ok(Link { socket })
    }

    /// Nobody finds this process here any more.
    pub fn remove(&self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// A link between the two.
#[derive(Debug)]
pub struct Link {
    socket: UnixStream,
}

impl Link {
    /// Connects to the giver of a folder; none where nobody listens.
    ///
    /// # Errors
    /// Those of the socket.
    pub fn connect(folder: &Path) -> io::Result<Option<Link>> {
        let socket = unix()?;
        let (at, _held) = address(folder, FILE)?;
        match connect(&socket, &at) {
            Ok(()) => Ok(Some(Link { socket: UnixStream::from_std(socket.into())? })),
            Err(Errno::NOENT | Errno::CONNREFUSED) => Ok(None),
            Err(error) => Err(error.into()),
        }
    }

    /// Whether the other side has ended, as far as the socket knows now; a packet that waits is no end.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        match recv(&self.socket, &mut byte, RecvFlags::PEEK | RecvFlags::DONTWAIT) {
            Ok((_, read)) => read == 0,
            Err(error) => error != Errno::WOULDBLOCK,
        }
    }

    /// Sends a packet, with a descriptor or without.
    ///
    /// # Errors
    /// `BrokenPipe` where the other side has gone; `InvalidInput` where the packet is too long.
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

    /// The next packet, and the descriptor that came with it; none once the other side has ended.
    ///
    /// # Errors
    /// Those of the socket; `InvalidData` where a packet is longer than any frame.
    pub async fn receive(&self) -> io::Result<Option<(Vec<u8>, Option<OwnedFd>)>> {
        let receive = || {
            let mut packet = vec![0; MAX_PACKET_BYTES];
            let mut space = [MaybeUninit::uninit(); cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let parts = &mut [IoSliceMut::new(&mut packet)];
            let got = recvmsg(&self.socket, parts, &mut control, RecvFlags::CMSG_CLOEXEC)?;
            let descriptor = control.drain().find_map(|message| match message {
                RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
                _ => None,
            });
            if got.flags.contains(rustix::net::ReturnFlags::TRUNC) {
                return Err(io::ErrorKind::InvalidData.into());
            }
            packet.truncate(got.bytes);
            Ok((packet, descriptor))
        };
        match self.socket.async_io(Interest::READABLE, receive).await {
            Ok((packet, _)) if packet.is_empty() => Ok(None),
            Ok(got) => Ok(Some(got)),
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

    fn folder(name: &str) -> PathBuf {
        let folder = std::env::temp_dir().join(format!("fawnspoke-link-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        folder
    }

    #[tokio::test]
    async fn packets_and_descriptors_pass() {
        let folder = folder("pass");
        assert!(Link::connect(&folder).unwrap().is_none());
        let listener = Listener::bind(&folder).unwrap();
        let taker = Link::connect(&folder).unwrap().unwrap();
        let giver = listener.accept().await.unwrap();
        let server = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = std::net::TcpStream::connect(server.local_addr().unwrap()).unwrap();
        let (served, _) = server.accept().unwrap();
        assert!(!taker.is_closed());
        giver.send(b"first", None).await.unwrap();
        assert!(!taker.is_closed());
        giver.send(&vec![7; MAX_PACKET_BYTES], Some(served.as_fd())).await.unwrap();
        // The sender's copy closes: the connection lives on in the other one.
        drop(served);
        drop(giver);
        assert_eq!(taker.receive().await.unwrap().unwrap().0, b"first");
        let (packet, descriptor) = taker.receive().await.unwrap().unwrap();
        assert_eq!(packet.len(), MAX_PACKET_BYTES);
        assert!(taker.is_closed());
        assert!(taker.receive().await.unwrap().is_none());
        let mut moved = std::net::TcpStream::from(descriptor.unwrap());
        moved.write_all(b"hello").unwrap();
        drop(moved);
        let mut heard = String::new();
        client.read_to_string(&mut heard).unwrap();
        assert_eq!(heard, "hello");
        std::fs::remove_dir_all(folder).unwrap();
    }

    #[tokio::test]
    async fn the_next_owner_takes_the_place_and_a_dead_one_is_nobody() {
        let folder = folder(&"deep-".repeat(30));
        let first = Listener::bind(&folder).unwrap();
        let second = Listener::bind(&folder).unwrap();
        let taker = Link::connect(&folder).unwrap().unwrap();
        taker.send(b"who", None).await.unwrap();
        assert_eq!(second.accept().await.unwrap().receive().await.unwrap().unwrap().0, b"who");
        drop((first, second));
        assert!(Link::connect(&folder).unwrap().is_none());
        std::fs::remove_dir_all(folder).unwrap();
    }
}
