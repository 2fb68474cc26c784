//! Counts the announcements that are ignored, and logs them.
//!
//! Anybody may send announcements without end, so each reason is logged at most once a second. The
//! line carries the count since the process started.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::control::ControlHost;
use crate::events::Event;
use crate::events::emit;
use base::Time;
use fleet::Announcement;
use fleet::IgnoreReason;
use quorum::clock;

/// The shortest time between two lines of one reason.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How often announcements were ignored, by reason.
#[derive(Debug, Default)]
pub(crate) struct IgnoredAnnouncements(BTreeMap<IgnoreReason, Count>);

#[derive(Debug, Default)]
struct Count {
    total: u64,
    logged_at: Option<Time>,
}

impl IgnoredAnnouncements {
    /// Counts an announcement. Returns the count so far if it is to be logged.
    fn record(&mut self, reason: IgnoreReason, now: Time) -> Option<u64> {
        let count = self.0.entry(reason).or_default();
        count.total += 1;
        let is_due = |at: Time| at + LOG_INTERVAL <= now;
        count.logged_at.is_none_or(is_due).then(|| {
            count.logged_at = Some(now);
            count.total
        })
    }
}

impl ControlHost {
    /// Records that an announcement was ignored.
    pub fn record_ignored(&self, announcement: &Announcement, reason: IgnoreReason) {
        let mut ignored = self.ignored.borrow_mut();
        if let Some(total) = ignored.record(reason, clock::now()) {
            emit(&Event::AnnouncementIgnored {
                id: &announcement.id,
                service: &announcement.service,
                addr: announcement.addr,
                incarnation: announcement.incarnation,
                reason,
                total,
            });
        }
    }
}
