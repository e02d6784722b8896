//! Starts the roles of a process, waits for the signal to stop, and stops them in order.

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
use crate::metrics;
use crate::node::{self, NodeActor, NodeShared};
use crate::options::{NodeOptions, Options, RelayOptions, SourceOptions};
use crate::relay::{self, RelayActor};
use crate::source::{self, SourceActor, TransferLeadership};

/// Part of a stop's time in which callers hear of it before other nodes do.
const CALLER_NOTICE: f64 = 0.42;
/// Time for which other nodes hear of a stop before connections end.
const NODE_NOTICE: Duration = Duration::from_millis(350);
/// Time between looks at the settings file.
const SETTINGS_POLL: Duration = Duration::from_secs(2);
/// Time between looks whether all calls have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time for an interface for control to finish its answers.
const SERVER_STOP_LIMIT: Duration = Duration::from_millis(400);
/// Time for a successor to take over leadership.
const HAND_OVER_LIMIT: Duration = Duration::from_millis(300);

/// Everything that runs in this process.
#[derive(Debug, Default)]
struct Running {
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
    /// Time for a stop.
    stop: Duration,
}

/// Checks the settings and runs the process until it is told to stop.
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
    // A signal that comes while the roles start must not end the process by default.
    let signals = Signals::listen().map_err(StartError::Signals)?;
    let credentials = credentials::load(&options)?;
    let mut running = Running::default();
    if let Some(source) = &options.source {
        running.start_source(&options, source.clone(), &credentials)?;
    }
    if let Some(relay) = &options.relay {
        running.start_relay(&options, relay, &credentials)?;
    }
    if let Some(node) = &options.node {
        running.start_node(&options, node, &credentials)?;
    }
    actix::spawn(credentials::follow(options.keys.clone(), running.endpoints.clone()));
    Event::ProcessStarted.emit(&[("process", &options.name), ("zone", &options.zone)]);
    wait_for_stop(&running, signals, path, &options).await;
    Event::ProcessStopping.emit(&[("process", &options.name)]);
    running.stop().await;
    Event::ProcessStopped.emit(&[("process", &options.name)]);
    Ok(())
}

impl Running {
    fn start_source(
        &mut self,
        options: &Options,
        source: SourceOptions,
        credentials: &Security,
    ) -> Result<(), StartError> {
        let endpoint = self.bind(source.listen, credentials)?;
        let http = source.http;
        let actor = SourceActor::open(source, options.name.clone(), endpoint.clone())?.start();
        actix::spawn(source::accept_links(endpoint, actor.clone()));
        self.serve(source::serve_http(http, actor.clone())?);
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
            metrics::control_link(),
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
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
        let endpoint = self.bind(any, credentials)?;
        let shared = NodeShared::new(options.name.clone(), options.zone.clone());
        let (headers, service) = (node.headers.clone(), node.service.clone());
        let shared = Arc::new(shared.with_settings(headers, node.repeats, service));
        let actor = NodeActor::new(
            Arc::clone(&shared),
            node.advertise.to_string(),
            node.services.clone(),
            endpoint,
            node.relays.clone(),
            metrics::control_link(),
        )
        .with_target(node.target)
        .start();
        node::serve_peers(node.peers, node.threads, &shared)?;
        node::serve_callers(node.callers, node.threads, &shared)?;
        let addresses: Vec<SocketAddr> =
            std::iter::once(node.admin).chain(node.ready).chain(node.metrics).collect();
        self.serve(node::serve_admin(&addresses, actor.clone())?);
        self.node = Some(RunningNode { actor, shared, stop: node.stop });
        Ok(())
    }

    /// Opens an endpoint whose credentials are renewed with the certificate files.
    fn bind(
        &mut self,
        address: SocketAddr,
        credentials: &Security,
    ) -> Result<Endpoint, StartError> {
        let endpoint = Endpoint::bind(address, credentials)?;
        self.endpoints.push(endpoint.clone());
        Ok(endpoint)
    }

    /// Lets a server run and keeps the handle to stop it.
    fn serve(&mut self, server: Server) {
        self.servers.push(server.handle());
        actix::spawn(server);
    }

    /// Ends new work, lets what is in flight finish, then stops.
    async fn stop(self) {
        if let Some(source) = &self.source {
            let _ = source.send(TransferLeadership).await;
            tokio::time::sleep(HAND_OVER_LIMIT).await;
        }
        if let Some(node) = &self.node {
            node.stop().await;
        }
        for server in &self.servers {
            // An idle connection may outlive any patience.
            if tokio::time::timeout(SERVER_STOP_LIMIT, server.stop(true)).await.is_err() {
                log::debug!("an interface for control did not end in {SERVER_STOP_LIMIT:?}");
            }
        }
    }
}

impl RunningNode {
    /// Sends callers elsewhere, serves what ends in time, then waits for what is in flight.
    async fn stop(&self) {
        let until = Instant::now() + self.stop;
        self.shared.begin_stop(until);
        tokio::time::sleep(self.stop.mul_f64(CALLER_NOTICE)).await;
        if self.actor.send(node::Drain).await.is_err() {
            log::warn!("the node's actor ended before the stop");
        }
        tokio::time::sleep(NODE_NOTICE.min(self.stop / 10)).await;
        self.shared.close();
        Event::CallsDraining.emit(&[("calls", &self.shared.in_flight())]);
        while self.shared.in_flight() > 0 && Instant::now() < until {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        // Connections write what is left of their last answers.
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

/// Signals that the process follows.
#[derive(Debug)]
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn listen() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Waits for the signal to stop; follows the settings file until then.
async fn wait_for_stop(running: &Running, mut signals: Signals, path: &Path, options: &Options) {
    let mut text = std::fs::read_to_string(path).unwrap_or_default();
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => return,
            _ = signals.interrupt.recv() => return,
            _ = signals.hangup.recv() => running.reload(path, &mut text, options).await,
            () = tokio::time::sleep(SETTINGS_POLL) => running.reload(path, &mut text, options).await,
        }
    }
}

impl Running {
    /// Takes over what may change while the process runs: addresses of others, and the target's service.
    ///
    /// Faulty settings are reported and the old ones stay in use.
    async fn reload(&self, path: &Path, held: &mut String, options: &Options) {
        let text = match std::fs::read_to_string(path) {
            Ok(text) if text == *held => return,
            Ok(text) => text,
            Err(error) => return Event::SettingsRefused.emit(&[("reason", &error)]),
        };
        let changed = match Options::parse(&text) {
            Ok(changed) => changed,
            Err(faults) => return Event::SettingsRefused.emit(&[("reason", &faults)]),
        };
        *held = text;
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
            log::error!("a role has ended and did not take over the changed settings");
        }
    }
}
