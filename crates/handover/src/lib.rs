//! Two processes, one dispatcher: an upgrade that loses nothing.
//!
//! The old process (the *giver*) hands all over at once and then only finishes the calls that are out; the new one
//! (the *taker*) owns the rest from then on. Who owns is who holds the [`lock`] on the folder that lasts: the kernel
//! frees it with its process.
//!
//! - [`sender`] and [`receiver`]: the two sides as state machines, free of I/O: events in, actions out;
//! - [`frames`]: what passes between them;
//! - [`link`]: the socket over which it passes, descriptors with it;
//! - [`lock`]: the lock.

pub mod frames;
pub mod link;
pub mod lock;
pub mod receiver;
pub mod sender;

/// A point on a clock, or a span, in seconds.
pub type Seconds = f64;
