//! Scheduler configuration and request routing to queues.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;

use compact_str::CompactString;

use crate::id::PoolId;
use crate::workspace::Workspaces;

/// Queues, pools and request limits of one configuration version.
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
    /// Version; newer configurations have higher ones.
    pub version: u64,
    /// Rules of the pools, in the order of the configuration document.
    pub pools: Vec<PoolRule>,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Workspaces of the callers; `None` if calls need no keys and no workspace has a limit.
    pub workspaces: Option<Workspaces>,
    /// Whether room is reserved in time for short tasks that fit on no worker now.
    pub backfill: bool,
    queues: BTreeMap<CompactString, Queue>,
    /// Queue names by path prefix, by host.
    hosts: BTreeMap<CompactString, BTreeMap<CompactString, CompactString>>,
    /// Pools that a queue uses.
    used_pools: BTreeSet<PoolId>,
}

impl Catalog {
    /// Creates a configuration; of several queues with one name, the last is kept.
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
            catalog.used_pools.insert(queue.pool.clone());
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

    /// Returns the queue for a request by its host and the longest matching path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let prefixes = self.hosts.get(host)?;
        let mut bound = path;
        loop {
            // The remaining prefixes of the path all sort at or before the bound.
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

    /// Returns whether the tasks of a queue run in a pool.
    pub fn has_queue(&self, pool: &str) -> bool {
        self.used_pools.contains(pool)
    }

    /// Returns whether a pool holds machines that are switched off and cost nothing.
    pub fn is_standby(&self, pool: &str) -> bool {
        self.pools
            .iter()
            .any(|rule| rule.name == pool && rule.standby)
    }
}

/// Queue of jobs.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Unique name.
    pub name: CompactString,
    /// Host name that requests must have.
    pub host: CompactString,
    /// Path prefix that requests must have.
    pub prefix: CompactString,
    /// Pool whose workers run the tasks.
    pub pool: PoolId,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Factor on the expected run time of a job's critical path in its latency objective.
    pub stretch_factor: f64,
    /// Constant part of the latency objective of a job.
    pub objective: Duration,
    /// Whether calls need no key; their jobs belong to no workspace.
    pub anonymous: bool,
}

/// Settings of a pool.
#[derive(Clone, Debug)]
pub struct PoolRule {
    /// Unique name.
    pub name: PoolId,
    /// Whether its workers reject starts beyond their capacity.
    pub enforces_capacity: bool,
    /// Whether its machines are switched off and cost nothing.
    pub standby: bool,
}
