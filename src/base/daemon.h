/**
 * DOC: daemon
 *
 * What lives as long as the process: the settings, the clock, the counters and the mailboxes of
 * its two tasks. Passed first to both tasks; read-only but for the counters and mailboxes.
 */
#ifndef BASE_DAEMON_H
#define BASE_DAEMON_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/mailbox.h"
#include "base/settings.h"

#include <event2/event.h>

/**
 * struct dmn - a daemon
 * @incarnation: wall-clock milliseconds of the start, so a restart has a higher one
 * @to_control: mailbox of the control task
 * @to_data: mailbox of the data task
 */
typedef struct
{
  set_t set;
  clk_t clk;
  cnt_set_t *counters;
  uint64_t incarnation;
  mbx_t *to_control;
  mbx_t *to_data;
} dmn_t;

#endif
