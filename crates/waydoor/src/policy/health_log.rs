//! Log lines for changes of a target's health, each with its cause.
//!
//! Shows an operator when and why a target counted as unavailable. The number of lines of one process is
//! limited; the cost is that later changes are not logged.

use crate::interface::{DestinationId, EndpointId, Outcome};
use crate::state::{Dispatcher, Health};
use std::fmt;

/// Largest number of log lines of one process.
const MAX_LOG_LINES: u32 = 200;

/// The target that a rate limit applies to.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TargetName {
    Destination(DestinationId),
    Endpoint(EndpointId),
}

impl fmt::Display for TargetName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TargetName::Destination(id) => write!(f, "destination {}", id.0),
            TargetName::Endpoint(id) => write!(f, "endpoint {}", id.0),
        }
    }
}

/// Why a target's health changed.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HealthChangeCause {
    /// A call or a probe ended.
    CallEnded(Outcome),
    /// A call is unanswered for far longer than usual.
    NoResponse,
    /// A wait longer than that of any rate limit.
    LongRetryAfter,
    /// A previous process recorded an outage.
    OutageRestored,
    /// Operators had suspended the endpoint.
    EndpointRestored,
    /// The time after which a recovered target is warm has passed.
    WarmedUp,
}

impl fmt::Display for HealthChangeCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HealthChangeCause::CallEnded(outcome) => write!(f, "{outcome:?}"),
            other => write!(f, "{other:?}"),
        }
    }
}

impl Dispatcher {
    /// Adds a log line if the health of a target has changed.
    pub(crate) fn log_health_change(
        &mut self, target: TargetName, before: Health, after: Health, cause: HealthChangeCause,
    ) {
        let changed = std::mem::discriminant(&before) != std::mem::discriminant(&after);
        if changed && self.log_line_count < MAX_LOG_LINES {
            self.log_line_count += 1;
            self.log_lines.push(format!("{target}: {before:?} -> {after:?} after {cause}"));
        }
    }

    /// The target that the rate limit of an endpoint applies to, and its health.
    pub(crate) fn limited_target_health(&self, id: EndpointId) -> Option<(TargetName, Health)> {
        let endpoint = self.endpoints.get(&id)?;
        let destination = self.destinations.get(&endpoint.destination)?;
        Some(if destination.independent_endpoints {
            (TargetName::Endpoint(id), endpoint.target.outage.health)
        } else {
            (TargetName::Destination(endpoint.destination), destination.target.outage.health)
        })
    }
}
