//! Names that people choose: short and printable, safe in logs and paths.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// The longest name in bytes.
const MAX_NAME_BYTES: usize = 64;

/// The longest idempotency key in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum NameError {
    /// The text is empty.
    #[display("a {kind} cannot be empty")]
    Empty {
        /// What the name is for, as a noun for the message.
        kind: &'static str,
    },
    /// The text is longer than allowed.
    #[display("a {kind} has at most {max} bytes, this one has {len}")]
    TooLong {
        /// What the name is for, as a noun for the message.
        kind: &'static str,
        /// The length of the text in bytes.
        len: usize,
        /// The longest length allowed, in bytes.
        max: usize,
    },
    /// The text has a character outside the allowed set.
    #[display("a {kind} cannot contain {found:?}")]
    Character {
        /// What the name is for, as a noun for the message.
        kind: &'static str,
        /// The first character that is not allowed.
        found: char,
    },
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $max:expr, $allowed:expr) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check(text, $kind, $max, $allowed)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name!(
    /// An organisation, which owns callers and their orders.
    OrgName, "organisation's name", MAX_NAME_BYTES, is_name_char
);
name!(
    /// A caller, identified by its bearer secret.
    CallerName, "caller's name", MAX_NAME_BYTES, is_name_char
);
name!(
    /// A model that callers ask for.
    ModelName, "model's name", MAX_NAME_BYTES, is_name_char
);
name!(
    /// A plain service beside the model engines.
    ServiceName, "service's name", MAX_NAME_BYTES, is_name_char
);
name!(
    /// A contract of the operators' rules.
    ContractName, "contract's name", MAX_NAME_BYTES, is_name_char
);
name!(
    /// An idempotency key of a caller, unique within its organisation.
    OrderKey, "key", MAX_KEY_BYTES, is_key_char
);

name!(
    /// A process of an upstream, under the name that it gives itself.
    UpstreamId, "upstream's id", MAX_KEY_BYTES, is_key_char
);
name!(
    /// A replica of a model, on engines that name their groups of hosts.
    ReplicaName, "replica's name", MAX_KEY_BYTES, is_key_char
);
name!(
    /// A data centre, under the name that the deployment gives it.
    CentreName, "data centre's name", MAX_KEY_BYTES, is_key_char
);
name!(
    /// A fabric domain, under the name that the deployment gives it.
    DomainName, "fabric domain's name", MAX_KEY_BYTES, is_key_char
);
name!(
    /// A part of a prompt, which several requests may share.
    PromptPartId, "prompt part's id", MAX_NAME_BYTES, is_key_char
);
name!(
    /// A route of the configuration.
    RouteName, "route's name", MAX_KEY_BYTES, is_key_char
);

fn check(
    text: &str,
    kind: &'static str,
    max: usize,
    allowed: fn(char) -> bool,
) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty { kind });
    }
    if max < text.len() {
        let len = text.len();
        return Err(NameError::TooLong { kind, len, max });
    }
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => Err(NameError::Character { kind, found }),
        None => Ok(()),
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '.')
}

fn is_key_char(c: char) -> bool {
    c.is_ascii_graphic()
}
