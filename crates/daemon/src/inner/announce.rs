//! Announcements of hosts and services.

use std::rc::Rc;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::upstreams::Hearing;
use base::HostReport;
use base::ServiceReport;
use net::RpcMethods;
use quorum::clock;
use wire::upstream::AnnounceHost;
use wire::upstream::AnnounceService;
use wire::upstream::AnnouncementAck;
use wire::upstream::HostHeartbeat;

pub fn methods(methods: RpcMethods<Node>) -> RpcMethods<Node> {
    methods
        .register(|node: Rc<Node>, call: AnnounceHost| async move {
            announce_host(&node, call.report);
            Ok(AnnouncementAck { by: node.id() })
        })
        .register(|node: Rc<Node>, call: AnnounceService| async move {
            if hear_service(&node, &call.report) {
                let key = (call.report.service.clone(), call.report.addr);
                node.relay.borrow_mut().services.insert(key, call.report);
            }
            Ok(AnnouncementAck { by: node.id() })
        })
}

/// Takes a whole report. The neighbours get all of it only if more than its load is new.
fn announce_host(node: &Node, report: HostReport) {
    let before = node
        .upstreams
        .borrow()
        .host(report.host)
        .map(|h| h.report.clone());
    if !hear_host(node, &report) {
        return;
    }
    let is_known = before.is_some_and(|before| HostHeartbeat::covers_update(&before, &report));
    let mut untold = node.relay.borrow_mut();
    match is_known {
        true => {
            untold
                .beats
                .insert(report.host, HostHeartbeat::from_report(&report));
        }
        false => {
            untold.hosts.insert(report.host, report);
        }
    }
}

/// Takes a host's beat, heard directly or from a neighbour. True if the host is known.
pub fn hear_beat(node: &Node, beat: &HostHeartbeat) -> bool {
    let mut upstreams = node.upstreams.borrow_mut();
    let Some(report) = upstreams.beat(beat, clock::now()) else {
        let known = upstreams.host(beat.host);
        return known.is_some_and(|known| {
            HostHeartbeat::incarnation_bits_of(&known.report) == beat.incarnation_bits
        });
    };
    node.control.hear(report);
    node.dispatch.hear(report);
    true
}

/// Takes a host's report, heard directly or from a neighbour. True if it was news.
pub fn hear_host(node: &Node, report: &HostReport) -> bool {
    let mut upstreams = node.upstreams.borrow_mut();
    let was_leaving = upstreams
        .host(report.host)
        .is_some_and(|h| h.report.leaving);
    let hearing = upstreams.hear_host(report, clock::now());
    let host = report.host;
    if hearing == Hearing::New {
        let addr = report.addr;
        emit(&Event::HostHeard { host, addr });
    }
    if report.leaving && !was_leaving && hearing != Hearing::Ignored {
        emit(&Event::HostLeaving { host });
        node.gossip.leaving(host);
    }
    if report.leaving {
        node.dispatch.leaving(host);
    }
    if hearing != Hearing::Ignored {
        node.control.hear(report);
        node.dispatch.hear(report);
    }
    hearing != Hearing::Ignored
}

/// Takes a service's report. True if it was news.
pub fn hear_service(node: &Node, report: &ServiceReport) -> bool {
    let hearing = node
        .upstreams
        .borrow_mut()
        .hear_service(report, clock::now());
    if hearing == Hearing::New {
        let service = &report.service;
        let addr = report.addr;
        emit(&Event::ServiceHeard { service, addr });
    }
    hearing != Hearing::Ignored
}
