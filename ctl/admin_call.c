#include "admin_call.h"
#include "connection/admin_seal.h"
#include "request/policy/digests/call_seal.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

/*
 * struct batch - calls that run in parallel
 * @next_index: index of the first call that has not been started
 * @unfinished_count: number of calls that have not ended
 */
typedef struct
{
  ctl_t *ctl;
  struct pending_call *pending_calls;
  uint32_t count;
  uint32_t next_index;
  uint32_t unfinished_count;
  bool done;
} batch_t;

typedef struct pending_call
{
  batch_t *batch;
  admin_call_t *call;
  char *target;
  char *seal;
  http_client_header_t header;
} pending_call_t;

static void start_next (batch_t *batch);

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  pending_call_t *pending = context;

  (void)headers;
  pending->call->status = status;
  return true;
}

static void
on_data (struct evbuffer *data, void *context)
{
  pending_call_t *pending = context;
  size_t length = evbuffer_get_length (data);

  g_string_append_len (pending->call->body, (const char *)evbuffer_pullup (data, -1),
                       (gssize)length);
  evbuffer_drain (data, length);
}

static void
on_end (const http_client_result_t *end, void *context)
{
  pending_call_t *pending = context;
  batch_t *batch = pending->batch;

  pending->call->status = end->complete ? end->status : 0;
  if (!end->complete)
    g_string_truncate (pending->call->body, 0);
  batch->unfinished_count--;
  batch->done = batch->unfinished_count == 0;
  if (!batch->done)
    start_next (batch);
}

static char *
format_target (const admin_call_t *call, uint64_t time_s)
{
  if (call->seal == ADMIN_CALL_SEAL_DRAIN)
    return g_strdup_printf ("%s?time=%" PRIu64, call->path, time_s);
  if (call->query != NULL)
    return g_strdup_printf ("%s?%s", call->path, call->query);
  return g_strdup (call->path);
}

static char *
format_call_seal (const admin_call_t *call, const char *target, const char *fleet_key)
{
  sealed_call_t order = { .host = call->name, .method = call->method, .target = target };
  char seal[CALL_SEAL_BYTES];

  call_seal_compute (&order, fleet_key, seal);
  return g_strdup (seal);
}

static void
add_seal (pending_call_t *pending, uint64_t time_s)
{
  const char *fleet_key = pending->batch->ctl->options.fleet_key;

  if (pending->call->seal == ADMIN_CALL_SEAL_NONE || fleet_key == NULL)
    return;
  if (pending->call->seal == ADMIN_CALL_SEAL_DRAIN)
    pending->seal = admin_seal_make (fleet_key, ADMIN_SEAL_DRAIN, pending->call->name, time_s);
  else
    pending->seal = format_call_seal (pending->call, pending->target, fleet_key);
  pending->header = (http_client_header_t){ .name = ADMIN_SEAL_HEADER, .value = pending->seal };
}

static void
start_call (pending_call_t *pending)
{
  ctl_t *ctl = pending->batch->ctl;
  admin_call_t *call = pending->call;
  uint64_t time_s = clock_wall_ms (&ctl->clock) / 1000;
  http_client_options_t options = { .address = &call->address,
                                    .method = call->method,
                                    .timeout_us =
                                        (uint64_t)MAX (ctl_remaining_ms (ctl), 1) * CLOCK_US_PER_MS,
                                    .answer_limit_bytes = ADMIN_CALL_RESPONSE_MAX_BYTES,
                                    .on_head = on_head,
                                    .on_data = on_data,
                                    .on_end = on_end,
                                    .context = pending };

  call->body = g_string_new (NULL);
  pending->target = format_target (call, time_s);
  add_seal (pending, time_s);
  options.target = pending->target;
  options.headers = &pending->header;
  options.header_count = pending->seal != NULL ? 1 : 0;
  http_client_start_call (ctl->http_client, &options);
}

static void
start_next (batch_t *batch)
{
  if (batch->next_index < batch->count)
    start_call (&batch->pending_calls[batch->next_index++]);
}

void
admin_call_run_all (ctl_t *ctl, admin_call_t *calls, uint32_t count)
{
  g_autofree pending_call_t *pending_calls = g_new0 (pending_call_t, count);
  batch_t batch = {
    .ctl = ctl, .pending_calls = pending_calls, .count = count, .unfinished_count = count
  };

  for (uint32_t i = 0; i < count; i++)
    pending_calls[i] = (pending_call_t){ .batch = &batch, .call = &calls[i] };
  for (uint32_t i = 0; i < ADMIN_CALL_CONCURRENCY; i++)
    start_next (&batch);
  if (count > 0)
    ctl_run_until (ctl, &batch.done);
  for (uint32_t i = 0; i < count; i++)
    {
      g_free (pending_calls[i].target);
      g_free (pending_calls[i].seal);
    }
}

void
admin_call_clear_all (admin_call_t *calls, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      if (calls[i].body != NULL)
        g_string_free (calls[i].body, TRUE);
      calls[i].body = NULL;
    }
}

bool
admin_call_fetch_name (ctl_t *ctl, admin_call_t *call)
{
  admin_call_t status = { .address = call->address,
                          .method = "GET",
                          .path = ADMIN_CALL_STATUS_PATH };
  json_t *answer;
  const char *name;

  admin_call_run_all (ctl, &status, 1);
  answer = status.status == 200 ? json_loads (status.body->str, 0, NULL) : NULL;
  name = json_string_value (json_object_get (answer, "name"));
  g_strlcpy (call->name, name != NULL ? name : "", sizeof call->name);
  json_decref (answer);
  admin_call_clear_all (&status, 1);
  return call->name[0] != '\0';
}

char *
admin_call_fetch_manifest (ctl_t *ctl, const address_t *address)
{
  admin_call_t call = { .address = *address,
                        .method = "GET",
                        .path = "/medlarplank/manifest",
                        .seal = ADMIN_CALL_SEAL_READ };
  char *body = NULL;

  if (!admin_call_fetch_name (ctl, &call))
    return NULL;
  admin_call_run_all (ctl, &call, 1);
  if (call.status == 200)
    body = g_strdup (call.body->str);
  admin_call_clear_all (&call, 1);
  return body;
}

typedef struct
{
  GArray *hosts;
  platform_outcome_t outcome;
  bool done;
} hosts_wait_t;

static void
on_hosts (const platform_hosts_t *hosts, void *context)
{
  hosts_wait_t *wait = context;

  wait->outcome = hosts->outcome;
  if (hosts->outcome == PLATFORM_OK)
    g_array_append_vals (wait->hosts, hosts->hosts, hosts->host_count);
  wait->done = true;
}

GArray *
host_list_fetch (ctl_t *ctl, platform_outcome_t *outcome)
{
  hosts_wait_t wait = { .hosts = g_array_new (FALSE, TRUE, sizeof (membership_list_entry_t)) };

  ctl->platform->hosts (ctl->platform, 0, on_hosts, &wait);
  ctl_run_until (ctl, &wait.done);
  *outcome = wait.outcome;
  return wait.hosts;
}

const membership_list_entry_t *
host_list_find (const GArray *hosts, const char *name)
{
  for (guint i = 0; i < hosts->len; i++)
    {
      const membership_list_entry_t *host = &g_array_index (hosts, membership_list_entry_t, i);

      if (strcmp (host->name, name) == 0)
        return host;
    }
  return NULL;
}
