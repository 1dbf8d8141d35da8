/**
 * DOC: ctl
 *
 * What the commands of the tool share: its options, its event loop, the platform, and the exit
 * codes that scripts may rely on.
 */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include "connection/http_client.h"
#include "connection/platform.h"
#include "options.h"
#include "base/clock.h"

#include <event2/event.h>

typedef enum
{
  CTL_OK = 0,
  CTL_FAILED = 1,
  CTL_USAGE = 2, /* wrong usage or a manifest that does not check: nothing was done */
  CTL_LOST_RACE = 3,
  CTL_UNREACHABLE = 4 /* the platform did not answer: what was asked may have taken effect */
} ctl_exit_t;

/**
 * struct ctl - one run of the tool
 * @plt: NULL when no platform was named
 * @deadline_us: of the whole command
 */
typedef struct
{
  opt_t opt;
  clk_t clk;
  struct event_base *base;
  plt_t *plt;
  hcl_t *hcl;
  uint64_t deadline_us;
} ctl_t;

/** ctl_complain() - a line on standard error. Return: @code */
ctl_exit_t ctl_complain (ctl_exit_t code, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** ctl_left_ms() - time until the deadline, 0 when it has passed */
uint32_t ctl_left_ms (const ctl_t *ctl);
/** ctl_run_until() - turn the event loop until @done; what sets it has its own timeout */
void ctl_run_until (ctl_t *ctl, const bool *done);
/** ctl_pause() - turn the event loop for a while, no longer than until the deadline */
void ctl_pause (ctl_t *ctl, uint32_t pause_ms);

ctl_exit_t cmd_manifest_check (ctl_t *ctl, const char *file);
ctl_exit_t cmd_manifest_publish (ctl_t *ctl, const char *file);
ctl_exit_t cmd_manifest_show (ctl_t *ctl, const char *unused);
ctl_exit_t cmd_manifest_watch (ctl_t *ctl, const char *unused);
ctl_exit_t cmd_status (ctl_t *ctl, const char *unused);
ctl_exit_t cmd_drain (ctl_t *ctl, const char *host);
ctl_exit_t cmd_explain (ctl_t *ctl, const char *request);

#endif
