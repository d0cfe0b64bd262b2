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

/// Guards against a target's own status that its caller would take for a promise.
#[test]
fn status_without_a_promise_counts_as_a_failure() {
  for signed in [true, false] {
    let metadata = ResponseMetadata {
      signed,
      ..metadata(Some("a"))
    };
    for status in [408, 421, 429, 500, 503, 504] {
      assert_eq!(of_target(status, &metadata), Verdict::Failed, "{status}");
    }
  }
}

/// Guards against a switch of protocols, which no caller can ask for.
#[test]
fn switch_of_protocols_is_invalid() {
  let metadata = ResponseMetadata {
    signed: true,
    ..metadata(Some("a"))
  };
  assert!(matches!(of_target(101, &metadata), Verdict::Invalid(_)));
}

/// Defines a test: the status, the request that it names and whether it has a signature, of a response of
/// another host, and what it says.
macro_rules! host_test {
  ($name:ident, $status:expr, $id:expr, $signed:expr, $verdict:pat) => {
    #[test]
    fn $name() {
      let metadata = ResponseMetadata {
        signed: $signed,
        ..metadata($id)
      };
      let status = StatusCode::from_u16($status).unwrap();
      let verdict = Verdict::of_host(status, &metadata, Some("a"), false);
      assert!(matches!(verdict, $verdict), "{verdict:?}");
    }
  };
}

host_test!(
  host_relays_an_answer,
  200,
  Some("a"),
  true,
  Verdict::Answered
);
host_test!(
  host_relays_a_failure,
  500,
  Some("a"),
  true,
  Verdict::Answered
);
host_test!(host_fails, 502, None, false, Verdict::Answered);
host_test!(host_refuses, 503, None, false, Verdict::NotRun);
host_test!(
  host_refuses_for_an_account,
  429,
  None,
  false,
  Verdict::NotRun
);
host_test!(
  host_refuses_another_request,
  503,
  Some("b"),
  false,
  Verdict::Invalid(_)
);
host_test!(
  host_relays_a_status_that_reads_as_a_promise,
  408,
  Some("a"),
  true,
  Verdict::Invalid(_)
);
host_test!(
  host_sends_no_signature,
  200,
  Some("a"),
  false,
  Verdict::Invalid(_)
);
host_test!(host_names_no_request, 200, None, true, Verdict::Invalid(_));
host_test!(
  host_answers_another_request,
  200,
  Some("b"),
  true,
  Verdict::Invalid(_)
);

/// Guards against the last answer of a host that stops, which is relayed although another host can serve the
/// request.
#[test]
fn failure_of_a_leaving_host_is_not_final() {
  let verdict = |status: u16, signed| {
    let metadata = ResponseMetadata {
      signed,
      ..metadata(signed.then_some("a"))
    };
    let status = StatusCode::from_u16(status).unwrap();
    Verdict::of_host(status, &metadata, Some("a"), true)
  };
  assert_eq!(verdict(502, false), Verdict::Failed);
  assert_eq!(verdict(504, false), Verdict::Failed);
  assert_eq!(verdict(500, true), Verdict::Answered);
  assert_eq!(verdict(503, false), Verdict::NotRun);
  assert_eq!(verdict(404, false), Verdict::Answered);
}
