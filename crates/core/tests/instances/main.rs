//! Whole instances, several in memory, under failure.

mod adapters;
mod catalogue;
mod chaos;
mod filings;
mod fleet;
mod keys;
mod outage;
mod software;
mod stop;
mod whole_path;
mod world;
