//! A demand trace: levels that last for hours, and bursts of seconds in each pool in turn.

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use wigeonhinge::ledger::Ledger;
use wigeonhinge_schema::fleet::Fleet;

/// Samples in an hour.
const HOUR: usize = 180;

/// Hours of a trace.
const HOURS: usize = 48;

/// Samples between the bursts of one pool and of the next.
const BURST_EVERY: usize = 15;

/// Samples of a burst.
const BURST: usize = 1;

/// Demand of each pool over two days, in VMs.
pub(crate) struct Trace {
    /// Pools in the order of their names.
    pub(crate) pools: Vec<String>,
    /// VMs of each pool at the start.
    pub(crate) sizes: Vec<u32>,
    /// VMs that each pool keeps in any case: its promise and its budget.
    pub(crate) floors: Vec<u32>,
    /// First sample of each phase, and the lasting demand of each pool in it.
    pub(crate) phases: Vec<(usize, Vec<f64>)>,
}

impl Trace {
    /// Draws a trace: phases of 4 to 8 hours in which some pools need more VMs than they have.
    pub(crate) fn new(fleet: &Fleet, seed: u64) -> Self {
        let mut rules: Vec<_> = fleet.rules.iter().flat_map(|rules| &rules.pools).collect();
        rules.sort_by(|a, b| a.name.cmp(&b.name));
        let size = |name: &str| fleet.inventory.iter().filter(|vm| vm.pool == name).count() as u32;
        let mut trace = Self {
            pools: rules.iter().map(|pool| pool.name.clone()).collect(),
            sizes: rules.iter().map(|pool| size(&pool.name)).collect(),
            floors: rules
                .iter()
                .map(|pool| pool.promised + pool.max_unavailable)
                .collect(),
            phases: Vec::new(),
        };
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut start = 0;
        while start < HOURS * HOUR {
            let levels = trace.levels(&mut rng);
            trace.phases.push((start, levels));
            start += rng.random_range(4 * HOUR..8 * HOUR);
        }
        trace
    }

    /// Draws the lasting demand of a phase; a fifth of the pools, one at least, need more VMs
    /// than they have at the start.
    fn levels(&self, rng: &mut Pcg64) -> Vec<f64> {
        let mut levels: Vec<f64> = self
            .sizes
            .iter()
            .map(|&size| f64::from(size) * rng.random_range(0.2..0.5))
            .collect();
        for _ in 0..self.sizes.len().div_ceil(5) {
            let pool = rng.random_range(0..levels.len());
            let more = rng.random_range(0.3..1.3);
            levels[pool] = f64::from(self.sizes[pool]) + more;
        }
        levels
    }

    /// Returns the number of samples.
    pub(crate) fn samples(&self) -> usize {
        HOURS * HOUR
    }

    /// Returns the demand of a pool in a sample; a burst is five times the mean.
    pub(crate) fn demand(&self, sample: usize, pool: usize) -> f64 {
        let level = self.level(sample)[pool];
        let turn = sample / BURST_EVERY % self.pools.len();
        if turn == pool && sample % BURST_EVERY < BURST {
            return level * 5.0;
        }
        level
    }

    /// Returns the VM-hours by which the lasting demand of a sample exceeds the pools.
    pub(crate) fn lack(&self, sample: usize, sizes: &[u32]) -> f64 {
        let levels = self.level(sample).iter().zip(sizes);
        let lack: f64 = levels
            .map(|(level, size)| (level - f64::from(*size)).max(0.0))
            .sum();
        lack / HOUR as f64
    }

    /// Returns the VMs of each pool of a ledger.
    pub(crate) fn sizes_of(&self, ledger: &Ledger) -> Vec<u32> {
        let counts = ledger.counts();
        let size = |pool: &String| counts.get(pool.as_str()).map_or(0, |count| count.size);
        self.pools.iter().map(size).collect()
    }

    fn level(&self, sample: usize) -> &[f64] {
        let index = self.phases.partition_point(|(start, _)| *start <= sample);
        &self.phases[index - 1].1
    }
}
