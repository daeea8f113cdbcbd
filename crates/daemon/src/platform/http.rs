//! Client of the platform over HTTP/1.1.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use cyper::Client;
use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::platform::Authority;
use crate::platform::Document;
use crate::platform::Error;
use crate::platform::KeyVersion;
use crate::platform::LeaseId;
use crate::platform::Platform;
use crate::platform::Result;
use crate::platform::StartRequest;
use crate::platform::Swap;
use crate::platform::TaskCommand;
use crate::platform::TaskReply;
use crate::platform::Version;
use crate::platform::VmList;
use crate::platform::WorkerCommand;
use crate::platform::WorkerList;
use crate::platform::WorkerReply;
use crate::platform::decode;

/// Timeout of one call; a watch may take its wait in addition.
///
/// A session lease of 6 s survives one call that takes the whole timeout.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Largest `content-length` of an answer whose body is read.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Size of the head of every request, without the URL.
const REQUEST_HEAD_BYTES: usize = 110;

/// Size of the status line and the empty line of an answer.
const STATUS_LINE_BYTES: usize = 19;

/// Header with the name of the calling entry.
const CALLER_HEADER: &str = "wigeonhinge-entry";

/// HTTP client of the platform.
///
/// Clones share their connections. The runtime of the thread that created the
/// client drives the connections, so the client must stay on that thread.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    base: String,
    caller: String,
    client: Client,
    timeout: Duration,
    traffic: Rc<Cell<Traffic>>,
}

/// Bytes of requests and answers, including their heads but not the headers of TCP and IP.
///
/// The size of the heads is computed from their fields.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Traffic {
    /// Bytes of requests.
    pub sent: u64,
    /// Bytes of answers.
    pub received: u64,
}

impl HttpPlatform {
    /// Creates a client for the platform at `base`, in the form `http://IP:port`.
    ///
    /// `caller` is the name of the calling entry, which every request carries.
    ///
    /// # Errors
    ///
    /// Fails if the client cannot be set up.
    pub fn new(base: &str, caller: &str) -> Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .build()
            .map_err(Error::no_effect)?;
        Ok(Self {
            base: base.trim_end_matches('/').to_owned(),
            caller: caller.to_owned(),
            client,
            timeout: CALL_TIMEOUT,
            traffic: Rc::default(),
        })
    }

    /// Returns the traffic of this client and its clones since it was created.
    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Sets the timeout of one call; the default is [`CALL_TIMEOUT`].
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Answer> {
        self.call_with_timeout(method, path, body, self.timeout)
            .await
    }

    async fn call_with_timeout(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Answer> {
        let exchange = self.exchange(method, path, body);
        match compio::time::timeout(timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::unknown_effect("no answer in time")),
        }
    }

    async fn exchange(&self, method: Method, path: &str, body: Vec<u8>) -> Result<Answer> {
        let url = format!("{}{path}", self.base);
        let url_bytes = url.len();
        let mut request = self.client.request(method, url).map_err(Error::no_effect)?;
        request = request
            .header(CALLER_HEADER, self.caller.as_str())
            .map_err(Error::no_effect)?;
        self.count_traffic(url_bytes + body.len() + REQUEST_HEAD_BYTES, 0);
        if !body.is_empty() {
            request = request
                .header("content-type", "application/json")
                .map_err(Error::no_effect)?
                .body(body);
        }
        let response = request.send().await.map_err(send_error)?;
        if response.content_length().unwrap_or(0) > MAX_ANSWER_BYTES {
            return Err(Error::unknown_effect("the answer is too large"));
        }
        let status = response.status();
        let head: usize = response
            .headers()
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len() + 4)
            .sum();
        let body = response.bytes().await.map_err(Error::unknown_effect)?;
        self.count_traffic(0, STATUS_LINE_BYTES + head + body.len());
        if status.is_server_error() {
            return Err(Error::unknown_effect(format!("status {status}")));
        }
        Ok(Answer { status, body })
    }

    async fn post_task(&self, path: &str, body: Vec<u8>) -> Result<TaskReply> {
        let answer = self.call(Method::POST, path, body).await?;
        match answer.status {
            StatusCode::OK => Ok(TaskReply::Answer(decode(&answer.body)?)),
            StatusCode::NOT_FOUND => Ok(TaskReply::Absent),
            StatusCode::CONFLICT => Ok(TaskReply::Fenced(decode::<Fenced>(&answer.body)?.fence)),
            _ => Err(answer.unexpected()),
        }
    }

    fn count_traffic(&self, sent: usize, received: usize) {
        let Traffic {
            sent: total_sent,
            received: total_received,
        } = self.traffic.get();
        self.traffic.set(Traffic {
            sent: total_sent + sent as u64,
            received: total_received + received as u64,
        });
    }

    async fn post_worker(&self, path: &str, body: Vec<u8>) -> Result<WorkerReply> {
        let answer = self.call(Method::POST, path, body).await?;
        match answer.status {
            StatusCode::OK => Ok(WorkerReply::Done),
            StatusCode::CONFLICT => Ok(WorkerReply::Fenced(decode::<Fenced>(&answer.body)?.fence)),
            StatusCode::UNPROCESSABLE_ENTITY => {
                let refused: Refused = decode(&answer.body)?;
                Ok(WorkerReply::Refused(refused.reason.into()))
            }
            _ => Err(answer.unexpected()),
        }
    }
}

impl Platform for HttpPlatform {
    async fn get<T: DeserializeOwned>(&self, key: &str) -> Result<Option<Document<T>>> {
        let path = format!("/v1/kv/{key}");
        let answer = self.call(Method::GET, &path, Vec::new()).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => answer.read().map(Some),
        }
    }

    async fn put<T: Serialize>(
        &self,
        key: &str,
        value: &T,
        expect: Version,
        lease: Option<LeaseId>,
    ) -> Result<Swap> {
        let path = format!("/v1/kv/{key}");
        let write = Write {
            value,
            expect,
            lease,
        };
        let body = serde_json::to_vec(&write).map_err(Error::no_effect)?;
        self.call(Method::PUT, &path, body).await?.swap()
    }

    async fn delete(&self, key: &str, expect: Version) -> Result<Swap> {
        let path = format!("/v1/kv/{key}?expect={expect}");
        self.call(Method::DELETE, &path, Vec::new()).await?.swap()
    }

    async fn list(&self, prefix: &str) -> Result<Vec<KeyVersion>> {
        let path = format!("/v1/list?prefix={prefix}");
        let answer = self.call(Method::GET, &path, Vec::new()).await?;
        answer.read::<Items>().map(|items| items.items)
    }

    async fn watch<T: DeserializeOwned>(
        &self,
        key: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Option<Document<T>>> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch?key={key}&after={after}&wait_ms={wait_ms}");
        let timeout = self.timeout + wait;
        let answer = self
            .call_with_timeout(Method::GET, &path, Vec::new(), timeout)
            .await?;
        match answer.status {
            StatusCode::NO_CONTENT => Ok(None),
            _ => answer.read().map(Some),
        }
    }

    async fn grant(&self, holder: &str, ttl: Duration) -> Result<LeaseId> {
        let body = json!({ "holder": holder, "ttl_ms": ttl.as_millis() as u64 });
        let body = body.to_string().into_bytes();
        let answer = self.call(Method::POST, "/v1/leases", body).await?;
        answer.read::<Granted>().map(|granted| granted.lease)
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool> {
        let path = format!("/v1/leases/{lease}/renew");
        let answer = self.call(Method::POST, &path, Vec::new()).await?;
        answer.found()
    }

    async fn revoke(&self, lease: LeaseId) -> Result<()> {
        let path = format!("/v1/leases/{lease}");
        let answer = self.call(Method::DELETE, &path, Vec::new()).await?;
        answer.found().map(|_| ())
    }

    async fn vms(&self) -> Result<VmList> {
        let answer = self.call(Method::GET, "/v1/vms", Vec::new()).await?;
        answer.read()
    }

    async fn workers(&self, vms: &[CompactString]) -> Result<WorkerList> {
        let path = format!("/v1/workers?vms={}", vms.join(","));
        let answer = self.call(Method::GET, &path, Vec::new()).await?;
        answer.read()
    }

    async fn start_task(&self, vm: &str, start: &StartRequest) -> Result<TaskReply> {
        let body = serde_json::to_vec(start).map_err(Error::no_effect)?;
        let path = format!("/v1/workers/{vm}/tasks");
        self.post_task(&path, body).await
    }

    async fn command_task(
        &self,
        vm: &str,
        id: &str,
        command: TaskCommand,
        authority: Authority<'_>,
    ) -> Result<TaskReply> {
        let path = format!("/v1/workers/{vm}/tasks/{id}/{}", command.path_segment());
        let Authority { role, fence } = authority;
        let body = match command {
            TaskCommand::Renew { lease_ms } => {
                json!({ "role": role, "fence": fence, "lease_ms": lease_ms })
            }
            TaskCommand::Throttle { percent } => {
                json!({ "role": role, "fence": fence, "percent": percent })
            }
            TaskCommand::Checkpoint | TaskCommand::Stop => json!({ "role": role, "fence": fence }),
        };
        self.post_task(&path, body.to_string().into_bytes()).await
    }

    async fn command_worker(
        &self,
        vm: &str,
        command: WorkerCommand,
        authority: Authority<'_>,
        step: u64,
    ) -> Result<WorkerReply> {
        let Authority { role, fence } = authority;
        let path = format!("/v1/workers/{vm}/{}", command.path_segment());
        let body = json!({ "role": role, "fence": fence, "step": step }).to_string();
        self.post_worker(&path, body.into_bytes()).await
    }
}

/// Classifies a failure to send: only a failed connection attempt is known to have had no effect.
fn send_error(error: cyper::Error) -> Error {
    match error {
        cyper::Error::HyperClient(error) if error.is_connect() => Error::no_effect(error),
        error => Error::unknown_effect(error),
    }
}

/// Answer of the platform with any status below 500.
struct Answer {
    status: StatusCode,
    body: Bytes,
}

impl Answer {
    fn read<T: DeserializeOwned>(&self) -> Result<T> {
        match self.status {
            StatusCode::OK => decode(&self.body),
            _ => Err(self.unexpected()),
        }
    }

    fn swap(&self) -> Result<Swap> {
        match self.status {
            StatusCode::OK => decode::<Versioned>(&self.body).map(|it| Swap::Done(it.version)),
            StatusCode::CONFLICT => {
                decode::<Versioned>(&self.body).map(|it| Swap::Conflict(it.version))
            }
            _ => Err(self.unexpected()),
        }
    }

    fn found(&self) -> Result<bool> {
        match self.status {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            _ => Err(self.unexpected()),
        }
    }

    fn unexpected(&self) -> Error {
        let reason = format!("status {}", self.status);
        match self.status.is_client_error() {
            true => Error::no_effect(reason),
            false => Error::unknown_effect(reason),
        }
    }
}

#[derive(Serialize)]
struct Write<'a, T> {
    value: &'a T,
    expect: Version,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<LeaseId>,
}

#[derive(Deserialize)]
struct Versioned {
    version: Version,
}

#[derive(Deserialize)]
struct Items {
    items: Vec<KeyVersion>,
}

#[derive(Deserialize)]
struct Granted {
    lease: LeaseId,
}

#[derive(Deserialize)]
struct Fenced {
    fence: u64,
}

#[derive(Deserialize)]
struct Refused {
    reason: String,
}
