/**
 * DOC: session_surge
 *
 * One client account sends far more requests than the engines can process. Requests of other
 * accounts are answered in time, no engine exceeds its load bound, and each refused request gets
 * the verdict not_run.
 */
#include "driver.h"

#include <string.h>

#define SURGE_REQUESTS 400 /* requests, sent at once */
#define TAGS 15
#define TAG_LIMIT_US (2 * 1000 * 1000)
#define BOUND_TENTHS 15 /* of the mean load; bound_percent of the manifest is 150 */
#define ENGINES 4

typedef struct
{
  driver_t *driver;
  driver_call_t *surge[SURGE_REQUESTS];
  bool is_within_bound;
  uint32_t max_load;
} surge_t;

static uint32_t
read_load (driver_process_t *sidecar)
{
  json_t *status = driver_admin_call (sidecar, "GET", "/medlarplank/status", NULL);
  uint32_t load = (uint32_t)json_integer_value (json_object_get (status, "load"));
  json_decref (status);
  return load;
}

/* One request over the bound is allowed, as the loads are read one after the other while they
 * change. */
static void
check_loads (surge_t *surge)
{
  uint32_t total = 0;
  uint32_t highest = 0;
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      uint32_t load = read_load (surge->driver->hosts[i].sidecar);
      total += load;
      highest = MAX (highest, load);
    }
  uint32_t bound = MAX (total * BOUND_TENTHS / (10 * ENGINES), total / ENGINES + 1);
  surge->max_load = MAX (surge->max_load, highest);
  surge->is_within_bound = surge->is_within_bound && highest <= bound + 1;
}

static void
start_surge (surge_t *surge)
{
  for (uint32_t i = 0; i < SURGE_REQUESTS; i++)
    {
      g_autofree char *name = g_strdup_printf ("surge %u", i);
      driver_request_t request = { .name = name,
                                   .account = "beta",
                                   .chat = name,
                                   .router = i % 2,
                                   .stream = true,
                                   .tokens = 100 };
      surge->surge[i] = driver_send_request (surge->driver, &request);
    }
}

static void
run_tags (surge_t *surge)
{
  uint32_t answered = 0;
  bool in_time = true;
  for (uint32_t i = 0; i < TAGS; i++)
    {
      g_autofree char *name = g_strdup_printf ("tag %u", i);
      driver_request_t request = {
        .name = name, .kind = DRIVER_TAG, .chat = name, .router = i % 2
      };
      driver_call_t *call = driver_send_request (surge->driver, &request);
      driver_call_wait (call);
      answered += driver_call_is_correct (call) ? 1 : 0;
      in_time = in_time && call->ended_us - call->sent_us < TAG_LIMIT_US;
      check_loads (surge);
    }
  driver_transcript_add (surge->driver,
                         "tags of the other account: %u of %d answered, each in time: %s", answered,
                         TAGS, in_time ? "yes" : "no");
}

static bool
is_refused_with_retry (const driver_call_t *call)
{
  return call->outcome == DRIVER_OUTCOME_COMPLETE && (call->status == 429 || call->status == 503) &&
         strcmp (driver_call_verdict (call), "not_run") == 0 &&
         driver_call_header (call, "retry-after") != NULL;
}

static void
test_surge (void)
{
  surge_t surge = { .driver = driver_new ("surge"), .is_within_bound = true };
  driver_fleet_t fleet = { .model_hosts = ENGINES, .plain_hosts = 1, .routers = 2 };
  driver_start (surge.driver, &fleet);
  start_surge (&surge);
  run_tags (&surge);
  driver_wait_all_calls (surge.driver);
  uint32_t answered = 0;
  uint32_t refused = 0;
  for (uint32_t i = 0; i < SURGE_REQUESTS; i++)
    {
      answered += driver_call_is_correct (surge.surge[i]) ? 1 : 0;
      refused += is_refused_with_retry (surge.surge[i]) ? 1 : 0;
    }
  printf ("%u answered, %u refused, most load %u\n", answered, refused, surge.max_load);
  driver_transcript_add (surge.driver, "the surge: each answered or refused as not run: %s",
                         answered + refused == SURGE_REQUESTS ? "yes" : "no");
  driver_transcript_add (surge.driver, "some were answered: %s", answered > 0 ? "yes" : "no");
  driver_transcript_add (surge.driver, "no engine over its bound: %s",
                         surge.is_within_bound ? "yes" : "no");
  driver_finish (surge.driver);
}

int
main (void)
{
  static const driver_test_t tests[] = { { "one account surges", test_surge } };
  return driver_main ("surge", tests, G_N_ELEMENTS (tests));
}
