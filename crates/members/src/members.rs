//! One node's view of all members, and its part in the gossip between them.

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

/// A longer time between two ticks means that the process was suspended.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// What is known of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// The member.
    pub peer: Peer,
    /// Its incarnation and refutations. Zero if nothing was heard of it yet.
    pub generation: Generation,
    /// Whether it is alive, as this node sees it.
    pub standing: Standing,
    /// The largest configuration version known to be in force at the member.
    pub version: Version,
}

/// Estimated memory use of the membership, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Bytes of the member list.
    pub roster: usize,
    /// Bytes of the stored items.
    pub items: usize,
    /// Bytes of what waits to be sent.
    pub outbox: usize,
}

/// One node's view of all members and its end of the gossip.
///
/// Call [`Members::tick`] every 50 ms, [`Members::receive`] for each datagram
/// with a valid tag, and send what [`Members::take_packets`] returns.
#[derive(Clone, Debug)]
pub struct Members {
    pub(crate) cfg: Config,
    pub(crate) rng: fastrand::Rng,
    pub(crate) me: Record,
    pub(crate) own_version: Version,
    /// The largest accepted configuration version heard of.
    pub(crate) newest_version: Version,
    pub(crate) roster: Roster,
    pub(crate) item_store: ItemStore,
    pub(crate) links: Links,
    pub(crate) prober: Prober,
    pub(crate) outbox: Outbox,
    pub(crate) item_updates: Vec<ItemUpdate>,
    /// Sequence number of the item that this node published last.
    pub(crate) sequence: u64,
    pub(crate) last_tick: Time,
    pub(crate) next_contact_ping: Time,
    pub(crate) contact_turn: usize,
    pub(crate) next_centre_report: Time,
    /// When this node may next compare state with another.
    pub(crate) next_sync: Time,
}

impl Members {
    /// A membership that knows the peers of the settings and has heard of none.
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

    /// This node's view of all members, itself included.
    pub fn views(&self, now: Time) -> impl Iterator<Item = MemberView> {
        let all = self.roster.iter();
        all.map(move |(_, member)| self.view_of(member, now))
    }

    /// This node's view of one member.
    pub fn get(&self, node: NodeId, now: Time) -> Option<MemberView> {
        Some(self.view_of(self.roster.get(node)?, now))
    }

    /// This node's view of the living members, itself included.
    pub fn alive(&self, now: Time) -> impl Iterator<Item = MemberView> {
        let all = self.views(now);
        all.filter(|view| view.standing == Standing::Alive)
    }

    /// Whether this node is the first living member of its data centre, which
    /// reports to the others. While views differ, there may be two.
    pub fn is_centre_reporter(&self) -> bool {
        let of_centre = self.roster.members_in(self.me.peer.centre);
        let mut alive = of_centre.filter(|(_, m)| m.record.standing == Standing::Alive);
        alive
            .next()
            .is_some_and(|(node, _)| node == self.me.peer.node)
    }

    /// Data centres from which something was heard recently, the own included.
    pub fn recently_heard_centres(&self, now: Time) -> impl Iterator<Item = CentreId> {
        let others = self.roster.other_centres();
        let heard = others.filter(move |centre| !self.roster.is_quiet(*centre, now));
        heard.chain([self.me.peer.centre])
    }

    /// The largest configuration version that a member reported as accepted.
    pub fn newest_version(&self) -> Version {
        self.newest_version
    }

    /// Records which version is in force at this node and tells the others.
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

    /// Records that a version was accepted, before it is in force here.
    pub fn note_newest_version(&mut self, version: Version, now: Time) {
        if self.newest_version < version {
            self.newest_version = version;
            self.spread_newest(now);
        }
    }

    /// Publishes an item or replaces its content. Returns false and publishes
    /// nothing if the body is too long or this node has too many items.
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

    /// All items of a kind that have not expired, with their publishers.
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

    /// Takes the items of other nodes that are new or changed since the last call.
    pub fn take_item_updates(&mut self) -> Vec<ItemUpdate> {
        std::mem::take(&mut self.item_updates)
    }

    /// Tells the others that this node leaves. Keep sending for another second.
    pub fn leave(&mut self, now: Time) {
        self.me.standing = Standing::Left;
        self.roster.set_own_record(self.me);
        self.spread_record(self.me.peer.node, now);
    }

    /// Probes, reports and expires what is due.
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

    /// Estimated memory use.
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
