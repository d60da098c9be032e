//! Carries out what the machines for members, news and bundles ask for, and
//! hands them what arrives.

use std::sync::Arc;

use eelgrassrock_config::roll;
use eelgrassrock_membership::{adoption, member, spread};
use eelgrassrock_model::table::{Operation, Row};
use eelgrassrock_model::{Digest, Version};
use eelgrassrock_ownership as ownership;
use eelgrassrock_store::{Fault, Kind};
use eelgrassrock_telemetry::metrics::Counter;
use serde::Serialize;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::judge::{Judgement, judge};
use crate::mesh::{self, Chore};
use crate::message::{Envelope, Message};
use crate::node::Node;
use crate::store;

/// Log line of something that was refused.
#[derive(Serialize)]
struct Refused<'a> {
    what: &'a str,
    reason: String,
}

/// Carries out the chores in order. Never returns.
pub(crate) async fn run(node: Arc<Node>, mut chores: UnboundedReceiver<Chore>) {
    while let Some(chore) = chores.recv().await {
        match chore {
            Chore::Member(action) => carry_out_member(&node, action),
            Chore::Spread(action) => carry_out_spread(&node, action),
            Chore::Adoption(action) => carry_out_adoption(&node, action),
        }
    }
}

fn carry_out_member(node: &Arc<Node>, action: member::Action) {
    match action {
        member::Action::Send { to, message } => {
            node.post.send_datagram(to, Message::Member(message));
        }
        member::Action::Changed(live) => change_members(node, &live),
        member::Action::NewsDiffer { peer } => {
            node.mesh.step_spread(spread::Event::Differ { peer });
        }
        member::Action::Decide(decision) => node.logger.decide("membership", &decision),
    }
}

/// Tells all machines of the live routers.
pub(crate) fn change_members(node: &Node, live: &[member::Live]) {
    let addresses = mesh::addresses(live);
    node.post.retain(&addresses);
    let hops: Vec<_> = addresses.iter().copied().map(crate::hop::address).collect();
    node.links.retain_routers(&hops);
    node.mesh.step_spread(spread::Event::Members(live.to_vec()));
    node.mesh
        .step_adoption(adoption::Event::Members(live.to_vec()));
    let member = |live: &member::Live| ownership::Member {
        router: live.router.clone(),
        data_centre: live.data_centre.clone(),
        address: live.address,
    };
    node.keeper
        .step(ownership::Event::Members(live.iter().map(member).collect()));
}

fn carry_out_spread(node: &Arc<Node>, action: spread::Action) {
    match action {
        spread::Action::Send { to, message } => node.post.send(to, Message::Spread(message)),
        spread::Action::Learned { news, from } => learn(node, &news, from),
        spread::Action::Digest(digest) => node.mesh.step_member(member::Event::News(digest)),
        spread::Action::Decide(decision) => {
            node.logger
                .log(eelgrassrock_telemetry::log::Level::Debug, "news", &decision);
        }
    }
}

fn learn(node: &Node, news: &spread::News, from: std::net::SocketAddr) {
    let Some(row) = mesh::row(news) else {
        return refuse(node, &news.key, "the news are not a row".to_owned());
    };
    if &*row.key != roll::CURRENT_KEY {
        return node.keeper.step(ownership::Event::Rows(vec![row]));
    }
    match read_record(&row) {
        Ok(record) => node
            .mesh
            .step_adoption(adoption::Event::Told { from, record }),
        Err(reason) => refuse(node, &row.key, reason),
    }
}

fn refuse(node: &Node, what: &str, reason: String) {
    node.logger.log(
        eelgrassrock_telemetry::log::Level::Warn,
        "refused",
        &Refused { what, reason },
    );
}

fn read_record(row: &Row) -> Result<adoption::Record, String> {
    let record = roll::Record::from_json(&row.value).map_err(|error| error.to_string())?;
    Ok(adoption::Record {
        version: record.version,
        digest: record.digest,
        approvals: Arc::clone(&row.value),
    })
}

fn carry_out_adoption(node: &Arc<Node>, action: adoption::Action) {
    use adoption::Action;
    match action {
        Action::PollTable => spawn(node, poll_table),
        Action::AskPeer { peer } => node.post.send(peer, Message::AskBundle),
        Action::FetchObject { digest, .. } => {
            let node = Arc::clone(node);
            tokio::spawn(async move { fetch_object(&node, digest).await });
        }
        Action::FetchFromPeer { digest, peer, .. } => {
            node.post.send(peer, Message::AskContents(digest));
        }
        Action::Check(record) => {
            let node = Arc::clone(node);
            tokio::spawn(async move { check(&node, &record).await });
        }
        Action::Adopt(record) => adopt(node, &record),
        Action::Spread(record) => {
            node.mesh.publish(&Row {
                key: Arc::from(roll::CURRENT_KEY),
                version: record.version,
                operation: Operation(Arc::from("roll")),
                value: record.approvals,
            });
        }
        Action::Ready => node.logger.decide("ready", &Version(0)),
        Action::Decide(decision) => node.logger.decide("bundle", &decision),
    }
}

fn spawn<F>(node: &Arc<Node>, work: fn(Arc<Node>) -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(work(Arc::clone(node)));
}

async fn poll_table(node: Arc<Node>) {
    let reading = match node.read_row(roll::CURRENT_KEY).await {
        Ok(Some(row)) => match read_record(&row) {
            Ok(record) => adoption::Reading::Row(Some(record)),
            Err(reason) => {
                refuse(&node, &row.key, reason);
                adoption::Reading::Failed { retry_after: None }
            }
        },
        Ok(None) => adoption::Reading::Row(None),
        Err(fault) => adoption::Reading::Failed {
            retry_after: retry_after(&fault),
        },
    };
    node.mesh.step_adoption(adoption::Event::Table(reading));
}

fn retry_after(fault: &Fault) -> Option<std::time::Duration> {
    match fault.kind {
        Kind::Busy { retry_after } => Some(retry_after),
        _ => None,
    }
}

async fn fetch_object(node: &Node, digest: Digest) {
    let contents = match node.objects.get(digest).await {
        Ok(Some(bytes)) => node.store.put(digest, &bytes),
        Ok(None) => adoption::Contents::Missing,
        Err(_) => adoption::Contents::Failed,
    };
    node.mesh
        .step_adoption(adoption::Event::Contents { digest, contents });
}

async fn check(node: &Node, record: &adoption::Record) {
    let verdict = match judge(node, record).await {
        Judgement::Accepted(bundle) => {
            node.store.accept(*bundle);
            adoption::Verdict::Accepted
        }
        Judgement::Refused(reason) => {
            node.account.count(Counter::BundlesRefused);
            let reason: Arc<str> = Arc::from(reason);
            node.store.note_refused(store::Refused {
                version: record.version,
                reason: Arc::clone(&reason),
            });
            adoption::Verdict::Refused { reason }
        }
        // The machine asks again when its time for the check is over.
        Judgement::Undecided(reason) => return refuse(node, roll::CURRENT_KEY, reason),
    };
    node.mesh.step_adoption(adoption::Event::Checked {
        digest: record.digest,
        verdict,
    });
}

fn adopt(node: &Node, record: &adoption::Record) {
    let Some(bundle) = node.store.take_accepted(record.digest) else {
        return refuse(node, roll::CURRENT_KEY, "the bundle is gone".to_owned());
    };
    let fleet = bundle.fleet();
    if !node.set_bundle(Arc::new(bundle)) {
        return;
    }
    node.account.count(Counter::BundlesApplied);
    node.links.set_fleet(&fleet);
    let adopted = eelgrassrock_request::Event::Fleet(fleet.clone());
    node.desk.step(adopted, None);
    node.keeper.step(ownership::Event::Fleet(fleet));
}

/// Takes a message of another router.
pub(crate) fn receive(node: &Node, sender: eelgrassrock_model::Router, envelope: Envelope) {
    let Envelope { from, message } = envelope;
    match message {
        Message::Member(message) => {
            node.mesh
                .step_member(member::Event::Received { from, message });
        }
        Message::Spread(message) => {
            node.mesh
                .step_spread(spread::Event::Received { from, message });
        }
        Message::Ownership(message) => {
            node.keeper.step(ownership::Event::Told {
                from: sender,
                message,
            });
        }
        Message::AskBundle => node.post.send(from, Message::Bundle(node.mesh.in_force())),
        Message::Bundle(record) => {
            node.mesh
                .step_adoption(adoption::Event::Answered { from, record });
        }
        Message::AskContents(digest) => {
            let contents = node.store.get(digest).map(|bytes| bytes.to_vec());
            node.post.send(from, Message::Contents(digest, contents));
        }
        Message::Contents(digest, bytes) => {
            let contents = match bytes {
                Some(bytes) => node.store.put(digest, &bytes),
                None => adoption::Contents::Missing,
            };
            node.mesh
                .step_adoption(adoption::Event::Contents { digest, contents });
        }
    }
}
