//! Contents of large rows on their way between machines: digests, and compressed differences to
//! contents that the receiver has.

use std::io::{self, Read, Write};

use derive_more::{Display, Error, From};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;
use zstd::stream::{read, write};

/// Compression level. The lowest one is the fastest, and differences to the last contents dominate
/// the result.
const LEVEL: i32 = 1;
/// Range of the logarithm of the window, in which repeated bytes are found.
const MIN_WINDOW_LOG: u32 = 10;
const MAX_WINDOW_LOG: u32 = 23;

/// Digest of some contents, by which two machines find out that they have the same.
///
/// ```
/// use eelgrassrock_store::content::Digest;
///
/// assert_eq!(Digest::of(b"routes"), Digest::of(b"routes"));
/// assert_ne!(Digest::of(b"routes"), Digest::of(b"route"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest {
    bytes: u64,
    hash: u64,
}

impl Digest {
    /// Returns the digest of some contents.
    pub fn of(contents: &[u8]) -> Self {
        Self {
            bytes: contents.len() as u64,
            hash: xxh3_64(contents),
        }
    }

    /// Whether this is the digest of these contents.
    pub fn is_of(self, contents: &[u8]) -> bool {
        self.bytes == contents.len() as u64 && self == Self::of(contents)
    }
}

/// Why contents can't be restored.
#[derive(Debug, Display, Error, From)]
pub enum Damage {
    /// The compressed form is invalid.
    #[display("invalid compressed contents: {_0}")]
    Invalid(io::Error),
    /// The contents have another digest.
    #[display("contents with another digest")]
    Different,
}

/// Compresses contents for a receiver that has `base`, which may be empty.
///
/// # Errors
///
/// Fails if the library can't allocate memory.
pub fn compress(contents: &[u8], base: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = write::Encoder::with_ref_prefix(Vec::new(), LEVEL, base)?;
    encoder.window_log(window_log(contents.len() + base.len()))?;
    encoder.long_distance_matching(true)?;
    encoder.set_pledged_src_size(Some(contents.len() as u64))?;
    encoder.write_all(contents)?;
    encoder.finish()
}

/// Restores contents that were compressed for a receiver with `base`.
///
/// ```
/// use eelgrassrock_store::content::{Digest, compress, decompress};
///
/// let (old, new) = (b"route a".as_slice(), b"route a, route b".as_slice());
/// let compressed = compress(new, old)?;
/// let restored = decompress(&compressed, old, Digest::of(new));
/// assert_eq!(restored.unwrap(), new);
/// # Ok::<(), std::io::Error>(())
/// ```
///
/// # Errors
///
/// Returns [`Damage`] if the result doesn't have the expected digest.
pub fn decompress(compressed: &[u8], base: &[u8], digest: Digest) -> Result<Vec<u8>, Damage> {
    let decoder = read::Decoder::with_ref_prefix(compressed, base)?;
    let mut contents = Vec::new();
    // One byte more shows that the contents are too long.
    decoder
        .take(digest.bytes.saturating_add(1))
        .read_to_end(&mut contents)?;
    if digest.is_of(&contents) {
        Ok(contents)
    } else {
        Err(Damage::Different)
    }
}

fn window_log(bytes: usize) -> u32 {
    let least = usize::BITS - bytes.leading_zeros();
    least.clamp(MIN_WINDOW_LOG, MAX_WINDOW_LOG)
}
