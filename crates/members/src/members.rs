//! One node's view of all others and its end of the exchange.

use std::time::Duration;

use crate::Config;
use crate::Generation;
use crate::Item;
use crate::ItemKind;
use crate::ItemUpdate;
use crate::Peer;
use crate::Scope;
use crate::Standing;
use crate::item::ItemId;
use crate::item::Stamp;
use crate::item_store::ItemStore;
use crate::links::Links;
use crate::outbox::Outbox;
use crate::prober::Prober;
use crate::record::Record;
use crate::roster::Member;
use crate::roster::Roster;
use base::CentreId;
use base::Incarnation;
use base::NodeId;
use base::Time;
use base::Version;

/// A pause between two ticks beyond this means that the process did not run.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// What is known of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The member.
    pub peer: Peer,
    /// Its life and refutations. Zero if it was never heard of.
    pub generation: Generation,
    /// How it stands.
    pub standing: Standing,
    /// The largest version known to be in force there.
    pub version: Version,
}

/// Memory that the membership uses, roughly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Bytes for the members.
    pub roster: usize,
    /// Bytes for items.
    pub items: usize,
    /// Bytes for what waits to be sent.
    pub outbox: usize,
}

/// One node's membership.
///
/// Call [`Members::tick`] every 50 ms, [`Members::receive`] for each datagram
/// whose tag was right, and send what [`Members::take_packets`] gives.
#[derive(Clone, Debug)]
pub struct Members {
    pub(crate) cfg: Config,
    pub(crate) rng: fastrand::Rng,
    pub(crate) me: Record,
    pub(crate) own_version: Version,
    pub(crate) newest_version: Version,
    pub(crate) roster: Roster,
    pub(crate) item_store: ItemStore,
    pub(crate) links: Links,
    pub(crate) prober: Prober,
    pub(crate) outbox: Outbox,
    pub(crate) item_updates: Vec<ItemUpdate>,
    pub(crate) sequence: u64,
    pub(crate) last_tick: Time,
    pub(crate) next_contact_ping: Time,
    pub(crate) contact_turn: usize,
    pub(crate) next_centre_report: Time,
    pub(crate) next_sync: Time,
}

impl Members {
    /// Starts a node's membership.
    pub fn new(cfg: Config, now: Time) -> Self {
        let mut rng = fastrand::Rng::with_seed(cfg.rng_seed);
        let me = Record {
            peer: cfg.me,
            generation: Generation {
                incarnation: cfg.incarnation.max(Incarnation(1)),
                refutation: 0,
            },
            standing: Standing::Alive,
        };
        let timing = cfg.timing;
        let mut members = Self {
            roster: Roster::new(me, &cfg.seed_peers, timing, now),
            prober: Prober::new(timing, rng.u32(..), now),
            outbox: Outbox::new(timing, now),
            item_store: ItemStore::default(),
            links: Links::default(),
            item_updates: Vec::new(),
            own_version: Version(0),
            newest_version: Version(0),
            sequence: 0,
            last_tick: now,
            next_contact_ping: now,
            contact_turn: 0,
            next_sync: now,
            next_centre_report: now + timing.centre_report_interval.mul_f64(rng.f64()),
            me,
            cfg,
            rng,
        };
        members.links.update(&members.roster, members.me.peer);
        members.spread_record(members.me.peer.node, now);
        members
    }

    /// This node's own generation.
    pub fn generation(&self) -> Generation {
        self.me.generation
    }

    /// All members, this node included.
    pub fn views(&self, now: Time) -> impl Iterator<Item = MemberView> {
        let all = self.roster.iter();
        all.map(move |(_, member)| self.view_of(member, now))
    }

    /// One member.
    pub fn get(&self, node: NodeId, now: Time) -> Option<MemberView> {
        Some(self.view_of(self.roster.get(node)?, now))
    }

    /// The members that are alive, this node included.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = MemberView> {
        let all = self.views(now);
        all.filter(|view| view.standing == Standing::Alive)
    }

    /// Whether this node is the first living member of its data centre, which
    /// sums up for the others. During changes two nodes may think so.
    pub fn is_centre_reporter(&self) -> bool {
        let of_centre = self.roster.members_in(self.me.peer.centre);
        let mut alive = of_centre.filter(|(_, m)| m.record.standing == Standing::Alive);
        alive
            .next()
            .is_some_and(|(node, _)| node == self.me.peer.node)
    }

    /// Data centres from which something was heard of late, the own included.
    pub fn recently_heard_centres(&self, now: Time) -> impl Iterator<Item = CentreId> {
        let others = self.roster.other_centres();
        let heard = others.filter(move |centre| !self.roster.is_quiet(*centre, now));
        heard.chain([self.me.peer.centre])
    }

    /// The largest version that any member said is accepted.
    pub fn newest_version(&self) -> Version {
        self.newest_version
    }

    /// Says which version is in force at this node.
    pub fn set_version(&mut self, version: Version, now: Time) {
        if version <= self.own_version {
            return;
        }
        self.own_version = version;
        if let Some(me) = self.roster.get_mut(self.me.peer.node) {
            me.version = version;
        }
        if self.newest_version < version {
            self.newest_version = version;
            self.spread_newest(now);
        } else {
            self.announce_own_version(now);
        }
    }

    /// Says that a version was accepted, before it is in force here.
    pub fn note_newest_version(&mut self, version: Version, now: Time) {
        if self.newest_version < version {
            self.newest_version = version;
            self.spread_newest(now);
        }
    }

    /// Publishes an item, or a newer content for one. Returns false and does
    /// nothing if the body is too long or there are too many items.
    pub fn publish(&mut self, item: Item, now: Time) -> bool {
        self.sequence += 1;
        let id = ItemId {
            origin: self.me.peer.node,
            kind: item.kind,
            key: item.key,
        };
        let stamp = Stamp {
            incarnation: self.me.generation.incarnation,
            sequence: self.sequence,
        };
        if !self.item_store.publish(id, stamp, item, now) {
            return false;
        }
        self.spread_item(id, now);
        true
    }

    /// The live items of a kind, with their publishers.
    pub fn items(&self, kind: ItemKind, now: Time) -> Vec<ItemUpdate> {
        let ids = self
            .item_store
            .live_ids(now)
            .filter(|(id, _)| id.kind == kind);
        let items = ids.filter_map(|(id, _)| {
            Some(ItemUpdate {
                origin: id.origin,
                item: self.item_store.item(id, now)?,
            })
        });
        items.collect()
    }

    /// Items of others that are new or have changed since the last call.
    pub fn take_item_updates(&mut self) -> Vec<ItemUpdate> {
        std::mem::take(&mut self.item_updates)
    }

    /// Tells the others that this node leaves. It should go on for a second.
    pub fn leave(&mut self, now: Time) {
        self.me.standing = Standing::Left;
        self.roster.set_own_record(self.me);
        self.spread_record(self.me.peer.node, now);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time) {
        let gap = now.since(self.last_tick);
        self.last_tick = self.last_tick.max(now);
        if MAX_TICK_GAP < gap {
            self.roster.extend_deadlines(gap);
            self.prober.cancel_probes();
        }
        self.links.update(&self.roster, self.me.peer);
        self.probe_local_peers(now);
        self.ping_contacts(now);
        self.report_centre_versions(now);
        self.item_store.expire(now);
        for record in self.roster.expire_suspects(now) {
            self.make_claim(record, now);
        }
    }

    /// Memory in use, roughly.
    pub fn memory_usage(&self) -> MemoryUsage {
        MemoryUsage {
            roster: self.roster.memory_bytes(),
            items: self.item_store.memory_bytes(),
            outbox: self.outbox.memory_bytes(),
        }
    }

    fn view_of(&self, member: &Member, now: Time) -> MemberView {
        MemberView {
            peer: member.record.peer,
            generation: member.record.generation,
            standing: self.roster.effective_standing(member, now),
            version: member.version,
        }
    }

    /// Whether an item of this scope is meant for a member.
    pub(crate) fn scope_includes(&self, scope: Scope, node: NodeId) -> bool {
        match scope {
            Scope::Everywhere => true,
            Scope::Centre => self.roster.is_local(node),
        }
    }
}
