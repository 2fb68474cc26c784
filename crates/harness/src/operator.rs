//! Runs the operators' command line tool against one node.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

use crate::program_path;

/// An operator with the secret, at one node.
#[derive(Clone, Debug)]
pub struct Operator {
    node: SocketAddr,
    secret_file: PathBuf,
}

impl Operator {
    /// Creates an operator at a node's internal address.
    pub fn new(node: SocketAddr, secret_file: PathBuf) -> Self {
        Self { node, secret_file }
    }

    /// Runs the tool with further arguments.
    pub fn run_tool(&self, args: &[&str]) -> io::Result<Output> {
        Command::new(program_path("berylbay"))
            .arg("--node")
            .arg(self.node.to_string())
            .arg("--secret-file")
            .arg(&self.secret_file)
            .args(args)
            .output()
    }

    /// Returns the JSON output of the tool, null if it fails.
    pub fn run_tool_json(&self, args: &[&str]) -> serde_json::Value {
        let args: Vec<&str> = ["--json"].into_iter().chain(args.iter().copied()).collect();
        let output = self.run_tool(&args);
        let json = output.map(|output| serde_json::from_slice(&output.stdout));
        json.ok().and_then(Result::ok).unwrap_or_default()
    }

    /// The version of the configuration in force at the node.
    pub fn config_version(&self) -> Option<u64> {
        self.run_tool_json(&["status"])["version"].as_u64()
    }
}
