//! Property tests: the request decoder on arbitrary bytes in arbitrary chunks, and the overrides against a plain set.

use fawnspoke_control::overrides::{MAX_OVERRIDES, OverrideKey, OverrideKind, Overrides, UpdateResult};
use fawnspoke_control::protocol::{
    Decoder, MAX_LINE_BYTES, Request, RequestError, Response, failure, success,
};
use proptest::prelude::*;
use std::collections::BTreeSet;

/// The number of cases of each property; set `DOOR_CASES` to change it.
fn cases() -> ProptestConfig {
    let cases = std::env::var("DOOR_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(20_000);
    ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(cases) }
}

/// Feeds bytes in chunks of the given lengths until the decoder returns a result.
fn decode_in_chunks(bytes: &[u8], chunk_lengths: &[usize]) -> Option<Result<Request, RequestError>> {
    let (mut decoder, mut rest) = (Decoder::default(), bytes);
    let mut lengths = chunk_lengths.iter().copied().chain(std::iter::repeat(1));
    while !rest.is_empty() {
        let (chunk, remaining) = rest.split_at(lengths.next().unwrap_or(1).clamp(1, rest.len()));
        if let Some(result) = decoder.feed(chunk) {
            return Some(result);
        }
        rest = remaining;
    }
    None
}

/// Bytes that resemble requests.
fn request_like_bytes() -> impl Strategy<Value = Vec<u8>> {
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
    fn chunking_does_not_matter_and_requests_round_trip(
        bytes in request_like_bytes(), chunk_lengths in proptest::collection::vec(1..40usize, 0..20),
    ) {
        let at_once = decode_in_chunks(&bytes, &[bytes.len()]);
        let chunked = decode_in_chunks(&bytes, &chunk_lengths);
        match (&at_once, &chunked) {
            // A line can prove too long before its end has arrived.
            (Some(Err(_)), Some(Err(RequestError::LineTooLong))) | (None, Some(Err(RequestError::LineTooLong))) => {}
            _ => prop_assert_eq!(&at_once, &chunked),
        }
        // A complete line always has a result, as has one that is too long; an incomplete line has none.
        let line_end = bytes.iter().position(|byte| *byte == b'\n');
        prop_assert_eq!(chunked.is_some(), line_end.is_some() || bytes.len() > MAX_LINE_BYTES + 1);
        if let Some(Ok(request)) = at_once {
            prop_assert_eq!(decode_in_chunks(request.to_line().as_bytes(), &[]), Some(Ok(request)));
        }
    }

    #[test]
    fn a_response_is_one_line_whatever_its_text(text in any::<String>()) {
        for line in [success(&text), failure(&text)] {
            prop_assert_eq!(line.lines().count(), 1);
            prop_assert!(Response::parse(&line).is_some());
        }
    }

    #[test]
    fn overrides_behave_like_a_plain_set(
        updates in proptest::collection::vec((any::<bool>(), 0..12u8, any::<bool>()), 0..60),
    ) {
        let (mut overrides, mut expected) = (Overrides::default(), BTreeSet::new());
        for (i, (add, id, ever_listed)) in updates.into_iter().enumerate() {
            let key = OverrideKey { kind: OverrideKind::Suspend, endpoint_id: format!("e{id}") };
            let result = match add {
                true => overrides.add(key, ever_listed, i as u64),
                false => overrides.remove(&key, ever_listed),
            };
            let allowed = ever_listed || expected.contains(&id);
            prop_assert_eq!(matches!(result, UpdateResult::Rejected(_)), !allowed);
            if allowed {
                let changed = if add { expected.insert(id) } else { expected.remove(&id) };
                prop_assert_eq!(matches!(result, UpdateResult::Changed(_)), changed);
            }
            prop_assert_eq!(overrides.len(), expected.len());
            let all_suspended = expected.iter().all(|id| overrides.is_suspended(&format!("e{id}")));
            prop_assert!(all_suspended);
            prop_assert!(overrides.len() <= MAX_OVERRIDES);
            // The process may be killed at any point: the saved overrides equal those in force.
            prop_assert_eq!(&Overrides::from_json(&overrides.to_json()).unwrap(), &overrides);
        }
    }
}
