//! Changes of the configuration that spread through a fleet, and the reports of its nodes.

use std::time::Duration;

use super::Event;
use super::Fleet;
use super::REPORT_INTERVAL_US;
use super::Workload;
use base::Version;
use members::Item;
use members::ItemKind;
use members::PullSource;
use members::Scope;

impl Fleet {
    pub(super) fn accept_change(&mut self) {
        let version = Version(self.versions.len() as u64 + 1);
        self.versions.push((self.now, 0, self.now));
        for voter in self.voters.clone() {
            let index = voter.0 as usize;
            self.set_version(index, version);
            self.send_packets(index);
        }
    }

    pub(super) fn set_version(&mut self, index: usize, version: Version) {
        let old_version = self.nodes[index].version;
        if version <= old_version {
            return;
        }
        self.nodes[index].version = version;
        for number in old_version.0..version.0 {
            let (_, nodes, last) = &mut self.versions[number as usize];
            *nodes += 1;
            *last = self.now;
        }
        self.run_timed(index, |node, now| node.members.set_version(version, now));
    }

    pub(super) fn pull_if_due(&mut self, index: usize) {
        let is_voter = self.voters.contains(&self.nodes[index].peer.node);
        if is_voter {
            return;
        }
        let voters = self.voters.clone();
        let mut source = None;
        self.run_timed(index, |node, now| {
            let pull_state = node.members.pull_state(&voters, now);
            source = node.puller.tick(&pull_state, now);
        });
        let Some(PullSource::LocalMember(to) | PullSource::Voter(to)) = source else {
            return;
        };
        self.pulls += 1;
        let to = to.0 as usize;
        if let Some(delay) = self.link_delay(index, to) {
            self.schedule(self.now + delay, Event::PullRequest(index, to));
        }
    }

    pub(super) fn publish_reports(&mut self, index: usize) {
        if self.workload == Workload::None {
            return;
        }
        self.schedule(self.now + REPORT_INTERVAL_US, Event::Report(index));
        self.nodes[index].published_at = self.now;
        self.nodes[index].published_reports += 1;
        self.publish(index, ItemKind::Loads, Scope::Centre, Workload::LOADS_BYTES);
        self.publish(
            index,
            ItemKind::Demand,
            Scope::Centre,
            Workload::DEMAND_BYTES,
        );
        if self.nodes[index].members.is_centre_reporter() {
            self.publish(
                index,
                ItemKind::DemandSummary,
                Scope::Everywhere,
                Workload::SUMMARY_BYTES,
            );
        }
        self.send_packets(index);
    }

    fn publish(&mut self, index: usize, kind: ItemKind, scope: Scope, bytes: usize) {
        let mut body = vec![index as u8; bytes];
        self.rng.fill(&mut body);
        let item = Item {
            kind,
            key: 0,
            body,
            scope,
            ttl: Duration::from_micros(REPORT_INTERVAL_US * 3),
        };
        self.run_timed(index, |node, now| {
            node.members.publish(item, now);
        });
    }
}
