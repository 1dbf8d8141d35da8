#include "fleet.h"

#include "../random.h"
#include "base/log.h"
#include "request/policy/place.h"

#include <math.h>
#include <string.h>

#define FLEET_KEY "bench-fleet-key-0123456789"
#define PORT_BASE 1000
#define TICK_US (PSE_TICK_MS * CLK_US_PER_MS)
#define LOAD 138 /* requests under way at an engine: 34,000 a second, 15 s each, 3,700 engines */
#define RAMP_US (10 * CLK_US_PER_S) /* in which loads double */

static bool
is_engine (const flt_t *flt, uint32_t index)
{
  return index < flt->options.engines;
}

static void
name_host (const flt_t *flt, uint32_t index, char *out, size_t bytes)
{
  g_snprintf (out, bytes, "%s-%u", is_engine (flt, index) ? "engine" : "router", index);
}

static uint32_t
data_center_of (uint32_t index)
{
  return index % FLT_DATA_CENTERS;
}

static uint32_t
service_of (uint32_t index)
{
  return index / FLT_DATA_CENTERS % FLT_SERVICES;
}

static void
list_hosts (flt_t *flt)
{
  flt->listed = g_new0 (mem_listed_t, flt->count);
  for (uint32_t i = 0; i < flt->count; i++)
    {
      mem_listed_t *host = &flt->listed[i];
      name_host (flt, i, host->name, sizeof host->name);
      host->router = !is_engine (flt, i);
      g_snprintf (host->data_center, sizeof host->data_center, "dc-%u", data_center_of (i));
      g_snprintf (host->region, sizeof host->region, "region-%u", data_center_of (i) % FLT_REGIONS);
      g_strlcpy (host->exchange.ip, "10.0.0.1", sizeof host->exchange.ip);
      host->exchange.port = (uint16_t)(PORT_BASE + i);
      host->http = host->exchange;
    }
}

static void
take_list (flt_t *flt)
{
  mem_t *mem = mem_new ();
  mem_list_full (mem, flt->now_us, flt->listed, flt->count, ++flt->list_revision);
  if (flt->members != NULL)
    mem_snapshot_unref (flt->members);
  flt->members = mem_snapshot (mem);
  mem_free (mem);
}

static json_t *
services (const flt_t *flt)
{
  json_t *all = json_object ();
  for (uint32_t s = 0; s < FLT_SERVICES; s++)
    {
      char name[LIM_NAME_BYTES];
      json_t *engines = json_array ();
      for (uint32_t i = 0; i < flt->options.engines; i++)
        {
          name_host (flt, i, name, sizeof name);
          if (service_of (i) == s)
            json_array_append_new (engines, json_string (name));
        }
      g_snprintf (name, sizeof name, "service-%u", s);
      json_object_set_new (all, name, json_pack ("{ss so}", "kind", "model", "engines", engines));
    }
  return all;
}

static man_t *
make_manifest (const flt_t *flt)
{
  char digest[65];
  g_snprintf (digest, sizeof digest, "%064x", 1);
  json_t *json = json_pack ("{s{s{ss}} s{s{}} so s[{ss ss ss}]}", "client_accounts", "one",
                            "key_sha256", digest, "classes", "chat", "services", services (flt),
                            "routes", "path", "/a", "service", "service-0", "class", "chat");
  GError *error = NULL;
  man_t *man = man_from_json (json, &error);
  json_decref (json);
  if (man == NULL)
    g_error ("%s", error->message);
  man->version = 1;
  return man;
}

/* Nobody reads what is told to data tasks. */
static void
ignore (mbx_message_t *message, void *context)
{
  (void)message;
  (void)context;
}

static void
set_up_settings (flt_t *flt, flt_node_t *node)
{
  set_t *set = &node->dmn.set;
  const mem_listed_t *listed = &flt->listed[node->index];
  set->role = listed->router ? SET_ROLE_ROUTER : SET_ROLE_SIDECAR;
  g_strlcpy (set->name, listed->name, sizeof set->name);
  g_strlcpy (set->data_center, listed->data_center, sizeof set->data_center);
  g_strlcpy (set->region, listed->region, sizeof set->region);
  g_strlcpy (set->fleet_key, FLEET_KEY, sizeof set->fleet_key);
  set->exchange = listed->exchange;
  set->exchange_interval_ms = flt->options.interval_ms;
  set->list_interval_ms = 1000;
  set->control_budget_bytes = flt->options.budget_bytes;
  set->claim_horizon_s = 86400;
  set->log_retention_s = 604800;
}

static uint64_t
jittered_us (flt_t *flt)
{
  return (uint64_t)((double)flt->options.interval_ms * CLK_US_PER_MS *
                    (0.75 + rnd_unit (&flt->random) / 2));
}

static void
start_node (flt_t *flt, uint32_t index)
{
  flt_node_t *node = &flt->nodes[index];
  node->flt = flt;
  node->index = index;
  node->data_center = data_center_of (index);
  node->service = service_of (index);
  node->bias = rnd_lognormal (&flt->random, 1, 0.25);
  node->phase = rnd_unit (&flt->random);
  node->period_us = (5 + 10 * rnd_unit (&flt->random)) * CLK_US_PER_S;
  set_up_settings (flt, node);
  clk_init_paused (&node->dmn.clk, flt->now_us);
  node->dmn.incarnation = 1;
  node->dmn.counters = flt->counters;
  node->dmn.to_data = flt->mailbox;
  node->ctrl = ctrl_new_on (&node->dmn, flt->base, &flt->plt, NULL);
  event_del (node->ctrl->tick); /* time is virtual */
  mem_list_full (node->ctrl->mem, flt->now_us, flt->listed, flt->options.watched, 1);
  evt_add (&flt->events, flt->now_us + rnd_below (&flt->random, TICK_US), FLT_TICK, index, NULL);
  evt_add (&flt->events, flt->now_us + jittered_us (flt), FLT_TIMER, index, NULL);
}

static void
tell_load (flt_node_t *node)
{
  if (!is_engine (node->flt, node->index))
    return;
  ctrl_talk_t *talk = &node->ctrl->talk;
  talk->has_own_sample = true;
  talk->own_sample = (mean_sample_t){
    .engine_hash = node->ctrl->own_hash,
    .service_hash = node->flt->man->services[node->service].hash,
    .load = (uint32_t)llround (flt_load (node)),
    .taken_us = node->flt->now_us,
  };
}

static void
handle (flt_t *flt, const evt_t *event)
{
  flt_node_t *node = &flt->nodes[event->number];
  flt_enter (node);
  switch ((flt_event_t)event->kind)
    {
    case FLT_TIMER:
      tell_load (node);
      flt_exchange_timer (node);
      evt_add (&flt->events, flt->now_us + jittered_us (flt), FLT_TIMER, node->index, NULL);
      break;
    case FLT_TICK:
      tell_load (node);
      ctrl_turn (node->ctrl);
      evt_add (&flt->events, flt->now_us + TICK_US, FLT_TICK, node->index, NULL);
      break;
    case FLT_DATAGRAM:
      flt_exchange_datagram (node, event->data);
      break;
    case FLT_READ:
      flt_platform_read (node, event->data);
      break;
    case FLT_HOSTS:
      flt_platform_hosts (node, event->data);
      break;
    case FLT_FETCH:
      flt_fetch_end (node, event->data);
      break;
    }
}

static void
note_heard (flt_t *flt, flt_node_t *node, uint32_t *missing)
{
  if (flt->has_heard == NULL || node->heard_us != 0 || !flt->has_heard (node, flt->context))
    return;
  node->heard_us = flt->now_us;
  if (*missing > 0)
    --*missing;
}

static uint32_t
count_missing (const flt_t *flt)
{
  uint32_t missing = 0;
  for (uint32_t i = 0; i < flt->count; i++)
    missing += !flt->nodes[i].stopped && flt->nodes[i].heard_us == 0;
  return missing;
}

flt_t *
flt_new (const flt_options_t *options)
{
  flt_t *flt = g_new0 (flt_t, 1);
  log_init ("bench-spread", "bench", LOG_LEVEL_ERROR);
  flt->options = *options;
  flt->count = options->engines + options->routers;
  flt->now_us = 1000 * (uint64_t)CLK_US_PER_S;
  flt->random = options->seed;
  flt->cut_region = -1;
  flt->base = event_base_new ();
  flt->counters = cnt_set_new ();
  flt->mailbox = mbx_new (flt->base, ignore, NULL);
  flt->dummy = mem_new ();
  mem_snapshot_unref (mem_snapshot (flt->dummy)); /* so that it does not count as changed */
  evt_init (&flt->events);
  flt_platform_init (flt);
  list_hosts (flt);
  take_list (flt);
  flt->man = make_manifest (flt);
  flt->log_end = 1;
  flt->nodes = g_new0 (flt_node_t, flt->count);
  for (uint32_t i = 0; i < flt->count; i++)
    start_node (flt, i);
  return flt;
}

void
flt_free (flt_t *flt)
{
  evt_t event;
  while (evt_take (&flt->events, &event))
    g_free (event.data);
  evt_clear (&flt->events);
  for (uint32_t i = 0; i < flt->count; i++)
    ctrl_free (flt->nodes[i].ctrl);
  g_free (flt->nodes);
  g_free (flt->listed);
  mem_snapshot_unref (flt->members);
  man_unref (flt->man);
  mem_free (flt->dummy);
  mbx_free (flt->mailbox);
  cnt_set_free (flt->counters);
  event_base_free (flt->base);
  g_free (flt);
}

void
flt_enter (flt_node_t *node)
{
  node->dmn.clk.now_us = node->flt->now_us;
}

void
flt_run (flt_t *flt, uint64_t span_us, bool until_heard)
{
  uint64_t end_us = flt->now_us + span_us;
  uint32_t missing = count_missing (flt);
  uint32_t handled = 0;
  evt_t event;
  while (!(until_heard && missing == 0) && evt_take (&flt->events, &event))
    {
      if (event.at_us > end_us)
        {
          evt_add (&flt->events, event.at_us, event.kind, event.number, event.data);
          break;
        }
      flt->now_us = event.at_us;
      if (flt->nodes[event.number].stopped)
        {
          g_free (event.data);
          continue;
        }
      handle (flt, &event);
      note_heard (flt, &flt->nodes[event.number], &missing);
      if (++handled % 256 == 0)
        event_base_loop (flt->base, EVLOOP_NONBLOCK);
    }
  if (!until_heard)
    flt->now_us = end_us;
}

void
flt_wait_for (flt_t *flt, bool (*has_heard) (const flt_node_t *node, void *context), void *context)
{
  flt->has_heard = has_heard;
  flt->context = context;
  for (uint32_t i = 0; i < flt->count; i++)
    flt->nodes[i].heard_us = 0;
}

void
flt_publish (flt_t *flt)
{
  json_t *patch =
      json_pack ("{s{s{si}}}", "client_accounts", "one", "weight", (int)(1000 + flt->man->version));
  GError *error = NULL;
  man_t *man = man_patch (flt->man, patch, &error);
  json_decref (patch);
  if (man == NULL)
    g_error ("%s", error->message);
  man->version = flt->man->version + 1;
  man_unref (flt->man);
  flt->man = man;
  flt->log_end++;
}

void
flt_list (flt_t *flt, int32_t data_center, mem_state_t state)
{
  for (uint32_t i = 0; i < flt->count; i++)
    {
      if (data_center < 0 || data_center_of (i) == (uint32_t)data_center)
        flt->listed[i].state = state;
    }
  take_list (flt);
}

void
flt_stop (flt_t *flt, uint32_t data_center)
{
  for (uint32_t i = 0; i < flt->count; i++)
    flt->nodes[i].stopped = flt->nodes[i].stopped || data_center_of (i) == data_center;
}

double
flt_load (const flt_node_t *node)
{
  const flt_t *flt = node->flt;
  double level = LOAD;
  if (flt->ramp_us != 0 && flt->now_us > flt->ramp_us)
    level *= 1 + MIN (1.0, (double)(flt->now_us - flt->ramp_us) / RAMP_US);
  double turn = (double)flt->now_us / node->period_us + node->phase;
  return level * node->bias * (1 + 0.1 * sin (2 * M_PI * turn));
}
