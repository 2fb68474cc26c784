//! Checks for contradictions between rules.

use std::collections::BTreeSet;

use crate::Rules;
use crate::read::Locations;
use crate::section::Section;
use base::CallerName;
use base::ContractName;
use base::Findings;
use base::ModelName;
use base::Overflow;
use base::SourceLocation;

/// Builds the lookup tables of the rules and reports contradictions.
pub(crate) fn check(rules: &mut Rules, locations: &Locations, findings: &mut Findings) {
    let mut reporter = Reporter {
        locations,
        findings,
    };
    index_secrets(rules, &mut reporter);
    index_contracts(rules, &mut reporter);
    check_orgs(rules, &mut reporter);
    check_overflow(rules, &mut reporter);
}

struct Reporter<'a> {
    locations: &'a Locations,
    findings: &'a mut Findings,
}

impl Reporter<'_> {
    fn add(&mut self, section: Section, name: &impl ToString, key: &str, problem: impl ToString) {
        let name = name.to_string();
        let location = self.location(section, &name);
        let key = format!("{section}.{name}.{key}");
        self.findings.push(location, key, problem.to_string());
    }

    fn location(&self, section: Section, name: &str) -> SourceLocation {
        let id = (section, name.to_owned());
        self.locations.get(&id).cloned().unwrap_or_default()
    }

    /// The line number of a rule, for a finding about another rule.
    fn line_of(&self, section: Section, name: &impl ToString) -> u32 {
        self.location(section, &name.to_string()).line
    }
}

fn index_secrets(rules: &mut Rules, reporter: &mut Reporter<'_>) {
    for (name, caller) in &rules.callers {
        let Some(other) = rules.secrets.insert(caller.secret, name.clone()) else {
            continue;
        };
        let line = reporter.line_of(Section::Callers, &other);
        let problem = format!("the caller \"{other}\" on line {line} has the same secret");
        reporter.add(Section::Callers, name, "secret", problem);
    }
}

fn index_contracts(rules: &mut Rules, reporter: &mut Reporter<'_>) {
    for (name, rule) in &rules.contracts {
        let model = &rule.contract.model;
        for caller in &rule.contract.callers {
            let Some(caller_rule) = rules.callers.get_mut(caller) else {
                continue;
            };
            let Some(other) = caller_rule.contracts.insert(model.clone(), name.clone()) else {
                continue;
            };
            let line = reporter.line_of(Section::Contracts, &other);
            let problem = format!(
                "\"{caller}\" has the model \"{model}\" from \"{other}\" on line {line} already"
            );
            reporter.add(Section::Contracts, name, "callers", problem);
        }
    }
}

fn check_orgs(rules: &Rules, reporter: &mut Reporter<'_>) {
    for (name, rule) in &rules.contracts {
        let org = &rule.contract.org;
        for caller in &rule.contract.callers {
            let Some(caller_rule) = rules.callers.get(caller) else {
                continue;
            };
            if caller_rule.org == *org {
                continue;
            }
            let other = &caller_rule.org;
            let problem = format!(
                "a contract belongs to one organisation: \"{caller}\" is of \"{other}\", others of \"{org}\""
            );
            reporter.add(Section::Contracts, name, "callers", problem);
        }
    }
}

/// Reports callers whose requests would overflow from model to model in a cycle.
fn check_overflow(rules: &Rules, reporter: &mut Reporter<'_>) {
    let mut reported = BTreeSet::new();
    for (name, rule) in &rules.contracts {
        for caller in &rule.contract.callers {
            let Some(cycle) = overflow_cycle(rules, caller, name) else {
                continue;
            };
            let first = cycle.iter().min().cloned();
            if cycle.first() != first.as_ref() || !reported.insert(name.clone()) {
                continue;
            }
            let path: Vec<_> = cycle.iter().map(ToString::to_string).collect();
            let path = path.join(" to ");
            let problem =
                format!("for \"{caller}\" the models overflow in a circle: {path} and back");
            reporter.add(Section::Contracts, name, "short", problem);
        }
    }
}

/// The models that a caller's request passes until it is back at the first.
fn overflow_cycle(
    rules: &Rules,
    caller: &CallerName,
    start: &ContractName,
) -> Option<Vec<ModelName>> {
    let first = &rules.contracts.get(start)?.contract;
    let mut path = vec![first.model.clone()];
    let mut current = first;
    while let Overflow::Model(next) = &current.overflow {
        if *next == first.model {
            return Some(path);
        }
        if path.contains(next) {
            return None;
        }
        path.push(next.clone());
        current = rules.contract_for(caller, next)?;
    }
    None
}
