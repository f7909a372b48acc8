//! A hash that is the same in every process and release.

// Offset and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Hash of the parts, in order; their borders count.
pub(crate) fn hash(parts: &[&[u8]]) -> u64 {
    let mut state = FNV_OFFSET;
    for part in parts {
        for byte in *part {
            state = (state ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        state = (state ^ part.len() as u64).wrapping_mul(FNV_PRIME);
    }
    mix(state)
}

// The finaliser of SplitMix64: FNV's low bits alone follow the last byte too closely.
const fn mix(state: u64) -> u64 {
    let state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
