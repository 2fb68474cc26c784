//! Valid files are read in full, and each finding in an invalid one has a location.

use std::path::Path;

use quickcheck::quickcheck;

use base::Findings;
use base::Overflow;
use rules::Rules;

const LANTERN: &str = include_str!("../examples/lantern-works.toml");
const TRADERS: &str = include_str!("../examples/traders-association.toml");

const GOOD: &str = r#"[orgs]
lantern = { weight = 3 }  # Mira
[callers]
stall-7 = { org = "lantern", secret = "sha256:0000000000000000000000000000000000000000000000000000000000000001" }  # Asha
[models]
chat = { width = 8, replicas = "2..20" }  # Asha
[services]
orders = { callers = ["stall-7"], repeat = false }  # Mira
[contracts]
stall = { callers = ["stall-7"], model = "chat", first_token = "380ms", token_rate = 20, request_rate = 5, total_token_rate = 200 }  # Asha
"#;

fn parse(text: &str) -> Result<Rules, Findings> {
    Rules::parse(Path::new("rules.toml"), text)
}

/// The findings in a file that has some, as lines of text.
fn findings(text: &str) -> Vec<String> {
    let found = parse(text).expect_err("the file has findings");
    found.list.iter().map(ToString::to_string).collect()
}

/// The findings in the valid file [`GOOD`] after a replacement in its text.
fn findings_after_change(from: &str, to: &str) -> Vec<String> {
    assert!(GOOD.contains(from), "{from}");
    findings(&GOOD.replacen(from, to, 1))
}

#[test]
fn both_examples_are_read() {
    let lantern = parse(LANTERN).unwrap();
    let stall = "stall-7".parse().unwrap();
    let contract = lantern.contract_for(&stall, &"design-chat".parse().unwrap());
    let contract = contract.unwrap();
    assert_eq!(contract.weight, 3);
    assert_eq!(
        contract.overflow,
        Overflow::Model("small-chat".parse().unwrap())
    );
    let orders = "orders".parse().unwrap();
    assert!(lantern.service_for(&stall, &orders).is_some());
    let desk = "quote-desk".parse().unwrap();
    assert!(lantern.service_for(&desk, &orders).is_none());
    let secret = lantern.callers[&stall].secret;
    assert_eq!(lantern.caller_by_secret(&secret.0).unwrap().0, &stall);
    assert!(lantern.caller_by_secret(&[7; 32]).is_none());
    assert_eq!(
        lantern.contracts["quotes".parse().as_ref().unwrap()]
            .asker
            .0,
        "Jonas, festivals"
    );
    assert_eq!(parse(TRADERS).unwrap().contracts.len(), 3);
}

#[test]
fn each_mistake_is_found_at_its_place() {
    let cases = [
        (
            "org = \"lantern\"",
            "org = \"lamp\"",
            "rules.toml:4:19: callers.stall-7.org: there is no organisation \"lamp\" in [orgs]",
        ),
        (
            "model = \"chat\"",
            "model = \"chart\"",
            "rules.toml:10:42: contracts.stall.model: there is no model \"chart\" in [models]",
        ),
        (
            "callers = [\"stall-7\"], model",
            "callers = [\"stall-7\", \"stall-9\"], model",
            "rules.toml:10:33: contracts.stall.callers: there is no caller \"stall-9\" in [callers]",
        ),
        (
            "repeat = false",
            "repeat = \"no\"",
            "rules.toml:8:44: services.orders.repeat: true or false is wanted, this is a string",
        ),
        (
            "repeat = false",
            "repeat = true, ask = true",
            "rules.toml:8:56: services.orders.ask: calls that may be repeated are not asked about: drop it or say repeat = false",
        ),
        (
            "width = 8",
            "width = 0",
            "rules.toml:6:18: models.chat.width: 0 is not between 1 and 64",
        ),
        (
            "2..20",
            "20..2",
            "rules.toml:6:32: models.chat.replicas: the range \"20..2\" ends before it starts",
        ),
        (
            "380ms",
            "380",
            "rules.toml:10:64: contracts.stall.first_token: \"380\" is not a time such as \"380ms\", \"2s\", \"5min\" or \"7d\"",
        ),
        (
            "token_rate = 20,",
            "token_rate = \"fast\",",
            "rules.toml:10:86: contracts.stall.token_rate: a number a second without quotes is wanted, this is a string",
        ),
        (
            "total_token_rate = 200",
            "total_token_rate = 10",
            "rules.toml:10:127: contracts.stall.total_token_rate: one answer is promised 20 tokens a second, all answers together only 10",
        ),
        (
            "total_token_rate = 200",
            "total_token_rate = 200, speed = 3",
            "rules.toml:10:132: contracts.stall.speed: a contract has no \"speed\"; it has callers, model, first_token, token_rate, request_rate, burst, total_token_rate, priority, short",
        ),
        (
            "weight = 3 }  # Mira",
            "weight = 3 }",
            "rules.toml:2:25: orgs.lantern: the rule does not say who asked for it: end the line with # and a name",
        ),
        (
            "weight = 3 }  # Mira",
            "weight = 3 }  #  ",
            "rules.toml:2:25: orgs.lantern: the rule does not say who asked for it: end the line with # and a name",
        ),
        (
            "[models]",
            "[hosts]",
            "rules.toml:5:1: hosts: there is no table \"hosts\"; the tables are orgs, callers, models, services, contracts",
        ),
        (
            "[orgs]\n",
            "",
            "rules.toml:1:1: lantern: a rule stands below a table such as [callers]",
        ),
        (
            "secret = \"sha256:0",
            "secret = \"",
            "rules.toml:4:39: callers.stall-7.secret: a secret is written \"sha256:\" and 64 hexadecimal digits",
        ),
        (
            "lantern = {",
            "lantern = 3 # Mira\nprairie = {",
            "rules.toml:2:1: orgs.lantern: a rule is written lantern = { … }  # who asked for it",
        ),
        (
            "lantern = {",
            "Lantern = {",
            "rules.toml:2:1: orgs.Lantern: a organisation's name cannot contain 'L'",
        ),
    ];
    for (from, to, expected) in cases {
        let found = findings_after_change(from, to);
        assert!(found.iter().any(|f| f == expected), "{to}: {found:#?}");
    }
}

#[test]
fn contradictions_name_the_other_line() {
    let secret = "sha256:0000000000000000000000000000000000000000000000000000000000000001";
    let twin = format!(
        "[models]\n[callers]\nstall-8 = {{ org = \"lantern\", secret = \"{secret}\" }} # Asha\n[models]"
    );
    let found = findings_after_change("[models]", &twin);
    assert!(
        found
            .iter()
            .any(|f| f.contains("\"stall-7\" on line 4 has the same secret")),
        "{found:#?}"
    );
    assert!(
        found
            .iter()
            .any(|f| f.contains("the table \"models\" began on line 5 already")),
        "{found:#?}"
    );

    let again = GOOD.lines().last().unwrap().replacen("stall", "other", 1);
    let found = findings(&format!("{GOOD}{again}\n"));
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(
        found[0].starts_with("rules.toml:11:1: contracts.")
            || found[0].starts_with("rules.toml:10:1: contracts.")
    );
    assert!(found[0].contains("has the model \"chat\" from"));

    let twice = GOOD.lines().last().unwrap();
    let found = findings(&format!("{GOOD}{twice}\n"));
    assert_eq!(
        found,
        ["rules.toml:11:1: contracts.stall: \"stall\" was defined on line 10 already"]
    );
}

#[test]
fn models_that_overflow_in_a_circle_are_found_once() {
    let circle = LANTERN.replace(
        "priority = 1 }",
        "priority = 1, short = \"model design-chat\" }",
    );
    let found = findings(&circle);
    assert_eq!(found.len(), 1, "{found:#?}");
    assert!(found[0].contains("design-chat to small-chat and back"));
    let own = findings_after_change(
        "total_token_rate = 200",
        "total_token_rate = 200, short = \"model chat\"",
    );
    assert!(own[0].contains("overflow in a circle: chat and back"));
}

#[test]
fn one_rule_is_one_line() {
    let several = findings_after_change("weight = 3 }", "\n  weight = 3,\n}");
    assert_eq!(
        several[0],
        "rules.toml:2:1: lantern: the rule does not end on its line: one rule is one line"
    );
    assert!(
        several
            .iter()
            .all(|f| !f.starts_with("rules.toml:3") && !f.starts_with("rules.toml:4:")),
        "{several:#?}"
    );
    let header = findings_after_change("[models]", "[models");
    assert!(header[0].starts_with("rules.toml:5:"), "{header:#?}");
    assert!(
        header.iter().all(|f| !f.contains("rules.toml:6")),
        "{header:#?}"
    );
    let two = findings_after_change("weight = 3 }", "weight = 3 } prairie = { weight = 1 }");
    assert!(
        two[0].starts_with("rules.toml:2:26: lantern: not one rule on one line"),
        "{two:#?}"
    );
    let dotted = findings_after_change("lantern = { weight = 3 }", "lantern.weight = 3");
    assert!(
        dotted[0].starts_with("rules.toml:2:1: orgs.lantern: a rule is"),
        "{dotted:#?}"
    );
}

#[test]
fn all_findings_come_together_and_their_number_is_bounded() {
    let bad = GOOD
        .replace("lantern", "Lan")
        .replace("width", "depth")
        .replace("380ms", "1 week");
    assert!(5 <= findings(&bad).len());
    assert!(findings(&"x\n".repeat(100_000)).len() <= 1_001);
    let long = "#".repeat(rules::MAX_RULES_FILE_BYTES + 1);
    assert!(findings(&long)[0].contains("at most 1048576 are read"));
}

quickcheck! {
    fn what_is_accepted_is_toml_and_nothing_panics(at: usize, with: String) -> bool {
        let mut at = at % (LANTERN.len() + 1);
        while !LANTERN.is_char_boundary(at) {
            at -= 1;
        }
        let text = format!("{}{with}{}", &LANTERN[..at], &LANTERN[at..]);
        parse(&text).is_err() || text.parse::<toml_edit::DocumentMut>().is_ok()
    }

    fn any_line_is_read_or_refused(section: u8, line: String) -> bool {
        let table = ["orgs", "callers", "models", "services", "contracts"][usize::from(section) % 5];
        let text = format!("[{table}]\n{line}\n");
        parse(&text).is_err() || text.parse::<toml_edit::DocumentMut>().is_ok()
    }
}
