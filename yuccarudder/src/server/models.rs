use {
  crate::tree::{Kind, Service, Tree},
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

fn model<'a>(tree: &'a Tree, service: &'a Service) -> Model<'a> {
  Model {
    created: 0,
    id: &service.name,
    object: "model",
    owned_by: &tree.operator,
  }
}

fn engine_services(tree: &Tree) -> impl Iterator<Item = &Service> {
  tree.services.values().filter(|service| service.kind == Kind::Engine)
}

/// Renders the engine services as the model list of the completions API.
pub fn render(tree: &Tree) -> String {
  let models = Models {
    data: engine_services(tree).map(|service| model(tree, service)).collect(),
    object: "list",
  };
  serde_json::to_string(&models).expect("the models are serializable")
}

/// Renders the engine service of a name as a model, if there is one.
pub fn render_one(tree: &Tree, name: &str) -> Option<String> {
  let service = engine_services(tree).find(|service| service.name == name)?;
  Some(serde_json::to_string(&model(tree, service)).expect("a model is serializable"))
}
