//! Settings of processes, rendered from the templates in `platform/` as the platform does it.

use serde_json::{Value, json};

const MEMBER_TEMPLATE: &str = include_str!("../../../platform/source.json");
const NODE_TEMPLATE: &str = include_str!("../../../platform/node.json");

/// Ports on the address of each VM.
#[derive(Debug)]
pub(crate) struct PlatformPorts {
    pub(crate) outbound: u16,
    pub(crate) inbound: u16,
    pub(crate) readiness: u16,
    pub(crate) admin: u16,
    pub(crate) app: u16,
    /// First and last port for links between processes.
    internal: (u16, u16),
}

/// Ports of all VMs.
pub(crate) const PLATFORM_PORTS: PlatformPorts = PlatformPorts {
    outbound: 8_141,
    inbound: 8_145,
    readiness: 8_140,
    admin: 8_146,
    app: 8_147,
    internal: (7_660, 7_675),
};

/// Returns the settings of a source member.
pub(crate) fn member(
    name: &str,
    zone: &str,
    host: &str,
    seeds: &[String],
    data: &str,
    is_first_start: bool,
) -> Value {
    let mut values = common_values(name, zone, host, seeds);
    values["data_dir"] = json!(data);
    values["bootstrap"] = json!(is_first_start);
    render(MEMBER_TEMPLATE, &values)
}

/// Returns the settings of a node.
pub(crate) fn node(name: &str, zone: &str, host: &str, seeds: &[String], service: &str) -> Value {
    let mut values = common_values(name, zone, host, seeds);
    values["service"] = json!(service);
    values["app_address"] = json!(format!("{host}:{}", PLATFORM_PORTS.app));
    values["bounds"] = json!({ "grace_s": 6, "budget_ratio": 0.2, "budget_window_s": 10,
        "budget_slack": 60, "warmup_factor": 1.5, "warmup_slack": 5 });
    render(NODE_TEMPLATE, &values)
}

fn common_values(name: &str, zone: &str, host: &str, seeds: &[String]) -> Value {
    let address = |port: u16| format!("{host}:{port}");
    let PlatformPorts { outbound, inbound, readiness, admin, internal: (first, last), .. } =
        PLATFORM_PORTS;
    json!({
        "node_name": name,
        "zone": zone,
        "ip": host,
        "seeds": seeds,
        "internal_port_range": [first, last],
        "listen": {
            "outbound": address(outbound),
            "inbound": address(inbound),
            "readiness": address(readiness),
            "admin": address(admin),
        },
    })
}

/// Replaces the placeholders `{{path}}` and `{{path|json}}` of a template by values.
fn render(template: &str, values: &Value) -> Value {
    let mut text = String::new();
    let mut rest = template;
    while let Some((before, tail)) = rest.split_once("{{") {
        let (name, after) = tail.split_once("}}").expect("a placeholder has an end");
        let path = name.strip_suffix("|json").unwrap_or(name);
        let value = values.pointer(&format!("/{}", path.replace('.', "/")));
        text.push_str(before);
        match value.unwrap_or_else(|| panic!("no value for the placeholder {name}")) {
            Value::String(value) if path == name => text.push_str(value),
            value => text.push_str(&value.to_string()),
        }
        rest = after;
    }
    text.push_str(rest);
    serde_json::from_str(&text).expect("rendered settings are JSON")
}
