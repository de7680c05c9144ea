//! Who may speak, and who may say what.

mod kinds;

use kinds::{KINDS, kind};
use rushcourse_messages::*;

fn hello(role: Role, node: NodeId, life: Life) -> Hello {
    Hello {
        form: FORM,
        role,
        node,
        life,
        name: "core-1".into(),
        zone: "north".into(),
    }
}

const CLAIM: ClaimId = ClaimId {
    node: 9,
    life: 90,
    number: 1,
};

/// Each message once, with who may say it to whom: E core directors, S frontend ones.
fn all() -> Vec<(Message, &'static str)> {
    let service = || std::sync::Arc::from("s");
    let text = || std::sync::Arc::from(&b"{}"[..]);
    let set = VotingSet::default;
    let slot = Slot::Version(1);
    let ballot = Ballot::default();
    vec![
        (Message::Hello(hello(Role::Controller, 1, 10)), ""),
        (Message::Ping, "EE ES SE SS"),
        (Message::Cores(vec![]), "EE ES"),
        (Message::Sessions(vec![]), "EE"),
        (Message::Hosts(vec![]), "EE"),
        (Message::Beats(vec![]), "EE"),
        (Message::HostDigest(vec![]), "EE"),
        (Message::HostRanges(vec![]), "EE"),
        (Message::Set(set()), "EE ES"),
        (
            Message::Prepare {
                set: 1,
                slot,
                ballot,
                without: None,
            },
            "EE",
        ),
        (
            Message::Promise {
                set: 1,
                slot,
                ballot,
                accepted: None,
            },
            "EE",
        ),
        (
            Message::Accept {
                set: 1,
                slot,
                proposal: Accepted {
                    ballot,
                    value: text(),
                },
            },
            "EE",
        ),
        (
            Message::Refuse {
                set: 1,
                slot,
                promised: ballot,
            },
            "EE",
        ),
        (
            Message::Held {
                stamp: 1,
                echo: 1,
                set: 1,
                votes: true,
                in_force: 1,
                casts: vec![],
            },
            "EE",
        ),
        (Message::AskHeld { token: 1, set: 1 }, "EE"),
        (
            Message::TellHeld {
                token: 1,
                set: 1,
                votes: true,
                highest: 1,
            },
            "EE",
        ),
        (
            Message::AskLesson {
                set: 1,
                after: None,
            },
            "EE",
        ),
        (
            Message::Lesson(Lesson {
                set: 1,
                claims: vec![],
                end: None,
            }),
            "EE",
        ),
        (Message::Learn { set: 1 }, "EE"),
        (Message::Learned { set: 1 }, "EE"),
        (Message::Leaving, "EE"),
        (
            Message::Claim {
                set: 1,
                key: 1,
                claim: CLAIM,
            },
            "SE",
        ),
        (
            Message::Withdraw {
                key: 1,
                claim: CLAIM,
            },
            "SE",
        ),
        (Message::Home(true), "SE"),
        (
            Message::Applied {
                service: service(),
                mark: 1,
            },
            "SE",
        ),
        (
            Message::Usage {
                service: service(),
                tries: 1,
                failed: 0,
                span_ms: 1,
            },
            "SE",
        ),
        (
            Message::Vote {
                set: 1,
                key: 1,
                claim: CLAIM,
                verdict: Verdict::Granted,
            },
            "ES",
        ),
        (
            Message::InForce {
                version: 1,
                text: text(),
            },
            "ES",
        ),
        (Message::NewVersion { version: 1 }, "ES"),
        (Message::AskVersion { above: 1 }, "SE"),
        (
            Message::Standing {
                primed: true,
                fronts: 1,
            },
            "EE ES",
        ),
        (
            Message::Table {
                service: service(),
                mark: 1,
                lines: vec![],
            },
            "ES",
        ),
        (
            Message::Lines {
                service: service(),
                mark: 1,
                lines: vec![],
            },
            "ES",
        ),
        (Message::Out(vec![]), "ES"),
        (
            Message::AskKey {
                token: 1,
                key: 1,
                claim: CLAIM,
            },
            "SS",
        ),
        (
            Message::TellKey {
                token: 1,
                progress: Progress::Nothing,
            },
            "SS",
        ),
    ]
}

#[test]
fn all_kinds_of_messages_are_here() {
    assert_eq!(
        all().iter().map(|m| kind(&m.0)).collect::<Vec<&str>>(),
        KINDS
    );
}

#[test]
fn each_message_comes_from_those_who_may_say_it_and_from_nobody_else() {
    for (message, may) in all() {
        for (from, a) in [(Role::Controller, 'E'), (Role::Gateway, 'S')] {
            for (to, b) in [(Role::Controller, 'E'), (Role::Gateway, 'S')] {
                let said = speakers::message(&hello(from, CLAIM.node, CLAIM.life), to, &message);
                let expected = if may.contains(&format!("{a}{b}")) {
                    Ok(())
                } else {
                    Err(Foreign::Speaker)
                };
                assert_eq!(said, expected, "{a} to {b}: {message:?}");
            }
        }
    }
}

/// Taken for another's, a withdrawal would free a key under which a request is on its way: it could run twice.
#[test]
fn a_claim_is_made_and_taken_back_by_its_own_life_alone() {
    let messages = [
        Message::Claim {
            set: 1,
            key: 1,
            claim: CLAIM,
        },
        Message::Withdraw {
            key: 1,
            claim: CLAIM,
        },
    ];
    for (node, life) in [(CLAIM.node, CLAIM.life + 1), (CLAIM.node + 1, CLAIM.life)] {
        let other = hello(Role::Gateway, node, life);
        for message in &messages {
            assert_eq!(
                speakers::message(&other, Role::Controller, message),
                Err(Foreign::Claimant)
            );
        }
    }
}

#[test]
fn a_greeting_is_of_this_form_and_of_the_machine_it_names() {
    let me = hello(Role::Controller, 1, 10);
    let by = |address: NodeId, certified: Option<(bool, bool)>| Shown { address, certified };
    let plain = by(2, None);
    let core = hello(Role::Controller, 2, 20);
    let front = hello(Role::Gateway, 2, 20);
    let named = |name: &str| Hello {
        name: name.into(),
        ..core.clone()
    };
    let cases: Vec<(Hello, Shown, Option<&str>)> = vec![
        (core.clone(), plain, None),
        (front.clone(), plain, None),
        (core.clone(), by(2, Some((true, true))), None),
        (front.clone(), by(2, Some((true, false))), None),
        (
            core.clone(),
            by(2, Some((true, false))),
            Some("role not certified"),
        ),
        (
            core.clone(),
            by(2, Some((false, true))),
            Some("other machine"),
        ),
        (front, by(2, Some((false, false))), Some("other machine")),
        (core.clone(), by(3, None), Some("other machine")),
        (
            Hello {
                form: FORM + 1,
                ..core.clone()
            },
            plain,
            Some("other form"),
        ),
        (
            Hello {
                life: 10,
                ..core.clone()
            },
            plain,
            Some("itself"),
        ),
        (named(""), plain, Some("bad name")),
        (named("core 1"), plain, Some("bad name")),
        (named("core\n"), plain, Some("bad name")),
        (named("level=error"), plain, Some("bad name")),
        (named(&"x".repeat(200)), plain, Some("bad name")),
        (
            Hello {
                zone: "a b".into(),
                ..core
            },
            plain,
            Some("bad name"),
        ),
    ];
    for (hello, shown, why) in cases {
        let said = speakers::greeting(&me, shown, &hello).map_err(|f| f.reason());
        assert_eq!(said.err(), why, "{hello:?} {shown:?}");
    }
}
