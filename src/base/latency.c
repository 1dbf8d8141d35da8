#include "base/latency.h"

#include "base/clock.h"

/* Upper bounds of the buckets; 0 stands for no bound. They are close together around the latency
 * targets (a plain response within 0.1 s, events of a stream at most 0.3 s apart, a first token
 * within 0.8 s) and farther apart up to the longest timeouts. */
static const uint32_t bounds_ms[LAT_BUCKETS] = { 5,   10,   25,   50,   100,   200, 400,
                                                 800, 1500, 3000, 6000, 15000, 0 };

struct lat
{
  cnt_t *buckets[LAT_BUCKETS];
  cnt_t *sum_us;
  cnt_t *count;
};

static cnt_t *
get_counter (
    cnt_set_t *registry, const char *base, const char *suffix, const char *labels, const char *help)
{
  g_autofree char *name = labels[0] != '\0' ? g_strdup_printf ("%s%s{%s}", base, suffix, labels)
                                            : g_strconcat (base, suffix, NULL);

  return cnt_get (registry, name, help);
}

lat_t *
lat_new (cnt_set_t *registry, const char *base, const char *labels, const char *help)
{
  lat_t *lat = g_new0 (lat_t, 1);

  for (uint32_t i = 0; i < LAT_BUCKETS; i++)
    {
      g_autofree char *bound =
          bounds_ms[i] > 0 ? g_strdup_printf ("%u", bounds_ms[i]) : g_strdup ("+Inf");
      g_autofree char *all_labels =
          g_strdup_printf ("%s%sle=\"%s\"", labels, labels[0] != '\0' ? "," : "", bound);

      lat->buckets[i] = get_counter (registry, base, "_bucket", all_labels, help);
    }
  lat->sum_us = get_counter (registry, base, "_sum_us", labels, help);
  lat->count = get_counter (registry, base, "_count", labels, help);
  return lat;
}

void
lat_free (lat_t *lat)
{
  g_free (lat);
}

void
lat_add (lat_t *lat, uint64_t took_us)
{
  for (uint32_t i = 0; i < LAT_BUCKETS; i++)
    if (bounds_ms[i] == 0 || took_us <= (uint64_t)bounds_ms[i] * CLK_US_PER_MS)
      cnt_add (lat->buckets[i], 1);
  cnt_add (lat->sum_us, took_us);
  cnt_add (lat->count, 1);
}
