//! Counters and histograms of an entry host, in the Prometheus text format.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use forward::ConnectPath;
use memory::Figures;
use net::LateAnswer;

/// Upper bounds of the buckets of all time histograms, in seconds.
const TIME_BUCKETS: [f64; 14] = [
    0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 2.0, 4.0, 8.0,
];

/// Labels of the time histograms.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabels {
    pub route: String,
    /// The organisation's name. Empty if the request is made for none.
    pub organisation: String,
}

/// Labels of the request counter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    pub route: String,
    /// How the requests ended.
    pub outcome: String,
}

/// Labels of the attempt counter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PathLabels {
    /// `direct`, or `peer` through another entry host.
    pub path: String,
}

/// Labels of the counter of answers to abandoned requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct LateLabels {
    /// `heard`, `unheard`, or `surplus` if too many others were waited for.
    pub outcome: &'static str,
}

/// Labels of the counter of what was refused or given up for want of memory or connections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ShortageLabels {
    pub what: &'static str,
}

/// Time histograms by route and organisation.
type Times = Family<RequestLabels, Histogram, fn() -> Histogram>;

/// The metrics of an entry host.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    first: Times,
    total: Times,
    outcomes: Family<OutcomeLabels, Counter>,
    attempts: Family<PathLabels, Counter>,
    late_answers: Family<LateLabels, Counter>,
    held_back: Counter,
    resting: Gauge,
    held_bytes: Gauge,
    open_connections: Gauge,
    shortages: Family<ShortageLabels, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        let times: fn() -> Histogram = || Histogram::new(TIME_BUCKETS);
        let mut registry = Registry::with_prefix("berylbay");
        let first = Times::new_with_constructor(times);
        let total = Times::new_with_constructor(times);
        let outcomes = Family::default();
        registry.register(
            "first_seconds",
            "From a request's arrival to the first bytes of its answer",
            first.clone(),
        );
        registry.register(
            "total_seconds",
            "From a request's arrival to the end of its answer",
            total.clone(),
        );
        registry.register("requests", "Requests by how they ended", outcomes.clone());
        let attempts = Family::default();
        registry.register(
            "attempts",
            "Attempts with an answer by the way of their connection",
            attempts.clone(),
        );
        let late_answers = Family::default();
        registry.register(
            "late_answers",
            "Answers to requests that were abandoned before, by whether their heads were read",
            late_answers.clone(),
        );
        let held_back = Counter::default();
        registry.register(
            "held_back",
            "Requests that were not sent to a target because it had asked for rest meanwhile",
            held_back.clone(),
        );
        let resting = Gauge::default();
        registry.register(
            "resting_upstreams",
            "Upstreams that asked this host for rest",
            resting.clone(),
        );
        let held_bytes = Gauge::default();
        registry.register(
            "held_bytes",
            "What bodies of requests and answers hold in memory",
            held_bytes.clone(),
        );
        let open_connections = Gauge::default();
        registry.register(
            "open_connections",
            "Connections at all listeners",
            open_connections.clone(),
        );
        let shortages = Family::default();
        registry.register(
            "shortages",
            "Who was refused or given up for want of memory or connections",
            shortages.clone(),
        );
        Self {
            late_answers,
            held_back,
            resting,
            held_bytes,
            open_connections,
            shortages,
            registry,
            first,
            total,
            outcomes,
            attempts,
        }
    }
}

impl Metrics {
    /// Counts a finished request by its outcome.
    pub fn count_outcome(&self, route: &str, outcome: &str) {
        let labels = OutcomeLabels {
            route: route.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.outcomes.get_or_create(&labels).inc();
    }

    /// Counts an attempt that got an answer, by the way of its connection.
    pub fn count_attempt(&self, path: ConnectPath) {
        let path = match path {
            ConnectPath::Direct => "direct",
            ConnectPath::Through(_) => "peer",
        };
        let path = path.to_owned();
        self.attempts.get_or_create(&PathLabels { path }).inc();
    }

    /// Counts the answer to an abandoned request.
    pub fn count_late_answer(&self, answer: &LateAnswer) {
        let outcome = match answer {
            LateAnswer::Heard(..) => "heard",
            LateAnswer::Unheard => "unheard",
            LateAnswer::Surplus => "surplus",
        };
        self.late_answers
            .get_or_create(&LateLabels { outcome })
            .inc();
    }

    /// Counts a request that was held back because its target rests.
    pub fn count_held_back(&self) {
        self.held_back.inc();
    }

    /// Sets how many upstreams asked this host for rest.
    pub fn set_resting(&self, count: usize) {
        self.resting.set(count as i64);
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

    /// Records how long a request's first bytes and its whole answer took.
    pub fn observe_times(&self, labels: &RequestLabels, first: Duration, total: Duration) {
        let first_times = self.first.get_or_create(labels);
        first_times.observe(first.as_secs_f64());
        drop(first_times);
        let total_times = self.total.get_or_create(labels);
        total_times.observe(total.as_secs_f64());
    }

    /// Returns all metrics in the text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        if let Err(e) = encode(&mut text, &self.registry) {
            log::warn!("metrics cannot be written: {e}");
        }
        text
    }
}
