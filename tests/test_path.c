#include "testbed_burst.h"
#include "suite.h"

#include "request/policy/digests/digest.h"
#include "request/hop.h"
#include "request/router/router_private.h"
#include "request/policy/digests/call_seal.h"

#include <string.h>

#define CHAT_BODY "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}"

static const testbed_request_t LOOK = { .path = "/look" };
static const testbed_request_t BOOK = { .path = "/book", .body = "lot 7" };
static const testbed_request_t CHAT = { .path = "/v1/chat/completions",
                                        .body = CHAT_BODY,
                                        .chat = "c1" };

static void
ask_status (testbed_t *testbed, const testbed_request_t *request, int status, const char *verdict)
{
  g_auto (testbed_answer_t) answer = { 0 };

  testbed_ask (testbed, request, &answer);
  CU_ASSERT_TRUE (answer.end.complete);
  CU_ASSERT_EQUAL (answer.status, status);
  CU_ASSERT_STRING_EQUAL (answer.verdict, verdict);
}

static void
relays_the_answer (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  testbed_answer_t answer;

  testbed_ask (testbed, &CHAT, &answer);
  CU_ASSERT_TRUE (answer.end.complete);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_STRING_EQUAL (answer.body->str, "ran:" CHAT_BODY);
  CU_ASSERT_STRING_EQUAL (answer.verdict, "ran");
  CU_ASSERT_EQUAL (strlen (answer.request_id), 32);
  uint32_t engine = testbed_engine_index (&answer);
  CU_ASSERT_EQUAL (testbed->engines[engine].request_count, 1);
  CU_ASSERT_FALSE (testbed->engines[engine].received_secret_header);
  testbed_answer_clear (&answer);
  for (uint32_t i = 0; i < 5; i++)
    {
      CU_ASSERT_EQUAL (testbed_ask_engine (testbed, &CHAT), engine);
    }
}

static void
refuses_invalid_requests (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();

  ask_status (testbed, &(testbed_request_t){ .path = "/look", .api_key = "nobody" }, 401,
              "not_run");
  ask_status (testbed, &(testbed_request_t){ .path = "/none" }, 404, "not_run");
  ask_status (testbed, &(testbed_request_t){ .path = "/look", .class_name = "none" }, 400,
              "not_run");
  ask_status (testbed, &(testbed_request_t){ .path = "/look", .deadline_ms = "0" }, 400, "not_run");
  ask_status (testbed, &(testbed_request_t){ .path = "/v1/chat/completions", .body = "{" }, 400,
              "not_run");
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 0);
}

/* The host of a chat's home begins to leave while the router still has it as live. Its sidecar
 * refuses the request as not run, and the router tries the next one without an error for the
 * caller. */
static void
tries_another_host_when_one_is_leaving (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  g_auto (testbed_answer_t) answer = { 0 };

  uint32_t home = testbed_ask_engine (testbed, &CHAT);
  testbed_send_flag (&testbed->sidecars[home], MESSAGE_DRAIN, true);
  testbed_ask (testbed, &CHAT, &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_NOT_EQUAL (testbed_engine_index (&answer), home);
  CU_ASSERT_EQUAL (testbed->engines[home].request_count, 1);
}

static bool
one_request_held (void *context)
{
  return testbed_count_held (context) == 1;
}

static testbed_engine_t *
holding_engine (testbed_t *testbed)
{
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    if (testbed->engines[i].held_requests->len > 0)
      return &testbed->engines[i];
  return NULL;
}

#define BURST_REQUESTS 12
#define OVERLOAD_REQUESTS 90

static bool
burst_is_held (void *context)
{
  return testbed_count_held (context) == BURST_REQUESTS;
}

/* A burst of half the service's capacity arrives while the service is idle, and the sidecars get no
 * load samples from the exchange. The hops after a refusal carry load samples, by which the other
 * sidecars learn that the mean load has risen. All requests must run at once, evenly spread, and
 * none may be refused. */
static void
spreads_a_burst_over_all_engines (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  testbed_answer_t answers[BURST_REQUESTS];
  char chats[BURST_REQUESTS][8];

  testbed_set_mode (testbed, TESTBED_HOLD);
  for (uint32_t i = 0; i < BURST_REQUESTS; i++)
    {
      g_snprintf (chats[i], sizeof chats[i], "b%u", i);
      testbed_send (testbed,
                    &(testbed_request_t){ .path = CHAT.path, .body = CHAT.body, .chat = chats[i] },
                    &answers[i]);
    }
  CU_ASSERT_TRUE (testbed_wait_until (testbed, burst_is_held, testbed));
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    {
      CU_ASSERT_TRUE (testbed->engines[i].held_requests->len <=
                      2 * BURST_REQUESTS / TESTBED_SIDECARS);
      testbed_release (&testbed->engines[i]);
    }
  for (uint32_t i = 0; i < BURST_REQUESTS; i++)
    {
      CU_ASSERT_TRUE (testbed_wait_until (testbed, testbed_is_done, &answers[i]));
      CU_ASSERT_EQUAL (answers[i].status, 200);
      testbed_answer_clear (&answers[i]);
    }
}

/* All engines are full, so that each request is refused over the load bound by one sidecar after
 * another. If every hop carried load samples, an overload would multiply the control traffic. They
 * must stay within the control budget: one second's worth, plus what accrues during the test. */
static void
load_samples_stay_within_the_control_budget (void)
{
  static const testbed_request_t SOON = { .path = "/look", .deadline_ms = "300" };
  g_autoptr (testbed_t) testbed = testbed_new ();
  counter_t *sent =
      counter_get (testbed->router.daemon.counters, "medlarplank_control_bytes_sent_total", "");
  uint64_t start_us = clock_now_us (&testbed->router.daemon.clock);
  testbed_answer_t answers[OVERLOAD_REQUESTS];

  testbed_set_mode (testbed, TESTBED_HOLD);
  for (uint32_t i = 0; i < OVERLOAD_REQUESTS; i++)
    testbed_send (testbed, &SOON, &answers[i]);
  for (uint32_t i = 0; i < OVERLOAD_REQUESTS; i++)
    {
      CU_ASSERT_TRUE (testbed_wait_until (testbed, testbed_is_done, &answers[i]));
      testbed_answer_clear (&answers[i]);
    }
  uint64_t elapsed_us = clock_now_us (&testbed->router.daemon.clock) - start_us;
  CU_ASSERT_TRUE (counter_value (sent) > 0);
  CU_ASSERT_TRUE (counter_value (sent) <= 2000 + 2000 * elapsed_us / CLOCK_US_PER_S);
}

static bool
is_drained (void *context)
{
  const testbed_node_t *node = context;

  return node->drained;
}

/* listener_is_closed() - the router closes its listener a while after the drain begins; from then
 * on it only waits for its calls */
static bool
listener_is_closed (void *context)
{
  g_auto (testbed_answer_t) answer = { 0 };

  testbed_ask (context, &(testbed_request_t){ .path = "/livez" }, &answer);
  bool closed = !answer.end.complete && answer.end.reason == VERDICT_REASON_CONNECT;
  return closed;
}

/* A sidecar and the router are drained while an engine runs a request. The caller must get the
 * whole answer, and only then may the daemons report that they are drained. */
static void
stops_gracefully (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  g_auto (testbed_answer_t) answer = { 0 };

  testbed_set_mode (testbed, TESTBED_HOLD);
  testbed_send (testbed, &CHAT, &answer);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, one_request_held, testbed));
  testbed_engine_t *engine = holding_engine (testbed);
  testbed_node_t *sidecar = &testbed->sidecars[engine - testbed->engines];
  testbed_send_flag (sidecar, MESSAGE_DRAIN, true);
  testbed_send_flag (&testbed->router, MESSAGE_DRAIN, true);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, listener_is_closed, testbed));
  CU_ASSERT_FALSE (sidecar->drained);
  CU_ASSERT_FALSE (testbed->router.drained);
  testbed_release (engine);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, testbed_is_done, &answer));
  CU_ASSERT_TRUE (answer.end.complete);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, is_drained, sidecar));
  CU_ASSERT_TRUE (testbed_wait_until (testbed, is_drained, &testbed->router));
}

/* The engines close the connection instead of answering, but still pass health checks. A
 * non-idempotent request must not be sent to another engine, and its caller is told that it may
 * have run. An idempotent request is tried at other engines. */
static void
retries_only_idempotent_requests (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();

  testbed_set_mode (testbed, TESTBED_DISCONNECT);
  ask_status (testbed, &BOOK, 502, "may_have_run");
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 1);
  CU_ASSERT_EQUAL (testbed->crash_mark_count, 0);
  ask_status (testbed, &LOOK, 502, "may_have_run");
  CU_ASSERT_TRUE (testbed_count_received (testbed) > 2);
}

/* An engine answers with the id of another request. The answer belongs to another caller, so not a
 * byte of it may reach this one. */
static void
never_relays_an_answer_with_another_id (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  g_auto (testbed_answer_t) answer = { 0 };

  testbed_set_mode (testbed, TESTBED_WRONG_ID);
  testbed_ask (testbed, &BOOK, &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  CU_ASSERT_PTR_NULL (strstr (answer.body->str, "somebody"));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer.body->str, "\"crossed\""));
}

/* An engine's stream breaks off after its first part went to the caller. The caller must see a
 * broken connection, never a regular end after a partial answer. */
static void
never_completes_an_interrupted_stream (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  g_auto (testbed_answer_t) answer = { 0 };

  testbed_set_mode (testbed, TESTBED_DISCONNECT_MID_STREAM);
  testbed_ask (testbed, &CHAT, &answer);
  CU_ASSERT_TRUE (answer.done);
  CU_ASSERT_FALSE (answer.end.complete);
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 1);
}

/* A request crashes each engine that runs it. After two engines it is refused permanently, and so
 * is every resend, without Retry-After. The third engine never receives it. */
static void
a_crashing_request_costs_at_most_two_engines (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  testbed_answer_t answer;

  testbed_set_mode (testbed, TESTBED_CRASH);
  for (uint32_t i = 0; i < 3; i++)
    {
      testbed_ask (testbed, &CHAT, &answer);
      CU_ASSERT_EQUAL (answer.status, 422);
      CU_ASSERT_STRING_EQUAL (answer.retry_after, "");
      CU_ASSERT_PTR_NOT_NULL (strstr (answer.body->str, "\"suspect\""));
      testbed_answer_clear (&answer);
    }
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 2);
  CU_ASSERT_EQUAL (testbed->crash_mark_count, 2);
}

/* The same with a non-idempotent request, which the router does not retry: each send crashes one
 * engine. The answer to the second one is final already; the third one runs nowhere. */
static void
resends_cost_at_most_two_engines (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();

  testbed_set_mode (testbed, TESTBED_CRASH);
  ask_status (testbed, &BOOK, 502, "may_have_run");
  ask_status (testbed, &BOOK, 422, "may_have_run");
  ask_status (testbed, &BOOK, 422, "not_run");
  ask_status (testbed, &BOOK, 422, "not_run");
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 2);
}

#define PARALLEL_REQUESTS 6

static bool
parallel_requests_held (void *context)
{
  return testbed_count_held (context) == PARALLEL_REQUESTS;
}

typedef struct
{
  const testbed_t *testbed;
  uint32_t held_before[TESTBED_SIDECARS];
} retried_t;

static bool
one_retried_on_each (void *context)
{
  const retried_t *retried = context;

  return retried->testbed->engines[1].held_requests->len == retried->held_before[1] + 1 &&
         retried->testbed->engines[2].held_requests->len == retried->held_before[2] + 1;
}

/* Several idempotent requests run on an engine when it crashes, and nothing shows which one caused
 * it. They are retried, but no two on one engine: after a second crash there, both would be refused
 * permanently, also the one that did not cause it. A request that finds no engine without another
 * suspect is told when to retry. */
static void
runs_suspect_requests_on_separate_engines (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  retried_t retried = { .testbed = testbed };
  testbed_answer_t answers[PARALLEL_REQUESTS];
  char chats[PARALLEL_REQUESTS][8];

  testbed_set_mode (testbed, TESTBED_HOLD);
  for (uint32_t i = 0; i < PARALLEL_REQUESTS; i++)
    {
      g_snprintf (chats[i], sizeof chats[i], "q%u", i);
      testbed_send (testbed,
                    &(testbed_request_t){ .path = CHAT.path, .body = CHAT.body, .chat = chats[i] },
                    &answers[i]);
    }
  CU_ASSERT_TRUE (testbed_wait_until (testbed, parallel_requests_held, testbed));
  CU_ASSERT_TRUE (testbed->engines[0].held_requests->len >= 2);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    retried.held_before[i] = testbed->engines[i].held_requests->len;
  testbed_crash (&testbed->engines[0]);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, one_retried_on_each, &retried));
  for (uint32_t i = 0; i < PARALLEL_REQUESTS; i++)
    testbed_answer_clear (&answers[i]);
}

/* An idempotent request was answered, so its repetitions are placed at random; then it crashes each
 * engine that runs it. Its caller resends it through the same router before the other sidecars have
 * heard of the crash. The router must remember the crash, so that the third engine is not lost
 * wherever the request is placed. */
static void
an_answered_request_costs_at_most_two_engines (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();

  for (uint32_t i = 0; i < 5; i++)
    ask_status (testbed, &LOOK, 200, "ran");
  uint32_t answered = testbed_count_received (testbed);
  testbed_set_mode (testbed, TESTBED_CRASH);
  for (uint32_t i = 0; i < 4; i++)
    {
      testbed_answer_t answer;

      testbed_ask (testbed, &LOOK, &answer);
      CU_ASSERT_EQUAL (answer.status, 422);
      testbed_answer_clear (&answer);
    }
  CU_ASSERT_EQUAL (testbed_count_received (testbed) - answered, 2);
}

static bool
one_request_cancelled (void *context)
{
  const testbed_t *testbed = context;
  uint32_t cancelled = 0;

  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    cancelled += testbed->engines[i].cancelled_count;
  return cancelled == 1;
}

/* A caller disconnects. Its idempotent request must be cancelled at the engine, to free capacity.
 */
static void
cancels_an_idempotent_request_when_its_caller_disconnects (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  testbed_answer_t answer;

  testbed_set_mode (testbed, TESTBED_HOLD);
  testbed_send (testbed, &CHAT, &answer);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, one_request_held, testbed));
  testbed_answer_clear (&answer);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, one_request_cancelled, testbed));
}

static bool
claim_is_done (void *context)
{
  const testbed_t *testbed = context;
  GHashTableIter iter;
  gpointer state;

  g_hash_table_iter_init (&iter, testbed->claims);
  return g_hash_table_iter_next (&iter, NULL, &state) && GPOINTER_TO_UINT (state) == CLAIM_DONE;
}

/* A caller disconnects while its non-idempotent request runs, and sends it again with the same
 * idempotency key. The first request must run to its end, and the engines must receive it once. The
 * resends are told that it may have run, and after its end that it ran. */
static void
a_non_idempotent_request_outlives_its_caller (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  testbed_answer_t answer;
  testbed_request_t keyed = BOOK;

  keyed.idempotency_key = "order-7";
  testbed_set_mode (testbed, TESTBED_HOLD);
  testbed_send (testbed, &keyed, &answer);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, one_request_held, testbed));
  testbed_answer_clear (&answer);
  ask_status (testbed, &keyed, 409, "may_have_run");
  CU_ASSERT_FALSE (one_request_cancelled (testbed));
  testbed_release (holding_engine (testbed));
  CU_ASSERT_TRUE (testbed_wait_until (testbed, claim_is_done, testbed));
  ask_status (testbed, &keyed, 409, "ran");
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 1);
}

/* The platform's log is down. A request with an idempotency key cannot be claimed and is refused as
 * not run; requests without a key are still served. */
static void
refuses_idempotency_keys_while_the_log_is_down (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  testbed_answer_t answer;
  testbed_request_t keyed = BOOK;

  testbed->log_down = true;
  keyed.idempotency_key = "order-8";
  testbed_ask (testbed, &keyed, &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT_STRING_EQUAL (answer.verdict, "not_run");
  CU_ASSERT_STRING_NOT_EQUAL (answer.retry_after, "");
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 0);
  testbed_answer_clear (&answer);
  ask_status (testbed, &BOOK, 200, "ran");
  ask_status (testbed, &LOOK, 200, "ran");
}

/* An engine does not answer. The caller of a non-idempotent request is told at the deadline that it
 * may have run, and no other engine is tried. */
static void
answers_at_the_deadline (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  testbed_request_t soon = BOOK;

  testbed_set_mode (testbed, TESTBED_HOLD);
  soon.deadline_ms = "150";
  ask_status (testbed, &soon, 504, "may_have_run");
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 1);
}

/* A client repeats the same idempotent request, such as a status check. If requests were placed by
 * their fingerprint alone, all repetitions would go to the same two of three engines. */
static void
spreads_a_repeated_request_over_all_engines (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();

  for (uint32_t i = 0; i < 60; i++)
    ask_status (testbed, &LOOK, 200, "ran");
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    CU_ASSERT_TRUE (testbed->engines[i].request_count >= 8);
}

/* The host of a chat's home is frozen: its kernel accepts connections, but nothing answers. Without
 * a health check of the host, each of its chats would wait until the deadline of eight seconds. An
 * idempotent request must be answered by another engine within two seconds; a non-idempotent one
 * must not be retried, and is answered at its deadline. */
static void
avoids_a_frozen_host (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  testbed_answer_t answer;
  testbed_request_t soon = BOOK;
  address_t black_hole;

  uint32_t home = testbed_ask_engine (testbed, &CHAT);
  evutil_socket_t listener = testbed_open_black_hole (&black_hole);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    if (i == home)
      testbed->hosts[i].http = black_hole;
  uint64_t start_us = clock_now_us (&testbed->router.daemon.clock);
  testbed_ask (testbed, &CHAT, &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_NOT_EQUAL (testbed_engine_index (&answer), home);
  CU_ASSERT_TRUE (clock_now_us (&testbed->router.daemon.clock) - start_us < 2 * CLOCK_US_PER_S);
  testbed_answer_clear (&answer);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    testbed->hosts[i].http = black_hole;
  soon.deadline_ms = "1200";
  ask_status (testbed, &soon, 504, "may_have_run");
  evutil_closesocket (listener);
}

#define SILENT_PROBES 4

/** struct silent_request - a request at a host whose kernel accepts connections */
#define HEARD_LATE_US (ROUTER_HOST_PROBE_DELAY_US / 2)

typedef struct
{
  testbed_t *testbed;
  testbed_answer_t answer;
  evutil_socket_t listener;
  evutil_socket_t fd; /* the request came on it */
  gint64 heard_us;    /* when the other hosts answer last */
  char text[8192];
} silent_request_t;

static bool
was_probed_often (void *context)
{
  const silent_request_t *silent = context;
  counter_registry_t *counters = silent->testbed->router.daemon.counters;

  return counter_value (counter_get (counters, "medlarplank_probes_total", "")) >= SILENT_PROBES;
}

/* Accepts all connections to the host until one has the request. */
static bool
accept_request (silent_request_t *silent)
{
  ssize_t bytes;

  while ((silent->fd = accept (silent->listener, NULL, NULL)) >= 0)
    {
      bytes = recv (silent->fd, silent->text, sizeof silent->text - 1, MSG_DONTWAIT);
      silent->text[MAX (bytes, 0)] = '\0';
      if (strncmp (silent->text, "POST", strlen ("POST")) == 0)
        return true;
      evutil_closesocket (silent->fd);
    }
  return false;
}

static void
answer_late (silent_request_t *silent)
{
  const char *hop = strstr (silent->text, HOP_HEADER ": ");
  g_autofree char *text = NULL;

  CU_ASSERT_PTR_NOT_NULL_FATAL (hop);
  text = g_strdup_printf ("HTTP/1.1 200 OK\r\n" HOP_ATTEMPT_HEADER ": %.32s\r\n" VERDICT_HEADER
                          ": ran\r\nContent-Length: 4\r\n\r\nlate",
                          hop + strlen (HOP_HEADER ": "));
  CU_ASSERT (send (silent->fd, text, strlen (text), MSG_NOSIGNAL) == (ssize_t)strlen (text));
}

/* The request stays until its host goes on. */
static void
check_stays (silent_request_t *silent)
{
  CU_ASSERT_TRUE (testbed_wait_until (silent->testbed, was_probed_often, silent));
  evutil_make_socket_nonblocking (silent->listener);
  if (!silent->answer.done && accept_request (silent))
    answer_late (silent);
  CU_ASSERT_TRUE (testbed_wait_until (silent->testbed, testbed_is_done, &silent->answer));
  CU_ASSERT_EQUAL (silent->answer.status, 200);
  CU_ASSERT_STRING_EQUAL (silent->answer.body->str, "late");
  evutil_closesocket (silent->listener);
  if (silent->fd >= 0)
    evutil_closesocket (silent->fd);
  testbed_answer_clear (&silent->answer);
}

static bool
has_waited (void *context)
{
  const silent_request_t *silent = context;

  return g_get_monotonic_time () >= silent->heard_us;
}

static void
check_stays_while_all_are_silent (bool heard_late)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  silent_request_t silent = { .testbed = testbed, .fd = -1 };
  address_t black_hole;
  uint32_t home = testbed_ask_engine (testbed, &CHAT);

  silent.listener = testbed_open_black_hole (&black_hole);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    testbed->hosts[i].http = black_hole;
  testbed_send (testbed, &CHAT, &silent.answer);
  silent.heard_us = g_get_monotonic_time () + HEARD_LATE_US;
  CU_ASSERT_TRUE (testbed_wait_until (testbed, has_waited, &silent));
  for (uint32_t i = 0; heard_late && i < TESTBED_SIDECARS; i++)
    if (i != home)
      router_host_probe_record_answer (testbed->router.router_task, testbed->hosts[i].hash);
  check_stays (&silent);
}

/* Guards against a request that is revoked at a silent host, though all others are silent too. */
static void
stays_while_all_hosts_are_silent (void)
{
  check_stays_while_all_are_silent (false);
}

/* Likewise where the others were heard of after the request was sent. */
static void
stays_while_hosts_are_silent_that_answered_last (void)
{
  check_stays_while_all_are_silent (true);
}

/* Guards against a request that is revoked at a silent host, and only then found to have no retry.
 */
static void
stays_at_a_silent_host_without_a_retry (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  silent_request_t silent = { .testbed = testbed, .fd = -1 };
  forwarding_budget_t *budget = &testbed->router.router_task->retry_budget;
  address_t black_hole;
  uint32_t home = testbed_ask_engine (testbed, &CHAT);

  silent.listener = testbed_open_black_hole (&black_hole);
  testbed->hosts[home].http = black_hole;
  budget->tokens_milli = 0;
  for (uint32_t i = 0; i < FORWARDING_RESERVES_MAX; i++)
    budget->reserves[i] = (forwarding_reserve_t){ .account_hash = i + 1 };
  budget->reserve_count = FORWARDING_RESERVES_MAX;
  testbed_send (testbed, &CHAT, &silent.answer);
  check_stays (&silent);
}

static bool
is_silent_everywhere (void *context)
{
  const testbed_t *testbed = context;

  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    if (!router_host_probe_is_silent (testbed->router.router_task, testbed->hosts[i].hash))
      return false;
  return true;
}

/* Guards against a request that stays at a dead host though another one that was silent goes on. */
static void
leaves_a_dead_host_when_another_goes_on (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  testbed_answer_t answer;
  address_t sound[TESTBED_SIDECARS];
  address_t black_hole;
  uint32_t home = testbed_ask_engine (testbed, &CHAT);
  evutil_socket_t listener = testbed_open_black_hole (&black_hole);

  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    {
      sound[i] = testbed->hosts[i].http;
      testbed->hosts[i].http = black_hole;
    }
  testbed_send (testbed, &CHAT, &answer);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, is_silent_everywhere, testbed));
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    if (i != home)
      testbed->hosts[i].http = sound[i];
  CU_ASSERT_TRUE (testbed_wait_until (testbed, testbed_is_done, &answer));
  CU_ASSERT_EQUAL (answer.status, 200);
  testbed_answer_clear (&answer);
  evutil_closesocket (listener);
}

static bool
sidecars_refuse (void *context)
{
  g_auto (testbed_answer_t) answer = { 0 };

  testbed_ask (context, &LOOK, &answer);
  bool refused = answer.status == 503;
  return refused;
}

/* The processes of the sidecars were paused. Until their control tasks have fresh data again, they
 * refuse all requests as not run. */
static void
refuses_requests_after_a_pause (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();

  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    testbed_send_flag (&testbed->sidecars[i], MESSAGE_FRESHNESS, false);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, sidecars_refuse, testbed));
  uint32_t runs = testbed_count_received (testbed);
  ask_status (testbed, &BOOK, 503, "not_run");
  CU_ASSERT_EQUAL (testbed_count_received (testbed), runs);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    testbed_send_flag (&testbed->sidecars[i], MESSAGE_FRESHNESS, true);
  ask_status (testbed, &BOOK, 200, "ran");
}

static bool
on_status (int status, struct evkeyvalq *headers, void *context)
{
  (void)headers;
  *(int *)context = status;
  return true;
}

static bool
has_status (void *context)
{
  return *(int *)context != 0;
}

static void
ignore_end (const http_client_result_t *end, void *context)
{
  (void)end;
  (void)context;
}

static int
call_sidecar (testbed_t *testbed,
              const http_client_header_t *headers,
              uint32_t count,
              const char *target)
{
  int status = 0;
  http_client_options_t options = { .address = &testbed->hosts[0].http,
                                    .method = "POST",
                                    .target = target,
                                    .headers = headers,
                                    .header_count = count,
                                    .on_head = on_status,
                                    .on_end = ignore_end,
                                    .context = &status };

  http_client_start_call (testbed->http_client, &options);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, has_status, &status));
  return status;
}

/* A client without the fleet key sends a request, a revoke, a drain or a manifest query directly to
 * a sidecar. All must be refused. */
static void
sidecars_accept_only_sealed_requests (void)
{
  static const http_client_header_t FORGED[] = { { "X-Medlarplank-Seal", "00" },
                                                 { "X-Medlarplank-Account", "first" } };
  g_autoptr (testbed_t) testbed = testbed_new ();

  CU_ASSERT_EQUAL (call_sidecar (testbed, FORGED, 2, "/look"), 403);
  CU_ASSERT_EQUAL (call_sidecar (testbed, FORGED, 2, HOP_REVOKE_PATH "?attempt=1"), 403);
  CU_ASSERT_EQUAL (call_sidecar (testbed, FORGED, 2, "/medlarplank/drain?time=1"), 403);
  CU_ASSERT_EQUAL (call_sidecar (testbed, FORGED, 2, "/medlarplank/manifest"), 403);
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 0);
}

/* A router revoked an attempt before it arrived, and after "not run" tried another engine. If the
 * attempt then arrives after all, it must be refused, or the request would run twice. */
static void
refuses_a_revoked_attempt (void)
{
  static const char TARGET[] = HOP_REVOKE_PATH "?attempt=000000000000000a000000000000000b&age_ms=5";
  g_autoptr (testbed_t) testbed = testbed_new ();
  char seal[CALL_SEAL_BYTES];
  http_client_header_t seal_header = { .name = CALL_SEAL_HEADER, .value = seal };
  hop_t hop = { .attempt = { 0xa, 0xb },
                .service = "pool",
                .account = "first",
                .class_name = "short",
                .deadline_ms = 1000 };
  hop_header_t written[HOP_HEADER_COUNT];
  http_client_header_t headers[HOP_HEADER_COUNT];

  hop.body_hash = digest_request ("POST", "/book", "", 0);
  uint32_t count = hop_write (&hop, TESTBED_FLEET_KEY, written);
  for (uint32_t i = 0; i < count; i++)
    headers[i] = (http_client_header_t){ .name = written[i].name, .value = written[i].value };
  call_seal_compute (&(sealed_call_t){ .host = "e0", .method = "POST", .target = TARGET },
                     TESTBED_FLEET_KEY, seal);
  CU_ASSERT_EQUAL (call_sidecar (testbed, &seal_header, 1, TARGET), 200);
  CU_ASSERT_EQUAL (call_sidecar (testbed, headers, count, "/book"), 503);
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "relays the answer", relays_the_answer },
    { "refuses invalid requests", refuses_invalid_requests },
    { "tries another host when one is leaving", tries_another_host_when_one_is_leaving },
    { "spreads a burst over all engines", spreads_a_burst_over_all_engines },
    { "load samples stay within the control budget", load_samples_stay_within_the_control_budget },
    { "stops gracefully", stops_gracefully },
    { "retries only idempotent requests", retries_only_idempotent_requests },
    { "never relays an answer with another id", never_relays_an_answer_with_another_id },
    { "never completes an interrupted stream", never_completes_an_interrupted_stream },
    { "a crashing request costs at most two engines",
      a_crashing_request_costs_at_most_two_engines },
    { "resends cost at most two engines", resends_cost_at_most_two_engines },
    { "runs suspect requests on separate engines", runs_suspect_requests_on_separate_engines },
    { "an answered request costs at most two engines",
      an_answered_request_costs_at_most_two_engines },
    { "cancels an idempotent request when its caller disconnects",
      cancels_an_idempotent_request_when_its_caller_disconnects },
    { "a non idempotent request outlives its caller",
      a_non_idempotent_request_outlives_its_caller },
    { "refuses idempotency keys while the log is down",
      refuses_idempotency_keys_while_the_log_is_down },
    { "answers at the deadline", answers_at_the_deadline },
    { "spreads a repeated request over all engines", spreads_a_repeated_request_over_all_engines },
    { "avoids a frozen host", avoids_a_frozen_host },
    { "stays while all hosts are silent", stays_while_all_hosts_are_silent },
    { "stays while hosts are silent that answered last",
      stays_while_hosts_are_silent_that_answered_last },
    { "stays at a silent host without a retry", stays_at_a_silent_host_without_a_retry },
    { "leaves a dead host when another goes on", leaves_a_dead_host_when_another_goes_on },
    { "refuses requests after a pause", refuses_requests_after_a_pause },
    { "sidecars accept only sealed requests", sidecars_accept_only_sealed_requests },
    { "refuses a revoked attempt", refuses_a_revoked_attempt },
    CU_TEST_INFO_NULL,
  };

  log_init ("test-path", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path", tests);
}
