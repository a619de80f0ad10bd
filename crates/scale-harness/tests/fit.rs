//! The line of least squares.

use hollowpaddle_scale_harness::fit::{FitError, Line, Point};

fn points(all: &[(f64, f64)]) -> Vec<Point> {
    all.iter().map(|&(count, value)| Point { count, value }).collect()
}

fn assert_close(found: f64, expected: f64) {
    assert!((found - expected).abs() < 1e-9, "{found} is not {expected}");
}

#[test]
fn points_on_a_line_leave_no_residual() {
    let line = Line::fit(&points(&[(0.0, 5.0), (10.0, 25.0), (30.0, 65.0)])).expect("a line");
    assert_close(line.base, 5.0);
    assert_close(line.slope, 2.0);
    assert_close(line.residual, 0.0);
    assert_close(line.at(100.0), 205.0);
    assert_close(line.reaches(105.0).expect("it grows"), 50.0);
}

#[test]
fn residual_is_the_standard_deviation_from_the_line() {
    let scattered = [(0.0, 1.0), (0.0, -1.0), (2.0, 5.0), (2.0, 3.0)];
    let line = Line::fit(&points(&scattered)).expect("a line");
    assert_close(line.base, 0.0);
    assert_close(line.slope, 2.0);
    assert_close(line.residual, 2.0_f64.sqrt());
}

#[test]
fn line_that_does_not_grow_reaches_no_budget() {
    let line = Line::fit(&points(&[(0.0, 3.0), (1.0, 2.0), (2.0, 1.0)])).expect("a line");
    assert_eq!(line.reaches(100.0), None);
}

#[test]
fn rejects_points_that_define_no_line() {
    assert_eq!(Line::fit(&points(&[(0.0, 1.0), (1.0, 2.0)])), Err(FitError::TooFew(2)));
    let same = points(&[(4.0, 1.0), (4.0, 2.0), (4.0, 3.0)]);
    assert_eq!(Line::fit(&same), Err(FitError::OneCount));
}
