//! A fake engine that checks fencing numbers or ignores them.

use std::collections::BTreeMap;
use std::time::Duration;

use base::Assignment;
use base::CentreId;
use base::DomainId;
use base::Duty;
use base::Fence;
use base::Fencing;
use base::HostId;
use base::HostReport;
use base::Incarnation;
use base::Load;
use base::ReplicaId;
use base::Time;
use plan::Action;
use plan::Order;
use plan::OrderOutcome;
use plan::Route;

#[derive(Clone)]
pub struct Engine {
    pub report: HostReport,
    /// Until then, the engine is crashed or paused and does nothing.
    pub down_until: Time,
    /// Until then, the engine runs but its reports and orders are lost.
    pub unreachable_until: Time,
    pub load_time: Duration,
    /// When the engine was last ready in each replica.
    pub last_ready_at: BTreeMap<ReplicaId, Time>,
    ready_at: Time,
    next_report: Time,
}

impl Engine {
    pub fn new(host: HostId, domain: DomainId, fencing: Fencing) -> Self {
        let report = HostReport {
            host,
            incarnation: Incarnation(1),
            sequence: 0,
            centre: CentreId(1),
            domain,
            addr: "127.0.0.1:1".parse().unwrap(),
            fencing,
            fence: Fence(0),
            duty: Duty::Idle,
            load: Load::default(),
            leaving: false,
        };
        Self {
            report,
            down_until: Time::ZERO,
            unreachable_until: Time::ZERO,
            load_time: Duration::from_secs(5),
            last_ready_at: BTreeMap::new(),
            ready_at: Time::ZERO,
            next_report: Time::from_millis(u64::from(host.0) * 37 % 1_000),
        }
    }

    /// Restarts the engine without its assignment.
    pub fn restart(&mut self, up_at: Time) {
        self.down_until = up_at;
        self.report.incarnation.0 += 1;
        self.report.sequence = 0;
        self.report.duty = Duty::Idle;
        self.report.fence = Fence(0);
        self.report.leaving = false;
    }

    pub fn step(&mut self, now: Time) -> Option<HostReport> {
        if now < self.down_until {
            return None;
        }
        if let Duty::Loading(assignment) = &self.report.duty
            && self.ready_at <= now
        {
            self.report.duty = Duty::Ready(assignment.clone());
        }
        if let Duty::Ready(assignment) = &self.report.duty {
            self.last_ready_at.insert(assignment.replica, now);
        }
        if now < self.next_report || now < self.unreachable_until {
            return None;
        }
        self.next_report = now + Duration::from_secs(1);
        self.report.sequence += 1;
        Some(self.report.clone())
    }

    pub fn receive_order(&mut self, order: &Order, now: Time) -> Option<OrderOutcome> {
        if now < self.down_until || now < self.unreachable_until {
            return None;
        }
        let is_old = order.fence < self.report.fence;
        if is_old && self.report.fencing == Fencing::Checked {
            return Some(OrderOutcome::Refused);
        }
        self.report.fence = self.report.fence.max(order.fence);
        self.report.duty = match &order.action {
            Action::Release => Duty::Idle,
            Action::Form { model, hosts } => Duty::Loading(Assignment {
                replica: order.replica,
                fence: order.fence,
                model: model.clone(),
                hosts: hosts.clone(),
            }),
        };
        self.ready_at = now + self.load_time;
        Some(OrderOutcome::Done)
    }

    /// The assignment that answers a request, if all its hosts are ready in it.
    pub fn answer(&self, request: &Route, engines: &BTreeMap<HostId, Self>) -> Option<Assignment> {
        let Duty::Ready(held) = &self.report.duty else {
            return None;
        };
        let is_named = (held.replica, held.fence) == (request.replica, request.fence);
        if !is_named && self.report.fencing == Fencing::Checked {
            return None;
        }
        let is_in = |id: &HostId| engines[id].report.duty == Duty::Ready(held.clone());
        held.hosts.iter().all(is_in).then(|| held.clone())
    }
}
