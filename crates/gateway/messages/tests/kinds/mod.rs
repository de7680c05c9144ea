//! The kinds of messages, each by its name. A kind that is missing here does not compile, so that tests over all kinds
//! leave none out.

use rushcourse_messages::Message;

macro_rules! kinds {
    ($($name:ident),* $(,)?) => {
        /// All kinds, in the order of the messages.
        pub const KINDS: &[&str] = &[$(stringify!($name)),*];

        pub fn kind(message: &Message) -> &'static str {
            match message {
                $(Message::$name { .. } => stringify!($name)),*
            }
        }
    };
}

kinds!(
    Hello, Ping, Cores, Sessions, Hosts, Beats, HostDigest, HostRanges, Set, Prepare, Promise,
    Accept, Refuse, Held, AskHeld, TellHeld, AskLesson, Lesson, Learn, Learned, Leaving, Claim,
    Withdraw, Home, Applied, Usage, Vote, InForce, NewVersion, AskVersion, Standing, Table, Lines,
    Out, AskKey, TellKey,
);
