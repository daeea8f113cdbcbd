//! Status of the entry for operators.

use crate::plane::core::Core;
use crate::plane::status;
use crate::plane::status::Counters;
use crate::plane::status::Member;
use crate::plane::status::Status;

impl Core {
    /// Returns the status as of now.
    pub(super) fn status(&self) -> Status {
        let now = self.now();
        let own = self.control.own();
        let config = self.adopter.current();
        let reason = match config {
            None => "no configuration from the store or a peer",
            Some(_) if self.draining => "stopping",
            Some(_) => "",
        };
        let held = self.control.held().iter();
        let roles = held
            .filter(|(role, _)| self.control.role_lease(role, now).is_some())
            .map(|(role, fence)| (role.to_string(), *fence))
            .collect();
        let holders = self.control.holders();
        Status {
            entry: own.entry.to_string(),
            zone: own.zone.to_string(),
            peer: own.address.to_string(),
            incarnation: self.incarnation,
            ready: reason.is_empty(),
            reason: reason.to_owned(),
            usable: self.members.may_use_share(now),
            revision: self.adopter.revision(),
            edit: config
                .map(|config| config.edit_id.clone())
                .unwrap_or_default(),
            store_age_ms: self.watch.store_age(now).map(|age| age.as_millis() as u64),
            roles,
            holders: holders
                .map(|(role, entry, _)| (role.to_string(), entry.to_string()))
                .collect(),
            members: self.member_status(),
            leaving: self
                .dispatched
                .leaving
                .iter()
                .map(ToString::to_string)
                .collect(),
            counters: self.counters(),
        }
    }

    fn member_status(&self) -> std::collections::BTreeMap<String, Member> {
        let known = self.gossip.known_entries();
        known
            .iter()
            .filter_map(|entry| {
                let health = self.members.health(entry)?;
                let peer = self.gossip.peer(entry);
                let member = Member {
                    zone: peer.map(|peer| peer.zone().to_string()).unwrap_or_default(),
                    health: format!("{health:?}").to_lowercase(),
                    revision: peer.map_or(0, |peer| peer.revision),
                };
                Some((entry.to_string(), member))
            })
            .collect()
    }

    fn counters(&self) -> Counters {
        let traffic = self.peers.traffic();
        let volume = self.client.platform.traffic();
        Counters {
            uptime_ms: self.now().as_millis() as u64,
            cpu_us: status::thread_cpu_us(),
            peer_sent: traffic.sent,
            peer_received: traffic.received,
            platform_sent: volume.sent,
            platform_received: volume.received,
            ..self.counters.clone()
        }
    }
}
