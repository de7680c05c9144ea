//! Properties of the codecs, with fixed seeds: any cut of the bytes gives the same messages, arbitrary bytes
//! never panic, and what is encoded is decoded again.

use bytes::BytesMut;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rushcourse_director_protocol::frames::{self, Message};
use rushcourse_director_protocol::relay::{self, News};
use rushcourse_director_protocol::{discovery, load};
use tokio_util::codec::{Decoder, LinesCodec};

fn bytes(rng: &mut ChaCha8Rng, most: usize) -> Vec<u8> {
    let n = rng.random_range(0..most);
    // Half of them out of the letters that messages are made of.
    let letters = b"{}[]\":,*OK 0123456789.-joinedleftapplied@type\r\n\\u";
    let plain = rng.random_bool(0.5);
    (0..n)
        .map(|_| {
            if plain {
                letters[rng.random_range(0..letters.len())]
            } else {
                rng.random()
            }
        })
        .collect()
}

fn word(rng: &mut ChaCha8Rng) -> String {
    let letters = "abcdefghijklmnopqrstuvwxyz-0123456789";
    (0..rng.random_range(1..12))
        .map(|_| letters.as_bytes()[rng.random_range(0..letters.len())] as char)
        .collect()
}

/// Feeds a stream in pieces of random length and collects what comes out.
fn cut<D: Decoder>(rng: &mut ChaCha8Rng, codec: &mut D, stream: &[u8]) -> Vec<D::Item>
where
    D::Error: std::fmt::Debug,
{
    let (mut buffer, mut out, mut at) = (BytesMut::new(), Vec::new(), 0);
    while at < stream.len() {
        let n = rng.random_range(1..40).min(stream.len() - at);
        buffer.extend_from_slice(&stream[at..at + n]);
        at += n;
        while let Some(item) = codec.decode(&mut buffer).expect("a legal stream") {
            out.push(item);
        }
    }
    assert!(buffer.is_empty());
    out
}

#[test]
fn any_cut_of_a_stream_of_lines_gives_the_same_lines() {
    let mut rng = ChaCha8Rng::seed_from_u64(12);
    for _ in 0..200 {
        let lines: Vec<String> = (0..rng.random_range(1..20))
            .map(|_| word(&mut rng))
            .collect();
        let stream: String = lines.iter().map(|l| format!("{l}\r\n")).collect();
        assert_eq!(
            cut(
                &mut rng,
                &mut LinesCodec::new_with_max_length(relay::LINE_MOST),
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
        let raw = bytes(&mut rng, 200);
        _ = frames::decode(&raw);
        _ = discovery::decode(&raw).map(|list| list.members().count());
        _ = load::text(&raw);
        let text = String::from_utf8_lossy(&raw);
        for line in text.lines() {
            _ = (relay::answer(line), relay::news(line));
        }
    }
}

/// A good message with a few bytes changed.
#[test]
fn damaged_messages_never_panic() {
    let mut rng = ChaCha8Rng::seed_from_u64(14);
    let good: [&[u8]; 3] = [
        br#"{"@type":"heard","az":"a","host":"s-1","n":212,"bad":3,"avg":41.7,"window":1000.0,"report":{"util":0.61}}"#,
        br#"{"@type":"usage","sidecar":17,"kind":"lookup","n":19,"bad":0,"window":1000.0}"#,
        br#"{"revision":43,"complete":false,"members":[{"id":"s-1","phase":"Ready","size":1.0,"up_since_ms":0}]}"#,
    ];
    for _ in 0..20_000 {
        let mut raw = good[rng.random_range(0..good.len())].to_vec();
        for _ in 0..rng.random_range(1..4) {
            let at = rng.random_range(0..raw.len());
            raw[at] = rng.random();
        }
        _ = frames::decode(&raw);
        _ = discovery::decode(&raw).map(|list| list.members().filter(Result::is_ok).count());
    }
}

#[test]
fn what_is_encoded_is_decoded_again() {
    let mut rng = ChaCha8Rng::seed_from_u64(15);
    for _ in 0..2000 {
        let (proxy, mark): (u32, u16) = (rng.random_range(0..65_535), rng.random());
        let (zone, host, kind) = (word(&mut rng), word(&mut rng), word(&mut rng));
        // Eighths are exact in any reader of decimal figures.
        let (rate, n): (f64, u32) = (
            f64::from(rng.random_range(0..4000u32)) / 8.0,
            rng.random_range(0..10_000),
        );
        let fresh = rng.random_bool(0.5);
        let line = format!("* joined {proxy} {zone} {rate} {}", u8::from(fresh));
        assert_eq!(
            relay::news(&line),
            Some(News::Joined {
                proxy,
                zone: &zone,
                rate,
                fresh
            })
        );
        let line = format!("* applied {proxy} {mark} {rate}");
        assert_eq!(
            relay::news(&line),
            Some(News::Applied {
                proxy,
                mark,
                took: rate
            })
        );
        let json = format!(
            r#"{{"@type":"heard","az":"{zone}","host":"{host}","n":{n},"bad":0,"avg":{rate},"window":1.0}}"#
        );
        let Ok(Message::Heard(h)) = frames::decode(json.as_bytes()) else {
            panic!("{json}")
        };
        assert_eq!(
            (h.az.as_ref(), h.host.as_ref(), h.n, h.avg),
            (&*zone, &*host, f64::from(n), Some(rate))
        );
        let json = format!(
            r#"{{"@type":"usage","sidecar":{proxy},"kind":"{kind}","n":{n},"bad":0,"window":1.0}}"#
        );
        let Ok(Message::Usage(u)) = frames::decode(json.as_bytes()) else {
            panic!("{json}")
        };
        assert_eq!(
            (u.sidecar, u.kind.as_ref(), u.n),
            (proxy, &*kind, f64::from(n))
        );
    }
}
