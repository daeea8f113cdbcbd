//! Runtime of an I/O thread.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use compio::driver::DriverType;
use compio::driver::ProactorBuilder;
use compio::runtime::Runtime;

/// Rounds of tasks between two polls of the sockets.
///
/// A poll takes five system calls, also if nothing is ready. A request wakes
/// several tasks of its thread in turn, and `Runtime::block_on` polls after
/// each of them.
const ROUNDS: usize = 16;

/// Builds a runtime that polls.
pub(crate) fn build() -> io::Result<Runtime> {
    let mut proactor = ProactorBuilder::new();
    proactor.driver_type(DriverType::Poll);
    Runtime::builder().with_proactor(proactor).build()
}

/// Runs a future and every task that it spawns until the future completes.
pub(crate) fn block_on<F: Future>(runtime: &Runtime, future: F) -> F::Output {
    runtime.enter(|| {
        let waker = runtime.waker();
        let mut context = Context::from_waker(&waker);
        let mut future = pin!(future);
        let mut rounds = 0;
        loop {
            if let Poll::Ready(output) = future.as_mut().poll(&mut context) {
                return output;
            }
            // A task that woke another one leaves the driver notified, and a
            // notified driver returns from its next poll at once.
            let awake = runtime.run() || runtime.flush();
            rounds += 1;
            if !awake {
                rounds = 0;
                runtime.poll();
            } else if rounds >= ROUNDS {
                rounds = 0;
                runtime.poll_with(Some(Duration::ZERO));
            }
        }
    })
}
