//! Small fleets for tests.

use std::net::SocketAddr;

use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Pool;
use wigeonhinge_schema::fleet::Rules;
use wigeonhinge_schema::fleet::Service;
use wigeonhinge_schema::fleet::Upstream;
use wigeonhinge_schema::fleet::Vm;
use wigeonhinge_schema::fleet::Zone;

/// Zone of every VM of [`small`].
pub const ZONE: &str = "zone-a";

const SLOTS: u32 = 8;
const CONNECTIONS: u32 = 64;

/// Builds a fleet of one zone from services and the addresses of their upstreams.
///
/// The upstreams of service `s` are named `s-0`, `s-1` and so on, and run on
/// VMs of the same name in a pool of the service's name.
pub fn small(services: &[(&str, &[SocketAddr])]) -> Fleet {
    let mut fleet = Fleet::default();
    let mut rules = Rules {
        zones: vec![Zone {
            name: ZONE.into(),
            region: "region-a".into(),
        }],
        ..Rules::default()
    };
    for (priority, (service, addresses)) in (0..).zip(services) {
        rules.pools.push(Pool {
            name: (*service).into(),
            ..Pool::default()
        });
        rules.services.push(Service {
            name: (*service).into(),
            pool: (*service).into(),
            priority,
            ..Service::default()
        });
        for (index, address) in addresses.iter().enumerate() {
            let name = format!("{service}-{index}");
            fleet.inventory.push(Vm {
                name: name.clone(),
                pool: (*service).into(),
                zone: ZONE.into(),
                rack: format!("rack-{index}"),
                cores: 16,
                memory_mb: 65_536,
                accelerators: 0,
            });
            fleet.upstreams.push(Upstream {
                name: name.clone(),
                service: (*service).into(),
                vm: name,
                address: address.to_string(),
                slots: SLOTS,
                connections: CONNECTIONS,
            });
        }
    }
    fleet.rules = Some(rules);
    fleet
}
