#include "request/policy/claim.h"

#include "base/clock.h"
#include "base/limits.h"
#include "request/policy/claim_keys.h"
#include "request/policy/claim_pace.h"

#include <glib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/* A claim whose append was lost is given up after this time, unless it is read back. */
#define LOST_APPEND_WAIT_US CLK_US_PER_S
/* While appends fail and no other entry is queued, one new claim per interval is appended to find
 * out whether the log works again. */
#define PROBE_INTERVAL_US CLK_US_PER_S
/* This many refusals in a row are not a short peak of load: clients must not wait for its end. */
#define REFUSALS_MAX 5
/* The first read after the loss may have been sent before it, and so not show the append; the
 * second one was sent after it. */
#define READS_AFTER_LOSS 2

/**
 * struct pending_claim - a claim of this daemon without a result
 * @send_by_us: when it can't be appended by this time it is refused at once
 * @give_up_us: when it is given up without a grant
 * @sent_count: appends that contained it and were not refused
 */
typedef struct
{
  uint64_t claim_id[2];
  clm_key_t key;
  uint64_t expiry_us;
  uint64_t send_by_us;
  uint64_t give_up_us;
  void *owner;
  uint32_t sent_count;
} pending_claim_t;

/** struct queued_entry - an entry that is to be appended; @read_back: it was found in the log while
 * its append was in flight or lost */
typedef struct
{
  clr_t fields;
  bool read_back;
} queued_entry_t;

/** struct pending_result - a result that clm_result() has not taken yet */
typedef struct
{
  clm_result_t result;
  clm_key_t key;
  uint64_t expiry_us;
} pending_result_t;

struct clm
{
  cky_t *keys;
  cpc_t pace;
  GHashTable *pending; /* claim id -> pending_claim_t */
  GQueue queue;        /* queued_entry_t to be appended, oldest first */
  GQueue batch; /* queued_entry_t of the append in flight, or of a lost one until it is looked up */
  GQueue results;             /* pending_result_t */
  uint32_t deferred_count;    /* done entries in @queue */
  uint64_t deferred_since_us; /* since when the oldest of them is queued */
  bool append_lost;           /* the append of @batch was lost */
  bool log_down;              /* new claims are refused at once, until an append succeeds */
  uint32_t reads_after_loss;  /* reads to the log's end since the append was lost */
  uint64_t down_since_us;     /* when @log_down was last set */
  uint64_t now_us;            /* the latest time that a caller passed */
  uint64_t horizon_us;
  uint64_t next_offset;
  uint64_t next_give_up_us; /* the earliest give_up_us of @pending */
  uint64_t malformed_count; /* entries and records that were skipped */
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
advance_clock (clm_t *clm, uint64_t now_us)
{
  clm->now_us = MAX (clm->now_us, now_us);
}

static void
add_result (clm_t *clm, const pending_claim_t *claim, clm_verdict_t verdict, uint32_t status)
{
  pending_result_t *pending_result = g_new0 (pending_result_t, 1);
  memcpy (pending_result->result.claim_id, claim->claim_id, sizeof claim->claim_id);
  pending_result->result.verdict = verdict;
  pending_result->result.status = status;
  pending_result->result.owner = claim->owner;
  pending_result->key = claim->key;
  pending_result->expiry_us = claim->expiry_us;
  g_queue_push_tail (&clm->results, pending_result);
}

/* pop_queue() and push_queue_front() maintain the count of done entries, which may be deferred. */
static queued_entry_t *
pop_queue (clm_t *clm)
{
  queued_entry_t *entry = g_queue_pop_head (&clm->queue);
  if (entry != NULL && entry->fields.kind == CLR_DONE)
    clm->deferred_count--;
  return entry;
}

static void
count_deferred (clm_t *clm)
{
  if (clm->deferred_count++ == 0)
    clm->deferred_since_us = clm->now_us;
}

static void
push_queue_front (clm_t *clm, queued_entry_t *entry)
{
  if (entry->fields.kind == CLR_DONE)
    count_deferred (clm);
  g_queue_push_head (&clm->queue, entry);
}

static queued_entry_t *
find_queued_outcome (clm_t *clm, const uint64_t claim_id[2])
{
  for (GList *link = clm->queue.head; link != NULL; link = link->next)
    {
      queued_entry_t *entry = link->data;
      if (entry->fields.kind != CLR_CLAIM && id_equal (entry->fields.claim_id, claim_id))
        return entry;
    }
  return NULL;
}

/* Drops the entry when the queue is full. A claim then ends at its expiry. Without its release or
 * done entry a key stays held, and resends are told that the request may have run. */
static void
enqueue (
    clm_t *clm, clr_kind_t kind, const uint64_t claim_id[2], const clm_key_t *key, uint32_t status)
{
  if (clm->queue.length >= LIM_CLAIM_QUEUE)
    return;
  queued_entry_t *entry = g_new0 (queued_entry_t, 1);
  entry->fields.kind = kind;
  memcpy (entry->fields.claim_id, claim_id, sizeof entry->fields.claim_id);
  entry->fields.key = *key;
  entry->fields.status = status;
  if (kind == CLR_DONE)
    count_deferred (clm);
  g_queue_push_tail (&clm->queue, entry);
}

static void
enqueue_release (clm_t *clm, const uint64_t claim_id[2], const clm_key_t *key)
{
  if (find_queued_outcome (clm, claim_id) == NULL)
    enqueue (clm, CLR_RELEASE, claim_id, key, 0);
}

/* A claim that was sent may be in the log or reach it later: without a release it would hold the
 * key although nobody uses it. It was never granted, so its request never ran. */
static void
give_up (clm_t *clm, const pending_claim_t *claim)
{
  add_result (clm, claim, CLM_LOG_DOWN, 0);
  if (claim->sent_count > 0)
    enqueue_release (clm, claim->claim_id, &claim->key);
}

static void
give_up_expired (clm_t *clm)
{
  if (clm->now_us < clm->next_give_up_us)
    return;
  clm->next_give_up_us = UINT64_MAX;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, clm->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      pending_claim_t *claim = value;
      if (clm->now_us < claim->give_up_us)
        {
          clm->next_give_up_us = MIN (clm->next_give_up_us, claim->give_up_us);
          continue;
        }
      give_up (clm, claim);
      g_hash_table_iter_remove (&iter);
    }
}

static void
limit_wait (clm_t *clm, pending_claim_t *claim, uint64_t give_up_us)
{
  claim->give_up_us = MIN (claim->give_up_us, give_up_us);
  clm->next_give_up_us = MIN (clm->next_give_up_us, claim->give_up_us);
}

static void
apply_claim (clm_t *clm, const clr_t *entry)
{
  cky_verdict_t decision = cky_claim (clm->keys, entry);
  pending_claim_t *claim = g_hash_table_lookup (clm->pending, entry->claim_id);
  if (claim == NULL)
    return;
  add_result (clm, claim, decision.verdict, decision.status);
  /* Another copy of the claim may reach the log later. The release voids it, so that it can't take
   * the key once that is free. */
  if (decision.verdict != CLM_GRANTED && claim->sent_count > 1)
    enqueue_release (clm, claim->claim_id, &claim->key);
  g_hash_table_remove (clm->pending, entry->claim_id);
}

static void
mark_read_back (clm_t *clm, const clr_t *entry)
{
  for (GList *link = clm->batch.head; link != NULL; link = link->next)
    {
      queued_entry_t *queued = link->data;
      if (queued->fields.kind != entry->kind ||
          !id_equal (queued->fields.claim_id, entry->claim_id))
        continue;
      queued->read_back = true;
      if (clm->append_lost)
        clm->log_down = false; /* the lost append took effect: the log works */
    }
}

static void
apply_entry (clm_t *clm, const clr_t *entry)
{
  mark_read_back (clm, entry);
  switch (entry->kind)
    {
    case CLR_CLAIM:
      apply_claim (clm, entry);
      break;
    case CLR_RELEASE:
      cky_release (clm->keys, entry);
      break;
    case CLR_DONE:
      cky_done (clm->keys, entry);
      break;
    }
}

static void
requeue_lost (clm_t *clm)
{
  queued_entry_t *entry;
  while ((entry = g_queue_pop_tail (&clm->batch)) != NULL)
    if (entry->read_back)
      g_free (entry);
    else
      push_queue_front (clm, entry);
  clm->append_lost = false;
}

static bool
all_read_back (const clm_t *clm)
{
  for (const GList *link = clm->batch.head; link != NULL; link = link->next)
    if (!((const queued_entry_t *)link->data)->read_back)
      return false;
  return true;
}

static bool
is_wanted (clm_t *clm, const queued_entry_t *entry)
{
  return entry->fields.kind != CLR_CLAIM ||
         g_hash_table_contains (clm->pending, entry->fields.claim_id);
}

static void
fill_batch (clm_t *clm)
{
  while (clm->batch.length < LIM_CLAIM_ENTRIES && clm->queue.length > 0)
    {
      queued_entry_t *entry = pop_queue (clm);
      if (!is_wanted (clm, entry))
        {
          g_free (entry);
          continue;
        }
      if (entry->fields.kind == CLR_CLAIM)
        {
          pending_claim_t *claim = g_hash_table_lookup (clm->pending, entry->fields.claim_id);
          claim->sent_count++;
        }
      g_queue_push_tail (&clm->batch, entry);
    }
}

/* The append had no effect: its entries return to the queue as if they had not been sent. */
static void
undo_batch (clm_t *clm)
{
  queued_entry_t *entry;
  while ((entry = g_queue_pop_tail (&clm->batch)) != NULL)
    {
      pending_claim_t *claim = g_hash_table_lookup (clm->pending, entry->fields.claim_id);
      if (entry->fields.kind == CLR_CLAIM && claim != NULL)
        claim->sent_count--;
      push_queue_front (clm, entry);
    }
}

static void
set_log_down (clm_t *clm)
{
  clm->log_down = true;
  clm->down_since_us = clm->now_us;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, clm->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      pending_claim_t *claim = value;
      limit_wait (clm, claim, claim->sent_count == 0 ? 0 : clm->now_us + LOST_APPEND_WAIT_US);
    }
}

static uint64_t
expected_answer_us (const clm_t *clm)
{
  uint32_t batches = clm->queue.length / LIM_CLAIM_ENTRIES + (clm->batch.length > 0 ? 1 : 0);
  return cpc_expected_us (&clm->pace, clm->now_us, batches);
}

/* Ends the wait of claims that can't be appended in time. */
static void
limit_wait_of_late_claims (clm_t *clm)
{
  uint64_t next_us = cpc_expected_us (&clm->pace, clm->now_us, 0);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, clm->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      pending_claim_t *claim = value;
      if (claim->sent_count == 0 && claim->send_by_us <= next_us)
        limit_wait (clm, claim, 0);
    }
}

clm_t *
clm_new (uint64_t horizon_us)
{
  clm_t *clm = g_new0 (clm_t, 1);
  clm->keys = cky_new ((uint32_t)(horizon_us / CLK_US_PER_S));
  clm->pending = g_hash_table_new_full (id_hash, id_equal, NULL, g_free);
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
  g_hash_table_destroy (clm->pending);
  g_queue_clear_full (&clm->queue, g_free);
  g_queue_clear_full (&clm->batch, g_free);
  g_queue_clear_full (&clm->results, g_free);
  g_free (clm);
}

static bool
has_queued_outcomes (const clm_t *clm)
{
  for (const GList *link = clm->queue.head; link != NULL; link = link->next)
    if (((const queued_entry_t *)link->data)->fields.kind != CLR_CLAIM)
      return true;
  return false;
}

/* Whether a new claim may wait for the log. During an outage of the log claims are refused at once.
 * The entries of lost appends, among them the releases of claims that were given up, are appended
 * again and so show when the log is back. Without such entries one claim per interval does. */
static bool
may_accept (const clm_t *clm, const pending_claim_t *claim)
{
  if (g_hash_table_size (clm->pending) >= LIM_CLAIMS_WAITING)
    return false;
  if (clm->queue.length >= LIM_CLAIM_QUEUE)
    return false;
  if (expected_answer_us (clm) >= claim->send_by_us)
    return false;
  if (!clm->log_down)
    return true;
  if (clm->batch.length > 0 || has_queued_outcomes (clm))
    return false;
  uint64_t probe_us = MAX (clm->down_since_us + PROBE_INTERVAL_US, clm->pace.due_us);
  return g_hash_table_size (clm->pending) == 0 && clm->now_us >= probe_us;
}

void
clm_request (clm_t *clm,
             uint64_t now_us,
             const uint64_t claim_id[2],
             const clm_key_t *key,
             uint64_t expiry_us,
             void *owner)
{
  advance_clock (clm, now_us);
  cpc_stir (&clm->pace, claim_id[0] ^ claim_id[1]);
  pending_claim_t claim = { .key = *key, .owner = owner };
  memcpy (claim.claim_id, claim_id, sizeof claim.claim_id);
  /* The request must not start when its key may have been forgotten already. */
  claim.expiry_us = MIN (expiry_us, now_us + clm->horizon_us / 2);
  claim.send_by_us = MIN (claim.expiry_us, now_us + LIM_CLAIM_WAIT_US);
  claim.give_up_us = claim.expiry_us;
  cky_verdict_t known = cky_known (clm->keys, key);
  if (known.verdict != CLM_PENDING)
    add_result (clm, &claim, known.verdict, known.status);
  else if (g_hash_table_contains (clm->pending, claim_id))
    add_result (clm, &claim, CLM_HELD, 0);
  else if (!may_accept (clm, &claim))
    add_result (clm, &claim, CLM_LOG_DOWN, 0);
  else
    {
      pending_claim_t *added = g_memdup2 (&claim, sizeof claim);
      g_hash_table_insert (clm->pending, added->claim_id, added);
      limit_wait (clm, added, added->expiry_us);
      enqueue (clm, CLR_CLAIM, claim_id, key, 0);
    }
}

void
clm_release (clm_t *clm, const uint64_t claim_id[2], const clm_key_t *key)
{
  pending_claim_t *claim = g_hash_table_lookup (clm->pending, claim_id);
  bool never_sent = claim != NULL && claim->sent_count == 0;
  g_hash_table_remove (clm->pending, claim_id);
  if (!never_sent)
    enqueue_release (clm, claim_id, key);
}

void
clm_done (clm_t *clm, const uint64_t claim_id[2], const clm_key_t *key, uint32_t status)
{
  queued_entry_t *entry = find_queued_outcome (clm, claim_id);
  if (entry == NULL)
    {
      enqueue (clm, CLR_DONE, claim_id, key, status);
      return;
    }
  if (entry->fields.kind != CLR_DONE)
    count_deferred (clm);
  entry->fields.kind = CLR_DONE;
  entry->fields.status = status;
}

char *
clm_batch (clm_t *clm, uint64_t now_us, uint64_t wall_ms)
{
  advance_clock (clm, now_us);
  give_up_expired (clm);
  if (clm->now_us < clm_due_us (clm))
    return NULL;
  fill_batch (clm);
  if (clm->batch.length == 0)
    return NULL;
  cpc_started (&clm->pace, clm->now_us);
  clr_t records[LIM_CLAIM_ENTRIES];
  uint32_t count = 0;
  for (GList *link = clm->batch.head; link != NULL; link = link->next)
    {
      queued_entry_t *entry = link->data;
      entry->fields.wall_ms = wall_ms;
      records[count++] = entry->fields;
    }
  return clr_write (records, count);
}

void
clm_appended (clm_t *clm, uint64_t now_us, uint64_t offset)
{
  (void)offset; /* claims are granted when they are read back */
  advance_clock (clm, now_us);
  cpc_taken (&clm->pace, clm->now_us);
  g_queue_clear_full (&clm->batch, g_free);
  clm->append_lost = false;
  clm->log_down = false;
}

void
clm_append_lost (clm_t *clm, uint64_t now_us)
{
  advance_clock (clm, now_us);
  if (all_read_back (clm))
    {
      clm_appended (clm, now_us, clm->next_offset); /* only the answer was lost */
      return;
    }
  cpc_lost (&clm->pace, clm->now_us);
  clm->append_lost = true;
  clm->reads_after_loss = 0;
  set_log_down (clm);
}

void
clm_append_refused (clm_t *clm, uint64_t now_us)
{
  advance_clock (clm, now_us);
  cpc_refused (&clm->pace, clm->now_us);
  undo_batch (clm);
  if (clm->pace.refusals >= REFUSALS_MAX)
    set_log_down (clm);
  else
    limit_wait_of_late_claims (clm);
}

void
clm_log_down (clm_t *clm, uint64_t now_us)
{
  advance_clock (clm, now_us);
  set_log_down (clm);
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
  advance_clock (clm, now_us);
  cky_set_wall (clm->keys, wall_ms);
  if (offset < clm->next_offset)
    return;
  clm->next_offset = offset + 1;
  GArray *entries = clr_read (data, data_bytes, &clm->malformed_count);
  for (guint i = 0; i < entries->len; i++)
    apply_entry (clm, &g_array_index (entries, clr_t, i));
  g_array_free (entries, TRUE);
  if (clm->append_lost && all_read_back (clm))
    requeue_lost (clm);
}

void
clm_read_to (clm_t *clm, uint64_t now_us, uint64_t end_offset)
{
  advance_clock (clm, now_us);
  clm->next_offset = MAX (clm->next_offset, end_offset);
  if (clm->append_lost && ++clm->reads_after_loss >= READS_AFTER_LOSS)
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
  return g_hash_table_size (clm->pending) > 0 || clm->queue.length > 0 || clm->batch.length > 0;
}

bool
clm_wants_read (const clm_t *clm)
{
  return g_hash_table_size (clm->pending) > 0 || clm->append_lost;
}

uint64_t
clm_due_us (const clm_t *clm)
{
  if (clm->queue.length == 0 || clm->batch.length > 0)
    return UINT64_MAX;
  bool defer = clm->deferred_count == clm->queue.length && clm->deferred_count < LIM_CLAIM_ENTRIES;
  return MAX (clm->pace.due_us, defer ? clm->deferred_since_us + LIM_CLAIM_HOLD_US : 0);
}

bool
clm_result (clm_t *clm, uint64_t now_us, clm_result_t *result)
{
  advance_clock (clm, now_us);
  give_up_expired (clm);
  pending_result_t *pending_result = g_queue_pop_head (&clm->results);
  if (pending_result == NULL)
    return false;
  if (pending_result->result.verdict == CLM_GRANTED && clm->now_us >= pending_result->expiry_us)
    {
      pending_result->result.verdict = CLM_TOO_LATE;
      enqueue_release (clm, pending_result->result.claim_id, &pending_result->key);
    }
  *result = pending_result->result;
  g_free (pending_result);
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
  return clm->malformed_count;
}
