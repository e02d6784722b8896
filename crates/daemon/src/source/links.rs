//! Links of a source member: to the other members and from the relays.

use std::net::SocketAddr;
use std::time::Duration;

use actix::{Addr, Message};
use kingcuplift_core::Event;
use kingcuplift_keys::{Protocol, Role};
use kingcuplift_schema::quorum::Peer;
use tokio::sync::mpsc;

use crate::link::{Accepted, Endpoint, LinkError, Reader, Writer, complete};
use crate::session;
use crate::source::SourceActor;

/// Shortest time between two sends to one relay.
const PUSH_INTERVAL: Duration = Duration::from_millis(10);
/// Messages that wait to be sent to one member; more are dropped, as on a lossy network.
const QUEUE: usize = 1_024;
/// Time before the next attempt to connect to a member.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A message from another member.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct FromPeer(pub(crate) Box<Peer>);

/// Starts the sender to one member and returns its queue.
///
/// A link is opened when there is something to send.
pub(crate) fn dial_member(endpoint: Endpoint, address: SocketAddr) -> mpsc::Sender<Box<Peer>> {
    let (sender, mut queue) = mpsc::channel(QUEUE);
    actix::spawn(async move {
        while let Some(first) = queue.recv().await {
            match send_to_member(&endpoint, address, first, &mut queue).await {
                Ok(()) => return,
                Err(error) => log::debug!("link to member at {address}: {error}"),
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
    let mut link = tokio::time::timeout(endpoint.connect_limit(), connecting)
        .await
        .map_err(|_elapsed| LinkError::Connection(quinn::ConnectionError::TimedOut))??;
    let mut writer: Writer<Peer> = Writer::new(link.open_sending().await?);
    writer.send(&first).await?;
    loop {
        tokio::select! {
            message = queue.recv() => match message {
                Some(message) => writer.send(&message).await?,
                None => return Ok(()),
            },
            reason = link.closed() => return Err(reason),
        }
    }
}

/// Accepts connections of members and relays until the endpoint is closed.
pub(crate) async fn accept_links(endpoint: Endpoint, actor: Addr<SourceActor>) {
    while let Some(incoming) = endpoint.accept().await {
        let actor = actor.clone();
        actix::spawn(async move {
            match complete(incoming).await {
                Ok(accepted) if accepted.protocol == Protocol::Peer => {
                    read_member(accepted, actor).await;
                }
                Ok(accepted) => {
                    session::serve(accepted, Role::Relay, actor, PUSH_INTERVAL).await;
                }
                Err(error) => Event::LinkRefused.emit(&[("reason", &error)]),
            }
        });
    }
}

async fn read_member(mut accepted: Accepted, actor: Addr<SourceActor>) {
    if !accepted.grant.roles.contains(&Role::Source) {
        Event::LinkRefused.emit(&[("peer", &accepted.grant.name), ("wanted", &Role::Source)]);
        return;
    }
    let Ok(stream) = accepted.link.accept_receiving().await else { return };
    let mut reader: Reader<Peer> = Reader::new(stream);
    while let Ok(message) = reader.receive().await {
        if actor.send(FromPeer(Box::new(message))).await.is_err() {
            return;
        }
    }
}
