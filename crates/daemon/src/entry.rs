//! An entry: the request path and the control plane, connected by a bridge thread.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use eyre::Result;
use eyre::WrapErr;
use flume::Receiver;
use flume::Sender;
use wigeonhinge::gateway::Action;
use wigeonhinge::gateway::Event;
use wigeonhinge::id::UpstreamId;
use wigeonhinge::id::VmId;
use wigeonhinge_schema::peer::Offer;

use crate::controllers;
use crate::controllers::Timing;
use crate::daemon::Daemon;
use crate::daemon::Source;
use crate::dispatch::Control;
use crate::plane::FromDispatch;
use crate::plane::Options;
use crate::plane::Plane;
use crate::plane::ToDispatch;
use crate::report::Report;
use crate::settings::Settings;

/// Period at which idle slots and busy VMs are sent to the control plane.
const ADVERTISE_PERIOD: Duration = Duration::from_millis(300);

/// Most messages of the control plane that wait for the bridge thread.
const MESSAGES_CAPACITY: usize = 1_024;

/// A running entry; dropping it is the same as [`Entry::kill`].
#[derive(Debug)]
pub struct Entry {
    daemon: Option<Daemon>,
    plane: Option<Plane>,
    bridge: Option<JoinHandle<()>>,
}

/// Options of an entry beside its settings.
#[derive(Clone)]
pub struct Setup {
    /// File from which the settings are reloaded when it changes; `None` for no reload.
    pub file: Option<PathBuf>,
    /// Destination of logs and metrics.
    pub report: Report,
    /// Times of the maintenance steps.
    pub timing: Timing,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            file: None,
            report: Report::discard(),
            timing: Timing::default(),
        }
    }
}

impl fmt::Debug for Setup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Setup")
            .field("file", &self.file)
            .finish_non_exhaustive()
    }
}

impl Entry {
    /// Starts an entry and returns once it listens.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound, a thread cannot be started, or the
    /// identity towards peers is missing or malformed.
    pub fn spawn(settings: &Settings, setup: Setup) -> Result<Self> {
        let daemon = Daemon::start(settings, Source::Control, setup.report.clone())
            .wrap_err_with(|| format!("cannot listen on {}", settings.listen))?;
        let (outlet, messages) = flume::bounded(MESSAGES_CAPACITY);
        let options = Options {
            settings: settings.raw.clone(),
            file: setup.file,
            controllers: controllers::factory(settings.entry.clone(), setup.timing),
        };
        let plane = Plane::spawn(options, setup.report.log().clone(), outlet)?;
        let bridge = Bridge::new(daemon.control(), messages, plane.dispatch_sender());
        let bridge = thread::Builder::new()
            .name("bridge".into())
            .spawn(move || bridge.run())?;
        Ok(Self {
            daemon: Some(daemon),
            plane: Some(plane),
            bridge: Some(bridge),
        })
    }

    /// Returns the request path; `None` once the entry has stopped.
    pub fn daemon(&self) -> Option<&Daemon> {
        self.daemon.as_ref()
    }

    /// Returns the control plane; `None` once the entry has stopped.
    pub fn plane(&self) -> Option<&Plane> {
        self.plane.as_ref()
    }

    /// Returns the address for callers; `None` once the entry has stopped.
    pub fn address(&self) -> Option<SocketAddr> {
        self.daemon.as_ref().map(Daemon::address)
    }

    /// Returns the address for operators; `None` once the entry has stopped.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.plane.as_ref().map(Plane::admin_address)
    }

    /// Stops gracefully.
    ///
    /// The entry becomes not ready, waits for the balancer to notice, finishes every
    /// request, and then gives up its roles and shares.
    pub fn stop(mut self) {
        if let Some(plane) = &self.plane {
            plane.drain();
        }
        if let Some(daemon) = self.daemon.take() {
            daemon.stop();
        }
        if let Some(plane) = self.plane.take() {
            plane.finish();
        }
        self.join();
    }

    /// Stops at once, without finishing requests or giving up roles, like the loss of its VM.
    pub fn kill(mut self) {
        self.abort();
    }

    fn abort(&mut self) {
        if let Some(plane) = self.plane.take() {
            plane.kill();
        }
        if let Some(daemon) = self.daemon.take() {
            daemon.kill();
        }
        self.join();
    }

    fn join(&mut self) {
        if let Some(bridge) = self.bridge.take() {
            let _ = bridge.join();
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.abort();
    }
}

/// Thread that carries messages between the control plane and the dispatch thread.
struct Bridge {
    control: Control,
    actions: Receiver<Action>,
    messages: Receiver<ToDispatch>,
    requests: Sender<FromDispatch>,
    vms: BTreeMap<UpstreamId, VmId>,
    leaving: BTreeSet<VmId>,
}

/// Input of the bridge.
enum Input {
    Message(ToDispatch),
    Action(Action),
    /// One of the two sides has stopped.
    Closed,
}

impl Bridge {
    fn new(
        control: Control,
        messages: Receiver<ToDispatch>,
        requests: Sender<FromDispatch>,
    ) -> Self {
        Self {
            actions: control.actions(),
            control,
            messages,
            requests,
            vms: BTreeMap::new(),
            leaving: BTreeSet::new(),
        }
    }

    fn run(mut self) {
        let mut due = Instant::now() + ADVERTISE_PERIOD;
        loop {
            let running = match self.next(due) {
                Some(Input::Message(message)) => self.handle_message(message),
                Some(Input::Action(action)) => self.handle_action(action),
                Some(Input::Closed) => false,
                None => true,
            };
            if !running {
                return;
            }
            if Instant::now() >= due {
                due = Instant::now() + ADVERTISE_PERIOD;
                if !self.advertise() {
                    return;
                }
            }
        }
    }

    /// Waits for the next input; returns `None` once the time is `due`.
    fn next(&self, due: Instant) -> Option<Input> {
        let message =
            |received: Result<ToDispatch, _>| received.map_or(Input::Closed, Input::Message);
        let action = |received: Result<Action, _>| received.map_or(Input::Closed, Input::Action);
        flume::Selector::new()
            .recv(&self.messages, message)
            .recv(&self.actions, action)
            .wait_deadline(due)
            .ok()
    }

    /// Forwards a message to the dispatch thread; returns false once the request path has stopped.
    fn handle_message(&mut self, message: ToDispatch) -> bool {
        let event = match message {
            ToDispatch::Adopt(config) => {
                let fleet = config.fleet.clone().unwrap_or_default();
                self.vms = fleet
                    .upstreams
                    .iter()
                    .map(|upstream| (UpstreamId::from(&upstream.name), VmId::from(&upstream.vm)))
                    .collect();
                Event::Configure(Box::new(fleet))
            }
            ToDispatch::Members(entries) => Event::Members(entries),
            ToDispatch::Leaving(vms) => {
                self.leaving.clone_from(&vms);
                Event::LeavingVms(vms)
            }
            ToDispatch::Usable(true) => Event::MembershipConfirmed,
            ToDispatch::Offers(entry, slots) => Event::Offers { entry, slots },
            ToDispatch::Borrow(entry, upstream, slots) => Event::Borrow {
                entry,
                upstream,
                slots,
            },
            ToDispatch::Loan(entry, upstream, slots, loan) => Event::Loan {
                entry,
                upstream,
                slots,
                loan,
            },
            ToDispatch::Return(entry, loan) => Event::Return { entry, loan },
            // The gateway detects pauses itself, and a stopped entry drops out of the members.
            ToDispatch::Usable(false) | ToDispatch::Ready(_) | ToDispatch::Bye(_) => return true,
        };
        self.control.send(event)
    }

    /// Forwards an action on loans; returns false once the control plane has stopped.
    fn handle_action(&self, action: Action) -> bool {
        let request = match action {
            Action::Borrow {
                entry,
                upstream,
                slots,
            } => FromDispatch::Borrow(entry, upstream, slots),
            Action::Loan {
                entry,
                upstream,
                slots,
                loan,
            } => FromDispatch::Loan(entry, upstream, slots, loan),
            Action::Return { entry, loan } => FromDispatch::Return(entry, loan),
            Action::Send { .. } | Action::Fail { .. } | Action::LimitConnections { .. } => {
                return true;
            }
        };
        self.send(request)
    }

    /// Sends the control plane the idle slots, and the leaving VMs that still have requests.
    ///
    /// Returns false once one of the two sides has stopped.
    fn advertise(&self) -> bool {
        let Some(snapshot) = self.control.snapshot() else {
            return false;
        };
        let offer = |(upstream, slots): (UpstreamId, u32)| Offer {
            upstream: upstream.to_string(),
            slots,
        };
        let offers = snapshot.offers.into_iter().map(offer).collect();
        let running = snapshot
            .status
            .upstreams
            .iter()
            .filter(|(_, status)| status.running > 0);
        let busy = running
            .filter_map(|(upstream, _)| self.vms.get(upstream))
            .filter(|vm| self.leaving.contains(*vm))
            .cloned()
            .collect();
        self.send(FromDispatch::Offers(offers)) && self.send(FromDispatch::Busy(busy))
    }

    /// Sends a request to the control plane; returns false once that has stopped.
    ///
    /// A request that finds the channel full is dropped: either the next request
    /// of its kind replaces it, or the loan that it concerns expires.
    fn send(&self, request: FromDispatch) -> bool {
        !matches!(
            self.requests.try_send(request),
            Err(flume::TrySendError::Disconnected(_))
        )
    }
}
