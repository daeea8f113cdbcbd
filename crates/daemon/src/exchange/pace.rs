//! Recent service times of one service.

use std::time::Duration;

const TIMES: usize = 256;
/// Fewest times that give a percentile.
const ENOUGH: usize = 20;

/// Ring of recent service times.
#[derive(Debug, Default)]
pub(super) struct Pace {
    times: Vec<Duration>,
    next: usize,
}

impl Pace {
    pub(super) fn record(&mut self, time: Duration) {
        if self.times.len() < TIMES {
            self.times.push(time);
        } else {
            self.times[self.next] = time;
        }
        self.next = (self.next + 1) % TIMES;
    }

    /// Returns the 99th percentile; zero while too few times are known.
    pub(super) fn percentile(&self) -> Duration {
        if self.times.len() < ENOUGH {
            return Duration::ZERO;
        }
        let mut times = self.times.clone();
        times.sort_unstable();
        times[(times.len() * 99).div_ceil(100) - 1]
    }
}
