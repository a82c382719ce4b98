//! Rendezvous hashing (highest random weight; Thaler and Ravishankar 1998).

/// Orders `members` by their weight for `topic`, highest first.
///
/// Every process with the same members computes the same order, and removing a member does not
/// change the relative order of the others.
pub fn rendezvous_rank<'a>(topic: &str, members: impl Iterator<Item = &'a str>) -> Vec<&'a str> {
    let mut weighted: Vec<(u64, &str)> = members.map(|m| (weight(topic, m), m)).collect();
    weighted.sort_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, member)| member).collect()
}

/// Returns the weight of a member for a topic.
pub(crate) fn weight(topic: &str, member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(topic.len() as u64).to_le_bytes());
    hasher.update(topic.as_bytes());
    hasher.update(member.as_bytes());
    let mut first = [0_u8; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
