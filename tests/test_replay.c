#include "version/judged.h"
#include "version/replay.h"
#include "suite.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (rep_t, rep_free)

#define KEY "08a6bd4bf2a6c5b8e6b2a0a8f7a4a7b7fb0ee6d29a4a7fcc1c6e0b7b1a2f3c4d"

/* A manifest that differs in one number. */
static json_t *
manifest (uint32_t slots)
{
  return json_pack ("{s{s{ss}} s{s{}} s{s{ss s[s] si}} s[{ss ss ss}]}", "client_accounts", "east",
                    "key_sha256", KEY, "classes", "short", "services", "pool", "kind", "model",
                    "engines", "e1", "slots", (int)slots, "routes", "path", "/a", "service", "pool",
                    "class", "short");
}

static json_t *
patch (uint32_t slots)
{
  return json_pack ("{s{s{si}}}", "services", "pool", "slots", (int)slots);
}

static char *
publish (const char *id, uint64_t base, uint32_t slots)
{
  json_t *json = base == 0 ? manifest (slots) : patch (slots);
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
  g_autofree char *text = publish (id, base, slots);

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
 * Two operators publish on the same base. Both appends succeed; the log's order makes the second
 * one the loser, and its operator hears which version stands in the way. Without the comparison
 * the first one's change would be gone without a word.
 */
static void
test_loser_of_a_race (void)
{
  g_autoptr (rep_t) rep = rep_new ();
  rep_judgement_t judgement;

  rep_begin (rep, 0);
  feed_publish (rep, "a", 0, 4);
  feed_publish (rep, "b", 1, 5);
  judgement = feed_publish (rep, "c", 1, 6);
  CU_ASSERT_EQUAL (judgement.verdict, REP_STALE_BASE);
  CU_ASSERT_STRING_EQUAL (judgement.id, "c");
  CU_ASSERT_STRING_EQUAL (judgement.reason, "version 2 by ann is in force; rebase");
  CU_ASSERT_EQUAL (rep_manifest (rep)->services[0].slots, 5);
}

/*
 * The answer to an append is lost and the platform's client sends it twice, so the log holds the
 * publish twice. It counts once, and the second one is told what became of the first.
 */
static void
test_repeated_publish (void)
{
  g_autoptr (rep_t) rep = rep_new ();
  rep_judgement_t judgement;

  rep_begin (rep, 0);
  feed_publish (rep, "a", 0, 4);
  judgement = feed_publish (rep, "a", 0, 4);
  CU_ASSERT_EQUAL (judgement.verdict, REP_REPEATED);
  CU_ASSERT_STRING_EQUAL (judgement.reason, "it was accepted before as version 1");
  CU_ASSERT_EQUAL (judgement.version, 1);
  feed_publish (rep, "b", 0, 4);
  judgement = feed_publish (rep, "b", 0, 4);
  CU_ASSERT_EQUAL (judgement.verdict, REP_REPEATED);
  CU_ASSERT_STRING_EQUAL (judgement.reason, "it was refused before");
}

/*
 * A publish whose base was not in force yet is refused, and stands in the log a second time after
 * that base came into force. A daemon that started at a checkpoint between the two does not know
 * the first one. Both must come to one verdict, so what a reader remembers of ids decides nothing.
 */
static void
test_ids_do_not_decide (void)
{
  g_autoptr (rep_t) old = rep_new ();
  g_autoptr (rep_t) young = rep_new ();

  rep_begin (old, 0);
  feed_publish (old, "a", 0, 4);
  CU_ASSERT_EQUAL (feed_publish (old, "x", 2, 7).verdict, REP_STALE_BASE);
  feed_publish (old, "b", 1, 5);
  CU_ASSERT_TRUE (rep_adopt (young, rep_manifest (old), rep_next_offset (old)));
  CU_ASSERT_EQUAL (feed_publish (old, "x", 2, 7).verdict, REP_ACCEPTED);
  CU_ASSERT_EQUAL (feed_publish (young, "x", 2, 7).verdict, REP_ACCEPTED);
  CU_ASSERT_STRING_EQUAL (rep_manifest (old)->digest, rep_manifest (young)->digest);
}

static void
test_invalid_records_change_nothing (void)
{
  static const char *const BROKEN[] = {
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
  for (size_t at = 0; at < G_N_ELEMENTS (BROKEN); at++)
    {
      rep_judgement_t judgement = feed (rep, BROKEN[at]);

      CU_ASSERT_EQUAL (judgement.verdict, REP_INVALID);
      CU_ASSERT_TRUE (judgement.reason[0] != '\0');
    }
  CU_ASSERT_EQUAL (version_of (rep), 1);
  CU_ASSERT_TRUE (rep_ready (rep));
}

/*
 * A process takes down a checkpoint of version 1, is paused while version 2 comes into force, and
 * appends its old record on waking. A fresh reader for which all after the checkpoint's offset is
 * still retained comes to version 2; one for which it is not waits. Nobody goes back to version 1.
 */
static void
test_stale_checkpoint (void)
{
  g_autoptr (rep_t) writer = rep_new ();
  g_autoptr (rep_t) fresh = rep_new ();
  g_autoptr (rep_t) late = rep_new ();
  g_autofree char *second = publish ("b", 1, 5);
  g_autofree char *third = publish ("c", 2, 6);
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

  rep_begin (fresh, 1);
  rep_note_end (fresh, 4);
  CU_ASSERT_EQUAL (feed (fresh, second).verdict, REP_SKIPPED);
  CU_ASSERT_EQUAL (feed (fresh, third).verdict, REP_SKIPPED);
  CU_ASSERT_EQUAL (feed (fresh, stale).verdict, REP_CHECKPOINT_USED);
  CU_ASSERT_FALSE (rep_ready (fresh));
  CU_ASSERT_EQUAL (rep_next_offset (fresh), 1);
  CU_ASSERT_EQUAL (feed (fresh, second).verdict, REP_ACCEPTED);
  CU_ASSERT_EQUAL (feed (fresh, third).verdict, REP_ACCEPTED);
  CU_ASSERT_FALSE (rep_ready (fresh));
  CU_ASSERT_EQUAL (feed (fresh, stale).verdict, REP_CHECKPOINT_SEEN);
  CU_ASSERT_TRUE (rep_ready (fresh));
  CU_ASSERT_EQUAL (version_of (fresh), 3);

  rep_begin (late, 2);
  rep_note_end (late, 5);
  CU_ASSERT_EQUAL (feed (late, third).verdict, REP_SKIPPED);
  CU_ASSERT_EQUAL (feed (late, stale).verdict, REP_CHECKPOINT_SEEN);
  CU_ASSERT_FALSE (rep_ready (late));
  CU_ASSERT_PTR_NULL (rep_manifest (late));
  CU_ASSERT_EQUAL (feed (late, newer).verdict, REP_CHECKPOINT_USED); /* at 4 */
  CU_ASSERT_EQUAL (rep_next_offset (late), 2);
  CU_ASSERT_EQUAL (feed (late, third).verdict, REP_ACCEPTED);
  feed (late, stale);
  feed (late, newer);
  CU_ASSERT_TRUE (rep_ready (late));
  CU_ASSERT_EQUAL (version_of (late), 3);
}

/*
 * A reader sleeps until the records that it needs are gone. It keeps serving under its version but
 * says that it is not current, and does not judge publishes on a base that it cannot know.
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
test_judged_ids_are_bounded (void)
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
 * An operator spreads the claims of a service over more streams. A key that was claimed in one
 * stream before would be looked for in another after, and a resent booking would run twice.
 */
static void
test_claim_shards_stay (void)
{
  g_autoptr (rep_t) rep = rep_new ();
  json_auto_t *shards = json_pack ("{s{s{si}}}", "services", "pool", "claim_shards", 32);
  g_autofree char *text = rep_publish_record ("b", 1, "ann", NULL, shards);
  rep_judgement_t judgement;

  rep_begin (rep, 0);
  feed_publish (rep, "a", 0, 4);
  judgement = feed (rep, text);
  CU_ASSERT_EQUAL (judgement.verdict, REP_INVALID);
  CU_ASSERT_PTR_NOT_NULL (strstr (judgement.reason, "services.pool.claim_shards"));
  CU_ASSERT_EQUAL (judgement.version, 1);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_publish_and_patch),
    SUITE_TEST (test_loser_of_a_race),
    SUITE_TEST (test_repeated_publish),
    SUITE_TEST (test_ids_do_not_decide),
    SUITE_TEST (test_invalid_records_change_nothing),
    SUITE_TEST (test_stale_checkpoint),
    SUITE_TEST (test_gap),
    SUITE_TEST (test_adopt),
    SUITE_TEST (test_checkpoint_due),
    SUITE_TEST (test_judged_ids_are_bounded),
    SUITE_TEST (test_claim_shards_stay),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("replay", tests);
}
