//! A host as its controller knows it.

use std::time::Duration;

use crate::Config;
use crate::OrderId;
use base::Assignment;
use base::Duty;
use base::HostReport;
use base::ReplicaId;
use base::Time;

/// What a controller knows of one host.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    /// Its newest report.
    pub report: HostReport,
    /// When that was heard.
    pub heard_at: Time,
    /// The replica that the host belongs to in the controller's books.
    pub owner: Option<ReplicaId>,
    /// The order that is on its way to it.
    pub pending_order: Option<OrderId>,
    /// An order whose outcome is unknown may reach it until then.
    pub unsettled_until: Time,
    /// Since when it has held an assignment that is in no book.
    pub stray_since: Option<Time>,
    /// True if it restarted and still claims an assignment.
    pub claim_distrusted: bool,
    /// Losses that count towards the hold-down.
    pub losses: u32,
    /// When it was last lost.
    pub last_loss_at: Time,
    /// It joins no replica before then.
    pub held_down_until: Time,
    /// Its speed as a share of that of its like, if it was marked as slow.
    pub relative_speed: Option<f64>,
}

impl Host {
    /// A host that is heard for the first time.
    pub fn new(report: HostReport, now: Time) -> Self {
        Self {
            report,
            heard_at: now,
            owner: None,
            pending_order: None,
            unsettled_until: Time::ZERO,
            stray_since: None,
            claim_distrusted: false,
            losses: 0,
            last_loss_at: Time::ZERO,
            held_down_until: Time::ZERO,
            relative_speed: None,
        }
    }

    /// Takes a report. One that is older than the newest changes nothing.
    pub fn receive_report(&mut self, report: &HostReport, cfg: &Config, now: Time) {
        let known = (self.report.incarnation, self.report.sequence);
        if (report.incarnation, report.sequence) <= known {
            return;
        }
        let restarted = self.report.incarnation < report.incarnation;
        if restarted || self.is_lost(cfg, now) {
            self.record_loss(cfg, now);
        }
        if restarted {
            self.claim_distrusted = true;
            self.relative_speed = None;
        }
        if report.duty == Duty::Idle {
            self.claim_distrusted = false;
        }
        self.report = report.clone();
        self.heard_at = now;
    }

    /// Counts a loss and holds the host back.
    pub fn record_loss(&mut self, cfg: &Config, now: Time) {
        if cfg.loss_reset_after < now.since(self.last_loss_at) {
            self.losses = 0;
        }
        self.losses += 1;
        self.last_loss_at = now;
        self.held_down_until = now + hold_down(self.losses, cfg);
    }

    /// True if its report is recent enough to route on.
    pub fn is_fresh(&self, cfg: &Config, now: Time) -> bool {
        now < self.heard_at + cfg.report_validity
    }

    /// True if it has been silent so long that its replica is broken.
    pub fn is_lost(&self, cfg: &Config, now: Time) -> bool {
        self.heard_at + cfg.host_loss_timeout <= now
    }

    /// What it says it belongs to.
    pub fn assignment(&self) -> Option<&Assignment> {
        self.report.duty.assignment()
    }

    /// True if no order can reach it unexpectedly and its report was heard since.
    pub fn is_settled(&self, now: Time) -> bool {
        self.pending_order.is_none()
            && self.unsettled_until <= now
            && self.unsettled_until <= self.heard_at
    }

    /// True if it is in no replica, by the books and by its own word.
    pub fn is_free(&self, cfg: &Config, now: Time) -> bool {
        self.owner.is_none()
            && self.report.duty == Duty::Idle
            && self.is_fresh(cfg, now)
            && self.is_settled(now)
    }

    /// True if it may join a replica now.
    pub fn is_usable(&self, cfg: &Config, now: Time) -> bool {
        self.is_free(cfg, now) && self.will_be_usable(cfg, now)
    }

    /// True if it may join a replica once it is free.
    pub fn will_be_usable(&self, cfg: &Config, now: Time) -> bool {
        self.is_fresh(cfg, now)
            && !self.report.leaving
            && self.held_down_until <= now
            && self.relative_speed.is_none()
    }

    /// Requests in its engine, by its newest report.
    pub fn request_count(&self) -> u32 {
        self.report.load.running + self.report.load.waiting
    }
}

/// No hold-down for the first loss, then doubling.
fn hold_down(flaps: u32, cfg: &Config) -> Duration {
    if flaps <= 1 {
        return Duration::ZERO;
    }
    let factor = 1_u32 << (flaps - 2).min(16);
    cfg.first_hold_down
        .saturating_mul(factor)
        .min(cfg.max_hold_down)
}
