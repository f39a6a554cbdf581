//! Formats the results of a run as text.

use crate::auditor::{ClassCounts, Verdict};
use std::fmt::Write;

/// Maximum number of rule violations that are printed; the others are only counted.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Quantile of sorted times in microseconds, in milliseconds.
fn quantile_ms(sorted: &[u64], quantile: f64) -> f64 {
    let Some(last) = sorted.len().checked_sub(1) else { return 0.0 };
    sorted[(quantile * last as f64).round() as usize] as f64 / 1000.0
}

/// Formats the message counts of each class and of all classes as a table, with latencies in milliseconds.
pub fn format_classes(verdict: &Verdict) -> String {
    let headings = [
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
    let mut rows = vec![headings.map(String::from).to_vec()];
    let mut all = ClassCounts::default();
    for (name, class_counts) in &verdict.classes {
        rows.push(format_row(name, class_counts));
        all.messages += class_counts.messages;
        all.accepted += class_counts.accepted;
        all.delivered += class_counts.delivered;
        all.within_target += class_counts.within_target;
        all.given_up += class_counts.given_up;
        all.handed_back += class_counts.handed_back;
        all.rejected += class_counts.rejected;
        all.unanswered += class_counts.unanswered;
        all.lost += class_counts.lost;
        all.duplicated += class_counts.duplicated;
        all.duplicated_by_clients += class_counts.duplicated_by_clients;
        all.latencies.extend(&class_counts.latencies);
    }
    rows.push(format_row("all", &all));
    let widths: Vec<usize> =
        (0..headings.len()).map(|i| rows.iter().map(|row| row[i].len()).max().unwrap_or(0)).collect();
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
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{count} messages took effect under two ids: their clients had submitted them twice"
        );
    }
    for (name, ClassCounts { recovered, never_called, .. }) in
        verdict.classes.iter().filter(|(_, class_counts)| class_counts.recovered > 0)
    {
        let _ = writeln!(
            text,
            "{name}: restarts recovered {recovered} messages without an attempt and with time left; \
             {never_called} of them were never sent"
        );
    }
    text
}

/// Cells of one row of the class table.
fn format_row(name: &str, class_counts: &ClassCounts) -> Vec<String> {
    let mut sorted = class_counts.latencies.clone();
    sorted.sort_unstable();
    let counts = [
        class_counts.messages,
        class_counts.accepted,
        class_counts.delivered,
        class_counts.within_target,
        class_counts.given_up,
        class_counts.handed_back,
        class_counts.rejected,
        class_counts.unanswered,
        class_counts.lost,
        class_counts.duplicated,
    ];
    let quantiles = [0.5, 0.99, 0.999].map(|quantile| format!("{:.1}", quantile_ms(&sorted, quantile)));
    std::iter::once(name.to_string()).chain(counts.map(|n| n.to_string())).chain(quantiles).collect()
}

/// Formats the auditor's verdict: clean, or each violated rule with its count, and the first violations.
pub fn format_verdict(verdict: &Verdict) -> String {
    if verdict.is_clean() {
        return format!("verdict: clean ({} calls and {} probes seen)\n", verdict.calls, verdict.probes);
    }
    let mut text = String::from("verdict: BROKEN\n");
    for (rule, count) in &verdict.violation_counts {
        let _ = writeln!(text, "  {rule}: {count}");
    }
    for violation in verdict.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        let _ = writeln!(text, "{violation}");
    }
    let total = verdict.violation_counts.values().sum::<u64>() as usize;
    if total > MAX_PRINTED_VIOLATIONS {
        let _ = writeln!(text, "... and {} more", total - MAX_PRINTED_VIOLATIONS);
    }
    text
}
