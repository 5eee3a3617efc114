//! Responses whose status is that of no final answer.
//!
//! Guards against such a status that counts as the result of a submission or as a refusal.

use std::net::SocketAddr;
use std::time::Duration;

use swiftshunt_http::{HttpClient, HttpError, HttpRequest};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a server that answers one request under this status.
async fn start_server(status: u16) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("no free port");
    let address = listener.local_addr().expect("no address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("no connection");
        let mut request = [0; 4096];
        let read = stream.read(&mut request).await;
        assert!(read.is_ok_and(|bytes| bytes > 0), "no request");
        let answer = format!("HTTP/1.1 {status:03} Odd\r\ncontent-length: 0\r\n\r\n");
        let written = stream.write_all(answer.as_bytes()).await;
        written.expect("cannot answer");
    });
    address
}

#[test_case(0, false; "status 000")]
#[test_case(99, false; "status 099")]
#[test_case(101, false; "status 101 that nobody asked for")]
#[test_case(600, false; "status 600")]
#[test_case(999, false; "status 999")]
#[test_case(200, true; "status 200")]
#[test_case(599, true; "status 599")]
#[tokio::test]
async fn a_status_of_no_final_answer_breaks_the_exchange_off(status: u16, is_answer: bool) {
    let request = HttpRequest::get(start_server(status).await, "/");
    let exchanged = HttpClient::new(None).exchange(request, TIMEOUT).await;
    match exchanged {
        Ok(answer) => assert!(is_answer, "an answer with status {}", answer.status),
        Err(HttpError::BrokenOff { reason, .. }) => assert!(!is_answer, "{reason}"),
        Err(error) => panic!("{error}"),
    }
}
