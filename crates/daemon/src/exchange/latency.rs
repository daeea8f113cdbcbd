//! Recent latencies of one service.

use std::time::Duration;

const WINDOW_SAMPLES: usize = 256;
/// Fewest samples from which a percentile is computed.
const MIN_SAMPLES: usize = 20;

/// Ring buffer of the latest latencies of successful exchanges.
#[derive(Debug, Default)]
pub(super) struct LatencyWindow {
    times: Vec<Duration>,
    next: usize,
}

impl LatencyWindow {
    pub(super) fn record(&mut self, time: Duration) {
        if self.times.len() < WINDOW_SAMPLES {
            self.times.push(time);
        } else {
            self.times[self.next] = time;
        }
        self.next = (self.next + 1) % WINDOW_SAMPLES;
    }

    /// Returns the 99th percentile; zero below [`MIN_SAMPLES`] samples.
    pub(super) fn p99(&self) -> Duration {
        if self.times.len() < MIN_SAMPLES {
            return Duration::ZERO;
        }
        let mut times = self.times.clone();
        times.sort_unstable();
        times[(times.len() * 99).div_ceil(100) - 1]
    }
}
