#include "path_fleet.h"

#include "request/policy/place.h"

#include <arpa/inet.h>
#include <event2/http.h>
#include <event2/util.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PORT 8080
#define DEADLINE_US (10 * CLK_US_PER_S)

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

set_address_t
pfl_address (uint32_t last)
{
  set_address_t address = { .port = PORT };
  int pid = getpid ();

  g_snprintf (address.ip, sizeof address.ip, "127.%d.%d.%u", (pid >> 8 & 0x7f) + 1, pid & 0xff,
              last);
  return address;
}

static man_t *
make_manifest (void)
{
  g_autofree char *first = g_compute_checksum_for_string (G_CHECKSUM_SHA256, PFL_KEY, -1);
  g_autofree char *second = g_compute_checksum_for_string (G_CHECKSUM_SHA256, "another key", -1);
  g_autofree char *half = g_strdup_printf ("%s", MANIFEST);
  g_auto (GStrv) parts = g_strsplit (half, "%s", 3);
  g_autofree char *text = g_strconcat (parts[0], first, parts[1], second, parts[2], NULL);
  GError *error = NULL;
  man_t *man = man_parse (text, strlen (text), &error);

  if (man == NULL)
    g_error ("%s", error->message);
  man->version = 1;
  return man;
}

/* Engines */

static void
answer_call (pfl_engine_t *engine, hsv_call_t *call)
{
  const char *id = hsv_header (call, "X-Request-Id");
  size_t body_bytes;
  const char *body = hsv_body (call, &body_bytes);
  g_autofree char *text = g_strdup_printf ("ran:%.*s", (int)body_bytes, body);

  (void)engine;
  hsv_add_header (call, "X-Request-Id", id);
  hsv_reply_text (call, 200, "text/plain", text);
}

static void
on_held_gone (void *context)
{
  pfl_engine_t *engine = context;

  engine->gone_count++;
  g_ptr_array_set_size (engine->held, 0);
}

static void
start_stream (hsv_call_t *call)
{
  struct evbuffer *part = evbuffer_new ();

  hsv_add_header (call, "X-Request-Id", hsv_header (call, "X-Request-Id"));
  hsv_add_header (call, "Content-Type", "text/event-stream");
  hsv_begin (call, 200);
  evbuffer_add_printf (part, "data: one\n\n");
  hsv_part (call, part);
  evbuffer_free (part);
}

/* stream_on() - parts of one letter each, until the reader has enough for now */
static void
stream_on (void *context)
{
  pfl_engine_t *engine = context;
  struct evbuffer *part = evbuffer_new ();
  bool room = true;

  while (room && engine->streamed_bytes < PFL_LONG_BYTES)
    {
      char letters[PFL_PART_BYTES];

      memset (letters, 'a' + engine->streamed_bytes / PFL_PART_BYTES % 26, sizeof letters);
      evbuffer_add (part, letters, sizeof letters);
      engine->streamed_bytes += sizeof letters;
      room = hsv_part (engine->streamed, part);
    }
  if (engine->streamed_bytes == PFL_LONG_BYTES)
    hsv_end (engine->streamed);
  evbuffer_free (part);
}

static void
start_long (pfl_engine_t *engine, hsv_call_t *call)
{
  engine->streamed = call;
  engine->streamed_bytes = 0;
  hsv_on_room (call, stream_on, engine);
  hsv_begin (call, 200);
  stream_on (engine);
}

void
pfl_crash (pfl_engine_t *engine)
{
  g_ptr_array_set_size (engine->held, 0);
  g_clear_pointer (&engine->hsv, hsv_free);
}

static void
crash (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  pfl_crash (context);
}

static void
cut (evutil_socket_t fd, short what, void *context)
{
  pfl_engine_t *engine = context;

  (void)fd;
  (void)what;
  hsv_abort (engine->cut);
}

static bool
has_secret (hsv_call_t *call)
{
  return hsv_header (call, "Authorization") != NULL || hsv_header (call, "X-Api-Key") != NULL ||
         hsv_header (call, "X-Medlarplank-Seal") != NULL ||
         hsv_header (call, "X-Medlarplank-Home") != NULL;
}

static void
on_engine_call (hsv_call_t *call, void *context)
{
  static const struct timeval NOW = { 0 };
  static const struct timeval SOON = { .tv_usec = 20000 };
  pfl_engine_t *engine = context;

  if (strcmp (hsv_path (call), "/health") == 0)
    {
      hsv_reply_text (call, 200, "text/plain", "ok");
      return;
    }
  engine->saw_secret |= has_secret (call);
  engine->run_count++;
  switch (engine->mode)
    {
    case PFL_ANSWER:
      answer_call (engine, call);
      break;
    case PFL_HANG:
      g_ptr_array_add (engine->held, call);
      hsv_on_gone (call, on_held_gone, engine);
      break;
    case PFL_CUT:
      hsv_abort (call);
      break;
    case PFL_CUT_LATE:
      start_stream (call);
      engine->cut = call;
      event_add (engine->cutter, &SOON);
      break;
    case PFL_LONG:
      start_long (engine, call);
      break;
    case PFL_CROSSED:
      hsv_add_header (call, "X-Request-Id", "00000000000000000000000000000000");
      hsv_reply_text (call, 200, "text/plain", "of somebody else");
      break;
    case PFL_CRASH:
      event_add (engine->crash, &NOW);
      break;
    }
}

void
pfl_start_engine (pfl_engine_t *engine)
{
  hsv_options_t options = { .base = engine->fleet->base,
                            .counters = engine->fleet->counters,
                            .listen = engine->address,
                            .body_limit_bytes = 1 << 20,
                            .header_limit_bytes = 1 << 16,
                            .header_limit_count = 100,
                            .connection_limit = 100,
                            .idle_timeout_ms = 10000,
                            .on_call = on_engine_call,
                            .context = engine };
  GError *error = NULL;

  engine->hsv = hsv_new (&options, &error);
  if (engine->hsv == NULL)
    g_error ("%s", error->message);
}

void
pfl_release (pfl_engine_t *engine)
{
  for (guint i = 0; i < engine->held->len; i++)
    answer_call (engine, engine->held->pdata[i]);
  g_ptr_array_set_size (engine->held, 0);
}

void
pfl_set_all (pfl_t *fleet, pfl_mode_t mode)
{
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    fleet->engines[i].mode = mode;
}

/* The control tasks */

static void
judge_claim (pfl_daemon_t *daemon, const msg_claim_t *claim)
{
  pfl_t *fleet = daemon->fleet;
  msg_claim_result_t *answer = msg_new (MSG_CLAIM_RESULT);
  gpointer state = g_hash_table_lookup (fleet->claims, &claim->key.key_hash[0]);

  memcpy (answer->result.claim_id, claim->claim_id, sizeof claim->claim_id);
  if (fleet->log_down)
    answer->result.verdict = CLM_LOG_DOWN;
  else if (state != NULL)
    answer->result.verdict = (clm_verdict_t)GPOINTER_TO_UINT (state);
  else
    {
      answer->result.verdict = CLM_GRANTED;
      g_hash_table_insert (fleet->claims, g_memdup2 (&claim->key.key_hash[0], sizeof (uint64_t)),
                           GUINT_TO_POINTER (CLM_HELD));
    }
  mbx_send (daemon->dmn.to_data, &answer->head);
}

static void
take_claim (pfl_daemon_t *daemon, const msg_claim_t *claim)
{
  pfl_t *fleet = daemon->fleet;

  if (!fleet->log_slow)
    {
      judge_claim (daemon, claim);
      return;
    }
  fleet->held_claim = *claim;
  fleet->held_by = daemon;
}

void
pfl_judge (pfl_t *fleet)
{
  fleet->log_slow = false;
  judge_claim (fleet->held_by, &fleet->held_claim);
}

static void
take_claim_end (pfl_daemon_t *daemon, const msg_claim_end_t *end)
{
  GHashTable *claims = daemon->fleet->claims;

  if (end->ran)
    g_hash_table_insert (claims, g_memdup2 (&end->key.key_hash[0], sizeof (uint64_t)),
                         GUINT_TO_POINTER (CLM_DONE));
  else
    g_hash_table_remove (claims, &end->key.key_hash[0]);
}

static void
on_control (mbx_message_t *message, void *context)
{
  pfl_daemon_t *daemon = context;

  switch (message->kind)
    {
    case MSG_CLAIM:
      take_claim (daemon, (msg_claim_t *)message);
      break;
    case MSG_CLAIM_END:
      take_claim_end (daemon, (msg_claim_end_t *)message);
      break;
    case MSG_NEW_MARK:
      daemon->fleet->marks++;
      break;
    case MSG_DRAINED:
      daemon->drained = true;
      break;
    default:
      break;
    }
}

void
pfl_flag (pfl_daemon_t *daemon, msg_kind_t kind, bool on)
{
  msg_flag_t *flag = msg_new (kind);

  flag->on = on;
  flag->at_us = clk_now_us (&daemon->dmn.clk);
  mbx_send (daemon->dmn.to_data, &flag->head);
}

static void
tell_members (pfl_t *fleet, pfl_daemon_t *daemon)
{
  msg_members_t *members = msg_new (MSG_MEMBERS);

  members->members = mem_snapshot_ref (&fleet->members);
  mbx_send (daemon->dmn.to_data, &members->head);
}

static void
tell_version (pfl_daemon_t *daemon)
{
  msg_version_t *version = msg_new (MSG_VERSION);

  version->man = man_ref (daemon->fleet->man);
  mbx_send (daemon->dmn.to_data, &version->head);
}

void
pfl_set_man (pfl_t *fleet, man_t *man)
{
  man_unref (fleet->man);
  fleet->man = man;
  tell_version (&fleet->router);
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    tell_version (&fleet->sidecars[i]);
}

static void
tell_all (pfl_daemon_t *daemon)
{
  tell_version (daemon);
  tell_members (daemon->fleet, daemon);
  pfl_flag (daemon, MSG_FRESHNESS, true);
}

void
pfl_set_state (pfl_t *fleet, uint32_t host, mem_state_t state)
{
  fleet->hosts[host].state = state;
  tell_members (fleet, &fleet->router);
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    tell_members (fleet, &fleet->sidecars[i]);
}

static void
start_daemon (pfl_t *fleet, pfl_daemon_t *daemon, uint32_t host, const set_address_t *engine)
{
  set_t *set = &daemon->dmn.set;
  GError *error = NULL;
  bool router = engine == NULL;

  daemon->fleet = fleet;
  set->role = router ? SET_ROLE_ROUTER : SET_ROLE_SIDECAR;
  g_strlcpy (set->name, fleet->hosts[host].name, sizeof set->name);
  g_strlcpy (set->region, "r", sizeof set->region);
  g_strlcpy (set->fleet_key, PFL_FLEET_KEY, sizeof set->fleet_key);
  set->listen = fleet->hosts[host].http;
  if (engine != NULL)
    set->engine = *engine;
  set->body_limit_bytes = 1 << 20;
  set->header_limit_bytes = 1 << 16;
  set->header_limit_count = 10;
  set->connection_limit = 100;
  set->idle_timeout_ms = 30000;
  set->exchange_interval_ms = 250;
  set->control_budget_bytes = 2000;
  clk_init_running (&daemon->dmn.clk);
  daemon->dmn.counters = cnt_set_new ();
  daemon->dmn.incarnation = fleet->hosts[host].incarnation;
  daemon->dmn.to_control = mbx_new (fleet->base, on_control, daemon);
  if (router)
    daemon->rtr = rtr_new (&daemon->dmn, fleet->base, &error);
  else
    daemon->sdc = sdc_new (&daemon->dmn, fleet->base, &error);
  if (error != NULL)
    g_error ("%s", error->message);
  daemon->dmn.to_data = mbx_new (fleet->base, router ? rtr_message : sdc_message,
                                 router ? (void *)daemon->rtr : (void *)daemon->sdc);
  tell_all (daemon);
}

static void
stop_daemon (pfl_daemon_t *daemon)
{
  rtr_free (daemon->rtr);
  sdc_free (daemon->sdc);
  mbx_free (daemon->dmn.to_data);
  mbx_free (daemon->dmn.to_control);
  cnt_set_free (daemon->dmn.counters);
}

static int
by_hash (gconstpointer left, gconstpointer right, gpointer context)
{
  const mem_host_t *hosts = context;
  uint64_t a = hosts[*(const uint32_t *)left].hash;
  uint64_t b = hosts[*(const uint32_t *)right].hash;

  return a < b ? -1 : a > b;
}

static void
make_members (pfl_t *fleet)
{
  uint32_t *order = g_new (uint32_t, PFL_SIDECARS + 1);

  for (uint32_t i = 0; i <= PFL_SIDECARS; i++)
    {
      mem_host_t *host = &fleet->hosts[i];

      host->router = i == PFL_SIDECARS;
      g_snprintf (host->name, sizeof host->name, "%s%u", host->router ? "r" : "e", i);
      host->hash = plc_hash_name (host->name);
      g_strlcpy (host->region, "r", sizeof host->region);
      host->http = pfl_address (i + 1);
      host->incarnation = 1000 + i;
      order[i] = i;
    }
  g_qsort_with_data (order, PFL_SIDECARS + 1, sizeof order[0], by_hash, fleet->hosts);
  fleet->members =
      (mem_snapshot_t){ .hosts = fleet->hosts, .by_hash = order, .host_count = PFL_SIDECARS + 1 };
  g_atomic_ref_count_init (&fleet->members.refs);
}

static void
turn (pfl_t *fleet)
{
  event_base_loop (fleet->base, EVLOOP_ONCE);
}

static void
on_wake (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  (void)context;
}

bool
pfl_until (pfl_t *fleet, bool (*done) (void *context), void *context)
{
  static const struct timeval STEP = { .tv_usec = 5000 };
  struct event *wake = event_new (fleet->base, -1, EV_PERSIST, on_wake, NULL);
  uint64_t end_us = clk_now_us (&fleet->router.dmn.clk) + DEADLINE_US;
  bool reached;

  event_add (wake, &STEP);
  while (!(reached = done (context)) && clk_now_us (&fleet->router.dmn.clk) < end_us)
    turn (fleet);
  event_free (wake);
  return reached;
}

static bool
is_ready (void *context)
{
  pfl_answer_t answer;
  bool ready;

  pfl_ask (context, &(pfl_request_t){ .path = "/look" }, &answer);
  ready = answer.status == 200;
  pfl_answer_clear (&answer);
  return ready;
}

pfl_t *
pfl_new (void)
{
  pfl_t *fleet = g_new0 (pfl_t, 1);

  fleet->base = event_base_new ();
  fleet->counters = cnt_set_new ();
  fleet->man = make_manifest ();
  fleet->hcl = hcl_new (fleet->base, 4, 10000);
  fleet->claims = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  make_members (fleet);
  start_daemon (fleet, &fleet->router, PFL_SIDECARS, NULL);
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    {
      pfl_engine_t *engine = &fleet->engines[i];

      engine->fleet = fleet;
      engine->address = pfl_address (100 + i);
      engine->held = g_ptr_array_new ();
      engine->crash = evtimer_new (fleet->base, crash, engine);
      engine->cutter = evtimer_new (fleet->base, cut, engine);
      pfl_start_engine (engine);
      start_daemon (fleet, &fleet->sidecars[i], i, &engine->address);
    }
  g_assert (pfl_until (fleet, is_ready, fleet));
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    fleet->engines[i].run_count = 0;
  return fleet;
}

void
pfl_free (pfl_t *fleet)
{
  hcl_free (fleet->hcl);
  stop_daemon (&fleet->router);
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    {
      pfl_engine_t *engine = &fleet->engines[i];

      stop_daemon (&fleet->sidecars[i]);
      if (engine->hsv != NULL)
        hsv_free (engine->hsv);
      g_ptr_array_free (engine->held, TRUE);
      event_free (engine->crash);
      event_free (engine->cutter);
    }
  cnt_set_free (fleet->counters);
  man_unref (fleet->man);
  g_free (fleet->members.by_hash);
  g_hash_table_destroy (fleet->claims);
  event_base_free (fleet->base);
  g_free (fleet);
}

evutil_socket_t
pfl_black_hole (set_address_t *address)
{
  evutil_socket_t fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in name = { .sin_family = AF_INET, .sin_port = htons (PORT) };

  *address = pfl_address (90);
  inet_pton (AF_INET, address->ip, &name.sin_addr);
  g_assert (bind (fd, (struct sockaddr *)&name, sizeof name) == 0 && listen (fd, 16) == 0);
  return fd;
}

/* The caller */

static void
copy_header (struct evkeyvalq *headers, const char *name, char *out, size_t out_bytes)
{
  const char *value = evhttp_find_header (headers, name);

  g_strlcpy (out, value != NULL ? value : "", out_bytes);
}

static bool
on_head (int status, struct evkeyvalq *headers, void *context)
{
  pfl_answer_t *answer = context;

  answer->status = status;
  copy_header (headers, VRD_HEADER, answer->verdict, sizeof answer->verdict);
  copy_header (headers, "X-Medlarplank-Engine", answer->engine, sizeof answer->engine);
  copy_header (headers, "X-Medlarplank-Request", answer->request, sizeof answer->request);
  copy_header (headers, "Retry-After", answer->retry_after, sizeof answer->retry_after);
  return true;
}

static void
on_data (struct evbuffer *data, void *context)
{
  pfl_answer_t *answer = context;
  size_t bytes = evbuffer_get_length (data);

  g_string_append_len (answer->body, (const char *)evbuffer_pullup (data, -1), (gssize)bytes);
  evbuffer_drain (data, bytes);
  if (answer->stop_reading)
    hcl_pause (answer->call, true);
}

static void
on_end (const hcl_end_t *end, void *context)
{
  pfl_answer_t *answer = context;

  answer->done = true;
  answer->call = NULL;
  answer->end = *end;
}

static uint32_t
add (hcl_header_t *headers, uint32_t count, const char *name, const char *value)
{
  if (value == NULL)
    return count;
  headers[count] = (hcl_header_t){ .name = name, .value = value };
  return count + 1;
}

void
pfl_send (pfl_t *fleet, const pfl_request_t *request, pfl_answer_t *answer)
{
  hcl_header_t headers[8];
  uint32_t count = 0;
  hcl_options_t options = { .address = &fleet->hosts[PFL_SIDECARS].http,
                            .method = request->body != NULL ? "POST" : "GET",
                            .target = request->path,
                            .headers = headers,
                            .body = request->body,
                            .body_bytes = request->body != NULL ? strlen (request->body) : 0,
                            .on_head = on_head,
                            .on_data = on_data,
                            .on_end = on_end,
                            .context = answer };

  memset (answer, 0, sizeof *answer);
  answer->body = g_string_new (NULL);
  count = add (headers, count, "X-Api-Key", request->key != NULL ? request->key : PFL_KEY);
  count = add (headers, count, "X-Medlarplank-Home", "forged");
  count = add (headers, count, "X-Chat-Id", request->chat);
  count = add (headers, count, "X-Class", request->klass);
  count = add (headers, count, "Idempotency-Key", request->idempotency_key);
  count = add (headers, count, "X-Deadline-Ms", request->deadline_ms);
  options.header_count = count;
  answer->call = hcl_start (fleet->hcl, &options);
}

bool
pfl_done (void *context)
{
  const pfl_answer_t *answer = context;

  return answer->done;
}

void
pfl_ask (pfl_t *fleet, const pfl_request_t *request, pfl_answer_t *answer)
{
  pfl_send (fleet, request, answer);
  pfl_until (fleet, pfl_done, answer);
}

void
pfl_answer_clear (pfl_answer_t *answer)
{
  if (answer->call != NULL)
    hcl_cancel (answer->call);
  if (answer->body != NULL)
    g_string_free (answer->body, TRUE);
}

uint32_t
pfl_ask_engine (pfl_t *fleet, const pfl_request_t *request)
{
  g_auto (pfl_answer_t) answer = { 0 };

  pfl_ask (fleet, request, &answer);
  return pfl_engine_named (&answer);
}

uint32_t
pfl_engine_named (const pfl_answer_t *answer)
{
  g_assert (answer->engine[0] == 'e');
  return (uint32_t)(answer->engine[1] - '0');
}

uint32_t
pfl_runs (const pfl_t *fleet)
{
  uint32_t runs = 0;

  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    runs += fleet->engines[i].run_count;
  return runs;
}
