//! A small bank's figures stay where they are said to be.

use std::time::Duration;

use hollowpaddle_model_checks::figures::{catch_up, load, new_leader, ruin, settled, spread};
use hollowpaddle_model_checks::world::{Plan, ms};

#[test]
fn a_small_bank_is_as_fast_as_is_said() {
    for seed in 1..=2 {
        let mut world = settled(Plan::whole(seed, 5)).expect("a bank that settles");
        for number in 0..4 {
            let [yes, near, all] = spread(&mut world, number).expect("a revision in force");
            assert!(yes < ms(300) && near < ms(500) && all < ms(500), "{yes:?} {near:?} {all:?}");
        }
        let rest = load(&mut world, ms(5000));
        assert!(rest.datagrams[1] < 100.0 && rest.bytes[1] < 6000.0, "{rest:?}");
        let time = new_leader(&mut world, 10).expect("a new leader");
        assert!(time < ms(1500), "{time:?}");
        let time = catch_up(&mut world, 100, true).expect("one that comes back");
        assert!(time < Duration::from_secs(2), "{time:?}");
        // Without directories a bank that is killed whole has lost its log; that it stands again is what is held to.
        let ruin = ruin(&mut world, 20).expect("a bank that stands again");
        assert!(ruin.leased[1] < Duration::from_secs(10), "{ruin:?}");
        assert_eq!(world.judge.faults, Vec::<String>::new());
    }
}
