//! HTTP/1.1, as far as the stand-ins need it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn find<'h>(headers: &'h [(String, String)], name: &str) -> Option<&'h str> {
    let found = headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// A connection whose requests or responses are read one after the other.
pub struct Connection {
    reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

impl Connection {
    pub fn new(stream: TcpStream) -> std::io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream.try_clone()?),
            stream,
        })
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(read) if read > 0 => Some(line.trim_end().to_owned()),
            _ => None,
        }
    }

    fn headers(&mut self) -> Option<Vec<(String, String)>> {
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(headers);
            }
            let (name, value) = line.split_once(':')?;
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }

    fn body(&mut self, headers: &[(String, String)], until_close: bool) -> Option<Vec<u8>> {
        if find(headers, "transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16).ok()?;
                let mut chunk = vec![0; size];
                self.reader.read_exact(&mut chunk).ok()?;
                self.line()?;
                if size == 0 {
                    return Some(body);
                }
                body.extend(chunk);
            }
        }
        if let Some(length) = find(headers, "content-length") {
            let mut body = vec![0; length.parse().ok()?];
            self.reader.read_exact(&mut body).ok()?;
            return Some(body);
        }
        let mut body = Vec::new();
        if until_close {
            self.reader.read_to_end(&mut body).ok()?;
        }
        Some(body)
    }

    /// Returns the next request; `None` once the connection has ended.
    pub fn request(&mut self) -> Option<Request> {
        let first = self.line()?;
        let mut words = first.split(' ');
        let target = words.nth(1)?.to_owned();
        let headers = self.headers()?;
        let body = self.body(&headers, false)?;
        Some(Request {
            target,
            headers,
            body,
        })
    }

    /// Returns the next whole response; `None` if the connection broke off before its end.
    pub fn response(&mut self) -> Option<Response> {
        let first = self.line()?;
        let status = first.split(' ').nth(1)?.parse().ok()?;
        let headers = self.headers()?;
        let body = self.body(&headers, true)?;
        Some(Response {
            status,
            headers,
            body,
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend(body);
        self.send(&bytes)
    }
}

/// Sends one request on a new connection and returns the whole response; `None` if there is none.
pub fn exchange(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Response> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut connection = Connection::new(stream).ok()?;
    let mut head = format!(
        "{method} {target} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    connection.send(&bytes).then_some(())?;
    connection.response()
}

/// Serves each connection in a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(Connection) + Send + Clone + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                if let Ok(connection) = Connection::new(stream) {
                    handler(connection);
                }
            });
        }
    });
}

pub fn listen() -> Result<(TcpListener, SocketAddr), String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    Ok((listener, address))
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let value = (0..3).fold(0_u32, |value, index| {
            value << 8 | u32::from(group.get(index).copied().unwrap_or(0))
        });
        for index in 0..4 {
            let digit = DIGITS[(value >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= group.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}
