//! Session with one downstream process: receives its reports and sends it updates.

use std::sync::Arc;
use std::time::Duration;

use actix::dev::ToEnvelope;
use actix::{Actor, Addr, Handler, Message};
use kingcuplift_core::Event;
use kingcuplift_keys::{ProcessIdentity, Role};
use kingcuplift_schema::control::{Downward, Hello, Redirect, Upward, downward, upward};
use tokio::sync::Notify;

use crate::fanout::SessionId;
use crate::link::{AcceptedLink, LinkError, Reader, Writer};

/// Interval of the heartbeats on a link.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a message after which a link is closed: more than three heartbeat intervals.
pub(crate) const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_400);
/// Time for a peer to close its link after a redirect.
const REDIRECT_CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Requests a session for a downstream process.
#[derive(Debug, Message)]
#[rtype(result = "Result<Joined, Redirect>")]
pub(crate) struct Join {
    /// Identity of the process, from its certificate or greeting.
    pub(crate) grant: ProcessIdentity,
    /// Version and subscription of the process.
    pub(crate) hello: Hello,
}

/// An accepted session.
#[derive(Debug)]
pub(crate) struct Joined {
    pub(crate) session: SessionId,
    pub(crate) wake: Arc<Notify>,
}

/// Requests everything that is pending for a downstream process.
#[derive(Debug, Message)]
#[rtype(result = "Option<Vec<Downward>>")]
pub(crate) struct Pull(pub(crate) SessionId);

/// Delivers a message from a downstream process.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct DownstreamMessage {
    pub(crate) session: SessionId,
    pub(crate) body: upward::Body,
}

/// Ends the session of a downstream process.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Leave(pub(crate) SessionId);

/// Serves a link until it ends, if the peer has `role`.
///
/// `interval` is the minimum time between two sends; changes within it are coalesced.
pub(crate) async fn serve<A>(accepted: AcceptedLink, role: Role, addr: Addr<A>, interval: Duration)
where
    A: Actor + Handler<Join> + Handler<Pull> + Handler<DownstreamMessage> + Handler<Leave>,
    A::Context: ToEnvelope<A, Join>
        + ToEnvelope<A, Pull>
        + ToEnvelope<A, DownstreamMessage>
        + ToEnvelope<A, Leave>,
{
    let peer = accepted.identity.name.clone();
    if !accepted.identity.roles.contains(&role) {
        Event::LinkRefused.emit(&[("peer", &peer), ("wanted", &role)]);
        return;
    }
    match serve_session(accepted, addr, interval).await {
        Ok(()) => Event::LinkClosed.emit(&[("peer", &peer)]),
        Err(error) => Event::LinkClosed.emit(&[("peer", &peer), ("reason", &error)]),
    }
}

async fn serve_session<A>(
    mut accepted: AcceptedLink,
    addr: Addr<A>,
    interval: Duration,
) -> Result<(), LinkError>
where
    A: Actor + Handler<Join> + Handler<Pull> + Handler<DownstreamMessage> + Handler<Leave>,
    A::Context: ToEnvelope<A, Join>
        + ToEnvelope<A, Pull>
        + ToEnvelope<A, DownstreamMessage>
        + ToEnvelope<A, Leave>,
{
    let (send, receive) = accepted.link.accept_stream().await?;
    let mut writer: Writer<Downward> = Writer::new(send);
    let mut reader: Reader<Upward> = Reader::new(receive);
    let Some(upward::Body::Hello(hello)) = reader.receive().await?.body else {
        return Err(LinkError::Ended);
    };
    let joined = addr.send(Join { grant: accepted.identity, hello }).await;
    let Joined { session, wake } = match joined {
        Ok(Ok(joined)) => joined,
        Ok(Err(redirect)) => {
            let body = Some(downward::Body::Redirect(redirect));
            writer.send(&Downward { body }).await?;
            // The peer closes the link once it has read the redirect.
            drop(tokio::time::timeout(REDIRECT_CLOSE_TIMEOUT, reader.receive()).await);
            return Ok(());
        }
        Err(_) => return Err(LinkError::Ended),
    };
    let outcome = tokio::select! {
        outcome = receive_all(&mut reader, session, &addr) => outcome,
        outcome = send_pending(&mut writer, session, &addr, &wake, interval) => outcome,
    };
    addr.do_send(Leave(session));
    outcome
}

async fn receive_all<A>(
    reader: &mut Reader<Upward>,
    session: SessionId,
    addr: &Addr<A>,
) -> Result<(), LinkError>
where
    A: Actor + Handler<DownstreamMessage>,
    A::Context: ToEnvelope<A, DownstreamMessage>,
{
    loop {
        let Some(body) = reader.receive().await?.body else { continue };
        if addr.send(DownstreamMessage { session, body }).await.is_err() {
            return Err(LinkError::Ended);
        }
    }
}

async fn send_pending<A>(
    writer: &mut Writer<Downward>,
    session: SessionId,
    addr: &Addr<A>,
    wake: &Notify,
    interval: Duration,
) -> Result<(), LinkError>
where
    A: Actor + Handler<Pull>,
    A::Context: ToEnvelope<A, Pull>,
{
    loop {
        wake.notified().await;
        let Ok(Some(messages)) = addr.send(Pull(session)).await else {
            return Ok(());
        };
        for message in &messages {
            writer.send(message).await?;
        }
        tokio::time::sleep(interval).await;
    }
}
