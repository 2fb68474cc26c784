//! The configuration in force and the changes that led to it.
//!
//! A change is accepted only if it was made from the current version, so only the
//! first of several changes to the same version is accepted. The accepted change of
//! each version is kept for a bounded number of versions. That suffices to answer
//! resends: a change whose id is kept was accepted; one whose id isn't kept, but whose
//! base version has a kept successor, was not.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ConfigChange;
use crate::ConfigChangeReply;
use crate::ConfigOffer;
use crate::ConfigOfferReply;
use crate::Limits;
use base::ChangeId;
use base::Digest;
use base::Version;

/// The change that became a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Accepted {
    id: ChangeId,
    digest: Digest,
}

/// The configuration in force, and the latest accepted changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRegister {
    version: Version,
    text: Arc<str>,
    accepted: Arc<BTreeMap<Version, Accepted>>,
    #[serde(skip)]
    by_id: BTreeMap<ChangeId, Version>,
}

impl ConfigRegister {
    /// The version in force.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The text of the configuration file in force.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// The id of the change that became this version, while it is kept.
    pub fn accepted_change(&self, version: Version) -> Option<ChangeId> {
        self.accepted.get(&version).map(|accepted| accepted.id)
    }

    pub(crate) fn apply(&mut self, change: &ConfigChange, limits: &Limits) -> ConfigChangeReply {
        let digest = change_digest(change);
        if let Some(version) = self.by_id.get(&change.id).copied() {
            return self.reply_to_resend(version, digest);
        }
        if self.version < change.base {
            let current = self.version;
            return ConfigChangeReply::NoSuchBase { current };
        }
        if change.base < self.version {
            return self.reply_to_outdated(change.base);
        }
        let bytes = change.text.len() as u64;
        let max = limits.text_bytes;
        if max < bytes {
            return ConfigChangeReply::TooLarge { bytes, max };
        }
        self.accept(change, digest, limits)
    }

    /// Puts an offered configuration in force if its version is the highest so far.
    pub(crate) fn offer(&mut self, offer: &ConfigOffer, limits: &Limits) -> ConfigOfferReply {
        let bytes = offer.text.len() as u64;
        let max = limits.text_bytes;
        if max < bytes {
            return ConfigOfferReply::TooLarge { bytes, max };
        }
        if offer.version <= self.version {
            let current = self.version;
            return ConfigOfferReply::Kept { current };
        }
        self.version = offer.version;
        self.text = offer.text.clone();
        ConfigOfferReply::InForce
    }

    /// A copy of what is part of a snapshot.
    pub(crate) fn copy_for_snapshot(&self) -> Self {
        Self {
            version: self.version,
            text: self.text.clone(),
            accepted: self.accepted.clone(),
            by_id: BTreeMap::new(),
        }
    }

    /// Rebuilds what is not part of a snapshot.
    pub(crate) fn rebuild(&mut self) {
        let ids = self.accepted.iter();
        self.by_id = ids.map(|(version, a)| (a.id, *version)).collect();
    }

    fn accept(
        &mut self,
        change: &ConfigChange,
        digest: Digest,
        limits: &Limits,
    ) -> ConfigChangeReply {
        let version = self.version.next();
        let id = change.id;
        self.version = version;
        self.text = change.text.clone();
        let accepted = Arc::make_mut(&mut self.accepted);
        accepted.insert(version, Accepted { id, digest });
        self.by_id.insert(id, version);
        while limits.changes < accepted.len() as u64 {
            let Some((_, oldest)) = accepted.pop_first() else {
                break;
            };
            self.by_id.remove(&oldest.id);
        }
        ConfigChangeReply::Accepted { version }
    }

    fn reply_to_resend(&self, version: Version, digest: Digest) -> ConfigChangeReply {
        let same = self.accepted.get(&version).map(|a| a.digest) == Some(digest);
        if same {
            ConfigChangeReply::Accepted { version }
        } else {
            ConfigChangeReply::OtherContent { version }
        }
    }

    fn reply_to_outdated(&self, base: Version) -> ConfigChangeReply {
        let version = base.next();
        match self.accepted.get(&version) {
            Some(Accepted { id: winner, .. }) => ConfigChangeReply::Conflict {
                winner: *winner,
                version,
            },
            None => ConfigChangeReply::Unknown {
                current: self.version,
            },
        }
    }
}

fn change_digest(change: &ConfigChange) -> Digest {
    Digest::of(&[&change.base.0.to_le_bytes(), change.text.as_bytes()])
}
