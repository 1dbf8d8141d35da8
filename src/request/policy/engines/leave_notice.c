#include "request/policy/engines/leave_notice.h"

#include <glib.h>

/**
 * struct notice - a host to be told
 * @due_us: time of the next call
 * @retry_us: time from the next call to the one after it
 */
typedef struct
{
  uint64_t host_hash;
  uint64_t due_us;
  uint64_t retry_us;
} notice_t;

struct leave_notices
{
  GArray *notices; /* notice_t */
};

static notice_t *
notice_at (const leave_notices_t *leave_notices, guint index)
{
  return &g_array_index (leave_notices->notices, notice_t, index);
}

/* Return: index of the host, or the number of notices when there is none for it */
static guint
find (const leave_notices_t *leave_notices, uint64_t host_hash)
{
  guint i = 0;
  while (i < leave_notices->notices->len && notice_at (leave_notices, i)->host_hash != host_hash)
    i++;
  return i;
}

static notice_t *
find_earliest (const leave_notices_t *leave_notices)
{
  notice_t *earliest = NULL;
  for (guint i = 0; i < leave_notices->notices->len; i++)
    {
      if (earliest == NULL || notice_at (leave_notices, i)->due_us < earliest->due_us)
        earliest = notice_at (leave_notices, i);
    }
  return earliest;
}

leave_notices_t *
leave_notice_new (void)
{
  leave_notices_t *leave_notices = g_new (leave_notices_t, 1);
  leave_notices->notices = g_array_new (FALSE, FALSE, sizeof (notice_t));
  return leave_notices;
}

void
leave_notice_free (leave_notices_t *leave_notices)
{
  g_array_free (leave_notices->notices, TRUE);
  g_free (leave_notices);
}

void
leave_notice_add (leave_notices_t *leave_notices, uint64_t now_us, uint64_t host_hash)
{
  notice_t notice = { host_hash, now_us, LEAVE_NOTICE_RETRY_MIN_US };
  if (find (leave_notices, host_hash) == leave_notices->notices->len)
    g_array_append_val (leave_notices->notices, notice);
}

void
leave_notice_remove (leave_notices_t *leave_notices, uint64_t host_hash)
{
  guint index = find (leave_notices, host_hash);
  if (index < leave_notices->notices->len)
    g_array_remove_index_fast (leave_notices->notices, index);
}

bool
leave_notice_next (leave_notices_t *leave_notices, uint64_t now_us, uint64_t *host_hash)
{
  notice_t *notice = find_earliest (leave_notices);
  if (notice == NULL || notice->due_us > now_us)
    return false;
  *host_hash = notice->host_hash;
  notice->due_us = now_us + notice->retry_us;
  notice->retry_us = MIN (notice->retry_us * 2, LEAVE_NOTICE_RETRY_MAX_US);
  return true;
}

uint32_t
leave_notice_count (const leave_notices_t *leave_notices)
{
  return leave_notices->notices->len;
}
