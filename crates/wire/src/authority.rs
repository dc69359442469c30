use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};

use crate::tls::SERVER_NAME;

/// Certificate authority for test fleets, created in memory.
pub struct Authority {
    certificate: String,
    issuer: Issuer<'static, KeyPair>,
}

/// Certificate and private key in PEM.
pub struct Certificate {
    /// Certificate, signed by the authority.
    pub certificate: String,
    /// Unencrypted private key of the certificate.
    pub key: String,
}

impl Authority {
    /// Creates an authority with a new key and a self-signed certificate.
    ///
    /// # Errors
    ///
    /// Returns an error if the key cannot be generated or the certificate cannot be signed.
    pub fn new() -> anyhow::Result<Self> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
        params
            .distinguished_name
            .push(DnType::CommonName, "apricotridge trial authority");
        let certificate = params.self_signed(&key)?.pem();
        Ok(Self {
            certificate,
            issuer: Issuer::new(params, key),
        })
    }

    /// Returns the authority's own certificate in PEM.
    #[must_use]
    pub fn certificate(&self) -> &str {
        &self.certificate
    }

    /// Issues a certificate with the process as its common name and the server name that all
    /// processes of a fleet share.
    ///
    /// # Errors
    ///
    /// Returns an error if the key cannot be generated or the certificate cannot be signed.
    pub fn issue(&self, process: &str) -> anyhow::Result<Certificate> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![SERVER_NAME.to_owned()])?;
        params.distinguished_name.push(DnType::CommonName, process);
        let certificate = params.signed_by(&key, &self.issuer)?.pem();
        Ok(Certificate {
            certificate,
            key: key.serialize_pem(),
        })
    }
}
