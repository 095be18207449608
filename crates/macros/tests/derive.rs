//! Each attribute macro derives the traits that its kind of type needs.

use std::collections::{BTreeSet, HashSet};

use hibiscusrail_macros::{id, record, value};

#[id]
struct Number(u32);

#[id]
enum Kind {
    First,
    Second,
}

#[value]
struct Point {
    x: f64,
}

#[record]
struct Note {
    text: String,
}

#[record]
enum Either<T> {
    Left(T),
    Right(String),
}

#[test]
fn id_is_copied_ordered_and_hashed() {
    let (low, high) = (Number(1), Number(2));
    let copy = low;
    assert!(low < high);
    assert_eq!(copy, low);
    assert_eq!(BTreeSet::from([high, low]).first(), Some(&low));
    assert!(HashSet::from([low]).contains(&copy));
    assert!(Kind::First < Kind::Second);
    assert_eq!(format!("{low:?}"), "Number(1)");
}

#[test]
fn value_is_copied_and_compared() {
    let point = Point { x: 0.5 };
    let copy = point;
    assert_eq!(copy, point);
    assert_ne!(copy, Point { x: 1.5 });
}

#[test]
fn record_is_cloned_and_compared() {
    let note = Note {
        text: "text".to_owned(),
    };
    assert_eq!(note.clone(), note);
    let left = Either::Left(note);
    assert_eq!(left.clone(), left);
    assert_ne!(left, Either::Right("text".to_owned()));
}
