//! QUIC endpoints and typed message streams.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use kingcuplift_core::ByteSize;
use kingcuplift_keys::{
    Credentials, Grant, Protocol, Role, TlsError, client_config, server_config,
};
use kingcuplift_schema::Message;
use quinn::crypto::rustls::HandshakeData;
use quinn::{ClientConfig, Connection, RecvStream, SendStream};
use rustls::pki_types::CertificateDer;
use thiserror::Error;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::error::StartError;

/// Longest message.
const MAX_MESSAGE: ByteSize = ByteSize::mib(256);

/// Reason why a link could not be made or has ended.
#[derive(Debug, Error)]
pub(crate) enum LinkError {
    /// The connection attempt can't begin.
    #[error("can't connect: {0}")]
    Connect(#[from] quinn::ConnectError),
    /// The connection ended.
    #[error("the connection ended: {0}")]
    Connection(#[from] quinn::ConnectionError),
    /// A stream failed.
    #[error("the stream failed: {0}")]
    Stream(#[from] std::io::Error),
    /// A message is damaged.
    #[error("a message can't be decoded: {0}")]
    Decode(#[from] prost::DecodeError),
    /// The peer ended the stream.
    #[error("the peer ended the stream")]
    Ended,
    /// The peer's certificate grants nothing.
    #[error("the peer's certificate holds no name, availability zone and role")]
    NoGrant,
}

/// A UDP socket that accepts and opens connections.
#[derive(Debug, Clone)]
pub struct Endpoint {
    quic: quinn::Endpoint,
    clients: Arc<ArcSwap<Clients>>,
}

/// Settings of outgoing connections.
#[derive(Debug)]
struct Clients {
    peer: ClientConfig,
    distribution: ClientConfig,
}

impl Clients {
    fn new(credentials: &Credentials) -> Result<Self, TlsError> {
        Ok(Self {
            peer: client_config(credentials, Protocol::Peer)?,
            distribution: client_config(credentials, Protocol::Distribution)?,
        })
    }
}

/// An accepted connection with what its certificate grants.
#[derive(Debug)]
pub(crate) struct Accepted {
    pub(crate) connection: Connection,
    pub(crate) grant: Grant,
    pub(crate) protocol: Protocol,
}

impl Endpoint {
    /// Opens an endpoint on `address`; port 0 stands for any free port.
    pub fn bind(address: SocketAddr, credentials: &Credentials) -> Result<Self, StartError> {
        let quic = quinn::Endpoint::server(server_config(credentials)?, address)
            .map_err(|source| StartError::Address { address, source })?;
        let clients = Arc::new(ArcSwap::from_pointee(Clients::new(credentials)?));
        Ok(Self { quic, clients })
    }

    /// Uses other credentials for all connections that begin from now on.
    pub(crate) fn renew(&self, credentials: &Credentials) -> Result<(), TlsError> {
        let clients = Clients::new(credentials)?;
        self.quic.set_server_config(Some(server_config(credentials)?));
        self.clients.store(Arc::new(clients));
        Ok(())
    }

    /// Waits for the next connection attempt; `None` means that the endpoint is closed.
    pub(crate) async fn accept(&self) -> Option<quinn::Incoming> {
        self.quic.accept().await
    }

    /// Opens a connection to a process that must have `role`.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        role: Role,
        protocol: Protocol,
    ) -> Result<Connection, LinkError> {
        let clients = self.clients.load();
        let config = match protocol {
            Protocol::Peer => clients.peer.clone(),
            Protocol::Distribution => clients.distribution.clone(),
        };
        let connecting = self.quic.connect_with(config, address, &role.server_name())?;
        Ok(connecting.await?)
    }
}

/// Completes the handshake of an incoming connection.
pub(crate) async fn complete(incoming: quinn::Incoming) -> Result<Accepted, LinkError> {
    let connection = incoming.await?;
    let grant = peer_grant(&connection).ok_or(LinkError::NoGrant)?;
    let data = connection.handshake_data().and_then(|data| data.downcast::<HandshakeData>().ok());
    let alpn = data.and_then(|data| data.protocol).unwrap_or_default();
    let protocol = Protocol::ALL.into_iter().find(|protocol| protocol.alpn() == alpn);
    Ok(Accepted { connection, grant, protocol: protocol.ok_or(LinkError::NoGrant)? })
}

fn peer_grant(connection: &Connection) -> Option<Grant> {
    let identity = connection.peer_identity()?;
    let chain = identity.downcast::<Vec<CertificateDer<'static>>>().ok()?;
    Grant::from_certificate(chain.first()?)
}

/// Sends messages of one type.
#[derive(Debug)]
pub(crate) struct Writer<M> {
    frames: FramedWrite<SendStream, LengthDelimitedCodec>,
    kind: PhantomData<M>,
}

impl<M: Message> Writer<M> {
    pub(crate) fn new(stream: SendStream) -> Self {
        Self { frames: FramedWrite::new(stream, codec()), kind: PhantomData }
    }

    /// Sends one message.
    pub(crate) async fn send(&mut self, message: &M) -> Result<(), LinkError> {
        let bytes = Bytes::from(message.encode_to_vec());
        Ok(self.frames.send(bytes).await?)
    }
}

/// Receives messages of one type.
#[derive(Debug)]
pub(crate) struct Reader<M> {
    frames: FramedRead<RecvStream, LengthDelimitedCodec>,
    kind: PhantomData<M>,
}

impl<M: Message + Default> Reader<M> {
    pub(crate) fn new(stream: RecvStream) -> Self {
        Self { frames: FramedRead::new(stream, codec()), kind: PhantomData }
    }

    /// Receives one message.
    pub(crate) async fn receive(&mut self) -> Result<M, LinkError> {
        let frame = self.frames.next().await.ok_or(LinkError::Ended)??;
        Ok(M::decode(frame)?)
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_MESSAGE.as_usize()).new_codec()
}
