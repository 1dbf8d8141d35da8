#include "figures.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static int
compare_floats (const void *a, const void *b)
{
  const float left = *(const float *)a;
  const float right = *(const float *)b;
  return (left > right) - (left < right);
}

void
figures_add_sample (figures_samples_t *list, double value)
{
  if (list->count == list->capacity)
    {
      list->capacity = list->capacity * 2 + 1024;
      list->values = g_renew (float, list->values, list->capacity);
    }
  list->values[list->count++] = (float)value;
}

double
figures_quantile (figures_samples_t *list, double share)
{
  if (list->count == 0)
    return 0;
  qsort (list->values, list->count, sizeof list->values[0], compare_floats);
  const uint32_t index = (uint32_t)(share * (list->count - 1) + 0.5);
  return (double)list->values[index];
}

void
figures_clear (figures_t *figures)
{
  g_free (figures->skew.values);
  g_free (figures->excess.values);
  g_free (figures->short_wait.values);
  g_free (figures->quiet_wait.values);
  g_free (figures->short_first.values);
  g_free (figures->quiet_first.values);
  memset (figures, 0, sizeof *figures);
}
