//! Executes the actions of the machines for members, news and bundles, and dispatches
//! the messages of other routers.

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

use crate::bundles;
use crate::control::approval::{Approval, verify};
use crate::control::membership::{self, Command};
use crate::node::Node;
use crate::peer::message::{Envelope, Message};

/// Log line for a row or bundle that was refused.
#[derive(Serialize)]
struct Refusal<'a> {
    what: &'a str,
    reason: String,
}

/// Executes the commands in order. Never returns.
pub(crate) async fn run(node: Arc<Node>, mut commands: UnboundedReceiver<Command>) {
    while let Some(command) = commands.recv().await {
        match command {
            Command::Member(action) => execute_member(&node, action),
            Command::Spread(action) => execute_spread(&node, action),
            Command::Adoption(action) => execute_adoption(&node, action),
        }
    }
}

fn execute_member(node: &Arc<Node>, action: member::Action) {
    match action {
        member::Action::Send { to, message } => {
            node.sender.send_datagram(to, Message::Member(message));
        }
        member::Action::Changed(live) => update_members(node, &live),
        member::Action::NewsDiffer { peer } => {
            node.membership.step_spread(spread::Event::Differ { peer });
        }
        member::Action::Decide(decision) => node.logger.info("membership", &decision),
    }
}

/// Passes the list of live routers to all machines, and drops the queues and connections
/// of routers that aren't on it.
pub(crate) fn update_members(node: &Node, live: &[member::Live]) {
    let addresses = membership::addresses(live);
    node.sender.retain(&addresses);
    let hops: Vec<_> = addresses
        .iter()
        .copied()
        .map(crate::peer::hop::address)
        .collect();
    node.links.retain_routers(&hops);
    node.membership
        .step_spread(spread::Event::Members(live.to_vec()));
    node.membership
        .step_adoption(adoption::Event::Members(live.to_vec()));
    let member = |live: &member::Live| ownership::Member {
        router: live.router.clone(),
        data_centre: live.data_centre.clone(),
        address: live.address,
    };
    node.ownership
        .step(ownership::Event::Members(live.iter().map(member).collect()));
}

fn execute_spread(node: &Arc<Node>, action: spread::Action) {
    match action {
        spread::Action::Send { to, message } => node.sender.send(to, Message::Spread(message)),
        spread::Action::Learned { news, from } => handle_news(node, &news, from),
        spread::Action::Digest(digest) => node
            .membership
            .step_member(member::Event::NewsDigest(digest)),
        spread::Action::Decide(decision) => {
            node.logger
                .log(eelgrassrock_telemetry::log::Level::Debug, "news", &decision);
        }
    }
}

fn handle_news(node: &Node, news: &spread::News, from: std::net::SocketAddr) {
    let Some(row) = membership::decode_row(news) else {
        return log_refusal(
            node,
            &news.key,
            "the payload of the news is not the row with its key and version".to_owned(),
        );
    };
    if &*row.key != roll::CURRENT_KEY {
        return node.ownership.step(ownership::Event::Rows(vec![row]));
    }
    match read_record(&row) {
        Ok(record) => node
            .membership
            .step_adoption(adoption::Event::Announced { from, record }),
        Err(reason) => log_refusal(node, &row.key, reason),
    }
}

fn log_refusal(node: &Node, what: &str, reason: String) {
    node.logger.log(
        eelgrassrock_telemetry::log::Level::Warn,
        "refused",
        &Refusal { what, reason },
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

fn execute_adoption(node: &Arc<Node>, action: adoption::Action) {
    use adoption::Action;
    match action {
        Action::PollTable => spawn(node, poll_table),
        Action::AskPeer { peer } => node.sender.send(peer, Message::AskBundle),
        Action::FetchObject { digest, .. } => {
            let node = Arc::clone(node);
            tokio::spawn(async move { fetch_object(&node, digest).await });
        }
        Action::FetchFromPeer { digest, peer, .. } => {
            node.sender.send(peer, Message::AskContents(digest));
        }
        Action::Check(record) => {
            let node = Arc::clone(node);
            tokio::spawn(async move { check(&node, &record).await });
        }
        Action::Adopt(record) => adopt(node, &record),
        Action::Announce(record) => {
            node.membership.publish(&Row {
                key: Arc::from(roll::CURRENT_KEY),
                version: record.version,
                operation: Operation(Arc::from("roll")),
                value: record.approvals,
            });
        }
        Action::Ready => node.logger.info("ready", &Version(0)),
        Action::Decide(decision) => node.logger.info("bundle", &decision),
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
                log_refusal(&node, &row.key, reason);
                adoption::Reading::Failed { retry_after: None }
            }
        },
        Ok(None) => adoption::Reading::Row(None),
        Err(fault) => adoption::Reading::Failed {
            retry_after: retry_after(&fault),
        },
    };
    node.membership
        .step_adoption(adoption::Event::Table(reading));
}

fn retry_after(fault: &Fault) -> Option<std::time::Duration> {
    match fault.kind {
        Kind::Busy { retry_after } => Some(retry_after),
        _ => None,
    }
}

async fn fetch_object(node: &Node, digest: Digest) {
    let outcome = match node.objects.get(digest).await {
        Ok(Some(bytes)) => node.bundles.put(digest, &bytes),
        Ok(None) => adoption::FetchOutcome::Missing,
        Err(_) => adoption::FetchOutcome::Failed,
    };
    node.membership
        .step_adoption(adoption::Event::Fetched { digest, outcome });
}

async fn check(node: &Node, record: &adoption::Record) {
    let verdict = match verify(node, record).await {
        Approval::Accepted(bundle) => {
            node.bundles.accept(*bundle);
            adoption::Verdict::Accepted
        }
        Approval::Refused(reason) => {
            node.recorder.count(Counter::BundlesRefused);
            let reason: Arc<str> = Arc::from(reason);
            node.bundles.record_refusal(bundles::Refusal {
                version: record.version,
                reason: Arc::clone(&reason),
            });
            adoption::Verdict::Refused { reason }
        }
        // The machine repeats the check after its timeout.
        Approval::Undecided(reason) => return log_refusal(node, roll::CURRENT_KEY, reason),
    };
    node.membership.step_adoption(adoption::Event::Checked {
        digest: record.digest,
        verdict,
    });
}

fn adopt(node: &Node, record: &adoption::Record) {
    let Some(bundle) = node.bundles.take_accepted(record.digest) else {
        return log_refusal(
            node,
            roll::CURRENT_KEY,
            "the accepted bundle is no longer stored".to_owned(),
        );
    };
    let fleet = bundle.fleet();
    if !node.set_bundle(Arc::new(bundle)) {
        return;
    }
    node.recorder.count(Counter::BundlesApplied);
    node.links.set_fleet(&fleet);
    let adopted = eelgrassrock_request::Event::Fleet(fleet.clone());
    node.scheduler.step(adopted, None);
    node.ownership.step(ownership::Event::Fleet(fleet));
}

/// Passes a message of another router to the machine that it concerns, or answers it.
pub(crate) fn handle_message(node: &Node, sender: eelgrassrock_model::Router, envelope: Envelope) {
    let Envelope { from, message } = envelope;
    match message {
        Message::Member(message) => {
            node.membership
                .step_member(member::Event::Received { from, message });
        }
        Message::Spread(message) => {
            node.membership
                .step_spread(spread::Event::Received { from, message });
        }
        Message::Ownership(message) => {
            node.ownership.step(ownership::Event::Message {
                from: sender,
                message,
            });
        }
        Message::AskBundle => node
            .sender
            .send(from, Message::Bundle(node.membership.in_force())),
        Message::Bundle(record) => {
            node.membership
                .step_adoption(adoption::Event::Answered { from, record });
        }
        Message::AskContents(digest) => {
            let contents = node.bundles.get(digest).map(|bytes| bytes.to_vec());
            node.sender.send(from, Message::Contents(digest, contents));
        }
        Message::Contents(digest, bytes) => {
            let outcome = match bytes {
                Some(bytes) => node.bundles.put(digest, &bytes),
                None => adoption::FetchOutcome::Missing,
            };
            node.membership
                .step_adoption(adoption::Event::Fetched { digest, outcome });
        }
    }
}
