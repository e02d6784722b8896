//! TLS configuration for QUIC with mutual authentication.

use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{NoInitialCipherSuite, QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::RootCertStore;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use thiserror::Error;

/// Interval of the packets that keep a connection alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(900);
/// Time without a packet after which a connection is considered lost.
const IDLE_TIMEOUT_MS: u32 = 2_800;
/// Most concurrent streams of each type (bidirectional, unidirectional) that a peer may open.
const MAX_STREAMS: u32 = 4;

/// Protocol of a connection, negotiated by ALPN.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// Between source members.
    Peer,
    /// From relay to source, or from node to relay.
    Distribution,
}

impl Protocol {
    /// Every protocol.
    pub const ALL: [Self; 2] = [Self::Peer, Self::Distribution];

    /// Returns the ALPN protocol name.
    pub const fn alpn(self) -> &'static [u8] {
        match self {
            Self::Peer => b"kingcuplift-peer/1",
            Self::Distribution => b"kingcuplift-distribution/1",
        }
    }
}

/// Certificate, private key and certificate authority of a process, in PEM.
#[derive(Debug, Clone)]
pub struct Credentials {
    /// Certificate of the certificate authority.
    pub authority: String,
    /// Certificate of the process.
    pub certificate: String,
    /// Private key of the process.
    pub key: String,
}

/// Error while building a TLS configuration.
#[derive(Debug, Error)]
pub enum TlsError {
    /// A PEM file is invalid.
    #[error("a key file is not valid PEM: {0}; issue the keys again")]
    Pem(#[from] rustls::pki_types::pem::Error),
    /// The certificates and the private key are invalid or do not match each other.
    #[error(
        "the certificates and the private key can't be used together: {0}; issue the keys again"
    )]
    Tls(#[from] rustls::Error),
    /// The certificate of the certificate authority can't be used to verify clients.
    #[error(
        "the certificate of the certificate authority is not usable: {0}; issue the keys again"
    )]
    Verifier(#[from] rustls::server::VerifierBuilderError),
    /// The cryptography provider lacks the cipher that QUIC needs.
    #[error("the TLS library lacks the cipher that QUIC needs: {0}")]
    Cipher(#[from] NoInitialCipherSuite),
}

/// Builds the configuration of a listening endpoint.
pub fn server_config(credentials: &Credentials) -> Result<ServerConfig, TlsError> {
    let provider = crypto_provider();
    let roots = Arc::new(root_store(credentials)?);
    let verifier =
        WebPkiClientVerifier::builder_with_provider(roots, Arc::clone(&provider)).build()?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(certificate_chain(credentials)?, private_key(credentials)?)?;
    tls.alpn_protocols = Protocol::ALL.iter().map(|protocol| protocol.alpn().to_vec()).collect();
    let mut config = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(tls)?));
    config.transport_config(Arc::new(transport_config()));
    Ok(config)
}

/// Builds the configuration of an outgoing connection.
pub fn client_config(
    credentials: &Credentials,
    protocol: Protocol,
) -> Result<ClientConfig, TlsError> {
    let mut tls = rustls::ClientConfig::builder_with_provider(crypto_provider())
        .with_protocol_versions(&[&rustls::version::TLS13])?
        .with_root_certificates(root_store(credentials)?)
        .with_client_auth_cert(certificate_chain(credentials)?, private_key(credentials)?)?;
    tls.alpn_protocols = vec![protocol.alpn().to_vec()];
    let mut config = ClientConfig::new(Arc::new(QuicClientConfig::try_from(tls)?));
    config.transport_config(Arc::new(transport_config()));
    Ok(config)
}

fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn root_store(credentials: &Credentials) -> Result<RootCertStore, TlsError> {
    let mut roots = RootCertStore::empty();
    roots.add(CertificateDer::from_pem_slice(credentials.authority.as_bytes())?)?;
    Ok(roots)
}

fn certificate_chain(credentials: &Credentials) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let pem = credentials.certificate.as_bytes();
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    Ok(chain?)
}

fn private_key(credentials: &Credentials) -> Result<PrivateKeyDer<'static>, TlsError> {
    Ok(PrivateKeyDer::from_pem_slice(credentials.key.as_bytes())?)
}

fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    transport.max_concurrent_uni_streams(VarInt::from_u32(MAX_STREAMS));
    transport
}
