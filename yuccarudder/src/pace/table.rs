/// The pace of each target.
#[derive(Clone, Debug, Default)]
pub struct Table {}
