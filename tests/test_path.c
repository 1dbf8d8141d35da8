#include "path_crowd.h"
#include "suite.h"

#include "request/policy/digest.h"
#include "request/hop.h"
#include "request/policy/order.h"

#include <string.h>

#define CHAT_BODY "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}"

static const pfl_request_t LOOK = { .path = "/look" };
static const pfl_request_t BOOK = { .path = "/book", .body = "lot 7" };
static const pfl_request_t TALK = { .path = "/v1/chat/completions",
                                    .body = CHAT_BODY,
                                    .chat = "c1" };

static void
ask_status (pfl_t *fleet, const pfl_request_t *request, int status, const char *verdict)
{
  g_auto (pfl_answer_t) answer = { 0 };

  pfl_ask (fleet, request, &answer);
  CU_ASSERT_TRUE (answer.end.whole);
  CU_ASSERT_EQUAL (answer.status, status);
  CU_ASSERT_STRING_EQUAL (answer.verdict, verdict);
}

static void
relays_the_answer (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  pfl_answer_t answer;

  pfl_ask (fleet, &TALK, &answer);
  CU_ASSERT_TRUE (answer.end.whole);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_STRING_EQUAL (answer.body->str, "ran:" CHAT_BODY);
  CU_ASSERT_STRING_EQUAL (answer.verdict, "ran");
  CU_ASSERT_EQUAL (strlen (answer.request), 32);
  uint32_t engine = pfl_engine_named (&answer);
  CU_ASSERT_EQUAL (fleet->engines[engine].run_count, 1);
  CU_ASSERT_FALSE (fleet->engines[engine].saw_secret);
  pfl_answer_clear (&answer);
  for (uint32_t i = 0; i < 5; i++)
    {
      CU_ASSERT_EQUAL (pfl_ask_engine (fleet, &TALK), engine);
    }
}

static void
refuses_what_it_cannot_judge (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();

  ask_status (fleet, &(pfl_request_t){ .path = "/look", .key = "nobody" }, 401, "not_run");
  ask_status (fleet, &(pfl_request_t){ .path = "/none" }, 404, "not_run");
  ask_status (fleet, &(pfl_request_t){ .path = "/look", .klass = "none" }, 400, "not_run");
  ask_status (fleet, &(pfl_request_t){ .path = "/look", .deadline_ms = "0" }, 400, "not_run");
  ask_status (fleet, &(pfl_request_t){ .path = "/v1/chat/completions", .body = "{" }, 400,
              "not_run");
  CU_ASSERT_EQUAL (pfl_runs (fleet), 0);
}

/* The host of a chat's home begins to leave while routers still think it live. Its sidecar refuses
 * the request for certain, the router asks the next, and the caller sees nothing of it. */
static void
passes_by_a_leaving_host (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  g_auto (pfl_answer_t) answer = { 0 };

  uint32_t home = pfl_ask_engine (fleet, &TALK);
  pfl_flag (&fleet->sidecars[home], MSG_DRAIN, true);
  pfl_ask (fleet, &TALK, &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_NOT_EQUAL (pfl_engine_named (&answer), home);
  CU_ASSERT_EQUAL (fleet->engines[home].run_count, 1);
}

static bool
one_held (void *context)
{
  return pfl_held (context) == 1;
}

static pfl_engine_t *
holder (pfl_t *fleet)
{
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    if (fleet->engines[i].held->len > 0)
      return &fleet->engines[i];
  return NULL;
}

#define BURST 12
#define OVERLOAD 90

static bool
all_held (void *context)
{
  return pfl_held (context) == BURST;
}

/* Requests arrive all at once at an idle service, half of what its engines can take, and no sidecar
 * hears of the others' load by the exchange. The refusals of the first sidecars bring the others to
 * know that the mean has risen: all requests run at once, and evenly, and none is refused. */
static void
a_burst_finds_room (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  pfl_answer_t answers[BURST];
  char chats[BURST][8];

  pfl_set_all (fleet, PFL_HANG);
  for (uint32_t i = 0; i < BURST; i++)
    {
      g_snprintf (chats[i], sizeof chats[i], "b%u", i);
      pfl_send (fleet, &(pfl_request_t){ .path = TALK.path, .body = TALK.body, .chat = chats[i] },
                &answers[i]);
    }
  CU_ASSERT_TRUE (pfl_until (fleet, all_held, fleet));
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    {
      CU_ASSERT_TRUE (fleet->engines[i].held->len <= 2 * BURST / PFL_SIDECARS);
      pfl_release (&fleet->engines[i]);
    }
  for (uint32_t i = 0; i < BURST; i++)
    {
      CU_ASSERT_TRUE (pfl_until (fleet, pfl_done, &answers[i]));
      CU_ASSERT_EQUAL (answers[i].status, 200);
      pfl_answer_clear (&answers[i]);
    }
}

/* All engines are full, so that each request is refused over the bound by one sidecar after the
 * other. Each hop would carry the loads that the router heard of, and an overload multiply the
 * control traffic. They are held to the budget: a second's worth, and what was gained meanwhile. */
static void
loads_on_hops_keep_the_budget (void)
{
  static const pfl_request_t SOON = { .path = "/look", .deadline_ms = "300" };
  g_autoptr (pfl_t) fleet = pfl_new ();
  cnt_t *sent = cnt_get (fleet->router.dmn.counters, "medlarplank_control_bytes_sent_total", "");
  uint64_t start_us = clk_now_us (&fleet->router.dmn.clk);
  pfl_answer_t answers[OVERLOAD];

  pfl_set_all (fleet, PFL_HANG);
  for (uint32_t i = 0; i < OVERLOAD; i++)
    pfl_send (fleet, &SOON, &answers[i]);
  for (uint32_t i = 0; i < OVERLOAD; i++)
    {
      CU_ASSERT_TRUE (pfl_until (fleet, pfl_done, &answers[i]));
      pfl_answer_clear (&answers[i]);
    }
  uint64_t elapsed_us = clk_now_us (&fleet->router.dmn.clk) - start_us;
  CU_ASSERT_TRUE (cnt_value (sent) > 0);
  CU_ASSERT_TRUE (cnt_value (sent) <= 2000 + 2000 * elapsed_us / CLK_US_PER_S);
}

static bool
is_drained (void *context)
{
  const pfl_daemon_t *daemon = context;

  return daemon->drained;
}

/* The router's listener closes when it has lingered: from then on only its calls hold it. */
static bool
listener_is_gone (void *context)
{
  g_auto (pfl_answer_t) answer = { 0 };

  pfl_ask (context, &(pfl_request_t){ .path = "/livez" }, &answer);
  bool gone = !answer.end.whole && answer.end.reason == VRD_REASON_CONNECT;
  return gone;
}

/* A host is stopped while its engine works on a request. The caller must get its whole answer, and
 * only then may the daemon say that it is done; the same at the router. */
static void
stops_gracefully (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  g_auto (pfl_answer_t) answer = { 0 };

  pfl_set_all (fleet, PFL_HANG);
  pfl_send (fleet, &TALK, &answer);
  CU_ASSERT_TRUE (pfl_until (fleet, one_held, fleet));
  pfl_engine_t *engine = holder (fleet);
  pfl_daemon_t *sidecar = &fleet->sidecars[engine - fleet->engines];
  pfl_flag (sidecar, MSG_DRAIN, true);
  pfl_flag (&fleet->router, MSG_DRAIN, true);
  CU_ASSERT_TRUE (pfl_until (fleet, listener_is_gone, fleet));
  CU_ASSERT_FALSE (sidecar->drained);
  CU_ASSERT_FALSE (fleet->router.drained);
  pfl_release (engine);
  CU_ASSERT_TRUE (pfl_until (fleet, pfl_done, &answer));
  CU_ASSERT_TRUE (answer.end.whole);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_TRUE (pfl_until (fleet, is_drained, sidecar));
  CU_ASSERT_TRUE (pfl_until (fleet, is_drained, &fleet->router));
}

/* The engine closes the connection instead of answering, and is up again at once. A lookup is tried
 * at another engine and answered; a booking must not be, and its caller hears that it may have run.
 */
static void
tries_only_idempotent_again (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();

  pfl_set_all (fleet, PFL_CUT);
  ask_status (fleet, &BOOK, 502, "may_have_run");
  CU_ASSERT_EQUAL (pfl_runs (fleet), 1);
  CU_ASSERT_EQUAL (fleet->marks, 0);
  ask_status (fleet, &LOOK, 502, "may_have_run");
  CU_ASSERT_TRUE (pfl_runs (fleet) > 2);
}

/* An engine answers under another request's id. What it says belongs to another caller: not a byte
 * of it may reach this one. */
static void
never_relays_a_crossed_answer (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  g_auto (pfl_answer_t) answer = { 0 };

  pfl_set_all (fleet, PFL_CROSSED);
  pfl_ask (fleet, &BOOK, &answer);
  CU_ASSERT_EQUAL (answer.status, 502);
  CU_ASSERT_PTR_NULL (strstr (answer.body->str, "somebody"));
  CU_ASSERT_PTR_NOT_NULL (strstr (answer.body->str, "\"crossed\""));
}

/* A stream breaks off at the engine after its first part went to the caller. The caller sees the
 * error and a broken connection, never a proper end after half an answer. */
static void
never_ends_a_cut_stream (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  g_auto (pfl_answer_t) answer = { 0 };

  pfl_set_all (fleet, PFL_CUT_LATE);
  pfl_ask (fleet, &TALK, &answer);
  CU_ASSERT_TRUE (answer.done);
  CU_ASSERT_FALSE (answer.end.whole);
  CU_ASSERT_EQUAL (pfl_runs (fleet), 1);
}

/* A request crashes each engine that runs it. Two are lost; then it is refused for good, and so is
 * every resend, with no word of coming back. The third engine never sees it. */
static void
loses_two_engines_at_most (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  pfl_answer_t answer;

  pfl_set_all (fleet, PFL_CRASH);
  for (uint32_t i = 0; i < 3; i++)
    {
      pfl_ask (fleet, &TALK, &answer);
      CU_ASSERT_EQUAL (answer.status, 422);
      CU_ASSERT_STRING_EQUAL (answer.retry_after, "");
      CU_ASSERT_PTR_NOT_NULL (strstr (answer.body->str, "\"suspect\""));
      pfl_answer_clear (&answer);
    }
  CU_ASSERT_EQUAL (pfl_runs (fleet), 2);
  CU_ASSERT_EQUAL (fleet->marks, 2);
}

/* The same with a booking, which is never tried again on its own: each send loses one engine. The
 * second already hears that it was the last; the third runs nowhere. */
static void
loses_two_engines_to_resends (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();

  pfl_set_all (fleet, PFL_CRASH);
  ask_status (fleet, &BOOK, 502, "may_have_run");
  ask_status (fleet, &BOOK, 422, "may_have_run");
  ask_status (fleet, &BOOK, 422, "not_run");
  ask_status (fleet, &BOOK, 422, "not_run");
  CU_ASSERT_EQUAL (pfl_runs (fleet), 2);
}

#define FEW 6

static bool
few_held (void *context)
{
  return pfl_held (context) == FEW;
}

typedef struct
{
  const pfl_t *fleet;
  uint32_t before[PFL_SIDECARS];
} moved_t;

static bool
one_moved_to_each (void *context)
{
  const moved_t *moved = context;

  return moved->fleet->engines[1].held->len == moved->before[1] + 1 &&
         moved->fleet->engines[2].held->len == moved->before[2] + 1;
}

/* Some lookups run on an engine when it crashes; one of them did it, and nobody knows which. They
 * are tried again, but never two on one engine: a second crash there would refuse the innocent one
 * for good as well. One that finds no engine of its own hears when to come back. */
static void
keeps_suspects_apart (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  moved_t moved = { .fleet = fleet };
  pfl_answer_t answers[FEW];
  char chats[FEW][8];

  pfl_set_all (fleet, PFL_HANG);
  for (uint32_t i = 0; i < FEW; i++)
    {
      g_snprintf (chats[i], sizeof chats[i], "q%u", i);
      pfl_send (fleet, &(pfl_request_t){ .path = TALK.path, .body = TALK.body, .chat = chats[i] },
                &answers[i]);
    }
  CU_ASSERT_TRUE (pfl_until (fleet, few_held, fleet));
  CU_ASSERT_TRUE (fleet->engines[0].held->len >= 2);
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    moved.before[i] = fleet->engines[i].held->len;
  pfl_crash (&fleet->engines[0]);
  CU_ASSERT_TRUE (pfl_until (fleet, one_moved_to_each, &moved));
  for (uint32_t i = 0; i < FEW; i++)
    pfl_answer_clear (&answers[i]);
}

/* A lookup was answered, so it is placed at random; then it crashes each engine that runs it. Its
 * caller sends it again through the same router before the other sidecars heard of the crash. The
 * router remembers whom it crashed, so that the third engine is not lost wherever it is placed. */
static void
loses_two_engines_to_what_was_answered (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();

  for (uint32_t i = 0; i < 5; i++)
    ask_status (fleet, &LOOK, 200, "ran");
  uint32_t answered = pfl_runs (fleet);
  pfl_set_all (fleet, PFL_CRASH);
  for (uint32_t i = 0; i < 4; i++)
    {
      pfl_answer_t answer;

      pfl_ask (fleet, &LOOK, &answer);
      CU_ASSERT_EQUAL (answer.status, 422);
      pfl_answer_clear (&answer);
    }
  CU_ASSERT_EQUAL (pfl_runs (fleet) - answered, 2);
}

static bool
one_gone (void *context)
{
  const pfl_t *fleet = context;
  uint32_t gone = 0;

  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    gone += fleet->engines[i].gone_count;
  return gone == 1;
}

/* A caller hangs up. Its lookup is taken from the engine, which has others to serve. */
static void
cancels_for_a_caller_that_left (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  pfl_answer_t answer;

  pfl_set_all (fleet, PFL_HANG);
  pfl_send (fleet, &TALK, &answer);
  CU_ASSERT_TRUE (pfl_until (fleet, one_held, fleet));
  pfl_answer_clear (&answer);
  CU_ASSERT_TRUE (pfl_until (fleet, one_gone, fleet));
}

static bool
claim_is_done (void *context)
{
  const pfl_t *fleet = context;
  GHashTableIter iter;
  gpointer state;

  g_hash_table_iter_init (&iter, fleet->claims);
  return g_hash_table_iter_next (&iter, NULL, &state) && GPOINTER_TO_UINT (state) == CLM_DONE;
}

/* A caller hangs up on a booking that runs, and sends it again with the same key. The first goes on
 * to its end; the second hears that it ran, and the engines saw it once. */
static void
lets_a_booking_finish (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  pfl_answer_t answer;
  pfl_request_t keyed = BOOK;

  keyed.idempotency_key = "order-7";
  pfl_set_all (fleet, PFL_HANG);
  pfl_send (fleet, &keyed, &answer);
  CU_ASSERT_TRUE (pfl_until (fleet, one_held, fleet));
  pfl_answer_clear (&answer);
  ask_status (fleet, &keyed, 409, "may_have_run");
  CU_ASSERT_FALSE (one_gone (fleet));
  pfl_release (holder (fleet));
  CU_ASSERT_TRUE (pfl_until (fleet, claim_is_done, fleet));
  ask_status (fleet, &keyed, 409, "ran");
  CU_ASSERT_EQUAL (pfl_runs (fleet), 1);
}

/* The platform's log is out. A keyed booking cannot be claimed and is refused as not run, at once;
 * one without a key and all lookups go on. */
static void
refuses_keys_while_the_log_is_out (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  pfl_answer_t answer;
  pfl_request_t keyed = BOOK;

  fleet->log_down = true;
  keyed.idempotency_key = "order-8";
  pfl_ask (fleet, &keyed, &answer);
  CU_ASSERT_EQUAL (answer.status, 503);
  CU_ASSERT_STRING_EQUAL (answer.verdict, "not_run");
  CU_ASSERT_STRING_NOT_EQUAL (answer.retry_after, "");
  CU_ASSERT_EQUAL (pfl_runs (fleet), 0);
  pfl_answer_clear (&answer);
  ask_status (fleet, &BOOK, 200, "ran");
  ask_status (fleet, &LOOK, 200, "ran");
}

/* An engine is frozen. The caller of a booking hears at its deadline that it may have run, and no
 * other engine was asked. */
static void
answers_at_the_deadline (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  pfl_request_t soon = BOOK;

  pfl_set_all (fleet, PFL_HANG);
  soon.deadline_ms = "150";
  ask_status (fleet, &soon, 504, "may_have_run");
  CU_ASSERT_EQUAL (pfl_runs (fleet), 1);
}

/* A counter asks for the status of one household over and over. Placed by its fingerprint alone,
 * every one of these would go to the same two of three engines, and the third would stay idle. */
static void
spreads_what_was_answered (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();

  for (uint32_t i = 0; i < 60; i++)
    ask_status (fleet, &LOOK, 200, "ran");
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    CU_ASSERT_TRUE (fleet->engines[i].run_count >= 8);
}

/* The host of a chat's home is frozen: its kernel takes connections, but nothing answers. Without a
 * look at the host, each of its chats would hang until the deadline, eight seconds here. A lookup
 * goes elsewhere within two; a booking may not, and is answered at its deadline. */
static void
leaves_a_frozen_host (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  pfl_answer_t answer;
  pfl_request_t soon = BOOK;
  set_address_t hole;

  uint32_t home = pfl_ask_engine (fleet, &TALK);
  evutil_socket_t listener = pfl_black_hole (&hole);
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    if (i == home)
      fleet->hosts[i].http = hole;
  uint64_t start_us = clk_now_us (&fleet->router.dmn.clk);
  pfl_ask (fleet, &TALK, &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  CU_ASSERT_NOT_EQUAL (pfl_engine_named (&answer), home);
  CU_ASSERT_TRUE (clk_now_us (&fleet->router.dmn.clk) - start_us < 2 * CLK_US_PER_S);
  pfl_answer_clear (&answer);
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    fleet->hosts[i].http = hole;
  soon.deadline_ms = "1200";
  ask_status (fleet, &soon, 504, "may_have_run");
  evutil_closesocket (listener);
}

static bool
sidecars_stale (void *context)
{
  g_auto (pfl_answer_t) answer = { 0 };

  pfl_ask (context, &LOOK, &answer);
  bool refused = answer.status == 503;
  return refused;
}

/* The sidecars woke from a pause: until they have heard again whether they still may, they take no
 * work, and say so as not run. */
static void
takes_no_work_after_a_pause (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();

  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    pfl_flag (&fleet->sidecars[i], MSG_FRESHNESS, false);
  CU_ASSERT_TRUE (pfl_until (fleet, sidecars_stale, fleet));
  uint32_t runs = pfl_runs (fleet);
  ask_status (fleet, &BOOK, 503, "not_run");
  CU_ASSERT_EQUAL (pfl_runs (fleet), runs);
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    pfl_flag (&fleet->sidecars[i], MSG_FRESHNESS, true);
  ask_status (fleet, &BOOK, 200, "ran");
}

static bool
see_verdict (int status, struct evkeyvalq *headers, void *context)
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
no_end (const hcl_end_t *end, void *context)
{
  (void)end;
  (void)context;
}

static int
call_sidecar (pfl_t *fleet, const hcl_header_t *headers, uint32_t count, const char *target)
{
  int status = 0;
  hcl_options_t options = { .address = &fleet->hosts[0].http,
                            .method = "POST",
                            .target = target,
                            .headers = headers,
                            .header_count = count,
                            .on_head = see_verdict,
                            .on_end = no_end,
                            .context = &status };

  hcl_start (fleet->hcl, &options);
  CU_ASSERT_TRUE (pfl_until (fleet, has_status, &status));
  return status;
}

/* A stranger on the network hands a request, a revoke or an order to drain straight to a sidecar.
 */
static void
sidecars_obey_only_the_fleet (void)
{
  static const hcl_header_t FORGED[] = { { "X-Medlarplank-Seal", "00" },
                                         { "X-Medlarplank-Account", "first" } };
  g_autoptr (pfl_t) fleet = pfl_new ();

  CU_ASSERT_EQUAL (call_sidecar (fleet, FORGED, 2, "/look"), 403);
  CU_ASSERT_EQUAL (call_sidecar (fleet, FORGED, 2, HOP_REVOKE_PATH "?attempt=1"), 403);
  CU_ASSERT_EQUAL (call_sidecar (fleet, FORGED, 2, "/medlarplank/drain?time=1"), 403);
  CU_ASSERT_EQUAL (call_sidecar (fleet, FORGED, 2, "/medlarplank/manifest"), 403);
  CU_ASSERT_EQUAL (pfl_runs (fleet), 0);
}

/* A router gave an attempt up before it arrived, and went on elsewhere after "not run". The attempt
 * arrives all the same: it must be refused. */
static void
bars_a_revoked_attempt (void)
{
  static const char TARGET[] = HOP_REVOKE_PATH "?attempt=000000000000000a000000000000000b&age_ms=5";
  g_autoptr (pfl_t) fleet = pfl_new ();
  char seal[ORD_SEAL_BYTES];
  hcl_header_t order = { .name = ORD_SEAL_HEADER, .value = seal };
  hop_t hop = { .attempt = { 0xa, 0xb },
                .service = "pool",
                .account = "first",
                .class_name = "short",
                .deadline_ms = 1000 };
  hop_header_t written[HOP_HEADERS];
  hcl_header_t headers[HOP_HEADERS];

  hop.body_hash = dgs_body ("POST", "/book", "", 0);
  uint32_t count = hop_write (&hop, PFL_FLEET_KEY, written);
  for (uint32_t i = 0; i < count; i++)
    headers[i] = (hcl_header_t){ .name = written[i].name, .value = written[i].value };
  ord_seal (&(ord_t){ .host = "e0", .method = "POST", .target = TARGET }, PFL_FLEET_KEY, seal);
  CU_ASSERT_EQUAL (call_sidecar (fleet, &order, 1, TARGET), 200);
  CU_ASSERT_EQUAL (call_sidecar (fleet, headers, count, "/book"), 503);
  CU_ASSERT_EQUAL (pfl_runs (fleet), 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "relays the answer", relays_the_answer },
    { "refuses what it cannot judge", refuses_what_it_cannot_judge },
    { "passes by a leaving host", passes_by_a_leaving_host },
    { "a burst finds room", a_burst_finds_room },
    { "loads on hops keep the budget", loads_on_hops_keep_the_budget },
    { "stops gracefully", stops_gracefully },
    { "tries only idempotent again", tries_only_idempotent_again },
    { "never relays a crossed answer", never_relays_a_crossed_answer },
    { "never ends a cut stream", never_ends_a_cut_stream },
    { "loses two engines at most", loses_two_engines_at_most },
    { "loses two engines to resends", loses_two_engines_to_resends },
    { "keeps suspects apart", keeps_suspects_apart },
    { "loses two engines to what was answered", loses_two_engines_to_what_was_answered },
    { "cancels for a caller that left", cancels_for_a_caller_that_left },
    { "lets a booking finish", lets_a_booking_finish },
    { "refuses keys while the log is out", refuses_keys_while_the_log_is_out },
    { "answers at the deadline", answers_at_the_deadline },
    { "spreads what was answered", spreads_what_was_answered },
    { "leaves a frozen host", leaves_a_frozen_host },
    { "takes no work after a pause", takes_no_work_after_a_pause },
    { "sidecars obey only the fleet", sidecars_obey_only_the_fleet },
    { "bars a revoked attempt", bars_a_revoked_attempt },
    CU_TEST_INFO_NULL,
  };

  log_init ("test-path", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path", tests);
}
