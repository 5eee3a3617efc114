//! Workers, after the sections "Workers" and "Service discovery" of PROTOCOL.md.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Message, respond, serve};
use crate::store::Store;

/// Interval at which a worker writes its entry (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that a worker ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub worker: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// What a worker does with a request that it has begun to run. Writes the whole answer; returns whether the
/// connection can be used further.
pub type Behaviour = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

/// Starts a worker of a service and keeps its entry in the store. Returns its address.
pub fn start(
    store: &Store,
    service: &str,
    id: &str,
    zone: &str,
    slots: u32,
    runs: Runs,
    behaviour: Behaviour,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let address = listener.local_addr().expect("no address");
    let own = id.to_owned();
    serve(listener, move |request, writer| {
        answer(request, writer, &own, &runs, &behaviour)
    });
    let (store, service, id, zone) = (
        store.clone(),
        service.to_owned(),
        id.to_owned(),
        zone.to_owned(),
    );
    thread::spawn(move || {
        for number in 1.. {
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                 \"slots\":{slots},\"state\":\"ready\",\"coldLeftMs\":0,\"callSeq\":{number}}}"
            );
            store.put("keyed.servers", &id, &entry);
            thread::sleep(HEARTBEAT);
        }
    });
    address
}

fn answer(
    request: &Message,
    writer: &mut TcpStream,
    own: &str,
    runs: &Runs,
    behaviour: &Behaviour,
) -> bool {
    let id = request
        .header("swiftshunt-request-id")
        .unwrap_or("")
        .to_owned();
    let expected = request.header("swiftshunt-expect-instance");
    if expected.is_some_and(|expected| expected != own) {
        let headers = format!("Swiftshunt-Request-Id: {id}\r\nSwiftshunt-Not-Executed: 1\r\n");
        return respond(writer, "421 Misdirected Request", &headers, b"");
    }
    if id.is_empty() {
        let headers = format!("Swiftshunt-Instance-Id: {own}\r\nSwiftshunt-Not-Executed: 1\r\n");
        let status = if request.path() == "/health" {
            "200 OK"
        } else {
            "400 Bad Request"
        };
        return respond(writer, status, &headers, b"");
    }
    runs.lock().unwrap().push(Run {
        request: id,
        worker: own.to_owned(),
    });
    behaviour(request, writer)
}
