//! The state file: what is synced is there again, a file of another form is left alone.

use rushcourse_register::{Claim, Op};
use rushcourse_trunk::{ClaimId, HostNews, HostState, VotingSet};
use rushcourse_vault::{Damaged, Store};
use std::path::PathBuf;
use std::sync::Arc;

fn place(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("rushcourse-vault-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder.join("exchange.redb")
}

fn claim(number: u64) -> Claim {
    Claim { id: ClaimId { node: 1, life: 2, number }, at: 1_000 + number }
}

fn host(state: HostState) -> HostNews {
    let word = |w: &str| Arc::<str>::from(w);
    let (id, service, zone, address) = (word("i-1"), word("s"), word("z"), word("10.0.0.1:80"));
    HostNews { id, service, zone, address, slots: 4, state, sequence: 1, cold_ms: 0, age_ms: 0 }
}

#[test]
fn what_was_written_is_there_again_and_what_was_released_is_not() {
    let file = place("again");
    let set = VotingSet { number: 1, members: vec![1, 2, 3] };
    {
        let (mut store, stored) = Store::open(&file).expect("a new file");
        assert_eq!((stored.set.number, stored.remembers, stored.claims.len()), (0, false, 0));
        let ops = vec![Op::Set(set.clone()), Op::Remember, Op::Host(host(HostState::Ready))];
        store.write(&[(1, ops)]).expect("room");
        let text = |v: u64| Arc::<[u8]>::from(v.to_string().as_bytes());
        let configs = [3, 5, 4].map(|version| Op::Config { version, text: text(version) });
        store.write(&[(2, configs.to_vec())]).expect("room");
        let claims: Vec<Op> = (0..100).map(|k| Op::Claim { key: k, claim: claim(k as u64) }).collect();
        store.write(&[(3, claims)]).expect("room");
        store.write(&[(4, (0..90).map(|key| Op::Release { key }).collect())]).expect("room");
    }
    let (mut store, stored) = Store::open(&file).expect("the same file");
    assert_eq!((stored.set, stored.remembers), (set, true));
    assert_eq!(stored.config.expect("a configuration").0, 5, "the highest version holds");
    let mut keys: Vec<u128> = stored.claims.iter().map(|c| c.0).collect();
    keys.sort_unstable();
    assert_eq!(keys, (90..100).collect::<Vec<u128>>());
    assert_eq!(stored.hosts, vec![host(HostState::Ready)]);
    // Released by a later life of the program, which never saw it written.
    store.write(&[(5, vec![Op::Release { key: 95 }, Op::Host(host(HostState::Gone))])]).expect("room");
    drop(store);
    let (_, stored) = Store::open(&file).expect("the same file");
    assert_eq!((stored.claims.len(), stored.hosts.len()), (9, 0));
}

#[test]
fn a_file_that_is_no_state_file_is_told_and_left_as_it_is() {
    let file = place("other");
    std::fs::write(&file, b"something else that somebody keeps here, longer than a header").expect("written");
    let before = std::fs::read(&file).expect("there");
    let Err(report) = Store::open(&file) else { panic!("it was taken") };
    assert!(matches!(report.current_context(), Damaged::Unreadable), "{report:?}");
    assert_eq!(std::fs::read(&file).expect("there"), before);
}
