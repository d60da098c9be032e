//! Frames are decoded as they were encoded, and every corrupt frame is refused.

use eelgrassrock_wire::{Fault, Frame, MAX_FRAME_BYTES, Secret};
use proptest::prelude::*;
use rstest::rstest;

fn secret() -> Secret {
    Secret::new(b"a secret of the tests").unwrap()
}

fn frame(text: &str) -> Frame<String> {
    Frame {
        sender: "r1".parse().unwrap(),
        body: text.to_owned(),
    }
}

#[rstest]
fn refuses_other_secret() {
    let bytes = frame("ping").seal(&secret()).unwrap();
    let other = Secret::new(b"another secret, as long").unwrap();
    assert_eq!(
        Frame::<String>::open(&other, &bytes),
        Err(Fault::TagMismatch)
    );
}

#[rstest]
fn refuses_other_version() {
    let mut bytes = frame("ping").seal(&secret()).unwrap();
    bytes[1] = 9;
    assert_eq!(
        Frame::<String>::open(&secret(), &bytes),
        Err(Fault::Version { found: 9 })
    );
}

#[rstest]
fn refuses_frame_over_the_limit() {
    let text = "x".repeat(MAX_FRAME_BYTES);
    assert!(matches!(
        frame(&text).seal(&secret()),
        Err(Fault::TooLong { .. })
    ));
    let bytes = vec![0; MAX_FRAME_BYTES + 1];
    assert!(matches!(
        Frame::<String>::open(&secret(), &bytes),
        Err(Fault::TooLong { .. })
    ));
}

#[rstest]
fn refuses_short_secret() {
    let fault = Secret::new(b"short").unwrap_err();
    assert_eq!(
        fault.to_string(),
        "the secret has 5 bytes, at least 16 are needed"
    );
}

proptest! {
    #[test]
    fn round_trip(text in ".{0,200}") {
        let frame = frame(&text);
        let bytes = frame.seal(&secret()).unwrap();
        prop_assert_eq!(Frame::open(&secret(), &bytes), Ok(frame));
    }

    #[test]
    fn refuses_truncated_frame(text in ".{0,50}", keep in 0.0f64..1.0) {
        let bytes = frame(&text).seal(&secret()).unwrap();
        let length = (bytes.len() as f64 * keep) as usize;
        let opened = Frame::<String>::open(&secret(), &bytes[..length]);
        let is_truncated = matches!(opened, Err(Fault::Truncated { .. }));
        prop_assert!(is_truncated);
    }

    #[test]
    fn refuses_flipped_bit(text in ".{0,50}", byte in any::<prop::sample::Index>(), bit in 0u8..8) {
        let mut bytes = frame(&text).seal(&secret()).unwrap();
        let byte = byte.index(bytes.len());
        bytes[byte] ^= 1 << bit;
        prop_assert!(Frame::<String>::open(&secret(), &bytes).is_err());
    }
}
