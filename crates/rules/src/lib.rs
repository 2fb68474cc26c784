//! Parses and checks the operators' rules file and builds contracts from it.
//!
//! The file is TOML with one rule on each line. Every rule ends with a comment
//! that names who asked for it. Rules define organisations, callers, models,
//! services and contracts, but never name hosts. [`Rules::parse`] reports all
//! findings in a file together, each with its line and column.

mod check;
mod field;
mod line;
mod read;
mod rules;
mod secret;
mod section;
mod unit;

pub use rules::Asker;
pub use rules::Caller;
pub use rules::ContractRule;
pub use rules::MAX_RULES_FILE_BYTES;
pub use rules::Model;
pub use rules::Org;
pub use rules::OutcomeQuery;
pub use rules::Repeat;
pub use rules::Rules;
pub use rules::Service;
pub use secret::ParseSecretError;
pub use secret::SecretDigest;
