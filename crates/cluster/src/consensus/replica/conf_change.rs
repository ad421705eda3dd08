//! Encoding of voter changes as `raft` configuration changes, with the names of new voters as their context.

use crate::consensus::reconfiguration::VoterChange;
use crate::consensus::state::Voter;
use protobuf::Message as _;
use raft::eraftpb::{ConfChangeSingle, ConfChangeTransition, ConfChangeType, ConfChangeV2, Entry};

/// Encodes a change for a proposal.
pub(super) fn encode(change: &VoterChange) -> ConfChangeV2 {
    let single = |id: u64, kind: ConfChangeType| {
        let mut one = ConfChangeSingle {
            node_id: id,
            ..ConfChangeSingle::default()
        };
        one.set_change_type(kind);
        one
    };
    let changes = match change {
        VoterChange::AddLearner(voter) => vec![single(voter.id, ConfChangeType::AddLearnerNode)],
        VoterChange::ReplaceVoter { new, old } => vec![
            single(*new, ConfChangeType::AddNode),
            single(*old, ConfChangeType::RemoveNode),
        ],
        VoterChange::RemoveLearner(id) => vec![single(*id, ConfChangeType::RemoveNode)],
    };
    let new_names: &[Voter] = match change {
        VoterChange::AddLearner(voter) => std::slice::from_ref(voter),
        _ => &[],
    };
    let mut encoded = ConfChangeV2 {
        changes: changes.into(),
        ..ConfChangeV2::default()
    };
    encoded.set_transition(ConfChangeTransition::Auto);
    encoded.set_context(postcard::to_stdvec(new_names).unwrap_or_default().into());
    encoded
}

/// Decodes an entry's change and the names of its new voters.
pub(super) fn decode(entry: &Entry) -> (ConfChangeV2, Vec<Voter>) {
    let change = ConfChangeV2::parse_from_bytes(&entry.data).unwrap_or_default();
    let new_names = postcard::from_bytes(&change.context).unwrap_or_default();
    (change, new_names)
}
