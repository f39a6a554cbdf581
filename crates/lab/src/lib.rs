//! Stand-ins for all that a dispatcher meets, faults on demand, and an auditor.

pub mod command;
