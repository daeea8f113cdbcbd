//! A whole entry: request path and control plane, joined by messages.

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
use crate::plane::Message;
use crate::plane::Options;
use crate::plane::Plane;
use crate::plane::Request;
use crate::report::Report;
use crate::settings::Settings;

/// Period of the idle slots and busy VMs that the control plane is told.
const OFFERS: Duration = Duration::from_millis(300);

/// Messages of the control plane that wait for the bridge.
const MESSAGES: usize = 1_024;

/// A running entry; dropping it is the same as [`Entry::kill`].
#[derive(Debug)]
pub struct Entry {
    daemon: Option<Daemon>,
    plane: Option<Plane>,
    bridge: Option<JoinHandle<()>>,
}

/// What an entry is started with besides its settings.
#[derive(Clone)]
pub struct Setup {
    /// File that the settings are reloaded from when it changes.
    pub file: Option<PathBuf>,
    /// Logs and metrics.
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
        let (outlet, messages) = flume::bounded(MESSAGES);
        let options = Options {
            settings: settings.raw.clone(),
            file: setup.file,
            controllers: controllers::factory(settings.entry.clone(), setup.timing),
        };
        let plane = Plane::spawn(options, setup.report.log().clone(), outlet)?;
        let bridge = Bridge::new(daemon.control(), messages, plane.requests());
        let bridge = thread::Builder::new()
            .name("bridge".into())
            .spawn(move || bridge.run())?;
        Ok(Self {
            daemon: Some(daemon),
            plane: Some(plane),
            bridge: Some(bridge),
        })
    }

    /// Returns the running request path.
    pub fn daemon(&self) -> Option<&Daemon> {
        self.daemon.as_ref()
    }

    /// Returns the running control plane.
    pub fn plane(&self) -> Option<&Plane> {
        self.plane.as_ref()
    }

    /// Returns the address for callers; `None` once the entry has stopped.
    pub fn address(&self) -> Option<SocketAddr> {
        self.daemon.as_ref().map(Daemon::address)
    }

    /// Returns the address for operators; `None` once the entry has stopped.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.plane.as_ref().map(Plane::admin)
    }

    /// Stops gracefully: becomes not ready, waits for the balancer, finishes every
    /// request, then gives up its roles and shares.
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

    /// Stops abruptly, as when the VM is lost.
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

/// Carries messages between the control thread and the dispatch thread.
struct Bridge {
    control: Control,
    actions: Receiver<Action>,
    messages: Receiver<Message>,
    requests: Sender<Request>,
    vms: BTreeMap<UpstreamId, VmId>,
    leaving: BTreeSet<VmId>,
}

/// What arrives at the bridge.
enum Arrival {
    Message(Message),
    Action(Action),
    /// One of the two sides has stopped.
    Closed,
}

impl Bridge {
    fn new(control: Control, messages: Receiver<Message>, requests: Sender<Request>) -> Self {
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
        let mut due = Instant::now() + OFFERS;
        loop {
            let running = match self.next(due) {
                Some(Arrival::Message(message)) => self.message(message),
                Some(Arrival::Action(action)) => self.action(action),
                Some(Arrival::Closed) => false,
                None => true,
            };
            if !running {
                return;
            }
            if Instant::now() >= due {
                due = Instant::now() + OFFERS;
                if !self.advertise() {
                    return;
                }
            }
        }
    }

    /// Waits for the next arrival; `None` once the time is `due`.
    fn next(&self, due: Instant) -> Option<Arrival> {
        let message =
            |received: Result<Message, _>| received.map_or(Arrival::Closed, Arrival::Message);
        let action =
            |received: Result<Action, _>| received.map_or(Arrival::Closed, Arrival::Action);
        flume::Selector::new()
            .recv(&self.messages, message)
            .recv(&self.actions, action)
            .wait_deadline(due)
            .ok()
    }

    /// Passes on a message of the control plane; false once the request path has stopped.
    fn message(&mut self, message: Message) -> bool {
        let event = match message {
            Message::Adopt(config) => {
                let fleet = config.fleet.clone().unwrap_or_default();
                self.vms = fleet
                    .upstreams
                    .iter()
                    .map(|upstream| (UpstreamId::from(&upstream.name), VmId::from(&upstream.vm)))
                    .collect();
                Event::Configure(Box::new(fleet))
            }
            Message::Members(entries) => Event::Members(entries),
            Message::Leaving(vms) => {
                self.leaving.clone_from(&vms);
                Event::LeavingVms(vms)
            }
            Message::Usable(true) => Event::MembershipConfirmed,
            Message::Offers(entry, slots) => Event::Offers { entry, slots },
            Message::Borrow(entry, upstream, slots) => Event::Borrow {
                entry,
                upstream,
                slots,
            },
            Message::Loan(entry, upstream, slots, loan) => Event::Loan {
                entry,
                upstream,
                slots,
                loan,
            },
            Message::Return(entry, loan) => Event::Return { entry, loan },
            // The gateway notices pauses itself, and a stopped entry leaves the members.
            Message::Usable(false) | Message::Ready(_) | Message::Bye(_) => return true,
        };
        self.control.send(event)
    }

    /// Passes on an action of the gateway; false once the control plane has stopped.
    fn action(&self, action: Action) -> bool {
        let request = match action {
            Action::Borrow {
                entry,
                upstream,
                slots,
            } => Request::Borrow(entry, upstream, slots),
            Action::Loan {
                entry,
                upstream,
                slots,
                loan,
            } => Request::Loan(entry, upstream, slots, loan),
            Action::Return { entry, loan } => Request::Return(entry, loan),
            Action::Send { .. } | Action::Fail { .. } | Action::LimitConnections { .. } => {
                return true;
            }
        };
        self.tell(request)
    }

    /// Tells the control plane the idle slots, and the VMs out of service with requests.
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
        self.tell(Request::Offers(offers)) && self.tell(Request::Busy(busy))
    }

    /// Sends a request; one that finds the channel full is dropped, as the next
    /// one of its kind replaces it or its loan expires.
    fn tell(&self, request: Request) -> bool {
        !matches!(
            self.requests.try_send(request),
            Err(flume::TrySendError::Disconnected(_))
        )
    }
}
