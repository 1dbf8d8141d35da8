#include "request/policy/accept_gate.h"
#include "suite.h"

#define MS_US UINT64_C (1000)
#define LIMIT 100

static bool
update (accept_gate_t *gate, uint64_t late_ms, uint32_t connections)
{
  accept_gate_update (gate, &(accept_gate_input_t){ .late_us = late_ms * MS_US,
                                                    .connections = connections,
                                                    .connection_limit = LIMIT });
  return gate->closed;
}

/* Guards against a gateway that reads more than it can serve. */
static void
test_late_ticks_close (void)
{
  accept_gate_t gate = { 0 };

  CU_ASSERT (!update (&gate, 300, 1));
  CU_ASSERT (update (&gate, 300, 1));
  CU_ASSERT (update (&gate, 120, 1));
  CU_ASSERT (!update (&gate, 100, 1));
  CU_ASSERT (update (&gate, 300, 1));
}

/* Guards against a gateway that takes all connections at once when it has room again. */
static void
test_quota_follows_what_is_served (void)
{
  accept_gate_t gate = { 0 };

  update (&gate, 300, 1);
  update (&gate, 300, 1);
  CU_ASSERT (!update (&gate, 0, 1));
  CU_ASSERT_EQUAL (gate.quota, ACCEPT_GATE_QUOTA_START);
  update (&gate, 0, 1);
  CU_ASSERT_EQUAL (gate.quota, 2 * ACCEPT_GATE_QUOTA_START);
  update (&gate, 120, 1);
  CU_ASSERT_EQUAL (gate.quota, 2 * ACCEPT_GATE_QUOTA_START);
  CU_ASSERT (update (&gate, 300, 1));
  CU_ASSERT_EQUAL (gate.quota, ACCEPT_GATE_QUOTA_START);
  for (uint32_t i = 0; i < 20; i++)
    {
      update (&gate, 0, 1);
      update (&gate, 300, 1);
    }
  CU_ASSERT_EQUAL (gate.quota, ACCEPT_GATE_QUOTA_MIN);
  for (uint32_t i = 0; i < 20; i++)
    update (&gate, 0, 1);
  CU_ASSERT_EQUAL (gate.quota, 0);
  gate.quota = 10;
  accept_gate_update (&gate, &(accept_gate_input_t){ .quota_used = true });
  CU_ASSERT_EQUAL (gate.quota, 11);
}

/* Guards against connections that are refused after a freeze of the host, when all can be served.
 */
static void
test_single_late_tick_closes_nothing (void)
{
  accept_gate_t gate = { 0 };

  for (uint32_t i = 0; i < 5; i++)
    {
      CU_ASSERT (!update (&gate, 5000, 1));
      CU_ASSERT (!update (&gate, 10, 1));
    }
}

/* Guards against requests that are read and refused for lack of connections. */
static void
test_connection_limit_closes (void)
{
  accept_gate_t gate = { 0 };

  CU_ASSERT (!update (&gate, 0, LIMIT - 1));
  CU_ASSERT (update (&gate, 0, LIMIT));
  CU_ASSERT (update (&gate, 0, LIMIT * ACCEPT_GATE_ROOM_MILLI / 1000));
  CU_ASSERT (!update (&gate, 0, LIMIT * ACCEPT_GATE_ROOM_MILLI / 1000 - 1));
  gate = (accept_gate_t){ 0 };
  CU_ASSERT (!accept_gate_update (&gate, &(accept_gate_input_t){ .connections = 1000000 }));
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_late_ticks_close),
                                       SUITE_TEST (test_quota_follows_what_is_served),
                                       SUITE_TEST (test_single_late_tick_closes_nothing),
                                       SUITE_TEST (test_connection_limit_closes),
                                       CU_TEST_INFO_NULL };

  return suite_run ("accept_gate", tests);
}
