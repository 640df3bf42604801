//! Types for times and for amounts of resources. Times are whole microseconds.

use std::ops::{Add, AddAssign, Sub};

use bitcode::{Decode, Encode};

/// A span of time, or an instant on the process's own monotonic clock, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Micros(pub u64);

impl Micros {
    pub const ZERO: Micros = Micros(0);
    pub const MAX: Micros = Micros(u64::MAX);

    pub const fn from_millis(ms: u64) -> Self {
        Micros(ms * 1_000)
    }

    pub const fn from_secs(s: u64) -> Self {
        Micros(s * 1_000_000)
    }

    /// Converts seconds as the protocols carry them. NaN and negative values become zero; too large ones saturate.
    pub fn from_secs_f64(s: f64) -> Self {
        Micros((s * 1e6).round().max(0.0) as u64)
    }

    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    pub fn mul_f64(self, factor: f64) -> Self {
        Micros((self.0 as f64 * factor).round() as u64)
    }

    /// The time since an earlier instant; zero if `earlier` is later.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, rhs: Micros) -> Micros {
        Micros(self.0.saturating_add(rhs.0))
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, rhs: Micros) {
        *self = *self + rhs;
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, rhs: Micros) -> Micros {
        self.since(rhs)
    }
}

/// Amounts of processors, accelerators and memory (GB), in thousandths so that sums are exact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Resources {
    pub cpu: u64,
    pub gpu: u64,
    pub memory: u64,
}

impl Resources {
    /// What a task requests: rounded up to a thousandth.
    pub fn need(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let up = |x: f64| (x * 1e3 - 1e-6).ceil().max(0.0) as u64;
        Resources { cpu: up(cpus), gpu: up(gpus), memory: up(memory_gb) }
    }

    /// What a machine provides: rounded down to a thousandth.
    pub fn supply(cpus: f64, gpus: f64, memory_gb: f64) -> Self {
        let down = |x: f64| (x * 1e3 + 1e-6).floor().max(0.0) as u64;
        Resources { cpu: down(cpus), gpu: down(gpus), memory: down(memory_gb) }
    }

    /// Whether this request fits in `room`.
    pub fn fits(self, room: Resources) -> bool {
        self.cpu <= room.cpu && self.gpu <= room.gpu && self.memory <= room.memory
    }

    pub fn plus(self, o: Resources) -> Resources {
        self.combine(o, |a, b| a + b)
    }

    /// The difference of each amount, at least zero.
    pub fn minus(self, o: Resources) -> Resources {
        self.combine(o, u64::saturating_sub)
    }

    pub fn times(self, n: u64) -> Resources {
        self.combine(Resources { cpu: n, gpu: n, memory: n }, |a, n| a * n)
    }

    pub fn scaled(self, factor: f64) -> Resources {
        self.combine(self, |a, _| (a as f64 * factor) as u64)
    }

    /// The smaller of each amount.
    pub fn min(self, o: Resources) -> Resources {
        self.combine(o, u64::min)
    }

    /// The larger of each amount.
    pub fn max(self, o: Resources) -> Resources {
        self.combine(o, u64::max)
    }

    fn combine(self, o: Resources, f: impl Fn(u64, u64) -> u64) -> Resources {
        Resources { cpu: f(self.cpu, o.cpu), gpu: f(self.gpu, o.gpu), memory: f(self.memory, o.memory) }
    }

    /// How many times this request fits in `room`; at most 2^20.
    pub fn times_in(self, room: Resources) -> u64 {
        let per = |need: u64, has: u64| has.checked_div(need).unwrap_or(u64::MAX);
        per(self.cpu, room.cpu).min(per(self.gpu, room.gpu)).min(per(self.memory, room.memory)).min(1 << 20)
    }
}
