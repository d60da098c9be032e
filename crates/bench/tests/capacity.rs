//! Tests of the line fit, the flags and the series that `docs/CAPACITY.md` relies on.

use eelgrassrock_bench::capacity::Part;
use eelgrassrock_bench::fit::{Line, Point};
use eelgrassrock_bench::flags;
use rstest::rstest;

#[rstest]
#[case::exact(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)], 2.0, 3.0, 1.0)]
#[case::flat(&[(1.0, 4.0), (2.0, 4.0), (3.0, 4.0)], 0.0, 4.0, 1.0)]
#[case::scattered(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0), (3.0, 3.0)], 0.8, 0.3, 0.64)]
fn fits_line(
    #[case] points: &[(f64, f64)],
    #[case] slope: f64,
    #[case] intercept: f64,
    #[case] r_squared: f64,
) {
    let points: Vec<Point> = points.iter().copied().map(Point::from).collect();
    let line = Line::through(&points);
    assert!((line.slope - slope).abs() < 1e-9, "{line:?}");
    assert!((line.intercept - intercept).abs() < 1e-9, "{line:?}");
    assert!((line.r_squared - r_squared).abs() < 1e-9, "{line:?}");
}

#[test]
fn unknown_part_error_lists_known_parts() {
    let matches = flags::command().get_matches_from(["bench", "capacity", "--only", "disk"]);
    let text = flags::check(&matches).unwrap_err().to_string();
    assert!(
        text.contains("`disk`") && text.contains("membership, codec"),
        "{text}"
    );
}

/// Traffic and messages are counted on a virtual clock, so that two runs give the same values.
/// CPU time and memory vary and are left out.
#[rstest]
fn counted_series_are_deterministic(#[values(Part::Home, Part::Claims)] part: Part) {
    let measure_counted = |part: Part| {
        let series = part.measure().into_iter();
        let texts = series.map(|series| series.to_string());
        texts
            .filter(|text| !text.contains(".cpu") && !text.contains(".memory"))
            .collect::<Vec<_>>()
    };
    let first = measure_counted(part);
    assert!(first.len() >= 2);
    assert_eq!(first, measure_counted(part));
}
