/* Unit tests of records of all streams with odd values in each field, of another writer: none ends
 * the process or stops the reading, and the next good record of the same key holds. */
#include "odd_store.h"
#include "odd_values.h"
#include "platform/records.h"
#include "suite.h"
#include "version/version_order.h"

#include <string.h>

#define PAGE_ITEMS 500
#define KEY_BYTES 16
#define NOW_US 1000000
/* above the odd ones that are no leap */
#define FIRST_VERSION 100000

static const odd_field_t engine_fields[] = {
  { "service", "\"pool\"" }, { "addr", "\"10.0.0.9:8080\"" },
  { "zone", "\"hall\"" },    { "version", "\"v1\"" },
  { "slots", "8" },          { "state", "\"ready\"" },
  { "cold_left_ms", "0" },   { "seq", "5" },
  { "born", "7" },           { "models", "[]" }
};

#define MODELS_FIELD (G_N_ELEMENTS (engine_fields) - 1) /* the one that gateways don't read */

/** struct fleet - what a reader makes of the registry */
typedef struct
{
  engines_t *engines;
  odd_store_t *store;
  odd_reader_t *reader;
} fleet_t;

static void
on_engine (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  engines_t *engines = context;
  engine_entry_t entry;

  (void)position;
  if (value && records_read_engine (&entry, key, value, value_bytes, NULL))
    engines_put (engines, NOW_US, &entry);
  else
    engines_remove (engines, NOW_US, key);
}

static void
begin_reading (fleet_t *fleet)
{
  fleet->reader = odd_reader_new (fleet->store, PLATFORM_STREAM_ENGINES, on_engine, fleet->engines);
  CU_ASSERT_FATAL (odd_reader_run (fleet->reader));
}

static void
fleet_init (fleet_t *fleet)
{
  fleet->engines = engines_new ();
  fleet->store = odd_store_new (PAGE_ITEMS);
}

static void
fleet_clear (fleet_t *fleet)
{
  odd_reader_free (fleet->reader);
  odd_store_free (fleet->store);
  engines_free (fleet->engines);
}

static void
key_of (guint number, char key[KEY_BYTES])
{
  g_snprintf (key, KEY_BYTES, "e-%04u", number);
}

/* Writes an entry of each engine itself. */
static void
write_good (const fleet_t *fleet, guint count, uint32_t sequence)
{
  odd_field_t fields[G_N_ELEMENTS (engine_fields)];
  g_autofree char *number = g_strdup_printf ("%u", sequence);
  g_autofree char *text = NULL;

  memcpy (fields, engine_fields, sizeof fields);
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    if (strcmp (fields[i].name, "seq") == 0)
      fields[i].text = number;
  text = odd_values_record (fields, G_N_ELEMENTS (fields), G_N_ELEMENTS (fields), NULL);
  for (guint i = 0; i < count; i++)
    {
      char key[KEY_BYTES];

      key_of (i, key);
      odd_store_put_text (fleet->store, key, text);
    }
}

static void
write_odd (const fleet_t *fleet, const GPtrArray *records)
{
  for (guint i = 0; i < records->len; i++)
    {
      const GString *text = g_ptr_array_index (records, i);
      char key[KEY_BYTES];

      key_of (i, key);
      odd_store_put (fleet->store, key, strlen (key), text->str, text->len);
    }
}

static void
check_good (const engines_t *engines, const GPtrArray *records, const char *when)
{
  for (guint i = 0; i < records->len; i++)
    {
      char key[KEY_BYTES];
      const engine_t *engine;

      key_of (i, key);
      engine = engines_find (engines, key);
      if (engine && engine_is_open (engine) && engine->entry.address.port == 8080 &&
          strcmp (engine->entry.address.ip, "10.0.0.9") == 0 && engine->entry.slots == 8 &&
          strcmp (engine->entry.data_center, "hall") == 0 &&
          strcmp (engine->entry.service, "pool") == 0 &&
          strcmp (engine->entry.software_version, "v1") == 0)
        continue;
      CU_FAIL ("a sound engine stays out");
      printf ("%s: %s %.200s\n", when, key, ((GString *)g_ptr_array_index (records, i))->str);
    }
}

/* Guards against an engine that stays out, or is used by another writer's word, after its own next
 * entry. */
static void
test_next_entry_of_an_engine_holds (void)
{
  g_autoptr (GPtrArray) odd = odd_values_make (engine_fields, G_N_ELEMENTS (engine_fields));
  fleet_t fleet;

  fleet_init (&fleet);
  write_good (&fleet, odd->len, 1);
  begin_reading (&fleet);
  check_good (fleet.engines, odd, "read");
  write_odd (&fleet, odd);
  CU_ASSERT (odd_reader_run (fleet.reader));
  write_good (&fleet, odd->len, 2);
  CU_ASSERT (odd_reader_run (fleet.reader));
  check_good (fleet.engines, odd, "after the odd entry");
  CU_ASSERT_EQUAL (odd_reader_failures (fleet.reader), 0);
  fleet_clear (&fleet);
}

/* Likewise where the odd entry is all that a gateway has seen of the engine. */
static void
test_next_entry_of_a_listed_engine_holds (void)
{
  g_autoptr (GPtrArray) odd = odd_values_make (engine_fields, G_N_ELEMENTS (engine_fields));
  fleet_t fleet;

  fleet_init (&fleet);
  write_odd (&fleet, odd);
  begin_reading (&fleet);
  write_good (&fleet, odd->len, 1);
  CU_ASSERT (odd_reader_run (fleet.reader));
  check_good (fleet.engines, odd, "listed");
  CU_ASSERT_EQUAL (odd_reader_failures (fleet.reader), 0);
  fleet_clear (&fleet);
}

/* Guards against an odd entry that brings a deleted engine back. */
static void
test_odd_entry_restores_no_deleted_engine (void)
{
  static const char *const texts[] = { "{}", "[[[[", "null", "{\"state\":\"ready\"}" };
  fleet_t fleet;

  fleet_init (&fleet);
  write_good (&fleet, 1, 1);
  begin_reading (&fleet);
  odd_store_put_text (fleet.store, "e-0000", NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    odd_store_put_text (fleet.store, "e-0000", texts[i]);
  CU_ASSERT (odd_reader_run (fleet.reader));
  CU_ASSERT_EQUAL (engines_count (fleet.engines), 0);
  fleet_clear (&fleet);
}

/* Likewise after the store came back from a copy, from before the odd entry or from after it. */
static void
test_next_entry_of_an_engine_holds_in_a_new_era (void)
{
  g_autoptr (GPtrArray) odd = odd_values_make (engine_fields, G_N_ELEMENTS (engine_fields));

  for (uint32_t copy_has_odd = 0; copy_has_odd < 2; copy_has_odd++)
    {
      fleet_t fleet;

      fleet_init (&fleet);
      write_good (&fleet, odd->len, 1);
      begin_reading (&fleet);
      if (!copy_has_odd)
        odd_store_copy (fleet.store);
      write_odd (&fleet, odd);
      CU_ASSERT (odd_reader_run (fleet.reader));
      if (copy_has_odd)
        odd_store_copy (fleet.store);
      odd_store_restore (fleet.store);
      CU_ASSERT (odd_reader_run (fleet.reader));
      write_good (&fleet, odd->len, 2);
      CU_ASSERT (odd_reader_run (fleet.reader));
      keyed_view_drop_missing (fleet.reader->view);
      keyed_view_apply_held (fleet.reader->view, "", 0);
      write_good (&fleet, odd->len, 3);
      CU_ASSERT (odd_reader_run (fleet.reader));
      check_good (fleet.engines, odd, copy_has_odd ? "copy with the odd entry" : "copy without it");
      fleet_clear (&fleet);
    }
}

/* Guards against a sound engine that stays out for a field that gateways don't read. */
static void
test_unread_field_keeps_no_engine_out (void)
{
  static const char *const unread[] = { "18446744073709551616",
                                        "-9223372036854775809",
                                        "1e999",
                                        "[{\"id\":123456789012345678901234567890}]",
                                        "{\"a\":[1e999,{}]}",
                                        "\"a\\u0000b\"",
                                        "{\"a\\u0000b\":1}" };
  static const char *const names[] = { "models", "other", "\\u006dodels", "Slots", "a\\u0000b" };

  for (size_t i = 0; i < G_N_ELEMENTS (unread) * G_N_ELEMENTS (names); i++)
    {
      odd_field_t fields[G_N_ELEMENTS (engine_fields)];
      g_autofree char *text = NULL;
      engine_entry_t entry;

      memcpy (fields, engine_fields, sizeof fields);
      fields[MODELS_FIELD].name = names[i / G_N_ELEMENTS (unread)];
      text = odd_values_record (fields, G_N_ELEMENTS (fields), MODELS_FIELD,
                                unread[i % G_N_ELEMENTS (unread)]);
      if (!records_read_engine (&entry, "e", text, strlen (text), NULL))
        {
          CU_FAIL ("an unread field keeps an engine out");
          printf ("%s\n", text);
          continue;
        }
      CU_ASSERT_EQUAL (entry.address.port, 8080);
      CU_ASSERT_EQUAL (entry.slots, 8);
      CU_ASSERT_EQUAL (entry.renewal, 5);
      CU_ASSERT_STRING_EQUAL (entry.service, "pool");
      CU_ASSERT_STRING_EQUAL (entry.software_version, "v1");
    }
}

/* Likewise against one that is used with a field that is out of range, or that ends early. */
static void
test_read_field_out_of_range_is_refused (void)
{
  static const char *const odd[] = { "18446744073709551616", "-9223372036854775809", "1e999",
                                     "[123456789012345678901234567890]", "\"a\\u0000b\"" };
  static const char *const ends[] = {
    "",           "7",  ",\"slots\":9}", ",\"sl\\u006fts\":9}", ",\"a\"}", "}{}",
    ",\"a\":[}}", ",}", ", }",           ",\"a\":nil}"
  };
  g_autofree char *valid =
      odd_values_record (engine_fields, G_N_ELEMENTS (engine_fields), MODELS_FIELD, "1e999");
  engine_entry_t entry;

  for (size_t i = 0; i < G_N_ELEMENTS (odd) * MODELS_FIELD; i++)
    {
      g_autofree char *text =
          odd_values_record (engine_fields, G_N_ELEMENTS (engine_fields),
                             (uint32_t)(i % MODELS_FIELD), odd[i / MODELS_FIELD]);

      CU_ASSERT (!records_read_engine (&entry, "e", text, strlen (text), NULL));
    }
  for (size_t i = 0; i < G_N_ELEMENTS (ends); i++)
    {
      g_autofree char *text = g_strdup_printf ("%.*s%s", (int)strlen (valid) - 1, valid, ends[i]);

      CU_ASSERT (!records_read_engine (&entry, "e", text, strlen (text), NULL));
    }
}

#define SERVICES 3000

/* Guards against memory that fills with services of another writer, under one key or many. */
static void
test_services_of_another_writer_are_forgotten (void)
{
  engines_t *engines = engines_new ();
  engine_entry_t entry = { .slots = 8, .state = ENGINE_READY };
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);
  g_autofree char *stem = g_strnfill (10000, 's');
  g_autofree char *long_name = g_strdup_printf ("\"%s\"", stem);
  g_autofree char *text =
      odd_values_record (engine_fields, G_N_ELEMENTS (engine_fields), 0, long_name);

  for (uint32_t i = 0; i < SERVICES; i++)
    {
      g_autoptr (GPtrArray) services = NULL;

      key_of (i % 2 == 0 ? 0 : i, entry.id);
      /* not interned: GLib never frees its table of strings as that grows */
      entry.service = g_strdup_printf ("odd-%u", i);
      g_ptr_array_add (names, (gpointer)entry.service);
      CU_ASSERT_PTR_NULL (engines_put (engines, NOW_US, &entry)->part_shares);
      if (i % 2 == 1)
        engines_remove (engines, NOW_US, entry.id);
      services = engines_list_services (engines);
      CU_ASSERT_EQUAL (services->len, 1);
    }
  CU_ASSERT (!records_read_engine (&entry, "e", text, strlen (text), NULL));
  engines_free (engines);
}

/* Guards against the loss of what is known of a service that requests use, as its engines leave. */
static void
test_service_in_use_is_kept (void)
{
  engines_t *engines = engines_new ();
  engine_entry_t entry = { .id = "e", .slots = 8, .service = g_intern_static_string ("pool") };
  const engine_t *engine = engines_put (engines, NOW_US, &entry);
  const GPtrArray *list = engines_of_service (engines, entry.service);
  const part_shares_t *shares = engine->part_shares;

  CU_ASSERT_PTR_NOT_NULL (shares);
  engines_remove (engines, NOW_US, "e");
  CU_ASSERT_PTR_EQUAL (engines_put (engines, NOW_US, &entry)->part_shares, shares);
  CU_ASSERT_PTR_EQUAL (engines_of_service (engines, entry.service), list);
  engines_free (engines);
}

static const odd_field_t config_fields[] = {
  { "version", "7" },
  { "routes", "[{\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"stream\",\"service\":\"pool\"}]" },
  { "services", "[{\"name\":\"pool\"}]" },
  { "tenants", "[{\"name\":\"alpha\",\"api_keys\":[\"key\"]}]" },
  { "limits", "{\"max_body_bytes\":65536}" }
};
static const odd_field_t route_fields[] = {
  { "name", "\"look\"" },   { "host", "\"h\"" },       { "path_prefix", "\"/\"" },
  { "kind", "\"stream\"" }, { "service", "\"pool\"" }, { "backends", "[]" },
  { "timeout_ms", "2000" }, { "aim_ms", "500" },       { "attempts", "2" },
  { "priority", "3" },      { "gap_target_ms", "30" }, { "public", "false" },
  { "sticky", "true" },     { "resumable", "true" },   { "allowed_regions", "null" },
};
static const odd_field_t service_fields[] = {
  { "name", "\"pool\"" }, { "cold_start_s", "1" }, { "cold_per_s", "1" }, { "engine", "{}" }
};
static const odd_field_t traits_fields[] = { { "handle_s", "1" },    { "kv_token_bytes", "1" },
                                             { "kv_capacity", "1" }, { "link_mbps", "1" },
                                             { "most", "1" },        { "backups", "true" },
                                             { "moves", "true" } };
static const odd_field_t account_fields[] = { { "name", "\"alpha\"" },
                                              { "api_keys", "[\"key\"]" },
                                              { "priority", "1" },
                                              { "allowed_regions", "[\"north\"]" } };
static const odd_field_t limits_fields[] = { { "max_header_bytes", "8192" },
                                             { "max_body_bytes", "65536" },
                                             { "header_timeout_ms", "1000" },
                                             { "idle_timeout_ms", "1000" } };

/** struct rules - what a reader makes of the stream of routing rules; @sound: versions that were in
 * force with what the operators wrote */
typedef struct
{
  version_order_t versions;
  routing_t *table;
  GHashTable *sound;
} rules_t;

static bool
is_sound (const routing_t *table)
{
  const routing_route_t *route = routing_find_route (table, "h", "/x");

  return route && routing_needs_key (table, route) &&
         strcmp (routing_route_choose_service (route, 0), "pool") == 0 &&
         routing_find_account (table, "key");
}

static void
on_rules (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  rules_t *rules = context;
  routing_t *table;

  (void)position;
  if (strcmp (key, PLATFORM_KEY_CONFIG) != 0 || !value)
    return;
  table = records_read_routing (value, value_bytes, rules->table, NULL);
  if (!table)
    return;
  if (version_order_take (&rules->versions, routing_version (table)))
    {
      g_clear_pointer (&rules->table, routing_unref);
      rules->table = routing_ref (table);
      if (is_sound (table))
        g_hash_table_add (rules->sound, GUINT_TO_POINTER (routing_version (table)));
    }
  routing_unref (table);
}

/* Writes a configuration whose member at @position is @format with an odd value in place of @, or
 * that is odd as a whole. */
static void
write_odd_config (odd_store_t *store, const GString *odd, uint32_t position, const char *format)
{
  GString *text = g_string_new (format);
  g_autofree char *whole = NULL;

  g_string_replace (text, "@", odd->str, 1);
  whole = odd_values_record (config_fields, G_N_ELEMENTS (config_fields), position, text->str);
  if (position < G_N_ELEMENTS (config_fields))
    odd_store_put_text (store, PLATFORM_KEY_CONFIG, whole);
  else
    odd_store_put (store, PLATFORM_KEY_CONFIG, strlen (PLATFORM_KEY_CONFIG), odd->str, odd->len);
  g_string_free (text, TRUE);
}

static uint32_t
own_version (guint number)
{
  return FIRST_VERSION + 10 * number;
}

static void
write_own_config (odd_store_t *store, uint32_t version)
{
  odd_field_t own[G_N_ELEMENTS (config_fields)];
  g_autofree char *digits = g_strdup_printf ("%u", version);
  g_autofree char *text = NULL;

  memcpy (own, config_fields, sizeof own);
  own[0].text = digits;
  text = odd_values_record (own, G_N_ELEMENTS (own), G_N_ELEMENTS (own), NULL);
  odd_store_put_text (store, PLATFORM_KEY_CONFIG, text);
}

/* Plays configurations with odd parts, with the operators' next one after each. */
static void
play_configs (const odd_field_t *fields, uint32_t count, uint32_t position, const char *format)
{
  g_autoptr (GPtrArray) odd = odd_values_make (fields, count);
  odd_store_t *store = odd_store_new (PAGE_ITEMS);
  rules_t rules = { .sound = g_hash_table_new (NULL, NULL) };
  odd_reader_t *reader = odd_reader_new (store, PLATFORM_STREAM_ROUTING, on_rules, &rules);

  write_own_config (store, 1);
  CU_ASSERT (odd_reader_run (reader));
  for (guint i = 0; i < odd->len; i++)
    {
      write_odd_config (store, g_ptr_array_index (odd, i), position, format);
      write_own_config (store, own_version (i));
    }
  CU_ASSERT (odd_reader_run (reader));
  for (guint i = 0; i < odd->len; i++)
    if (!g_hash_table_contains (rules.sound, GUINT_TO_POINTER (own_version (i))))
      {
        CU_FAIL ("a version of the operators did not come in force");
        printf ("%.200s\n", ((const GString *)g_ptr_array_index (odd, i))->str);
      }
  CU_ASSERT_EQUAL (odd_reader_failures (reader), 0);
  g_clear_pointer (&rules.table, routing_unref);
  g_hash_table_unref (rules.sound);
  odd_reader_free (reader);
  odd_store_free (store);
}

/* Guards against operators' versions that don't come in force after one of another writer. */
static void
test_next_configuration_is_in_force (void)
{
  play_configs (config_fields, G_N_ELEMENTS (config_fields), UINT32_MAX, "");
  play_configs (route_fields, G_N_ELEMENTS (route_fields), 1, "[@]");
  play_configs (service_fields, G_N_ELEMENTS (service_fields), 2, "[@]");
  play_configs (traits_fields, G_N_ELEMENTS (traits_fields), 2,
                "[{\"name\":\"pool\",\"engine\":@}]");
  play_configs (account_fields, G_N_ELEMENTS (account_fields), 3, "[@]");
  play_configs (limits_fields, G_N_ELEMENTS (limits_fields), 4, "@");
}

/* Guards against streams that are given up at once, as four times a large target is a small number.
 */
static void
test_large_targets_do_not_wrap (void)
{
  static const char *const fields[] = { "aim_ms", "gap_target_ms", "timeout_ms" };
  static const uint64_t factors[] = { 4, 8, 4 };
  static const uint64_t numbers[] = { UINT32_MAX, 1u << 30, 1u << 29 };

  for (size_t i = 0; i < G_N_ELEMENTS (fields) * G_N_ELEMENTS (numbers); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "{\"version\":1,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/\",\"kind\":\"stream\","
          "\"service\":\"pool\",\"%s\":%" G_GUINT64_FORMAT "}]}",
          fields[i % 3], numbers[i / 3]);
      routing_t *table = records_read_routing (text, strlen (text), NULL, NULL);

      CU_ASSERT_PTR_NOT_NULL_FATAL (table);
      CU_ASSERT_EQUAL (routing_find_route (table, "h", "/")->client_silence_limit_ms,
                       MIN (numbers[i / 3] * factors[i % 3], UINT32_MAX));
      routing_unref (table);
    }
}

/* Guards against requests without a key that are served, as the list of accounts is none. */
static void
test_accounts_that_are_no_list_are_refused (void)
{
  static const char *const odd[] = { "7", "{}", "\"x\"", "true", "{\"alpha\":[\"key\"]}" };

  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      g_autofree char *text =
          g_strdup_printf ("{\"version\":1,\"routes\":[],\"tenants\":%s}", odd[i]);

      CU_ASSERT_PTR_NULL (records_read_routing (text, strlen (text), NULL, NULL));
    }
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_next_entry_of_an_engine_holds),
                                       SUITE_TEST (test_next_entry_of_a_listed_engine_holds),
                                       SUITE_TEST (test_odd_entry_restores_no_deleted_engine),
                                       SUITE_TEST (test_next_entry_of_an_engine_holds_in_a_new_era),
                                       SUITE_TEST (test_unread_field_keeps_no_engine_out),
                                       SUITE_TEST (test_read_field_out_of_range_is_refused),
                                       SUITE_TEST (test_services_of_another_writer_are_forgotten),
                                       SUITE_TEST (test_service_in_use_is_kept),
                                       SUITE_TEST (test_next_configuration_is_in_force),
                                       SUITE_TEST (test_large_targets_do_not_wrap),
                                       SUITE_TEST (test_accounts_that_are_no_list_are_refused),
                                       CU_TEST_INFO_NULL };

  return suite_run ("odd_values", tests);
}
