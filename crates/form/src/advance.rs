//! Moves replicas from phase to phase according to what their hosts report.

use std::time::Duration;

use crate::Controller;
use crate::Order;
use crate::Outcome;
use crate::controller::OutstandingOrder;
use crate::host::Host;
use crate::order::Action;
use crate::replica::Phase;
use crate::replica::Replica;
use base::Fence;
use base::Incarnation;
use base::Time;
use base::UpstreamId;
use fleet::PlaceState;

/// How long a replica drains at least: until all entry hosts know that it takes no new
/// requests, and have reported those that it still runs.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(700);

/// What a replica needs next.
enum NextStep {
    /// Nothing yet.
    Wait,
    Enter(Phase),
    /// Send an order to the head host.
    Order(Action),
}

impl Controller {
    /// Advances every replica and returns the orders that are due.
    pub(crate) fn advance(&mut self, now: Time) -> Vec<Order> {
        let epochs: Vec<Fence> = self.replicas.keys().copied().collect();
        let orders = epochs
            .into_iter()
            .filter_map(|epoch| self.advance_replica(epoch, now));
        let mut orders: Vec<Order> = orders.collect();
        orders.extend(self.release_waiting_hosts(now));
        orders
    }

    /// Applies the outcome of an order to the replica that the order is about.
    pub(crate) fn apply_outcome(&mut self, order: &OutstandingOrder, outcome: Outcome, now: Time) {
        let (Action::Join { epoch, .. } | Action::Open { epoch, .. } | Action::Leave { epoch, .. }) =
            &order.action
        else {
            return;
        };
        let Some(replica) = self.replicas.get_mut(epoch) else {
            return;
        };
        match (&order.action, outcome, replica.phase) {
            (Action::Join { .. }, Outcome::Refused | Outcome::NotSent, Phase::Joining) => {
                replica.enter_phase(Phase::Closing(now), now);
            }
            (Action::Leave { .. }, Outcome::Begun | Outcome::Done, phase) => {
                let host = (order.host.clone(), order.incarnation);
                if replica.other_hosts.contains(&host) {
                    replica.record_left(&order.host, now);
                } else if replica.head == Some(host) && matches!(phase, Phase::Closing(_)) {
                    replica.enter_phase(Phase::Ended, now);
                }
            }
            _ => {}
        }
    }

    fn advance_replica(&mut self, epoch: Fence, now: Time) -> Option<Order> {
        let replica = self.replicas.get(&epoch)?;
        match self.next_step(replica, now) {
            NextStep::Wait => None,
            NextStep::Enter(phase) => {
                if phase == Phase::GivenUp {
                    self.record_given_up(epoch, now);
                }
                self.replicas.get_mut(&epoch)?.enter_phase(phase, now);
                // Sends the leave or open order of the new phase in this tick, not the next.
                self.advance_replica(epoch, now)
            }
            NextStep::Order(action) => {
                let (head, _) = replica.head.clone()?;
                let order = self.issue_order(&head, action, now)?;
                let replica = self.replicas.get_mut(&epoch)?;
                if replica.phase == Phase::Opening && replica.last_order_at == Time::ZERO {
                    // The time that it waited for its record doesn't count.
                    replica.phase_since = now;
                }
                replica.last_order_at = now;
                Some(order)
            }
        }
    }

    fn next_step(&self, replica: &Replica, now: Time) -> NextStep {
        match replica.phase {
            Phase::Joining => self.join_step(replica, now),
            Phase::Opening => self.open_step(replica, now),
            Phase::Serving => match self.closing_phase(replica, now) {
                Some(phase) => NextStep::Enter(phase),
                None => NextStep::Wait,
            },
            Phase::Draining(until) => match self.closing_phase(replica, now) {
                Some(phase) => NextStep::Enter(phase),
                None if until <= now || self.has_drained(replica, now) => {
                    NextStep::Enter(Phase::Closing(now))
                }
                None => NextStep::Wait,
            },
            Phase::Closing(not_before) => self.close_step(replica, not_before, now),
            Phase::Ended | Phase::GivenUp => match self.has_head_returned(replica) {
                true => NextStep::Enter(Phase::Closing(now)),
                false => NextStep::Wait,
            },
        }
    }

    /// Whether a draining replica has finished its requests, as far as entry hosts report.
    fn has_drained(&self, replica: &Replica, now: Time) -> bool {
        let head = replica.head.as_ref().map(|(id, _)| id);
        let is_busy = head.is_some_and(|head| self.busy_heads.contains(head));
        !is_busy && replica.phase_since + MIN_DRAIN_TIME <= now
    }

    fn join_step(&self, replica: &Replica, now: Time) -> NextStep {
        if let Some(phase) = self.closing_phase(replica, now) {
            return NextStep::Enter(phase);
        }
        let ready = |(id, _): &(UpstreamId, Incarnation)| {
            let state = self.reported_state(replica, id);
            matches!(state, Some(PlaceState::Ready | PlaceState::Open))
        };
        if replica.hosts().all(ready) {
            return NextStep::Enter(Phase::Opening);
        }
        let limit = self.join_limit(replica);
        let has_reported =
            |(id, _): &(UpstreamId, Incarnation)| self.reported_state(replica, id).is_some();
        let is_late = replica.phase_since + limit < now;
        let is_unreported = replica.phase_since + self.cfg.effect_timeout < now
            && !replica.hosts().all(has_reported);
        match is_late || is_unreported {
            true => NextStep::Enter(Phase::Closing(now)),
            false => NextStep::Wait,
        }
    }

    fn open_step(&self, replica: &Replica, now: Time) -> NextStep {
        if let Some(phase) = self.closing_phase(replica, now) {
            return NextStep::Enter(phase);
        }
        let head = replica.head.as_ref();
        let state = head.and_then(|(id, _)| self.reported_state(replica, id));
        if state == Some(PlaceState::Open) {
            return NextStep::Enter(Phase::Serving);
        }
        let was_ordered = replica.last_order_at != Time::ZERO;
        if was_ordered && replica.phase_since + 3 * self.cfg.effect_timeout < now {
            return NextStep::Enter(Phase::Closing(now));
        }
        let is_ordered = now < replica.last_order_at + self.cfg.effect_timeout;
        if is_ordered || !self.is_recorded(replica.epoch) {
            return NextStep::Wait;
        }
        NextStep::Order(Action::Open {
            replica: replica.name.clone(),
            epoch: replica.epoch,
        })
    }

    fn close_step(&self, replica: &Replica, not_before: Time, now: Time) -> NextStep {
        let head = replica.head.as_ref();
        let host = head.and_then(|(id, incarnation)| Some((self.hosts.get(id)?, *incarnation)));
        let has_left = host
            .is_some_and(|(host, incarnation)| host.has_gone_on_from(replica.epoch, incarnation));
        if has_left {
            return NextStep::Enter(Phase::Ended);
        }
        let is_lost = host.is_none_or(|(host, _)| host.lost_since.is_some());
        if is_lost && self.is_broken(replica, now) {
            return NextStep::Enter(Phase::GivenUp);
        }
        if is_lost || now < not_before || now < replica.last_order_at + self.cfg.retry_interval {
            return NextStep::Wait;
        }
        NextStep::Order(Action::Leave {
            replica: replica.name.clone(),
            epoch: replica.epoch,
        })
    }

    /// Whether the head host of an ended replica reports that it serves, or the head host of
    /// a replica that was given up is heard again.
    fn has_head_returned(&self, replica: &Replica) -> bool {
        let Some((id, incarnation)) = &replica.head else {
            return false;
        };
        let host = self.hosts.get(id).filter(|host| {
            host.announcement.incarnation == *incarnation && host.lost_since.is_none()
        });
        let Some(host) = host else {
            return false;
        };
        // An announcement heard right after the host left may have been sent before.
        let is_fresh = replica.phase_since + self.cfg.retry_interval < host.heard_at;
        let place = host.place().filter(|place| place.epoch == replica.epoch);
        let serves = place.is_some_and(|place| place.state.may_serve());
        is_fresh && (serves || replica.phase == Phase::GivenUp)
    }

    /// The closing phase that a replica has to enter, if its hosts require one.
    fn closing_phase(&self, replica: &Replica, now: Time) -> Option<Phase> {
        let mut leaving = false;
        for (rank, (id, incarnation)) in replica.hosts().enumerate() {
            let Some(host) = self
                .hosts
                .get(id)
                .filter(|host| host.announcement.incarnation == *incarnation)
            else {
                return Some(Phase::Closing(now));
            };
            if host.lost_since.is_some() || self.contradicts_replica(replica, host, rank) {
                return Some(Phase::Closing(now));
            }
            leaving |= host.announcement.leaving;
        }
        let not_before = match replica.phase {
            Phase::Serving | Phase::Draining(_) => now + self.cfg.drain_time,
            _ => now,
        };
        leaving.then_some(Phase::Closing(not_before))
    }

    /// Whether a host's report contradicts the replica's phase.
    fn contradicts_replica(&self, replica: &Replica, host: &Host, rank: usize) -> bool {
        let place = host.place().filter(|place| place.epoch == replica.epoch);
        match (replica.phase, place.map(|place| place.state)) {
            (_, Some(PlaceState::Broken)) => true,
            (Phase::Joining, _) => false,
            (_, None) => true,
            (Phase::Serving | Phase::Draining(_), Some(state)) => {
                rank == 0 && state != PlaceState::Open
            }
            _ => false,
        }
    }

    fn reported_state(&self, replica: &Replica, id: &UpstreamId) -> Option<PlaceState> {
        let place = self.hosts.get(id)?.place()?;
        (place.epoch == replica.epoch).then_some(place.state)
    }

    /// The longest time that the hosts of a replica may take to become ready.
    fn join_limit(&self, replica: &Replica) -> Duration {
        let engine = self.engines.get(&replica.service);
        let model = engine.and_then(|engine| engine.model(&replica.model));
        let load_and_join = model.map(|model| model.load_time + model.join_time);
        2 * load_and_join.unwrap_or_default() + 2 * self.cfg.effect_timeout
    }
}
