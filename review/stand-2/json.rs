//! Minimal JSON values: enough for the bodies of the store and the operator's records.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn text(value: impl Into<String>) -> Self {
        Self::Text(value.into())
    }

    pub fn number(value: u64) -> Self {
        Self::Number(value as f64)
    }

    pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Self {
        Self::Object(fields.map(|(name, value)| (name.to_owned(), value)).into())
    }

    /// Field of an object; `Null` if it is absent.
    pub fn get(&self, name: &str) -> &Json {
        let Self::Object(fields) = self else {
            return &Json::Null;
        };
        let field = fields.iter().find(|(field, _)| field == name);
        field.map_or(&Json::Null, |(_, value)| value)
    }

    pub fn as_str(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn as_u64(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == parser.bytes.len()).then_some(value)
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => f.write_str("null"),
            Self::Bool(value) => write!(f, "{value}"),
            Self::Number(number) => write!(f, "{number}"),
            Self::Text(text) => write_text(f, text),
            Self::List(items) => {
                f.write_str("[")?;
                for (index, item) in items.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    item.fmt(f)?;
                }
                f.write_str("]")
            }
            Self::Object(fields) => {
                f.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if index > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    f.write_str(":")?;
                    value.fmt(f)?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for character in text.chars() {
        match character {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            '\0'..='\x1f' => write!(f, "\\u{:04x}", character as u32)?,
            _ => write!(f, "{character}")?,
        }
    }
    f.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, token: &str) -> Option<()> {
        let found = self.bytes[self.at..].starts_with(token.as_bytes());
        found.then(|| self.at += token.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'n' => self.take("null").map(|()| Json::Null),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'"' => self.text().map(Json::Text),
            b'[' => self.list(),
            b'{' => self.fields(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'b' => text.push(8),
                        b'f' => text.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let mut buffer = [0; 4];
                            let character = char::from_u32(code).unwrap_or('?');
                            text.extend(character.encode_utf8(&mut buffer).bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut items = Vec::new();
        self.skip_space();
        if self.take("]").is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            self.skip_space();
            if self.take("]").is_some() {
                return Some(Json::List(items));
            }
            self.take(",")?;
        }
    }

    fn fields(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut fields = Vec::new();
        self.skip_space();
        if self.take("}").is_some() {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.text()?;
            self.skip_space();
            self.take(":")?;
            fields.push((name, self.value()?));
            self.skip_space();
            if self.take("}").is_some() {
                return Some(Json::Object(fields));
            }
            self.take(",")?;
        }
    }
}
