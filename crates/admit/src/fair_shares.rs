//! Fair shares of a model's capacity across all entry nodes.
//!
//! A fair queue is fair at its own node only, and a node with few callers gets free slots as
//! easily as one with many. So the nodes tell each other how much work each organisation asks
//! for within its contracts, and how much was sent. If more is asked for than sent, the
//! capacity is divided by weight with max-min fairness: no organisation gets more than it asks
//! for, and what one leaves goes to the others. Work above an organisation's share is treated
//! as beyond its contract.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::OrgDemand;
use crate::rate::Rate;
use base::OrgName;
use base::Time;

/// Averaging time of the work asked for and sent.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Capacity is short if the work asked for exceeds the work sent by this factor.
const SHORTAGE_FACTOR: f64 = 1.05;
/// An organisation may save up its share for at most this long.
const MAX_SAVED_TIME: Duration = Duration::from_millis(200);

/// The organisations' demand for one model, and their limits while capacity is short.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShares {
    /// Weight and demand of each organisation.
    asked: BTreeMap<OrgName, (f64, Rate)>,
    /// Work sent from this node.
    sent: Rate,
    /// Limits of the organisations that ask for more than their share.
    limits: BTreeMap<OrgName, Allowance>,
}

/// The work that an organisation may have sent from this node within its share: a token
/// bucket in generated tokens.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    /// Refill per second.
    rate: f64,
    balance: f64,
    updated_at: Time,
}

impl FairShares {
    /// Counts work that was asked for within a contract, and takes it from the organisation's
    /// share. False if the share is used up.
    pub fn take_share(&mut self, org: &OrgName, weight: f64, work: f64, now: Time) -> bool {
        let asked = self.asked.entry(org.clone()).or_default();
        asked.0 = weight;
        asked.1.add(work, AVERAGING_TIME, now);
        let Some(allowance) = self.limits.get_mut(org) else {
            return true;
        };
        allowance.refill(now);
        if allowance.balance <= 0.0 {
            return false;
        }
        allowance.balance -= work;
        true
    }

    /// Records work that was sent.
    pub fn record_sent(&mut self, work: f64, now: Time) {
        self.sent.add(work, AVERAGING_TIME, now);
    }

    /// Work sent, in generated tokens per second.
    pub fn sent_rate(&self, now: Time) -> f64 {
        self.sent.get(AVERAGING_TIME, now)
    }

    /// Demand of each organisation at this node, in generated tokens per second.
    pub fn org_demand(&self, now: Time) -> Vec<OrgDemand> {
        let demand = self.asked.iter().map(|(org, (weight, asked))| OrgDemand {
            org: org.clone(),
            weight: *weight,
            asked: asked.get(AVERAGING_TIME, now),
        });
        demand.collect()
    }

    /// Divides the work that all nodes send among the organisations, by weight. `others` holds
    /// the demand at the other nodes.
    pub fn divide_capacity<'a>(
        &mut self,
        others: impl Iterator<Item = &'a OrgDemand>,
        others_sent: f64,
        now: Time,
    ) {
        let mut total: BTreeMap<OrgName, (f64, f64)> = BTreeMap::new();
        for demand in self.org_demand(now) {
            total.insert(demand.org, (demand.weight, demand.asked));
        }
        for demand in others {
            let sum = total
                .entry(demand.org.clone())
                .or_insert((demand.weight, 0.0));
            sum.1 += demand.asked;
        }
        let capacity = others_sent + self.sent_rate(now);
        let asked: f64 = total.values().map(|(_, asked)| asked).sum();
        if asked <= capacity * SHORTAGE_FACTOR {
            self.limits.clear();
            return;
        }
        let level = water_level(&total, capacity);
        self.limit_orgs(&total, level, now);
    }

    /// Removes all limits until the next exchange.
    pub fn remove_limits(&mut self) {
        self.limits.clear();
    }

    /// Sets limits for the organisations that ask for more than `level` per unit of weight.
    fn limit_orgs(&mut self, total: &BTreeMap<OrgName, (f64, f64)>, level: f64, now: Time) {
        let mut previous = std::mem::take(&mut self.limits);
        for (org, (weight, asked)) in total {
            if *asked <= level * weight {
                continue;
            }
            let own = self
                .asked
                .get(org)
                .map_or(0.0, |(_, own)| own.get(AVERAGING_TIME, now));
            let rate = level * weight * own / asked;
            let mut allowance = previous.remove(org).unwrap_or(Allowance {
                rate,
                balance: 0.0,
                updated_at: now,
            });
            allowance.refill(now);
            allowance.rate = rate;
            self.limits.insert(org.clone(), allowance);
        }
    }
}

impl Allowance {
    fn refill(&mut self, now: Time) {
        let span = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let max_balance = self.rate * MAX_SAVED_TIME.as_secs_f64();
        self.balance = (self.balance + self.rate * span).min(max_balance);
    }
}

/// The work per unit of weight at which the capacity is used up, if no organisation gets more
/// than it asks for (water-filling).
fn water_level(total: &BTreeMap<OrgName, (f64, f64)>, capacity: f64) -> f64 {
    let mut by_demand: Vec<_> = total.values().copied().collect();
    by_demand.sort_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0)));
    let mut weights: f64 = by_demand.iter().map(|(weight, _)| weight).sum();
    let mut left = capacity;
    for (weight, asked) in by_demand {
        let level = left / weights.max(1e-9);
        if level < asked / weight {
            return level;
        }
        left -= asked;
        weights -= weight;
    }
    f64::INFINITY
}
