//! Structural limits on the scheduler's sources: small modules, acyclic imports, and no access to
//! clocks or I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

const MAX_LINES: usize = 400;
const MAX_COLUMNS: usize = 132;

/// Items that the scheduler must not use: time is an argument, random numbers are seeded, and
/// actions are the only output.
const FORBIDDEN: [&str; 14] = [
    "std::fs",
    "std::io",
    "std::net",
    "std::os",
    "std::env",
    "std::process",
    "std::thread",
    "std::sync",
    "std::time",
    "Instant",
    "SystemTime",
    "RandomState",
    "HashMap",
    "print",
];

/// Source text of each module, by name.
fn modules() -> BTreeMap<String, String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut modules = BTreeMap::new();
    for entry in std::fs::read_dir(folder).expect("the crate has sources") {
        let path = entry.expect("an entry").path();
        assert!(path.is_file(), "nested modules are not checked here");
        let name = path.file_stem().expect("a name").to_string_lossy();
        let text = std::fs::read_to_string(&path).expect("a source is text");
        modules.insert(name.into_owned(), text);
    }
    modules
}

/// Source text without comments.
fn code(text: &str) -> String {
    let lines = text.lines().map(|l| l.split("//").next().unwrap_or(""));
    lines.collect::<Vec<_>>().join("\n")
}

/// Modules that a module names after `crate::`, as a path or in braces, or after `super::`.
fn imports(text: &str, all: &BTreeSet<String>) -> BTreeSet<String> {
    let code = code(text);
    let is_identifier_char = |c: char| c.is_alphanumeric() || c == '_';
    let mut found = BTreeSet::new();
    for part in code
        .split("crate::")
        .skip(1)
        .chain(code.split("super::").skip(1))
    {
        let names: Vec<&str> = match part.strip_prefix('{') {
            Some(list) => {
                let list = list.split(';').next().unwrap_or("");
                list.split(|c: char| !is_identifier_char(c)).collect()
            }
            None => part
                .split(|c: char| !is_identifier_char(c))
                .take(1)
                .collect(),
        };
        found.extend(
            names
                .into_iter()
                .filter(|n| all.contains(*n))
                .map(String::from),
        );
    }
    found
}

#[test]
fn each_module_is_small() {
    for (name, text) in modules() {
        let lines = text.lines().count();
        assert!(lines < MAX_LINES, "{name}: {lines} lines");
        let widest = text.lines().map(|l| l.chars().count()).max().unwrap_or(0);
        assert!(widest <= MAX_COLUMNS, "{name}: {widest} columns");
    }
}

#[test]
fn no_module_imports_its_caller() {
    let modules = modules();
    let names: BTreeSet<String> = modules.keys().cloned().collect();
    let mut imports: BTreeMap<&String, BTreeSet<String>> = modules
        .iter()
        .map(|(name, text)| (name, imports(text, &names)))
        .collect();
    // The crate root declares all modules and is imported by none.
    imports.retain(|name, _| *name != "lib");
    let edges: usize = imports.values().map(BTreeSet::len).sum();
    assert!(edges > imports.len(), "too few imports found: {edges}");
    // Repeatedly remove modules without remaining imports. If none is left to remove, the imports
    // have a cycle.
    while !imports.is_empty() {
        let free: Vec<&String> = imports
            .iter()
            .filter(|(_, used)| used.is_empty())
            .map(|(name, _)| *name)
            .collect();
        assert!(!free.is_empty(), "import cycle among {imports:?}");
        for name in free {
            imports.remove(name);
            for used in imports.values_mut() {
                used.remove(name);
            }
        }
    }
}

#[test]
fn decisions_use_no_clock_and_no_io() {
    for (name, text) in modules() {
        let code = code(&text);
        for forbidden in FORBIDDEN {
            assert!(!code.contains(forbidden), "{name} names {forbidden}");
        }
    }
    let manifest = include_str!("../Cargo.toml");
    assert!(
        !manifest.contains("[dependencies]"),
        "a dependency could use what the modules must not"
    );
}
