//! One import a line in three groups, tests in test files, no io_uring.

use std::fs;
use std::path::Path;

use tidy::Source;
use tidy::sources;

/// Crates of this workspace, which form the third group with `crate` and `super`.
fn own_crates() -> Vec<String> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    fs::read_dir(crates)
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Std,
    External,
    Own,
}

fn group(import: &str, own: &[String]) -> Group {
    let root = import.split("::").next().unwrap_or(import);
    match root {
        "std" | "core" | "alloc" => Group::Std,
        "crate" | "super" | "self" => Group::Own,
        _ if own.iter().any(|name| name == root) => Group::Own,
        _ => Group::External,
    }
}

fn findings(source: &Source, own: &[String]) -> Vec<String> {
    let mut found = Vec::new();
    let mut last: Option<(usize, Group)> = None;
    for (at, line) in source.text.lines().enumerate() {
        let place = format!("{}:{}", source.path.display(), at + 1);
        let Some(import) = line.strip_prefix("use ") else {
            continue;
        };
        if import.contains('{') {
            found.push(format!("{place}: more than one import on a line"));
        }
        let this = group(import.trim_end_matches(';'), own);
        if let Some((before, other)) = last {
            let gap = 1 < at - before;
            if this < other {
                found.push(format!("{place}: {this:?} import after {other:?} import"));
            }
            if this != other && !gap {
                found.push(format!("{place}: no blank line before the {this:?} group"));
            }
            if this == other && gap {
                found.push(format!("{place}: the {this:?} group is split"));
            }
        }
        last = Some((at, this));
    }
    found
}

#[test]
fn imports_stand_one_a_line_in_three_groups() {
    let own = own_crates();
    let found: Vec<_> = sources()
        .unwrap()
        .iter()
        .flat_map(|source| findings(source, &own))
        .collect();
    assert!(found.is_empty(), "{}", found.join("\n"));
}

#[test]
fn the_import_check_sees_what_it_is_for() {
    let source = |text: &str| Source {
        path: "a.rs".into(),
        text: text.to_owned(),
    };
    let own = vec!["base".to_owned()];
    assert_eq!(
        findings(&source("use std::io::{Read, Write};\n"), &own).len(),
        1
    );
    assert_eq!(
        findings(&source("use std::io;\nuse base::Time;\n"), &own).len(),
        1
    );
    assert_eq!(
        findings(&source("use base::Time;\n\nuse std::io;\n"), &own).len(),
        1
    );
    assert_eq!(
        findings(&source("use std::fs;\n\nuse std::io;\n"), &own).len(),
        1
    );
    assert_eq!(
        findings(&source("use std::io;\n\nuse base::Time;\n"), &own).len(),
        0
    );
}

#[test]
fn tests_live_in_test_files() {
    let marker = concat!("#[cfg(", "test)]");
    let found: Vec<_> = sources()
        .unwrap()
        .into_iter()
        .filter(|source| source.text.contains(marker))
        .map(|source| source.path)
        .collect();
    assert!(found.is_empty(), "{found:?}");
}

#[test]
fn no_io_uring_crate_is_locked() {
    let lock = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.lock");
    let text = fs::read_to_string(lock).unwrap();
    assert!(!text.contains("name = \"io-uring\""));
}
