//! Tests that names, digests and shard counts accept exactly the values that they document.

use eelgrassrock_model::shard::Count;
use eelgrassrock_model::{Digest, Name, Service};
use proptest::prelude::*;
use rstest::rstest;

#[rstest]
#[case::plain("lookup")]
#[case::digits("label-11")]
fn accepts_name(#[case] text: &str) {
    let name: Service = text.parse().unwrap();
    assert_eq!(name.as_str(), text);
}

#[rstest]
#[case::empty("")]
#[case::upper("Lookup")]
#[case::slash("a/b")]
#[case::long("aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")]
fn refuses_name(#[case] text: &str) {
    let error = text.parse::<Service>().unwrap_err();
    assert!(error.to_string().contains(text));
}

#[rstest]
#[case(0)]
#[case(3)]
#[case(1 << 21)]
fn refuses_shard_count(#[case] count: u32) {
    assert!(Count::try_from(count).is_err());
}

#[rstest]
#[case::short("ab")]
#[case::not_hex("zz00000000000000000000000000000000000000000000000000000000000000")]
#[case::not_ascii("éé000000000000000000000000000000000000000000000000000000000000")]
fn refuses_digest(#[case] text: &str) {
    assert!(text.parse::<Digest>().is_err());
}

proptest! {
    #[test]
    fn digest_text_round_trips(bytes in prop::array::uniform32(any::<u8>())) {
        let digest = Digest::from_bytes(bytes);
        prop_assert_eq!(digest.to_string().parse::<Digest>(), Ok(digest));
    }

    #[test]
    fn every_key_has_a_shard(key in prop::collection::vec(any::<u8>(), 0..64), bits in 0u32..20) {
        let count = Count::try_from(1 << bits).unwrap();
        prop_assert!(count.shard_of(&key).0 < count.get());
    }
}
