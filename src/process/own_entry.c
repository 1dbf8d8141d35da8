#include "process/own_entry.h"

#include "base/log.h"
#include "request/policy/store/restoration.h"

#include <string.h>

#define RETRY_US (UINT64_C (1000) * 1000)

/**
 * struct own_entry - the entry
 * @was_checked: the registry was looked through for it
 * @is_new: it had no entry of this name then
 * @written: the registry has it, in the era of its last listing
 * @written_at: position from which on another record of its key replaces it
 * @retry_us: earliest time of the next attempt to write it
 * @listed_at_write: end of the registry's last listing at the last write; a response that states no
 *   era is of that one
 */
struct own_entry
{
  own_entry_options_t options;
  char *value;
  GRand *rand;
  bool was_checked;
  bool is_new;
  bool written;
  position_t written_at;
  uint64_t retry_us;
  position_t listed_at_write;
  counter_t *write_count;
};

own_entry_t *
own_entry_new (const own_entry_options_t *options)
{
  own_entry_t *own_entry = g_new0 (own_entry_t, 1);

  own_entry->options = *options;
  own_entry->value = g_strdup (options->value);
  own_entry->rand = g_rand_new_with_seed ((guint32)options->seed);
  own_entry->write_count =
      counter_get_labelled (options->counters, "medlarplank_store_writes_total", "stream",
                            PLATFORM_STREAM_ROUTERS, "Records written into the store");
  return own_entry;
}

void
own_entry_free (own_entry_t *own_entry)
{
  if (!own_entry)
    return;
  g_rand_free (own_entry->rand);
  g_free (own_entry->value);
  g_free (own_entry);
}

static uint64_t
now_us (const own_entry_t *own_entry)
{
  return clock_now_us (own_entry->options.clock);
}

/* An entry that was written in an era before is among the records that the store may have lost. */
static void
on_put (platform_outcome_t outcome, position_t position, void *context)
{
  own_entry_t *own_entry = context;
  position_t at = position_from (own_entry->listed_at_write, position.era, position.offset);

  own_entry->written =
      outcome == PLATFORM_OK && at.era >= keyed_view_listed (own_entry->options.view).era;
  own_entry->written_at = at;
  stream_follower_note_era (own_entry->options.follower, at.era);
  log_event (LOG_LEVEL_NOTICE, "own_entry", "outcome",
             outcome == PLATFORM_OK ? "written" : "not_known", "offset", LOG_U64 (at.offset), "era",
             LOG_U64 (at.era), NULL);
}

static void
write_entry (own_entry_t *own_entry)
{
  const own_entry_options_t *options = &own_entry->options;

  own_entry->listed_at_write = keyed_view_listed (options->view);
  counter_add (own_entry->write_count, 1);
  options->platform->put (options->platform, PLATFORM_STREAM_ROUTERS, options->name,
                          own_entry->value, strlen (own_entry->value), on_put, own_entry);
}

static void
check_first (own_entry_t *own_entry)
{
  const own_entry_options_t *options = &own_entry->options;
  position_t position;
  size_t bytes;

  if (own_entry->was_checked)
    return;
  own_entry->was_checked = true;
  own_entry->is_new = !keyed_view_get (options->view, options->name, &bytes, &position);
}

static bool
has_entry (const own_entry_t *own_entry)
{
  const own_entry_options_t *options = &own_entry->options;

  return keyed_view_has_in_era (options->view, options->name, own_entry->value,
                                strlen (own_entry->value));
}

/* Whether another writer has replaced or deleted the entry. */
static bool
is_replaced (const own_entry_t *own_entry)
{
  const own_entry_options_t *options = &own_entry->options;

  return own_entry->written && own_entry->written_at.era == keyed_view_listed (options->view).era &&
         position_is_before (own_entry->written_at, stream_follower_next (options->follower)) &&
         !has_entry (own_entry);
}

/* Only the newest record of a key counts, so writing the entry again after a lost answer is
 * harmless. */
void
own_entry_write_if_due (own_entry_t *own_entry)
{
  const own_entry_options_t *options = &own_entry->options;

  if (is_replaced (own_entry))
    {
      log_event (LOG_LEVEL_WARNING, "own_entry", "outcome", "replaced", NULL);
      own_entry_check_again (own_entry);
    }
  if (own_entry->written || now_us (own_entry) < own_entry->retry_us ||
      !stream_follower_has_listed (options->follower))
    return;
  check_first (own_entry);
  own_entry->retry_us = now_us (own_entry) + RETRY_US;
  if (has_entry (own_entry))
    {
      own_entry->written = true;
      own_entry->written_at = keyed_view_listed (options->view);
    }
  else
    write_entry (own_entry);
}

bool
own_entry_is_new (const own_entry_t *own_entry)
{
  return own_entry->is_new;
}

void
own_entry_check_again (own_entry_t *own_entry)
{
  own_entry->written = false;
  own_entry->retry_us =
      now_us (own_entry) +
      (uint64_t)g_rand_int_range (own_entry->rand, 0, (gint32)RESTORATION_REWRITE_SPREAD_US);
}
