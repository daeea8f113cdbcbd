//! Shape of a fleet file, for faults that name the expected type.

/// Largest value of a 32-bit field.
const U32: u64 = u32::MAX as u64;

/// What a value may be.
pub(super) enum Shape {
    /// Text.
    Text,
    /// `true` or `false`.
    Flag,
    /// A whole number from 0 to a largest one.
    Count(u64),
    /// An object with known fields.
    Object(&'static [Field]),
    /// A list of objects with known fields.
    List(&'static [Field]),
}

/// A known field.
pub(super) struct Field {
    pub(super) name: &'static str,
    pub(super) shape: Shape,
}

impl Shape {
    /// Returns the words for what was expected.
    pub(super) fn expected(&self) -> String {
        match self {
            Self::Text => "text".to_owned(),
            Self::Flag => "true or false".to_owned(),
            Self::Count(most) => format!("a whole number from 0 to {most}"),
            Self::Object(_) => "an object".to_owned(),
            Self::List(_) => "a list of objects".to_owned(),
        }
    }
}

const fn field(name: &'static str, shape: Shape) -> Field {
    Field { name, shape }
}

/// Fields of a fleet file.
pub(super) const FLEET: &[Field] = &[
    field("rules", Shape::Object(RULES)),
    field("inventory", Shape::List(VM)),
    field("upstreams", Shape::List(UPSTREAM)),
];

const RULES: &[Field] = &[
    field("zones", Shape::List(ZONE)),
    field("pools", Shape::List(POOL)),
    field("services", Shape::List(SERVICE)),
    field("teams", Shape::List(TEAM)),
    field("maintenance_days", Shape::Count(U32)),
];

const ZONE: &[Field] = &[field("name", Shape::Text), field("region", Shape::Text)];

const POOL: &[Field] = &[
    field("name", Shape::Text),
    field("spare", Shape::Flag),
    field("max_unavailable", Shape::Count(U32)),
    field("promised", Shape::Count(U32)),
    field("budgets", Shape::List(BUDGET)),
];

const BUDGET: &[Field] = &[
    field("region", Shape::Text),
    field("max_unavailable", Shape::Count(U32)),
    field("promised", Shape::Count(U32)),
];

const SERVICE: &[Field] = &[
    field("name", Shape::Text),
    field("pool", Shape::Text),
    field("priority", Shape::Count(U32)),
    field("health_path", Shape::Text),
    field("queue_limit", Shape::Count(U32)),
];

const TEAM: &[Field] = &[
    field("name", Shape::Text),
    field("cores", Shape::Count(U32)),
    field("memory_mb", Shape::Count(u64::MAX)),
    field("accelerators", Shape::Count(U32)),
];

const VM: &[Field] = &[
    field("name", Shape::Text),
    field("pool", Shape::Text),
    field("zone", Shape::Text),
    field("rack", Shape::Text),
    field("cores", Shape::Count(U32)),
    field("memory_mb", Shape::Count(u64::MAX)),
    field("accelerators", Shape::Count(U32)),
];

const UPSTREAM: &[Field] = &[
    field("name", Shape::Text),
    field("service", Shape::Text),
    field("vm", Shape::Text),
    field("address", Shape::Text),
    field("slots", Shape::Count(U32)),
    field("connections", Shape::Count(U32)),
];
