//! Parsers for the values of properties, each with a description of what it accepts.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use eelgrassrock_model::Name;

/// Parser and description of the allowed values of a key.
pub(crate) trait Rule {
    /// Type of the parsed value.
    type Value;

    /// Parses `text`. Returns `None` if it isn't allowed.
    fn parse(&self, text: &str) -> Option<Self::Value>;

    /// Returns a description of the allowed texts.
    fn allowed(&self) -> String;
}

/// Name of the type `N`.
pub(crate) struct Named<N>(PhantomData<N>);

impl<N> Named<N> {
    pub(crate) const fn new() -> Self {
        Self(PhantomData)
    }
}

impl<N: Name> Rule for Named<N> {
    type Value = N;

    fn parse(&self, text: &str) -> Option<N> {
        text.parse().ok()
    }

    fn allowed(&self) -> String {
        "a name of 1 to 63 characters made of a-z, 0-9 and `-`".to_owned()
    }
}

/// IP address and port. Port 0 and the unspecified address aren't allowed.
pub(crate) struct Address;

impl Rule for Address {
    type Value = SocketAddr;

    fn parse(&self, text: &str) -> Option<SocketAddr> {
        let address: SocketAddr = text.parse().ok()?;
        let usable = address.port() != 0 && !address.ip().is_unspecified();
        usable.then_some(address)
    }

    fn allowed(&self) -> String {
        "an IP address and a port, such as `10.0.0.7:8080` or `[fd00::7]:8080`, \
         neither 0.0.0.0 nor port 0"
            .to_owned()
    }
}

/// Whole number of 64 bits within a range.
pub(crate) struct U64Range(pub(crate) RangeInclusive<u64>);

impl Rule for U64Range {
    type Value = u64;

    fn parse(&self, text: &str) -> Option<u64> {
        let digits = text.bytes().all(|byte| byte.is_ascii_digit());
        let number = text.parse().ok().filter(|_| digits)?;
        self.0.contains(&number).then_some(number)
    }

    fn allowed(&self) -> String {
        format!("a whole number from {} to {}", self.0.start(), self.0.end())
    }
}

/// Whole number of 32 bits within a range.
pub(crate) struct U32Range(pub(crate) RangeInclusive<u32>);

impl Rule for U32Range {
    type Value = u32;

    fn parse(&self, text: &str) -> Option<u32> {
        let number = self.widen().parse(text)?;
        u32::try_from(number).ok()
    }

    fn allowed(&self) -> String {
        self.widen().allowed()
    }
}

impl U32Range {
    fn widen(&self) -> U64Range {
        U64Range(u64::from(*self.0.start())..=u64::from(*self.0.end()))
    }
}

/// Duration within a range, written as a whole number with a unit.
pub(crate) struct DurationRange(pub(crate) RangeInclusive<Duration>);

impl Rule for DurationRange {
    type Value = Duration;

    fn parse(&self, text: &str) -> Option<Duration> {
        let (number, unit) = split_unit(text)?;
        let factor_ms = match unit {
            "ms" => 1,
            "s" => 1_000,
            "min" => 60_000,
            "h" => 3_600_000,
            _ => return None,
        };
        let duration = Duration::from_millis(number.checked_mul(factor_ms)?);
        self.0.contains(&duration).then_some(duration)
    }

    fn allowed(&self) -> String {
        let (start, end) = (
            format_duration(*self.0.start()),
            format_duration(*self.0.end()),
        );
        format!("a time from {start} to {end}, a whole number with `ms`, `s`, `min` or `h`")
    }
}

fn split_unit(text: &str) -> Option<(u64, &str)> {
    let end = text.find(|c: char| !c.is_ascii_digit())?;
    let (digits, unit) = text.split_at(end);
    Some((digits.parse().ok()?, unit.trim_start()))
}

/// Formats a duration in the syntax that [`DurationRange`] parses.
pub(crate) fn format_duration(duration: Duration) -> String {
    let millis = duration.as_millis();
    match millis {
        0 => "0 ms".to_owned(),
        _ if millis.is_multiple_of(3_600_000) => format!("{} h", millis / 3_600_000),
        _ if millis.is_multiple_of(60_000) => format!("{} min", millis / 60_000),
        _ if millis.is_multiple_of(1_000) => format!("{} s", millis / 1_000),
        _ => format!("{millis} ms"),
    }
}

/// One of a fixed set of words.
pub(crate) struct Choice<T: 'static>(pub(crate) &'static [(&'static str, T)]);

impl<T: Copy> Rule for Choice<T> {
    type Value = T;

    fn parse(&self, text: &str) -> Option<T> {
        let found = self.0.iter().find(|(word, _)| *word == text);
        found.map(|(_, value)| *value)
    }

    fn allowed(&self) -> String {
        let words: Vec<String> = self.0.iter().map(|(word, _)| format!("`{word}`")).collect();
        words.join(" or ")
    }
}

/// `yes` or `no`.
pub(crate) const YES_NO: Choice<bool> = Choice(&[("yes", true), ("no", false)]);

/// Any text that isn't empty. The field describes what the text stands for.
pub(crate) struct Text(pub(crate) &'static str);

impl Rule for Text {
    type Value = String;

    fn parse(&self, text: &str) -> Option<String> {
        (!text.is_empty()).then(|| text.to_owned())
    }

    fn allowed(&self) -> String {
        self.0.to_owned()
    }
}

/// Value that is parsed by a function.
pub(crate) struct Parsed<T> {
    /// Parses a text. Returns `None` if it isn't allowed.
    pub(crate) parse: fn(&str) -> Option<T>,
    /// Description of the allowed texts.
    pub(crate) allowed: &'static str,
}

impl<T> Rule for Parsed<T> {
    type Value = T;

    fn parse(&self, text: &str) -> Option<T> {
        (self.parse)(text)
    }

    fn allowed(&self) -> String {
        self.allowed.to_owned()
    }
}
