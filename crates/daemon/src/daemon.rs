//! A running entry.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use slog::info;
use wigeonhinge::gateway::Event;
use wigeonhinge_schema::fleet::Fleet;

use crate::dispatch;
use crate::dispatch::Control;
use crate::dispatch::Dispatch;
use crate::listen;
use crate::listen::Order;
use crate::listen::Thread;
use crate::report::Report;
use crate::settings::Settings;

/// Where the fleet of an entry comes from.
#[derive(Clone, Debug)]
pub enum Source {
    /// A fleet that is in force from the start, with this entry as the only live one.
    Fixed(Box<Fleet>),
    /// Fleets that arrive through [`Control`]; until the first one, requests are
    /// answered with `not-ready`.
    Control,
}

/// A running entry; dropping it is the same as [`Daemon::kill`].
#[derive(Debug)]
pub struct Daemon {
    address: SocketAddr,
    drain_time: Duration,
    phase: Phase,
    control: Control,
    threads: Vec<Thread>,
    dispatch: Option<JoinHandle<()>>,
}

/// Phase of an entry, shared by its threads.
#[derive(Clone, Debug, Default)]
pub struct Phase(Arc<AtomicU8>);

const RUNNING: u8 = 0;
const DRAINING: u8 = 1;

impl Phase {
    /// Returns whether a graceful stop has begun.
    pub fn draining(&self) -> bool {
        self.0.load(Ordering::Acquire) != RUNNING
    }

    fn drain(&self) {
        self.0.store(DRAINING, Ordering::Release);
    }
}

impl Daemon {
    /// Starts an entry without log and metrics and returns once it listens.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or a thread cannot be started.
    pub fn spawn(settings: &Settings, source: Source) -> io::Result<Self> {
        Self::start(settings, source, Report::discard())
    }

    /// Starts an entry and returns once it listens.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or a thread cannot be started.
    pub fn start(settings: &Settings, source: Source, report: Report) -> io::Result<Self> {
        let phase = Phase::default();
        let sockets = listen::bind(settings.listen, settings.threads)?;
        let address = sockets[0].local_addr()?;
        let (desk, inbox) = dispatch::channel(settings.entry.clone());
        let control = desk.control();
        let mut threads = Vec::new();
        let mut mailboxes = Vec::new();
        let shared = listen::Shared::new(settings, phase.clone(), desk, report.clone());
        for (index, socket) in sockets.into_iter().enumerate() {
            let (mailbox, replies) = dispatch::mailbox();
            mailboxes.push(mailbox);
            threads.push(listen::spawn(index, socket, replies, shared.clone())?);
        }
        let state = Dispatch::new(settings, inbox, mailboxes, report.clone());
        let dispatch = thread::Builder::new()
            .name("dispatch".into())
            .spawn(move || state.run())?;
        if let Source::Fixed(fleet) = source {
            control.send(Event::Configure(fleet));
            control.send(Event::Members(BTreeSet::from([settings.entry.clone()])));
            control.send(Event::MembershipConfirmed);
        }
        info!(report.log(), "listen: started"; "address" => %address);
        Ok(Self {
            address,
            drain_time: settings.drain_time,
            phase,
            control,
            threads,
            dispatch: Some(dispatch),
        })
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the channel into the dispatch thread.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Returns the phase, for the readiness that the balancer asks for.
    pub fn phase(&self) -> Phase {
        self.phase.clone()
    }

    /// Stops gracefully: waits for the balancer, finishes every request, then returns.
    ///
    /// The phase is draining at once. The entry accepts connections until the
    /// drain time of the settings has passed, because the balancer needs that
    /// long to see that the entry is not ready.
    pub fn stop(mut self) {
        self.phase.drain();
        thread::sleep(self.drain_time);
        self.control.send(Event::Stop);
        self.end(Order::Finish);
    }

    /// Stops abruptly: connections are cut, as when the VM is lost.
    pub fn kill(mut self) {
        self.end(Order::Abort);
    }

    /// Blocks I/O thread `index` for a while, as a stuck task would; for tests.
    pub fn stall(&self, index: usize, time: Duration) {
        self.threads[index].order(Order::Stall(time));
    }

    fn end(&mut self, order: Order) {
        for thread in &self.threads {
            thread.order(order);
        }
        for thread in self.threads.drain(..) {
            thread.join();
        }
        self.control.close();
        if let Some(dispatch) = self.dispatch.take() {
            let _ = dispatch.join();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.end(Order::Abort);
    }
}
