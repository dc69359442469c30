//! Tests of the directory of groups and of its datagrams.

mod datagram_size;
mod group_news;
mod refusal_memory;
