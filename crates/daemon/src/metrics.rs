//! The metrics of a node, in the Prometheus text format.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use memory::Figures;
use net::TrafficMeter;

/// Upper bounds of the buckets of all time histograms, in seconds.
const TIME_BUCKETS: [f64; 16] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.38, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0,
];

/// The class of a request: the organisation of its caller, and its contract or service.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, EncodeLabelSet)]
pub struct Class {
    /// The organisation of the caller.
    pub org: String,
    /// The name of the contract, or of the service for a call to one.
    pub class: String,
}

/// The labels of the refusals counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// The organisation; empty if the caller is not known.
    pub org: String,
    /// The contract or service; empty if none was found.
    pub class: String,
    /// The name of the problem kind.
    pub reason: String,
    /// Whether the request ran, as far as known.
    pub ran: String,
}

/// The labels of the counter of what was refused or given up for want of memory or connections.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ShortageLabels {
    /// What it was.
    pub what: &'static str,
}

/// A time histogram for each class.
pub type Times = Family<Class, Histogram, fn() -> Histogram>;

/// Records a time of a class.
pub fn observe_time(times: &Times, class: &Class, time: Duration) {
    times.get_or_create(class).observe(time.as_secs_f64());
}

/// The metrics of one node.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Time from a request's arrival until it is sent to a replica.
    pub queueing: Times,
    /// Time from a request's arrival to the first token of its answer.
    pub first_token: Times,
    /// Time between two consecutive tokens of an answer.
    pub between_tokens: Times,
    /// Time from a request's arrival to the end of its answer.
    pub total: Times,
    /// Refusals by class and reason.
    pub refusals: Family<RefusalLabels, Counter>,
    /// Requests that were sent again after a failed attempt.
    pub retries: Counter,
    /// Claims of idempotency keys that the voters granted.
    pub claims: Counter,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// The version of the configuration in force.
    pub config_version: Gauge,
    /// Bytes of control traffic sent.
    pub control_sent: Counter,
    /// Bytes of control traffic received.
    pub control_received: Counter,
    /// One while this node is the controller of its data centre, else zero.
    pub controller: Gauge,
    /// What bodies of requests and answers hold in memory.
    held_bytes: Gauge,
    /// Connections at all listeners.
    open_connections: Gauge,
    /// Who was refused or given up for want of memory or connections.
    shortages: Family<ShortageLabels, Counter>,
}

fn time_histograms() -> Times {
    Family::new_with_constructor(|| Histogram::new(TIME_BUCKETS))
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("berylbay"),
            queueing: time_histograms(),
            first_token: time_histograms(),
            between_tokens: time_histograms(),
            total: time_histograms(),
            refusals: Family::default(),
            retries: Counter::default(),
            claims: Counter::default(),
            in_flight: Gauge::default(),
            config_version: Gauge::default(),
            control_sent: Counter::default(),
            control_received: Counter::default(),
            controller: Gauge::default(),
            held_bytes: Gauge::default(),
            open_connections: Gauge::default(),
            shortages: Family::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "queueing_seconds",
            "Arrival to being sent",
            self.queueing.clone(),
        );
        r.register(
            "first_token_seconds",
            "Arrival to first token",
            self.first_token.clone(),
        );
        r.register(
            "between_tokens_seconds",
            "Between two tokens",
            self.between_tokens.clone(),
        );
        r.register(
            "total_seconds",
            "Arrival to end of answer",
            self.total.clone(),
        );
        r.register("refusals", "Refusals by reason", self.refusals.clone());
        r.register("retries", "Requests sent once more", self.retries.clone());
        r.register("claims", "Claims of orders granted", self.claims.clone());
        r.register(
            "in_flight_requests",
            "Requests in progress",
            self.in_flight.clone(),
        );
        r.register(
            "config_version",
            "Configuration in force",
            self.config_version.clone(),
        );
        r.register(
            "control_sent_bytes",
            "Bytes of control sent since the start",
            self.control_sent.clone(),
        );
        r.register(
            "control_received_bytes",
            "Bytes of control received since the start",
            self.control_received.clone(),
        );
        r.register(
            "controller",
            "One while ordering hosts",
            self.controller.clone(),
        );
        r.register(
            "held_bytes",
            "What bodies of requests and answers hold in memory",
            self.held_bytes.clone(),
        );
        r.register(
            "open_connections",
            "Connections at all listeners",
            self.open_connections.clone(),
        );
        r.register(
            "shortages",
            "Who was refused or given up for want of memory or connections",
            self.shortages.clone(),
        );
    }

    /// Copies the byte counts of the control meter into the metrics.
    pub fn record_control_bytes(&self, meter: &TrafficMeter) {
        self.control_sent
            .inc_by(meter.sent_bytes() - self.control_sent.get());
        self.control_received
            .inc_by(meter.received_bytes() - self.control_received.get());
    }

    /// Takes over what is held in memory, and who was refused for want of it.
    pub fn record_memory(&self, figures: &Figures) {
        self.held_bytes.set(figures.held.0 as i64);
        self.open_connections.set(figures.connections as i64);
        for (what, count) in figures.shortages() {
            let counter = self.shortages.get_or_create(&ShortageLabels { what });
            counter.inc_by(count - counter.get());
        }
    }

    /// Encodes all metrics as text.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(_) => String::new(),
        }
    }
}
