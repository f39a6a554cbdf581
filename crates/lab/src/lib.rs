//! Stand-ins for all that a dispatcher meets, faults on demand, and an auditor of the six rules.
//!
//! - [`scenario`] and [`script`]: what a run is made of, and what its seed makes of it.
//! - [`http`], [`endpoint`], [`partner`], [`platform`], [`clients`]: the stand-ins.
//! - [`process`]: dispatchers as processes. [`run`] plays a script.
//! - [`record`]: what the stand-ins of a run saw. [`auditor`] judges it; it shares no code with the dispatcher.
//! - [`stage`]: the stand-ins for tests that are not asynchronous.
//! - [`mod@bench`]: throughput and latency beside a plain [`proxy`].
//! - [`fleet`]: the sums over all dispatchers' logs; [`loss`]: what they say was lost, and to what.
//! - [`naive`]: a dispatcher that breaks rules on purpose.

pub mod auditor;
pub mod bench;
pub mod clients;
pub mod command;
pub mod door;
pub mod endpoint;
pub mod fleet;
pub mod history;
pub mod http;
pub mod killer;
pub mod layout;
pub mod ledger;
pub mod loss;
pub mod measures;
pub mod members;
pub mod mischief;
pub mod naive;
pub mod partner;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod record;
pub mod relay;
pub mod run;
pub mod scenario;
pub mod script;
pub mod stage;
pub mod table;
pub mod upgrader;
