/* Unit tests of the admission control of an engine. */
#include "request/policy/queueing/admission.h"
#include "suite.h"

#include <string.h>

#define OWN 11
#define SERVICE 5
#define ENGINES 4
#define SLOTS 16
#define SECOND_US ((uint64_t)CLOCK_US_PER_S)
#define LIFETIME_US (60 * SECOND_US)
#define REQUESTS 64
#define REQUEST_MS (50 + 100 * 30) /* estimated duration of the requests of make() */

/* The admission control of one sidecar with its clock and requests. @gone: an engine that left */
typedef struct
{
  admission_t *admission;
  uint64_t now_us;
  admission_request_t requests[REQUESTS];
  uint32_t count;
  uint64_t gone;
} rig_t;

static bool
is_live (uint64_t engine_hash, void *context)
{
  return engine_hash != ((rig_t *)context)->gone;
}

static rig_t *
rig_new (uint32_t bound_percent)
{
  rig_t *rig = g_new0 (rig_t, 1);
  rig->now_us = 100 * SECOND_US;
  const admission_options_t options = { .engine_hash = OWN,
                                        .service_hash = SERVICE,
                                        .slots = SLOTS,
                                        .bound_percent = bound_percent,
                                        .engine_count = ENGINES,
                                        .prefill_tokens_s = 10000,
                                        .cache_lifetime_us = LIFETIME_US,
                                        .seed = 3,
                                        .is_live = is_live,
                                        .context = rig };
  rig->admission = admission_new (&options);
  return rig;
}

static void
rig_free (rig_t *rig)
{
  admission_free (rig->admission);
  g_free (rig);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (rig_t, rig_free)

/* Adds a load sample of each of the three other engines, 12, 13 and 14. */
static void
add_samples (rig_t *rig, uint32_t load, uint32_t waiting)
{
  for (uint64_t engine = OWN + 1; engine < OWN + ENGINES; engine++)
    {
      const load_sample_t sample = { .engine_hash = engine,
                                     .service_hash = SERVICE,
                                     .load = load,
                                     .waiting = waiting,
                                     .taken_us = rig->now_us };
      load_samples_add (admission_mean (rig->admission), &sample);
    }
}

static admission_request_t *
make (rig_t *rig, uint64_t account, uint64_t chat)
{
  CU_ASSERT_FATAL (rig->count < REQUESTS);
  admission_request_t *request = &rig->requests[rig->count++];
  *request = (admission_request_t){ .item = { .account_hash = account,
                                              .weight = 1000,
                                              .priority = 1,
                                              .cost = 1000,
                                              .queue_limit = 8,
                                              .deadline_us = rig->now_us + 20 * SECOND_US },
                                    .chat_hash = chat,
                                    .fingerprint = 1000 + rig->count,
                                    .home_hash = OWN,
                                    .prompt_tokens = 500,
                                    .output_tokens = 100,
                                    .has_chat = chat != 0 };
  return request;
}

static admission_decision_t
offer (rig_t *rig, admission_request_t *request)
{
  return admission_offer (rig->admission, rig->now_us, request);
}

static void
dispatch_many (rig_t *rig, uint32_t load)
{
  for (uint32_t i = 0; i < load; i++)
    CU_ASSERT_EQUAL_FATAL (offer (rig, make (rig, 1 + i % 4, 0)).action, ADMISSION_DISPATCH);
}

/* Offers requests of eight accounts and ignores the decisions. */
static void
offer_many (rig_t *rig, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    offer (rig, make (rig, 1 + i % 8, 0));
}

static void
test_load_is_bounded (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, 8, 0);
  dispatch_many (rig, 9);
  /* mean (8 + 8 + 8 + 9) / 4 = 8.25, bound 10.31 */
  CU_ASSERT_EQUAL (admission_bound_milli (rig->admission, rig->now_us), 10312);
  dispatch_many (rig, 1);
  const admission_decision_t decision = offer (rig, make (rig, 1, 0));
  CU_ASSERT_EQUAL (decision.action, ADMISSION_REJECT);
  CU_ASSERT_EQUAL (decision.reason, VERDICT_REASON_OVER_BOUND);
  CU_ASSERT_EQUAL (decision.referral_count, 3);
  CU_ASSERT (decision.retry_after_ms > 0);
  CU_ASSERT_EQUAL (admission_load (rig->admission), 10);
}

static void
test_bound_of_idle_service (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, 0, 0);
  dispatch_many (rig, 1);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 0)).reason, VERDICT_REASON_OVER_BOUND);
}

/* The mean load changes, so the bound has a margin. Guards against a service whose engines all have
 * the same load and all reject: if the margin also applied to the mean plus one, the load would
 * fall, the bound with it, and nearly all requests would be rejected from then on. */
static void
test_equal_loads_admit_one_more (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  for (uint32_t i = 0; i < 40; i++)
    {
      rig->now_us += SECOND_US;
      add_samples (rig, i % 2 == 0 ? 2 : 6, 0);
      admission_request_t *request = &rig->requests[0];
      rig->count = 0;
      CU_ASSERT_EQUAL_FATAL (offer (rig, make (rig, 1, 0)).action, ADMISSION_DISPATCH);
      admission_finish (rig->admission, rig->now_us, request, true);
    }
  add_samples (rig, 0, 0);
  rig->now_us += SECOND_US;
  add_samples (rig, 8, 0);
  rig->count = 0;
  dispatch_many (rig, 8);
  CU_ASSERT (admission_bound_milli (rig->admission, rig->now_us) < 10000);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 0)).action, ADMISSION_DISPATCH);
}

/* All engines run seven requests, but one of them has just completed one. Guards against a bound
 * below eight, with which the load could not rise and half of the requests would be rejected. */
static void
test_load_can_rise (void)
{
  rig_t *rig = rig_new (112);
  for (uint64_t engine = OWN + 1; engine < OWN + ENGINES; engine++)
    {
      const load_sample_t sample = { .engine_hash = engine,
                                     .service_hash = SERVICE,
                                     .load = engine == 13 ? 6 : 7,
                                     .taken_us = rig->now_us };
      load_samples_add (admission_mean (rig->admission), &sample);
    }
  dispatch_many (rig, 8);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 0)).reason, VERDICT_REASON_OVER_BOUND);
  rig_free (rig);
}

/* Routers can't reach one engine, while sidecars receive its samples, without load. Guards against
 * counting it in the mean: the bound of the others would be below their load, requests would be
 * rejected, and the load and the bound would fall until half were rejected. */
static void
test_unreachable_engine_is_not_counted (void)
{
  g_autoptr (rig_t) rig = rig_new (110);
  for (uint32_t i = 0; i < 8; i++)
    {
      for (uint64_t engine = OWN + 1; engine < OWN + ENGINES; engine++)
        {
          const load_sample_t sample = { .engine_hash = engine,
                                         .service_hash = SERVICE,
                                         .load = engine == 13 ? 0 : 10,
                                         .taken_us = rig->now_us };
          load_samples_add (admission_mean (rig->admission), &sample);
        }
      rig->now_us += SECOND_US / 2;
    }
  dispatch_many (rig, 10);
  CU_ASSERT (admission_bound_milli (rig->admission, rig->now_us) >= 11000);
  const admission_decision_t decision = offer (rig, make (rig, 1, 0));
  CU_ASSERT_EQUAL (decision.action, ADMISSION_DISPATCH);
}

/* No samples arrive. Guards against rejecting requests on all engines while the exchange of samples
 * is down. Only an engine that has just joined admits one request at a time until samples arrive.
 */
static void
test_unknown_mean (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  admission_set_joined (rig->admission, rig->now_us);
  CU_ASSERT_EQUAL (admission_bound_milli (rig->admission, rig->now_us), 1000);
  rig->now_us += LIMIT_LOAD_SAMPLE_AGE_US;
  CU_ASSERT_EQUAL (admission_bound_milli (rig->admission, rig->now_us), SLOTS * 1000);
}

/* The engine is at its bound. Guards against rejecting a request of a long chat whose context is
 * cached here, which is served sooner by waiting for one completion; a request without cached
 * context is served sooner elsewhere. */
static void
test_waits_when_cheaper_than_cold_start (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, 8, 0);
  dispatch_many (rig, 10);
  admission_request_t *warm = make (rig, 1, 77);
  warm->prompt_tokens = 40000;
  CU_ASSERT_EQUAL (offer (rig, warm).action, ADMISSION_WAIT);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 2, 0)).reason, VERDICT_REASON_OVER_BOUND);
  CU_ASSERT_PTR_NULL (admission_next (rig->admission, rig->now_us));
  admission_finish (rig->admission, rig->now_us, &rig->requests[0], true);
  CU_ASSERT_PTR_EQUAL (admission_next (rig->admission, rig->now_us), warm);
  CU_ASSERT (warm->running);
  CU_ASSERT_EQUAL (admission_load (rig->admission), 10);
}

static void
test_waits_when_all_are_full (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, SLOTS, 3);
  dispatch_many (rig, SLOTS - 2);
  admission_request_t *other = make (rig, 9, 0);
  CU_ASSERT_EQUAL (offer (rig, other).action, ADMISSION_DISPATCH);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 10, 0)).action, ADMISSION_DISPATCH);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 9, 0)).action, ADMISSION_WAIT);
}

/* All engines are full until after the deadline of a new request. Guards against queueing it until
 * then: it is rejected at once with a retry time. */
static void
test_too_late_is_rejected_at_once (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, SLOTS, 3);
  offer_many (rig, SLOTS);
  rig->now_us += 3 * SECOND_US;
  add_samples (rig, SLOTS, 3);
  for (uint32_t i = 0; i < SLOTS; i++)
    admission_finish (rig->admission, rig->now_us, &rig->requests[i], true);
  for (uint32_t i = 0; i < SLOTS; i++)
    CU_ASSERT_EQUAL (offer (rig, make (rig, 1 + i % 8, 0)).action, ADMISSION_DISPATCH);
  admission_request_t *late = make (rig, 9, 0);
  late->item.deadline_us = rig->now_us + 10000;
  const admission_decision_t decision = offer (rig, late);
  CU_ASSERT_EQUAL (decision.action, ADMISSION_REJECT);
  CU_ASSERT_EQUAL (decision.reason, VERDICT_REASON_DEADLINE);
  CU_ASSERT (decision.retry_after_ms >= 100 && decision.retry_after_ms < 1000);
  CU_ASSERT_EQUAL (admission_waiting (rig->admission), 0);
}

/* The engine stalls while a request is queued. Guards against keeping the request until its
 * deadline, when the measured completion rate already shows that it can't start before it. */
static void
test_stall_rejects_before_deadline (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  admission_decision_t decision;
  add_samples (rig, SLOTS, 3);
  offer_many (rig, SLOTS);
  admission_request_t *waiting = make (rig, 9, 0);
  CU_ASSERT_EQUAL_FATAL (offer (rig, waiting).action, ADMISSION_WAIT);
  CU_ASSERT_PTR_NULL (admission_next_rejected (rig->admission, rig->now_us, &decision));
  rig->now_us += 16 * SECOND_US;
  add_samples (rig, SLOTS, 3);
  CU_ASSERT_PTR_EQUAL (admission_next_rejected (rig->admission, rig->now_us, &decision), waiting);
  CU_ASSERT_EQUAL (decision.reason, VERDICT_REASON_DEADLINE);
  CU_ASSERT_PTR_NULL (admission_next_rejected (rig->admission, rig->now_us, &decision));
}

/* One client account surges and uses all slots that it may. Guards against a request of another
 * account that has to wait until one of the long requests of that account completes. */
static void
test_reserve_for_quiet_accounts (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, SLOTS, 0);
  admission_finish (rig->admission, rig->now_us,
                    (offer (rig, make (rig, 2, 0)), &rig->requests[rig->count - 1]), true);
  uint32_t running = 0;
  for (uint32_t i = 0; i < 20; i++)
    running += offer (rig, make (rig, 1, 0)).action == ADMISSION_DISPATCH;
  CU_ASSERT_EQUAL (running, SLOTS - SLOTS / ADMISSION_RESERVE_DIVISOR);
  CU_ASSERT (admission_waiting (rig->admission) > 0);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 2, 0)).action, ADMISSION_DISPATCH);
}

static void
test_account_queue_is_limited (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, SLOTS, 3);
  dispatch_many (rig, 4);
  for (uint32_t i = 0; i < SLOTS + 8; i++)
    offer (rig, make (rig, 1, 0));
  CU_ASSERT_EQUAL (admission_waiting (rig->admission), 8);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 0)).reason, VERDICT_REASON_ACCOUNT_SHARE);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 2, 0)).action, ADMISSION_DISPATCH);
}

/* Guards against unused reserved slots while only one account has used the engine for a minute. */
static void
test_single_account_gets_all_slots (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, SLOTS, 0);
  for (uint32_t i = 0; i < SLOTS; i++)
    {
      admission_request_t *request = make (rig, 1, 0);
      request->item.deadline_us = 0;
      offer (rig, request);
    }
  CU_ASSERT_EQUAL (admission_load (rig->admission), SLOTS - SLOTS / ADMISSION_RESERVE_DIVISOR);
  rig->now_us += ADMISSION_SINGLE_ACCOUNT_US - 1;
  add_samples (rig, SLOTS, 0);
  CU_ASSERT_PTR_NULL (admission_next (rig->admission, rig->now_us));
  rig->now_us++;
  CU_ASSERT_PTR_NOT_NULL (admission_next (rig->admission, rig->now_us));
  CU_ASSERT_PTR_NOT_NULL (admission_next (rig->admission, rig->now_us));
  CU_ASSERT_EQUAL (admission_load (rig->admission), SLOTS);
}

static void
test_home_refers_to_cached_context (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, 1, 0);
  admission_note_served_elsewhere (rig->admission, rig->now_us, 77, 13);
  const admission_decision_t decision = offer (rig, make (rig, 1, 77));
  CU_ASSERT_EQUAL (decision.reason, VERDICT_REASON_ELSEWHERE);
  CU_ASSERT_EQUAL (decision.referral_count, 1);
  CU_ASSERT_EQUAL (decision.referrals[0], 13);
  admission_request_t *sent_back = make (rig, 1, 77);
  sent_back->referred = true;
  CU_ASSERT_EQUAL (offer (rig, sent_back).action, ADMISSION_DISPATCH);
  admission_finish (rig->admission, rig->now_us, sent_back, true);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 77)).action, ADMISSION_DISPATCH);
  admission_note_served_elsewhere (rig->admission, rig->now_us, 78, 13);
  rig->now_us += ADMISSION_REFERRAL_LIFETIMES * LIFETIME_US;
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 78)).reason, VERDICT_REASON_ELSEWHERE);
  rig->now_us++;
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 78)).action, ADMISSION_DISPATCH);
}

/* The engine that has the context left, or the wait in its queue is longer than reading the context
 * again. Guards against a referral that only costs a hop or a wait. */
static void
test_no_referral_to_gone_or_overloaded (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, 2, 0);
  rig->gone = 13;
  admission_note_served_elsewhere (rig->admission, rig->now_us, 77, 13);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 77)).action, ADMISSION_DISPATCH);
  admission_note_served_elsewhere (rig->admission, rig->now_us, 78, 14);
  const load_sample_t full = { .engine_hash = 14,
                               .service_hash = SERVICE,
                               .load = SLOTS,
                               .waiting = 200,
                               .taken_us = rig->now_us + 1 };
  load_samples_add (admission_mean (rig->admission), &full);
  rig->now_us += 2;
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 78)).action, ADMISSION_DISPATCH);
}

/* An engine joins and becomes the home of chats whose context another engine has. It refers a chat
 * there until it has served the chat itself, or until the context can't be cached there any more.
 */
static void
test_new_engine_refers_to_former_home (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, 1, 0);
  admission_set_joined (rig->admission, rig->now_us);
  admission_request_t *first = make (rig, 1, 77);
  first->former_home_hash = 12;
  CU_ASSERT_EQUAL (offer (rig, first).reason, VERDICT_REASON_ELSEWHERE);
  first->referred = true;
  CU_ASSERT_EQUAL (offer (rig, first).action, ADMISSION_DISPATCH);
  admission_finish (rig->admission, rig->now_us, first, true);
  first->referred = false;
  CU_ASSERT_EQUAL (offer (rig, first).action, ADMISSION_DISPATCH);
  admission_finish (rig->admission, rig->now_us, first, true);
  admission_request_t *later = make (rig, 1, 78);
  later->former_home_hash = 12;
  rig->now_us += ADMISSION_REFERRAL_LIFETIMES * LIFETIME_US - 1;
  CU_ASSERT_EQUAL (offer (rig, later).reason, VERDICT_REASON_ELSEWHERE);
  rig->now_us++;
  CU_ASSERT_EQUAL (offer (rig, later).action, ADMISSION_DISPATCH);
}

/* An engine was replaced, and the new one refers its chats to this former home, which has served
 * only some of them. Guards against serving the others here too: their context is lost, and they
 * would fill this cache while the one of the new engine stays empty. */
static void
test_former_home_sends_uncached_chats_back (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, 8, 0);
  admission_request_t *warm = make (rig, 1, 77);
  CU_ASSERT_EQUAL_FATAL (offer (rig, warm).action, ADMISSION_DISPATCH);
  admission_finish (rig->admission, rig->now_us, warm, true);
  for (uint64_t chat = 77; chat <= 79; chat++)
    {
      admission_request_t *back = make (rig, 1, chat);
      back->home_hash = 12;
      back->prompt_tokens = 40000;
      back->former_home_hash = OWN;
      back->referred = true;
      if (chat == 79)
        admission_note_served_elsewhere (rig->admission, rig->now_us, 79, 14);
      const admission_decision_t decision = offer (rig, back);
      CU_ASSERT_EQUAL (decision.action, chat == 77 ? ADMISSION_DISPATCH : ADMISSION_REJECT);
      if (chat == 78)
        CU_ASSERT_EQUAL (decision.reason, VERDICT_REASON_COLD);
      if (chat == 79)
        CU_ASSERT_EQUAL (decision.referrals[0], 14);
      back->former_home_hash = 0;
      CU_ASSERT (chat == 77 || offer (rig, back).action == ADMISSION_DISPATCH);
    }
}

/* The host starts to shut down while requests are queued. They are rejected now, so that routers
 * try other engines, and no new ones are admitted, also from routers with an old registry. Running
 * requests continue. */
static void
test_leaving_admits_nothing (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  admission_decision_t decision;
  add_samples (rig, SLOTS, 3);
  offer_many (rig, SLOTS + 2);
  CU_ASSERT_EQUAL (admission_waiting (rig->admission), 2);
  admission_set_leaving (rig->admission, true);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 0)).reason, VERDICT_REASON_LEAVING);
  admission_finish (rig->admission, rig->now_us, &rig->requests[0], true);
  CU_ASSERT_PTR_NULL (admission_next (rig->admission, rig->now_us));
  CU_ASSERT_PTR_NOT_NULL (admission_next_rejected (rig->admission, rig->now_us, &decision));
  CU_ASSERT_EQUAL (decision.reason, VERDICT_REASON_LEAVING);
  CU_ASSERT_PTR_NOT_NULL (admission_next_rejected (rig->admission, rig->now_us, &decision));
  CU_ASSERT_PTR_NULL (admission_next_rejected (rig->admission, rig->now_us, &decision));
  CU_ASSERT_EQUAL (admission_load (rig->admission), SLOTS - 1);
}

static void
test_closed_reasons (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, 1, 0);
  admission_set_stale (rig->admission, true);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 0)).reason, VERDICT_REASON_STALE);
  admission_set_stale (rig->admission, false);
  admission_set_engine_up (rig->admission, false);
  const admission_decision_t decision = offer (rig, make (rig, 1, 0));
  CU_ASSERT_EQUAL (decision.reason, VERDICT_REASON_NO_ENGINE);
  CU_ASSERT (decision.referral_count > 0);
  admission_set_engine_up (rig->admission, true);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 0)).action, ADMISSION_DISPATCH);
}

/* A request crashed this engine and is sent again. Guards against it crashing the engine twice, and
 * any engine after the second; also against a rejection as "no engine" while this one is down,
 * which would hide the reason. */
static void
test_crashing_request_is_rejected (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, 1, 0);
  admission_request_t *crashing = make (rig, 1, 0);
  CU_ASSERT_EQUAL_FATAL (offer (rig, crashing).action, ADMISSION_DISPATCH);
  admission_note_crash (rig->admission, rig->now_us, crashing);
  admission_set_engine_up (rig->admission, false);
  admission_finish (rig->admission, rig->now_us, crashing, false);
  CU_ASSERT_EQUAL (offer (rig, crashing).reason, VERDICT_REASON_SUSPECT_HERE);
  admission_set_engine_up (rig->admission, true);
  CU_ASSERT_EQUAL (offer (rig, crashing).reason, VERDICT_REASON_SUSPECT_HERE);
  suspect_add_crash (admission_suspects (rig->admission), rig->now_us, crashing->fingerprint, 13);
  const admission_decision_t decision = offer (rig, crashing);
  CU_ASSERT_EQUAL (decision.reason, VERDICT_REASON_SUSPECT);
  CU_ASSERT_EQUAL (decision.retry_after_ms, 0);
}

static void
test_cancel_waiting (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  add_samples (rig, SLOTS, 3);
  offer_many (rig, SLOTS + 1);
  CU_ASSERT_EQUAL_FATAL (admission_waiting (rig->admission), 1);
  admission_cancel (rig->admission, &rig->requests[SLOTS]);
  admission_finish (rig->admission, rig->now_us, &rig->requests[0], true);
  CU_ASSERT_PTR_NULL (admission_next (rig->admission, rig->now_us));
  const load_sample_t sample = admission_sample (rig->admission, rig->now_us);
  CU_ASSERT_EQUAL (sample.load, SLOTS - 1);
  CU_ASSERT_EQUAL (sample.waiting, 0);
  CU_ASSERT_EQUAL (sample.cost, (SLOTS - 1) * REQUEST_MS);
}

/* Two engines crash, and their requests go to the others, which run two each. Guards against
 * counting the last samples of the crashed ones, without load: with a mean of one, a third request
 * would be rejected though all slots but two are free. */
static void
test_crashed_engine_is_not_counted (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  load_sample_t lost = { .service_hash = SERVICE, .taken_us = rig->now_us + 1 };

  add_samples (rig, 2, 0);
  rig->now_us++;
  for (lost.engine_hash = OWN + 1; lost.engine_hash <= OWN + 2; lost.engine_hash++)
    load_samples_add (admission_mean (rig->admission), &lost);
  for (uint32_t i = 0; i < 2; i++)
    CU_ASSERT_EQUAL (admission_offer (rig->admission, rig->now_us, make (rig, 1, i)).action,
                     ADMISSION_DISPATCH);
  CU_ASSERT (admission_bound_milli (rig->admission, rig->now_us) < 3000);
  admission_forget_engine (rig->admission, OWN + 1);
  admission_forget_engine (rig->admission, OWN + 2);
  admission_forget_engine (rig->admission, OWN);
  CU_ASSERT (admission_bound_milli (rig->admission, rig->now_us) >= 3000);
  CU_ASSERT_EQUAL (admission_offer (rig->admission, rig->now_us, make (rig, 1, 2)).action,
                   ADMISSION_DISPATCH);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "the load is bounded", test_load_is_bounded },
    { "a crashed engine is not counted", test_crashed_engine_is_not_counted },
    { "bound of an idle service", test_bound_of_idle_service },
    { "equal loads admit one more", test_equal_loads_admit_one_more },
    { "unreachable is not counted", test_unreachable_engine_is_not_counted },
    { "the load can rise", test_load_can_rise },
    { "the mean is unknown", test_unknown_mean },
    { "waits if cheaper than a cold start", test_waits_when_cheaper_than_cold_start },
    { "waits if all engines are full", test_waits_when_all_are_full },
    { "too late is rejected at once", test_too_late_is_rejected_at_once },
    { "a stall rejects early", test_stall_rejects_before_deadline },
    { "reserve for accounts served less", test_reserve_for_quiet_accounts },
    { "an account's queue is limited", test_account_queue_is_limited },
    { "a single account gets all slots", test_single_account_gets_all_slots },
    { "home refers to cached context", test_home_refers_to_cached_context },
    { "no referral without gain", test_no_referral_to_gone_or_overloaded },
    { "a new engine refers to the former home", test_new_engine_refers_to_former_home },
    { "uncached chats go back", test_former_home_sends_uncached_chats_back },
    { "leaving admits nothing", test_leaving_admits_nothing },
    { "stale and engine down", test_closed_reasons },
    { "a crashing request is rejected", test_crashing_request_is_rejected },
    { "cancel of a waiting request", test_cancel_waiting },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("admission", tests);
}
