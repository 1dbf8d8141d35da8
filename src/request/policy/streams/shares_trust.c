#include "request/policy/streams/shares_trust.h"

#include "request/policy/streams/version_shares.h"

static bool
is_out_for_all (const shares_trust_t *trust, const shares_trust_view_t *view)
{
  if (view->stranger_store_us > trust->current_us)
    return false;
  return view->known == 0 ? trust->current_us != 0 : 2 * view->heard > view->known;
}

bool
shares_trust_update (shares_trust_t *trust, const shares_trust_view_t *view, uint64_t now_us)
{
  if (view->is_current)
    {
      *trust = (shares_trust_t){ .current_us = now_us };
      return true;
    }
  if (is_out_for_all (trust, view))
    trust->outage_us = now_us;
  return trust->outage_us != 0 && now_us < trust->outage_us + VERSION_SHARES_ANNOUNCED_US;
}
