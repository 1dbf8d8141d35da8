/**
 * DOC: control_rig
 *
 * Fixture of the control task's tests: a control task with a fake platform and a paused clock,
 * which records the messages that the data task would receive.
 */
#ifndef TESTS_CONTROL_RIG_H
#define TESTS_CONTROL_RIG_H

#include "fake_platform.h"
#include "process/control_private.h"

#include <CUnit/Basic.h>

#define RIG_KEY "a fleet key of enough bytes"
#define RIG_PORT 7400
#define RIG_DEADLINE_S 5
#define RIG_MAX_TICKS 400
/* Longer than three exchange intervals, so it is detected as a pause. */
#define RIG_PAUSE_US (UINT64_C (31) * CLOCK_US_PER_S)

/**
 * struct rig_received - what the data task was sent: the latest values, and counts
 * @snapshot_count: member snapshots
 * @host_count: hosts in the last snapshot
 * @peer_state: of the host "peer" in the last snapshot, MEMBERSHIP_GONE when it isn't in it
 * @fresh: the last MESSAGE_FRESHNESS said that the daemon is fresh
 * @fresh_count, @stale_count: messages that said so, and that said the opposite
 */
typedef struct
{
  uint64_t version;
  uint32_t version_count;
  uint32_t snapshot_count;
  uint32_t host_count;
  membership_state_t peer_state;
  bool fresh;
  uint64_t fresh_at_us;
  uint32_t fresh_count;
  uint32_t stale_count;
  uint32_t drain_count;
  uint32_t sample_count;
  load_sample_t sample;
  uint32_t mark_count;
  uint32_t claim_result_count;
  claim_result_t claim_result;
} rig_received_t;

typedef struct
{
  struct event_base *base;
  daemon_t daemon;
  fake_platform_t platform;
  control_t *ctrl;
  rig_received_t received;
  bool owns_base;
} rig_t;

/* Ticks until @condition holds; fails the test after %RIG_MAX_TICKS. */
#define TICK_UNTIL(rig, condition)                                                                 \
  do                                                                                               \
    {                                                                                              \
      for (uint32_t ticks = 0; !(condition) && ticks < RIG_MAX_TICKS; ticks++)                     \
        rig_tick (rig);                                                                            \
      CU_ASSERT_TRUE (condition);                                                                  \
    }                                                                                              \
  while (0)

/** rig_loopback_ip() - a loopback address that only this test process uses */
const char *rig_loopback_ip (void);
void rig_set_up (rig_t *rig, struct event_base *base, const char *name, uint16_t port);
void rig_start (rig_t *rig);
/** rig_start_fresh() - set up and start host "own", and tick until it is fresh */
void rig_start_fresh (rig_t *rig, struct event_base *base);
void rig_tear_down (rig_t *rig);
/** rig_init() - as rig_start_fresh(), with its own event base; ended by rig_clear() */
void rig_init (rig_t *rig);
void rig_clear (rig_t *rig);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (rig_t, rig_clear)
/** rig_add_hosts() - list "own", "peer" and "third" as live */
void rig_add_hosts (fake_platform_t *platform);
/** rig_publish_version() - publish the version that follows @base */
void rig_publish_version (fake_platform_t *platform, uint64_t base);
/** rig_run_pending() - answer platform calls and deliver messages without advancing the clock */
void rig_run_pending (rig_t *rig);
/** rig_tick() - advance the clock by one tick and run what is due */
void rig_tick (rig_t *rig);
void rig_ticks (rig_t *rig, uint32_t count);
/** rig_deliver() - handle a message of the data task */
void rig_deliver (rig_t *rig, void *message);
void rig_send_flag (rig_t *rig, message_kind_t kind);

/** struct rig_message - an exchange message and the storage of its arrays */
typedef struct
{
  xch_message message;
  xch_sample samples[XCH_SAMPLES];
  xch_word words[XCH_WORDS];
  xch_mark marks[XCH_MARKS];
} rig_message_t;

/** rig_compose() - a message of host @name with incarnation 7. Return: the message in @incoming */
xch_message *rig_compose (rig_message_t *incoming, const char *name, uint32_t sequence);

#endif
