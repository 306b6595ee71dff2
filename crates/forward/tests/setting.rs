//! Settings: the template of the deployment and reports of mistakes.

use std::time::Duration;

use jasminewall_forward::ForwardSetting;

/// The template with the documented sample values, as the platform fills it in.
///
/// `sections` gives the entries of each repeated section, with their keys; all others are left out.
fn filled_template(sections: &[(&str, &[(&str, &str)])]) -> String {
    let mut text = include_str!("../../../deploy/router.ini").to_owned();
    while let Some(start) = text.find("{{#") {
        let name_end = start + text[start..].find("}}").expect("a section's name");
        let name = text[start + 3..name_end].to_owned();
        let end_mark = format!("{{{{/{name}}}}}");
        let end = text.find(&end_mark).expect("a section's end");
        let body = text[name_end + 2..end].to_owned();
        let entries = sections.iter().find(|(section, _)| *section == name);
        let entries = entries.map_or(&[][..], |(_, entries)| entries);
        let filled = entries
            .iter()
            .map(|(key, value)| body.replace("{{@}}", key).replace("{{.}}", value));
        let filled: String = filled.collect();
        text.replace_range(start..end + end_mark.len(), &filled);
    }
    let values = [
        ("NodeName", "edge-a-1"),
        ("Zone", "a"),
        ("Listen.Front", "10.1.0.40:8227"),
        ("Listen.Readiness", "10.1.0.40:8220"),
        ("Ip", "10.1.0.40"),
        ("InternalPorts.0", "7340"),
        ("Platform.Address", "10.200.1.7:8223"),
        ("Bounds.GraceS", "8"),
        ("Bounds.DrainMs", "4000"),
        ("Bounds.RetryBudgetRatio", "0.2"),
        ("Bounds.RetryWindowS", "10"),
        ("Bounds.RetrySlack", "58"),
        ("Limits.LinkMbps", "10.0"),
        ("Limits.MemoryMb", "88.0"),
    ];
    values.iter().fold(text, |text, (name, value)| {
        text.replace(&format!("{{{{{name}}}}}"), value)
    })
}

/// Guards against times in the wrong unit: a grace period of 8 ms cut off every request during a
/// graceful stop.
#[test]
fn the_deployment_template_gives_the_bounds_in_their_units() {
    let text = filled_template(&[]);
    assert!(
        !text.contains("{{"),
        "a placeholder without a value: {text}"
    );
    let setting: ForwardSetting = text.parse().expect("the template is valid");
    assert_eq!(setting.memory_mb, Some(88));
    assert_eq!(setting.bounds.grace, Duration::from_secs(8));
    assert_eq!(setting.bounds.drain, Duration::from_secs(4));
    assert_eq!(setting.bounds.retry_window, Duration::from_secs(10));
    assert_eq!(
        (setting.bounds.retry_ratio, setting.bounds.retry_slack),
        (0.2, 58.0)
    );
    assert_eq!(setting.peer_listen.to_string(), "10.1.0.40:7340");
    assert_eq!(setting.link_mbps, Some(10.0));
    assert!(setting.regions.is_empty());
    let bounds = setting.bounds;
    assert_eq!((bounds.cold_overrun, bounds.cold_slack), (1.5, 5.0));
    let full = filled_template(&[
        ("Bounds.ColdOverrun", &[("", "1.25")]),
        ("Bounds.ColdSlack", &[("", "4")]),
        ("Zones", &[("a", "west"), ("b", "east")]),
    ]);
    let full: ForwardSetting = full.parse().expect("the template is valid");
    let bounds = full.bounds;
    assert_eq!((bounds.cold_overrun, bounds.cold_slack), (1.25, 4.0));
    assert_eq!((&*full.regions["a"], &*full.regions["b"]), ("west", "east"));
    let stopped = text.replace("link_mbps = 10.0", "link_mbps = 0");
    assert!(stopped.parse::<ForwardSetting>().is_err());
    let halves = text.replace("grace_s = 8", "grace_s = 7.5");
    let setting: ForwardSetting = halves.parse().expect("fractions are valid");
    assert_eq!(setting.bounds.grace, Duration::from_millis(7_500));
}

/// Guards against reports that show one mistake at a time.
#[test]
fn all_mistakes_are_in_one_report() {
    let text = "[router]\nvm = a\nlisen = 1.2.3.4:5\nlisten = here\nreadiness = 1.2.3.4:6\n\
                [store]\naddress = x\n[bounds]\nretry_ratio = -1\ngrace_s = soon\n[log]\nformat = xml\n";
    let report = text
        .parse::<ForwardSetting>()
        .expect_err("the settings are wrong");
    insta::assert_snapshot!(report);
}
