#![doc = include_str!("../README.md")]

pub mod adoption;
pub mod member;
pub mod spread;
