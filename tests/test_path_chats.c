#include "testbed.h"
#include "suite.h"

#include "request/hop.h"
#include "request/data_task.h"

#include <string.h>

#define CHAT_BODY "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}"

static testbed_request_t
chat_request (const char *chat)
{
  return (testbed_request_t){ .path = "/v1/chat/completions", .body = CHAT_BODY, .chat = chat };
}

static uint32_t
ask_engine (testbed_t *testbed, const char *chat)
{
  testbed_request_t request = chat_request (chat);
  g_auto (testbed_answer_t) answer = { 0 };

  testbed_ask (testbed, &request, &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  uint32_t engine = testbed_engine_index (&answer);
  return engine;
}

static uint64_t
count_hints (const testbed_t *testbed)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < TESTBED_SIDECARS; i++)
    sum += counter_value (counter_get (testbed->sidecars[i].daemon.counters,
                                       "medlarplank_directory_notes_total", ""));
  return sum;
}

typedef struct
{
  const testbed_t *testbed;
  uint64_t hints_before;
} hint_wait_t;

static bool
hint_received (void *context)
{
  const hint_wait_t *hint_wait = context;

  return count_hints (hint_wait->testbed) > hint_wait->hints_before;
}

/* serve_elsewhere() - sends a request of @chat while its home refuses requests. Return: the engine
 * that served it */
static uint32_t
serve_elsewhere (testbed_t *testbed, const char *chat, uint32_t home)
{
  hint_wait_t hint_wait = { .testbed = testbed, .hints_before = count_hints (testbed) };

  testbed_send_flag (&testbed->sidecars[home], MESSAGE_FRESHNESS, false);
  uint32_t other = ask_engine (testbed, chat);
  CU_ASSERT_NOT_EQUAL (other, home);
  CU_ASSERT_TRUE (testbed_wait_until (testbed, hint_received, &hint_wait));
  testbed_send_flag (&testbed->sidecars[home], MESSAGE_FRESHNESS, true);
  return other;
}

/* A chat is served by another engine while its home refuses requests. After that the chat's context
 * is in the other engine's cache, so the home must refer later requests of the chat there. */
static void
a_chat_returns_to_the_engine_that_served_it (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();

  uint32_t home = ask_engine (testbed, "c1");
  uint32_t other = serve_elsewhere (testbed, "c1", home);
  for (uint32_t i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (ask_engine (testbed, "c1"), other);
}

/* As before, and then the home's host leaves. Its sidecar must send its directory entry to the
 * chat's next home, which then refers the chat to the engine that has it cached. */
static void
a_leaving_sidecar_hands_over_its_directory (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  char chat[16];

  for (uint32_t i = 0; i < 6; i++)
    {
      hint_wait_t hint_wait = { .testbed = testbed };

      g_snprintf (chat, sizeof chat, "h%u", i);
      uint32_t home = ask_engine (testbed, chat);
      uint32_t other = serve_elsewhere (testbed, chat, home);
      hint_wait.hints_before = count_hints (testbed);
      testbed_set_host_state (testbed, home, MEMBERSHIP_LEAVING);
      CU_ASSERT_TRUE (testbed_wait_until (testbed, hint_received, &hint_wait));
      CU_ASSERT_EQUAL (ask_engine (testbed, chat), other);
      CU_ASSERT_EQUAL (ask_engine (testbed, chat), other);
      testbed_set_host_state (testbed, home, MEMBERSHIP_LIVE);
    }
}

/*
 * One of three sidecars refuses requests while sixty chats arrive, as in a surge, so a third of
 * them is served by engines other than their homes. All must be answered, and the home gets only as
 * many hints as the control budget allows. Without the limit, the hints made a router send three
 * times its whole control budget.
 */
static void
hints_stay_within_the_control_budget (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  daemon_t *daemon = &testbed->router.daemon;
  counter_t *hints = counter_get (daemon->counters, "medlarplank_served_hints_total", "");
  uint64_t began_us = clock_now_us (&daemon->clock);
  uint64_t allowed_bytes;
  char chat[16];

  testbed_send_flag (&testbed->sidecars[0], MESSAGE_FRESHNESS, false);
  for (uint32_t i = 0; i < 60; i++)
    {
      g_snprintf (chat, sizeof chat, "s%u", i);
      ask_engine (testbed, chat);
    }
  allowed_bytes = daemon->settings.control_budget_bytes *
                  (CLOCK_US_PER_S + clock_now_us (&daemon->clock) - began_us) / CLOCK_US_PER_S;
  CU_ASSERT (counter_value (hints) > 0);
  CU_ASSERT (counter_value (hints) * DATA_TASK_CALL_OVERHEAD_BYTES <= allowed_bytes);
}

/* A long answer passes through the bounded buffers of sidecar and router; it must arrive whole and
 * in order. */
static void
streams_a_long_answer (void)
{
  g_autoptr (testbed_t) testbed = testbed_new ();
  g_auto (testbed_answer_t) answer = { 0 };
  testbed_request_t request = chat_request ("long");

  testbed_set_mode (testbed, TESTBED_LONG_ANSWER);
  testbed_ask (testbed, &request, &answer);
  CU_ASSERT_TRUE (answer.end.complete);
  CU_ASSERT_EQUAL (answer.body->len, TESTBED_LONG_ANSWER_BYTES);
  for (size_t i = 0; i < answer.body->len; i += 1000)
    if (answer.body->str[i] != (char)('a' + i / TESTBED_PART_BYTES % 26))
      {
        CU_FAIL ("a part is out of order");
        break;
      }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "a chat returns to the engine that served it", a_chat_returns_to_the_engine_that_served_it },
    { "a leaving sidecar hands over its directory", a_leaving_sidecar_hands_over_its_directory },
    { "hints stay within the control budget", hints_stay_within_the_control_budget },
    { "streams a long answer", streams_a_long_answer },
    CU_TEST_INFO_NULL,
  };

  log_init ("test-path-chats", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path chats", tests);
}
