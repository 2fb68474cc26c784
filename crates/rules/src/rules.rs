//! The types of the rules, and lookups in them.

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

/// The size of the largest rules file that is read.
pub const MAX_RULES_FILE_BYTES: usize = 1024 * 1024;

/// Who asked for a rule, as its comment in the file says.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Asker(pub String);

/// The rule of an organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Org {
    /// The organisation's weight when capacity is scarce.
    pub weight: u32,
    /// Who asked for the rule.
    pub asker: Asker,
}

/// The rule of a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The organisation that the caller belongs to.
    pub org: OrgName,
    /// The digest of the caller's bearer secret.
    pub secret: SecretDigest,
    /// Who asked for the rule.
    pub asker: Asker,
    /// The caller's contracts by model.
    pub contracts: BTreeMap<ModelName, ContractName>,
}

/// The rule of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The number of hosts in one replica.
    pub width: u32,
    /// The fewest replicas to keep.
    pub min_replicas: u32,
    /// The most replicas allowed.
    pub max_replicas: u32,
    /// Who asked for the rule.
    pub asker: Asker,
}

/// Whether calls of a service may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Repeat {
    /// Idempotent: a lost call may be sent again.
    Allowed,
    /// A call runs at most once under its key.
    Never,
}

/// Whether a service can be asked for the outcome of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum OutcomeQuery {
    /// The service answers such queries.
    Allowed,
    /// The service does not answer such queries.
    Never,
}

/// The rule of a service that is not a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The callers that may call the service.
    pub callers: BTreeSet<CallerName>,
    /// Whether its calls may be repeated.
    pub repeat: Repeat,
    /// Whether the service can be asked for the outcome of a key.
    pub ask: OutcomeQuery,
    /// The time that a call may take.
    pub deadline: Duration,
    /// How long the outcome of a key is kept.
    pub retention: Duration,
    /// Who asked for the rule.
    pub asker: Asker,
}

/// The rule of a contract.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ContractRule {
    /// The contract.
    pub contract: Contract,
    /// Who asked for the rule.
    pub asker: Asker,
}

/// All rules of a file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// The organisations by name.
    pub orgs: BTreeMap<OrgName, Org>,
    /// The callers by name.
    pub callers: BTreeMap<CallerName, Caller>,
    /// The models by name.
    pub models: BTreeMap<ModelName, Model>,
    /// The services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// The contracts by name.
    pub contracts: BTreeMap<ContractName, ContractRule>,
    /// The callers by the digests of their secrets.
    pub secrets: BTreeMap<SecretDigest, CallerName>,
}

impl Rules {
    /// Parses and checks a file's text. `file` only names it in the findings.
    pub fn parse(file: &Path, text: &str) -> Result<Self, Findings> {
        read::read_rules(file, text)
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

    /// The rule of a service, if the caller may call it.
    pub fn service_for(&self, caller: &CallerName, service: &ServiceName) -> Option<&Service> {
        let found = self.services.get(service)?;
        found.callers.contains(caller).then_some(found)
    }
}
