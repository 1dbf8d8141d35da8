#include "version/judged.h"
#include "version/replay.h"
#include "suite.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (rep_t, rep_free)

#define KEY "08a6bd4bf2a6c5b8e6b2a0a8f7a4a7b7fb0ee6d29a4a7fcc1c6e0b7b1a2f3c4d"

/* Manifests of different @slots are otherwise equal. */
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
      rep_publish_record (id, base, "ann", base == 0 ? json : NULL, base == 0 ? NULL : json);

  json_decref (json);
  return text;
}

static rep_judgement_t
feed (rep_t *rep, const char *text)
{
  return rep_feed (rep, rep_next_offset (rep), text, strlen (text));
}

static rep_judgement_t
feed_publish (rep_t *rep, const char *id, uint64_t base, uint32_t slots)
{
  g_autofree char *text = format_publish (id, base, slots);

  return feed (rep, text);
}

static uint64_t
version_of (const rep_t *rep)
{
  return rep_manifest (rep) != NULL ? rep_manifest (rep)->version : 0;
}

static void
test_publish_and_patch (void)
{
  g_autoptr (rep_t) rep = rep_new ();

  rep_begin (rep, 0);
  CU_ASSERT_FALSE (rep_ready (rep));
  CU_ASSERT_TRUE (rep_unpublished (rep));
  CU_ASSERT_EQUAL (feed_publish (rep, "a", 0, 4).verdict, REP_ACCEPTED);
  CU_ASSERT_TRUE (rep_ready (rep));
  CU_ASSERT_FALSE (rep_unpublished (rep));
  CU_ASSERT_STRING_EQUAL (rep_by (rep), "ann");
  CU_ASSERT_EQUAL (feed_publish (rep, "b", 1, 9).version, 2);
  CU_ASSERT_EQUAL (rep_manifest (rep)->services[0].slots, 9);
  CU_ASSERT_EQUAL (rep_next_offset (rep), 2);
}

/*
 * Two operators publish concurrently on the same base. Both appends succeed; the later record in
 * the log is rejected, and its operator is told which version is in force. Without this check the
 * first change would be overwritten silently.
 */
static void
test_stale_base_is_rejected (void)
{
  g_autoptr (rep_t) rep = rep_new ();
  rep_judgement_t result;

  rep_begin (rep, 0);
  feed_publish (rep, "a", 0, 4);
  feed_publish (rep, "b", 1, 5);
  result = feed_publish (rep, "c", 1, 6);
  CU_ASSERT_EQUAL (result.verdict, REP_STALE_BASE);
  CU_ASSERT_STRING_EQUAL (result.id, "c");
  CU_ASSERT_STRING_EQUAL (result.reason, "version 2 by ann is in force; rebase");
  CU_ASSERT_EQUAL (rep_manifest (rep)->services[0].slots, 5);
}

/*
 * The response to an append is lost and the platform's client retries, so the log holds the publish
 * twice. Only the first record may be accepted; the second one reports the outcome of the first.
 */
static void
test_repeated_publish_is_rejected (void)
{
  g_autoptr (rep_t) rep = rep_new ();
  rep_judgement_t result;

  rep_begin (rep, 0);
  feed_publish (rep, "a", 0, 4);
  result = feed_publish (rep, "a", 0, 4);
  CU_ASSERT_EQUAL (result.verdict, REP_REPEATED);
  CU_ASSERT_STRING_EQUAL (result.reason, "it was accepted before as version 1");
  CU_ASSERT_EQUAL (result.version, 1);
  feed_publish (rep, "b", 0, 4);
  result = feed_publish (rep, "b", 0, 4);
  CU_ASSERT_EQUAL (result.verdict, REP_REPEATED);
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
  g_autoptr (rep_t) early = rep_new ();
  g_autoptr (rep_t) adopter = rep_new ();

  rep_begin (early, 0);
  feed_publish (early, "a", 0, 4);
  CU_ASSERT_EQUAL (feed_publish (early, "x", 2, 7).verdict, REP_STALE_BASE);
  feed_publish (early, "b", 1, 5);
  CU_ASSERT_TRUE (rep_adopt (adopter, rep_manifest (early), rep_next_offset (early)));
  CU_ASSERT_EQUAL (feed_publish (early, "x", 2, 7).verdict, REP_ACCEPTED);
  CU_ASSERT_EQUAL (feed_publish (adopter, "x", 2, 7).verdict, REP_ACCEPTED);
  CU_ASSERT_STRING_EQUAL (rep_manifest (early)->digest, rep_manifest (adopter)->digest);
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
  g_autoptr (rep_t) rep = rep_new ();

  rep_begin (rep, 0);
  feed_publish (rep, "a", 0, 4);
  for (size_t i = 0; i < G_N_ELEMENTS (INVALID); i++)
    {
      rep_judgement_t result = feed (rep, INVALID[i]);

      CU_ASSERT_EQUAL (result.verdict, REP_INVALID);
      CU_ASSERT_TRUE (result.reason[0] != '\0');
    }
  CU_ASSERT_EQUAL (version_of (rep), 1);
  CU_ASSERT_TRUE (rep_ready (rep));
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
  g_autoptr (rep_t) writer = rep_new ();
  g_autoptr (rep_t) complete_reader = rep_new ();
  g_autoptr (rep_t) incomplete_reader = rep_new ();
  g_autofree char *second = format_publish ("b", 1, 5);
  g_autofree char *third = format_publish ("c", 2, 6);
  g_autofree char *stale = NULL;
  g_autofree char *newer = NULL;

  rep_begin (writer, 0);
  feed_publish (writer, "a", 0, 4);
  stale = rep_checkpoint_record (writer);                              /* as of 0 */
  feed (writer, second);                                               /* at 1 */
  newer = rep_checkpoint_record (writer);                              /* as of 1 */
  feed (writer, third);                                                /* at 2 */
  CU_ASSERT_EQUAL (feed (writer, stale).verdict, REP_CHECKPOINT_SEEN); /* at 3 */
  CU_ASSERT_EQUAL (version_of (writer), 3);

  rep_begin (complete_reader, 1);
  rep_note_end (complete_reader, 4);
  CU_ASSERT_EQUAL (feed (complete_reader, second).verdict, REP_SKIPPED);
  CU_ASSERT_EQUAL (feed (complete_reader, third).verdict, REP_SKIPPED);
  CU_ASSERT_EQUAL (feed (complete_reader, stale).verdict, REP_CHECKPOINT_USED);
  CU_ASSERT_FALSE (rep_ready (complete_reader));
  CU_ASSERT_EQUAL (rep_next_offset (complete_reader), 1);
  CU_ASSERT_EQUAL (feed (complete_reader, second).verdict, REP_ACCEPTED);
  CU_ASSERT_EQUAL (feed (complete_reader, third).verdict, REP_ACCEPTED);
  CU_ASSERT_FALSE (rep_ready (complete_reader));
  CU_ASSERT_EQUAL (feed (complete_reader, stale).verdict, REP_CHECKPOINT_SEEN);
  CU_ASSERT_TRUE (rep_ready (complete_reader));
  CU_ASSERT_EQUAL (version_of (complete_reader), 3);

  rep_begin (incomplete_reader, 2);
  rep_note_end (incomplete_reader, 5);
  CU_ASSERT_EQUAL (feed (incomplete_reader, third).verdict, REP_SKIPPED);
  CU_ASSERT_EQUAL (feed (incomplete_reader, stale).verdict, REP_CHECKPOINT_SEEN);
  CU_ASSERT_FALSE (rep_ready (incomplete_reader));
  CU_ASSERT_PTR_NULL (rep_manifest (incomplete_reader));
  CU_ASSERT_EQUAL (feed (incomplete_reader, newer).verdict, REP_CHECKPOINT_USED); /* at 4 */
  CU_ASSERT_EQUAL (rep_next_offset (incomplete_reader), 2);
  CU_ASSERT_EQUAL (feed (incomplete_reader, third).verdict, REP_ACCEPTED);
  feed (incomplete_reader, stale);
  feed (incomplete_reader, newer);
  CU_ASSERT_TRUE (rep_ready (incomplete_reader));
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
  g_autoptr (rep_t) rep = rep_new ();
  g_autoptr (rep_t) other = rep_new ();
  g_autofree char *checkpoint = NULL;

  rep_begin (rep, 0);
  feed_publish (rep, "a", 0, 4);
  rep_begin (other, 0);
  feed_publish (other, "a", 0, 4);
  feed_publish (other, "b", 1, 5);
  feed_publish (other, "c", 1, 6);
  checkpoint = rep_checkpoint_record (other); /* as of 2 */
  rep_begin (rep, 3);
  CU_ASSERT_FALSE (rep_ready (rep));
  CU_ASSERT_EQUAL (version_of (rep), 1);
  CU_ASSERT_EQUAL (feed_publish (rep, "d", 1, 7).verdict, REP_SKIPPED);  /* at 3 */
  CU_ASSERT_EQUAL (feed (rep, checkpoint).verdict, REP_CHECKPOINT_USED); /* at 4 */
  CU_ASSERT_EQUAL (rep_next_offset (rep), 3);
  CU_ASSERT_FALSE (rep_ready (rep));
  CU_ASSERT_EQUAL (feed_publish (rep, "d", 1, 7).verdict, REP_STALE_BASE);
  CU_ASSERT_EQUAL (feed (rep, checkpoint).verdict, REP_CHECKPOINT_SEEN);
  CU_ASSERT_TRUE (rep_ready (rep));
  CU_ASSERT_EQUAL (version_of (rep), 2);
}

static void
test_adopt (void)
{
  g_autoptr (rep_t) peer = rep_new ();
  g_autoptr (rep_t) rep = rep_new ();
  man_t *first;

  rep_begin (peer, 0);
  feed_publish (peer, "a", 0, 4);
  first = man_ref (rep_manifest (peer));
  feed_publish (peer, "b", 1, 5);
  CU_ASSERT_TRUE (rep_adopt (rep, rep_manifest (peer), 2));
  CU_ASSERT_TRUE (rep_ready (rep));
  CU_ASSERT_FALSE (rep_adopt (rep, first, 1));
  CU_ASSERT_FALSE (rep_adopt (rep, first, 9));
  rep_begin (rep, 1);
  CU_ASSERT_EQUAL (rep_next_offset (rep), 2);
  CU_ASSERT_EQUAL (feed_publish (rep, "c", 2, 6).version, 3);
  rep_begin (rep, 7);
  CU_ASSERT_FALSE (rep_ready (rep));
  CU_ASSERT_FALSE (rep_adopt (rep, rep_manifest (rep), 6));
  CU_ASSERT_TRUE (rep_adopt (rep, rep_manifest (rep), 7));
  CU_ASSERT_TRUE (rep_ready (rep));
  man_unref (first);
}

static void
test_checkpoint_due (void)
{
  g_autoptr (rep_t) rep = rep_new ();
  g_autofree char *checkpoint = NULL;

  rep_begin (rep, 0);
  CU_ASSERT_FALSE (rep_checkpoint_due (rep, 2));
  CU_ASSERT_PTR_NULL (rep_checkpoint_record (rep));
  feed_publish (rep, "a", 0, 4);
  CU_ASSERT_FALSE (rep_checkpoint_due (rep, 2));
  feed_publish (rep, "b", 1, 5);
  CU_ASSERT_TRUE (rep_checkpoint_due (rep, 2));
  checkpoint = rep_checkpoint_record (rep); /* as of 1 */
  feed (rep, checkpoint);                   /* at 2 */
  CU_ASSERT_FALSE (rep_checkpoint_due (rep, 1));
  rep_begin (rep, 2);
  CU_ASSERT_FALSE (rep_checkpoint_due (rep, 1));
  rep_begin (rep, 3);
  CU_ASSERT_TRUE (rep_checkpoint_due (rep, 1));
}

static void
test_history_is_bounded (void)
{
  jdg_t *jdg = jdg_new (2);

  jdg_add (jdg, "a", true, 1);
  jdg_add (jdg, "b", false, 1);
  jdg_add (jdg, "a", false, 9);
  CU_ASSERT_EQUAL (jdg_find (jdg, "a")->version, 1);
  jdg_add (jdg, "c", true, 2);
  CU_ASSERT_PTR_NULL (jdg_find (jdg, "a"));
  CU_ASSERT_PTR_NOT_NULL (jdg_find (jdg, "b"));
  CU_ASSERT_TRUE (jdg_find (jdg, "c")->accepted);
  jdg_free (jdg);
}

/*
 * An operator increases the number of claim shards of a service. An idempotency key that was
 * claimed in one stream would then be looked up in another, and a retried booking would be executed
 * twice.
 */
static void
test_claim_shards_cannot_change (void)
{
  g_autoptr (rep_t) rep = rep_new ();
  json_auto_t *shards = json_pack ("{s{s{si}}}", "services", "pool", "claim_shards", 32);
  g_autofree char *text = rep_publish_record ("b", 1, "ann", NULL, shards);
  rep_judgement_t result;

  rep_begin (rep, 0);
  feed_publish (rep, "a", 0, 4);
  result = feed (rep, text);
  CU_ASSERT_EQUAL (result.verdict, REP_INVALID);
  CU_ASSERT_PTR_NOT_NULL (strstr (result.reason, "services.pool.claim_shards"));
  CU_ASSERT_EQUAL (result.version, 1);
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
    CU_TEST_INFO_NULL,
  };
  return suite_run ("replay", tests);
}
