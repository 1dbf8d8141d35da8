#include "fake_platform.h"

#include <string.h>

typedef enum
{
  CALL_APPEND,
  CALL_READ,
  CALL_HOSTS
} call_kind_t;

typedef struct
{
  call_kind_t kind;
  char *stream;
  char *data;
  uint64_t from_offset;
  uint32_t max_records;
  uint64_t until_ms;
  plt_appended_t appended;
  plt_read_done_t read;
  plt_hosts_done_t hosts;
  void *context;
} call_t;

static void
call_free (gpointer data)
{
  call_t *call = data;
  g_free (call->stream);
  g_free (call->data);
  g_free (call);
}

static GPtrArray *
stream_of (const fkp_t *fkp, const char *name)
{
  GPtrArray *records = g_hash_table_lookup (fkp->streams, name);
  if (records == NULL)
    {
      records = g_ptr_array_new_with_free_func (g_free);
      g_hash_table_insert (fkp->streams, g_strdup (name), records);
    }
  return records;
}

static void
fake_append (plt_t *plt,
             const char *stream,
             const char *data,
             size_t data_bytes,
             plt_appended_t done,
             void *context)
{
  fkp_t *fkp = (fkp_t *)plt;
  call_t *call = g_new0 (call_t, 1);
  call->kind = CALL_APPEND;
  call->stream = g_strdup (stream);
  call->data = g_strndup (data, data_bytes);
  call->appended = done;
  call->context = context;
  g_queue_push_tail (&fkp->calls, call);
  fkp->appends++;
}

static void
fake_read (plt_t *plt,
           const char *stream,
           uint64_t from_offset,
           uint32_t max_records,
           uint32_t wait_ms,
           plt_read_done_t done,
           void *context)
{
  fkp_t *fkp = (fkp_t *)plt;
  call_t *call = g_new0 (call_t, 1);
  call->kind = CALL_READ;
  call->stream = g_strdup (stream);
  call->from_offset = from_offset;
  call->max_records = max_records;
  call->until_ms = fkp->now_ms + wait_ms;
  call->read = done;
  call->context = context;
  g_queue_push_tail (&fkp->calls, call);
  fkp->reads++;
}

static void
fake_hosts (plt_t *plt, uint64_t revision, plt_hosts_done_t done, void *context)
{
  fkp_t *fkp = (fkp_t *)plt;
  (void)revision;
  call_t *call = g_new0 (call_t, 1);
  call->kind = CALL_HOSTS;
  call->hosts = done;
  call->context = context;
  g_queue_push_tail (&fkp->calls, call);
  fkp->lists++;
}

static void
fake_free (plt_t *plt)
{
  fkp_t *fkp = (fkp_t *)plt;
  g_queue_clear_full (&fkp->calls, call_free);
  fkp->freed = true;
}

static void
answer_append (fkp_t *fkp, const call_t *call)
{
  if (fkp->append_down)
    {
      call->appended (PLT_UNKNOWN, 0, call->context);
      return;
    }
  if (fkp->append_refused)
    {
      call->appended (PLT_REFUSED, 0, call->context);
      return;
    }
  GPtrArray *records = stream_of (fkp, call->stream);
  uint64_t offset = records->len;
  g_ptr_array_add (records, g_strdup (call->data));
  call->appended (fkp->append_lost ? PLT_UNKNOWN : PLT_OK, offset, call->context);
}

static void
answer_read (const fkp_t *fkp, const call_t *call)
{
  plt_read_t read = { .outcome = PLT_UNKNOWN };
  if (fkp->read_down)
    {
      call->read (&read, call->context);
      return;
    }
  const GPtrArray *stream = stream_of (fkp, call->stream);
  read.outcome = PLT_OK;
  read.first_offset = MIN (fkp->first_offset, stream->len);
  read.end_offset = stream->len;
  uint64_t from = MAX (call->from_offset, read.first_offset);
  uint64_t count = from < stream->len ? MIN (stream->len - from, call->max_records) : 0;
  plt_record_t *records = g_new0 (plt_record_t, count + 1);
  for (uint64_t i = 0; i < count; i++)
    {
      records[i].offset = from + i;
      records[i].data = g_ptr_array_index (stream, from + i);
      records[i].data_bytes = strlen (records[i].data);
    }
  read.records = records;
  read.record_count = (uint32_t)count;
  read.next_offset = from + count;
  call->read (&read, call->context);
  g_free (records);
}

static void
answer_hosts (const fkp_t *fkp, const call_t *call)
{
  plt_hosts_t hosts = { .outcome = PLT_UNKNOWN };
  if (!fkp->list_down)
    {
      hosts.outcome = PLT_OK;
      hosts.full = true;
      hosts.revision = fkp->revision;
      hosts.hosts = fkp->hosts;
      hosts.host_count = fkp->host_count;
    }
  call->hosts (&hosts, call->context);
}

static void
answer (fkp_t *fkp, const call_t *call)
{
  switch (call->kind)
    {
    case CALL_APPEND:
      answer_append (fkp, call);
      break;
    case CALL_READ:
      answer_read (fkp, call);
      break;
    case CALL_HOSTS:
      answer_hosts (fkp, call);
      break;
    }
}

static bool
still_waits (const fkp_t *fkp, const call_t *call)
{
  if (call->kind == CALL_READ && fkp->read_stuck)
    return true;
  if (call->kind != CALL_READ || call->until_ms <= fkp->now_ms || fkp->read_down)
    return false;
  return call->from_offset >= stream_of (fkp, call->stream)->len;
}

void
fkp_init (fkp_t *fkp)
{
  memset (fkp, 0, sizeof *fkp);
  fkp->plt.append = fake_append;
  fkp->plt.read = fake_read;
  fkp->plt.hosts = fake_hosts;
  fkp->plt.free = fake_free;
  fkp->streams =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  g_queue_init (&fkp->calls);
}

void
fkp_clear (fkp_t *fkp)
{
  g_queue_clear_full (&fkp->calls, call_free);
  g_hash_table_destroy (fkp->streams);
}

void
fkp_put (fkp_t *fkp, const char *stream, const char *record)
{
  g_ptr_array_add (stream_of (fkp, stream), g_strdup (record));
}

uint32_t
fkp_length (const fkp_t *fkp, const char *stream)
{
  return stream_of (fkp, stream)->len;
}

const char *
fkp_record (const fkp_t *fkp, const char *stream, uint32_t offset)
{
  return g_ptr_array_index (stream_of (fkp, stream), offset);
}

void
fkp_host (
    fkp_t *fkp, const char *name, bool router, const char *ip, uint16_t port, mem_state_t state)
{
  uint32_t i = 0;
  while (i < fkp->host_count && strcmp (fkp->hosts[i].name, name) != 0)
    i++;
  g_assert (i < G_N_ELEMENTS (fkp->hosts));
  fkp->host_count = MAX (fkp->host_count, i + 1);
  mem_listed_t *host = &fkp->hosts[i];
  g_strlcpy (host->name, name, sizeof host->name);
  g_strlcpy (host->data_center, "hall", sizeof host->data_center);
  g_strlcpy (host->region, "town", sizeof host->region);
  g_strlcpy (host->exchange.ip, ip, sizeof host->exchange.ip);
  host->exchange.port = port;
  host->http = host->exchange;
  host->router = router;
  host->state = state;
  fkp->revision++;
}

uint32_t
fkp_answer (fkp_t *fkp)
{
  uint32_t count = 0;
  for (guint left = fkp->calls.length; left > 0; left--)
    {
      call_t *call = g_queue_pop_head (&fkp->calls);
      if (still_waits (fkp, call))
        {
          g_queue_push_tail (&fkp->calls, call);
          continue;
        }
      answer (fkp, call);
      call_free (call);
      count++;
    }
  return count;
}
