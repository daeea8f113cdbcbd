//! Mutual TLS with pinned certificate fingerprints.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use compio_quic::ClientConfig;
use compio_quic::IdleTimeout;
use compio_quic::ServerConfig;
use compio_quic::TransportConfig;
use compio_quic::VarInt;
use compio_quic::crypto::rustls::QuicClientConfig;
use compio_quic::crypto::rustls::QuicServerConfig;
use eyre::Result;
use eyre::WrapErr;
use eyre::eyre;
use rustls::DigitallySignedStruct;
use rustls::DistinguishedName;
use rustls::SignatureScheme;
use rustls::client::Resumption;
use rustls::client::danger::HandshakeSignatureValid;
use rustls::client::danger::ServerCertVerified;
use rustls::client::danger::ServerCertVerifier;
use rustls::crypto::CryptoProvider;
use rustls::crypto::WebPkiSupportedAlgorithms;
use rustls::crypto::ring::default_provider;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::UnixTime;
use rustls::pki_types::pem::PemObject;
use rustls::server::danger::ClientCertVerified;
use rustls::server::danger::ClientCertVerifier;
use rustls::version::TLS13;
use sha2::Digest;
use sha2::Sha256;
use slog::Logger;
use slog::warn;
use wigeonhinge_schema::settings::Identity;

/// ALPN protocol name; must change with every incompatible change of the message schema.
const ALPN_PROTOCOL: &[u8] = b"wigeonhinge/1";

/// Time without a packet after which QUIC closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of messages in flight on one connection; each takes a stream.
const MAX_STREAMS: u32 = 16;

/// Maximum number of unknown fingerprints that are logged, each once.
///
/// Bounds what an unknown peer can write to the log.
const MAX_LOGGED: usize = 1024;

/// SHA-256 digest of a certificate in DER.
pub(crate) type Fingerprint = [u8; 32];

/// Certificate verifier for both sides that accepts only pinned fingerprints.
#[derive(Debug)]
pub(crate) struct Trust {
    pins: Mutex<BTreeSet<Fingerprint>>,
    /// Unknown fingerprints that have been logged.
    logged: Mutex<BTreeSet<Fingerprint>>,
    algorithms: WebPkiSupportedAlgorithms,
    log: Logger,
}

/// Generates a key and a self-signed certificate for the name of an entry.
///
/// # Errors
///
/// Returns an error if the name cannot be used as a subject name of a certificate.
pub fn generate_identity(name: &str) -> Result<Identity> {
    let generated = rcgen::generate_simple_self_signed([name.to_owned()])?;
    Ok(Identity {
        key: generated.signing_key.serialize_pem(),
        certificate: generated.cert.pem(),
    })
}

/// Returns the SHA-256 fingerprint of a certificate in PEM, in hex.
///
/// # Errors
///
/// Returns an error if the text contains no PEM certificate.
pub fn fingerprint(certificate: &str) -> Result<String> {
    let der = CertificateDer::from_pem_slice(certificate.as_bytes());
    let der = der.map_err(|error| eyre!("bad certificate: {error:?}"))?;
    Ok(hex(&digest(&der)))
}

pub(crate) fn hex(fingerprint: &Fingerprint) -> String {
    fingerprint.iter().fold(String::new(), |mut text, byte| {
        // Writing to a `String` cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}

pub(crate) fn digest(certificate: &CertificateDer<'_>) -> Fingerprint {
    Sha256::digest(certificate.as_ref()).into()
}

/// Parses fingerprints in hex, with or without colons.
///
/// # Errors
///
/// Returns an error if a text is not the hex form of 32 bytes.
pub(crate) fn parse_pins(texts: &[String]) -> Result<BTreeSet<Fingerprint>> {
    texts.iter().map(|text| parse_pin(text)).collect()
}

fn parse_pin(text: &str) -> Result<Fingerprint> {
    let digits: Vec<u32> = text
        .chars()
        .filter(|digit| *digit != ':')
        .map(|digit| digit.to_digit(16))
        .collect::<Option<_>>()
        .unwrap_or_default();
    let bytes: Vec<u8> = digits
        .chunks_exact(2)
        .map(|pair| (pair[0] * 16 + pair[1]) as u8)
        .collect();
    match digits.len() {
        64 => Ok(std::array::from_fn(|index| bytes[index])),
        _ => Err(eyre!("trusted {text:?}: expected 64 hex digits")),
    }
}

impl Trust {
    pub(crate) fn new(pins: BTreeSet<Fingerprint>, log: Logger) -> Arc<Self> {
        Arc::new(Self {
            pins: Mutex::new(pins),
            logged: Mutex::default(),
            algorithms: default_provider().signature_verification_algorithms,
            log,
        })
    }

    /// Replaces the trusted fingerprints.
    pub(crate) fn replace(&self, pins: BTreeSet<Fingerprint>) {
        *lock(&self.pins) = pins;
    }

    pub(crate) fn trusts(&self, fingerprint: &Fingerprint) -> bool {
        lock(&self.pins).contains(fingerprint)
    }

    /// Accepts a certificate with a trusted fingerprint.
    fn check(&self, certificate: &CertificateDer<'_>) -> Result<(), rustls::Error> {
        let fingerprint = digest(certificate);
        if self.trusts(&fingerprint) {
            return Ok(());
        }
        let mut logged = lock(&self.logged);
        if logged.len() < MAX_LOGGED && logged.insert(fingerprint) {
            warn!(
                self.log, "peer: unknown fingerprint; rejected";
                "fingerprint" => hex(&fingerprint)
            );
        }
        Err(rustls::Error::InvalidCertificate(
            rustls::CertificateError::ApplicationVerificationFailure,
        ))
    }
}

/// Builds the configurations for outgoing and incoming connections.
///
/// Session resumption is disabled because a resumed session would skip the
/// check of the fingerprint.
///
/// # Errors
///
/// Returns an error if the identity is missing or malformed.
pub(crate) fn configs(
    identity: Option<&Identity>,
    trust: &Arc<Trust>,
) -> Result<(ClientConfig, ServerConfig)> {
    let identity = identity.ok_or_else(|| eyre!("identity: expected a key and a certificate"))?;
    let chain = CertificateDer::from_pem_slice(identity.certificate.as_bytes());
    let chain = vec![chain.map_err(|error| eyre!("identity.certificate: {error:?}"))?];
    let key = PrivateKeyDer::from_pem_slice(identity.key.as_bytes());
    let key = key.map_err(|error| eyre!("identity.key: {error:?}"))?;
    let provider = Arc::new(default_provider());
    let transport = Arc::new(transport_config()?);
    let mut client = client_config(&provider, trust, chain.clone(), key.clone_key())?;
    client.transport_config(Arc::clone(&transport));
    let mut server = server_config(provider, trust, chain, key)?;
    server.transport_config(transport);
    Ok((client, server))
}

fn client_config(
    provider: &Arc<CryptoProvider>,
    trust: &Arc<Trust>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ClientConfig> {
    let verifier: Arc<dyn ServerCertVerifier> = trust.clone();
    let mut tls = rustls::ClientConfig::builder_with_provider(Arc::clone(provider))
        .with_protocol_versions(&[&TLS13])?
        .dangerous()
        .with_custom_certificate_verifier(verifier)
        .with_client_auth_cert(chain, key)
        .wrap_err("identity")?;
    tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    tls.resumption = Resumption::disabled();
    Ok(ClientConfig::new(Arc::new(QuicClientConfig::try_from(
        tls,
    )?)))
}

fn server_config(
    provider: Arc<CryptoProvider>,
    trust: &Arc<Trust>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
) -> Result<ServerConfig> {
    let verifier: Arc<dyn ClientCertVerifier> = trust.clone();
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .wrap_err("identity")?;
    tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    tls.send_tls13_tickets = 0;
    let tls = QuicServerConfig::try_from(tls)?;
    Ok(ServerConfig::with_crypto(Arc::new(tls)))
}

fn transport_config() -> Result<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(IdleTimeout::try_from(IDLE_TIMEOUT)?))
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_STREAMS));
    Ok(transport)
}

impl ServerCertVerifier for Trust {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        self.check(end_entity)?;
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        rustls::crypto::verify_tls12_signature(message, cert, dss, &self.algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        rustls::crypto::verify_tls13_signature(message, cert, dss, &self.algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.algorithms.supported_schemes()
    }
}

impl ClientCertVerifier for Trust {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, rustls::Error> {
        self.check(end_entity)?;
        Ok(ClientCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        rustls::crypto::verify_tls12_signature(message, cert, dss, &self.algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        rustls::crypto::verify_tls13_signature(message, cert, dss, &self.algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.algorithms.supported_schemes()
    }
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
