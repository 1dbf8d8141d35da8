#include "ask.h"
#include "connection/admin_seal.h"
#include "request/policy/order.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

/*
 * struct fan - calls that are under way together
 * @next: the first that was not started yet
 * @left: how many did not end yet
 */
typedef struct
{
  ctl_t *ctl;
  struct flight *flights;
  uint32_t count;
  uint32_t next;
  uint32_t left;
  bool done;
} fan_t;

typedef struct flight
{
  fan_t *fan;
  ask_call_t *call;
  char *target;
  char *seal;
  hcl_header_t header;
} flight_t;

static void start_next (fan_t *fan);

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  flight_t *flight = context;

  (void)headers;
  flight->call->status = status;
  return true;
}

static void
on_data (struct evbuffer *data, void *context)
{
  flight_t *flight = context;
  size_t length = evbuffer_get_length (data);

  g_string_append_len (flight->call->body, (const char *)evbuffer_pullup (data, -1),
                       (gssize)length);
  evbuffer_drain (data, length);
}

static void
on_end (const hcl_end_t *end, void *context)
{
  flight_t *flight = context;
  fan_t *fan = flight->fan;

  flight->call->status = end->whole ? end->status : 0;
  if (!end->whole)
    g_string_truncate (flight->call->body, 0);
  fan->left--;
  fan->done = fan->left == 0;
  if (!fan->done)
    start_next (fan);
}

static char *
target_of (const ask_call_t *call, uint64_t time_s)
{
  if (call->seal == ASK_DRAIN)
    return g_strdup_printf ("%s?time=%" PRIu64, call->path, time_s);
  if (call->query != NULL)
    return g_strdup_printf ("%s?%s", call->path, call->query);
  return g_strdup (call->path);
}

static char *
seal_as_call (const ask_call_t *call, const char *target, const char *fleet_key)
{
  ord_t order = { .host = call->name, .method = call->method, .target = target };
  char seal[ORD_SEAL_BYTES];

  ord_seal (&order, fleet_key, seal);
  return g_strdup (seal);
}

static void
seal (flight_t *flight, uint64_t time_s)
{
  const char *fleet_key = flight->fan->ctl->opt.fleet_key;

  if (flight->call->seal == ASK_OPEN || fleet_key == NULL)
    return;
  if (flight->call->seal == ASK_DRAIN)
    flight->seal = seal_make (fleet_key, SEAL_DRAIN, flight->call->name, time_s);
  else
    flight->seal = seal_as_call (flight->call, flight->target, fleet_key);
  flight->header = (hcl_header_t){ .name = SEAL_HEADER, .value = flight->seal };
}

static void
start (flight_t *flight)
{
  ctl_t *ctl = flight->fan->ctl;
  ask_call_t *call = flight->call;
  uint64_t time_s = clk_wall_ms (&ctl->clk) / 1000;
  hcl_options_t options = { .address = &call->address,
                            .method = call->method,
                            .timeout_us = (uint64_t)MAX (ctl_left_ms (ctl), 1) * CLK_US_PER_MS,
                            .answer_limit_bytes = ASK_ANSWER_LIMIT_BYTES,
                            .on_head = on_head,
                            .on_data = on_data,
                            .on_end = on_end,
                            .context = flight };

  call->body = g_string_new (NULL);
  flight->target = target_of (call, time_s);
  seal (flight, time_s);
  options.target = flight->target;
  options.headers = &flight->header;
  options.header_count = flight->seal != NULL ? 1 : 0;
  hcl_start (ctl->hcl, &options);
}

static void
start_next (fan_t *fan)
{
  if (fan->next < fan->count)
    start (&fan->flights[fan->next++]);
}

void
ask_all (ctl_t *ctl, ask_call_t *calls, uint32_t count)
{
  g_autofree flight_t *flights = g_new0 (flight_t, count);
  fan_t fan = { .ctl = ctl, .flights = flights, .count = count, .left = count };

  for (uint32_t at = 0; at < count; at++)
    flights[at] = (flight_t){ .fan = &fan, .call = &calls[at] };
  for (uint32_t at = 0; at < ASK_AT_ONCE; at++)
    start_next (&fan);
  if (count > 0)
    ctl_run_until (ctl, &fan.done);
  for (uint32_t at = 0; at < count; at++)
    {
      g_free (flights[at].target);
      g_free (flights[at].seal);
    }
}

void
ask_clear (ask_call_t *calls, uint32_t count)
{
  for (uint32_t at = 0; at < count; at++)
    {
      if (calls[at].body != NULL)
        g_string_free (calls[at].body, TRUE);
      calls[at].body = NULL;
    }
}

bool
ask_name (ctl_t *ctl, ask_call_t *call)
{
  ask_call_t status = { .address = call->address, .method = "GET", .path = ASK_STATUS_PATH };
  json_t *answer;
  const char *name;

  ask_all (ctl, &status, 1);
  answer = status.status == 200 ? json_loads (status.body->str, 0, NULL) : NULL;
  name = json_string_value (json_object_get (answer, "name"));
  g_strlcpy (call->name, name != NULL ? name : "", sizeof call->name);
  json_decref (answer);
  ask_clear (&status, 1);
  return call->name[0] != '\0';
}

char *
ask_manifest (ctl_t *ctl, const set_address_t *address)
{
  ask_call_t call = {
    .address = *address, .method = "GET", .path = "/medlarplank/manifest", .seal = ASK_CALL
  };
  char *body = NULL;

  if (!ask_name (ctl, &call))
    return NULL;
  ask_all (ctl, &call, 1);
  if (call.status == 200)
    body = g_strdup (call.body->str);
  ask_clear (&call, 1);
  return body;
}

typedef struct
{
  GArray *hosts;
  plt_outcome_t outcome;
  bool done;
} list_t;

static void
on_hosts (const plt_hosts_t *hosts, void *context)
{
  list_t *list = context;

  list->outcome = hosts->outcome;
  if (hosts->outcome == PLT_OK)
    g_array_append_vals (list->hosts, hosts->hosts, hosts->host_count);
  list->done = true;
}

GArray *
ask_hosts (ctl_t *ctl, plt_outcome_t *outcome)
{
  list_t list = { .hosts = g_array_new (FALSE, TRUE, sizeof (mem_listed_t)) };

  ctl->plt->hosts (ctl->plt, 0, on_hosts, &list);
  ctl_run_until (ctl, &list.done);
  *outcome = list.outcome;
  return list.hosts;
}

const mem_listed_t *
ask_host_named (const GArray *hosts, const char *name)
{
  for (guint at = 0; at < hosts->len; at++)
    {
      const mem_listed_t *host = &g_array_index (hosts, mem_listed_t, at);

      if (strcmp (host->name, name) == 0)
        return host;
    }
  return NULL;
}
