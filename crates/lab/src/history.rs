//! A fleet's history, from the logs of its processes, and what is wrong with it. Goes by what they wrote, with the times
//! of the machine's one clock; shares nothing with what it checks.

use std::collections::BTreeMap;

/// One line of a history.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A process has begun as a member, and learns the log anew.
    Began,
    /// It looked at its clock and acted as the holder of a duty.
    Acted {
        /// When it looked, in seconds.
        at: f64,
        /// The duty.
        duty: String,
        /// Under this epoch.
        epoch: u64,
    },
    /// It learnt that a duty was given.
    Given {
        /// When it learnt that.
        at: f64,
        /// The duty.
        duty: String,
        /// Under this epoch.
        epoch: u64,
        /// To this birth, or `nobody`.
        to: String,
    },
    /// It learnt of a holder's word.
    Told {
        /// The duty.
        duty: String,
        /// Under this epoch.
        epoch: u64,
    },
}

/// Reads one line of a dispatcher's log; nothing where it tells nothing of a fleet.
pub fn read(line: &str) -> Option<Line> {
    let words: Vec<&str> = line.strip_prefix("fleet: ")?.split_whitespace().collect();
    match *words.as_slice() {
        [.., "birth", _, "life", _] => Some(Line::Began),
        [at, "acts", duty, "epoch", epoch] => {
            Some(Line::Acted { at: at.parse().ok()?, duty: duty.into(), epoch: epoch.parse().ok()? })
        }
        [at, "given", duty, "epoch", epoch, "to", to] => {
            let (at, epoch) = (at.parse().ok()?, epoch.parse().ok()?);
            Some(Line::Given { at, duty: duty.into(), epoch, to: to.into() })
        }
        [_, "told", duty, "epoch", epoch, ..] => {
            Some(Line::Told { duty: duty.into(), epoch: epoch.parse().ok()? })
        }
        _ => None,
    }
}

/// What is wrong with the histories of a fleet's processes, by their names.
pub fn faults(histories: &BTreeMap<String, Vec<Line>>) -> Vec<String> {
    let mut faults = Vec::new();
    // The first act under each epoch of a duty, and by whom.
    let mut first: BTreeMap<(&str, u64), (f64, &str)> = BTreeMap::new();
    let acts = histories.iter().flat_map(|(name, lines)| lines.iter().map(move |line| (&**name, line)));
    for (name, line) in acts.clone() {
        if let Line::Acted { at, duty, epoch } = line {
            let known = first.entry((duty, *epoch)).or_insert((*at, name));
            if known.1 != name {
                faults.push(format!("{duty} {epoch} is of two: {} and {name}", known.1));
            }
            known.0 = known.0.min(*at);
        }
    }
    for (name, line) in acts {
        let Line::Acted { at, duty, epoch } = line else { continue };
        let later = first.range((&**duty, epoch + 1)..=(&**duty, u64::MAX));
        for ((_, next), (when, who)) in later.filter(|(_, (when, _))| when < at) {
            faults.push(format!(
                "{at:.4} {name} acts as {duty} {epoch}, {who} acted under {next} at {when:.4}"
            ));
        }
    }
    let mut holders: BTreeMap<u64, (&str, &str)> = BTreeMap::new();
    for (name, lines) in histories {
        let mut latest: BTreeMap<&str, u64> = BTreeMap::new();
        for line in lines {
            match line {
                Line::Began => latest.clear(),
                Line::Given { duty, epoch, to, .. } => {
                    let known = holders.entry(*epoch).or_insert((duty, to));
                    if *known != (&**duty, &**to) {
                        faults.push(format!("{name} learns that {duty} {epoch} is {to}'s, others {known:?}"));
                    }
                    let last = latest.entry(duty).or_default();
                    *last = (*last).max(*epoch);
                }
                Line::Told { duty, epoch } if latest.get(&**duty).is_some_and(|last| epoch < last) => {
                    faults.push(format!("{name} accepts a word of {duty} {epoch} after {}", latest[&**duty]));
                }
                Line::Told { .. } | Line::Acted { .. } => {}
            }
        }
    }
    faults
}

#[cfg(test)]
mod tests {
    use super::*;

    fn found(histories: &[(&str, &[&str])]) -> Vec<String> {
        let lines = |lines: &[&str]| lines.iter().filter_map(|line| read(line)).collect();
        faults(&histories.iter().map(|(name, text)| (name.to_string(), lines(text))).collect())
    }

    #[test]
    fn a_history_with_a_break_in_it_is_found() {
        let a = [
            "fleet: a of m, birth 0a, life 1",
            "fleet: 1.0 given keeper epoch 1 to 0a",
            "fleet: 1.1 acts keeper epoch 1",
        ];
        let b = ["fleet: 5.0 given keeper epoch 2 to 0b", "fleet: 5.1 acts keeper epoch 2", "noise"];
        assert_eq!(found(&[("a", &a), ("b", &b)]), Vec::<String>::new());
        let late = [&a[..], &["fleet: 5.2 acts keeper epoch 1"]].concat();
        assert!(found(&[("a", &late), ("b", &b)])[0].contains("acts as keeper 1, b acted under 2"));
        let two = [&a[..], &["fleet: 5.05 acts keeper epoch 2"]].concat();
        assert!(found(&[("a", &two), ("b", &b)])[0].contains("is of two"));
        let old = [&b[..], &["fleet: 5.3 told keeper epoch 1 Out"]].concat();
        assert!(found(&[("b", &old)])[0].contains("accepts a word"));
        let anew =
            [&b[..], &["fleet: b of m, birth 0b, life 2", "fleet: 6.0 told keeper epoch 1 Out"]].concat();
        assert_eq!(found(&[("b", &anew)]), Vec::<String>::new());
        let other = ["fleet: 5.0 given keeper epoch 2 to 0c"];
        assert!(found(&[("a", &other), ("b", &b)])[0].contains("others"));
    }
}
