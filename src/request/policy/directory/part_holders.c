#include "request/policy/directory/part_holders.h"

#include <glib.h>

/** struct entry - the engines of one part; @part: 0 for an empty entry; @requests: of this gateway,
 * counted up to %PART_HOLDERS_SHARED_REQUESTS */
typedef struct
{
  uint64_t part;
  uint64_t known_us;
  uint32_t requests;
  part_holder_t engines[PART_HOLDERS_PER_PART];
} entry_t;

struct part_holders
{
  entry_t *entries;
  uint32_t sets;
};

part_holders_t *
part_holders_new (uint32_t parts)
{
  part_holders_t *holders = g_new0 (part_holders_t, 1);

  holders->sets = MAX (parts / PART_HOLDERS_WAYS, 1U);
  holders->entries = g_new0 (entry_t, (gsize)holders->sets * PART_HOLDERS_WAYS);
  return holders;
}

void
part_holders_free (part_holders_t *holders)
{
  if (!holders)
    return;
  g_free (holders->entries);
  g_free (holders);
}

static entry_t *
set_of (const part_holders_t *holders, uint64_t part)
{
  return &holders->entries[part % holders->sets * PART_HOLDERS_WAYS];
}

static entry_t *
find (const part_holders_t *holders, uint64_t part)
{
  entry_t *set = set_of (holders, part);

  for (uint32_t i = 0; i < PART_HOLDERS_WAYS; i++)
    if (set[i].part == part)
      return &set[i];
  return NULL;
}

/* Replaces the part of the set that was known least lately. */
static entry_t *
replace (part_holders_t *holders, uint64_t part)
{
  entry_t *set = set_of (holders, part);
  entry_t *oldest = &set[0];

  for (uint32_t i = 1; i < PART_HOLDERS_WAYS; i++)
    if (set[i].known_us < oldest->known_us)
      oldest = &set[i];
  *oldest = (entry_t){ .part = part };
  return oldest;
}

static bool
is_held (const part_holder_t *holder, uint64_t now_us)
{
  return holder->engine != 0 && now_us < holder->known_us + PART_HOLDERS_LIFETIME_US;
}

static part_holder_t *
find_engine (entry_t *entry, uint64_t engine)
{
  for (uint32_t i = 0; i < PART_HOLDERS_PER_PART; i++)
    if (entry->engines[i].engine == engine)
      return &entry->engines[i];
  return NULL;
}

static part_holder_t *
find_oldest (entry_t *entry)
{
  part_holder_t *oldest = &entry->engines[0];

  for (uint32_t i = 1; i < PART_HOLDERS_PER_PART; i++)
    if (entry->engines[i].known_us < oldest->known_us)
      oldest = &entry->engines[i];
  return oldest;
}

/* Return: the place of the engine in the entry, with the time set; NULL for a report that is older
 * than all that is known of the part, which pushes no engine out */
static part_holder_t *
set_known (entry_t *entry, uint64_t engine, uint64_t known_us)
{
  part_holder_t *holder = find_engine (entry, engine);

  if (!holder)
    {
      holder = find_oldest (entry);
      if (known_us < holder->known_us)
        return NULL;
      *holder = (part_holder_t){ .engine = engine };
    }
  holder->known_us = MAX (holder->known_us, known_us);
  entry->known_us = MAX (entry->known_us, known_us);
  return holder;
}

static entry_t *
find_or_replace (part_holders_t *holders, uint64_t now_us, uint64_t part)
{
  entry_t *entry = find (holders, part);

  if (entry && now_us >= entry->known_us + PART_HOLDERS_LIFETIME_US)
    entry->requests = 0;
  return entry ? entry : replace (holders, part);
}

bool
part_holders_note_answer (part_holders_t *holders, uint64_t now_us, uint64_t part, uint64_t engine)
{
  part_holder_t *holder;
  entry_t *entry;

  if (part == 0 || engine == 0)
    return false;
  entry = find_or_replace (holders, now_us, part);
  holder = set_known (entry, engine, now_us);
  entry->requests = MIN (entry->requests + 1, PART_HOLDERS_SHARED_REQUESTS);
  if (!holder || entry->requests < PART_HOLDERS_SHARED_REQUESTS ||
      (holder->told_us != 0 && now_us < holder->told_us + PART_HOLDERS_RETELL_US))
    return false;
  holder->told_us = now_us;
  return true;
}

bool
part_holders_note_report (
    part_holders_t *holders, uint64_t now_us, uint64_t part, uint64_t engine, uint64_t known_us)
{
  part_holder_t report = { .engine = engine, .known_us = MIN (known_us, now_us) };
  part_holder_t *holder;

  if (part == 0 || !is_held (&report, now_us))
    return false;
  holder = set_known (find_or_replace (holders, now_us, part), engine, report.known_us);
  if (!holder ||
      (holder->told_us != 0 && report.known_us < holder->told_us + PART_HOLDERS_PASS_ON_US))
    return false;
  holder->told_us = report.known_us;
  return true;
}

uint32_t
part_holders_get (const part_holders_t *holders,
                  uint64_t now_us,
                  uint64_t part,
                  part_holder_t *found)
{
  const entry_t *entry = part != 0 ? find (holders, part) : NULL;
  uint32_t count = 0;

  for (uint32_t i = 0; entry && i < PART_HOLDERS_PER_PART; i++)
    if (is_held (&entry->engines[i], now_us))
      found[count++] = entry->engines[i];
  return count;
}
