//! An unchanged client library of the completions API against an entry host.

use {
  async_openai::{
    Client,
    config::OpenAIConfig,
    error::OpenAIError,
    types::{
      chat::{
        ChatCompletionRequestUserMessageArgs, CreateChatCompletionRequest,
        CreateChatCompletionRequestArgs,
      },
      completions::CreateCompletionRequestArgs,
    },
  },
  futures::StreamExt,
  rig::{
    engine::Config,
    fleet::{CREDENTIAL, Fleet, MODEL, Options},
  },
};

async fn fleet() -> Fleet {
  let options = Options {
    engines: 1,
    hosts: 1,
    plain_servers: 0,
    // Answers reach the limits that the requests set.
    engine_config: Config {
      min_tokens: 8,
      ..Config::default()
    },
    ..Options::default()
  };
  Fleet::start(options).await.unwrap()
}

fn client(fleet: &Fleet, credential: &str) -> Client<OpenAIConfig> {
  let base = format!("http://{}/v1", fleet.hosts[0].settings.callers);
  Client::with_config(OpenAIConfig::new().with_api_base(base).with_api_key(credential))
}

fn request(model: &str) -> CreateChatCompletionRequest {
  let message =
    ChatCompletionRequestUserMessageArgs::default().content("Plan a week.").build().unwrap();
  CreateChatCompletionRequestArgs::default()
    .model(model)
    .max_completion_tokens(5_u32)
    .messages([message.into()])
    .build()
    .unwrap()
}

fn api_error(error: OpenAIError) -> (u16, Option<String>) {
  let OpenAIError::ApiError(response) = error else {
    panic!("the library could not parse the error: {error}");
  };
  (response.status_code.as_u16(), response.api_error.code)
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_is_answered_whole() {
  let fleet = fleet().await;
  let response = client(&fleet, CREDENTIAL).chat().create(request(MODEL)).await.unwrap();
  let content = response.choices[0].message.content.as_ref().unwrap();
  assert_eq!(content.split_whitespace().count(), 5);
  assert_eq!(response.usage.unwrap().completion_tokens, 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn chat_is_streamed() {
  let fleet = fleet().await;
  let stream = client(&fleet, CREDENTIAL).chat().create_stream(request(MODEL)).await.unwrap();
  let chunks: Vec<_> = stream.map(Result::unwrap).collect().await;
  let content = chunks.iter().flat_map(|chunk| &chunk.choices);
  let content: String = content.filter_map(|choice| choice.delta.content.clone()).collect();
  assert_eq!(content.split_whitespace().count(), 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn text_is_answered_whole() {
  let fleet = fleet().await;
  let request = CreateCompletionRequestArgs::default()
    .model(MODEL)
    .prompt("Plan a week.")
    .max_tokens(4_u32)
    .build()
    .unwrap();
  let response = client(&fleet, CREDENTIAL).completions().create(request).await.unwrap();
  assert_eq!(response.choices[0].text.split_whitespace().count(), 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn models_are_listed() {
  let fleet = fleet().await;
  let client = client(&fleet, CREDENTIAL);
  assert_eq!(client.models().list().await.unwrap().data[0].id, MODEL);
  assert_eq!(
    client.models().retrieve(MODEL).await.unwrap().owned_by,
    "rig"
  );
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_are_parsed() {
  let fleet = fleet().await;
  let known = client(&fleet, CREDENTIAL);
  let error = known.chat().create(request("none")).await.unwrap_err();
  assert_eq!(api_error(error), (404, Some("not_found".into())));
  let stranger = client(&fleet, "sk-stranger");
  let error = stranger.chat().create(request(MODEL)).await.unwrap_err();
  assert_eq!(api_error(error), (401, Some("unauthorized".into())));
}
