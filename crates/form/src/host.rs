//! One host as the controller knows it.

use std::time::Duration;

use crate::OrderId;
use base::ModelName;
use base::Time;
use fleet::Announcement;
use fleet::Place;

/// A host without place and models that has said so few things was never ordered.
const NEW_UNTIL: u64 = 2;

/// One host.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    pub said: Announcement,
    pub heard: Time,
    /// It said that it is gone, and may still finish what it has.
    pub is_gone: bool,
    /// Since when it does not answer, though it was asked.
    pub lost: Option<Time>,
    /// The order whose outcome is not known yet.
    pub order: Option<OrderId>,
    /// The model it was told to stage, and when.
    pub staging: Option<(ModelName, Time)>,
    /// The model of its last replica in this life. It joins another one of it sooner.
    pub warm: Option<ModelName>,
    /// Orders that it has begun in this life, if that is known.
    pub begun: Option<u64>,
    /// No order before this time.
    pub rest_until: Time,
}

impl Host {
    pub fn new(said: Announcement, now: Time) -> Self {
        let is_new = said.sequence <= NEW_UNTIL
            && said.place().is_none()
            && said
                .engine
                .as_ref()
                .is_some_and(|engine| engine.staged.is_empty());
        Self {
            begun: is_new.then_some(0),
            said,
            heard: now,
            is_gone: false,
            lost: None,
            order: None,
            staging: None,
            warm: None,
            rest_until: Time::ZERO,
        }
    }

    /// Takes what it says now. A later life has forgotten its place and orders.
    pub fn hear(&mut self, said: &Announcement, now: Time) {
        if said.incarnation != self.said.incarnation {
            *self = Self::new(said.clone(), now);
            return;
        }
        self.said = said.clone();
        self.heard = now;
        self.lost = None;
        let staged = |(model, _): &(ModelName, Time)| self.staged().contains(model);
        if self.staging.as_ref().is_some_and(staged) {
            self.staging = None;
        }
    }

    /// The models that it keeps.
    pub fn staged(&self) -> &[ModelName] {
        match &self.said.engine {
            Some(engine) => &engine.staged,
            None => &[],
        }
    }

    /// The model that it keeps or will keep.
    pub fn model(&self) -> Option<&ModelName> {
        match &self.staging {
            Some((model, _)) => Some(model),
            None => self.staged().last(),
        }
    }

    /// Whether it can join a replica of a model without a load. It waits for a model that
    /// is being staged before it joins from its disk, but not if it is warm.
    pub fn can_join(&self, model: &ModelName) -> bool {
        let is_warm = self.warm.as_ref() == Some(model);
        is_warm || (self.staging.is_none() && self.staged().contains(model))
    }

    /// Its place in a replica.
    pub fn place(&self) -> Option<&Place> {
        self.said.place()
    }

    /// Whether it can be counted on.
    pub fn is_well(&self, silent: Duration, now: Time) -> bool {
        self.lost.is_none() && !self.said.leaving && now.since(self.heard) < silent
    }
}
