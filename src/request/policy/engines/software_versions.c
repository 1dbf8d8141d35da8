#include "request/policy/engines/software_versions.h"

#include <glib.h>

/**
 * struct record - a version
 * @engines: in the registry
 * @appeared_us: when its first engine was seen; 0 when it was there from the start
 * @gone_us: when its last engine left; valid while @engines is 0
 */
typedef struct
{
  uint64_t version;
  uint32_t engines;
  uint64_t appeared_us;
  uint64_t gone_us;
} record_t;

struct software_versions
{
  GArray *records;
};

software_versions_t *
software_versions_new (void)
{
  software_versions_t *versions = g_new0 (software_versions_t, 1);

  versions->records = g_array_new (FALSE, FALSE, sizeof (record_t));
  return versions;
}

void
software_versions_free (software_versions_t *versions)
{
  g_array_free (versions->records, TRUE);
  g_free (versions);
}

static record_t *
record_at (const software_versions_t *versions, guint index)
{
  return &g_array_index (versions->records, record_t, index);
}

static record_t *
find (const software_versions_t *versions, uint64_t version)
{
  for (guint i = 0; i < versions->records->len; i++)
    if (record_at (versions, i)->version == version)
      return record_at (versions, i);
  return NULL;
}

static bool
is_recent (const record_t *record, uint64_t now_us)
{
  return record->engines > 0 || now_us < record->gone_us + SOFTWARE_VERSIONS_LIFETIME_US;
}

static void
forget_old (software_versions_t *versions, uint64_t now_us)
{
  for (guint i = versions->records->len; i > 0; i--)
    if (!is_recent (record_at (versions, i - 1), now_us))
      g_array_remove_index_fast (versions->records, i - 1);
}

void
software_versions_add (software_versions_t *versions,
                       uint64_t now_us,
                       uint64_t version,
                       bool is_first_list)
{
  record_t *known = find (versions, version);

  if (known)
    {
      known->engines++;
      return;
    }
  forget_old (versions, now_us);
  g_array_append_val (
      versions->records,
      ((record_t){ .version = version, .engines = 1, .appeared_us = is_first_list ? 0 : now_us }));
}

void
software_versions_remove (software_versions_t *versions, uint64_t now_us, uint64_t version)
{
  record_t *record = find (versions, version);

  g_assert (record && record->engines > 0);
  record->engines--;
  record->gone_us = now_us;
}

void
software_versions_end_first_list (software_versions_t *versions, uint64_t now_us)
{
  uint32_t most = 0;

  for (guint i = 0; i < versions->records->len; i++)
    most = MAX (most, record_at (versions, i)->engines);
  for (guint i = 0; i < versions->records->len; i++)
    if (record_at (versions, i)->engines < most)
      record_at (versions, i)->appeared_us = now_us;
}

bool
software_versions_is_oldest (const software_versions_t *versions, uint64_t version)
{
  const record_t *record = find (versions, version);

  if (!record || record->engines == 0)
    return false;
  for (guint i = 0; i < versions->records->len; i++)
    if (record_at (versions, i)->engines > 0 &&
        record_at (versions, i)->appeared_us < record->appeared_us)
      return false;
  return true;
}

bool
software_versions_has (const software_versions_t *versions, uint64_t version)
{
  const record_t *record = find (versions, version);

  return record && record->engines > 0;
}

uint32_t
software_versions_count (const software_versions_t *versions, uint64_t now_us)
{
  uint32_t count = 0;

  for (guint i = 0; i < versions->records->len; i++)
    count += is_recent (record_at (versions, i), now_us) ? 1 : 0;
  return count;
}

uint64_t
software_versions_sole (const software_versions_t *versions, uint64_t now_us)
{
  if (software_versions_count (versions, now_us) != 1)
    return 0;
  for (guint i = 0; i < versions->records->len; i++)
    if (is_recent (record_at (versions, i), now_us))
      return record_at (versions, i)->version;
  return 0;
}
