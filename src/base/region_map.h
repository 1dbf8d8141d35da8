/**
 * DOC: region_map
 *
 * Map from data centres to their regions, as given by the setting "regions": a comma-separated list
 * of DATA-CENTRE=REGION.
 */
#ifndef BASE_REGION_MAP_H
#define BASE_REGION_MAP_H

#include "base/limits.h"

#include <stdbool.h>
#include <stdint.h>

/* Five times the data centres of the largest supported fleet. */
#define REGION_MAP_DATA_CENTERS 64

/** struct region_map_row - a data centre and its region */
typedef struct
{
  char data_center[LIMIT_NAME_BYTES];
  char region[LIMIT_NAME_BYTES];
} region_map_row_t;

/** struct region_map - the map; one filled with zeros is empty */
typedef struct
{
  region_map_row_t rows[REGION_MAP_DATA_CENTERS];
  uint32_t count;
} region_map_t;

/** region_map_parse() - replace @map by the entries of @text. Return: false, with @map unchanged,
 * if a name is missing or too long, a data centre is listed twice, or there are more than
 * %REGION_MAP_DATA_CENTERS */
bool region_map_parse (region_map_t *map, const char *text);
/** region_map_to_text() - format @map as region_map_parse() reads it. Return: the text, to be freed
 * with g_free() */
char *region_map_to_text (const region_map_t *map);
/** region_map_find() - look up a data centre. Return: its region, or NULL */
const char *region_map_find (const region_map_t *map, const char *data_center);

#endif
