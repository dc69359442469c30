//! Expert maps: their planning, and the switch from one to the next.
