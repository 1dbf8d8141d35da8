#include "fleet.h"

#include "../random.h"
#include "base/log.h"
#include "request/policy/placement/rendezvous.h"

#include <math.h>
#include <string.h>

#define FLEET_KEY "bench-fleet-key-0123456789"
#define PORT_BASE 1000
#define TICK_US (PAUSE_CHECK_INTERVAL_MS * CLOCK_US_PER_MS)
/* Mean number of requests that an engine runs: 34,000 requests per second of 15 s each, spread over
 * 3,700 engines. */
#define MEAN_LOAD 138
#define LOAD_RAMP_US (10 * CLOCK_US_PER_S) /* time in which loads double */

static bool
is_engine (const flt_t *fleet, uint32_t index)
{
  return index < fleet->options.engines;
}

static void
format_host_name (const flt_t *fleet, uint32_t index, char *out, size_t bytes)
{
  g_snprintf (out, bytes, "%s-%u", is_engine (fleet, index) ? "engine" : "router", index);
}

static uint32_t
data_center_of (uint32_t index)
{
  return index % FLEET_DATA_CENTERS;
}

static uint32_t
service_of (uint32_t index)
{
  return index / FLEET_DATA_CENTERS % FLEET_SERVICES;
}

static void
init_host_list (flt_t *fleet)
{
  fleet->listed = g_new0 (membership_list_entry_t, fleet->count);
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      membership_list_entry_t *host = &fleet->listed[i];
      format_host_name (fleet, i, host->name, sizeof host->name);
      host->is_router = !is_engine (fleet, i);
      g_snprintf (host->data_center, sizeof host->data_center, "dc-%u", data_center_of (i));
      g_snprintf (host->region, sizeof host->region, "region-%u",
                  data_center_of (i) % FLEET_REGIONS);
      g_strlcpy (host->exchange.ip, "10.0.0.1", sizeof host->exchange.ip);
      host->exchange.port = (uint16_t)(PORT_BASE + i);
      host->http = host->exchange;
    }
}

static void
publish_list (flt_t *fleet)
{
  membership_t *membership = membership_new ();
  membership_apply_list (membership, fleet->now_us, fleet->listed, fleet->count,
                         ++fleet->list_revision);
  if (fleet->members != NULL)
    membership_snapshot_unref (fleet->members);
  fleet->members = membership_take_snapshot (membership);
  membership_free (membership);
}

static json_t *
services_to_json (const flt_t *fleet)
{
  json_t *all = json_object ();
  for (uint32_t s = 0; s < FLEET_SERVICES; s++)
    {
      char name[LIMIT_NAME_BYTES];
      json_t *engines = json_array ();
      for (uint32_t i = 0; i < fleet->options.engines; i++)
        {
          format_host_name (fleet, i, name, sizeof name);
          if (service_of (i) == s)
            json_array_append_new (engines, json_string (name));
        }
      g_snprintf (name, sizeof name, "service-%u", s);
      json_object_set_new (all, name, json_pack ("{ss so}", "kind", "model", "engines", engines));
    }
  return all;
}

static manifest_t *
make_manifest (const flt_t *fleet)
{
  char digest[65];
  g_snprintf (digest, sizeof digest, "%064x", 1);
  json_t *json =
      json_pack ("{s{s{ss}} s{s{}} so s[{ss ss ss}]}", "client_accounts", "one", "key_sha256",
                 digest, "classes", "chat", "services", services_to_json (fleet), "routes", "path",
                 "/a", "service", "service-0", "class", "chat");
  GError *error = NULL;
  manifest_t *manifest = manifest_from_json (json, &error);
  json_decref (json);
  if (manifest == NULL)
    g_error ("%s", error->message);
  manifest->version = 1;
  return manifest;
}

/* Messages to data tasks are dropped: the simulation has no data tasks. */
static void
drop_message (mailbox_message_t *message, void *context)
{
  (void)message;
  (void)context;
}

static void
init_settings (flt_t *fleet, fleet_node_t *node)
{
  settings_t *settings = &node->daemon.settings;
  const membership_list_entry_t *listed = &fleet->listed[node->index];
  settings->role = listed->is_router ? SETTINGS_ROLE_ROUTER : SETTINGS_ROLE_SIDECAR;
  g_strlcpy (settings->name, listed->name, sizeof settings->name);
  g_strlcpy (settings->data_center, listed->data_center, sizeof settings->data_center);
  g_strlcpy (settings->region, listed->region, sizeof settings->region);
  g_strlcpy (settings->fleet_key, FLEET_KEY, sizeof settings->fleet_key);
  settings->exchange = listed->exchange;
  settings->exchange_interval_ms = fleet->options.interval_ms;
  settings->list_interval_ms = 1000;
  settings->control_budget_bytes = fleet->options.budget_bytes;
  settings->claim_horizon_s = 86400;
  settings->log_retention_s = 604800;
}

static uint64_t
draw_interval_us (flt_t *fleet)
{
  return (uint64_t)((double)fleet->options.interval_ms * CLOCK_US_PER_MS *
                    (0.75 + random_unit (&fleet->random) / 2));
}

static void
start_node (flt_t *fleet, uint32_t index)
{
  fleet_node_t *node = &fleet->nodes[index];
  node->flt = fleet;
  node->index = index;
  node->data_center = data_center_of (index);
  node->service = service_of (index);
  node->load_factor = random_lognormal (&fleet->random, 1, 0.25);
  node->load_phase = random_unit (&fleet->random);
  node->load_period_us = (5 + 10 * random_unit (&fleet->random)) * CLOCK_US_PER_S;
  init_settings (fleet, node);
  clock_init_paused (&node->daemon.clock, fleet->now_us);
  node->daemon.incarnation = 1;
  node->daemon.counters = fleet->counters;
  node->daemon.to_data = fleet->mailbox;
  node->ctrl = control_new_with_platform (&node->daemon, fleet->base, &fleet->platform, NULL);
  event_del (node->ctrl->tick); /* the timer follows real time; FLEET_EVENT_TICK replaces it */
  membership_apply_list (node->ctrl->membership, fleet->now_us, fleet->listed,
                         fleet->options.watched, 1);
  event_queue_add (&fleet->events, fleet->now_us + random_below (&fleet->random, TICK_US),
                   FLEET_EVENT_TICK, index, NULL);
  event_queue_add (&fleet->events, fleet->now_us + draw_interval_us (fleet), FLEET_EVENT_EXCHANGE,
                   index, NULL);
}

static void
update_own_load (fleet_node_t *node)
{
  if (!is_engine (node->flt, node->index))
    return;
  control_exchange_t *talk = &node->ctrl->talk;
  talk->has_own_sample = true;
  talk->own_sample = (load_sample_t){
    .engine_hash = node->ctrl->own_hash,
    .service_hash = node->flt->manifest->services[node->service].hash,
    .load = (uint32_t)llround (fleet_node_load (node)),
    .taken_us = node->flt->now_us,
  };
}

static void
handle_event (flt_t *fleet, const event_queue_entry_t *event)
{
  fleet_node_t *node = &fleet->nodes[event->number];
  fleet_set_clock (node);
  switch ((fleet_event_t)event->kind)
    {
    case FLEET_EVENT_EXCHANGE:
      update_own_load (node);
      fleet_start_exchange (node);
      event_queue_add (&fleet->events, fleet->now_us + draw_interval_us (fleet),
                       FLEET_EVENT_EXCHANGE, node->index, NULL);
      break;
    case FLEET_EVENT_TICK:
      update_own_load (node);
      control_tick (node->ctrl);
      event_queue_add (&fleet->events, fleet->now_us + TICK_US, FLEET_EVENT_TICK, node->index,
                       NULL);
      break;
    case FLEET_EVENT_DATAGRAM:
      fleet_receive_datagram (node, event->data);
      break;
    case FLEET_EVENT_LOG_READ:
      fleet_platform_answer_read (node, event->data);
      break;
    case FLEET_EVENT_HOST_LIST:
      fleet_platform_answer_hosts (node, event->data);
      break;
    case FLEET_EVENT_FETCH:
      fleet_end_fetch (node, event->data);
      break;
    }
}

static void
record_received (flt_t *fleet, fleet_node_t *node, uint32_t *missing)
{
  if (fleet->has_received == NULL || node->received_us != 0 ||
      !fleet->has_received (node, fleet->context))
    return;
  node->received_us = fleet->now_us;
  if (*missing > 0)
    --*missing;
}

static uint32_t
count_missing (const flt_t *fleet)
{
  uint32_t missing = 0;
  for (uint32_t i = 0; i < fleet->count; i++)
    missing += !fleet->nodes[i].stopped && fleet->nodes[i].received_us == 0;
  return missing;
}

flt_t *
fleet_sim_new (const fleet_options_t *options)
{
  flt_t *fleet = g_new0 (flt_t, 1);
  log_init ("bench-spread", "bench", LOG_LEVEL_ERROR);
  fleet->options = *options;
  fleet->count = options->engines + options->routers;
  fleet->now_us = 1000 * (uint64_t)CLOCK_US_PER_S;
  fleet->random = options->seed;
  fleet->cut_region = -1;
  fleet->base = event_base_new ();
  fleet->counters = counter_registry_new ();
  fleet->mailbox = mailbox_new (fleet->base, drop_message, NULL);
  fleet->empty_members = membership_new ();
  membership_snapshot_unref (
      membership_take_snapshot (fleet->empty_members)); /* marks it as unchanged */
  event_queue_init (&fleet->events);
  fleet_platform_init (fleet);
  init_host_list (fleet);
  publish_list (fleet);
  fleet->manifest = make_manifest (fleet);
  fleet->log_end = 1;
  fleet->nodes = g_new0 (fleet_node_t, fleet->count);
  for (uint32_t i = 0; i < fleet->count; i++)
    start_node (fleet, i);
  return fleet;
}

void
fleet_sim_free (flt_t *fleet)
{
  event_queue_entry_t event;
  while (event_queue_pop (&fleet->events, &event))
    g_free (event.data);
  event_queue_clear (&fleet->events);
  for (uint32_t i = 0; i < fleet->count; i++)
    control_free (fleet->nodes[i].ctrl);
  g_free (fleet->nodes);
  g_free (fleet->listed);
  membership_snapshot_unref (fleet->members);
  manifest_unref (fleet->manifest);
  membership_free (fleet->empty_members);
  mailbox_free (fleet->mailbox);
  counter_registry_free (fleet->counters);
  event_base_free (fleet->base);
  g_free (fleet);
}

void
fleet_set_clock (fleet_node_t *node)
{
  node->daemon.clock.now_us = node->flt->now_us;
}

void
fleet_run (flt_t *fleet, uint64_t span_us, bool until_received)
{
  uint64_t end_us = fleet->now_us + span_us;
  uint32_t missing = count_missing (fleet);
  uint32_t handled = 0;
  event_queue_entry_t event;
  while (!(until_received && missing == 0) && event_queue_pop (&fleet->events, &event))
    {
      if (event.at_us > end_us)
        {
          event_queue_add (&fleet->events, event.at_us, event.kind, event.number, event.data);
          break;
        }
      fleet->now_us = event.at_us;
      if (fleet->nodes[event.number].stopped)
        {
          g_free (event.data);
          continue;
        }
      handle_event (fleet, &event);
      record_received (fleet, &fleet->nodes[event.number], &missing);
      if (++handled % 256 == 0)
        event_base_loop (fleet->base, EVLOOP_NONBLOCK);
    }
  if (!until_received)
    fleet->now_us = end_us;
}

void
fleet_wait_for (flt_t *fleet,
                bool (*has_received) (const fleet_node_t *node, void *context),
                void *context)
{
  fleet->has_received = has_received;
  fleet->context = context;
  for (uint32_t i = 0; i < fleet->count; i++)
    fleet->nodes[i].received_us = 0;
}

void
fleet_publish_version (flt_t *fleet)
{
  json_t *patch = json_pack ("{s{s{si}}}", "client_accounts", "one", "weight",
                             (int)(1000 + fleet->manifest->version));
  GError *error = NULL;
  manifest_t *manifest = manifest_patch (fleet->manifest, patch, &error);
  json_decref (patch);
  if (manifest == NULL)
    g_error ("%s", error->message);
  manifest->version = fleet->manifest->version + 1;
  manifest_unref (fleet->manifest);
  fleet->manifest = manifest;
  fleet->log_end++;
}

void
fleet_list_hosts (flt_t *fleet, int32_t data_center, membership_state_t state)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      if (data_center < 0 || data_center_of (i) == (uint32_t)data_center)
        fleet->listed[i].state = state;
    }
  publish_list (fleet);
}

void
fleet_stop_data_center (flt_t *fleet, uint32_t data_center)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    fleet->nodes[i].stopped = fleet->nodes[i].stopped || data_center_of (i) == data_center;
}

double
fleet_node_load (const fleet_node_t *node)
{
  const flt_t *fleet = node->flt;
  double level = MEAN_LOAD;
  if (fleet->ramp_us != 0 && fleet->now_us > fleet->ramp_us)
    level *= 1 + MIN (1.0, (double)(fleet->now_us - fleet->ramp_us) / LOAD_RAMP_US);
  double position = (double)fleet->now_us / node->load_period_us + node->load_phase;
  return level * node->load_factor * (1 + 0.1 * sin (2 * M_PI * position));
}
