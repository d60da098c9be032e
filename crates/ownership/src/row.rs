//! Rows of the table: keys, and contents with a format version.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::{Display, Error, From};
use eelgrassrock_model::shard::{Count, Shard};
use eelgrassrock_model::{Epoch, Name, Router, Service, Term, Upstream};
use serde::{Deserialize, Serialize};

/// Number of shards that one row holds.
pub const BLOCK_SHARDS: u32 = 256;

const FORMAT: u32 = 1;
const HOME_PREFIX: &str = "home/";
const SHARDS_PREFIX: &str = "shards/";

/// Error for a row that can't be used.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The value isn't JSON of the expected shape.
    #[display("the value can't be read: {_0}; restore the row by hand")]
    Json(serde_json::Error),
    /// The row was written by a newer version of the program.
    #[display("format {_0} is unknown, format {FORMAT} is supported; upgrade this router")]
    #[from(ignore)]
    Format(#[error(not(source))] u32),
    /// The contents are inconsistent in themselves or with the key.
    #[display("{_0}; restore the row by hand")]
    #[from(ignore)]
    Contents(#[error(not(source))] &'static str),
}

const ACTING_PREFIX: &str = "acting/";

/// Key of a row about ownership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Key {
    /// Home of an upstream.
    Home(Upstream),
    /// Home that continues the term of another router. These rows are never in the table;
    /// the routers exchange them directly.
    Acting(Upstream),
    /// Block of shards of a service, by its index.
    Block(Service, u32),
}

impl Key {
    /// Parses the key of a row. Returns `None` if the row isn't about ownership.
    ///
    /// ```
    /// use eelgrassrock_ownership::row::Key;
    ///
    /// let key = Key::parse("shards/lookup/3").unwrap();
    /// assert_eq!(key.text().as_ref(), "shards/lookup/3");
    /// assert!(Key::parse("bundle/current").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        if let Some(name) = text.strip_prefix(HOME_PREFIX) {
            return name.parse().ok().map(Self::Home);
        }
        if let Some(name) = text.strip_prefix(ACTING_PREFIX) {
            return name.parse().ok().map(Self::Acting);
        }
        let (service, block) = text.strip_prefix(SHARDS_PREFIX)?.split_once('/')?;
        Some(Self::Block(service.parse().ok()?, block.parse().ok()?))
    }

    /// Returns the key as text.
    pub fn text(&self) -> Arc<str> {
        match self {
            Self::Home(upstream) => format!("{HOME_PREFIX}{}", upstream.as_str()).into(),
            Self::Acting(upstream) => format!("{ACTING_PREFIX}{}", upstream.as_str()).into(),
            Self::Block(service, block) => {
                format!("{SHARDS_PREFIX}{}/{block}", service.as_str()).into()
            }
        }
    }

    /// Returns the key prefix of all blocks of a service.
    pub fn blocks_prefix(service: &Service) -> Arc<str> {
        format!("{SHARDS_PREFIX}{}/", service.as_str()).into()
    }

    /// Returns the key prefix of all homes.
    pub fn homes_prefix() -> Arc<str> {
        HOME_PREFIX.into()
    }

    /// Returns the key of the block that holds a shard.
    pub fn of_shard(service: &Service, shard: Shard) -> Self {
        Self::Block(service.clone(), shard.0 / BLOCK_SHARDS)
    }
}

/// Contents of a home row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Home {
    format: u32,
    /// Router that is the home.
    pub router: Router,
    /// Nonce of the router's process, unique for each start.
    pub nonce: Arc<str>,
    /// Address of the router.
    pub address: SocketAddr,
    /// Term of the home, at least 1.
    pub term: Term,
    /// Longest time for which this home or an earlier one may give orders without contact
    /// to the table, in milliseconds.
    pub authority_ms: u64,
    /// Longest lease of this home and the earlier ones, in milliseconds.
    pub lease_ms: u64,
    /// Earlier homes whose authority isn't known to have ended.
    pub priors: Vec<Prior>,
}

/// Earlier home of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prior {
    /// Router that was the home.
    pub router: Router,
    /// Nonce of the router's process. Another process of the same router can't answer for
    /// it.
    pub nonce: Arc<str>,
    /// Address at which the router is asked.
    pub address: SocketAddr,
    /// Last term of the earlier home.
    pub term: Term,
}

impl Home {
    /// Creates the contents for the first term of a home.
    pub fn new(router: Router, nonce: &str, address: SocketAddr) -> Self {
        Self {
            format: FORMAT,
            router,
            nonce: nonce.into(),
            address,
            term: Term(1),
            authority_ms: 0,
            lease_ms: 0,
            priors: Vec::new(),
        }
    }

    /// Parses the value of a row.
    ///
    /// # Errors
    ///
    /// Fails if the format is unknown or the contents are invalid.
    pub fn decode(value: &str) -> Result<Self, Fault> {
        check_format(value)?;
        let home: Self = serde_json::from_str(value)?;
        if home.term == Term(0) {
            return Err(Fault::Contents("the term of a home must be at least 1"));
        }
        Ok(home)
    }

    /// Returns the contents as the value of a row.
    pub fn encode(&self) -> Arc<str> {
        encode(self)
    }

    /// Returns the earlier homes for the row of the router that takes over from this
    /// home.
    pub(crate) fn priors_of_next(&self) -> Vec<Prior> {
        let is_self = |prior: &&Prior| prior.router == self.router && prior.nonce == self.nonce;
        let last = Prior {
            router: self.router.clone(),
            nonce: Arc::clone(&self.nonce),
            address: self.address,
            term: self.term,
        };
        let others = self.priors.iter().filter(|prior| !is_self(prior));
        others.cloned().chain([last]).collect()
    }
}

/// Assignment of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Upstream that owns the shard.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub owner: Option<Upstream>,
    /// Epoch, incremented with every new owner.
    pub epoch: Epoch,
    /// Prior owner, unless it is proven to have released the shard.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prior: Option<Upstream>,
    /// Term of the home of the prior owner that moved the shard away. Homes with an
    /// earlier term can't prove the release.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prior_term: Option<Term>,
}

#[derive(Serialize, Deserialize)]
struct Run {
    count: u32,
    #[serde(flatten)]
    entry: Entry,
}

#[derive(Serialize, Deserialize)]
struct Block {
    format: u32,
    runs: Vec<Run>,
}

/// Returns the number of shards in a block of a service.
pub fn block_len(shards: Count, block: u32) -> u32 {
    shards
        .get()
        .saturating_sub(block.saturating_mul(BLOCK_SHARDS))
        .min(BLOCK_SHARDS)
}

/// Parses the value of a block of `len` shards.
///
/// # Errors
///
/// Fails if the format is unknown or the contents are invalid.
pub fn decode_block(value: &str, len: u32) -> Result<Vec<Entry>, Fault> {
    check_format(value)?;
    let block: Block = serde_json::from_str(value)?;
    let mut entries = Vec::with_capacity(len as usize);
    for run in block.runs {
        check_entry(&run.entry)?;
        if run.count == 0 || run.count > len - entries.len() as u32 {
            return Err(Fault::Contents(
                "the counts of the runs don't add up to the size of the block",
            ));
        }
        entries.extend(std::iter::repeat_n(run.entry, run.count as usize));
    }
    if entries.len() as u32 != len {
        return Err(Fault::Contents(
            "the counts of the runs don't add up to the size of the block",
        ));
    }
    Ok(entries)
}

/// Returns assignments as the value of a block.
///
/// ```
/// use eelgrassrock_ownership::row::{Entry, decode_block, encode_block};
///
/// let entries = vec![Entry::default(); 256];
/// let value = encode_block(&entries);
/// assert_eq!(decode_block(&value, 256).unwrap(), entries);
/// ```
pub fn encode_block(entries: &[Entry]) -> Arc<str> {
    let runs = entries
        .chunk_by(|a, b| a == b)
        .map(|chunk| Run {
            count: chunk.len() as u32,
            entry: chunk[0].clone(),
        })
        .collect();
    encode(&Block {
        format: FORMAT,
        runs,
    })
}

fn encode(contents: &impl Serialize) -> Arc<str> {
    serde_json::to_string(contents)
        .expect("rows have text keys only")
        .into()
}

fn check_format(value: &str) -> Result<(), Fault> {
    #[derive(Deserialize)]
    struct Header {
        format: u32,
    }
    let header: Header = serde_json::from_str(value)?;
    if header.format == FORMAT {
        Ok(())
    } else {
        Err(Fault::Format(header.format))
    }
}

fn check_entry(entry: &Entry) -> Result<(), Fault> {
    if entry.owner.is_some() && entry.epoch == Epoch(0) {
        return Err(Fault::Contents(
            "the epoch of a shard with an owner must be at least 1",
        ));
    }
    if entry.prior.is_some() && entry.prior == entry.owner {
        return Err(Fault::Contents("the prior owner equals the owner"));
    }
    if entry.prior.is_some() != entry.prior_term.is_some() {
        return Err(Fault::Contents(
            "a prior owner must come with the term of its home",
        ));
    }
    if entry.owner.is_none() && entry.prior.is_some() {
        return Err(Fault::Contents(
            "a shard with a prior owner must have an owner",
        ));
    }
    Ok(())
}
