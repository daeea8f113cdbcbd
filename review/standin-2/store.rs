//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reply;
use crate::http::Request;
use crate::http::Server;
use crate::json::Json;
use crate::json::base64;
use crate::json::quote;
use crate::json::unbase64;

/// Limits of the settings of the small deployment.
const VALUE_BYTES: usize = 1_048_576;
const MAX_ENTRIES: usize = 32;
const MAX_KEY: usize = 200;
const MIN_TTL: u64 = 1_000;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and whether it was removed; the value is that of the item as written.
    events: Vec<(u64, String, Option<String>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
    /// Time of an answer in milliseconds.
    pub answer_ms: AtomicU64,
    /// Transactions that were refused as a whole because of a limit.
    pub refused: AtomicUsize,
    pub last_refusal: Mutex<String>,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let store = Arc::new(Store {
            content: Mutex::new(Content { revision: 100, next_lease: 500, ..Content::default() }),
            changed: Condvar::new(),
            answer_ms: AtomicU64::new(4),
            refused: AtomicUsize::new(0),
            last_refusal: Mutex::new(String::new()),
        });
        let ticker = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                ticker.expire();
            }
        });
        store
    }

    /// Serves the store on a new address.
    pub fn serve(self: &Arc<Self>) -> Server {
        let store = Arc::clone(self);
        Server::start(Arc::new(move |request| store.handle(request)))
    }

    /// Writes a key as the operator or a minion does.
    pub fn put(&self, key: &str, value: &str) {
        self.content.lock().unwrap().set(key, &base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.content.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    pub fn value(&self, key: &str) -> Option<String> {
        let content = self.content.lock().unwrap();
        let bytes = unbase64(&content.items.get(key)?.value)?;
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    fn expire(&self) {
        let mut content = self.content.lock().unwrap();
        let now = Instant::now();
        let over: Vec<u64> = content.leases.iter().filter(|it| it.1.1 <= now).map(|it| *it.0).collect();
        for lease in over {
            content.end(lease);
            self.changed.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Reply {
        let reply = self.answer(request);
        thread::sleep(Duration::from_millis(self.answer_ms.load(Ordering::Relaxed)));
        reply
    }

    fn answer(&self, request: &Request) -> Reply {
        let path = request.path.as_str();
        let number = |prefix: &str| path.strip_prefix(prefix).and_then(|it| it.parse::<u64>().ok());
        match (request.method.as_str(), path) {
            ("GET", "/wigeonhinge/kv-key") => {
                let content = self.content.lock().unwrap();
                match content.items.get(request.param("key")) {
                    Some(item) => Reply(200, item.encode(request.param("key"), content.revision)),
                    None => Reply(404, "{}".into()),
                }
            }
            ("GET", "/wigeonhinge/kv-range") => self.range(request.param("prefix"), request.param("after")),
            ("GET", "/wigeonhinge/kv-watch") => {
                let number = |name: &str| request.param(name).parse::<u64>().unwrap_or(0);
                self.watch(request.param("prefix"), number("after"), number("waitMs"))
            }
            ("POST", "/wigeonhinge/kv-txn") => self.commit(&request.body),
            ("POST", "/wigeonhinge/kv-lease") => {
                let ttl = Json::parse(&request.body).map_or(0, |it| it.get("ttlMs").int());
                if ttl < MIN_TTL {
                    return Reply(400, "{}".into());
                }
                let mut content = self.content.lock().unwrap();
                content.next_lease += 1;
                let (lease, time) = (content.next_lease, Duration::from_millis(ttl));
                content.leases.insert(lease, (time, Instant::now() + time));
                Reply(200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            _ => match (number("/wigeonhinge/kv-keep/"), number("/wigeonhinge/kv-lease-end/")) {
                (Some(lease), _) => match self.content.lock().unwrap().leases.get_mut(&lease) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        Reply(200, format!("{{\"ttlMs\":{}}}", ttl.as_millis()))
                    }
                    None => Reply(404, "{}".into()),
                },
                (_, Some(lease)) => {
                    self.content.lock().unwrap().end(lease);
                    self.changed.notify_all();
                    Reply(200, "{}".into())
                }
                _ => Reply(404, "{}".into()),
            },
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        let content = self.content.lock().unwrap();
        let (mut rows, mut bytes, mut truncated) = (Vec::new(), 0, false);
        for (key, item) in content.items.range(prefix.to_owned()..) {
            if !key.starts_with(prefix) {
                break;
            }
            if !after.is_empty() && key.as_str() <= after {
                continue;
            }
            if rows.len() >= PAGE_ITEMS || bytes > PAGE_BYTES {
                truncated = true;
                break;
            }
            bytes += item.value.len();
            rows.push(item.encode(key, content.revision));
        }
        let (rows, revision) = (rows.join(","), content.revision);
        Reply(200, format!("{{\"items\":[{rows}],\"truncated\":{truncated},\"asOf\":{revision}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut content = self.content.lock().unwrap();
        loop {
            let start = content.events.partition_point(|it| it.0 <= after);
            let rows = content.events[start..].iter().filter(|it| it.1.starts_with(prefix));
            let rows: Vec<String> = rows
                .map(|(revision, key, value)| match value {
                    Some(value) => format!(
                        "{{\"key\":{},\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
                        quote(key)
                    ),
                    None => format!("{{\"key\":{},\"revision\":{revision},\"deleted\":true}}", quote(key)),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (rows, revision) = (rows.join(","), content.revision);
                return Reply(200, format!("{{\"events\":[{rows}],\"asOf\":{revision}}}"));
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }

    fn refuse(&self, status: u16, reason: String) -> Reply {
        self.refused.fetch_add(1, Ordering::Relaxed);
        *self.last_refusal.lock().unwrap() = reason.clone();
        Reply(status, format!("{{\"reason\":{}}}", quote(&reason)))
    }

    fn commit(&self, body: &str) -> Reply {
        let Some(body) = Json::parse(body) else {
            return Reply(400, "{}".into());
        };
        let (expect, writes) = (body.get("expectedRev").items(), body.get("writes").items());
        let removes = body.get("remove").items();
        let entries = expect.len() + writes.len() + removes.len();
        if entries > MAX_ENTRIES {
            return self.refuse(400, format!("{entries} entries, {MAX_ENTRIES} at most"));
        }
        for write in writes {
            let (key, value) = (write.get("key").text(), write.get("value").text());
            let padding = value.bytes().rev().take_while(|it| *it == b'=').count();
            let bytes = value.len() / 4 * 3 - padding.min(value.len());
            if bytes > VALUE_BYTES {
                return self.refuse(400, format!("the value of {key} has {bytes} bytes, {VALUE_BYTES} at most"));
            }
            if key.len() > MAX_KEY {
                return self.refuse(400, format!("the key {key} is too long"));
            }
        }
        let mut keys = writes.iter().map(|it| it.get("key")).chain(removes);
        if keys.any(|it| it.text().starts_with("op/") || it.text().starts_with("servers/")) {
            return self.refuse(403, "a key of the operator or of minions".into());
        }
        let mut content = self.content.lock().unwrap();
        let revision = |key: &str| content.items.get(key).map_or(0, |it| it.revision);
        if expect.iter().any(|it| revision(it.get("key").text()) != it.get("revision").int()) {
            let rows = expect.iter().filter_map(|it| {
                let key = it.get("key").text();
                Some(content.items.get(key)?.encode(key, content.revision))
            });
            let rows: Vec<String> = rows.collect();
            return Reply(412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        let lease = |it: &Json| it.get("lease").int();
        if writes.iter().any(|it| lease(it) > 0 && !content.leases.contains_key(&lease(it))) {
            return Reply(404, "{}".into());
        }
        content.revision += 1;
        let revision = content.revision;
        for write in writes {
            content.set_at(write.get("key").text(), write.get("value").text(), lease(write), revision);
        }
        for key in removes {
            content.remove_at(key.text(), revision);
        }
        self.changed.notify_all();
        Reply(200, format!("{{\"revision\":{revision}}}"))
    }
}

impl Item {
    fn encode(&self, key: &str, as_of: u64) -> String {
        let Item { value, revision, created, lease } = self;
        format!(
            "{{\"key\":{},\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease},\"asOf\":{as_of}}}",
            quote(key)
        )
    }
}

impl Content {
    fn set(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        self.set_at(key, value, lease, self.revision);
    }

    fn set_at(&mut self, key: &str, value: &str, lease: u64, revision: u64) {
        let created = self.items.get(key).map_or(revision, |it| it.created);
        let item = Item { value: value.into(), revision, created, lease };
        self.items.insert(key.into(), item);
        self.events.push((revision, key.into(), Some(value.into())));
    }

    fn remove(&mut self, key: &str) {
        if self.items.contains_key(key) {
            self.revision += 1;
            self.remove_at(key, self.revision);
        }
    }

    fn remove_at(&mut self, key: &str, revision: u64) {
        if self.items.remove(key).is_some() {
            self.events.push((revision, key.into(), None));
        }
    }

    fn end(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_some() {
            let keys = self.items.iter().filter(|it| it.1.lease == lease);
            let keys: Vec<String> = keys.map(|it| it.0.clone()).collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}
