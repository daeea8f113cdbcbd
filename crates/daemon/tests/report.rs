//! Metrics that an entry sends, against the list in `docs/metrics.md`.

#[path = "support/site.rs"]
mod site;

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::time::Duration;
use std::time::Instant;

use wigeonhinge_schema::settings::Limits;
use wigeonhinge_standin::caller;
use wigeonhinge_standin::upstream::Behaviour;
use wigeonhinge_standin::upstream::Fault;
use wigeonhinge_standin::upstream::Upstream;
use wigeonhinged::Daemon;
use wigeonhinged::Report;
use wigeonhinged::Settings;
use wigeonhinged::Source;

/// Guards against metrics that are sent but not listed, listed but not sent, or tagged with a
/// service name that the fleet does not have.
#[test]
fn report_documented_metrics() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_millis(200)))
        .unwrap();
    let upstreams = [Upstream::spawn().unwrap()];
    let mut raw = site::settings();
    raw.metrics = socket.local_addr().unwrap().to_string();
    raw.limits = Some(Limits {
        caller_connections: 1,
        ..Limits::default()
    });
    let settings = Settings::check(raw).unwrap();
    let fleet = Box::new(site::fleet_of(&upstreams));
    let report = Report::open(&settings).unwrap();
    let daemon = Daemon::start(&settings, Source::Fixed(fleet), report).unwrap();
    let send = |bytes: &[u8]| caller::send(daemon.address(), bytes, site::ANSWER_TIMEOUT).unwrap();
    send(b"GET /secret-name HTTP/1.1\r\nconnection: close\r\n\r\n");
    std::thread::sleep(Duration::from_millis(100));
    upstreams[0].behave(Behaviour {
        fault: Fault::Unnamed,
        ..Behaviour::default()
    });
    send(&site::request("connection: close\r\n"));
    std::thread::sleep(Duration::from_millis(100));
    let open = std::net::TcpStream::connect(daemon.address()).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    assert_eq!(send(&site::request("")).status, 429);
    drop(open);
    let sent = receive_metrics(&socket);
    assert!(!sent.contains("secret-name"));
    let sent: BTreeSet<&str> = sent
        .lines()
        .filter_map(|line| line.strip_prefix("wigeonhinge.")?.split(':').next())
        .collect();
    assert_eq!(sent, documented_metrics());
}

fn receive_metrics(socket: &UdpSocket) -> String {
    let mut text = String::new();
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        let mut datagram = [0; 2_048];
        if let Ok(count) = socket.recv(&mut datagram) {
            text.push_str(std::str::from_utf8(&datagram[..count]).unwrap());
            text.push('\n');
        }
    }
    text
}

fn documented_metrics() -> BTreeSet<&'static str> {
    include_str!("../../../docs/metrics.md")
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .collect()
}
