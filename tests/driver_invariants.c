#include "driver.h"

#include <stdlib.h>
#include <string.h>

static bool
is_non_idempotent (const driver_call_t *call)
{
  return call->kind == DRIVER_TAG || call->kind == DRIVER_BOOKING;
}

static bool
has_same_body (const driver_call_t *a, const driver_call_t *b)
{
  return strcmp (a->sent_body, b->sent_body) == 0;
}

static bool
has_same_key (const driver_call_t *a, const driver_call_t *b)
{
  return a->key != NULL && g_strcmp0 (a->key, b->key) == 0 &&
         g_strcmp0 (a->account, b->account) == 0;
}

/* Return: The number of runs of all bodies that were sent with the key of @call. */
static uint32_t
count_runs_of_key (const driver_call_t *call)
{
  GHashTable *counted = g_hash_table_new (g_str_hash, g_str_equal);
  uint32_t runs = 0;
  for (guint i = 0; i < call->driver->calls->len; i++)
    {
      const driver_call_t *other = call->driver->calls->pdata[i];
      if (has_same_key (call, other) && g_hash_table_add (counted, other->sent_body))
        runs += driver_call_run_count (other);
    }
  g_hash_table_destroy (counted);
  return runs;
}

/* A non-idempotent body may run at most once for each time it was sent and not answered with the
 * verdict not_run. Non-idempotent requests that share a key may run once in total. No request that
 * was answered with not_run may have run. */
static void
check_runs (driver_t *driver, const driver_call_t *call)
{
  uint32_t may_have_run = 0;
  for (guint i = 0; i < driver->calls->len; i++)
    {
      const driver_call_t *other = driver->calls->pdata[i];
      if (other->name == NULL || !has_same_body (call, other))
        continue;
      if (strcmp (driver_call_verdict (other), "not_run") != 0)
        may_have_run++;
    }
  uint32_t runs = driver_call_run_count (call);
  const char *request = driver_call_header (call, "x-medlarplank-request");
  if (strcmp (driver_call_verdict (call), "not_run") == 0 && request != NULL &&
      driver_request_has_run (driver, request))
    driver_fail (driver, "%s, request %s, was answered with not_run but ran", call->name, request);
  if (may_have_run == 0 && runs > 0)
    driver_fail (driver, "%s was only answered with not_run but ran", call->name);
  if (is_non_idempotent (call) && runs > may_have_run)
    driver_fail (driver, "%s ran %u times, was sent %u times without the answer not_run",
                 call->name, runs, may_have_run);
  if (is_non_idempotent (call) && call->key != NULL && count_runs_of_key (call) > 1)
    driver_fail (driver, "requests with the key of %s ran %u times", call->name,
                 count_runs_of_key (call));
}

static void
check_answer (driver_t *driver, const driver_call_t *call)
{
  if (call->outcome == DRIVER_OUTCOME_COMPLETE && call->status == 200 &&
      !driver_call_is_correct (call))
    driver_fail (driver, "%s got a response that does not belong to it: %s", call->name,
                 call->body->str);
  if (call->outcome == DRIVER_OUTCOME_COMPLETE && call->status >= 500 &&
      *driver_call_verdict (call) == '\0')
    driver_fail (driver, "%s got an error without a verdict: %s", call->name, call->body->str);
}

/* No attempt may begin twice, neither on one engine nor on two. */
static void
check_attempts (driver_t *driver)
{
  GHashTable *seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (uint32_t i = 0; i < driver->host_count; i++)
    {
      size_t index;
      json_t *entry;
      json_t *begun = driver_engine_begun_records (driver->hosts[i].engine);
      json_array_foreach (begun, index, entry)
        {
          const char *id = json_string_value (json_object_get (entry, "id"));
          if (id != NULL && !g_hash_table_add (seen, g_strdup (id)))
            driver_fail (driver, "attempt %s began twice", id);
        }
      json_decref (begun);
    }
  g_hash_table_destroy (seen);
}

/* The manifest version in force at a daemon may not decrease while the daemon runs. */
static void
check_versions (driver_t *driver, const driver_process_t *process)
{
  g_autofree char *text = NULL;
  uint64_t last = 0;
  if (!g_file_get_contents (process->log_path, &text, NULL, NULL))
    return;
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      const char *field = strstr (*line, ": version_in_force ");
      const char *number = field != NULL ? strstr (field, " version=") : NULL;
      if (strstr (*line, "]: started ") != NULL)
        last = 0; /* a restarted daemon reads it again from its sources */
      uint64_t version = number != NULL ? strtoull (number + strlen (" version="), NULL, 10) : last;
      if (version < last)
        driver_fail (driver, "%s went back to manifest version %u", process->name,
                     (uint32_t)version);
      last = version;
    }
}

void
driver_check_invariants (driver_t *driver)
{
  for (guint i = 0; i < driver->calls->len; i++)
    {
      const driver_call_t *call = driver->calls->pdata[i];
      if (call->name == NULL)
        continue;
      check_runs (driver, call);
      check_answer (driver, call);
    }
  check_attempts (driver);
  for (guint i = 0; i < driver->processes->len; i++)
    {
      const driver_process_t *process = driver->processes->pdata[i];
      check_versions (driver, process);
      if (process->max_runs >= 0 && driver_engine_run_count (process) > process->max_runs)
        driver_fail (driver, "a run began on %s after its host had left", process->name);
    }
}
