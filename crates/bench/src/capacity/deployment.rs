//! Synthetic fleets and bundles with one service, one partner and any number of upstreams.

use eelgrassrock_model::fleet::{Fleet, Goal, Partner, Service, Upstream};
use eelgrassrock_model::shard::Count;
use eelgrassrock_model::{Name, Version};

use super::names;

/// Average number of shards that an upstream owns.
pub(crate) const SHARDS_PER_UPSTREAM: usize = 32;

pub(crate) fn upstream(number: usize) -> eelgrassrock_model::Upstream {
    names::name("lookup", number)
}

pub(crate) fn service() -> eelgrassrock_model::Service {
    "lookup"
        .parse()
        .unwrap_or_else(|_| unreachable!("the name is valid"))
}

/// Returns a fleet of one service with the given number of upstreams, which must be a power
/// of two.
pub(crate) fn fleet(upstreams: usize) -> Fleet {
    let shards = Count::try_from((upstreams * SHARDS_PER_UPSTREAM) as u32);
    let shards = shards.unwrap_or_else(|_| unreachable!("the count is an allowed power of two"));
    let mut fleet = Fleet {
        version: Version(1),
        ..Fleet::default()
    };
    fleet.services.insert(
        service(),
        Service {
            shards,
            goal: Goal::Availability,
        },
    );
    for number in 0..upstreams {
        let declared = Upstream {
            service: service(),
            data_centre: names::data_centre(),
            address: names::address(number),
            slots: 4,
            connections: 55,
            checks_orders: true,
            checks_idempotency: false,
        };
        fleet.upstreams.insert(upstream(number), declared);
    }
    fleet
        .partners
        .insert(names::name("partner", 1), Partner { weight: 1 });
    fleet
}

/// Returns the text of a bundle with the given number of upstreams, rounded up to a power of
/// two.
pub(crate) fn bundle_text(upstreams: usize, version: u64, weight: u32) -> String {
    let upstreams = upstreams.next_power_of_two();
    let shards = upstreams * SHARDS_PER_UPSTREAM;
    let service = service();
    let mut text = format!(
        "[bundle]\nversion = {version}\nreplaces = {}\n[service {name}]\nshards = {shards}\n\
         key = segment 2\n[route {name}]\nservice = {name}\nmethod = GET\npath = /lookups\n\
         repeat = idempotent\npatience = wait\ndeadline = 10 s\n\
         [partner partner-1]\nweight = {weight}\ncredential-sha256 = {:064x}\n\
         [approvals]\nrequired = 1\n",
        version - 1,
        1,
        name = service.as_str(),
    );
    for number in 0..upstreams {
        let [_, a, b, c] = (number as u32).to_be_bytes();
        text += &format!(
            "[upstream lookup-{number}]\nservice = lookup\ndata-centre = region-1-centre-1\n\
             address = 10.{a}.{b}.{c}:80\nslots = 4\nconnections = 55\nchecks-orders = yes\n"
        );
    }
    text
}
