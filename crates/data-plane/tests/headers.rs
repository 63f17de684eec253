//! Values of headers that the mesh reads.
use notchspool::units::Micros;
use notchspool_data_plane::headers::milliseconds;

/// Guards against a fraction that is taken for no time at all: the backend was handed the route's whole time then.
#[test]
fn a_time_may_have_a_fraction_and_is_a_plain_number() {
    let rows = [
        ("2500", Some(2_500_000)),
        ("1500.5", Some(1_500_500)),
        ("0.25", Some(250)),
        (".5", Some(500)),
        ("7.", Some(7_000)),
        ("0", None),
        ("0.0001", None),
        ("", None),
        (".", None),
        ("1.2.3", None),
        ("-1", None),
        ("+1", None),
        ("1e3", None),
        ("inf", None),
        ("NaN", None),
        ("12 ", None),
        ("99999999999999999999999999", Some(i64::MAX)),
    ];
    for (text, micros) in rows {
        assert_eq!(milliseconds(text), micros.map(Micros), "{text:?}");
    }
}
