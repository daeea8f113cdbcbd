//! Calls to the platform, each in a task of its own that sends its result to the core.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use wigeonhinge::Time;
use wigeonhinge::config;
use wigeonhinge::lease;

use crate::control;
use crate::control::Answer;
use crate::control::ENTRY;
use crate::control::Entry;
use crate::control::Holder;
use crate::control::Name;
use crate::control::ROLE;
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
use crate::watch;

/// Result of a call.
#[derive(Debug)]
pub(crate) enum Completion {
    /// A poll or watch of the configuration.
    Config(watch::Call, Result<Option<Document<Value>>>),
    /// A read of the VM list.
    Vms(Result<VmList>),
    /// A call for the session or a role, with the time at which it was sent.
    Control(control::Call, Time, Answer),
    /// An order of the controller of a role, by its number.
    Order(Name, u64, Outcome),
    /// A call of the audit writer.
    Audit(audit::Call, audit::Answer),
}

/// Starts platform calls and sends their results.
#[derive(Clone, Debug)]
pub(crate) struct PlatformClient {
    pub(crate) platform: HttpPlatform,
    pub(crate) start: Instant,
    pub(crate) own: Entry,
    pub(crate) completions: flume::Sender<Completion>,
}

impl PlatformClient {
    pub(crate) fn start_watch(&self, call: watch::Call) {
        let client = self.clone();
        self.spawn(async move { client.run_watch(call).await });
    }

    pub(crate) fn start_control(&self, call: control::Call) {
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

    async fn run_control(&self, call: &control::Call) -> Result<Answer> {
        let platform = &self.platform;
        let name = &self.own.entry;
        Ok(match call {
            control::Call::Grant => {
                Answer::Granted(platform.grant(name, lease::SESSION_TTL).await?)
            }
            control::Call::Renew(lease) => Answer::Renewed(platform.renew(*lease).await?),
            control::Call::Register(lease, version) => {
                let key = format!("{ENTRY}{name}");
                let swap = platform.put(&key, &self.own, *version, Some(*lease));
                Answer::Swapped(swap.await?)
            }
            control::Call::Roles => Answer::Listed(platform.list(ROLE).await?),
            control::Call::Entries => Answer::Listed(platform.list(ENTRY).await?),
            control::Call::Entry(entry) => {
                let found = platform.get::<Entry>(&format!("{ENTRY}{entry}")).await?;
                Answer::Entry(found.map(|document| (document.version, document.value)))
            }
            control::Call::Take(role, session) => {
                let holder = Holder {
                    holder: name.clone(),
                    session: *session,
                };
                let key = format!("{ROLE}{role}");
                let swap = platform.put(&key, &holder, 0, Some(*session));
                Answer::Swapped(swap.await?)
            }
            control::Call::Check(role) => {
                let found = platform.get::<Holder>(&format!("{ROLE}{role}")).await?;
                Answer::Holder(found.map(|document| (document.version, document.value)))
            }
            control::Call::Release(role, fence) => {
                let key = format!("{ROLE}{role}");
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
                let call = self.platform.command(vm, *command, authority, *step);
                Ok(Outcome::Reply(call.await?))
            }
            Order::Start(vm, start) => {
                let mut start = start.clone();
                start.role = order.role.clone();
                start.fence = authority.fence;
                Ok(Outcome::Task(self.platform.start(vm, &start).await?))
            }
            Order::Task(vm, id, command) => {
                let call = self.platform.task(vm, id, *command, authority);
                Ok(Outcome::Task(call.await?))
            }
            _ => Err(crate::platform::Error::none("not a worker or task command")),
        }
    }
}
