//! Hexadecimal encoding of bytes.

/// Decodes pairs of digits. Other characters and a single last digit are ignored.
pub fn decode(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text.chars().filter_map(|c| c.to_digit(16)).collect();
    digits
        .chunks_exact(2)
        .map(|pair| (pair[0] * 16 + pair[1]) as u8)
        .collect()
}

/// Encodes bytes as lowercase digits.
pub fn encode(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
