//! Settings of the controller: time limits and counts.

use std::time::Duration;

use base::CentreId;

/// Settings of a [`crate::Controller`].
#[derive(Clone, Debug)]
pub struct Config {
    /// The data centre.
    pub centre: CentreId,
    /// How long after its arrival a host's report is recent enough to route on. The oldest
    /// report of a replica's hosts limits its route.
    pub report_validity: Duration,
    /// The longest validity of a route in one grant.
    pub max_route_validity: Duration,
    /// How long an entry node without a controller may keep a route, while it receives the
    /// reports of all the route's hosts itself. A value not above
    /// [`Self::report_validity`] turns this off. It should be longer than the lease. A new
    /// controller waits at least this long before it issues orders.
    pub hold_limit: Duration,
    /// How much faster one clock may run than another, in percent.
    pub max_drift_percent: u32,
    /// A host without a report for this long is lost, which breaks its replica.
    pub host_loss_timeout: Duration,
    /// The time within which an issued order may be sent.
    pub order_send_timeout: Duration,
    /// The longest time from issuing an order to its arrival at an engine.
    pub max_order_delay: Duration,
    /// The longest time from a host's making a report to its arrival here.
    pub max_report_delay: Duration,
    /// A replica that is not ready after this time is given up.
    pub load_timeout: Duration,
    /// Replicas that may load from the weight store at once.
    pub max_concurrent_loads: usize,
    /// How long a host joins no replica after its second loss. The first loss has no
    /// hold-down, and each further loss doubles it.
    pub first_hold_down: Duration,
    /// The longest hold-down.
    pub max_hold_down: Duration,
    /// The loss count of a host is reset after this time without a loss.
    pub loss_reset_after: Duration,
    /// A host with an assignment to an unknown replica is released after this time.
    pub stray_release_delay: Duration,
    /// A model must have too many replicas for this long before one is drained.
    pub surplus_drain_delay: Duration,
    /// A model must lack hosts for this long before other replicas are moved or drained
    /// for it. Also replaces [`Self::surplus_drain_delay`] while any model lacks hosts.
    pub move_delay: Duration,
    /// Replicas that may be moving at once.
    pub max_concurrent_moves: usize,
    /// How long a drain usually takes. The planner counts on a draining replica's hosts
    /// for this time.
    pub expected_drain_time: Duration,
    /// A draining replica is released after this time, finished or not.
    pub drain_timeout: Duration,
    /// The greatest age of the load figures in a host's report.
    pub max_load_age: Duration,
    /// How long a load usually takes. Used to decide whether to replace a slow host.
    pub expected_load_time: Duration,
    /// The time within which replacing a slow host must make up for the load it costs.
    pub slow_host_payback_time: Duration,
    /// A longer gap between two ticks means that this process was frozen.
    pub pause_threshold: Duration,
    /// How long reports are ignored after a freeze: they may have waited in a queue.
    pub ignore_reports_after_pause: Duration,
    /// Time between two plans.
    pub plan_interval: Duration,
    /// A host in no replica is forgotten after this time without a report.
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

    /// How long after its last grant a route may still be valid at any entry node, by this
    /// process's clock.
    pub fn max_route_lifetime(&self) -> Duration {
        self.report_validity.max(self.hold_limit) * (100 + self.max_drift_percent) / 100
    }

    /// How long a new tenure issues no orders: until the predecessor's routes have expired
    /// and none of its orders can still arrive.
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
