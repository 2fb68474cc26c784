//! Reads the rules from the lines of a file.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use toml_edit::Value;

use crate::Caller;
use crate::ContractRule;
use crate::MAX_RULES_FILE_BYTES;
use crate::Model;
use crate::Org;
use crate::OutcomeQuery;
use crate::Repeat;
use crate::Rules;
use crate::Service;
use crate::check;
use crate::field::Fields;
use crate::field::boolean;
use crate::field::integer_between;
use crate::field::parsed;
use crate::field::rate;
use crate::field::string;
use crate::line;
use crate::line::RuleLine;
use crate::section::Section;
use crate::unit;
use base::CallerName;
use base::Contract;
use base::Findings;
use base::ModelName;
use base::Overflow;
use base::Priority;
use base::RequestRate;
use base::SourceLocation;
use base::TokenRate;

const MAX_WEIGHT: u32 = 1_000;
const MAX_WIDTH: u32 = 64;
const MAX_REPLICAS: u32 = 100_000;
const MAX_BURST: u32 = 1_000_000;
const MAX_PRIORITY: u32 = 255;
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
const MAX_DEADLINE: Duration = Duration::from_secs(600);
const DEFAULT_RETENTION: Duration = Duration::from_secs(7 * 86_400);
const MIN_RETENTION: Duration = Duration::from_secs(3_600);

/// Reads and checks the rules in a file's text.
pub(crate) fn read_rules(file: &Path, text: &str) -> Result<Rules, Findings> {
    let mut findings = Findings::default();
    if MAX_RULES_FILE_BYTES < text.len() {
        let len = text.len();
        let problem = format!("the file has {len} bytes, at most {MAX_RULES_FILE_BYTES} are read");
        findings.push(SourceLocation::from_offset(file, text, 0), "file", problem);
        return findings.into_result(Rules::default());
    }
    let lines = line::parse_lines(file, text, &mut findings);
    let mut reader = Reader {
        defined: lines.iter().map(rule_id).collect(),
        rules: Rules::default(),
        locations: BTreeMap::new(),
        findings,
    };
    for section in Section::ALL {
        let lines = lines.iter().filter(|line| line.section == section);
        lines.for_each(|line| reader.read_line(line));
    }
    check::check(&mut reader.rules, &reader.locations, &mut reader.findings);
    reader.findings.into_result(reader.rules)
}

/// The location of each rule in the file.
pub(crate) type Locations = BTreeMap<(Section, String), SourceLocation>;

struct Reader {
    /// All rules that the file defines, also those with invalid fields.
    defined: BTreeSet<(Section, String)>,
    rules: Rules,
    locations: Locations,
    findings: Findings,
}

impl Reader {
    fn read_line(&mut self, line: &RuleLine) {
        self.locations.insert(rule_id(line), line.location.clone());
        match line.section {
            Section::Orgs => self.read_org(line),
            Section::Callers => self.read_caller(line),
            Section::Models => self.read_model(line),
            Section::Services => self.read_service(line),
            Section::Contracts => self.read_contract(line),
        };
    }

    fn read_org(&mut self, line: &RuleLine) -> Option<()> {
        let mut fields = Fields::new(line, &mut self.findings);
        let name = fields.name();
        let weight = fields.optional("weight", 1, |v| integer_between(v, 1, MAX_WEIGHT));
        fields.finish();
        let org = Org {
            weight: weight?,
            asker: line.asker.clone(),
        };
        self.rules.orgs.insert(name?, org);
        Some(())
    }

    fn read_caller(&mut self, line: &RuleLine) -> Option<()> {
        let mut fields = Fields::new(line, &mut self.findings);
        let name = fields.name();
        let org = fields.required("org", parsed);
        let secret = fields.required("secret", parsed);
        if let Some(org) = &org {
            check_defined(&self.defined, &mut fields, "org", Section::Orgs, org);
        }
        fields.finish();
        let caller = Caller {
            org: org?,
            secret: secret?,
            asker: line.asker.clone(),
            contracts: BTreeMap::new(),
        };
        self.rules.callers.insert(name?, caller);
        Some(())
    }

    fn read_model(&mut self, line: &RuleLine) -> Option<()> {
        let mut fields = Fields::new(line, &mut self.findings);
        let name = fields.name();
        let width = fields.required("width", |v| integer_between(v, 1, MAX_WIDTH));
        let replicas = fields.required("replicas", replicas);
        fields.finish();
        let (min_replicas, max_replicas) = replicas?;
        let model = Model {
            width: width?,
            min_replicas,
            max_replicas,
            asker: line.asker.clone(),
        };
        self.rules.models.insert(name?, model);
        Some(())
    }

    fn read_service(&mut self, line: &RuleLine) -> Option<()> {
        let mut fields = Fields::new(line, &mut self.findings);
        let name = fields.name();
        let callers = callers(&self.defined, &mut fields);
        let repeat = fields.required("repeat", boolean);
        let ask = fields.optional("ask", false, boolean);
        let deadline = fields.optional("deadline", DEFAULT_DEADLINE, deadline);
        let retention = fields.optional("retention", DEFAULT_RETENTION, retention);
        if repeat == Some(true) {
            check_repeated_calls(line, &mut fields, ask);
        }
        fields.finish();
        let service = Service {
            callers: callers?.into_iter().collect(),
            repeat: if repeat? {
                Repeat::Allowed
            } else {
                Repeat::Never
            },
            ask: if ask? {
                OutcomeQuery::Allowed
            } else {
                OutcomeQuery::Never
            },
            deadline: deadline?,
            retention: retention?,
            asker: line.asker.clone(),
        };
        self.rules.services.insert(name?, service);
        Some(())
    }

    fn read_contract(&mut self, line: &RuleLine) -> Option<()> {
        let mut fields = Fields::new(line, &mut self.findings);
        let name = fields.name();
        let callers = callers(&self.defined, &mut fields);
        let model = fields.required("model", parsed::<ModelName>);
        let first_token = fields.required("first_token", duration);
        let token_rate = fields.required("token_rate", rate);
        let request_rate = fields.required("request_rate", rate);
        let default_burst = request_rate.map_or(1, |rate| rate.ceil() as u32);
        let burst = fields.optional("burst", default_burst, |v| integer_between(v, 1, MAX_BURST));
        let total_token_rate = fields.required("total_token_rate", rate);
        let priority = fields.optional("priority", 1, |v| integer_between(v, 0, MAX_PRIORITY));
        let overflow = fields.optional("short", Overflow::Refuse, overflow);
        if let Some(model) = &model {
            check_defined(&self.defined, &mut fields, "model", Section::Models, model);
        }
        if let Some(Overflow::Model(other)) = &overflow {
            check_defined(&self.defined, &mut fields, "short", Section::Models, other);
        }
        if let (Some(one), Some(all)) = (token_rate, total_token_rate) {
            check_token_rates(&mut fields, one, all);
        }
        fields.finish();
        let callers = callers?;
        let caller = callers.first().and_then(|c| self.rules.callers.get(c))?;
        let org = self.rules.orgs.get(&caller.org)?;
        let name: base::ContractName = name?;
        let contract = Contract {
            name: name.clone(),
            org: caller.org.clone(),
            weight: org.weight,
            callers,
            model: model?,
            first_token: first_token?,
            token_rate: TokenRate(token_rate?),
            request_rate: RequestRate(request_rate?),
            burst: burst?,
            total_token_rate: TokenRate(total_token_rate?),
            overflow: overflow?,
            priority: Priority(priority? as u8),
        };
        let asker = line.asker.clone();
        self.rules
            .contracts
            .insert(name, ContractRule { contract, asker });
        Some(())
    }
}

fn rule_id(line: &RuleLine) -> (Section, String) {
    (line.section, line.name.clone())
}

/// Reports a field that names something that no rule defines.
fn check_defined(
    defined: &BTreeSet<(Section, String)>,
    fields: &mut Fields<'_>,
    key: &'static str,
    section: Section,
    name: &impl ToString,
) {
    let name = name.to_string();
    if defined.contains(&(section, name.clone())) {
        return;
    }
    let noun = section.noun();
    fields.add_finding(key, format!("there is no {noun} \"{name}\" in [{section}]"));
}

/// Reports fields that mean nothing for a service whose calls may be repeated.
fn check_repeated_calls(line: &RuleLine, fields: &mut Fields<'_>, ask: Option<bool>) {
    if line.table.contains_key("retention") {
        let problem =
            "calls that may be repeated are not remembered: drop it or say repeat = false";
        fields.add_finding("retention", problem);
    }
    if ask == Some(true) {
        let problem =
            "calls that may be repeated are not asked about: drop it or say repeat = false";
        fields.add_finding("ask", problem);
    }
}

/// Reports a contract that promises one answer more than all answers together.
fn check_token_rates(fields: &mut Fields<'_>, one: f64, all: f64) {
    if all < one {
        let problem = format!(
            "one answer is promised {one} tokens a second, all answers together only {all}"
        );
        fields.add_finding("total_token_rate", problem);
    }
}

fn callers(
    defined: &BTreeSet<(Section, String)>,
    fields: &mut Fields<'_>,
) -> Option<Vec<CallerName>> {
    let located_names = fields.names::<CallerName>("callers")?;
    if located_names.is_empty() {
        fields.add_finding("callers", "the rule names no caller");
        return None;
    }
    let mut callers = Vec::new();
    for (caller, location) in located_names {
        if !defined.contains(&(Section::Callers, caller.to_string())) {
            let problem = format!("there is no caller \"{caller}\" in [callers]");
            fields.add_finding_at(location, "callers", problem);
        } else if callers.contains(&caller) {
            fields.add_finding_at(
                location,
                "callers",
                format!("\"{caller}\" stands here twice"),
            );
        } else {
            callers.push(caller);
        }
    }
    Some(callers)
}

fn replicas(value: &Value) -> Result<(u32, u32), String> {
    if value.is_integer() {
        return integer_between(value, 0, MAX_REPLICAS).map(|n| (n, n));
    }
    let range = unit::range(string(value)?)?;
    if MAX_REPLICAS < *range.end() {
        return Err(format!("at most {MAX_REPLICAS} replicas can be asked for"));
    }
    Ok((*range.start(), *range.end()))
}

fn duration(value: &Value) -> Result<Duration, String> {
    unit::duration(string(value)?)
}

fn deadline(value: &Value) -> Result<Duration, String> {
    let deadline = duration(value)?;
    if MAX_DEADLINE < deadline {
        return Err("a call ends within 10 minutes at most".to_owned());
    }
    Ok(deadline)
}

fn retention(value: &Value) -> Result<Duration, String> {
    let retention = duration(value)?;
    if retention < MIN_RETENTION {
        return Err("outcomes are remembered for an hour at least".to_owned());
    }
    Ok(retention)
}

fn overflow(value: &Value) -> Result<Overflow, String> {
    let text = string(value)?;
    if text == "refuse" {
        return Ok(Overflow::Refuse);
    }
    match text.split_once(' ') {
        Some(("wait", span)) => unit::duration(span.trim()).map(Overflow::Wait),
        Some(("model", name)) => {
            let name = name.trim().parse::<ModelName>();
            name.map(Overflow::Model).map_err(|e| e.to_string())
        }
        _ => Err(format!(
            "\"{text}\" is not \"refuse\", \"wait 2s\" or \"model small-chat\""
        )),
    }
}
