//! Stand-ins for all that a dispatcher meets, faults on demand, and an auditor of the six rules.
//!
//! - [`record`]: what the stand-ins of a run saw.
//! - [`auditor`]: judges a record; shares no code with the dispatcher.

pub mod auditor;
pub mod command;
pub mod record;
