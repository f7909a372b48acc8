//! Packs what is to be told into as few datagrams as hold it.

/// Bytes of one datagram.
const BATCH_BYTES: usize = 6 * 1_024;

/// Groups items by their estimated bytes; one that is longer than a datagram's share stands alone.
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
