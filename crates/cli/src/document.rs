//! Fleet files: JSON with comments, with the position of each fault.

use std::fmt;
use std::fs;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast::Array;
use jsonc_parser::ast::Object;
use jsonc_parser::ast::ObjectProp;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;
use jsonc_parser::parse_to_serde_value;
use wigeonhinge::fleet;
use wigeonhinge::fleet::Location;
use wigeonhinge_schema::fleet::Fleet;

use crate::document::shape::Field;
use crate::document::shape::Shape;

mod shape;

/// Size of a fleet file in bytes that is still read; the store holds values up to 1 MB.
const FILE_BYTES: u64 = 1_000_000;

/// Nesting that is still read; a fleet file needs 6 levels.
const DEPTH: usize = 32;

/// A fleet file without faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    fleet: Fleet,
}

/// A fault in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
    pub column: usize,
    /// Place in the document, such as `inventory[3].pool`.
    pub place: String,
    /// Offending value, as it stands in the file.
    pub value: String,
    /// What was expected.
    pub expected: String,
}

impl Document {
    /// Reads and checks a fleet file.
    ///
    /// # Errors
    ///
    /// Returns every fault of the file, in the order of lines.
    pub fn open(path: &str) -> Result<Self, Vec<Problem>> {
        let text = read(path)?;
        Self::parse(&text)
    }

    /// Checks the text of a fleet file.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text, in the order of lines.
    ///
    /// ```
    /// use wigeonhinge_cli::document::Document;
    ///
    /// let problems = Document::parse("{ \"inventry\": [] }").unwrap_err();
    /// assert_eq!((problems[0].line, problems[0].column), (1, 3));
    /// ```
    pub fn parse(text: &str) -> Result<Self, Vec<Problem>> {
        shallow(text)?;
        let options = ParseOptions::default();
        let syntax = |error: &jsonc_parser::errors::ParseError| {
            let value = text
                .get(error.range().start..error.range().end)
                .unwrap_or_default();
            let expected = format!("JSON with comments: {}", error.kind());
            vec![problem(
                text,
                error.range().start,
                "document",
                value,
                &expected,
            )]
        };
        let tree = parse_to_ast(text, &CollectOptions::default(), &options)
            .map_err(|error| syntax(&error))?;
        let Some(root) = tree.value else {
            return Err(vec![problem(text, 0, "document", "", "an object")]);
        };
        let mut walk = Walk {
            text,
            problems: Vec::new(),
        };
        walk.value(&root, "", &Shape::Object(shape::FLEET));
        if !walk.problems.is_empty() {
            return Err(walk.problems);
        }
        let parsed: Fleet = parse_to_serde_value(text, &options).map_err(|error| syntax(&error))?;
        let mut problems: Vec<Problem> = fleet::validate(&parsed)
            .iter()
            .map(|fault| locate(text, &root, fault))
            .collect();
        if problems.is_empty() {
            return Ok(Self { fleet: parsed });
        }
        problems.sort_by_key(|problem| (problem.line, problem.column));
        Err(problems)
    }

    /// Returns the fleet.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the fleet by value.
    pub fn into_fleet(self) -> Fleet {
        self.fleet
    }
}

impl Problem {
    /// Returns the fault as JSON.
    pub fn to_json(&self, file: &str) -> serde_json::Value {
        serde_json::json!({
            "file": file,
            "line": self.line,
            "column": self.column,
            "place": self.place,
            "value": self.value,
            "expected": self.expected,
        })
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            line,
            column,
            place,
            value,
            expected,
        } = self;
        write!(
            f,
            "{line}:{column}: {place} is {value:?}; expected {expected}"
        )
    }
}

/// Reads a text file of a bounded size.
///
/// # Errors
///
/// Returns one problem that names the reason.
pub fn read(path: &str) -> Result<String, Vec<Problem>> {
    let size = fs::metadata(path).map(|data| data.len());
    if let Ok(size) = size
        && size > FILE_BYTES
    {
        let expected = format!("at most {FILE_BYTES} bytes");
        return Err(vec![problem(
            "",
            0,
            "size of the file",
            &size.to_string(),
            &expected,
        )]);
    }
    fs::read_to_string(path).map_err(|error| {
        let expected = format!("a readable text file: {error}");
        vec![problem("", 0, "file", path, &expected)]
    })
}

/// Refuses nesting that would exhaust the stack of the recursive parser.
fn shallow(text: &str) -> Result<(), Vec<Problem>> {
    let mut depth = 0_usize;
    for (offset, byte) in text.bytes().enumerate() {
        match byte {
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > DEPTH {
            let expected = format!("at most {DEPTH} levels of nesting");
            return Err(vec![problem(
                text,
                offset,
                "document",
                &text[offset..=offset],
                &expected,
            )]);
        }
    }
    Ok(())
}

struct Walk<'a> {
    text: &'a str,
    problems: Vec<Problem>,
}

impl Walk<'_> {
    fn value(&mut self, value: &Value<'_>, place: &str, shape: &Shape) {
        match (shape, value) {
            (Shape::Object(fields), Value::Object(object)) => self.object(object, place, fields),
            (Shape::List(fields), Value::Array(array)) => self.list(array, place, fields),
            (Shape::Text, Value::StringLit(_)) | (Shape::Flag, Value::BooleanLit(_)) => {}
            (Shape::Count(most), Value::NumberLit(number)) => {
                if !number
                    .value
                    .parse::<u64>()
                    .is_ok_and(|count| count <= *most)
                {
                    self.push(value, place, &shape.expected());
                }
            }
            _ => self.push(value, place, &shape.expected()),
        }
    }

    fn object(&mut self, object: &Object<'_>, place: &str, fields: &[Field]) {
        let mut seen = std::collections::BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let path = if place.is_empty() {
                name.to_owned()
            } else {
                format!("{place}.{name}")
            };
            if !seen.insert(name.to_owned()) {
                self.push(&property.name, &path, "a field given once");
                continue;
            }
            match fields.iter().find(|field| field.name == name) {
                Some(field) => self.value(&property.value, &path, &field.shape),
                None => {
                    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
                    let expected = format!("one of the fields {}", names.join(", "));
                    self.push(&property.name, &path, &expected);
                }
            }
        }
    }

    fn list(&mut self, array: &Array<'_>, place: &str, fields: &'static [Field]) {
        for (index, item) in array.elements.iter().enumerate() {
            self.value(item, &format!("{place}[{index}]"), &Shape::Object(fields));
        }
    }

    fn push(&mut self, node: &impl Ranged, place: &str, expected: &str) {
        let range = node.range();
        let value = self.text.get(range.start..range.end).unwrap_or_default();
        let value: String = value.trim_matches('"').chars().take(VALUE_CHARS).collect();
        let place = if place.is_empty() { "document" } else { place };
        self.problems
            .push(problem(self.text, range.start, place, &value, expected));
    }
}

/// Characters of an offending value that a fault shows.
const VALUE_CHARS: usize = 60;

/// Finds the position of a fault that the fleet checks reported.
fn locate(text: &str, root: &Value<'_>, fault: &fleet::Violation) -> Problem {
    let offset = find(root, fault.location).unwrap_or(0);
    problem(
        text,
        offset,
        &fault.location.to_string(),
        &fault.value,
        &fault.expected,
    )
}

/// Returns the offset of a field, or of its item where the field is left out.
fn find(root: &Value<'_>, place: Location) -> Option<usize> {
    let mut value = root;
    for name in place.list.path() {
        value = &property(value, name)?.value;
    }
    let item = value.as_array()?.elements.get(place.index)?;
    let field = property(item, place.field).map(|property| property.value.range().start);
    Some(field.unwrap_or(item.range().start))
}

fn property<'a, 'b>(value: &'b Value<'a>, name: &str) -> Option<&'b ObjectProp<'a>> {
    value.as_object()?.get(name)
}

fn problem(text: &str, offset: usize, place: &str, value: &str, expected: &str) -> Problem {
    let before = text.get(..offset).unwrap_or_default();
    let line = before.matches('\n').count() + 1;
    let start = before.rfind('\n').map_or(0, |end| end + 1);
    Problem {
        line,
        column: before[start..].chars().count() + 1,
        place: place.to_owned(),
        value: value.to_owned(),
        expected: expected.to_owned(),
    }
}
