//! Bytes as hexadecimal digits.

/// The bytes that digits stand for. What is no digit is skipped, and so is a digit without a second one.
pub fn decode(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text.chars().filter_map(|c| c.to_digit(16)).collect();
    digits
        .chunks_exact(2)
        .map(|pair| (pair[0] * 16 + pair[1]) as u8)
        .collect()
}

/// The digits of some bytes.
pub fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
