//! Tells the other nodes how much of each contract is used here, and takes what they tell.
//!
//! Names travel as hashes: every node has the same rules to look them up in.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::fnv;
use crate::node::Node;
use admit::ContractDemand;
use admit::DemandReport;
use admit::ModelDemand;
use admit::OrgDemand;
use base::ContractName;
use base::Incarnation;
use base::ModelName;
use base::NodeId;
use base::OrgName;
use members::Item;
use members::Kind;
use members::News;
use members::Scope;
use members::Standing;
use quorum::clock;
use rules::Rules;

/// How often demand is told.
pub const EXCHANGE_EVERY: Duration = Duration::from_millis(500);

/// How long a report is believed.
const REPORT_LIFE: Duration = Duration::from_millis(3_000);

/// Contracts in one item, so that it fits into a datagram.
const CONTRACTS_IN_ITEM: usize = 24;

/// Keys of items about models start here; those below are about contracts.
const FIRST_MODEL_KEY: u64 = 1 << 32;

/// Organisations in one item at most: those that ask for most.
const ORGS_IN_ITEM: usize = 64;

/// A part of one node's report.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Part {
    incarnation: Incarnation,
    sequence: u64,
    contracts: Vec<ContractPart>,
    models: Vec<ModelPart>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct ContractPart {
    contract: u64,
    requests: f32,
    tokens: f32,
    spent_requests: f64,
    spent_tokens: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct ModelPart {
    model: u64,
    long: f32,
    beyond: f32,
    sent: f32,
    orgs: Vec<OrgPart>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct OrgPart {
    org: u64,
    asked: f32,
}

/// The names of the rules in force by their hashes.
struct Names {
    contracts: BTreeMap<u64, ContractName>,
    models: BTreeMap<u64, ModelName>,
    orgs: BTreeMap<u64, (OrgName, f64)>,
}

/// Exchanges demand, for as long as the node runs.
pub async fn exchange_on(node: Rc<Node>) {
    loop {
        compio::time::sleep(EXCHANGE_EVERY).await;
        let report = node.dispatch.demand(clock::now());
        publish(&node, &report);
        take(&node);
    }
}

/// Takes in what other nodes told, as soon as it has come and with each exchange.
pub fn take(node: &Node) {
    let reports = heard(node);
    node.dispatch.peers(&reports, &alive(node), clock::now());
}

fn publish(node: &Node, report: &DemandReport) {
    let used = |c: &&ContractDemand| 0.0 < c.spent_requests || 0.0 < c.requests;
    let contracts: Vec<_> = report
        .contracts
        .iter()
        .filter(used)
        .map(contract_part)
        .collect();
    for (key, contracts) in contracts.chunks(CONTRACTS_IN_ITEM).enumerate() {
        let part = Part::of(report, contracts.to_vec(), Vec::new());
        publish_part(node, key as u64, &part);
    }
    for (key, model) in report.models.iter().enumerate() {
        let part = Part::of(report, Vec::new(), vec![model_part(model)]);
        publish_part(node, FIRST_MODEL_KEY + key as u64, &part);
    }
}

fn publish_part(node: &Node, key: u64, part: &Part) {
    let item = Item {
        kind: Kind::Demand,
        key,
        body: postcard::to_stdvec(part).unwrap_or_default(),
        scope: Scope::Everywhere,
        ttl: REPORT_LIFE,
    };
    node.gossip.members.borrow_mut().publish(item, clock::now());
}

impl Part {
    fn of(report: &DemandReport, contracts: Vec<ContractPart>, models: Vec<ModelPart>) -> Self {
        Self {
            incarnation: report.incarnation,
            sequence: report.sequence,
            contracts,
            models,
        }
    }
}

/// The reports of the other nodes, put together from their parts.
fn heard(node: &Node) -> Vec<DemandReport> {
    let names = Names::of(&node.rules());
    let items = node
        .gossip
        .members
        .borrow()
        .items(Kind::Demand, clock::now());
    let mut reports: BTreeMap<NodeId, DemandReport> = BTreeMap::new();
    for News { origin, item } in items {
        let Ok(part) = postcard::from_bytes::<Part>(&item.body) else {
            continue;
        };
        let report = reports.entry(origin).or_default();
        if part.incarnation < report.incarnation {
            continue;
        }
        if report.incarnation < part.incarnation {
            *report = DemandReport::default();
        }
        report.node = origin;
        report.incarnation = part.incarnation;
        report.sequence = report.sequence.max(part.sequence);
        names.add(report, &part);
    }
    reports.into_values().collect()
}

fn alive(node: &Node) -> BTreeSet<NodeId> {
    let members = node.gossip.members.borrow();
    let views = members.view(clock::now());
    let alive =
        views.filter(|v| v.standing == Standing::Alive && v.generation != Default::default());
    alive.map(|view| view.peer.node).collect()
}

impl Names {
    fn of(rules: &Rules) -> Self {
        let contracts = rules
            .contracts
            .keys()
            .map(|n| (fnv::hash(n.as_str().as_bytes()), n.clone()));
        let models = rules
            .models
            .keys()
            .map(|n| (fnv::hash(n.as_str().as_bytes()), n.clone()));
        let orgs = rules.orgs.iter();
        let orgs = orgs.map(|(n, org)| {
            (
                fnv::hash(n.as_str().as_bytes()),
                (n.clone(), f64::from(org.weight)),
            )
        });
        Self {
            contracts: contracts.collect(),
            models: models.collect(),
            orgs: orgs.collect(),
        }
    }

    /// Adds what a part says of names that this node knows.
    fn add(&self, report: &mut DemandReport, part: &Part) {
        for c in &part.contracts {
            if let Some(contract) = self.contracts.get(&c.contract) {
                report.contracts.push(ContractDemand {
                    contract: contract.clone(),
                    requests: f64::from(c.requests),
                    tokens: f64::from(c.tokens),
                    spent_requests: c.spent_requests,
                    spent_tokens: c.spent_tokens,
                });
            }
        }
        for m in &part.models {
            if let Some(model) = self.models.get(&m.model) {
                report.models.push(ModelDemand {
                    model: model.clone(),
                    long: f64::from(m.long),
                    beyond: f64::from(m.beyond),
                    sent: f64::from(m.sent),
                    orgs: m.orgs.iter().filter_map(|o| self.org(o)).collect(),
                });
            }
        }
    }
}

impl Names {
    fn org(&self, part: &OrgPart) -> Option<OrgDemand> {
        let (org, weight) = self.orgs.get(&part.org)?;
        Some(OrgDemand {
            org: org.clone(),
            weight: *weight,
            asked: f64::from(part.asked),
        })
    }
}

fn contract_part(demand: &ContractDemand) -> ContractPart {
    ContractPart {
        contract: fnv::hash(demand.contract.as_str().as_bytes()),
        requests: demand.requests as f32,
        tokens: demand.tokens as f32,
        spent_requests: demand.spent_requests,
        spent_tokens: demand.spent_tokens,
    }
}

fn model_part(demand: &ModelDemand) -> ModelPart {
    ModelPart {
        model: fnv::hash(demand.model.as_str().as_bytes()),
        long: demand.long as f32,
        beyond: demand.beyond as f32,
        sent: demand.sent as f32,
        orgs: org_parts(&demand.orgs),
    }
}

fn org_parts(orgs: &[OrgDemand]) -> Vec<OrgPart> {
    let mut parts: Vec<_> = orgs.iter().map(org_part).collect();
    parts.sort_by(|a, b| b.asked.total_cmp(&a.asked));
    parts.truncate(ORGS_IN_ITEM);
    parts
}

fn org_part(demand: &OrgDemand) -> OrgPart {
    OrgPart {
        org: fnv::hash(demand.org.as_str().as_bytes()),
        asked: demand.asked as f32,
    }
}
