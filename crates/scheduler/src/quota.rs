//! Tenant quotas: whether a query is within its tenant's quota at this coordinator.
//!
//! Input: arrivals with their tenant, and this coordinator's share of the cluster's demand. Output:
//! yes or no. State: one token bucket per tenant in the settings.

use crate::settings::Tenant;
use crate::types::Micros;

/// Bucket size in seconds of quota, which allows ordinary bursts.
const BURST_SECONDS: f64 = 2.0;
/// Minimum bucket size in queries: a small share of a quota arrives in bursts.
const MIN_BURST_QUERIES: f64 = 8.0;

/// A token bucket, initially full.
#[derive(Clone, Copy, Default)]
struct TokenBucket {
    /// Number of tokens and the time at which it was computed; `None` before the first use.
    level: Option<(f64, Micros)>,
}

impl TokenBucket {
    /// Takes one token, if available, from a bucket with this refill rate per second and this size.
    fn take_token(&mut self, now: Micros, rate_per_s: f64, size: f64) -> bool {
        let (level, at) = self.level.unwrap_or((size, now));
        let level = (level + rate_per_s * now.saturating_sub(at) as f64 / 1e6).min(size);
        let has_token = level >= 1.0;
        self.level = Some((if has_token { level - 1.0 } else { level }, now));
        has_token
    }
}

/// The quotas of all tenants at this coordinator.
pub(crate) struct TenantQuotas {
    tenants: Vec<(Tenant, TokenBucket)>,
}

impl TenantQuotas {
    /// Unused quotas.
    pub(crate) fn new(tenants: &[Tenant]) -> TenantQuotas {
        let unused = |&tenant: &Tenant| (tenant, TokenBucket::default());
        TenantQuotas {
            tenants: tenants.iter().map(unused).collect(),
        }
    }

    /// Takes one query from a tenant's quota, of which this coordinator has `share`. Returns
    /// true if the quota was exhausted. If the settings list tenants, an unlisted tenant has no
    /// quota.
    pub(crate) fn take_query(&mut self, now: Micros, tenant: u32, share: f64) -> bool {
        let has_tenants = !self.tenants.is_empty();
        let Some((tenant, bucket)) = self.tenants.get_mut(tenant as usize) else {
            return has_tenants;
        };
        let rate = tenant.quota_per_s * share;
        !bucket.take_token(now, rate, (rate * BURST_SECONDS).max(MIN_BURST_QUERIES))
    }
}
