#include "base/latency.h"

#include "base/clock.h"

/* Upper bounds of the buckets; 0 stands for no bound. They are close together around the latency
 * targets (a plain response within 0.1 s, events of a stream at most 0.3 s apart, a first token
 * within 0.8 s) and farther apart up to the longest timeouts. */
static const uint32_t bounds_ms[LATENCY_BUCKETS] = { 5,   10,   25,   50,   100,   200, 400,
                                                     800, 1500, 3000, 6000, 15000, 0 };

struct latency
{
  counter_t *buckets[LATENCY_BUCKETS];
  counter_t *sum_us;
  counter_t *count;
};

static counter_t *
get_counter (counter_registry_t *registry,
             const char *base,
             const char *suffix,
             const char *labels,
             const char *help)
{
  g_autofree char *name = labels[0] != '\0' ? g_strdup_printf ("%s%s{%s}", base, suffix, labels)
                                            : g_strconcat (base, suffix, NULL);

  return counter_get (registry, name, help);
}

latency_t *
latency_new (counter_registry_t *registry, const char *base, const char *labels, const char *help)
{
  latency_t *latency = g_new0 (latency_t, 1);

  for (uint32_t i = 0; i < LATENCY_BUCKETS; i++)
    {
      g_autofree char *bound =
          bounds_ms[i] > 0 ? g_strdup_printf ("%u", bounds_ms[i]) : g_strdup ("+Inf");
      g_autofree char *all_labels =
          g_strdup_printf ("%s%sle=\"%s\"", labels, labels[0] != '\0' ? "," : "", bound);

      latency->buckets[i] = get_counter (registry, base, "_bucket", all_labels, help);
    }
  latency->sum_us = get_counter (registry, base, "_sum_us", labels, help);
  latency->count = get_counter (registry, base, "_count", labels, help);
  return latency;
}

void
latency_free (latency_t *latency)
{
  g_free (latency);
}

void
latency_add (latency_t *latency, uint64_t took_us)
{
  for (uint32_t i = 0; i < LATENCY_BUCKETS; i++)
    if (bounds_ms[i] == 0 || took_us <= (uint64_t)bounds_ms[i] * CLOCK_US_PER_MS)
      counter_add (latency->buckets[i], 1);
  counter_add (latency->sum_us, took_us);
  counter_add (latency->count, 1);
}
