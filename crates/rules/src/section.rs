//! The tables of the rules file.

use derive_more::Display;

/// A table of the rules file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub(crate) enum Section {
    /// Organisations and their weights.
    #[display("orgs")]
    Orgs,
    /// Callers and their secrets.
    #[display("callers")]
    Callers,
    /// Models and the hosts that a replica needs.
    #[display("models")]
    Models,
    /// Services that are not models.
    #[display("services")]
    Services,
    /// Contracts, by which callers use models.
    #[display("contracts")]
    Contracts,
}

impl Section {
    /// All tables.
    pub(crate) const ALL: [Self; 5] = [
        Self::Orgs,
        Self::Callers,
        Self::Models,
        Self::Services,
        Self::Contracts,
    ];

    /// The table of this name.
    pub(crate) fn named(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|s| s.to_string() == name)
    }

    /// What a rule of the table defines, as a singular noun for findings.
    pub(crate) fn noun(self) -> &'static str {
        match self {
            Self::Orgs => "organisation",
            Self::Callers => "caller",
            Self::Models => "model",
            Self::Services => "service",
            Self::Contracts => "contract",
        }
    }
}
