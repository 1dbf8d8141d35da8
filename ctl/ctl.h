/**
 * DOC: ctl
 *
 * State and helpers shared by the commands of medlarplankctl: options, event loop, platform client
 * and the exit codes that scripts may rely on.
 */
#ifndef CTL_CTL_H
#define CTL_CTL_H

#include "connection/http_client.h"
#include "connection/platform.h"
#include "options.h"
#include "base/clock.h"

#include <event2/event.h>

/** Exit codes of the tool. */
typedef enum
{
  CTL_OK = 0,
  CTL_FAILED = 1,
  CTL_USAGE = 2,      /* wrong usage or an invalid manifest; nothing was changed */
  CTL_CONFLICT = 3,   /* another publish took effect first */
  CTL_UNREACHABLE = 4 /* the platform did not answer; the operation may have taken effect */
} ctl_exit_t;

/**
 * struct ctl - state of one run of the tool
 * @options: the parsed command line
 * @clock: time source
 * @base: event loop
 * @platform: platform client, NULL when no platform was named
 * @http_client: HTTP client for calls to daemons
 * @deadline_us: time by which the whole command must end, on @clock
 */
typedef struct
{
  ctl_options_t options;
  clock_source_t clock;
  struct event_base *base;
  platform_t *platform;
  http_client_t *http_client;
  uint64_t deadline_us;
} ctl_t;

/** ctl_report() - print a line on standard error. Return: @code */
ctl_exit_t ctl_report (ctl_exit_t code, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** ctl_remaining_ms() - get the time left until the deadline, 0 when it has passed */
uint32_t ctl_remaining_ms (const ctl_t *ctl);
/**
 * ctl_run_until() - run the event loop until *@done is true
 *
 * Does not check the deadline: the operation that sets @done must have a timeout of its own.
 */
void ctl_run_until (ctl_t *ctl, const bool *done);
/** ctl_pause() - run the event loop for @pause_ms, or until the deadline if that comes first */
void ctl_pause (ctl_t *ctl, uint32_t pause_ms);

/* The commands. Each prints its result and returns the exit code of the tool. */

/** cmd_manifest_check() - validate a manifest file without contacting the platform */
ctl_exit_t cmd_manifest_check (ctl_t *ctl, const char *file);
/** cmd_manifest_publish() - publish a manifest file or a merge patch, and wait for its result */
ctl_exit_t cmd_manifest_publish (ctl_t *ctl, const char *file);
/** cmd_manifest_show() - print the manifest in force */
ctl_exit_t cmd_manifest_show (ctl_t *ctl, const char *unused);
/** cmd_manifest_watch() - print the result of each record that is appended from now on */
ctl_exit_t cmd_manifest_watch (ctl_t *ctl, const char *unused);
/** cmd_status() - print the status of all listed daemons, or of the one named by --daemon */
ctl_exit_t cmd_status (ctl_t *ctl, const char *unused);
/** cmd_drain() - order a host to leave */
ctl_exit_t cmd_drain (ctl_t *ctl, const char *host);
/** cmd_explain() - print how a request was routed, from a router or from collected logs */
ctl_exit_t cmd_explain (ctl_t *ctl, const char *request);

#endif
