use super::*;

#[test]
fn a_line_is_found_and_what_it_misses_is_told() {
    let exact = fit(&[(100.0, 7.0), (200.0, 9.0), (1_600.0, 37.0)]).unwrap();
    assert!((exact.slope - 0.02).abs() < 1e-12 && (exact.constant - 5.0).abs() < 1e-9);
    assert!(exact.residual < 1e-9);
    assert_eq!(exact.range, [100.0, 1_600.0]);
    assert!((exact.at(3_300.0) - 71.0).abs() < 1e-9);
    let bent = fit(&[(0.0, 0.0), (1.0, 1.0), (2.0, 4.0)]).unwrap();
    assert!(bent.residual > 0.05, "{bent:?}");
    assert_eq!(fit(&[(5.0, 1.0), (5.0, 2.0)]), None);
}
