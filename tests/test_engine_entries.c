/* Unit tests of parsing engines' entries in the platform's registry, including invalid ones. */
#include "platform/records.h"
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#define FUZZ_SEED 20261203
#define FUZZ_ROUNDS 20000
#define FUZZ_CHANGES 4
#define ENTRY(zone, slots, state, more)                                                            \
  "{\"service\":\"s\",\"addr\":\"10.0.0.9:8080\"" zone slots state REST more "}"
#define ENTRY_OF(more) "{\"service\":\"s\",\"addr\":\"10.0.0.9:8080\"" ZONE SLOTS READY more "}"
#define ZONE ",\"zone\":\"hall\""
#define SLOTS ",\"slots\":128"
#define READY ",\"state\":\"ready\""
#define VERSION ",\"version\":\"v1\""
#define COLD ",\"cold_left_ms\":20"
#define SEQ ",\"seq\":4"
#define REST VERSION COLD SEQ

static bool
parse_entry (const char *text, engine_entry_t *entry)
{
  GError *error = NULL;
  bool valid = records_read_engine (entry, "i-1", text, strlen (text), &error);

  CU_ASSERT (valid == (error == NULL));
  g_clear_error (&error);
  return valid;
}

static void
test_valid_entry_is_parsed (void)
{
  engine_entry_t entry;

  CU_ASSERT (parse_entry (ENTRY (ZONE, SLOTS, READY, ",\"born\":1791152480123"), &entry));
  CU_ASSERT_STRING_EQUAL (entry.id, "i-1");
  CU_ASSERT_PTR_EQUAL (entry.service, g_intern_string ("s"));
  CU_ASSERT_STRING_EQUAL (entry.address.ip, "10.0.0.9");
  CU_ASSERT_STRING_EQUAL (entry.data_center, "hall");
  CU_ASSERT_EQUAL (entry.state, ENGINE_READY);
  CU_ASSERT_EQUAL (entry.slots, 128);
  CU_ASSERT_EQUAL (entry.cold_ms, 20);
  CU_ASSERT_EQUAL (entry.renewal, 4);
  CU_ASSERT_STRING_EQUAL (entry.software_version, "v1");
  CU_ASSERT_EQUAL (entry.born_ms, UINT64_C (1791152480123));
}

static void
test_start_time_is_optional (void)
{
  engine_entry_t entry;

  CU_ASSERT (parse_entry (ENTRY (ZONE, SLOTS, ",\"state\":\"draining\"", ""), &entry));
  CU_ASSERT_EQUAL (entry.state, ENGINE_LEAVING);
  CU_ASSERT_EQUAL (entry.born_ms, 0);
}

static uint64_t
parse_software_hash (const char *more)
{
  g_autofree char *text = g_strdup_printf (ENTRY_OF (COLD SEQ "%s"), more);
  engine_entry_t entry;

  CU_ASSERT (parse_entry (text, &entry));
  return entry.software_hash;
}

/* Guards against engines of two software versions that count as one. */
static void
test_software_versions_differ (void)
{
  g_autofree char *stem = g_strnfill (2 * LIMIT_NAME_BYTES, 'v');
  g_autofree char *first = g_strdup_printf (",\"version\":\"%s1\"", stem);
  g_autofree char *second = g_strdup_printf (",\"version\":\"%s2\"", stem);

  CU_ASSERT_EQUAL (parse_software_hash (",\"version\":\"v1\""),
                   parse_software_hash (",\"other\":9,\"version\":\"v1\""));
  CU_ASSERT_NOT_EQUAL (parse_software_hash (",\"version\":\"v1\""),
                       parse_software_hash (",\"version\":\"v1.1\""));
  CU_ASSERT_NOT_EQUAL (parse_software_hash (",\"version\":\"v1\""),
                       parse_software_hash (",\"version\":\"\""));
  CU_ASSERT_NOT_EQUAL (parse_software_hash (first), parse_software_hash (second));
}

/* Guards against use of an engine whose entry has a missing or invalid field, whichever it is. */
static void
test_invalid_entries_are_refused (void)
{
  static const char *const texts[] = {
    "",
    "x",
    "[]",
    "7",
    "{}",
    "{\"service\":\"s\"}",
    "{\"service\":7,\"addr\":\"10.0.0.9:8080\"" ZONE SLOTS READY REST "}",
    "{\"service\":\"s\",\"addr\":[]" ZONE SLOTS READY REST "}",
    "{\"service\":\"s\",\"addr\":\"there:80\"" ZONE SLOTS READY REST "}",
    "{\"service\":\"s\",\"addr\":\"10.0.0.9:70000\"" ZONE SLOTS READY REST "}",
    ENTRY ("", SLOTS, READY, ""),
    ENTRY (",\"zone\":7", SLOTS, READY, ""),
    ENTRY (ZONE, "", READY, ""),
    ENTRY (ZONE, ",\"slots\":\"128\"", READY, ""),
    ENTRY (ZONE, ",\"slots\":1.5", READY, ""),
    ENTRY (ZONE, ",\"slots\":0", READY, ""),
    ENTRY (ZONE, ",\"slots\":-1", READY, ""),
    ENTRY (ZONE, ",\"slots\":99999999999", READY, ""),
    ENTRY (ZONE, ",\"slots\":1e999", READY, ""),
    ENTRY (ZONE, SLOTS, "", ""),
    ENTRY (ZONE, SLOTS, ",\"state\":null", ""),
    ENTRY (ZONE, SLOTS, ",\"state\":\"resting\"", ""),
    ENTRY (ZONE, SLOTS, READY, ",\"state\":\"ready\""),
    ENTRY_OF (VERSION SEQ),
    ENTRY_OF (VERSION SEQ ",\"cold_left_ms\":\"20\""),
    ENTRY_OF (VERSION SEQ ",\"cold_left_ms\":-1"),
    ENTRY_OF (VERSION SEQ ",\"cold_left_ms\":null"),
    ENTRY_OF (VERSION COLD),
    ENTRY_OF (VERSION COLD ",\"seq\":\"17\""),
    ENTRY_OF (VERSION COLD ",\"seq\":17.5"),
    ENTRY_OF (VERSION COLD ",\"seq\":-1"),
    ENTRY_OF (VERSION COLD ",\"seq\":null"),
    ENTRY_OF (VERSION COLD ",\"seq\":[17]"),
    ENTRY_OF (COLD SEQ),
    ENTRY_OF (COLD SEQ ",\"version\":1"),
    ENTRY_OF (COLD SEQ ",\"version\":null"),
    ENTRY_OF (COLD SEQ ",\"version\":{\"v\":1}"),
    ENTRY (ZONE, SLOTS, READY, ",\"born\":\"1791152480123\""),
    ENTRY (ZONE, SLOTS, READY, ",\"born\":1.5"),
    ENTRY (ZONE, SLOTS, READY, ",\"born\":-1"),
    ENTRY (ZONE, SLOTS, READY, "}"),
    "{\"service\":\"s\xff\",\"addr\":\"10.0.0.9:8080\"" ZONE SLOTS READY REST "}",
  };
  engine_entry_t entry;

  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    CU_ASSERT (!parse_entry (texts[i], &entry));
}

/* Guards against an engine id with a line break: the id is sent in a header of each request, and
 * would add another header. */
static void
test_invalid_ids_are_refused (void)
{
  static const char valid_entry[] = ENTRY (ZONE, SLOTS, READY, "");
  static const char *const ids[] = { "", "i 1", "i\r\nX-Tenant: other", "i\xff" };
  engine_entry_t entry;

  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    CU_ASSERT (!records_read_engine (&entry, ids[i], valid_entry, sizeof valid_entry - 1, NULL));
}

static void
test_long_names_are_refused (void)
{
  static const char valid_entry[] = ENTRY (ZONE, SLOTS, READY, "");
  g_autofree char *name = g_strnfill (LIMIT_NAME_BYTES, 'n');
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"s\",\"addr\":\"10.0.0.9:8080\",\"zone\":\"%s\"" SLOTS READY REST "}", name);
  engine_entry_t entry;

  CU_ASSERT (!parse_entry (text, &entry));
  CU_ASSERT (!records_read_engine (&entry, name, valid_entry, sizeof valid_entry - 1, NULL));
}

static void
mutate (GRand *rand, GString *text)
{
  static const char *const tokens[] = { "null", "-1", "1e999", "\"", "{",
                                        "}",    "[]", "\xff",  ",",  ":" };
  gsize at = (gsize)g_rand_int_range (rand, 0, (gint32)text->len);

  if (g_rand_boolean (rand))
    text->str[at] = (char)g_rand_int_range (rand, 0, 256);
  else if (g_rand_boolean (rand))
    g_string_insert (text, (gssize)at, tokens[g_rand_int_range (rand, 0, G_N_ELEMENTS (tokens))]);
  else
    g_string_erase (text, (gssize)at,
                    MIN ((gssize)(text->len - at), g_rand_int_range (rand, 1, 12)));
}

/* Guards against accepting an entry without a usable engine: makes random changes to a valid one.
 */
static void
test_random_changes_never_yield_unusable_engine (void)
{
  const char *top = getenv ("MEDLARPLANK_SOURCE");
  g_autofree char *path = g_build_filename (top ? top : ".", "tests/corpus/engine.json", NULL);
  g_autofree char *valid_entry = NULL;
  g_autoptr (GRand) rand = g_rand_new_with_seed (FUZZ_SEED);
  uint32_t accepted = 0;

  CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &valid_entry, NULL, NULL));
  for (uint32_t round = 0; round < FUZZ_ROUNDS; round++)
    {
      GString *text = g_string_new (valid_entry);
      engine_entry_t entry;

      for (int32_t i = g_rand_int_range (rand, 0, FUZZ_CHANGES); i > 0 && text->len > 0; i--)
        mutate (rand, text);
      if (records_read_engine (&entry, "i-1", text->str, text->len, NULL))
        {
          accepted++;
          CU_ASSERT (entry.service && entry.address.port != 0 && entry.slots >= 1);
          CU_ASSERT (entry.state == ENGINE_READY || entry.state == ENGINE_LEAVING);
        }
      g_string_free (text, TRUE);
    }
  CU_ASSERT (accepted > FUZZ_ROUNDS / 10 && accepted < FUZZ_ROUNDS);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_valid_entry_is_parsed),
                                       SUITE_TEST (test_start_time_is_optional),
                                       SUITE_TEST (test_software_versions_differ),
                                       SUITE_TEST (test_invalid_entries_are_refused),
                                       SUITE_TEST (test_invalid_ids_are_refused),
                                       SUITE_TEST (test_long_names_are_refused),
                                       SUITE_TEST (test_random_changes_never_yield_unusable_engine),
                                       CU_TEST_INFO_NULL };

  return suite_run ("engine_entries", tests);
}
