/* Unit tests of the routing table, and of its parsing from the platform's configuration. */
#include "platform/json_split.h"
#include "platform/records.h"
#include "suite.h"
#include "version/routing.h"

#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (routing_t, routing_unref)

static routing_route_t *
make_route (const char *prefix, const char *service)
{
  routing_route_t *route = routing_route_new (prefix, "Shop.example", prefix);

  route->timeout_ms = 1000;
  route->attempts = 1;
  routing_route_add_target (route, service, 1);
  return route;
}

static const char *
find_prefix (const routing_t *routing, const char *host, const char *target)
{
  const routing_route_t *route = routing_find_route (routing, host, target);

  return route ? route->path_prefix : "none";
}

static void
test_longest_prefix_wins (void)
{
  g_autoptr (routing_t) routing = routing_new (1);

  CU_ASSERT (routing_add_route (routing, make_route ("/a/", "one"), NULL));
  CU_ASSERT (routing_add_route (routing, make_route ("/a/b/", "two"), NULL));
  CU_ASSERT_STRING_EQUAL (find_prefix (routing, "shop.example", "/a/x"), "/a/");
  CU_ASSERT_STRING_EQUAL (find_prefix (routing, "shop.example", "/a/b/x?y=/z/"), "/a/b/");
  CU_ASSERT_STRING_EQUAL (find_prefix (routing, "shop.example", "/a/b"), "/a/");
  CU_ASSERT_STRING_EQUAL (find_prefix (routing, "shop.example", "/a"), "none");
  CU_ASSERT_STRING_EQUAL (find_prefix (routing, "SHOP.example:8080", "/a/"), "/a/");
  CU_ASSERT_STRING_EQUAL (find_prefix (routing, "other.example", "/a/"), "none");
  CU_ASSERT_STRING_EQUAL (find_prefix (routing, "", "/a/"), "none");
  CU_ASSERT_STRING_EQUAL (find_prefix (routing, NULL, "/a/"), "none");
  CU_ASSERT_STRING_EQUAL (find_prefix (routing, "shop.example", "/b?x=/a/"), "none");
}

/* Values that are not valid numbers count as unknown. A rate is rounded down, because a higher one
 * would overload cold engines, but never to zero, which would mean no limit. */
static void
test_services_are_read (void)
{
  static const char text[] =
      "{\"version\":3,\"routes\":[],\"services\":[{\"name\":\"pool\",\"cold_start_s\":2.5,"
      "\"cold_per_s\":16.9},{\"name\":\"slow\",\"cold_per_s\":0.5},{\"name\":\"odd\",\"cold_start_"
      "s\":\"x\",\"cold_per_s\":-1}]}";
  g_autoptr (routing_t) routing = records_read_routing (text, strlen (text), NULL, NULL);
  const routing_service_t *pool = routing_find_service (routing, g_intern_static_string ("pool"));
  const routing_service_t *odd = routing_find_service (routing, g_intern_static_string ("odd"));

  CU_ASSERT_EQUAL (pool->cold_requests_per_s, 16);
  CU_ASSERT_EQUAL (pool->cold_start_us, 2500 * 1000);
  CU_ASSERT_EQUAL (
      routing_find_service (routing, g_intern_static_string ("slow"))->cold_requests_per_s, 1);
  CU_ASSERT_EQUAL (odd->cold_requests_per_s, 0);
  CU_ASSERT_EQUAL (odd->cold_start_us, 0);
  CU_ASSERT_PTR_NULL (routing_find_service (routing, g_intern_static_string ("none")));
}

static bool
states_nothing (const routing_engine_traits_t *engine)
{
  return engine->cache_token_bytes == 0 && engine->cache_tokens == 0 && engine->link_mbps == 0 &&
         engine->cache_listeners == 0 && engine->copy_lifetime_us == 0 && !engine->has_moves &&
         !engine->has_backups;
}

/* An engine that states nothing of its caches, or nonsense, must not be asked for copies. */
static void
test_engine_traits_are_read (void)
{
  static const char text[] =
      "{\"version\":3,\"routes\":[],\"services\":[{\"name\":\"pool\",\"engine\":{"
      "\"kv_token_bytes\":163840,\"kv_capacity\":507096,\"link_mbps\":740000.0,\"moves\":true,"
      "\"backups\":true,\"most\":2,\"handle_s\":5.0}},{\"name\":\"odd\",\"engine\":{"
      "\"kv_token_bytes\":\"x\",\"moves\":1,\"most\":-1}},{\"name\":\"plain\"}]}";
  g_autoptr (routing_t) routing = records_read_routing (text, strlen (text), NULL, NULL);
  const routing_engine_traits_t *pool =
      &routing_find_service (routing, g_intern_static_string ("pool"))->engine;
  const routing_engine_traits_t *odd =
      &routing_find_service (routing, g_intern_static_string ("odd"))->engine;
  const routing_engine_traits_t *plain =
      &routing_find_service (routing, g_intern_static_string ("plain"))->engine;

  CU_ASSERT_EQUAL (pool->cache_token_bytes, 163840);
  CU_ASSERT_EQUAL (pool->cache_tokens, 507096);
  CU_ASSERT_EQUAL (pool->link_mbps, 740000);
  CU_ASSERT_EQUAL (pool->cache_listeners, 2);
  CU_ASSERT_EQUAL (pool->copy_lifetime_us, 5 * 1000 * 1000);
  CU_ASSERT_TRUE (pool->has_moves && pool->has_backups);
  CU_ASSERT_TRUE (states_nothing (odd));
  CU_ASSERT_TRUE (states_nothing (plain));
}

static void
test_long_paths_do_not_overflow (void)
{
  g_autoptr (routing_t) routing = routing_new (1);
  g_autofree char *tail = g_strnfill (100000, 'x');
  g_autofree char *target = g_strconcat ("/a/", tail, "/", NULL);
  g_autofree char *host = g_strnfill (5000, 'h');

  CU_ASSERT (routing_add_route (routing, make_route ("/a/", "one"), NULL));
  CU_ASSERT_STRING_EQUAL (find_prefix (routing, "shop.example", target), "/a/");
  CU_ASSERT_STRING_EQUAL (find_prefix (routing, host, target), "none");
}

static void
expect_rejected (routing_t *routing, routing_route_t *route, const char *word)
{
  g_autoptr (GError) error = NULL;

  CU_ASSERT (!routing_add_route (routing, route, &error));
  CU_ASSERT_PTR_NOT_NULL_FATAL (error);
  CU_ASSERT_PTR_NOT_NULL (strstr (error->message, word));
}

static void
test_invalid_routes_are_rejected (void)
{
  g_autoptr (routing_t) routing = routing_new (1);
  routing_route_t *route = make_route ("/b/", "one");

  CU_ASSERT (routing_add_route (routing, make_route ("/a/", "one"), NULL));
  expect_rejected (routing, make_route ("/a/", "two"), "of another");
  expect_rejected (routing, make_route ("/a", "two"), "slash");
  route->attempts = 0;
  expect_rejected (routing, route, "attempts");
  expect_rejected (routing, routing_route_new ("r", "h", "/c/"), "no service");
  CU_ASSERT_EQUAL (routing_route_count (routing), 1);
}

static void
test_targets_are_chosen_by_weight (void)
{
  routing_route_t *route = routing_route_new ("r", "h", "/r/");
  uint32_t big_count = 0;

  routing_route_add_target (route, "big", 90);
  routing_route_add_target (route, "small", 10);
  for (uint64_t selector = 0; selector < 1000; selector++)
    big_count += strcmp (routing_route_choose_service (route, selector), "big") == 0 ? 1 : 0;
  CU_ASSERT_EQUAL (big_count, 900);
  routing_route_unref (route);
}

static void
test_keys_belong_to_one_account (void)
{
  g_autoptr (routing_t) routing = routing_new (1);
  const char *keys[] = { "k1", "k2" };
  routing_account_t account = { .name = "alpha" };

  CU_ASSERT (routing_add_account (routing, &account, keys, 2, NULL));
  CU_ASSERT_STRING_EQUAL (routing_find_account (routing, "k2")->name, "alpha");
  CU_ASSERT_PTR_NULL (routing_find_account (routing, "k3"));
  CU_ASSERT (!routing_add_account (routing, &account, keys, 0, NULL));
  account.name = "beta";
  CU_ASSERT (!routing_add_account (routing, &account, keys, 1, NULL));
}

#define ROUTE_A                                                                                    \
  "{\"name\":\"r\",\"host\":\"h.example\",\"path_prefix\":\"/a/\",\"kind\":\"stream\","            \
  "\"timeout_ms\":15000,\"aim_ms\":800,\"priority\":1,\"backends\":[{\"service\":\"s\","           \
  "\"weight\":90},{\"service\":\"t\",\"weight\":10}],\"attempts\":2,\"public\":false,"             \
  "\"sticky\":true,\"resumable\":true,\"gap_target_ms\":300}"
#define ROUTE_B                                                                                    \
  "{\"host\":\"h.example\",\"path_prefix\":\"/b/\",\"kind\":\"non_idempotent\",\"service\":\"s\"," \
  "\"public\":true,\"new\":{\"a\":[1,\"]\"]}}"
#define LIMITS_AND_TENANTS                                                                         \
  "\"limits\":{\"max_body_bytes\":4096},\"tenants\":[{\"name\":\"one\",\"api_keys\":[\"key\"],"    \
  "\"priority\":1}],\"later\":[{}]"

static routing_t *
read_config (const char *text, const routing_t *before)
{
  return records_read_routing (text, strlen (text), before, NULL);
}

static void
test_configuration_is_read (void)
{
  g_autoptr (routing_t) routing = read_config (
      "{\"version\":7,\"routes\":[" ROUTE_A ", " ROUTE_B "]," LIMITS_AND_TENANTS "}", NULL);
  const routing_route_t *route;

  CU_ASSERT_PTR_NOT_NULL_FATAL (routing);
  CU_ASSERT_EQUAL (routing_version (routing), 7);
  route = routing_find_route (routing, "h.example", "/a/1");
  CU_ASSERT_PTR_NOT_NULL_FATAL (route);
  CU_ASSERT_EQUAL (route->kind, ROUTING_STREAM);
  CU_ASSERT_EQUAL (route->timeout_ms, 15000);
  CU_ASSERT_EQUAL (route->event_gap_target_ms, 300);
  CU_ASSERT (route->resumable && route->sticky && !route->is_public);
  CU_ASSERT (routing_needs_key (routing, route));
  CU_ASSERT_STRING_EQUAL (routing_route_choose_service (route, 95), "t");
  CU_ASSERT (!routing_needs_key (routing, routing_find_route (routing, "h.example", "/b/")));
  CU_ASSERT_EQUAL (routing_find_account (routing, "key")->priority, 1);
  CU_ASSERT_EQUAL (routing_limits (routing)->body_bytes, 4096);
}

/* Unchanged routes must be shared between versions: parsing a thousand routes again for each
 * version would stall a slow host. A changed route must not be shared. */
static void
test_unchanged_routes_are_shared (void)
{
  g_autoptr (routing_t) old = read_config (
      "{\"version\":7,\"routes\":[" ROUTE_A "," ROUTE_B "]," LIMITS_AND_TENANTS "}", NULL);
  g_autoptr (routing_t) new =
      read_config ("{\"routes\":[{\"host\":\"h.example\",\"path_prefix\":\"/b/\","
                   "\"kind\":\"idempotent\",\"service\":\"s\"}," ROUTE_A "],\"version\":9}",
                   old);

  CU_ASSERT_PTR_NOT_NULL_FATAL (new);
  CU_ASSERT_PTR_EQUAL (routing_find_route (new, "h.example", "/a/"),
                       routing_find_route (old, "h.example", "/a/"));
  CU_ASSERT_EQUAL (routing_find_route (new, "h.example", "/b/")->kind, ROUTING_IDEMPOTENT);
  CU_ASSERT_EQUAL (routing_find_route (old, "h.example", "/b/")->kind, ROUTING_NON_IDEMPOTENT);
}

static void
test_invalid_configurations_are_rejected (void)
{
  static const char *const texts[] = {
    "",
    "[]",
    "{",
    "{\"version\":7}",
    "{\"version\":0,\"routes\":[]}",
    "{\"version\":\"7\",\"routes\":[]}",
    "{\"version\":7,\"routes\":{}}",
    "{\"version\":7,\"routes\":[" ROUTE_A "}",
    "{\"version\":7,\"routes\":[" ROUTE_A "," ROUTE_A "]}",
    "{\"version\":7,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"other\"}]}",
    "{\"version\":7,\"routes\":[7]}",
    "{\"version\":7,\"routes\":[],\"tenants\":[{\"api_keys\":[]}]}",
    "{\"version\":7,\"routes\":[],\"tenants\":[{\"name\":\"a\",\"api_keys\":[1]}]}",
    "{\"version\":7,\"routes\":[\"\\",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      g_autoptr (GError) error = NULL;

      CU_ASSERT_PTR_NULL (records_read_routing (texts[i], strlen (texts[i]), NULL, &error));
      CU_ASSERT_PTR_NOT_NULL (error);
    }
}

static void
test_truncated_configurations_are_rejected (void)
{
  static const char text[] =
      "{\"version\":7,\"routes\":[" ROUTE_A "," ROUTE_B "]," LIMITS_AND_TENANTS "}";

  for (size_t bytes = 0; bytes < sizeof text - 1; bytes++)
    {
      /* a block of minimal size, so that a sanitizer detects overruns */
      g_autofree char *truncated = g_memdup2 (text, bytes + 1);
      routing_t *routing = records_read_routing (truncated, bytes, NULL, NULL);

      CU_ASSERT_PTR_NULL (routing);
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_longest_prefix_wins),
                                       SUITE_TEST (test_services_are_read),
                                       SUITE_TEST (test_engine_traits_are_read),
                                       SUITE_TEST (test_long_paths_do_not_overflow),
                                       SUITE_TEST (test_invalid_routes_are_rejected),
                                       SUITE_TEST (test_targets_are_chosen_by_weight),
                                       SUITE_TEST (test_keys_belong_to_one_account),
                                       SUITE_TEST (test_configuration_is_read),
                                       SUITE_TEST (test_unchanged_routes_are_shared),
                                       SUITE_TEST (test_invalid_configurations_are_rejected),
                                       SUITE_TEST (test_truncated_configurations_are_rejected),
                                       CU_TEST_INFO_NULL };

  return suite_run ("routing", tests);
}
