//! Turns the lines of the file into rules.

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
use crate::field::count;
use crate::field::parsed;
use crate::field::rate;
use crate::field::text;
use crate::field::truth;
use crate::line;
use crate::line::Line;
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

/// Reads a file's text.
pub(crate) fn rules(file: &Path, text: &str) -> Result<Rules, Findings> {
    let mut findings = Findings::default();
    if MAX_RULES_FILE_BYTES < text.len() {
        let len = text.len();
        let what = format!("the file has {len} bytes, at most {MAX_RULES_FILE_BYTES} are read");
        findings.push(SourceLocation::from_offset(file, text, 0), "file", what);
        return findings.into_result(Rules::default());
    }
    let lines = line::lines(file, text, &mut findings);
    let mut reader = Reader {
        declared: lines.iter().map(declaration).collect(),
        rules: Rules::default(),
        places: BTreeMap::new(),
        findings,
    };
    for section in Section::ALL {
        let lines = lines.iter().filter(|line| line.section == section);
        lines.for_each(|line| reader.line(line));
    }
    check::check(&mut reader.rules, &reader.places, &mut reader.findings);
    reader.findings.into_result(reader.rules)
}

/// Where each rule stands.
pub(crate) type Places = BTreeMap<(Section, String), SourceLocation>;

struct Reader {
    declared: BTreeSet<(Section, String)>,
    rules: Rules,
    places: Places,
    findings: Findings,
}

impl Reader {
    fn line(&mut self, line: &Line) {
        self.places.insert(declaration(line), line.place.clone());
        match line.section {
            Section::Orgs => self.org(line),
            Section::Callers => self.caller(line),
            Section::Models => self.model(line),
            Section::Services => self.service(line),
            Section::Contracts => self.contract(line),
        };
    }

    fn org(&mut self, line: &Line) -> Option<()> {
        let mut fields = Fields::of(line, &mut self.findings);
        let name = fields.name();
        let weight = fields.optional("weight", 1, |v| count(v, 1, MAX_WEIGHT));
        fields.finish();
        let org = Org {
            weight: weight?,
            asker: line.asker.clone(),
        };
        self.rules.orgs.insert(name?, org);
        Some(())
    }

    fn caller(&mut self, line: &Line) -> Option<()> {
        let mut fields = Fields::of(line, &mut self.findings);
        let name = fields.name();
        let org = fields.required("org", parsed);
        let secret = fields.required("secret", parsed);
        if let Some(org) = &org {
            known(&self.declared, &mut fields, "org", Section::Orgs, org);
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

    fn model(&mut self, line: &Line) -> Option<()> {
        let mut fields = Fields::of(line, &mut self.findings);
        let name = fields.name();
        let width = fields.required("width", |v| count(v, 1, MAX_WIDTH));
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

    fn service(&mut self, line: &Line) -> Option<()> {
        let mut fields = Fields::of(line, &mut self.findings);
        let name = fields.name();
        let callers = callers(&self.declared, &mut fields);
        let repeat = fields.required("repeat", truth);
        let ask = fields.optional("ask", false, truth);
        let deadline = fields.optional("deadline", DEFAULT_DEADLINE, deadline);
        let retention = fields.optional("retention", DEFAULT_RETENTION, retention);
        if repeat == Some(true) && line.table.contains_key("retention") {
            let what =
                "calls that may be repeated are not remembered: drop it or say repeat = false";
            fields.wrong("retention", what);
        }
        if repeat == Some(true) && ask == Some(true) {
            let what =
                "calls that may be repeated are not asked about: drop it or say repeat = false";
            fields.wrong("ask", what);
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

    fn contract(&mut self, line: &Line) -> Option<()> {
        let mut fields = Fields::of(line, &mut self.findings);
        let name = fields.name();
        let callers = callers(&self.declared, &mut fields);
        let model = fields.required("model", parsed::<ModelName>);
        let first_token = fields.required("first_token", duration);
        let token_rate = fields.required("token_rate", rate);
        let request_rate = fields.required("request_rate", rate);
        let fallback = request_rate.map_or(1, |rate| rate.ceil() as u32);
        let burst = fields.optional("burst", fallback, |v| count(v, 1, MAX_BURST));
        let total = fields.required("total_token_rate", rate);
        let priority = fields.optional("priority", 1, |v| count(v, 0, MAX_PRIORITY));
        let overflow = fields.optional("short", Overflow::Refuse, overflow);
        if let Some(model) = &model {
            known(&self.declared, &mut fields, "model", Section::Models, model);
        }
        if let Some(Overflow::Model(other)) = &overflow {
            known(&self.declared, &mut fields, "short", Section::Models, other);
        }
        if let (Some(one), Some(all)) = (token_rate, total)
            && all < one
        {
            let what = format!(
                "one answer is promised {one} tokens a second, all answers together only {all}"
            );
            fields.wrong("total_token_rate", what);
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
            total_token_rate: TokenRate(total?),
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

fn declaration(line: &Line) -> (Section, String) {
    (line.section, line.name.clone())
}

/// Reports a name that no rule defines.
fn known(
    declared: &BTreeSet<(Section, String)>,
    fields: &mut Fields<'_>,
    key: &'static str,
    section: Section,
    name: &impl ToString,
) {
    let name = name.to_string();
    if declared.contains(&(section, name.clone())) {
        return;
    }
    let noun = section.noun();
    fields.wrong(key, format!("there is no {noun} \"{name}\" in [{section}]"));
}

/// Reads the callers of a contract or service.
fn callers(
    declared: &BTreeSet<(Section, String)>,
    fields: &mut Fields<'_>,
) -> Option<Vec<CallerName>> {
    let named = fields.names::<CallerName>("callers")?;
    if named.is_empty() {
        fields.wrong("callers", "the rule names no caller");
        return None;
    }
    let mut callers = Vec::new();
    for (caller, place) in named {
        if !declared.contains(&(Section::Callers, caller.to_string())) {
            let what = format!("there is no caller \"{caller}\" in [callers]");
            fields.wrong_at(place, "callers", what);
        } else if callers.contains(&caller) {
            fields.wrong_at(place, "callers", format!("\"{caller}\" stands here twice"));
        } else {
            callers.push(caller);
        }
    }
    Some(callers)
}

fn replicas(value: &Value) -> Result<(u32, u32), String> {
    if value.is_integer() {
        return count(value, 0, MAX_REPLICAS).map(|n| (n, n));
    }
    let range = unit::range(text(value)?)?;
    if MAX_REPLICAS < *range.end() {
        return Err(format!("at most {MAX_REPLICAS} replicas can be asked for"));
    }
    Ok((*range.start(), *range.end()))
}

fn duration(value: &Value) -> Result<Duration, String> {
    unit::duration(text(value)?)
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
    let text = text(value)?;
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
