#include "request/policy/engines.h"

#include "request/policy/own_word.h"

#include <string.h>
#include <xxhash.h>

#define ERROR_SMOOTHING 8 /* answers over which the error rate is smoothed */
/* Answers over which the latency ratio is smoothed: one slow answer of four is no slow engine. */
#define LATENCY_SMOOTHING 4
#define MILLI 1000

/**
 * struct engines - the engines that the registry lists
 * @by_id: id -> egn_t
 * @by_service: interned service -> GPtrArray of egn_t
 * @drained: data centre -> start of its drain, in microseconds
 * @self_reports: what engines stated in their answers about leaving and backing off
 * @complete: the first list has been read: engines that are added later have joined
 */
struct engines
{
  GHashTable *by_id;
  GHashTable *by_service;
  GHashTable *drained;
  oww_t *self_reports;
  bool complete;
};

static void
egn_unref (gpointer data)
{
  egn_t *engine = data;

  if (--engine->refs == 0)
    g_free (engine);
}

static void
array_free (gpointer data)
{
  g_ptr_array_free (data, TRUE);
}

egs_t *
egs_new (void)
{
  egs_t *engines = g_new0 (egs_t, 1);

  engines->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, egn_unref);
  engines->by_service = g_hash_table_new_full (NULL, NULL, NULL, array_free);
  engines->self_reports = oww_new ();
  engines->drained = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return engines;
}

void
egs_free (egs_t *engines)
{
  g_hash_table_destroy (engines->by_service);
  g_hash_table_destroy (engines->drained);
  oww_free (engines->self_reports);
  g_hash_table_destroy (engines->by_id);
  g_free (engines);
}

static GPtrArray *
service_list (egs_t *engines, const char *service)
{
  GPtrArray *list = g_hash_table_lookup (engines->by_service, service);

  if (!list)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (engines->by_service, (gpointer)service, list);
    }
  return list;
}

static egn_t *
egn_new (const egn_entry_t *entry)
{
  egn_t *engine = g_new0 (egn_t, 1);

  engine->refs = 1;
  engine->entry = *entry;
  engine->rank_hash = XXH64 (entry->id, strlen (entry->id), 0);
  engine->hash = XXH64 (entry->id, strlen (entry->id), entry->born_ms);
  return engine;
}

/* Return: start of the drain of @data_center, 0 when it is not drained */
static uint64_t
drain_start_us (const egs_t *engines, const char *data_center)
{
  const uint64_t *start_us = g_hash_table_lookup (engines->drained, data_center);

  return start_us ? *start_us : 0;
}

/* An engine that returns has lost its caches, and is as slow as one that has just started. */
static void
mark_returned (egn_t *engine, uint64_t now_us)
{
  engine->returned_us = now_us;
  engine->joined_us = now_us;
}

/* An engine that was drained had no requests meanwhile. */
static void
clear_load (egn_t *engine)
{
  engine->others = 0;
  engine->told_us = 0;
  engine->news_us = 0;
}

static void
set_cold (egn_t *engine, uint64_t now_us)
{
  uint64_t cold_us = (uint64_t)engine->entry.cold_ms * MILLI;

  if (cold_us > 0 && now_us >= engine->cold_until_us)
    engine->cold_since_us = now_us;
  engine->cold_until_us = cold_us > 0 ? now_us + cold_us : 0;
}

static void
restore_self_report (const egs_t *engines, egn_t *engine)
{
  oww_word_t report = oww_get (engines->self_reports, engine->hash);

  engine->reported_leaving = report.leaving;
  engine->backoff_until_us = report.backoff_until_us;
}

egn_t *
egs_put (egs_t *engines, uint64_t now_us, const egn_entry_t *entry)
{
  egn_t *engine = g_hash_table_lookup (engines->by_id, entry->id);

  if (engine && entry->born_ms < engine->entry.born_ms)
    return engine;
  if (engine &&
      (engine->entry.service != entry->service || engine->entry.born_ms != entry->born_ms))
    {
      egs_gone (engines, entry->id);
      engine = NULL;
    }
  if (!engine)
    {
      engine = egn_new (entry);
      engine->joined_us = engines->complete ? now_us : 0;
      restore_self_report (engines, engine);
      g_hash_table_insert (engines->by_id, engine->entry.id, engine);
      g_ptr_array_add (service_list (engines, entry->service), engine);
    }
  engine->entry = *entry;
  engine->drained_us = drain_start_us (engines, entry->data_center);
  engine->displaced = false;
  engine->entry_expired = false;
  set_cold (engine, now_us);
  return engine;
}

bool
egs_set_drained (egs_t *engines, uint64_t now_us, const char *data_center, bool drained)
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
      egn_t *engine = value;

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
egs_leaves (egs_t *engines, uint64_t now_us, egn_t *engine)
{
  engine->reported_leaving = true;
  return oww_leaves (engines->self_reports, now_us, engine->hash);
}

void
egs_rests (egs_t *engines, uint64_t now_us, egn_t *engine, uint64_t backoff_us)
{
  engine->backoff_until_us = oww_rests (engines->self_reports, now_us, engine->hash, backoff_us);
}

uint32_t
egs_drained_count (const egs_t *engines)
{
  return g_hash_table_size (engines->drained);
}

uint32_t
egs_count_in (const egs_t *engines, const char *data_center)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, engines->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += strcmp (((const egn_t *)value)->entry.data_center, data_center) == 0 ? 1 : 0;
  return count;
}

bool
egn_is_cold (const egn_t *engine, uint64_t now_us, uint64_t cold_start_us)
{
  return now_us < engine->cold_until_us ||
         (engine->returned_us != 0 && now_us < engine->returned_us + cold_start_us);
}

uint64_t
egn_cold_since_us (const egn_t *engine)
{
  return MAX (engine->cold_since_us, engine->returned_us);
}

void
egs_lapsed (egs_t *engines, const char *id)
{
  egn_t *engine = g_hash_table_lookup (engines->by_id, id);

  if (engine)
    engine->entry_expired = true;
}

void
egs_gone (egs_t *engines, const char *id)
{
  egn_t *engine = g_hash_table_lookup (engines->by_id, id);

  if (!engine)
    return;
  engine->entry.state = EGN_GONE;
  g_ptr_array_remove (service_list (engines, engine->entry.service), engine);
  g_hash_table_remove (engines->by_id, id);
}

egn_t *
egs_find_hash (const egs_t *engines, uint64_t hash)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, engines->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((egn_t *)value)->hash == hash)
      return value;
  return NULL;
}

egn_t *
egs_find (const egs_t *engines, const char *id)
{
  return g_hash_table_lookup (engines->by_id, id);
}

const GPtrArray *
egs_list (const egs_t *engines, const char *service)
{
  return service_list ((egs_t *)engines, service);
}

void
egs_set_complete (egs_t *engines)
{
  engines->complete = true;
}

uint32_t
egs_count (const egs_t *engines)
{
  return g_hash_table_size (engines->by_id);
}

/* An engine is silent from the limit on, until the next probe is due after the last send. */
bool
egn_is_silent (const egn_t *engine, uint64_t now_us, uint64_t usual_us, bool repeatable)
{
  uint64_t silent_from_us =
      engine->unanswered_since_us + MAX (EGN_SILENT_US, usual_us * EGN_SILENT_FACTOR);
  uint64_t probe_interval_us = EGN_SILENT_PROBE_US + (repeatable ? 0 : EGN_RISK_US);

  if (engine->own == 0 || engine->heard_us >= engine->unanswered_since_us ||
      now_us < silent_from_us)
    return false;
  return now_us < MAX (silent_from_us, engine->sent_us) + probe_interval_us;
}

void
egn_begin (egn_t *engine, uint64_t now_us)
{
  if (engine->own == 0 || engine->heard_us >= engine->unanswered_since_us)
    engine->unanswered_since_us = now_us;
  engine->sent_us = now_us;
  engine->refs++;
  engine->own++;
}

void
egn_end (egn_t *engine)
{
  g_assert (engine->own > 0);
  engine->own--;
  egn_unref (engine);
}

void
egn_told (egn_t *engine, uint64_t now_us, const egn_load_t *load)
{
  uint32_t total = load->running + load->waiting;

  engine->others = total > engine->own ? total - engine->own : 0;
  engine->told_us = now_us;
  if (load->slots > 0)
    engine->entry.slots = load->slots;
  if (load->effort_percent > 0)
    {
      engine->effort_percent = load->effort_percent;
      engine->slowdown_us = now_us;
    }
}

void
egn_heard (egn_t *engine, uint64_t reported_us, uint32_t load)
{
  if (reported_us <= MAX (engine->told_us, engine->news_us))
    return;
  engine->peer_report_others = load > engine->own ? load - engine->own : 0;
  engine->news_us = reported_us;
}

void
egn_full (egn_t *engine, uint64_t now_us)
{
  uint32_t accepted = engine->own > 0 ? engine->own - 1 : 0; /* without the refused request */
  uint32_t slots = engine->entry.slots;

  engine->others = slots > accepted ? slots - accepted : 0;
  engine->told_us = now_us;
  engine->full_until_us = now_us + EGN_FULL_US;
  engine->window_milli = (uint64_t)accepted * MILLI;
  engine->refused_us = now_us;
}

bool
egn_has_window (const egn_t *engine, uint64_t now_us, uint64_t pause_us)
{
  if (engine->refused_us == 0 || now_us >= engine->refused_us + EGN_WINDOW_US)
    return true;
  if (engine->own > 0 && (uint64_t)(engine->own + 1) * MILLI <= engine->window_milli)
    return true;
  return now_us >= MAX (engine->refused_us, engine->sent_us) + pause_us;
}

/* Adds about one request per full window of answers, and only while the window is used. */
static void
grow_window (egn_t *engine)
{
  bool is_used = (uint64_t)(engine->own + 1) * MILLI > engine->window_milli;

  if (engine->refused_us != 0 && is_used)
    engine->window_milli += MILLI * MILLI / MAX (engine->window_milli, MILLI);
}

bool
egn_is_full (const egn_t *engine, uint64_t now_us)
{
  return now_us < engine->full_until_us;
}

/* Return: @milli as of @at_us, halved for each %EGN_ERROR_HALF_US since */
static uint32_t
decayed (uint32_t milli, uint64_t at_us, uint64_t now_us)
{
  uint64_t halvings = now_us > at_us ? (now_us - at_us) / EGN_ERROR_HALF_US : 0;

  return halvings < 32 ? milli >> halvings : 0;
}

uint32_t
egn_errors_now (const egn_t *engine, uint64_t now_us)
{
  return decayed (engine->error_rate_milli, engine->error_rate_us, now_us);
}

static void
add_error_sample (egn_t *engine, uint64_t now_us, uint32_t sample_milli)
{
  uint32_t previous_milli = egn_errors_now (engine, now_us);

  engine->error_rate_milli =
      (previous_milli * (ERROR_SMOOTHING - 1) + sample_milli) / ERROR_SMOOTHING;
  engine->error_rate_us = now_us;
}

/* An unreachable engine that answers has restarted under its id; its entry states that only later.
 */
void
egn_worked (egn_t *engine, uint64_t now_us, bool failed)
{
  if (engine->unreachable)
    mark_returned (engine, now_us);
  engine->unreachable = false;
  grow_window (engine);
  engine->failures = 0;
  engine->ejected_until_us = 0;
  add_error_sample (engine, now_us, failed ? MILLI : 0);
}

uint32_t
egn_pace_now (const egn_t *engine, uint64_t now_us)
{
  if (engine->latency_ratio_milli <= MILLI)
    return engine->latency_ratio_milli == 0 ? MILLI : engine->latency_ratio_milli;
  return MILLI + decayed (engine->latency_ratio_milli - MILLI, engine->latency_ratio_us, now_us);
}

void
egn_paced (egn_t *engine, uint64_t now_us, uint32_t ratio_milli)
{
  uint32_t previous_milli = egn_pace_now (engine, now_us);

  engine->latency_ratio_milli =
      (previous_milli * (LATENCY_SMOOTHING - 1) + ratio_milli) / LATENCY_SMOOTHING;
  engine->latency_ratio_us = now_us;
}

void
egn_failed (egn_t *engine, uint64_t now_us)
{
  uint32_t doublings;
  uint64_t ejection_us;

  engine->failures++;
  add_error_sample (engine, now_us, MILLI);
  if (engine->failures < EGN_FAILURES)
    return;
  doublings = MIN (engine->failures - EGN_FAILURES, 8U);
  ejection_us = MIN (EGN_SKIP_MIN_US << doublings, EGN_SKIP_MAX_US);
  engine->ejected_until_us = now_us + ejection_us;
  engine->probe_us = 0;
}

void
egn_displaced (egn_t *engine)
{
  engine->displaced = true;
}

/* A single connection attempt may be lost on the network, although the engine works. */
void
egn_unreachable (egn_t *engine, uint64_t now_us)
{
  egn_failed (engine, now_us);
  engine->unreachable = engine->failures >= EGN_FAILURES;
}

/* Weight of a load reported at @reported_us: halves each %EGN_TOLD_US, and falls linearly in
 * between.
 */
static uint32_t
report_weight_milli (uint64_t reported_us, uint64_t now_us)
{
  uint64_t age_us = now_us > reported_us ? now_us - reported_us : 0;
  uint64_t halvings = age_us / EGN_TOLD_US;
  uint64_t milli = reported_us != 0 && halvings < 32 ? (uint64_t)MILLI >> halvings : 0;

  return (uint32_t)(milli - milli / 2 * (age_us % EGN_TOLD_US) / EGN_TOLD_US);
}

uint32_t
egn_trust_milli (const egn_t *engine, uint64_t now_us)
{
  return report_weight_milli (engine->told_us, now_us);
}

uint32_t
egn_load_now (const egn_t *engine, uint64_t now_us, uint64_t usual_milli)
{
  bool is_peer_report = engine->news_us > engine->told_us;
  uint64_t others = is_peer_report ? engine->peer_report_others : engine->others;
  uint64_t weight_milli =
      report_weight_milli (is_peer_report ? engine->news_us : engine->told_us, now_us);
  uint64_t unknown_milli = usual_milli * EGN_UNKNOWN_MILLI / MILLI;
  uint64_t others_milli = others * weight_milli + unknown_milli * (MILLI - weight_milli) / MILLI;

  return engine->own + (uint32_t)((others_milli + MILLI / 2) / MILLI);
}

uint32_t
egn_effort_now (const egn_t *engine, uint64_t now_us)
{
  uint64_t halvings = (now_us - engine->slowdown_us) / EGN_EFFORT_HALF_US;

  if (engine->effort_percent == 0 || halvings >= 32)
    return EGN_EFFORT_USUAL;
  if (engine->effort_percent < EGN_EFFORT_USUAL)
    return EGN_EFFORT_USUAL - ((EGN_EFFORT_USUAL - engine->effort_percent) >> halvings);
  return EGN_EFFORT_USUAL + ((engine->effort_percent - EGN_EFFORT_USUAL) >> halvings);
}

bool
egn_is_open (const egn_t *engine)
{
  return engine->entry.state == EGN_READY && engine->drained_us == 0 && !engine->displaced &&
         !engine->reported_leaving;
}

bool
egn_is_resting (const egn_t *engine, uint64_t now_us)
{
  return now_us < engine->backoff_until_us;
}

bool
egn_is_skipped (const egn_t *engine, uint64_t now_us, bool repeatable)
{
  if (engine->failures < EGN_FAILURES)
    return false;
  if (now_us < engine->ejected_until_us + (repeatable ? 0 : EGN_RISK_US))
    return true;
  return engine->probe_us != 0 && now_us < engine->probe_us + EGN_SKIP_MIN_US;
}

void
egn_probe (egn_t *engine, uint64_t now_us)
{
  if (engine->failures >= EGN_FAILURES)
    engine->probe_us = now_us;
}

uint64_t
egs_open_slots (const egs_t *engines, const char *service, uint64_t now_us)
{
  const GPtrArray *list = egs_list (engines, service);
  uint64_t slots = 0;

  for (guint i = 0; i < list->len; i++)
    {
      const egn_t *engine = g_ptr_array_index (list, i);

      if (egn_is_open (engine) && !egn_is_resting (engine, now_us) &&
          !egn_is_skipped (engine, now_us, true))
        slots += egn_slots (engine, 1);
    }
  return slots;
}

uint32_t
egn_slots (const egn_t *engine, uint32_t fallback)
{
  return engine->entry.slots > 0 ? engine->entry.slots : fallback;
}
