#include "testbed.h"
#include "suite.h"

#include "request/hop.h"
#include "request/router/router_private.h"

#include <string.h>

static const testbed_request_t BOOK = { .path = "/book", .body = "lot 7" };
static const testbed_request_t LOOK = { .path = "/look" };

/**
 * struct fake - a fake sidecar that closes the connection on each request, and answers revokes
 * @moved_host: host whose address in the member list becomes @new_address when a request arrives,
 *   or NULL
 * @verdict: answer to a revoke
 * @incarnation: incarnation that the answer to a revoke carries
 * @requests: requests received
 * @revokes: revokes received
 */
typedef struct
{
  http_server_t *server;
  membership_host_t *moved_host;
  address_t new_address;
  const char *verdict;
  const char *incarnation;
  uint32_t requests;
  uint32_t revokes;
} fake_t;

static void
on_call (http_server_call_t *call, void *context)
{
  fake_t *fake = context;

  if (strcmp (http_server_path (call), HOP_REVOKE_PATH) != 0)
    {
      fake->requests++;
      if (fake->moved_host != NULL)
        fake->moved_host->http = fake->new_address;
      http_server_abort (call);
      return;
    }
  fake->revokes++;
  http_server_add_header (call, VERDICT_HEADER, fake->verdict);
  http_server_add_header (call, HOP_INCARNATION_HEADER, fake->incarnation);
  http_server_reply_text (call, 200, "text/plain", "");
}

static void
listen_as (testbed_t *testbed, fake_t *fake, uint32_t last)
{
  http_server_options_t options = { .base = testbed->base,
                                    .counters = testbed->counters,
                                    .listen = testbed_address (last),
                                    .body_limit_bytes = 1 << 20,
                                    .header_limit_bytes = 1 << 16,
                                    .header_limit_count = 100,
                                    .connection_limit = 100,
                                    .idle_timeout_ms = 10000,
                                    .on_call = on_call,
                                    .context = fake };

  fake->server = http_server_new (&options, NULL);
}

/* replace_first_sidecar() - replaces the sidecar that the router tries first for BOOK by the fake.
 * Return: its index */
static uint32_t
replace_first_sidecar (testbed_t *testbed, fake_t *fake)
{

  uint32_t first = testbed_ask_engine (testbed, &BOOK);
  listen_as (testbed, fake, 60);
  testbed->hosts[first].http = testbed_address (60);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    testbed->engines[i].request_count = 0;
  return first;
}

static void
ask_status (testbed_t *testbed, const testbed_request_t *request, int status, const char *verdict)
{
  g_auto (testbed_answer_t) answer = { 0 };

  testbed_ask (testbed, request, &answer);
  CU_ASSERT_EQUAL (answer.status, status);
  CU_ASSERT_STRING_EQUAL (answer.verdict, verdict);
}

/* The connection to a sidecar breaks during a non-idempotent request. The sidecar answers the
 * revoke with "not run", so the router may try another engine, and the request runs once. */
static void
tries_another_engine_after_not_run (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  fake_t fake = { .verdict = "not_run" };
  char incarnation[16];

  uint32_t first = replace_first_sidecar (testbed, &fake);
  g_snprintf (incarnation, sizeof incarnation, "%u", 1000 + first);
  fake.incarnation = incarnation;
  ask_status (testbed, &BOOK, 200, "ran");
  CU_ASSERT_EQUAL (fake.requests, 1);
  CU_ASSERT_EQUAL (fake.revokes, 1);
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 1);
  http_server_free (fake.server);
}

/* The same, but the sidecar restarted in between, and does not know what its predecessor passed to
 * the engine. Its "not run" must be ignored, or the request could run twice. */
static void
ignores_the_verdict_of_a_restarted_sidecar (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  fake_t fake = { .verdict = "not_run", .incarnation = "999999" };

  replace_first_sidecar (testbed, &fake);
  ask_status (testbed, &BOOK, 502, "may_have_run");
  CU_ASSERT_EQUAL (fake.revokes, 1);
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 0);
  http_server_free (fake.server);
}

/* A host is replaced and keeps its name. The router knows the successor's incarnation while its
 * member list still has the predecessor's address. A non-idempotent request goes to the
 * predecessor, which passes it to the engine and dies. Then the member list gets the successor's
 * address. The revoke must go to the old address: the successor would answer "not run" with the
 * known incarnation, and the request would run twice. */
static void
revokes_at_the_address_of_the_hop (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  fake_t predecessor = { .verdict = "may_have_run", .incarnation = "7" };
  fake_t successor = { .verdict = "not_run" };
  char incarnation[16];

  uint32_t first = replace_first_sidecar (testbed, &predecessor);
  g_snprintf (incarnation, sizeof incarnation, "%u", 1000 + first);
  successor.incarnation = incarnation;
  listen_as (testbed, &successor, 61);
  predecessor.moved_host = &testbed->hosts[first];
  predecessor.new_address = testbed_address (61);
  ask_status (testbed, &BOOK, 502, "may_have_run");
  CU_ASSERT_EQUAL (predecessor.requests, 1);
  CU_ASSERT_EQUAL (predecessor.revokes, 1);
  CU_ASSERT_EQUAL (successor.revokes, 0);
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 0);
  http_server_free (predecessor.server);
  http_server_free (successor.server);
}

/* The sidecar had passed the request to the engine, so its outcome is unknown. A non-idempotent
 * request must not be tried at another engine; an idempotent one is. */
static void
after_may_have_run_retries_only_idempotent_requests (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  fake_t fake = { .verdict = "may_have_run" };
  char incarnation[16];

  uint32_t first = replace_first_sidecar (testbed, &fake);
  g_snprintf (incarnation, sizeof incarnation, "%u", 1000 + first);
  fake.incarnation = incarnation;
  ask_status (testbed, &BOOK, 502, "may_have_run");
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 0);
  ask_status (testbed, &LOOK, 200, "ran");
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 1);
  http_server_free (fake.server);
}

/* The sidecar's host refuses connections, so no byte of the request was sent: even a non-idempotent
 * request is tried at another engine at once. After two such failures the host is skipped. */
static void
skips_a_host_that_refuses_connections (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  fake_t fake = { 0 };

  replace_first_sidecar (testbed, &fake);
  http_server_free (fake.server);
  for (uint32_t i = 0; i < 5; i++)
    ask_status (testbed, &BOOK, 200, "ran");
  CU_ASSERT_EQUAL (testbed_count_received (testbed), 5);
}

static bool
any_request_held (void *context)
{
  const testbed_t *testbed = context;

  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    if (testbed->engines[i].held_requests->len > 0)
      return true;
  return false;
}

/*
 * One request runs for long at an engine while the same host answers others, as in a surge when
 * many requests wait. The router gets answers from the host all the time, so it must not send it
 * health checks. It sent two a second to each host, which was more than half of its control
 * traffic.
 */
static void
checks_no_host_that_answers_other_requests (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  daemon_t *daemon = &testbed->router.daemon;
  counter_t *probes = counter_get (daemon->counters, "medlarplank_probes_total", "");
  testbed_request_t request = {
    .path = "/v1/chat/completions",
    .body = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
    .chat = "one chat"
  };
  g_auto (testbed_answer_t) slow = { 0 };
  uint64_t until_us = clock_now_us (&daemon->clock) + 3 * ROUTER_HOST_PROBE_DELAY_US;

  testbed_set_mode (testbed, TESTBED_HOLD);
  testbed_send (testbed, &request, &slow);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, any_request_held, testbed));
  testbed_set_mode (testbed, TESTBED_ANSWER);
  while (clock_now_us (&daemon->clock) < until_us)
    ask_status (testbed, &request, 200, "ran");
  CU_ASSERT_EQUAL (counter_value (probes), 0);
  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    testbed_release (&testbed->engines[i]);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, testbed_is_done, &slow));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "tries another engine after not run", tries_another_engine_after_not_run },
    { "ignores the verdict of a restarted sidecar", ignores_the_verdict_of_a_restarted_sidecar },
    { "revokes at the address of the hop", revokes_at_the_address_of_the_hop },
    { "after may have run retries only idempotent requests",
      after_may_have_run_retries_only_idempotent_requests },
    { "skips a host that refuses connections", skips_a_host_that_refuses_connections },
    { "checks no host that answers other requests", checks_no_host_that_answers_other_requests },
    CU_TEST_INFO_NULL,
  };

  log_init ("test-path-lost", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path lost", tests);
}
