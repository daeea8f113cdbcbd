//! Time that a gateway takes for a decision.

use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use compact_str::format_compact;
use eyre::Result;
use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wigeonhinge::gateway::Action;
use wigeonhinge::gateway::Arrival;
use wigeonhinge::gateway::Event;
use wigeonhinge::gateway::Gateway;
use wigeonhinge::gateway::SendOutcome;
use wigeonhinge::id::Ticket;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Pool;
use wigeonhinge_schema::fleet::Rules;
use wigeonhinge_schema::fleet::Service;
use wigeonhinge_schema::fleet::Upstream;
use wigeonhinge_schema::fleet::Vm;

use crate::measure::Report;
use crate::measure::Row;
use crate::owner::CONNECTIONS;
use crate::owner::SLOTS;

/// Upstreams of a service.
const SERVICE_UPSTREAMS: usize = 41;

/// Requests that wait throughout.
const QUEUED: usize = 500;

/// Requests that arrive while time is taken.
const ROUNDS: u64 = 200_000;

/// Arrivals between two ticks.
const TICK_EVERY: u64 = 500;

/// Virtual time between two arrivals.
const GAP: Duration = Duration::from_micros(100);

/// Callers.
const CALLERS: u32 = 300;

struct Bench {
    gateway: Gateway,
    random: Pcg64,
    services: Vec<CompactString>,
    running: Vec<Ticket>,
    last: Ticket,
    now: Duration,
}

/// Measures decisions with a number of upstreams and as many waiting requests as a busy entry has.
///
/// # Errors
///
/// Fails if a decision takes longer than the histogram can hold.
pub fn run(seed: u64, upstreams: usize) -> Result<Report> {
    let fleet = fleet(upstreams);
    let rules = fleet.rules.iter().flat_map(|rules| &rules.services);
    let mut bench = Bench {
        services: rules.map(|service| service.name.as_str().into()).collect(),
        gateway: Gateway::new("entry-1".into(), "zone".into()),
        random: Pcg64::seed_from_u64(seed),
        running: Vec::new(),
        last: 0,
        now: Duration::ZERO,
    };
    bench.feed(Event::Configure(Box::new(fleet)));
    bench.feed(Event::MembershipConfirmed);
    let slots = upstreams * usize::try_from(SLOTS)?;
    for _ in 0..slots + QUEUED {
        bench.arrive();
    }
    let mut report = Report::new("decisions", &format!("{upstreams} upstreams"), seed);
    let mut ticks = Histogram::<u64>::new(3)?;
    let (mut arrivals, mut ends) = (ticks.clone(), ticks.clone());
    for round in 0..ROUNDS {
        bench.now += GAP;
        arrivals.record(bench.arrive())?;
        ends.record(bench.end())?;
        if round % TICK_EVERY == 0 {
            ticks.record(bench.feed(Event::Tick))?;
        }
    }
    for (name, times) in [("arrival", arrivals), ("answer", ends), ("tick", ticks)] {
        for (rank, quantile) in [("p50", 0.5), ("p99", 0.99)] {
            let micros = times.value_at_quantile(quantile) as f64 / 1_000.0;
            report.push(Row::new(&format!("{name}, {rank}"), "µs", micros));
        }
    }
    let queued: usize = bench
        .gateway
        .status()
        .services
        .values()
        .map(|it| it.queued)
        .sum();
    report.push(Row::new("requests that wait at the end", "", queued as f64));
    Ok(report)
}

impl Bench {
    fn arrive(&mut self) -> u64 {
        self.last += 1;
        let service = self.random.random_range(0..self.services.len());
        let caller = self.random.random_range(0..CALLERS);
        let arrival = Arrival {
            ticket: self.last,
            service: self.services[service].clone(),
            caller: format_compact!("10.0.{}.{}", caller / 256, caller % 256),
            team: format_compact!("team-{}", caller % 30),
            idempotent: true,
            deadline: self.now + Duration::from_secs(10),
        };
        self.feed(Event::Arrive(arrival))
    }

    /// Ends a random request that runs.
    fn end(&mut self) -> u64 {
        if self.running.is_empty() {
            return 0;
        }
        let index = self.random.random_range(0..self.running.len());
        let ticket = self.running.swap_remove(index);
        let outcome = SendOutcome::Answered {
            server_error: false,
        };
        self.feed(Event::Report { ticket, outcome })
    }

    /// Feeds an event and returns the nanoseconds that the decision took.
    fn feed(&mut self, event: Event) -> u64 {
        let start = Instant::now();
        let actions = self.gateway.handle(event, self.now);
        let time = start.elapsed();
        for action in actions {
            if let Action::Send { ticket, .. } = action {
                self.running.push(ticket);
            }
        }
        u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
    }
}

fn fleet(upstreams: usize) -> Fleet {
    let mut fleet = Fleet::default();
    let mut rules = Rules::default();
    for index in 0..upstreams {
        let service = format!("service-{}", index / SERVICE_UPSTREAMS);
        let name = format!("upstream-{index}");
        if index % SERVICE_UPSTREAMS == 0 {
            rules.pools.push(Pool {
                name: service.clone(),
                spare: index == 0,
                ..Pool::default()
            });
            rules.services.push(Service {
                name: service.clone(),
                pool: service.clone(),
                ..Service::default()
            });
        }
        fleet.inventory.push(Vm {
            name: name.clone(),
            pool: service.clone(),
            zone: "zone".to_owned(),
            ..Vm::default()
        });
        fleet.upstreams.push(Upstream {
            name: name.clone(),
            service,
            vm: name,
            address: "127.0.0.1:20000".to_owned(),
            slots: SLOTS,
            connections: CONNECTIONS,
        });
    }
    fleet.rules = Some(rules);
    fleet
}
