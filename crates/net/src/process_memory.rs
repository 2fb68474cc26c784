//! The memory account of a process, as its connections use it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use send_wrapper::SendWrapper;

use crate::LastCall;
use base::Time;
use memory::ConnectionId;
use memory::Figures;
use memory::Growth;
use memory::Holding;
use memory::Machine;
use memory::MemoryAccount;
use memory::Opened;

/// Time between two looks at whether connections that were given up have ended.
const RELEASE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// How often that is looked at. They end as soon as their tasks run.
const MAX_RELEASE_CHECKS: usize = 20;

/// Time between two reports of shortages.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Other holdings take up the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("other requests and answers take up the memory")]
pub struct NoMemory;

/// The memory account of a process. Its clones are the same account.
#[derive(Clone, Debug)]
pub struct ProcessMemory(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    account: RefCell<MemoryAccount>,
    /// Tells connections that they are given up.
    given_up: RefCell<BTreeMap<ConnectionId, LastCall>>,
    started: Instant,
}

/// The ids of the connections of one listener.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnConnections(Rc<RefCell<BTreeSet<ConnectionId>>>);

/// A connection that is counted until this is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    account: ConnectionAccount,
    own: OwnConnections,
}

/// The part of one connection in the account of its process.
#[derive(Clone, Debug)]
pub struct ConnectionAccount(Rc<AccountPart>);

#[derive(Debug)]
struct AccountPart {
    memory: ProcessMemory,
    id: ConnectionId,
    given_up: LastCall,
}

/// Counts a request of a connection until it is answered and this is dropped.
#[derive(Debug)]
pub(crate) struct RequestInProgress(ConnectionAccount);

/// Counts the body of a request as arriving until this is dropped.
#[derive(Debug)]
pub(crate) struct BodyArrival(ConnectionAccount);

/// Bytes that are counted as held until this is dropped.
#[derive(Debug)]
pub struct Charge {
    memory: ProcessMemory,
    owner: Option<ConnectionId>,
    holding: Holding,
    bytes: u64,
}

/// Bytes with their charge.
struct ChargedBytes {
    bytes: Bytes,
    _charge: SendWrapper<Charge>,
}

impl Default for ProcessMemory {
    fn default() -> Self {
        Self::open(Machine::default())
    }
}

impl ProcessMemory {
    /// Opens the account of a process on this machine.
    pub fn open(machine: Machine) -> Self {
        Self(Rc::new(Shared {
            account: RefCell::new(MemoryAccount::new(machine)),
            given_up: RefCell::default(),
            started: Instant::now(),
        }))
    }

    /// The machine.
    pub fn machine(&self) -> Machine {
        self.0.account.borrow().machine()
    }

    /// Connections whose peers have not taken all of what was to be written.
    pub fn unwritten_connections(&self) -> usize {
        self.0.account.borrow().count_unwritten()
    }

    /// What is held, and who was refused.
    pub fn figures(&self) -> Figures {
        self.0.account.borrow().figures()
    }

    /// Calls `report` for as long as the process runs, at most once a second, with was counted since the last call, if anybody was refused or given up.
    pub async fn report_shortages(self, report: impl Fn(Figures)) {
        let mut reported = self.figures();
        loop {
            compio::time::sleep(REPORT_INTERVAL).await;
            let figures = self.figures();
            let since = figures.since(&reported);
            if since.show_shortage() {
                report(since);
                reported = figures;
            }
        }
    }

    /// A charge that grows by what is held for no connection of its own.
    pub fn charge(&self, holding: Holding) -> Charge {
        self.charge_to(None, holding)
    }

    fn charge_to(&self, owner: Option<ConnectionId>, holding: Holding) -> Charge {
        Charge {
            memory: self.clone(),
            owner,
            holding,
            bytes: 0,
        }
    }

    /// Opens a connection at a listener with the connections `own`, which may have `max`. None if
    /// there is no room.
    pub(crate) fn open_connection(
        &self,
        own: &OwnConnections,
        max: usize,
    ) -> Option<OpenConnection> {
        let opened = self.update(|account, now| account.open(&own.0.borrow(), max, now));
        let id = match opened {
            Opened::Open(id) => id,
            Opened::InPlaceOf(id, other) => {
                self.give_up(&[other]);
                id
            }
            Opened::Full => return None,
        };
        own.0.borrow_mut().insert(id);
        let given_up = LastCall::default();
        let mut all = self.0.given_up.borrow_mut();
        all.insert(id, given_up.clone());
        let part = AccountPart {
            memory: self.clone(),
            id,
            given_up,
        };
        Some(OpenConnection {
            account: ConnectionAccount(Rc::new(part)),
            own: own.clone(),
        })
    }

    fn give_up(&self, ids: &[ConnectionId]) {
        let given_up = self.0.given_up.borrow();
        ids.iter()
            .filter_map(|id| given_up.get(id))
            .for_each(LastCall::give);
    }

    fn update<Outcome>(&self, change: impl FnOnce(&mut MemoryAccount, Time) -> Outcome) -> Outcome {
        let micros = self.0.started.elapsed().as_micros();
        let now = Time(u64::try_from(micros).unwrap_or(u64::MAX));
        change(&mut self.0.account.borrow_mut(), now)
    }
}

impl OwnConnections {
    pub(crate) fn count(&self) -> usize {
        self.0.borrow().len()
    }
}

impl OpenConnection {
    pub(crate) fn account(&self) -> &ConnectionAccount {
        &self.account
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let AccountPart { memory, id, .. } = &*self.account.0;
        memory.update(|account, _| account.close(*id));
        memory.0.given_up.borrow_mut().remove(id);
        self.own.0.borrow_mut().remove(id);
    }
}

impl ConnectionAccount {
    /// The account that it is a part of.
    pub fn memory(&self) -> &ProcessMemory {
        &self.0.memory
    }

    /// A charge that grows by what is held for this connection.
    pub fn charge(&self, holding: Holding) -> Charge {
        self.0.memory.charge_to(Some(self.0.id), holding)
    }

    /// Has an answer charged to this connection until its last clone is dropped.
    pub async fn hold_answer(&self, answer: impl Into<Bytes>) -> Result<Bytes, NoMemory> {
        let answer = answer.into();
        let mut charge = self.charge(Holding::Answer);
        charge.grow_to(answer.len() as u64).await?;
        Ok(charge.cover(answer))
    }

    /// Waits until the connection is given up.
    pub(crate) async fn given_up(&self) {
        self.0.given_up.given().await;
    }

    pub(crate) fn begin_request(&self) -> RequestInProgress {
        self.update(|account, id, _| account.begin_request(id));
        RequestInProgress(self.clone())
    }

    pub(crate) fn begin_arrival(&self) -> BodyArrival {
        self.update(MemoryAccount::begin_arrival);
        BodyArrival(self.clone())
    }

    /// Whether the body of a request arrives.
    pub(crate) fn has_arrival(&self) -> bool {
        self.update(|account, id, _| account.has_arrival(id))
    }

    /// Records that the peer does not take what is to be written.
    pub(crate) fn record_unwritten(&self) {
        self.update(MemoryAccount::record_unwritten);
    }

    /// Records that the peer took something.
    pub(crate) fn record_written(&self) {
        self.update(|account, id, _| account.record_written(id));
    }

    fn update<Outcome>(
        &self,
        change: impl FnOnce(&mut MemoryAccount, ConnectionId, Time) -> Outcome,
    ) -> Outcome {
        let id = self.0.id;
        self.0
            .memory
            .update(|account, now| change(account, id, now))
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.0.update(MemoryAccount::end_request);
    }
}

impl BodyArrival {
    pub(crate) fn record(&self, bytes: usize) {
        self.0
            .update(|account, id, now| account.record_arrival(id, bytes, now));
    }
}

impl Drop for BodyArrival {
    fn drop(&mut self) {
        self.0.update(|account, id, _| account.end_arrival(id));
    }
}

impl Charge {
    /// Has the charge grow to `bytes`. Waits for connections that are given up for it.
    pub async fn grow_to(&mut self, bytes: u64) -> Result<(), NoMemory> {
        for _ in 0..MAX_RELEASE_CHECKS {
            match self.try_grow_to(bytes) {
                Growth::Granted => return Ok(()),
                Growth::After(ids) => self.memory.give_up(&ids),
                Growth::Refused => break,
            }
            compio::time::sleep(RELEASE_CHECK_INTERVAL).await;
        }
        let holding = self.holding;
        self.memory
            .update(|account, _| account.record_refusal(holding));
        Err(NoMemory)
    }

    fn try_grow_to(&mut self, bytes: u64) -> Growth {
        let growth = self
            .memory
            .update(|account, now| account.grow(self.owner, self.holding, self.bytes, bytes, now));
        if growth == Growth::Granted {
            self.bytes = self.bytes.max(bytes);
        }
        growth
    }

    /// Has the charge last as long as the bytes that it is for.
    pub(crate) fn cover(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ChargedBytes {
            bytes,
            _charge: SendWrapper::new(self),
        })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let (owner, holding, bytes) = (self.owner, self.holding, self.bytes);
        self.memory
            .update(|account, _| account.release(owner, holding, bytes));
    }
}

impl AsRef<[u8]> for ChargedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
