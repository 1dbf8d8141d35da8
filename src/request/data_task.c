#include "request/data_task_private.h"

#include "base/log.h"
#include "connection/socket.h"
#include "request/hop.h"

#include <string.h>

#define DRAIN_POLL_MS 20

static const struct timeval TICK_INTERVAL = { .tv_usec = PAUSE_CHECK_INTERVAL_MS * 1000 };
static const struct timeval DRAIN_POLL_INTERVAL = { .tv_usec = DRAIN_POLL_MS * 1000 };

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  data_task_is_stale (context);
}

static void
send_flag (data_task_t *data_task, message_kind_t kind, uint64_t at_us)
{
  message_flag_t *flag = message_new (kind);

  flag->on = true;
  flag->at_us = at_us;
  mailbox_send (data_task->options.daemon->to_control, &flag->head);
}

static void
on_drain_poll (evutil_socket_t fd, short what, void *context)
{
  data_task_t *data_task = context;

  (void)fd;
  (void)what;
  if (data_task_now_us (data_task) < data_task->linger_until_us)
    return;
  if (data_task->listening)
    {
      http_server_stop (data_task->http_server);
      data_task->listening = false;
    }
  if (data_task->drained || http_server_busy_count (data_task->http_server) > 0 ||
      data_task->options.in_flight (data_task->options.context) > 0)
    return;
  data_task->drained = true;
  event_del (data_task->drain_poll);
  send_flag (data_task, MESSAGE_DRAINED, data_task_now_us (data_task));
}

static void
start_drain (data_task_t *data_task)
{
  if (data_task->draining)
    return;
  data_task->draining = true;
  data_task->linger_until_us = data_task_now_us (data_task) + DATA_TASK_LINGER_MS * CLOCK_US_PER_MS;
  data_task->options.stopping (data_task->options.context);
  event_add (data_task->drain_poll, &DRAIN_POLL_INTERVAL);
}

static void
set_version (data_task_t *data_task, message_version_t *message)
{
  if (data_task->manifest != NULL)
    manifest_unref (data_task->manifest);
  data_task->manifest = manifest_ref (message->manifest);
  data_task->man_next = message->next;
}

static void
set_members (data_task_t *data_task, message_members_t *message)
{
  if (data_task->members != NULL)
    membership_snapshot_unref (data_task->members);
  data_task->members = membership_snapshot_ref (message->members);
}

static void
set_freshness (data_task_t *data_task, const message_flag_t *flag)
{
  if (flag->on)
    pause_mark_fresh (&data_task->pause, flag->at_us);
  else
    pause_mark_woken (&data_task->pause, flag->at_us);
}

/* The limits of a sidecar leave room for the headers that a router adds: a request that is just
 * within the limits of the router must not be rejected by the sidecar. */
static http_server_options_t
listener_options (data_task_t *data_task)
{
  const settings_t *settings = &data_task->options.daemon->settings;
  bool sidecar = settings->role == SETTINGS_ROLE_SIDECAR;

  return (http_server_options_t){
    .base = data_task->options.base,
    .counters = data_task->options.daemon->counters,
    .listen = settings->listen,
    .body_limit_bytes = settings->body_limit_bytes,
    .header_limit_bytes = settings->header_limit_bytes + (sidecar ? HOP_HEADERS_MAX_BYTES : 0),
    .header_limit_count = settings->header_limit_count + (sidecar ? HOP_HEADER_COUNT : 0),
    .connection_limit = settings->connection_limit,
    .file_limit = socket_file_limit (settings->file_limit),
    .idle_timeout_ms = settings->idle_timeout_ms,
    .held_limit_bytes = settings_held_bytes (settings),
    .answer_limit_bytes = settings_held_bytes (settings) / 2,
    .on_call = data_task_serve,
    .context = data_task
  };
}

data_task_t *
data_task_new (const data_task_options_t *options, GError **error)
{
  data_task_t *data_task = g_new0 (data_task_t, 1);
  http_server_options_t listen;

  data_task->options = *options;
  data_task->decisions = decision_ring_new (DECISION_RING_CAPACITY);
  pause_init (&data_task->pause, data_task_now_us (data_task),
              options->daemon->settings.exchange_interval_ms);
  listen = listener_options (data_task);
  data_task->http_server = http_server_new (&listen, error);
  if (data_task->http_server == NULL)
    {
      decision_ring_free (data_task->decisions);
      g_free (data_task);
      return NULL;
    }
  data_task->listening = true;
  data_task->control_bytes =
      counter_get (options->daemon->counters, "medlarplank_control_bytes_sent_total",
                   "Bytes of control traffic sent, with headers");
  data_task->tick = event_new (options->base, -1, EV_PERSIST, on_tick, data_task);
  data_task->drain_poll = event_new (options->base, -1, EV_PERSIST, on_drain_poll, data_task);
  event_add (data_task->tick, &TICK_INTERVAL);
  return data_task;
}

void
data_task_free (data_task_t *data_task)
{
  if (data_task == NULL)
    return;
  event_free (data_task->tick);
  event_free (data_task->drain_poll);
  http_server_free (data_task->http_server);
  if (data_task->manifest != NULL)
    manifest_unref (data_task->manifest);
  if (data_task->members != NULL)
    membership_snapshot_unref (data_task->members);
  decision_ring_free (data_task->decisions);
  g_free (data_task);
}

bool
data_task_handle_message (data_task_t *data_task, mailbox_message_t *message)
{
  switch ((message_kind_t)message->kind)
    {
    case MESSAGE_VERSION:
      set_version (data_task, (message_version_t *)message);
      break;
    case MESSAGE_MEMBERS:
      set_members (data_task, (message_members_t *)message);
      break;
    case MESSAGE_FRESHNESS:
      set_freshness (data_task, (message_flag_t *)message);
      break;
    case MESSAGE_DRAIN:
      start_drain (data_task);
      return true;
    default:
      return false;
    }
  data_task->options.changed (data_task->options.context);
  return true;
}

manifest_t *
data_task_manifest (const data_task_t *data_task)
{
  return data_task->manifest;
}

membership_snapshot_t *
data_task_members (const data_task_t *data_task)
{
  return data_task->members;
}

decision_ring_t *
data_task_decisions (data_task_t *data_task)
{
  return data_task->decisions;
}

uint64_t
data_task_now_us (const data_task_t *data_task)
{
  return clock_now_us (&data_task->options.daemon->clock);
}

bool
data_task_is_stale (data_task_t *data_task)
{
  if (pause_check (&data_task->pause, data_task_now_us (data_task)))
    {
      log_event (LOG_LEVEL_WARNING, "woke", "task", "data", NULL);
      send_flag (data_task, MESSAGE_PAUSE_DETECTED, data_task->pause.woke_us);
      data_task->options.changed (data_task->options.context);
    }
  return pause_is_stale (&data_task->pause) ||
         pause_is_settling (&data_task->pause, data_task_now_us (data_task));
}

bool
data_task_is_draining (const data_task_t *data_task)
{
  return data_task->draining;
}

bool
data_task_takes_requests (const data_task_t *data_task)
{
  return data_task->listening;
}

void
data_task_count_control_bytes (data_task_t *data_task, uint32_t bytes)
{
  counter_add (data_task->control_bytes, bytes);
}

const manifest_account_t *
data_task_find_account (const data_task_t *data_task, http_server_call_t *call)
{
  static const char BEARER[] = "Bearer ";
  const char *authorization = http_server_request_header (call, "Authorization");
  const char *key = http_server_request_header (call, "X-Api-Key");

  if (authorization != NULL && g_ascii_strncasecmp (authorization, BEARER, strlen (BEARER)) == 0)
    key = authorization + strlen (BEARER);
  if (key == NULL || data_task->manifest == NULL)
    return NULL;
  return manifest_account_for_key (data_task->manifest, key);
}
