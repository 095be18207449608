//! Comparison of a JSON document with the fields that it may have.
//!
//! Decoding stops at the first error and accepts unknown fields; this finds all of them. Values are
//! not shown, as they may be secrets.

use std::cell::RefCell;
use std::fmt;

use serde::Deserializer;
use serde::de::{DeserializeSeed, IgnoredAny, MapAccess, SeqAccess, Visitor};

use crate::finding::{Finding, Kind, Place};

/// Form of a JSON value.
#[derive(Debug, Clone, Copy)]
pub enum Shape {
    /// Any value; for fields that are not read.
    Any,
    /// Text.
    Text,
    /// `true` or `false`.
    Flag,
    /// Whole number from 0 to this one.
    Count(u64),
    /// Number.
    Number,
    /// One of these texts.
    OneOf(&'static [&'static str]),
    /// List of values of one form.
    List(&'static Self),
    /// Object with any names and values of one form.
    Map(&'static Self),
    /// Object with these fields.
    Record(&'static [Field]),
}

/// Whether a field may be missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Need {
    /// It has to be there.
    Required,
    /// It may be missing.
    Optional,
    /// It may be missing or `null`.
    Nullable,
}

/// Field of an object.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    name: &'static str,
    shape: Shape,
    need: Need,
}

impl Field {
    /// Creates a field that has to be there.
    #[must_use]
    pub const fn required(name: &'static str, shape: Shape) -> Self {
        Self {
            name,
            shape,
            need: Need::Required,
        }
    }

    /// Creates a field that may be missing.
    #[must_use]
    pub const fn optional(name: &'static str, shape: Shape) -> Self {
        Self {
            name,
            shape,
            need: Need::Optional,
        }
    }

    /// Creates a field that may be missing or `null`.
    #[must_use]
    pub const fn nullable(name: &'static str, shape: Shape) -> Self {
        Self {
            name,
            shape,
            need: Need::Nullable,
        }
    }
}

/// Returns the fields of a JSON document that are missing, unknown, twice there or of the wrong type.
///
/// The document is read once without building it in memory, as a daemon does this at each load.
///
/// # Errors
///
/// Fails if the text is not JSON.
pub fn check_fields(text: &[u8], shape: Shape) -> Result<Vec<Finding>, serde_json::Error> {
    let findings = RefCell::default();
    let mut document = serde_json::Deserializer::from_slice(text);
    let walk = Walk {
        path: &Path::Root,
        shape,
        nullable: false,
        findings: &findings,
    };
    walk.deserialize(&mut document)?;
    document.end()?;
    Ok(findings.into_inner())
}

/// Place in the document; written out only for a finding.
#[derive(Clone, Copy)]
enum Path<'a> {
    Root,
    Field(&'a Self, &'a str),
    Element(&'a Self, usize),
}

impl fmt::Display for Path<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Root => Ok(()),
            Self::Field(Self::Root, name) => write!(f, "{name}"),
            Self::Field(parent, name) => write!(f, "{parent}.{name}"),
            Self::Element(parent, i) => write!(f, "{parent}[{i}]"),
        }
    }
}

/// Reads one value and adds its findings.
struct Walk<'a> {
    path: &'a Path<'a>,
    shape: Shape,
    nullable: bool,
    findings: &'a RefCell<Vec<Finding>>,
}

impl Walk<'_> {
    fn find(&self, kind: Kind, path: &Path<'_>, text: impl Into<String>) {
        let place = match path {
            Path::Root => Place::Document,
            _ => Place::Field(path.to_string()),
        };
        self.findings
            .borrow_mut()
            .push(Finding::new(kind, place, text));
    }

    /// Adds a finding unless the value has the right form.
    fn expect(&self, is_right: bool, found: &str) {
        if !is_right && !matches!(self.shape, Shape::Any) {
            let text = format!("expected {}, found {found}", expected(self.shape));
            self.find(Kind::WrongType, self.path, text);
        }
    }

    fn child<'a>(&'a self, path: &'a Path<'a>, shape: Shape, need: Need) -> Walk<'a> {
        Walk {
            path,
            shape,
            nullable: need == Need::Nullable,
            findings: self.findings,
        }
    }

    fn visit_record<'de, A: MapAccess<'de>>(
        &self,
        fields: &'static [Field],
        map: &mut A,
    ) -> Result<(), A::Error> {
        let mut seen = vec![false; fields.len()];
        while let Some(key) = map.next_key_seed(Key(fields))? {
            let (i, field) = match key {
                Ok(i) => (i, &fields[i]),
                Err(name) => {
                    let text = "the field is unknown and has no effect";
                    self.find(Kind::UnknownField, &Path::Field(self.path, &name), text);
                    map.next_value::<IgnoredAny>()?;
                    continue;
                }
            };
            let path = Path::Field(self.path, field.name);
            if std::mem::replace(&mut seen[i], true) && !matches!(field.shape, Shape::Any) {
                self.find(Kind::WrongType, &path, "the field stands twice");
            }
            map.next_value_seed(self.child(&path, field.shape, field.need))?;
        }
        for (field, was_seen) in fields.iter().zip(seen) {
            if field.need == Need::Required && !was_seen {
                let path = Path::Field(self.path, field.name);
                self.find(Kind::MissingField, &path, "the field is missing");
            }
        }
        Ok(())
    }
}

impl<'de> DeserializeSeed<'de> for Walk<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Walk<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_bool<E>(self, _: bool) -> Result<(), E> {
        self.expect(matches!(self.shape, Shape::Flag), "true or false");
        Ok(())
    }

    fn visit_u64<E>(self, number: u64) -> Result<(), E> {
        match self.shape {
            Shape::Count(max) => self.expect(number <= max, "another number"),
            shape => self.expect(matches!(shape, Shape::Number), "a number"),
        }
        Ok(())
    }

    fn visit_i64<E: serde::de::Error>(self, _: i64) -> Result<(), E> {
        self.visit_f64(0.0)
    }

    fn visit_f64<E>(self, _: f64) -> Result<(), E> {
        match self.shape {
            Shape::Count(_) => self.expect(false, "another number"),
            shape => self.expect(matches!(shape, Shape::Number), "a number"),
        }
        Ok(())
    }

    fn visit_str<E>(self, text: &str) -> Result<(), E> {
        match self.shape {
            Shape::OneOf(allowed) => self.expect(allowed.contains(&text), "another text"),
            shape => self.expect(matches!(shape, Shape::Text), "text"),
        }
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        self.expect(self.nullable, "null");
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<(), A::Error> {
        let Shape::List(element) = self.shape else {
            self.expect(false, "a list");
            while list.next_element::<IgnoredAny>()?.is_some() {}
            return Ok(());
        };
        for i in 0.. {
            let path = Path::Element(self.path, i);
            let walk = self.child(&path, *element, Need::Required);
            if list.next_element_seed(walk)?.is_none() {
                break;
            }
        }
        Ok(())
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        match self.shape {
            Shape::Record(fields) => self.visit_record(fields, &mut map)?,
            Shape::Map(element) => {
                while let Some(name) = map.next_key::<String>()? {
                    let path = Path::Field(self.path, &name);
                    map.next_value_seed(self.child(&path, *element, Need::Required))?;
                }
            }
            _ => {
                self.expect(false, "an object");
                while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
            }
        }
        Ok(())
    }
}

/// Reads the name of a field: its position among these, or the name if it is not one of them.
struct Key(&'static [Field]);

impl<'de> DeserializeSeed<'de> for Key {
    type Value = Result<usize, String>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_identifier(self)
    }
}

impl Visitor<'_> for Key {
    type Value = Result<usize, String>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the name of a field")
    }

    fn visit_str<E>(self, name: &str) -> Result<Self::Value, E> {
        let position = self.0.iter().position(|f| f.name == name);
        Ok(position.ok_or_else(|| name.to_owned()))
    }
}

fn expected(shape: Shape) -> String {
    match shape {
        Shape::Any => "any value".to_owned(),
        Shape::Text => "text".to_owned(),
        Shape::Flag => "true or false".to_owned(),
        Shape::Count(max) => format!("a whole number from 0 to {max}"),
        Shape::Number => "a number".to_owned(),
        Shape::OneOf(allowed) => format!("one of {}", allowed.join(", ")),
        Shape::List(_) => "a list".to_owned(),
        Shape::Map(_) | Shape::Record(_) => "an object".to_owned(),
    }
}
