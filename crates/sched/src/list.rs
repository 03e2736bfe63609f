//! Slab and intrusive doubly linked lists over its items.

/// Id that stands for no item.
pub(crate) const NIL: u32 = u32::MAX;

/// Items with ids that stay valid until the item is removed; ids of removed items are reused.
#[derive(Debug)]
pub(crate) struct Slab<T> {
    free: Vec<u32>,
    items: Vec<Option<T>>,
}

impl<T> Slab<T> {
    pub(crate) const fn new() -> Self {
        Self { free: Vec::new(), items: Vec::new() }
    }

    pub(crate) fn insert(&mut self, item: T) -> u32 {
        if let Some(id) = self.free.pop() {
            self.items[id as usize] = Some(item);
            return id;
        }
        self.items.push(Some(item));
        (self.items.len() - 1) as u32
    }

    pub(crate) fn get(&self, id: u32) -> Option<&T> {
        self.items.get(id as usize)?.as_ref()
    }

    pub(crate) fn get_mut(&mut self, id: u32) -> Option<&mut T> {
        self.items.get_mut(id as usize)?.as_mut()
    }

    pub(crate) fn remove(&mut self, id: u32) -> Option<T> {
        let item = self.items.get_mut(id as usize)?.take()?;
        self.free.push(id);
        Some(item)
    }

    pub(crate) fn len(&self) -> usize {
        self.items.len() - self.free.len()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut T> {
        self.items.iter_mut().flatten()
    }
}

#[derive(Clone, Copy, Debug)]
struct Link {
    next: u32,
    prev: u32,
}

/// Neighbours of the items of any number of lists. An item is in at most one of these lists.
#[derive(Debug, Default)]
pub(crate) struct Links(Vec<Link>);

impl Links {
    fn ensure_len(&mut self, id: u32) {
        if self.0.len() <= id as usize {
            self.0.resize(id as usize + 1, Link { next: NIL, prev: NIL });
        }
    }
}

/// Head and tail of a doubly linked list whose links are in [`Links`]. All operations are O(1).
#[derive(Clone, Copy, Debug)]
pub(crate) struct List {
    head: u32,
    tail: u32,
}

impl List {
    pub(crate) const EMPTY: Self = Self { head: NIL, tail: NIL };

    pub(crate) const fn is_empty(self) -> bool {
        self.head == NIL
    }

    pub(crate) fn front(self) -> Option<u32> {
        (self.head != NIL).then_some(self.head)
    }

    pub(crate) fn push_back(&mut self, links: &mut Links, id: u32) {
        links.ensure_len(id);
        links.0[id as usize] = Link { next: NIL, prev: self.tail };
        match self.tail {
            NIL => self.head = id,
            tail => links.0[tail as usize].next = id,
        }
        self.tail = id;
    }

    pub(crate) fn push_front(&mut self, links: &mut Links, id: u32) {
        links.ensure_len(id);
        links.0[id as usize] = Link { next: self.head, prev: NIL };
        match self.head {
            NIL => self.tail = id,
            head => links.0[head as usize].prev = id,
        }
        self.head = id;
    }

    /// Removes an item, which must be in this list.
    pub(crate) fn remove(&mut self, links: &mut Links, id: u32) {
        let Link { next, prev } = links.0[id as usize];
        match prev {
            NIL => self.head = next,
            prev => links.0[prev as usize].next = next,
        }
        match next {
            NIL => self.tail = prev,
            next => links.0[next as usize].prev = prev,
        }
    }

    pub(crate) fn pop_front(&mut self, links: &mut Links) -> Option<u32> {
        let id = self.front()?;
        self.remove(links, id);
        Some(id)
    }

    pub(crate) fn back(self) -> Option<u32> {
        (self.tail != NIL).then_some(self.tail)
    }
}
