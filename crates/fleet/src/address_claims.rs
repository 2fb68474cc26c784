//! Which processes announced each address.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use base::UpstreamId;

/// The processes that announced each address last. Several may, as an address is used again and
/// anybody may name one.
#[derive(Clone, Debug, Default)]
pub(crate) struct AddressClaims(BTreeMap<SocketAddr, BTreeSet<UpstreamId>>);

impl AddressClaims {
    /// Records that a process announced an address.
    pub(crate) fn add(&mut self, addr: SocketAddr, id: &UpstreamId) {
        self.0.entry(addr).or_default().insert(id.clone());
    }

    /// Records that a process announces an address no more.
    pub(crate) fn remove(&mut self, addr: SocketAddr, id: &UpstreamId) {
        if let Some(ids) = self.0.get_mut(&addr) {
            ids.remove(id);
        }
    }

    /// Forgets the processes that are not to be kept.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&UpstreamId) -> bool) {
        self.0.retain(|_, ids| {
            ids.retain(&is_kept);
            !ids.is_empty()
        });
    }

    /// The processes that announced an address, without this one.
    pub(crate) fn others_at<'a>(
        &'a self,
        addr: SocketAddr,
        id: &'a UpstreamId,
    ) -> impl Iterator<Item = &'a UpstreamId> {
        let ids = self.0.get(&addr).into_iter().flatten();
        ids.filter(move |other| *other != id)
    }
}
