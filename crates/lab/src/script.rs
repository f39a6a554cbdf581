//! The script of a run: all arrivals and faults, drawn from the scenario and its seed before anything starts.
//! The same seed gives the same script, to the letter.

use crate::record::{Micros, digest};
use crate::scenario::{FaultKind, RandomFaults, Scenario};
use std::fmt::Write;

/// One message that comes to be handed in.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When.
    pub at: Micros,
    /// Its id at its first hand-in; later ones add to it.
    pub id: String,
    /// Its class, an index of the scenario's.
    pub class: usize,
    /// Its partner, an index of the scenario's.
    pub partner: usize,
    /// Length of its body.
    pub body_bytes: usize,
    /// What its client draws from: whom it asks, whether it comes again.
    pub seed: u64,
}

/// One thing that goes wrong, or ends to.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultEvent {
    /// When.
    pub at: Micros,
    /// What.
    pub kind: FaultKind,
    /// For how long.
    pub duration: Micros,
    /// The dispatcher, or the partner.
    pub target: usize,
    /// The endpoint.
    pub endpoint: usize,
    /// How much.
    pub factor: f64,
}

/// All that is set before a run begins.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// The seed.
    pub seed: u64,
    /// Messages, by time.
    pub arrivals: Vec<Arrival>,
    /// Faults, by time.
    pub faults: Vec<FaultEvent>,
}

fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// An index drawn by weight.
fn pick(rng: &mut fastrand::Rng, weights: &[f64]) -> usize {
    let mut left = rng.f64() * weights.iter().sum::<f64>();
    for (i, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return i;
        }
    }
    weights.len() - 1
}

impl Script {
    /// Draws the script of a scenario.
    pub fn generate(scenario: &Scenario, seed: u64) -> Script {
        // Faults and arrivals draw from streams of their own: more of one moves none of the other.
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut coming, mut failing) = (rng.fork(), rng.fork());
        let classes: Vec<f64> = scenario.classes.iter().map(|class| class.weight).collect();
        let partners: Vec<f64> = scenario.partners.iter().map(|partner| partner.weight).collect();
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at += -(1.0 - coming.f64()).ln() / scenario.clients.messages_per_s;
            if at >= scenario.duration_s {
                break;
            }
            let class = pick(&mut coming, &classes);
            let partner = pick(&mut coming, &partners);
            let body = scenario.classes[class].body_bytes;
            let length = coming.usize(body[0]..=body[1]);
            let id = format!("{:012x}{:04x}", arrivals.len(), coming.u16(..));
            arrivals.push(Arrival {
                at: micros(at),
                id,
                class,
                partner,
                body_bytes: length,
                seed: coming.u64(..),
            });
        }
        let mut turns: Vec<FaultEvent> = scenario
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
        add_random_faults(scenario, &scenario.random_faults, &mut failing, &mut turns);
        turns.sort_by_key(|turn| turn.at);
        Script { seed, arrivals, faults: turns }
    }

    /// The script as text, a line an event; equal texts are equal scripts.
    pub fn text(&self, scenario: &Scenario) -> String {
        let mut text = format!("seed {}\n", self.seed);
        let seconds = |at: Micros| at as f64 / 1e6;
        let mut turns = self.faults.iter().peekable();
        for arrival in &self.arrivals {
            while let Some(turn) = turns.next_if(|turn| turn.at <= arrival.at) {
                describe(&mut text, scenario, turn);
            }
            let (class, partner) =
                (&scenario.classes[arrival.class].name, &scenario.partners[arrival.partner].name);
            let Arrival { id, body_bytes: length, seed, .. } = arrival;
            // Writing to a string cannot fail.
            let _ = writeln!(
                text,
                "{:.6} {id} {class} to {partner}, {length} bytes, {seed:016x}",
                seconds(arrival.at)
            );
        }
        turns.for_each(|turn| describe(&mut text, scenario, turn));
        text
    }

    /// A digest of the script's text.
    pub fn digest(&self, scenario: &Scenario) -> u64 {
        digest(self.text(scenario).as_bytes())
    }
}

/// Whom a turn befalls, in words.
pub fn target_name(scenario: &Scenario, turn: &FaultEvent) -> String {
    if turn.kind.targets_dispatcher() {
        format!("dispatcher {}", turn.target)
    } else if turn.kind.targets_platform() {
        "the platform".into()
    } else {
        let name = &scenario.partners[turn.target].name;
        match turn.kind {
            FaultKind::Drain | FaultKind::Replace => format!("endpoint {} of {name}", turn.endpoint),
            _ => name.clone(),
        }
    }
}

fn describe(text: &mut String, scenario: &Scenario, turn: &FaultEvent) {
    let (at, span) = (turn.at as f64 / 1e6, turn.duration as f64 / 1e6);
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "{at:.6} ! {:?} of {} for {span:.3} s, {:.2}",
        turn.kind,
        target_name(scenario, turn),
        turn.factor
    );
}

/// Faults by chance: none in the first tenth of the run, all over before its last tenth.
fn add_random_faults(
    scenario: &Scenario, random: &RandomFaults, rng: &mut fastrand::Rng, turns: &mut Vec<FaultEvent>,
) {
    let length = scenario.duration_s;
    let outages = [FaultKind::Down, FaultKind::Silent, FaultKind::Hang, FaultKind::Shut, FaultKind::Errors];
    let wishes: [(usize, &[FaultKind]); 9] = [
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
    for (count, kinds) in wishes {
        for _ in 0..count.min(1000) {
            let kind = kinds[rng.usize(..kinds.len())];
            let span = match kind {
                FaultKind::Kill | FaultKind::Term | FaultKind::Reload | FaultKind::Replace => 0.0,
                FaultKind::Stop => 0.2 + rng.f64(),
                FaultKind::Drain => 1.5 + rng.f64() * 2.0,
                _ => length * (0.1 + 0.15 * rng.f64()),
            };
            let factor = match kind {
                FaultKind::Slow => 3.0 + rng.f64() * 9.0,
                FaultKind::PlatformLate => 0.5 + rng.f64() * 3.0,
                _ => 1.0,
            };
            // A place that is free: some tries, then the wish is left out.
            for _ in 0..50 {
                let at = length * 0.1 + rng.f64() * (length * 0.8 - span).max(0.0);
                let whom = if kind.targets_dispatcher() {
                    rng.usize(..scenario.dispatchers.count)
                } else if kind.targets_platform() {
                    0
                } else {
                    rng.usize(..scenario.partners.len())
                };
                let endpoints = scenario.partners.get(whom).map_or(1, |partner| partner.endpoints);
                let endpoint = rng.usize(..endpoints);
                let turn = FaultEvent {
                    at: micros(at),
                    kind,
                    duration: micros(span),
                    target: whom,
                    endpoint,
                    factor,
                };
                if !turns.iter().any(|other| collide(other, &turn)) {
                    turns.push(turn);
                    break;
                }
            }
        }
    }
}

/// Whether two faults befall the same one at the same time, or one dispatcher again before it can be back.
fn collide(one: &FaultEvent, other: &FaultEvent) -> bool {
    let domain = |turn: &FaultEvent| (turn.kind.targets_dispatcher(), turn.kind.targets_platform());
    let room = if one.kind.targets_dispatcher() { 5_500_000 } else { 200_000 };
    domain(one) == domain(other)
        && one.target == other.target
        && one.at < other.at + other.duration + room
        && other.at < one.at + one.duration + room
}
