use {super::verdict::Verdict, crate::dialect::ResponseMetadata, hyper::StatusCode};

fn metadata(request_id: Option<&str>) -> ResponseMetadata {
  ResponseMetadata {
    request_id: request_id.map(str::to_owned),
    ..ResponseMetadata::default()
  }
}

fn of_target(status: u16, metadata: &ResponseMetadata) -> Verdict {
  Verdict::of_target(StatusCode::from_u16(status).unwrap(), metadata, Some("a"))
}

/// Guards against promises for a request that names another one, or none: that request may run.
#[test]
fn response_that_does_not_name_the_request_says_nothing_about_it() {
  for request_id in [None, Some("b")] {
    for status in 200..600 {
      for (not_run, signed) in [(true, false), (false, true), (false, false)] {
        let metadata = ResponseMetadata {
          not_run,
          signed,
          ..metadata(request_id)
        };
        let verdict = of_target(status, &metadata);
        assert!(
          matches!(verdict, Verdict::Invalid(_)),
          "{status}: {verdict:?}"
        );
      }
    }
  }
}

/// Guards against refusals that are not believed although they name the request.
#[test]
fn refusal_that_names_the_request_is_believed() {
  let metadata = ResponseMetadata {
    not_run: true,
    ..metadata(Some("a"))
  };
  for status in [400, 408, 421, 429, 503] {
    assert_eq!(of_target(status, &metadata), Verdict::NotRun);
  }
}
