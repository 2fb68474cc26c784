//! A host as the controller knows it.

use std::time::Duration;

use crate::OrderId;
use base::Fence;
use base::Incarnation;
use base::ModelName;
use base::Time;
use fleet::Announcement;
use fleet::Place;

/// A host that announces neither a place nor staged models, with a sequence number of at most
/// this, has never begun an order.
const MAX_SEQUENCE_OF_NEW_HOST: u64 = 2;

/// A host, as its announcements and the outcomes of its orders show it.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    pub announcement: Announcement,
    pub heard_at: Time,
    /// The host announced itself to this process. Others are known from records only.
    pub has_announced: bool,
    /// The host announced its departure. It may still finish requests.
    pub has_departed: bool,
    /// Since when the host doesn't answer probes.
    pub lost_since: Option<Time>,
    /// The order whose outcome is not known yet.
    pub pending_order: Option<OrderId>,
    /// The model that the host was ordered to stage, and when.
    pub staging: Option<(ModelName, Time)>,
    /// The model of the host's last replica in this incarnation. The host joins another
    /// replica of that model sooner.
    pub warm_model: Option<ModelName>,
    /// How many orders the host has begun in this incarnation, if known.
    pub begun_orders: Option<u64>,
    /// The host gets no order before this time.
    pub no_orders_until: Time,
}

impl Host {
    pub fn new(announcement: Announcement, now: Time) -> Self {
        let is_new = announcement.sequence <= MAX_SEQUENCE_OF_NEW_HOST
            && announcement.place().is_none()
            && announcement
                .engine
                .as_ref()
                .is_some_and(|engine| engine.staged.is_empty());
        Self {
            begun_orders: is_new.then_some(0),
            announcement,
            heard_at: now,
            has_announced: true,
            has_departed: false,
            lost_since: None,
            pending_order: None,
            staging: None,
            warm_model: None,
            no_orders_until: Time::ZERO,
        }
    }

    /// A host that is known from a record, with what it would announce. Its silence counts from
    /// now on.
    pub fn expected(announcement: Announcement, now: Time) -> Self {
        Self {
            has_announced: false,
            ..Self::new(announcement, now)
        }
    }

    /// Records an announcement. A new incarnation has lost its place and orders.
    pub fn record_announcement(&mut self, announcement: &Announcement, now: Time) {
        if announcement.incarnation != self.announcement.incarnation {
            *self = Self::new(announcement.clone(), now);
            return;
        }
        self.announcement = announcement.clone();
        self.heard_at = now;
        self.has_announced = true;
        self.lost_since = None;
        let staged = |(model, _): &(ModelName, Time)| self.staged().contains(model);
        if self.staging.as_ref().is_some_and(staged) {
            self.staging = None;
        }
    }

    /// Whether an announcement is of an earlier incarnation than the known one. A start time may
    /// go back with a clock, so a host that is lost may come back in an earlier one.
    pub fn is_later_than(&self, announcement: &Announcement) -> bool {
        let is_earlier = announcement.incarnation < self.announcement.incarnation;
        is_earlier && self.lost_since.is_none()
    }

    pub fn staged(&self) -> &[ModelName] {
        match &self.announcement.engine {
            Some(engine) => &engine.staged,
            None => &[],
        }
    }

    /// The model that the host is staging, else the one that it staged last.
    pub fn staged_or_staging_model(&self) -> Option<&ModelName> {
        match &self.staging {
            Some((model, _)) => Some(model),
            None => self.staged().last(),
        }
    }

    /// Whether the host can join a replica of a model without a load. A join from staged
    /// weights waits until the model being staged is loaded; a warm join doesn't wait.
    pub fn can_join(&self, model: &ModelName) -> bool {
        let is_warm = self.warm_model.as_ref() == Some(model);
        is_warm || (self.staging.is_none() && self.staged().contains(model))
    }

    pub fn place(&self) -> Option<&Place> {
        self.announcement.place()
    }

    /// Whether the host has left a replica for certain that it had joined in `incarnation`: it has
    /// restarted since, or joined another replica.
    pub fn has_gone_on_from(&self, epoch: Fence, incarnation: Incarnation) -> bool {
        let has_restarted = incarnation < self.announcement.incarnation;
        let has_joined_later = self.place().is_some_and(|place| epoch < place.epoch);
        has_restarted || (self.announcement.incarnation == incarnation && has_joined_later)
    }

    /// Whether the host is heard, and neither lost nor silent for too long.
    pub fn is_in_reach(&self, silence_limit: Duration, now: Time) -> bool {
        self.has_announced && self.lost_since.is_none() && now.since(self.heard_at) < silence_limit
    }

    /// Whether the host is available: heard, and neither lost, leaving nor silent for too long.
    pub fn is_available(&self, silence_limit: Duration, now: Time) -> bool {
        !self.announcement.leaving && self.is_in_reach(silence_limit, now)
    }
}
