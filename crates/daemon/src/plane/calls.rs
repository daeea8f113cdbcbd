//! Calls to the platform, each as a task of its own that reports its end.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use wigeonhinge::Time;
use wigeonhinge::config;
use wigeonhinge::lease;

use crate::plane::Order;
use crate::plane::Outcome;
use crate::plane::duty::Duty;
use crate::plane::trail;
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

/// End of a call.
#[derive(Debug)]
pub(crate) enum Ended {
    /// A call for the configuration.
    Config(watch::Call, Result<Option<Document<Value>>>),
    /// A read of the VM list.
    Vms(Result<VmList>),
    /// A call of the session or of a role, and when it was sent.
    Control(session::Call, Time, Answer),
    /// An order of a role's controller.
    Order(RoleName, u64, Outcome),
    /// A call of the audit trail.
    Trail(trail::Call, trail::Answer),
}

/// Makes calls and sends their ends.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) platform: HttpPlatform,
    pub(crate) start: Instant,
    pub(crate) own: Registration,
    pub(crate) ended: flume::Sender<Ended>,
}

impl Caller {
    pub(crate) fn watch(&self, call: watch::Call) {
        let caller = self.clone();
        self.spawn(async move { caller.make_watch(call).await });
    }

    pub(crate) fn control(&self, call: session::Call) {
        let caller = self.clone();
        self.spawn(async move {
            let sent = caller.start.elapsed();
            let answer = caller.make_control(&call).await;
            Ended::Control(call, sent, answer.unwrap_or(Answer::Failed))
        });
    }

    pub(crate) fn order(&self, duty: Duty, session: LeaseId) {
        let caller = self.clone();
        self.spawn(async move {
            let outcome = caller.make_order(&duty, session).await;
            let outcome = outcome.unwrap_or_else(Outcome::Failed);
            Ended::Order(duty.role, duty.number, outcome)
        });
    }

    pub(crate) fn trail(&self, call: trail::Call) {
        let caller = self.clone();
        self.spawn(async move {
            let answer = caller.make_trail(&call).await;
            Ended::Trail(call, answer)
        });
    }

    fn spawn(&self, call: impl Future<Output = Ended> + 'static) {
        let ended = self.ended.clone();
        let task = async move {
            let end = call.await;
            // The core has stopped if it does not receive this.
            let _ = ended.send_async(end).await;
        };
        compio::runtime::spawn(task).detach();
    }

    async fn make_watch(&self, call: watch::Call) -> Ended {
        let (after, wait) = match call {
            watch::Call::Vms => return Ended::Vms(self.platform.vms().await),
            watch::Call::Poll(after) => (after, Duration::ZERO),
            watch::Call::Watch(after) => (after, watch::WAIT),
        };
        let answer = self.platform.watch(config::KEY, after, wait).await;
        Ended::Config(call, answer)
    }

    async fn make_control(&self, call: &session::Call) -> Result<Answer> {
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

    async fn make_trail(&self, call: &trail::Call) -> trail::Answer {
        let key = trail::key(call);
        match call {
            trail::Call::Load(_) => {
                let found = self.platform.get(&key).await;
                let found = found.map(|document| {
                    document.map_or_else(Default::default, |document| {
                        (document.version, document.value)
                    })
                });
                trail::Answer::Loaded(found.ok())
            }
            trail::Call::Write(write, _) => {
                let put = self.platform.put(&key, &write.document, write.expect, None);
                trail::Answer::Swapped(put.await.ok())
            }
        }
    }

    /// Sends an order unless the lease is over by now.
    async fn make_order(&self, duty: &Duty, session: LeaseId) -> Result<Outcome> {
        if !duty.lease.valid(self.start.elapsed()) {
            return Ok(Outcome::Expired);
        }
        let platform = &self.platform;
        Ok(match &duty.order {
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
            _ => self.make_command(duty).await?,
        })
    }

    async fn make_command(&self, duty: &Duty) -> Result<Outcome> {
        let authority = Authority {
            role: &duty.role,
            fence: duty.lease.fence(),
        };
        match &duty.order {
            Order::Worker(vm, command, step) => {
                let call = self.platform.command_worker(vm, *command, authority, *step);
                Ok(Outcome::Reply(call.await?))
            }
            Order::Start(vm, start) => {
                let mut start = start.clone();
                start.role = duty.role.clone();
                start.fence = authority.fence;
                Ok(Outcome::Task(self.platform.start_task(vm, &start).await?))
            }
            Order::Task(vm, id, command) => {
                let call = self.platform.command_task(vm, id, *command, authority);
                Ok(Outcome::Task(call.await?))
            }
            _ => Err(crate::platform::Error::no_effect("not a command")),
        }
    }
}
