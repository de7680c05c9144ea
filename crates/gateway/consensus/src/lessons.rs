//! Lessons: a voter tells a replica that doesn't remember what it holds, in parts of bounded size. The first lesson is
//! a snapshot; later ones carry what came since. The learner checks that the parts add up before it counts them.

use crate::acceptor::Acceptor;
use crate::context::{Context, Waits};
use crate::effects::Op;
use crate::keys::{Keys, digest};
use crate::membership::Membership;
use rushcourse_messages::{
    HeldClaim, Lesson, LessonCursor, LessonEnd, Life, Message, NodeId, Slot, SlotRecord,
};
use std::collections::BTreeMap;

/// Claims in one part (ours): some 180 KB, which a voter encodes in about a millisecond.
const PART_MOST: usize = 4_096;

/// What came of a lesson so far.
#[derive(Clone, Copy, Debug, Default)]
struct Receiving {
    claims: u64,
    digest: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Lessons {
    life: Life,
    /// How far each voter's claims were read.
    cursors: BTreeMap<NodeId, LessonCursor>,
    receiving: BTreeMap<NodeId, Receiving>,
}

impl Lessons {
    pub fn new(life: Life) -> Lessons {
        Lessons {
            life,
            cursors: BTreeMap::new(),
            receiving: BTreeMap::new(),
        }
    }

    /// A session broke: a lesson that was under way is not finished.
    pub fn down(&mut self, peer: NodeId) {
        self.receiving.remove(&peer);
    }

    /// What was taught did not get to the disk: all is asked for again.
    pub fn refused(&mut self) {
        self.cursors.clear();
        self.receiving.clear();
    }

    /// Asks voters for what they hold, or for what came since they told it.
    pub fn ask(&mut self, context: &mut Context, set: u64, voters: Vec<NodeId>) {
        for voter in voters {
            self.receiving.remove(&voter);
            let after = self.cursors.get(&voter).copied();
            context.send(voter, Message::AskLesson { set, after });
        }
    }

    /// Tells a learner what this voter holds.
    pub fn teach(
        &self,
        context: &mut Context,
        to: NodeId,
        set: u64,
        after: Option<LessonCursor>,
        (keys, acceptor): (&Keys, &Acceptor),
    ) {
        let from = after.filter(|c| c.life == self.life).map(|c| c.place);
        let claims = keys.lesson(context.now, from);
        let end = LessonEnd {
            cursor: LessonCursor {
                life: self.life,
                place: keys.place(),
            },
            claims: claims.len() as u64,
            digest: claims.iter().fold(0, |sum, claim| sum ^ digest(claim)),
            records: acceptor.records(),
        };
        for part in claims.chunks(PART_MOST) {
            let lesson = Lesson {
                set,
                claims: part.to_vec(),
                end: None,
            };
            context.send(to, Message::Lesson(lesson));
        }
        context.send(
            to,
            Message::Lesson(Lesson {
                set,
                claims: Vec::new(),
                end: Some(end),
            }),
        );
    }

    /// Takes a part of a lesson. `in_force`: the version in force here; records of lower ones are settled.
    pub fn take(
        &mut self,
        context: &mut Context,
        from: NodeId,
        lesson: Lesson,
        membership: &mut Membership,
        (keys, acceptor): (&mut Keys, &mut Acceptor),
        in_force: u64,
    ) {
        let set = membership.set().number;
        if lesson.set != set || !membership.is_learning(context.now) {
            return;
        }
        let receiving = self.receiving.entry(from).or_default();
        receiving.claims += lesson.claims.len() as u64;
        receiving.digest ^= lesson
            .claims
            .iter()
            .fold(0, |sum, claim| sum ^ digest(claim));
        let mut ops = keys.taught(context, &lesson.claims);
        let taught: Vec<u128> = lesson
            .claims
            .iter()
            .map(|claim: &HeldClaim| claim.key)
            .collect();
        let complete = lesson.end.and_then(|end| {
            let whole = self.receiving.remove(&from)?;
            if whole.claims != end.claims || whole.digest != end.digest {
                context.say(format!(
                    "event=lesson_damaged claims={} of={}",
                    whole.claims, end.claims
                ));
                return None;
            }
            self.cursors.insert(from, end.cursor);
            let open = |r: &SlotRecord| match r.slot {
                Slot::Set(number) => number > set,
                Slot::Version(version) => version >= in_force,
            };
            let records: Vec<SlotRecord> = end.records.into_iter().filter(open).collect();
            ops.extend(acceptor.merge(&records));
            membership.lesson(from)
        });
        if complete.is_some() && membership.is_member() {
            ops.extend(acceptor.begin_to_count());
            ops.push(Op::Remember);
        }
        if !ops.is_empty() || complete.is_some() {
            context.write(
                ops,
                Waits::Taught {
                    keys: taught,
                    complete,
                },
            );
        }
    }
}
