/**
 * DOC: test_standin
 *
 * The parts of the stand-ins that other tests and benchmarks depend on: prefix cache, batch and
 * record of the engine; log and host list of the platform.
 */
#include "../standin/batch.h"
#include "../standin/cache_events.h"
#include "../standin/engine_record.h"
#include "../standin/platform_hosts.h"
#include "../standin/platform_log.h"
#include "../standin/prefix_cache.h"
#include "suite.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (bat_t, bat_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (pfx_t, pfx_free)

static void
test_cache_finds_longest_prefix (void)
{
  g_autoptr (pfx_t) cache = pfx_new (1024, NULL, NULL);
  char text[PFX_BLOCK_BYTES * 3 + 10];
  memset (text, 'a', sizeof text);
  CU_ASSERT_EQUAL (pfx_lookup (cache, text, sizeof text), 0);
  pfx_store (cache, text, sizeof text);
  CU_ASSERT_EQUAL (pfx_cached_tokens (cache), 3 * PFX_BLOCK_TOKENS);
  CU_ASSERT_EQUAL (pfx_lookup (cache, text, sizeof text), 3 * PFX_BLOCK_TOKENS);
  text[PFX_BLOCK_BYTES * 2] = 'b';
  CU_ASSERT_EQUAL (pfx_lookup (cache, text, sizeof text), 2 * PFX_BLOCK_TOKENS);
  text[0] = 'b';
  CU_ASSERT_EQUAL (pfx_lookup (cache, text, sizeof text), 0);
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
  g_autoptr (pfx_t) cache = pfx_new (4 * PFX_BLOCK_TOKENS, count_evicted, &evicted);
  char first[PFX_BLOCK_BYTES * 2];
  char second[PFX_BLOCK_BYTES * 2];
  char third[PFX_BLOCK_BYTES];
  memset (first, '1', sizeof first);
  memset (second, '2', sizeof second);
  memset (third, '3', sizeof third);
  pfx_store (cache, first, sizeof first);
  pfx_store (cache, second, sizeof second);
  pfx_lookup (cache, first, sizeof first);
  pfx_store (cache, third, sizeof third);
  CU_ASSERT_EQUAL (evicted, 1);
  CU_ASSERT_EQUAL (pfx_lookup (cache, first, sizeof first), 2 * PFX_BLOCK_TOKENS);
  CU_ASSERT_EQUAL (pfx_lookup (cache, second, sizeof second), PFX_BLOCK_TOKENS);
}

typedef struct
{
  bat_job_t job;
  char name;
  uint32_t prompt_tokens;
  uint32_t stop_after_tokens;
} test_job_t;

static void
on_start (bat_job_t *job, void *context)
{
  (void)context;
  job->prefill_tokens = ((test_job_t *)job)->prompt_tokens;
}

static bool
on_token (bat_job_t *job, void *context)
{
  test_job_t *test_job = (test_job_t *)job;
  g_string_append_c (context, test_job->name);
  return test_job->stop_after_tokens == 0 || job->generated_tokens < test_job->stop_after_tokens;
}

static void
on_end (bat_job_t *job, bool completed, void *context)
{
  (void)job;
  g_string_append_c (context, completed ? '.' : '!');
}

static bat_t *
new_batch (uint32_t slots, uint64_t prefill_millitokens_per_step, GString *trace)
{
  bat_options_t options = { .slots = slots,
                            .prefill_millitokens_per_step = prefill_millitokens_per_step,
                            .on_start = on_start,
                            .on_token = on_token,
                            .on_end = on_end,
                            .context = trace };
  return bat_new (&options);
}

static void
test_batch_serves_by_priority_then_arrival (void)
{
  g_autoptr (GString) trace = g_string_new (NULL);
  g_autoptr (bat_t) batch = new_batch (1, 0, trace);
  test_job_t low = { .name = 'l', .job = { .priority = 2, .target_tokens = 1 } };
  test_job_t early = { .name = 'e', .job = { .priority = 1, .target_tokens = 2 } };
  test_job_t later = { .name = 't', .job = { .priority = 1, .target_tokens = 1 } };
  test_job_t removed = { .name = 'g', .job = { .priority = 0, .target_tokens = 1 } };
  bat_add (batch, &low.job);
  bat_add (batch, &early.job);
  bat_add (batch, &later.job);
  bat_add (batch, &removed.job);
  bat_remove (batch, &removed.job);
  CU_ASSERT_EQUAL (bat_waiting (batch), 3);
  for (int i = 0; i < 6; i++)
    bat_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "ee.t.l.");
  CU_ASSERT_EQUAL (bat_running (batch) + bat_waiting (batch), 0);
}

static void
test_batch_shares_prefill_and_slots (void)
{
  g_autoptr (GString) trace = g_string_new (NULL);
  g_autoptr (bat_t) batch = new_batch (2, 10 * 1000, trace);
  test_job_t one = { .name = '1', .prompt_tokens = 15, .job = { .target_tokens = 2 } };
  test_job_t two = {
    .name = '2', .prompt_tokens = 15, .stop_after_tokens = 1, .job = { .target_tokens = 2 }
  };
  test_job_t three = { .name = '3', .job = { .target_tokens = 1 } };
  bat_add (batch, &one.job);
  bat_add (batch, &two.job);
  bat_add (batch, &three.job);
  bat_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "");
  CU_ASSERT_EQUAL (bat_running (batch), 2);
  bat_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "1");
  bat_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "11.2!");
  bat_step (batch);
  CU_ASSERT_STRING_EQUAL (trace->str, "11.2!3.");
}

static void
test_cache_events_are_delayed_and_lost (void)
{
  cev_t *events = cev_new (1000, 50, 1);
  for (uint64_t i = 0; i < 100; i++)
    cev_add (events, 0, i, true);
  json_auto_t *early = cev_list (events, 999, 0);
  json_auto_t *due = cev_list (events, 1000, 0);
  size_t published = json_array_size (json_object_get (due, "events"));
  CU_ASSERT_EQUAL (json_array_size (json_object_get (early, "events")), 0);
  CU_ASSERT_EQUAL (json_integer_value (json_object_get (due, "next")), 100);
  CU_ASSERT (published > 20 && published < 80);
  cev_free (events);
}

static void
test_record_file_has_each_change_immediately (void)
{
  int ends[2];
  char text[1024] = "";
  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  erc_t *record = erc_new (ends[1]);
  erc_run_t run = { .id = "r1", .body_hash = 0xab };
  uint64_t serial = erc_begin (record, &run);
  CU_ASSERT (read (ends[0], text, sizeof text - 1) > 0);
  CU_ASSERT_STRING_EQUAL (text, "{\"id\":\"r1\",\"account\":null,\"key\":null,"
                                "\"body_hash\":\"00000000000000ab\",\"state\":\"begun\"}\n");
  erc_end (record, serial, ERC_DONE);
  json_t *list = erc_list (record);
  json_t *first = json_array_get (list, 0);
  CU_ASSERT_EQUAL (json_array_size (list), 1);
  CU_ASSERT_STRING_EQUAL (json_string_value (json_object_get (first, "state")), "done");
  json_decref (list);
  erc_free (record);
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
  plg_t *log = plg_new (3, 1024);
  uint64_t offset;
  for (uint64_t i = 0; i < 5000; i++)
    {
      CU_ASSERT_TRUE (plg_append (log, "s", "x", 1, &offset));
      CU_ASSERT_EQUAL (offset, i);
    }
  json_t *read = plg_read (log, "s", 10, 2);
  CU_ASSERT_EQUAL (get_number (read, "first"), 4997);
  CU_ASSERT_EQUAL (get_number (read, "next"), 4999);
  CU_ASSERT_EQUAL (get_number (read, "end"), 5000);
  json_decref (read);
  plg_truncate (log, "s", 9999);
  read = plg_read (log, "s", 0, 2);
  CU_ASSERT_EQUAL (get_number (read, "first"), 5000);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (read, "records")), 0);
  json_decref (read);
  plg_free (log);
}

static json_t *
host_array (const char *name, const char *state)
{
  return json_pack ("[{s:s, s:s, s:s, s:s, s:s, s:s, s:s}]", "name", name, "role", "sidecar",
                    "data_center", "hall", "region", "city", "http", "127.0.0.1:1", "exchange",
                    "127.0.0.1:2", "state", state);
}

static void
check_host_view (phl_t *list,
                 uint64_t now_us,
                 const char *reader,
                 uint64_t since,
                 json_int_t revision,
                 bool full)
{
  json_auto_t *view = phl_view (list, now_us, reader, since);
  CU_ASSERT_EQUAL (get_number (view, "revision"), revision);
  CU_ASSERT_EQUAL (json_is_true (json_object_get (view, "full")), full);
}

static void
test_host_list_lags_and_freezes_for_one_reader (void)
{
  phl_t *list = phl_new (1000);
  json_auto_t *first = host_array ("a", "live");
  json_auto_t *second = host_array ("b", "live");
  CU_ASSERT_TRUE (phl_set (list, 0, first, true));
  check_host_view (list, 999, NULL, 0, 0, true);
  check_host_view (list, 1000, NULL, 0, 1, true);
  CU_ASSERT_TRUE (phl_hold (list, 1000, "router-1", true));
  CU_ASSERT_TRUE (phl_set (list, 1000, second, true));
  check_host_view (list, 2000, "router-1", 1, 1, false);
  check_host_view (list, 2000, "router-2", 1, 3, false);
  json_t *view = phl_view (list, 2000, NULL, 1);
  CU_ASSERT_EQUAL (json_array_size (json_object_get (view, "hosts")), 2);
  json_decref (view);
  CU_ASSERT_TRUE (phl_hold (list, 2000, "router-1", false));
  check_host_view (list, 2000, "router-1", 9, 3, true);
  phl_free (list);
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
    CU_TEST_INFO_NULL,
  };
  return suite_run ("standin", tests);
}
