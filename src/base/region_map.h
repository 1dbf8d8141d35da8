/**
 * DOC: region_map
 *
 * In which region each data centre is, as the settings say: "DATA-CENTRE=REGION" with commas
 * between.
 */
#ifndef BASE_REGION_MAP_H
#define BASE_REGION_MAP_H

#include "base/limits.h"

#include <stdbool.h>
#include <stdint.h>

#define RGN_DATA_CENTERS 64 /* five times those of the largest fleet that is designed for */

/** struct rgn_row - a data centre */
typedef struct
{
  char data_center[LIM_NAME_BYTES];
  char region[LIM_NAME_BYTES];
} rgn_row_t;

/** struct rgn_map - zeroed, it is empty */
typedef struct
{
  rgn_row_t rows[RGN_DATA_CENTERS];
  uint32_t count;
} rgn_map_t;

/** rgn_parse() - Return: false, with @map untouched, when a name is missing, too long or stands
 * twice, or there are too many */
bool rgn_parse (rgn_map_t *map, const char *text);
/** rgn_text() - the inverse, freed by g_free() */
char *rgn_text (const rgn_map_t *map);
/** rgn_of() - region of @data_center, or NULL when it is not known */
const char *rgn_of (const rgn_map_t *map, const char *data_center);

#endif
