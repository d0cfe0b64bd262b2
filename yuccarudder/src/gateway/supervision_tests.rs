use {super::supervision, prometheus::IntCounter, std::cell::Cell};

/// Guards against a task that ends by a panic without anybody noticing.
#[tokio::test(start_paused = true)]
async fn task_that_panics_starts_again() {
  let panics = IntCounter::new("panics", "panics").unwrap();
  let starts = Cell::new(0);
  let task = || {
    starts.set(starts.get() + 1);
    async { assert_eq!(starts.get(), 3, "not yet") }
  };
  supervision::run("test", panics.clone(), task).await;
  assert_eq!((starts.get(), panics.get()), (3, 2));
}
