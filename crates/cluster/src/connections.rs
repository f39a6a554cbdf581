//! TCP connections between members: one per pair, with length-prefixed packets. A peer that is slow, silent or sends
//! invalid packets loses its own connection and affects nothing else.

use crate::MemberId;
use crate::config::FleetConfig;
use crate::wire::{Frame, HELLO_TIMEOUT_SECONDS, Hello, MAX_PACKET_BYTES};
use bytes::Bytes;
use fawnspoke_admission::LISTEN_BACKLOG;
use fawnspoke_admission::gate::{AdmissionGate, AdmissionSlot};
use fawnspoke_admission::table::AdmissionLimits;
use futures_util::{SinkExt, StreamExt};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{Receiver, Sender, UnboundedSender, channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Capacity of a connection's send queue in packets. Frames over it are dropped; Raft tolerates the loss.
const SEND_QUEUE_PACKETS: usize = 256;
/// A connection is closed if writing a packet takes longer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The shortest and the longest delay before another attempt to connect to a member.
const RECONNECT_DELAY: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// Delay before the next attempt to connect after a rejection.
const REJECTED_DELAY: Duration = Duration::from_secs(1);
/// Limits of accepted connections that have not completed their hello. A member sends its hello as soon as it is
/// connected, so the minimum time is short: 1,000 callers that send nothing delay a hello by 0.8 s, less than half of
/// [`HELLO_TIMEOUT_SECONDS`].
const PENDING_LIMITS: AdmissionLimits =
    AdmissionLimits { max_callers: 64, min_time: Duration::from_millis(50) };
/// Maximum number of accepted connections that have not completed their hello, with the one that is being accepted.
pub const MAX_PENDING_CONNECTIONS: usize = PENDING_LIMITS.max_callers + 1;
/// Longest hello. A caller that is not known yet can take no more memory than that.
const MAX_HELLO_BYTES: usize = 16 << 10;
/// A connection on which nothing arrives for this many lease terms is closed.
const READ_TIMEOUT_TERMS: f64 = 4.0;

/// What connections report to the member's thread.
pub enum Event {
    /// The other side's hello has arrived. The reply says whether it is accepted.
    Hello {
        /// The other side's hello.
        hello: Box<Hello>,
        /// Whether this side opened the connection; its own hello has been sent and accepted then.
        outgoing: bool,
        /// Receives this member's hello, with the reason if it rejects the other side, and whether it accepts it.
        reply: oneshot::Sender<(Hello, bool)>,
        /// The connection, for sending.
        connection: Connection,
    },
    /// A frame has arrived.
    Frame {
        /// The sender.
        from: MemberId,
        /// The number of the connection.
        connection: u64,
        /// The frame.
        frame: Frame,
        /// The frame's share of the receive buffer, returned once it is handled.
        _receive_permit: OwnedSemaphorePermit,
    },
    /// The connection of this number with this member has closed.
    Closed(MemberId, u64),
    /// The other side rejected this member.
    Rejected {
        /// The other side's name.
        name: String,
        /// The own id that was rejected; this member may have a new one by now.
        rejected_id: MemberId,
        /// The other side's hello, with the reason.
        hello: Box<Hello>,
    },
}

/// A packet in a send queue. Dropping it, also when its connection closes, returns its bytes to the shared send budget.
struct QueuedPacket {
    packet: Vec<u8>,
    send_budget: Rc<Cell<usize>>,
}

impl QueuedPacket {
    /// Takes the packet's bytes from the send budget; nothing if it is exhausted.
    fn new(packet: Vec<u8>, send_budget: &Rc<Cell<usize>>) -> Option<QueuedPacket> {
        send_budget.set(send_budget.get().checked_sub(packet.len())?);
        Some(QueuedPacket { packet, send_budget: send_budget.clone() })
    }
}

impl Drop for QueuedPacket {
    fn drop(&mut self) {
        self.send_budget.set(self.send_budget.get() + self.packet.len());
    }
}

/// The sending side of a connection.
#[derive(Clone)]
pub struct Connection {
    /// Unique among the connections of this process.
    pub number: u64,
    queue: Sender<QueuedPacket>,
    /// Bytes that all send queues together may still take.
    send_budget: Rc<Cell<usize>>,
    abort: Rc<RefCell<Option<AbortHandle>>>,
}

impl Connection {
    /// Queues a packet. Returns `false` if it is too long or the queue is full; the packet is dropped then.
    pub fn send(&self, packet: Vec<u8>) -> bool {
        let fits = packet.len() <= MAX_PACKET_BYTES;
        let queued =
            Some(packet).filter(|_| fits).and_then(|packet| QueuedPacket::new(packet, &self.send_budget));
        queued.is_some_and(|queued| self.queue.try_send(queued).is_ok())
    }

    /// Closes the connection.
    pub fn close(&self) {
        if let Some(task) = self.abort.borrow_mut().take() {
            task.abort();
        }
    }
}

/// The state shared by all connections of a member.
#[derive(Clone)]
pub struct Connections {
    config: Rc<FleetConfig>,
    name: Rc<str>,
    events: UnboundedSender<Event>,
    count: Rc<Cell<u64>>,
    /// The accepted connections that have not completed their hello.
    pending: Rc<AdmissionGate>,
    /// Bytes that all send queues together may still take.
    send_budget: Rc<Cell<usize>>,
    /// Bytes that may still be received before the thread handles earlier frames, as permits.
    receive_budget: Arc<Semaphore>,
    /// This member's current hello, without a receiver.
    hello: Rc<RefCell<Option<Hello>>>,
}

/// Frames packets up to the length of a hello: anybody may have connected.
fn frame_packets(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    // Frames are small, and the other side waits for them.
    let _ = stream.set_nodelay(true);
    LengthDelimitedCodec::builder().max_frame_length(MAX_HELLO_BYTES).new_framed(stream)
}

impl Connections {
    /// Creates the state; nothing is listened on or connected to yet.
    pub fn new(config: Rc<FleetConfig>, name: &str, events: UnboundedSender<Event>) -> Connections {
        let max_bytes = (config.memory_mb * 1e6 / 2.0) as usize;
        Connections {
            config,
            name: name.into(),
            events,
            count: Rc::default(),
            pending: AdmissionGate::new(PENDING_LIMITS),
            send_budget: Rc::new(Cell::new(max_bytes)),
            receive_budget: Arc::new(Semaphore::new(max_bytes.min(Semaphore::MAX_PERMITS))),
            hello: Rc::default(),
        }
    }

    /// Accepts connections from the members that dial this one, and keeps connecting to those that this one dials, for as
    /// long as the thread runs. Returns the address that it listens on, if any member dials this one.
    ///
    /// # Errors
    /// If it can't listen on its address.
    pub async fn open(&self) -> io::Result<Option<SocketAddr>> {
        let mut address = None;
        let listens = self.config.member.keys().any(|other| self.config.dials(other, &self.name));
        if let Some(own) = self.config.member.get(&*self.name).filter(|_| listens) {
            let listener = TcpListener::bind(own.listen.unwrap_or(own.at)).await?;
            // The runtime's queue is shorter.
            rustix::net::listen(&listener, LISTEN_BACKLOG)?;
            address = Some(listener.local_addr()?);
            spawn_local(self.clone().accept(listener));
        }
        for (name, peer) in self.config.member.iter().filter(|(name, _)| self.config.dials(&self.name, name))
        {
            spawn_local(self.clone().keep_connecting(name.clone(), peer.at));
        }
        Ok(address)
    }

    /// Sets the hello for the next connections. No connection is opened before the first call.
    pub fn set_hello(&self, hello: Hello) {
        self.hello.replace(Some(hello));
    }

    fn new_connection(&self) -> (Connection, Receiver<QueuedPacket>) {
        let (queue, packets) = channel(SEND_QUEUE_PACKETS);
        self.count.set(self.count.get() + 1);
        let (number, send_budget) = (self.count.get(), self.send_budget.clone());
        (Connection { number, queue, send_budget, abort: Rc::default() }, packets)
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, address)) = listener.accept().await else {
                sleep(RECONNECT_DELAY.0).await;
                continue;
            };
            let slot = self.pending.admit(address.ip()).await;
            let (connection, packets) = self.new_connection();
            let abort = connection.abort.clone();
            let connections = self.clone();
            let task =
                spawn_local(
                    async move { connections.serve_accepted(stream, slot, connection, packets).await },
                );
            abort.replace(Some(task.abort_handle()));
        }
    }

    /// Serves an accepted connection. While its hello is not complete, it is closed if another one needs its slot.
    async fn serve_accepted(
        &self, stream: TcpStream, slot: AdmissionSlot, connection: Connection,
        packets: Receiver<QueuedPacket>,
    ) {
        let mut framed = frame_packets(stream);
        let accepted = tokio::select! {
            biased;
            accepted = self.answer_hello(&mut framed, &slot, connection.clone()) => accepted,
            () = sleep(Duration::from_secs_f64(HELLO_TIMEOUT_SECONDS)) => None,
            () = slot.evicted() => None,
        };
        let Some((id, own_id)) = accepted else {
            // The slot is free once the connection is closed.
            drop(framed);
            return drop(slot);
        };
        drop(slot);
        self.exchange_frames(id, own_id, framed, &connection, packets).await;
    }

    /// Waits for the dialing member's hello and replies to it. Returns that member's id and the own id in the reply, if it
    /// is accepted.
    async fn answer_hello(
        &self, framed: &mut Framed<TcpStream, LengthDelimitedCodec>, slot: &AdmissionSlot,
        connection: Connection,
    ) -> Option<(MemberId, MemberId)> {
        let packet = framed.next().await?.ok()?;
        let hello: Hello = fawnspoke_frames::decode_hello(&packet).ok()?;
        slot.mark_handled();
        let id = hello.id;
        let (reply, received_reply) = oneshot::channel();
        let hello = Box::new(hello);
        self.events.send(Event::Hello { hello, outgoing: false, reply, connection }).ok()?;
        let (own_hello, accepted) = received_reply.await.ok()?;
        framed.send(Bytes::from(fawnspoke_frames::encode_hello(&own_hello).ok()?)).await.ok()?;
        accepted.then_some((id, own_hello.id))
    }

    /// Connects to one member whenever there is no connection, with a delay that grows while it can't be reached.
    async fn keep_connecting(self, name: String, address: SocketAddr) {
        let mut delay = RECONNECT_DELAY.0;
        loop {
            let (connection, packets) = self.new_connection();
            let (connections, target) = (self.clone(), name.clone());
            let abort = connection.abort.clone();
            let task =
                spawn_local(
                    async move { connections.connect_once(&target, address, connection, packets).await },
                );
            abort.replace(Some(task.abort_handle()));
            match task.await {
                Ok(Some(true)) => delay = RECONNECT_DELAY.0,
                Ok(Some(false)) => delay = REJECTED_DELAY,
                _ => delay = (delay * 2).min(RECONNECT_DELAY.1),
            }
            sleep(delay).await;
        }
    }

    /// Runs one outgoing connection until it closes. Returns whether both sides accepted each other, or nothing if they
    /// did not exchange hellos.
    async fn connect_once(
        &self, name: &str, address: SocketAddr, connection: Connection, packets: Receiver<QueuedPacket>,
    ) -> Option<bool> {
        let own_hello = Hello { to: name.into(), ..self.hello.borrow().clone()? };
        let hello_timeout = Duration::from_secs_f64(HELLO_TIMEOUT_SECONDS);
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
        let mut framed = frame_packets(stream);
        let exchange_hellos = async {
            framed.send(Bytes::from(fawnspoke_frames::encode_hello(&own_hello).ok()?)).await.ok()?;
            let packet = framed.next().await?.ok()?;
            fawnspoke_frames::decode_hello::<Hello>(&packet).ok()
        };
        let peer_hello = Box::new(timeout(hello_timeout, exchange_hellos).await.ok().flatten()?);
        if peer_hello.rejection.is_some() {
            let _ = self.events.send(Event::Rejected {
                name: name.into(),
                rejected_id: own_hello.id,
                hello: peer_hello,
            });
            return Some(false);
        }
        let id = peer_hello.id;
        let (reply, received_reply) = oneshot::channel();
        self.events
            .send(Event::Hello { hello: peer_hello, outgoing: true, reply, connection: connection.clone() })
            .ok()?;
        let (own_hello, accepted) = received_reply.await.ok()?;
        if !accepted {
            // Sends the reason for the rejection.
            let _ = framed.send(Bytes::from(fawnspoke_frames::encode_hello(&own_hello).ok()?)).await;
            return Some(false);
        }
        self.exchange_frames(id, own_hello.id, framed, &connection, packets).await;
        Some(true)
    }

    /// Sends and receives frames until either side closes the connection.
    async fn exchange_frames(
        &self, id: MemberId, own_id: MemberId, mut framed: Framed<TcpStream, LengthDelimitedCodec>,
        connection: &Connection, mut packets: Receiver<QueuedPacket>,
    ) {
        framed.codec_mut().set_max_frame_length(MAX_PACKET_BYTES);
        let _guard = ClosedGuard { connections: self.clone(), id, number: connection.number };
        let (mut sink, mut source) = framed.split::<Bytes>();
        let read_timeout = Duration::from_secs_f64(READ_TIMEOUT_TERMS * self.config.term_s);
        let write = async {
            // Packets that are still queued when the connection closes are lost.
            while let Some(queued) = packets.recv().await {
                let packet = Bytes::copy_from_slice(&queued.packet);
                if !matches!(timeout(WRITE_TIMEOUT, sink.send(packet)).await, Ok(Ok(()))) {
                    break;
                }
            }
        };
        let read = async {
            while let Ok(Some(Ok(packet))) = timeout(read_timeout, source.next()).await {
                let Ok(frame) = fawnspoke_frames::decode::<Frame>(&packet) else {
                    // An invalid frame closes the connection, and so does a hello by which the other side rejects this
                    // side.
                    if let Ok(hello) = fawnspoke_frames::decode_hello::<Hello>(&packet)
                        && hello.rejection.is_some()
                    {
                        let (name, hello) = (hello.name.clone(), Box::new(hello));
                        let _ = self.events.send(Event::Rejected { name, rejected_id: own_id, hello });
                    }
                    break;
                };
                // Backpressure: reading pauses while the thread has too many bytes of frames to handle.
                let bytes = packet.len().max(1) as u32;
                let Ok(permit) = self.receive_budget.clone().acquire_many_owned(bytes).await else { break };
                let frame =
                    Event::Frame { from: id, connection: connection.number, frame, _receive_permit: permit };
                if self.events.send(frame).is_err() {
                    break;
                }
            }
        };
        tokio::select! { () = write => {} () = read => {} }
    }
}

/// Reports the end of a connection when dropped, also if its task is aborted.
struct ClosedGuard {
    connections: Connections,
    id: MemberId,
    number: u64,
}

impl Drop for ClosedGuard {
    fn drop(&mut self) {
        let _ = self.connections.events.send(Event::Closed(self.id, self.number));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_closed_connection_returns_its_bytes_to_the_send_budget() {
        let send_budget = Rc::new(Cell::new(1000));
        let new_connection = |send_budget: &Rc<Cell<usize>>| {
            let (queue, packets) = channel(SEND_QUEUE_PACKETS);
            (Connection { number: 1, queue, send_budget: send_budget.clone(), abort: Rc::default() }, packets)
        };
        for _ in 0..10 {
            let (connection, packets) = new_connection(&send_budget);
            assert!(
                connection.send(vec![0; 400])
                    && connection.send(vec![0; 400])
                    && !connection.send(vec![0; 400])
            );
            assert_eq!(send_budget.get(), 200);
            // The connection closes with both packets queued.
            drop(packets);
            drop(connection);
            assert_eq!(send_budget.get(), 1000);
        }
        let (connection, mut packets) = new_connection(&send_budget);
        for _ in 0..100 {
            assert!(connection.send(vec![0; 900]));
            assert_eq!(packets.try_recv().map(|queued| queued.packet.len()).ok(), Some(900));
        }
        assert!(!connection.send(vec![0; MAX_PACKET_BYTES + 1]));
    }
}
