//! Differences between two bundles.

use std::fmt;
use std::hash::Hash;
use std::net::SocketAddr;

use derive_more::Display;
use eelgrassrock_model::{Approver, Partner, Service, Upstream, fleet};
use indexmap::IndexMap;

use crate::bundle::{self, Bundle, Contract};
use crate::route::Route;
use crate::rule::format_duration;

/// Old and new value of a property that differs.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{old} -> {new}")]
pub struct Transition<T: fmt::Display> {
    /// Value in the old bundle.
    pub old: T,
    /// Value in the new bundle.
    pub new: T,
}

/// One difference between two bundles.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Change {
    /// The new bundle adds a service.
    #[display("service `{_0}` added")]
    ServiceAdded(Service),
    /// The new bundle removes a service.
    #[display("service `{_0}` removed")]
    ServiceRemoved(Service),
    /// The number of shards of a service differs.
    #[display("service `{_0}`: shards {_1}")]
    Shards(Service, Transition<u32>),
    /// A service reads its key from another part of the request.
    #[display("service `{_0}`: key {_1}")]
    Key(Service, Transition<String>),
    /// The placement goal of a service differs.
    #[display("service `{_0}`: goal {_1}")]
    Goal(Service, Transition<String>),
    /// The new bundle adds an upstream.
    #[display("upstream `{_0}` added")]
    UpstreamAdded(Upstream),
    /// The new bundle adds an upstream at the address of an upstream in the old bundle.
    #[display("upstream `{_0}` added at the address of upstream `{_1}`")]
    AddressReused(Upstream, Upstream),
    /// The new bundle removes an upstream.
    #[display("upstream `{_0}` removed")]
    UpstreamRemoved(Upstream),
    /// An upstream moves to another service.
    #[display("upstream `{_0}`: service {_1}")]
    UpstreamService(Upstream, Transition<Service>),
    /// The address of an upstream differs.
    #[display("upstream `{_0}`: address {_1}")]
    UpstreamAddress(Upstream, Transition<SocketAddr>),
    /// Another property of an upstream differs.
    #[display("upstream `{_0}`: {_1} {_2}")]
    UpstreamProperty(Upstream, &'static str, Transition<String>),
    /// The new bundle adds a route.
    #[display("route {_0} added")]
    RouteAdded(String),
    /// The new bundle removes a route.
    #[display("route {_0} removed")]
    RouteRemoved(String),
    /// A property of a route differs.
    #[display("route {_0}: {_1} {_2}")]
    RouteProperty(String, &'static str, Transition<String>),
    /// The new bundle adds a partner.
    #[display("partner `{_0}` added")]
    PartnerAdded(Partner),
    /// The new bundle removes a partner.
    #[display("partner `{_0}` removed")]
    PartnerRemoved(Partner),
    /// The weight of a partner differs.
    #[display("partner `{_0}`: weight {_1}")]
    Weight(Partner, Transition<u32>),
    /// The credential of a partner differs. Neither digest is shown.
    #[display("partner `{_0}`: another credential")]
    Credential(Partner),
    /// The new bundle adds an approver.
    #[display("approver `{_0}` added")]
    ApproverAdded(Approver),
    /// The new bundle removes an approver.
    #[display("approver `{_0}` removed")]
    ApproverRemoved(Approver),
    /// The public key of an approver differs.
    #[display("approver `{_0}`: another public key")]
    PublicKey(Approver),
    /// The number of approvals that the next bundle needs differs.
    #[display("required approvals {_0}")]
    RequiredApprovals(Transition<usize>),
}

impl Change {
    /// Returns why a roll must not make this change, or `None` if it may.
    ///
    /// During a roll, routers with the old and the new version run side by side
    /// for some seconds. A change is refused if these routers could then
    /// disagree about the owner of a key.
    pub fn refusal(&self) -> Option<&'static str> {
        match self {
            Self::Shards(..) => Some("keys would change their shard; use a service of a new name"),
            Self::Key(..) => Some("requests would change their key; use a service of a new name"),
            Self::UpstreamService(..) => {
                Some("it may still own shards of the old service; use a new name and address")
            }
            Self::UpstreamAddress(..) => {
                Some("two servers would own the same shards; add an upstream of a new name")
            }
            Self::AddressReused(..) => Some(
                "one server would be granted shards under two names; remove it a version before",
            ),
            _ => None,
        }
    }
}

/// Returns the changes from `old` to `new`, other than that of the version.
pub fn diff(old: &Bundle, new: &Bundle) -> Vec<Change> {
    let mut changes = Vec::new();
    let pairs = pair_by_key(&old.services, &new.services);
    changes.extend(
        pairs
            .into_iter()
            .flat_map(|(name, side)| service(name, side)),
    );
    let pairs = pair_by_key(&old.upstreams, &new.upstreams);
    changes.extend(
        pairs
            .into_iter()
            .flat_map(|(name, side)| upstream(name, side, old)),
    );
    let (old_routes, new_routes) = (routes(old), routes(new));
    let pairs = pair_by_key(&old_routes, &new_routes);
    changes.extend(pairs.into_iter().flat_map(|(name, side)| route(name, side)));
    let pairs = pair_by_key(&old.partners, &new.partners);
    changes.extend(
        pairs
            .into_iter()
            .flat_map(|(name, side)| partner(name, side)),
    );
    let pairs = pair_by_key(&old.approvers, &new.approvers);
    changes.extend(
        pairs
            .into_iter()
            .flat_map(|(name, side)| approver(name, side)),
    );
    let required = transition(old.required_approvals, new.required_approvals);
    changes.extend(required.map(Change::RequiredApprovals));
    changes
}

/// Bundles that contain a name: only the old one, only the new one, or both.
enum Side<'a, T> {
    Old,
    New(&'a T),
    Both(&'a T, &'a T),
}

fn pair_by_key<'a, K: Eq + Hash, V>(
    old: &'a IndexMap<K, V>,
    new: &'a IndexMap<K, V>,
) -> Vec<(&'a K, Side<'a, V>)> {
    let kept = old.iter().map(|(key, value)| match new.get(key) {
        Some(other) => (key, Side::Both(value, other)),
        None => (key, Side::Old),
    });
    let added = new.iter().filter(|(key, _)| !old.contains_key(*key));
    let added = added.map(|(key, value)| (key, Side::New(value)));
    kept.chain(added).collect()
}

fn transition<T: fmt::Display + PartialEq>(old: T, new: T) -> Option<Transition<T>> {
    (old != new).then_some(Transition { old, new })
}

fn service(name: &Service, side: Side<'_, bundle::Service>) -> Vec<Change> {
    let name = || name.clone();
    match side {
        Side::Old => vec![Change::ServiceRemoved(name())],
        Side::New(_) => vec![Change::ServiceAdded(name())],
        Side::Both(old, new) => {
            let shards = transition(old.shards.get(), new.shards.get());
            let key = transition(old.key.to_string(), new.key.to_string());
            let goal = transition(format_goal(old.goal), format_goal(new.goal));
            let shards = shards.map(|transition| Change::Shards(name(), transition));
            let key = key.map(|transition| Change::Key(name(), transition));
            let goal = goal.map(|transition| Change::Goal(name(), transition));
            shards.into_iter().chain(key).chain(goal).collect()
        }
    }
}

fn format_goal(goal: fleet::Goal) -> String {
    match goal {
        fleet::Goal::Availability => "availability".to_owned(),
        fleet::Goal::Balance => "balance".to_owned(),
    }
}

fn upstream(name: &Upstream, side: Side<'_, fleet::Upstream>, bundle: &Bundle) -> Vec<Change> {
    match side {
        Side::Old => vec![Change::UpstreamRemoved(name.clone())],
        Side::New(new) => vec![added_upstream(name, new, bundle)],
        Side::Both(old, new) => changed_upstream(name, old, new),
    }
}

fn added_upstream(name: &Upstream, new: &fleet::Upstream, old: &Bundle) -> Change {
    let mut others = old.upstreams.iter();
    match others.find(|(_, other)| other.address == new.address) {
        Some((other, _)) => Change::AddressReused(name.clone(), other.clone()),
        None => Change::UpstreamAdded(name.clone()),
    }
}

fn changed_upstream(name: &Upstream, old: &fleet::Upstream, new: &fleet::Upstream) -> Vec<Change> {
    let service = transition(old.service.clone(), new.service.clone());
    let service = service.map(|transition| Change::UpstreamService(name.clone(), transition));
    let address = transition(old.address, new.address);
    let address = address.map(|transition| Change::UpstreamAddress(name.clone(), transition));
    let properties = upstream_properties(old)
        .into_iter()
        .zip(upstream_properties(new));
    let properties = properties.filter_map(|((key, old), (_, new))| {
        transition(old, new)
            .map(|transition| Change::UpstreamProperty(name.clone(), key, transition))
    });
    service
        .into_iter()
        .chain(address)
        .chain(properties)
        .collect()
}

fn upstream_properties(upstream: &fleet::Upstream) -> [(&'static str, String); 5] {
    [
        ("data-centre", upstream.data_centre.to_string()),
        ("slots", upstream.slots.to_string()),
        ("connections", upstream.connections.to_string()),
        ("checks-orders", format_bool(upstream.checks_orders)),
        (
            "checks-idempotency",
            format_bool(upstream.checks_idempotency),
        ),
    ]
}

fn format_bool(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}

fn routes(bundle: &Bundle) -> IndexMap<String, &Route> {
    let named = |route: &Route| format!("`{} {}`", route.method, route.prefix);
    bundle.routes().map(|route| (named(route), route)).collect()
}

fn route(name: &str, side: Side<'_, &Route>) -> Vec<Change> {
    match side {
        Side::Old => vec![Change::RouteRemoved(name.to_owned())],
        Side::New(_) => vec![Change::RouteAdded(name.to_owned())],
        Side::Both(old, new) => {
            let properties = route_properties(old).into_iter().zip(route_properties(new));
            let properties = properties.filter_map(|((key, old), (_, new))| {
                transition(old, new)
                    .map(|transition| Change::RouteProperty(name.to_owned(), key, transition))
            });
            properties.collect()
        }
    }
}

fn route_properties(route: &Route) -> [(&'static str, String); 6] {
    let class = &route.class;
    let repeat = match class.repeat {
        fleet::Repeat::Idempotent => "idempotent",
        fleet::Repeat::Once => "once",
    };
    let patience = match class.patience {
        fleet::Patience::Wait => "wait".to_owned(),
        fleet::Patience::Prompt(span) => format!("prompt {}", format_duration(span)),
    };
    [
        ("name", class.name.to_string()),
        ("service", route.service.to_string()),
        ("repeat", repeat.to_owned()),
        ("patience", patience),
        ("deadline", format_duration(class.deadline)),
        (
            "needs-idempotency-key",
            format_bool(class.needs_idempotency_key),
        ),
    ]
}

fn partner(name: &Partner, side: Side<'_, Contract>) -> Vec<Change> {
    match side {
        Side::Old => vec![Change::PartnerRemoved(name.clone())],
        Side::New(_) => vec![Change::PartnerAdded(name.clone())],
        Side::Both(old, new) => {
            let weight = transition(old.weight, new.weight);
            let weight = weight.map(|transition| Change::Weight(name.clone(), transition));
            let differs = old.credential != new.credential;
            let credential = differs.then(|| Change::Credential(name.clone()));
            weight.into_iter().chain(credential).collect()
        }
    }
}

fn approver(name: &Approver, side: Side<'_, ed25519_dalek::VerifyingKey>) -> Vec<Change> {
    match side {
        Side::Old => vec![Change::ApproverRemoved(name.clone())],
        Side::New(_) => vec![Change::ApproverAdded(name.clone())],
        Side::Both(old, new) if old != new => vec![Change::PublicKey(name.clone())],
        Side::Both(..) => Vec::new(),
    }
}
