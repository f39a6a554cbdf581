//! Connections: which idle one is kept, and when one is closed.
//! Guards small tables against a fleet, calls against connections that died unseen. Harm: new ones cost.

use super::pace::FEW;
use super::*;

/// A connection that is idle for less than this is as good as in use.
const IDLE_LEAST: f64 = 0.2;
/// What was learned of idle connections doubles back to the listed time in this time.
const IDLE_FORGET: f64 = 15.0;
/// An unsafe message goes on no connection that has been idle for longer.
pub(super) const IDLE_UNSAFE: f64 = 1.0;
/// After a failed connect idle connections are kept for half of this at most: others wait for a place.
const IDLE_MOST: f64 = 1.0;
/// Failures of idle connections in a row that tell of their being dropped: fewer may be the place's.
const DROPS_TO_TELL: u32 = 2;
/// Expected uses of an idle connection that are worth its place.
const USES_LEAST: f64 = 0.3;
/// Expected time of a new connection, as a handicap of endpoints without an idle one.
pub(super) const CONNECT_COST: f64 = 0.1;

impl Dispatcher {
    /// An idle one stays while its like prove good and a use is likely. False where a failure tells of it.
    pub(super) fn judge_connection(
        &mut self, now: Seconds, id: EndpointId, outcome: Outcome, idle: Seconds, kept: bool,
    ) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return true };
        let Some(destination) = self.destinations.get(&endpoint.destination) else { return true };
        let most = self.settings.keepalive.unwrap_or(f64::INFINITY);
        let hold = self.holds.entry(destination.kind).or_insert((most, now, 0));
        let known = (hold.0 * 2f64.powf((now - hold.1) / IDLE_FORGET)).min(most);
        let broke = matches!(outcome, Outcome::ConnectionReset | Outcome::TimedOut);
        let drops = match idle > IDLE_LEAST {
            true if broke => hold.2 + 1,
            true if outcome == Outcome::Served => 0,
            _ => hold.2,
        };
        let stale = broke && idle > IDLE_LEAST && drops >= DROPS_TO_TELL;
        let crowd = outcome == Outcome::ConnectFailed && endpoint.lane.pace.crowded();
        let keep = if crowd { known.min(IDLE_MOST) / 2.0 } else { known };
        let keep = if stale { keep.min(idle / 2.0) } else { keep };
        *hold = (keep, now, drops);
        if kept {
            let own = destination.demand.now(now, DEMAND_TIME) - 1.0 / DEMAND_TIME;
            let even = destination.lane.pace.even * destination.lane.pace.whole();
            let shares = (destination.batch * destination.endpoints.len().max(1)) as f64;
            let rate = own.max(even) / shares;
            // All idle ones are no more than the calls out, or than any table: so long that lets one stay.
            let room = (destination.lane.pace.even * FEW).max(rate * endpoint.lane.service.latency(now));
            let keep = if room < 1.0 { keep.min(-(1.0 - room).ln() / rate) } else { keep };
            let used = rate * keep >= USES_LEAST;
            endpoint.idle_since = Some(now);
            if keep < most || !used {
                self.closing.push((if used { now + keep } else { now }, id));
            }
        }
        !(stale && endpoint.lane.outage.fails == 0)
    }
}
