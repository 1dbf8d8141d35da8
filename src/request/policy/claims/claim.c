#include "request/policy/claims/claim.h"

#include "base/clock.h"
#include "base/limits.h"
#include "request/policy/claims/claim_keys.h"
#include "request/policy/claims/claim_pace.h"

#include <glib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

/* A claim whose append was lost is given up after this time, unless it is read back. */
#define LOST_APPEND_WAIT_US CLOCK_US_PER_S
/* While appends fail and no other entry is queued, one new claim per interval is appended to find
 * out whether the log works again. */
#define PROBE_INTERVAL_US CLOCK_US_PER_S
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
  claim_key_t key;
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
  claim_entry_t fields;
  bool read_back;
} queued_entry_t;

/** struct pending_result - a result that claim_take_result() has not taken yet */
typedef struct
{
  claim_result_t result;
  claim_key_t key;
  uint64_t expiry_us;
} pending_result_t;

/** struct recent_entry - an own outcome; @at_us: when it was */
typedef struct
{
  claim_entry_t fields;
  uint64_t at_us;
} recent_entry_t;

struct claim_stream
{
  claim_keys_t *keys;
  claim_pace_t pace;
  GHashTable *pending; /* claim id -> pending_claim_t */
  GQueue queue;        /* queued_entry_t to be appended, oldest first */
  GQueue batch; /* queued_entry_t of the append in flight, or of a lost one until it is looked up */
  GQueue recent;              /* recent_entry_t: own outcomes, oldest first */
  GQueue results;             /* pending_result_t */
  uint32_t deferred_count;    /* done entries in @queue */
  uint64_t deferred_since_us; /* since when the oldest of them is queued */
  bool append_lost;           /* the append of @batch was lost */
  bool log_down;              /* new claims are refused at once, until an append succeeds */
  uint32_t reads_after_loss;  /* reads to the log's end since the append was lost */
  uint64_t down_since_us;     /* when @log_down was last set */
  uint64_t now_us;            /* the latest time that a caller passed */
  uint64_t horizon_us;
  position_t next;
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
advance_clock (claim_stream_t *claim_stream, uint64_t now_us)
{
  claim_stream->now_us = MAX (claim_stream->now_us, now_us);
}

static void
add_result (claim_stream_t *claim_stream,
            const pending_claim_t *claim,
            claim_verdict_t verdict,
            uint32_t status)
{
  pending_result_t *pending_result = g_new0 (pending_result_t, 1);
  memcpy (pending_result->result.claim_id, claim->claim_id, sizeof claim->claim_id);
  pending_result->result.verdict = verdict;
  pending_result->result.status = status;
  pending_result->result.owner = claim->owner;
  pending_result->key = claim->key;
  pending_result->expiry_us = claim->expiry_us;
  g_queue_push_tail (&claim_stream->results, pending_result);
}

/* pop_queue() and push_queue_front() maintain the count of done entries, which may be deferred. */
static queued_entry_t *
pop_queue (claim_stream_t *claim_stream)
{
  queued_entry_t *entry = g_queue_pop_head (&claim_stream->queue);
  if (entry != NULL && entry->fields.kind == CLAIM_ENTRY_DONE)
    claim_stream->deferred_count--;
  return entry;
}

static void
count_deferred (claim_stream_t *claim_stream)
{
  if (claim_stream->deferred_count++ == 0)
    claim_stream->deferred_since_us = claim_stream->now_us;
}

static void
push_queue_front (claim_stream_t *claim_stream, queued_entry_t *entry)
{
  if (entry->fields.kind == CLAIM_ENTRY_DONE)
    count_deferred (claim_stream);
  g_queue_push_head (&claim_stream->queue, entry);
}

static queued_entry_t *
find_queued_outcome (claim_stream_t *claim_stream, const uint64_t claim_id[2])
{
  for (GList *link = claim_stream->queue.head; link != NULL; link = link->next)
    {
      queued_entry_t *entry = link->data;
      if (entry->fields.kind != CLAIM_ENTRY_CLAIM && id_equal (entry->fields.claim_id, claim_id))
        return entry;
    }
  return NULL;
}

static void
forget_recent (claim_stream_t *claim_stream, const uint64_t claim_id[2])
{
  GList *next;
  for (GList *link = claim_stream->recent.head; link != NULL; link = next)
    {
      recent_entry_t *entry = link->data;
      next = link->next;
      if (!id_equal (entry->fields.claim_id, claim_id))
        continue;
      g_queue_delete_link (&claim_stream->recent, link);
      g_free (entry);
    }
}

static void
remember (claim_stream_t *claim_stream, const claim_entry_t *fields)
{
  recent_entry_t *oldest;
  while ((oldest = g_queue_peek_head (&claim_stream->recent)) != NULL &&
         (oldest->at_us + CLAIM_RECENT_US < claim_stream->now_us ||
          claim_stream->recent.length >= LIMIT_CLAIM_QUEUE_ENTRIES))
    g_free (g_queue_pop_head (&claim_stream->recent));
  recent_entry_t *entry = g_new0 (recent_entry_t, 1);
  entry->fields = *fields;
  entry->at_us = claim_stream->now_us;
  g_queue_push_tail (&claim_stream->recent, entry);
}

/* Of a claim that was released only the release is kept: the key may have been granted to another
 * claim since. */
static void
remember_outcome (claim_stream_t *claim_stream, const claim_entry_t *fields)
{
  if (fields->kind == CLAIM_ENTRY_RELEASE)
    forget_recent (claim_stream, fields->claim_id);
  remember (claim_stream, fields);
}

/* Drops the entry when the queue is full. A claim then ends at its expiry. Without its release or
 * done entry a key stays held, and resends are told that the request may have run. */
static void
enqueue (claim_stream_t *claim_stream,
         claim_entry_kind_t kind,
         const uint64_t claim_id[2],
         const claim_key_t *key,
         uint32_t status)
{
  if (claim_stream->queue.length >= LIMIT_CLAIM_QUEUE_ENTRIES)
    return;
  queued_entry_t *entry = g_new0 (queued_entry_t, 1);
  entry->fields.kind = kind;
  memcpy (entry->fields.claim_id, claim_id, sizeof entry->fields.claim_id);
  entry->fields.key = *key;
  entry->fields.status = status;
  if (kind == CLAIM_ENTRY_DONE)
    count_deferred (claim_stream);
  if (kind != CLAIM_ENTRY_CLAIM)
    remember_outcome (claim_stream, &entry->fields);
  g_queue_push_tail (&claim_stream->queue, entry);
}

static void
enqueue_release (claim_stream_t *claim_stream, const uint64_t claim_id[2], const claim_key_t *key)
{
  if (find_queued_outcome (claim_stream, claim_id) == NULL)
    enqueue (claim_stream, CLAIM_ENTRY_RELEASE, claim_id, key, 0);
}

/* A claim that was sent may be in the log or reach it later: without a release it would hold the
 * key although nobody uses it. It was never granted, so its request never ran. */
static void
give_up (claim_stream_t *claim_stream, const pending_claim_t *claim)
{
  add_result (claim_stream, claim, CLAIM_LOG_DOWN, 0);
  if (claim->sent_count > 0)
    enqueue_release (claim_stream, claim->claim_id, &claim->key);
}

static void
give_up_expired (claim_stream_t *claim_stream)
{
  if (claim_stream->now_us < claim_stream->next_give_up_us)
    return;
  claim_stream->next_give_up_us = UINT64_MAX;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, claim_stream->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      pending_claim_t *claim = value;
      if (claim_stream->now_us < claim->give_up_us)
        {
          claim_stream->next_give_up_us = MIN (claim_stream->next_give_up_us, claim->give_up_us);
          continue;
        }
      give_up (claim_stream, claim);
      g_hash_table_iter_remove (&iter);
    }
}

static void
limit_wait (claim_stream_t *claim_stream, pending_claim_t *claim, uint64_t give_up_us)
{
  claim->give_up_us = MIN (claim->give_up_us, give_up_us);
  claim_stream->next_give_up_us = MIN (claim_stream->next_give_up_us, claim->give_up_us);
}

static void
remember_granted (claim_stream_t *claim_stream, const claim_entry_t *claim)
{
  claim_entry_t fields = *claim;
  fields.granted = true;
  remember (claim_stream, &fields);
}

static void
apply_claim (claim_stream_t *claim_stream, const claim_entry_t *entry)
{
  claim_keys_verdict_t decision = claim_keys_claim (claim_stream->keys, entry);
  pending_claim_t *claim = g_hash_table_lookup (claim_stream->pending, entry->claim_id);
  if (claim == NULL)
    return;
  add_result (claim_stream, claim, decision.verdict, decision.status);
  if (decision.verdict == CLAIM_GRANTED)
    remember_granted (claim_stream, entry);
  /* Another copy of the claim may reach the log later. The release voids it, so that it can't take
   * the key once that is free. */
  if (decision.verdict != CLAIM_GRANTED && claim->sent_count > 1)
    enqueue_release (claim_stream, claim->claim_id, &claim->key);
  g_hash_table_remove (claim_stream->pending, entry->claim_id);
}

static void
mark_read_back (claim_stream_t *claim_stream, const claim_entry_t *entry)
{
  for (GList *link = claim_stream->batch.head; link != NULL; link = link->next)
    {
      queued_entry_t *queued = link->data;
      if (queued->fields.kind != entry->kind ||
          !id_equal (queued->fields.claim_id, entry->claim_id))
        continue;
      queued->read_back = true;
      if (claim_stream->append_lost)
        claim_stream->log_down = false; /* the lost append took effect: the log works */
    }
}

static void
apply_entry (claim_stream_t *claim_stream, const claim_entry_t *entry)
{
  mark_read_back (claim_stream, entry);
  switch (entry->kind)
    {
    case CLAIM_ENTRY_CLAIM:
      apply_claim (claim_stream, entry);
      break;
    case CLAIM_ENTRY_RELEASE:
      claim_keys_release (claim_stream->keys, entry);
      break;
    case CLAIM_ENTRY_DONE:
      claim_keys_finish (claim_stream->keys, entry);
      break;
    }
}

static void
requeue_lost (claim_stream_t *claim_stream)
{
  queued_entry_t *entry;
  while ((entry = g_queue_pop_tail (&claim_stream->batch)) != NULL)
    if (entry->read_back)
      g_free (entry);
    else
      push_queue_front (claim_stream, entry);
  claim_stream->append_lost = false;
}

static bool
all_read_back (const claim_stream_t *claim_stream)
{
  for (const GList *link = claim_stream->batch.head; link != NULL; link = link->next)
    if (!((const queued_entry_t *)link->data)->read_back)
      return false;
  return true;
}

static bool
is_wanted (claim_stream_t *claim_stream, const queued_entry_t *entry)
{
  return entry->fields.kind != CLAIM_ENTRY_CLAIM || entry->fields.granted ||
         g_hash_table_contains (claim_stream->pending, entry->fields.claim_id);
}

static void
fill_batch (claim_stream_t *claim_stream)
{
  while (claim_stream->batch.length < LIMIT_CLAIM_RECORD_ENTRIES && claim_stream->queue.length > 0)
    {
      queued_entry_t *entry = pop_queue (claim_stream);
      if (!is_wanted (claim_stream, entry))
        {
          g_free (entry);
          continue;
        }
      if (entry->fields.kind == CLAIM_ENTRY_CLAIM && !entry->fields.granted)
        {
          pending_claim_t *claim =
              g_hash_table_lookup (claim_stream->pending, entry->fields.claim_id);
          claim->sent_count++;
        }
      g_queue_push_tail (&claim_stream->batch, entry);
    }
}

/* The append had no effect: its entries return to the queue as if they had not been sent. */
static void
undo_batch (claim_stream_t *claim_stream)
{
  queued_entry_t *entry;
  while ((entry = g_queue_pop_tail (&claim_stream->batch)) != NULL)
    {
      pending_claim_t *claim = g_hash_table_lookup (claim_stream->pending, entry->fields.claim_id);
      if (entry->fields.kind == CLAIM_ENTRY_CLAIM && claim != NULL)
        claim->sent_count--;
      push_queue_front (claim_stream, entry);
    }
}

static void
set_log_down (claim_stream_t *claim_stream)
{
  claim_stream->log_down = true;
  claim_stream->down_since_us = claim_stream->now_us;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, claim_stream->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      pending_claim_t *claim = value;
      limit_wait (claim_stream, claim,
                  claim->sent_count == 0 ? 0 : claim_stream->now_us + LOST_APPEND_WAIT_US);
    }
}

static uint64_t
expected_answer_us (const claim_stream_t *claim_stream)
{
  uint32_t batches = claim_stream->queue.length / LIMIT_CLAIM_RECORD_ENTRIES +
                     (claim_stream->batch.length > 0 ? 1 : 0);
  return claim_pace_expected_answer_us (&claim_stream->pace, claim_stream->now_us, batches);
}

/* Ends the wait of claims that can't be appended in time. */
static void
limit_wait_of_late_claims (claim_stream_t *claim_stream)
{
  uint64_t next_us = claim_pace_expected_answer_us (&claim_stream->pace, claim_stream->now_us, 0);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, claim_stream->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      pending_claim_t *claim = value;
      if (claim->sent_count == 0 && claim->send_by_us <= next_us)
        limit_wait (claim_stream, claim, 0);
    }
}

claim_stream_t *
claim_new (uint64_t horizon_us)
{
  claim_stream_t *claim_stream = g_new0 (claim_stream_t, 1);
  claim_stream->keys = claim_keys_new ((uint32_t)(horizon_us / CLOCK_US_PER_S));
  claim_stream->pending = g_hash_table_new_full (id_hash, id_equal, NULL, g_free);
  claim_stream->horizon_us = horizon_us;
  claim_stream->next_give_up_us = UINT64_MAX;
  claim_pace_init (&claim_stream->pace);
  return claim_stream;
}

void
claim_free (claim_stream_t *claim_stream)
{
  if (claim_stream == NULL)
    return;
  claim_keys_free (claim_stream->keys);
  g_hash_table_destroy (claim_stream->pending);
  g_queue_clear_full (&claim_stream->queue, g_free);
  g_queue_clear_full (&claim_stream->batch, g_free);
  g_queue_clear_full (&claim_stream->recent, g_free);
  g_queue_clear_full (&claim_stream->results, g_free);
  g_free (claim_stream);
}

static bool
has_queued_outcomes (const claim_stream_t *claim_stream)
{
  for (const GList *link = claim_stream->queue.head; link != NULL; link = link->next)
    if (((const queued_entry_t *)link->data)->fields.kind != CLAIM_ENTRY_CLAIM)
      return true;
  return false;
}

/* Whether a new claim may wait for the log. During an outage of the log claims are refused at once.
 * The entries of lost appends, among them the releases of claims that were given up, are appended
 * again and so show when the log is back. Without such entries one claim per interval does. */
static bool
may_accept (const claim_stream_t *claim_stream, const pending_claim_t *claim)
{
  if (g_hash_table_size (claim_stream->pending) >= LIMIT_PENDING_CLAIMS)
    return false;
  if (claim_stream->queue.length >= LIMIT_CLAIM_QUEUE_ENTRIES)
    return false;
  if (expected_answer_us (claim_stream) >= claim->send_by_us)
    return false;
  if (!claim_stream->log_down)
    return true;
  if (claim_stream->batch.length > 0 || has_queued_outcomes (claim_stream))
    return false;
  uint64_t probe_us =
      MAX (claim_stream->down_since_us + PROBE_INTERVAL_US, claim_stream->pace.due_us);
  return g_hash_table_size (claim_stream->pending) == 0 && claim_stream->now_us >= probe_us;
}

void
claim_request (claim_stream_t *claim_stream,
               uint64_t now_us,
               const uint64_t claim_id[2],
               const claim_key_t *key,
               uint64_t expiry_us,
               void *owner)
{
  advance_clock (claim_stream, now_us);
  claim_pace_add_entropy (&claim_stream->pace, claim_id[0] ^ claim_id[1]);
  pending_claim_t claim = { .key = *key, .owner = owner };
  memcpy (claim.claim_id, claim_id, sizeof claim.claim_id);
  /* The request must not start when its key may have been forgotten already. */
  claim.expiry_us = MIN (expiry_us, now_us + claim_stream->horizon_us / 2);
  claim.send_by_us = MIN (claim.expiry_us, now_us + LIMIT_CLAIM_WAIT_US);
  claim.give_up_us = claim.expiry_us;
  claim_keys_verdict_t known = claim_keys_check_finished (claim_stream->keys, key);
  if (known.verdict != CLAIM_PENDING)
    add_result (claim_stream, &claim, known.verdict, known.status);
  else if (g_hash_table_contains (claim_stream->pending, claim_id))
    add_result (claim_stream, &claim, CLAIM_HELD, 0);
  else if (!may_accept (claim_stream, &claim))
    add_result (claim_stream, &claim, CLAIM_LOG_DOWN, 0);
  else
    {
      pending_claim_t *added = g_memdup2 (&claim, sizeof claim);
      g_hash_table_insert (claim_stream->pending, added->claim_id, added);
      limit_wait (claim_stream, added, added->expiry_us);
      enqueue (claim_stream, CLAIM_ENTRY_CLAIM, claim_id, key, 0);
    }
}

void
claim_release (claim_stream_t *claim_stream, const uint64_t claim_id[2], const claim_key_t *key)
{
  pending_claim_t *claim = g_hash_table_lookup (claim_stream->pending, claim_id);
  bool never_sent = claim != NULL && claim->sent_count == 0;
  g_hash_table_remove (claim_stream->pending, claim_id);
  if (!never_sent)
    enqueue_release (claim_stream, claim_id, key);
}

void
claim_finish (claim_stream_t *claim_stream,
              const uint64_t claim_id[2],
              const claim_key_t *key,
              uint32_t status)
{
  queued_entry_t *entry = find_queued_outcome (claim_stream, claim_id);
  if (entry == NULL)
    {
      enqueue (claim_stream, CLAIM_ENTRY_DONE, claim_id, key, status);
      return;
    }
  if (entry->fields.kind != CLAIM_ENTRY_DONE)
    count_deferred (claim_stream);
  entry->fields.kind = CLAIM_ENTRY_DONE;
  entry->fields.status = status;
  remember (claim_stream, &entry->fields);
}

char *
claim_next_batch (claim_stream_t *claim_stream, uint64_t now_us, uint64_t wall_ms)
{
  advance_clock (claim_stream, now_us);
  give_up_expired (claim_stream);
  if (claim_stream->now_us < claim_append_due_us (claim_stream))
    return NULL;
  fill_batch (claim_stream);
  if (claim_stream->batch.length == 0)
    return NULL;
  claim_pace_append_started (&claim_stream->pace, claim_stream->now_us);
  claim_entry_t records[LIMIT_CLAIM_RECORD_ENTRIES];
  uint32_t count = 0;
  for (GList *link = claim_stream->batch.head; link != NULL; link = link->next)
    {
      queued_entry_t *entry = link->data;
      entry->fields.wall_ms = wall_ms;
      records[count++] = entry->fields;
    }
  return claim_record_format (records, count);
}

void
claim_append_succeeded (claim_stream_t *claim_stream, uint64_t now_us)
{
  advance_clock (claim_stream, now_us);
  claim_pace_append_succeeded (&claim_stream->pace, claim_stream->now_us);
  g_queue_clear_full (&claim_stream->batch, g_free);
  claim_stream->append_lost = false;
  claim_stream->log_down = false;
}

void
claim_append_lost (claim_stream_t *claim_stream, uint64_t now_us)
{
  advance_clock (claim_stream, now_us);
  if (all_read_back (claim_stream))
    {
      claim_append_succeeded (claim_stream, now_us); /* only the answer was lost */
      return;
    }
  claim_pace_append_lost (&claim_stream->pace, claim_stream->now_us);
  claim_stream->append_lost = true;
  claim_stream->reads_after_loss = 0;
  set_log_down (claim_stream);
}

void
claim_append_refused (claim_stream_t *claim_stream, uint64_t now_us)
{
  advance_clock (claim_stream, now_us);
  claim_pace_append_refused (&claim_stream->pace, claim_stream->now_us);
  undo_batch (claim_stream);
  if (claim_stream->pace.refusals >= REFUSALS_MAX)
    set_log_down (claim_stream);
  else
    limit_wait_of_late_claims (claim_stream);
}

void
claim_read_failed (claim_stream_t *claim_stream, uint64_t now_us)
{
  advance_clock (claim_stream, now_us);
  set_log_down (claim_stream);
}

/* No claim without a result was granted, so their requests never ran. */
static void
give_up_all (claim_stream_t *claim_stream)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, claim_stream->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      give_up (claim_stream, value);
      g_hash_table_iter_remove (&iter);
    }
}

static void
queue_recent (claim_stream_t *claim_stream)
{
  for (const GList *link = claim_stream->recent.head; link != NULL; link = link->next)
    {
      const recent_entry_t *recent = link->data;
      if (recent->at_us + CLAIM_RECENT_US < claim_stream->now_us ||
          claim_stream->queue.length >= LIMIT_CLAIM_QUEUE_ENTRIES)
        continue;
      queued_entry_t *entry = g_new0 (queued_entry_t, 1);
      entry->fields = recent->fields;
      if (entry->fields.kind == CLAIM_ENTRY_DONE)
        count_deferred (claim_stream);
      g_queue_push_tail (&claim_stream->queue, entry);
    }
}

void
claim_begin_era (claim_stream_t *claim_stream, uint64_t now_us, uint64_t era)
{
  if (era <= claim_stream->next.era)
    return;
  advance_clock (claim_stream, now_us);
  claim_stream->next = (position_t){ .era = era };
  give_up_all (claim_stream);
  queue_recent (claim_stream);
}

void
claim_set_first (claim_stream_t *claim_stream, position_t first)
{
  if (first.era == claim_stream->next.era)
    claim_stream->next = position_later (claim_stream->next, first);
}

void
claim_apply_record (claim_stream_t *claim_stream,
                    uint64_t now_us,
                    uint64_t wall_ms,
                    position_t position,
                    const char *data,
                    size_t data_bytes)
{
  advance_clock (claim_stream, now_us);
  claim_keys_set_wall_clock (claim_stream->keys, wall_ms);
  if (position.era != claim_stream->next.era || position_is_before (position, claim_stream->next))
    return;
  claim_stream->next = (position_t){ position.era, position.offset + 1 };
  GArray *entries = claim_record_parse (data, data_bytes, &claim_stream->malformed_count);
  for (guint i = 0; i < entries->len; i++)
    apply_entry (claim_stream, &g_array_index (entries, claim_entry_t, i));
  g_array_free (entries, TRUE);
  if (claim_stream->append_lost && all_read_back (claim_stream))
    requeue_lost (claim_stream);
}

void
claim_read_to_end (claim_stream_t *claim_stream, uint64_t now_us, position_t end)
{
  advance_clock (claim_stream, now_us);
  if (end.era != claim_stream->next.era)
    return;
  claim_stream->next = position_later (claim_stream->next, end);
  if (claim_stream->append_lost && ++claim_stream->reads_after_loss >= READS_AFTER_LOSS)
    requeue_lost (claim_stream);
}

position_t
claim_next (const claim_stream_t *claim_stream)
{
  return claim_stream->next;
}

bool
claim_has_work (const claim_stream_t *claim_stream)
{
  return g_hash_table_size (claim_stream->pending) > 0 || claim_stream->queue.length > 0 ||
         claim_stream->batch.length > 0;
}

bool
claim_needs_read (const claim_stream_t *claim_stream)
{
  return g_hash_table_size (claim_stream->pending) > 0 || claim_stream->append_lost;
}

uint64_t
claim_append_due_us (const claim_stream_t *claim_stream)
{
  if (claim_stream->queue.length == 0 || claim_stream->batch.length > 0)
    return UINT64_MAX;
  bool defer = claim_stream->deferred_count == claim_stream->queue.length &&
               claim_stream->deferred_count < LIMIT_CLAIM_RECORD_ENTRIES;
  return MAX (claim_stream->pace.due_us,
              defer ? claim_stream->deferred_since_us + LIMIT_CLAIM_BATCH_DELAY_US : 0);
}

bool
claim_take_result (claim_stream_t *claim_stream, uint64_t now_us, claim_result_t *result)
{
  advance_clock (claim_stream, now_us);
  give_up_expired (claim_stream);
  pending_result_t *pending_result = g_queue_pop_head (&claim_stream->results);
  if (pending_result == NULL)
    return false;
  if (pending_result->result.verdict == CLAIM_GRANTED &&
      claim_stream->now_us >= pending_result->expiry_us)
    {
      pending_result->result.verdict = CLAIM_EXPIRED;
      enqueue_release (claim_stream, pending_result->result.claim_id, &pending_result->key);
    }
  *result = pending_result->result;
  g_free (pending_result);
  return true;
}

uint32_t
claim_key_count (const claim_stream_t *claim_stream)
{
  return claim_keys_count (claim_stream->keys);
}

uint64_t
claim_memory_bytes (const claim_stream_t *claim_stream)
{
  return claim_keys_memory_bytes (claim_stream->keys);
}

uint64_t
claim_malformed_count (const claim_stream_t *claim_stream)
{
  return claim_stream->malformed_count;
}
