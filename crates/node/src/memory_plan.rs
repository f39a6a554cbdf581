//! How the memory limit of the process is divided. Each share is a number of bytes; what holds more than its share refuses
//! or waits.

use std::fmt;

/// The program itself: code, runtime, threads, the decision core, and a list of up to [`USUAL_ENDPOINTS`].
const PROGRAM_BYTES: u64 = 8_000_000;
const USUAL_ENDPOINTS: usize = 1000;
/// What each further listed endpoint costs in the directory and the decision core.
const ENDPOINT_BYTES: u64 = 1280;
/// During an upgrade two processes share the limit.
const PROCESSES: u64 = 2;
/// Of what is left, connections to endpoints get what the slots of the settings need up to the first share, and what the
/// descriptors allow up to the second one, in percent.
const MAX_SLOTS_PERCENT: u64 = 60;
const ENDPOINTS_PERCENT: u64 = 30;
/// Idle connections to endpoints that are planned beside the slots.
const MIN_IDLE_CONNECTIONS: usize = 32;
/// Shares of the rest, in percent. They count once for each process.
const CLIENTS_PERCENT: u64 = 20;
const MESSAGES_PERCENT: u64 = 30;
/// The state directory's files may use this share of the limit without the programs, in percent, however large the disk.
const FILES_PERCENT: u64 = 20;
/// Smallest rest that is divided: with it a longest request and a few calls find room.
const MIN_DIVISIBLE_BYTES: u64 = 6_000_000;
/// What a client connection costs without a request: its task, its state and its socket's registration.
const CONNECTION_BYTES: u64 = 2 * 1024;
/// Bytes of a request that each client connection may hold without asking: small requests never wait for memory.
pub const REQUEST_ALLOWANCE_BYTES: u64 = 2 * 1024;
/// Share of the clients' memory that connections use, in percent; the rest is for longer requests.
const CONNECTIONS_PERCENT: u64 = 75;
/// What a connection to an endpoint costs with a call on it, apart from the call's messages: tasks, and the buffers of the
/// HTTP library.
const ENDPOINT_CONNECTION_BYTES: u64 = 24 * 1024;
/// What a message costs in memory beyond its bytes in the journal.
pub const MESSAGE_OVERHEAD_BYTES: u64 = 704;

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
    /// Bytes that the journal's files may use.
    pub files: u64,
    /// Number of connections to endpoints that find room.
    pub max_endpoint_connections: usize,
    /// The least limit that is enough for the least shares.
    pub least: u64,
    /// Whether the limit is less than that, so that the process may pass it.
    pub is_too_small: bool,
}

/// What the settings ask for.
#[derive(Clone, Copy, Debug)]
pub struct MemoryDemand {
    /// The memory limit, in bytes.
    pub limit: u64,
    /// Space on disk, in bytes; the files count as memory.
    pub disk: u64,
    /// Client connections that the descriptors allow.
    pub client_connections: usize,
    /// Connections to endpoints that the descriptors allow.
    pub endpoint_connections: usize,
    /// Calls in flight at a time.
    pub slots: usize,
    /// Endpoints in the list of the configuration.
    pub listed_endpoints: usize,
}

impl MemoryDemand {
    /// What one process takes before it holds anything.
    fn program_bytes(&self) -> u64 {
        let further = self.listed_endpoints.saturating_sub(USUAL_ENDPOINTS) as u64;
        PROGRAM_BYTES.saturating_add(further.saturating_mul(ENDPOINT_BYTES))
    }
}

impl MemoryPlan {
    /// Divides the limit.
    pub fn new(demand: &MemoryDemand) -> MemoryPlan {
        let percent = |bytes: u64, share: u64| bytes / 100 * share;
        let without_programs = demand.limit.saturating_sub(demand.program_bytes().saturating_mul(PROCESSES));
        let divisible = without_programs.max(MIN_DIVISIBLE_BYTES);
        let files = demand.disk.min(percent(divisible, FILES_PERCENT));
        let rest = divisible - files;
        let wanted = |connections: usize| (connections as u64).saturating_mul(ENDPOINT_CONNECTION_BYTES);
        let for_slots =
            wanted(demand.slots.saturating_add(MIN_IDLE_CONNECTIONS)).min(percent(rest, MAX_SLOTS_PERCENT));
        let endpoints =
            wanted(demand.endpoint_connections).min(percent(rest, ENDPOINTS_PERCENT)).max(for_slots);
        let shared = rest - endpoints;
        let clients = percent(shared, CLIENTS_PERCENT);
        let bytes_per_connection = CONNECTION_BYTES + REQUEST_ALLOWANCE_BYTES;
        let affordable = (percent(clients, CONNECTIONS_PERCENT) / bytes_per_connection) as usize;
        let max_client_connections = demand.client_connections.min(affordable);
        MemoryPlan {
            limit: demand.limit,
            max_client_connections,
            requests: clients - max_client_connections as u64 * bytes_per_connection,
            messages: percent(shared, MESSAGES_PERCENT),
            files,
            max_endpoint_connections: (endpoints / ENDPOINT_CONNECTION_BYTES) as usize,
            least: demand.program_bytes().saturating_mul(PROCESSES).saturating_add(MIN_DIVISIBLE_BYTES),
            is_too_small: without_programs < MIN_DIVISIBLE_BYTES,
        }
    }
}

impl fmt::Display for MemoryPlan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let megabytes = |bytes: u64| bytes as f64 / 1e6;
        write!(
            formatter,
            "{:.1} MB: {} client connections, {:.1} MB for requests over {REQUEST_ALLOWANCE_BYTES} bytes, {:.1} MB for \
             messages, {} connections to endpoints, {:.1} MB of files",
            megabytes(self.limit),
            self.max_client_connections,
            megabytes(self.requests),
            megabytes(self.messages),
            self.max_endpoint_connections,
            megabytes(self.files),
        )?;
        if self.is_too_small {
            let least = megabytes(self.least);
            write!(
                formatter,
                "; limits.memory_mb: may be exceeded during an upgrade, at least {least:.1} expected"
            )?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::size_limits::MAX_REQUEST_BYTES;

    fn demand(memory_mb: u64) -> MemoryDemand {
        MemoryDemand {
            limit: memory_mb * 1_000_000,
            disk: 3_000_000,
            client_connections: 434,
            endpoint_connections: 570,
            slots: 100,
            listed_endpoints: 25,
        }
    }

    /// What two processes and the files use at most, where each of them uses all of its shares.
    fn most(plan: &MemoryPlan) -> u64 {
        let connections = plan.max_client_connections as u64 * (CONNECTION_BYTES + REQUEST_ALLOWANCE_BYTES);
        let each = PROGRAM_BYTES + connections + plan.requests + plan.messages;
        PROCESSES * each + plan.max_endpoint_connections as u64 * ENDPOINT_CONNECTION_BYTES + plan.files
    }

    #[test]
    fn the_sum_of_all_shares_stays_within_the_limit() {
        for memory_mb in 22..400 {
            for (disk, connections, slots) in
                [(0, 16, 1), (3_000_000, 434, 100), (3_000_000, 4000, 600), (1 << 40, 118, usize::MAX)]
            {
                let client_connections = connections;
                let plan =
                    MemoryPlan::new(&MemoryDemand { disk, client_connections, slots, ..demand(memory_mb) });
                assert!(!plan.is_too_small);
                assert!(most(&plan) <= plan.limit, "{plan}");
            }
        }
    }

    #[test]
    fn any_demand_is_divided() {
        for (limit, disk) in [(0, 0), (0, u64::MAX), (u64::MAX, 0), (u64::MAX, u64::MAX)] {
            let demand = MemoryDemand {
                limit,
                disk,
                client_connections: usize::MAX,
                endpoint_connections: usize::MAX,
                slots: usize::MAX,
                listed_endpoints: usize::MAX,
            };
            assert!(MemoryPlan::new(&demand).max_client_connections > 0);
        }
    }

    #[test]
    fn the_least_memory_of_the_pages_leaves_room_for_a_crowd_and_all_slots() {
        let plan = MemoryPlan::new(&demand(32));
        assert!(plan.max_client_connections >= 300, "{plan}");
        assert!(plan.requests >= 5 * MAX_REQUEST_BYTES as u64, "{plan}");
        assert!(plan.max_endpoint_connections >= 132, "{plan}");
        assert_eq!(plan.files, 3_000_000);
    }

    #[test]
    fn a_long_list_leaves_less_to_divide() {
        let long = MemoryPlan::new(&MemoryDemand { listed_endpoints: 3200, ..demand(32) });
        let usual = MemoryPlan::new(&demand(32));
        assert!(!long.is_too_small && long.max_client_connections >= 100, "{long}");
        let list = PROCESSES * 2200 * ENDPOINT_BYTES;
        assert!(most(&long) + list <= long.limit && long.messages < usual.messages, "{long}");
    }

    #[test]
    fn enough_memory_leaves_the_limits_to_the_descriptors() {
        let plan = MemoryPlan::new(&demand(192));
        assert_eq!((plan.max_client_connections, plan.max_endpoint_connections), (434, 570));
    }

    #[test]
    fn a_limit_that_is_too_small_is_named_and_leaves_room_for_a_longest_request() {
        for memory_mb in 0..22 {
            let plan = MemoryPlan::new(&demand(memory_mb));
            assert!(plan.is_too_small);
            assert!(plan.to_string().contains("limits.memory_mb: may be exceeded"), "{plan}");
            assert!(plan.requests >= MAX_REQUEST_BYTES as u64, "{plan}");
            assert!(plan.max_client_connections > 0 && plan.max_endpoint_connections > 0);
        }
    }
}
