//! Tests the client of the list of VMs against the stand-in, with and without injected faults.

mod support;

use eelgrassrock_standin::Addresses;
use eelgrassrock_standin::fault::Outage;
use eelgrassrock_standin::vms::{Faults, Server, Vm};
use eelgrassrock_store::Kind;
use eelgrassrock_store::vms::{Client, Role, State};
use rstest::rstest;
use support::settings;

const HOUR_MS: u64 = 3_600_000;

async fn start() -> (Server, Client) {
    let server = Server::start(Addresses::free()).await.unwrap();
    let client = Client::new(server.address(), settings());
    (server, client)
}

fn vm(name: &str, kind: &str) -> Vm {
    Vm {
        name: name.into(),
        address: "127.0.0.1:8001".into(),
        data_centre: "kigali-1".into(),
        kind: kind.into(),
        state: "leaving".into(),
    }
}

fn list(vms: Vec<Vm>) -> Faults {
    Faults {
        vms: Some(vms),
        ..Faults::default()
    }
}

#[tokio::test]
async fn lists_routers_and_upstreams() {
    let (server, client) = start().await;
    assert_eq!(client.list().await, Ok(Vec::new()));
    server.set_faults(list(vec![vm("a", "router"), vm("a", "upstream")]));
    let vms = client.list().await.unwrap();
    assert_eq!(vms[0].role, Role::Router("a".parse().unwrap()));
    assert_eq!(vms[1].role, Role::Upstream("a".parse().unwrap()));
    assert_eq!(vms[1].state, State::Leaving);
}

#[tokio::test]
async fn a_lagging_list_has_the_earlier_entries() {
    let (server, client) = start().await;
    server.set_faults(list(vec![vm("a", "router")]));
    server.set_faults(Faults {
        lag_ms: HOUR_MS,
        ..list(Vec::new())
    });
    assert_eq!(client.list().await.unwrap().len(), 1);
}

#[rstest]
#[case::unknown_kind(vec![vm("a", "balancer")])]
#[case::bad_name(vec![vm("A!", "router")])]
#[case::no_name(vec![vm("", "upstream")])]
#[case::twice(vec![vm("a", "router"), vm("a", "router")])]
#[case::host_name(vec![Vm { address: "localhost:8001".into(), ..vm("a", "router") }])]
#[case::unknown_state(vec![Vm { state: "asleep".into(), ..vm("a", "router") }])]
#[tokio::test]
async fn an_invalid_entry_makes_the_list_malformed(#[case] vms: Vec<Vm>) {
    let (server, client) = start().await;
    server.set_faults(list(vms));
    let kind = client.list().await.unwrap_err().kind;
    assert!(matches!(kind, Kind::Malformed(_)), "{kind}");
}

#[tokio::test]
async fn an_outage_is_not_reported_as_an_empty_list() {
    let (server, client) = start().await;
    server.set_faults(Faults {
        outage: Outage::Close,
        ..list(Vec::new())
    });
    let kind = client.list().await.unwrap_err().kind;
    assert!(matches!(kind, Kind::Lost(_)), "{kind}");
}
