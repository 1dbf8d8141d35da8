#include "request/policy/drain.h"
#include "request/policy/fairq.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (fq_t, fq_free)

#define MANY 400
#define CREDIT 60000

static fq_item_t
make (uint64_t account, uint32_t priority, uint32_t cost)
{
  return (fq_item_t){ .account_hash = account,
                      .weight = FQ_WEIGHT_ONE,
                      .priority = priority,
                      .cost = cost,
                      .queue_limit = MANY };
}

static void
push_many (fq_t *fq, fq_item_t *items, uint32_t count, fq_item_t like)
{
  for (uint32_t i = 0; i < count; i++)
    {
      items[i] = like;
      CU_ASSERT_EQUAL_FATAL (fq_push (fq, &items[i]), FQ_QUEUED);
    }
}

static uint32_t
pops_until (fq_t *fq, const fq_item_t *item)
{
  uint32_t pops = 0;
  for (;;)
    {
      const fq_item_t *popped = fq_pop (fq);
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
  g_autoptr (fq_t) fq = fq_new (512);
  fq_item_t burst[300];
  push_many (fq, burst, 300, make (1, 1, 2000));
  for (uint32_t i = 0; i < 20; i++)
    fq_pop (fq);
  fq_item_t quiet = make (2, 1, 2000);
  CU_ASSERT_EQUAL_FATAL (fq_push (fq, &quiet), FQ_QUEUED);
  CU_ASSERT (pops_until (fq, &quiet) <= 2);
}

/* A client account declares its long requests as short ones, so that the estimate is a tenth of
 * their cost. Guards against it getting ten times the share of others: the difference is charged
 * when a request ends. */
static void
test_underestimated_cost_is_charged (void)
{
  g_autoptr (fq_t) fq = fq_new (512);
  fq_item_t understated[150], honest[150];
  uint64_t took_understated = 0, took_honest = 0;
  push_many (fq, understated, 150, make (1, 0, 1000));
  push_many (fq, honest, 150, make (2, 0, 1000));
  for (uint32_t i = 0; i < 110; i++)
    {
      const fq_item_t *item = fq_pop (fq);
      const uint64_t took = item->account_hash == 1 ? 10000 : 1000;
      *(item->account_hash == 1 ? &took_understated : &took_honest) += took;
      fq_took (fq, item, took);
    }
  CU_ASSERT (took_understated <= took_honest * 5 / 4);
  CU_ASSERT (took_honest <= took_understated * 5 / 4);
}

static void
test_weights_divide_cost (void)
{
  g_autoptr (fq_t) fq = fq_new (512);
  fq_item_t one[150], three[150];
  fq_item_t like = make (3, 1, 500);
  push_many (fq, one, 150, make (1, 1, 1000));
  like.weight = 3 * FQ_WEIGHT_ONE;
  push_many (fq, three, 150, like);
  uint64_t cost_one = 0, cost_three = 0;
  for (uint32_t i = 0; i < 120; i++)
    {
      const fq_item_t *item = fq_pop (fq);
      *(item->account_hash == 1 ? &cost_one : &cost_three) += item->cost;
    }
  CU_ASSERT (cost_three >= 2 * cost_one);
  CU_ASSERT (cost_three <= 4 * cost_one);
}

static void
test_high_priority_goes_first (void)
{
  g_autoptr (fq_t) fq = fq_new (512);
  fq_item_t long_ones[50];
  push_many (fq, long_ones, 25, make (1, 2, 6000));
  push_many (fq, long_ones + 25, 25, make (2, 2, 6000));
  fq_item_t own = make (1, 0, 50);
  fq_item_t other = make (3, 0, 50);
  fq_push (fq, &own);
  fq_push (fq, &other);
  const fq_item_t *first = fq_pop (fq);
  const fq_item_t *second = fq_pop (fq);
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
      g_autoptr (fq_t) fq = fq_new (512);
      fq_item_t flood[MANY];
      fq_item_t long_item = make (1, 3, 8000);
      push_many (fq, flood, MANY - 1, make (sender, 0, 100));
      fq_push (fq, &long_item);
      CU_ASSERT (pops_until (fq, &long_item) <= 3 * FQ_HEAD_START / 100 + 2);
    }
}

/* Accounts whose items may not start are skipped, and keep their place. */
static bool
is_not_account_one (const fq_item_t *item, void *context)
{
  (*(uint32_t *)context)++;
  return item->account_hash != 1;
}

static void
test_pop_allowed_skips (void)
{
  g_autoptr (fq_t) fq = fq_new (512);
  uint32_t asked = 0;
  fq_item_t one = make (1, 0, 10), two = make (2, 1, 10);
  fq_push (fq, &one);
  fq_push (fq, &two);
  CU_ASSERT_PTR_EQUAL (fq_pop_allowed (fq, is_not_account_one, &asked), &two);
  CU_ASSERT_PTR_NULL (fq_pop_allowed (fq, is_not_account_one, &asked));
  CU_ASSERT_EQUAL (asked, 3);
  CU_ASSERT_PTR_EQUAL (fq_pop (fq), &one);
  CU_ASSERT_EQUAL (fq_count (fq), 0);
}

static void
test_limits (void)
{
  g_autoptr (fq_t) fq = fq_new (3);
  fq_item_t items[5];
  for (uint32_t i = 0; i < 5; i++)
    {
      items[i] = make (i < 3 ? 1 : 2, 0, 10);
      items[i].queue_limit = 2;
    }
  CU_ASSERT_EQUAL (fq_push (fq, &items[0]), FQ_QUEUED);
  CU_ASSERT_EQUAL (fq_push (fq, &items[1]), FQ_QUEUED);
  CU_ASSERT_EQUAL (fq_push (fq, &items[2]), FQ_ACCOUNT_FULL);
  CU_ASSERT_EQUAL (fq_push (fq, &items[3]), FQ_QUEUED);
  CU_ASSERT_EQUAL (fq_push (fq, &items[4]), FQ_FULL);
  fq_remove (fq, &items[0]);
  CU_ASSERT_EQUAL (fq_push (fq, &items[2]), FQ_QUEUED);
  CU_ASSERT_EQUAL (fq_count (fq), 3);
}

static void
test_expiry_in_order (void)
{
  g_autoptr (fq_t) fq = fq_new (512);
  fq_item_t items[4];
  const uint64_t deadlines[4] = { 300, 100, 0, 200 };
  for (uint32_t i = 0; i < 4; i++)
    {
      items[i] = make (i % 2, 0, 10);
      items[i].deadline_us = deadlines[i];
      fq_push (fq, &items[i]);
    }
  CU_ASSERT_PTR_NULL (fq_expired (fq, 99));
  CU_ASSERT_PTR_EQUAL (fq_expired (fq, 250), &items[1]);
  CU_ASSERT_PTR_EQUAL (fq_expired (fq, 250), &items[3]);
  CU_ASSERT_PTR_NULL (fq_expired (fq, 250));
  fq_remove (fq, &items[0]);
  CU_ASSERT_PTR_NULL (fq_expired (fq, 1000));
  CU_ASSERT_PTR_EQUAL (fq_pop (fq), &items[2]);
  CU_ASSERT_PTR_NULL (fq_pop (fq));
}

static void
test_ahead_matches_service (void)
{
  g_autoptr (fq_t) fq = fq_new (512);
  fq_item_t one[60], two[60];
  push_many (fq, one, 60, make (1, 1, 1000));
  push_many (fq, two, 60, make (2, 1, 1000));
  fq_item_t quiet = make (3, 1, 1000);
  fq_item_t late = make (1, 1, 1000);
  CU_ASSERT (fq_ahead (fq, &quiet).count <= 3);
  const fq_ahead_t ahead = fq_ahead (fq, &late);
  CU_ASSERT (ahead.count >= 115 && ahead.count <= 125);
  CU_ASSERT_EQUAL (ahead.cost, fq_cost_ahead (fq, &late));
  fq_push (fq, &late);
  const uint32_t pops = pops_until (fq, &late);
  CU_ASSERT (pops >= 115 && pops <= 121);
}

/* Guards against an account that was served without waiting going before one that was idle. */
static void
test_service_without_waiting_is_charged (void)
{
  g_autoptr (fq_t) fq = fq_new (512);
  fq_item_t busy = make (1, 1, 50000), idle = make (2, 1, 1000), again = make (1, 1, 10);
  fq_served (fq, &busy);
  fq_push (fq, &again);
  fq_push (fq, &idle);
  CU_ASSERT (!fq_goes_before (fq, &busy, &idle));
  CU_ASSERT_PTR_EQUAL (fq_pop (fq), &idle);
  CU_ASSERT_PTR_EQUAL (fq_pop (fq), &again);
}

/* Guards against memory that grows with each of thousands of accounts that are used once. */
static void
test_idle_accounts_are_dropped (void)
{
  g_autoptr (fq_t) fq = fq_new (512);
  for (uint64_t account = 1; account <= 20000; account++)
    {
      fq_item_t item = make (account, 1, 100);
      fq_served (fq, &item);
    }
  CU_ASSERT (fq_account_count (fq) < 200);
}

/* One account was served alone so far, so it isn't behind; another one is behind until it has used
 * its credit. */
static void
test_is_behind (void)
{
  g_autoptr (fq_t) fq = fq_new (512);
  fq_set_credit (fq, CREDIT);
  fq_item_t surge = make (1, 1, 10000), quiet = make (2, 1, 10000);
  for (uint32_t i = 0; i < 50; i++)
    fq_served (fq, &surge);
  CU_ASSERT (!fq_is_behind (fq, &surge));
  uint32_t burst = 0;
  while (fq_is_behind (fq, &quiet) && burst < 50)
    {
      fq_served (fq, &quiet);
      burst++;
    }
  CU_ASSERT (burst >= CREDIT / 10000 && burst <= CREDIT / 10000 + 4);
}

static void
test_completion_interval_follows_load_and_stall (void)
{
  drn_t drn = { 0 };
  drn_started (&drn, 0, 0, 400);
  CU_ASSERT_EQUAL (drn_interval_us (&drn, 0, 0), 0);
  CU_ASSERT_EQUAL (drn_interval_us (&drn, 0, 4), 100);
  for (uint32_t i = 0; i < 200; i++)
    drn_finished (&drn, 1000, 800);
  CU_ASSERT (drn_interval_us (&drn, 1000, 4) >= 190 && drn_interval_us (&drn, 1000, 4) <= 200);
  CU_ASSERT_EQUAL (drn_interval_us (&drn, 31000, 4), 10000);
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
