//! The script of a run: all arrivals and faults, generated from a scenario and a seed before anything starts.
//! The same seed generates exactly the same script.

use crate::record::{Micros, digest};
use crate::scenario::{FaultKind, RandomFaults, Scenario};
use std::fmt::Write;

/// One message that a client submits.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time of the first submission.
    pub at: Micros,
    /// Message id of the first submission; later submissions append a number to it.
    pub id: String,
    /// Index of its class in the scenario.
    pub class: usize,
    /// Index of its partner in the scenario.
    pub partner: usize,
    /// Length of its body.
    pub body_bytes: usize,
    /// Seed of the client's own choices: which dispatcher it calls and whether it retries.
    pub seed: u64,
}

/// One fault with its start and duration.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultEvent {
    /// Start of the fault.
    pub at: Micros,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Duration of the fault.
    pub duration: Micros,
    /// Index of the target dispatcher or partner.
    pub target: usize,
    /// Index of the partner's endpoint.
    pub endpoint: usize,
    /// Slowdown factor, or seconds of delay.
    pub factor: f64,
}

/// Everything that is determined before a run begins.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// The seed.
    pub seed: u64,
    /// Arrivals in the order of their times.
    pub arrivals: Vec<Arrival>,
    /// Faults in the order of their starts.
    pub faults: Vec<FaultEvent>,
}

fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// Draws an index with a probability proportional to its weight.
fn weighted_index(rng: &mut fastrand::Rng, weights: &[f64]) -> usize {
    let mut remaining = rng.f64() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}

impl Script {
    /// Generates the script of a scenario.
    pub fn generate(scenario: &Scenario, seed: u64) -> Script {
        // Arrivals and faults use separate random streams: a change of one does not change the other.
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut arrival_rng, mut fault_rng) = (rng.fork(), rng.fork());
        let class_weights: Vec<f64> = scenario.classes.iter().map(|class| class.weight).collect();
        let partner_weights: Vec<f64> = scenario.partners.iter().map(|partner| partner.weight).collect();
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at += -(1.0 - arrival_rng.f64()).ln() / scenario.clients.messages_per_s;
            if at >= scenario.duration_s {
                break;
            }
            let class = weighted_index(&mut arrival_rng, &class_weights);
            let partner = weighted_index(&mut arrival_rng, &partner_weights);
            let body_range = scenario.classes[class].body_bytes;
            let body_bytes = arrival_rng.usize(body_range[0]..=body_range[1]);
            let id = format!("{:012x}{:04x}", arrivals.len(), arrival_rng.u16(..));
            arrivals.push(Arrival {
                at: micros(at),
                id,
                class,
                partner,
                body_bytes,
                seed: arrival_rng.u64(..),
            });
        }
        let mut faults: Vec<FaultEvent> = scenario
            .faults
            .iter()
            .map(|fault| {
                let partner = scenario.partners.iter().position(|p| Some(&p.name) == fault.partner.as_ref());
                FaultEvent {
                    at: micros(fault.at_s),
                    kind: fault.kind,
                    duration: micros(fault.duration_s),
                    target: fault.dispatcher.or(partner).unwrap_or(0),
                    endpoint: fault.endpoint,
                    factor: fault.factor.unwrap_or(1.0),
                }
            })
            .collect();
        add_random_faults(scenario, &scenario.random_faults, &mut fault_rng, &mut faults);
        faults.sort_by_key(|fault| fault.at);
        Script { seed, arrivals, faults }
    }

    /// The script as text, one line per event. Equal texts mean equal scripts.
    pub fn text(&self, scenario: &Scenario) -> String {
        let mut text = format!("seed {}\n", self.seed);
        let seconds = |at: Micros| at as f64 / 1e6;
        let mut faults = self.faults.iter().peekable();
        for arrival in &self.arrivals {
            while let Some(fault) = faults.next_if(|fault| fault.at <= arrival.at) {
                describe(&mut text, scenario, fault);
            }
            let (class, partner) =
                (&scenario.classes[arrival.class].name, &scenario.partners[arrival.partner].name);
            let Arrival { id, body_bytes, seed, .. } = arrival;
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:.6} {id} {class} to {partner}, {body_bytes} bytes, {seed:016x}",
                seconds(arrival.at)
            );
        }
        faults.for_each(|fault| describe(&mut text, scenario, fault));
        text
    }

    /// Digest of the script's text.
    pub fn digest(&self, scenario: &Scenario) -> u64 {
        digest(self.text(scenario).as_bytes())
    }
}

/// Names a fault's target.
pub fn target_name(scenario: &Scenario, fault: &FaultEvent) -> String {
    if fault.kind.targets_dispatcher() {
        format!("dispatcher {}", fault.target)
    } else if fault.kind.targets_platform() {
        "the platform".into()
    } else {
        let name = &scenario.partners[fault.target].name;
        match fault.kind {
            FaultKind::Drain | FaultKind::Replace => format!("endpoint {} of {name}", fault.endpoint),
            _ => name.clone(),
        }
    }
}

/// Appends the line of one fault.
fn describe(text: &mut String, scenario: &Scenario, fault: &FaultEvent) {
    let (start, duration) = (fault.at as f64 / 1e6, fault.duration as f64 / 1e6);
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "{start:.6} ! {:?} of {} for {duration:.3} s, {:.2}",
        fault.kind,
        target_name(scenario, fault),
        fault.factor
    );
}

/// Adds the scenario's random faults. None starts in the first tenth of the run, and all end before its last
/// tenth.
fn add_random_faults(
    scenario: &Scenario, random: &RandomFaults, rng: &mut fastrand::Rng, faults: &mut Vec<FaultEvent>,
) {
    let run_s = scenario.duration_s;
    let outages = [FaultKind::Down, FaultKind::Silent, FaultKind::Hang, FaultKind::Shut, FaultKind::Errors];
    let requests: [(usize, &[FaultKind]); 9] = [
        (random.kills, &[FaultKind::Kill]),
        (random.planned_restarts, &[FaultKind::Term]),
        (random.pauses, &[FaultKind::Stop]),
        (random.reloads, &[FaultKind::Reload]),
        (random.outages, &outages),
        (random.slowdowns, &[FaultKind::Slow]),
        (random.corruptions, &[FaultKind::Cuts, FaultKind::Spoilt]),
        (random.endpoint_changes, &[FaultKind::Drain, FaultKind::Replace]),
        (
            random.platform_faults,
            &[FaultKind::PlatformSilent, FaultKind::PlatformTorn, FaultKind::PlatformLate],
        ),
    ];
    for (count, kinds) in requests {
        for _ in 0..count.min(1000) {
            let kind = kinds[rng.usize(..kinds.len())];
            let duration_s = match kind {
                FaultKind::Kill | FaultKind::Term | FaultKind::Reload | FaultKind::Replace => 0.0,
                FaultKind::Stop => 0.2 + rng.f64(),
                FaultKind::Drain => 1.5 + rng.f64() * 2.0,
                _ => run_s * (0.1 + 0.15 * rng.f64()),
            };
            let factor = match kind {
                FaultKind::Slow => 3.0 + rng.f64() * 9.0,
                FaultKind::PlatformLate => 0.5 + rng.f64() * 3.0,
                _ => 1.0,
            };
            // Looks for a time and a target that are free; the fault is skipped when none is found.
            for _ in 0..50 {
                let at = run_s * 0.1 + rng.f64() * (run_s * 0.8 - duration_s).max(0.0);
                let target = if kind.targets_dispatcher() {
                    rng.usize(..scenario.dispatchers.count)
                } else if kind.targets_platform() {
                    0
                } else {
                    rng.usize(..scenario.partners.len())
                };
                let endpoints = scenario.partners.get(target).map_or(1, |partner| partner.endpoints);
                let endpoint = rng.usize(..endpoints);
                let fault = FaultEvent {
                    at: micros(at),
                    kind,
                    duration: micros(duration_s),
                    target,
                    endpoint,
                    factor,
                };
                if !faults.iter().any(|other| conflicts(other, &fault)) {
                    faults.push(fault);
                    break;
                }
            }
        }
    }
}

/// Whether two faults overlap on the same target, with a margin for the target's recovery.
fn conflicts(one: &FaultEvent, other: &FaultEvent) -> bool {
    let domain = |fault: &FaultEvent| (fault.kind.targets_dispatcher(), fault.kind.targets_platform());
    // Microseconds. A dispatcher may take 3.7 s to shut down and needs time to restart.
    let margin_micros = if one.kind.targets_dispatcher() { 5_500_000 } else { 200_000 };
    domain(one) == domain(other)
        && one.target == other.target
        && one.at < other.at + other.duration + margin_micros
        && other.at < one.at + one.duration + margin_micros
}
