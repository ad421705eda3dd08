//! The decision module keeps its limits.

#[test]
fn the_decision_module_stays_within_its_lines_and_columns() {
    let text = include_str!("../src/choice.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 1010, "{lines} lines");
    let widest = text.lines().map(|l| l.chars().count()).max().unwrap_or(0);
    assert!(widest <= 110, "{widest} columns");
}
