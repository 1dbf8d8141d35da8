/**
 * DOC: session_part_crash
 *
 * Requests that share a part of their prompts which ends every upstream that answers them, with
 * real processes. No two are alike; sound ones come beside them with the same key and first part.
 */
#include "crash_rig.h"

#include <CUnit/Basic.h>
#include <string.h>

#define RESTART_MS 2000 /* a crashed upstream starts again after this time */
#define STREAM_EVENTS 20
#define SOUND_INTERVAL_MS 25 /* between two sound requests */
#define SUBJECTS 20          /* parts that sound requests have beside the first one */
#define LEAD_MS 1500         /* sound requests alone */
#define CONTACT_MS 3000      /* after which all gateways know what any of them has learned */
#define CRASHES_MAX 5        /* upstreams that one part may end before the time runs */
#define LATE_SENDS_MAX 3     /* sends to upstreams that are allowed later */
#define PLAY_MS 18000
#define GATEWAY_KILL_MS 2500 /* from one kill of a gateway to the next */
#define DEADLY_PARTS 2

static const char *const deadly_parts[DEADLY_PARTS + 1] = { "dead01", "dead02", NULL };

/**
 * struct scene - What comes in one play.
 * @is_first: The deadly part is the first one of the prompts, not the one after it.
 * @parts: Number of deadly parts, one in each request.
 * @interval_ms: Time between two requests with a deadly part.
 * @kills_gateways: Gateways are killed in turn.
 */
typedef struct
{
  const char *name;
  const char *route;
  const char *method;
  bool is_first;
  uint32_t parts;
  uint32_t interval_ms;
  bool kills_gateways;
} scene_t;

/** struct sound - A sound request; @in_touch: the gateway had run for CONTACT_MS. */
typedef struct
{
  driver_call_t *call;
  gint64 sent_ms;
  bool in_touch;
} sound_t;

/**
 * struct play - The state of a play; times are in ms of the real-time clock.
 * @up_since_ms: When each gateway was started.
 */
typedef struct
{
  crash_rig_t rig;
  const scene_t *scene;
  gint64 began_ms;
  gint64 deadly_at_ms;
  gint64 sound_at_ms;
  gint64 kill_at_ms;
  gint64 up_since_ms[CRASH_RIG_GATEWAYS];
  uint32_t next_killed;
  uint32_t deadly_count;
  GArray *sounds; /* sound_t */
} play_t;

static gint64
now_ms (void)
{
  return g_get_real_time () / 1000;
}

static driver_call_t *
send_request (play_t *play, uint32_t gateway, const char *id, const char *prompt)
{
  g_autofree char *headers =
      g_strdup_printf ("X-Request-Id: %s\r\nX-Key: key-1\r\nX-Deadline-Ms: 4000\r\n"
                       "X-Token-Count: 1300,20\r\nX-Prompt-Prefix: %s\r\n",
                       id, prompt);
  g_autofree char *path = g_strdup_printf ("/%s/%s", play->scene->route, id);

  return driver_send_http (play->rig.driver, play->rig.gateways[gateway]->ip, play->scene->method,
                           path, headers, "");
}

static void
send_sound (play_t *play)
{
  uint32_t number = play->sounds->len;
  uint32_t gateway = number % CRASH_RIG_GATEWAYS;
  g_autofree char *id = g_strdup_printf ("sound-%u", number);
  g_autofree char *prompt =
      g_strdup_printf ("f1f1:800,%x:400,%x:100", 0x50b0 + number % SUBJECTS, 0x10000000 + number);
  sound_t sound = { .call = send_request (play, gateway, id, prompt),
                    .sent_ms = now_ms (),
                    .in_touch = now_ms () >= play->up_since_ms[gateway] + CONTACT_MS };

  g_array_append_val (play->sounds, sound);
}

static void
send_deadly (play_t *play)
{
  uint32_t number = play->deadly_count++;
  uint32_t part = number % play->scene->parts;
  uint32_t gateway = number / play->scene->parts % CRASH_RIG_GATEWAYS;
  const char *deadly = deadly_parts[part];
  g_autofree char *id = g_strdup_printf ("%s-%u-%u", deadly, gateway, number);
  g_autofree char *prompt =
      play->scene->is_first
          ? g_strdup_printf ("%s:800,%x:400,%x:100", deadly, 0x50b0 + number % SUBJECTS,
                             0x20000000 + number)
          : g_strdup_printf ("f1f1:800,%s:400,%x:100", deadly, 0x20000000 + number);

  send_request (play, gateway, id, prompt);
}

static void
kill_gateway (play_t *play)
{
  uint32_t gateway = play->next_killed++;

  driver_process_kill (play->rig.gateways[gateway]);
  driver_process_start (play->rig.gateways[gateway]);
  play->up_since_ms[gateway] = now_ms ();
}

static bool
has_ended (void *context)
{
  play_t *play = context;
  gint64 at_ms = now_ms ();

  crash_rig_restart_upstreams (&play->rig);
  for (; play->sound_at_ms <= at_ms; play->sound_at_ms += SOUND_INTERVAL_MS)
    send_sound (play);
  for (; play->deadly_at_ms <= at_ms; play->deadly_at_ms += play->scene->interval_ms)
    send_deadly (play);
  if (play->scene->kills_gateways && play->next_killed < CRASH_RIG_GATEWAYS &&
      at_ms >= play->kill_at_ms)
    {
      kill_gateway (play);
      play->kill_at_ms += GATEWAY_KILL_MS;
    }
  return at_ms >= play->began_ms + PLAY_MS;
}

/* Whether a gateway that was in touch sent the request; its id names the gateway. */
static bool
is_sent_in_touch (const play_t *play, const crash_rig_record_t *send)
{
  g_auto (GStrv) fields = g_strsplit (send->id, "-", 3);
  guint64 gateway = g_ascii_strtoull (fields[1], NULL, 10);

  return send->time_ms >= play->up_since_ms[gateway] + CONTACT_MS;
}

/* Return: The time of the fifth crash, of the last one if there are fewer, 0 without any. */
static gint64
check_part (const play_t *play, const char *part)
{
  g_autoptr (GArray) crashes = crash_rig_collect (&play->rig, "end", part, "crash");
  g_autoptr (GArray) sends = crash_rig_collect (&play->rig, "begin", part, NULL);
  guint counted = MIN (crashes->len, CRASHES_MAX);
  gint64 from_ms =
      counted > 0 ? g_array_index (crashes, crash_rig_record_t, counted - 1).time_ms : 0;
  uint32_t late = 0;

  for (guint i = 0; crashes->len >= CRASHES_MAX && i < sends->len; i++)
    {
      const crash_rig_record_t *send = &g_array_index (sends, crash_rig_record_t, i);

      late += send->time_ms > from_ms + CONTACT_MS && is_sent_in_touch (play, send) ? 1 : 0;
    }
  printf ("%s, %s: %u upstreams ended, %u sends reached upstreams, %u of them late\n",
          play->scene->name, part, crashes->len, sends->len, late);
  fflush (stdout); /* or each child process writes it again */
  CU_ASSERT (crashes->len > 0);
  CU_ASSERT (late <= LATE_SENDS_MAX);
  return from_ms;
}

static void
check_sound (const play_t *play, gint64 last_crash_ms)
{
  uint32_t sent = 0;
  uint32_t served = 0;

  for (guint i = 0; i < play->sounds->len; i++)
    {
      const sound_t *sound = &g_array_index (play->sounds, sound_t, i);

      if (!sound->in_touch || sound->sent_ms < last_crash_ms + 2 * CONTACT_MS)
        continue;
      sent++;
      served +=
          sound->call->status == 200 && sound->call->outcome == DRIVER_OUTCOME_COMPLETE ? 1 : 0;
    }
  printf ("%s: %u of %u sound requests served\n", play->scene->name, served, sent);
  fflush (stdout);
  CU_ASSERT (sent >= 20);
  CU_ASSERT (served * 2 >= sent);
}

static void
run_scene (const scene_t *scene)
{
  play_t play = { .scene = scene };
  gint64 last_crash_ms = 0;

  crash_rig_start (&play.rig, driver_new (scene->name),
                   &(crash_rig_options_t){ .crash_parts = deadly_parts,
                                           .stream_events = STREAM_EVENTS,
                                           .restart_ms = RESTART_MS });
  play.sounds = g_array_new (FALSE, FALSE, sizeof (sound_t));
  play.began_ms = play.sound_at_ms = now_ms ();
  play.deadly_at_ms = play.began_ms + LEAD_MS;
  play.kill_at_ms = play.deadly_at_ms + GATEWAY_KILL_MS / 2;
  for (uint32_t i = 0; i < CRASH_RIG_GATEWAYS; i++)
    play.up_since_ms[i] = play.began_ms - CONTACT_MS;
  driver_wait_until (play.rig.driver, PLAY_MS + DRIVER_WAIT_LIMIT_MS, "the end of the play",
                     has_ended, &play);
  driver_wait_all_calls (play.rig.driver);
  for (uint32_t i = 0; i < scene->parts; i++)
    last_crash_ms = MAX (last_crash_ms, check_part (&play, deadly_parts[i]));
  check_sound (&play, last_crash_ms);
  g_array_free (play.sounds, TRUE);
  driver_transcript_add (play.rig.driver,
                         "requests with the part are not sent any more, sound ones are served");
  driver_finish (play.rig.driver);
}

/* Guards against a part that is known only by whole requests, of which no two are alike. */
static void
test_second_part (void)
{
  run_scene (&(scene_t){ .name = "part_crash_second",
                         .route = "talk",
                         .method = "POST",
                         .parts = 1,
                         .interval_ms = 100 });
}

/* Guards against a key whose requests are all refused for a part that only some of them have. */
static void
test_first_part (void)
{
  run_scene (&(scene_t){ .name = "part_crash_first",
                         .route = "talk",
                         .method = "POST",
                         .is_first = true,
                         .parts = 1,
                         .interval_ms = 100 });
}

/* Guards against crashes that are forgotten, or excused by what is served between them. */
static void
test_slow (void)
{
  run_scene (&(scene_t){ .name = "part_crash_slow",
                         .route = "look",
                         .method = "GET",
                         .parts = 1,
                         .interval_ms = 500 });
}

/* Guards against two parts of which each excuses the other. */
static void
test_two_parts (void)
{
  run_scene (&(scene_t){
      .name = "part_crash_two", .route = "talk", .method = "POST", .parts = 2, .interval_ms = 50 });
}

/* Guards against gateways that have to learn of the part anew when they start. */
static void
test_gateways_killed (void)
{
  run_scene (&(scene_t){ .name = "part_crash_killed",
                         .route = "look",
                         .method = "GET",
                         .parts = 1,
                         .interval_ms = 100,
                         .kills_gateways = true });
}

int
main (void)
{
  static const driver_test_t tests[] = {
    { "a second part of prompts ends upstreams", test_second_part },
    { "a first part of prompts ends upstreams", test_first_part },
    { "a part of prompts ends upstreams now and then", test_slow },
    { "two parts of prompts end upstreams", test_two_parts },
    { "a part of prompts ends upstreams while gateways are killed", test_gateways_killed }
  };

  return driver_main ("part_crash", tests, G_N_ELEMENTS (tests));
}
