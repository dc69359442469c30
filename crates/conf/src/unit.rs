//! `serde_with` adapters for values that are written with a unit.

use std::{fmt, time::Duration};

use bytesize::ByteSize;
use serde::{
    Deserializer, Serializer,
    de::{Error, Visitor},
};
use serde_with::{DeserializeAs, SerializeAs};

/// Duration written with its unit, such as `"250ms"` or `"1m 30s"`.
pub struct Span;

impl SerializeAs<Duration> for Span {
    fn serialize_as<S: Serializer>(source: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&humantime::format_duration(*source))
    }
}

impl<'de> DeserializeAs<'de, Duration> for Span {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let visitor = TextVisitor {
            expected: "a time with its unit, such as \"250ms\"",
            parse: parse_span,
        };
        deserializer.deserialize_str(visitor)
    }
}

/// Size in bytes written with its unit, such as `"64KiB"`.
pub struct Size;

impl SerializeAs<u64> for Size {
    fn serialize_as<S: Serializer>(source: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{source}B"))
    }
}

impl<'de> DeserializeAs<'de, u64> for Size {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let visitor = TextVisitor {
            expected: "a size with its unit, such as \"64KiB\"",
            parse: parse_size,
        };
        deserializer.deserialize_str(visitor)
    }
}

fn parse_span(text: &str) -> Option<Duration> {
    humantime::parse_duration(text).ok()
}

fn parse_size(text: &str) -> Option<u64> {
    text.parse::<ByteSize>().ok().map(|size| size.as_u64())
}

/// Visitor that parses a value from a string.
struct TextVisitor<T> {
    expected: &'static str,
    parse: fn(&str) -> Option<T>,
}

impl<T> Visitor<'_> for TextVisitor<T> {
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.expected)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<T, E> {
        (self.parse)(text).ok_or_else(|| E::custom(format!("`{text}` is not {}", self.expected)))
    }
}
