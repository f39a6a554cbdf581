//! Scenario files are validated with file and line in each error; a seed always generates the same script.

use fawnspoke_lab::command::DEMO;
use fawnspoke_lab::scenario::{FaultKind, Scenario};
use fawnspoke_lab::script::Script;

const ROUGH: &str = include_str!("../scenarios/rough.toml");
const FAULTS: &str = include_str!("../scenarios/faults.toml");

const VALID: &str = r#"length_s = 10.0
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

/// The error for the valid scenario with one piece of text replaced.
fn parse_error(original: &str, replacement: &str) -> String {
    assert!(VALID.contains(original), "{original}");
    let text = VALID.replacen(original, replacement, 1);
    Scenario::parse("my.toml", &text).expect_err(replacement)
}

#[test]
fn invalid_values_are_reported_with_file_and_line() {
    assert!(Scenario::parse("my.toml", VALID).is_ok());
    for (original, replacement, expected_error) in [
        ("rate = 50.0", "rte = 50.0", "my.toml:5: "),
        ("rate = 50.0", "rate = -1.0", "my.toml:5: rate: must be a number above 0"),
        ("rate = 50.0", "rate = nan", "my.toml:5: rate: "),
        ("rate = 50.0", "rate = \"many\"", "my.toml:5: "),
        ("rate = 50.0", "rate = 60000.0", "my.toml:5: rate: more than 500,000 messages"),
        ("length_s = 10.0", "length_s = 0.0", "my.toml:1: length_s: "),
        ("length_s = 10.0", "length_s = 1e9", "my.toml:1: length_s: "),
        ("count = 2", "count = 0", "my.toml:3: count: "),
        ("effect = \"keyed\"", "effect = \"magic\"", "my.toml:8: "),
        ("window_s = 9.0", "", "my.toml:6: window_s: a keyed class needs a window"),
        ("name = \"two\"", "name = \"one\"", "my.toml:19: name: duplicate partner name"),
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
        ("for_s = 3.0", "for_s = 9.0", "my.toml:25: for_s: must end within the run's 10 s"),
        ("for_s = 3.0", "", "my.toml:23: for_s: this fault kind needs a duration"),
        ("partner = \"two\"", "partner = \"three\"", "my.toml:27: partner: no partner is named 'three'"),
        ("partner = \"two\"", "", "my.toml:23: partner: missing"),
        ("kind = \"down\"", "kind = \"kill\"", "my.toml:23: dispatcher: missing"),
        ("kind = \"down\"", "kind = \"slow\"", "my.toml:23: factor: "),
        ("kind = \"down\"", "kind = \"sideways\"", "my.toml:26: "),
        ("kind = \"down\"", "kind = \"drain\"\nendpoint = 2", "my.toml:27: endpoint: 'two' has only 2"),
        (
            "partner = \"two\"",
            "partner = \"two\"\ndispatcher = 1",
            "my.toml:28: dispatcher: this fault kind does not",
        ),
    ] {
        let text = parse_error(original, replacement);
        assert!(text.starts_with(expected_error), "{replacement}: {text}");
        assert_eq!(text.lines().count(), 1, "{text}");
    }
    let overlapping =
        format!("{VALID}[[fault]]\nat_s = 4.0\nfor_s = 1.0\nkind = \"hang\"\npartner = \"two\"\n");
    let text = Scenario::parse("my.toml", &overlapping).expect_err("two outages at once");
    assert!(text.starts_with("my.toml:29: at_s: another fault affects this partner"), "{text}");
    assert!(Scenario::parse("my.toml", "length_s = [").expect_err("no TOML").starts_with("my.toml:1: "));
}

#[test]
fn the_same_seed_generates_the_same_script() {
    for (name, text) in [("demo", DEMO), ("rough", ROUGH), ("faults", FAULTS)] {
        let scenario = Scenario::parse(name, text).unwrap();
        let (first, second) = (Script::generate(&scenario, 7), Script::generate(&scenario, 7));
        assert_eq!(first, second);
        assert_eq!(first.text(&scenario), second.text(&scenario));
        let other = Script::generate(&scenario, 8);
        assert_ne!(first.text(&scenario), other.text(&scenario));
        assert_ne!(first.digest(&scenario), other.digest(&scenario));
    }
}

#[test]
fn random_faults_do_not_change_arrivals() {
    let scenario = Scenario::parse("rough", ROUGH).unwrap();
    let mut without_faults = scenario.clone();
    without_faults.random_faults = Default::default();
    let (with_faults, without_faults) =
        (Script::generate(&scenario, 3), Script::generate(&without_faults, 3));
    assert_eq!(with_faults.arrivals, without_faults.arrivals);
    assert!(without_faults.faults.is_empty() && with_faults.faults.len() >= 10);
}

#[test]
fn random_faults_keep_the_requested_counts_and_never_overlap() {
    let scenario = Scenario::parse("rough", ROUGH).unwrap();
    for seed in 0..200 {
        let script = Script::generate(&scenario, seed);
        let messages = script.arrivals.len() as f64;
        let expected = scenario.clients.messages_per_s * scenario.duration_s;
        assert!((messages - expected).abs() < 6.0 * expected.sqrt(), "seed {seed}: {messages} messages");
        assert!(
            script.faults.is_sorted_by_key(|fault| fault.at)
                && script.arrivals.is_sorted_by_key(|arrival| arrival.at)
        );
        let kills: Vec<_> = script.faults.iter().filter(|fault| fault.kind == FaultKind::Kill).collect();
        assert!((1..=scenario.random_faults.kills).contains(&kills.len()), "seed {seed}");
        for (i, event) in script.faults.iter().enumerate() {
            assert!(
                event.at + event.duration <= (scenario.duration_s * 1e6) as u64,
                "seed {seed}: {event:?}"
            );
            let targets_partner = |kind: FaultKind| !kind.targets_dispatcher() && !kind.targets_platform();
            for other in script.faults[..i]
                .iter()
                .filter(|other| targets_partner(other.kind) && targets_partner(event.kind))
            {
                let disjoint = other.at + other.duration < event.at || other.target != event.target;
                assert!(disjoint, "seed {seed}: {event:?} and {other:?}");
            }
        }
    }
}

#[test]
fn class_weights_and_body_sizes_are_respected() {
    let scenario = Scenario::parse("demo", DEMO).unwrap();
    let script = Script::generate(&scenario, 5);
    let fraction = |class| {
        let count = script.arrivals.iter().filter(|arrival| arrival.class == class).count();
        count as f64 / script.arrivals.len() as f64
    };
    assert!(
        (fraction(0) - 0.5).abs() < 0.05
            && (fraction(1) - 0.4).abs() < 0.05
            && (fraction(2) - 0.1).abs() < 0.05
    );
    assert!(script.arrivals.iter().all(|arrival| (100..=400).contains(&arrival.body_bytes)));
}
