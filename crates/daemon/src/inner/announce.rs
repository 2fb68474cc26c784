//! Handles the announcements of hosts and services.

use std::rc::Rc;

use crate::events::Event;
use crate::events::emit;
use crate::node::Node;
use crate::upstreams::ReportOutcome;
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
            if handle_service_report(&node, &call.report) {
                let key = (call.report.service.clone(), call.report.addr);
                node.pending_relay
                    .borrow_mut()
                    .services
                    .insert(key, call.report);
            }
            Ok(AnnouncementAck { by: node.id() })
        })
}

/// Handles a full report from a host. It is relayed in full only if more than a heartbeat
/// carries has changed, else as a heartbeat.
fn announce_host(node: &Node, report: HostReport) {
    let previous = node
        .upstreams
        .borrow()
        .host(report.host)
        .map(|h| h.report.clone());
    if !handle_host_report(node, &report) {
        return;
    }
    let is_heartbeat =
        previous.is_some_and(|previous| HostHeartbeat::covers_update(&previous, &report));
    let mut pending = node.pending_relay.borrow_mut();
    match is_heartbeat {
        true => {
            pending
                .heartbeats
                .insert(report.host, HostHeartbeat::from_report(&report));
        }
        false => {
            pending.hosts.insert(report.host, report);
        }
    }
}

/// Handles a host's heartbeat, received directly or relayed. True if the host and this
/// incarnation of it are known.
pub fn handle_heartbeat(node: &Node, heartbeat: &HostHeartbeat) -> bool {
    let mut upstreams = node.upstreams.borrow_mut();
    let Some(report) = upstreams.apply_heartbeat(heartbeat, clock::now()) else {
        let known = upstreams.host(heartbeat.host);
        return known.is_some_and(|known| {
            HostHeartbeat::incarnation_bits_of(&known.report) == heartbeat.incarnation_bits
        });
    };
    node.control.record_host_report(report);
    node.dispatch.record_host_report(report);
    true
}

/// Handles a host's report, received directly or relayed. True if it was newer than the
/// known one.
pub fn handle_host_report(node: &Node, report: &HostReport) -> bool {
    let mut upstreams = node.upstreams.borrow_mut();
    let was_leaving = upstreams
        .host(report.host)
        .is_some_and(|h| h.report.leaving);
    let outcome = upstreams.record_host_report(report, clock::now());
    let host = report.host;
    if outcome == ReportOutcome::New {
        let addr = report.addr;
        emit(&Event::HostAnnounced { host, addr });
    }
    if report.leaving && !was_leaving && outcome != ReportOutcome::Ignored {
        emit(&Event::HostLeaving { host });
        node.gossip.announce_host_leaving(host);
    }
    if report.leaving {
        node.dispatch.mark_host_leaving(host);
    }
    if outcome != ReportOutcome::Ignored {
        node.control.record_host_report(report);
        node.dispatch.record_host_report(report);
    }
    outcome != ReportOutcome::Ignored
}

/// Handles the report of a service process. True if it was newer than the known one.
pub fn handle_service_report(node: &Node, report: &ServiceReport) -> bool {
    let outcome = node
        .upstreams
        .borrow_mut()
        .record_service_report(report, clock::now());
    if outcome == ReportOutcome::New {
        let service = &report.service;
        let addr = report.addr;
        emit(&Event::ServiceAnnounced { service, addr });
    }
    outcome != ReportOutcome::Ignored
}
