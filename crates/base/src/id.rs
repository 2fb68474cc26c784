//! Numeric ids. Each shows itself with its own prefix, so that a log line or a
//! table never leaves open what a number stands for.

use std::fmt;
use std::str::FromStr;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;

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
    NodeId, u32, "n"
);
id!(
    /// A data centre.
    CentreId, u32, "dc"
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
/// The id that an operator's tool gives to a change, kept when it is sent again.
///
/// Text formats carry it as text, since few of them have numbers of that size.
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
