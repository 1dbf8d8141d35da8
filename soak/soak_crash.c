/* Requests that end each upstream that runs them, and requests with a part of their prompts that
 * does: callers send them again and again, through all gateways, beside all other faults. */
#include "soak.h"

#include <string.h>

#define CRASHES_MAX 3      /* upstreams that one such request may end */
#define PART_CRASHES_MAX 5 /* likewise, requests with such a part */
#define LATE_SENDS_MAX 3   /* sends to upstreams that are allowed once all gateways may know */
#define ACTIVE_MIN_MS 300  /* for how long callers send it */
#define ACTIVE_SPREAD_MS 2200
#define INTERVAL_MIN_MS 30 /* between two sends */
#define INTERVAL_SPREAD_MS 170
#define PAUSE_MAX_MS 2500 /* from the end of one to the next */
#define CHECK_ROUNDS 2    /* sends of the check to each gateway */
#define CHECK_ANSWER_MS 400

const char *const soak_crash_parts[SOAK_CRASH_PARTS] = { "dead01", "dead02" };

static uint32_t
draw (GRand *rand, uint32_t below)
{
  return (uint32_t)g_rand_int_range (rand, 0, (gint32)below);
}

/* Return: when the next one may begin */
static uint64_t
start_crasher (soak_t *soak, GRand *rand, soak_crasher_t *crasher, const char *name)
{
  uint32_t active_ms = ACTIVE_MIN_MS + draw (rand, ACTIVE_SPREAD_MS);

  crasher->kind = draw (rand, SOAK_KINDS);
  crasher->path = g_strdup_printf ("%s%s", soak_kind_path (crasher->kind), name);
  crasher->until_us = soak_now_us () + (uint64_t)active_ms * 1000;
  soak_log (soak, "%s comes for %u ms", crasher->path, active_ms);
  return crasher->until_us + (uint64_t)draw (rand, PAUSE_MAX_MS) * 1000;
}

static void
start_request (soak_t *soak)
{
  soak_crasher_t *crasher = &soak->crashers[soak->crasher_count++];
  g_autofree char *name = g_strdup_printf (SOAK_CRASH_TEXT "-%u", soak->crasher_count);

  soak->next_crasher_us = start_crasher (soak, soak->crash_rand, crasher, name);
}

static void
start_part (soak_t *soak)
{
  soak_crasher_t *crasher = &soak->part_crashers[soak->part_crasher_count];
  const char *part = soak_crash_parts[soak->part_crasher_count++];
  g_autofree char *name = g_strdup_printf ("%s-", part);

  crasher->part = part;
  soak->next_part_crasher_us = start_crasher (soak, soak->part_rand, crasher, name);
}

static void
send_crasher (soak_t *soak, uint32_t gateway, soak_crasher_t *crasher)
{
  g_autofree char *path = crasher->part ? g_strdup_printf ("%s%u", crasher->path, crasher->sent++)
                                        : g_strdup (crasher->path);

  soak_send_to_path (soak, gateway, crasher->kind, path, crasher->part);
}

static void
poll_crasher (soak_t *soak, GRand *rand, soak_crasher_t *crasher)
{
  uint64_t now_us = soak_now_us ();
  uint32_t interval_ms;

  if (now_us >= crasher->until_us || now_us < crasher->next_us)
    return;
  interval_ms = INTERVAL_MIN_MS + draw (rand, INTERVAL_SPREAD_MS);
  crasher->next_us = now_us + (uint64_t)interval_ms * 1000;
  send_crasher (soak, draw (rand, soak->gateway_count), crasher);
}

void
soak_poll_crashers (soak_t *soak)
{
  if (!soak->crashes || soak->next_crasher_us == 0)
    return;
  if (soak->crasher_count < SOAK_CRASHERS_MAX && soak_now_us () >= soak->next_crasher_us)
    start_request (soak);
  if (soak->part_crasher_count < SOAK_CRASH_PARTS && soak_now_us () >= soak->next_part_crasher_us)
    start_part (soak);
  for (uint32_t i = 0; i < soak->crasher_count; i++)
    poll_crasher (soak, soak->crash_rand, &soak->crashers[i]);
  for (uint32_t i = 0; i < soak->part_crasher_count; i++)
    poll_crasher (soak, soak->part_rand, &soak->part_crashers[i]);
}

static bool
is_of_crasher (const soak_t *soak, const soak_crasher_t *crasher, const char *id)
{
  for (guint i = 0; i < soak->calls->len; i++)
    {
      const soak_request_t *call = g_ptr_array_index (soak->calls, i);

      if (strcmp (call->id, id) == 0)
        return crasher->part ? g_str_has_prefix (call->path, crasher->path)
                             : strcmp (call->path, crasher->path) == 0;
    }
  return false;
}

/* Counts the records of upstreams that begin with @what and have the outcome @outcome, any when
 * that is NULL. */
static uint32_t
count_records (const soak_t *soak,
               const soak_crasher_t *crasher,
               const char *what,
               const char *outcome)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < SOAK_UPSTREAMS; i++)
    {
      g_autofree char *path = g_strdup_printf ("%s/upstream-%u.record", soak->dir, i);
      g_autofree char *text = NULL;

      if (!g_file_get_contents (path, &text, NULL, NULL))
        continue;
      g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
      for (char **line = lines; *line; line++)
        {
          g_auto (GStrv) fields = g_strsplit (*line, " ", 7);

          if (g_strv_length (fields) == 7 && strcmp (fields[0], what) == 0 &&
              (!outcome || strcmp (fields[6], outcome) == 0) &&
              is_of_crasher (soak, crasher, fields[2]))
            count++;
        }
    }
  return count;
}

/* One that had not ended enough upstreams before may end the rest of them now. */
static void
check_crasher (soak_t *soak, soak_crasher_t *crasher)
{
  uint32_t crashes_max = crasher->part ? PART_CRASHES_MAX : CRASHES_MAX;
  uint32_t crashes = count_records (soak, crasher, "end", "crash");
  uint32_t begun = count_records (soak, crasher, "begin", NULL);
  uint32_t allowed = LATE_SENDS_MAX + crashes_max - MIN (crashes, crashes_max);
  uint32_t late;

  for (uint32_t i = 0; i < CHECK_ROUNDS * soak->gateway_count; i++)
    {
      send_crasher (soak, i % soak->gateway_count, crasher);
      soak_run_loop (soak, CHECK_ANSWER_MS);
    }
  late = count_records (soak, crasher, "begin", NULL) - begun;
  soak_log (soak, "%s ended %u upstreams, was sent to %u more after all had healed", crasher->path,
            crashes, late);
  if (late > allowed)
    soak_fail (soak, "%s had ended %u upstreams and was sent to %u more, %u are allowed",
               crasher->path, crashes, late, allowed);
}

void
soak_check_crashers (soak_t *soak)
{
  soak->next_crasher_us = 0;
  for (uint32_t i = 0; i < soak->crasher_count; i++)
    check_crasher (soak, &soak->crashers[i]);
  for (uint32_t i = 0; i < soak->part_crasher_count; i++)
    check_crasher (soak, &soak->part_crashers[i]);
}
