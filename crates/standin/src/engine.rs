//! A simulated host of a model engine.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use gumdrop::Options;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;

use crate::Config;
use crate::announce::announce_host;
use crate::announce::new_incarnation;
use crate::batch::Batch;
use crate::batch::BatchConfig;
use crate::batch::RequestKey;
use crate::completion::start_completion;
use crate::fault::Endless;
use crate::fault::Faults;
use crate::fault::ForeignFrameCounter;
use crate::group::Group;
use crate::head::has_secret;
use crate::head::parse_header;
use crate::response::refusal;
use crate::response::text_response;
use base::Assignment;
use base::CentreId;
use base::DomainId;
use base::Duty;
use base::Fence;
use base::Fencing;
use base::HostId;
use base::HostReport;
use base::Incarnation;
use base::Load;
use base::TokenRate;
use net::Body;
use net::Inbound;
use net::RpcClient;
use net::RpcMethods;
use net::Server;
use net::ServerLimits;
use net::read_request;
use wire::engine::AskDuty;
use wire::engine::EngineOrder;
use wire::engine::FENCE_HEADER;
use wire::engine::REPLICA_HEADER;
use wire::upstream::ANNOUNCE_INTERVAL;

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of a simulated host of a model engine.
#[derive(Debug, Options)]
pub(crate) struct EngineArgs {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "id of the host, such as h1")]
    host: HostId,
    #[options(required, help = "its data centre, such as dc1")]
    centre: CentreId,
    #[options(required, help = "its fabric domain, such as f1")]
    domain: DomainId,
    #[options(help = "address to listen on, any free port of loopback by default")]
    listen: Option<SocketAddr>,
    #[options(help = "internal address of an entry node; may be repeated")]
    entry: Vec<SocketAddr>,
    #[options(required, help = "file with the upstreams' secret")]
    secret_file: String,
    #[options(no_short, help = "refuse orders with an old fencing number")]
    check_fences: bool,
    #[options(no_short, help = "number of requests that run at once", default = "16")]
    slots: u32,
    #[options(no_short, help = "milliseconds between two tokens", default = "20")]
    step_ms: u64,
    #[options(no_short, help = "prompt tokens prefilled a second", default = "20000")]
    prefill: f64,
    #[options(no_short, help = "milliseconds to load a model", default = "200")]
    load_ms: u64,
    #[options(
        no_short,
        help = "milliseconds by which load reports lag",
        default = "500"
    )]
    lag_ms: u64,
    #[options(no_short, help = "drop each new stream after so many tokens")]
    cut_after: Option<u32>,
    #[options(no_short, help = "send each frame of a token twice")]
    repeat_frames: bool,
    #[options(no_short, help = "send frames of another request in between")]
    foreign_frames: bool,
    #[options(no_short, help = "leave out the end marker")]
    no_end: bool,
    #[options(
        no_short,
        help = "answer each request with the refusal of an earlier one"
    )]
    earlier_refusals: bool,
    #[options(no_short, help = "turn each request away and ask for rest, in seconds")]
    rest_secs: Option<u32>,
    #[options(
        no_short,
        help = "send text, comments, repeats or tokens without end after a token"
    )]
    endless: Option<Endless>,
}

impl EngineArgs {
    fn faults(&self) -> Faults {
        Faults {
            cut_after: self.cut_after,
            repeat_frames: self.repeat_frames,
            foreign_frames: self.foreign_frames,
            no_end: self.no_end,
            earlier_refusals: self.earlier_refusals,
            rest_secs: self.rest_secs,
            endless: self.endless,
        }
    }
}

/// The state of a simulated host of a model engine.
#[derive(Debug)]
pub(crate) struct Engine {
    group: Rc<RefCell<Group>>,
    client: RpcClient,
    pub(crate) batch: RefCell<Batch>,
    /// For each request in the batch, the channel that gets a message per generated token.
    pub(crate) token_senders: RefCell<BTreeMap<RequestKey, Sender<()>>>,
    reported_load: RefCell<Load>,
    leaving: Cell<bool>,
    incarnation: Incarnation,
    secret: String,
    pub(crate) faults: Faults,
    pub(crate) foreign_frames: ForeignFrameCounter,
}

pub(crate) async fn run(args: EngineArgs) -> io::Result<()> {
    let config = Config::read(args.listen, &args.entry, &args.secret_file)?;
    let engine = Rc::new(Engine::new(&args, &config)?);
    let methods = RpcMethods::new(Rc::clone(&engine))
        .register(|engine: Rc<Engine>, order: EngineOrder| async move {
            Ok(Group::handle_order(&engine.group, &engine.client, order))
        })
        .register(|engine: Rc<Engine>, _: AskDuty| async move {
            Ok(engine.group.borrow().duty.clone())
        });
    let methods = Rc::new(methods);
    let handler_engine = Rc::clone(&engine);
    let server = Server::bind(config.listen, ServerLimits::default(), move |req| {
        handle(Rc::clone(&handler_engine), Rc::clone(&methods), req)
    })
    .await?;
    println!("host {} listens on {}", args.host, server.addr());
    compio::runtime::spawn(Rc::clone(&engine).run_batch(args.step_ms)).detach();
    compio::runtime::spawn(Rc::clone(&engine).delay_load_reports(args.lag_ms)).detach();
    let report_engine = Rc::clone(&engine);
    let addr = server.addr();
    let announcing = announce_host(engine.client.clone(), config.clone(), move |sequence| {
        report_engine.report(&args, addr, sequence)
    });
    compio::runtime::spawn(announcing).detach();
    engine.leave_on_sigterm().await;
    Ok(())
}

impl Engine {
    fn new(args: &EngineArgs, config: &Config) -> io::Result<Self> {
        let fencing = match args.check_fences {
            true => Fencing::Checked,
            false => Fencing::Ignored,
        };
        let group = Group {
            host: args.host,
            fencing,
            fence: Fence(0),
            duty: Duty::Idle,
            is_complete: true,
            load_time: Duration::from_millis(args.load_ms),
        };
        let batch = Batch::new(BatchConfig {
            slots: args.slots,
            step: Duration::from_millis(args.step_ms),
            prefill: TokenRate(args.prefill),
        });
        let reported_load = batch.load();
        Ok(Self {
            group: Rc::new(RefCell::new(group)),
            client: RpcClient::new(config.secret.clone()).map_err(io::Error::other)?,
            batch: RefCell::new(batch),
            token_senders: RefCell::default(),
            reported_load: RefCell::new(reported_load),
            leaving: Cell::new(false),
            incarnation: new_incarnation(),
            secret: config.secret.clone(),
            faults: args.faults(),
            foreign_frames: ForeignFrameCounter::default(),
        })
    }

    fn report(&self, args: &EngineArgs, addr: SocketAddr, sequence: u64) -> HostReport {
        let group = self.group.borrow();
        HostReport {
            host: args.host,
            incarnation: self.incarnation,
            sequence,
            centre: args.centre,
            domain: args.domain,
            addr,
            fencing: group.fencing,
            fence: group.fence,
            duty: group.duty.clone(),
            load: self.reported_load.borrow().clone(),
            leaving: self.leaving.get(),
        }
    }

    /// Runs a step of the batch every `step_ms` milliseconds.
    async fn run_batch(self: Rc<Self>, step_ms: u64) {
        let mut ticks = compio::time::interval(Duration::from_millis(step_ms));
        loop {
            ticks.tick().await;
            for key in self.batch.borrow_mut().run_step() {
                if let Some(tx) = self.token_senders.borrow().get(&key) {
                    let _ = tx.try_send(());
                }
            }
        }
    }

    /// Updates the reported load, which lags `lag_ms` milliseconds behind the batch.
    async fn delay_load_reports(self: Rc<Self>, lag_ms: u64) {
        loop {
            let load = self.batch.borrow().load();
            compio::time::sleep(Duration::from_millis(lag_ms.max(10))).await;
            self.reported_load.replace(load);
        }
    }

    /// On SIGTERM announces that the host leaves, and returns once its requests are finished.
    async fn leave_on_sigterm(&self) {
        const SIGTERM: i32 = 15;
        let _ = compio::signal::unix::signal(SIGTERM).await;
        self.leaving.set(true);
        compio::time::sleep(ANNOUNCE_INTERVAL + ANNOUNCE_INTERVAL / 2).await;
        while !self.token_senders.borrow().is_empty() {
            compio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The assignment that a request names, if this is the first host of its ready replica.
    pub(crate) fn requested_assignment(&self, headers: &HeaderMap) -> Option<Assignment> {
        let group = self.group.borrow();
        let Duty::Ready(assignment) = &group.duty else {
            return None;
        };
        let replica = parse_header(headers, REPLICA_HEADER);
        let fence = parse_header(headers, FENCE_HEADER);
        let is_first = assignment.hosts.first() == Some(&group.host);
        let matches = replica == Some(assignment.replica) && fence == Some(assignment.fence);
        (is_first && matches && group.is_complete).then(|| assignment.clone())
    }

    /// Whether the host still belongs to the replica of an assignment.
    pub(crate) fn still_serves(&self, assignment: &Assignment) -> bool {
        let group = self.group.borrow();
        group.is_complete && group.is_assigned(assignment)
    }
}

async fn handle(
    engine: Rc<Engine>,
    methods: Rc<RpcMethods<Engine>>,
    req: Request<Inbound>,
) -> Response<Body> {
    let (head, body) = req.into_parts();
    if !has_secret(&head.headers, &engine.secret) {
        let text = "the upstreams' secret is missing";
        return refusal(StatusCode::UNAUTHORIZED, text, &head.headers);
    }
    let Ok(body) = read_request(body, MAX_BODY_BYTES, BODY_TIMEOUT).await else {
        let text = "the body cannot be read";
        return refusal(StatusCode::BAD_REQUEST, text, &head.headers);
    };
    match head.uri.path() {
        "/rpc" => Response::new(Body::whole(methods.handle_request(&body).await)),
        "/v1/chat/completions" => start_completion(engine, &head.headers, &body),
        _ => text_response(StatusCode::NOT_FOUND, "no such path"),
    }
}
