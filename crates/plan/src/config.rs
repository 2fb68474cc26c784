//! Settings of the controller: time limits and counts.

use std::time::Duration;

use base::CentreId;

/// Settings of a [`crate::Controller`].
#[derive(Clone, Debug)]
pub struct Config {
    /// The data centre whose hosts the controller orders.
    pub centre: CentreId,
    /// How long a host's report is recent enough to route on. A route ends this long
    /// after the oldest of its hosts' newest reports was received.
    pub report_validity: Duration,
    /// The longest time for which one grant makes a route valid.
    pub max_route_validity: Duration,
    /// How long after its last successful poll an entry node may keep using a route
    /// without a controller, while it receives the reports of all the route's hosts
    /// itself. A value not above [`Self::report_validity`] turns this off. It should be
    /// longer than the lease. A new controller waits
    /// at least this long before its first order.
    pub hold_limit: Duration,
    /// How much faster one process's clock may run than another's, in percent.
    pub max_drift_percent: u32,
    /// A host that has sent no report for this long is lost, which breaks its replica.
    pub host_loss_timeout: Duration,
    /// An order may be sent only within this time after it was issued.
    pub order_send_timeout: Duration,
    /// The longest time between issuing an order and its arrival at an engine.
    pub max_order_delay: Duration,
    /// The longest time between a host's making a report and its arrival here.
    pub max_report_delay: Duration,
    /// A replica that is not ready this long after its hosts were ordered is given up.
    pub load_timeout: Duration,
    /// How many replicas may load from the weight store at once.
    pub max_concurrent_loads: usize,
    /// How long a host is kept out of new replicas after its second loss. The first
    /// loss has no hold-down, and each loss after the second doubles it.
    pub first_hold_down: Duration,
    /// The longest hold-down of a host.
    pub max_hold_down: Duration,
    /// The loss count of a host starts again after this time without a loss.
    pub loss_reset_after: Duration,
    /// A host that reports an assignment to a replica unknown to the controller is
    /// released after this time.
    pub stray_release_delay: Duration,
    /// A replica is drained as surplus only after its model has had too many replicas
    /// for this time.
    pub surplus_drain_delay: Duration,
    /// A model must have lacked a place for a replica this long before other replicas
    /// are moved or ended for it. Also the delay of a surplus drain while another
    /// model lacks hosts.
    pub move_delay: Duration,
    /// How many replicas may be moving to other hosts at once.
    pub max_concurrent_moves: usize,
    /// How long a drain usually takes. For this time, the planner counts the hosts of a
    /// draining replica as coming free and reserves hosts to go with them.
    pub expected_drain_time: Duration,
    /// A draining replica is released after this time even if requests still run on it.
    pub drain_timeout: Duration,
    /// The oldest that the load figures in a host's report may be.
    pub max_load_age: Duration,
    /// How long loading a model usually takes, for deciding whether replacing a slow
    /// host is worth it.
    pub expected_load_time: Duration,
    /// The time within which the speed gained by replacing a slow host must make up for
    /// the load that the replacement costs.
    pub slow_host_payback_time: Duration,
    /// A gap between two ticks longer than this means that this process was frozen.
    pub pause_threshold: Duration,
    /// After a freeze, reports are ignored for this time, because they may have waited in
    /// a queue and be old.
    pub ignore_reports_after_pause: Duration,
    /// The time between two plans.
    pub plan_interval: Duration,
    /// A host that belongs to no replica is forgotten after this time without a report.
    pub forget_host_after: Duration,
}

impl Config {
    /// The default settings for a data centre.
    pub fn for_centre(centre: CentreId) -> Self {
        Self {
            centre,
            ..Self::default()
        }
    }

    /// How long after its last grant a route may still be valid at an entry node, clock
    /// drift included.
    pub fn max_route_lifetime(&self) -> Duration {
        self.report_validity.max(self.hold_limit) * (100 + self.max_drift_percent) / 100
    }

    /// How long a controller with a new tenure only receives reports before it issues
    /// orders: until the predecessor's routes have expired and none of its orders can
    /// still arrive.
    pub fn settle_time(&self) -> Duration {
        self.max_route_lifetime() + self.max_order_delay
    }
}

impl Default for Config {
    fn default() -> Self {
        Self {
            centre: CentreId::default(),
            report_validity: Duration::from_millis(2_800),
            max_route_validity: Duration::from_millis(1_600),
            hold_limit: Duration::ZERO,
            max_drift_percent: 5,
            host_loss_timeout: Duration::from_secs(5),
            order_send_timeout: Duration::from_secs(1),
            max_order_delay: Duration::from_secs(3),
            max_report_delay: Duration::from_millis(500),
            load_timeout: Duration::from_secs(600),
            max_concurrent_loads: 4,
            first_hold_down: Duration::from_secs(10),
            max_hold_down: Duration::from_secs(600),
            loss_reset_after: Duration::from_secs(1_800),
            stray_release_delay: Duration::from_millis(2_500),
            surplus_drain_delay: Duration::from_secs(60),
            move_delay: Duration::from_secs(5),
            max_concurrent_moves: 2,
            expected_drain_time: Duration::from_secs(30),
            drain_timeout: Duration::from_secs(900),
            max_load_age: Duration::from_secs(2),
            expected_load_time: Duration::from_secs(60),
            slow_host_payback_time: Duration::from_secs(600),
            pause_threshold: Duration::from_secs(2),
            ignore_reports_after_pause: Duration::from_millis(500),
            plan_interval: Duration::from_millis(500),
            forget_host_after: Duration::from_secs(3_600),
        }
    }
}
