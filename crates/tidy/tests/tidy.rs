//! Checks that imports are one a line in three groups, that tests are in test files, and that
//! no io_uring crate is used.

use std::fs;
use std::path::Path;

use tidy::Source;
use tidy::sources;

/// The names of the crates of this workspace. Their imports form the third group, together
/// with those of `crate` and `super`.
fn own_crate_names() -> Vec<String> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    fs::read_dir(crates)
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect()
}

/// The group of an import, in the order in which the groups must appear.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ImportGroup {
    Std,
    External,
    Own,
}

fn group_of(import: &str, own_crates: &[String]) -> ImportGroup {
    let root = import.split("::").next().unwrap_or(import);
    match root {
        "std" | "core" | "alloc" => ImportGroup::Std,
        "crate" | "super" | "self" => ImportGroup::Own,
        _ if own_crates.iter().any(|name| name == root) => ImportGroup::Own,
        _ => ImportGroup::External,
    }
}

/// Returns a line for each import of a file that breaks the style.
fn import_violations(source: &Source, own_crates: &[String]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut last_import: Option<(usize, ImportGroup)> = None;
    for (index, line) in source.text.lines().enumerate() {
        let location = format!("{}:{}", source.path.display(), index + 1);
        let Some(import) = line.strip_prefix("use ") else {
            continue;
        };
        if import.contains('{') {
            violations.push(format!("{location}: more than one import on a line"));
        }
        let group = group_of(import.trim_end_matches(';'), own_crates);
        if let Some((last_index, last_group)) = last_import {
            let is_separated = 1 < index - last_index;
            if group < last_group {
                violations.push(format!(
                    "{location}: {group:?} import after {last_group:?} import"
                ));
            }
            if group != last_group && !is_separated {
                violations.push(format!(
                    "{location}: no blank line before the {group:?} group"
                ));
            }
            if group == last_group && is_separated {
                violations.push(format!("{location}: the {group:?} group is split"));
            }
        }
        last_import = Some((index, group));
    }
    violations
}

#[test]
fn imports_stand_one_a_line_in_three_groups() {
    let own_crates = own_crate_names();
    let violations: Vec<_> = sources()
        .unwrap()
        .iter()
        .flat_map(|source| import_violations(source, &own_crates))
        .collect();
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn the_import_check_sees_what_it_is_for() {
    let source = |text: &str| Source {
        path: "a.rs".into(),
        text: text.to_owned(),
    };
    let own_crates = vec!["base".to_owned()];
    assert_eq!(
        import_violations(&source("use std::io::{Read, Write};\n"), &own_crates).len(),
        1
    );
    assert_eq!(
        import_violations(&source("use std::io;\nuse base::Time;\n"), &own_crates).len(),
        1
    );
    assert_eq!(
        import_violations(&source("use base::Time;\n\nuse std::io;\n"), &own_crates).len(),
        1
    );
    assert_eq!(
        import_violations(&source("use std::fs;\n\nuse std::io;\n"), &own_crates).len(),
        1
    );
    assert_eq!(
        import_violations(&source("use std::io;\n\nuse base::Time;\n"), &own_crates).len(),
        0
    );
}

#[test]
fn tests_live_in_test_files() {
    let marker = concat!("#[cfg(", "test)]");
    let violations: Vec<_> = sources()
        .unwrap()
        .into_iter()
        .filter(|source| source.text.contains(marker))
        .map(|source| source.path)
        .collect();
    assert!(violations.is_empty(), "{violations:?}");
}

#[test]
fn no_io_uring_crate_is_locked() {
    let lock = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.lock");
    let text = fs::read_to_string(lock).unwrap();
    assert!(!text.contains("name = \"io-uring\""));
}
