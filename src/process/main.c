/**
 * DOC: main
 *
 * The daemon medlarplankd: settings, then two tasks that share nothing but the counters and their
 * mailboxes. The control task runs on the main thread, which also gets the signals; the data task
 * runs on a thread of its own.
 */
#include "base/log_flusher.h"
#include "platform/records.h"
#include "platform/request_format.h"
#include "platform/store.h"
#include "base/daemon.h"
#include "process/control.h"
#include "request/router/router.h"
#include "request/sidecar/sidecar.h"
#include "process/gateway_process.h"
#include "request/messages.h"

#include <event2/thread.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

#define PROGRAM "medlarplankd"
#define EXIT_SETTINGS 2
#define FILES_PER_CONNECTION 2 /* one towards the caller, one towards the upstream */
#define FILES_BESIDES 64

/**
 * struct prc - all that the process holds
 * @rtr: data task of a router, else NULL
 * @sdc: data task of a sidecar, else NULL
 * @draining: a stop was asked for
 * @data_failed: the data task's loop ended untold; read after its thread was joined
 */
typedef struct
{
  dmn_t dmn;
  struct event_base *control_base;
  lfl_t *flusher;
  struct event_base *data_base;
  ctrl_t *ctrl;
  rtr_t *rtr;
  sdc_t *sdc;
  struct event *on_sigterm;
  struct event *on_sigint;
  bool draining;
  bool data_failed;
} prc_t;

static void
log_libevent (int severity, const char *text)
{
  if (severity == EVENT_LOG_ERR)
    log_event (LOG_LEVEL_ERROR, "libevent", "text", text, NULL);
  else if (severity == EVENT_LOG_WARN)
    log_event (LOG_LEVEL_WARNING, "libevent", "text", text, NULL);
}

static void
pass_to_control (mbx_message_t *message, void *context)
{
  prc_t *prc = context;

  ctrl_message (message, prc->ctrl);
}

static void
pass_to_data (mbx_message_t *message, void *context)
{
  prc_t *prc = context;

  if (prc->rtr != NULL)
    rtr_message (message, prc->rtr);
  else
    sdc_message (message, prc->sdc);
}

/*
 * A supervisor that grows impatient, or an operator who presses Ctrl-C twice, sends a second
 * signal. Falling back to the default action then would cut off every request in flight, so the
 * handlers stay and the second signal changes nothing.
 */
static void
on_stop_signal (evutil_socket_t number, short events, void *context)
{
  prc_t *prc = context;
  msg_flag_t *drain;

  (void)events;
  log_event (LOG_LEVEL_NOTICE, "stop_signal", "signal", LOG_U64 ((uint64_t)number), "first",
             prc->draining ? "no" : "yes", NULL);
  if (prc->draining)
    return;
  prc->draining = true;
  drain = msg_new (MSG_DRAIN);
  drain->on = true;
  mbx_send (prc->dmn.to_control, &drain->head);
}

static struct event *
watch_signal (prc_t *prc, int number)
{
  struct event *event = evsignal_new (prc->control_base, number, on_stop_signal, prc);

  g_assert (event != NULL);
  event_add (event, NULL);
  return event;
}

static void
warn_of_file_limit (const set_t *set)
{
  uint64_t wanted = (uint64_t)set->connection_limit * FILES_PER_CONNECTION + FILES_BESIDES;
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur >= wanted)
    return;
  log_event (LOG_LEVEL_WARNING, "file_limit_low", "limit", LOG_U64 (limit.rlim_cur), "wanted",
             LOG_U64 (wanted), NULL);
}

/*
 * Precise timers: the coarse clock is 4 ms off at 250 ticks a second, which is longer than a hop.
 * Change list: a kept-alive connection turns from reading to writing and back for each request,
 * which costs a system call each time unless the changes of one round are put together.
 */
static struct event_base *
base_new (void)
{
  struct event_config *config = event_config_new ();
  struct event_base *base;

  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_config_set_flag (config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  base = event_base_new_with_config (config);
  event_config_free (config);
  g_assert (base != NULL);
  return base;
}

static void
open_process (prc_t *prc)
{
  dmn_t *dmn = &prc->dmn;

  clk_init_running (&dmn->clk);
  dmn->incarnation = clk_wall_ms (&dmn->clk);
  dmn->counters = cnt_set_new ();
  cnt_set_value (cnt_get (dmn->counters, "medlarplank_incarnation",
                          "Milliseconds since 1970 at the start of the process."),
                 dmn->incarnation);
  prc->control_base = base_new ();
  prc->flusher = lfl_new (prc->control_base);
  prc->data_base = base_new ();
  dmn->to_control = mbx_new (prc->control_base, pass_to_control, prc);
  dmn->to_data = mbx_new (prc->data_base, pass_to_data, prc);
}

/* The signals go first: once a listener is open, a stop must already be a graceful one. */
static bool
start_tasks (prc_t *prc, GError **error)
{
  dmn_t *dmn = &prc->dmn;

  prc->on_sigterm = watch_signal (prc, SIGTERM);
  prc->on_sigint = watch_signal (prc, SIGINT);
  prc->ctrl = ctrl_new (dmn, prc->control_base, error);
  if (prc->ctrl == NULL)
    return false;
  if (dmn->set.role == SET_ROLE_ROUTER)
    prc->rtr = rtr_new (dmn, prc->data_base, error);
  else
    prc->sdc = sdc_new (dmn, prc->data_base, error);
  return prc->rtr != NULL || prc->sdc != NULL;
}

/* The tasks go before the mailboxes, as they may still send while they are freed. */
static void
close_process (prc_t *prc)
{
  if (prc->rtr != NULL)
    rtr_free (prc->rtr);
  if (prc->sdc != NULL)
    sdc_free (prc->sdc);
  if (prc->ctrl != NULL)
    ctrl_free (prc->ctrl);
  mbx_free (prc->dmn.to_data);
  mbx_free (prc->dmn.to_control);
  event_free (prc->on_sigterm);
  event_free (prc->on_sigint);
  event_base_free (prc->data_base);
  lfl_free (prc->flusher);
  event_base_free (prc->control_base);
  cnt_set_free (prc->dmn.counters);
  libevent_global_shutdown ();
}

/* A daemon whose data task is gone would stay listed and answer nobody: end it instead. */
static gpointer
run_data (gpointer data)
{
  prc_t *prc = data;

  event_base_dispatch (prc->data_base);
  if (!event_base_got_exit (prc->data_base))
    {
      prc->data_failed = true;
      event_base_loopbreak (prc->control_base);
    }
  return NULL;
}

/* The data thread blocks all signals, so that they reach the main thread only. */
static GThread *
start_data_thread (prc_t *prc)
{
  sigset_t all;
  sigset_t before;
  GThread *thread;

  sigfillset (&all);
  pthread_sigmask (SIG_SETMASK, &all, &before);
  thread = g_thread_new ("data", run_data, prc);
  pthread_sigmask (SIG_SETMASK, &before, NULL);
  return thread;
}

/* Return: whether both tasks ended as they should. */
static bool
run_tasks (prc_t *prc)
{
  GThread *data_thread = start_data_thread (prc);
  bool control_done;

  event_base_dispatch (prc->control_base);
  control_done = event_base_got_exit (prc->control_base);
  event_base_loopexit (prc->data_base, NULL);
  g_thread_join (data_thread);
  if (prc->data_failed)
    log_event (LOG_LEVEL_ERROR, "task_failed", "task", "data", NULL);
  else if (!control_done)
    log_event (LOG_LEVEL_ERROR, "task_failed", "task", "control", NULL);
  return control_done && !prc->data_failed;
}

static void
log_started (const dmn_t *dmn)
{
  log_event (LOG_LEVEL_NOTICE, "started", "version", SET_PROGRAM_VERSION, "role",
             dmn->set.role == SET_ROLE_ROUTER ? "router" : "sidecar", "incarnation",
             LOG_U64 (dmn->incarnation), NULL);
}

static int
run_process (prc_t *prc)
{
  GError *error = NULL;
  bool ended_well;

  open_process (prc);
  if (!start_tasks (prc, &error))
    {
      fprintf (stderr, "%s: cannot start: %s\n", PROGRAM, error->message);
      g_error_free (error);
      close_process (prc);
      return EXIT_FAILURE;
    }
  log_started (&prc->dmn);
  ended_well = run_tasks (prc);
  close_process (prc);
  log_event (LOG_LEVEL_NOTICE, "stopped", "graceful", ended_well ? "yes" : "no", NULL);
  log_flush ();
  return ended_well ? EXIT_SUCCESS : EXIT_FAILURE;
}

#define GATEWAY_SIGNALS 3

/** struct gateway - a gateway's process */
typedef struct
{
  clk_t clk;
  cnt_set_t *counters;
  struct event_base *base;
  lfl_t *flusher;
  gwp_t *gwp;
  uint64_t incarnation;
  struct event *signals[GATEWAY_SIGNALS];
} gateway_t;

static void
on_gateway_stop (evutil_socket_t number, short events, void *context)
{
  gateway_t *gateway = context;

  (void)events;
  log_event (LOG_LEVEL_NOTICE, "stop_signal", "signal", LOG_U64 ((uint64_t)number), NULL);
  gwp_stop (gateway->gwp);
}

/* The settings of a gateway are flags, so there is nothing to read again; no request is touched. */
static void
on_gateway_reload (evutil_socket_t number, short events, void *context)
{
  (void)number;
  (void)events;
  (void)context;
  log_event (LOG_LEVEL_NOTICE, "reload_signal", "changed", "nothing", NULL);
}

static struct event *
watch_gateway (gateway_t *gateway, int number, event_callback_fn handler)
{
  struct event *event = evsignal_new (gateway->base, number, handler, gateway);

  g_assert (event);
  event_add (event, NULL);
  return event;
}

/* The signals go first: once a listener is open, a stop must already be a graceful one. What comes
 * before the loop runs is told when it does. */
static void
watch_gateway_signals (gateway_t *gateway)
{
  gateway->signals[0] = watch_gateway (gateway, SIGTERM, on_gateway_stop);
  gateway->signals[1] = watch_gateway (gateway, SIGINT, on_gateway_stop);
  gateway->signals[2] = watch_gateway (gateway, SIGHUP, on_gateway_reload);
}

static void
gateway_clear (gateway_t *gateway)
{
  for (size_t i = 0; i < GATEWAY_SIGNALS; i++)
    event_free (gateway->signals[i]);
  lfl_free (gateway->flusher);
  event_base_free (gateway->base);
  cnt_set_free (gateway->counters);
}

static void
run_gateway_loop (gateway_t *gateway)
{
  log_event (LOG_LEVEL_NOTICE, "started", "version", SET_PROGRAM_VERSION, "role", "gateway",
             "incarnation", LOG_U64 (gateway->incarnation), NULL);
  event_base_dispatch (gateway->base);
  log_event (LOG_LEVEL_NOTICE, "stopped", "graceful",
             event_base_got_exit (gateway->base) ? "yes" : "no", NULL);
  log_flush ();
}

static int
run_gateway (const set_t *set)
{
  gateway_t gateway = { 0 };
  GError *error = NULL;
  bool ended_well;

  clk_init_running (&gateway.clk);
  gateway.incarnation = clk_wall_ms (&gateway.clk);
  gateway.counters = cnt_set_new ();
  gateway.base = base_new ();
  watch_gateway_signals (&gateway);
  gateway.flusher = lfl_new (gateway.base);
  gateway.gwp = gwp_new (
      &(gwp_options_t){ .base = gateway.base,
                        .clk = &gateway.clk,
                        .counters = gateway.counters,
                        .set = set,
                        .plt = pst_new (gateway.base, &set->platform),
                        .format = prf_format (),
                        .readers = { .routing = prc_read_routing, .engine = prc_read_engine },
                        .incarnation = gateway.incarnation },
      &error);
  if (!gateway.gwp)
    {
      fprintf (stderr, "%s: cannot start: %s\n", PROGRAM, error->message);
      g_error_free (error);
      gateway_clear (&gateway);
      return EXIT_FAILURE;
    }
  run_gateway_loop (&gateway);
  ended_well = event_base_got_exit (gateway.base);
  gwp_free (gateway.gwp);
  gateway_clear (&gateway);
  return ended_well ? EXIT_SUCCESS : EXIT_FAILURE;
}

static const char *
environ_get (const char *name)
{
  return getenv (name);
}

int
main (int argc, char **argv)
{
  prc_t prc = { 0 };
  GError *error = NULL;
  set_outcome_t outcome = set_load (&prc.dmn.set, argc, argv, environ_get, &error);

  if (outcome == SET_EXIT_0)
    return EXIT_SUCCESS;
  if (outcome == SET_EXIT_2)
    {
      fprintf (stderr, "%s: %s\n", PROGRAM, error->message);
      g_error_free (error);
      return EXIT_SETTINGS;
    }
  log_init (PROGRAM, prc.dmn.set.name, prc.dmn.set.log_level);
  log_open (STDOUT_FILENO);
  signal (SIGPIPE, SIG_IGN);
  if (prc.dmn.set.role != SET_ROLE_GATEWAY)
    signal (SIGHUP, SIG_IGN);
  evthread_use_pthreads ();
  event_set_log_callback (log_libevent);
  warn_of_file_limit (&prc.dmn.set);
  if (prc.dmn.set.role == SET_ROLE_GATEWAY)
    return run_gateway (&prc.dmn.set);
  return run_process (&prc);
}
