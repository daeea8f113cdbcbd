//! From a request to the part of the platform that answers it.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::Method;
use hyper::Uri;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use super::State;
use crate::store;
use crate::store::Store;
use crate::workers;
use crate::workers::Order;
use crate::workers::Start;

/// Longest time that a watch waits.
const WATCH_LIMIT: Duration = Duration::from_secs(60);

/// A call and its kind.
pub(super) struct Call {
    /// Kind, as the counters name it.
    pub(super) kind: &'static str,
    path: Vec<String>,
    query: BTreeMap<String, String>,
    body: Bytes,
}

/// Status and body; no answer while a watch waits.
type Answer = Option<(u16, Option<Value>)>;

#[derive(Deserialize)]
struct Put {
    value: Value,
    expect: u64,
    lease: Option<u64>,
}

#[derive(Deserialize)]
struct Grant {
    holder: String,
    ttl_ms: u64,
}

impl Call {
    pub(super) fn new(method: &Method, uri: &Uri, body: Bytes) -> Self {
        let path: Vec<String> = uri
            .path()
            .trim_start_matches("/v1/")
            .split('/')
            .map(str::to_owned)
            .collect();
        let query = uri
            .query()
            .unwrap_or_default()
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let mut call = Self {
            kind: "unknown",
            path,
            query,
            body,
        };
        call.kind = call.classify(method);
        call
    }

    fn classify(&self, method: &Method) -> &'static str {
        let path: Vec<&str> = self.path.iter().map(String::as_str).collect();
        match (method.as_str(), path.as_slice()) {
            ("GET", ["kv", _, ..]) => "get",
            ("PUT", ["kv", _, ..]) => "put",
            ("DELETE", ["kv", _, ..]) => "delete",
            ("GET", ["list"]) => "list",
            ("GET", ["watch"]) if self.wait().is_zero() => "poll",
            ("GET", ["watch"]) => "watch",
            ("POST", ["leases"]) => "grant",
            ("POST", ["leases", _, "renew"]) => "renew",
            ("DELETE", ["leases", _]) => "revoke",
            ("GET", ["vms"]) => "vms",
            ("GET", ["workers"]) => "workers",
            ("POST", ["workers", _, "tasks"]) => "start",
            ("POST", ["workers", _, "tasks", _, _]) => "task",
            ("POST", ["workers", _, _]) => "command",
            _ => "unknown",
        }
    }

    /// Returns whether the call changes anything.
    pub(super) fn writes(&self) -> bool {
        !matches!(
            self.kind,
            "get" | "list" | "poll" | "watch" | "vms" | "workers" | "unknown"
        )
    }

    /// Returns how long a watch waits; zero for every other call.
    pub(super) fn wait(&self) -> Duration {
        Duration::from_millis(self.number("wait_ms")).min(WATCH_LIMIT)
    }

    fn number(&self, name: &str) -> u64 {
        let value = self.query.get(name);
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    }

    fn text(&self, name: &str) -> &str {
        self.query.get(name).map_or("", String::as_str)
    }

    fn read<'a, T: Deserialize<'a>>(&'a self) -> Option<T> {
        serde_json::from_slice(&self.body).ok()
    }
}

/// Answers a call; `None` while a watch has to wait and its time is not `over`.
pub(super) fn respond(state: &mut State, call: &Call, over: bool) -> Answer {
    match call.kind {
        "watch" | "poll" => watch(state.readable(), call, over),
        "get" | "list" | "put" | "delete" => Some(keys(state, call)),
        "grant" | "renew" | "revoke" => Some(leases(&mut state.store, call)),
        "vms" => Some((200, Some(state.vms.list(Instant::now())))),
        "workers" => {
            let list = state
                .workers
                .list(call.text("vms").split(','), Instant::now());
            Some((200, Some(list)))
        }
        "start" | "task" | "command" => Some(orders(state, call)),
        _ => Some((404, None)),
    }
}

fn watch(store: &Store, call: &Call, over: bool) -> Answer {
    let key = call.text("key");
    match store.get(key) {
        Some((version, value)) if version > call.number("after") => {
            Some((200, Some(document(key, version, value))))
        }
        _ if over => Some((204, None)),
        _ => None,
    }
}

fn keys(state: &mut State, call: &Call) -> (u16, Option<Value>) {
    let key = call.path[1..].join("/");
    match call.kind {
        "get" => match state.readable().get(&key) {
            Some((version, value)) => (200, Some(document(&key, version, value))),
            None => (404, None),
        },
        "list" => {
            let items = state.readable().list(call.text("prefix"));
            let items: Vec<Value> = items
                .into_iter()
                .map(|(key, version)| json!({ "key": key, "version": version }))
                .collect();
            (200, Some(json!({ "items": items })))
        }
        "put" => match call.read::<Put>() {
            Some(put) => written(state.store.put(&key, put.value, put.expect, put.lease)),
            None => (400, None),
        },
        _ => written(state.store.delete(&key, call.number("expect"))),
    }
}

fn document(key: &str, version: u64, value: &Value) -> Value {
    json!({ "key": key, "version": version, "value": value })
}

fn written(result: Result<u64, store::Refusal>) -> (u16, Option<Value>) {
    match result {
        Ok(version) => (200, Some(json!({ "version": version }))),
        Err(store::Refusal::Conflict(version)) => (409, Some(json!({ "version": version }))),
        Err(store::Refusal::NoLease) => (404, None),
        Err(store::Refusal::TooLarge) => (413, None),
    }
}

fn leases(store: &mut Store, call: &Call) -> (u16, Option<Value>) {
    let now = Instant::now();
    if call.kind == "grant" {
        let Some(grant) = call.read::<Grant>() else {
            return (400, None);
        };
        let ttl = Duration::from_millis(grant.ttl_ms);
        let lease = store.grant(&grant.holder, ttl, now);
        return (200, Some(json!({ "lease": lease })));
    }
    let lease = call.path[1].parse().unwrap_or(0);
    let found = match call.kind {
        "renew" => store.renew(lease, now),
        _ => store.revoke(lease),
    };
    match found {
        true => (200, Some(json!({}))),
        false => (404, None),
    }
}

fn orders(state: &mut State, call: &Call) -> (u16, Option<Value>) {
    let now = Instant::now();
    let vm = &call.path[1];
    let done = if call.kind == "start" {
        let Some(start) = call.read::<Start>() else {
            return (400, None);
        };
        state.workers.start(vm, &start, now).map(Some)
    } else {
        let Some(order) = call.read::<Order>() else {
            return (400, None);
        };
        match call.path.as_slice() {
            [_, _, _, id, command] => state.workers.task(vm, id, command, &order, now).map(Some),
            [_, _, command] => state
                .workers
                .command(vm, command, &order, now)
                .map(|()| None),
            _ => return (404, None),
        }
    };
    match done {
        Ok(answer) => (200, Some(answer.unwrap_or_else(|| json!({})))),
        Err(workers::Refusal::Absent) => (404, None),
        Err(workers::Refusal::Fenced(fence)) => (409, Some(json!({ "fence": fence }))),
        Err(workers::Refusal::State(reason)) => (422, Some(json!({ "reason": reason }))),
    }
}
