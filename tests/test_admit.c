#include "request/policy/admit.h"
#include "suite.h"

#include <string.h>

#define OWN 11
#define SERVICE 5
#define ENGINES 4
#define SLOTS 16
#define SECOND_US ((uint64_t)CLK_US_PER_S)
#define LIFETIME_US (60 * SECOND_US)
#define REQUESTS 64
#define REQUEST_MS (50 + 100 * 30) /* of a slot, of what make() makes */

/* One sidecar with its clock; requests that it holds. */
typedef struct
{
  adm_t *adm;
  uint64_t now_us;
  adm_request_t requests[REQUESTS];
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
  const adm_options_t options = { .engine_hash = OWN,
                                  .service_hash = SERVICE,
                                  .slots = SLOTS,
                                  .bound_percent = bound_percent,
                                  .engine_count = ENGINES,
                                  .prefill_tokens_s = 10000,
                                  .cache_lifetime_us = LIFETIME_US,
                                  .seed = 3,
                                  .is_live = is_live,
                                  .context = rig };
  rig->adm = adm_new (&options);
  return rig;
}

static void
rig_free (rig_t *rig)
{
  adm_free (rig->adm);
  g_free (rig);
}

G_DEFINE_AUTOPTR_CLEANUP_FUNC (rig_t, rig_free)

/* The three other engines, 12, 13 and 14, are heard with this load. */
static void
hear (rig_t *rig, uint32_t load, uint32_t waiting)
{
  for (uint64_t engine = OWN + 1; engine < OWN + ENGINES; engine++)
    {
      const mean_sample_t sample = { .engine_hash = engine,
                                     .service_hash = SERVICE,
                                     .load = load,
                                     .waiting = waiting,
                                     .taken_us = rig->now_us };
      mean_add (adm_mean (rig->adm), &sample);
    }
}

static adm_request_t *
make (rig_t *rig, uint64_t account, uint64_t chat)
{
  CU_ASSERT_FATAL (rig->count < REQUESTS);
  adm_request_t *request = &rig->requests[rig->count++];
  *request = (adm_request_t){ .item = { .account_hash = account,
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

static adm_decision_t
offer (rig_t *rig, adm_request_t *request)
{
  return adm_offer (rig->adm, rig->now_us, request);
}

static void
fill (rig_t *rig, uint32_t load)
{
  for (uint32_t i = 0; i < load; i++)
    CU_ASSERT_EQUAL_FATAL (offer (rig, make (rig, 1 + i % 4, 0)).action, ADM_DISPATCH);
}

/* Requests of eight accounts, whatever becomes of them. */
static void
offer_many (rig_t *rig, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    offer (rig, make (rig, 1 + i % 8, 0));
}

static void
test_bound_holds (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, 8, 0);
  fill (rig, 9);
  /* mean (8 + 8 + 8 + 9) / 4 = 8.25, bound 10.31 */
  CU_ASSERT_EQUAL (adm_bound_milli (rig->adm, rig->now_us), 10312);
  fill (rig, 1);
  const adm_decision_t decision = offer (rig, make (rig, 1, 0));
  CU_ASSERT_EQUAL (decision.action, ADM_REFUSE);
  CU_ASSERT_EQUAL (decision.reason, VRD_REASON_OVER_BOUND);
  CU_ASSERT_EQUAL (decision.referral_count, 3);
  CU_ASSERT (decision.retry_after_ms > 0);
  CU_ASSERT_EQUAL (adm_load (rig->adm), 10);
}

static void
test_bound_of_idle_service (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, 0, 0);
  fill (rig, 1);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 0)).reason, VRD_REASON_OVER_BOUND);
}

/* The mean moves, so the bound is taken with a margin. All engines have come to the same load: if
 * the margin held for the mean plus one as well, every one of them would refuse, callers would give
 * up, the load would fall, and the service would refuse nearly all from then on. */
static void
test_equal_loads_never_lock (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  for (uint32_t i = 0; i < 40; i++)
    {
      rig->now_us += SECOND_US;
      hear (rig, i % 2 == 0 ? 2 : 6, 0);
      adm_request_t *request = &rig->requests[0];
      rig->count = 0;
      CU_ASSERT_EQUAL_FATAL (offer (rig, make (rig, 1, 0)).action, ADM_DISPATCH);
      adm_finish (rig->adm, rig->now_us, request, true);
    }
  hear (rig, 0, 0);
  rig->now_us += SECOND_US;
  hear (rig, 8, 0);
  rig->count = 0;
  fill (rig, 8);
  CU_ASSERT (adm_bound_milli (rig->adm, rig->now_us) < 10000);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 0)).action, ADM_DISPATCH);
}

/* Every engine stands at seven and more is asked for; at any time one of them has just ended one.
 * If its place held the others below eight, the service would stay at seven, refusing half. */
static void
test_level_can_rise (void)
{
  rig_t *rig = rig_new (112);
  for (uint64_t engine = OWN + 1; engine < OWN + ENGINES; engine++)
    {
      const mean_sample_t sample = { .engine_hash = engine,
                                     .service_hash = SERVICE,
                                     .load = engine == 13 ? 6 : 7,
                                     .taken_us = rig->now_us };
      mean_add (adm_mean (rig->adm), &sample);
    }
  fill (rig, 8);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 0)).reason, VRD_REASON_OVER_BOUND);
  rig_free (rig);
}

/* Routers do not reach one engine, which all sidecars hear well: it has no load, and room for all
 * that is refused. Counted in the mean, it would hold the bound of the others below what they
 * carry; callers would be refused, the load would fall, and with it the bound, until half were
 * refused. */
static void
test_unreached_engine_is_not_counted (void)
{
  g_autoptr (rig_t) rig = rig_new (110);
  for (uint32_t i = 0; i < 8; i++)
    {
      for (uint64_t engine = OWN + 1; engine < OWN + ENGINES; engine++)
        {
          const mean_sample_t sample = { .engine_hash = engine,
                                         .service_hash = SERVICE,
                                         .load = engine == 13 ? 0 : 10,
                                         .taken_us = rig->now_us };
          mean_add (adm_mean (rig->adm), &sample);
        }
      rig->now_us += SECOND_US / 2;
    }
  fill (rig, 10);
  CU_ASSERT (adm_bound_milli (rig->adm, rig->now_us) >= 11000);
  const adm_decision_t decision = offer (rig, make (rig, 1, 0));
  CU_ASSERT_EQUAL (decision.action, ADM_DISPATCH);
}

/* The exchange is out. Refusing all that is over an unknown mean would turn a lost control path
 * into an outage; only an engine that has just started waits to hear of the others first. */
static void
test_unknown_mean (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  adm_set_joined (rig->adm, rig->now_us);
  CU_ASSERT_EQUAL (adm_bound_milli (rig->adm, rig->now_us), 1000);
  rig->now_us += LIM_SAMPLE_AGE_US;
  CU_ASSERT_EQUAL (adm_bound_milli (rig->adm, rig->now_us), SLOTS * 1000);
}

/* A long chat is warm here and its engine is one over the bound. Its caller is served soonest by
 * waiting for one end; a request without a context is served soonest elsewhere. */
static void
test_waits_when_cheaper_than_cold_start (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, 8, 0);
  fill (rig, 10);
  adm_request_t *warm = make (rig, 1, 77);
  warm->prompt_tokens = 40000;
  CU_ASSERT_EQUAL (offer (rig, warm).action, ADM_WAIT);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 2, 0)).reason, VRD_REASON_OVER_BOUND);
  CU_ASSERT_PTR_NULL (adm_next (rig->adm, rig->now_us));
  adm_finish (rig->adm, rig->now_us, &rig->requests[0], true);
  CU_ASSERT_PTR_EQUAL (adm_next (rig->adm, rig->now_us), warm);
  CU_ASSERT (warm->running);
  CU_ASSERT_EQUAL (adm_load (rig->adm), 10);
}

static void
test_waits_when_nobody_has_room (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, SLOTS, 3);
  fill (rig, SLOTS - 2);
  adm_request_t *other = make (rig, 9, 0);
  CU_ASSERT_EQUAL (offer (rig, other).action, ADM_DISPATCH);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 10, 0)).action, ADM_DISPATCH);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 9, 0)).action, ADM_WAIT);
}

/* Every engine is full, and the deadline of a new request comes before any could start it. The
 * caller must hear so at once, with a time to come back: held until its deadline it would only
 * learn the same later, and lengthen the queue for all. */
static void
test_deadline_is_refused_at_once (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, SLOTS, 3);
  offer_many (rig, SLOTS);
  rig->now_us += 3 * SECOND_US;
  hear (rig, SLOTS, 3);
  for (uint32_t i = 0; i < SLOTS; i++)
    adm_finish (rig->adm, rig->now_us, &rig->requests[i], true);
  for (uint32_t i = 0; i < SLOTS; i++)
    CU_ASSERT_EQUAL (offer (rig, make (rig, 1 + i % 8, 0)).action, ADM_DISPATCH);
  adm_request_t *late = make (rig, 9, 0);
  late->item.deadline_us = rig->now_us + 10000;
  const adm_decision_t decision = offer (rig, late);
  CU_ASSERT_EQUAL (decision.action, ADM_REFUSE);
  CU_ASSERT_EQUAL (decision.reason, VRD_REASON_DEADLINE);
  CU_ASSERT (decision.retry_after_ms >= 100 && decision.retry_after_ms < 1000);
  CU_ASSERT_EQUAL (adm_waiting (rig->adm), 0);
}

/* The engine stalls while a request waits for it. Its caller hears well before the deadline, as
 * soon as the measured drain says that the wait would outlast it. */
static void
test_stall_rejects_before_deadline (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  adm_decision_t decision;
  hear (rig, SLOTS, 3);
  offer_many (rig, SLOTS);
  adm_request_t *waiting = make (rig, 9, 0);
  CU_ASSERT_EQUAL_FATAL (offer (rig, waiting).action, ADM_WAIT);
  CU_ASSERT_PTR_NULL (adm_reject (rig->adm, rig->now_us, &decision));
  rig->now_us += 16 * SECOND_US;
  hear (rig, SLOTS, 3);
  CU_ASSERT_PTR_EQUAL (adm_reject (rig->adm, rig->now_us, &decision), waiting);
  CU_ASSERT_EQUAL (decision.reason, VRD_REASON_DEADLINE);
  CU_ASSERT_PTR_NULL (adm_reject (rig->adm, rig->now_us, &decision));
}

/* One client account surges and holds all it can get. A request of a quiet account must find a
 * slot at once, not when one of the surge's long answers ends. */
static void
test_reserve_for_quiet_accounts (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, SLOTS, 0);
  adm_finish (rig->adm, rig->now_us,
              (offer (rig, make (rig, 2, 0)), &rig->requests[rig->count - 1]), true);
  uint32_t running = 0;
  for (uint32_t i = 0; i < 20; i++)
    running += offer (rig, make (rig, 1, 0)).action == ADM_DISPATCH;
  CU_ASSERT_EQUAL (running, SLOTS - SLOTS / ADM_RESERVE_DIVISOR);
  CU_ASSERT (adm_waiting (rig->adm) > 0);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 2, 0)).action, ADM_DISPATCH);
}

static void
test_account_queue_is_bounded (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, SLOTS, 3);
  fill (rig, 4);
  for (uint32_t i = 0; i < SLOTS + 8; i++)
    offer (rig, make (rig, 1, 0));
  CU_ASSERT_EQUAL (adm_waiting (rig->adm), 8);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 0)).reason, VRD_REASON_ACCOUNT_SHARE);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 2, 0)).action, ADM_DISPATCH);
}

/* Nobody else has used the engine for a while: keeping slots free for others would waste them. */
static void
test_account_alone_has_all_slots (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, SLOTS, 0);
  for (uint32_t i = 0; i < SLOTS; i++)
    {
      adm_request_t *request = make (rig, 1, 0);
      request->item.deadline_us = 0;
      offer (rig, request);
    }
  CU_ASSERT_EQUAL (adm_load (rig->adm), SLOTS - SLOTS / ADM_RESERVE_DIVISOR);
  rig->now_us += ADM_ALONE_US - 1;
  hear (rig, SLOTS, 0);
  CU_ASSERT_PTR_NULL (adm_next (rig->adm, rig->now_us));
  rig->now_us++;
  CU_ASSERT_PTR_NOT_NULL (adm_next (rig->adm, rig->now_us));
  CU_ASSERT_PTR_NOT_NULL (adm_next (rig->adm, rig->now_us));
  CU_ASSERT_EQUAL (adm_load (rig->adm), SLOTS);
}

static void
test_home_refers_to_where_it_is_warm (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, 1, 0);
  adm_served_elsewhere (rig->adm, rig->now_us, 77, 13);
  const adm_decision_t decision = offer (rig, make (rig, 1, 77));
  CU_ASSERT_EQUAL (decision.reason, VRD_REASON_ELSEWHERE);
  CU_ASSERT_EQUAL (decision.referral_count, 1);
  CU_ASSERT_EQUAL (decision.referrals[0], 13);
  adm_request_t *sent_back = make (rig, 1, 77);
  sent_back->referred = true;
  CU_ASSERT_EQUAL (offer (rig, sent_back).action, ADM_DISPATCH);
  adm_finish (rig->adm, rig->now_us, sent_back, true);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 77)).action, ADM_DISPATCH);
  adm_served_elsewhere (rig->adm, rig->now_us, 78, 13);
  rig->now_us += ADM_WARM_LIFETIMES * LIFETIME_US;
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 78)).reason, VRD_REASON_ELSEWHERE);
  rig->now_us++;
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 78)).action, ADM_DISPATCH);
}

/* The engine that holds the context left, or its queue takes longer than to read the context anew.
 * A referral would cost the caller a hop, or a wait, for nothing. */
static void
test_no_referral_to_gone_or_overloaded (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, 2, 0);
  rig->gone = 13;
  adm_served_elsewhere (rig->adm, rig->now_us, 77, 13);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 77)).action, ADM_DISPATCH);
  adm_served_elsewhere (rig->adm, rig->now_us, 78, 14);
  const mean_sample_t full = { .engine_hash = 14,
                               .service_hash = SERVICE,
                               .load = SLOTS,
                               .waiting = 200,
                               .taken_us = rig->now_us + 1 };
  mean_add (adm_mean (rig->adm), &full);
  rig->now_us += 2;
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 78)).action, ADM_DISPATCH);
}

/* An engine joins and becomes the home of chats that are warm on another one. It points there
 * until a chat was served here, or until nothing can be warm there any more. */
static void
test_new_engine_refers_to_former_home (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, 1, 0);
  adm_set_joined (rig->adm, rig->now_us);
  adm_request_t *first = make (rig, 1, 77);
  first->former_hash = 12;
  CU_ASSERT_EQUAL (offer (rig, first).reason, VRD_REASON_ELSEWHERE);
  first->referred = true;
  CU_ASSERT_EQUAL (offer (rig, first).action, ADM_DISPATCH);
  adm_finish (rig->adm, rig->now_us, first, true);
  first->referred = false;
  CU_ASSERT_EQUAL (offer (rig, first).action, ADM_DISPATCH);
  adm_finish (rig->adm, rig->now_us, first, true);
  adm_request_t *later = make (rig, 1, 78);
  later->former_hash = 12;
  rig->now_us += ADM_WARM_LIFETIMES * LIFETIME_US - 1;
  CU_ASSERT_EQUAL (offer (rig, later).reason, VRD_REASON_ELSEWHERE);
  rig->now_us++;
  CU_ASSERT_EQUAL (offer (rig, later).action, ADM_DISPATCH);
}

/* An engine was replaced, and its chats return to the new one, which asks this former home first.
 * This one has served some of them meanwhile. Of the others the context is gone; were they kept
 * here, they would fill this cache while that of the new engine stays empty. */
static void
test_former_home_sends_cold_chats_back (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, 8, 0);
  adm_request_t *warm = make (rig, 1, 77);
  CU_ASSERT_EQUAL_FATAL (offer (rig, warm).action, ADM_DISPATCH);
  adm_finish (rig->adm, rig->now_us, warm, true);
  for (uint64_t chat = 77; chat <= 79; chat++)
    {
      adm_request_t *back = make (rig, 1, chat);
      back->home_hash = 12;
      back->prompt_tokens = 40000;
      back->former_hash = OWN;
      back->referred = true;
      if (chat == 79)
        adm_served_elsewhere (rig->adm, rig->now_us, 79, 14);
      const adm_decision_t decision = offer (rig, back);
      CU_ASSERT_EQUAL (decision.action, chat == 77 ? ADM_DISPATCH : ADM_REFUSE);
      if (chat == 78)
        CU_ASSERT_EQUAL (decision.reason, VRD_REASON_COLD);
      if (chat == 79)
        CU_ASSERT_EQUAL (decision.referrals[0], 14);
      back->former_hash = 0;
      CU_ASSERT (chat == 77 || offer (rig, back).action == ADM_DISPATCH);
    }
}

/* The host starts to leave while requests wait. They have run nowhere: their callers are sent on
 * now, and nothing new is taken, whatever an old host list says. What runs goes on. */
static void
test_leaving_takes_nothing (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  adm_decision_t decision;
  hear (rig, SLOTS, 3);
  offer_many (rig, SLOTS + 2);
  CU_ASSERT_EQUAL (adm_waiting (rig->adm), 2);
  adm_set_leaving (rig->adm, true);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 0)).reason, VRD_REASON_LEAVING);
  adm_finish (rig->adm, rig->now_us, &rig->requests[0], true);
  CU_ASSERT_PTR_NULL (adm_next (rig->adm, rig->now_us));
  CU_ASSERT_PTR_NOT_NULL (adm_reject (rig->adm, rig->now_us, &decision));
  CU_ASSERT_EQUAL (decision.reason, VRD_REASON_LEAVING);
  CU_ASSERT_PTR_NOT_NULL (adm_reject (rig->adm, rig->now_us, &decision));
  CU_ASSERT_PTR_NULL (adm_reject (rig->adm, rig->now_us, &decision));
  CU_ASSERT_EQUAL (adm_load (rig->adm), SLOTS - 1);
}

static void
test_closed_reasons (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, 1, 0);
  adm_set_stale (rig->adm, true);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 0)).reason, VRD_REASON_STALE);
  adm_set_stale (rig->adm, false);
  adm_set_engine_up (rig->adm, false);
  const adm_decision_t decision = offer (rig, make (rig, 1, 0));
  CU_ASSERT_EQUAL (decision.reason, VRD_REASON_NO_ENGINE);
  CU_ASSERT (decision.referral_count > 0);
  adm_set_engine_up (rig->adm, true);
  CU_ASSERT_EQUAL (offer (rig, make (rig, 1, 0)).action, ADM_DISPATCH);
}

/* A request crashed this engine and its caller sends it again. It must not crash the engine twice;
 * once a second engine was lost to it, it runs nowhere. A down engine must not hide that. */
static void
test_poison_is_kept_away (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, 1, 0);
  adm_request_t *poison = make (rig, 1, 0);
  CU_ASSERT_EQUAL_FATAL (offer (rig, poison).action, ADM_DISPATCH);
  adm_crashed (rig->adm, rig->now_us, poison);
  adm_set_engine_up (rig->adm, false);
  adm_finish (rig->adm, rig->now_us, poison, false);
  CU_ASSERT_EQUAL (offer (rig, poison).reason, VRD_REASON_SUSPECT_HERE);
  adm_set_engine_up (rig->adm, true);
  CU_ASSERT_EQUAL (offer (rig, poison).reason, VRD_REASON_SUSPECT_HERE);
  sus_add (adm_suspects (rig->adm), rig->now_us, poison->fingerprint, 13);
  const adm_decision_t decision = offer (rig, poison);
  CU_ASSERT_EQUAL (decision.reason, VRD_REASON_SUSPECT);
  CU_ASSERT_EQUAL (decision.retry_after_ms, 0);
}

static void
test_cancel_waiting (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  hear (rig, SLOTS, 3);
  offer_many (rig, SLOTS + 1);
  CU_ASSERT_EQUAL_FATAL (adm_waiting (rig->adm), 1);
  adm_cancel (rig->adm, &rig->requests[SLOTS]);
  adm_finish (rig->adm, rig->now_us, &rig->requests[0], true);
  CU_ASSERT_PTR_NULL (adm_next (rig->adm, rig->now_us));
  const mean_sample_t sample = adm_sample (rig->adm, rig->now_us);
  CU_ASSERT_EQUAL (sample.load, SLOTS - 1);
  CU_ASSERT_EQUAL (sample.waiting, 0);
  CU_ASSERT_EQUAL (sample.cost, (SLOTS - 1) * REQUEST_MS);
}

/* Two engines crash; what ran there goes to the others, which carry two each. The crashed ones are
 * heard of with no load, so the mean stands at one and a third request is refused though all slots
 * but two are free. Its caller hears that it may have run, and when to come back. */
static void
test_lost_engine_is_not_counted (void)
{
  g_autoptr (rig_t) rig = rig_new (125);
  mean_sample_t lost = { .service_hash = SERVICE, .taken_us = rig->now_us + 1 };

  hear (rig, 2, 0);
  rig->now_us++;
  for (lost.engine_hash = OWN + 1; lost.engine_hash <= OWN + 2; lost.engine_hash++)
    mean_add (adm_mean (rig->adm), &lost);
  for (uint32_t i = 0; i < 2; i++)
    CU_ASSERT_EQUAL (adm_offer (rig->adm, rig->now_us, make (rig, 1, i)).action, ADM_DISPATCH);
  CU_ASSERT (adm_bound_milli (rig->adm, rig->now_us) < 3000);
  adm_lost (rig->adm, OWN + 1);
  adm_lost (rig->adm, OWN + 2);
  adm_lost (rig->adm, OWN);
  CU_ASSERT (adm_bound_milli (rig->adm, rig->now_us) >= 3000);
  CU_ASSERT_EQUAL (adm_offer (rig->adm, rig->now_us, make (rig, 1, 2)).action, ADM_DISPATCH);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "the bound holds", test_bound_holds },
    { "a lost engine is not counted", test_lost_engine_is_not_counted },
    { "bound of an idle service", test_bound_of_idle_service },
    { "equal loads never lock", test_equal_loads_never_lock },
    { "unreached is not counted", test_unreached_engine_is_not_counted },
    { "the level can rise", test_level_can_rise },
    { "the mean is unknown", test_unknown_mean },
    { "waits if cheaper than cold", test_waits_when_cheaper_than_cold_start },
    { "waits if nobody has room", test_waits_when_nobody_has_room },
    { "too late is refused at once", test_deadline_is_refused_at_once },
    { "a stall rejects early", test_stall_rejects_before_deadline },
    { "reserve for quiet accounts", test_reserve_for_quiet_accounts },
    { "an account's queue is bounded", test_account_queue_is_bounded },
    { "alone has all slots", test_account_alone_has_all_slots },
    { "home refers to the warm one", test_home_refers_to_where_it_is_warm },
    { "no referral for nothing", test_no_referral_to_gone_or_overloaded },
    { "a new engine refers back", test_new_engine_refers_to_former_home },
    { "cold chats go back", test_former_home_sends_cold_chats_back },
    { "leaving takes nothing", test_leaving_takes_nothing },
    { "stale and engine down", test_closed_reasons },
    { "poison is kept away", test_poison_is_kept_away },
    { "cancel of a waiting request", test_cancel_waiting },
    CU_TEST_INFO_NULL,
  };
  return suite_run ("admit", tests);
}
