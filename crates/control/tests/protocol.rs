//! The door's decoder under bytes of any kind, in any pieces; the orders under generated calls against a plain list.

use fawnspoke_control::overrides::{MAX_OVERRIDES, OverrideKey, OverrideKind, Overrides, UpdateResult};
use fawnspoke_control::protocol::{
    Decoder, MAX_LINE_BYTES, Request, RequestError, Response, failure, success,
};
use proptest::prelude::*;
use std::collections::BTreeSet;

/// Cases of each property: more with `DOOR_CASES`.
fn cases() -> ProptestConfig {
    let cases = std::env::var("DOOR_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(20_000);
    ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(cases) }
}

/// What is fed in pieces, until the decoder says something.
fn fed(bytes: &[u8], pieces: &[usize]) -> Option<Result<Request, RequestError>> {
    let (mut decoder, mut rest) = (Decoder::default(), bytes);
    let mut lengths = pieces.iter().copied().chain(std::iter::repeat(1));
    while !rest.is_empty() {
        let (piece, later) = rest.split_at(lengths.next().unwrap_or(1).clamp(1, rest.len()));
        if let Some(said) = decoder.feed(piece) {
            return Some(said);
        }
        rest = later;
    }
    None
}

/// Bytes that come close to calls.
fn bytes() -> impl Strategy<Value = Vec<u8>> {
    let word = prop_oneof![
        Just(b"STATUS".to_vec()),
        Just(b"SUSPEND".to_vec()),
        Just(b"RESTORE ".to_vec()),
        Just(b"METRICS".to_vec()),
        Just(b" ".to_vec()),
        Just(b"\r".to_vec()),
        Just(b"\n".to_vec()),
        Just(vec![0]),
        Just(vec![b'x'; MAX_LINE_BYTES]),
        proptest::collection::vec(any::<u8>(), 0..20),
        "[a-z0-9-]{1,12}".prop_map(String::into_bytes),
    ];
    proptest::collection::vec(word, 0..8).prop_map(|words| words.concat())
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn pieces_change_nothing_and_what_is_read_is_written_alike(
        bytes in bytes(), pieces in proptest::collection::vec(1..40usize, 0..20),
    ) {
        let whole = fed(&bytes, &[bytes.len()]);
        let cut = fed(&bytes, &pieces);
        match (&whole, &cut) {
            // A line that is too long may be found out before its end comes.
            (Some(Err(_)), Some(Err(RequestError::LongLine))) | (None, Some(Err(RequestError::LongLine))) => {}
            _ => prop_assert_eq!(&whole, &cut),
        }
        // A line that is whole and short is always answered, one that is not whole never is.
        let line = bytes.iter().position(|byte| *byte == b'\n');
        prop_assert_eq!(cut.is_some(), line.is_some() || bytes.len() > MAX_LINE_BYTES + 1);
        if let Some(Ok(call)) = whole {
            prop_assert_eq!(fed(call.to_line().as_bytes(), &[]), Some(Ok(call)));
        }
    }

    #[test]
    fn an_answer_is_one_line_whatever_its_text(text in any::<String>()) {
        for line in [success(&text), failure(&text)] {
            prop_assert_eq!(line.lines().count(), 1);
            prop_assert!(Response::parse(&line).is_some());
        }
    }

    #[test]
    fn orders_are_those_of_a_plain_list(
        calls in proptest::collection::vec((any::<bool>(), 0..12u8, any::<bool>()), 0..60),
    ) {
        let (mut orders, mut plain) = (Overrides::default(), BTreeSet::new());
        for (i, (given, id, known)) in calls.into_iter().enumerate() {
            let subject = OverrideKey { kind: OverrideKind::Suspend, endpoint_id: format!("e{id}") };
            let step = match given {
                true => orders.add(subject, known, i as u64),
                false => orders.remove(&subject, known),
            };
            let allowed = known || plain.contains(&id);
            prop_assert_eq!(matches!(step, UpdateResult::Rejected(_)), !allowed);
            if allowed {
                let changed = if given { plain.insert(id) } else { plain.remove(&id) };
                prop_assert_eq!(matches!(step, UpdateResult::Changed(_)), changed);
            }
            prop_assert_eq!(orders.len(), plain.len());
            let held = plain.iter().all(|id| orders.is_suspended(&format!("e{id}")));
            prop_assert!(held);
            prop_assert!(orders.len() <= MAX_OVERRIDES);
            // At any point a kill may come: what is on record is what is in force.
            prop_assert_eq!(&Overrides::from_json(&orders.to_json()).unwrap(), &orders);
        }
    }
}
