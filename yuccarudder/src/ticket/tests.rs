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
  by_its_key = { vec![secret("old", 1)], true },
  key_removed = { vec![secret("new", 2)], false },
  no_key = { vec![], false },
  other_secret = { vec![secret("old", 3)], false },
)]
fn ticket_opens(secrets: Vec<Secret>, expected: bool) {
  let text = ticket().sign(&[secret("old", 1)]).unwrap();
  let opened = Ticket::verify(&secrets, &text);
  assert_eq!(opened, expected.then(ticket));
}

#[parameterized(
  empty = { "" },
  longer = { "old.a.b.c" },
  not_base64 = { "old.!.!" },
  shorter = { "old.a" },
)]
fn other_text_is_no_ticket(text: &str) {
  assert_eq!(Ticket::verify(&[secret("old", 1)], text), None);
}

#[test]
fn every_changed_character_is_noticed() {
  let secrets = [secret("k", 1)];
  let text = ticket().sign(&secrets).unwrap();
  for at in 0..text.len() {
    let mut bytes = text.clone().into_bytes();
    bytes[at] = if bytes[at] == b'A' { b'B' } else { b'A' };
    let changed = String::from_utf8(bytes).unwrap();
    // The last character of a part may hold bits that do not count.
    if let Some(opened) = Ticket::verify(&secrets, &changed) {
      assert_eq!(opened, ticket());
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
