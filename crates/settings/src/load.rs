//! Loads and checks the settings of one node.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use toml_edit::Document;
use toml_edit::Item;

use crate::Limits;
use crate::Secret;
use crate::Secrets;
use crate::reader::Reader;
use crate::reader::Section;
use crate::secret::MIN_SECRET_BYTES;
use base::CentreId;
use base::Findings;
use base::NodeId;
use base::SourceLocation;

/// The checked settings of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// What is set for this node itself.
    pub node: NodeSettings,
    /// All nodes of the system, this one included.
    pub peers: BTreeMap<NodeId, Peer>,
    /// The secrets by which processes authenticate to each other.
    pub secrets: Secrets,
    /// Limits on the requests that the node accepts.
    pub limits: Limits,
}

/// The identity, addresses and data folder of this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// The node's id.
    pub id: NodeId,
    /// The node's data centre.
    pub centre: CentreId,
    /// The address for callers.
    pub caller_addr: SocketAddr,
    /// The address for other nodes, upstreams and operators, by TCP and UDP.
    pub internal_addr: SocketAddr,
    /// The node's folder for durable state.
    pub data_dir: Option<PathBuf>,
}

/// The role of a node in the system.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// The node accepts requests.
    #[default]
    Entry,
    /// The node accepts requests and holds a copy of the durable state.
    Voter,
}

/// What the settings say of one node of the system.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The node's data centre.
    pub centre: CentreId,
    /// The address for other nodes.
    pub internal_addr: SocketAddr,
    /// The node's role.
    pub role: Role,
}

impl Settings {
    /// Loads a file and the secret files it names. Relative paths start at its folder.
    pub fn load(file: &Path) -> Result<Self, Findings> {
        let text = fs::read_to_string(file).map_err(|e| unreadable_file(file, &e))?;
        Self::parse(file, &text)
    }

    /// Parses and checks a text as the content of `file`.
    pub fn parse(file: &Path, text: &str) -> Result<Self, Findings> {
        let reader = Reader::new(file, text);
        let settings = match Document::parse(text) {
            Ok(document) => read_settings(&reader, document.as_item()),
            Err(e) => {
                let offset = e.span().map_or(0, |span| span.start);
                reader.add_finding(offset, "syntax", e.message());
                None
            }
        };
        let findings = reader.findings.take();
        match settings {
            Some(settings) => findings.into_result(settings),
            None => Err(findings.into_result(()).err().unwrap_or_default()),
        }
    }

    /// This node's own entry among the peers.
    pub fn own_peer(&self) -> &Peer {
        &self.peers[&self.node.id]
    }

    /// The nodes that hold the durable state.
    pub fn voters(&self) -> impl Iterator<Item = NodeId> + '_ {
        let voters = self.peers.iter();
        voters
            .filter(|(_, peer)| peer.role == Role::Voter)
            .map(|(id, _)| *id)
    }

    /// The number of data centres that have nodes.
    pub fn centre_count(&self) -> usize {
        let centres: BTreeSet<CentreId> = self.peers.values().map(|peer| peer.centre).collect();
        centres.len()
    }

    /// The nodes of this node's data centre, this node included.
    pub fn local_nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        let centre = self.node.centre;
        let peers = self.peers.iter();
        peers
            .filter(move |(_, peer)| peer.centre == centre)
            .map(|(id, _)| *id)
    }
}

fn unreadable_file(file: &Path, error: &std::io::Error) -> Findings {
    let mut findings = Findings::default();
    let location = SourceLocation::from_offset(file, "", 0);
    findings.push(location, "file", format_args!("cannot be read: {error}"));
    findings
}

fn read_settings<'a>(reader: &'a Reader<'a>, root: &'a Item) -> Option<Settings> {
    let node = read_node(reader, reader.section(root.get("node"), "node"));
    let secrets = read_secrets(reader, reader.section(root.get("secrets"), "secrets"));
    let limits = Limits::read(&mut reader.section(root.get("limits"), "limits"));
    let peers = read_peers(reader, root.get("peers"));
    report_unknown_tables(reader, root);
    let settings = Settings {
        node: node?,
        peers,
        secrets: secrets?,
        limits,
    };
    report_contradictions(reader, root, &settings);
    Some(settings)
}

fn read_node(reader: &Reader<'_>, mut section: Section<'_>) -> Option<NodeSettings> {
    let id = section.required("id");
    let centre = section.required("centre");
    let callers = section.required("callers");
    let internal = section.required("internal");
    let data: Option<PathBuf> = section.optional("data");
    let folder = reader.file.parent().unwrap_or(Path::new("."));
    section.finish();
    Some(NodeSettings {
        id: id?,
        centre: centre?,
        caller_addr: callers?,
        internal_addr: internal?,
        data_dir: data.map(|data| folder.join(data)),
    })
}

fn read_secrets(reader: &Reader<'_>, mut section: Section<'_>) -> Option<Secrets> {
    let peers = read_secret(reader, &mut section, "peers");
    let upstreams = read_secret(reader, &mut section, "upstreams");
    let operators = read_secret(reader, &mut section, "operators");
    section.finish();
    let secrets = Secrets {
        peers: peers?,
        upstreams: upstreams?,
        operators: operators?,
    };
    let has_duplicates = secrets.peers == secrets.upstreams
        || secrets.peers == secrets.operators
        || secrets.upstreams == secrets.operators;
    if has_duplicates {
        section.add_finding("peers", "the three secrets must differ from each other");
    }
    Some(secrets)
}

fn read_secret(
    reader: &Reader<'_>,
    section: &mut Section<'_>,
    key: &'static str,
) -> Option<Secret> {
    let path: PathBuf = section.required(key)?;
    let folder = reader.file.parent().unwrap_or(Path::new("."));
    let path = folder.join(path);
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) => {
            section.add_finding(key, format_args!("cannot read {}: {e}", path.display()));
            return None;
        }
    };
    let secret = Secret::from_text(&text);
    if secret.is_none() {
        let path = path.display();
        section.add_finding(
            key,
            format_args!("{path} holds fewer than {MIN_SECRET_BYTES} bytes"),
        );
    }
    secret
}

fn read_peers<'a>(reader: &'a Reader<'a>, item: Option<&'a Item>) -> BTreeMap<NodeId, Peer> {
    let mut peers = BTreeMap::new();
    let Some(tables) = item.and_then(Item::as_table_like) else {
        reader.add_finding(0, "peers", "is missing: name every node, this one included");
        return peers;
    };
    for (key, item) in tables.iter() {
        let path = format!("peers.{key}");
        let mut section = reader.section(Some(item), &path);
        let id: Option<NodeId> = match key.parse() {
            Ok(id) => Some(id),
            Err(e) => {
                reader.add_finding(section.start(), &path, e);
                None
            }
        };
        let peer = read_peer(&mut section);
        if let (Some(id), Some(peer)) = (id, peer) {
            peers.insert(id, peer);
        }
    }
    peers
}

fn read_peer(section: &mut Section<'_>) -> Option<Peer> {
    let centre = section.required("centre");
    let internal = section.required("internal");
    let role = match section.flag("voter") {
        true => Role::Voter,
        false => Role::Entry,
    };
    section.finish();
    Some(Peer {
        centre: centre?,
        internal_addr: internal?,
        role,
    })
}

fn report_unknown_tables(reader: &Reader<'_>, root: &Item) {
    let Some(table) = root.as_table_like() else {
        return;
    };
    for (key, item) in table.iter() {
        if !matches!(key, "node" | "secrets" | "limits" | "peers") {
            let start = item.span().map_or(0, |span| span.start);
            reader.add_finding(start, key, "is not a known table");
        }
    }
}

fn report_contradictions<'a>(reader: &'a Reader<'a>, root: &'a Item, settings: &Settings) {
    let node = reader.section(root.get("node"), "node");
    if !node.is_present() {
        return;
    }
    let own_id = settings.node.id;
    match settings.peers.get(&own_id) {
        None => node.add_finding("id", format_args!("{own_id} is not among the peers")),
        Some(peer) => report_own_contradictions(&node, settings, peer),
    }
    let start = root
        .get("peers")
        .and_then(Item::span)
        .map_or(0, |span| span.start);
    let mut seen = BTreeMap::new();
    for (id, peer) in &settings.peers {
        if let Some(other) = seen.insert(peer.internal_addr, *id) {
            let problem = format_args!(
                "{id} and {other} have the same address {}",
                peer.internal_addr
            );
            reader.add_finding(start, "peers", problem);
        }
    }
    let voters = settings.voters().count();
    if !matches!(voters, 1 | 3 | 5) {
        let problem = format_args!("there must be 1, 3 or 5 voters, these are {voters}");
        reader.add_finding(start, "peers", problem);
    }
}

fn report_own_contradictions(node: &Section<'_>, settings: &Settings, peer: &Peer) {
    let own = &settings.node;
    if peer.centre != own.centre {
        let problem = format_args!("{} here, but {} among the peers", own.centre, peer.centre);
        node.add_finding("centre", problem);
    }
    if peer.internal_addr != own.internal_addr {
        let problem = format_args!(
            "{} here, but {} among the peers",
            own.internal_addr, peer.internal_addr
        );
        node.add_finding("internal", problem);
    }
    if own.caller_addr == own.internal_addr {
        node.add_finding("callers", "must differ from internal");
    }
    if peer.role == Role::Voter && own.data_dir.is_none() {
        node.add_finding("data", "is missing: a voter needs a folder for its state");
    }
}
