//! A fake engine of either kind.

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
    /// Silent and stopped until then: crashed, or paused.
    pub dark_until: Time,
    /// Runs on, but its reports and orders are lost until then.
    pub cut_until: Time,
    pub load_time: Duration,
    /// When it was last ready in each replica.
    pub ready_in: BTreeMap<ReplicaId, Time>,
    ready_at: Time,
    next_report: Time,
}

impl Engine {
    pub fn open(host: HostId, domain: DomainId, fencing: Fencing) -> Self {
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
            dark_until: Time::ZERO,
            cut_until: Time::ZERO,
            load_time: Duration::from_secs(5),
            ready_in: BTreeMap::new(),
            ready_at: Time::ZERO,
            next_report: Time::from_millis(u64::from(host.0) * 37 % 1_000),
        }
    }

    /// Starts again, and has forgotten its assignment.
    pub fn restart(&mut self, back_at: Time) {
        self.dark_until = back_at;
        self.report.incarnation.0 += 1;
        self.report.sequence = 0;
        self.report.duty = Duty::Idle;
        self.report.fence = Fence(0);
        self.report.leaving = false;
    }

    pub fn step(&mut self, now: Time) -> Option<HostReport> {
        if now < self.dark_until {
            return None;
        }
        if let Duty::Loading(assignment) = &self.report.duty
            && self.ready_at <= now
        {
            self.report.duty = Duty::Ready(assignment.clone());
        }
        if let Duty::Ready(assignment) = &self.report.duty {
            self.ready_in.insert(assignment.replica, now);
        }
        if now < self.next_report || now < self.cut_until {
            return None;
        }
        self.next_report = now + Duration::from_secs(1);
        self.report.sequence += 1;
        Some(self.report.clone())
    }

    pub fn take(&mut self, order: &Order, now: Time) -> Option<OrderOutcome> {
        if now < self.dark_until || now < self.cut_until {
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

    /// Whose answer a request gets, if the engine's group is complete.
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
