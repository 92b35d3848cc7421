//! Fits of samples whose answer is known.

use super::fit::{crossed_between, growth, upper_half, Growth, Line, PowerLaw, Sample};

fn samples(of: impl Fn(f64) -> f64) -> Vec<Sample> {
    [100.0, 200.0, 400.0, 800.0].into_iter().map(|size| Sample { size, value: of(size) }).collect()
}

fn near(found: f64, wanted: f64) -> bool {
    (found - wanted).abs() <= 1e-9 * wanted.abs().max(1.0)
}

#[test]
fn a_line_is_found_again_without_residual() {
    let line = Line::fit(&samples(|size| 3.0 + 0.25 * size)).unwrap();
    assert!(near(line.slope, 0.25) && near(line.intercept, 3.0) && near(line.residual, 0.0), "{line:?}");
    assert!(near(line.at(2000.0), 503.0));
    assert!(near(line.reaches(503.0).unwrap(), 2000.0));
}

#[test]
fn a_residual_is_the_standard_error_about_the_line() {
    let values = [1.0, -1.0, -1.0, 1.0];
    let scattered: Vec<Sample> = values
        .iter()
        .enumerate()
        .map(|(at, value)| Sample { size: at as f64 * 10.0, value: 7.0 + value })
        .collect();
    let line = Line::fit(&scattered).unwrap();
    assert!(near(line.slope, 0.0) && near(line.intercept, 7.0));
    assert!(near(line.residual, 2.0_f64.sqrt()), "four squares of one over two degrees of freedom");
}

#[test]
fn one_size_gives_no_line() {
    assert_eq!(Line::fit(&[]), None);
    assert_eq!(Line::fit(&[Sample { size: 5.0, value: 1.0 }]), None);
    assert_eq!(Line::fit(&[Sample { size: 5.0, value: 1.0 }; 3]), None);
}

#[test]
fn a_line_that_does_not_rise_reaches_nothing() {
    assert_eq!(Line::fit(&samples(|_| 4.0)).unwrap().reaches(5.0), None);
    assert_eq!(Line::fit(&samples(|size| -size)).unwrap().reaches(5.0), None);
}

#[test]
fn a_power_law_is_found_again() {
    let law = PowerLaw::fit(&samples(|size| 0.5 * size.powf(1.7))).unwrap();
    assert!(near(law.exponent, 1.7) && near(law.factor, 0.5) && near(law.residual, 0.0), "{law:?}");
    assert!(near(law.reaches(law.at(5000.0)).unwrap(), 5000.0));
    assert_eq!(PowerLaw::fit(&samples(|_| 0.0)), None);
}

#[test]
fn growth_is_told_by_its_bend() {
    assert_eq!(growth(&samples(|size| 10.0 + size)), Some(Growth::Linear));
    assert_eq!(growth(&samples(|size| size * size)), Some(Growth::Faster));
    assert_eq!(growth(&samples(|size| size.ln())), Some(Growth::Slower));
    assert_eq!(growth(&samples(|size| 1000.0 + 0.01 * size)), Some(Growth::Flat));
    assert_eq!(growth(&samples(|size| 1000.0 - size)), Some(Growth::Falling));
    assert_eq!(growth(&[]), None);
}

#[test]
fn the_larger_sizes_tell_how_a_bent_growth_goes_on() {
    let bent = samples(|size| if size < 300.0 { size } else { size * size });
    let law = PowerLaw::fit(upper_half(&bent[1..])).unwrap();
    assert!(law.exponent > 1.9, "{law:?}");
    assert_eq!(upper_half(&bent).len(), 3);
    assert_eq!(upper_half(&bent[..2]).len(), 2);
}

#[test]
fn a_limit_is_crossed_between_two_samples() {
    let line = samples(|size| size);
    assert!(near(crossed_between(&line, 300.0).unwrap(), 300.0));
    assert_eq!(crossed_between(&line, 50.0), None, "below the first sample nothing was measured");
    assert_eq!(crossed_between(&line, 900.0), None);
}
