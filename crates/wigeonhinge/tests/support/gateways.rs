//! Fleets, requests and gateways for tests.

use std::time::Duration;

use wigeonhinge::gateway::Action;
use wigeonhinge::gateway::Arrival;
use wigeonhinge::gateway::Event;
use wigeonhinge::gateway::Gateway;
use wigeonhinge::id::Ticket;
use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Pool;
use wigeonhinge_schema::fleet::Rules;
use wigeonhinge_schema::fleet::Service;
use wigeonhinge_schema::fleet::Upstream;
use wigeonhinge_schema::fleet::Vm;
use wigeonhinge_schema::fleet::Zone;

pub(crate) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a fleet of services with `count` upstreams each, spread over the zones.
///
/// With more than one service, the pool of the last one is the spare pool.
pub(crate) fn fleet(zones: &[&str], services: &[&str], count: usize, slots: u32) -> Fleet {
    let mut fleet = Fleet::default();
    let mut rules = Rules {
        zones: zones.iter().map(|name| zone(name)).collect(),
        ..Rules::default()
    };
    for (rank, name) in services.iter().enumerate() {
        rules.pools.push(Pool {
            name: (*name).to_owned(),
            spare: services.len() > 1 && rank + 1 == services.len(),
            ..Pool::default()
        });
        rules.services.push(Service {
            name: (*name).to_owned(),
            pool: (*name).to_owned(),
            priority: rank as u32,
            ..Service::default()
        });
        for index in 0..count {
            let vm = format!("{name}-{index}");
            fleet.inventory.push(Vm {
                name: vm.clone(),
                pool: (*name).to_owned(),
                zone: zones[index % zones.len()].to_owned(),
                ..Vm::default()
            });
            fleet.upstreams.push(Upstream {
                name: vm.clone(),
                service: (*name).to_owned(),
                vm,
                address: format!("127.0.0.1:{}", 1_000 + fleet.upstreams.len()),
                slots,
                connections: slots * 8,
            });
        }
    }
    fleet.rules = Some(rules);
    fleet
}

/// Returns the gateway of the only entry of zone `a`, configured and past its hold-down at time 0.
pub(crate) fn ready(fleet: Fleet) -> Gateway {
    let mut gateway = Gateway::new("e1".into(), "a".into());
    gateway.handle(Event::Configure(Box::new(fleet)), Duration::ZERO);
    gateway.handle(Event::MembershipConfirmed, Duration::ZERO);
    gateway
}

/// Returns an idempotent request with a deadline in 10 s.
pub(crate) fn arrival(ticket: Ticket, service: &str, now: Duration) -> Arrival {
    Arrival {
        ticket,
        service: service.into(),
        caller: "10.0.0.1".into(),
        team: "".into(),
        idempotent: true,
        deadline: now + Duration::from_secs(10),
    }
}

/// Returns ticket and upstream of each [`Action::Send`].
pub(crate) fn sends(actions: &[Action]) -> Vec<(Ticket, String)> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send {
            ticket, upstream, ..
        } => Some((*ticket, upstream.to_string())),
        _ => None,
    });
    sent.collect()
}

fn zone(name: &str) -> Zone {
    Zone {
        name: name.to_owned(),
        region: "r".to_owned(),
    }
}
