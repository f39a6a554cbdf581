//! Test lab for dispatchers: stand-ins for every outside system, fault injection, and an auditor of the six
//! delivery rules.
//!
//! - [`scenario`] and [`script`]: the settings of a run, and the arrivals and faults that its seed generates.
//! - [`http`], [`endpoint`], [`partner`], [`platform`], [`clients`]: the stand-ins. [`message_registry`]: the
//!   messages that clients and partners share.
//! - [`process`]: dispatchers as processes. [`runner`]: plays a script against them.
//! - [`killer`] and [`upgrader`]: repeated kills and upgrades. [`fleet_faults`]: faults between members of a
//!   fleet.
//! - [`record`]: what the stand-ins observed in a run. [`auditor`]: judges a record; it shares no code with
//!   the dispatcher. [`history`]: checks what fleet members logged.
//! - [`blocking`]: the stand-ins for tests that are not asynchronous. [`test_fleet`]: a fleet of processes
//!   for such tests. [`relay`]: the links between its members. [`topology`]: who connects to whom.
//! - [`mod@bench`]: throughput and latency compared with a plain [`proxy`]. [`control_latency`]: response
//!   times of the control port. [`fleet_measurements`]: failover times and the cost of a fleet.
//! - [`fleet_counters`]: sums of the traffic counters in all dispatchers' logs; [`loss`]: what was lost and
//!   why; [`summary`]: the result of a run as text.
//! - [`naive`]: a dispatcher that breaks rules on purpose.
//! - [`command`]: the `lab` subcommands of the program.

pub mod auditor;
pub mod bench;
pub mod blocking;
pub mod clients;
pub mod command;
pub mod control_latency;
pub mod endpoint;
pub mod fleet_counters;
pub mod fleet_faults;
pub mod fleet_measurements;
pub mod history;
pub mod http;
pub mod killer;
pub mod loss;
pub mod message_registry;
pub mod misplaced;
pub mod naive;
pub mod partner;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod record;
pub mod relay;
pub mod runner;
pub mod scenario;
pub mod script;
pub mod summary;
pub mod test_fleet;
pub mod topology;
pub mod upgrader;
