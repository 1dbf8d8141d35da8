#include "base/position.h"

#include <glib.h>
#include <string.h>

static int
compare_numbers (uint64_t a, uint64_t b)
{
  return a < b ? -1 : a > b;
}

int
position_compare (position_t a, position_t b)
{
  int by_era = compare_numbers (a.era, b.era);

  return by_era != 0 ? by_era : compare_numbers (a.offset, b.offset);
}

bool
position_is_before (position_t a, position_t b)
{
  return position_compare (a, b) < 0;
}

bool
position_equal (position_t a, position_t b)
{
  return position_compare (a, b) == 0;
}

position_t
position_later (position_t a, position_t b)
{
  return position_is_before (a, b) ? b : a;
}

position_t
position_from (position_t known, uint64_t era, uint64_t offset)
{
  return (position_t){ .era = era != 0 ? era : known.era, .offset = offset };
}

void
position_format (position_t position, char text[POSITION_TEXT_BYTES])
{
  if (position.era == 0)
    g_snprintf (text, POSITION_TEXT_BYTES, "%" G_GUINT64_FORMAT, position.offset);
  else
    g_snprintf (text, POSITION_TEXT_BYTES, "%" G_GUINT64_FORMAT ".%" G_GUINT64_FORMAT, position.era,
                position.offset);
}

bool
position_parse (const char *text, position_t *out)
{
  const char *point = strchr (text, '.');
  g_autofree char *era_text = point ? g_strndup (text, (gsize)(point - text)) : NULL;
  guint64 era = 0;
  guint64 offset;

  if (era_text && !g_ascii_string_to_unsigned (era_text, 10, 1, UINT64_MAX, &era, NULL))
    return false;
  if (!g_ascii_string_to_unsigned (point ? point + 1 : text, 10, 0, UINT64_MAX, &offset, NULL))
    return false;
  *out = (position_t){ .era = era, .offset = offset };
  return true;
}
