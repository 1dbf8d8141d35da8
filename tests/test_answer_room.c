#include "request/policy/queueing/answer_room.h"
#include "suite.h"

#define LIMIT_BYTES (UINT64_C (64) * 1024 * 1024)

static void
test_few_answers_have_all (void)
{
  CU_ASSERT_EQUAL (answer_room_bytes (LIMIT_BYTES, 0), ANSWER_ROOM_MOST_BYTES);
  CU_ASSERT_EQUAL (answer_room_bytes (LIMIT_BYTES, 1), ANSWER_ROOM_MOST_BYTES);
  CU_ASSERT_EQUAL (answer_room_bytes (0, 100000), ANSWER_ROOM_MOST_BYTES);
}

/* Guards against answers that nobody reads, which together exceed the memory. */
static void
test_many_answers_share_it (void)
{
  for (uint32_t answers = 256; answers <= 4096; answers++)
    CU_ASSERT (answer_room_bytes (LIMIT_BYTES, answers) * answers <= LIMIT_BYTES);
  CU_ASSERT_EQUAL (answer_room_bytes (LIMIT_BYTES, 100000), ANSWER_ROOM_LEAST_BYTES);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "few answers have all", test_few_answers_have_all },
    { "many answers share it", test_many_answers_share_it },
    CU_TEST_INFO_NULL,
  };

  return suite_run ("answer_room", tests);
}
