//! Tests the client of the object store against the stand-in, with and without injected faults.

mod support;

use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_standin::Addresses;
use eelgrassrock_standin::fault::Outage;
use eelgrassrock_standin::objects::{Faults, Server};
use eelgrassrock_store::Kind;
use eelgrassrock_store::objects::{self, Client};
use rstest::rstest;
use support::settings;

const CONTENTS: Bytes = Bytes::from_static(b"[bundle]\nversion = 1\n");

async fn start() -> (Server, Client) {
    let server = Server::start(Addresses::free()).await.unwrap();
    let client = Client::new(server.address(), settings());
    (server, client)
}

#[rstest]
#[case::some(CONTENTS)]
#[case::empty(Bytes::new())]
#[tokio::test]
async fn stored_contents_are_read_by_digest(#[case] contents: Bytes) {
    let (_server, client) = start().await;
    assert_eq!(client.get(objects::digest(&contents)).await, Ok(None));
    let digest = client.put(contents.clone()).await.unwrap();
    assert_eq!(client.put(contents.clone()).await, Ok(digest));
    assert_eq!(client.get(digest).await, Ok(Some(contents)));
}

#[tokio::test]
async fn corrupt_contents_are_refused() {
    let (server, client) = start().await;
    let expected = client.put(CONTENTS).await.unwrap();
    server.set_faults(Faults {
        corrupt: true,
        ..Faults::default()
    });
    let kind = client.get(expected).await.unwrap_err().kind;
    assert!(
        matches!(kind, Kind::WrongDigest { expected: e, .. } if e == expected),
        "{kind}"
    );
}

#[tokio::test]
async fn cut_contents_are_refused() {
    let (server, client) = start().await;
    let digest = client.put(CONTENTS).await.unwrap();
    server.set_faults(Faults {
        cut_answers: 1,
        ..Faults::default()
    });
    let kind = client.get(digest).await.unwrap_err().kind;
    assert!(matches!(kind, Kind::Lost(_)), "{kind}");
    assert_eq!(client.get(digest).await, Ok(Some(CONTENTS)));
}

#[rstest]
#[case::refuses(Outage::Refuse, Kind::Busy { retry_after: Duration::from_secs(1) })]
#[case::hangs(Outage::Hang, Kind::Timeout(Duration::from_millis(300)))]
#[tokio::test]
async fn an_outage_is_not_reported_as_absence(#[case] outage: Outage, #[case] kind: Kind) {
    let (server, client) = start().await;
    let digest = client.put(CONTENTS).await.unwrap();
    server.set_faults(Faults {
        outage,
        ..Faults::default()
    });
    assert_eq!(client.get(digest).await.unwrap_err().kind, kind);
    assert_eq!(client.put(CONTENTS).await.unwrap_err().kind, kind);
}
