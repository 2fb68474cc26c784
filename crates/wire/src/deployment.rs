//! Calls that the operators' command-line tool makes to a control host of a deployment.

use serde::Deserialize;
use serde::Serialize;

use crate::Call;
use base::RequestPart;

/// Asks for the requests that are banned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShowBans {}

/// Parts that are banned: requests with all of them are refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BanRow {
    /// The parts.
    pub parts: Vec<RequestPart>,
    /// Upstream processes that ended with a request that has the parts.
    pub crashes: u32,
}

/// The reply to [`ShowBans`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ShowBansReply {
    /// The bans in force.
    Bans(Vec<BanRow>),
    /// No control host leads, or it cannot be reached.
    NoLeader,
}

/// Lifts a ban.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiftBan {
    /// The parts of the ban.
    pub parts: Vec<RequestPart>,
}

/// The reply to [`LiftBan`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LiftBanReply {
    /// The ban is lifted.
    Lifted,
    /// No ban of exactly these parts is in force.
    NotBanned,
    /// No control host leads, or it cannot be reached. The ban may have been lifted.
    NoLeader,
}

impl Call for ShowBans {
    const METHOD: &'static str = "bans";
    type Reply = ShowBansReply;
}

impl Call for LiftBan {
    const METHOD: &'static str = "lift_ban";
    type Reply = LiftBanReply;
}
