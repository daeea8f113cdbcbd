//! Moves of VMs between pools that follow lasting demand.
//!
//! A move costs a drain and pays off only if the demand lasts longer than the
//! move takes. The [`Balancer`] therefore decides by the median of one-minute
//! means over a window: a burst of seconds raises a few of the means but not
//! the median.

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

/// Conditions under which VMs move between pools.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Window over which the median demand of a pool has to be high before it receives VMs.
    pub lasting_window: Duration,
    /// Window over which the upper quartile of a pool's demand has to be low before it gives VMs
    /// away.
    pub idle_window: Duration,
    /// Share of its VMs that a pool's demand has to exceed before the pool receives more; it
    /// receives as many as bring its demand down to this share.
    pub receive_share: f64,
    /// Share of its remaining VMs that a pool's demand may not exceed after it has given some away.
    ///
    /// It is lower than `receive_share`, so that the pool does not ask for the same VM back.
    pub give_share: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            lasting_window: Duration::from_secs(30 * 60),
            idle_window: Duration::from_secs(45 * 60),
            receive_share: 0.9,
            give_share: 0.8,
        }
    }
}

/// Records the demand of the pools and decides on moves between them.
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
    /// Means of the minutes that have ended, oldest first.
    means: VecDeque<f64>,
    /// Minute since the Unix epoch that `sum` and `samples` belong to.
    minute: u64,
    sum: f64,
    samples: u32,
}

/// State of a pool while moves are planned.
#[derive(Clone, Debug)]
struct PoolBalance {
    pool: PoolId,
    size: u32,
    allowed_disruptions: u32,
    /// VMs that the pool needs beyond its own.
    lacking: u32,
    /// VMs that the pool can give away.
    surplus: u32,
    median: f64,
    upper_quartile: f64,
}

impl Balancer {
    /// Returns a balancer that has seen no demand.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            demand: BTreeMap::new(),
        }
    }

    /// Records a sample of a pool's demand: the number of VMs that its running and its queued work
    /// would fill.
    pub fn observe(&mut self, pool: &str, demand: f64, now: Time) {
        let limit = whole_minutes(self.policy.lasting_window.max(self.policy.idle_window));
        let entry = self.demand.entry(pool.into()).or_default();
        entry.add(demand, now, limit);
    }

    /// Returns requests for moves, each with its reason for the audit trail.
    ///
    /// A pool never gives away a VM that its promise or its own maintenance needs. It gives no more
    /// at a time than its budget allows, because a VM is drained before it moves.
    pub fn plan(&self, ledger: &Ledger) -> Vec<Request> {
        let mut balances = self.balances(ledger);
        let mut requests = Vec::new();
        let mut taken: Vec<VmId> = Vec::new();
        while let Some((from, to)) = best_pair(&balances) {
            let Some(vm) = choose_vm(ledger, &balances[from].pool, &balances[to].pool, &taken)
            else {
                balances[from].surplus = 0;
                continue;
            };
            requests.push(self.request(&vm, &balances[from], &balances[to]));
            taken.push(vm);
            balances[from].surplus -= 1;
            balances[from].allowed_disruptions -= 1;
            balances[from].size -= 1;
            balances[to].lacking -= 1;
            balances[to].size += 1;
        }
        if ledger.wave_open() {
            self.return_reserve(ledger, &mut balances, &mut taken, &mut requests);
        }
        requests
    }

    /// Adds requests that return idle VMs to the spare pool.
    ///
    /// This is only done for a wave, which needs the reserve of the spare pool; at other times the
    /// VMs stay where they are, which saves moves.
    fn return_reserve(
        &self,
        ledger: &Ledger,
        balances: &mut [PoolBalance],
        taken: &mut Vec<VmId>,
        requests: &mut Vec<Request>,
    ) {
        let Some(spare) = ledger.pools().iter().find(|pool| pool.spare) else {
            return;
        };
        for balance in balances
            .iter_mut()
            .filter(|balance| balance.pool != spare.name)
        {
            while balance.surplus > 0 && balance.allowed_disruptions > 0 {
                let Some(vm) = choose_vm(ledger, &balance.pool, &spare.name, taken) else {
                    break;
                };
                if ledger.vm(&vm).is_none_or(|vm| vm.home != spare.name) {
                    break;
                }
                requests.push(self.return_request(&vm, balance, &spare.name));
                taken.push(vm);
                balance.surplus -= 1;
                balance.allowed_disruptions -= 1;
            }
        }
    }

    fn return_request(&self, vm: &VmId, from: &PoolBalance, spare: &str) -> Request {
        let reason = format_compact!(
            "{} has used at most {:.1} of {} VMs for {} min; the wave needs the reserve",
            from.pool,
            from.upper_quartile,
            from.size,
            whole_minutes(self.policy.idle_window),
        );
        request(vm, spare, reason)
    }

    fn request(&self, vm: &VmId, from: &PoolBalance, to: &PoolBalance) -> Request {
        let reason = format_compact!(
            "{} has used {:.1} of {} VMs for {} min; {} has used at most {:.1} of {} for {} min",
            to.pool,
            to.median,
            to.size,
            whole_minutes(self.policy.lasting_window),
            from.pool,
            from.upper_quartile,
            from.size,
            whole_minutes(self.policy.idle_window),
        );
        request(vm, &to.pool, reason)
    }

    fn balances(&self, ledger: &Ledger) -> Vec<PoolBalance> {
        let mut incoming: BTreeMap<&str, u32> = BTreeMap::new();
        for vm in ledger.vms().iter().filter(|vm| !vm.target.is_empty()) {
            *incoming.entry(&vm.target).or_default() += 1;
        }
        ledger
            .counts()
            .into_iter()
            .filter_map(|(pool, count)| {
                let incoming = incoming.get(pool.as_str()).copied().unwrap_or(0);
                self.balance(pool, &count, incoming)
            })
            .collect()
    }

    fn balance(&self, pool: PoolId, count: &PoolCount, incoming: u32) -> Option<PoolBalance> {
        let demand = self.demand.get(&pool)?;
        let median = demand.quantile(whole_minutes(self.policy.lasting_window), 0.5)?;
        let upper_quartile = demand.quantile(whole_minutes(self.policy.idle_window), 0.75)?;
        let size = count.size - count.leaving + incoming;
        let needed = ceil(median / self.policy.receive_share);
        let full = median > self.policy.receive_share * f64::from(size);
        let lacking = if full { needed.saturating_sub(size) } else { 0 };
        let kept = ceil(upper_quartile / self.policy.give_share)
            .max(count.promised + count.max_unavailable);
        // Leaves out the VMs that are still moving into the pool: they cannot be given away.
        let settled = count.size - count.leaving;
        Some(PoolBalance {
            pool,
            size,
            allowed_disruptions: count.allowed_disruptions(),
            lacking,
            surplus: settled.saturating_sub(kept),
            median,
            upper_quartile,
        })
    }
}

impl Demand {
    fn add(&mut self, demand: f64, now: Time, limit: usize) {
        let minute = now.as_secs() / 60;
        if minute != self.minute {
            self.close_minute(minute, limit);
        }
        self.sum += demand;
        self.samples += 1;
    }

    /// Ends the present minute and starts another; a gap between the two empties the window.
    fn close_minute(&mut self, minute: u64, limit: usize) {
        if minute != self.minute + 1 {
            self.means.clear();
        } else if self.samples > 0 {
            self.means.push_back(self.sum / f64::from(self.samples));
        }
        if self.means.len() > limit {
            self.means.pop_front();
        }
        self.minute = minute;
        self.sum = 0.0;
        self.samples = 0;
    }

    /// Returns a quantile of the latest one-minute means; none while there are fewer than `window`.
    fn quantile(&self, window: usize, share: f64) -> Option<f64> {
        let skip = self.means.len().checked_sub(window)?;
        let mut values: Vec<f64> = self.means.iter().skip(skip).copied().collect();
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

/// Returns the indexes of the pool that can give the most and of the pool that lacks the most; none
/// if no pool lacks a VM or no other pool can give one.
fn best_pair(balances: &[PoolBalance]) -> Option<(usize, usize)> {
    let to = (0..balances.len())
        .filter(|&index| balances[index].lacking > 0)
        .max_by_key(|&index| balances[index].lacking)?;
    let from = (0..balances.len())
        .filter(|&index| {
            index != to && balances[index].surplus > 0 && balances[index].allowed_disruptions > 0
        })
        .max_by_key(|&index| balances[index].surplus)?;
    Some((from, to))
}

/// Returns the VM to move; prefers one whose home is the receiving pool, then one whose home is not
/// the giving pool.
fn choose_vm(ledger: &Ledger, from: &str, to: &str, taken: &[VmId]) -> Option<VmId> {
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

fn whole_minutes(time: Duration) -> usize {
    usize::try_from(time.as_secs() / 60).unwrap_or(usize::MAX)
}

fn ceil(value: f64) -> u32 {
    // The tolerance for rounding errors keeps 0.9 / 0.9 at 1 VM.
    (value - 1e-9).ceil().max(0.0) as u32
}
