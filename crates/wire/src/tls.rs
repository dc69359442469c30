use std::{fs, path::Path, sync::Arc, time::Duration};

use anyhow::Context as _;
use conf::Identity;
use quinn::{
    ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rustls::{
    RootCertStore,
    crypto::ring,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject as _},
    server::WebPkiClientVerifier,
};

/// Name that every certificate of the fleet carries.
pub(crate) const SERVER_NAME: &str = "apricotridge.internal";
/// Protocol name in the handshake.
const ALPN: &[u8] = b"apricotridge/1";
/// Silence after which a link counts as lost.
const IDLE: Duration = Duration::from_millis(1500);
/// Time between probes on an idle link.
const PROBE: Duration = Duration::from_millis(700);
/// Streams that one peer may have open.
const STREAMS: u32 = 4096;

/// Holds the TLS configurations of a process; both sides of a link prove who they are.
#[derive(Clone)]
pub struct Tls {
    pub(crate) client: ClientConfig,
    pub(crate) server: ServerConfig,
}

impl Tls {
    /// Loads the files of an identity.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file if one is missing or is not what it should be.
    pub fn load(identity: &Identity) -> anyhow::Result<Self> {
        let roots = Arc::new(roots(&identity.authority)?);
        let chain = chain(&identity.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&identity.key)
            .with_context(|| format!("{}: is not a private key in PEM", identity.key.display()))?;
        let provider = Arc::new(ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone()).build()?;
        let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())?;
        server.alpn_protocols = vec![ALPN.to_vec()];
        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)?;
        client.alpn_protocols = vec![ALPN.to_vec()];
        let transport = Arc::new(transport());
        let mut server = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
        server.transport_config(transport.clone());
        let mut client = ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
        client.transport_config(transport);
        Ok(Self { client, server })
    }
}

fn roots(path: &Path) -> anyhow::Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for certificate in chain(path)? {
        roots.add(certificate)?;
    }
    Ok(roots)
}

fn chain(path: &Path) -> anyhow::Result<Vec<CertificateDer<'static>>> {
    let file = path.display();
    let text = fs::read(path).with_context(|| format!("{file}: cannot be read"))?;
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&text).collect();
    let chain = chain.with_context(|| format!("{file}: is not a certificate in PEM"))?;
    anyhow::ensure!(!chain.is_empty(), "{file}: holds no certificate");
    Ok(chain)
}

fn transport() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(IdleTimeout::try_from(IDLE).ok());
    transport.keep_alive_interval(Some(PROBE));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(STREAMS));
    transport
}
