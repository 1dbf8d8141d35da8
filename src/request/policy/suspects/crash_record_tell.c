/* What a gateway tells the others of its crashes: to the owners of a fingerprint, or to all. */
#include "request/policy/suspects/crash_record_private.h"

#include "base/clock.h"

#include <xxhash.h>

static uint32_t
age_ms (uint64_t now_us, uint64_t then_us)
{
  return (uint32_t)((now_us - MIN (then_us, now_us)) / CLOCK_US_PER_MS);
}

static crash_mark_t
make_mark (const entry_t *entry, uint64_t now_us)
{
  crash_mark_t mark = { .fingerprint = entry->fingerprint,
                        .kind = entry->kind,
                        .confirmed = entry->confirmed,
                        .engine_count = entry->count,
                        .age_ms = age_ms (now_us, entry->changed_us),
                        .sent_age_ms = UINT32_MAX };

  for (uint32_t i = 0; i < entry->count; i++)
    mark.engines[i] = entry->crashes[i].engine_hash;
  if (entry->count > 0 && last_crash (entry)->sent_us > 0)
    mark.sent_age_ms = age_ms (now_us, last_crash (entry)->sent_us);
  if (entry->count > 0)
    mark.request = last_crash (entry)->request;
  if (crash_record_has_claim (entry, now_us))
    {
      mark.claimed = true;
      mark.request = entry->claim.request;
      mark.sent_age_ms = age_ms (now_us, entry->claim.at_us);
    }
  return mark;
}

static uint32_t
parts_of (uint32_t engine_count)
{
  return MAX ((engine_count + CRASH_MARK_PART_ENGINES - 1) / CRASH_MARK_PART_ENGINES, 1U);
}

/* What is refused goes before what is on trial: under a burst of crashes many neighbours are, and
 * the one to blame ends engines until all have heard of it. A claim has the least time. */
static uint32_t
urgency (const entry_t *entry, uint64_t now_us)
{
  if (entry->sends_left == 0)
    return 0;
  if (crash_record_has_claim (entry, now_us))
    return entry->sends_left + CRASH_RECORD_SENDS;
  return entry->sends_left + (is_final (entry) ? CRASH_RECORD_SENDS / 2 : 0);
}

static entry_t *
least_sent (const crash_record_t *record,
            uint64_t now_us,
            entry_t *const *taken,
            uint32_t taken_count)
{
  entry_t *best = NULL;

  for (guint i = 0; i < record->list->len; i++)
    {
      entry_t *entry = g_ptr_array_index (record->list, i);
      bool is_taken = false;

      for (uint32_t j = 0; j < taken_count; j++)
        is_taken = is_taken || taken[j] == entry;
      if (!is_taken && now_us >= entry->held_until_us &&
          urgency (entry, now_us) > (best ? urgency (best, now_us) : 0))
        best = entry;
    }
  return best;
}

static entry_t *
next_in_turn (crash_record_t *record, uint32_t room)
{
  for (guint i = 0; i < record->list->len; i++)
    {
      entry_t *entry = g_ptr_array_index (record->list, record->next++ % record->list->len);

      if (entry->sends_left == 0 && entry->count >= CRASH_RECORD_TRIAL_CRASHES &&
          room >= parts_of (entry->count))
        return entry;
    }
  return NULL;
}

uint32_t
crash_mark_parts (const crash_mark_t *mark)
{
  return parts_of (mark->engine_count);
}

#define TAKE_MAX 8 /* marks of one message */

uint32_t
crash_record_take_marks (crash_record_t *record, uint64_t now_us, crash_mark_t *out, uint32_t room)
{
  entry_t *taken[TAKE_MAX];
  uint32_t count = 0;
  uint32_t used = 0;
  entry_t *entry;

  while (count < TAKE_MAX && (entry = least_sent (record, now_us, taken, count)))
    {
      crash_mark_t mark = make_mark (entry, now_us);

      used += crash_mark_parts (&mark);
      if (used > room)
        break;
      entry->sends_left--;
      entry->told = true;
      taken[count] = entry;
      out[count++] = mark;
    }
  if (count == 0 && used == 0 && (entry = next_in_turn (record, room)))
    out[count++] = make_mark (entry, now_us);
  return count;
}

bool
crash_record_take_news (crash_record_t *record, uint64_t now_us)
{
  if (record->news_us == 0 || now_us < record->news_us)
    return false;
  record->news_us = 0;
  return true;
}

/* Whether the owners are to be told of one sooner than of another: what was lost more often, then
 * the crash that came last, and of one crash the request on which the engine had worked least. With
 * the oldest first, a gateway that loses more than it may tell would never come to the next crash.
 */
static bool
is_told_before (const entry_t *one, const entry_t *other)
{
  if (one->losses != other->losses)
    return one->losses > other->losses;
  if (one->changed_us > other->changed_us + CRASH_RECORD_HOLD_US ||
      other->changed_us > one->changed_us + CRASH_RECORD_HOLD_US)
    return one->changed_us > other->changed_us;
  return one->ran_us < other->ran_us;
}

bool
crash_record_take_owner_mark (crash_record_t *record, uint64_t now_us, crash_mark_t *out)
{
  entry_t *first = NULL;

  for (guint i = 0; i < record->list->len; i++)
    {
      entry_t *entry = g_ptr_array_index (record->list, i);

      crash_record_review_entry (record, now_us, entry);
      if (entry->owners_due && now_us >= entry->held_until_us &&
          (entry->count > 0 || entry->told) && (!first || is_told_before (entry, first)))
        first = entry;
    }
  if (!first)
    return false;
  first->owners_due = false;
  first->told = first->count > 0;
  *out = make_mark (first, now_us);
  return true;
}

uint64_t
crash_record_rank_owner (uint64_t fingerprint, uint64_t gateway_hash)
{
  return XXH64 (&gateway_hash, sizeof gateway_hash, fingerprint);
}
