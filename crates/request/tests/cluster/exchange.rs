//! Simulated exchanges with the upstreams, from the first byte to the answer.

use eelgrassrock_model::Upstream;
use eelgrassrock_request::{Answer, Event, Id, Stored};
use std::time::Duration;

use super::{Cluster, ExchangeStep, NAMES};

/// Stage of an exchange, as seen by the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No byte was written.
    Sent,
    /// Bytes were written. The request may run at any later time.
    Begun,
    /// The request ran, or will certainly never run.
    Over,
}

/// One attempt at an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exchange {
    pub(crate) request: Id,
    pub(crate) attempt: u32,
    pub(crate) router: usize,
    pub(crate) generation: u32,
    pub(crate) upstream: usize,
    pub(crate) stage: Stage,
    pub(crate) ran: bool,
    /// Whether the router waits for the answer.
    pub(crate) open: bool,
}

impl Cluster {
    pub(crate) fn send(&mut self, router: usize, id: Id, upstream: &Upstream, attempt: u32) {
        let name = String::from(upstream.clone());
        let request = &self.requests[&id.0];
        assert!(
            !request.reported_not_run,
            "{id} was sent after it was reported as not run"
        );
        self.exchanges.push(Exchange {
            request: id,
            attempt,
            router,
            generation: self.generations[router],
            upstream: NAMES.iter().position(|other| *other == name).unwrap(),
            stage: Stage::Sent,
            ran: false,
            open: true,
        });
    }

    /// Cancels an attempt. A request that was written may still run.
    pub(crate) fn cancel(&mut self, router: usize, id: Id) {
        for exchange in &mut self.exchanges {
            if exchange.request == id && exchange.router == router && exchange.open {
                exchange.open = false;
                if exchange.stage == Stage::Sent {
                    exchange.stage = Stage::Over;
                }
            }
        }
    }

    pub(crate) fn exchange(&mut self, pick: usize, step: ExchangeStep) {
        let open = |exchange: &Exchange| exchange.open || matches!(step, ExchangeStep::Repeat);
        let picked = self.exchanges.iter().enumerate();
        let picked = picked.filter(|(_, exchange)| open(exchange));
        let picked: Vec<usize> = picked.map(|(index, _)| index).collect();
        if picked.is_empty() {
            return;
        }
        let index = picked[pick % picked.len()];
        match step {
            ExchangeStep::Advance => self.advance(index),
            ExchangeStep::Fail => self.fail(index, Answer::Broken),
            ExchangeStep::TimeOut => self.fail(index, Answer::TimedOut),
            ExchangeStep::Refuse {
                owner,
                with_retry_after,
            } => self.refuse(index, owner, with_retry_after),
            ExchangeStep::Repeat => self.answer_again(index),
        }
    }

    fn advance(&mut self, index: usize) {
        match self.exchanges[index].stage {
            Stage::Sent => self.begin(index),
            Stage::Begun => {
                self.run_at(index);
                self.answer_done(index);
            }
            Stage::Over => self.answer_done(index),
        }
    }

    fn begin(&mut self, index: usize) {
        let exchange = self.exchanges[index];
        let event = Event::Began {
            request: exchange.request,
            attempt: exchange.attempt,
        };
        self.step(exchange.router, event);
        if self.exchanges[index].open {
            self.exchanges[index].stage = Stage::Begun;
        }
    }

    /// Passes on the head of the answer of a request that ran.
    pub(crate) fn respond(&mut self, pick: usize) {
        let open = self.exchanges.iter().enumerate();
        let open = open.filter(|(_, exchange)| exchange.open && exchange.ran);
        let open: Vec<usize> = open.map(|(index, _)| index).collect();
        if open.is_empty() {
            return;
        }
        let exchange = self.exchanges[open[pick % open.len()]];
        let event = Event::Responding {
            request: exchange.request,
            attempt: exchange.attempt,
        };
        self.step(exchange.router, event);
        self.requests
            .get_mut(&exchange.request.0)
            .unwrap()
            .responding = true;
    }

    /// Cuts off the answers that are being passed on.
    pub(crate) fn fail_responding(&mut self) {
        for index in 0..self.exchanges.len() {
            let exchange = self.exchanges[index];
            if exchange.open && self.requests[&exchange.request.0].responding {
                self.fail(index, Answer::Broken);
            }
        }
    }

    fn answer_done(&mut self, index: usize) {
        if !self.exchanges[index].ran {
            return;
        }
        self.close(index);
        let content = None;
        let stored = Stored {
            status: 201,
            content,
        };
        let exchange = self.exchanges[index];
        self.answer(&exchange, Answer::Done(stored));
    }

    fn fail(&mut self, index: usize, answer: Answer) {
        self.close(index);
        let exchange = self.exchanges[index];
        if exchange.stage == Stage::Sent {
            self.exchanges[index].stage = Stage::Over;
            return self.answer(&exchange, Answer::NotSent);
        }
        self.answer(&exchange, answer);
    }

    fn refuse(&mut self, index: usize, owner: bool, with_retry_after: bool) {
        if self.exchanges[index].stage != Stage::Begun {
            return;
        }
        self.exchanges[index].stage = Stage::Over;
        self.close(index);
        let exchange = self.exchanges[index];
        let retry_after = with_retry_after.then_some(Duration::from_millis(20));
        let answer = if owner {
            Answer::NotOwner
        } else {
            Answer::Shed { retry_after }
        };
        self.answer(&exchange, answer);
    }

    fn answer_again(&mut self, index: usize) {
        let exchange = self.exchanges[index];
        if exchange.ran && !exchange.open {
            self.answer_done(index);
        }
    }

    fn close(&mut self, index: usize) {
        self.exchanges[index].open = false;
    }

    /// Runs a request that was written, whether or not its caller still waits.
    pub(crate) fn run(&mut self, pick: usize) {
        let begun = self.exchanges.iter().enumerate();
        let begun = begun.filter(|(_, exchange)| exchange.stage == Stage::Begun);
        let begun: Vec<usize> = begun.map(|(index, _)| index).collect();
        if !begun.is_empty() {
            self.run_at(begun[pick % begun.len()]);
        }
    }

    fn run_at(&mut self, index: usize) {
        let exchange = &mut self.exchanges[index];
        exchange.stage = Stage::Over;
        exchange.ran = true;
        let id = exchange.request;
        self.record_run(id);
    }
}
