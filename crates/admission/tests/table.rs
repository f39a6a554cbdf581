//! The admission table: its limits in any order of events, and who is evicted.

use fawnspoke_admission::table::{AdmissionLimits, AdmissionTable, CallerId, Decision};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

const MAX_CALLERS: usize = 4;
const MIN_TIME: Duration = Duration::from_millis(100);
const LIMITS: AdmissionLimits = AdmissionLimits { max_callers: MAX_CALLERS, min_time: MIN_TIME };

fn source(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, number).into()
}

fn admitted(decision: Decision) -> CallerId {
    match decision {
        Decision::Admitted(id) => id,
        other => panic!("not admitted: {other:?}"),
    }
}

/// A table that is full of callers from one source, admitted 10 ms apart.
fn full_table(start: Instant) -> (AdmissionTable, Vec<CallerId>) {
    let mut table = AdmissionTable::new(LIMITS);
    let times = (0..MAX_CALLERS as u32).map(|number| start + Duration::from_millis(10) * number);
    let ids = times.map(|at| admitted(table.admit(at, source(1)))).collect();
    (table, ids)
}

#[test]
fn a_caller_keeps_its_connection_for_the_minimum_time() {
    let start = Instant::now();
    let (mut table, ids) = full_table(start);
    let evictable_at = start + MIN_TIME;
    assert_eq!(
        table.admit(evictable_at - Duration::from_nanos(1), source(1)),
        Decision::Wait(Some(evictable_at))
    );
    assert_eq!(table.admit(evictable_at, source(1)), Decision::Evict(ids[0]));
    // One caller goes for one that comes.
    assert_eq!(table.admit(evictable_at + MIN_TIME, source(1)), Decision::Wait(None));
    table.remove(ids[0]);
    admitted(table.admit(evictable_at, source(1)));
    assert_eq!(
        table.admit(evictable_at, source(1)),
        Decision::Wait(Some(evictable_at + Duration::from_millis(10)))
    );
}

#[test]
fn a_caller_whose_request_is_handled_is_not_evicted() {
    let start = Instant::now();
    let (mut table, ids) = full_table(start);
    let late = start + MIN_TIME * 10;
    table.mark_handled(ids[0]);
    assert_eq!(table.admit(late, source(1)), Decision::Evict(ids[1]));
    // Its request was complete all the same: another one goes.
    table.mark_handled(ids[1]);
    assert_eq!(table.admit(late, source(1)), Decision::Evict(ids[2]));
    table.mark_handled(ids[2]);
    table.mark_handled(ids[3]);
    assert_eq!(table.admit(late, source(1)), Decision::Wait(None));
    table.remove(ids[3]);
    admitted(table.admit(late, source(1)));
}

#[test]
fn many_callers_of_one_source_do_not_displace_those_of_others() {
    let start = Instant::now();
    let mut table = AdmissionTable::new(LIMITS);
    let other = admitted(table.admit(start, source(2)));
    let flood: Vec<CallerId> = (1..MAX_CALLERS).map(|_| admitted(table.admit(start, source(1)))).collect();
    let late = start + MIN_TIME * 10;
    let mut later = Vec::new();
    for oldest in &flood[..2] {
        assert_eq!(table.admit(late, source(1)), Decision::Evict(*oldest));
        table.remove(*oldest);
        later.push(admitted(table.admit(late, source(3))));
    }
    // One caller of each of two sources is older, but there are two of the third.
    assert_eq!(table.admit(late + MIN_TIME, source(4)), Decision::Evict(later[0]));
    table.remove(later[0]);
    admitted(table.admit(late + MIN_TIME, source(4)));
    // One caller of each of four sources: the oldest.
    assert_eq!(table.admit(late + MIN_TIME * 2, source(4)), Decision::Evict(other));
}

/// One step of a schedule.
#[derive(Clone, Copy, Debug)]
enum Step {
    Admit(u8),
    MarkHandled(usize),
    Remove(usize),
    Advance(u64),
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..3u8).prop_map(Step::Admit),
        1 => (0..MAX_CALLERS).prop_map(Step::MarkHandled),
        1 => (0..MAX_CALLERS).prop_map(Step::Remove),
        2 => (1..80u64).prop_map(Step::Advance),
    ]
}

/// What the test knows of a caller.
#[derive(Clone, Copy, Debug, Default)]
struct Expected {
    admitted_ms: u64,
    handled: bool,
    evicted: bool,
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(1_000) })]

    /// Never more callers than the limit, none evicted before its minimum time, or while its request is handled, or while
    /// another one is leaving; and a caller is let in as soon as the limits allow it.
    #[test]
    fn limits_hold_in_any_order_of_events(steps in prop::collection::vec(any_step(), 1..120)) {
        let start = Instant::now();
        let mut table = AdmissionTable::new(LIMITS);
        let (mut now_ms, mut callers) = (0, BTreeMap::<CallerId, Expected>::new());
        for step in steps {
            let nth = |number: usize| callers.keys().nth(number).copied();
            match step {
                Step::Advance(ms) => now_ms += ms,
                Step::MarkHandled(number) => if let Some(id) = nth(number) {
                    table.mark_handled(id);
                    callers.insert(id, Expected { handled: true, evicted: false, ..callers[&id] });
                },
                Step::Remove(number) => if let Some(id) = nth(number) {
                    table.remove(id);
                    callers.remove(&id);
                },
                Step::Admit(number) => {
                    let is_evictable = |caller: &Expected| !caller.handled && caller.admitted_ms + 100 <= now_ms;
                    match table.admit(start + Duration::from_millis(now_ms), source(number)) {
                        Decision::Admitted(id) => {
                            prop_assert!(callers.len() < MAX_CALLERS);
                            callers.insert(id, Expected { admitted_ms: now_ms, ..Expected::default() });
                        }
                        Decision::Evict(id) => {
                            prop_assert!(callers.len() == MAX_CALLERS);
                            prop_assert!(callers.values().all(|caller| !caller.evicted));
                            prop_assert!(is_evictable(&callers[&id]));
                            callers.insert(id, Expected { evicted: true, ..callers[&id] });
                        }
                        Decision::Wait(until) => {
                            prop_assert!(callers.len() == MAX_CALLERS);
                            prop_assert!(until.is_none_or(|until| until > start + Duration::from_millis(now_ms)));
                            let someone_leaves = callers.values().any(|caller| caller.evicted);
                            let all_handled = callers.values().all(|caller| caller.handled);
                            prop_assert!(until.is_some() || someone_leaves || all_handled);
                        }
                    }
                    prop_assert_eq!(table.count(), callers.len());
                }
            }
        }
    }
}
