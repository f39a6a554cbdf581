//! The clients' listening socket: bound here, or inherited from who started this process.

use crate::retry::{Retry, is_momentary};
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use tokio::net::TcpListener;

/// The descriptor that whoever started this process holds for it.
const VARIABLE: &str = "GW_INHERITED_FD";

/// The socket that clients connect to: inherited, else `given` by the process before, else bound here.
///
/// # Errors
/// One line that names the address or the variable, and what is wrong.
pub async fn open(at: SocketAddr, given: Option<OwnedFd>) -> Result<TcpListener, String> {
    let Ok(number) = std::env::var(VARIABLE) else {
        if let Some(given) = given {
            let listener = std::net::TcpListener::from(given);
            return TcpListener::from_std(listener).map_err(|error| format!("listen: handed over: {error}"));
        }
        return bind(at).await.map_err(|error| format!("listen: {at}: {error}"));
    };
    let wrong = |error: String| format!("{VARIABLE}: {number}: {error}");
    let listener = inherited(&number).map_err(wrong)?;
    listener.set_nonblocking(true).map_err(|error| wrong(error.to_string()))?;
    TcpListener::from_std(listener).map_err(|error| wrong(error.to_string()))
}

/// Listens at an address, once the machine has a socket for it.
async fn bind(at: SocketAddr) -> io::Result<TcpListener> {
    let mut retry = Retry::new();
    loop {
        match TcpListener::bind(at).await {
            Err(error) if is_momentary(&error) => match retry.next_pause() {
                Some((pause, _)) => tokio::time::sleep(pause).await,
                None => return Err(error),
            },
            bound => return bound,
        }
    }
}

/// A descriptor by its number. Owning one that something else of this process may own can't be had safely: the
/// kernel gives a copy of its own instead. The original stays open and counts.
fn inherited(number: &str) -> Result<std::net::TcpListener, String> {
    let number = number.trim().parse::<i32>().map_err(|error| error.to_string())?;
    let own = pidfd_open(getpid(), PidfdFlags::empty()).map_err(|error| format!("this process: {error}"))?;
    let copy = pidfd_getfd(own, number, PidfdGetfdFlags::empty()).map_err(|error| error.to_string())?;
    let listener = std::net::TcpListener::from(copy);
    listener.local_addr().map_err(|error| format!("no socket of this protocol: {error}"))?;
    Ok(listener)
}
