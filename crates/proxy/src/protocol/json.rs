//! The one reader of JSON: discovery's lists and the configuration.

/// How deep values may lie in each other.
const DEPTH: usize = 24;

#[derive(Clone, Debug, PartialEq)]
pub enum JsonValue {
    Null,
    Bool(bool),
    /// As it was written, so that whoever wants it chooses its type.
    Number(String),
    String(String),
    Array(Vec<JsonValue>),
    Object(Vec<(String, JsonValue)>),
}

impl JsonValue {
    pub fn get(&self, name: &str) -> Option<&JsonValue> {
        let JsonValue::Object(pairs) = self else {
            return None;
        };
        pairs.iter().find(|pair| pair.0 == name).map(|pair| &pair.1)
    }

    pub fn as_str(&self) -> Option<&str> {
        if let JsonValue::String(text) = self {
            Some(text)
        } else {
            None
        }
    }

    pub fn parse_number<T: std::str::FromStr>(&self) -> Option<T> {
        if let JsonValue::Number(text) = self {
            text.parse().ok()
        } else {
            None
        }
    }

    pub fn as_array(&self) -> Option<&[JsonValue]> {
        if let JsonValue::Array(items) = self {
            Some(items)
        } else {
            None
        }
    }

    /// Paths and values as the settings' flat form has them: items of a list stand under their numbers with
    /// the `count` beside them, plain ones in one value joined by commas.
    pub fn flatten(&self, path: &str, out: &mut Vec<(String, String)>) {
        let under = |name: &str| {
            if path.is_empty() {
                name.to_string()
            } else {
                format!("{path}.{name}")
            }
        };
        match self {
            JsonValue::Object(pairs) => pairs
                .iter()
                .for_each(|(name, value)| value.flatten(&under(name), out)),
            JsonValue::Array(items)
                if items
                    .iter()
                    .any(|i| matches!(i, JsonValue::Object(_) | JsonValue::Array(_))) =>
            {
                out.push((under("count"), items.len().to_string()));
                items
                    .iter()
                    .enumerate()
                    .for_each(|(nth, item)| item.flatten(&under(&nth.to_string()), out));
            }
            JsonValue::Array(items) => {
                let plain: Vec<String> = items.iter().map(JsonValue::plain).collect();
                out.push((path.to_string(), plain.join(",")));
            }
            plain => out.push((path.to_string(), plain.plain())),
        }
    }

    fn plain(&self) -> String {
        match self {
            JsonValue::Bool(flag) => flag.to_string(),
            JsonValue::Number(number) => number.clone(),
            JsonValue::String(text) => text.replace([' ', ','], "_"),
            _ => String::new(),
        }
    }
}

pub fn parse(bytes: &[u8]) -> Result<JsonValue, String> {
    let text = std::str::from_utf8(bytes).map_err(|e| e.to_string())?;
    let mut reader = Reader { text, at: 0 };
    let value = reader.value(0)?;
    reader.space();
    if reader.at < text.len() {
        Err(reader.wrong("more than one value"))
    } else {
        Ok(value)
    }
}

struct Reader<'a> {
    text: &'a str,
    at: usize,
}

impl Reader<'_> {
    fn wrong(&self, what: &str) -> String {
        format!("{what} at byte {}", self.at)
    }

    fn peek(&self) -> Option<u8> {
        self.text.as_bytes().get(self.at).copied()
    }

    fn space(&mut self) {
        while matches!(self.peek(), Some(b' ' | b'\t' | b'\r' | b'\n')) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.space();
        let is = self.peek() == Some(byte);
        self.at += usize::from(is);
        is
    }

    fn value(&mut self, depth: usize) -> Result<JsonValue, String> {
        self.space();
        match self.peek() {
            Some(b'{' | b'[') if depth == DEPTH => Err(self.wrong("too deep")),
            Some(b'{') => self.object(depth + 1),
            Some(b'[') => self.list(depth + 1),
            Some(b'"') => self.string().map(JsonValue::String),
            Some(b'-' | b'0'..=b'9') => self.number(),
            _ => {
                let words = [
                    ("null", JsonValue::Null),
                    ("true", JsonValue::Bool(true)),
                    ("false", JsonValue::Bool(false)),
                ];
                let rest = &self.text[self.at..];
                let found = words.into_iter().find(|word| rest.starts_with(word.0));
                let (word, value) = found.ok_or_else(|| self.wrong("no value"))?;
                self.at += word.len();
                Ok(value)
            }
        }
    }

    fn object(&mut self, depth: usize) -> Result<JsonValue, String> {
        let pair = |reader: &mut Self| {
            reader.space();
            let name = reader.string()?;
            if !reader.take(b':') {
                return Err(reader.wrong("no colon"));
            }
            Ok((name, reader.value(depth)?))
        };
        self.items(b'}', pair).map(JsonValue::Object)
    }

    fn list(&mut self, depth: usize) -> Result<JsonValue, String> {
        self.items(b']', |reader| reader.value(depth))
            .map(JsonValue::Array)
    }

    /// What stands between brackets, with commas between.
    fn items<T>(
        &mut self,
        end: u8,
        item: impl Fn(&mut Self) -> Result<T, String>,
    ) -> Result<Vec<T>, String> {
        self.at += 1;
        let mut items = Vec::new();
        if self.take(end) {
            return Ok(items);
        }
        loop {
            items.push(item(self)?);
            if self.take(end) {
                return Ok(items);
            }
            if !self.take(b',') {
                return Err(self.wrong("no comma"));
            }
        }
    }

    fn number(&mut self) -> Result<JsonValue, String> {
        let rest = &self.text[self.at..];
        let end = rest.find(|c: char| !matches!(c, '0'..='9' | '+' | '-' | '.' | 'e' | 'E'));
        let number = &rest[..end.unwrap_or(rest.len())];
        if number.parse::<f64>().is_err() {
            return Err(self.wrong("no number"));
        }
        self.at += number.len();
        Ok(JsonValue::Number(number.to_string()))
    }

    fn string(&mut self) -> Result<String, String> {
        if self.peek() != Some(b'"') {
            return Err(self.wrong("no text"));
        }
        self.at += 1;
        let mut text = String::new();
        loop {
            let rest = &self.text[self.at..];
            let stop = rest.find(|c: char| c == '"' || c == '\\' || c < ' ');
            let stop = stop.ok_or_else(|| self.wrong("text without end"))?;
            text.push_str(&rest[..stop]);
            self.at += stop + 1;
            match rest.as_bytes()[stop] {
                b'"' => return Ok(text),
                b'\\' => text.push(self.escaped()?),
                _ => return Err(self.wrong("control character")),
            }
        }
    }

    fn escaped(&mut self) -> Result<char, String> {
        let byte = self.peek().ok_or_else(|| self.wrong("text without end"))?;
        self.at += 1;
        Ok(match byte {
            b'"' | b'\\' | b'/' => char::from(byte),
            b'b' => '\u{8}',
            b'f' => '\u{c}',
            b'n' => '\n',
            b'r' => '\r',
            b't' => '\t',
            b'u' => {
                let high = self.unit()?;
                let pair =
                    matches!(high, 0xd800..0xdc00) && self.text[self.at..].starts_with("\\u");
                let code = if pair {
                    self.at += 2;
                    let low = self.unit()?.wrapping_sub(0xdc00);
                    0x1_0000 + ((high - 0xd800) << 10) + (low & 0x3ff)
                } else {
                    high
                };
                char::from_u32(code).unwrap_or(char::REPLACEMENT_CHARACTER)
            }
            _ => return Err(self.wrong("unknown escape")),
        })
    }

    fn unit(&mut self) -> Result<u32, String> {
        let digits = self
            .text
            .get(self.at..self.at + 4)
            .filter(|d| d.bytes().all(|b| b.is_ascii_hexdigit()));
        let unit = digits.and_then(|d| u32::from_str_radix(d, 16).ok());
        self.at += 4;
        unit.ok_or_else(|| self.wrong("unknown escape"))
    }
}
