//! Adoption of configurations from the store or a peer, and the roles that they define.

use std::collections::BTreeSet;

use std::sync::Arc;

use serde_json::Value;
use slog::info;
use slog::warn;
use wigeonhinge::config;
use wigeonhinge::config::Adoption;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_schema::peer;
use wigeonhinge_schema::peer::envelope::Body;

use crate::peer::encode;
use crate::plane::Input;
use crate::plane::ToDispatch;
use crate::plane::core::Core;
use crate::platform::Document;
use crate::platform::Version;
use crate::session::RoleName;

impl Core {
    /// Parses a configuration from the store and offers it for adoption.
    ///
    /// One that cannot be parsed is not fetched again until its version changes.
    pub(super) fn read_config(&mut self, document: Document<Value>) {
        match serde_json::from_value::<Config>(document.value) {
            Ok(value) => self.offer_config(Document {
                key: document.key,
                version: document.version,
                value,
            }),
            Err(error) => {
                self.counters.faults += 1;
                self.watch.seen(document.version);
                warn!(self.log, "watch: cannot parse the configuration in the store; the one in force stays";
                    "version" => document.version, "error" => %error);
            }
        }
    }

    /// Puts a configuration of the store or of a peer in force if it is newer.
    pub(super) fn offer_config(&mut self, document: Document<Config>) {
        let Document { version, value, .. } = document;
        self.watch.seen(version);
        match self.adopter.offer(value) {
            Adoption::Adopted(config) => {
                self.counters.adopted += 1;
                info!(self.log, "watch: configuration adopted"; "revision" => config.revision);
                self.config_push = None;
                self.control.set_wanted(needed_roles(&config));
                self.outbox.send(ToDispatch::Adopt(Arc::clone(&config)));
                self.cache_push(version, &config);
                self.send_heartbeat_now();
                for role in self.controllers.roles() {
                    self.feed_controller(&role, Input::Adopted(Arc::clone(&config)));
                }
            }
            Adoption::Conflict { ours, theirs } => {
                self.counters.faults += 1;
                warn!(self.log, "watch: two edits made one revision";
                    "ours" => %ours, "theirs" => %theirs);
            }
            Adoption::Current | Adoption::Older => {}
        }
    }

    /// Encodes the message that answers pulls of peers, once for each configuration.
    pub(super) fn cache_push(&mut self, version: Version, config: &Config) {
        if let Ok(value) = serde_json::to_vec(config) {
            let push = peer::Push {
                key: config::STORE_KEY.to_owned(),
                version,
                value,
            };
            let own = &self.control.own().entry;
            self.config_push = Some((version, encode(own, Body::Push(push))));
        }
    }
}

/// Returns the roles that a configuration requires: one for each region and one for each pool.
pub(super) fn needed_roles(config: &Config) -> BTreeSet<RoleName> {
    let rules = config.fleet.iter().filter_map(|fleet| fleet.rules.as_ref());
    let mut roles = BTreeSet::new();
    for rules in rules {
        roles.extend(
            rules
                .zones
                .iter()
                .map(|zone| format!("fleet/{}", zone.region).into()),
        );
        roles.extend(
            rules
                .pools
                .iter()
                .map(|pool| format!("jobs/{}", pool.name).into()),
        );
    }
    roles
}
