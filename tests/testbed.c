#include "testbed.h"

#include "request/policy/placement/rendezvous.h"

#include <arpa/inet.h>
#include <event2/http.h>
#include <event2/util.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define HOST_PORT 8080
#define WAIT_LIMIT_US (10 * CLOCK_US_PER_S)

static const char MANIFEST[] =
    "{\"client_accounts\":{"
    "\"first\":{\"key_sha256\":\"%s\"},\"second\":{\"key_sha256\":\"%s\"}},"
    "\"classes\":{\"short\":{\"priority\":0,\"deadline_ms\":5000,\"expected_tokens\":8},"
    "\"long\":{\"priority\":5,\"deadline_ms\":8000,\"expected_tokens\":800}},"
    "\"services\":{\"pool\":{\"kind\":\"model\",\"engines\":[\"e0\",\"e1\",\"e2\"],"
    "\"bound_percent\":200,\"slots\":8,\"cache_lifetime_ms\":60000,\"prefill_tokens_s\":8000,"
    "\"claim_shards\":4}},"
    "\"routes\":["
    "{\"method\":\"POST\",\"path\":\"/v1/chat/completions\",\"model\":\"m\",\"service\":\"pool\","
    "\"class\":\"long\",\"idempotent\":true},"
    "{\"method\":\"POST\",\"path\":\"/book\",\"service\":\"pool\",\"class\":\"short\","
    "\"idempotent\":false},"
    "{\"path\":\"/look*\",\"service\":\"pool\",\"class\":\"short\",\"idempotent\":true}]}";

address_t
testbed_address (uint32_t last)
{
  address_t address = { .port = HOST_PORT };
  int pid = getpid ();

  g_snprintf (address.ip, sizeof address.ip, "127.%d.%d.%u", (pid >> 8 & 0x7f) + 1, pid & 0xff,
              last);
  return address;
}

static manifest_t *
make_manifest (void)
{
  g_autofree char *first = g_compute_checksum_for_string (G_CHECKSUM_SHA256, TESTBED_API_KEY, -1);
  g_autofree char *second = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "another key", -1);
  g_autofree char *template = g_strdup_printf ("%s", MANIFEST);
  g_auto (GStrv) parts = g_strsplit (template, "%s", 3);
  g_autofree char *text = g_strconcat (parts[0], first, parts[1], second, parts[2], NULL);
  GError *error = NULL;
  manifest_t *manifest = manifest_parse (text, strlen (text), &error);

  if (manifest == NULL)
    g_error ("%s", error->message);
  manifest->version = 1;
  return manifest;
}

/* Fake engines */

static void
answer_call (testbed_engine_t *engine, http_server_call_t *call)
{
  const char *id = http_server_request_header (call, "X-Request-Id");
  size_t body_bytes;
  const char *body = http_server_body (call, &body_bytes);
  g_autofree char *text = g_strdup_printf ("ran:%.*s", (int)body_bytes, body);

  (void)engine;
  http_server_add_header (call, "X-Request-Id", id);
  http_server_reply_text (call, 200, "text/plain", text);
}

static void
on_held_request_cancelled (void *context)
{
  testbed_engine_t *engine = context;

  engine->cancelled_count++;
  g_ptr_array_set_size (engine->held_requests, 0);
}

static void
start_stream (http_server_call_t *call)
{
  struct evbuffer *part = evbuffer_new ();

  http_server_add_header (call, "X-Request-Id", http_server_request_header (call, "X-Request-Id"));
  http_server_add_header (call, "Content-Type", "text/event-stream");
  http_server_begin_reply (call, 200);
  evbuffer_add_printf (part, "data: one\n\n");
  http_server_send_part (call, part);
  evbuffer_free (part);
}

/* continue_long_answer() - sends parts of one repeated letter each, until the send buffer is full
 */
static void
continue_long_answer (void *context)
{
  testbed_engine_t *engine = context;
  struct evbuffer *part = evbuffer_new ();
  bool room = true;

  while (room && engine->long_answer_bytes < TESTBED_LONG_ANSWER_BYTES)
    {
      char letters[TESTBED_PART_BYTES];

      memset (letters, 'a' + engine->long_answer_bytes / TESTBED_PART_BYTES % 26, sizeof letters);
      evbuffer_add (part, letters, sizeof letters);
      engine->long_answer_bytes += sizeof letters;
      room = http_server_send_part (engine->long_call, part);
    }
  if (engine->long_answer_bytes == TESTBED_LONG_ANSWER_BYTES)
    http_server_end_reply (engine->long_call);
  evbuffer_free (part);
}

static void
start_long_answer (testbed_engine_t *engine, http_server_call_t *call)
{
  engine->long_call = call;
  engine->long_answer_bytes = 0;
  http_server_on_writable (call, continue_long_answer, engine);
  http_server_begin_reply (call, 200);
  continue_long_answer (engine);
}

void
testbed_crash (testbed_engine_t *engine)
{
  g_ptr_array_set_size (engine->held_requests, 0);
  g_clear_pointer (&engine->server, http_server_free);
}

static void
on_crash_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  testbed_crash (context);
}

static void
on_disconnect_timer (evutil_socket_t fd, short what, void *context)
{
  testbed_engine_t *engine = context;

  (void)fd;
  (void)what;
  http_server_abort (engine->disconnect_call);
}

static bool
has_secret_header (http_server_call_t *call)
{
  return http_server_request_header (call, "Authorization") != NULL ||
         http_server_request_header (call, "X-Api-Key") != NULL ||
         http_server_request_header (call, "X-Medlarplank-Seal") != NULL ||
         http_server_request_header (call, "X-Medlarplank-Home") != NULL;
}

static void
on_engine_call (http_server_call_t *call, void *context)
{
  static const struct timeval NOW = { 0 };
  static const struct timeval SOON = { .tv_usec = 20000 };
  testbed_engine_t *engine = context;

  if (strcmp (http_server_path (call), "/health") == 0)
    {
      http_server_reply_text (call, 200, "text/plain", "ok");
      return;
    }
  engine->received_secret_header |= has_secret_header (call);
  engine->request_count++;
  switch (engine->mode)
    {
    case TESTBED_ANSWER:
      answer_call (engine, call);
      break;
    case TESTBED_HOLD:
      g_ptr_array_add (engine->held_requests, call);
      http_server_on_disconnect (call, on_held_request_cancelled, engine);
      break;
    case TESTBED_DISCONNECT:
      http_server_abort (call);
      break;
    case TESTBED_DISCONNECT_MID_STREAM:
      start_stream (call);
      engine->disconnect_call = call;
      event_add (engine->disconnect_timer, &SOON);
      break;
    case TESTBED_LONG_ANSWER:
      start_long_answer (engine, call);
      break;
    case TESTBED_WRONG_ID:
      http_server_add_header (call, "X-Request-Id", "00000000000000000000000000000000");
      http_server_reply_text (call, 200, "text/plain", "of somebody else");
      break;
    case TESTBED_CRASH:
      event_add (engine->crash_timer, &NOW);
      break;
    }
}

void
testbed_start_engine (testbed_engine_t *engine)
{
  http_server_options_t options = { .base = engine->testbed->base,
                                    .counters = engine->testbed->counters,
                                    .listen = engine->address,
                                    .body_limit_bytes = 1 << 20,
                                    .header_limit_bytes = 1 << 16,
                                    .header_limit_count = 100,
                                    .connection_limit = 100,
                                    .idle_timeout_ms = 10000,
                                    .on_call = on_engine_call,
                                    .context = engine };
  GError *error = NULL;

  engine->server = http_server_new (&options, &error);
  if (engine->server == NULL)
    g_error ("%s", error->message);
}

void
testbed_release (testbed_engine_t *engine)
{
  for (guint i = 0; i < engine->held_requests->len; i++)
    answer_call (engine, engine->held_requests->pdata[i]);
  g_ptr_array_set_size (engine->held_requests, 0);
}

void
testbed_set_mode (testbed_t *testbed, testbed_mode_t mode)
{
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    testbed->engines[i].mode = mode;
}

/* Replacement of the control tasks */

static void
decide_claim (testbed_node_t *node, const message_claim_t *claim)
{
  testbed_t *testbed = node->testbed;
  message_claim_result_t *answer = message_new (MESSAGE_CLAIM_RESULT);
  gpointer state = g_hash_table_lookup (testbed->claims, &claim->key.key_hash[0]);

  memcpy (answer->result.claim_id, claim->claim_id, sizeof claim->claim_id);
  if (testbed->log_down)
    answer->result.verdict = CLAIM_LOG_DOWN;
  else if (state != NULL)
    answer->result.verdict = (claim_verdict_t)GPOINTER_TO_UINT (state);
  else
    {
      answer->result.verdict = CLAIM_GRANTED;
      g_hash_table_insert (testbed->claims, g_memdup2 (&claim->key.key_hash[0], sizeof (uint64_t)),
                           GUINT_TO_POINTER (CLAIM_HELD));
    }
  mailbox_send (node->daemon.to_data, &answer->head);
}

static void
handle_claim (testbed_node_t *node, const message_claim_t *claim)
{
  testbed_t *testbed = node->testbed;

  if (!testbed->hold_claims)
    {
      decide_claim (node, claim);
      return;
    }
  testbed->held_claim = *claim;
  testbed->held_claim_node = node;
}

void
testbed_decide_claim (testbed_t *testbed)
{
  testbed->hold_claims = false;
  decide_claim (testbed->held_claim_node, &testbed->held_claim);
}

static void
handle_claim_end (testbed_node_t *node, const message_claim_end_t *end)
{
  GHashTable *claims = node->testbed->claims;

  if (end->ran)
    g_hash_table_insert (claims, g_memdup2 (&end->key.key_hash[0], sizeof (uint64_t)),
                         GUINT_TO_POINTER (CLAIM_DONE));
  else
    g_hash_table_remove (claims, &end->key.key_hash[0]);
}

static void
on_control (mailbox_message_t *message, void *context)
{
  testbed_node_t *node = context;

  switch (message->kind)
    {
    case MESSAGE_CLAIM:
      handle_claim (node, (message_claim_t *)message);
      break;
    case MESSAGE_CLAIM_END:
      handle_claim_end (node, (message_claim_end_t *)message);
      break;
    case MESSAGE_NEW_CRASH_MARK:
      node->testbed->crash_mark_count++;
      break;
    case MESSAGE_DRAINED:
      node->drained = true;
      break;
    default:
      break;
    }
}

void
testbed_send_flag (testbed_node_t *node, message_kind_t kind, bool on)
{
  message_flag_t *flag = message_new (kind);

  flag->on = on;
  flag->at_us = clock_now_us (&node->daemon.clock);
  mailbox_send (node->daemon.to_data, &flag->head);
}

static void
send_members (testbed_t *testbed, testbed_node_t *node)
{
  message_members_t *members = message_new (MESSAGE_MEMBERS);

  members->members = membership_snapshot_ref (&testbed->members);
  mailbox_send (node->daemon.to_data, &members->head);
}

static void
send_version (testbed_node_t *node)
{
  message_version_t *version = message_new (MESSAGE_VERSION);

  version->manifest = manifest_ref (node->testbed->manifest);
  mailbox_send (node->daemon.to_data, &version->head);
}

void
testbed_set_manifest (testbed_t *testbed, manifest_t *manifest)
{
  manifest_unref (testbed->manifest);
  testbed->manifest = manifest;
  send_version (&testbed->router);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    send_version (&testbed->sidecars[i]);
}

static void
send_initial_state (testbed_node_t *node)
{
  send_version (node);
  send_members (node->testbed, node);
  testbed_send_flag (node, MESSAGE_FRESHNESS, true);
}

void
testbed_set_host_state (testbed_t *testbed, uint32_t host, membership_state_t state)
{
  testbed->hosts[host].state = state;
  send_members (testbed, &testbed->router);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    send_members (testbed, &testbed->sidecars[i]);
}

static void
start_daemon (testbed_t *testbed, testbed_node_t *node, uint32_t host, const address_t *engine)
{
  settings_t *settings = &node->daemon.settings;
  GError *error = NULL;
  bool router = engine == NULL;

  node->testbed = testbed;
  settings->role = router ? SETTINGS_ROLE_ROUTER : SETTINGS_ROLE_SIDECAR;
  g_strlcpy (settings->name, testbed->hosts[host].name, sizeof settings->name);
  g_strlcpy (settings->region, "r", sizeof settings->region);
  g_strlcpy (settings->fleet_key, TESTBED_FLEET_KEY, sizeof settings->fleet_key);
  settings->listen = testbed->hosts[host].http;
  if (engine != NULL)
    settings->engine = *engine;
  settings->body_limit_bytes = 1 << 20;
  settings->header_limit_bytes = 1 << 16;
  settings->header_limit_count = 10;
  settings->connection_limit = 100;
  settings->idle_timeout_ms = 30000;
  settings->exchange_interval_ms = 250;
  settings->control_budget_bytes = 2000;
  clock_init_running (&node->daemon.clock);
  node->daemon.counters = counter_registry_new ();
  node->daemon.incarnation = testbed->hosts[host].incarnation;
  node->daemon.to_control = mailbox_new (testbed->base, on_control, node);
  if (router)
    node->router_task = router_new (&node->daemon, testbed->base, &error);
  else
    node->sidecar_task = sidecar_new (&node->daemon, testbed->base, &error);
  if (error != NULL)
    g_error ("%s", error->message);
  node->daemon.to_data =
      mailbox_new (testbed->base, router ? router_handle_message : sidecar_handle_message,
                   router ? (void *)node->router_task : (void *)node->sidecar_task);
  send_initial_state (node);
}

static void
stop_daemon (testbed_node_t *node)
{
  router_free (node->router_task);
  sidecar_free (node->sidecar_task);
  mailbox_free (node->daemon.to_data);
  mailbox_free (node->daemon.to_control);
  counter_registry_free (node->daemon.counters);
}

static int
compare_hashes (gconstpointer left, gconstpointer right, gpointer context)
{
  const membership_host_t *hosts = context;
  uint64_t a = hosts[*(const uint32_t *)left].hash;
  uint64_t b = hosts[*(const uint32_t *)right].hash;

  return a < b ? -1 : a > b;
}

static void
make_members (testbed_t *testbed)
{
  uint32_t *order = g_new (uint32_t, TESTBED_SIDECARS + 1);

  for (uint32_t i = 0; i <= TESTBED_SIDECARS; i++)
    {
      membership_host_t *host = &testbed->hosts[i];

      host->is_router = i == TESTBED_SIDECARS;
      g_snprintf (host->name, sizeof host->name, "%s%u", host->is_router ? "r" : "e", i);
      host->hash = rendezvous_hash_name (host->name);
      g_strlcpy (host->region, "r", sizeof host->region);
      host->http = testbed_address (i + 1);
      host->incarnation = 1000 + i;
      order[i] = i;
    }
  g_qsort_with_data (order, TESTBED_SIDECARS + 1, sizeof order[0], compare_hashes, testbed->hosts);
  testbed->members = (membership_snapshot_t){ .hosts = testbed->hosts,
                                              .by_hash = order,
                                              .host_count = TESTBED_SIDECARS + 1 };
  g_atomic_ref_count_init (&testbed->members.refs);
}

static void
run_loop_once (testbed_t *testbed)
{
  event_base_loop (testbed->base, EVLOOP_ONCE);
}

static void
on_wake (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  (void)context;
}

bool
testbed_wait_until (testbed_t *testbed, bool (*done) (void *context), void *context)
{
  static const struct timeval STEP = { .tv_usec = 5000 };
  struct event *wake = event_new (testbed->base, -1, EV_PERSIST, on_wake, NULL);
  uint64_t end_us = clock_now_us (&testbed->router.daemon.clock) + WAIT_LIMIT_US;
  bool reached;

  event_add (wake, &STEP);
  while (!(reached = done (context)) && clock_now_us (&testbed->router.daemon.clock) < end_us)
    run_loop_once (testbed);
  event_free (wake);
  return reached;
}

static bool
is_ready (void *context)
{
  testbed_answer_t answer;
  bool ready;

  testbed_ask (context, &(testbed_request_t){ .path = "/look" }, &answer);
  ready = answer.status == 200;
  testbed_answer_clear (&answer);
  return ready;
}

testbed_t *
testbed_new (void)
{
  testbed_t *testbed = g_new0 (testbed_t, 1);

  testbed->base = event_base_new ();
  testbed->counters = counter_registry_new ();
  testbed->manifest = make_manifest ();
  testbed->http_client = http_client_new (testbed->base, 4, 10000);
  testbed->claims = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  make_members (testbed);
  start_daemon (testbed, &testbed->router, TESTBED_SIDECARS, NULL);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    {
      testbed_engine_t *engine = &testbed->engines[i];

      engine->testbed = testbed;
      engine->address = testbed_address (100 + i);
      engine->held_requests = g_ptr_array_new ();
      engine->crash_timer = evtimer_new (testbed->base, on_crash_timer, engine);
      engine->disconnect_timer = evtimer_new (testbed->base, on_disconnect_timer, engine);
      testbed_start_engine (engine);
      start_daemon (testbed, &testbed->sidecars[i], i, &engine->address);
    }
  g_assert (testbed_wait_until (testbed, is_ready, testbed));
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    testbed->engines[i].request_count = 0;
  return testbed;
}

void
testbed_free (testbed_t *testbed)
{
  http_client_free (testbed->http_client);
  stop_daemon (&testbed->router);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    {
      testbed_engine_t *engine = &testbed->engines[i];

      stop_daemon (&testbed->sidecars[i]);
      if (engine->server != NULL)
        http_server_free (engine->server);
      g_ptr_array_free (engine->held_requests, TRUE);
      event_free (engine->crash_timer);
      event_free (engine->disconnect_timer);
    }
  counter_registry_free (testbed->counters);
  manifest_unref (testbed->manifest);
  g_free (testbed->members.by_hash);
  g_hash_table_destroy (testbed->claims);
  event_base_free (testbed->base);
  g_free (testbed);
}

evutil_socket_t
testbed_open_black_hole (address_t *address)
{
  evutil_socket_t fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (HOST_PORT) };

  *address = testbed_address (90);
  evutil_make_listen_socket_reuseable (fd);
  inet_pton (AF_INET, address->ip, &name.sin_addr);
  g_assert (bind (fd, (struct sockaddr *)&name, sizeof name) == 0 && listen (fd, 16) == 0);
  return fd;
}

/* The callers of the router */

static void
copy_header (struct evkeyvalq *headers, const char *name, char *out, size_t out_bytes)
{
  const char *value = evhttp_find_header (headers, name);

  g_strlcpy (out, value != NULL ? value : "", out_bytes);
}

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  testbed_answer_t *answer = context;

  answer->status = status;
  copy_header (headers, VERDICT_HEADER, answer->verdict, sizeof answer->verdict);
  copy_header (headers, "X-Medlarplank-Engine", answer->engine, sizeof answer->engine);
  copy_header (headers, "X-Medlarplank-Request", answer->request_id, sizeof answer->request_id);
  copy_header (headers, "Retry-After", answer->retry_after, sizeof answer->retry_after);
  return true;
}

static void
on_data (struct evbuffer *data, void *context)
{
  testbed_answer_t *answer = context;
  size_t bytes = evbuffer_get_length (data);

  g_string_append_len (answer->body, (const char *)evbuffer_pullup (data, -1), (gssize)bytes);
  evbuffer_drain (data, bytes);
  if (answer->stop_reading)
    http_client_set_paused (answer->call, true);
}

static void
on_end (const http_client_result_t *end, void *context)
{
  testbed_answer_t *answer = context;

  answer->done = true;
  answer->call = NULL;
  answer->end = *end;
}

static uint32_t
add_header (http_client_header_t *headers, uint32_t count, const char *name, const char *value)
{
  if (value == NULL)
    return count;
  headers[count] = (http_client_header_t){ .name = name, .value = value };
  return count + 1;
}

void
testbed_send (testbed_t *testbed, const testbed_request_t *request, testbed_answer_t *answer)
{
  http_client_header_t headers[8];
  uint32_t count = 0;
  http_client_options_t options = { .address = &testbed->hosts[TESTBED_SIDECARS].http,
                                    .method = request->body != NULL ? "POST" : "GET",
                                    .target = request->path,
                                    .headers = headers,
                                    .body = request->body,
                                    .body_bytes =
                                        request->body != NULL ? strlen (request->body) : 0,
                                    .on_head = on_head,
                                    .on_data = on_data,
                                    .on_end = on_end,
                                    .context = answer };

  memset (answer, 0, sizeof *answer);
  answer->body = g_string_new (NULL);
  count = add_header (headers, count, "X-Api-Key",
                      request->api_key != NULL ? request->api_key : TESTBED_API_KEY);
  count = add_header (headers, count, "X-Medlarplank-Home", "forged");
  count = add_header (headers, count, "X-Chat-Id", request->chat);
  count = add_header (headers, count, "X-Class", request->class_name);
  count = add_header (headers, count, "Idempotency-Key", request->idempotency_key);
  count = add_header (headers, count, "X-Deadline-Ms", request->deadline_ms);
  options.header_count = count;
  answer->call = http_client_start_call (testbed->http_client, &options);
}

bool
testbed_is_done (void *context)
{
  const testbed_answer_t *answer = context;

  return answer->done;
}

void
testbed_ask (testbed_t *testbed, const testbed_request_t *request, testbed_answer_t *answer)
{
  testbed_send (testbed, request, answer);
  testbed_wait_until (testbed, testbed_is_done, answer);
}

void
testbed_answer_clear (testbed_answer_t *answer)
{
  if (answer->call != NULL)
    http_client_cancel_call (answer->call);
  if (answer->body != NULL)
    g_string_free (answer->body, TRUE);
}

uint32_t
testbed_ask_engine (testbed_t *testbed, const testbed_request_t *request)
{
  g_auto (testbed_answer_t) answer = { 0 };

  testbed_ask (testbed, request, &answer);
  return testbed_engine_index (&answer);
}

uint32_t
testbed_engine_index (const testbed_answer_t *answer)
{
  g_assert (answer->engine[0] == 'e');
  return (uint32_t)(answer->engine[1] - '0');
}

uint32_t
testbed_count_received (const testbed_t *testbed)
{
  uint32_t runs = 0;

  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    runs += testbed->engines[i].request_count;
  return runs;
}
