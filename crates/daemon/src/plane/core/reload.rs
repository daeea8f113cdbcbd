//! Reload of the settings file while the entry runs.

use std::path::PathBuf;

use eyre::Result;
use eyre::WrapErr;
use slog::info;
use slog::warn;
use wigeonhinge_schema::settings::Settings;

use crate::plane::core::Core;

impl Core {
    /// Reads the settings file and applies what may change without a restart: the identity, the
    /// trusted fingerprints and the peers.
    pub(super) fn reload(&mut self) {
        let Some(file) = &self.file else {
            return;
        };
        match read_settings(file) {
            Ok(changed) if changed != self.settings => {
                let rekeyed = changed.identity != self.settings.identity;
                match self.peers.reload(&changed, rekeyed) {
                    Ok(()) => {
                        info!(self.log, "peer: settings reloaded"; "rekeyed" => rekeyed);
                        self.gossip.set_configured(&changed.peers);
                        self.settings = changed;
                    }
                    Err(error) => {
                        warn!(self.log, "peer: cannot apply the changed settings; the previous ones stay";
                            "error" => format!("{error:#}"));
                    }
                }
            }
            Ok(_) => {}
            Err(error) => {
                warn!(self.log, "peer: cannot read the settings file; the previous settings stay";
                    "error" => format!("{error:#}"));
            }
        }
    }
}

fn read_settings(file: &PathBuf) -> Result<Settings> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
    let options = jsonc_parser::ParseOptions::default();
    jsonc_parser::parse_to_serde_value(&text, &options).wrap_err("settings")
}
