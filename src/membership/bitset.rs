//! Sets of limiter numbers as bit strings: bit `n % 8` of byte `n / 8` stands for number `n`. A set
//! has no trailing zero bytes.

/// Returns whether the set contains `index`.
pub fn contains(bits: &[u8], index: usize) -> bool {
    bits.get(index / 8)
        .is_some_and(|byte| byte >> (index % 8) & 1 == 1)
}

/// Adds `index` to the set.
pub fn insert(bits: &mut Vec<u8>, index: usize) {
    if bits.len() <= index / 8 {
        bits.resize(index / 8 + 1, 0);
    }
    bits[index / 8] |= 1 << (index % 8);
}

/// Removes `index` from the set.
pub fn remove(bits: &mut Vec<u8>, index: usize) {
    if let Some(byte) = bits.get_mut(index / 8) {
        *byte &= !(1 << (index % 8));
    }
    while bits.last() == Some(&0) {
        bits.pop();
    }
}

/// Returns the bytes of the window with this number. Each window has `window` bits, a multiple of
/// eight.
pub fn window(bits: &[u8], window: usize, number: usize) -> &[u8] {
    let bytes = window / 8;
    let first = (number * bytes).min(bits.len());
    &bits[first..(first + bytes).min(bits.len())]
}

/// Returns the bits without trailing zero bytes.
pub fn trimmed(bits: &[u8]) -> Vec<u8> {
    let end = bits
        .iter()
        .rposition(|byte| *byte != 0)
        .map_or(0, |last| last + 1);
    bits[..end].to_vec()
}

/// Returns the highest number in the set, `None` if it is empty.
pub fn highest(bits: &[u8]) -> Option<usize> {
    let last = bits.iter().rposition(|byte| *byte != 0)?;
    Some(last * 8 + (7 - bits[last].leading_zeros() as usize))
}
