use {
  super::{Account, Route, Service},
  slotmap::{SlotMap, new_key_type},
  std::collections::HashMap,
};

new_key_type! {
  /// Names a client account within one catalog.
  pub struct AccountKey;
  /// Names a route within one catalog.
  pub struct RouteKey;
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
  /// Bytes of a request body.
  pub max_body_bytes: u64,
}

/// What a catalog is built from.
#[derive(Clone, Debug)]
pub struct Definition {
  /// The client accounts; `None` when callers need no credential anywhere.
  pub accounts: Option<Vec<Account>>,
  /// What callers may send.
  pub limits: CallerLimits,
  /// The routes with the host names that they belong to.
  pub routes: Vec<(String, Route)>,
  /// The services.
  pub services: Vec<Service>,
  /// The version, which only rises.
  pub version: u64,
}

/// One version of the published configuration.
#[derive(Clone, Debug)]
pub struct Catalog {
  /// The client accounts.
  pub accounts: SlotMap<AccountKey, Account>,
  credentials: HashMap<String, AccountKey>,
  hosts: HashMap<String, Vec<RouteKey>>,
  /// Whether routes that are not public need a credential.
  pub needs_credentials: bool,
  /// What callers may send.
  pub limits: CallerLimits,
  /// The routes.
  pub routes: SlotMap<RouteKey, Route>,
  services: HashMap<String, Service>,
  /// The version.
  pub version: u64,
}

impl Catalog {
  /// Returns the account that holds a credential.
  pub fn account(&self, credential: &str) -> Option<AccountKey> {
    self.credentials.get(credential).copied()
  }

  /// Builds a catalog.
  pub fn new(parts: Definition) -> Self {
    let mut catalog = Self {
      accounts: SlotMap::with_key(),
      credentials: HashMap::new(),
      hosts: HashMap::new(),
      needs_credentials: parts.accounts.is_some(),
      limits: parts.limits,
      routes: SlotMap::with_key(),
      services: HashMap::new(),
      version: parts.version,
    };
    for account in parts.accounts.into_iter().flatten() {
      let credentials = account.credentials.clone();
      let key = catalog.accounts.insert(account);
      catalog.credentials.extend(credentials.into_iter().map(|credential| (credential, key)));
    }
    for (host, route) in parts.routes {
      let key = catalog.routes.insert(route);
      catalog.hosts.entry(host.to_ascii_lowercase()).or_default().push(key);
    }
    for keys in catalog.hosts.values_mut() {
      let routes = &catalog.routes;
      keys.sort_by_key(|key| std::cmp::Reverse(routes[*key].prefix.len()));
    }
    let services = parts.services.into_iter();
    catalog.services.extend(services.map(|service| (service.name.clone(), service)));
    catalog
  }

  /// Returns the route with the longest prefix of a path.
  pub fn route(&self, authority: &str, path: &str) -> Option<RouteKey> {
    let host = host_name(authority).to_ascii_lowercase();
    let keys = self.hosts.get(&host)?;
    keys.iter().copied().find(|key| path.starts_with(&self.routes[*key].prefix))
  }

  /// Returns whether runs of a service can go on at another of its engines.
  pub fn can_relocate(&self, service: &str) -> bool {
    let engine = self.service(service).and_then(|service| service.engine.as_ref());
    engine.is_some_and(|engine| engine.relocatable)
  }

  /// Returns a service.
  pub fn service(&self, name: &str) -> Option<&Service> {
    self.services.get(name)
  }
}

fn host_name(authority: &str) -> &str {
  match authority.rsplit_once(':') {
    Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
    _ => authority,
  }
}
