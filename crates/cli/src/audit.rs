//! Command `audit`.

use wigeonhinge_schema::audit::Kind;
use wigeonhinge_schema::audit::Log;
use wigeonhinge_schema::audit::Record;
use wigeonhinge_schema::fleet::EditRecord;
use wigeonhinged::platform::Error;
use wigeonhinged::platform::Platform;

use crate::apply::fail;
use crate::apply::with_platform;
use crate::exit::Exit;
use crate::options::AuditOptions;
use crate::submit;

/// Prefix of the documents of the audit trail.
const PREFIX: &str = "audit/";

/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60_000;

/// Shows the audit trail, oldest record first.
pub(crate) fn run(options: &AuditOptions) -> Exit {
    with_platform(&options.platform, async |platform| {
        let age = options
            .since
            .map(|minutes| minutes.saturating_mul(MINUTE_MS));
        let start = age.map_or(0, |age| submit::now_ms().saturating_sub(age));
        match trail(&platform).await {
            Ok(records) => {
                let recent = records.iter().filter(|record| record.at_ms >= start);
                recent.for_each(|record| print(record, options.json));
                Exit::Done
            }
            Err(error) => fail(&error),
        }
    })
}

/// Reads every record: those of the trail, and accepted edits from the
/// configuration itself, so that an edit cannot lack its record.
async fn trail<P: Platform>(platform: &P) -> Result<Vec<Record>, Error> {
    let (config, _) = submit::current(platform).await?;
    let mut records: Vec<Record> = config.edits.iter().map(edit).collect();
    for item in platform.list(PREFIX).await? {
        if let Some(document) = platform.get::<Log>(&item.key).await? {
            records.extend(document.value.records);
        }
    }
    records.sort_by(|a, b| (a.at_ms, &a.id).cmp(&(b.at_ms, &b.id)));
    records.dedup_by(|a, b| a.id == b.id);
    Ok(records)
}

fn edit(edit: &EditRecord) -> Record {
    Record {
        id: edit.id.clone(),
        at_ms: edit.accepted_ms,
        who: edit.author.clone(),
        kind: Kind::Edit.into(),
        subject: "configuration".to_owned(),
        old_revision: edit.revision.saturating_sub(1),
        new_revision: edit.revision,
        reason: edit.reason.clone(),
    }
}

fn print(record: &Record, json: bool) {
    if json {
        println!("{}", serde_json::json!(record));
        return;
    }
    let kind = record.kind().as_str_name().to_lowercase();
    let Record {
        at_ms,
        who,
        subject,
        old_revision,
        new_revision,
        reason,
        ..
    } = record;
    println!(
        "{at_ms} {kind} {subject} by {who}, revision {old_revision} to {new_revision}: {reason}"
    );
}
