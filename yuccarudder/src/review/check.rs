use {
  super::Finding,
  crate::routing::{Account, Catalog, Definition, Kind, Route, Service},
  std::collections::{HashMap, HashSet},
};

/// Checks a catalog for entries that can never match and for limits that contradict each other.
pub fn check(definition: &Definition) -> Vec<Finding> {
  let mut findings = Vec::new();
  check_routes(definition, &mut findings);
  check_services(definition, &mut findings);
  let accounts = definition.accounts.as_deref().unwrap_or_default();
  check_accounts(accounts, &mut findings);
  if definition.limits.max_body_bytes == 0 {
    findings.push(Finding::error(
      "limits: no body is allowed, as max_body_bytes is 0",
    ));
  }
  findings
}

fn check_routes(definition: &Definition, findings: &mut Vec<Finding>) {
  let services: HashSet<&str> =
    definition.services.iter().map(|service| service.name.as_str()).collect();
  let catalog = Catalog::new(definition.clone());
  let mut names = HashSet::new();
  let mut places: HashMap<(String, &str), &str> = HashMap::new();
  for (host_name, route) in &definition.routes {
    let name = &route.name;
    if !names.insert(name) {
      findings.push(Finding::warning(format!(
        "route {name:?}: an earlier route has the same name; their statistics are shared"
      )));
    }
    check_matching(&catalog, host_name, route, findings);
    let place = (host_name.to_ascii_lowercase(), route.prefix.as_str());
    if let Some(earlier) = places.get(&place) {
      findings.push(Finding::error(format!(
        "route {name:?}: it never matches, as route {earlier:?} has the same host name and prefix"
      )));
    } else {
      places.insert(place, name);
    }
    check_destinations(route, &services, findings);
    check_times(route, findings);
  }
}

/// Checks whether a request can match a route, as far as its host name and prefix tell.
fn check_matching(catalog: &Catalog, host_name: &str, route: &Route, findings: &mut Vec<Finding>) {
  let name = &route.name;
  // The matcher leaves out the port of a request's host, so it finds no route of a name with a port.
  if host_name.is_empty()
    || host_name.contains(['*', '/', ' '])
    || catalog.match_route(host_name, &route.prefix).is_none()
  {
    findings.push(Finding::error(format!(
      "route {name:?}: it never matches, as {host_name:?} is not a host name"
    )));
  }
  let prefix = &route.prefix;
  if !prefix.starts_with('/') || !prefix.ends_with('/') {
    findings.push(Finding::error(format!(
      "route {name:?}: the prefix {prefix:?} does not begin and end with a slash"
    )));
  }
}

fn check_destinations(route: &Route, services: &HashSet<&str>, findings: &mut Vec<Finding>) {
  let name = &route.name;
  for destination in &route.destinations {
    let service = &destination.service;
    if !services.contains(service.as_str()) {
      findings.push(Finding::error(format!(
        "route {name:?}: there is no service {service:?}"
      )));
    }
    if destination.weight == 0 {
      findings.push(Finding::warning(format!(
        "route {name:?}: service {service:?} gets no requests, as its weight is 0"
      )));
    }
  }
  if route.destinations.iter().all(|destination| destination.weight == 0) {
    findings.push(Finding::error(format!(
      "route {name:?}: no service gets its requests"
    )));
  }
}

fn check_times(route: &Route, findings: &mut Vec<Finding>) {
  let name = &route.name;
  let timeout = route.timeout;
  if timeout.is_zero() {
    findings.push(Finding::error(format!(
      "route {name:?}: its timeout is zero"
    )));
    return;
  }
  if route.latency_objective > timeout {
    findings.push(Finding::error(format!(
      "route {name:?}: the latency objective of {:?} is above the timeout of {timeout:?}",
      route.latency_objective
    )));
  }
  if route.pause_objective > timeout {
    findings.push(Finding::error(format!(
      "route {name:?}: the pause objective of {:?} is above the timeout of {timeout:?}",
      route.pause_objective
    )));
  }
  if !route.pause_objective.is_zero() && !matches!(route.kind, Kind::Stream { .. }) {
    findings.push(Finding::warning(format!(
      "route {name:?}: the pause objective has no effect, as its responses are not streams"
    )));
  }
}

fn check_services(definition: &Definition, findings: &mut Vec<Finding>) {
  let destinations = definition.routes.iter().flat_map(|(_, route)| &route.destinations);
  let used: HashSet<&str> = destinations.map(|destination| destination.service.as_str()).collect();
  let mut names = HashSet::new();
  for service in &definition.services {
    let name = &service.name;
    if !names.insert(name) {
      findings.push(Finding::error(format!(
        "service {name:?}: an earlier service has the same name"
      )));
    }
    if !used.contains(name.as_str()) {
      findings.push(Finding::warning(format!(
        "service {name:?}: no route leads to it"
      )));
    }
    check_engine(service, findings);
  }
}

fn check_engine(service: &Service, findings: &mut Vec<Finding>) {
  let Some(engine) = &service.engine else {
    return;
  };
  let name = &service.name;
  let (tokens, slots) = (engine.kv_cache_tokens, engine.slots);
  if tokens < u64::from(slots) {
    findings.push(Finding::error(format!(
      "service {name:?}: its engines have {tokens} KV tokens for {slots} concurrent requests"
    )));
  }
  if slots == 0 {
    findings.push(Finding::error(format!(
      "service {name:?}: its engines run no requests, as their capacity is 0"
    )));
  }
}

fn check_accounts(accounts: &[Account], findings: &mut Vec<Finding>) {
  let mut names = HashSet::new();
  let mut holders: HashMap<&str, &str> = HashMap::new();
  for account in accounts {
    let name = account.name.as_str();
    if !names.insert(name) {
      findings.push(Finding::error(format!(
        "account {name:?}: an earlier account has the same name"
      )));
    }
    if account.credentials.is_empty() {
      findings.push(Finding::warning(format!(
        "account {name:?}: it has no credential"
      )));
    }
    let mut own = HashSet::new();
    for credential in account.credentials.iter().filter(|credential| own.insert(*credential)) {
      if credential.trim().is_empty() {
        findings.push(Finding::error(format!(
          "account {name:?}: a credential is empty"
        )));
      } else if let Some(holder) = holders.insert(credential, name) {
        findings.push(Finding::error(format!(
          "account {name:?}: it has a credential of account {holder:?}"
        )));
      }
    }
    if own.len() < account.credentials.len() {
      findings.push(Finding::warning(format!(
        "account {name:?}: it lists a credential more than once"
      )));
    }
  }
}
