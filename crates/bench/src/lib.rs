#![doc = include_str!("../README.md")]

pub mod capacity;
pub mod cpu;
pub mod fit;
pub mod flags;
pub mod memory;
