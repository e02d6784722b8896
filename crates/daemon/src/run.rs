//! Starts the roles of a process, waits for the signal to stop, and stops them in order.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::{Actor, Addr};
use actix_web::dev::{Server, ServerHandle};
use kingcuplift_core::{Event, logger};
use tokio::signal::unix::{SignalKind, signal};

use crate::cli::Arguments;
use crate::credentials;
use crate::error::StartError;
use crate::link::{Endpoint, Security};
use crate::metrics;
use crate::node::{self, NodeActor, NodeShared};
use crate::options::{NodeOptions, Options, RelayOptions, SourceOptions};
use crate::relay::{self, RelayActor};
use crate::source::{self, HandOver, SourceActor};

/// Time for which other nodes hear of a stop before new calls are refused.
const LEAVE_NOTICE: Duration = Duration::from_millis(1_500);
/// Time between looks whether all calls have ended.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Time for a successor to take over leadership.
const HAND_OVER_LIMIT: Duration = Duration::from_millis(300);

/// Everything that runs in this process.
#[derive(Debug, Default)]
struct Running {
    endpoints: Vec<Endpoint>,
    servers: Vec<ServerHandle>,
    source: Option<Addr<SourceActor>>,
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
    let outcome = actix::System::new().block_on(serve(options));
    if let Err(error) = &outcome {
        Event::StartFailed.emit(&[("reason", error)]);
    }
    outcome
}

async fn serve(options: Options) -> Result<(), StartError> {
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
    wait_for_signal().await;
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
        )
        .start();
        actix::spawn(relay::accept_nodes(endpoint, actor.clone()));
        self.serve(relay::serve_http(relay.http, actor)?);
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
        let shared = Arc::new(shared.with_rules(headers, node.repeats, service));
        let actor = NodeActor::new(
            Arc::clone(&shared),
            node.peers.to_string(),
            node.services.clone(),
            endpoint,
            node.relays.clone(),
            metrics::control_link(),
        )
        .start();
        node::serve_peers(node.peers, node.threads, &shared)?;
        node::serve_callers(node.callers, node.threads, &shared)?;
        self.serve(node::serve_admin(node.admin, node.ready, actor.clone())?);
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
            let _ = source.send(HandOver).await;
            tokio::time::sleep(HAND_OVER_LIMIT).await;
        }
        if let Some(node) = &self.node {
            node.stop().await;
        }
        for server in &self.servers {
            server.stop(true).await;
        }
    }
}

impl RunningNode {
    /// Sends callers elsewhere, then refuses calls from other nodes, then waits for those in flight.
    async fn stop(&self) {
        let began = Instant::now();
        self.shared.begin_stop();
        if self.actor.send(node::Drain).await.is_err() {
            log::warn!("the node's actor ended before the stop");
        }
        tokio::time::sleep(LEAVE_NOTICE.min(self.stop / 3)).await;
        self.shared.close();
        Event::CallsDraining.emit(&[("calls", &self.shared.in_flight())]);
        while self.shared.in_flight() > 0 && began.elapsed() < self.stop {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        // Connections write what is left of their last answers.
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

async fn wait_for_signal() {
    let (terminate, interrupt) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()));
    match (terminate, interrupt) {
        (Ok(mut terminate), Ok(mut interrupt)) => {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        }
        _ => std::future::pending().await,
    }
}
