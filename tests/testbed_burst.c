#include "testbed_burst.h"

uint32_t
testbed_count_held (const testbed_t *testbed)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    count += testbed->engines[i].held_requests->len;
  return count;
}

uint32_t
testbed_burst_count_open (const testbed_burst_t *burst)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < TESTBED_BURST_REQUESTS; i++)
    count += !burst->answers[i].done;
  return count;
}

uint64_t
testbed_count_queued (const testbed_node_t *sidecar)
{
  return counter_value (counter_get (sidecar->daemon.counters, "medlarplank_waiting", ""));
}

bool
testbed_burst_is_queued (void *context)
{
  const testbed_burst_t *burst = context;
  uint64_t waiting = 0;

  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    waiting += testbed_count_queued (&burst->testbed->sidecars[i]);
  return waiting > 0 &&
         testbed_burst_count_open (burst) == testbed_count_received (burst->testbed) + waiting;
}

bool
testbed_burst_start (testbed_burst_t *burst, const testbed_request_t *request)
{
  testbed_set_mode (burst->testbed, TESTBED_HOLD);
  for (uint32_t i = 0; i < TESTBED_BURST_REQUESTS; i++)
    testbed_send (burst->testbed, request, &burst->answers[i]);
  return testbed_wait_until (burst->testbed, testbed_burst_is_queued, burst);
}
