//! Fair shares of a model's capacity over all entry nodes.
//!
//! A lane is fair at its own node only, and a node with few callers takes free
//! slots as easily as one with many. So nodes tell each other how much work
//! each organisation asks for within its contracts, and how much was sent. If
//! more is asked for than goes out, the capacity is divided by weight: no
//! organisation gets more than it asks for, and what one leaves goes to the
//! others. Work above an organisation's share ranks as beyond its contract.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::OrgDemand;
use crate::rate::Rate;
use base::OrgName;
use base::Time;

/// Time over which work is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Capacity is short once the work asked for exceeds what is sent by this factor.
const SHORTAGE_FACTOR: f64 = 1.05;
/// An organisation may save up its share for this long.
const MAX_SAVED_TIME: Duration = Duration::from_millis(200);

/// The use of one model by organisations.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShares {
    asked: BTreeMap<OrgName, (f64, Rate)>,
    sent: Rate,
    /// Organisations that ask for more than their share.
    limits: BTreeMap<OrgName, Allowance>,
}

/// What an organisation may have sent from this node.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    rate: f64,
    balance: f64,
    updated_at: Time,
}

impl FairShares {
    /// Counts work within contract that was asked for. True if it is within the
    /// organisation's share.
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

    /// Counts work that was sent.
    pub fn record_sent(&mut self, work: f64, now: Time) {
        self.sent.add(work, AVERAGING_TIME, now);
    }

    /// Work sent a second.
    pub fn sent_rate(&self, now: Time) -> f64 {
        self.sent.get(AVERAGING_TIME, now)
    }

    /// Work that each organisation asks for a second.
    pub fn org_demand(&self, now: Time) -> Vec<OrgDemand> {
        let demand = self.asked.iter().map(|(org, (weight, asked))| OrgDemand {
            org: org.clone(),
            weight: *weight,
            asked: asked.get(AVERAGING_TIME, now),
        });
        demand.collect()
    }

    /// Divides what all nodes send a second by weight. `others` is what the other nodes
    /// ask for.
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

    /// Limits nobody until the next exchange.
    pub fn remove_limits(&mut self) {
        self.limits.clear();
    }

    fn limit_orgs(&mut self, total: &BTreeMap<OrgName, (f64, f64)>, level: f64, now: Time) {
        let mut before = std::mem::take(&mut self.limits);
        for (org, (weight, asked)) in total {
            if *asked <= level * weight {
                continue;
            }
            let own = self
                .asked
                .get(org)
                .map_or(0.0, |(_, own)| own.get(AVERAGING_TIME, now));
            let rate = level * weight * own / asked;
            let mut allowance = before.remove(org).unwrap_or(Allowance {
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
        let most = self.rate * MAX_SAVED_TIME.as_secs_f64();
        self.balance = (self.balance + self.rate * span).min(most);
    }
}

/// Work for each unit of weight at which the capacity is used up, with no organisation
/// above what it asks for.
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
