//! Limits the size of the policy modules, and checks that the deployment file lists all of them.

const POLICY_MODULES: [(&str, &str); 17] = [
    ("policy.rs", include_str!("../src/policy.rs")),
    ("policy/attempts.rs", include_str!("../src/policy/attempts.rs")),
    ("policy/cancellation.rs", include_str!("../src/policy/cancellation.rs")),
    ("policy/connections.rs", include_str!("../src/policy/connections.rs")),
    ("policy/endpoint_list.rs", include_str!("../src/policy/endpoint_list.rs")),
    ("policy/health_log.rs", include_str!("../src/policy/health_log.rs")),
    ("policy/journaling.rs", include_str!("../src/policy/journaling.rs")),
    ("policy/list_confirmation.rs", include_str!("../src/policy/list_confirmation.rs")),
    ("policy/outage.rs", include_str!("../src/policy/outage.rs")),
    ("policy/outage_record.rs", include_str!("../src/policy/outage_record.rs")),
    ("policy/overload.rs", include_str!("../src/policy/overload.rs")),
    ("policy/rate_limit.rs", include_str!("../src/policy/rate_limit.rs")),
    ("policy/recovery_budget.rs", include_str!("../src/policy/recovery_budget.rs")),
    ("policy/scheduling.rs", include_str!("../src/policy/scheduling.rs")),
    ("policy/shutdown.rs", include_str!("../src/policy/shutdown.rs")),
    ("policy/silence.rs", include_str!("../src/policy/silence.rs")),
    ("policy/undelivered.rs", include_str!("../src/policy/undelivered.rs")),
];

#[test]
fn policy_modules_keep_their_limits() {
    for (name, text) in POLICY_MODULES {
        let line_count = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(text.starts_with("//! "), "{name}: the first line is not a module doc comment");
        assert!(line_count <= 300, "{name}: {line_count} non-blank lines, more than 300");
        for (i, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{name}: line {} is too long", i + 1);
        }
    }
}

#[test]
fn every_policy_module_is_listed() {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/src/policy");
    let mut found: Vec<String> = std::fs::read_dir(directory)
        .unwrap()
        .map(|file| format!("policy/{}", file.unwrap().file_name().to_string_lossy()))
        .collect();
    found.sort();
    let listed: Vec<&str> = POLICY_MODULES.iter().skip(1).map(|(name, _)| *name).collect();
    assert_eq!(found, listed);
    let deploy = include_str!("../../../deploy/balancer.toml");
    let policy = deploy.lines().find(|line| line.starts_with("policy")).unwrap();
    for (name, _) in POLICY_MODULES {
        assert!(
            policy.contains(&format!("\"crates/waydoor/src/{name}\"")),
            "{name} is missing in the policy list"
        );
    }
}
