//! Starts the roles of a process, waits for a termination signal, and shuts them down in order.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{Actor, Addr};
use actix_web::dev::{Server, ServerHandle};
use kingcuplift_core::{Event, logger};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::cli::Arguments;
use crate::credentials;
use crate::error::StartError;
use crate::link::{Endpoint, Security};
use crate::listener::Listener;
use crate::metrics;
use crate::node::{self, NodeActor, NodeShared};
use crate::options::{NodeOptions, Options, RelayOptions, SourceOptions};
use crate::relay::{self, RelayActor};
use crate::source::{self, SourceActor, TransferLeadership};

/// Fraction of the shutdown timeout between the notification of callers and that of other nodes.
const CALLER_NOTICE_FRACTION: f64 = 0.42;
/// Maximum time between these notifications.
const MAX_CALLER_NOTICE: Duration = Duration::from_millis(2_500);
/// Maximum time between the notification of other nodes and the closing of connections.
const NODE_NOTICE_PERIOD: Duration = Duration::from_millis(350);
/// Interval of the checks for a changed settings file.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Interval of the checks whether all calls have finished.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for a management server to finish its responses.
const SERVER_STOP_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of `SIGXFSZ` on Linux.
const FILE_SIZE_SIGNAL: i32 = 25;
/// Time for another member to take over leadership.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_millis(300);

/// Roles, endpoints and servers that run in this process.
#[derive(Debug, Default)]
struct RunningProcess {
    endpoints: Vec<Endpoint>,
    servers: Vec<ServerHandle>,
    source: Option<Addr<SourceActor>>,
    relay: Option<Addr<RelayActor>>,
    node: Option<RunningNode>,
}

/// The node role of this process.
#[derive(Debug)]
struct RunningNode {
    actor: Addr<NodeActor>,
    shared: Arc<NodeShared>,
    shutdown_timeout: Duration,
}

/// Validates the settings and runs the process until a termination signal arrives.
pub fn run(arguments: &Arguments) -> Result<(), StartError> {
    let options = Options::read(&arguments.settings)?;
    if arguments.check {
        println!("{}: the settings are valid", arguments.settings.display());
        return Ok(());
    }
    logger::install(options.log_format, options.log_level);
    let outcome = actix::System::new().block_on(serve(options, &arguments.settings));
    if let Err(error) = &outcome {
        Event::StartFailed.emit(&[("reason", error)]);
    }
    logger::flush();
    outcome
}

async fn serve(options: Options, path: &Path) -> Result<(), StartError> {
    // Installed first: by default, a signal that arrives while the roles start would kill the process.
    let signals = Signals::install().map_err(StartError::Signals)?;
    let credentials = credentials::load(&options)?;
    let mut running = RunningProcess::default();
    if let Some(source) = &options.source {
        running.start_source(&options, source.clone(), &credentials)?;
    }
    if let Some(relay) = &options.relay {
        running.start_relay(&options, relay, &credentials)?;
    }
    if let Some(node) = &options.node {
        running.start_node(&options, node, &credentials)?;
    }
    actix::spawn(credentials::watch(options.keys.clone(), running.endpoints.clone()));
    Event::ProcessStarted.emit(&[("process", &options.name), ("zone", &options.zone)]);
    run_until_signal(&running, signals, path, &options).await;
    Event::ProcessStopping.emit(&[("process", &options.name)]);
    running.shut_down().await;
    Event::ProcessStopped.emit(&[("process", &options.name)]);
    Ok(())
}

impl RunningProcess {
    fn start_source(
        &mut self,
        options: &Options,
        source: SourceOptions,
        credentials: &Security,
    ) -> Result<(), StartError> {
        let endpoint = self.bind(source.listen, credentials)?;
        // While a site starts for the first time, operators have no other member to turn to.
        let listener = match source.is_first_start {
            true => Listener::open(source.http)?,
            false => Listener::new(source.http),
        };
        let actor = SourceActor::open(source, options.name.clone(), endpoint.clone())?.start();
        actix::spawn(source::accept_links(endpoint, actor.clone()));
        self.serve(source::serve_http(listener, actor.clone())?);
        self.source = Some(actor);
        Ok(())
    }

    fn start_relay(
        &mut self,
        options: &Options,
        relay: &RelayOptions,
        credentials: &Security,
    ) -> Result<(), StartError> {
        let endpoint = self.bind(relay.listen, credentials)?;
        let (name, zone) = (options.name.clone(), options.zone.clone());
        let actor = RelayActor::new(
            name,
            zone,
            endpoint.clone(),
            relay.sources.clone(),
            metrics::register_control_link(),
        );
        if let Some(source) = &self.source {
            source.do_send(source::AttachLocalRelay(actor.addresses()));
        }
        let actor = actor.start();
        actix::spawn(relay::accept_nodes(endpoint, actor.clone()));
        self.serve(relay::serve_http(relay.http, actor.clone())?);
        self.relay = Some(actor);
        Ok(())
    }

    fn start_node(
        &mut self,
        options: &Options,
        node: &NodeOptions,
        credentials: &Security,
    ) -> Result<(), StartError> {
        let any_port = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
        let endpoint = self.bind(any_port, credentials)?;
        let shared = NodeShared::new(options.name.clone(), options.zone.clone());
        let (headers, service) = (node.headers.clone(), node.service.clone());
        let shared = shared.with_settings(headers, node.retries, node.warmup, service);
        let shared = shared.with_load_sharing(node.load_sharing);
        let shared = Arc::new(shared.with_link_rate(node.link_rate));
        let actor = NodeActor::new(
            Arc::clone(&shared),
            node.advertise.to_string(),
            node.services.clone(),
            endpoint,
            node.relays.clone(),
            metrics::register_control_link(),
        )
        .with_target(node.target)
        .start();
        node::serve_peers(node.peers, node.threads, &shared)?;
        node::serve_callers(node.callers, node.threads, &shared)?;
        let addresses: Vec<SocketAddr> =
            std::iter::once(node.admin).chain(node.ready).chain(node.metrics).collect();
        self.serve(node::serve_admin(&addresses, actor.clone())?);
        self.node = Some(RunningNode { actor, shared, shutdown_timeout: node.shutdown_timeout });
        Ok(())
    }

    /// Binds an endpoint whose credentials are replaced when the certificate files change.
    fn bind(
        &mut self,
        address: SocketAddr,
        credentials: &Security,
    ) -> Result<Endpoint, StartError> {
        let endpoint = Endpoint::bind(address, credentials)?;
        self.endpoints.push(endpoint.clone());
        Ok(endpoint)
    }

    /// Runs a server in the background and keeps its handle for the shutdown.
    fn serve(&mut self, server: Server) {
        self.servers.push(server.handle());
        actix::spawn(server);
    }

    /// Transfers leadership, drains the node and stops the servers.
    async fn shut_down(self) {
        if let Some(source) = &self.source {
            let _ = source.send(TransferLeadership).await;
            tokio::time::sleep(LEADERSHIP_TRANSFER_TIMEOUT).await;
        }
        if let Some(node) = &self.node {
            node.shut_down().await;
        }
        for server in &self.servers {
            // A graceful stop waits for idle connections, which may stay open indefinitely.
            if tokio::time::timeout(SERVER_STOP_TIMEOUT, server.stop(true)).await.is_err() {
                log::debug!("a management server did not stop within {SERVER_STOP_TIMEOUT:?}");
            }
        }
    }
}

impl RunningNode {
    /// Directs callers to other nodes, refuses calls that would not finish in time, and waits until the responses to the
    /// others have been written.
    async fn shut_down(&self) {
        let deadline = Instant::now() + self.shutdown_timeout;
        self.shared.begin_shutdown(deadline);
        let notice = self.shutdown_timeout.mul_f64(CALLER_NOTICE_FRACTION);
        tokio::time::sleep(notice.min(MAX_CALLER_NOTICE)).await;
        if self.actor.send(node::Drain).await.is_err() {
            log::warn!("the node's actor ended before the shutdown");
        }
        tokio::time::sleep(NODE_NOTICE_PERIOD.min(self.shutdown_timeout / 10)).await;
        self.shared.close();
        Event::CallsDraining.emit(&[("calls", &self.shared.in_flight())]);
        while self.shared.open_responses() > 0 && Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let cut_off = self.shared.open_responses();
        if cut_off > 0 {
            Event::ResponsesCutOff.emit(&[("responses", &cut_off)]);
        }
    }
}

/// Signals that the process handles.
#[derive(Debug)]
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    /// Held so that a write beyond the limit on file sizes fails; by default, it would end the process.
    _file_size: Signal,
}

impl Signals {
    fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            _file_size: signal(SignalKind::from_raw(FILE_SIZE_SIGNAL))?,
        })
    }
}

/// Reloads changed settings until a termination signal arrives.
async fn run_until_signal(
    running: &RunningProcess,
    mut signals: Signals,
    path: &Path,
    options: &Options,
) {
    let mut text = std::fs::read_to_string(path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.hangup.recv() => running.reload(path, &mut text, options).await,
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) =>
                running.reload(path, &mut text, options).await,
        }
    }
}

impl RunningProcess {
    /// Applies the settings that may change at run time: addresses of other processes and the service of the target.
    ///
    /// Invalid settings are logged, and the old ones stay in use.
    async fn reload(&self, path: &Path, current_text: &mut String, options: &Options) {
        let text = match std::fs::read_to_string(path) {
            Ok(text) if text == *current_text => return,
            Ok(text) => text,
            Err(error) => return Event::SettingsRefused.emit(&[("reason", &error)]),
        };
        let changed = match Options::parse(&text) {
            Ok(changed) => changed,
            Err(faults) => return Event::SettingsRefused.emit(&[("reason", &faults)]),
        };
        *current_text = text;
        Event::SettingsReloaded.emit(&[("process", &options.name)]);
        let sent = [
            match (&self.source, changed.source) {
                (Some(source), Some(new)) => source.send(source::UpdateSeeds(new.seeds)).await,
                _ => Ok(()),
            },
            match (&self.relay, changed.relay) {
                (Some(relay), Some(new)) => relay.send(relay::UpdateSources(new.sources)).await,
                _ => Ok(()),
            },
            match (&self.node, changed.node) {
                (Some(node), Some(new)) => {
                    let settings = node::ApplySettings { relays: new.relays, service: new.service };
                    node.actor.send(settings).await
                }
                _ => Ok(()),
            },
        ];
        if sent.iter().any(Result::is_err) {
            log::error!("the actor of a role has ended and did not apply the changed settings");
        }
    }
}
