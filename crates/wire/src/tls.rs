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

/// Subject alternative name that the certificates of all processes share.
pub(crate) const SERVER_NAME: &str = "apricotridge.internal";
/// Protocol name for ALPN in the TLS handshake.
const ALPN: &[u8] = b"apricotridge/1";
/// Time without a packet from the peer after which a link is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between keepalive packets on an idle link.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(700);
/// Limit on the streams that a peer may have open on a link.
const STREAM_LIMIT: u32 = 4096;

/// TLS 1.3 configurations of a process for both sides of a link; both sides need a certificate.
#[derive(Clone)]
pub struct Tls {
    pub(crate) client: ClientConfig,
    pub(crate) server: ServerConfig,
}

impl Tls {
    /// Loads the certificates and the private key that an identity names.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file if it cannot be read or does not contain PEM of the
    /// expected kind.
    pub fn load(identity: &Identity) -> anyhow::Result<Self> {
        let roots = Arc::new(load_roots(&identity.authority)?);
        let chain = load_chain(&identity.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&identity.key).with_context(|| {
            format!(
                "{}: cannot read a private key in PEM",
                identity.key.display()
            )
        })?;
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
        let transport = Arc::new(transport_config());
        let mut server = ServerConfig::with_crypto(Arc::new(QuicServerConfig::try_from(server)?));
        server.transport_config(transport.clone());
        let mut client = ClientConfig::new(Arc::new(QuicClientConfig::try_from(client)?));
        client.transport_config(transport);
        Ok(Self { client, server })
    }
}

fn load_roots(path: &Path) -> anyhow::Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    for certificate in load_chain(path)? {
        roots.add(certificate)?;
    }
    Ok(roots)
}

fn load_chain(path: &Path) -> anyhow::Result<Vec<CertificateDer<'static>>> {
    let file = path.display();
    let text = fs::read(path).with_context(|| format!("{file}: cannot be read"))?;
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&text).collect();
    let chain = chain.with_context(|| format!("{file}: is not a certificate in PEM"))?;
    anyhow::ensure!(!chain.is_empty(), "{file}: holds no certificate");
    Ok(chain)
}

fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    transport.keep_alive_interval(Some(KEEPALIVE_INTERVAL));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(STREAM_LIMIT));
    transport
}
