#include "watch_stats.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MILLI_PER_REQUEST 1000
#define CONTROL_PREFIX "medlarplank_control_bytes_"

/**
 * struct group - the daemons of a service
 * @percent: load bound in percent of the mean load
 * @rounds: rounds in which any of them reported a load
 * @samples: loads reported
 * @over_own_bound: samples over the bound that the daemon itself reported
 * @over_true_bound: samples over the bound by the true mean of the round
 * @load_sum: sum of the mean loads of the rounds
 * @ratios: maximum / mean load of each round whose mean is 1 or more
 */
typedef struct
{
  uint32_t percent;
  uint64_t rounds;
  uint64_t samples;
  uint64_t over_own_bound;
  uint64_t over_true_bound;
  double load_sum;
  GArray *ratios;
} group_t;

struct watch_stats
{
  GPtrArray *daemons;
  GHashTable *groups; /* name -> group_t */
};

static void
daemon_free (gpointer data)
{
  watch_stats_daemon_t *daemon = data;
  g_hash_table_destroy (daemon->last_values);
  g_hash_table_destroy (daemon->growth);
  g_free (daemon->group);
  g_free (daemon->name);
  g_free (daemon);
}

static void
group_free (gpointer data)
{
  group_t *group = data;
  g_array_free (group->ratios, TRUE);
  g_free (group);
}

static group_t *
find_or_add_group (watch_stats_t *stats, const char *name)
{
  group_t *group = g_hash_table_lookup (stats->groups, name);
  if (group != NULL)
    return group;
  group = g_new0 (group_t, 1);
  group->percent = 125;
  group->ratios = g_array_new (FALSE, FALSE, sizeof (double));
  g_hash_table_insert (stats->groups, g_strdup (name), group);
  return group;
}

static uint64_t
value_of (GHashTable *table, const char *name)
{
  const guint64 *value = g_hash_table_lookup (table, name);
  return value == NULL ? 0 : *value;
}

static void
set_value (GHashTable *table, const char *name, uint64_t value)
{
  guint64 *kept = g_hash_table_lookup (table, name);
  if (kept == NULL)
    {
      kept = g_new0 (guint64, 1);
      g_hash_table_insert (table, g_strdup (name), kept);
    }
  *kept = value;
}

static bool
is_counter (const char *name)
{
  const char *braces = strchr (name, '{');
  size_t bytes = braces == NULL ? strlen (name) : (size_t)(braces - name);
  return bytes > strlen ("_total") && strncmp (name + bytes - 6, "_total", 6) == 0;
}

static void
add_counter (watch_stats_daemon_t *daemon, const char *name, uint64_t value)
{
  const uint64_t before = value_of (daemon->last_values, name);
  const uint64_t growth = value >= before ? value - before : value;
  set_value (daemon->last_values, name, value);
  if (daemon->has_baseline)
    set_value (daemon->growth, name, value_of (daemon->growth, name) + growth);
}

/* The load bound, max(percent of the mean, mean + 1), with the true mean of this round. */
static bool
is_over_bound (uint32_t load, double mean, uint32_t percent)
{
  return load > MAX (mean * percent / 100, mean + 1) + 1e-9;
}

static void
count_round (watch_stats_t *stats, const char *name, group_t *group)
{
  uint64_t sum = 0;
  uint32_t max = 0;
  uint32_t count = 0;
  for (guint i = 0; i < stats->daemons->len; i++)
    {
      const watch_stats_daemon_t *daemon = g_ptr_array_index (stats->daemons, i);
      if (!daemon->known || strcmp (daemon->group, name) != 0)
        continue;
      sum += daemon->load;
      max = MAX (max, daemon->load);
      count++;
    }
  if (count == 0)
    return;
  const double mean = (double)sum / count;
  for (guint i = 0; i < stats->daemons->len; i++)
    {
      watch_stats_daemon_t *daemon = g_ptr_array_index (stats->daemons, i);
      if (!daemon->known || strcmp (daemon->group, name) != 0)
        continue;
      group->over_own_bound +=
          (uint64_t)daemon->load * MILLI_PER_REQUEST > daemon->bound_milli ? 1 : 0;
      group->over_true_bound += is_over_bound (daemon->load, mean, group->percent) ? 1 : 0;
      daemon->load_sum += daemon->load;
      daemon->load_count++;
    }
  group->rounds++;
  group->samples += count;
  group->load_sum += mean;
  if (mean < 1)
    return;
  const double ratio = max / mean;
  g_array_append_val (group->ratios, ratio);
}

static gint
by_value (gconstpointer left, gconstpointer right)
{
  const double a = *(const double *)left;
  const double b = *(const double *)right;
  return a < b ? -1 : a > b;
}

static double
percentile (const GArray *sorted, double share)
{
  if (sorted->len == 0)
    return NAN;
  return g_array_index (sorted, double, (guint)(share * (sorted->len - 1) + 0.5));
}

/* Maximum / mean of the daemons' loads averaged over the whole time. Unlike the ratios of single
 * rounds, it doesn't contain short random imbalance. */
static double
ratio_of_averages (const watch_stats_t *stats, const char *name)
{
  double sum = 0;
  double max = 0;
  uint32_t count = 0;
  for (guint i = 0; i < stats->daemons->len; i++)
    {
      const watch_stats_daemon_t *daemon = g_ptr_array_index (stats->daemons, i);
      if (strcmp (daemon->group, name) != 0 || daemon->load_count == 0)
        continue;
      const double load = (double)daemon->load_sum / (double)daemon->load_count;
      sum += load;
      max = MAX (max, load);
      count++;
    }
  return sum > 0 ? max / (sum / count) : NAN;
}

static void
print_group (const watch_stats_t *stats, const char *name, group_t *group)
{
  if (group->rounds == 0)
    return;
  g_array_sort (group->ratios, by_value);
  g_print ("%s/rounds\t%" G_GUINT64_FORMAT "\n", name, group->rounds);
  g_print ("%s/samples\t%" G_GUINT64_FORMAT "\n", name, group->samples);
  g_print ("%s/over_own\t%" G_GUINT64_FORMAT "\n", name, group->over_own_bound);
  g_print ("%s/over_mean\t%" G_GUINT64_FORMAT "\n", name, group->over_true_bound);
  g_print ("%s/mean_load\t%.3f\n", name, group->load_sum / (double)group->rounds);
  g_print ("%s/ratio_p50\t%.3f\n", name, percentile (group->ratios, 0.5));
  g_print ("%s/ratio_p99\t%.3f\n", name, percentile (group->ratios, 0.99));
  g_print ("%s/ratio_max\t%.3f\n", name, percentile (group->ratios, 1));
  g_print ("%s/ratio_average\t%.3f\n", name, ratio_of_averages (stats, name));
}

static uint64_t
control_bytes (const watch_stats_daemon_t *daemon)
{
  return value_of (daemon->growth, CONTROL_PREFIX "sent_total") +
         value_of (daemon->growth, CONTROL_PREFIX "received_total");
}

static void
print_control (const watch_stats_t *stats, double seconds)
{
  double sum = 0;
  double max = 0;
  for (guint i = 0; i < stats->daemons->len; i++)
    {
      const double bytes_s =
          (double)control_bytes (g_ptr_array_index (stats->daemons, i)) / seconds;
      sum += bytes_s;
      max = MAX (max, bytes_s);
    }
  g_print ("control_bytes_s/mean\t%.0f\n", sum / MAX (stats->daemons->len, 1));
  g_print ("control_bytes_s/max\t%.0f\n", max);
}

static void
print_counters (const watch_stats_t *stats)
{
  g_autoptr (GHashTable) sums = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  for (guint i = 0; i < stats->daemons->len; i++)
    {
      const watch_stats_daemon_t *daemon = g_ptr_array_index (stats->daemons, i);
      g_hash_table_iter_init (&iter, daemon->growth);
      while (g_hash_table_iter_next (&iter, &name, &value))
        set_value (sums, name, value_of (sums, name) + *(guint64 *)value);
    }
  g_hash_table_iter_init (&iter, sums);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (*(guint64 *)value > 0)
      g_print ("%s\t%" G_GUINT64_FORMAT "\n", (char *)name, *(guint64 *)value);
}

watch_stats_t *
watch_stats_new (void)
{
  watch_stats_t *stats = g_new0 (watch_stats_t, 1);
  stats->daemons = g_ptr_array_new_with_free_func (daemon_free);
  stats->groups = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, group_free);
  return stats;
}

void
watch_stats_free (watch_stats_t *stats)
{
  if (stats == NULL)
    return;
  g_ptr_array_free (stats->daemons, TRUE);
  g_hash_table_destroy (stats->groups);
  g_free (stats);
}

watch_stats_daemon_t *
watch_stats_add_daemon (watch_stats_t *stats, const char *group, const char *name)
{
  watch_stats_daemon_t *daemon = g_new0 (watch_stats_daemon_t, 1);
  daemon->group = g_strdup (group);
  daemon->name = g_strdup (name);
  daemon->last_values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  daemon->growth = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_ptr_array_add (stats->daemons, daemon);
  return daemon;
}

void
watch_stats_set_bound (watch_stats_t *stats, const char *group, uint32_t percent)
{
  find_or_add_group (stats, group)->percent = percent;
}

void
watch_stats_read_metrics (watch_stats_daemon_t *daemon, const char *text)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", 0);
  for (char **line = lines; *line != NULL; line++)
    {
      char *blank = strrchr (*line, ' ');
      if (**line == '#' || blank == NULL)
        continue;
      *blank = '\0';
      if (is_counter (*line))
        add_counter (daemon, *line, strtoull (blank + 1, NULL, 10));
    }
  daemon->has_baseline = true;
}

void
watch_stats_end_round (watch_stats_t *stats)
{
  GHashTableIter iter;
  gpointer name;
  gpointer group;
  g_hash_table_iter_init (&iter, stats->groups);
  while (g_hash_table_iter_next (&iter, &name, &group))
    count_round (stats, name, group);
  for (guint i = 0; i < stats->daemons->len; i++)
    ((watch_stats_daemon_t *)g_ptr_array_index (stats->daemons, i))->known = false;
}

void
watch_stats_print (watch_stats_t *stats, double seconds)
{
  GHashTableIter iter;
  gpointer name;
  gpointer group;
  g_print ("seconds\t%.3f\n", seconds);
  g_hash_table_iter_init (&iter, stats->groups);
  while (g_hash_table_iter_next (&iter, &name, &group))
    print_group (stats, name, group);
  print_control (stats, seconds);
  print_counters (stats);
}
