//! Gearman: see `docs/gearman.md`.
