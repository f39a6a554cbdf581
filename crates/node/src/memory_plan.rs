//! How the memory limit of the process is divided. Each share is a number of bytes; what holds more than its share refuses
//! or waits.

use std::fmt;

/// The program itself: code, runtime, threads, the decision core, the list of a usual fleet.
const PROGRAM_BYTES: u64 = 8_000_000;
/// During an upgrade two processes share the limit.
const PROCESSES: u64 = 2;
/// Shares of the rest, in percent. Clients' and messages' shares count once for each process.
const CLIENTS_PERCENT: u64 = 20;
const MESSAGES_PERCENT: u64 = 25;
const CALLS_PERCENT: u64 = 10;
/// Smallest rest that is divided: with it a longest request and a few calls find room.
const MIN_DIVISIBLE_BYTES: u64 = 4_000_000;
/// What a client connection costs without a request: its task, its state and its socket's registration.
const CONNECTION_BYTES: u64 = 2 * 1024;
/// Bytes of a request that each client connection may hold without asking: small requests never wait for memory.
pub const REQUEST_ALLOWANCE_BYTES: u64 = 2 * 1024;
/// Share of the clients' memory that connections use, in percent; the rest is for longer requests.
const CONNECTIONS_PERCENT: u64 = 70;
/// What a call in flight costs apart from its messages: its task, and the buffers of an HTTP connection.
const CALL_BYTES: u64 = 24 * 1024;

/// The shares of one process, in bytes unless said otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// The limit of the settings.
    pub limit: u64,
    /// Number of client connections that find room, each with its allowance.
    pub max_client_connections: usize,
    /// Requests beyond the allowances of their connections.
    pub requests: u64,
    /// Messages that are taken on and have not ended.
    pub messages: u64,
    /// Number of calls in flight that find room.
    pub max_calls: usize,
    /// Whether the limit is too small for the least shares, so that the process may pass it.
    pub is_too_small: bool,
}

impl MemoryPlan {
    /// Divides a limit. `file_bytes`: the files of the state directory, which count as memory; `max_connections`: client
    /// connections that the descriptors allow.
    pub fn new(limit: u64, file_bytes: u64, max_connections: usize) -> MemoryPlan {
        let rest = limit.saturating_sub(file_bytes).saturating_sub(PROCESSES * PROGRAM_BYTES);
        let divisible = rest.max(MIN_DIVISIBLE_BYTES);
        let share = |percent: u64| divisible / 100 * percent;
        let clients = share(CLIENTS_PERCENT);
        let bytes_per_connection = CONNECTION_BYTES + REQUEST_ALLOWANCE_BYTES;
        let affordable = (clients / 100 * CONNECTIONS_PERCENT / bytes_per_connection) as usize;
        let max_client_connections = max_connections.min(affordable);
        MemoryPlan {
            limit,
            max_client_connections,
            requests: clients - max_client_connections as u64 * bytes_per_connection,
            messages: share(MESSAGES_PERCENT),
            max_calls: (share(CALLS_PERCENT) / CALL_BYTES) as usize,
            is_too_small: rest < MIN_DIVISIBLE_BYTES,
        }
    }
}

impl fmt::Display for MemoryPlan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let megabytes = |bytes: u64| bytes as f64 / 1e6;
        write!(
            formatter,
            "{:.1} MB: {} client connections, {:.1} MB for requests over {} bytes, {:.1} MB for messages, {} calls",
            megabytes(self.limit),
            self.max_client_connections,
            megabytes(self.requests),
            REQUEST_ALLOWANCE_BYTES,
            megabytes(self.messages),
            self.max_calls,
        )?;
        if self.is_too_small {
            let least = PROCESSES * PROGRAM_BYTES + MIN_DIVISIBLE_BYTES;
            write!(
                formatter,
                "; limits.memory_mb: too small for an upgrade to stay within it, at least {:.1} and the state directory's \
                 disk_mb expected",
                megabytes(least)
            )?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::size_limits::MAX_REQUEST_BYTES;

    const FILE_BYTES: u64 = 3_000_000;

    /// What two processes and the files use at most, where each of them uses all of its shares.
    fn most(plan: &MemoryPlan, file_bytes: u64) -> u64 {
        let connections = plan.max_client_connections as u64 * (CONNECTION_BYTES + REQUEST_ALLOWANCE_BYTES);
        let each = PROGRAM_BYTES + connections + plan.requests + plan.messages;
        PROCESSES * each + plan.max_calls as u64 * CALL_BYTES + file_bytes
    }

    #[test]
    fn the_sum_of_all_shares_stays_within_the_limit() {
        for memory_mb in 23..400 {
            let limit = memory_mb * 1_000_000;
            for sockets in [16, 118, 434, 4000] {
                let plan = MemoryPlan::new(limit, FILE_BYTES, sockets);
                assert!(!plan.is_too_small);
                assert!(most(&plan, FILE_BYTES) <= limit, "{plan}");
            }
        }
    }

    #[test]
    fn any_limits_are_divided() {
        for limit in [0, u64::MAX] {
            for file_bytes in [0, u64::MAX] {
                assert!(MemoryPlan::new(limit, file_bytes, usize::MAX).max_client_connections > 0);
            }
        }
    }

    #[test]
    fn the_least_memory_of_the_pages_is_enough_for_all_connections_of_1024_descriptors() {
        let plan = MemoryPlan::new(32_000_000, FILE_BYTES, 434);
        assert_eq!(plan.max_client_connections, 434);
        assert!(plan.requests >= 8 * MAX_REQUEST_BYTES as u64, "{plan}");
        assert!(plan.messages >= FILE_BYTES, "{plan}");
    }

    #[test]
    fn a_limit_that_is_too_small_is_named_and_leaves_room_for_a_longest_request() {
        for memory_mb in 0..23 {
            let plan = MemoryPlan::new(memory_mb * 1_000_000, FILE_BYTES, 434);
            assert!(plan.is_too_small);
            assert!(plan.to_string().contains("limits.memory_mb: too small"), "{plan}");
            assert!(plan.requests >= MAX_REQUEST_BYTES as u64 && plan.max_client_connections >= 100);
            assert!(plan.max_calls > 0);
        }
    }
}
