//! Pins what balancers must choose alike without a message: the pod of a session that has no record. The messages themselves
//! are private; their bytes are pinned in `src/words/formats.rs`.

use hollowpaddle_sessions::{Pod, Sid, Weighed, pod_of};

#[test]
fn sessions_keep_their_pods() {
    let pods = [(1, 1000), (2, 500), (3, 1000), (300, 250)];
    let pods = pods.map(|(number, weight)| Weighed { pod: Pod(number), weight });
    let chosen: Vec<u16> =
        (0..16).map(|session| pod_of(Sid(session), &pods).expect("there are pods").0).collect();
    assert_eq!(chosen, [1, 1, 1, 3, 3, 2, 1, 1, 1, 1, 3, 3, 1, 1, 300, 300]);
    assert_eq!(pod_of(Sid(0), &[]), None);
}
