//! Helpers for workers that send bytes which the stand-in does not.

use std::net::SocketAddr;

use swiftshunt_lab::platform::fleet::PlatformFleet;
use swiftshunt_platform::words::{topics, values};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::ExclusiveFleet;

/// Lists a worker in the directory as ready.
pub fn list_worker(fleet: &ExclusiveFleet, address: SocketAddr, service: &str, id: &str) {
    let example = &fleet.engine_workers[0];
    let mut document = PlatformFleet::directory_entry(example, service, values::READY);
    document.address = address.to_string();
    let body = serde_json::to_vec(&document).expect("the entry cannot be encoded");
    fleet.store.put(topics::WORKERS, id, body);
}

/// Reads a request and returns its head in lower case; `None` at the end of the connection.
pub async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut read = Vec::new();
    let mut buffer = vec![0; 4096];
    loop {
        let bytes = stream.read(&mut buffer).await.ok()?;
        if bytes == 0 {
            return None;
        }
        read.extend_from_slice(&buffer[..bytes]);
        let text = String::from_utf8_lossy(&read).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = field(head, "content-length").and_then(|length| length.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return Some(head.to_owned());
            }
        }
    }
}

/// Returns the value of a header field, in lower case.
pub fn field(head: &str, name: &str) -> Option<String> {
    let prefix = format!("{name}: ");
    let mut lines = head.lines();
    lines.find_map(|line| line.strip_prefix(&prefix).map(str::to_owned))
}
