//! Measurements; each prints wigeonhinge, its baselines and its bound side by side.
