#include "load_stats.h"

#include <jansson.h>
#include <string.h>

typedef struct
{
  GArray *latency_us; /* uint64_t, answered requests only */
  GArray *first_token_us;
} load_stats_times_t;

typedef struct
{
  load_stats_times_t all;
  GHashTable *by_class; /* class name -> load_stats_times_t */
  GHashTable *failures; /* failure -> count */
  GHashTable *engines;  /* engine name -> answered requests */
  GHashTable *accounts; /* account name -> answered requests */
  uint64_t answered;
  uint64_t failed;
  uint64_t mismatched; /* answers that belong to another request */
  uint64_t prompt_tokens;
  uint64_t output_tokens;
  uint64_t returning; /* answers to later turns of a chat; the next three fields are theirs */
  uint64_t returning_prompt_tokens;
  uint64_t returning_cached_tokens;
  uint64_t reusable_tokens;
} load_stats_side_t;

struct load_stats
{
  load_stats_side_t sides[LOAD_SIDE_COUNT];
};

static const char *const side_names[] = { "fleet", "direct" };

static void
times_init (load_stats_times_t *times)
{
  times->latency_us = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  times->first_token_us = g_array_new (FALSE, FALSE, sizeof (uint64_t));
}

static void
times_clear (load_stats_times_t *times)
{
  g_array_free (times->latency_us, TRUE);
  g_array_free (times->first_token_us, TRUE);
}

static void
times_free (gpointer data)
{
  times_clear (data);
  g_free (data);
}

static void
times_add (load_stats_times_t *times, const load_stats_sample_t *sample)
{
  g_array_append_val (times->latency_us, sample->latency_us);
  g_array_append_val (times->first_token_us, sample->first_token_us);
}

static void
increment (GHashTable *table, const char *name)
{
  guint64 *value = g_hash_table_lookup (table, name);
  if (value == NULL)
    {
      value = g_new0 (guint64, 1);
      g_hash_table_insert (table, g_strdup (name), value);
    }
  (*value)++;
}

static GHashTable *
counts_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

static load_stats_times_t *
class_times (load_stats_side_t *side, const char *name)
{
  load_stats_times_t *times = g_hash_table_lookup (side->by_class, name);
  if (times != NULL)
    return times;
  times = g_new0 (load_stats_times_t, 1);
  times_init (times);
  g_hash_table_insert (side->by_class, g_strdup (name), times);
  return times;
}

static gint
by_value (gconstpointer left, gconstpointer right)
{
  uint64_t a = *(const uint64_t *)left;
  uint64_t b = *(const uint64_t *)right;
  return a < b ? -1 : a > b;
}

static double
percentile_ms (const GArray *sorted, double share)
{
  if (sorted->len == 0)
    return 0;
  guint index = (guint)(share * (sorted->len - 1) + 0.5);
  return (double)g_array_index (sorted, uint64_t, index) / 1000;
}

static json_t *
percentiles (GArray *values)
{
  g_array_sort (values, by_value);
  return json_pack ("{s:f, s:f, s:f, s:f, s:I}", "p50_ms", percentile_ms (values, 0.5), "p90_ms",
                    percentile_ms (values, 0.9), "p99_ms", percentile_ms (values, 0.99), "max_ms",
                    percentile_ms (values, 1), "count", (json_int_t)values->len);
}

static json_t *
times_json (load_stats_times_t *times)
{
  return json_pack ("{s:o, s:o}", "latency", percentiles (times->latency_us), "first_token",
                    percentiles (times->first_token_us));
}

static json_t *
counts_json (GHashTable *table)
{
  json_t *json = json_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &name, &value))
    json_object_set_new (json, name, json_integer ((json_int_t) * (guint64 *)value));
  return json;
}

static json_t *
classes_json (load_stats_side_t *side)
{
  json_t *json = json_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer times;
  g_hash_table_iter_init (&iter, side->by_class);
  while (g_hash_table_iter_next (&iter, &name, &times))
    json_object_set_new (json, name, times_json (times));
  return json;
}

static double
ratio (uint64_t part, uint64_t whole)
{
  return whole == 0 ? 0 : (double)part / (double)whole;
}

static json_t *
cache_json (const load_stats_side_t *side)
{
  return json_pack ("{s:I, s:I, s:I, s:I, s:f, s:f}", "returning", (json_int_t)side->returning,
                    "prompt_tokens", (json_int_t)side->returning_prompt_tokens, "cached_tokens",
                    (json_int_t)side->returning_cached_tokens, "reusable_tokens",
                    (json_int_t)side->reusable_tokens, "cached_share",
                    ratio (side->returning_cached_tokens, side->returning_prompt_tokens), "reuse",
                    ratio (side->returning_cached_tokens, side->reusable_tokens));
}

static json_t *
side_json (load_stats_side_t *side, uint64_t elapsed_us)
{
  double elapsed_s = (double)elapsed_us / G_USEC_PER_SEC;
  json_t *json = times_json (&side->all);
  json_object_set_new (json, "answered", json_integer ((json_int_t)side->answered));
  json_object_set_new (json, "failed", json_integer ((json_int_t)side->failed));
  json_object_set_new (json, "not_own", json_integer ((json_int_t)side->mismatched));
  json_object_set_new (json, "answered_s", json_real ((double)side->answered / elapsed_s));
  json_object_set_new (json, "output_tokens_s",
                       json_real ((double)side->output_tokens / elapsed_s));
  json_object_set_new (json, "cache", cache_json (side));
  json_object_set_new (json, "failures", counts_json (side->failures));
  json_object_set_new (json, "engines", counts_json (side->engines));
  json_object_set_new (json, "accounts", counts_json (side->accounts));
  json_object_set_new (json, "classes", classes_json (side));
  return json;
}

/* Ratio of the latencies through the routers to those of the engines alone, in the same run. */
static json_t *
overhead_json (load_stats_t *stats)
{
  json_t *json = json_object ();
  load_stats_times_t *fleet = &stats->sides[LOAD_SIDE_ROUTERS].all;
  load_stats_times_t *direct = &stats->sides[LOAD_SIDE_ENGINES].all;
  static const double shares[] = { 0.5, 0.99 };
  static const char *const latency_keys[] = { "latency_p50", "latency_p99" };
  static const char *const first_token_keys[] = { "first_token_p50", "first_token_p99" };
  for (size_t i = 0; i < G_N_ELEMENTS (shares); i++)
    {
      double latency = percentile_ms (direct->latency_us, shares[i]);
      double first = percentile_ms (direct->first_token_us, shares[i]);
      if (latency <= 0 || first <= 0)
        continue;
      json_object_set_new (json, latency_keys[i],
                           json_real (percentile_ms (fleet->latency_us, shares[i]) / latency));
      json_object_set_new (json, first_token_keys[i],
                           json_real (percentile_ms (fleet->first_token_us, shares[i]) / first));
    }
  return json;
}

static void
print_text (const json_t *json, const char *indent)
{
  const char *name;
  json_t *value;
  json_object_foreach ((json_t *)json, name, value)
    {
      g_autofree char *child_prefix = g_strconcat (indent, "  ", NULL);
      if (json_is_object (value) && json_object_get (value, "p50_ms") != NULL)
        g_print ("%s%s: p50 %.2f ms, p90 %.2f ms, p99 %.2f ms, max %.2f ms of %lld\n", indent, name,
                 json_real_value (json_object_get (value, "p50_ms")),
                 json_real_value (json_object_get (value, "p90_ms")),
                 json_real_value (json_object_get (value, "p99_ms")),
                 json_real_value (json_object_get (value, "max_ms")),
                 (long long)json_integer_value (json_object_get (value, "count")));
      else if (json_is_object (value))
        {
          g_print ("%s%s:\n", indent, name);
          print_text (value, child_prefix);
        }
      else if (json_is_real (value))
        g_print ("%s%s: %.3f\n", indent, name, json_real_value (value));
      else
        g_print ("%s%s: %lld\n", indent, name, (long long)json_integer_value (value));
    }
}

/* Prints a line PATH<TAB>NUMBER for each number in the tree. */
static void
print_tsv (const json_t *json, const char *prefix)
{
  const char *name;
  json_t *value;
  json_object_foreach ((json_t *)json, name, value)
    {
      g_autofree char *path = g_strconcat (prefix, name, NULL);
      g_autofree char *child_prefix = g_strconcat (path, "/", NULL);
      if (json_is_object (value))
        print_tsv (value, child_prefix);
      else
        g_print ("%s\t%.6g\n", path, json_number_value (value));
    }
}

load_stats_t *
load_stats_new (void)
{
  load_stats_t *stats = g_new0 (load_stats_t, 1);
  for (int i = 0; i < LOAD_SIDE_COUNT; i++)
    {
      load_stats_side_t *side = &stats->sides[i];
      times_init (&side->all);
      side->by_class = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, times_free);
      side->failures = counts_new ();
      side->engines = counts_new ();
      side->accounts = counts_new ();
    }
  return stats;
}

void
load_stats_free (load_stats_t *stats)
{
  if (stats == NULL)
    return;
  for (int i = 0; i < LOAD_SIDE_COUNT; i++)
    {
      load_stats_side_t *side = &stats->sides[i];
      times_clear (&side->all);
      g_hash_table_destroy (side->by_class);
      g_hash_table_destroy (side->failures);
      g_hash_table_destroy (side->engines);
      g_hash_table_destroy (side->accounts);
    }
  g_free (stats);
}

void
load_stats_add (load_stats_t *stats, const load_stats_sample_t *sample)
{
  load_stats_side_t *side = &stats->sides[sample->side];
  if (sample->failure != NULL)
    {
      side->failed++;
      increment (side->failures, sample->failure);
      return;
    }
  side->answered++;
  side->mismatched += sample->answer->verdict == LOAD_ANSWER_MISMATCH ? 1 : 0;
  side->prompt_tokens += sample->answer->prompt_tokens;
  side->output_tokens += sample->answer->completion_tokens;
  times_add (&side->all, sample);
  times_add (class_times (side, sample->class_name), sample);
  increment (side->engines, sample->engine == NULL ? "unnamed" : sample->engine);
  increment (side->accounts, sample->account);
  if (sample->reusable_tokens == 0)
    return;
  side->returning++;
  side->returning_prompt_tokens += sample->answer->prompt_tokens;
  side->returning_cached_tokens += sample->answer->cached_tokens;
  side->reusable_tokens += sample->reusable_tokens;
}

bool
load_stats_print (load_stats_t *stats,
                  const load_options_t *options,
                  uint64_t elapsed_us,
                  uint64_t skipped)
{
  json_t *json = json_object ();
  bool has_mismatch = false;
  for (int i = 0; i < LOAD_SIDE_COUNT; i++)
    {
      has_mismatch = has_mismatch || stats->sides[i].mismatched > 0;
      if (options->target_count[i] > 0)
        json_object_set_new (json, side_names[i], side_json (&stats->sides[i], elapsed_us));
    }
  if (json_object_size (json) == LOAD_SIDE_COUNT)
    json_object_set_new (json, "fleet_to_direct", overhead_json (stats));
  json_object_set_new (json, "elapsed_s", json_real ((double)elapsed_us / G_USEC_PER_SEC));
  json_object_set_new (json, "not_sent", json_integer ((json_int_t)skipped));
  if (options->json)
    {
      char *text = json_dumps (json, JSON_INDENT (1) | JSON_SORT_KEYS);
      g_print ("%s\n", text);
      free (text);
    }
  else if (options->tsv)
    print_tsv (json, "");
  else
    print_text (json, "");
  json_decref (json);
  return has_mismatch;
}
