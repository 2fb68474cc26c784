//! The exchange of demand reports with the other entry nodes, and the division of limits,
//! slots and capacity by them.

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
use route::ReplicaSlice;

/// Added to each node's number of long requests, so that a node without any keeps a share.
const LONG_DEMAND_FLOOR: f64 = 1.0;

/// Added to each node's demand beyond contracts, in generated tokens per second, so that a
/// node without any keeps a share.
const SPARE_DEMAND_FLOOR: f64 = 10.0;

/// Capacity is not short if a smaller share of the slots than this is taken.
const MIN_FILL_FOR_SHARES: f64 = 0.5;

impl Dispatcher {
    /// This node's demand report for the others, due every
    /// [`crate::Config::exchange_interval`].
    pub fn demand_report(&mut self, now: Time) -> DemandReport {
        self.sequence += 1;
        let contracts = self.contracts.iter_mut().filter_map(|(name, state)| {
            state.requests.advance(now);
            state.tokens.advance(now);
            let demand = ContractDemand {
                contract: name.clone(),
                requests: state.requests.demand(),
                tokens: state.tokens.demand(),
                spent_requests: state.requests.spent(),
                spent_tokens: state.tokens.spent(),
                held_requests: state.requests.held(),
                held_tokens: state.tokens.held(),
            };
            (demand.is_used() || state.is_used_elsewhere).then_some(demand)
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

    /// Applies the latest reports of the other nodes. `live` holds the visible nodes. To be
    /// called when a report arrives, and every [`crate::Config::exchange_interval`] even if
    /// nothing changed.
    pub fn apply_peer_reports(
        &mut self,
        reports: &[DemandReport],
        live: &BTreeSet<NodeId>,
        now: Time,
    ) {
        self.last_exchange = now;
        let own = self.cfg.node;
        let peer_reports = reports
            .iter()
            .filter(|r| r.node != own && live.contains(&r.node));
        let peer_reports: Vec<_> = peer_reports.collect();
        let count = 1 + live.iter().filter(|node| **node != own).count();
        self.router.set_sending_nodes(count as u32);
        if self
            .round
            .start_next_if_over(&peer_reports, count - 1, self.cfg.exchange_interval, now)
        {
            self.divide_limits(&peer_reports, live, now);
        }
        self.divide_long_slots(&peer_reports, count);
        self.divide_spare_replicas(&peer_reports, now);
        self.divide_capacity(&peer_reports, now);
    }

    /// Counts what the other nodes admitted, and divides what is left of each limit.
    fn divide_limits(
        &mut self,
        peer_reports: &[&DemandReport],
        live: &BTreeSet<NodeId>,
        now: Time,
    ) {
        let own = self.cfg.node;
        let count = 1 + live.iter().filter(|node| **node != own).count();
        let scale = self.visible_scale(live);
        for (name, state) in &mut self.contracts {
            let is_use = |c: &ContractDemand| c.contract == *name && c.is_used();
            state.is_used_elsewhere = peer_reports.iter().any(|r| r.contracts.iter().any(is_use));
            let pairs = peer_reports
                .iter()
                .filter_map(|report| peer_usage(report, name));
            let (requests, tokens): (Vec<_>, Vec<_>) = pairs.unzip();
            state.requests.apply_peers(&requests, count, scale, now);
            state.tokens.apply_peers(&tokens, count, scale, now);
        }
    }

    /// Divides each model's capacity among the organisations.
    fn divide_capacity(&mut self, peer_reports: &[&DemandReport], now: Time) {
        for (model, queue) in &mut self.queues {
            let found = peer_reports.iter().flat_map(|report| &report.models);
            let others: Vec<_> = found.filter(|m| m.model == *model).collect();
            let sent = others.iter().map(|m| m.sent).sum();
            let orgs = others.iter().flat_map(|m| &m.orgs);
            queue.shares.divide_capacity(orgs, sent, now);
            // The work that was sent shows the capacity only while the slots are in use. After
            // an outage nothing was sent, although all slots are free.
            if self.router.fill(model) < MIN_FILL_FOR_SHARES {
                queue.shares.remove_limits();
            }
        }
    }

    /// Divides the replicas among the nodes for work beyond contracts: by the nodes' demand, in
    /// the order of their ids.
    fn divide_spare_replicas(&mut self, peer_reports: &[&DemandReport], now: Time) {
        for (model, queue) in &mut self.queues {
            let own = queue.excess_demand(now) + SPARE_DEMAND_FLOOR;
            let (mut before, mut total) = (0.0, own);
            for report in peer_reports {
                let found = report.models.iter().find(|m| m.model == *model);
                let demand = found.map_or(0.0, |m| m.beyond) + SPARE_DEMAND_FLOOR;
                total += demand;
                if report.node < self.cfg.node {
                    before += demand;
                }
            }
            queue.slice = Some(ReplicaSlice {
                from: before / total,
                until: (before + own) / total,
            });
        }
    }

    /// Divides the slots for long requests among the nodes by their demand.
    fn divide_long_slots(&mut self, peer_reports: &[&DemandReport], count: usize) {
        for (model, queue) in &mut self.queues {
            let long_requests = |report: &&DemandReport| -> f64 {
                let found = report.models.iter().find(|m| m.model == *model);
                found.map_or(0.0, |m| m.long)
            };
            let others: f64 = peer_reports.iter().map(long_requests).sum();
            let own = f64::from(queue.running_count(Length::Long))
                + queue.waiting_count(Length::Long) as f64;
            let total = others + own + LONG_DEMAND_FLOOR * count as f64;
            queue.long_share = (own + LONG_DEMAND_FLOOR) / total;
        }
    }

    /// The part of the limits that is for the visible nodes. A data centre with a visible node
    /// counts with all its nodes in the settings.
    fn visible_scale(&self, live: &BTreeSet<NodeId>) -> f64 {
        let nodes = &self.cfg.nodes;
        if nodes.is_empty() {
            return 1.0;
        }
        let is_visible = |node: &NodeId| *node == self.cfg.node || live.contains(node);
        let visible = nodes.iter().filter(|(node, _)| is_visible(node));
        let centres: BTreeSet<_> = visible.map(|(_, centre)| *centre).collect();
        let counted = nodes.values().filter(|centre| centres.contains(centre));
        counted.count() as f64 / nodes.len() as f64
    }

    /// This node's part of the limits if no other node is visible.
    pub(crate) fn isolated_scale(&self) -> f64 {
        1.0 / self.cfg.nodes.len().max(1) as f64
    }

    /// Limits this node to its own part if there was no exchange for too long.
    pub(crate) fn isolate_if_stale(&mut self, now: Time) {
        if now < self.last_exchange + self.cfg.stale_after {
            return;
        }
        self.last_exchange = now;
        let scale = self.isolated_scale();
        for state in self.contracts.values_mut() {
            state.requests.isolate(scale, now);
            state.tokens.isolate(scale, now);
        }
    }
}

/// A peer's usage of a contract's request limit and token limit, if its report tells it.
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
