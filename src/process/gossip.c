#include "process/gossip.h"

#include "base/clock.h"

#include <glib.h>
#include <string.h>

static gossip_report_t *
find_report_slot (gossip_t *gossip, uint64_t host_hash)
{
  gossip_report_t *most_sent = &gossip->reports[0];
  for (uint32_t i = 0; i < GOSSIP_SLOTS; i++)
    {
      gossip_report_t *slot = &gossip->reports[i];
      if (slot->report.host_hash == host_hash)
        return slot;
      if (slot->sends_left < most_sent->sends_left)
        most_sent = slot;
    }
  return most_sent;
}

static gossip_mark_t *
find_mark_slot (gossip_t *gossip, uint64_t fingerprint)
{
  gossip_mark_t *most_sent = &gossip->marks[0];
  for (uint32_t i = 0; i < GOSSIP_SLOTS; i++)
    {
      gossip_mark_t *slot = &gossip->marks[i];
      if (slot->mark.fingerprint == fingerprint)
        return slot;
      if (slot->sends_left < most_sent->sends_left)
        most_sent = slot;
    }
  return most_sent;
}

static bool
mark_has_engine (const suspect_mark_t *mark, uint64_t engine_hash)
{
  for (uint32_t i = 0; i < LIMIT_SUSPECT_CRASHES; i++)
    {
      if (mark->engines[i] == engine_hash)
        return true;
    }
  return false;
}

/* Adds the engines of @other to @mark. Return: whether one was new */
static bool
merge_engines (suspect_mark_t *mark, const suspect_mark_t *other)
{
  bool added = false;
  for (uint32_t i = 0; i < LIMIT_SUSPECT_CRASHES; i++)
    {
      if (other->engines[i] == 0 || mark_has_engine (mark, other->engines[i]))
        continue;
      for (uint32_t j = 0; j < LIMIT_SUSPECT_CRASHES; j++)
        {
          if (mark->engines[j] != 0)
            continue;
          mark->engines[j] = other->engines[i];
          added = true;
          break;
        }
    }
  return added;
}

static gossip_report_t *
least_sent_report (gossip_t *gossip, const bool *taken)
{
  gossip_report_t *best = NULL;
  for (uint32_t i = 0; i < GOSSIP_SLOTS; i++)
    {
      gossip_report_t *slot = &gossip->reports[i];
      if (taken[i] || slot->sends_left == 0)
        continue;
      if (best == NULL || slot->sends_left > best->sends_left)
        best = slot;
    }
  return best;
}

static gossip_mark_t *
least_sent_mark (gossip_t *gossip, uint64_t now_us, const bool *taken)
{
  gossip_mark_t *best = NULL;
  for (uint32_t i = 0; i < GOSSIP_SLOTS; i++)
    {
      gossip_mark_t *slot = &gossip->marks[i];
      if (taken[i] || slot->sends_left == 0 || now_us - slot->created_us > GOSSIP_MARK_MAX_AGE_US)
        continue;
      if (best == NULL || slot->sends_left > best->sends_left)
        best = slot;
    }
  return best;
}

void
gossip_init (gossip_t *gossip)
{
  memset (gossip, 0, sizeof *gossip);
}

void
gossip_add_report (gossip_t *gossip, const membership_report_t *report)
{
  gossip_report_t *slot = find_report_slot (gossip, report->host_hash);
  slot->report = *report;
  slot->sends_left = GOSSIP_SENDS;
}

/* Return: whether @mark is new; it is not when the request was cleared later than it, or crashed an
 * engine later than it was cleared */
static bool
update_mark (gossip_mark_t *slot, const suspect_mark_t *mark, uint64_t created_us)
{
  bool known = slot->mark.fingerprint == mark->fingerprint;
  bool cleared = known && suspect_mark_is_cleared (&slot->mark);

  if (suspect_mark_is_cleared (mark))
    {
      if (cleared || (known && created_us < slot->created_us))
        return false;
      slot->mark = *mark;
      slot->created_us = created_us;
      return true;
    }
  if (cleared && created_us <= slot->created_us)
    return false;
  if (!known)
    memset (slot, 0, sizeof *slot);
  slot->mark.fingerprint = mark->fingerprint;
  if (!merge_engines (&slot->mark, mark))
    return false;
  slot->created_us = MAX (slot->created_us, created_us);
  return true;
}

bool
gossip_add_mark (gossip_t *gossip, uint64_t now_us, const suspect_mark_t *mark)
{
  uint64_t age_us = (uint64_t)mark->age_ms * CLOCK_US_PER_MS;
  if (age_us > GOSSIP_MARK_MAX_AGE_US)
    return false;
  gossip_mark_t *slot = find_mark_slot (gossip, mark->fingerprint);
  uint64_t created_us = now_us - MIN (age_us, now_us);
  if (!update_mark (slot, mark, created_us))
    return false;
  slot->sends_left = GOSSIP_SENDS;
  return true;
}

uint32_t
gossip_take_reports (gossip_t *gossip, membership_report_t *out, uint32_t want)
{
  bool taken[GOSSIP_SLOTS] = { false };
  uint32_t count = 0;
  while (count < want)
    {
      gossip_report_t *slot = least_sent_report (gossip, taken);
      if (slot == NULL)
        break;
      taken[slot - gossip->reports] = true;
      slot->sends_left--;
      out[count++] = slot->report;
    }
  return count;
}

uint32_t
gossip_take_marks (gossip_t *gossip, uint64_t now_us, suspect_mark_t *out, uint32_t want)
{
  bool taken[GOSSIP_SLOTS] = { false };
  uint32_t count = 0;
  while (count < want)
    {
      gossip_mark_t *slot = least_sent_mark (gossip, now_us, taken);
      if (slot == NULL)
        break;
      taken[slot - gossip->marks] = true;
      slot->sends_left--;
      out[count] = slot->mark;
      out[count++].age_ms = (uint32_t)((now_us - slot->created_us) / CLOCK_US_PER_MS);
    }
  return count;
}
