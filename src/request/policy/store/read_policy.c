#include "request/policy/store/read_policy.h"

#include <glib.h>
#include <string.h>

static void
insert_report (read_policy_t *read_policy, const read_policy_report_t *report)
{
  read_policy_report_t *reports = read_policy->reports;
  uint32_t at = read_policy->report_count;

  while (at > 0 && position_is_before (report->next, reports[at - 1].next))
    at--;
  if (at > 0 && position_equal (reports[at - 1].next, report->next))
    {
      reports[at - 1].store_us = MAX (reports[at - 1].store_us, report->store_us);
      return;
    }
  if (read_policy->report_count == READ_POLICY_REPORTS)
    {
      read_policy_report_t *last = &reports[READ_POLICY_REPORTS - 1];

      last->next = position_later (last->next, report->next);
      last->store_us = MAX (last->store_us, report->store_us);
      return;
    }
  memmove (&reports[at + 1], &reports[at], (read_policy->report_count - at) * sizeof *reports);
  reports[at] = *report;
  read_policy->report_count++;
}

/* A peer with an earlier position confirms nothing: the store may have answered it before the new
 * records, or before it came back from a copy. */
void
read_policy_apply_peer (read_policy_t *read_policy,
                        uint64_t now_us,
                        position_t theirs,
                        position_t ours,
                        uint64_t store_us)
{
  if (position_equal (theirs, ours))
    read_policy->current_as_of_us = MAX (read_policy->current_as_of_us, store_us);
  if (!position_is_before (ours, theirs))
    return;
  insert_report (read_policy, &(read_policy_report_t){ theirs, store_us, now_us });
  read_policy->fetch_due = true;
  if (read_policy->behind_since_us == 0)
    read_policy->behind_since_us = now_us;
}

/* Whether the records of @report are no longer missing. A read that began after it has brought
 * them, if it left none missing. */
static bool
is_reached (const read_policy_report_t *report, const read_policy_view_t *view, position_t ours)
{
  return !position_is_before (ours, report->next) ||
         (view->read_started_us >= report->reported_us &&
          view->answered_us >= view->read_started_us);
}

/* While new records come quickly, peers always have a later position and never the same one. So
 * what the peer confirms counts once its copy has been applied. */
void
read_policy_caught_up (read_policy_t *read_policy, bool of_peer)
{
  for (uint32_t i = 0; of_peer && i < read_policy->report_count; i++)
    read_policy->current_as_of_us =
        MAX (read_policy->current_as_of_us, read_policy->reports[i].store_us);
  read_policy->report_count = 0;
  read_policy->behind_since_us = 0;
  read_policy->fetch_due = false;
  read_policy->new_records_too_large = false;
}

void
read_policy_fetch_started (read_policy_t *read_policy, uint64_t now_us)
{
  uint32_t count = read_policy->report_count;

  read_policy->fetch_started_us = now_us;
  read_policy->fetch_next = count > 0 ? read_policy->reports[count - 1].next : (position_t){ 0 };
}

void
read_policy_fetch_failed (read_policy_t *read_policy)
{
  read_policy->fetch_due = false;
  read_policy->new_records_too_large = false;
}

void
read_policy_fetch_ended (read_policy_t *read_policy,
                         const read_policy_view_t *view,
                         position_t ours)
{
  read_policy_update (read_policy, view, ours);
  if (position_is_before (ours, read_policy->fetch_next))
    read_policy_fetch_failed (read_policy);
}

/* The records that a peer declined to send were too large; those after them need not be. */
static void
note_progress (read_policy_t *read_policy, position_t ours)
{
  if (position_is_before (read_policy->ours, ours))
    read_policy->new_records_too_large = false;
  read_policy->ours = ours;
}

void
read_policy_update (read_policy_t *read_policy, const read_policy_view_t *view, position_t ours)
{
  uint64_t since_us = UINT64_MAX;
  uint32_t kept = 0;

  note_progress (read_policy, ours);
  for (uint32_t i = 0; i < read_policy->report_count; i++)
    {
      read_policy_report_t report = read_policy->reports[i];

      if (!position_is_before (ours, report.next))
        read_policy->current_as_of_us = MAX (read_policy->current_as_of_us, report.store_us);
      if (is_reached (&report, view, ours))
        continue;
      since_us = MIN (since_us, report.reported_us);
      read_policy->reports[kept++] = report;
    }
  read_policy->report_count = kept;
  if (kept > 0)
    read_policy->behind_since_us = since_us;
  else if (read_policy->behind_since_us != 0)
    read_policy_caught_up (read_policy, false);
}

void
read_policy_fetch_too_large (read_policy_t *read_policy)
{
  read_policy->new_records_too_large = true;
}

uint64_t
read_policy_current_as_of_us (const read_policy_t *read_policy, const read_policy_view_t *view)
{
  return MAX (read_policy->current_as_of_us, view->answered_us);
}

/* Return: until when the copy counts as current; 0 when it never did */
static uint64_t
current_until_us (const read_policy_t *read_policy,
                  const read_policy_stream_t *stream,
                  const read_policy_view_t *view)
{
  uint64_t known_us = read_policy_current_as_of_us (read_policy, view);
  uint64_t max_us = READ_POLICY_FRESH_US;

  if (stream->bound_us > 0)
    max_us = MIN (max_us, stream->bound_us * READ_POLICY_FRESH_MAX_PERCENT / 100);
  max_us = MAX (max_us, stream->bound_us * READ_POLICY_FRESH_PERCENT / 100);

  return known_us != 0 ? known_us + max_us : 0;
}

/* Whether it is this gateway's turn to read, when no peer has confirmed its copy since @since_us.
 */
static bool
has_turn (const read_policy_view_t *view, uint64_t since_us, uint64_t now_us)
{
  uint64_t first_turn_us = since_us + view->earlier_readers * READ_POLICY_TURN_US;
  uint64_t round_us = MAX (view->reader_count * READ_POLICY_TURN_US, READ_POLICY_ROUND_MIN_US);

  if (view->read_started_us < since_us)
    return now_us >= first_turn_us;
  return now_us >= view->read_started_us + round_us;
}

static bool
has_been_behind_for (const read_policy_t *read_policy, uint64_t now_us, uint64_t limit_us)
{
  return read_policy->behind_since_us != 0 && now_us >= read_policy->behind_since_us + limit_us;
}

/* Whether the store answered this gateway in its turn, and no peer confirms its copy yet. */
static bool
is_acting_follower (const read_policy_t *read_policy, const read_policy_view_t *view)
{
  return read_policy->reading_since_us != 0 && view->answered_us >= read_policy->reading_since_us &&
         !view->store_call_failed;
}

/*
 * The followers may be lost for a long time, and a gateway that reads in its turn may be the only
 * one that reaches the store. If it stopped until its copy is out of date again, new records would
 * exceed their bound. So it acts as a follower until a peer has a later answer of the store than
 * its own. One that knows of new records does not wait for its turn: those that lack them are few.
 */
read_policy_action_t
read_policy_decide (read_policy_t *read_policy,
                    const read_policy_stream_t *stream,
                    const read_policy_view_t *view,
                    uint64_t now_us)
{
  uint64_t until_us = current_until_us (read_policy, stream, view);
  uint64_t patience_us = read_policy->new_records_too_large ? 0 : stream->patience_us;

  if (view->is_follower || !view->has_copy)
    return READ_POLICY_FOLLOW;
  if (read_policy->current_as_of_us > MAX (view->answered_us, read_policy->reading_since_us))
    read_policy->reading_since_us = 0;
  if (is_acting_follower (read_policy, view))
    return READ_POLICY_FOLLOW;
  if (now_us >= until_us && view->has_no_peers)
    return READ_POLICY_FOLLOW;
  if (!view->store_call_failed && has_been_behind_for (read_policy, now_us, patience_us))
    return READ_POLICY_READ_ONCE;
  if (now_us >= until_us && !has_turn (view, until_us, now_us))
    return READ_POLICY_WAIT;
  if (now_us >= until_us)
    {
      read_policy->reading_since_us =
          read_policy->reading_since_us != 0 ? read_policy->reading_since_us : now_us;
      return READ_POLICY_READ_ONCE;
    }
  return has_been_behind_for (read_policy, now_us, patience_us) ? READ_POLICY_READ_ONCE
                                                                : READ_POLICY_WAIT;
}

bool
read_policy_should_ask_peer (const read_policy_t *read_policy,
                             const read_policy_stream_t *stream,
                             const read_policy_view_t *view,
                             uint64_t now_us)
{
  uint64_t patience_us = view->is_follower ? stream->patience_us : 0;

  if (read_policy->new_records_too_large)
    {
      patience_us = stream->patience_us;
      if (now_us < read_policy->fetch_started_us + patience_us)
        return false;
    }
  if (view->store_call_failed)
    patience_us = MIN (patience_us, READ_POLICY_ASK_PEER_US);
  return read_policy->fetch_due && has_been_behind_for (read_policy, now_us, patience_us);
}

bool
read_policy_may_have_lapsed (uint64_t out_until_us, bool unsure, uint64_t now_us)
{
  return unsure && out_until_us != 0 && now_us < out_until_us + READ_POLICY_LAPSE_US;
}
