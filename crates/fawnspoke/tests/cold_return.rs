//! Real dispatchers share destinations that return cold. The test counts what the lab's stand-ins recorded
//! against the bound of the acceptance test; it uses neither the dispatcher's code nor the lab's auditor.
//! `COLD_RETURN_SEEDS=100..149` plays more seeds and prints each return.

use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;

const MICROSECONDS_PER_SECOND: f64 = 1e6;
/// Share of the calls that must come from informed dispatchers for the rule to be broken.
const INFORMED_SHARE: f64 = 2.0 / 3.0;

/// A call or probe that reached a destination, at a time in microseconds.
struct Arrival {
    at: f64,
    dispatcher: u64,
}

/// What happened at one destination.
#[derive(Default)]
struct Destination {
    capacity: f64,
    out_at: f64,
    returned_at: Option<f64>,
    arrivals: Vec<Arrival>,
    /// Dispatchers that a call or probe of theirs told of the outage, while it lasted.
    informed: BTreeSet<u64>,
}

/// How a cold destination is to be filled, in the record's units.
struct SlowStart {
    cold_time: f64,
    cold_share: f64,
    multiple: f64,
    window: f64,
}

/// The window with the most calls relative to its bound.
#[derive(Clone, Copy, Debug, Default)]
struct WorstWindow {
    ratio: f64,
    /// In the first window above the bound, over two thirds of the calls came from informed dispatchers.
    rule_broken: bool,
}

fn number(event: &Value, key: &str) -> f64 {
    event[key].as_f64().unwrap_or_else(|| panic!("{key} in {event}"))
}

fn read_record(path: &str) -> (SlowStart, BTreeMap<u64, Destination>) {
    let text = std::fs::read_to_string(path).unwrap();
    let events: Vec<Value> = text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    let rules = events.iter().find(|event| event["what"] == "rules").unwrap();
    let slow_start = SlowStart {
        cold_time: number(rules, "cold"),
        cold_share: number(rules, "cold_share"),
        multiple: number(rules, "multiple"),
        window: number(rules, "fall"),
    };
    let mut destinations: BTreeMap<u64, Destination> = BTreeMap::new();
    for place in rules["places"].as_array().unwrap() {
        let destination = Destination { capacity: number(place, "capacity"), ..Default::default() };
        destinations.insert(place["dest"].as_u64().unwrap(), destination);
    }
    let mut calls: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    for event in &events {
        let at = event["at"].as_f64().unwrap();
        let destination = event["dest"].as_u64().and_then(|id| destinations.get_mut(&id));
        match (event["what"].as_str().unwrap(), destination) {
            ("out", Some(destination)) => destination.out_at = at,
            ("back", Some(destination)) => destination.returned_at = Some(at),
            (what @ ("call" | "probe"), Some(destination)) => {
                let dispatcher = event["dispatcher"].as_u64().unwrap();
                destination.arrivals.push(Arrival { at, dispatcher });
                if what == "call" {
                    calls.insert(
                        event["call"].as_u64().unwrap(),
                        (event["dest"].as_u64().unwrap(), dispatcher),
                    );
                } else if event["well"] == false && destination.is_out(at) {
                    destination.informed.insert(dispatcher);
                }
            }
            ("ended", _) => {
                let Some((id, dispatcher)) = calls.get(&event["call"].as_u64().unwrap()) else { continue };
                let destination = destinations.get_mut(id).unwrap();
                if event["how"]["answered"] != 200 && destination.is_out(at) {
                    destination.informed.insert(*dispatcher);
                }
            }
            _ => {}
        }
    }
    (slow_start, destinations)
}

impl Destination {
    fn is_out(&self, at: f64) -> bool {
        self.out_at > 0.0 && at >= self.out_at && self.returned_at.is_none_or(|returned_at| at < returned_at)
    }

    /// Compares each window between the return and the end of the cold time with its bound.
    fn worst_window(&self, slow_start: &SlowStart) -> WorstWindow {
        let mut worst = WorstWindow::default();
        let Some(returned_at) = self.returned_at else { return worst };
        let capacity = |at: f64| {
            let warmth = ((at - returned_at) / slow_start.cold_time).min(1.0);
            self.capacity * (slow_start.cold_share + (1.0 - slow_start.cold_share) * warmth)
        };
        let cold_until = returned_at + slow_start.cold_time;
        for last in self.arrivals.iter().filter(|call| call.at >= returned_at && call.at <= cold_until) {
            let from = (last.at - slow_start.window).max(returned_at);
            let inside: Vec<&Arrival> =
                self.arrivals.iter().filter(|call| call.at >= from && call.at <= last.at).collect();
            let mean_capacity = (capacity(from) + capacity(from + slow_start.window)) / 2.0;
            let expected = slow_start.multiple * mean_capacity * slow_start.window / MICROSECONDS_PER_SECOND;
            let tolerance =
                if expected < 30.0 { 3.0 * expected.sqrt() + 3.0 } else { 2.0 * expected.sqrt() + 2.0 };
            let calls = inside.len() as f64;
            let ratio = calls / (expected + tolerance);
            if ratio > 1.0 && worst.ratio <= 1.0 {
                let informed =
                    inside.iter().filter(|call| self.informed.contains(&call.dispatcher)).count() as f64;
                worst.rule_broken = informed > INFORMED_SHARE * calls;
            }
            worst.ratio = worst.ratio.max(ratio);
        }
        worst
    }
}

/// Plays the scenario; returns the worst window of each destination.
fn play(seed: u64) -> BTreeMap<u64, WorstWindow> {
    let scenario = format!("{}/../lab/scenarios/cold-returns.toml", env!("CARGO_MANIFEST_DIR"));
    let record = format!("{}/{}-cold-{seed}.rec", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let arguments = ["lab", "run", &scenario, "--seed", &seed.to_string(), "--record", &record];
    let mut command = Command::new(env!("CARGO_BIN_EXE_fawnspoke"));
    let output = command.args(arguments).env_remove("GW_CONFIG").env_remove("GW_STATE").output().unwrap();
    // Exit code 1 is the verdict of the lab's auditor, whose bound is narrower.
    assert!(matches!(output.status.code(), Some(0 | 1)), "{}", String::from_utf8_lossy(&output.stderr));
    let (slow_start, destinations) = read_record(&record);
    std::fs::remove_file(&record).unwrap();
    destinations.iter().map(|(id, destination)| (*id, destination.worst_window(&slow_start))).collect()
}

fn requested_seeds() -> Option<std::ops::RangeInclusive<u64>> {
    let seeds = std::env::var("COLD_RETURN_SEEDS").ok()?;
    let (first, last) = seeds.split_once("..").unwrap_or((&seeds, &seeds));
    Some(first.parse().unwrap()..=last.parse().unwrap())
}

#[test]
fn forty_dispatchers_do_not_overload_destinations_that_return_cold() {
    let requested = requested_seeds();
    let mut breaches = Vec::new();
    let (mut returns, mut exceeded) = (0, 0);
    for seed in requested.clone().unwrap_or(1..=1) {
        for (destination, window) in play(seed) {
            returns += 1;
            exceeded += usize::from(window.ratio > 1.0);
            if requested.is_some() {
                println!("seed {seed}, destination {destination}: {window:?}");
            }
            breaches.extend(window.rule_broken.then_some((seed, destination, window)));
        }
    }
    println!("{exceeded} of {returns} returns over the bound, {} breaches", breaches.len());
    assert!(breaches.is_empty(), "the rule was broken (seed, destination): {breaches:?}");
}
