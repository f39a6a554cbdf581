//! A relay between two processes: what it carries each way may be held up, slowed or broken off, on demand.

use crate::blocking::runtime_handle;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Where a relay leads, once that is known.
pub type Target = Arc<Mutex<Option<SocketAddr>>>;

/// What a relay does to what it carries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// What the caller says is held up.
    pub forward_blocked: bool,
    /// What the called one says is held up.
    pub backward_blocked: bool,
    /// Each piece comes so much later, in seconds.
    pub delay_s: f64,
    /// Counts the times at which all connections break off; in the middle of a frame, if one is under way.
    pub resets: u64,
}

/// A relay. It ends with its process.
#[derive(Clone)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    way: Arc<watch::Sender<LinkState>>,
    carried: Arc<AtomicU64>,
}

impl Relay {
    /// Starts one that carries all as it comes.
    ///
    /// # Errors
    /// Where it can't listen.
    pub fn start(target: Target) -> io::Result<Relay> {
        runtime_handle().block_on(Relay::start_async(target))
    }

    /// The same, on the runtime that runs.
    ///
    /// # Errors
    /// Where it can't listen.
    pub async fn start_async(target: Target) -> io::Result<Relay> {
        let way = Arc::new(watch::Sender::new(LinkState::default()));
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let at = listener.local_addr()?;
        let (ways, carried) = (way.clone(), Arc::new(AtomicU64::new(0)));
        let counted = carried.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(carry(caller, target.clone(), ways.subscribe(), counted.clone()));
            }
        });
        Ok(Relay { address: at, way, carried })
    }

    /// Bytes that it has carried, both ways.
    pub fn relayed_bytes(&self) -> u64 {
        self.carried.load(Ordering::Relaxed)
    }

    /// From now on.
    pub fn set(&self, change: impl FnOnce(&mut LinkState)) {
        self.way.send_modify(change);
    }
}

async fn carry(
    caller: TcpStream, target: Target, mut way: watch::Receiver<LinkState>, carried: Arc<AtomicU64>,
) {
    // A connection comes up only where both ways are open.
    if way.wait_for(|way| !way.forward_blocked && !way.backward_blocked).await.is_err() {
        return;
    }
    let resets = way.borrow().resets;
    let at = *target.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(at) = at else { return };
    let Ok(called) = TcpStream::connect(at).await else { return };
    let _ = (caller.set_nodelay(true), called.set_nodelay(true));
    let ((caller_in, caller_out), (called_in, called_out)) = (caller.into_split(), called.into_split());
    let mut reset = way.clone();
    tokio::select! {
        () = pump(caller_in, called_out, way.clone(), &carried, |way| way.forward_blocked) => {}
        () = pump(called_in, caller_out, way, &carried, |way| way.backward_blocked) => {}
        _ = reset.wait_for(|way| way.resets != resets) => {}
    }
}

async fn pump(
    mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut way: watch::Receiver<LinkState>,
    carried: &AtomicU64, cut: fn(&LinkState) -> bool,
) {
    let mut piece = vec![0; 16 << 10];
    while let Ok(read) = from.read(&mut piece).await {
        if read == 0 {
            return;
        }
        carried.fetch_add(read as u64, Ordering::Relaxed);
        let delay = way.borrow().delay_s;
        if delay > 0.0 {
            sleep(Duration::from_secs_f64(delay)).await;
        }
        // It is held up and not lost, as by a network that comes back.
        if way.wait_for(|way| !cut(way)).await.is_err() || to.write_all(&piece[..read]).await.is_err() {
            return;
        }
    }
}
