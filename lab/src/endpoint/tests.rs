//! Tests of what only this module can see.

use super::*;

#[test]
fn the_time_that_a_caller_says_is_read_as_the_protocol_has_it() {
    for (said, micros) in [
        ("480m", Some(480_000)),
        ("90u", Some(90)),
        ("1.5m", Some(1500)),
        ("", None),
        ("5", None),
        ("-1m", None),
    ] {
        assert_eq!(time_left(said).map(|time| time.as_micros()), micros, "{said}");
    }
}

#[test]
fn work_has_its_mean_however_it_spreads() {
    let text = include_str!("../../experiments/calm.toml");
    for words in ["", "distribution = \"exponential\"", "distribution = \"fixed\"", "spread = 1.0"] {
        let text = text.replacen("work = \"20ms\"", &format!("work = \"20ms\"\n{words}"), 1);
        let class = &crate::experiment::Experiment::parse("test", &text).unwrap().class[0];
        let all: f64 = (0..20_000).map(|number| work(7, number, class).as_secs_f64()).sum();
        let mean = all / 20_000.0;
        assert!((0.0194..0.0206).contains(&mean), "{words}: {mean} s, not about 20 ms");
    }
}

#[test]
fn work_stands_still_with_its_endpoint() {
    let ms = Duration::from_millis;
    let takes = |begun, work| with_stalls(ms(begun), ms(work), ms(1000), ms(200), 0.0).as_millis();
    assert_eq!(takes(0, 900), 900, "done before the stall");
    assert_eq!(takes(900, 300), 500, "one stall amid it");
    assert_eq!(takes(1100, 300), 400, "begun in a stall");
    assert_eq!(takes(500, 2000), 2400, "two stalls amid it");
    assert_eq!(with_stalls(ms(900), ms(300), Duration::ZERO, ms(200), 0.0), ms(300), "none are asked for");
}
