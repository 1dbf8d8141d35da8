/* Checks the guarantees against what clients received and which requests upstreams recorded. */
#include "soak.h"

#include <stdlib.h>
#include <string.h>

/** struct execution_count - how often upstreams began to execute one request */
typedef struct
{
  uint32_t count;
} execution_count_t;

/**
 * struct records - the requests sent and the records of all upstreams
 * @executions: request id -> execution_count_t
 * @leaving_since_us: upstream instance -> time when it announced its leaving, uint64_t in us
 * @sent_ids: set of the ids of all requests sent
 */
typedef struct
{
  soak_t *soak;
  GHashTable *executions;
  GHashTable *leaving_since_us;
  GHashTable *sent_ids;
} records_t;

static bool
was_undisturbed (const soak_t *soak, uint64_t from_us, uint64_t to_us)
{
  uint64_t margin_us = (uint64_t)SOAK_SETTLE_MS * 1000;

  for (guint i = 0; i < soak->disturbances->len; i++)
    {
      const soak_period_t *span = &g_array_index (soak->disturbances, soak_period_t, i);

      if (span->from_us < to_us && span->to_us + margin_us > from_us)
        return false;
    }
  return true;
}

static uint64_t
wall_to_monotonic_us (int64_t wall_ms)
{
  return soak_now_us () - (uint64_t)(g_get_real_time () - wall_ms * 1000);
}

static void
check_begin_record (records_t *records, char **fields)
{
  const char *id = fields[2];
  execution_count_t *executions = g_hash_table_lookup (records->executions, id);
  const uint64_t *left_at_us = g_hash_table_lookup (records->leaving_since_us, fields[3]);
  uint64_t at_us = wall_to_monotonic_us (g_ascii_strtoll (fields[1], NULL, 10));

  if (!executions)
    {
      executions = g_new0 (execution_count_t, 1);
      g_hash_table_insert (records->executions, g_strdup (id), executions);
    }
  executions->count++;
  if (!g_hash_table_contains (records->sent_ids, id))
    soak_fail (records->soak, "an upstream ran %s, which no caller sent", id);
  if (strcmp (fields[4], "alpha") != 0)
    soak_fail (records->soak, "an upstream ran %s for the account %s", id, fields[4]);
  if (strcmp (fields[6], "-") != 0)
    soak_fail (records->soak, "an upstream saw the key of %s", id);
  if (left_at_us && at_us > *left_at_us + (uint64_t)SOAK_DRAIN_MS * 1000 &&
      was_undisturbed (records->soak, *left_at_us, at_us))
    soak_fail (records->soak, "%s began on %s, which had told %u ms before that it leaves", id,
               fields[3], (unsigned)((at_us - *left_at_us) / 1000));
}

static void
parse_record (records_t *records, const char *line)
{
  g_auto (GStrv) fields = g_strsplit (line, " ", 7);

  if (g_strv_length (fields) != 7)
    return;
  if (strcmp (fields[0], "begin") == 0)
    check_begin_record (records, fields);
  else if (strcmp (fields[0], "leaving") == 0 &&
           !g_hash_table_contains (records->leaving_since_us, fields[3]))
    {
      uint64_t *at_us = g_new (uint64_t, 1);

      *at_us = wall_to_monotonic_us (g_ascii_strtoll (fields[1], NULL, 10));
      g_hash_table_insert (records->leaving_since_us, g_strdup (fields[3]), at_us);
    }
}

static void
read_upstream_records (records_t *records)
{
  for (uint32_t i = 0; i < records->soak->upstream_count; i++)
    {
      g_autofree char *path = g_strdup_printf ("%s/upstream-%u.record", records->soak->dir, i);
      g_autofree char *text = NULL;

      if (!g_file_get_contents (path, &text, NULL, NULL))
        {
          soak_fail (records->soak, "%s can't be read", path);
          return;
        }
      g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
      for (char **line = lines; *line; line++)
        parse_record (records, *line);
    }
}

static void
check_plain (const soak_request_t *call)
{
  g_autofree char *expected = g_strdup_printf ("answer to %s by %s\n", call->id, call->stamp);

  if (strcmp (call->body->str, expected) != 0)
    soak_fail (call->soak, "%s was answered by \"%s\", stamp %s", call->id, call->body->str,
               call->stamp);
}

/* A stream must consist of this request's events, in order, each once and all of one software
 * version; it may be cut short. */
static void
check_stream (const soak_request_t *call)
{
  GString *expected = g_string_new (NULL);
  g_autofree char *version = call->soak->versions ? soak_stream_version (call) : NULL;

  for (uint32_t event = call->first_event; event <= SOAK_EVENTS; event++)
    g_string_append_printf (expected, "id: %u\ndata: %s %u%s%s\n\n", event, call->id, event,
                            version ? " " : "", version ? version : "");
  if (strlen (call->body->str) != call->body->len)
    soak_fail (call->soak, "%s got a NUL behind \"%s\"", call->id, call->body->str);
  else if (!g_str_has_prefix (expected->str, call->body->str))
    soak_fail (call->soak, "%s got events out of order, or not of version %s: \"%s\"", call->id,
               version ? version : "-", call->body->str);
  else if (call->complete && strcmp (expected->str, call->body->str) != 0)
    soak_fail (call->soak, "%s got a part that looks whole: \"%s\"", call->id, call->body->str);
  g_string_free (expected, TRUE);
}

/* With these statuses a gateway guarantees that no upstream executed the request. */
static bool
means_not_executed (int status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

static void
check_call (const records_t *records, const soak_request_t *call)
{
  const execution_count_t *executions = g_hash_table_lookup (records->executions, call->id);
  uint32_t count = executions ? executions->count : 0;
  bool repeatable = call->kind == SOAK_IDEMPOTENT || call->kind == SOAK_RESUMABLE_STREAM;

  soak_check_end (call, count);
  if (!repeatable && count > 1)
    soak_fail (records->soak, "%s, which may run once, ran %u times", call->id, count);
  if (repeatable && count > 2)
    soak_fail (records->soak, "%s ran on %u upstreams, its route allows two", call->id, count);
  if (call->complete && means_not_executed (call->status) && count > 0)
    soak_fail (records->soak, "%s was answered %d and ran", call->id, call->status);
  if (!call->valid_key && (count > 0 || call->status == 200))
    soak_fail (records->soak, "%s ran with a key that nobody has", call->id);
  if (call->status != 200)
    return;
  if (call->kind == SOAK_RESUMABLE_STREAM || call->kind == SOAK_STREAM)
    check_stream (call);
  else if (call->complete)
    check_plain (call);
}

/* A gateway process that has served the route of a version must not answer 404 for it later. */
static void
check_version_order (soak_t *soak)
{
  uint32_t highest[SOAK_GATEWAYS_MAX] = { 0 };
  uint64_t since_us[SOAK_GATEWAYS_MAX] = { 0 };
  uint32_t incarnation[SOAK_GATEWAYS_MAX] = { 0 };

  for (guint i = 0; i < soak->calls->len; i++)
    {
      const soak_request_t *call = g_ptr_array_index (soak->calls, i);
      uint32_t gateway = call->gateway;

      if (call->incarnation != incarnation[gateway])
        highest[gateway] = 0;
      incarnation[gateway] = call->incarnation;
      if (call->status == 200 && call->version > highest[gateway] &&
          soak->start_counts[gateway] >= call->incarnation)
        {
          highest[gateway] = call->version;
          since_us[gateway] = call->ended_us;
        }
      if (call->status == 404 && call->version <= highest[gateway] &&
          call->sent_us > since_us[gateway])
        soak_fail (soak, "gateway %u denied version %u's route (%s) after it had served version %u",
                   gateway, call->version, call->id, highest[gateway]);
      if ((call->status == 404 && call->version <= 1) || (call->status == 401 && call->valid_key))
        soak_fail (soak, "gateway %u denied %s by %d", gateway, call->id, call->status);
    }
}

/* Without a fault in between, a version is in force at all gateways in time. */
static void
check_version_time (soak_t *soak)
{
  for (guint i = 0; i < soak->calls->len; i++)
    {
      const soak_request_t *call = g_ptr_array_index (soak->calls, i);
      uint64_t acked_us;

      if (call->status != 404 || call->version > soak->acked_version)
        continue;
      acked_us = g_array_index (soak->acked_us, uint64_t, call->version);
      if (call->sent_us > acked_us + (uint64_t)SOAK_DRAIN_MS * 1000 &&
          was_undisturbed (soak, acked_us, call->sent_us))
        soak_fail (
            soak, "gateway %u denied version %u's route (%s) %u ms after it was acknowledged",
            call->gateway, call->version, call->id, (unsigned)((call->sent_us - acked_us) / 1000));
    }
}

/* Whether it resumes a stream of before the check, which gateways may have lost for good. */
static bool
resumes_lost_stream (const soak_request_t *call, uint64_t checked_us)
{
  if (!call->soak->losses.enabled || !call->resumed)
    return false;
  while (call->resumed)
    call = call->resumed;
  return call->sent_us < checked_us;
}

#define BATCH_INTERVAL_MS 2000

/* After all faults have ended, every gateway must serve every kind of request, and the route of the
 * newest version. A few gateways send at a time, as the upstreams have few slots. */
static void
check_recovery (soak_t *soak)
{
  guint first = soak->calls->len;
  uint64_t began_us = soak_now_us ();

  for (uint32_t i = 0; i < soak->gateway_count; i++)
    {
      for (uint32_t kind = 0; kind < SOAK_KINDS; kind++)
        for (uint32_t repetition = 0; repetition < 4; repetition++)
          soak_send_request (soak, i, kind, 0, true);
      if (soak->acked_version > 1)
        soak_send_request (soak, i, SOAK_IDEMPOTENT, soak->acked_version, true);
      if ((i + 1) % SOAK_GATEWAYS == 0 && i + 1 < soak->gateway_count)
        soak_run_loop (soak, BATCH_INTERVAL_MS);
    }
  soak_run_loop (soak, 3000);
  for (guint i = first; i < soak->calls->len; i++)
    {
      const soak_request_t *call = g_ptr_array_index (soak->calls, i);
      bool is_upstream_failure =
          (call->stamp[0] != '\0' && call->status == 500) || call->status == 502;

      /* The stand-in upstream fails or loses a few plain responses on purpose, unless it is sound.
       */
      if ((call->status != 200 || !call->complete) &&
          (!is_upstream_failure || soak->silences.enabled) && !resumes_lost_stream (call, began_us))
        soak_fail (soak, "after all had healed, gateway %u answered %s (kind %u, version %u) by %d",
                   call->gateway, call->id, call->kind, call->version, call->status);
    }
}

/* A gateway whose entry is not in the store can't be found by those that start. */
static void
check_entries (soak_t *soak)
{
  for (uint32_t i = 0; i < soak->gateway_count; i++)
    if (!soak_has_entry (soak, i))
      soak_fail (soak, "the store has no entry of gateway %u", i);
}

void
soak_check (soak_t *soak)
{
  records_t records = { .soak = soak };

  check_recovery (soak);
  check_entries (soak);
  soak_check_streams (soak);
  soak_check_losses (soak);
  soak_check_crashers (soak);
  records.executions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  records.leaving_since_us = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  records.sent_ids = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < soak->calls->len; i++)
    g_hash_table_add (records.sent_ids, ((soak_request_t *)g_ptr_array_index (soak->calls, i))->id);
  read_upstream_records (&records);
  for (guint i = 0; i < soak->calls->len; i++)
    check_call (&records, g_ptr_array_index (soak->calls, i));
  soak_log_ends (soak);
  check_version_order (soak);
  check_version_time (soak);
  g_hash_table_destroy (records.executions);
  g_hash_table_destroy (records.leaving_since_us);
  g_hash_table_destroy (records.sent_ids);
}
