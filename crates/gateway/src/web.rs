//! Targets of REST requests: paths, and the parameters behind them.

/// A parameter of a query, with its escapes undone.
pub fn parameter(query: &str, name: &str) -> Option<String> {
    let mut all = query.split('&').filter_map(|p| p.split_once('='));
    all.find(|(k, _)| unescape(k) == name)
        .map(|(_, v)| unescape(v))
}

/// A parameter that lists values separated by commas; it may come several times.
pub fn list(query: &str, name: &str) -> Vec<String> {
    let all = query
        .split('&')
        .filter_map(|p| p.split_once('='))
        .filter(|(k, _)| unescape(k) == name);
    let values = all.flat_map(|(_, v)| {
        unescape(v)
            .split(',')
            .map(|s| s.trim().to_owned())
            .collect::<Vec<_>>()
    });
    values.filter(|v| !v.is_empty()).collect()
}

/// `%41` and `+`; what is no escape stands for itself.
pub fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        let hex = bytes
            .get(at + 1..at + 3)
            .and_then(|h| std::str::from_utf8(h).ok());
        let escaped = hex.filter(|h| h.bytes().all(|b| b.is_ascii_hexdigit()));
        match (
            bytes[at],
            escaped.and_then(|h| u8::from_str_radix(h, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 2;
            }
            (b'+', _) => out.push(b' '),
            (byte, _) => out.push(byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn escapes_are_undone_and_broken_ones_kept() {
        assert_eq!(unescape("a%20b+c%2Fd"), "a b c/d");
        assert_eq!(unescape("100%, %zz %4"), "100%, %zz %4");
        assert_eq!(unescape("%ff"), "\u{fffd}");
        assert_eq!(
            parameter("a=1&user.name=ann%20b", "user.name").as_deref(),
            Some("ann b")
        );
        assert_eq!(list("states=A,b&x=1&states=C", "states"), ["A", "b", "C"]);
    }
}
