//! The decision module stays short enough to be read aloud.

#[test]
fn the_module_keeps_its_limits() {
    let text = include_str!("../src/choice.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    // The operators run no longer one.
    assert!(lines <= 1200, "{lines} non-blank lines");
    for (i, line) in text.lines().enumerate() {
        assert!(line.chars().count() <= 110, "line {} is too long", i + 1);
    }
}
