#include "request/policy/suspects/crash_record_private.h"

#include "base/clock.h"

#include <glib.h>
#include <string.h>

#define MARK_TIME_ERROR_US CLOCK_US_PER_S
#define SERVED_MAX 8192 /* subjects that are remembered as served */
#define LEAST_OF 64     /* entries of which one makes room for another */

/** struct rules - what differs by kind; @served_us: time in which what was served isn't blamed;
 * @needs_confirmation: see crash_record_confirm() */
typedef struct
{
  uint64_t served_us;
  bool needs_confirmation;
} rules_t;

static const rules_t rules[] = { [CRASH_SUBJECT_REQUEST] = { .served_us = CRASH_RECORD_SERVED_US },
                                 [CRASH_SUBJECT_PART] = { .served_us = CRASH_RECORD_PART_SERVED_US,
                                                          .needs_confirmation = true } };

crash_record_t *
crash_record_new (const crash_record_options_t *options)
{
  crash_record_t *record = g_new0 (crash_record_t, 1);

  g_assert (options->limit > 0);
  record->options = *options;
  record->by_fingerprint = g_hash_table_new (g_int64_hash, g_int64_equal);
  record->list = g_ptr_array_new_with_free_func (g_free);
  record->served = recent_answers_new (SERVED_MAX, CRASH_RECORD_SERVED_US);
  return record;
}

void
crash_record_free (crash_record_t *record)
{
  if (!record)
    return;
  g_hash_table_destroy (record->by_fingerprint);
  g_ptr_array_free (record->list, TRUE);
  recent_answers_free (record->served);
  g_free (record);
}

static void
remove_entry (crash_record_t *record, entry_t *entry)
{
  g_hash_table_remove (record->by_fingerprint, &entry->fingerprint);
  g_ptr_array_remove_fast (record->list, entry);
}

/* Of the parts of long prompts that one engine took with it those go first on which it had worked
 * longest: a part that ends engines does so as its request begins. */
static bool
goes_before (const entry_t *one, const entry_t *other)
{
  bool is_same_loss = one->changed_us < other->changed_us + CRASH_RECORD_HOLD_US &&
                      other->changed_us < one->changed_us + CRASH_RECORD_HOLD_US;

  if (one->count != other->count)
    return one->count < other->count;
  return is_same_loss && one->ran_us != other->ran_us ? one->ran_us > other->ran_us
                                                      : one->changed_us < other->changed_us;
}

/* One with few crashes goes first, and of these the oldest, among some: a prompt may have thousands
 * of parts. */
static void
remove_least (crash_record_t *record)
{
  entry_t *least = NULL;

  for (guint i = 0; i < MIN (record->list->len, LEAST_OF); i++)
    {
      entry_t *entry = g_ptr_array_index (record->list, record->looked_at++ % record->list->len);

      if (!least || goes_before (entry, least))
        least = entry;
    }
  remove_entry (record, least);
}

static entry_t *
find_or_add (crash_record_t *record, uint64_t fingerprint, crash_subject_kind_t kind)
{
  entry_t *entry = find_entry (record, fingerprint);

  if (entry)
    return entry;
  if (record->list->len >= record->options.limit)
    remove_least (record);
  entry = g_new0 (entry_t, 1);
  entry->fingerprint = fingerprint;
  entry->kind = kind;
  g_ptr_array_add (record->list, entry);
  g_hash_table_insert (record->by_fingerprint, &entry->fingerprint, entry);
  return entry;
}

static bool
has_engine (const entry_t *entry, uint64_t engine_hash)
{
  for (uint32_t i = 0; i < entry->count; i++)
    if (entry->crashes[i].engine_hash == engine_hash)
      return true;
  return false;
}

/* Whether a part would be refused for the crashes of one request, which may itself be to blame. */
static bool
lacks_other_request (const entry_t *entry, uint32_t request)
{
  if (request == 0 || entry->count + 1 < CRASH_MARK_ENGINES)
    return false;
  for (uint32_t i = 0; i < entry->count; i++)
    if (entry->crashes[i].request == request)
      return true;
  return false;
}

static bool
is_unconfirmed (const entry_t *entry)
{
  return is_final (entry) && rules[entry->kind].needs_confirmation && !entry->confirmed;
}

static void
drop_crash (entry_t *entry, uint32_t index)
{
  entry->count--;
  memmove (&entry->crashes[index], &entry->crashes[index + 1],
           (entry->count - index) * sizeof entry->crashes[0]);
}

/* An engine that answers what was sent to it after the loss did not end by it; nor did one whose
 * entry outlives it, even if it goes later. */
static bool
is_refuted (const crash_record_t *record,
            uint64_t now_us,
            const crash_t *crash,
            const crash_record_engine_t *engine)
{
  uint64_t proven_from_us = MAX (crash->lost_us, record->unproven_us);

  return engine->state == CRASH_RECORD_ENGINE_LEAVING || engine->sound_us > crash->lost_us ||
         now_us > proven_from_us + CRASH_RECORD_PROOF_US;
}

/* Return: engines that broke off under the subject together with a crash, that one too */
static uint32_t
count_engines_around (const entry_t *entry, const crash_t *crash)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < entry->count; i++)
    {
      const crash_t *other = &entry->crashes[i];

      if (other->lost_us < crash->lost_us + CRASH_RECORD_COMMON_CAUSE_US &&
          crash->lost_us < other->lost_us + CRASH_RECORD_COMMON_CAUSE_US)
        count += 1 + other->together;
    }
  return count;
}

static bool
is_excused (const crash_record_t *record, const entry_t *entry, const crash_t *crash)
{
  return crash->service_hash != 0 &&
         loss_bursts_excuse (&record->bursts, crash->lost_us, crash->service_hash,
                             count_engines_around (entry, crash));
}

/* Return: whether the crash still counts */
static bool
review_crash (const crash_record_t *record, uint64_t now_us, const entry_t *entry, crash_t *crash)
{
  crash_record_engine_t engine;

  if (crash->certain)
    return true;
  engine = record->options.get_engine (crash->engine_hash, record->options.context);
  if (is_refuted (record, now_us, crash, &engine) || is_excused (record, entry, crash))
    return false;
  crash->certain = engine.state == CRASH_RECORD_ENGINE_ENDED;
  return true;
}

void
crash_record_announce (crash_record_t *record, entry_t *entry, uint32_t sends)
{
  entry->sends_left = MAX (entry->sends_left, sends);
  entry->owners_due = false;
  record->news_us = record->news_us == 0 ? entry->held_until_us + 1
                                         : MIN (record->news_us, entry->held_until_us + 1);
}

static void
note_later_crash (crash_record_t *record, entry_t *entry)
{
  if (entry->later.lost_us > entry->changed_us + MARK_TIME_ERROR_US)
    crash_record_announce (record, entry, CRASH_RECORD_SENDS);
  entry->changed_us = entry->later.lost_us;
}

void
crash_record_review_entry (crash_record_t *record, uint64_t now_us, entry_t *entry)
{
  uint32_t i = 0;

  while (i < entry->count)
    if (review_crash (record, now_us, entry, &entry->crashes[i]))
      i++;
    else
      drop_crash (entry, i);
  entry->confirmed = entry->confirmed && is_final (entry);
  entry->has_later = entry->has_later && review_crash (record, now_us, entry, &entry->later);
  if (entry->has_later && entry->later.certain && entry->later.lost_us > entry->changed_us)
    note_later_crash (record, entry);
  if (entry->count < CRASH_RECORD_TRIAL_CRASHES && !entry->is_cleared)
    entry->sends_left = 0;
}

static void
add_crash (crash_record_t *record, entry_t *entry, const crash_t *crash)
{
  crash_record_engine_t engine =
      record->options.get_engine (crash->engine_hash, record->options.context);

  entry->crashes[entry->count] = *crash;
  entry->crashes[entry->count++].certain = engine.state == CRASH_RECORD_ENGINE_ENDED;
  entry->is_cleared = false;
  entry->changed_us = MAX (entry->changed_us, crash->lost_us);
  if (is_final (entry))
    entry->final_us = entry->changed_us;
}

/* Whether a crash may have the cause of the last one that is counted, whichever came first. */
static bool
may_have_same_cause (const entry_t *entry, const crash_t *crash)
{
  const crash_t *last;

  if (entry->count == 0)
    return false;
  last = last_crash (entry);
  return crash->sent_us < last->lost_us && last->sent_us < crash->lost_us &&
         crash->lost_us < last->lost_us + CRASH_RECORD_COMMON_CAUSE_US &&
         last->lost_us < crash->lost_us + CRASH_RECORD_COMMON_CAUSE_US;
}

static void
note_together (entry_t *entry, uint64_t engine_hash)
{
  crash_t *last = &entry->crashes[entry->count - 1];

  if (last->last_together == engine_hash)
    return;
  last->last_together = engine_hash;
  last->together++;
}

/* An engine that broke off at once and answered nothing may have ended before the request came,
 * together with others. Return: the time from which the request may have been there */
static uint64_t
compute_sent_us (uint64_t now_us, const crash_record_loss_t *loss)
{
  bool is_reached = loss->ran_us > 0 || now_us >= loss->sent_us + CRASH_RECORD_REACH_US;

  return is_reached ? loss->sent_us
                    : MIN (loss->sent_us, now_us - MIN (CRASH_RECORD_MOMENT_US, now_us));
}

crash_record_outcome_t
crash_record_add_loss (crash_record_t *record, uint64_t now_us, const crash_record_loss_t *loss)
{
  crash_record_engine_t engine =
      record->options.get_engine (loss->engine_hash, record->options.context);
  crash_t crash = { .engine_hash = loss->engine_hash,
                    .sent_us = compute_sent_us (now_us, loss),
                    .request = loss->kind == CRASH_SUBJECT_PART ? (uint32_t)loss->request : 0,
                    .lost_us = now_us,
                    .service_hash = loss->service_hash };
  crash_subject_t subject = { loss->fingerprint, loss->kind };
  entry_t *entry;

  if (loss->engines_in_use > 0)
    loss_bursts_add (&record->bursts, now_us, loss->service_hash, loss->engine_hash,
                     loss->engines_in_use);
  if (crash_record_was_served (record, now_us, subject))
    return CRASH_RECORD_SERVED;
  if (engine.state == CRASH_RECORD_ENGINE_LEAVING)
    return CRASH_RECORD_PLANNED;
  if (engine.broke_us != 0 && engine.broke_us >= engine.sound_us && loss->sent_us > engine.broke_us)
    return CRASH_RECORD_DOWN;
  entry = find_or_add (record, loss->fingerprint, loss->kind);
  crash_record_review_entry (record, now_us, entry);
  entry->losses++;
  entry->ran_us = loss->ran_us;
  if (loss->engines_in_use > LOSS_BURSTS_ENGINES_MIN && entry->count == 0)
    entry->held_until_us = now_us + CRASH_RECORD_HOLD_US;
  if (is_final (entry))
    {
      entry->later = crash;
      entry->has_later = true;
    }
  if (is_final (entry) || has_engine (entry, loss->engine_hash) ||
      lacks_other_request (entry, crash.request))
    return CRASH_RECORD_KNOWN;
  if (may_have_same_cause (entry, &crash))
    {
      note_together (entry, loss->engine_hash);
      return CRASH_RECORD_TOGETHER;
    }
  if (is_excused (record, entry, &crash))
    return CRASH_RECORD_TOGETHER;
  add_crash (record, entry, &crash);
  if (entry->count >= CRASH_RECORD_TRIAL_CRASHES)
    crash_record_announce (record, entry, CRASH_RECORD_SENDS);
  else
    entry->owners_due = true;
  return CRASH_RECORD_COUNTED;
}

/* The entry stays for a time without crashes, so that an older mark doesn't bring them back. */
static void
clear_entry (crash_record_t *record, entry_t *entry, uint64_t cleared_us)
{
  bool all_know = entry->count >= CRASH_RECORD_TRIAL_CRASHES || entry->sends_left > 0;

  entry->count = 0;
  entry->losses = 0;
  entry->confirmed = false;
  entry->has_later = false;
  entry->claim = (claim_t){ 0 };
  entry->is_cleared = true;
  entry->changed_us = cleared_us;
  if (all_know)
    crash_record_announce (record, entry, CRASH_RECORD_SENDS);
  else
    entry->owners_due = entry->told;
}

bool
crash_record_note_served (crash_record_t *record, uint64_t now_us, uint64_t fingerprint)
{
  entry_t *entry = find_entry (record, fingerprint);

  recent_answers_add (record->served, now_us, fingerprint);
  if (!entry || entry->count == 0)
    return false;
  clear_entry (record, entry, now_us);
  return true;
}

bool
crash_record_was_served (const crash_record_t *record, uint64_t now_us, crash_subject_t subject)
{
  return recent_answers_contain_within (record->served, now_us, subject.fingerprint,
                                        rules[subject.kind].served_us);
}

/* The peer heard of it later than this gateway served it, or never: it is told. */
static bool
answer_by_clearing (crash_record_t *record, entry_t *entry, uint64_t now_us)
{
  bool is_new = entry->sends_left == 0 || entry->count > 0;

  entry->count = 0;
  entry->losses = 0;
  entry->confirmed = false;
  entry->has_later = false;
  entry->claim = (claim_t){ 0 };
  entry->is_cleared = true;
  entry->changed_us = now_us;
  crash_record_announce (record, entry, CRASH_RECORD_SENDS);
  return is_new;
}

static bool
merge_cleared (crash_record_t *record, entry_t *entry, uint64_t cleared_us)
{
  if (!entry || entry->count == 0 || cleared_us < entry->changed_us)
    return false;
  clear_entry (record, entry, cleared_us);
  return true;
}

static bool
is_sound (const crash_record_t *record, uint64_t engine_hash, uint64_t lost_us)
{
  crash_record_engine_t engine = record->options.get_engine (engine_hash, record->options.context);

  return engine.state == CRASH_RECORD_ENGINE_LEAVING || engine.sound_us > lost_us;
}

/* The crashes of a mark are separate ones, but the last ones of two gateways may have one cause.
 * Then the gateway that names more counts. */
static bool
merge_engines (crash_record_t *record, entry_t *entry, const crash_mark_t *mark, crash_t crash)
{
  uint32_t before = entry->count;

  if (may_have_same_cause (entry, &crash))
    {
      if (mark->engine_count <= entry->count)
        return false;
      entry->count = 0;
    }
  for (uint32_t i = 0; i < mark->engine_count && !is_final (entry); i++)
    {
      crash.engine_hash = mark->engines[i];
      crash.request = i + 1 == mark->engine_count && !mark->claimed ? mark->request : 0;
      if (!has_engine (entry, crash.engine_hash) && !lacks_other_request (entry, crash.request) &&
          !is_sound (record, crash.engine_hash, crash.lost_us))
        add_crash (record, entry, &crash);
    }
  return entry->count > before;
}

/* The peer knows of a later crash of what is refused already. The time that a message takes makes
 * crashes look later than they were. Return: whether it was not known */
static bool
adopt_later_crash (crash_record_t *record,
                   entry_t *entry,
                   const crash_mark_t *mark,
                   uint64_t lost_us)
{
  if (!is_final (entry) || mark->engine_count != CRASH_MARK_ENGINES ||
      lost_us <= entry->changed_us + MARK_TIME_ERROR_US)
    return false;
  entry->changed_us = lost_us;
  crash_record_announce (record, entry, CRASH_RECORD_SENDS);
  return true;
}

/* Return: whether it was not known */
static bool
adopt_confirmation (crash_record_t *record, entry_t *entry, const crash_mark_t *mark)
{
  if (!mark->confirmed || entry->confirmed || !is_final (entry))
    return false;
  entry->confirmed = true;
  crash_record_announce (record, entry, CRASH_RECORD_SENDS);
  return true;
}

static uint64_t
time_ago_us (uint64_t now_us, uint32_t age_ms)
{
  uint64_t age_us = (uint64_t)age_ms * CLOCK_US_PER_MS;

  return now_us - MIN (age_us, now_us);
}

bool
crash_record_merge (crash_record_t *record, uint64_t now_us, const crash_mark_t *mark)
{
  crash_t crash = { .sent_us = mark->claimed ? 0 : time_ago_us (now_us, mark->sent_age_ms),
                    .lost_us = time_ago_us (now_us, mark->age_ms) };
  crash_subject_t subject = { mark->fingerprint, mark->kind };
  bool is_new;
  entry_t *entry;

  if ((uint64_t)mark->age_ms * CLOCK_US_PER_MS > record->options.lifetime_us)
    return false;
  if (mark->engine_count == 0)
    return merge_cleared (record, find_entry (record, mark->fingerprint), crash.lost_us);
  entry = find_or_add (record, mark->fingerprint, mark->kind);
  if (crash_record_was_served (record, now_us, subject))
    return answer_by_clearing (record, entry, now_us);
  if (entry->is_cleared && crash.lost_us <= entry->changed_us)
    return false;
  crash_record_review_entry (record, now_us, entry);
  /* The peer may have just started: the reply tells it. */
  if (entry->count >= CRASH_RECORD_TRIAL_CRASHES && mark->engine_count < entry->count)
    entry->sends_left = MAX (entry->sends_left, 1);
  is_new = adopt_later_crash (record, entry, mark, crash.lost_us);
  is_new = crash_record_merge_claim (record, now_us, entry, mark) || is_new;
  is_new = adopt_confirmation (record, entry, mark) || is_new;
  if (is_new)
    return true;
  if (is_final (entry) || !merge_engines (record, entry, mark, crash))
    return false;
  adopt_confirmation (record, entry, mark);
  crash_record_merge_claim (record, now_us, entry, mark);
  if (entry->count >= CRASH_RECORD_TRIAL_CRASHES)
    crash_record_announce (record, entry, CRASH_RECORD_SENDS);
  return true;
}

crash_record_verdict_t
crash_record_check (crash_record_t *record, uint64_t now_us, uint64_t fingerprint)
{
  entry_t *entry = find_entry (record, fingerprint);

  if (!entry)
    return CRASH_RECORD_ALLOWED;
  crash_record_review_entry (record, now_us, entry);
  if (entry->count < CRASH_RECORD_TRIAL_CRASHES)
    return CRASH_RECORD_ALLOWED;
  if (!is_final (entry) || is_unconfirmed (entry))
    return CRASH_RECORD_ON_TRIAL;
  for (uint32_t i = 0; i < entry->count; i++)
    if (!entry->crashes[i].certain)
      return CRASH_RECORD_PENDING;
  return CRASH_RECORD_REFUSED;
}

bool
crash_record_needs_confirmation (const crash_record_t *record, uint64_t fingerprint)
{
  const entry_t *entry = find_entry (record, fingerprint);

  return entry && is_unconfirmed (entry);
}

void
crash_record_confirm (crash_record_t *record, uint64_t fingerprint)
{
  entry_t *entry = find_entry (record, fingerprint);

  g_assert (entry && is_final (entry));
  entry->confirmed = true;
  crash_record_announce (record, entry, CRASH_RECORD_SENDS);
}

uint32_t
crash_record_count_crashes (const crash_record_t *record, uint64_t fingerprint)
{
  const entry_t *entry = find_entry (record, fingerprint);

  return entry ? entry->count : 0;
}

bool
crash_record_is_empty (const crash_record_t *record)
{
  return record->list->len == 0;
}

void
crash_record_review (crash_record_t *record, uint64_t now_us, bool registry_current)
{
  if (!registry_current)
    record->unproven_us = now_us;
  for (guint i = record->list->len; i > 0; i--)
    {
      entry_t *entry = g_ptr_array_index (record->list, i - 1);

      crash_record_review_entry (record, now_us, entry);
      if ((entry->count == 0 && !entry->is_cleared) ||
          now_us > entry->changed_us + record->options.lifetime_us)
        remove_entry (record, entry);
    }
}
