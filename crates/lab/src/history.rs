//! The history of a fleet, read from the logs of its dispatchers, and the violations in it. The check relies only on
//! the log lines, with times of the machine's one clock, and shares no code with the program that it checks.

use std::collections::BTreeMap;

/// One log line about the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum LogLine {
    /// A process has started as a member and reads the log from its beginning.
    ProcessStarted,
    /// The process read its clock and acted as the holder of a duty.
    DutyAction {
        /// When it read the clock, in seconds.
        at: f64,
        /// The duty.
        duty: String,
        /// The epoch under which it acted.
        epoch: u64,
    },
    /// The process was informed that a duty was granted.
    DutyGranted {
        /// When it was informed, in seconds.
        at: f64,
        /// The duty.
        duty: String,
        /// The epoch of the grant.
        epoch: u64,
        /// The member instance that holds the duty, or `nobody`.
        holder: String,
    },
    /// The process received an update from a duty's holder.
    UpdateReceived {
        /// The duty.
        duty: String,
        /// The epoch under which the update was published.
        epoch: u64,
    },
}

/// Parses one line of a dispatcher's log; `None` where it is not about the fleet.
pub fn parse_line(line: &str) -> Option<LogLine> {
    let words: Vec<&str> = line.strip_prefix("fleet: ")?.split_whitespace().collect();
    match *words.as_slice() {
        [.., "birth", _, "life", _] => Some(LogLine::ProcessStarted),
        [at, "acts", duty, "epoch", epoch] => {
            Some(LogLine::DutyAction { at: at.parse().ok()?, duty: duty.into(), epoch: epoch.parse().ok()? })
        }
        [at, "given", duty, "epoch", epoch, "to", holder] => {
            let (at, epoch) = (at.parse().ok()?, epoch.parse().ok()?);
            Some(LogLine::DutyGranted { at, duty: duty.into(), epoch, holder: holder.into() })
        }
        [_, "told", duty, "epoch", epoch, ..] => {
            Some(LogLine::UpdateReceived { duty: duty.into(), epoch: epoch.parse().ok()? })
        }
        _ => None,
    }
}

/// Returns the violations in the histories of a fleet's dispatchers, which are given by name:
/// - an epoch of a duty under which two dispatchers acted,
/// - an action under an epoch after another dispatcher had acted under a later one,
/// - grants on whose holder two dispatchers disagree,
/// - an update that a process accepted after it had seen a later epoch.
pub fn find_violations(histories: &BTreeMap<String, Vec<LogLine>>) -> Vec<String> {
    let mut violations = Vec::new();
    // The time of the first action under each epoch of a duty, and the dispatcher that acted.
    let mut first_actions: BTreeMap<(&str, u64), (f64, &str)> = BTreeMap::new();
    let all_lines = histories.iter().flat_map(|(name, lines)| lines.iter().map(move |line| (&**name, line)));
    for (name, line) in all_lines.clone() {
        if let LogLine::DutyAction { at, duty, epoch } = line {
            let known = first_actions.entry((duty, *epoch)).or_insert((*at, name));
            if known.1 != name {
                violations
                    .push(format!("two members act on {duty} under epoch {epoch}: {} and {name}", known.1));
            }
            known.0 = known.0.min(*at);
        }
    }
    for (name, line) in all_lines {
        let LogLine::DutyAction { at, duty, epoch } = line else { continue };
        let later = first_actions.range((&**duty, epoch + 1)..=(&**duty, u64::MAX));
        for ((_, later_epoch), (first_at, other)) in later.filter(|(_, (first_at, _))| first_at < at) {
            violations.push(format!(
                "{at:.4} {name} acts on {duty} under epoch {epoch}; {other} acted under epoch {later_epoch} at {first_at:.4}"
            ));
        }
    }
    let mut holders: BTreeMap<u64, (&str, &str)> = BTreeMap::new();
    for (name, lines) in histories {
        let mut latest_epochs: BTreeMap<&str, u64> = BTreeMap::new();
        for line in lines {
            match line {
                LogLine::ProcessStarted => latest_epochs.clear(),
                LogLine::DutyGranted { duty, epoch, holder, .. } => {
                    let known = holders.entry(*epoch).or_insert((duty, holder));
                    if *known != (&**duty, &**holder) {
                        violations.push(format!(
                            "{name} sees {duty} held by {holder} under epoch {epoch}, others {known:?}"
                        ));
                    }
                    let last = latest_epochs.entry(duty).or_default();
                    *last = (*last).max(*epoch);
                }
                LogLine::UpdateReceived { duty, epoch }
                    if latest_epochs.get(&**duty).is_some_and(|last| epoch < last) =>
                {
                    violations.push(format!(
                        "{name} accepts an update of {duty} under epoch {epoch} after epoch {}",
                        latest_epochs[&**duty]
                    ));
                }
                LogLine::UpdateReceived { .. } | LogLine::DutyAction { .. } => {}
            }
        }
    }
    violations
}

#[cfg(test)]
mod tests {
    use super::*;

    fn violations_in(histories: &[(&str, &[&str])]) -> Vec<String> {
        let parse_all = |lines: &[&str]| lines.iter().filter_map(|line| parse_line(line)).collect();
        find_violations(&histories.iter().map(|(name, text)| (name.to_string(), parse_all(text))).collect())
    }

    #[test]
    fn violations_in_a_history_are_found() {
        let a = [
            "fleet: a of m, birth 0a, life 1",
            "fleet: 1.0 given keeper epoch 1 to 0a",
            "fleet: 1.1 acts keeper epoch 1",
        ];
        let b = ["fleet: 5.0 given keeper epoch 2 to 0b", "fleet: 5.1 acts keeper epoch 2", "noise"];
        assert_eq!(violations_in(&[("a", &a), ("b", &b)]), Vec::<String>::new());
        let late_action = [&a[..], &["fleet: 5.2 acts keeper epoch 1"]].concat();
        assert!(
            violations_in(&[("a", &late_action), ("b", &b)])[0]
                .contains("acts on keeper under epoch 1; b acted under epoch 2")
        );
        let shared_epoch = [&a[..], &["fleet: 5.05 acts keeper epoch 2"]].concat();
        assert!(
            violations_in(&[("a", &shared_epoch), ("b", &b)])[0]
                .contains("two members act on keeper under epoch 2")
        );
        let stale_update = [&b[..], &["fleet: 5.3 told keeper epoch 1 Out"]].concat();
        assert!(violations_in(&[("b", &stale_update)])[0].contains("accepts an update"));
        let after_restart =
            [&b[..], &["fleet: b of m, birth 0b, life 2", "fleet: 6.0 told keeper epoch 1 Out"]].concat();
        assert_eq!(violations_in(&[("b", &after_restart)]), Vec::<String>::new());
        let other_holder = ["fleet: 5.0 given keeper epoch 2 to 0c"];
        assert!(violations_in(&[("a", &other_holder), ("b", &b)])[0].contains("others"));
    }
}
