//! Bundles: the services, upstreams, routes, partners and approvers of a deployment.

use std::fmt;
use std::sync::Arc;

use ed25519_dalek::VerifyingKey;
use eelgrassrock_model::{Approver, Digest, Partner, Upstream, Version, fleet, shard};
use http::{HeaderMap, Method, Uri};
use indexmap::IndexMap;
use sha2::{Digest as _, Sha256};

use crate::fault::Report;
use crate::key;
use crate::route::{Match, Refusal, Route, Routes};

mod read;
mod rules;

/// Bundle that has been parsed and validated as a whole.
#[derive(Clone, PartialEq)]
pub struct Bundle {
    pub(crate) text: Arc<str>,
    pub(crate) digest: Digest,
    pub(crate) version: Version,
    pub(crate) services: IndexMap<eelgrassrock_model::Service, Service>,
    pub(crate) routes: Routes,
    pub(crate) upstreams: IndexMap<Upstream, fleet::Upstream>,
    pub(crate) partners: IndexMap<Partner, Contract>,
    pub(crate) credentials: IndexMap<Digest, Partner>,
    pub(crate) approvers: IndexMap<Approver, VerifyingKey>,
    pub(crate) required_approvals: usize,
}

/// Service as a bundle declares it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Number of shards.
    pub shards: shard::Count,
    /// Property that placement optimises.
    pub goal: fleet::Goal,
    /// Part of a request that holds its key.
    pub key: key::Source,
}

/// Terms that a bundle declares for one partner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contract {
    /// Relative share of the slots compared with other partners.
    pub weight: u32,
    /// SHA-256 digest of the credential.
    pub credential: Digest,
}

/// Returns the SHA-256 digest of `bytes`.
///
/// ```
/// use eelgrassrock_config::bundle;
///
/// let digest = bundle::digest_of(b"");
/// assert!(digest.to_string().starts_with("e3b0c442"));
/// ```
pub fn digest_of(bytes: &[u8]) -> Digest {
    Digest::from_bytes(Sha256::digest(bytes).into())
}

impl Bundle {
    /// Parses and validates a bundle. `file` is the file name that reports show.
    ///
    /// # Errors
    ///
    /// Returns a report of all faults in the text.
    ///
    /// ```
    /// use eelgrassrock_config::bundle::Bundle;
    ///
    /// let report = Bundle::parse("fleet.ini", "[bundle]\nversion = 0").unwrap_err();
    /// assert!(report.to_string().contains("fleet.ini:2: [bundle] version `0`"));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Report> {
        read::parse(file, text)
    }

    /// Returns the source text of the bundle.
    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    /// Returns the SHA-256 digest of the source text.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the version, at least 1.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the version that this bundle replaces: zero for the first bundle.
    pub fn replaces(&self) -> Version {
        Version(self.version.0 - 1)
    }

    /// Returns the services by name.
    pub fn services(&self) -> &IndexMap<eelgrassrock_model::Service, Service> {
        &self.services
    }

    /// Returns the routes, those with the longest prefix first.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.iter()
    }

    /// Returns the approvers and their public keys.
    pub fn approvers(&self) -> &IndexMap<Approver, VerifyingKey> {
        &self.approvers
    }

    /// Returns the number of approvals that the next bundle needs to replace this one.
    pub fn required_approvals(&self) -> usize {
        self.required_approvals
    }

    /// Returns the services, upstreams and partners in the form that placement and dispatch use.
    pub fn fleet(&self) -> fleet::Fleet {
        let service = |service: &Service| fleet::Service {
            shards: service.shards,
            goal: service.goal,
        };
        let partner = |contract: &Contract| fleet::Partner {
            weight: contract.weight,
        };
        fleet::Fleet {
            version: self.version,
            services: map_values(&self.services, service),
            upstreams: self.upstreams.clone(),
            partners: map_values(&self.partners, partner),
        }
    }

    /// Finds the route with the method of a request and the longest matching
    /// prefix of its path, and reads the key of the request.
    ///
    /// # Errors
    ///
    /// Returns the reason if no route matches or the request has no usable key.
    pub fn route(&self, method: &Method, uri: &Uri, headers: &HeaderMap) -> Result<Match, Refusal> {
        self.routes.find(&self.services, method, uri, headers)
    }

    /// Returns the partner that a credential belongs to.
    ///
    /// The lookup compares digests, so its timing reveals nothing about the
    /// credential.
    pub fn partner(&self, credential: &[u8]) -> Option<&Partner> {
        self.credentials.get(&digest_of(credential))
    }
}

impl fmt::Debug for Bundle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Bundle")
            .field("version", &self.version)
            .field("digest", &self.digest)
            .finish_non_exhaustive()
    }
}

fn map_values<K, V, W>(map: &IndexMap<K, V>, convert: impl Fn(&V) -> W) -> IndexMap<K, W>
where
    K: Clone + Eq + std::hash::Hash,
{
    let pairs = map.iter();
    pairs
        .map(|(key, value)| (key.clone(), convert(value)))
        .collect()
}
