//! Reading of settings files, which are JSON with comments.

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

/// Line and column, both from 1.
type Position = (usize, usize);

/// JSON type of a setting.
enum Kind {
    String,
    Integer,
    Strings,
    Object(&'static [Field]),
    Objects(&'static [Field]),
}

type Field = (&'static str, Kind);

const SETTINGS: &[Field] = &[
    ("entry", Kind::String),
    ("zone", Kind::String),
    ("listen", Kind::String),
    ("admin", Kind::String),
    ("peer", Kind::String),
    ("platform", Kind::String),
    ("threads", Kind::Integer),
    ("drain_secs", Kind::Integer),
    ("limits", Kind::Object(LIMITS)),
    ("peers", Kind::Objects(PEER)),
    ("identity", Kind::Object(IDENTITY)),
    ("trusted", Kind::Strings),
    ("log", Kind::String),
    ("metrics", Kind::String),
];

const LIMITS: &[Field] = &[
    ("header_bytes", Kind::Integer),
    ("body_bytes", Kind::Integer),
    ("answer_bytes", Kind::Integer),
    ("receive_ms", Kind::Integer),
    ("caller_connections", Kind::Integer),
    ("connections", Kind::Integer),
];

const PEER: &[Field] = &[
    ("entry", Kind::String),
    ("zone", Kind::String),
    ("address", Kind::String),
];

const IDENTITY: &[Field] = &[("key", Kind::String), ("certificate", Kind::String)];

/// Settings as written, with the position of each value by its path.
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
    let mut validator = Validator {
        text,
        positions: BTreeMap::new(),
        problems: Vec::new(),
    };
    match &parsed.value {
        Some(value) => validator.object("", value, SETTINGS),
        None => validator
            .problems
            .push(Problem::new("", "nothing", "an object")),
    }
    if !validator.problems.is_empty() {
        return Err(validator.problems);
    }
    let raw = jsonc_parser::parse_to_serde_value(text, &Default::default());
    let raw = raw.map_err(|error| vec![Problem::new("", &error.to_string(), "settings")])?;
    let positions = validator.positions;
    Ok(File { raw, positions })
}

struct Validator<'a> {
    text: &'a str,
    positions: BTreeMap<CompactString, Position>,
    problems: Vec<Problem>,
}

impl Validator<'_> {
    fn value(&mut self, path: &str, value: &Value<'_>, kind: &Kind) {
        let position = position(self.text, value.start());
        self.positions.insert(path.into(), position);
        match kind {
            Kind::String if value.as_string_lit().is_none() => {
                self.problem(path, value, "a string")
            }
            Kind::Integer if !is_u32(value) => {
                self.problem(path, value, "an integer from 0 to 4294967295");
            }
            Kind::String | Kind::Integer => {}
            Kind::Object(fields) => self.object(path, value, fields),
            Kind::Strings => self.list(path, value, &Kind::String),
            Kind::Objects(fields) => self.list(path, value, &Kind::Object(fields)),
        }
    }

    fn object(&mut self, path: &str, value: &Value<'_>, fields: &'static [Field]) {
        let Some(object) = value.as_object() else {
            return self.problem(path, value, "an object");
        };
        let mut seen = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let inner_path = join(path, name);
            let field = fields.iter().find(|(known, _)| *known == name);
            match field {
                _ if seen.contains(&name) => {
                    self.name_problem(path, property, "each name at most once");
                }
                Some((_, kind)) => self.value(&inner_path, &property.value, kind),
                None => {
                    let names: Vec<&str> = fields.iter().map(|(known, _)| *known).collect();
                    let expected = format_compact!("one of {}", names.join(", "));
                    self.name_problem(path, property, &expected);
                }
            }
            seen.push(name);
        }
    }

    fn list(&mut self, path: &str, value: &Value<'_>, kind: &Kind) {
        let Some(array) = value.as_array() else {
            return self.problem(path, value, "an array");
        };
        for (index, element) in array.elements.iter().enumerate() {
            let inner_path = format_compact!("{path}[{index}]");
            self.value(&inner_path, element, kind);
        }
    }

    fn problem(&mut self, path: &str, value: &Value<'_>, expected: &str) {
        let mut problem = Problem::new(path, value.text(self.text), expected);
        problem.position = Some(position(self.text, value.start()));
        self.problems.push(problem);
    }

    fn name_problem(&mut self, path: &str, property: &ObjectProp<'_>, expected: &str) {
        let name = format_compact!("{:?}", property.name.as_str());
        let mut problem = Problem::new(path, &name, expected);
        problem.position = Some(position(self.text, property.start()));
        self.problems.push(problem);
    }
}

fn is_u32(value: &Value<'_>) -> bool {
    let number = value.as_number_lit();
    number.is_some_and(|number| number.value.parse::<u32>().is_ok())
}

fn join(path: &str, name: &str) -> CompactString {
    match path {
        "" => name.into(),
        path => format_compact!("{path}.{name}"),
    }
}

/// Returns the line and column of the byte at an offset.
fn position(text: &str, offset: usize) -> Position {
    let before = &text[..offset];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    (line, column)
}
