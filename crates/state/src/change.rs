//! The commands that change the configuration, and their replies.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use base::ChangeId;
use base::Version;

/// A complete new configuration, made from the version `base`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The id of the change, the same in every resend.
    pub id: ChangeId,
    /// The version that the change was made from.
    pub base: Version,
    /// The complete file. It was validated before it was proposed.
    pub text: Arc<str>,
}

/// The reply to a [`ConfigChange`]. A resend gets the same reply while it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigChangeReply {
    /// The change was accepted as this version.
    Accepted {
        /// The version.
        version: Version,
    },
    /// Another change was made from the same version and was accepted first.
    Conflict {
        /// The id of the other change.
        winner: ChangeId,
        /// The version that the other change became.
        version: Version,
    },
    /// An accepted change has the same id and another content.
    OtherContent {
        /// The version that the accepted change became.
        version: Version,
    },
    /// The change was made from a version that does not exist yet.
    NoSuchBase {
        /// The current version.
        current: Version,
    },
    /// The change is too old to tell whether it was accepted.
    Unknown {
        /// The current version.
        current: Version,
    },
    /// The file is larger than allowed.
    TooLarge {
        /// The size of the file.
        bytes: u64,
        /// The largest size allowed.
        max: u64,
    },
}

/// A complete configuration with a version number given by its operator. The highest
/// version is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigOffer {
    /// The version number.
    pub version: Version,
    /// The complete file. It was validated before it was proposed.
    pub text: Arc<str>,
}

/// The reply to a [`ConfigOffer`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigOfferReply {
    /// The offered configuration is in force.
    InForce,
    /// A configuration with the same or a higher version stays in force.
    Kept {
        /// The version in force.
        current: Version,
    },
    /// The file is larger than allowed.
    TooLarge {
        /// The size of the file.
        bytes: u64,
        /// The largest size allowed.
        max: u64,
    },
}
