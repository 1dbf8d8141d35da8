#include "version/replay.h"
#include "suite.h"

#include <stdio.h>
#include <string.h>

#define KEY "08a6bd4bf2a6c5b8e6b2a0a8f7a4a7b7fb0ee6d29a4a7fcc1c6e0b7b1a2f3c4d"
#define RECORDS_MAX 400
#define READERS 4
#define PUBLISHERS 3
#define PAUSED 3
#define STEPS_MAX 1200
#define RUNS 40

/* struct publisher - @text: pending publish, based on the version that its operator saw; NULL if
 * none */
typedef struct
{
  char *text;
} publisher_t;

/* struct reader - @start_version: version in force at the end of the log when a read last began
 * while the reader was not ready */
typedef struct
{
  replay_t *replay;
  uint64_t start_version;
  uint64_t last_version;
} reader_t;

/*
 * @reference: a replay that processes each record when it is appended
 * @versions, @digests: version in force after each record, and its digest
 * @paused: checkpoints that were formatted but not appended yet
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
  replay_t *reference;
  reader_t readers[READERS];
  publisher_t publishers[PUBLISHERS];
  char *paused[PAUSED];
  uint32_t accepted;
  uint32_t stale;
  uint32_t repeated;
  uint32_t checkpoints_used;
  uint32_t gaps;
  uint32_t adopted;
} run_t;

/* A position in a log that never came back from a copy. */
static position_t
at (uint64_t offset)
{
  return (position_t){ .offset = offset };
}

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
  replay_result_t result;
  uint64_t offset = run->end_offset;
  const manifest_t *manifest;

  if (offset == RECORDS_MAX)
    return;
  run->records[offset] = g_strdup (text);
  run->end_offset++;
  result = replay_apply (run->reference, at (offset), text, strlen (text));
  manifest = replay_manifest (run->reference);
  run->versions[offset] = manifest != NULL ? manifest->version : 0;
  run->digests[offset] = g_strdup (manifest != NULL ? manifest->digest : "");
  run->accepted += result.verdict == REPLAY_ACCEPTED;
  run->stale += result.verdict == REPLAY_STALE_BASE;
  run->repeated += result.verdict == REPLAY_REPEATED;
}

static void
format_publish (run_t *run, publisher_t *publisher, uint64_t base)
{
  g_autofree char *id = g_strdup_printf ("p%u", run->ids++);
  json_t *json =
      base == 0 ? first_manifest ()
                : json_pack ("{s{s{si}}}", "services", "pool", "slots", (int)choose (run, 5000));

  publisher->text =
      replay_format_publish (id, base, id, base == 0 ? json : NULL, base == 0 ? NULL : json);
  json_decref (json);
}

/* Formats a publish based on the version of some reader; a later step appends it, sometimes more
 * than once, as after a lost response. */
static void
step_publisher (run_t *run)
{
  publisher_t *publisher = &run->publishers[choose (run, PUBLISHERS)];
  const replay_t *seen =
      choose (run, 2) != 0 ? run->reference : run->readers[choose (run, READERS)].replay;

  if (publisher->text == NULL)
    {
      if (run->end_offset == 0)
        format_publish (run, publisher, 0);
      else if (replay_is_ready (seen))
        format_publish (run, publisher, replay_manifest (seen)->version);
      else
        format_publish (run, publisher, choose (run, 8));
      return;
    }
  append (run, publisher->text);
  if (choose (run, 4) != 0)
    g_clear_pointer (&publisher->text, g_free);
}

/* Formats a checkpoint; a later step appends it, sometimes more than once. */
static void
step_checkpoint (run_t *run)
{
  char **paused = &run->paused[choose (run, PAUSED)];
  const replay_t *writer = run->readers[choose (run, READERS)].replay;

  if (*paused == NULL)
    {
      *paused = replay_format_checkpoint (writer);
      return;
    }
  append (run, *paused);
  if (choose (run, 3) != 0)
    g_clear_pointer (paused, g_free);
}

static void
step_truncate (run_t *run)
{
  uint64_t retained = run->end_offset - run->first_offset;

  run->first_offset += choose (run, (uint32_t)MIN (retained, 8) + 1);
}

static void
check_reader (run_t *run, reader_t *reader)
{
  const manifest_t *manifest = replay_manifest (reader->replay);
  uint64_t version = manifest != NULL ? manifest->version : 0;
  uint64_t next_offset = replay_next (reader->replay).offset;

  CU_ASSERT_TRUE_FATAL (version >= reader->last_version);
  reader->last_version = version;
  if (!replay_is_ready (reader->replay))
    return;
  CU_ASSERT_TRUE_FATAL (version >= reader->start_version);
  CU_ASSERT_EQUAL_FATAL (version, run->versions[next_offset - 1]);
  CU_ASSERT_STRING_EQUAL_FATAL (manifest->digest, run->digests[next_offset - 1]);
}

/* Reads at most @count records like a daemon. */
static void
read_some (run_t *run, reader_t *reader, uint64_t count)
{
  uint64_t offset;

  if (run->first_offset > replay_next (reader->replay).offset)
    run->gaps++;
  if (!replay_is_ready (reader->replay) && run->end_offset > 0)
    reader->start_version = run->versions[run->end_offset - 1];
  replay_set_first (reader->replay, at (run->first_offset));
  replay_set_end (reader->replay, at (run->end_offset));
  offset = replay_next (reader->replay).offset;
  for (; count > 0 && offset < run->end_offset; count--, offset++)
    {
      replay_result_t result = replay_apply (reader->replay, at (offset), run->records[offset],
                                             strlen (run->records[offset]));

      run->checkpoints_used += result.verdict == REPLAY_CHECKPOINT_USED;
      check_reader (run, reader);
    }
  check_reader (run, reader);
}

static void
step_restart_reader (run_t *run)
{
  reader_t *reader = &run->readers[choose (run, READERS)];

  replay_free (reader->replay);
  *reader = (reader_t){ .replay = replay_new () };
}

static void
step_adopt (run_t *run)
{
  reader_t *reader = &run->readers[choose (run, READERS)];
  const replay_t *peer = run->readers[choose (run, READERS)].replay;

  if (replay_is_ready (peer))
    run->adopted += replay_adopt (reader->replay, replay_manifest (peer), replay_next (peer));
  check_reader (run, reader);
}

static void
step (run_t *run)
{
  uint32_t action = choose (run, 100);

  if (action < 20)
    step_publisher (run);
  else if (action < 30)
    step_checkpoint (run);
  else if (action < 33)
    step_truncate (run);
  else if (action < 36)
    step_restart_reader (run);
  else if (action < 40)
    step_adopt (run);
  else
    read_some (run, &run->readers[choose (run, READERS)], 1 + choose (run, 6));
}

/* Appends a checkpoint of the complete state, after which all readers must catch up and agree. */
static void
check_convergence (run_t *run)
{
  g_autofree char *checkpoint = replay_format_checkpoint (run->reference);

  CU_ASSERT_PTR_NOT_NULL_FATAL (checkpoint);
  append (run, checkpoint);
  for (uint32_t i = 0; i < READERS; i++)
    {
      reader_t *reader = &run->readers[i];

      read_some (run, reader, RECORDS_MAX);
      read_some (run, reader, RECORDS_MAX);
      CU_ASSERT_TRUE (replay_is_ready (reader->replay));
      CU_ASSERT (position_equal (replay_next (reader->replay), at (run->end_offset)));
      CU_ASSERT_STRING_EQUAL (replay_manifest (reader->replay)->digest,
                              replay_manifest (run->reference)->digest);
    }
}

static void
free_run (run_t *run)
{
  for (uint64_t i = 0; i < RECORDS_MAX; i++)
    {
      g_free (run->records[i]);
      g_free (run->digests[i]);
    }
  for (uint32_t i = 0; i < READERS; i++)
    replay_free (run->readers[i].replay);
  for (uint32_t i = 0; i < PUBLISHERS; i++)
    g_free (run->publishers[i].text);
  for (uint32_t i = 0; i < PAUSED; i++)
    g_free (run->paused[i]);
  replay_free (run->reference);
  g_rand_free (run->rand);
  g_free (run);
}

static run_t *
new_run (uint32_t seed)
{
  run_t *run = g_new0 (run_t, 1);

  run->rand = g_rand_new_with_seed (seed);
  run->reference = replay_new ();
  replay_set_first (run->reference, at (0));
  for (uint32_t i = 0; i < READERS; i++)
    run->readers[i].replay = replay_new ();
  return run;
}

/*
 * Random runs with concurrent publishes, duplicate appends, checkpoints that are appended late, a
 * log that drops its oldest records, and daemons that are replaced or adopt the state of a peer.
 * Guards against serving with an outdated version: a reader that is ready must hold exactly the
 * version that the records before its offset produce, its version must never decrease, and a
 * reader must not become ready with a version that was replaced before it began to read.
 */
static void
test_readers_agree (void)
{
  run_t total = { 0 };

  for (uint32_t seed = 1; seed <= RUNS; seed++)
    {
      run_t *run = new_run (seed);

      for (uint32_t i = 0; i < STEPS_MAX && run->end_offset < RECORDS_MAX - 1; i++)
        step (run);
      check_convergence (run);
      total.accepted += run->accepted;
      total.stale += run->stale;
      total.repeated += run->repeated;
      total.checkpoints_used += run->checkpoints_used;
      total.gaps += run->gaps;
      total.adopted += run->adopted;
      free_run (run);
    }
  printf ("seeds 1..%d: %u accepted, %u stale, %u repeated, %u checkpoints used, %u gaps, %u "
          "adopted ",
          RUNS, total.accepted, total.stale, total.repeated, total.checkpoints_used, total.gaps,
          total.adopted);
  CU_ASSERT_TRUE (total.accepted > 0 && total.stale > 0 && total.repeated > 0);
  CU_ASSERT_TRUE (total.checkpoints_used > 0 && total.gaps > 0 && total.adopted > 0);
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
