/**
 * DOC: main
 *
 * Entry point of the daemon medlarplankd, which runs as a router, a sidecar or a gateway.
 *
 * A router or sidecar has two tasks that share only the counters and their mailboxes: the control
 * task on the main thread, which also receives the signals, and the data task on its own thread. A
 * gateway runs on the main thread alone.
 */
#include "base/log_flusher.h"
#include "platform/records.h"
#include "platform/request_format.h"
#include "platform/store.h"
#include "base/daemon.h"
#include "connection/http_server.h"
#include "connection/socket.h"
#include "process/control.h"
#include "request/router/router.h"
#include "request/sidecar/sidecar.h"
#include "process/gateway_process.h"
#include "request/messages.h"
#include "request/policy/queueing/connection_room.h"

#include <event2/thread.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define PROGRAM "medlarplankd"
#define EXIT_BAD_SETTINGS 2

/**
 * struct member_process - state of a router or sidecar process
 * @router_task: data task of a router, else NULL
 * @sidecar_task: data task of a sidecar, else NULL
 * @draining: the stop signal came
 * @data_failed: the data task's event loop ended without being told to; valid once its thread was
 *   joined
 */
typedef struct
{
  daemon_t daemon;
  struct event_base *control_base;
  log_flusher_t *flusher;
  struct event_base *data_base;
  control_t *control_task;
  router_t *router_task;
  sidecar_t *sidecar_task;
  struct event *on_sigterm;
  struct event *on_sigint;
  bool draining;
  bool data_failed;
} member_process_t;

static void
log_libevent (int severity, const char *text)
{
  if (severity == EVENT_LOG_ERR)
    log_event (LOG_LEVEL_ERROR, "libevent", "text", text, NULL);
  else if (severity == EVENT_LOG_WARN)
    log_event (LOG_LEVEL_WARNING, "libevent", "text", text, NULL);
}

static void
deliver_to_control (mailbox_message_t *message, void *context)
{
  member_process_t *process = context;

  control_handle_message (message, process->control_task);
}

static void
deliver_to_data (mailbox_message_t *message, void *context)
{
  member_process_t *process = context;

  if (process->router_task != NULL)
    router_handle_message (message, process->router_task);
  else
    sidecar_handle_message (message, process->sidecar_task);
}

/*
 * A supervisor or an operator may send a second signal before the stop is complete. With its
 * default action it would end the process and break every request in flight, so the handlers stay
 * installed and ignore it.
 */
static void
on_stop_signal (evutil_socket_t number, short events, void *context)
{
  member_process_t *process = context;
  message_flag_t *drain;

  (void)events;
  log_event (LOG_LEVEL_NOTICE, "stop_signal", "signal", LOG_U64 ((uint64_t)number), "first",
             process->draining ? "no" : "yes", NULL);
  if (process->draining)
    return;
  process->draining = true;
  drain = message_new (MESSAGE_DRAIN);
  drain->on = true;
  mailbox_send (process->daemon.to_control, &drain->head);
}

static struct event *
watch_signal (member_process_t *process, int number)
{
  struct event *event = evsignal_new (process->control_base, number, on_stop_signal, process);

  g_assert (event != NULL);
  event_add (event, NULL);
  return event;
}

static void
check_file_limit (const settings_t *settings)
{
  uint64_t wanted =
      (uint64_t)settings->connection_limit * CONNECTION_ROOM_FILES + CONNECTION_ROOM_OTHER_FILES;
  uint32_t limit = socket_file_limit (settings->file_limit);

  if (limit == 0 || limit >= wanted)
    return;
  log_event (LOG_LEVEL_WARNING, "file_limit_low", "limit", LOG_U64 (limit), "wanted",
             LOG_U64 (wanted), NULL);
}

/*
 * Precise timers: the coarse clock is up to 4 ms off at 250 ticks a second, longer than a request's
 * hop between two daemons takes. Change list: a keep-alive connection switches between reading and
 * writing for each request; each switch costs a system call unless the changes of one turn of the
 * event loop are combined.
 */
static struct event_base *
new_event_base (void)
{
  struct event_config *config = event_config_new ();
  struct event_base *base;

  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_config_set_flag (config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  base = event_base_new_with_config (config);
  event_config_free (config);
  g_assert (base != NULL);
  if (event_base_priority_init (base, HTTP_SERVER_PRIORITIES) < 0)
    g_assert_not_reached ();
  return base;
}

static void
open_process (member_process_t *process)
{
  daemon_t *daemon = &process->daemon;

  clock_init_running (&daemon->clock);
  daemon->incarnation = clock_wall_ms (&daemon->clock);
  daemon->counters = counter_registry_new ();
  counter_set (counter_get (daemon->counters, "medlarplank_incarnation",
                            "Milliseconds since 1970 at the start of the process."),
               daemon->incarnation);
  process->control_base = new_event_base ();
  process->flusher = log_flusher_new (process->control_base);
  process->data_base = new_event_base ();
  daemon->to_control = mailbox_new (process->control_base, deliver_to_control, process);
  daemon->to_data = mailbox_new (process->data_base, deliver_to_data, process);
}

/* Signal handlers come first: a stop must be graceful as soon as a listener is open. */
static bool
start_tasks (member_process_t *process, GError **error)
{
  daemon_t *daemon = &process->daemon;

  process->on_sigterm = watch_signal (process, SIGTERM);
  process->on_sigint = watch_signal (process, SIGINT);
  process->control_task = control_new (daemon, process->control_base, error);
  if (process->control_task == NULL)
    return false;
  if (daemon->settings.role == SETTINGS_ROLE_ROUTER)
    process->router_task = router_new (daemon, process->data_base, error);
  else
    process->sidecar_task = sidecar_new (daemon, process->data_base, error);
  return process->router_task != NULL || process->sidecar_task != NULL;
}

/* The tasks are freed before the mailboxes, to which they may still send while they are freed. */
static void
close_process (member_process_t *process)
{
  if (process->router_task != NULL)
    router_free (process->router_task);
  if (process->sidecar_task != NULL)
    sidecar_free (process->sidecar_task);
  if (process->control_task != NULL)
    control_free (process->control_task);
  mailbox_free (process->daemon.to_data);
  mailbox_free (process->daemon.to_control);
  event_free (process->on_sigterm);
  event_free (process->on_sigint);
  event_base_free (process->data_base);
  log_flusher_free (process->flusher);
  event_base_free (process->control_base);
  counter_registry_free (process->daemon.counters);
  libevent_global_shutdown ();
}

/* Ends the process if the data task fails: otherwise the daemon would stay listed without answering
 * any request. */
static gpointer
run_data (gpointer data)
{
  member_process_t *process = data;

  event_base_dispatch (process->data_base);
  if (!event_base_got_exit (process->data_base))
    {
      process->data_failed = true;
      event_base_loopbreak (process->control_base);
    }
  return NULL;
}

/* The data thread blocks all signals, so that they reach the main thread only. */
static GThread *
start_data_thread (member_process_t *process)
{
  sigset_t all;
  sigset_t before;
  GThread *thread;

  sigfillset (&all);
  pthread_sigmask (SIG_SETMASK, &all, &before);
  thread = g_thread_new ("data", run_data, process);
  pthread_sigmask (SIG_SETMASK, &before, NULL);
  return thread;
}

/* Return: whether both tasks ended as told. */
static bool
run_tasks (member_process_t *process)
{
  GThread *data_thread = start_data_thread (process);
  bool control_done;

  event_base_dispatch (process->control_base);
  control_done = event_base_got_exit (process->control_base);
  event_base_loopexit (process->data_base, NULL);
  g_thread_join (data_thread);
  if (process->data_failed)
    log_event (LOG_LEVEL_ERROR, "task_failed", "task", "data", NULL);
  else if (!control_done)
    log_event (LOG_LEVEL_ERROR, "task_failed", "task", "control", NULL);
  return control_done && !process->data_failed;
}

static void
log_started (const daemon_t *daemon)
{
  log_event (LOG_LEVEL_NOTICE, "started", "version", PROGRAM_VERSION, "role",
             daemon->settings.role == SETTINGS_ROLE_ROUTER ? "router" : "sidecar", "incarnation",
             LOG_U64 (daemon->incarnation), NULL);
}

static int
run_process (member_process_t *process)
{
  GError *error = NULL;
  bool ended_as_told;

  open_process (process);
  if (!start_tasks (process, &error))
    {
      fprintf (stderr, "%s: cannot start: %s\n", PROGRAM, error->message);
      g_error_free (error);
      close_process (process);
      return EXIT_FAILURE;
    }
  log_started (&process->daemon);
  ended_as_told = run_tasks (process);
  close_process (process);
  log_event (LOG_LEVEL_NOTICE, "stopped", "graceful", ended_as_told ? "yes" : "no", NULL);
  log_flush ();
  return ended_as_told ? EXIT_SUCCESS : EXIT_FAILURE;
}

#define GATEWAY_SIGNALS 3

/** struct gateway - state of a gateway process */
typedef struct
{
  clock_source_t clock;
  counter_registry_t *counters;
  struct event_base *base;
  log_flusher_t *flusher;
  gateway_process_t *process;
  uint64_t incarnation;
  struct event *signals[GATEWAY_SIGNALS];
} gateway_t;

static void
on_gateway_stop (evutil_socket_t number, short events, void *context)
{
  gateway_t *gateway = context;

  (void)events;
  log_event (LOG_LEVEL_NOTICE, "stop_signal", "signal", LOG_U64 ((uint64_t)number), NULL);
  gateway_process_stop (gateway->process);
}

/* A gateway gets its settings as command-line flags, so there is nothing to reload; without this
 * handler SIGHUP would end the process. */
static void
on_gateway_reload (evutil_socket_t number, short events, void *context)
{
  (void)number;
  (void)events;
  (void)context;
  log_event (LOG_LEVEL_NOTICE, "reload_signal", "changed", "nothing", NULL);
}

static struct event *
watch_gateway_signal (gateway_t *gateway, int number, event_callback_fn handler)
{
  struct event *event = evsignal_new (gateway->base, number, handler, gateway);

  g_assert (event);
  event_add (event, NULL);
  return event;
}

/* Signal handlers are installed first, since a stop must be graceful as soon as a listener is open.
 * A signal that comes before the event loop runs is handled once it does. */
static void
watch_gateway_signals (gateway_t *gateway)
{
  gateway->signals[0] = watch_gateway_signal (gateway, SIGTERM, on_gateway_stop);
  gateway->signals[1] = watch_gateway_signal (gateway, SIGINT, on_gateway_stop);
  gateway->signals[2] = watch_gateway_signal (gateway, SIGHUP, on_gateway_reload);
}

static void
close_gateway (gateway_t *gateway)
{
  for (size_t i = 0; i < GATEWAY_SIGNALS; i++)
    event_free (gateway->signals[i]);
  log_flusher_free (gateway->flusher);
  event_base_free (gateway->base);
  counter_registry_free (gateway->counters);
}

static void
run_gateway_loop (gateway_t *gateway)
{
  log_event (LOG_LEVEL_NOTICE, "started", "version", PROGRAM_VERSION, "role", "gateway",
             "incarnation", LOG_U64 (gateway->incarnation), NULL);
  event_base_dispatch (gateway->base);
  log_event (LOG_LEVEL_NOTICE, "stopped", "graceful",
             event_base_got_exit (gateway->base) ? "yes" : "no", NULL);
  log_flush ();
}

static int
run_gateway (const settings_t *settings)
{
  gateway_t gateway = { 0 };
  GError *error = NULL;
  bool ended_as_told;

  clock_init_running (&gateway.clock);
  gateway.incarnation = clock_wall_ms (&gateway.clock);
  gateway.counters = counter_registry_new ();
  gateway.base = new_event_base ();
  watch_gateway_signals (&gateway);
  gateway.flusher = log_flusher_new (gateway.base);
  gateway.process = gateway_process_new (
      &(gateway_process_options_t){ .base = gateway.base,
                                    .clock = &gateway.clock,
                                    .counters = gateway.counters,
                                    .settings = settings,
                                    .platform = store_new (gateway.base, &settings->platform),
                                    .format = request_format_get (),
                                    .readers = { .routing = records_read_routing,
                                                 .version = records_read_version,
                                                 .engine = records_read_engine },
                                    .incarnation = gateway.incarnation },
      &error);
  if (!gateway.process)
    {
      fprintf (stderr, "%s: cannot start: %s\n", PROGRAM, error->message);
      g_error_free (error);
      close_gateway (&gateway);
      return EXIT_FAILURE;
    }
  run_gateway_loop (&gateway);
  ended_as_told = event_base_got_exit (gateway.base);
  gateway_process_free (gateway.process);
  close_gateway (&gateway);
  return ended_as_told ? EXIT_SUCCESS : EXIT_FAILURE;
}

static const char *
get_environment (const char *name)
{
  return getenv (name);
}

int
main (int argc, char **argv)
{
  member_process_t process = { 0 };
  GError *error = NULL;
  settings_outcome_t outcome =
      settings_load (&process.daemon.settings, argc, argv, get_environment, &error);

  if (outcome == SETTINGS_EXIT_SUCCESS)
    return EXIT_SUCCESS;
  if (outcome == SETTINGS_EXIT_USAGE)
    {
      fprintf (stderr, "%s: %s\n", PROGRAM, error->message);
      g_error_free (error);
      return EXIT_BAD_SETTINGS;
    }
  log_init (PROGRAM, process.daemon.settings.name, process.daemon.settings.log_level);
  log_open_buffered (STDOUT_FILENO);
  signal (SIGPIPE, SIG_IGN);
  if (process.daemon.settings.role != SETTINGS_ROLE_GATEWAY)
    signal (SIGHUP, SIG_IGN);
  evthread_use_pthreads ();
  event_set_log_callback (log_libevent);
  check_file_limit (&process.daemon.settings);
  if (process.daemon.settings.role == SETTINGS_ROLE_GATEWAY)
    return run_gateway (&process.daemon.settings);
  return run_process (&process);
}
