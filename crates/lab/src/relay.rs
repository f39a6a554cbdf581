//! A TCP relay between two processes that can block, delay or reset its connections on demand.

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

/// Address to which a relay connects, once it is known.
pub type Target = Arc<Mutex<Option<SocketAddr>>>;

/// The faults of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkState {
    /// Whether data from the connecting side is blocked.
    pub forward_blocked: bool,
    /// Whether data from the accepting side is blocked.
    pub backward_blocked: bool,
    /// Delay of each chunk of data, in seconds.
    pub delay_s: f64,
    /// Counter of resets: each increment breaks all open connections, even in the middle of a frame.
    pub resets: u64,
}

/// A running relay; it runs until the test process exits.
#[derive(Clone)]
pub struct Relay {
    /// The address at which it listens.
    pub address: SocketAddr,
    link: Arc<watch::Sender<LinkState>>,
    relayed_bytes: Arc<AtomicU64>,
}

impl Relay {
    /// Starts a relay without faults on the stand-ins' runtime.
    ///
    /// # Errors
    /// Where it can't listen.
    pub fn start(target: Target) -> io::Result<Relay> {
        runtime_handle().block_on(Relay::start_async(target))
    }

    /// Starts a relay without faults on the current runtime.
    ///
    /// # Errors
    /// Where it can't listen.
    pub async fn start_async(target: Target) -> io::Result<Relay> {
        let link = Arc::new(watch::Sender::new(LinkState::default()));
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let (link_sender, relayed_bytes) = (link.clone(), Arc::new(AtomicU64::new(0)));
        let byte_counter = relayed_bytes.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                tokio::spawn(relay_connection(
                    caller,
                    target.clone(),
                    link_sender.subscribe(),
                    byte_counter.clone(),
                ));
            }
        });
        Ok(Relay { address, link, relayed_bytes })
    }

    /// Bytes that it has relayed in both directions.
    pub fn relayed_bytes(&self) -> u64 {
        self.relayed_bytes.load(Ordering::Relaxed)
    }

    /// Changes the faults of the link.
    pub fn set(&self, change: impl FnOnce(&mut LinkState)) {
        self.link.send_modify(change);
    }
}

/// Relays one connection until it ends or is reset.
async fn relay_connection(
    caller: TcpStream, target: Target, mut link: watch::Receiver<LinkState>, relayed_bytes: Arc<AtomicU64>,
) {
    // A connection is established only while neither direction is blocked.
    if link.wait_for(|link| !link.forward_blocked && !link.backward_blocked).await.is_err() {
        return;
    }
    let resets = link.borrow().resets;
    let address = *target.lock().unwrap_or_else(PoisonError::into_inner);
    let Some(address) = address else { return };
    let Ok(callee) = TcpStream::connect(address).await else { return };
    let _ = (caller.set_nodelay(true), callee.set_nodelay(true));
    let ((caller_in, caller_out), (callee_in, callee_out)) = (caller.into_split(), callee.into_split());
    let mut reset = link.clone();
    tokio::select! {
        () = copy_direction(caller_in, callee_out, link.clone(), &relayed_bytes, |link| link.forward_blocked) => {}
        () = copy_direction(callee_in, caller_out, link, &relayed_bytes, |link| link.backward_blocked) => {}
        _ = reset.wait_for(|link| link.resets != resets) => {}
    }
}

/// Copies data in one direction.
async fn copy_direction(
    mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut link: watch::Receiver<LinkState>,
    relayed_bytes: &AtomicU64, is_blocked: fn(&LinkState) -> bool,
) {
    let mut chunk = vec![0; 16 << 10];
    while let Ok(read) = from.read(&mut chunk).await {
        if read == 0 {
            return;
        }
        relayed_bytes.fetch_add(read as u64, Ordering::Relaxed);
        let delay = link.borrow().delay_s;
        if delay > 0.0 {
            sleep(Duration::from_secs_f64(delay)).await;
        }
        // Blocked data is delayed and not lost, as in a network that recovers.
        if link.wait_for(|link| !is_blocked(link)).await.is_err()
            || to.write_all(&chunk[..read]).await.is_err()
        {
            return;
        }
    }
}
