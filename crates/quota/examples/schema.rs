//! Prints the published schema of tree files: `docs/quotas/schema.json` is written from it.

fn main() {
    println!("{}", quota::file::schema());
}
