#include "base/region_map.h"

#include <glib.h>
#include <string.h>

static bool
copy_name (char out[LIMIT_NAME_BYTES], const char *text)
{
  return text[0] != '\0' && g_strlcpy (out, text, LIMIT_NAME_BYTES) < LIMIT_NAME_BYTES;
}

static bool
add_row (region_map_t *map, const char *text)
{
  g_auto (GStrv) names = g_strsplit (text, "=", 3);
  region_map_row_t *row = &map->rows[map->count];

  if (map->count == REGION_MAP_DATA_CENTERS || g_strv_length (names) != 2 ||
      region_map_find (map, names[0]))
    return false;
  if (!copy_name (row->data_center, names[0]) || !copy_name (row->region, names[1]))
    return false;
  map->count++;
  return true;
}

bool
region_map_parse (region_map_t *map, const char *text)
{
  g_auto (GStrv) rows = g_strsplit (text, ",", REGION_MAP_DATA_CENTERS + 1);
  g_autofree region_map_t *parsed = g_new0 (region_map_t, 1);

  for (uint32_t i = 0; rows[i]; i++)
    if (!add_row (parsed, rows[i]))
      return false;
  *map = *parsed;
  return true;
}

char *
region_map_to_text (const region_map_t *map)
{
  GString *text = g_string_new (NULL);

  for (uint32_t i = 0; i < map->count; i++)
    g_string_append_printf (text, "%s%s=%s", i > 0 ? "," : "", map->rows[i].data_center,
                            map->rows[i].region);
  return g_string_free (text, FALSE);
}

const char *
region_map_find (const region_map_t *map, const char *data_center)
{
  for (uint32_t i = 0; i < map->count; i++)
    if (strcmp (map->rows[i].data_center, data_center) == 0)
      return map->rows[i].region;
  return NULL;
}
