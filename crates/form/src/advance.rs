//! Brings replicas from phase to phase by what their hosts report.

use crate::Controller;
use crate::Order;
use crate::OrderId;
use crate::Outcome;
use crate::controller::Outstanding;
use crate::host::Host;
use crate::order::Action;
use crate::replica::Phase;
use crate::replica::Replica;
use base::Fence;
use base::Incarnation;
use base::Time;
use base::UpstreamId;
use fleet::PlaceState;

/// What a replica needs next.
enum Step {
    /// Nothing yet.
    Wait,
    /// Go into another phase.
    Enter(Phase),
    /// Give its first host an order.
    Order(Action),
}

impl Controller {
    /// Looks at every replica, and gives the orders that are due.
    pub(crate) fn advance(&mut self, now: Time) -> Vec<Order> {
        self.restart_waits(now);
        let epochs: Vec<Fence> = self.replicas.keys().copied().collect();
        let orders = epochs.into_iter().filter_map(|epoch| self.next(epoch, now));
        orders.collect()
    }

    /// Takes what an order to a replica's host came to.
    pub(crate) fn effect(&mut self, order: &Outstanding, outcome: Outcome, now: Time) {
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
                replica.enter(Phase::Closing(now), now);
            }
            (Action::Leave { .. }, Outcome::Begun | Outcome::Done, Phase::Closing(_))
                if replica
                    .head
                    .as_ref()
                    .is_some_and(|(id, _)| *id == order.host) =>
            {
                replica.enter(Phase::Ended, now);
            }
            _ => {}
        }
    }

    /// Replicas whose first host cannot be reached from here: others may be able to tell
    /// it to leave.
    pub fn unreachable_heads(&self) -> Vec<Order> {
        let closing = self.replicas.values().filter(|replica| {
            let head = replica.head.as_ref().and_then(|(id, _)| self.hosts.get(id));
            let lost = head.is_some_and(|host| host.lost.is_some());
            matches!(replica.phase, Phase::Closing(_)) && lost
        });
        let leave = |replica: &Replica| {
            let (id, life) = replica.head.clone()?;
            let addr = self.hosts.get(&id)?.said.addr;
            Some(Order {
                id: OrderId(0),
                host: id,
                incarnation: life,
                addr,
                action: Action::Leave {
                    replica: replica.name.clone(),
                    epoch: replica.epoch,
                },
                begun_orders: None,
            })
        };
        closing.filter_map(leave).collect()
    }

    /// Takes that the first host of a replica has left it, as somebody else saw.
    pub fn record_head_left(&mut self, epoch: Fence, now: Time) {
        let replica = self.replicas.get_mut(&epoch);
        if let Some(replica) = replica.filter(|r| matches!(r.phase, Phase::Closing(_))) {
            replica.enter(Phase::Ended, now);
        }
    }

    fn next(&mut self, epoch: Fence, now: Time) -> Option<Order> {
        let replica = self.replicas.get(&epoch)?;
        match self.step(replica, now) {
            Step::Wait => None,
            Step::Enter(phase) => {
                self.replicas.get_mut(&epoch)?.enter(phase, now);
                // A replica that has to be closed or opened is not left until the next tick.
                self.next(epoch, now)
            }
            Step::Order(action) => {
                let (head, _) = replica.head.clone()?;
                let order = self.order(&head, action, now)?;
                let replica = self.replicas.get_mut(&epoch)?;
                replica.ordered = now;
                Some(order)
            }
        }
    }

    fn step(&self, replica: &Replica, now: Time) -> Step {
        match replica.phase {
            Phase::Joining => self.join_step(replica, now),
            Phase::Opening => self.open_step(replica, now),
            Phase::Serving => match self.closing(replica, now) {
                Some(phase) => Step::Enter(phase),
                None => Step::Wait,
            },
            Phase::Closing(not_before) => self.close_step(replica, not_before, now),
            Phase::Ended | Phase::GivenUp => match self.is_back(replica) {
                true => Step::Enter(Phase::Closing(now)),
                false => Step::Wait,
            },
        }
    }

    fn join_step(&self, replica: &Replica, now: Time) -> Step {
        if let Some(phase) = self.closing(replica, now) {
            return Step::Enter(phase);
        }
        let ready = |(id, _): &(UpstreamId, Incarnation)| {
            let state = self.state_in(replica, id);
            matches!(state, Some(PlaceState::Ready | PlaceState::Open))
        };
        if replica.hosts().all(ready) {
            return Step::Enter(Phase::Opening);
        }
        let limit = self.join_limit(replica);
        let shown = |(id, _): &(UpstreamId, Incarnation)| self.state_in(replica, id).is_some();
        let is_late = replica.since + limit < now;
        let is_unheeded =
            replica.since + self.cfg.effect_timeout < now && !replica.hosts().all(shown);
        match is_late || is_unheeded {
            true => Step::Enter(Phase::Closing(now)),
            false => Step::Wait,
        }
    }

    fn open_step(&self, replica: &Replica, now: Time) -> Step {
        if let Some(phase) = self.closing(replica, now) {
            return Step::Enter(phase);
        }
        let head = replica.head.as_ref();
        let state = head.and_then(|(id, _)| self.state_in(replica, id));
        if state == Some(PlaceState::Open) {
            return Step::Enter(Phase::Serving);
        }
        if replica.since + 3 * self.cfg.effect_timeout < now {
            return Step::Enter(Phase::Closing(now));
        }
        if now < replica.ordered + self.cfg.effect_timeout {
            return Step::Wait;
        }
        Step::Order(Action::Open {
            replica: replica.name.clone(),
            epoch: replica.epoch,
        })
    }

    fn close_step(&self, replica: &Replica, not_before: Time, now: Time) -> Step {
        let gives_up = replica.since + self.cfg.lost_head_wait <= now;
        let Some((id, life)) = &replica.head else {
            return match gives_up {
                true => Step::Enter(Phase::GivenUp),
                false => Step::Wait,
            };
        };
        let host = self.hosts.get(id);
        let has_left = host.is_some_and(|host| self.has_left(replica, host, *life));
        if has_left {
            return Step::Enter(Phase::Ended);
        }
        let lost = host.is_none_or(|host| host.lost.is_some());
        if lost && gives_up {
            return Step::Enter(Phase::GivenUp);
        }
        if lost || now < not_before || now < replica.ordered + self.cfg.retry_interval {
            return Step::Wait;
        }
        Step::Order(Action::Leave {
            replica: replica.name.clone(),
            epoch: replica.epoch,
        })
    }

    /// Whether a first host is heard to serve though its replica has ended, or claims its part
    /// though it was given up.
    fn is_back(&self, replica: &Replica) -> bool {
        let Some((id, life)) = &replica.head else {
            return false;
        };
        let host = self
            .hosts
            .get(id)
            .filter(|host| host.said.incarnation == *life && host.lost.is_none());
        let Some(host) = host else {
            return false;
        };
        let place = host.place();
        let Some(place) = place.filter(|place| place.epoch == replica.epoch) else {
            return false;
        };
        // What was heard right after it left may have been said before.
        let is_fresh = replica.since + self.cfg.retry_interval < host.heard;
        is_fresh && (place.state.may_serve() || replica.phase == Phase::GivenUp)
    }

    /// Begins the wait for a lost first host anew while no other host of its replica is
    /// heard either: what is cut off as a whole may go on serving there.
    fn restart_waits(&mut self, now: Time) {
        let hosts = &self.hosts;
        let silent = self.cfg.silence_limit / 2;
        for replica in self.replicas.values_mut() {
            let heard = replica.others.iter().any(|(id, life)| {
                let host = hosts.get(id).filter(|host| host.said.incarnation == *life);
                host.is_some_and(|host| host.lost.is_none() && now.since(host.heard) < silent)
            });
            let head = replica.head.as_ref();
            let head =
                head.and_then(|(id, life)| hosts.get(id).filter(|h| h.said.incarnation == *life));
            let lost = head.is_none_or(|host| host.lost.is_some());
            if matches!(replica.phase, Phase::Closing(_)) && lost && !heard {
                replica.since = now;
            }
        }
    }

    /// Whether a first host that is heard does not belong to the replica any more.
    fn has_left(&self, replica: &Replica, host: &Host, life: Incarnation) -> bool {
        if host.said.incarnation != life {
            return true;
        }
        let reports = host
            .place()
            .is_some_and(|place| place.epoch == replica.epoch);
        // A join that is under way may not be reported yet.
        let settled = replica.since + self.cfg.effect_timeout < host.heard;
        !reports && settled
    }

    /// How a replica is to be closed, if it is.
    fn closing(&self, replica: &Replica, now: Time) -> Option<Phase> {
        let mut leaving = false;
        for (rank, (id, life)) in replica.hosts().enumerate() {
            let Some(host) = self
                .hosts
                .get(id)
                .filter(|host| host.said.incarnation == *life)
            else {
                return Some(Phase::Closing(now));
            };
            if host.lost.is_some() || self.has_moved(replica, host, rank) {
                return Some(Phase::Closing(now));
            }
            leaving |= host.said.leaving;
        }
        let drained = match replica.phase {
            Phase::Serving => now + self.cfg.drain_time,
            _ => now,
        };
        leaving.then_some(Phase::Closing(drained))
    }

    /// Whether a host reports something that does not fit the replica.
    fn has_moved(&self, replica: &Replica, host: &Host, rank: usize) -> bool {
        let state = host.place().filter(|place| place.epoch == replica.epoch);
        match (replica.phase, state.map(|place| place.state)) {
            (_, Some(PlaceState::Broken)) => true,
            (Phase::Joining, _) => false,
            (_, None) => true,
            (Phase::Serving, Some(state)) => rank == 0 && state != PlaceState::Open,
            _ => false,
        }
    }

    /// What a host reports of its part in a replica.
    fn state_in(&self, replica: &Replica, id: &UpstreamId) -> Option<PlaceState> {
        let place = self.hosts.get(id)?.place()?;
        (place.epoch == replica.epoch).then_some(place.state)
    }

    /// How long the hosts of a replica may take to become ready.
    fn join_limit(&self, replica: &Replica) -> std::time::Duration {
        let engine = self.engines.get(&replica.service);
        let model = engine.and_then(|engine| engine.model(&replica.model));
        let load = model.map(|model| model.load_time + model.join_time);
        2 * load.unwrap_or_default() + 2 * self.cfg.effect_timeout
    }
}
