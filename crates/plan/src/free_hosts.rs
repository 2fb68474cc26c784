//! The free hosts of a data centre while a plan is made.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::PlannerView;
use base::DomainId;
use base::HostId;

/// The free hosts of each domain, and the domains by the number of their free hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct FreeHosts {
    by_domain: BTreeMap<DomainId, Vec<HostId>>,
    domains_by_count: BTreeMap<usize, BTreeSet<DomainId>>,
    /// Unreserved hosts that will be free soon, by domain.
    coming_free: BTreeMap<DomainId, usize>,
    total: usize,
}

impl FreeHosts {
    /// The free hosts of a view. They are taken in the order given there.
    pub fn new(view: &PlannerView) -> Self {
        let mut free = Self {
            coming_free: view.coming_free.clone(),
            ..Self::default()
        };
        for (domain, hosts) in &view.free {
            let mut hosts = hosts.clone();
            hosts.reverse();
            free.add_hosts(*domain, hosts);
        }
        free
    }

    /// The number of free hosts in all domains.
    pub fn total(&self) -> usize {
        self.total
    }

    /// The number of free hosts in a domain.
    pub fn count_in(&self, domain: DomainId) -> usize {
        self.by_domain.get(&domain).map_or(0, Vec::len)
    }

    /// The domain with the fewest free hosts that suffice.
    pub fn tightest_domain(&self, width: usize, except: Option<DomainId>) -> Option<DomainId> {
        let sufficient = self.domains_by_count.range(width..);
        let mut domains = sufficient.flat_map(|(_, domains)| domains);
        domains.find(|domain| Some(**domain) != except).copied()
    }

    /// Adds hosts of a domain that will be free soon.
    pub fn expect_hosts(&mut self, domain: DomainId, width: usize) {
        *self.coming_free.entry(domain).or_default() += width;
    }

    /// Reserves hosts of a domain that has enough with those that will be free soon.
    /// Returns false if there is none.
    pub fn reserve_coming_free(&mut self, width: usize) -> bool {
        let total =
            |(domain, coming): (&DomainId, &usize)| (self.count_in(*domain) + coming, *domain);
        let totals = self.coming_free.iter().map(total);
        let Some((_, domain)) = totals.filter(|(total, _)| width <= *total).min() else {
            return false;
        };
        let taken = self.take_hosts(domain, width).len();
        if let Some(coming) = self.coming_free.get_mut(&domain) {
            *coming -= width - taken;
        }
        true
    }

    /// Takes free hosts out of a domain, fewer if it has fewer.
    pub fn take_hosts(&mut self, domain: DomainId, width: usize) -> Vec<HostId> {
        let Some(hosts) = self.by_domain.get_mut(&domain) else {
            return Vec::new();
        };
        let before = hosts.len();
        let mut taken = hosts.split_off(before.saturating_sub(width));
        taken.reverse();
        let after = hosts.len();
        self.reindex_domain(domain, before, after);
        taken
    }

    /// Adds free hosts to a domain.
    pub fn add_hosts(&mut self, domain: DomainId, mut hosts: Vec<HostId>) {
        let list = self.by_domain.entry(domain).or_default();
        let before = list.len();
        list.append(&mut hosts);
        let after = list.len();
        self.reindex_domain(domain, before, after);
    }

    fn reindex_domain(&mut self, domain: DomainId, before: usize, after: usize) {
        if let Some(domains) = self.domains_by_count.get_mut(&before) {
            domains.remove(&domain);
            if domains.is_empty() {
                self.domains_by_count.remove(&before);
            }
        }
        self.domains_by_count
            .entry(after)
            .or_default()
            .insert(domain);
        self.total = self.total + after - before;
    }
}
