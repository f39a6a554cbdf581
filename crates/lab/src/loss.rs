//! Computes the losses at each destination from a fleet's traffic counters: capacity that stayed unused while messages
//! were pending, rejected calls by their cause, and how long the recovery from an outage took.

use crate::fleet_counters::FleetCounters;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Share of the rate limit from which on a destination counts as fully used.
const FULL_USE_SHARE: f64 = 0.9;
/// Consecutive intervals without a delivery that count as an outage.
const MIN_OUTAGE_INTERVALS: usize = 2;

/// An outage of a destination and its end, in seconds of the logs' clock.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Outage {
    /// Start of the first interval without a delivery.
    #[serde(rename = "out_s")]
    pub started_s: f64,
    /// Start of the first interval with a delivery again; none if the logs end before.
    #[serde(rename = "found_s")]
    pub recovered_s: Option<f64>,
    /// Start of the first interval since then in which the rate limit was fully used, or no more messages were pending
    /// than were sent.
    #[serde(rename = "full_use_s")]
    pub full_rate_s: Option<f64>,
}

/// Losses at one destination, or at all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Losses {
    /// Calls, including rejected ones.
    pub calls: u64,
    /// Calls that were rejected with nothing left of the rate limit.
    #[serde(rename = "refused_used")]
    pub rejected_exhausted: u64,
    /// Calls that were rejected with nearly all of the rate limit left: the destination was unavailable, cold, out of
    /// connections, or its queue was full.
    #[serde(rename = "refused_shut")]
    pub rejected_unavailable: u64,
    /// Calls that were rejected with a part of the rate limit left, or without a rate limit report.
    #[serde(rename = "refused_other")]
    pub rejected_other: u64,
    /// Calls that the rate limit would have permitted, and for which messages were pending.
    #[serde(rename = "unused")]
    pub unused_calls: f64,
    /// Calls that the reported rate limit permits, over all intervals in which it is known.
    #[serde(rename = "limit")]
    pub permitted_calls: f64,
    /// Messages handed back or given up.
    #[serde(rename = "ended")]
    pub undelivered: u64,
    /// Outages.
    #[serde(rename = "returns")]
    pub outages: Vec<Outage>,
}

/// Computes the losses by destination, and their sum under the name `all`. `interval_s` is the length of the counters'
/// intervals in seconds.
pub fn losses_by_destination(fleet: &FleetCounters, interval_s: f64) -> BTreeMap<String, Losses> {
    let destinations: BTreeSet<&String> =
        fleet.intervals.keys().map(|(_, destination)| destination).collect();
    let mut by_destination = BTreeMap::new();
    let mut all = Losses::default();
    for destination in destinations {
        let losses = losses_at(fleet, destination, interval_s);
        all.calls += losses.calls;
        all.rejected_exhausted += losses.rejected_exhausted;
        all.rejected_unavailable += losses.rejected_unavailable;
        all.rejected_other += losses.rejected_other;
        all.unused_calls += losses.unused_calls;
        all.permitted_calls += losses.permitted_calls;
        all.undelivered += losses.undelivered;
        by_destination.insert(destination.clone(), losses);
    }
    by_destination.insert("all".into(), all);
    by_destination
}

/// Computes the losses at one destination.
fn losses_at(fleet: &FleetCounters, destination: &str, interval_s: f64) -> Losses {
    let mut losses = Losses::default();
    // Only responses report the limit, so the last reported one applies to intervals without a report.
    let mut limit = 0.0;
    let mut without_delivery: Option<(f64, usize)> = None;
    for ((interval, _), counters) in fleet.intervals.iter().filter(|((_, of), _)| of == destination) {
        let interval_start_s = *interval as f64 * interval_s;
        let counter = |name: &str| counters.get(name).copied().unwrap_or(0);
        let (calls, served, rejected) = (counter("calls"), counter("served"), counter("full"));
        let (exhausted, unavailable) = (counter("full_used"), counter("full_shut"));
        losses.calls += calls;
        losses.rejected_exhausted += exhausted;
        losses.rejected_unavailable += unavailable;
        losses.rejected_other += rejected.saturating_sub(exhausted + unavailable);
        losses.undelivered += counter("back") + counter("given_up");
        limit = Some(counter("limit") as f64).filter(|reported| *reported > 0.0).unwrap_or(limit);
        let pending = fleet
            .pending
            .get(&(*interval, destination.to_string()))
            .map_or(0.0, |pending| pending.0 as f64 / interval_s.max(1.0));
        let messages_per_call = counter("messages").max(1) as f64 / calls.max(1) as f64;
        losses.permitted_calls += limit * interval_s;
        losses.unused_calls +=
            (limit * interval_s - calls as f64).min(pending / messages_per_call.max(1.0)).max(0.0);
        // A destination that is down serves no call, though trials are made.
        let failing = served == 0 && rejected + counter("lost") + counter("unconnected") > 0;
        match (&mut without_delivery, failing) {
            (None, true) => without_delivery = Some((interval_start_s, 1)),
            (Some((_, intervals)), true) => *intervals += 1,
            (Some((started_s, intervals)), false) if served > 0 => {
                if *intervals >= MIN_OUTAGE_INTERVALS {
                    let (recovered_s, full_rate_s) = (Some(interval_start_s), None);
                    losses.outages.push(Outage { started_s: *started_s, recovered_s, full_rate_s });
                }
                without_delivery = None;
            }
            _ => {}
        }
        let at_full_rate = calls as f64 >= FULL_USE_SHARE * limit * interval_s
            || pending / messages_per_call.max(1.0) <= calls as f64;
        if let Some(outage) = losses
            .outages
            .last_mut()
            .filter(|outage| outage.full_rate_s.is_none() && at_full_rate && served > 0)
        {
            outage.full_rate_s = Some(interval_start_s);
        }
    }
    if let Some((started_s, _)) = without_delivery.filter(|(_, intervals)| *intervals >= MIN_OUTAGE_INTERVALS)
    {
        losses.outages.push(Outage { started_s, recovered_s: None, full_rate_s: None });
    }
    losses
}

/// Formats the losses as a table; with the losses of an earlier run, each cell shows `earlier > current`.
pub fn format_losses(before: Option<&BTreeMap<String, Losses>>, after: &BTreeMap<String, Losses>) -> String {
    let headings = ["calls", "unused", "used_up", "shut", "other", "ended", "found_s", "full_s"];
    let mut text = format!("{:>5}", "dest");
    headings.iter().for_each(|heading| text.push_str(&format!(" {heading:>15}")));
    text.push('\n');
    let cells = |losses: &Losses| {
        let mean_time = |time_of: &dyn Fn(&Outage) -> Option<f64>| {
            let times: Vec<f64> = losses.outages.iter().filter_map(time_of).collect();
            if times.is_empty() {
                "-".into()
            } else {
                format!("{:.0}", times.iter().sum::<f64>() / times.len() as f64)
            }
        };
        [
            losses.calls.to_string(),
            format!("{:.0}", losses.unused_calls),
            losses.rejected_exhausted.to_string(),
            losses.rejected_unavailable.to_string(),
            losses.rejected_other.to_string(),
            losses.undelivered.to_string(),
            mean_time(&|outage| outage.recovered_s.map(|recovered_s| recovered_s - outage.started_s)),
            mean_time(&|outage| Some(outage.full_rate_s? - outage.recovered_s?)),
        ]
    };
    let destinations: BTreeSet<&String> =
        after.keys().chain(before.iter().flat_map(|losses| losses.keys())).collect();
    let no_losses = Losses::default();
    for destination in destinations {
        text.push_str(&format!("{destination:>5}"));
        let new_cells = cells(after.get(destination).unwrap_or(&no_losses));
        let old_cells = before.map(|losses| cells(losses.get(destination).unwrap_or(&no_losses)));
        for (i, cell) in new_cells.iter().enumerate() {
            let cell =
                old_cells.as_ref().map_or(cell.clone(), |old_cells| format!("{} > {cell}", old_cells[i]));
            text.push_str(&format!(" {cell:>15}"));
        }
        text.push('\n');
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample_counters() -> FleetCounters {
        let mut counters = FleetCounters::default();
        for line in [
            // 10 calls with a limit of 50 and 100 messages pending: 40 calls unused.
            "0.5 counts 4:calls=10,messages=10,served=10,reports=1,limit=50,held=100",
            // An outage of two seconds: no limit is reported, so the last one applies.
            "1.5 counts 4:calls=20,messages=20,unconnected=20,held=100",
            "2.5 counts 4:calls=20,messages=20,full=20,full_shut=15,full_used=1,held=100",
            "3.5 counts 4:calls=20,messages=20,served=20,limit=50,held=100,back=3",
            // Two messages per call: 30 pending messages are 15 calls, but only 4 more fit the limit.
            "4.5 counts 4:calls=46,messages=92,served=92,limit=50,held=30,given_up=1",
            "5.5 counts 7:calls=1,messages=1,full=1",
        ] {
            counters.add_line(0, line, 1.0);
        }
        counters
    }

    #[test]
    fn unused_calls_rejections_and_outages_are_counted_by_destination() {
        let losses = losses_by_destination(&sample_counters(), 1.0);
        let destination_4 = &losses["4"];
        assert_eq!(
            (
                destination_4.calls,
                destination_4.rejected_unavailable,
                destination_4.rejected_exhausted,
                destination_4.rejected_other
            ),
            (116, 15, 1, 4)
        );
        assert_eq!(
            (destination_4.unused_calls, destination_4.permitted_calls, destination_4.undelivered),
            (40.0 + 30.0 + 30.0 + 30.0 + 4.0, 250.0, 4)
        );
        let outage = Outage { started_s: 1.0, recovered_s: Some(3.0), full_rate_s: Some(4.0) };
        assert_eq!(destination_4.outages, [outage]);
        // One interval without a delivery is not an outage.
        assert!(losses["7"].outages.is_empty());
        assert_eq!((losses["all"].calls, losses["all"].rejected_other), (117, 5));
    }

    #[test]
    fn table_shows_an_earlier_run_beside_the_current_one() {
        let after = losses_by_destination(&sample_counters(), 1.0);
        let mut before = after.clone();
        before.get_mut("4").unwrap().calls = 99;
        let table = format_losses(Some(&before), &after);
        let row = table.lines().find(|line| line.trim_start().starts_with("4 ")).unwrap();
        assert!(row.contains("99 > 116") && row.contains("134 > 134"), "{table}");
    }
}
