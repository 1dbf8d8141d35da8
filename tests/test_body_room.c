#include "request/policy/queueing/body_room.h"
#include "suite.h"

#include <glib.h>

#define LIMIT_BYTES (UINT64_C (1000) * 1000)
#define BODY_BYTES (UINT64_C (40) * 1000)
#define BODIES 100
#define READ_BYTES 4000

/* Return: the number of bodies that are read on */
static uint32_t
review (bool *may_read, const uint64_t *held_bytes, uint64_t whole_bytes)
{
  uint64_t sum_bytes = whole_bytes;
  uint32_t count = 0;
  body_room_t room;

  for (uint32_t i = 0; i < BODIES; i++)
    sum_bytes += held_bytes[i];
  body_room_init (&room, LIMIT_BYTES, sum_bytes, whole_bytes);
  for (uint32_t i = 0; i < BODIES; i++)
    {
      may_read[i] =
          held_bytes[i] < BODY_BYTES && body_room_may_read (&room, BODY_BYTES, held_bytes[i]);
      count += may_read[i];
    }
  return count;
}

/* Guards against bodies that take more than the memory, and against all of them waiting for room
 * that none of them gets. */
static void
test_bodies_become_whole_within_the_limit (void)
{
  uint64_t held_bytes[BODIES] = { 0 };
  bool may_read[BODIES];
  uint64_t most_bytes = 0;
  uint32_t whole = 0;

  while (review (may_read, held_bytes, 0) > 0)
    {
      uint64_t sum_bytes = 0;

      for (uint32_t i = 0; i < BODIES; i++)
        held_bytes[i] += may_read[i] ? MIN (READ_BYTES, BODY_BYTES - held_bytes[i]) : 0;
      for (uint32_t i = 0; i < BODIES; i++)
        sum_bytes += held_bytes[i];
      most_bytes = MAX (most_bytes, sum_bytes);
      if (sum_bytes < LIMIT_BYTES * 3 / 4)
        continue;
      for (uint32_t i = 0; i < BODIES; i++)
        whole += held_bytes[i] == BODY_BYTES;
      CU_ASSERT_FATAL (whole > 0 || sum_bytes <= LIMIT_BYTES);
      if (whole > 0)
        break;
    }
  CU_ASSERT (whole > 0);
  CU_ASSERT (most_bytes <= LIMIT_BYTES);
}

static void
test_all_are_read_while_there_is_room (void)
{
  uint64_t held_bytes[BODIES] = { 0 };
  bool may_read[BODIES];

  CU_ASSERT_EQUAL (review (may_read, held_bytes, LIMIT_BYTES * 3 / 4), BODIES);
}

static void
test_the_first_is_read_beyond_the_limit (void)
{
  uint64_t held_bytes[BODIES] = { 0 };
  bool may_read[BODIES];

  for (uint32_t i = 0; i < BODIES; i++)
    held_bytes[i] = BODY_BYTES / 2;
  CU_ASSERT_EQUAL (review (may_read, held_bytes, 0), 1);
  CU_ASSERT_TRUE (may_read[0]);
  CU_ASSERT_EQUAL (review (may_read, held_bytes, BODY_BYTES - 1), 1);
}

/* Guards against whole bodies that take more than the memory, one after the other. */
static void
test_whole_bodies_make_the_first_wait (void)
{
  uint64_t held_bytes[BODIES] = { 0 };
  bool may_read[BODIES];

  CU_ASSERT_EQUAL (review (may_read, held_bytes, LIMIT_BYTES), 0);
}

/* Guards against a long body that waits forever, as shorter ones that began later take its room. */
static void
test_none_overtakes_one_that_waits (void)
{
  body_room_t room;

  body_room_init (&room, LIMIT_BYTES, LIMIT_BYTES - 100000, LIMIT_BYTES / 2);
  CU_ASSERT_TRUE (body_room_may_read (&room, 50000, 0));
  CU_ASSERT_FALSE (body_room_may_read (&room, 80000, 0));
  CU_ASSERT_FALSE (body_room_may_read (&room, 30000, 0));
}

/* Guards against usual requests that are held up by long ones. */
static void
test_short_ones_never_wait (void)
{
  body_room_t room;

  body_room_init (&room, LIMIT_BYTES, LIMIT_BYTES * 2, 0);
  CU_ASSERT_TRUE (body_room_may_read (&room, BODY_ROOM_SMALL_BYTES, 0));
  CU_ASSERT_TRUE (body_room_may_read (&room, 50000, 0));
  CU_ASSERT_TRUE (body_room_may_read (&room, BODY_ROOM_SMALL_BYTES, 0));
  CU_ASSERT_FALSE (body_room_may_read (&room, BODY_ROOM_SMALL_BYTES + 1, 0));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "bodies become whole within the limit", test_bodies_become_whole_within_the_limit },
    { "all are read while there is room", test_all_are_read_while_there_is_room },
    { "the first is read beyond the limit", test_the_first_is_read_beyond_the_limit },
    { "whole bodies make the first wait", test_whole_bodies_make_the_first_wait },
    { "none overtakes one that waits", test_none_overtakes_one_that_waits },
    { "short ones never wait", test_short_ones_never_wait },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("body_room", tests);
}
