//! The decision module keeps its shape: small modules, imports that run one way, and nothing of the world outside.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

const MAX_LINES: usize = 400;
const MAX_COLUMNS: usize = 132;

/// What decisions must not touch: time is an argument, random numbers are seeded, and actions are all that goes out.
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

/// The text of each module, by its name.
fn modules() -> BTreeMap<String, String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut modules = BTreeMap::new();
    for entry in std::fs::read_dir(folder).expect("the crate has sources") {
        let path = entry.expect("an entry").path();
        assert!(path.is_file(), "modules of modules are not looked at here");
        let name = path.file_stem().expect("a name").to_string_lossy();
        let text = std::fs::read_to_string(&path).expect("a source is text");
        modules.insert(name.into_owned(), text);
    }
    modules
}

/// A module's text without its comments.
fn code(text: &str) -> String {
    let lines = text.lines().map(|l| l.split("//").next().unwrap_or(""));
    lines.collect::<Vec<_>>().join("\n")
}

/// The modules that a module names behind `crate::`, by path or in braces, or behind `super::`.
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
    // The crate's root declares all and is imported by none.
    imports.retain(|name, _| *name != "lib");
    let edges: usize = imports.values().map(BTreeSet::len).sum();
    assert!(edges > imports.len(), "imports are not seen: {edges}");
    // Modules that import nothing that is left are taken away until none is left, unless there is a circle.
    while !imports.is_empty() {
        let free: Vec<&String> = imports
            .iter()
            .filter(|(_, used)| used.is_empty())
            .map(|(name, _)| *name)
            .collect();
        assert!(!free.is_empty(), "an import circle among {imports:?}");
        for name in free {
            imports.remove(name);
            for used in imports.values_mut() {
                used.remove(name);
            }
        }
    }
}

#[test]
fn decisions_know_no_clock_and_do_no_io() {
    for (name, text) in modules() {
        let code = code(&text);
        for forbidden in FORBIDDEN {
            assert!(!code.contains(forbidden), "{name} names {forbidden}");
        }
    }
    let manifest = include_str!("../Cargo.toml");
    assert!(
        !manifest.contains("[dependencies]"),
        "a dependency may do what the modules must not"
    );
}
