//! Calls nodes in turn until one answers.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use crate::args::Args;
use crate::exit::CliError;
use net::RpcClient;
use net::RpcError;
use wire::Call;
use wire::FaultKind;

/// A client for the nodes named on the command line.
#[derive(Debug)]
pub struct NodeClient {
    client: RpcClient,
    nodes: Vec<SocketAddr>,
    timeout: Duration,
}

impl NodeClient {
    /// Creates a client for the nodes named on the command line.
    pub fn open(args: &Args) -> Result<Self, CliError> {
        let missing = |what| CliError::Missing { what };
        let file = args.secret_file.clone().ok_or(missing("--secret-file"))?;
        if args.node.is_empty() {
            return Err(missing("--node"));
        }
        let secret = fs::read_to_string(&file).map_err(|error| CliError::File { file, error })?;
        Ok(Self {
            client: RpcClient::new(secret.trim()).map_err(CliError::Client)?,
            nodes: args.node.clone(),
            timeout: Duration::from_millis(args.timeout_ms),
        })
    }

    /// Calls the nodes in turn with a call that changes nothing, until one answers.
    pub async fn query<C: Call>(&self, call: &C) -> Result<C::Reply, CliError> {
        match self.call(call).await {
            Err(CliError::NoAnswer { last, .. }) => Err(CliError::NoAnswer {
                last,
                maybe_done: false,
            }),
            other => other,
        }
    }

    /// Calls the nodes in turn until one answers.
    pub async fn call<C: Call>(&self, call: &C) -> Result<C::Reply, CliError> {
        let mut last = None;
        let mut maybe_done = false;
        for addr in &self.nodes {
            match self.client.call(*addr, call, self.timeout).await {
                Ok(reply) => return Ok(reply),
                Err(e) => {
                    maybe_done |= may_have_acted(&e);
                    last = Some(e);
                }
            }
        }
        let missing = CliError::Missing { what: "--node" };
        Err(last.map_or(missing, |last| CliError::NoAnswer { last, maybe_done }))
    }
}

fn may_have_acted(error: &RpcError) -> bool {
    match error {
        RpcError::Refused { fault, .. } => fault.kind == FaultKind::Unknown,
        RpcError::Unreachable { .. } | RpcError::Timeout { .. } | RpcError::Unreadable { .. } => {
            true
        }
        RpcError::Withheld => false,
    }
}
