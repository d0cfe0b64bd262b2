/// The waiting requests of the other hosts.
#[derive(Clone, Debug, Default)]
pub struct Table {}
