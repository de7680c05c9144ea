//! Property tests of the codecs with fixed seeds: decoding doesn't depend on fragmentation, arbitrary bytes cause no
//! panic, and encoded messages are decoded to the same values.

use bytes::BytesMut;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rushcourse_director_protocol::frames::{self, Message};
use rushcourse_director_protocol::relay::{self, Notification};
use rushcourse_director_protocol::{discovery, load_report};
use tokio_util::codec::{Decoder, LinesCodec};

/// Returns fewer than `max_length` random bytes, half of the time only characters that occur in messages.
fn random_bytes(rng: &mut ChaCha8Rng, max_length: usize) -> Vec<u8> {
    let length = rng.random_range(0..max_length);
    let letters = b"{}[]\":,*OK 0123456789.-joinedleftapplied@type\r\n\\u";
    let is_plain = rng.random_bool(0.5);
    (0..length)
        .map(|_| {
            if is_plain {
                letters[rng.random_range(0..letters.len())]
            } else {
                rng.random()
            }
        })
        .collect()
}

fn name(rng: &mut ChaCha8Rng) -> String {
    let letters = "abcdefghijklmnopqrstuvwxyz-0123456789";
    (0..rng.random_range(1..12))
        .map(|_| letters.as_bytes()[rng.random_range(0..letters.len())] as char)
        .collect()
}

/// Feeds a stream to a codec in fragments of random length and returns the decoded items.
fn decode_in_pieces<D: Decoder>(rng: &mut ChaCha8Rng, codec: &mut D, stream: &[u8]) -> Vec<D::Item>
where
    D::Error: std::fmt::Debug,
{
    let (mut buffer, mut items, mut position) = (BytesMut::new(), Vec::new(), 0);
    while position < stream.len() {
        let end = stream.len().min(position + rng.random_range(1..40));
        buffer.extend_from_slice(&stream[position..end]);
        position = end;
        while let Some(item) = codec.decode(&mut buffer).expect("a valid stream") {
            items.push(item);
        }
    }
    assert!(buffer.is_empty());
    items
}

#[test]
fn fragmentation_does_not_change_decoded_lines() {
    let mut rng = ChaCha8Rng::seed_from_u64(12);
    for _ in 0..200 {
        let lines: Vec<String> = (0..rng.random_range(1..20))
            .map(|_| name(&mut rng))
            .collect();
        let stream: String = lines.iter().map(|l| format!("{l}\r\n")).collect();
        assert_eq!(
            decode_in_pieces(
                &mut rng,
                &mut LinesCodec::new_with_max_length(relay::MAX_LINE_BYTES),
                stream.as_bytes()
            ),
            lines
        );
    }
}

#[test]
fn arbitrary_bytes_never_panic() {
    let mut rng = ChaCha8Rng::seed_from_u64(13);
    for _ in 0..20_000 {
        let raw = random_bytes(&mut rng, 200);
        _ = frames::decode(&raw);
        _ = discovery::decode(&raw).map(|list| list.hosts().count());
        _ = load_report::from_text(&raw);
        let text = String::from_utf8_lossy(&raw);
        for line in text.lines() {
            _ = (relay::parse_reply(line), relay::parse_notification(line));
        }
    }
}

/// Changes a few random bytes of valid messages.
#[test]
fn damaged_messages_never_panic() {
    let mut rng = ChaCha8Rng::seed_from_u64(14);
    let valid: [&[u8]; 3] = [
        br#"{"@type":"heard","az":"a","host":"s-1","n":212,"bad":3,"avg":41.7,"window":1000.0,"report":{"util":0.61}}"#,
        br#"{"@type":"usage","sidecar":17,"kind":"lookup","n":19,"bad":0,"window":1000.0}"#,
        br#"{"revision":43,"complete":false,"members":[{"id":"s-1","phase":"Ready","size":1.0,"up_since_ms":0}]}"#,
    ];
    for _ in 0..20_000 {
        let mut raw = valid[rng.random_range(0..valid.len())].to_vec();
        for _ in 0..rng.random_range(1..4) {
            let index = rng.random_range(0..raw.len());
            raw[index] = rng.random();
        }
        _ = frames::decode(&raw);
        _ = discovery::decode(&raw).map(|list| list.hosts().filter(Result::is_ok).count());
    }
}

/// A random multiple of 1/8, which has an exact binary representation and survives the text form unchanged.
fn rate(rng: &mut ChaCha8Rng) -> f64 {
    f64::from(rng.random_range(0..4000u32)) / 8.0
}

#[test]
fn notifications_round_trip() {
    let mut rng = ChaCha8Rng::seed_from_u64(15);
    for _ in 0..2000 {
        let (proxy, ack_number): (u32, u16) = (rng.random_range(0..65_535), rng.random());
        let (zone, rate, is_fresh) = (name(&mut rng), rate(&mut rng), rng.random_bool(0.5));
        let line = format!("* joined {proxy} {zone} {rate} {}", u8::from(is_fresh));
        assert_eq!(
            relay::parse_notification(&line),
            Some(Notification::ProxyJoined {
                proxy,
                zone: &zone,
                rate,
                is_fresh
            })
        );
        let line = format!("* applied {proxy} {ack_number} {rate}");
        assert_eq!(
            relay::parse_notification(&line),
            Some(Notification::Applied {
                proxy,
                ack_number,
                elapsed: rate
            })
        );
    }
}

#[test]
fn reports_round_trip() {
    let mut rng = ChaCha8Rng::seed_from_u64(16);
    for _ in 0..2000 {
        let (zone, host, class) = (name(&mut rng), name(&mut rng), name(&mut rng));
        let (proxy, attempts): (u32, u32) =
            (rng.random_range(0..65_535), rng.random_range(0..10_000));
        let mean = rate(&mut rng);
        let json = format!(
            r#"{{"@type":"heard","az":"{zone}","host":"{host}","n":{attempts},"bad":0,"avg":{mean},"window":1.0}}"#
        );
        let Ok(Message::HostReport(report)) = frames::decode(json.as_bytes()) else {
            panic!("{json}")
        };
        assert_eq!(
            (
                report.zone.as_ref(),
                report.host.as_ref(),
                report.attempts,
                report.mean_latency
            ),
            (&*zone, &*host, f64::from(attempts), Some(mean))
        );
        let json = format!(
            r#"{{"@type":"usage","sidecar":{proxy},"kind":"{class}","n":{attempts},"bad":0,"window":1.0}}"#
        );
        let Ok(Message::TrafficReport(report)) = frames::decode(json.as_bytes()) else {
            panic!("{json}")
        };
        assert_eq!(
            (report.proxy, report.class.as_ref(), report.attempts),
            (proxy, &*class, f64::from(attempts))
        );
    }
}
