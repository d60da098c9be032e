//! Client of the platform's object store, which addresses contents by their digest.

use std::net::SocketAddr;

use bytes::Bytes;
use eelgrassrock_model::Digest;
use http::{HeaderMap, Method, StatusCode};
use sha2::Digest as _;

use crate::endpoint::{Call, Endpoint};
use crate::settings::Settings;
use crate::{Fault, Kind};

/// Returns the SHA-256 digest by which the store addresses `contents`.
///
/// ```
/// use eelgrassrock_store::objects;
///
/// let digest = objects::digest(b"version = 1");
/// assert_eq!(digest, objects::digest(b"version = 1"));
/// ```
pub fn digest(contents: &[u8]) -> Digest {
    Digest::from_bytes(sha2::Sha256::digest(contents).into())
}

/// Client of the object store.
///
/// ```
/// use eelgrassrock_store::objects::Client;
/// use eelgrassrock_store::settings::Settings;
///
/// # async fn example() -> Result<(), eelgrassrock_store::Fault> {
/// let client = Client::new(([127, 0, 0, 1], 7002).into(), Settings::default());
/// let digest = client.put("version = 1".into()).await?;
/// assert_eq!(client.get(digest).await?, Some("version = 1".into()));
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Client {
    endpoint: Endpoint,
}

impl Client {
    /// Creates a client. It connects when the first call is made.
    pub fn new(address: SocketAddr, settings: Settings) -> Self {
        let endpoint = Endpoint::new(address, settings);
        Self { endpoint }
    }

    /// Stores contents and returns their digest. The call is idempotent, so a
    /// call that failed may be retried.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if the call failed or was refused. The contents may
    /// have been stored nevertheless.
    pub async fn put(&self, contents: Bytes) -> Result<Digest, Fault> {
        let digest = digest(&contents);
        let call = Call {
            method: Method::PUT,
            path: path(digest),
            headers: HeaderMap::new(),
            body: contents,
            timeout: None,
        };
        let answer = self.endpoint.call(&call).await?;
        match answer.status {
            StatusCode::OK | StatusCode::CREATED => Ok(digest),
            _ => Err(self.endpoint.fault(&call, answer.refusal())),
        }
    }

    /// Returns the contents after verifying their digest, or `None` if the
    /// store doesn't have them.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::WrongDigest`] if the received contents have another
    /// digest, and any other [`Fault`] if the call failed.
    pub async fn get(&self, digest: Digest) -> Result<Option<Bytes>, Fault> {
        let call = Call::get(path(digest));
        let answer = self.endpoint.call(&call).await?;
        let result = match answer.status {
            StatusCode::OK => verify(answer.body, digest).map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(answer.refusal()),
        };
        result.map_err(|kind| self.endpoint.fault(&call, kind))
    }
}

fn path(digest: Digest) -> String {
    format!("/v1/objects/{digest}")
}

fn verify(contents: Bytes, expected: Digest) -> Result<Bytes, Kind> {
    let actual = digest(&contents);
    if actual == expected {
        Ok(contents)
    } else {
        Err(Kind::WrongDigest { expected, actual })
    }
}
