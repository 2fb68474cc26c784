//! This design: the controller itself, on hosts that load and fail.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::downtime::faults::END;
use crate::downtime::faults::HOSTS;
use crate::downtime::faults::LOAD;
use crate::downtime::faults::LOADS_AT_ONCE;
use crate::downtime::faults::STEP;
use crate::downtime::faults::Schedule;
use crate::downtime::faults::WARM_UP;
use crate::downtime::faults::WIDTHS;
use crate::downtime::faults::domain;
use crate::downtime::faults::model;
use crate::downtime::faults::target;
use crate::downtime::score::Score;
use base::Assignment;
use base::CentreId;
use base::Duty;
use base::Fence;
use base::HostId;
use base::HostReport;
use base::Incarnation;
use base::NodeId;
use base::Time;
use plan::Action;
use plan::Config;
use plan::Controller;
use plan::Demand;
use plan::Order;
use plan::OrderOutcome;
use plan::RouteTable;
use plan::Tenure;

const CENTRE: CentreId = CentreId(1);

/// From a controller's death to its successor's tenure: the lease and a bid.
const LEASE_GAP: Duration = Duration::from_millis(7_500);

/// A host's engine.
#[derive(Clone, Debug)]
struct Engine {
    report: HostReport,
    is_up: bool,
    ready_at: Time,
}

struct Centre {
    engines: Vec<Engine>,
    controller: Controller,
    tenure_from: Time,
    fence: Fence,
    table: RouteTable,
    score: Score,
}

/// Scores the design under the schedule.
pub fn run(schedule: &Schedule) -> Score {
    let mut centre = Centre::open(Duration::ZERO);
    let mut now = Time::ZERO;
    let mut step: u64 = 0;
    while now < END {
        centre.step(&schedule.up(now), step, now);
        now += STEP;
        step += 1;
    }
    centre.score
}

/// A controller dies; another takes over after its lease has ended. Gives the score
/// from then on, and how long the successor waits before it orders.
pub fn takeover(hold: Duration) -> (Score, Duration) {
    let mut centre = Centre::open(hold);
    let up = vec![true; HOSTS];
    let mut now = Time::ZERO;
    let mut step: u64 = 0;
    while now < WARM_UP + Duration::from_secs(60) {
        if now == WARM_UP {
            centre.controller = controller(hold, now);
            centre.tenure_from = now + LEASE_GAP;
            centre.fence = centre.fence.next();
        }
        centre.step(&up, step, now);
        now += STEP;
        step += 1;
    }
    (centre.score, LEASE_GAP + config(hold).settle_time())
}

fn config(hold: Duration) -> Config {
    Config {
        max_concurrent_loads: LOADS_AT_ONCE,
        expected_load_time: LOAD,
        hold_limit: hold,
        ..Config::for_centre(CENTRE)
    }
}

fn controller(hold: Duration, now: Time) -> Controller {
    let mut controller = Controller::new(config(hold), now);
    controller.set_demand(demand());
    controller
}

/// The demand for all models: all of it promised.
fn demand() -> BTreeMap<base::ModelName, Demand> {
    let of = |at: usize| Demand {
        width: WIDTHS[at],
        min: target(at),
        max: target(at),
        wanted: target(at),
    };
    (0..WIDTHS.len()).map(|at| (model(at), of(at))).collect()
}

impl Centre {
    fn open(hold: Duration) -> Self {
        Self {
            engines: (0..HOSTS).map(Engine::open).collect(),
            controller: controller(hold, Time::ZERO),
            tenure_from: Time::ZERO,
            fence: Fence(1),
            table: RouteTable::new(NodeId(1), Incarnation(1)),
            score: Score::default(),
        }
    }

    fn step(&mut self, up: &[bool], step: u64, now: Time) {
        let before: Vec<_> = self.engines.iter().map(Engine::is_in_group).collect();
        for (engine, up) in self.engines.iter_mut().zip(up) {
            engine.step(*up, now);
        }
        if WARM_UP <= now {
            self.count_broken(&before);
        }
        for (at, engine) in self.engines.iter_mut().enumerate() {
            if engine.is_up && (step + at as u64).is_multiple_of(2) {
                engine.report.sequence += 1;
                self.controller.receive_report(&engine.report, now);
                self.table.receive_report(&engine.report, now);
            }
        }
        let tenure = Tenure {
            fence: self.fence,
            until: now + STEP * 4,
        };
        let tenure = Some(tenure).filter(|_| self.tenure_from <= now);
        for order in self.controller.tick(tenure, now) {
            self.carry_out(&order, now);
        }
        let poll = self.table.next_poll(CENTRE, now);
        if let Some(grant) = self.controller.answer_poll(&poll, now) {
            self.table.apply_grant(&grant);
        }
        if WARM_UP <= now {
            self.count(now);
        }
    }

    fn carry_out(&mut self, order: &Order, now: Time) {
        let engine = &mut self.engines[order.host.0 as usize];
        let outcome = engine.take(order, now);
        if WARM_UP <= now
            && let Action::Form { hosts, .. } = &order.action
            && hosts.first() == Some(&order.host)
        {
            self.score.loads += 1;
        }
        self.controller.record_outcome(order.id, outcome, now);
    }

    /// Counts the groups of which a host was lost in this step.
    fn count_broken(&mut self, before: &[Option<Assignment>]) {
        let lost = before
            .iter()
            .zip(&self.engines)
            .filter(|(_, engine)| !engine.is_up);
        let mut groups: Vec<_> = lost.filter_map(|(group, _)| group.as_ref()).collect();
        groups.sort();
        groups.dedup();
        self.score.broken += groups.len();
    }

    fn count(&mut self, now: Time) {
        let mut serving = [0; WIDTHS.len()];
        let mut loading = [0; WIDTHS.len()];
        let mut busy = 0;
        for (at, width) in WIDTHS.into_iter().enumerate() {
            let name = model(at);
            let routes = self.table.valid_routes(&name, now);
            let is_whole = |hosts: &Vec<HostId>| {
                let mut engines = hosts.iter().map(|id| &self.engines[id.0 as usize]);
                engines.all(|e| e.is_up && matches!(e.report.duty, Duty::Ready(_)))
            };
            serving[at] = routes.iter().filter(|route| is_whole(&route.hosts)).count();
            serving[at] = serving[at].min(target(at));
            busy += width * serving[at];
        }
        for engine in self.engines.iter().filter(|engine| engine.is_up) {
            if let Duty::Loading(assignment) = &engine.report.duty {
                busy += 1;
                if assignment.hosts.first() == Some(&engine.report.host) {
                    let width = assignment.hosts.len();
                    let at = WIDTHS.iter().position(|known| *known == width);
                    loading[at.unwrap_or_default()] += 1;
                }
            }
        }
        let healthy = self.engines.iter().filter(|engine| engine.is_up).count();
        let idle = healthy.saturating_sub(busy);
        self.score
            .count(&serving, &loading, idle, STEP.as_secs_f64());
    }
}

impl Engine {
    fn open(at: usize) -> Self {
        let report = HostReport {
            host: HostId(at as u32),
            incarnation: Incarnation(1),
            sequence: 0,
            centre: CENTRE,
            domain: domain(at),
            addr: ([127, 0, 0, 1], 1).into(),
            fencing: base::Fencing::Ignored,
            fence: Fence(0),
            duty: Duty::Idle,
            load: base::Load::default(),
            leaving: false,
        };
        Self {
            report,
            is_up: true,
            ready_at: Time::ZERO,
        }
    }

    fn is_in_group(&self) -> Option<Assignment> {
        self.report
            .duty
            .assignment()
            .filter(|_| self.is_up)
            .cloned()
    }

    fn step(&mut self, up: bool, now: Time) {
        if up && !self.is_up {
            self.report.incarnation = self.report.incarnation.next();
            self.report.sequence = 0;
            self.report.duty = Duty::Idle;
        }
        self.is_up = up;
        if let Duty::Loading(assignment) = &self.report.duty
            && self.ready_at <= now
        {
            self.report.duty = Duty::Ready(assignment.clone());
        }
    }

    fn take(&mut self, order: &Order, now: Time) -> OrderOutcome {
        if !self.is_up {
            return OrderOutcome::Unknown;
        }
        self.ready_at = now + LOAD;
        self.report.duty = match &order.action {
            Action::Release => Duty::Idle,
            Action::Form { model, hosts } => Duty::Loading(Assignment {
                replica: order.replica,
                fence: order.fence,
                model: model.clone(),
                hosts: hosts.clone(),
            }),
        };
        OrderOutcome::Done
    }
}
