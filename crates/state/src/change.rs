//! Changes of the configuration and their replies.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use base::ChangeId;
use base::Version;

/// A new configuration, whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Its id, the same when it is sent again.
    pub id: ChangeId,
    /// The version that it was made from.
    pub base: Version,
    /// The whole file. It was checked before it was proposed.
    pub text: Arc<str>,
}

/// The answer to a [`ConfigChange`]. A resend gets the same one while it is remembered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigChangeReply {
    /// It was accepted as this version.
    Accepted {
        /// The version.
        version: Version,
    },
    /// Another change was made from the same version and came first.
    Conflict {
        /// The change that came first.
        winner: ChangeId,
        /// The version that it became.
        version: Version,
    },
    /// The id belongs to an accepted change with another content.
    OtherContent {
        /// The version that the id's first content became.
        version: Version,
    },
    /// It was made from a version that does not exist.
    NoSuchBase {
        /// The current version.
        current: Version,
    },
    /// It is too old to tell whether it was accepted.
    Unknown {
        /// The current version.
        current: Version,
    },
    /// It is larger than allowed.
    TooLarge {
        /// Bytes given.
        bytes: u64,
        /// Bytes allowed.
        max: u64,
    },
}

/// A configuration whose operator numbers its versions. The highest is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigOffer {
    /// Its version.
    pub version: Version,
    /// The whole file. It was checked before it was proposed.
    pub text: Arc<str>,
}

/// The answer to a [`ConfigOffer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigOfferReply {
    /// It is in force.
    InForce,
    /// An equal or higher version is, and stays.
    Kept {
        /// That version.
        current: Version,
    },
    /// It is larger than allowed.
    TooLarge {
        /// Bytes given.
        bytes: u64,
        /// Bytes allowed.
        max: u64,
    },
}
