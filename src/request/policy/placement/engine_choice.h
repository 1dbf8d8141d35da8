/**
 * DOC: engine_choice
 *
 * Chooses the engine of a service to which a gateway sends a request. A pure function.
 *
 * Requests that share a long part of their prompt go to the engine that ranks first for that part
 * by rendezvous hashing, its home, where the part is likely to be cached; to the next in rank when
 * that engine would exceed the load bound. Requests without such a part go to the least loaded
 * engine of the gateway's data centre, or of all data centres when that one has much less load.
 *
 * Where it is known which engines hold a part, the rank is corrected: a holder is preferred to an
 * engine that would have to copy the part because its home can't be used, and holders of the
 * gateway's data centre are preferred to engines elsewhere. Parts that are cheap to copy, or that
 * the data centre uses often, have homes in each data centre.
 */
#ifndef REQUEST_POLICY_PLACEMENT_ENGINE_CHOICE_H
#define REQUEST_POLICY_PLACEMENT_ENGINE_CHOICE_H

#include "request/policy/directory/part_holders.h"
#include "request/policy/engines/engines.h"
#include "request/policy/engines/region_filter.h"

/* The overload limit, as users define it: this multiple of the mean load of a service plus this
 * number of requests, in thousandths. */
#define ENGINE_CHOICE_OVERLOAD_FACTOR 2
#define ENGINE_CHOICE_OVERLOAD_EXTRA_MILLI 3000
/*
 * The load bound of an engine is the mean load plus a margin. The margin is a fraction of the mean
 * plus a number of requests, both in thousandths, and stays below the distance to the overload
 * limit, because the load that other gateways cause is known late. A third of that distance is
 * granted to any number of gateways. The rest is granted to ENGINE_CHOICE_FEW_GATEWAYS or fewer and
 * falls in inverse proportion to their number above that. The part in proportion to the mean is
 * granted to more, by the distance in requests, for a part with a single home that is not popular,
 * once the mean is known well. A narrower margin sends more requests away from the engine that
 * caches their prompt part; a wider one sends more of them to engines over the bound.
 */
#define ENGINE_CHOICE_MARGIN_MILLI 300
#define ENGINE_CHOICE_MARGIN_EXTRA_MILLI 1100
#define ENGINE_CHOICE_FEW_MARGIN_MILLI 650
#define ENGINE_CHOICE_FEW_MARGIN_EXTRA_MILLI 1400
#define ENGINE_CHOICE_FEW_GATEWAYS UINT64_C (4)
/* Gateways for each request that fits to an engine with the mean load. */
#define ENGINE_CHOICE_FEW_GATEWAYS_ONE_HOME_MILLI UINT64_C (1250)
/* A gateway sends to a full engine at most this many times as often as its share of the slots comes
 * free. With a factor of 1 engines were idle for moments: 0.976 of all requests were on time
 * instead of 0.991 in bench-gateway. */
#define ENGINE_CHOICE_SEND_RATE_FACTOR 2
/* Divisor: 1/2 of the margin remains when the engines are full. */
#define ENGINE_CHOICE_MARGIN_MIN_DIVISOR 2
/* From this share of their slots on, in thousandths, engines are crowded. Below it a free slot is
 * found near the first rank anyway. */
#define ENGINE_CHOICE_CROWDED_MILLI 800
/* Ranks that a request may go to while engines are crowded, and so the engines that cache its
 * prompt part. With three, one that fails and one that is full leave another. */
#define ENGINE_CHOICE_HOMES_MAX 3
/* From this utilization on, in thousandths of the slots, a gateway keeps to its share of all slots,
 * because what it knows of single engines is older. */
#define ENGINE_CHOICE_FULL_MILLI 1000
/* Minimum share in slots of a gateway that keeps to it. A smaller one can't be used evenly: with
 * six slots shared by 22 gateways some would stay idle. */
#define ENGINE_CHOICE_SHARE_MIN_SLOTS 4
/* Tokens of a prompt part that may have two homes. It is read in 9 ms or copied in 1 ms, so a
 * second copy costs little; a second home of parts of 10,000 tokens doubled the bytes of memory
 * moved in a day. */
#define ENGINE_CHOICE_SMALL_PART_TOKENS 1000
#define ENGINE_CHOICE_SMALL_PART_HOMES UINT64_C (2)
/* Tokens of a part that has homes in each data centre where holders are known. A copy of 2,500
 * tokens costs as much as the bytes of a few requests to another data centre. */
#define ENGINE_CHOICE_LOCAL_PART_TOKENS 2500
/* A longer part has too when a data centre is expected to use it this often within the time below.
 * A copy of 10,000 tokens costs ten times the bytes of such a request, and the estimate rests on a
 * few requests of one gateway. */
#define ENGINE_CHOICE_LOCAL_PART_USES UINT64_C (40)
#define ENGINE_CHOICE_LOCAL_PART_US (UINT64_C (30) * 1000 * 1000)
/* Divisor: known holders that are 1/2 of the homes that a popular part needs are enough. */
#define ENGINE_CHOICE_HOLDERS_DIVISOR 2
/* A longer part is read at one that certainly holds it up to this share of the distance from the
 * mean to the overload limit, in thousandths, before another engine copies it. */
#define ENGINE_CHOICE_HOLDER_SHARE_MILLI 600
/* Share of the distance from the mean to the overload limit, in thousandths, from which on the
 * requests for one part need several homes. A lower one would be reached by a single request of one
 * of many gateways. */
#define ENGINE_CHOICE_POPULAR_MILLI 700
/* Requests that another gateway may send to an engine before this one gets a load report of it. */
#define ENGINE_CHOICE_CLUMP UINT64_C (2)
/* Share of that distance that they may then take at each home, where other parts have theirs too.
 */
#define ENGINE_CHOICE_PART_SHARE_MILLI 150
/* Homes of each part in the first seconds of a gateway, in which it can't tell which are popular.
 */
#define ENGINE_CHOICE_START_HOMES UINT64_C (2)
#define ENGINE_CHOICE_START_US (UINT64_C (2000) * 1000)
/* An engine of the gateway's data centre is preferred while it has at most this many requests more
 * than one of another. */
#define ENGINE_CHOICE_LOCAL_EXTRA_REQUESTS 1
/* Time after its start in which an engine is not expected to cache the parts that it ranks first
 * for: chats return to most shared parts within it. */
#define ENGINE_CHOICE_NEW_US (UINT64_C (10) * 1000 * 1000)
/* An engine that joined or returned counts as idle until it reports its load, and once it is warm
 * no longer than this: by then other gateways have filled it, and this gateway may call it
 * seldom. */
#define ENGINE_CHOICE_IDLE_US (UINT64_C (4000) * 1000)
/* Caches of a drained data centre are copied from for 1/2 of the time allowed for its drain. By
 * then popular parts have new homes, and the engines that make the copies need the rest. */
#define ENGINE_CHOICE_DRAIN_COPY_DIVISOR 2
/* An engine is used last when its error rate is above this, in thousandths, and above this multiple
 * of the service's median, which contains the errors of the service itself. */
#define ENGINE_CHOICE_ERROR_RATE_MILLI 300
#define ENGINE_CHOICE_ERROR_RATE_FACTOR 2
/* An engine whose answers take more than this, in thousandths of the service's usual time, is used
 * last too. */
#define ENGINE_CHOICE_LATENCY_RATIO_MILLI 2000
/*
 * Slots that new requests leave free, as 1/32 of an engine's, where several software versions
 * serve: a stream that is resumed can go on at its version only, new requests at any.
 */
#define ENGINE_CHOICE_KEPT_SLOTS_DIVISOR 32
/* Engines with fewer slots keep none free. */
#define ENGINE_CHOICE_KEPT_SLOTS_FROM 8
/*
 * While the store is unreachable, the entries of all engines expire within one renewal interval. If
 * at most one in this many of a service's entries has expired, the engine has probably left while
 * nobody could read the store: it gets no requests, and the others take over its load.
 */
#define ENGINE_CHOICE_EXPIRED_DIVISOR 3

typedef enum
{
  ENGINE_CHOICE_SEND, /* to @engine */
  ENGINE_CHOICE_WAIT, /* all candidates are full */
  ENGINE_CHOICE_NONE  /* there is no candidate */
} engine_choice_action_t;

/**
 * struct engine_choice_request - a request, and what the gateway knows of its service
 * @affinity: hash of the prompt part that saves most when it is cached; 0 for none
 * @affinity_tokens: length of that part
 * @own_data_center: of this gateway
 * @tried: hashes of the engines that already had this request
 * @repeatable: it can be sent to another engine when one fails it
 * @gateways: number that share the engines; 0 counts as 1
 * @gateway_hash: of this gateway's name
 * @slot_time_us: usual time that a request of the service keeps its slot
 * @usual_head_us: usual time until the head of an answer
 * @surge: traffic has grown so fast that the engines are full, whatever they last reported
 * @utilization_milli: recently reported requests at the engines, in thousandths of their slots; 0
 *   when unknown
 * @past_deadline: it can't be answered in time any more, so it gets only a slot that is surely free
 * @default_slots: of an engine that doesn't state its slots
 * @cold_per_s: requests per second that an engine sustains in its cold start; 0 when unknown
 * @cold_start_us: duration of a cold start
 * @known_gateways: number that may send to the engines, with those not heard recently; 0 when
 *   unknown
 * @region_filter: regions that the request is restricted to
 * @drain_us: time from the order to drain a data centre until its engines must get nothing more
 * @version: only engines of this version may get it, since one of them began its stream; 0 for any
 * @begin_version: it begins a stream, at an engine of this version; 0 for any
 * @has_streams: the service has such streams
 * @holders: engines that are known to hold parts; NULL to go by rank alone
 * @has_local_homes: with @holders: small or popular parts have homes in each data centre
 * @shared_parts: hash of all parts of its prompt that other requests may share; 0 for none
 * @shared_room: where many gateways share few slots, room_choice.c decides
 * @room_account: hash of the client account
 * @target_us: time by which its response should begin; 0 for none
 * @room_draw: random number below 1000 that stays with the request
 * @only_sound: only an engine that failed nothing lately and isn't quiet may get it, as the request
 *   leaves another one for it. The choice is not counted in the shares of parts
 */
typedef struct
{
  const part_holders_t *holders;
  uint64_t shared_parts;
  uint64_t affinity;
  const char *own_data_center;
  const uint64_t *tried;
  uint64_t gateway_hash;
  uint64_t slot_time_us;
  uint64_t usual_head_us;
  uint64_t cold_start_us;
  region_filter_t region_filter;
  uint64_t drain_us;
  uint64_t version;
  uint64_t begin_version;
  uint64_t room_account;
  uint64_t target_us;
  uint32_t affinity_tokens;
  uint32_t tried_count;
  uint32_t gateways;
  uint32_t utilization_milli;
  uint32_t default_slots;
  uint32_t cold_per_s;
  uint32_t known_gateways;
  uint32_t room_draw;
  bool repeatable;
  bool surge;
  bool past_deadline;
  bool has_streams;
  bool has_local_homes;
  bool shared_room;
  bool only_sound;
} engine_choice_request_t;

/**
 * struct engine_choice - the chosen engine and what the choice was based on
 * @engine: with %ENGINE_CHOICE_SEND, else NULL
 * @source: another engine that most likely has the request's shared parts in its cache, to copy
 *   them from; NULL when there is none
 * @rank: of @engine for the affinity; 0 is the first
 * @engine_holds: @engine is known to hold the request's shared parts, or the longest of them
 * @source_holds: likewise for @source
 * @load: estimated requests at @engine
 * @mean_milli: mean load of the service, in thousandths of a request
 * @mean_age_us: mean age of the reports that it is made of; 0 when there are none
 * @bound_milli: load that the engine may have with the request, in thousandths of a request
 * @candidates: number of engines that may get the request, also those that are full
 * @drained: with %ENGINE_CHOICE_NONE: there are engines, but all their data centres are drained
 * @backoff_us: with %ENGINE_CHOICE_NONE: time until the first engine that asked for no requests
 *   accepts them again; 0 when none did
 */
typedef struct
{
  engine_choice_action_t action;
  engine_t *engine;
  engine_t *source;
  uint32_t rank;
  uint32_t load;
  uint32_t mean_milli;
  uint64_t mean_age_us;
  uint64_t bound_milli;
  uint32_t candidates;
  bool engine_holds;
  bool source_holds;
  bool drained;
  uint64_t backoff_us;
} engine_choice_t;

/** engine_choice_make() - chooses among @engines, an array of engine_t of one service, and counts
 * the request for its part if it is to be sent */
engine_choice_t engine_choice_make (const GPtrArray *engines,
                                    uint64_t now_us,
                                    const engine_choice_request_t *request);

#endif
