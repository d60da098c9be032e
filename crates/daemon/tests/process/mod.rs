//! Deployment with upstreams and daemons in processes of their own, which a test can kill
//! or pause. The stand-ins for the platform run in the test process.

#![allow(dead_code, unreachable_pub, reason = "no test file uses all items")]

mod child;
mod ownership;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_config::approval::Key;
use eelgrassrock_config::bundle::{Bundle, digest_of};
use eelgrassrock_config::roll::{CURRENT_KEY, Record};
use eelgrassrock_model::Version;
use eelgrassrock_model::table::{Check, Operation, Outcome, Transaction, Write};
use eelgrassrock_standin::upstream::{Runs, State};
use eelgrassrock_standin::{Addresses, objects, table, upstream, vms};
use eelgrassrock_store::settings::Settings;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use crate::support::{Answer, CREDENTIAL, SECRET, WAIT_LIMIT, send_to};

pub use child::{Process, SECRET_VARIABLE, Signal};

/// Time between two checks of a condition.
pub const POLL: Duration = Duration::from_millis(10);

/// Number of keys that are read to check whether all shards are served.
pub const KEYS: usize = 32;

/// Size and settings of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub daemons: usize,
    pub upstreams: usize,
    pub checks_orders: bool,
    /// Time for which a home keeps its authority without contact with the table.
    pub authority_ms: u64,
}

/// Running processes and stand-ins.
pub struct Fleet {
    host: IpAddr,
    files: TempDir,
    plan: Plan,
    pub table: table::Server,
    pub objects: objects::Server,
    pub vms: vms::Server,
    pub upstreams: Vec<Upstream>,
    pub daemons: Vec<Process>,
}

/// Stand-in for an upstream in a process of its own.
pub struct Upstream {
    pub name: String,
    pub process: Process,
    pub address: SocketAddr,
    pub admin: SocketAddr,
}

impl Fleet {
    /// Starts all processes, rolls a bundle and waits until every daemon serves every key.
    pub async fn start(plan: Plan) -> Self {
        let host = unique_host();
        let mut fleet = Self {
            host,
            files: TempDir::new().unwrap(),
            plan,
            table: table::Server::start(Addresses::free()).await.unwrap(),
            objects: objects::Server::start(Addresses::free()).await.unwrap(),
            vms: vms::Server::start(Addresses::free()).await.unwrap(),
            upstreams: (0..plan.upstreams)
                .map(|index| Upstream::start(index, plan.checks_orders))
                .collect(),
            daemons: Vec::new(),
        };
        fleet.list_vms();
        fleet.roll().await;
        for index in 0..plan.daemons {
            let file = fleet.files.path().join(format!("router-{index}.ini"));
            std::fs::write(&file, fleet.settings(index)).unwrap();
            fleet.daemons.push(Process::daemon(&file));
        }
        for daemon in 0..plan.daemons {
            fleet.until_served(daemon).await;
        }
        fleet
    }

    /// Waits until a daemon serves every key, and returns how long it took.
    pub async fn until_served(&self, daemon: usize) -> Duration {
        let started = Instant::now();
        for key in 0..KEYS {
            let path = format!("/sheets/key-{key}");
            let what = format!("router-{daemon} serves {path}");
            until(&what, async || {
                let answer = self.read(daemon, &path).await;
                answer.filter(|answer| answer.status == StatusCode::OK)
            })
            .await;
        }
        started.elapsed()
    }

    /// Reads a path through a daemon, `None` if the connection fails.
    pub async fn read(&self, daemon: usize, path: &str) -> Option<Answer> {
        let authorization = format!("Bearer {CREDENTIAL}");
        let headers = [("authorization", authorization.as_str())];
        send_to(self.callers(daemon), Method::GET, path, &headers, b"").await
    }

    /// Returns the index of the daemon that is the home of an upstream, according to the
    /// status of the daemon `seen_by`.
    pub async fn home(&self, seen_by: usize, upstream: usize) -> Option<usize> {
        let status = self.status(seen_by).await?;
        let home = &status["ownership"]["homes"][&self.upstreams[upstream].name];
        let index = home["router"].as_str()?.strip_prefix("router-")?;
        index.parse().ok()
    }

    /// Returns the status of a daemon, `None` if the connection fails.
    pub async fn status(&self, daemon: usize) -> Option<serde_json::Value> {
        let authorization = format!("Bearer {SECRET}");
        let headers = [("authorization", authorization.as_str())];
        let admin = SocketAddr::new(self.host, base_port(daemon) + 3);
        let answer = send_to(admin, Method::GET, "/status", &headers, b"").await?;
        Some(answer.json())
    }

    /// Returns the address of a daemon's port for callers.
    pub fn callers(&self, daemon: usize) -> SocketAddr {
        SocketAddr::new(self.host, base_port(daemon))
    }

    fn list_vms(&self) {
        let vm = |index| vms::Vm {
            name: format!("router-{index}"),
            address: SocketAddr::new(self.host, base_port(index) + 1).to_string(),
            data_centre: data_centre(index),
            kind: "router".to_owned(),
            state: "live".to_owned(),
        };
        self.vms.set_faults(vms::Faults {
            vms: Some((0..self.plan.daemons).map(vm).collect()),
            ..vms::Faults::default()
        });
    }

    fn settings(&self, index: usize) -> String {
        let host = self.host;
        let base = base_port(index);
        format!(
            "[router]\nname = router-{index}\ndata-centre = {data_centre}\n\
             [listen]\ncallers = {host}:{base}\npeers = {host}:{peers}\n\
             peers-http = {host}:{hops}\nadmin = {host}:{admin}\n\
             [platform]\ntable = {table}\nobjects = {objects}\nvms = {vms}\n\
             [secret]\nenvironment = {SECRET_VARIABLE}\n\
             [ownership]\nauthority = {authority} ms\n\
             [drain]\nlimit = 20 s\n[log]\nlevel = {level}\n",
            data_centre = data_centre(index),
            peers = base + 1,
            hops = base + 2,
            admin = base + 3,
            table = self.table.address(),
            objects = self.objects.address(),
            vms = self.vms.address(),
            authority = self.plan.authority_ms,
            level = std::env::var("TEST_LOG").unwrap_or_else(|_| "error".to_owned()),
        )
    }

    fn bundle(&self) -> String {
        let key = approver_key().public();
        let credential = digest_of(CREDENTIAL.as_bytes());
        let mut text = format!(
            "[bundle]\nversion = 1\nreplaces = 0\n\
             [approvals]\nrequired = 1\n[approver imena]\npublic-key = {key}\n\
             [service sheets]\nshards = 64\ngoal = availability\nkey = segment 2\n\
             [route read]\nservice = sheets\nmethod = GET\npath = /sheets\n\
             repeat = idempotent\npatience = wait\ndeadline = 10 s\n\
             [route issue]\nservice = sheets\nmethod = POST\npath = /sheets\n\
             repeat = once\npatience = wait\ndeadline = 10 s\nneeds-idempotency-key = yes\n\
             [partner brokers]\nweight = 1\ncredential-sha256 = {credential}\n",
        );
        let checks = if self.plan.checks_orders { "yes" } else { "no" };
        for (index, upstream) in self.upstreams.iter().enumerate() {
            text += &format!(
                "[upstream {}]\nservice = sheets\ndata-centre = {}\naddress = {}\n\
                 slots = 2\nconnections = 110\nchecks-orders = {checks}\n",
                upstream.name,
                data_centre(index + 1),
                upstream.address,
            );
        }
        text
    }

    async fn roll(&self) {
        let text = self.bundle();
        let bundle = Bundle::parse("bundle.ini", &text).unwrap();
        let approval = approver_key().approve("imena".parse().unwrap(), &bundle);
        let settings = Settings::default();
        let objects =
            eelgrassrock_store::objects::Client::new(self.objects.address(), settings.clone());
        objects.put(Bytes::from(text)).await.unwrap();
        let table = eelgrassrock_store::table::Client::new(self.table.address(), settings);
        let transaction = Transaction {
            operation: Operation("test-roll".into()),
            checks: vec![Check {
                key: CURRENT_KEY.into(),
                version: Version(0),
            }],
            writes: vec![Write {
                key: CURRENT_KEY.into(),
                value: Some(Record::new(&bundle, vec![approval]).to_json()),
            }],
        };
        let outcome = table.write(&transaction).await;
        assert!(matches!(outcome, Outcome::Committed(_)), "{outcome:?}");
    }
}

impl Upstream {
    fn start(index: usize, checks_orders: bool) -> Self {
        let name = format!("sheets-{index}");
        let mut arguments = vec!["--name", &name, "--slots", "2"];
        if checks_orders {
            arguments.push("--checks-orders");
        }
        let (process, address, admin) = Process::standin("standin-upstream", &arguments);
        Self {
            name,
            process,
            address,
            admin,
        }
    }

    /// Returns the grants that the upstream considers valid, `None` if it doesn't answer.
    pub async fn state(&self) -> Option<State> {
        self.report("/grants/v1/state").await
    }

    /// Returns how often the upstream ran each request, `None` if it doesn't answer.
    pub async fn runs(&self) -> Option<Runs> {
        self.report("/grants/v1/runs").await
    }

    /// Replaces the faults of the upstream.
    pub async fn set_faults(&self, faults: &upstream::Faults) {
        let body = serde_json::to_vec(faults).unwrap();
        let answer = send_to(self.admin, Method::POST, "/faults", &[], &body).await;
        assert!(answer.is_some_and(|answer| answer.status == StatusCode::OK));
    }

    async fn report<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        let answer = send_to(self.admin, Method::GET, path, &[], b"").await?;
        serde_json::from_slice(&answer.body).ok()
    }
}

/// Polls `condition` until it returns a value, and returns that value.
pub async fn until<T>(what: &str, mut condition: impl AsyncFnMut() -> Option<T>) -> T {
    let started = Instant::now();
    loop {
        // The kernel accepts connections for a paused process, which never answers.
        let tried = tokio::time::timeout(Duration::from_secs(2), condition()).await;
        if let Ok(Some(value)) = tried {
            return value;
        }
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "timed out waiting until {what}"
        );
        sleep(POLL).await;
    }
}

/// Returns a loopback address for one fleet, so that the ports of two fleets don't collide.
fn unique_host() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(100);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let last = NEXT.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, last))
}

fn base_port(daemon: usize) -> u16 {
    8_000 + 10 * u16::try_from(daemon).unwrap()
}

fn data_centre(index: usize) -> String {
    format!("kigali-{}", index % 2)
}

fn approver_key() -> Key {
    Key::parse(&"07".repeat(32)).unwrap()
}
