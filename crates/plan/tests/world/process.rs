//! Controllers, entry nodes, their clocks, and a lease that never has two holders.

use std::time::Duration;

use super::Message;
use base::Fence;
use base::HostReport;
use base::Time;
use plan::Controller;
use plan::Order;
use plan::RouteTable;
use plan::Tenure;

/// A process's clock, with an offset and a drift.
#[derive(Clone, Copy)]
pub struct Clock {
    pub offset: Duration,
    pub speed_percent: u64,
    /// How long the clock stood still.
    pub stopped_for: Duration,
}

impl Clock {
    pub fn at(&self, now: Time) -> Time {
        Time(now.0 * self.speed_percent / 100) + self.offset - self.stopped_for
    }
}

#[derive(Clone)]
pub struct ControllerProcess {
    pub controller: Controller,
    pub clock: Clock,
    pub frozen_until: Time,
    /// Until then, messages of hosts and entry nodes are lost.
    pub unreachable_until: Time,
    /// Until then, the process can't renew the lease.
    pub lease_unreachable_until: Time,
    pub tenure: Option<Tenure>,
    /// Orders with the times at which they will be sent.
    pub unsent_orders: Vec<(Time, Order)>,
    pub queued: Vec<Message>,
}

impl ControllerProcess {
    pub fn new(controller: Controller, index: u64) -> Self {
        Self {
            controller,
            clock: Clock {
                offset: Duration::from_secs(100 * index),
                speed_percent: 100 + index,
                stopped_for: Duration::ZERO,
            },
            frozen_until: Time::ZERO,
            unreachable_until: Time::ZERO,
            lease_unreachable_until: Time::ZERO,
            tenure: None,
            unsent_orders: Vec::new(),
            queued: Vec::new(),
        }
    }

    pub fn is_frozen(&self, now: Time) -> bool {
        now < self.frozen_until
    }

    pub fn is_reachable(&self, now: Time) -> bool {
        !self.is_frozen(now) && self.unreachable_until <= now
    }
}

#[derive(Clone)]
pub struct EntryNode {
    pub table: RouteTable,
    pub clock: Clock,
    pub frozen_until: Time,
    /// Until then, polls are lost.
    pub unreachable_until: Time,
    pub next_poll: Time,
    /// Reports that arrived while the node was frozen.
    pub queued: Vec<HostReport>,
    /// Until then, an expired route may look valid because the clock stood still.
    pub clock_trusted_from: Time,
}

impl EntryNode {
    pub fn new(table: RouteTable) -> Self {
        Self {
            table,
            clock: Clock {
                offset: Duration::from_secs(7),
                speed_percent: 99,
                stopped_for: Duration::ZERO,
            },
            frozen_until: Time::ZERO,
            unreachable_until: Time::ZERO,
            next_poll: Time::ZERO,
            queued: Vec::new(),
            clock_trusted_from: Time::ZERO,
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

/// Fencing numbers grow with wall-clock time.
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
    /// Renews the holder's lease, or gives an ended lease to the process that asks.
    pub fn renew(&mut self, index: usize, process: &mut ControllerProcess, now: Time) {
        if process.is_frozen(now) || now < process.lease_unreachable_until {
            return;
        }
        let is_over = self.until <= now;
        if self.holder != Some(index) && !is_over {
            return;
        }
        if self.holder != Some(index) || is_over {
            self.fence = self.fence.next();
            self.holder = Some(index);
        }
        self.until = now + LEASE;
        process.tenure = Some(Tenure {
            fence: self.fence,
            until: process.clock.at(now) + (LEASE - LEASE_MARGIN),
        });
    }
}
