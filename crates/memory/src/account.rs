//! The account of what all connections of a process hold.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ConnectionId;
use crate::Figures;
use crate::Holding;
use crate::Machine;
use crate::connection::Arrival;
use crate::connection::Connection;
use crate::machine::is_small;
use base::ByteSize;
use base::Time;

/// Counts what connections hold, and decides who yields when there is too little.
#[derive(Debug, Default)]
pub struct MemoryAccount {
    machine: Machine,
    held: u64,
    /// The part of it that requests hold.
    held_requests: u64,
    connections: BTreeMap<ConnectionId, Connection>,
    last_id: u64,
    figures: Figures,
}

/// Whether a connection may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opened {
    /// It may, under this id.
    Open(ConnectionId),
    /// It may, and another one is to be closed for it.
    InPlaceOf(ConnectionId, ConnectionId),
    /// It may not.
    Full,
}

/// Whether a holding may grow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// It may, and has grown.
    Granted,
    /// It may once these connections are closed, and those that were to be closed before.
    After(Vec<ConnectionId>),
    /// It may not.
    Refused,
}

impl MemoryAccount {
    /// Creates the account of a process on this machine.
    pub fn new(machine: Machine) -> Self {
        Self {
            machine,
            ..Self::default()
        }
    }

    /// The machine.
    pub fn machine(&self) -> Machine {
        self.machine
    }

    /// What is held, and who was refused.
    pub fn figures(&self) -> Figures {
        Figures {
            held: ByteSize(self.held),
            connections: self.connections.len(),
            ..self.figures
        }
    }

    /// Opens a connection at a listener that has `own` ones and may have `max`. If it has as many
    /// as it may, the one is closed that has waited longest for a request, or else the one that
    /// has stalled longest.
    pub fn open(&mut self, own: &BTreeSet<ConnectionId>, max: usize, now: Time) -> Opened {
        let is_staying = |id: &&ConnectionId| {
            let connection = self.connections.get(id);
            connection.is_some_and(|connection| !connection.is_given_up)
        };
        if own.len() < max || own.iter().filter(is_staying).count() < max {
            return Opened::Open(self.add(now));
        }
        let Some(longest) = self.idlest(own).or_else(|| self.most_stalled(own, now)) else {
            self.figures.turned_away += 1;
            return Opened::Full;
        };
        self.figures.displaced += 1;
        self.give_up(longest);
        Opened::InPlaceOf(self.add(now), longest)
    }

    fn add(&mut self, now: Time) -> ConnectionId {
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.connections.insert(id, Connection::open(now));
        id
    }

    fn give_up(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_given_up = true;
        }
    }

    /// The connection of `own` that has waited longest for a request.
    fn idlest(&self, own: &BTreeSet<ConnectionId>) -> Option<ConnectionId> {
        let idle = own.iter().filter_map(|id| {
            let connection = self.connections.get(id).filter(|c| !c.is_given_up)?;
            // The end of an answer may still have to be taken.
            let is_written = connection.unwritten_since.is_none();
            Some((connection.idle_since.filter(|_| is_written)?, *id))
        });
        idle.min().map(|(_, id)| id)
    }

    fn most_stalled(&self, own: &BTreeSet<ConnectionId>, now: Time) -> Option<ConnectionId> {
        let stalled = own.iter().filter_map(|id| {
            let connection = self.connections.get(id).filter(|c| !c.is_given_up)?;
            Some((connection.stalled_since(now)?, *id))
        });
        stalled.min().map(|(_, id)| id)
    }

    /// Records that a connection has ended. What was held for it has been released before, or is
    /// released later.
    pub fn close(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Records that a request began.
    pub fn begin_request(&mut self, id: ConnectionId) {
        self.update(id, |connection| connection.idle_since = None);
    }

    /// Records that a request was answered.
    pub fn end_request(&mut self, id: ConnectionId, now: Time) {
        self.update(id, |connection| {
            connection.idle_since = Some(now);
            connection.arrival = None;
        });
    }

    /// Records that the body of a request is being read.
    pub fn begin_arrival(&mut self, id: ConnectionId, now: Time) {
        self.update(id, |connection| {
            connection.arrival = Some(Arrival::begin(now));
        });
    }

    /// Records that bytes of a body came.
    pub fn record_arrival(&mut self, id: ConnectionId, bytes: usize, now: Time) {
        self.update(id, |connection| {
            if let Some(arrival) = &mut connection.arrival {
                arrival.record(bytes, now);
            }
        });
    }

    /// Whether the body of a request arrives on a connection.
    pub fn has_arrival(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|connection| connection.arrival.is_some())
    }

    /// Records that a body is read no more.
    pub fn end_arrival(&mut self, id: ConnectionId) {
        self.update(id, |connection| connection.arrival = None);
    }

    /// Records that the peer does not take what is to be written.
    pub fn record_unwritten(&mut self, id: ConnectionId, now: Time) {
        self.update(id, |connection| {
            connection.unwritten_since.get_or_insert(now);
        });
    }

    /// Records that the peer took something.
    pub fn record_written(&mut self, id: ConnectionId) {
        self.update(id, |connection| connection.unwritten_since = None);
    }

    /// Connections whose peer has not taken all of what was to be written.
    pub fn count_unwritten(&self) -> usize {
        let connections = self.connections.values();
        connections.filter(|c| c.unwritten_since.is_some()).count()
    }

    fn update(&mut self, id: ConnectionId, change: impl FnOnce(&mut Connection)) {
        if let Some(connection) = self.connections.get_mut(&id) {
            change(connection);
        }
    }

    /// Has a holding grow from `from` to `to` bytes. `owner` is the connection that it is held
    /// for, if it is held for one.
    pub fn grow(
        &mut self,
        owner: Option<ConnectionId>,
        holding: Holding,
        from: u64,
        to: u64,
        now: Time,
    ) -> Growth {
        let more = to.saturating_sub(from);
        let room = self.room_for(holding, to, more);
        let missing = (self.held + more).saturating_sub(room);
        if missing == 0 {
            self.held += more;
            if holding == Holding::Request {
                self.held_requests += more;
            }
            self.change_held(owner, |held| held + more);
            return Growth::Granted;
        }
        let missing = missing.saturating_sub(self.bytes_to_be_released());
        let yielding = self.yielding_to(owner, holding, missing, now);
        match yielding {
            Some(ids) => {
                self.figures.given_up += ids.len() as u64;
                ids.iter().for_each(|id| self.give_up(*id));
                Growth::After(ids)
            }
            None => Growth::Refused,
        }
    }

    /// What may be held by all together if one holding grows by `more` to `to` bytes. Large answers
    /// leave small requests their part.
    fn room_for(&self, holding: Holding, to: u64, more: u64) -> u64 {
        let room = self.machine.room_for(holding, to);
        let requests = self.held_requests + more;
        let are_few = requests <= self.machine.room_beside_answers();
        match holding {
            Holding::Request if is_small(to) && are_few => self.machine.room_with_few_requests(),
            Holding::Request | Holding::Answer => room,
        }
    }

    /// Counts a refusal.
    pub fn record_refusal(&mut self, holding: Holding) {
        match holding {
            Holding::Request => self.figures.refused_requests += 1,
            Holding::Answer => self.figures.refused_answers += 1,
        }
    }

    /// Releases what a holding had.
    pub fn release(&mut self, owner: Option<ConnectionId>, holding: Holding, bytes: u64) {
        debug_assert!(bytes <= self.held, "more was released than was held");
        self.held = self.held.saturating_sub(bytes);
        if holding == Holding::Request {
            self.held_requests = self.held_requests.saturating_sub(bytes);
        }
        self.change_held(owner, |held| held.saturating_sub(bytes));
    }

    fn change_held(&mut self, owner: Option<ConnectionId>, change: impl FnOnce(u64) -> u64) {
        if let Some(owner) = owner {
            self.update(owner, |connection| {
                connection.held = change(connection.held);
            });
        }
    }

    /// What connections hold that are to be closed.
    fn bytes_to_be_released(&self) -> u64 {
        let given_up = self.connections.values().filter(|c| c.is_given_up);
        given_up.map(|connection| connection.held).sum()
    }

    /// The connections that yield so that `missing` bytes become free. None if they hold less.
    fn yielding_to(
        &self,
        owner: Option<ConnectionId>,
        holding: Holding,
        missing: u64,
        now: Time,
    ) -> Option<Vec<ConnectionId>> {
        let mut yielding = Vec::new();
        let mut released = 0;
        for (id, held) in self.candidates(owner, holding, now) {
            if missing <= released {
                break;
            }
            yielding.push(id);
            released += held;
        }
        (missing <= released).then_some(yielding)
    }

    /// Connections that may have to yield, the first ones first, and what they hold.
    fn candidates(
        &self,
        owner: Option<ConnectionId>,
        holding: Holding,
        now: Time,
    ) -> Vec<(ConnectionId, u64)> {
        let others = self.connections.iter().filter(|(id, connection)| {
            Some(**id) != owner && !connection.is_given_up && 0 < connection.held
        });
        let (mut stalled, mut later) = (Vec::new(), Vec::new());
        for (id, connection) in others {
            let is_later = holding == Holding::Answer || owner < Some(*id);
            if connection.stalled_since(now).is_some() {
                stalled.push((*id, connection.held));
            } else if is_later && connection.has_large_arrival() {
                later.push((*id, connection.held));
            }
        }
        stalled.sort_by_key(|(_, held)| std::cmp::Reverse(*held));
        later.reverse();
        stalled.extend(later);
        stalled
    }
}
