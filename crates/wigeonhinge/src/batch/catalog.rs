//! The configuration: queues and pools.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use compact_str::CompactString;

use crate::id::PoolId;

/// Configuration: queues and pools.
///
/// ```
/// use wigeonhinge::batch::Catalog;
/// use wigeonhinge::batch::Queue;
///
/// let queue = |name: &str, prefix: &str| Queue {
///     name: name.into(),
///     host: "crews".into(),
///     prefix: prefix.into(),
///     ..Queue::default()
/// };
/// let queues = [queue("all", "/"), queue("jobs", "/jobs/")];
/// let catalog = Catalog::new(1, queues, Vec::new(), 65_536);
/// assert_eq!(catalog.route("crews", "/jobs/7").expect("a queue").name, "jobs");
/// assert_eq!(catalog.route("crews", "/other").expect("a queue").name, "all");
/// ```
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Version; a later configuration has a higher one.
    pub version: u64,
    /// Pools.
    pub pools: Vec<PoolRule>,
    /// Largest body of a request in bytes.
    pub max_body_bytes: usize,
    queues: BTreeMap<CompactString, Queue>,
    /// Names of queues by prefix, by host.
    hosts: BTreeMap<CompactString, BTreeMap<CompactString, CompactString>>,
}

impl Catalog {
    /// Creates a configuration.
    pub fn new(
        version: u64,
        queues: impl IntoIterator<Item = Queue>,
        pools: Vec<PoolRule>,
        max_body_bytes: usize,
    ) -> Self {
        let mut catalog = Self {
            version,
            pools,
            max_body_bytes,
            ..Self::default()
        };
        for queue in queues {
            let prefixes = catalog.hosts.entry(queue.host.clone()).or_default();
            prefixes.insert(queue.prefix.clone(), queue.name.clone());
            catalog.queues.insert(queue.name.clone(), queue);
        }
        catalog
    }

    /// Returns the queues in the order of their names.
    pub fn queues(&self) -> impl ExactSizeIterator<Item = &Queue> {
        self.queues.values()
    }

    /// Returns a queue by its name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.get(name)
    }

    /// Returns the queue of a request, by its host and the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let prefixes = self.hosts.get(host)?;
        let mut bound = path;
        loop {
            // All prefixes of the path that are left sort at or before the bound.
            let mut range = prefixes.range::<str, _>((Bound::Unbounded, Bound::Included(bound)));
            let (prefix, name) = range.next_back()?;
            if path.starts_with(prefix.as_str()) {
                return self.queues.get(name);
            }
            let common = bound.char_indices().zip(prefix.chars());
            let common = common.take_while(|((_, a), b)| a == b).last();
            let length = common.map_or(0, |((start, it), _)| start + it.len_utf8());
            bound = &bound[..length];
        }
    }

    /// Returns whether machines of a pool are off and free of charge.
    pub fn is_standby(&self, pool: &str) -> bool {
        self.pools
            .iter()
            .any(|rule| rule.name == pool && rule.standby)
    }
}

/// Queue of jobs.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Name.
    pub name: CompactString,
    /// Host of its requests.
    pub host: CompactString,
    /// Prefix of its paths.
    pub prefix: CompactString,
    /// Pool whose workers run its tasks.
    pub pool: PoolId,
    /// Priority; 0 comes first.
    pub priority: u32,
    /// Starts of a task that may fail.
    pub max_attempts: u32,
    /// Factor on a job's longest chain of work in its latency objective.
    pub stretch_factor: f64,
    /// Constant part of a job's latency objective.
    pub objective: Duration,
}

/// Rule of a pool.
#[derive(Clone, Debug)]
pub struct PoolRule {
    /// Name.
    pub name: PoolId,
    /// Whether its workers reject what exceeds their capacity.
    pub enforces_capacity: bool,
    /// Whether its machines are off and free of charge.
    pub standby: bool,
}
