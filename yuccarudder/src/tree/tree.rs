use {
  super::{
    Account, AccountKey, DataCentre, DataCentreKey, Kind, Level, Overrides, Secret, Service,
    ServiceKey, Settings, State, Target, TargetKey,
  },
  crate::yaml::{self, Fault, Node},
  slotmap::SlotMap,
  std::collections::{BTreeMap, HashMap},
};

const MAX_DOCUMENT_BYTES: usize = 1 << 20;

/// A valid settings tree.
#[derive(Clone, Debug, Default)]
pub struct Tree {
  /// Client accounts.
  pub accounts: SlotMap<AccountKey, Account>,
  accounts_by_digest: HashMap<[u8; 32], AccountKey>,
  accounts_by_name: HashMap<String, AccountKey>,
  /// Data centres.
  pub data_centres: SlotMap<DataCentreKey, DataCentre>,
  data_centres_by_name: BTreeMap<String, DataCentreKey>,
  /// Name of the operator.
  pub operator: String,
  /// Settings overridden for all requests.
  pub overrides: Overrides,
  /// Keys shared by the hosts: the first signs, and a signature by any of them is valid.
  pub secrets: Vec<Secret>,
  /// Services.
  pub services: SlotMap<ServiceKey, Service>,
  services_by_name: BTreeMap<String, ServiceKey>,
  /// Targets of all services.
  pub targets: SlotMap<TargetKey, Target>,
}

impl Tree {
  /// Parses and validates a published document; faults name it as `source`.
  ///
  /// The result depends on `text` alone, so all hosts accept or refuse the same documents.
  ///
  /// # Errors
  ///
  /// Returns every fault found.
  pub fn parse(source: &str, text: &str) -> Result<Self, Vec<Fault>> {
    yaml::read(source, text, |root| {
      if text.len() > MAX_DOCUMENT_BYTES {
        root.fault(
          format!("{} bytes", text.len()),
          format!("up to {MAX_DOCUMENT_BYTES} bytes"),
        );
      }
      let mut map = root.map()?;
      let mut tree = Self::default();
      let operator = map.require("operator", "a name").and_then(|node| node.string());
      let overrides = Overrides::read(map.get("overrides"), Level::Operator);
      let secrets = map.require("keys", "a list of keys");
      let data_centres = map.require("data_centres", "a mapping of data centres");
      let services = map.require("services", "a mapping of services");
      let accounts = map.require("accounts", "a mapping of client accounts");
      map.finish();
      tree.read_secrets(secrets);
      tree.read_data_centres(data_centres);
      tree.read_services(services);
      tree.read_accounts(accounts);
      tree.operator = operator?.into();
      tree.overrides = overrides?;
      tree.check_ticket_life(&root);
      Some(tree)
    })
  }

  /// Returns the client account to which a bearer credential belongs.
  pub fn account_by_credential(&self, credential: &str) -> Option<AccountKey> {
    self.accounts_by_digest.get(&Account::digest(credential)).copied()
  }

  /// Returns the client account with the given name.
  pub fn account_by_name(&self, name: &str) -> Option<AccountKey> {
    self.accounts_by_name.get(name).copied()
  }

  fn check_ticket_life(&self, root: &Node<'_, '_>) {
    let settings = Settings::default().with_overrides(&self.overrides);
    if settings.ticket_life < 2 * settings.entries_keep {
      root.fault(
        "a ticket_life below twice entries_keep",
        "a ticket_life of at least twice entries_keep, so that a request can be sent again with its idempotency key",
      );
    }
  }

  /// Returns the data centre with the given name.
  pub fn data_centre(&self, name: &str) -> Option<DataCentreKey> {
    self.data_centres_by_name.get(name).copied()
  }

  /// Returns the effective settings for a service, data centre and client account.
  ///
  /// The overrides of an omitted one do not apply.
  pub fn settings(
    &self,
    service: Option<ServiceKey>,
    data_centre: Option<DataCentreKey>,
    account: Option<AccountKey>,
  ) -> Settings {
    self
      .applicable_overrides(service, data_centre, account)
      .fold(Settings::default(), |settings, (_, overrides)| {
        settings.with_overrides(overrides)
      })
  }

  /// Returns the overrides that apply to a service, data centre and client account, in order
  /// of increasing precedence.
  pub fn applicable_overrides(
    &self,
    service: Option<ServiceKey>,
    data_centre: Option<DataCentreKey>,
    account: Option<AccountKey>,
  ) -> impl Iterator<Item = (Level, &Overrides)> {
    let service = service.and_then(|key| self.services.get(key)).map(|item| &item.overrides);
    let data_centre =
      data_centre.and_then(|key| self.data_centres.get(key)).map(|item| &item.overrides);
    let account = account.and_then(|key| self.accounts.get(key)).map(|item| &item.overrides);
    [
      (Level::Operator, Some(&self.overrides)),
      (Level::Service, service),
      (Level::DataCentre, data_centre),
      (Level::Account, account),
    ]
    .into_iter()
    .filter_map(|(level, overrides)| Some((level, overrides?)))
  }

  /// Returns the effective settings at the operator level.
  pub fn operator_settings(&self) -> Settings {
    self.settings(None, None, None)
  }

  fn read_accounts(&mut self, node: Option<Node<'_, '_>>) {
    for (name, node) in entries(node) {
      let Some(account) = Account::read(name, &node) else {
        continue;
      };
      let digests = account.credentials.clone();
      let name = account.name.clone();
      let key = self.accounts.insert(account);
      self.accounts_by_name.insert(name, key);
      for digest in digests {
        if self.accounts_by_digest.insert(digest, key).is_some() {
          node.fault("a credential that is listed twice", "each credential once");
        }
      }
    }
  }

  fn read_data_centres(&mut self, node: Option<Node<'_, '_>>) {
    for (name, node) in entries(node) {
      if let Some(data_centre) = DataCentre::read(name.clone(), &node) {
        let key = self.data_centres.insert(data_centre);
        self.data_centres_by_name.insert(name, key);
      }
    }
  }

  fn read_secrets(&mut self, node: Option<Node<'_, '_>>) {
    let Some(node) = node else {
      return;
    };
    let items = node.list().unwrap_or_default();
    self.secrets = items.iter().filter_map(Secret::read).collect();
    if items.is_empty() {
      node.fault("an empty list", "at least one key");
    }
  }

  fn read_services(&mut self, node: Option<Node<'_, '_>>) {
    for (name, node) in entries(node) {
      let Some((service, targets)) = Service::read(name.clone(), &node) else {
        continue;
      };
      if service.kind == Kind::Engine && !service.repeatable.is_empty() {
        node.fault(
          "`repeatable` in a service of kind `engine`",
          "`repeatable` in a service of kind `plain`",
        );
      }
      let key = self.services.insert(service);
      self.services_by_name.insert(name, key);
      for (name, node) in entries(targets) {
        self.read_target(key, name, &node);
      }
    }
  }

  fn read_target(&mut self, service: ServiceKey, name: String, node: &Node<'_, '_>) -> Option<()> {
    let mut map = node.map()?;
    let address = map.require("address", "an IP address and port").and_then(|node| node.address());
    let data_centre = map.require("data_centre", "a data centre").and_then(|node| {
      node.parse("the name of a data centre of this tree", |name| {
        self.data_centre(name)
      })
    });
    let state = State::read(map.get("state"));
    map.finish();
    self.targets.insert(Target {
      address: address?,
      data_centre: data_centre?,
      name,
      service,
      state: state?,
    });
    Some(())
  }

  /// Returns the service with the given name.
  pub fn service(&self, name: &str) -> Option<ServiceKey> {
    self.services_by_name.get(name).copied()
  }

  /// Returns whether new work may be sent to a target.
  pub fn takes_work(&self, target: &Target) -> bool {
    let data_centre = self.data_centres.get(target.data_centre);
    target.state == State::In && data_centre.is_some_and(|item| item.state == State::In)
  }
}

fn entries<'a, 'b>(node: Option<Node<'a, 'b>>) -> Vec<(String, Node<'a, 'b>)> {
  node.and_then(|node| node.map()).map(|map| map.entries()).unwrap_or_default()
}
