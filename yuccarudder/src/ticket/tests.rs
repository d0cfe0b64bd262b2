use {super::*, crate::tree::Secret, std::time::Duration, yare::parameterized};

fn secret(id: &str, byte: u8) -> Secret {
  Secret {
    bytes: vec![byte; 32],
    id: id.into(),
  }
}

fn ticket() -> Ticket {
  Ticket {
    expires_after_start: Duration::from_millis(1500),
    home: "10.0.0.1:80".parse().unwrap(),
    id: 7,
    incarnation: 9,
  }
}

#[parameterized(
  after_rotation = { vec![secret("new", 2), secret("old", 1)], true },
  same_secret = { vec![secret("old", 1)], true },
  secret_removed = { vec![secret("new", 2)], false },
  no_secret = { vec![], false },
  same_id_other_secret = { vec![secret("old", 3)], false },
)]
fn ticket_verifies_with_its_secret(secrets: Vec<Secret>, expected: bool) {
  let text = ticket().sign(&[secret("old", 1)]).unwrap();
  let verified = Ticket::verify(&secrets, &text);
  assert_eq!(verified, expected.then(ticket));
}

#[parameterized(
  empty = { "" },
  extra_part = { "old.a.b.c" },
  not_base64 = { "old.!.!" },
  missing_part = { "old.a" },
)]
fn malformed_ticket_is_rejected(text: &str) {
  assert_eq!(Ticket::verify(&[secret("old", 1)], text), None);
}

#[test]
fn ticket_with_a_changed_character_is_rejected() {
  let secrets = [secret("k", 1)];
  let text = ticket().sign(&secrets).unwrap();
  for index in 0..text.len() {
    let mut bytes = text.clone().into_bytes();
    bytes[index] = if bytes[index] == b'A' { b'B' } else { b'A' };
    let changed = String::from_utf8(bytes).unwrap();
    // The last character of a part may have unused bits, so the same bytes may still decode.
    if let Some(verified) = Ticket::verify(&secrets, &changed) {
      assert_eq!(verified, ticket());
    }
  }
}

#[test]
fn value_of_one_domain_is_not_valid_in_another() {
  #[derive(Clone, PartialEq, prost::Message)]
  struct Empty {}
  let secrets = [secret("k", 1)];
  let text = sign(&secrets, Domain::Ticket, &Empty {}).unwrap();
  assert!(verify::<Empty>(&secrets, Domain::Ticket, &text).is_some());
  assert!(verify::<Empty>(&secrets, Domain::Reattach, &text).is_none());
}
