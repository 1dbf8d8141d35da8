/**
 * DOC: control_rig
 *
 * A control task with a fake platform and a paused clock, and a record of what it told the data
 * task; for the tests of the control task.
 */
#ifndef TESTS_CONTROL_RIG_H
#define TESTS_CONTROL_RIG_H

#include "fake_platform.h"
#include "process/control_private.h"

#include <CUnit/Basic.h>

#define RIG_KEY "a fleet key of enough bytes"
#define RIG_PORT 7400
#define RIG_DEADLINE_S 5
#define RIG_TURNS_MAX 400
/* More than three of the exchange's intervals. */
#define RIG_PAUSE_US (UINT64_C (31) * CLK_US_PER_S)

/** struct told - what the data task was told */
typedef struct
{
  uint64_t version;
  uint32_t versions;
  uint32_t members;
  uint32_t hosts;
  mem_state_t peer_state;
  bool fresh;
  uint64_t fresh_at_us;
  uint32_t fresh_notices;
  uint32_t stale_notices;
  uint32_t drains;
  uint32_t samples;
  mean_sample_t sample;
  uint32_t marks;
  uint32_t results;
  clm_result_t result;
} told_t;

typedef struct
{
  struct event_base *base;
  dmn_t dmn;
  fkp_t platform;
  ctrl_t *ctrl;
  told_t told;
  bool owns_base;
} rig_t;

/* Turns until @condition; fails the test when it does not come. */
#define TURN_UNTIL(rig, condition)                                                                 \
  do                                                                                               \
    {                                                                                              \
      for (uint32_t turned = 0; !(condition) && turned < RIG_TURNS_MAX; turned++)                  \
        rig_turn (rig);                                                                            \
      CU_ASSERT_TRUE (condition);                                                                  \
    }                                                                                              \
  while (0)

/** rig_ip() - a loopback address of this test process alone */
const char *rig_ip (void);
void rig_set_up (rig_t *rig, struct event_base *base, const char *name, uint16_t port);
void rig_start (rig_t *rig);
/** rig_start_fresh() - set up and start "own", and wait until it has heard all */
void rig_start_fresh (rig_t *rig, struct event_base *base);
void rig_tear_down (rig_t *rig);
/** rig_begin() - as rig_start_fresh(), on an event base of its own, until rig_clear() */
void rig_begin (rig_t *rig);
void rig_clear (rig_t *rig);
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (rig_t, rig_clear)
/** rig_list_hosts() - "own", "peer" and "third", live */
void rig_list_hosts (fkp_t *platform);
/** rig_put_version() - publish the version after @base */
void rig_put_version (fkp_t *platform, uint64_t base);
/** rig_settle() - let the platform answer and the messages arrive; the clock stands */
void rig_settle (rig_t *rig);
/** rig_turn() - one tick of the clock */
void rig_turn (rig_t *rig);
void rig_turns (rig_t *rig, uint32_t count);
/** rig_deliver() - a message of the data task */
void rig_deliver (rig_t *rig, void *message);
void rig_send_flag (rig_t *rig, msg_kind_t kind);

/** struct said - a message of the exchange as a peer would send it */
typedef struct
{
  xch_message message;
  xch_sample samples[XCH_SAMPLES];
  xch_word words[XCH_WORDS];
  xch_mark marks[XCH_MARKS];
} said_t;

/** rig_say() - a message of host @name, of its incarnation 7. Return: the message in @said */
xch_message *rig_say (said_t *said, const char *name, uint32_t sequence);

#endif
