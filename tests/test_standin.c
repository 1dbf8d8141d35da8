/**
 * DOC: test_standin
 *
 * The parts of the stand-ins that other tests and benchmarks depend on: prefix cache, batch and
 * record of the engine; log and host list of the platform.
 */
#include "../standin/batch.h"
#include "../standin/cache_events.h"
#include "../standin/run_record.h"
#include "../standin/host_list.h"
#include "../standin/record_log.h"
#include "../standin/prefix_cache.h"
#include "suite.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (batch_t, batch_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (prefix_cache_t, prefix_cache_free)

static void
test_cache_finds_longest_prefix (void)
{
  g_autoptr (prefix_cache_t) cache = prefix_cache_new (1024, NULL, NULL);
  char text[PREFIX_CACHE_BLOCK_BYTES * 3 + 10];
  memset (text, 'a', sizeof text);
  CU_ASSERT_EQUAL (prefix_cache_lookup (cache, text, sizeof text), 0);
  prefix_cache_store (cache, text, sizeof text);
  CU_ASSERT_EQUAL (prefix_cache_cached_tokens (cache), 3 * PREFIX_CACHE_BLOCK_TOKENS);
  CU_ASSERT_EQUAL (prefix_cache_lookup (cache, text, sizeof text), 3 * PREFIX_CACHE_BLOCK_TOKENS);
  text[PREFIX_CACHE_BLOCK_BYTES * 2] = 'b';
  CU_ASSERT_EQUAL (prefix_cache_lookup (cache, text, sizeof text), 2 * PREFIX_CACHE_BLOCK_TOKENS);
  text[0] = 'b';
  CU_ASSERT_EQUAL (prefix_cache_lookup (cache, text, sizeof text), 0);
}

static void
count_evicted (uint64_t block, bool stored, void *context)
{
  uint32_t *evicted = context;
  (void)block;
  *evicted += stored ? 0 : 1;
}

static void
test_cache_evicts_least_recent_and_last_blocks_first (void)
{
  uint32_t evicted = 0;
  g_autoptr (prefix_cache_t) cache =
      prefix_cache_new (4 * PREFIX_CACHE_BLOCK_TOKENS, count_evicted, &evicted);
  char first[PREFIX_CACHE_BLOCK_BYTES * 2];
  char second[PREFIX_CACHE_BLOCK_BYTES * 2];
  char third[PREFIX_CACHE_BLOCK_BYTES];
  memset (first, '1', sizeof first);
  memset (second, '2', sizeof second);
  memset (third, '3', sizeof third);
  prefix_cache_store (cache, first, sizeof first);
  prefix_cache_store (cache, second, sizeof second);
  prefix_cache_lookup (cache, first, sizeof first);
  prefix_cache_store (cache, third, sizeof third);
  CU_ASSERT_EQUAL (evicted, 1);
  CU_ASSERT_EQUAL (prefix_cache_lookup (cache, first, sizeof first), 2 * PREFIX_CACHE_BLOCK_TOKENS);
  CU_ASSERT_EQUAL (prefix_cache_lookup (cache, second, sizeof second), PREFIX_CACHE_BLOCK_TOKENS);
}

typedef struct
{
  batch_job_t job;
  char name;
  uint32_t prompt_tokens;
  uint32_t stop_after_tokens;
} test_job_t;

static void
on_start (batch_job_t *job, void *context)
{
  (void)context;
  job->prefill_tokens = ((test_job_t *)job)->prompt_tokens;
}

static bool
on_token (batch_job_t *job, void *context)
{
  test_job_t *test_job = (test_job_t *)job;
  g_string_append_c (context, test_job->name);
  return test_job->stop_after_tokens == 0 || job->generated_tokens < test_job->stop_after_tokens;
}

static void
on_end (batch_job_t *job, bool completed, void *context)
{
  (void)job;
  g_string_append_c (context, completed ? '.' : '!');
}

static batch_t *
new_batch (uint32_t slots, uint64_t prefill_millitokens_per_step, GString *trace)
{
  batch_options_t options = { .slots = slots,
                              .prefill_millitokens_per_step = prefill_millitokens_per_step,
                              .on_start = on_start,
                              .on_token = on_token,
                              .on_end = on_end,
                              .context = trace };
  return batch_create (&options);
}

static void
test_batch_serves_by_priority_then_arrival (void)
{
  g_autoptr (GString) trace = g_string_new (NULL);
  g_autoptr (batch_t) batch = new_batch (1, 0, trace);
  test_job_t low = { .name = 'l', .job = { .priority = 2, .target_tokens = 1 } };
  test_job_t early = { .name = 'e', .job = { .priority = 1, .target_tokens = 2 } };
  test_job_t later = { .name = 't', .job = { .priority = 1, .target_tokens = 1 } };
  test_job_t removed = { .name = 'g', .job = { .priority = 0, .target_tokens = 1 } };
  batch_add_job (batch, &low.job);
  batch_add_job (batch, &early.job);
  batch_add_job (batch, &later.job);
  batch_add_job (batch, &removed.job);
  batch_remove_job (batch, &removed.job);
  CU_ASSERT_EQUAL (batch_waiting_count (batch), 3);
  for (int i = 0; i < 6; i++)
    batch_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "ee.t.l.");
  CU_ASSERT_EQUAL (batch_running_count (batch) + batch_waiting_count (batch), 0);
}

static void
test_batch_shares_prefill_and_slots (void)
{
  g_autoptr (GString) trace = g_string_new (NULL);
  g_autoptr (batch_t) batch = new_batch (2, 10 * 1000, trace);
  test_job_t one = { .name = '1', .prompt_tokens = 15, .job = { .target_tokens = 2 } };
  test_job_t two = {
    .name = '2', .prompt_tokens = 15, .stop_after_tokens = 1, .job = { .target_tokens = 2 }
  };
  test_job_t three = { .name = '3', .job = { .target_tokens = 1 } };
  batch_add_job (batch, &one.job);
  batch_add_job (batch, &two.job);
  batch_add_job (batch, &three.job);
  batch_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "");
  CU_ASSERT_EQUAL (batch_running_count (batch), 2);
  batch_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "1");
  batch_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "11.2!");
  batch_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "11.2!3.");
}

static void
test_cache_events_are_delayed_and_lost (void)
{
  cache_events_t *events = cache_events_new (1000, 50, 1);
  for (uint64_t i = 0; i < 100; i++)
    cache_events_add (events, 0, i, true);
  json_auto_t *early = cache_events_to_json (events, 999, 0);
  json_auto_t *due = cache_events_to_json (events, 1000, 0);
  size_t published = json_array_size (json_object_get (due, "events"));
  CU_ASSERT_EQUAL (json_array_size (json_object_get (early, "events")), 0);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (due, "next")), 100);
  CU_ASSERT (published > 20 && published < 80);
  cache_events_free (events);
}

static void
test_record_file_has_each_change_immediately (void)
{
  int ends[2];
  char text[1024] = "";
  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  run_record_t *record = run_record_new (ends[1]);
  run_record_run_t run = { .id = "r1", .body_hash = 0xab };
  uint64_t serial = run_record_begin (record, &run);
  CU_ASSERT (read (ends[0], text, sizeof text - 1) > 0);
  CU_ASSERT_STRING_EQUAL (text, "{\"id\":\"r1\",\"account\":null,\"key\":null,"
                                "\"body_hash\":\"00000000000000ab\",\"state\":\"begun\"}\n");
  run_record_end (record, serial, RUN_RECORD_DONE);
  json_t *list = run_record_to_json (record);
  json_t *first = json_array_get (list, 0);
  CU_ASSERT_EQUAL (json_array_size (list), 1);
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (first, "state")), "done");
  json_decref (list);
  run_record_free (record);
  close (ends[0]);
  close (ends[1]);
}

static json_int_t
get_number (const json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}

static void
test_log_keeps_offsets_after_retention (void)
{
  record_log_t *log = record_log_new (3, 1024);
  uint64_t offset;
  for (uint64_t i = 0; i < 5000; i++)
    {
      CU_ASSERT_TRUE (record_log_append (log, "s", "x", 1, &offset));
      CU_ASSERT_EQUAL (offset, i);
    }
  json_t *read = record_log_read (log, "s", 10, 2);
  CU_ASSERT_EQUAL (get_number (read, "first"), 4997);
  CU_ASSERT_EQUAL (get_number (read, "next"), 4999);
  CU_ASSERT_EQUAL (get_number (read, "end"), 5000);
  json_decref (read);
  record_log_truncate (log, "s", 9999);
  read = record_log_read (log, "s", 0, 2);
  CU_ASSERT_EQUAL (get_number (read, "first"), 5000);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (read, "records")), 0);
  json_decref (read);
  record_log_free (log);
}

static json_t *
host_array (const char *name, const char *state)
{
  return json_pack ("[{s:s, s:s, s:s, s:s, s:s, s:s, s:s}]", "name", name, "role", "sidecar",
                    "data_center", "hall", "region", "city", "http", "127.0.0.1:1", "exchange",
                    "127.0.0.1:2", "state", state);
}

static void
check_host_view (host_list_t *list,
                 uint64_t now_us,
                 const char *reader,
                 uint64_t since,
                 json_int_t revision,
                 bool full)
{
  json_auto_t *view = host_list_view (list, now_us, reader, since);
  CU_ASSERT_EQUAL (get_number (view, "revision"), revision);
  CU_ASSERT_EQUAL (json_is_true (json_object_get (view, "full")), full);
}

static void
test_host_list_lags_and_freezes_for_one_reader (void)
{
  host_list_t *list = host_list_new (1000);
  json_auto_t *first = host_array ("a", "live");
  json_auto_t *second = host_array ("b", "live");
  CU_ASSERT_TRUE (host_list_set (list, 0, first, true));
  check_host_view (list, 999, NULL, 0, 0, true);
  check_host_view (list, 1000, NULL, 0, 1, true);
  CU_ASSERT_TRUE (host_list_freeze (list, 1000, "router-1", true));
  CU_ASSERT_TRUE (host_list_set (list, 1000, second, true));
  check_host_view (list, 2000, "router-1", 1, 1, false);
  check_host_view (list, 2000, "router-2", 1, 3, false);
  json_t *view = host_list_view (list, 2000, NULL, 1);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (view, "hosts")), 2);
  json_decref (view);
  CU_ASSERT_TRUE (host_list_freeze (list, 2000, "router-1", false));
  check_host_view (list, 2000, "router-1", 9, 3, true);
  host_list_free (list);
}

/* Guards against a stand-in that keeps what the users' store would lose: tests would pass by it. */
static void
test_log_comes_back_from_its_copy (void)
{
  record_log_t *log = record_log_new (3, 1000);
  uint64_t offset;
  json_t *read;

  record_log_append (log, "s", "0", 1, &offset);
  record_log_append (log, "s", "1", 1, &offset);
  record_log_copy (log);
  record_log_append (log, "s", "2", 1, &offset);
  record_log_append (log, "new", "x", 1, &offset);
  record_log_restore (log);
  CU_ASSERT_EQUAL (record_log_end_offset (log, "s"), 2);
  CU_ASSERT_EQUAL (record_log_end_offset (log, "new"), 0);
  record_log_append (log, "s", "2 again", 7, &offset);
  CU_ASSERT_EQUAL (offset, 2);
  read = record_log_read (log, "s", 1, 10);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (read, "records")), 2);
  json_decref (read);
  for (uint32_t i = 0; i < 5; i++)
    record_log_append (log, "s", "y", 1, &offset);
  record_log_restore (log);
  CU_ASSERT_EQUAL (record_log_end_offset (log, "s"), 2);
  read = record_log_read (log, "s", 0, 10);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (read, "first")), 2);
  json_decref (read);
  record_log_free (log);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "cache finds the longest prefix", test_cache_finds_longest_prefix },
    { "cache evicts the least recent, last blocks first",
      test_cache_evicts_least_recent_and_last_blocks_first },
    { "batch serves by priority, then arrival", test_batch_serves_by_priority_then_arrival },
    { "batch shares prefill and slots", test_batch_shares_prefill_and_slots },
    { "cache events are delayed and lost", test_cache_events_are_delayed_and_lost },
    { "record file has each change immediately", test_record_file_has_each_change_immediately },
    { "log keeps offsets after retention", test_log_keeps_offsets_after_retention },
    { "host list lags and freezes for one reader", test_host_list_lags_and_freezes_for_one_reader },
    SUITE_TEST (test_log_comes_back_from_its_copy),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("standin", tests);
}
