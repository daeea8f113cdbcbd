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

/// Maximum encoded size of a message in bytes; leaves room for a document of 1 MB.
pub const MAX_MESSAGE_BYTES: usize = 1_200_000;

/// Timeout of a handshake and of sending or receiving one message.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between a failed delivery and the next connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of messages queued for one peer; further messages are dropped.
const MAX_QUEUED: usize = 32;

/// Maximum number of concurrent connections, including handshakes in progress.
const MAX_CONNECTIONS: usize = 256;

/// Time without an outgoing message after which an outgoing connection is closed.
const UNUSED_TIMEOUT: Duration = Duration::from_secs(5);

/// Size of the IPv4 and UDP headers of a datagram, which QUIC statistics leave out.
const HEADER_BYTES: u64 = 28;

/// Application error code of a connection that this entry closes.
const CLOSE_CODE: VarInt = VarInt::from_u32(0);

/// Event on a connection to or from a peer.
#[derive(Debug)]
pub(crate) enum PeerEvent {
    /// A message received from a peer.
    Message(EntryId, Box<Body>),
    /// A message could not be delivered to this peer.
    Unreachable(EntryId),
}

/// Bytes sent and received on all connections, including IPv4 and UDP headers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) sent: u64,
    pub(crate) received: u64,
}

/// QUIC endpoint of this entry with its connections to and from peers.
#[derive(Debug)]
pub(crate) struct Peers {
    endpoint: Endpoint,
    trust: Arc<Trust>,
    client: Rc<RefCell<ClientConfig>>,
    events: flume::Sender<PeerEvent>,
    links: BTreeMap<EntryId, Link>,
    connections: Rc<RefCell<ConnectionTable>>,
    log: Logger,
}

/// Outgoing queue to one peer, drained by a task that runs [`deliver`].
#[derive(Debug)]
struct Link {
    address: SocketAddr,
    queue: flume::Sender<Bytes>,
    last_used: Instant,
}

/// Open connections by their stable id, with the fingerprint of the peer.
#[derive(Debug, Default)]
struct ConnectionTable {
    open: BTreeMap<usize, (Fingerprint, Connection)>,
    /// Traffic of the connections that are no longer open.
    closed: Traffic,
}

impl Peers {
    /// Opens the endpoint on a bound socket and starts a task that accepts peers.
    ///
    /// Received messages and failed deliveries go to `events`.
    pub(crate) fn bind(
        socket: std::net::UdpSocket,
        settings: &Settings,
        events: flume::Sender<PeerEvent>,
        log: Logger,
    ) -> Result<Self> {
        let pins = trust::parse_pins(&settings.trusted)?;
        let trust = Trust::new(pins, log.clone());
        let (client, server) = trust::configs(settings.identity.as_ref(), &trust)?;
        let socket = UdpSocket::from_std(socket)?;
        let config = EndpointConfig::default();
        let endpoint = Endpoint::new(socket, config, Some(server), None)?;
        let connections = Rc::default();
        let listener = Listener {
            trust: Arc::clone(&trust),
            events: events.clone(),
            connections: Rc::clone(&connections),
            log: log.clone(),
        };
        compio::runtime::spawn(accept(endpoint.clone(), listener)).detach();
        Ok(Self {
            endpoint,
            trust,
            client: Rc::new(RefCell::new(client)),
            events,
            links: BTreeMap::new(),
            connections,
            log,
        })
    }

    /// Applies a new key and new trusted fingerprints.
    ///
    /// Closes every connection if the key of this entry changed (`rekeyed`),
    /// otherwise those of peers whose fingerprint is no longer trusted.
    pub(crate) fn reload(&mut self, settings: &Settings, rekeyed: bool) -> Result<()> {
        let pins = trust::parse_pins(&settings.trusted)?;
        let (client, server) = trust::configs(settings.identity.as_ref(), &self.trust)?;
        self.trust.replace(pins);
        let connections = self.connections.borrow();
        if rekeyed {
            *self.client.borrow_mut() = client;
            self.endpoint.set_server_config(Some(server));
            connections.close_if(|_| true);
        }
        connections.close_if(|fingerprint| !self.trust.trusts(fingerprint));
        Ok(())
    }

    /// Queues a message for an entry; drops it if the queue of the entry is full.
    pub(crate) fn send(&mut self, entry: &EntryId, address: SocketAddr, message: Bytes) {
        if self.links.get(entry).map(|link| link.address) != Some(address) {
            let link = self.open_link(entry.clone(), address);
            self.links.insert(entry.clone(), link);
        }
        if let Some(link) = self.links.get_mut(entry) {
            link.last_used = Instant::now();
            // The queue is full only if the peer does not answer; the message is dropped then.
            let _ = link.queue.try_send(message);
        }
    }

    /// Closes the outgoing connections that have not been used for [`UNUSED_TIMEOUT`].
    pub(crate) fn expire(&mut self) {
        self.links
            .retain(|_, link| link.last_used.elapsed() < UNUSED_TIMEOUT);
    }

    /// Returns the traffic since the endpoint was bound.
    pub(crate) fn traffic(&self) -> Traffic {
        self.connections.borrow().traffic()
    }

    /// Closes the endpoint with every connection.
    pub(crate) fn close(&mut self) {
        self.links.clear();
        self.endpoint.close(CLOSE_CODE, b"stopped");
    }

    fn open_link(&self, entry: EntryId, address: SocketAddr) -> Link {
        let (queue, messages) = flume::bounded(MAX_QUEUED);
        let dialer = Dialer {
            entry,
            address,
            endpoint: self.endpoint.clone(),
            client: Rc::clone(&self.client),
            connections: Rc::clone(&self.connections),
            log: self.log.clone(),
        };
        compio::runtime::spawn(deliver(dialer, messages, self.events.clone())).detach();
        Link {
            address,
            queue,
            last_used: Instant::now(),
        }
    }
}

impl ConnectionTable {
    /// Adds a connection and returns the fingerprint of the peer; `None` if the
    /// peer presented no certificate.
    fn insert(&mut self, connection: &Connection) -> Option<Fingerprint> {
        let chain = connection.peer_identity()?;
        let fingerprint = trust::digest(chain.first()?);
        let entry = (fingerprint, connection.clone());
        self.open.insert(connection.stable_id(), entry);
        Some(fingerprint)
    }

    fn remove(&mut self, connection: &Connection) {
        if self.open.remove(&connection.stable_id()).is_some() {
            self.closed.add(connection);
        }
    }

    fn close_if(&self, unwanted: impl Fn(&Fingerprint) -> bool) {
        for (fingerprint, connection) in self.open.values() {
            if unwanted(fingerprint) {
                connection.close(CLOSE_CODE, b"key changed");
            }
        }
    }

    fn traffic(&self) -> Traffic {
        let mut total = self.closed;
        for (_, connection) in self.open.values() {
            total.add(connection);
        }
        total
    }
}

impl Traffic {
    fn add(&mut self, connection: &Connection) {
        let stats = connection.stats();
        self.sent += stats.udp_tx.bytes + HEADER_BYTES * stats.udp_tx.datagrams;
        self.received += stats.udp_rx.bytes + HEADER_BYTES * stats.udp_rx.datagrams;
    }
}

/// Receives messages on the connections that peers make.
struct Listener {
    trust: Arc<Trust>,
    events: flume::Sender<PeerEvent>,
    connections: Rc<RefCell<ConnectionTable>>,
    log: Logger,
}

async fn accept(endpoint: Endpoint, listener: Listener) {
    let listener = Rc::new(listener);
    while let Some(incoming) = endpoint.wait_incoming().await {
        if endpoint.open_connections() > MAX_CONNECTIONS {
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
        let Ok(Ok(connection)) = timeout(TRANSFER_TIMEOUT, connecting).await else {
            return;
        };
        let fingerprint = self.connections.borrow_mut().insert(&connection);
        // A reload may have removed the fingerprint during the handshake.
        if fingerprint.is_some_and(|fingerprint| self.trust.trusts(&fingerprint)) {
            self.receive(&connection).await;
        }
        connection.close(CLOSE_CODE, b"");
        self.connections.borrow_mut().remove(&connection);
    }

    /// Passes on messages until the connection ends, a message times out or one cannot be decoded.
    async fn receive(&self, connection: &Connection) {
        while let Ok(stream) = connection.accept_uni().await {
            let (entry, body) = match timeout(TRANSFER_TIMEOUT, read(stream)).await {
                Ok(Ok(message)) => message,
                Ok(Err(error)) => {
                    debug!(self.log, "peer: bad message; connection closed"; "error" => %error);
                    return;
                }
                Err(_) => return,
            };
            let event = PeerEvent::Message(entry, Box::new(body));
            if self.events.send_async(event).await.is_err() {
                return;
            }
        }
    }
}

/// Reads the one message of a stream.
async fn read(mut stream: RecvStream) -> Result<(EntryId, Body)> {
    let mut message = Vec::new();
    while let Some(chunk) = stream.read_chunk(MAX_MESSAGE_BYTES, true).await? {
        message.extend_from_slice(&chunk.bytes);
        if message.len() > MAX_MESSAGE_BYTES {
            return Err(eyre!("message is longer than {MAX_MESSAGE_BYTES} bytes"));
        }
    }
    decode(&message)
}

/// Decodes a message and returns it with its sender.
///
/// The sender of a heartbeat is the entry that the heartbeat names; that of any
/// other message is in the envelope.
///
/// # Errors
///
/// Returns an error if the bytes are no envelope or its body is of an unknown kind.
pub fn decode(message: &[u8]) -> Result<(EntryId, Body)> {
    let Envelope { sender, body } = Envelope::decode(message)?;
    let body = body.ok_or_else(|| eyre!("message has no body of a known kind"))?;
    let entry = match &body {
        Body::Heartbeat(beat) => EntryId::from(&beat.entry),
        _ => EntryId::from(sender),
    };
    Ok((entry, body))
}

/// Encodes a message for [`decode`].
///
/// `sender` may be empty for a heartbeat, which names its sender itself.
pub fn encode(sender: &str, body: Body) -> Bytes {
    let envelope = Envelope {
        sender: sender.to_owned(),
        body: Some(body),
    };
    Bytes::from(envelope.encode_to_vec())
}

/// Connects to one peer and sends messages to it.
struct Dialer {
    entry: EntryId,
    address: SocketAddr,
    endpoint: Endpoint,
    client: Rc<RefCell<ClientConfig>>,
    connections: Rc<RefCell<ConnectionTable>>,
    log: Logger,
}

/// Delivers the messages of a queue until its [`Link`] is dropped.
///
/// After a failed delivery it reports the peer as unreachable, waits
/// [`RECONNECT_DELAY`] and drops the messages queued until then.
async fn deliver(
    dialer: Dialer,
    messages: flume::Receiver<Bytes>,
    events: flume::Sender<PeerEvent>,
) {
    let mut connection: Option<Connection> = None;
    while let Ok(message) = messages.recv_async().await {
        if !dialer.deliver(&mut connection, message).await {
            // Sending fails only if the receiver is gone, when no one needs the event.
            let _ = events
                .send_async(PeerEvent::Unreachable(dialer.entry.clone()))
                .await;
            compio::time::sleep(RECONNECT_DELAY).await;
            messages.drain();
        }
    }
    dialer.disconnect(connection);
}

impl Dialer {
    /// Sends a message and returns whether that succeeded.
    ///
    /// Makes a new connection if there is none or if sending on it fails.
    async fn deliver(&self, connection: &mut Option<Connection>, message: Bytes) -> bool {
        if let Some(open) = connection {
            if send(open, message.clone()).await {
                return true;
            }
            self.disconnect(connection.take());
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
        let connection = match timeout(TRANSFER_TIMEOUT, connecting).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => {
                debug!(
                    self.log, "peer: cannot connect; message dropped";
                    "entry" => %self.entry, "error" => %error
                );
                return None;
            }
            Err(_) => return None,
        };
        self.connections.borrow_mut().insert(&connection)?;
        Some(connection)
    }

    fn disconnect(&self, connection: Option<Connection>) {
        if let Some(connection) = connection {
            connection.close(CLOSE_CODE, b"");
            self.connections.borrow_mut().remove(&connection);
        }
    }
}

/// Sends a message on a stream of its own and returns whether that succeeded.
async fn send(connection: &Connection, message: Bytes) -> bool {
    let write = async {
        let mut stream = connection.open_uni_wait().await.ok()?;
        stream.write_all_chunks(&mut [message]).await.ok()?;
        stream.finish().ok()
    };
    timeout(TRANSFER_TIMEOUT, write)
        .await
        .is_ok_and(|done| done.is_some())
}
