/**
 * DOC: session_random
 *
 * Randomized test: requests of all kinds while routers, sidecars and engines are killed, paused,
 * stopped and crashed, the log and the host list of the platform fail, and operators publish
 * manifests and drain hosts. All steps are drawn from a seed, which is printed and can be set by
 * the environment variable MEDLARPLANK_SEED. At the end all faults are removed. The transcript only
 * holds whether each invariant held, as the responses differ from run to run.
 */
#include "driver.h"

#include <CUnit/CUnit.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define MODELS 4
#define PLAINS 2
#define ROUTERS 2
#define HOSTS (MODELS + PLAINS)
#define TARGETS (ROUTERS + 2 * HOSTS)
#define STEPS 300
#define STEP_MS 45
#define DEADLINE_MS 3000
#define MARGIN_MS 2000   /* allowed over the deadline, for a loaded machine */
#define GRACE_US 2500000 /* after a host began to leave, until no run may begin there */
#define SETTLE_MS 25000  /* includes back-offs and the damping of hosts that restarted often */
#define GOOD_ROUNDS 3    /* consecutive rounds in which all requests are answered */
#define CRASH_TEXT "CRASH"
#define CRASH_NOTICE_US 300000 /* until the session notices a crash */
#define LIST_LAG_US 1000000    /* until all daemons have read a change of the host list */

typedef enum
{
  RUNNING,
  DEAD,
  PAUSED,
  STOPPING,
  LEAVING,
  STARTING /* started or continued, and not ready yet */
} state_t;

/**
 * struct target - A process that faults are injected into.
 * @host: Its host, NULL for routers.
 * @since_us: Monotonic time of the last change of its state.
 * @probe: Readiness request under way, or NULL.
 */
typedef struct
{
  driver_process_t *process;
  driver_host_t *host;
  state_t state;
  gint64 since_us;
  driver_call_t *probe;
} target_t;

/**
 * struct outage - Period in which a process was not in normal operation.
 * @planned: It was told to stop or to leave; this excuses no failed request.
 * @until_us: Monotonic end of the period, 0 if it has not ended.
 */
typedef struct
{
  const target_t *target;
  bool planned;
  gint64 from_us;
  gint64 until_us;
} outage_t;

typedef struct
{
  driver_t *driver;
  GRand *rand;
  target_t targets[TARGETS]; /* routers, then sidecars, then engines */
  GArray *outages;           /* outage_t */
  GPtrArray *keyed; /* driver_call_t: all requests with a key, of which the latest are sent again */
  uint32_t sent_count;
  uint32_t publishes;
  bool list_up;
  bool answered_late;     /* a response came later than the deadline and the margin */
  bool unanswered;        /* a caller got no response */
  bool truncated;         /* a response was truncated although no failure could explain it */
  bool ran_after_leaving; /* a run began on a host that had left */
  bool exited_wrongly; /* a daemon exited by itself, or with a status other than 0 when stopped */
} random_session_t;

static uint32_t
draw (random_session_t *session, uint32_t below)
{
  return (uint32_t)g_rand_int_range (session->rand, 0, (gint32)below);
}

static bool
is_router (const target_t *target)
{
  return target->host == NULL;
}

static bool
is_engine (const target_t *target)
{
  return target->process->role == DRIVER_ENGINE;
}

static const char *
role_name (const target_t *target)
{
  return is_router (target) ? "router" : is_engine (target) ? "engine" : "sidecar";
}

static void
set_state (random_session_t *session, target_t *target, state_t state)
{
  static const char *const names[] = { "running",  "dead",    "paused",
                                       "stopping", "leaving", "starting" };
  gint64 now_us = g_get_monotonic_time ();
  printf ("%s %s: %s\n", role_name (target), target->process->name, names[state]);
  if (target->state == RUNNING)
    {
      outage_t outage = { target, state == STOPPING || state == LEAVING, now_us, 0 };
      g_array_append_val (session->outages, outage);
    }
  for (guint i = 0; state == RUNNING && i < session->outages->len; i++)
    {
      outage_t *outage = &g_array_index (session->outages, outage_t, i);
      if (outage->target == target && outage->until_us == 0)
        outage->until_us = now_us;
    }
  target->state = state;
  target->since_us = now_us;
}

/* Return: Whether a failure of @target, or of any process if that is NULL, overlaps the period. */
static bool
failure_overlaps (const random_session_t *session,
                  const target_t *target,
                  uint64_t from_us,
                  uint64_t until_us)
{
  for (guint i = 0; i < session->outages->len; i++)
    {
      const outage_t *outage = &g_array_index (session->outages, outage_t, i);
      if (!outage->planned && (target == NULL || outage->target == target) &&
          outage->from_us <= (gint64)until_us + CRASH_NOTICE_US &&
          (outage->until_us == 0 || outage->until_us >= (gint64)from_us))
        return true;
    }
  return false;
}

/* Return: A random router in normal operation, or NULL. */
static target_t *
pick_router (random_session_t *session)
{
  uint32_t first = draw (session, ROUTERS);
  for (uint32_t i = 0; i < ROUTERS; i++)
    if (session->targets[(first + i) % ROUTERS].state == RUNNING)
      return &session->targets[(first + i) % ROUTERS];
  return NULL;
}

static driver_call_t *
send_via (random_session_t *session, target_t *router, driver_request_t *request)
{
  request->router = (uint32_t)(router - session->targets);
  request->deadline_ms = DEADLINE_MS;
  return driver_send_request (session->driver, request);
}

static void
step_request (random_session_t *session)
{
  target_t *router = pick_router (session);
  g_autofree char *name = g_strdup_printf ("ask %u", session->sent_count++);
  g_autofree char *chat = g_strdup_printf ("chat %u", draw (session, 30));
  driver_request_t request = { .name = name,
                               .chat = chat,
                               .kind = (driver_request_kind_t)draw (session, DRIVER_BOOKING + 1),
                               .account = draw (session, 2) == 0 ? "alpha" : "beta",
                               .tokens = 1 + draw (session, 60) };
  bool plain = request.kind == DRIVER_LOOKUP || request.kind == DRIVER_BOOKING;
  bool once = request.kind == DRIVER_TAG || request.kind == DRIVER_BOOKING;
  request.stream = !plain && draw (session, 2) == 0;
  request.key = once && draw (session, 3) > 0 ? name : NULL;
  if (router == NULL)
    return;
  driver_call_t *call = send_via (session, router, &request);
  if (call->key != NULL)
    g_ptr_array_add (session->keyed, call);
}

/* Sends one of the last requests with a key again, through any router. */
static void
step_resend (random_session_t *session)
{
  target_t *router = pick_router (session);
  guint count = session->keyed->len;
  if (router == NULL || count == 0)
    return;
  driver_call_t *first = session->keyed->pdata[count - 1 - draw (session, MIN (count, 8))];
  g_autofree char *name = g_strdup_printf ("resend %u of %s", session->sent_count++, first->name);
  driver_request_t request = { .name = name,
                               .same_body_as = first->key,
                               .kind = first->kind,
                               .account = first->account,
                               .key = first->key,
                               .stream = first->is_streamed,
                               .tokens = first->tokens };
  send_via (session, router, &request);
}

static void
step_crash (random_session_t *session)
{
  target_t *router = pick_router (session);
  g_autofree char *name = g_strdup_printf ("crash %u", session->sent_count++);
  driver_request_t request = { .name = name, .text = CRASH_TEXT, .stream = draw (session, 2) == 0 };
  if (router != NULL)
    send_via (session, router, &request);
}

static uint32_t
count_not_running (const random_session_t *session, bool routers, bool plain)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      const target_t *target = &session->targets[i];
      if (target->state != RUNNING && is_router (target) == routers &&
          (routers || target->host->is_plain == plain))
        count++;
    }
  return count;
}

/* Return: A random process that may fail now, or NULL. One router, the processes of two model hosts
 * and those of one plain host always stay in operation. */
static target_t *
pick_target (random_session_t *session, uint32_t count)
{
  target_t *target = &session->targets[draw (session, count)];
  bool plain = !is_router (target) && target->host->is_plain;
  uint32_t limit = is_router (target) || plain ? 1 : 2;
  return target->state == RUNNING && count_not_running (session, is_router (target), plain) < limit
             ? target
             : NULL;
}

static void
step_kill (random_session_t *session)
{
  target_t *target = pick_target (session, TARGETS);
  if (target == NULL)
    return;
  driver_process_kill (target->process);
  set_state (session, target, DEAD);
}

static void
step_pause (random_session_t *session)
{
  target_t *target = pick_target (session, TARGETS);
  if (target == NULL)
    return;
  driver_process_signal (target->process, SIGSTOP);
  set_state (session, target, PAUSED);
}

static void
step_stop (random_session_t *session)
{
  target_t *target = pick_target (session, ROUTERS + HOSTS);
  if (target == NULL)
    return;
  driver_process_signal (target->process, SIGTERM);
  set_state (session, target, STOPPING);
}

static void
step_drain (random_session_t *session)
{
  target_t *target = pick_target (session, ROUTERS + HOSTS);
  if (target == NULL || is_router (target))
    return;
  if (session->list_up && draw (session, 2) == 0)
    {
      target->host->state = "leaving";
      driver_update_host_list (session->driver);
    }
  else
    {
      g_autofree char *flags = g_strdup_printf ("drain %s --daemon=%s:%d", target->process->name,
                                                target->process->ip, DRIVER_PORT);
      driver_process_wait_exit (driver_start_ctl (session->driver, flags));
    }
  set_state (session, target, LEAVING);
}

static void
restart (random_session_t *session, target_t *target)
{
  driver_process_start (target->process);
  set_state (session, target, is_engine (target) ? RUNNING : STARTING);
}

static void
check_runs_after_leaving (random_session_t *session, driver_host_t *host)
{
  int64_t before = host->engine->max_runs;
  session->ran_after_leaving = session->ran_after_leaving ||
                               (before >= 0 && driver_engine_run_count (host->engine) > before);
  host->engine->max_runs = -1;
}

static void
repair (random_session_t *session, target_t *target)
{
  switch (target->state)
    {
    case DEAD:
      restart (session, target);
      break;
    case PAUSED:
      driver_process_signal (target->process, SIGCONT);
      set_state (session, target, is_engine (target) ? RUNNING : STARTING);
      break;
    case LEAVING:
      if (target->host->engine->max_runs < 0)
        break; /* its grace period has not ended */
      check_runs_after_leaving (session, target->host);
      target->host->state = "live";
      driver_update_host_list (session->driver);
      driver_process_signal (target->process, SIGTERM);
      set_state (session, target, STOPPING);
      break;
    default: /* handled by update_state() */
      break;
    }
}

static void
step_repair (random_session_t *session)
{
  uint32_t first = draw (session, TARGETS);
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      target_t *target = &session->targets[(first + i) % TARGETS];
      if (target->state == RUNNING || target->state == STOPPING || target->state == STARTING)
        continue;
      repair (session, target);
      return;
    }
}

static void
step_log (random_session_t *session)
{
  static const char *const faults[] = { "{'log': 'up'}",
                                        "{'log': 'up'}",
                                        "{'log': 'down'}",
                                        "{'log': 'slow', 'slow_ms': 400}",
                                        "{'log': 'slow_effect', 'slow_ms': 400}",
                                        "{'log': 'lose_answers', 'count': 4}",
                                        "{'log': 'lose_appends', 'count': 4}",
                                        "{'log': 'refuse', 'count': 4}" };
  const char *fault = faults[draw (session, G_N_ELEMENTS (faults))];
  printf ("%s\n", fault);
  driver_set_fault (session->driver, fault);
}

/* Return: Whether a host may not have read yet that it is listed as leaving; the list must not fail
 * before. */
static bool
is_list_change_recent (const random_session_t *session)
{
  for (uint32_t i = 0; i < TARGETS; i++)
    if (session->targets[i].state == LEAVING &&
        g_get_monotonic_time () - session->targets[i].since_us < LIST_LAG_US)
      return true;
  return false;
}

static void
step_list (random_session_t *session)
{
  static const char *const faults[] = { "{'list': 'up', 'view': {'r1': 'up', 'm1': 'up'}}",
                                        "{'list': 'stale'}", "{'list': 'down'}",
                                        "{'view': {'r1': 'stale'}}", "{'view': {'m1': 'stale'}}" };
  uint32_t fault = draw (session, G_N_ELEMENTS (faults));
  if (is_list_change_recent (session))
    return;
  session->list_up = fault == 0;
  printf ("%s\n", faults[fault]);
  driver_set_fault (session->driver, faults[fault]);
}

/* Return: The manifest version that the records in the log lead to. As in the daemons, only the
 * order of the records counts, not the responses that the publishers got. */
static uint64_t
version_in_log (random_session_t *session)
{
  json_t *log =
      driver_admin_call (session->driver->platform, "GET", "/admin/log?stream=manifest", NULL);
  uint64_t version = 0;
  size_t index;
  json_t *entry;
  json_array_foreach (json_object_get (log, "records"), index, entry)
    {
      json_t *record = json_loads (json_string_value (json_object_get (entry, "data")), 0, NULL);
      const char *kind = json_string_value (json_object_get (record, "kind"));
      if (g_strcmp0 (kind, "publish") == 0 &&
          (uint64_t)json_integer_value (json_object_get (record, "base")) == version)
        version++;
      json_decref (record);
    }
  json_decref (log);
  return version;
}

static void
publish (random_session_t *session, uint64_t base)
{
  uint32_t number = session->publishes++;
  g_autofree char *id = g_strdup_printf ("random %u", number);
  json_t *record = json_pack ("{s:s, s:s, s:I, s:s, s:{s:{s:{s:i}}}}", "kind", "publish", "id", id,
                              "base", (json_int_t)base, "by", "session", "patch", "client_accounts",
                              "beta", "weight", (int)(1000 + number));
  char *body = json_dumps (record, JSON_COMPACT);
  driver_send_http (session->driver, session->driver->platform->ip, "POST",
                    "/log/append?stream=manifest", NULL, body);
  free (body);
  json_decref (record);
}

static void
step_publish (random_session_t *session)
{
  publish (session, version_in_log (session));
}

static void
step_race (random_session_t *session)
{
  uint64_t base = version_in_log (session);
  publish (session, base);
  publish (session, base);
}

/* Updates the state of a process that has exited, become ready, or whose grace period has ended. */
static void
update_state (random_session_t *session, target_t *target)
{
  gint64 age_us = g_get_monotonic_time () - target->since_us;
  bool ended = driver_process_reap (target->process);
  if (ended && target->state == STOPPING)
    {
      session->exited_wrongly = session->exited_wrongly || target->process->status != 0;
      restart (session, target);
    }
  else if (ended && target->state != DEAD)
    {
      session->exited_wrongly = session->exited_wrongly || !is_engine (target);
      set_state (session, target, DEAD);
    }
  if (target->state == LEAVING && age_us > GRACE_US && target->host->engine->max_runs < 0)
    driver_host_forbid_new_runs (target->host);
  if (target->state == STARTING && target->probe == NULL)
    target->probe =
        driver_send_http (session->driver, target->process->ip, "GET", "/readyz", NULL, NULL);
  if (target->probe == NULL || target->probe->outcome == DRIVER_OUTCOME_PENDING)
    return;
  if (target->state == STARTING && target->probe->status == 200)
    set_state (session, target, RUNNING);
  target->probe = NULL;
}

static void
update_all_states (random_session_t *session)
{
  for (uint32_t i = 0; i < TARGETS; i++)
    update_state (session, &session->targets[i]);
}

static void
run_steps (random_session_t *session)
{
  static const struct
  {
    uint32_t weight;
    void (*run) (random_session_t *session);
  } steps[] = { { 60, step_request }, { 12, step_resend }, { 8, step_repair },  { 3, step_kill },
                { 3, step_pause },    { 2, step_stop },    { 2, step_drain },   { 1, step_crash },
                { 4, step_log },      { 3, step_list },    { 1, step_publish }, { 1, step_race } };
  for (uint32_t i = 0; i < STEPS && !session->driver->failed; i++)
    {
      uint32_t at = draw (session, 100);
      uint32_t step = 0;
      while (at >= steps[step].weight)
        at -= steps[step++].weight;
      steps[step].run (session);
      driver_run_loop (session->driver, draw (session, 2 * STEP_MS));
      update_all_states (session);
    }
}

static bool
all_answered (const driver_t *driver)
{
  for (guint i = 0; i < driver->calls->len; i++)
    if (((driver_call_t *)driver->calls->pdata[i])->outcome == DRIVER_OUTCOME_PENDING)
      return false;
  return true;
}

/* All calls must have ended as well: a request that crashes engines may still be retried on
 * another. */
static bool
all_running (void *context)
{
  random_session_t *session = context;
  bool is_running = all_answered (session->driver);
  update_all_states (session);
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      repair (session, &session->targets[i]);
      is_running =
          is_running && session->targets[i].state == RUNNING && session->targets[i].probe == NULL;
    }
  return is_running;
}

static bool
all_at_same_version (void *context)
{
  random_session_t *session = context;
  uint64_t version = version_in_log (session);
  for (uint32_t i = 0; i < ROUTERS + HOSTS; i++)
    if (driver_process_version (session->targets[i].process) != version)
      return false;
  return true;
}

static bool
run_round (random_session_t *session)
{
  driver_call_t *calls[ROUTERS * (DRIVER_BOOKING + 1)];
  bool answered = true;
  for (uint32_t i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      g_autofree char *name = g_strdup_printf ("settled %u", session->sent_count++);
      driver_request_t request = { .name = name,
                                   .chat = name,
                                   .kind = (driver_request_kind_t)(i / ROUTERS) };
      request.key = request.kind == DRIVER_TAG || request.kind == DRIVER_BOOKING ? name : NULL;
      calls[i] = send_via (session, &session->targets[i % ROUTERS], &request);
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      driver_call_wait (calls[i]);
      answered = answered && driver_call_is_correct (calls[i]);
    }
  return answered;
}

static bool
all_engines_work (const random_session_t *session, const uint32_t *before)
{
  for (uint32_t i = 0; i < HOSTS; i++)
    if (driver_engine_run_count (session->driver->hosts[i].engine) == before[i])
      return false;
  return true;
}

/* Return: Whether within SETTLE_MS requests of all kinds are answered through all routers in
 * GOOD_ROUNDS consecutive rounds, and every engine has run some of them. */
static bool
recovers (random_session_t *session)
{
  uint32_t before[HOSTS];
  uint32_t answered = 0;
  gint64 limit_us = g_get_monotonic_time () + SETTLE_MS * 1000;
  for (uint32_t i = 0; i < HOSTS; i++)
    before[i] = driver_engine_run_count (session->driver->hosts[i].engine);
  while (!session->driver->failed && g_get_monotonic_time () < limit_us)
    {
      answered = run_round (session) ? answered + 1 : 0;
      if (answered >= GOOD_ROUNDS && all_engines_work (session, before))
        return true;
      driver_run_loop (session->driver, answered > 0 ? 1 : STEP_MS);
    }
  return false;
}

static void
report_violation (const driver_call_t *call, const char *what, bool *flag)
{
  printf ("%s, request %s, %s: status %d, after %u ms\n", call->name,
          driver_call_header (call, "x-medlarplank-request"), what, call->status,
          (uint32_t)((call->ended_us - call->sent_us) / 1000));
  *flag = true;
}

static const target_t *
router_of (const random_session_t *session, const driver_call_t *call)
{
  return &session->targets[call->router];
}

static void
check_call (random_session_t *session, const driver_call_t *call)
{
  bool is_excused =
      failure_overlaps (session, router_of (session, call), call->sent_us, call->ended_us);
  uint64_t head_us = call->head_us != 0 ? call->head_us : call->ended_us;
  if (is_excused)
    return;
  if (head_us - call->sent_us > (DEADLINE_MS + MARGIN_MS) * 1000)
    report_violation (call, "answered too late", &session->answered_late);
  if (call->outcome == DRIVER_OUTCOME_NO_RESPONSE || call->outcome == DRIVER_OUTCOME_CANCELLED)
    report_violation (call, "without a response", &session->unanswered);
  if (call->outcome == DRIVER_OUTCOME_TRUNCATED &&
      (!call->is_streamed || !failure_overlaps (session, NULL, call->sent_us, call->ended_us)))
    report_violation (call, "truncated", &session->truncated);
}

static void
check_all_calls (random_session_t *session)
{
  uint32_t answered = 0;
  uint32_t refused = 0;
  uint32_t all = 0;
  for (guint i = 0; i < session->driver->calls->len; i++)
    {
      const driver_call_t *call = session->driver->calls->pdata[i];
      if (call->name == NULL)
        continue;
      check_call (session, call);
      all++;
      answered += driver_call_is_correct (call) ? 1 : 0;
      refused += strcmp (driver_call_verdict (call), "not_run") == 0 ? 1 : 0;
    }
  printf ("%u requests, %u answered, %u not run, %u other\n", all, answered, refused,
          all - answered - refused);
}

static void
add_result (random_session_t *session, const char *what, bool held)
{
  driver_transcript_add (session->driver, "%s: %s", what, held ? "yes" : "no");
}

static void
add_targets (random_session_t *session)
{
  driver_t *driver = session->driver;
  target_t *next = session->targets;
  for (uint32_t i = 0; i < ROUTERS; i++)
    *next++ = (target_t){ .process = driver->routers[i] };
  for (uint32_t i = 0; i < HOSTS; i++)
    *next++ = (target_t){ .process = driver->hosts[i].sidecar, .host = &driver->hosts[i] };
  for (uint32_t i = 0; i < HOSTS; i++)
    *next++ = (target_t){ .process = driver->hosts[i].engine, .host = &driver->hosts[i] };
}

static uint32_t
seed_of_run (void)
{
  const char *text = g_getenv ("MEDLARPLANK_SEED");
  uint32_t seed = text != NULL ? (uint32_t)strtoul (text, NULL, 10) : g_random_int ();
  printf ("seed %u\n", seed);
  return seed;
}

static void
test_random (void)
{
  uint32_t seed = seed_of_run ();
  random_session_t session = { .driver = driver_new ("random"),
                               .list_up = true,
                               .rand = g_rand_new_with_seed (seed),
                               .outages = g_array_new (FALSE, FALSE, sizeof (outage_t)),
                               .keyed = g_ptr_array_new () };
  driver_fleet_t fleet = { .model_hosts = MODELS,
                           .plain_hosts = PLAINS,
                           .routers = ROUTERS,
                           .engine_flags = "--service-us=60000 --crash-on=" CRASH_TEXT };
  driver_start (session.driver, &fleet);
  add_targets (&session);
  run_steps (&session);
  driver_set_fault (session.driver,
                    "{'log': 'up', 'list': 'up', 'view': {'r1': 'up', 'm1': 'up'}}");
  bool is_running =
      driver_wait_until (session.driver, 2 * DRIVER_WAIT_LIMIT_MS,
                         "all processes to be in operation again", all_running, &session);
  is_running = is_running &&
               driver_wait_until (session.driver, DRIVER_WAIT_LIMIT_MS,
                                  "the same version at all daemons", all_at_same_version, &session);
  add_result (&session, "all processes are fit again, and in one version", is_running);
  add_result (&session, "requests of all kinds are answered again", recovers (&session));
  check_all_calls (&session);
  add_result (&session, "no caller was left without an answer", !session.unanswered);
  add_result (&session, "no answer was held beyond its deadline", !session.answered_late);
  add_result (&session, "no answer was cut but by a failure", !session.truncated);
  add_result (&session, "nothing began on a host after its grace", !session.ran_after_leaving);
  add_result (&session, "no daemon ended but as it was told", !session.exited_wrongly);
  driver_finish (session.driver);
  printf ("seed %u\n", seed);
  g_array_free (session.outages, TRUE);
  g_ptr_array_free (session.keyed, TRUE);
  g_rand_free (session.rand);
}

int
main (void)
{
  static const driver_test_t tests[] = { { "seeded faults and requests", test_random } };
  return driver_main ("random", tests, G_N_ELEMENTS (tests));
}
