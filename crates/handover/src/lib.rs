//! Zero-downtime upgrades: an old process hands a running dispatcher over to a new one.
//!
//! The old process (the *sender*) passes on its whole state at once and afterwards only finishes the calls that it
//! has in flight. The new process (the *receiver*) owns everything else from then on. The owner is the process that
//! holds the [`lock`] on the state directory; the kernel releases the lock when that process exits.
//!
//! - [`sender`] and [`receiver`]: the two sides as state machines without I/O: events in, actions out;
//! - [`frames`]: the messages between them;
//! - [`link`]: the Unix socket that carries the messages and the file descriptors sent along;
//! - [`lock`]: the file locks on the state directory.

pub mod frames;
pub mod link;
pub mod lock;
pub mod receiver;
pub mod sender;

/// A point in time or a duration, in seconds.
pub type Seconds = f64;
