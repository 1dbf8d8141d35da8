#include "version/publish_history.h"
#include "version/replay.h"
#include "suite.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (replay_t, replay_free)

#define KEY "08a6bd4bf2a6c5b8e6b2a0a8f7a4a7b7fb0ee6d29a4a7fcc1c6e0b7b1a2f3c4d"

/* Manifests of different @slots are otherwise equal. */
/* A position in a log that never came back from a copy. */
static position_t
at (uint64_t offset)
{
  return (position_t){ .offset = offset };
}

static json_t *
make_manifest (uint32_t slots)
{
  return json_pack ("{s{s{ss}} s{s{}} s{s{ss s[s] si}} s[{ss ss ss}]}", "client_accounts", "east",
                    "key_sha256", KEY, "classes", "short", "services", "pool", "kind", "model",
                    "engines", "e1", "slots", (int)slots, "routes", "path", "/a", "service", "pool",
                    "class", "short");
}

static json_t *
make_patch (uint32_t slots)
{
  return json_pack ("{s{s{si}}}", "services", "pool", "slots", (int)slots);
}

static char *
format_publish (const char *id, uint64_t base, uint32_t slots)
{
  json_t *json = base == 0 ? make_manifest (slots) : make_patch (slots);
  char *text =
      replay_format_publish (id, base, "ann", base == 0 ? json : NULL, base == 0 ? NULL : json);

  json_decref (json);
  return text;
}

static replay_result_t
feed (replay_t *replay, const char *text)
{
  return replay_apply (replay, replay_next (replay), text, strlen (text));
}

static replay_result_t
feed_publish (replay_t *replay, const char *id, uint64_t base, uint32_t slots)
{
  g_autofree char *text = format_publish (id, base, slots);

  return feed (replay, text);
}

static uint64_t
version_of (const replay_t *replay)
{
  return replay_manifest (replay) != NULL ? replay_manifest (replay)->version : 0;
}

static void
test_publish_and_patch (void)
{
  g_autoptr (replay_t) replay = replay_new ();

  replay_set_first (replay, at (0));
  CU_ASSERT_FALSE (replay_is_ready (replay));
  CU_ASSERT_TRUE (replay_is_unpublished (replay));
  CU_ASSERT_EQUAL (feed_publish (replay, "a", 0, 4).verdict, REPLAY_ACCEPTED);
  CU_ASSERT_TRUE (replay_is_ready (replay));
  CU_ASSERT_FALSE (replay_is_unpublished (replay));
  CU_ASSERT_STRING_EQUAL (replay_publisher (replay), "ann");
  CU_ASSERT_EQUAL (feed_publish (replay, "b", 1, 9).version, 2);
  CU_ASSERT_EQUAL (replay_manifest (replay)->services[0].slots, 9);
  CU_ASSERT (position_equal (replay_next (replay), at (2)));
}

/*
 * Two operators publish concurrently on the same base. Both appends succeed; the later record in
 * the log is rejected, and its operator is told which version is in force. Without this check the
 * first change would be overwritten silently.
 */
static void
test_stale_base_is_rejected (void)
{
  g_autoptr (replay_t) replay = replay_new ();
  replay_result_t result;

  replay_set_first (replay, at (0));
  feed_publish (replay, "a", 0, 4);
  feed_publish (replay, "b", 1, 5);
  result = feed_publish (replay, "c", 1, 6);
  CU_ASSERT_EQUAL (result.verdict, REPLAY_STALE_BASE);
  CU_ASSERT_STRING_EQUAL (result.id, "c");
  CU_ASSERT_STRING_EQUAL (result.reason, "version 2 by ann is in force; rebase");
  CU_ASSERT_EQUAL (replay_manifest (replay)->services[0].slots, 5);
}

/*
 * The response to an append is lost and the platform's client retries, so the log holds the publish
 * twice. Only the first record may be accepted; the second one reports the outcome of the first.
 */
static void
test_repeated_publish_is_rejected (void)
{
  g_autoptr (replay_t) replay = replay_new ();
  replay_result_t result;

  replay_set_first (replay, at (0));
  feed_publish (replay, "a", 0, 4);
  result = feed_publish (replay, "a", 0, 4);
  CU_ASSERT_EQUAL (result.verdict, REPLAY_REPEATED);
  CU_ASSERT_STRING_EQUAL (result.reason, "it was accepted before as version 1");
  CU_ASSERT_EQUAL (result.version, 1);
  feed_publish (replay, "b", 0, 4);
  result = feed_publish (replay, "b", 0, 4);
  CU_ASSERT_EQUAL (result.verdict, REPLAY_REPEATED);
  CU_ASSERT_STRING_EQUAL (result.reason, "it was refused before");
}

/*
 * A publish is rejected because its base is not in force yet, and is appended again when that base
 * is in force. A daemon that started between the two records does not know the first one. Both
 * daemons must reach the same verdict, so the history of ids must not influence it.
 */
static void
test_history_does_not_affect_verdict (void)
{
  g_autoptr (replay_t) early = replay_new ();
  g_autoptr (replay_t) adopter = replay_new ();

  replay_set_first (early, at (0));
  feed_publish (early, "a", 0, 4);
  CU_ASSERT_EQUAL (feed_publish (early, "x", 2, 7).verdict, REPLAY_STALE_BASE);
  feed_publish (early, "b", 1, 5);
  CU_ASSERT_TRUE (replay_adopt (adopter, replay_manifest (early), replay_next (early)));
  CU_ASSERT_EQUAL (feed_publish (early, "x", 2, 7).verdict, REPLAY_ACCEPTED);
  CU_ASSERT_EQUAL (feed_publish (adopter, "x", 2, 7).verdict, REPLAY_ACCEPTED);
  CU_ASSERT_STRING_EQUAL (replay_manifest (early)->digest, replay_manifest (adopter)->digest);
}

static void
test_invalid_records_change_nothing (void)
{
  static const char *const INVALID[] = {
    "",
    "{",
    "[]",
    "{\"kind\":\"other\"}",
    "{\"kind\":\"publish\"}",
    "{\"kind\":\"publish\",\"id\":\"\",\"base\":1,\"patch\":{}}",
    "{\"kind\":\"publish\",\"id\":\"x\\n\",\"base\":1,\"patch\":{}}",
    "{\"kind\":\"publish\",\"id\":\"x\",\"base\":-1,\"patch\":{}}",
    "{\"kind\":\"publish\",\"id\":\"x\",\"base\":1}",
    "{\"kind\":\"publish\",\"id\":\"x\",\"base\":1,\"patch\":{},\"manifest\":{}}",
    "{\"kind\":\"publish\",\"id\":\"x\",\"base\":1,\"patch\":{},\"more\":1}",
    "{\"kind\":\"publish\",\"id\":\"x\",\"base\":1,\"patch\":{\"routes\":[]}}",
    "{\"kind\":\"publish\",\"id\":\"x\",\"id\":\"x\",\"base\":1,\"patch\":{}}",
    "{\"kind\":\"checkpoint\",\"version\":1,\"as_of\":0}",
    "{\"kind\":\"checkpoint\",\"version\":2,\"as_of\":0,\"manifest\":{}}",
    "{\"kind\":\"checkpoint\",\"version\":1,\"as_of\":99,\"manifest\":{}}",
  };
  g_autoptr (replay_t) replay = replay_new ();

  replay_set_first (replay, at (0));
  feed_publish (replay, "a", 0, 4);
  for (size_t i = 0; i < G_N_ELEMENTS (INVALID); i++)
    {
      replay_result_t result = feed (replay, INVALID[i]);

      CU_ASSERT_EQUAL (result.verdict, REPLAY_INVALID);
      CU_ASSERT_TRUE (result.reason[0] != '\0');
    }
  CU_ASSERT_EQUAL (version_of (replay), 1);
  CU_ASSERT_TRUE (replay_is_ready (replay));
}

/*
 * A process formats a checkpoint of version 1, is paused while later versions come into force, and
 * then appends the stale checkpoint. A new reader that can still read all records after the
 * checkpoint's offset arrives at the newest version; one that can't is not ready until a newer
 * checkpoint. No reader may return to version 1.
 */
static void
test_stale_checkpoint (void)
{
  g_autoptr (replay_t) writer = replay_new ();
  g_autoptr (replay_t) complete_reader = replay_new ();
  g_autoptr (replay_t) incomplete_reader = replay_new ();
  g_autofree char *second = format_publish ("b", 1, 5);
  g_autofree char *third = format_publish ("c", 2, 6);
  g_autofree char *stale = NULL;
  g_autofree char *newer = NULL;

  replay_set_first (writer, at (0));
  feed_publish (writer, "a", 0, 4);
  stale = replay_format_checkpoint (writer);                              /* as of 0 */
  feed (writer, second);                                                  /* at 1 */
  newer = replay_format_checkpoint (writer);                              /* as of 1 */
  feed (writer, third);                                                   /* at 2 */
  CU_ASSERT_EQUAL (feed (writer, stale).verdict, REPLAY_CHECKPOINT_SEEN); /* at 3 */
  CU_ASSERT_EQUAL (version_of (writer), 3);

  replay_set_first (complete_reader, at (1));
  replay_set_end (complete_reader, at (4));
  CU_ASSERT_EQUAL (feed (complete_reader, second).verdict, REPLAY_SKIPPED);
  CU_ASSERT_EQUAL (feed (complete_reader, third).verdict, REPLAY_SKIPPED);
  CU_ASSERT_EQUAL (feed (complete_reader, stale).verdict, REPLAY_CHECKPOINT_USED);
  CU_ASSERT_FALSE (replay_is_ready (complete_reader));
  CU_ASSERT (position_equal (replay_next (complete_reader), at (1)));
  CU_ASSERT_EQUAL (feed (complete_reader, second).verdict, REPLAY_ACCEPTED);
  CU_ASSERT_EQUAL (feed (complete_reader, third).verdict, REPLAY_ACCEPTED);
  CU_ASSERT_FALSE (replay_is_ready (complete_reader));
  CU_ASSERT_EQUAL (feed (complete_reader, stale).verdict, REPLAY_CHECKPOINT_SEEN);
  CU_ASSERT_TRUE (replay_is_ready (complete_reader));
  CU_ASSERT_EQUAL (version_of (complete_reader), 3);

  replay_set_first (incomplete_reader, at (2));
  replay_set_end (incomplete_reader, at (5));
  CU_ASSERT_EQUAL (feed (incomplete_reader, third).verdict, REPLAY_SKIPPED);
  CU_ASSERT_EQUAL (feed (incomplete_reader, stale).verdict, REPLAY_CHECKPOINT_SEEN);
  CU_ASSERT_FALSE (replay_is_ready (incomplete_reader));
  CU_ASSERT_PTR_NULL (replay_manifest (incomplete_reader));
  CU_ASSERT_EQUAL (feed (incomplete_reader, newer).verdict, REPLAY_CHECKPOINT_USED); /* at 4 */
  CU_ASSERT (position_equal (replay_next (incomplete_reader), at (2)));
  CU_ASSERT_EQUAL (feed (incomplete_reader, third).verdict, REPLAY_ACCEPTED);
  feed (incomplete_reader, stale);
  feed (incomplete_reader, newer);
  CU_ASSERT_TRUE (replay_is_ready (incomplete_reader));
  CU_ASSERT_EQUAL (version_of (incomplete_reader), 3);
}

/*
 * A reader is suspended until the log has dropped records that it has not read. It keeps its
 * version but is not ready, and must not accept publishes, because it does not know the version in
 * force.
 */
static void
test_gap (void)
{
  g_autoptr (replay_t) replay = replay_new ();
  g_autoptr (replay_t) other = replay_new ();
  g_autofree char *checkpoint = NULL;

  replay_set_first (replay, at (0));
  feed_publish (replay, "a", 0, 4);
  replay_set_first (other, at (0));
  feed_publish (other, "a", 0, 4);
  feed_publish (other, "b", 1, 5);
  feed_publish (other, "c", 1, 6);
  checkpoint = replay_format_checkpoint (other); /* as of 2 */
  replay_set_first (replay, at (3));
  CU_ASSERT_FALSE (replay_is_ready (replay));
  CU_ASSERT_EQUAL (version_of (replay), 1);
  CU_ASSERT_EQUAL (feed_publish (replay, "d", 1, 7).verdict, REPLAY_SKIPPED);  /* at 3 */
  CU_ASSERT_EQUAL (feed (replay, checkpoint).verdict, REPLAY_CHECKPOINT_USED); /* at 4 */
  CU_ASSERT (position_equal (replay_next (replay), at (3)));
  CU_ASSERT_FALSE (replay_is_ready (replay));
  CU_ASSERT_EQUAL (feed_publish (replay, "d", 1, 7).verdict, REPLAY_STALE_BASE);
  CU_ASSERT_EQUAL (feed (replay, checkpoint).verdict, REPLAY_CHECKPOINT_SEEN);
  CU_ASSERT_TRUE (replay_is_ready (replay));
  CU_ASSERT_EQUAL (version_of (replay), 2);
}

static void
test_adopt (void)
{
  g_autoptr (replay_t) peer = replay_new ();
  g_autoptr (replay_t) replay = replay_new ();
  manifest_t *first;

  replay_set_first (peer, at (0));
  feed_publish (peer, "a", 0, 4);
  first = manifest_ref (replay_manifest (peer));
  feed_publish (peer, "b", 1, 5);
  CU_ASSERT_TRUE (replay_adopt (replay, replay_manifest (peer), at (2)));
  CU_ASSERT_TRUE (replay_is_ready (replay));
  CU_ASSERT_FALSE (replay_adopt (replay, first, at (1)));
  CU_ASSERT_FALSE (replay_adopt (replay, first, at (9)));
  replay_set_first (replay, at (1));
  CU_ASSERT (position_equal (replay_next (replay), at (2)));
  CU_ASSERT_EQUAL (feed_publish (replay, "c", 2, 6).version, 3);
  replay_set_first (replay, at (7));
  CU_ASSERT_FALSE (replay_is_ready (replay));
  CU_ASSERT_FALSE (replay_adopt (replay, replay_manifest (replay), at (6)));
  CU_ASSERT_TRUE (replay_adopt (replay, replay_manifest (replay), at (7)));
  CU_ASSERT_TRUE (replay_is_ready (replay));
  manifest_unref (first);
}

static void
test_checkpoint_due (void)
{
  g_autoptr (replay_t) replay = replay_new ();
  g_autofree char *checkpoint = NULL;

  replay_set_first (replay, at (0));
  CU_ASSERT_FALSE (replay_checkpoint_due (replay, 2));
  CU_ASSERT_PTR_NULL (replay_format_checkpoint (replay));
  feed_publish (replay, "a", 0, 4);
  CU_ASSERT_FALSE (replay_checkpoint_due (replay, 2));
  feed_publish (replay, "b", 1, 5);
  CU_ASSERT_TRUE (replay_checkpoint_due (replay, 2));
  checkpoint = replay_format_checkpoint (replay); /* as of 1 */
  feed (replay, checkpoint);                      /* at 2 */
  CU_ASSERT_FALSE (replay_checkpoint_due (replay, 1));
  replay_set_first (replay, at (2));
  CU_ASSERT_FALSE (replay_checkpoint_due (replay, 1));
  replay_set_first (replay, at (3));
  CU_ASSERT_TRUE (replay_checkpoint_due (replay, 1));
}

static void
test_history_is_bounded (void)
{
  publish_history_t *history = publish_history_new (2);

  publish_history_add (history, "a", true, 1);
  publish_history_add (history, "b", false, 1);
  publish_history_add (history, "a", false, 9);
  CU_ASSERT_EQUAL (publish_history_find (history, "a")->version, 1);
  publish_history_add (history, "c", true, 2);
  CU_ASSERT_PTR_NULL (publish_history_find (history, "a"));
  CU_ASSERT_PTR_NOT_NULL (publish_history_find (history, "b"));
  CU_ASSERT_TRUE (publish_history_find (history, "c")->accepted);
  publish_history_free (history);
}

/*
 * An operator increases the number of claim shards of a service. An idempotency key that was
 * claimed in one stream would then be looked up in another, and a retried booking would be executed
 * twice.
 */
static void
test_claim_shards_cannot_change (void)
{
  g_autoptr (replay_t) replay = replay_new ();
  json_auto_t *shards = json_pack ("{s{s{si}}}", "services", "pool", "claim_shards", 32);
  g_autofree char *text = replay_format_publish ("b", 1, "ann", NULL, shards);
  replay_result_t result;

  replay_set_first (replay, at (0));
  feed_publish (replay, "a", 0, 4);
  result = feed (replay, text);
  CU_ASSERT_EQUAL (result.verdict, REPLAY_INVALID);
  CU_ASSERT_PTR_NOT_NULL (strstr (result.reason, "services.pool.claim_shards"));
  CU_ASSERT_EQUAL (result.version, 1);
}

/* Feeds publishes "a", "b" and "c", which are versions 1 to 3. */
static void
feed_three (replay_t *replay, position_t first)
{
  replay_set_first (replay, first);
  for (uint32_t i = 0; i < 3; i++)
    {
      const char id[] = { (char)('a' + i), '\0' };

      feed_publish (replay, id, i, 4 + i);
    }
}

/* A reader whose log came back with the first of three publishes. */
static replay_t *
new_restored (void)
{
  replay_t *replay = replay_new ();

  feed_three (replay, at (0));
  replay_set_first (replay, (position_t){ 1, 0 });
  replay_set_end (replay, (position_t){ 1, 1 });
  feed_publish (replay, "a", 0, 4);
  return replay;
}

/* Guards against a version that is replaced by an older one, or by none, as the log came back from
 * a copy without it. */
static void
test_version_stays_when_the_log_lost_it (void)
{
  g_autoptr (replay_t) replay = new_restored ();
  g_autoptr (replay_t) starting = replay_new ();
  g_autofree char *restore = NULL;

  CU_ASSERT_EQUAL (replay_manifest (replay)->version, 3);
  CU_ASSERT_TRUE (replay_is_ready (replay));
  CU_ASSERT_FALSE (replay_is_confirmed (replay));
  CU_ASSERT_FALSE (replay_checkpoint_due (replay, 1));
  CU_ASSERT_TRUE_FATAL (replay_restore_due (replay));
  restore = replay_format_restore (replay);
  CU_ASSERT_EQUAL (feed (replay, restore).verdict, REPLAY_RESTORED);
  CU_ASSERT_FALSE (replay_restore_due (replay));
  CU_ASSERT_TRUE (replay_is_confirmed (replay));
  CU_ASSERT_EQUAL (feed (replay, restore).verdict, REPLAY_RESTORE_SEEN);
  replay_set_first (starting, (position_t){ 1, 0 });
  replay_set_end (starting, (position_t){ 1, 2 });
  feed_publish (starting, "a", 0, 4);
  CU_ASSERT_EQUAL (feed (starting, restore).verdict, REPLAY_RESTORED);
  CU_ASSERT_EQUAL (replay_manifest (starting)->version, 3);
  CU_ASSERT_STRING_EQUAL (replay_manifest (starting)->digest, replay_manifest (replay)->digest);
  CU_ASSERT_EQUAL (feed_publish (replay, "d", 3, 9).version, 4);
  CU_ASSERT_EQUAL (feed_publish (starting, "d", 3, 9).version, 4);
}

/* The version that the log has counts once it is as high as the one that it lost. */
static void
test_versions_published_anew_come_into_force (void)
{
  g_autoptr (replay_t) replay = new_restored ();

  CU_ASSERT_EQUAL (feed_publish (replay, "x", 1, 11).version, 3);
  CU_ASSERT_FALSE (replay_is_confirmed (replay));
  feed_publish (replay, "y", 2, 12);
  CU_ASSERT_TRUE (replay_is_confirmed (replay));
  CU_ASSERT_EQUAL (replay_manifest (replay)->version, 3);
  CU_ASSERT_FALSE (replay_restore_due (replay));
}

/* Guards against records of the era before that come late, and against a peer that is still there.
 */
static void
test_records_and_states_of_an_era_before_are_ignored (void)
{
  g_autoptr (replay_t) replay = new_restored ();
  g_autoptr (replay_t) peer = replay_new ();
  g_autofree char *text = format_publish ("d", 3, 9);

  feed_three (peer, at (0));
  replay_set_first (replay, at (9));
  replay_set_end (replay, at (9));
  CU_ASSERT_EQUAL (replay_apply (replay, at (3), text, strlen (text)).verdict, REPLAY_SKIPPED);
  CU_ASSERT_FALSE (replay_adopt (replay, replay_manifest (peer), at (3)));
  CU_ASSERT_TRUE (position_equal (replay_next (replay), (position_t){ 1, 1 }));
  CU_ASSERT_TRUE (replay_adopt (peer, replay_manifest (replay), (position_t){ 1, 2 }));
  CU_ASSERT_TRUE (position_equal (replay_next (peer), (position_t){ 1, 2 }));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_publish_and_patch),
    SUITE_TEST (test_stale_base_is_rejected),
    SUITE_TEST (test_repeated_publish_is_rejected),
    SUITE_TEST (test_history_does_not_affect_verdict),
    SUITE_TEST (test_invalid_records_change_nothing),
    SUITE_TEST (test_stale_checkpoint),
    SUITE_TEST (test_gap),
    SUITE_TEST (test_adopt),
    SUITE_TEST (test_checkpoint_due),
    SUITE_TEST (test_history_is_bounded),
    SUITE_TEST (test_claim_shards_cannot_change),
    SUITE_TEST (test_version_stays_when_the_log_lost_it),
    SUITE_TEST (test_versions_published_anew_come_into_force),
    SUITE_TEST (test_records_and_states_of_an_era_before_are_ignored),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("replay", tests);
}
