//! The decisions stay in modules of one job each, all of which the deploy file lists.

const ROOMS: [(&str, &str); 11] = [
    ("choice.rs", include_str!("../src/choice.rs")),
    ("choice/answers.rs", include_str!("../src/choice/answers.rs")),
    ("choice/attempts.rs", include_str!("../src/choice/attempts.rs")),
    ("choice/closing.rs", include_str!("../src/choice/closing.rs")),
    ("choice/connections.rs", include_str!("../src/choice/connections.rs")),
    ("choice/listing.rs", include_str!("../src/choice/listing.rs")),
    ("choice/order.rs", include_str!("../src/choice/order.rs")),
    ("choice/outage.rs", include_str!("../src/choice/outage.rs")),
    ("choice/pace.rs", include_str!("../src/choice/pace.rs")),
    ("choice/refusal.rs", include_str!("../src/choice/refusal.rs")),
    ("choice/storage.rs", include_str!("../src/choice/storage.rs")),
];

#[test]
fn the_module_keeps_its_limits() {
    for (name, text) in ROOMS {
        let own = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(text.starts_with("//! "), "{name}: its first line tells its job");
        assert!(own <= 300, "{name}: {own} non-blank lines are more than one job");
        for (i, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{name}: line {} is too long", i + 1);
        }
    }
}

#[test]
fn every_room_is_counted() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/src/choice");
    let mut found: Vec<String> = std::fs::read_dir(folder)
        .unwrap()
        .map(|file| format!("choice/{}", file.unwrap().file_name().to_string_lossy()))
        .collect();
    found.sort();
    let counted: Vec<&str> = ROOMS.iter().skip(1).map(|(name, _)| *name).collect();
    assert_eq!(found, counted);
    let deploy = include_str!("../../../deploy/balancer.toml");
    let policy = deploy.lines().find(|line| line.starts_with("policy")).unwrap();
    for (name, _) in ROOMS {
        assert!(policy.contains(&format!("\"crates/waydoor/src/{name}\"")), "{name} is not under policy");
    }
}
