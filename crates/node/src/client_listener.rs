//! The clients' listening socket: inherited from the parent process, handed over by the previous process, or bound
//! here.

use crate::retry::{Retry, is_transient};
use fawnspoke_admission::LISTEN_BACKLOG;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use tokio::net::TcpListener;

/// Environment variable with the number of an inherited descriptor.
const INHERITED_FD_VARIABLE: &str = "GW_INHERITED_FD";

/// Opens the listening socket: an inherited one, else the one `handed_over` by the previous process, else a new one.
///
/// # Errors
/// One line that names the address or the variable, and the problem.
pub async fn open(address: SocketAddr, handed_over: Option<OwnedFd>) -> Result<TcpListener, String> {
    let Ok(number) = std::env::var(INHERITED_FD_VARIABLE) else {
        if let Some(handed_over) = handed_over {
            let listener = std::net::TcpListener::from(handed_over);
            return TcpListener::from_std(listener).map_err(|error| format!("listen: handed over: {error}"));
        }
        return bind(address).await.map_err(|error| format!("listen: {address}: {error}"));
    };
    let describe = |error: String| format!("{INHERITED_FD_VARIABLE}: {number}: {error}");
    let listener = open_inherited(&number).map_err(describe)?;
    listener.set_nonblocking(true).map_err(|error| describe(error.to_string()))?;
    TcpListener::from_std(listener).map_err(|error| describe(error.to_string()))
}

/// Binds an address, with retries while the machine is short of resources.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let mut retry = Retry::new();
    loop {
        match bind_once(address).await {
            Err(error) if is_transient(&error) => match retry.next_delay() {
                Some((delay, _)) => tokio::time::sleep(delay).await,
                None => return Err(error),
            },
            result => return result,
        }
    }
}

async fn bind_once(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await?;
    // The runtime's queue is shorter.
    rustix::net::listen(&listener, LISTEN_BACKLOG)?;
    Ok(listener)
}

/// Opens a descriptor by its number. Taking ownership of the number itself would be unsafe, since another part of the
/// process may own it, so the kernel duplicates the descriptor. The original stays open and counts towards the limit.
fn open_inherited(number: &str) -> Result<std::net::TcpListener, String> {
    let number = number.trim().parse::<i32>().map_err(|error| error.to_string())?;
    let own = pidfd_open(getpid(), PidfdFlags::empty()).map_err(|error| format!("this process: {error}"))?;
    let copy = pidfd_getfd(own, number, PidfdGetfdFlags::empty()).map_err(|error| error.to_string())?;
    let listener = std::net::TcpListener::from(copy);
    listener.local_addr().map_err(|error| format!("not a TCP socket: {error}"))?;
    Ok(listener)
}
