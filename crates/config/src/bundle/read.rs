//! Reading of bundles from INI.

use std::hash::Hash;
use std::sync::Arc;
use std::time::Duration;

use eelgrassrock_model::{Digest, Name, Version, fleet};
use indexmap::{IndexMap, IndexSet};

use crate::bundle::rules::{
    DIGEST, GOAL, KEY, MAX_DEADLINE, METHOD, PATIENCE, PREFIX, PUBLIC_KEY, REPEAT, SHARDS,
};
use crate::bundle::{Bundle, Contract, Service, digest_of};
use crate::document::{self, Document, Section};
use crate::fault::{Fault, Kind, Report};
use crate::fields::{Fields, missing_section, section_fault};
use crate::route::{Route, Routes};
use crate::rule::{Address, Named, Number, Small, Span, YES_NO};

const SECTIONS: &str = "[bundle], [approvals], [approver NAME], [service NAME], [route NAME], \
                        [upstream NAME], [partner NAME]";
const NAME_ALLOWED: &str = "a heading such as `[upstream a1]` with a name of 1 to 63 characters \
                            made of a-z, 0-9 and `-`";

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

impl<'a> Reader<'a> {
    fn bundle(&mut self, text: &str) -> Option<Bundle> {
        self.refuse_unknown_sections();
        let version = self.single("bundle", read_version);
        let approvers = self.named("approver", |fields, _| {
            fields.required("public-key", PUBLIC_KEY)
        });
        self.refuse_repeated("approver", "public-key", &approvers);
        let count = self.declared("approver").len();
        let required = self.single("approvals", |fields| read_required(fields, count));
        let names = self.declared("service");
        let services = self.named("service", |fields, _| read_service(fields));
        let upstreams = self.named("upstream", |fields, _| read_upstream(fields, &names));
        self.refuse_addresses(&upstreams);
        self.refuse_idle_services();
        let routes = self.named("route", |fields, name| read_route(fields, name, &names));
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

    /// Returns the names of all sections `[kind NAME]`, also of faulty ones, so
    /// that one fault doesn't bring others about.
    fn declared(&self, kind: &str) -> Vec<&'a str> {
        let titles = self.document.sections.values().map(Section::title);
        let named = titles.filter(|(present, _)| *present == kind);
        named.filter_map(|(_, name)| name).collect()
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

    fn refuse_idle_services(&mut self) {
        let sections = self.document.sections.values();
        let upstreams = sections.filter(|section| section.title().0 == "upstream");
        let served: IndexSet<&str> = upstreams
            .filter_map(|section| section.properties.get("service"))
            .map(|property| property.value.as_str())
            .collect();
        for name in self.declared("service") {
            let heading = format!("service {name}");
            if served.contains(name) {
                continue;
            }
            let section = &self.document.sections[&heading];
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
        let reason = format!("the bundle has only {approvers} approvers");
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

fn read_upstream(fields: &mut Fields<'_>, services: &[&str]) -> Option<fleet::Upstream> {
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
    services: &[&str],
) {
    if service.is_some_and(|service| !services.contains(&service.as_str())) {
        let allowed = format!("one of the services: {}", services.join(", "));
        let reason = "the bundle has no such service".to_owned();
        fields.conflict("service", reason, &allowed);
    }
}

fn read_route(
    fields: &mut Fields<'_>,
    name: &eelgrassrock_model::Route,
    services: &[&str],
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
