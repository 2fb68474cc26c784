//! A rules file for the demo and the tests.

use sha2::Digest;
use sha2::Sha256;

/// The bearer secret of a caller in [`rules_text`].
pub fn caller_secret(caller: &str) -> String {
    format!("secret-of-{caller}-0123456789")
}

fn secret_digest(caller: &str) -> String {
    let digest = Sha256::digest(caller_secret(caller).as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Rules with one model of the given width, one idempotent service and two others.
pub fn rules_text(width: u32) -> String {
    let stall = secret_digest("stall-7");
    let quote = secret_digest("quote-desk");
    format!(
        r#"# Prairie Glow Lantern Works.

[orgs]
lantern = {{ weight = 3 }}  # Mira, operations
festivals = {{ weight = 1 }}  # Mira, operations

[callers]
stall-7 = {{ org = "lantern", secret = "sha256:{stall}" }}  # Asha, stalls
quote-desk = {{ org = "festivals", secret = "sha256:{quote}" }}  # Jonas, festivals

[models]
design-chat = {{ width = {width}, replicas = "2..4" }}  # Asha, stalls

[services]
stock = {{ callers = ["stall-7", "quote-desk"], repeat = true, deadline = "2s" }}  # Asha, stalls
orders = {{ callers = ["stall-7", "quote-desk"], repeat = false, ask = true, deadline = "4s", retention = "7d" }}  # Mira, operations
dispatch = {{ callers = ["stall-7"], repeat = false, deadline = "2s", retention = "7d" }}  # Mira, operations

[contracts]
stall-chat = {{ callers = ["stall-7"], model = "design-chat", first_token = "380ms", token_rate = 20, request_rate = 2000, burst = 4000, total_token_rate = 1000000, priority = 1, short = "wait 2s" }}  # Asha, stalls
quotes = {{ callers = ["quote-desk"], model = "design-chat", first_token = "1s", token_rate = 20, request_rate = 2, burst = 4, total_token_rate = 4000, priority = 2, short = "refuse" }}  # Jonas, festivals
"#
    )
}
