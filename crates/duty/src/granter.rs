//! The leader's side: which member is granted a duty, and when an expired lease may be granted again.

use crate::lease_table::{DutyId, Entry, LeaseTable};
use crate::{MemberId, SafetyRules, Seconds};
use fawnspoke_cluster::config::guard_time;
use fawnspoke_cluster::members::Members;
use rendezvous_hash::{IdNode, RendezvousNodes};
use std::collections::{BTreeMap, VecDeque};

/// A member whose leases expired this many times ...
const MAX_EXPIRATIONS: usize = 3;
/// ... within this time is granted nothing until the window has passed, in seconds.
const EXPIRATION_WINDOW_SECONDS: Seconds = 60.0;
/// A grant that has not been applied after this share of a lease term is proposed again.
const RETRY_TERM_SHARE: f64 = 0.25;

/// The leader's record of members' lease terms. It is kept in memory only: the next leader starts without it and
/// waits.
#[derive(Clone, Debug)]
pub struct LeaseGranter {
    term: Seconds,
    guard: Seconds,
    rules: SafetyRules,
    /// Since when this member has been the leader; `None` if it is not.
    leading_since: Option<Seconds>,
    /// When the last renewal request of each member arrived.
    last_renewals: BTreeMap<MemberId, Seconds>,
    /// Members that released a duty recently, and until when they are granted nothing.
    excluded_until: BTreeMap<MemberId, Seconds>,
    /// When each member last lost duties because its lease term had expired.
    expirations: BTreeMap<MemberId, VecDeque<Seconds>>,
    /// Proposed grants: the epoch on which each was decided, and when it was last proposed.
    pending_grants: BTreeMap<DutyId, (u64, Seconds)>,
}

impl LeaseGranter {
    /// A granter on a member that is not the leader.
    pub fn new(term: Seconds, max_clock_error: f64, rules: SafetyRules) -> LeaseGranter {
        let guard = guard_time(term, if rules.guard_covers_drift { max_clock_error } else { 0.0 });
        LeaseGranter {
            term,
            guard,
            rules,
            leading_since: None,
            last_renewals: BTreeMap::new(),
            excluded_until: BTreeMap::new(),
            expirations: BTreeMap::new(),
            pending_grants: BTreeMap::new(),
        }
    }

    /// This member has become the leader or has stopped being it. `now` was read after the votes were cast.
    pub fn set_leading(&mut self, now: Seconds, is_leader: bool) {
        self.leading_since = is_leader.then_some(now);
        self.last_renewals.clear();
        self.excluded_until.clear();
        self.pending_grants.clear();
    }

    /// A member's renewal request has arrived. `now` was read after its arrival.
    pub fn renewal_received(&mut self, now: Seconds, member: MemberId) {
        self.last_renewals.insert(member, now);
    }

    /// A member released a duty: it is shutting down, or cannot use the duty at present.
    pub fn duty_released(&mut self, now: Seconds, member: MemberId) {
        self.excluded_until.insert(member, now + self.term);
    }

    /// Whether any lease term that the member may have has certainly expired on its own clock.
    pub fn has_expired(&self, now: Seconds, member: MemberId) -> bool {
        let Some(leading_since) = self.leading_since else { return false };
        let last_renewal = self.last_renewals.get(&member).copied();
        let start = if self.rules.new_leader_waits {
            last_renewal.unwrap_or(leading_since).max(leading_since)
        } else {
            last_renewal.unwrap_or(0.0)
        };
        now >= start + self.guard
    }

    /// Whether a member may be granted a duty.
    fn is_eligible(&self, now: Seconds, member: MemberId) -> bool {
        let is_reachable = self.last_renewals.get(&member).is_some_and(|at| now < at + self.term);
        let released_recently = self.excluded_until.get(&member).is_some_and(|until| now < *until);
        is_reachable && !released_recently && !self.is_flapping(now, member)
    }

    /// Whether a member's leases have expired too often in the recent past.
    pub fn is_flapping(&self, now: Seconds, member: MemberId) -> bool {
        let Some(expirations) = self.expirations.get(&member) else { return false };
        let recent_count = expirations.iter().filter(|at| now < **at + EXPIRATION_WINDOW_SECONDS).count();
        recent_count >= MAX_EXPIRATIONS
    }

    /// The grants that are due. A duty without a holder, or with one whose term has certainly expired, is granted to
    /// an eligible member that can use it. Held leases are not moved.
    pub fn decide_grants(&mut self, now: Seconds, table: &LeaseTable, members: &Members) -> Vec<Entry> {
        if self.leading_since.is_none() {
            return Vec::new();
        }
        let mut entries = Vec::new();
        let eligible: Vec<MemberId> =
            members.0.keys().copied().filter(|id| self.is_eligible(now, *id)).collect();
        for (duty_id, lease) in table.iter() {
            let is_free = lease.holder.is_none_or(|holder| self.has_expired(now, holder));
            if !is_free {
                continue;
            }
            let retry_before = now - RETRY_TERM_SHARE * self.term;
            if self.pending_grants.get(&duty_id).is_some_and(|(decided_epoch, proposed_at)| {
                *decided_epoch == lease.epoch && *proposed_at > retry_before
            }) {
                continue;
            }
            let candidates = match duty_id {
                DutyId::Trials(_) => {
                    eligible.iter().copied().filter(|id| lease.requested_by.contains(id)).collect()
                }
                DutyId::LogMaintenance | DutyId::DiscoveryPolling => eligible.clone(),
            };
            let new_holder = select_holder(duty_id, candidates);
            if new_holder.is_none() && lease.holder.is_none() {
                continue;
            }
            if let Some(holder) = lease.holder {
                let expirations = self.expirations.entry(holder).or_default();
                expirations.push_back(now);
                if expirations.len() > MAX_EXPIRATIONS {
                    expirations.pop_front();
                }
            }
            self.pending_grants.insert(duty_id, (lease.epoch, now));
            entries.push(Entry::Grant { duty: duty_id, expected_epoch: lease.epoch, holder: new_holder });
        }
        self.pending_grants.retain(|duty_id, _| table.get(*duty_id).is_some());
        self.expirations.retain(|id, _| members.0.contains_key(id));
        entries
    }
}

/// Selects a member by rendezvous hashing: duties are spread evenly, and few change their holder when members come
/// and go.
fn select_holder(duty: DutyId, candidates: Vec<MemberId>) -> Option<MemberId> {
    let mut nodes = RendezvousNodes::default();
    for id in candidates {
        nodes.insert(IdNode::new(id));
    }
    nodes.calc_candidates(&duty).next().map(|node| **node)
}

#[cfg(test)]
mod tests {
    use super::*;
    use fawnspoke_cluster::members::Change;

    fn members_with(ids: &[MemberId]) -> Members {
        let mut members = Members::default();
        ids.iter().for_each(|id| members.apply(&Change::Join { id: *id, name: format!("n{id}") }));
        members
    }

    fn table_after(entries: &[Entry]) -> LeaseTable {
        let mut table = LeaseTable::default();
        for entry in entries {
            table.apply(entry, SafetyRules::default());
        }
        table
    }

    const MAINTENANCE: DutyId = DutyId::LogMaintenance;

    #[test]
    fn an_expired_lease_is_regranted_only_after_the_guard() {
        let (members, mut granter) =
            (members_with(&[1, 2]), LeaseGranter::new(3.0, 0.02, SafetyRules::default()));
        let table = table_after(&[
            Entry::Request { duty: MAINTENANCE, member: 1 },
            Entry::Grant { duty: MAINTENANCE, expected_epoch: 0, holder: Some(1) },
        ]);
        assert!(granter.decide_grants(0.0, &table, &members).is_empty());
        granter.set_leading(100.0, true);
        granter.renewal_received(101.0, 1);
        let guard = 3.0 * 1.02 / 0.98;
        for now in [103.0, 101.0 + guard - 0.001] {
            granter.renewal_received(now, 2);
            assert!(granter.decide_grants(now, &table, &members).is_empty(), "{now}");
        }
        granter.renewal_received(104.2, 2);
        let regrant = Entry::Grant { duty: MAINTENANCE, expected_epoch: 1, holder: Some(2) };
        assert_eq!(granter.decide_grants(104.2, &table, &members), [regrant]);
        // It is proposed once, and again only if it was not applied.
        assert!(granter.decide_grants(104.3, &table, &members).is_empty());
        assert_eq!(granter.decide_grants(105.1, &table, &members), [regrant]);
    }

    #[test]
    fn a_new_leader_waits_for_terms_granted_before_it_led() {
        let (members, table) = (
            members_with(&[1, 2]),
            table_after(&[
                Entry::Request { duty: MAINTENANCE, member: 1 },
                Entry::Grant { duty: MAINTENANCE, expected_epoch: 0, holder: Some(1) },
            ]),
        );
        let grants_at_once = |rules: SafetyRules| {
            let mut granter = LeaseGranter::new(3.0, 0.02, rules);
            granter.set_leading(100.0, true);
            granter.renewal_received(100.1, 2);
            !granter.decide_grants(100.2, &table, &members).is_empty()
        };
        assert!(!grants_at_once(SafetyRules::default()));
        assert!(grants_at_once(SafetyRules { new_leader_waits: false, ..SafetyRules::default() }));
    }

    #[test]
    fn leases_are_spread_and_stay_with_their_holders() {
        let (members, mut granter) =
            (members_with(&[1, 2, 3, 4]), LeaseGranter::new(3.0, 0.02, SafetyRules::default()));
        granter.set_leading(0.0, true);
        let mut table = LeaseTable::default();
        for number in 0..200 {
            for member in 1..=4 {
                table.apply(&Entry::Request { duty: DutyId::Trials(number), member }, SafetyRules::default());
            }
        }
        [1, 2, 3].iter().for_each(|id| granter.renewal_received(1.0, *id));
        let entries = granter.decide_grants(1.0, &table, &members);
        for entry in &entries {
            table.apply(entry, SafetyRules::default());
        }
        let counts: Vec<usize> = (1..=4).map(|id| table.held_by(id).count()).collect();
        assert_eq!(counts.iter().sum::<usize>(), 200);
        assert!(counts[..3].iter().all(|count| (40..95).contains(count)) && counts[3] == 0, "{counts:?}");
        // A member that rejoins is granted no lease that another one holds.
        [1, 2, 3, 4].iter().for_each(|id| granter.renewal_received(2.0, *id));
        assert!(granter.decide_grants(2.0, &table, &members).is_empty());
    }

    #[test]
    fn a_flapping_member_is_granted_nothing_until_the_window_has_passed() {
        let (members, mut granter) =
            (members_with(&[1]), LeaseGranter::new(1.0, 0.0, SafetyRules::default()));
        granter.set_leading(0.0, true);
        let mut table = table_after(&[Entry::Request { duty: MAINTENANCE, member: 1 }]);
        let mut grant_times = Vec::new();
        for tick in 0..2000 {
            let now = f64::from(tick) * 0.1;
            // The member is reachable for 2 s of each 4 s.
            if tick % 40 < 20 {
                granter.renewal_received(now, 1);
            }
            for entry in granter.decide_grants(now, &table, &members) {
                table.apply(&entry, SafetyRules::default());
                if matches!(entry, Entry::Grant { holder: Some(_), .. }) {
                    grant_times.push(now);
                }
            }
        }
        assert!(grant_times.len() <= 12 && grant_times.len() >= 6, "{grant_times:?}");
        assert!(grant_times.windows(4).all(|grants| grants[3] - grants[0] > 50.0), "{grant_times:?}");
    }

    #[test]
    fn a_released_lease_does_not_return_to_the_same_member_at_once() {
        let (members, mut granter) =
            (members_with(&[1, 2]), LeaseGranter::new(3.0, 0.02, SafetyRules::default()));
        granter.set_leading(0.0, true);
        let table = table_after(&[Entry::Request { duty: MAINTENANCE, member: 1 }]);
        granter.renewal_received(1.0, 1);
        granter.duty_released(1.0, 1);
        assert!(granter.decide_grants(1.1, &table, &members).is_empty());
        granter.renewal_received(1.2, 2);
        assert_eq!(
            granter.decide_grants(1.2, &table, &members),
            [Entry::Grant { duty: MAINTENANCE, expected_epoch: 0, holder: Some(2) }]
        );
    }
}
