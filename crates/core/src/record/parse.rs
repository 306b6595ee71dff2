//! Parses declaration files record by record, so that one report contains all mistakes with their
//! lines.

use std::collections::BTreeMap;

use {
    serde::de::DeserializeOwned,
    smol_str::{SmolStr, format_smolstr},
    toml::{
        Spanned,
        de::{DeTable, DeValue, ValueDeserializer},
    },
};

use super::{ConfigRecord, RecordKind, SCHEMA_NEWEST, SCHEMA_OLDEST};
use crate::{Category, Error};

/// Schema version that added the kinds `stop` and `model` and the field `class` of a route.
const SCHEMA_SECOND: u32 = 2;

/// Record with the location of its declaration.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredRecord {
    /// Declared record.
    pub record: ConfigRecord,
    /// Schema version of its file.
    pub schema: u32,
    location: RecordLocation,
}

#[derive(Clone, Debug, PartialEq)]
struct RecordLocation {
    file: SmolStr,
    line: usize,
    /// Line of each field.
    field_lines: BTreeMap<SmolStr, usize>,
}

impl DeclaredRecord {
    /// Creates a record from the command line instead of a file.
    pub fn from_command_line(record: ConfigRecord) -> Self {
        Self {
            // The oldest schema version with the kind, so that older routers can read the revision.
            schema: min_schema(record.kind(), ""),
            record,
            location: RecordLocation {
                file: "command line".into(),
                line: 0,
                field_lines: BTreeMap::new(),
            },
        }
    }

    /// Describes the file, line, record and field, for error messages.
    pub fn describe_location(&self, field: Option<&str>) -> SmolStr {
        let line = field.and_then(|field| self.location.field_lines.get(field));
        let line = line.copied().unwrap_or(self.location.line);
        let kind = self.record.kind().as_str();
        let name = self.record.name();
        let mut text = self.location.file.to_string();
        if line > 0 {
            text.push_str(&format!(":{line}"));
        }
        text.push_str(&format!(": {kind} '{name}'"));
        if let Some(field) = field {
            text.push_str(&format!(", field '{field}'"));
        }
        text.into()
    }
}

/// Records and mistakes of declaration files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeclaredSet {
    /// Successfully parsed records.
    pub records: Vec<DeclaredRecord>,
    /// Mistakes, in the order of the files.
    pub errors: Vec<Error>,
    /// Kinds and names of records that failed to parse; references to them are not reported as unknown.
    pub unparsed: Vec<(RecordKind, SmolStr)>,
}

impl DeclaredSet {
    /// Adds the records and mistakes of another file.
    pub fn extend(&mut self, other: Self) {
        self.records.extend(other.records);
        self.errors.extend(other.errors);
        self.unparsed.extend(other.unparsed);
    }

    /// Records without their locations.
    pub fn into_records(self) -> Vec<ConfigRecord> {
        let records = self.records.into_iter();
        records.map(|declared| declared.record).collect()
    }
}

/// Parses a declaration file and collects all its mistakes.
pub fn parse_file(file: &str, text: &str) -> DeclaredSet {
    let mut parser = FileParser {
        file,
        text,
        schema: SCHEMA_NEWEST,
        set: DeclaredSet::default(),
    };
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in &errors {
        let line = error.span().map_or(1, |span| parser.line_of(span.start));
        let message = error.message().replace('\n', "; ");
        parser.add_error(Category::Syntax, line, &message);
    }
    if errors.is_empty() && parser.parse_schema(table.get_ref()) {
        parser.parse_sections(table.into_inner());
    }
    parser.set
}

struct FileParser<'a> {
    file: &'a str,
    text: &'a str,
    schema: u32,
    set: DeclaredSet,
}

impl FileParser<'_> {
    fn line_of(&self, offset: usize) -> usize {
        let before = self.text.get(..offset).unwrap_or(self.text);
        1 + before.matches('\n').count()
    }

    fn add_error(&mut self, category: Category, line: usize, message: &str) {
        let location = format_smolstr!("{}:{line}", self.file);
        self.set
            .errors
            .push(Error::new(category, message).at(location));
    }

    /// Parses the schema version; returns `false` if it is missing or unsupported.
    fn parse_schema(&mut self, table: &DeTable<'_>) -> bool {
        let Some(value) = table.get("schema") else {
            let message = format!("the schema is missing; begin with 'schema = {SCHEMA_NEWEST}'");
            self.add_error(Category::Schema, 1, &message);
            return false;
        };
        let line = self.line_of(value.span().start);
        let number = value.get_ref().as_integer();
        let number = number.and_then(|number| number.as_str().parse().ok());
        match number {
            Some(schema) if (SCHEMA_OLDEST..=SCHEMA_NEWEST).contains(&schema) => {
                self.schema = schema;
                true
            }
            _ => {
                let found = &self.text[value.span()];
                let message = format!(
                    "schema version {found} is not known; write 'schema = {SCHEMA_NEWEST}' or update jasminectl"
                );
                self.add_error(Category::Schema, line, &message);
                false
            }
        }
    }

    fn parse_sections(&mut self, table: DeTable<'_>) {
        for (key, value) in table {
            let line = self.line_of(key.span().start);
            let name = key.get_ref().as_ref();
            if name == "schema" {
                continue;
            }
            let Some(kind) = RecordKind::from_name(name) else {
                let names = RecordKind::ALL.iter().map(|kind| kind.as_str());
                let message = format!("unknown kind '{name}'; {}", suggest_name(name, names));
                self.add_error(Category::Schema, line, &message);
                continue;
            };
            if self.schema < min_schema(kind, "") {
                let message = format!("kind '{name}' needs 'schema = {}'", min_schema(kind, ""));
                self.add_error(Category::Schema, line, &message);
                continue;
            }
            let DeValue::Array(entries) = value.into_inner() else {
                let message = format!("write each {name} as a [[{name}]] section");
                self.add_error(Category::Syntax, line, &message);
                continue;
            };
            for entry in entries {
                self.add_record(kind, entry);
            }
        }
    }

    fn add_record(&mut self, kind: RecordKind, mut entry: Spanned<DeValue<'_>>) {
        let span = entry.span();
        let line = self.line_of(span.start);
        let name = entry.get_ref().get("name");
        let name = name.and_then(|name| Some(SmolStr::new(name.get_ref().as_str()?)));
        let label = match &name {
            Some(name) => format!("{} '{name}'", kind.as_str()),
            None => kind.as_str().to_owned(),
        };
        let DeValue::Table(table) = entry.get_mut() else {
            let message = format!("write each {0} as a [[{0}]] section", kind.as_str());
            self.add_error(Category::Syntax, line, &message);
            return;
        };
        let field_lines = self.drop_unknown_fields(kind, &label, table);
        match parse_record(kind, entry) {
            Err(error) => {
                let found = error.span().filter(|found| *found != span);
                let line = found.map_or(line, |found| self.line_of(found.start));
                let message = format!("{label}: {}", error.message().trim());
                self.add_error(Category::Data, line, &message);
                self.set.unparsed.extend(name.map(|name| (kind, name)));
            }
            Ok(record) => self.set.records.push(DeclaredRecord {
                record,
                schema: self.schema,
                location: RecordLocation {
                    file: self.file.into(),
                    line,
                    field_lines,
                },
            }),
        }
    }

    /// Reports unknown fields and removes them, so that the rest of the record is checked as well.
    /// Returns the line of each field.
    fn drop_unknown_fields(
        &mut self,
        kind: RecordKind,
        label: &str,
        table: &mut DeTable<'_>,
    ) -> BTreeMap<SmolStr, usize> {
        let known = fields_of(kind);
        let mut lines = BTreeMap::new();
        let mut unknown = Vec::new();
        for (key, _) in table.iter() {
            let name = SmolStr::new(key.get_ref());
            let line = self.line_of(key.span().start);
            if !known.contains(&name.as_str()) {
                let hint = suggest_name(&name, known.iter().copied());
                let message = format!("{label}: unknown field '{name}'; {hint}");
                self.add_error(Category::Schema, line, &message);
                unknown.push(key.clone());
            } else if self.schema < min_schema(kind, &name) {
                let needed = min_schema(kind, &name);
                let message = format!("{label}: field '{name}' needs 'schema = {needed}'");
                self.add_error(Category::Schema, line, &message);
            }
            lines.insert(name, line);
        }
        for key in unknown {
            table.remove(&key);
        }
        lines
    }
}

/// Suggests the closest known name, or lists all known names if none is close.
pub(crate) fn suggest_name<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let known: Vec<&str> = known.collect();
    let distance = |other: &&&str| strsim::damerau_levenshtein(name, other);
    match known.iter().min_by_key(distance) {
        Some(closest) if distance(&closest) <= 1 + name.len() / 3 => {
            format!("did you mean '{closest}'?")
        }
        _ => format!("use one of: {}", known.join(", ")),
    }
}

fn parse_record(
    kind: RecordKind,
    entry: Spanned<DeValue<'_>>,
) -> Result<ConfigRecord, toml::de::Error> {
    fn deserialize<T: DeserializeOwned>(entry: Spanned<DeValue<'_>>) -> Result<T, toml::de::Error> {
        T::deserialize(ValueDeserializer::from(entry))
    }
    Ok(match kind {
        RecordKind::Customer => ConfigRecord::Customer(deserialize(entry)?),
        RecordKind::Budget => ConfigRecord::Budget(deserialize(entry)?),
        RecordKind::TopUp => ConfigRecord::TopUp(deserialize(entry)?),
        RecordKind::Endpoint => ConfigRecord::Endpoint(deserialize(entry)?),
        RecordKind::Route => ConfigRecord::Route(deserialize(entry)?),
        RecordKind::Stop => ConfigRecord::Stop(deserialize(entry)?),
        RecordKind::Model => ConfigRecord::Model(deserialize(entry)?),
    })
}

/// Schema version that added a field of a kind, or the kind itself if `field` is empty.
fn min_schema(kind: RecordKind, field: &str) -> u32 {
    match (kind, field) {
        (RecordKind::Stop | RecordKind::Model, _) | (RecordKind::Route, "class") => SCHEMA_SECOND,
        _ => SCHEMA_OLDEST,
    }
}

/// Fields of a kind; a test compares them with the record types.
fn fields_of(kind: RecordKind) -> &'static [&'static str] {
    match kind {
        RecordKind::Customer => &["name", "key_sha256", "weight"],
        RecordKind::Budget => &["name", "customer"],
        RecordKind::TopUp => &["name", "budget", "amount"],
        RecordKind::Endpoint => &[
            "name",
            "runs",
            "address",
            "failure_domain",
            "slots",
            "honours_fencing",
            "lists_streams",
            "leaving",
        ],
        RecordKind::Route => &[
            "name",
            "endpoints",
            "idempotent",
            "class",
            "price",
            "max_output",
            "time_limit_ms",
            "answer_limit_bytes",
        ],
        RecordKind::Stop => &[
            "name",
            "endpoint",
            "failure_domain",
            "from",
            "until",
            "remaining_percent",
        ],
        RecordKind::Model => &["name", "version", "replicas"],
    }
}
