//! Parsing and validation of bundles.

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
use crate::rule::{Address, DurationRange, Named, U32Range, U64Range, YES_NO};

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
        self.reject_unknown_sections();
        let version = self.single_section("bundle", read_version);
        let approvers = self.named_sections("approver", |fields, _| {
            fields.required("public-key", PUBLIC_KEY)
        });
        self.reject_duplicates("approver", "public-key", &approvers);
        let approver_count = self.declared_names("approver").len();
        let required = self.single_section("approvals", |fields| {
            read_required_approvals(fields, approver_count)
        });
        let names = self.declared_names("service");
        let services = self.named_sections("service", |fields, _| read_service(fields));
        let upstreams = self.named_sections("upstream", |fields, _| read_upstream(fields, &names));
        self.reject_duplicate_addresses(&upstreams);
        self.reject_services_without_upstream();
        let routes = self.named_sections("route", |fields, name| read_route(fields, name, &names));
        self.reject_ambiguous_routes(&routes);
        let partners = self.named_sections("partner", |fields, _| read_contract(fields));
        let credentials = self.read_credentials(&partners);
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

    fn reject_unknown_sections(&mut self) {
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

    /// Returns the names of all sections `[kind NAME]`. Sections with faults are
    /// included, so that a reference to one isn't reported as a second fault.
    fn declared_names(&self, kind: &str) -> Vec<&'a str> {
        let titles = self.document.sections.values().map(Section::title);
        let matching = titles.filter(|(found_kind, _)| *found_kind == kind);
        matching.filter_map(|(_, name)| name).collect()
    }

    /// Reads the section `[heading]`, which every bundle must have.
    fn single_section<T>(
        &mut self,
        heading: &str,
        read: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let Some(section) = self.document.sections.get(heading) else {
            let fault = missing_section(self.document, heading, "the section once in each bundle");
            self.faults.push(fault);
            return None;
        };
        self.read_section(section, read)
    }

    /// Reads all sections `[kind NAME]`, and reports a fault if there is none.
    fn named_sections<N: Name, T>(
        &mut self,
        kind: &str,
        read: impl Fn(&mut Fields<'_>, &N) -> Option<T>,
    ) -> IndexMap<N, T> {
        let mut found = IndexMap::new();
        let mut has_section = false;
        for section in self.document.sections.values() {
            let (found_kind, name) = section.title();
            if found_kind != kind {
                continue;
            }
            has_section = true;
            let Some(name) = name.and_then(|name| name.parse::<N>().ok()) else {
                let reason = Kind::Conflict("the section has no valid name".to_owned());
                let fault = section_fault(self.document, section, reason, NAME_ALLOWED);
                self.faults.push(fault);
                continue;
            };
            if let Some(value) = self.read_section(section, |fields| read(fields, &name)) {
                found.insert(name, value);
            }
        }
        if !has_section {
            let heading = format!("{kind} NAME");
            let fault = missing_section(self.document, &heading, "at least one such section");
            self.faults.push(fault);
        }
        found
    }

    fn read_section<T>(
        &mut self,
        section: &Section,
        read: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        let mut fields = Fields::new(self.document, section, self.faults);
        let value = read(&mut fields);
        fields.finish();
        value
    }

    /// Reports that `key` of the section `[kind name]` conflicts with another section.
    fn conflict(
        &mut self,
        kind: &str,
        name: &str,
        key: &'static str,
        reason: String,
        allowed: &str,
    ) {
        let heading = format!("{kind} {name}");
        let Some(section) = self.document.sections.get(&heading) else {
            return;
        };
        Fields::new(self.document, section, self.faults).conflict(key, reason, allowed);
    }

    /// Reports each entry whose value equals that of an earlier entry.
    fn reject_duplicates<N: Name, T: Eq + Hash>(
        &mut self,
        kind: &str,
        key: &'static str,
        entries: &IndexMap<N, T>,
    ) {
        let mut first_names: IndexMap<&T, &N> = IndexMap::new();
        for (name, value) in entries {
            let Some(other) = first_names.get(value) else {
                first_names.insert(value, name);
                continue;
            };
            let reason = format!("{kind} `{}` has the same", other.as_str());
            let allowed = format!("a value of its own for each {kind}");
            self.conflict(kind, name.as_str(), key, reason, &allowed);
        }
    }

    fn reject_duplicate_addresses(
        &mut self,
        upstreams: &IndexMap<eelgrassrock_model::Upstream, fleet::Upstream>,
    ) {
        let pairs = upstreams.iter();
        let addresses = pairs.map(|(name, upstream)| (name.clone(), upstream.address));
        let addresses: IndexMap<_, _> = addresses.collect();
        self.reject_duplicates("upstream", "address", &addresses);
    }

    fn reject_services_without_upstream(&mut self) {
        let sections = self.document.sections.values();
        let upstreams = sections.filter(|section| section.title().0 == "upstream");
        let served: IndexSet<&str> = upstreams
            .filter_map(|section| section.properties.get("service"))
            .map(|property| property.value.as_str())
            .collect();
        for name in self.declared_names("service") {
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

    fn reject_ambiguous_routes(&mut self, routes: &IndexMap<eelgrassrock_model::Route, Route>) {
        let pairs = routes.iter();
        let rules =
            pairs.map(|(name, route)| (name.clone(), (route.method.clone(), route.prefix.clone())));
        let rules: IndexMap<_, _> = rules.collect();
        self.reject_duplicates("route", "path", &rules);
    }

    fn read_credentials(
        &mut self,
        partners: &IndexMap<eelgrassrock_model::Partner, Contract>,
    ) -> IndexMap<Digest, eelgrassrock_model::Partner> {
        let pairs = partners.iter();
        let digests = pairs.map(|(name, contract)| (name.clone(), contract.credential));
        let digests: IndexMap<_, _> = digests.collect();
        self.reject_duplicates("partner", "credential-sha256", &digests);
        digests
            .into_iter()
            .map(|(name, digest)| (digest, name))
            .collect()
    }
}

fn read_version(fields: &mut Fields<'_>) -> Option<Version> {
    let version = fields.required("version", U64Range(1..=u64::MAX - 1));
    let replaces = fields.required("replaces", U64Range(0..=u64::MAX - 1));
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

fn read_required_approvals(fields: &mut Fields<'_>, approvers: usize) -> Option<usize> {
    let required = fields.required("required", U64Range(1..=1_000))?;
    let required = usize::try_from(required).ok()?;
    if required > approvers {
        let reason = format!("the bundle has only {approvers} approvers");
        fields.conflict("required", reason, "at most as many as there are approvers");
    }
    Some(required)
}

fn read_service(fields: &mut Fields<'_>) -> Option<Service> {
    let shards = fields.required("shards", SHARDS);
    let goal = fields.with_default("goal", GOAL, fleet::Goal::default());
    let key = fields.required("key", KEY);
    Some(Service {
        shards: shards?,
        goal,
        key: key?,
    })
}

fn read_upstream(fields: &mut Fields<'_>, services: &[&str]) -> Option<fleet::Upstream> {
    let service = fields.required("service", Named::new());
    reject_unknown_service(fields, service.as_ref(), services);
    let data_centre = fields.required("data-centre", Named::new());
    let address = fields.required("address", Address);
    let slots = fields.required("slots", U32Range(1..=10_000));
    let connections = fields.required("connections", U32Range(1..=100_000));
    let checks_orders = fields.with_default("checks-orders", YES_NO, false);
    let checks_idempotency = fields.with_default("checks-idempotency", YES_NO, false);
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

fn reject_unknown_service(
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
    reject_unknown_service(fields, service.as_ref(), services);
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
    let deadline = fields.required(
        "deadline",
        DurationRange(Duration::from_millis(1)..=MAX_DEADLINE),
    );
    let once = repeat == Some(fleet::Repeat::Once);
    let needs_idempotency_key = fields.with_default("needs-idempotency-key", YES_NO, once);
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
    let weight = fields.required("weight", U32Range(1..=1_000));
    let credential = fields.required("credential-sha256", DIGEST);
    Some(Contract {
        weight: weight?,
        credential: credential?,
    })
}
