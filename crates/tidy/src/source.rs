//! The Rust source files of the workspace.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

/// One Rust source file.
#[derive(Clone, Debug)]
pub struct Source {
    /// The path of the file, relative to the root of the workspace.
    pub path: PathBuf,
    /// The content of the file.
    pub text: String,
}

/// Reads all Rust source files of the workspace, sorted by path.
pub fn sources() -> io::Result<Vec<Source>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut paths = Vec::new();
    find_sources(&root.join("crates"), &mut paths)?;
    paths.sort();
    paths
        .into_iter()
        .map(|path| read_source(&root, path))
        .collect()
}

/// Adds the paths of all Rust source files in a folder and the folders below it.
fn find_sources(folder: &Path, paths: &mut Vec<PathBuf>) -> io::Result<()> {
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.is_dir() {
            find_sources(&path, paths)?;
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            paths.push(path);
        }
    }
    Ok(())
}

fn read_source(root: &Path, path: PathBuf) -> io::Result<Source> {
    let text = fs::read_to_string(&path)?;
    let path = path.strip_prefix(root).unwrap_or(&path).to_owned();
    Ok(Source { path, text })
}
