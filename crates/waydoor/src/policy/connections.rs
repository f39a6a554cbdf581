//! Idle connections: how long one is kept, and what a response on a reused one leaves open.
//!
//! Keeps the connections of a large fleet from filling small connection tables, and calls from using
//! connections that were dropped unnoticed. The cost is the time for new connections.

use super::rate_limit::SMALL_FLEET_SIZE;
use super::*;

/// A connection that was idle for a shorter time counts as in use.
const MIN_IDLE_SECONDS: f64 = 0.2;
/// The learned idle limit doubles in this time, up to the configured keep-alive.
const IDLE_LIMIT_DOUBLING_SECONDS: f64 = 15.0;
/// An unsafe message does not use a connection that was idle for longer.
pub(super) const MAX_IDLE_FOR_UNSAFE_SECONDS: f64 = 1.0;
/// After a failed connect in a large fleet, idle connections are kept for half of this at most, since other
/// dispatchers are waiting to connect.
const MAX_IDLE_IN_SHORTAGE_SECONDS: f64 = 1.0;
/// Consecutive failures on idle connections that show that idle connections are dropped; fewer may be
/// failures of the endpoint.
const MIN_IDLE_DROPS: u32 = 2;
/// Minimum expected number of uses for which an idle connection is kept.
const MIN_EXPECTED_USES: f64 = 0.3;
/// Expected time to open a connection; it counts against endpoints without an idle one.
pub(super) const CONNECT_COST_SECONDS: f64 = 0.1;

impl Dispatcher {
    /// Remembers that a message may have run in its current attempt.
    pub(super) fn attempt_may_have_run(&mut self, now: Seconds, id: MessageId, attempt: u32) {
        let Some(state) = self.messages.get_mut(&id).filter(|state| state.attempts == attempt + 1) else {
            return;
        };
        let Some(call) = state.call else { return };
        let sent_at = self.calls.get(&call.call).map_or(now, |call| call.sent_at);
        let zone = self.endpoints.get(&call.endpoint).map_or(0, |endpoint| endpoint.zone);
        state.may_have_run.get_or_insert((sent_at, zone));
    }

    /// Decides how long the connection of an ended call is kept: as long as idle ones prove usable and a use
    /// is likely. Returns false if the failure was caused by the idle connection.
    pub(super) fn track_idle_connection(
        &mut self, now: Seconds, id: EndpointId, outcome: Outcome, idle_time: Seconds, kept: bool,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return true };
        let Some(destination) = self.destinations.get(&endpoint.destination) else { return true };
        let keepalive = self.settings.keepalive.unwrap_or(f64::INFINITY);
        let idle_limit = self.idle_limits.entry(destination.kind).or_insert((keepalive, now, 0));
        let learned_limit =
            (idle_limit.0 * 2f64.powf((now - idle_limit.1) / IDLE_LIMIT_DOUBLING_SECONDS)).min(keepalive);
        let broke = matches!(outcome, Outcome::ConnectionReset | Outcome::TimedOut);
        let drop_count = match idle_time > MIN_IDLE_SECONDS {
            true if broke => idle_limit.2 + 1,
            true if outcome == Outcome::Served => 0,
            _ => idle_limit.2,
        };
        let was_dropped = broke && idle_time > MIN_IDLE_SECONDS && drop_count >= MIN_IDLE_DROPS;
        let in_shortage = outcome == Outcome::ConnectFailed && endpoint.target.rate_limiter.is_large_fleet();
        let keep_time =
            if in_shortage { learned_limit.min(MAX_IDLE_IN_SHORTAGE_SECONDS) / 2.0 } else { learned_limit };
        let keep_time = if was_dropped { keep_time.min(idle_time / 2.0) } else { keep_time };
        *idle_limit = (keep_time, now, drop_count);
        if kept {
            let own_rate =
                destination.demand.value_at(now, DEMAND_WINDOW_SECONDS) - 1.0 / DEMAND_WINDOW_SECONDS;
            let even_rate =
                destination.target.rate_limiter.even_share * destination.target.rate_limiter.total_capacity();
            let divisor = (destination.max_batch * destination.endpoints.len().max(1)) as f64;
            let rate = own_rate.max(even_rate) / divisor;
            // The idle connections of the whole fleet must not outnumber its calls in flight, or the number
            // that fits into every connection table: the time limits the probability that this dispatcher has
            // one.
            let max_idle = (destination.target.rate_limiter.even_share * SMALL_FLEET_SIZE)
                .max(rate * endpoint.target.stats.expected_latency(now));
            let keep_time =
                if max_idle < 1.0 { keep_time.min(-(1.0 - max_idle).ln() / rate) } else { keep_time };
            let worth_keeping = rate * keep_time >= MIN_EXPECTED_USES;
            endpoint.idle_since = Some(now);
            if keep_time < keepalive || !worth_keeping {
                self.idle_closes.push((if worth_keeping { now + keep_time } else { now }, id));
            }
        }
        !(was_dropped && endpoint.target.outage.consecutive_failures == 0)
    }
}
