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
  platform_append_done_t appended;
  platform_read_done_t read;
  platform_hosts_done_t hosts;
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
get_stream (const fake_platform_t *fake, const char *name)
{
  GPtrArray *records = g_hash_table_lookup (fake->streams, name);
  if (records == NULL)
    {
      records = g_ptr_array_new_with_free_func (g_free);
      g_hash_table_insert (fake->streams, g_strdup (name), records);
    }
  return records;
}

static void
fake_append (platform_t *platform,
             const char *stream,
             const char *data,
             size_t data_bytes,
             platform_append_done_t done,
             void *context)
{
  fake_platform_t *fake = (fake_platform_t *)platform;
  call_t *call = g_new0 (call_t, 1);
  call->kind = CALL_APPEND;
  call->stream = g_strdup (stream);
  call->data = g_strndup (data, data_bytes);
  call->appended = done;
  call->context = context;
  g_queue_push_tail (&fake->calls, call);
  fake->appends++;
}

static void
fake_read (platform_t *platform,
           const char *stream,
           uint64_t from_offset,
           uint32_t max_records,
           uint32_t wait_ms,
           platform_read_done_t done,
           void *context)
{
  fake_platform_t *fake = (fake_platform_t *)platform;
  call_t *call = g_new0 (call_t, 1);
  call->kind = CALL_READ;
  call->stream = g_strdup (stream);
  call->from_offset = from_offset;
  call->max_records = max_records;
  call->until_ms = fake->now_ms + wait_ms;
  call->read = done;
  call->context = context;
  g_queue_push_tail (&fake->calls, call);
  fake->reads++;
}

static void
fake_hosts (platform_t *platform, uint64_t revision, platform_hosts_done_t done, void *context)
{
  fake_platform_t *fake = (fake_platform_t *)platform;
  (void)revision;
  call_t *call = g_new0 (call_t, 1);
  call->kind = CALL_HOSTS;
  call->hosts = done;
  call->context = context;
  g_queue_push_tail (&fake->calls, call);
  fake->lists++;
}

static void
fake_free (platform_t *platform)
{
  fake_platform_t *fake = (fake_platform_t *)platform;
  g_queue_clear_full (&fake->calls, call_free);
  fake->freed = true;
}

static void
answer_append (fake_platform_t *fake, const call_t *call)
{
  if (fake->append_down)
    {
      call->appended (PLATFORM_UNKNOWN, (position_t){ 0 }, call->context);
      return;
    }
  if (fake->append_refused)
    {
      call->appended (PLATFORM_REFUSED, (position_t){ 0 }, call->context);
      return;
    }
  GPtrArray *records = get_stream (fake, call->stream);
  position_t position = { fake->era, records->len };
  g_ptr_array_add (records, g_strdup (call->data));
  call->appended (fake->append_lost ? PLATFORM_UNKNOWN : PLATFORM_OK, position, call->context);
}

static void
answer_read (const fake_platform_t *fake, const call_t *call)
{
  platform_read_t read = { .outcome = PLATFORM_UNKNOWN };
  if (fake->read_down)
    {
      call->read (&read, call->context);
      return;
    }
  const GPtrArray *stream = get_stream (fake, call->stream);
  read.outcome = PLATFORM_OK;
  read.first.era = read.next.era = read.end.era = fake->era;
  read.first.offset = MIN (fake->first_offset, stream->len);
  read.end.offset = stream->len;
  uint64_t from = MAX (call->from_offset, read.first.offset);
  uint64_t count = from < stream->len ? MIN (stream->len - from, call->max_records) : 0;
  platform_record_t *records = g_new0 (platform_record_t, count + 1);
  for (uint64_t i = 0; i < count; i++)
    {
      records[i].position = (position_t){ fake->era, from + i };
      records[i].data = g_ptr_array_index (stream, from + i);
      records[i].data_bytes = strlen (records[i].data);
    }
  read.records = records;
  read.record_count = (uint32_t)count;
  read.next.offset = from + count;
  call->read (&read, call->context);
  g_free (records);
}

static void
answer_hosts (const fake_platform_t *fake, const call_t *call)
{
  platform_hosts_t hosts = { .outcome = PLATFORM_UNKNOWN };
  if (!fake->list_down)
    {
      hosts.outcome = PLATFORM_OK;
      hosts.full = true;
      hosts.revision = fake->revision;
      hosts.hosts = fake->hosts;
      hosts.host_count = fake->host_count;
    }
  call->hosts (&hosts, call->context);
}

static void
answer_call (fake_platform_t *fake, const call_t *call)
{
  switch (call->kind)
    {
    case CALL_APPEND:
      answer_append (fake, call);
      break;
    case CALL_READ:
      answer_read (fake, call);
      break;
    case CALL_HOSTS:
      answer_hosts (fake, call);
      break;
    }
}

static bool
must_wait (const fake_platform_t *fake, const call_t *call)
{
  if (call->kind == CALL_READ && fake->read_stuck)
    return true;
  if (call->kind != CALL_READ || call->until_ms <= fake->now_ms || fake->read_down)
    return false;
  return call->from_offset >= get_stream (fake, call->stream)->len;
}

void
fake_platform_init (fake_platform_t *fake)
{
  memset (fake, 0, sizeof *fake);
  fake->platform.append = fake_append;
  fake->platform.read = fake_read;
  fake->platform.hosts = fake_hosts;
  fake->platform.free = fake_free;
  fake->streams =
      g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_ptr_array_unref);
  g_queue_init (&fake->calls);
}

void
fake_platform_clear (fake_platform_t *fake)
{
  g_queue_clear_full (&fake->calls, call_free);
  g_hash_table_destroy (fake->streams);
}

void
fake_platform_append (fake_platform_t *fake, const char *stream, const char *record)
{
  g_ptr_array_add (get_stream (fake, stream), g_strdup (record));
}

uint32_t
fake_platform_record_count (const fake_platform_t *fake, const char *stream)
{
  return get_stream (fake, stream)->len;
}

const char *
fake_platform_record (const fake_platform_t *fake, const char *stream, uint32_t offset)
{
  return g_ptr_array_index (get_stream (fake, stream), offset);
}

void
fake_platform_set_host (fake_platform_t *fake,
                        const char *name,
                        bool router,
                        const char *ip,
                        uint16_t port,
                        membership_state_t state)
{
  uint32_t i = 0;
  while (i < fake->host_count && strcmp (fake->hosts[i].name, name) != 0)
    i++;
  g_assert (i < G_N_ELEMENTS (fake->hosts));
  fake->host_count = MAX (fake->host_count, i + 1);
  membership_list_entry_t *host = &fake->hosts[i];
  g_strlcpy (host->name, name, sizeof host->name);
  g_strlcpy (host->data_center, "hall", sizeof host->data_center);
  g_strlcpy (host->region, "town", sizeof host->region);
  g_strlcpy (host->exchange.ip, ip, sizeof host->exchange.ip);
  host->exchange.port = port;
  host->http = host->exchange;
  host->is_router = router;
  host->state = state;
  fake->revision++;
}

uint32_t
fake_platform_answer_calls (fake_platform_t *fake)
{
  uint32_t count = 0;
  for (guint left = fake->calls.length; left > 0; left--)
    {
      call_t *call = g_queue_pop_head (&fake->calls);
      if (must_wait (fake, call))
        {
          g_queue_push_tail (&fake->calls, call);
          continue;
        }
      answer_call (fake, call);
      call_free (call);
      count++;
    }
  return count;
}
