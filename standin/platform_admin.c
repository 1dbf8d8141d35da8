#include "keyed_store.h"
#include "platform.h"

#include <string.h>

static const char *const log_state_names[] = { "up",          "down",         "slow",
                                               "slow_effect", "lose_answers", "lose_appends",
                                               "refuse" };

static void
handle_read_hosts (standin_platform_t *platform, http_call_t *call)
{
  if (platform->list_down)
    {
      http_call_abort (call);
      return;
    }
  uint64_t since = http_call_query_u64 (call, "since", 0);
  http_call_reply_json (call, 200,
                        host_list_view (platform->hosts, standin_platform_now_us (),
                                        http_call_header (call, "X-Reader"), since));
}

static void
handle_set_hosts (standin_platform_t *platform, http_call_t *call)
{
  json_t *hosts = http_call_parse_json (call);
  bool replace_all = http_call_query_u64 (call, "upsert", 0) == 0;
  bool valid = host_list_set (platform->hosts, standin_platform_now_us (), hosts, replace_all);
  json_decref (hosts);
  if (valid)
    http_call_reply_json (call, 200, json_object ());
  else
    standin_platform_answer_error (call, 400, "not an array of hosts with all their keys");
}

static bool
set_log_state (standin_platform_t *platform, const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (log_state_names); i++)
    if (strcmp (log_state_names[i], name) == 0)
      {
        platform->log_state = (standin_platform_log_state_t)i;
        if (platform->log_state == STANDIN_PLATFORM_LOG_DOWN)
          {
            standin_platform_abort_waiters (platform);
            keyed_store_abort_waiters (platform->keyed);
          }
        return true;
      }
  return false;
}

static bool
set_list_state (standin_platform_t *platform, const char *name)
{
  bool frozen = strcmp (name, "stale") == 0;
  platform->list_down = strcmp (name, "down") == 0;
  return host_list_freeze (platform->hosts, standin_platform_now_us (), "", frozen) &&
         (frozen || platform->list_down || strcmp (name, "up") == 0);
}

static bool
set_reader_views (standin_platform_t *platform, json_t *views)
{
  const char *reader;
  json_t *state;
  bool valid = true;
  json_object_foreach (views, reader, state)
    {
      bool frozen = g_strcmp0 (json_string_value (state), "stale") == 0;
      valid =
          host_list_freeze (platform->hosts, standin_platform_now_us (), reader, frozen) && valid;
    }
  return valid;
}

static void
handle_set_fault (standin_platform_t *platform, http_call_t *call)
{
  json_t *fault = http_call_parse_json (call);
  const char *log_state = json_string_value (json_object_get (fault, "log"));
  const char *list_state = json_string_value (json_object_get (fault, "list"));
  bool valid = json_is_object (fault);
  if (log_state != NULL)
    {
      platform->slow_delay_us =
          (uint64_t)MAX (0, json_integer_value (json_object_get (fault, "slow_ms"))) * 1000;
      platform->fault_calls_left =
          (uint64_t)MAX (0, json_integer_value (json_object_get (fault, "count")));
      g_free (platform->fault_stream);
      platform->fault_stream = g_strdup (json_string_value (json_object_get (fault, "stream")));
      valid = set_log_state (platform, log_state) && valid;
    }
  if (list_state != NULL)
    valid = set_list_state (platform, list_state) && valid;
  valid = set_reader_views (platform, json_object_get (fault, "view")) && valid;
  json_decref (fault);
  if (valid)
    http_call_reply_json (call, 200, json_object ());
  else
    standin_platform_answer_error (call, 400, "no such fault");
}

static void
handle_copy (standin_platform_t *platform, http_call_t *call)
{
  record_log_copy (platform->log);
  keyed_store_copy (platform->keyed);
  http_call_reply_json (call, 200, json_object ());
}

/* What was written since the last copy is gone. */
static void
handle_restore (standin_platform_t *platform, http_call_t *call)
{
  platform->era++;
  g_clear_pointer (&platform->fault_stream, g_free);
  standin_platform_abort_waiters (platform);
  record_log_restore (platform->log);
  keyed_store_restore (platform->keyed);
  http_call_reply_json (call, 200, json_pack ("{s:I}", "era", (json_int_t)platform->era));
}

static void
handle_truncate (standin_platform_t *platform, http_call_t *call)
{
  const char *stream = http_call_query (call, "stream");
  if (stream != NULL)
    record_log_truncate (platform->log, stream, http_call_query_u64 (call, "before", 0));
  http_call_reply_json (call, 200, json_object ());
}

static void
handle_show_log (standin_platform_t *platform, http_call_t *call)
{
  const char *stream = http_call_query (call, "stream");
  if (stream == NULL)
    http_call_reply_json (call, 200, record_log_streams_json (platform->log));
  else
    http_call_reply_json (call, 200, record_log_read (platform->log, stream, 0, G_MAXUINT32));
}

static void
handle_stats (standin_platform_t *platform, http_call_t *call)
{
  http_call_reply_json (call, 200,
                        json_pack ("{s:I, s:I, s:I, s:I}", "appends", (json_int_t)platform->appends,
                                   "reads", (json_int_t)platform->reads, "refused",
                                   (json_int_t)platform->refused, "waiters",
                                   (json_int_t)g_queue_get_length (&platform->waiters)));
}

typedef struct
{
  const char *method;
  const char *path;
  void (*answer) (standin_platform_t *platform, http_call_t *call);
} route_t;

static void
handle_health (standin_platform_t *platform, http_call_t *call)
{
  (void)platform;
  http_call_reply_json (call, 200, json_pack ("{s:s}", "status", "ok"));
}

static const route_t routes[] = {
  { "POST", "/log/append", standin_platform_handle_append },
  { "GET", "/log/read", standin_platform_handle_read },
  { "GET", "/hosts", handle_read_hosts },
  { "GET", "/health", handle_health },
  { "POST", "/admin/hosts", handle_set_hosts },
  { "POST", "/admin/fault", handle_set_fault },
  { "POST", "/admin/copy", handle_copy },
  { "POST", "/admin/restore", handle_restore },
  { "POST", "/admin/truncate", handle_truncate },
  { "GET", "/admin/log", handle_show_log },
  { "GET", "/admin/stats", handle_stats },
};

void
standin_platform_answer_error (http_call_t *call, int status, const char *message)
{
  http_call_reply_json (call, status, json_pack ("{s:s}", "error", message));
}

uint64_t
standin_platform_now_us (void)
{
  return (uint64_t)g_get_monotonic_time ();
}

void
standin_platform_handle_call (standin_platform_t *platform, http_call_t *call)
{
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    if (http_call_matches (call, routes[i].method, routes[i].path))
      {
        routes[i].answer (platform, call);
        return;
      }
  if (!keyed_store_handle_call (platform->keyed, call))
    standin_platform_answer_error (call, 404, "no such path");
}
