use super::*;
use fawnspoke_journal::AcceptedMessage;
use fawnspoke_pairing::ResponseProof::{MayHaveRun, Own, UnprovenDelivery};
use hyper::body::Bytes;

const WHOLE: ResponseBody<&[u8]> = ResponseBody::Whole(b"");
const PARTIAL: ResponseBody<&[u8]> = ResponseBody::Partial(b"");

fn message(id: &str, attempt: u32) -> CallMessage {
    let content = AcceptedMessage {
        id: id.into(),
        class: "safe".into(),
        destination: 7,
        accepted_at: 0,
        deadline: 0,
        key: None,
        tenant: None,
        body: Bytes::new(),
    };
    CallMessage { number: u64::from(attempt), attempt, content }
}

/// What a response means for the only message of its call.
fn single(status: u16, proof: ResponseProof, body: ResponseBody<&[u8]>) -> MessageEnd {
    let status = StatusCode::from_u16(status).unwrap();
    let response = CallResponse { status, is_line_busy: false, body, proof };
    response.interpret(&[message("a", 0)]).message_ends[0]
}

/// What the response to a batch of messages `a` and `b` means for `a`, whose call is this attempt; and whether the response is
/// ambiguous.
fn in_batch(body: ResponseBody<&[u8]>, proof: ResponseProof, attempt: u32) -> (MessageEnd, bool) {
    let response = CallResponse { status: StatusCode::OK, is_line_busy: false, body, proof };
    let result = response.interpret(&[message("a", attempt), message("b", 7)]);
    let end = result.message_ends.iter().find(|end| end.attempt == attempt).expect("the end of `a`");
    (*end, result.is_ambiguous)
}

#[test]
fn a_message_that_a_response_may_have_ended_is_not_open_for_another_call() {
    for (status, proof, body, resolution) in [
        (200, Own, WHOLE, Resolution::Settled),
        (200, Own, PARTIAL, Resolution::Settled),
        (200, UnprovenDelivery, WHOLE, Resolution::UnprovenDelivery),
        (200, UnprovenDelivery, PARTIAL, Resolution::UnprovenDelivery),
        (410, Own, WHOLE, Resolution::Settled),
        (410, Own, PARTIAL, Resolution::EndByNotice),
        (410, MayHaveRun, WHOLE, Resolution::EndByNotice),
        (410, MayHaveRun, PARTIAL, Resolution::EndByNotice),
    ] {
        assert_eq!(single(status, proof, body).resolution, resolution, "{status} {proof:?} {body:?}");
    }
    for (proof, body) in [(Own, WHOLE), (Own, PARTIAL), (MayHaveRun, WHOLE), (MayHaveRun, PARTIAL)] {
        assert_eq!(single(504, proof, body).outcome, Outcome::AttemptsExhausted, "{proof:?} {body:?}");
    }
}

#[test]
fn a_later_response_that_is_no_delivery_leaves_possible_that_the_message_ran() {
    for status in [400, 410, 413, 429, 500, 503, 504] {
        assert!(single(status, MayHaveRun, WHOLE).may_have_run(), "{status}");
        let is_rejection = status != 500;
        assert_eq!(single(status, Own, WHOLE).may_have_run(), !is_rejection, "{status}");
    }
}

#[test]
fn a_message_that_an_incomplete_batch_response_names_as_ended_is_not_called_again() {
    let over: ResponseBody<&[u8]> = ResponseBody::Partial(b"a over\r\nb deliv");
    assert_eq!(in_batch(over, Own, 0).0.resolution, Resolution::EndByNotice);
    let spent: ResponseBody<&[u8]> = ResponseBody::Partial(b"a spent\r\n");
    assert_eq!(in_batch(spent, Own, 0).0.outcome, Outcome::AttemptsExhausted);
    // Only the whole response delivers, and a line without its end may be longer.
    for body in [&b"a delivered\r\n"[..], b"a over"] {
        let (end, _) = in_batch(ResponseBody::Partial(body), Own, 0);
        assert_eq!((end.resolution, end.outcome), (Resolution::Open, Outcome::MalformedResponse));
        assert!(end.may_have_run());
    }
}

#[test]
fn a_delivery_in_a_batch_response_that_cannot_be_understood_ends_by_a_notice() {
    for body in
        [&b"a delivered\r\n"[..], b"a delivered\r\nb HTTP/1.1 200 OK\r\n", b"a delivered\r\nb refused\r\nc"]
    {
        let (end, is_ambiguous) = in_batch(ResponseBody::Whole(body), UnprovenDelivery, 0);
        assert_eq!(end.resolution, Resolution::EndByNotice, "{}", String::from_utf8_lossy(body));
        assert!(is_ambiguous);
    }
}

#[test]
fn a_rejection_in_a_batch_response_may_be_that_of_an_earlier_attempt_on_its_connection() {
    let body: ResponseBody<&[u8]> = ResponseBody::Whole(b"a refused\r\nb delivered\r\n");
    for (proof, attempt, may_have_run) in
        [(Own, 1, false), (UnprovenDelivery, 0, false), (UnprovenDelivery, 1, true)]
    {
        let (end, is_ambiguous) = in_batch(body, proof, attempt);
        assert_eq!((end.may_have_run(), is_ambiguous), (may_have_run, may_have_run), "{proof:?} {attempt}");
    }
}

#[test]
fn a_process_that_takes_over_does_not_call_an_ended_message_again() {
    let open = MessageEnd::open(1, 2, Outcome::NotSent);
    for (outcome, resolution) in [
        (Outcome::Served, Resolution::Settled),
        (Outcome::Served, Resolution::UnprovenDelivery),
        (Outcome::NotSent, Resolution::Settled),
        (Outcome::NotSent, Resolution::EndByNotice),
        (Outcome::AttemptsExhausted, Resolution::Open),
    ] {
        let frame = MessageEndFrame::from(MessageEnd { outcome, resolution, ..open });
        assert_ne!(MessageEnd::from(frame).resolution, Resolution::Open, "{outcome:?} {resolution:?}");
    }
    let unproven = MessageEnd { unproven: true, ..open };
    assert!(MessageEnd::from(MessageEndFrame::from(unproven)).may_have_run());
}
