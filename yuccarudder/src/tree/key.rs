slotmap::new_key_type! {
  /// Names a client account within one tree.
  pub struct AccountKey;

  /// Names a data centre within one tree.
  pub struct DataCentreKey;

  /// Names a service within one tree.
  pub struct ServiceKey;

  /// Names a target within one tree.
  pub struct TargetKey;
}
