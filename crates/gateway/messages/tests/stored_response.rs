//! Stored responses in their encoded form, and their transfer in parts.

use rushcourse_messages::{
    InvalidStoredResponse, MAX_PART_BYTES, PartialResponse, ResponseHead, ResponsePart,
    StoredResponse,
};

fn head() -> ResponseHead {
    ResponseHead {
        status: 201,
        headers: vec![("response-seal".into(), b"3e1b".to_vec())],
    }
}

fn response(body: &[u8]) -> StoredResponse {
    StoredResponse::new(&head(), body).expect("a short response")
}

/// Splits a response into all of its parts.
fn parts(response: &StoredResponse) -> Vec<ResponsePart> {
    let mut parts = Vec::new();
    let mut offset = 0;
    while let Some(part) = response.part(offset) {
        offset = part.end();
        parts.push(part);
    }
    parts
}

#[test]
fn response_is_put_together_from_its_parts() {
    for body_bytes in [0, 1, MAX_PART_BYTES, 3 * MAX_PART_BYTES + 5] {
        let body: Vec<u8> = (0..body_bytes).map(|byte| byte as u8).collect();
        let sent = response(&body);
        let parts = parts(&sent);
        assert_eq!(parts.len(), sent.encoded_bytes().div_ceil(MAX_PART_BYTES));
        let mut partial = PartialResponse::new(&parts[0]).expect("a first part");
        for part in &parts[1..] {
            assert!(!partial.is_complete());
            partial.append(part).expect("the part that follows");
        }
        assert!(partial.is_complete() && parts[parts.len() - 1].is_last());
        let received = partial.finish().expect("a complete response");
        assert_eq!(received.head(), Ok(head()));
        assert_eq!(received.body(), body);
    }
}

#[test]
fn parts_that_do_not_fit_together_are_rejected() {
    let sent = response(&vec![7; 2 * MAX_PART_BYTES]);
    let parts = parts(&sent);
    assert!(PartialResponse::new(&parts[1]).is_err(), "not a first part");
    let mut partial = PartialResponse::new(&parts[0]).expect("a first part");
    assert!(partial.append(&parts[0]).is_err(), "a part twice");
    assert!(partial.append(&parts[2]).is_err(), "a gap");
    let other = ResponsePart {
        total_bytes: parts[1].total_bytes + 1,
        ..parts[1].clone()
    };
    assert!(partial.append(&other).is_err(), "of another response");
    assert!(partial.finish().is_err(), "parts are missing");
    let beyond = ResponsePart {
        total_bytes: 1,
        ..parts[0].clone()
    };
    assert!(!beyond.is_valid(), "longer than its response");
    assert_eq!(
        StoredResponse::decode(vec![0xff]).map(|_| ()),
        Err(InvalidStoredResponse)
    );
}
