//! One process of a plain service, such as stock checks or orders.
//!
//! It counts how often each key has run, so that tests can tell whether a call ran twice.
//! It does nothing itself to prevent that.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gumdrop::Options;
use http::Request;
use http::Response;
use http::StatusCode;
use serde::Serialize;

use crate::Config;
use crate::announce::announce;
use crate::announce::new_incarnation;
use crate::head::has_secret;
use crate::response::earlier_refusal;
use crate::response::refusal;
use crate::response::response_with;
use crate::response::text_response;
use base::CentreId;
use base::Incarnation;
use base::ServiceName;
use base::ServiceReport;
use net::Body;
use net::Inbound;
use net::RpcClient;
use net::Server;
use net::ServerLimits;
use net::read_request;
use wire::upstream::AnnounceService;

const MAX_BODY_BYTES: usize = 1024 * 1024;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a service that leaves goes on announcing it.
const LEAVE_TIME: Duration = Duration::from_secs(1);

/// Options of a plain service.
#[derive(Debug, Options)]
pub(crate) struct ServiceArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "name of the service")]
    name: Option<ServiceName>,
    #[options(required, help = "its data centre, such as dc1")]
    centre: CentreId,
    #[options(help = "address to listen on, any free port of loopback by default")]
    listen: Option<SocketAddr>,
    #[options(help = "internal address of an entry node; may be repeated")]
    entry: Vec<SocketAddr>,
    #[options(required, help = "file with the upstreams' secret")]
    secret_file: String,
    #[options(no_short, help = "milliseconds that a call takes", default = "5")]
    delay_ms: u64,
    #[options(
        no_short,
        help = "run this many calls, but drop the connection before the answer",
        default = "0"
    )]
    drop_answers: u32,
    #[options(
        no_short,
        help = "run this many calls, but answer with an earlier refusal",
        default = "0"
    )]
    earlier_refusals: u32,
}

#[derive(Debug)]
struct Service {
    name: ServiceName,
    delay: Duration,
    /// How many further answers are dropped after their call has run.
    answers_to_drop: Cell<u32>,
    /// How many further calls are answered with an earlier refusal after they have run.
    refusals_to_repeat: Cell<u32>,
    /// How often each key has run.
    runs: RefCell<BTreeMap<String, u32>>,
    leaving: Cell<bool>,
    secret: String,
}

/// The answer to a call.
#[derive(Debug, Serialize)]
struct Outcome {
    service: ServiceName,
    key: String,
    /// How often this key has run.
    runs: u32,
}

pub(crate) async fn run(args: ServiceArgs) -> io::Result<()> {
    let config = Config::read(args.listen, &args.entry, &args.secret_file)?;
    let name = args.name.clone();
    let name = name.ok_or_else(|| io::Error::other("--name is missing"))?;
    let service = Rc::new(Service::new(name.clone(), &args, &config));
    let handler_service = Rc::clone(&service);
    let server = Server::bind(config.listen, ServerLimits::default(), move |req| {
        handle(Rc::clone(&handler_service), req)
    })
    .await?;
    println!("service {name} listens on {}", server.addr());
    let client = RpcClient::new(config.secret.clone()).map_err(io::Error::other)?;
    let (addr, incarnation) = (server.addr(), new_incarnation());
    let reporter = Rc::clone(&service);
    let announcing = announce(client, config.entries.clone(), move |sequence| {
        AnnounceService {
            report: reporter.report(args.centre, addr, incarnation, sequence),
        }
    });
    compio::runtime::spawn(announcing).detach();
    service.leave_on_sigterm().await;
    Ok(())
}

async fn handle(service: Rc<Service>, req: Request<Inbound>) -> Response<Body> {
    let (head, body) = req.into_parts();
    let path = head.uri.path();
    if path == "/runs" {
        // Open to tests, which do not send the secret.
        return service.all_runs_response();
    }
    if !has_secret(&head.headers, &service.secret) {
        let text = "the upstreams' secret is missing";
        return refusal(StatusCode::UNAUTHORIZED, text, &head.headers);
    }
    let key = head.headers.get("idempotency-key");
    let key = key
        .and_then(|key| key.to_str().ok())
        .unwrap_or("-")
        .to_owned();
    if read_request(body, MAX_BODY_BYTES, BODY_TIMEOUT)
        .await
        .is_err()
    {
        return text_response(StatusCode::BAD_REQUEST, "the body cannot be read");
    }
    match path {
        "/outcome" => service.outcome(&key),
        _ => service.run(key).await,
    }
}

impl Service {
    fn new(name: ServiceName, args: &ServiceArgs, config: &Config) -> Self {
        Self {
            name,
            delay: Duration::from_millis(args.delay_ms),
            answers_to_drop: Cell::new(args.drop_answers),
            refusals_to_repeat: Cell::new(args.earlier_refusals),
            runs: RefCell::default(),
            leaving: Cell::new(false),
            secret: config.secret.clone(),
        }
    }

    fn report(
        &self,
        centre: CentreId,
        addr: SocketAddr,
        incarnation: Incarnation,
        sequence: u64,
    ) -> ServiceReport {
        ServiceReport {
            service: self.name.clone(),
            incarnation,
            sequence,
            centre,
            addr,
            leaving: self.leaving.get(),
        }
    }

    /// On SIGTERM announces that the service leaves, and returns after [`LEAVE_TIME`].
    async fn leave_on_sigterm(&self) {
        const SIGTERM: i32 = 15;
        let _ = compio::signal::unix::signal(SIGTERM).await;
        self.leaving.set(true);
        compio::time::sleep(LEAVE_TIME).await;
    }

    /// Runs a call to its end, even if its caller disconnects.
    async fn run(self: Rc<Self>, key: String) -> Response<Body> {
        let service = Rc::clone(&self);
        let task = compio::runtime::spawn(async move {
            compio::time::sleep(service.delay).await;
            let mut runs_by_key = service.runs.borrow_mut();
            let runs = runs_by_key.entry(key.clone()).or_default();
            *runs += 1;
            (key, *runs)
        });
        let (result_sender, result) = async_channel::bounded(1);
        compio::runtime::spawn(async move {
            let _ = result_sender.send(task.await).await;
        })
        .detach();
        let Ok(Ok((key, runs))) = result.recv().await else {
            return response_with(StatusCode::INTERNAL_SERVER_ERROR, Body::default());
        };
        if 0 < self.answers_to_drop.get() {
            self.answers_to_drop.set(self.answers_to_drop.get() - 1);
            return truncated_response();
        }
        let repeats = self.refusals_to_repeat.get();
        if 0 < repeats {
            self.refusals_to_repeat.set(repeats - 1);
            return earlier_refusal(repeats);
        }
        self.outcome_response(key, runs)
    }

    fn outcome(&self, key: &str) -> Response<Body> {
        match self.runs.borrow().get(key) {
            Some(runs) => self.outcome_response(key.to_owned(), *runs),
            None => text_response(StatusCode::NOT_FOUND, "never seen"),
        }
    }

    fn outcome_response(&self, key: String, runs: u32) -> Response<Body> {
        let service = self.name.clone();
        let outcome = Outcome { service, key, runs };
        let json = serde_json::to_vec(&outcome).unwrap_or_default();
        let mut response = response_with(StatusCode::OK, Body::whole(json));
        let json = http::HeaderValue::from_static("application/json");
        response.headers_mut().insert("content-type", json);
        response
    }

    fn all_runs_response(&self) -> Response<Body> {
        let json = serde_json::to_vec(&*self.runs.borrow()).unwrap_or_default();
        response_with(StatusCode::OK, Body::whole(json))
    }
}

/// A response that ends before its content length, so that the connection breaks.
fn truncated_response() -> Response<Body> {
    let (_, body) = Body::stream();
    let mut response = response_with(StatusCode::OK, body);
    let length = http::HeaderValue::from_static("1000");
    response.headers_mut().insert("content-length", length);
    response
}
