//! Streams that callers begin, leave and take up at another gateway. Each event names the version that made it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use hyper::StatusCode;
use swiftshunt_lab::platform::caller::StreamPart;
use swiftshunt_lab::platform::fleet::{STREAM, eventually};
use swiftshunt_lab::platform::worker::versions_in;

use super::ExclusiveFleet;

/// Number of events in a stream.
pub const EVENTS: u64 = 12;
/// Number of events that a caller reads before it closes the connection.
pub const READ_EVENTS: usize = 3;
/// Least share of the streams taken up that must go on, where workers of their version serve.
pub const MIN_CONTINUED_SHARE: f64 = 0.5;

/// A stream that a caller began and whose connection it closed.
pub struct Begun {
    pub id: String,
    pub part: StreamPart,
}

impl Begun {
    pub fn version(&self) -> String {
        let text = self.part.text();
        let versions = versions_in(&text);
        versions
            .first()
            .map(|version| (*version).to_owned())
            .unwrap_or_default()
    }
}

pub async fn begin(fleet: &ExclusiveFleet, gateway: SocketAddr, id: &str) -> Begun {
    let read = fleet
        .caller
        .read_stream(gateway, STREAM, id, None, READ_EVENTS);
    let part = read.await.expect("no response");
    assert_eq!(part.status, StatusCode::OK, "{id}");
    assert_eq!(part.events.len(), READ_EVENTS, "{id}");
    Begun {
        id: id.to_owned(),
        part,
    }
}

pub async fn begin_streams(fleet: &ExclusiveFleet, gateways: &[usize], count: usize) -> Vec<Begun> {
    let mut begun = Vec::new();
    for number in 0..count {
        let gateway = fleet.gateways[gateways[number % gateways.len()]].callers;
        begun.push(begin(fleet, gateway, &format!("s{number}")).await);
    }
    let versions: BTreeSet<String> = begun.iter().map(Begun::version).collect();
    println!("versions that began streams: {versions:?}");
    begun
}

pub async fn take_up(
    fleet: &ExclusiveFleet,
    gateway: SocketAddr,
    begun: &Begun,
    id: &str,
) -> StreamPart {
    let take_up = begun.part.take_up(&begun.id);
    let read = fleet
        .caller
        .read_stream(gateway, STREAM, id, take_up.as_ref(), usize::MAX);
    read.await.expect("no response")
}

/// What became of streams that callers took up.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub continued: usize,
    pub refused: usize,
    pub broken: usize,
    /// Streams that hold events of two versions.
    pub mixed: Vec<String>,
}

impl Outcomes {
    pub fn add(&mut self, begun: &Begun, rest: &StreamPart) {
        let text = format!("{}\n{}", begun.part.text(), rest.text());
        if versions_in(&text).len() > 1 {
            self.mixed.push(text);
        }
        if rest.status != StatusCode::OK {
            assert_eq!(rest.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(rest.headers.contains_key("retry-after"));
            self.refused += 1;
        } else if rest.is_complete {
            let numbers: Vec<u64> = rest.events.iter().map(|(number, _)| *number).collect();
            let expected: Vec<u64> = (READ_EVENTS as u64..EVENTS).collect();
            assert_eq!(numbers, expected);
            self.continued += 1;
        } else {
            self.broken += 1;
        }
    }

    pub fn assert_unmixed(&self) {
        println!("{self:?}");
        assert!(self.mixed.is_empty(), "events of two versions: {self:?}");
    }

    pub fn assert_continued(&self) {
        let all = self.continued + self.refused + self.broken;
        let share = self.continued as f64 / all.max(1) as f64;
        assert!(share >= MIN_CONTINUED_SHARE, "too few went on: {self:?}");
    }
}

pub async fn take_up_all(fleet: &ExclusiveFleet, gateways: &[usize], begun: &[Begun]) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for (number, stream) in begun.iter().enumerate() {
        let gateway = fleet.gateways[gateways[number % gateways.len()]].callers;
        let rest = take_up(fleet, gateway, stream, &format!("t{number}")).await;
        outcomes.add(stream, &rest);
    }
    outcomes
}

/// Takes all streams up at the same time, at each gateway in turn.
pub async fn take_up_at_once(
    fleet: &ExclusiveFleet,
    gateways: &[usize],
    begun: &[Begun],
) -> Outcomes {
    let taken_up = begun.iter().enumerate().map(|(number, stream)| {
        let gateway = fleet.gateways[gateways[number % gateways.len()]].callers;
        async move { take_up(fleet, gateway, stream, &format!("t{number}")).await }
    });
    let taken_up = futures_util::future::join_all(taken_up).await;
    let mut outcomes = Outcomes::default();
    for (stream, rest) in begun.iter().zip(&taken_up) {
        outcomes.add(stream, rest);
    }
    outcomes
}

pub async fn wait_until_ready(fleet: &ExclusiveFleet, gateways: &[usize]) {
    for gateway in gateways {
        let ready = fleet.gateways[*gateway].ready;
        eventually("the gateway is ready", || fleet.caller.is_ready(ready)).await;
    }
}
