/* Unit tests of the view of a keyed stream, and of its transfer from one gateway to another. */
#include "suite.h"
#include "version/keyed_view.h"
#include "version/view_share.h"

#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (keyed_view_t, keyed_view_free)

/** struct changes - number of calls of the view's callback, and the arguments of the last one */
typedef struct
{
  uint32_t count;
  char key[32];
  char value[32];
} changes_t;

/* A position in a stream that never came back from a copy. */
static position_t
at (uint64_t offset)
{
  return (position_t){ .offset = offset };
}

static void
record_change (
    const char *key, const char *value, size_t value_bytes, position_t position, void *context)
{
  changes_t *changes = context;

  (void)value_bytes;
  (void)position;
  changes->count++;
  g_strlcpy (changes->key, key, sizeof changes->key);
  g_strlcpy (changes->value, value ? value : "(deleted)", sizeof changes->value);
}

static void
apply (keyed_view_t *view, uint64_t offset, const char *key, const char *value)
{
  keyed_view_apply (view, at (offset), key, value, value ? strlen (value) : 0);
}

static const char *
get_value (const keyed_view_t *view, const char *key)
{
  size_t bytes;
  position_t position;
  const char *value = keyed_view_get (view, key, &bytes, &position);

  return value ? value : "none";
}

/* A slow store and peers deliver records late and more than once. An old record must not restore an
 * engine that was deleted, or a version that was replaced. */
static void
test_older_records_change_nothing (void)
{
  changes_t changes = { 0 };
  g_autoptr (keyed_view_t) view = keyed_view_new (record_change, &changes, NULL, NULL);

  apply (view, 5, "a", "new");
  apply (view, 3, "a", "old");
  apply (view, 5, "a", "again");
  CU_ASSERT_STRING_EQUAL (get_value (view, "a"), "new");
  CU_ASSERT_EQUAL (changes.count, 1);
  apply (view, 6, "a", NULL);
  CU_ASSERT_STRING_EQUAL (changes.value, "(deleted)");
  apply (view, 5, "a", "new");
  CU_ASSERT_STRING_EQUAL (get_value (view, "a"), "none");
  CU_ASSERT_EQUAL (changes.count, 2);
}

/* The stream no longer retains the record that deleted an engine, so the engine is only missing
 * from the listing; it must be deleted. An engine that registered after the listing must stay. */
static void
test_listing_deletes_missing_keys (void)
{
  changes_t changes = { 0 };
  g_autoptr (keyed_view_t) view = keyed_view_new (record_change, &changes, NULL, NULL);

  apply (view, 1, "gone", "x");
  apply (view, 2, "stays", "x");
  apply (view, 12, "later", "x");
  keyed_view_list_begin (view);
  apply (view, 2, "stays", "x");
  keyed_view_list_end (view, at (10));
  CU_ASSERT_STRING_EQUAL (get_value (view, "gone"), "none");
  CU_ASSERT_STRING_EQUAL (changes.key, "gone");
  CU_ASSERT_STRING_EQUAL (get_value (view, "stays"), "x");
  CU_ASSERT_STRING_EQUAL (get_value (view, "later"), "x");
}

/** struct pair - the views that two gateways have of one stream: [0] responds, [1] requests */
typedef struct
{
  changes_t changes[2];
  keyed_view_t *view[2];
} pair_t;

static void
pair_init (pair_t *pair)
{
  memset (pair, 0, sizeof *pair);
  for (uint32_t i = 0; i < 2; i++)
    pair->view[i] = keyed_view_new (record_change, &pair->changes[i], NULL, NULL);
}

static void
pair_clear (pair_t *pair)
{
  keyed_view_free (pair->view[0]);
  keyed_view_free (pair->view[1]);
}

/* Transfers records from the first view, complete before @next, to the second, complete before
 * @from. Return: the offset before which the second is complete afterwards, 0 when nothing was
 * sent. */
static uint64_t
transfer (pair_t *pair, uint64_t next, uint64_t from)
{
  view_share_stream_t sender = { .name = "engines", .view = pair->view[0], .next = at (next) };
  view_share_stream_t receiver = { .name = "engines", .view = pair->view[1], .next = at (from) };
  g_autofree char *body = view_share_format (&sender, &receiver.next, 1, true);
  view_share_answer_t answer;
  uint64_t next_offset = 0;

  CU_ASSERT (view_share_parse (&answer, body, strlen (body)));
  CU_ASSERT (answer.deletions_confirmed);
  next_offset = view_share_apply (&answer, &receiver).offset;
  view_share_clear (&answer);
  return next_offset;
}

static void
test_peer_sends_newer_records (void)
{
  pair_t pair;

  pair_init (&pair);
  apply (pair.view[0], 1, "a", "x");
  apply (pair.view[0], 2, "b", "y");
  apply (pair.view[1], 1, "a", "x");
  apply (pair.view[0], 3, "a", NULL);
  CU_ASSERT_EQUAL (transfer (&pair, 4, 2), 4);
  CU_ASSERT_STRING_EQUAL (get_value (pair.view[1], "a"), "none");
  CU_ASSERT_STRING_EQUAL (get_value (pair.view[1], "b"), "y");
  CU_ASSERT_EQUAL (transfer (&pair, 4, 4), 0);
  pair_clear (&pair);
}

/* The responding peer made a new listing and has no record of earlier deletions. A requester with
 * older data must still delete those keys. */
static void
test_peer_sends_all_after_listing (void)
{
  pair_t pair;

  pair_init (&pair);
  apply (pair.view[0], 1, "a", "x");
  apply (pair.view[1], 1, "a", "x");
  apply (pair.view[0], 2, "b", "y");
  apply (pair.view[0], 3, "a", NULL);
  keyed_view_list_begin (pair.view[0]);
  apply (pair.view[0], 2, "b", "y");
  keyed_view_list_end (pair.view[0], at (4));
  CU_ASSERT_EQUAL (transfer (&pair, 4, 2), 4);
  CU_ASSERT_STRING_EQUAL (get_value (pair.view[1], "a"), "none");
  CU_ASSERT_STRING_EQUAL (get_value (pair.view[1], "b"), "y");
  pair_clear (&pair);
}

/* A value that is not UTF-8 can't be sent as JSON. A requester that kept the previous valid value
 * would continue to use an engine that the other gateways no longer use. */
static void
test_invalid_utf8_is_sent_as_deleted (void)
{
  pair_t pair;

  pair_init (&pair);
  apply (pair.view[0], 1, "a", "x");
  apply (pair.view[1], 1, "a", "x");
  apply (pair.view[0], 2, "a", "\xff\xfe");
  CU_ASSERT_EQUAL (transfer (&pair, 3, 2), 3);
  CU_ASSERT_STRING_EQUAL (get_value (pair.view[1], "a"), "none");
  pair_clear (&pair);
}

static void
test_invalid_bodies_are_rejected (void)
{
  static const char *const bodies[] = { "", "[]", "{}", "{\"settled\":1}" };
  static const char *const invalid_streams[] = {
    "{\"settled\":true,\"engines\":{\"whole\":true,\"next\":4,\"records\":[[\"a\",-1,\"x\"]]}}",
    "{\"settled\":true,\"engines\":{\"whole\":false,\"next\":4,\"records\":[[\"a\",1]]}}",
    "{\"settled\":true,\"engines\":{\"whole\":false,\"next\":4,\"records\":[[\"a\",1,7]]}}",
    "{\"settled\":true,\"engines\":{\"whole\":false,\"records\":[]}}",
  };
  changes_t changes = { 0 };
  g_autoptr (keyed_view_t) view = keyed_view_new (record_change, &changes, NULL, NULL);
  view_share_stream_t stream = { .name = "engines", .view = view };
  view_share_answer_t answer;

  for (uint32_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      CU_ASSERT (!view_share_parse (&answer, bodies[i], strlen (bodies[i])));
      view_share_clear (&answer);
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (invalid_streams); i++)
    {
      CU_ASSERT (view_share_parse (&answer, invalid_streams[i], strlen (invalid_streams[i])));
      CU_ASSERT (position_equal (view_share_apply (&answer, &stream), at (0)));
      view_share_clear (&answer);
    }
}

static void
test_seal_covers_nonce_kind_and_body (void)
{
  char seal[ANSWER_SEAL_BYTES];
  char other[ANSWER_SEAL_BYTES];

  answer_seal_compute ("a key of the fleet", "view", "n1", "body", 4, seal);
  CU_ASSERT (answer_seal_equal (seal, seal));
  answer_seal_compute ("a key of the fleet", "view", "n2", "body", 4, other);
  CU_ASSERT (!answer_seal_equal (other, seal));
  answer_seal_compute ("a key of the fleet", "manifest", "n1", "body", 4, other);
  CU_ASSERT (!answer_seal_equal (other, seal));
  answer_seal_compute ("a key of the fleet", "view", "n1", "bodY", 4, other);
  CU_ASSERT (!answer_seal_equal (other, seal));
  CU_ASSERT (!answer_seal_equal ("", seal));
}

/* Guards against a deleted engine being restored by a listing from a peer that is older than the
 * own one, and then spreading to the gateways that request records from here. */
static void
test_older_list_brings_nothing_back (void)
{
  changes_t changes = { 0 };
  g_autoptr (keyed_view_t) view = keyed_view_new (record_change, &changes, NULL, NULL);

  apply (view, 4, "left", "ready");
  keyed_view_list_begin (view);
  apply (view, 8, "stays", "ready");
  keyed_view_list_end (view, at (10));
  CU_ASSERT_STRING_EQUAL (get_value (view, "left"), "none");
  keyed_view_list_begin (view);
  apply (view, 4, "left", "ready");
  apply (view, 8, "stays", "ready");
  keyed_view_list_end (view, at (9));
  CU_ASSERT_STRING_EQUAL (get_value (view, "left"), "none");
  CU_ASSERT_STRING_EQUAL (get_value (view, "stays"), "ready");
  CU_ASSERT (position_equal (keyed_view_listed (view), at (10)));
}

/* Guards against an entry that stays lost although the store lists it, after a whole copy of a peer
 * lacked it: a peer of the version before may have lost it between two pages of a list. */
static void
test_newer_list_restores_what_a_copy_lacked (void)
{
  changes_t changes = { 0 };
  g_autoptr (keyed_view_t) view = keyed_view_new (record_change, &changes, NULL, NULL);

  keyed_view_list_begin (view);
  apply (view, 2, "a", "x");
  keyed_view_list_end (view, at (5));
  keyed_view_list_begin (view);
  apply (view, 2, "a", "x");
  apply (view, 3, "b", "y");
  keyed_view_list_end (view, at (6));
  CU_ASSERT_STRING_EQUAL (get_value (view, "a"), "x");
  CU_ASSERT_STRING_EQUAL (get_value (view, "b"), "y");
}

/* Guards against one entry with a zero byte that makes the copies of a peer unreadable, those of
 * the other streams and keys too. */
static void
test_zero_byte_makes_no_copy_unreadable (void)
{
  static const char value[] = "x\0y";
  changes_t changes = { 0 };
  g_autoptr (keyed_view_t) view = keyed_view_new (record_change, &changes, NULL, NULL);
  view_share_stream_t stream = { .name = "engines", .view = view, .next = at (2) };
  const position_t from = { 0 };
  view_share_answer_t answer;
  g_autofree char *body = NULL;

  apply (view, 0, "a", "x");
  keyed_view_apply (view, at (1), "b", value, sizeof value - 1);
  body = view_share_format (&stream, &from, 1, true);
  CU_ASSERT (view_share_parse (&answer, body, strlen (body)));
  view_share_clear (&answer);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_older_records_change_nothing),
                                       SUITE_TEST (test_listing_deletes_missing_keys),
                                       SUITE_TEST (test_peer_sends_newer_records),
                                       SUITE_TEST (test_peer_sends_all_after_listing),
                                       SUITE_TEST (test_invalid_utf8_is_sent_as_deleted),
                                       SUITE_TEST (test_invalid_bodies_are_rejected),
                                       SUITE_TEST (test_seal_covers_nonce_kind_and_body),
                                       SUITE_TEST (test_older_list_brings_nothing_back),
                                       SUITE_TEST (test_newer_list_restores_what_a_copy_lacked),
                                       SUITE_TEST (test_zero_byte_makes_no_copy_unreadable),
                                       CU_TEST_INFO_NULL };

  return suite_run ("keyed_view", tests);
}
