#include "request/policy/queueing/accept_gate.h"
#include "suite.h"

#define TICK_US (UINT64_C (25) * 1000)
#define START_US UINT64_C (1000000)

/* Guards against a server that reads all that comes before it serves any. */
static void
test_takes_few_at_a_time (void)
{
  accept_gate_t gate = { 0 };

  for (uint32_t i = 0; i < ACCEPT_GATE_BATCH; i++)
    {
      CU_ASSERT (accept_gate_is_open (&gate));
      accept_gate_note_taken (&gate);
    }
  CU_ASSERT (!accept_gate_is_open (&gate));
  accept_gate_note_idle (&gate, true);
  CU_ASSERT (accept_gate_is_open (&gate));
}

/* Guards against connections that wait until their clients have left. */
static void
test_sheds_what_has_waited (void)
{
  accept_gate_t gate = { 0 };
  uint64_t now_us = START_US;

  for (; now_us < START_US + ACCEPT_GATE_WAIT_US; now_us += TICK_US)
    {
      accept_gate_note_idle (&gate, true);
      CU_ASSERT (!accept_gate_sheds (&gate, now_us, true));
    }
  CU_ASSERT (accept_gate_sheds (&gate, now_us, true));
  CU_ASSERT (!accept_gate_sheds (&gate, now_us + TICK_US, true));
}

/* Guards against a slow host on which some connections wait at each tick, and are taken after it.
 */
static void
test_sheds_nothing_that_is_taken (void)
{
  accept_gate_t gate = { 0 };

  for (uint64_t now_us = START_US; now_us < START_US + 10 * ACCEPT_GATE_WAIT_US;
       now_us += ACCEPT_GATE_WAIT_US / 2)
    {
      CU_ASSERT (!accept_gate_sheds (&gate, now_us, true));
      accept_gate_note_idle (&gate, false);
    }
}

/* Guards against connections that are refused because the host had stood still. */
static void
test_sheds_nothing_after_a_pause (void)
{
  accept_gate_t gate = { 0 };

  CU_ASSERT (!accept_gate_sheds (&gate, START_US, false));
  CU_ASSERT (!accept_gate_sheds (&gate, START_US + 10 * ACCEPT_GATE_WAIT_US, true));
}

/* Guards against connections that are refused because the event loop was held up while they came.
 */
static void
test_sheds_nothing_after_a_hold_up (void)
{
  accept_gate_t gate = { 0 };
  uint64_t now_us = START_US;

  CU_ASSERT (!accept_gate_sheds (&gate, now_us, true));
  now_us += 4 * ACCEPT_GATE_WAIT_US;
  CU_ASSERT (!accept_gate_sheds (&gate, now_us, true));
  now_us += 4 * ACCEPT_GATE_WAIT_US;
  CU_ASSERT (!accept_gate_sheds (&gate, now_us, true));
}

/* Guards against connections that are refused as versions of the configuration follow each other.
 */
static void
test_sheds_nothing_beside_other_work (void)
{
  accept_gate_t gate = { 0 };

  for (uint64_t now_us = START_US; now_us < START_US + 10 * ACCEPT_GATE_WAIT_US;
       now_us += ACCEPT_GATE_WAIT_US / 2)
    {
      accept_gate_note_held_up (&gate);
      CU_ASSERT (!accept_gate_sheds (&gate, now_us, true));
      CU_ASSERT (!accept_gate_sheds (&gate, now_us + TICK_US, true));
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_takes_few_at_a_time),
                                       SUITE_TEST (test_sheds_what_has_waited),
                                       SUITE_TEST (test_sheds_nothing_that_is_taken),
                                       SUITE_TEST (test_sheds_nothing_after_a_pause),
                                       SUITE_TEST (test_sheds_nothing_after_a_hold_up),
                                       SUITE_TEST (test_sheds_nothing_beside_other_work),
                                       CU_TEST_INFO_NULL };

  return suite_run ("accept_gate", tests);
}
