#include "request/policy/load/completion_rate.h"
#include "request/policy/queueing/fair_queue.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (fair_queue_t, fair_queue_free)

#define MANY 400
#define CREDIT 60000

static fair_queue_item_t
make (uint64_t account, uint32_t priority, uint32_t cost)
{
  return (fair_queue_item_t){ .account_hash = account,
                              .weight = FAIR_QUEUE_WEIGHT_ONE,
                              .priority = priority,
                              .cost = cost,
                              .queue_limit = MANY };
}

static void
push_many (fair_queue_t *fair_queue,
           fair_queue_item_t *items,
           uint32_t count,
           fair_queue_item_t like)
{
  for (uint32_t i = 0; i < count; i++)
    {
      items[i] = like;
      CU_ASSERT_EQUAL_FATAL (fair_queue_push (fair_queue, &items[i]), FAIR_QUEUE_QUEUED);
    }
}

static uint32_t
pops_until (fair_queue_t *fair_queue, const fair_queue_item_t *item)
{
  uint32_t pops = 0;
  for (;;)
    {
      const fair_queue_item_t *popped = fair_queue_pop (fair_queue);
      CU_ASSERT_PTR_NOT_NULL_FATAL (popped);
      pops++;
      if (popped == item)
        return pops;
    }
}

/* Guards against a request that waits behind a burst of 300 requests of another account. */
static void
test_burst_delays_its_own_account_only (void)
{
  g_autoptr (fair_queue_t) fair_queue = fair_queue_new (512);
  fair_queue_item_t burst[300];
  push_many (fair_queue, burst, 300, make (1, 1, 2000));
  for (uint32_t i = 0; i < 20; i++)
    fair_queue_pop (fair_queue);
  fair_queue_item_t quiet = make (2, 1, 2000);
  CU_ASSERT_EQUAL_FATAL (fair_queue_push (fair_queue, &quiet), FAIR_QUEUE_QUEUED);
  CU_ASSERT (pops_until (fair_queue, &quiet) <= 2);
}

/* A client account declares its long requests as short ones, so that the estimate is a tenth of
 * their cost. Guards against it getting ten times the share of others: the difference is charged
 * when a request ends. */
static void
test_underestimated_cost_is_charged (void)
{
  g_autoptr (fair_queue_t) fair_queue = fair_queue_new (512);
  fair_queue_item_t understated[150], honest[150];
  uint64_t took_understated = 0, took_honest = 0;
  push_many (fair_queue, understated, 150, make (1, 0, 1000));
  push_many (fair_queue, honest, 150, make (2, 0, 1000));
  for (uint32_t i = 0; i < 110; i++)
    {
      const fair_queue_item_t *item = fair_queue_pop (fair_queue);
      const uint64_t took = item->account_hash == 1 ? 10000 : 1000;
      *(item->account_hash == 1 ? &took_understated : &took_honest) += took;
      fair_queue_charge_excess (fair_queue, item, took);
    }
  CU_ASSERT (took_understated <= took_honest * 5 / 4);
  CU_ASSERT (took_honest <= took_understated * 5 / 4);
}

static void
test_weights_divide_cost (void)
{
  g_autoptr (fair_queue_t) fair_queue = fair_queue_new (512);
  fair_queue_item_t one[150], three[150];
  fair_queue_item_t like = make (3, 1, 500);
  push_many (fair_queue, one, 150, make (1, 1, 1000));
  like.weight = 3 * FAIR_QUEUE_WEIGHT_ONE;
  push_many (fair_queue, three, 150, like);
  uint64_t cost_one = 0, cost_three = 0;
  for (uint32_t i = 0; i < 120; i++)
    {
      const fair_queue_item_t *item = fair_queue_pop (fair_queue);
      *(item->account_hash == 1 ? &cost_one : &cost_three) += item->cost;
    }
  CU_ASSERT (cost_three >= 2 * cost_one);
  CU_ASSERT (cost_three <= 4 * cost_one);
}

static void
test_high_priority_goes_first (void)
{
  g_autoptr (fair_queue_t) fair_queue = fair_queue_new (512);
  fair_queue_item_t long_ones[50];
  push_many (fair_queue, long_ones, 25, make (1, 2, 6000));
  push_many (fair_queue, long_ones + 25, 25, make (2, 2, 6000));
  fair_queue_item_t own = make (1, 0, 50);
  fair_queue_item_t other = make (3, 0, 50);
  fair_queue_push (fair_queue, &own);
  fair_queue_push (fair_queue, &other);
  const fair_queue_item_t *first = fair_queue_pop (fair_queue);
  const fair_queue_item_t *second = fair_queue_pop (fair_queue);
  CU_ASSERT (first == &own || first == &other);
  CU_ASSERT (second == &own || second == &other);
}

/* Short requests of high priority arrive faster than they are served, from the same account or from
 * another one. Guards against a long request of low priority that never starts, as with strict
 * priorities. */
static void
test_low_priority_is_not_starved (void)
{
  for (uint64_t sender = 1; sender <= 2; sender++)
    {
      g_autoptr (fair_queue_t) fair_queue = fair_queue_new (512);
      fair_queue_item_t flood[MANY];
      fair_queue_item_t long_item = make (1, 3, 8000);
      push_many (fair_queue, flood, MANY - 1, make (sender, 0, 100));
      fair_queue_push (fair_queue, &long_item);
      CU_ASSERT (pops_until (fair_queue, &long_item) <= 3 * FAIR_QUEUE_PRIORITY_COST / 100 + 2);
    }
}

/* Accounts whose items may not start are skipped, and keep their place. */
static bool
is_not_account_one (const fair_queue_item_t *item, void *context)
{
  (*(uint32_t *)context)++;
  return item->account_hash != 1;
}

static void
test_pop_allowed_skips (void)
{
  g_autoptr (fair_queue_t) fair_queue = fair_queue_new (512);
  uint32_t asked = 0;
  fair_queue_item_t one = make (1, 0, 10), two = make (2, 1, 10);
  fair_queue_push (fair_queue, &one);
  fair_queue_push (fair_queue, &two);
  CU_ASSERT_PTR_EQUAL (fair_queue_pop_allowed (fair_queue, is_not_account_one, &asked), &two);
  CU_ASSERT_PTR_NULL (fair_queue_pop_allowed (fair_queue, is_not_account_one, &asked));
  CU_ASSERT_EQUAL (asked, 3);
  CU_ASSERT_PTR_EQUAL (fair_queue_pop (fair_queue), &one);
  CU_ASSERT_EQUAL (fair_queue_count (fair_queue), 0);
}

static void
test_limits (void)
{
  g_autoptr (fair_queue_t) fair_queue = fair_queue_new (3);
  fair_queue_item_t items[5];
  for (uint32_t i = 0; i < 5; i++)
    {
      items[i] = make (i < 3 ? 1 : 2, 0, 10);
      items[i].queue_limit = 2;
    }
  CU_ASSERT_EQUAL (fair_queue_push (fair_queue, &items[0]), FAIR_QUEUE_QUEUED);
  CU_ASSERT_EQUAL (fair_queue_push (fair_queue, &items[1]), FAIR_QUEUE_QUEUED);
  CU_ASSERT_EQUAL (fair_queue_push (fair_queue, &items[2]), FAIR_QUEUE_ACCOUNT_FULL);
  CU_ASSERT_EQUAL (fair_queue_push (fair_queue, &items[3]), FAIR_QUEUE_QUEUED);
  CU_ASSERT_EQUAL (fair_queue_push (fair_queue, &items[4]), FAIR_QUEUE_FULL);
  fair_queue_remove (fair_queue, &items[0]);
  CU_ASSERT_EQUAL (fair_queue_push (fair_queue, &items[2]), FAIR_QUEUE_QUEUED);
  CU_ASSERT_EQUAL (fair_queue_count (fair_queue), 3);
}

static void
test_expiry_in_order (void)
{
  g_autoptr (fair_queue_t) fair_queue = fair_queue_new (512);
  fair_queue_item_t items[4];
  const uint64_t deadlines[4] = { 300, 100, 0, 200 };
  for (uint32_t i = 0; i < 4; i++)
    {
      items[i] = make (i % 2, 0, 10);
      items[i].deadline_us = deadlines[i];
      fair_queue_push (fair_queue, &items[i]);
    }
  CU_ASSERT_PTR_NULL (fair_queue_pop_expired (fair_queue, 99));
  CU_ASSERT_PTR_EQUAL (fair_queue_pop_expired (fair_queue, 250), &items[1]);
  CU_ASSERT_PTR_EQUAL (fair_queue_pop_expired (fair_queue, 250), &items[3]);
  CU_ASSERT_PTR_NULL (fair_queue_pop_expired (fair_queue, 250));
  fair_queue_remove (fair_queue, &items[0]);
  CU_ASSERT_PTR_NULL (fair_queue_pop_expired (fair_queue, 1000));
  CU_ASSERT_PTR_EQUAL (fair_queue_pop (fair_queue), &items[2]);
  CU_ASSERT_PTR_NULL (fair_queue_pop (fair_queue));
}

static void
test_ahead_matches_service (void)
{
  g_autoptr (fair_queue_t) fair_queue = fair_queue_new (512);
  fair_queue_item_t one[60], two[60];
  push_many (fair_queue, one, 60, make (1, 1, 1000));
  push_many (fair_queue, two, 60, make (2, 1, 1000));
  fair_queue_item_t quiet = make (3, 1, 1000);
  fair_queue_item_t late = make (1, 1, 1000);
  CU_ASSERT (fair_queue_ahead (fair_queue, &quiet).count <= 3);
  const fair_queue_ahead_t ahead = fair_queue_ahead (fair_queue, &late);
  CU_ASSERT (ahead.count >= 115 && ahead.count <= 125);
  CU_ASSERT_EQUAL (ahead.cost, fair_queue_cost_ahead (fair_queue, &late));
  fair_queue_push (fair_queue, &late);
  const uint32_t pops = pops_until (fair_queue, &late);
  CU_ASSERT (pops >= 115 && pops <= 121);
}

/* Guards against an account that was served without waiting going before one that was idle. */
static void
test_service_without_waiting_is_charged (void)
{
  g_autoptr (fair_queue_t) fair_queue = fair_queue_new (512);
  fair_queue_item_t busy = make (1, 1, 50000), idle = make (2, 1, 1000), again = make (1, 1, 10);
  fair_queue_charge (fair_queue, &busy);
  fair_queue_push (fair_queue, &again);
  fair_queue_push (fair_queue, &idle);
  CU_ASSERT (!fair_queue_goes_before (fair_queue, &busy, &idle));
  CU_ASSERT_PTR_EQUAL (fair_queue_pop (fair_queue), &idle);
  CU_ASSERT_PTR_EQUAL (fair_queue_pop (fair_queue), &again);
}

/* Guards against memory that grows with each of thousands of accounts that are used once. */
static void
test_idle_accounts_are_dropped (void)
{
  g_autoptr (fair_queue_t) fair_queue = fair_queue_new (512);
  for (uint64_t account = 1; account <= 20000; account++)
    {
      fair_queue_item_t item = make (account, 1, 100);
      fair_queue_charge (fair_queue, &item);
    }
  CU_ASSERT (fair_queue_account_count (fair_queue) < 200);
}

/* One account was served alone so far, so it isn't behind; another one is behind until it has used
 * its credit. */
static void
test_is_behind (void)
{
  g_autoptr (fair_queue_t) fair_queue = fair_queue_new (512);
  fair_queue_set_credit (fair_queue, CREDIT);
  fair_queue_item_t surge = make (1, 1, 10000), quiet = make (2, 1, 10000);
  for (uint32_t i = 0; i < 50; i++)
    fair_queue_charge (fair_queue, &surge);
  CU_ASSERT (!fair_queue_is_behind (fair_queue, &surge));
  uint32_t burst = 0;
  while (fair_queue_is_behind (fair_queue, &quiet) && burst < 50)
    {
      fair_queue_charge (fair_queue, &quiet);
      burst++;
    }
  CU_ASSERT (burst >= CREDIT / 10000 && burst <= CREDIT / 10000 + 4);
}

static void
test_completion_interval_follows_load_and_stall (void)
{
  completion_rate_t completion_rate = { 0 };
  completion_rate_note_start (&completion_rate, 0, 0, 400);
  CU_ASSERT_EQUAL (completion_rate_interval_us (&completion_rate, 0, 0), 0);
  CU_ASSERT_EQUAL (completion_rate_interval_us (&completion_rate, 0, 4), 100);
  for (uint32_t i = 0; i < 200; i++)
    completion_rate_note_end (&completion_rate, 1000, 800);
  CU_ASSERT (completion_rate_interval_us (&completion_rate, 1000, 4) >= 190 &&
             completion_rate_interval_us (&completion_rate, 1000, 4) <= 200);
  CU_ASSERT_EQUAL (completion_rate_interval_us (&completion_rate, 31000, 4), 10000);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "a burst delays its own account only", test_burst_delays_its_own_account_only },
    { "weights divide the cost", test_weights_divide_cost },
    { "underestimated cost is charged", test_underestimated_cost_is_charged },
    { "high priority goes first", test_high_priority_goes_first },
    { "low priority is not starved", test_low_priority_is_not_starved },
    { "items that may not start are skipped", test_pop_allowed_skips },
    { "limits of account and total", test_limits },
    { "expiry in order of deadlines", test_expiry_in_order },
    { "the estimate ahead matches the service", test_ahead_matches_service },
    { "service without waiting is charged", test_service_without_waiting_is_charged },
    { "idle accounts are dropped", test_idle_accounts_are_dropped },
    { "an account served less is behind", test_is_behind },
    { "completion interval follows load and stall",
      test_completion_interval_follows_load_and_stall },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("fair_queue", tests);
}
