//! Scenarios: what is wrong with one is told by file and line before anything starts; a seed gives one script.

use fawnspoke_lab::command::DEMO;
use fawnspoke_lab::scenario::{FaultKind, Scenario};
use fawnspoke_lab::script::Script;

const ROUGH: &str = include_str!("../scenarios/rough.toml");
const FAULTS: &str = include_str!("../scenarios/faults.toml");

const GOOD: &str = r#"length_s = 10.0
[dispatchers]
count = 2
[clients]
rate = 50.0
[[class]]
name = "post"
effect = "keyed"
share = 1.0
aim_s = 1.0
deadline_s = 5.0
window_s = 9.0
[[partner]]
name = "one"
share = 1.0
capacity = 50.0
service_ms = [5.0, 20.0]
[[partner]]
name = "two"
share = 1.0
capacity = 50.0
service_ms = [5.0, 20.0]
[[fault]]
at_s = 2.0
for_s = 3.0
kind = "down"
partner = "two"
"#;

/// The good scenario with a line replaced, and the error that it gives.
fn error(was: &str, is: &str) -> String {
    assert!(GOOD.contains(was), "{was}");
    let text = GOOD.replacen(was, is, 1);
    Scenario::parse("my.toml", &text).expect_err(is)
}

#[test]
fn what_is_wrong_is_told_by_line() {
    assert!(Scenario::parse("my.toml", GOOD).is_ok());
    for (was, is, told) in [
        ("rate = 50.0", "rte = 50.0", "my.toml:5: "),
        ("rate = 50.0", "rate = -1.0", "my.toml:5: rate: must be a number above 0"),
        ("rate = 50.0", "rate = nan", "my.toml:5: rate: "),
        ("rate = 50.0", "rate = \"many\"", "my.toml:5: "),
        ("rate = 50.0", "rate = 60000.0", "my.toml:5: rate: more than 500,000 messages"),
        ("length_s = 10.0", "length_s = 0.0", "my.toml:1: length_s: "),
        ("length_s = 10.0", "length_s = 1e9", "my.toml:1: length_s: "),
        ("count = 2", "count = 0", "my.toml:3: count: "),
        ("effect = \"keyed\"", "effect = \"magic\"", "my.toml:8: "),
        ("window_s = 9.0", "", "my.toml:6: window_s: a keyed class needs one"),
        ("name = \"two\"", "name = \"one\"", "my.toml:19: name: another partner has this name"),
        ("capacity = 50.0", "capacity = 0.0", "my.toml:16: capacity: "),
        ("service_ms = [5.0, 20.0]", "service_ms = [30.0, 20.0]", "my.toml:17: service_ms: "),
        (
            "service_ms = [5.0, 20.0]",
            "service_ms = [5.0, 20.0]\nlimit = \"rate\"",
            "my.toml:13: limit_per_s: ",
        ),
        (
            "service_ms = [5.0, 20.0]",
            "service_ms = [5.0, 20.0]\nerrors = 0.7\ncuts = 0.7",
            "my.toml:18: errors: ",
        ),
        ("at_s = 2.0", "at_s = 12.0", "my.toml:24: at_s: must lie between 0 and the run's 10 s"),
        ("for_s = 3.0", "for_s = 9.0", "my.toml:25: for_s: it would outlast the run's 10 s"),
        ("for_s = 3.0", "", "my.toml:23: for_s: this kind lasts for a time"),
        ("partner = \"two\"", "partner = \"three\"", "my.toml:27: partner: there is no partner 'three'"),
        ("partner = \"two\"", "", "my.toml:23: partner: missing"),
        ("kind = \"down\"", "kind = \"kill\"", "my.toml:23: dispatcher: missing"),
        ("kind = \"down\"", "kind = \"slow\"", "my.toml:23: factor: "),
        ("kind = \"down\"", "kind = \"sideways\"", "my.toml:26: "),
        ("kind = \"down\"", "kind = \"drain\"\nendpoint = 2", "my.toml:27: endpoint: 'two' has 2"),
        (
            "partner = \"two\"",
            "partner = \"two\"\ndispatcher = 1",
            "my.toml:28: dispatcher: this kind does not",
        ),
    ] {
        let text = error(was, is);
        assert!(text.starts_with(told), "{is}: {text}");
        assert_eq!(text.lines().count(), 1, "{text}");
    }
    let twice = format!("{GOOD}[[fault]]\nat_s = 4.0\nfor_s = 1.0\nkind = \"hang\"\npartner = \"two\"\n");
    let text = Scenario::parse("my.toml", &twice).expect_err("two outages at once");
    assert!(text.starts_with("my.toml:29: at_s: another fault befalls this partner"), "{text}");
    assert!(Scenario::parse("my.toml", "length_s = [").expect_err("no TOML").starts_with("my.toml:1: "));
}

#[test]
fn a_seed_gives_one_script() {
    for (name, text) in [("demo", DEMO), ("rough", ROUGH), ("faults", FAULTS)] {
        let scenario = Scenario::parse(name, text).unwrap();
        let (one, two) = (Script::generate(&scenario, 7), Script::generate(&scenario, 7));
        assert_eq!(one, two);
        assert_eq!(one.text(&scenario), two.text(&scenario));
        let other = Script::generate(&scenario, 8);
        assert_ne!(one.text(&scenario), other.text(&scenario));
        assert_ne!(one.digest(&scenario), other.digest(&scenario));
    }
}

#[test]
fn more_faults_move_no_arrival() {
    let scenario = Scenario::parse("rough", ROUGH).unwrap();
    let mut calm = scenario.clone();
    calm.random_faults = Default::default();
    let (rough, calm) = (Script::generate(&scenario, 3), Script::generate(&calm, 3));
    assert_eq!(rough.arrivals, calm.arrivals);
    assert!(calm.faults.is_empty() && rough.faults.len() >= 10);
}

#[test]
fn what_is_drawn_is_as_often_as_asked_and_never_twice_at_once() {
    let scenario = Scenario::parse("rough", ROUGH).unwrap();
    for seed in 0..200 {
        let script = Script::generate(&scenario, seed);
        let messages = script.arrivals.len() as f64;
        let expected = scenario.clients.messages_per_s * scenario.duration_s;
        assert!((messages - expected).abs() < 6.0 * expected.sqrt(), "seed {seed}: {messages} messages");
        assert!(script.faults.is_sorted_by_key(|turn| turn.at) && script.arrivals.is_sorted_by_key(|a| a.at));
        let kills: Vec<_> = script.faults.iter().filter(|turn| turn.kind == FaultKind::Kill).collect();
        assert!((1..=scenario.random_faults.kills).contains(&kills.len()), "seed {seed}");
        for (i, one) in script.faults.iter().enumerate() {
            assert!(one.at + one.duration <= (scenario.duration_s * 1e6) as u64, "seed {seed}: {one:?}");
            let outage = |kind: FaultKind| !kind.targets_dispatcher() && !kind.targets_platform();
            for other in script.faults[..i].iter().filter(|other| outage(other.kind) && outage(one.kind)) {
                let apart = other.at + other.duration < one.at || other.target != one.target;
                assert!(apart, "seed {seed}: {one:?} and {other:?}");
            }
        }
    }
}

#[test]
fn shares_are_kept() {
    let scenario = Scenario::parse("demo", DEMO).unwrap();
    let script = Script::generate(&scenario, 5);
    let part = |class| {
        let count = script.arrivals.iter().filter(|arrival| arrival.class == class).count();
        count as f64 / script.arrivals.len() as f64
    };
    assert!((part(0) - 0.5).abs() < 0.05 && (part(1) - 0.4).abs() < 0.05 && (part(2) - 0.1).abs() < 0.05);
    assert!(script.arrivals.iter().all(|arrival| (100..=400).contains(&arrival.body_bytes)));
}
