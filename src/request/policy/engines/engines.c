#include "request/policy/engines/engines.h"

#include "request/policy/engines/self_reports.h"

#include <string.h>
#include <xxhash.h>

#define ERROR_SMOOTHING 8 /* answers over which the error rate is smoothed */
/* Answers over which the latency ratio is smoothed: one slow answer of four is no slow engine. */
#define LATENCY_SMOOTHING 4
#define MILLI 1000

/**
 * struct service - a service
 * @list: its engines, as engine_t
 * @part_shares: share of each prompt part in the requests of this gateway; NULL until its engines
 * are asked for, as entries of other writers may name any number of services
 * @fleet_requests: requests of all gateways at its engines
 * @room_share: share of the requests to send where slots are scarce
 * @versions: software versions of its engines
 */
typedef struct
{
  GPtrArray *list;
  part_shares_t *part_shares;
  fleet_requests_t *fleet_requests;
  room_share_t *room_share;
  software_versions_t *versions;
} service_t;

/**
 * struct engines - the engines that the registry lists
 * @by_id: id -> engine_t
 * @by_hash: hash -> engine_t, the same engines
 * @by_service: interned service -> service_t
 * @drained: data centre -> start of its drain, in microseconds
 * @self_reports: what engines stated in their answers about leaving and backing off
 * @complete: the first list has been read: engines that are added later have joined
 * @put_us: time of the last change
 */
struct engines
{
  GHashTable *by_id;
  GHashTable *by_hash;
  GHashTable *by_service;
  GHashTable *drained;
  self_reports_t *self_reports;
  bool complete;
  uint64_t put_us;
};

static void
engine_unref (gpointer data)
{
  engine_t *engine = data;

  if (--engine->refs == 0)
    g_free (engine);
}

static void
service_free (gpointer data)
{
  service_t *service = data;

  g_ptr_array_free (service->list, TRUE);
  g_clear_pointer (&service->part_shares, part_shares_free);
  g_free (service->fleet_requests);
  room_share_free (service->room_share);
  software_versions_free (service->versions);
  g_free (service);
}

engines_t *
engines_new (void)
{
  engines_t *engines = g_new0 (engines_t, 1);

  engines->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, engine_unref);
  engines->by_hash = g_hash_table_new (g_int64_hash, g_int64_equal);
  engines->by_service = g_hash_table_new_full (NULL, NULL, NULL, service_free);
  engines->self_reports = self_reports_new ();
  engines->drained = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return engines;
}

void
engines_free (engines_t *engines)
{
  g_hash_table_destroy (engines->by_service);
  g_hash_table_destroy (engines->drained);
  self_reports_free (engines->self_reports);
  g_hash_table_destroy (engines->by_hash);
  g_hash_table_destroy (engines->by_id);
  g_free (engines);
}

/* @name: interned */
static service_t *
get_service (engines_t *engines, const char *name)
{
  service_t *service = g_hash_table_lookup (engines->by_service, name);

  if (!service)
    {
      service = g_new0 (service_t, 1);
      service->list = g_ptr_array_new ();
      service->fleet_requests = g_new0 (fleet_requests_t, 1);
      service->room_share = room_share_new ();
      service->versions = software_versions_new ();
      g_hash_table_insert (engines->by_service, (gpointer)name, service);
    }
  return service;
}

/* Likewise, for requests. */
static service_t *
use_service (engines_t *engines, const char *name)
{
  service_t *service = get_service (engines, name);

  if (service->part_shares)
    return service;
  service->part_shares = part_shares_new ();
  for (guint i = 0; i < service->list->len; i++)
    ((engine_t *)g_ptr_array_index (service->list, i))->part_shares = service->part_shares;
  return service;
}

static engine_t *
engine_new (const engine_entry_t *entry)
{
  engine_t *engine = g_new0 (engine_t, 1);

  engine->refs = 1;
  engine->entry = *entry;
  engine->rank_hash = XXH64 (entry->id, strlen (entry->id), 0);
  engine->hash = XXH64 (entry->id, strlen (entry->id), entry->born_ms);
  return engine;
}

static uint64_t
hash_version (const engine_entry_t *entry)
{
  uint64_t hash = XXH64 (entry->service, strlen (entry->service), entry->software_hash);

  return MAX (hash, 1U);
}

/* Return: start of the drain of @data_center, 0 when it is not drained */
static uint64_t
drain_start_us (const engines_t *engines, const char *data_center)
{
  const uint64_t *start_us = g_hash_table_lookup (engines->drained, data_center);

  return start_us ? *start_us : 0;
}

/* An engine that returns has lost its caches, and is as slow as one that has just started. */
static void
mark_returned (engine_t *engine, uint64_t now_us)
{
  engine->returned_us = now_us;
  engine->joined_us = now_us;
}

/* An engine that was drained had no requests meanwhile. */
static void
clear_load (engine_t *engine)
{
  engine->other_requests = 0;
  engine->reported_us = 0;
  engine->peer_report_us = 0;
}

static void
set_cold (engine_t *engine, uint64_t now_us)
{
  uint64_t cold_us = (uint64_t)engine->entry.cold_ms * MILLI;

  if (cold_us > 0 && now_us >= engine->cold_until_us)
    engine->cold_since_us = now_us;
  engine->cold_until_us = cold_us > 0 ? now_us + cold_us : 0;
}

static void
restore_self_report (const engines_t *engines, engine_t *engine)
{
  self_report_t report = self_reports_get (engines->self_reports, engine->hash);

  engine->reported_leaving = report.leaving;
  engine->backoff_until_us = report.backoff_until_us;
}

static void
set_version (engines_t *engines, uint64_t now_us, engine_t *engine)
{
  software_versions_t *versions = get_service (engines, engine->entry.service)->versions;
  uint64_t version = hash_version (&engine->entry);

  if (engine->version == version)
    return;
  if (engine->version != 0)
    software_versions_remove (versions, now_us, engine->version);
  software_versions_add (versions, now_us, version, !engines->complete);
  engine->version = version;
}

/*
 * An entry of an earlier start is a write that was delayed, or the later start was stated by
 * another writer. A process renews its entry, so a start that was stated once yields to an earlier
 * one that is ready, and any start to an earlier one that writes twice.
 */
static bool
is_delayed_write (engine_t *engine, const engine_entry_t *entry)
{
  bool repeated = engine->earlier_start_wrote;

  if (entry->born_ms >= engine->entry.born_ms)
    {
      engine->start_renewed = entry->born_ms == engine->entry.born_ms;
      engine->earlier_start_wrote = false;
      return false;
    }
  engine->earlier_start_wrote = true;
  return !repeated && (engine->start_renewed || entry->state != ENGINE_READY);
}

/* Engines that leave don't return, so an entry from before that is a write that was delayed, or the
 * later one was stated by another writer, whose number the engine may never reach. */
static bool
takes_leaving_back (engine_t *engine, uint64_t now_us, const engine_entry_t *entry)
{
  const engine_entry_t *known = &engine->entry;

  if (known->state != ENGINE_LEAVING || entry->state != ENGINE_READY ||
      entry->born_ms != known->born_ms || known->renewal == 0 || entry->renewal == 0 ||
      entry->renewal >= known->renewal)
    {
      engine->returns_since_us = 0;
      return false;
    }
  if (engine->returns_since_us == 0)
    engine->returns_since_us = now_us;
  return now_us < engine->returns_since_us + ENGINE_DELAYED_WRITE_US;
}

engine_t *
engines_put (engines_t *engines, uint64_t now_us, const engine_entry_t *entry)
{
  engine_t *engine = g_hash_table_lookup (engines->by_id, entry->id);

  if (engine && (is_delayed_write (engine, entry) || takes_leaving_back (engine, now_us, entry)))
    return engine;
  if (engine &&
      (engine->entry.service != entry->service || engine->entry.born_ms != entry->born_ms))
    {
      engines_remove (engines, now_us, entry->id);
      engine = NULL;
    }
  if (!engine)
    {
      service_t *service = get_service (engines, entry->service);

      engine = engine_new (entry);
      engine->part_shares = service->part_shares;
      engine->fleet_requests = service->fleet_requests;
      engine->room_share = service->room_share;
      engine->versions = service->versions;
      engine->joined_us = engines->complete ? now_us : 0;
      restore_self_report (engines, engine);
      g_hash_table_insert (engines->by_id, engine->entry.id, engine);
      g_hash_table_insert (engines->by_hash, &engine->hash, engine);
      g_ptr_array_add (service->list, engine);
    }
  engine->entry = *entry;
  set_version (engines, now_us, engine);
  engines->put_us = now_us;
  engine->drained_us = drain_start_us (engines, entry->data_center);
  engine->displaced = false;
  engine->entry_expired = false;
  set_cold (engine, now_us);
  return engine;
}

bool
engines_set_drained (engines_t *engines, uint64_t now_us, const char *data_center, bool drained)
{
  bool was_drained = g_hash_table_contains (engines->drained, data_center);
  GHashTableIter iter;
  gpointer value;

  if (was_drained == drained)
    return false;
  if (drained)
    g_hash_table_insert (engines->drained, g_strdup (data_center),
                         g_memdup2 (&now_us, sizeof now_us));
  else
    g_hash_table_remove (engines->drained, data_center);
  g_hash_table_iter_init (&iter, engines->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      engine_t *engine = value;

      if (strcmp (engine->entry.data_center, data_center) != 0)
        continue;
      engine->drained_us = drained ? now_us : 0;
      if (drained)
        continue;
      mark_returned (engine, now_us);
      clear_load (engine);
    }
  return true;
}

bool
engines_note_leaving (engines_t *engines, uint64_t now_us, engine_t *engine)
{
  engine->reported_leaving = true;
  return self_reports_set_leaving (engines->self_reports, now_us, engine->hash);
}

void
engines_note_backoff (engines_t *engines, uint64_t now_us, engine_t *engine, uint64_t backoff_us)
{
  engine->backoff_until_us =
      self_reports_set_backoff (engines->self_reports, now_us, engine->hash, backoff_us);
}

uint32_t
engines_count_drained_data_centers (const engines_t *engines)
{
  return g_hash_table_size (engines->drained);
}

uint32_t
engines_count_in_data_center (const engines_t *engines, const char *data_center)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, engines->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += strcmp (((const engine_t *)value)->entry.data_center, data_center) == 0 ? 1 : 0;
  return count;
}

bool
engine_is_cold (const engine_t *engine, uint64_t now_us, uint64_t cold_start_us)
{
  return now_us < engine->cold_until_us ||
         (engine->returned_us != 0 && now_us < engine->returned_us + cold_start_us);
}

uint64_t
engine_cold_since_us (const engine_t *engine)
{
  return MAX (engine->cold_since_us, engine->returned_us);
}

void
engines_note_expired (engines_t *engines, const char *id)
{
  engine_t *engine = g_hash_table_lookup (engines->by_id, id);

  if (engine)
    engine->entry_expired = true;
}

void
engines_remove (engines_t *engines, uint64_t now_us, const char *id)
{
  engine_t *engine = g_hash_table_lookup (engines->by_id, id);
  const char *name = engine ? engine->entry.service : NULL;
  service_t *service;

  if (!engine)
    return;
  service = get_service (engines, name);
  engine->entry.state = ENGINE_GONE;
  g_ptr_array_remove (service->list, engine);
  software_versions_remove (engine->versions, now_us, engine->version);
  engine->versions = NULL;
  engine->room_share = NULL;
  g_hash_table_remove (engines->by_hash, &engine->hash);
  g_hash_table_remove (engines->by_id, id);
  if (!service->part_shares && service->list->len == 0)
    g_hash_table_remove (engines->by_service, name);
}

engine_t *
engines_find_by_hash (const engines_t *engines, uint64_t hash)
{
  return g_hash_table_lookup (engines->by_hash, &hash);
}

engine_t *
engines_find (const engines_t *engines, const char *id)
{
  return g_hash_table_lookup (engines->by_id, id);
}

const GPtrArray *
engines_of_service (const engines_t *engines, const char *service)
{
  return use_service ((engines_t *)engines, service)->list;
}

void
engines_set_complete (engines_t *engines)
{
  GHashTableIter iter;
  gpointer value;

  if (engines->complete)
    return;
  engines->complete = true;
  g_hash_table_iter_init (&iter, engines->by_service);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    software_versions_end_first_list (((service_t *)value)->versions, engines->put_us);
}

const software_versions_t *
engines_versions (const engines_t *engines, const char *service)
{
  return use_service ((engines_t *)engines, service)->versions;
}

uint64_t
engines_hash_service (const char *service)
{
  return XXH64 (service, strlen (service), 0);
}

static uint32_t
count_own_requests (const service_t *service)
{
  uint32_t requests = 0;

  for (guint i = 0; i < service->list->len; i++)
    {
      const engine_t *engine = g_ptr_array_index (service->list, i);

      requests += engine_is_open (engine) ? engine->own_requests : 0;
    }
  return requests;
}

static uint32_t
list_own_requests (const engines_t *engines,
                   uint64_t now_us,
                   uint64_t own_hash,
                   fleet_requests_told_t *out,
                   uint32_t want)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, engines->by_service);
  while (count < want && g_hash_table_iter_next (&iter, &name, &value))
    {
      if (((service_t *)value)->list->len <= ENGINES_FEW)
        continue;
      out[count] = (fleet_requests_told_t){ .service_hash = engines_hash_service (name),
                                            .count = { .gateway_hash = own_hash,
                                                       .requests = count_own_requests (value),
                                                       .told_us = now_us } };
      count++;
    }
  return count;
}

uint32_t
engines_list_fleet_requests (const engines_t *engines,
                             uint64_t now_us,
                             uint64_t own_hash,
                             fleet_requests_told_t *out,
                             uint32_t want)
{
  uint32_t services = list_own_requests (engines, now_us, own_hash, out, want);
  uint32_t count = services;
  uint32_t each = services > 0 ? (want - services) / services : 0;
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->by_service);
  while (each > 0 && count + each <= want && g_hash_table_iter_next (&iter, &name, &value))
    {
      const service_t *service = value;
      g_autofree fleet_request_count_t *latest = g_new (fleet_request_count_t, each);
      uint32_t found = service->list->len > ENGINES_FEW
                           ? fleet_requests_latest (service->fleet_requests, now_us, latest, each)
                           : 0;

      for (uint32_t i = 0; i < found; i++, count++)
        out[count] = (fleet_requests_told_t){ .service_hash = engines_hash_service (name),
                                              .count = latest[i] };
    }
  return count;
}

void
engines_note_fleet_requests (engines_t *engines, uint64_t now_us, const fleet_requests_told_t *told)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->by_service);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (engines_hash_service (name) == told->service_hash)
      fleet_requests_note (((service_t *)value)->fleet_requests, now_us, &told->count);
}

GPtrArray *
engines_list_services (const engines_t *engines)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, engines->by_service);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, name);
  return names;
}

bool
engines_are_complete (const engines_t *engines)
{
  return engines->complete;
}

uint32_t
engines_count (const engines_t *engines)
{
  return g_hash_table_size (engines->by_id);
}

static uint64_t
silence_limit_us (uint64_t usual_us)
{
  return MAX (ENGINE_SILENT_US, usual_us * ENGINE_SILENT_FACTOR);
}

/* An engine is silent from the limit on, until the next probe is due after the last send. */
bool
engine_is_silent (const engine_t *engine, uint64_t now_us, uint64_t usual_us, bool repeatable)
{
  uint64_t silent_from_us = engine->unanswered_since_us + silence_limit_us (usual_us);
  uint64_t probe_interval_us =
      ENGINE_SILENT_PROBE_US + (repeatable ? 0 : ENGINE_UNREPEATABLE_PROBE_DELAY_US);

  if (engine->own_requests == 0 || engine->last_byte_us >= engine->unanswered_since_us ||
      now_us < silent_from_us)
    return false;
  return now_us < MAX (silent_from_us, engine->last_sent_us) + probe_interval_us;
}

bool
engine_is_quiet (const engine_t *engine, uint64_t now_us, uint64_t usual_us)
{
  uint64_t since_us = MAX (engine->last_byte_us, engine->busy_since_us);

  return engine->own_requests > 0 && now_us >= since_us + silence_limit_us (usual_us);
}

void
engine_note_break (engine_t *engine, uint64_t now_us)
{
  if (engine->broke_us == 0 || engine->sound_us > engine->broke_us)
    engine->broke_us = now_us;
}

void
engine_begin_request (engine_t *engine, uint64_t now_us)
{
  if (engine->own_requests == 0 || engine->last_byte_us >= engine->unanswered_since_us)
    engine->unanswered_since_us = now_us;
  if (engine->own_requests == 0)
    engine->busy_since_us = now_us;
  engine->last_sent_us = now_us;
  engine->refs++;
  request_history_add (&engine->own_history, now_us, engine->own_requests);
  engine->own_requests++;
}

void
engine_end_request_at (engine_t *engine, uint64_t now_us)
{
  g_assert (engine->own_requests > 0);
  request_history_add (&engine->own_history, now_us, engine->own_requests);
  engine->own_requests--;
  engine_unref (engine);
}

void
engine_end_request (engine_t *engine)
{
  engine_end_request_at (engine, REQUEST_HISTORY_UNKNOWN_US);
}

static void
note_room (engine_t *engine, uint64_t now_us, const engine_load_t *load)
{
  room_engine_note_report (&engine->room,
                           &(room_engine_report_t){ .running = load->running,
                                                    .waiting = load->waiting,
                                                    .slots = engine->entry.slots,
                                                    .others = engine->other_requests });
  if (engine->room_share)
    room_share_note_report (engine->room_share, now_us, load->waiting, engine->entry.slots);
}

void
engine_note_load (engine_t *engine, uint64_t now_us, const engine_load_t *load)
{
  uint32_t total = load->running + load->waiting;

  engine->other_requests = total > engine->own_requests ? total - engine->own_requests : 0;
  engine->reported_us = now_us;
  engine->reported_load = total;
  if (load->slots > 0)
    engine->entry.slots = load->slots;
  note_room (engine, now_us, load);
  if (load->slowdown_percent > 0)
    {
      engine->slowdown_percent = load->slowdown_percent;
      engine->slowdown_us = now_us;
    }
}

void
engine_note_peer_load (engine_t *engine, uint64_t reported_us, uint32_t load)
{
  uint32_t own = request_history_at (&engine->own_history, reported_us, engine->own_requests);

  if (reported_us <= MAX (engine->reported_us, engine->peer_report_us) ||
      (load == engine->reported_load && reported_us <= engine->reported_us + ENGINE_REPORT_ECHO_US))
    return;
  engine->peer_report_others = load > own ? load - own : 0;
  engine->peer_report_us = reported_us;
}

void
engine_note_full (engine_t *engine, uint64_t now_us)
{
  uint32_t accepted =
      engine->own_requests > 0 ? engine->own_requests - 1 : 0; /* without the refused request */
  uint32_t slots = engine->entry.slots;

  engine->other_requests = slots > accepted ? slots - accepted : 0;
  engine->reported_us = now_us;
  engine->reported_load = 0; /* what it did not report has no echo */
  engine->full_until_us = now_us + ENGINE_FULL_US;
  engine->window_milli = (uint64_t)accepted * MILLI;
  engine->refused_us = now_us;
  if (engine->room_share)
    room_share_note_full (engine->room_share, now_us);
}

bool
engine_has_window (const engine_t *engine, uint64_t now_us, uint64_t pause_us)
{
  if (engine->refused_us == 0 || now_us >= engine->refused_us + ENGINE_WINDOW_US)
    return true;
  if (engine->own_requests > 0 &&
      (uint64_t)(engine->own_requests + 1) * MILLI <= engine->window_milli)
    return true;
  return now_us >= MAX (engine->refused_us, engine->last_sent_us) + pause_us;
}

/* Adds about one request per full window of answers, and only while the window is used. */
static void
grow_window (engine_t *engine)
{
  bool is_used = (uint64_t)(engine->own_requests + 1) * MILLI > engine->window_milli;

  if (engine->refused_us != 0 && is_used)
    engine->window_milli += MILLI * MILLI / MAX (engine->window_milli, MILLI);
}

bool
engine_is_full (const engine_t *engine, uint64_t now_us)
{
  return now_us < engine->full_until_us;
}

/* Return: @milli as of @at_us, halved for each %ENGINE_ERROR_HALF_LIFE_US since */
static uint32_t
decayed (uint32_t milli, uint64_t at_us, uint64_t now_us)
{
  uint64_t halvings = now_us > at_us ? (now_us - at_us) / ENGINE_ERROR_HALF_LIFE_US : 0;

  return halvings < 32 ? milli >> halvings : 0;
}

uint32_t
engine_error_rate_milli (const engine_t *engine, uint64_t now_us)
{
  return decayed (engine->error_rate_milli, engine->error_rate_us, now_us);
}

static void
add_error_sample (engine_t *engine, uint64_t now_us, uint32_t sample_milli)
{
  uint32_t previous_milli = engine_error_rate_milli (engine, now_us);

  engine->error_rate_milli =
      (previous_milli * (ERROR_SMOOTHING - 1) + sample_milli) / ERROR_SMOOTHING;
  engine->error_rate_us = now_us;
}

/* An unreachable engine that answers has restarted under its id; its entry states that only later.
 */
void
engine_note_answer (engine_t *engine, uint64_t now_us, bool failed)
{
  if (engine->unreachable)
    mark_returned (engine, now_us);
  engine->unreachable = false;
  grow_window (engine);
  engine->failures = 0;
  engine->was_silent = false;
  engine->ejected_until_us = 0;
  add_error_sample (engine, now_us, failed ? MILLI : 0);
}

uint32_t
engine_latency_ratio_milli (const engine_t *engine, uint64_t now_us)
{
  if (engine->latency_ratio_milli <= MILLI)
    return engine->latency_ratio_milli == 0 ? MILLI : engine->latency_ratio_milli;
  return MILLI + decayed (engine->latency_ratio_milli - MILLI, engine->latency_ratio_us, now_us);
}

void
engine_note_latency (engine_t *engine, uint64_t now_us, uint32_t ratio_milli)
{
  uint32_t previous_milli = engine_latency_ratio_milli (engine, now_us);

  engine->latency_ratio_milli =
      (previous_milli * (LATENCY_SMOOTHING - 1) + ratio_milli) / LATENCY_SMOOTHING;
  engine->latency_ratio_us = now_us;
  room_engine_note_duration (&engine->room, ratio_milli);
}

void
engine_note_failure (engine_t *engine, uint64_t now_us)
{
  uint32_t doublings;
  uint64_t ejection_us;

  engine->failures++;
  engine->was_silent = false;
  add_error_sample (engine, now_us, MILLI);
  if (engine->failures < ENGINE_EJECTION_FAILURES)
    return;
  doublings = MIN (engine->failures - ENGINE_EJECTION_FAILURES, 8U);
  ejection_us = MIN (ENGINE_EJECTION_MIN_US << doublings, ENGINE_EJECTION_MAX_US);
  engine->ejected_until_us = now_us + ejection_us;
  engine->probe_us = 0;
}

/* All requests at a silent engine are given up at about the same time. Counted one by one they
 * would eject it for seconds beyond the end of a short silence. */
void
engine_note_silence (engine_t *engine, uint64_t now_us)
{
  bool only_silent = engine->failures == 0 || engine->was_silent;

  if (now_us >= engine->ejected_until_us)
    engine_note_failure (engine, now_us);
  engine->was_silent = only_silent;
}

void
engine_note_byte (engine_t *engine, uint64_t now_us)
{
  engine->last_byte_us = now_us;
  if (!engine->was_silent)
    return;
  engine->was_silent = false;
  engine->failures = 0;
  engine->ejected_until_us = 0;
}

void
engine_note_displaced (engine_t *engine)
{
  engine->displaced = true;
}

/* A single connection attempt may be lost on the network, although the engine works. Those that
 * fail while it is ejected were begun before, and show nothing new. */
void
engine_note_unreachable (engine_t *engine, uint64_t now_us)
{
  if (now_us < engine->ejected_until_us)
    return;
  engine_note_failure (engine, now_us);
  engine->unreachable = engine->failures >= ENGINE_EJECTION_FAILURES;
}

/* Weight of a load reported at @reported_us: halves each @half_life_us, and falls linearly in
 * between.
 */
static uint32_t
report_weight_milli (uint64_t reported_us, uint64_t now_us, uint64_t half_life_us)
{
  uint64_t age_us = now_us > reported_us ? now_us - reported_us : 0;
  uint64_t halvings = age_us / half_life_us;
  uint64_t milli = reported_us != 0 && halvings < 32 ? (uint64_t)MILLI >> halvings : 0;

  return (uint32_t)(milli - milli / 2 * (age_us % half_life_us) / half_life_us);
}

uint32_t
engine_load_weight_milli (const engine_t *engine, uint64_t now_us)
{
  return report_weight_milli (engine->reported_us, now_us, ENGINE_MEAN_HALF_LIFE_US);
}

uint32_t
engine_estimate_load (const engine_t *engine, uint64_t now_us, uint64_t usual_milli)
{
  bool is_peer_report = engine->peer_report_us > engine->reported_us;
  uint64_t others = is_peer_report ? engine->peer_report_others : engine->other_requests;
  uint64_t weight_milli =
      report_weight_milli (is_peer_report ? engine->peer_report_us : engine->reported_us, now_us,
                           ENGINE_REPORT_HALF_LIFE_US);
  uint64_t unknown_milli = usual_milli * ENGINE_UNKNOWN_LOAD_MILLI / MILLI;
  uint64_t others_milli = others * weight_milli + unknown_milli * (MILLI - weight_milli) / MILLI;

  return engine->own_requests + (uint32_t)((others_milli + MILLI / 2) / MILLI);
}

uint32_t
engine_slowdown_percent (const engine_t *engine, uint64_t now_us)
{
  uint64_t halvings = (now_us - engine->slowdown_us) / ENGINE_SLOWDOWN_HALF_LIFE_US;

  if (engine->slowdown_percent == 0 || halvings >= 32)
    return ENGINE_SLOWDOWN_NONE_PERCENT;
  if (engine->slowdown_percent < ENGINE_SLOWDOWN_NONE_PERCENT)
    return ENGINE_SLOWDOWN_NONE_PERCENT -
           ((ENGINE_SLOWDOWN_NONE_PERCENT - engine->slowdown_percent) >> halvings);
  return ENGINE_SLOWDOWN_NONE_PERCENT +
         ((engine->slowdown_percent - ENGINE_SLOWDOWN_NONE_PERCENT) >> halvings);
}

bool
engine_is_open (const engine_t *engine)
{
  return engine->entry.state == ENGINE_READY && engine->drained_us == 0 && !engine->displaced &&
         !engine->reported_leaving;
}

bool
engine_is_backing_off (const engine_t *engine, uint64_t now_us)
{
  return now_us < engine->backoff_until_us;
}

bool
engine_is_ejected (const engine_t *engine, uint64_t now_us, bool repeatable)
{
  if (engine->failures < ENGINE_EJECTION_FAILURES)
    return false;
  if (now_us < engine->ejected_until_us + (repeatable ? 0 : ENGINE_UNREPEATABLE_PROBE_DELAY_US))
    return true;
  return engine->probe_us != 0 && now_us < engine->probe_us + ENGINE_EJECTION_MIN_US;
}

void
engine_note_probe (engine_t *engine, uint64_t now_us)
{
  if (engine->failures >= ENGINE_EJECTION_FAILURES)
    engine->probe_us = now_us;
}

uint64_t
engines_count_open_slots (const engines_t *engines, const char *service, uint64_t now_us)
{
  const GPtrArray *list = engines_of_service (engines, service);
  uint64_t slots = 0;

  for (guint i = 0; i < list->len; i++)
    {
      const engine_t *engine = g_ptr_array_index (list, i);

      if (engine_is_open (engine) && !engine_is_backing_off (engine, now_us) &&
          !engine_is_ejected (engine, now_us, true))
        slots += engine_slots (engine, 1);
    }
  return slots;
}

void
engines_note_room_request (engines_t *engines,
                           const char *service,
                           uint64_t now_us,
                           uint64_t account)
{
  room_share_note_request (get_service (engines, service)->room_share, now_us, account);
}

uint32_t
engines_room_share_milli (engines_t *engines, const char *service)
{
  return room_share_milli (get_service (engines, service)->room_share);
}

uint32_t
engine_slots (const engine_t *engine, uint32_t fallback)
{
  return engine->entry.slots > 0 ? engine->entry.slots : fallback;
}
