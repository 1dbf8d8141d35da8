/* Unit tests of views of a stream that comes back from a copy: what stays meanwhile, and until
 * when.
 */
#include "platform/records.h"
#include "process/record_order.h"
#include "suite.h"
#include "version/keyed_view.h"
#include "version/view_share.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (keyed_view_t, keyed_view_free)

#define STREAM "engines"
#define RANDOM_SEEDS 300u
#define KEYS 4
#define VIEWS 3

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

/* Values are numbers that rise with each change; those of keys that begin with "plain" tell no
 * order. */
static keyed_view_order_t
compare_numbers (const char *key,
                 const char *known,
                 size_t known_bytes,
                 const char *value,
                 size_t value_bytes,
                 void *context)
{
  int difference = atoi (value) - atoi (known);

  (void)known_bytes;
  (void)value_bytes;
  (void)context;
  if (g_str_has_prefix (key, "plain"))
    return KEYED_VIEW_UNORDERED;
  if (difference == 0)
    return KEYED_VIEW_SAME_AGE;
  return difference < 0 ? KEYED_VIEW_OLDER : KEYED_VIEW_NEWER;
}

static keyed_view_t *
new_view (void)
{
  return keyed_view_new (ignore_change, NULL, compare_numbers, NULL);
}

static void
apply (keyed_view_t *view, uint64_t era, uint64_t offset, const char *key, const char *value)
{
  keyed_view_apply (view, (position_t){ era, offset }, key, value, value ? strlen (value) : 0);
}

static const char *
get_value (const keyed_view_t *view, const char *key)
{
  size_t bytes;
  position_t position;
  const char *value = keyed_view_get (view, key, &bytes, &position);

  return value ? value : "none";
}

/* Lists @value as the only record, at offset 0, or nothing. */
static void
list_one (keyed_view_t *view, uint64_t era, const char *key, const char *value)
{
  keyed_view_list_begin (view);
  if (value)
    apply (view, era, 0, key, value);
  keyed_view_list_end (view, (position_t){ era, value ? 1 : 0 });
}

/* Guards against a version in force that is replaced by the older one of the copy, at once or when
 * the time to write it again is over. */
static void
test_older_value_of_the_copy_replaces_nothing (void)
{
  g_autoptr (keyed_view_t) view = new_view ();

  apply (view, 1, 5, "config", "20");
  list_one (view, 2, "config", "7");
  CU_ASSERT_STRING_EQUAL (get_value (view, "config"), "20");
  keyed_view_drop_missing (view);
  keyed_view_apply_held (view, "", 0);
  CU_ASSERT_STRING_EQUAL (get_value (view, "config"), "20");
  apply (view, 2, 1, "config", "14");
  CU_ASSERT_STRING_EQUAL (get_value (view, "config"), "20");
  apply (view, 2, 2, "config", "21");
  CU_ASSERT_STRING_EQUAL (get_value (view, "config"), "21");
  CU_ASSERT_EQUAL (keyed_view_held_count (view), 0);
}

static void
apply_engine (keyed_view_t *view, uint64_t era, uint64_t offset, const char *more)
{
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"s\",\"addr\":\"10.0.0.9:80\",\"zone\":"
      "\"a\",\"version\":\"\",\"cold_left_ms\":0,\"slots\":8,\"state\":\"ready\"%s}",
      more);

  apply (view, era, offset, "i-1", text);
}

/* Guards against numbers of another writer that outlast the engine's entries in the next era. */
static void
test_engine_takes_its_entry_back_after_the_store_returned (void)
{
  static const char *const odd[] = { ",\"seq\":9223372036854775807,\"born\":7",
                                     ",\"seq\":5,\"born\":9000000000000000" };
  record_order_t order = { .parse_version = records_read_version,
                           .parse_engine = records_read_engine };

  for (uint32_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      g_autoptr (keyed_view_t) view =
          keyed_view_new (ignore_change, NULL, record_order_compare_engines, &order);

      apply_engine (view, 1, 1, ",\"seq\":4,\"born\":7");
      apply_engine (view, 1, 2, odd[i]);
      keyed_view_list_begin (view);
      apply_engine (view, 2, 0, ",\"seq\":3,\"born\":7");
      keyed_view_list_end (view, (position_t){ 2, 1 });
      CU_ASSERT_PTR_NOT_NULL (strstr (get_value (view, "i-1"), odd[i]));
      apply_engine (view, 2, 1, ",\"seq\":6,\"born\":7");
      keyed_view_apply_held (view, "", 0);
      CU_ASSERT_PTR_NOT_NULL (strstr (get_value (view, "i-1"), "\"seq\":6"));
      apply_engine (view, 2, 2, ",\"seq\":7,\"born\":7");
      CU_ASSERT_PTR_NOT_NULL (strstr (get_value (view, "i-1"), "\"seq\":7"));
    }
}

/* Guards against a live engine that is dropped because it registered after the copy. */
static void
test_missing_key_stays_until_dropped (void)
{
  g_autoptr (keyed_view_t) view = new_view ();

  apply (view, 1, 5, "e1", "3");
  apply (view, 1, 6, "e2", "3");
  list_one (view, 2, "e9", NULL);
  keyed_view_list_begin (view);
  keyed_view_list_end (view, (position_t){ 2, 1 });
  CU_ASSERT_STRING_EQUAL (get_value (view, "e1"), "3");
  CU_ASSERT_EQUAL (keyed_view_held_count (view), 2);
  apply (view, 2, 1, "e1", "4");
  keyed_view_drop_missing (view);
  CU_ASSERT_STRING_EQUAL (get_value (view, "e1"), "4");
  CU_ASSERT_STRING_EQUAL (get_value (view, "e2"), "none");
  CU_ASSERT_EQUAL (keyed_view_held_count (view), 0);
}

/* Guards against an engine that left and gets requests again, because the copy still has it. */
static void
test_deleted_key_of_the_copy_stays_deleted (void)
{
  g_autoptr (keyed_view_t) view = new_view ();

  apply (view, 1, 1, "e1", "3");
  apply (view, 1, 5, "e1", NULL);
  list_one (view, 2, "e1", "3");
  CU_ASSERT_STRING_EQUAL (get_value (view, "e1"), "none");
  apply (view, 2, 1, "e1", NULL);
  keyed_view_apply_held (view, "", 0);
  CU_ASSERT_STRING_EQUAL (get_value (view, "e1"), "none");
}

/* Guards against a live engine that stays lost, because its entry had lapsed before the copy came
 * back. */
static void
test_deleted_key_that_stays_in_the_stream_returns (void)
{
  g_autoptr (keyed_view_t) view = new_view ();

  apply (view, 1, 1, "e1", "3");
  apply (view, 1, 5, "e1", NULL);
  list_one (view, 2, "e1", "3");
  keyed_view_apply_held (view, "", 0);
  CU_ASSERT_STRING_EQUAL (get_value (view, "e1"), "3");
  apply (view, 2, 4, "e2", NULL);
  list_one (view, 3, "e1", "4");
  CU_ASSERT_STRING_EQUAL (get_value (view, "e1"), "4");
}

/* Where values tell no order, a record from after the first listing of the era is newer for
 * certain. One of the listing may be from the copy. */
static void
test_record_written_after_the_listing_counts_at_once (void)
{
  g_autoptr (keyed_view_t) view = new_view ();

  apply (view, 1, 5, "plain", "b");
  list_one (view, 2, "plain", "a");
  CU_ASSERT_STRING_EQUAL (get_value (view, "plain"), "b");
  apply (view, 2, 1, "plain", "c");
  CU_ASSERT_STRING_EQUAL (get_value (view, "plain"), "c");
  list_one (view, 3, "plain", "a");
  keyed_view_apply_held (view, "", 0);
  CU_ASSERT_STRING_EQUAL (get_value (view, "plain"), "a");
}

static position_t
transfer (const keyed_view_t *from, position_t next, keyed_view_t *to, position_t have)
{
  view_share_stream_t sender = { .name = STREAM, .view = (keyed_view_t *)from, .next = next };
  view_share_stream_t receiver = { .name = STREAM, .view = to, .next = have };
  g_autofree char *body = view_share_format (&sender, &have, 1, true);
  view_share_answer_t answer;
  position_t reached;

  CU_ASSERT_FATAL (view_share_parse (&answer, body, strlen (body)));
  reached = view_share_apply (&answer, &receiver);
  view_share_clear (&answer);
  return reached;
}

static void
list_at (keyed_view_t *view, uint64_t offset, const char *key, const char *value)
{
  keyed_view_list_begin (view);
  apply (view, 2, offset, key, value);
  keyed_view_list_end (view, (position_t){ 2, offset + 1 });
}

/* Guards against a new record that is held as if the copy had brought it back: the copy has an
 * older one at the offset that this one had. */
static void
test_record_that_the_copy_cannot_have_counts_at_once (void)
{
  static const struct
  {
    const char *known;
    uint64_t offset;
    const char *result;
  } cases[] = {
    { "b", 4, "b" },     { "b", 5, "c" },  { "b", 6, "c" },
    { NULL, 4, "none" }, { NULL, 5, "c" }, { NULL, 6, "c" },
  };

  for (uint32_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autoptr (keyed_view_t) view = new_view ();
      g_autoptr (keyed_view_t) started = new_view ();
      const position_t end = { 2, cases[i].offset + 1 };

      apply (view, 1, 3, "plain", "a");
      apply (view, 1, 5, "plain", cases[i].known);
      list_at (view, cases[i].offset, "plain", "c");
      CU_ASSERT_STRING_EQUAL (get_value (view, "plain"), cases[i].result);
      transfer (view, end, started, (position_t){ 0 });
      CU_ASSERT_STRING_EQUAL (get_value (started, "plain"), cases[i].result);
      keyed_view_apply_held (view, "other", 0);
      CU_ASSERT_STRING_EQUAL (get_value (view, "plain"), cases[i].result);
      keyed_view_apply_held (view, "plain", 0);
      CU_ASSERT_STRING_EQUAL (get_value (view, "plain"), "c");
    }
}

/* Guards against a configuration that is held although the copy can't have it, since its version
 * and the known one are too far apart to be compared. */
static void
test_configuration_after_the_copy_counts_at_once (void)
{
  static const char config[] = "{\"version\":%s,\"routes\":[],\"services\":[]}";
  record_order_t order = { .parse_version = records_read_version,
                           .parse_engine = records_read_engine };
  g_autofree char *known = g_strdup_printf (config, "1765000000000000");
  g_autofree char *next = g_strdup_printf (config, "8");

  for (uint64_t offset = 4; offset <= 6; offset++)
    {
      g_autoptr (keyed_view_t) view =
          keyed_view_new (ignore_change, NULL, record_order_compare_routing, &order);

      apply (view, 1, 5, "config", known);
      list_at (view, offset, "config", next);
      CU_ASSERT_STRING_EQUAL (get_value (view, "config"), offset < 5 ? known : next);
    }
}

/* Guards against records of an era before that come late, by a response on its way or by a peer. */
static void
test_record_of_an_era_before_changes_nothing (void)
{
  g_autoptr (keyed_view_t) view = new_view ();

  apply (view, 1, 5, "config", "20");
  list_one (view, 2, "config", "20");
  apply (view, 1, 9, "config", "19");
  CU_ASSERT_STRING_EQUAL (get_value (view, "config"), "20");
  keyed_view_list_begin (view);
  apply (view, 1, 9, "e1", "1");
  keyed_view_list_end (view, (position_t){ 1, 10 });
  CU_ASSERT_STRING_EQUAL (get_value (view, "e1"), "none");
  CU_ASSERT (position_equal (keyed_view_listed (view), (position_t){ 2, 1 }));
}

/* Guards against a gateway that starts meanwhile, or was behind, and gets an older state than the
 * peer that it asks. */
static void
test_copy_of_a_peer_has_what_is_kept (void)
{
  const position_t end = { 2, 3 };
  g_autoptr (keyed_view_t) peer = new_view ();
  g_autoptr (keyed_view_t) started = new_view ();
  g_autoptr (keyed_view_t) behind = new_view ();

  apply (peer, 1, 1, "left", "3");
  apply (behind, 1, 1, "left", "3");
  apply (peer, 1, 5, "config", "20");
  apply (peer, 1, 6, "new", "1");
  apply (peer, 1, 7, "left", NULL);
  keyed_view_list_begin (peer);
  apply (peer, 2, 0, "config", "7");
  apply (peer, 2, 1, "left", "3");
  keyed_view_list_end (peer, end);
  CU_ASSERT (position_equal (transfer (peer, end, started, (position_t){ 0 }), end));
  CU_ASSERT (position_equal (transfer (peer, end, behind, (position_t){ 1, 2 }), end));
  CU_ASSERT_STRING_EQUAL (get_value (started, "config"), "20");
  CU_ASSERT_STRING_EQUAL (get_value (started, "new"), "1");
  CU_ASSERT_STRING_EQUAL (get_value (started, "left"), "none");
  CU_ASSERT_STRING_EQUAL (get_value (behind, "config"), "20");
  CU_ASSERT_STRING_EQUAL (get_value (behind, "left"), "none");
  keyed_view_drop_missing (started);
  CU_ASSERT_STRING_EQUAL (get_value (started, "new"), "none");
  CU_ASSERT_STRING_EQUAL (get_value (started, "config"), "20");
}

/* Guards against a view that takes records of one era for the next ones of another: they follow on
 * the records of the sender, not on its own. */
static void
test_new_records_of_another_era_are_not_applied (void)
{
  g_autoptr (keyed_view_t) view = new_view ();
  view_share_stream_t stream = { .name = STREAM, .view = view, .next = { 1, 5 } };
  static const char *const bodies[] = {
    "{\"settled\":true,\"engines\":{\"whole\":false,\"next\":9,\"era\":2,\"records\":[[\"a\",8,"
    "\"1\"]]}}",
    "{\"settled\":true,\"engines\":{\"whole\":true,\"next\":9,\"records\":[[\"a\",8,\"1\"]]}}",
    "{\"settled\":true,\"engines\":{\"whole\":true,\"next\":9,\"era\":2,\"records\":[[\"a\",8,"
    "\"1\",3]]}}",
    "{\"settled\":true,\"engines\":{\"whole\":true,\"next\":9,\"era\":2,\"records\":[[\"a\",8,"
    "\"1\",\"x\"]]}}",
    "{\"settled\":true,\"engines\":{\"whole\":true,\"next\":9,\"era\":-2,\"records\":[]}}"
  };
  view_share_answer_t answer;

  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      CU_ASSERT_FATAL (view_share_parse (&answer, bodies[i], strlen (bodies[i])));
      CU_ASSERT (position_equal (view_share_apply (&answer, &stream), (position_t){ 0 }));
      CU_ASSERT_STRING_EQUAL (get_value (view, "a"), "none");
      view_share_clear (&answer);
    }
}

/** struct record - of the simulated stream; @value is 0 when the key was deleted */
typedef struct
{
  uint32_t key;
  uint32_t value;
} record_t;

/**
 * struct stream - a stream that comes back from copies
 * @newest: newest value of each key that the stream ever acknowledged, also those that it lost
 * @count: of values so far; each is used once
 */
typedef struct
{
  GArray *records;
  uint64_t era;
  uint32_t newest[KEYS];
  uint32_t count;
} stream_t;

static void
write_value (stream_t *stream, uint32_t key, uint32_t value)
{
  record_t record = { key, value };

  g_array_append_val (stream->records, record);
  stream->newest[key] = value;
}

static uint32_t
value_at (const stream_t *stream, uint32_t key, uint32_t end)
{
  for (uint32_t i = end; i > 0; i--)
    if (g_array_index (stream->records, record_t, i - 1).key == key)
      return g_array_index (stream->records, record_t, i - 1).value;
  return 0;
}

static void
apply_number (keyed_view_t *view, position_t position, uint32_t key, uint32_t value)
{
  char name[8];
  char text[16];

  g_snprintf (name, sizeof name, "k%u", key);
  g_snprintf (text, sizeof text, "%u", value);
  keyed_view_apply (view, position, name, value ? text : NULL, value ? strlen (text) : 0);
}

static uint32_t
number_of (const keyed_view_t *view, uint32_t key)
{
  char name[8];
  const char *text;

  g_snprintf (name, sizeof name, "k%u", key);
  text = get_value (view, name);
  return strcmp (text, "none") == 0 ? 0 : (uint32_t)atoi (text);
}

static void
list_stream (const stream_t *stream, keyed_view_t *view, position_t *next)
{
  position_t end = { stream->era, stream->records->len };

  keyed_view_list_begin (view);
  for (uint32_t key = 0; key < KEYS; key++)
    for (uint32_t i = stream->records->len; i > 0; i--)
      {
        const record_t *record = &g_array_index (stream->records, record_t, i - 1);

        if (record->key != key)
          continue;
        if (record->value)
          apply_number (view, (position_t){ stream->era, i - 1 }, key, record->value);
        break;
      }
  keyed_view_list_end (view, end);
  *next = end;
}

/* What a follower does: reads on, or lists when the era has changed. */
static void
read_stream (const stream_t *stream, keyed_view_t *view, position_t *next)
{
  if (next->era != stream->era)
    {
      list_stream (stream, view, next);
      return;
    }
  for (; next->offset < stream->records->len; next->offset++)
    {
      const record_t *record = &g_array_index (stream->records, record_t, next->offset);

      apply_number (view, *next, record->key, record->value);
    }
}

static void
restore (stream_t *stream, GRand *rand)
{
  uint32_t lost = (uint32_t)g_rand_int_range (rand, 0, 4);

  g_array_set_size (stream->records, stream->records->len - MIN (lost, stream->records->len));
  stream->era++;
}

/* Return: NULL, or what went wrong */
static const char *
play (uint32_t seed)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (seed);
  stream_t stream = { .records = g_array_new (FALSE, FALSE, sizeof (record_t)), .era = 1 };
  keyed_view_t *views[VIEWS];
  position_t next[VIEWS] = { 0 };
  uint32_t highest[VIEWS][KEYS] = { 0 };
  const char *fault = NULL;

  for (uint32_t i = 0; i < VIEWS; i++)
    views[i] = new_view ();
  for (uint32_t step = 0; step < 60; step++)
    {
      uint32_t i = (uint32_t)g_rand_int_range (rand, 0, VIEWS);
      uint32_t other = (uint32_t)g_rand_int_range (rand, 0, VIEWS);

      switch (g_rand_int_range (rand, 0, 6))
        {
        case 0:
          restore (&stream, rand);
          break;
        case 1:
        case 2:
          write_value (&stream, (uint32_t)g_rand_int_range (rand, 0, KEYS), ++stream.count);
          break;
        case 3:
          next[i] =
              position_later (next[i], transfer (views[other], next[other], views[i], next[i]));
          break;
        default:
          read_stream (&stream, views[i], &next[i]);
          break;
        }
      for (uint32_t key = 0; key < KEYS; key++)
        {
          uint32_t value = number_of (views[i], key);

          if (value < highest[i][key])
            fault = "went back";
          highest[i][key] = value;
        }
    }
  for (uint32_t key = 0; key < KEYS; key++)
    if (stream.newest[key] && value_at (&stream, key, stream.records->len) != stream.newest[key])
      write_value (&stream, key, stream.newest[key]);
  for (uint32_t i = 0; i < VIEWS; i++)
    {
      read_stream (&stream, views[i], &next[i]);
      read_stream (&stream, views[i], &next[i]);
      keyed_view_drop_missing (views[i]);
      keyed_view_apply_held (views[i], "", 0);
      for (uint32_t key = 0; key < KEYS; key++)
        if (number_of (views[i], key) != stream.newest[key])
          fault = fault ? fault : "does not have what was written again";
      keyed_view_free (views[i]);
    }
  g_array_free (stream.records, TRUE);
  return fault;
}

/* Restorations, writes, reads and copies of peers in random orders: no value goes back at any view,
 * and all have the newest ones once these are written again. */
static void
test_nothing_goes_back_in_random_orders (void)
{
  uint32_t faults = 0;

  for (uint32_t seed = 1; seed <= RANDOM_SEEDS; seed++)
    {
      const char *fault = play (seed);

      if (fault)
        printf ("seed %u: %s\n", seed, fault);
      faults += fault ? 1 : 0;
    }
  CU_ASSERT_EQUAL (faults, 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_older_value_of_the_copy_replaces_nothing),
    SUITE_TEST (test_engine_takes_its_entry_back_after_the_store_returned),
    SUITE_TEST (test_missing_key_stays_until_dropped),
    SUITE_TEST (test_deleted_key_of_the_copy_stays_deleted),
    SUITE_TEST (test_deleted_key_that_stays_in_the_stream_returns),
    SUITE_TEST (test_record_written_after_the_listing_counts_at_once),
    SUITE_TEST (test_record_that_the_copy_cannot_have_counts_at_once),
    SUITE_TEST (test_configuration_after_the_copy_counts_at_once),
    SUITE_TEST (test_record_of_an_era_before_changes_nothing),
    SUITE_TEST (test_copy_of_a_peer_has_what_is_kept),
    SUITE_TEST (test_new_records_of_another_era_are_not_applied),
    SUITE_TEST (test_nothing_goes_back_in_random_orders),
    CU_TEST_INFO_NULL
  };

  return suite_run ("views of several eras", tests);
}
