//! Suspects, and a fleet of routers that share them.

use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_dispatch::suspect::{Change, Decision, Fingerprint, Record, Suspects};
use eelgrassrock_dispatch::upstream::Upstream;
use eelgrassrock_model::Revision;
use eelgrassrock_model::time::Instant;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Time from the third crash to the first send that counts as a retry, in milliseconds.
const STABLE_MS: u64 = 3_000;
const MAX_RETRIES: usize = 3;

fn upstream(index: usize, incarnation: u64) -> Upstream {
    Upstream {
        id: format!("up-{index}").into(),
        incarnation,
        sequence: 1,
        service: "sheets".into(),
        address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        data_centre: "dc-a".into(),
        slots: 4,
        leaving: false,
        warm_up: Duration::ZERO,
    }
}

fn fingerprint(path: &str) -> Fingerprint {
    Fingerprint::new([b"GET".as_slice(), path.as_bytes()])
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Shares the record of a suspect with itself, as a store does that accepts it at once.
fn share(suspects: &mut Suspects, request: &Fingerprint, version: u64) -> Record {
    let record = suspects.record(request).unwrap().clone();
    suspects.saved(request, &record, Revision::new(0, version));
    record
}

#[test]
fn processes_that_end_together_do_not_quarantine_a_request() {
    let mut suspects = Suspects::default();
    let request = fingerprint("/hot");
    for index in 0..5 {
        suspects.record_crash(request, &upstream(index, 1), at(0), at(100));
    }
    assert_eq!(suspects.decide(&request, at(100)), Decision::Pass);
    share(&mut suspects, &request, 1);
    assert_eq!(suspects.decide(&request, at(200)), Decision::Try);
    assert!(!suspects.record(&request).unwrap().is_quarantined());
}

#[test]
fn a_process_that_ends_under_a_suspect_quarantines_it_from_the_third_on() {
    let mut suspects = Suspects::default();
    let request = fingerprint("/1");
    let mut crash =
        |index, sent, now| suspects.record_crash(request, &upstream(index, 1), at(sent), at(now));
    assert_eq!(crash(0, 0, 100), Change::Suspected);
    assert_eq!(crash(0, 10, 100), Change::None);
    assert_eq!(crash(1, 200, 300), Change::None);
    assert_eq!(crash(2, 400, 500), Change::Quarantined);
    let refused = matches!(suspects.decide(&request, at(500)), Decision::Refuse { .. });
    assert!(refused);
    let other = fingerprint("/2");
    assert_eq!(suspects.decide(&other, at(500)), Decision::Pass);
}

#[test]
fn a_quarantined_request_is_tried_once_after_minutes() {
    let mut suspects = Suspects::default();
    let request = fingerprint("/1");
    for index in 0..3 {
        let now = 1_000 * index as u64;
        suspects.record_crash(request, &upstream(index, 1), at(now), at(now + 100));
    }
    share(&mut suspects, &request, 1);
    let refused = |suspects: &Suspects, ms| {
        matches!(suspects.decide(&request, at(ms)), Decision::Refuse { .. })
    };
    assert!(refused(&suspects, 60_000));
    assert_eq!(suspects.decide(&request, at(400_000)), Decision::Try);
    let (record, version) = suspects.next_send(&request).unwrap();
    assert_eq!(version, Revision::new(0, 1));
    suspects.learn(request, &record, Revision::new(0, 2), at(400_000));
    assert!(refused(&suspects, 400_001));
    assert!(refused(&suspects, 40_000_000));
}

#[test]
fn an_answer_of_a_process_withdraws_its_crash() {
    let mut suspects = Suspects::default();
    let request = fingerprint("/1");
    suspects.record_crash(request, &upstream(0, 1), at(0), at(100));
    assert!(suspects.disprove(&upstream(0, 1), at(50)).is_empty());
    assert!(suspects.disprove(&upstream(0, 2), at(200)).is_empty());
    assert_eq!(suspects.disprove(&upstream(0, 1), at(200)), [request]);
}

#[test]
fn a_suspicion_ends_without_further_crashes_but_a_quarantine_does_not() {
    let mut suspects = Suspects::default();
    let (one, other) = (fingerprint("/1"), fingerprint("/2"));
    suspects.record_crash(one, &upstream(0, 1), at(0), at(100));
    for index in 0..3 {
        let now = 1_000 * index as u64;
        suspects.record_crash(other, &upstream(index, 1), at(now), at(now + 100));
    }
    assert!(suspects.expired(at(60_000)).is_empty());
    assert_eq!(suspects.expired(at(10_000_000)), [one]);
}

#[test]
fn the_number_of_suspects_is_bounded_and_quarantined_ones_stay() {
    let mut suspects = Suspects::default();
    let kept = fingerprint("/kept");
    for index in 0..3 {
        let now = 1_000 * index as u64;
        suspects.record_crash(kept, &upstream(index, 1), at(now), at(now + 100));
    }
    for n in 0..2_000 {
        let request = fingerprint(&format!("/{n}"));
        suspects.record_crash(request, &upstream(0, 1), at(5_000), at(5_100 + n));
    }
    assert_eq!(suspects.records().count(), 256);
    assert!(suspects.record(&kept).unwrap().is_quarantined());
}

#[test]
fn records_are_shared_again_in_another_era() {
    let mut suspects = Suspects::default();
    let request = fingerprint("/1");
    suspects.record_crash(request, &upstream(0, 1), at(0), at(0));
    assert_eq!(suspects.next_save(), Some(at(100)));
    share(&mut suspects, &request, 9);
    assert!(suspects.unsaved(at(1_000)).is_empty());
    suspects.enter_era(true, at(2_000));
    let unsaved = suspects.unsaved(at(2_000));
    assert_eq!(unsaved.len(), 1);
    assert!(unsaved[0].2.is_none());
}

/// Shared records, as a store keeps them, with the time at which each version reaches a router.
#[derive(Default)]
struct Store {
    version: u64,
    rows: Vec<(Fingerprint, Option<Record>, Revision)>,
}

impl Store {
    fn current(&self, request: &Fingerprint) -> (Option<Record>, Revision) {
        let last = self.rows.iter().rev().find(|(other, ..)| other == request);
        match last {
            Some((_, Some(record), version)) => (Some(record.clone()), *version),
            _ => (None, Revision::default()),
        }
    }

    fn write(
        &mut self,
        request: Fingerprint,
        record: Option<Record>,
        expected: Revision,
    ) -> Option<Revision> {
        if self.current(&request).1 != expected {
            return None;
        }
        self.version += 1;
        let version = Revision::new(0, self.version);
        self.rows.push((request, record, version));
        Some(version)
    }
}

struct Router {
    suspects: Suspects,
    /// Number of rows of the store that it has read.
    read: usize,
    /// Time by which it learns rows late.
    lag_ms: u64,
}

/// Send in flight: router, request, upstream, start and end.
struct Send {
    router: usize,
    request: Fingerprint,
    upstream: Arc<Upstream>,
    sent_ms: u64,
    end_ms: u64,
    dies: bool,
}

/// Plays a fleet for a minute. One request ends each process that runs it; others run beside it, and
/// one of them is as frequent. Returns its sends, the ends of processes, and the others that were
/// quarantined.
fn play(routers: usize, interval_ms: u64, keyed: bool, seed: u64) -> (Vec<u64>, Vec<u64>, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (deadly, hot) = (fingerprint("/deadly"), fingerprint("/hot"));
    let mut store = Store::default();
    let mut fleet: Vec<Router> = (0..routers)
        .map(|_| Router {
            suspects: Suspects::default(),
            read: 0,
            lag_ms: random.random_range(20..700),
        })
        .collect();
    let mut written: Vec<u64> = Vec::new();
    let mut up: Vec<(u64, u64)> = vec![(1, 0); 8];
    let (mut sends, mut flights) = (Vec::new(), Vec::<Send>::new());
    let (mut ends, mut quarantined) = (Vec::new(), 0);
    for now in 0..60_000_u64 {
        for router in &mut fleet {
            while router.read < store.rows.len() && written[router.read] + router.lag_ms <= now {
                let (request, record, version) = store.rows[router.read].clone();
                router.read += 1;
                match record {
                    Some(record) => {
                        router.suspects.learn(request, &record, version, at(now));
                    }
                    None => {
                        router.suspects.remove(&request);
                    }
                }
            }
            for (request, record, expected) in router.suspects.unsaved(at(now)) {
                match store.write(request, Some(record.clone()), expected) {
                    Some(version) => router.suspects.saved(&request, &record, version),
                    None => match store.current(&request) {
                        (Some(current), version) => {
                            router.suspects.learn(request, &current, version, at(now));
                        }
                        (None, _) => {
                            router.suspects.remove(&request);
                        }
                    },
                }
            }
            written.resize(store.rows.len(), now);
        }
        let due = |request: Fingerprint, every: u64| (now % every == 0).then_some(request);
        let other = fingerprint(&format!("/{now}"));
        let arrivals = [due(deadly, interval_ms), due(hot, 7), due(other, 11)];
        for request in arrivals.into_iter().flatten() {
            let router = random.random_range(0..routers);
            let suspects = &mut fleet[router].suspects;
            match suspects.decide(&request, at(now)) {
                Decision::Pass => {}
                Decision::Refuse { .. } => continue,
                Decision::Try => {
                    let (record, expected) = suspects.next_send(&request).unwrap();
                    let Some(version) = store.write(request, Some(record.clone()), expected) else {
                        continue;
                    };
                    suspects.learn(request, &record, version, at(now));
                    written.resize(store.rows.len(), now);
                }
            }
            let alive = (0..up.len()).filter(|index| up[*index].1 <= now);
            let alive: Vec<usize> = alive.collect();
            // The holder of a key is the first that runs.
            let index = match keyed && request == deadly {
                true => alive.first().copied(),
                false if alive.is_empty() => None,
                false => Some(alive[random.random_range(0..alive.len())]),
            };
            let Some(index) = index else {
                continue;
            };
            if request == deadly {
                sends.push(now);
            }
            flights.push(Send {
                router,
                request,
                upstream: Arc::new(upstream(index, up[index].0)),
                sent_ms: now,
                end_ms: now + random.random_range(5..90),
                dies: request == deadly,
            });
        }
        let (done, left): (Vec<Send>, Vec<Send>) =
            flights.into_iter().partition(|flight| flight.end_ms <= now);
        flights = left;
        for flight in done {
            let suspects = &mut fleet[flight.router].suspects;
            if !flight.dies {
                if let Some((_, version)) = suspects.remove(&flight.request)
                    && !version.is_none()
                {
                    let current = store.current(&flight.request).1;
                    store.write(flight.request, None, current);
                    written.resize(store.rows.len(), now);
                }
                continue;
            }
            let index: usize = flight.upstream.id[3..].parse().unwrap();
            if up[index].0 != flight.upstream.incarnation || up[index].1 > now {
                continue;
            }
            ends.push(now);
            up[index] = (up[index].0 + 1, now + 1_000);
            let (lost, kept): (Vec<Send>, Vec<Send>) = flights
                .into_iter()
                .partition(|other| other.upstream == flight.upstream);
            flights = kept;
            for lost in lost.iter().chain([&flight]) {
                let suspects = &mut fleet[lost.router].suspects;
                let change = suspects.record_crash(
                    lost.request,
                    &lost.upstream,
                    at(lost.sent_ms),
                    at(now + 10),
                );
                quarantined += usize::from(change == Change::Quarantined && lost.request != deadly);
            }
        }
    }
    (sends, ends, quarantined)
}

#[rstest]
fn a_fleet_sends_a_deadly_request_at_most_three_times_after_the_third_crash(
    #[values(1, 2, 12, 100, 295)] routers: usize,
    #[values(17, 60, 250, 1_500)] interval_ms: u64,
    #[values(false, true)] keyed: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    let (sends, ends, others) = play(routers, interval_ms, keyed, seed);
    let third = ends.get(2).copied().unwrap_or(u64::MAX - STABLE_MS);
    let retries = sends.iter().filter(|at| **at > third + STABLE_MS).count();
    assert!(
        retries <= MAX_RETRIES,
        "{retries} retries, ends at {ends:?}"
    );
    assert_eq!(others, 0, "other requests were quarantined");
}
