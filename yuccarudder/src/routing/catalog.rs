use {
  super::{Account, Route, Service},
  slotmap::{SlotMap, new_key_type},
  std::collections::HashMap,
};

new_key_type! {
  /// Identifies a client account within one catalog.
  pub struct AccountKey;
  /// Identifies a route within one catalog.
  pub struct RouteKey;
}

/// Limits on requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
  /// Maximum size of a request body in bytes.
  pub max_body_bytes: u64,
}

/// The content from which a catalog is built.
#[derive(Clone, Debug)]
pub struct Definition {
  /// The client accounts; `None` when no route needs a credential.
  pub accounts: Option<Vec<Account>>,
  /// Limits on requests of callers.
  pub limits: CallerLimits,
  /// The routes, each with the host name that it serves.
  pub routes: Vec<(String, Route)>,
  /// The services.
  pub services: Vec<Service>,
  /// The version number, which only increases.
  pub version: u64,
}

/// One version of the published configuration, indexed for lookups.
#[derive(Clone, Debug)]
pub struct Catalog {
  /// The client accounts.
  pub accounts: SlotMap<AccountKey, Account>,
  accounts_by_credential: HashMap<String, AccountKey>,
  /// Routes by lower-case host name, longest prefix first.
  routes_by_host: HashMap<String, Vec<RouteKey>>,
  /// Whether routes that are not public need a credential.
  pub requires_credentials: bool,
  /// Limits on requests of callers.
  pub limits: CallerLimits,
  /// The routes.
  pub routes: SlotMap<RouteKey, Route>,
  services: HashMap<String, Service>,
  /// The version.
  pub version: u64,
}

impl Catalog {
  /// Returns the account that a credential authenticates.
  pub fn find_account(&self, credential: &str) -> Option<AccountKey> {
    self.accounts_by_credential.get(credential).copied()
  }

  /// Builds a catalog with its lookup tables.
  pub fn new(definition: Definition) -> Self {
    let mut catalog = Self {
      accounts: SlotMap::with_key(),
      accounts_by_credential: HashMap::new(),
      routes_by_host: HashMap::new(),
      requires_credentials: definition.accounts.is_some(),
      limits: definition.limits,
      routes: SlotMap::with_key(),
      services: HashMap::new(),
      version: definition.version,
    };
    for account in definition.accounts.into_iter().flatten() {
      let credentials = account.credentials.clone();
      let key = catalog.accounts.insert(account);
      catalog
        .accounts_by_credential
        .extend(credentials.into_iter().map(|credential| (credential, key)));
    }
    for (host_name, route) in definition.routes {
      let key = catalog.routes.insert(route);
      catalog.routes_by_host.entry(host_name.to_ascii_lowercase()).or_default().push(key);
    }
    for keys in catalog.routes_by_host.values_mut() {
      let routes = &catalog.routes;
      keys.sort_by_key(|key| std::cmp::Reverse(routes[*key].prefix.len()));
    }
    let services = definition.services.into_iter();
    catalog.services.extend(services.map(|service| (service.name.clone(), service)));
    catalog
  }

  /// Returns the route of a host name with the longest prefix that matches the path.
  pub fn match_route(&self, authority: &str, path: &str) -> Option<RouteKey> {
    let host_name = strip_port(authority).to_ascii_lowercase();
    let keys = self.routes_by_host.get(&host_name)?;
    keys.iter().copied().find(|key| path.starts_with(&self.routes[*key].prefix))
  }

  /// Returns whether running requests of a service can be relocated between its engines.
  pub fn can_relocate(&self, service: &str) -> bool {
    let engine = self.service(service).and_then(|service| service.engine.as_ref());
    engine.is_some_and(|engine| engine.relocatable)
  }

  /// Returns the service with a name.
  pub fn service(&self, name: &str) -> Option<&Service> {
    self.services.get(name)
  }

  /// Returns the services.
  pub fn services(&self) -> impl Iterator<Item = &Service> {
    self.services.values()
  }
}

fn strip_port(authority: &str) -> &str {
  match authority.rsplit_once(':') {
    Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
    _ => authority,
  }
}
