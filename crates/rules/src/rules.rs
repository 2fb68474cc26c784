//! The rules as plain data.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::SecretDigest;
use crate::read;
use base::CallerName;
use base::Contract;
use base::ContractName;
use base::Findings;
use base::ModelName;
use base::OrgName;
use base::ServiceName;

/// The largest file that is read.
pub const MAX_RULES_FILE_BYTES: usize = 1024 * 1024;

/// Who asked for a rule, as its comment says.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Asker(pub String);

/// An organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Org {
    /// Its weight when capacity runs short.
    pub weight: u32,
    /// Who asked for the rule.
    pub asker: Asker,
}

/// A caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The organisation it belongs to.
    pub org: OrgName,
    /// The digest of its bearer secret.
    pub secret: SecretDigest,
    /// Who asked for the rule.
    pub asker: Asker,
    /// Its contracts by model.
    pub contracts: BTreeMap<ModelName, ContractName>,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Hosts in one replica.
    pub width: u32,
    /// Fewest replicas wanted.
    pub min_replicas: u32,
    /// Most replicas allowed.
    pub max_replicas: u32,
    /// Who asked for the rule.
    pub asker: Asker,
}

/// Whether a service's calls may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Repeat {
    /// Idempotent: a lost call may be sent again.
    Allowed,
    /// Runs at most once under its key.
    Never,
}

/// Whether a service can tell the outcome of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OutcomeQuery {
    /// It may be asked for the outcome of a key.
    Allowed,
    /// It cannot be asked.
    Never,
}

/// A plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Who may call it.
    pub callers: BTreeSet<CallerName>,
    /// Whether its calls may be repeated.
    pub repeat: Repeat,
    /// Whether it can be asked for the outcome of a key.
    pub ask: OutcomeQuery,
    /// Time allowed to a call.
    pub deadline: Duration,
    /// How long the outcome of a key is remembered.
    pub retention: Duration,
    /// Who asked for the rule.
    pub asker: Asker,
}

/// A contract and who asked for it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ContractRule {
    /// The contract.
    pub contract: Contract,
    /// Who asked for the rule.
    pub asker: Asker,
}

/// All rules of one file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Organisations.
    pub orgs: BTreeMap<OrgName, Org>,
    /// Callers.
    pub callers: BTreeMap<CallerName, Caller>,
    /// Models.
    pub models: BTreeMap<ModelName, Model>,
    /// Services.
    pub services: BTreeMap<ServiceName, Service>,
    /// Contracts.
    pub contracts: BTreeMap<ContractName, ContractRule>,
    /// Callers by the digests of their secrets.
    pub secrets: BTreeMap<SecretDigest, CallerName>,
}

impl Rules {
    /// Reads a file's text. `file` only names it in the findings.
    pub fn parse(file: &Path, text: &str) -> Result<Self, Findings> {
        read::rules(file, text)
    }

    /// The caller whose bearer secret has this SHA-256 digest.
    pub fn caller_by_secret(&self, sha256: &[u8; 32]) -> Option<(&CallerName, &Caller)> {
        let name = self.secrets.get(&SecretDigest(*sha256))?;
        self.callers.get_key_value(name)
    }

    /// The contract under which a caller uses a model.
    pub fn contract_for(&self, caller: &CallerName, model: &ModelName) -> Option<&Contract> {
        let name = self.callers.get(caller)?.contracts.get(model)?;
        self.contracts.get(name).map(|rule| &rule.contract)
    }

    /// The service, if the caller may call it.
    pub fn service_for(&self, caller: &CallerName, service: &ServiceName) -> Option<&Service> {
        let found = self.services.get(service)?;
        found.callers.contains(caller).then_some(found)
    }
}
