//! Async runtime of an I/O thread.

use std::future::Future;
use std::io;
use std::pin::pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use compio::driver::DriverType;
use compio::driver::ProactorBuilder;
use compio::runtime::Runtime;

/// Number of times that ready tasks run between two polls of the sockets.
///
/// A poll takes five system calls even if no socket is ready. A request wakes
/// several tasks of its thread one after another, and `Runtime::block_on`
/// would poll after each of them.
const ROUNDS_PER_POLL: usize = 16;

/// Builds a runtime with the poll-based driver.
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
            // A task that wakes another one also notifies the driver, and a
            // notified driver returns from its next poll immediately.
            let ready = runtime.run() || runtime.flush();
            rounds += 1;
            if !ready {
                rounds = 0;
                runtime.poll();
            } else if rounds >= ROUNDS_PER_POLL {
                rounds = 0;
                runtime.poll_with(Some(Duration::ZERO));
            }
        }
    })
}
