use {
  crate::tree::{Kind, Tree},
  serde::Serialize,
};

#[derive(Serialize)]
struct Model<'a> {
  created: u64,
  id: &'a str,
  object: &'a str,
  owned_by: &'a str,
}

#[derive(Serialize)]
struct Models<'a> {
  data: Vec<Model<'a>>,
  object: &'a str,
}

/// Renders the engine services as the models of the completions API.
pub fn render(tree: &Tree) -> String {
  let services = tree
    .services
    .values()
    .filter(|service| service.kind == Kind::Engine);
  let data = services.map(|service| Model {
    created: 0,
    id: &service.name,
    object: "model",
    owned_by: &tree.operator,
  });
  let models = Models {
    data: data.collect(),
    object: "list",
  };
  serde_json::to_string(&models).expect("the models are serializable")
}
