//! HTTP/1.1 over blocking sockets, as much of it as the stand-ins and clients need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// The head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target of a request, or version and status of a response.
    pub first: Vec<String>,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether a response ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.first().map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        let target = self.first.get(1).map_or("", String::as_str);
        target.split('?').next().unwrap_or("")
    }

    /// Returns the value of a query parameter; empty if it is missing.
    pub fn query(&self, name: &str) -> String {
        let target = self.first.get(1).map_or("", String::as_str);
        let query = target.split_once('?').map_or("", |(_, query)| query);
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs
            .find(|(key, _)| *key == name)
            .map_or("", |(_, value)| value);
        percent_decode(value)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        let byte = hex.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match byte {
            Some(byte) if bytes[at] == b'%' => {
                decoded.push(byte);
                at += 3;
            }
            _ => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.split_whitespace().map(str::to_owned).collect();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
        let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    is_request: bool,
) -> io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|coding| coding.contains("chunked"));
    let length: Option<usize> = message
        .header("content-length")
        .and_then(|length| length.parse().ok());
    if is_chunked {
        let mut body = Vec::new();
        let read = read_chunks(reader, &mut body);
        message.body = body;
        return read;
    }
    match length {
        Some(length) => {
            let mut limited = reader.by_ref().take(length as u64);
            limited.read_to_end(&mut message.body)?;
            if message.body.len() < length {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            Ok(())
        }
        None if is_request => Ok(()),
        None => reader.read_to_end(&mut message.body).map(|_| ()),
    }
}

/// Serves requests on an address, each connection on a thread of its own. `answer` writes the whole response; the
/// connection is closed once it returns false.
pub fn serve<Answer>(listener: TcpListener, answer: Answer)
where
    Answer: Fn(&Message, &mut TcpStream) -> bool + Clone + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(mut request)) = read_head(&mut reader) {
                    if read_body(&mut reader, &mut request, true).is_err() {
                        return;
                    }
                    if !answer(&request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a response with a length. Returns whether the connection can be used further.
pub fn respond(writer: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> bool {
    let mut bytes = format!(
        "HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    writer.write_all(&bytes).is_ok()
}

/// Writes a response in chunks, one for each event. Returns whether the connection can be used further.
pub fn respond_stream(
    writer: &mut TcpStream,
    headers: &str,
    events: impl Iterator<Item = String>,
    pause: Duration,
) -> bool {
    let head = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n{headers}\r\n");
    if writer.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for event in events {
        thread::sleep(pause);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if writer.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    writer.write_all(b"0\r\n\r\n").is_ok()
}

/// Sends a request on a connection of its own and reads the response. An error means that no head of a response arrived.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(String, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut connection = Connection::open(address, timeout)?;
    connection.call(method, target, headers, body, timeout)
}

/// A connection that is kept for several requests.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout.min(Duration::from_secs(1)))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream);
        Ok(Self { reader })
    }

    /// Sends a request and reads the response. An error means that no head of a response arrived.
    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(String, String)],
        body: &[u8],
        timeout: Duration,
    ) -> io::Result<Message> {
        let mut head = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_ref().set_read_timeout(Some(timeout))?;
        self.reader.get_mut().write_all(&bytes)?;
        let Some(mut response) = read_head(&mut self.reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let read = read_body(&mut self.reader, &mut response, false);
        response.is_whole = read.is_ok();
        Ok(response)
    }
}
