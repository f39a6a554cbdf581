//! What a fleet's counts say of the losses at each destination: room that lay unused while messages were held,
//! refusals by what they meant, and how a return was found and filled.

use crate::fleet_counters::FleetCounters;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Share of a limit from which on a place counts as in full use.
const FULL_USE: f64 = 0.9;
/// Spans in a row without a delivery that count as an outage.
const OUT_LEAST: usize = 2;

/// An outage and its end, in seconds of the logs' clock.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Return {
    /// When nothing was delivered any more.
    pub out_s: f64,
    /// When the first was delivered again; none where that is not in the logs.
    pub found_s: Option<f64>,
    /// When the limit was used again, or nothing more held than went out.
    pub full_use_s: Option<f64>,
}

/// What was lost at one destination, or at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Loss {
    /// Calls, and those of them that were turned away.
    pub calls: u64,
    /// Turned away with nothing left of the limit.
    pub refused_used: u64,
    /// Turned away with nearly all of it left: shut, its queue full, cold or short of connections.
    pub refused_shut: u64,
    /// Turned away with something left, or without a report.
    pub refused_other: u64,
    /// Calls that the limit would have let through, and for which messages were held.
    pub unused: f64,
    /// What the told limit lets through in the seconds for which one is known.
    pub limit: f64,
    /// Messages handed back or given up.
    pub ended: u64,
    /// Outages.
    pub returns: Vec<Return>,
}

/// The losses by destination, and of all under `all`. `every`: seconds of the fleet's spans.
pub fn losses_by_destination(fleet: &FleetCounters, every: f64) -> BTreeMap<String, Loss> {
    let dests: BTreeSet<&String> = fleet.intervals.keys().map(|(_, dest)| dest).collect();
    let mut found = BTreeMap::new();
    let mut all = Loss::default();
    for dest in dests {
        let loss = of(fleet, dest, every);
        all.calls += loss.calls;
        all.refused_used += loss.refused_used;
        all.refused_shut += loss.refused_shut;
        all.refused_other += loss.refused_other;
        all.unused += loss.unused;
        all.limit += loss.limit;
        all.ended += loss.ended;
        found.insert(dest.clone(), loss);
    }
    found.insert("all".into(), all);
    found
}

fn of(fleet: &FleetCounters, dest: &str, every: f64) -> Loss {
    let mut loss = Loss::default();
    // Told by answers alone: while none comes, the last one holds.
    let mut limit = 0.0;
    let mut silent: Option<(f64, usize)> = None;
    for ((span, _), figures) in fleet.intervals.iter().filter(|((_, own), _)| own == dest) {
        let at = *span as f64 * every;
        let figure = |name: &str| figures.get(name).copied().unwrap_or(0);
        let (calls, served, full) = (figure("calls"), figure("served"), figure("full"));
        let (used, shut) = (figure("full_used"), figure("full_shut"));
        loss.calls += calls;
        loss.refused_used += used;
        loss.refused_shut += shut;
        loss.refused_other += full.saturating_sub(used + shut);
        loss.ended += figure("back") + figure("given_up");
        limit = Some(figure("limit") as f64).filter(|told| *told > 0.0).unwrap_or(limit);
        let held =
            fleet.pending.get(&(*span, dest.to_string())).map_or(0.0, |held| held.0 as f64 / every.max(1.0));
        let each = figure("messages").max(1) as f64 / calls.max(1) as f64;
        loss.limit += limit * every;
        loss.unused += (limit * every - calls as f64).min(held / each.max(1.0)).max(0.0);
        // One that was out and is tried delivers nothing.
        let failing = served == 0 && full + figure("lost") + figure("unconnected") > 0;
        match (&mut silent, failing) {
            (None, true) => silent = Some((at, 1)),
            (Some((_, spans)), true) => *spans += 1,
            (Some((out_s, spans)), false) if served > 0 => {
                if *spans >= OUT_LEAST {
                    let (found_s, full_use_s) = (Some(at), None);
                    loss.returns.push(Return { out_s: *out_s, found_s, full_use_s });
                }
                silent = None;
            }
            _ => {}
        }
        let busy = calls as f64 >= FULL_USE * limit * every || held / each.max(1.0) <= calls as f64;
        if let Some(last) =
            loss.returns.last_mut().filter(|last| last.full_use_s.is_none() && busy && served > 0)
        {
            last.full_use_s = Some(at);
        }
    }
    if let Some((out_s, _)) = silent.filter(|(_, spans)| *spans >= OUT_LEAST) {
        loss.returns.push(Return { out_s, found_s: None, full_use_s: None });
    }
    loss
}

/// The table, of one folder or of two side by side (`before` first).
pub fn format_losses(before: Option<&BTreeMap<String, Loss>>, after: &BTreeMap<String, Loss>) -> String {
    let heads = ["calls", "unused", "used_up", "shut", "other", "ended", "found_s", "full_s"];
    let mut text = format!("{:>5}", "dest");
    heads.iter().for_each(|head| text.push_str(&format!(" {head:>15}")));
    text.push('\n');
    let cells = |loss: &Loss| {
        let gap = |to: &dyn Fn(&Return) -> Option<f64>| {
            let gaps: Vec<f64> = loss.returns.iter().filter_map(to).collect();
            if gaps.is_empty() {
                "-".into()
            } else {
                format!("{:.0}", gaps.iter().sum::<f64>() / gaps.len() as f64)
            }
        };
        [
            loss.calls.to_string(),
            format!("{:.0}", loss.unused),
            loss.refused_used.to_string(),
            loss.refused_shut.to_string(),
            loss.refused_other.to_string(),
            loss.ended.to_string(),
            gap(&|back| back.found_s.map(|found| found - back.out_s)),
            gap(&|back| Some(back.full_use_s? - back.found_s?)),
        ]
    };
    let dests: BTreeSet<&String> =
        after.keys().chain(before.iter().flat_map(|losses| losses.keys())).collect();
    let none = Loss::default();
    for dest in dests {
        text.push_str(&format!("{dest:>5}"));
        let new = cells(after.get(dest).unwrap_or(&none));
        let old = before.map(|losses| cells(losses.get(dest).unwrap_or(&none)));
        for (i, cell) in new.iter().enumerate() {
            let cell = old.as_ref().map_or(cell.clone(), |old| format!("{} > {cell}", old[i]));
            text.push_str(&format!(" {cell:>15}"));
        }
        text.push('\n');
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fleet() -> FleetCounters {
        let mut fleet = FleetCounters::default();
        for line in [
            // Ten calls of a limit of 50 with 100 held: 40 unused.
            "0.5 counts 4:calls=10,messages=10,served=10,reports=1,limit=50,held=100",
            // Out for two seconds: the limit is not told, and holds.
            "1.5 counts 4:calls=20,messages=20,unconnected=20,held=100",
            "2.5 counts 4:calls=20,messages=20,full=20,full_shut=15,full_used=1,held=100",
            "3.5 counts 4:calls=20,messages=20,served=20,limit=50,held=100,back=3",
            // Two messages a call: 30 held are 15 calls.
            "4.5 counts 4:calls=46,messages=92,served=92,limit=50,held=30,given_up=1",
            "5.5 counts 7:calls=1,messages=1,full=1",
        ] {
            fleet.add_line(0, line, 1.0);
        }
        fleet
    }

    #[test]
    fn room_refusals_and_returns_are_told_by_destination() {
        let losses = losses_by_destination(&fleet(), 1.0);
        let four = &losses["4"];
        assert_eq!((four.calls, four.refused_shut, four.refused_used, four.refused_other), (116, 15, 1, 4));
        assert_eq!((four.unused, four.limit, four.ended), (40.0 + 30.0 + 30.0 + 30.0 + 4.0, 250.0, 4));
        let back = Return { out_s: 1.0, found_s: Some(3.0), full_use_s: Some(4.0) };
        assert_eq!(four.returns, [back]);
        // One second without a delivery is no outage.
        assert!(losses["7"].returns.is_empty());
        assert_eq!((losses["all"].calls, losses["all"].refused_other), (117, 5));
    }

    #[test]
    fn two_folders_stand_side_by_side() {
        let after = losses_by_destination(&fleet(), 1.0);
        let mut before = after.clone();
        before.get_mut("4").unwrap().calls = 99;
        let table = format_losses(Some(&before), &after);
        let row = table.lines().find(|line| line.trim_start().starts_with("4 ")).unwrap();
        assert!(row.contains("99 > 116") && row.contains("134 > 134"), "{table}");
    }
}
