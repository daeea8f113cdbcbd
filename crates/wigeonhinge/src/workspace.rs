//! Workspaces: who a call is for, and what the jobs of each may use.
//!
//! The configuration lists the workspaces, each with the keys that name it in calls. A key is valid as
//! long as the configuration in force holds it. An entry that has lost contact to the store may have
//! an outdated configuration, so [`identify`] also takes the time since it was known to be current.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;

use crate::batch::Queue;
use crate::batch::Size;
use crate::id::WorkspaceId;

/// Key that names a workspace in a call.
pub type ApiKey = CompactString;

/// Time without a current configuration after which an unknown key may be one of a newer version. It
/// is the shortest time of all sites within which a change must be in force.
pub const MAX_CONFIG_AGE: Duration = Duration::from_secs(2);

/// Workspace of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspace {
    /// Unique name.
    pub name: WorkspaceId,
    /// Keys that name it.
    pub keys: Vec<ApiKey>,
    /// Jobs a second that it is entitled to, and its share of the capacity when that is short.
    pub weight: f64,
    /// Most resources that its runs may request together; a resource of 0 has no limit.
    pub cap: Size,
}

/// Workspaces of one configuration version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspaces {
    by_name: BTreeMap<WorkspaceId, Workspace>,
    by_key: BTreeMap<ApiKey, WorkspaceId>,
}

impl Workspaces {
    /// Creates the list; of several workspaces with one name or key, the last is kept.
    pub fn new(workspaces: impl IntoIterator<Item = Workspace>) -> Self {
        let mut list = Self::default();
        for workspace in workspaces {
            for key in &workspace.keys {
                list.by_key.insert(key.clone(), workspace.name.clone());
            }
            list.by_name.insert(workspace.name.clone(), workspace);
        }
        list
    }

    /// Returns a workspace by its name.
    pub fn get(&self, name: &str) -> Option<&Workspace> {
        self.by_name.get(name)
    }

    /// Returns the workspace that a key names.
    pub fn by_key(&self, key: &str) -> Option<&Workspace> {
        self.by_name.get(self.by_key.get(key)?)
    }

    /// Returns the workspaces in the order of their names.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Workspace> {
        self.by_name.values()
    }

    /// Returns the equal part of each cap for one of so many partitions, rounded down.
    pub fn cap_parts(&self, partitions: u32) -> BTreeMap<WorkspaceId, Size> {
        let count = u64::from(partitions.max(1));
        let part = |cap: Size| Size {
            millicores: cap.millicores / count,
            memory_mb: cap.memory_mb / count,
            accelerators: cap.accelerators / count,
        };
        self.iter()
            .map(|it| (it.name.clone(), part(it.cap)))
            .collect()
    }

    /// Returns the jobs a second that all workspaces together are entitled to.
    pub fn total_weight(&self) -> f64 {
        self.iter().map(|it| it.weight).sum()
    }
}

/// How fresh an entry's configuration is, and how fresh it has to be.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// Time since the configuration was known to be current.
    pub age: Duration,
    /// Age from which known keys are refused too, as they may be revoked; `None` if they stay valid
    /// while the store cannot be reached.
    pub max_age: Option<Duration>,
}

/// Whose call it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Access<'a> {
    /// The queue needs no key, or the configuration has no workspaces.
    Anonymous,
    /// A call of a workspace.
    Workspace(&'a Workspace),
    /// No configuration up to the one in force has this key, or the call has none.
    Denied,
    /// The configuration may be too old to tell.
    Unconfirmed,
}

/// Decides whose a call to a queue is. `workspaces` is `None` if the configuration has no list of
/// them; calls then need no keys.
///
/// ```
/// use wigeonhinge::batch::Queue;
/// use wigeonhinge::workspace::Access;
/// use wigeonhinge::workspace::Freshness;
/// use wigeonhinge::workspace::Workspace;
/// use wigeonhinge::workspace::Workspaces;
/// use wigeonhinge::workspace::identify;
///
/// let crews = Workspace { name: "crews".into(), keys: vec!["k1".into()], ..Workspace::default() };
/// let workspaces = Workspaces::new([crews.clone()]);
/// let queue = Queue::default();
/// let fresh = Freshness::default();
/// let access = |key| identify(Some(&workspaces), &queue, key, fresh);
/// assert_eq!(access(Some("k1")), Access::Workspace(&crews));
/// assert_eq!(access(Some("k2")), Access::Denied);
/// ```
pub fn identify<'a>(
    workspaces: Option<&'a Workspaces>,
    queue: &Queue,
    key: Option<&str>,
    freshness: Freshness,
) -> Access<'a> {
    let Some(workspaces) = workspaces.filter(|_| !queue.anonymous) else {
        return Access::Anonymous;
    };
    let Some(key) = key else {
        return Access::Denied;
    };
    let Freshness { age, max_age } = freshness;
    match workspaces.by_key(key) {
        Some(_) if max_age.is_some_and(|limit| age > limit) => Access::Unconfirmed,
        Some(workspace) => Access::Workspace(workspace),
        None if age > MAX_CONFIG_AGE => Access::Unconfirmed,
        None => Access::Denied,
    }
}
