/* Plays fleets of many sizes in virtual time and counts the requests that reach an engine over the
 * overload limit. */
#include "load_fleet.h"
#include "suite.h"

#include <glib.h>

#define SEEDS 3
#define OVER_MAX_MILLI 30 /* requests in any five seconds that may reach an overloaded engine */

/* One chat has three tenths of all requests for six seconds, while the traffic falls from its
 * crest. */
static const load_fleet_options_t hot_chat = { .gateways = 22,
                                               .engines = 40,
                                               .per_s = 290,
                                               .seconds = 18,
                                               .wave_milli = 270,
                                               .hot_milli = 300,
                                               .hot_from_ms = 6000,
                                               .hot_to_ms = 12000,
                                               .exchange_ms = 500 };

static void
check_overloaded (const load_fleet_options_t *options, const char *what)
{
  load_fleet_options_t play = *options;

  for (play.seed = 1; play.seed <= SEEDS; play.seed++)
    {
      load_fleet_result_t result = load_fleet_play (&play);
      uint32_t over_milli = result.over * 1000 / MAX (result.sent, 1);

      if (over_milli > OVER_MAX_MILLI)
        g_print ("%s, seed %u: %u of %u from %u ms on\n", what, play.seed, result.over, result.sent,
                 result.worst_ms);
      CU_ASSERT (over_milli <= OVER_MAX_MILLI);
    }
}

static void
check_hot_chat (uint32_t gateways, uint32_t engines, uint32_t per_s)
{
  load_fleet_options_t options = hot_chat;
  g_autofree char *what = g_strdup_printf ("%u gateways", gateways);

  options.gateways = gateways;
  options.engines = engines;
  options.per_s = per_s;
  check_overloaded (&options, what);
}

/* Guards against one gateway that overloads the home of a hot chat. */
static void
test_hot_chat_at_one_gateway (void)
{
  check_hot_chat (1, 40, 290);
}

/* As above; each of four gateways knows what a quarter of the requests was told. */
static void
test_hot_chat_at_four_gateways (void)
{
  check_hot_chat (4, 40, 290);
}

/* Guards against 22 gateways that fill one home after the other, each by reports of before the
 * others' requests. */
static void
test_hot_chat_at_22_gateways (void)
{
  check_hot_chat (22, 40, 290);
}

/* As above with half as many gateways. */
static void
test_hot_chat_at_eleven_gateways (void)
{
  check_hot_chat (11, 40, 290);
}

/* Guards against one home for a hot chat where engines have so many requests that one more of each
 * gateway seems to fit. */
static void
test_hot_chat_in_heavy_traffic (void)
{
  check_hot_chat (22, 40, 420);
  check_hot_chat (22, 40, 600);
}

/* As above with more gateways. */
static void
test_hot_chat_at_103_gateways (void)
{
  check_hot_chat (103, 187, 1357);
}

/* As above; a gateway sends three requests a second, and hears of one engine in a minute. */
static void
test_hot_chat_at_385_gateways (void)
{
  check_hot_chat (385, 160, 1160);
}

/* As above with a request and a half a second. */
static void
test_hot_chat_at_880_gateways (void)
{
  check_hot_chat (880, 160, 1160);
}

/* Guards against overloaded engines when nothing is hot. */
static void
test_calm_traffic (void)
{
  load_fleet_options_t options = hot_chat;

  options.hot_milli = 0;
  check_overloaded (&options, "calm");
}

/* Guards against overloaded engines when a third of the messages between gateways is lost. */
static void
test_lost_messages (void)
{
  load_fleet_options_t options = hot_chat;

  options.lost_milli = 333;
  check_overloaded (&options, "lost messages");
}

/* Guards against overloaded engines when a quarter of them is half as fast. */
static void
test_slow_engines (void)
{
  load_fleet_options_t options = hot_chat;

  options.slow_milli = 2000;
  check_overloaded (&options, "slow engines");
}

/* Guards against overloaded engines when some gateways get three times the requests of others. */
static void
test_uneven_gateways (void)
{
  load_fleet_options_t options = hot_chat;

  options.uneven = true;
  check_overloaded (&options, "uneven gateways");
}

/* Guards against overloaded engines when the hot chat comes with a burst, as both end, and when the
 * traffic is light. */
static void
test_burst_and_light_traffic (void)
{
  load_fleet_options_t options = hot_chat;

  options.burst_milli = 1700;
  check_overloaded (&options, "burst");
  options.burst_milli = 0;
  options.per_s = 120;
  check_overloaded (&options, "light traffic");
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_hot_chat_at_one_gateway),
                                       SUITE_TEST (test_hot_chat_at_four_gateways),
                                       SUITE_TEST (test_hot_chat_at_22_gateways),
                                       SUITE_TEST (test_hot_chat_at_eleven_gateways),
                                       SUITE_TEST (test_hot_chat_in_heavy_traffic),
                                       SUITE_TEST (test_hot_chat_at_103_gateways),
                                       SUITE_TEST (test_hot_chat_at_385_gateways),
                                       SUITE_TEST (test_hot_chat_at_880_gateways),
                                       SUITE_TEST (test_calm_traffic),
                                       SUITE_TEST (test_lost_messages),
                                       SUITE_TEST (test_slow_engines),
                                       SUITE_TEST (test_uneven_gateways),
                                       SUITE_TEST (test_burst_and_light_traffic),
                                       CU_TEST_INFO_NULL };

  return suite_run ("hot_chat", tests);
}
