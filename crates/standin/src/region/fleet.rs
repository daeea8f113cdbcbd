//! Small fleet of the region.

use wigeonhinge_schema::fleet::Fleet;
use wigeonhinge_schema::fleet::Pool;
use wigeonhinge_schema::fleet::Rules;
use wigeonhinge_schema::fleet::Vm;
use wigeonhinge_schema::fleet::Zone;

/// Returns a fleet of three pools in three zones; each rack holds VMs of several pools.
pub fn fleet() -> Fleet {
    let zones = ["a", "b", "c"].map(|name| Zone {
        name: name.into(),
        region: "north".into(),
    });
    let pools = [
        ("crews", 8, 2, 6, false),
        ("quoting", 8, 2, 6, false),
        ("spare", 8, 2, 2, true),
    ];
    let mut inventory = Vec::new();
    let rules = Rules {
        zones: zones.to_vec(),
        pools: pools.map(pool).to_vec(),
        ..Rules::default()
    };
    for (name, size, ..) in pools {
        for number in 0..size {
            inventory.push(vm(name, number, inventory.len()));
        }
    }
    Fleet {
        rules: Some(rules),
        inventory,
        upstreams: Vec::new(),
    }
}

pub(super) fn pool((name, _, budget, promised, spare): (&str, usize, u32, u32, bool)) -> Pool {
    Pool {
        name: name.into(),
        max_unavailable: budget,
        promised,
        spare,
        ..Pool::default()
    }
}

pub(super) fn vm(pool: &str, number: usize, rack: usize) -> Vm {
    Vm {
        name: format!("{pool}-{number}"),
        pool: pool.into(),
        zone: ["a", "b", "c"][rack % 3].into(),
        rack: format!("r{}", rack % 6),
        cores: 16,
        ..Vm::default()
    }
}
