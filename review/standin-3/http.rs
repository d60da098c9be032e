//! Minimal HTTP/1.1 over blocking sockets: enough for the messages that the pages describe.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Head and body of a request or an answer.
#[derive(Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Returns a parameter of the query, percent-decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let hex = bytes.get(index + 1..index + 3);
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match (
            bytes[index],
            hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 || !text.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(text.trim_end().to_owned())
}

/// Reads a message whose body has a length or is chunked. Fails if the connection ends before it is
/// complete.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut message = Message {
        start: line(reader)?,
        ..Message::default()
    };
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
    let is_chunked = message.header("transfer-encoding").is_some();
    if is_chunked {
        loop {
            let size = line(reader)?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or(""), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                while !line(reader)?.is_empty() {}
                break;
            }
            let begin = message.body.len();
            message.body.resize(begin + size, 0);
            reader.read_exact(&mut message.body[begin..])?;
            line(reader)?;
        }
    } else if let Some(length) = message.header("content-length") {
        let length = length.parse().unwrap_or(0);
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    }
    Ok(message)
}

/// Writes a message with a length.
pub fn write(
    mut stream: &TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{start}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
