#include "request/policy/streams/shares_trust.h"

#include "request/policy/streams/version_shares.h"

/* The last table that the most current peer may have put in force was announced before the time up
 * to which this gateway knows all. */
static bool
knows_all_in_force (const shares_trust_view_t *view)
{
  return view->current_as_of_us != 0 && view->peers_current_us + view->current_us <=
                                            view->current_as_of_us + VERSION_SHARES_ANNOUNCED_US;
}

bool
shares_trust_knows_tables (uint64_t tables_as_of_us, uint64_t now_us)
{
  return tables_as_of_us != 0 && now_us < tables_as_of_us + VERSION_SHARES_ANNOUNCED_US;
}

bool
shares_trust_decide (shares_trust_t *trust, const shares_trust_view_t *view, uint64_t now_us)
{
  if (view->is_current)
    {
      trust->outage_us = 0;
      return true;
    }
  if (!knows_all_in_force (view))
    trust->outage_us = 0;
  else if (view->hears_most)
    trust->outage_us = now_us;
  return trust->outage_us != 0 && now_us < trust->outage_us + VERSION_SHARES_ANNOUNCED_US;
}
