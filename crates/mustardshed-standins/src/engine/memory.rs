//! KV memory: allocations of requests and reservations of gangs.

use std::collections;

use crate::engine::refusal;

/// KV memory of one engine, in tokens.
#[derive(Clone, Debug)]
pub struct Memory {
    capacity: u64,
    held: collections::BTreeMap<String, u64>,
    reserved: collections::BTreeMap<String, u64>,
    used: u64,
}

impl Memory {
    /// Returns an empty memory of `capacity` tokens.
    pub const fn new(capacity: u64) -> Self {
        Self {
            capacity,
            held: collections::BTreeMap::new(),
            reserved: collections::BTreeMap::new(),
            used: 0,
        }
    }

    /// Returns the size in tokens.
    pub const fn capacity(&self) -> u64 {
        self.capacity
    }

    /// Returns the memory used by requests and reservations, in tokens.
    pub const fn used(&self) -> u64 {
        self.used
    }

    /// Returns the memory used by reservations, in tokens.
    pub fn reserved(&self) -> u64 {
        self.reserved.values().sum()
    }

    /// Returns the free memory, in tokens.
    pub const fn free(&self) -> u64 {
        self.capacity - self.used
    }

    /// Returns the requests that hold memory, with their tokens.
    pub fn holds(&self) -> impl Iterator<Item = (&String, u64)> {
        self.held.iter().map(|(id, tokens)| (id, *tokens))
    }

    /// Returns the reservations, with their tokens.
    pub fn reservations(&self) -> impl Iterator<Item = (&String, u64)> {
        self.reserved.iter().map(|(id, tokens)| (id, *tokens))
    }

    /// Returns the size of a reservation in tokens.
    pub fn reservation(&self, id: &str) -> Option<u64> {
        self.reserved.get(id).copied()
    }

    /// Allocates memory to a request.
    ///
    /// # Errors
    ///
    /// [`refusal::Refusal::NoMemory`] if there is not enough.
    pub fn hold(&mut self, id: &str, tokens: u64) -> Result<(), refusal::Refusal> {
        self.take(tokens)?;
        self.held.insert(id.to_owned(), tokens);
        Ok(())
    }

    /// Frees the memory of a request.
    pub fn free_hold(&mut self, id: &str) {
        if let Some(tokens) = self.held.remove(id) {
            self.used -= tokens;
        }
    }

    /// Reserves memory; repeating a reservation changes nothing.
    ///
    /// # Errors
    ///
    /// [`refusal::Refusal::NoMemory`] if there is not enough, and
    /// [`refusal::Refusal::KnownId`] if the reservation has another size.
    pub fn reserve(&mut self, id: &str, tokens: u64) -> Result<(), refusal::Refusal> {
        match self.reserved.get(id) {
            Some(present) if *present == tokens => return Ok(()),
            Some(_) => return Err(refusal::Refusal::KnownId),
            None => {}
        }
        self.take(tokens)?;
        self.reserved.insert(id.to_owned(), tokens);
        Ok(())
    }

    /// Releases a reservation; an unknown one changes nothing.
    pub fn release(&mut self, id: &str) {
        if let Some(tokens) = self.reserved.remove(id) {
            self.used -= tokens;
        }
    }

    /// Frees everything.
    pub fn clear(&mut self) {
        self.held.clear();
        self.reserved.clear();
        self.used = 0;
    }

    fn take(&mut self, tokens: u64) -> Result<(), refusal::Refusal> {
        if tokens > self.free() {
            return Err(refusal::Refusal::NoMemory);
        }
        self.used += tokens;
        Ok(())
    }
}
