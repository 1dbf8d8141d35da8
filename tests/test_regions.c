/* Unit tests of requests that are restricted to regions: settings, configuration and choice. */
#include "base/region_map.h"
#include "platform/records.h"
#include "request/policy/placement/engine_choice.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (engines_t, engines_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (routing_t, routing_unref)

#define NOW_US (UINT64_C (100) * 1000 * 1000)
#define SEED 20261203
#define ROUNDS 4000
#define ENGINES 12
#define REGIONS 3

static const char *const region_names[REGIONS] = { "north", "south", "west" };

static void
test_map_is_read (void)
{
  region_map_t map = { 0 };
  g_autofree char *text = NULL;

  CU_ASSERT (region_map_parse (&map, "hall-1=north,hall-2=south,hall-3=north"));
  CU_ASSERT_STRING_EQUAL (region_map_find (&map, "hall-3"), "north");
  CU_ASSERT_PTR_NULL (region_map_find (&map, "hall-4"));
  text = region_map_to_text (&map);
  CU_ASSERT_STRING_EQUAL (text, "hall-1=north,hall-2=south,hall-3=north");
}

/* Guards against an error in the settings leaving half of a map in force. */
static void
test_invalid_map_is_rejected_whole (void)
{
  static const char *const invalid[] = { "hall-1",   "hall-1=",         "=north",
                                         "a=b=c",    "hall-1=north,",   "hall-1=north,hall-1=south",
                                         ",a=north", "a=north,,b=north" };
  g_autofree char *name = g_strnfill (LIMIT_NAME_BYTES, 'x');
  g_autofree char *too_long = g_strconcat ("a=", name, NULL);
  GString *many = g_string_new ("h=r");
  region_map_t map = { 0 };

  CU_ASSERT (region_map_parse (&map, "hall-1=north"));
  for (size_t i = 0; i < G_N_ELEMENTS (invalid); i++)
    CU_ASSERT (!region_map_parse (&map, invalid[i]));
  CU_ASSERT (!region_map_parse (&map, too_long));
  for (uint32_t i = 0; i < REGION_MAP_DATA_CENTERS; i++)
    g_string_append_printf (many, ",h%u=r", i);
  CU_ASSERT (!region_map_parse (&map, many->str));
  CU_ASSERT_EQUAL (map.count, 1);
  CU_ASSERT_STRING_EQUAL (region_map_find (&map, "hall-1"), "north");
  g_string_free (many, TRUE);
}

#define ROUTE(prefix, more)                                                                        \
  "{\"host\":\"h\",\"path_prefix\":\"" prefix "\",\"kind\":\"stream\",\"service\":\"pool\"" more "}"

/* An empty or malformed list allows no region. If it were read as no restriction, requests would
 * reach regions that operators meant to exclude. */
static void
test_regions_are_read (void)
{
  static const char text[] = "{\"version\":3,\"routes\":[" ROUTE ("/any/", "") "," ROUTE (
      "/one/",
      ",\"allowed_"
      "regions\":["
      "\"north\","
      "\"west\"]") "," ROUTE ("/none/",
                              ",\"allowed_regions\":[]") "," ROUTE ("/odd/",
                                                                    ",\"allowed_regions\":"
                                                                    "\"north\"") "],\"tenants\":"
                                                                                 "[{\"name\":"
                                                                                 "\"a\",\"api_"
                                                                                 "keys\":[\"k\"]"
                                                                                 ",\"allowed_"
                                                                                 "regions\":["
                                                                                 "\"south\"]},"
                                                                                 "{\"name\":"
                                                                                 "\"b\",\"api_"
                                                                                 "keys\":[\"l\"]"
                                                                                 "}]}";
  g_autoptr (routing_t) routing = records_read_routing (text, strlen (text), NULL, NULL);

  CU_ASSERT_PTR_NULL (routing_find_route (routing, "h", "/any/")->regions);
  CU_ASSERT_STRING_EQUAL (routing_find_route (routing, "h", "/one/")->regions[1], "west");
  CU_ASSERT_PTR_NULL (routing_find_route (routing, "h", "/none/")->regions[0]);
  CU_ASSERT_PTR_NULL (routing_find_route (routing, "h", "/odd/")->regions[0]);
  CU_ASSERT_STRING_EQUAL (routing_find_account (routing, "k")->regions[0], "south");
  CU_ASSERT_PTR_NULL (routing_find_account (routing, "l")->regions);
}

/* The region of one engine in four is unknown. */
static engines_t *
random_engines (GRand *rand)
{
  engines_t *engines = engines_new ();

  for (uint32_t i = 0; i < ENGINES; i++)
    {
      gint32 region = g_rand_int_range (rand, 0, REGIONS + 1);
      engine_entry_t entry = {
        .service = g_intern_static_string ("pool"),
        .slots = 2,
        .state = g_rand_int_range (rand, 0, 5) == 0 ? ENGINE_LEAVING : ENGINE_READY,
        .region = region < REGIONS ? g_intern_static_string (region_names[region]) : NULL
      };
      engine_t *engine;

      g_snprintf (entry.id, sizeof entry.id, "e%u", i);
      engine = engines_put (engines, NOW_US, &entry);
      for (gint32 load = g_rand_int_range (rand, 0, 4); load > 0; load--)
        engine_begin_request (engine, NOW_US);
      for (gint32 failures = g_rand_int_range (rand, 0, 4); failures > 0; failures--)
        engine_note_failure (engine, NOW_US);
    }
  return engines;
}

static const char *const *
random_regions (GRand *rand, const char *names[REGIONS + 1])
{
  uint32_t count = 0;

  if (g_rand_boolean (rand))
    return NULL;
  for (uint32_t i = 0; i < REGIONS; i++)
    if (g_rand_boolean (rand))
      names[count++] = region_names[i];
  names[count] = NULL;
  return names;
}

static bool
is_allowed (const engine_t *engine, const char *const *regions)
{
  return !regions || (engine->entry.region && g_strv_contains (regions, engine->entry.region));
}

/*
 * For random loads, failures and lists: neither the chosen engine nor the one whose cache is copied
 * is outside of the regions that the request's route and account allow, and the request is refused
 * only if there is no candidate.
 */
static void
test_requests_stay_in_their_regions (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (SEED);
  uint32_t sent = 0;
  uint32_t refused = 0;

  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      const char *by_route[REGIONS + 1];
      const char *by_account[REGIONS + 1];
      g_autoptr (engines_t) engines = random_engines (rand);
      engine_choice_request_t request = { .affinity = g_rand_int_range (rand, 0, 3),
                                          .own_data_center = "hall-1",
                                          .region_filter = {
                                              .route = random_regions (rand, by_route),
                                              .account = random_regions (rand, by_account) } };
      const GPtrArray *list = engines_of_service (engines, g_intern_static_string ("pool"));
      engine_choice_t choice = engine_choice_make (list, NOW_US, &request);
      uint32_t allowed = 0;

      for (guint k = 0; k < list->len; k++)
        {
          const engine_t *engine = g_ptr_array_index (list, k);

          allowed += engine_is_open (engine) && is_allowed (engine, request.region_filter.route) &&
                             is_allowed (engine, request.region_filter.account)
                         ? 1
                         : 0;
        }
      CU_ASSERT ((choice.action == ENGINE_CHOICE_NONE) == (choice.candidates == 0));
      CU_ASSERT (choice.candidates <= allowed &&
                 (allowed > 0 || choice.action == ENGINE_CHOICE_NONE));
      if (choice.engine)
        CU_ASSERT (is_allowed (choice.engine, request.region_filter.route) &&
                   is_allowed (choice.engine, request.region_filter.account));
      if (choice.source)
        CU_ASSERT (is_allowed (choice.source, request.region_filter.route) &&
                   is_allowed (choice.source, request.region_filter.account));
      sent += choice.action == ENGINE_CHOICE_SEND ? 1 : 0;
      refused += choice.action == ENGINE_CHOICE_NONE ? 1 : 0;
      for (guint k = 0; k < list->len; k++)
        {
          engine_t *engine = g_ptr_array_index (list, k);

          while (engine->own_requests > 0)
            engine_end_request (engine);
        }
    }
  CU_ASSERT (sent > ROUNDS / 2 && refused > ROUNDS / 50);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_map_is_read),
                                       SUITE_TEST (test_invalid_map_is_rejected_whole),
                                       SUITE_TEST (test_regions_are_read),
                                       SUITE_TEST (test_requests_stay_in_their_regions),
                                       CU_TEST_INFO_NULL };

  return suite_run ("regions", tests);
}
