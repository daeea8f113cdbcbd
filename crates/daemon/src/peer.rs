//! Messages between entries over QUIC.
//!
//! Each message is one unidirectional stream. An entry sends on the
//! connections that it made and receives on those that its peers made.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compio::net::UdpSocket;
use compio::time::timeout;
use compio_quic::ClientConfig;
use compio_quic::Connection;
use compio_quic::Endpoint;
use compio_quic::EndpointConfig;
use compio_quic::Incoming;
use compio_quic::RecvStream;
use compio_quic::VarInt;
use eyre::Result;
use eyre::eyre;
use prost::Message;
use slog::Logger;
use slog::debug;
use wigeonhinge::id::EntryId;
use wigeonhinge_schema::peer::Envelope;
use wigeonhinge_schema::peer::envelope::Body;
use wigeonhinge_schema::settings::Settings;

use crate::peer::trust::Fingerprint;
use crate::peer::trust::Trust;

pub use crate::peer::trust::fingerprint;
pub use crate::peer::trust::generate_identity;

mod trust;

/// Bytes of a message; a document of 1 MB fits.
pub const MESSAGE_BYTES: usize = 1_200_000;

/// Time for a handshake, and for one message.
const PATIENCE: Duration = Duration::from_secs(1);

/// Time without attempts after a failed connection.
const BACKOFF: Duration = Duration::from_millis(300);

/// Messages that wait for one peer; further ones are dropped.
const QUEUE: usize = 32;

/// Handshakes and connections of peers at the same time.
const CONNECTIONS: usize = 256;

/// Time after which a connection that this entry made and does not use ends.
const UNUSED: Duration = Duration::from_secs(5);

/// Bytes of the headers of UDP and IPv4 in a datagram.
const HEADERS: u64 = 28;

/// Error code of a connection that is closed on purpose.
const CLOSED: VarInt = VarInt::from_u32(0);

/// What a connection brought.
#[derive(Debug)]
pub(crate) enum PeerEvent {
    /// A message of a peer.
    Message(EntryId, Box<Body>),
    /// A peer cannot be reached.
    Unreachable(EntryId),
}

/// Bytes of all connections, with the headers of UDP and IPv4.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) sent: u64,
    pub(crate) received: u64,
}

/// The endpoint of this entry and its connections.
#[derive(Debug)]
pub(crate) struct Peers {
    endpoint: Endpoint,
    trust: Arc<Trust>,
    client: Rc<RefCell<ClientConfig>>,
    heard: flume::Sender<PeerEvent>,
    links: BTreeMap<EntryId, Link>,
    roster: Rc<RefCell<Roster>>,
    log: Logger,
}

#[derive(Debug)]
struct Link {
    address: SocketAddr,
    queue: flume::Sender<Bytes>,
    used: Instant,
}

/// Connections in use.
#[derive(Debug, Default)]
struct Roster {
    connections: BTreeMap<usize, (Fingerprint, Connection)>,
    past: Traffic,
}

impl Peers {
    /// Binds the endpoint and begins to accept peers.
    pub(crate) fn bind(
        socket: std::net::UdpSocket,
        settings: &Settings,
        heard: flume::Sender<PeerEvent>,
        log: Logger,
    ) -> Result<Self> {
        let pins = trust::pins(&settings.trusted)?;
        let trust = Trust::new(pins, log.clone());
        let (client, server) = trust::configs(settings.identity.as_ref(), &trust)?;
        let socket = UdpSocket::from_std(socket)?;
        let config = EndpointConfig::default();
        let endpoint = Endpoint::new(socket, config, Some(server), None)?;
        let roster = Rc::default();
        let listener = Listener {
            trust: Arc::clone(&trust),
            heard: heard.clone(),
            roster: Rc::clone(&roster),
            log: log.clone(),
        };
        compio::runtime::spawn(accept(endpoint.clone(), listener)).detach();
        Ok(Self {
            endpoint,
            trust,
            client: Rc::new(RefCell::new(client)),
            heard,
            links: BTreeMap::new(),
            roster,
            log,
        })
    }

    /// Takes a new key and new fingerprints; connections that rely on old ones end.
    pub(crate) fn reload(&mut self, settings: &Settings, rekeyed: bool) -> Result<()> {
        let pins = trust::pins(&settings.trusted)?;
        let (client, server) = trust::configs(settings.identity.as_ref(), &self.trust)?;
        self.trust.replace(pins);
        let roster = self.roster.borrow();
        if rekeyed {
            *self.client.borrow_mut() = client;
            self.endpoint.set_server_config(Some(server));
            roster.close(|_| true);
        }
        roster.close(|fingerprint| !self.trust.trusts(fingerprint));
        Ok(())
    }

    /// Sends a message to an entry; drops it if too many wait already.
    pub(crate) fn send(&mut self, entry: &EntryId, address: SocketAddr, message: Bytes) {
        if self.links.get(entry).map(|link| link.address) != Some(address) {
            let link = self.link(entry.clone(), address);
            self.links.insert(entry.clone(), link);
        }
        if let Some(link) = self.links.get_mut(entry) {
            link.used = Instant::now();
            // A full queue belongs to a peer that does not answer.
            let _ = link.queue.try_send(message);
        }
    }

    /// Ends the connections that are no longer used.
    pub(crate) fn expire(&mut self) {
        self.links.retain(|_, link| link.used.elapsed() < UNUSED);
    }

    /// Returns the bytes so far.
    pub(crate) fn traffic(&self) -> Traffic {
        self.roster.borrow().traffic()
    }

    /// Closes every connection.
    pub(crate) fn close(&mut self) {
        self.links.clear();
        self.endpoint.close(CLOSED, b"stopped");
    }

    fn link(&self, entry: EntryId, address: SocketAddr) -> Link {
        let (queue, messages) = flume::bounded(QUEUE);
        let dialer = Dialer {
            entry,
            address,
            endpoint: self.endpoint.clone(),
            client: Rc::clone(&self.client),
            roster: Rc::clone(&self.roster),
            log: self.log.clone(),
        };
        compio::runtime::spawn(deliver(dialer, messages, self.heard.clone())).detach();
        Link {
            address,
            queue,
            used: Instant::now(),
        }
    }
}

impl Roster {
    fn insert(&mut self, connection: &Connection) -> Option<Fingerprint> {
        let chain = connection.peer_identity()?;
        let fingerprint = trust::digest(chain.first()?);
        let entry = (fingerprint, connection.clone());
        self.connections.insert(connection.stable_id(), entry);
        Some(fingerprint)
    }

    fn remove(&mut self, connection: &Connection) {
        if self.connections.remove(&connection.stable_id()).is_some() {
            self.past.add(connection);
        }
    }

    fn close(&self, unwanted: impl Fn(&Fingerprint) -> bool) {
        for (fingerprint, connection) in self.connections.values() {
            if unwanted(fingerprint) {
                connection.close(CLOSED, b"key changed");
            }
        }
    }

    fn traffic(&self) -> Traffic {
        let mut total = self.past;
        for (_, connection) in self.connections.values() {
            total.add(connection);
        }
        total
    }
}

impl Traffic {
    fn add(&mut self, connection: &Connection) {
        let stats = connection.stats();
        self.sent += stats.udp_tx.bytes + HEADERS * stats.udp_tx.datagrams;
        self.received += stats.udp_rx.bytes + HEADERS * stats.udp_rx.datagrams;
    }
}

struct Listener {
    trust: Arc<Trust>,
    heard: flume::Sender<PeerEvent>,
    roster: Rc<RefCell<Roster>>,
    log: Logger,
}

async fn accept(endpoint: Endpoint, listener: Listener) {
    let listener = Rc::new(listener);
    while let Some(incoming) = endpoint.wait_incoming().await {
        if endpoint.open_connections() > CONNECTIONS {
            incoming.refuse();
            continue;
        }
        let listener = Rc::clone(&listener);
        compio::runtime::spawn(async move { listener.serve(incoming).await }).detach();
    }
}

impl Listener {
    async fn serve(&self, incoming: Incoming) {
        let Ok(connecting) = incoming.accept() else {
            return;
        };
        let Ok(Ok(connection)) = timeout(PATIENCE, connecting).await else {
            return;
        };
        let pinned = self.roster.borrow_mut().insert(&connection);
        // The fingerprint may have been removed during the handshake.
        if pinned.is_some_and(|fingerprint| self.trust.trusts(&fingerprint)) {
            self.receive(&connection).await;
        }
        connection.close(CLOSED, b"");
        self.roster.borrow_mut().remove(&connection);
    }

    /// Reads messages until the connection ends or brings an unreadable one.
    async fn receive(&self, connection: &Connection) {
        while let Ok(stream) = connection.accept_uni().await {
            let (entry, body) = match timeout(PATIENCE, read(stream)).await {
                Ok(Ok(message)) => message,
                Ok(Err(error)) => {
                    debug!(self.log, "peer: unreadable message"; "error" => %error);
                    return;
                }
                Err(_) => return,
            };
            let heard = PeerEvent::Message(entry, Box::new(body));
            if self.heard.send_async(heard).await.is_err() {
                return;
            }
        }
    }
}

async fn read(mut stream: RecvStream) -> Result<(EntryId, Body)> {
    let mut message = Vec::new();
    while let Some(chunk) = stream.read_chunk(MESSAGE_BYTES, true).await? {
        message.extend_from_slice(&chunk.bytes);
        if message.len() > MESSAGE_BYTES {
            return Err(eyre!("more than {MESSAGE_BYTES} bytes"));
        }
    }
    decode(&message)
}

/// Reads a message and its sender.
///
/// # Errors
///
/// Fails for bytes that are no message.
pub fn decode(message: &[u8]) -> Result<(EntryId, Body)> {
    let Envelope { sender, body } = Envelope::decode(message)?;
    let body = body.ok_or_else(|| eyre!("unknown kind"))?;
    let entry = match &body {
        Body::Heartbeat(beat) => EntryId::from(&beat.entry),
        _ => EntryId::from(sender),
    };
    Ok((entry, body))
}

/// Returns the bytes of a message; a heartbeat names its sender itself.
pub fn encode(sender: &str, body: Body) -> Bytes {
    let envelope = Envelope {
        sender: sender.to_owned(),
        body: Some(body),
    };
    Bytes::from(envelope.encode_to_vec())
}

struct Dialer {
    entry: EntryId,
    address: SocketAddr,
    endpoint: Endpoint,
    client: Rc<RefCell<ClientConfig>>,
    roster: Rc<RefCell<Roster>>,
    log: Logger,
}

/// Delivers the messages of one queue until the queue is dropped.
async fn deliver(
    dialer: Dialer,
    messages: flume::Receiver<Bytes>,
    heard: flume::Sender<PeerEvent>,
) {
    let mut connection: Option<Connection> = None;
    while let Ok(message) = messages.recv_async().await {
        if !dialer.deliver(&mut connection, message).await {
            // The owner has gone if it does not receive this.
            let _ = heard
                .send_async(PeerEvent::Unreachable(dialer.entry.clone()))
                .await;
            compio::time::sleep(BACKOFF).await;
            messages.drain();
        }
    }
    dialer.drop(connection);
}

impl Dialer {
    /// Sends a message; makes a new connection if there is none or it does not work.
    async fn deliver(&self, connection: &mut Option<Connection>, message: Bytes) -> bool {
        if let Some(open) = connection {
            if send(open, message.clone()).await {
                return true;
            }
            self.drop(connection.take());
        }
        *connection = self.connect().await;
        match connection {
            Some(open) => send(open, message).await,
            None => false,
        }
    }

    async fn connect(&self) -> Option<Connection> {
        let config = self.client.borrow().clone();
        let connecting = self.endpoint.connect(self.address, "entry", Some(config));
        let connecting = connecting.ok()?;
        let connection = match timeout(PATIENCE, connecting).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => {
                debug!(self.log, "peer: cannot connect"; "entry" => %self.entry, "error" => %error);
                return None;
            }
            Err(_) => return None,
        };
        self.roster.borrow_mut().insert(&connection)?;
        Some(connection)
    }

    fn drop(&self, connection: Option<Connection>) {
        if let Some(connection) = connection {
            connection.close(CLOSED, b"");
            self.roster.borrow_mut().remove(&connection);
        }
    }
}

async fn send(connection: &Connection, message: Bytes) -> bool {
    let write = async {
        let mut stream = connection.open_uni_wait().await.ok()?;
        stream.write_all_chunks(&mut [message]).await.ok()?;
        stream.finish().ok()
    };
    timeout(PATIENCE, write)
        .await
        .is_ok_and(|done| done.is_some())
}
