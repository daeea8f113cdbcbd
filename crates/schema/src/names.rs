//! Serde representation of enum fields: a number in memory, the name of the value in JSON.
//!
//! A number without a name is written as the default value; an unknown name is an error.

/// Defines a module for `#[serde(with = ...)]` on fields of the enum `$kind`.
macro_rules! serde_by_name {
    ($module:ident, $kind:ty) => {
        pub(crate) mod $module {
            use serde::Deserialize;
            use serde::Deserializer;
            use serde::Serializer;
            use serde::de::Error;

            pub(crate) fn serialize<S: Serializer>(
                value: &i32,
                serializer: S,
            ) -> Result<S::Ok, S::Error> {
                let kind = <$kind>::try_from(*value).unwrap_or_default();
                serializer.serialize_str(kind.as_str_name())
            }

            pub(crate) fn deserialize<'a, D: Deserializer<'a>>(
                deserializer: D,
            ) -> Result<i32, D::Error> {
                let name = String::deserialize(deserializer)?;
                let kind = <$kind>::from_str_name(&name);
                kind.map(i32::from)
                    .ok_or_else(|| D::Error::custom(format!("unknown name {name:?}")))
            }
        }
    };
}

serde_by_name!(audit_kind, crate::audit::Kind);
serde_by_name!(job_state, crate::jobs::State);
serde_by_name!(phase, crate::ledger::Phase);
serde_by_name!(wave_state, crate::ledger::WaveState);
