#include "request/policy/claim.h"

#include "base/clock.h"
#include "base/limits.h"
#include "request/policy/claim_keys.h"
#include "request/policy/claim_pace.h"

#include <glib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/* A claim whose append was lost is given up after this, unless it is read back. */
#define LOST_WAIT_US CLK_US_PER_S
/* While appends fail and nothing else is left to append, one new claim may try this often. */
#define PROBE_US CLK_US_PER_S
/* So many refusals in a row are no surge that passes: callers must not wait for its end. */
#define REFUSALS_DOWN 5
/* A read may have been sent before the loss and so not show the append; the second was not. */
#define READS_AFTER_LOSS 2

/* wait_t - an own claim that is not judged yet */
typedef struct
{
  uint64_t claim_id[2];
  clm_key_t key;
  uint64_t expiry_us;
  uint64_t late_us; /* if it can't be sent by then, better tell so now */
  uint64_t give_up_us;
  void *owner;
  uint32_t sent_count;
} wait_t;

/* out_t - an entry that is to be appended */
typedef struct
{
  clr_t record;
  bool found; /* read back while its append was in flight or lost */
} out_t;

typedef struct
{
  clm_result_t result;
  clm_key_t key;
  uint64_t expiry_us;
} judged_t;

struct clm
{
  cky_t *keys;
  cpc_t pace;
  GHashTable *waiting; /* claim id -> wait_t */
  GQueue queue;        /* out_t to be appended, oldest first */
  GQueue flying;       /* out_t of the append in flight, or of a lost one until it is looked up */
  GQueue results;      /* judged_t */
  uint32_t held;       /* of @queue, done entries */
  uint64_t held_us;    /* since when the oldest of them waits */
  bool lost;           /* the append of @flying was lost */
  bool down;           /* appends were lost or refused and none has worked since */
  uint32_t reads_after_loss;
  uint64_t lost_us;
  uint64_t now_us;
  uint64_t horizon_us;
  uint64_t next_offset;
  uint64_t next_give_up_us;
  uint64_t broken;
};

static guint
id_hash (gconstpointer id)
{
  return (guint)XXH3_64bits (id, 2 * sizeof (uint64_t));
}

static gboolean
id_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, 2 * sizeof (uint64_t)) == 0;
}

static void
see_now (clm_t *clm, uint64_t now_us)
{
  clm->now_us = MAX (clm->now_us, now_us);
}

static void
judge (clm_t *clm, const wait_t *wait, clm_verdict_t verdict, uint32_t status)
{
  judged_t *judged = g_new0 (judged_t, 1);
  memcpy (judged->result.claim_id, wait->claim_id, sizeof wait->claim_id);
  judged->result.verdict = verdict;
  judged->result.status = status;
  judged->result.owner = wait->owner;
  judged->key = wait->key;
  judged->expiry_us = wait->expiry_us;
  g_queue_push_tail (&clm->results, judged);
}

/* take_queued() and put_queued() keep count of what may be held back. */
static out_t *
take_queued (clm_t *clm)
{
  out_t *out = g_queue_pop_head (&clm->queue);
  if (out != NULL && out->record.kind == CLR_DONE)
    clm->held--;
  return out;
}

static void
count_held (clm_t *clm)
{
  if (clm->held++ == 0)
    clm->held_us = clm->now_us;
}

static void
put_queued_first (clm_t *clm, out_t *out)
{
  if (out->record.kind == CLR_DONE)
    count_held (clm);
  g_queue_push_head (&clm->queue, out);
}

static out_t *
queued_end (clm_t *clm, const uint64_t claim_id[2])
{
  for (GList *link = clm->queue.head; link != NULL; link = link->next)
    {
      out_t *out = link->data;
      if (out->record.kind != CLR_CLAIM && id_equal (out->record.claim_id, claim_id))
        return out;
    }
  return NULL;
}

/* A claim that finds no room is dropped by its wait; a release or done that is dropped only leaves
 * the key held, and its resends hear that it may have run. */
static void
enqueue (
    clm_t *clm, clr_kind_t kind, const uint64_t claim_id[2], const clm_key_t *key, uint32_t status)
{
  if (clm->queue.length >= LIM_CLAIM_QUEUE)
    return;
  out_t *out = g_new0 (out_t, 1);
  out->record.kind = kind;
  memcpy (out->record.claim_id, claim_id, sizeof out->record.claim_id);
  out->record.key = *key;
  out->record.status = status;
  if (kind == CLR_DONE)
    count_held (clm);
  g_queue_push_tail (&clm->queue, out);
}

static void
enqueue_release (clm_t *clm, const uint64_t claim_id[2], const clm_key_t *key)
{
  if (queued_end (clm, claim_id) == NULL)
    enqueue (clm, CLR_RELEASE, claim_id, key, 0);
}

/* A claim that was sent may stand in the log or still be on its way there: only a release keeps it
 * from holding the key for nobody. It was never granted, so it never ran. */
static void
give_up (clm_t *clm, const wait_t *wait)
{
  judge (clm, wait, CLM_LOG_DOWN, 0);
  if (wait->sent_count > 0)
    enqueue_release (clm, wait->claim_id, &wait->key);
}

static void
sweep (clm_t *clm)
{
  if (clm->now_us < clm->next_give_up_us)
    return;
  clm->next_give_up_us = UINT64_MAX;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, clm->waiting);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      wait_t *wait = value;
      if (clm->now_us < wait->give_up_us)
        {
          clm->next_give_up_us = MIN (clm->next_give_up_us, wait->give_up_us);
          continue;
        }
      give_up (clm, wait);
      g_hash_table_iter_remove (&iter);
    }
}

static void
set_give_up (clm_t *clm, wait_t *wait, uint64_t give_up_us)
{
  wait->give_up_us = MIN (wait->give_up_us, give_up_us);
  clm->next_give_up_us = MIN (clm->next_give_up_us, wait->give_up_us);
}

static void
feed_claim (clm_t *clm, const clr_t *record)
{
  cky_verdict_t found = cky_claim (clm->keys, record);
  wait_t *wait = g_hash_table_lookup (clm->waiting, record->claim_id);
  if (wait == NULL)
    return;
  judge (clm, wait, found.verdict, found.status);
  /* A copy of it may still be on its way: dead, it can't take the key once that is free. */
  if (found.verdict != CLM_GRANTED && wait->sent_count > 1)
    enqueue_release (clm, wait->claim_id, &wait->key);
  g_hash_table_remove (clm->waiting, record->claim_id);
}

static void
mark_found (clm_t *clm, const clr_t *record)
{
  for (GList *link = clm->flying.head; link != NULL; link = link->next)
    {
      out_t *out = link->data;
      if (out->record.kind != record->kind || !id_equal (out->record.claim_id, record->claim_id))
        continue;
      out->found = true;
      if (clm->lost)
        clm->down = false; /* the append whose answer was lost took effect: the log works */
    }
}

static void
feed_entry (clm_t *clm, const clr_t *record)
{
  mark_found (clm, record);
  switch (record->kind)
    {
    case CLR_CLAIM:
      feed_claim (clm, record);
      break;
    case CLR_RELEASE:
      cky_release (clm->keys, record);
      break;
    case CLR_DONE:
      cky_done (clm->keys, record);
      break;
    }
}

static void
requeue_lost (clm_t *clm)
{
  out_t *out;
  while ((out = g_queue_pop_tail (&clm->flying)) != NULL)
    if (out->found)
      g_free (out);
    else
      put_queued_first (clm, out);
  clm->lost = false;
}

static bool
all_found (const clm_t *clm)
{
  for (const GList *link = clm->flying.head; link != NULL; link = link->next)
    if (!((const out_t *)link->data)->found)
      return false;
  return true;
}

static bool
still_wanted (clm_t *clm, const out_t *out)
{
  return out->record.kind != CLR_CLAIM ||
         g_hash_table_contains (clm->waiting, out->record.claim_id);
}

static void
take_off (clm_t *clm)
{
  while (clm->flying.length < LIM_CLAIM_ENTRIES && clm->queue.length > 0)
    {
      out_t *out = take_queued (clm);
      if (!still_wanted (clm, out))
        {
          g_free (out);
          continue;
        }
      if (out->record.kind == CLR_CLAIM)
        {
          wait_t *wait = g_hash_table_lookup (clm->waiting, out->record.claim_id);
          wait->sent_count++;
        }
      g_queue_push_tail (&clm->flying, out);
    }
}

/* The append took no effect: what it carried is as if it had never been sent. */
static void
take_back (clm_t *clm)
{
  out_t *out;
  while ((out = g_queue_pop_tail (&clm->flying)) != NULL)
    {
      wait_t *wait = g_hash_table_lookup (clm->waiting, out->record.claim_id);
      if (out->record.kind == CLR_CLAIM && wait != NULL)
        wait->sent_count--;
      put_queued_first (clm, out);
    }
}

static void
go_down (clm_t *clm)
{
  clm->down = true;
  clm->lost_us = clm->now_us;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, clm->waiting);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      wait_t *wait = value;
      set_give_up (clm, wait, wait->sent_count == 0 ? 0 : clm->now_us + LOST_WAIT_US);
    }
}

static uint64_t
expected_us (const clm_t *clm)
{
  uint32_t batches = clm->queue.length / LIM_CLAIM_ENTRIES + (clm->flying.length > 0 ? 1 : 0);
  return cpc_expected_us (&clm->pace, clm->now_us, batches);
}

/* Nobody shall wait for what can't come in time. */
static void
give_up_late (clm_t *clm)
{
  uint64_t next_us = cpc_expected_us (&clm->pace, clm->now_us, 0);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, clm->waiting);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      wait_t *wait = value;
      if (wait->sent_count == 0 && wait->late_us <= next_us)
        set_give_up (clm, wait, 0);
    }
}

clm_t *
clm_new (uint64_t horizon_us)
{
  clm_t *clm = g_new0 (clm_t, 1);
  clm->keys = cky_new ((uint32_t)(horizon_us / CLK_US_PER_S));
  clm->waiting = g_hash_table_new_full (id_hash, id_equal, NULL, g_free);
  clm->horizon_us = horizon_us;
  clm->next_give_up_us = UINT64_MAX;
  cpc_init (&clm->pace);
  return clm;
}

void
clm_free (clm_t *clm)
{
  if (clm == NULL)
    return;
  cky_free (clm->keys);
  g_hash_table_destroy (clm->waiting);
  g_queue_clear_full (&clm->queue, g_free);
  g_queue_clear_full (&clm->flying, g_free);
  g_queue_clear_full (&clm->results, g_free);
  g_free (clm);
}

static bool
has_ends (const clm_t *clm)
{
  for (const GList *link = clm->queue.head; link != NULL; link = link->next)
    if (((const out_t *)link->data)->record.kind != CLR_CLAIM)
      return true;
  return false;
}

/* Whether a new claim may wait for the log. While it is out they are refused at once. What was lost
 * is still to be appended, if only the releases of claims that were given up, and finds out when
 * the log is back; where nothing is left one claim in a while tries. */
static bool
may_wait (const clm_t *clm, const wait_t *wait)
{
  if (g_hash_table_size (clm->waiting) >= LIM_CLAIMS_WAITING)
    return false;
  if (clm->queue.length >= LIM_CLAIM_QUEUE)
    return false;
  if (expected_us (clm) >= wait->late_us)
    return false;
  if (!clm->down)
    return true;
  if (clm->flying.length > 0 || has_ends (clm))
    return false;
  uint64_t probe_us = MAX (clm->lost_us + PROBE_US, clm->pace.due_us);
  return g_hash_table_size (clm->waiting) == 0 && clm->now_us >= probe_us;
}

void
clm_request (clm_t *clm,
             uint64_t now_us,
             const uint64_t claim_id[2],
             const clm_key_t *key,
             uint64_t expiry_us,
             void *owner)
{
  see_now (clm, now_us);
  cpc_stir (&clm->pace, claim_id[0] ^ claim_id[1]);
  wait_t wait = { .key = *key, .owner = owner };
  memcpy (wait.claim_id, claim_id, sizeof wait.claim_id);
  /* A claim must not be started on once its key may have been forgotten. */
  wait.expiry_us = MIN (expiry_us, now_us + clm->horizon_us / 2);
  wait.late_us = MIN (wait.expiry_us, now_us + LIM_CLAIM_WAIT_US);
  wait.give_up_us = wait.expiry_us;
  cky_verdict_t known = cky_known (clm->keys, key);
  if (known.verdict != CLM_PENDING)
    judge (clm, &wait, known.verdict, known.status);
  else if (g_hash_table_contains (clm->waiting, claim_id))
    judge (clm, &wait, CLM_HELD, 0);
  else if (!may_wait (clm, &wait))
    judge (clm, &wait, CLM_LOG_DOWN, 0);
  else
    {
      wait_t *kept = g_memdup2 (&wait, sizeof wait);
      g_hash_table_insert (clm->waiting, kept->claim_id, kept);
      set_give_up (clm, kept, kept->expiry_us);
      enqueue (clm, CLR_CLAIM, claim_id, key, 0);
    }
}

void
clm_release (clm_t *clm, const uint64_t claim_id[2], const clm_key_t *key)
{
  wait_t *wait = g_hash_table_lookup (clm->waiting, claim_id);
  bool unsent = wait != NULL && wait->sent_count == 0;
  g_hash_table_remove (clm->waiting, claim_id);
  if (!unsent)
    enqueue_release (clm, claim_id, key);
}

void
clm_done (clm_t *clm, const uint64_t claim_id[2], const clm_key_t *key, uint32_t status)
{
  out_t *out = queued_end (clm, claim_id);
  if (out == NULL)
    {
      enqueue (clm, CLR_DONE, claim_id, key, status);
      return;
    }
  if (out->record.kind != CLR_DONE)
    count_held (clm);
  out->record.kind = CLR_DONE;
  out->record.status = status;
}

char *
clm_batch (clm_t *clm, uint64_t now_us, uint64_t wall_ms)
{
  see_now (clm, now_us);
  sweep (clm);
  if (clm->now_us < clm_due_us (clm))
    return NULL;
  take_off (clm);
  if (clm->flying.length == 0)
    return NULL;
  cpc_started (&clm->pace, clm->now_us);
  clr_t records[LIM_CLAIM_ENTRIES];
  uint32_t count = 0;
  for (GList *link = clm->flying.head; link != NULL; link = link->next)
    {
      out_t *out = link->data;
      out->record.wall_ms = wall_ms;
      records[count++] = out->record;
    }
  return clr_write (records, count);
}

void
clm_appended (clm_t *clm, uint64_t now_us, uint64_t offset)
{
  (void)offset; /* claims are judged when they are read back, which is past it */
  see_now (clm, now_us);
  cpc_taken (&clm->pace, clm->now_us);
  g_queue_clear_full (&clm->flying, g_free);
  clm->lost = false;
  clm->down = false;
}

void
clm_append_lost (clm_t *clm, uint64_t now_us)
{
  see_now (clm, now_us);
  if (all_found (clm))
    {
      clm_appended (clm, now_us, clm->next_offset); /* only its answer was lost: it was read back */
      return;
    }
  cpc_lost (&clm->pace, clm->now_us);
  clm->lost = true;
  clm->reads_after_loss = 0;
  go_down (clm);
}

void
clm_append_refused (clm_t *clm, uint64_t now_us)
{
  see_now (clm, now_us);
  cpc_refused (&clm->pace, clm->now_us);
  take_back (clm);
  if (clm->pace.refusals >= REFUSALS_DOWN)
    go_down (clm);
  else
    give_up_late (clm);
}

void
clm_log_down (clm_t *clm, uint64_t now_us)
{
  see_now (clm, now_us);
  go_down (clm);
}

void
clm_begin (clm_t *clm, uint64_t first_offset)
{
  clm->next_offset = MAX (clm->next_offset, first_offset);
}

void
clm_feed (clm_t *clm,
          uint64_t now_us,
          uint64_t wall_ms,
          uint64_t offset,
          const char *data,
          size_t data_bytes)
{
  see_now (clm, now_us);
  cky_set_wall (clm->keys, wall_ms);
  if (offset < clm->next_offset)
    return;
  clm->next_offset = offset + 1;
  GArray *entries = clr_read (data, data_bytes, &clm->broken);
  for (guint i = 0; i < entries->len; i++)
    feed_entry (clm, &g_array_index (entries, clr_t, i));
  g_array_free (entries, TRUE);
  if (clm->lost && all_found (clm))
    requeue_lost (clm);
}

void
clm_read_to (clm_t *clm, uint64_t now_us, uint64_t end_offset)
{
  see_now (clm, now_us);
  clm->next_offset = MAX (clm->next_offset, end_offset);
  if (clm->lost && ++clm->reads_after_loss >= READS_AFTER_LOSS)
    requeue_lost (clm);
}

uint64_t
clm_next_offset (const clm_t *clm)
{
  return clm->next_offset;
}

bool
clm_wants (const clm_t *clm)
{
  return g_hash_table_size (clm->waiting) > 0 || clm->queue.length > 0 || clm->flying.length > 0;
}

bool
clm_wants_read (const clm_t *clm)
{
  return g_hash_table_size (clm->waiting) > 0 || clm->lost;
}

uint64_t
clm_due_us (const clm_t *clm)
{
  if (clm->queue.length == 0 || clm->flying.length > 0)
    return UINT64_MAX;
  bool held = clm->held == clm->queue.length && clm->held < LIM_CLAIM_ENTRIES;
  return MAX (clm->pace.due_us, held ? clm->held_us + LIM_CLAIM_HOLD_US : 0);
}

bool
clm_result (clm_t *clm, uint64_t now_us, clm_result_t *result)
{
  see_now (clm, now_us);
  sweep (clm);
  judged_t *judged = g_queue_pop_head (&clm->results);
  if (judged == NULL)
    return false;
  if (judged->result.verdict == CLM_GRANTED && clm->now_us >= judged->expiry_us)
    {
      judged->result.verdict = CLM_TOO_LATE;
      enqueue_release (clm, judged->result.claim_id, &judged->key);
    }
  *result = judged->result;
  g_free (judged);
  return true;
}

uint32_t
clm_key_count (const clm_t *clm)
{
  return cky_count (clm->keys);
}

uint64_t
clm_memory_bytes (const clm_t *clm)
{
  return cky_bytes (clm->keys);
}

uint64_t
clm_broken_count (const clm_t *clm)
{
  return clm->broken;
}
