//! Configurations: read from the store, offered, kept, and what they call for.

use std::collections::BTreeSet;

use std::sync::Arc;

use serde_json::Value;
use slog::info;
use slog::warn;
use wigeonhinge::config;
use wigeonhinge::config::Offer;
use wigeonhinge_schema::fleet::Config;
use wigeonhinge_schema::peer;
use wigeonhinge_schema::peer::envelope::Body;

use crate::peer::encode;
use crate::plane::Input;
use crate::plane::Message;
use crate::plane::core::Core;
use crate::platform::Document;
use crate::platform::Version;
use crate::session::RoleName;

impl Core {
    /// Reads a configuration from the store.
    ///
    /// One that cannot be read is not asked for again until its version changes.
    pub(super) fn read(&mut self, document: Document<Value>) {
        match serde_json::from_value::<Config>(document.value) {
            Ok(value) => self.offer(Document {
                key: document.key,
                version: document.version,
                value,
            }),
            Err(error) => {
                self.counters.faults += 1;
                self.watch.seen(document.version);
                warn!(self.log, "watch: unreadable configuration";
                    "version" => document.version, "error" => %error);
            }
        }
    }

    /// Offers a configuration for adoption, from the store or from a peer.
    pub(super) fn offer(&mut self, document: Document<Config>) {
        let Document { version, value, .. } = document;
        self.watch.seen(version);
        match self.adopter.offer(value) {
            Offer::Adopted(config) => {
                self.counters.adopted += 1;
                info!(self.log, "watch: configuration adopted"; "revision" => config.revision);
                self.document = None;
                self.control.set_wanted(roles(&config));
                self.outlet.send(Message::Adopt(Arc::clone(&config)));
                self.keep(version, &config);
                self.send_beat();
                for role in self.duties.roles() {
                    self.drive(&role, Input::Adopted(Arc::clone(&config)));
                }
            }
            Offer::Fault { ours, theirs } => {
                self.counters.faults += 1;
                warn!(self.log, "watch: two edits made one revision";
                    "ours" => %ours, "theirs" => %theirs);
            }
            Offer::Current | Offer::Older => {}
        }
    }

    /// Keeps the message that peers get when they pull.
    pub(super) fn keep(&mut self, version: Version, config: &Config) {
        if let Ok(value) = serde_json::to_vec(config) {
            let push = peer::Push {
                key: config::KEY.to_owned(),
                version,
                value,
            };
            let own = &self.control.own().entry;
            self.document = Some((version, encode(own, Body::Push(push))));
        }
    }
}

/// Returns the roles that a configuration calls for.
pub(super) fn roles(config: &Config) -> BTreeSet<RoleName> {
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
