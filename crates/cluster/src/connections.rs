//! The connections between members: TCP, one a pair, a length before each packet. A peer that is slow, silent or sends
//! what nobody can read costs its own link and nothing else.

use crate::MemberId;
use crate::config::FleetConfig;
use crate::wire::{Frame, HELLO_TIME, Hello, PACKET_MOST};
use bytes::Bytes;
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

/// Packets in a link's queue; a frame more is dropped, as one that was lost.
const QUEUE: usize = 256;
/// A packet is written by then, or the link ends.
const WRITE_TIME: Duration = Duration::from_secs(5);
/// A connection comes up by then.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Before a member is called again.
const AGAIN: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));
/// After a refusal.
const REFUSED: Duration = Duration::from_secs(1);
/// Connections that have not said hello yet.
const STRANGERS_MOST: usize = 32;
/// Nothing for so many terms, and the link is dead.
const SILENT_TERMS: f64 = 4.0;

/// What the thread hears of links.
pub enum Event {
    /// The other side's hello has come: whether to speak with it goes back, as a hello of the own or a refusal in one.
    Hello {
        /// What it says.
        hello: Box<Hello>,
        /// This side called, so its hello has gone already and was accepted by the other.
        called: bool,
        /// The own answer; the frames that go out, once it is accepted.
        answer: oneshot::Sender<(Hello, bool)>,
        /// The link, for sending.
        link: Connection,
    },
    /// A frame.
    Frame {
        /// From whom.
        from: MemberId,
        /// The link's number.
        link: u64,
        /// What it says.
        frame: Frame,
        /// Its part of what may wait to be heard.
        _unheard: OwnedSemaphorePermit,
    },
    /// A link has ended.
    Ended(MemberId, u64),
    /// The other side does not speak with this one.
    Refused {
        /// Its name.
        name: String,
        /// The own birth that is not spoken with; this member may have another by now.
        refused: MemberId,
        /// Why.
        hello: Box<Hello>,
    },
}

/// A packet that waits to be sent. However its link ends, what it took of the room is free again.
struct Queued {
    packet: Vec<u8>,
    room: Rc<Cell<usize>>,
}

impl Queued {
    /// Takes its part of the room of all queues, where there is as much.
    fn new(packet: Vec<u8>, room: &Rc<Cell<usize>>) -> Option<Queued> {
        room.set(room.get().checked_sub(packet.len())?);
        Some(Queued { packet, room: room.clone() })
    }
}

impl Drop for Queued {
    fn drop(&mut self) {
        self.room.set(self.room.get() + self.packet.len());
    }
}

/// A link, for sending.
#[derive(Clone)]
pub struct Connection {
    /// Counts the links of this process.
    pub number: u64,
    queue: Sender<Queued>,
    /// Bytes that all queues together may take yet.
    room: Rc<Cell<usize>>,
    abort: Rc<RefCell<Option<AbortHandle>>>,
}

impl Connection {
    /// Sends a frame, unless the queue is full: then it is lost.
    pub fn send(&self, packet: Vec<u8>) -> bool {
        let fits = packet.len() <= PACKET_MOST;
        let queued = Some(packet).filter(|_| fits).and_then(|packet| Queued::new(packet, &self.room));
        queued.is_some_and(|queued| self.queue.try_send(queued).is_ok())
    }

    /// Ends it.
    pub fn end(&self) {
        if let Some(task) = self.abort.borrow_mut().take() {
            task.abort();
        }
    }
}

/// What all links share.
#[derive(Clone)]
pub struct Connections {
    file: Rc<FleetConfig>,
    name: Rc<str>,
    events: UnboundedSender<Event>,
    count: Rc<Cell<u64>>,
    strangers: Rc<Cell<usize>>,
    /// Bytes that all queues together may take yet.
    room: Rc<Cell<usize>>,
    /// Bytes that were read and that the thread has not heard yet, as permits.
    unheard: Arc<Semaphore>,
    /// The hello of now, but for whom it is.
    hello: Rc<RefCell<Option<Hello>>>,
}

fn codec(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    // Small frames that others wait for.
    let _ = stream.set_nodelay(true);
    LengthDelimitedCodec::builder().max_frame_length(PACKET_MOST).new_framed(stream)
}

impl Connections {
    /// None yet.
    pub fn new(file: Rc<FleetConfig>, name: &str, events: UnboundedSender<Event>) -> Connections {
        let most = (file.memory_mb * 1e6 / 2.0) as usize;
        Connections {
            file,
            name: name.into(),
            events,
            count: Rc::default(),
            strangers: Rc::default(),
            room: Rc::new(Cell::new(most)),
            unheard: Arc::new(Semaphore::new(most.min(Semaphore::MAX_PERMITS))),
            hello: Rc::default(),
        }
    }

    /// Listens, and calls whom this member has to call, for as long as the thread runs. `hello` is asked for anew at each
    /// call.
    ///
    /// # Errors
    /// Where the address can't be listened at.
    pub async fn open(&self) -> io::Result<Option<SocketAddr>> {
        let mut at = None;
        let listens = self.file.member.keys().any(|other| self.file.dials(other, &self.name));
        if let Some(me) = self.file.member.get(&*self.name).filter(|_| listens) {
            let listener = TcpListener::bind(me.listen.unwrap_or(me.at)).await?;
            at = Some(listener.local_addr()?);
            spawn_local(self.clone().accept(listener));
        }
        for (name, peer) in self.file.member.iter().filter(|(name, _)| self.file.dials(&self.name, name)) {
            spawn_local(self.clone().call(name.clone(), peer.at));
        }
        Ok(at)
    }

    /// What this member says of itself from now on; nobody is called before the first.
    pub fn present(&self, hello: Hello) {
        self.hello.replace(Some(hello));
    }

    fn link(&self) -> (Connection, Receiver<Queued>) {
        let (queue, frames) = channel(QUEUE);
        self.count.set(self.count.get() + 1);
        let (number, room) = (self.count.get(), self.room.clone());
        (Connection { number, queue, room, abort: Rc::default() }, frames)
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(AGAIN.0).await;
                continue;
            };
            if self.strangers.get() >= STRANGERS_MOST {
                continue;
            }
            self.strangers.set(self.strangers.get() + 1);
            let links = self.clone();
            let (link, frames) = self.link();
            let abort = link.abort.clone();
            let task = spawn_local(async move {
                let mut wire = codec(stream);
                let patience = Duration::from_secs_f64(HELLO_TIME);
                let greeted = timeout(patience, links.greeted(&mut wire, link.clone())).await.ok().flatten();
                links.strangers.set(links.strangers.get() - 1);
                if let Some((id, own)) = greeted {
                    links.run(id, own, wire, &link, frames).await;
                }
            });
            abort.replace(Some(task.abort_handle()));
        }
    }

    /// Waits for a caller's hello and answers it: its birth, and the own one that it was told.
    async fn greeted(
        &self, wire: &mut Framed<TcpStream, LengthDelimitedCodec>, link: Connection,
    ) -> Option<(MemberId, MemberId)> {
        let packet = wire.next().await?.ok()?;
        let hello: Hello = fawnspoke_frames::decode_hello(&packet).ok()?;
        let id = hello.id;
        let (answer, answered) = oneshot::channel();
        let hello = Box::new(hello);
        self.events.send(Event::Hello { hello, called: false, answer, link }).ok()?;
        let (own, accepted) = answered.await.ok()?;
        wire.send(Bytes::from(fawnspoke_frames::encode_hello(&own).ok()?)).await.ok()?;
        accepted.then_some((id, own.id))
    }

    /// Calls one member over and over.
    async fn call(self, name: String, at: SocketAddr) {
        let mut pause = AGAIN.0;
        loop {
            let (link, frames) = self.link();
            let (links, other) = (self.clone(), name.clone());
            let abort = link.abort.clone();
            let task = spawn_local(async move { links.once(&other, at, link, frames).await });
            abort.replace(Some(task.abort_handle()));
            match task.await {
                Ok(Some(true)) => pause = AGAIN.0,
                Ok(Some(false)) => pause = REFUSED,
                _ => pause = (pause * 2).min(AGAIN.1),
            }
            sleep(pause).await;
        }
    }

    /// One connection to its end: whether the other side spoke; nothing where it never came up.
    async fn once(
        &self, name: &str, at: SocketAddr, link: Connection, frames: Receiver<Queued>,
    ) -> Option<bool> {
        let hello = Hello { to: name.into(), ..self.hello.borrow().clone()? };
        let patience = Duration::from_secs_f64(HELLO_TIME);
        let stream = timeout(CONNECT_TIME, TcpStream::connect(at)).await.ok()?.ok()?;
        let mut wire = codec(stream);
        let said = async {
            wire.send(Bytes::from(fawnspoke_frames::encode_hello(&hello).ok()?)).await.ok()?;
            let packet = wire.next().await?.ok()?;
            fawnspoke_frames::decode_hello::<Hello>(&packet).ok()
        };
        let theirs = Box::new(timeout(patience, said).await.ok().flatten()?);
        if theirs.rejection.is_some() {
            let _ = self.events.send(Event::Refused { name: name.into(), refused: hello.id, hello: theirs });
            return Some(false);
        }
        let id = theirs.id;
        let (answer, answered) = oneshot::channel();
        self.events.send(Event::Hello { hello: theirs, called: true, answer, link: link.clone() }).ok()?;
        let (own, accepted) = answered.await.ok()?;
        if !accepted {
            // The one that was called learns why.
            let _ = wire.send(Bytes::from(fawnspoke_frames::encode_hello(&own).ok()?)).await;
            return Some(false);
        }
        self.run(id, own.id, wire, &link, frames).await;
        Some(true)
    }

    /// Carries frames both ways until one side ends.
    async fn run(
        &self, id: MemberId, own: MemberId, wire: Framed<TcpStream, LengthDelimitedCodec>, link: &Connection,
        mut frames: Receiver<Queued>,
    ) {
        let _ended = Ended { links: self.clone(), id, number: link.number };
        let (mut sink, mut source) = wire.split::<Bytes>();
        let silent = Duration::from_secs_f64(SILENT_TERMS * self.file.term_s);
        let write = async {
            // What waits when the link ends is lost with it.
            while let Some(queued) = frames.recv().await {
                let packet = Bytes::copy_from_slice(&queued.packet);
                if !matches!(timeout(WRITE_TIME, sink.send(packet)).await, Ok(Ok(()))) {
                    break;
                }
            }
        };
        let read = async {
            while let Ok(Some(Ok(packet))) = timeout(silent, source.next()).await {
                let Ok(frame) = fawnspoke_frames::decode::<Frame>(&packet) else {
                    // What can't be read ends its link, and so does a caller's refusal.
                    if let Ok(hello) = fawnspoke_frames::decode_hello::<Hello>(&packet)
                        && hello.rejection.is_some()
                    {
                        let (name, hello) = (hello.name.clone(), Box::new(hello));
                        let _ = self.events.send(Event::Refused { name, refused: own, hello });
                    }
                    break;
                };
                // A peer that says more than is heard waits, and its socket with it.
                let bytes = packet.len().max(1) as u32;
                let Ok(unheard) = self.unheard.clone().acquire_many_owned(bytes).await else { break };
                let frame = Event::Frame { from: id, link: link.number, frame, _unheard: unheard };
                if self.events.send(frame).is_err() {
                    break;
                }
            }
        };
        tokio::select! { () = write => {} () = read => {} }
    }
}

/// Tells that a link has ended, however it did.
struct Ended {
    links: Connections,
    id: MemberId,
    number: u64,
}

impl Drop for Ended {
    fn drop(&mut self) {
        let _ = self.links.events.send(Event::Ended(self.id, self.number));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_a_link_took_of_the_room_is_free_once_it_has_ended() {
        let room = Rc::new(Cell::new(1000));
        let link = |room: &Rc<Cell<usize>>| {
            let (queue, frames) = channel(QUEUE);
            (Connection { number: 1, queue, room: room.clone(), abort: Rc::default() }, frames)
        };
        for _ in 0..10 {
            let (link, frames) = link(&room);
            assert!(link.send(vec![0; 400]) && link.send(vec![0; 400]) && !link.send(vec![0; 400]));
            assert_eq!(room.get(), 200);
            // The link ends with both in its queue.
            drop(frames);
            drop(link);
            assert_eq!(room.get(), 1000);
        }
        let (link, mut frames) = link(&room);
        for _ in 0..100 {
            assert!(link.send(vec![0; 900]));
            assert_eq!(frames.try_recv().map(|queued| queued.packet.len()).ok(), Some(900));
        }
        assert!(!link.send(vec![0; PACKET_MOST + 1]));
    }
}
