//! Command `wave`.

use std::time::Duration;

use compact_str::CompactString;
use wigeonhinge::ledger::Change;
use wigeonhinge::ledger::Ledger;
use wigeonhinge::ledger::WaveChange;
use wigeonhinge_schema::ledger;
use wigeonhinge_schema::ledger::Phase;
use wigeonhinged::platform::Effect;
use wigeonhinged::platform::HttpPlatform;
use wigeonhinged::platform::Platform;
use wigeonhinged::platform::Swap;

use crate::apply::fail;
use crate::apply::random_id;
use crate::apply::with_platform;
use crate::exit::Exit;
use crate::options::WaveAction;
use crate::options::WaveOptions;
use crate::submit::now_ms;

/// Tries of a change that other writers overtake.
const TRIES: usize = 20;

/// Reason in the audit trail for a change by this command.
const REASON: &str = "asked for by an operator";

/// Shows or changes the wave of a region.
pub(crate) fn run(options: &WaveOptions) -> Exit {
    with_platform(&options.platform, async |platform| match options.action {
        WaveAction::Show => show(&platform, options).await,
        _ => change(&platform, options).await,
    })
}

async fn show(platform: &HttpPlatform, options: &WaveOptions) -> Exit {
    let ledger = match read(platform, &options.region).await {
        Ok(Some((ledger, _))) => ledger,
        Ok(None) => return fail(&format!("region {:?} has no ledger yet", options.region)),
        Err(error) => return fail(&error),
    };
    if options.json {
        println!(
            "{}",
            serde_json::json!({ "wave": ledger.wave(), "vms": ledger.vms() })
        );
        return Exit::Done;
    }
    match ledger.wave() {
        Some(wave) => {
            let state = wave.state().as_str_name().to_lowercase();
            println!("wave {} is {state}; {} broken VMs", wave.id, wave.broken);
            if !wave.reason.is_empty() {
                println!("reason: {}", wave.reason);
            }
        }
        None => println!("region {:?} has no wave", options.region),
    }
    for vm in ledger.vms().iter().filter(|vm| vm.phase() != Phase::Active) {
        println!(
            "{} in pool {} is {}",
            vm.name,
            vm.pool,
            vm.phase().as_str_name().to_lowercase()
        );
    }
    Exit::Done
}

async fn change(platform: &HttpPlatform, options: &WaveOptions) -> Exit {
    let Some(wave) = wanted(options.action) else {
        return Exit::BadInput;
    };
    for _ in 0..TRIES {
        let (ledger, version) = match read(platform, &options.region).await {
            Ok(Some(found)) => found,
            Ok(None) => return fail(&format!("region {:?} has no ledger yet", options.region)),
            Err(error) => return fail(&error),
        };
        let change = Change::Wave(wave.clone());
        let now = Duration::from_millis(now_ms());
        let next = match ledger.apply(&change, ledger.document().fence, now) {
            Ok(next) => next,
            Err(refusal) => return fail(&refusal),
        };
        let key = format!("ledger/{}", options.region);
        match platform.put(&key, next.document(), version, None).await {
            Ok(Swap::Done(_)) => {
                println!(
                    "wave of region {:?}: {:?} is recorded",
                    options.region, options.action
                );
                return Exit::Done;
            }
            Ok(Swap::Conflict(_)) => {}
            Err(error) if error.effect() == Effect::Unknown => {
                eprintln!("wigeonhinge: {error}; look with: wave show");
                return Exit::Unknown;
            }
            Err(error) => return fail(&error),
        }
    }
    fail(&"the ledger changes too often; try again")
}

fn wanted(action: WaveAction) -> Option<WaveChange> {
    let reason = REASON.to_owned();
    match action {
        WaveAction::Start => Some(WaveChange::Start {
            id: random_id().to_string(),
            author: author().to_string(),
            before: Duration::from_millis(now_ms()),
        }),
        WaveAction::Pause => Some(WaveChange::Pause { reason }),
        WaveAction::Resume => Some(WaveChange::Resume),
        WaveAction::Abort => Some(WaveChange::Abort { reason }),
        WaveAction::Show => None,
    }
}

async fn read(
    platform: &HttpPlatform,
    region: &str,
) -> Result<Option<(Ledger, u64)>, wigeonhinged::platform::Error> {
    let found = platform
        .get::<ledger::Ledger>(&format!("ledger/{region}"))
        .await?;
    Ok(found.map(|document| (Ledger::from_document(document.value), document.version)))
}

fn author() -> CompactString {
    CompactString::from(std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned()))
}
