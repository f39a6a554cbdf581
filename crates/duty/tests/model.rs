//! Model checking of the lease protocol: every order of events of one holder, two leaders and one duty, with clocks
//! whose rates differ within a limit, checked state by state. The model shares no code with the implementation: it
//! states the safety rules independently, and disables each one to show that it is needed.
//!
//! The other member is modelled as the worst case: it is informed of its grant at once, and its own lease term never ends.
//! Exclusion that holds here therefore holds for any other member.

use stateright::{Checker, HasDiscoveries, Model, Property};

/// Units of local time that pass on the slowest and on the fastest clock in one step of true time: 10 % off.
const CLOCK_RATES: [u8; 2] = [9, 11];
/// Length of a lease term, in units of local time.
const LEASE_TERM: u8 = 22;
/// LEASE_TERM x (1 + r) / (1 - r), rounded up.
const GUARD: u8 = 27;
/// Limit on log entries: a grant, a release or another grant, and one more grant.
const MAX_ENTRIES: usize = 3;

/// Limits on the explored states: steps of true time, elections after the first, renewal requests of the holder.
#[derive(Clone, Copy, Debug)]
struct ModelLimits {
    steps: u8,
    elections: u8,
    renewals: u8,
}

const QUICK_LIMITS: ModelLimits = ModelLimits { steps: 6, elections: 1, renewals: 1 };
const SHORT_LIMITS: ModelLimits = ModelLimits { steps: 6, elections: 1, renewals: 2 };
const LONG_LIMITS: ModelLimits = ModelLimits { steps: 7, elections: 2, renewals: 2 };

/// Which safety rules are in force.
#[derive(Clone, Copy, Debug)]
struct SafetyRules {
    /// A lease term counts from the time before its renewal request is sent.
    term_from_request: bool,
    /// A new leader waits for terms that were granted before it led.
    new_leader_waits: bool,
    /// A confirmation needs a majority after the request has arrived.
    require_majority: bool,
    /// A confirmation takes effect once the log up to the leader's last entry at that time has been applied.
    apply_before_use: bool,
    /// The guard covers the difference between clock rates.
    guard_covers_drift: bool,
    /// A grant that a leader has decided is proposed only under the same leadership.
    grant_under_same_leadership: bool,
    /// The holder stops acting before it proposes the release of a duty.
    silent_before_release: bool,
}

const ALL_RULES: SafetyRules = SafetyRules {
    term_from_request: true,
    new_leader_waits: true,
    require_majority: true,
    apply_before_use: true,
    guard_covers_drift: true,
    grant_under_same_leadership: true,
    silent_before_release: true,
};

/// Whom a log entry grants the duty to.
#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
enum GrantedTo {
    Holder,
    Nobody,
    Other,
}

/// The member that holds the duty at the start.
#[derive(Clone, Debug, Default, Hash, PartialEq, Eq)]
struct Holder {
    clock: u8,
    renewals: u8,
    /// The unanswered renewal request: when it was sent, and which leaders have received it.
    pending_request: Option<(u8, [bool; 2])>,
    /// The confirmation in flight: when its request was sent, and how many entries have to be applied first.
    pending_confirmation: Option<(u8, usize)>,
    /// A confirmation that waits for the log: the end of the term that it grants, and the number of entries.
    confirmation_awaiting_log: Option<(u8, usize)>,
    term_end: u8,
    applied: usize,
    has_released: bool,
}

#[derive(Clone, Debug, Default, Hash, PartialEq, Eq)]
struct Leader {
    clock: u8,
    /// When it was last elected; `None` before its first election.
    elected_at: Option<u8>,
    /// When the last renewal request of the holder arrived.
    last_renewal: Option<u8>,
    /// The leader has decided to grant the duty to the other member, when the log had this many entries.
    decided_grant: Option<usize>,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq)]
struct ModelState {
    step: u8,
    holder: Holder,
    leaders: [Leader; 2],
    /// The latest leader, and the number of elections so far.
    latest_leader: (usize, u8),
    log: Vec<GrantedTo>,
}

impl ModelState {
    fn holder_may_act(&self) -> bool {
        let holder = &self.holder;
        let is_granted = holder.applied > 0 && self.log[holder.applied - 1] == GrantedTo::Holder;
        is_granted && !holder.has_released && holder.clock < holder.term_end
    }

    fn other_may_act(&self) -> bool {
        self.log.last() == Some(&GrantedTo::Other)
    }

    fn extend_term(&mut self) {
        let holder = &mut self.holder;
        if let Some((term_end, _)) = holder
            .confirmation_awaiting_log
            .take_if(|(_, required_entries)| *required_entries <= holder.applied)
        {
            holder.term_end = holder.term_end.max(term_end);
        }
    }
}

#[derive(Clone, Copy, Debug, Hash, PartialEq, Eq)]
enum Event {
    TimePasses,
    RequestRenewal,
    ReceiveRequest(usize),
    ConfirmRequest(usize),
    ReceiveConfirmation,
    ApplyEntry,
    ElectLeader(usize),
    DecideGrant(usize),
    ProposeGrant(usize),
    StopActing,
    ProposeRelease,
}

struct LeaseModel {
    rules: SafetyRules,
    limits: ModelLimits,
    /// Clock rates of the holder and of the two leaders; each is constant.
    clock_rates: [u8; 3],
}

impl Model for LeaseModel {
    type State = ModelState;
    type Action = Event;

    fn init_states(&self) -> Vec<ModelState> {
        let mut leaders = [Leader::default(), Leader::default()];
        leaders[0].elected_at = Some(0);
        vec![ModelState {
            step: 0,
            holder: Holder::default(),
            leaders,
            latest_leader: (0, 0),
            log: vec![GrantedTo::Holder],
        }]
    }

    fn actions(&self, state: &ModelState, events: &mut Vec<Event>) {
        let (holder, log_has_space) = (&state.holder, state.log.len() < MAX_ENTRIES);
        events.extend((state.step < self.limits.steps).then_some(Event::TimePasses));
        let is_idle = holder.pending_request.is_none() && holder.pending_confirmation.is_none();
        events.extend((is_idle && holder.renewals < self.limits.renewals).then_some(Event::RequestRenewal));
        events.extend(holder.pending_confirmation.map(|_| Event::ReceiveConfirmation));
        events.extend((holder.applied < state.log.len()).then_some(Event::ApplyEntry));
        let is_granted = holder.applied > 0 && state.log[holder.applied - 1] == GrantedTo::Holder;
        events.extend((is_granted && !holder.has_released).then_some(Event::StopActing));
        events.extend(
            (holder.has_released && log_has_space && state.log.last() == Some(&GrantedTo::Holder))
                .then_some(Event::ProposeRelease),
        );
        for (index, leader) in state.leaders.iter().enumerate() {
            events.extend(
                (state.latest_leader.1 < self.limits.elections && state.latest_leader.0 != index)
                    .then_some(Event::ElectLeader(index)),
            );
            if leader.elected_at.is_none() {
                continue;
            }
            if let Some((_, received_by)) = holder.pending_request {
                events.push(if received_by[index] {
                    Event::ConfirmRequest(index)
                } else {
                    Event::ReceiveRequest(index)
                });
            }
            events.extend(
                (leader.decided_grant.is_none() && log_has_space).then_some(Event::DecideGrant(index)),
            );
            events.extend(leader.decided_grant.map(|_| Event::ProposeGrant(index)));
        }
    }

    fn next_state(&self, previous: &ModelState, event: Event) -> Option<ModelState> {
        let (rules, mut state) = (self.rules, previous.clone());
        match event {
            Event::TimePasses => {
                state.step += 1;
                state.holder.clock += self.clock_rates[0];
                state
                    .leaders
                    .iter_mut()
                    .zip(&self.clock_rates[1..])
                    .for_each(|(leader, rate)| leader.clock += rate);
            }
            Event::RequestRenewal => {
                state.holder.renewals += 1;
                state.holder.pending_request = Some((state.holder.clock, [false; 2]));
            }
            Event::ReceiveRequest(index) => {
                state.leaders[index].last_renewal = Some(state.leaders[index].clock);
                state.holder.pending_request.as_mut()?.1[index] = true;
            }
            Event::ConfirmRequest(index) => {
                // Only the latest leader has a majority.
                if rules.require_majority && state.latest_leader.0 != index {
                    return None;
                }
                let (sent_at, _) = state.holder.pending_request.take()?;
                state.holder.pending_confirmation = Some((sent_at, state.log.len()));
            }
            Event::ReceiveConfirmation => {
                let (sent_at, required_entries) = state.holder.pending_confirmation.take()?;
                let start = if rules.term_from_request { sent_at } else { state.holder.clock };
                state.holder.confirmation_awaiting_log =
                    Some((start + LEASE_TERM, if rules.apply_before_use { required_entries } else { 0 }));
                state.extend_term();
            }
            Event::ApplyEntry => {
                state.holder.applied += 1;
                state.extend_term();
            }
            Event::ElectLeader(index) => {
                state.latest_leader = (index, state.latest_leader.1 + 1);
                let leader = &mut state.leaders[index];
                (leader.elected_at, leader.last_renewal, leader.decided_grant) =
                    (Some(leader.clock), None, None);
            }
            Event::DecideGrant(index) => {
                let (log_length, last_grant) = (state.log.len(), *state.log.last()?);
                let leader = &mut state.leaders[index];
                let elected_at = leader.elected_at?;
                let start = match rules.new_leader_waits {
                    true => leader.last_renewal.unwrap_or(elected_at).max(elected_at),
                    false => leader.last_renewal.unwrap_or(0),
                };
                let has_expired =
                    leader.clock >= start + if rules.guard_covers_drift { GUARD } else { LEASE_TERM };
                let is_free = match last_grant {
                    GrantedTo::Holder => has_expired,
                    GrantedTo::Nobody => true,
                    GrantedTo::Other => false,
                };
                match (is_free, rules.grant_under_same_leadership) {
                    (false, _) => return None,
                    // Proposed in the same step as the decision, under the same leadership; otherwise at some later
                    // time.
                    (true, true) if state.latest_leader.0 == index => state.log.push(GrantedTo::Other),
                    (true, true) => return None,
                    (true, false) => leader.decided_grant = Some(log_length),
                }
            }
            Event::ProposeGrant(index) => {
                // A grant that was decided on an outdated epoch has no effect.
                if state.leaders[index].decided_grant.take()? != state.log.len() {
                    return None;
                }
                state.log.push(GrantedTo::Other);
            }
            Event::StopActing => state.holder.has_released = true,
            Event::ProposeRelease => {
                state.log.push(GrantedTo::Nobody);
                state.holder.has_released = rules.silent_before_release;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one member acts", |_, state: &ModelState| {
                !(state.holder_may_act() && state.other_may_act())
            }),
            Property::sometimes("the holder acts", |_, state: &ModelState| state.holder_may_act()),
            Property::sometimes("the other member acts", |_, state: &ModelState| state.other_may_act()),
        ]
    }
}

/// All combinations of clock rates.
fn clock_rates() -> impl Iterator<Item = [u8; 3]> {
    (0..8).map(|choice: usize| std::array::from_fn(|i| CLOCK_RATES[choice >> i & 1]))
}

#[test]
fn no_order_of_events_lets_two_members_act() {
    // MODEL=short and MODEL=long explore further than CI has time for.
    let limits = match std::env::var("MODEL").as_deref() {
        Ok("long") => LONG_LIMITS,
        Ok("short") => SHORT_LIMITS,
        _ => QUICK_LIMITS,
    };
    let mut states = 0;
    for rates in clock_rates() {
        let checker = LeaseModel { rules: ALL_RULES, limits, clock_rates: rates }
            .checker()
            .threads(2)
            .spawn_bfs()
            .join();
        checker.assert_properties();
        states += checker.unique_state_count();
    }
    println!("{states} states over {} combinations of clock rates, {limits:?}", clock_rates().count());
    assert!(states > 100_000, "{states} states");
}

#[test]
fn each_rule_is_necessary() {
    // Rules that `fawnspoke_duty::SafetyRules::without` also accepts have the same names here.
    type DisableRule = fn(&mut SafetyRules);
    let rules_to_disable: [(&str, DisableRule); 7] = [
        ("from_question", |rules| rules.term_from_request = false),
        ("leader_waits", |rules| rules.new_leader_waits = false),
        ("require_majority", |rules| rules.require_majority = false),
        ("applied_first", |rules| rules.apply_before_use = false),
        ("clocks", |rules| rules.guard_covers_drift = false),
        ("grant_under_same_leadership", |rules| rules.grant_under_same_leadership = false),
        ("silent_before_release", |rules| rules.silent_before_release = false),
    ];
    for (name, disable) in rules_to_disable {
        let mut rules = ALL_RULES;
        disable(&mut rules);
        let is_detected = clock_rates().any(|rates| {
            let checker = LeaseModel { rules, limits: SHORT_LIMITS, clock_rates: rates }.checker().threads(2);
            let checker = checker.finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
            checker.discovery("at most one member acts").is_some()
        });
        assert!(is_detected, "without {name} no violation is found");
    }
}
