//! The controller's records of hosts.

use std::time::Duration;

use crate::Config;
use crate::OrderId;
use base::Assignment;
use base::Duty;
use base::HostReport;
use base::ReplicaId;
use base::Time;

/// The controller's record of one host.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    /// The newest report.
    pub report: HostReport,
    /// When that report was received.
    pub heard_at: Time,
    /// The replica that the controller has assigned the host to.
    pub owner: Option<ReplicaId>,
    /// The order to the host whose outcome is not known yet.
    pub pending_order: Option<OrderId>,
    /// Until then, an order may still reach the host, or an older report arrive.
    pub unsettled_until: Time,
    /// Since when the host has had an assignment to an unknown replica.
    pub stray_since: Option<Time>,
    /// True if the host restarted and has not been idle since. Its assignment is ignored.
    pub claim_distrusted: bool,
    /// Losses that count towards the hold-down.
    pub losses: u32,
    pub last_loss_at: Time,
    /// The host joins no replica before then.
    pub held_down_until: Time,
    /// The speed as a fraction of that of similar hosts, if the host is marked as slow.
    pub relative_speed: Option<f64>,
}

impl Host {
    /// The record of a host whose first report was just received.
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

    /// Updates the record from a report. An older one is ignored.
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

    /// Counts a loss of the host and starts its hold-down.
    pub fn record_loss(&mut self, cfg: &Config, now: Time) {
        if cfg.loss_reset_after < now.since(self.last_loss_at) {
            self.losses = 0;
        }
        self.losses += 1;
        self.last_loss_at = now;
        self.held_down_until = now + hold_down(self.losses, cfg);
    }

    /// True if the host's report is recent enough to route on.
    pub fn is_fresh(&self, cfg: &Config, now: Time) -> bool {
        now < self.heard_at + cfg.report_validity
    }

    /// True if the last report is so old that the host's replica counts as broken.
    pub fn is_lost(&self, cfg: &Config, now: Time) -> bool {
        self.heard_at + cfg.host_loss_timeout <= now
    }

    /// The assignment that the host reports, if any.
    pub fn assignment(&self) -> Option<&Assignment> {
        self.report.duty.assignment()
    }

    /// True if no order can still reach the host and its newest report is from after that.
    pub fn is_settled(&self, now: Time) -> bool {
        self.pending_order.is_none()
            && self.unsettled_until <= now
            && self.unsettled_until <= self.heard_at
    }

    /// True if the host is in no replica, by the controller's record and its own report.
    pub fn is_free(&self, cfg: &Config, now: Time) -> bool {
        self.owner.is_none()
            && self.report.duty == Duty::Idle
            && self.is_fresh(cfg, now)
            && self.is_settled(now)
    }

    /// True if the host may join a replica now.
    pub fn is_usable(&self, cfg: &Config, now: Time) -> bool {
        self.is_free(cfg, now) && self.will_be_usable(cfg, now)
    }

    /// True if the host may join a replica once it is free.
    pub fn will_be_usable(&self, cfg: &Config, now: Time) -> bool {
        self.is_fresh(cfg, now)
            && !self.report.leaving
            && self.held_down_until <= now
            && self.relative_speed.is_none()
    }

    /// Requests in the host's engine, by its newest report.
    pub fn request_count(&self) -> u32 {
        self.report.load.running + self.report.load.waiting
    }
}

/// The hold-down after a number of losses: none after the first, then doubling.
fn hold_down(losses: u32, cfg: &Config) -> Duration {
    if losses <= 1 {
        return Duration::ZERO;
    }
    let factor = 1_u32 << (losses - 2).min(16);
    cfg.first_hold_down
        .saturating_mul(factor)
        .min(cfg.max_hold_down)
}
