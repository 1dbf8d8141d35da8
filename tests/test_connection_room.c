#include "request/policy/queueing/connection_room.h"
#include "suite.h"

#include <glib.h>

#define LIMIT 1800
#define FILES 4100
#define START_US UINT64_C (1000000)
#define TICK_US (UINT64_C (25) * 1000)

static const connection_limits_t limits = { LIMIT, FILES };

static connection_counts_t
idle (uint32_t connections)
{
  return (connection_counts_t){ .connections = connections };
}

static connection_counts_t
streams (uint32_t connections)
{
  return (connection_counts_t){ connections, connections, connections };
}

/* Guards against a server that takes nobody since others keep connections that they don't use. */
static void
test_room_is_kept_for_a_batch (void)
{
  for (uint32_t open = 0; open <= LIMIT; open++)
    {
      connection_counts_t counts = idle (open);
      uint32_t closed = connection_room_to_close (&limits, &counts);

      CU_ASSERT_EQUAL (connection_room_left (&limits, &counts),
                       MIN (LIMIT - open, (FILES - CONNECTION_ROOM_OTHER_FILES - open) / 3));
      counts = idle (open - closed);
      CU_ASSERT (connection_room_left (&limits, &counts) >= CONNECTION_ROOM_BATCH);
      CU_ASSERT (closed <= CONNECTION_ROOM_BATCH);
    }
}

static void
test_small_limits (void)
{
  for (uint32_t limit = 1; limit < 20; limit++)
    {
      connection_limits_t small = { limit, 0 };
      connection_counts_t counts = idle (limit);

      CU_ASSERT_EQUAL (connection_room_left (&small, &counts), 0);
      CU_ASSERT_EQUAL (connection_room_to_close (&small, &counts), 1);
      CU_ASSERT_FALSE (connection_room_is_short (&small, &(connection_counts_t){ 0 }));
    }
}

/* Guards against connections towards upstreams that fail, as clients have all files. */
static void
test_files_bound_streams (void)
{
  uint32_t taken = 0;
  connection_counts_t counts = streams (0);

  while (connection_room_left (&limits, &counts) > 0)
    counts = streams (++taken);
  CU_ASSERT (taken * CONNECTION_ROOM_FILES + CONNECTION_ROOM_OTHER_FILES <= FILES);
  CU_ASSERT (taken > 1100);
  CU_ASSERT (connection_room_is_short (&limits, &counts));
  CU_ASSERT (connection_room_to_close (&limits, &counts) > 0);
}

static void
test_few_files_leave_some (void)
{
  connection_limits_t few = { LIMIT, 100 };

  CU_ASSERT_EQUAL (connection_room_left (&few, &(connection_counts_t){ 0 }), 25);
}

static void
test_short_near_a_limit (void)
{
  connection_counts_t counts = idle (LIMIT * 7 / 8);

  CU_ASSERT_FALSE (connection_room_is_short (&limits, &counts));
  counts.connections++;
  CU_ASSERT_TRUE (connection_room_is_short (&limits, &counts));
}

/* Guards against a server that is ready and takes nobody, as all of its connections are in use. */
static void
test_full_when_all_are_in_use (void)
{
  connection_room_t room = { 0 };
  connection_counts_t counts = { LIMIT, 0, LIMIT };
  uint64_t now_us = START_US;

  for (; now_us < START_US + CONNECTION_ROOM_FULL_US; now_us += TICK_US)
    CU_ASSERT_FALSE (connection_room_review (&room, now_us, &limits, &counts, 7));
  CU_ASSERT_TRUE (connection_room_review (&room, now_us, &limits, &counts, 7));
  CU_ASSERT_TRUE (room.is_full);
  counts.connections = LIMIT - 1;
  CU_ASSERT_FALSE (connection_room_review (&room, now_us, &limits, &counts, 7));
  CU_ASSERT_TRUE (room.is_full);
  counts = idle (LIMIT / 2);
  CU_ASSERT_TRUE (connection_room_review (&room, now_us, &limits, &counts, 7));
  CU_ASSERT_FALSE (room.is_full);
}

static void
test_not_full_while_some_are_taken (void)
{
  connection_room_t room = { 0 };
  connection_counts_t counts = { LIMIT, 0, LIMIT };

  for (uint64_t i = 0; i < 200; i++)
    CU_ASSERT_FALSE (
        connection_room_review (&room, START_US + i * TICK_US, &limits, &counts, i / 20));
}

/* Guards against a server that stays full, as its open files allow less than its other limit. */
static void
test_eases_within_few_files (void)
{
  connection_limits_t few = { 10000, 1024 };
  connection_room_t room = { .is_full = true };
  connection_counts_t counts = idle (0);

  CU_ASSERT_TRUE (connection_room_review (&room, START_US, &few, &counts, 1));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "room is kept for a batch", test_room_is_kept_for_a_batch },
    { "small limits", test_small_limits },
    { "files bound streams", test_files_bound_streams },
    { "few files leave some", test_few_files_leave_some },
    { "short near a limit", test_short_near_a_limit },
    { "full when all are in use", test_full_when_all_are_in_use },
    { "not full while some are taken", test_not_full_while_some_are_taken },
    { "eases within few files", test_eases_within_few_files },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("connection_room", tests);
}
