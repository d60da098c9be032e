//! Exchanges with the upstreams: what was written, what ran, what was answered.

use eelgrassrock_model::Upstream;
use eelgrassrock_request::{Answer, Event, Id, Stored};
use std::time::Duration;

use super::{Late, NAMES, World};

/// How far an exchange is, seen by the upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No byte was written.
    Sent,
    /// Bytes were written: it may run at any later time.
    Begun,
    /// It ran, or it is certain that it never will.
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
    /// Whether the router waits for its answer.
    pub(crate) open: bool,
}

impl World {
    pub(crate) fn send(&mut self, router: usize, id: Id, upstream: &Upstream, attempt: u32) {
        let name = String::from(upstream.clone());
        let request = &self.requests[&id.0];
        assert!(
            !request.told_not_run,
            "{id} was sent after it was told not run"
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

    /// Stops an attempt. What was written may still run.
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

    pub(crate) fn exchange(&mut self, pick: usize, late: Late) {
        let open = |exchange: &Exchange| exchange.open || matches!(late, Late::Again);
        let picked = self.exchanges.iter().enumerate();
        let picked = picked.filter(|(_, exchange)| open(exchange));
        let picked: Vec<usize> = picked.map(|(index, _)| index).collect();
        if picked.is_empty() {
            return;
        }
        let index = picked[pick % picked.len()];
        match late {
            Late::Advance => self.advance(index),
            Late::Fail => self.fail(index, Answer::Broken),
            Late::TimeOut => self.fail(index, Answer::TimedOut),
            Late::Refuse { owner, told_when } => self.refuse(index, owner, told_when),
            Late::Again => self.answer_again(index),
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

    /// Passes the head of an answer on: the request ran.
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

    /// Cuts the answers off that are being passed on.
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

    fn refuse(&mut self, index: usize, owner: bool, told_when: bool) {
        if self.exchanges[index].stage != Stage::Begun {
            return;
        }
        self.exchanges[index].stage = Stage::Over;
        self.close(index);
        let exchange = self.exchanges[index];
        let retry_after = told_when.then_some(Duration::from_millis(20));
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

    /// Lets a request run that was written, whether or not anyone still waits.
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
        self.note_run(id);
    }
}
