//! Reading of bundles from INI.

use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use ed25519_dalek::VerifyingKey;
use eelgrassrock_model::{Digest, Name, Version, fleet, shard};
use http::Method;
use indexmap::IndexMap;

use crate::bundle::{Bundle, Contract, Service, digest_of};
use crate::document::{self, Document, Section};
use crate::fault::{Fault, Kind, Report};
use crate::fields::{Fields, missing_section, section_fault};
use crate::key;
use crate::route::{Prefix, Route, Routes};
use crate::rule::{Address, Choice, Named, Number, Parsed, Small, Span, YES_NO};

const SECTIONS: &str = "[bundle], [approvals], [approver NAME], [service NAME], [route NAME], \
                        [upstream NAME], [partner NAME]";
const NAME_ALLOWED: &str = "a heading such as `[upstream a1]` with a name of 1 to 63 characters \
                            made of a-z, 0-9 and `-`";
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

const GOAL: Choice<fleet::Goal> = Choice(&[
    ("availability", fleet::Goal::Availability),
    ("balance", fleet::Goal::Balance),
]);

const REPEAT: Choice<fleet::Repeat> = Choice(&[
    ("idempotent", fleet::Repeat::Idempotent),
    ("once", fleet::Repeat::Once),
]);

const KEY: Parsed<key::Source> = Parsed {
    parse: key::Source::parse,
    allowed: "`segment N` (part N of the path, 1 to 16), `header NAME` or `query NAME`",
};

const PREFIX: Parsed<Prefix> = Parsed {
    parse: Prefix::parse,
    allowed: "a path such as `/sheets/v1` of letters, digits and `-_.~`, without a slash at the end",
};

const METHOD: Parsed<Method> = Parsed {
    parse: parse_method,
    allowed: "`GET`, `HEAD`, `POST`, `PUT`, `PATCH`, `DELETE` or `OPTIONS`",
};

const PATIENCE: Parsed<fleet::Patience> = Parsed {
    parse: parse_patience,
    allowed: "`wait`, or `prompt` with a time, such as `prompt 200 ms`",
};

const SHARDS: Parsed<shard::Count> = Parsed {
    parse: parse_shards,
    allowed: "a power of two from 1 to 1048576",
};

const DIGEST: Parsed<Digest> = Parsed {
    parse: parse_digest,
    allowed: "a SHA-256 digest of 64 hexadecimal digits",
};

const PUBLIC_KEY: Parsed<VerifyingKey> = Parsed {
    parse: parse_public_key,
    allowed: "an Ed25519 public key of 64 hexadecimal digits, as `eelgrassrock bundle keygen` prints",
};

fn parse_method(text: &str) -> Option<Method> {
    let methods = [
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
        Method::OPTIONS,
    ];
    methods.into_iter().find(|method| method.as_str() == text)
}

fn parse_patience(text: &str) -> Option<fleet::Patience> {
    if text == "wait" {
        return Some(fleet::Patience::Wait);
    }
    let span = text.strip_prefix("prompt ")?.trim_start();
    let rule = Span(Duration::from_millis(1)..=MAX_DEADLINE);
    crate::rule::Rule::parse(&rule, span).map(fleet::Patience::Prompt)
}

fn parse_shards(text: &str) -> Option<shard::Count> {
    let count: u32 = text.parse().ok()?;
    shard::Count::try_from(count).ok()
}

fn parse_digest(text: &str) -> Option<Digest> {
    text.parse().ok()
}

fn parse_public_key(text: &str) -> Option<VerifyingKey> {
    let mut bytes = [0; 32];
    hex::decode_to_slice(text, &mut bytes).ok()?;
    let key = VerifyingKey::from_bytes(&bytes).ok()?;
    (!key.is_weak()).then_some(key)
}

pub(super) fn parse(file: &str, text: &str) -> Result<Bundle, Report> {
    let mut faults = Vec::new();
    let document = document::read(file, text, &mut faults);
    let mut reader = Reader {
        document: &document,
        faults: &mut faults,
    };
    let bundle = reader.bundle(text);
    match bundle {
        Some(bundle) if faults.is_empty() => Ok(bundle),
        _ => Err(Report::new(faults)),
    }
}

struct Reader<'a> {
    document: &'a Document,
    faults: &'a mut Vec<Fault>,
}

impl Reader<'_> {
    fn bundle(&mut self, text: &str) -> Option<Bundle> {
        self.refuse_unknown_sections();
        let version = self.single("bundle", read_version);
        let approvers = self.named("approver", |fields, _| {
            fields.required("public-key", PUBLIC_KEY)
        });
        self.refuse_repeated("approver", "public-key", &approvers);
        let count = approvers.len();
        let required = self.single("approvals", |fields| read_required(fields, count));
        let services = self.named("service", |fields, _| read_service(fields));
        let upstreams = self.named("upstream", |fields, _| read_upstream(fields, &services));
        self.refuse_addresses(&upstreams);
        self.refuse_idle_services(&services, &upstreams);
        let routes = self.named("route", |fields, name| read_route(fields, name, &services));
        self.refuse_ambiguous_routes(&routes);
        let partners = self.named("partner", |fields, _| read_contract(fields));
        let credentials = self.credentials(&partners);
        Some(Bundle {
            text: Arc::from(text),
            digest: digest_of(text.as_bytes()),
            version: version?,
            services,
            routes: Routes::new(routes.into_values().collect()),
            upstreams,
            partners,
            credentials,
            approvers,
            required_approvals: required?,
        })
    }

    fn refuse_unknown_sections(&mut self) {
        for section in self.document.sections.values() {
            let (kind, name) = section.title();
            let known = match kind {
                "bundle" | "approvals" => name.is_none(),
                "approver" | "service" | "route" | "upstream" | "partner" => true,
                _ => false,
            };
            if !known {
                let fault = section_fault(self.document, section, Kind::UnknownSection, SECTIONS);
                self.faults.push(fault);
            }
        }
    }

    fn single<T>(
        &mut self,
        heading: &str,
        read: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let Some(section) = self.document.sections.get(heading) else {
            let fault = missing_section(self.document, heading, "the section once in each bundle");
            self.faults.push(fault);
            return None;
        };
        self.fields(section, read)
    }

    /// Reads all sections `[kind NAME]`, of which there is at least one.
    fn named<N: Name, T>(
        &mut self,
        kind: &str,
        read: impl Fn(&mut Fields<'_>, &N) -> Option<T>,
    ) -> IndexMap<N, T> {
        let mut found = IndexMap::new();
        let mut any = false;
        for section in self.document.sections.values() {
            let (present, name) = section.title();
            if present != kind {
                continue;
            }
            any = true;
            let Some(name) = name.and_then(|name| name.parse::<N>().ok()) else {
                let reason = Kind::Conflict("the section has no valid name".to_owned());
                let fault = section_fault(self.document, section, reason, NAME_ALLOWED);
                self.faults.push(fault);
                continue;
            };
            if let Some(value) = self.fields(section, |fields| read(fields, &name)) {
                found.insert(name, value);
            }
        }
        if !any {
            let heading = format!("{kind} NAME");
            let fault = missing_section(self.document, &heading, "at least one such section");
            self.faults.push(fault);
        }
        found
    }

    fn fields<T>(
        &mut self,
        section: &Section,
        read: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let mut fields = Fields::new(self.document, section, self.faults);
        let value = read(&mut fields);
        fields.finish();
        value
    }

    /// Notes a contradiction between the section `[kind name]` and another.
    fn conflict(&mut self, kind: &str, name: &str, key: &'static str, reason: String, fix: &str) {
        let heading = format!("{kind} {name}");
        let Some(section) = self.document.sections.get(&heading) else {
            return;
        };
        Fields::new(self.document, section, self.faults).conflict(key, reason, fix);
    }

    /// Notes each entry whose value an earlier one has as well.
    fn refuse_repeated<N: Name, T: Eq + Hash>(
        &mut self,
        kind: &str,
        key: &'static str,
        entries: &IndexMap<N, T>,
    ) {
        let mut first: IndexMap<&T, &N> = IndexMap::new();
        for (name, value) in entries {
            let Some(other) = first.get(value) else {
                first.insert(value, name);
                continue;
            };
            let reason = format!("{kind} `{}` has the same", other.as_str());
            let fix = format!("a value of its own for each {kind}");
            self.conflict(kind, name.as_str(), key, reason, &fix);
        }
    }

    fn refuse_addresses(
        &mut self,
        upstreams: &IndexMap<eelgrassrock_model::Upstream, fleet::Upstream>,
    ) {
        let pairs = upstreams.iter();
        let addresses = pairs.map(|(name, upstream)| (name.clone(), upstream.address));
        let addresses: IndexMap<_, _> = addresses.collect();
        self.refuse_repeated("upstream", "address", &addresses);
    }

    fn refuse_idle_services(
        &mut self,
        services: &IndexMap<eelgrassrock_model::Service, Service>,
        upstreams: &IndexMap<eelgrassrock_model::Upstream, fleet::Upstream>,
    ) {
        for name in services.keys() {
            let heading = format!("service {}", name.as_str());
            let served = upstreams.values().any(|upstream| upstream.service == *name);
            let Some(section) = self.document.sections.get(&heading).filter(|_| !served) else {
                continue;
            };
            let kind = Kind::Conflict("the service has no upstream".to_owned());
            let allowed = "an `[upstream NAME]` with this `service`";
            let fault = section_fault(self.document, section, kind, allowed);
            self.faults.push(fault);
        }
    }

    fn refuse_ambiguous_routes(&mut self, routes: &IndexMap<eelgrassrock_model::Route, Route>) {
        let pairs = routes.iter();
        let rules =
            pairs.map(|(name, route)| (name.clone(), (route.method.clone(), route.prefix.clone())));
        let rules: IndexMap<_, _> = rules.collect();
        self.refuse_repeated("route", "path", &rules);
    }

    fn credentials(
        &mut self,
        partners: &IndexMap<eelgrassrock_model::Partner, Contract>,
    ) -> IndexMap<Digest, eelgrassrock_model::Partner> {
        let pairs = partners.iter();
        let digests = pairs.map(|(name, contract)| (name.clone(), contract.credential));
        let digests: IndexMap<_, _> = digests.collect();
        self.refuse_repeated("partner", "credential-sha256", &digests);
        digests
            .into_iter()
            .map(|(name, digest)| (digest, name))
            .collect()
    }
}

fn read_version(fields: &mut Fields<'_>) -> Option<Version> {
    let version = fields.required("version", Number(1..=u64::MAX - 1));
    let replaces = fields.required("replaces", Number(0..=u64::MAX - 1));
    let (version, replaces) = (version?, replaces?);
    if replaces != version - 1 {
        let reason = format!("version {version} must replace version {}", version - 1);
        fields.conflict(
            "replaces",
            reason,
            "the version before, 0 for the first bundle",
        );
    }
    Some(Version(version))
}

fn read_required(fields: &mut Fields<'_>, approvers: usize) -> Option<usize> {
    let required = fields.required("required", Number(1..=1_000))?;
    let required = usize::try_from(required).ok()?;
    if required > approvers {
        let reason = format!("the bundle has only {approvers} valid approvers");
        fields.conflict("required", reason, "at most as many as there are approvers");
    }
    Some(required)
}

fn read_service(fields: &mut Fields<'_>) -> Option<Service> {
    let shards = fields.required("shards", SHARDS);
    let goal = fields.or("goal", GOAL, fleet::Goal::default());
    let key = fields.required("key", KEY);
    Some(Service {
        shards: shards?,
        goal,
        key: key?,
    })
}

fn read_upstream(
    fields: &mut Fields<'_>,
    services: &IndexMap<eelgrassrock_model::Service, Service>,
) -> Option<fleet::Upstream> {
    let service = fields.required("service", Named::new());
    refuse_unknown_service(fields, service.as_ref(), services);
    let data_centre = fields.required("data-centre", Named::new());
    let address = fields.required("address", Address);
    let slots = fields.required("slots", Small(1..=10_000));
    let connections = fields.required("connections", Small(1..=100_000));
    let checks_orders = fields.or("checks-orders", YES_NO, false);
    let checks_idempotency = fields.or("checks-idempotency", YES_NO, false);
    let (slots, connections) = (slots?, connections?);
    if connections < slots {
        let reason = format!("there are {slots} slots, more than connections");
        fields.conflict("connections", reason, "at least as many as `slots`");
    }
    Some(fleet::Upstream {
        service: service?,
        data_centre: data_centre?,
        address: address?,
        slots,
        connections,
        checks_orders,
        checks_idempotency,
    })
}

fn refuse_unknown_service(
    fields: &mut Fields<'_>,
    service: Option<&eelgrassrock_model::Service>,
    services: &IndexMap<eelgrassrock_model::Service, Service>,
) {
    if service.is_some_and(|service| !services.contains_key(service)) {
        let names: Vec<&str> = services.keys().map(Name::as_str).collect();
        let allowed = format!("one of the services: {}", names.join(", "));
        let reason = "the bundle has no such service".to_owned();
        fields.conflict("service", reason, &allowed);
    }
}

fn read_route(
    fields: &mut Fields<'_>,
    name: &eelgrassrock_model::Route,
    services: &IndexMap<eelgrassrock_model::Service, Service>,
) -> Option<Route> {
    let service = fields.required("service", Named::new());
    refuse_unknown_service(fields, service.as_ref(), services);
    let method = fields.required("method", METHOD);
    let prefix = fields.required("path", PREFIX);
    let class = read_class(fields, name);
    Some(Route {
        service: service?,
        method: method?,
        prefix: prefix?,
        class: Arc::new(class?),
    })
}

fn read_class(fields: &mut Fields<'_>, name: &eelgrassrock_model::Route) -> Option<fleet::Class> {
    let repeat = fields.required("repeat", REPEAT);
    let patience = fields.required("patience", PATIENCE);
    let deadline = fields.required("deadline", Span(Duration::from_millis(1)..=MAX_DEADLINE));
    let once = repeat == Some(fleet::Repeat::Once);
    let needs_idempotency_key = fields.or("needs-idempotency-key", YES_NO, once);
    let (patience, deadline) = (patience?, deadline?);
    if matches!(patience, fleet::Patience::Prompt(prompt) if prompt > deadline) {
        let reason = "the time to start is longer than the deadline".to_owned();
        fields.conflict("patience", reason, "at most `deadline`");
    }
    Some(fleet::Class {
        name: Arc::from(name.as_str()),
        repeat: repeat?,
        patience,
        deadline,
        needs_idempotency_key,
    })
}

fn read_contract(fields: &mut Fields<'_>) -> Option<Contract> {
    let weight = fields.required("weight", Small(1..=1_000));
    let credential = fields.required("credential-sha256", DIGEST);
    Some(Contract {
        weight: weight?,
        credential: credential?,
    })
}
