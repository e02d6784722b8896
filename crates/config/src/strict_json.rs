//! JSON in which no object names a field twice.
//!
//! The last of two fields with the same name would silently replace the first one.

use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use smol_str::SmolStr;

/// A JSON value.
#[derive(Debug)]
pub(crate) struct StrictValue(pub(crate) Value);

impl<'de> Deserialize<'de> for StrictValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor).map(Self)
    }
}

/// Deserializes a JSON object with values of one type.
pub(crate) fn strict_map<'de, D, T>(deserializer: D) -> Result<BTreeMap<SmolStr, T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_map(MapVisitor(PhantomData))
}

/// Deserializes a JSON object.
pub(crate) fn strict_object<'de, D>(deserializer: D) -> Result<Map<String, Value>, D::Error>
where
    D: Deserializer<'de>,
{
    let fields = strict_map::<D, StrictValue>(deserializer)?;
    Ok(fields.into_iter().map(|(name, value)| (name.to_string(), value.0)).collect())
}

fn named_twice<E: Error>(name: &str) -> E {
    E::custom(format_args!("the field {name:?} appears twice; remove one of them"))
}

struct MapVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for MapVisitor<T> {
    type Value = BTreeMap<SmolStr, T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Self::Value, A::Error> {
        let mut fields = BTreeMap::new();
        while let Some((name, value)) = access.next_entry::<SmolStr, T>()? {
            if fields.contains_key(&name) {
                return Err(named_twice(&name));
            }
            fields.insert(name, value);
        }
        Ok(fields)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value.into()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        let number = Number::from_f64(value);
        number.map(Value::Number).ok_or_else(|| E::custom("the number is out of range"))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(StrictValue(item)) = access.next_element()? {
            items.push(item);
        }
        Ok(Value::Array(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut fields = Map::new();
        while let Some((name, StrictValue(value))) = access.next_entry::<String, _>()? {
            if fields.contains_key(&name) {
                return Err(named_twice(&name));
            }
            fields.insert(name, value);
        }
        Ok(Value::Object(fields))
    }
}
