//! Attribute macros that stand for the derive sets used all over the project.
//!
//! A type says what it *is* (`#[value]`, `#[record]`, `#[id]`) and receives the
//! derives that go with it, so that two types of one kind never differ by
//! accident.

use proc_macro::TokenStream;

/// Prepends `#[derive(...)]` with the given list to `item`.
fn derive(list: &str, item: TokenStream) -> TokenStream {
    let mut out: TokenStream = format!("#[derive({list})]")
        .parse()
        .expect("the derive list is valid Rust");
    out.extend(item);
    out
}

/// A small `Copy` identifier that can be ordered and hashed.
#[proc_macro_attribute]
pub fn id(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive(
        "Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash",
        item,
    )
}

/// A small `Copy` value that can be compared.
#[proc_macro_attribute]
pub fn value(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("Debug, Clone, Copy, PartialEq", item)
}

/// An owned message or state record that can be cloned and compared.
#[proc_macro_attribute]
pub fn record(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("Debug, Clone, PartialEq", item)
}
