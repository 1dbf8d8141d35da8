#include "platform.h"

#include <string.h>

#define LIMIT_WAITERS 16384
#define LIMIT_WAIT_MS (60 * 1000)
#define LIMIT_READ_RECORDS 10000
#define LIMIT_STREAM_NAME_BYTES 128
#define RATE_BURST_MS 1000

/** struct spl_pending - a log call that is answered later: a slow one, or a read that waits */
typedef struct
{
  spl_t *platform;
  sht_call_t *call; /* NULL when its caller has gone */
  struct event *timer;
  GList *waiting; /* its place in platform.waiters, or NULL */
  bool append;
  bool effect; /* still to take effect */
  char *stream;
  GString *data;
  uint64_t offset;
  uint64_t from;
  uint32_t max_records;
} spl_pending_t;

static bool append_now (spl_t *platform, spl_pending_t *pending);

static struct timeval
time_of (uint64_t us)
{
  struct timeval time = { (time_t)(us / G_USEC_PER_SEC), (suseconds_t)(us % G_USEC_PER_SEC) };
  return time;
}

static void
pending_free (spl_pending_t *pending)
{
  if (pending->waiting != NULL)
    g_queue_delete_link (&pending->platform->waiters, pending->waiting);
  if (pending->timer != NULL)
    event_free (pending->timer);
  g_free (pending->stream);
  g_string_free (pending->data, TRUE);
  g_free (pending);
}

static void
pending_gone (void *context)
{
  spl_pending_t *pending = context;
  pending->call = NULL;
  if (!pending->effect)
    pending_free (pending);
}

static spl_pending_t *
pending_new (spl_t *platform, sht_call_t *call)
{
  const char *stream = sht_query (call, "stream");
  if (stream == NULL || *stream == '\0' || strlen (stream) > LIMIT_STREAM_NAME_BYTES)
    {
      spl_answer_error (call, 400, "no stream");
      return NULL;
    }
  spl_pending_t *pending = g_new0 (spl_pending_t, 1);
  pending->platform = platform;
  pending->call = call;
  pending->stream = g_strdup (stream);
  pending->data = g_string_new (NULL);
  sht_on_gone (call, pending_gone, pending);
  return pending;
}

static void
pending_answer (spl_pending_t *pending)
{
  spl_t *platform = pending->platform;
  json_t *json;
  if (pending->append)
    json = json_pack ("{s:I}", "offset", (json_int_t)pending->offset);
  else
    json = plg_read (platform->log, pending->stream, pending->from, pending->max_records);
  if (pending->call != NULL)
    sht_reply (pending->call, 200, json);
  else
    json_decref (json);
  pending_free (pending);
}

static void
pending_cut (spl_pending_t *pending)
{
  sht_cut (pending->call);
  pending_free (pending);
}

static void
pending_due (evutil_socket_t fd, short what, void *arg)
{
  spl_pending_t *pending = arg;
  (void)fd;
  (void)what;
  if (!pending->effect || append_now (pending->platform, pending))
    pending_answer (pending);
  else if (pending->call != NULL)
    pending_cut (pending);
  else
    pending_free (pending);
}

static void
pending_later (spl_pending_t *pending, uint64_t wait_us)
{
  struct timeval wait = time_of (wait_us);
  pending->timer = evtimer_new (pending->platform->base, pending_due, pending);
  event_add (pending->timer, &wait);
}

static void
wake_readers (spl_t *platform, const char *stream)
{
  uint64_t end = plg_end (platform->log, stream);
  GList *next;
  for (GList *item = platform->waiters.head; item != NULL; item = next)
    {
      spl_pending_t *waiter = item->data;
      next = item->next;
      if (strcmp (waiter->stream, stream) == 0 && waiter->from < end)
        pending_answer (waiter);
    }
}

static bool
append_now (spl_t *platform, spl_pending_t *pending)
{
  pending->effect = false;
  if (!plg_append (platform->log, pending->stream, pending->data->str, pending->data->len,
                   &pending->offset))
    return false;
  platform->appends++;
  wake_readers (platform, pending->stream);
  return true;
}

/* The state that applies to this call; a counted fault ends after its last call. */
static spl_log_state_t
take_state (spl_t *platform, const spl_pending_t *pending)
{
  spl_log_state_t state = platform->log_state;
  bool appends_only = state >= SPL_LOSE_ANSWERS;
  bool other_stream =
      platform->fault_stream != NULL && strcmp (platform->fault_stream, pending->stream) != 0;
  if (other_stream || (appends_only && !pending->append))
    return SPL_UP;
  if (platform->fault_count > 0 && --platform->fault_count == 0)
    platform->log_state = SPL_UP;
  return state;
}

static bool
over_rate (spl_t *platform)
{
  if (platform->options.appends_s == 0)
    return false;
  int64_t cost_us = (int64_t)(G_USEC_PER_SEC / platform->options.appends_s);
  uint64_t now = spl_now_us ();
  platform->append_credit_us += (int64_t)(now - platform->credited_us);
  platform->credited_us = now;
  platform->append_credit_us = MIN (platform->append_credit_us, RATE_BURST_MS * 1000);
  if (platform->append_credit_us < cost_us)
    return true;
  platform->append_credit_us -= cost_us;
  return false;
}

static void
refuse_append (spl_pending_t *pending, int status, const char *message)
{
  sht_call_t *call = pending->call;
  pending->platform->refused++;
  pending_free (pending);
  sht_add_header (call, "X-Log-Effect", "none");
  spl_answer_error (call, status, message);
}

void
spl_log_append (spl_t *platform, sht_call_t *call)
{
  spl_pending_t *pending = pending_new (platform, call);
  if (pending == NULL)
    return;
  size_t data_bytes;
  const char *data = sht_body (call, &data_bytes);
  g_string_append_len (pending->data, data, (gssize)data_bytes);
  pending->append = true;
  spl_log_state_t state = take_state (platform, pending);
  if (!g_utf8_validate_len (data, data_bytes, NULL))
    refuse_append (pending, 400, "a record is text in UTF-8");
  else if (state == SPL_DOWN || state == SPL_LOSE_APPENDS)
    pending_cut (pending);
  else if (state == SPL_REFUSE || over_rate (platform))
    refuse_append (pending, 503, "too many appends");
  else if (state == SPL_SLOW_EFFECT)
    {
      pending->effect = true;
      pending_later (pending, platform->slow_us);
    }
  else if (!append_now (platform, pending))
    refuse_append (pending, 503, "the log is full");
  else if (state == SPL_LOSE_ANSWERS)
    pending_cut (pending);
  else if (state == SPL_SLOW)
    pending_later (pending, platform->slow_us);
  else
    pending_answer (pending);
}

void
spl_log_read (spl_t *platform, sht_call_t *call)
{
  spl_pending_t *pending = pending_new (platform, call);
  if (pending == NULL)
    return;
  uint64_t wait_ms = MIN (sht_query_u64 (call, "wait_ms", 0), LIMIT_WAIT_MS);
  pending->from = sht_query_u64 (call, "from", 0);
  pending->max_records = (uint32_t)MIN (sht_query_u64 (call, "max", 100), LIMIT_READ_RECORDS);
  platform->reads++;
  spl_log_state_t state = take_state (platform, pending);
  if (state == SPL_DOWN)
    pending_cut (pending);
  else if (state == SPL_SLOW || state == SPL_SLOW_EFFECT)
    pending_later (pending, platform->slow_us);
  else if (wait_ms == 0 || pending->from < plg_end (platform->log, pending->stream) ||
           g_queue_get_length (&platform->waiters) >= LIMIT_WAITERS)
    pending_answer (pending);
  else
    {
      g_queue_push_tail (&platform->waiters, pending);
      pending->waiting = platform->waiters.tail;
      pending_later (pending, wait_ms * 1000);
    }
}

void
spl_cut_waiters (spl_t *platform)
{
  GList *next;
  for (GList *item = platform->waiters.head; item != NULL; item = next)
    {
      spl_pending_t *waiter = item->data;
      next = item->next;
      if (platform->fault_stream == NULL || strcmp (platform->fault_stream, waiter->stream) == 0)
        pending_cut (waiter);
    }
}
