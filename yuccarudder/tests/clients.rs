//! Compatibility of an entry host with an unmodified client library of the OpenAI API.

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

async fn start_fleet() -> Fleet {
  let options = Options {
    engines: 1,
    hosts: 1,
    plain_servers: 0,
    // Generations are long enough to reach the token limits of the requests.
    engine_config: Config {
      min_tokens: 8,
      ..Config::default()
    },
    ..Options::default()
  };
  Fleet::start(options).await.unwrap()
}

fn client(fleet: &Fleet, credential: &str) -> Client<OpenAIConfig> {
  let base_url = format!("http://{}/v1", fleet.hosts[0].settings.callers);
  Client::with_config(OpenAIConfig::new().with_api_base(base_url).with_api_key(credential))
}

fn chat_request(model: &str) -> CreateChatCompletionRequest {
  let message =
    ChatCompletionRequestUserMessageArgs::default().content("Plan a week.").build().unwrap();
  CreateChatCompletionRequestArgs::default()
    .model(model)
    .max_completion_tokens(5_u32)
    .messages([message.into()])
    .build()
    .unwrap()
}

fn status_and_code(error: OpenAIError) -> (u16, Option<String>) {
  let OpenAIError::ApiError(response) = error else {
    panic!("the client library could not parse the error: {error}");
  };
  (response.status_code.as_u16(), response.api_error.code)
}

#[tokio::test(flavor = "multi_thread")]
async fn buffered_chat_completion_is_parsed() {
  let fleet = start_fleet().await;
  let response = client(&fleet, CREDENTIAL).chat().create(chat_request(MODEL)).await.unwrap();
  let content = response.choices[0].message.content.as_ref().unwrap();
  assert_eq!(content.split_whitespace().count(), 5);
  assert_eq!(response.usage.unwrap().completion_tokens, 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn streamed_chat_completion_is_parsed() {
  let fleet = start_fleet().await;
  let stream = client(&fleet, CREDENTIAL).chat().create_stream(chat_request(MODEL)).await.unwrap();
  let chunks: Vec<_> = stream.map(Result::unwrap).collect().await;
  let content = chunks.iter().flat_map(|chunk| &chunk.choices);
  let content: String = content.filter_map(|choice| choice.delta.content.clone()).collect();
  assert_eq!(content.split_whitespace().count(), 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn buffered_text_completion_is_parsed() {
  let fleet = start_fleet().await;
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
async fn models_are_listed_and_retrieved() {
  let fleet = start_fleet().await;
  let client = client(&fleet, CREDENTIAL);
  assert_eq!(client.models().list().await.unwrap().data[0].id, MODEL);
  assert_eq!(
    client.models().retrieve(MODEL).await.unwrap().owned_by,
    "rig"
  );
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_are_parsed() {
  let fleet = start_fleet().await;
  let authorized_client = client(&fleet, CREDENTIAL);
  let error = authorized_client.chat().create(chat_request("none")).await.unwrap_err();
  assert_eq!(status_and_code(error), (404, Some("not_found".into())));
  let unauthorized_client = client(&fleet, "sk-stranger");
  let error = unauthorized_client.chat().create(chat_request(MODEL)).await.unwrap_err();
  assert_eq!(status_and_code(error), (401, Some("unauthorized".into())));
}
