/**
 * DOC: session_surge
 *
 * One client account sends far more than the engines can take. The others don't notice, no engine
 * carries more than its share, and all that is refused is refused as not run.
 */
#include "driver.h"

#include <string.h>

#define SURGE 400
#define TAGS 15
#define TAG_LIMIT_US (2 * 1000 * 1000)
#define BOUND_TENTHS 15 /* of the mean, as the manifest says */
#define ENGINES 4

typedef struct
{
  drv_t *drv;
  drv_call_t *surge[SURGE];
  bool bound_held;
  uint32_t most_load;
} surge_t;

static uint32_t
load_of (drv_process_t *sidecar)
{
  json_t *status = drv_admin (sidecar, "GET", "/medlarplank/status", NULL);
  uint32_t load = (uint32_t)json_integer_value (json_object_get (status, "load"));
  json_decref (status);
  return load;
}

/* The loads are read one after the other, so one request more than the bound is let pass. */
static void
look_at_loads (surge_t *surge)
{
  uint32_t total = 0;
  uint32_t most = 0;
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      uint32_t load = load_of (surge->drv->hosts[i].sidecar);
      total += load;
      most = MAX (most, load);
    }
  uint32_t bound = MAX (total * BOUND_TENTHS / (10 * ENGINES), total / ENGINES + 1);
  surge->most_load = MAX (surge->most_load, most);
  surge->bound_held = surge->bound_held && most <= bound + 1;
}

static void
start_surge (surge_t *surge)
{
  for (uint32_t i = 0; i < SURGE; i++)
    {
      g_autofree char *name = g_strdup_printf ("surge %u", i);
      drv_ask_t ask = { .name = name,
                        .account = "beta",
                        .chat = name,
                        .router = i % 2,
                        .stream = true,
                        .tokens = 100 };
      surge->surge[i] = drv_ask (surge->drv, &ask);
    }
}

static void
tags_meanwhile (surge_t *surge)
{
  uint32_t own = 0;
  bool fast = true;
  for (uint32_t i = 0; i < TAGS; i++)
    {
      g_autofree char *name = g_strdup_printf ("tag %u", i);
      drv_ask_t ask = { .name = name, .kind = DRV_TAG, .chat = name, .router = i % 2 };
      drv_call_t *call = drv_ask (surge->drv, &ask);
      drv_answered (call);
      own += drv_own_answer (call) ? 1 : 0;
      fast = fast && call->ended_us - call->sent_us < TAG_LIMIT_US;
      look_at_loads (surge);
    }
  drv_say (surge->drv, "tags of the other account: %u of %d answered, each in time: %s", own, TAGS,
           fast ? "yes" : "no");
}

static bool
well_refused (const drv_call_t *call)
{
  return call->outcome == DRV_WHOLE && (call->status == 429 || call->status == 503) &&
         strcmp (drv_verdict (call), "not_run") == 0 && drv_header (call, "retry-after") != NULL;
}

static void
test_surge (void)
{
  surge_t surge = { .drv = drv_new ("surge"), .bound_held = true };
  drv_fleet_t fleet = { .model_hosts = ENGINES, .plain_hosts = 1, .routers = 2 };
  drv_start (surge.drv, &fleet);
  start_surge (&surge);
  tags_meanwhile (&surge);
  drv_all_answered (surge.drv);
  uint32_t own = 0;
  uint32_t refused = 0;
  for (uint32_t i = 0; i < SURGE; i++)
    {
      own += drv_own_answer (surge.surge[i]) ? 1 : 0;
      refused += well_refused (surge.surge[i]) ? 1 : 0;
    }
  printf ("%u answered, %u refused, most load %u\n", own, refused, surge.most_load);
  drv_say (surge.drv, "the surge: each answered or refused as not run: %s",
           own + refused == SURGE ? "yes" : "no");
  drv_say (surge.drv, "some were answered: %s", own > 0 ? "yes" : "no");
  drv_say (surge.drv, "no engine over its bound: %s", surge.bound_held ? "yes" : "no");
  drv_finish (surge.drv);
}

int
main (void)
{
  static const drv_test_t tests[] = { { "one account surges", test_surge } };
  return drv_main ("surge", tests, G_N_ELEMENTS (tests));
}
