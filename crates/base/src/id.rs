//! Numeric ids. Each shows itself with its own prefix, so that a log line or a
//! table never leaves open what a number stands for.

use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// Text that is not an id of the expected kind.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("\"{text}\" is not of the form \"{prefix}<number>\"")]
pub struct ParseIdError {
    /// What was given.
    pub text: String,
    /// The prefix that ids of this kind carry.
    pub prefix: &'static str,
}

macro_rules! id {
    ($(#[$doc:meta])* $name:ident, $repr:ty, $prefix:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl $name {
            /// The id that follows this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                text.strip_prefix($prefix)
                    .filter(|digits| digits.bytes().all(|b| b.is_ascii_digit()))
                    .and_then(|digits| digits.parse().ok())
                    .map(Self)
                    .ok_or_else(|| ParseIdError {
                        text: text.to_owned(),
                        prefix: $prefix,
                    })
            }
        }
    };
}

id!(
    /// A node of the system: one `berylbayd` process.
    NodeId, u16, "n"
);
id!(
    /// A data centre.
    CentreId, u16, "dc"
);
id!(
    /// A fabric domain, unique within its data centre.
    DomainId, u32, "f"
);
id!(
    /// A host of a model engine, unique over all data centres.
    HostId, u32, "h"
);
id!(
    /// A replica of a model: one group of hosts, never used again for another group.
    ReplicaId, u64, "r"
);
id!(
    /// One life of a process. A restart takes a larger one.
    Incarnation, u64, "i"
);
id!(
    /// The identity of a data folder, drawn at random when it was empty. A wiped
    /// folder gets another one.
    DiskId, u64, "d"
);
id!(
    /// A fencing number. An order with a smaller one than was seen before is old.
    Fence, u64, "e"
);
id!(
    /// A version of the configuration. Zero means that none was accepted yet.
    Version, u64, "v"
);
id!(
    /// One request as an entry node knows it.
    RequestId, u64, "q"
);
id!(
    /// The id that an operator's tool gives to a change, kept when it is sent again.
    ChangeId, u128, "c"
);
