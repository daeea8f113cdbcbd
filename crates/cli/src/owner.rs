//! Fleets of the two owners, at their sizes of today.

use std::fmt;
use std::str::FromStr;

use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Pool;
use wigeonhinge_schema::fleet::Rules;
use wigeonhinge_schema::fleet::Service;
use wigeonhinge_schema::fleet::Team;
use wigeonhinge_schema::fleet::Upstream;
use wigeonhinge_schema::fleet::Vm;
use wigeonhinge_schema::fleet::Zone;

/// VMs in a rack.
pub const RACK_VMS: usize = 4;

/// Requests that an upstream runs at the same time.
pub const SLOTS: u32 = 8;

/// Connections that an upstream accepts.
pub const CONNECTIONS: u32 = 64;

/// Days within which every VM is maintained once.
const MAINTENANCE_DAYS: u32 = 42;

/// First port of the upstreams in a generated fleet.
const FIRST_PORT: usize = 20_000;

/// Owner of a fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Owner {
    /// Awning and canopy franchises; three zones.
    Coastline,
    /// Road signage; four zones.
    Qureshi,
}

impl Owner {
    /// Both owners.
    pub const ALL: [Self; 2] = [Self::Coastline, Self::Qureshi];

    /// Returns the availability zones.
    pub fn zones(self) -> &'static [&'static str] {
        match self {
            Self::Coastline => &["west-1", "west-2", "west-3"],
            Self::Qureshi => &["north-1", "north-2", "north-3", "north-4"],
        }
    }

    /// Returns the region of all zones.
    pub fn region(self) -> &'static str {
        match self {
            Self::Coastline => "west",
            Self::Qureshi => "north",
        }
    }

    /// Returns the services and the number of their upstreams, most urgent first;
    /// the last one runs on the spare pool.
    pub fn services(self) -> &'static [(&'static str, usize)] {
        match self {
            Self::Coastline => &[
                ("crews", 12),
                ("workshop", 12),
                ("quoting", 12),
                ("engineering", 8),
                ("backoffice", 12),
            ],
            Self::Qureshi => &[
                ("pass", 12),
                ("highway", 12),
                ("district", 8),
                ("bridge", 8),
                ("backoffice", 12),
            ],
        }
    }

    /// Returns the memory of a worker in MiB.
    pub fn memory_mb(self) -> u64 {
        match self {
            Self::Coastline => 64 * 1024,
            Self::Qureshi => 32 * 1024,
        }
    }

    /// Returns the fleet: a worker with 16 cores and an upstream on each VM, four
    /// VMs to a rack, the racks of a pool spread over the zones.
    pub fn fleet(self) -> Fleet {
        let mut fleet = Fleet {
            rules: Some(self.rules()),
            ..Fleet::default()
        };
        let zones = self.zones();
        let mut rack = 0;
        for (service, count) in self.services() {
            for index in 0..*count {
                let zone = zones[rack % zones.len()];
                let name = format!("{service}-{:02}", index + 1);
                fleet.inventory.push(self.vm(&name, service, zone, rack));
                let port = FIRST_PORT + fleet.upstreams.len();
                fleet.upstreams.push(upstream(&name, service, port));
                if index % RACK_VMS == RACK_VMS - 1 {
                    rack += 1;
                }
            }
        }
        fleet
    }

    fn rules(self) -> Rules {
        let zones = self.zones().iter().map(|zone| Zone {
            name: (*zone).to_owned(),
            region: self.region().to_owned(),
        });
        let spare = self.services().len() - 1;
        let services = self.services().iter().enumerate();
        let pools = services
            .clone()
            .map(|(rank, (name, count))| pool(name, *count, rank == spare));
        Rules {
            zones: zones.collect(),
            pools: pools.collect(),
            services: services
                .map(|(rank, (name, _))| service(name, rank))
                .collect(),
            teams: vec![team("office"), team("field")],
            maintenance_days: MAINTENANCE_DAYS,
        }
    }

    fn vm(self, name: &str, pool: &str, zone: &str, rack: usize) -> Vm {
        Vm {
            name: name.to_owned(),
            pool: pool.to_owned(),
            zone: zone.to_owned(),
            rack: format!("rack-{:02}", rack + 1),
            cores: 16,
            memory_mb: self.memory_mb(),
            accelerators: 0,
        }
    }
}

impl FromStr for Owner {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "coastline" => Ok(Self::Coastline),
            "qureshi" => Ok(Self::Qureshi),
            _ => Err(format!(
                "unknown owner {text:?}; expected \"coastline\" or \"qureshi\""
            )),
        }
    }
}

impl fmt::Display for Owner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Coastline => "coastline",
            Self::Qureshi => "qureshi",
        })
    }
}

/// Returns a pool that may lose one rack; the spare pool holds one more for the pool that loses a
/// rack during its maintenance.
fn pool(name: &str, count: usize, spare: bool) -> Pool {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    let rack = u32::try_from(RACK_VMS).unwrap_or(u32::MAX);
    Pool {
        name: name.to_owned(),
        spare,
        max_unavailable: rack,
        promised: count - rack * if spare { 2 } else { 1 },
        budgets: Vec::new(),
    }
}

fn service(name: &str, rank: usize) -> Service {
    Service {
        name: name.to_owned(),
        pool: name.to_owned(),
        priority: u32::try_from(rank).unwrap_or(u32::MAX),
        ..Service::default()
    }
}

fn team(name: &str) -> Team {
    Team {
        name: name.to_owned(),
        cores: 64,
        memory_mb: 128 * 1024,
        accelerators: 0,
    }
}

fn upstream(name: &str, service: &str, port: usize) -> Upstream {
    Upstream {
        name: name.to_owned(),
        service: service.to_owned(),
        vm: name.to_owned(),
        address: format!("127.0.0.1:{port}"),
        slots: SLOTS,
        connections: CONNECTIONS,
    }
}
