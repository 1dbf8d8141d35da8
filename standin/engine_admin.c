#include "engine.h"

#include <string.h>

static standin_engine_load_t
sample_load (const standin_engine_t *engine)
{
  standin_engine_load_t load = { .running = batch_running_count (engine->batch),
                                 .waiting = batch_waiting_count (engine->batch),
                                 .cached_tokens = prefix_cache_cached_tokens (engine->cache),
                                 .sampled_us = (uint64_t)g_get_monotonic_time () };
  return load;
}

static void
handle_load (standin_engine_t *engine, http_call_t *call)
{
  standin_engine_load_t load =
      engine->options.report_lag_us == 0 ? sample_load (engine) : engine->reported_load;
  uint64_t age_us = (uint64_t)g_get_monotonic_time () - load.sampled_us;
  json_t *json = json_pack ("{s:I, s:I, s:I, s:I}", "running", (json_int_t)load.running, "waiting",
                            (json_int_t)load.waiting, "cached_tokens",
                            (json_int_t)load.cached_tokens, "age_ms", (json_int_t)(age_us / 1000));
  standin_engine_answer_json (engine, call, 200, json);
}

static void
handle_cache_events (standin_engine_t *engine, http_call_t *call)
{
  uint64_t from = http_call_query_u64 (call, "from", 0);
  json_t *json = cache_events_to_json (engine->events, (uint64_t)g_get_monotonic_time (), from);
  standin_engine_answer_json (engine, call, 200, json);
}

static void
handle_health (standin_engine_t *engine, http_call_t *call)
{
  json_t *json = json_pack ("{s:s, s:s, s:I}", "status", "ok", "name", engine->options.name,
                            "served", (json_int_t)engine->served_count);
  standin_engine_answer_json (engine, call, 200, json);
}

static void
handle_cancel (standin_engine_t *engine, http_call_t *call)
{
  const char *id = http_call_query (call, "id");
  bool cancelled = id != NULL && standin_engine_cancel_run (engine, id);
  standin_engine_answer_json (engine, call, cancelled ? 200 : 404,
                              json_pack ("{s:b}", "cancelled", cancelled));
}

static void
handle_order (standin_engine_t *engine, http_call_t *call)
{
  json_t *order = http_call_parse_json (call);
  const char *kind = json_string_value (json_object_get (order, "kind"));
  json_t *fence_json = json_object_get (order, "fence");
  uint64_t fence = (uint64_t)json_integer_value (fence_json);
  if (kind == NULL || !json_is_integer (fence_json))
    standin_engine_answer_error (engine, call, 400, "an order has a kind and a fence");
  else if (engine->options.check_fence && fence < engine->highest_fence)
    standin_engine_answer_error (engine, call, 409, "old fencing number");
  else
    {
      engine->highest_fence = MAX (engine->highest_fence, fence);
      standin_engine_answer_json (
          engine, call, 200, json_pack ("{s:s, s:I}", "obeyed", kind, "fence", (json_int_t)fence));
    }
  json_decref (order);
}

static uint64_t
get_json_u64 (json_t *object, const char *name, uint64_t default_value)
{
  json_t *value = json_object_get (object, name);
  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return default_value;
  return (uint64_t)json_integer_value (value);
}

static void
handle_fault (standin_engine_t *engine, http_call_t *call)
{
  json_t *json = http_call_parse_json (call);
  if (!json_is_object (json))
    {
      json_decref (json);
      standin_engine_answer_error (engine, call, 400, "a fault is an object");
      return;
    }
  standin_engine_fault_t fault = {
    .count = (uint32_t)get_json_u64 (json, "count", 1),
    .freeze_us = get_json_u64 (json, "freeze_ms", 0) * 1000,
    .cut_after_tokens = (uint32_t)get_json_u64 (json, "cut_after_tokens", 0),
    .repeat_previous = json_is_true (json_object_get (json, "cross_ids")),
    .omit_length = json_is_true (json_object_get (json, "no_length")),
    .start_delay_us = get_json_u64 (json, "late_ms", 0) * 1000
  };
  json_decref (json);
  engine->fault = fault;
  standin_engine_answer_json (engine, call, 200,
                              json_pack ("{s:I}", "count", (json_int_t)fault.count));
}

bool
standin_engine_handle_admin (standin_engine_t *engine, http_call_t *call)
{
  if (http_call_matches (call, "GET", "/load"))
    handle_load (engine, call);
  else if (http_call_matches (call, "GET", "/health"))
    handle_health (engine, call);
  else if (http_call_matches (call, "GET", "/cache-events"))
    handle_cache_events (engine, call);
  else if (http_call_matches (call, "GET", "/record"))
    standin_engine_answer_json (engine, call, 200, run_record_to_json (engine->record));
  else if (http_call_matches (call, "POST", "/cancel"))
    handle_cancel (engine, call);
  else if (http_call_matches (call, "POST", "/order"))
    handle_order (engine, call);
  else if (http_call_matches (call, "POST", "/fault"))
    handle_fault (engine, call);
  else
    return false;
  return true;
}

void
standin_engine_on_report (evutil_socket_t fd, short what, void *arg)
{
  standin_engine_t *engine = arg;
  (void)fd;
  (void)what;
  engine->reported_load = sample_load (engine);
}
