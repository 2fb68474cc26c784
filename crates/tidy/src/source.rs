//! The Rust sources of the workspace.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

/// One source file.
#[derive(Clone, Debug)]
pub struct Source {
    /// Its path below the workspace.
    pub path: PathBuf,
    /// Its text.
    pub text: String,
}

/// Reads every Rust source of the workspace, in the order of their paths.
pub fn sources() -> io::Result<Vec<Source>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut found = Vec::new();
    walk(&root.join("crates"), &mut found)?;
    found.sort();
    found.into_iter().map(|path| read(&root, path)).collect()
}

fn walk(folder: &Path, found: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            walk(&path, found)?;
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            found.push(path);
        }
    }
    Ok(())
}

fn read(root: &Path, path: PathBuf) -> io::Result<Source> {
    let text = fs::read_to_string(&path)?;
    let path = path.strip_prefix(root).unwrap_or(&path).to_owned();
    Ok(Source { path, text })
}
