//! The versions in force in one data centre, as reported to the others.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use base::NodeId;
use base::Version;

/// The version that most members have, and the members that have another.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Versions {
    pub common: Version,
    pub others: Vec<(NodeId, Version)>,
}

impl Versions {
    pub fn from_members(versions: &[(NodeId, Version)]) -> Self {
        let mut counts: BTreeMap<Version, usize> = BTreeMap::new();
        for (_, version) in versions {
            *counts.entry(*version).or_default() += 1;
        }
        let most = counts.into_iter().max_by_key(|(_, count)| *count);
        let common = most.map_or(Version(0), |(version, _)| version);
        let others = versions.iter().filter(|(_, version)| *version != common);
        Self {
            common,
            others: others.copied().collect(),
        }
    }

    pub fn version_of(&self, node: NodeId) -> Version {
        let other = self.others.iter().find(|(other, _)| *other == node);
        other.map_or(self.common, |(_, version)| *version)
    }
}
