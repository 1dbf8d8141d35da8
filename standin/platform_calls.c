#include "platform.h"

#include <string.h>

#define MAX_WAITERS 16384
#define MAX_WAIT_MS (60 * 1000)
#define MAX_READ_RECORDS 10000
#define MAX_STREAM_NAME_BYTES 128
#define MAX_APPEND_CREDIT_MS 1000

/**
 * struct pending_call - a call of the log that may be answered later
 * @call: NULL once its caller has disconnected
 * @timer: delay of the answer or timeout of a waiting read, or NULL
 * @waiter_link: its link in platform.waiters, or NULL
 * @is_append: an append; otherwise a read
 * @is_unapplied: whether an append is still to be applied, after its delay
 * @data: the record of an append
 * @offset: offset of the appended record
 * @from: first offset of a read
 */
typedef struct
{
  standin_platform_t *platform;
  http_call_t *call;
  struct event *timer;
  GList *waiter_link;
  bool is_append;
  bool is_unapplied;
  char *stream;
  GString *data;
  uint64_t offset;
  uint64_t from;
  uint32_t max_records;
} pending_call_t;

static bool apply_append (standin_platform_t *platform, pending_call_t *pending);

static struct timeval
timeval_from_us (uint64_t us)
{
  struct timeval time = { (time_t)(us / G_USEC_PER_SEC), (suseconds_t)(us % G_USEC_PER_SEC) };
  return time;
}

static void
pending_free (pending_call_t *pending)
{
  if (pending->waiter_link != NULL)
    g_queue_delete_link (&pending->platform->waiters, pending->waiter_link);
  if (pending->timer != NULL)
    event_free (pending->timer);
  g_free (pending->stream);
  g_string_free (pending->data, TRUE);
  g_free (pending);
}

static void
on_caller_disconnect (void *context)
{
  pending_call_t *pending = context;
  pending->call = NULL;
  if (!pending->is_unapplied)
    pending_free (pending);
}

static pending_call_t *
pending_new (standin_platform_t *platform, http_call_t *call)
{
  const char *stream = http_call_query (call, "stream");
  if (stream == NULL || *stream == '\0' || strlen (stream) > MAX_STREAM_NAME_BYTES)
    {
      standin_platform_answer_error (call, 400, "no stream");
      return NULL;
    }
  pending_call_t *pending = g_new0 (pending_call_t, 1);
  pending->platform = platform;
  pending->call = call;
  pending->stream = g_strdup (stream);
  pending->data = g_string_new (NULL);
  http_call_on_disconnect (call, on_caller_disconnect, pending);
  return pending;
}

static void
pending_answer (pending_call_t *pending)
{
  standin_platform_t *platform = pending->platform;
  json_t *json;
  if (pending->is_append)
    json = json_pack ("{s:I}", "offset", (json_int_t)pending->offset);
  else
    json = record_log_read (platform->log, pending->stream, pending->from, pending->max_records);
  if (platform->era > 0)
    json_object_set_new (json, "era", json_integer ((json_int_t)platform->era));
  if (pending->call != NULL)
    http_call_reply_json (pending->call, 200, json);
  else
    json_decref (json);
  pending_free (pending);
}

static void
pending_abort (pending_call_t *pending)
{
  http_call_abort (pending->call);
  pending_free (pending);
}

static void
on_pending_timer (evutil_socket_t fd, short what, void *arg)
{
  pending_call_t *pending = arg;
  (void)fd;
  (void)what;
  if (!pending->is_unapplied || apply_append (pending->platform, pending))
    pending_answer (pending);
  else if (pending->call != NULL)
    pending_abort (pending);
  else
    pending_free (pending);
}

static void
pending_delay (pending_call_t *pending, uint64_t wait_us)
{
  struct timeval wait = timeval_from_us (wait_us);
  pending->timer = evtimer_new (pending->platform->base, on_pending_timer, pending);
  event_add (pending->timer, &wait);
}

static void
wake_readers (standin_platform_t *platform, const char *stream)
{
  uint64_t end = record_log_end_offset (platform->log, stream);
  GList *next;
  for (GList *item = platform->waiters.head; item != NULL; item = next)
    {
      pending_call_t *waiter = item->data;
      next = item->next;
      if (strcmp (waiter->stream, stream) == 0 && waiter->from < end)
        pending_answer (waiter);
    }
}

static bool
apply_append (standin_platform_t *platform, pending_call_t *pending)
{
  pending->is_unapplied = false;
  if (!record_log_append (platform->log, pending->stream, pending->data->str, pending->data->len,
                          &pending->offset))
    return false;
  platform->appends++;
  wake_readers (platform, pending->stream);
  return true;
}

/* Return: the state that applies to this call. A fault with a number of calls ends with the last.
 */
static standin_platform_log_state_t
consume_log_state (standin_platform_t *platform, const pending_call_t *pending)
{
  standin_platform_log_state_t state = platform->log_state;
  bool appends_only = state >= STANDIN_PLATFORM_LOG_LOSE_ANSWERS;
  bool is_other_stream =
      platform->fault_stream != NULL && strcmp (platform->fault_stream, pending->stream) != 0;
  if (is_other_stream || (appends_only && !pending->is_append))
    return STANDIN_PLATFORM_LOG_UP;
  if (platform->fault_calls_left > 0 && --platform->fault_calls_left == 0)
    platform->log_state = STANDIN_PLATFORM_LOG_UP;
  return state;
}

static bool
is_over_append_rate (standin_platform_t *platform)
{
  if (platform->options.max_appends_s == 0)
    return false;
  int64_t cost_us = (int64_t)(G_USEC_PER_SEC / platform->options.max_appends_s);
  uint64_t now_us = standin_platform_now_us ();
  platform->append_credit_us += (int64_t)(now_us - platform->credit_updated_us);
  platform->credit_updated_us = now_us;
  platform->append_credit_us = MIN (platform->append_credit_us, MAX_APPEND_CREDIT_MS * 1000);
  if (platform->append_credit_us < cost_us)
    return true;
  platform->append_credit_us -= cost_us;
  return false;
}

static void
refuse_append (pending_call_t *pending, int status, const char *message)
{
  http_call_t *call = pending->call;
  pending->platform->refused++;
  pending_free (pending);
  http_call_add_header (call, "X-Log-Effect", "none");
  standin_platform_answer_error (call, status, message);
}

void
standin_platform_handle_append (standin_platform_t *platform, http_call_t *call)
{
  pending_call_t *pending = pending_new (platform, call);
  if (pending == NULL)
    return;
  size_t data_bytes;
  const char *data = http_call_body (call, &data_bytes);
  g_string_append_len (pending->data, data, (gssize)data_bytes);
  pending->is_append = true;
  standin_platform_log_state_t state = consume_log_state (platform, pending);
  if (!g_utf8_validate_len (data, data_bytes, NULL))
    refuse_append (pending, 400, "a record is text in UTF-8");
  else if (state == STANDIN_PLATFORM_LOG_DOWN || state == STANDIN_PLATFORM_LOG_LOSE_APPENDS)
    pending_abort (pending);
  else if (state == STANDIN_PLATFORM_LOG_REFUSE || is_over_append_rate (platform))
    refuse_append (pending, 503, "too many appends");
  else if (state == STANDIN_PLATFORM_LOG_SLOW_EFFECT)
    {
      pending->is_unapplied = true;
      pending_delay (pending, platform->slow_delay_us);
    }
  else if (!apply_append (platform, pending))
    refuse_append (pending, 503, "the log is full");
  else if (state == STANDIN_PLATFORM_LOG_LOSE_ANSWERS)
    pending_abort (pending);
  else if (state == STANDIN_PLATFORM_LOG_SLOW)
    pending_delay (pending, platform->slow_delay_us);
  else
    pending_answer (pending);
}

void
standin_platform_handle_read (standin_platform_t *platform, http_call_t *call)
{
  pending_call_t *pending = pending_new (platform, call);
  if (pending == NULL)
    return;
  uint64_t wait_ms = MIN (http_call_query_u64 (call, "wait_ms", 0), MAX_WAIT_MS);
  pending->from = http_call_query_u64 (call, "from", 0);
  pending->max_records = (uint32_t)MIN (http_call_query_u64 (call, "max", 100), MAX_READ_RECORDS);
  platform->reads++;
  standin_platform_log_state_t state = consume_log_state (platform, pending);
  if (state == STANDIN_PLATFORM_LOG_DOWN)
    pending_abort (pending);
  else if (state == STANDIN_PLATFORM_LOG_SLOW || state == STANDIN_PLATFORM_LOG_SLOW_EFFECT)
    pending_delay (pending, platform->slow_delay_us);
  else if (wait_ms == 0 ||
           pending->from != record_log_end_offset (platform->log, pending->stream) ||
           g_queue_get_length (&platform->waiters) >= MAX_WAITERS)
    pending_answer (pending);
  else
    {
      g_queue_push_tail (&platform->waiters, pending);
      pending->waiter_link = platform->waiters.tail;
      pending_delay (pending, wait_ms * 1000);
    }
}

void
standin_platform_abort_waiters (standin_platform_t *platform)
{
  GList *next;
  for (GList *item = platform->waiters.head; item != NULL; item = next)
    {
      pending_call_t *waiter = item->data;
      next = item->next;
      if (platform->fault_stream == NULL || strcmp (platform->fault_stream, waiter->stream) == 0)
        pending_abort (waiter);
    }
}
