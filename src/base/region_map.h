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
#define RGN_DATA_CENTERS 64

/** struct rgn_row - a data centre and its region */
typedef struct
{
  char data_center[LIM_NAME_BYTES];
  char region[LIM_NAME_BYTES];
} rgn_row_t;

/** struct rgn_map - the map; one filled with zeros is empty */
typedef struct
{
  rgn_row_t rows[RGN_DATA_CENTERS];
  uint32_t count;
} rgn_map_t;

/** rgn_parse() - replace @map by the entries of @text. Return: false, with @map unchanged, if a
 * name is missing or too long, a data centre is listed twice, or there are more than
 * %RGN_DATA_CENTERS */
bool rgn_parse (rgn_map_t *map, const char *text);
/** rgn_text() - format @map as rgn_parse() reads it. Return: the text, to be freed with g_free() */
char *rgn_text (const rgn_map_t *map);
/** rgn_of() - look up a data centre. Return: its region, or NULL */
const char *rgn_of (const rgn_map_t *map, const char *data_center);

#endif
