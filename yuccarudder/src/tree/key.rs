slotmap::new_key_type! {
  /// Key of a client account in one tree.
  pub struct AccountKey;

  /// Key of a data centre in one tree.
  pub struct DataCentreKey;

  /// Key of a service in one tree.
  pub struct ServiceKey;

  /// Key of a target in one tree.
  pub struct TargetKey;
}
