//! The settings text of the wire, read into the library's settings.

use crate::wire::WireError;
use std::collections::BTreeMap;
use std::str::FromStr;
use waydoor::{Class, DestinationKind, DiscoveryMode, Effect, Settings, SlowStart, Tenant, ValueDecay};

struct Text<'a> {
    record: usize,
    values: BTreeMap<&'a str, &'a str>,
}

impl Text<'_> {
    fn fault(&self, key: &str, expected: impl Into<String>) -> WireError {
        WireError::Settings { record: self.record, key: key.into(), expected: expected.into() }
    }

    fn find<T: FromStr>(&self, key: &str) -> Result<Option<T>, WireError> {
        let Some(text) = self.values.get(key) else { return Ok(None) };
        let what = std::any::type_name::<T>();
        text.parse().map(Some).map_err(|_| self.fault(key, format!("{what} expected, got '{text}'")))
    }

    fn get<T: FromStr>(&self, key: &str) -> Result<T, WireError> {
        self.find(key)?.ok_or_else(|| self.fault(key, "missing"))
    }

    fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>, WireError> {
        let text = self.values.get(key).copied().unwrap_or_default();
        let parts = text.split(',').filter(|part| !part.is_empty());
        let read = |part: &str| part.parse().map_err(|_| self.fault(key, format!("cannot read '{part}'")));
        parts.map(read).collect()
    }

    fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, WireError> {
        let text: String = self.get(key)?;
        let found = choices.iter().find(|(name, _)| *name == text);
        found.map(|(_, value)| *value).ok_or_else(|| {
            let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
            self.fault(key, format!("one of {} expected, got '{text}'", names.join(", ")))
        })
    }

    fn class(&self, i: usize) -> Result<Class, WireError> {
        let at = |name: &str| format!("grades.{i}.{name}");
        #[derive(Clone, Copy)]
        enum Word {
            Safe,
            Keyed,
            Unsafe,
        }
        let words =
            [("read_like", Word::Safe), ("idempotency_key", Word::Keyed), ("non_idempotent", Word::Unsafe)];
        let effect = match self.choice(&at("effect"), &words)? {
            Word::Safe => Effect::Safe,
            Word::Unsafe => Effect::Unsafe,
            Word::Keyed => Effect::Keyed {
                window: self.get(&at("repeat_window"))?,
                by_zone: self.find::<String>(&at("group"))?.is_some_and(|group| group != "all"),
            },
        };
        Ok(Class {
            target_latency: self.get(&at("goal_time"))?,
            deadline: self.get(&at("deadline"))?,
            value: self.get(&at("gain"))?,
            late_value_share: self.get(&at("late_share"))?,
            effect,
            ordered: self.find(&at("serial_by_key"))?.unwrap_or(false),
        })
    }
}

/// Reads the settings of an instance.
pub fn read(record: usize, bytes: &[u8]) -> Result<Settings, WireError> {
    let mut text = Text { record, values: BTreeMap::new() };
    let all = std::str::from_utf8(bytes).map_err(|_| text.fault("(all)", "UTF-8 text expected"))?;
    for line in all.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let (key, value) = line.split_once('=').ok_or_else(|| text.fault(line, "path=value expected"))?;
        text.values.insert(key, value);
    }
    let count: usize = text.get("grades.count")?;
    let classes = (0..count).map(|i| text.class(i)).collect::<Result<_, _>>()?;
    let apart: Vec<bool> = text.list("family_info.kind_apart")?;
    let batch: Vec<usize> = text.list("family_info.kind_batch")?;
    let names: Vec<String> = text.list("kinds")?;
    let kind = |i: usize| DestinationKind {
        independent_endpoints: apart.get(i).copied().unwrap_or(false),
        max_batch: batch.get(i).copied().unwrap_or(1),
    };
    // A site without customers has an empty list or none.
    let tenants: usize = text.find("orgs.count")?.unwrap_or(0);
    let tenant = |i: usize| text.get(&format!("orgs.{i}.quota_per_s")).map(|quota| Tenant { quota });
    let asked = text.choice("discovery", &[("automatic", false), ("subscribe", true)])?;
    Ok(Settings {
        dispatcher_count: text.get("balancers")?,
        max_concurrent_calls: text.get("family_info.call_slots")?,
        max_messages: text.get("limits.open_cap")?,
        max_attempts: text.get("limits.send_cap")?,
        keepalive: text.find("limits.keepalive")?,
        probes: text.find("limits.probes")?.unwrap_or(false),
        cancel: text.find("limits.cancel")?.unwrap_or(false),
        zone: text.find("zone")?.unwrap_or(0),
        classes,
        kinds: (0..names.len()).map(kind).collect(),
        decay: text.choice(
            "family_info.loses_worth",
            &[("even", ValueDecay::Linear), ("by_half", ValueDecay::Exponential)],
        )?,
        discovery_mode: match asked {
            true => DiscoveryMode::Subscription { max_renewal_interval: text.get("safety.must_ask_in")? },
            false => DiscoveryMode::Pushed,
        },
        use_listed_rates: text.find::<String>("weights")?.is_some_and(|word| word != "off"),
        slow_start: SlowStart {
            cold_capacity_share: text.get("safety.cold_share")?,
            warm_up_time: text.get("safety.cold")?,
            overload_multiple: text.get("safety.tip_multiple")?,
            overload_window: text.get("safety.fall")?,
        },
        tenants: (0..tenants).map(tenant).collect::<Result<_, _>>()?,
        over_quota_value: text.find("over_share_worth")?.unwrap_or(1.0),
        order_key_cooldown: text.find("safety.key_rest")?.unwrap_or(0.0),
    })
}
