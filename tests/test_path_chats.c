#include "path_fleet.h"
#include "suite.h"

#include "request/hop.h"
#include "request/ops.h"

#include <string.h>

#define CHAT_BODY "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}"

static pfl_request_t
talk (const char *chat)
{
  return (pfl_request_t){ .path = "/v1/chat/completions", .body = CHAT_BODY, .chat = chat };
}

static uint32_t
ask_engine (pfl_t *fleet, const char *chat)
{
  pfl_request_t request = talk (chat);
  g_auto (pfl_answer_t) answer = { 0 };

  pfl_ask (fleet, &request, &answer);
  CU_ASSERT_EQUAL (answer.status, 200);
  uint32_t engine = pfl_engine_named (&answer);
  return engine;
}

static uint64_t
notes (const pfl_t *fleet)
{
  uint64_t sum = 0;

  for (uint32_t i = 0; i < PFL_SIDECARS; i++)
    sum += cnt_value (
        cnt_get (fleet->sidecars[i].dmn.counters, "medlarplank_directory_notes_total", ""));
  return sum;
}

typedef struct
{
  const pfl_t *fleet;
  uint64_t more_than;
} noted_t;

static bool
is_noted (void *context)
{
  const noted_t *noted = context;

  return notes (noted->fleet) > noted->more_than;
}

/* serve_elsewhere() - Return: the engine that served @chat while its home took no work */
static uint32_t
serve_elsewhere (pfl_t *fleet, const char *chat, uint32_t home)
{
  noted_t noted = { .fleet = fleet, .more_than = notes (fleet) };

  pfl_flag (&fleet->sidecars[home], MSG_FRESHNESS, false);
  uint32_t other = ask_engine (fleet, chat);
  CU_ASSERT_NOT_EQUAL (other, home);
  CU_ASSERT_TRUE (pfl_until (fleet, is_noted, &noted));
  pfl_flag (&fleet->sidecars[home], MSG_FRESHNESS, true);
  return other;
}

/* A chat is served away from its home, which took no work for a moment. When it returns, and the
 * home takes work again, its context is warm on the other engine: the home refers it there. */
static void
returns_to_where_it_was_served (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();

  uint32_t home = ask_engine (fleet, "c1");
  uint32_t other = serve_elsewhere (fleet, "c1", home);
  for (uint32_t i = 0; i < 3; i++)
    CU_ASSERT_EQUAL (ask_engine (fleet, "c1"), other);
}

/* The home of that chat leaves. It hands what it knew to the next home, which is not the engine
 * that served the chat, and which refers the chat there in its turn. */
static void
hands_over_what_it_knew (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  char chat[16];

  for (uint32_t i = 0; i < 6; i++)
    {
      noted_t noted = { .fleet = fleet };

      g_snprintf (chat, sizeof chat, "h%u", i);
      uint32_t home = ask_engine (fleet, chat);
      uint32_t other = serve_elsewhere (fleet, chat, home);
      noted.more_than = notes (fleet);
      pfl_set_state (fleet, home, MEM_LEAVING);
      CU_ASSERT_TRUE (pfl_until (fleet, is_noted, &noted));
      CU_ASSERT_EQUAL (ask_engine (fleet, chat), other);
      CU_ASSERT_EQUAL (ask_engine (fleet, chat), other);
      pfl_set_state (fleet, home, MEM_LIVE);
    }
}

/*
 * One of three homes takes no work while sixty chats come, as in a surge: a third of them is served
 * elsewhere. All are answered, and the home is told of as many as the control budget allows, and no
 * more: without that a router sent three times the budget of all its control traffic.
 */
static void
hints_keep_to_the_budget (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  dmn_t *dmn = &fleet->router.dmn;
  cnt_t *hints = cnt_get (dmn->counters, "medlarplank_served_hints_total", "");
  uint64_t began_us = clk_now_us (&dmn->clk);
  uint64_t allowed_bytes;
  char chat[16];

  pfl_flag (&fleet->sidecars[0], MSG_FRESHNESS, false);
  for (uint32_t i = 0; i < 60; i++)
    {
      g_snprintf (chat, sizeof chat, "s%u", i);
      ask_engine (fleet, chat);
    }
  allowed_bytes = dmn->set.control_budget_bytes *
                  (CLK_US_PER_S + clk_now_us (&dmn->clk) - began_us) / CLK_US_PER_S;
  CU_ASSERT (cnt_value (hints) > 0);
  CU_ASSERT (cnt_value (hints) * OPS_CALL_BYTES <= allowed_bytes);
}

/* A long answer is streamed through router and sidecar with what is queued bounded at each; it must
 * come out whole and in order. */
static void
streams_a_long_answer (void)
{
  g_autoptr (pfl_t) fleet = pfl_new ();
  g_auto (pfl_answer_t) answer = { 0 };
  pfl_request_t request = talk ("long");

  pfl_set_all (fleet, PFL_LONG);
  pfl_ask (fleet, &request, &answer);
  CU_ASSERT_TRUE (answer.end.whole);
  CU_ASSERT_EQUAL (answer.body->len, PFL_LONG_BYTES);
  for (size_t i = 0; i < answer.body->len; i += 1000)
    if (answer.body->str[i] != (char)('a' + i / PFL_PART_BYTES % 26))
      {
        CU_FAIL ("a part is out of order");
        break;
      }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "returns to where it was served", returns_to_where_it_was_served },
    { "hands over what it knew", hands_over_what_it_knew },
    { "hints keep to the budget", hints_keep_to_the_budget },
    { "streams a long answer", streams_a_long_answer },
    CU_TEST_INFO_NULL,
  };

  log_init ("test-path-chats", "test", LOG_LEVEL_DEBUG);
  return suite_run ("path chats", tests);
}
