//! Counts the calls of a whole fleet at a destination that returns cold, against the bound of the acceptance
//! test. `COLD_RETURN_SEEDS` sets the number of seeds, and prints a table of all cases.

mod common;

use common::cold_return::*;

const FLEET_SIZES: [usize; 5] = [2, 7, 12, 40, 100];
/// Capacities of the destination, in calls a second.
const CAPACITIES: [f64; 2] = [4.0, 15.0];
const REPORTS: [Reports; 3] = [Reports::NoLimit, Reports::Limit, Reports::Nothing];
/// Demand relative to the capacity of the destination.
const LOAD: f64 = 0.95;
const DEFAULT_SEEDS: u64 = 2;

/// An outage of ten seconds in a fleet with uneven traffic.
fn cold_return(outage: Outage, fleet_size: usize, capacity: f64, reports: Reports) -> ColdReturn {
    ColdReturn {
        fleet_size,
        capacity,
        load: LOAD,
        outage,
        reports,
        outage_from: 3.0,
        returns_at: 13.0,
        restarted_share: 0.0,
        restarts: Restarts::DuringTheOutage,
        uneven: true,
    }
}

/// All fleets, destinations and reports for one kind of outage.
fn cases(outage: Outage) -> Vec<ColdReturn> {
    let mut cases = Vec::new();
    for fleet_size in FLEET_SIZES {
        for capacity in CAPACITIES {
            for reports in REPORTS {
                cases.push(cold_return(outage, fleet_size, capacity, reports));
            }
        }
    }
    cases
}

/// Simulates each case with several seeds, and fails if the rule was broken in any of them.
fn check(cases: &[ColdReturn]) {
    let requested_seeds = std::env::var("COLD_RETURN_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    let seeds: u64 = requested_seeds.unwrap_or(DEFAULT_SEEDS);
    let mut breaches = Vec::new();
    for case in cases {
        let results: Vec<ColdLoad> = (0..seeds).map(|seed| simulate_cold_return(*case, seed)).collect();
        let broken_by: Vec<usize> = (0..results.len()).filter(|seed| results[*seed].rule_broken).collect();
        if requested_seeds.is_some() {
            print_row(case, &results);
        }
        breaches.extend((!broken_by.is_empty()).then_some((case, broken_by)));
    }
    assert!(breaches.is_empty(), "cases and the seeds that break the rule, of {seeds}: {breaches:#?}");
}

fn print_row(case: &ColdReturn, results: &[ColdLoad]) {
    let mean = |value: fn(&ColdLoad) -> f64| results.iter().map(value).sum::<f64>() / results.len() as f64;
    println!(
        "{:?} {:?} restarted {} n={} C={}: {} over the bound, {} breaches of {}; \
         mean {:.2}, worst {:.2} of the bound; served {:.1}",
        case.outage,
        case.reports,
        case.restarted_share,
        case.fleet_size,
        case.capacity,
        results.iter().filter(|load| load.exceeded).count(),
        results.iter().filter(|load| load.rule_broken).count(),
        results.len(),
        mean(|load| load.worst_ratio),
        results.iter().map(|load| load.worst_ratio).fold(0.0, f64::max),
        mean(|load| load.served as f64),
    );
}

#[test]
fn a_destination_that_rejected_every_call_is_not_overloaded_when_it_returns() {
    check(&cases(Outage::Rejected));
}

#[test]
fn a_destination_where_no_connection_came_up_is_not_overloaded_when_it_returns() {
    check(&cases(Outage::Silent));
}

#[test]
fn a_destination_that_refused_connections_is_not_overloaded_when_it_returns() {
    check(&cases(Outage::Refused));
}

#[test]
fn a_destination_that_answered_no_call_is_not_overloaded_when_it_returns() {
    check(&cases(Outage::Hung));
}

#[test]
fn a_destination_that_failed_most_calls_is_not_overloaded_when_it_returns() {
    check(&cases(Outage::Errors));
}

/// All cases with a fleet of which seven in ten dispatchers restart.
fn cases_with_restarts(restarts: Restarts) -> Vec<ColdReturn> {
    let all = OUTAGES.into_iter().flat_map(cases);
    all.map(|case| ColdReturn { restarted_share: 0.7, restarts, ..case }).collect()
}

#[test]
fn dispatchers_that_restart_during_an_outage_do_not_overload_the_destination_when_it_returns() {
    check(&cases_with_restarts(Restarts::DuringTheOutage));
}

#[test]
fn dispatchers_that_restart_together_as_a_destination_returns_do_not_overload_it() {
    check(&cases_with_restarts(Restarts::AtTheReturn));
}

#[test]
fn a_large_destination_with_more_demand_than_capacity_is_not_overloaded_when_it_returns() {
    let mut cases = Vec::new();
    for outage in OUTAGES {
        for fleet_size in [48, 100] {
            for capacity in [30.0, 60.0] {
                for reports in [Reports::NoLimit, Reports::Nothing] {
                    let case = cold_return(outage, fleet_size, capacity, reports);
                    cases.push(ColdReturn { load: 1.4, ..case });
                }
            }
        }
    }
    check(&cases);
}

#[test]
fn a_destination_that_told_callers_to_wait_for_its_return_is_not_overloaded() {
    check(&cases(Outage::RejectedWithWait));
}
