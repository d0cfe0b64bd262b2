/// A client account.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Account {
  /// Credentials that its callers present.
  pub credentials: Vec<String>,
  /// The name that targets are told.
  pub name: String,
  /// Its rank, 0 first, which goes before the rank of a route.
  pub priority: Option<u32>,
}
