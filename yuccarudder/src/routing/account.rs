/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
  /// API keys that authenticate requests of this account.
  pub credentials: Vec<String>,
  /// The account name that is sent to targets.
  pub name: String,
  /// Scheduling priority, 0 highest; it takes precedence over the priority of the route.
  pub priority: Option<u32>,
}
