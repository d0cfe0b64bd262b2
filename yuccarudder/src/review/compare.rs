use {
  super::Finding,
  crate::routing::{Account, Definition, Route, Service},
  std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Debug,
  },
};

/// Returns how a catalog differs from the one in force.
pub fn compare(current: &Definition, new: &Definition) -> Vec<Finding> {
  let mut findings = Vec::new();
  if new.version <= current.version {
    findings.push(Finding::error(format!(
      "version: {} is not above {}, which is in force",
      new.version, current.version
    )));
  }
  let routes = |definition: &'_ Definition| {
    let routes = definition.routes.iter().cloned();
    first_by_key(routes.map(|(host_name, route)| {
      let place = format!("{}{}", host_name.to_ascii_lowercase(), route.prefix);
      (place, route)
    }))
  };
  compare_entries(
    "route",
    &routes(current),
    &routes(new),
    route_changes,
    &mut findings,
  );
  let services = |definition: &Definition| {
    let services = definition.services.iter().cloned();
    first_by_key(services.map(|service| (service.name.clone(), service)))
  };
  compare_entries(
    "service",
    &services(current),
    &services(new),
    service_changes,
    &mut findings,
  );
  let accounts = |definition: &Definition| {
    let accounts = definition.accounts.iter().flatten().cloned();
    first_by_key(accounts.map(|account| (account.name.clone(), account)))
  };
  compare_entries(
    "account",
    &accounts(current),
    &accounts(new),
    account_changes,
    &mut findings,
  );
  if current.accounts.is_some() != new.accounts.is_some() {
    let text = if new.accounts.is_some() {
      "accounts: requests need a credential from now on"
    } else {
      "accounts: requests need no credential any more"
    };
    findings.push(Finding::change(text));
  }
  let [before, after] = [current, new].map(|definition| definition.limits.max_body_bytes);
  if before != after {
    findings.push(Finding::change(format!(
      "limits: max_body_bytes {before} -> {after}"
    )));
  }
  findings
}

/// Returns the entries by key; of several with the same key, the first.
fn first_by_key<T>(entries: impl Iterator<Item = (String, T)>) -> BTreeMap<String, T> {
  let mut by_key = BTreeMap::new();
  for (key, entry) in entries {
    by_key.entry(key).or_insert(entry);
  }
  by_key
}

/// Adds a finding for each entry that was added, removed or changed. `changes` returns what changed of an entry.
fn compare_entries<T>(
  kind: &str,
  current: &BTreeMap<String, T>,
  new: &BTreeMap<String, T>,
  changes: impl Fn(&T, &T) -> Vec<String>,
  findings: &mut Vec<Finding>,
) {
  for (key, entry) in new {
    let Some(before) = current.get(key) else {
      findings.push(Finding::change(format!("{kind} {key:?}: added")));
      continue;
    };
    let changes = changes(before, entry);
    if !changes.is_empty() {
      let changes = changes.join(", ");
      findings.push(Finding::change(format!("{kind} {key:?}: {changes}")));
    }
  }
  for key in current.keys().filter(|key| !new.contains_key(*key)) {
    findings.push(Finding::change(format!("{kind} {key:?}: removed")));
  }
}

/// Returns the change of a field, if there is one.
fn change<T: Debug + PartialEq>(name: &str, before: &T, after: &T) -> Option<String> {
  (before != after).then(|| format!("{name} {before:?} -> {after:?}"))
}

fn route_changes(before: &Route, after: &Route) -> Vec<String> {
  let shares = |route: &Route| -> Vec<(String, u32)> {
    let destinations = route.destinations.iter();
    destinations
      .map(|destination| (destination.service.clone(), destination.weight))
      .collect()
  };
  let changes = [
    change("name", &before.name, &after.name),
    change("kind", &before.kind, &after.kind),
    change("services", &shares(before), &shares(after)),
    change(
      "latency objective",
      &before.latency_objective,
      &after.latency_objective,
    ),
    change(
      "pause objective",
      &before.pause_objective,
      &after.pause_objective,
    ),
    change("timeout", &before.timeout, &after.timeout),
    change("maximum runs", &before.max_runs, &after.max_runs),
    change("priority", &before.priority, &after.priority),
    change("public", &before.public, &after.public),
  ];
  changes.into_iter().flatten().collect()
}

fn service_changes(before: &Service, after: &Service) -> Vec<String> {
  let changes = [
    change(
      "cold start rate",
      &before.cold_start_rate,
      &after.cold_start_rate,
    ),
    change("engine", &before.engine, &after.engine),
    change("health path", &before.health_path, &after.health_path),
  ];
  changes.into_iter().flatten().collect()
}

/// Returns what changed of an account; of its credentials, only how many.
fn account_changes(before: &Account, after: &Account) -> Vec<String> {
  let mut changes: Vec<String> =
    change("priority", &before.priority, &after.priority).into_iter().collect();
  let [old, new] =
    [before, after].map(|account| account.credentials.iter().collect::<BTreeSet<_>>());
  let added = new.difference(&old).count();
  let removed = old.difference(&new).count();
  if added + removed > 0 {
    changes.push(format!("credentials: {added} added, {removed} removed"));
  }
  changes
}
