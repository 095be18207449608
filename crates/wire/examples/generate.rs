//! Generates `src/generated.rs` from `proto/peer.proto`.
//!
//! After a change of the schema, run `cargo run -p hibiscusrail-wire --example generate` and commit
//! the result. The build itself does not generate code.

use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let proto = root.join("proto/peer.proto");
    let files = protox::compile([&proto], [root.join("proto")])?;
    let mut config = prost_build::Config::new();
    config.skip_protoc_run();
    let module = prost_build::Module::from_protobuf_package_name("hibiscusrail.peer");
    let requests = files
        .file
        .into_iter()
        .map(|f| (module.clone(), f))
        .collect();
    let generated = config.generate(requests)?;
    let text = &generated[&module];
    let pretty = prettyplease::unparse(&syn::parse_file(text)?);
    std::fs::write(root.join("src/generated.rs"), pretty)?;
    Ok(())
}
