//! Interning of ids that many upstreams share, such as racks and services.

use std::sync::Arc;

use hinge_wire::FastMap;

/// Maps ids to small integers with reference counts. The number of an unreferenced id is reused.
#[derive(Debug, Default)]
pub(crate) struct Interner {
    free: Vec<usize>,
    ids: Vec<(Arc<str>, u32)>,
    numbers: FastMap<Arc<str>, usize>,
}

impl Interner {
    pub(crate) fn get(&self, id: &str) -> Option<usize> {
        self.numbers.get(id).copied()
    }

    pub(crate) fn id(&self, number: usize) -> Arc<str> {
        self.ids[number].0.clone()
    }

    /// Returns the number of the id and adds a reference to it.
    pub(crate) fn acquire(&mut self, id: &str) -> usize {
        if let Some(number) = self.get(id) {
            self.ids[number].1 += 1;
            return number;
        }
        let id: Arc<str> = id.into();
        let number = self.free.pop().unwrap_or(self.ids.len());
        if number == self.ids.len() {
            self.ids.push((id.clone(), 1));
        } else {
            self.ids[number] = (id.clone(), 1);
        }
        self.numbers.insert(id, number);
        number
    }

    pub(crate) fn release(&mut self, number: usize) {
        let (id, references) = &mut self.ids[number];
        *references -= 1;
        if *references == 0 {
            self.numbers.remove(id);
            self.free.push(number);
        }
    }

    /// Exclusive upper bound of the numbers in use.
    pub(crate) fn len(&self) -> usize {
        self.ids.len()
    }
}
