#include "request/policy/placement/known_holders.h"

void
known_holders_init (known_holders_t *known, uint64_t now_us, const engine_choice_request_t *request)
{
  *known = (known_holders_t){ .now_us = now_us };
  if (!request->holders || request->affinity == 0)
    return;
  known->all_count = part_holders_get (request->holders, now_us, request->shared_parts, known->all);
  known->longest_count =
      part_holders_get (request->holders, now_us, request->affinity, known->longest);
  known->count = known->all_count + known->longest_count;
}

static const part_holder_t *
find (const part_holder_t *holders, uint32_t count, const engine_t *engine)
{
  for (uint32_t i = 0; i < count; i++)
    if (holders[i].engine == engine->hash && holders[i].known_us >= engine->returned_us)
      return &holders[i];
  return NULL;
}

known_holders_state_t
known_holders_state (const known_holders_t *known, const engine_t *engine)
{
  const part_holder_t *all = find (known->all, known->all_count, engine);

  if (all)
    return known->now_us < all->known_us + PART_HOLDERS_CERTAIN_US ? KNOWN_HOLDERS_ALL_CERTAIN
                                                                   : KNOWN_HOLDERS_ALL;
  return find (known->longest, known->longest_count, engine) ? KNOWN_HOLDERS_LONGEST
                                                             : KNOWN_HOLDERS_UNKNOWN;
}
