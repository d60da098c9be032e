//! Executes the actions of the ownership and request machines.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::Upstream;
use eelgrassrock_model::table::Transaction;
use eelgrassrock_model::time::Instant;
use eelgrassrock_ownership as ownership;
use eelgrassrock_request as request;
use eelgrassrock_request::Grant;
use indexmap::IndexMap;
use serde::Serialize;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::control::scheduler::Command;
use crate::node::Node;
use crate::peer::message::Message;
use crate::upstream::orders;

/// Timeout of a health probe of an upstream.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two reads of the grants. Polling is needed because a grant can lapse
/// without a change of routes.
const GRANT_PERIOD: Duration = Duration::from_millis(20);

/// Executes the actions of the ownership machine in order. Never returns.
pub(crate) async fn run_ownership(
    node: Arc<Node>,
    mut actions: UnboundedReceiver<ownership::Action>,
) {
    while let Some(action) = actions.recv().await {
        execute(&node, action);
    }
}

fn execute(node: &Arc<Node>, action: ownership::Action) {
    use ownership::{Action, Event};
    match action {
        Action::Scan { scan, prefix } => spawn_with_node(node, move |node| async move {
            match node.scan_rows(&prefix).await {
                Ok(rows) => node.ownership.step(Event::Scanned { scan, rows }),
                Err(_) => node.ownership.step(Event::ScanFailed { scan }),
            }
        }),
        Action::Read { id, key } => spawn_with_node(node, move |node| async move {
            match node.read_row(&key).await {
                Ok(row) => node.ownership.step(Event::Read { id, row }),
                Err(_) => node.ownership.step(Event::ReadFailed { id }),
            }
        }),
        Action::Write(transaction) => spawn_with_node(node, move |node| async move {
            let outcome = node.write_rows(&transaction).await;
            node.ownership.step(Event::Written {
                operation: transaction.operation,
                outcome,
            });
        }),
        Action::Broadcast(rows) => rows.iter().for_each(|row| node.membership.publish(row)),
        Action::AskTicket { upstream, id, .. } => spawn_with_node(node, move |node| async move {
            let ticket = ask_ticket(&node, &upstream).await;
            node.ownership.step(Event::Ticket {
                upstream,
                id,
                ticket,
            });
        }),
        Action::Order {
            upstream,
            id,
            order,
            ..
        } => spawn_with_node(node, move |node| async move {
            let answer = send_order(&node, &upstream, &order).await;
            node.ownership.step(Event::Answered {
                upstream,
                id,
                answer,
            });
        }),
        Action::Warm { upstream } => spawn_with_node(node, move |node| async move {
            open_connection(&node, &upstream).await;
        }),
        Action::Send {
            address, message, ..
        } => {
            node.sender.send(address, Message::Ownership(message));
        }
        Action::RoutesChanged => {}
        Action::Decide(decision) => {
            node.recorder.record_ownership_decision(&decision);
            node.logger.info("placement", &decision);
        }
        Action::Drained => {
            node.handed_over.send_replace(true);
        }
    }
}

/// Spawns work that needs the node.
fn spawn_with_node<F, Fut>(node: &Arc<Node>, work: F)
where
    F: FnOnce(Arc<Node>) -> Fut,
    Fut: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(work(Arc::clone(node)));
}

async fn ask_ticket(node: &Node, upstream: &Upstream) -> Option<ownership::grant::Ticket> {
    let link = node.links.orders(upstream)?;
    orders::ask_ticket(&link, order_timeout(node)).await
}

async fn send_order(
    node: &Node,
    upstream: &Upstream,
    order: &ownership::grant::Order,
) -> ownership::grant::Answer {
    let Some(link) = node.links.orders(upstream) else {
        return ownership::grant::Answer::Unknown;
    };
    let started = node.clock.now();
    let answer = orders::send(&link, order, order_timeout(node)).await;
    node.recorder
        .record_order(&answer, node.clock.now() - started);
    answer
}

/// Returns the timeout of an order: half a lease, so that a second order can still renew
/// the lease after a timeout.
fn order_timeout(node: &Node) -> Duration {
    node.settings.ownership.lease / 2
}

async fn open_connection(node: &Node, upstream: &Upstream) {
    let Some(link) = node.links.upstream(upstream) else {
        return;
    };
    if let Ok(connection) = link.open(crate::upstream::link::Reuse::Allowed).await {
        connection.release();
    }
}

/// Executes the commands of the request machine in order. Never returns.
pub(crate) async fn run_requests(node: Arc<Node>, mut commands: UnboundedReceiver<Command>) {
    use request::Event;
    while let Some(command) = commands.recv().await {
        match command {
            Command::Write(transaction) => spawn_with_node(&node, move |node| async move {
                write_claims(&node, transaction).await;
            }),
            Command::Read(key) => spawn_with_node(&node, move |node| async move {
                let row = node.read_row(&key).await.map_err(|_| request::Unreadable);
                node.scheduler.step(Event::Read { key, row }, None);
            }),
            Command::Scan {
                prefix,
                after,
                limit,
            } => spawn_with_node(&node, move |node| async move {
                let page = node.read_page(&prefix, &after, limit).await;
                let (rows, more) = match page {
                    Ok((rows, more)) => (Ok(rows), more),
                    Err(_) => (Err(request::Unreadable), false),
                };
                node.scheduler.step(Event::Scanned { rows, more }, None);
            }),
            Command::Probe(upstream) => spawn_with_node(&node, move |node| async move {
                let well = match node.links.orders(&upstream) {
                    Some(link) => orders::probe(&link, PROBE_TIMEOUT).await,
                    None => false,
                };
                node.scheduler.step(Event::Probed { upstream, well }, None);
            }),
            Command::Suspect(upstream) => {
                #[derive(Serialize)]
                struct Suspect {
                    upstream: Upstream,
                }
                node.logger.info("suspect", &Suspect { upstream });
            }
            Command::Decide(line) => {
                node.recorder.record_request_decision(&line.decision);
                node.logger.info("request", &line);
            }
            Command::Drained => {}
        }
    }
}

async fn write_claims(node: &Node, transaction: Transaction) {
    let outcome = node.write_rows(&transaction).await;
    let event = request::Event::Written {
        operation: transaction.operation,
        outcome,
    };
    node.scheduler.step(event, None);
}

/// Reports changes of grants to the request machine and records lapses. Never returns.
pub(crate) async fn watch_grants(node: Arc<Node>) {
    let mut known: IndexMap<Upstream, Grant> = IndexMap::new();
    let mut lapsed: IndexMap<Upstream, Instant> = IndexMap::new();
    let mut routes = node.ownership.watch_routes();
    loop {
        let grants = node.ownership.grants();
        for (upstream, grant) in &grants {
            let before = known.get(upstream).copied();
            if before != Some(*grant) {
                report_grant(&node, upstream, *grant);
                record_lapse(&node, &mut lapsed, upstream, before, *grant);
            }
        }
        let gone = known
            .keys()
            .filter(|upstream| !grants.contains_key(*upstream));
        for upstream in gone {
            lapsed.swap_remove(upstream);
            report_grant(&node, upstream, Grant::Released);
        }
        known = grants;
        let _ = tokio::time::timeout(GRANT_PERIOD, routes.changed()).await;
    }
}

fn record_lapse(
    node: &Node,
    lapsed: &mut IndexMap<Upstream, Instant>,
    upstream: &Upstream,
    before: Option<Grant>,
    grant: Grant,
) {
    let now = node.clock.now();
    if before == Some(Grant::Held) && grant == Grant::Lapsed {
        node.recorder.count_lapse(upstream);
        lapsed.insert(upstream.clone(), now);
    }
    if grant == Grant::Held
        && let Some(since) = lapsed.swap_remove(upstream)
    {
        node.recorder.record_unavailability(upstream, now - since);
    }
}

fn report_grant(node: &Node, upstream: &Upstream, grant: Grant) {
    if grant != Grant::Held
        && let Some(link) = node.links.upstream(upstream)
    {
        link.clear();
    }
    node.scheduler.step(
        request::Event::GrantChanged {
            upstream: upstream.clone(),
            grant,
        },
        None,
    );
}

/// Spawns a task that runs until the process exits.
pub(crate) fn spawn_background(task: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(task);
}
