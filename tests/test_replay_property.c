#include "version/replay.h"
#include "suite.h"

#include <stdio.h>
#include <string.h>

#define KEY "08a6bd4bf2a6c5b8e6b2a0a8f7a4a7b7fb0ee6d29a4a7fcc1c6e0b7b1a2f3c4d"
#define RECORDS_MAX 400
#define READERS 4
#define PUBLISHERS 3
#define PAUSED 3
#define STEPS 1200
#define RUNS 40

/* struct publisher - a pending publish: made on what its operator saw, appended later */
typedef struct
{
  char *text;
} publisher_t;

/* struct reader - @begun_version: in force at the end of the log when it last began to read */
typedef struct
{
  rep_t *rep;
  uint64_t begun_version;
  uint64_t last_version;
} reader_t;

/*
 * @truth: reads each record at once and never misses one
 * @versions, @digests: what was in force after each record
 * @paused: checkpoint records that were taken down and not appended yet
 */
typedef struct
{
  GRand *rand;
  char *records[RECORDS_MAX];
  uint64_t versions[RECORDS_MAX];
  char *digests[RECORDS_MAX];
  uint64_t first_offset;
  uint64_t end_offset;
  uint32_t ids;
  rep_t *truth;
  reader_t readers[READERS];
  publisher_t publishers[PUBLISHERS];
  char *paused[PAUSED];
  uint32_t accepted;
  uint32_t stale;
  uint32_t repeated;
  uint32_t restarted;
  uint32_t gaps;
  uint32_t adopted;
} run_t;

static json_t *
first_manifest (void)
{
  return json_loads ("{\"client_accounts\":{\"east\":{\"key_sha256\":\"" KEY "\"}},"
                     "\"classes\":{\"short\":{}},"
                     "\"services\":{\"pool\":{\"kind\":\"model\",\"engines\":[\"e1\"]}},"
                     "\"routes\":[{\"path\":\"/a\",\"service\":\"pool\",\"class\":\"short\"}]}",
                     0, NULL);
}

static uint32_t
choose (run_t *run, uint32_t count)
{
  return (uint32_t)g_rand_int_range (run->rand, 0, (gint32)count);
}

static void
append (run_t *run, const char *text)
{
  rep_judgement_t judgement;
  uint64_t offset = run->end_offset;
  const man_t *man;

  if (offset == RECORDS_MAX)
    return;
  run->records[offset] = g_strdup (text);
  run->end_offset++;
  judgement = rep_feed (run->truth, offset, text, strlen (text));
  man = rep_manifest (run->truth);
  run->versions[offset] = man != NULL ? man->version : 0;
  run->digests[offset] = g_strdup (man != NULL ? man->digest : "");
  run->accepted += judgement.verdict == REP_ACCEPTED;
  run->stale += judgement.verdict == REP_STALE_BASE;
  run->repeated += judgement.verdict == REP_REPEATED;
}

static void
compose (run_t *run, publisher_t *publisher, uint64_t base)
{
  g_autofree char *id = g_strdup_printf ("p%u", run->ids++);
  json_t *json =
      base == 0 ? first_manifest ()
                : json_pack ("{s{s{si}}}", "services", "pool", "slots", (int)choose (run, 5000));

  publisher->text =
      rep_publish_record (id, base, id, base == 0 ? json : NULL, base == 0 ? NULL : json);
  json_decref (json);
}

/* Takes up the version that some reader holds, then appends once or, its answer lost, twice. */
static void
step_publisher (run_t *run)
{
  publisher_t *publisher = &run->publishers[choose (run, PUBLISHERS)];
  const rep_t *seen = choose (run, 2) != 0 ? run->truth : run->readers[choose (run, READERS)].rep;

  if (publisher->text == NULL)
    {
      if (run->end_offset == 0)
        compose (run, publisher, 0);
      else if (rep_ready (seen))
        compose (run, publisher, rep_manifest (seen)->version);
      else
        compose (run, publisher, choose (run, 8));
      return;
    }
  append (run, publisher->text);
  if (choose (run, 4) != 0)
    g_clear_pointer (&publisher->text, g_free);
}

/* A process takes down a checkpoint; on a later turn, after any pause, it appends it. */
static void
step_checkpoint (run_t *run)
{
  char **paused = &run->paused[choose (run, PAUSED)];
  const rep_t *writer = run->readers[choose (run, READERS)].rep;

  if (*paused == NULL)
    {
      *paused = rep_checkpoint_record (writer);
      return;
    }
  append (run, *paused);
  if (choose (run, 3) != 0)
    g_clear_pointer (paused, g_free);
}

static void
step_truncate (run_t *run)
{
  uint64_t held = run->end_offset - run->first_offset;

  run->first_offset += choose (run, (uint32_t)MIN (held, 8) + 1);
}

static void
check (run_t *run, reader_t *reader)
{
  const man_t *man = rep_manifest (reader->rep);
  uint64_t version = man != NULL ? man->version : 0;
  uint64_t next_offset = rep_next_offset (reader->rep);

  CU_ASSERT_TRUE_FATAL (version >= reader->last_version);
  reader->last_version = version;
  if (!rep_ready (reader->rep))
    return;
  CU_ASSERT_TRUE_FATAL (version >= reader->begun_version);
  CU_ASSERT_EQUAL_FATAL (version, run->versions[next_offset - 1]);
  CU_ASSERT_STRING_EQUAL_FATAL (man->digest, run->digests[next_offset - 1]);
}

/* One read of at most @count records, as a daemon does it. */
static void
read_some (run_t *run, reader_t *reader, uint64_t count)
{
  uint64_t offset;

  if (run->first_offset > rep_next_offset (reader->rep))
    run->gaps++;
  if (!rep_ready (reader->rep) && run->end_offset > 0)
    reader->begun_version = run->versions[run->end_offset - 1];
  rep_begin (reader->rep, run->first_offset);
  rep_note_end (reader->rep, run->end_offset);
  offset = rep_next_offset (reader->rep);
  for (; count > 0 && offset < run->end_offset; count--, offset++)
    {
      rep_judgement_t judgement =
          rep_feed (reader->rep, offset, run->records[offset], strlen (run->records[offset]));

      run->restarted += judgement.verdict == REP_CHECKPOINT_USED;
      check (run, reader);
    }
  check (run, reader);
}

static void
step_replace (run_t *run)
{
  reader_t *reader = &run->readers[choose (run, READERS)];

  rep_free (reader->rep);
  *reader = (reader_t){ .rep = rep_new () };
}

static void
step_adopt (run_t *run)
{
  reader_t *reader = &run->readers[choose (run, READERS)];
  const rep_t *peer = run->readers[choose (run, READERS)].rep;

  if (rep_ready (peer))
    run->adopted += rep_adopt (reader->rep, rep_manifest (peer), rep_next_offset (peer));
  check (run, reader);
}

static void
step (run_t *run)
{
  uint32_t kind = choose (run, 100);

  if (kind < 20)
    step_publisher (run);
  else if (kind < 30)
    step_checkpoint (run);
  else if (kind < 33)
    step_truncate (run);
  else if (kind < 36)
    step_replace (run);
  else if (kind < 40)
    step_adopt (run);
  else
    read_some (run, &run->readers[choose (run, READERS)], 1 + choose (run, 6));
}

/* A last checkpoint of someone who saw everything lets all readers catch up and agree. */
static void
settle (run_t *run)
{
  g_autofree char *checkpoint = rep_checkpoint_record (run->truth);

  CU_ASSERT_PTR_NOT_NULL_FATAL (checkpoint);
  append (run, checkpoint);
  for (uint32_t at = 0; at < READERS; at++)
    {
      reader_t *reader = &run->readers[at];

      read_some (run, reader, RECORDS_MAX);
      read_some (run, reader, RECORDS_MAX);
      CU_ASSERT_TRUE (rep_ready (reader->rep));
      CU_ASSERT_EQUAL (rep_next_offset (reader->rep), run->end_offset);
      CU_ASSERT_STRING_EQUAL (rep_manifest (reader->rep)->digest,
                              rep_manifest (run->truth)->digest);
    }
}

static void
free_run (run_t *run)
{
  for (uint64_t at = 0; at < RECORDS_MAX; at++)
    {
      g_free (run->records[at]);
      g_free (run->digests[at]);
    }
  for (uint32_t at = 0; at < READERS; at++)
    rep_free (run->readers[at].rep);
  for (uint32_t at = 0; at < PUBLISHERS; at++)
    g_free (run->publishers[at].text);
  for (uint32_t at = 0; at < PAUSED; at++)
    g_free (run->paused[at]);
  rep_free (run->truth);
  g_rand_free (run->rand);
  g_free (run);
}

static run_t *
new_run (uint32_t seed)
{
  run_t *run = g_new0 (run_t, 1);

  run->rand = g_rand_new_with_seed (seed);
  run->truth = rep_new ();
  rep_begin (run->truth, 0);
  for (uint32_t at = 0; at < READERS; at++)
    run->readers[at].rep = rep_new ();
  return run;
}

/*
 * Operators race, appends are doubled, daemons are paused with a checkpoint in hand and append it
 * long after, the log drops its oldest records, daemons are replaced and told by peers. Callers
 * must never be served under a version after a later one was: whoever says that it is ready holds
 * what the records up to its offset make, no reader goes back, and one that just began is not
 * ready under a version that was replaced before it began.
 */
static void
test_readers_agree (void)
{
  run_t total = { 0 };

  for (uint32_t seed = 1; seed <= RUNS; seed++)
    {
      run_t *run = new_run (seed);

      for (uint32_t at = 0; at < STEPS && run->end_offset < RECORDS_MAX - 1; at++)
        step (run);
      settle (run);
      total.accepted += run->accepted;
      total.stale += run->stale;
      total.repeated += run->repeated;
      total.restarted += run->restarted;
      total.gaps += run->gaps;
      total.adopted += run->adopted;
      free_run (run);
    }
  printf ("seeds 1..%d: %u accepted, %u lost, %u repeated, %u checkpoints used, %u gaps, %u "
          "adopted ",
          RUNS, total.accepted, total.stale, total.repeated, total.restarted, total.gaps,
          total.adopted);
  CU_ASSERT_TRUE (total.accepted > 0 && total.stale > 0 && total.repeated > 0);
  CU_ASSERT_TRUE (total.restarted > 0 && total.gaps > 0 && total.adopted > 0);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_readers_agree),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("replay property", tests);
}
