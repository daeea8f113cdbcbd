//! Caps of workspaces: what the runs of each may request together.
//!
//! The use of a workspace counts every run that may exist on a worker, from the reservation of its
//! capacity until it is known to have ended or is certainly lost. Each run carries its workspace, so
//! that it counts on after its job has ended. Tasks that a cap holds back are parked in their ready
//! queue by workspace and request, so that neither passes nor pool sizes depend on their number.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::batch::Batch;
use crate::batch::Catalog;
use crate::batch::Run;
use crate::batch::Size;
use crate::batch::Step;
use crate::batch::TaskId;
use crate::batch::worker::Worker;
use crate::id::JobId;
use crate::id::PoolId;
use crate::id::Time;
use crate::id::WorkspaceId;

/// Shortest time between two log lines that a workspace waits for its cap, or waits no longer.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Parked tasks that one pass over a pool returns to its ready tasks at most. A cap that is removed
/// releases thousands, and ten ticks a second return 10,240 of them.
const MAX_RELEASED: usize = 1_024;

/// Addition of a run to the use of a workspace, or its removal.
#[derive(Clone, Debug)]
pub(super) enum Charge {
    Add(WorkspaceId, Size),
    Remove(WorkspaceId, Size),
}

/// Resources that the runs of each workspace request.
#[derive(Debug, Default)]
pub(super) struct Uses {
    sizes: BTreeMap<WorkspaceId, Size>,
}

impl Uses {
    pub(super) fn apply(&mut self, charges: &mut Vec<Charge>) {
        for charge in charges.drain(..) {
            match charge {
                Charge::Add(workspace, size) => {
                    let used = self.sizes.entry(workspace).or_default();
                    *used = used.plus(size);
                }
                Charge::Remove(workspace, size) => {
                    if let Some(used) = self.sizes.get_mut(&workspace) {
                        *used = used.minus(size);
                        if *used == Size::default() {
                            self.sizes.remove(&workspace);
                        }
                    }
                }
            }
        }
    }

    pub(super) fn get(&self, workspace: &str) -> Size {
        self.sizes.get(workspace).copied().unwrap_or_default()
    }

    fn iter(&self) -> impl Iterator<Item = (&WorkspaceId, &Size)> {
        self.sizes.iter()
    }
}

/// Most that the runs of a workspace may request together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Limit {
    /// Cap of the configuration; a resource of 0 has no limit.
    cap: Size,
    /// What this partition may use of the resources that have a limit.
    share: Size,
}

impl Limit {
    /// Returns whether a request fits beside `used`. A resource that it does not ask for cannot stand in
    /// its way, also if a lowered cap is exceeded.
    fn allows(self, used: Size, request: Size) -> bool {
        let within = |cap: u64, share: u64, used: u64, request: u64| {
            cap == 0 || request == 0 || used + request <= share.min(cap)
        };
        let Self { cap, share } = self;
        within(
            cap.millicores,
            share.millicores,
            used.millicores,
            request.millicores,
        ) && within(
            cap.memory_mb,
            share.memory_mb,
            used.memory_mb,
            request.memory_mb,
        ) && within(
            cap.accelerators,
            share.accelerators,
            used.accelerators,
            request.accelerators,
        )
    }

    /// Returns which part of a request fits beside `used`, as far as each resource allows.
    fn usable_part(self, used: Size, request: Size) -> f64 {
        let part = |cap: u64, share: u64, used: u64, request: u64| {
            let room = share.min(cap).saturating_sub(used);
            match cap == 0 || request <= room {
                true => 1.0,
                false => room as f64 / request as f64,
            }
        };
        let (cap, share) = (self.cap, self.share);
        let cores = part(
            cap.millicores,
            share.millicores,
            used.millicores,
            request.millicores,
        );
        let memory = part(
            cap.memory_mb,
            share.memory_mb,
            used.memory_mb,
            request.memory_mb,
        );
        let accelerators = part(
            cap.accelerators,
            share.accelerators,
            used.accelerators,
            request.accelerators,
        );
        cores.min(memory).min(accelerators)
    }
}

/// What this partition may use, and what was logged of it.
#[derive(Debug, Default)]
pub(super) struct Caps {
    /// Part of each workspace's cap that this partition may use; `None` if it is the only one.
    shares: Option<BTreeMap<WorkspaceId, Size>>,
    /// Workspaces that waited for their caps at their last log line, with its time.
    logged: BTreeMap<WorkspaceId, (bool, Time)>,
}

/// Use and waiting tasks of a workspace.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkspaceUse {
    /// Resources that its runs request, those included that may exist although they were stopped.
    pub used: Size,
    /// Cap of the configuration; a resource of 0 has no limit.
    pub cap: Size,
    /// What this partition may use of the cap.
    pub share: Size,
    /// Number of ready tasks; a gang counts as one.
    pub waiting: usize,
    /// Number of those of them that the cap holds back.
    pub capped: usize,
    /// Resources that the ready tasks request.
    pub requested: Size,
    /// Request of the smallest task that the cap holds back, by its cores; zero if there is none.
    pub unit: Size,
}

impl Step {
    /// Returns what a start of the step counts against its workspace's cap: that of a whole gang, and
    /// the cores of best-effort tasks.
    pub(super) fn start_request(&self) -> Size {
        match self.gang {
            true => self.request().scaled(u64::from(self.count)),
            false => self.request(),
        }
    }
}

impl Batch {
    /// Returns whether runs of a workspace may request `size` more.
    pub fn cap_allows(&self, workspace: &WorkspaceId, size: Size) -> bool {
        let Some(limit) = self.limit(workspace) else {
            return true;
        };
        limit.allows(self.workers.used_by(workspace), size)
    }

    /// Returns the limit of a workspace in this partition, if it has one.
    fn limit(&self, workspace: &str) -> Option<Limit> {
        if workspace.is_empty() {
            return None;
        }
        let cap = self.catalog.workspaces.as_ref()?.get(workspace)?.cap;
        let share = match &self.caps.shares {
            None => cap,
            Some(shares) => shares.get(workspace).copied().unwrap_or_default(),
        };
        (cap != Size::default()).then_some(Limit { cap, share })
    }

    /// Returns whether the cap of its workspace allows to start a task or its whole gang.
    pub(super) fn cap_allows_start(&mut self, task: &TaskId, step: &Step) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        if self.limit(&job.row.workspace).is_none() {
            return true;
        }
        self.workers.refresh();
        self.cap_allows(&job.row.workspace, step.start_request())
    }

    /// Returns what listed runs that are not known count for the workspaces of their jobs, if these
    /// are known.
    pub(super) fn unknown_requests(&self, runs: &[(TaskId, Run)]) -> Vec<(WorkspaceId, Size)> {
        let request = |(task, _): &(TaskId, Run)| {
            let job = self.jobs.get(&task.job)?;
            Some((job.row.workspace.clone(), job.step(task.step)?.request()))
        };
        let requests = runs.iter().filter_map(request);
        requests.filter(|(name, _)| !name.is_empty()).collect()
    }

    /// Forgets the unknown runs of workers whose leases have ended.
    pub(super) fn expire_unknown_runs(&mut self, now: Time) {
        let lapsed = |worker: &Worker| !worker.unknown_runs.is_empty() && now >= worker.lease_end;
        for id in self.workers.select(lapsed) {
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.set_unknown_runs(Vec::new());
            }
        }
    }

    /// Sets what this partition may use of the caps.
    pub(super) fn set_cap_shares(&mut self, shares: BTreeMap<WorkspaceId, Size>) {
        if self.caps.shares.as_ref() != Some(&shares) {
            self.caps.shares = Some(shares);
            self.recheck_caps();
        }
    }

    /// Lets the next pass look at the tasks that caps hold back.
    fn recheck_caps(&mut self) {
        let parked = self.ready.iter().filter(|(_, ready)| ready.has_parked());
        self.dirty_pools
            .extend(parked.map(|(pool, _)| pool.clone()));
    }

    /// Logs the caps that a configuration changes, and applies them to waiting tasks.
    pub(super) fn caps_changed(&mut self, previous: &Catalog) {
        let caps = |catalog: &Catalog| -> BTreeMap<WorkspaceId, Size> {
            let list = catalog.workspaces.iter().flat_map(|it| it.iter());
            list.map(|it| (it.name.clone(), it.cap)).collect()
        };
        let (before, after) = (caps(previous), caps(&self.catalog));
        let names = before
            .keys()
            .chain(after.keys().filter(|it| !before.contains_key(*it)));
        for name in names {
            let cap = |caps: &BTreeMap<WorkspaceId, Size>| caps.get(name).copied();
            let (from, to) = (
                cap(&before).unwrap_or_default(),
                cap(&after).unwrap_or_default(),
            );
            if from != to {
                self.log(format!(
                    "caps: cap of workspace {name} changes from {from} to {to}; 0 means no limit"
                ));
            }
        }
        self.recheck_caps();
    }

    /// Logs once for each job that a task of it waits for the cap of its workspace.
    pub(super) fn log_capped(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if !std::mem::replace(&mut job.cap_logged, true) {
            let workspace = job.row.workspace.clone();
            self.log(format!(
                "caps: job {id} waits for the cap of workspace {workspace}"
            ));
        }
    }

    /// Returns parked tasks of a pool to its ready tasks as far as their caps have room for them.
    pub(super) fn release_capped(&mut self, pool: &PoolId) {
        let Some(ready) = self.ready.get(pool).filter(|it| it.has_parked()) else {
            return;
        };
        let workspaces = ready.parked_workspaces();
        self.workers.refresh();
        let share = (MAX_RELEASED / workspaces.len().max(1)).max(1);
        for workspace in workspaces {
            let mut left = share;
            let limit = self.limit(&workspace);
            let used = self.workers.used_by(&workspace);
            let Some(ready) = self.ready.get_mut(pool) else {
                return;
            };
            // Tasks that are ready already may find no worker, so they take no room from the others.
            let mut released = Size::default();
            while left > 0 {
                let total = used.plus(released);
                let fits = |size: Size| limit.is_none_or(|it| it.allows(total, size));
                let Some(size) = ready.release(&workspace, fits) else {
                    break;
                };
                released = released.plus(size);
                left -= 1;
            }
        }
    }

    /// Returns what the ready tasks of a pool ask for, without what their caps hold back.
    pub(super) fn usable_total(&self, pool: &PoolId) -> Size {
        let Some(ready) = self.ready.get(pool) else {
            return Size::default();
        };
        let mut total = ready.total();
        for (workspace, size, request) in ready.open_requests() {
            let Some(limit) = self.limit(workspace) else {
                continue;
            };
            let part = limit.usable_part(self.workers.used_by(workspace), request);
            total = total.minus(size.minus(size.part(part)));
        }
        total
    }

    /// Logs which workspaces have begun to wait for their caps, and which wait no longer.
    pub(super) fn log_caps(&mut self, now: Time) {
        let capped = self
            .ready
            .values()
            .flat_map(|ready| ready.parked_workspaces());
        let mut capped: BTreeMap<WorkspaceId, bool> = capped.map(|it| (it, true)).collect();
        for name in self.caps.logged.keys() {
            capped.entry(name.clone()).or_insert(false);
        }
        for (name, waits) in capped {
            let logged = self.caps.logged.get(&name).copied();
            let (waited, since) = logged.unwrap_or_default();
            let recent = logged.is_some() && now.saturating_sub(since) < LOG_INTERVAL;
            if recent {
                continue;
            }
            if waits == waited {
                if !waits {
                    self.caps.logged.remove(&name);
                }
                continue;
            }
            self.caps.logged.insert(name.clone(), (waits, now));
            let used = self.workers.used_by(&name);
            self.log(match waits {
                true => format!("caps: workspace {name} is at its cap and uses {used}"),
                false => format!("caps: workspace {name} is below its cap and uses {used}"),
            });
        }
    }

    /// Returns use, limits and waiting tasks of the workspaces that have a cap, runs or ready tasks.
    pub fn workspace_use(&mut self) -> BTreeMap<WorkspaceId, WorkspaceUse> {
        self.workers.refresh();
        let mut uses: BTreeMap<WorkspaceId, WorkspaceUse> = BTreeMap::new();
        for (name, used) in self.workers.uses().iter() {
            uses.entry(name.clone()).or_default().used = *used;
        }
        for (name, size) in self.ready.values().flat_map(|ready| ready.parked_units()) {
            let entry = uses.entry(name).or_default();
            entry.unit = match entry.unit == Size::default() {
                true => size,
                false => entry.unit.min(size),
            };
        }
        for (name, waiting) in self.ready.values().flat_map(|ready| ready.waiting()) {
            let entry = uses.entry(name.clone()).or_default();
            entry.waiting += waiting.count;
            entry.capped += waiting.parked;
            entry.requested = entry.requested.plus(waiting.request);
        }
        let list = self.catalog.workspaces.iter().flat_map(|it| it.iter());
        for workspace in list.filter(|it| it.cap != Size::default()) {
            uses.entry(workspace.name.clone()).or_default();
        }
        for (name, entry) in &mut uses {
            if let Some(limit) = self.limit(name) {
                (entry.cap, entry.share) = (limit.cap, limit.share);
            }
        }
        uses
    }
}
