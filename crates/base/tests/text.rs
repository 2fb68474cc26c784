//! The texts of ids, names and rates parse back to the same value; others are refused.

use quickcheck::quickcheck;

use base::CentreId;
use base::ChangeId;
use base::HostId;
use base::NameError;
use base::OrgName;
use base::SourceLocation;
use base::TokenRate;

quickcheck! {
    fn host_ids_survive_their_text(number: u32) -> bool {
        let id = HostId(number);
        id.to_string().parse() == Ok(id)
    }

    fn token_rates_survive_their_text(number: u32) -> bool {
        let rate = TokenRate(f64::from(number) / 8.0);
        rate.to_string().parse() == Ok(rate)
    }
}

#[test]
fn a_change_id_of_any_size_goes_through_json_values() {
    let id = ChangeId(u128::MAX);
    let value = serde_json::to_value(id).unwrap();
    assert_eq!(serde_json::from_value::<ChangeId>(value).unwrap(), id);
}

#[test]
fn an_id_of_another_kind_is_refused() {
    assert!("h3".parse::<CentreId>().is_err());
    assert!("dc+3".parse::<CentreId>().is_err());
    assert!("dc".parse::<CentreId>().is_err());
}

#[test]
fn a_name_says_which_character_is_wrong() {
    let error = "Lantern".parse::<OrgName>().unwrap_err();
    let expected = NameError::Character {
        kind: "organisation's name",
        found: 'L',
    };
    assert_eq!(error, expected);
}

#[test]
fn a_place_counts_lines_and_characters_from_one() {
    let location = SourceLocation::from_offset("rules.toml", "a\nbé = 1\n", 5);
    assert_eq!(location.to_string(), "rules.toml:2:3");
}
