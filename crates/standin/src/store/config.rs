//! Settings of the weight store.

/// Settings of the weight store.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Port on loopback; 0 for any.
    pub port: u16,
    /// Loads a second; more are answered 429.
    pub loads_per_second: u32,
    /// Loads in flight that don't slow each other down.
    pub in_flight: u32,
    /// Time of one load, in milliseconds.
    pub load_ms: u64,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            port: 0,
            loads_per_second: 3,
            in_flight: 8,
            load_ms: 250,
        }
    }
}
