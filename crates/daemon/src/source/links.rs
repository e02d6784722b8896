//! Links of a source member: outgoing to other members, incoming from members and relays.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{Addr, Message};
use kingcuplift_core::Event;
use kingcuplift_keys::{Protocol, Role};
use kingcuplift_schema::quorum::Peer;
use tokio::sync::mpsc;

use crate::link::{AcceptedLink, Endpoint, LinkError, Reader, Writer, complete_handshake};
use crate::session::{self, HEARTBEAT_INTERVAL, HEARTBEAT_TIMEOUT};
use crate::source::SourceActor;

/// Minimum time between two sends to one relay.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(10);
/// Messages queued for one member; when the queue is full, further ones are dropped, as on a lossy network.
const SEND_QUEUE_CAPACITY: usize = 1_024;
/// Delay before reconnecting to a member.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A message from another member.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct PeerMessage(pub(crate) Box<Peer>);

/// Starts a task that sends to one member, and returns its queue.
///
/// A link is opened when there is something to send. The receiving member sends heartbeats back, which is the only way
/// for the sender to detect a dead link; it then reconnects, as a new link may work.
pub(crate) fn dial_member(endpoint: Endpoint, address: SocketAddr) -> mpsc::Sender<Box<Peer>> {
    let (sender, mut queue) = mpsc::channel(SEND_QUEUE_CAPACITY);
    actix::spawn(async move {
        while let Some(first) = queue.recv().await {
            match send_to_member(&endpoint, address, first, &mut queue).await {
                Ok(()) => return,
                Err(error) => log::debug!("link to member at {address} failed: {error}"),
            }
            while queue.try_recv().is_ok() {}
            tokio::time::sleep(RETRY_DELAY).await;
        }
    });
    sender
}

async fn send_to_member(
    endpoint: &Endpoint,
    address: SocketAddr,
    first: Box<Peer>,
    queue: &mut mpsc::Receiver<Box<Peer>>,
) -> Result<(), LinkError> {
    let connecting = endpoint.connect(address, Role::Source, Protocol::Peer);
    let mut link = tokio::time::timeout(endpoint.connect_timeout(), connecting)
        .await
        .map_err(|_elapsed| LinkError::Connection(quinn::ConnectionError::TimedOut))??;
    let (send, receive) = link.open_stream().await?;
    let mut writer: Writer<Peer> = Writer::new(send);
    writer.send(&first).await?;
    tokio::select! {
        outcome = write_all(writer, queue) => outcome,
        reason = receive_heartbeats(Reader::new(receive)) => Err(reason),
    }
}

async fn write_all(
    mut writer: Writer<Peer>,
    queue: &mut mpsc::Receiver<Box<Peer>>,
) -> Result<(), LinkError> {
    while let Some(message) = queue.recv().await {
        writer.send(&message).await?;
    }
    Ok(())
}

/// Receives heartbeats until the link fails or none arrives within the heartbeat timeout.
async fn receive_heartbeats(mut reader: Reader<Peer>) -> LinkError {
    loop {
        match tokio::time::timeout(HEARTBEAT_TIMEOUT, reader.receive()).await {
            Ok(Ok(_heartbeat)) => {}
            Ok(Err(error)) => return error,
            Err(_elapsed) => return LinkError::HeartbeatTimeout,
        }
    }
}

/// Accepts connections from members and relays until the endpoint is closed.
pub(crate) async fn accept_links(endpoint: Endpoint, actor: Addr<SourceActor>) {
    while let Some(incoming) = endpoint.accept().await {
        let actor = actor.clone();
        actix::spawn(async move {
            match complete_handshake(incoming).await {
                Ok(accepted) if accepted.protocol == Protocol::Peer => {
                    receive_from_member(accepted, actor).await;
                }
                Ok(accepted) => {
                    session::serve(accepted, Role::Relay, actor, MIN_PUSH_INTERVAL).await;
                }
                Err(error) => Event::LinkRefused.emit(&[("reason", &error)]),
            }
        });
    }
}

async fn receive_from_member(mut accepted: AcceptedLink, actor: Addr<SourceActor>) {
    if !accepted.identity.roles.contains(&Role::Source) {
        Event::LinkRefused.emit(&[("peer", &accepted.identity.name), ("wanted", &Role::Source)]);
        return;
    }
    let Ok((send, receive)) = accepted.link.accept_stream().await else { return };
    tokio::select! {
        () = forward_messages(Reader::new(receive), actor) => {}
        error = send_heartbeats(Writer::new(send)) => log::debug!("member link ended: {error}"),
    }
}

/// Forwards messages to the actor until the link ends.
async fn forward_messages(mut reader: Reader<Peer>, actor: Addr<SourceActor>) {
    while let Ok(message) = reader.receive().await {
        if actor.send(PeerMessage(Box::new(message))).await.is_err() {
            return;
        }
    }
}

/// Sends heartbeats, so that the sending member detects a dead link.
async fn send_heartbeats(mut writer: Writer<Peer>) -> LinkError {
    loop {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        if let Err(error) = writer.send(&Peer::default()).await {
            return error;
        }
    }
}
