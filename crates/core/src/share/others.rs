//! Service that other dispatchers gave to one flow, guarded against jumps.

/// Reports in a row that must be lower before a lower sum is believed.
const LOWER_REPORTS: u32 = 3;

/// Service given elsewhere, as it counts for the order of flows.
///
/// One report changes the counted service by a bounded amount. A sum that falls
/// by more for good, because an account holder lost its memory, becomes the
/// new base. What a rejoining part of the fleet reports beyond the bound is
/// never counted.
#[derive(Debug, Default)]
pub struct Others {
    counted: f64,
    base: Option<f64>,
    lower: u32,
}

impl Others {
    /// Returns the service that counts, in cost units.
    #[must_use]
    pub fn counted(&self) -> f64 {
        self.counted
    }

    /// Takes in a reported sum; it may change the counted service by `most`.
    pub fn report(&mut self, sum: f64, most: f64) {
        let base = *self.base.get_or_insert(self.counted - sum);
        let wanted = sum + base;
        if wanted < self.counted - most {
            self.lower += 1;
            if self.lower >= LOWER_REPORTS {
                self.base = Some(self.counted - sum);
                self.lower = 0;
            }
            return;
        }
        self.lower = 0;
        let next = wanted.min(self.counted + most);
        self.base = Some(base - (wanted - next));
        self.counted = next;
    }
}
