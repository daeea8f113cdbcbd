//! The platform's list of VMs, which may lag.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::platform::unix_ms;

/// State of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// In use.
    Live,
    /// About to stop.
    Leaving,
    /// Stopped.
    Gone,
}

/// The list of VMs.
#[derive(Clone, Debug, Default)]
pub struct Vms {
    now: BTreeMap<String, State>,
    /// Earlier lists and when each was replaced, oldest first.
    past: VecDeque<(Instant, u64, BTreeMap<String, State>)>,
    lag: Duration,
}

impl Vms {
    /// Sets the state of a VM.
    pub fn set(&mut self, vm: &str, state: State, now: Instant) {
        let lag = self.lag;
        self.past.retain(|(until, _, _)| *until + lag > now);
        self.past.push_back((now, unix_ms(), self.now.clone()));
        self.now.insert(vm.to_owned(), state);
    }

    /// Sets by how much the list lags behind.
    pub fn lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Returns the list as the platform shows it.
    pub fn list(&self, now: Instant) -> Value {
        let shown = self
            .past
            .iter()
            .find(|(until, _, _)| *until + self.lag > now);
        let (as_of, vms) = match shown {
            Some((_, at, vms)) => (*at, vms),
            None => (unix_ms(), &self.now),
        };
        let items: Vec<Value> = vms
            .iter()
            .map(|(name, state)| json!({ "name": name, "state": state.name() }))
            .collect();
        json!({ "as_of_ms": as_of, "vms": items })
    }
}

impl State {
    fn name(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }
}
