#include "request/policy/directory.h"
#include "request/policy/suspect.h"
#include "suite.h"

#include <glib.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (dir_t, dir_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (sus_t, sus_free)

#define LIFETIME_US 1000000

static void
test_two_crashes_are_final (void)
{
  g_autoptr (sus_t) sus = sus_new (8, LIFETIME_US);
  CU_ASSERT_EQUAL (sus_check (sus, 1, 7, 100), SUS_CLEAR);
  CU_ASSERT (sus_add (sus, 1, 7, 100));
  CU_ASSERT (!sus_add (sus, 2, 7, 100));
  CU_ASSERT_EQUAL (sus_check (sus, 2, 7, 100), SUS_NOT_HERE);
  CU_ASSERT_EQUAL (sus_check (sus, 2, 7, 200), SUS_CLEAR);
  CU_ASSERT (sus_add (sus, 3, 7, 200));
  CU_ASSERT_EQUAL (sus_check (sus, 3, 7, 100), SUS_FINAL);
  CU_ASSERT_EQUAL (sus_check (sus, 3, 7, 300), SUS_FINAL);
  CU_ASSERT_EQUAL (sus_check (sus, 3, 8, 100), SUS_CLEAR);
}

/* One sidecar saw engine 100 crash, the other one engine 200. After an exchange of their marks both
 * must refuse the request, whichever router it is sent through. */
static void
test_marks_merge (void)
{
  g_autoptr (sus_t) one = sus_new (8, LIFETIME_US);
  g_autoptr (sus_t) two = sus_new (8, LIFETIME_US);
  sus_mark_t mark;
  sus_add (one, 10000, 7, 100);
  sus_add (two, 50000, 7, 200);
  CU_ASSERT_FATAL (sus_get (two, 60000, 7, &mark));
  CU_ASSERT_EQUAL (mark.age_ms, 10);
  CU_ASSERT (sus_merge (one, 60000, &mark));
  CU_ASSERT (!sus_merge (one, 60000, &mark));
  CU_ASSERT_EQUAL (sus_check (one, 60000, 7, 300), SUS_FINAL);
  CU_ASSERT_FATAL (sus_get (one, 60000, 7, &mark));
  CU_ASSERT (sus_merge (two, 60000, &mark));
  CU_ASSERT_EQUAL (sus_check (two, 60000, 7, 300), SUS_FINAL);
}

static void
test_marks_expire (void)
{
  g_autoptr (sus_t) sus = sus_new (8, LIFETIME_US);
  sus_mark_t mark;
  sus_add (sus, 1000, 7, 100);
  CU_ASSERT_EQUAL (sus_check (sus, 1000 + LIFETIME_US, 7, 100), SUS_NOT_HERE);
  CU_ASSERT_EQUAL (sus_check (sus, 1001 + LIFETIME_US, 7, 100), SUS_CLEAR);
  CU_ASSERT (!sus_get (sus, 1001 + LIFETIME_US, 7, &mark));
  CU_ASSERT_EQUAL (sus_recent (sus, 1001 + LIFETIME_US, &mark, 1), 0);
  mark = (sus_mark_t){ .fingerprint = 9, .engines = { 1 }, .age_ms = LIFETIME_US / 1000 + 1 };
  CU_ASSERT (!sus_merge (sus, 10 * LIFETIME_US, &mark));
  CU_ASSERT_EQUAL (sus_check (sus, 10 * LIFETIME_US, 9, 1), SUS_CLEAR);
}

/* Two daemons send each other the same mark again and again. It must still expire, or a request
 * that crashed engines would be refused until every daemon has been restarted. */
static void
test_exchanged_marks_still_expire (void)
{
  g_autoptr (sus_t) one = sus_new (8, LIFETIME_US);
  g_autoptr (sus_t) two = sus_new (8, LIFETIME_US);
  sus_mark_t mark;
  sus_add (one, 999, 7, 100);
  uint64_t now_us = 1999;
  for (; now_us < 4 * LIFETIME_US; now_us += 777)
    {
      if (sus_recent (one, now_us, &mark, 1) == 1)
        sus_merge (two, now_us, &mark);
      if (sus_recent (two, now_us, &mark, 1) == 1)
        sus_merge (one, now_us, &mark);
    }
  CU_ASSERT_EQUAL (sus_check (one, now_us, 7, 100), SUS_CLEAR);
  CU_ASSERT_EQUAL (sus_check (two, now_us, 7, 100), SUS_CLEAR);
}

/* Guards against a harmless request that one gateway refuses to everyone. Many clients send the
 * same status check, and two engines crash during it for other reasons. A gateway that has just
 * started must learn from its peers that they serve the request. */
static void
test_served_request_is_cleared_at_peers (void)
{
  g_autoptr (sus_t) started = sus_new (8, LIFETIME_US);
  sus_mark_t crashes = { .fingerprint = 7, .engines = { 100, 200 } };
  sus_mark_t served = { .fingerprint = 7 };

  CU_ASSERT (sus_merge (started, 10, &crashes));
  CU_ASSERT_EQUAL (sus_check (started, 10, 7, 300), SUS_FINAL);
  CU_ASSERT (sus_merge (started, 20, &served));
  CU_ASSERT_EQUAL (sus_check (started, 20, 7, 300), SUS_CLEAR);
  CU_ASSERT (!sus_merge (started, 30, &served));
  CU_ASSERT_EQUAL (sus_count (started), 0);
}

static void
test_limit_drops_the_oldest (void)
{
  g_autoptr (sus_t) sus = sus_new (4, LIFETIME_US);
  sus_mark_t marks[8];
  for (uint64_t i = 1; i <= 6; i++)
    sus_add (sus, i, i, 100);
  CU_ASSERT_EQUAL (sus_recent (sus, 6, marks, 8), 4);
  CU_ASSERT_EQUAL (marks[0].fingerprint, 6);
  CU_ASSERT_EQUAL (marks[3].fingerprint, 3);
  CU_ASSERT_EQUAL (sus_check (sus, 6, 1, 100), SUS_CLEAR);
}

static void
test_directory_keeps_and_forgets (void)
{
  g_autoptr (dir_t) chats = dir_new (64);
  dir_entry_t entry;
  dir_put (chats, 10, 7, 100);
  dir_put (chats, 20, 7, 200);
  CU_ASSERT_EQUAL (dir_count (chats), 1);
  CU_ASSERT (
      dir_get (chats, 30, UINT64_MAX, 7, &entry)); /* an infinite lifetime does not overflow */
  CU_ASSERT_FATAL (dir_get (chats, 30, 10, 7, &entry));
  CU_ASSERT_EQUAL (entry.engine_hash, 200);
  CU_ASSERT (!dir_get (chats, 31, 10, 7, &entry));
  dir_forget (chats, 7);
  dir_forget (chats, 7);
  CU_ASSERT (!dir_get (chats, 20, 10, 7, &entry));
  CU_ASSERT_EQUAL (dir_count (chats), 0);
}

static void
count_entry (const dir_entry_t *entry, void *context)
{
  CU_ASSERT_NOT_EQUAL (entry->chat_hash, 0);
  (*(uint32_t *)context)++;
}

static void
test_directory_is_bounded (void)
{
  g_autoptr (dir_t) chats = dir_new (64);
  dir_entry_t entry;
  uint32_t visited = 0;
  for (uint64_t i = 1; i <= 1000; i++)
    dir_put (chats, i, i * 0x9e3779b97f4a7c15ULL, 100);
  CU_ASSERT (dir_count (chats) <= 64);
  CU_ASSERT (dir_get (chats, 1000, 1000, 1000 * 0x9e3779b97f4a7c15ULL, &entry));
  CU_ASSERT (!dir_get (chats, 1000, 1000, 0x9e3779b97f4a7c15ULL, &entry));
  dir_each (chats, count_entry, &visited);
  CU_ASSERT_EQUAL (visited, dir_count (chats));
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "two crashes are final", test_two_crashes_are_final },
    { "marks merge", test_marks_merge },
    { "marks expire", test_marks_expire },
    { "exchanged marks still expire", test_exchanged_marks_still_expire },
    { "a served request is cleared at peers", test_served_request_is_cleared_at_peers },
    { "the limit drops the oldest", test_limit_drops_the_oldest },
    { "directory keeps and forgets", test_directory_keeps_and_forgets },
    { "directory is bounded", test_directory_is_bounded },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("suspect", tests);
}
