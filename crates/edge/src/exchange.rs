//! One send of a request to an upstream.

use std::mem;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_dispatch::directory::Repeat;
use eelgrassrock_dispatch::service::Report;
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::time::Instant;
use http::{HeaderMap, Request, Response, StatusCode, request};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::clock;
use crate::crash::Break;
use crate::link::{self, Link};
use crate::node::Node;
use crate::payload::{self, Origin, Payload, Source, Taken};
use crate::platform::{Head, Platform, Verdict};

/// Time allowed for the transfer of an answer that the upstream sends at its time limit.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);

/// Result of a send.
pub(crate) enum Exchange {
    /// The upstream's own answer, complete or still arriving.
    Answer(Response<Payload>),
    /// No answer can be passed on.
    None(Report),
}

/// Request to send.
pub(crate) struct Message {
    pub(crate) parts: request::Parts,
    pub(crate) body: Content,
    pub(crate) repeat: Repeat,
    /// Upstreams that refused it.
    refused_by: Vec<Arc<str>>,
}

/// Body of a request, as far as this router still has it.
pub(crate) enum Content {
    /// Complete body, which can be sent any number of times.
    Whole(Bytes),
    /// Body that can be sent only once, because a part of it is still arriving.
    Stream(Payload),
    /// Body that was sent as a stream. The request can't be sent again.
    Spent,
}

impl Message {
    pub(crate) fn new(parts: request::Parts, body: Content, repeat: Repeat) -> Self {
        Self {
            parts,
            body,
            repeat,
            refused_by: Vec::new(),
        }
    }

    /// Whether it can be sent, because this router still has its body.
    pub(crate) fn is_sendable(&self) -> bool {
        !matches!(self.body, Content::Spent)
    }

    /// Whether it can be sent again after it has been sent.
    pub(crate) fn is_repeatable(&self) -> bool {
        matches!(self.body, Content::Whole(_))
    }

    /// Returns a copy, if the request can be sent more than once.
    pub(crate) fn copy(&self) -> Option<Self> {
        let Content::Whole(bytes) = &self.body else {
            return None;
        };
        Some(Self {
            parts: self.parts.clone(),
            body: Content::Whole(bytes.clone()),
            repeat: self.repeat,
            refused_by: self.refused_by.clone(),
        })
    }

    /// Builds the request with these headers. Returns `None` if its body was sent as a stream.
    pub(crate) fn build(&mut self, headers: HeaderMap) -> Option<Request<Payload>> {
        let body = match &mut self.body {
            Content::Whole(bytes) if bytes.is_empty() => Payload::Whole(None),
            Content::Whole(bytes) => Payload::whole(bytes.clone()),
            content => match mem::replace(content, Content::Spent) {
                Content::Stream(payload) => payload,
                Content::Whole(_) | Content::Spent => return None,
            },
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = self.parts.uri.clone();
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// Sends a request to an upstream and waits for its answer.
pub(crate) async fn exchange<P: Platform>(
    node: &Rc<Node<P>>,
    upstream: &Arc<Upstream>,
    message: &mut Message,
    head: &Head,
    until: Instant,
) -> Exchange {
    let left = until - clock::now();
    let mut headers = message.parts.headers.clone();
    let allowed = left
        .saturating_sub(ANSWER_MARGIN)
        .max(Duration::from_millis(1));
    node.platform
        .set_request_headers(&mut headers, upstream, allowed);
    let Some(mut request) = message.build(headers) else {
        return Exchange::None(Report::NotSent);
    };
    // On a connection in use before, a refusal that bears its identifier may be the earlier one.
    let was_refused = message.refused_by.contains(&upstream.id);
    loop {
        let pooled = (!was_refused)
            .then(|| node.links.take(upstream, message.repeat))
            .flatten();
        let was_pooled = pooled.is_some();
        let connecting_since = clock::now();
        let link = match pooled {
            Some(link) => Some(link),
            None => {
                let limit = until - clock::now();
                let link = link::connect(upstream.address, limit).await;
                // A time limit that ends sooner than usual says nothing about the upstream.
                if link.is_some() || limit >= link::CONNECT_TIMEOUT && !node.is_link_busy() {
                    node.record_connect(upstream, link.is_some());
                }
                link
            }
        };
        let Some(mut link) = link else {
            message.restore(request);
            // On a busy link, connections to any upstream are slow.
            let is_own_fault =
                connecting_since + link::CONNECT_TIMEOUT <= clock::now() && node.is_link_busy();
            return Exchange::None(if is_own_fault {
                Report::NotSent
            } else {
                Report::Unreachable
            });
        };
        if !node.may_send(upstream) {
            // Its data centre was evacuated while the request waited, for a connection at most.
            message.restore(request);
            return Exchange::None(Report::NotSent);
        }
        let sent_at = clock::now();
        let left = until - sent_at;
        let sent = timeout(left, link.sender.try_send_request(request)).await;
        match sent {
            Err(_) => return Exchange::None(Report::TimedOut),
            Ok(Ok(response)) => {
                let answer = Answer {
                    link,
                    response,
                    sent_at,
                    was_pooled,
                };
                let end = receive(node, upstream, answer, head, until).await;
                match &end {
                    Exchange::Answer(_) => {
                        node.record_suspect_answer(message, head.key, upstream, sent_at);
                    }
                    Exchange::None(report) if report.proves_not_run() => {
                        message.refused_by.push(Arc::clone(&upstream.id));
                    }
                    Exchange::None(_) => {}
                }
                return end;
            }
            Ok(Err(mut error)) => match error.take_message() {
                // The request is returned only if no byte of it was sent.
                Some(unsent) if was_pooled => request = unsent,
                Some(unsent) => {
                    message.restore(unsent);
                    return Exchange::None(Report::Unreachable);
                }
                None => {
                    if was_pooled {
                        node.links.note_reset();
                    }
                    if error.into_error().is_parse() {
                        node.links.quarantine(upstream);
                    } else {
                        let broken = Break {
                            request: head.id.clone(),
                            fingerprint: message.fingerprint(head.key),
                            sent_at,
                            broken_at: clock::now(),
                        };
                        node.record_break(upstream, broken);
                    }
                    return Exchange::None(Report::Broken);
                }
            },
        }
    }
}

impl Message {
    /// Restores the body of a request of which nothing was sent.
    pub(crate) fn restore(&mut self, request: Request<Payload>) {
        if let Content::Spent = self.body {
            self.body = Content::Stream(request.into_body());
        }
    }
}

/// Answer whose body is still arriving.
struct Answer {
    link: Link,
    response: Response<Incoming>,
    /// When its request was sent.
    sent_at: Instant,
    /// Whether the connection carried other requests before.
    was_pooled: bool,
}

async fn receive<P: Platform>(
    node: &Rc<Node<P>>,
    upstream: &Arc<Upstream>,
    answer: Answer,
    head: &Head,
    until: Instant,
) -> Exchange {
    let link = answer.link;
    let (parts, body) = answer.response.into_parts();
    if !is_final(parts.status) {
        node.links.quarantine(upstream);
        return Exchange::None(Report::Broken);
    }
    let verdict = node
        .platform
        .classify_answer(head, &upstream.id, parts.status, &parts.headers);
    let is_refusal = matches!(
        verdict,
        Verdict::Refused | Verdict::Misdirected | Verdict::Replaced
    );
    // Without an identifier, it may be the refusal of an earlier request on the connection.
    let is_doubtful =
        is_refusal && answer.was_pooled && !node.platform.has_request_id(&parts.headers);
    let verdict = if is_doubtful {
        Verdict::Foreign
    } else {
        verdict
    };
    if !matches!(verdict, Verdict::Foreign | Verdict::Replaced) {
        let notice = node.platform.notice(parts.status, &parts.headers);
        if notice.limit.is_none() && verdict == Verdict::Own && parts.status.is_success() {
            node.lift_limit(upstream, answer.sent_at);
        }
        node.apply_notice(upstream, notice);
    }
    match verdict {
        Verdict::Foreign => {
            node.links.quarantine(upstream);
            return Exchange::None(Report::Broken);
        }
        Verdict::Replaced => return Exchange::None(Report::Replaced),
        Verdict::Refused | Verdict::Misdirected => {
            if let Ok(Taken::Whole(_)) =
                timeout(ANSWER_MARGIN, payload::take(body, &node.memory)).await
            {
                let max_idle = node.idle_limit(&upstream.service);
                node.links.keep(upstream, link, &parts.headers, max_idle);
            }
            let refused = verdict == Verdict::Refused;
            return Exchange::None(if refused {
                Report::Refused
            } else {
                Report::Misdirected
            });
        }
        Verdict::Own => {}
    }
    match timeout(until - clock::now(), payload::take(body, &node.memory)).await {
        Err(_) => Exchange::None(Report::TimedOut),
        Ok(Taken::Broken) => Exchange::None(Report::Broken),
        Ok(Taken::Whole(bytes)) => {
            let max_idle = node.idle_limit(&upstream.service);
            node.links.keep(upstream, link, &parts.headers, max_idle);
            Exchange::Answer(Response::from_parts(parts, Payload::whole(bytes)))
        }
        Ok(Taken::Partial(first, rest)) => {
            let origin = Origin {
                service: Arc::clone(&upstream.service),
                upstream: Arc::clone(&upstream.id),
                request: head.id.clone(),
            };
            let source = Source::new(link, until, origin);
            let payload = Payload::partial(first, rest, Some(source));
            Exchange::Answer(Response::from_parts(parts, payload))
        }
    }
}

/// Whether a status can be that of an answer. The parser accepts any number of three digits from 100
/// on, and returns 101 although no upgrade was requested.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Whether a status means that the upstream failed.
pub(crate) fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}
