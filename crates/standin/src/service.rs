//! One process of a plain service, such as stock checks or orders.
//!
//! It counts what it runs for each key, so that tests can tell whether anything
//! ran twice. It takes no care of its own against running twice.

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
use hyper::body::Incoming;
use serde::Serialize;

use crate::Place;
use crate::announce::announce;
use crate::announce::new_incarnation;
use crate::head::is_trusted;
use base::CentreId;
use base::ServiceName;
use base::ServiceReport;
use net::Body;
use net::RpcClient;
use net::Server;
use net::ServerLimits;
use net::read_body;
use wire::upstream::AnnounceService;

const BODY_BYTES: usize = 1024 * 1024;
const BODY_TIME: Duration = Duration::from_secs(10);

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
        help = "run this many calls, but drop the link before the answer",
        default = "0"
    )]
    drop_answers: u32,
}

#[derive(Debug)]
struct Service {
    name: ServiceName,
    delay: Duration,
    drops: Cell<u32>,
    runs: RefCell<BTreeMap<String, u32>>,
    leaving: Cell<bool>,
    secret: String,
}

/// What a call gives.
#[derive(Debug, Serialize)]
struct Outcome {
    service: ServiceName,
    key: String,
    /// How often this key has run.
    runs: u32,
}

pub(crate) async fn run(args: ServiceArgs) -> io::Result<()> {
    let place = Place::read(args.listen, &args.entry, &args.secret_file)?;
    let name = args
        .name
        .ok_or_else(|| io::Error::other("--name is missing"))?;
    let service = Rc::new(Service {
        name: name.clone(),
        delay: Duration::from_millis(args.delay_ms),
        drops: Cell::new(args.drop_answers),
        runs: RefCell::default(),
        leaving: Cell::new(false),
        secret: place.secret.clone(),
    });
    let handled = Rc::clone(&service);
    let server = Server::bind(place.listen, ServerLimits::default(), move |req| {
        handle(Rc::clone(&handled), req)
    })
    .await?;
    println!("service {name} listens on {}", server.addr());
    let incarnation = new_incarnation();
    let addr = server.addr();
    let client = RpcClient::new(place.secret.clone()).map_err(io::Error::other)?;
    let reporter = Rc::clone(&service);
    let announcing = announce(client, place.entries.clone(), move |sequence| {
        AnnounceService {
            report: ServiceReport {
                service: reporter.name.clone(),
                incarnation,
                sequence,
                centre: args.centre,
                addr,
                leaving: reporter.leaving.get(),
            },
        }
    });
    compio::runtime::spawn(announcing).detach();
    const SIGTERM: i32 = 15;
    let _ = compio::signal::unix::signal(SIGTERM).await;
    service.leaving.set(true);
    compio::time::sleep(Duration::from_secs(1)).await;
    Ok(())
}

async fn handle(service: Rc<Service>, req: Request<Incoming>) -> Response<Body> {
    let (head, body) = req.into_parts();
    let path = head.uri.path();
    if path == "/runs" {
        // Open to tests, which hold no secret.
        return service.all_runs();
    }
    if !is_trusted(&head.headers, &service.secret) {
        return untrusted();
    }
    let key = head.headers.get("idempotency-key");
    let key = key
        .and_then(|key| key.to_str().ok())
        .unwrap_or("-")
        .to_owned();
    if read_body(body, BODY_BYTES, BODY_TIME).await.is_err() {
        return answer(
            StatusCode::BAD_REQUEST,
            Body::whole("the body cannot be read"),
        );
    }
    match path {
        "/outcome" => service.outcome(&key),
        _ => service.run(key).await,
    }
}

impl Service {
    /// Runs a call to its end, even if its caller goes away.
    async fn run(self: Rc<Self>, key: String) -> Response<Body> {
        let service = Rc::clone(&self);
        let running = compio::runtime::spawn(async move {
            compio::time::sleep(service.delay).await;
            let mut all = service.runs.borrow_mut();
            let runs = all.entry(key.clone()).or_default();
            *runs += 1;
            (key, *runs)
        });
        let (done, finished) = async_channel::bounded(1);
        compio::runtime::spawn(async move {
            let _ = done.send(running.await).await;
        })
        .detach();
        let Ok(Ok((key, runs))) = finished.recv().await else {
            return answer(StatusCode::INTERNAL_SERVER_ERROR, Body::default());
        };
        if 0 < self.drops.get() {
            self.drops.set(self.drops.get() - 1);
            return broken_answer();
        }
        self.answer_for(key, runs)
    }

    fn outcome(&self, key: &str) -> Response<Body> {
        match self.runs.borrow().get(key) {
            Some(runs) => self.answer_for(key.to_owned(), *runs),
            None => answer(StatusCode::NOT_FOUND, Body::whole("never seen")),
        }
    }

    fn answer_for(&self, key: String, runs: u32) -> Response<Body> {
        let service = self.name.clone();
        let outcome = Outcome { service, key, runs };
        let json = serde_json::to_vec(&outcome).unwrap_or_default();
        let mut response = answer(StatusCode::OK, Body::whole(json));
        let json = http::HeaderValue::from_static("application/json");
        response.headers_mut().insert("content-type", json);
        response
    }

    fn all_runs(&self) -> Response<Body> {
        let json = serde_json::to_vec(&*self.runs.borrow()).unwrap_or_default();
        answer(StatusCode::OK, Body::whole(json))
    }
}

/// An answer that ends before its stated length, so that its link breaks.
fn broken_answer() -> Response<Body> {
    let (_, body) = Body::stream();
    let mut response = answer(StatusCode::OK, body);
    let length = http::HeaderValue::from_static("1000");
    response.headers_mut().insert("content-length", length);
    response
}

/// Refuses who doesn't name itself, and says that nothing ran.
fn untrusted() -> Response<Body> {
    let what = "the upstreams' secret is missing";
    let mut response = answer(StatusCode::UNAUTHORIZED, Body::whole(what));
    let not_run = http::HeaderValue::from_static("not-run");
    response.headers_mut().insert("x-ran", not_run);
    response
}

fn answer(status: StatusCode, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
