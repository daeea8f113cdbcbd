//! Moves of VMs between pools that follow demand that lasts.
//!
//! A move costs a drain and is paid back only when the demand outlives it, so
//! the [`Balancer`] looks at the median of a window: a burst of seconds raises
//! a few one-minute means and leaves the median where it was.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;
use compact_str::format_compact;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinge_schema::ledger::VmState;

use crate::controller::Request;
use crate::id::PoolId;
use crate::id::Time;
use crate::id::VmId;
use crate::ledger::Change;
use crate::ledger::Ledger;
use crate::ledger::PoolCount;

/// When a VM moves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Time over which demand has to last before a pool receives VMs.
    pub lasting: Duration,
    /// Time over which a pool must have had no use for a VM before it gives it away.
    pub idle: Duration,
    /// Share of its VMs that a pool has to use before it receives more, and at most uses then.
    pub full: f64,
    /// Share of its VMs that a pool may use after it has given some away.
    ///
    /// It is lower than `full`, so that a pool does not ask for the same VM back.
    pub given: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            lasting: Duration::from_secs(30 * 60),
            idle: Duration::from_secs(45 * 60),
            full: 0.9,
            given: 0.8,
        }
    }
}

/// Follows the demand of pools and decides on moves between them.
///
/// ```
/// use std::time::Duration;
///
/// use wigeonhinge::ledger::Ledger;
/// use wigeonhinge::moves::Balancer;
/// use wigeonhinge::moves::Policy;
///
/// let mut balancer = Balancer::new(Policy::default());
/// balancer.observe("crews", 7.5, Duration::from_secs(10));
/// let requests = balancer.plan(&Ledger::new("north"));
/// assert!(requests.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Balancer {
    policy: Policy,
    demand: BTreeMap<PoolId, Demand>,
}

/// One-minute means of a pool's demand.
#[derive(Clone, Debug, Default)]
struct Demand {
    minutes: VecDeque<f64>,
    minute: u64,
    sum: f64,
    samples: u32,
}

/// A pool while moves are planned.
#[derive(Clone, Debug)]
struct Side {
    pool: PoolId,
    size: u32,
    room: u32,
    /// VMs that the pool lacks.
    lacks: u32,
    /// VMs that the pool can give away.
    gives: u32,
    lasting: f64,
    high: f64,
}

impl Balancer {
    /// Returns a balancer that has seen no demand.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            demand: BTreeMap::new(),
        }
    }

    /// Takes a sample of a pool's demand: the VMs that its work in progress and in its queue would
    /// fill.
    pub fn observe(&mut self, pool: &str, demand: f64, now: Time) {
        let limit = minutes(self.policy.lasting.max(self.policy.idle));
        let entry = self.demand.entry(pool.into()).or_default();
        entry.add(demand, now, limit);
    }

    /// Returns requests for moves, each with its reason for the audit trail.
    ///
    /// A pool never gives away a VM that its promise or its own maintenance needs, and gives no
    /// more at a time than its budget allows, since a move drains its VM first.
    pub fn plan(&self, ledger: &Ledger) -> Vec<Request> {
        let mut sides = self.sides(ledger);
        let mut requests = Vec::new();
        let mut taken: Vec<VmId> = Vec::new();
        while let Some((from, to)) = best_pair(&sides) {
            let Some(vm) = choose(ledger, &sides[from].pool, &sides[to].pool, &taken) else {
                sides[from].gives = 0;
                continue;
            };
            requests.push(self.request(&vm, &sides[from], &sides[to]));
            taken.push(vm);
            sides[from].gives -= 1;
            sides[from].room -= 1;
            sides[from].size -= 1;
            sides[to].lacks -= 1;
            sides[to].size += 1;
        }
        if ledger.wave_open() {
            self.return_reserve(ledger, &mut sides, &mut taken, &mut requests);
        }
        requests
    }

    /// Returns idle VMs to the spare pool, whose reserve a wave needs; at other times they stay
    /// where they are, which saves moves.
    fn return_reserve(
        &self,
        ledger: &Ledger,
        sides: &mut [Side],
        taken: &mut Vec<VmId>,
        requests: &mut Vec<Request>,
    ) {
        let Some(spare) = ledger.pools().iter().find(|pool| pool.spare) else {
            return;
        };
        for side in sides.iter_mut().filter(|side| side.pool != spare.name) {
            while side.gives > 0 && side.room > 0 {
                let Some(vm) = choose(ledger, &side.pool, &spare.name, taken) else {
                    break;
                };
                if ledger.vm(&vm).is_none_or(|vm| vm.home != spare.name) {
                    break;
                }
                requests.push(self.return_request(&vm, side, &spare.name));
                taken.push(vm);
                side.gives -= 1;
                side.room -= 1;
            }
        }
    }

    fn return_request(&self, vm: &VmId, from: &Side, spare: &str) -> Request {
        let reason = format_compact!(
            "{} has used at most {:.1} of {} VMs for {} min; the wave needs the reserve",
            from.pool,
            from.high,
            from.size,
            minutes(self.policy.idle),
        );
        request(vm, spare, reason)
    }

    fn request(&self, vm: &VmId, from: &Side, to: &Side) -> Request {
        let reason = format_compact!(
            "{} has used {:.1} of {} VMs for {} min; {} has used at most {:.1} of {} for {} min",
            to.pool,
            to.lasting,
            to.size,
            minutes(self.policy.lasting),
            from.pool,
            from.high,
            from.size,
            minutes(self.policy.idle),
        );
        request(vm, &to.pool, reason)
    }

    fn sides(&self, ledger: &Ledger) -> Vec<Side> {
        let mut coming: BTreeMap<&str, u32> = BTreeMap::new();
        for vm in ledger.vms().iter().filter(|vm| !vm.target.is_empty()) {
            *coming.entry(&vm.target).or_default() += 1;
        }
        ledger
            .counts()
            .into_iter()
            .filter_map(|(pool, count)| {
                let coming = coming.get(pool.as_str()).copied().unwrap_or(0);
                self.side(pool, &count, coming)
            })
            .collect()
    }

    fn side(&self, pool: PoolId, count: &PoolCount, coming: u32) -> Option<Side> {
        let demand = self.demand.get(&pool)?;
        let lasting = demand.quantile(minutes(self.policy.lasting), 0.5)?;
        let high = demand.quantile(minutes(self.policy.idle), 0.75)?;
        let size = count.size - count.leaving + coming;
        let wanted = ceil(lasting / self.policy.full);
        let full = lasting > self.policy.full * f64::from(size);
        let lacks = if full { wanted.saturating_sub(size) } else { 0 };
        let kept = ceil(high / self.policy.given).max(count.promised + count.max_unavailable);
        // VMs on their way into the pool are not its to give.
        let settled = count.size - count.leaving;
        Some(Side {
            pool,
            size,
            room: count.room(),
            lacks,
            gives: settled.saturating_sub(kept),
            lasting,
            high,
        })
    }
}

impl Demand {
    fn add(&mut self, demand: f64, now: Time, limit: usize) {
        let minute = now.as_secs() / 60;
        if minute != self.minute {
            self.close(minute, limit);
        }
        self.sum += demand;
        self.samples += 1;
    }

    /// Ends the present minute; a gap without samples empties the window.
    fn close(&mut self, minute: u64, limit: usize) {
        if minute != self.minute + 1 {
            self.minutes.clear();
        } else if self.samples > 0 {
            self.minutes.push_back(self.sum / f64::from(self.samples));
        }
        if self.minutes.len() > limit {
            self.minutes.pop_front();
        }
        self.minute = minute;
        self.sum = 0.0;
        self.samples = 0;
    }

    /// Returns a quantile of the latest one-minute means; none before the window is full.
    fn quantile(&self, window: usize, share: f64) -> Option<f64> {
        let skip = self.minutes.len().checked_sub(window)?;
        let mut values: Vec<f64> = self.minutes.iter().skip(skip).copied().collect();
        values.sort_by(f64::total_cmp);
        let last = values.len().checked_sub(1)?;
        let index = (last as f64 * share).round() as usize;
        values.get(index).copied()
    }
}

fn request(vm: &VmId, target: &str, reason: CompactString) -> Request {
    Request {
        author: CompactString::const_new("balancer"),
        reason,
        change: Change::Cordon {
            vm: vm.clone(),
            target: Some(target.into()),
        },
    }
}

/// Returns the pool with the most to give and the one that lacks the most.
fn best_pair(sides: &[Side]) -> Option<(usize, usize)> {
    let to = (0..sides.len())
        .filter(|&index| sides[index].lacks > 0)
        .max_by_key(|&index| sides[index].lacks)?;
    let from = (0..sides.len())
        .filter(|&index| index != to && sides[index].gives > 0 && sides[index].room > 0)
        .max_by_key(|&index| sides[index].gives)?;
    Some((from, to))
}

/// Returns the VM to move; one that comes from the receiving pool is preferred.
fn choose(ledger: &Ledger, from: &str, to: &str, taken: &[VmId]) -> Option<VmId> {
    let free = |vm: &&VmState| {
        vm.pool == from
            && vm.phase() == Phase::Active
            && !vm.removing
            && vm.target.is_empty()
            && !taken.iter().any(|name| name == vm.name.as_str())
    };
    ledger
        .vms()
        .iter()
        .filter(free)
        .min_by_key(|vm| (vm.home != to, vm.home == from, vm.skips))
        .map(|vm| vm.name.as_str().into())
}

fn minutes(time: Duration) -> usize {
    usize::try_from(time.as_secs() / 60).unwrap_or(usize::MAX)
}

fn ceil(value: f64) -> u32 {
    // The allowance keeps 0.9 / 0.9 at 1 VM.
    (value - 1e-9).ceil().max(0.0) as u32
}
