//! Command `identity`: a key for an entry and its fingerprint.

use wigeonhinged::peer::fingerprint;
use wigeonhinged::peer::generate_identity;

use crate::apply::fail;
use crate::exit::Exit;
use crate::options::IdentityOptions;

/// Prints the settings fields of a new identity.
pub(crate) fn run(options: &IdentityOptions) -> Exit {
    let made = generate_identity(&options.entry)
        .and_then(|identity| Ok((fingerprint(&identity.certificate)?, identity)));
    match made {
        Ok((fingerprint, identity)) => {
            let fields = serde_json::json!({ "identity": identity, "trusted": [fingerprint] });
            println!("{fields:#}");
            Exit::Done
        }
        Err(error) => fail(&error),
    }
}
