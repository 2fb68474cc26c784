//! Controllers, entry nodes, their clocks, and a lease that is always right.

use std::time::Duration;

use super::Message;
use base::Fence;
use base::HostReport;
use base::Time;
use plan::Controller;
use plan::Order;
use plan::RouteTable;
use plan::Tenure;

/// A process's clock: it starts anywhere and runs a little fast or slow.
#[derive(Clone, Copy)]
pub struct Clock {
    pub offset: Duration,
    pub percent: u64,
    /// Time that it missed while it was frozen.
    pub missed: Duration,
}

impl Clock {
    pub fn at(&self, now: Time) -> Time {
        Time(now.0 * self.percent / 100) + self.offset - self.missed
    }
}

#[derive(Clone)]
pub struct Control {
    pub controller: Controller,
    pub clock: Clock,
    pub frozen_until: Time,
    /// Cut from hosts and entry nodes until then.
    pub cut_until: Time,
    /// Cut from the lease until then.
    pub lease_cut_until: Time,
    pub tenure: Option<Tenure>,
    pub held: Vec<(Time, Order)>,
    pub queue: Vec<Message>,
}

impl Control {
    pub fn open(controller: Controller, at: u64) -> Self {
        Self {
            controller,
            clock: Clock {
                offset: Duration::from_secs(100 * at),
                percent: 100 + at,
                missed: Duration::ZERO,
            },
            frozen_until: Time::ZERO,
            cut_until: Time::ZERO,
            lease_cut_until: Time::ZERO,
            tenure: None,
            held: Vec::new(),
            queue: Vec::new(),
        }
    }

    pub fn is_frozen(&self, now: Time) -> bool {
        now < self.frozen_until
    }

    pub fn hears(&self, now: Time) -> bool {
        !self.is_frozen(now) && self.cut_until <= now
    }
}

#[derive(Clone)]
pub struct Entry {
    pub table: RouteTable,
    pub clock: Clock,
    pub frozen_until: Time,
    /// Cut from the controllers until then.
    pub cut_until: Time,
    pub next_poll: Time,
    /// Reports that came while it was frozen.
    pub queue: Vec<HostReport>,
    /// Until then, its clock's standing still may let an ended route look valid.
    pub sound_from: Time,
}

impl Entry {
    pub fn open(table: RouteTable) -> Self {
        Self {
            table,
            clock: Clock {
                offset: Duration::from_secs(7),
                percent: 99,
                missed: Duration::ZERO,
            },
            frozen_until: Time::ZERO,
            cut_until: Time::ZERO,
            next_poll: Time::ZERO,
            queue: Vec::new(),
            sound_from: Time::ZERO,
        }
    }

    pub fn is_frozen(&self, now: Time) -> bool {
        now < self.frozen_until
    }
}

#[derive(Clone)]
pub struct Lease {
    pub holder: Option<usize>,
    pub until: Time,
    pub fence: Fence,
}

/// Fencing numbers grow with the wall clock.
const FIRST_FENCE: Fence = Fence(256 * 1_800_000_000);

const LEASE: Duration = Duration::from_secs(4);
const LEASE_MARGIN: Duration = Duration::from_millis(400);

impl Default for Lease {
    fn default() -> Self {
        Self {
            holder: None,
            until: Time::ZERO,
            fence: FIRST_FENCE,
        }
    }
}

impl Lease {
    /// Renews the holder's lease, or gives an ended one to who asks.
    pub fn renew(&mut self, at: usize, control: &mut Control, now: Time) {
        if control.is_frozen(now) || now < control.lease_cut_until {
            return;
        }
        let is_over = self.until <= now;
        if self.holder != Some(at) && !is_over {
            return;
        }
        if self.holder != Some(at) || is_over {
            self.fence = self.fence.next();
            self.holder = Some(at);
        }
        self.until = now + LEASE;
        control.tenure = Some(Tenure {
            fence: self.fence,
            until: control.clock.at(now) + (LEASE - LEASE_MARGIN),
        });
    }
}
