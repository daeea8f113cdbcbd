//! JSON values, as far as the stand-ins need them.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Self::Object(fields) => fields
                .iter()
                .find(|it| it.0 == name)
                .map_or(&Self::Null, |it| &it.1),
            _ => &Self::Null,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Self::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

impl From<u64> for Value {
    fn from(value: u64) -> Self {
        Self::Number(value as f64)
    }
}

impl From<&str> for Value {
    fn from(value: &str) -> Self {
        Self::Text(value.to_owned())
    }
}

impl From<String> for Value {
    fn from(value: String) -> Self {
        Self::Text(value)
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(value) => write!(f, "{value}"),
            Self::Text(text) => write_text(f, text),
            Self::List(list) => {
                f.write_str("[")?;
                for (index, value) in list.iter().enumerate() {
                    write!(f, "{}{value}", if index > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Self::Object(fields) => {
                f.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for char in text.chars() {
        match char {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            '\n' => f.write_str("\\n")?,
            it if (it as u32) < 32 => write!(f, "\\u{:04x}", it as u32)?,
            it => write!(f, "{it}")?,
        }
    }
    f.write_str("\"")
}

/// Parses a text; anything invalid is `Null`.
pub fn parse(text: &str) -> Value {
    let bytes = text.as_bytes();
    value(bytes, &mut 0).unwrap_or(Value::Null)
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(bytes: &[u8], at: &mut usize) -> Option<Value> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => break,
                    b',' => *at += 1,
                    _ => {
                        let name = text(bytes, at)?;
                        skip(bytes, at);
                        (*bytes.get(*at)? == b':').then_some(())?;
                        *at += 1;
                        fields.push((name, value(bytes, at)?));
                    }
                }
            }
            *at += 1;
            Some(Value::Object(fields))
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip(bytes, at);
                match *bytes.get(*at)? {
                    b']' => break,
                    b',' => *at += 1,
                    _ => list.push(value(bytes, at)?),
                }
            }
            *at += 1;
            Some(Value::List(list))
        }
        b'"' => text(bytes, at).map(Value::Text),
        b't' => word(bytes, at, "true", Value::Bool(true)),
        b'f' => word(bytes, at, "false", Value::Bool(false)),
        b'n' => word(bytes, at, "null", Value::Null),
        _ => {
            let start = *at;
            while bytes
                .get(*at)
                .is_some_and(|it| b"+-.eE0123456789".contains(it))
            {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at])
                .ok()?
                .parse()
                .ok()
                .map(Value::Number)
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Value) -> Option<Value> {
    bytes[*at..]
        .starts_with(word.as_bytes())
        .then(|| *at += word.len())?;
    Some(value)
}

fn text(bytes: &[u8], at: &mut usize) -> Option<String> {
    (*bytes.get(*at)? == b'"').then_some(())?;
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *bytes.get(*at)? {
            b'"' => break,
            b'\\' => {
                *at += 1;
                match *bytes.get(*at)? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at + 1..*at + 5)?).ok()?;
                        let char = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        out.extend(char.to_string().bytes());
                        *at += 4;
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
        *at += 1;
    }
    *at += 1;
    String::from_utf8(out).ok()
}
