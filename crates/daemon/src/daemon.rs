//! Start and stop of the request path of an entry.

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
use crate::listen::Command;
use crate::listen::Thread;
use crate::report::Report;
use crate::settings::Settings;

/// Source of the fleet that an entry serves.
#[derive(Clone, Debug)]
pub enum Source {
    /// A fixed fleet that is in force from the start, with this entry as the only live one.
    Fixed(Box<Fleet>),
    /// Fleets sent through [`Control`]; until the first one arrives, requests are
    /// answered with `not-ready`.
    Control,
}

/// The running request path of an entry; dropping it is the same as [`Daemon::kill`].
#[derive(Debug)]
pub struct Daemon {
    address: SocketAddr,
    drain_time: Duration,
    phase: Phase,
    control: Control,
    threads: Vec<Thread>,
    dispatch: Option<JoinHandle<()>>,
}

/// Whether the entry is running or draining; shared by its threads.
#[derive(Clone, Debug, Default)]
pub struct Phase(Arc<AtomicU8>);

const RUNNING: u8 = 0;
const DRAINING: u8 = 1;

impl Phase {
    /// Returns whether a graceful stop has started.
    pub fn draining(&self) -> bool {
        self.0.load(Ordering::Acquire) != RUNNING
    }

    fn start_drain(&self) {
        self.0.store(DRAINING, Ordering::Release);
    }
}

impl Daemon {
    /// Starts the threads without log and metrics; returns once the socket is listening.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or a thread cannot be started.
    pub fn spawn(settings: &Settings, source: Source) -> io::Result<Self> {
        Self::start(settings, source, Report::discard())
    }

    /// Starts the threads; returns once the socket is listening.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or a thread cannot be started.
    pub fn start(settings: &Settings, source: Source, report: Report) -> io::Result<Self> {
        let phase = Phase::default();
        let sockets = listen::bind(settings.listen, settings.threads)?;
        let address = sockets[0].local_addr()?;
        let (dispatcher, inbox) = dispatch::channel(settings.entry.clone());
        let control = dispatcher.control();
        let mut threads = Vec::new();
        let mut mailboxes = Vec::new();
        let shared = listen::Shared::new(settings, phase.clone(), dispatcher, report.clone());
        for (index, socket) in sockets.into_iter().enumerate() {
            let (mailbox, replies) = dispatch::mailbox();
            mailboxes.push(mailbox);
            threads.push(listen::spawn(index, socket, replies, shared.clone())?);
        }
        let event_loop = Dispatch::new(settings, inbox, mailboxes, report.clone());
        let dispatch = thread::Builder::new()
            .name("dispatch".into())
            .spawn(move || event_loop.run())?;
        if let Source::Fixed(fleet) = source {
            control.send(Event::Configure(fleet));
            control.send(Event::Members(BTreeSet::from([settings.entry.clone()])));
            control.send(Event::MembershipConfirmed);
        }
        info!(report.log(), "listen: accepting connections"; "address" => %address);
        Ok(Self {
            address,
            drain_time: settings.drain_time,
            phase,
            control,
            threads,
            dispatch: Some(dispatch),
        })
    }

    /// Returns the address that callers connect to, with the port that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a sender of events to the dispatch thread.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Returns the phase, on which the readiness reported to the load balancer depends.
    pub fn phase(&self) -> Phase {
        self.phase.clone()
    }

    /// Stops gracefully: returns once all accepted requests are finished.
    ///
    /// The phase changes to draining at once. The entry still accepts connections for
    /// the drain time of the settings, which the load balancer needs to notice that
    /// the entry is not ready.
    pub fn stop(mut self) {
        self.phase.start_drain();
        thread::sleep(self.drain_time);
        self.control.send(Event::Stop);
        self.shut_down(Command::Finish);
    }

    /// Stops abruptly and closes all connections, as the loss of the VM does.
    pub fn kill(mut self) {
        self.shut_down(Command::Abort);
    }

    /// Blocks the I/O thread `index` for the given time; lets tests simulate a stuck task.
    pub fn stall(&self, index: usize, time: Duration) {
        self.threads[index].send(Command::Stall(time));
    }

    fn shut_down(&mut self, command: Command) {
        for thread in &self.threads {
            thread.send(command);
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
        self.shut_down(Command::Abort);
    }
}
