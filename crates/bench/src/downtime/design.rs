//! The design: the real controller with simulated hosts that load and fail.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::downtime::faults::END;
use crate::downtime::faults::HOSTS;
use crate::downtime::faults::LOAD_TIME;
use crate::downtime::faults::MAX_CONCURRENT_LOADS;
use crate::downtime::faults::Schedule;
use crate::downtime::faults::TIME_STEP;
use crate::downtime::faults::WARM_UP_END;
use crate::downtime::faults::WIDTHS;
use crate::downtime::faults::domain;
use crate::downtime::faults::model;
use crate::downtime::faults::target_replicas;
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

/// The time from the failure of a controller to the tenure of its successor: the lease ends, then
/// the successor bids for it.
const TAKEOVER_TIME: Duration = Duration::from_millis(7_500);

/// The simulated engine of a host.
#[derive(Clone, Debug)]
struct Engine {
    report: HostReport,
    is_up: bool,
    ready_at: Time,
}

/// One simulated data centre.
struct Centre {
    engines: Vec<Engine>,
    controller: Controller,
    tenure_from: Time,
    fence: Fence,
    routes: RouteTable,
    score: Score,
}

/// Simulates the design under the faults and returns its score.
pub fn run(schedule: &Schedule) -> Score {
    let mut centre = Centre::open(Duration::ZERO);
    let mut now = Time::ZERO;
    let mut step: u64 = 0;
    while now < END {
        centre.step(&schedule.up(now), step, now);
        now += TIME_STEP;
        step += 1;
    }
    centre.score
}

/// Simulates a controller that fails and its successor, which takes over after the lease of the
/// failed one has ended. Returns the score since the failure, and the time from the failure until
/// the successor gives orders.
pub fn takeover(hold_limit: Duration) -> (Score, Duration) {
    let mut centre = Centre::open(hold_limit);
    let up = vec![true; HOSTS];
    let mut now = Time::ZERO;
    let mut step: u64 = 0;
    while now < WARM_UP_END + Duration::from_secs(60) {
        if now == WARM_UP_END {
            centre.controller = controller(hold_limit, now);
            centre.tenure_from = now + TAKEOVER_TIME;
            centre.fence = centre.fence.next();
        }
        centre.step(&up, step, now);
        now += TIME_STEP;
        step += 1;
    }
    (
        centre.score,
        TAKEOVER_TIME + config(hold_limit).settle_time(),
    )
}

fn config(hold_limit: Duration) -> Config {
    Config {
        max_concurrent_loads: MAX_CONCURRENT_LOADS,
        expected_load_time: LOAD_TIME,
        hold_limit,
        ..Config::for_centre(CENTRE)
    }
}

fn controller(hold_limit: Duration, now: Time) -> Controller {
    let mut controller = Controller::new(config(hold_limit), now);
    controller.set_demand(demand());
    controller
}

/// The demand for all models. The guaranteed minimum is the whole target.
fn demand() -> BTreeMap<base::ModelName, Demand> {
    let demand_of = |index: usize| Demand {
        width: WIDTHS[index],
        min: target_replicas(index),
        max: target_replicas(index),
        wanted: target_replicas(index),
    };
    (0..WIDTHS.len())
        .map(|index| (model(index), demand_of(index)))
        .collect()
}

impl Centre {
    fn open(hold_limit: Duration) -> Self {
        Self {
            engines: (0..HOSTS).map(Engine::open).collect(),
            controller: controller(hold_limit, Time::ZERO),
            tenure_from: Time::ZERO,
            fence: Fence(1),
            routes: RouteTable::new(NodeId(1), Incarnation(1)),
            score: Score::default(),
        }
    }

    fn step(&mut self, up: &[bool], step: u64, now: Time) {
        let assignments_before: Vec<_> =
            self.engines.iter().map(Engine::assignment_if_up).collect();
        for (engine, up) in self.engines.iter_mut().zip(up) {
            engine.step(*up, now);
        }
        if WARM_UP_END <= now {
            self.count_broken(&assignments_before);
        }
        for (index, engine) in self.engines.iter_mut().enumerate() {
            if engine.is_up && (step + index as u64).is_multiple_of(2) {
                engine.report.sequence += 1;
                self.controller.receive_report(&engine.report, now);
                self.routes.receive_report(&engine.report, now);
            }
        }
        let tenure = Tenure {
            fence: self.fence,
            until: now + TIME_STEP * 4,
        };
        let tenure = Some(tenure).filter(|_| self.tenure_from <= now);
        for order in self.controller.tick(tenure, now) {
            self.execute_order(&order, now);
        }
        let poll = self.routes.next_poll(CENTRE, now);
        if let Some(grant) = self.controller.answer_poll(&poll, now) {
            self.routes.apply_grant(&grant);
        }
        if WARM_UP_END <= now {
            self.add_to_score(now);
        }
    }

    fn execute_order(&mut self, order: &Order, now: Time) {
        let engine = &mut self.engines[order.host.0 as usize];
        let outcome = engine.execute(order, now);
        if WARM_UP_END <= now
            && let Action::Form { hosts, .. } = &order.action
            && hosts.first() == Some(&order.host)
        {
            self.score.loads += 1;
        }
        self.controller.record_outcome(order.id, outcome, now);
    }

    /// Counts the groups that lost a host in this step.
    fn count_broken(&mut self, assignments_before: &[Option<Assignment>]) {
        let lost = assignments_before
            .iter()
            .zip(&self.engines)
            .filter(|(_, engine)| !engine.is_up);
        let mut groups: Vec<_> = lost.filter_map(|(group, _)| group.as_ref()).collect();
        groups.sort();
        groups.dedup();
        self.score.broken += groups.len();
    }

    fn add_to_score(&mut self, now: Time) {
        let mut serving = [0; WIDTHS.len()];
        let mut loading = [0; WIDTHS.len()];
        let mut busy = 0;
        for (index, width) in WIDTHS.into_iter().enumerate() {
            let name = model(index);
            let valid_routes = self.routes.valid_routes(&name, now);
            let is_serving = |hosts: &Vec<HostId>| {
                let mut engines = hosts.iter().map(|id| &self.engines[id.0 as usize]);
                engines.all(|e| e.is_up && matches!(e.report.duty, Duty::Ready(_)))
            };
            serving[index] = valid_routes
                .iter()
                .filter(|route| is_serving(&route.hosts))
                .count();
            serving[index] = serving[index].min(target_replicas(index));
            busy += width * serving[index];
        }
        for engine in self.engines.iter().filter(|engine| engine.is_up) {
            if let Duty::Loading(assignment) = &engine.report.duty {
                busy += 1;
                if assignment.hosts.first() == Some(&engine.report.host) {
                    let width = assignment.hosts.len();
                    let index = WIDTHS.iter().position(|known| *known == width);
                    loading[index.unwrap_or_default()] += 1;
                }
            }
        }
        let healthy = self.engines.iter().filter(|engine| engine.is_up).count();
        let idle = healthy.saturating_sub(busy);
        self.score
            .add_span(&serving, &loading, idle, TIME_STEP.as_secs_f64());
    }
}

impl Engine {
    fn open(index: usize) -> Self {
        let report = HostReport {
            host: HostId(index as u32),
            incarnation: Incarnation(1),
            sequence: 0,
            centre: CENTRE,
            domain: domain(index),
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

    fn assignment_if_up(&self) -> Option<Assignment> {
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

    fn execute(&mut self, order: &Order, now: Time) -> OrderOutcome {
        if !self.is_up {
            return OrderOutcome::Unknown;
        }
        self.ready_at = now + LOAD_TIME;
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
