//! Contradictions between rules.

use std::collections::BTreeSet;

use crate::Rules;
use crate::read::Places;
use crate::section::Section;
use base::CallerName;
use base::ContractName;
use base::Findings;
use base::ModelName;
use base::Overflow;
use base::SourceLocation;

/// Fills in the indexes of the rules and reports what contradicts itself.
pub(crate) fn check(rules: &mut Rules, places: &Places, findings: &mut Findings) {
    let mut report = Report { places, findings };
    index_secrets(rules, &mut report);
    index_contracts(rules, &mut report);
    check_orgs(rules, &mut report);
    check_overflow(rules, &mut report);
}

struct Report<'a> {
    places: &'a Places,
    findings: &'a mut Findings,
}

impl Report<'_> {
    fn push(&mut self, section: Section, name: &impl ToString, key: &str, what: impl ToString) {
        let name = name.to_string();
        let place = self.place(section, &name);
        let key = format!("{section}.{name}.{key}");
        self.findings.push(place, key, what.to_string());
    }

    fn place(&self, section: Section, name: &str) -> SourceLocation {
        let id = (section, name.to_owned());
        self.places.get(&id).cloned().unwrap_or_default()
    }

    /// The line of another rule, to be named in a finding.
    fn line(&self, section: Section, name: &impl ToString) -> u32 {
        self.place(section, &name.to_string()).line
    }
}

fn index_secrets(rules: &mut Rules, report: &mut Report<'_>) {
    for (name, caller) in &rules.callers {
        let Some(other) = rules.secrets.insert(caller.secret, name.clone()) else {
            continue;
        };
        let line = report.line(Section::Callers, &other);
        let what = format!("the caller \"{other}\" on line {line} has the same secret");
        report.push(Section::Callers, name, "secret", what);
    }
}

fn index_contracts(rules: &mut Rules, report: &mut Report<'_>) {
    for (name, rule) in &rules.contracts {
        let model = &rule.contract.model;
        for caller in &rule.contract.callers {
            let Some(found) = rules.callers.get_mut(caller) else {
                continue;
            };
            let Some(other) = found.contracts.insert(model.clone(), name.clone()) else {
                continue;
            };
            let line = report.line(Section::Contracts, &other);
            let what = format!(
                "\"{caller}\" has the model \"{model}\" from \"{other}\" on line {line} already"
            );
            report.push(Section::Contracts, name, "callers", what);
        }
    }
}

fn check_orgs(rules: &Rules, report: &mut Report<'_>) {
    for (name, rule) in &rules.contracts {
        let org = &rule.contract.org;
        for caller in &rule.contract.callers {
            let Some(found) = rules.callers.get(caller) else {
                continue;
            };
            if found.org == *org {
                continue;
            }
            let other = &found.org;
            let what = format!(
                "a contract belongs to one organisation: \"{caller}\" is of \"{other}\", others of \"{org}\""
            );
            report.push(Section::Contracts, name, "callers", what);
        }
    }
}

/// Reports callers whose requests would be handed round in a circle.
fn check_overflow(rules: &Rules, report: &mut Report<'_>) {
    let mut reported = BTreeSet::new();
    for (name, rule) in &rules.contracts {
        for caller in &rule.contract.callers {
            let Some(circle) = circle(rules, caller, name) else {
                continue;
            };
            let first = circle.iter().min().cloned();
            if circle.first() != first.as_ref() || !reported.insert(name.clone()) {
                continue;
            }
            let way: Vec<_> = circle.iter().map(ToString::to_string).collect();
            let way = way.join(" to ");
            let what = format!("for \"{caller}\" the models overflow in a circle: {way} and back");
            report.push(Section::Contracts, name, "short", what);
        }
    }
}

/// The models that a caller's request passes until it is back at the first.
fn circle(rules: &Rules, caller: &CallerName, start: &ContractName) -> Option<Vec<ModelName>> {
    let first = &rules.contracts.get(start)?.contract;
    let mut way = vec![first.model.clone()];
    let mut current = first;
    while let Overflow::Model(next) = &current.overflow {
        if *next == first.model {
            return Some(way);
        }
        if way.contains(next) {
            return None;
        }
        way.push(next.clone());
        current = rules.contract_for(caller, next)?;
    }
    None
}
