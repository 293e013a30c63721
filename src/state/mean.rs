//! Running means.

/// An exponentially weighted mean over about 1/weight recent values; the arithmetic mean while there are fewer.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Mean {
    pub(crate) value: f64,
    /// Number of values added.
    pub(crate) count: u32,
}

impl Mean {
    /// Adds a value; its weight is at least `weight`, and higher for the first values.
    pub(crate) fn add(&mut self, value: f64, weight: f64) {
        self.count += 1;
        self.value += (value - self.value) * weight.max(1.0 / f64::from(self.count));
    }

    /// The mean, or `default` if no value was added.
    pub(crate) fn value_or(&self, default: f64) -> f64 {
        if self.count > 0 { self.value } else { default }
    }
}
