//! Stand-in of the platform's store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Record;
use crate::free_address;
use crate::http;
use crate::http::Reply;
use crate::http::Request;
use crate::json;
use crate::json::Value;
use crate::object;

const MAX_PAGE_ITEMS: usize = 500;
const MAX_PAGE_BYTES: usize = 1 << 20;
const MAX_ENTRIES: usize = 32;
const MAX_KEY_BYTES: usize = 200;

/// `valueBytes` of the settings in DEPLOY.md.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

#[derive(Clone)]
struct Item {
    /// Value in base64, as it is on the wire.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    down: bool,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl State {
    fn put(&mut self, key: &str, value: Option<(String, u64)>) {
        let item = value.map(|(value, lease)| {
            let created = self.items.get(key).map_or(self.revision, |it| it.created);
            Item {
                value,
                revision: self.revision,
                created,
                lease,
            }
        });
        match &item {
            Some(item) => {
                self.items.insert(key.to_owned(), item.clone());
            }
            None if self.items.remove(key).is_none() => return,
            None => {}
        }
        self.history.push((self.revision, key.to_owned(), item));
    }

    /// Ends leases whose time is over.
    fn expire(&mut self, now: Instant) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|it| it.1.0 <= now)
            .map(|it| *it.0)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys = self.items.iter().filter(|it| it.1.lease == lease);
        let keys: Vec<String> = keys.map(|it| it.0.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.put(&key, None);
        }
    }
}

fn encode_item(key: &str, item: &Item) -> Value {
    object(&[
        ("key", key.into()),
        ("value", item.value.as_str().into()),
        ("revision", item.revision.into()),
        ("created", item.created.into()),
        ("lease", item.lease.into()),
    ])
}

impl Store {
    pub fn spawn(record: Arc<Record>) -> Arc<Self> {
        let store = Arc::new(Self {
            address: free_address(),
            state: Mutex::new(State {
                revision: 1,
                next_lease: 1_000,
                ..State::default()
            }),
            changed: Condvar::new(),
            record,
        });
        let served = Arc::clone(&store);
        http::serve(store.address, move |request| served.handle(request));
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                let mut state = expiring.state.lock().unwrap();
                if !state.down {
                    state.expire(Instant::now());
                    drop(state);
                    expiring.changed.notify_all();
                }
            }
        });
        store
    }

    /// Writes an item as an operator or a worker does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, Some((encode_base64(value.as_bytes()), 0)));
        drop(state);
        self.changed.notify_all();
    }

    /// Removes an item as a worker does that leaves.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, None);
        drop(state);
        self.changed.notify_all();
    }

    /// Returns the text of an item.
    pub fn read(&self, key: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let value = state.items.get(key).map(|it| it.value.clone());
        value.map(|it| String::from_utf8_lossy(&decode_base64(&it)).into_owned())
    }

    pub fn is_down(&self) -> bool {
        self.state.lock().unwrap().down
    }

    /// Makes the store answer all calls with 503 for a time, in which leases pause.
    pub fn take_down(&self, time: Duration) {
        self.record.add(format!(
            "store: down for {} ms, answers 503",
            time.as_millis()
        ));
        self.state.lock().unwrap().down = true;
        self.changed.notify_all();
        thread::sleep(time);
        let mut state = self.state.lock().unwrap();
        state.down = false;
        for lease in state.leases.values_mut() {
            lease.0 += time;
        }
        drop(state);
        self.changed.notify_all();
        self.record.add("store: back");
    }

    fn handle(&self, request: &Request) -> Reply {
        if self.is_down() {
            return Some((503, "{}".into()));
        }
        let path = request
            .path
            .strip_prefix("/wigeonhinge/")
            .unwrap_or_default();
        match path {
            "kv-key" => self.get(request.query("key")),
            "kv-range" => self.range(request.query("prefix"), request.query("after")),
            "kv-watch" => self.watch(request),
            "kv-txn" => self.commit(&json::parse(&request.body)),
            "kv-lease" => {
                let ttl = json::parse(&request.body)
                    .get("ttlMs")
                    .number()
                    .clamp(1_000, 600_000);
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                let time = Duration::from_millis(ttl);
                state.leases.insert(lease, (Instant::now() + time, time));
                let body = object(&[("lease", lease.into()), ("ttlMs", ttl.into())]);
                Some((200, body.to_string()))
            }
            _ => {
                let (call, lease) = path.split_once('/').unwrap_or_default();
                let lease: u64 = lease.parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                let now = Instant::now();
                match (call, state.leases.get_mut(&lease)) {
                    (_, None) => Some((404, "{}".into())),
                    ("kv-keep", Some((end, time))) => {
                        *end = now + *time;
                        let ttl = time.as_millis() as u64;
                        Some((200, object(&[("ttlMs", ttl.into())]).to_string()))
                    }
                    ("kv-lease-end", Some(_)) => {
                        state.end_lease(lease);
                        drop(state);
                        self.changed.notify_all();
                        Some((200, "{}".into()))
                    }
                    _ => Some((404, "{}".into())),
                }
            }
        }
    }

    fn get(&self, key: &str) -> Reply {
        let state = self.state.lock().unwrap();
        match state.items.get(key) {
            Some(item) => Some((200, encode_item(key, item).to_string())),
            None => Some((404, "{}".into())),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        let state = self.state.lock().unwrap();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut truncated = false;
        for (key, item) in state.items.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if !after.is_empty() && key.as_str() <= after {
                continue;
            }
            if items.len() >= MAX_PAGE_ITEMS
                || (bytes > 0 && bytes + item.value.len() > MAX_PAGE_BYTES)
            {
                truncated = true;
                break;
            }
            bytes += item.value.len();
            items.push(encode_item(key, item));
        }
        let body = object(&[
            ("items", Value::List(items)),
            ("truncated", Value::Bool(truncated)),
            ("asOf", state.revision.into()),
        ]);
        Some((200, body.to_string()))
    }

    fn watch(&self, request: &Request) -> Reply {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = request.query("waitMs").parse().unwrap_or(0).min(30_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            if state.down {
                return None;
            }
            let from = state.history.partition_point(|it| it.0 <= after);
            let events: Vec<Value> = state.history[from..]
                .iter()
                .filter(|it| it.1.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => encode_item(key, item),
                    None => object(&[
                        ("key", key.as_str().into()),
                        ("revision", (*revision).into()),
                        ("deleted", Value::Bool(true)),
                    ]),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = object(&[
                    ("events", Value::List(events)),
                    ("asOf", state.revision.into()),
                ]);
                return Some((200, body.to_string()));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Value) -> Reply {
        let (expect, writes, removes) = (
            body.get("expectedRev"),
            body.get("writes"),
            body.get("remove"),
        );
        let count = expect.list().len() + writes.list().len() + removes.list().len();
        let refuse = |status: u16, reason: String| {
            self.record.add(format!(
                "store: a transaction is refused with {status}: {reason}"
            ));
            Some((status, object(&[("reason", reason.into())]).to_string()))
        };
        if count > MAX_ENTRIES {
            return refuse(400, format!("{count} entries, {MAX_ENTRIES} at most"));
        }
        for write in writes.list() {
            let key = write.get("key").text();
            let size = decoded_length(&write.get("value").text());
            if key.len() > MAX_KEY_BYTES || size > MAX_VALUE_BYTES {
                return refuse(
                    400,
                    format!("{key}: {size} bytes, {MAX_VALUE_BYTES} at most"),
                );
            }
            if key.starts_with("op/") || key.starts_with("servers/") {
                return refuse(403, format!("{key} is not the system's"));
            }
        }
        let mut state = self.state.lock().unwrap();
        state.expire(Instant::now());
        let current = |state: &State, key: &str| state.items.get(key).map_or(0, |it| it.revision);
        let holds = expect
            .list()
            .iter()
            .all(|row| current(&state, &row.get("key").text()) == row.get("revision").number());
        if !holds {
            let items = expect.list().iter().map(|row| {
                let key = row.get("key").text();
                match state.items.get(&key) {
                    Some(item) => encode_item(&key, item),
                    None => object(&[("key", key.into()), ("revision", 0.into())]),
                }
            });
            let body = object(&[("items", Value::List(items.collect()))]);
            return Some((412, body.to_string()));
        }
        let leases = writes.list().iter().map(|it| it.get("lease").number());
        if leases
            .filter(|it| *it != 0)
            .any(|it| !state.leases.contains_key(&it))
        {
            return Some((404, "{}".into()));
        }
        state.revision += 1;
        for write in writes.list() {
            let value = (write.get("value").text(), write.get("lease").number());
            state.put(&write.get("key").text(), Some(value));
        }
        for key in removes.list() {
            state.put(&key.text(), None);
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        Some((200, object(&[("revision", revision.into())]).to_string()))
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let number = (0..3).fold(0u32, |sum, it| {
            sum << 8 | u32::from(*chunk.get(it).unwrap_or(&0))
        });
        for digit in 0..4 {
            let used = digit <= chunk.len();
            let value = (number >> (18 - 6 * digit)) & 63;
            out.push(if used {
                char::from(DIGITS[value as usize])
            } else {
                '='
            });
        }
    }
    out
}

fn decode_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut number, mut bits) = (0u32, 0);
    for byte in text.bytes() {
        let Some(value) = DIGITS.iter().position(|it| *it == byte) else {
            break;
        };
        number = (number << 6 | value as u32) & 0xff_ffff;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((number >> bits) as u8);
        }
    }
    out
}

fn decoded_length(text: &str) -> usize {
    let padding = text.bytes().rev().take_while(|it| *it == b'=').count();
    text.len() / 4 * 3 - padding.min(text.len())
}
