/// What each client account uses.
#[derive(Clone, Debug, Default)]
pub struct Table {}
