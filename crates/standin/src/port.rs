//! Loopback addresses for entries that are told their ports.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::ops::Range;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// Ports below the range from which the kernel assigns ports. A port of that range could be
/// assigned to another socket between its selection and the start of the entry.
const PORTS: Range<u32> = 12_000..32_000;

/// Distance between the first ports of processes with consecutive identifiers, which would
/// otherwise try the same ports at the same time.
const PROCESS_STRIDE: u32 = 997;

/// Returns a loopback address whose TCP and UDP ports no socket is bound to.
///
/// Each call of a process returns another address, until all ports were tried.
///
/// # Panics
///
/// Panics if every port of the range is in use.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let size = PORTS.end - PORTS.start;
    for _ in PORTS {
        let offset = std::process::id()
            .wrapping_mul(PROCESS_STRIDE)
            .wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + offset % size;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("every port of {PORTS:?} is in use");
}
