//! The settings text of the wire, read into the library's settings.

use crate::wire::WireError;
use std::collections::BTreeMap;
use std::str::FromStr;
use waydoor::{Class, Decay, Effect, Kind, Listing, ReturnRule, Settings, Tenant};

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
            aim: self.get(&at("goal_time"))?,
            deadline: self.get(&at("deadline"))?,
            worth: self.get(&at("gain"))?,
            late_share: self.get(&at("late_share"))?,
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
    let kind = |i: usize| Kind {
        routes_apart: apart.get(i).copied().unwrap_or(false),
        batch: batch.get(i).copied().unwrap_or(1),
    };
    // A site without customers has an empty list or none.
    let tenants: usize = text.find("orgs.count")?.unwrap_or(0);
    let tenant = |i: usize| text.get(&format!("orgs.{i}.quota_per_s")).map(|quota| Tenant { quota });
    let asked = text.choice("discovery", &[("automatic", false), ("subscribe", true)])?;
    Ok(Settings {
        dispatchers: text.get("balancers")?,
        slots: text.get("family_info.call_slots")?,
        room: text.get("limits.open_cap")?,
        attempts: text.get("limits.send_cap")?,
        keepalive: text.find("limits.keepalive")?,
        probes: text.find("limits.probes")?.unwrap_or(false),
        cancel: text.find("limits.cancel")?.unwrap_or(false),
        zone: text.find("zone")?.unwrap_or(0),
        classes,
        kinds: (0..names.len()).map(kind).collect(),
        decay: text
            .choice("family_info.loses_worth", &[("even", Decay::Even), ("by_half", Decay::ByHalf)])?,
        listing: match asked {
            true => Listing::OnRequest { ask_within: text.get("safety.must_ask_in")? },
            false => Listing::Pushed,
        },
        rates_listed: text.find::<String>("weights")?.is_some_and(|word| word != "off"),
        returning: ReturnRule {
            cold_share: text.get("safety.cold_share")?,
            cold_time: text.get("safety.cold")?,
            multiple: text.get("safety.tip_multiple")?,
            window: text.get("safety.fall")?,
        },
        tenants: (0..tenants).map(tenant).collect::<Result<_, _>>()?,
        over_share_worth: text.find("over_share_worth")?.unwrap_or(1.0),
        key_rest: text.find("safety.key_rest")?.unwrap_or(0.0),
    })
}
