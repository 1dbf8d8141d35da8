/* Unit tests of records that another writer left in the store's topics, whatever they are: the
 * other records are read, and the next good record of a key holds. */
#include "odd_store.h"
#include "suite.h"

#include <string.h>

#define PAGE_ITEMS 2
#define ONE_PAGE 500
#define LITERAL(text) text, sizeof (text) - 1

static void
ignore_change (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  (void)key;
  (void)value;
  (void)value_bytes;
  (void)position;
  (void)context;
}

static const struct
{
  const char *key;
  size_t bytes;
} odd_keys[] = { { LITERAL ("") },
                 { LITERAL ("\xff\xfe") },
                 { LITERAL ("b\xc3") },
                 { LITERAL ("a\0z") },
                 { LITERAL ("\0") },
                 { LITERAL ("\xed\xa0\x80") },
                 { LITERAL ("b\"\\/\b\f\n\r\t\x01\x7f") },
                 { LITERAL ("b&after=z#%00 +") },
                 { LITERAL ("\xf0\x9f\x9a\x82\xe2\x80\xa8") } };

static void
check_odd_key (const char *stream, const char *key, size_t key_bytes, uint32_t page_items)
{
  odd_store_t *store = odd_store_new (page_items);
  odd_reader_t *reader;

  odd_store_put_text (store, "a", "1");
  odd_store_put (store, key, key_bytes, "odd", 3);
  odd_store_put_text (store, "c", "1");
  reader = odd_reader_new (store, stream, ignore_change, NULL);
  CU_ASSERT (odd_reader_run (reader));
  CU_ASSERT_STRING_EQUAL (odd_reader_value (reader, "a"), "1");
  CU_ASSERT_STRING_EQUAL (odd_reader_value (reader, "c"), "1");
  odd_store_put (store, key, key_bytes, "odd again", 9);
  odd_store_put_text (store, "d", "1");
  odd_store_put (store, key, key_bytes, NULL, 0);
  odd_store_put_text (store, "c", "2");
  CU_ASSERT (odd_reader_run (reader));
  CU_ASSERT_STRING_EQUAL (odd_reader_value (reader, "a"), "1");
  CU_ASSERT_STRING_EQUAL (odd_reader_value (reader, "d"), "1");
  CU_ASSERT_STRING_EQUAL (odd_reader_value (reader, "c"), "2");
  CU_ASSERT_EQUAL (odd_reader_failures (reader), 0);
  odd_reader_free (reader);
  odd_store_free (store);
}

/* Guards against one odd key that hides all other records, or takes the place of another key. */
static void
test_odd_key_hides_no_other_record (void)
{
  g_autofree char *long_key = g_strnfill (UINT8_MAX, 'b');

  for (size_t i = 0; i < G_N_ELEMENTS (odd_keys); i++)
    for (uint32_t page_items = 1; page_items <= ONE_PAGE; page_items += ONE_PAGE - 1)
      check_odd_key (PLATFORM_STREAM_ENGINES, odd_keys[i].key, odd_keys[i].bytes, page_items);
  check_odd_key (PLATFORM_STREAM_ENGINES, long_key, UINT8_MAX, 1);
}

/* Guards against a record without a whole key that stops the reading of all that follow it. */
static void
test_record_shorter_than_its_key_hides_no_other (void)
{
  odd_store_t *store = odd_store_new (ONE_PAGE);
  odd_reader_t *reader = odd_reader_new (store, PLATFORM_STREAM_ENGINES, ignore_change, NULL);

  CU_ASSERT (odd_reader_run (reader));
  odd_store_put_text (store, "a", "1");
  odd_store_put_raw (store, "", 0);
  odd_store_put_raw (store, LITERAL ("\x09"
                                     "abc"));
  odd_store_put_raw (store, LITERAL ("\xff"));
  odd_store_put_text (store, "b", "1");
  CU_ASSERT (odd_reader_run (reader));
  CU_ASSERT_STRING_EQUAL (odd_reader_value (reader, "a"), "1");
  CU_ASSERT_STRING_EQUAL (odd_reader_value (reader, "b"), "1");
  CU_ASSERT_EQUAL (odd_reader_failures (reader), 0);
  odd_reader_free (reader);
  odd_store_free (store);
}

/* Guards against a configuration that is never read since a page has only keys that nobody reads.
 */
static void
test_page_of_unread_keys_is_passed (void)
{
  odd_store_t *store = odd_store_new (PAGE_ITEMS);
  odd_reader_t *reader;

  for (char key = 'a'; key <= 'j'; key++)
    odd_store_put (store, &key, 1, "odd", 3);
  odd_store_put_text (store, "config", "1");
  odd_store_put_text (store, "evacuate/hall", "1");
  reader = odd_reader_new (store, PLATFORM_STREAM_ROUTING, ignore_change, NULL);
  CU_ASSERT (odd_reader_run (reader));
  CU_ASSERT_STRING_EQUAL (odd_reader_value (reader, PLATFORM_KEY_CONFIG), "1");
  CU_ASSERT_STRING_EQUAL (odd_reader_value (reader, PLATFORM_KEY_DRAIN_PREFIX "hall"), "drained");
  odd_reader_free (reader);
  odd_store_free (store);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_odd_key_hides_no_other_record),
                                       SUITE_TEST (test_record_shorter_than_its_key_hides_no_other),
                                       SUITE_TEST (test_page_of_unread_keys_is_passed),
                                       CU_TEST_INFO_NULL };

  return suite_run ("odd_entries", tests);
}
