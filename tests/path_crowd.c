#include "path_crowd.h"

uint32_t
pfl_held (const pfl_t *fleet)
{
  uint32_t held = 0;

  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    held += fleet->engines[i].held->len;
  return held;
}

uint32_t
pfl_open (const pfl_crowd_t *crowd)
{
  uint32_t open = 0;

  for (uint32_t i = 0; i < PFL_CROWD; i++)
    open += !crowd->answers[i].done;
  return open;
}

uint64_t
pfl_waiting (const pfl_daemon_t *sidecar)
{
  return cnt_value (cnt_get (sidecar->dmn.counters, "medlarplank_waiting", ""));
}

bool
pfl_rest_waits (void *context)
{
  const pfl_crowd_t *crowd = context;
  uint64_t waiting = 0;

  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    waiting += pfl_waiting (&crowd->fleet->sidecars[i]);
  return waiting > 0 && pfl_open (crowd) == pfl_runs (crowd->fleet) + waiting;
}

bool
pfl_start_crowd (pfl_crowd_t *crowd, const pfl_request_t *request)
{
  pfl_set_all (crowd->fleet, PFL_HANG);
  for (uint32_t i = 0; i < PFL_CROWD; i++)
    pfl_send (crowd->fleet, request, &crowd->answers[i]);
  return pfl_until (crowd->fleet, pfl_rest_waits, crowd);
}
