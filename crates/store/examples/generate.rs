//! Generates `src/ticket/generated.rs` from `schema/ticket.schema.json`.
//!
//! After a change of the schema, run `cargo run -p hibiscusrail-store --example generate` and
//! commit the result; the build itself does not run the generator.

use std::path::Path;

use typify::{TypeSpace, TypeSpaceSettings};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(root.join("schema/ticket.schema.json"))?;
    let schema = serde_json::from_str(&text)?;
    let mut settings = TypeSpaceSettings::default();
    settings.with_derive("PartialEq".to_owned());
    let mut types = TypeSpace::new(&settings);
    types.add_root_schema(schema)?;
    let file = syn::parse2(types.to_stream())?;
    let pretty = prettyplease::unparse(&file);
    std::fs::write(root.join("src/ticket/generated.rs"), pretty)?;
    Ok(())
}
