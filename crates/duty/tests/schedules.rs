//! Schedules by seed over the core and the library that run in a dispatcher: cuts of every kind, stalls, kills, full
//! disks, clocks that run differently. The checker goes by what somebody outside would write down.
//!
//! `SCHEDULES=100000 cargo test --release -p fawnspoke-duty --test schedules` plays as many; `SCHEDULE=17` one.

mod simulation;

use fawnspoke_duty::SafetyRules;
use fawnspoke_duty::lease_table::DutyId;
use simulation::{Plan, SOUND, Seen, World};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};

/// What is wrong with a history. Times are true ones; nothing here knows how terms or epochs are kept.
fn faults(seen: &[Seen], both: &[String]) -> Vec<String> {
    let mut faults: Vec<String> = both.iter().take(3).map(|both| format!("two hold: {both}")).collect();
    let mut first: BTreeMap<(DutyId, u64), (f64, u64)> = BTreeMap::new();
    // Nobody acts under an epoch after somebody has acted under a later one.
    for entry in seen {
        let Seen::Acted { at, by, name, epoch } = entry else { continue };
        let later = first.range((*name, epoch + 1)..=(*name, u64::MAX)).next();
        if let Some(((_, later), (when, _))) = later.filter(|(_, (when, _))| when < at) {
            faults.push(format!("{at:.2} {by:x} acts as {name} under {epoch}, {later} acted at {when:.2}"));
        }
        let (_, whose) = first.entry((*name, *epoch)).or_insert((*at, *by));
        if whose != by {
            faults.push(format!("{name} {epoch} is of two: {whose:x} and {by:x}"));
        }
    }
    // Every member learns the same of an epoch, and of words under ever later ones.
    let mut holders: BTreeMap<u64, (DutyId, Option<u64>)> = BTreeMap::new();
    let mut latest: BTreeMap<(u64, DutyId), u64> = BTreeMap::new();
    for entry in seen {
        match entry {
            Seen::Given { by, name, epoch, holder } => {
                let known = holders.entry(*epoch).or_insert((*name, *holder));
                if *known != (*name, *holder) {
                    faults.push(format!("{by:x} learns {name} {epoch} is {holder:?}'s, others {known:?}"));
                }
                let last = latest.entry((*by, *name)).or_default();
                *last = (*epoch).max(*last);
            }
            Seen::Told { by, name, epoch, .. } => {
                let last = latest.entry((*by, *name)).or_default();
                if epoch < last {
                    faults.push(format!("{by:x} accepts a word of {name} under {epoch}, {last} is given"));
                }
            }
            Seen::Began { by } => latest.retain(|(member, _), _| member != by),
            Seen::Acted { .. } => {}
        }
    }
    faults
}

fn play(plan: Plan, seed: u64) -> (World, Vec<String>) {
    let mut world = World::new(plan, seed);
    world.play();
    let faults = faults(&world.seen, &world.both);
    (world, faults)
}

fn plan(seed: u64) -> Plan {
    Plan { voters: [3, 5, 3, 7][(seed % 4) as usize], observers: (seed % 3) as usize, ..SOUND }
}

#[test]
fn no_schedule_breaks_a_promise() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds = match (number("SCHEDULE"), number("SCHEDULES")) {
        (Some(seed), _) => seed..seed + 1,
        (None, Some(count)) => 0..count,
        (None, None) => 0..60,
    };
    let (next, acts, alive) = (AtomicU64::new(seeds.start), AtomicU64::new(0), AtomicU64::new(0));
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        break;
                    }
                    let (world, faults) = play(plan(seed), seed);
                    assert!(faults.is_empty(), "SCHEDULE={seed}: {faults:#?}");
                    let acted = world.seen.iter().filter(|seen| matches!(seen, Seen::Acted { .. })).count();
                    acts.fetch_add(acted as u64, Ordering::Relaxed);
                    alive.fetch_add(u64::from(world.kept()), Ordering::Relaxed);
                    assert!(
                        world.all_speak(),
                        "SCHEDULE={seed}: one says nothing for ever\n{}",
                        world.state()
                    );
                    assert_eq!(world.reborn, 0, "SCHEDULE={seed}: a sound folder is taken for an older copy");
                    assert!(
                        world.kept(),
                        "SCHEDULE={seed}: nobody keeps the log; {:?}\n{}",
                        world.whole(),
                        world.state()
                    );
                }
            });
        }
    });
    println!(
        "{} schedules, {} acts, {} kept at the end",
        seeds.end - seeds.start,
        acts.into_inner(),
        alive.into_inner()
    );
}

#[test]
fn a_seed_replays_a_schedule() {
    for seed in 0..8 {
        replays(seed);
    }
}

fn replays(seed: u64) {
    let (one, other) = (play(plan(seed), seed).0, play(plan(seed), seed).0);
    let differs = one.seen.iter().zip(&other.seen).position(|(one, other)| one != other);
    assert_eq!(differs, None, "{:?}", differs.map(|at| (&one.seen[at - 1..=at], &other.seen[at])));
    assert_eq!(one.seen.len(), other.seen.len());
    assert!(one.seen.len() > 100);
}

/// `OBSERVERS=100` has as many; CI has fewer.
#[test]
fn many_observers_join_at_once() {
    let observers = std::env::var("OBSERVERS").ok().and_then(|text| text.parse().ok()).unwrap_or(30);
    let mut world = World::new(Plan { voters: 5, observers, ..SOUND }, 1);
    let whole = world.until(120.0, |world| world.whole().is_ok() && world.kept());
    assert!(whole.is_some(), "{:?}", world.whole());
    println!("{observers} observers and five voters are all members after {:.1} s", whole.unwrap());
    assert!(faults(&world.seen, &world.both).is_empty());
}

/// Seeds until one finds it.
fn found(change: impl Fn(&mut Plan)) -> Option<u64> {
    (0..400).find(|seed| {
        let mut plan = plan(*seed);
        change(&mut plan);
        !play(plan, *seed).1.is_empty()
    })
}

#[test]
fn each_planted_break_is_found() {
    for rule in ["from_question", "leader_waits", "epochs", "applied_first"] {
        let seed = found(|plan| plan.rules = SafetyRules::without(rule).unwrap());
        assert!(seed.is_some(), "{rule}");
        println!("without {rule}: found by seed {}", seed.unwrap());
    }
    let fast = found(|plan| plan.rate = 0.25);
    assert!(fast.is_some(), "clocks out of their bound");
    println!("clocks 25% off where 2% are set: found by seed {}", fast.unwrap());
    // What was answered for and is gone: the library's own assertions stop the member, or the checker finds it.
    let forgetful = (0..400).find(|seed| {
        let plan = Plan { forgetful: true, ..plan(*seed) };
        std::panic::catch_unwind(|| play(plan, *seed).1).map_or(true, |faults| !faults.is_empty())
    });
    assert!(forgetful.is_some(), "records lost at kills");
    println!("records lost at kills: found by seed {}", forgetful.unwrap());
}
