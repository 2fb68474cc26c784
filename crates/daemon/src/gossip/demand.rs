//! Exchanges reports of how much of each contract is used at each node.
//!
//! Names are sent as hashes, which every node looks up in the same rules.

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
use admit::Unlisted;
use base::ContractName;
use base::Incarnation;
use base::ModelName;
use base::NodeId;
use base::OrgName;
use members::Item;
use members::ItemKind;
use members::ItemUpdate;
use members::Scope;
use members::Standing;
use quorum::clock;
use rules::Rules;

/// Time between two reports of demand.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// How long a report is valid.
const REPORT_TTL: Duration = Duration::from_millis(3_000);

/// The most contracts in one item, so that it fits into a datagram.
const MAX_CONTRACTS_PER_ITEM: usize = 24;

/// The first key of items about models. Lower keys are of items about contracts.
const FIRST_MODEL_KEY: u64 = 1 << 32;

/// The most organisations in one item. Those with the greatest demand are kept.
const MAX_ORGS_PER_ITEM: usize = 64;

/// A part of one node's demand report, which is sent as an item of its own.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ReportPart {
    incarnation: Incarnation,
    sequence: u64,
    told: PartContent,
}

/// The content of a part of a report.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum PartContent {
    /// Some of the contracts in the report, and how many it has in all.
    Contracts {
        contracts: Vec<ContractPart>,
        count: u32,
    },
    /// The demand for one model.
    Model(ModelPart),
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct ContractPart {
    contract: u64,
    requests: f32,
    tokens: f32,
    spent_requests: f64,
    spent_tokens: f64,
    held_requests: f32,
    held_tokens: f32,
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

/// The names in the rules in force, by their hashes.
struct RuleNames {
    contracts: BTreeMap<u64, ContractName>,
    models: BTreeMap<u64, ModelName>,
    orgs: BTreeMap<u64, (OrgName, f64)>,
}

/// Publishes this node's demand and applies that of others, for as long as the node runs.
pub async fn run_exchange(node: Rc<Node>) {
    loop {
        compio::time::sleep(EXCHANGE_INTERVAL).await;
        let report = node.dispatch.demand_report(clock::now());
        publish(&node, &report);
        apply_reports(&node);
    }
}

/// Applies the reports of other nodes. Called when one arrives and with each exchange.
pub fn apply_reports(node: &Node) {
    let reports = received_reports(node);
    node.dispatch
        .apply_peer_reports(&reports, &alive_nodes(node), clock::now());
}

fn publish(node: &Node, report: &DemandReport) {
    let contracts: Vec<_> = report.contracts.iter().map(contract_part).collect();
    let count = contracts.len() as u32;
    // A report without contracts is sent too: it says that none was used.
    let chunks = contracts.chunks(MAX_CONTRACTS_PER_ITEM).map(<[_]>::to_vec);
    let chunks: Vec<_> = match count {
        0 => vec![Vec::new()],
        _ => chunks.collect(),
    };
    for (key, contracts) in chunks.into_iter().enumerate() {
        let part = ReportPart::of(report, PartContent::Contracts { contracts, count });
        publish_part(node, key as u64, &part);
    }
    for (key, model) in report.models.iter().enumerate() {
        let part = ReportPart::of(report, PartContent::Model(model_part(model)));
        publish_part(node, FIRST_MODEL_KEY + key as u64, &part);
    }
}

fn publish_part(node: &Node, key: u64, part: &ReportPart) {
    let item = Item {
        kind: ItemKind::Demand,
        key,
        body: postcard::to_stdvec(part).unwrap_or_default(),
        scope: Scope::Everywhere,
        ttl: REPORT_TTL,
    };
    node.gossip.members.borrow_mut().publish(item, clock::now());
}

impl ReportPart {
    fn of(report: &DemandReport, told: PartContent) -> Self {
        Self {
            incarnation: report.incarnation,
            sequence: report.sequence,
            told,
        }
    }
}

/// The reports of other nodes, assembled from their parts.
fn received_reports(node: &Node) -> Vec<DemandReport> {
    let names = RuleNames::of(&node.rules());
    let items = node
        .gossip
        .members
        .borrow()
        .items(ItemKind::Demand, clock::now());
    let mut reports: BTreeMap<NodeId, PartialReport> = BTreeMap::new();
    for ItemUpdate { origin, item } in items {
        let Ok(part) = postcard::from_bytes::<ReportPart>(&item.body) else {
            continue;
        };
        let partial = reports.entry(origin).or_default();
        let report = &mut partial.report;
        if part.incarnation < report.incarnation {
            continue;
        }
        if report.incarnation < part.incarnation {
            *partial = PartialReport::default();
        }
        partial.report.node = origin;
        partial.add(&names, &part);
    }
    reports
        .into_values()
        .map(PartialReport::into_report)
        .collect()
}

/// One node's report, assembled from the parts that have arrived.
#[derive(Default)]
struct PartialReport {
    report: DemandReport,
    /// The sequence number of the latest report of which contracts have arrived.
    latest_sequence: u64,
    /// Contracts in that report, and how many of them have arrived.
    contract_count: usize,
    received_contracts: usize,
}

impl PartialReport {
    fn add(&mut self, names: &RuleNames, part: &ReportPart) {
        self.report.incarnation = part.incarnation;
        self.report.sequence = self.report.sequence.max(part.sequence);
        names.add(&mut self.report, part);
        let PartContent::Contracts { contracts, count } = &part.told else {
            return;
        };
        if self.latest_sequence < part.sequence {
            self.latest_sequence = part.sequence;
            self.contract_count = *count as usize;
            self.received_contracts = 0;
        }
        if self.latest_sequence == part.sequence {
            self.received_contracts += contracts.len();
        }
    }

    fn into_report(mut self) -> DemandReport {
        let is_whole = 0 < self.latest_sequence && self.received_contracts == self.contract_count;
        self.report.others = match is_whole {
            true => Unlisted::Unused,
            false => Unlisted::Unknown,
        };
        self.report
    }
}

fn alive_nodes(node: &Node) -> BTreeSet<NodeId> {
    let members = node.gossip.members.borrow();
    let views = members.views(clock::now());
    let alive =
        views.filter(|v| v.standing == Standing::Alive && v.generation != Default::default());
    alive.map(|view| view.peer.node).collect()
}

impl RuleNames {
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

    /// Adds the content of a part to a report. Names that this node does not know are left out.
    fn add(&self, report: &mut DemandReport, part: &ReportPart) {
        match &part.told {
            PartContent::Contracts { contracts, .. } => {
                let known = contracts.iter().filter_map(|c| self.contract(c));
                report.contracts.extend(known);
            }
            PartContent::Model(m) => report.models.extend(self.model(m)),
        }
    }

    fn contract(&self, part: &ContractPart) -> Option<ContractDemand> {
        Some(ContractDemand {
            contract: self.contracts.get(&part.contract)?.clone(),
            requests: f64::from(part.requests),
            tokens: f64::from(part.tokens),
            spent_requests: part.spent_requests,
            spent_tokens: part.spent_tokens,
            held_requests: f64::from(part.held_requests),
            held_tokens: f64::from(part.held_tokens),
        })
    }

    fn model(&self, part: &ModelPart) -> Option<ModelDemand> {
        Some(ModelDemand {
            model: self.models.get(&part.model)?.clone(),
            long: f64::from(part.long),
            beyond: f64::from(part.beyond),
            sent: f64::from(part.sent),
            orgs: part.orgs.iter().filter_map(|o| self.org(o)).collect(),
        })
    }

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
        held_requests: demand.held_requests as f32,
        held_tokens: demand.held_tokens as f32,
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
    parts.truncate(MAX_ORGS_PER_ITEM);
    parts
}

fn org_part(demand: &OrgDemand) -> OrgPart {
    OrgPart {
        org: fnv::hash(demand.org.as_str().as_bytes()),
        asked: demand.asked as f32,
    }
}
