//! What this node tells the other entry nodes, and what it takes from them.

use std::collections::BTreeSet;

use crate::ContractDemand;
use crate::DemandReport;
use crate::Dispatcher;
use crate::ModelDemand;
use crate::PeerUsage;
use crate::Unlisted;
use base::ContractName;
use base::NodeId;
use base::Time;
use route::Length;
use route::Slice;

/// Demand added to each node's long work, so that one without any keeps a share.
const LONG_DEMAND_FLOOR: f64 = 1.0;

/// Work added to each node's demand beyond contracts, in generated tokens a second.
const SPARE_DEMAND_FLOOR: f64 = 10.0;

/// Share of the slots below which capacity isn't short.
const MIN_FILL_FOR_SHARES: f64 = 0.5;

impl Dispatcher {
    /// This node's report for the others, due every [`crate::Config::exchange_interval`].
    pub fn demand_report(&mut self, now: Time) -> DemandReport {
        self.sequence += 1;
        let contracts = self
            .contracts
            .iter_mut()
            .filter_map(|(name, contract_state)| {
                contract_state.requests.advance(now);
                contract_state.tokens.advance(now);
                let demand = ContractDemand {
                    contract: name.clone(),
                    requests: contract_state.requests.demand(),
                    tokens: contract_state.tokens.demand(),
                    spent_requests: contract_state.requests.spent(),
                    spent_tokens: contract_state.tokens.spent(),
                    held_requests: contract_state.requests.held(),
                    held_tokens: contract_state.tokens.held(),
                };
                (demand.is_used() || contract_state.is_used_elsewhere).then_some(demand)
            });
        let contracts = contracts.collect();
        let models = self.queues.iter().map(|(model, queue)| ModelDemand {
            model: model.clone(),
            long: f64::from(queue.running_count(Length::Long))
                + queue.waiting_count(Length::Long) as f64,
            beyond: queue.excess_demand(now),
            sent: queue.shares.sent_rate(now),
            orgs: queue.shares.org_demand(now),
        });
        DemandReport {
            node: self.cfg.node,
            incarnation: self.cfg.incarnation,
            sequence: self.sequence,
            contracts,
            others: Unlisted::Unused,
            models: models.collect(),
        }
    }

    /// Takes the latest reports of the other nodes, and which nodes are in sight. Call it
    /// every [`crate::Config::exchange_interval`], also when nothing changed, and when a report comes.
    pub fn apply_peer_reports(
        &mut self,
        reports: &[DemandReport],
        live: &BTreeSet<NodeId>,
        now: Time,
    ) {
        self.last_exchange = now;
        let own = self.cfg.node;
        let heard = reports
            .iter()
            .filter(|r| r.node != own && live.contains(&r.node));
        let heard: Vec<_> = heard.collect();
        let count = 1 + live.iter().filter(|node| **node != own).count();
        self.router.set_senders(count as u32);
        if self
            .round
            .start_next_if_over(&heard, count - 1, self.cfg.exchange_interval, now)
        {
            self.divide_limits(&heard, live, now);
        }
        self.divide_long_slots(&heard, count);
        self.divide_spare_replicas(&heard, now);
        self.divide_capacity(&heard, now);
    }

    /// Takes what the others admitted, and divides what is left of each limit.
    fn divide_limits(&mut self, heard: &[&DemandReport], live: &BTreeSet<NodeId>, now: Time) {
        let own = self.cfg.node;
        let count = 1 + live.iter().filter(|node| **node != own).count();
        let scale = self.visible_scale(live);
        for (name, contract_state) in &mut self.contracts {
            let is_use = |c: &ContractDemand| c.contract == *name && c.is_used();
            contract_state.is_used_elsewhere = heard.iter().any(|r| r.contracts.iter().any(is_use));
            let pairs = heard.iter().filter_map(|report| peer_usage(report, name));
            let (requests, tokens): (Vec<_>, Vec<_>) = pairs.unzip();
            contract_state
                .requests
                .apply_peers(&requests, count, scale, now);
            contract_state
                .tokens
                .apply_peers(&tokens, count, scale, now);
        }
    }

    /// Divides the capacity among the organisations.
    fn divide_capacity(&mut self, heard: &[&DemandReport], now: Time) {
        for (model, queue) in &mut self.queues {
            let found = heard.iter().flat_map(|report| &report.models);
            let others: Vec<_> = found.filter(|m| m.model == *model).collect();
            let sent = others.iter().map(|m| m.sent).sum();
            let orgs = others.iter().flat_map(|m| &m.orgs);
            queue.shares.divide_capacity(orgs, sent, now);
            // What was sent tells the capacity only while the slots are in use: after an
            // outage nothing was sent, and all are free.
            if self.router.fill(model) < MIN_FILL_FOR_SHARES {
                queue.shares.remove_limits();
            }
        }
    }

    /// Divides the replicas for lent capacity by the nodes' demand, in the order of their
    /// ids.
    fn divide_spare_replicas(&mut self, heard: &[&DemandReport], now: Time) {
        for (model, queue) in &mut self.queues {
            let own = queue.excess_demand(now) + SPARE_DEMAND_FLOOR;
            let (mut before, mut total) = (0.0, own);
            for report in heard {
                let found = report.models.iter().find(|m| m.model == *model);
                let asked = found.map_or(0.0, |m| m.beyond) + SPARE_DEMAND_FLOOR;
                total += asked;
                if report.node < self.cfg.node {
                    before += asked;
                }
            }
            queue.slice = Some(Slice {
                from: before / total,
                until: (before + own) / total,
            });
        }
    }

    /// Divides the slots for long work by the nodes' demand.
    fn divide_long_slots(&mut self, heard: &[&DemandReport], count: usize) {
        for (model, queue) in &mut self.queues {
            let of = |report: &&DemandReport| -> f64 {
                let found = report.models.iter().find(|m| m.model == *model);
                found.map_or(0.0, |m| m.long)
            };
            let others: f64 = heard.iter().map(of).sum();
            let own = f64::from(queue.running_count(Length::Long))
                + queue.waiting_count(Length::Long) as f64;
            let total = others + own + LONG_DEMAND_FLOOR * count as f64;
            queue.long_share = (own + LONG_DEMAND_FLOOR) / total;
        }
    }

    /// The part of the limits that is for the nodes in sight: the settings' nodes of each
    /// data centre of which one is in sight.
    fn visible_scale(&self, live: &BTreeSet<NodeId>) -> f64 {
        let nodes = &self.cfg.nodes;
        if nodes.is_empty() {
            return 1.0;
        }
        let is_seen = |node: &NodeId| *node == self.cfg.node || live.contains(node);
        let seen = nodes.iter().filter(|(node, _)| is_seen(node));
        let centres: BTreeSet<_> = seen.map(|(_, centre)| *centre).collect();
        let counted = nodes.values().filter(|centre| centres.contains(centre));
        counted.count() as f64 / nodes.len() as f64
    }

    /// This node's part of the limits when it sees no other.
    pub(crate) fn isolated_scale(&self) -> f64 {
        1.0 / self.cfg.nodes.len().max(1) as f64
    }

    /// Limits this node to its own part once it has not heard of the others for long.
    pub(crate) fn isolate_if_stale(&mut self, now: Time) {
        if now < self.last_exchange + self.cfg.stale_after {
            return;
        }
        self.last_exchange = now;
        let scale = self.isolated_scale();
        for contract_state in self.contracts.values_mut() {
            contract_state.requests.isolate(scale, now);
            contract_state.tokens.isolate(scale, now);
        }
    }
}

/// The use of a contract's requests and tokens, if the report tells it.
fn peer_usage(report: &DemandReport, name: &ContractName) -> Option<(PeerUsage, PeerUsage)> {
    let found = report.contracts.iter().find(|c| c.contract == *name);
    let unused = PeerUsage {
        node: report.node,
        incarnation: report.incarnation,
        demand: 0.0,
        spent: 0.0,
        held: None,
    };
    let Some(demand) = found else {
        return (report.others == Unlisted::Unused).then_some((unused, unused));
    };
    let requests = PeerUsage {
        demand: demand.requests,
        spent: demand.spent_requests,
        held: Some(demand.held_requests),
        ..unused
    };
    let tokens = PeerUsage {
        demand: demand.tokens,
        spent: demand.spent_tokens,
        held: Some(demand.held_tokens),
        ..unused
    };
    Some((requests, tokens))
}
