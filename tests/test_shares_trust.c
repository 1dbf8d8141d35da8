/* Tests of whether a gateway may go by the tables of shares that it knows. */
#include "base/clock.h"
#include "process/gateway_store.h"
#include "request/policy/streams/shares_trust.h"
#include "request/policy/streams/version_shares.h"
#include "suite.h"

#define SECOND_US (UINT64_C (1000) * 1000)
#define CURRENT_US (GATEWAY_STORE_CURRENT_MS * UINT64_C (1000))
#define LOST_US (100 * SECOND_US)
/* How much later than this gateway a peer may have been current. */
#define LEAD_US (VERSION_SHARES_ANNOUNCED_US - CURRENT_US)

static shares_trust_view_t
make_view (uint64_t now_us, uint64_t peers_current_us, bool hears_most)
{
  return (shares_trust_view_t){ .is_current = now_us < LOST_US + CURRENT_US,
                                .hears_most = hears_most,
                                .current_as_of_us = LOST_US,
                                .peers_current_us = peers_current_us,
                                .current_us = CURRENT_US };
}

/* Return: whether the gateway trusts its tables ten seconds after it lost the store */
static bool
is_trusting (uint64_t peers_lead_us, bool hears_most)
{
  shares_trust_t trust = { 0 };
  bool result = true;

  for (uint64_t now_us = LOST_US; now_us <= LOST_US + 10 * SECOND_US; now_us += SECOND_US / 10)
    {
      uint64_t told_us = LOST_US + MIN (now_us - LOST_US, peers_lead_us);
      shares_trust_view_t view = make_view (now_us, told_us, hears_most);

      result = shares_trust_decide (&trust, &view, now_us);
    }
  return result;
}

/* Guards against refusals of all resumed streams while the store is out. */
static void
test_store_is_out_for_all (void)
{
  CU_ASSERT_TRUE (is_trusting (0, true));
  CU_ASSERT_TRUE (is_trusting (LEAD_US, true));
}

/* Guards against trust in old tables at a gateway that alone has lost the store. */
static void
test_peer_has_later_answers (void)
{
  CU_ASSERT_FALSE (is_trusting (LEAD_US + 1, true));
  CU_ASSERT_FALSE (is_trusting (10 * SECOND_US, true));
}

static void
test_few_peers_are_heard (void)
{
  CU_ASSERT_FALSE (is_trusting (0, false));
}

/* Guards against trust that lasts after a peer has told of a later answer. */
static void
test_trust_ends_when_a_peer_tells (void)
{
  uint64_t now_us = LOST_US + 5 * SECOND_US;
  shares_trust_view_t view = make_view (now_us, LOST_US, true);
  shares_trust_t trust = { 0 };

  CU_ASSERT_TRUE (shares_trust_decide (&trust, &view, now_us));
  view.peers_current_us = now_us;
  CU_ASSERT_FALSE (shares_trust_decide (&trust, &view, now_us + 1));
  view.hears_most = false;
  CU_ASSERT_FALSE (shares_trust_decide (&trust, &view, now_us + 2));
}

/* Guards against trust at a gateway that has never read the store. */
static void
test_never_current (void)
{
  shares_trust_view_t view = { .hears_most = true, .current_us = CURRENT_US };
  shares_trust_t trust = { 0 };

  CU_ASSERT_FALSE (shares_trust_decide (&trust, &view, LOST_US));
}

/* Guards against trust in tables of which nothing is heard while the registries are current. */
static void
test_tables_that_are_silent (void)
{
  CU_ASSERT_FALSE (shares_trust_knows_tables (0, SECOND_US));
  CU_ASSERT_TRUE (shares_trust_knows_tables (LOST_US, LOST_US + VERSION_SHARES_ANNOUNCED_US - 1));
  CU_ASSERT_FALSE (shares_trust_knows_tables (LOST_US, LOST_US + VERSION_SHARES_ANNOUNCED_US));
}

int
main (void)
{
  CU_TestInfo tests[] = {
    SUITE_TEST (test_store_is_out_for_all),
    SUITE_TEST (test_peer_has_later_answers),
    SUITE_TEST (test_few_peers_are_heard),
    SUITE_TEST (test_trust_ends_when_a_peer_tells),
    SUITE_TEST (test_never_current),
    SUITE_TEST (test_tables_that_are_silent),
    CU_TEST_INFO_NULL,
  };

  return suite_run ("shares_trust", tests);
}
