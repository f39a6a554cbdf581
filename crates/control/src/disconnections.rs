//! Counts of callers that the control port disconnected before their request was complete, for one line in the log.

use std::fmt;
use std::time::Duration;

/// Why a caller was disconnected before its request was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectionCause {
    /// Another caller needed its connection.
    Evicted,
    /// Its time for the request was over.
    TimedOut,
}

/// What a disconnected caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DisconnectionReason {
    /// Why it is disconnected.
    pub cause: DisconnectionCause,
    /// For how long it was connected.
    pub connected_for: Duration,
}

impl fmt::Display for DisconnectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.connected_for.as_secs_f64();
        match self.cause {
            DisconnectionCause::TimedOut => write!(f, "no whole line within {seconds:.3} s"),
            DisconnectionCause::Evicted => {
                write!(f, "too many callers: disconnected after {seconds:.3} s without a whole line")
            }
        }
    }
}

/// Disconnected callers since the last line of the log about them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DisconnectionCounts {
    evicted: u32,
    /// Evicted callers that had sent a part of their request.
    evicted_with_bytes: u32,
    /// The shortest time that an evicted caller was connected.
    shortest_evicted: Option<Duration>,
    timed_out: u32,
}

impl DisconnectionCounts {
    /// Counts a caller that was connected for this long and has sent this many bytes. Returns whether it is the first one
    /// since the last line.
    pub fn add(&mut self, cause: DisconnectionCause, connected_for: Duration, bytes: usize) -> bool {
        let is_first = self.evicted + self.timed_out == 0;
        match cause {
            DisconnectionCause::TimedOut => self.timed_out += 1,
            DisconnectionCause::Evicted => {
                self.evicted += 1;
                self.evicted_with_bytes += u32::from(bytes > 0);
                let shortest = self.shortest_evicted.map_or(connected_for, |other| other.min(connected_for));
                self.shortest_evicted = Some(shortest);
            }
        }
        is_first
    }
}

impl fmt::Display for DisconnectionCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "callers without a whole line: {} timed out, {} disconnected for others",
            self.timed_out, self.evicted
        )?;
        if let Some(shortest) = self.shortest_evicted {
            let shortest = shortest.as_secs_f64();
            write!(f, " ({} had sent a part; after {shortest:.3} s at the least)", self.evicted_with_bytes)?;
        }
        Ok(())
    }
}
