//! Serves one downstream process: reads what it reports and sends what it lacks.

use std::sync::Arc;
use std::time::Duration;

use actix::dev::ToEnvelope;
use actix::{Actor, Addr, Handler, Message};
use kingcuplift_core::Event;
use kingcuplift_keys::{ProcessIdentity, Role};
use kingcuplift_schema::control::{Downward, Hello, Redirect, Upward, downward, upward};
use tokio::sync::Notify;

use crate::fanout::SessionId;
use crate::link::{Accepted, LinkError, Reader, Writer};

/// Time between beats on a link.
pub(crate) const BEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Silence after which a link counts as lost; beats come more than three times as often.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(1_400);
/// Longest time for a peer to close a link after a redirect.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);

/// Asks to serve a downstream process.
#[derive(Debug, Message)]
#[rtype(result = "Result<Joined, Redirect>")]
pub(crate) struct Join {
    /// What its certificate grants.
    pub(crate) grant: ProcessIdentity,
    /// What it holds.
    pub(crate) hello: Hello,
}

/// An admitted downstream process.
#[derive(Debug)]
pub(crate) struct Joined {
    pub(crate) session: SessionId,
    pub(crate) wake: Arc<Notify>,
}

/// Asks for all that a downstream process has not been sent yet.
#[derive(Debug, Message)]
#[rtype(result = "Option<Vec<Downward>>")]
pub(crate) struct Pull(pub(crate) SessionId);

/// Hands over a message from a downstream process.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct FromBelow {
    pub(crate) session: SessionId,
    pub(crate) body: upward::Body,
}

/// Reports that a downstream process is gone.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Leave(pub(crate) SessionId);

/// Serves a connection until it ends.
///
/// `interval` is the shortest time between two sends; changes within it are coalesced.
pub(crate) async fn serve<A>(accepted: Accepted, role: Role, addr: Addr<A>, interval: Duration)
where
    A: Actor + Handler<Join> + Handler<Pull> + Handler<FromBelow> + Handler<Leave>,
    A::Context:
        ToEnvelope<A, Join> + ToEnvelope<A, Pull> + ToEnvelope<A, FromBelow> + ToEnvelope<A, Leave>,
{
    let peer = accepted.grant.name.clone();
    if !accepted.grant.roles.contains(&role) {
        Event::LinkRefused.emit(&[("peer", &peer), ("wanted", &role)]);
        return;
    }
    match serve_admitted(accepted, addr, interval).await {
        Ok(()) => Event::LinkClosed.emit(&[("peer", &peer)]),
        Err(error) => Event::LinkClosed.emit(&[("peer", &peer), ("reason", &error)]),
    }
}

async fn serve_admitted<A>(
    mut accepted: Accepted,
    addr: Addr<A>,
    interval: Duration,
) -> Result<(), LinkError>
where
    A: Actor + Handler<Join> + Handler<Pull> + Handler<FromBelow> + Handler<Leave>,
    A::Context:
        ToEnvelope<A, Join> + ToEnvelope<A, Pull> + ToEnvelope<A, FromBelow> + ToEnvelope<A, Leave>,
{
    let (send, receive) = accepted.link.accept_both().await?;
    let mut writer: Writer<Downward> = Writer::new(send);
    let mut reader: Reader<Upward> = Reader::new(receive);
    let Some(upward::Body::Hello(hello)) = reader.receive().await?.body else {
        return Err(LinkError::Ended);
    };
    let joined = addr.send(Join { grant: accepted.grant, hello }).await;
    let Joined { session, wake } = match joined {
        Ok(Ok(joined)) => joined,
        Ok(Err(redirect)) => {
            let body = Some(downward::Body::Redirect(redirect));
            writer.send(&Downward { body }).await?;
            // The peer closes the link once it has read the redirect.
            drop(tokio::time::timeout(CLOSE_LIMIT, reader.receive()).await);
            return Ok(());
        }
        Err(_) => return Err(LinkError::Ended),
    };
    let outcome = tokio::select! {
        outcome = read_all(&mut reader, session, &addr) => outcome,
        outcome = write_all(&mut writer, session, &addr, &wake, interval) => outcome,
    };
    addr.do_send(Leave(session));
    outcome
}

async fn read_all<A>(
    reader: &mut Reader<Upward>,
    session: SessionId,
    addr: &Addr<A>,
) -> Result<(), LinkError>
where
    A: Actor + Handler<FromBelow>,
    A::Context: ToEnvelope<A, FromBelow>,
{
    loop {
        let Some(body) = reader.receive().await?.body else { continue };
        if addr.send(FromBelow { session, body }).await.is_err() {
            return Err(LinkError::Ended);
        }
    }
}

async fn write_all<A>(
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
