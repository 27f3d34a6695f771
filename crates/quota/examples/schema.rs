//! Prints the JSON Schema of quota files, from which `docs/quotas/schema.json` is generated.

fn main() {
    println!("{}", quota::file::schema());
}
