#include "path_fleet.h"
#include "suite.h"

#include "request/hop.h"
#include "request/router/router_private.h"

#include <string.h>

static const pfl_request_t BOOK = { .path = "/book", .body = "lot 7" };
static const pfl_request_t LOOK = { .path = "/look" };

/** struct fake - a sidecar whose connections break, and which answers revokes as it is told
 * @moved: when a request has come, the list tells @moved_to as the address of this host */
typedef struct
{
  hsv_t *hsv;
  mem_host_t *moved;
  set_address_t moved_to;
  const char *verdict;
  const char *incarnation;
  uint32_t requests;
  uint32_t revokes;
} fake_t;

static void
on_call (hsv_call_t *call, void *context)
{
  fake_t *fake = context;

  if (strcmp (hsv_path (call), HOP_REVOKE_PATH) != 0)
    {
      fake->requests++;
      if (fake->moved != NULL)
        fake->moved->http = fake->moved_to;
      hsv_abort (call);
      return;
    }
  fake->revokes++;
  hsv_add_header (call, VRD_HEADER, fake->verdict);
  hsv_add_header (call, HOP_INCARNATION_HEADER, fake->incarnation);
  hsv_reply_text (call, 200, "text/plain", "");
}

static void
listen_as (pfl_t *fleet, fake_t *fake, uint32_t last)
{
  hsv_options_t options = { .base = fleet->base,
                            .counters = fleet->counters,
                            .listen = pfl_address (last),
                            .body_limit_bytes = 1 << 20,
                            .header_limit_bytes = 1 << 16,
                            .header_limit_count = 100,
                            .connection_limit = 100,
                            .idle_timeout_ms = 10000,
                            .on_call = on_call,
                            .context = fake };

  fake->hsv = hsv_new (&options, NULL);
}

/* stand_in() - the first engine that the router would ask for a booking is behind the fake */
static uint32_t
stand_in (pfl_t *fleet, fake_t *fake)
{

  uint32_t first = pfl_ask_engine (fleet, &BOOK);
  listen_as (fleet, fake, 60);
  fleet->hosts[first].http = pfl_address (60);
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    fleet->engines[i].run_count = 0;
  return first;
}

static void
ask (pfl_t *fleet, const pfl_request_t *request, int status, const char *verdict)
{
  g_auto (pfl_answer_t) answer = { 0 };

  pfl_ask (fleet, request, &answer);
  CU_ASSERT_EQUAL (answer.status, status);
  CU_ASSERT_STRING_EQUAL (answer.verdict, verdict);
}

/* The connection to a sidecar breaks under a booking. The sidecar, asked, says that it never saw
 * the attempt and has barred it: the router may go on to another engine, and the booking runs once.
 */
static void
goes_on_after_not_run (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  fake_t fake = { .verdict = "not_run" };
  char incarnation[16];

  uint32_t first = stand_in (fleet, &fake);
  g_snprintf (incarnation, sizeof incarnation, "%u", 1000 + first);
  fake.incarnation = incarnation;
  ask (fleet, &BOOK, 200, "ran");
  CU_ASSERT_EQUAL (fake.requests, 1);
  CU_ASSERT_EQUAL (fake.revokes, 1);
  CU_ASSERT_EQUAL (pfl_runs (fleet), 1);
  hsv_free (fake.hsv);
}

/* The same, but the sidecar restarted in between: it has no memory of what its predecessor passed
 * to the engine. Its "never seen" must not count, or the booking could run twice. */
static void
believes_no_successor (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  fake_t fake = { .verdict = "not_run", .incarnation = "999999" };

  stand_in (fleet, &fake);
  ask (fleet, &BOOK, 502, "may_have_run");
  CU_ASSERT_EQUAL (fake.revokes, 1);
  CU_ASSERT_EQUAL (pfl_runs (fleet), 0);
  hsv_free (fake.hsv);
}

/* A host is replaced under its name. The router has heard of the successor, but its list still has
 * the predecessor's address: the booking goes there, is passed on, and the predecessor dies. Then
 * the list tells the new address, where the successor truly never saw the attempt. That must not
 * count, or the booking runs twice. */
static void
asks_where_it_sent (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  fake_t predecessor = { .verdict = "may_have_run", .incarnation = "7" };
  fake_t successor = { .verdict = "not_run" };
  char incarnation[16];

  uint32_t first = stand_in (fleet, &predecessor);
  g_snprintf (incarnation, sizeof incarnation, "%u", 1000 + first);
  successor.incarnation = incarnation;
  listen_as (fleet, &successor, 61);
  predecessor.moved = &fleet->hosts[first];
  predecessor.moved_to = pfl_address (61);
  ask (fleet, &BOOK, 502, "may_have_run");
  CU_ASSERT_EQUAL (predecessor.requests, 1);
  CU_ASSERT_EQUAL (predecessor.revokes, 1);
  CU_ASSERT_EQUAL (successor.revokes, 0);
  CU_ASSERT_EQUAL (pfl_runs (fleet), 0);
  hsv_free (predecessor.hsv);
  hsv_free (successor.hsv);
}

/* The sidecar had passed the booking on: nobody can tell what became of it, and it is not tried
 * elsewhere. A lookup is. */
static void
moves_only_lookups_after_may_have_run (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  fake_t fake = { .verdict = "may_have_run" };
  char incarnation[16];

  uint32_t first = stand_in (fleet, &fake);
  g_snprintf (incarnation, sizeof incarnation, "%u", 1000 + first);
  fake.incarnation = incarnation;
  ask (fleet, &BOOK, 502, "may_have_run");
  CU_ASSERT_EQUAL (pfl_runs (fleet), 0);
  ask (fleet, &LOOK, 200, "ran");
  CU_ASSERT_EQUAL (pfl_runs (fleet), 1);
  hsv_free (fake.hsv);
}

/* The sidecar's host refuses connections: not a byte left, so even a booking goes on at once, and
 * after two such failures the host is no longer asked. */
static void
skips_a_host_that_refuses (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  fake_t fake = { 0 };

  stand_in (fleet, &fake);
  hsv_free (fake.hsv);
  for (uint32_t i = 0; i < 5; i++)
    ask (fleet, &BOOK, 200, "ran");
  CU_ASSERT_EQUAL (pfl_runs (fleet), 5);
}

static bool
is_held (void *context)
{
  const pfl_t *fleet = context;

  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    if (fleet->engines[i].held->len > 0)
      return true;
  return false;
}

/*
 * One request takes its time at an engine, and others at the same host are answered meanwhile, as
 * in a surge that makes many wait. The router hears the host all the time, so it need not ask
 * whether it is frozen; it asked twice a second for each host, which was more than half of its
 * control traffic.
 */
static void
asks_no_host_that_it_hears (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  dmn_t *dmn = &fleet->router.dmn;
  cnt_t *probes = cnt_get (dmn->counters, "medlarplank_probes_total", "");
  pfl_request_t request = {
    .path = "/v1/chat/completions",
    .body = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}",
    .chat = "one chat"
  };
  g_auto (pfl_answer_t) slow = { 0 };
  uint64_t until_us = clk_now_us (&dmn->clk) + 3 * RTR_QUIET_US;

  pfl_set_all (fleet, PFL_HANG);
  pfl_send (fleet, &request, &slow);
  CU_ASSERT_TRUE (pfl_until (fleet, is_held, fleet));
  pfl_set_all (fleet, PFL_ANSWER);
  while (clk_now_us (&dmn->clk) < until_us)
    ask (fleet, &request, 200, "ran");
  CU_ASSERT_EQUAL (cnt_value (probes), 0);
  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    pfl_release (&fleet->engines[i]);
  CU_ASSERT_TRUE (pfl_until (fleet, pfl_done, &slow));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "goes on after not run", goes_on_after_not_run },
    { "believes no successor", believes_no_successor },
    { "asks where it sent", asks_where_it_sent },
    { "moves only lookups after may have run", moves_only_lookups_after_may_have_run },
    { "skips a host that refuses", skips_a_host_that_refuses },
    { "asks no host that it hears", asks_no_host_that_it_hears },
    CU_TEST_INFO_NULL,
  };

  log_init ("test-path-lost", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path lost", tests);
}
