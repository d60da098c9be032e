//! Carries out what the decision machines ask for.

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

/// Longest time of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two looks at the grants, some of which lapse unnoticed.
const GRANT_PERIOD: Duration = Duration::from_millis(20);

/// Carries out the actions of the ownership machine. Never returns.
pub(crate) async fn run_ownership(
    node: Arc<Node>,
    mut actions: UnboundedReceiver<ownership::Action>,
) {
    while let Some(action) = actions.recv().await {
        carry_out(&node, action);
    }
}

fn carry_out(node: &Arc<Node>, action: ownership::Action) {
    use ownership::{Action, Event};
    match action {
        Action::Scan { scan, prefix } => later(node, move |node| async move {
            match node.scan_rows(&prefix).await {
                Ok(rows) => node.ownership.step(Event::Scanned { scan, rows }),
                Err(_) => node.ownership.step(Event::ScanFailed { scan }),
            }
        }),
        Action::Read { id, key } => later(node, move |node| async move {
            match node.read_row(&key).await {
                Ok(row) => node.ownership.step(Event::Read { id, row }),
                Err(_) => node.ownership.step(Event::ReadFailed { id }),
            }
        }),
        Action::Write(transaction) => later(node, move |node| async move {
            let outcome = node.write_rows(&transaction).await;
            node.ownership.step(Event::Written {
                operation: transaction.operation,
                outcome,
            });
        }),
        Action::Broadcast(rows) => rows.iter().for_each(|row| node.membership.publish(row)),
        Action::AskTicket { upstream, id, .. } => later(node, move |node| async move {
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
        } => later(node, move |node| async move {
            let answer = give_order(&node, &upstream, &order).await;
            node.ownership.step(Event::Answered {
                upstream,
                id,
                answer,
            });
        }),
        Action::Warm { upstream } => later(node, move |node| async move {
            warm(&node, &upstream).await;
        }),
        Action::Send {
            address, message, ..
        } => {
            node.sender.send(address, Message::Ownership(message));
        }
        Action::RoutesChanged => {}
        Action::Decide(decision) => {
            node.recorder.placed(&decision);
            node.logger.info("placement", &decision);
        }
        Action::Drained => {
            node.handed_over.send_replace(true);
        }
    }
}

/// Spawns work whose result is stepped into a machine.
fn later<F, Fut>(node: &Arc<Node>, work: F)
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

async fn give_order(
    node: &Node,
    upstream: &Upstream,
    order: &ownership::grant::Order,
) -> ownership::grant::Answer {
    let Some(link) = node.links.orders(upstream) else {
        return ownership::grant::Answer::Unknown;
    };
    let started = node.clock.now();
    let answer = orders::give(&link, order, order_timeout(node)).await;
    node.recorder.ordered(&answer, node.clock.now() - started);
    answer
}

/// An order that isn't answered within half a lease is given up, so that a
/// second one can still renew the lease.
fn order_timeout(node: &Node) -> Duration {
    node.settings.ownership.lease / 2
}

async fn warm(node: &Node, upstream: &Upstream) {
    let Some(link) = node.links.upstream(upstream) else {
        return;
    };
    if let Ok(lease) = link.open(crate::upstream::link::Reuse::Allowed).await {
        lease.release();
    }
}

/// Carries out the commands of the request machine. Never returns.
pub(crate) async fn run_requests(node: Arc<Node>, mut commands: UnboundedReceiver<Command>) {
    use request::Event;
    while let Some(command) = commands.recv().await {
        match command {
            Command::Write(transaction) => later(&node, move |node| async move {
                write_claims(&node, transaction).await;
            }),
            Command::Read(key) => later(&node, move |node| async move {
                let row = node.read_row(&key).await.map_err(|_| request::Unreadable);
                node.scheduler.step(Event::Read { key, row }, None);
            }),
            Command::Scan {
                prefix,
                after,
                limit,
            } => later(&node, move |node| async move {
                let page = node.read_page(&prefix, &after, limit).await;
                let (rows, more) = match page {
                    Ok((rows, more)) => (Ok(rows), more),
                    Err(_) => (Err(request::Unreadable), false),
                };
                node.scheduler.step(Event::Scanned { rows, more }, None);
            }),
            Command::Probe(upstream) => later(&node, move |node| async move {
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
                node.recorder.decided(&line.decision);
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

/// Tells the request machine of changes of grants. Never returns.
pub(crate) async fn watch_grants(node: Arc<Node>) {
    let mut known: IndexMap<Upstream, Grant> = IndexMap::new();
    let mut lapsed: IndexMap<Upstream, Instant> = IndexMap::new();
    let mut routes = node.ownership.watch_routes();
    loop {
        let grants = node.ownership.grants();
        for (upstream, grant) in &grants {
            let before = known.get(upstream).copied();
            if before != Some(*grant) {
                tell_grant(&node, upstream, *grant);
                note_lapse(&node, &mut lapsed, upstream, before, *grant);
            }
        }
        let gone = known
            .keys()
            .filter(|upstream| !grants.contains_key(*upstream));
        for upstream in gone {
            lapsed.swap_remove(upstream);
            tell_grant(&node, upstream, Grant::Released);
        }
        known = grants;
        let _ = tokio::time::timeout(GRANT_PERIOD, routes.changed()).await;
    }
}

fn note_lapse(
    node: &Node,
    lapsed: &mut IndexMap<Upstream, Instant>,
    upstream: &Upstream,
    before: Option<Grant>,
    grant: Grant,
) {
    let now = node.clock.now();
    if before == Some(Grant::Held) && grant == Grant::Lapsed {
        node.recorder.lapsed(upstream);
        lapsed.insert(upstream.clone(), now);
    }
    if grant == Grant::Held
        && let Some(since) = lapsed.swap_remove(upstream)
    {
        node.recorder.restored(upstream, now - since);
    }
}

fn tell_grant(node: &Node, upstream: &Upstream, grant: Grant) {
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

/// Spawns a task that runs as long as the daemon.
pub(crate) fn spawn_forever(task: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(task);
}
