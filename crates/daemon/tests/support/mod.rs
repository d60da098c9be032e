//! Deployment in the test process: stand-ins, and daemons on a loopback address of their
//! own.

#![allow(dead_code, unreachable_pub, reason = "no test file uses all items")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bytes::Bytes;
use eelgrassrock_config::approval::Key;
use eelgrassrock_config::bundle::{Bundle, digest_of};
use eelgrassrock_config::roll::{CURRENT_KEY, Record, version_key};
use eelgrassrock_config::secret::Environment;
use eelgrassrock_config::settings::Settings;
use eelgrassrock_daemon::Daemon;
use eelgrassrock_model::Version;
use eelgrassrock_model::table::{Check, Operation, Outcome, Transaction, Write};
use eelgrassrock_standin::{Addresses, objects as stand_objects, table as stand_table};
use eelgrassrock_standin::{upstream, vms};
use eelgrassrock_store::{objects, settings as platform, table};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep};

pub const SECRET: &str = "secret-of-the-test-deployment";
pub const CREDENTIAL: &str = "credential-of-brokers";

/// Maximum time to wait for a condition. It only limits how long a failing test runs.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Running stand-ins and daemons.
pub struct Deployment {
    host: IpAddr,
    pub table: stand_table::Server,
    pub objects: stand_objects::Server,
    pub vms: vms::Server,
    pub upstreams: Vec<upstream::Server>,
    pub daemons: Vec<Option<Daemon>>,
}

/// Size of a deployment, and whether its upstreams check orders.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub daemons: usize,
    pub upstreams: usize,
    pub checks_orders: bool,
}

/// Response to a request of a test.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }
}

/// Returns a loopback address for one deployment, so that the ports of two deployments don't
/// collide.
fn unique_host() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let third = NEXT.fetch_add(1, Ordering::Relaxed);
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, third))
}

struct Secrets;

impl Environment for Secrets {
    fn file(&self, _: &str) -> Result<String, String> {
        Err("no files in tests".to_owned())
    }

    fn variable(&self, _: &str) -> Option<String> {
        Some(SECRET.to_owned())
    }
}

impl Deployment {
    /// Starts stand-ins and daemons, rolls a bundle and waits until every daemon serves
    /// every key.
    pub async fn start(size: Size) -> Self {
        let host = unique_host();
        let addresses = |port| Addresses {
            listen: SocketAddr::new(host, port),
            admin: SocketAddr::new(host, port + 1),
        };
        let mut deployment = Self {
            host,
            table: stand_table::Server::start(addresses(9_000)).await.unwrap(),
            objects: stand_objects::Server::start(addresses(9_002))
                .await
                .unwrap(),
            vms: vms::Server::start(addresses(9_004)).await.unwrap(),
            upstreams: Vec::new(),
            daemons: Vec::new(),
        };
        for index in 0..size.upstreams {
            let config = upstream::Config {
                name: upstream_name(index),
                slots: 2,
                checks_orders: size.checks_orders,
                checks_idempotency: false,
            };
            let port = 9_100 + 2 * u16::try_from(index).unwrap();
            let server = upstream::Server::start(config, addresses(port))
                .await
                .unwrap();
            deployment.upstreams.push(server);
        }
        deployment.list_vms(size.daemons);
        deployment.roll(&deployment.bundle(size, 1)).await;
        for index in 0..size.daemons {
            let daemon = deployment.start_daemon(index).await;
            deployment.daemons.push(Some(daemon));
        }
        deployment.until_served().await;
        deployment
    }

    fn list_vms(&self, daemons: usize) {
        let vm = |index| vms::Vm {
            name: router_name(index),
            address: self.peers(index).to_string(),
            data_centre: data_centre(index),
            kind: "router".to_owned(),
            state: "live".to_owned(),
        };
        let list = (0..daemons).map(vm).collect();
        self.vms.set_faults(vms::Faults {
            vms: Some(list),
            ..vms::Faults::default()
        });
    }

    /// Starts the daemon `router-{index}`.
    pub async fn start_daemon(&self, index: usize) -> Daemon {
        let text = self.settings(index);
        let settings = Settings::parse("router.ini", &text, &Secrets).unwrap();
        Daemon::start(settings).await.unwrap()
    }

    fn settings(&self, index: usize) -> String {
        let host = self.host;
        let base = base_port(index);
        format!(
            "[router]\nname = {name}\ndata-centre = {data_centre}\n\
             [listen]\ncallers = {host}:{base}\npeers = {host}:{peers}\n\
             peers-http = {host}:{hops}\nadmin = {host}:{admin}\n\
             [platform]\ntable = {table}\nobjects = {objects}\nvms = {vms}\n\
             [secret]\nenvironment = SECRET\n\
             [limits]\nheader-bytes = 16384\nbody-bytes = 1048576\n\
             header-timeout = 2 s\nconnections = 4096\n\
             [drain]\nlimit = 20 s\n[log]\nlevel = {level}\n",
            name = router_name(index),
            data_centre = data_centre(index),
            peers = base + 1,
            hops = base + 2,
            admin = base + 3,
            table = self.table.address(),
            objects = self.objects.address(),
            vms = self.vms.address(),
            level = std::env::var("TEST_LOG").unwrap_or_else(|_| "error".to_owned()),
        )
    }

    /// Returns the text of a bundle with the given version.
    pub fn bundle(&self, size: Size, version: u64) -> String {
        let key = approver_key().public();
        let credential = digest_of(CREDENTIAL.as_bytes());
        let mut text = format!(
            "[bundle]\nversion = {version}\nreplaces = {}\n\
             [approvals]\nrequired = 1\n[approver imena]\npublic-key = {key}\n\
             [service sheets]\nshards = 64\ngoal = availability\nkey = segment 2\n\
             [route read]\nservice = sheets\nmethod = GET\npath = /sheets\n\
             repeat = idempotent\npatience = wait\ndeadline = 10 s\n\
             [route issue]\nservice = sheets\nmethod = POST\npath = /sheets\n\
             repeat = once\npatience = wait\ndeadline = 10 s\nneeds-idempotency-key = yes\n\
             [partner brokers]\nweight = 1\ncredential-sha256 = {credential}\n",
            version - 1,
        );
        let checks = if size.checks_orders { "yes" } else { "no" };
        for (index, server) in self.upstreams.iter().enumerate() {
            text += &format!(
                "[upstream {}]\nservice = sheets\ndata-centre = {}\naddress = {}\n\
                 slots = 2\nconnections = 110\nchecks-orders = {checks}\n",
                upstream_name(index),
                data_centre(index + 1),
                server.address(),
            );
        }
        text
    }

    /// Writes a bundle, approved by the approver of the deployment, to the object store and
    /// the table.
    pub async fn roll(&self, text: &str) {
        self.roll_as(text, &approver_key()).await;
    }

    /// Writes a bundle, approved with `key`, to the object store and the table. Doesn't check
    /// whether it may come into force.
    pub async fn roll_as(&self, text: &str, key: &Key) {
        let bundle = Bundle::parse("bundle.ini", text).unwrap();
        let approval = key.approve("imena".parse().unwrap(), &bundle);
        let objects = objects::Client::new(self.objects.address(), platform::Settings::default());
        objects.put(Bytes::from(text.to_owned())).await.unwrap();
        let client = table::Client::new(self.table.address(), platform::Settings::default());
        let row = client.read(CURRENT_KEY).await.unwrap();
        let version = row.map_or(Version(0), |row| row.version);
        let value = Some(Record::new(&bundle, vec![approval]).to_json());
        let write = |key: &str| Write {
            key: key.into(),
            value: value.clone(),
        };
        let transaction = Transaction {
            operation: Operation("test-roll".into()),
            checks: vec![Check {
                key: CURRENT_KEY.into(),
                version,
            }],
            writes: vec![write(CURRENT_KEY), write(&version_key(bundle.version()))],
        };
        let outcome = client.write(&transaction).await;
        assert!(matches!(outcome, Outcome::Committed(_)), "{outcome:?}");
    }

    /// Waits until a daemon has refused a bundle.
    pub async fn until_bundle_refused(&self, daemon: usize) {
        let started = Instant::now();
        while self.status(daemon).await["refused_bundle"].is_null() {
            assert!(started.elapsed() < WAIT_LIMIT, "no bundle was refused");
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until a version is in force at a daemon.
    pub async fn until_version(&self, daemon: usize, version: u64) {
        let started = Instant::now();
        while self.status(daemon).await["version"] != version {
            assert!(
                started.elapsed() < WAIT_LIMIT,
                "version {version} isn't in force"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until every running daemon serves 32 keys.
    pub async fn until_served(&self) {
        for index in 0..self.daemons.len() {
            if self.daemons[index].is_some() {
                for key in 0..32 {
                    self.until_read(index, &format!("/sheets/key-{key}")).await;
                }
            }
        }
    }

    /// Waits until a read through a daemon succeeds.
    pub async fn until_read(&self, daemon: usize, path: &str) -> Answer {
        let started = Instant::now();
        loop {
            let last = self.try_send(daemon, Method::GET, path, &[], b"").await;
            match last {
                Some(answer) if answer.status == StatusCode::OK => return answer,
                last if started.elapsed() > WAIT_LIMIT => {
                    for daemon in 0..self.daemons.len() {
                        if self.daemons[daemon].is_some() {
                            println!("{:#}", self.status(daemon).await["ownership"]);
                        }
                    }
                    panic!("{path} is not served: {last:?}");
                }
                _ => sleep(Duration::from_millis(20)).await,
            }
        }
    }

    /// Sends a request through a daemon.
    pub async fn send(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Answer {
        self.try_send(daemon, method, path, headers, body)
            .await
            .expect("the daemon answers")
    }

    /// Sends a request, `None` if the connection fails.
    pub async fn try_send(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> Option<Answer> {
        let authorization = format!("Bearer {CREDENTIAL}");
        let mut all = vec![("authorization", authorization.as_str())];
        all.extend_from_slice(headers);
        send_to(self.callers(daemon), method, path, &all, body).await
    }

    /// Returns the status of a daemon.
    pub async fn status(&self, daemon: usize) -> serde_json::Value {
        let authorization = format!("Bearer {SECRET}");
        let headers = [("authorization", authorization.as_str())];
        let answer = send_to(self.admin(daemon), Method::GET, "/status", &headers, b"").await;
        answer.expect("the admin port answers").json()
    }

    /// Returns the address of a daemon's port for callers.
    pub fn callers(&self, daemon: usize) -> SocketAddr {
        SocketAddr::new(self.host, base_port(daemon))
    }

    /// Returns the address of a daemon's port for messages.
    pub fn peers(&self, daemon: usize) -> SocketAddr {
        SocketAddr::new(self.host, base_port(daemon) + 1)
    }

    /// Returns the address of a daemon's port for forwarded requests.
    pub fn hops(&self, daemon: usize) -> SocketAddr {
        SocketAddr::new(self.host, base_port(daemon) + 2)
    }

    /// Returns the address of a daemon's admin port.
    pub fn admin(&self, daemon: usize) -> SocketAddr {
        SocketAddr::new(self.host, base_port(daemon) + 3)
    }

    /// Returns how often a request with an idempotency key ran, over all
    /// upstreams.
    pub fn runs(&self, key: &str) -> u64 {
        let runs = self.upstreams.iter().map(upstream::Server::runs);
        runs.map(|runs| runs.by_key.get(key).copied().unwrap_or(0))
            .sum()
    }
}

/// Sends a request over a new connection, `None` if the connection fails.
pub async fn send_to(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Answer> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .ok()?;
    let connection = tokio::spawn(connection);
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string());
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::copy_from_slice(body)))
        .unwrap();
    let response = sender.send_request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    connection.abort();
    Some(Answer {
        status: parts.status,
        headers: parts.headers,
        body,
    })
}

fn base_port(daemon: usize) -> u16 {
    8_000 + 10 * u16::try_from(daemon).unwrap()
}

fn router_name(index: usize) -> String {
    format!("router-{index}")
}

fn upstream_name(index: usize) -> String {
    format!("sheets-{index}")
}

fn data_centre(index: usize) -> String {
    format!("kigali-{}", index % 2)
}

pub fn approver_key() -> Key {
    Key::parse(&"07".repeat(32)).unwrap()
}
