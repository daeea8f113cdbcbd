//! Idle connections to upstreams.

use std::collections::BTreeMap;
use std::time::Instant;

use wigeonhinge::id::UpstreamId;

use crate::dispatch::Target;
use crate::exchange::link::Link;

/// Connections to one upstream that an entry keeps unless the gateway sets a limit.
const CONNECTIONS: u32 = 8;

/// Idle connections of one I/O thread.
pub(super) struct Idle {
    threads: u32,
    links: BTreeMap<UpstreamId, Vec<Link>>,
    limits: BTreeMap<UpstreamId, u32>,
}

impl Idle {
    pub(super) fn new(threads: usize) -> Self {
        Self {
            threads: u32::try_from(threads).unwrap_or(u32::MAX).max(1),
            links: BTreeMap::new(),
            limits: BTreeMap::new(),
        }
    }

    /// Sets how many connections all I/O threads together may keep.
    pub(super) fn limit(&mut self, upstream: UpstreamId, limit: u32) {
        self.limits.insert(upstream.clone(), limit);
        let share = self.share(&upstream);
        if let Some(links) = self.links.get_mut(&upstream) {
            links.truncate(share);
        }
    }

    /// Takes the connection that was used last.
    pub(super) fn take(&mut self, target: &Target) -> Option<Link> {
        let links = self.links.get_mut(&target.upstream)?;
        links.retain(|link| link.usable(target));
        let index = links.iter().rposition(Link::ready)?;
        Some(links.remove(index))
    }

    pub(super) fn keep(&mut self, mut link: Link) {
        let upstream = link.target().upstream.clone();
        let share = self.share(&upstream);
        let links = self.links.entry(upstream).or_default();
        if links.len() < share {
            link.checked = Instant::now();
            links.push(link);
        }
    }

    /// Takes the connections that were neither used nor probed for a while.
    pub(super) fn stale(&mut self, before: Instant) -> Vec<Link> {
        let mut stale = Vec::new();
        for links in self.links.values_mut() {
            links.retain(Link::alive);
            let due = links.extract_if(.., |link| link.ready() && link.checked <= before);
            stale.extend(due);
        }
        self.links.retain(|_, links| !links.is_empty());
        stale
    }

    fn share(&self, upstream: &UpstreamId) -> usize {
        let limit = self.limits.get(upstream).copied().unwrap_or(CONNECTIONS);
        (limit / self.threads) as usize
    }
}
