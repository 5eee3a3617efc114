//! Bytes of an earlier build, and what they must mean to this one: gateways of both run side by side while one
//! replaces the other. A build writes its bytes by `cargo test -p swiftshunt-gateway -- --ignored write_corpus` into the
//! file that `SWIFTSHUNT_CORPUS` names.

mod values;

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::Duration;

use ciborium::cbor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use swiftshunt_jobs::JobRecord;
use swiftshunt_journal::Assembly;
use swiftshunt_scheduler::slots::WorkerKey;
use swiftshunt_scheduler::slots::cell::Cell;

use crate::messages::Notice;
use crate::messages::slots::SlotMessage;

pub(crate) use values::MEMBER;
use values::{accepted, address, all, cell, framed, tenant};

/// Bytes of the build that runs in production: a name and hexadecimal digits a line.
const CORPUS: &str = include_str!("../../corpus/77ba4fc.txt");
/// A settings file of that build.
const SETTINGS: &str = include_str!("../../corpus/77ba4fc.toml");
/// Where this build writes its own bytes.
const WRITTEN_TO: &str = "SWIFTSHUNT_CORPUS";
/// The nonce of the framed record.
const NONCE: u64 = 7;
/// Most bytes of a frame: so few that the record takes several.
const FRAME_BYTES: usize = 600;

/// Goes through the values of which a corpus has bytes.
trait Visitor {
    fn entry<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug;
}

fn encoded(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("a form");
    bytes
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes_of(digits: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&digits[at..at + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Entries of a corpus by name.
fn entries(corpus: &str) -> BTreeMap<&str, Vec<u8>> {
    let lines = corpus.lines().filter_map(|line| line.split_once(' '));
    lines
        .map(|(name, digits)| (name, bytes_of(digits)))
        .collect()
}

/// The bytes of an entry of the corpus.
pub(crate) fn entry(name: &str) -> Vec<u8> {
    entries(CORPUS).remove(name).expect("an entry")
}

#[derive(Default)]
struct Writer(String);

impl Writer {
    fn line(&mut self, name: &str, bytes: &[u8]) {
        self.0 += &format!("{name} {}\n", hexadecimal(bytes));
    }
}

impl Visitor for Writer {
    fn entry<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        self.line(name, &encoded(&value));
    }
}

/// Reads each entry and compares it with what it must mean.
struct Reader<'c> {
    corpus: BTreeMap<&'c str, Vec<u8>>,
    read: usize,
}

impl Visitor for Reader<'_> {
    fn entry<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let bytes = self.corpus.get(name).expect(name);
        let read: T = ciborium::from_reader(bytes.as_slice()).expect(name);
        assert_eq!(read, value, "{name}");
        self.read += 1;
    }
}

/// Compares the bytes that this build writes with those of the earlier one.
struct Comparison<'c>(BTreeMap<&'c str, Vec<u8>>);

impl Visitor for Comparison<'_> {
    fn entry<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let before = hexadecimal(&self.0[name]);
        assert_eq!(hexadecimal(&encoded(&value)), before, "{name}");
    }
}
/// Messages with fields that the earlier build does not know, for it to read.
fn with_new_fields(writer: &mut Writer) {
    let here = Notice::Here {
        from: address(2),
        zone: Some("zone-a".to_owned()),
    };
    writer.line("here", &encoded(&here));
    let cell = Cell {
        region: Some("region-1".into()),
        ..cell()
    };
    let worker = WorkerKey(8);
    let failed = SlotMessage::SendFailed { cell, worker };
    writer.line("slots-send-failed", &encoded(&Notice::Slots(failed)));
}

#[test]
fn what_the_build_in_production_writes_means_the_same() {
    let mut reader = Reader {
        corpus: entries(CORPUS),
        read: 0,
    };
    all(&mut reader);
    let framed = framed().len();
    let texts = [
        "member",
        "gateway-record",
        "quarantine-key",
        "quarantine-value",
    ];
    assert_eq!(
        reader.read + 2 * framed + texts.len(),
        reader.corpus.len(),
        "entries that nobody reads"
    );
}

#[test]
fn a_job_that_it_cut_into_frames_is_put_together() {
    let mut assembly = Assembly::default();
    let count = framed().len();
    assert!(count > 1);
    for index in 0..count {
        let key = entry(&format!("frame-key-{index}"));
        let value = entry(&format!("frame-{index}"));
        let logical = assembly
            .add_frame::<JobRecord>(key, &value)
            .expect("a frame");
        let is_last = index + 1 == count;
        assert_eq!(logical.is_some(), is_last, "frame {index}");
        if let Some(logical) = logical {
            assert_eq!(logical.record, accepted(Some(tenant())));
        }
    }
}

#[test]
fn what_knows_no_new_word_is_written_as_before() {
    all(&mut Comparison(entries(CORPUS)));
    for (index, (key, value)) in framed().into_iter().enumerate() {
        assert_eq!(key, entry(&format!("frame-key-{index}")));
        assert_eq!(value, entry(&format!("frame-{index}")));
    }
}

#[test]
fn its_settings_are_read() {
    let settings = crate::GatewaySettings::parse("77ba4fc.toml", SETTINGS).expect("settings");
    assert_eq!(settings.name, "gateway-0");
    assert_eq!(settings.zone, "zone-a");
    assert!(settings.zones.is_empty());
    assert_eq!(settings.batch.lease, Duration::from_secs(1));
    assert_eq!(settings.log.partitions, 4);
}

#[test]
fn kinds_and_fields_of_later_builds_do_no_harm() {
    let unknown = cbor!({ "Later" => { "what" => 1 } }).expect("a value");
    let unknown = encoded(&unknown);
    assert!(ciborium::from_reader::<Notice, _>(unknown.as_slice()).is_err());
    let more = cbor!({ "Reading" => {
        "worker" => "engine-1", "missing" => 250, "parts" => [], "later" => 1
    } });
    let more = encoded(&more.expect("a value"));
    let read: Notice = ciborium::from_reader(more.as_slice()).expect("a notice");
    let expected = Notice::Reading {
        worker: "engine-1".to_owned(),
        missing: 250,
        parts: Vec::new(),
    };
    assert_eq!(read, expected);
}

#[test]
#[ignore = "writes this build's bytes into the file that SWIFTSHUNT_CORPUS names"]
fn write_corpus() {
    let mut writer = Writer::default();
    all(&mut writer);
    for (index, (key, value)) in framed().into_iter().enumerate() {
        writer.line(&format!("frame-key-{index}"), &key);
        writer.line(&format!("frame-{index}"), &value);
    }
    with_new_fields(&mut writer);
    let file = std::env::var(WRITTEN_TO).expect("a file's name");
    std::fs::write(file, writer.0).expect("written");
}
