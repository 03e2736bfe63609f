//! The fencing tokens with which this process takes over upstreams.

use std::time::Duration;

use hinge_mesh::OwnedUpstream;
use hinge_runs::{Fence, whole_ms};
use hinge_wire::{FastMap, FastSet, UpstreamId};
use tokio::time::Instant;

use crate::ClaimedHolder;

/// Minimum distance from a token that a peer has named, since the peer may have raised it meanwhile.
const MARGIN: Duration = Duration::from_secs(1);
/// Maximum distance of a token from the clock of this process. Holder numbers are reserved for two days longer than they are
/// used, so that the next holder of the number, whose tokens begin at its own clock, repeats none. A higher token that a peer has
/// named is taken for an error.
const MAX_AHEAD: Duration = Duration::from_secs(24 * 60 * 60);

/// Bounds of the token for a takeover.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TokenBounds {
    /// Lowest token that exceeds those of earlier owners, as far as they are known.
    pub(crate) fence: Fence,
    /// Highest token that this process may issue now.
    pub(crate) limit: Fence,
}

/// Source of the tokens of this process.
///
/// Its clock is the time of day at the start of the process and the time that has passed since, so that it never goes back. The
/// holder number is claimed by the same clock.
#[derive(Debug)]
pub(crate) struct Tokens {
    /// Number of this process; none before it has claimed one, and after the claim was lost.
    pub(crate) claimed: Option<ClaimedHolder>,
    /// Highest tokens that peers have named with the upstreams that they own.
    known: FastMap<UpstreamId, Fence>,
    started_at: Instant,
    started_unix_ms: u64,
}

impl Tokens {
    pub(crate) fn new(now: Instant, started_unix_ms: u64) -> Self {
        Self { claimed: None, known: FastMap::default(), started_at: now, started_unix_ms }
    }

    /// Remembers the tokens of upstreams that a peer owns.
    pub(crate) fn learn(&mut self, claims: &[OwnedUpstream]) {
        for claim in claims {
            let known = self.known.entry(claim.upstream.clone()).or_default();
            *known = claim.fence.max(*known);
        }
    }

    /// Forgets the tokens of upstreams that are not registered.
    pub(crate) fn retain(&mut self, registered: &FastSet<&UpstreamId>) {
        self.known.retain(|id, _| registered.contains(id));
    }

    /// Bounds of the token for a takeover of the upstream; none without a holder number. The claim is checked here
    /// because a process that was stopped for days may reach this before it is told that its claim has lapsed.
    pub(crate) fn bounds(&self, now: Instant, upstream: &UpstreamId) -> Option<TokenBounds> {
        let claimed = self.claimed.filter(|claimed| now < claimed.until)?;
        let since_start_ms = whole_ms(now.duration_since(self.started_at));
        let own = Fence::at(self.started_unix_ms.saturating_add(since_start_ms), claimed.holder);
        let limit = own.raised(Fence::steps(MAX_AHEAD));
        let known = self.known.get(upstream).copied().unwrap_or_default();
        let fence = if known > limit { own } else { own.raised_above(known, Fence::steps(MARGIN)) };
        Some(TokenBounds { fence, limit })
    }
}
