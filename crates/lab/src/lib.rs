//! Stand-ins for all that a dispatcher meets, faults on demand, and an auditor of the six rules.
//!
//! - [`scenario`] and [`script`]: what a run is made of, and what its seed makes of it.
//! - [`http`], [`endpoint`], [`partner`], [`platform`], [`clients`]: the stand-ins.
//! - [`process`]: dispatchers as processes. [`runner`] plays a script.
//! - [`record`]: what the stand-ins of a run saw. [`auditor`] judges it; it shares no code with the dispatcher.
//! - [`blocking`]: the stand-ins for tests that are not asynchronous.
//! - [`mod@bench`]: throughput and latency beside a plain [`proxy`].
//! - [`fleet_counters`]: the sums over all dispatchers' logs; [`loss`]: what they say was lost, and to what.
//! - [`naive`]: a dispatcher that breaks rules on purpose.

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
