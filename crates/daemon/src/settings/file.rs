//! Settings files: JSON with comments.

use std::collections::BTreeMap;
use std::path::Path;

use compact_str::CompactString;
use compact_str::format_compact;
use jsonc_parser::ast::ObjectProp;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use wigeonhinge_schema::settings;

use crate::settings::Error;
use crate::settings::Problem;

type Position = (usize, usize);

/// Form of a setting.
enum Shape {
    Text,
    Number,
    Texts,
    Object(&'static [Field]),
    Objects(&'static [Field]),
}

type Field = (&'static str, Shape);

const SETTINGS: &[Field] = &[
    ("entry", Shape::Text),
    ("zone", Shape::Text),
    ("listen", Shape::Text),
    ("admin", Shape::Text),
    ("peer", Shape::Text),
    ("platform", Shape::Text),
    ("threads", Shape::Number),
    ("drain_secs", Shape::Number),
    ("limits", Shape::Object(LIMITS)),
    ("peers", Shape::Objects(PEER)),
    ("identity", Shape::Object(IDENTITY)),
    ("trusted", Shape::Texts),
    ("log", Shape::Text),
    ("metrics", Shape::Text),
];

const LIMITS: &[Field] = &[
    ("header_bytes", Shape::Number),
    ("body_bytes", Shape::Number),
    ("answer_bytes", Shape::Number),
    ("receive_ms", Shape::Number),
    ("caller_connections", Shape::Number),
    ("connections", Shape::Number),
];

const PEER: &[Field] = &[
    ("entry", Shape::Text),
    ("zone", Shape::Text),
    ("address", Shape::Text),
];

const IDENTITY: &[Field] = &[("key", Shape::Text), ("certificate", Shape::Text)];

/// Settings as written, with the position of each value.
pub(super) struct File {
    pub(super) raw: settings::Settings,
    pub(super) positions: BTreeMap<CompactString, Position>,
}

/// Reads a settings file.
pub(super) fn read(path: &Path) -> Result<File, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        let value = format_compact!("{error}");
        Error {
            file: Some(path.into()),
            problems: vec![Problem::new("", &value, "a readable settings file")],
        }
    })?;
    parse(&text).map_err(|problems| Error {
        file: Some(path.into()),
        problems,
    })
}

fn parse(text: &str) -> Result<File, Vec<Problem>> {
    let parsed = jsonc_parser::parse_to_ast(text, &Default::default(), &Default::default());
    let parsed = parsed.map_err(|error| {
        let position = (error.line_display(), error.column_display());
        let value = format_compact!("{}", error.kind());
        let mut problem = Problem::new("", &value, "JSON with comments");
        problem.position = Some(position);
        vec![problem]
    })?;
    let mut walk = Walk {
        text,
        positions: BTreeMap::new(),
        problems: Vec::new(),
    };
    match &parsed.value {
        Some(value) => walk.object("", value, SETTINGS),
        None => walk.problems.push(Problem::new("", "nothing", "an object")),
    }
    if !walk.problems.is_empty() {
        return Err(walk.problems);
    }
    let raw = jsonc_parser::parse_to_serde_value(text, &Default::default());
    let raw = raw.map_err(|error| vec![Problem::new("", &error.to_string(), "settings")])?;
    let positions = walk.positions;
    Ok(File { raw, positions })
}

struct Walk<'a> {
    text: &'a str,
    positions: BTreeMap<CompactString, Position>,
    problems: Vec<Problem>,
}

impl Walk<'_> {
    fn value(&mut self, path: &str, value: &Value<'_>, shape: &Shape) {
        let position = position(self.text, value.start());
        self.positions.insert(path.into(), position);
        match shape {
            Shape::Text if value.as_string_lit().is_none() => self.problem(path, value, "a text"),
            Shape::Number if !whole(value) => {
                self.problem(path, value, "a whole number from 0 to 4294967295");
            }
            Shape::Text | Shape::Number => {}
            Shape::Object(fields) => self.object(path, value, fields),
            Shape::Texts => self.list(path, value, &Shape::Text),
            Shape::Objects(fields) => self.list(path, value, &Shape::Object(fields)),
        }
    }

    fn object(&mut self, path: &str, value: &Value<'_>, fields: &'static [Field]) {
        let Some(object) = value.as_object() else {
            return self.problem(path, value, "an object");
        };
        let mut seen = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let inner = join(path, name);
            let field = fields.iter().find(|(own, _)| *own == name);
            match field {
                _ if seen.contains(&name) => {
                    self.misnamed(path, property, "each name once");
                }
                Some((_, shape)) => self.value(&inner, &property.value, shape),
                None => {
                    let names: Vec<&str> = fields.iter().map(|(own, _)| *own).collect();
                    let expected = format_compact!("one of {}", names.join(", "));
                    self.misnamed(path, property, &expected);
                }
            }
            seen.push(name);
        }
    }

    fn list(&mut self, path: &str, value: &Value<'_>, shape: &Shape) {
        let Some(array) = value.as_array() else {
            return self.problem(path, value, "a list");
        };
        for (index, element) in array.elements.iter().enumerate() {
            let inner = format_compact!("{path}[{index}]");
            self.value(&inner, element, shape);
        }
    }

    fn problem(&mut self, path: &str, value: &Value<'_>, expected: &str) {
        let mut problem = Problem::new(path, value.text(self.text), expected);
        problem.position = Some(position(self.text, value.start()));
        self.problems.push(problem);
    }

    fn misnamed(&mut self, path: &str, property: &ObjectProp<'_>, expected: &str) {
        let name = format_compact!("{:?}", property.name.as_str());
        let mut problem = Problem::new(path, &name, expected);
        problem.position = Some(position(self.text, property.start()));
        self.problems.push(problem);
    }
}

fn whole(value: &Value<'_>) -> bool {
    let number = value.as_number_lit();
    number.is_some_and(|number| number.value.parse::<u32>().is_ok())
}

fn join(path: &str, name: &str) -> CompactString {
    match path {
        "" => name.into(),
        path => format_compact!("{path}.{name}"),
    }
}

/// Returns the line and the column of a byte, both from 1.
fn position(text: &str, start: usize) -> Position {
    let before = &text[..start];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|it| *it != '\n').count() + 1;
    (line, column)
}
