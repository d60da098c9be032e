//! HTTP/1.1 as far as the stand-ins need it, and a JSON reader.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Request or response. The first line of a response is in `line`.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }


    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message. Returns `None` if the connection ends first.
pub fn read(reader: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut message = Message {
        line: line.trim_end().to_owned(),
        ..Message::default()
    };
    loop {
        let mut field = String::new();
        if reader.read_line(&mut field).ok()? == 0 {
            return None;
        }
        let field = field.trim_end();
        if field.is_empty() {
            break;
        }
        if let Some((name, value)) = field.split_once(':') {
            let value = value.trim().to_owned();
            message.headers.insert(name.to_ascii_lowercase(), value);
        }
    }
    if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        message.body = body;
    }
    Some(message)
}

/// What a server does with a request.
pub enum Reply {
    Answer {
        status: u16,
        headers: Vec<(&'static str, String)>,
        body: Vec<u8>,
    },
    /// The connection stays open without an answer until the peer closes it.
    Silence,
}

pub fn answer(status: u16, headers: Vec<(&'static str, String)>, body: impl Into<Vec<u8>>) -> Reply {
    let body = body.into();
    Reply::Answer { status, headers, body }
}

/// Running server.
pub struct Server {
    address: SocketAddr,
    has_ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Closes the listener and all connections, as the end of a process does.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
        // Wakes the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves requests, one thread for each connection.
pub fn serve(listener: TcpListener, handle: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Server {
    let handle = Arc::new(handle);
    let server = Server {
        address: listener.local_addr().unwrap(),
        has_ended: Arc::default(),
        streams: Arc::default(),
    };
    let (has_ended, streams) = (Arc::clone(&server.has_ended), Arc::clone(&server.streams));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if has_ended.load(Ordering::Relaxed) {
                return;
            }
            streams.lock().unwrap().extend(stream.try_clone());
            let handle = Arc::clone(&handle);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = read(&mut reader) {
                    match handle(&request) {
                        Reply::Answer { status, headers, body } => {
                            let mut text = format!("HTTP/1.1 {status} -\r\n");
                            for (name, value) in headers {
                                text += &format!("{name}: {value}\r\n");
                            }
                            text += &format!("content-length: {}\r\n\r\n", body.len());
                            let mut bytes = text.into_bytes();
                            bytes.extend(body);
                            if writer.write_all(&bytes).is_err() {
                                return;
                            }
                        }
                        Reply::Silence => {
                            let mut rest = Vec::new();
                            let _ = reader.read_to_end(&mut rest);
                            return;
                        }
                    }
                }
            });
        }
    });
    server
}

/// Sends one request on a connection of its own, and reads its answer.
pub fn call(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(limit))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut text = format!("{line} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read(&mut BufReader::new(stream)).ok_or_else(|| io::Error::other("no answer"))
}

/// JSON value. Numbers are whole here.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(u64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut rest = text.trim();
        value(&mut rest)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

fn value(rest: &mut &str) -> Option<Json> {
    *rest = rest.trim_start();
    let first = rest.chars().next()?;
    match first {
        '{' => {
            *rest = rest[1..].trim_start();
            let mut fields = BTreeMap::new();
            while !rest.starts_with('}') {
                let Json::Text(name) = value(rest)? else { return None };
                *rest = rest.trim_start().strip_prefix(':')?;
                fields.insert(name, value(rest)?);
                *rest = rest.trim_start();
                *rest = rest.strip_prefix(',').unwrap_or(rest).trim_start();
            }
            *rest = &rest[1..];
            Some(Json::Table(fields))
        }
        '[' => {
            *rest = rest[1..].trim_start();
            let mut list = Vec::new();
            while !rest.starts_with(']') {
                list.push(value(rest)?);
                *rest = rest.trim_start();
                *rest = rest.strip_prefix(',').unwrap_or(rest).trim_start();
            }
            *rest = &rest[1..];
            Some(Json::List(list))
        }
        '"' => {
            // The routers write no escapes in what is read here.
            let end = rest[1..].find('"')? + 1;
            let text = rest[1..end].to_owned();
            *rest = &rest[end + 1..];
            Some(Json::Text(text))
        }
        't' => word(rest, "true", Json::Bool(true)),
        'f' => word(rest, "false", Json::Bool(false)),
        'n' => word(rest, "null", Json::Null),
        _ => {
            let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
            let number = rest[..end].parse().ok()?;
            *rest = &rest[end..];
            Some(Json::Number(number))
        }
    }
}

fn word(rest: &mut &str, word: &str, value: Json) -> Option<Json> {
    *rest = rest.strip_prefix(word)?;
    Some(value)
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut number = 0_u32;
        for index in 0..3 {
            number = number << 8 | u32::from(*part.get(index).unwrap_or(&0));
        }
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit) & 63) as usize;
            text.push(if digit > part.len() { '=' } else { DIGITS[index] as char });
        }
    }
    text
}
