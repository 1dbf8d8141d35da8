#include "request/policy/placement/chat_directory.h"
#include "request/policy/suspects/suspect.h"
#include "suite.h"

#include <glib.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (chat_directory_t, chat_directory_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (suspects_t, suspect_free)

#define LIFETIME_US 1000000

static void
test_two_crashes_are_final (void)
{
  g_autoptr (suspects_t) suspects = suspect_new (8, LIFETIME_US);
  CU_ASSERT_EQUAL (suspect_check (suspects, 1, 7, 100), SUSPECT_ALLOWED);
  CU_ASSERT (suspect_add_crash (suspects, 1, 7, 100));
  CU_ASSERT (!suspect_add_crash (suspects, 2, 7, 100));
  CU_ASSERT_EQUAL (suspect_check (suspects, 2, 7, 100), SUSPECT_OTHER_ENGINE);
  CU_ASSERT_EQUAL (suspect_check (suspects, 2, 7, 200), SUSPECT_ALLOWED);
  CU_ASSERT (suspect_add_crash (suspects, 3, 7, 200));
  CU_ASSERT_EQUAL (suspect_check (suspects, 3, 7, 100), SUSPECT_REFUSED);
  CU_ASSERT_EQUAL (suspect_check (suspects, 3, 7, 300), SUSPECT_REFUSED);
  CU_ASSERT_EQUAL (suspect_check (suspects, 3, 8, 100), SUSPECT_ALLOWED);
}

/* One sidecar saw engine 100 crash, the other one engine 200. After an exchange of their marks both
 * must refuse the request, whichever router it is sent through. */
static void
test_marks_merge (void)
{
  g_autoptr (suspects_t) one = suspect_new (8, LIFETIME_US);
  g_autoptr (suspects_t) two = suspect_new (8, LIFETIME_US);
  suspect_mark_t mark;
  suspect_add_crash (one, 10000, 7, 100);
  suspect_add_crash (two, 50000, 7, 200);
  CU_ASSERT_FATAL (suspect_get_mark (two, 60000, 7, &mark));
  CU_ASSERT_EQUAL (mark.age_ms, 10);
  CU_ASSERT (suspect_merge_mark (one, 60000, &mark));
  CU_ASSERT (!suspect_merge_mark (one, 60000, &mark));
  CU_ASSERT_EQUAL (suspect_check (one, 60000, 7, 300), SUSPECT_REFUSED);
  CU_ASSERT_FATAL (suspect_get_mark (one, 60000, 7, &mark));
  CU_ASSERT (suspect_merge_mark (two, 60000, &mark));
  CU_ASSERT_EQUAL (suspect_check (two, 60000, 7, 300), SUSPECT_REFUSED);
}

static void
test_marks_expire (void)
{
  g_autoptr (suspects_t) suspects = suspect_new (8, LIFETIME_US);
  suspect_mark_t mark;
  suspect_add_crash (suspects, 1000, 7, 100);
  CU_ASSERT_EQUAL (suspect_check (suspects, 1000 + LIFETIME_US, 7, 100), SUSPECT_OTHER_ENGINE);
  CU_ASSERT_EQUAL (suspect_check (suspects, 1001 + LIFETIME_US, 7, 100), SUSPECT_ALLOWED);
  CU_ASSERT (!suspect_get_mark (suspects, 1001 + LIFETIME_US, 7, &mark));
  CU_ASSERT_EQUAL (suspect_recent_marks (suspects, 1001 + LIFETIME_US, &mark, 1), 0);
  mark = (suspect_mark_t){ .fingerprint = 9, .engines = { 1 }, .age_ms = LIFETIME_US / 1000 + 1 };
  CU_ASSERT (!suspect_merge_mark (suspects, 10 * LIFETIME_US, &mark));
  CU_ASSERT_EQUAL (suspect_check (suspects, 10 * LIFETIME_US, 9, 1), SUSPECT_ALLOWED);
}

/* Two daemons send each other the same mark again and again. It must still expire, or a request
 * that crashed engines would be refused until every daemon has been restarted. */
static void
test_exchanged_marks_still_expire (void)
{
  g_autoptr (suspects_t) one = suspect_new (8, LIFETIME_US);
  g_autoptr (suspects_t) two = suspect_new (8, LIFETIME_US);
  suspect_mark_t mark;
  suspect_add_crash (one, 999, 7, 100);
  uint64_t now_us = 1999;
  for (; now_us < 4 * LIFETIME_US; now_us += 777)
    {
      if (suspect_recent_marks (one, now_us, &mark, 1) == 1)
        suspect_merge_mark (two, now_us, &mark);
      if (suspect_recent_marks (two, now_us, &mark, 1) == 1)
        suspect_merge_mark (one, now_us, &mark);
    }
  CU_ASSERT_EQUAL (suspect_check (one, now_us, 7, 100), SUSPECT_ALLOWED);
  CU_ASSERT_EQUAL (suspect_check (two, now_us, 7, 100), SUSPECT_ALLOWED);
}

/* Guards against a harmless request that one gateway refuses to everyone. Many clients send the
 * same status check, and two engines crash during it for other reasons. A gateway that has just
 * started must learn from its peers that they serve the request. */
static void
test_served_request_is_cleared_at_peers (void)
{
  g_autoptr (suspects_t) started = suspect_new (8, LIFETIME_US);
  suspect_mark_t crashes = { .fingerprint = 7, .engines = { 100, 200 } };
  suspect_mark_t served = { .fingerprint = 7 };

  CU_ASSERT (suspect_merge_mark (started, 10, &crashes));
  CU_ASSERT_EQUAL (suspect_check (started, 10, 7, 300), SUSPECT_REFUSED);
  CU_ASSERT (suspect_merge_mark (started, 20, &served));
  CU_ASSERT_EQUAL (suspect_check (started, 20, 7, 300), SUSPECT_ALLOWED);
  CU_ASSERT (!suspect_merge_mark (started, 30, &served));
  CU_ASSERT_EQUAL (suspect_count (started), 0);
}

/* Guards against a crash that is forgotten because an earlier message, that the request was served,
 * arrives after its mark. */
static void
test_late_clearing_mark_keeps_later_crash (void)
{
  g_autoptr (suspects_t) suspects = suspect_new (8, LIFETIME_US);
  suspect_mark_t served = { .fingerprint = 7, .age_ms = 20 };

  CU_ASSERT (suspect_add_crash (suspects, 50000, 7, 100));
  CU_ASSERT (!suspect_merge_mark (suspects, 60000, &served));
  CU_ASSERT_EQUAL (suspect_check (suspects, 60000, 7, 100), SUSPECT_OTHER_ENGINE);
}

static void
test_limit_drops_the_oldest (void)
{
  g_autoptr (suspects_t) suspects = suspect_new (4, LIFETIME_US);
  suspect_mark_t marks[8];
  for (uint64_t i = 1; i <= 6; i++)
    suspect_add_crash (suspects, i, i, 100);
  CU_ASSERT_EQUAL (suspect_recent_marks (suspects, 6, marks, 8), 4);
  CU_ASSERT_EQUAL (marks[0].fingerprint, 6);
  CU_ASSERT_EQUAL (marks[3].fingerprint, 3);
  CU_ASSERT_EQUAL (suspect_check (suspects, 6, 1, 100), SUSPECT_ALLOWED);
}

static void
test_directory_keeps_and_forgets (void)
{
  g_autoptr (chat_directory_t) chats = chat_directory_new (64);
  chat_directory_entry_t entry;
  chat_directory_put (chats, 10, 7, 100);
  chat_directory_put (chats, 20, 7, 200);
  CU_ASSERT_EQUAL (chat_directory_count (chats), 1);
  CU_ASSERT (chat_directory_get (chats, 30, UINT64_MAX, 7,
                                 &entry)); /* an infinite lifetime does not overflow */
  CU_ASSERT_FATAL (chat_directory_get (chats, 30, 10, 7, &entry));
  CU_ASSERT_EQUAL (entry.engine_hash, 200);
  CU_ASSERT (!chat_directory_get (chats, 31, 10, 7, &entry));
  chat_directory_forget (chats, 7);
  chat_directory_forget (chats, 7);
  CU_ASSERT (!chat_directory_get (chats, 20, 10, 7, &entry));
  CU_ASSERT_EQUAL (chat_directory_count (chats), 0);
}

static void
count_entry (const chat_directory_entry_t *entry, void *context)
{
  CU_ASSERT_NOT_EQUAL (entry->chat_hash, 0);
  (*(uint32_t *)context)++;
}

static void
test_directory_is_bounded (void)
{
  g_autoptr (chat_directory_t) chats = chat_directory_new (64);
  chat_directory_entry_t entry;
  uint32_t visited = 0;
  for (uint64_t i = 1; i <= 1000; i++)
    chat_directory_put (chats, i, i * 0x9e3779b97f4a7c15ULL, 100);
  CU_ASSERT (chat_directory_count (chats) <= 64);
  CU_ASSERT (chat_directory_get (chats, 1000, 1000, 1000 * 0x9e3779b97f4a7c15ULL, &entry));
  CU_ASSERT (!chat_directory_get (chats, 1000, 1000, 0x9e3779b97f4a7c15ULL, &entry));
  chat_directory_for_each (chats, count_entry, &visited);
  CU_ASSERT_EQUAL (visited, chat_directory_count (chats));
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
    { "a late clearing mark keeps a later crash", test_late_clearing_mark_keeps_later_crash },
    { "the limit drops the oldest", test_limit_drops_the_oldest },
    { "directory keeps and forgets", test_directory_keeps_and_forgets },
    { "directory is bounded", test_directory_is_bounded },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("suspect", tests);
}
