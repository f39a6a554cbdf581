//! Parses the settings text of an instance, lines of `path=value`, into the library's [`Settings`].

use crate::wire::WireError;
use std::collections::BTreeMap;
use std::str::FromStr;
use waydoor::{Class, DestinationKind, DiscoveryMode, Effect, Settings, SlowStart, Tenant, ValueDecay};

/// The key-value pairs of a settings text.
struct SettingsText<'a> {
    record: usize,
    values: BTreeMap<&'a str, &'a str>,
}

impl SettingsText<'_> {
    fn error(&self, key: &str, expected: impl Into<String>) -> WireError {
        WireError::Settings { record: self.record, key: key.into(), expected: expected.into() }
    }

    /// The value of a key, if the key is present.
    fn find<T: FromStr>(&self, key: &str) -> Result<Option<T>, WireError> {
        let Some(text) = self.values.get(key) else { return Ok(None) };
        let type_name = std::any::type_name::<T>();
        text.parse().map(Some).map_err(|_| self.error(key, format!("{type_name} expected, got '{text}'")))
    }

    /// The value of a required key.
    fn get<T: FromStr>(&self, key: &str) -> Result<T, WireError> {
        self.find(key)?.ok_or_else(|| self.error(key, "missing"))
    }

    /// The comma-separated values of a key; empty if the key is missing.
    fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>, WireError> {
        let text = self.values.get(key).copied().unwrap_or_default();
        let parts = text.split(',').filter(|part| !part.is_empty());
        let parse = |part: &str| part.parse().map_err(|_| self.error(key, format!("cannot read '{part}'")));
        parts.map(parse).collect()
    }

    /// The value of a required key out of named choices.
    fn choice<T: Copy>(&self, key: &str, choices: &[(&str, T)]) -> Result<T, WireError> {
        let text: String = self.get(key)?;
        let choice = choices.iter().find(|(name, _)| *name == text);
        choice.map(|(_, value)| *value).ok_or_else(|| {
            let names: Vec<_> = choices.iter().map(|(name, _)| *name).collect();
            self.error(key, format!("one of {} expected, got '{text}'", names.join(", ")))
        })
    }

    /// The message class of a number.
    fn class(&self, i: usize) -> Result<Class, WireError> {
        let key = |name: &str| format!("grades.{i}.{name}");
        #[derive(Clone, Copy)]
        enum EffectName {
            Safe,
            Keyed,
            Unsafe,
        }
        let effects = [
            ("read_like", EffectName::Safe),
            ("idempotency_key", EffectName::Keyed),
            ("non_idempotent", EffectName::Unsafe),
        ];
        let effect = match self.choice(&key("effect"), &effects)? {
            EffectName::Safe => Effect::Safe,
            EffectName::Unsafe => Effect::Unsafe,
            EffectName::Keyed => Effect::Keyed {
                window: self.get(&key("repeat_window"))?,
                by_zone: self.find::<String>(&key("group"))?.is_some_and(|group| group != "all"),
            },
        };
        Ok(Class {
            target_latency: self.get(&key("goal_time"))?,
            deadline: self.get(&key("deadline"))?,
            value: self.get(&key("gain"))?,
            late_value_share: self.get(&key("late_share"))?,
            effect,
            ordered: self.find(&key("serial_by_key"))?.unwrap_or(false),
        })
    }
}

/// Parses the settings of an instance; `record` is the number of the record that contains them.
pub fn parse(record: usize, bytes: &[u8]) -> Result<Settings, WireError> {
    let mut text = SettingsText { record, values: BTreeMap::new() };
    let decoded = std::str::from_utf8(bytes).map_err(|_| text.error("(all)", "UTF-8 text expected"))?;
    for line in decoded.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let (key, value) = line.split_once('=').ok_or_else(|| text.error(line, "path=value expected"))?;
        text.values.insert(key, value);
    }
    let class_count: usize = text.get("grades.count")?;
    let classes = (0..class_count).map(|i| text.class(i)).collect::<Result<_, _>>()?;
    let independent: Vec<bool> = text.list("family_info.kind_apart")?;
    let max_batch: Vec<usize> = text.list("family_info.kind_batch")?;
    let kind_names: Vec<String> = text.list("kinds")?;
    let kind = |i: usize| DestinationKind {
        independent_endpoints: independent.get(i).copied().unwrap_or(false),
        max_batch: max_batch.get(i).copied().unwrap_or(1),
    };
    // The count is missing or 0 where there are no tenants.
    let tenant_count: usize = text.find("orgs.count")?.unwrap_or(0);
    let tenant = |i: usize| text.get(&format!("orgs.{i}.quota_per_s")).map(|quota| Tenant { quota });
    let subscribes = text.choice("discovery", &[("automatic", false), ("subscribe", true)])?;
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
        kinds: (0..kind_names.len()).map(kind).collect(),
        decay: text.choice(
            "family_info.loses_worth",
            &[("even", ValueDecay::Linear), ("by_half", ValueDecay::Exponential)],
        )?,
        discovery_mode: match subscribes {
            true => DiscoveryMode::Subscription { max_renewal_interval: text.get("safety.must_ask_in")? },
            false => DiscoveryMode::Pushed,
        },
        use_listed_rates: text.find::<String>("weights")?.is_some_and(|weights| weights != "off"),
        slow_start: SlowStart {
            cold_capacity_share: text.get("safety.cold_share")?,
            warm_up_time: text.get("safety.cold")?,
            overload_multiple: text.get("safety.tip_multiple")?,
            overload_window: text.get("safety.fall")?,
        },
        tenants: (0..tenant_count).map(tenant).collect::<Result<_, _>>()?,
        over_quota_value: text.find("over_share_worth")?.unwrap_or(1.0),
        order_key_cooldown: text.find("safety.key_rest")?.unwrap_or(0.0),
    })
}
