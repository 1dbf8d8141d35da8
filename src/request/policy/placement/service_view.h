/**
 * DOC: service_view
 *
 * The engines of a service as they are for one request, for engine_choice.c: which of them may get
 * it, have room for it, and are within the load bound. Pure functions.
 */
#ifndef REQUEST_POLICY_PLACEMENT_SERVICE_VIEW_H
#define REQUEST_POLICY_PLACEMENT_SERVICE_VIEW_H

#include "request/policy/placement/engine_choice.h"

/**
 * struct service_view - a request and the state of the engines of its service
 * @open: engines that take new requests
 * @mean_milli: mean load of the open engines, in thousandths of a request
 * @is_mean_certain: gateways tell each other of their requests, and many of them did
 * @service_mean_milli: likewise, with the idle engines
 * @mean_age_us: mean age of the reports that @mean_milli is made of; 0 when there are none
 * @others_mean_milli: mean number of requests of other gateways at an engine, in thousandths
 * @own: requests of this gateway at open engines
 * @slots: of the open engines
 * @joined: open engines that have joined or returned and not yet reported a load
 * @error_limit_milli: error rate above which an engine is used last
 * @ignores_ejections: most engines are ejected, so ejections are ignored
 * @uses_expired: many entries have expired, so their engines stay candidates
 * @crowded: nearly all slots are taken
 * @full: all slots are taken, so the gateway keeps to its share of them
 * @is_below_share: the gateway has less than its share of the slots
 * @shared_room: the request is one of room_choice.c
 * @is_popular: the request's prompt part takes up most of what an engine may have beyond the mean;
 *   set with @homes
 * @homes: engines that are to cache the request's prompt part; 1 before it is set
 * @keeps_slots: some slots of each engine are left to streams that are resumed
 */
typedef struct
{
  const GPtrArray *engines;
  uint64_t now_us;
  const engine_choice_request_t *request;
  uint32_t open;
  uint64_t mean_milli;
  uint64_t mean_age_us;
  uint64_t service_mean_milli;
  uint64_t others_mean_milli;
  uint64_t own;
  uint64_t slots;
  uint32_t joined;
  uint32_t homes;
  uint32_t error_limit_milli;
  bool ignores_ejections;
  bool uses_expired;
  bool crowded;
  bool full;
  bool is_below_share;
  bool shared_room;
  bool is_mean_certain;
  bool is_popular;
  bool keeps_slots;
} service_view_t;

/** service_view_init() - evaluates the engines; the pointers are borrowed */
void service_view_init (service_view_t *view,
                        const GPtrArray *engines,
                        uint64_t now_us,
                        const engine_choice_request_t *request);
engine_t *service_view_engine (const service_view_t *view, guint index);
/** service_view_load_at() - estimated requests at @engine */
uint32_t service_view_load_at (const service_view_t *view, const engine_t *engine);
/** service_view_is_new() - whether @engine has joined so lately that it caches no prompt parts yet
 */
bool service_view_is_new (const service_view_t *view, const engine_t *engine);
/** service_view_is_candidate() - whether @engine may get the request, if it has room */
bool service_view_is_candidate (const service_view_t *view, const engine_t *engine);
/** service_view_count_candidates() - number of engines that may */
uint32_t service_view_count_candidates (const service_view_t *view);
/** service_view_is_degraded() - whether @engine fails, is slow or silent, or is cold where no limit
 * is known for that: other engines within the bound are used first */
bool service_view_is_degraded (const service_view_t *view, const engine_t *engine);
/** service_view_is_failing() - whether @engine fails or is silent */
bool service_view_is_failing (const service_view_t *view, const engine_t *engine);
/** service_view_has_room() - whether @engine has a slot, or a place in its queue, for one more
 * request of this gateway */
bool service_view_has_room (const service_view_t *view, const engine_t *engine);
/** service_view_bound_milli() - load that @engine may have with the request, in thousandths of a
 * request */
uint64_t service_view_bound_milli (const service_view_t *view, const engine_t *engine);
/** service_view_within_bound() - whether @engine stays within the load bound with the request */
bool service_view_within_bound (const service_view_t *view, const engine_t *engine);
/** service_view_reports_seldom() - whether this gateway's share of @engine is less than one slot,
 * so that it gets a load report of it only every few seconds, however full engines are */
bool service_view_reports_seldom (const service_view_t *view, const engine_t *engine);
/** service_view_limit_distance_milli() - requests that an engine with the mean load may get before
 * it is over the overload limit, in thousandths */
uint64_t service_view_limit_distance_milli (const service_view_t *view);
/** service_view_unreported_may_overload() - whether one unreported request of each other gateway
 * would overload an engine */
bool service_view_unreported_may_overload (const service_view_t *view);
/** service_view_is_all_drained() - whether there are engines, and the data centres of all are
 * drained */
bool service_view_is_all_drained (const service_view_t *view);
/** service_view_min_backoff_us() - time until the first engine that asked for no requests accepts
 * them again, 0 when none did */
uint64_t service_view_min_backoff_us (const service_view_t *view);

#endif
