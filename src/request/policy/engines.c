#include "request/policy/engines.h"

#include "request/policy/own_word.h"

#include <string.h>
#include <xxhash.h>

#define ERROR_GAIN 8 /* of the smoothing: about the last eight answers count */
#define PACE_GAIN 4  /* likewise; one slow answer in a row of four is no slow engine */
#define MILLI 1000

/**
 * struct egs - the engines that the registry knows
 * @by_id: id -> egn_t
 * @by_service: interned service -> GPtrArray of egn_t
 * @drained: data centre -> when it was drained, in microseconds
 * @words: what engines said of themselves
 * @complete: the first list has come: who is seen from now on has joined
 */
struct egs
{
  GHashTable *by_id;
  GHashTable *by_service;
  GHashTable *drained;
  oww_t *words;
  bool complete;
};

static void
egn_unref (gpointer data)
{
  egn_t *egn = data;

  if (--egn->refs == 0)
    g_free (egn);
}

static void
array_free (gpointer data)
{
  g_ptr_array_free (data, TRUE);
}

egs_t *
egs_new (void)
{
  egs_t *egs = g_new0 (egs_t, 1);

  egs->by_id = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, egn_unref);
  egs->by_service = g_hash_table_new_full (NULL, NULL, NULL, array_free);
  egs->words = oww_new ();
  egs->drained = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return egs;
}

void
egs_free (egs_t *egs)
{
  g_hash_table_destroy (egs->by_service);
  g_hash_table_destroy (egs->drained);
  oww_free (egs->words);
  g_hash_table_destroy (egs->by_id);
  g_free (egs);
}

static GPtrArray *
service_list (egs_t *egs, const char *service)
{
  GPtrArray *list = g_hash_table_lookup (egs->by_service, service);

  if (!list)
    {
      list = g_ptr_array_new ();
      g_hash_table_insert (egs->by_service, (gpointer)service, list);
    }
  return list;
}

static egn_t *
egn_new (const egn_entry_t *entry)
{
  egn_t *egn = g_new0 (egn_t, 1);

  egn->refs = 1;
  egn->entry = *entry;
  egn->rank_hash = XXH64 (entry->id, strlen (entry->id), 0);
  egn->hash = XXH64 (entry->id, strlen (entry->id), entry->born_ms);
  return egn;
}

/* Return: since when @data_center is drained, 0 when it isn't */
static uint64_t
drained_us (const egs_t *egs, const char *data_center)
{
  const uint64_t *since_us = g_hash_table_lookup (egs->drained, data_center);

  return since_us ? *since_us : 0;
}

/* Its caches are gone, and it is as slow as one that has just started. */
static void
come_back (egn_t *egn, uint64_t now_us)
{
  egn->returned_us = now_us;
  egn->since_us = now_us;
}

/* It has had nothing for as long as it was drained. */
static void
forget_load (egn_t *egn)
{
  egn->others = 0;
  egn->told_us = 0;
  egn->news_us = 0;
}

static void
note_cold (egn_t *egn, uint64_t now_us)
{
  uint64_t cold_us = (uint64_t)egn->entry.cold_ms * MILLI;

  if (cold_us > 0 && now_us >= egn->cold_until_us)
    egn->cold_since_us = now_us;
  egn->cold_until_us = cold_us > 0 ? now_us + cold_us : 0;
}

static void
recall_word (const egs_t *egs, egn_t *egn)
{
  oww_word_t word = oww_get (egs->words, egn->hash);

  egn->says_leaving = word.leaving;
  egn->rest_until_us = word.rest_until_us;
}

egn_t *
egs_put (egs_t *egs, uint64_t now_us, const egn_entry_t *entry)
{
  egn_t *egn = g_hash_table_lookup (egs->by_id, entry->id);

  if (egn && entry->born_ms < egn->entry.born_ms)
    return egn;
  if (egn && (egn->entry.service != entry->service || egn->entry.born_ms != entry->born_ms))
    {
      egs_gone (egs, entry->id);
      egn = NULL;
    }
  if (!egn)
    {
      egn = egn_new (entry);
      egn->since_us = egs->complete ? now_us : 0;
      recall_word (egs, egn);
      g_hash_table_insert (egs->by_id, egn->entry.id, egn);
      g_ptr_array_add (service_list (egs, entry->service), egn);
    }
  egn->entry = *entry;
  egn->drained_us = drained_us (egs, entry->data_center);
  egn->displaced = false;
  egn->lapsed = false;
  note_cold (egn, now_us);
  return egn;
}

bool
egs_set_drained (egs_t *egs, uint64_t now_us, const char *data_center, bool drained)
{
  bool before = g_hash_table_contains (egs->drained, data_center);
  GHashTableIter iter;
  gpointer value;

  if (before == drained)
    return false;
  if (drained)
    g_hash_table_insert (egs->drained, g_strdup (data_center), g_memdup2 (&now_us, sizeof now_us));
  else
    g_hash_table_remove (egs->drained, data_center);
  g_hash_table_iter_init (&iter, egs->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      egn_t *egn = value;

      if (strcmp (egn->entry.data_center, data_center) != 0)
        continue;
      egn->drained_us = drained ? now_us : 0;
      if (drained)
        continue;
      come_back (egn, now_us);
      forget_load (egn);
    }
  return true;
}

bool
egs_leaves (egs_t *egs, uint64_t now_us, egn_t *egn)
{
  egn->says_leaving = true;
  return oww_leaves (egs->words, now_us, egn->hash);
}

void
egs_rests (egs_t *egs, uint64_t now_us, egn_t *egn, uint64_t rest_us)
{
  egn->rest_until_us = oww_rests (egs->words, now_us, egn->hash, rest_us);
}

uint32_t
egs_drained_count (const egs_t *egs)
{
  return g_hash_table_size (egs->drained);
}

uint32_t
egs_count_in (const egs_t *egs, const char *data_center)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, egs->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += strcmp (((const egn_t *)value)->entry.data_center, data_center) == 0 ? 1 : 0;
  return count;
}

bool
egn_is_cold (const egn_t *egn, uint64_t now_us, uint64_t cold_start_us)
{
  return now_us < egn->cold_until_us ||
         (egn->returned_us != 0 && now_us < egn->returned_us + cold_start_us);
}

uint64_t
egn_cold_since_us (const egn_t *egn)
{
  return MAX (egn->cold_since_us, egn->returned_us);
}

void
egs_lapsed (egs_t *egs, const char *id)
{
  egn_t *egn = g_hash_table_lookup (egs->by_id, id);

  if (egn)
    egn->lapsed = true;
}

void
egs_gone (egs_t *egs, const char *id)
{
  egn_t *egn = g_hash_table_lookup (egs->by_id, id);

  if (!egn)
    return;
  egn->entry.state = EGN_GONE;
  g_ptr_array_remove (service_list (egs, egn->entry.service), egn);
  g_hash_table_remove (egs->by_id, id);
}

egn_t *
egs_find_hash (const egs_t *egs, uint64_t hash)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, egs->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((egn_t *)value)->hash == hash)
      return value;
  return NULL;
}

egn_t *
egs_find (const egs_t *egs, const char *id)
{
  return g_hash_table_lookup (egs->by_id, id);
}

const GPtrArray *
egs_list (const egs_t *egs, const char *service)
{
  return service_list ((egs_t *)egs, service);
}

void
egs_set_complete (egs_t *egs)
{
  egs->complete = true;
}

uint32_t
egs_count (const egs_t *egs)
{
  return g_hash_table_size (egs->by_id);
}

/* From the end of its patience on it is silent, until so long after the last send that a probe is
 * due.
 */
bool
egn_is_silent (const egn_t *egn, uint64_t now_us, uint64_t usual_us, bool repeatable)
{
  uint64_t from_us = egn->asked_us + MAX (EGN_SILENT_US, usual_us * EGN_SILENT_FACTOR);
  uint64_t pause_us = EGN_SILENT_PROBE_US + (repeatable ? 0 : EGN_RISK_US);

  if (egn->own == 0 || egn->heard_us >= egn->asked_us || now_us < from_us)
    return false;
  return now_us < MAX (from_us, egn->sent_us) + pause_us;
}

void
egn_begin (egn_t *egn, uint64_t now_us)
{
  if (egn->own == 0 || egn->heard_us >= egn->asked_us)
    egn->asked_us = now_us;
  egn->sent_us = now_us;
  egn->refs++;
  egn->own++;
}

void
egn_end (egn_t *egn)
{
  g_assert (egn->own > 0);
  egn->own--;
  egn_unref (egn);
}

void
egn_told (egn_t *egn, uint64_t now_us, const egn_load_t *load)
{
  uint32_t there = load->running + load->waiting;

  egn->others = there > egn->own ? there - egn->own : 0;
  egn->told_us = now_us;
  if (load->slots > 0)
    egn->entry.slots = load->slots;
  if (load->effort_percent > 0)
    {
      egn->effort_percent = load->effort_percent;
      egn->effort_us = now_us;
    }
}

void
egn_heard (egn_t *egn, uint64_t told_us, uint32_t load)
{
  if (told_us <= MAX (egn->told_us, egn->news_us))
    return;
  egn->news_others = load > egn->own ? load - egn->own : 0;
  egn->news_us = told_us;
}

void
egn_full (egn_t *egn, uint64_t now_us)
{
  uint32_t rest = egn->own > 0 ? egn->own - 1 : 0;
  uint32_t slots = egn->entry.slots;

  egn->others = slots > rest ? slots - rest : 0;
  egn->told_us = now_us;
  egn->full_until_us = now_us + EGN_FULL_US;
  egn->window_milli = (uint64_t)rest * MILLI;
  egn->refused_us = now_us;
}

bool
egn_has_window (const egn_t *egn, uint64_t now_us, uint64_t pause_us)
{
  if (egn->refused_us == 0 || now_us >= egn->refused_us + EGN_WINDOW_US)
    return true;
  if (egn->own > 0 && (uint64_t)(egn->own + 1) * MILLI <= egn->window_milli)
    return true;
  return now_us >= MAX (egn->refused_us, egn->sent_us) + pause_us;
}

static void
widen_window (egn_t *egn)
{
  bool is_used = (uint64_t)(egn->own + 1) * MILLI > egn->window_milli;

  if (egn->refused_us != 0 && is_used)
    egn->window_milli += MILLI * MILLI / MAX (egn->window_milli, MILLI);
}

bool
egn_is_full (const egn_t *egn, uint64_t now_us)
{
  return now_us < egn->full_until_us;
}

/* What is left of @milli, which was held against an engine at @at_us. */
static uint32_t
faded (uint32_t milli, uint64_t at_us, uint64_t now_us)
{
  uint64_t halvings = now_us > at_us ? (now_us - at_us) / EGN_ERROR_HALF_US : 0;

  return halvings < 32 ? milli >> halvings : 0;
}

uint32_t
egn_errors_now (const egn_t *egn, uint64_t now_us)
{
  return faded (egn->error_milli, egn->error_us, now_us);
}

static void
note_error (egn_t *egn, uint64_t now_us, uint32_t sample_milli)
{
  uint32_t before = egn_errors_now (egn, now_us);

  egn->error_milli = (before * (ERROR_GAIN - 1) + sample_milli) / ERROR_GAIN;
  egn->error_us = now_us;
}

/* An engine may start again under its id, and its entry tells of that late. */
void
egn_worked (egn_t *egn, uint64_t now_us, bool failed)
{
  if (egn->down)
    come_back (egn, now_us);
  egn->down = false;
  widen_window (egn);
  egn->failures = 0;
  egn->skip_until_us = 0;
  note_error (egn, now_us, failed ? MILLI : 0);
}

uint32_t
egn_pace_now (const egn_t *egn, uint64_t now_us)
{
  if (egn->pace_milli <= MILLI)
    return egn->pace_milli == 0 ? MILLI : egn->pace_milli;
  return MILLI + faded (egn->pace_milli - MILLI, egn->pace_us, now_us);
}

void
egn_paced (egn_t *egn, uint64_t now_us, uint32_t ratio_milli)
{
  uint32_t before = egn_pace_now (egn, now_us);

  egn->pace_milli = (before * (PACE_GAIN - 1) + ratio_milli) / PACE_GAIN;
  egn->pace_us = now_us;
}

void
egn_failed (egn_t *egn, uint64_t now_us)
{
  uint32_t doublings;
  uint64_t skip_us;

  egn->failures++;
  note_error (egn, now_us, MILLI);
  if (egn->failures < EGN_FAILURES)
    return;
  doublings = MIN (egn->failures - EGN_FAILURES, 8U);
  skip_us = MIN (EGN_SKIP_MIN_US << doublings, EGN_SKIP_MAX_US);
  egn->skip_until_us = now_us + skip_us;
  egn->probe_us = 0;
}

void
egn_displaced (egn_t *egn)
{
  egn->displaced = true;
}

/* One connection in a row may be lost on its way to an engine that is sound. */
void
egn_unreachable (egn_t *egn, uint64_t now_us)
{
  egn_failed (egn, now_us);
  egn->down = egn->failures >= EGN_FAILURES;
}

/* Between two halvings it falls in a straight line. */
static uint32_t
trust_milli (uint64_t told_us, uint64_t now_us)
{
  uint64_t age_us = now_us > told_us ? now_us - told_us : 0;
  uint64_t halvings = age_us / EGN_TOLD_US;
  uint64_t milli = told_us != 0 && halvings < 32 ? (uint64_t)MILLI >> halvings : 0;

  return (uint32_t)(milli - milli / 2 * (age_us % EGN_TOLD_US) / EGN_TOLD_US);
}

uint32_t
egn_trust_milli (const egn_t *egn, uint64_t now_us)
{
  return trust_milli (egn->told_us, now_us);
}

uint32_t
egn_load_now (const egn_t *egn, uint64_t now_us, uint64_t usual_milli)
{
  bool is_news = egn->news_us > egn->told_us;
  uint64_t others = is_news ? egn->news_others : egn->others;
  uint64_t known_milli = trust_milli (is_news ? egn->news_us : egn->told_us, now_us);
  uint64_t unknown_milli = usual_milli * EGN_UNKNOWN_MILLI / MILLI;
  uint64_t others_milli = others * known_milli + unknown_milli * (MILLI - known_milli) / MILLI;

  return egn->own + (uint32_t)((others_milli + MILLI / 2) / MILLI);
}

uint32_t
egn_effort_now (const egn_t *egn, uint64_t now_us)
{
  uint64_t halvings = (now_us - egn->effort_us) / EGN_EFFORT_HALF_US;

  if (egn->effort_percent == 0 || halvings >= 32)
    return EGN_EFFORT_USUAL;
  if (egn->effort_percent < EGN_EFFORT_USUAL)
    return EGN_EFFORT_USUAL - ((EGN_EFFORT_USUAL - egn->effort_percent) >> halvings);
  return EGN_EFFORT_USUAL + ((egn->effort_percent - EGN_EFFORT_USUAL) >> halvings);
}

bool
egn_is_open (const egn_t *egn)
{
  return egn->entry.state == EGN_READY && egn->drained_us == 0 && !egn->displaced &&
         !egn->says_leaving;
}

bool
egn_is_resting (const egn_t *egn, uint64_t now_us)
{
  return now_us < egn->rest_until_us;
}

bool
egn_is_skipped (const egn_t *egn, uint64_t now_us, bool repeatable)
{
  if (egn->failures < EGN_FAILURES)
    return false;
  if (now_us < egn->skip_until_us + (repeatable ? 0 : EGN_RISK_US))
    return true;
  return egn->probe_us != 0 && now_us < egn->probe_us + EGN_SKIP_MIN_US;
}

void
egn_probe (egn_t *egn, uint64_t now_us)
{
  if (egn->failures >= EGN_FAILURES)
    egn->probe_us = now_us;
}

uint64_t
egs_open_slots (const egs_t *egs, const char *service, uint64_t now_us)
{
  const GPtrArray *engines = egs_list (egs, service);
  uint64_t slots = 0;

  for (guint i = 0; i < engines->len; i++)
    {
      const egn_t *egn = g_ptr_array_index (engines, i);

      if (egn_is_open (egn) && !egn_is_resting (egn, now_us) && !egn_is_skipped (egn, now_us, true))
        slots += egn_slots (egn, 1);
    }
  return slots;
}

uint32_t
egn_slots (const egn_t *egn, uint32_t otherwise)
{
  return egn->entry.slots > 0 ? egn->entry.slots : otherwise;
}
