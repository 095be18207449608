//! Attribute macros for the sets of derives that the workspace's crates share.
//!
//! Marking a type with its kind (`#[value]`, `#[record]` or `#[id]`) adds the
//! derives of that kind, so that all types of one kind implement the same traits.

use proc_macro::TokenStream;

/// Prepends `#[derive(...)]` with the given list to `item`.
fn derive(list: &str, item: TokenStream) -> TokenStream {
    let mut out: TokenStream = format!("#[derive({list})]")
        .parse()
        .expect("the derive list is valid Rust");
    out.extend(item);
    out
}

/// Derives the traits of a small `Copy` identifier that can be ordered and hashed.
#[proc_macro_attribute]
pub fn id(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive(
        "Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash",
        item,
    )
}

/// Derives the traits of a small `Copy` value that can be compared.
#[proc_macro_attribute]
pub fn value(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("Debug, Clone, Copy, PartialEq", item)
}

/// Derives the traits of an owned message or state record that can be cloned and compared.
#[proc_macro_attribute]
pub fn record(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("Debug, Clone, PartialEq", item)
}
