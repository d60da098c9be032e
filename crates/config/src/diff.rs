//! Differences between two bundles.

use std::fmt;
use std::hash::Hash;
use std::net::SocketAddr;

use derive_more::Display;
use eelgrassrock_model::{Approver, Partner, Service, Upstream, fleet};
use indexmap::IndexMap;

use crate::bundle::{self, Bundle, Contract};
use crate::route::Route;
use crate::rule::show_span;

/// Old and new state of something that changed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{old} -> {new}")]
pub struct Step<T: fmt::Display> {
    /// State in the first bundle.
    pub old: T,
    /// State in the second bundle.
    pub new: T,
}

/// One difference between two bundles.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Change {
    /// A service appears.
    #[display("service `{_0}` added")]
    ServiceAdded(Service),
    /// A service disappears.
    #[display("service `{_0}` removed")]
    ServiceRemoved(Service),
    /// A service has another number of shards.
    #[display("service `{_0}`: shards {_1}")]
    Shards(Service, Step<u32>),
    /// A service reads its key elsewhere.
    #[display("service `{_0}`: key {_1}")]
    Key(Service, Step<String>),
    /// A service has another goal.
    #[display("service `{_0}`: goal {_1}")]
    Goal(Service, Step<String>),
    /// An upstream appears.
    #[display("upstream `{_0}` added")]
    UpstreamAdded(Upstream),
    /// An upstream appears at the address of one that disappears.
    #[display("upstream `{_0}` added at the address of upstream `{_1}`")]
    AddressTaken(Upstream, Upstream),
    /// An upstream disappears.
    #[display("upstream `{_0}` removed")]
    UpstreamRemoved(Upstream),
    /// An upstream belongs to another service.
    #[display("upstream `{_0}`: service {_1}")]
    UpstreamService(Upstream, Step<Service>),
    /// An upstream has another address.
    #[display("upstream `{_0}`: address {_1}")]
    UpstreamAddress(Upstream, Step<SocketAddr>),
    /// Another property of an upstream differs.
    #[display("upstream `{_0}`: {_1} {_2}")]
    UpstreamProperty(Upstream, &'static str, Step<String>),
    /// A route appears.
    #[display("route {_0} added")]
    RouteAdded(String),
    /// A route disappears.
    #[display("route {_0} removed")]
    RouteRemoved(String),
    /// A property of a route differs.
    #[display("route {_0}: {_1} {_2}")]
    RouteProperty(String, &'static str, Step<String>),
    /// A partner appears.
    #[display("partner `{_0}` added")]
    PartnerAdded(Partner),
    /// A partner disappears.
    #[display("partner `{_0}` removed")]
    PartnerRemoved(Partner),
    /// A partner has another weight.
    #[display("partner `{_0}`: weight {_1}")]
    Weight(Partner, Step<u32>),
    /// A partner has another credential.
    #[display("partner `{_0}`: another credential")]
    Credential(Partner),
    /// An approver appears.
    #[display("approver `{_0}` added")]
    ApproverAdded(Approver),
    /// An approver disappears.
    #[display("approver `{_0}` removed")]
    ApproverRemoved(Approver),
    /// An approver has another public key.
    #[display("approver `{_0}`: another public key")]
    PublicKey(Approver),
    /// The next roll needs another number of approvals.
    #[display("required approvals {_0}")]
    RequiredApprovals(Step<usize>),
}

impl Change {
    /// Returns why the change isn't allowed from one version to the next,
    /// `None` if it is allowed.
    ///
    /// For some seconds routers with either version run side by side. A change
    /// is refused if they could then disagree about the owner of a key.
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
            Self::AddressTaken(..) => Some(
                "one server would be granted shards under two names; remove it a version before",
            ),
            _ => None,
        }
    }
}

/// Returns what `new` changes in `old`.
pub fn diff(old: &Bundle, new: &Bundle) -> Vec<Change> {
    let mut changes = Vec::new();
    let steps = pair_up(&old.services, &new.services);
    changes.extend(
        steps
            .into_iter()
            .flat_map(|(name, side)| service(name, side)),
    );
    let steps = pair_up(&old.upstreams, &new.upstreams);
    changes.extend(
        steps
            .into_iter()
            .flat_map(|(name, side)| upstream(name, side, old)),
    );
    let (old_routes, new_routes) = (routes(old), routes(new));
    let steps = pair_up(&old_routes, &new_routes);
    changes.extend(steps.into_iter().flat_map(|(name, side)| route(name, side)));
    let steps = pair_up(&old.partners, &new.partners);
    changes.extend(
        steps
            .into_iter()
            .flat_map(|(name, side)| partner(name, side)),
    );
    let steps = pair_up(&old.approvers, &new.approvers);
    changes.extend(
        steps
            .into_iter()
            .flat_map(|(name, side)| approver(name, side)),
    );
    let required = step(old.required_approvals, new.required_approvals);
    changes.extend(required.map(Change::RequiredApprovals));
    changes
}

/// Sides of a comparison on which a name exists.
enum Side<'a, T> {
    Old,
    New(&'a T),
    Both(&'a T, &'a T),
}

fn pair_up<'a, K: Eq + Hash, V>(
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

fn step<T: fmt::Display + PartialEq>(old: T, new: T) -> Option<Step<T>> {
    (old != new).then_some(Step { old, new })
}

fn service(name: &Service, side: Side<'_, bundle::Service>) -> Vec<Change> {
    let name = || name.clone();
    match side {
        Side::Old => vec![Change::ServiceRemoved(name())],
        Side::New(_) => vec![Change::ServiceAdded(name())],
        Side::Both(old, new) => {
            let shards = step(old.shards.get(), new.shards.get());
            let key = step(old.key.to_string(), new.key.to_string());
            let goal = step(show_goal(old.goal), show_goal(new.goal));
            let shards = shards.map(|step| Change::Shards(name(), step));
            let key = key.map(|step| Change::Key(name(), step));
            let goal = goal.map(|step| Change::Goal(name(), step));
            shards.into_iter().chain(key).chain(goal).collect()
        }
    }
}

fn show_goal(goal: fleet::Goal) -> String {
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
        Some((other, _)) => Change::AddressTaken(name.clone(), other.clone()),
        None => Change::UpstreamAdded(name.clone()),
    }
}

fn changed_upstream(name: &Upstream, old: &fleet::Upstream, new: &fleet::Upstream) -> Vec<Change> {
    let service = step(old.service.clone(), new.service.clone());
    let service = service.map(|step| Change::UpstreamService(name.clone(), step));
    let address = step(old.address, new.address);
    let address = address.map(|step| Change::UpstreamAddress(name.clone(), step));
    let properties = upstream_properties(old)
        .into_iter()
        .zip(upstream_properties(new));
    let properties = properties.filter_map(|((key, old), (_, new))| {
        step(old, new).map(|step| Change::UpstreamProperty(name.clone(), key, step))
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
        ("checks-orders", show_bool(upstream.checks_orders)),
        ("checks-idempotency", show_bool(upstream.checks_idempotency)),
    ]
}

fn show_bool(value: bool) -> String {
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
                step(old, new).map(|step| Change::RouteProperty(name.to_owned(), key, step))
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
        fleet::Patience::Prompt(span) => format!("prompt {}", show_span(span)),
    };
    [
        ("name", class.name.to_string()),
        ("service", route.service.to_string()),
        ("repeat", repeat.to_owned()),
        ("patience", patience),
        ("deadline", show_span(class.deadline)),
        (
            "needs-idempotency-key",
            show_bool(class.needs_idempotency_key),
        ),
    ]
}

fn partner(name: &Partner, side: Side<'_, Contract>) -> Vec<Change> {
    match side {
        Side::Old => vec![Change::PartnerRemoved(name.clone())],
        Side::New(_) => vec![Change::PartnerAdded(name.clone())],
        Side::Both(old, new) => {
            let weight = step(old.weight, new.weight);
            let weight = weight.map(|step| Change::Weight(name.clone(), step));
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
