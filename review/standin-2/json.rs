//! Minimal JSON values, reader and writer.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = read(bytes, &mut at)?;
        blank(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => fields.iter().find(|it| it.0 == name).map_or(&Json::Null, |it| &it.1),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Str(text) => text,
            _ => "",
        }
    }

    pub fn num(&self) -> f64 {
        match self {
            Json::Num(number) => *number,
            _ => 0.0,
        }
    }

    pub fn int(&self) -> u64 {
        self.num().max(0.0) as u64
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::Arr(items) => items,
            _ => &[],
        }
    }
}

/// Quotes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            it if (it as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", it as u32)),
            it => out.push(it),
        }
    }
    out.push('"');
    out
}

fn blank(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(|it| it.is_ascii_whitespace()) {
        *at += 1;
    }
}

fn read(bytes: &[u8], at: &mut usize) -> Option<Json> {
    blank(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                blank(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = read_text(bytes, at)?;
                        blank(bytes, at);
                        if bytes.get(*at)? != &b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, read(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                blank(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(read(bytes, at)?),
                }
            }
        }
        b'"' => read_text(bytes, at).map(Json::Str),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|it| !b",]} \n\r\t".contains(it)) {
                *at += 1;
            }
            match std::str::from_utf8(&bytes[start..*at]).ok()? {
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                "null" => Some(Json::Null),
                word => word.parse().ok().map(Json::Num),
            }
        }
    }
}

fn read_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if bytes.get(*at)? != &b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let next = *bytes.get(*at)?;
                *at += 1;
                match next {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let letter = char::from_u32(u32::from_str_radix(code, 16).ok()?)?;
                        out.extend(letter.to_string().as_bytes());
                    }
                    it => out.push(it),
                }
            }
            it => out.push(it),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let at = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let word = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            match place <= chunk.len() {
                true => out.push(char::from(DIGITS[(word >> (18 - 6 * place) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}

/// Decodes standard Base64; `None` if it is invalid.
pub fn unbase64(text: &str) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let (mut word, mut bits) = (0u32, 0);
    for byte in text.bytes().filter(|it| *it != b'=') {
        let digit = DIGITS.iter().position(|it| *it == byte)? as u32;
        word = word << 6 | digit;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    Some(out)
}
