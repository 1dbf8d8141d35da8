#include "request/policy/streams/origin_keepers.h"

#include <glib.h>
#include <stdbool.h>
#include <xxhash.h>

uint32_t
origin_keepers_groups (uint32_t count)
{
  return MAX ((count + ORIGIN_KEEPERS_GROUP_MAX - 1) / ORIGIN_KEEPERS_GROUP_MAX, 1U);
}

static uint32_t
group_of (uint64_t gateway, uint32_t groups)
{
  return (uint32_t)((gateway >> 32) * groups >> 32);
}

static uint64_t
rank_of (uint64_t gateway, uint64_t stream)
{
  return XXH64 (&gateway, sizeof gateway, stream);
}

/** struct selection - the gateways of one group that rank first for a stream; @except: one that is
 * left out, or NULL; @most: how many */
typedef struct
{
  const uint64_t *gateways;
  uint32_t count;
  uint32_t group;
  uint32_t groups;
  const uint64_t *except;
  uint64_t stream;
  uint32_t most;
} selection_t;

static bool
is_eligible (const selection_t *selection, uint64_t gateway)
{
  return (!selection->except || gateway != *selection->except) &&
         group_of (gateway, selection->groups) == selection->group;
}

static uint32_t
select_first (const selection_t *selection, uint32_t *out)
{
  uint64_t ranks[ORIGIN_KEEPERS_MAX + 1];
  uint32_t found = 0;

  for (uint32_t i = 0; i < selection->count; i++)
    {
      uint32_t at = found;
      uint64_t rank;

      if (!is_eligible (selection, selection->gateways[i]))
        continue;
      rank = rank_of (selection->gateways[i], selection->stream);
      while (at > 0 && ranks[at - 1] < rank)
        at--;
      if (at >= selection->most)
        continue;
      found = MIN (found + 1, selection->most);
      for (uint32_t j = found - 1; j > at; j--)
        {
          ranks[j] = ranks[j - 1];
          out[j] = out[j - 1];
        }
      ranks[at] = rank;
      out[at] = i;
    }
  return found;
}

uint32_t
origin_keepers_of (const uint64_t *gateways,
                   uint32_t count,
                   uint64_t beginner,
                   uint64_t stream,
                   uint32_t out[ORIGIN_KEEPERS_MAX])
{
  uint32_t groups = origin_keepers_groups (count);
  selection_t selection = { .gateways = gateways,
                            .count = count,
                            .group = group_of (beginner, groups),
                            .groups = groups,
                            .except = &beginner,
                            .stream = stream,
                            .most = groups == 1 ? ORIGIN_KEEPERS_MAX : 1 };

  return select_first (&selection, out);
}

/* With one group the first is left out where the stream began there, so one more is asked. With
 * several, where that is the case the stream is not found: one in %ORIGIN_KEEPERS_GROUP_MAX. */
uint32_t
origin_keepers_of_any (
    const uint64_t *gateways, uint32_t count, uint64_t self, uint64_t stream, uint32_t *out)
{
  uint32_t groups = origin_keepers_groups (count);
  uint32_t found = 0;

  for (uint32_t group = 0; group < groups; group++)
    {
      selection_t selection = { .gateways = gateways,
                                .count = count,
                                .group = group,
                                .groups = groups,
                                .stream = stream,
                                .most = groups == 1 ? ORIGIN_KEEPERS_MAX + 1 : 1 };
      uint32_t first[ORIGIN_KEEPERS_MAX + 1];
      uint32_t selected = select_first (&selection, first);

      for (uint32_t i = 0; i < selected; i++)
        if (gateways[first[i]] != self)
          out[found++] = first[i];
    }
  return found;
}
