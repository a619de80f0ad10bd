//! What was said, heard and dropped, by cause, for the operators' door. Nothing is decided by it.

use serde::Serialize;

/// All since the process's start. Each datagram that came is in [`Heard`] or in [`Dropped`], once; each word
/// that was to be said is in [`Words::said`] or in one of the causes below it, or waits still.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Counts {
    /// What went out.
    pub sent: Sent,
    /// Datagrams that came and counted.
    pub heard: Heard,
    /// Datagrams that came and did not.
    pub dropped: Dropped,
    /// Words of our own.
    pub words: Words,
    /// Words of peers.
    pub delivered: Delivered,
}

/// What went out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Sent {
    /// Datagrams, all.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Hellos among them.
    pub hellos: u64,
    /// Pieces among them, those that were asked for again included.
    pub pieces: u64,
    /// Pieces that were asked for again and went.
    pub pieces_again: u64,
    /// Times that missing pieces were asked for.
    pub asks: u64,
    /// Hellos that would have been due and were too many: to one peer, in all, or no token was left.
    pub hellos_held_back: u64,
    /// Pieces that were asked for and did not go: too often, no longer kept, or from one that never got that
    /// word.
    pub pieces_refused: u64,
}

/// Datagrams that came and counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Heard {
    /// Hellos.
    pub hellos: u64,
    /// With whole words.
    pub words: u64,
    /// Pieces.
    pub pieces: u64,
    /// Pieces that were there before, or of words that are over.
    pub pieces_again: u64,
    /// Peers asking for missing pieces.
    pub asks: u64,
    /// Hellos that answered a nonce that is not asked now.
    pub stale_nonces: u64,
    /// Times that a peer's new life was confirmed.
    #[serde(rename = "lives")]
    pub incarnations: u64,
}

/// Datagrams that came and did not count.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Dropped {
    /// From no address of `peers`, or from this balancer's own.
    pub strange: u64,
    /// Longer than a datagram may be.
    pub too_long: u64,
    /// Of another version of frames.
    pub version: u64,
    /// Cut short, flipped, or from one who numbers the members otherwise.
    pub torn: u64,
    /// Whole, and not to be read: a broken build at the other end.
    pub unreadable: u64,
    /// From a peer of which no life is confirmed yet.
    pub unconfirmed: u64,
    /// From another life of the peer than the confirmed one, or to a former one of ours.
    #[serde(rename = "former_life")]
    pub previous_incarnation: u64,
    /// Come before.
    pub copy: u64,
    /// So late that nobody remembers whether they came before.
    pub late: u64,
}

/// Words of our own.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Words {
    /// Went out, with all their pieces, once. Not: arrived.
    pub said: u64,
    /// To nobody: this balancer itself, or no member.
    pub nowhere: u64,
    /// Longer than a word may be.
    pub too_long: u64,
    /// There was no room to let them wait.
    pub no_room: u64,
    /// They waited for tokens for as long as such a word may.
    pub no_tokens: u64,
    /// They waited for a peer to be there for as long as a word may.
    pub waited_in_vain: u64,
    /// They waited when their peer was found to be another life.
    #[serde(rename = "former_life")]
    pub previous_incarnation: u64,
    /// All sequences are used up (after 17 years of the usual budget).
    pub used_up: u64,
}

/// Words of peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize)]
pub struct Delivered {
    /// Words handed over.
    pub words: u64,
    /// Words of which pieces never came, or for which there was no room.
    pub pieces_given_up: u64,
}
