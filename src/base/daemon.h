/**
 * DOC: daemon
 *
 * Context of a router or sidecar process that both of its tasks (threads) share: settings, clock,
 * counters and the tasks' mailboxes. It is the first argument of both tasks' constructors, and
 * lives as long as the process. Only the counters and mailboxes change once the tasks run.
 */
#ifndef BASE_DAEMON_H
#define BASE_DAEMON_H

#include "base/clock.h"
#include "base/counters.h"
#include "base/mailbox.h"
#include "base/settings.h"

#include <event2/event.h>

/**
 * struct daemon - context of a daemon process
 * @settings: settings, checked at start
 * @clock: time source of both tasks
 * @counters: exported metrics of both tasks
 * @incarnation: wall-clock time of the start in milliseconds; a restarted daemon has a higher one
 * @to_control: mailbox that the control task reads
 * @to_data: mailbox that the data task reads
 */
typedef struct
{
  settings_t settings;
  clock_source_t clock;
  counter_registry_t *counters;
  uint64_t incarnation;
  mailbox_t *to_control;
  mailbox_t *to_data;
} daemon_t;

#endif
