#include "path_crowd.h"

uint32_t
pfl_held (const pfl_t *testbed)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    count += testbed->engines[i].held_requests->len;
  return count;
}

uint32_t
pfl_open (const pfl_crowd_t *burst)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < PFL_CROWD; i++)
    count += !burst->answers[i].done;
  return count;
}

uint64_t
pfl_waiting (const pfl_daemon_t *sidecar)
{
  return cnt_value (cnt_get (sidecar->daemon.counters, "medlarplank_waiting", ""));
}

bool
pfl_rest_waits (void *context)
{
  const pfl_crowd_t *burst = context;
  uint64_t waiting = 0;

  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    waiting += pfl_waiting (&burst->testbed->sidecars[i]);
  return waiting > 0 && pfl_open (burst) == pfl_runs (burst->testbed) + waiting;
}

bool
pfl_start_crowd (pfl_crowd_t *burst, const pfl_request_t *request)
{
  pfl_set_all (burst->testbed, PFL_HANG);
  for (uint32_t i = 0; i < PFL_CROWD; i++)
    pfl_send (burst->testbed, request, &burst->answers[i]);
  return pfl_until (burst->testbed, pfl_rest_waits, burst);
}
