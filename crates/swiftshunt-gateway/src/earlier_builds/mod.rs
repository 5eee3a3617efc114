//! Compatibility tests against a corpus of bytes that an earlier build wrote. Gateways of two builds run side by side
//! during an upgrade, so each has to read what the other writes. `cargo test -p swiftshunt-gateway -- --ignored
//! write_corpus` writes the corpus of a build into the file that `SWIFTSHUNT_CORPUS` names.

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
use values::{accepted, address, cell, framed, tenant, visit_all};

/// The corpus of the build that runs in production. Each line holds the name of an entry and hexadecimal digits.
const CORPUS: &str = include_str!("../../corpus/77ba4fc.txt");
/// A settings file of that build.
const SETTINGS: &str = include_str!("../../corpus/77ba4fc.toml");
/// The environment variable that names the file for the corpus of this build.
const CORPUS_FILE_VARIABLE: &str = "SWIFTSHUNT_CORPUS";
/// The nonce in the keys of the framed record.
const NONCE: u64 = 7;
/// Maximum size of a frame in bytes, small enough to split the record into several frames.
const FRAME_BYTES: usize = 600;

/// Handles each value that has an entry in a corpus.
trait Visitor {
    fn entry<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug;
}

fn encoded(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("cannot encode the value as CBOR");
    bytes
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex(digits: &str) -> Vec<u8> {
    let byte = |at| {
        u8::from_str_radix(&digits[at..at + 2], 16)
            .expect("the entry has a character that is no hexadecimal digit")
    };
    (0..digits.len()).step_by(2).map(byte).collect()
}

/// Parses a corpus into the bytes of its entries, by name.
fn entries(corpus: &str) -> BTreeMap<&str, Vec<u8>> {
    let lines = corpus.lines().filter_map(|line| line.split_once(' '));
    lines
        .map(|(name, digits)| (name, decode_hex(digits)))
        .collect()
}

/// Returns the bytes of an entry of the production corpus.
pub(crate) fn entry(name: &str) -> Vec<u8> {
    entries(CORPUS)
        .remove(name)
        .expect("the corpus has no entry of this name")
}

#[derive(Default)]
struct Writer(String);

impl Writer {
    fn line(&mut self, name: &str, bytes: &[u8]) {
        self.0 += &format!("{name} {}\n", encode_hex(bytes));
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

/// Decodes each entry and compares the result with the expected value.
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

/// Compares the bytes that this build writes with those of the earlier build.
struct Comparison<'c>(BTreeMap<&'c str, Vec<u8>>);

impl Visitor for Comparison<'_> {
    fn entry<T>(&mut self, name: &str, value: T)
    where
        T: Serialize + DeserializeOwned + PartialEq + Debug,
    {
        let before = encode_hex(&self.0[name]);
        assert_eq!(encode_hex(&encoded(&value)), before, "{name}");
    }
}

/// Adds messages with fields that the earlier build does not know, which it must be able to read.
fn write_values_with_new_fields(writer: &mut Writer) {
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
fn entries_of_an_earlier_build_decode_to_the_expected_values() {
    let mut reader = Reader {
        corpus: entries(CORPUS),
        read: 0,
    };
    visit_all(&mut reader);
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
        "the corpus has entries that no test reads"
    );
}

#[test]
fn frames_of_an_earlier_build_are_assembled_into_the_job_record() {
    let mut assembly = Assembly::default();
    let count = framed().len();
    assert!(count > 1);
    for index in 0..count {
        let key = entry(&format!("frame-key-{index}"));
        let value = entry(&format!("frame-{index}"));
        let logical = assembly
            .add_frame::<JobRecord>(key, &value)
            .expect("cannot decode the frame of an earlier build");
        let is_last = index + 1 == count;
        assert_eq!(logical.is_some(), is_last, "frame {index}");
        if let Some(logical) = logical {
            assert_eq!(logical.record, accepted(Some(tenant())));
        }
    }
}

#[test]
fn values_without_new_fields_are_encoded_as_by_an_earlier_build() {
    visit_all(&mut Comparison(entries(CORPUS)));
    for (index, (key, value)) in framed().into_iter().enumerate() {
        assert_eq!(key, entry(&format!("frame-key-{index}")));
        assert_eq!(value, entry(&format!("frame-{index}")));
    }
}

#[test]
fn settings_file_of_an_earlier_build_is_read() {
    let settings = crate::GatewaySettings::parse("77ba4fc.toml", SETTINGS)
        .expect("cannot parse the settings of the earlier build");
    assert_eq!(settings.name, "gateway-0");
    assert_eq!(settings.zone, "zone-a");
    assert!(settings.zones.is_empty());
    assert_eq!(settings.batch.lease, Duration::from_secs(1));
    assert_eq!(settings.log.partitions, 4);
}

#[test]
fn unknown_message_kinds_are_rejected_and_unknown_fields_ignored() {
    let unknown = cbor!({ "Later" => { "what" => 1 } }).expect("cannot build the CBOR value");
    let unknown = encoded(&unknown);
    assert!(ciborium::from_reader::<Notice, _>(unknown.as_slice()).is_err());
    let more = cbor!({ "Reading" => {
        "worker" => "engine-1", "missing" => 250, "parts" => [], "later" => 1
    } });
    let more = encoded(&more.expect("cannot build the CBOR value"));
    let read: Notice = ciborium::from_reader(more.as_slice())
        .expect("cannot decode a notice with an unknown field");
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
    visit_all(&mut writer);
    for (index, (key, value)) in framed().into_iter().enumerate() {
        writer.line(&format!("frame-key-{index}"), &key);
        writer.line(&format!("frame-{index}"), &value);
    }
    write_values_with_new_fields(&mut writer);
    let file =
        std::env::var(CORPUS_FILE_VARIABLE).expect("SWIFTSHUNT_CORPUS is not set to a file name");
    std::fs::write(file, writer.0).expect("cannot write the corpus");
}
