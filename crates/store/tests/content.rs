//! Compressed contents, and differences to earlier ones.

use eelgrassrock_store::content::{Digest, compress, decompress};
use proptest::prelude::*;

/// Returns routes with names of their own.
fn routes(count: usize) -> Vec<u8> {
    let route = |number: usize| {
        let name = Digest::of(&number.to_le_bytes());
        format!("[\"{name:?}\",\"sheets.example\",\"safe\",\"1500ms\",2,null,2]")
    };
    let routes: Vec<String> = (0..count).map(route).collect();
    routes.join(",").into_bytes()
}

#[test]
fn a_small_change_of_large_contents_takes_few_bytes() {
    let old = routes(4_200);
    let mut new = old.clone();
    let middle = new.len() / 2;
    new[middle] ^= 1;
    let difference = compress(&new, &old).unwrap();
    assert!(difference.len() < 1_000, "{}", difference.len());
    assert_eq!(
        decompress(&difference, &old, Digest::of(&new)).unwrap(),
        new
    );
}

#[test]
fn more_routes_cost_little_more_than_themselves() {
    let [old, new, added] = [2_800, 4_200, 1_400].map(routes);
    let difference = compress(&new, &old).unwrap().len();
    let alone = compress(&added, &[]).unwrap().len();
    assert!(difference < 2 * alone, "{difference}, {alone}");
}

#[test]
fn a_receiver_with_another_base_notices() {
    let [old, new] = [100, 200].map(routes);
    let difference = compress(&new, &old).unwrap();
    assert!(decompress(&difference, &routes(99), Digest::of(&new)).is_err());
    assert!(decompress(&difference, &old, Digest::of(&old)).is_err());
    assert!(decompress(&difference[1..], &old, Digest::of(&new)).is_err());
}

proptest! {
    #[test]
    fn contents_come_back_from_any_base(contents: Vec<u8>, base: Vec<u8>) {
        let compressed = compress(&contents, &base).unwrap();
        let restored = decompress(&compressed, &base, Digest::of(&contents)).unwrap();
        prop_assert_eq!(restored, contents);
    }

    #[test]
    fn damaged_bytes_give_an_error_or_the_contents(
        contents: Vec<u8>,
        damaged: Vec<u8>,
    ) {
        if let Ok(restored) = decompress(&damaged, &[], Digest::of(&contents)) {
            prop_assert_eq!(restored, contents);
        }
    }
}
