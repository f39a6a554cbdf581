//! One log line a second on what the process holds, while its memory grows or it closes clients' connections.

use crate::Node;
use crate::process_memory::{ProcessMemory, ProcessMemoryReader};
use waydoor::Seconds;

/// Growth of the peak memory that is worth a line.
const LOGGED_GROWTH_BYTES: u64 = 1_000_000;
const BYTES_PER_MB: f64 = 1e6;

/// What the process holds at one time.
#[derive(Clone, Copy, Debug, Default)]
struct Holders {
    memory: ProcessMemory,
    client_connections: usize,
    /// Of requests that are longer than the allowance of their connection.
    request_bytes: usize,
    /// Requests that wait for memory.
    waiting_requests: usize,
    open_messages: usize,
    /// Bytes that the journal needs for them.
    message_bytes: u64,
    calls: usize,
}

impl Holders {
    fn of(node: &Node) -> Holders {
        let journal = node.journal.borrow();
        Holders {
            memory: node.process_memory.get(),
            client_connections: node.clients.count(),
            request_bytes: node.clients.memory.leased_bytes(),
            waiting_requests: node.clients.memory.waiting(),
            open_messages: journal.open_messages(),
            message_bytes: journal.live_bytes(),
            calls: node.calls_in_flight.get(),
        }
    }
}

/// Decides which seconds are logged.
#[derive(Default)]
pub struct ResourceLog {
    logged_peak: u64,
    memory: ProcessMemoryReader,
}

impl ResourceLog {
    /// Reads the memory of the process, and returns the line of this second if there is one.
    pub fn take_line(&mut self, node: &Node, now: Seconds) -> Option<String> {
        node.process_memory.set(self.memory.read());
        self.line(now, &Holders::of(node), node.config.limits.memory_mb, node.clients.closes.take())
    }

    fn line(
        &mut self, now: Seconds, holders: &Holders, memory_mb: f64, closes: Option<String>,
    ) -> Option<String> {
        let Holders { memory, client_connections, open_messages, message_bytes, calls, .. } = *holders;
        let Holders { request_bytes, waiting_requests, .. } = *holders;
        let has_grown = memory.peak >= self.logged_peak + LOGGED_GROWTH_BYTES;
        if !has_grown && closes.is_none() {
            return None;
        }
        self.logged_peak = memory.peak;
        let megabytes = |bytes: u64| bytes as f64 / BYTES_PER_MB;
        let closes = closes.map_or_else(String::new, |closes| format!("; connections closed: {closes}"));
        Some(format!(
            "{now:.3} memory: {:.1} MB, at most {:.1} of {memory_mb:.1} MB; {client_connections} client connections, \
             {:.1} MB of requests ({waiting_requests} wait), {open_messages} messages ({:.1} MB), {calls} calls{closes}",
            megabytes(memory.resident),
            megabytes(memory.peak),
            megabytes(request_bytes as u64),
            megabytes(message_bytes),
        ))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn growth_and_closed_connections_are_logged() {
        let mut log = ResourceLog::default();
        let memory = ProcessMemory { resident: 6_000_000, peak: 9_500_000 };
        let mut holders = Holders { memory, client_connections: 3, ..Holders::default() };
        let line = log.line(2.0, &holders, 32.0, None).unwrap();
        assert_eq!(
            line,
            "2.000 memory: 6.0 MB, at most 9.5 of 32.0 MB; 3 client connections, 0.0 MB of requests (0 wait), \
             0 messages (0.0 MB), 0 calls"
        );
        assert_eq!(log.line(3.0, &holders, 32.0, None), None);
        let line = log.line(4.0, &holders, 32.0, Some("displaced=1".into())).unwrap();
        assert!(line.ends_with("; connections closed: displaced=1"), "{line}");
        holders.memory.peak += 1_000_000;
        assert!(log.line(5.0, &holders, 32.0, None).is_some());
    }
}
