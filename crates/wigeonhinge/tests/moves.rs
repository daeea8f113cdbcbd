//! Tests the balancer: moves follow lasting demand and never break a promise.

use std::time::Duration;

use wigeonhinge::controller::Request;
use wigeonhinge::id::Time;
use wigeonhinge::ledger::Change;
use wigeonhinge::moves::Balancer;
use wigeonhinge::moves::Policy;
use wigeonhinge_schema::ledger::WaveState;
use wigeonhinge_standin::region::Region;

const MINUTE: Time = Duration::from_secs(60);

/// Returns a balancer that has observed three hours of demand, with a sample every 10 s in the order
/// crews, quoting, spare.
fn balancer(demand: impl Fn(u64) -> [f64; 3]) -> Balancer {
    let mut balancer = Balancer::new(Policy::default());
    for sample in 0..1080 {
        let now = Duration::from_secs(sample * 10);
        for (pool, demand) in ["crews", "quoting", "spare"].iter().zip(demand(sample)) {
            balancer.observe(pool, demand, now);
        }
    }
    balancer
}

fn targets(requests: &[Request]) -> Vec<&str> {
    requests
        .iter()
        .map(|request| match &request.change {
            Change::Cordon { target, .. } => target.as_deref().expect("target"),
            change => panic!("{change:?} is no move"),
        })
        .collect()
}

#[test]
fn plan_lasting() {
    let balancer = balancer(|_| [8.4, 2.0, 1.0]);
    let requests = balancer.plan(&Region::small().ledger);
    assert_eq!(targets(&requests), ["crews", "crews"]);
    assert!(
        requests[0]
            .reason
            .contains("crews has used 8.4 of 8 VMs for 30 min")
    );
}

/// Bursts of 20 s, one in each pool every 15 minutes, move nothing.
#[test]
fn plan_bursts() {
    let balancer = balancer(|sample| {
        let burst = |pool| {
            if sample / 30 % 3 == pool && sample % 30 < 2 {
                20.0
            } else {
                1.0
            }
        };
        [burst(0), burst(1), burst(2)]
    });
    assert!(balancer.plan(&Region::small().ledger).is_empty());
}

/// Demand that rose only 10 minutes ago moves nothing yet.
#[test]
fn plan_surge() {
    let balancer = balancer(|sample| [if sample < 1020 { 2.0 } else { 9.0 }, 2.0, 1.0]);
    assert!(balancer.plan(&Region::small().ledger).is_empty());
}

/// Nothing moves before the window is full, as after the role has passed to another entry.
#[test]
fn plan_no_history() {
    let mut balancer = Balancer::new(Policy::default());
    for minute in 0..29 {
        balancer.observe("crews", 20.0, MINUTE * minute);
        balancer.observe("spare", 0.0, MINUTE * minute);
    }
    assert!(balancer.plan(&Region::small().ledger).is_empty());
}

/// Pools that have no VMs beyond their promise and their budget give none away, even when idle.
#[test]
fn plan_promise() {
    let balancer = balancer(|_| [1.0, 1.0, 12.0]);
    assert!(balancer.plan(&Region::small().ledger).is_empty());
}

/// A moved VM stays in its pool when the demand ends, and returns to the spare pool once a wave needs
/// the reserve.
#[test]
fn plan_returns_for_wave() {
    let mut world = Region::small();
    world.fleet.rules.as_mut().expect("rules").pools[2].promised = 4;
    world.revision += 1;
    world.run(2);
    world.requests = balancer(|_| [8.4, 2.0, 1.0]).plan(&world.ledger);
    world.until(200, "moves", |world| {
        world
            .ledger
            .count("crews")
            .is_some_and(|count| count.active == 10)
    });
    let idle = balancer(|_| [2.0, 2.0, 1.0]);
    assert!(idle.plan(&world.ledger).is_empty());
    world.start_wave("w1");
    for _ in 0..1000 {
        world.tick();
        world.requests = idle.plan(&world.ledger);
    }
    let wave = world.ledger.wave().expect("wave");
    assert_eq!(wave.state(), WaveState::Done, "{wave:?}");
    assert_eq!(world.maintained(), 24);
    assert_eq!(world.ledger.count("spare").map(|count| count.size), Some(8));
    assert!(world.faults.is_empty(), "{:?}", world.faults);
}
