#include "watch_sums.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MILLI 1000
#define CONTROL_PREFIX "medlarplank_control_bytes_"

/** struct group - a service; @ratios: max/mean of the load, of rounds with a mean of 1 or more */
typedef struct
{
  uint32_t percent;
  uint64_t rounds;
  uint64_t samples;
  uint64_t over_own;
  uint64_t over_mean;
  double load_sum;
  GArray *ratios;
} group_t;

struct wsm
{
  GPtrArray *daemons;
  GHashTable *groups; /* name -> group_t */
};

static void
daemon_free (gpointer data)
{
  wsm_daemon_t *daemon = data;
  g_hash_table_destroy (daemon->last);
  g_hash_table_destroy (daemon->grown);
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
group_named (wsm_t *wsm, const char *name)
{
  group_t *group = g_hash_table_lookup (wsm->groups, name);
  if (group != NULL)
    return group;
  group = g_new0 (group_t, 1);
  group->percent = 125;
  group->ratios = g_array_new (FALSE, FALSE, sizeof (double));
  g_hash_table_insert (wsm->groups, g_strdup (name), group);
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
take_counter (wsm_daemon_t *daemon, const char *name, uint64_t value)
{
  const uint64_t before = value_of (daemon->last, name);
  const uint64_t growth = value >= before ? value - before : value;
  set_value (daemon->last, name, value);
  if (daemon->started)
    set_value (daemon->grown, name, value_of (daemon->grown, name) + growth);
}

/* The bound of the promise, by the true mean of this round. */
static bool
is_over_mean (uint32_t load, double mean, uint32_t percent)
{
  return load > MAX (mean * percent / 100, mean + 1) + 1e-9;
}

static void
count_round (wsm_t *wsm, const char *name, group_t *group)
{
  uint64_t sum = 0;
  uint32_t most = 0;
  uint32_t count = 0;
  for (guint i = 0; i < wsm->daemons->len; i++)
    {
      const wsm_daemon_t *daemon = g_ptr_array_index (wsm->daemons, i);
      if (!daemon->known || strcmp (daemon->group, name) != 0)
        continue;
      sum += daemon->load;
      most = MAX (most, daemon->load);
      count++;
    }
  if (count == 0)
    return;
  const double mean = (double)sum / count;
  for (guint i = 0; i < wsm->daemons->len; i++)
    {
      wsm_daemon_t *daemon = g_ptr_array_index (wsm->daemons, i);
      if (!daemon->known || strcmp (daemon->group, name) != 0)
        continue;
      group->over_own += (uint64_t)daemon->load * MILLI > daemon->bound_milli ? 1 : 0;
      group->over_mean += is_over_mean (daemon->load, mean, group->percent) ? 1 : 0;
      daemon->load_sum += daemon->load;
      daemon->load_count++;
    }
  group->rounds++;
  group->samples += count;
  group->load_sum += mean;
  if (mean < 1)
    return;
  const double ratio = most / mean;
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

/* Of the loads averaged over the whole time: what chance of the moment evens out is left out. */
static double
average_ratio (const wsm_t *wsm, const char *name)
{
  double sum = 0;
  double most = 0;
  uint32_t count = 0;
  for (guint i = 0; i < wsm->daemons->len; i++)
    {
      const wsm_daemon_t *daemon = g_ptr_array_index (wsm->daemons, i);
      if (strcmp (daemon->group, name) != 0 || daemon->load_count == 0)
        continue;
      const double load = (double)daemon->load_sum / (double)daemon->load_count;
      sum += load;
      most = MAX (most, load);
      count++;
    }
  return sum > 0 ? most / (sum / count) : NAN;
}

static void
print_group (const wsm_t *wsm, const char *name, group_t *group)
{
  if (group->rounds == 0)
    return;
  g_array_sort (group->ratios, by_value);
  g_print ("%s/rounds\t%" G_GUINT64_FORMAT "\n", name, group->rounds);
  g_print ("%s/samples\t%" G_GUINT64_FORMAT "\n", name, group->samples);
  g_print ("%s/over_own\t%" G_GUINT64_FORMAT "\n", name, group->over_own);
  g_print ("%s/over_mean\t%" G_GUINT64_FORMAT "\n", name, group->over_mean);
  g_print ("%s/mean_load\t%.3f\n", name, group->load_sum / (double)group->rounds);
  g_print ("%s/ratio_p50\t%.3f\n", name, percentile (group->ratios, 0.5));
  g_print ("%s/ratio_p99\t%.3f\n", name, percentile (group->ratios, 0.99));
  g_print ("%s/ratio_max\t%.3f\n", name, percentile (group->ratios, 1));
  g_print ("%s/ratio_average\t%.3f\n", name, average_ratio (wsm, name));
}

static uint64_t
control_bytes (const wsm_daemon_t *daemon)
{
  return value_of (daemon->grown, CONTROL_PREFIX "sent_total") +
         value_of (daemon->grown, CONTROL_PREFIX "received_total");
}

static void
print_control (const wsm_t *wsm, double seconds)
{
  double sum = 0;
  double most = 0;
  for (guint i = 0; i < wsm->daemons->len; i++)
    {
      const double bytes_s = (double)control_bytes (g_ptr_array_index (wsm->daemons, i)) / seconds;
      sum += bytes_s;
      most = MAX (most, bytes_s);
    }
  g_print ("control_bytes_s/mean\t%.0f\n", sum / MAX (wsm->daemons->len, 1));
  g_print ("control_bytes_s/max\t%.0f\n", most);
}

static void
print_counters (const wsm_t *wsm)
{
  g_autoptr (GHashTable) sums = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  for (guint i = 0; i < wsm->daemons->len; i++)
    {
      const wsm_daemon_t *daemon = g_ptr_array_index (wsm->daemons, i);
      g_hash_table_iter_init (&iter, daemon->grown);
      while (g_hash_table_iter_next (&iter, &name, &value))
        set_value (sums, name, value_of (sums, name) + *(guint64 *)value);
    }
  g_hash_table_iter_init (&iter, sums);
  while (g_hash_table_iter_next (&iter, &name, &value))
    if (*(guint64 *)value > 0)
      g_print ("%s\t%" G_GUINT64_FORMAT "\n", (char *)name, *(guint64 *)value);
}

wsm_t *
wsm_new (void)
{
  wsm_t *wsm = g_new0 (wsm_t, 1);
  wsm->daemons = g_ptr_array_new_with_free_func (daemon_free);
  wsm->groups = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, group_free);
  return wsm;
}

void
wsm_free (wsm_t *wsm)
{
  if (wsm == NULL)
    return;
  g_ptr_array_free (wsm->daemons, TRUE);
  g_hash_table_destroy (wsm->groups);
  g_free (wsm);
}

wsm_daemon_t *
wsm_add (wsm_t *wsm, const char *group, const char *name)
{
  wsm_daemon_t *daemon = g_new0 (wsm_daemon_t, 1);
  daemon->group = g_strdup (group);
  daemon->name = g_strdup (name);
  daemon->last = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  daemon->grown = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_ptr_array_add (wsm->daemons, daemon);
  return daemon;
}

void
wsm_bound (wsm_t *wsm, const char *group, uint32_t percent)
{
  group_named (wsm, group)->percent = percent;
}

void
wsm_metrics (wsm_daemon_t *daemon, const char *text)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", 0);
  for (char **line = lines; *line != NULL; line++)
    {
      char *blank = strrchr (*line, ' ');
      if (**line == '#' || blank == NULL)
        continue;
      *blank = '\0';
      if (is_counter (*line))
        take_counter (daemon, *line, strtoull (blank + 1, NULL, 10));
    }
  daemon->started = true;
}

void
wsm_round (wsm_t *wsm)
{
  GHashTableIter iter;
  gpointer name;
  gpointer group;
  g_hash_table_iter_init (&iter, wsm->groups);
  while (g_hash_table_iter_next (&iter, &name, &group))
    count_round (wsm, name, group);
  for (guint i = 0; i < wsm->daemons->len; i++)
    ((wsm_daemon_t *)g_ptr_array_index (wsm->daemons, i))->known = false;
}

void
wsm_print (wsm_t *wsm, double seconds)
{
  GHashTableIter iter;
  gpointer name;
  gpointer group;
  g_print ("seconds\t%.3f\n", seconds);
  g_hash_table_iter_init (&iter, wsm->groups);
  while (g_hash_table_iter_next (&iter, &name, &group))
    print_group (wsm, name, group);
  print_control (wsm, seconds);
  print_counters (wsm);
}
