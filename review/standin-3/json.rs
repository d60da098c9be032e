//! Reader for the JSON of the store's transactions, and base64.

/// JSON value. Numbers keep their text.
#[derive(Clone, Debug)]
pub enum Value {
    Null,
    Bool,
    Number(String),
    Text(String),
    List(Vec<Value>),
    Record(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        let Self::Record(fields) = self else {
            return None;
        };
        let mut fields = fields.iter();
        fields.find(|(key, _)| key == name).map(|(_, value)| value)
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(text)) => text.parse().unwrap_or(0),
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Self::List(values)) => values,
            _ => &[],
        }
    }
}

pub fn parse(bytes: &[u8]) -> Option<Value> {
    let mut reader = Reader { bytes, at: 0 };
    reader.value()
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn next(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.next()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Value> {
        match self.next()? {
            b'"' => self.string().map(Value::Text),
            b'[' => {
                self.at += 1;
                let mut values = Vec::new();
                while self.next()? != b']' {
                    values.push(self.value()?);
                    if self.next()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Value::List(values))
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                while self.next()? != b'}' {
                    let name = self.string()?;
                    self.take(b':')?;
                    fields.push((name, self.value()?));
                    if self.next()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Some(Value::Record(fields))
            }
            _ => {
                let begin = self.at;
                let is_word = |byte: &u8| byte.is_ascii_alphanumeric() || b"+-.".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_word) {
                    self.at += 1;
                }
                let word = std::str::from_utf8(&self.bytes[begin..self.at]).ok()?;
                match word {
                    "" => None,
                    "null" => Some(Value::Null),
                    "true" | "false" => Some(Value::Bool),
                    number => Some(Value::Number(number.to_owned())),
                }
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
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
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            let hex = std::str::from_utf8(hex).ok()?;
                            let code = u32::from_str_radix(hex, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let letter = char::from_u32(code)?.encode_utf8(&mut buffer);
                            text.extend_from_slice(letter.as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                let letter = LETTERS[(number >> (18 - 6 * index) & 63) as usize];
                text.push(char::from(letter));
            } else {
                text.push('=');
            }
        }
    }
    text
}
