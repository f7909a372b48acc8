//! Packs messages into as few datagrams as possible.

/// Max estimated bytes of the messages in one datagram.
const BATCH_BYTES: usize = 6 * 1_024;

/// Groups items by their estimated bytes; an item that is larger than `BATCH_BYTES` gets a batch of its own.
pub(super) fn batches<T>(items: Vec<T>, bytes: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut batches = Vec::<Vec<T>>::new();
    let mut remaining = 0;
    for item in items {
        let bytes = bytes(&item);
        if bytes > remaining {
            batches.push(Vec::new());
            remaining = BATCH_BYTES;
        }
        remaining = remaining.saturating_sub(bytes);
        if let Some(batch) = batches.last_mut() {
            batch.push(item);
        }
    }
    batches
}
