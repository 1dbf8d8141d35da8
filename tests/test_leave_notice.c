#include "base/clock.h"
#include "request/policy/engines/leave_notice.h"
#include "request/policy/engines/membership.h"
#include "request/policy/placement/rendezvous.h"
#include "suite.h"

#include <glib.h>
#include <string.h>

G_DEFINE_AUTOPTR_CLEANUP_FUNC (leave_notices_t, leave_notice_free)

#define TICK_US (UINT64_C (100) * CLOCK_US_PER_MS)
#define EXCHANGE_TICKS 3   /* between two reports of the host */
#define LIST_TICKS 40      /* until every daemon has read the list */
#define DELAY_MAX_TICKS 10 /* of a message */
#define LOST_PERCENT 30
#define NOTIFIERS 3
#define BOUND_TICKS 50 /* 5 s, in which the host must be told */
#define INCARNATION 7

/**
 * struct fleet - daemons without a report of host "h", which leaves and reads an old list
 * @notices: of the first daemons of the fleet, which call the host
 * @notice_due_us: when a notice reaches the host; 0 when none is on its way
 */
typedef struct
{
  GRand *rand;
  uint32_t count;
  membership_t **memberships;
  leave_notices_t *notices[NOTIFIERS];
  bool is_told;
  uint64_t notice_due_us;
  uint32_t calls;
} fleet_t;

static membership_list_entry_t
list_entry (membership_state_t state)
{
  membership_list_entry_t host = { .name = "h", .state = state };
  return host;
}

static void
fleet_init (fleet_t *fleet, uint32_t count, uint32_t seed)
{
  membership_list_entry_t host = list_entry (MEMBERSHIP_LIVE);
  memset (fleet, 0, sizeof *fleet);
  fleet->rand = g_rand_new_with_seed (seed);
  fleet->count = count;
  fleet->memberships = g_new (membership_t *, count);
  for (uint32_t i = 0; i < count; i++)
    {
      fleet->memberships[i] = membership_new ();
      membership_apply_list (fleet->memberships[i], 0, &host, 1, 1);
    }
  for (uint32_t i = 0; i < NOTIFIERS; i++)
    fleet->notices[i] = leave_notice_new ();
}

static void
fleet_clear (fleet_t *fleet)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    membership_free (fleet->memberships[i]);
  for (uint32_t i = 0; i < NOTIFIERS; i++)
    leave_notice_free (fleet->notices[i]);
  g_free (fleet->memberships);
  g_rand_free (fleet->rand);
}

static bool
message_is_lost (fleet_t *fleet)
{
  return g_rand_int_range (fleet->rand, 0, 100) < LOST_PERCENT;
}

/* Daemon @index tells the host that it leaves; the message may be lost or late. */
static void
send_notice (fleet_t *fleet, uint64_t now_us, uint32_t index)
{
  uint64_t delay_us = (uint64_t)g_rand_int_range (fleet->rand, 0, DELAY_MAX_TICKS) * TICK_US;
  if (membership_find_leave (fleet->memberships[index], rendezvous_hash_name ("h"), INCARNATION) ==
      MEMBERSHIP_LEAVE_NONE)
    return;
  if (!message_is_lost (fleet) &&
      (fleet->notice_due_us == 0 || now_us + delay_us < fleet->notice_due_us))
    fleet->notice_due_us = now_us + delay_us;
}

/* The host sends its report to a random daemon, often the first one that this daemon gets, and the
 * daemon answers with a notice. */
static void
exchange_with_peer (fleet_t *fleet, uint64_t now_us, uint32_t sequence)
{
  uint32_t index = (uint32_t)g_rand_int_range (fleet->rand, 0, (gint32)fleet->count);
  membership_state_t state = fleet->is_told ? MEMBERSHIP_LEAVING : MEMBERSHIP_LIVE;
  membership_report_t report = { rendezvous_hash_name ("h"), INCARNATION, sequence, state };
  if (message_is_lost (fleet))
    return;
  membership_apply_report (fleet->memberships[index], now_us, &report);
  send_notice (fleet, now_us, index);
}

static void
send_due_notices (fleet_t *fleet, uint64_t now_us, uint32_t index)
{
  uint64_t hash;
  while (leave_notice_next (fleet->notices[index], now_us, &hash))
    {
      membership_report_t report = { hash, INCARNATION, UINT32_MAX, MEMBERSHIP_LEAVING };
      if (!membership_leave_unconfirmed (fleet->memberships[index], hash))
        {
          leave_notice_remove (fleet->notices[index], hash);
          continue;
        }
      fleet->calls++;
      send_notice (fleet, now_us, index);
      /* The host's answer contains its report. */
      if (fleet->is_told && !message_is_lost (fleet))
        membership_apply_report (fleet->memberships[index], now_us, &report);
    }
}

/* The daemons that call the host read the list first, the others within %LIST_TICKS. */
static void
tick_fleet (fleet_t *fleet, uint64_t tick)
{
  uint64_t now_us = tick * TICK_US;
  membership_list_entry_t leaving = list_entry (MEMBERSHIP_LEAVING);
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      uint64_t read_tick = i < NOTIFIERS ? 1 : 1 + (uint64_t)i * LIST_TICKS / fleet->count;
      if (read_tick != tick)
        continue;
      membership_apply_list (fleet->memberships[i], now_us, &leaving, 1, 2);
      if (i < NOTIFIERS)
        leave_notice_add (fleet->notices[i], now_us, rendezvous_hash_name ("h"));
    }
  for (uint32_t i = 0; i < NOTIFIERS; i++)
    send_due_notices (fleet, now_us, i);
  if (tick % EXCHANGE_TICKS == 0)
    exchange_with_peer (fleet, now_us, (uint32_t)tick);
  if (fleet->notice_due_us != 0 && fleet->notice_due_us <= now_us)
    fleet->is_told = true;
}

/* Guards against a leaving host that keeps taking requests for seconds, because no peer had a
 * report of it before the list changed and messages to it are lost or late. The calls to it must
 * not end before it is told, and must end after. */
static void
test_host_is_told_in_fleets_of_any_size (void)
{
  static const uint32_t sizes[] = { 6, 100, 880 };
  for (uint32_t i = 0; i < 3 * 20; i++)
    {
      fleet_t fleet;
      uint64_t tick = 1;
      fleet_init (&fleet, sizes[i % 3], i);
      for (; tick <= BOUND_TICKS && !fleet.is_told; tick++)
        tick_fleet (&fleet, tick);
      CU_ASSERT_TRUE (fleet.is_told);
      for (; tick <= 10 * BOUND_TICKS; tick++)
        tick_fleet (&fleet, tick);
      for (uint32_t j = 0; j < NOTIFIERS; j++)
        CU_ASSERT_EQUAL (leave_notice_count (fleet.notices[j]), 0);
      CU_ASSERT_TRUE (fleet.calls <= NOTIFIERS * 20);
      fleet_clear (&fleet);
    }
}

/* Guards against hosts that are never called, because many leave at once and each round begins with
 * the same ones. */
static void
test_hosts_due_longest_come_first (void)
{
  g_autoptr (leave_notices_t) leave_notices = leave_notice_new ();
  uint64_t hash;
  uint32_t called = 0;
  for (uint64_t i = 1; i <= 300; i++)
    leave_notice_add (leave_notices, 0, i);
  for (uint64_t tick_fleet = 1; tick_fleet <= 75; tick_fleet++)
    for (uint32_t i = 0; i < 4 && leave_notice_next (leave_notices, tick_fleet, &hash); i++)
      {
        called++;
        CU_ASSERT_EQUAL (hash, called);
      }
  CU_ASSERT_EQUAL (called, 300);
  CU_ASSERT_FALSE (leave_notice_next (leave_notices, 76, &hash));
  CU_ASSERT_TRUE (leave_notice_next (leave_notices, 1 + LEAVE_NOTICE_RETRY_MIN_US, &hash));
  CU_ASSERT_EQUAL (hash, 1);
  leave_notice_add (leave_notices, 2 + LEAVE_NOTICE_RETRY_MIN_US, 1);
  CU_ASSERT_EQUAL (leave_notice_count (leave_notices), 300);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    SUITE_TEST (test_host_is_told_in_fleets_of_any_size),
    SUITE_TEST (test_hosts_due_longest_come_first),
    CU_TEST_INFO_NULL,
  };
  return suite_run ("leave_notice", tests);
}
