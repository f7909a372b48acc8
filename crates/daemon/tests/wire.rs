//! Messages between instances survive their codec.

use std::collections::BTreeSet;
use std::pin::Pin;

use bluebellstage_core::catalogue::{
    AdapterEntry, CatalogueMessage, Change, ChangeRequest, WorkClass,
};
use bluebellstage_core::{AdapterVersion, PeerMessage, Revision, Tokens};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};
use tarpc::tokio_util::bytes::BytesMut;

fn round_trip(message: &PeerMessage) -> PeerMessage {
    let mut codec = Bincode::<PeerMessage, PeerMessage>::default();
    let bytes = Pin::new(&mut codec).serialize(message).unwrap();
    Pin::new(&mut codec)
        .deserialize(&BytesMut::from(&*bytes))
        .unwrap()
}

fn push_of(also: BTreeSet<AdapterVersion>) -> PeerMessage {
    let adapter = AdapterEntry {
        id: "letters".parse().unwrap(),
        owner: "kochi".parse().unwrap(),
        base_model: "base".parse().unwrap(),
        current: AdapterVersion(2),
        also,
        class: WorkClass::Urgent,
        max_answer: Tokens(100),
    };
    PeerMessage::Catalogue(CatalogueMessage::Push {
        revision: Revision(7),
        change: ChangeRequest {
            id: "change-1".parse().unwrap(),
            expected: None,
            changes: vec![Change::PutAdapter(adapter)],
        },
    })
}

/// A change of the catalogue took until the next read of the platform to reach other instances, and
/// their connections broke: the push left out a field that was empty, and a codec that names no
/// fields can't skip one.
#[test]
fn a_pushed_adapter_without_earlier_versions_arrives() {
    let message = push_of(BTreeSet::new());
    assert_eq!(round_trip(&message), message);
}

#[test]
fn a_pushed_adapter_with_earlier_versions_arrives() {
    let message = push_of(BTreeSet::from([AdapterVersion(1)]));
    assert_eq!(round_trip(&message), message);
}
