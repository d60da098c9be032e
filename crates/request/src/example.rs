//! Small fleet for examples and tests.

use std::time::Duration;

use eelgrassrock_model::fleet::{Fleet, Goal, Partner, Service, Upstream};
use eelgrassrock_model::shard::Count;

const SHARDS: u32 = 64;

/// Longest time that the queue of the example is expected to need.
pub const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Returns a fleet with the upstream `lookup-1`, which has two slots, and the
/// partners `broker` and `chemist` of equal weight.
///
/// ```
/// let fleet = eelgrassrock_request::example::fleet();
/// assert_eq!(fleet.upstreams.len(), 1);
/// ```
pub fn fleet() -> Fleet {
    let service: eelgrassrock_model::Service = "lookup".parse().expect("a valid name");
    let count = Count::try_from(SHARDS).expect("a power of two");
    let mut fleet = Fleet::default();
    let goal = Goal::Availability;
    fleet.services.insert(
        service.clone(),
        Service {
            shards: count,
            goal,
        },
    );
    let upstream = Upstream {
        service,
        data_centre: "kigali-1".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 9000).into(),
        slots: 2,
        connections: 110,
        checks_orders: false,
        checks_idempotency: false,
    };
    fleet
        .upstreams
        .insert("lookup-1".parse().expect("a valid name"), upstream);
    for name in ["broker", "chemist"] {
        let partner = name.parse().expect("a valid name");
        fleet.partners.insert(partner, Partner { weight: 1 });
    }
    fleet
}
