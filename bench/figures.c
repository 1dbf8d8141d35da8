#include "figures.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static int
compare (const void *a, const void *b)
{
  const float one = *(const float *)a;
  const float two = *(const float *)b;
  return (one > two) - (one < two);
}

void
fig_add (fig_list_t *list, double value)
{
  if (list->count == list->room)
    {
      list->room = list->room * 2 + 1024;
      list->values = g_renew (float, list->values, list->room);
    }
  list->values[list->count++] = (float)value;
}

double
fig_quantile (fig_list_t *list, double share)
{
  if (list->count == 0)
    return 0;
  qsort (list->values, list->count, sizeof list->values[0], compare);
  const uint32_t at = (uint32_t)(share * (list->count - 1) + 0.5);
  return (double)list->values[at];
}

void
fig_clear (fig_t *figures)
{
  g_free (figures->skew.values);
  g_free (figures->excess.values);
  g_free (figures->short_wait.values);
  g_free (figures->quiet_wait.values);
  g_free (figures->short_first.values);
  g_free (figures->quiet_first.values);
  memset (figures, 0, sizeof *figures);
}
