//! What a roster holds of one process.

use serde::Deserialize;
use serde::Serialize;

use crate::Announcement;
use crate::RosterChange;
use base::Incarnation;
use base::Time;
use base::UpstreamId;

/// The number of a change of a roster. Each roster counts its own changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// What a roster holds of one process.
#[derive(Clone, Debug)]
pub struct RosterEntry {
    /// The latest announcement.
    pub announcement: Announcement,
    /// The sequence number of the last announcement of this state that arrived whole.
    pub whole_sequence: u64,
    /// When the process was last heard in this state.
    pub heard_at: Time,
    /// When the last sign of the process arrived, which may say nothing of its state.
    pub alive_at: Time,
    /// Whether the process has departed.
    pub has_departed: bool,
    /// The roster's revision at the last change of this entry.
    pub revision: Revision,
}

/// The departure of a process that this roster held no announcement of.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnknownDeparture {
    pub(crate) incarnation: Incarnation,
    pub(crate) heard_at: Time,
    pub(crate) revision: Revision,
}

impl RosterEntry {
    /// Whether an announcement is newer than this entry. A process that has departed comes back
    /// only in a later incarnation.
    pub(crate) fn is_older_than(&self, announcement: &Announcement) -> bool {
        let order = |a: &Announcement| (a.incarnation, a.sequence);
        match self.has_departed {
            true => self.announcement.incarnation < announcement.incarnation,
            false => order(&self.announcement) < order(announcement),
        }
    }

    /// The change that tells another roster of this entry.
    pub(crate) fn to_change(&self) -> RosterChange {
        let announcement = &self.announcement;
        match self.has_departed {
            false => RosterChange::Announced(announcement.clone()),
            true => RosterChange::Gone {
                id: announcement.id.clone(),
                incarnation: announcement.incarnation,
            },
        }
    }
}

impl UnknownDeparture {
    pub(crate) fn to_change(self, id: &UpstreamId) -> RosterChange {
        RosterChange::Gone {
            id: id.clone(),
            incarnation: self.incarnation,
        }
    }
}
