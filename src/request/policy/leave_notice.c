#include "request/policy/leave_notice.h"

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

struct lvn
{
  GArray *notices; /* notice_t */
};

static notice_t *
notice_at (const lvn_t *lvn, guint index)
{
  return &g_array_index (lvn->notices, notice_t, index);
}

/* Return: index of the host, or the number of notices when there is none for it */
static guint
find (const lvn_t *lvn, uint64_t host_hash)
{
  guint i = 0;
  while (i < lvn->notices->len && notice_at (lvn, i)->host_hash != host_hash)
    i++;
  return i;
}

static notice_t *
find_earliest (const lvn_t *lvn)
{
  notice_t *earliest = NULL;
  for (guint i = 0; i < lvn->notices->len; i++)
    {
      if (earliest == NULL || notice_at (lvn, i)->due_us < earliest->due_us)
        earliest = notice_at (lvn, i);
    }
  return earliest;
}

lvn_t *
lvn_new (void)
{
  lvn_t *lvn = g_new (lvn_t, 1);
  lvn->notices = g_array_new (FALSE, FALSE, sizeof (notice_t));
  return lvn;
}

void
lvn_free (lvn_t *lvn)
{
  g_array_free (lvn->notices, TRUE);
  g_free (lvn);
}

void
lvn_add (lvn_t *lvn, uint64_t now_us, uint64_t host_hash)
{
  notice_t notice = { host_hash, now_us, LVN_FIRST_WAIT_US };
  if (find (lvn, host_hash) == lvn->notices->len)
    g_array_append_val (lvn->notices, notice);
}

void
lvn_remove (lvn_t *lvn, uint64_t host_hash)
{
  guint index = find (lvn, host_hash);
  if (index < lvn->notices->len)
    g_array_remove_index_fast (lvn->notices, index);
}

bool
lvn_next (lvn_t *lvn, uint64_t now_us, uint64_t *host_hash)
{
  notice_t *notice = find_earliest (lvn);
  if (notice == NULL || notice->due_us > now_us)
    return false;
  *host_hash = notice->host_hash;
  notice->due_us = now_us + notice->retry_us;
  notice->retry_us = MIN (notice->retry_us * 2, LVN_WAIT_MAX_US);
  return true;
}

uint32_t
lvn_count (const lvn_t *lvn)
{
  return lvn->notices->len;
}
