//! Healthy hosts that belong to no replica, with the reasons.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

use crate::Controller;
use crate::host::Host;
use base::DomainId;
use base::HostId;
use base::Time;

/// A healthy host that belongs to no replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StrandedHost {
    /// The host.
    pub host: HostId,
    /// The domain of the host.
    pub domain: DomainId,
    /// Why the host belongs to no replica.
    pub reason: StrandedReason,
}

/// Why a healthy host belongs to no replica.
#[derive(Clone, Copy, Debug, PartialEq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StrandedReason {
    /// No model lacks a replica.
    #[display("spare: no model lacks a replica")]
    Spare,
    /// The host's domain has too few free hosts for any model that lacks a replica.
    #[display("its domain has {free} free hosts, the narrowest need is {width}")]
    TooFew {
        /// Free hosts of the domain.
        free: usize,
        /// Hosts of the narrowest replica that found too few.
        width: usize,
    },
    /// The host is planned into a replica that waits for the weight store.
    #[display("waits for a load")]
    Queued,
    /// The host may form a replica with others that are being released.
    #[display("waits for hosts that are being released")]
    Awaits,
    /// The host is in hold-down after repeated losses.
    #[display("held back for {} s after {losses} losses", left.as_secs())]
    Held {
        /// The number of losses that count towards the hold-down.
        losses: u32,
        /// The time until the hold-down ends.
        left: Duration,
    },
    /// The host is marked as slow.
    #[display("marked as slow")]
    Slow,
    /// The host is about to leave.
    #[display("about to leave")]
    Leaving,
    /// The host reports a replica that no longer exists, and is being released.
    #[display("is being released from a former replica")]
    Claims,
    /// An order to the host is on its way or may still arrive.
    #[display("an order to it is under way")]
    Ordered,
}

impl Controller {
    /// Every healthy host that belongs to no replica.
    pub(crate) fn stranded_hosts(&self, now: Time) -> Vec<StrandedHost> {
        let mut free: BTreeMap<DomainId, usize> = BTreeMap::new();
        for host in self.hosts.values() {
            if host.is_usable(&self.cfg, now) {
                *free.entry(host.report.domain).or_default() += 1;
            }
        }
        let idle = |host: &&Host| host.owner.is_none() && host.is_fresh(&self.cfg, now);
        let idle = self.hosts.values().filter(idle);
        let stranded = idle.map(|host| StrandedHost {
            host: host.report.host,
            domain: host.report.domain,
            reason: self.stranded_reason(host, &free, now),
        });
        stranded.collect()
    }

    fn stranded_reason(
        &self,
        host: &Host,
        free: &BTreeMap<DomainId, usize>,
        now: Time,
    ) -> StrandedReason {
        if host.report.leaving {
            return StrandedReason::Leaving;
        }
        if host.assignment().is_some() {
            return StrandedReason::Claims;
        }
        if !host.is_settled(now) {
            return StrandedReason::Ordered;
        }
        if now < host.held_down_until {
            return StrandedReason::Held {
                losses: host.losses,
                left: host.held_down_until.since(now),
            };
        }
        if host.relative_speed.is_some() {
            return StrandedReason::Slow;
        }
        self.reason_of_plan(host, free)
    }

    fn reason_of_plan(&self, host: &Host, free: &BTreeMap<DomainId, usize>) -> StrandedReason {
        let id = &host.report.host;
        let mut forms = self.plan.forms.iter();
        if forms.any(|form| form.hosts.contains(id)) {
            return StrandedReason::Queued;
        }
        if self.plan.unplaced.is_empty() && !self.plan.awaiting.is_empty() {
            return StrandedReason::Awaits;
        }
        let unplaced = self.plan.unplaced.keys();
        let widths = unplaced.filter_map(|model| self.demand.get(model));
        match widths.map(|demand| demand.width).min() {
            None => StrandedReason::Spare,
            Some(width) => StrandedReason::TooFew {
                free: free.get(&host.report.domain).copied().unwrap_or(0),
                width,
            },
        }
    }
}
