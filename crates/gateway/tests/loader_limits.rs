//! The loader against a model engine, in virtual time: orders that are lost, answered late or come
//! late, engines that restart, holders that die and change, news of requests that is lost.
//!
//! `BLUEBELLSTAGE_LOADER_SEEDS` names the number of seeds; without it some dozens are played.

mod support;

use std::time::Duration;

use bluebellstage_core::Time;
use bluebellstage_gateway::decide::adapter::AdapterKey;
use bluebellstage_gateway::decide::loader::{LoadStep, Loader, Order, OrderAnswer};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::engine::Engine;
use support::{adapter, at};

/// Seeds that are played where none are named.
const SEEDS: u64 = 120;
/// Seeds that once broke: two late loads of a former life came one after the other to an engine of
/// four places, of which one was kept.
const BROKEN_ONCE: [u64; 1] = [3_657];
/// Length of a play in milliseconds.
const LENGTH_MS: u64 = 40_000;
/// Milliseconds between two looks.
const TICK_MS: u64 = 5;

/// A request on its way through a play.
struct Open {
    key: AdapterKey,
    until: Time,
}

/// How a play goes, drawn from its seed.
struct Play {
    rng: ChaCha8Rng,
    engine: Engine,
    loader: Loader,
    /// The engine's life that the loader was made for.
    life: u64,
    /// When the holder hears of a new life.
    hears: Time,
    open: Vec<Open>,
    adapters: u32,
    /// Part of the orders that get no answer while that trouble lasts.
    lost: f64,
    trouble: (Time, Time),
    /// Part of the news of requests that is lost.
    news_lost: f64,
    /// The loader sends nothing before.
    answer_at: Option<(Time, Order, OrderAnswer)>,
}

impl Play {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let most = if rng.random() { 8 } else { 30 };
        let places = rng.random_range(4..=most);
        let begins = rng.random_range(0..10_000);
        let lasts = rng.random_range(3_000..15_000);
        Self {
            engine: Engine::new(places),
            loader: Loader::new(places).in_life_since(at(0)),
            life: 1,
            hears: at(0),
            open: Vec::new(),
            adapters: rng.random_range(8..200),
            lost: rng.random_range(0.2..0.7),
            trouble: (at(begins), at(begins + lasts)),
            news_lost: rng.random_range(0.0..0.1),
            answer_at: None,
            rng,
        }
    }

    fn run(mut self) -> Result<(), String> {
        for ms in (0..LENGTH_MS).step_by(usize::try_from(TICK_MS).unwrap()) {
            let now = at(ms);
            self.trouble(now);
            self.engine.pass(now);
            self.requests(now);
            self.step(now);
            if self.engine.most > self.engine.places {
                let Engine { most, places, .. } = self.engine;
                return Err(format!("{most} of {places} at {ms} ms"));
            }
        }
        Ok(())
    }

    fn trouble(&mut self, now: Time) {
        if self.rng.random_bool(0.000_5) {
            self.engine.restart();
            self.open.clear();
            self.hears = now + Duration::from_millis(self.rng.random_range(50..2_500));
        }
        if self.life != self.engine.starts && now >= self.hears {
            self.life = self.engine.starts;
            let fresh = Loader::new(self.engine.places).in_life_since(self.hears);
            self.loader = if self.rng.random_bool(0.5) {
                fresh.after(&self.loader)
            } else {
                fresh
            };
            self.answer_at = None;
        } else if self.rng.random_bool(0.000_5) {
            // Another holder: it knows the life, and nothing of unanswered orders.
            self.loader = Loader::new(self.engine.places).in_life_since(self.hears);
            self.answer_at = None;
        }
    }

    fn requests(&mut self, now: Time) {
        if self.rng.random_bool(0.1) {
            let popular = self.rng.random_range(0.0_f64..1.0).powi(3);
            let idx = (popular * f64::from(self.adapters)).floor();
            let key = adapter(&format!("a{idx}"));
            let version = self.rng.random_bool(0.02).then_some(2);
            let version = version.map(bluebellstage_core::AdapterVersion);
            self.loader.wish(key.clone(), version, now);
            if self.engine.begin(&key) {
                let lasts = self.rng.random_range(50..3_000);
                let until = now + Duration::from_millis(lasts);
                self.open.push(Open {
                    key: key.clone(),
                    until,
                });
                if !self.rng.random_bool(self.news_lost) {
                    self.loader.begun(&key, now);
                }
            } else if self.rng.random_bool(0.3) {
                self.loader.missing(&key, now);
            }
        }
        let (over, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|request| request.until <= now);
        self.open = open;
        for request in Vec::from_iter::<Vec<Open>>(over) {
            self.engine.end(&request.key);
            if !self.rng.random_bool(self.news_lost) {
                self.loader.ended(&request.key, now);
            }
        }
    }

    fn step(&mut self, now: Time) {
        if let Some((due, order, answer)) = self.answer_at.take() {
            if due > now {
                self.answer_at = Some((due, order, answer));
                return;
            }
            self.loader.answered(&order, answer, 1.0, now);
        }
        match self.loader.step(|_| None, true, now) {
            LoadStep::Idle | LoadStep::Wait(_) => {}
            LoadStep::Read => {
                let told = (!self.rng.random_bool(0.1)).then(|| self.engine.report(now));
                self.loader.reported(told, now);
            }
            LoadStep::Send(order) => self.send(order, now),
        }
    }

    fn send(&mut self, order: Order, now: Time) {
        let (from, to) = self.trouble;
        let troubled = (from..to).contains(&now) && self.rng.random_bool(self.lost);
        if !troubled {
            let answer = self.engine.take(&order, now);
            let pause = Duration::from_millis(self.rng.random_range(1..40));
            self.answer_at = Some((now + pause, order, answer));
            return;
        }
        match self.rng.random_range(0..4) {
            0 => {}
            1 => {
                let _unheard = self.engine.take(&order, now);
            }
            _ => {
                let later = Duration::from_millis(self.rng.random_range(2_000..12_000));
                self.engine.take_later(order.clone(), now + later);
            }
        }
        let elapsed = now + Duration::from_millis(130);
        self.answer_at = Some((elapsed, order, OrderAnswer::Unknown));
    }
}

fn seeds() -> u64 {
    let named = std::env::var("BLUEBELLSTAGE_LOADER_SEEDS").ok();
    named.and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// An engine crashes because it was ordered to load more than fits: every adapter on it is gone, and
/// every stream there breaks off. Orders had got no answer and came seconds later, after the engine
/// had been restarted under its name and filled again by somebody who knew nothing of them.
#[test]
fn no_engine_is_ever_ordered_to_load_more_than_fits() {
    let broken = (0..seeds())
        .chain(BROKEN_ONCE)
        .filter_map(|seed| {
            let told = Play::new(seed).run().err()?;
            Some(format!("seed {seed}: {told}"))
        })
        .collect::<Vec<_>>();
    assert!(broken.is_empty(), "{} broken: {broken:#?}", broken.len());
}
