//! Command `explain`: the story of one job from the entries' log lines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::io;
use std::io::Read;

use serde_json::Map;
use serde_json::Value;

use crate::exit::Exit;
use crate::options::ExplainOptions;

/// Fields that every line has and that the story shows in its own columns.
const COMMON: [&str; 5] = ["msg", "level", "ts", "zone", "entry"];

/// Beginnings of lines that concern every job of their time.
const GENERAL: [&str; 4] = [
    "role:",
    "watch: the store",
    "watch: configuration",
    "site: told",
];

/// Beginning of the lines that a holder writes once a second.
const PERIODIC: &str = "role: standing";

/// A log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Time as written, in RFC 3339.
    pub time: String,
    /// Entry that wrote it.
    pub entry: String,
    /// Message.
    pub message: String,
    /// Fields beside those of every line, as `name=value`.
    pub fields: Vec<String>,
}

/// Prints the lines that concern a job, in order of time.
pub(crate) fn run(options: &ExplainOptions) -> Exit {
    let Some((id, files)) = options.words.split_first() else {
        eprintln!("wigeonhinge: explain needs the id of a job; try --help");
        return Exit::BadInput;
    };
    let mut text = String::new();
    for file in files {
        match fs::read_to_string(file) {
            Ok(content) => text.push_str(&content),
            Err(error) => {
                eprintln!("wigeonhinge: cannot read {file}: {error}");
                return Exit::BadInput;
            }
        }
    }
    if files.is_empty()
        && let Err(error) = io::stdin().read_to_string(&mut text)
    {
        eprintln!("wigeonhinge: cannot read standard input: {error}");
        return Exit::BadInput;
    }
    let story = story(id, &text);
    if story.is_empty() {
        eprintln!("wigeonhinge: no line names {id}");
        return Exit::Refused;
    }
    for line in story {
        let Line {
            time,
            entry,
            message,
            fields,
        } = line;
        println!("{time}  {entry:<20}  {message}  {}", fields.join(" "));
    }
    Exit::Done
}

/// Returns the lines that name an id, and those between the first and the last
/// of them that concern the role, the store, the configuration or a worker
/// that ran one of the job's tasks.
///
/// Of the lines that holders write each second, only the last one before and the first one after
/// each line of the job is kept, by entry.
pub fn story(id: &str, text: &str) -> Vec<Line> {
    let mut lines: Vec<(Line, bool)> = Vec::new();
    let mut workers = BTreeSet::new();
    for object in text.lines().filter_map(parse) {
        let own = object.values().any(|value| names(value, id));
        if own && let Some(worker) = object.get("worker").and_then(Value::as_str) {
            workers.insert(worker.to_owned());
        }
        if let Some(line) = line(&object) {
            lines.push((line, own));
        }
    }
    lines.sort_by(|a, b| a.0.time.cmp(&b.0.time));
    let Some(first) = lines.iter().position(|(_, own)| *own) else {
        return Vec::new();
    };
    let last = lines.iter().rposition(|(_, own)| *own).unwrap_or(first);
    let concerns = |line: &Line| {
        let general = GENERAL.iter().any(|start| line.message.starts_with(start));
        let worker = line.message.starts_with("worker:")
            && workers
                .iter()
                .any(|worker| line.fields.iter().any(|it| it.ends_with(worker.as_str())));
        general || worker
    };
    let mut story = Vec::new();
    // The last periodic line of each entry since the job's last line.
    let mut pending: BTreeMap<String, Line> = BTreeMap::new();
    let mut shown = BTreeSet::new();
    for (line, own) in &lines[first..=last] {
        if line.message.starts_with(PERIODIC) {
            match shown.insert(line.entry.clone()) {
                true => story.push(line.clone()),
                false => {
                    pending.insert(line.entry.clone(), line.clone());
                }
            }
        } else if *own {
            let mut before: Vec<Line> = std::mem::take(&mut pending).into_values().collect();
            before.sort_by(|a, b| a.time.cmp(&b.time));
            story.extend(before);
            story.push(line.clone());
            shown.clear();
        } else if concerns(line) {
            story.push(line.clone());
        }
    }
    story.sort_by(|a, b| a.time.cmp(&b.time));
    story
}

/// Reads the JSON object of a line; other text may stand before it.
fn parse(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

fn names(value: &Value, id: &str) -> bool {
    value.as_str().is_some_and(|text| text.contains(id))
}

fn line(object: &Map<String, Value>) -> Option<Line> {
    let text = |name: &str| object.get(name).and_then(Value::as_str).map(str::to_owned);
    let fields = object
        .iter()
        .filter(|(name, _)| !COMMON.contains(&name.as_str()));
    let fields = fields.map(|(name, value)| match value.as_str() {
        Some(text) => format!("{name}={text}"),
        None => format!("{name}={value}"),
    });
    Some(Line {
        time: text("ts")?,
        entry: text("entry").unwrap_or_default(),
        message: text("msg")?,
        fields: fields.collect(),
    })
}
