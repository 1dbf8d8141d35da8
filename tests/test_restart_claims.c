/* Unit tests of restarts that entries state, and that the process before may refute. */
#include "request/policy/engines/restart_claims.h"
#include "suite.h"

#include <glib.h>

#define NOW_US UINT64_C (1000000)
#define RENEWAL_US UINT64_C (1200000)
#define DUE_US (NOW_US + RESTART_CLAIM_RENEWALS * RENEWAL_US)

G_DEFINE_AUTOPTR_CLEANUP_FUNC (restart_claims_t, restart_claims_free)

static void
test_claim_is_due_after_two_renewals (void)
{
  g_autoptr (restart_claims_t) claims = restart_claims_new ();
  restart_claim_t claim;

  restart_claims_add (claims, NOW_US, 7, RENEWAL_US);
  restart_claims_add (claims, NOW_US + 1, 7, RENEWAL_US);
  CU_ASSERT (!restart_claims_take_due (claims, DUE_US - 1, &claim));
  CU_ASSERT (restart_claims_take_due (claims, DUE_US, &claim));
  CU_ASSERT (claim.hash == 7 && claim.made_us == NOW_US);
  CU_ASSERT (!restart_claims_take_due (claims, DUE_US + 1, &claim));
}

/* Guards against requests given up at an engine that has written its entry since. */
static void
test_process_that_writes_again_is_kept (void)
{
  g_autoptr (restart_claims_t) claims = restart_claims_new ();
  restart_claim_t claim;

  restart_claims_add (claims, NOW_US, 7, RENEWAL_US);
  restart_claims_add (claims, NOW_US, 8, RENEWAL_US);
  restart_claims_refute (claims, 7);
  restart_claims_refute (claims, 9);
  CU_ASSERT (restart_claims_take_due (claims, DUE_US, &claim));
  CU_ASSERT_EQUAL (claim.hash, 8);
  CU_ASSERT (!restart_claims_take_due (claims, DUE_US, &claim));
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_claim_is_due_after_two_renewals),
                                       SUITE_TEST (test_process_that_writes_again_is_kept),
                                       CU_TEST_INFO_NULL };

  return suite_run ("restart_claims", tests);
}
