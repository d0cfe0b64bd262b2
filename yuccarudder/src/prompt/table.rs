/// The prompt parts that each target holds, as far as known.
#[derive(Clone, Debug, Default)]
pub struct Table {}
