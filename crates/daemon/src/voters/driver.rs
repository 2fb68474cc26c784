//! Drives this node's voter: carries out its effects and applies what is committed.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_channel::Sender;

use crate::clock;
use crate::events::Event;
use crate::events::emit;
use crate::inner::bring_into_force;
use crate::node::Node;
use crate::voters::disk_writer;
use base::NodeId;
use base::Version;
use disk::Log;
use settings::Role as Part;
use settings::Settings;
use state::Command;
use state::LogClock;
use state::Reply;
use state::State;
use vote::Batch;
use vote::Entry;
use vote::Index;
use vote::Outgoing;
use vote::Payload;
use vote::Role;
use vote::Standing;
use vote::Term;
use vote::Voter;
use wire::peer::VoteMessage;

/// How often the voter goes on in time.
const TICK: Duration = Duration::from_millis(20);

/// Time between two heartbeats of the leader.
const HEARTBEAT: Duration = Duration::from_millis(200);

/// How long a message to another voter may take.
const WITHIN: Duration = Duration::from_millis(1_000);

/// Bytes of the log before a snapshot is made, unless the state is larger.
const SNAPSHOT_BYTES: u64 = 1024 * 1024;

/// This node's part among the voters.
#[derive(Debug)]
pub struct Voters {
    /// Its voter.
    pub voter: RefCell<Voter>,
    /// The state that the committed entries make.
    pub state: RefCell<State>,
    clock: RefCell<LogClock>,
    batches: Sender<Batch>,
    waiting: RefCell<BTreeMap<Index, Waiter>>,
    snapshot_bytes: Cell<u64>,
    encoding: Cell<bool>,
    halted: Cell<bool>,
    reported: RefCell<Option<(Role, Standing)>>,
}

/// A proposal that waits for its entry.
#[derive(Debug)]
struct Waiter {
    term: Term,
    done: Sender<Option<Reply>>,
}

/// The log and the batches that are to be written to it.
pub struct Writes {
    log: Log,
    batches: Receiver<Batch>,
}

/// Opens the voter of this node, if its settings make it one.
pub fn open(settings: &Settings) -> io::Result<Option<(Voters, Writes)>> {
    let folder = match (settings.me().role, &settings.node.data) {
        (Part::Voter, Some(folder)) => folder.join("log"),
        _ => return Ok(None),
    };
    let (log, restored) = Log::open(folder).map_err(io::Error::other)?;
    let held = disk_writer::decode(&restored).map_err(io::Error::other)?;
    let mut cfg = vote::Config::new(settings.node.id, restored.disk, settings.voters());
    cfg.timing.heartbeat = HEARTBEAT;
    let now = clock::now();
    let (batches, queue) = async_channel::unbounded();
    let voters = Voters {
        voter: RefCell::new(Voter::open(cfg, held, now)),
        state: RefCell::default(),
        clock: RefCell::new(LogClock::open(state::Millis(0), now)),
        batches,
        waiting: RefCell::default(),
        snapshot_bytes: Cell::new(0),
        encoding: Cell::new(false),
        halted: Cell::new(false),
        reported: RefCell::default(),
    };
    let writes = Writes {
        log,
        batches: queue,
    };
    Ok(Some((voters, writes)))
}

/// Drives the voter, for as long as the node runs.
pub async fn drive_on(node: Rc<Node>, writes: Writes) {
    let writing = disk_writer::write_on(Rc::clone(&node), writes.log, writes.batches);
    compio::runtime::spawn(writing).detach();
    loop {
        if let Some(voters) = node.voters.as_ref().filter(|v| !v.is_halted()) {
            voters.voter.borrow_mut().tick(clock::now());
        }
        step(&node);
        compio::time::sleep(TICK).await;
    }
}

/// Carries out what the voter asks for. Called after each input.
pub fn step(node: &Rc<Node>) {
    for outgoing in carry_out(node) {
        send(node, outgoing);
    }
}

/// Takes a message of another voter, and gives what there is to say back to it at once.
pub fn hear(node: &Rc<Node>, from: NodeId, message: vote::Message) -> Vec<vote::Message> {
    let Some(voters) = node.voters.as_ref().filter(|v| !v.is_halted()) else {
        return Vec::new();
    };
    voters
        .voter
        .borrow_mut()
        .receive(from, message, clock::now());
    let mut back = Vec::new();
    for outgoing in carry_out(node) {
        match outgoing.to == from {
            true => back.push(outgoing.message),
            false => send(node, outgoing),
        }
    }
    back
}

/// Carries out what the voter asks for but its sends, which it gives.
fn carry_out(node: &Rc<Node>) -> Vec<Outgoing> {
    let Some(voters) = node.voters.as_ref().filter(|v| !v.is_halted()) else {
        return Vec::new();
    };
    let effects = voters.voter.borrow_mut().take();
    if let Some(snapshot) = effects.install {
        voters.install(&snapshot.state);
    }
    for entry in effects.committed {
        voters.apply(&entry);
    }
    if voters.is_halted() {
        return Vec::new();
    }
    if let Some(batch) = effects.batch {
        let _ = voters.batches.try_send(batch);
    }
    compact(node, voters);
    voters.report();
    let (version, text) = voters.configuration();
    if node.version() < version {
        bring_into_force(node, version, &text);
    }
    effects.sends
}

/// Lets another voter lead before this process ends.
pub fn hand_over(node: &Rc<Node>) {
    if let Some(voters) = &node.voters {
        voters.voter.borrow_mut().hand_over(clock::now());
    }
    step(node);
}

/// Makes a snapshot once enough was applied. It is encoded on a thread that may wait.
fn compact(node: &Rc<Node>, voters: &Voters) {
    let limit = SNAPSHOT_BYTES.max(2 * voters.snapshot_bytes.get());
    if voters.encoding.get() || voters.voter.borrow().log_bytes().0 < limit {
        return;
    }
    voters.encoding.set(true);
    let applied = voters.applied();
    let image = voters.state.borrow().image();
    let node = Rc::clone(node);
    compio::runtime::spawn(async move {
        let encoded = compio::runtime::spawn_blocking(move || image.encode()).await;
        if let (Ok(bytes), Some(voters)) = (encoded, &node.voters) {
            voters.snapshot_bytes.set(bytes.len() as u64);
            voters.encoding.set(false);
            voters.voter.borrow_mut().compact(Index(applied), bytes);
            step(&node);
        }
    })
    .detach();
}

fn send(node: &Rc<Node>, outgoing: Outgoing) {
    let Some(peer) = node.settings.peers.get(&outgoing.to) else {
        return;
    };
    let addr = peer.internal;
    let call = VoteMessage {
        from: node.id(),
        message: outgoing.message,
    };
    let node = Rc::clone(node);
    compio::runtime::spawn(async move {
        // The voter sends again what is not answered.
        let Ok(answer) = node.peers.call(addr, &call, WITHIN).await else {
            return;
        };
        for message in answer.messages {
            let back = hear(&node, outgoing.to, message);
            for message in back {
                let to = outgoing.to;
                send(&node, Outgoing { to, message });
            }
        }
    })
    .detach();
}

impl Voters {
    /// Proposes a command. The reply comes once it is applied, None if it was not accepted.
    pub fn propose(&self, op: state::Op) -> Result<Receiver<Option<Reply>>, vote::ProposeError> {
        let now = clock::now();
        let at = self.clock.borrow().stamp(now);
        let command = Command { at, op }.encode();
        let ticket = self.voter.borrow_mut().propose(command, now)?;
        let (done, reply) = async_channel::bounded(1);
        let waiter = Waiter {
            term: ticket.term,
            done,
        };
        self.waiting.borrow_mut().insert(ticket.index, waiter);
        Ok(reply)
    }

    /// The index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.state.borrow().applied()
    }

    /// The configuration that was accepted last.
    pub fn configuration(&self) -> (Version, std::sync::Arc<str>) {
        let state = self.state.borrow();
        let register = state.register();
        (register.version(), register.text().clone())
    }

    /// Whether this voter has stopped: going on would make its state differ from the
    /// others'.
    pub fn is_halted(&self) -> bool {
        self.halted.get()
    }

    fn halt(&self, reason: String) {
        self.halted.set(true);
        emit(&Event::VoterLost { reason });
    }

    fn install(&self, bytes: &[u8]) {
        match State::decode(bytes) {
            Ok(state) => {
                self.snapshot_bytes.set(bytes.len() as u64);
                self.clock.borrow_mut().observe(state.now(), clock::now());
                self.state.replace(state);
            }
            Err(e) => self.halt(e.to_string()),
        }
    }

    fn apply(&self, entry: &Entry) {
        if self.is_halted() {
            return;
        }
        let reply = match &entry.payload {
            Payload::Command(bytes) => match Command::decode(bytes) {
                Ok(command) => {
                    self.clock.borrow_mut().observe(command.at, clock::now());
                    Some(self.state.borrow_mut().apply(entry.index.0, &command))
                }
                Err(e) => {
                    self.halt(format!("entry {} cannot be read: {e}", entry.index));
                    return;
                }
            },
            Payload::Nothing | Payload::Group(_) => None,
        };
        let waiter = self.waiting.borrow_mut().remove(&entry.index);
        if let Some(waiter) = waiter {
            // Another term at this place means that another leader's entry took it.
            let reply = reply.filter(|_| waiter.term == entry.term);
            let _ = waiter.done.try_send(reply);
        }
    }

    /// Logs a change of this voter's part.
    fn report(&self) {
        let status = self.voter.borrow().status();
        let now = (status.role, status.standing);
        if *self.reported.borrow() == Some(now) {
            return;
        }
        self.reported.replace(Some(now));
        match (status.role, status.leader) {
            (Role::Leader, _) => emit(&Event::Leading {
                term: status.term.0,
            }),
            (_, Some(leader)) => emit(&Event::Following { leader }),
            _ => {}
        }
        if matches!(status.standing, Standing::Lost | Standing::Replaced) {
            let reason = format!("{:?}", status.standing);
            emit(&Event::VoterLost { reason });
        }
    }
}
