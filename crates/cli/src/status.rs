//! Commands `status` and `audit`.

use std::io::IsTerminal;
use std::time::Duration;
use std::time::Instant;

use compio::time::sleep;
use compio::time::timeout;
use serde::Deserialize;
use serde::Serialize;
use wigeonhinge::id::Revision;
use wigeonhinged::platform::Platform;

use crate::apply::fail;
use crate::apply::with_platform;
use crate::exit::Exit;
use crate::options::StatusOptions;

/// Time in which an accepted revision has to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);

/// Pause between two looks at the entries.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// Time in which an entry has to answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// Prefix of the entries' registrations in the store.
const REGISTRY: &str = "entry/";

/// An entry's registration, as far as the command uses it.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
struct Registration {
    entry: String,
    zone: String,
    admin: String,
}

/// What an entry says of itself.
#[derive(Clone, Debug, Serialize)]
struct Look {
    entry: String,
    zone: String,
    admin: String,
    /// Status document of the entry; `None` when it cannot be reached.
    status: Option<serde_json::Value>,
}

impl Look {
    fn revision(&self) -> Option<Revision> {
        self.status.as_ref()?.get("revision")?.as_u64()
    }
}

/// Shows every live entry.
pub(crate) fn run(options: &StatusOptions) -> Exit {
    with_platform(&options.platform, async |platform| {
        let looks = match look(&platform).await {
            Ok(looks) => looks,
            Err(error) => return fail(&error),
        };
        if options.json {
            println!("{}", serde_json::json!({ "entries": looks }));
        } else {
            looks.iter().for_each(print);
        }
        let reached = looks.iter().all(|look| look.status.is_some());
        if reached { Exit::Done } else { Exit::Refused }
    })
}

/// Waits until every live entry reports a revision, and names those that do not.
pub(crate) async fn wait<P: Platform>(platform: &P, revision: Revision, json: bool) -> Exit {
    let end = Instant::now() + IN_FORCE_LIMIT;
    let progress = !json && std::io::stderr().is_terminal();
    loop {
        let looks = match look(platform).await {
            Ok(looks) => looks,
            Err(error) if Instant::now() >= end => return fail(&error),
            Err(_) => Vec::new(),
        };
        let behind: Vec<&Look> = looks
            .iter()
            .filter(|look| look.revision().is_none_or(|known| known < revision))
            .collect();
        if progress {
            eprint!(
                "\rin force on {} of {} entries",
                looks.len() - behind.len(),
                looks.len()
            );
        }
        if behind.is_empty() && !looks.is_empty() {
            if progress {
                eprintln!();
            }
            println!("revision {revision} is in force on {} entries", looks.len());
            return Exit::Done;
        }
        if Instant::now() >= end {
            if progress {
                eprintln!();
            }
            for look in behind {
                let state = look.revision().map_or("not reached".to_owned(), |known| {
                    format!("at revision {known}")
                });
                eprintln!("entry {} in zone {} is {state}", look.entry, look.zone);
            }
            return Exit::Refused;
        }
        sleep(LOOK_PAUSE).await;
    }
}

/// Asks every registered entry for its status.
async fn look<P: Platform>(platform: &P) -> Result<Vec<Look>, wigeonhinged::platform::Error> {
    let mut looks = Vec::new();
    for item in platform.list(REGISTRY).await? {
        let found = platform.get::<Registration>(&item.key).await?;
        let Some(registration) = found.map(|document| document.value) else {
            continue;
        };
        let status = status(&registration.admin).await;
        let Registration { entry, zone, admin } = registration;
        looks.push(Look {
            entry,
            zone,
            admin,
            status,
        });
    }
    Ok(looks)
}

/// Reads the status document of an entry; `None` when it cannot be reached.
async fn status(admin: &str) -> Option<serde_json::Value> {
    let request = async {
        let client = cyper::Client::new().ok()?;
        let answer = client
            .get(format!("http://{admin}/status"))
            .ok()?
            .send()
            .await
            .ok()?;
        serde_json::from_str(&answer.text().await.ok()?).ok()
    };
    timeout(ANSWER_LIMIT, request).await.ok().flatten()
}

fn print(look: &Look) {
    let Look {
        entry,
        zone,
        admin,
        status,
    } = look;
    match status {
        Some(status) => {
            let revision = look.revision().unwrap_or(0);
            let ready = status
                .get("ready")
                .and_then(serde_json::Value::as_bool)
                .unwrap_or(false);
            let roles = status.get("roles").cloned().unwrap_or_default();
            let state = if ready { "ready" } else { "not ready" };
            println!("{entry} zone {zone} admin {admin} revision {revision} {state} roles {roles}");
        }
        None => println!("{entry} zone {zone} admin {admin} not reached"),
    }
}
