//! The certificate authority that signs the certificates of all processes.

use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use thiserror::Error;

use crate::identity::ProcessIdentity;

/// Error while creating a certificate.
#[derive(Debug, Error)]
#[error("the certificate can't be created: {0}; check the files of the certificate authority")]
pub struct CertificateError(#[from] rcgen::Error);

/// A certificate authority with its private key.
#[derive(Debug)]
pub struct CertificateAuthority {
    certificate: String,
    issuer: Issuer<'static, KeyPair>,
}

/// A certificate and its private key, in PEM.
#[derive(Debug, Clone)]
pub struct IssuedCertificate {
    /// Certificate.
    pub certificate: String,
    /// Private key.
    pub key: String,
}

impl CertificateAuthority {
    /// Generates a certificate authority and returns it with its private key in PEM.
    pub fn generate() -> Result<(Self, String), CertificateError> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.distinguished_name.push(DnType::CommonName, "kingcuplift authority");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let certificate = params.self_signed(&key)?.pem();
        let pem = key.serialize_pem();
        let authority = Self::load(&certificate, &pem)?;
        Ok((authority, pem))
    }

    /// Reads a certificate authority from its certificate and private key in PEM.
    pub fn load(certificate: &str, key: &str) -> Result<Self, CertificateError> {
        let issuer = Issuer::from_ca_cert_pem(certificate, KeyPair::from_pem(key)?)?;
        Ok(Self { certificate: certificate.to_owned(), issuer })
    }

    /// Returns the authority's certificate in PEM.
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Issues a certificate for a process.
    pub fn issue(&self, identity: &ProcessIdentity) -> Result<IssuedCertificate, CertificateError> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(identity.dns_names())?;
        params.distinguished_name.push(DnType::CommonName, identity.name.as_str());
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let certificate = params.signed_by(&key, &self.issuer)?.pem();
        Ok(IssuedCertificate { certificate, key: key.serialize_pem() })
    }
}
