//! Calls to the platform, each in a task of its own that sends its result to the core.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use wigeonhinge::Time;
use wigeonhinge::config;
use wigeonhinge::lease;

use crate::plane::Order;
use crate::plane::Outcome;
use crate::plane::audit;
use crate::plane::roles::RoleOrder;
use crate::platform::Authority;
use crate::platform::Document;
use crate::platform::HttpPlatform;
use crate::platform::LeaseId;
use crate::platform::Platform;
use crate::platform::Result;
use crate::platform::VmList;
use crate::session;
use crate::session::Answer;
use crate::session::ENTRY_PREFIX;
use crate::session::Holder;
use crate::session::ROLE_PREFIX;
use crate::session::Registration;
use crate::session::RoleName;
use crate::watch;

/// Result of a call.
#[derive(Debug)]
pub(crate) enum Completion {
    /// A poll or watch of the configuration.
    Config(watch::Call, Result<Option<Document<Value>>>),
    /// A read of the VM list.
    Vms(Result<VmList>),
    /// A call for the session or a role, with the time at which it was sent.
    Control(session::Call, Time, Answer),
    /// An order of the controller of a role, by its number.
    Order(RoleName, u64, Outcome),
    /// A call of the audit writer.
    Audit(audit::Call, audit::Answer),
}

/// Starts platform calls and sends their results.
#[derive(Clone, Debug)]
pub(crate) struct PlatformClient {
    pub(crate) platform: HttpPlatform,
    pub(crate) start: Instant,
    pub(crate) own: Registration,
    pub(crate) completions: flume::Sender<Completion>,
}

impl PlatformClient {
    pub(crate) fn start_watch(&self, call: watch::Call) {
        let client = self.clone();
        self.spawn(async move { client.run_watch(call).await });
    }

    pub(crate) fn start_control(&self, call: session::Call) {
        let client = self.clone();
        self.spawn(async move {
            let sent = client.start.elapsed();
            let answer = client.run_control(&call).await;
            Completion::Control(call, sent, answer.unwrap_or(Answer::Failed))
        });
    }

    pub(crate) fn start_order(&self, order: RoleOrder, session: LeaseId) {
        let client = self.clone();
        self.spawn(async move {
            let outcome = client.run_order(&order, session).await;
            let outcome = outcome.unwrap_or_else(Outcome::Failed);
            Completion::Order(order.role, order.number, outcome)
        });
    }

    pub(crate) fn start_audit(&self, call: audit::Call) {
        let client = self.clone();
        self.spawn(async move {
            let answer = client.run_audit(&call).await;
            Completion::Audit(call, answer)
        });
    }

    fn spawn(&self, call: impl Future<Output = Completion> + 'static) {
        let completions = self.completions.clone();
        let task = async move {
            let completion = call.await;
            // The send fails if the core has stopped.
            let _ = completions.send_async(completion).await;
        };
        compio::runtime::spawn(task).detach();
    }

    async fn run_watch(&self, call: watch::Call) -> Completion {
        let (after, wait) = match call {
            watch::Call::Vms => return Completion::Vms(self.platform.vms().await),
            watch::Call::Poll(after) => (after, Duration::ZERO),
            watch::Call::Watch(after) => (after, watch::WATCH_WAIT),
        };
        let answer = self.platform.watch(config::STORE_KEY, after, wait).await;
        Completion::Config(call, answer)
    }

    async fn run_control(&self, call: &session::Call) -> Result<Answer> {
        let platform = &self.platform;
        let name = &self.own.entry;
        Ok(match call {
            session::Call::Grant => {
                Answer::Granted(platform.grant(name, lease::SESSION_TTL).await?)
            }
            session::Call::Renew(lease) => Answer::Renewed(platform.renew(*lease).await?),
            session::Call::Register(lease, version) => {
                let key = format!("{ENTRY_PREFIX}{name}");
                let swap = platform.put(&key, &self.own, *version, Some(*lease));
                Answer::Swapped(swap.await?)
            }
            session::Call::ListRoles => Answer::Listed(platform.list(ROLE_PREFIX).await?),
            session::Call::ListEntries => Answer::Listed(platform.list(ENTRY_PREFIX).await?),
            session::Call::ReadEntry(entry) => {
                let found = platform
                    .get::<Registration>(&format!("{ENTRY_PREFIX}{entry}"))
                    .await?;
                Answer::Entry(found.map(|document| (document.version, document.value)))
            }
            session::Call::TakeRole(role, session) => {
                let holder = Holder {
                    holder: name.clone(),
                    session: *session,
                };
                let key = format!("{ROLE_PREFIX}{role}");
                let swap = platform.put(&key, &holder, 0, Some(*session));
                Answer::Swapped(swap.await?)
            }
            session::Call::ReadHolder(role) => {
                let found = platform
                    .get::<Holder>(&format!("{ROLE_PREFIX}{role}"))
                    .await?;
                Answer::Holder(found.map(|document| (document.version, document.value)))
            }
            session::Call::ReleaseRole(role, fence) => {
                let key = format!("{ROLE_PREFIX}{role}");
                Answer::Swapped(platform.delete(&key, *fence).await?)
            }
        })
    }

    async fn run_audit(&self, call: &audit::Call) -> audit::Answer {
        let key = audit::store_key(call);
        match call {
            audit::Call::Load(_) => {
                let found = self.platform.get(&key).await;
                let found = found.map(|document| {
                    document.map_or_else(Default::default, |document| {
                        (document.version, document.value)
                    })
                });
                audit::Answer::Loaded(found.ok())
            }
            audit::Call::Write(write, _) => {
                let put = self
                    .platform
                    .put(&key, &write.document, write.expected_version, None);
                audit::Answer::Swapped(put.await.ok())
            }
        }
    }

    /// Carries out an order, unless the lease on the role has expired since it was given.
    async fn run_order(&self, order: &RoleOrder, session: LeaseId) -> Result<Outcome> {
        if !order.lease.valid(self.start.elapsed()) {
            return Ok(Outcome::Expired);
        }
        let platform = &self.platform;
        Ok(match &order.order {
            Order::Get(key) => {
                let found = platform.get::<Value>(key).await?;
                Outcome::Value(found.map(|document| (document.version, document.value)))
            }
            Order::Put(key, value, expect, leased) => {
                let lease = leased.then_some(session);
                Outcome::Swapped(platform.put(key, value, *expect, lease).await?)
            }
            Order::Delete(key, expect) => Outcome::Swapped(platform.delete(key, *expect).await?),
            Order::List(prefix) => Outcome::Listed(platform.list(prefix).await?),
            Order::Workers(vms) => Outcome::Workers(platform.workers(vms).await?),
            Order::Vms => Outcome::Vms(platform.vms().await?),
            _ => self.run_command(order).await?,
        })
    }

    async fn run_command(&self, order: &RoleOrder) -> Result<Outcome> {
        let authority = Authority {
            role: &order.role,
            fence: order.lease.fence(),
        };
        match &order.order {
            Order::Worker(vm, command, step) => {
                let call = self.platform.command_worker(vm, *command, authority, *step);
                Ok(Outcome::Reply(call.await?))
            }
            Order::Start(vm, start) => {
                let mut start = start.clone();
                start.role = order.role.clone();
                start.fence = authority.fence;
                Ok(Outcome::Task(self.platform.start_task(vm, &start).await?))
            }
            Order::Task(vm, id, command) => {
                let call = self.platform.command_task(vm, id, *command, authority);
                Ok(Outcome::Task(call.await?))
            }
            _ => Err(crate::platform::Error::no_effect(
                "not a worker or task command",
            )),
        }
    }
}
