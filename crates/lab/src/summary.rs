//! What came of a run, as text.

use crate::auditor::{ClassCounts, Verdict};
use std::fmt::Write;

/// Breaches that are printed; the rest is counted.
const PRINTED: usize = 20;

fn quantile(sorted: &[u64], share: f64) -> f64 {
    let Some(last) = sorted.len().checked_sub(1) else { return 0.0 };
    sorted[(share * last as f64).round() as usize] as f64 / 1000.0
}

/// The counts by class, with latencies in milliseconds.
pub fn format_classes(verdict: &Verdict) -> String {
    let heads = [
        "class",
        "messages",
        "taken",
        "delivered",
        "in aim",
        "given up",
        "handed back",
        "refused",
        "unheard",
        "lost",
        "doubled",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
    ];
    let mut rows = vec![heads.map(String::from).to_vec()];
    let mut all = ClassCounts::default();
    for (name, tally) in &verdict.classes {
        rows.push(row(name, tally));
        all.messages += tally.messages;
        all.accepted += tally.accepted;
        all.delivered += tally.delivered;
        all.within_target += tally.within_target;
        all.given_up += tally.given_up;
        all.handed_back += tally.handed_back;
        all.rejected += tally.rejected;
        all.unanswered += tally.unanswered;
        all.lost += tally.lost;
        all.duplicated += tally.duplicated;
        all.duplicated_by_clients += tally.duplicated_by_clients;
        all.latencies.extend(&tally.latencies);
    }
    rows.push(row("all", &all));
    let widths: Vec<usize> =
        (0..heads.len()).map(|i| rows.iter().map(|row| row[i].len()).max().unwrap_or(0)).collect();
    let mut text = String::new();
    for row in rows {
        let cells: Vec<_> = row
            .iter()
            .zip(&widths)
            .enumerate()
            .map(
                |(i, (cell, width))| {
                    if i == 0 { format!("{cell:<width$}") } else { format!("{cell:>width$}") }
                },
            )
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    if all.duplicated_by_clients > 0 {
        let count = all.duplicated_by_clients;
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{count} took effect under two ids: their clients had handed them in twice");
    }
    for (name, ClassCounts { recovered, never_called, .. }) in
        verdict.classes.iter().filter(|(_, tally)| tally.recovered > 0)
    {
        let _ = writeln!(
            text,
            "restarts found {recovered} of {name} untried with time left; never called: {never_called}"
        );
    }
    text
}

fn row(name: &str, tally: &ClassCounts) -> Vec<String> {
    let mut sorted = tally.latencies.clone();
    sorted.sort_unstable();
    let counts = [
        tally.messages,
        tally.accepted,
        tally.delivered,
        tally.within_target,
        tally.given_up,
        tally.handed_back,
        tally.rejected,
        tally.unanswered,
        tally.lost,
        tally.duplicated,
    ];
    let quantiles = [0.5, 0.99, 0.999].map(|share| format!("{:.1}", quantile(&sorted, share)));
    std::iter::once(name.to_string()).chain(counts.map(|n| n.to_string())).chain(quantiles).collect()
}

/// The auditor's word: clean, or each rule that was broken with its first breaches.
pub fn format_verdict(verdict: &Verdict) -> String {
    if verdict.is_clean() {
        return format!("verdict: clean ({} calls and {} probes seen)\n", verdict.calls, verdict.probes);
    }
    let mut text = String::from("verdict: BROKEN\n");
    for (rule, count) in &verdict.breach_counts {
        let _ = writeln!(text, "  {rule}: {count}");
    }
    for breach in verdict.breaches.iter().take(PRINTED) {
        let _ = writeln!(text, "{breach}");
    }
    let left = verdict.breach_counts.values().sum::<u64>() as usize;
    if left > PRINTED {
        let _ = writeln!(text, "... and {} more", left - PRINTED);
    }
    text
}
