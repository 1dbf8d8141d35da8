/**
 * DOC: session_silent_upstreams
 *
 * Upstreams that are sound fall silent for two seconds at most and go on, with real processes. No
 * upstream ends and the load is light, so every request can be answered within its time, and each
 * must be. What callers got is checked request by request, and what ran by the upstreams' records.
 */
#include "silence_play.h"

#define ENTRY_TTL_MS 3600 /* three heartbeats of 1,200 ms, longer than any silence */
#define SHORT_ENTRY_TTL_MS 1000
#define PLAYS_MAX 3

/* Plays each of @list twice, with one configuration and beside changes. */
static void
run_plays (const char *name, const silence_play_options_t *list, uint32_t count)
{
  silence_rig_t rig = { 0 };
  silence_play_t plays[2 * PLAYS_MAX] = { 0 };
  g_autoptr (GHashTable) runs = NULL;

  g_assert (count <= PLAYS_MAX);
  silence_rig_start (&rig, driver_new (name), list[0].lapses ? SHORT_ENTRY_TTL_MS : ENTRY_TTL_MS);
  for (uint32_t i = 0; i < 2 * count; i++)
    {
      plays[i] = (silence_play_t){ .rig = &rig, .options = list[i / 2], .number = i };
      plays[i].options.changes = i % 2 > 0;
      silence_play_run (&plays[i]);
    }
  silence_rig_stop_upstreams (&rig);
  runs = silence_rig_count_runs (&rig);
  for (uint32_t i = 0; i < 2 * count; i++)
    silence_play_check (&plays[i], runs);
  driver_finish (rig.driver);
}

#define SILENCES(list) .silences = (list), .silence_count = G_N_ELEMENTS (list)

/* Guards the others: without a silence nothing is lost. */
static void
test_awake (void)
{
  static const silence_t none[] = { { 0, 2000, 0 } };
  static const silence_play_options_t list[] = { { "all awake", SILENCES (none) } };

  run_plays ("silent_awake", list, G_N_ELEMENTS (list));
}

/* Guards against requests that are given up before it is known that another upstream may take
 * them. */
static void
test_part (void)
{
  static const silence_t one[] = { { 0, 600, 0x04 }, { 1900, 2000, 0x04 } };
  static const silence_t some[] = { { 0, 1200, 0x09 }, { 2500, 2000, 0x12 } };
  static const silence_t in_turn[] = { { 0, 1200, 0x01 },
                                       { 600, 1200, 0x08 },
                                       { 1200, 1200, 0x02 },
                                       { 1800, 1200, 0x50 },
                                       { 2400, 1200, 0x24 } };
  static const silence_play_options_t list[] = { { "the only one of a version", SILENCES (one) },
                                                 { "some", SILENCES (some) },
                                                 { "in turn", SILENCES (in_turn) } };

  run_plays ("silent_part", list, G_N_ELEMENTS (list));
}

/* Guards against a silence of all upstreams that is taken for the end of all. */
static void
test_all (void)
{
  static const silence_t streams[] = { { 0, 700, SILENCE_RIG_STREAMS },
                                       { 2000, 2000, SILENCE_RIG_STREAMS } };
  static const silence_t lookups[] = { { 0, 700, SILENCE_RIG_LOOKUPS },
                                       { 1200, 2000, SILENCE_RIG_LOOKUPS } };
  static const silence_t all[] = { { 0, 700, SILENCE_RIG_ALL },
                                   { 2000, 1200, SILENCE_RIG_ALL },
                                   { 4500, 2000, SILENCE_RIG_ALL } };
  static const silence_play_options_t list[] = { { "all of streams", SILENCES (streams) },
                                                 { "all of lookups", SILENCES (lookups) },
                                                 { "all", SILENCES (all) } };

  run_plays ("silent_all", list, G_N_ELEMENTS (list));
}

/* Guards against requests in hand that end with the entry of their upstream. */
static void
test_lapses (void)
{
  static const silence_t all[] = { { 0, 2000, SILENCE_RIG_ALL } };
  static const silence_play_options_t list[] = { { "entries of all lapse", SILENCES (all),
                                                   .lapses = true } };

  run_plays ("silent_lapses", list, G_N_ELEMENTS (list));
}

/* Guards against upstreams that are taken for dead when they don't take a connection in time. */
static void
test_dark (void)
{
  static const silence_t one[] = { { 0, 2000, 0x09 } };
  static const silence_t all[] = { { 0, 1200, SILENCE_RIG_ALL }, { 2500, 2000, SILENCE_RIG_ALL } };
  static const silence_play_options_t list[] = {
    { "some are dark", SILENCES (one), .is_dark = true },
    { "all are dark", SILENCES (all), .is_dark = true }
  };

  run_plays ("silent_dark", list, G_N_ELEMENTS (list));
}

/* Guards against connections that are closed with a request on hand. */
static void
test_kept (void)
{
  static const silence_t all[] = { { 600, 1200, SILENCE_RIG_ALL },
                                   { 2800, 2000, SILENCE_RIG_ALL } };
  static const silence_play_options_t list[] = { { "all, connections are kept", SILENCES (all),
                                                   .keeps = true } };

  run_plays ("silent_kept", list, G_N_ELEMENTS (list));
}

int
main (void)
{
  static const driver_test_t tests[] = {
    { "nothing is lost while all upstreams are awake", test_awake },
    { "requests are lost while some upstreams are silent", test_part },
    { "requests are lost while all upstreams are silent", test_all },
    { "requests in hand are lost when the entries of silent upstreams lapse", test_lapses },
    { "requests are lost while silent upstreams take no connections", test_dark },
    { "requests on kept connections are lost while upstreams are silent", test_kept }
  };

  return driver_main ("silent_upstreams", tests, G_N_ELEMENTS (tests));
}
