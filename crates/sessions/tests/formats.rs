//! Pins the cell of sessions without a record, which all balancers must choose alike without exchanging a message. The
//! messages are private to the package, so their bytes are pinned in `src/message/formats.rs`.

use hollowpaddle_sessions::{Cell, SessionId, WeightedCell, cell_for};

#[test]
fn cell_of_each_session_is_stable() {
    let cells = [(1, 1000), (2, 500), (3, 1000), (300, 250)];
    let cells = cells.map(|(number, weight)| WeightedCell { cell: Cell(number), weight });
    let chosen: Vec<u16> = (0..16)
        .map(|session| cell_for(SessionId(session), &cells).expect("there are cells").0)
        .collect();
    assert_eq!(chosen, [1, 1, 1, 3, 3, 2, 1, 1, 1, 1, 3, 3, 1, 1, 300, 300]);
    assert_eq!(cell_for(SessionId(0), &[]), None);
}
