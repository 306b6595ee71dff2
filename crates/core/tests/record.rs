//! Guards against declarations that are parsed wrongly, and against mistakes that are reported one at
//! a time.

use jasminewall_core::{
    Category, ConfigState, Error,
    record::{self, DeclaredSet},
};

fn report(files: &[(&str, &str)]) -> String {
    let mut set = DeclaredSet::default();
    for (file, text) in files {
        set.extend(record::parse_file(file, text));
    }
    let mut errors = set.errors.clone();
    errors.extend(record::check(&set, &ConfigState::default()));
    let lines: Vec<String> = errors.iter().map(Error::to_string).collect();
    lines.join("\n")
}

/// Guards against a report that stops at the first mistake or names the wrong line.
#[test]
fn all_mistakes_are_in_one_report() {
    let one = "schema = 1\n[[customer]]\nname = \"parish\"\nkey_sha256 = [\"abc\"]\nweight = 0\n\n\
        [[budget]]\nname = \"parish-2026\"\ncustomer = \"parrish\"\n\n\
        [[route]]\nname = \"glass-7b\"\nendpoints = [\"engine-1\"]\nclass = \"short\"\n\n[[stop]]\nname = \"s\"\n";
    let two = "schema = 2\n[[endpoint]]\nname = \"engine-1\"\nruns = \"model_engine\"\naddress = \"engine.local\"\n\
        failure_domain = \"a\"\nslot = 4\n[[endpoint]]\nname = \"engine-2\"\nruns = \"engine\"\naddress = \"10.0.0.2:80\"\n\
        failure_domain = \"a\"\n[[customers]]\nname = \"x\"\n[[budget]]\nname = \"parish-2026\"\ncustomer = \"parish\"\n\
        [[stop]]\nname = \"s\"\nfailure_domain = \"a\"\nfrom = 10\nuntil = 5\n";
    insta::assert_snapshot!(report(&[("one.toml", one), ("two.toml", two)]));
}

/// Guards against unknown schema versions and invalid TOML that are accepted.
#[test]
fn unknown_schema_and_syntax_are_refused() {
    insta::assert_snapshot!(report(&[
        ("three.toml", "schema = 3\n"),
        ("none.toml", "[[customer]]\nname = \"x\"\n"),
        ("broken.toml", "schema = 2\n[[customer]\nname = \n"),
    ]));
}

/// Guards against stops that together leave too little capacity.
#[test]
fn stop_must_leave_capacity() {
    let base = "schema = 2\n[[endpoint]]\nname = \"e1\"\nruns = \"model_engine\"\naddress = \"10.0.0.1:80\"\nfailure_domain = \"a\"\n\
        [[endpoint]]\nname = \"e2\"\nruns = \"model_engine\"\naddress = \"10.0.0.2:80\"\nfailure_domain = \"b\"\n\
        [[route]]\nname = \"glass-7b\"\nendpoints = [\"e1\", \"e2\"]\n\
        [[stop]]\nname = \"first\"\nendpoint = \"e1\"\nfrom = 0\nuntil = 10\n";
    assert_eq!(report(&[("a.toml", base)]), "");
    let second =
        "schema = 2\n[[stop]]\nname = \"second\"\nfailure_domain = \"b\"\nfrom = 9\nuntil = 20\n";
    insta::assert_snapshot!(report(&[("a.toml", base), ("b.toml", second)]));
    let later = second.replace("from = 9", "from = 10");
    assert_eq!(report(&[("a.toml", base), ("b.toml", &later)]), "");
}

/// Guards against a field list that differs from the record types, so that valid files are refused.
#[test]
fn every_field_is_known() {
    let text = "schema = 2\n[[customer]]\nname = \"c\"\nkey_sha256 = []\nweight = 2\n\
        [[budget]]\nname = \"b\"\ncustomer = \"c\"\n[[top_up]]\nname = \"t\"\nbudget = \"b\"\namount = 5\n\
        [[endpoint]]\nname = \"e\"\nruns = \"plain_service\"\naddress = \"10.0.0.1:80\"\nfailure_domain = \"a\"\nslots = 2\n\
        honours_fencing = true\nlists_streams = true\nleaving = false\n\
        [[route]]\nname = \"r\"\nendpoints = [\"e\"]\nidempotent = false\nclass = \"short\"\nprice = 2\nmax_output = 9\n\
        time_limit_ms = 9\nanswer_limit_bytes = 9\n\
        [[stop]]\nname = \"s\"\nendpoint = \"e\"\nfrom = 1\nuntil = 2\nremaining_percent = 0\n\
        [[model]]\nname = \"m\"\nversion = \"1\"\nreplicas = 1\n";
    assert_eq!(report(&[("a.toml", text)]), "");
    let records = record::from_str(text).unwrap();
    assert_eq!(records.len(), 7);
    // Each serialized field must be declarable, so that 'apply' accepts what 'get' prints.
    for found in records {
        let serde_json::Value::Object(fields) = serde_json::to_value(&found).unwrap() else {
            panic!("a record is an object");
        };
        let kind = found.kind().as_str();
        for name in fields.keys().filter(|name| *name != "kind") {
            assert!(
                text.contains(&format!("{name} = ")) || fields[name].is_null(),
                "{kind}.{name} is not in the text above"
            );
        }
    }
}

/// Guards against a change of a top-up's amount after it took effect.
#[test]
fn top_up_cannot_change() {
    let text = |amount: u32| {
        format!(
            "schema = 2\n[[customer]]\nname = \"c\"\nkey_sha256 = []\n[[budget]]\nname = \"b\"\ncustomer = \"c\"\n[[top_up]]\nname = \"t\"\nbudget = \"b\"\namount = {amount}\n"
        )
    };
    let changes = record::from_str(&text(5)).unwrap();
    let mut base = ConfigState::default();
    let changes = changes
        .into_iter()
        .map(jasminewall_core::revision::ConfigChange::Put)
        .collect();
    base.apply(&jasminewall_core::ConfigDelta {
        revision: 1,
        schema: 2,
        changes,
    })
    .unwrap();
    let same = record::parse_file("a.toml", &text(5));
    assert_eq!(record::check(&same, &base), []);
    let other = record::parse_file("a.toml", &text(6));
    let errors = record::check(&other, &base);
    assert_eq!(errors[0].category(), Category::Data);
    assert!(
        errors[0]
            .to_string()
            .starts_with("a.toml:9: top_up 't', field 'name'"),
        "{}",
        errors[0]
    );
}
