/* Unit tests of how a gateway that starts gets the content of the store, and of how peers serve it.
 */
#include "base/clock.h"
#include "request/policy/store/bootstrap.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

#define START_US (UINT64_C (100) * CLOCK_US_PER_S)
#define TICK_US (UINT64_C (10) * CLOCK_US_PER_MS)
#define SEEDS 3

static bootstrap_t
started (bool first_start)
{
  bootstrap_t bootstrap;

  bootstrap_init (&bootstrap, START_US, first_start, true);
  return bootstrap;
}

static bool
asks_peer (const bootstrap_t *bootstrap, uint64_t now_us)
{
  return bootstrap_may_ask_peer (bootstrap, now_us) &&
         !bootstrap_should_read_store (bootstrap, now_us);
}

static void
test_seeds_read_the_store (void)
{
  bootstrap_t bootstrap;

  bootstrap_init (&bootstrap, START_US, true, false);
  CU_ASSERT (bootstrap_should_read_store (&bootstrap, START_US));
  bootstrap = started (true);
  CU_ASSERT (asks_peer (&bootstrap, START_US));
}

/* Guards against requests that wait for a gateway which waits for peers that have nothing. */
static void
test_empty_peer_is_not_waited_for_while_requests_wait (void)
{
  bootstrap_t bootstrap = started (false);

  bootstrap_peer_refused (&bootstrap, START_US, BOOTSTRAP_EMPTY, false, 500);
  CU_ASSERT (bootstrap_should_read_store (&bootstrap, START_US));
  bootstrap = started (true);
  bootstrap_peer_refused (&bootstrap, START_US, BOOTSTRAP_EMPTY, false, 500);
  CU_ASSERT (!bootstrap_may_ask_peer (&bootstrap, START_US) &&
             !bootstrap_should_read_store (&bootstrap, START_US));
  CU_ASSERT (asks_peer (&bootstrap, START_US + 2 * BOOTSTRAP_RETRY_MIN_US));
}

/* Guards against starting gateways that fill the links of their peers when the content is large. */
static void
test_large_answer_is_left_to_the_store (void)
{
  bootstrap_t bootstrap = started (true);

  bootstrap_peer_refused (&bootstrap, START_US, BOOTSTRAP_TOO_LARGE, false, 500);
  CU_ASSERT (bootstrap_should_read_store (&bootstrap, START_US));
}

/* Guards against a gateway that never starts because the peers named to it are gone. */
static void
test_store_is_read_after_the_timeout (void)
{
  bootstrap_t bootstrap = started (false);

  for (uint32_t i = 0; i < BOOTSTRAP_UNANSWERED_MAX; i++)
    {
      CU_ASSERT (asks_peer (&bootstrap, START_US));
      bootstrap_peer_refused (&bootstrap, START_US, BOOTSTRAP_NO_ANSWER, false, 500);
    }
  CU_ASSERT (bootstrap_should_read_store (&bootstrap, START_US));
  bootstrap = started (false);
  CU_ASSERT (bootstrap_should_read_store (&bootstrap, START_US + BOOTSTRAP_TIMEOUT_US));
  bootstrap = started (true);
  CU_ASSERT (asks_peer (&bootstrap, START_US + BOOTSTRAP_FIRST_START_TIMEOUT_US - 1));
  CU_ASSERT (bootstrap_should_read_store (&bootstrap, START_US + BOOTSTRAP_FIRST_START_TIMEOUT_US));
}

/* Guards against peers that are asked without a pause while neither they nor the store answer. */
static void
test_questions_are_paced_while_the_store_fails (void)
{
  bootstrap_t bootstrap = started (false);
  uint64_t at_us = START_US + BOOTSTRAP_TIMEOUT_US;
  uint32_t questions = 0;

  for (; at_us < START_US + 10 * CLOCK_US_PER_S; at_us += TICK_US)
    if (bootstrap_may_ask_peer (&bootstrap, at_us))
      {
        questions++;
        bootstrap_peer_refused (&bootstrap, at_us, BOOTSTRAP_NO_ANSWER, false, 500);
      }
  CU_ASSERT (questions >= 20 && questions <= 40);
}

static void
test_number_served_at_once_is_limited (void)
{
  bootstrap_server_t server = { 0 };
  address_t asker = { "127.0.0.1", 7 };
  address_t referral;

  CU_ASSERT (!bootstrap_server_pick_referral (&server, 5, &referral));
  for (uint32_t i = 0; i < BOOTSTRAP_CONCURRENT_MAX; i++)
    {
      CU_ASSERT (bootstrap_server_may_serve (&server, START_US));
      bootstrap_server_add_served (&server, START_US, &asker);
    }
  CU_ASSERT (!bootstrap_server_may_serve (&server, START_US + BOOTSTRAP_TRANSFER_US - 1));
  CU_ASSERT (bootstrap_server_may_serve (&server, START_US + BOOTSTRAP_TRANSFER_US));
  CU_ASSERT (bootstrap_server_pick_referral (&server, 5, &referral));
  CU_ASSERT_EQUAL (referral.port, 7);
}

/**
 * struct gateway - a gateway of a fleet that starts together; numbers 0 to SEEDS - 1 are the seeds
 * @content_due_us: when the content that it was sent, or reads, arrives; 0 for none
 * @next_peer: number of the gateway that it asks next
 */
typedef struct
{
  bootstrap_t bootstrap;
  bootstrap_server_t server;
  bool has_content;
  uint64_t content_due_us;
  uint32_t next_peer;
} gateway_t;

static void
step (gateway_t *fleet, uint32_t index, uint64_t now_us, GRand *rand, uint32_t *reads)
{
  gateway_t *own = &fleet[index];
  gateway_t *peer = &fleet[own->next_peer];
  uint32_t spread = (uint32_t)g_rand_int_range (rand, 0, 1000);
  address_t asker = { "", (uint16_t)index };
  address_t referral = { "", 0 };

  if (own->content_due_us != 0)
    {
      own->has_content = own->has_content || now_us >= own->content_due_us;
      return;
    }
  if (bootstrap_should_read_store (&own->bootstrap, now_us))
    {
      (*reads)++;
      own->content_due_us = now_us + 5 * TICK_US;
      return;
    }
  if (!bootstrap_may_ask_peer (&own->bootstrap, now_us))
    return;
  if (peer->has_content && bootstrap_server_may_serve (&peer->server, now_us))
    {
      bootstrap_server_add_served (&peer->server, now_us, &asker);
      own->content_due_us = now_us + BOOTSTRAP_TRANSFER_US / 2;
      return;
    }
  bool elsewhere = peer->has_content &&
                   bootstrap_server_pick_referral (&peer->server, g_rand_int (rand), &referral);
  own->next_peer = elsewhere ? referral.port : (uint32_t)g_rand_int_range (rand, 0, SEEDS);
  bootstrap_peer_refused (&own->bootstrap, now_us,
                          peer->has_content ? BOOTSTRAP_BUSY : BOOTSTRAP_EMPTY, elsewhere, spread);
}

/* Guards against calls to the store that grow with the gateways at the first start of a fleet. */
static void
test_few_gateways_read_the_store_at_a_first_start (void)
{
  static const uint32_t sizes[] = { 4, 103, 385, 880, 1760 };

  for (uint32_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      g_autofree gateway_t *fleet = g_new0 (gateway_t, sizes[i]);
      GRand *rand = g_rand_new_with_seed (i);
      uint32_t reads = 0;
      uint32_t complete = 0;

      for (uint32_t j = 0; j < sizes[i]; j++)
        {
          bootstrap_init (&fleet[j].bootstrap, START_US, true, j >= SEEDS);
          fleet[j].next_peer = (uint32_t)g_rand_int_range (rand, 0, SEEDS);
        }
      for (uint64_t at_us = START_US; at_us <= START_US + BOOTSTRAP_FIRST_START_TIMEOUT_US;
           at_us += TICK_US)
        for (uint32_t j = 0; j < sizes[i]; j++)
          step (fleet, j, at_us, rand, &reads);
      for (uint32_t j = 0; j < sizes[i]; j++)
        complete += fleet[j].has_content ? 1 : 0;
      CU_ASSERT_EQUAL (complete, sizes[i]);
      CU_ASSERT (reads <= SEEDS + sizes[i] / 100);
      g_rand_free (rand);
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_seeds_read_the_store),
    SUITE_TEST (test_empty_peer_is_not_waited_for_while_requests_wait),
    SUITE_TEST (test_large_answer_is_left_to_the_store),
    SUITE_TEST (test_store_is_read_after_the_timeout),
    SUITE_TEST (test_questions_are_paced_while_the_store_fails),
    SUITE_TEST (test_number_served_at_once_is_limited),
    SUITE_TEST (test_few_gateways_read_the_store_at_a_first_start),
    CU_TEST_INFO_NULL,
  };

  return suite_run ("start_ask", tests);
}
