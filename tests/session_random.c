/**
 * DOC: session_random
 *
 * Requests of all kinds, while routers, sidecars and engines are killed, frozen, stopped and
 * crashed, the platform's log and list fail, and operators publish and drain; all drawn from a
 * seed, which is printed and can be given as MEDLARPLANK_SEED. In the end all is healed. The
 * transcript tells whether what must hold held, as what the callers got differs from run to run.
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
#define VICTIMS (ROUTERS + 2 * HOSTS)
#define STEPS 300
#define STEP_MS 45
#define DEADLINE_MS 3000
#define MARGIN_MS 2000   /* over the deadline, on a machine that does much else */
#define GRACE_US 2500000 /* after a host began to leave, until nothing new may begin there */
#define SETTLE_MS 25000  /* back-offs and damping of flapping hosts included */
#define KEYS 64
#define GOOD_ROUNDS 3
#define CRASH_TEXT "CRASH"
#define SLACK_US 300000 /* until a crash is noticed */
#define LIST_LAG_US 1000000

typedef enum
{
  FIT,
  DEAD,
  FROZEN,
  STOPPING,
  LEAVING,
  WAKING /* started or thawed, and not ready yet */
} state_t;

/** struct victim - a process that faults happen to */
typedef struct
{
  drv_process_t *process;
  drv_host_t *host; /* NULL for routers */
  state_t state;
  gint64 since_us;
  drv_call_t *probe;
} victim_t;

/**
 * struct gap - when a process was not fit
 * @until_us: 0 while it still is not
 * @planned: it was told to stop or to leave, which excuses nothing
 */
typedef struct
{
  const victim_t *victim;
  bool planned;
  gint64 from_us;
  gint64 until_us;
} gap_t;

typedef struct
{
  drv_t *drv;
  GRand *rand;
  victim_t victims[VICTIMS]; /* routers, then sidecars, then engines */
  GArray *gaps;              /* gap_t */
  GPtrArray *keyed;          /* drv_call_t: latest requests with a key, for resends */
  uint32_t asked;
  uint32_t publishes;
  bool list_up;
  bool late;   /* an answer was held beyond its deadline */
  bool lost;   /* a caller was left without an answer */
  bool cut;    /* an answer was cut and nothing had happened that could excuse it */
  bool worked; /* something began on a host that had left */
  bool hung;   /* a daemon ended by itself, or didn't stop when asked */
} random_t;

static uint32_t
draw (random_t *rnd, uint32_t below)
{
  return (uint32_t)g_rand_int_range (rnd->rand, 0, (gint32)below);
}

static bool
is_router (const victim_t *victim)
{
  return victim->host == NULL;
}

static bool
is_engine (const victim_t *victim)
{
  return victim->process->role == DRV_ENGINE;
}

static const char *
role_name (const victim_t *victim)
{
  return is_router (victim) ? "router" : is_engine (victim) ? "engine" : "sidecar";
}

static void
set_state (random_t *rnd, victim_t *victim, state_t state)
{
  static const char *const names[] = { "fit", "dead", "frozen", "stopping", "leaving", "waking" };
  gint64 now_us = g_get_monotonic_time ();
  printf ("%s %s: %s\n", role_name (victim), victim->process->name, names[state]);
  if (victim->state == FIT)
    {
      gap_t gap = { victim, state == STOPPING || state == LEAVING, now_us, 0 };
      g_array_append_val (rnd->gaps, gap);
    }
  for (guint i = 0; state == FIT && i < rnd->gaps->len; i++)
    {
      gap_t *gap = &g_array_index (rnd->gaps, gap_t, i);
      if (gap->victim == victim && gap->until_us == 0)
        gap->until_us = now_us;
    }
  victim->state = state;
  victim->since_us = now_us;
}

/* Whether a failure was under way meanwhile, of @victim or of anything when that is NULL. */
static bool
disturbed (const random_t *rnd, const victim_t *victim, uint64_t from_us, uint64_t until_us)
{
  for (guint i = 0; i < rnd->gaps->len; i++)
    {
      const gap_t *gap = &g_array_index (rnd->gaps, gap_t, i);
      if (!gap->planned && (victim == NULL || gap->victim == victim) &&
          gap->from_us <= (gint64)until_us + SLACK_US &&
          (gap->until_us == 0 || gap->until_us >= (gint64)from_us))
        return true;
    }
  return false;
}

/* Return: a fit router, or NULL. */
static victim_t *
some_router (random_t *rnd)
{
  uint32_t first = draw (rnd, ROUTERS);
  for (uint32_t i = 0; i < ROUTERS; i++)
    if (rnd->victims[(first + i) % ROUTERS].state == FIT)
      return &rnd->victims[(first + i) % ROUTERS];
  return NULL;
}

static drv_call_t *
ask_by (random_t *rnd, victim_t *router, drv_ask_t *ask)
{
  ask->router = (uint32_t)(router - rnd->victims);
  ask->deadline_ms = DEADLINE_MS;
  return drv_ask (rnd->drv, ask);
}

static void
step_ask (random_t *rnd)
{
  victim_t *router = some_router (rnd);
  g_autofree char *name = g_strdup_printf ("ask %u", rnd->asked++);
  g_autofree char *chat = g_strdup_printf ("chat %u", draw (rnd, 30));
  drv_ask_t ask = { .name = name,
                    .chat = chat,
                    .kind = (drv_kind_t)draw (rnd, DRV_BOOKING + 1),
                    .account = draw (rnd, 2) == 0 ? "alpha" : "beta",
                    .tokens = 1 + draw (rnd, 60) };
  bool plain = ask.kind == DRV_LOOKUP || ask.kind == DRV_BOOKING;
  bool once = ask.kind == DRV_TAG || ask.kind == DRV_BOOKING;
  ask.stream = !plain && draw (rnd, 2) == 0;
  ask.key = once && draw (rnd, 3) > 0 ? name : NULL;
  if (router == NULL)
    return;
  drv_call_t *call = ask_by (rnd, router, &ask);
  if (call->key != NULL)
    g_ptr_array_add (rnd->keyed, call);
}

/* The caller sends one of its last keyed requests again, through any router. */
static void
step_resend (random_t *rnd)
{
  victim_t *router = some_router (rnd);
  guint count = rnd->keyed->len;
  if (router == NULL || count == 0)
    return;
  drv_call_t *first = rnd->keyed->pdata[count - 1 - draw (rnd, MIN (count, 8))];
  g_autofree char *name = g_strdup_printf ("resend %u of %s", rnd->asked++, first->name);
  drv_ask_t ask = { .name = name,
                    .same_body_as = first->key,
                    .kind = first->kind,
                    .account = first->account,
                    .key = first->key,
                    .stream = first->is_streamed,
                    .tokens = first->tokens };
  ask_by (rnd, router, &ask);
}

static void
step_crash (random_t *rnd)
{
  victim_t *router = some_router (rnd);
  g_autofree char *name = g_strdup_printf ("crash %u", rnd->asked++);
  drv_ask_t ask = { .name = name, .text = CRASH_TEXT, .stream = draw (rnd, 2) == 0 };
  if (router != NULL)
    ask_by (rnd, router, &ask);
}

static uint32_t
unfit (const random_t *rnd, bool routers, bool plain)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < VICTIMS; i++)
    {
      const victim_t *victim = &rnd->victims[i];
      if (victim->state != FIT && is_router (victim) == routers &&
          (routers || victim->host->is_plain == plain))
        count++;
    }
  return count;
}

/* Return: a process that may fail now, or NULL: of the routers one is left, of the models two. */
static victim_t *
some_victim (random_t *rnd, uint32_t count)
{
  victim_t *victim = &rnd->victims[draw (rnd, count)];
  bool plain = !is_router (victim) && victim->host->is_plain;
  uint32_t limit = is_router (victim) || plain ? 1 : 2;
  return victim->state == FIT && unfit (rnd, is_router (victim), plain) < limit ? victim : NULL;
}

static void
step_kill (random_t *rnd)
{
  victim_t *victim = some_victim (rnd, VICTIMS);
  if (victim == NULL)
    return;
  drv_kill (victim->process);
  set_state (rnd, victim, DEAD);
}

static void
step_freeze (random_t *rnd)
{
  victim_t *victim = some_victim (rnd, VICTIMS);
  if (victim == NULL)
    return;
  drv_signal (victim->process, SIGSTOP);
  set_state (rnd, victim, FROZEN);
}

static void
step_stop (random_t *rnd)
{
  victim_t *victim = some_victim (rnd, ROUTERS + HOSTS);
  if (victim == NULL)
    return;
  drv_signal (victim->process, SIGTERM);
  set_state (rnd, victim, STOPPING);
}

static void
step_drain (random_t *rnd)
{
  victim_t *victim = some_victim (rnd, ROUTERS + HOSTS);
  if (victim == NULL || is_router (victim))
    return;
  if (rnd->list_up && draw (rnd, 2) == 0)
    {
      victim->host->state = "leaving";
      drv_list (rnd->drv);
    }
  else
    {
      g_autofree char *flags = g_strdup_printf ("drain %s --daemon=%s:%d", victim->process->name,
                                                victim->process->ip, DRV_PORT);
      drv_ended (drv_tool (rnd->drv, flags));
    }
  set_state (rnd, victim, LEAVING);
}

static void
restart (random_t *rnd, victim_t *victim)
{
  drv_process_start (victim->process);
  set_state (rnd, victim, is_engine (victim) ? FIT : WAKING);
}

static void
check_left (random_t *rnd, drv_host_t *host)
{
  int64_t before = host->engine->max_runs;
  rnd->worked = rnd->worked || (before >= 0 && drv_runs_on (host->engine) > before);
  host->engine->max_runs = -1;
}

static void
heal (random_t *rnd, victim_t *victim)
{
  switch (victim->state)
    {
    case DEAD:
      restart (rnd, victim);
      break;
    case FROZEN:
      drv_signal (victim->process, SIGCONT);
      set_state (rnd, victim, is_engine (victim) ? FIT : WAKING);
      break;
    case LEAVING:
      if (victim->host->engine->max_runs < 0)
        break; /* its grace is not over */
      check_left (rnd, victim->host);
      victim->host->state = "live";
      drv_list (rnd->drv);
      drv_signal (victim->process, SIGTERM);
      set_state (rnd, victim, STOPPING);
      break;
    default: /* see look_after() */
      break;
    }
}

static void
step_heal (random_t *rnd)
{
  uint32_t first = draw (rnd, VICTIMS);
  for (uint32_t i = 0; i < VICTIMS; i++)
    {
      victim_t *victim = &rnd->victims[(first + i) % VICTIMS];
      if (victim->state == FIT || victim->state == STOPPING || victim->state == WAKING)
        continue;
      heal (rnd, victim);
      return;
    }
}

static void
step_log (random_t *rnd)
{
  static const char *const faults[] = { "{'log': 'up'}",
                                        "{'log': 'up'}",
                                        "{'log': 'down'}",
                                        "{'log': 'slow', 'slow_ms': 400}",
                                        "{'log': 'slow_effect', 'slow_ms': 400}",
                                        "{'log': 'lose_answers', 'count': 4}",
                                        "{'log': 'lose_appends', 'count': 4}",
                                        "{'log': 'refuse', 'count': 4}" };
  const char *fault = faults[draw (rnd, G_N_ELEMENTS (faults))];
  printf ("%s\n", fault);
  drv_fault (rnd->drv, fault);
}

/* A host that the list tells to leave must get to know of it before the list fails. */
static bool
just_listed (const random_t *rnd)
{
  for (uint32_t i = 0; i < VICTIMS; i++)
    if (rnd->victims[i].state == LEAVING &&
        g_get_monotonic_time () - rnd->victims[i].since_us < LIST_LAG_US)
      return true;
  return false;
}

static void
step_list (random_t *rnd)
{
  static const char *const faults[] = { "{'list': 'up', 'view': {'r1': 'up', 'm1': 'up'}}",
                                        "{'list': 'stale'}", "{'list': 'down'}",
                                        "{'view': {'r1': 'stale'}}", "{'view': {'m1': 'stale'}}" };
  uint32_t fault = draw (rnd, G_N_ELEMENTS (faults));
  if (just_listed (rnd))
    return;
  rnd->list_up = fault == 0;
  printf ("%s\n", faults[fault]);
  drv_fault (rnd->drv, faults[fault]);
}

/* Publishes that the log takes, whatever becomes of the answers. Return: the version they lead to;
 * log order alone decides, as it does in the fleet. */
static uint64_t
published (random_t *rnd)
{
  json_t *log = drv_admin (rnd->drv->platform, "GET", "/admin/log?stream=manifest", NULL);
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
publish (random_t *rnd, uint64_t base)
{
  uint32_t number = rnd->publishes++;
  g_autofree char *id = g_strdup_printf ("random %u", number);
  json_t *record = json_pack ("{s:s, s:s, s:I, s:s, s:{s:{s:{s:i}}}}", "kind", "publish", "id", id,
                              "base", (json_int_t)base, "by", "session", "patch", "client_accounts",
                              "beta", "weight", (int)(1000 + number));
  char *body = json_dumps (record, JSON_COMPACT);
  drv_send (rnd->drv, rnd->drv->platform->ip, "POST", "/log/append?stream=manifest", NULL, body);
  free (body);
  json_decref (record);
}

static void
step_publish (random_t *rnd)
{
  publish (rnd, published (rnd));
}

static void
step_race (random_t *rnd)
{
  uint64_t base = published (rnd);
  publish (rnd, base);
  publish (rnd, base);
}

/* What a process does without being asked: ends, gets ready, or must have left by now. */
static void
look_after (random_t *rnd, victim_t *victim)
{
  gint64 age_us = g_get_monotonic_time () - victim->since_us;
  bool ended = drv_reap (victim->process);
  if (ended && victim->state == STOPPING)
    {
      rnd->hung = rnd->hung || victim->process->status != 0;
      restart (rnd, victim);
    }
  else if (ended && victim->state != DEAD)
    {
      rnd->hung = rnd->hung || !is_engine (victim);
      set_state (rnd, victim, DEAD);
    }
  if (victim->state == LEAVING && age_us > GRACE_US && victim->host->engine->max_runs < 0)
    drv_left (victim->host);
  if (victim->state == WAKING && victim->probe == NULL)
    victim->probe = drv_send (rnd->drv, victim->process->ip, "GET", "/readyz", NULL, NULL);
  if (victim->probe == NULL || victim->probe->outcome == DRV_WAITING)
    return;
  if (victim->state == WAKING && victim->probe->status == 200)
    set_state (rnd, victim, FIT);
  victim->probe = NULL;
}

static void
look_after_all (random_t *rnd)
{
  for (uint32_t i = 0; i < VICTIMS; i++)
    look_after (rnd, &rnd->victims[i]);
}

static void
run_steps (random_t *rnd)
{
  static const struct
  {
    uint32_t weight;
    void (*run) (random_t *rnd);
  } steps[] = { { 60, step_ask },   { 12, step_resend }, { 8, step_heal },    { 3, step_kill },
                { 3, step_freeze }, { 2, step_stop },    { 2, step_drain },   { 1, step_crash },
                { 4, step_log },    { 3, step_list },    { 1, step_publish }, { 1, step_race } };
  for (uint32_t i = 0; i < STEPS && !rnd->drv->failed; i++)
    {
      uint32_t at = draw (rnd, 100);
      uint32_t step = 0;
      while (at >= steps[step].weight)
        at -= steps[step++].weight;
      steps[step].run (rnd);
      drv_for (rnd->drv, draw (rnd, 2 * STEP_MS));
      look_after_all (rnd);
    }
}

static bool
all_answered (const drv_t *drv)
{
  for (guint i = 0; i < drv->calls->len; i++)
    if (((drv_call_t *)drv->calls->pdata[i])->outcome == DRV_WAITING)
      return false;
  return true;
}

/* Answered too: a request that crashes engines may still be on its way to the next. */
static bool
all_fit (void *context)
{
  random_t *rnd = context;
  bool fit = all_answered (rnd->drv);
  look_after_all (rnd);
  for (uint32_t i = 0; i < VICTIMS; i++)
    {
      heal (rnd, &rnd->victims[i]);
      fit = fit && rnd->victims[i].state == FIT && rnd->victims[i].probe == NULL;
    }
  return fit;
}

static bool
one_version (void *context)
{
  random_t *rnd = context;
  uint64_t version = published (rnd);
  for (uint32_t i = 0; i < ROUTERS + HOSTS; i++)
    if (drv_version (rnd->victims[i].process) != version)
      return false;
  return true;
}

static bool
served_again (random_t *rnd)
{
  drv_call_t *calls[ROUTERS * (DRV_BOOKING + 1)];
  bool good = true;
  for (uint32_t i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      g_autofree char *name = g_strdup_printf ("settled %u", rnd->asked++);
      drv_ask_t ask = { .name = name, .chat = name, .kind = (drv_kind_t)(i / ROUTERS) };
      ask.key = ask.kind == DRV_TAG || ask.kind == DRV_BOOKING ? name : NULL;
      calls[i] = ask_by (rnd, &rnd->victims[i % ROUTERS], &ask);
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      drv_answered (calls[i]);
      good = good && drv_own_answer (calls[i]);
    }
  return good;
}

static bool
all_engines_work (const random_t *rnd, const uint32_t *before)
{
  for (uint32_t i = 0; i < HOSTS; i++)
    if (drv_runs_on (rnd->drv->hosts[i].engine) == before[i])
      return false;
  return true;
}

/* Return: whether, some time after all was healed, requests of all kinds are answered through all
 * routers, three times in a row, and all engines have been given work. */
static bool
settles (random_t *rnd)
{
  uint32_t before[HOSTS];
  uint32_t good = 0;
  gint64 limit_us = g_get_monotonic_time () + SETTLE_MS * 1000;
  for (uint32_t i = 0; i < HOSTS; i++)
    before[i] = drv_runs_on (rnd->drv->hosts[i].engine);
  while (!rnd->drv->failed && g_get_monotonic_time () < limit_us)
    {
      good = served_again (rnd) ? good + 1 : 0;
      if (good >= GOOD_ROUNDS && all_engines_work (rnd, before))
        return true;
      drv_for (rnd->drv, good > 0 ? 1 : STEP_MS);
    }
  return false;
}

static void
complain (const drv_call_t *call, const char *what, bool *flag)
{
  printf ("%s, request %s, %s: %d, after %u ms\n", call->name,
          drv_header (call, "x-medlarplank-request"), what, call->status,
          (uint32_t)((call->ended_us - call->sent_us) / 1000));
  *flag = true;
}

static const victim_t *
router_of (const random_t *rnd, const drv_call_t *call)
{
  return &rnd->victims[call->router];
}

static void
judge (random_t *rnd, const drv_call_t *call)
{
  bool excused = disturbed (rnd, router_of (rnd, call), call->sent_us, call->ended_us);
  uint64_t head_us = call->head_us != 0 ? call->head_us : call->ended_us;
  if (excused)
    return;
  if (head_us - call->sent_us > (DEADLINE_MS + MARGIN_MS) * 1000)
    complain (call, "held too long", &rnd->late);
  if (call->outcome == DRV_NO_ANSWER || call->outcome == DRV_HUNG_UP)
    complain (call, "without an answer", &rnd->lost);
  if (call->outcome == DRV_CUT &&
      (!call->is_streamed || !disturbed (rnd, NULL, call->sent_us, call->ended_us)))
    complain (call, "cut", &rnd->cut);
}

static void
judge_all (random_t *rnd)
{
  uint32_t own = 0;
  uint32_t refused = 0;
  uint32_t all = 0;
  for (guint i = 0; i < rnd->drv->calls->len; i++)
    {
      const drv_call_t *call = rnd->drv->calls->pdata[i];
      if (call->name == NULL)
        continue;
      judge (rnd, call);
      all++;
      own += drv_own_answer (call) ? 1 : 0;
      refused += strcmp (drv_verdict (call), "not_run") == 0 ? 1 : 0;
    }
  printf ("%u requests, %u answered, %u not run, %u other\n", all, own, refused,
          all - own - refused);
}

static void
say (random_t *rnd, const char *what, bool held)
{
  drv_say (rnd->drv, "%s: %s", what, held ? "yes" : "no");
}

static void
add_victims (random_t *rnd)
{
  drv_t *drv = rnd->drv;
  victim_t *next = rnd->victims;
  for (uint32_t i = 0; i < ROUTERS; i++)
    *next++ = (victim_t){ .process = drv->routers[i] };
  for (uint32_t i = 0; i < HOSTS; i++)
    *next++ = (victim_t){ .process = drv->hosts[i].sidecar, .host = &drv->hosts[i] };
  for (uint32_t i = 0; i < HOSTS; i++)
    *next++ = (victim_t){ .process = drv->hosts[i].engine, .host = &drv->hosts[i] };
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
  random_t rnd = { .drv = drv_new ("random"),
                   .list_up = true,
                   .rand = g_rand_new_with_seed (seed),
                   .gaps = g_array_new (FALSE, FALSE, sizeof (gap_t)),
                   .keyed = g_ptr_array_new () };
  drv_fleet_t fleet = { .model_hosts = MODELS,
                        .plain_hosts = PLAINS,
                        .routers = ROUTERS,
                        .engine_flags = "--service-us=60000 --crash-on=" CRASH_TEXT };
  drv_start (rnd.drv, &fleet);
  add_victims (&rnd);
  run_steps (&rnd);
  drv_fault (rnd.drv, "{'log': 'up', 'list': 'up', 'view': {'r1': 'up', 'm1': 'up'}}");
  bool fit = drv_until (rnd.drv, 2 * DRV_WAIT_MS, "all to be fit again", all_fit, &rnd);
  fit = fit && drv_until (rnd.drv, DRV_WAIT_MS, "one version", one_version, &rnd);
  say (&rnd, "all processes are fit again, and in one version", fit);
  say (&rnd, "requests of all kinds are answered again", settles (&rnd));
  judge_all (&rnd);
  say (&rnd, "no caller was left without an answer", !rnd.lost);
  say (&rnd, "no answer was held beyond its deadline", !rnd.late);
  say (&rnd, "no answer was cut but by a failure", !rnd.cut);
  say (&rnd, "nothing began on a host after its grace", !rnd.worked);
  say (&rnd, "no daemon ended but as it was told", !rnd.hung);
  drv_finish (rnd.drv);
  printf ("seed %u\n", seed);
  g_array_free (rnd.gaps, TRUE);
  g_ptr_array_free (rnd.keyed, TRUE);
  g_rand_free (rnd.rand);
}

int
main (void)
{
  static const drv_test_t tests[] = { { "seeded faults and requests", test_random } };
  return drv_main ("random", tests, G_N_ELEMENTS (tests));
}
