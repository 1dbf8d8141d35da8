/* Unit tests of the view of a keyed stream, and of its way from one gateway to another. */
#include "suite.h"
#include "version/keyed_view.h"
#include "version/view_share.h"

#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (kvw_t, kvw_free)

/** struct told - what the view told last, and how often */
typedef struct
{
  uint32_t count;
  char key[32];
  char value[32];
} told_t;

static void
changed (const char *key, const char *value, size_t value_bytes, uint64_t offset, void *context)
{
  told_t *told = context;

  (void)value_bytes;
  (void)offset;
  told->count++;
  g_strlcpy (told->key, key, sizeof told->key);
  g_strlcpy (told->value, value ? value : "(dropped)", sizeof told->value);
}

static void
put (kvw_t *kvw, uint64_t offset, const char *key, const char *value)
{
  kvw_apply (kvw, offset, key, value, value ? strlen (value) : 0);
}

static const char *
value_of (const kvw_t *kvw, const char *key)
{
  size_t bytes;
  uint64_t offset;
  const char *value = kvw_get (kvw, key, &bytes, &offset);

  return value ? value : "none";
}

/* A store that is slow, and peers, tell records late and more than once: an old one must not bring
 * back an engine that is gone, or a version that was replaced. */
static void
test_older_records_change_nothing (void)
{
  told_t told = { 0 };
  g_autoptr (kvw_t) kvw = kvw_new (changed, &told);

  put (kvw, 5, "a", "new");
  put (kvw, 3, "a", "old");
  put (kvw, 5, "a", "again");
  CU_ASSERT_STRING_EQUAL (value_of (kvw, "a"), "new");
  CU_ASSERT_EQUAL (told.count, 1);
  put (kvw, 6, "a", NULL);
  CU_ASSERT_STRING_EQUAL (told.value, "(dropped)");
  put (kvw, 5, "a", "new");
  CU_ASSERT_STRING_EQUAL (value_of (kvw, "a"), "none");
  CU_ASSERT_EQUAL (told.count, 2);
}

/* The stream's history is gone: an engine whose dropping was in it is missing in the list. One that
 * registered after the list was made must stay. */
static void
test_list_drops_what_it_lacks (void)
{
  told_t told = { 0 };
  g_autoptr (kvw_t) kvw = kvw_new (changed, &told);

  put (kvw, 1, "gone", "x");
  put (kvw, 2, "stays", "x");
  put (kvw, 12, "later", "x");
  kvw_list_begin (kvw);
  put (kvw, 2, "stays", "x");
  kvw_list_end (kvw, 10);
  CU_ASSERT_STRING_EQUAL (value_of (kvw, "gone"), "none");
  CU_ASSERT_STRING_EQUAL (told.key, "gone");
  CU_ASSERT_STRING_EQUAL (value_of (kvw, "stays"), "x");
  CU_ASSERT_STRING_EQUAL (value_of (kvw, "later"), "x");
}

/** struct pair - two gateways' views of one stream */
typedef struct
{
  told_t told[2];
  kvw_t *view[2];
} pair_t;

static void
pair_init (pair_t *pair)
{
  memset (pair, 0, sizeof *pair);
  for (uint32_t i = 0; i < 2; i++)
    pair->view[i] = kvw_new (changed, &pair->told[i]);
}

static void
pair_clear (pair_t *pair)
{
  kvw_free (pair->view[0]);
  kvw_free (pair->view[1]);
}

/* Return: what the second knows after the first, which knows all before @next, has answered it */
static uint64_t
share (pair_t *pair, uint64_t next, uint64_t from)
{
  vsh_stream_t theirs = { .name = "engines", .view = pair->view[0], .next = next };
  vsh_stream_t ours = { .name = "engines", .view = pair->view[1], .next = from };
  g_autofree char *body = vsh_write (&theirs, &from, 1, true);
  vsh_answer_t answer;
  uint64_t known = 0;

  CU_ASSERT (vsh_read (&answer, body, strlen (body)));
  CU_ASSERT (answer.settled);
  known = vsh_apply (&answer, &ours);
  vsh_clear (&answer);
  return known;
}

static void
test_peer_tells_what_is_newer (void)
{
  pair_t pair;

  pair_init (&pair);
  put (pair.view[0], 1, "a", "x");
  put (pair.view[0], 2, "b", "y");
  put (pair.view[1], 1, "a", "x");
  put (pair.view[0], 3, "a", NULL);
  CU_ASSERT_EQUAL (share (&pair, 4, 2), 4);
  CU_ASSERT_STRING_EQUAL (value_of (pair.view[1], "a"), "none");
  CU_ASSERT_STRING_EQUAL (value_of (pair.view[1], "b"), "y");
  CU_ASSERT_EQUAL (share (&pair, 4, 4), 0);
  pair_clear (&pair);
}

/* The peer has listed anew and forgotten which keys were dropped before; an asker that is further
 * behind must drop them all the same. */
static void
test_peer_that_listed_tells_all (void)
{
  pair_t pair;

  pair_init (&pair);
  put (pair.view[0], 1, "a", "x");
  put (pair.view[1], 1, "a", "x");
  put (pair.view[0], 2, "b", "y");
  put (pair.view[0], 3, "a", NULL);
  kvw_list_begin (pair.view[0]);
  put (pair.view[0], 2, "b", "y");
  kvw_list_end (pair.view[0], 4);
  CU_ASSERT_EQUAL (share (&pair, 4, 2), 4);
  CU_ASSERT_STRING_EQUAL (value_of (pair.view[1], "a"), "none");
  CU_ASSERT_STRING_EQUAL (value_of (pair.view[1], "b"), "y");
  pair_clear (&pair);
}

/* Another writer left bytes that can't be told. An asker that kept the sound value before them
 * would go on using an engine that the others have dropped. */
static void
test_unreadable_value_is_told_as_dropped (void)
{
  pair_t pair;

  pair_init (&pair);
  put (pair.view[0], 1, "a", "x");
  put (pair.view[1], 1, "a", "x");
  put (pair.view[0], 2, "a", "\xff\xfe");
  CU_ASSERT_EQUAL (share (&pair, 3, 2), 3);
  CU_ASSERT_STRING_EQUAL (value_of (pair.view[1], "a"), "none");
  pair_clear (&pair);
}

static void
test_other_bodies_are_refused (void)
{
  static const char *const bodies[] = { "", "[]", "{}", "{\"settled\":1}" };
  static const char *const parts[] = {
    "{\"settled\":true,\"engines\":{\"whole\":true,\"next\":4,\"records\":[[\"a\",-1,\"x\"]]}}",
    "{\"settled\":true,\"engines\":{\"whole\":false,\"next\":4,\"records\":[[\"a\",1]]}}",
    "{\"settled\":true,\"engines\":{\"whole\":false,\"next\":4,\"records\":[[\"a\",1,7]]}}",
    "{\"settled\":true,\"engines\":{\"whole\":false,\"records\":[]}}",
  };
  told_t told = { 0 };
  g_autoptr (kvw_t) kvw = kvw_new (changed, &told);
  vsh_stream_t stream = { .name = "engines", .view = kvw };
  vsh_answer_t answer;

  for (uint32_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      CU_ASSERT (!vsh_read (&answer, bodies[i], strlen (bodies[i])));
      vsh_clear (&answer);
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (parts); i++)
    {
      CU_ASSERT (vsh_read (&answer, parts[i], strlen (parts[i])));
      CU_ASSERT_EQUAL (vsh_apply (&answer, &stream), 0);
      vsh_clear (&answer);
    }
}

static void
test_seal_covers_nonce_kind_and_body (void)
{
  char seal[ASL_SEAL_BYTES];
  char other[ASL_SEAL_BYTES];

  asl_make ("a key of the fleet", "view", "n1", "body", 4, seal);
  CU_ASSERT (asl_same (seal, seal));
  asl_make ("a key of the fleet", "view", "n2", "body", 4, other);
  CU_ASSERT (!asl_same (other, seal));
  asl_make ("a key of the fleet", "manifest", "n1", "body", 4, other);
  CU_ASSERT (!asl_same (other, seal));
  asl_make ("a key of the fleet", "view", "n1", "bodY", 4, other);
  CU_ASSERT (!asl_same (other, seal));
  CU_ASSERT (!asl_same ("", seal));
}

/* Guards against an engine that is gone being brought back by a peer's whole copy that is older
 * than the own list, and by those that then take it from here. */
static void
test_older_list_brings_nothing_back (void)
{
  told_t told = { 0 };
  g_autoptr (kvw_t) kvw = kvw_new (changed, &told);

  put (kvw, 4, "left", "ready");
  kvw_list_begin (kvw);
  put (kvw, 8, "stays", "ready");
  kvw_list_end (kvw, 10);
  CU_ASSERT_STRING_EQUAL (value_of (kvw, "left"), "none");
  kvw_list_begin (kvw);
  put (kvw, 4, "left", "ready");
  put (kvw, 8, "stays", "ready");
  kvw_list_end (kvw, 9);
  CU_ASSERT_STRING_EQUAL (value_of (kvw, "left"), "none");
  CU_ASSERT_STRING_EQUAL (value_of (kvw, "stays"), "ready");
  CU_ASSERT_EQUAL (kvw_listed_offset (kvw), 10);
}

int
main (void)
{
  static const CU_TestInfo tests[] = { SUITE_TEST (test_older_records_change_nothing),
                                       SUITE_TEST (test_list_drops_what_it_lacks),
                                       SUITE_TEST (test_peer_tells_what_is_newer),
                                       SUITE_TEST (test_peer_that_listed_tells_all),
                                       SUITE_TEST (test_unreadable_value_is_told_as_dropped),
                                       SUITE_TEST (test_other_bodies_are_refused),
                                       SUITE_TEST (test_seal_covers_nonce_kind_and_body),
                                       SUITE_TEST (test_older_list_brings_nothing_back),
                                       CU_TEST_INFO_NULL };

  return suite_run ("keyed_view", tests);
}
