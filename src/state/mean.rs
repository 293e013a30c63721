//! Running means.

/// A mean over about 1/weight of the latest values; the plain mean until there are so many.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mean {
    pub(crate) value: f64,
    /// Values that it was made of.
    pub(crate) count: u32,
}

impl Mean {
    /// Adds a value, which counts by `weight` once there are enough values.
    pub(crate) fn add(&mut self, value: f64, weight: f64) {
        self.count += 1;
        self.value += (value - self.value) * weight.max(1.0 / f64::from(self.count));
    }

    /// The mean, or `default` while there is no value.
    pub(crate) fn value_or(&self, default: f64) -> f64 {
        if self.count > 0 { self.value } else { default }
    }
}
