//! Numeric ids. The text of each kind of id has its own prefix, so that log lines and
//! tables show what a number identifies.

use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;

/// A text is not an id of the expected kind.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("\"{text}\" is not of the form \"{prefix}<number>\"")]
pub struct ParseIdError {
    /// The text that was given.
    pub text: String,
    /// The prefix of ids of the expected kind.
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
            /// The id after this one.
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
    NodeId, u32, "n"
);
id!(
    /// A data centre.
    CentreId, u32, "dc"
);
id!(
    /// A fabric domain, in which hosts form replicas. Unique within its data centre.
    DomainId, u32, "f"
);
id!(
    /// A host of a model engine, unique across all data centres.
    HostId, u32, "h"
);
id!(
    /// A replica of a model: a group of hosts. The id is never reused for another group.
    ReplicaId, u64, "r"
);
id!(
    /// An incarnation of a process. It grows with every restart.
    Incarnation, u64, "i"
);
id!(
    /// The identity of a data folder, drawn at random while the folder is empty. A wiped
    /// folder gets a new one.
    DiskId, u64, "d"
);
id!(
    /// A fencing number. An order is old if a larger number was seen before.
    Fence, u64, "e"
);
id!(
    /// A version of the configuration. Zero means that none has been accepted yet.
    Version, u64, "v"
);
id!(
    /// A request at an entry node.
    RequestId, u64, "q"
);
/// The id that the operators' tool gives to a configuration change and its resends.
///
/// Text formats hold it as text, since few of them have numbers of 128 bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u128);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "c{}", self.0)
    }
}

impl FromStr for ChangeId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let number = text
            .strip_prefix('c')
            .and_then(|digits| digits.parse().ok());
        number.map(Self).ok_or_else(|| ParseIdError {
            text: text.to_owned(),
            prefix: "c",
        })
    }
}

impl Serialize for ChangeId {
    fn serialize<Out: Serializer>(&self, out: Out) -> Result<Out::Ok, Out::Error> {
        match out.is_human_readable() {
            true => out.collect_str(self),
            false => out.serialize_u128(self.0),
        }
    }
}

impl<'de> Deserialize<'de> for ChangeId {
    fn deserialize<In: Deserializer<'de>>(input: In) -> Result<Self, In::Error> {
        if !input.is_human_readable() {
            return u128::deserialize(input).map(Self);
        }
        let text = String::deserialize(input)?;
        text.parse().map_err(In::Error::custom)
    }
}
