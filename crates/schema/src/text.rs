//! Serde forms of enumerations: fields hold a number in memory and a name in JSON.

/// Defines a module for `#[serde(with = ...)]` on fields of one enumeration.
macro_rules! named {
    ($module:ident, $kind:ty) => {
        pub(crate) mod $module {
            use serde::Deserialize;
            use serde::Deserializer;
            use serde::Serializer;
            use serde::de::Error;

            pub(crate) fn serialize<S: Serializer>(value: &i32, out: S) -> Result<S::Ok, S::Error> {
                let kind = <$kind>::try_from(*value).unwrap_or_default();
                out.serialize_str(kind.as_str_name())
            }

            pub(crate) fn deserialize<'a, D: Deserializer<'a>>(input: D) -> Result<i32, D::Error> {
                let name = String::deserialize(input)?;
                let kind = <$kind>::from_str_name(&name);
                kind.map(i32::from)
                    .ok_or_else(|| D::Error::custom(format!("unknown name {name:?}")))
            }
        }
    };
}

named!(audit_kind, crate::audit::Kind);
named!(job_state, crate::jobs::State);
named!(phase, crate::ledger::Phase);
named!(wave_state, crate::ledger::WaveState);
