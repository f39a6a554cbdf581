//! Outages beyond one process: records them in the journal, and continues those of the previous process and
//! those that operators caused.
//!
//! Keeps a restarted dispatcher from sending a backlog to a target that is unavailable or cold. The cost is a
//! delay at a target that recovered meanwhile.

use super::*;

impl Dispatcher {
    /// Records the start or end of an outage, so that the next process does not send a whole backlog at once.
    pub(super) fn record_outage_change(&mut self, id: DestinationId) {
        let Some(destination) = self.destinations.get_mut(&id) else { return };
        // A dispatcher of a large fleet seldom sees more of an outage than makes the target suspect.
        let is_cold = |target: &TargetState| match target.outage.health {
            Health::Healthy => false,
            Health::Suspect => target.rate_limiter.is_large_fleet(),
            Health::Unavailable | Health::Recovering(_) => true,
        };
        let mut endpoints = destination.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        let ongoing = if destination.independent_endpoints {
            endpoints.any(|e| is_cold(&e.target))
        } else {
            is_cold(&destination.target)
        };
        if ongoing != destination.outage_recorded {
            destination.outage_recorded = ongoing;
            self.pending_actions.push(Action::RecordOutage { destination: id, ongoing });
        }
    }

    /// A destination that was unavailable when the previous process ended gets trials first and counts as
    /// cold when it serves. The cost is a delay at one that recovered long before.
    pub(super) fn restore_outage(&mut self, now: Seconds, id: DestinationId) {
        let Some(destination) = self.destinations.get_mut(&id) else { return };
        if destination.endpoints.is_empty() || !self.recovered_outages.remove(&id) {
            return;
        }
        destination.outage_recorded = true;
        let before = destination.target.outage.health;
        let target = TargetName::Destination(id);
        self.update_own_share(now, id);
        self.for_each_limited_target(id, |target, slow_start, rng| {
            target.mark_unproven(now, slow_start, rng)
        });
        self.log_health_change(target, before, Health::Unavailable, HealthChangeCause::OutageRestored);
    }

    /// An endpoint that operators had suspended gets trials first and counts as cold when it serves.
    /// Endpoints of the destination that served meanwhile are not affected.
    pub(super) fn endpoint_restored(&mut self, now: Seconds, id: EndpointId) {
        let before = self.limited_target_health(id);
        let Some(destination_id) = self.endpoints.get(&id).map(|e| e.destination) else { return };
        self.update_own_share(now, destination_id);
        let (slow_start, rng) = (&self.settings.slow_start, &mut self.rng);
        self.endpoints.entry(id).and_modify(|e| e.target.mark_unproven(now, slow_start, rng));
        let Some(destination) = self.destinations.get_mut(&destination_id) else { return };
        if !destination.independent_endpoints && destination.endpoints.len() == 1 {
            destination.target.mark_unproven(now, slow_start, rng);
        }
        if let (Some((target, before)), Some((_, after))) = (before, self.limited_target_health(id)) {
            self.log_health_change(target, before, after, HealthChangeCause::EndpointRestored);
        }
        self.record_outage_change(destination_id);
    }
}
