//! Plays loads in virtual time and checks what callers get.

mod support;

use std::time::Duration;

use support::desk::{Desk, Got};

/// A desk whose engines have few places and are filled by prompts; its figures are drawn anew for
/// each seed.
fn desk(seed: u64) -> Desk {
    let drawn = |from: u64, span: u64| from + (seed * 7_919) % span;
    Desk {
        instances: 7,
        engines: usize::try_from(drawn(16, 6)).unwrap(),
        places: 6,
        copies: 36,
        loads_at_once: 8,
        adapters: 3_000,
        skew: 1.2,
        rate: 60.0,
        prompt: drawn(1_800, 900),
        speed: (17.0, 24.0),
        answer: Duration::from_millis(drawn(500, 400)),
        seconds: 20,
        seed,
    }
}

fn worst(desks: impl Iterator<Item = Desk>) -> (f64, Vec<Got>) {
    let got = desks.map(Desk::play).collect::<Vec<_>>();
    let parts = got.iter().map(Got::in_time_part);
    (parts.fold(1.0, f64::min), got)
}

/// A fifth of all requests is for one adapter, more than two engines can read. Its engine filled up
/// for seconds while others idled, as a fifth of its slots was taken.
#[test]
fn a_hot_adapter_is_served_in_time() {
    let hot = (1..=3).map(|seed| Desk {
        adapters: 60,
        rate: 110.0,
        ..desk(seed)
    });
    let (worst, got) = worst(hot);
    assert!(worst >= 0.9, "{worst} {got:?}");
}

/// More adapters are asked for than there are places, though the weight store could bring them. They
/// waited for places on one engine while others had idle ones.
#[test]
fn adapters_beyond_the_places_are_served_in_time() {
    let (worst, got) = worst((1..=3).map(desk));
    assert!(worst >= 0.9, "{worst} {got:?}");
}

/// More loads are asked for than the weight store brings, 32 a second. Each came when its request had
/// been refused, and the store worked for nobody. At best the most popular adapters, one a place, need
/// no load and each load serves one request; seven tenths of that is asked for.
#[test]
fn a_weight_store_that_is_asked_for_too_much_still_serves_in_time() {
    let flood = (1..=3).map(|seed| Desk {
        skew: 0.9,
        rate: 90.0,
        ..desk(seed)
    });
    for desk in flood {
        let places = u32::try_from(desk.engines * desk.places).unwrap();
        let popularity = |ranks: u32| (1..=ranks).map(|rank| f64::from(rank).powf(-desk.skew));
        let resident = popularity(places).sum::<f64>() / popularity(desk.adapters).sum::<f64>();
        let brought = 32.0 / desk.rate;
        let got = desk.play();
        let part = got.in_time_part();
        assert!(part >= 0.7 * (resident + brought), "{part} {got:?}");
    }
}
